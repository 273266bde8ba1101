"""Tests of data that another writer left in the store or sent."""

from __future__ import annotations

from contextlib import asynccontextmanager
import json
from typing import Any
from typing import TYPE_CHECKING

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest
import trio

from gypsumhall import platform
from gypsumhall.core import _model
from gypsumhall.errors import GypsumhallError
from gypsumhall.errors import StoreError
from gypsumhall.kernel import Kernel
from gypsumhall.net import _frames
from gypsumhall.net import _handshake
from gypsumhall.net import _messages
from gypsumhall.net._protocol import PeerInfo
from gypsumhall.net._socket import split_address
from gypsumhall.services._admin import RequestError
from gypsumhall.services._announcements import AnnouncementsService
from gypsumhall.services._feed import Feed
from gypsumhall.services._operator import _json_body
from gypsumhall.services._protocols import AdminRequest
from gypsumhall.services._reader import _decode_record
from gypsumhall.services._registration import PREFIX
from gypsumhall.services._registration import Registration
from gypsumhall.services._rollouts import RolloutService
from gypsumhall.store import KeyValue
from gypsumhall.store import Put
from gypsumhall.store import Revision
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeDistribution
from gypsumhall.testing.fakes import FakeEvents
from gypsumhall.testing.fakes import FakeMembership
from gypsumhall.testing.fakes import FakeService
from gypsumhall.testing.memory_store import MemoryStore
from gypsumhall.timeline import Logs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from trio.testing import MockClock

_DEPTH = 100_000
_DEEP_JSON = b'[' * _DEPTH + b']' * _DEPTH
_DEEP_MSGPACK = b'\x91' * _DEPTH + b'\xc0'


def _decode_hello(data: bytes) -> Any:
    peer = PeerInfo('a', 'z', 1, '10.0.0.1:1')
    return _handshake.Handshake(peer, [b'k' * 16])._decode_hello(data)


def _read_log(data: bytes) -> None:
    Logs().add_lines('log', data)


def _install_record(data: bytes) -> list[Any]:
    service = RolloutService()
    service._events = FakeEvents()
    service._install_items([KeyValue('records/s', data, Revision(0, 1))])
    return list(service._records.all())


async def _announce(data: bytes) -> int:
    request = AdminRequest('POST', '/v1/announce', body=data)
    return (await AnnouncementsService().handle(request)).status


_JSON_DECODERS: dict[str, Callable[[bytes], Any]] = {
    'heartbeat': lambda data: platform.decode_heartbeat('i-1', data),
    'leaving notice': platform.decode_start_time,
    'configuration': platform.decode_configuration,
    'order': platform.decode_rollout,
    'reader': lambda data: _decode_record(KeyValue('k', data, Revision(0, 1))),
    'log': _read_log,
}
_MSGPACK_DECODERS: dict[str, Callable[[bytes], Any]] = {
    'head': _model.decode_head,
    'fragment': _model.decode_fragment,
    'message': _frames.decode_message,
    'hello': _decode_hello,
    'record': _install_record,
}


@pytest.mark.parametrize('name', _JSON_DECODERS)
@pytest.mark.parametrize(
    'template', [b'%s', b'{"x":%s}', b'{"born":%s}', b'{"resources":%s}']
)
def test_deeply_nested_json_does_not_end_the_daemon(
    name: str, template: bytes
) -> None:
    """Deep nesting raises `RecursionError`, which no caller expects."""
    try:
        _JSON_DECODERS[name](template.replace(b'%s', _DEEP_JSON))
    except GypsumhallError as error:
        assert len(str(error)) < 1000


def test_deeply_nested_route_does_not_end_the_daemon() -> None:
    """The specification of a route is decoded after the configuration."""
    entry = b'{"entryType":"routes","metadata":{"name":"r"},"spec":%s}'
    value = b'{"version":"0c","resources":[%s]}' % (entry % _DEEP_JSON)
    with pytest.raises(GypsumhallError):
        platform.decode_configuration(value)


@pytest.mark.parametrize('name', _MSGPACK_DECODERS)
@pytest.mark.parametrize('prefix', [b'', b'\x81\xa1x', b'\x93\x02\xa1a'])
def test_deeply_nested_msgpack_does_not_end_the_daemon(
    name: str, prefix: bytes
) -> None:
    """Deep nesting raises `RecursionError`, which no caller expects."""
    try:
        _MSGPACK_DECODERS[name](prefix + _DEEP_MSGPACK)
    except GypsumhallError as error:
        assert len(str(error)) < 1000


