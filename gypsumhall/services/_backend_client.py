"""HTTP/1.1 connections to the backend server on the VM."""

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

# Shorter than usual keep-alive timeouts of servers, so that a connection is
# rarely closed by the server while a request is being sent on it.
_IDLE_S = 2.0
_CONNECT_S = 1.0
# Most bytes before the end of a response's head, with all informational
# responses before it. Twice `_calls.MAX_HEADER_BYTES`, so that a head of that
# size may follow some of them.
_MAX_HEAD_BYTES = 2 * _calls.MAX_HEADER_BYTES
# Most bytes that are read at once where each of them costs much to parse:
# 8 KiB of small chunks or informational responses take about 20 ms, in which
# no other call is served.
_SMALL_READ_BYTES = 8 * 1024
# Chunks of a body that are smaller on average count as small, in bytes.
_SMALL_CHUNK_BYTES = 1024
# Most bytes of chunk sizes, extensions and trailers beyond one byte for
# `_FRAMING_RATIO` bytes of the body: lines of 50 bytes that are sent as one
# chunk each stay below it, as do 20,000 smaller ones.
_MAX_FRAMING_BYTES = 128 * 1024
_FRAMING_RATIO = 8


class BackendUnreachableError(GypsumhallError):
    """No connection could be opened; nothing was sent."""

    code = 'backend-unreachable'


class BackendRejectedError(GypsumhallError):
    """The request cannot be sent as HTTP; nothing was sent."""

    code = 'bad-request'


class BackendResetError(GypsumhallError):
    """The connection ended or timed out before the response did."""

    code = 'backend-reset'


class BackendResponseError(GypsumhallError):
    """The backend server's response is not valid or too large."""

    code = 'bad-response'


