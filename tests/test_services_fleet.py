"""Tests of the services that use the users' platform, against fakes."""

from __future__ import annotations

from contextlib import asynccontextmanager
import json
import random
from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from gypsumhall import platform
from gypsumhall.core._checkins import HEARTBEAT_TIMEOUT_S
from gypsumhall.core._confirmation import BackendStatus
from gypsumhall.core._load_balancer import ANY_VERSION
from gypsumhall.core._member import EndpointState
from gypsumhall.core._model import MoveState
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.core._snapshot import Split
from gypsumhall.kernel import Kernel
from gypsumhall.net._messages import RolloutRecord
from gypsumhall.platform import KvStore
from gypsumhall.services import _registration
from gypsumhall.services._checkins import CheckInService
from gypsumhall.services._feed import Feed
from gypsumhall.services._feed import WATCHERS_PER_ZONE
from gypsumhall.services._protocols import AdminRequest
from gypsumhall.services._registration import Registration
from gypsumhall.services._rollouts import RolloutService
from gypsumhall.services._store import InstrumentedStore
from gypsumhall.store import Delete
from gypsumhall.store import Put
from gypsumhall.store import Revision
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeAdmin
from gypsumhall.testing.fakes import FakeDistribution
from gypsumhall.testing.fakes import FakeEvents
from gypsumhall.testing.fakes import FakeMembership
from gypsumhall.testing.fakes import FakeMetrics
from gypsumhall.testing.fakes import FakeService
from gypsumhall.testing.fakes import FakeStatusCheck
from gypsumhall.testing.fakes import FakeTable
from gypsumhall.testing.http_network import HttpNetwork
from gypsumhall.testing.kv_store import ADDRESS
from gypsumhall.testing.kv_store import KvApp
from gypsumhall.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from trio.testing import MockClock

    from gypsumhall.core._member import Endpoint


class _Membership(FakeMembership):
    name = 'membership'
    source: Callable[[], Any] | None = None

    def set_seed_source(self, source: Callable[[], Any]) -> None:
        self.source = source


class _Distribution(FakeDistribution):
    name = 'distribution'
    published: list[int]

    def set_head_reader(self, read: Callable[[], Any]) -> None:
        self.read = read


class _Store(MemoryStore):
    """A `StoreService`; elections are not used here."""

    elections: Any = None


class _Rollouts(FakeService):
    name = 'moves'

    def __init__(self) -> None:
        self.orders: list[tuple[str, Revision]] = []

    def add_order(self, order: Any, revision: Revision) -> None:
        self.orders.append((order.service, revision))


class _Runner(FakeService):
    name = 'runner'

    def __init__(self) -> None:
        self.stopping = False
        self.backends: list[tuple[EndpointState | None, str]] = []

    def set_backend(
        self, endpoint: Endpoint | None, address: str, instance: str = ''
    ) -> None:
        state = None if endpoint is None else endpoint.state
        self.backends.append((state, instance))

    def set_warmup_end(self, time: float) -> None:
        pass


def _kernel(*services: Any) -> Kernel:
    kernel = Kernel()
    for service in (FakeEvents(), *services):
        kernel.register(service)
    return kernel


# Registration


async def test_expired_entry_is_written_again_within_two_seconds(
    autojump_clock: MockClock,
) -> None:
    store = _Store()
    membership = _Membership(builders.build_member(0))
    kernel = _kernel(store, membership, Registration())
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        await trio.sleep(5)
        assert len(store.keys) == 1
        for hang in (True, False):
            store.outage, store.hang = not hang, hang
            await trio.sleep(7.3)
            store.expire_leases()
            store.outage = store.hang = False
            assert not store.keys
            await trio.sleep(2.0)
            assert len(store.keys) == 1
        nursery.cancel_scope.cancel()


