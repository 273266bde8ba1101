"""HTTP/1.1 client for the backend server on the VM."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterable
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any
from typing import cast
from typing import Protocol
from typing import TYPE_CHECKING

import httpcore
import trio

from gypsumhall._errors import GypsumhallError
from gypsumhall.services import _calls

if TYPE_CHECKING:
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


class BackendRequestError(GypsumhallError):
    """The request is not valid HTTP, so nothing was sent."""

    code = 'bad-request'


class BackendResetError(GypsumhallError):
    """The connection ended or timed out before a complete response."""

    code = 'backend-reset'


class BackendResponseError(GypsumhallError):
    """The response of the backend server is invalid or too large."""

    code = 'bad-response'


class _Stream(httpcore.AsyncNetworkStream):
    """Socket that limits the size of a response's head and framing.

    The head needs a limit because httpcore skips any number of informational
    responses. Operations have no timeouts of their own; the cancel scope of
    the call limits their total time.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._received_bytes = 0
        self._in_head = True
        # Size of the body that the parser has returned so far.
        self._body_bytes = 0
        self._small_reads = True
        self._write_failed = False
        self.reached_eof = False

    def begin_head(self) -> None:
        """Reset the counters and expect the head of a response."""
        self._received_bytes = 0
        self._in_head = True
        self._body_bytes = 0
        self._small_reads = True

    def begin_body(self) -> None:
        """Expect the body of the response."""
        self._in_head = False

    def count_body(self, size: int) -> None:
        """Count the size of a parsed part of the body."""
        self._body_bytes += size
        self._small_reads = size < _SMALL_CHUNK_BYTES

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        if self._in_head:
            if self._received_bytes >= _MAX_HEAD_BYTES:
                raise BackendResponseError(
                    'response head incomplete after '
                    f'{self._received_bytes} bytes'
                )
        else:
            framing = self._received_bytes - self._body_bytes
            if (
                framing
                > _MAX_FRAMING_BYTES + self._body_bytes // _FRAMING_RATIO
            ):
                raise BackendResponseError(
                    f'{framing} bytes of framing for {self._body_bytes} bytes '
                    'of a response body'
                )
        if self._small_reads:
            max_bytes = min(max_bytes, _SMALL_READ_BYTES)
        try:
            data = bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error
        if not data and self._write_failed:
            # The failed write has reported a reset, after which the socket
            # reports the end of the stream as if the peer had closed it.
            raise httpcore.ReadError('the connection was reset')
        self._received_bytes += len(data)
        self.reached_eof = not data
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        try:
            await self._stream.send_all(buffer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._write_failed = True
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        if info == 'is_readable':
            return self._stream.socket.is_readable()
        return None


class _Connection(httpcore.AsyncHTTP11Connection):
    """Connection that detects bytes after the end of a response."""

    def __init__(self, origin: httpcore.Origin, stream: _Stream) -> None:
        super().__init__(origin, stream)
        self.network = stream
        self.reused = False

    def has_unexpected_bytes(self) -> bool:
        """Return whether the server sent bytes after its response.

        The parser buffers them and would return them as the response to the
        next request.
        """
        return bool(self._unparsed_bytes()) or self.has_expired()

    async def body(
        self, response: httpcore.Response
    ) -> AsyncGenerator[bytes, None]:
        """Yield the body of a response.

        Small chunks that arrived together are joined, because many small
        objects would take more memory later.

        Raises
        ------
        BackendResetError
            When the connection is lost before the end of the body.
        BackendResponseError
            When the body is invalid.
        """
        # httpcore declares an iterable, but a connection returns a generator.
        stream = cast(AsyncIterable[bytes], response.stream).__aiter__()
        parts = cast(AsyncGenerator[bytes, None], stream)
        pending = bytearray()
        try:
            async with contextlib.aclosing(parts):
                async for data in parts:
                    self.network.count_body(len(data))
                    if len(data) >= _SMALL_CHUNK_BYTES and not pending:
                        yield data
                        continue
                    pending += data
                    # The CRLF after a chunk is parsed with the next event, so
                    # two bytes may be unparsed after the last one received.
                    if (
                        len(pending) >= _calls.CHUNK_BYTES
                        or len(self._unparsed_bytes()) <= 2
                    ):
                        data = bytes(pending)
                        pending.clear()
                        yield data
            if pending:
                yield bytes(pending)
        except httpcore.RemoteProtocolError as error:
            if self.network.reached_eof:
                raise BackendResetError(f'incomplete body: {error}') from error
            raise BackendResponseError(f'invalid body: {error}') from error
        except httpcore.NetworkError as error:
            raise BackendResetError(f'incomplete body: {error!r}') from error

    def _unparsed_bytes(self) -> bytes:
        return self._h11_state.trailing_data[0]


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
        Parts of the body.
    connection_reused : bool
        Whether an earlier request was sent on the same connection, so that
        the response may belong to that one.
    """

    __slots__ = ('_stream', 'connection_reused', 'headers', 'length', 'status')

    def __init__(
        self,
        status: int,
        headers: _calls.Headers,
        length: int | None,
        stream: AsyncGenerator[bytes, None],
        *,
        connection_reused: bool = False,
    ) -> None:
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
    ) -> AbstractAsyncContextManager[BackendResponse]:
        """Send a request; see `BackendClient.request`."""
        ...

    async def close_idle(self, *, all_connections: bool = False) -> None:
        """Close connections that have been idle for too long, or all."""
        ...


class BackendClient:
    """HTTP client with a connection pool for one backend server.

    `httpcore.AsyncConnectionPool` scans all its connections for every
    request. There is only one origin here, so this pool takes the most
    recently used connection.

    Parameters
    ----------
    address : str
        ``<ip>:<port>`` of the backend server.
    """

    __slots__ = ('_address', '_host', '_idle', '_origin', '_port')

    def __init__(self, address: str) -> None:
        self._address = address
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._origin = httpcore.Origin(
            b'http', host.encode('ascii'), self._port
        )
        self._idle: list[tuple[float, _Connection]] = []

    @property
    def address(self) -> str:
        """Address of the backend server."""
        return self._address

    @contextlib.asynccontextmanager
    async def request(
        self,
        method: str,
        path: str,
        headers: _calls.Headers,
        body: bytes,
        on_send: Callable[[], None],
    ) -> AsyncIterator[BackendResponse]:
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

        Raises
        ------
        BackendUnreachableError, BackendRequestError
            When nothing was sent.
        BackendResetError, BackendResponseError
            When the request may have been run.
        """
        request = self._build_request(method, path, headers, body)
        connection = await self._connect()
        on_send()
        connection.network.begin_head()
        try:
            try:
                response = await connection.handle_async_request(request)
            except httpcore.LocalProtocolError as error:
                raise BackendRequestError(str(error)) from error
            except httpcore.RemoteProtocolError as error:
                if connection.network.reached_eof:
                    raise BackendResetError(str(error)) from error
                raise BackendResponseError(str(error)) from error
            except httpcore.NetworkError as error:
                raise BackendResetError(repr(error)) from error
            connection.network.begin_body()
            yield _build_response(method, response, connection)
        except BaseException:
            with trio.CancelScope(shield=True):
                await connection.aclose()
            raise
        with trio.CancelScope(shield=True):
            await response.aclose()
        if not connection.is_idle():
            return
        if connection.has_unexpected_bytes():
            await connection.aclose()
        else:
            expires = trio.current_time() + _IDLE_TIMEOUT_S
            self._idle.append((expires, connection))

    async def close_idle(self, *, all_connections: bool = False) -> None:
        """Close connections that have been idle for too long, or all."""
        now = trio.current_time()
        expired = [
            item for item in self._idle if all_connections or item[0] <= now
        ]
        self._idle = [item for item in self._idle if item not in expired]
        for _, connection in expired:
            await connection.aclose()

    def _build_request(
        self, method: str, path: str, headers: _calls.Headers, body: bytes
    ) -> httpcore.Request:
        sent_headers = list(headers)
        if body or method not in ('GET', 'HEAD', 'OPTIONS', 'DELETE'):
            sent_headers.append((b'content-length', b'%d' % len(body)))
        url = httpcore.URL(
            scheme=self._origin.scheme,
            host=self._origin.host,
            port=self._port,
            target=path.encode('ascii'),
        )
        return httpcore.Request(
            method.encode('ascii'),
            url,
            headers=sent_headers,
            content=body or None,
        )

    async def _connect(self) -> _Connection:
        now = trio.current_time()
        while self._idle:
            expires, connection = self._idle.pop()
            if expires > now and not connection.has_expired():
                connection.reused = True
                return connection
            await connection.aclose()
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(self._host, self._port)
        except (OSError, trio.TooSlowError) as error:
            raise BackendUnreachableError(
                f'backend server {self._address}: {error or "timeout"}'
            ) from error
        return _Connection(self._origin, _Stream(stream))


def _build_response(
    method: str,
    response: httpcore.Response,
    connection: _Connection,
) -> BackendResponse:
    headers = response.headers
    if _calls.header_bytes(headers) > _calls.MAX_HEADER_BYTES:
        raise BackendResponseError(
            f'response headers exceed {_calls.MAX_HEADER_BYTES} bytes'
        )
    if response.status < 200:
        raise BackendResponseError(f'unexpected status {response.status}')
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
    if method == 'HEAD' or response.status in (204, 304):
        length = 0
    if length is not None and length > _calls.MAX_RESPONSE_BODY_BYTES:
        raise BackendResponseError(
            f'response body of {length} bytes is larger than '
            f'{_calls.MAX_RESPONSE_BODY_BYTES} bytes'
        )
    return BackendResponse(
        response.status,
        _calls.response_headers(headers),
        length,
        connection.body(response),
        connection_reused=connection.reused,
    )
