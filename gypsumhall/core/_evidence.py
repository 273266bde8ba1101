"""Sequential test of whether a new service version is worse than the old.

Calls are assigned to the two versions at random. If the new version is not
worse, the probability that a given fault occurs on it therefore equals its
share of the calls, whatever the fault rate. The likelihood ratio of a fault
for a given odds ratio is then an e-value: its expectation is at most one, so
a product over many faults is unlikely to become large by chance (Grünwald, de
Heide and Koolen, "Safe testing", 2024; the restart at one follows Shin, Ramdas
and Rinaldo, "E-detectors", 2024).
"""

from __future__ import annotations

from collections import defaultdict
from collections import deque
from dataclasses import dataclass
from dataclasses import field
import enum
import math
from typing import TYPE_CHECKING

from gypsumhall.core import _binomial

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from gypsumhall.net._messages import Counts

# Key of the test over all routes together, which detects a fault that affects
# all of them sooner than the tests of single routes.
ALL_ROUTES = '*'

ODDS_RATIOS = (2.0, 5.0, 20.0, 100.0)

# Log evidence required for a verdict. The mixture over the odds ratios divides
# the significance level by their number; 1e9 keeps the rate of false verdicts
# over all moves below one a year.
VERDICT_LOG = math.log(1e9 * len(ODDS_RATIOS))

# Log evidence that a verdict also requires without the worst failure domain,
# so that a single faulty VM or availability zone does not cause a verdict. A
# bound of 1e2 is reached by the restarted statistic by chance within minutes.
DOMAIN_LOG = math.log(1e4)

# Upper bound of the log evidence of one interval, so that a fault that lasts
# less than four intervals does not cause a verdict.
INTERVAL_LOG = math.log(1e3)

# Above this statistic a stage is not advanced while the fault rate of the new
# version exceeds that of the old version by more than the tolerance.
SUSPICION_LOG = math.log(20.0 * len(ODDS_RATIOS))
FAULT_RATE_TOLERANCE = 0.01

# Evidence is suspicious, whatever the statistic, if the faults in this number
# of recent intervals exceed those expected from the old version's fault rate
# by this number and by this fraction of the calls. The statistic alone grows
# too slowly at a share of 90 % while senders eject the failing endpoints of
# their zone, since few groups then have calls to both versions: a move to a
# version that failed all calls for 9 s was finished.
RECENT_INTERVALS = 10
RECENT_EXCESS = 5.0
RECENT_EXCESS_RATE = 0.05

# Significance levels of the test for small samples, for all failures and for
# those outside the worst failure domain. The second one corresponds to
# `DOMAIN_LOG`.
FEW_CALLS_LEVEL = 1e-6
FEW_CALLS_DOMAIN_LEVEL = 1e-4


class FaultKind(enum.StrEnum):
    """Kind of fault; each kind is tested separately."""

    FAILURE = 'failure'
    SLOW = 'slow'


@dataclass(slots=True, frozen=True)
class Verdict:
    """Conclusion of the test that a new version is worse.

    Parameters
    ----------
    route : str
        ``<department>/<route>`` with the faults, or `ALL_ROUTES`.
    kind : FaultKind
        Kind of the faults.
    statistic : float
        Natural logarithm of the evidence.
    """

    route: str
    kind: FaultKind
    statistic: float

    def __str__(self) -> str:
        return (
            f'{self.kind} on route {self.route} '
            f'(log evidence {self.statistic:.1f})'
        )


# Numbers of recent intervals that are checked for an increase of the new
# version's share. If the old version's endpoints disappear, nearly all faults
# occur on the new version, which alone is no evidence against it.
GROWTH_WINDOWS = (1, 4, 16, 64)


@dataclass(slots=True)
class _VersionCounts:
    """Calls and faults of both versions."""

    old_calls: int = 0
    old_faults: int = 0
    new_calls: int = 0
    new_faults: int = 0

    def add(self, *, new: bool, calls: int, faults: int) -> None:
        if new:
            self.new_calls += calls
            self.new_faults += faults
        else:
            self.old_calls += calls
            self.old_faults += faults

    def include(self, other: _VersionCounts) -> None:
        self.old_calls += other.old_calls
        self.old_faults += other.old_faults
        self.new_calls += other.new_calls
        self.new_faults += other.new_faults

    @property
    def excess_rate(self) -> float:
        """Fault rate of the new version minus that of the old one."""
        old = self.old_faults / self.old_calls if self.old_calls else 0.0
        new = self.new_faults / self.new_calls if self.new_calls else 0.0
        return new - old

    @property
    def share(self) -> float:
        """Upper estimate of the new version's share of the calls.

        An overestimate of the share only weakens the evidence, while an
        underestimate would invalidate it. The estimate is therefore raised by
        one call and one standard deviation.
        """
        upper = self.new_calls + 1 + math.sqrt(self.new_calls)
        return min(1.0, upper / (self.old_calls + self.new_calls + 1))


