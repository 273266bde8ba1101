"""Tests of tenants, keys and limits at the first daemon and behind it."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import httpcore
import pytest
import trio

from gypsumhall.testing import tenants
from gypsumhall.testing.pipelining import connect
from gypsumhall.testing.tenants import build_request
from gypsumhall.testing.tenants import build_tenant
from gypsumhall.testing.tenants import install

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumhall.testing.daemons import CallPathDaemon
    from gypsumhall.testing.pipelining import PipeliningCaller

_WAIT_S = 20.0
_KEY = 'key-4711-of-tenant-a'
_TENANT = build_tenant('tenant-a', _KEY)
_OTHER = build_tenant('tenant-b', 'key-b')


async def _until(condition: Callable[[], bool]) -> None:
    while True:
        if condition():
            return
        await trio.sleep(0.01)


@contextlib.asynccontextmanager
async def _open(
    *, remote: bool = False, slots: int = 32
) -> AsyncIterator[
    tuple[tenants.RecordingBackend, list[CallPathDaemon], PipeliningCaller]
]:
    backend = tenants.RecordingBackend()
    with trio.fail_after(_WAIT_S):
        async with tenants.open_daemons(
            backend, remote=remote, slots=slots
        ) as daemons:
            for daemon in daemons:
                install(daemon, 2, _TENANT, _OTHER)
            caller = await connect(daemons[0])
            async with caller.stream:
                yield backend, daemons, caller


# Identity


@pytest.mark.parametrize('remote', [False, True])
async def test_backend_server_gets_the_tenant_but_not_the_key(
    remote: bool,
) -> None:
    """Guards against keys, and against a tenant that the caller states."""
    async with _open(remote=remote) as (backend, _, caller):
        forged = ('Gypsumhall-Tenant: forged',)
        await caller.send(build_request('a', key=_KEY, fields=forged))
        assert (await caller.read_response()).status == 200
        assert backend.tenant('a') == b'tenant-a'
        assert b'gypsumhall-key' not in dict(backend.headers['a'])
        await caller.send(build_request('b', path='/open', fields=forged))
        assert (await caller.read_response()).status == 200
        assert backend.tenant('b') is None


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ((), 'key-missing'),
        (('Gypsumhall-Key:',), 'key-empty'),
        (('Gypsumhall-Key: other',), 'key-unknown'),
        ((f'Gypsumhall-Key: {_KEY}',) * 2, 'key-repeated'),
        (('Gypsumhall-Tenant: tenant-a',), 'key-missing'),
    ],
)
async def test_request_without_a_known_key_is_rejected(
    fields: tuple[str, ...], reason: str
) -> None:
    async with _open() as (backend, _, caller):
        await caller.send(build_request('a', fields=fields))
        response = await caller.read_response()
        assert response.status == 401
        assert f'"code": "{reason}"'.encode() in response.body
        assert b'"outcome": "not-run"' in response.body
        # The connection can be used on.
        await caller.send(build_request('b', key=_KEY))
        assert (await caller.read_response()).status == 200
        assert list(backend.headers) == ['b']


async def test_body_without_a_known_key_is_not_awaited() -> None:
    """Guards against memory that is used for callers without a key."""
    async with _open() as (_, daemons, caller):
        request = build_request('a', 'POST', body=bytes(300_000), key='no')
        await caller.send(request[:-200_000])
        assert (await caller.read_response('POST')).status == 401
        assert not daemons[0].caller._buffered_bytes


async def test_without_tenants_requests_are_served_as_before() -> None:
    async with _open() as (backend, daemons, caller):
        install(daemons[0], 3)
        fields = ('Gypsumhall-Tenant: forged', 'Gypsumhall-Key: any')
        await caller.send(build_request('a', fields=fields))
        assert (await caller.read_response()).status == 200
        names = {name for name, _ in backend.headers['a']}
        assert not names & {b'gypsumhall-tenant', b'gypsumhall-key'}


async def test_key_is_in_no_bytes_that_leave_the_first_daemon() -> None:
    """Guards against a key in messages, requests, events or responses."""
    to_backend = bytearray()

    async def serve(stream: trio.SocketStream) -> None:
        received = b''
        while data := await stream.receive_some():
            to_backend.extend(data)
            received += data
            if received.endswith((b'\r\n\r\n', b'end')):
                received = b''
                await stream.send_all(
                    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
                )

    to_peers = tenants.Tee()
    with trio.fail_after(_WAIT_S):
        async with trio.open_nursery() as nursery:
            await nursery.start(to_peers.run)
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            async with (
                tenants.open_daemons_on_sockets(
                    f'127.0.0.1:{port}', to_peers
                ) as daemons,
                httpcore.AsyncConnectionPool() as pool,
            ):
                for daemon in daemons:
                    install(daemon, 2, _TENANT)
                received = b''
                for daemon in daemons:
                    for path, method, body, key in (
                        ('/search', 'GET', b'', _KEY),
                        ('/search', 'POST', b'x' * 100_000 + b'end', _KEY),
                        ('/open', 'GET', b'', _KEY),
                        ('/unknown', 'GET', b'', _KEY),
                        ('/search', 'GET', b'', _KEY + ','),
                        ('/search', 'GET', b'', ''),
                    ):
                        response = await pool.request(
                            method,
                            f'http://{daemon.caller.address}{path}',
                            headers=[
                                ('Host', 'spa.example'),
                                ('Gypsumhall-Key', key),
                                ('Gypsumhall-Tenant', 'forged'),
                            ],
                            content=body,
                        )
                        received += b'%d ' % response.status
                        received += repr(response.headers).encode()
                        received += response.content
                for status in (b'200 ', b'401 ', b'404 '):
                    assert received.count(status) >= 2
                reports = repr([daemon.events.emitted for daemon in daemons])
                reports += repr(
                    [daemon.metrics.render('') for daemon in daemons]
                )
            nursery.cancel_scope.cancel()
    for data in (to_backend, to_peers.received):
        assert b'tenant-a' in data
        assert b'forged' not in data
    for data in (to_backend, to_peers.received, received, reports.encode()):
        assert data
        assert _KEY.encode() not in data
