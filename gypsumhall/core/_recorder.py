"""Counts of the calls to one backend server, as evidence on moves."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
import statistics
from typing import TYPE_CHECKING

from gypsumhall.net._messages import Counts
from gypsumhall.net._messages import Evidence

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.net._messages import SlowThreshold

# Slow calls within this time after a backend server became ready are
# attributed to its cold start, not to its version.
COLD_START_S = 10.0

# Latencies stored per interval, to bound memory; the quantiles of more calls
# hardly differ.
MAX_LATENCIES = 2000


@dataclass(slots=True)
class _Tally:
    calls: int = 0
    failures: int = 0
    slow: int = 0
    latencies_ms: list[float] = field(default_factory=list)

    def quantiles(self) -> tuple[float, ...]:
        values = self.latencies_ms
        if len(values) == 1:
            return (values[0],) * 3
        cuts = statistics.quantiles(values, n=100, method='inclusive')
        return (cuts[49], cuts[94], cuts[98])


class Recorder:
    """Counts the calls of one interval.

    Parameters
    ----------
    endpoint : str
        Id of the daemon beside the backend server.
    zone : str
        Zone of the endpoint.
    """

    __slots__ = ('_endpoint', '_tallies', '_thresholds', '_zone')

    def __init__(self, endpoint: str, zone: str) -> None:
        self._endpoint = endpoint
        self._zone = zone
        self._tallies: dict[tuple[str, int, str, str, str], _Tally] = (
            defaultdict(_Tally)
        )
        self._thresholds: dict[tuple[str, str], float] = {}

    def set_thresholds(
        self, move: str, thresholds: Iterable[SlowThreshold]
    ) -> None:
        """Set the latencies above which calls of a move's routes are slow."""
        for item in thresholds:
            self._thresholds[move, item.route] = item.threshold_ms

    def retain_moves(self, active: Iterable[str]) -> None:
        """Discard counts and thresholds of moves that are not active."""
        active_moves = set(active)
        for key in [
            key for key in self._thresholds if key[0] not in active_moves
        ]:
            del self._thresholds[key]
        for tally_key in [
            key for key in self._tallies if key[0] not in active_moves
        ]:
            del self._tallies[tally_key]

    def add(
        self,
        move: str,
        stage: int,
        route: str,
        version: str,
        sender_zone: str,
        latency_ms: float,
        *,
        failed: bool,
        ready_for_s: float,
    ) -> None:
        """Count one call.

        Parameters
        ----------
        move, route, version, sender_zone : str
            Labels under which the call is counted.
        stage : int
            Stage in which the call was assigned to the version.
        latency_ms : float
            Latency of the backend server, in milliseconds.
        failed : bool
            Whether the response was a 5xx or incomplete.
        ready_for_s : float
            Seconds since the backend server became ready.
        """
        tally = self._tallies[move, stage, route, version, sender_zone]
        tally.calls += 1
        tally.failures += failed
        if len(tally.latencies_ms) < MAX_LATENCIES:
            tally.latencies_ms.append(latency_ms)
        threshold_ms = self._thresholds.get((move, route))
        if threshold_ms is not None and ready_for_s >= COLD_START_S:
            tally.slow += latency_ms > threshold_ms

    def pop_evidence(self, interval: int) -> list[Evidence]:
        """Return and reset the counts, grouped by move and stage.

        Parameters
        ----------
        interval : int
            Number of the interval in which the calls were counted.
        """
        counts: dict[tuple[str, int], list[Counts]] = defaultdict(list)
        for key, tally in self._tallies.items():
            move, stage, route, version, sender_zone = key
            counts[move, stage].append(
                Counts(
                    route,
                    version,
                    self._endpoint,
                    self._zone,
                    tally.calls,
                    tally.failures,
                    tally.slow,
                    tally.quantiles(),
                    sender_zone,
                )
            )
        self._tallies.clear()
        return [
            Evidence(move, stage, interval, tuple(items))
            for (move, stage), items in counts.items()
        ]
