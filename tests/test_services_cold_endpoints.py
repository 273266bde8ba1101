"""Tests of the limit on requests to cold endpoints, over several daemons."""

from __future__ import annotations

from contextlib import asynccontextmanager
import json
from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from gypsumhall.core._member import EndpointState
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.kernel import Kernel
from gypsumhall.services import _calls
from gypsumhall.services._checkins import CheckInService
from gypsumhall.services._cold_monitor import ColdMonitor
from gypsumhall.services._protocols import AdminRequest
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.evacuation_fleet import open_evacuation_fleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from trio.testing import MockClock

_RATE = 6.0
_BOUND = _RATE * 1.5 + 8
_DIALECT = _calls.Dialect(
    request_id=b'x-request', not_executed=b'x-not-executed'
)


@pytest.mark.parametrize('warm', [0, 2])
async def test_load_of_an_evacuated_zone_does_not_flood_cold_endpoints(
    autojump_clock: MockClock, warm: int
) -> None:
    """They would crash, and the load would move on to the next ones."""
    async with (
        open_evacuation_fleet(9, _RATE) as fleet,
        trio.open_nursery() as load,
    ):
        for index, daemon in enumerate(fleet.daemons):
            is_warm = daemon.zone == 'az-1' or index >= 9 - warm
            daemon.send_heartbeat(0.0 if is_warm else 60.0)
        fleet.backend.mean_service_time_s = 0.05
        # Together, they can run 77 calls/s within their limits; with two warm
        # ones, 111.
        load.start_soon(fleet.send_calls, 85.0 if warm else 120.0, 8.0)
        await trio.sleep(2.0)
        await fleet.evacuate('az-1')
        await trio.sleep(7.0)
        cold = [
            item
            for index, item in enumerate(fleet.daemons)
            if item.zone != 'az-1' and index < 9 - warm
        ]
        worst = [fleet.worst_second(item.address) for item in cold]
        assert max(worst) <= _BOUND
        # The cold endpoints serve their rate; warm ones take the rest.
        assert min(worst) >= _RATE
        if warm:
            assert fleet.rejected < 0.02 * len(fleet.backend.sent)
        rejections = sum(
            item.metrics.value('gypsumhall_cold_rejections_total')
            for item in cold
        )
        print(
            f'worst seconds {worst}, bound {_BOUND}; {rejections:.0f} attempts'
            f' rejected, {fleet.rejected} of {len(fleet.backend.sent)} calls'
        )


@pytest.mark.parametrize('downtime_s', [0.1, 0.4, 0.9])
async def test_restarted_daemon_limits_a_cold_endpoint(
    autojump_clock: MockClock, downtime_s: float
) -> None:
    """It does not know what its former process has sent."""
    async with (
        open_evacuation_fleet(3, _RATE) as fleet,
        trio.open_nursery() as load,
    ):
        for daemon in fleet.daemons:
            daemon.send_heartbeat(60.0)
        await trio.sleep(2.0)
        load.start_soon(fleet.send_calls, 200.0, 4.0)
        await trio.sleep(0.4)
        # The former process has just used up the window.
        assert fleet.worst_second('backend-0') > _BOUND - 3
        fleet.kill(0)
        await trio.sleep(downtime_s)
        daemon = await fleet.restart(0)
        assert daemon.runner.load.cold is not None
        await trio.sleep(4.0)
        assert fleet.worst_second('backend-0') <= _BOUND
        sent_after = [
            time
            for time, address in fleet.backend.sent
            if address == 'backend-0' and time > trio.current_time() - 2.0
        ]
        assert sent_after


async def test_rejection_of_a_cold_endpoint_costs_no_attempt(
    autojump_clock: MockClock,
) -> None:
    """A request that may reach one endpoint got 503 after the first."""
    async with open_evacuation_fleet(3, _RATE) as fleet:
        for daemon in fleet.daemons:
            daemon.send_heartbeat(60.0 if daemon.zone == 'az-1' else 0.0)
        await trio.sleep(2.0)
        for _ in range(20):
            fleet.daemons[0].cold_monitor.record_request()
        for number in range(10):
            status = await fleet.daemons[0].call(f'r{number}', 'POST', 1)
            assert status == 200
        assert 'backend-0' not in {
            address for _, address in fleet.backend.sent
        }


async def test_service_without_a_limit_is_served_as_before(
    autojump_clock: MockClock,
) -> None:
    async with open_evacuation_fleet(3) as fleet:
        for daemon in fleet.daemons:
            daemon.send_heartbeat(60.0)
            assert daemon.runner.load.cold is None
        await fleet.send_calls(200.0, 2.0)
        assert fleet.rejected == 0
        assert 'endpoint-cold' not in fleet.daemons[0].events.codes


@pytest.mark.parametrize('sign', ['unreachable', 'misdirected'])
async def test_sign_of_a_new_process_limits_requests_at_once(
    autojump_clock: MockClock, sign: str
) -> None:
    """Its first heartbeat may come 1.5 s later."""
    async with open_evacuation_fleet(1, _RATE, _DIALECT) as fleet:
        (daemon,) = fleet.daemons
        daemon.send_heartbeat(0.0)
        assert daemon.runner.load.cold is None
        if sign == 'unreachable':
            fleet.backend.unreachable_rate = 1.0
        else:
            fleet.backend.status['backend-0'] = 421
        await daemon.call('r1', 'POST')
        assert daemon.runner.load.cold is not None
        if sign == 'misdirected':
            # A heartbeat of the former process was delayed.
            daemon.send_heartbeat(0.0)
            assert daemon.runner.load.cold is not None
        daemon.send_heartbeat(0.0, started_ms=2)
        assert daemon.runner.load.cold is None
        assert daemon.events.codes.count('endpoint-cold') == 1


