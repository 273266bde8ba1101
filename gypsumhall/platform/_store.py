"""Client of the platform's metadata store."""

from __future__ import annotations

from contextlib import asynccontextmanager
import functools
import json
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
import trio

from gypsumhall._decode import decode
from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import StoreCompactedError
from gypsumhall._errors import StoreProtocolError
from gypsumhall._errors import StoreUnavailableError
from gypsumhall._errors import StoreUnknownError
from gypsumhall.core._member import Count
from gypsumhall.platform import _http_client
from gypsumhall.store import Delete
from gypsumhall.store import KeyValue
from gypsumhall.store import LeaseId
from gypsumhall.store import NO_LEASE
from gypsumhall.store import NO_REVISION
from gypsumhall.store import Put
from gypsumhall.store import Revision
from gypsumhall.store import StoreLeaseError
from gypsumhall.store import StoreLimitError
from gypsumhall.store import TxnResult
from gypsumhall.store import WatchEvent
from gypsumhall.store._etcd import check_writes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from gypsumhall.store import Compare

T = TypeVar('T')
ListResponse = TypeVar('ListResponse', '_Page', '_Events')

MAX_TXN_ENTRIES = 32
"""Maximum entries of a transaction, from the platform's documentation."""

MAX_KEY_BYTES = 200
"""Maximum length of a key, from the platform's documentation."""

_CALL_TIMEOUT_S = 1.2
"""Timeout of a call. The platform responds within milliseconds, and a lost
response is detected only by this timeout."""

_WATCH_POLL_S = 1.2
"""Time for which the platform holds a long poll without events. A poll that
gets no response is detected after this time plus `_CALL_TIMEOUT_S`. By the
users' rules, a version has to be in force 3 s after connections went silent,
so the rest remains for reading it again and for its distribution."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Largest response that is read, as in `gypsumhall.store._etcd`."""

_ERA_HEADER = b'store-era'
_MAX_ERA_DIGITS = 18
_MAX_PAGES = 200
_MAX_CONNECTIONS = 16

_LAST_KEY = '~'
"""Sorts after the letters, digits and separators of which keys consist."""

_KEEPALIVE_EXPIRY_S = 5.0
"""Time in seconds after which an idle connection is closed."""


class _OutdatedEraError(Exception):
    """A response is from an era before the one that is known."""


_NO_RESPONSE_ERRORS = (
    _http_client.ConnectError,
    _http_client.ResponseError,
    _http_client.TooLargeError,
    _OutdatedEraError,
    trio.TooSlowError,
)


class _Item(msgspec.Struct):
    key: str
    revision: Count
    value: bytes = b''
    lease: int = 0
    tombstone: bool = False


class _ItemKey(msgspec.Struct):
    key: str


_ITEM_DECODER = msgspec.json.Decoder(_Item)
_ITEM_KEY_DECODER = msgspec.json.Decoder(_ItemKey)


class _Read(msgspec.Struct):
    key: str
    value: bytes
    revision: int
    lease: int = 0


# Items are decoded one by one, so that a malformed one does not make the
# others unreadable.
class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    has_more: bool = msgspec.field(name='hasMore', default=False)
    current: int = msgspec.field(name='currentRev', default=0)


class _Events(msgspec.Struct):
    events: list[msgspec.Raw]
    current: int = msgspec.field(name='currentRev')


class _Precondition(msgspec.Struct):
    key: str
    revision: int


class _Put(msgspec.Struct):
    key: str
    value: bytes
    lease: int


class _Txn(msgspec.Struct):
    precondition: list[_Precondition]
    puts: list[_Put]
    delete: list[str]


class _TxnResponse(msgspec.Struct):
    revision: int


class _FailedItem(msgspec.Struct):
    revision: int = 0


class _Failed(msgspec.Struct):
    items: list[_FailedItem] = []


class _LeaseRequest(msgspec.Struct):
    ttl_ms: int = msgspec.field(name='ttlMs')


class _LeaseResponse(msgspec.Struct):
    lease: int


class _Response(msgspec.Struct):
    status: int
    body: bytes
    era: int

    def build_key_value(self, item: _Item | _Read) -> KeyValue:
        return KeyValue(
            item.key,
            item.value,
            Revision(self.era, item.revision),
            LeaseId(self.era, item.lease) if item.lease else NO_LEASE,
        )


