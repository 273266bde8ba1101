"""Tenants and limits in fragments, snapshots and deltas."""

from __future__ import annotations

import msgspec
import pytest

from gypsumhall._errors import InvalidUpdateError
from gypsumhall.core import _delta
from gypsumhall.core import _model
from gypsumhall.core import _tenants
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.testing import builders

_FRAGMENT = _model.Fragment('d', (_model.Service('s', ('1',), '1'),))


def _tenant(name: str, *keys: bytes) -> _model.Tenant:
    return _model.Tenant(name, tuple(sorted(map(_model.digest, keys))))


def _snapshot(version: int, *fragments: _model.Fragment) -> Snapshot:
    refs = {
        item.department: _model.DepartmentRef(
            _model.digest(_model.encode(item)), ''
        )
        for item in fragments
    }
    return Snapshot.build(_model.Head(version, refs), fragments)


def test_fragment_without_tenants_keeps_its_encoding() -> None:
    # Another encoding would change the digests of stored fragments.
    fields = msgspec.msgpack.decode(_model.encode(_FRAGMENT))
    assert set(fields) == {'department', 'services', 'routes', 'moves'}


def test_snapshot_finds_tenant_by_any_of_its_keys() -> None:
    tenant = _tenant('a', b'k1', b'k2')
    snapshot = _snapshot(
        1, msgspec.structs.replace(_FRAGMENT, tenants=(tenant,))
    )
    assert snapshot.has_tenants
    assert snapshot.tenant_by_key(b'k1') is tenant
    assert snapshot.tenant_by_key(b'k2') is tenant
    assert snapshot.tenant_by_key(b'k3') is None
    assert not _snapshot(1, _FRAGMENT).has_tenants


@pytest.mark.parametrize(
    ('tenants', 'message'),
    [
        ((_tenant('a', b'k'), _tenant('b', b'k')), "'a' and 'b'"),
        ((_tenant('a', b'k'), _tenant('a', b'l')), "'a' twice"),
    ],
)
def test_ambiguous_tenants_are_rejected(
    tenants: tuple[_model.Tenant, ...], message: str
) -> None:
    with pytest.raises(InvalidUpdateError, match=message):
        _snapshot(1, _model.Fragment('d', tenants=tenants))


def test_lowest_limit_of_all_departments_applies() -> None:
    snapshot = _snapshot(
        1,
        _model.Fragment('d', limits=_model.RequestLimits(100, 0, 2)),
        _model.Fragment('e', limits=_model.RequestLimits(50, 70, 3)),
        _model.Fragment('f'),
    )
    assert snapshot.limits == _model.RequestLimits(50, 70, 2)


def test_delta_carries_changed_tenants_and_limits() -> None:
    tenants = tuple(_tenant(f't{n:02}', b'key %d' % n) for n in range(80))
    old = _snapshot(1, msgspec.structs.replace(_FRAGMENT, tenants=tenants))
    changed = (_tenant('t00', b'other'), *tenants[2:])
    for fragment in (
        msgspec.structs.replace(
            _FRAGMENT, tenants=changed, limits=_model.RequestLimits(9)
        ),
        _FRAGMENT,
    ):
        new = _snapshot(2, fragment)
        update = _delta.diff(_delta.Base.of(old), _delta.Base.of(new))
        assert not update.fragments
        assert len(_model.encode(update)) < 1000
        head, fragments = _delta.resolve(update, _delta.Base.of(old))
        result = old.advance(head, fragments)
        assert result.tenants == new.tenants
        assert result.limits == new.limits
        assert result.tenant_by_key(b'key 0') is None


def test_tenants_are_kept_when_another_department_changes() -> None:
    tenant = _tenant('a', b'k')
    old = _snapshot(1, _model.Fragment('d', tenants=(tenant,)))
    other = _model.Fragment('e')
    refs = {
        **old.head.departments,
        'e': _model.DepartmentRef(_model.digest(_model.encode(other)), ''),
    }
    new = old.advance(_model.Head(2, refs), [other])
    assert new.tenant_by_key(b'k') is tenant


_PUBLIC = builders.build_route('public', path='/public')
_PUBLIC = msgspec.structs.replace(_PUBLIC, public=True)
_ROUTE = msgspec.structs.replace(builders.build_route(), priority=3)


@pytest.mark.parametrize(
    ('keys', 'tenant', 'reason'),
    [
        ([b'k1'], 'a', ''),
        ([b'k2'], 'a', ''),
        ([b'l'], 'b', ''),
        ([], '', 'key-missing'),
        ([b''], '', 'key-empty'),
        ([b'K1'], '', 'key-unknown'),
        ([b'k1,l'], '', 'key-unknown'),
        ([b'k1', b'k1'], '', 'key-repeated'),
        ([b'k1', b'l'], '', 'key-repeated'),
        ([b'\xff\x00'], '', 'key-unknown'),
    ],
)
def test_identity_by_key(keys: list[bytes], tenant: str, reason: str) -> None:
    """Guards against requests without a key, and against ambiguous ones."""
    tenants = (_tenant('a', b'k1', b'k2'), _tenant('b', b'l'))
    snapshot = _snapshot(1, _model.Fragment('d', tenants=tenants))
    identity = _tenants.identify(snapshot, _ROUTE, keys)
    assert (identity.name, identity.reason) == (tenant, reason)
    public = _tenants.identify(snapshot, _PUBLIC, keys)
    assert (public.name, public.reason) == (tenant, '')
    without = _tenants.identify(_snapshot(1, _FRAGMENT), _ROUTE, keys)
    assert without is _tenants.NO_TENANT


def test_priority_of_the_tenant_takes_precedence() -> None:
    tenants = (_tenant('a', b'k'), _tenant('b', b'l'))
    tenants = (msgspec.structs.replace(tenants[0], priority=0), tenants[1])
    snapshot = _snapshot(1, _model.Fragment('d', tenants=tenants))
    ranks = [
        _tenants.identify(snapshot, _ROUTE, [key]).priority(_ROUTE)
        for key in (b'k', b'l')
    ]
    assert ranks == [0, 3]


def test_only_a_key_of_no_tenant_is_revoked() -> None:
    old = _snapshot(
        1, _model.Fragment('d', tenants=(_tenant('a', b'k', b'l'),))
    )
    identity = _tenants.identify(old, _ROUTE, [b'k'])
    other = _tenant('b', b'k')
    removed = _snapshot(2, _model.Fragment('d', tenants=(_tenant('a', b'l'),)))
    moved = _snapshot(
        2, _model.Fragment('d', tenants=(_tenant('a', b'l'), other))
    )
    assert not _tenants.is_revoked(old, _ROUTE, identity)
    assert _tenants.is_revoked(removed, _ROUTE, identity)
    assert _tenants.is_revoked(removed, None, identity)
    # All of these configurations allow the request.
    assert not _tenants.is_revoked(removed, _PUBLIC, identity)
    assert not _tenants.is_revoked(moved, _ROUTE, identity)
    assert not _tenants.is_revoked(_snapshot(2, _FRAGMENT), _ROUTE, identity)
    assert not _tenants.is_revoked(removed, _ROUTE, _tenants.NO_TENANT)
