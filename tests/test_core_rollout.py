"""Simulated rollouts of good and bad versions with `gypsumhall.core._rollout`.

Each trial simulates a rollout of 16 s at 100 calls per second with log-normal
service times and a controller that decides four times a second.
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


def _service_ms(rng: Random) -> float:
    return _MEAN_MS * rng.lognormvariate(-0.2, 0.6)


def _good(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _service_ms(rng), rng.random() < 0.005


def _often_failing(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _service_ms(rng), rng.random() < 0.4


def _slow(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    factor = 8.0 if rng.random() < 0.4 else 1.0
    return factor * _service_ms(rng), False


def _failing_always(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _service_ms(rng), True


def _failing_late(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _service_ms(rng), now > 3.5 and rng.random() < 0.4


def _failing_on_one_route(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _service_ms(rng), route == 'b' and rng.random() < 0.5


def _failing_under_load(
    rng: Random, now: float, route: str, share: float
) -> tuple[float, bool]:
    return _service_ms(rng), share > 0.15 and rng.random() < 0.4


def _trial(
    seed: int,
    behaviour: Behaviour,
    faulty_endpoint: str = '',
    rate: int = _RATE,
) -> tuple[Outcome, float, float, int]:
    """Return the outcome, its time, the new version's share and faulty runs.

    The share is the number of calls of the new version divided by the number
    of all calls in a complete rollout. Runs are faulty if they failed or were
    slow. Endpoints ``n0`` to ``n2`` run the new version, ``o0`` to ``o2`` the
    old one.
    """
    rng = Random(seed)
    rollout = Rollout('v2', 0.0, _DURATION_S)
    tallies: dict[tuple[str, str], dict[str, Tally]] = {}
    new_calls = bad = 0
    now = 0.0
    while now < _DURATION_S:
        now += _STEP_S
        for _ in range(int(rate * _STEP_S)):
            is_new = rng.random() < rollout.share
            prefix = 'n' if is_new else 'o'
            endpoint = prefix + str(rng.randrange(3))
            route = 'a' if rng.random() < 0.7 else 'b'
            if is_new:
                duration, failed = behaviour(rng, now, route, rollout.share)
                new_calls += 1
            else:
                duration, failed = _good(rng, now, route, 0.0)
            if endpoint == faulty_endpoint:
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
            return outcome, now, new_calls / (rate * _DURATION_S), bad
    return Outcome.CONTINUE, now, new_calls / (rate * _DURATION_S), bad


def test_rollouts_of_good_versions_complete_in_time() -> None:
    results = [_trial(seed, _good) for seed in range(_TRIALS)]
    assert {item[0] for item in results} == {Outcome.COMPLETE}
    assert max(item[1] for item in results) <= 0.95 * _DURATION_S


@pytest.mark.parametrize(
    'behaviour',
    [_often_failing, _slow, _failing_late, _failing_on_one_route],
    ids=lambda i: i.__name__,
)
def test_bad_versions_are_rolled_back_in_first_stage(
    behaviour: Behaviour,
) -> None:
    """The new version gets under a tenth of the calls and 50 bad runs."""
    results = [_trial(seed, behaviour) for seed in range(_TRIALS)]
    assert {item[0] for item in results} == {Outcome.ROLL_BACK}
    assert max(item[2] for item in results) < 0.1
    assert max(item[3] for item in results) < 50


@pytest.mark.parametrize('rate', [28, 8, 4])
def test_bad_versions_are_rolled_back_at_low_rates(rate: int) -> None:
    """Guards against completion before enough results are available.

    The platform allows a bad version a tenth of all calls plus 50.
    """
    results = [
        _trial(seed, _failing_always, rate=rate) for seed in range(_TRIALS)
    ]
    assert {item[0] for item in results} == {Outcome.ROLL_BACK}
    calls = rate * _DURATION_S
    assert max(item[2] * calls for item in results) < 0.1 * calls + 50


@pytest.mark.parametrize('rate', [28, 8, 4])
def test_rollouts_of_good_versions_complete_at_low_rates(rate: int) -> None:
    results = [_trial(seed, _good, rate=rate) for seed in range(_TRIALS)]
    assert {item[0] for item in results} == {Outcome.COMPLETE}
    assert max(item[1] for item in results) <= 0.95 * _DURATION_S


def test_version_that_fails_under_load_is_rolled_back() -> None:
    """The platform allows a bad version a tenth of all calls plus 50."""
    results = [_trial(seed, _failing_under_load) for seed in range(_TRIALS)]
    assert {item[0] for item in results} == {Outcome.ROLL_BACK}
    calls = _RATE * _DURATION_S
    assert max(item[2] * calls for item in results) < 0.1 * calls + 50


def test_faulty_endpoint_does_not_roll_back_good_version() -> None:
    results = [_trial(seed, _good, 'n1') for seed in range(_TRIALS)]
    rolled_back = [item for item in results if item[0] is Outcome.ROLL_BACK]
    assert len(rolled_back) <= 1


def test_overload_in_last_stage_does_not_roll_back_version() -> None:
    """Calls are slower when fewer endpoints serve them, whatever the version.

    In the run scale-1 of steamgate-na, a good version was rolled back 1 s
    after it had received all calls.
    """

    def slower_when_alone(
        rng: Random, now: float, route: str, share: float
    ) -> tuple[float, bool]:
        factor = 2.5 if share == 1.0 else 1.0
        return factor * _service_ms(rng), rng.random() < 0.1 * (share == 1.0)

    results = [_trial(seed, slower_when_alone) for seed in range(_TRIALS)]
    assert {item[0] for item in results} == {Outcome.COMPLETE}


@pytest.mark.parametrize('old_runs', [0, 240])
def test_rollout_without_results_remains_in_first_stage(
    old_runs: int,
) -> None:
    """Otherwise a bad version would get a fifth of the calls undetected."""
    rollout = Rollout('v2', 0.0, 16.0)
    rollout.advance(0.25, present=True)
    tally = Tally()
    for _ in range(old_runs):
        tally.record(_MEAN_MS, failed=False)
    counts = RolloutCounts('a', 0, tuple(tally.durations))
    rollout.set_results('o0', 'v1', [counts])
    rollout.advance(3.0, present=True)
    assert rollout.share == _rollout.STAGES[0][1]


def test_without_endpoints_old_version_keeps_serving() -> None:
    rollout = Rollout('v2', 0.0, 16.0)
    assert rollout.advance(8.0, present=False) is Outcome.CONTINUE
    assert rollout.share == 0.0
    assert rollout.advance(16.0, present=False) is Outcome.ROLL_BACK


def test_new_controller_resumes_stage() -> None:
    """The share must not decrease when the controller changes."""
    rollout = Rollout('v2', 0.0, 16.0)
    rollout.resume(0.45, 9.0)
    assert rollout.share == 0.45
    assert rollout.advance(9.2, present=True) is Outcome.CONTINUE
    assert rollout.share == 0.45


@pytest.mark.parametrize(
    ('trials', 'successes', 'rate', 'expected'),
    [(10, 10, 0.5, 0.0009765625), (10, 3, 0.5, 1.0), (20, 4, 0.01, 4.259e-5)],
)
def test_tail_probability(
    trials: int, successes: int, rate: float, expected: float
) -> None:
    found = _rollout.tail_probability(trials, successes, rate)
    assert found == pytest.approx(expected, rel=1e-2)


def test_buckets_increase_with_duration() -> None:
    values = [_rollout.bucket(10 ** (exponent / 10)) for exponent in range(60)]
    assert values == sorted(values)
    assert values[0] == 0 and values[-1] == _rollout.BUCKETS - 1
