"""Collection of the evidence about one move, by interval."""

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

# A call counts as slow above three times the old version's 95th percentile,
# and at least 50 ms above it, so that jitter on fast routes is not counted.
SLOW_FACTOR = 3.0
SLOW_MARGIN_MS = 50.0

# Intervals whose evidence is retained for a new controller; one minute.
RETAINED_INTERVALS = 120

# Number of recent intervals from which the threshold of a route is computed,
# and the calls to the old version that they must contain.
THRESHOLD_INTERVALS = 8
THRESHOLD_CALLS = 10


class Judge:
    """Collects the evidence about a move and tests it by interval.

    Parameters
    ----------
    move : str
        Id of the move.
    new_version : str
        Service version that the move goes to.
    """

    __slots__ = (
        '_last_closed',
        '_latencies',
        '_move',
        '_new_version',
        '_open_intervals',
        '_retained',
        '_test',
    )

    def __init__(self, move: str, new_version: str) -> None:
        self._move = move
        self._new_version = new_version
        self._test = EvidenceTest(new_version)
        self._last_closed = 0
        self._open_intervals: dict[
            int, dict[tuple[int, str, str, str], Counts]
        ] = defaultdict(dict)
        self._retained: deque[Evidence] = deque()
        self._latencies: dict[str, deque[tuple[int, float]]] = defaultdict(
            lambda: deque(maxlen=THRESHOLD_INTERVALS)
        )

    @property
    def test(self) -> EvidenceTest:
        """Sequential test over the closed intervals."""
        return self._test

    @property
    def last_closed_interval(self) -> int:
        """Number of the last closed interval."""
        return self._last_closed

    def add(self, evidence: Evidence) -> bool:
        """Add evidence of an open interval.

        Counts of the same stage, route, endpoint and sender zone replace
        earlier ones, so that repeated reports are harmless.

        Returns
        -------
        bool
            False if the interval is already closed; the evidence is then
            ignored.
        """
        if evidence.interval <= self._last_closed:
            return False
        counts_by_key = self._open_intervals[evidence.interval]
        for item in evidence.counts:
            key = (evidence.stage, item.route, item.endpoint, item.sender_zone)
            counts_by_key[key] = item
        return True

    def close(self, interval: int) -> Verdict | None:
        """Close and test all open intervals up to `interval`, inclusive."""
        for number in sorted(self._open_intervals):
            if number > interval:
                break
            by_stage: dict[int, list[Counts]] = defaultdict(list)
            for key, item in self._open_intervals.pop(number).items():
                by_stage[key[0]].append(item)
            for stage, counts in sorted(by_stage.items()):
                self._close_stage(number, stage, counts)
        self._last_closed = max(self._last_closed, interval)
        return self._test.verdict

    def _close_stage(
        self, interval: int, stage: int, counts: list[Counts]
    ) -> None:
        self._test.observe(stage, counts)
        self._retained.append(
            Evidence(self._move, stage, interval, tuple(counts))
        )
        while self._retained[0].interval <= interval - RETAINED_INTERVALS:
            self._retained.popleft()
        self._add_latencies(counts)

    def _add_latencies(self, counts: list[Counts]) -> None:
        sums: dict[str, tuple[int, float]] = {}
        for item in counts:
            if item.version == self._new_version or not item.latencies_ms:
                continue
            calls, p95_sum_ms = sums.get(item.route, (0, 0.0))
            sums[item.route] = (
                calls + item.calls,
                p95_sum_ms + item.calls * item.latencies_ms[1],
            )
        for route, value in sums.items():
            self._latencies[route].append(value)

    def since(self, interval: int) -> list[Evidence]:
        """Return the retained evidence of the intervals after `interval`."""
        return [item for item in self._retained if item.interval > interval]

    def thresholds(self) -> tuple[SlowThreshold, ...]:
        """Return the latency above which a call is slow, for each route."""
        slow_thresholds = []
        for route, values in sorted(self._latencies.items()):
            calls = sum(item[0] for item in values)
            if calls < THRESHOLD_CALLS:
                continue
            p95_ms = sum(item[1] for item in values) / calls
            limit = max(SLOW_FACTOR * p95_ms, p95_ms + SLOW_MARGIN_MS)
            slow_thresholds.append(SlowThreshold(route, limit))
        return tuple(slow_thresholds)
