"""Tests of the platform's configuration, order and heartbeat formats."""

from __future__ import annotations

import json
from typing import Any

import pytest

from gypsumhall import platform
from gypsumhall.core import _model
from gypsumhall.core._member import EndpointState
from gypsumhall.core._model import MoveState
from gypsumhall.core._model import RequestLimits
from gypsumhall.core._model import Target
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.errors import GypsumhallError
from gypsumhall.errors import InvalidUpdateError


def _route(name: str, prefix: str, **spec: Any) -> dict[str, Any]:
    return {
        'entryType': 'routes',
        'metadata': {'name': name},
        'spec': {
            'host': 'hulo84.example',
            'prefix': prefix,
            'type': 'idempotent',
            'timeoutMs': 1500,
            'sloMs': 500,
            'priority': 1,
            'attempts': 2,
            **spec,
        },
    }


def _service(name: str) -> dict[str, Any]:
    spec = {'healthPath': '/healthz', 'maxConns': 130, 'protocol': 'h1'}
    return {
        'entryType': 'services',
        'metadata': {'name': name},
        'spec': {**spec, 'tls': False},
    }


def _config(*resources: dict[str, Any], version: str = '0000000c') -> bytes:
    limits = {'entryType': 'limits', 'metadata': {}, 'spec': {'a': 1}}
    return json.dumps(
        {
            'version': version,
            'baseVersion': '00000005',
            'resources': [*resources, limits],
        }
    ).encode()


def _snapshot(value: bytes) -> Snapshot:
    head, fragment = platform.decode_configuration(value)
    return Snapshot.build(head, [fragment])


def test_a_configuration_becomes_routes_and_services() -> None:
    value = _config(
        _route('r2', '/a/b/', type='non_idempotent', service='s1'),
        _route(
            'r1',
            '/a/',
            split=[
                {'service': 's1', 'weight': 90},
                {'service': 's2', 'weight': 10},
            ],
        ),
        _service('s1'),
        _service('s2'),
    )
    snapshot = _snapshot(value)
    assert snapshot.version == 12
    matched = snapshot.match('hulo84.example', '/a/b/c', exact=True)
    assert matched is not None
    route = matched.route
    assert (route.service, route.timeout_s, route.objective_s) == (
        's1',
        1.5,
        0.5,
    )
    assert not route.is_idempotent('GET')
    other = snapshot.match('hulo84.example', '/a/x', exact=True)
    assert other is not None
    assert other.route.targets == (Target('s1', 90), Target('s2', 10))
    assert other.route.is_idempotent('POST')


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/a/b/', 'platform/r2'),
        ('/a/b', 'platform/r1'),
        ('/a/bc', 'platform/r1'),
        ('/a', None),
        ('/b/', None),
    ],
)
def test_a_prefix_matches_with_its_trailing_slash(
    path: str, name: str | None
) -> None:
    """The longest matching prefix wins; its trailing slash must match too."""
    snapshot = _snapshot(
        _config(
            _route('r1', '/a/', service='s1'),
            _route('r2', '/a/b/', service='s1'),
            _service('s1'),
        )
    )
    matched = snapshot.match('hulo84.example', path, exact=True)
    assert (matched.id if matched else None) == name


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'{"version": "0000000c", "resou',
        b'{"version": "xyz", "resources": []}',
        b'{"version": 12, "resources": []}',
        _config({'entryType': 'routes', 'metadata': {'name': 'r'}, 'spec': 3}),
    ],
)
def test_malformed_configuration_is_rejected(value: bytes) -> None:
    with pytest.raises(InvalidUpdateError):
        platform.decode_configuration(value)


@pytest.mark.parametrize(
    ('spec', 'path'),
    [
        ({'healthPath': '/healthz', 'maxConns': 130}, '/healthz'),
        ({}, ''),
        ({'healthPath': 7}, ''),
        ({'healthPath': 'healthz'}, ''),
        ({'healthPath': '/a b'}, ''),
        ({'healthPath': '/a\r\nb: c'}, ''),
        ({'healthPath': '/' + 'a' * 2001}, ''),
        ([], ''),
        (None, ''),
    ],
)
def test_service_with_an_odd_status_path_is_kept(
    spec: object, path: str
) -> None:
    """Its routes must still be served."""
    entry = {
        'entryType': 'services',
        'metadata': {'name': 's'},
        'spec': spec,
    }
    value = {'version': '00000001', 'resources': [entry]}
    _, fragment = platform.decode_configuration(json.dumps(value).encode())
    (service,) = fragment.services
    assert (service.name, service.status_path) == ('s', path)


