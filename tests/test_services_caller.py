"""Contract tests of the interfaces to callers and to backend servers."""

from __future__ import annotations

import contextlib
import functools
import gc
import json
from random import Random
import socket
import struct
from typing import Any
from typing import TYPE_CHECKING

import httpcore
import pytest
import trio

from gypsumhall.services import _calls
from gypsumhall.standin._backend import BackendServer
from gypsumhall.standin._backend import BackendSettings
from gypsumhall.testing import asgi
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallPathDaemon
from gypsumhall.testing.daemons import DeadlineBackend
from gypsumhall.testing.daemons import MemoryBackend
from gypsumhall.testing.daemons import open_daemons
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from trio.testing import MockClock

    from gypsumhall.net._messages import CallStart

_WAIT_S = 30.0
_BODY_BYTES = 200_000


async def _until(condition: Callable[[], bool]) -> None:
    while True:
        if condition():
            return
        await trio.sleep(0.01)


@contextlib.asynccontextmanager
async def _daemons(
    backend: str, *, remote: bool = True
) -> AsyncIterator[list[CallPathDaemon]]:
    """Run a daemon with a backend server, preceded by one without."""
    count = 2 if remote else 1
    with trio.fail_after(_WAIT_S):
        async with open_daemons(backend, build_snapshot(), count) as daemons:
            yield daemons