@dataclass(slots=True)
class _Stratum:
    """Calls that are randomly assigned to the versions at a common share."""

    total: _VersionCounts = field(default_factory=_VersionCounts)
    recent: deque[_VersionCounts] = field(
        default_factory=lambda: deque(maxlen=GROWTH_WINDOWS[-1])
    )

    def add(self, counts: _VersionCounts) -> None:
        self.total.include(counts)
        self.recent.appendleft(counts)

    @property
    def share(self) -> float:
        """Upper estimate of the share, from recent calls if it increased."""
        share = self.total.share
        window = _VersionCounts()
        estimate = share
        for index, group in enumerate(self.recent, 1):
            window.include(group)
            if index in GROWTH_WINDOWS and _has_grown(window, share):
                estimate = max(estimate, window.share)
        return estimate


def _has_grown(counts: _VersionCounts, share: float) -> bool:
    calls = counts.old_calls + counts.new_calls
    deviation = math.sqrt(calls * share * (1 - share))
    return counts.new_calls > calls * share + 4 * deviation + 2


@dataclass(slots=True)
class _Statistic:
    """Log evidence of one route and kind of fault; restarts at zero."""

    log_evidence: list[float] = field(
        default_factory=lambda: [0.0] * len(ODDS_RATIOS)
    )

    @property
    def value(self) -> float:
        return max(self.log_evidence)

    def add(self, increments: Sequence[float]) -> None:
        for index, increment in enumerate(increments):
            bounded = min(increment, INTERVAL_LOG)
            self.log_evidence[index] = max(
                0.0, self.log_evidence[index] + bounded
            )


def log_likelihood_ratios(
    share: float, old_faults: int, new_faults: int
) -> tuple[float, ...]:
    """Return the evidence of the given faults for each of `ODDS_RATIOS`.

    Parameters
    ----------
    share : float
        Share of the calls that went to the new version, 0 to 1.
    old_faults, new_faults : int
        Faults of calls to the old and to the new version.

    Returns
    -------
    tuple of float
        Natural logarithms of the likelihood ratios.
    """
    ratios = []
    for odds in ODDS_RATIOS:
        norm = math.log(odds * share + 1 - share)
        ratios.append(new_faults * (math.log(odds) - norm) - old_faults * norm)
    return tuple(ratios)