@pytest.mark.parametrize(
    ('fields', 'limit'),
    [
        ({'coldPerS': 12, 'warmupS': 4.5}, (12.0, 4.5)),
        ({'coldPerS': 12}, (12.0, 0.0)),
        ({}, (0.0, 0.0)),
        ({'coldPerS': -1}, (0.0, 0.0)),
        ({'coldPerS': '12'}, (0.0, 0.0)),
    ],
)
def test_limit_of_cold_endpoints_is_read(
    fields: dict[str, object], limit: tuple[float, float]
) -> None:
    """An odd limit must not hide the status path or the routes."""
    entry = _service('s')
    entry['spec'].update(fields)
    value = {'version': '00000001', 'resources': [entry]}
    _, fragment = platform.decode_configuration(json.dumps(value).encode())
    (service,) = fragment.services
    assert (service.cold_rate_per_s, service.warmup_s) == limit
    assert service.status_path == '/healthz'
    encoded = _model.encode(fragment)
    assert (b'cold_rate_per_s' in encoded) == bool(limit[0])
    assert _model.decode_fragment(encoded) == fragment


@pytest.mark.parametrize(
    ('key', 'zone'),
    [
        ('op/evacuate/norte', 'norte'),
        ('op/evacuate/a/b', 'a/b'),
        ('op/evacuated/norte', ''),
        ('op/config', ''),
        ('status/op/evacuate/norte', ''),
    ],
)
def test_zone_of_an_evacuation_key(key: str, zone: str) -> None:
    assert platform.evacuated_zone(key) == zone


@pytest.mark.parametrize('zone', ['', 'z' * 257])
def test_evacuation_key_without_a_usable_zone_is_rejected(zone: str) -> None:
    """It would be spread to all daemons, which could not decode it."""
    with pytest.raises(InvalidUpdateError, match='characters'):
        platform.evacuated_zone(f'op/evacuate/{zone}')


def test_a_route_to_an_unknown_service_is_not_installed() -> None:
    split = [{'service': 's1', 'weight': 1}, {'service': 's9', 'weight': 1}]
    value = _config(_route('r1', '/a/', split=split), _service('s1'))
    with pytest.raises(InvalidUpdateError, match='s9'):
        _snapshot(value)


_BODY: dict[str, Any] = {
    'addr': '10.128.0.9:8080',
    'info': {'service': 's', 'version': 'v1', 'zone': 'z', 'slots': 6},
    'status': {'state': 'ready', 'seq': 4, 'warmupLeftMs': 1500},
    'born': 1700,
}


def test_a_heartbeat_is_decoded() -> None:
    heartbeat = platform.decode_heartbeat('i-1', json.dumps(_BODY).encode())
    assert (
        heartbeat.instance,
        heartbeat.started_ms,
        heartbeat.sequence,
    ) == ('i-1', 1700, 4)
    assert heartbeat.endpoint.state is EndpointState.READY
    assert heartbeat.warmup_s == 1.5


@pytest.mark.parametrize(
    'change',
    [
        {'status': {'state': 'sleeping', 'seq': 4}},
        {'status': {'state': 'ready', 'seq': 'four'}},
        {'status': {}},
        {'info': {'service': '', 'version': 'v1', 'zone': 'z', 'slots': 6}},
        {'info': {'service': 's', 'version': 'v1', 'zone': 'z', 'slots': 0}},
        {'info': None},
        {'addr': 7},
        {'born': 'yesterday'},
    ],
    ids=str,
)
def test_heartbeat_with_invalid_fields_is_rejected(
    change: dict[str, Any],
) -> None:
    body = json.dumps({**_BODY, **change}).encode()
    with pytest.raises(GypsumhallError):
        platform.decode_heartbeat('i-1', body)


@pytest.mark.parametrize('body', [b'', b'\xff\xfe', b'[]', b'null'])
def test_malformed_heartbeat_is_rejected(body: bytes) -> None:
    with pytest.raises(GypsumhallError):
        platform.decode_heartbeat('i-1', body)
    assert platform.decode_start_time(body) == 0


def test_order_is_decoded_and_its_state_encoded() -> None:
    value = b'{"service":"s","targetVersion":"v2","durationS":12}'
    order = platform.decode_rollout(value)
    assert (order.service, order.version, order.duration_s) == ('s', 'v2', 12)
    state = platform.encode_rollout_status(order, MoveState.DONE)
    assert json.loads(state) == {'state': 'completed', 'targetVersion': 'v2'}
    assert platform.rollout_service('op/rollout/s') == 's'
    assert platform.rollout_service('op/config') == ''
    assert platform.rollout_status_key('s') == 'status/rollout/s'
    with pytest.raises(InvalidUpdateError):
        platform.decode_rollout(b'{"service":"s"}')


