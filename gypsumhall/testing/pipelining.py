"""Builders and helpers for tests of pipelined requests."""

from __future__ import annotations

import contextlib
from typing import Any
from typing import TYPE_CHECKING

import h11
import trio

from gypsumhall.services import _backend_client
from gypsumhall.services import _http_server
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallPathDaemon
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumhall.services import _calls

ROUTES = (
    builders.build_route(path='/search', timeout_s=10.0),
    builders.build_route('other', path='/other', timeout_s=10.0),
)


class Response:
    """A response as a caller received it."""

    __slots__ = ('body', 'closes', 'status')

    def __init__(self, status: int, body: bytes, *, closes: bool) -> None:
        self.status = status
        self.body = body
        self.closes = closes

    def __repr__(self) -> str:
        return f'Response({self.status}, {self.body!r}, closes={self.closes})'


def build_request(
    request_id: str,
    method: str = 'GET',
    *,
    path: str = '/search',
    work_s: float = 0.0,
    deadline_ms: int = 5000,
    body: bytes = b'',
    fault: str = '',
    fields: tuple[str, ...] = (),
) -> bytes:
    """Return the bytes of a request.

    Parameters
    ----------
    request_id : str
        Id; the backend server returns it as the body of the response.
    method, path : str
        Request line.
    work_s : float
        Time in seconds that the backend server takes.
    deadline_ms : int
        Time in milliseconds that the caller states.
    body : bytes
        Body with a length; without one if it is empty and `method` is GET.
    fault : str
        Fault of the backend server: ``truncate`` for a response that breaks
        off, ``medium`` for one of 200 KB, ``large`` for one of 1 MB.
    fields : tuple of str
        Further header lines.
    """
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: spa.example',
        f'X-Request: {request_id}',
        f'X-Work: {work_s}',
        f'X-Fault: {fault}',
        f'Gypsumhall-Deadline-Ms: {deadline_ms}',
        *fields,
    ]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class ScriptedBackend:
    """Backend server without sockets that does what a request asks for."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.completed: list[str] = []
        # Time at which each run ended in whatever way.
        self.ended_at: dict[str, float] = {}
        self.most_running = 0
        self.address = '127.0.0.1:1'

    @property
    def running(self) -> int:
        """Number of requests that are running."""
        return len(self.started) - len(self.ended_at)

    def connect(self, address: str) -> ScriptedBackend:
        """Return a client; passed to the runner as ``connect``."""
        return self

    async def close_idle(self, *, all_connections: bool = False) -> None:
        """Do nothing, as there are no connections."""

    @contextlib.asynccontextmanager
    async def request(
        self,
        method: str,
        path: str,
        headers: _calls.Headers,
        body: bytes,
        on_send: Callable[[], None],
        on_abort: object = None,
    ) -> AsyncIterator[_backend_client.BackendResponse]:
        """Run a request."""
        fields = dict(headers)
        request_id = fields[b'x-request'].decode()
        fault = fields[b'x-fault']
        on_send()
        self.started.append(request_id)
        self.most_running = max(self.most_running, self.running)
        try:
            await trio.sleep(float(fields[b'x-work']))
            content = request_id.encode()
            if fault in (b'large', b'truncate'):
                content = content.ljust(1_000_000)
            elif fault == b'medium':
                content = content.ljust(200_000)

            async def parts() -> AsyncGenerator[bytes, None]:
                yield content[:100_000]
                await trio.sleep(0.05)
                if fault == b'truncate':
                    raise _backend_client.BackendResetError('truncated')
                yield content[100_000:]

            yield _backend_client.BackendResponse(
                200,
                ((b'content-length', b'%d' % len(content)),),
                len(content),
                parts(),
            )
            self.completed.append(request_id)
        finally:
            self.ended_at[request_id] = trio.current_time()


@contextlib.asynccontextmanager
async def run_daemon(
    backend: ScriptedBackend,
    *,
    slots: int = 32,
    remote: bool = False,
    drain_delay_s: float = 0.0,
    drain_timeout_s: float = 5.0,
) -> AsyncIterator[CallPathDaemon]:
    """Run a daemon beside a backend server.

    Parameters
    ----------
    backend : ScriptedBackend
        Backend server.
    slots : int
        Number of requests that it runs at the same time.
    remote : bool
        Whether it is beside another daemon, to which the calls are sent.
    drain_delay_s, drain_timeout_s : float
        See `CallPathDaemon`.
    """
    async with trio.open_nursery() as nursery:
        hub, table = MemoryHub(nursery), fakes.FakeTable()
        daemons = [
            CallPathDaemon(
                builders.build_member(index),
                table,
                lambda info: MemoryNetwork(hub, info),
                build_snapshot(routes=ROUTES),
                connect=backend.connect,
                listen='' if index else '127.0.0.1:0',
                drain_delay_s=drain_delay_s,
                drain_timeout_s=drain_timeout_s,
            )
            for index in range(2 if remote else 1)
        ]
        for daemon in daemons:
            await nursery.start(daemon.run)
        daemons[-1].set_backend(backend.address, slots=slots)
        yield daemons[0]
        nursery.cancel_scope.cancel()


class PipeliningCaller:
    """A caller that sends requests without waiting for the responses.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        Connection to a daemon.
    """

    def __init__(self, stream: trio.abc.HalfCloseableStream) -> None:
        self.stream = stream
        self._received = b''
        self._closed = False

    async def send(self, *requests: bytes) -> None:
        """Send requests in one write."""
        await self.stream.send_all(b''.join(requests))

    async def read_response(self, method: str = 'GET') -> Response | None:
        """Return the next response; None if the connection has ended.

        Raises
        ------
        h11.RemoteProtocolError
            If the response is incomplete or malformed.
        trio.BrokenResourceError
            If the connection has been reset.
        """
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(
                method=method, target='/', headers=[('host', 'spa.example')]
            )
        )
        parser.send(h11.EndOfMessage())
        if self._received:
            parser.receive_data(self._received)
        status, body, closes = 0, b'', False
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = bytes(await self.stream.receive_some(65536))
                if not data and not status and not self._received:
                    return None
                self._received += data
                parser.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                closes = (b'connection', b'close') in list(event.headers)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._received = parser.trailing_data[0]
                return Response(status, body, closes=closes)

    async def read_until_closed(self) -> list[Response]:
        """Return all responses until the connection ends."""
        responses = []
        while (response := await self.read_response()) is not None:
            responses.append(response)
        return responses


class HttpServer:
    """An HTTP server of its own, on a loopback port.

    Parameters
    ----------
    application : callable
        ASGI application.
    """

    def __init__(self, application: Any) -> None:
        self._application = application
        self._port = 0
        self.stop = trio.Event()
        self.ended = trio.Event()

    @property
    def port(self) -> int:
        """Port on the loopback address."""
        return self._port

    async def run(
        self,
        settings: _http_server.HttpSettings,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stop` is set and all connections have ended."""
        async with trio.open_nursery() as nursery:

            async def serve(*, task_status: trio.TaskStatus[str]) -> None:
                await _http_server.serve(
                    self._application,
                    settings,
                    '127.0.0.1:0',
                    self.stop,
                    task_status=task_status,
                )

            address = await nursery.start(serve)
            self._port = int(address.rpartition(':')[2])
            task_status.started()
        self.ended.set()

    async def connect(self, receive_bytes: int = 0) -> PipeliningCaller:
        """Open a connection.

        Parameters
        ----------
        receive_bytes : int
            Size of the buffer for received data; 0 for that of the system.
        """
        return await _connect(self._port, receive_bytes)


async def connect(
    daemon: CallPathDaemon, receive_bytes: int = 0
) -> PipeliningCaller:
    """Open a connection to a daemon; see `HttpServer.connect`."""
    assert daemon.caller is not None
    port = daemon.caller.address.rpartition(':')[2]
    return await _connect(int(port), receive_bytes)


async def _connect(port: int, receive_bytes: int) -> PipeliningCaller:
    connection = trio.socket.socket()
    if receive_bytes:
        connection.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, receive_bytes
        )
    await connection.connect(('127.0.0.1', port))
    return PipeliningCaller(trio.SocketStream(connection))
