"""Adapter for the etcd v3 JSON gateway.

The gateway maps each remote call to ``POST /v3/...`` with a JSON body. Keys
and values are base64, 64-bit integers are strings, and fields that have
their default value are omitted.
"""

from __future__ import annotations

import base64
from collections import deque
from contextlib import asynccontextmanager
import functools
from typing import Any
from typing import Protocol
from typing import Self
from typing import TYPE_CHECKING
from typing import TypeVar

import httpcore
import msgspec
import trio

from gypsumhall._decode import decode
from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import StoreCompactedError
from gypsumhall._errors import StoreProtocolError
from gypsumhall._errors import StoreUnavailableError
from gypsumhall._errors import StoreUnknownError
from gypsumhall.core._revision import LeaseId
from gypsumhall.core._revision import NO_REVISION
from gypsumhall.core._revision import Revision
from gypsumhall.store._protocol import Delete
from gypsumhall.store._protocol import KeyValue
from gypsumhall.store._protocol import MAX_VALUE_BYTES
from gypsumhall.store._protocol import Put
from gypsumhall.store._protocol import StoreLeaseError
from gypsumhall.store._protocol import StoreLimitError
from gypsumhall.store._protocol import TxnResult
from gypsumhall.store._protocol import WatchEvent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from gypsumhall.store._protocol import Compare

T = TypeVar('T')

MAX_KEY_BYTES = 1024
"""Longest key that the adapter sends."""

MAX_TXN_BYTES = 1_500_000
"""Largest total size of the keys and values of a transaction.

By default etcd rejects requests of more than 1.5 MiB.
"""

MAX_TXN_WRITES = 128
"""Largest number of writes in a transaction, the default limit of etcd."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Largest response or watch message that the adapter accepts."""

PAGE_KEYS = 128
"""Largest number of keys per request when reading a range."""

_MAX_RANGE_ATTEMPTS = 3

_ERA = 0
"""Era of all revisions and leases, as the gateway reports none."""

_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)

_CODE_NOT_FOUND = 5
_CODE_OUT_OF_RANGE = 11

# gRPC status codes with which etcd rejects a request before it is proposed
# to the cluster: invalid argument, not found, permission denied, resource
# exhausted, failed precondition, out of range, unimplemented,
# unauthenticated.
_REJECTION_CODES = frozenset({3, 5, 7, 8, 9, 11, 12, 16})

# The status `unavailable` (14) is also used for requests that timed out
# after they were proposed. Only with these messages the request was certainly
# not proposed.
_NOT_PROPOSED_MESSAGES = (
    'Error while dialing',
    'there is no address available',
    'there is no connection available',
    'etcdserver: no leader',
)


class _NotExecutedError(Exception):
    """The gateway did not execute the request; try the next one."""


class _MaybeExecutedError(Exception):
    """The request was sent, but its response is missing or inconclusive."""


class _TooLargeError(StoreProtocolError):
    """A response exceeds `MAX_RESPONSE_BYTES`."""


class _Header(msgspec.Struct):
    revision: int


class _Kv(msgspec.Struct):
    key: bytes = b''
    value: bytes = b''
    mod_revision: int = 0
    lease: int = 0


class _RangeResponse(msgspec.Struct):
    header: _Header
    kvs: list[_Kv] = []
    more: bool = False


class _TxnResponse(msgspec.Struct):
    header: _Header
    succeeded: bool = False


class _WriteResponse(msgspec.Struct):
    header: _Header


class _GrantResponse(msgspec.Struct):
    header: _Header
    id: int = msgspec.field(name='ID')
    ttl: int = msgspec.field(name='TTL', default=0)


class _KeepAliveResult(msgspec.Struct):
    id: int = msgspec.field(name='ID')
    ttl: int = msgspec.field(name='TTL', default=0)


class _StreamError(msgspec.Struct):
    """Error within a stream.

    Depending on its release the gateway sends `grpc_code` or `code`.
    """

    grpc_code: int = 0
    code: int = 0
    message: str = ''


