"""Hybrid logical clock: time stamps that respect cause and effect.

A time stamp is an integer of 64 bits: the upper 48 are Unix time in
milliseconds, the lower 16 a counter for events within one millisecond. Time
stamps of one clock grow strictly, and one that is taken after a message was
observed is greater than the time stamp that came with the message.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

COUNTER_BITS = 16

MAX_DRIFT_S = 5.0
"""How far ahead of the own wall clock a peer's time stamp may be.

Wall clocks of a fleet differ by less than a second. A peer with a wrong
clock must not drag the time stamps of all others along for good.
"""

_MAX_TIME = (1 << 64) - 1


def to_unix_ms(time: int) -> int:
    """Return the Unix time of a time stamp in milliseconds."""
    return time >> COUNTER_BITS


def counter(time: int) -> int:
    """Return the counter of a time stamp."""
    return time & ((1 << COUNTER_BITS) - 1)


class HybridLogicalClock:
    """Hybrid logical clock over a physical clock.

    Parameters
    ----------
    physical : callable
        Returns Unix time in seconds; it may step backwards.
    max_drift_s : float
        How far ahead of the physical clock an observed time stamp may be,
        in seconds.
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
        """Latest time stamp that was returned or observed."""
        return self._last

    @property
    def rejected(self) -> int:
        """Number of observed time stamps that were out of bounds."""
        return self._rejected

    def _physical_ms(self) -> int:
        return max(0, int(self._physical() * 1000))

    def now(self) -> int:
        """Return the next time stamp.

        When the counter is used up within a millisecond, it carries into
        the milliseconds, which the physical clock then catches up with.
        """
        physical = self._physical_ms() << COUNTER_BITS
        self._last = max(self._last + 1, physical)
        return self._last

    def observe(self, time: int) -> None:
        """Move past a time stamp that came with a message.

        A time stamp that is too far ahead of the physical clock, or no time
        stamp at all, is counted in `rejected` and otherwise ignored.

        Parameters
        ----------
        time : int
            Time stamp of the sender; 0 when the message carries none.
        """
        if time == 0:
            return
        latest_ms = self._physical_ms() + self._max_drift_ms
        if not 0 < time <= _MAX_TIME or to_unix_ms(time) > latest_ms:
            self._rejected += 1
            return
        self._last = max(self._last, time)
