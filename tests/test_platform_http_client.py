"""Tests of the HTTP client of the platform's store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.platform import _http_client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_PLAIN = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nStore-Era: 7\r\n\r\nab'
_CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nStore-Era: 7\r\n\r\n'
    b'1\r\na\r\n1\r\nb\r\n0\r\n\r\n'
)
_MAX_BODY_BYTES = 100


class _Server:
    """Sends prepared parts in response to each request."""

    def __init__(self) -> None:
        self.parts: list[bytes] = [_PLAIN]
        self.closes = False
        self.connections = 0
        self.received = b''
        self.address = ''

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            async for data in stream:
                self.received = data
                for part in self.parts:
                    await stream.send_all(part)
                    await trio.sleep(0.02)
                if self.closes:
                    return


@contextlib.asynccontextmanager
async def _open(
    *, idle_s: float = 5.0, max_connections: int = 4
) -> AsyncIterator[tuple[_Server, _http_client.Client]]:
    server = _Server()
    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            client = _http_client.Client(
                _http_client.TcpNetwork(),
                server.address,
                max_connections=max_connections,
                idle_s=idle_s,
                max_body_bytes=_MAX_BODY_BYTES,
            )
            yield server, client
            await client.close_idle()
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'parts',
    [
        pytest.param([_PLAIN], id='plain'),
        pytest.param([_PLAIN[:-1], _PLAIN[-1:]], id='body-in-parts'),
        pytest.param([_PLAIN[:30], _PLAIN[30:]], id='head-in-parts'),
        pytest.param([_CHUNKED], id='chunked'),
        pytest.param([_CHUNKED[:-8], _CHUNKED[-8:]], id='chunks-in-parts'),
        pytest.param(
            [b'HTTP/1.1 103 Early Hints\r\n\r\n', _PLAIN], id='informational'
        ),
    ],
)
async def test_response_is_read_and_its_connection_used_again(
    parts: list[bytes],
) -> None:
    async with _open() as (server, client):
        server.parts = parts
        for _ in range(3):
            response = await client.request(b'GET', b'/a?b=1')
            assert (response.status, response.body) == (200, b'ab')
            fields = [
                (name.lower(), value) for name, value in response.headers
            ]
            assert (b'store-era', b'7') in fields
        assert server.connections == 1


async def test_request_is_sent_as_before() -> None:
    """Guards against a change of what the store receives."""
    async with _open() as (server, client):
        await client.request(b'POST', b'/a', b'{}', b'application/json')
        assert server.received == (
            b'POST /a HTTP/1.1\r\nHost: %s\r\nContent-Length: 2\r\n'
            b'Content-Type: application/json\r\n\r\n{}'
            % server.address.encode()
        )


@pytest.mark.parametrize(
    'parts',
    [
        pytest.param([_PLAIN + b'HTTP/1.1 200'], id='extra-bytes'),
        pytest.param([_PLAIN, _PLAIN], id='extra-response'),
        pytest.param([_CHUNKED + _PLAIN], id='behind-chunks'),
        pytest.param(
            [_PLAIN.replace(b'Store-Era: 7', b'Connection: close')],
            id='close',
        ),
    ],
)
async def test_connection_with_further_bytes_is_not_used_again(
    parts: list[bytes],
) -> None:
    """Guards against taking them for the response to the next request."""
    async with _open() as (server, client):
        server.parts = parts
        for count in range(1, 4):
            response = await client.request(b'GET', b'/a')
            assert response.body == b'ab'
            await trio.sleep(0.1)
            assert server.connections == count


async def test_connection_that_the_server_has_closed_is_not_used_again() -> (
    None
):
    async with _open() as (server, client):
        server.closes = True
        for _ in range(2):
            await client.request(b'GET', b'/a')
            await trio.sleep(0.1)
        assert server.connections == 2


async def test_connection_that_was_idle_for_long_is_not_used_again() -> None:
    async with _open(idle_s=0.0) as (server, client):
        await client.request(b'GET', b'/a')
        await client.request(b'GET', b'/a')
        assert server.connections == 2


@pytest.mark.parametrize(
    'part',
    [
        pytest.param(_PLAIN[:-1], id='body'),
        pytest.param(_PLAIN[:30], id='head'),
        pytest.param(_CHUNKED[:-3], id='chunks'),
        pytest.param(b'', id='nothing'),
        pytest.param(b'HTTP/1.1 101 Upgrade\r\n\r\n', id='switch'),
        pytest.param(b'no HTTP\r\n\r\n', id='invalid'),
    ],
)
async def test_incomplete_response_is_an_error(part: bytes) -> None:
    """Guards against using a part of a response."""
    async with _open() as (server, client):
        server.parts = [part] if part else []
        server.closes = True
        with pytest.raises(_http_client.ResponseError):
            await client.request(b'GET', b'/a')


@pytest.mark.parametrize(
    'response',
    [
        _PLAIN.replace(b'Length: 2', b'Length: 101'),
        _CHUNKED.replace(b'1\r\na\r\n', b'65\r\n' + bytes(101) + b'\r\n'),
    ],
)
async def test_large_response_is_not_read(response: bytes) -> None:
    async with _open() as (server, client):
        server.parts = [response]
        with pytest.raises(_http_client.TooLargeError):
            await client.request(b'GET', b'/a')


async def test_number_of_connections_is_limited() -> None:
    async with _open(max_connections=2) as (server, client):
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(client.request, b'GET', b'/a')
        assert server.connections == 2


async def test_refused_connection_means_that_nothing_was_sent() -> None:
    async with _open() as (_, client):
        client._address = '127.0.0.1:1'
        with pytest.raises(_http_client.ConnectError):
            await client.request(b'GET', b'/a')
