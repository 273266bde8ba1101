"""HTTP/1.1 of a caller that may write several requests ahead."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Sequence

_RECEIVE_BYTES = 64 * 1024
_MAX_HEAD_BYTES = 64 * 1024


class ConnectionEndedError(Exception):
    """The connection ended before the end of a response.

    Parameters
    ----------
    reset : bool
        Whether it was reset instead of closed.
    partial : bool
        Whether a part of the response had arrived.
    """

    def __init__(self, *, reset: bool, partial: bool) -> None:
        super().__init__(f'reset: {reset}, partial: {partial}')
        self.reset = reset
        self.partial = partial


class MalformedResponseError(Exception):
    """Bytes that are no response of HTTP/1.1."""


class Response:
    """A complete response.

    Parameters
    ----------
    status : int
        Status code.
    fields : dict of str to str
        Headers with lower-case names.
    body : bytes
        Whole body.
    """

    __slots__ = ('body', 'fields', 'status')

    def __init__(
        self, status: int, fields: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.fields = fields
        self.body = body

    @property
    def closes(self) -> bool:
        """Whether the connection ends after this response."""
        options = self.fields.get('connection', '').lower()
        return 'close' in [item.strip() for item in options.split(',')]


class Connection:
    """A connection of a caller."""

    __slots__ = ('_buffer', '_stream', 'response_begun')

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self.response_begun = False

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> Connection | None:
        """Connect to an address; return None if nobody accepts."""
        host, _, port = address.rpartition(':')
        with trio.move_on_after(timeout_s), suppress(OSError):
            return cls(await trio.open_tcp_stream(host, int(port)))
        return None

    async def send(self, data: bytes) -> bool:
        """Write bytes; return False if the connection has ended."""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def receive(self) -> Response:
        """Read the next response.

        Raises
        ------
        ConnectionEndedError
            If the connection ends before its end.
        MalformedResponseError
            If the bytes are no response.
        """
        self.response_begun = bool(self._buffer)
        head = await self._read_until(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        words = lines[0].split(' ', 2)
        if words[0] != 'HTTP/1.1' or len(words) < 2 or len(words[1]) != 3:
            raise MalformedResponseError(repr(lines[0][:80]))
        fields = {}
        for line in lines[1:]:
            name, separator, value = line.partition(':')
            if not separator:
                raise MalformedResponseError(repr(line[:80]))
            fields[name.lower()] = value.strip()
        if 'chunked' in fields.get('transfer-encoding', ''):
            body = await self._read_chunks()
        elif 'content-length' in fields:
            body = await self._read_exactly(int(fields['content-length']))
        else:
            raise MalformedResponseError('a response without a length')
        return Response(int(words[1]), fields, body)

    async def wait_for_end(self, timeout_s: float) -> bool | None:
        """Wait while no response is due.

        Returns
        -------
        bool or None
            True if the connection ended, False if bytes arrived, None if
            neither happened in time.
        """
        if self._buffer:
            return False
        with trio.move_on_after(timeout_s):
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
            except trio.BrokenResourceError:
                return True
            self._buffer += data
            return not data
        return None

    async def close(self) -> None:
        """Close the connection at once."""
        await trio.aclose_forcefully(self._stream)

    async def _read_chunks(self) -> bytes:
        body = b''
        while True:
            line = await self._read_until(b'\r\n')
            size = int(line.split(b';')[0], 16)
            if not size:
                await self._read_exactly(2)
                return body
            body += await self._read_exactly(size)
            if await self._read_exactly(2) != b'\r\n':
                raise MalformedResponseError('a chunk without its end')

    async def _read_until(self, end: bytes) -> bytes:
        while (position := self._buffer.find(end)) < 0:
            if len(self._buffer) > _MAX_HEAD_BYTES:
                raise MalformedResponseError('a head without an end')
            await self._fill()
        data = bytes(self._buffer[:position])
        del self._buffer[: position + len(end)]
        return data

    async def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            await self._fill()
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    async def _fill(self) -> None:
        try:
            data = await self._stream.receive_some(_RECEIVE_BYTES)
        except trio.BrokenResourceError:
            raise ConnectionEndedError(
                reset=True, partial=self.response_begun
            ) from None
        if not data:
            raise ConnectionEndedError(
                reset=False, partial=self.response_begun
            )
        self.response_begun = True
        self._buffer += data


def build_request(
    method: str,
    target: str,
    fields: Sequence[tuple[str, str]],
    body: bytes,
    *,
    chunked: bool,
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields]
    if chunked:
        lines.append('Transfer-Encoding: chunked')
        body = (
            b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
            if body
            else (b'0\r\n\r\n')
        )
    elif body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body
