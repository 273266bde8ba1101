"""Time for which the processes of a run waited for a processor."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from pathlib import Path
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

_INTERVAL_S = 0.05
# A daemon that is silent for 0.75 s is taken for lost by others; heartbeats
# follow 0.25 s after the last message.
_SLOW_S = 0.25
# Time after which a wait has been counted.
COUNTED_AFTER_S = 5.0


class Starvation:
    """Measures how long processes were runnable without running.

    The bounds of the checks hold for machines that are not slowed down. A
    check of a time adds what the processes involved waited, as the kernel
    counts it, so that its bound holds on a busy machine.

    Parameters
    ----------
    pids : callable
        Returns the running daemons' process ids by index of their VM.
    """

    __slots__ = ('_pids', '_samples', '_slow', '_times')

    def __init__(self, pids: Callable[[], Mapping[int, int]]) -> None:
        self._pids = pids
        self._times: list[float] = []
        self._samples: list[tuple[float, dict[int, float]]] = []
        # Intervals in which a process was stopped for too long.
        self._slow: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Take samples until cancelled."""
        previous: dict[int, float] = {}
        while True:
            due = trio.current_time() + _INTERVAL_S
            await trio.sleep_until(due)
            now = trio.current_time()
            waits = {}
            for pid in self._pids().values():
                total = _run_delay_s(pid)
                waits[pid] = total - previous.get(pid, total)
                previous[pid] = total
            self._times.append(now)
            self._samples.append((now - due, waits))
            longest_s = max([now - due, *waits.values()])
            if longest_s >= _SLOW_S:
                self._slow.append((now - longest_s - _INTERVAL_S, now))

    def waited(self, start: float, end: float) -> float:
        """Return the time in seconds that a call may have lost to waiting.

        It is that of this process and of the two daemons that waited longest
        between two times, as a call passes through two daemons.
        """
        # The kernel counts a wait when it is over.
        first = bisect_left(self._times, start)
        last = bisect_right(self._times, end + COUNTED_AFTER_S)
        own = 0.0
        by_pid: dict[int, float] = {}
        for time, (lag, waits) in zip(
            self._times[first:last], self._samples[first:last], strict=True
        ):
            if time - lag - _INTERVAL_S <= end:
                own += lag
            for pid, wait in waits.items():
                if time - wait - _INTERVAL_S <= end:
                    by_pid[pid] = by_pid.get(pid, 0.0) + wait
        return own + sum(sorted(by_pid.values())[-2:])

    def was_slow(self, start: float, end: float) -> bool:
        """Whether a process was stopped for too long between two times."""
        return any(
            first <= end and last >= start for first, last in self._slow
        )

    def longest_lag(self) -> float:
        """Return the longest delay in seconds of this process's event loop."""
        return max((lag for lag, _ in self._samples), default=0.0)


def _run_delay_s(pid: int) -> float:
    try:
        fields = Path(f'/proc/{pid}/schedstat').read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) / 1e9
