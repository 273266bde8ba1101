"""Daemons of several zones that send calls while zones are evacuated."""

from __future__ import annotations

from contextlib import asynccontextmanager
from contextlib import suppress
import itertools
import random
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import MemberStatus
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.kernel import Kernel
from gypsumhall.net._protocol import PeerInfo
from gypsumhall.platform import KvStore
from gypsumhall.services import _calls
from gypsumhall.services._cold_monitor import ColdMonitor
from gypsumhall.services._evacuations import EvacuationService
from gypsumhall.services._feed import Feed
from gypsumhall.services._runner import RunnerService
from gypsumhall.services._store import InstrumentedStore
from gypsumhall.store import Delete
from gypsumhall.store import Put
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.call_trial import CollectingSink
from gypsumhall.testing.daemons import build_restarted_member
from gypsumhall.testing.daemons import MemoryBackend
from gypsumhall.testing.http_network import HttpNetwork
from gypsumhall.testing.kv_store import ADDRESS
from gypsumhall.testing.kv_store import KvApp
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork
from gypsumhall.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

ZONES = ('az-1', 'az-2', 'az-3')
SERVICE = 'availability'


class RecordingBackend(MemoryBackend):
    """Backend server that records when requests are sent to it.

    Attributes
    ----------
    sent : list of (float, str)
        Time in seconds and address of each request.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.sent: list[tuple[float, str]] = []

    @asynccontextmanager
    async def request(
        self,
        address: str,
        headers: _calls.Headers,
        on_send: Callable[[], None],
    ) -> AsyncIterator[Any]:
        """Record and run a request."""
        self.sent.append((trio.current_time(), address))
        async with super().request(address, headers, on_send) as response:
            yield response

    def last_sent_at(self, addresses: set[str]) -> float:
        """Return the time of the last request to any of the addresses."""
        return max(
            (time for time, address in self.sent if address in addresses),
            default=0.0,
        )


class _Distribution(fakes.FakeDistribution):
    def set_head_reader(self, read: Callable[[], Any]) -> None:
        self.read = read


class _Moves(fakes.FakeMoves):
    def add_order(self, order: Any, revision: Any) -> None:
        """Ignore an order."""


class EvacuationDaemon:
    """One daemon of an `EvacuationFleet`, with a backend server."""

    def __init__(self, fleet: EvacuationFleet, index: int) -> None:
        member = fleet.members[index]
        rng = random.Random(1000 + index)
        self.address = f'backend-{index}'
        self.zone = member.zone
        self.events = fakes.FakeEvents()
        self.metrics = fakes.FakeMetrics()
        self.evacuations = EvacuationService(rng=rng)
        self.cold_monitor = ColdMonitor()
        self.runner = RunnerService(
            rng,
            fleet.backend.client,
            fleet.dialect,
            cold_monitor=self.cold_monitor,
        )
        self.runner.set_evacuations(self.evacuations)
        self.membership = fakes.FakeMembership(member, fleet.table)
        self.scope = trio.CancelScope()
        network = fleet.stores[member.zone]
        info = PeerInfo(
            member.id, member.zone, member.incarnation, member.peer_address
        )
        self._services = (
            self.events,
            self.metrics,
            self.membership,
            _Distribution(fleet.snapshot),
            _Moves(),
            MemoryNetwork(fleet.hub, info),
            InstrumentedStore(KvStore(ADDRESS, network), rng=rng),
            self.evacuations,
            Feed(rng=rng, evacuations=self.evacuations),
            self.runner,
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until the daemon is killed."""
        kernel = Kernel()
        for service in self._services:
            kernel.register(service)
        with self.scope:
            await kernel.run(task_status=task_status)

    def set_backend(self, slots: int = 3) -> None:
        """Register the backend server."""
        endpoint = Endpoint(SERVICE, 'v1', slots, EndpointState.READY)
        self.runner.set_backend(endpoint, self.address)
        self.membership.set_endpoint(endpoint)

    def send_heartbeat(self, warmup_s: float, started_ms: int = 1) -> None:
        """Report how long the backend server remains cold, in seconds."""
        self.cold_monitor.record_heartbeat(
            (self.address, started_ms), warmup_s
        )

    async def call(
        self, request_id: str, method: str = 'GET', attempts: int = 0
    ) -> int:
        """Send a request; return the status, or 0 for a rejection."""
        request = _calls.Request(
            SERVICE,
            'spa/search',
            method,
            '/search',
            ((b'x-request', request_id.encode()),),
            b'',
            trio.current_time() + 2.0,
            method == 'GET',
            attempts=attempts,
        )
        sink = CollectingSink()
        with suppress(_calls.CallRefusedError):
            await self.runner.sender.send(request, sink)
        return sink.status


