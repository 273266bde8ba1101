"""Stages and verdict of a move that lasts seconds.

A rollout of 16 s at 100 calls/s leaves no time for the evidence of
`gypsumhall.core._evidence`, which was designed for minutes. Here the results
of the new version are compared with those of the old one at the same time,
once over all routes and once per route, and both for failures and for slow
runs. ``tests/test_core_rollout.py`` replays versions that are good, that
fail or are slow at once, later, under load and on one route.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import enum
import math
from typing import TYPE_CHECKING

from gypsumhall.core import _binomial

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from gypsumhall.net._messages import RolloutCounts

BUCKETS = 24
"""Number of ranges of durations."""

_FIRST_MS = 2.0
_RATIO = 1.5

STAGES = ((0.0, 0.04), (0.45, 0.2), (0.66, 0.45), (0.8, 1.0))
"""Part of the rollout's time at which a stage begins, and the share of the
calls that the new version gets in it. The first one stays below the tenth
that a bad version may get, and is long enough for versions that turn bad
some seconds after their start. A version that turns bad in the third one has
got less than a tenth of all calls. Before the last one, the slots of both
versions are in use."""

COMPLETE_AT = 0.88
"""Part of the time at which a rollout is complete: calls that were sent to
the old version before the last stage have ended by then, and the rest of the
time covers a slow store."""

MIN_STAGE_S = 1.0
"""Shortest time in seconds of a stage that began late."""

MIN_RUNS = 20
"""Runs of the new version without which the first stage lasts longer."""

_FEW_RUNS = 10
"""Runs in the whole first stage below which the second one begins early: at
low rates the first stage would show nothing, and the calls that a bad version
gets in the second one are few."""

_EARLY_START = 0.15
"""Part of the time after which the rate of runs is known well enough."""

_LAST_START = 0.7
"""Part of the time after which the second stage begins without `MIN_RUNS`."""

_MIN_BAD = 4
_ALPHA = 1e-5
"""Probability by chance below which results condemn a version."""

_LAST_RATE = 0.5
"""Share of failures in the last stage that a version must exceed to be
condemned. Without calls to the old version at the same time, faults that
have another cause cannot be told apart otherwise."""

_ALPHA_REST = 0.05
"""The same, for the results without the worst endpoint."""

_SLOW_SHARE = 0.1
"""Share of the old version's runs that count as slow."""

_TOLERANCE = 0.02
"""Faults of the old version are taken to be more frequent by this share."""

_PRIOR_RUNS = 20


class Outcome(enum.Enum):
    """What the controller decides."""

    CONTINUE = 'continue'
    COMPLETE = 'complete'
    ROLL_BACK = 'roll-back'


def bucket(duration_ms: float) -> int:
    """Return the index of the range that a duration lies in."""
    if duration_ms <= _FIRST_MS:
        return 0
    index = int(math.log(duration_ms / _FIRST_MS, _RATIO)) + 1
    return min(BUCKETS - 1, index)


@dataclass(slots=True)
class Tally:
    """Results of runs, summed up.

    Parameters
    ----------
    failures : int
        Runs that failed.
    durations : list of int
        Number of runs by range of duration.
    """

    failures: int = 0
    durations: list[int] = field(default_factory=lambda: [0] * BUCKETS)

    @property
    def runs(self) -> int:
        """Number of runs."""
        return sum(self.durations)

    def record(self, duration_ms: float, *, failed: bool) -> None:
        """Add a run."""
        self.failures += failed
        self.durations[bucket(duration_ms)] += 1

    def add(self, failures: int, durations: Iterable[int]) -> None:
        """Add the results of other runs."""
        self.failures += failures
        for index, count in enumerate(durations):
            if index < BUCKETS:
                self.durations[index] += count

    def slower_than(self, index: int) -> int:
        """Return the number of runs in ranges above one."""
        return sum(self.durations[index + 1 :])


@dataclass(slots=True)
class _Version:
    """Results of one version, by endpoint and route."""

    endpoints: dict[str, Mapping[str, RolloutCounts]] = field(
        default_factory=dict
    )

    def tally(self, route: str = '', without: str = '') -> Tally:
        total = Tally()
        for endpoint, routes in self.endpoints.items():
            if endpoint == without:
                continue
            for counts in routes.values():
                if route in ('', counts.route):
                    total.add(counts.failures, counts.durations)
        return total

    def routes(self) -> set[str]:
        return {name for item in self.endpoints.values() for name in item}


