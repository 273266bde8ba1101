"""Tests of announcements, the stand-in backend server and the load tool."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import httpcore
import pytest
import trio

from gypsumhall.core._member import EndpointState
from gypsumhall.load._load import Load
from gypsumhall.load._load import LoadSettings
from gypsumhall.load._load import RequestKind
from gypsumhall.services._protocols import AdminRequest
from gypsumhall.standin._backend import BackendServer
from gypsumhall.standin._backend import BackendSettings
from gypsumhall.standin._backend import Faults
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallPathDaemon
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from trio.testing import MockClock

_ANNOUNCED = {
    'service': 'availability',
    'version': 'v1',
    'address': '127.0.0.1:9',
    'slots': 6,
    'state': 'ready',
}


async def _start_daemon(
    nursery: trio.Nursery, listen: str = ''
) -> CallPathDaemon:
    hub = MemoryHub(nursery)
    daemon = CallPathDaemon(
        builders.build_member(),
        fakes.FakeTable(),
        lambda info: MemoryNetwork(hub, info),
        build_snapshot(),
        listen=listen,
    )
    await nursery.start(daemon.run)
    return daemon


async def _announce(daemon: CallPathDaemon, **changes: object) -> int:
    body = json.dumps({**_ANNOUNCED, **changes}).encode()
    handler = daemon.admin.routes['POST', '/v1/announce']
    request = AdminRequest('POST', '/v1/announce', body=body)
    return (await handler(request)).status


async def test_endpoint_follows_its_announcements(
    autojump_clock: MockClock,
) -> None:
    """A backend server that dies silently must not keep its endpoint."""
    async with trio.open_nursery() as nursery:
        daemon = await _start_daemon(nursery)
        for _ in range(5):
            assert await _announce(daemon) == 204
            await trio.sleep(2.9)
            assert daemon.membership.me.endpoint is not None
        await trio.sleep(0.2)
        assert daemon.membership.me.endpoint is None
        assert daemon.runner.load.draining
        assert await _announce(daemon) == 204
        assert await _announce(daemon, state='draining') == 204
        endpoint = daemon.membership.me.endpoint
        assert endpoint is not None
        assert endpoint.state == EndpointState.DRAINING
        assert daemon.runner.load.draining
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'changes',
    [
        {'slots': 0},
        {'slots': 'six'},
        {'state': 'idle'},
        {'address': 'localhost'},
        {'address': '127.0.0.1:99999'},
        {'service': ''},
        {'unknown': 1},
    ],
)
async def test_bad_announcement_changes_nothing(
    autojump_clock: MockClock, changes: dict[str, object]
) -> None:
    async with trio.open_nursery() as nursery:
        daemon = await _start_daemon(nursery)
        assert await _announce(daemon) == 204
        before = daemon.membership.me
        assert await _announce(daemon, **changes) == 400
        assert daemon.membership.me == before
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('faults', 'expected'),
    [
        (Faults(failure_rate=1.0), 500),
        (Faults(failure_rate=1.0, failure_status=503), 503),
        (Faults(failure_rate=1.0, path='/other'), 200),
        (Faults(failure_rate=1.0, after_s=600.0), 200),
        (Faults(failure_rate=1.0, above=1), 200),
        (Faults(crash_rate=1.0), None),
        (Faults(break_rate=1.0), None),
    ],
)
async def test_faults_of_the_standin(
    faults: Faults, expected: int | None
) -> None:
    """Other tests rely on the faults that they ask for."""
    settings = BackendSettings('availability', 'v1', service_time_ms=0.1)
    server = BackendServer(settings, faults)
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            address = await nursery.start(server.run)
            async with httpcore.AsyncConnectionPool() as pool:
                url = f'http://{address}/search'
                headers = {'Host': 'spa.example', 'X-Request': 'r1'}
                if expected is None:
                    errors = (httpcore.ReadError, httpcore.RemoteProtocolError)
                    with pytest.raises(errors):
                        await pool.request('GET', url, headers=headers)
                else:
                    response = await pool.request('GET', url, headers=headers)
                    assert response.status == expected
                runs = await pool.request('GET', f'http://{address}/runs')
                assert json.loads(runs.content) == {'r1': 1}
            await server.stop()


@pytest.mark.parametrize('fault', [False, True])
async def test_load_reports_outcomes_and_violations(fault: bool) -> None:
    """The tool must see a request that was run twice."""
    with trio.fail_after(60):
        async with trio.open_nursery() as nursery:
            daemon = await _start_daemon(nursery, '127.0.0.1:0')
            server = BackendServer(
                BackendSettings(
                    'availability', 'v1', slots=64, service_time_ms=1.0
                ),
                Faults(run_twice=fault),
            )
            address = await nursery.start(server.run)
            daemon.set_backend(address, slots=64)
            assert daemon.caller is not None
            kinds = (
                RequestKind(name='get', host='spa.example', path='/search'),
                RequestKind(
                    name='post',
                    host='spa.example',
                    path='/search?size=100000',
                    method='POST',
                    keyed=True,
                    idempotent=False,
                    body_bytes=70_000,
                ),
                RequestKind(name='lost', host='unknown'),
            )
            load = Load(
                LoadSettings(
                    targets=(daemon.caller.address,),
                    kinds=kinds,
                    rate_per_s=200.0,
                    max_requests=60,
                    baseline=(address,),
                    check_runs=(address,),
                )
            )
            report = await load.run()
            results = report['results']
            assert sum(sum(item.values()) for item in results.values()) == 60
            assert set(results['get']) == set(results['post']) == {'ok'}
            assert set(results['lost']) == {'refused-not-run'}
            assert report['latency_ms']['calls']['p50'] > 0
            violations = {'ran-twice'} if fault else set()
            assert set(report['violations']) == violations
            nursery.cancel_scope.cancel()
