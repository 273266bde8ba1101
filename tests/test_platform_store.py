"""Tests of the store client against endless and malformed responses."""

from __future__ import annotations

import contextlib
import json
from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.errors import GypsumhallError
from gypsumhall.errors import StoreProtocolError
from gypsumhall.errors import StoreUnavailableError
from gypsumhall.errors import StoreUnknownError
from gypsumhall.platform import _store
from gypsumhall.platform import KvStore
from gypsumhall.services._store import InstrumentedStore
from gypsumhall.store import Put
from gypsumhall.store import Revision
from gypsumhall.testing.fakes import FakeEvents
from gypsumhall.testing.http_network import HttpNetwork
from gypsumhall.testing.kv_store import ADDRESS
from gypsumhall.testing.kv_store import KvApp
from gypsumhall.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock

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


def _item(key: str, value: object = 'YQ==') -> dict[str, Any]:
    return {'key': key, 'value': value, 'revision': 5, 'lease': 0}


class _OddApp(KvApp):
    """Replaces the items of pages and events by other JSON texts."""

    def __init__(self) -> None:
        super().__init__(MemoryStore())
        self.pages: list[tuple[list[bytes], bool]] = []
        self.batches: list[list[bytes]] = []
        self.queries: list[bytes] = []
        self.response_sizes: list[int] = []
        self.forwards_watches = False

    async def _respond(
        self, scope: dict[str, Any], body: bytes
    ) -> tuple[int, bytes]:
        status, content = await self._respond_oddly(scope, body)
        self.response_sizes.append(len(content))
        return status, content

    async def _respond_oddly(
        self, scope: dict[str, Any], body: bytes
    ) -> tuple[int, bytes]:
        self.queries.append(scope['query_string'])
        if scope['path'] == '/v1/kv-range' and self.pages:
            items, more = self.pages.pop(0)
            fields = (
                b',"hasMore":%s,"currentRev":9}' % json.dumps(more).encode()
            )
            return 200, b'{"items":[%s]' % b','.join(items) + fields
        if scope['path'] == '/v1/kv-watch' and not self.forwards_watches:
            if not self.batches:
                await trio.sleep_forever()
            items = self.batches.pop(0)
            end = b'],"currentRev":9}'
            return 200, b'{"events":[%s' % b','.join(items) + end
        return await super()._respond(scope, body)


@contextlib.asynccontextmanager
async def _open_odd_store() -> AsyncIterator[
    tuple[KvStore, _OddApp, list[str]]
]:
    app = _OddApp()
    reported: list[str] = []
    async with trio.open_nursery() as nursery:
        network = HttpNetwork(nursery)
        network.listen(ADDRESS, app)
        store = KvStore(ADDRESS, network)
        store.set_reporter(lambda key, reason: reported.append(key))
        yield store, app, reported
        with trio.CancelScope(shield=True):
            await store.aclose()
        nursery.cancel_scope.cancel()


_ODD_ITEMS = [
    pytest.param(json.dumps(_item('b', '!!')).encode(), 'b', id='base64'),
    pytest.param(json.dumps(_item('b', 7)).encode(), 'b', id='type'),
    pytest.param(b'{"key":"b","value":""}', 'b', id='no revision'),
    pytest.param(b'{"value":"","revision":5}', '', id='no key'),
    pytest.param(
        b'{"key":"b","revision":1%s}' % (b'0' * 40), 'b', id='number'
    ),
    pytest.param(b'{"key":"b","revision":-1}', 'b', id='negative'),
    pytest.param(b'{"key":"\xff\xfe","revision":5}', '', id='no UTF-8'),
    pytest.param(b'{"key":"\\ud800","revision":5}', '', id='surrogate'),
    pytest.param(b'7', '', id='no object'),
    pytest.param(b'null', '', id='null'),
]


@pytest.mark.parametrize(('odd', 'key'), _ODD_ITEMS)
async def test_malformed_item_does_not_hide_the_other_items(
    odd: bytes, key: str, autojump_clock: MockClock
) -> None:
    """A watcher that cannot read one item must follow all others."""
    items = [json.dumps(_item(name)).encode() for name in 'ac']
    async with _open_odd_store() as (store, app, reported):
        app.pages = [([items[0], odd, items[1]], False)]
        found = await store.range('')
        assert [item.key for item in found] == ['a', 'c']
        assert len(reported) == 1
        assert key in reported[0]
        app.batches = [[odd], [items[0], odd, items[1]]]
        async with store.watch('', Revision(app.store.era, 6)) as events:
            with trio.fail_after(5):
                keys = [(await anext(events)).key for _ in range(2)]
        assert keys == ['a', 'c']
        assert len(reported) == 3


@pytest.mark.parametrize('prefix', ['op/', 'servers/'])
async def test_opening_a_watch_transfers_no_values(
    prefix: str, autojump_clock: MockClock
) -> None:
    """The configuration was transferred twice, which filled slow links."""
    async with _open_odd_store() as (store, app, _):
        for key in ('op/config', 'op/rollout/z', 'servers/z9'):
            await app.store.txn([], [Put(key, bytes(400_000))])
        async with store.watch(prefix) as events:
            assert app.response_sizes
            assert max(app.response_sizes) < 1000
            await app.store.txn([], [Put('op/config', b'new')])
            await app.store.txn([], [Put('servers/z9', b'new')])
            app.forwards_watches = True
            with trio.fail_after(5):
                event = await anext(events)
        assert event.key.startswith(prefix)
        assert event.value == b'new'


async def test_next_page_begins_after_a_malformed_item(
    autojump_clock: MockClock,
) -> None:
    """Otherwise the same page is read until the limit of pages."""
    async with _open_odd_store() as (store, app, _):
        first = [json.dumps(_item('a')).encode(), b'{"key":"b"}']
        app.pages = [(first, True), ([json.dumps(_item('c')).encode()], False)]
        found = await store.range('')
        assert [item.key for item in found] == ['a', 'c']
        assert app.queries == [b'prefix=', b'prefix=&after=b']


async def test_page_without_a_new_key_is_not_read_again(
    autojump_clock: MockClock,
) -> None:
    """Each read is counted toward the limits of the platform."""
    async with _open_odd_store() as (store, app, _):
        app.pages = [([b'7'], True)] * 5
        with pytest.raises(StoreProtocolError):
            await store.range('')
        assert len(app.queries) == 1


async def test_malformed_entry_that_remains_is_reported_once() -> None:
    """Each watch that is opened reads it again."""
    events = FakeEvents()
    store = InstrumentedStore(MemoryStore())
    store._events = events
    for key in ('a', 'a', 'b', 'a'):
        store._report_malformed(key, 'no base64')
    assert [fields['key'] for _, fields in events.emitted] == ['a', 'b']
    for index in range(2000):
        store._report_malformed(str(index), 'no base64')
    assert len(store._reported) < 1000


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
