"""HTTP/1.1 client with a pool of connections to one server.

Plain responses are read with `_http_parser`, all others with h11.
"""

from __future__ import annotations

import contextlib
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import h11
import trio

from gypsumhall.services import _http_parser

if TYPE_CHECKING:
    from collections.abc import Iterator

    Fields = list[tuple[bytes, bytes]]

_READ_BYTES = 64 * 1024


class ConnectError(Exception):
    """The connection could not be opened, so nothing was sent."""


class ResponseError(Exception):
    """The connection was lost, or the response is invalid."""


class TooLargeError(Exception):
    """The body of a response exceeds the limit."""


class Network(Protocol):
    """Opens connections."""

    async def open_stream(self, address: str) -> Any:
        """Open a `trio.abc.Stream` to an address.

        Raises
        ------
        OSError
            When the connection fails.
        """
        ...


class TcpNetwork:
    """Opens connections over TCP."""

    __slots__ = ()

    async def open_stream(self, address: str) -> trio.SocketStream:
        """Open a connection to an address ``<host>:<port>``."""
        host, _, port = address.rpartition(':')
        return await trio.open_tcp_stream(host.strip('[]'), int(port))


class Response:
    """A complete response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Header fields.
    body : bytes
        The body.
    """

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status: int, headers: Fields, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Client:
    """Sends requests to one server.

    Parameters
    ----------
    network : Network
        Opens connections.
    address : str
        ``<host>:<port>`` of the server.
    max_connections : int
        Maximum number of connections.
    idle_s : float
        Time in seconds after which an idle connection is not used again.
    max_body_bytes : int
        Largest body of a response.
    """

    __slots__ = (
        '_address',
        '_idle',
        '_idle_s',
        '_max_body_bytes',
        '_network',
        '_slots',
    )

    def __init__(
        self,
        network: Network,
        address: str,
        *,
        max_connections: int,
        idle_s: float,
        max_body_bytes: int,
    ) -> None:
        self._network = network
        self._address = address
        self._idle_s = idle_s
        self._max_body_bytes = max_body_bytes
        # Idle connections with the times at which they expire, in this order.
        self._idle: list[tuple[float, Any]] = []
        self._slots = trio.Semaphore(max_connections)

    async def close_idle(self) -> None:
        """Close the connections that no request uses."""
        idle, self._idle = self._idle, []
        for _, stream in idle:
            await _close(stream)

    async def request(
        self,
        method: bytes,
        target: bytes,
        content: bytes = b'',
        content_type: bytes = b'',
    ) -> Response:
        """Send a request and return the response.

        Parameters
        ----------
        method, target : bytes
            Request line.
        content, content_type : bytes
            Body and its type; empty for none.

        Raises
        ------
        ConnectError
            When nothing was sent.
        ResponseError
            When the connection was lost or the response is invalid.
        TooLargeError
            When the body of the response is too large.
        """
        fields = [
            (b'Host', self._address.encode('ascii')),
            (b'Content-Length', b'%d' % len(content)),
        ]
        if content_type:
            fields.append((b'Content-Type', content_type))
        head = _http_parser.encode_request(method, target, fields)
        if head is None:
            raise ValueError(f'invalid request target {target!r}')
        if self._slots.value:
            self._slots.acquire_nowait()
        else:
            await self._slots.acquire()
        try:
            stream = await self._take_stream()
            try:
                response, is_reusable = await self._exchange(
                    stream, head + content, (method, target, fields, content)
                )
            except BaseException:
                await _close(stream)
                raise
            if is_reusable:
                expires = trio.current_time() + self._idle_s
                self._idle.append((expires, stream))
            else:
                await _close(stream)
        finally:
            self._slots.release()
        return response

    async def _take_stream(self) -> Any:
        """Return an idle connection that is usable, or a new one."""
        now = trio.current_time()
        while self._idle and self._idle[0][0] <= now:
            await _close(self._idle.pop(0)[1])
        while self._idle:
            _, stream = self._idle.pop()
            # The server has closed it or sent bytes without a request.
            if not _is_readable(stream):
                return stream
            await _close(stream)
        try:
            return await self._network.open_stream(self._address)
        except OSError as error:
            raise ConnectError(
                f'connection to {self._address}: {error}'
            ) from error

    async def _exchange(
        self,
        stream: Any,
        data: bytes,
        request: tuple[bytes, bytes, Fields, bytes],
    ) -> tuple[Response, bool]:
        """Return a response and whether the connection can be used again."""
        # The server may have responded before it closed the connection.
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            await stream.send_all(data)
        received = await _receive(stream)
        parsed = _http_parser.parse_response(received)
        if parsed is None:
            return await self._read_unusual(
                stream, received, _build_parser(*request)
            )
        head, size = parsed
        self._check_size(head.length)
        body = received[size:]
        if len(body) < head.length:
            parts = [body]
            missing = head.length - len(body)
            while missing > 0:
                part = await _receive(stream)
                if not part:
                    raise ResponseError('the body is incomplete')
                parts.append(part)
                missing -= len(part)
            body = b''.join(parts)
        # Bytes behind a response would be taken for the next one.
        is_reusable = head.keep_alive and len(body) == head.length
        return (
            Response(head.status, head.headers, body[: head.length]),
            is_reusable,
        )

    async def _read_unusual(
        self, stream: Any, received: bytes, parser: h11.Connection
    ) -> tuple[Response, bool]:
        """Read a response that is not plain."""
        response: Response | None = None
        body = bytearray()
        parser.receive_data(received)
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ResponseError(str(error)) from error
            if event is h11.NEED_DATA:
                parser.receive_data(await _receive(stream))
            elif isinstance(event, h11.Response):
                headers = list(event.headers.raw_items())
                response = Response(event.status_code, headers, b'')
            elif isinstance(event, h11.Data):
                body += event.data
                self._check_size(len(body))
            elif isinstance(event, h11.EndOfMessage) and response is not None:
                response.body = bytes(body)
                is_reusable = (
                    parser.our_state is h11.DONE
                    and parser.their_state is h11.DONE
                    and not parser.trailing_data[0]
                )
                return response, is_reusable
            elif not isinstance(event, h11.InformationalResponse):
                raise ResponseError('the connection ended')

    def _check_size(self, size: int) -> None:
        if size > self._max_body_bytes:
            raise TooLargeError(f'more than {self._max_body_bytes} bytes')


def _build_parser(
    method: bytes, target: bytes, fields: Fields, content: bytes
) -> h11.Connection:
    """Return a parser for the response to a request."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target=target, headers=fields))
    for event in _body_events(content):
        parser.send(event)
    return parser


def _body_events(content: bytes) -> Iterator[h11.Event]:
    if content:
        yield h11.Data(data=content)
    yield h11.EndOfMessage()


async def _receive(stream: Any) -> bytes:
    try:
        return bytes(await stream.receive_some(_READ_BYTES))
    except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
        raise ResponseError(repr(error)) from error


def _is_readable(stream: Any) -> bool:
    return (
        isinstance(stream, trio.SocketStream) and stream.socket.is_readable()
    )


async def _close(stream: Any) -> None:
    with trio.CancelScope(shield=True):
        await trio.aclose_forcefully(stream)
