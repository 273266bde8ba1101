"""Stages and decisions of rollouts, which are moves that last seconds.

A rollout of 16 s at 100 calls/s is too short for the sequential test of
`gypsumhall.core._evidence`, which was designed for minutes. Instead, the
failures and slow runs of the new version are compared with those of the old
version at the same time, over all routes and for each route.
``tests/test_core_rollout.py`` simulates good versions and versions that fail
or are slow from the start, later, under load or on one route.
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
"""Number of buckets of the histogram of durations."""

_FIRST_BUCKET_MS = 2.0
_BUCKET_RATIO = 1.5

STAGES = ((0.0, 0.04), (0.45, 0.2), (0.66, 0.45), (0.8, 1.0))
"""Fraction of the rollout's duration at which each stage begins, and the share
of the calls that the new version gets in it. The first share is below the
tenth of the calls that a bad version may get, and the first stage is long
enough to detect versions that become bad some seconds after their start. A
version that becomes bad in the third stage has got less than a tenth of all
calls by then. The slots of both versions are in use before the last stage."""

COMPLETE_AT = 0.88
"""Fraction of the duration at which a rollout is complete. Calls that were
sent to the old version before the last stage have ended by then, and the
remaining time allows for a slow store."""

MIN_STAGE_S = 1.0
"""Minimum duration of a stage in seconds, which matters if it began late."""

MIN_RUNS = 20
"""Runs of the new version below which the first stage is extended."""

_FEW_RUNS = 10
"""Expected runs of the new version in the whole first stage below which the
second stage begins early. At such low rates the first stage would give no
evidence, and a bad version gets few calls in the second stage."""

_SECOND_STAGE_EARLIEST = 0.15
"""Fraction of the duration after which the rate of runs is accurate enough
to begin the second stage early."""

_SECOND_STAGE_LATEST = 0.7
"""Fraction of the duration after which the second stage begins without
`MIN_RUNS`."""

_MIN_FAULTS = 4
_ALPHA = 1e-5
"""Significance level of a decision against the new version."""

_LAST_STAGE_FAILURE_RATE = 0.5
"""Failure rate that the new version must significantly exceed in the last
stage to be rolled back. Without calls to the old version at the same time,
faults that have another cause cannot otherwise be distinguished."""

_ALPHA_WITHOUT_WORST = 0.05
"""Significance level for the results without the worst endpoint."""

_SLOW_SHARE = 0.1
"""Fraction of the old version's runs that count as slow."""

_TOLERANCE = 0.02
"""Added to the fault rate of the old version before the comparison."""

_PRIOR_RUNS = 20


class Outcome(enum.Enum):
    """Decision on a rollout."""

    CONTINUE = 'continue'
    COMPLETE = 'complete'
    ROLL_BACK = 'roll-back'


def bucket(duration_ms: float) -> int:
    """Return the index of the bucket of a duration."""
    if duration_ms <= _FIRST_BUCKET_MS:
        return 0
    index = int(math.log(duration_ms / _FIRST_BUCKET_MS, _BUCKET_RATIO)) + 1
    return min(BUCKETS - 1, index)


