"""Tests that responses of backend servers are read as by httpcore and h11."""

from __future__ import annotations

import contextlib
from random import Random
import socket
from typing import Any
from typing import TYPE_CHECKING

import httpcore
import pytest

from gypsumhall.services import _backend_client

if TYPE_CHECKING:
    from collections.abc import Callable

_SEED = 20261206
_MUTATIONS = 150
_OK = b'HTTP/1.1 200 OK\r\n'
_NEXT = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale'
_RESPONSES = [
    _OK + b'Content-Length: 4\r\n\r\ngood',
    _OK + b'content-length: 0\r\nX-Empty:\r\nX-Mixed: a  b\t\r\n\r\n',
    _OK + b'Content-Length: 4\r\n\r\ngood' + _NEXT,
    _OK + b'Content-Length: 4\r\n\r\ngoo',
    _OK + b'Content-Length: 4\r\nConnection: close\r\n\r\ngood',
    _OK + b'Content-Length: 4\r\nConnection: x, Close\r\n\r\ngood',
    _OK + b'Content-Length: 4\r\nContent-Length: 4\r\n\r\ngood',
    _OK + b'Content-Length: 4\r\nContent-Length: 5\r\n\r\ngood!',
    _OK + b'Content-Length: 4, 4\r\n\r\ngood',
    _OK + b'Content-Length: +4\r\n\r\ngood',
    _OK + b'Content-Length: x\r\n\r\ngood',
    _OK + b'Content-Length : 4\r\n\r\ngood',
    _OK + b'Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n',
    _OK + b'Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n'
    b'4;a=b\r\ngood\r\n0\r\nX-Trailer: t\r\n\r\n' + _NEXT,
    _OK + b'Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n',
    _OK + b'Transfer-Encoding: chunked\r\n\r\nz\r\ngood\r\n0\r\n\r\n',
    _OK + b'Transfer-Encoding: gzip\r\n\r\ngood',
    _OK + b'\r\nuntil the end',
    _OK + b'Upgrade: h2c\r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 100 Continue\r\n\r\n' + _OK + b'Content-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 x\r\n\r\n' + _NEXT,
    b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n',
    b'HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 200\r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 200  spaced \xe9\r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ngood',
    b'http/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood',
    b'ICY 200 OK\r\nContent-Length: 4\r\n\r\ngood',
    b'\r\n' + _OK + b'Content-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 200 OK\nContent-Length: 4\n\ngood',
    b'HTTP/1.1 200 OK\r\nX: y\n\nContent-Length: 4\r\n\r\ngood',
    _OK + b'X: a\rb\r\nContent-Length: 4\r\n\r\ngood',
    _OK + b'X: folded\r\n on\r\nContent-Length: 4\r\n\r\ngood',
    _OK + b'X: \x00\r\nContent-Length: 4\r\n\r\ngood',
    _OK + b'X: a\x01b\r\nContent-Length: 4\r\n\r\ngood',
    _OK + b'X: \xe9\r\nContent-Length: 4\r\n\r\ngood',
    _OK + b'X y: a\r\nContent-Length: 4\r\n\r\ngood',
    _OK + b'X\r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 204 No Content\r\n\r\n' + _NEXT,
    b'HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n',
    b'HTTP/1.1 421 Misdirected\r\nContent-Length: 4\r\n\r\ngood',
    b'HTTP/1.1 599 x\r\nContent-Length: 4\r\n\r\ngood',
    b'nonsense',
    b'',
]


class _Parts:
    """What a server sends; the connection ends, or is reset, after it."""

    def __init__(self, parts: list[bytes], *, reset: bool) -> None:
        self._parts = list(parts)
        self._reset = reset

    def read(self, error: Callable[[], Exception]) -> bytes:
        if self._parts:
            return self._parts.pop(0)
        if self._reset:
            raise error()
        return b''


class _ReferenceStream(httpcore.AsyncNetworkStream):
    def __init__(self, parts: _Parts) -> None:
        self._parts = parts
        self.reached_eof = False

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        data = self._parts.read(lambda: httpcore.ReadError('reset'))
        self.reached_eof = not data
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        pass

    async def aclose(self) -> None:
        pass

    def get_extra_info(self, info: str) -> Any:
        return False