@contextlib.asynccontextmanager
async def _scripted_backend(
    script: bytes | None, *, reset: bool = False
) -> AsyncIterator[str]:
    """Run a server that sends the same bytes for every request."""

    async def serve(stream: trio.SocketStream) -> None:
        received = b''
        while b'\r\n\r\n' not in received:
            data = await stream.receive_some()
            if not data:
                return
            received += data
        if script is None:
            await stream.receive_some()
            return
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(script)
        if reset:
            linger = struct.pack('ii', 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield f'127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


_HEAD = b'HTTP/1.1 200 OK\r\n'
_LENGTH = b'Content-Length: 100\r\n\r\n'
_LONG = b'Content-Length: 100000\r\n\r\n'
_LARGE = b'Content-Length: 70000000\r\n\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n'
_BUSY = (
    b'HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)
_PADDING = b'X-Padding: ' + b'x' * 33_000 + b'\r\n'
# A small response is buffered until it is complete.
_TRUNCATED_SMALL_BODY = (502, 'run')


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    ('script', 'reset', 'expected'),
    [
        pytest.param(b'', False, (502, 'unknown'), id='closed-before-head'),
        pytest.param(b'', True, (502, 'unknown'), id='reset-before-head'),
        pytest.param(_HEAD, True, (502, 'unknown'), id='reset-within-head'),
        pytest.param(b'\0garbage\n\n', False, (502, 'unknown'), id='garbage'),
        pytest.param(
            _HEAD + _PADDING + _LENGTH, False, (502, 'unknown'), id='headers'
        ),
        pytest.param(_HEAD + _LARGE, False, (502, 'unknown'), id='too-large'),
        pytest.param(
            _HEAD + b'Retry-After: 7\r\n\r\nhello',
            False,
            (200, ''),
            id='unframed',
        ),
        pytest.param(
            _HEAD + b'\r\nhello', True, None, id='unframed-and-reset'
        ),
        pytest.param(
            _HEAD + _LENGTH + b'short',
            False,
            _TRUNCATED_SMALL_BODY,
            id='short-body',
        ),
        pytest.param(
            _HEAD + _LENGTH + b'short',
            True,
            _TRUNCATED_SMALL_BODY,
            id='reset-in-body',
        ),
        pytest.param(
            _HEAD + _LONG + b'short', False, None, id='short-long-body'
        ),
        pytest.param(
            _HEAD + _LONG + b'short', True, None, id='reset-in-long-body'
        ),
        pytest.param(_HEAD + _CHUNKED, False, None, id='unfinished-chunks'),
        # Nothing has been sent to the caller yet.
        pytest.param(
            _HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
            False,
            (502, 'run'),
            id='no-chunk',
        ),
        pytest.param(None, False, (504, 'unknown'), id='no-response'),
        pytest.param(_BUSY, False, (503, ''), id='overloaded-backend'),
    ],
)
async def test_faulty_backend_server(
    method: str,
    script: bytes | None,
    reset: bool,
    expected: tuple[int, str] | None,
) -> None:
    """Guards against faults reported as a complete response or `not-run`."""
    async with (
        _scripted_backend(script, reset=reset) as backend,
        _daemons(backend) as daemons,
        httpcore.AsyncConnectionPool() as pool,
    ):
        for daemon in daemons:
            url = f'http://{daemon.caller.address}/search'
            # Only the missing response needs the deadline to pass.
            deadline_ms = '400' if script is None else '20000'
            headers = {
                'Host': 'spa.example',
                'Gypsumhall-Deadline-Ms': deadline_ms,
            }
            if expected is None:
                with pytest.raises(httpcore.RemoteProtocolError):
                    await pool.request(method, url, headers=headers)
                continue
            response = await pool.request(method, url, headers=headers)
            response_headers = dict(response.headers)
            outcome = response_headers.get(b'gypsumhall-outcome', b'').decode()
            assert (response.status, outcome) == expected
            if outcome:
                assert json.loads(response.content)['outcome'] == outcome
            else:
                assert response_headers[b'retry-after'] == b'7'


async def test_unreachable_backend_server_is_reported_as_not_run() -> None:
    async with (
        _daemons('127.0.0.1:1') as daemons,
        httpcore.AsyncConnectionPool() as pool,
    ):
        response = await pool.request(
            'POST',
            f'http://{daemons[0].caller.address}/search',
            headers={'Host': 'spa.example'},
        )
        assert response.status == 503
        assert (b'gypsumhall-outcome', b'not-run') in response.headers


def _live_body_sizes() -> list[int]:
    """Return the sizes of the request bodies that daemons still hold."""
    objects = gc.get_objects()
    bodies = [item.body for item in objects if type(item) is _calls.Request]
    bodies += [
        item
        for holder in objects
        if type(holder).__name__ == 'frame'
        for item in holder.f_locals.values()
        if type(item) is bytearray
    ]
    return [len(body) for body in bodies if len(body) >= _BODY_BYTES]


@pytest.mark.parametrize('script', [_HEAD + _LENGTH + b'x' * 100, _BUSY, None])
@pytest.mark.parametrize('method', ['PUT', 'POST'])
async def test_bodies_are_freed_without_garbage_collection(
    method: str, script: bytes | None
) -> None:
    """Bodies of ended requests took three times the memory of running ones.

    Without a script, the body itself is rejected when a part was received.
    """
    size = _BODY_BYTES
    if script is None:
        size = _calls.MAX_REQUEST_BODY_BYTES + 1

    async def parts() -> AsyncIterator[bytes]:
        for _ in range(0, size, 50_000):
            yield b'x' * 50_000

    async with (
        _scripted_backend(script) as backend,
        _daemons(backend) as daemons,
        httpcore.AsyncConnectionPool() as pool,
    ):
        gc.collect()
        gc.disable()
        try:
            for daemon in daemons * 2:
                await pool.request(
                    method,
                    f'http://{daemon.caller.address}/search',
                    headers={'Host': 'spa.example'},
                    content=parts(),
                )
            # The monitor of calls looks at each after 50 ms.
            await trio.sleep(0.2)
            assert _live_body_sizes() == []
        finally:
            gc.enable()


def _get(path: bytes = b'/search', *fields: bytes) -> bytes:
    lines = [b'GET ' + path + b' HTTP/1.1', b'Host: spa.example', *fields]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def _post(*fields: bytes) -> bytes:
    return _get(b'/search', *fields).replace(b'GET', b'POST', 1)


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        pytest.param(b'nonsense\r\n\r\n', 400, id='garbage'),
        pytest.param(b'GET / HTTP/1.1\r\n\r\n', 400, id='missing-host'),
        pytest.param(
            _get().replace(b'spa.example', b'other'), 404, id='unknown-host'
        ),
        pytest.param(
            _get(b'/search', _PADDING[:-2]), 431, id='oversized-headers'
        ),
        pytest.param(
            _post(b'Content-Length: 9000000'), 413, id='oversized-body'
        ),
        pytest.param(
            _post(b'Transfer-Encoding: chunked')
            + b'900000\r\n'
            + bytes(0x900000)
            + b'\r\n0\r\n\r\n',
            413,
            id='oversized-chunked-body',
        ),
        pytest.param(
            _get(b'/search', b'Gypsumhall-Deadline-Ms: 0'),
            504,
            id='deadline-passed',
        ),
        pytest.param(
            _get(b'/search', b'Gypsumhall-Deadline-Ms: soon'),
            400,
            id='bad-deadline',
        ),
        pytest.param(
            _post(b'Idempotency-Key: ' + b'k' * 300), 400, id='long-key'
        ),
        pytest.param(
            _get().replace(b'GET /search', b'CONNECT spa.example:80'),
            400,
            id='connect',
        ),
        pytest.param(
            _get(
                b'/search',
                b'Connection: Upgrade',
                b'Upgrade: websocket',
                b'Sec-WebSocket-Version: 13',
                b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==',
            ),
            403,
            id='websocket',
        ),
    ],
)
async def test_rejection_before_the_run_states_the_outcome(
    request_bytes: bytes, status: int
) -> None:
    """Rejections by the HTTP library have to state the outcome as well."""
    async with _daemons('127.0.0.1:1') as daemons:
        host, _, port = daemons[0].caller.address.rpartition(':')
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream, trio.open_nursery() as nursery:

            async def send() -> None:
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(request_bytes)

            nursery.start_soon(send)
            received = b''
            while b'\r\n\r\n' not in received:
                data = await stream.receive_some()
                assert data, received
                received += data
            nursery.cancel_scope.cancel()
        head = received.split(b'\r\n\r\n')[0].lower()
        assert head.startswith(b'http/1.1 %d' % status)
        assert b'gypsumhall-outcome: not-run' in head


