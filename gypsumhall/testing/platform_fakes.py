"""Small fakes of daemon services, for tests of the services that use them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from gypsumhall.core._member import MemberStatus
from gypsumhall.core._snapshot import Snapshot

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from gypsumhall.core._member import Endpoint
    from gypsumhall.core._member import Member
    from gypsumhall.core._model import Fragment
    from gypsumhall.core._model import Head
    from gypsumhall.kernel import Kernel
    from gypsumhall.net._messages import Revert
    from gypsumhall.net._messages import Update
    from gypsumhall.net._messages import ZoneSummary


class _FakeService:
    """Life cycle of a service that does nothing by itself."""

    requires: tuple[str, ...] = ()

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Do nothing until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Do nothing."""


class FakeMembership(_FakeService):
    """Membership, and its own table, over a list that the test changes."""

    name = 'membership'
    digest = 0
    revision = 0

    def __init__(self, me: Member, members: list[Member]) -> None:
        self._me = me
        self._members = members

    @property
    def table(self) -> FakeMembership:
        """The member table, which is this object."""
        return self

    @property
    def me(self) -> Member:
        """Entry of this daemon."""
        return self._me

    def get(self, member_id: str) -> Member | None:
        """Return an entry by id."""
        return next((m for m in self._members if m.id == member_id), None)

    def members(self) -> Sequence[Member]:
        """Return all entries."""
        return tuple(self._members)

    def alive(self, zone: str) -> Sequence[Member]:
        """Return the alive and suspect members of a zone."""
        live = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
        return [
            item
            for item in self._members
            if item.zone == zone and item.status in live
        ]

    def endpoints(self, service: str) -> Sequence[Member]:
        """Return the members with an endpoint of a service."""
        return [
            item
            for item in self._members
            if item.endpoint is not None and item.endpoint.service == service
        ]

    def set_endpoint(self, endpoint: Endpoint | None) -> None:
        """Ignore the change."""

    def set_leaving(self) -> None:
        """Ignore the change."""

    def acknowledged(self, member_id: str) -> int:
        """Return 0, for unknown."""
        return 0

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Ignore the subscription."""


class FakeDistribution(_FakeService):
    """Distribution that installs what is published and records it."""

    name = 'distribution'

    def __init__(self) -> None:
        self.published: list[int] = []
        self._snapshot: Snapshot | None = None
        self._reverts: dict[str, Revert] = {}

    @property
    def snapshot(self) -> Snapshot | None:
        """Installed configuration."""
        return self._snapshot

    @property
    def reverts(self) -> dict[str, Revert]:
        """Reverted moves by id."""
        return self._reverts

    @property
    def summaries(self) -> dict[str, ZoneSummary]:
        """No summaries."""
        return {}

    async def wait_ready(self) -> None:
        """Return at once."""
        await trio.lowlevel.checkpoint()

    def install(self, update: Update) -> bool:
        """Install a whole update when it is newer."""
        held = 0 if self._snapshot is None else self._snapshot.version
        if update.head.version <= held:
            return False
        self._snapshot = Snapshot.build(update.head, update.fragments)
        return True

    def publish(self, head: Head, fragments: Sequence[Fragment]) -> None:
        """Install a version and record it in `published`."""
        self._snapshot = Snapshot.build(head, fragments)
        self.published.append(head.version)

    def add_revert(self, revert: Revert) -> None:
        """Record a verdict."""
        self._reverts[revert.move] = revert

    def in_effect(self, version: int) -> bool:
        """Whether this daemon holds the version."""
        return self._snapshot is not None and (
            self._snapshot.version >= version
        )

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Ignore the subscription."""