class _Evacuations:
    def __init__(self) -> None:
        self.zones: frozenset[str] = frozenset()
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    def set(self, *zones: str) -> None:
        self.zones = frozenset(zones)
        for callback in self._callbacks:
            callback()


class _Runner(fakes.FakeService):
    name = 'runner'
    stopping = False

    def set_backend(self, *args: Any) -> None:
        pass

    def set_warmup_end(self, time: float) -> None:
        pass


class _CheckIns:
    """Check-ins of a daemon in zone az-1."""

    def __init__(self, cold_rate_per_s: float) -> None:
        self.evacuations = _Evacuations()
        self.status_check = fakes.FakeStatusCheck()
        self.monitor = ColdMonitor()
        self.monitor.set_service('s')
        self.admin = fakes.FakeAdmin()
        self.membership = fakes.FakeMembership(builders.build_member(0))
        self._sequence = 0
        service = builders.build_service('s', status_path='/status')
        service = type(service)(
            's',
            service.versions,
            service.current,
            status_path='/status',
            cold_rate_per_s=cold_rate_per_s,
            warmup_s=20.0,
        )
        fragment = builders.build_fragment(services=[service], routes=[])
        head = builders.build_head([fragment])
        self.distribution = fakes.FakeDistribution(
            Snapshot.build(head, [fragment])
        )

    @property
    def state(self) -> EndpointState | None:
        endpoint = self.membership.me.endpoint
        return None if endpoint is None else endpoint.state

    async def send(self, warmup_ms: float) -> None:
        """Send a heartbeat."""
        self._sequence += 1
        body = {
            'addr': '10.0.0.9:80',
            'info': {'service': 's', 'version': 'v1', 'zone': 'z', 'slots': 6},
            'status': {
                'state': 'ready',
                'seq': self._sequence,
                'warmupLeftMs': warmup_ms,
            },
            'born': 100,
        }
        handler = self.admin.routes['PUT', '/v1/instances/']
        data = json.dumps(body).encode()
        request = AdminRequest('PUT', '/v1/instances/i-1', body=data)
        assert (await handler(request)).status == 200
        await wait_all_tasks_blocked()


@asynccontextmanager
async def _check_ins(
    cold_rate_per_s: float = _RATE,
) -> AsyncIterator[_CheckIns]:
    check_ins = _CheckIns(cold_rate_per_s)
    service = CheckInService(
        '',
        '',
        check_ins.status_check,
        check_ins.evacuations,
        check_ins.monitor,
    )
    service.register_routes(check_ins.admin)
    kernel = Kernel()
    events, metrics = fakes.FakeEvents(), fakes.FakeMetrics()
    for item in (
        events,
        check_ins.admin,
        check_ins.membership,
        check_ins.distribution,
        _Runner(),
        service,
    ):
        kernel.register(item)
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        check_ins.monitor.start(check_ins.distribution, events, metrics)
        yield check_ins
        nursery.cancel_scope.cancel()


async def test_heartbeats_say_how_long_the_endpoint_remains_cold(
    autojump_clock: MockClock,
) -> None:
    async with _check_ins() as check_ins:
        monitor = check_ins.monitor
        assert monitor.load() is not None
        await check_ins.send(4000)
        cold = monitor.load()
        assert cold is not None
        assert 3900 < cold.remaining_ms <= 4000
        await trio.sleep(1.5)
        # An odd time may not limit the endpoint for a day.
        await check_ins.send(86_000_000)
        cold = monitor.load()
        assert cold is not None
        assert cold.remaining_ms <= 20_000
        await trio.sleep(1.5)
        await check_ins.send(0)
        assert monitor.load() is None


async def test_evacuated_endpoint_gets_no_status_checks(
    autojump_clock: MockClock,
) -> None:
    """Nothing is sent to it; it is confirmed when the evacuation ends."""
    async with _check_ins() as check_ins:
        check_ins.evacuations.set('az-1')
        for _ in range(3):
            await check_ins.send(0)
            await trio.sleep(1.5)
        assert check_ins.status_check.checked == []
        assert check_ins.state is EndpointState.STARTING
        check_ins.evacuations.set()
        await wait_all_tasks_blocked()
        assert check_ins.status_check.checked
        assert check_ins.state is EndpointState.READY


async def test_endpoint_counts_as_cold_when_its_evacuation_ends(
    autojump_clock: MockClock,
) -> None:
    """It may have become cold after its last heartbeat."""
    async with _check_ins() as check_ins:
        await check_ins.send(0)
        assert check_ins.monitor.load() is None
        checks = len(check_ins.status_check.checked)
        check_ins.evacuations.set('az-1')
        await wait_all_tasks_blocked()
        assert len(check_ins.status_check.checked) == checks
        check_ins.evacuations.set()
        assert check_ins.monitor.load() is not None
        await wait_all_tasks_blocked()
        assert len(check_ins.status_check.checked) == checks + 1
        await check_ins.send(0)
        assert check_ins.monitor.load() is None


@pytest.mark.parametrize(('rate', 'checks'), [(_RATE, 2), (0.0, 0)])
async def test_status_is_checked_when_load_moves(
    autojump_clock: MockClock, rate: float, checks: int
) -> None:
    """Each check has a price, so there is none without a limit."""
    async with _check_ins(rate) as check_ins:
        await check_ins.send(0)
        before = len(check_ins.status_check.checked)
        check_ins.evacuations.set('az-2')
        await trio.sleep(1.0)
        check_ins.evacuations.set()
        await trio.sleep(10.0)
        assert len(check_ins.status_check.checked) == before + checks
