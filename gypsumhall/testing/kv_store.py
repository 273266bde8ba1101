"""Stand-in of the metadata store that `gypsumhall.platform.KvStore` calls.

A `MemoryStore` provides the state and the faults; this module adds the HTTP
interface that the platform publishes.
"""

from __future__ import annotations

import base64
from contextlib import asynccontextmanager
import json
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import trio

from gypsumhall._errors import StoreCompactedError
from gypsumhall._errors import StoreProtocolError
from gypsumhall._errors import StoreUnavailableError
from gypsumhall._errors import StoreUnknownError
from gypsumhall.platform import KvStore
from gypsumhall.store import Compare
from gypsumhall.store import Delete
from gypsumhall.store import LeaseId
from gypsumhall.store import NO_LEASE
from gypsumhall.store import NO_REVISION
from gypsumhall.store import Put
from gypsumhall.store import Revision
from gypsumhall.store import StoreLeaseError
from gypsumhall.testing.http_network import HttpNetwork
from gypsumhall.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from gypsumhall.store import KeyValue
    from gypsumhall.store import WatchEvent

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

ADDRESS = '127.0.0.1:8627'
"""Address at which `open_kv_store` serves the stand-in."""

_MAX_PAGE_ITEMS = 500


def _encode_item(found: KeyValue) -> dict[str, Any]:
    return {
        'key': found.key,
        'value': base64.b64encode(found.value).decode(),
        'revision': found.mod_revision.number,
        'createRev': found.mod_revision.number,
        'lease': found.lease.number,
    }


def _encode_event(event: WatchEvent) -> dict[str, Any]:
    number = event.revision.number
    body: dict[str, Any] = {'key': event.key, 'revision': number}
    if event.value is None:
        return {**body, 'tombstone': True}
    value = base64.b64encode(event.value).decode()
    return {**body, 'value': value, 'createRev': number, 'lease': 0}


class KvApp:
    """ASGI application with the interface of the metadata store.

    Parameters
    ----------
    store : MemoryStore
        Provides the state and the faults.

    Attributes
    ----------
    refuse : int or None
        Status code that rejects every request, for example 429;
        None to execute requests.
    watches_to_reject : int
        Number of the next watch requests that are rejected.
    silent_watches : bool
        Whether watch requests, open ones as well, get no response.
    """

    def __init__(self, store: MemoryStore) -> None:
        self.store = store
        self.refuse: int | None = None
        self.watches_to_reject = 0
        self.silent_watches = False

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Handle a request."""
        body = b''
        more = True
        while more:
            message = await receive()
            body += message.get('body', b'')
            more = message.get('more_body', False)
        status, content = await self._respond(scope, body)
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (b'content-type', b'application/json'),
                    (b'store-era', b'%d' % self.store.era),
                ],
            }
        )
        await send({'type': 'http.response.body', 'body': content})

    async def _respond(
        self, scope: dict[str, Any], body: bytes
    ) -> tuple[int, bytes]:
        if self.refuse is not None:
            return self.refuse, b'{}'
        query = dict(parse_qsl(scope['query_string'].decode()))
        try:
            status, value = await self._execute(scope['path'], query, body)
        except StoreLeaseError:
            return 404, b'{}'
        except StoreUnavailableError as error:
            if 'no response' in str(error):
                await trio.sleep_forever()
            return 503, b'{}'
        except StoreUnknownError:
            await trio.sleep_forever()
        except StoreProtocolError:
            return 200, b'nonsense'
        except StoreCompactedError:
            return 410, b'{}'
        return status, json.dumps(value).encode()

    async def _execute(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        store = self.store
        name, _, argument = path.removeprefix('/v1/').partition('/')
        match name:
            case 'kv-key':
                found = await store.get(query['key'])
                if found is None:
                    return 404, {}
                return 200, {
                    **_encode_item(found),
                    'currentRev': store.revision.number,
                }
            case 'kv-range':
                return 200, await self._range(query)
            case 'kv-watch':
                try:
                    return 200, await self._watch(query)
                finally:
                    if self.silent_watches:
                        await trio.sleep_forever()
            case 'kv-txn':
                return await self._txn(json.loads(body))
            case 'kv-lease':
                ttl_ms = json.loads(body)['ttlMs']
                lease = await store.grant_lease(ttl_ms // 1000)
                return 200, {'lease': lease.number, 'ttlMs': ttl_ms}
            case 'kv-keep':
                renewed = await store.keep_alive(
                    self._build_lease(int(argument))
                )
                return (200, {'ttlMs': 1000}) if renewed else (404, {})
            case 'kv-lease-end':
                await store.revoke(self._build_lease(int(argument)))
                return 200, {}
        return 404, {}

    async def _range(self, query: dict[str, str]) -> dict[str, Any]:
        items = await self.store.range(query['prefix'])
        after = query.get('after', '')
        remaining = [item for item in items if item.key > after]
        return {
            'items': [
                _encode_item(item) for item in remaining[:_MAX_PAGE_ITEMS]
            ],
            'hasMore': len(remaining) > _MAX_PAGE_ITEMS,
            'currentRev': self.store.revision.number,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        if self.watches_to_reject:
            self.watches_to_reject -= 1
            raise StoreUnavailableError('watch: injected termination')
        after = Revision(self.store.era, int(query['after']))
        found: list[WatchEvent] = []
        current = max(after, self.store.revision)
        async with self.store.watch(query['prefix'], after.next()) as events:
            with trio.move_on_after(int(query['waitMs']) / 1000):
                found.append(await anext(events))
            if found:
                with trio.move_on_after(0):
                    async for event in events:
                        found.append(event)
        if found:
            current = found[-1].revision
        return {
            'events': [_encode_event(event) for event in found],
            'currentRev': current.number,
        }

    def _build_revision(self, number: int) -> Revision:
        return Revision(self.store.era, number) if number else NO_REVISION

    def _build_lease(self, number: int) -> LeaseId:
        return LeaseId(self.store.era, number) if number else NO_LEASE

    async def _txn(self, body: dict[str, Any]) -> tuple[int, Any]:
        compares = [
            Compare(item['key'], self._build_revision(item['revision']))
            for item in body['precondition']
        ]
        puts = [
            Put(
                item['key'],
                base64.b64decode(item['value']),
                self._build_lease(item['lease']),
            )
            for item in body['puts']
        ]
        deletes = [Delete(key) for key in body['delete']]
        writes: list[Put | Delete] = [*puts, *deletes]
        result = await self.store.txn(compares, writes)
        if result.succeeded:
            return 200, {'revision': result.revision.number}
        return 412, {'items': []}


@asynccontextmanager
async def open_kv_store() -> AsyncIterator[tuple[KvStore, KvApp, HttpNetwork]]:
    """Serve a stand-in; yield a client, the application and the network."""
    async with trio.open_nursery() as nursery:
        app = KvApp(MemoryStore())
        network = HttpNetwork(nursery)
        network.listen(ADDRESS, app)
        store = KvStore(ADDRESS, network)
        yield store, app, network
        with trio.CancelScope(shield=True):
            await store.aclose()
        nursery.cancel_scope.cancel()
