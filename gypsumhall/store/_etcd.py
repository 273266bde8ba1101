"""Adapter for the published etcd v3 JSON gateway.

The gateway maps each remote call to ``POST /v3/...`` with a JSON body. Keys
and values are base64, 64-bit integers are strings, and fields that have
their default value are omitted.
"""

from __future__ import annotations

import base64
from collections import deque
from contextlib import asynccontextmanager
from typing import Any
from typing import Protocol
from typing import Self
from typing import TYPE_CHECKING
from typing import TypeVar

import httpcore
import msgspec
import trio

from gypsumhall._errors import StoreCompactedError
from gypsumhall._errors import StoreProtocolError
from gypsumhall._errors import StoreUnavailableError
from gypsumhall._errors import StoreUnknownError
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
"""Longest key."""

MAX_TXN_BYTES = 1_500_000
"""Largest sum of keys and values of a transaction.

The published service refuses requests of more than 1.5 MiB by default.
"""

MAX_TXN_WRITES = 128
"""Most writes of a transaction, the default limit of the service."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Largest response or watch message that is read."""

PAGE_KEYS = 128
"""Most keys that are asked for at once when reading a range."""

_RANGE_RESTARTS = 3

_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)

_CODE_NOT_FOUND = 5
_CODE_OUT_OF_RANGE = 11

# gRPC status codes with which the service refuses a request before it is
# proposed: invalid argument, not found, permission denied, resource
# exhausted, failed precondition, out of range, unimplemented,
# unauthenticated.
_REFUSED_CODES = frozenset({3, 5, 7, 8, 9, 11, 12, 16})

# The status `unavailable` (14) is also used for requests that timed out
# after they were proposed. Only these messages rule that out.
_NOT_SENT_MESSAGES = (
    'Error while dialing',
    'there is no address available',
    'there is no connection available',
    'etcdserver: no leader',
)


class _NotExecutedError(Exception):
    """The gateway did not execute the request; another one may."""


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
    """Error within a stream; releases of the gateway differ in the name."""

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


class _Pool:
    """Connections for calls, closed when retired and no longer in use."""

    def __init__(
        self, network_backend: httpcore.AsyncNetworkBackend | None
    ) -> None:
        self._users = 0
        self._retired = False
        # An idle connection is given up before a load balancer forgets it.
        self._connections = httpcore.AsyncConnectionPool(
            max_connections=16,
            keepalive_expiry=30.0,
            network_backend=network_backend,
        )

    @asynccontextmanager
    async def use(self) -> AsyncIterator[httpcore.AsyncConnectionPool]:
        """Keep the connections open within a context."""
        self._users += 1
        try:
            yield self._connections
        finally:
            self._users -= 1
            if self._retired and not self._users:
                await self.aclose()

    def retire(self) -> None:
        """Close the connections as soon as no call uses them."""
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


def _text(data: bytes) -> str:
    return base64.b64encode(data).decode('ascii')


def _key(key: str) -> str:
    data = key.encode()
    if not 0 < len(data) <= MAX_KEY_BYTES:
        raise StoreLimitError(
            f'key {key[:80]!r} has {len(data)} bytes, expected 1 to '
            f'{MAX_KEY_BYTES}'
        )
    return _text(data)