@pytest.mark.parametrize('body', [b'{"text":%s}', b'%s'])
async def test_deeply_nested_request_gets_an_error_response(
    body: bytes,
) -> None:
    """The error of the decoder must not reach the listener."""
    data = body.replace(b'%s', _DEEP_JSON)
    assert await _announce(data) == 400
    with pytest.raises(RequestError):
        _json_body(AdminRequest('POST', '/v1/submit', body=data))


@hypothesis.given(data=st.binary(max_size=200))
@pytest.mark.parametrize('name', [*_JSON_DECODERS, *_MSGPACK_DECODERS])
def test_arbitrary_bytes_raise_only_the_documented_error(
    name: str, data: bytes
) -> None:
    """Any other error ends the service that reads the entry."""
    decoder = {**_JSON_DECODERS, **_MSGPACK_DECODERS}[name]
    try:
        decoder(data)
    except GypsumhallError as error:
        assert str(error)


class _Store(MemoryStore):
    elections: Any = None


class _Distribution(FakeDistribution):
    def set_head_reader(self, read: Callable[[], Any]) -> None:
        self.read = read


class _Orders(FakeService):
    name = 'moves'

    def __init__(self) -> None:
        self.services: list[str] = []

    def add_order(self, order: Any, revision: int) -> None:
        self.services.append(order.service)


@asynccontextmanager
async def _open_feed() -> AsyncIterator[
    tuple[_Store, _Orders, _Distribution, FakeEvents]
]:
    store, orders, distribution = _Store(), _Orders(), _Distribution()
    events = FakeEvents()
    membership = FakeMembership(builders.build_member(0))
    kernel = Kernel()
    services: list[Any] = [events, store, membership, distribution, orders]
    for service in (*services, Feed()):
        kernel.register(service)
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        await trio.sleep(0.5)
        yield store, orders, distribution, events
        nursery.cancel_scope.cancel()


_ORDER = b'{"service":"%s","targetVersion":"v2","durationS":12}'
_CONFIG = b'{"version":"0000000%d","resources":[]}'


@pytest.mark.parametrize(
    'odd',
    [
        pytest.param(b'{"x":%s}' % _DEEP_JSON, id='nested'),
        pytest.param(_ORDER.replace(b'12', b'1e999') % b'odd', id='number'),
        pytest.param(b'\xff\xfe', id='no text'),
    ],
)
async def test_an_odd_entry_leaves_the_other_entries_in_force(
    odd: bytes, autojump_clock: MockClock
) -> None:
    """The daemons that read the entries ended, again after each restart."""
    async with _open_feed() as (store, orders, distribution, events):

        def version() -> int:
            snapshot = distribution.snapshot
            return snapshot.version if snapshot else 0

        await store.txn([], [Put('op/rollout/a', odd)])
        await store.txn([], [Put('op/config', _CONFIG % 1)])
        await trio.sleep(0.5)
        assert version() == 1
        store.drop_watches()
        await store.txn([], [Put('op/config', odd)])
        await store.txn([], [Put('op/rollout/odd', odd)])
        await store.txn([], [Put('op/config', _CONFIG % 2)])
        await store.txn([], [Put('op/rollout/s', _ORDER % b's')])
        await trio.sleep(0.5)
        assert version() == 2
        assert orders.services == ['s']
    assert 'feed-entry-rejected' in events.codes


# Heartbeats


_HEARTBEAT: dict[str, Any] = {
    'addr': '10.0.0.9:80',
    'info': {'service': 's', 'version': 'v1', 'zone': 'z', 'slots': 6},
    'status': {'state': 'ready', 'seq': 4, 'warmupLeftMs': 0},
    'born': 100,
}


def _change(path: str, value: object) -> bytes:
    """Return the heartbeat with another value at a dotted path."""
    body = json.loads(json.dumps(_HEARTBEAT))
    *parents, name = path.split('.')
    fields = body
    for parent in parents:
        fields = fields[parent]
    fields[name] = value
    return json.dumps(body).encode()


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        ('info.slots', 10**30),
        ('info.slots', 10**9),
        ('info.slots', -1),
        ('info.service', 's' * 10_000),
        ('info.version', 'v' * 10_000),
        ('status.seq', 10**40),
        ('status.seq', 2**63),
        ('status.seq', -1),
        ('status.warmupLeftMs', 10**300),
        ('born', 10**30),
        ('born', -1),
    ],
)
def test_numbers_out_of_range_are_not_sent_to_peers(
    path: str, value: object
) -> None:
    """Numbers over 64 bits failed only where daemons sent them on."""
    with pytest.raises(GypsumhallError):
        platform.decode_heartbeat('i-1', _change(path, value))


