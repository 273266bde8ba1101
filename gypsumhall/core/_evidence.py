"""Sequential test of whether a new service version is worse than the old.

Calls are assigned to the two versions at random. When the new version is not
worse, a fault therefore hits it with the probability of its share of the
calls, whatever the rate of faults. The likelihood ratio of a fault against a
given odds ratio is then an e-value: its expectation is at most one, so that a
product over many faults rarely becomes large by chance (Grünwald, de Heide
and Koolen, "Safe testing", 2024; the restart at one follows Shin, Ramdas and
Rinaldo, "E-detectors", 2024).
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

# Name of the test over all routes together, which finds a fault on all of
# them sooner than the tests of the single routes.
ALL_ROUTES = '*'

ODDS_RATIOS = (2.0, 5.0, 20.0, 100.0)

# The mixture over the odds ratios divides the level of the test by their
# number; 1e9 keeps the yearly rate of false verdicts over all moves under one.
VERDICT_LOG = math.log(1e9 * len(ODDS_RATIOS))

# Lower bound without the worst failure domain, so that one sick VM or zone
# does not condemn a version. At 1e2 the restarted statistic reaches the bound
# by chance within minutes.
DOMAIN_LOG = math.log(1e4)

# Bounds the evidence of one interval, so that a fault that lasts less than
# four intervals does not condemn a version.
INTERVAL_LOG = math.log(1e3)

# Above this statistic a stage is not advanced while the new version's rate of
# faults exceeds the old one's by more than the tolerance.
SUSPICION_LOG = math.log(20.0 * len(ODDS_RATIOS))
FAULT_RATE_TOLERANCE = 0.01

# Intervals, and faults above what the old version's rate of faults explains,
# that make recent evidence suspicious whatever the statistic. At a share of
# 90 %, and while senders eject the failing endpoints of their zone, so that
# few groups have calls to both versions, the statistic grew so slowly that a
# version that failed all calls for 9 s was moved to.
RECENT_INTERVALS = 10
RECENT_EXCESS = 5.0
RECENT_EXCESS_RATE = 0.05


# Probabilities by chance, of all failures and of those outside the worst
# failure domain, below which few calls condemn a version. The second one is
# that of `DOMAIN_LOG`.
FEW_CALLS_LEVEL = 1e-6
FEW_CALLS_DOMAIN_LEVEL = 1e-4


class FaultKind(enum.StrEnum):
    """Kinds of faults that are tested separately."""

    FAILURE = 'failure'
    SLOW = 'slow'


@dataclass(slots=True, frozen=True)
class Verdict:
    """Finding against a new version.

    Parameters
    ----------
    route : str
        ``<department>/<route>`` that shows the fault, or `ALL_ROUTES`.
    kind : FaultKind
        What is wrong.
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


# Numbers of last intervals in which a growth of the new version's share is
# looked for, so that it is not blamed when the other one's endpoints are gone.
GROWTH_WINDOWS = (1, 4, 16, 64)


@dataclass(slots=True)
class _Cell:
    """Counts of both versions."""

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

    def include(self, other: _Cell) -> None:
        self.old_calls += other.old_calls
        self.old_faults += other.old_faults
        self.new_calls += other.new_calls
        self.new_faults += other.new_faults

    @property
    def excess_rate(self) -> float:
        """Fault rate of the new version less that of the old one."""
        old = self.old_faults / self.old_calls if self.old_calls else 0.0
        new = self.new_faults / self.new_calls if self.new_calls else 0.0
        return new - old

    @property
    def share(self) -> float:
        """Upper estimate of the new version's share of the calls.

        Too large a share only weakens the evidence; too small a one would
        make it invalid. Hence one call and one standard deviation more.
        """
        upper = self.new_calls + 1 + math.sqrt(self.new_calls)
        return min(1.0, upper / (self.old_calls + self.new_calls + 1))


@dataclass(slots=True)
class _Stratum:
    """Calls whose assignment to the versions is random with one share."""

    total: _Cell = field(default_factory=_Cell)
    recent: deque[_Cell] = field(
        default_factory=lambda: deque(maxlen=GROWTH_WINDOWS[-1])
    )

    def add(self, cell: _Cell) -> None:
        self.total.include(cell)
        self.recent.appendleft(cell)

    @property
    def share(self) -> float:
        """Upper estimate of the share, from recent calls if it has grown."""
        share = self.total.share
        window = _Cell()
        found = share
        for index, cell in enumerate(self.recent, 1):
            window.include(cell)
            if index in GROWTH_WINDOWS and _has_grown(window, share):
                found = max(found, window.share)
        return found


def _has_grown(cell: _Cell, share: float) -> bool:
    calls = cell.old_calls + cell.new_calls
    deviation = math.sqrt(calls * share * (1 - share))
    return cell.new_calls > calls * share + 4 * deviation + 2