@dataclass(slots=True)
class Tally:
    """Aggregated results of runs.

    Parameters
    ----------
    failures : int
        Runs that failed.
    durations : list of int
        Number of runs by bucket of the duration.
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
        """Return the number of runs in the buckets above `index`."""
        return sum(self.durations[index + 1 :])


@dataclass(slots=True)
class _VersionResults:
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
    """Evidence and stage of one rollout, as tracked by its controller.

    Parameters
    ----------
    version : str
        The new version.
    started : float
        Time in seconds at which the rollout was ordered.
    duration_s : float
        Time in seconds within which the rollout has to end.
    """

    __slots__ = (
        '_before_last_stage',
        '_duration_s',
        '_new',
        '_old',
        '_stage',
        '_stage_started',
        '_started',
        '_version',
    )

    def __init__(
        self, version: str, started: float, duration_s: float
    ) -> None:
        self._version = version
        self._started = started
        self._duration_s = max(0.001, duration_s)
        self._new = _VersionResults()
        self._old = _VersionResults()
        self._stage = -1
        self._stage_started = started
        self._before_last_stage = Tally()

    @property
    def share(self) -> float:
        """Share of the calls that the new version gets."""
        return STAGES[self._stage][1] if self._stage >= 0 else 0.0

    @property
    def runs(self) -> tuple[int, int]:
        """Reported runs of the new and of the old version."""
        return self._new.tally().runs, self._old.tally().runs

    def resume(self, share: float, now: float) -> None:
        """Continue from the stage that a previous controller has reached."""
        for index, (_, stage_share) in enumerate(STAGES):
            if stage_share <= share:
                self._enter_stage(index, now)

    def set_results(
        self, endpoint: str, version: str, counts: Iterable[RolloutCounts]
    ) -> None:
        """Set the results of an endpoint, replacing its earlier ones."""
        results = self._new if version == self._version else self._old
        results.endpoints[endpoint] = {item.route: item for item in counts}

    def advance(self, now: float, *, present: bool) -> Outcome:
        """Decide how the rollout continues; this may change `share`.

        Parameters
        ----------
        now : float
            Current time in seconds.
        present : bool
            Whether the new version has a ready endpoint.
        """
        if self.suspicion():
            return Outcome.ROLL_BACK
        progress = (now - self._started) / self._duration_s
        if not present:
            # Without a ready endpoint, the old version must keep serving.
            return Outcome.ROLL_BACK if progress >= 1.0 else Outcome.CONTINUE
        if self._stage < 0:
            self._enter_stage(0, now)
        elapsed_s = now - self._stage_started
        last = len(STAGES) - 1
        if self._stage == last:
            if progress >= COMPLETE_AT and elapsed_s >= MIN_STAGE_S:
                return Outcome.COMPLETE
            return Outcome.CONTINUE
        due = (
            progress >= STAGES[self._stage + 1][0] and elapsed_s >= MIN_STAGE_S
        )
        if due and self._stage == 0 and progress < _SECOND_STAGE_LATEST:
            due = self._new.tally().runs >= MIN_RUNS
        if due or self._gets_few_runs(now):
            self._enter_stage(self._stage + 1, now)
        return Outcome.CONTINUE

    def _gets_few_runs(self, now: float) -> bool:
        """Whether the first stage gets too few runs for a decision."""
        elapsed_s = now - self._stage_started
        if (
            self._stage
            or elapsed_s < _SECOND_STAGE_EARLIEST * self._duration_s
        ):
            return False
        new, old = self.runs
        if old < _MIN_FAULTS:
            # Results may be delayed or lost, so the rate is unknown.
            return False
        stage_s = STAGES[1][0] * self._duration_s
        return self.share * (new + old) * stage_s / elapsed_s < _FEW_RUNS

    def suspicion(self) -> str:
        """Return where the new version is bad; empty if it is not."""
        if self._stage == len(STAGES) - 1:
            return self._last_stage_suspicion()
        if self._is_bad(''):
            return 'all routes'
        for route in sorted(self._new.routes()):
            if self._is_bad(route):
                return f'route {route}'
        return ''

    def _last_stage_suspicion(self) -> str:
        total = self._new.tally()
        before = self._before_last_stage
        runs = total.runs - before.runs
        failures = total.failures - before.failures
        if tail_probability(runs, failures, _LAST_STAGE_FAILURE_RATE) < _ALPHA:
            return 'all routes in the last stage'
        return ''

    def _enter_stage(self, stage: int, now: float) -> None:
        self._stage = stage
        self._stage_started = now
        if stage == len(STAGES) - 1:
            self._before_last_stage = self._new.tally()

    def _is_bad(self, route: str) -> bool:
        new = self._new.tally(route)
        old = self._old.tally(route)
        if self._p_value(new, old) >= _ALPHA:
            return False
        endpoints = self._new.endpoints
        if len(endpoints) < 2:
            return True
        worst = max(
            endpoints,
            key=lambda item: self._faulty_runs(
                self._endpoint_tally(item, route), old
            ),
        )
        rest = self._new.tally(route, without=worst)
        if not rest.runs:
            return True
        return self._p_value(rest, old) < _ALPHA_WITHOUT_WORST

    def _endpoint_tally(self, endpoint: str, route: str) -> Tally:
        total = Tally()
        for counts in self._new.endpoints[endpoint].values():
            if route in ('', counts.route):
                total.add(counts.failures, counts.durations)
        return total

    @staticmethod
    def _faulty_runs(new: Tally, old: Tally) -> int:
        return new.failures + new.slower_than(_slow_bucket(old))

    @staticmethod
    def _p_value(new: Tally, old: Tally) -> float:
        """Return the p-value of the faults if the versions are equal."""
        runs = new.runs
        old_runs = old.runs
        rate = (old.failures + 1) / (old_runs + _PRIOR_RUNS) + _TOLERANCE
        p_value = tail_probability(runs, new.failures, rate)
        if old_runs >= _PRIOR_RUNS:
            index = _slow_bucket(old)
            slow = (old.slower_than(index) + 1) / (old_runs + 1) + _TOLERANCE
            p_value = min(
                p_value, tail_probability(runs, new.slower_than(index), slow)
            )
        return p_value


def _slow_bucket(old: Tally) -> int:
    """Return the bucket above which a run counts as slow."""
    allowed = _SLOW_SHARE * old.runs
    above = 0
    for index in range(BUCKETS - 1, -1, -1):
        above += old.durations[index]
        if above > allowed:
            # One bucket higher, so that rounding cannot make a run slow.
            return min(BUCKETS - 1, index + 1)
    return BUCKETS - 1


def tail_probability(trials: int, successes: int, rate: float) -> float:
    """Return the probability of at least `successes` successes.

    The result is 1 for fewer than `_MIN_FAULTS` successes, which are never
    significant. The parameters are those of the function in
    `gypsumhall.core._binomial`.
    """
    if successes < _MIN_FAULTS:
        return 1.0
    return _binomial.tail_probability(trials, successes, min(0.99, rate))
