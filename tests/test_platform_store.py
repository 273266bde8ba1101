"""Tests of the store client against endless responses."""

from __future__ import annotations

import contextlib

import pytest
import trio

from gypsumhall.errors import GypsumhallError
from gypsumhall.errors import StoreUnavailableError
from gypsumhall.errors import StoreUnknownError
from gypsumhall.platform import _store
from gypsumhall.platform import KvStore
from gypsumhall.store import Put

_LIMIT = 256 * 1024
# Bytes that a server can send beyond those that the client has read: the
# buffers of both sockets on the loopback interface.
_SOCKET_BUFFERS = 8 * 1024 * 1024
_CHUNK = b'10000\r\n' + bytes(0x10000) + b'\r\n'


@pytest.mark.parametrize(
    ('write', 'expected'),
    [
        pytest.param(False, StoreUnavailableError, id='read'),
        pytest.param(True, StoreUnknownError, id='write'),
    ],
)
async def test_endless_response_is_cut_off(
    write: bool,
    expected: type[GypsumhallError],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The response must not fill the memory until the call times out."""
    monkeypatch.setattr(_store, 'MAX_RESPONSE_BYTES', _LIMIT, raising=False)
    sent = 0
    closed = trio.Event()

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal sent
        received = b''
        while b'\r\n\r\n' not in received:
            received += await stream.receive_some()
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            )
            while True:
                await stream.send_all(_CHUNK)
                sent += len(_CHUNK)
        closed.set()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        store = KvStore(f'127.0.0.1:{port}')
        with pytest.raises(expected):
            if write:
                await store.txn([], [Put('/fleet/a', b'1')])
            else:
                await store.get('/fleet/a')
        with trio.fail_after(10):
            await closed.wait()
        assert sent < _LIMIT + _SOCKET_BUFFERS
        await store.aclose()
        nursery.cancel_scope.cancel()


async def test_late_response_is_not_that_of_the_next_call() -> None:
    """Responses carry no id, so a connection is closed after a time-out."""
    late_s = _store._CALL_TIMEOUT_S + 0.3
    streams = []

    async def serve(stream: trio.SocketStream) -> None:
        streams.append(stream)
        key = 'ab'[len(streams) - 1]
        body = f'{{"key":"{key}","value":"","revision":1}}'
        with contextlib.suppress(trio.BrokenResourceError):
            async for _ in stream:
                if key == 'a':
                    await trio.sleep(late_s)
                await stream.send_all(
                    f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
                    f'{body}'.encode()
                )

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        store = KvStore(f'127.0.0.1:{port}')
        with pytest.raises(StoreUnavailableError):
            await store.get('a')
        await trio.sleep(late_s - _store._CALL_TIMEOUT_S)
        item = await store.get('b')
        assert item is not None
        assert item.key == 'b'
        assert len(streams) == 2
        await store.aclose()
        nursery.cancel_scope.cancel()
