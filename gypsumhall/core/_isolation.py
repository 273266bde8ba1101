"""How long a daemon has had no contact that could bring a configuration.

The case is a daemon that is cut off from the store and from all other daemons
while keys are removed.
"""

from __future__ import annotations


class Isolation:
    """Time of the last contact with the store or another daemon.

    Parameters
    ----------
    limit_s : float
        Time in seconds without contact after which a daemon is cut off.
    now : float
        Time in seconds of the start, which counts as a contact.
    """

    __slots__ = ('_contact_at', '_limit_s')

    def __init__(self, limit_s: float, now: float) -> None:
        self._limit_s = limit_s
        self._contact_at = now

    def record_contact(self, now: float) -> None:
        """Record a response at a time in seconds."""
        self._contact_at = now

    def silent_s(self, now: float) -> float:
        """Return the time in seconds since the last contact."""
        return now - self._contact_at

    def is_cut_off(self, now: float) -> bool:
        """Return whether the configuration may be too old for new keys."""
        return self.silent_s(now) > self._limit_s
