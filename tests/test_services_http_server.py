"""Tests of the end of connections, on real sockets."""

from __future__ import annotations

import contextlib
import socket
from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.services import _http_server
from gypsumhall.testing import pipelining

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

_TIME_LIMIT_S = 20.0


class _Application:
    """Application that sends as many bytes as the path of a request says.

    With ``/held/`` in front it sends the second half when `release` is set,
    with ``/failing/`` it sends the first half then and fails.
    """

    def __init__(self) -> None:
        self.paths: list[str] = []
        self.release = trio.Event()

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        self.paths.append(scope['path'])
        size = int(scope['path'].rpartition('/')[2])
        await scope['state']['exchange'].admit(alone=False)
        if scope['path'].startswith('/failing/'):
            await self.release.wait()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'%d' % size)],
            }
        )
        await send(
            {
                'type': 'http.response.body',
                'body': bytes(size // 2),
                'more_body': True,
            }
        )
        if scope['path'].startswith('/held/'):
            await self.release.wait()
        if scope['path'].startswith('/failing/'):
            raise RuntimeError('test')
        await send(
            {'type': 'http.response.body', 'body': bytes(size - size // 2)}
        )


def _get(path: str, *fields: str) -> bytes:
    lines = [f'GET {path} HTTP/1.1', 'Host: spa.example', *fields, '', '']
    return '\r\n'.join(lines).encode()


@contextlib.asynccontextmanager
async def _serve(
    **settings: Any,
) -> AsyncIterator[tuple[pipelining.HttpServer, _Application]]:
    application = _Application()
    server = pipelining.HttpServer(application)
    with trio.fail_after(_TIME_LIMIT_S):
        async with trio.open_nursery() as nursery:
            await nursery.start(
                server.run, _http_server.HttpSettings(**settings)
            )
            yield server, application
            nursery.cancel_scope.cancel()


async def _until(condition: Callable[[], bool]) -> None:
    while True:
        if condition():
            return
        await trio.sleep(0.005)


@pytest.fixture
def received(monkeypatch: pytest.MonkeyPatch) -> bytearray:
    """Return what the servers of a test take from their sockets."""
    data = bytearray()
    receive = _http_server.trio.SocketStream.receive_some

    async def recording_receive(
        stream: trio.SocketStream, max_bytes: int | None = None
    ) -> bytes:
        part = await receive(stream, max_bytes)
        if not getattr(stream, 'of_caller', False):
            data.extend(part)
        return bytes(part)

    monkeypatch.setattr(trio.SocketStream, 'receive_some', recording_receive)
    return data


async def test_request_that_arrived_before_the_stop_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closing without reading it would reset the connection."""
    stop = _http_server._Connection.stop

    def stop_after_a_request(connection: _http_server._Connection) -> None:
        caller.stream.socket._sock.send(_get('/2'))
        stop(connection)

    monkeypatch.setattr(_http_server._Connection, 'stop', stop_after_a_request)
    async with _serve() as (server, application):
        caller = await server.connect()
        async with caller.stream:
            await caller.send(_get('/1'))
            assert (await caller.read_response()).status == 200
            server.stop.set()
            responses = await caller.read_until_closed()
        assert [len(response.body) for response in responses] == [2]
        assert responses[0].closes
        assert application.paths == ['/1', '/2']


async def test_stop_answers_requests_behind_a_response_without_close() -> None:
    """They were read, and no response told their caller to repeat them."""
    async with _serve(read_ahead=1) as (server, application):
        caller = await server.connect()
        async with caller.stream:
            await caller.send(_get('/held/4000'), _get('/5'))
            await _until(lambda: application.paths == ['/held/4000'])
            server.stop.set()
            await trio.sleep(0.1)
            application.release.set()
            responses = await caller.read_until_closed()
        assert [len(response.body) for response in responses] == [4000, 5]
        assert [response.closes for response in responses] == [False, True]


async def test_stop_discards_no_request_behind_a_response_without_close(
    received: bytearray,
) -> None:
    """A request that has been read must not end without a response."""
    async with _serve() as (server, application):
        caller = await server.connect()
        caller.stream.of_caller = True
        async with caller.stream:
            await caller.send(_get('/held/4000'))
            await _until(lambda: application.paths == ['/held/4000'])
            server.stop.set()
            await trio.sleep(0.1)
            application.release.set()
            response = await caller.read_response()
            assert len(response.body) == 4000
            assert not response.closes
            with contextlib.suppress(trio.BrokenResourceError):
                await caller.send(_get('/6'))
            responses = []
            with contextlib.suppress(trio.BrokenResourceError):
                responses = await caller.read_until_closed()
            await server.ended.wait()
        assert bool(responses) == (b'/6' in received)


async def test_connections_that_wait_to_be_accepted_are_served() -> None:
    """The end of the listener would reset them."""
    async with _serve() as (server, application):
        callers = [await server.connect() for _ in range(20)]
        # No connection can be accepted before the stop.
        blocking = [
            socket.create_connection(('127.0.0.1', server.port))
            for _ in range(20)
        ]
        for connection in blocking:
            connection.sendall(_get('/7'))
        server.stop.set()
        for caller in callers:
            assert await caller.read_until_closed() == []
        await server.ended.wait()
        for connection in blocking:
            with connection:
                connection.settimeout(1.0)
                assert connection.recv(65536).startswith(b'HTTP/1.1 200 ')
        assert application.paths == ['/7'] * 20


@pytest.mark.parametrize('stops', [False, True])
async def test_flood_behind_a_closing_response_does_not_truncate_it(
    *, stops: bool
) -> None:
    """The end of a connection with unread input discards what is unsent."""
    async with _serve(close_timeout_s=_TIME_LIMIT_S) as (server, _):
        caller = await server.connect(receive_bytes=4096)
        async with caller.stream, trio.open_nursery() as nursery:

            async def send() -> None:
                flood = 2000 * _get('/8')
                with contextlib.suppress(
                    trio.BrokenResourceError, trio.ClosedResourceError
                ):
                    while True:
                        await caller.send(flood)
                        await trio.sleep(0.001)

            await caller.send(_get('/400000', 'Connection: close'))
            nursery.start_soon(send)
            await trio.sleep(0.1)
            if stops:
                server.stop.set()
            await trio.sleep(0.3)
            received = b''
            with contextlib.suppress(trio.BrokenResourceError):
                while data := await caller.stream.receive_some(4096):
                    received += data
                    await trio.sleep(0.01)
            assert len(received.partition(b'\r\n\r\n')[2]) == 400_000
            nursery.cancel_scope.cancel()


async def test_failure_amid_a_held_response_loses_no_other() -> None:
    """Nothing of it has been sent, so its caller gets an error response."""
    async with _serve() as (server, application):
        caller = await server.connect()
        async with caller.stream:
            await caller.send(_get('/failing/4000'), _get('/5'))
            await _until(lambda: len(application.paths) == 2)
            server.stop.set()
            await trio.sleep(0.1)
            application.release.set()
            responses = await caller.read_until_closed()
        assert [response.status for response in responses] == [500, 200]
        assert [response.closes for response in responses] == [False, True]


async def test_response_is_sent_although_its_run_is_cancelled_then() -> None:
    """The connection was closed without a byte (soak, seed 102)."""

    async def respond_while_cancelled(
        scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        with trio.CancelScope() as run_scope:
            async with trio.open_nursery() as nursery:
                # It runs when the response waits for the first time.
                nursery.start_soon(_cancel, run_scope)
                await send(
                    {
                        'type': 'http.response.start',
                        'status': 504,
                        'headers': [(b'content-length', b'4')],
                    }
                )
                await send({'type': 'http.response.body', 'body': b'late'})

    async def _cancel(run_scope: trio.CancelScope) -> None:
        run_scope.cancel()

    server = pipelining.HttpServer(respond_while_cancelled)
    with trio.fail_after(_TIME_LIMIT_S):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run, _http_server.HttpSettings())
            for _ in range(10):
                caller = await server.connect()
                async with caller.stream:
                    await caller.send(_get('/', 'Connection: close'))
                    (response,) = await caller.read_until_closed()
                assert (response.status, response.body) == (504, b'late')
            nursery.cancel_scope.cancel()