class Rollout:
    """Evidence and stage of one rollout, as its controller holds them.

    Parameters
    ----------
    version : str
        The new version.
    started : float
        Time in seconds at which it was ordered.
    duration_s : float
        Time in seconds within which it has to end.
    """

    __slots__ = (
        '_duration_s',
        '_new',
        '_old',
        '_stage',
        '_before_last',
        '_stage_since',
        '_started',
        '_version',
    )

    def __init__(
        self, version: str, started: float, duration_s: float
    ) -> None:
        self._version = version
        self._started = started
        self._duration_s = max(0.001, duration_s)
        self._new = _Version()
        self._old = _Version()
        self._stage = -1
        self._stage_since = started
        self._before_last = Tally()

    @property
    def share(self) -> float:
        """Share of the calls that the new version gets."""
        return STAGES[self._stage][1] if self._stage >= 0 else 0.0

    @property
    def runs(self) -> tuple[int, int]:
        """Runs of the new and of the old version that are known."""
        return self._new.tally().runs, self._old.tally().runs

    def resume(self, share: float, now: float) -> None:
        """Take over the stage that an earlier controller has reached."""
        for index, (_, known) in enumerate(STAGES):
            if known <= share:
                self._enter(index, now)

    def set_results(
        self, endpoint: str, version: str, counts: Iterable[RolloutCounts]
    ) -> None:
        """Take over the results at an endpoint; they replace earlier ones."""
        side = self._new if version == self._version else self._old
        side.endpoints[endpoint] = {item.route: item for item in counts}

    def advance(self, now: float, *, present: bool) -> Outcome:
        """Decide about the rollout; `share` may change.

        Parameters
        ----------
        now : float
            Current time in seconds.
        present : bool
            Whether the new version has a ready endpoint.
        """
        if self.suspicion():
            return Outcome.ROLL_BACK
        part = (now - self._started) / self._duration_s
        if not present:
            # Without endpoints the old version has to go on.
            return Outcome.ROLL_BACK if part >= 1.0 else Outcome.CONTINUE
        if self._stage < 0:
            self._enter(0, now)
        held = now - self._stage_since
        last = len(STAGES) - 1
        if self._stage == last:
            if part >= COMPLETE_AT and held >= MIN_STAGE_S:
                return Outcome.COMPLETE
            return Outcome.CONTINUE
        due = part >= STAGES[self._stage + 1][0] and held >= MIN_STAGE_S
        if due and self._stage == 0 and part < _LAST_START:
            due = self._new.tally().runs >= MIN_RUNS
        if due or self._has_few_runs(now):
            self._enter(self._stage + 1, now)
        return Outcome.CONTINUE

    def _has_few_runs(self, now: float) -> bool:
        """Whether the first stage cannot show whether a version is bad."""
        held = now - self._stage_since
        if self._stage or held < _EARLY_START * self._duration_s:
            return False
        new, old = self.runs
        if old < _MIN_BAD:
            # Results may be late or lost; the rate is not known then.
            return False
        stage_s = STAGES[1][0] * self._duration_s
        return self.share * (new + old) * stage_s / held < _FEW_RUNS

    def suspicion(self) -> str:
        """Return why the new version is bad; empty when it is not."""
        if self._stage == len(STAGES) - 1:
            return self._suspicion_alone()
        if self._is_bad(''):
            return 'all routes'
        for route in sorted(self._new.routes()):
            if self._is_bad(route):
                return f'route {route}'
        return ''

    def _suspicion_alone(self) -> str:
        total = self._new.tally()
        before = self._before_last
        runs = total.runs - before.runs
        failures = total.failures - before.failures
        if tail_probability(runs, failures, _LAST_RATE) < _ALPHA:
            return 'all routes in the last stage'
        return ''

    def _enter(self, stage: int, now: float) -> None:
        self._stage = stage
        self._stage_since = now
        if stage == len(STAGES) - 1:
            self._before_last = self._new.tally()

    def _is_bad(self, route: str) -> bool:
        new = self._new.tally(route)
        old = self._old.tally(route)
        if self._chance(new, old) >= _ALPHA:
            return False
        endpoints = self._new.endpoints
        if len(endpoints) < 2:
            return True
        worst = max(
            endpoints,
            key=lambda item: self._bad_runs(self._tally_of(item, route), old),
        )
        rest = self._new.tally(route, without=worst)
        if not rest.runs:
            return True
        return self._chance(rest, old) < _ALPHA_REST

    def _tally_of(self, endpoint: str, route: str) -> Tally:
        total = Tally()
        for counts in self._new.endpoints[endpoint].values():
            if route in ('', counts.route):
                total.add(counts.failures, counts.durations)
        return total

    @staticmethod
    def _bad_runs(new: Tally, old: Tally) -> int:
        return new.failures + new.slower_than(_slow_from(old))

    @staticmethod
    def _chance(new: Tally, old: Tally) -> float:
        """Return how likely the faults are if the versions are equal."""
        runs = new.runs
        known = old.runs
        rate = (old.failures + 1) / (known + _PRIOR_RUNS) + _TOLERANCE
        chance = tail_probability(runs, new.failures, rate)
        if known >= _PRIOR_RUNS:
            index = _slow_from(old)
            slow = (old.slower_than(index) + 1) / (known + 1) + _TOLERANCE
            chance = min(
                chance, tail_probability(runs, new.slower_than(index), slow)
            )
        return chance


def _slow_from(old: Tally) -> int:
    """Return the range above which a run counts as slow."""
    allowed = _SLOW_SHARE * old.runs
    above = 0
    for index in range(BUCKETS - 1, -1, -1):
        above += old.durations[index]
        if above > allowed:
            # One range more, so that rounding cannot make a run slow.
            return min(BUCKETS - 1, index + 1)
    return BUCKETS - 1


def tail_probability(trials: int, successes: int, rate: float) -> float:
    """Return the probability of at least as many successes.

    Fewer than `_MIN_BAD` of them show nothing. The parameters are those of
    `gypsumhall.core._binomial.tail_probability`.
    """
    if successes < _MIN_BAD:
        return 1.0
    return _binomial.tail_probability(trials, successes, min(0.99, rate))
