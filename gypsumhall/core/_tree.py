"""Distribution trees and random peers, derived from the member table."""

from __future__ import annotations

import functools
import hashlib
import heapq
from typing import TYPE_CHECKING

import msgspec

from gypsumhall.core import _membership
from gypsumhall.core._member import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    import random

    from gypsumhall.core._member import Member
    from gypsumhall.services._protocols import MemberTable

FAN_OUT = 8

# A zone usually has four roots: three readers, and one more daemon that
# publishes the versions it accepted.
_MAX_CACHED_TREES = 8


# The member table changes more often than the set of its members, so cached
# keys make it cheap to sort a zone again.
@functools.lru_cache(maxsize=16_384)
def _sort_key(root: str, member_id: str) -> bytes:
    """Return the sort key of a member in the tree of a root."""
    value = msgspec.msgpack.encode((root, member_id))
    return hashlib.blake2b(value, digest_size=8).digest()


def zone_role_holders(
    role: str, members: Iterable[Member], count: int
) -> list[Member]:
    """Return the members for which `has_zone_role` is true.

    The parameters are those of `has_zone_role`.
    """
    return heapq.nsmallest(
        count, members, key=lambda item: _sort_key(role, item.id)
    )


def has_zone_role(
    role: str, member_id: str, members: Iterable[Member], count: int
) -> bool:
    """Whether a member has a role that only a few members of its zone have.

    The members are selected by hash, so all daemons with the same member
    table agree on them without exchanging messages.

    Parameters
    ----------
    role : str
        Name of the role; it is part of the hash, so that different roles
        are assigned to different members.
    member_id : str
        Id of the member.
    members : iterable of Member
        Live members of its zone; the member itself may be missing.
    count : int
        Number of members that have the role.
    """
    own = _sort_key(role, member_id)
    preceding = sum(
        item.id != member_id and _sort_key(role, item.id) < own
        for item in members
    )
    return preceding < count


def order_members(root: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members in tree order, the root first.

    Parameters
    ----------
    root : str
        Id of the member at position 0.
    members : iterable of Member
        Members of one zone; the root may be missing.
    """
    return tuple(
        sorted(
            members,
            key=lambda item: (item.id != root, _sort_key(root, item.id)),
        )
    )


def child_positions(position: int, size: int) -> range:
    """Return the positions of the children of a position."""
    first = FAN_OUT * position + 1
    return range(min(first, size), min(first + FAN_OUT, size))


def parent_position(position: int) -> int:
    """Return the position of the parent; -1 for the root."""
    return (position - 1) // FAN_OUT if position else -1


def ring_neighbours(
    member_id: str, members: Iterable[Member], count: int = 3
) -> list[Member]:
    """Return the nearest members on the ring, on both sides.

    Parameters
    ----------
    member_id : str
        Id of the member whose neighbours are returned; the member may be
        missing.
    members : iterable of Member
        Members of one zone.
    count : int
        Number of neighbours on each side.
    """
    # Heartbeats are sent along the ring of the membership, so a daemon's
    # neighbours on it know the version that the daemon acknowledged.
    others = sorted(
        (item for item in members if item.id != member_id),
        key=lambda item: _membership.position(item.id),
    )
    own = _membership.position(member_id)
    index = sum(1 for item in others if _membership.position(item.id) < own)
    if len(others) <= 2 * count:
        return others
    return [
        others[(index + offset) % len(others)]
        for offset in range(-count, count)
    ]


class Tree:
    """Tree of one zone for one root.

    Parameters
    ----------
    root : str
        Id of the member at position 0. When the zone has no such member,
        the first member by hash takes the position.
    members : iterable of Member
        Members of the zone.
    """

    __slots__ = ('_members', '_positions')

    def __init__(self, root: str, members: Iterable[Member]) -> None:
        self._members = order_members(root, members)
        self._positions = {
            member.id: position
            for position, member in enumerate(self._members)
        }

    @property
    def root(self) -> Member | None:
        """Member at position 0; None for an empty zone."""
        return self._members[0] if self._members else None

    def children(self, member_id: str) -> Sequence[Member]:
        """Return the children of a member; empty for an unknown member."""
        position = self._positions.get(member_id)
        if position is None:
            return ()
        positions = child_positions(position, len(self._members))
        return self._members[positions.start : positions.stop]

    def parent(self, member_id: str) -> Member | None:
        """Return the parent; None for the root or an unknown member."""
        position = self._positions.get(member_id)
        if not position:
            return None
        return self._members[parent_position(position)]


class TreeCache:
    """Trees of all zones, cached until the member table changes.

    Parameters
    ----------
    table : MemberTable
        The member table.
    """

    __slots__ = ('_cache', '_revision', '_table', '_zones')

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._revision = -1
        self._cache: dict[tuple[str, str], Tree] = {}
        self._zones: frozenset[str] | None = None

    @property
    def table(self) -> MemberTable:
        """The member table."""
        return self._table

    def get(self, zone: str, root: str) -> Tree:
        """Return the tree of a zone for a root."""
        self._check_revision()
        key = (zone, root)
        tree = self._cache.get(key)
        if tree is None:
            if len(self._cache) >= _MAX_CACHED_TREES:
                del self._cache[next(iter(self._cache))]
            tree = Tree(root, self._table.alive(zone))
            self._cache[key] = tree
        return tree

    def acknowledgement_tree(self, zone: str) -> Tree:
        """Return the tree that collects a zone's acknowledgements.

        Its root is the first member by a hash of the zone's name. It is
        derived from the member table alone, so a daemon that has just
        started agrees with the others before it receives any push.
        """
        return self.get(zone, f'zone:{zone}')

    def zones(self) -> frozenset[str]:
        """Return the zones with a member that has not left.

        Dead members count, because they may merely be unreachable.
        """
        self._check_revision()
        if self._zones is None:
            self._zones = frozenset(
                member.zone
                for member in self._table.members()
                if member.status != MemberStatus.LEAVING
            )
        return self._zones

    def other_zones(self, zone: str) -> list[str]:
        """Return the sorted names of all zones except one."""
        return sorted(self.zones() - {zone})

    def _check_revision(self) -> None:
        if self._table.revision != self._revision:
            self._cache.clear()
            self._zones = None
            self._revision = self._table.revision


def sample_members(
    members: Sequence[Member],
    count: int,
    excluded: str,
    rng: random.Random,
) -> list[Member]:
    """Return up to `count` random members except the excluded one.

    Parameters
    ----------
    members : sequence of Member
        Members to choose from.
    count : int
        Maximum number of members.
    excluded : str
        Id of the member that is never returned.
    rng : random.Random
        Source of randomness.
    """
    sampled = rng.sample(members, min(count + 1, len(members)))
    return [item for item in sampled if item.id != excluded][:count]
