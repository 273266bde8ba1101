"""HTTP/1.1 client for the backend server on the VM."""

from __future__ import annotations

import contextlib
import socket
from typing import NoReturn
from typing import Protocol
from typing import TYPE_CHECKING

import h11
import trio

from gypsumhall._errors import GypsumhallError
from gypsumhall.net import _socket
from gypsumhall.services import _calls
from gypsumhall.services import _http_parser

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

# Shorter than the usual keep-alive timeouts of servers, so that a server
# rarely closes a connection while a request is being sent on it.
_IDLE_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 1.0
# Limit on the size of a response's head, including all informational
# responses that precede it. Twice `_calls.MAX_HEADER_BYTES`, so that some of
# them may precede a head of the largest size.
_MAX_HEAD_BYTES = 2 * _calls.MAX_HEADER_BYTES
# Size of a read where parsing is slow: 8 KiB of small chunks or
# informational responses take about 20 ms, which block all other calls.
_SMALL_READ_BYTES = 8 * 1024
_READ_BYTES = 64 * 1024
# Largest incomplete event of a response that h11 parses.
_MAX_EVENT_BYTES = 100 * 1024
# Parts of a body below this size are treated as small chunks.
_SMALL_CHUNK_BYTES = 1024
# Limit on chunk sizes, extensions and trailers, in addition to one byte per
# `_FRAMING_RATIO` bytes of the body. Responses that send each line of 50 bytes
# as a chunk stay below it, as do responses with 20,000 smaller chunks.
_MAX_FRAMING_BYTES = 128 * 1024
_FRAMING_RATIO = 8


class BackendUnreachableError(GypsumhallError):
    """The connection could not be opened, so nothing was sent."""

    code = 'backend-unreachable'


class BackendRejectedError(BackendUnreachableError):
    """The server ended a new connection before anything was sent on it."""


class BackendRequestError(GypsumhallError):
    """The request is not valid HTTP, so nothing was sent."""

    code = 'bad-request'


class BackendResetError(GypsumhallError):
    """The connection ended or timed out before a complete response."""

    code = 'backend-reset'


class BackendResponseError(GypsumhallError):
    """The response of the backend server is invalid or too large."""

    code = 'bad-response'


