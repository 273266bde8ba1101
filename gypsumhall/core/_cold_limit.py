"""Limit on the requests that are sent to a cold endpoint.

The rules handle these load patterns, which ``tests/test_core_cold_limit.py``
simulates:

* A zone is evacuated while the endpoints of the others have just become cold.
  Its load arrives at them within a second.
* An endpoint becomes cold while it serves its usual load. The requests of the
  last second count towards the limit, so all runs are recorded.
* The daemon is killed and starts again while the endpoint is cold. It does
  not know what was sent before, so it takes the window for used up.
* Requests that are sent at a steady rate and arrive in bursts. The window is
  longer than the second for which the bound holds.
"""

from __future__ import annotations

from collections import deque
import math

import msgspec

WINDOW_S = 1.25
"""Length in seconds of the window in which requests are counted. The bound
holds for any second; a request may take up to a quarter of a second from here
until it arrives at the endpoint."""

_RESERVED = 1
"""Requests of the bound that are left for status checks."""

_MAX_RECORDED = 4096
"""Requests whose times are stored. An endpoint that has run so many within the
window has no room while it is cold, unless its limit is higher than that."""

_REPORT_VALID_S = 6.0
"""Time in seconds for which a status check outweighs heartbeats that state an
earlier end, and for which those of a process that seems to have ended are not
used: a heartbeat may be delayed for as long."""


class ColdBounds(msgspec.Struct, frozen=True):
    """Bound on the requests that are sent to a cold endpoint in any second.

    Parameters
    ----------
    over : float
        Factor on the rate that the endpoint can handle.
    slack : float
        Requests that are allowed besides.
    """

    over: float = 1.5
    slack: float = 8.0

    def allowed(self, rate_per_s: float) -> int:
        """Return how many requests may begin within the window."""
        bound = rate_per_s * self.over + self.slack
        return max(1, math.floor(min(bound, _MAX_RECORDED)) - _RESERVED)


class ColdLoad(msgspec.Struct, frozen=True, array_like=True):
    """State of a cold endpoint that its daemon reports to senders.

    Parameters
    ----------
    remaining_ms : int
        Time in milliseconds for which it remains cold, as far as is known.
    room : int
        Requests that may begin now.
    next_room_ms : int
        Time in milliseconds until a further one may.
    """

    remaining_ms: int
    room: int
    next_room_ms: int


class ColdLimit:
    """Decides whether a request may be sent to the endpoint of this daemon.

    The class reads no clock: all times are in seconds of the caller's clock.

    Parameters
    ----------
    started_at : float
        Start of this daemon.
    bounds : ColdBounds
        Bound on the requests per second.
    """

    __slots__ = (
        '_bounds',
        '_checked_at',
        '_checked_end',
        '_ended_process',
        '_ended_until',
        '_is_unknown',
        '_process',
        '_reported_end',
        '_started_at',
        '_starts',
    )

    def __init__(self, started_at: float, bounds: ColdBounds) -> None:
        self._started_at = started_at
        self._bounds = bounds
        self._starts: deque[float] = deque(maxlen=_MAX_RECORDED)
        self._is_unknown = True
        # End of the warm-up by the last heartbeat and the last status check.
        self._reported_end = -math.inf
        self._checked_end = -math.inf
        self._checked_at = -math.inf
        # Id and start time of the process that sent the last heartbeat.
        self._process = ('', 0)
        self._ended_process = ('', 0)
        self._ended_until = -math.inf

    def forget(self, now: float, *, is_replaced: bool = False) -> None:
        """Take the endpoint for cold until the next report.

        Parameters
        ----------
        now : float
            Current time.
        is_replaced : bool
            Whether the process that sent heartbeats seems to have ended.
            Those of it that still arrive were delayed.
        """
        self._is_unknown = True
        if is_replaced:
            self._ended_process = self._process
            self._ended_until = now + _REPORT_VALID_S

    def record_heartbeat(
        self, now: float, warmup_s: float, process: tuple[str, int]
    ) -> None:
        """Record the remaining warm-up time that a heartbeat states."""
        if process == self._ended_process and now < self._ended_until:
            return
        if process != self._process:
            self._process = process
            self._checked_end = -math.inf
        self._is_unknown = False
        self._reported_end = now + warmup_s
        if now - self._checked_at >= _REPORT_VALID_S:
            self._checked_end = -math.inf

    def record_check(self, now: float, warmup_s: float) -> None:
        """Record the remaining warm-up time that a status check states."""
        self._is_unknown = False
        self._checked_at = now
        self._checked_end = now + warmup_s

    def record_request(self, now: float) -> None:
        """Count a request or status check that is sent to the endpoint."""
        self._starts.append(now)

    def is_cold(self, now: float, rate_per_s: float) -> bool:
        """Whether requests are limited.

        Parameters
        ----------
        now : float
            Current time.
        rate_per_s : float
            Requests per second that the endpoint can handle while it is
            cold; 0 for no limit.
        """
        if not rate_per_s:
            return False
        return self._is_unknown or now < self._cold_end()

    def delay_s(self, now: float, rate_per_s: float) -> float:
        """Return the time until a request may be sent; 0 for now.

        The reason for a delay is always that the endpoint is cold and the
        window is used up.
        """
        if not self.is_cold(now, rate_per_s):
            return 0.0
        return self._delay_s(now, self._bounds.allowed(rate_per_s))

    def load(self, now: float, rate_per_s: float) -> ColdLoad | None:
        """Return the state for senders; None unless requests are limited."""
        if not self.is_cold(now, rate_per_s):
            return None
        allowed = self._bounds.allowed(rate_per_s)
        room = max(0, allowed - self._count(now))
        if now < self._started_at + WINDOW_S:
            room = 0
        # An unknown state ends with a heartbeat, after one window or so.
        remaining_s = max(self._cold_end() - now, 0.0)
        if self._is_unknown:
            remaining_s = max(remaining_s, WINDOW_S)
        return ColdLoad(
            math.ceil(remaining_s * 1000),
            room,
            math.ceil(self._delay_s(now, allowed) * 1000),
        )

    def _cold_end(self) -> float:
        return max(self._reported_end, self._checked_end)

    def _count(self, now: float) -> int:
        starts = self._starts
        while starts and starts[0] <= now - WINDOW_S:
            starts.popleft()
        return len(starts)

    def _delay_s(self, now: float, allowed: int) -> float:
        delay_s = max(0.0, self._started_at + WINDOW_S - now)
        count = self._count(now)
        if count >= allowed:
            # The window has room when the oldest of the excess leaves it.
            leaving = self._starts[count - allowed]
            delay_s = max(delay_s, leaving + WINDOW_S - now)
        return delay_s
