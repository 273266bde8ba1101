"""Tests of limits on endless and excess bytes from backend servers."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from dataclasses import field
import time
from typing import TYPE_CHECKING

import httpcore
import pytest
import trio

from gypsumhall.services import _backend_client
from gypsumhall.services import _calls
from gypsumhall.testing import builders
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallPathDaemon
from gypsumhall.testing.daemons import open_daemons

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

# Deadline of the calls, and a time limit well before it that a busy machine
# can still meet.
_DEADLINE_S = 60.0
_TIME_LIMIT_S = 20.0
# Limit on the processor time between two iterations of the event loop. Unlike
# the latency of calls, it doesn't depend on the load of the machine.
_MAX_BLOCKING_S = 0.25
_GOOD = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood'
_HEAD = b'HTTP/1.1 200 OK\r\n'
_SNAPSHOT = build_snapshot(
    routes=(builders.build_route(path='/', timeout_s=_DEADLINE_S),)
)
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# Bytes that a server can send beyond those that the daemon reads: the buffers
# of both sockets on the loopback interface.
_SOCKET_BUFFERS = 8 * 1024 * 1024


@dataclass
class _EndlessServer:
    """Server whose responses never end, except that to ``/good``.

    Parameters
    ----------
    start : bytes
        Sent once after the request.
    unit : bytes
        Sent repeatedly after that, until the connection is closed.
    pause_s : float
        Time in seconds between two units.
    """

    start: bytes
    unit: bytes
    pause_s: float = 0.0
    address: str = ''
    # Accepted connections, and those that the daemon closed while the server
    # was sending.
    accepted: int = 0
    aborted: int = 0
    sent: int = 0
    paths: list[bytes] = field(default_factory=list)

    async def serve(self, stream: trio.SocketStream) -> None:
        self.accepted += 1
        with contextlib.suppress(trio.BrokenResourceError):
            while (path := await _read_path(stream)) == b'/good':
                self.paths.append(path)
                await stream.send_all(_GOOD)
            if not path:
                return
            self.paths.append(path)
            try:
                await self._send_endlessly(stream)
            finally:
                self.aborted += 1

    async def _send_endlessly(self, stream: trio.SocketStream) -> None:
        await stream.send_all(self.start)
        while self.unit:
            await stream.send_all(self.unit)
            self.sent += len(self.unit)
            await trio.sleep(self.pause_s)
        # Ends when the daemon closes the connection.
        await stream.receive_some()

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[_EndlessServer]:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            nursery.start_soon(trio.serve_listeners, self.serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            self.address = f'127.0.0.1:{port}'
            yield self
            nursery.cancel_scope.cancel()


async def _read_path(stream: trio.SocketStream) -> bytes:
    """Return the path of the next request; empty at the end of the stream."""
    received = b''
    while b'\r\n\r\n' not in received:
        data = await stream.receive_some()
        if not data:
            return b''
        received += data
    return received.split(b' ')[1]


async def _wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(_TIME_LIMIT_S):
        while True:
            if condition():
                return
            await trio.sleep(0.01)


async def _call(
    daemon: CallPathDaemon, path: str, method: str = 'POST'
) -> tuple[int, str]:
    """Return the status and outcome; status 0 if the body is incomplete."""
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request(
                method,
                f'http://{daemon.caller.address}{path}',
                headers={'Host': 'spa.example'},
            )
        except httpcore.RemoteProtocolError:
            return 0, ''
    found = dict(response.headers)
    return response.status, found.get(b'gypsumhall-outcome', b'').decode()


_INCOMPLETE_BODY = (0, '')
# No part of the body has arrived, so the caller can be sent an error.
_NO_BODY = (502, 'run')
_NO_HEAD = (502, 'unknown')


@pytest.mark.parametrize('index', [0, 1])
@pytest.mark.parametrize(
    ('start', 'unit', 'expected'),
    [
        pytest.param(
            b'',
            b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' * 100,
            _NO_HEAD,
            id='informational',
        ),
        pytest.param(
            b'HTTP/1.1 200 ', b'x' * 4096, _NO_HEAD, id='status-line'
        ),
        pytest.param(
            _HEAD + b'X-Padding: ', b'x' * 4096, _NO_HEAD, id='header-line'
        ),
        pytest.param(_HEAD, b'X-Padding: x\r\n' * 100, _NO_HEAD, id='headers'),
        pytest.param(
            _HEAD + b'X-Padding: x\r\n',
            b' x\r\n' * 1000,
            _NO_HEAD,
            id='folded-header',
        ),
        pytest.param(b'', b'\r\n' * 1000, _NO_HEAD, id='empty-lines'),
        pytest.param(
            _HEAD + b'\r\n', bytes(4096), _INCOMPLETE_BODY, id='without-length'
        ),
        pytest.param(
            _CHUNKED,
            b'1000\r\n' + bytes(0x1000) + b'\r\n',
            _INCOMPLETE_BODY,
            id='chunks',
        ),
        pytest.param(
            _CHUNKED,
            b'1\r\nx\r\n' * 1000,
            _INCOMPLETE_BODY,
            id='chunks-of-a-byte',
        ),
        pytest.param(
            _CHUNKED,
            b'1;a=' + b'b' * 1000 + b'\r\nx\r\n',
            _INCOMPLETE_BODY,
            id='extensions',
        ),
        pytest.param(
            _CHUNKED + b'1;a=', b'b' * 4096, _NO_BODY, id='extension'
        ),
        pytest.param(
            _CHUNKED + b'0\r\n',
            b'X-Padding: x\r\n' * 100,
            _NO_BODY,
            id='trailers',
        ),
        pytest.param(
            _CHUNKED + b'0\r\nX-Padding: ',
            b'x' * 4096,
            _NO_BODY,
            id='trailer-line',
        ),
    ],
)
async def test_endless_response_is_aborted(
    start: bytes,
    unit: bytes,
    expected: tuple[int, str],
    index: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An endless response is aborted early and does not delay other calls.

    Without limits, it would block the event loop or run until the deadline.
    """
    monkeypatch.setattr(_calls, 'MAX_RESPONSE_BODY_BYTES', 4 * 1024 * 1024)
    async with (
        _EndlessServer(start, unit).run() as server,
        open_daemons(server.address, _SNAPSHOT) as daemons,
        trio.open_nursery() as nursery,
    ):
        longest_blocking_s = 0.0

        async def call_repeatedly() -> None:
            while True:
                assert await _call(daemons[index], '/good') == (200, '')
                await trio.sleep(0.02)

        async def measure_blocking() -> None:
            nonlocal longest_blocking_s
            while True:
                begin = time.process_time()
                await trio.lowlevel.checkpoint()
                longest_blocking_s = max(
                    longest_blocking_s, time.process_time() - begin
                )

        nursery.start_soon(call_repeatedly)
        nursery.start_soon(measure_blocking)
        results = []

        async def call() -> None:
            results.append(await _call(daemons[index], '/endless'))

        with trio.fail_after(_TIME_LIMIT_S):
            async with trio.open_nursery() as calls:
                for _ in range(3):
                    calls.start_soon(call)
        assert results == [expected] * 3
        await _wait_until(lambda: server.aborted == 3)
        assert server.sent < 3 * (
            _calls.MAX_RESPONSE_BODY_BYTES + _SOCKET_BUFFERS
        )
        nursery.cancel_scope.cancel()
        assert longest_blocking_s < _MAX_BLOCKING_S
    # A run that is never counted as finished would keep its slot forever.
    assert daemons[-1].runner.load.in_flight == 0


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize(
    ('start', 'unit'),
    [
        pytest.param(_GOOD, b'x' * 4096, id='body-longer-than-its-length'),
        pytest.param(
            _GOOD,
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale' * 100,
            id='responses',
        ),
        pytest.param(
            _GOOD + b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale',
            b'',
            id='second-response',
        ),
        pytest.param(
            _CHUNKED + b'4\r\ngood\r\n0\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale',
            id='after-chunks',
        ),
    ],
)
async def test_bytes_after_a_response_are_discarded(
    start: bytes, unit: bytes, method: str
) -> None:
    """The next request must not get the excess bytes as its response."""
    async with _EndlessServer(start, unit).run() as server:
        client = _backend_client.BackendClient(server.address)
        with trio.fail_after(_TIME_LIMIT_S):
            first = await _read(client, '/endless', method)
            assert first == (b'' if method == 'HEAD' else b'good')
            assert await _read(client, '/good', 'GET') == b'good'
        assert server.paths == [b'/endless', b'/good']
        assert server.accepted == 2
        await _wait_until(lambda: server.aborted == 1)
        await client.close_idle(all_connections=True)