class _Connection:
    """Connection that limits the size of a response's head and framing.

    Plain responses are read with `_http_parser`, all others with h11, which
    skips any number of informational responses and needs the limits.
    Operations have no timeouts of their own; the cancel scope of the call
    limits their total time.
    """

    __slots__ = (
        '_body_bytes',
        '_complete',
        '_in_head',
        '_keep_alive',
        '_reached_eof',
        '_received',
        '_received_bytes',
        '_remaining',
        '_small_reads',
        '_sock',
        '_unusual',
        '_write_failed',
        'reused',
    )

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        # Data behind what has been parsed of a plain response.
        self._received = b''
        # Bytes of the body of a plain response that have not been received.
        self._remaining = 0
        # Reads a response that is not plain.
        self._unusual: h11.Connection | None = None
        self._received_bytes = 0
        self._in_head = True
        # Size of the body that the parser has returned so far.
        self._body_bytes = 0
        self._small_reads = True
        self._write_failed = False
        self._reached_eof = False
        # Whether another request may follow the response.
        self._complete = False
        self._keep_alive = True
        self.reused = False

    async def send_request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> tuple[int, list[tuple[bytes, bytes]]]:
        """Send a request; return status and headers of the response.

        Raises
        ------
        BackendRequestError
            When the request is invalid; nothing was sent.
        BackendResetError
            When the connection is lost before the end of the head.
        BackendResponseError
            When the head is invalid or too large.
        """
        self._received_bytes = 0
        self._in_head = True
        self._body_bytes = 0
        self._small_reads = True
        self._complete = False
        head = _http_parser.encode_request(method, target, headers)
        if head is None:
            self._unusual, data = _encode_unusual(
                method, target, headers, body
            )
            await self._write(data)
        else:
            await self._write(head + body)
            self._received = await self._read()
            parsed = None
            if method != b'HEAD':
                parsed = _http_parser.parse_response(self._received)
            if parsed is not None:
                return self._begin_plain_body(*parsed)
            self._unusual, _ = _encode_unusual(method, target, headers, body)
            if self._received:
                self._unusual.receive_data(self._received)
                self._received = b''
            else:
                self._raise_without_response()
        return await self._read_unusual_head(self._unusual)

    def close(self) -> None:
        """Close the connection."""
        _socket.close(self._sock)

    def half_close(self) -> None:
        """Tell the server that nothing more is sent and no one is waiting."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    async def wait_end(self, limit_s: float) -> None:
        """Close the connection when the server has, or after a limit.

        Until then the server may still execute the request.
        """
        try:
            with (
                trio.move_on_after(limit_s),
                contextlib.suppress(OSError, trio.ClosedResourceError),
            ):
                while await _socket.receive(self._sock, _READ_BYTES):
                    await trio.lowlevel.checkpoint()
        finally:
            self.close()

    def has_ended(self) -> bool:
        """Return whether the server has closed or reset the connection."""
        try:
            return not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def is_reusable(self) -> bool:
        """Return whether the response is complete and nothing follows it.

        Bytes that the server sent after its response would be taken for the
        response to the next request.
        """
        return self._complete and not self._received and not self.has_expired()

    def has_expired(self) -> bool:
        """Return whether an idle connection has received bytes or its end."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def take_body(self) -> bytes | None:
        """Return the body if it has been received already, else None."""
        size = self._remaining
        if (
            self._unusual is not None
            or len(self._received) < size
            or size > _calls.CHUNK_BYTES
        ):
            return None
        data = self._received[:size]
        self._received = self._received[size:]
        self._remaining = 0
        self._complete = self._keep_alive
        return data

    async def body(self) -> AsyncGenerator[bytes, None]:
        """Yield the body of the response.

        Raises
        ------
        BackendResetError
            When the connection is lost before the end of the body.
        BackendResponseError
            When the body is invalid.
        """
        self._in_head = False
        if self._unusual is not None:
            parts = self._read_unusual_body(self._unusual)
            async with contextlib.aclosing(parts):
                async for data in parts:
                    yield data
            return
        while self._remaining:
            if not self._received:
                self._received = await self._read()
                if not self._received:
                    raise BackendResetError(
                        'incomplete body: the connection ended '
                        f'{self._remaining} bytes before the end of the body'
                    )
            data = self._received[: self._remaining]
            self._received = self._received[self._remaining :]
            self._remaining -= len(data)
            self._count_body(len(data))
            yield data
        self._complete = self._keep_alive

    def _begin_plain_body(
        self, head: _http_parser.ResponseHead, size: int
    ) -> tuple[int, list[tuple[bytes, bytes]]]:
        self._unusual = None
        self._received = self._received[size:]
        self._remaining = head.length
        self._keep_alive = head.keep_alive
        return head.status, head.headers

    async def _read_unusual_head(
        self, parser: h11.Connection
    ) -> tuple[int, list[tuple[bytes, bytes]]]:
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                if self._reached_eof:
                    raise BackendResetError(str(error)) from error
                raise BackendResponseError(str(error)) from error
            if event is h11.NEED_DATA:
                data = await self._read()
                if not data and parser.their_state is h11.SEND_RESPONSE:
                    self._raise_without_response()
                parser.receive_data(data)
            elif isinstance(event, h11.Response) or (
                isinstance(event, h11.InformationalResponse)
                and event.status_code == 101
            ):
                return event.status_code, event.headers.raw_items()

    async def _read_unusual_body(
        self, parser: h11.Connection
    ) -> AsyncGenerator[bytes, None]:
        """Yield the body of a response that h11 parses.

        Small chunks that arrived together are joined, because many small
        objects would take more memory later.
        """
        pending = bytearray()
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                if self._reached_eof:
                    raise BackendResetError(
                        f'incomplete body: {error}'
                    ) from error
                raise BackendResponseError(f'invalid body: {error}') from error
            if event is h11.NEED_DATA:
                parser.receive_data(await self._read())
            elif isinstance(event, h11.Data):
                data = bytes(event.data)
                self._count_body(len(data))
                if len(data) >= _SMALL_CHUNK_BYTES and not pending:
                    yield data
                    continue
                pending += data
                # The CRLF after a chunk is parsed with the next event, so
                # two bytes may be unparsed after the last one received.
                if (
                    len(pending) >= _calls.CHUNK_BYTES
                    or len(parser.trailing_data[0]) <= 2
                ):
                    data = bytes(pending)
                    pending.clear()
                    yield data
            elif isinstance(event, h11.EndOfMessage) or event is h11.PAUSED:
                break
        if pending:
            yield bytes(pending)
        self._received = parser.trailing_data[0]
        self._complete = (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        )

    def _count_body(self, size: int) -> None:
        """Count the size of a parsed part of the body."""
        self._body_bytes += size
        self._small_reads = size < _SMALL_CHUNK_BYTES

    def _raise_without_response(self) -> NoReturn:
        raise BackendResetError(
            'the server disconnected without sending a response'
        )

    def _check_received(self) -> None:
        """Raise an error if the head or the framing is too large."""
        if self._in_head:
            if self._received_bytes >= _MAX_HEAD_BYTES:
                raise BackendResponseError(
                    'response head incomplete after '
                    f'{self._received_bytes} bytes'
                )
            return
        framing = self._received_bytes - self._body_bytes
        if framing > _MAX_FRAMING_BYTES + self._body_bytes // _FRAMING_RATIO:
            raise BackendResponseError(
                f'{framing} bytes of framing for {self._body_bytes} bytes '
                'of a response body'
            )

    async def _read(self) -> bytes:
        """Return received data; empty at the end of the stream."""
        self._check_received()
        size = _SMALL_READ_BYTES if self._small_reads else _READ_BYTES
        try:
            data = await _socket.receive(self._sock, size)
        except (OSError, trio.ClosedResourceError) as error:
            raise BackendResetError(self._describe_reset(error)) from error
        if not data and self._write_failed:
            # The failed write has reported a reset, after which the socket
            # reports the end of the stream as if the peer had closed it.
            raise BackendResetError('the connection was reset')
        self._received_bytes += len(data)
        self._reached_eof = not data
        return data

    def _describe_reset(self, error: Exception) -> str:
        if self._in_head:
            return repr(error)
        return f'incomplete body: {error!r}'

    async def _write(self, data: bytes) -> None:
        """Send data.

        A server that does not read all of a request may still respond to it,
        so an error is left to the next read.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        unsent = memoryview(data)
        try:
            while unsent:
                try:
                    unsent = unsent[self._sock.send(unsent) :]
                except BlockingIOError:
                    await trio.lowlevel.wait_writable(self._sock)
        except (OSError, trio.ClosedResourceError):
            self._write_failed = True


def _encode_unusual(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> tuple[h11.Connection, bytes]:
    """Return a parser for the response to a request, and the request.

    Raises
    ------
    BackendRequestError
        When the request is invalid.
    """
    parser = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MAX_EVENT_BYTES
    )
    events: list[h11.Event] = []
    try:
        events.append(
            h11.Request(method=method, target=target, headers=headers)
        )
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        parts = [parser.send(event) or b'' for event in events]
    except h11.LocalProtocolError as error:
        raise BackendRequestError(str(error)) from error
    return parser, b''.join(parts)


class BackendResponse:
    """Head of a response, whose body has not been read yet.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        End-to-end headers.
    length : int or None
        Size of the body in bytes; None if it is chunked or ends with the
        connection.
    stream : async iterator of bytes
        Parts of the body that have not been received yet.
    body : bytes or None
        The body if it was received with the head. It has at most 64 KiB.
    connection_reused : bool
        Whether an earlier request was sent on the same connection, so that
        the response may belong to that one.
    """

    __slots__ = (
        '_stream',
        'body',
        'connection_reused',
        'headers',
        'length',
        'status',
    )

    def __init__(
        self,
        status: int,
        headers: _calls.Headers,
        length: int | None,
        stream: AsyncGenerator[bytes, None],
        *,
        body: bytes | None = None,
        connection_reused: bool = False,
    ) -> None:
        self.body = body
        self.connection_reused = connection_reused
        self.status = status
        self.headers = headers
        self.length = length
        self._stream = stream

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in parts of at most 64 KiB.

        Raises
        ------
        BackendResetError
            When the connection is lost before the end of the body.
        BackendResponseError
            When the body is too large or invalid.
        """
        if self.body:
            yield self.body
        received = 0
        async with contextlib.aclosing(self._stream):
            async for data in self._stream:
                received += len(data)
                if received > _calls.MAX_RESPONSE_BODY_BYTES:
                    raise BackendResponseError(
                        'response body is larger than '
                        f'{_calls.MAX_RESPONSE_BODY_BYTES} bytes'
                    )
                for start in range(0, len(data), _calls.CHUNK_BYTES):
                    yield data[start : start + _calls.CHUNK_BYTES]


