"""Distribution trees and random peers, derived from the member table."""

from __future__ import annotations

import functools
import hashlib
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

# Every zone usually has three readers and one more daemon that publishes
# what it accepted.
_CACHED_TREES = 8


# The member table changes more often than its members: cached ranks make
# sorting a zone again cheap.
@functools.lru_cache(maxsize=16_384)
def rank(root: str, member_id: str) -> bytes:
    """Return the sort key of a member in the tree of a root."""
    value = msgspec.msgpack.encode((root, member_id))
    return hashlib.blake2b(value, digest_size=8).digest()


def has_zone_role(
    purpose: str, member_id: str, members: Iterable[Member], count: int
) -> bool:
    """Whether a member is one of the few that take a role in its zone.

    All daemons with the same member table agree on them without a message.

    Parameters
    ----------
    purpose : str
        Name of the role; each one is taken by other members.
    member_id : str
        The member.
    members : iterable of Member
        Live members of its zone; it may be missing.
    count : int
        Members that take the role.
    """
    own = rank(purpose, member_id)
    before = sum(
        item.id != member_id and rank(purpose, item.id) < own
        for item in members
    )
    return before < count


def order(root: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members in the order of the tree, the root first.

    Parameters
    ----------
    root : str
        Id of the member at position 0.
    members : iterable of Member
        Members of one zone; the root may be missing.
    """
    return tuple(
        sorted(
            members, key=lambda item: (item.id != root, rank(root, item.id))
        )
    )


def children(position: int, size: int) -> range:
    """Return the positions of the children of a position."""
    first = FAN_OUT * position + 1
    return range(min(first, size), min(first + FAN_OUT, size))


def parent(position: int) -> int:
    """Return the position of the parent; -1 for the root."""
    return (position - 1) // FAN_OUT if position else -1


def ring_neighbours(
    member_id: str, members: Iterable[Member], count: int = 3
) -> list[Member]:
    """Return the nearest members on the ring, on both sides.

    Parameters
    ----------
    member_id : str
        Member whose neighbours are asked for; it may be missing.
    members : iterable of Member
        Members of one zone.
    count : int
        Neighbours on each side.
    """
    # Heartbeats follow the ring of the membership, so its neighbours are the
    # members that know the acknowledged version of a daemon.
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
        self._members = order(root, members)
        self._positions = {
            member.id: position
            for position, member in enumerate(self._members)
        }

    @property
    def root(self) -> Member | None:
        """Member at position 0; None for an empty zone."""
        return self._members[0] if self._members else None

    def children(self, member_id: str) -> Sequence[Member]:
        """Return the children of a member; none for an unknown one."""
        position = self._positions.get(member_id)
        if position is None:
            return ()
        found = children(position, len(self._members))
        return self._members[found.start : found.stop]

    def parent(self, member_id: str) -> Member | None:
        """Return the parent of a member; None for root and unknown ones."""
        position = self._positions.get(member_id)
        if not position:
            return None
        return self._members[parent(position)]


class Trees:
    """Trees of all zones, kept until the member table changes.

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
        """Return the tree of a zone that starts at a root."""
        self._check_revision()
        key = (zone, root)
        tree = self._cache.get(key)
        if tree is None:
            if len(self._cache) >= _CACHED_TREES:
                del self._cache[next(iter(self._cache))]
            tree = Tree(root, self._table.alive(zone))
            self._cache[key] = tree
        return tree

    def acknowledgement_tree(self, zone: str) -> Tree:
        """Return the tree that collects a zone's acknowledgements.

        Its root is the first member by a hash of the zone's name. Every
        daemon derives it from the member table alone, so a daemon that
        has just started agrees with the others before any push.
        """
        return self.get(zone, f'zone:{zone}')

    def zones(self) -> frozenset[str]:
        """Return the zones with a member that has not left.

        Dead members count, because they may only be cut off.
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
        """Return the sorted names of the zones other than one."""
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
    """Return up to `count` random members other than the excluded one.

    Parameters
    ----------
    members : sequence of Member
        Members to choose from.
    count : int
        Largest number of members.
    excluded : str
        Id of the daemon itself.
    rng : random.Random
        Source of randomness.
    """
    drawn = rng.sample(members, min(count + 1, len(members)))
    return [item for item in drawn if item.id != excluded][:count]
