"""Tests of the membership service on a fake network under a mock clock."""

from __future__ import annotations

from collections import Counter
import contextlib
import random
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import MemberStatus
from gypsumhall.kernel import Kernel
from gypsumhall.net._messages import Digest
from gypsumhall.net._network import PeerSettings
from gypsumhall.net._protocol import PeerInfo
from gypsumhall.services._membership import MembershipService
from gypsumhall.services._membership import MembershipSettings
from gypsumhall.services._peers import Peers
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeEvents
from gypsumhall.testing.fakes import FakeMetrics
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from trio.testing import MockClock


class _Daemon:
    def __init__(
        self,
        hub: MemoryHub,
        index: int,
        zone: str,
        start: int,
        name: str = '',
        seeds: tuple[str, ...] = ('10.0.0.0:1', '10.0.0.1:1'),
    ) -> None:
        self.hub = hub
        self.id = name or f'd{index}'
        self.address = f'10.0.0.{index}:1'
        self.zone = zone
        self.events = FakeEvents()
        self.scope = trio.CancelScope()
        self.service = MembershipService(
            MembershipSettings(seeds=seeds),
            rng=random.Random(index),
        )
        self._kernel = Kernel()
        info = PeerInfo(self.id, zone, start, self.address)
        for service in (self.events, MemoryNetwork(hub, info), self.service):
            self._kernel.register(service)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        with self.scope:
            await self._kernel.run(task_status=task_status)

    def crash(self) -> None:
        self.hub.remove(self.address, silent=True)
        self.scope.cancel()

    def statuses(self) -> dict[str, MemberStatus]:
        return {item.id: item.status for item in self.service.table.members()}

    def codes(self) -> list[str]:
        return self.events.codes


class _Fleet:
    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.hub = MemoryHub(nursery, latency_s=0.002)
        self.daemons: list[_Daemon] = []

    async def start(
        self, index: int, zone: str, start: int = 1, name: str = ''
    ) -> _Daemon:
        daemon = _Daemon(self.hub, index, zone, start, name)
        await self.nursery.start(daemon.run)
        return daemon

    def tables_agree(self) -> bool:
        running = [item for item in self.daemons if item.address]
        return len({item.service.table.digest for item in running}) == 1

    async def wait_until(
        self, condition: Callable[[], bool], limit_s: float
    ) -> None:
        with trio.fail_after(limit_s):
            while not condition():  # noqa: ASYNC110
                await trio.sleep(0.1)

    def all_have_status(self, member: str, status: MemberStatus) -> bool:
        return all(
            item.statuses().get(member) is status for item in self.daemons
        )

    def count(self, code: str) -> int:
        return sum(item.codes().count(code) for item in self.daemons)


@contextlib.asynccontextmanager
async def _start_fleet(
    zones: int = 3, size: int = 14
) -> AsyncIterator[_Fleet]:
    async with trio.open_nursery() as nursery:
        fleet = _Fleet(nursery)
        for index in range(zones * size):
            daemon = await fleet.start(index, f'az-{index % zones}')
            fleet.daemons.append(daemon)
        await fleet.wait_until(
            lambda: (
                fleet.tables_agree()
                and len(fleet.daemons[0].statuses()) == zones * size
            ),
            30.0,
        )
        yield fleet
        nursery.cancel_scope.cancel()


async def test_dead_members_are_detected_and_may_restart(
    autojump_clock: MockClock,
) -> None:
    async with _start_fleet() as fleet:
        crashed = [fleet.daemons[index] for index in (7, 9, 22)]
        for crashed_daemon in crashed:
            crashed_daemon.crash()
            fleet.daemons.remove(crashed_daemon)
        for crashed_daemon in crashed:
            await fleet.wait_until(
                lambda key=crashed_daemon.id: fleet.all_have_status(
                    key, MemberStatus.DEAD
                ),
                20.0,
            )
        for item in fleet.daemons:
            not_alive = [
                key
                for key, status in item.statuses().items()
                if status is not MemberStatus.ALIVE
            ]
            assert sorted(not_alive) == ['d22', 'd7', 'd9']
        fleet.daemons.append(await fleet.start(7, 'az-1', 5))
        await fleet.wait_until(
            lambda: fleet.all_have_status('d7', MemberStatus.ALIVE), 20.0
        )


async def test_an_echo_of_another_daemon_is_no_heartbeat_reply(
    autojump_clock: MockClock,
) -> None:
    # Echoes carry no id. If any daemon could send one, a daemon that took over
    # an address would keep the entry of its predecessor alive.
    async with _start_fleet() as fleet:
        sizes = fleet.hub.sizes = Counter()
        await trio.sleep(5)
        assert sizes['HeartbeatEcho'] > 0
        assert sizes['HeartbeatReply'] == 0
        fleet.hub.sizes = None
        fleet.daemons[7].crash()
        fleet.daemons[7] = await fleet.start(7, 'az-1', name='other')
        await fleet.wait_until(
            lambda: (
                fleet.all_have_status('d7', MemberStatus.DEAD)
                and fleet.all_have_status('other', MemberStatus.ALIVE)
            ),
            30.0,
        )


