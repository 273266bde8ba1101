"""Tenants and limits in fragments, snapshots and deltas."""

from __future__ import annotations

import msgspec
import pytest

from gypsumhall._errors import InvalidUpdateError
from gypsumhall.core import _delta
from gypsumhall.core import _model
from gypsumhall.core._snapshot import Snapshot

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