def _tenant(name: str, *keys: Any, **spec: Any) -> dict[str, Any]:
    return {
        'entryType': 'tenants',
        'metadata': {'name': name},
        'spec': {'apiKeys': keys, **spec},
    }


def test_tenants_are_decoded_without_their_keys() -> None:
    """Guards against keys that leave the code that reads the store."""
    value = _config(
        _tenant('b', 'key-b', 'key-c', priority=2, ratePerS=328, burst=9.5),
        _tenant('a', 'key-a', 'key-a'),
    )
    head, fragment = platform.decode_configuration(value)
    snapshot = Snapshot.build(head, [fragment])
    assert [item.name for item in fragment.tenants] == ['a', 'b']
    for key in (b'key-b', b'key-c'):
        tenant = snapshot.tenant_by_key(key)
        assert tenant is not None
        assert (tenant.name, tenant.priority) == ('b', 2)
        assert (tenant.rate_per_s, tenant.burst) == (328, 9.5)
    assert snapshot.tenants['a'].priority is None
    assert snapshot.tenants['a'].rate_per_s == 0
    assert 'key-' not in repr(fragment)


def test_public_uploads_and_limits_are_decoded() -> None:
    limits = {
        'entryType': 'limits',
        'spec': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }
    value = json.loads(
        _config(
            _route('r', '/a/', type='upload', public=True, service='s'),
            _service('s'),
        )
    )
    value['resources'][-1] = limits
    snapshot = _snapshot(json.dumps(value).encode())
    (matched,) = snapshot.routes
    assert matched.route.public
    assert matched.route.upload
    # An upload must not be sent twice.
    assert not matched.route.is_idempotent('PUT')
    assert snapshot.services['s'].max_connections == 130
    assert snapshot.limits == RequestLimits(16384, 67108864, 3.0, 15.0)


_SECRET = 'secret-key-4711'


def test_tenant_without_keys_is_accepted() -> None:
    """Guards against a rejected configuration when a last key is removed."""
    head, fragment = platform.decode_configuration(
        _config(_tenant('t'), _tenant('other', _SECRET), _service('s'))
    )
    snapshot = Snapshot.build(head, [fragment])
    assert snapshot.tenants['t'].key_digests == ()
    assert (
        snapshot.tenant_by_key(_SECRET.encode()) == (snapshot.tenants['other'])
    )


@pytest.mark.parametrize(
    ('entry', 'place'),
    [
        (_tenant('t', _SECRET, ''), r'apiKeys\[1\]'),
        (_tenant('t', ' ' + _SECRET), r'apiKeys\[0\]'),
        (_tenant('t', _SECRET + '\r\nX: 1'), r'apiKeys\[0\]'),
        (_tenant('t', _SECRET * 100), r'apiKeys\[0\]'),
        (_tenant('t', _SECRET, 5), r'apiKeys\[1\]'),
        (_tenant('t', _SECRET, ratePerS=-1), 'ratePerS'),
        (_tenant('t', _SECRET, ratePerS='9'), 'ratePerS'),
        (_tenant('t', _SECRET, burst=-1), 'burst'),
        (_tenant('t', _SECRET, burst=True), 'burst'),
        (_tenant('t', _SECRET, priority=-1), 'priority'),
        (_tenant('t', _SECRET, priority=1.5), 'priority'),
        (_tenant('', _SECRET), 'name'),
        (_tenant('a\nb', _SECRET), 'name'),
        (_tenant('first', _SECRET), "'first' is defined twice"),
        (_tenant('t', 'other', 'first'), "'first' and 't' have the same key"),
        ({**_tenant('t'), 'spec': {'apiKeys': _SECRET}}, 'apiKeys'),
        ({**_tenant('t'), 'spec': None}, 'object'),
        (_route('t', '/a/', public='yes', service='s'), 'public'),
        ({**_service('t'), 'spec': {'maxConns': -1}}, 'maxConns'),
        ({**_service('t'), 'spec': {'maxConns': '5'}}, 'maxConns'),
        (
            {'entryType': 'limits', 'spec': {'maxHeaderBytes': -1}},
            'maxHeaderBytes',
        ),
        (
            {'entryType': 'limits', 'spec': {'idleTimeoutMs': 'soon'}},
            'idleTimeoutMs',
        ),
        ({'entryType': 'limits', 'spec': {}}, 'more than one'),
    ],
)
def test_malformed_entry_rejects_the_configuration_without_its_key(
    entry: dict[str, Any], place: str
) -> None:
    """Guards against a partial configuration, and against logged keys."""
    value = _config(_tenant('first', 'first'), entry, _service('s'))
    with pytest.raises(InvalidUpdateError, match=place) as caught:
        platform.decode_configuration(value)
    assert _SECRET not in str(caught.value)