class _Stream(httpcore.AsyncNetworkStream):
    """Socket without a timeout per operation; a cancel scope bounds all.

    It bounds the bytes that are read for a head, as httpcore skips any number
    of informational responses, and those of a body's framing.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._received = 0
        self._in_head = True
        # Bytes of the body that the parser has returned.
        self._body = 0
        self._small = True
        self.ended = False

    def begin(self) -> None:
        """Expect the head of a response."""
        self._received = 0
        self._in_head = True
        self._body = 0
        self._small = True

    def end_head(self) -> None:
        """Expect the body of the response."""
        self._in_head = False

    def add_body(self, size: int) -> None:
        """Count a part of the body."""
        self._body += size
        self._small = size < _SMALL_CHUNK_BYTES

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        if self._in_head:
            if self._received >= _MAX_HEAD_BYTES:
                raise BackendResponseError(
                    f'no head of a response in {self._received} bytes'
                )
        else:
            framing = self._received - self._body
            if framing > _MAX_FRAMING_BYTES + self._body // _FRAMING_RATIO:
                raise BackendResponseError(
                    f'{framing} bytes of framing for {self._body} bytes of '
                    'a response body'
                )
        if self._small:
            max_bytes = min(max_bytes, _SMALL_READ_BYTES)
        try:
            data = bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error
        self._received += len(data)
        self.ended = not data
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        try:
            await self._stream.send_all(buffer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        if info == 'is_readable':
            return self._stream.socket.is_readable()
        return None


class _Connection(httpcore.AsyncHTTP11Connection):
    """Connection that tells whether bytes after a response have arrived."""

    def __init__(self, origin: httpcore.Origin, stream: _Stream) -> None:
        super().__init__(origin, stream)
        self.network = stream

    def has_excess(self) -> bool:
        """Return whether the server sent more than its response.

        The parser keeps such bytes and would take them for the response to
        the next request.
        """
        return bool(self._unparsed()) or self.has_expired()

    async def body(
        self, response: httpcore.Response
    ) -> AsyncGenerator[bytes, None]:
        """Yield the body of a response.

        Small chunks that arrived together are joined, so that their number
        costs no memory later.

        Raises
        ------
        BackendResetError
            When the body ends early.
        BackendResponseError
            When the body is not valid.
        """
        # httpcore declares an iterable; that of a connection is a generator.
        stream = cast(AsyncIterable[bytes], response.stream).__aiter__()
        parts = cast(AsyncGenerator[bytes, None], stream)
        joined = bytearray()
        try:
            async with contextlib.aclosing(parts):
                async for data in parts:
                    self.network.add_body(len(data))
                    if len(data) >= _SMALL_CHUNK_BYTES and not joined:
                        yield data
                        continue
                    joined += data
                    # The end of the line after a chunk is parsed later.
                    if (
                        len(joined) >= _calls.CHUNK_BYTES
                        or len(self._unparsed()) <= 2
                    ):
                        data = bytes(joined)
                        joined.clear()
                        yield data
            if joined:
                yield bytes(joined)
        except httpcore.RemoteProtocolError as error:
            if self.network.ended:
                raise BackendResetError(f'body broke off: {error}') from error
            raise BackendResponseError(f'body: {error}') from error
        except httpcore.NetworkError as error:
            raise BackendResetError(f'body broke off: {error!r}') from error

    def _unparsed(self) -> bytes:
        return self._h11_state.trailing_data[0]


class BackendResponse:
    """Head of a response, with its body still to be read.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        End-to-end headers.
    length : int or None
        Bytes of the body; None when it is chunked.
    stream : async iterator of bytes
        Parts of the body.
    """

    __slots__ = ('_stream', 'headers', 'length', 'status')

    def __init__(
        self,
        status: int,
        headers: _calls.Headers,
        length: int | None,
        stream: AsyncGenerator[bytes, None],
    ) -> None:
        self.status = status
        self.headers = headers
        self.length = length
        self._stream = stream

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in parts of at most 64 KiB.

        Raises
        ------
        BackendResetError
            When the body ends early.
        BackendResponseError
            When the body is too large or not valid.
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
    """Sends requests to one backend server."""

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
    """Keeps connections to one backend server open.

    `httpcore.AsyncConnectionPool` looks at all its connections for every
    request; as there is one origin, the most recently used connection is
    taken instead.

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

        The connection is closed when the block is left before the end of
        the body, which tells the backend server that nobody waits.

        Parameters
        ----------
        method, path : str
            Request line; the path includes the query.
        headers : tuple of (bytes, bytes)
            End-to-end headers without ``Content-Length``.
        body : bytes
            Whole body.
        on_send : callable
            Called before the first byte is sent.

        Raises
        ------
        BackendUnreachableError, BackendRejectedError
            When nothing was sent.
        BackendResetError, BackendResponseError
            When the request may have been run.
        """
        request = self._build(method, path, headers, body)
        connection = await self._connect()
        on_send()
        connection.network.begin()
        try:
            try:
                response = await connection.handle_async_request(request)
            except httpcore.LocalProtocolError as error:
                raise BackendRejectedError(str(error)) from error
            except httpcore.RemoteProtocolError as error:
                if connection.network.ended:
                    raise BackendResetError(str(error)) from error
                raise BackendResponseError(str(error)) from error
            except httpcore.NetworkError as error:
                raise BackendResetError(repr(error)) from error
            connection.network.end_head()
            yield _head(method, response, connection.body(response))
        except BaseException:
            with trio.CancelScope(shield=True):
                await connection.aclose()
            raise
        with trio.CancelScope(shield=True):
            await response.aclose()
        if not connection.is_idle():
            return
        if connection.has_excess():
            await connection.aclose()
        else:
            expires = trio.current_time() + _IDLE_S
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

    def _build(
        self, method: str, path: str, headers: _calls.Headers, body: bytes
    ) -> httpcore.Request:
        sent = list(headers)
        if body or method not in ('GET', 'HEAD', 'OPTIONS', 'DELETE'):
            sent.append((b'content-length', b'%d' % len(body)))
        url = httpcore.URL(
            scheme=self._origin.scheme,
            host=self._origin.host,
            port=self._port,
            target=path.encode('ascii'),
        )
        return httpcore.Request(
            method.encode('ascii'), url, headers=sent, content=body or None
        )

    async def _connect(self) -> _Connection:
        now = trio.current_time()
        while self._idle:
            expires, connection = self._idle.pop()
            if expires > now and not connection.has_expired():
                return connection
            await connection.aclose()
        try:
            with trio.fail_after(_CONNECT_S):
                stream = await trio.open_tcp_stream(self._host, self._port)
        except (OSError, trio.TooSlowError) as error:
            raise BackendUnreachableError(
                f'backend server {self._address}: {error or "timeout"}'
            ) from error
        return _Connection(self._origin, _Stream(stream))


def _head(
    method: str,
    response: httpcore.Response,
    body: AsyncGenerator[bytes, None],
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
        length = None
    if method == 'HEAD' or response.status in (204, 304):
        length = 0
    elif length is None and not chunked:
        # The end of such a body cannot be told from a lost connection.
        raise BackendResponseError(
            'response has neither Content-Length nor chunked encoding'
        )
    if length is not None and length > _calls.MAX_RESPONSE_BODY_BYTES:
        raise BackendResponseError(
            f'response body of {length} bytes is larger than '
            f'{_calls.MAX_RESPONSE_BODY_BYTES} bytes'
        )
    return BackendResponse(
        response.status, _calls.response_headers(headers), length, body
    )