class KvStore:
    """Client of the platform's metadata store; implements `Store`.

    Responses name the era of the store, which rises whenever the store is
    restored from a copy. Responses of an era before the highest known one are
    not used, and watches end with the era in which they began.

    Parameters
    ----------
    address : str
        ``<ip>:<port>`` of the store.
    network : Network, optional
        Opens connections; by default over TCP.
    """

    __slots__ = (
        '_call_client',
        '_era',
        '_polls',
        '_report',
        '_watch_client',
    )

    def __init__(
        self,
        address: str,
        network: _http_client.Network | None = None,
    ) -> None:
        self._era = 0
        self._polls: set[trio.CancelScope] = set()
        self._report: Callable[[str, str], None] | None = None

        def open_client() -> _http_client.Client:
            return _http_client.Client(
                network or _http_client.TcpNetwork(),
                address,
                max_connections=_MAX_CONNECTIONS,
                idle_s=_KEEPALIVE_EXPIRY_S,
                max_body_bytes=MAX_RESPONSE_BYTES,
            )

        self._call_client = open_client()
        # Watches are long polls; with connections of their own, they do not
        # delay other calls.
        self._watch_client = open_client()

    @property
    def era(self) -> int:
        """Highest era that a response has named; 0 before the first one."""
        return self._era

    def set_reporter(self, report: Callable[[str, str], None]) -> None:
        """Set a function to call with key and reason of malformed items."""
        self._report = report

    async def aclose(self) -> None:
        """Close the connections; the calls on them have ended."""
        await self._call_client.close_idle()
        await self._watch_client.close_idle()

    async def get(self, key: str, *, stale: bool = False) -> KeyValue | None:
        """Read one key; None when it does not exist.

        Parameters
        ----------
        key : str
            The key.
        stale : bool
            Whether a value that is seconds old is acceptable; such a read
            costs a tenth of a regular one.
        """
        query: dict[str, Any] = {'key': key}
        if stale:
            query['allowStale'] = 1
        response = await self._read('/v1/kv-key', query)
        if response.status == 404:
            return None
        return response.build_key_value(_decode(response, _Read))

    async def range(self, prefix: str) -> list[KeyValue]:
        """Read all keys that start with a prefix, in key order.

        Long ranges are read page by page. Malformed items are skipped.
        """
        return (await self.range_at(prefix))[0]

    async def range_at(self, prefix: str) -> tuple[list[KeyValue], Revision]:
        """Read as `range` does, and return the revision of the first page."""
        entries: dict[str, KeyValue] = {}
        revision = NO_REVISION
        after = ''
        era = -1
        for _ in range(_MAX_PAGES):
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            response = await self._read('/v1/kv-range', query)
            if era not in (-1, response.era):
                raise StoreUnavailableError(
                    f'{prefix!r}: the store was restored between two pages'
                )
            era = response.era
            page = _decode_list(response, _Page, 'items')
            if revision == NO_REVISION:
                revision = Revision(era, page.current)
            for item in self._decode_items(page.items):
                entries[item.key] = response.build_key_value(item)
            if not page.has_more or not page.items:
                return [entries[key] for key in sorted(entries)], revision
            last_key = max(map(_read_key, page.items))
            if last_key <= after:
                raise StoreProtocolError(f'{prefix!r}: page without a new key')
            after = last_key
        raise StoreProtocolError(f'{prefix!r} exceeds {_MAX_PAGES} pages')

    async def txn(
        self,
        compares: Sequence[Compare],
        writes: Sequence[Put | Delete],
    ) -> TxnResult:
        """Execute all writes if all conditions hold, else none.

        Raises
        ------
        StoreUnknownError
            Also when the store was restored before the writes, which then
            were executed without the conditions or the lease being checked.
        """
        check_writes(writes)
        _check_limits(compares, writes)
        eras = _condition_eras(compares)
        lease_eras = _lease_eras(writes)
        if any(era < self._era for era in eras):
            return TxnResult(False, NO_REVISION)
        if any(era < self._era for era in lease_eras):
            raise StoreLeaseError('the store has lost the lease')
        body = _Txn(
            [
                _Precondition(item.key, item.mod_revision.number)
                for item in compares
            ],
            [
                _Put(item.key, item.value, item.lease.number)
                for item in writes
                if isinstance(item, Put)
            ],
            [item.key for item in writes if isinstance(item, Delete)],
        )
        response = await self._write('/v1/kv-txn', body)
        if response.status == 412:
            failed = _decode(response, _Failed, 412)
            revisions = [item.revision for item in failed.items]
            return TxnResult(
                False, Revision(response.era, max(revisions, default=0))
            )
        if response.status == 404:
            raise StoreLeaseError('the lease has expired')
        number = _decode(response, _TxnResponse).revision
        if any(era != response.era for era in (*eras, *lease_eras)):
            raise StoreUnknownError(
                f'the writes were executed in era {response.era}, to which '
                'their conditions do not belong'
            )
        return TxnResult(True, Revision(response.era, number))

    async def grant_lease(self, ttl_s: int) -> LeaseId:
        """Create a lease that expires without renewal; return its id."""
        body = _LeaseRequest(ttl_s * 1000)
        response = await self._write('/v1/kv-lease', body)
        return LeaseId(response.era, _decode(response, _LeaseResponse).lease)

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Renew a lease once; False when it has expired or is lost."""
        if lease.era < self._era:
            return False
        response = await self._write(f'/v1/kv-keep/{lease.number}')
        if response.status == 404:
            return False
        _check_status(response)
        return response.era == lease.era

    async def revoke(self, lease: LeaseId) -> None:
        """End a lease and remove its keys."""
        if lease.era < self._era:
            # The number may identify a lease of another client now.
            return
        path = f'/v1/kv-lease-end/{lease.number}'
        response = await self._write(path, method='DELETE')
        if response.status != 404:
            _check_status(response)

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: Revision = NO_REVISION
    ) -> AsyncIterator[AsyncIterator[WatchEvent]]:
        """Watch all keys that start with a prefix."""
        if from_revision != NO_REVISION:
            after = Revision(from_revision.era, from_revision.number - 1)
        else:
            # Only the current revision is needed. A page that begins after
            # the last key has no items, which may take megabytes.
            query = {'prefix': prefix, 'after': prefix + _LAST_KEY}
            response = await self._read('/v1/kv-range', query)
            page = _decode_list(response, _Page, 'items')
            after = Revision(response.era, page.current)
        events = self._poll(prefix, after)
        try:
            yield events
        finally:
            await events.aclose()  # type: ignore[attr-defined]

    async def _poll(
        self, prefix: str, after: Revision
    ) -> AsyncIterator[WatchEvent]:
        wait_ms = int(_WATCH_POLL_S * 1000)
        while True:
            query = {
                'prefix': prefix,
                'after': after.number,
                'waitMs': wait_ms,
            }
            response = await self._poll_once(query, after)
            if response.status == 410:
                raise StoreCompactedError(f'revision {after} is compacted')
            batch = _decode_list(response, _Events, 'events')
            items = self._decode_items(batch.events)
            for item in sorted(items, key=lambda item: item.revision):
                value = None if item.tombstone else item.value
                revision = Revision(response.era, item.revision)
                yield WatchEvent(item.key, value, revision)
            after = max(after, Revision(response.era, batch.current))

    async def _poll_once(
        self, query: dict[str, Any], after: Revision
    ) -> _Response:
        response: _Response | None = None
        with trio.CancelScope() as scope:
            if after.era == self._era:
                self._polls.add(scope)
                try:
                    response = await self._read(
                        '/v1/kv-watch',
                        query,
                        _WATCH_POLL_S + _CALL_TIMEOUT_S,
                        self._watch_client,
                    )
                finally:
                    self._polls.discard(scope)
        if response is None or response.era != after.era:
            raise StoreCompactedError(
                f'revision {after} is not part of era {self._era}'
            )
        return response

    def _set_era(self, era: int) -> None:
        if era <= self._era:
            return
        self._era = era
        # A poll of an earlier era may stay silent until its time-out.
        for scope in self._polls:
            scope.cancel()

    def _decode_items(self, items: Iterable[msgspec.Raw]) -> Iterator[_Item]:
        for data in items:
            try:
                yield decode(_ITEM_DECODER.decode, bytes(data), 'item')
            except MalformedDataError as error:
                if self._report is not None:
                    self._report(_read_key(data), str(error))

    async def _read(
        self,
        path: str,
        query: dict[str, Any],
        timeout_s: float = _CALL_TIMEOUT_S,
        client: _http_client.Client | None = None,
    ) -> _Response:
        try:
            return await self._call(
                'GET', f'{path}?{urlencode(query)}', b'', timeout_s, client
            )
        except _NO_RESPONSE_ERRORS as error:
            raise StoreUnavailableError(f'{path}: {error!r}') from error

    async def _write(
        self,
        path: str,
        body: msgspec.Struct | None = None,
        method: str = 'POST',
    ) -> _Response:
        content = b'' if body is None else msgspec.json.encode(body)
        try:
            return await self._call(method, path, content, _CALL_TIMEOUT_S)
        except _http_client.ConnectError as error:
            raise StoreUnavailableError(f'{path}: {error!r}') from error
        except _NO_RESPONSE_ERRORS as error:
            raise StoreUnknownError(f'{path}: {error!r}') from error

    async def _call(
        self,
        method: str,
        target: str,
        content: bytes,
        timeout_s: float,
        client: _http_client.Client | None = None,
    ) -> _Response:
        content_type = b'application/json' if content else b''
        try:
            with trio.fail_after(timeout_s):
                response = await (client or self._call_client).request(
                    method.encode(), target.encode(), content, content_type
                )
        except trio.TooSlowError:
            await self._close_idle()
            raise
        era = _read_era(response, self._era)
        self._set_era(era)
        if response.status in (429, 503):
            raise StoreUnavailableError(
                f'{target.partition("?")[0]}: status {response.status}'
            )
        if era < self._era:
            raise _OutdatedEraError(f'era {era}, expected {self._era}')
        return _Response(response.status, response.body, era)

    async def _close_idle(self) -> None:
        """Close idle connections, which may be silent as another one was."""
        for client in (self._call_client, self._watch_client):
            await client.close_idle()


def _read_era(response: _http_client.Response, default: int) -> int:
    """Return the era of a response; `default` when it names none."""
    for name, value in response.headers:
        if (
            name.lower() == _ERA_HEADER
            and value.isdigit()
            and len(value) <= _MAX_ERA_DIGITS
        ):
            return int(value)
    return default


def _condition_eras(compares: Sequence[Compare]) -> set[int]:
    return {
        item.mod_revision.era
        for item in compares
        if item.mod_revision != NO_REVISION
    }


def _lease_eras(writes: Sequence[Put | Delete]) -> set[int]:
    return {
        item.lease.era
        for item in writes
        if isinstance(item, Put) and item.lease != NO_LEASE
    }


def _check_limits(
    compares: Sequence[Compare], writes: Sequence[Put | Delete]
) -> None:
    if len(compares) + len(writes) > MAX_TXN_ENTRIES:
        raise StoreLimitError(
            f'{len(compares) + len(writes)} entries; a transaction has at '
            f'most {MAX_TXN_ENTRIES}'
        )
    for item in (*compares, *writes):
        if len(item.key.encode()) > MAX_KEY_BYTES:
            raise StoreLimitError(
                f'key {item.key!r} exceeds the maximum length'
            )


def _check_status(response: _Response, expected: int = 200) -> None:
    if response.status != expected:
        raise StoreProtocolError(
            f'status {response.status}: {response.body[:200]!r}'
        )


def _read_key(item: msgspec.Raw) -> str:
    """Return the key of an item; empty when it cannot be read."""
    try:
        return decode(_ITEM_KEY_DECODER.decode, bytes(item), 'item').key
    except MalformedDataError:
        return ''


def _decode_list(
    response: _Response, kind: type[ListResponse], name: str
) -> ListResponse:
    """Decode a response with a list of items that may be malformed.

    `msgspec` rejects the whole response for text that is not Unicode, lone
    surrogates among it, so the items are separated by `json` then.
    """
    _check_status(response)
    try:
        return _decode(response, kind)
    except StoreProtocolError:
        fields = _load_object(response)
        items = fields.get(name)
        if not isinstance(items, list):
            raise
    separated = [msgspec.Raw(json.dumps(item).encode()) for item in items]
    try:
        result = msgspec.convert({**fields, name: []}, kind)
    except msgspec.ValidationError as error:
        raise StoreProtocolError(f'{kind.__name__}: {error}') from error
    setattr(result, name, separated)
    return result


def _load_object(response: _Response) -> dict[str, Any]:
    text = response.body.decode(errors='replace')
    try:
        fields = decode(lambda _: json.loads(text), response.body, 'response')
    except MalformedDataError as error:
        raise StoreProtocolError(str(error)) from error
    return fields if isinstance(fields, dict) else {}


def _decode(response: _Response, kind: type[T], expected: int = 200) -> T:
    _check_status(response, expected)
    try:
        return decode(
            functools.partial(msgspec.json.decode, type=kind),
            response.body,
            kind.__name__,
        )
    except MalformedDataError as error:
        raise StoreProtocolError(str(error)) from error
