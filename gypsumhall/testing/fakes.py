"""In-memory fakes of daemon services and of the member table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall.core._confirmation import BackendStatus
from gypsumhall.core._member import MemberStatus
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.net._messages import ZoneSummary

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from gypsumhall.core._checkins import BackendInstance
    from gypsumhall.core._member import Endpoint
    from gypsumhall.core._member import Member
    from gypsumhall.core._model import Fragment
    from gypsumhall.core._model import Head
    from gypsumhall.kernel import Kernel
    from gypsumhall.net._messages import CallStart
    from gypsumhall.net._messages import Revert
    from gypsumhall.net._messages import Update
    from gypsumhall.services import _protocols


class FakeService:
    """Base class of the fakes; does nothing while it runs."""

    name = ''
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
        """Return immediately."""


class FakeTable:
    """Fake `MemberTable` that tests can modify and daemons can share.

    Parameters
    ----------
    members : iterable of Member
        Initial entries.

    Attributes
    ----------
    acknowledged_version : dict of str to int
        Configuration versions by member id, for
        `FakeMembership.acknowledged_version`.
    """

    def __init__(self, members: Iterable[Member] = ()) -> None:
        self._members = {item.id: item for item in members}
        self._alive: dict[str, list[Member]] | None = None
        self._revision = 1
        self._callbacks: list[Callable[[], None]] = []
        self.acknowledged_version: dict[str, int] = {}

    @property
    def digest(self) -> int:
        """The revision, which identifies the contents of a shared table."""
        return self._revision

    @property
    def revision(self) -> int:
        """Counter that increases with every change of an entry."""
        return self._revision

    def put(self, member: Member) -> None:
        """Add or replace an entry."""
        self._members[member.id] = member
        self._notify()

    def remove(self, member_id: str) -> None:
        """Remove an entry."""
        del self._members[member_id]
        self._notify()

    def replace(self, members: Iterable[Member]) -> None:
        """Replace all entries."""
        self._members = {item.id: item for item in members}
        self._notify()

    def get(self, member_id: str) -> Member | None:
        """Return an entry by id."""
        return self._members.get(member_id)

    def members(self) -> Sequence[Member]:
        """Return all entries."""
        return list(self._members.values())

    def alive(self, zone: str) -> Sequence[Member]:
        """Return the alive and suspect members of a zone, sorted by id."""
        if self._alive is None:
            self._alive = {}
            for item in sorted(self._members.values(), key=lambda m: m.id):
                if item.status <= MemberStatus.SUSPECT:
                    self._alive.setdefault(item.zone, []).append(item)
        return self._alive.get(zone, [])

    def endpoints(self, service: str) -> Sequence[Member]:
        """Return the members with an endpoint of a service."""
        return [
            item
            for item in self._members.values()
            if item.endpoint is not None and item.endpoint.service == service
        ]

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to call after each change."""
        self._callbacks.append(callback)

    def _notify(self) -> None:
        self._alive = None
        self._revision += 1
        for callback in self._callbacks:
            callback()


class FakeMembership(FakeService):
    """Fake membership service of one daemon.

    Parameters
    ----------
    me : Member
        Entry of the daemon; it is added to the table.
    table : FakeTable, optional
        Table to use, possibly shared; by default a new one.
    """

    name = 'membership'

    def __init__(self, me: Member, table: FakeTable | None = None) -> None:
        self._id = me.id
        self._table = FakeTable() if table is None else table
        if self._table.get(me.id) != me:
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

    def acknowledged_version(self, member_id: str) -> int:
        """Return the version recorded in the table; 0 if none is."""
        return self._table.acknowledged_version.get(member_id, 0)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to call after each change of the table."""
        self._table.subscribe(callback)

    def _replace(self, **changes: object) -> None:
        me = self.me
        self._table.put(
            msgspec.structs.replace(me, sequence=me.sequence + 1, **changes)
        )


class FakeStatusCheck:
    """Fake status check with a fixed result.

    Attributes
    ----------
    status : BackendStatus
        Result of each check.
    delay_s : float
        Time that a check takes, in seconds.
    checked : list of (str, str)
        Id of the process and path of each check.
    """

    def __init__(self, status: BackendStatus = BackendStatus.HEALTHY) -> None:
        self.status = status
        self.delay_s = 0.0
        self.checked: list[tuple[str, str]] = []

    async def check(
        self, backend: BackendInstance, path: str
    ) -> BackendStatus:
        """Return `status`."""
        self.checked.append((backend.instance, path))
        status = self.status
        await trio.sleep(self.delay_s)
        return status


class FakeDistribution(FakeService):
    """Fake distribution that installs versions on this daemon only.

    Parameters
    ----------
    snapshot : Snapshot, optional
        Snapshot that is installed initially.

    Attributes
    ----------
    lag : int
        Number of versions by which the second zone lags behind the first.
    published : list of Head
        Published heads, in order of publication.
    reverts : dict of str to Revert
        Reverts that were added, by move.
    """

    name = 'distribution'

    def __init__(self, snapshot: Snapshot | None = None) -> None:
        self.snapshot = snapshot
        self.lag = 0
        self.published: list[Head] = []
        self.reverts: dict[str, Revert] = {}
        self._callbacks: list[Callable[[], None]] = []

    @property
    def summaries(self) -> Mapping[str, ZoneSummary]:
        """Summaries of two zones; the second lags by `lag` versions."""
        version = self.snapshot.version if self.snapshot else 0
        return {
            zone: ZoneSummary(zone, 1, version, 3, 3, version - zone_lag)
            for zone, zone_lag in (('az-1', 0), ('az-2', self.lag))
        }

    async def wait_ready(self) -> None:
        """Return immediately."""
        await trio.lowlevel.checkpoint()

    def install(self, update: Update) -> bool:
        """Install an update if it is newer; return whether it was."""
        return self._install(update.head, update.fragments)

    def publish(self, head: Head, fragments: Sequence[Fragment]) -> None:
        """Record a version and install it if it is newer."""
        self._install(head, fragments)
        self.published.append(head)

    def add_revert(self, revert: Revert) -> None:
        """Record a revert."""
        self.reverts[revert.move] = revert

    def in_effect(self, version: int) -> bool:
        """Whether both zones have installed the version."""
        return all(
            item.lowest_version >= version for item in self.summaries.values()
        )

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to call after each installation."""
        self._callbacks.append(callback)

    def _install(self, head: Head, fragments: Sequence[Fragment]) -> bool:
        snapshot = Snapshot.build(head, fragments)
        if self.snapshot and self.snapshot.version >= head.version:
            return False
        self.snapshot = snapshot
        for callback in self._callbacks:
            callback()
        return True