async def test_entry_deleted_while_its_lease_is_valid_is_written_again(
    autojump_clock: MockClock,
) -> None:
    """The platform may delete a key without failing any request."""
    store = _Store()
    membership = _Membership(builders.build_member(0))
    kernel = _kernel(store, membership, Registration())
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        await trio.sleep(3)
        (key,) = store.keys
        await store.txn([], [Delete(key)])
        await trio.sleep(2.0)
        assert store.keys == (key,)
        assert membership.source is not None
        assert await membership.source() == [membership.me.peer_address]
        nursery.cancel_scope.cancel()


async def test_number_of_entries_does_not_grow_with_the_zone(
    autojump_clock: MockClock,
) -> None:
    members = [builders.build_member(index) for index in range(30)]
    store = _Store()
    async with trio.open_nursery() as nursery:
        for member in members:
            membership = _Membership(member, FakeTable(members))
            kernel = _kernel(store, membership, Registration())
            await nursery.start(kernel.run)
        await trio.sleep(5)
        assert len(store.keys) == _registration.ENTRIES_PER_ZONE
        nursery.cancel_scope.cancel()


# Feed


def _config(version: int) -> bytes:
    spec = {'host': 'h', 'prefix': '/a/', 'type': 'idempotent'}
    route = {**spec, 'timeoutMs': 1000, 'service': 's'}
    return json.dumps(
        {
            'version': f'{version:08x}',
            'resources': [
                {
                    'entryType': 'routes',
                    'metadata': {'name': 'r'},
                    'spec': route,
                },
                {
                    'entryType': 'services',
                    'metadata': {'name': 's'},
                    'spec': {},
                },
            ],
        }
    ).encode()


async def _publish(store: MemoryStore, version: int) -> None:
    await store.txn([], [Put('op/config', _config(version))])


async def test_feed_publishes_changes_and_orders_despite_store_faults(
    autojump_clock: MockClock,
) -> None:
    store, distribution, rollouts = _Store(), _Distribution(), _Rollouts()
    await _publish(store, 5)
    membership = _Membership(builders.build_member(0))
    kernel = _kernel(store, membership, distribution, rollouts, Feed())
    events = kernel.get('events', FakeEvents)

    def version() -> int:
        snapshot = distribution.snapshot
        return snapshot.version if snapshot else 0

    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        await trio.sleep(0.5)
        assert version() == 5
        await _publish(store, 9)
        await trio.sleep(0.1)
        assert version() == 9
        store.outage = True
        await trio.sleep(5)
        store.outage = False
        await _publish(store, 12)
        await trio.sleep(1.0)
        assert version() == 12
        store.drop_watches()
        store.compact()
        await _publish(store, 13)
        await trio.sleep(1.0)
        assert version() == 13
        order = b'{"service":"s","targetVersion":"v2","durationS":12}'
        await store.txn([], [Put('op/rollout/s', order)])
        await store.txn([], [Put('op/rollout/x', b'{"service"')])
        await trio.sleep(0.1)
        assert [service for service, _ in rollouts.orders] == ['s']
        assert 'feed-entry-rejected' in events.codes
        await _publish(store, 14)
        await trio.sleep(0.1)
        assert version() == 14
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('silent_after_s', [0.01, 0.5, 1.1, 2.9])
@pytest.mark.parametrize('idle_connections', [0, 4])
async def test_silent_connections_delay_a_version_by_less_than_3_s(
    autojump_clock: MockClock, silent_after_s: float, idle_connections: int
) -> None:
    """By the users' rules, 3 s after the silence a version has to be used."""
    memory = _Store()
    async with trio.open_nursery() as nursery:
        network = HttpNetwork(nursery)
        network.listen(ADDRESS, KvApp(memory))
        client = KvStore(ADDRESS, network)
        store = InstrumentedStore(client)
        distribution = _Distribution()
        kernel = _kernel(
            FakeMetrics(),
            store,
            _Membership(builders.build_member(0)),
            distribution,
            _Rollouts(),
            Feed(rng=random.Random(1)),
        )
        await _publish(memory, 5)
        await nursery.start(kernel.run)
        await trio.sleep(3.7)
        await _publish(memory, 6)
        async with trio.open_nursery() as calls:
            for _ in range(idle_connections):
                calls.start_soon(client.get, 'a')
        await trio.sleep(silent_after_s)
        silent_at = trio.current_time()
        network.silence_open_connections()
        await trio.sleep(0.5)
        await _publish(memory, 7)
        with trio.move_on_after(10.0):
            while (  # noqa: ASYNC110
                distribution.snapshot is None
                or distribution.snapshot.version < 7
            ):
                await trio.sleep(0.05)
        assert trio.current_time() - silent_at < 3.0
        nursery.cancel_scope.cancel()