def _prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with a prefix."""
    stripped = prefix.rstrip(b'\xff')
    if not stripped:
        return b'\0'
    return stripped[:-1] + bytes([stripped[-1] + 1])


def _decode(data: bytes, kind: type[T], call: str) -> T:
    try:
        return msgspec.json.decode(data, type=kind, strict=False)
    except (msgspec.MsgspecError, ValueError) as error:
        raise StoreProtocolError(
            f'response to {call} does not follow the protocol: {error}; '
            f'it starts with {data[:80]!r}'
        )


def _check_revision(revision: int, call: str) -> None:
    if revision <= 0:
        raise StoreProtocolError(
            f'response to {call} has revision {revision}, expected at least 1'
        )


def _key_value(item: _Kv, prefix: str, call: str) -> KeyValue:
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
    return KeyValue(key, item.value, item.mod_revision, item.lease)


def _encode_write(write: Put | Delete) -> dict[str, Any]:
    if isinstance(write, Delete):
        return {'request_delete_range': {'key': _key(write.key)}}
    return {'request_put': _encode_put(write)}


def _encode_put(write: Put) -> dict[str, Any]:
    return {
        'key': _key(write.key),
        'value': _text(write.value),
        'lease': str(write.lease),
    }


def check_writes(writes: Sequence[Put | Delete]) -> None:
    """Check the limits of a transaction.

    Raises
    ------
    StoreLimitError
        When a key, a value or the transaction is too large.
    """
    for write in writes:
        _key(write.key)
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


def _raise_refusal(code: int, message: str, call: str) -> None:
    """Raise the error for a status, classified by what was executed."""
    detail = f'{call} failed with status {code}: {message}'
    if code == _CODE_OUT_OF_RANGE and 'compacted' in message:
        raise StoreCompactedError(detail)
    if code == _CODE_NOT_FOUND and 'lease not found' in message:
        raise StoreLeaseError(detail)
    if code in _REFUSED_CODES:
        raise StoreUnavailableError(detail)
    if any(part in message for part in _NOT_SENT_MESSAGES):
        raise _NotExecutedError(detail)
    raise _MaybeExecutedError(detail)


def _raise_stream_error(error: _StreamError, call: str) -> None:
    try:
        _raise_refusal(error.grpc_code or error.code, error.message, call)
    except (_NotExecutedError, _MaybeExecutedError) as failure:
        raise StoreUnavailableError(str(failure)) from failure


class EtcdStore:
    """The platform's key-value service behind JSON gateways.

    A call that was certainly not executed is tried at every address once.
    Calls that may be repeated (reads, and the calls about leases, whose
    repetition leaves at most an unused lease that lapses) are also tried
    again when a response is missing, with a single address on a new
    connection. All other calls raise `StoreUnknownError` then.

    Parameters
    ----------
    addresses : sequence of str
        Gateways as ``<ip>:<port>``, or as URLs that start with ``http://``
        or ``https://``.
    timeout_s : float
        Longest time of a call at one address, in seconds.
    watch_idle_timeout_s : float
        Seconds after which a watch without any message is opened anew from
        the revision after the last one it delivered, so that an open
        connection that went silent loses no event for longer than that.
    rng : Random, optional
        Chooses the address that is used first, so that many daemons spread
        over the gateways; by default the first address is.
    network_backend : httpcore.AsyncNetworkBackend, optional
        Replaces TCP in tests.
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
            raise ValueError('no address of the platform was given')
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
        self._calls = _Pool(network_backend)
        # Every watch occupies a connection, so they have their own pool.
        self._watches = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=0,
            network_backend=network_backend,
        )

    @property
    def timeout_s(self) -> float:
        """Longest time of a call at one address, in seconds."""
        return self._timeout_s

    @property
    def watch_idle_timeout_s(self) -> float:
        """Seconds after which a silent watch is opened anew."""
        return self._watch_idle_timeout_s

    async def __aenter__(self) -> Self:
        """Return the adapter; connections are opened when needed."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all connections."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._calls.aclose()
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self._watches.aclose()

    async def get(self, key: str) -> KeyValue | None:
        """Read one key; None when it does not exist."""
        response = _decode(
            await self._call('/v3/kv/range', {'key': _key(key)}),
            _RangeResponse,
            'range',
        )
        _check_revision(response.header.revision, 'range')
        if not response.kvs:
            return None
        found = _key_value(response.kvs[0], key, 'range')
        if len(response.kvs) > 1 or found.key != key:
            raise StoreProtocolError(
                f'response to range has {len(response.kvs)} keys, the first '
                f'{found.key!r}, expected {key!r}'
            )
        return found

    async def range(self, prefix: str) -> list[KeyValue]:
        """Read all keys that start with a prefix, in key order.

        The keys are read in pages at one revision. If that revision is
        compacted meanwhile, reading starts anew.
        """
        for _ in range(_RANGE_RESTARTS):
            try:
                return await self._range(prefix)
            except StoreCompactedError:
                continue
        raise StoreUnavailableError(
            f'revisions were compacted {_RANGE_RESTARTS} times while the '
            f'keys with prefix {prefix!r} were read'
        )

    async def _range(self, prefix: str) -> list[KeyValue]:
        found: list[KeyValue] = []
        start = prefix.encode()
        end = _prefix_end(start)
        revision = 0
        limit = PAGE_KEYS
        while True:
            body = {
                'key': _text(start or b'\0'),
                'range_end': _text(end),
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
                found.append(_key_value(item, prefix, 'range'))
                if item.key < start:
                    raise StoreProtocolError(
                        f'response to range has the key {item.key!r} after '
                        f'{start!r}'
                    )
                start = item.key + b'\0'
            if not page.more:
                return found
            if not page.kvs:
                raise StoreProtocolError(
                    'response to range has no keys, but says there are more'
                )
            revision = revision or page.header.revision

    async def txn(
        self,
        compares: Sequence[Compare],
        writes: Sequence[Put | Delete],
    ) -> TxnResult:
        """Execute all writes if all conditions hold, else none.

        A `StoreProtocolError` leaves open whether the writes were executed.

        Raises
        ------
        StoreLimitError
            When a key, a value or the transaction is too large.
        StoreLeaseError
            When a lease of the writes has lapsed.
        """
        check_writes(writes)
        if not compares and len(writes) == 1:
            return await self._write(writes[0])
        body = {
            'compare': [
                {
                    'key': _key(item.key),
                    'target': 'MOD',
                    'result': 'EQUAL',
                    'mod_revision': str(item.mod_revision),
                }
                for item in compares
            ],
            'success': [_encode_write(item) for item in writes],
        }
        response = _decode(
            await self._call('/v3/kv/txn', body, repeatable=not writes),
            _TxnResponse,
            'txn',
        )
        _check_revision(response.header.revision, 'txn')
        return TxnResult(response.succeeded, response.header.revision)

    async def _write(self, write: Put | Delete) -> TxnResult:
        if isinstance(write, Delete):
            path, body = '/v3/kv/deleterange', {'key': _key(write.key)}
        else:
            path, body = '/v3/kv/put', _encode_put(write)
        data = await self._call(path, body, repeatable=False)
        response = _decode(data, _WriteResponse, path)
        _check_revision(response.header.revision, path)
        return TxnResult(True, response.header.revision)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease that lapses without renewal; return its id."""
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
        return response.id

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease once; False when it has lapsed."""
        data = await self._call('/v3/lease/keepalive', {'ID': str(lease)})
        # The gateway answers with a stream of one message.
        response = _decode(
            data.strip(), _KeepAliveResponse, 'lease keep-alive'
        )
        if response.error is not None:
            _raise_stream_error(response.error, 'lease keep-alive')
        result = response.result
        if result is None or result.id != lease:
            raise StoreProtocolError(
                f'response to lease keep-alive is {result}, expected the '
                f'lease {lease}'
            )
        return result.ttl > 0

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        try:
            data = await self._call('/v3/lease/revoke', {'ID': str(lease)})
        except StoreLeaseError:
            return
        _decode(data, _WriteResponse, 'lease revoke')

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int = 0
    ) -> AsyncIterator[AsyncIterator[WatchEvent]]:
        """Watch all keys that start with a prefix.

        The watch is in force when the context is entered: every later
        change is delivered, or an error is raised.

        Raises
        ------
        StoreUnavailableError
            On entry, when no gateway can be reached, and from the iterator,
            when the watch was dropped.
        StoreCompactedError
            From the iterator, when `from_revision` is no longer kept.
        """
        watch = _Watch(self, prefix, from_revision)
        try:
            await watch.open()
            yield watch
        finally:
            await watch.close()

    async def open_watch(self, body: bytes) -> httpcore.Response:
        """Open the stream of a watch at the first address that responds."""
        failure = 'no address'
        for index in self._order():
            self._preferred = index
            request = self._request(index, '/v3/watch', body, read_s=None)
            try:
                with trio.fail_after(self._timeout_s):
                    response = await self._watches.handle_async_request(
                        request
                    )
            except (*_HTTP_ERRORS, trio.TooSlowError) as error:
                failure = f'{type(error).__name__}: {error}'
                continue
            if response.status == 200:
                return response
            try:
                await self._read(response)
                failure = f'status {response.status}'
            except _TooLargeError as error:
                failure = str(error)
            except _HTTP_ERRORS as error:
                failure = f'{type(error).__name__}: {error}'
        raise StoreUnavailableError(f'watch could not be opened: {failure}')

    def _order(self) -> list[int]:
        count = len(self._urls)
        return [(self._preferred + step) % count for step in range(count)]

    def _request(
        self,
        index: int,
        path: str,
        body: bytes,
        read_s: float | None,
        trace: Any = None,
    ) -> httpcore.Request:
        timeouts = {
            # A host that drops packets must not use up the whole call.
            'connect': self._timeout_s / 2,
            'pool': self._timeout_s,
            'write': self._timeout_s,
            'read': read_s,
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
        self, path: str, body: dict[str, Any], *, repeatable: bool = True
    ) -> bytes:
        encoded = msgspec.json.encode(body)
        failure: Exception = _NotExecutedError('no address')
        order = self._order()
        if repeatable and len(order) == 1:
            # The second attempt uses a new connection.
            order *= 2
        for index in order:
            try:
                data = await self._call_once(index, path, encoded)
            except StoreProtocolError:
                self._preferred = (index + 1) % len(self._urls)
                raise
            except _MaybeExecutedError as error:
                self._preferred = (index + 1) % len(self._urls)
                if not repeatable:
                    raise StoreUnknownError(str(error)) from error
                failure = error
            except _NotExecutedError as error:
                failure = error
            else:
                self._preferred = index
                return data
        raise StoreUnavailableError(str(failure)) from failure

    async def _call_once(self, index: int, path: str, body: bytes) -> bytes:
        sent = False

        async def trace(event: str, info: dict[str, Any]) -> None:
            nonlocal sent
            if event == 'http11.send_request_headers.started':
                sent = True

        request = self._request(index, path, body, self._timeout_s, trace)
        where = f'{path} at {self._urls[index]}'
        pool = self._calls
        try:
            async with pool.use() as connections:
                with trio.fail_after(self._timeout_s):
                    response = await connections.handle_async_request(request)
                    data = await self._read(response)
        except (*_HTTP_ERRORS, trio.TooSlowError) as error:
            if sent and pool is self._calls:
                # The other open connections may be silent for good as well.
                pool.retire()
                self._calls = _Pool(self._network_backend)
            detail = f'{where}: {type(error).__name__}: {error}'
            if sent:
                raise _MaybeExecutedError(detail)
            raise _NotExecutedError(detail)
        if response.status != 200:
            self._raise_status(response.status, data, where)
        return data

    def _raise_status(self, status: int, data: bytes, where: str) -> None:
        try:
            error = msgspec.json.decode(data, type=_ErrorBody)
        except msgspec.MsgspecError:
            detail = f'{where}: HTTP status {status}: {data[:80]!r}'
            # A proxy in front of the gateway may lose the response.
            if status >= 500:
                raise _MaybeExecutedError(detail)
            raise StoreProtocolError(detail)
        _raise_refusal(error.code, error.message, where)

    async def _read(self, response: httpcore.Response) -> bytes:
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
    """Iterator over the events of a watch, which it reopens when silent."""

    def __init__(
        self, store: EtcdStore, prefix: str, from_revision: int
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._next = from_revision
        self._pending: deque[WatchEvent] = deque()
        self._buffer = bytearray()
        self._response: httpcore.Response | None = None
        self._chunks: AsyncIterator[bytes] | None = None

    def __aiter__(self) -> Self:
        """Return the iterator itself."""
        return self

    async def __anext__(self) -> WatchEvent:
        """Return the next event."""
        while not self._pending:
            message = None
            with trio.move_on_after(self._store.watch_idle_timeout_s):
                message = await self._receive()
            if message is None:
                await self.close()
                await self.open()
            else:
                self._handle(message)
        return self._pending.popleft()

    async def open(self) -> None:
        """Open the stream and wait for its confirmation."""
        start = self._prefix.encode()
        body = {
            'create_request': {
                'key': _text(start or b'\0'),
                'range_end': _text(_prefix_end(start)),
                'start_revision': str(self._next),
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
            self._next = self._next or message.header.revision + 1
            self._handle(message)
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

    def _handle(self, message: _WatchResult) -> None:
        _check_revision(message.header.revision, 'watch')
        if message.compact_revision:
            raise StoreCompactedError(
                f'revision {self._next} is no longer kept; the first one is '
                f'{message.compact_revision}'
            )
        if message.canceled:
            raise StoreUnavailableError(
                f'watch was cancelled: {message.cancel_reason or "no reason"}'
            )
        for event in message.events:
            self._handle_event(event)
        if message.events:
            self._next = self._pending[-1].revision + 1
        elif not message.created:
            # A progress notification: all earlier events were delivered.
            self._next = max(self._next, message.header.revision + 1)

    def _handle_event(self, event: _Event) -> None:
        item = _key_value(event.kv, self._prefix, 'watch')
        if item.mod_revision < self._next:
            raise StoreProtocolError(
                f'watch delivered revision {item.mod_revision} after '
                f'revision {self._next - 1}'
            )
        if event.type not in ('PUT', 'DELETE'):
            raise StoreProtocolError(
                f'watch delivered an event of type {event.type!r}, expected '
                "'PUT' or 'DELETE'"
            )
        value = None if event.type == 'DELETE' else item.value
        self._pending.append(WatchEvent(item.key, value, item.mod_revision))
