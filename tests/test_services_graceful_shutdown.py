"""Tests of what callers observe during the graceful shutdown of a daemon."""

from __future__ import annotations

import contextlib
from random import Random
import socket
from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.services import _http_server
from gypsumhall.services._calls import Dialect
from gypsumhall.testing import asgi
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallPathDaemon
from gypsumhall.testing.daemons import MemoryBackend
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock

    from gypsumhall.core._snapshot import Snapshot

_TIME_LIMIT_S = 20.0
_ADDRESS = '127.0.0.1:1'
_OTHER_ADDRESS = '127.0.0.1:2'
# A few more scheduler ticks than an idle daemon needs for its shutdown.
_SHUTDOWN_TICKS = 25


@contextlib.asynccontextmanager
async def _run_daemon(
    backend: MemoryBackend,
    snapshot: Snapshot | None = None,
    start_other: trio.Event | None = None,
    **settings: Any,
) -> AsyncIterator[tuple[CallPathDaemon, trio.Event]]:
    """Run a daemon; the event yielded is set when its kernel has ended.

    Setting the event ``start_other`` starts a second daemon with an endpoint.
    """
    ended = trio.Event()
    with trio.fail_after(_TIME_LIMIT_S):
        async with trio.open_nursery() as nursery:
            hub = MemoryHub(nursery)
            table = fakes.FakeTable()
            snapshot = snapshot or build_snapshot()

            async def run_other() -> None:
                await start_other.wait()
                daemon = CallPathDaemon(
                    builders.build_member(1),
                    table,
                    lambda info: MemoryNetwork(hub, info),
                    snapshot,
                    connect=backend.client,
                )
                await nursery.start(daemon.run)
                daemon.set_backend(_OTHER_ADDRESS)

            if start_other is not None:
                nursery.start_soon(run_other)
            daemon = CallPathDaemon(
                builders.build_member(0),
                table,
                lambda info: MemoryNetwork(hub, info),
                snapshot,
                connect=backend.client,
                listen='127.0.0.1:0',
                **settings,
            )

            async def run(*, task_status: trio.TaskStatus[None]) -> None:
                await daemon.run(task_status=task_status)
                ended.set()

            await nursery.start(run)
            daemon.set_backend(_ADDRESS)
            yield daemon, ended
            nursery.cancel_scope.cancel()