async def _read(
    client: _backend_client.BackendClient, path: str, method: str
) -> bytes:
    body = b''
    async with client.request(
        method, path, ((b'host', b'a'),), b'', lambda: None
    ) as response:
        async for data in response.chunks():
            body += data
    return body


@pytest.mark.parametrize(
    ('start', 'unit'),
    [
        pytest.param(b'', b'HTTP/1.1 102 Wait\r\n\r\n', id='informational'),
        pytest.param(_HEAD + b'X: ', b'x', id='header'),
        pytest.param(_CHUNKED, b'1\r\nx\r\n', id='chunks'),
    ],
)
async def test_slow_response_ends_at_the_deadline(
    start: bytes, unit: bytes
) -> None:
    """A response that arrives byte by byte must not prolong its call."""
    async with _EndlessServer(start, unit, 0.02).run() as server:
        client = _backend_client.BackendClient(server.address)
        with trio.move_on_after(0.3) as scope:
            await _read(client, '/endless', 'GET')
        assert scope.cancelled_caught
        await _wait_until(lambda: server.aborted == 1)
        assert await _read(client, '/good', 'GET') == b'good'
        assert server.accepted == 2
        await client.close_idle(all_connections=True)


async def test_endless_response_to_http_1_0_caller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The response is buffered for such a caller, but only up to a limit."""
    # A run that is not idempotent continues after its caller has gone.
    monkeypatch.setattr(_calls, 'MAX_RESPONSE_BODY_BYTES', 4 * 1024 * 1024)
    unit = b'10000\r\n' + bytes(0x10000) + b'\r\n'
    async with (
        _EndlessServer(_CHUNKED, unit).run() as server,
        open_daemons(server.address, _SNAPSHOT) as daemons,
    ):
        for daemon in daemons:
            daemon.runner.buffer_budget = _calls.ResponseBufferBudget(
                1_000_000
            )
            host, _, port = daemon.caller.address.rpartition(':')
            with trio.fail_after(_TIME_LIMIT_S):
                stream = await trio.open_tcp_stream(host, int(port))
                await stream.send_all(
                    b'POST /endless HTTP/1.0\r\nHost: spa.example\r\n\r\n'
                )
                received = b''
                while data := await stream.receive_some():
                    received += data
            head = received.split(b'\r\n\r\n')[0].lower()
            assert head.startswith(b'http/1.1 502')
            assert b'gypsumhall-outcome: run' in head
            assert daemon.runner.buffer_budget.used == 0
        await _wait_until(lambda: server.aborted == 2)
        assert server.sent < 2 * (
            _calls.MAX_RESPONSE_BODY_BYTES + _SOCKET_BUFFERS
        )


@pytest.mark.parametrize(
    ('start', 'unit', 'detail'),
    [
        pytest.param(
            b'',
            b'HTTP/1.1 103 Early Hints\r\n\r\n' * 100,
            'response head incomplete after',
            id='head',
        ),
        pytest.param(
            _CHUNKED,
            b'1;a=' + b'b' * 1000 + b'\r\nx\r\n',
            'bytes of framing',
            id='body',
        ),
    ],
)
async def test_event_has_cause_of_aborted_response(
    start: bytes, unit: bytes, detail: str
) -> None:
    """Once the head has been forwarded, only the event can carry the cause."""
    async with (
        _EndlessServer(start, unit).run() as server,
        open_daemons(server.address, _SNAPSHOT) as daemons,
    ):
        daemon = daemons[-1]
        daemon.runner._dialect = _calls.Dialect(request_id=b'x-request')
        with trio.fail_after(_TIME_LIMIT_S):
            await _call(daemons[0], '/endless')
        aborted = [
            fields
            for code, fields in daemon.events.emitted
            if code == 'run-cut'
        ]
        assert [item['cause'] for item in aborted] == ['bad-response']
        assert detail in str(aborted[0]['detail'])
