"""Limit on concurrent graceful shutdowns of the daemons of one service.

An endpoint is unavailable while the daemon beside it restarts. In a rolling
restart of a third or more of the daemons, a second apart, both endpoints of a
service with two of them would be unavailable at the same time. A daemon that
is asked to stop therefore continues to serve its endpoint while too many
others of the service are unavailable. ``tests/test_core_stops.py`` simulates
this load pattern.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.core._member import Member

MAX_RESTART_S = 4.0
"""Time in seconds after which an endpoint that is no longer ready is treated
as removed: a daemon needs two to three seconds to restart."""

MAX_UNAVAILABLE_SHARE = 1 / 3
"""Largest share of a service's endpoints that may be unavailable at a time,
including this one. The others have room for the calls of the unavailable ones
while the service runs at up to two thirds of its capacity."""


class EndpointAvailability:
    """Recent availability of the other endpoints of one service."""

    __slots__ = ('_ready_at', '_ready_ids')

    def __init__(self) -> None:
        self._ready_at: dict[str, float] = {}
        self._ready_ids: set[str] = set()

    def observe(self, members: Iterable[Member], now: float) -> None:
        """Update the availability from the members with an endpoint.

        Parameters
        ----------
        members : iterable of Member
            All other members with an endpoint of the service, in any status.
        now : float
            Current time in seconds.
        """
        ready_ids = {member.id for member in members if member.is_ready}
        for member_id in ready_ids | self._ready_ids:
            self._ready_at[member_id] = now
        self._ready_ids = ready_ids
        self._ready_at = {
            member_id: ready_at
            for member_id, ready_at in self._ready_at.items()
            if now - ready_at < MAX_RESTART_S
        }

    @property
    def ready(self) -> int:
        """Number of other endpoints that are ready."""
        return len(self._ready_ids)

    def unavailable(self, now: float) -> int:
        """Return the number of other endpoints that are restarting."""
        return sum(
            1
            for member_id, ready_at in self._ready_at.items()
            if member_id not in self._ready_ids
            and now - ready_at < MAX_RESTART_S
        )

    def may_stop(self, now: float) -> bool:
        """Whether one more endpoint may become unavailable now."""
        unavailable = self.unavailable(now)
        if not unavailable:
            return True
        total = len(self._ready_ids) + unavailable + 1
        return unavailable + 1 <= MAX_UNAVAILABLE_SHARE * total