class EvidenceTest:
    """Accumulates the evidence about one move.

    Parameters
    ----------
    new_version : str
        Target version of the move; all others count as old.
    """

    __slots__ = (
        '_endpoints_by_zone',
        '_leave_one_out',
        '_move_counts',
        '_new_version',
        '_recent',
        '_stage',
        '_stage_counts',
        '_stage_counts_by_endpoint',
        '_statistics',
        '_strata',
        '_verdict',
    )

    def __init__(self, new_version: str) -> None:
        self._new_version = new_version
        self._statistics: dict[tuple[str, FaultKind], _Statistic] = (
            defaultdict(_Statistic)
        )
        self._leave_one_out: dict[
            tuple[str, FaultKind], dict[str, _Statistic]
        ] = defaultdict(lambda: defaultdict(_Statistic))
        self._strata: dict[tuple[int, str, str], _Stratum] = defaultdict(
            _Stratum
        )
        self._endpoints_by_zone: dict[str, set[str]] = {}
        self._recent: deque[Sequence[Counts]] = deque(maxlen=RECENT_INTERVALS)
        self._stage = -1
        self._stage_counts = _VersionCounts()
        self._stage_counts_by_endpoint: dict[
            tuple[str, str], _VersionCounts
        ] = defaultdict(_VersionCounts)
        self._move_counts = _VersionCounts()
        self._verdict: Verdict | None = None

    @property
    def verdict(self) -> Verdict | None:
        """The first verdict, which is final."""
        return self._verdict

    @property
    def new_calls(self) -> int:
        """Calls to the new version in all stages."""
        return self._move_counts.new_calls

    @property
    def calls(self) -> int:
        """Calls to both versions in all stages."""
        return self._move_counts.old_calls + self._move_counts.new_calls

    @property
    def stage_calls(self) -> int:
        """Calls to both versions in the latest stage."""
        return self._stage_counts.old_calls + self._stage_counts.new_calls

    @property
    def excess_rate(self) -> float:
        """Fault rate of the new version minus that of the old one.

        Both are rates of the latest stage, 0 to 1.
        """
        return self._stage_counts.excess_rate

    @property
    def statistic(self) -> float:
        """Largest statistic over all routes and kinds of faults."""
        values = (item.value for item in self._statistics.values())
        return max(values, default=0.0)

    @property
    def robust_statistic(self) -> float:
        """Largest statistic without its worst failure domain."""
        values = [self._robust_statistic(key) for key in self._statistics]
        return max(values, default=0.0)

    @property
    def suspicious(self) -> bool:
        """Whether the evidence is currently against advancing the move."""
        if self._has_recent_excess():
            return True
        if self.robust_statistic < SUSPICION_LOG:
            return False
        return self._stage_counts.excess_rate > FAULT_RATE_TOLERANCE

    def fault_p_value(self) -> float:
        """Return the p-value of the new version's number of faults.

        This is the probability of at least this number of faults among the
        calls of all stages at the old version's fault rate. Unlike the
        sequential test, it does not distinguish a fault of a zone from one of
        the version, and it is intended for small numbers of calls only.
        """
        counts = self._move_counts
        rate = (counts.old_faults + 1) / (counts.old_calls + 1)
        return _binomial.tail_probability(
            counts.new_calls, counts.new_faults, rate
        )

    def fails_small_sample_test(self) -> bool:
        """Whether the failures of the latest stage are significant.

        The versions are compared within each zone of endpoints, and the
        failures must remain significant whichever failure domain is left out.
        The test is intended for small numbers of calls only: the sequential
        test needs more, since it uses an upper estimate of the share.
        """
        domains = self._failure_domains()
        if not domains or self._stage_p_value('') >= FEW_CALLS_LEVEL:
            return False
        return all(
            self._stage_p_value(domain) < FEW_CALLS_DOMAIN_LEVEL
            for domain in domains
        )

    def _stage_p_value(self, excluded: str) -> float:
        """Return the p-value of the latest stage's failures.

        Parameters
        ----------
        excluded : str
            Zone or endpoint whose counts are left out; empty for none.
        """
        zones: dict[str, _VersionCounts] = defaultdict(_VersionCounts)
        for key, group in self._stage_counts_by_endpoint.items():
            if excluded not in key:
                zones[key[0]].include(group)
        calls = sum(group.new_calls for group in zones.values())
        if not calls:
            return 1.0
        faults = sum(group.new_faults for group in zones.values())
        expected = sum(
            group.new_calls * (group.old_faults + 1) / (group.old_calls + 1)
            for group in zones.values()
        )
        return _binomial.tail_probability(calls, faults, expected / calls)

    def observe(self, stage: int, counts: Iterable[Counts]) -> Verdict | None:
        """Add the results of one interval of all endpoints.

        Parameters
        ----------
        stage : int
            Stage in which the calls were assigned to the versions. Counts
            of earlier stages than the latest are tested, but not added to the
            counts of the latest stage.
        counts : iterable of Counts
            Results by route, version and endpoint.

        Returns
        -------
        Verdict or None
            The verdict, if one has been reached.
        """
        items = list(counts)
        if items:
            self._recent.append(items)
        self._count_stage(stage, items)
        self._count_strata(stage, items)
        for item in items:
            if item.version == self._new_version and item.calls:
                zone = self._endpoints_by_zone.setdefault(item.zone, set())
                zone.add(item.endpoint)
        for kind in FaultKind:
            if any(_faults(item, kind) for item in items):
                self._observe_kind(stage, kind, items)
        return self._verdict

    def _has_recent_excess(self) -> bool:
        """Whether recent faults are excessive, whichever domain is left out.

        The versions are compared within each zone of endpoints, whatever the
        zone of the sender.
        """
        items = [item for counts in self._recent for item in counts]
        domains = self._failure_domains() or ('',)
        return all(
            _has_excess_faults(
                [
                    item
                    for item in items
                    if domain not in (item.zone, item.endpoint)
                ],
                self._new_version,
            )
            for domain in domains
        )

    def _count_stage(self, stage: int, counts: Sequence[Counts]) -> None:
        if stage > self._stage:
            self._stage = stage
            self._stage_counts = _VersionCounts()
            self._stage_counts_by_endpoint.clear()
        interval_counts = _VersionCounts()
        for item in counts:
            new = item.version == self._new_version
            faults = max(item.failures, item.slow)
            interval_counts.add(new=new, calls=item.calls, faults=faults)
            if stage == self._stage:
                self._stage_counts_by_endpoint[item.zone, item.endpoint].add(
                    new=new, calls=item.calls, faults=item.failures
                )
        self._move_counts.include(interval_counts)
        if stage == self._stage:
            self._stage_counts.include(interval_counts)

    def _count_strata(self, stage: int, counts: Sequence[Counts]) -> None:
        groups: dict[tuple[str, str], _VersionCounts] = defaultdict(
            _VersionCounts
        )
        for item in counts:
            groups[item.sender_zone, item.zone].add(
                new=item.version == self._new_version,
                calls=item.calls,
                faults=0,
            )
        for key, group in groups.items():
            self._strata[stage, *key].add(group)

    def _observe_kind(
        self, stage: int, kind: FaultKind, counts: Sequence[Counts]
    ) -> None:
        increments = self._increments(stage, counts, kind)
        domains = self._failure_domains()
        for route, values in increments.items():
            self._statistics[route, kind].add(values)
        for domain in domains:
            rest = [
                item
                for item in counts
                if domain not in (item.zone, item.endpoint)
            ]
            for route, values in self._increments(stage, rest, kind).items():
                self._leave_one_out[route, kind][domain].add(values)
        for route in increments:
            self._update_verdict((route, kind))

    def _failure_domains(self) -> Sequence[str]:
        """Return the zones or, if there is only one, its endpoints.

        Only zones and endpoints of the new version are included. The result
        is empty if there is a single endpoint: no domain can be left out.
        """
        if len(self._endpoints_by_zone) > 1:
            return sorted(self._endpoints_by_zone)
        endpoints = sorted(
            name
            for names in self._endpoints_by_zone.values()
            for name in names
        )
        return endpoints if len(endpoints) > 1 else ()

    def _increments(
        self, stage: int, counts: Iterable[Counts], kind: FaultKind
    ) -> Mapping[str, Sequence[float]]:
        """Return the log evidence by route and for all routes together."""
        sums: dict[str, list[float]] = defaultdict(
            lambda: [0.0] * len(ODDS_RATIOS)
        )
        for key, group in _group_counts(
            counts, kind, self._new_version
        ).items():
            ratios = log_likelihood_ratios(
                self._strata[stage, *key[1:]].share,
                group.old_faults,
                group.new_faults,
            )
            route = key[0]
            for name in (route, ALL_ROUTES):
                total = sums[name]
                for index, ratio in enumerate(ratios):
                    total[index] += ratio
        return sums

    def _robust_statistic(self, key: tuple[str, FaultKind]) -> float:
        """Return the statistic without its worst failure domain."""
        value = self._statistics[key].value
        leave_one_out = self._leave_one_out[key]
        for domain in self._failure_domains():
            value = min(value, leave_one_out[domain].value)
        return value

    def _update_verdict(self, key: tuple[str, FaultKind]) -> None:
        value = self._statistics[key].value
        if self._verdict is not None or value < VERDICT_LOG:
            return
        if self._robust_statistic(key) >= DOMAIN_LOG:
            self._verdict = Verdict(key[0], key[1], value)


