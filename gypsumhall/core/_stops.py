"""Order of planned stops of daemons that serve one service.

An endpoint is out of reach while the daemon beside it restarts. The load
pattern is a third or more of the daemons being restarted in turn, a second
apart: with two endpoints of a service, both would be away at the same time.
A daemon that is asked to stop therefore goes on serving its endpoint while
too many others of the service are away. ``tests/test_core_stops.py`` replays
the pattern.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.core._member import Member

RETURN_S = 4.0
"""Time in seconds after which an endpoint that has vanished is not expected
back: a daemon that restarts needs two to three."""

AWAY_SHARE = 1 / 3
"""Largest share of a service's endpoints that may be away at a time, this
one included. The rest has room for their calls at two thirds of the load."""


class EndpointAvailability:
    """Endpoints of one service that have been ready a short time ago."""

    __slots__ = ('_ready', '_seen')

    def __init__(self) -> None:
        self._seen: dict[str, float] = {}
        self._ready: set[str] = set()

    def observe(self, members: Iterable[Member], now: float) -> None:
        """Take over the members with an endpoint of the service.

        Parameters
        ----------
        members : iterable of Member
            All of them but the own one, whatever their status.
        now : float
            Current time in seconds.
        """
        ready = {member.id for member in members if member.is_ready}
        for member_id in ready | self._ready:
            self._seen[member_id] = now
        self._ready = ready
        self._seen = {
            member_id: seen
            for member_id, seen in self._seen.items()
            if now - seen < RETURN_S
        }

    @property
    def ready(self) -> int:
        """Number of other endpoints that are ready."""
        return len(self._ready)

    def away(self, now: float) -> int:
        """Return how many endpoints are expected to come back."""
        return sum(
            1
            for member_id, seen in self._seen.items()
            if member_id not in self._ready and now - seen < RETURN_S
        )

    def may_stop(self, now: float) -> bool:
        """Whether one more endpoint may go away now."""
        away = self.away(now)
        if not away:
            return True
        known = len(self._ready) + away + 1
        return away + 1 <= AWAY_SHARE * known