@contextlib.asynccontextmanager
async def _backend_and_daemons(
    service_time_ms: float,
) -> AsyncIterator[tuple[BackendServer, list[CallPathDaemon], trio.Nursery]]:
    async with trio.open_nursery() as nursery:
        server = BackendServer(
            BackendSettings(
                'availability', 'v1', service_time_ms=service_time_ms
            )
        )
        address = await nursery.start(server.run)
        async with _daemons(address) as daemons:
            yield server, daemons, nursery
        nursery.cancel_scope.cancel()


async def test_repeated_key_with_large_bodies_causes_no_second_run() -> None:
    async with (
        _backend_and_daemons(1.0) as (server, daemons, _),
        httpcore.AsyncConnectionPool() as pool,
    ):
        responses = []
        for body in (b'a' * 300_000, b'a' * 300_000, b'other'):
            response = await pool.request(
                'POST',
                f'http://{daemons[0].caller.address}/search?size=300000',
                headers={
                    'Host': 'spa.example',
                    'X-Request': 'r1',
                    'Idempotency-Key': 'key',
                },
                content=body,
            )
            responses.append((response.status, len(response.content)))
        assert responses[:2] == [(200, 300_000)] * 2
        assert responses[2][0] == 422
        assert server.runs == {'r1': 1}


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('index', [0, 1])
async def test_disconnect_of_the_caller_cancels_the_run(
    method: str, index: int
) -> None:
    async with _backend_and_daemons(600_000.0) as (server, daemons, _):
        for daemon in daemons:
            daemon.runner._dialect = _calls.Dialect(request_id=b'x-request')
        address = daemons[index].caller.address
        pool = httpcore.AsyncConnectionPool()

        async def call() -> None:
            await pool.request(
                method,
                f'http://{address}/search',
                headers={'Host': 'spa.example', 'X-Request': 'r1'},
            )

        async with pool, trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await _until(lambda: bool(server.runs))
            nursery.cancel_scope.cancel()
        await _until(lambda: server.cancelled > 0)
        assert daemons[-1].runner.load.in_flight == 0
        cut = dict(daemons[-1].events.emitted)['run-cut']
        assert (cut['cause'], cut['detail']) == ('cancelled', 'caller-gone')