class _KeepAliveResponse(msgspec.Struct):
    result: _KeepAliveResult | None = None
    error: _StreamError | None = None


class _Event(msgspec.Struct):
    kv: _Kv
    type: str = 'PUT'


class _WatchResult(msgspec.Struct):
    header: _Header
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ''
    events: list[_Event] = []


class _WatchMessage(msgspec.Struct):
    result: _WatchResult | None = None
    error: _StreamError | None = None


class _ErrorBody(msgspec.Struct):
    code: int
    message: str = ''


_ERROR_DECODER = msgspec.json.Decoder(_ErrorBody)


class _CallPool:
    """Connection pool for calls.

    A retired pool is closed as soon as no call uses it.
    """

    def __init__(
        self, network_backend: httpcore.AsyncNetworkBackend | None
    ) -> None:
        self._active_calls = 0
        self._retired = False
        # Idle connections are closed before a load balancer between daemon and
        # gateway silently drops them.
        self._connections = httpcore.AsyncConnectionPool(
            max_connections=16,
            keepalive_expiry=30.0,
            network_backend=network_backend,
        )

    @asynccontextmanager
    async def use(self) -> AsyncIterator[httpcore.AsyncConnectionPool]:
        """Prevent the pool from being closed within a context."""
        self._active_calls += 1
        try:
            yield self._connections
        finally:
            self._active_calls -= 1
            if self._retired and not self._active_calls:
                await self.aclose()

    def retire(self) -> None:
        """Close the pool as soon as no call uses it."""
        self._retired = True

    async def aclose(self) -> None:
        """Close all connections."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self._connections.aclose()


class Random(Protocol):
    """Source of random numbers, as `random.Random` offers it."""

    def randrange(self, stop: int, /) -> int:
        """Return an integer from 0 up to, but not including, `stop`."""
        ...


def _base64(data: bytes) -> str:
    return base64.b64encode(data).decode('ascii')


def _encode_key(key: str) -> str:
    data = key.encode()
    if not 0 < len(data) <= MAX_KEY_BYTES:
        raise StoreLimitError(
            f'key {key[:80]!r} has {len(data)} bytes, expected 1 to '
            f'{MAX_KEY_BYTES}'
        )
    return _base64(data)


def _prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with a prefix."""
    stripped = prefix.rstrip(b'\xff')
    if not stripped:
        return b'\0'
    return stripped[:-1] + bytes([stripped[-1] + 1])


def _decode(data: bytes, kind: type[T], call: str) -> T:
    try:
        return decode(
            functools.partial(msgspec.json.decode, type=kind, strict=False),
            data,
            kind.__name__,
        )
    except MalformedDataError as error:
        raise StoreProtocolError(
            f'response to {call} does not follow the protocol: {error}; '
            f'it starts with {data[:80]!r}'
        )


def _check_revision(revision: int, call: str) -> None:
    if revision <= 0:
        raise StoreProtocolError(
            f'response to {call} has revision {revision}, expected at least 1'
        )


def _to_key_value(item: _Kv, prefix: str, call: str) -> KeyValue:
    try:
        key = item.key.decode()
    except UnicodeDecodeError:
        raise StoreProtocolError(
            f'response to {call} has the key {item.key!r}, which is not UTF-8'
        )
    if not key.startswith(prefix):
        raise StoreProtocolError(
            f'response to {call} has the key {key!r}, expected {prefix!r}'
        )
    _check_revision(item.mod_revision, call)
    return KeyValue(
        key,
        item.value,
        Revision(_ERA, item.mod_revision),
        LeaseId(_ERA, item.lease),
    )


def _encode_write(write: Put | Delete) -> dict[str, Any]:
    if isinstance(write, Delete):
        return {'request_delete_range': {'key': _encode_key(write.key)}}
    return {'request_put': _encode_put(write)}


def _encode_put(write: Put) -> dict[str, Any]:
    return {
        'key': _encode_key(write.key),
        'value': _base64(write.value),
        'lease': str(write.lease.number),
    }