@pytest.mark.parametrize(
    'address',
    [
        'x:1',
        '10.0.0.9',
        '10.0.0.9:',
        '10.0.0.9:0',
        '10.0.0.9:-1',
        '10.0.0.9:70000',
        '10.0.0.9:99999999999999999999',
        '10.0.0.9: 80',
        '10.0.0.9:8_0',
        '10.0.0.9:\u0668\u0660',
        '10.0.0.9:' + '9' * 5000,
        ':80',
        'fe80::1%\x00:80',
        '',
    ],
)
async def test_endpoint_with_an_unusable_address_is_not_used(
    address: str,
) -> None:
    """Connecting to some of them raises other errors than `OSError`."""
    with pytest.raises(GypsumhallError):
        platform.decode_heartbeat('i-1', _change('addr', address))
    body = {
        'service': 's',
        'version': 'v1',
        'address': address,
        'slots': 1,
        'state': 'ready',
    }
    assert await _announce(json.dumps(body).encode()) == 400


@pytest.mark.parametrize(
    'instance', ['', 'i 1', 'i\r\nx: y', 'i-\xe9', 'i' * 10_000]
)
def test_instance_id_that_no_header_can_hold_is_rejected(
    instance: str,
) -> None:
    """The id is a header of each request to the backend server."""
    with pytest.raises(GypsumhallError):
        platform.decode_heartbeat(instance, _change('born', 100))


_JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(-(10**40), 10**40)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.sampled_from(['10.0.0.9:80', '[::1]:8080', 'ready', 'v1', 's']),
    lambda items: (
        st.lists(items, max_size=3)
        | st.dictionaries(st.text(max_size=4), items, max_size=3)
    ),
    max_leaves=6,
)
_PATHS = [
    'addr',
    'info',
    'info.service',
    'info.version',
    'info.slots',
    'status',
    'status.state',
    'status.seq',
    'status.warmupLeftMs',
    'born',
]


@hypothesis.given(path=st.sampled_from(_PATHS), value=_JSON_VALUES)
def test_every_accepted_heartbeat_can_be_sent_to_peers(
    path: str, value: object
) -> None:
    """An endpoint that cannot be encoded ends the daemon that accepts it."""
    try:
        accepted = platform.decode_heartbeat('i-1', _change(path, value))
    except GypsumhallError:
        return
    member = builders.build_member(0, endpoint=accepted.endpoint)
    heartbeat = _messages.Heartbeat(member, _messages.Digest())
    data = _frames.encode_message(heartbeat)
    assert _frames.decode_message(data) == heartbeat
    host, port = split_address(accepted.address)
    assert host
    assert 0 < port < 65536
    assert 0 <= accepted.warmup_s < 10**6


@pytest.mark.parametrize(
    'changes',
    [
        {'incarnation': 2**64 - 1},
        {'sequence': 2**63},
        {'endpoint': builders.build_endpoint(slots=2**64 - 1)},
        {'endpoint': builders.build_endpoint(slots=-1)},
    ],
)
def test_member_entry_that_cannot_be_incremented_is_rejected(
    changes: dict[str, Any],
) -> None:
    """The daemon that it names refutes it with a higher incarnation."""
    member = msgspec.structs.replace(builders.build_member(0), **changes)
    heartbeat = _messages.Heartbeat(member, _messages.Digest())
    with pytest.raises(GypsumhallError):
        _frames.decode_message(_frames.encode_message(heartbeat))


# Orders and configurations


@pytest.mark.parametrize(
    'duration', ['0', '-5', '1e999', '1e300', '1' + '0' * 400, 'NaN', 'null']
)
def test_order_with_an_unusable_duration_is_rejected(duration: str) -> None:
    """Times that are computed from it are no finite numbers."""
    value = b'{"service":"s","targetVersion":"v2","durationS":%s}'
    with pytest.raises(GypsumhallError):
        platform.decode_rollout(value % duration.encode())


_ROUTE: dict[str, Any] = {
    'host': 'h.example',
    'prefix': '/a/',
    'type': 'idempotent',
    'timeoutMs': 1500,
    'split': [{'service': 's', 'weight': 1}],
}


def _configuration(version: str, **changes: Any) -> bytes:
    route = {
        'entryType': 'routes',
        'metadata': {'name': 'r'},
        'spec': {**_ROUTE, **changes},
    }
    return json.dumps({'version': version, 'resources': [route]}).encode()


@pytest.mark.parametrize(
    'changes',
    [
        {'timeoutMs': -1},
        {'timeoutMs': 10**300},
        {'sloMs': -1},
        {'sloMs': 10**300},
        {'priority': 10**30},
        {'attempts': 2**64},
        {'attempts': -1},
        {'split': [{'service': 's', 'weight': -1}]},
        {'split': [{'service': 's', 'weight': 1e300}]},
    ],
    ids=str,
)
def test_route_with_numbers_out_of_range_is_not_sent_to_peers(
    changes: dict[str, Any],
) -> None:
    """Numbers over 64 bits failed only where daemons sent them on."""
    with pytest.raises(GypsumhallError):
        platform.decode_configuration(_configuration('0c', **changes))