class Connection(Protocol):
    """Protocol of connections whose request was aborted."""

    def close(self) -> None:
        """Close the connection."""
        ...

    async def wait_end(self, limit_s: float) -> None:
        """Close the connection when the server has, or after a limit."""
        ...


class Client(Protocol):
    """Protocol of clients that send requests to one backend server."""

    @property
    def address(self) -> str:
        """Address of the backend server."""
        ...

    def request(
        self,
        method: str,
        path: str,
        headers: _calls.Headers,
        body: bytes,
        on_send: Callable[[], None],
        on_abort: Callable[[Connection], None] | None = None,
    ) -> AbstractAsyncContextManager[BackendResponse]:
        """Send a request; see `BackendClient.request`."""
        ...

    async def close_idle(self, *, all_connections: bool = False) -> None:
        """Close connections that have been idle for too long, or all."""
        ...


class _RequestContext:
    """Context manager that sends a request and ends its response.

    A generator with `contextlib.asynccontextmanager` would take more time.
    """

    __slots__ = (
        '_body',
        '_client',
        '_connection',
        '_headers',
        '_method',
        '_on_abort',
        '_on_send',
        '_path',
    )

    def __init__(
        self,
        client: BackendClient,
        method: str,
        path: str,
        headers: _calls.Headers,
        body: bytes,
        on_send: Callable[[], None],
        on_abort: Callable[[Connection], None] | None,
    ) -> None:
        self._client = client
        self._method = method
        self._path = path
        self._headers = headers
        self._body = body
        self._on_send = on_send
        self._on_abort = on_abort
        self._connection: _Connection

    async def __aenter__(self) -> BackendResponse:
        method, body = self._method, self._body
        headers = list(self._headers)
        if body or method not in ('GET', 'HEAD', 'OPTIONS', 'DELETE'):
            headers.append((b'content-length', b'%d' % len(body)))
        target = self._path.encode('ascii')
        connection = self._connection = await self._client._connect()
        self._on_send()
        try:
            status, received = await connection.send_request(
                method.encode('ascii'), target, headers, body
            )
            return _build_response(method, status, received, connection)
        except BaseException as error:
            self._abort(type(error))
            raise

    async def __aexit__(
        self, kind: type[BaseException] | None, *_: object
    ) -> None:
        if kind is not None:
            self._abort(kind)
            return
        # Bytes behind the response that are on their way are noticed.
        await trio.lowlevel.cancel_shielded_checkpoint()
        self._client._release(self._connection)

    def _abort(self, kind: type[BaseException]) -> None:
        """End a request whose response has not been read to its end."""
        connection = self._connection
        ended = issubclass(kind, BackendRequestError | BackendResetError)
        if ended or self._on_abort is None:
            connection.close()
        else:
            connection.half_close()
            self._on_abort(connection)