def check_writes(writes: Sequence[Put | Delete]) -> None:
    """Check the limits of a transaction.

    Raises
    ------
    StoreLimitError
        When a key, a value or the transaction is too large.
    """
    for write in writes:
        _encode_key(write.key)
        if isinstance(write, Put) and len(write.value) > MAX_VALUE_BYTES:
            raise StoreLimitError(
                f'value of {write.key!r} has {len(write.value)} bytes, '
                f'expected at most {MAX_VALUE_BYTES}'
            )
    if len(writes) > MAX_TXN_WRITES:
        raise StoreLimitError(
            f'transaction has {len(writes)} writes, expected at most '
            f'{MAX_TXN_WRITES}'
        )
    size = sum(
        len(item.key) + (len(item.value) if isinstance(item, Put) else 0)
        for item in writes
    )
    if size > MAX_TXN_BYTES:
        raise StoreLimitError(
            f'transaction has {size} bytes, expected at most {MAX_TXN_BYTES}'
        )


def _raise_grpc_error(code: int, message: str, call: str) -> None:
    """Raise the error for a gRPC status.

    Its class depends on whether the request may have been executed.
    """
    detail = f'{call} failed with status {code}: {message}'
    if code == _CODE_OUT_OF_RANGE and 'compacted' in message:
        raise StoreCompactedError(detail)
    if code == _CODE_NOT_FOUND and 'lease not found' in message:
        raise StoreLeaseError(detail)
    if code in _REJECTION_CODES:
        raise StoreUnavailableError(detail)
    if any(part in message for part in _NOT_PROPOSED_MESSAGES):
        raise _NotExecutedError(detail)
    raise _MaybeExecutedError(detail)


def _raise_stream_error(error: _StreamError, call: str) -> None:
    try:
        _raise_grpc_error(error.grpc_code or error.code, error.message, call)
    except (_NotExecutedError, _MaybeExecutedError) as failure:
        raise StoreUnavailableError(str(failure)) from failure


