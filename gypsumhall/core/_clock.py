"""Hybrid logical clock: timestamps that preserve causal order.

A timestamp is a 64-bit integer: the upper 48 bits are Unix time in
milliseconds, the lower 16 a counter for events within one millisecond. The
timestamps of one clock strictly increase, and after the timestamp of a
received message was observed, all later ones are greater than it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

COUNTER_BITS = 16

MAX_DRIFT_S = 5.0
"""Maximum lead of a peer's timestamp over the local wall clock, in seconds.

Wall clocks in a fleet differ by less than a second. A peer with a wrong clock
must not permanently advance the timestamps of all others.
"""

_MAX_TIMESTAMP = (1 << 64) - 1


def to_unix_ms(time: int) -> int:
    """Return the Unix time of a timestamp in milliseconds."""
    return time >> COUNTER_BITS


def counter(time: int) -> int:
    """Return the counter of a timestamp."""
    return time & ((1 << COUNTER_BITS) - 1)


class HybridLogicalClock:
    """Hybrid logical clock over a physical clock.

    Parameters
    ----------
    physical : callable
        Returns Unix time in seconds; it may step backwards.
    max_drift_s : float
        Maximum lead of an observed timestamp over the physical clock, in
        seconds.
    """

    __slots__ = ('_last', '_max_drift_ms', '_physical', '_rejected')

    def __init__(
        self,
        physical: Callable[[], float],
        *,
        max_drift_s: float = MAX_DRIFT_S,
    ) -> None:
        self._physical = physical
        self._max_drift_ms = int(max_drift_s * 1000)
        self._last = 0
        self._rejected = 0

    @property
    def last(self) -> int:
        """Latest timestamp that was returned or observed."""
        return self._last

    @property
    def rejected(self) -> int:
        """Number of observed timestamps that were out of bounds."""
        return self._rejected

    def _physical_ms(self) -> int:
        return max(0, int(self._physical() * 1000))

    def now(self) -> int:
        """Return the next timestamp.

        When the counter overflows within a millisecond, it carries into the
        milliseconds, and the physical clock catches up with them later.
        """
        physical = self._physical_ms() << COUNTER_BITS
        self._last = max(self._last + 1, physical)
        return self._last

    def observe(self, time: int) -> None:
        """Advance the clock past the timestamp of a received message.

        A timestamp that is too far ahead of the physical clock, or not a
        valid timestamp, is counted in `rejected` and otherwise ignored.

        Parameters
        ----------
        time : int
            Timestamp of the sender; 0 when the message carries none.
        """
        if time == 0:
            return
        latest_ms = self._physical_ms() + self._max_drift_ms
        if not 0 < time <= _MAX_TIMESTAMP or to_unix_ms(time) > latest_ms:
            self._rejected += 1
            return
        self._last = max(self._last, time)