async def test_graceful_shutdown_finishes_calls_and_rejects_new_ones() -> None:
    """Guards against a shutdown that interrupts requests in progress."""
    async with (
        _backend_and_daemons(300.0) as (server, daemons, nursery),
        httpcore.AsyncConnectionPool() as pool,
    ):
        url = f'http://{daemons[0].caller.address}/search'
        headers = {'Host': 'spa.example', 'X-Request': 'r1'}
        statuses = []

        async def call() -> None:
            response = await pool.request('POST', url, headers=headers)
            statuses.append(response.status)

        async with trio.open_nursery() as calls:
            calls.start_soon(call)
            await _until(lambda: bool(server.runs))
            calls.start_soon(daemons[1].runner.drain)
            await trio.sleep(0.05)
            response = await pool.request('POST', url, headers=headers)
            assert response.status == 503
            assert (b'gypsumhall-outcome', b'not-run') in response.headers
        assert statuses == [200]
        assert server.runs == {'r1': 1}


@pytest.mark.parametrize(
    ('stated_ms', 'limit_by'), [(b'300', 'caller'), (b'60000', 'route')]
)
async def test_failed_request_names_the_source_of_its_limit(
    autojump_clock: MockClock, stated_ms: bytes, limit_by: str
) -> None:
    """Otherwise the log cannot tell a route's limit from the caller's."""
    backend = MemoryBackend(Random(0))
    backend.hanging_addresses.add('backend-0')
    async with trio.open_nursery() as nursery:
        hub = MemoryHub(nursery)
        route = builders.build_route(path='/search', timeout_s=2.0)
        daemon = CallPathDaemon(
            builders.build_member(0),
            fakes.FakeTable(),
            lambda info: MemoryNetwork(hub, info),
            build_snapshot(7, routes=(route,)),
            backend.client,
            listen='127.0.0.1:0',
            dialect=_calls.Dialect(request_id=b'x-request'),
        )
        await nursery.start(daemon.run)
        daemon.set_backend('backend-0')
        headers = [
            (b'host', b'spa.example'),
            (b'x-request', b'r1'),
            (b'gypsumhall-deadline-ms', stated_ms),
        ]
        status = await asgi.call(
            daemon.caller._application, 'POST', '/search', headers
        )
        assert status == 504
        failed = dict(daemon.events.emitted)['request-failed']
        assert failed['limit_by'] == limit_by
        assert failed['limit_version'] == 7
        nursery.cancel_scope.cancel()


class _LateBackend(DeadlineBackend):
    """Backend server whose response is read after the run should have ended.

    Parameters
    ----------
    clock : MockClock
        Clock, which advances before the response can be forwarded.
    """

    def __init__(self, clock: MockClock) -> None:
        super().__init__(Random(0))
        self._clock = clock

    async def _body(
        self, address: str, body: bytes
    ) -> AsyncGenerator[bytes, None]:
        self._clock.jump(2 * _calls.DEADLINE_GRACE_S)
        yield body