def _request(request_id: str, method: str = 'POST') -> bytes:
    return (
        f'{method} /search HTTP/1.1\r\nHost: spa.example\r\n'
        f'X-Request: {request_id}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


async def _connect(daemon: CallPathDaemon) -> trio.SocketStream:
    host, _, port = daemon.caller.address.rpartition(':')
    return await trio.open_tcp_stream(host, int(port))


async def _read_response(stream: trio.SocketStream) -> bytes:
    """Return all bytes sent until the daemon closes the connection."""
    received = b''
    with contextlib.suppress(trio.BrokenResourceError):
        while data := await stream.receive_some():
            received += data
    return received


async def _wait_until_running(backend: MemoryBackend) -> None:
    while True:
        if backend.runs:
            return
        await trio.sleep(0.01)


@pytest.mark.parametrize('_attempt', range(8))
async def test_last_request_gets_its_error_response(
    _attempt: int,
) -> None:
    """Connections must not be cancelled before the error response is sent."""
    backend = MemoryBackend(Random(1))
    backend.mean_service_time_s, backend.constant_service_time = 0.2, True
    backend.reset_rate = 1.0
    # Without idempotency keys to hand over, a daemon ends at once.
    dialect = Dialect(key=b'')
    async with _run_daemon(backend, dialect=dialect) as (daemon, ended):
        stream = await _connect(daemon)
        async with stream:
            await stream.send_all(_request('r1'))
            await _wait_until_running(backend)
            daemon.kernel.stop()
            response = await _read_response(stream)
        assert response.startswith(b'HTTP/1.1 502 ')
        assert b'"backend-reset"' in response
        await ended.wait()


@pytest.mark.parametrize('timeout_s', [0.0, 2.0])
async def test_request_running_at_the_end_gets_a_response(
    timeout_s: float,
) -> None:
    """Its connection must not be closed without any response.

    A timeout of 0 s has the same effect as a process that is suspended until
    the end of its shutdown.
    """
    backend = MemoryBackend(Random(1))
    backend.hanging_addresses.add(_ADDRESS)
    async with _run_daemon(backend, drain_timeout_s=timeout_s) as (
        daemon,
        ended,
    ):
        stream = await _connect(daemon)
        async with stream:
            await stream.send_all(_request('r1'))
            await _wait_until_running(backend)
            daemon.kernel.stop()
            response = await _read_response(stream)
        assert response.startswith(b'HTTP/1.1 502 ')
        assert b'"outcome": "unknown"' in response
        assert b'connection: close' in response.lower()
        await ended.wait()


async def test_phases_of_a_shutdown_are_logged() -> None:
    """Without them the log cannot tell what a shutdown has cut."""
    backend = MemoryBackend(Random(1))
    backend.hanging_addresses.add(_ADDRESS)
    async with _run_daemon(
        backend, drain_timeout_s=1.0, dialect=Dialect(request_id=b'x-request')
    ) as (daemon, ended):
        stream = await _connect(daemon)
        async with stream:
            await stream.send_all(_request('r1'))
            await _wait_until_running(backend)
            daemon.kernel.stop()
            await _read_response(stream)
        await ended.wait()
    emitted = daemon.events.emitted
    phases = [
        (
            fields['phase'],
            fields.get('active_requests', fields.get('active_calls')),
        )
        for code, fields in emitted
        if code == 'shutdown-phase'
    ]
    assert phases == [
        ('callers-drain', 1),
        ('callers-left', 1),
        ('endpoint-leaves', 1),
        ('calls-rejected', 1),
        ('requests-cancelled', 1),
        ('connections-closed', 0),
    ]
    cut = dict(emitted)['run-cut']
    assert (cut['cause'], cut['detail']) == ('cancelled', 'shutdown')
    assert (cut['endpoint'], cut['stopping']) == ('ready', True)
    assert dict(emitted)['request-failed']['result'] == 'stopped'


async def test_request_with_late_body_at_the_end_is_rejected() -> None:
    """Its connection must not be closed without a response.

    The response says that the request has certainly not run.
    """
    backend = MemoryBackend(Random(1))
    async with _run_daemon(backend, drain_timeout_s=2.0) as (daemon, ended):
        stream = await _connect(daemon)
        async with stream:
            head = _request('r1').replace(b'Length: 0', b'Length: 5')
            await stream.send_all(head)
            await trio.sleep(0.1)
            daemon.kernel.stop()
            response = await _read_response(stream)
        assert response.startswith(b'HTTP/1.1 503 ')
        assert b'"outcome": "not-run"' in response
        await ended.wait()


@pytest.mark.parametrize('ticks', range(_SHUTDOWN_TICKS))
async def test_every_request_that_was_read_gets_a_response(
    monkeypatch: pytest.MonkeyPatch, ticks: int
) -> None:
    """A request that is read while the daemon ends must get one, too."""
    received = b''
    receive = trio.SocketStream.receive_some

    async def recording_receive(
        stream: trio.SocketStream, max_bytes: int | None = None
    ) -> bytes:
        nonlocal received
        data = bytes(await receive(stream, max_bytes))
        received += data
        return data

    monkeypatch.setattr(trio.SocketStream, 'receive_some', recording_receive)
    backend = MemoryBackend(Random(1))
    backend.mean_service_time_s, backend.constant_service_time = 0.0, True
    async with _run_daemon(backend) as (daemon, ended):
        host, _, port = daemon.caller.address.rpartition(':')
        with socket.create_connection((host, int(port))) as caller:
            caller.setblocking(False)
            await trio.sleep(0.05)
            daemon.kernel.stop()
            for _ in range(ticks):
                await trio.lowlevel.checkpoint()
            with contextlib.suppress(OSError):
                caller.sendall(_request('r1'))
            await ended.wait()
            response = b''
            with contextlib.suppress(OSError):
                response = caller.recv(65536)
        assert not received or response.startswith(b'HTTP/1.1 ')
        assert not backend.runs or b' 200 ' in response


async def test_refusal_of_a_request_with_a_late_body_is_not_reset() -> None:
    """A connection that is closed with unread bytes loses the refusal."""
    backend = MemoryBackend(Random(1))
    backend.mean_service_time_s, backend.constant_service_time = 0.5, True
    async with _run_daemon(backend) as (daemon, _):
        first, second = await _connect(daemon), await _connect(daemon)
        async with first, second:
            await first.send_all(_request('r1'))
            await _wait_until_running(backend)
            daemon.kernel.stop()
            while not daemon.caller.stopping:
                await trio.lowlevel.checkpoint()
            head = _request('r2').replace(b'Length: 0', b'Length: 4000')
            await second.send_all(head)
            await trio.sleep(0.05)
            await second.send_all(2000 * b'x')
            await trio.sleep(0.05)
            await second.send_all(2000 * b'x')
            response = b''
            while data := await second.receive_some():
                response += data
    assert response.startswith(b'HTTP/1.1 503 ')
    assert b'"draining"' in response


@pytest.mark.parametrize(
    ('method', 'version', 'fields'),
    [
        ('POST', '1.1', 'Content-Length: 9\r\nExpect: 100-continue\r\n'),
        ('HEAD', '1.1', ''),
        ('GET', '1.0', 'Connection: keep-alive\r\n'),
    ],
)
async def test_request_in_a_stop_gets_one_refusal_that_closes(
    method: str, version: str, fields: str
) -> None:
    """Whatever its kind; its caller must not be asked for a body."""
    backend = MemoryBackend(Random(1))
    backend.mean_service_time_s, backend.constant_service_time = 0.5, True
    async with _run_daemon(backend) as (daemon, _):
        first, second = await _connect(daemon), await _connect(daemon)
        async with first, second:
            await first.send_all(_request('r1'))
            await _wait_until_running(backend)
            daemon.kernel.stop()
            # A second stop changes nothing.
            daemon.kernel.stop()
            while not daemon.caller.stopping:
                await trio.lowlevel.checkpoint()
            await second.send_all(
                f'{method} /search HTTP/{version}\r\nHost: spa.example\r\n'
                f'X-Request: r2\r\n{fields}\r\n'.encode()
            )
            response = b''
            while data := await second.receive_some():
                response += data
    assert response.startswith(b'HTTP/1.1 503 ')
    assert response.count(b'HTTP/1.1 ') == 1
    head, _, body = response.lower().partition(b'\r\n\r\n')
    assert b'connection: close' in head
    assert bool(body) == (method != 'HEAD')


class _FakeHttpServer:
    """Replaces the HTTP server, so that tests can use a mock clock."""

    def __init__(self) -> None:
        self._application: Any = None
        self._requests = 0

    async def serve(
        self,
        application: Any,
        settings: object,
        address: str,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus[str],
    ) -> None:
        self._application = application
        task_status.started(address)
        await stop.wait()

    async def get(
        self, path: str, deadline_ms: int, method: str = 'GET'
    ) -> int:
        """Send a request and return the status of its response."""
        self._requests += 1
        headers = [
            (b'host', b'spa.example'),
            (b'x-request', b'%d-%d' % (id(self), self._requests)),
            (b'gypsumhall-deadline-ms', b'%d' % deadline_ms),
        ]
        return await asgi.call(self._application, method, path, headers)

    def sent(self, request_id: str) -> bool:
        """Return whether a request was sent to this server."""
        return request_id.startswith(f'{id(self)}-')


_LONG = builders.build_route(path='/search', timeout_s=10.0)
_NESTED = builders.build_route('check', path='/check', timeout_s=0.4)


@contextlib.asynccontextmanager
async def _shut_down_busy_daemon(
    monkeypatch: pytest.MonkeyPatch, *, busy_s: float, **settings: Any
) -> AsyncIterator[_FakeHttpServer]:
    """Shut down a daemon that runs a request, beside an idle daemon."""
    start_other = trio.Event()
    server = _FakeHttpServer()
    monkeypatch.setattr(_http_server, 'serve', server.serve)
    backend = MemoryBackend(Random(1))
    backend.mean_service_time_s, backend.constant_service_time = busy_s, True
    snapshot = build_snapshot(routes=(_LONG, _NESTED))
    async with (
        _run_daemon(backend, snapshot, start_other, **settings) as (daemon, _),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(server.get, '/search', 10_000)
        await _wait_until_running(backend)
        backend.mean_service_time_s = 0.01
        start_other.set()
        await trio.sleep(0.1)
        daemon.kernel.stop()
        yield server
        nursery.cancel_scope.cancel()


async def test_new_requests_are_rejected_after_the_drain_delay(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """None that arrives up to 0.2 s after the delay must be accepted.

    If it takes long, the end of the daemon would cancel it.
    """
    async with _shut_down_busy_daemon(
        monkeypatch, busy_s=3.0, drain_delay_s=0.5
    ) as server:
        await trio.sleep(0.45)
        assert await server.get('/search', 1000) == 200
        await trio.sleep(0.1)
        assert await server.get('/search', 1000) == 503


async def test_request_that_would_outlast_the_shutdown_is_rejected(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the daemon would cancel it."""
    async with _shut_down_busy_daemon(
        monkeypatch, busy_s=8.0, drain_delay_s=5.0, drain_timeout_s=10.0
    ) as server:

        async def call_repeatedly() -> None:
            while True:
                await trio.sleep(0.5)
                await server.get('/search', 100)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_repeatedly)
            await trio.sleep(2.5)
            assert await server.get('/search', 9000) == 200
            await trio.sleep(1.0)
            assert await server.get('/search', 9000) == 503
            assert await server.get('/search', 4000) == 200
            nursery.cancel_scope.cancel()


async def test_request_after_an_idle_second_is_accepted(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its caller cannot know of the shutdown yet, so it is not rejected."""
    async with _shut_down_busy_daemon(
        monkeypatch, busy_s=6.0, drain_delay_s=3.0
    ) as server:
        await trio.sleep(1.5)
        assert await server.get('/search', 1000) == 200
        await trio.sleep(1.6)
        assert await server.get('/search', 1000) == 503


async def test_nested_calls_are_accepted_while_they_end_in_time(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One accepted too late would be cancelled, and so would its caller."""
    async with _shut_down_busy_daemon(
        monkeypatch, busy_s=3.0, drain_delay_s=0.5, drain_timeout_s=2.0
    ) as server:
        await trio.sleep(1.35)
        assert await server.get('/check', 400) == 200
        await trio.sleep(0.15)
        assert await server.get('/check', 400) == 503


async def test_late_call_of_another_daemon_is_not_cut_by_the_shutdown(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Operators reported such calls as lost, among them unsafe ones.

    While its own callers had not left, a daemon took calls of other daemons
    that its end then cut off.
    """
    servers = [_FakeHttpServer(), _FakeHttpServer()]
    backend = MemoryBackend(Random(1))
    backend.mean_service_time_s, backend.constant_service_time = 0.01, True
    snapshot = build_snapshot(routes=(_LONG,))
    with trio.fail_after(60.0):
        async with trio.open_nursery() as nursery:
            hub, table = MemoryHub(nursery), fakes.FakeTable()
            daemons = []
            for index, server in enumerate(servers):
                monkeypatch.setattr(_http_server, 'serve', server.serve)
                daemon = CallPathDaemon(
                    builders.build_member(index),
                    table,
                    lambda info: MemoryNetwork(hub, info),
                    snapshot,
                    connect=backend.client,
                    listen='127.0.0.1:0',
                    drain_delay_s=5.0,
                    drain_timeout_s=10.0,
                )
                await nursery.start(daemon.run)
                daemons.append(daemon)
            daemons[0].set_backend(_ADDRESS)
            daemons[0].kernel.stop()

            async def call_repeatedly() -> None:
                while True:
                    await servers[0].get('/search', 100)
                    await trio.sleep(0.3)

            nursery.start_soon(call_repeatedly)
            await trio.sleep(3.0)
            # One that ends in time is served.
            assert await servers[1].get('/search', 4000, 'POST') == 200
            runs = [run for run in backend.runs if servers[1].sent(run)]
            backend.mean_service_time_s = 8.0
            assert await servers[1].get('/search', 10_000, 'POST') == 503
            assert runs == [
                run for run in backend.runs if servers[1].sent(run)
            ]
            nursery.cancel_scope.cancel()