class BackendClient:
    """HTTP client with a connection pool for one backend server.

    There is only one origin, so the pool takes the most recently used
    connection.

    Parameters
    ----------
    address : str
        ``<ip>:<port>`` of the backend server.
    """

    __slots__ = ('_address', '_idle')

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle: list[tuple[float, _Connection]] = []

    @property
    def address(self) -> str:
        """Address of the backend server."""
        return self._address

    def request(
        self,
        method: str,
        path: str,
        headers: _calls.Headers,
        body: bytes,
        on_send: Callable[[], None],
        on_abort: Callable[[Connection], None] | None = None,
    ) -> AbstractAsyncContextManager[BackendResponse]:
        """Send a request and yield the head of the response.

        If the block is left before the end of the body, the connection is
        closed, which signals to the backend server that the response is no
        longer needed.

        Parameters
        ----------
        method, path : str
            Method and target of the request line; the path includes the
            query.
        headers : tuple of (bytes, bytes)
            End-to-end headers without ``Content-Length``.
        body : bytes
            Complete request body.
        on_send : callable
            Called before the first byte is sent.
        on_abort : callable, optional
            Called with the half-closed connection when the block is left
            before the end of the body and the server has not ended it. The
            receiver closes it. By default it is closed at once.

        Raises
        ------
        BackendUnreachableError, BackendRequestError
            When nothing was sent.
        BackendResetError, BackendResponseError
            When the request may have been run.
        """
        return _RequestContext(
            self, method, path, headers, body, on_send, on_abort
        )

    async def close_idle(self, *, all_connections: bool = False) -> None:
        """Close connections that have been idle for too long, or all."""
        now = trio.current_time()
        expired = [
            item for item in self._idle if all_connections or item[0] <= now
        ]
        self._idle = [item for item in self._idle if item not in expired]
        for _, connection in expired:
            connection.close()

    def _release(self, connection: _Connection) -> None:
        """Keep a connection for another request, if it allows one."""
        if connection.is_reusable():
            expires = trio.current_time() + _IDLE_TIMEOUT_S
            self._idle.append((expires, connection))
        else:
            connection.close()

    async def _connect(self) -> _Connection:
        now = trio.current_time()
        while self._idle:
            expires, connection = self._idle.pop()
            if expires > now and not connection.has_expired():
                connection.reused = True
                return connection
            connection.close()
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                connection = _Connection(await _open_socket(self._address))
        except (OSError, trio.TooSlowError) as error:
            raise BackendUnreachableError(
                f'backend server {self._address}: {error or "timeout"}'
            ) from error
        if connection.has_ended():
            # A server that accepts no more connections resets new ones.
            connection.close()
            raise BackendRejectedError(
                f'backend server {self._address}: the connection ended '
                'before a request was sent'
            )
        return connection