async def test_complete_response_is_sent_although_its_deadline_has_passed(
    autojump_clock: MockClock,
) -> None:
    """The connection was closed without a response (soak, seed 102)."""
    sent: list[dict[str, Any]] = []

    async def send(message: dict[str, Any]) -> None:
        if message['type'] == 'http.response.body':
            # A server sends the head with the first part of the body.
            await trio.lowlevel.checkpoint()
        sent.append(message)

    async with trio.open_nursery() as nursery:
        hub = MemoryHub(nursery)
        daemon = CallPathDaemon(
            builders.build_member(0),
            fakes.FakeTable(),
            lambda info: MemoryNetwork(hub, info),
            build_snapshot(
                routes=(builders.build_route(path='/search', timeout_s=0.4),)
            ),
            _LateBackend(autojump_clock).client,
            listen='127.0.0.1:0',
            dialect=_calls.Dialect(request_id=b'x-request'),
        )
        await nursery.start(daemon.run)
        daemon.set_backend('backend-1')
        scope = {
            'http_version': '1.1',
            'method': 'POST',
            'path': '/search',
            'raw_path': b'/search',
            'query_string': b'',
            'headers': [(b'host', b'spa.example'), (b'x-request', b'r1')],
        }
        await daemon.caller._application(scope, trio.sleep_forever, send)
        nursery.cancel_scope.cancel()
    assert [item.get('status') for item in sent] == [504, None]
    assert sent[1]['body'] == b'late'


@pytest.mark.parametrize('stated_ms', [b'300', b'60000'])
@pytest.mark.parametrize('index', [0, 1])
async def test_run_at_its_deadline_ends_with_the_response_of_the_endpoint(
    autojump_clock: MockClock, stated_ms: bytes, index: int
) -> None:
    """A run was cut although its endpoint was about to report its end."""
    backend = DeadlineBackend(Random(0))
    backend.constant_service_time, backend.mean_service_time_s = True, 0.0
    async with trio.open_nursery() as nursery:
        hub = MemoryHub(nursery)
        table = fakes.FakeTable()
        route = builders.build_route(path='/search', timeout_s=0.4)
        daemons = [
            CallPathDaemon(
                builders.build_member(number),
                table,
                lambda info: MemoryNetwork(hub, info),
                build_snapshot(routes=(route,)),
                backend.client,
                listen='127.0.0.1:0',
                dialect=_calls.Dialect(request_id=b'x-request'),
            )
            for number in range(2)
        ]
        for daemon in daemons:
            await nursery.start(daemon.run)
        daemons[1].set_backend('backend-1')
        headers = [
            (b'host', b'spa.example'),
            (b'x-request', b'r1'),
            (b'gypsumhall-deadline-ms', stated_ms),
        ]
        status = await asgi.call(
            daemons[index].caller._application, 'POST', '/search', headers
        )
        assert status == 504
        assert 'run-cut' not in daemons[1].events.codes
        assert 'request-failed' not in daemons[index].events.codes
        # A limit taken for a service time makes the runner refuse calls.
        assert daemons[1].runner.load.service_time_ms == 0
        nursery.cancel_scope.cancel()


async def test_run_is_not_cancelled_before_the_stated_deadline(
    autojump_clock: MockClock,
) -> None:
    """Guards against a failure response while the endpoint still runs."""
    backend = MemoryBackend(Random(0))
    backend.constant_service_time = True
    # The head takes this time, and the body takes as long.
    backend.mean_service_time_s = 0.295
    async with trio.open_nursery() as nursery:
        hub = MemoryHub(nursery)
        daemon = CallPathDaemon(
            builders.build_member(0),
            fakes.FakeTable(),
            lambda info: MemoryNetwork(hub, info),
            build_snapshot(),
            backend.client,
            listen='127.0.0.1:0',
        )
        await nursery.start(daemon.run)
        daemon.set_backend('backend-0')
        headers = [
            (b'host', b'spa.example'),
            (b'x-request', b'r1'),
            (b'gypsumhall-deadline-ms', b'600'),
        ]
        status = await asgi.call(
            daemon.caller._application, 'POST', '/search', headers
        )
        assert status == 200
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('remote', [False, True])
async def test_run_is_not_cancelled_within_a_millisecond_of_the_deadline(
    remote: bool, autojump_clock: MockClock
) -> None:
    """Guards against deadlines that are rounded down on their way."""
    backend = MemoryBackend(Random(0))
    backend.hanging_addresses = {'backend'}
    async with trio.open_nursery() as nursery:
        hub = MemoryHub(nursery)
        table = fakes.FakeTable()
        daemons = [
            CallPathDaemon(
                builders.build_member(number),
                table,
                lambda info: MemoryNetwork(hub, info),
                build_snapshot(),
                backend.client,
                listen='' if number else '127.0.0.1:0',
            )
            for number in range(2)
        ]
        for daemon in daemons:
            await nursery.start(daemon.run)
        daemons[int(remote)].set_backend('backend')
        for stated_ms in range(400, 440):
            headers = [
                (b'host', b'spa.example'),
                (b'x-request', b'r%d' % stated_ms),
                (b'gypsumhall-deadline-ms', b'%d' % stated_ms),
            ]
            started = trio.current_time()
            status = await asgi.call(
                daemons[0].caller._application, 'POST', '/search', headers
            )
            elapsed_ms = (trio.current_time() - started) * 1000
            assert status == 504
            # The margin covers rounding errors of the clock.
            assert elapsed_ms >= stated_ms - 1e-3
        nursery.cancel_scope.cancel()