async def test_dead_entries_expire_permanently_on_all_daemons(
    autojump_clock: MockClock,
) -> None:
    """Expired entries must not come back from tables that still have them."""
    async with _start_fleet(2, 3) as fleet:
        crashed_daemon = fleet.daemons.pop()
        crashed_daemon.crash()
        await fleet.wait_until(
            lambda: fleet.all_have_status(
                crashed_daemon.id, MemberStatus.DEAD
            ),
            20.0,
        )
        late = await fleet.start(8, 'az-0')
        fleet.daemons.append(late)
        await trio.sleep(300.0)
        assert fleet.all_have_status(crashed_daemon.id, MemberStatus.DEAD)
        await trio.sleep(330.0)
        for daemon in fleet.daemons:
            assert crashed_daemon.id not in daemon.statuses()


async def test_a_single_bad_link_causes_no_suspicion(
    autojump_clock: MockClock,
) -> None:
    async with _start_fleet(1, 20) as fleet:
        first = fleet.daemons[0]
        table = first.service.table
        neighbour = table.neighbours(first.service.me, 1)[0].peer_address
        fleet.hub.is_blocked = lambda one, other: (
            {one, other} == {first.address, neighbour}
        )
        await trio.sleep(60.0)
        assert fleet.count('member-suspect') == 0
        assert fleet.tables_agree()


async def test_an_isolated_daemon_suspects_nobody_and_rejoins(
    autojump_clock: MockClock,
) -> None:
    """A daemon that was isolated must not report its whole zone as dead."""
    async with _start_fleet() as fleet:
        isolated = fleet.daemons[4]
        fleet.hub.is_blocked = lambda one, other: (
            isolated.address in (one, other)
        )
        await trio.sleep(60.0)
        assert set(isolated.statuses().values()) == {MemberStatus.ALIVE}
        assert fleet.daemons[0].statuses()['d4'] is MemberStatus.DEAD
        fleet.hub.is_blocked = lambda one, other: False
        await fleet.wait_until(
            lambda: fleet.all_have_status('d4', MemberStatus.ALIVE), 30.0
        )
        assert isolated.codes().count('member-refuted') == 1
        assert fleet.count('member-refuted') == 1


async def test_a_partition_between_zones_removes_no_entry(
    autojump_clock: MockClock,
) -> None:
    async with _start_fleet() as fleet:
        az_0 = {i.address for i in fleet.daemons if i.zone == 'az-0'}
        fleet.hub.is_blocked = lambda one, other: (
            (one in az_0) != (other in az_0)
        )
        await trio.sleep(60.0)
        assert fleet.count('zone-unreachable') > 0
        assert fleet.count('member-suspect') == 0
        near, far = fleet.daemons[0], fleet.daemons[1]
        near.service.set_endpoint(builders.build_endpoint())
        far.service.set_endpoint(builders.build_endpoint('bookings'))
        await trio.sleep(20.0)
        assert len(far.service.table.endpoints('availability')) == 0
        fleet.hub.is_blocked = lambda one, other: False
        await fleet.wait_until(fleet.tables_agree, 40.0)
        for item in (near, far):
            assert len(item.service.table.endpoints('bookings')) == 1
            assert len(item.service.table.endpoints('availability')) == 1


async def test_reads_of_the_platform_do_not_grow_with_the_zone(
    autojump_clock: MockClock,
) -> None:
    # Without a limit, every daemon reads seeds from the platform every 30 s.
    reads = []

    async def read() -> list[str]:
        reads.append(trio.current_time())
        return []

    async with _start_fleet(zones=1, size=42) as fleet:
        for daemon in fleet.daemons:
            daemon.service.set_seed_source(read)
        await trio.sleep(300)
    # About 40 are expected; without the limit there are 420.
    assert 10 <= len(reads) <= 80


