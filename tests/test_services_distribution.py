"""Tests of the distribution service on an in-memory network."""

from __future__ import annotations

from collections import Counter
import random
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.core import _model
from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus
from gypsumhall.errors import InvalidUpdateError
from gypsumhall.errors import StoreUnavailableError
from gypsumhall.kernel import Kernel
from gypsumhall.net import _frames
from gypsumhall.net import _messages
from gypsumhall.net._protocol import PeerInfo
from gypsumhall.services._distribution import DistributionService
from gypsumhall.services._distribution import MAX_BOOTSTRAPS
from gypsumhall.services._distribution import MAX_LARGE_PULLS
from gypsumhall.services._distribution import MAX_TRANSFERS
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeEvents
from gypsumhall.testing.fakes import FakeMembership
from gypsumhall.testing.fakes import FakeTable
from gypsumhall.testing.memory_network import Fault
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from trio.testing import MockClock

LATENCY_S = 0.001


class _Daemon:
    """One daemon with fakes of `membership` and `events`."""

    def __init__(self, fleet: _Fleet, me: Member, seed: int) -> None:
        self.me = me
        self.events = FakeEvents()
        self.service = DistributionService(rng=random.Random(seed))
        info = PeerInfo(me.id, me.zone, me.incarnation, me.peer_address)
        self.network = MemoryNetwork(fleet.hub, info)
        self.scope = trio.CancelScope()
        self._kernel = Kernel()
        for service in (
            self.events,
            self.network,
            FakeMembership(me, fleet.table),
            self.service,
        ):
            self._kernel.register(service)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with self.scope:
            await self._kernel.run(task_status=task_status)


class _Fleet:
    """Daemons of several zones; links and daemons can fail."""

    def __init__(self, nursery: trio.Nursery, **zones: int) -> None:
        self.nursery = nursery
        names = [name for name, size in zones.items() for _ in range(size)]
        self.members = [
            builders.build_member(index, zone)
            for index, zone in enumerate(names)
        ]
        self.table = FakeTable(self.members)
        self.hub = MemoryHub(nursery, LATENCY_S)
        self.hub.is_blocked = self._is_blocked
        self.daemons: dict[str, _Daemon] = {}
        self.isolated_zones: set[str] = set()
        self.read_head: Callable[[], Awaitable[_model.Head]] | None = None
        self.published: list[_model.Head] = []

    def _is_blocked(self, one: str, other: str) -> bool:
        zones = {
            item.zone
            for item in self.members
            if item.peer_address in (one, other)
        }
        return len(zones) > 1 and bool(zones & self.isolated_zones)

    def zone(self, name: str) -> list[_Daemon]:
        return [
            self.daemons[item.id] for item in self.members if item.zone == name
        ]

    async def start(self, members: list[Member], seed: int = 0) -> None:
        for number, member in enumerate(members):
            daemon = _Daemon(self, member, seed + number)
            if self.read_head is not None:
                daemon.service.set_head_reader(self.read_head)
            await self.nursery.start(daemon.run)
            self.daemons[member.id] = daemon

    def stop(self, members: list[Member]) -> None:
        for member in members:
            self.hub.remove(member.peer_address, silent=True)
            self.daemons.pop(member.id).scope.cancel()

    def publish(self, *ids: str, routes: int | None = None) -> int:
        """Accept a new version and publish it on some daemons."""
        version = len(self.published) + 1
        fragment = builders.build_fragment(
            routes=[
                builders.build_route(f'r{index:03}', path=f'/{index}')
                for index in range(version if routes is None else routes)
            ]
        )
        move = _model.Move(
            builders.build_move(), _model.MoveState.ACTIVE, 0, 0.01, 0.0, 0.0
        )
        head = builders.build_head([fragment], version, [move])
        self.published.append(head)
        for member_id in ids:
            self.daemons[member_id].service.publish(head, [fragment])
        return version

    async def wait_for_version(
        self, version: int, daemons: list[_Daemon], within_s: float
    ) -> None:
        """Fail unless all daemons install the version within the time."""
        deadline = trio.current_time() + within_s
        while trio.current_time() < deadline:
            if all(
                item.service.snapshot
                and item.service.snapshot.version >= version
                for item in daemons
            ):
                return
            await trio.sleep(0.005)
        installed = [
            item.service.snapshot and item.service.snapshot.version
            for item in daemons
        ]
        raise AssertionError(
            f'expected version {version}, installed: {installed}'
        )


@pytest.fixture
async def fleet(nursery: trio.Nursery, autojump_clock: MockClock) -> _Fleet:
    """Two zones that have started with an empty platform."""
    result = _Fleet(nursery, a=40, b=12)

    async def empty() -> _model.Head:
        return _model.Head()

    result.read_head = empty
    await result.start(result.members)
    for daemon in result.daemons.values():
        await daemon.service.wait_ready()
    return result