_SEARCH_ROUTE = builders.build_route(
    path='/search', objective_s=0.5, priority=1
)


@contextlib.asynccontextmanager
async def _two_services(
    drain_delay_s: float = 0.0,
    drain_timeout_s: float = 30.0,
    nested_timeout_s: float = 0.4,
) -> AsyncIterator[list[CallPathDaemon]]:
    """Run two daemons, each beside an endpoint of another service."""
    nested_route = builders.build_route(
        'check',
        'bookings',
        path='/check',
        timeout_s=nested_timeout_s,
        objective_s=0.1,
        priority=2,
    )
    snapshot = build_snapshot(routes=(_SEARCH_ROUTE, nested_route))
    with trio.fail_after(_WAIT_S):
        async with trio.open_nursery() as nursery:
            hub = MemoryHub(nursery)
            table = fakes.FakeTable()
            daemons = []
            for index, name in enumerate(['availability', 'bookings']):
                time_ms = 300.0 if name == 'availability' else 20.0
                settings = BackendSettings(name, 'v1', service_time_ms=time_ms)
                server = BackendServer(settings)
                address = await nursery.start(server.run)
                daemon = CallPathDaemon(
                    builders.build_member(index),
                    table,
                    lambda info: MemoryNetwork(hub, info),
                    snapshot,
                    listen='127.0.0.1:0',
                    drain_delay_s=drain_delay_s,
                    drain_timeout_s=drain_timeout_s,
                )
                await nursery.start(daemon.run)
                daemon.set_backend(address, slots=1, service=name)
                daemons.append(daemon)
            yield daemons
            nursery.cancel_scope.cancel()


async def test_nested_calls_are_served_during_a_graceful_shutdown() -> None:
    """Guards against rejected nested calls, which fail running requests."""
    async with (
        _two_services() as daemons,
        httpcore.AsyncConnectionPool() as pool,
    ):
        url = f'http://{daemons[0].caller.address}'
        headers = {'Host': 'spa.example'}
        statuses = []

        async def call(path: str) -> None:
            response = await pool.request('GET', url + path, headers=headers)
            statuses.append((path, response.status))

        async with trio.open_nursery() as calls:
            calls.start_soon(call, '/search')
            await _until(lambda: daemons[0].runner.load.in_flight == 1)
            calls.start_soon(daemons[0].caller.drain)
            await trio.sleep(0.05)
            await call('/check')
            await call('/search')
        assert sorted(statuses) == [
            ('/check', 200),
            ('/search', 200),
            ('/search', 503),
        ]


