"""Small in-memory versions of daemon services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from gypsumhall.core._member import Endpoint
    from gypsumhall.core._model import Fragment
    from gypsumhall.core._model import Head
    from gypsumhall.core._snapshot import Snapshot
    from gypsumhall.kernel import Kernel
    from gypsumhall.net._messages import CallStart
    from gypsumhall.net._messages import Revert
    from gypsumhall.net._messages import Update
    from gypsumhall.net._messages import ZoneSummary
    from gypsumhall.services import _protocols


class _Service:
    """Does nothing while it runs."""

    requires: tuple[str, ...] = ()

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Wait until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Return at once."""


class FakeTable:
    """Member table that several fake memberships share."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._revision = 0
        self._callbacks: list[Callable[[], None]] = []

    @property
    def digest(self) -> int:
        """Digest over all entries."""
        return hash(tuple(self._members.values()))

    @property
    def revision(self) -> int:
        """Grows with every change of any entry."""
        return self._revision

    def put(self, member: Member) -> None:
        """Add or replace an entry."""
        self._members[member.id] = member
        self._revision += 1
        for callback in self._callbacks:
            callback()

    def get(self, member_id: str) -> Member | None:
        """Return an entry by id."""
        return self._members.get(member_id)

    def members(self) -> Sequence[Member]:
        """Return all entries."""
        return list(self._members.values())

    def alive(self, zone: str) -> Sequence[Member]:
        """Return the alive and suspect members of a zone."""
        return [
            member
            for member in self._members.values()
            if member.zone == zone and member.status <= MemberStatus.SUSPECT
        ]

    def endpoints(self, service: str) -> Sequence[Member]:
        """Return the members with an endpoint of a service."""
        return [
            member
            for member in self._members.values()
            if member.endpoint is not None
            and member.endpoint.service == service
        ]

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._callbacks.append(callback)


class FakeMembership(_Service):
    """Membership of one daemon over a table that may be shared."""

    name = 'membership'

    def __init__(self, me: Member, table: FakeTable | None = None) -> None:
        self._id = me.id
        self._table = table or FakeTable()
        self._table.put(me)

    @property
    def table(self) -> FakeTable:
        """The member table."""
        return self._table

    @property
    def me(self) -> Member:
        """Entry of this daemon."""
        member = self._table.get(self._id)
        assert member is not None
        return member

    def set_endpoint(self, endpoint: Endpoint | None) -> None:
        """Change the endpoint of this daemon."""
        self._replace(endpoint=endpoint)

    def set_leaving(self) -> None:
        """Mark this daemon as leaving."""
        self._replace(status=MemberStatus.LEAVING)

    def acknowledged(self, member_id: str) -> int:
        """Return 0."""
        return 0

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the table."""
        self._table.subscribe(callback)

    def _replace(self, **changes: object) -> None:
        me = self.me
        self._table.put(
            msgspec.structs.replace(me, sequence=me.sequence + 1, **changes)
        )


class FakeDistribution(_Service):
    """Distribution that holds what a test sets."""

    name = 'distribution'

    def __init__(self, snapshot: Snapshot | None = None) -> None:
        self.snapshot = snapshot
        self.reverts: dict[str, Revert] = {}
        self.summaries: Mapping[str, ZoneSummary] = {}

    async def wait_ready(self) -> None:
        """Return at once."""

    def install(self, update: Update) -> bool:
        """Install nothing."""
        return False

    def publish(self, head: Head, fragments: Sequence[Fragment]) -> None:
        """Publish nothing."""

    def add_revert(self, revert: Revert) -> None:
        """Add a verdict."""
        self.reverts[revert.move] = revert

    def in_effect(self, version: int) -> bool:
        """Return True."""
        return True

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Never call back."""


class FakeMoves(_Service):
    """Keeps the recorded results."""

    name = 'moves'

    def __init__(self) -> None:
        self.records: list[tuple[CallStart, float, bool]] = []

    def record(
        self, call: CallStart, latency_ms: float, *, failed: bool
    ) -> None:
        """Record a result."""
        if call.move:
            self.records.append((call, latency_ms, failed))


class FakeClock:
    """Counts the time stamps."""

    def __init__(self) -> None:
        self._time = 0

    def now(self) -> int:
        """Return the next time stamp."""
        self._time += 1
        return self._time

    def observe(self, time: int) -> None:
        """Move past a time stamp."""
        self._time = max(self._time, time)


class FakeEvents(_Service):
    """Keeps the events."""

    name = 'events'

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.emitted: list[tuple[str, dict[str, object]]] = []

    def emit(self, code: str, **fields: object) -> None:
        """Keep an event."""
        self.emitted.append((code, fields))


class FakeMetric:
    """Sums values by labels."""

    def __init__(self) -> None:
        self.values: dict[tuple[tuple[str, str], ...], float] = {}

    def add(self, value: float = 1.0, **labels: str) -> None:
        """Add to the sum."""
        key = tuple(sorted(labels.items()))
        self.values[key] = self.values.get(key, 0.0) + value

    def set(self, value: float, **labels: str) -> None:
        """Set a value."""
        self.values[tuple(sorted(labels.items()))] = value


class FakeMetrics(_Service):
    """Registry of fake metrics."""

    name = 'metrics'

    def __init__(self) -> None:
        self.by_name: dict[str, FakeMetric] = {}

    def counter(self, name: str, description: str) -> FakeMetric:
        """Return the metric of that name."""
        return self.by_name.setdefault(name, FakeMetric())

    gauge = counter
    histogram = counter


class FakeAdmin(_Service):
    """Keeps the handlers, so that tests can call them."""

    name = 'admin'

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str], _protocols.AdminHandler] = {}

    def add_route(
        self, method: str, path: str, handler: _protocols.AdminHandler
    ) -> None:
        """Register a handler."""
        self.routes[method, path] = handler
