"""Member table with fixed contents, for tests and benchmarks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumhall.core._member import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from gypsumhall.core._member import Member


class FixedTable:
    """A `MemberTable` that changes only through `replace`.

    Parameters
    ----------
    members : iterable of Member
        The entries.
    """

    __slots__ = ('_alive', '_members', '_revision')

    def __init__(self, members: Iterable[Member]) -> None:
        self._revision = 0
        self.replace(members)

    @property
    def digest(self) -> int:
        """The revision, as all users share the table."""
        return self._revision

    @property
    def revision(self) -> int:
        """Grows with every change of any entry."""
        return self._revision

    def replace(self, members: Iterable[Member]) -> None:
        """Replace all entries."""
        self._members = {item.id: item for item in members}
        self._alive: dict[str, list[Member]] = {}
        for item in sorted(self._members.values(), key=lambda m: m.id):
            if item.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT):
                self._alive.setdefault(item.zone, []).append(item)
        self._revision += 1

    def get(self, member_id: str) -> Member | None:
        """Return an entry by id."""
        return self._members.get(member_id)

    def members(self) -> Sequence[Member]:
        """Return all entries."""
        return list(self._members.values())

    def alive(self, zone: str) -> Sequence[Member]:
        """Return the alive and suspect members of a zone, sorted by id."""
        return self._alive.get(zone, [])

    def endpoints(self, service: str) -> Sequence[Member]:
        """Return the members with an endpoint of a service."""
        return [
            item
            for item in self._members.values()
            if item.endpoint is not None and item.endpoint.service == service
        ]