async def test_few_daemons_of_a_zone_watch_the_store(
    autojump_clock: MockClock,
) -> None:
    """The number of store calls must not grow with the fleet."""
    members = [builders.build_member(index) for index in range(20)]
    store = _Store()
    await _publish(store, 5)
    async with trio.open_nursery() as nursery:
        for member in members:
            kernel = _kernel(
                store,
                _Membership(member, FakeTable(members)),
                _Distribution(),
                _Rollouts(),
                Feed(),
            )
            await nursery.start(kernel.run)
        await trio.sleep(2)
        assert store.counts['range'] == WATCHERS_PER_ZONE
        nursery.cancel_scope.cancel()


# Heartbeats


def _check_in(state: str, seq: int, **changes: Any) -> bytes:
    body: dict[str, Any] = {
        'addr': '10.0.0.9:80',
        'info': {'service': 's', 'version': 'v1', 'zone': 'z', 'slots': 6},
        'status': {'state': state, 'seq': seq, 'warmupLeftMs': 0},
        'born': 100,
    }
    return json.dumps({**body, **changes}).encode()


@pytest.mark.parametrize('leaves_with', ['draining', 'notice'])
async def test_runner_is_notified_of_leaving_before_the_acknowledgement(
    autojump_clock: MockClock, leaves_with: str
) -> None:
    runner, admin = _Runner(), FakeAdmin()
    membership = _Membership(builders.build_member(0))
    service = CheckInService('10.0.0.9:80', '', FakeStatusCheck())
    service.register_routes(admin)
    kernel = _kernel(
        admin, membership, _Distribution(), _Rollouts(), runner, service
    )
    path = '/v1/instances/i-1'

    async def send(method: str, body: bytes) -> int:
        handler = admin.routes[method, '/v1/instances/']
        response = await handler(AdminRequest(method, path, body=body))
        return int(response.status)

    async with trio.open_nursery() as nursery:
        # The listener may start before the service can act on heartbeats, so
        # they must not be acknowledged yet.
        assert await send('PUT', _check_in('ready', 1)) == 503
        assert await send('DELETE', b'') == 503
        await nursery.start(kernel.run)
        assert await send('PUT', _check_in('ready', 1)) == 200
        await wait_all_tasks_blocked()
        assert runner.backends[-1] == (EndpointState.READY, 'i-1')
        assert await send('PUT', b'{') == 400
        foreign = _check_in('ready', 2, addr='10.0.0.8:80')
        assert await send('PUT', foreign) == 400
        if leaves_with == 'draining':
            status = await send('PUT', _check_in('draining', 3))
        else:
            status = await send('DELETE', b'')
        assert status == 200
        assert runner.backends[-1] == (EndpointState.DRAINING, 'i-1')
        await send('PUT', _check_in('ready', 4))
        assert runner.backends[-1] == (EndpointState.DRAINING, 'i-1')
        endpoint = membership.me.endpoint
        assert endpoint is not None
        assert endpoint.state is EndpointState.DRAINING
        await trio.sleep(7)
        assert runner.backends[-1] == (None, '')
        nursery.cancel_scope.cancel()


