"""Replays of the load patterns that `gypsumhall.core._placement` answers."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from gypsumhall.core._placement import ANY_VERSION
from gypsumhall.core._placement import Placement
from gypsumhall.net._messages import Load
from gypsumhall.testing import builders

if TYPE_CHECKING:
    from gypsumhall.core._member import Member

_SERVICE = 'availability'


def _members(zones: list[str], version: str = 'v1') -> list[Member]:
    endpoint = builders.build_endpoint(slots=4, version=version)
    return [
        builders.build_member(index, zone, endpoint)
        for index, zone in enumerate(zones)
    ]


def _placement(zones: list[str]) -> Placement:
    placement = Placement('az-1', Random(1))
    placement.update(_SERVICE, _members(zones), 1, 0.0)
    return placement


def _choices(
    placement: Placement, now: float, count: int = 200
) -> Counter[str]:
    chosen: Counter[str] = Counter()
    for _ in range(count):
        member = placement.choose(_SERVICE, ANY_VERSION, now)
        assert member is not None
        chosen[member.id] += 1
    return chosen


def test_slow_endpoints_get_calls_only_when_others_are_busy() -> None:
    placement = _placement(['az-1', 'az-1'])
    placement.report('d0', 10.0, Load(0, 0, 4, service_ms=100.0))
    placement.report('d1', 10.0, Load(0, 0, 4, service_ms=500.0))
    assert _choices(placement, 10.0) == {'d0': 200}
    full = Load(4, 20, 4, service_ms=100.0, wait_ms=600.0)
    placement.report('d0', 10.0, full)
    assert _choices(placement, 10.0)['d1'] > 190


def test_failing_endpoints_are_avoided_and_forgiven() -> None:
    """Guards against endpoints that fail while their health is good."""
    placement = _placement(['az-1', 'az-1'])
    for _ in range(5):
        placement.begin('d0')
        placement.end('d0', 10.0, failed=True)
    assert _choices(placement, 10.0) == {'d1': 200}
    later = _choices(placement, 60.0)
    assert 60 < later['d0'] < 140


def test_another_zone_helps_when_the_own_one_is_busy() -> None:
    placement = _placement(['az-1', 'az-2'])
    for member in ('d0', 'd1'):
        placement.report(member, 10.0, Load(0, 0, 4, service_ms=100.0))
    assert _choices(placement, 10.0) == {'d0': 200}
    busy = Load(4, 2, 4, service_ms=100.0, wait_ms=75.0)
    placement.report('d0', 10.0, busy)
    assert _choices(placement, 10.0) == {'d1': 200}


def test_large_responses_stay_in_the_zone_longer_than_small_ones() -> None:
    """Users pay for bytes between zones, not for crossings."""
    placement = _placement(['az-1', 'az-2'])
    for _ in range(50):
        placement.responded('large', 6000)
        placement.responded('small', 400)
    busy = Load(4, 2, 4, service_ms=100.0, wait_ms=60.0)
    placement.report('d0', 10.0, busy)
    placement.report('d1', 10.0, Load(0, 0, 4, service_ms=100.0))
    chosen = {
        route: placement.choose(_SERVICE, ANY_VERSION, 10.0, route=route)
        for route in ('large', 'small')
    }
    assert chosen['large'] is not None and chosen['large'].id == 'd0'
    assert chosen['small'] is not None and chosen['small'].id == 'd1'
    queued = Load(4, 12, 4, service_ms=100.0, wait_ms=300.0)
    placement.report('d0', 10.0, queued)
    found = placement.choose(_SERVICE, ANY_VERSION, 10.0, route='large')
    assert found is not None and found.id == 'd1'


def test_senders_with_equal_reports_do_not_choose_one_endpoint() -> None:
    """Herding on the endpoint that looks best makes it the worst."""
    chosen: Counter[str] = Counter()
    for seed in range(60):
        placement = Placement('az-1', Random(seed))
        placement.update(_SERVICE, _members(['az-1'] * 6), 1, 0.0)
        for index in range(6):
            load = Load(1, 0, 4, service_ms=100.0 + index)
            placement.report(f'd{index}', 10.0, load)
        member = placement.choose(_SERVICE, ANY_VERSION, 10.0)
        assert member is not None
        chosen[member.id] += 1
    assert max(chosen.values()) < 30


def test_old_reports_lose_their_weight() -> None:
    placement = _placement(['az-1', 'az-1'])
    busy = Load(4, 8, 4, service_ms=100.0, wait_ms=300.0)
    placement.report('d0', 10.0, busy)
    assert placement.wait_s('d0', 10.0) > 0.29
    assert placement.wait_s('d0', 14.0) < 0.01


def test_unreachable_and_full_endpoints_are_left_out() -> None:
    placement = _placement(['az-1', 'az-1'])
    placement.set_reachable('d0', reachable=False)
    assert _choices(placement, 10.0) == {'d1': 200}
    placement.full('d1', 10.0, 2)
    assert placement.choose(_SERVICE, ANY_VERSION, 10.0, (), 2) is None
    urgent = placement.choose(_SERVICE, ANY_VERSION, 10.0, (), 1)
    assert urgent is not None and urgent.id == 'd1'
    placement.set_reachable('d0', reachable=True)
    found = placement.choose(_SERVICE, ANY_VERSION, 10.0, (), 2)
    assert found is not None and found.id == 'd0'
    assert placement.choose(_SERVICE, ANY_VERSION, 11.0, {'d0'}, 2) is not None


def test_only_the_wanted_version_is_chosen() -> None:
    placement = Placement('az-1', Random(1))
    members = [
        *_members(['az-1']),
        *_members(['az-1', 'az-1'], 'v2')[1:],
    ]
    placement.update(_SERVICE, members, 1, 0.0)
    assert placement.versions(_SERVICE) == {'v1', 'v2'}
    found = placement.choose(_SERVICE, 'v2', 0.0)
    assert found is not None and found.id == 'd1'
    assert placement.choose(_SERVICE, 'v3', 0.0) is None
