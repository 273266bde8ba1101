"""Evidence of one move in one zone, collected by interval."""

from __future__ import annotations

from collections import defaultdict
from collections import deque
from typing import TYPE_CHECKING

from gypsumhall.core._evidence import EvidenceTest
from gypsumhall.net._messages import Counts
from gypsumhall.net._messages import Evidence
from gypsumhall.net._messages import SlowThreshold

if TYPE_CHECKING:
    from gypsumhall.core._evidence import Verdict

INTERVAL_S = 0.5

# A call is slow above three times the old version's 95th percentile, and at
# least 50 ms above it, so that jitter of fast routes is no evidence.
SLOW_FACTOR = 3.0
SLOW_MARGIN_MS = 50.0

# Intervals whose evidence is kept for a new controller: one minute.
RETAINED_INTERVALS = 120

# Intervals of the old version's latency behind a threshold, and the calls
# they need to have seen.
THRESHOLD_INTERVALS = 8
THRESHOLD_CALLS = 10


class Judge:
    """Collects the evidence of a move and tests it interval by interval.

    Parameters
    ----------
    move : str
        Id of the move.
    new_version : str
        Service version that the move goes to.
    """

    __slots__ = (
        '_closed',
        '_kept',
        '_latencies',
        '_move',
        '_new_version',
        '_open',
        '_test',
    )

    def __init__(self, move: str, new_version: str) -> None:
        self._move = move
        self._new_version = new_version
        self._test = EvidenceTest(new_version)
        self._closed = 0
        self._open: dict[int, dict[tuple[int, str, str, str], Counts]] = (
            defaultdict(dict)
        )
        self._kept: deque[Evidence] = deque()
        self._latencies: dict[str, deque[tuple[int, float]]] = defaultdict(
            lambda: deque(maxlen=THRESHOLD_INTERVALS)
        )

    @property
    def test(self) -> EvidenceTest:
        """Test over the closed intervals."""
        return self._test

    @property
    def last_closed_interval(self) -> int:
        """Number of the last closed interval."""
        return self._closed

    def add(self, evidence: Evidence) -> bool:
        """Add evidence of an open interval; repeated evidence replaces.

        Returns
        -------
        bool
            False when the interval is closed already; the evidence is not
            used then, whatever it says.
        """
        if evidence.interval <= self._closed:
            return False
        cells = self._open[evidence.interval]
        for item in evidence.counts:
            key = (evidence.stage, item.route, item.endpoint, item.sender_zone)
            cells[key] = item
        return True

    def close(self, interval: int) -> Verdict | None:
        """Test all open intervals up to and including `interval`."""
        for number in sorted(self._open):
            if number > interval:
                break
            by_stage: dict[int, list[Counts]] = defaultdict(list)
            for key, item in self._open.pop(number).items():
                by_stage[key[0]].append(item)
            for stage, counts in sorted(by_stage.items()):
                self._close_stage(number, stage, counts)
        self._closed = max(self._closed, interval)
        return self._test.verdict

    def _close_stage(
        self, interval: int, stage: int, counts: list[Counts]
    ) -> None:
        self._test.observe(stage, counts)
        self._kept.append(Evidence(self._move, stage, interval, tuple(counts)))
        while self._kept[0].interval <= interval - RETAINED_INTERVALS:
            self._kept.popleft()
        self._add_latencies(counts)

    def _add_latencies(self, counts: list[Counts]) -> None:
        sums: dict[str, tuple[int, float]] = {}
        for item in counts:
            if item.version == self._new_version or not item.latencies_ms:
                continue
            calls, total = sums.get(item.route, (0, 0.0))
            sums[item.route] = (
                calls + item.calls,
                total + item.calls * item.latencies_ms[1],
            )
        for route, value in sums.items():
            self._latencies[route].append(value)

    def since(self, interval: int) -> list[Evidence]:
        """Return the kept evidence of the intervals after `interval`."""
        return [item for item in self._kept if item.interval > interval]

    def thresholds(self) -> tuple[SlowThreshold, ...]:
        """Return the latency above which calls of each route are slow."""
        found = []
        for route, values in sorted(self._latencies.items()):
            calls = sum(item[0] for item in values)
            if calls < THRESHOLD_CALLS:
                continue
            usual = sum(item[1] for item in values) / calls
            limit = max(SLOW_FACTOR * usual, usual + SLOW_MARGIN_MS)
            found.append(SlowThreshold(route, limit))
        return tuple(found)
