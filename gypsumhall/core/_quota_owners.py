"""Owners of the buckets of tenants, see `gypsumhall.core._quotas`."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
import zlib

from gypsumhall.core import _rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.core._member import Member

SETTLE_S = 1.0
"""Time in seconds after its start in which a daemon owns no bucket. Until it
knows the other daemons, each of many that start together would be an owner."""

MATURE_S = 2.0
"""Age in seconds from which a daemon may be an owner. Until then, not all
daemons know of its start."""

TOGETHER_S = 1.0
"""Time in seconds after the start of the oldest daemon of a zone within which
others may be owners at any age, as all of them have started together."""

_DAEMONS_PER_GROUP = 8
_MAX_GROUPS = 256
"""Tenants are divided into about one group per 8 daemons of a zone, so that a
daemon has few owners to ask and the questions about several tenants go
together."""


class Owners:
    """Finds the owners of tenants by rendezvous hashing over the members.

    Daemons whose member tables are equal and whose clocks show the same time
    of day agree on the owners.

    Parameters
    ----------
    me : str
        Id of this daemon.
    zone : str
        Its zone.
    now : float
        Time in seconds of its start.
    """

    __slots__ = (
        '_avoided',
        '_eligible',
        '_mature_at',
        '_members',
        '_next_change',
        '_owners',
        '_started_at',
        '_zone',
        'changed_at',
    )

    def __init__(self, me: str, zone: str, now: float) -> None:
        self._zone = zone
        self._started_at = now
        self._members: dict[str, list[Member]] = {}
        # Times at which the daemons become mature, by id.
        self._mature_at: dict[str, float] = {}
        # Daemons that cannot be reached, with the end of their exclusion.
        self._avoided: dict[str, float] = {}
        self._eligible: dict[str, list[Member]] = {}
        self._owners: dict[tuple[str, int], Member | None] = {}
        self._next_change = math.inf
        # Time of the last change of the owners in the own zone.
        self.changed_at = now + SETTLE_S

    @property
    def zones(self) -> tuple[str, ...]:
        """Zones with a member, sorted."""
        return tuple(sorted(self._members))

    def set_members(
        self,
        members: Iterable[Member],
        zones: Iterable[str],
        now: float,
        wall_s: float,
    ) -> None:
        """Replace the live members.

        Parameters
        ----------
        members : iterable of Member
            Live members of all zones.
        zones : iterable of str
            Zones with a member that has not left; dead ones count.
        now : float
            Time in seconds.
        wall_s : float
            Time of day in seconds, as in the incarnations of the members.
        """
        by_zone: dict[str, list[Member]] = {zone: [] for zone in zones}
        by_zone.setdefault(self._zone, [])
        mature_at: dict[str, float] = {}
        for member in members:
            by_zone.setdefault(member.zone, []).append(member)
            age_s = wall_s - member.incarnation / 1000
            # The clock of a daemon may be ahead.
            at = now - max(0.0, age_s) + MATURE_S
            known = self._mature_at.get(member.id, math.inf)
            mature_at[member.id] = at if age_s >= 0 else min(at, known)
        self._members, self._mature_at = by_zone, mature_at
        self._refresh(now, now)

    def avoid(self, member_id: str, until: float, now: float) -> None:
        """Exclude a daemon that cannot be reached for some time."""
        self._avoided[member_id] = until
        self._refresh(now, now)

    def is_avoided(self, member_id: str, now: float) -> bool:
        """Whether a daemon is excluded."""
        return now < self._avoided.get(member_id, -math.inf)

    def is_settled(self, now: float) -> bool:
        """Whether this daemon may own buckets."""
        return now >= self._started_at + SETTLE_S

    def daemons(self) -> int:
        """Return the number of live daemons of the own zone."""
        return len(self._members.get(self._zone, ()))

    def update(self, now: float) -> None:
        """Apply the changes of the owners that the time brings."""
        while now >= self._next_change:
            self._refresh(self._next_change, now)

    def owner(self, tenant: str, zone: str) -> Member | None:
        """Return the owner of a tenant in a zone; None if it has none."""
        eligible = self._eligible.get(zone, ())
        group = _group(tenant, len(self._members.get(zone, ())))
        key = (zone, group)
        if key not in self._owners:
            self._owners[key] = max(
                eligible,
                key=lambda item: (
                    _rendezvous.weight('quota', str(group), item.id),
                    item.id,
                ),
                default=None,
            )
        return self._owners[key]

    def _refresh(self, at: float, now: float) -> None:
        before = self._eligible
        self._avoided = {
            name: until for name, until in self._avoided.items() if until > at
        }
        self._eligible = {
            zone: self._choose_eligible(members, at)
            for zone, members in self._members.items()
        }
        changed = {
            zone
            for zone in before.keys() | self._eligible.keys()
            if _addresses(before.get(zone, []))
            != _addresses(self._eligible.get(zone, []))
        }
        # Hashing all members of a large zone takes most of a millisecond.
        self._owners = {
            key: owner
            for key, owner in self._owners.items()
            if key[0] not in changed
        }
        self._next_change = min(
            (
                time
                for time in (
                    *self._mature_at.values(),
                    *self._avoided.values(),
                )
                if time > at
            ),
            default=math.inf,
        )
        if self._zone in changed:
            self.changed_at = max(self.changed_at, at)

    def _choose_eligible(
        self, members: list[Member], now: float
    ) -> list[Member]:
        oldest = min(
            (self._mature_at[item.id] for item in members), default=0.0
        )
        return [
            item
            for item in members
            if item.id not in self._avoided
            and (
                now >= self._mature_at[item.id]
                or self._mature_at[item.id] <= oldest + TOGETHER_S
            )
        ]


def _addresses(members: list[Member]) -> list[tuple[str, str]]:
    return [(item.id, item.peer_address) for item in members]


def _group(tenant: str, daemons: int) -> int:
    """Return the group of a tenant; the tenants of a group share an owner."""
    groups = 1
    while groups < _MAX_GROUPS and groups * 2 * _DAEMONS_PER_GROUP <= daemons:
        groups *= 2
    return zlib.crc32(tenant.encode()) % groups
