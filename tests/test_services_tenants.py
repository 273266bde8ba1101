"""Tests of tenants, keys and limits at the first daemon and behind it."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import httpcore
import pytest
import trio

from gypsumhall.core import _model
from gypsumhall.core._member import EndpointState
from gypsumhall.kernel import Kernel
from gypsumhall.net._messages import CallRefused
from gypsumhall.net._messages import CallStart
from gypsumhall.net._messages import Outcome
from gypsumhall.services._isolation import IsolationService
from gypsumhall.testing import builders
from gypsumhall.testing import tenants
from gypsumhall.testing.fakes import FakeEvents
from gypsumhall.testing.fakes import FakeService
from gypsumhall.testing.memory_store import MemoryStore
from gypsumhall.testing.pipelining import connect
from gypsumhall.testing.tenants import build_request
from gypsumhall.testing.tenants import build_tenant
from gypsumhall.testing.tenants import install

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from trio.testing import MockClock

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
        # The daemons reset their connections when they are cancelled.
        with contextlib.suppress(trio.BrokenResourceError):
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


# Removed keys


async def test_removed_key_is_rejected_on_an_open_connection() -> None:
    async with _open() as (_, daemons, caller):
        for version, tenant, status in (
            (3, _TENANT, 200),
            (4, build_tenant('tenant-a', 'new-key'), 401),
            (5, build_tenant('tenant-a', 'new-key', _KEY), 200),
        ):
            install(daemons[0], version, tenant)
            await caller.send(build_request('a', key=_KEY))
            assert (await caller.read_response()).status == status


async def test_removed_key_ends_pipelined_requests_that_wait() -> None:
    """Guards against a run that begins after its key has been removed."""
    async with _open() as (backend, daemons, caller):
        await caller.send(
            build_request('a', work_s=0.3, key=_KEY),
            build_request('b', 'POST', body=b'x', key=_KEY),
            build_request('c', 'POST', body=b'x', key='key-b'),
        )
        await _until(lambda: backend.running == 1)
        await trio.sleep(0.05)
        install(daemons[0], 3, _OTHER)
        responses = [await caller.read_response() for _ in range(3)]
        assert [item.status for item in responses] == [200, 401, 200]
        assert b'"code": "key-removed"' in responses[1].body
        assert backend.started == ['a', 'c']


@pytest.mark.parametrize('remote', [False, True])
@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_removed_key_ends_queued_calls(
    remote: bool, method: str
) -> None:
    """Also in the queue of another daemon; running calls are completed."""
    async with _open(remote=remote, slots=1) as (backend, daemons, caller):
        queued = await connect(daemons[0])
        other = await connect(daemons[0])
        async with queued.stream, other.stream:
            await caller.send(build_request('a', work_s=1.0, key=_KEY))
            await _until(lambda: backend.running == 1)
            body = b'x' * 200_000 if method == 'POST' else b''
            await queued.send(build_request('b', method, body=body, key=_KEY))
            await _until(lambda: daemons[-1].runner.load.queued == 1)
            await other.send(build_request('c', key='key-b'))
            await _until(lambda: daemons[-1].runner.load.queued == 2)
            install(daemons[0], 3, _OTHER)
            response = await queued.read_response(method)
            assert response.status == 401
            assert b'"outcome": "not-run"' in response.body
            assert backend.running == 1
            assert (await caller.read_response()).status == 200
            assert (await other.read_response()).status == 200
            assert backend.started == ['a', 'c']
            await _until(lambda: not daemons[-1].runner.load.in_flight)


async def test_removed_key_ends_requests_that_wait_for_an_endpoint() -> None:
    async with _open() as (backend, daemons, caller):
        daemons[0].set_backend(backend.address, state=EndpointState.STARTING)
        # The member table still lists the endpoint as ready.
        daemons[0].membership.set_endpoint(builders.build_endpoint())
        await caller.send(build_request('a', key=_KEY))
        await trio.sleep(0.2)
        install(daemons[0], 3, _OTHER)
        removed_at = trio.current_time()
        assert (await caller.read_response()).status == 401
        assert trio.current_time() - removed_at < 1.0
        assert not backend.started


async def test_removed_key_ends_requests_whose_body_is_awaited() -> None:
    async with _open() as (backend, daemons, caller):
        request = build_request('a', 'POST', body=bytes(100), key=_KEY)
        await caller.send(request[:-1])
        await _until(lambda: bool(daemons[0].caller._buffered_bytes))
        install(daemons[0], 3, _OTHER)
        assert (await caller.read_response('POST')).status == 401
        assert not daemons[0].caller._buffered_bytes
        assert not backend.started


@pytest.mark.parametrize('key', ['', 'K'])
async def test_removed_key_ends_requests_right_after_their_wait(
    key: str,
) -> None:
    """Guards against a run and a lost token if the removal comes too late.

    The quota has granted the request in the same step of the event loop.
    """
    async with _open() as (backend, daemons, caller):
        quotas = tenants.DecidingQuotas(lambda: install(daemons[0], 3, _OTHER))
        daemons[0].runner.set_quotas(quotas)
        fields = (f'Idempotency-Key: {key}',) if key else ()
        await caller.send(
            build_request('a', 'POST', body=b'x', key=_KEY, fields=fields)
        )
        response = await caller.read_response('POST')
        assert response.status == 401
        assert b'"code": "key-removed"' in response.body
        assert quotas.returned == ['tenant-a']
        assert not backend.started


@pytest.mark.parametrize('remote', [False, True])
async def test_removed_key_ends_calls_that_wait_for_a_connection(
    remote: bool,
) -> None:
    async with _open(remote=remote) as (backend, daemons, caller):
        backend.connect_s = 5.0
        await caller.send(build_request('a', 'POST', body=b'x', key=_KEY))
        await _until(lambda: 'a' in backend.headers)
        install(daemons[0], 3, _OTHER)
        assert (await caller.read_response('POST')).status == 401
        assert not backend.started
        await _until(lambda: not daemons[-1].runner.load.in_flight)


@pytest.mark.parametrize(
    ('configuration', 'path'),
    [
        pytest.param(
            (_OTHER, build_tenant('tenant-c', _KEY)), '/search', id='moved'
        ),
        pytest.param((), '/search', id='no-tenants'),
        pytest.param((_OTHER,), '/open', id='public'),
    ],
)
async def test_allowed_request_is_not_withdrawn(
    configuration: tuple[_model.Tenant, ...], path: str
) -> None:
    """Guards against 401 for what every configuration allows."""
    async with _open(slots=1) as (backend, daemons, caller):
        other = await connect(daemons[0])
        async with other.stream:
            await other.send(build_request('a', work_s=0.3, key=_KEY))
            await _until(lambda: backend.running == 1)
            await caller.send(build_request('b', path=path, key=_KEY))
            await _until(lambda: daemons[0].runner.load.queued == 1)
            install(daemons[0], 3, *configuration)
            assert (await caller.read_response()).status == 200
            assert backend.tenant('b') == b'tenant-a'


async def test_withdrawn_call_is_refused_when_it_begins_later() -> None:
    """The withdrawal may overtake the last parts of a large body."""
    async with _open() as (backend, daemons, _):
        runner = daemons[0].runner
        call = CallStart(
            'd9/1:1',
            0,
            'availability',
            '',
            'spa/search',
            'GET',
            '/',
            (),
            900,
            True,
        )
        runner.withdraw(call.request_id)
        messages: list[object] = []

        async def send(message: object) -> None:
            messages.append(message)

        await runner.execute(call, b'', send)
        (refusal,) = messages
        assert isinstance(refusal, CallRefused)
        assert refusal.outcome is Outcome.NOT_RUN
        assert not backend.started


async def test_nothing_is_kept_of_ended_requests() -> None:
    """Guards against state that grows with the number of requests."""
    async with _open(remote=True) as (_, daemons, caller):
        for key in (_KEY, 'unknown', _KEY):
            await caller.send(build_request('a', key=key))
            await caller.read_response()
        # The response may arrive before its request has ended.
        await _until(lambda: not daemons[0].caller._identified)
        await _until(lambda: not daemons[1].runner._runs)


# Limits


def _limits(**values: float) -> _model.RequestLimits:
    return _model.RequestLimits(**values)  # type: ignore[arg-type]


async def test_head_above_the_limit_is_rejected() -> None:
    """A limit applies to open connections, also if it has been raised."""
    async with _open() as (_, daemons, caller):
        padding = ('X-Padding: ' + 'x' * 40_000,)
        small = ('X-Padding: ' + 'x' * 2_000,)
        for version, limit, fields, status in (
            (3, 1_000, (), 200),
            (4, 50_000, padding, 200),
            (5, 0, small, 200),
            (6, 1_000, small, 431),
        ):
            # The parser of the idle connection has the former limit.
            await trio.sleep(0.05)
            install(
                daemons[0], version, limits=_limits(max_header_bytes=limit)
            )
            request = build_request('a', fields=fields)
            await caller.send(request[:35_000])
            await trio.sleep(0.05)
            if request[35_000:]:
                await caller.send(request[35_000:])
            assert (await caller.read_response()).status == status


async def test_unfinished_head_above_the_limit_is_rejected() -> None:
    async with _open() as (_, daemons, caller):
        install(daemons[0], 3, limits=_limits(max_header_bytes=1_000))
        await caller.send(build_request('a'))
        assert (await caller.read_response()).status == 200
        await caller.send(b'GET / HTTP/1.1\r\nX-Padding: ' + b'x' * 2_000)
        assert (await caller.read_response()).status == 431


async def test_body_above_the_limit_is_rejected() -> None:
    async with _open() as (backend, daemons, caller):
        for version, limit, size, status in (
            (3, 1_000, 1_000, 200),
            (4, 1_000, 1_001, 413),
        ):
            install(daemons[0], version, limits=_limits(max_body_bytes=limit))
            body = b'x' * size
            await caller.send(build_request('a', 'POST', body=body))
            assert (await caller.read_response('POST')).status == status
        assert backend.started == ['a']
        assert not daemons[0].caller._buffered_bytes


async def test_limit_of_the_configuration_does_not_raise_that_of_memory() -> (
    None
):
    """Guards against bodies that fill the memory of a small VM."""
    async with _open() as (_, daemons, caller):
        install(daemons[0], 3, limits=_limits(max_body_bytes=64 * 1024 * 1024))
        request = build_request('a', 'POST', body=b'x')
        request = request.replace(
            b'Content-Length: 1', b'Content-Length: 9000000'
        )
        await caller.send(request)
        assert (await caller.read_response('POST')).status == 413


async def test_slow_head_is_rejected() -> None:
    """Guards against connections that are held by parts of a head."""
    async with _open() as (_, daemons, caller):
        limits = _limits(header_timeout_s=0.3, idle_timeout_s=5.0)
        install(daemons[0], 3, limits=limits)
        await caller.send(build_request('a'))
        assert (await caller.read_response()).status == 200
        started = trio.current_time()
        request = build_request('b')
        for index in range(0, 4):
            await caller.send(request[index : index + 1])
            await trio.sleep(0.05)
        response = await caller.read_response()
        assert response.status == 408
        assert response.closes
        assert 0.25 < trio.current_time() - started < 1.0
        assert await caller.read_response() is None


async def test_slow_head_behind_a_request_is_rejected_in_its_turn() -> None:
    async with _open() as (_, daemons, caller):
        install(daemons[0], 3, limits=_limits(header_timeout_s=0.2))
        await caller.send(build_request('a', work_s=0.5), b'GET / HT')
        assert (await caller.read_response()).body == b'a'
        assert (await caller.read_response()).status == 408


async def test_slow_body_is_not_a_slow_head() -> None:
    async with _open() as (_, daemons, caller):
        install(daemons[0], 3, limits=_limits(header_timeout_s=0.1))
        request = build_request('a', 'POST', body=b'xy')
        await caller.send(request[:-1])
        await trio.sleep(0.3)
        await caller.send(request[-1:])
        assert (await caller.read_response('POST')).status == 200


async def test_idle_connection_is_closed() -> None:
    async with _open() as (_, daemons, caller):
        install(daemons[0], 3, limits=_limits(idle_timeout_s=0.5))
        await caller.send(build_request('a', work_s=0.8))
        assert (await caller.read_response()).status == 200
        answered_at = trio.current_time()
        await trio.sleep(0.4)
        # Callers reuse connections for four fifths of the time.
        await caller.send(build_request('b'))
        assert (await caller.read_response()).status == 200
        assert await caller.read_response() is None
        assert 0.85 < trio.current_time() - answered_at < 2.0


# Cut off from the store and from all other daemons


class _Store(MemoryStore):
    """A `StoreService`; elections are not used here."""

    elections = None


class _Heartbeats(FakeService):
    name = 'membership'

    def __init__(self) -> None:
        self.heard: Callable[[str, object], None]

    def on_peer_digest(self, callback: Callable[[str, object], None]) -> None:
        self.heard = callback


async def test_daemon_is_cut_off_only_without_store_and_other_daemons(
    autojump_clock: MockClock,
) -> None:
    """Guards against 503 of a daemon that still gets configurations."""
    store, membership, events = _Store(), _Heartbeats(), FakeEvents()
    isolation = IsolationService(5.0, 'op/config')
    kernel = Kernel()
    for service in (events, store, membership, isolation):
        kernel.register(service)
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        await trio.sleep(20.0)
        assert not isolation.cut_off
        store.outage = True
        for _ in range(20):
            await trio.sleep(1.0)
            membership.heard('', None)
        assert not isolation.cut_off
        await trio.sleep(4.9)
        assert not isolation.cut_off
        await trio.sleep(0.2)
        assert isolation.cut_off
        await trio.sleep(2.0)
        store.outage = False
        await trio.sleep(2.1)
        assert not isolation.cut_off
        nursery.cancel_scope.cancel()
    codes = [code for code in events.codes if code.startswith('daemon-')]
    assert codes == ['daemon-cut-off', 'daemon-reconnected']


class _Connectivity:
    cut_off = True


async def test_daemon_that_is_cut_off_rejects_requests_that_need_a_key() -> (
    None
):
    async with _open() as (_, daemons, caller):
        connectivity = _Connectivity()
        daemons[0].caller._connectivity = connectivity
        for cut_off, path, status in (
            (True, '/search', 503),
            (True, '/open', 200),
            (False, '/search', 200),
        ):
            connectivity.cut_off = cut_off
            await caller.send(build_request('a', path=path, key=_KEY))
            response = await caller.read_response()
            assert response.status == status
            if status == 503:
                assert b'"outcome": "not-run"' in response.body