async def test_two_groups_that_formed_separately_merge(
    autojump_clock: MockClock,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = _Fleet(nursery)
        fleet.hub.is_blocked = lambda one, other: (
            int(one[7:-2]) % 2 != int(other[7:-2]) % 2
        )
        for index in range(12):
            fleet.daemons.append(await fleet.start(index, 'az-0'))
        await trio.sleep(30.0)
        assert len(fleet.daemons[0].statuses()) == 6
        fleet.hub.is_blocked = lambda one, other: False
        await fleet.wait_until(
            lambda: (
                fleet.tables_agree() and len(fleet.daemons[0].statuses()) == 12
            ),
            90.0,
        )
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('draining', [True, False])
async def test_urgent_changes_reach_all_daemons_within_a_second(
    draining: bool, autojump_clock: MockClock
) -> None:
    """A leaving backend server must get no new calls after 2 s."""
    async with _start_fleet() as fleet:
        leaving = fleet.daemons[5]
        if draining:
            leaving.service.set_endpoint(
                builders.build_endpoint(state=EndpointState.DRAINING)
            )
        else:
            leaving.service.set_leaving()
        entry = leaving.service.me
        await fleet.wait_until(
            lambda: all(
                item.service.table.get('d5') == entry for item in fleet.daemons
            ),
            1.0,
        )


async def test_an_endpoint_that_becomes_ready_is_pushed_at_once(
    autojump_clock: MockClock,
) -> None:
    """Endpoints that become ready must be pushed, not only gossiped.

    Otherwise, after a restart, all senders use the one endpoint that they
    know.
    """
    async with _start_fleet() as fleet:
        fleet.daemons[5].service.set_endpoint(builders.build_endpoint())
        entry = fleet.daemons[5].service.me
        await trio.sleep(0.1)
        updated = sum(
            item.service.table.get('d5') == entry for item in fleet.daemons
        )
        assert updated > 0.9 * len(fleet.daemons)


@pytest.mark.parametrize('graceful', [True, False])
async def test_a_daemon_that_restarts_without_seeds_is_discovered(
    graceful: bool, autojump_clock: MockClock
) -> None:
    """The zone must contact it, as it cannot find members by itself.

    Without seeds, while the platform is down, it knew no other member and
    served no request.
    """
    async with _start_fleet(1, 6) as fleet:
        leaving = fleet.daemons[4]
        if graceful:
            leaving.service.set_leaving()
            await trio.sleep(0.2)
        leaving.crash()
        fleet.daemons.remove(leaving)
        status = MemberStatus.LEAVING if graceful else MemberStatus.DEAD
        await fleet.wait_until(
            lambda: fleet.all_have_status(leaving.id, status), 20.0
        )
        fleet.hub.silent.discard(leaving.address)
        daemon = _Daemon(fleet.hub, 4, 'az-0', 5, seeds=())
        await fleet.nursery.start(daemon.run)
        await fleet.wait_until(lambda: len(daemon.statuses()) == 6, 4.0)
        fleet.daemons.append(daemon)
        await fleet.wait_until(
            lambda: fleet.all_have_status('d4', MemberStatus.ALIVE), 4.0
        )


async def test_daemons_that_start_together_discover_each_other_soon(
    autojump_clock: MockClock,
) -> None:
    """Daemons must notify many seeds when they start.

    After a restart of the whole fleet, each daemon had joined through a
    table of two members and knew no others.
    """
    async with trio.open_nursery() as nursery:
        fleet = _Fleet(nursery)
        for index in range(12):
            daemon = await fleet.start(index, f'az-{index % 3}')
            fleet.daemons.append(daemon)
        await trio.sleep(0.6)
        for daemon in fleet.daemons:
            daemon.service.set_endpoint(builders.build_endpoint())
        await trio.sleep(0.2)
        ready = sum(
            len(item.service.table.endpoints('availability'))
            for item in fleet.daemons
        )
        assert ready > 0.9 * 12 * 12
        nursery.cancel_scope.cancel()


async def test_heartbeats_and_replies_carry_digests(
    autojump_clock: MockClock,
) -> None:
    async with _start_fleet(1, 4) as fleet:
        first, second = fleet.daemons[:2]
        received: list[tuple[str, Digest]] = []
        revisions: list[int] = []
        first.service.set_digest_provider(lambda: Digest(7, 'a', 0, 9))
        second.service.on_peer_digest(
            lambda address, digest: received.append((address, digest))
        )
        second.service.subscribe(
            lambda: revisions.append(second.service.table.revision)
        )
        await fleet.wait_until(
            lambda: second.service.acknowledged_version('d0') == 7, 10.0
        )
        members = first.service.table.digest
        assert (first.address, Digest(7, 'a', members, 9)) in received
        first.service.set_endpoint(builders.build_endpoint())
        await fleet.wait_until(lambda: bool(revisions), 10.0)
        assert second.service.acknowledged_version('d9') == 0


async def test_daemons_join_and_leave_over_real_streams() -> None:
    async with trio.open_nursery() as nursery:
        kernels, services, counters = [], [], FakeMetrics()
        seeds: tuple[str, ...] = ()
        for index in range(3):
            peers = Peers(
                PeerSettings('', 'az-0', index, '127.0.0.1:0', (b'k' * 16,))
            )
            service = MembershipService(
                MembershipSettings(seeds, interval_s=0.5, jitter_s=0.0)
            )
            kernel = Kernel()
            for item in (FakeEvents(), peers, service):
                kernel.register(item)
            if index == 0:
                kernel.register(counters)
            await nursery.start(kernel.run)
            seeds = (*seeds, peers.me.address)
            kernels.append(kernel)
            services.append(service)
        with trio.fail_after(30.0):
            for service in services:
                await service.wait_joined()
            while len(services[0].table.alive('az-0')) < 3:  # noqa: ASYNC110
                await trio.sleep(0.05)
            kernels[2].stop()
            while len(services[0].table.alive('az-0')) > 2:  # noqa: ASYNC110
                await trio.sleep(0.05)
            entry = services[0].table.get(seeds[2])
            assert entry is not None
            assert entry.status is MemberStatus.LEAVING
            labels = {'kind': 'control', 'direction': 'received'}
            while not counters.value(  # noqa: ASYNC110
                'gypsumhall_peer_bytes_total', **labels
            ):
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
