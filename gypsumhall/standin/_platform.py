"""Stand-in for the platform: a subset of the etcd v3 JSON gateway, in memory.

It serves ranges, transactions, leases and watches, counts the calls by kind
and injects faults. ``POST /faults`` sets the faults from a JSON object with
fields of `FaultSettings`, ``GET /faults`` returns the current faults, and
``GET /stats`` returns the counts.
"""

from __future__ import annotations

import base64
import binascii
import bisect
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from dataclasses import dataclass
from dataclasses import field
import enum
import math
from typing import Any

import msgspec
import trio

from gypsumhall._errors import GypsumhallError
from gypsumhall.services import _http_server

Json = dict[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Json]]
Send = Callable[[Json], Awaitable[None]]

MAX_REQUEST_BYTES = 1_572_864
"""Largest decoded request, the default limit of etcd."""

MAX_TXN_OPERATIONS = 128
"""Largest number of writes in a transaction, the default limit of etcd."""

_MAX_BODY_BYTES = 4 * MAX_REQUEST_BYTES

_HTTP_STATUS_BY_GRPC_STATUS = {
    2: 500,
    3: 400,
    5: 404,
    8: 429,
    11: 400,
    12: 501,
    14: 503,
}

_WRITE_CALLS = frozenset(
    {'txn', 'put', 'deleterange', 'lease_grant', 'lease_revoke'}
)


class GatewayError(GypsumhallError):
    """Error response of the gateway, with a gRPC status code."""

    code = 'gateway'

    def __init__(self, grpc_status: int, message: str) -> None:
        super().__init__(message)
        self.grpc_status = grpc_status


class InvalidResponseKind(enum.StrEnum):
    """Kinds of responses that violate the protocol."""

    TEXT = 'text'
    SHAPE = 'shape'
    TYPES = 'types'
    BASE64 = 'base64'
    OTHER_KEY = 'other-key'
    TRUNCATED = 'truncated'
    HUGE = 'huge'


class FaultSettings(
    msgspec.Struct, forbid_unknown_fields=True, omit_defaults=False
):
    """Lasting faults, and faults that are applied once when they are set.

    Parameters
    ----------
    outage : bool
        Reject every call with the error of a gateway that cannot connect to
        a server.
    hang : bool
        Accept every call, but neither execute it nor send a response.
    delay_s : float
        Delay of every call before it is executed, in seconds.
    lose_responses : int
        Number of writes to execute without sending a response.
    nonsense : int
        Number of responses to replace by invalid ones.
    nonsense_kind : InvalidResponseKind
        Kind of the invalid responses.
    silence_new_watches : bool
        Confirm new watches, but never send their events.
    silence_watches : bool
        Stop sending events on all open watches, without closing them. Applied
        once.
    drop_watches : bool
        End all open watches. Applied once.
    lapse_leases : bool
        Expire all leases. Applied once.
    compact : bool
        Discard all revisions but the latest. Applied once.
    """

    outage: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_responses: int = 0
    nonsense: int = 0
    nonsense_kind: InvalidResponseKind = InvalidResponseKind.TEXT
    silence_new_watches: bool = False
    silence_watches: bool = False
    drop_watches: bool = False
    lapse_leases: bool = False
    compact: bool = False


@dataclass(slots=True, frozen=True)
class _Version:
    """State of a key as of a revision; the value is None after a deletion."""

    mod_revision: int
    create_revision: int
    write_count: int
    value: bytes | None
    lease: int


@dataclass(slots=True)
class _Lease:
    ttl_s: int
    expires_at: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class _Watch:
    start: bytes
    end: bytes
    next_revision: int
    scope: trio.CancelScope
    silent: bool = False


def _in_range(key: bytes, start: bytes, end: bytes) -> bool:
    if not end:
        return key == start
    return key >= start and (end == b'\0' or key < end)


def _decode_bytes(request: Json, name: str) -> bytes:
    try:
        return base64.b64decode(request.get(name, ''), validate=True)
    except (binascii.Error, TypeError, ValueError):
        raise GatewayError(3, f'invalid base64 in field {name!r}')