class EvacuationFleet:
    """Daemons in the zones `ZONES`, and the store that they share.

    Daemon ``i`` is in zone ``i`` modulo the number of zones.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        size: int,
        cold_rate_per_s: float = 0.0,
        dialect: _calls.Dialect = _calls.DEFAULT_DIALECT,
    ) -> None:
        self.dialect = dialect
        self.nursery = nursery
        self.app = KvApp(MemoryStore())
        self.backend = RecordingBackend(random.Random(1))
        self.hub = MemoryHub(nursery, latency_s=0.001)
        service = msgspec.structs.replace(
            builders.build_service(SERVICE),
            cold_rate_per_s=cold_rate_per_s,
            warmup_s=60.0,
        )
        fragment = builders.build_fragment(services=[service])
        head = builders.build_head([fragment])
        self.snapshot = Snapshot.build(head, [fragment])
        self.members = [
            builders.build_member(index, ZONES[index % len(ZONES)])
            for index in range(size)
        ]
        self.table = fakes.FakeTable(self.members)
        self.stores = {zone: HttpNetwork(nursery) for zone in ZONES}
        for network in self.stores.values():
            network.listen(ADDRESS, self.app)
        self.daemons: list[EvacuationDaemon] = []
        self.rejected = 0
        self._ids = itertools.count()

    @property
    def store(self) -> MemoryStore:
        """State of the shared store."""
        return self.app.store

    async def start(self, index: int) -> EvacuationDaemon:
        """Start a daemon and its backend server."""
        daemon = EvacuationDaemon(self, index)
        await self.nursery.start(daemon.run)
        daemon.set_backend()
        return daemon

    def kill(self, index: int) -> None:
        """Kill a daemon; others notice that it has failed."""
        member = self.members[index]
        self.daemons[index].scope.cancel()
        self.hub.remove(member.peer_address)
        entry = self.table.get(member.id)
        assert entry is not None
        self.table.put(
            msgspec.structs.replace(entry, status=MemberStatus.DEAD)
        )

    async def restart(self, index: int) -> EvacuationDaemon:
        """Start a daemon that was killed as a new process."""
        self.members[index] = build_restarted_member(self.members[index])
        self.table.put(self.members[index])
        self.daemons[index] = await self.start(index)
        return self.daemons[index]

    async def evacuate(self, zone: str) -> float:
        """Write the key of a zone; return the time of the response."""
        await self.store.txn([], [Put(f'op/evacuate/{zone}', b'{}')])
        return trio.current_time()

    async def end_evacuation(self, zone: str) -> None:
        """Delete the key of a zone."""
        await self.store.txn([], [Delete(f'op/evacuate/{zone}')])

    def cut(self, *zones: str) -> None:
        """Cut zones off from the store."""
        for zone in zones:
            self.stores[zone].refused.add(ADDRESS)
            self.stores[zone].silence_open_connections()

    def part(self, zone: str | None) -> None:
        """Lose all messages between a zone and the others; None for none."""
        inside = {
            member.peer_address
            for member in self.members
            if member.zone == zone
        }
        self.hub.is_blocked = lambda one, other: (
            (one in inside) != (other in inside)
        )

    def worst_second(self, address: str) -> int:
        """Return the most requests that were sent to it in one second."""
        times = [time for time, item in self.backend.sent if item == address]
        return max(
            (
                sum(start <= time < start + 1.0 for time in times)
                for start in times
            ),
            default=0,
        )

    def addresses(self, zone: str) -> set[str]:
        """Return the addresses of the backend servers of a zone."""
        return {item.address for item in self.daemons if item.zone == zone}

    async def send_calls(self, calls_per_s: float, seconds: float) -> None:
        """Send calls at random times from random daemons."""
        rng = random.Random(2)
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await trio.sleep(rng.expovariate(calls_per_s))
                daemon = rng.choice(self.daemons)
                if not daemon.scope.cancel_called:
                    nursery.start_soon(self._call, daemon)

    async def _call(self, daemon: EvacuationDaemon) -> None:
        name = f'r{next(self._ids)}'
        method = 'GET' if int(name[1:]) % 2 else 'POST'
        if not await daemon.call(name, method):
            self.rejected += 1


@asynccontextmanager
async def open_evacuation_fleet(
    size: int = 15,
    cold_rate_per_s: float = 0.0,
    dialect: _calls.Dialect = _calls.DEFAULT_DIALECT,
) -> AsyncIterator[EvacuationFleet]:
    """Run a fleet of daemons within a context."""
    async with trio.open_nursery() as nursery:
        fleet = EvacuationFleet(nursery, size, cold_rate_per_s, dialect)
        for index in range(size):
            fleet.daemons.append(await fleet.start(index))
        await trio.sleep(1.0)
        yield fleet
        nursery.cancel_scope.cancel()