class EtcdStore:
    """The platform's key-value service behind JSON gateways.

    A call that was certainly not executed is retried once at each of the
    other addresses. When a response is missing, only calls that are safe to
    repeat are retried: reads, and lease calls, whose repetition leaves at most
    an unused lease that expires. With a single address the retry uses a new
    connection.
    All other calls raise `StoreUnknownError` when the response is missing.

    Parameters
    ----------
    addresses : sequence of str
        Gateways as ``<ip>:<port>``, or as URLs that start with ``http://``
        or ``https://``.
    timeout_s : float
        Timeout of a call to one address, in seconds.
    watch_idle_timeout_s : float
        Seconds without any message after which a watch is reopened from the
        revision after the last one it delivered. A connection that stalls
        while it is open thus delays events by at most this time.
    rng : Random, optional
        Chooses the address that is tried first, so that many daemons are
        spread over the gateways; by default the first one in `addresses`.
    network_backend : httpcore.AsyncNetworkBackend, optional
        Replacement for TCP in tests.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        timeout_s: float = 2.0,
        watch_idle_timeout_s: float = 30.0,
        rng: Random | None = None,
        network_backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        if not addresses:
            raise ValueError('no address of the key-value service was given')
        self._urls = [
            item.rstrip('/')
            if item.startswith(('http://', 'https://'))
            else f'http://{item}'
            for item in addresses
        ]
        self._timeout_s = timeout_s
        self._watch_idle_timeout_s = watch_idle_timeout_s
        self._preferred = 0 if rng is None else rng.randrange(len(self._urls))
        self._network_backend = network_backend
        self._call_pool = _CallPool(network_backend)
        # Each watch occupies a connection, so watches have their own pool.
        self._watch_pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=0,
            network_backend=network_backend,
        )

    @property
    def timeout_s(self) -> float:
        """Timeout of a call to one address, in seconds."""
        return self._timeout_s

    @property
    def watch_idle_timeout_s(self) -> float:
        """Seconds without any message after which a watch is reopened."""
        return self._watch_idle_timeout_s

    async def __aenter__(self) -> Self:
        """Return the adapter; connections are opened on demand."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all connections."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._call_pool.aclose()
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self._watch_pool.aclose()

    @property
    def era(self) -> int:
        """Always 0, as the gateway reports no era."""
        return _ERA

    async def get(self, key: str, *, stale: bool = False) -> KeyValue | None:
        """Read one key; None when it does not exist."""
        body: dict[str, Any] = {'key': _encode_key(key)}
        if stale:
            body['serializable'] = True
        response = _decode(
            await self._call('/v3/kv/range', body),
            _RangeResponse,
            'range',
        )
        _check_revision(response.header.revision, 'range')
        if not response.kvs:
            return None
        item = _to_key_value(response.kvs[0], key, 'range')
        if len(response.kvs) > 1 or item.key != key:
            raise StoreProtocolError(
                f'response to range has {len(response.kvs)} keys, the first '
                f'{item.key!r}, expected {key!r}'
            )
        return item

    async def range(self, prefix: str) -> list[KeyValue]:
        """Read all keys that start with a prefix, in key order.

        The keys are read in pages at one revision. If that revision is
        compacted in the meantime, the read is restarted at a newer one.
        """
        return (await self.range_at(prefix))[0]

    async def range_at(self, prefix: str) -> tuple[list[KeyValue], Revision]:
        """Read as `range` does, and return the revision of the read."""
        for _ in range(_MAX_RANGE_ATTEMPTS):
            try:
                return await self._range(prefix)
            except StoreCompactedError:
                continue
        raise StoreUnavailableError(
            f'revisions were compacted {_MAX_RANGE_ATTEMPTS} times while the '
            f'keys with prefix {prefix!r} were read'
        )

    async def _range(self, prefix: str) -> tuple[list[KeyValue], Revision]:
        items: list[KeyValue] = []
        start = prefix.encode()
        end = _prefix_end(start)
        revision = 0
        limit = PAGE_KEYS
        while True:
            body = {
                'key': _base64(start or b'\0'),
                'range_end': _base64(end),
                'limit': str(limit),
                'revision': str(revision),
            }
            try:
                data = await self._call('/v3/kv/range', body)
            except _TooLargeError:
                if limit == 1:
                    raise
                limit = max(1, limit // 4)
                continue
            page = _decode(data, _RangeResponse, 'range')
            _check_revision(page.header.revision, 'range')
            for item in page.kvs:
                items.append(_to_key_value(item, prefix, 'range'))
                if item.key < start:
                    raise StoreProtocolError(
                        f'response to range has the key {item.key!r} after '
                        f'{start!r}'
                    )
                start = item.key + b'\0'
            revision = revision or page.header.revision
            if not page.more:
                return items, Revision(_ERA, revision)
            if not page.kvs:
                raise StoreProtocolError(
                    'response to range has no keys, but reports more keys'
                )

    async def txn(
        self,
        compares: Sequence[Compare],
        writes: Sequence[Put | Delete],
    ) -> TxnResult:
        """Execute all writes if all conditions hold, else none.

        After a `StoreProtocolError` the writes may have been executed.

        Raises
        ------
        StoreLimitError
            When a key, a value or the transaction is too large.
        StoreLeaseError
            When the lease of a write has expired.
        """
        check_writes(writes)
        if not compares and len(writes) == 1:
            return await self._write_one(writes[0])
        body = {
            'compare': [
                {
                    'key': _encode_key(item.key),
                    'target': 'MOD',
                    'result': 'EQUAL',
                    'mod_revision': str(item.mod_revision.number),
                }
                for item in compares
            ],
            'success': [_encode_write(item) for item in writes],
        }
        response = _decode(
            await self._call('/v3/kv/txn', body, retry_safe=not writes),
            _TxnResponse,
            'txn',
        )
        _check_revision(response.header.revision, 'txn')
        return TxnResult(
            response.succeeded, Revision(_ERA, response.header.revision)
        )

    async def _write_one(self, write: Put | Delete) -> TxnResult:
        if isinstance(write, Delete):
            path, body = '/v3/kv/deleterange', {'key': _encode_key(write.key)}
        else:
            path, body = '/v3/kv/put', _encode_put(write)
        data = await self._call(path, body, retry_safe=False)
        response = _decode(data, _WriteResponse, path)
        _check_revision(response.header.revision, path)
        return TxnResult(True, Revision(_ERA, response.header.revision))

    async def grant_lease(self, ttl_s: int) -> LeaseId:
        """Create a lease that expires without renewal; return its id."""
        response = _decode(
            await self._call('/v3/lease/grant', {'TTL': str(ttl_s)}),
            _GrantResponse,
            'lease grant',
        )
        if response.id <= 0 or response.ttl < ttl_s:
            raise StoreProtocolError(
                f'response to lease grant has id {response.id} and a time to '
                f'live of {response.ttl} s, expected at least {ttl_s} s'
            )
        return LeaseId(_ERA, response.id)

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Renew a lease once; False when it has expired."""
        data = await self._call(
            '/v3/lease/keepalive', {'ID': str(lease.number)}
        )
        # The gateway responds with a stream of one message.
        response = _decode(
            data.strip(), _KeepAliveResponse, 'lease keep-alive'
        )
        if response.error is not None:
            _raise_stream_error(response.error, 'lease keep-alive')
        result = response.result
        if result is None or result.id != lease.number:
            raise StoreProtocolError(
                f'response to lease keep-alive is {result}, expected the '
                f'lease {lease}'
            )
        return result.ttl > 0

    async def revoke(self, lease: LeaseId) -> None:
        """Revoke a lease, which removes its keys."""
        try:
            data = await self._call(
                '/v3/lease/revoke', {'ID': str(lease.number)}
            )
        except StoreLeaseError:
            return
        _decode(data, _WriteResponse, 'lease revoke')

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: Revision = NO_REVISION
    ) -> AsyncIterator[AsyncIterator[WatchEvent]]:
        """Watch all keys that start with a prefix.

        The watch is active once the context is entered: every later change is
        delivered, or an error is raised.

        Raises
        ------
        StoreUnavailableError
            On entry, when no gateway can be reached, and from the iterator,
            when the watch was dropped.
        StoreCompactedError
            From the iterator, when `from_revision` has been compacted.
        """
        watch = _Watch(self, prefix, from_revision.number)
        try:
            await watch.open()
            yield watch
        finally:
            await watch.close()

    async def open_watch(self, body: bytes) -> httpcore.Response:
        """Open the stream of a watch at the first address that responds."""
        failure = 'no address'
        for index in self._address_indexes():
            self._preferred = index
            request = self._build_request(
                index, '/v3/watch', body, read_timeout_s=None
            )
            try:
                with trio.fail_after(self._timeout_s):
                    response = await self._watch_pool.handle_async_request(
                        request
                    )
            except (*_HTTP_ERRORS, trio.TooSlowError) as error:
                failure = f'{type(error).__name__}: {error}'
                continue
            if response.status == 200:
                return response
            try:
                await self._read_body(response)
                failure = f'status {response.status}'
            except _TooLargeError as error:
                failure = str(error)
            except _HTTP_ERRORS as error:
                failure = f'{type(error).__name__}: {error}'
        raise StoreUnavailableError(f'watch could not be opened: {failure}')

    def _address_indexes(self) -> list[int]:
        count = len(self._urls)
        return [(self._preferred + step) % count for step in range(count)]

    def _build_request(
        self,
        index: int,
        path: str,
        body: bytes,
        read_timeout_s: float | None,
        trace: Any = None,
    ) -> httpcore.Request:
        timeouts = {
            # Shorter than the timeout of the call, so that a host that drops
            # packets does not use up all of it.
            'connect': self._timeout_s / 2,
            'pool': self._timeout_s,
            'write': self._timeout_s,
            'read': read_timeout_s,
        }
        extensions: dict[str, Any] = {'timeout': timeouts}
        if trace is not None:
            extensions['trace'] = trace
        url = httpcore.URL(self._urls[index] + path)
        headers = [
            (b'host', url.host + _port_suffix(url)),
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode('ascii')),
        ]
        return httpcore.Request(
            'POST', url, headers=headers, content=body, extensions=extensions
        )

    async def _call(
        self, path: str, body: dict[str, Any], *, retry_safe: bool = True
    ) -> bytes:
        encoded = msgspec.json.encode(body)
        failure: Exception = _NotExecutedError('no address')
        indexes = self._address_indexes()
        if retry_safe and len(indexes) == 1:
            # The second attempt uses a new connection.
            indexes *= 2
        for index in indexes:
            try:
                data = await self._call_once(index, path, encoded)
            except StoreProtocolError:
                self._preferred = (index + 1) % len(self._urls)
                raise
            except _MaybeExecutedError as error:
                self._preferred = (index + 1) % len(self._urls)
                if not retry_safe:
                    raise StoreUnknownError(str(error)) from error
                failure = error
            except _NotExecutedError as error:
                failure = error
            else:
                self._preferred = index
                return data
        raise StoreUnavailableError(str(failure)) from failure

    async def _call_once(self, index: int, path: str, body: bytes) -> bytes:
        request_sent = False

        async def trace(event: str, info: dict[str, Any]) -> None:
            nonlocal request_sent
            if event == 'http11.send_request_headers.started':
                request_sent = True

        request = self._build_request(
            index, path, body, self._timeout_s, trace
        )
        target = f'{path} at {self._urls[index]}'
        pool = self._call_pool
        try:
            async with pool.use() as connections:
                with trio.fail_after(self._timeout_s):
                    response = await connections.handle_async_request(request)
                    data = await self._read_body(response)
        except (*_HTTP_ERRORS, trio.TooSlowError) as error:
            if request_sent and pool is self._call_pool:
                # The other open connections may have stalled as well.
                pool.retire()
                self._call_pool = _CallPool(self._network_backend)
            detail = f'{target}: {type(error).__name__}: {error}'
            if request_sent:
                raise _MaybeExecutedError(detail)
            raise _NotExecutedError(detail)
        if response.status != 200:
            self._raise_http_error(response.status, data, target)
        return data

    def _raise_http_error(self, status: int, data: bytes, target: str) -> None:
        try:
            error = decode(_ERROR_DECODER.decode, data, target)
        except MalformedDataError:
            detail = f'{target}: HTTP status {status}: {data[:80]!r}'
            # A proxy in front of the gateway may have lost the response.
            if status >= 500:
                raise _MaybeExecutedError(detail)
            raise StoreProtocolError(detail)
        _raise_grpc_error(error.code, error.message, target)

    async def _read_body(self, response: httpcore.Response) -> bytes:
        data = bytearray()
        try:
            async for chunk in response.aiter_stream():
                data += chunk
                if len(data) > MAX_RESPONSE_BYTES:
                    raise _TooLargeError(
                        f'response exceeds {MAX_RESPONSE_BYTES} bytes'
                    )
        finally:
            await response.aclose()
        return bytes(data)


def _port_suffix(url: httpcore.URL) -> bytes:
    return b'' if url.port is None else b':%d' % url.port


class _Watch:
    """Iterator over the events of a watch.

    The watch is reopened when no message arrives within the idle timeout.
    """

    def __init__(
        self, store: EtcdStore, prefix: str, from_revision: int
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._next_revision = from_revision
        self._pending_events: deque[WatchEvent] = deque()
        self._buffer = bytearray()
        self._response: httpcore.Response | None = None
        self._chunks: AsyncIterator[bytes] | None = None

    def __aiter__(self) -> Self:
        """Return the iterator itself."""
        return self

    async def __anext__(self) -> WatchEvent:
        """Return the next event."""
        while not self._pending_events:
            message = None
            with trio.move_on_after(self._store.watch_idle_timeout_s):
                message = await self._receive()
            if message is None:
                await self.close()
                await self.open()
            else:
                self._handle_message(message)
        return self._pending_events.popleft()

    async def open(self) -> None:
        """Open the stream and wait for its confirmation."""
        start = self._prefix.encode()
        body = {
            'create_request': {
                'key': _base64(start or b'\0'),
                'range_end': _base64(_prefix_end(start)),
                'start_revision': str(self._next_revision),
                'progress_notify': True,
            }
        }
        self._response = await self._store.open_watch(
            msgspec.json.encode(body)
        )
        self._chunks = aiter(self._response.aiter_stream())
        with trio.move_on_after(self._store.timeout_s):
            message = await self._receive()
            if not message.created:
                raise StoreProtocolError('watch was not confirmed')
            self._next_revision = (
                self._next_revision or message.header.revision + 1
            )
            self._handle_message(message)
            return
        raise StoreUnavailableError(
            f'watch was not confirmed within {self._store.timeout_s} s'
        )

    async def close(self) -> None:
        """Close the stream."""
        response, self._response = self._response, None
        self._chunks = None
        self._buffer.clear()
        if response is not None:
            with trio.move_on_after(1.0) as scope:
                scope.shield = True
                await response.aclose()

    async def _receive(self) -> _WatchResult:
        message = _decode(await self._read_line(), _WatchMessage, 'watch')
        if message.error is not None:
            _raise_stream_error(message.error, 'watch')
        if message.result is None:
            raise StoreProtocolError('watch message has no result')
        return message.result

    async def _read_line(self) -> bytes:
        if self._chunks is None:
            raise StoreUnavailableError('watch is closed')
        while True:
            end = self._buffer.find(b'\n')
            if end >= 0:
                line = bytes(self._buffer[:end])
                del self._buffer[: end + 1]
                if line.strip():
                    return line
                continue
            if len(self._buffer) > MAX_RESPONSE_BYTES:
                raise StoreProtocolError(
                    f'watch message exceeds {MAX_RESPONSE_BYTES} bytes'
                )
            try:
                self._buffer += await anext(self._chunks)
            except StopAsyncIteration:
                raise StoreUnavailableError('watch was dropped')
            except _HTTP_ERRORS as error:
                raise StoreUnavailableError(
                    f'watch was dropped: {type(error).__name__}: {error}'
                )

    def _handle_message(self, message: _WatchResult) -> None:
        _check_revision(message.header.revision, 'watch')
        if message.compact_revision:
            raise StoreCompactedError(
                f'revision {self._next_revision} has been compacted; the '
                f'first available one is {message.compact_revision}'
            )
        if message.canceled:
            raise StoreUnavailableError(
                f'watch was cancelled: {message.cancel_reason or "no reason"}'
            )
        for event in message.events:
            self._handle_event(event)
        if message.events:
            self._next_revision = self._pending_events[-1].revision.number + 1
        elif not message.created:
            # A progress notification: all events up to this revision have been
            # delivered.
            self._next_revision = max(
                self._next_revision, message.header.revision + 1
            )

    def _handle_event(self, event: _Event) -> None:
        item = _to_key_value(event.kv, self._prefix, 'watch')
        if item.mod_revision.number < self._next_revision:
            raise StoreProtocolError(
                f'watch delivered revision {item.mod_revision.number} after '
                f'revision {self._next_revision - 1}'
            )
        if event.type not in ('PUT', 'DELETE'):
            raise StoreProtocolError(
                f'watch delivered an event of type {event.type!r}, expected '
                "'PUT' or 'DELETE'"
            )
        value = None if event.type == 'DELETE' else item.value
        self._pending_events.append(
            WatchEvent(item.key, value, item.mod_revision)
        )