def _decode_int(request: Json, name: str) -> int:
    try:
        return int(request.get(name, 0))
    except (TypeError, ValueError):
        raise GatewayError(3, f'invalid integer in field {name!r}')


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode('ascii')


def _encode_version(key: bytes, version: _Version) -> Json:
    result = {
        'key': _encode_base64(key),
        'mod_revision': str(version.mod_revision),
    }
    if version.value is not None:
        result['create_revision'] = str(version.create_revision)
        result['version'] = str(version.write_count)
        # The gateway omits fields that have their default value.
        if version.value:
            result['value'] = _encode_base64(version.value)
        if version.lease:
            result['lease'] = str(version.lease)
    return result


class Platform:
    """Keys, leases, watches and faults of the stand-in.

    All methods that change state are synchronous, so that each call is
    atomic within the event loop.
    """

    def __init__(self) -> None:
        self._revision = 1
        self._compact_revision = 0
        self._versions: dict[bytes, list[_Version]] = {}
        self._change_log: list[tuple[int, bytes, _Version]] = []
        self._leases: dict[int, _Lease] = {}
        self._last_lease = 7_587_848_390_000_000_000
        self._watches: set[_Watch] = set()
        self._changed = trio.Event()
        self._lease_granted = trio.Event()
        self._calls: dict[str, int] = {}
        self._failed_calls: dict[str, int] = {}
        self._faults = FaultSettings()

    @property
    def faults(self) -> FaultSettings:
        """Current faults."""
        return self._faults

    @property
    def revision(self) -> int:
        """Latest revision of the store."""
        return self._revision

    @property
    def stats(self) -> Json:
        """Number of calls and failed calls by kind, and size of the state."""
        return {
            'calls': dict(self._calls),
            'failed': dict(self._failed_calls),
            'watches': len(self._watches),
            'leases': len(self._leases),
            'keys': sum(
                versions[-1].value is not None
                for versions in self._versions.values()
            ),
            'revision': self._revision,
        }

    def count_call(self, kind: str, *, failed: bool = False) -> None:
        """Count a call, or the failure of a call that was counted before."""
        counts = self._failed_calls if failed else self._calls
        counts[kind] = counts.get(kind, 0) + 1

    def set_faults(self, changes: Json) -> None:
        """Change the lasting faults and apply the faults that occur once.

        Parameters
        ----------
        changes : dict
            Fields of `FaultSettings`; other fields keep their values.

        Raises
        ------
        msgspec.ValidationError
            When a field is unknown or has a wrong type; nothing is changed.
        """
        merged = msgspec.convert(
            msgspec.to_builtins(self._faults) | changes, FaultSettings
        )
        if merged.drop_watches or merged.outage:
            for watch in tuple(self._watches):
                watch.scope.cancel()
        if merged.silence_watches:
            for watch in self._watches:
                watch.silent = True
        if merged.lapse_leases:
            for lease in tuple(self._leases):
                self._remove_lease(lease)
        if merged.compact:
            self.compact()
        self._faults = msgspec.structs.replace(
            merged,
            drop_watches=False,
            silence_watches=False,
            lapse_leases=False,
            compact=False,
        )

    def clear_faults(self) -> None:
        """Reset all faults to their defaults."""
        self._faults = FaultSettings()

    def compact(self) -> None:
        """Discard all revisions but the latest of every key."""
        self._compact_revision = self._revision
        self._change_log = [
            item for item in self._change_log if item[0] >= self._revision
        ]
        for key, versions in tuple(self._versions.items()):
            if versions[-1].value is None:
                del self._versions[key]
            else:
                del versions[:-1]

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Expire leases until cancelled."""
        task_status.started()
        while True:
            earliest = min(
                (item.expires_at for item in self._leases.values()),
                default=math.inf,
            )
            with trio.move_on_at(earliest):
                await self._lease_granted.wait()
                self._lease_granted = trio.Event()
            now = trio.current_time()
            for lease, item in tuple(self._leases.items()):
                if item.expires_at <= now:
                    self._remove_lease(lease)

    def call(self, kind: str, request: Json) -> Json:
        """Execute a unary call.

        Parameters
        ----------
        kind : str
            Name of the call, for example ``txn``.
        request : dict
            Decoded JSON body.

        Raises
        ------
        GatewayError
            When the call is rejected; nothing is changed.
        """
        return _CALL_HANDLERS[kind](self, request)

    def _header(self, revision: int | None = None) -> Json:
        return {
            'cluster_id': '14841639068965178418',
            'member_id': '10276657743932975437',
            'revision': str(self._revision if revision is None else revision),
            'raft_term': '2',
        }

    def _check_revision(self, revision: int) -> None:
        if revision and revision < self._compact_revision:
            raise GatewayError(
                11,
                'etcdserver: mvcc: required revision has been compacted',
            )
        if revision > self._revision:
            raise GatewayError(
                11, 'etcdserver: mvcc: required revision is a future revision'
            )

    def _range(self, request: Json) -> Json:
        start = _decode_bytes(request, 'key')
        end = _decode_bytes(request, 'range_end')
        limit = _decode_int(request, 'limit')
        revision = _decode_int(request, 'revision')
        self._check_revision(revision)
        keys = (
            sorted(key for key in self._versions if _in_range(key, start, end))
            if end
            else [start]
        )
        found = []
        for key in keys:
            version = self._get_version(key, revision or self._revision)
            if version is not None:
                found.append(_encode_version(key, version))
        page = found[:limit] if limit else found
        response: Json = {'header': self._header(), 'count': str(len(found))}
        if page and not request.get('count_only'):
            response['kvs'] = page
        if len(page) < len(found):
            response['more'] = True
        return response

    def _get_version(self, key: bytes, revision: int) -> _Version | None:
        versions = self._versions.get(key, [])
        index = bisect.bisect_right(
            versions, revision, key=lambda item: item.mod_revision
        )
        if not index or versions[index - 1].value is None:
            return None
        return versions[index - 1]

    def _put(self, request: Json) -> Json:
        return self._txn({'success': [{'request_put': request}]})

    def _delete_range(self, request: Json) -> Json:
        before = self._range({**request, 'count_only': True})
        result = self._txn({'success': [{'request_delete_range': request}]})
        return {'header': result['header'], 'deleted': before['count']}

    def _txn(self, request: Json) -> Json:
        succeeded = all(
            self._evaluate_compare(item) for item in request.get('compare', ())
        )
        operations = request.get('success' if succeeded else 'failure', ())
        writes = self._decode_writes(operations)
        if writes:
            revision = self._revision + 1
            changed = [
                self._write(revision, key, value, lease)
                for key, value, lease in writes
            ]
            if any(changed):
                self._revision = revision
                self._notify_watches()
        response: Json = {'header': self._header()}
        if succeeded:
            response['succeeded'] = True
        if writes:
            response['responses'] = [
                {'response_put': {'header': self._header()}}
                if 'request_put' in item
                else {'response_delete_range': {'header': self._header()}}
                for item in operations
            ]
        return response

    def _evaluate_compare(self, compare: Json) -> bool:
        if compare.get('target') != 'MOD' or compare.get('result') != 'EQUAL':
            raise GatewayError(12, 'stand-in: only MOD EQUAL is supported')
        version = self._get_version(
            _decode_bytes(compare, 'key'), self._revision
        )
        actual = 0 if version is None else version.mod_revision
        return actual == _decode_int(compare, 'mod_revision')

    def _decode_writes(
        self, operations: list[Json]
    ) -> list[tuple[bytes, bytes | None, int]]:
        if len(operations) > MAX_TXN_OPERATIONS:
            raise GatewayError(
                3, 'etcdserver: too many operations in txn request'
            )
        writes: list[tuple[bytes, bytes | None, int]] = []
        size = 0
        for item in operations:
            if put := item.get('request_put'):
                value = _decode_bytes(put, 'value')
                lease = _decode_int(put, 'lease')
                key = _decode_bytes(put, 'key')
                if not key:
                    raise GatewayError(3, 'etcdserver: key is not provided')
                if lease and lease not in self._leases:
                    raise GatewayError(
                        5, 'etcdserver: requested lease not found'
                    )
                size += len(key) + len(value)
                writes.append((key, value, lease))
            elif removal := item.get('request_delete_range'):
                start = _decode_bytes(removal, 'key')
                end = _decode_bytes(removal, 'range_end')
                writes += [
                    (key, None, 0)
                    for key in sorted(self._versions)
                    if _in_range(key, start, end)
                ]
            else:
                raise GatewayError(12, 'stand-in: unknown operation in txn')
        if size > MAX_REQUEST_BYTES:
            raise GatewayError(3, 'etcdserver: request is too large')
        if len({key for key, _, _ in writes}) < len(writes):
            raise GatewayError(
                3, 'etcdserver: duplicate key given in txn request'
            )
        return writes

    def _write(
        self, revision: int, key: bytes, value: bytes | None, lease: int
    ) -> bool:
        versions = self._versions.setdefault(key, [])
        last = versions[-1] if versions else None
        exists = last is not None and last.value is not None
        if value is None and not exists:
            return False
        if last is not None and exists and last.lease in self._leases:
            self._leases[last.lease].keys.discard(key)
        if lease:
            self._leases[lease].keys.add(key)
        version = _Version(
            revision,
            last.create_revision if last is not None and exists else revision,
            last.write_count + 1 if last is not None and exists else 1,
            value,
            lease,
        )
        versions.append(version)
        self._change_log.append((revision, key, version))
        return True

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _grant(self, request: Json) -> Json:
        ttl_s = _decode_int(request, 'TTL')
        if ttl_s <= 0:
            raise GatewayError(3, 'etcdserver: invalid lease TTL')
        self._last_lease += 1
        lease = self._last_lease
        self._leases[lease] = _Lease(ttl_s, trio.current_time() + ttl_s)
        self._lease_granted.set()
        return {
            'header': self._header(),
            'ID': str(lease),
            'TTL': str(ttl_s),
        }

    def _keep_alive(self, request: Json) -> Json:
        lease = _decode_int(request, 'ID')
        item = self._leases.get(lease)
        result: Json = {'header': self._header(), 'ID': str(lease)}
        if item is not None:
            item.expires_at = trio.current_time() + item.ttl_s
            result['TTL'] = str(item.ttl_s)
        return {'result': result}

    def _revoke(self, request: Json) -> Json:
        lease = _decode_int(request, 'ID')
        if lease not in self._leases:
            raise GatewayError(5, 'etcdserver: requested lease not found')
        self._remove_lease(lease)
        return {'header': self._header()}

    def _remove_lease(self, lease: int) -> None:
        keys = sorted(self._leases[lease].keys)
        if keys:
            self._revision += 1
            for key in keys:
                self._write(self._revision, key, None, 0)
        del self._leases[lease]
        self._notify_watches()

    async def watch(
        self, request: Json, send: Callable[[Json], Awaitable[None]]
    ) -> None:
        """Serve a watch until it is cancelled or misses compacted revisions.

        Parameters
        ----------
        request : dict
            Decoded JSON body.
        send : callable
            Function that sends one message to the client.
        """
        create = request.get('create_request')
        if not isinstance(create, dict):
            raise GatewayError(3, 'watch without create_request')
        start = _decode_bytes(create, 'key')
        end = _decode_bytes(create, 'range_end')
        next_revision = (
            _decode_int(create, 'start_revision') or self._revision + 1
        )
        with trio.CancelScope() as scope:
            watch = _Watch(start, end, next_revision, scope)
            watch.silent = self._faults.silence_new_watches
            self._watches.add(watch)
            try:
                await send({'header': self._header(), 'created': True})
                await self._send_events(watch, send)
            finally:
                self._watches.discard(watch)

    async def _send_events(
        self, watch: _Watch, send: Callable[[Json], Awaitable[None]]
    ) -> None:
        while True:
            changed = self._changed
            if watch.next_revision < self._compact_revision:
                await send(
                    {
                        'header': self._header(),
                        'canceled': True,
                        'compact_revision': str(self._compact_revision),
                    }
                )
                return
            events = self._events_since(watch)
            watch.next_revision = max(watch.next_revision, self._revision + 1)
            if events and not watch.silent:
                await send({'header': self._header(), 'events': events})
                continue
            await changed.wait()

    def _events_since(self, watch: _Watch) -> list[Json]:
        index = bisect.bisect_left(
            self._change_log, watch.next_revision, key=lambda item: item[0]
        )
        events = []
        for _, key, version in self._change_log[index:]:
            if _in_range(key, watch.start, watch.end):
                event: Json = {'kv': _encode_version(key, version)}
                if version.value is None:
                    event['type'] = 'DELETE'
                events.append(event)
        return events


_CALL_HANDLERS: dict[str, Callable[[Platform, Json], Json]] = {
    'range': Platform._range,
    'txn': Platform._txn,
    'put': Platform._put,
    'deleterange': Platform._delete_range,
    'lease_grant': Platform._grant,
    'lease_keepalive': Platform._keep_alive,
    'lease_revoke': Platform._revoke,
}

_CALL_BY_PATH = {
    '/v3/kv/range': 'range',
    '/v3/kv/txn': 'txn',
    '/v3/kv/put': 'put',
    '/v3/kv/deleterange': 'deleterange',
    '/v3/lease/grant': 'lease_grant',
    '/v3/lease/keepalive': 'lease_keepalive',
    '/v3/lease/revoke': 'lease_revoke',
    '/v3/watch': 'watch',
}


def _encode_invalid_response(
    kind: InvalidResponseKind, response: Json
) -> bytes:
    if kind is InvalidResponseKind.TEXT:
        return b'<html>upstream error</html>'
    if kind is InvalidResponseKind.SHAPE:
        return b'["unexpected"]'
    if kind is InvalidResponseKind.TYPES:
        return b'{"header":{"revision":"many"},"kvs":7,"succeeded":"maybe"}'
    if kind is InvalidResponseKind.BASE64:
        return (
            b'{"header":{"revision":"5"},"succeeded":3,"ID":"x","count":"1",'
            b'"kvs":[{"key":"*","value":"*","mod_revision":"2"}]}'
        )
    if kind is InvalidResponseKind.OTHER_KEY:
        return (
            b'{"header":{"revision":"5"},"ID":"-4","TTL":"0","count":"1",'
            b'"kvs":[{"key":"b3RoZXI=","value":"eA==","mod_revision":"2"}]}'
        )
    if kind is InvalidResponseKind.HUGE:
        return b'[' + b'0,' * (10 * 1024 * 1024) + b'0]'
    return msgspec.json.encode(response)[:-2]


class PlatformApp:
    """ASGI application in front of a `Platform`.

    Parameters
    ----------
    platform : Platform
        State to serve.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle an HTTP request."""
        kind = _CALL_BY_PATH.get(scope['path'])
        if scope['path'] in ('/faults', '/stats'):
            await self._serve_control(scope, receive, send)
        elif kind is None or scope['method'] != 'POST':
            await _respond_error(send, GatewayError(12, 'Not Found'))
        else:
            await self._serve_call(kind, receive, send)

    async def _serve_control(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if scope['path'] == '/stats':
            await _respond(send, msgspec.json.encode(self._platform.stats))
            return
        if scope['method'] == 'POST':
            try:
                changes = msgspec.json.decode(
                    await _read_body(receive), type=Json
                )
                self._platform.set_faults(changes)
            except (msgspec.MsgspecError, GatewayError) as error:
                choices = ', '.join(FaultSettings.__struct_fields__)
                body = {'error': f'{error}; the faults are: {choices}'}
                await _respond(send, msgspec.json.encode(body), 400)
                return
        await _respond(send, msgspec.json.encode(self._platform.faults))

    async def _serve_call(
        self, kind: str, receive: Receive, send: Send
    ) -> None:
        platform = self._platform
        platform.count_call(kind)
        try:
            request = msgspec.json.decode(await _read_body(receive), type=Json)
            await self._apply_request_faults(receive)
            if kind == 'watch':
                await self._serve_watch(request, receive, send)
                return
            response = platform.call(kind, request)
        except msgspec.MsgspecError as error:
            platform.count_call(kind, failed=True)
            await _respond_error(send, GatewayError(3, str(error)))
            return
        except GatewayError as error:
            platform.count_call(kind, failed=True)
            await _respond_error(send, error)
            return
        if kind in _WRITE_CALLS and platform.faults.lose_responses > 0:
            platform.faults.lose_responses -= 1
            platform.count_call(kind, failed=True)
            await _wait_for_disconnect(receive)
            return
        body = msgspec.json.encode(response)
        if platform.faults.nonsense > 0:
            platform.faults.nonsense -= 1
            platform.count_call(kind, failed=True)
            body = _encode_invalid_response(
                platform.faults.nonsense_kind, response
            )
        await _respond(send, body)

    async def _apply_request_faults(self, receive: Receive) -> None:
        faults = self._platform.faults
        if faults.hang:
            await _wait_for_disconnect(receive)
            raise GatewayError(14, 'stand-in: client disconnected')
        if faults.delay_s:
            await trio.sleep(faults.delay_s)
        if self._platform.faults.outage:
            raise GatewayError(
                14, 'connection error: desc = "transport: Error while dialing"'
            )

    async def _serve_watch(
        self, request: Json, receive: Receive, send: Send
    ) -> None:
        started = False

        async def send_message(result: Json) -> None:
            nonlocal started
            if not started:
                await _send_start(send, 200, None)
                started = True
            body = msgspec.json.encode({'result': result})
            faults = self._platform.faults
            if faults.nonsense > 0:
                faults.nonsense -= 1
                body = _encode_invalid_response(faults.nonsense_kind, result)
            await send(
                {
                    'type': 'http.response.body',
                    'body': body + b'\n',
                    'more_body': True,
                }
            )

        rejection: GatewayError | None = None
        async with trio.open_nursery() as nursery:

            async def cancel_on_disconnect() -> None:
                await _wait_for_disconnect(receive)
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on_disconnect)
            try:
                await self._platform.watch(request, send_message)
            except GatewayError as error:
                rejection = error
            nursery.cancel_scope.cancel()
        if rejection is not None:
            raise rejection
        if started:
            await send({'type': 'http.response.body', 'body': b''})


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise GatewayError(14, 'stand-in: client disconnected')
        body += message.get('body', b'')
        if len(body) > _MAX_BODY_BYTES:
            raise GatewayError(3, 'etcdserver: request is too large')
        if not message.get('more_body'):
            return bytes(body)


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass


async def _send_start(send: Send, status: int, length: int | None) -> None:
    headers = [(b'content-type', b'application/json')]
    if length is not None:
        headers.append((b'content-length', str(length).encode('ascii')))
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
    )


async def _respond(send: Send, body: bytes, status: int = 200) -> None:
    await _send_start(send, status, len(body))
    await send({'type': 'http.response.body', 'body': body})


async def _respond_error(send: Send, error: GatewayError) -> None:
    body = {
        'error': str(error),
        'code': error.grpc_status,
        'message': str(error),
    }
    await _respond(
        send,
        msgspec.json.encode(body),
        _HTTP_STATUS_BY_GRPC_STATUS.get(error.grpc_status, 500),
    )


def server_settings() -> _http_server.HttpSettings:
    """Return the settings of the HTTP server of the stand-in."""
    # The gateway of etcd does not close idle connections.
    return _http_server.HttpSettings(
        idle_timeout_s=3600.0, close_timeout_s=1.0, read_ahead=1
    )


async def serve_platform(
    platform: Platform,
    bind: str,
    shutdown: trio.Event,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a stand-in over TCP until a graceful shutdown.

    Parameters
    ----------
    platform : Platform
        State to serve.
    bind : str
        ``<ip>:<port>``; port 0 for any free one.
    shutdown : trio.Event
        Event that starts the shutdown, which ends open watches.
    task_status : trio.TaskStatus of str
        Receives the address in use, ``<ip>:<port>``.
    """

    async def end_watches() -> None:
        await shutdown.wait()
        platform.set_faults({'drop_watches': True})

    async with trio.open_nursery() as background:
        await background.start(platform.run)
        background.start_soon(end_watches)
        await _http_server.serve(
            PlatformApp(platform),
            server_settings(),
            bind,
            shutdown,
            task_status=task_status,
        )
        background.cancel_scope.cancel()
