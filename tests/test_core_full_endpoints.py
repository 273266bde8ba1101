"""Tests of the memory of endpoints that are full for a tenant."""

from __future__ import annotations

import pytest

from gypsumhall.core import _full_endpoints
from gypsumhall.core._full_endpoints import FullEndpoints


def test_endpoint_is_full_for_the_rejected_tenant_only() -> None:
    """Guards against rejecting all tenants for one that is over its share."""
    full = FullEndpoints()
    full.mark(1.0, 'hot', 'd1', 2, 1.04, 0.3)
    assert full.members(1.0, 'hot', 2) == {'d1'}
    assert full.members(1.0, 'hot', 1) == set()
    assert full.members(1.0, 'other', 2) == set()
    assert full.retry_after_s(1.0, 'hot') == pytest.approx(0.3)
    assert full.retry_after_s(1.0, 'other') == 0.0


def test_old_rejections_are_forgotten() -> None:
    """Guards against an endpoint that gets no call although it has room."""
    full = FullEndpoints()
    full.mark(1.0, 'hot', 'd1', 2, 1.04, 0.3)
    assert full.members(1.05, 'hot', 2) == set()
    assert len(full) == 0


def test_marks_are_bounded() -> None:
    """Guards against memory that grows with tenants and endpoints."""
    full = FullEndpoints()
    for index in range(2 * _full_endpoints.MAX_MARKS):
        full.mark(1.0, f't{index % 300}', f'd{index}', 2, 9.0, 0.3)
    assert len(full) <= _full_endpoints.MAX_MARKS