@pytest.mark.parametrize(
    'version', ['', '-1', '0x1', '1_0', ' 1', 'f' * 16, 'f' * 5000, '\u0661']
)
def test_configuration_with_an_unusable_version_is_rejected(
    version: str,
) -> None:
    """Daemons compare and increment versions, and send them to peers."""
    with pytest.raises(GypsumhallError):
        platform.decode_configuration(_configuration(version))


_ROUTE_FIELDS = [*_ROUTE, 'sloMs', 'priority', 'attempts', 'service']


@hypothesis.given(
    version=st.text(max_size=4) | st.sampled_from(['0000000c', 'f' * 16]),
    name=st.sampled_from(_ROUTE_FIELDS),
    value=_JSON_VALUES,
)
def test_every_accepted_configuration_can_be_sent_to_peers(
    version: str, name: str, value: object
) -> None:
    """A version that cannot be encoded ends the daemon that publishes it."""
    data = _configuration(version, **{name: value})
    try:
        head, fragment = platform.decode_configuration(data)
    except GypsumhallError:
        return
    assert _model.decode_head(_model.encode(head)) == head
    assert _model.decode_fragment(_model.encode(fragment)) == fragment


@hypothesis.given(value=_JSON_VALUES)
@pytest.mark.parametrize('name', _JSON_DECODERS)
def test_arbitrary_json_raises_only_the_documented_error(
    name: str, value: object
) -> None:
    """Any other error ends the service that reads the entry."""
    data = json.dumps(value).encode()
    for body in (data, b'{"service":%s,"durationS":%s}' % (data, data)):
        try:
            _JSON_DECODERS[name](body)
        except GypsumhallError as error:
            assert str(error)


@pytest.mark.parametrize('share', [float('nan'), float('inf'), -1.0, 1.5])
def test_record_of_a_rollout_with_an_unusable_share_is_skipped(
    share: float,
) -> None:
    """No comparison with such a share holds, and no later one is smaller."""
    record = _messages.RolloutRecord('s', 'v2', Revision(1, 7), 1, share)
    assert not _install_record(msgspec.msgpack.encode(record))
    update = _messages.RolloutUpdate((record,))
    with pytest.raises(GypsumhallError):
        _frames.decode_message(_frames.encode_message(update))


async def test_order_under_the_key_of_another_service_is_rejected(
    autojump_clock: MockClock,
) -> None:
    """It started a rollout that nobody ordered and nobody reads."""
    async with _open_feed() as (store, orders, _, events):
        await store.txn([], [Put('op/rollout/odd', _ORDER % b's')])
        await trio.sleep(0.5)
        assert orders.services == []
        assert 'feed-entry-rejected' in events.codes


# Entries of daemons


_ODD_ADDRESSES = [
    b'',
    b'x:1',
    b'10.0.0.1:0',
    b'10.0.0.1:70000',
    b'10.0.0.1:99999999999999999999',
    b'10.0.0.1:1\x00',
    b'\xff\xfe',
    b'[' * 100_000,
]


async def test_entry_without_a_usable_address_is_no_seed() -> None:
    """A daemon that starts tries each address with a time-out."""
    store, events = _Store(), FakeEvents()
    service = Registration()
    service._store = store  # type: ignore[assignment]
    service._events = events  # type: ignore[assignment]
    for index, value in enumerate(_ODD_ADDRESSES):
        await store.txn([], [Put(f'{PREFIX}z/a{index}', value)])
    await store.txn([], [Put(f'{PREFIX}z/b', b'10.0.0.1:7600')])
    assert await service.read_seeds() == ['10.0.0.1:7600']
    assert events.codes == ['seed-rejected'] * len(_ODD_ADDRESSES)
    assert all(len(str(fields)) < 500 for _, fields in events.emitted)


@pytest.mark.parametrize('address', _ODD_ADDRESSES)
def test_reader_without_a_usable_address_is_no_seed(address: bytes) -> None:
    """A daemon that starts tries each address with a time-out."""
    body = {'id': 'a', 'zone': 'z', 'address': address.decode('latin-1')}
    item = KeyValue('k', json.dumps(body).encode(), Revision(0, 1))
    assert _decode_record(item) is None


async def test_malformed_configuration_does_not_end_a_starting_daemon(
    autojump_clock: MockClock,
) -> None:
    """The version floor is read in a task that expects errors of the store."""
    async with _open_feed() as (store, _, distribution, _):
        await store.txn([], [Put('op/config', b'{"version":')])
        with pytest.raises(StoreError):
            await distribution.read()