class FakeMoves(FakeService):
    """Stores the recorded call results."""

    name = 'moves'

    def __init__(self) -> None:
        self.records: list[tuple[CallStart, float, bool]] = []

    def record(
        self, call: CallStart, latency_ms: float, *, failed: bool
    ) -> None:
        """Record the result of a call that is part of a move."""
        if call.move:
            self.records.append((call, latency_ms, failed))


class FakeClock:
    """Fake hybrid logical clock; its timestamps are a counter."""

    def __init__(self) -> None:
        self._time = 0

    def now(self) -> int:
        """Return the next timestamp."""
        self._time += 1
        return self._time

    def observe(self, time: int) -> None:
        """Advance the clock to at least a received timestamp."""
        self._time = max(self._time, time)


class FakeEvents(FakeService):
    """Records the codes and fields of all events in `emitted`."""

    name = 'events'

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.emitted: list[tuple[str, dict[str, object]]] = []

    @property
    def codes(self) -> list[str]:
        """Codes of all events, in order."""
        return [code for code, _ in self.emitted]

    def emit(self, code: str, **fields: object) -> None:
        """Record an event."""
        self.emitted.append((code, fields))

    def since(self, index: int) -> list[dict[str, object]]:
        """Return the events from an index on."""
        return [
            {'index': number, 'code': code, **fields}
            for number, (code, fields) in enumerate(self.emitted)
            if number >= index
        ]


class FakeMetric:
    """Values by labels; serves as counter, gauge and histogram."""

    def __init__(self) -> None:
        self.values: dict[tuple[tuple[str, str], ...], float] = {}

    def add(self, value: float = 1.0, **labels: str) -> None:
        """Add to the value of a label set."""
        key = tuple(sorted(labels.items()))
        self.values[key] = self.values.get(key, 0.0) + value

    def set(self, value: float, **labels: str) -> None:
        """Set the value of a label set."""
        self.values[tuple(sorted(labels.items()))] = value


class FakeMetrics(FakeService):
    """Registry of fake metrics."""

    name = 'metrics'

    def __init__(self) -> None:
        self.by_name: dict[str, FakeMetric] = {}

    def counter(self, name: str, description: str) -> FakeMetric:
        """Return the metric with a name; create it if needed."""
        return self.by_name.setdefault(name, FakeMetric())

    gauge = counter
    histogram = counter

    def value(self, name: str, **labels: str) -> float:
        """Return a value; 0 if none was recorded."""
        metric = self.by_name.get(name, FakeMetric())
        return metric.values.get(tuple(sorted(labels.items())), 0.0)

    def render(self, accept: str) -> tuple[bytes, str]:
        """Return one line for each value."""
        lines = [
            f'{name} {labels} {value}'
            for name, metric in self.by_name.items()
            for labels, value in metric.values.items()
        ]
        return '\n'.join(lines).encode(), 'text/plain'


class FakeAdmin(FakeService):
    """Stores the request handlers so that tests can call them."""

    name = 'admin'

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str], _protocols.AdminHandler] = {}

    def add_route(
        self, method: str, path: str, handler: _protocols.AdminHandler
    ) -> None:
        """Register a handler."""
        self.routes[method, path] = handler
