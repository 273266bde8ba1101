"""Endpoints that have lately rejected calls of a tenant for lack of capacity.

Load pattern: a tenant over its share is rejected by endpoints that still take
calls of other tenants. A sender that took them for full would reject the other
tenants as well; one that did not remember would ask up to four endpoints for
each further request of the tenant.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_MARKS = 4096
"""Marks that are kept at most, about 1 MB."""


@dataclass(slots=True)
class _Mark:
    until: float
    priority: int
    returns_at: float


class FullEndpoints:
    """Remembers for a short time which endpoints are full for a tenant.

    All times are in seconds. The caller passes the current time.
    """

    __slots__ = ('_marks',)

    def __init__(self) -> None:
        # Tenant -> member id -> mark.
        self._marks: dict[str, dict[str, _Mark]] = {}

    def __len__(self) -> int:
        return sum(len(marks) for marks in self._marks.values())

    def mark(
        self,
        now: float,
        tenant: str,
        member_id: str,
        priority: int,
        until: float,
        retry_after_s: float,
    ) -> None:
        """Record a rejection.

        Parameters
        ----------
        now : float
            Current time.
        tenant : str
            Tenant of the rejected call.
        member_id : str
            Member whose queue had no room.
        priority : int
            Priority of the call; more urgent ones may still be accepted.
        until : float
            Time until which the rejection is likely to be repeated.
        retry_after_s : float
            Time after which there is likely to be room.
        """
        if len(self) >= MAX_MARKS:
            self._drop_expired(now)
            if len(self) >= MAX_MARKS:
                self._marks.clear()
        marks = self._marks.setdefault(tenant, {})
        marks[member_id] = _Mark(until, priority, now + retry_after_s)

    def members(self, now: float, tenant: str, priority: int) -> set[str]:
        """Return the members that would reject a call of a tenant."""
        marks = self._marks.get(tenant)
        if not marks:
            return set()
        expired = [key for key, mark in marks.items() if mark.until <= now]
        for key in expired:
            del marks[key]
        if not marks:
            del self._marks[tenant]
        return {
            key for key, mark in marks.items() if priority >= mark.priority
        }

    def retry_after_s(self, now: float, tenant: str) -> float:
        """Return the shortest time until there is likely to be room.

        Returns
        -------
        float
            0 when no endpoint is known to be full for the tenant.
        """
        marks = self._marks.get(tenant, {}).values()
        return max(
            0.0, min((mark.returns_at - now for mark in marks), default=0.0)
        )

    def _drop_expired(self, now: float) -> None:
        for tenant in list(self._marks):
            self.members(now, tenant, 0)