def _faults(item: Counts, kind: FaultKind) -> int:
    return item.failures if kind is FaultKind.FAILURE else item.slow


def _has_excess_faults(counts: Iterable[Counts], new_version: str) -> bool:
    """Whether the new version's faults exceed the old version's rates."""
    groups: dict[str, _VersionCounts] = defaultdict(_VersionCounts)
    for item in counts:
        groups[item.zone].add(
            new=item.version == new_version,
            calls=item.calls,
            faults=max(item.failures, item.slow),
        )
    both = [
        group
        for group in groups.values()
        if group.old_calls and group.new_calls
    ]
    calls = sum(group.new_calls for group in both)
    faults = sum(group.new_faults for group in both)
    expected = sum(
        group.new_calls * (group.old_faults + 1) / (group.old_calls + 1)
        for group in both
    )
    bound = RECENT_EXCESS + 3 * math.sqrt(expected)
    excess = faults - expected
    return excess > max(bound, RECENT_EXCESS_RATE * calls)


def _group_counts(
    counts: Iterable[Counts], kind: FaultKind, new_version: str
) -> dict[tuple[str, str, str], _VersionCounts]:
    groups: dict[tuple[str, str, str], _VersionCounts] = defaultdict(
        _VersionCounts
    )
    for item in counts:
        # Calls are exchangeable only with the same sender zone and the same
        # endpoint zone, since the fault of a zone affects both versions there
        # alike.
        group = groups[(item.route, item.sender_zone, item.zone)]
        group.add(
            new=item.version == new_version,
            calls=item.calls,
            faults=_faults(item, kind),
        )
    return groups