async def test_endpoint_that_starts_during_a_shutdown_is_not_announced(
    autojump_clock: MockClock,
) -> None:
    """Others would send it calls, which the stopping daemon would reject."""
    runner, admin = _Runner(), FakeAdmin()
    membership = _Membership(builders.build_member(0))
    service = CheckInService('10.0.0.9:80', '', FakeStatusCheck())
    service.register_routes(admin)
    kernel = _kernel(
        admin, membership, _Distribution(), _Rollouts(), runner, service
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        runner.stopping = True
        handler = admin.routes['PUT', '/v1/instances/']
        request = AdminRequest(
            'PUT', '/v1/instances/i-1', body=_check_in('ready', 1)
        )
        response = await handler(request)
        assert response.status == 200
        await wait_all_tasks_blocked()
        assert runner.backends[-1] == (EndpointState.READY, 'i-1')
        assert membership.me.endpoint is None
        nursery.cancel_scope.cancel()


# Unix time of the check-ins.
_NOW_S = 1000.0


class _CheckIns:
    """Check-ins of a daemon that is started several times."""

    def __init__(self) -> None:
        self.status_check = FakeStatusCheck()
        self.runner = _Runner()
        self.membership = _Membership(builders.build_member(0))
        self._admin = FakeAdmin()
        services = [builders.build_service('s', status_path='/status')]
        fragment = builders.build_fragment(services=services, routes=[])
        head = builders.build_head([fragment])
        self._snapshot = Snapshot.build(head, [fragment])

    @property
    def state(self) -> EndpointState | None:
        """State of the endpoint that is advertised."""
        endpoint = self.membership.me.endpoint
        assert not self.runner.backends or (
            self.runner.backends[-1][0]
            == (None if endpoint is None else endpoint.state)
        )
        return None if endpoint is None else endpoint.state

    @property
    def is_warm(self) -> bool:
        """Whether senders are told that the endpoint is not a new one."""
        endpoint = self.membership.me.endpoint
        return endpoint is not None and endpoint.is_warm

    @asynccontextmanager
    async def process(self) -> AsyncIterator[None]:
        """Run one process of the daemon."""
        self._admin = FakeAdmin()
        self.runner = _Runner()
        self.membership = _Membership(builders.build_member(0))
        service = CheckInService(
            '10.0.0.9:80', 's', self.status_check, wall=lambda: _NOW_S
        )
        service.register_routes(self._admin)
        kernel = _kernel(
            self._admin,
            self.membership,
            _Distribution(self._snapshot),
            self.runner,
            service,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(kernel.run)
            yield
            nursery.cancel_scope.cancel()

    async def send(
        self, method: str, body: bytes, *, status: int = 200
    ) -> None:
        """Send a heartbeat or a notice and let it take effect."""
        handler = self._admin.routes[method, '/v1/instances/']
        request = AdminRequest(method, '/v1/instances/i-1', body=body)
        assert (await handler(request)).status == status
        await wait_all_tasks_blocked()


@pytest.mark.parametrize('leaves_with', ['draining', 'notice'])
async def test_restarted_daemon_does_not_offer_an_endpoint_that_has_left(
    autojump_clock: MockClock, leaves_with: str
) -> None:
    """A delayed heartbeat hid the leaving that a former process knew of."""
    check_ins = _CheckIns()
    async with check_ins.process():
        await check_ins.send('PUT', _check_in('ready', 1))
        assert check_ins.state is EndpointState.READY
        if leaves_with == 'draining':
            await check_ins.send('PUT', _check_in('draining', 3))
        else:
            await check_ins.send('DELETE', b'{"born":100}')
        assert check_ins.state is EndpointState.DRAINING
    check_ins.status_check.status = BackendStatus.UNAVAILABLE
    async with check_ins.process():
        await check_ins.send('PUT', _check_in('ready', 2))
        for _ in range(20):
            assert check_ins.state is not EndpointState.READY
            await trio.sleep(0.5)
        # The endpoint starts again under its id.
        check_ins.status_check.status = BackendStatus.HEALTHY
        await check_ins.send('PUT', _check_in('ready', 1, born=200))
        assert check_ins.state is EndpointState.READY
        assert check_ins.status_check.checked[-1] == ('i-1', '/status')


@pytest.mark.parametrize('interval_s', [0.3, 1.5, 4.0])
async def test_endpoint_that_does_not_report_its_status_is_offered(
    autojump_clock: MockClock, interval_s: float
) -> None:
    """It may be full, or respond to calls only."""
    check_ins = _CheckIns()
    check_ins.status_check.status = BackendStatus.UNKNOWN
    check_ins.status_check.delay_s = 1.0
    started = trio.current_time()
    async with check_ins.process():
        number = 0
        while check_ins.state is not EndpointState.READY:
            number += 1
            await check_ins.send('PUT', _check_in('ready', number))
            if check_ins.state is not EndpointState.READY:
                await trio.sleep(interval_s)
        elapsed_s = trio.current_time() - started
        assert 2.5 <= elapsed_s < HEARTBEAT_TIMEOUT_S + interval_s


@pytest.mark.parametrize('sent_s', [(0.0,), (0.0, 4.0), (1.0, 1.1, 1.2, 1.3)])
async def test_delayed_heartbeats_do_not_replace_a_status(
    autojump_clock: MockClock, sent_s: tuple[float, ...]
) -> None:
    """An endpoint that has left may be silent as one that is full."""
    check_ins = _CheckIns()
    check_ins.status_check.status = BackendStatus.UNKNOWN
    started = trio.current_time()
    async with check_ins.process():
        for number, time in enumerate(sent_s):
            await trio.sleep_until(started + time)
            await check_ins.send('PUT', _check_in('ready', number))
        for _ in range(20):
            assert check_ins.state is not EndpointState.READY
            await trio.sleep(0.5)


@pytest.mark.parametrize('first_s', [0.0, 0.4, 0.9, 1.1, 1.5])
@pytest.mark.parametrize('check_s', [0.0, 1.0])
async def test_full_endpoint_is_offered_soon_after_a_restart(
    autojump_clock: MockClock, first_s: float, check_s: float
) -> None:
    """One that rejects or ignores checks got no request for 7 s.

    Senders learn of the endpoint up to 2 s after this daemon offers it.
    """
    check_ins = _CheckIns()
    check_ins.status_check.status = BackendStatus.UNKNOWN
    check_ins.status_check.delay_s = check_s
    started = trio.current_time()
    async with check_ins.process():
        await trio.sleep(first_s)
        for number in range(2):
            assert check_ins.state is not EndpointState.READY
            if number:
                await trio.sleep(1.5)
            await check_ins.send('PUT', _check_in('ready', number))
        await trio.sleep_until(started + 3.1)
        assert check_ins.state is EndpointState.READY


@pytest.mark.parametrize(
    'sent',
    [
        # Arrival time in seconds and sequence number.
        [(0.5, 1), (2.0, 3)],
        [(0.5, 1), (2.6, 2)],
        [(1.8, 1), (2.5, 2)],
        [(2.5, 1)],
        [(5.9, 1)],
    ],
)
async def test_unsteady_heartbeats_do_not_replace_a_status(
    autojump_clock: MockClock, sent: list[tuple[float, int]]
) -> None:
    """Heartbeats that were delayed on their own do not arrive as sent."""
    check_ins = _CheckIns()
    check_ins.status_check.status = BackendStatus.UNKNOWN
    started = trio.current_time()
    async with check_ins.process():
        for time, number in sent:
            await trio.sleep_until(started + time)
            await check_ins.send('PUT', _check_in('ready', number))
        for _ in range(20):
            assert check_ins.state is not EndpointState.READY
            await trio.sleep(0.5)


async def test_heartbeats_before_a_refusal_do_not_replace_a_status(
    autojump_clock: MockClock,
) -> None:
    """An endpoint that said that it leaves may be silent afterwards."""
    check_ins = _CheckIns()
    check_ins.status_check.status = BackendStatus.UNAVAILABLE
    async with check_ins.process():
        for number in range(6):
            await check_ins.send('PUT', _check_in('ready', number))
            await trio.sleep(1.4)
        check_ins.status_check.status = BackendStatus.UNKNOWN
        for _ in range(5):
            await trio.sleep(0.5)
            assert check_ins.state is not EndpointState.READY


@pytest.mark.parametrize(
    ('age_s', 'warmup_ms', 'is_warm'),
    [(60.0, 0, True), (1.0, 0, False), (60.0, 500, False)],
)
async def test_endpoint_of_a_restarted_daemon_is_not_a_new_one(
    autojump_clock: MockClock, age_s: float, warmup_ms: int, is_warm: bool
) -> None:
    """Senders avoided it for 3 s after a restart of the daemon alone."""
    check_ins = _CheckIns()
    born = int((_NOW_S - age_s) * 1000)
    async with check_ins.process():
        status = {'state': 'ready', 'seq': 1, 'warmupLeftMs': warmup_ms}
        body = _check_in('ready', 1, status=status, born=born)
        await check_ins.send('PUT', body)
        await trio.sleep(1.5)
        await check_ins.send('PUT', _check_in('ready', 2, born=born))
        assert check_ins.state is EndpointState.READY
        assert check_ins.is_warm == is_warm


async def test_endpoint_that_leaves_during_its_status_check_is_not_offered(
    autojump_clock: MockClock,
) -> None:
    """The response was sent before the notice, which is later."""
    check_ins = _CheckIns()
    check_ins.status_check.delay_s = 0.5
    async with check_ins.process():
        await check_ins.send('PUT', _check_in('ready', 1))
        await trio.sleep(0.1)
        await check_ins.send('DELETE', b'{"born":100}')
        await trio.sleep(1.0)
        assert check_ins.state is EndpointState.DRAINING


async def test_failing_endpoint_is_offered_when_it_has_recovered(
    autojump_clock: MockClock,
) -> None:
    """Its status check fails as that of an endpoint that leaves does."""
    check_ins = _CheckIns()
    check_ins.status_check.status = BackendStatus.UNAVAILABLE
    async with check_ins.process():
        await check_ins.send('PUT', _check_in('ready', 1))
        await trio.sleep(2.0)
        assert check_ins.state is EndpointState.STARTING
        check_ins.status_check.status = BackendStatus.HEALTHY
        await trio.sleep(1.1)
        assert check_ins.state is EndpointState.READY


async def test_heartbeat_with_another_service_is_rejected(
    autojump_clock: MockClock,
) -> None:
    """One of another writer took the endpoint out of use for good."""
    check_ins = _CheckIns()
    info = {'service': 'other', 'version': 'v1', 'zone': 'z', 'slots': 6}
    odd = _check_in('ready', 1, info=info, born=200)
    async with check_ins.process():
        await check_ins.send('PUT', _check_in('ready', 1))
        await check_ins.send('PUT', odd, status=400)
        for number in range(2, 20):
            assert check_ins.state is EndpointState.READY
            await trio.sleep(1.5)
            await check_ins.send('PUT', _check_in('ready', number))


async def test_endpoint_returns_after_a_heartbeat_with_a_later_start(
    autojump_clock: MockClock,
) -> None:
    """Its own heartbeats counted as stale for the life of the daemon."""
    check_ins = _CheckIns()
    async with check_ins.process():
        await check_ins.send('PUT', _check_in('ready', 1))
        await check_ins.send('PUT', _check_in('ready', 1, born=2**60))
        for number in range(2, 8):
            await trio.sleep(1.5)
            await check_ins.send('PUT', _check_in('ready', number))
        assert check_ins.state is EndpointState.READY


async def test_confirmed_endpoint_is_not_checked_again(
    autojump_clock: MockClock,
) -> None:
    """Status checks take slots of the endpoint."""
    check_ins = _CheckIns()
    async with check_ins.process():
        for number in range(1, 8):
            await check_ins.send('PUT', _check_in('ready', number))
            await trio.sleep(1.5)
        assert len(check_ins.status_check.checked) == 1


# Rollouts


_ORDER = Revision(1, 7)


def _split(service: RolloutService, versions: set[str]) -> Split:
    snapshot = Snapshot.build(builders.build_head([]), [])
    return service.split(snapshot, 's', versions)


def _rollouts(*records: RolloutRecord) -> RolloutService:
    service = RolloutService()
    service._events = FakeEvents()
    for record in records:
        service._install(record, 'test')
    return service


def test_a_new_version_gets_no_calls_before_its_order() -> None:
    service = _rollouts()
    assert _split(service, {'v1'}).old_version == ANY_VERSION
    assert _split(service, {'v1', 'v2'}) == Split('v1')


def test_share_follows_the_newest_record() -> None:
    service = _rollouts()
    _split(service, {'v1'})
    second = RolloutRecord('s', 'v2', _ORDER, 2, 0.2)
    first = RolloutRecord('s', 'v2', _ORDER, 1, 0.04)
    assert service._install(second, 'a')
    assert not service._install(first, 'b')
    split = _split(service, {'v1', 'v2'})
    assert (split.old_version, split.new_version, split.share) == (
        'v1',
        'v2',
        0.2,
    )


@pytest.mark.parametrize('versions', [{'v1', 'v2'}, {'v2'}])
def test_a_version_that_was_rolled_back_gets_no_calls(
    versions: set[str],
) -> None:
    """Even when no other version is left, as its responses are faulty."""
    record = RolloutRecord('s', 'v2', _ORDER, 3, 0.0, MoveState.REVERTED)
    service = _rollouts()
    _split(service, {'v1'})
    service._install(record, 'a')
    split = _split(service, versions)
    assert split.old_version == 'v1' and split.new_version is None


def test_a_complete_rollout_leaves_only_the_new_version() -> None:
    service = _rollouts(
        RolloutRecord('s', 'v2', _ORDER, 5, 1.0, MoveState.DONE)
    )
    assert _split(service, {'v1', 'v2'}) == Split('v2')


async def test_ended_order_starts_no_campaign(
    autojump_clock: MockClock,
) -> None:
    """Guards against taking the lease after a start for ended orders."""
    service = _rollouts(
        RolloutRecord(
            's', 'v2', _ORDER, 3, 0.0, MoveState.REVERTED, stored_era=1
        )
    )
    async with trio.open_nursery() as nursery:
        # The service has no store here, so that a campaign fails the test.
        nursery.start_soon(service._campaign)
        await trio.sleep(0.1)
        service.add_order(platform.RolloutOrder('s', 'v2', 12.0), _ORDER)
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()


async def test_malformed_tenants_leave_the_configuration_in_use(
    autojump_clock: MockClock,
) -> None:
    """Guards against keys that are dropped, or logged, by a bad entry."""
    store, distribution = _Store(), _Distribution()
    membership = _Membership(builders.build_member(0))
    kernel = _kernel(store, membership, distribution, _Rollouts(), Feed())
    events = kernel.get('events', FakeEvents)

    async def write(version: int, *specs: dict[str, Any]) -> None:
        resources = [
            {
                'entryType': 'tenants',
                'metadata': {'name': f't{index}'},
                'spec': spec,
            }
            for index, spec in enumerate(specs)
        ]
        value = {'version': f'{version:08x}', 'resources': resources}
        record = json.dumps(value).encode()
        await store.txn([], [Put(platform.CONFIGURATION_KEY, record)])
        await trio.sleep(0.2)

    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        await write(1, {'apiKeys': ['secret-one']})
        for version, spec in enumerate(
            (
                {'apiKeys': ['secret-one']},
                {'apiKeys': ['secret-two', '']},
                {'apiKeys': 'secret-two'},
                {'apiKeys': ['secret-two'], 'ratePerS': -1},
            ),
            2,
        ):
            await write(version, {'apiKeys': ['secret-one']}, spec)
            snapshot = distribution.snapshot
            assert snapshot is not None
            assert snapshot.version == 1
            assert snapshot.tenant_by_key(b'secret-one') is not None
        await write(9, {'apiKeys': ['secret-two']})
        snapshot = distribution.snapshot
        assert snapshot is not None
        assert snapshot.tenant_by_key(b'secret-one') is None
        assert snapshot.tenant_by_key(b'secret-two') is not None
        nursery.cancel_scope.cancel()
    rejected = [
        str(fields)
        for code, fields in events.emitted
        if code == 'feed-entry-rejected'
    ]
    assert len(rejected) == 4
    assert all("'t1'" in item for item in rejected)
    assert 'secret' not in repr(events.emitted)
