"""Replays of good and bad versions, as `gypsumhall.core._rollout` sees them.

Each trial replays a rollout of 16 s at 100 calls per second with log-normal
service times, and a controller that looks four times a second.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from gypsumhall.core import _rollout
from gypsumhall.core._rollout import Outcome
from gypsumhall.core._rollout import Rollout
from gypsumhall.core._rollout import Tally
from gypsumhall.net._messages import RolloutCounts

if TYPE_CHECKING:
    from collections.abc import Callable

    Behaviour = Callable[[Random, float, str, float], tuple[float, bool]]

_DURATION_S = 16.0
_RATE = 100
_TRIALS = 40
_STEP_S = 0.25
_MEAN_MS = 120.0


def _work(rng: Random) -> float:
    return _MEAN_MS * rng.lognormvariate(-0.2, 0.6)


def _good(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _work(rng), rng.random() < 0.005


def _failing(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _work(rng), rng.random() < 0.4


def _slow(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    factor = 8.0 if rng.random() < 0.4 else 1.0
    return factor * _work(rng), False


def _failing_always(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _work(rng), True


def _late(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _work(rng), now > 3.5 and rng.random() < 0.4


def _on_one_route(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _work(rng), route == 'b' and rng.random() < 0.5


def _under_load(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _work(rng), share > 0.15 and rng.random() < 0.4


def _trial(
    seed: int, behaviour: Behaviour, sick: str = '', rate: int = _RATE
) -> tuple[Outcome, float, float, int]:
    """Return the outcome, its time, the exposed share and the bad runs."""
    rng = Random(seed)
    rollout = Rollout('v2', 0.0, _DURATION_S)
    tallies: dict[tuple[str, str], dict[str, Tally]] = {}
    exposed = bad = 0
    now = 0.0
    while now < _DURATION_S:
        now += _STEP_S
        for _ in range(int(rate * _STEP_S)):
            is_new = rng.random() < rollout.share
            side = 'n' if is_new else 'o'
            endpoint = side + str(rng.randrange(3))
            route = 'a' if rng.random() < 0.7 else 'b'
            if is_new:
                duration, failed = behaviour(rng, now, route, rollout.share)
                exposed += 1
            else:
                duration, failed = _good(rng, now, route, 0.0)
            if endpoint == sick:
                failed = rng.random() < 0.5
            bad += is_new and (failed or duration > 4 * _MEAN_MS)
            key = (endpoint, 'v2' if is_new else 'v1')
            tally = tallies.setdefault(key, {}).setdefault(route, Tally())
            tally.record(duration, failed=failed)
        for (endpoint, version), routes in tallies.items():
            counts = [
                RolloutCounts(route, tally.failures, tuple(tally.durations))
                for route, tally in routes.items()
            ]
            rollout.set_results(endpoint, version, counts)
        outcome = rollout.advance(now, present=True)
        if outcome is not Outcome.CONTINUE:
            return outcome, now, exposed / (rate * _DURATION_S), bad
    return Outcome.CONTINUE, now, exposed / (rate * _DURATION_S), bad


def test_good_versions_are_complete_in_time() -> None:
    results = [_trial(seed, _good) for seed in range(_TRIALS)]
    assert {item[0] for item in results} == {Outcome.COMPLETE}
    assert max(item[1] for item in results) <= 0.95 * _DURATION_S


@pytest.mark.parametrize(
    'behaviour',
    [_failing, _slow, _late, _on_one_route],
    ids=lambda i: i.__name__,
)
def test_bad_versions_are_rolled_back_from_the_first_stage(
    behaviour: Behaviour,
) -> None:
    """Bounds: a tenth of the calls, and 50 bad answers."""
    results = [_trial(seed, behaviour) for seed in range(_TRIALS)]
    assert {item[0] for item in results} == {Outcome.ROLL_BACK}
    assert max(item[2] for item in results) < 0.1
    assert max(item[3] for item in results) < 50


@pytest.mark.parametrize('rate', [28, 8, 4])
def test_bad_versions_are_rolled_back_at_low_rates(rate: int) -> None:
    """They were completed before enough of their calls were known.

    Bound: a tenth of the calls and 50 more, as the platform counts.
    """
    results = [
        _trial(seed, _failing_always, rate=rate) for seed in range(_TRIALS)
    ]
    assert {item[0] for item in results} == {Outcome.ROLL_BACK}
    calls = rate * _DURATION_S
    assert max(item[2] * calls for item in results) < 0.1 * calls + 50


@pytest.mark.parametrize('rate', [28, 8, 4])
def test_good_versions_are_complete_at_low_rates(rate: int) -> None:
    results = [_trial(seed, _good, rate=rate) for seed in range(_TRIALS)]
    assert {item[0] for item in results} == {Outcome.COMPLETE}
    assert max(item[1] for item in results) <= 0.95 * _DURATION_S


def test_a_version_that_fails_under_load_is_rolled_back_at_once() -> None:
    """Bound: a tenth of the calls and 50 more, as the platform counts."""
    results = [_trial(seed, _under_load) for seed in range(_TRIALS)]
    assert {item[0] for item in results} == {Outcome.ROLL_BACK}
    calls = _RATE * _DURATION_S
    assert max(item[2] * calls for item in results) < 0.1 * calls + 50


def test_one_sick_endpoint_does_not_condemn_a_good_version() -> None:
    results = [_trial(seed, _good, 'n1') for seed in range(_TRIALS)]
    rolled_back = [item for item in results if item[0] is Outcome.ROLL_BACK]
    assert len(rolled_back) <= 1


def test_overload_in_the_last_stage_does_not_condemn_a_version() -> None:
    """All calls on fewer endpoints are slower, whatever the version.

    Seen on steamgate-na scale-1: a good version was rolled back 1 s after it
    had got all calls.
    """

    def slower_when_alone(
        rng: Random, now: float, route: str, share: float
    ) -> tuple[float, bool]:
        factor = 2.5 if share == 1.0 else 1.0
        return factor * _work(rng), rng.random() < 0.1 * (share == 1.0)

    results = [_trial(seed, slower_when_alone) for seed in range(_TRIALS)]
    assert {item[0] for item in results} == {Outcome.COMPLETE}


@pytest.mark.parametrize('old_runs', [0, 240])
def test_a_rollout_without_results_stays_in_its_first_stage(
    old_runs: int,
) -> None:
    """A bad version would get a fifth of many calls, unseen."""
    rollout = Rollout('v2', 0.0, 16.0)
    rollout.advance(0.25, present=True)
    tally = Tally()
    for _ in range(old_runs):
        tally.record(_MEAN_MS, failed=False)
    counts = RolloutCounts('a', 0, tuple(tally.durations))
    rollout.set_results('o0', 'v1', [counts])
    rollout.advance(3.0, present=True)
    assert rollout.share == _rollout.STAGES[0][1]


def test_without_endpoints_the_old_version_goes_on() -> None:
    rollout = Rollout('v2', 0.0, 16.0)
    assert rollout.advance(8.0, present=False) is Outcome.CONTINUE
    assert rollout.share == 0.0
    assert rollout.advance(16.0, present=False) is Outcome.ROLL_BACK


def test_a_new_controller_takes_over_the_stage() -> None:
    """The share must not fall back when the controller changes."""
    rollout = Rollout('v2', 0.0, 16.0)
    rollout.resume(0.45, 9.0)
    assert rollout.share == 0.45
    assert rollout.advance(9.2, present=True) is Outcome.CONTINUE
    assert rollout.share == 0.45


@pytest.mark.parametrize(
    ('trials', 'successes', 'rate', 'expected'),
    [(10, 10, 0.5, 0.0009765625), (10, 3, 0.5, 1.0), (20, 4, 0.01, 4.259e-5)],
)
def test_tail(
    trials: int, successes: int, rate: float, expected: float
) -> None:
    found = _rollout.tail_probability(trials, successes, rate)
    assert found == pytest.approx(expected, rel=1e-2)


def test_buckets_grow_with_the_duration() -> None:
    values = [_rollout.bucket(10 ** (exponent / 10)) for exponent in range(60)]
    assert values == sorted(values)
    assert values[0] == 0 and values[-1] == _rollout.BUCKETS - 1