async def _open_socket(address: str) -> socket.socket:
    """Open a connection to an IP address or a host name.

    Raises
    ------
    OSError
        When the connection fails.
    """
    try:
        _socket.split_address(address)
    except ValueError:
        host, _, port = address.rpartition(':')
        found = await trio.socket.getaddrinfo(
            host, int(port), type=socket.SOCK_STREAM
        )
        address = _socket.join_address(str(found[0][4][0]), int(port))
    return await _socket.connect(address)


def _build_response(
    method: str,
    status: int,
    headers: list[tuple[bytes, bytes]],
    connection: _Connection,
) -> BackendResponse:
    if _calls.header_bytes(headers) > _calls.MAX_HEADER_BYTES:
        raise BackendResponseError(
            f'response headers exceed {_calls.MAX_HEADER_BYTES} bytes'
        )
    if not 200 <= status <= 599:
        # RFC 9110, section 15, has no status codes outside 100 to 599.
        raise BackendResponseError(f'unexpected status {status}')
    length: int | None = None
    chunked = False
    for name, value in headers:
        lower = name.lower()
        if lower == b'content-length':
            length = int(value)
        elif lower == b'transfer-encoding':
            chunked = True
    if chunked:
        # RFC 9112, section 6.3: the chunks take precedence. The length must
        # not be forwarded, since the body may have another one.
        length = None
        headers = [
            item for item in headers if item[0].lower() != b'content-length'
        ]
    if method == 'HEAD' or status in (204, 304):
        length = 0
    if length is not None and length > _calls.MAX_RESPONSE_BODY_BYTES:
        raise BackendResponseError(
            f'response body of {length} bytes is larger than '
            f'{_calls.MAX_RESPONSE_BODY_BYTES} bytes'
        )
    return BackendResponse(
        status,
        _calls.response_headers(headers),
        length,
        connection.body(),
        body=connection.take_body(),
        connection_reused=connection.reused,
    )