async def _reference(method: str, parts: _Parts) -> list[Any]:
    """Return what httpcore reads, and whether it keeps the connection."""
    stream = _ReferenceStream(parts)
    origin = httpcore.Origin(b'http', b'a', 80)
    connection = httpcore.AsyncHTTP11Connection(origin, stream)
    request = httpcore.Request(
        method,
        httpcore.URL(scheme=b'http', host=b'a', port=80, target=b'/'),
        headers=[(b'host', b'a')],
    )
    outcome: list[Any] = []
    try:
        response = await connection.handle_async_request(request)
        outcome += [response.status, list(response.headers)]
        body = b''
        async for data in response.stream:  # type: ignore[union-attr]
            body += data
        outcome.append(body)
        await response.aclose()
        unparsed = connection._h11_state.trailing_data[0]
        outcome.append(connection.is_idle() and not unparsed)
    except httpcore.RemoteProtocolError:
        outcome.append('reset' if stream.reached_eof else 'invalid')
    except httpcore.NetworkError:
        outcome.append('reset')
    return outcome


async def _read(
    method: str, parts: _Parts, monkeypatch: pytest.MonkeyPatch
) -> list[Any]:
    """Return what the client of the daemons reads."""

    async def receive(sock: socket.socket, size: int) -> bytes:
        return parts.read(lambda: ConnectionResetError('reset'))

    outcome: list[Any] = []
    ours, theirs = socket.socketpair()
    with (
        contextlib.closing(ours),
        contextlib.closing(theirs),
        monkeypatch.context() as patch,
    ):
        ours.setblocking(False)
        patch.setattr(_backend_client._socket, 'receive', receive)
        connection = _backend_client._Connection(ours)
        try:
            outcome += await connection.send_request(
                method.encode(), b'/', [(b'host', b'a')], b''
            )
            body = b''
            async for data in connection.body():
                body += data
            outcome.append(body)
            outcome.append(connection.is_reusable())
        except _backend_client.BackendResetError:
            outcome.append('reset')
        except _backend_client.BackendResponseError:
            outcome.append('invalid')
    return outcome


async def _compare(
    data: bytes, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    cuts = [[data], [data[at : at + 1] for at in range(len(data))]]
    cuts += [[data[:at], data[at:]] for at in range(1, len(data))]
    # The response also ends at each place.
    cuts += [[data[:at]] for at in range(1, len(data))]
    for parts in cuts:
        parts = [part for part in parts if part]
        for reset in (False, True):
            expected = await _reference(method, _Parts(parts, reset=reset))
            found = await _read(
                method, _Parts(parts, reset=reset), monkeypatch
            )
            assert found == expected, (parts, reset)


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize('data', _RESPONSES)
async def test_odd_responses_are_read_as_by_httpcore(
    data: bytes, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A difference could give a caller the response to another request."""
    await _compare(data, method, monkeypatch)


async def test_mutated_responses_are_read_as_by_httpcore(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Odd bytes that nobody thought of are read in the same way as well."""
    rng = Random(_SEED)
    pieces = [b'\r', b'\n', b'\r\n', b' ', b'\t', b':', b'\x00', b'\x0b', b'0']
    for _ in range(_MUTATIONS):
        data = bytearray(rng.choice(_RESPONSES))
        for _ in range(rng.randint(1, 3)):
            at = rng.randrange(len(data) + 1)
            width = rng.randint(0, 2)
            data[at : at + width] = rng.choice(
                [*pieces, bytes([rng.randrange(256)])]
            )
        await _compare(bytes(data), 'GET', monkeypatch)


@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
@pytest.mark.parametrize('framing', [b'Content-Length: 0\r\n', b''])
async def test_status_that_http_does_not_have_is_invalid(
    status: bytes, framing: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """RFC 9110, section 15: such a response must not reach a caller."""
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        ours.setblocking(False)

        async def open_socket(address: str) -> socket.socket:
            return ours

        monkeypatch.setattr(_backend_client, '_open_socket', open_socket)
        client = _backend_client.BackendClient('127.0.0.1:1')
        theirs.send(b'HTTP/1.1 ' + status + b' x\r\n' + framing + b'\r\n')
        theirs.shutdown(socket.SHUT_WR)
        with pytest.raises(
            (
                _backend_client.BackendResponseError,
                _backend_client.BackendResetError,
            )
        ):
            async with client.request(
                'GET', '/', ((b'host', b'a'),), b'', lambda: None
            ):
                pass