@dataclass(slots=True)
class _Statistic:
    """Evidence of one route and kind of fault, restarted at zero."""

    logs: list[float] = field(default_factory=lambda: [0.0] * len(ODDS_RATIOS))

    @property
    def value(self) -> float:
        return max(self.logs)

    def add(self, increments: Sequence[float]) -> None:
        for index, increment in enumerate(increments):
            bounded = min(increment, INTERVAL_LOG)
            self.logs[index] = max(0.0, self.logs[index] + bounded)


def log_likelihood_ratios(
    share: float, old_faults: int, new_faults: int
) -> tuple[float, ...]:
    """Return the evidence of some faults for each of `ODDS_RATIOS`.

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
        Service version that the move goes to; all others count as old.
    """

    __slots__ = (
        '_domains',
        '_move_cell',
        '_new_version',
        '_recent',
        '_stage',
        '_stage_cell',
        '_stage_cells',
        '_statistics',
        '_strata',
        '_verdict',
        '_without',
    )

    def __init__(self, new_version: str) -> None:
        self._new_version = new_version
        self._statistics: dict[tuple[str, FaultKind], _Statistic] = (
            defaultdict(_Statistic)
        )
        self._without: dict[tuple[str, FaultKind], dict[str, _Statistic]] = (
            defaultdict(lambda: defaultdict(_Statistic))
        )
        self._strata: dict[tuple[int, str, str], _Stratum] = defaultdict(
            _Stratum
        )
        self._domains: dict[str, set[str]] = {}
        self._recent: deque[Sequence[Counts]] = deque(maxlen=RECENT_INTERVALS)
        self._stage = -1
        self._stage_cell = _Cell()
        self._stage_cells: dict[tuple[str, str], _Cell] = defaultdict(_Cell)
        self._move_cell = _Cell()
        self._verdict: Verdict | None = None

    @property
    def verdict(self) -> Verdict | None:
        """The first verdict; it never changes again."""
        return self._verdict

    @property
    def new_calls(self) -> int:
        """Calls to the new version in all stages."""
        return self._move_cell.new_calls

    @property
    def calls(self) -> int:
        """Calls to both versions in all stages."""
        return self._move_cell.old_calls + self._move_cell.new_calls

    @property
    def stage_calls(self) -> int:
        """Calls to both versions in the latest stage."""
        return self._stage_cell.old_calls + self._stage_cell.new_calls

    @property
    def excess_rate(self) -> float:
        """Fault rate of the new version less that of the old one.

        Both are taken from the latest stage, 0 to 1.
        """
        return self._stage_cell.excess_rate

    @property
    def statistic(self) -> float:
        """Largest statistic over all routes and kinds of fault."""
        values = (item.value for item in self._statistics.values())
        return max(values, default=0.0)

    @property
    def robust_statistic(self) -> float:
        """Largest statistic without its worst failure domain."""
        values = [self._robust_value(key) for key in self._statistics]
        return max(values, default=0.0)

    @property
    def suspicious(self) -> bool:
        """Whether the evidence speaks against going on for now."""
        if self._fails_recently():
            return True
        if self.robust_statistic < SUSPICION_LOG:
            return False
        return self._stage_cell.excess_rate > FAULT_RATE_TOLERANCE

    def fault_p_value(self) -> float:
        """Return how probable the new version's faults are by chance.

        That is the probability of at least as many faults in as many calls
        at the old version's rate of faults, over all stages. Unlike the
        sequential test it does not tell a zone fault from a version's, and
        it is meant for few calls only.
        """
        cell = self._move_cell
        rate = (cell.old_faults + 1) / (cell.old_calls + 1)
        return _binomial.tail_probability(
            cell.new_calls, cell.new_faults, rate
        )

    def fails_small_sample_test(self) -> bool:
        """Whether the failures of the latest stage cannot be chance.

        Each zone of endpoints is compared with itself, and one failure
        domain may be left out. It is meant for few calls only: the upper
        estimate of the share makes the sequential test need more of them.
        """
        domains = self._failure_domains()
        if not domains or self._stage_probability('') >= FEW_CALLS_LEVEL:
            return False
        return all(
            self._stage_probability(domain) < FEW_CALLS_DOMAIN_LEVEL
            for domain in domains
        )

    def _stage_probability(self, without: str) -> float:
        """Return how probable the latest stage's failures are by chance."""
        zones: dict[str, _Cell] = defaultdict(_Cell)
        for key, cell in self._stage_cells.items():
            if without not in key:
                zones[key[0]].include(cell)
        calls = sum(cell.new_calls for cell in zones.values())
        if not calls:
            return 1.0
        faults = sum(cell.new_faults for cell in zones.values())
        expected = sum(
            cell.new_calls * (cell.old_faults + 1) / (cell.old_calls + 1)
            for cell in zones.values()
        )
        return _binomial.tail_probability(calls, faults, expected / calls)

    def observe(self, stage: int, counts: Iterable[Counts]) -> Verdict | None:
        """Add the results of one interval of all endpoints.

        Parameters
        ----------
        stage : int
            Stage in which the calls were assigned to the versions. Counts
            of an earlier stage than the latest are tested, but not added
            to `new_calls`.
        counts : iterable of Counts
            Results by route, version and endpoint.

        Returns
        -------
        Verdict or None
            The verdict if there is one by now.
        """
        items = list(counts)
        if items:
            self._recent.append(items)
        self._count_stage(stage, items)
        self._count_strata(stage, items)
        for item in items:
            if item.version == self._new_version and item.calls:
                zone = self._domains.setdefault(item.zone, set())
                zone.add(item.endpoint)
        for kind in FaultKind:
            if any(_faults(item, kind) for item in items):
                self._observe_kind(stage, kind, items)
        return self._verdict

    def _fails_recently(self) -> bool:
        """Whether recent faults exceed the old version's in all domains.

        Each zone of endpoints is compared with itself, from whatever zone
        the calls came, and one failure domain may be left out.
        """
        items = [item for counts in self._recent for item in counts]
        domains = self._failure_domains() or ('',)
        return all(
            _exceeds(
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
            self._stage_cell = _Cell()
            self._stage_cells.clear()
        cell = _Cell()
        for item in counts:
            new = item.version == self._new_version
            faults = max(item.failures, item.slow)
            cell.add(new=new, calls=item.calls, faults=faults)
            if stage == self._stage:
                self._stage_cells[item.zone, item.endpoint].add(
                    new=new, calls=item.calls, faults=item.failures
                )
        self._move_cell.include(cell)
        if stage == self._stage:
            self._stage_cell.include(cell)

    def _count_strata(self, stage: int, counts: Sequence[Counts]) -> None:
        cells: dict[tuple[str, str], _Cell] = defaultdict(_Cell)
        for item in counts:
            cells[item.sender_zone, item.zone].add(
                new=item.version == self._new_version,
                calls=item.calls,
                faults=0,
            )
        for key, cell in cells.items():
            self._strata[stage, *key].add(cell)

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
                self._without[route, kind][domain].add(values)
        for route in increments:
            self._judge((route, kind))

    def _failure_domains(self) -> Sequence[str]:
        """Return the zones or, with one zone only, its endpoints.

        Without a second zone or endpoint there is nothing to compare
        with, and no domain is left out.
        """
        if len(self._domains) > 1:
            return sorted(self._domains)
        endpoints = sorted(
            name for names in self._domains.values() for name in names
        )
        return endpoints if len(endpoints) > 1 else ()

    def _increments(
        self, stage: int, counts: Iterable[Counts], kind: FaultKind
    ) -> Mapping[str, Sequence[float]]:
        """Return the evidence by route, and over all routes together."""
        sums: dict[str, list[float]] = defaultdict(
            lambda: [0.0] * len(ODDS_RATIOS)
        )
        for key, cell in _group(counts, kind, self._new_version).items():
            ratios = log_likelihood_ratios(
                self._strata[stage, *key[1:]].share,
                cell.old_faults,
                cell.new_faults,
            )
            route = key[0]
            for name in (route, ALL_ROUTES):
                total = sums[name]
                for index, ratio in enumerate(ratios):
                    total[index] += ratio
        return sums

    def _robust_value(self, key: tuple[str, FaultKind]) -> float:
        """Return the statistic without its worst failure domain."""
        value = self._statistics[key].value
        without = self._without[key]
        for domain in self._failure_domains():
            value = min(value, without[domain].value)
        return value

    def _judge(self, key: tuple[str, FaultKind]) -> None:
        value = self._statistics[key].value
        if self._verdict is not None or value < VERDICT_LOG:
            return
        if self._robust_value(key) >= DOMAIN_LOG:
            self._verdict = Verdict(key[0], key[1], value)


def _faults(item: Counts, kind: FaultKind) -> int:
    return item.failures if kind is FaultKind.FAILURE else item.slow


def _exceeds(counts: Iterable[Counts], new_version: str) -> bool:
    """Whether the old version's rates do not explain the new one's faults."""
    cells: dict[str, _Cell] = defaultdict(_Cell)
    for item in counts:
        cells[item.zone].add(
            new=item.version == new_version,
            calls=item.calls,
            faults=max(item.failures, item.slow),
        )
    both = [
        cell for cell in cells.values() if cell.old_calls and cell.new_calls
    ]
    calls = sum(cell.new_calls for cell in both)
    faults = sum(cell.new_faults for cell in both)
    expected = sum(
        cell.new_calls * (cell.old_faults + 1) / (cell.old_calls + 1)
        for cell in both
    )
    bound = RECENT_EXCESS + 3 * math.sqrt(expected)
    excess = faults - expected
    return excess > max(bound, RECENT_EXCESS_RATE * calls)


def _group(
    counts: Iterable[Counts], kind: FaultKind, new_version: str
) -> dict[tuple[str, str, str], _Cell]:
    cells: dict[tuple[str, str, str], _Cell] = defaultdict(_Cell)
    for item in counts:
        # Calls are exchangeable only among senders of one zone and endpoints
        # of one zone, since a zone fault hits both versions there alike.
        cell = cells[(item.route, item.sender_zone, item.zone)]
        cell.add(
            new=item.version == new_version,
            calls=item.calls,
            faults=_faults(item, kind),
        )
    return cells