async def test_a_change_reaches_daemons_behind_a_dead_tree_node(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    tree = fleet.daemons['d0'].service._replica._trees.get('a', 'd0')
    inner = tree.children('d0')[0]
    assert tree.children(inner.id)
    fleet.hub.silent.add(inner.peer_address)
    version = fleet.publish('d0')
    others = [item for item in fleet.zone('a') if item.me != inner]
    await fleet.wait_for_version(version, others, within_s=0.6)
    assert fleet.daemons[inner.id].service.snapshot.version == 0
    assert not fleet.daemons['d0'].service.in_effect(version)
    fleet.hub.silent.clear()
    everyone = list(fleet.daemons.values())
    await fleet.wait_for_version(version, everyone, within_s=20)
    await trio.sleep(25)
    assert all(item.service.in_effect(version) for item in everyone)


async def test_a_zone_without_the_platform_gets_versions_from_others(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    # Only daemons of zone a read the platform.
    version = fleet.publish('d0', 'd1', 'd2')
    await fleet.wait_for_version(version, fleet.zone('b'), within_s=3)
    assert fleet.daemons['d40'].service.snapshot.match('spa.example', '/0')


async def test_an_isolated_zone_keeps_its_version_and_catches_up(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    first = fleet.publish('d0', 'd40')
    everyone = list(fleet.daemons.values())
    await fleet.wait_for_version(first, everyone, within_s=3)
    fleet.isolated_zones = {'b'}
    second = fleet.publish('d0')
    local_revert = _messages.Revert('spa/move', 'failures', 'd41')
    fleet.daemons['d41'].service.add_revert(local_revert)
    await trio.sleep(0.5)
    assert all('spa/move' in item.service.reverts for item in fleet.zone('b'))
    await trio.sleep(20)
    assert all(
        item.service.snapshot.version == first and not item.service.reverts
        if item.me.zone == 'a'
        else item.service.snapshot.version == first
        for item in fleet.zone('b')
    )
    assert not any(item.service.reverts for item in fleet.zone('a'))
    assert not any(item.service.in_effect(second) for item in everyone)
    fleet.isolated_zones = set()
    await fleet.wait_for_version(second, everyone, within_s=10)
    await trio.sleep(20)
    for item in everyone:
        assert 'spa/move' in item.service.reverts
        assert item.service.in_effect(second)


async def test_a_revert_reaches_every_zone_at_once(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    version = fleet.publish('d0', 'd40')
    everyone = list(fleet.daemons.values())
    await fleet.wait_for_version(version, everyone, within_s=3)
    calls = []
    fleet.daemons['d51'].service.subscribe(lambda: calls.append('called'))
    revert = _messages.Revert('spa/move', 'failures', 'd3')
    fleet.daemons['d3'].service.add_revert(revert)
    await trio.sleep(0.1)
    assert all(item.service.reverts for item in everyone)
    assert calls == ['called']


async def test_concurrent_bootstraps_are_limited(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    version = fleet.publish('d0', 'd40', routes=300)
    everyone = list(fleet.daemons.values())
    await fleet.wait_for_version(version, everyone, within_s=3)
    fleet.read_head = None
    fleet.table.acknowledged_version = {
        item.id: version for item in fleet.members
    }
    restarted = fleet.members[5:40]
    fleet.stop(restarted)
    await fleet.start(restarted, seed=100)
    survivors = [fleet.daemons[f'd{index}'].service for index in range(5)]
    peak = 0
    with trio.fail_after(15):
        while not all(
            fleet.daemons[item.id].service.snapshot for item in restarted
        ):
            peak = max(peak, *(item._bootstraps for item in survivors))
            for item in restarted:
                installed = fleet.daemons[item.id].service.snapshot
                assert installed is None or installed.version >= version
            await trio.sleep(LATENCY_S / 2)
    assert 1 <= peak <= MAX_BOOTSTRAPS


async def test_a_busy_reply_lists_other_peers(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    version = fleet.publish('d0', 'd40')
    await fleet.wait_for_version(version, fleet.zone('a'), within_s=3)
    fleet.daemons['d1'].service._bootstraps = MAX_BOOTSTRAPS
    requester = fleet.daemons['d2']
    address = fleet.daemons['d1'].me.peer_address
    reply = await requester.network.request(
        address, _messages.Pull(), timeout_s=1
    )
    assert isinstance(reply, _messages.Busy)
    assert len(reply.alternative_addresses) == 3
    assert not {address, requester.me.peer_address} & set(
        reply.alternative_addresses
    )
    # Deltas are small and are never rejected.
    base = requester.service.digest
    pull = _messages.Pull(base.version, base.snapshot)
    reply = await requester.network.request(address, pull, timeout_s=1)
    assert isinstance(reply, _messages.Update)


async def test_a_zone_that_restarts_as_a_whole_waits_for_a_floor(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    """Daemons without a configuration must not settle on version 0."""
    version = fleet.publish('d0', 'd40')
    await fleet.wait_for_version(
        version, list(fleet.daemons.values()), within_s=3
    )
    reads = []

    async def read() -> _model.Head:
        reads.append(trio.current_time())
        if trio.current_time() < outage_end:
            raise StoreUnavailableError('outage')
        return fleet.published[-1]

    outage_end = trio.current_time() + 30
    fleet.read_head = read
    fleet.isolated_zones = {'b'}
    restarted = [item for item in fleet.members if item.zone == 'b']
    fleet.stop(restarted)
    await fleet.start(restarted, seed=200)
    await trio.sleep(25)
    assert all(item.service.snapshot is None for item in fleet.zone('b'))
    # 12 daemons with a backoff of up to 5 s must not overload the platform.
    assert len(reads) < 12 * 25
    with trio.move_on_after(20) as scope:
        await fleet.zone('b')[0].service.wait_ready()
    assert scope.cancelled_caught
    fleet.isolated_zones = set()
    await fleet.wait_for_version(version, fleet.zone('b'), within_s=10)


async def test_a_zone_that_restarts_in_an_outage_queries_other_zones(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    """Otherwise the zone serves no requests until the outage ends."""
    version = fleet.publish('d0', 'd40')
    await fleet.wait_for_version(
        version, list(fleet.daemons.values()), within_s=3
    )

    async def fail() -> _model.Head:
        raise StoreUnavailableError('outage')

    fleet.read_head = fail
    restarted = [item for item in fleet.members if item.zone == 'b']
    fleet.stop(restarted)
    await fleet.start(restarted, seed=300)
    await fleet.wait_for_version(version, fleet.zone('b'), within_s=20)


def test_head_reads_of_a_restarting_zone_are_limited() -> None:
    """Without a limit, all 1,250 daemons of a zone read it within 0.5 s."""
    service = DistributionService(rng=random.Random(1))
    reads = sum(service._may_read_head(1249) for _ in range(1250))
    assert 50 < reads < 200
    assert all(service._may_read_head(50) for _ in range(50))


async def test_bad_heads_raise_alarms_and_errors(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    for _ in range(3):
        version = fleet.publish('d0', 'd40')
        everyone = list(fleet.daemons.values())
        await fleet.wait_for_version(version, everyone, within_s=3)
    await trio.sleep(5)
    daemon = fleet.daemons['d0']
    daemon.service.publish(fleet.published[0], [])
    assert daemon.events.codes.count('head-went-back') == 1
    assert daemon.service.snapshot.version == version
    bad = builders.build_fragment(
        routes=[builders.build_route(service='missing')]
    )
    update = _messages.Update(
        builders.build_head([bad], version + 1), 0, (bad,)
    )
    with pytest.raises(InvalidUpdateError, match="'missing'"):
        daemon.service.install(update)
    await trio.sleep(10)
    assert all(item.service.snapshot.version == version for item in everyone)
    assert [item.events.codes.count('invalid-update') for item in everyone][
        :2
    ] == [1, 0]


async def test_a_large_change_is_pulled_in_parts(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    fleet.publish('d0', 'd40')
    version = fleet.publish('d0', routes=9000)
    await fleet.wait_for_version(version, fleet.zone('a'), within_s=5)


async def test_large_change_is_sent_once_to_each_daemon(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    """Each publisher pushed it to every daemon of the zone."""
    first = fleet.publish('d0', 'd1', 'd2', routes=20)
    everyone = list(fleet.daemons.values())
    await fleet.wait_for_version(first, everyone, within_s=3)
    base = fleet.daemons['d0'].service.digest
    fleet.hub.sizes = Counter()
    version = fleet.publish('d0', 'd1', 'd2', routes=500)
    await fleet.wait_for_version(version, fleet.zone('a'), within_s=0.6)
    await fleet.wait_for_version(version, fleet.zone('b'), within_s=3)
    await trio.sleep(6)
    replica = fleet.daemons['d0'].service._replica
    parts = replica.build_pull_reply(
        _messages.Pull(base.version, base.snapshot)
    )
    size = sum(len(_frames.encode_message(item)) for item in parts)
    receivers = len(everyone) - 3
    assert fleet.hub.sizes[type(parts[0]).__name__] <= 1.1 * receivers * size


@pytest.mark.parametrize('routes', [1, 500], ids=['pushed', 'pulled'])
async def test_version_advances_the_clock_of_its_receivers(
    fleet: _Fleet, autojump_clock: MockClock, routes: int
) -> None:
    """The install of a pulled version was dated before its publication."""
    fleet.daemons['d0'].events.clock.observe(1_000_000)
    version = fleet.publish('d0', routes=routes)
    await fleet.wait_for_version(version, fleet.zone('a'), within_s=3)
    for daemon in fleet.zone('a'):
        assert daemon.events.clock.now() > 1_000_000


async def test_few_large_replies_are_sent_at_the_same_time(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    """Large replies to many daemons took the whole link from calls."""
    version = fleet.publish('d0', 'd40', routes=20)
    await fleet.wait_for_version(version, fleet.zone('a'), within_s=3)
    base = fleet.daemons['d0'].service.digest
    fleet.publish('d0', routes=500)
    await fleet.wait_for_version(version + 1, fleet.zone('a'), within_s=3)
    target = fleet.daemons['d1']
    pull = _messages.Pull(base.version, base.snapshot)
    received = []
    refused = []

    async def pull_slowly(requester: _Daemon) -> None:
        async with requester.network.open(
            target.me.peer_address, pull
        ) as exchange:
            reply = await exchange.receive()
            if isinstance(reply, _messages.Busy):
                refused.append((requester, reply))
                return
            received.append((requester, trio.current_time()))
            await trio.sleep(0.5)

    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(2, MAX_LARGE_PULLS + 6):
            nursery.start_soon(pull_slowly, fleet.daemons[f'd{number}'])
    assert len(received) == MAX_LARGE_PULLS
    assert len(refused) == 4
    for number, (_, time) in enumerate(received):
        assert time - start >= 0.5 * (number // MAX_TRANSFERS)
    # Later replies list daemons that have the version.
    target.service._bootstraps = MAX_BOOTSTRAPS
    reply = await fleet.daemons['d30'].network.request(
        target.me.peer_address, _messages.Pull(), timeout_s=1
    )
    assert isinstance(reply, _messages.Busy)
    assert len(reply.alternative_addresses) == 3
    # The last transfers, of which each `MAX_TRANSFERS` end together.
    last = [item.me.peer_address for item, _ in received[-2 * MAX_TRANSFERS :]]
    assert set(reply.alternative_addresses) <= set(last)


async def test_silent_receiver_does_not_hold_up_other_transfers(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    """A receiver that is lost would keep the transfer for itself."""
    version = fleet.publish('d0', 'd40', routes=300)
    await fleet.wait_for_version(version, fleet.zone('a'), within_s=3)
    address = fleet.daemons['d1'].me.peer_address
    async with trio.open_nursery() as nursery:

        async def pull_without_end(requester: _Daemon) -> None:
            async with requester.network.open(address, _messages.Pull()):
                await trio.sleep_forever()

        for number in range(2, 2 + MAX_TRANSFERS):
            nursery.start_soon(pull_without_end, fleet.daemons[f'd{number}'])
        await trio.sleep(0.1)
        reply = await fleet.daemons['d9'].network.request(
            address, _messages.Pull(), timeout_s=4
        )
        assert isinstance(reply, _messages.PackedUpdate)
        nursery.cancel_scope.cancel()


async def test_source_that_stalls_delays_a_large_change_little(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    """Daemons that pulled from it waited 10 s though others had it."""
    first = fleet.publish('d0', 'd40', routes=20)
    await fleet.wait_for_version(first, fleet.zone('a'), within_s=3)
    slow = fleet.daemons['d0'].me.peer_address

    def stall(source: str, _: str, message: _messages.Message) -> Fault:
        stalls = isinstance(message, _messages.PackedUpdate)
        return Fault.DELAY if stalls and source == slow else Fault.NONE

    fleet.hub.fault_rule = stall
    fleet.hub.delay_s = 60.0
    version = fleet.publish('d0', 'd1', 'd2', routes=500)
    await fleet.wait_for_version(version, fleet.zone('a'), within_s=2.5)


async def test_a_dead_member_no_longer_counts(
    fleet: _Fleet, autojump_clock: MockClock
) -> None:
    version = fleet.publish('d0', 'd40')
    await trio.sleep(20)
    tree = fleet.daemons['d0'].service._replica._trees.acknowledgement_tree(
        'a'
    )
    root = tree.root
    assert fleet.daemons['d7'].service.in_effect(version)
    fleet.stop([root])
    fleet.table.replace(
        builders.build_member(
            int(item.id[1:]),
            item.zone,
            status=MemberStatus.DEAD if item == root else item.status,
        )
        for item in fleet.members
    )
    reader = fleet.zone('b')[0]
    second = fleet.publish(
        next(item for item in fleet.daemons if item != root.id), reader.me.id
    )
    await trio.sleep(25)
    for daemon in fleet.daemons.values():
        assert daemon.service.in_effect(second)
        assert daemon.service.summaries['a'].members == 39