async def test_nested_calls_are_rejected_late_in_a_graceful_shutdown() -> None:
    """Guards against accepted calls that the end of the process cuts off."""
    async with (
        _two_services(drain_timeout_s=0.9) as daemons,
        httpcore.AsyncConnectionPool() as pool,
    ):
        url = f'http://{daemons[0].caller.address}'
        headers = {'Host': 'spa.example'}
        statuses = []

        async def search() -> None:
            response = await pool.request(
                'GET', url + '/search', headers=headers
            )
            statuses.append(response.status)

        async with trio.open_nursery() as calls:
            calls.start_soon(search)
            await _until(lambda: daemons[0].runner.load.in_flight == 1)
            calls.start_soon(daemons[0].caller.drain)
            # The run takes 0.57 s; a call may take until 0.85 s.
            await trio.sleep(0.45)
            late = await pool.request('GET', url + '/check', headers=headers)
            assert late.status == 503
            await daemons[0].runner.drain()
            assert not daemons[0].runner.load.in_flight
        assert statuses == [200]


async def test_nested_calls_do_not_prolong_a_graceful_shutdown() -> None:
    """Guards against shutdowns that take 3 s longer because of such calls.

    The shutdowns of daemons that are stopped in turn then overlapped.
    """
    async with (
        _two_services(drain_delay_s=6.0) as daemons,
        httpcore.AsyncConnectionPool() as pool,
    ):
        headers = {'Host': 'spa.example'}
        stopped = trio.Event()

        async def stop() -> None:
            await daemons[0].caller.drain()
            stopped.set()

        async def search() -> None:
            # The callers of another VM cause the runs that make the calls.
            url = f'http://{daemons[1].caller.address}/search'
            while not stopped.is_set():
                await pool.request('GET', url, headers=headers)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(search)
            await _until(lambda: daemons[0].runner.load.in_flight == 1)
            nursery.start_soon(stop)
            url = f'http://{daemons[0].caller.address}/check'
            with trio.fail_after(3.0):
                while not stopped.is_set():
                    if daemons[0].runner.load.in_flight:
                        await pool.request('GET', url, headers=headers)
                    await trio.sleep(0.1)


@pytest.mark.parametrize('timeout_s', [0.4, 0.525, 2.0])
async def test_nested_calls_have_priority_over_new_requests(
    timeout_s: float,
) -> None:
    """A rejected nested call wastes the run that waits for it.

    A request without such a run is none, however short its time limit is.
    """
    async with (
        _two_services(nested_timeout_s=timeout_s) as daemons,
        httpcore.AsyncConnectionPool() as pool,
    ):
        url = f'http://{daemons[0].caller.address}'
        headers = {'Host': 'spa.example'}
        received_calls: list[tuple[str, int]] = []
        execute = daemons[1].runner.execute

        async def record_call(
            call: CallStart, body: bytes, send: object
        ) -> None:
            received_calls.append((call.route, call.priority))
            await execute(call, body, send)

        daemons[1].runner.execute = record_call
        await pool.request('GET', url + '/check', headers=headers)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(
                    pool.request, 'GET', url + '/search', headers=headers
                )
            )
            await _until(lambda: daemons[0].runner.load.in_flight == 1)
            await pool.request('GET', url + '/check', headers=headers)
        assert received_calls == [('spa/check', 2), ('spa/check', 0)]


async def test_caller_that_stops_reading_does_not_occupy_a_slot() -> None:
    """Guards against slots lost to connections that stall in a response."""
    async with _backend_and_daemons(1.0) as (_, daemons, _):
        for daemon in daemons:
            host, _, port = daemon.caller.address.rpartition(':')
            stream = await trio.open_tcp_stream(host, int(port))
            path = b'/search?size=50000000'
            await stream.send_all(_get(path, b'Gypsumhall-Deadline-Ms: 700'))
            assert await stream.receive_some(100)
            runner = daemons[-1].runner
            await _until(lambda runner=runner: not runner.load.in_flight)
            # The response must not end as if it was complete.
            received = 0
            with contextlib.suppress(trio.BrokenResourceError):
                while data := await stream.receive_some():
                    received += len(data)
            assert received < 50_000_000
            await stream.aclose()
