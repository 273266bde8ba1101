"""Tests of the adapter for the etcd v3 JSON gateway."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pytest
import trio

from gypsumhall.errors import StoreProtocolError
from gypsumhall.errors import StoreUnavailableError
from gypsumhall.errors import StoreUnknownError
from gypsumhall.standin import Platform
from gypsumhall.standin import serve_platform
from gypsumhall.store import _etcd
from gypsumhall.store import Compare
from gypsumhall.store import EtcdStore
from gypsumhall.store import LeaseId
from gypsumhall.store import Put
from gypsumhall.store import Revision
from gypsumhall.testing.http_network import HttpNetwork
from gypsumhall.testing.platform import open_platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock

FIRST_ADDRESS = '127.0.0.1:1'
SECOND_ADDRESS = '127.0.0.1:2'


@asynccontextmanager
async def _two_gateways() -> AsyncIterator[
    tuple[EtcdStore, Platform, HttpNetwork]
]:
    async with (
        open_platform() as opened,
        opened.open_store(FIRST_ADDRESS, SECOND_ADDRESS) as store,
    ):
        yield store, opened.platform, opened.network


class _ScriptedGateway:
    """ASGI application with scripted responses that records requests."""

    def __init__(self, *bodies: str, status: int = 200) -> None:
        self._bodies = list(bodies)
        self._status = status
        self.requests: list[Any] = []

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        body = b''
        while True:
            message = await receive()
            body += message.get('body', b'')
            if not message.get('more_body'):
                break
        self.requests.append((scope['path'], msgspec.json.decode(body)))
        await send(
            {
                'type': 'http.response.start',
                'status': self._status,
                'headers': [],
            }
        )
        await send(
            {
                'type': 'http.response.body',
                'body': self._bodies.pop(0).encode(),
            }
        )


@asynccontextmanager
async def _open_scripted_store(
    gateway: _ScriptedGateway,
) -> AsyncIterator[EtcdStore]:
    async with trio.open_nursery() as nursery:
        network = HttpNetwork(nursery)
        network.listen(FIRST_ADDRESS, gateway)
        async with EtcdStore(
            [FIRST_ADDRESS], network_backend=network
        ) as store:
            yield store
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('fault', ['refused', 'unreachable'])
async def test_calls_fail_over_from_an_unreachable_gateway(
    autojump_clock: MockClock, fault: str
) -> None:
    async with _two_gateways() as (store, platform, network):
        getattr(network, fault).add(FIRST_ADDRESS)
        assert (await store.txn([Compare('k')], [Put('k', b'')])).succeeded
        started = trio.current_time()
        assert await store.get('k') is not None
        # The address that responded last is tried first.
        assert trio.current_time() == started
        async with store.watch('k') as events:
            await store.txn([], [Put('k', b'2')])
            assert (await anext(events)).value == b'2'
        getattr(network, fault).add(SECOND_ADDRESS)
        await store.aclose()
        with pytest.raises(StoreUnavailableError):
            await store.txn([], [Put('k', b'3')])
        with pytest.raises(StoreUnavailableError):
            async with store.watch('k'):
                pass
        assert platform.stats['calls']['txn'] == 1


async def test_a_write_is_never_sent_twice(
    autojump_clock: MockClock,
) -> None:
    # Guards against a write that is executed twice because it is retried
    # after its response was lost.
    async with _two_gateways() as (store, platform, _):
        platform.set_faults({'lose_responses': 1})
        with pytest.raises(StoreUnknownError):
            await store.txn([Compare('k')], [Put('k', b'')])
        assert platform.stats['calls'] == {'txn': 1}
        platform.set_faults({'hang': True})
        with pytest.raises(StoreUnavailableError):
            await store.get('k')
        # A read is tried at both gateways.
        assert platform.stats['calls']['range'] == 2


async def test_calls_recover_when_open_connections_stall_permanently(
    autojump_clock: MockClock,
) -> None:
    async with _two_gateways() as (two_gateways_store, _, network):
        store = EtcdStore([FIRST_ADDRESS], network_backend=network)
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(store.get, 'k')
        async with two_gateways_store.watch('k') as events:
            network.silence_open_connections()
            assert await store.get('k') is None
            started = trio.current_time()
            assert (await store.txn([], [Put('k', b'1')])).succeeded
            assert trio.current_time() == started
            assert (await anext(events)).value == b'1'


async def test_a_silent_watch_is_reopened_without_losing_events(
    autojump_clock: MockClock,
) -> None:
    async with _two_gateways() as (store, platform, _):
        async with store.watch('w') as events:
            platform.set_faults({'silence_watches': True})
            await store.txn([], [Put('w', b'1')])
            await store.txn([], [Put('w', b'2')])
            started = trio.current_time()
            assert (await anext(events)).value == b'1'
            assert (await anext(events)).value == b'2'
            assert trio.current_time() - started <= store.watch_idle_timeout_s
            await store.txn([], [Put('w', b'3')])
            assert (await anext(events)).value == b'3'
        await trio.sleep(1)
        assert platform.stats['watches'] == 0


async def test_ranges_are_read_in_pages_at_one_revision(
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_etcd, 'PAGE_KEYS', 10)
    monkeypatch.setattr(_etcd, 'MAX_RESPONSE_BYTES', 8_000)
    async with _two_gateways() as (store, platform, _):
        keys = [f'p/{index:03}' for index in range(53)]
        for key in keys:
            await store.txn([], [Put(key, bytes(1000))])
        # Ten values exceed the size limit of a response, so pages of fewer
        # keys are requested.
        assert [item.key for item in await store.range('p/')] == keys
        assert platform.stats['calls']['range'] > 53 // 10
        platform.set_faults({'delay_s': 0.1})
        results: list[list[str]] = []

        async def read() -> None:
            results.append([item.key for item in await store.range('p/')])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await trio.sleep(0.55)
            platform.set_faults({'delay_s': 0})
            await store.txn([], [Put('p/000a', b'')])
            platform.set_faults({'compact': True})
        # The compaction interrupts the first read; the restarted one returns
        # all keys.
        assert results == [sorted([*keys, 'p/000a'])]


async def test_requests_and_responses_follow_the_published_mapping(
    autojump_clock: MockClock,
) -> None:
    # The other tests use the stand-in of etcd; this one guards against errors
    # in the JSON mapping that adapter and stand-in have in common.
    gateway = _ScriptedGateway(
        '{"header":{"cluster_id":"12585971608760269493","revision":"3"},'
        '"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2",'
        '"version":"1","value":"YmFy"}],"count":"1"}',
        '{"header":{"revision":"4"},"succeeded":true,"responses":'
        '[{"response_put":{"header":{"revision":"4"}}}]}',
        '{"header":{"revision":"4"}}',
        '{"header":{"revision":"4"},"ID":"7587848390000000001","TTL":"10"}',
        '{"result":{"header":{"revision":"4"},"ID":"7587848390000000001",'
        '"TTL":"10"}}\n',
        '{"result":{"header":{"revision":"4"},"ID":"7587848390000000001"}}\n',
        '{"result":{"header":{"revision":"12"},"created":true}}\n'
        '{"result":{"header":{"revision":"12"}}}\n'
        '{"result":{"header":{"revision":"13"},"events":[{"kv":{"key":'
        '"Zm9v","mod_revision":"13","value":"YmFy"}},{"type":"DELETE",'
        '"kv":{"key":"Zm9v","mod_revision":"14"}}]}}\n',
    )
    async with _open_scripted_store(gateway) as store:
        item = await store.get('foo')
        assert item is not None
        assert (item.value, item.mod_revision.number) == (b'bar', 2)
        result = await store.txn(
            [Compare('foo', Revision(0, 2))],
            [Put('foo', b'bar', LeaseId(0, 9))],
        )
        assert (result.succeeded, result.revision.number) == (True, 4)
        # The field `succeeded` is omitted when it is false.
        failed = await store.txn(
            [Compare('foo', Revision(0, 2))], [Put('foo', b'bar')]
        )
        assert not failed.succeeded
        lease = await store.grant_lease(10)
        assert lease == LeaseId(0, 7587848390000000001)
        assert await store.keep_alive(lease)
        assert not await store.keep_alive(lease)
        async with store.watch('foo', Revision(0, 12)) as events:
            received = [await anext(events), await anext(events)]
        assert [(item.value, item.revision.number) for item in received] == [
            (b'bar', 13),
            (None, 14),
        ]
    assert gateway.requests[0] == ('/v3/kv/range', {'key': 'Zm9v'})
    assert gateway.requests[1][0] == '/v3/kv/txn'
    assert msgspec.json.encode(gateway.requests[1][1]) == (
        b'{"compare":[{"key":"Zm9v","target":"MOD","result":"EQUAL",'
        b'"mod_revision":"2"}],"success":[{"request_put":'
        b'{"key":"Zm9v","value":"YmFy","lease":"9"}}]}'
    )
    assert gateway.requests[6][1]['create_request']['range_end'] == 'Zm9w'


@pytest.mark.parametrize(
    ('status', 'body', 'error'),
    [
        (503, '{"code":14,"message":"etcdserver: request timed out"}', True),
        (503, '{"code":14,"message":"etcdserver: no leader"}', False),
        (429, '{"code":8,"message":"etcdserver: too many requests"}', False),
        (400, '{"code":3,"message":"etcdserver: request is too"}', False),
        (502, '<html>bad gateway</html>', True),
        (404, '<html>not found</html>', None),
    ],
)
async def test_error_responses_are_classified(
    autojump_clock: MockClock,
    status: int,
    body: str,
    error: bool | None,
) -> None:
    expected: dict[Any, Any] = {
        True: StoreUnknownError,
        False: StoreUnavailableError,
        None: StoreProtocolError,
    }
    async with _open_scripted_store(
        _ScriptedGateway(body, status=status)
    ) as store:
        with pytest.raises(expected[error]):
            await store.txn([Compare('k')], [Put('k', b'')])


@pytest.mark.parametrize(
    'kind',
    ['text', 'shape', 'types', 'base64', 'other-key', 'truncated', 'huge'],
)
async def test_malformed_responses_are_rejected(
    autojump_clock: MockClock, kind: str
) -> None:
    async with _two_gateways() as (store, platform, _):
        await store.txn([], [Put('k', b'1')])
        lease = await store.grant_lease(10)
        calls = [
            lambda: store.get('k'),
            lambda: store.range('k'),
            lambda: store.keep_alive(lease),
            lambda: store.grant_lease(10),
        ]
        for call in calls:
            platform.set_faults({'nonsense': 9, 'nonsense_kind': kind})
            with pytest.raises(StoreProtocolError):
                await call()
        with pytest.raises((StoreProtocolError, StoreUnavailableError)):
            async with store.watch('k') as events:
                await anext(events)
        platform.set_faults({'nonsense': 0})
        item = await store.get('k')
        assert item is not None
        assert item.value == b'1'


async def test_calls_and_watches_work_over_tcp() -> None:
    shutdown = trio.Event()
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            platform = Platform()
            address = await nursery.start(
                serve_platform, platform, '127.0.0.1:0', shutdown
            )
            async with (
                EtcdStore([address], timeout_s=20) as store,
                store.watch('k') as events,
            ):
                await store.txn([Compare('k')], [Put('k', b'1')])
                assert (await anext(events)).value == b'1'
                # The server shuts down although a watch is open.
                shutdown.set()
                with pytest.raises(StoreUnavailableError):
                    await anext(events)
