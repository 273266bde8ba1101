"""Daemons that control rollouts on the stand-in of the platform's store."""

from __future__ import annotations

from contextlib import asynccontextmanager
import json
import random
from typing import Any
from typing import TYPE_CHECKING

import trio

from gypsumhall.kernel import Kernel
from gypsumhall.net._messages import CallStart
from gypsumhall.net._protocol import PeerInfo
from gypsumhall.platform import KvStore
from gypsumhall.services._feed import Feed
from gypsumhall.services._rollouts import RolloutService
from gypsumhall.services._store import InstrumentedStore
from gypsumhall.store import Put
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeDistribution
from gypsumhall.testing.fakes import FakeEvents
from gypsumhall.testing.fakes import FakeMembership
from gypsumhall.testing.fakes import FakeMetrics
from gypsumhall.testing.fakes import FakeTable
from gypsumhall.testing.http_network import HttpNetwork
from gypsumhall.testing.kv_store import ADDRESS
from gypsumhall.testing.kv_store import KvApp
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork
from gypsumhall.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumhall.net._messages import RolloutRecord

SERVICE = 's'
DURATION_S = 16.0
VERSIONS = ('v1', 'v1', 'v2', 'v3')
"""Versions of the endpoints of the first daemons; others have none."""


class _Distribution(FakeDistribution):
    def set_head_reader(self, read: Callable[[], Any]) -> None:
        self.read = read


class RolloutDaemon:
    """One daemon of a `RolloutFleet`."""

    def __init__(self, fleet: RolloutFleet, index: int) -> None:
        self.events = FakeEvents()
        self.rollouts = RolloutService(rng=random.Random(index))
        self._fleet = fleet
        self._scope = trio.CancelScope()
        member = fleet.members[index]
        info = PeerInfo(member.id, member.zone, 1, member.peer_address)
        self.client = KvStore(ADDRESS, network=fleet.network)
        self._services = (
            self.events,
            FakeMetrics(),
            FakeMembership(member, fleet.table),
            _Distribution(),
            MemoryNetwork(fleet.hub, info),
            InstrumentedStore(self.client, rng=random.Random(index)),
            self.rollouts,
            Feed(rng=random.Random(index)),
        )

    @property
    def record(self) -> RolloutRecord | None:
        """Record of the newest order that this daemon knows."""
        return self.rollouts._records.get(SERVICE)

    async def run(self) -> None:
        """Run until the daemon is stopped."""
        kernel = Kernel()
        for service in self._services:
            kernel.register(service)
        with self._scope:
            await kernel.run()

    def stop(self) -> None:
        """Stop at once."""
        self._scope.cancel()

    def record_failures(self, version: str, count: int) -> None:
        """Record failed calls of the endpoint beside this daemon."""
        call = CallStart(
            request_id='id',
            runner_incarnation=0,
            service=SERVICE,
            version=version,
            route='r',
            method='GET',
            path='/',
            headers=(),
            deadline_ms=1000,
            idempotent=True,
        )
        for _ in range(count):
            self.rollouts.record(call, 10.0, failed=True)


class RolloutFleet:
    """Daemons of one zone, and the store that they share."""

    def __init__(
        self, nursery: trio.Nursery, network: HttpNetwork, size: int
    ) -> None:
        self.nursery = nursery
        self.network = network
        self.app = KvApp(MemoryStore())
        self.hub = MemoryHub(nursery)
        self.members = [
            builders.build_member(
                index,
                endpoint=builders.build_endpoint(SERVICE, VERSIONS[index])
                if index < len(VERSIONS)
                else None,
            )
            for index in range(size)
        ]
        self.table = FakeTable(self.members)
        self.daemons: list[RolloutDaemon] = []
        network.listen(ADDRESS, self.app)

    @property
    def store(self) -> MemoryStore:
        """State of the shared store."""
        return self.app.store

    def start(self, index: int) -> RolloutDaemon:
        """Start a daemon."""
        daemon = RolloutDaemon(self, index)
        self.nursery.start_soon(daemon.run)
        return daemon

    async def order(self, version: str) -> None:
        """Write an order, as the operator does."""
        order = {
            'service': SERVICE,
            'targetVersion': version,
            'durationS': DURATION_S,
        }
        value = json.dumps(order).encode()
        await self.store.txn([], [Put(f'op/rollout/{SERVICE}', value)])

    async def status(self) -> tuple[str, str] | None:
        """Return the state and version that the operator reads."""
        item = await self.store.get(f'status/rollout/{SERVICE}')
        if item is None:
            return None
        body = json.loads(item.value)
        return body['state'], body['targetVersion']

    def count(self, code: str) -> int:
        """Return the number of events with a code on all daemons."""
        return sum(item.events.codes.count(code) for item in self.daemons)


@asynccontextmanager
async def open_rollout_fleet(size: int = 6) -> AsyncIterator[RolloutFleet]:
    """Run a fleet of daemons within a context."""
    async with trio.open_nursery() as nursery:
        fleet = RolloutFleet(nursery, HttpNetwork(nursery), size)
        fleet.daemons = [fleet.start(index) for index in range(size)]
        yield fleet
        nursery.cancel_scope.cancel()
