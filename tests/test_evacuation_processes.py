"""Evacuation of a zone with daemons as real processes on loopback addresses.

The fakes of ``tests/test_services_evacuations.py`` have neither real streams
nor the member table, and daemons there take no time.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from contextlib import suppress
import itertools
import json
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

import httpcore
import trio

from gypsumhall.services import _http_server
from gypsumhall.standin import server_settings
from gypsumhall.store import Delete
from gypsumhall.store import Put
from gypsumhall.testing.kv_store import KvApp
from gypsumhall.testing.memory_store import MemoryStore
from soak._processes import Daemon
from soak._processes import reserve_network
from soak._processes import store_address
from soak._processes import Vm

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

_VMS = 6
_ZONES = 3
_SERVICE = 's'
_LIMIT_S = 5.0
_RATE_PER_S = 40.0
_START_S = 30.0
_REQUEST_IDS = itertools.count(1)


class _Endpoint:
    """Backend server in this process, which sends heartbeats."""

    def __init__(self, vm: Vm) -> None:
        self.vm = vm
        self.sent: list[float] = []
        self.checks = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        fields = dict(scope['headers'])
        headers = [(b'gypsumhall-instance-id', f'i-{self.vm.index}'.encode())]
        if scope['path'] == '/status':
            self.checks += 1
        else:
            self.sent.append(trio.current_time())
            name = b'gypsumhall-request-id'
            headers.append((name, fields.get(name, b'')))
            await trio.sleep(0.02)
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send({'type': 'http.response.body', 'body': b'ok'})

    async def beat(self) -> None:
        """Send heartbeats until cancelled."""
        url = f'http://{self.vm.control_address}/v1/instances/'
        info = {'service': _SERVICE, 'version': 'v1', 'zone': self.vm.zone}
        sequence = 0
        async with httpcore.AsyncConnectionPool(
            max_keepalive_connections=0
        ) as pool:
            while True:
                sequence += 1
                body = {
                    'addr': self.vm.backend_address,
                    'info': {**info, 'slots': 3},
                    'status': {'state': 'ready', 'seq': sequence},
                    'born': 100,
                }
                with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                    await pool.request(
                        'PUT',
                        f'{url}i-{self.vm.index}',
                        content=json.dumps(body).encode(),
                    )
                await trio.sleep(0.5)


class _Fleet:
    def __init__(self, network: int, directory: Path) -> None:
        self.store = MemoryStore()
        vms = [Vm(i, network, _ZONES, _SERVICE) for i in range(_VMS)]
        self.endpoints = [_Endpoint(vm) for vm in vms]
        self.daemons = [
            Daemon(vm, directory, cast(Any, None), relayed=False) for vm in vms
        ]
        self.statuses: list[int] = []
        self.failures = 0

    def last_sent_at(self, zone: str) -> float:
        return max(
            time
            for endpoint in self.endpoints
            if endpoint.vm.zone == zone
            for time in (0.0, *endpoint.sent)
        )

    async def wait_ready(self) -> None:
        with trio.fail_after(_START_S):
            while not (  # noqa: ASYNC110
                all(item.ready_since for item in self.daemons)
                and all(item.checks for item in self.endpoints)
            ):
                await trio.sleep(0.1)

    async def send_calls(self) -> None:
        """Send calls to all daemons in turn until cancelled."""
        async with (
            httpcore.AsyncConnectionPool() as pool,
            trio.open_nursery() as nursery,
        ):
            number = 0
            while True:
                daemon = self.daemons[number % _VMS]
                number += 1
                if daemon.ready_since:
                    nursery.start_soon(self._call, pool, daemon.vm)
                await trio.sleep(1 / _RATE_PER_S)

    async def _call(self, pool: httpcore.AsyncConnectionPool, vm: Vm) -> None:
        try:
            response = await pool.request(
                'GET',
                f'http://{vm.outbound_address}/a/',
                headers={
                    'Host': 'h',
                    'Gypsumhall-Timeout-Ms': '2000',
                    'Gypsumhall-Request-Id': f'{next(_REQUEST_IDS):016x}',
                },
            )
            self.statuses.append(response.status)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.failures += 1


def _configuration() -> bytes:
    route = {
        'host': 'h',
        'prefix': '/a/',
        'type': 'idempotent',
        'timeoutMs': 2000,
        'sloMs': 500,
        'service': _SERVICE,
    }
    entries = (
        ('routes', 'r', route),
        ('services', _SERVICE, {'healthPath': '/status'}),
    )
    resources = [
        {'entryType': kind, 'metadata': {'name': name}, 'spec': spec}
        for kind, name, spec in entries
    ]
    return json.dumps({'version': '00000001', 'resources': resources}).encode()


@asynccontextmanager
async def _open_fleet(directory: Path) -> AsyncIterator[_Fleet]:
    network, lock = reserve_network()
    fleet = _Fleet(network, directory)
    await fleet.store.txn([], [Put('op/config', _configuration())])
    stop = trio.Event()
    with lock:
        async with trio.open_nursery() as nursery:
            apps = {store_address(network): cast(Any, KvApp(fleet.store))}
            for endpoint in fleet.endpoints:
                apps[endpoint.vm.backend_address] = endpoint
                nursery.start_soon(endpoint.beat)
            for address, app in apps.items():
                await nursery.start(
                    _http_server.serve, app, server_settings(), address, stop
                )
            try:
                for daemon in fleet.daemons:
                    await daemon.start()
                    nursery.start_soon(daemon.probe)
                await fleet.wait_ready()
                yield fleet
            finally:
                with trio.CancelScope(shield=True):
                    for daemon in fleet.daemons:
                        await daemon.kill()
            nursery.cancel_scope.cancel()


async def test_zone_gets_no_request_from_5_s_after_the_response_of_the_store(
    tmp_path: Path,
) -> None:
    """By the rule ``evacuateMs``; also for a daemon that is killed."""
    async with _open_fleet(tmp_path) as fleet, trio.open_nursery() as nursery:
        nursery.start_soon(fleet.send_calls)
        await trio.sleep(2.0)
        assert fleet.last_sent_at('zone-2') > trio.current_time() - 1.0
        await fleet.store.txn([], [Put('op/evacuate/zone-2', b'{}')])
        acknowledged = trio.current_time()
        await trio.sleep(2.0)
        daemon = fleet.daemons[1]
        assert daemon.vm.zone == 'zone-2'
        await daemon.kill()
        await daemon.start()
        await trio.sleep(_LIMIT_S)
        delay_s = fleet.last_sent_at('zone-2') - acknowledged
        assert daemon.ready_since
        assert delay_s < _LIMIT_S
        await fleet.store.txn([], [Delete('op/evacuate/zone-2')])
        await trio.sleep(3.0)
        assert fleet.last_sent_at('zone-2') > trio.current_time() - 1.0
        nursery.cancel_scope.cancel()
    assert set(fleet.statuses) <= {200, 503}
    share = fleet.statuses.count(200) / len(fleet.statuses)
    assert share > 0.98
    print(
        f'last request {delay_s * 1000:.0f} ms after the response; '
        f'{share:.4f} of {len(fleet.statuses)} served, '
        f'{fleet.failures} connections lost'
    )
