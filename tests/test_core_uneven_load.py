"""Simulations of uneven servers and load waves through the zones."""

from __future__ import annotations

from collections import Counter
from random import Random

import msgspec
import pytest

from gypsumhall.core._cold_limit import ColdLoad
from gypsumhall.core._load_balancer import ANY_VERSION
from gypsumhall.core._load_balancer import LoadBalancer
from gypsumhall.core._load_balancer import Reason
from gypsumhall.net._messages import Load
from gypsumhall.net._messages import ServerFigures
from gypsumhall.testing import builders
from gypsumhall.testing import uneven_load

_SERVICE = 'availability'


def _build_balancer(
    zones: list[str], slots: int = 3, seed: int = 1
) -> LoadBalancer:
    balancer = LoadBalancer('az-1', Random(seed))
    endpoint = builders.build_endpoint(slots=slots)
    members = [
        builders.build_member(index, zone, endpoint)
        for index, zone in enumerate(zones)
    ]
    balancer.update(_SERVICE, members, 1, 0.0)
    return balancer


def _load(
    busy: int, slots: int = 3, base_ms: int = 100, percent: int = 100
) -> Load:
    queued = max(0, busy - slots)
    return Load(
        min(busy, slots),
        queued,
        slots,
        service_time_ms=base_ms,
        wait_ms=base_ms * queued / slots,
        server=ServerFigures(base_ms, percent, 0),
    )


def _describe(name: str, result: uneven_load.Result) -> str:
    return (
        f'{name}: mean {result.mean_s * 1000:.0f} ms, '
        f'99th percentile {result.p99_s * 1000:.0f} ms, '
        f'{result.crossing_bytes / 1e6:.2f} MB between zones, '
        f'{result.rejections} rejections, {result.failed} failed'
    )


def test_calls_stay_in_a_zone_that_has_room() -> None:
    """Guards against bytes between zones at half of the capacity."""
    before = uneven_load.Balanced(
        1, uneven_load.PreviousRule, 0.5, states_load=False
    ).run(10.0)
    now = uneven_load.Balanced(1, utilisation=0.5, withdraws=True).run(10.0)
    print(_describe('before', before))
    print(_describe('now', now))
    assert now.crossing_bytes < 0.4 * before.crossing_bytes
    assert now.mean_s < 1.1 * before.mean_s
    assert not now.failed


def test_uneven_servers_near_the_capacity() -> None:
    """Guards against slower responses than by the previous rule."""
    ideal = uneven_load.CompleteInformation(1).run(10.0)
    before = uneven_load.Balanced(
        1, uneven_load.PreviousRule, states_load=False
    ).run(10.0)
    now = uneven_load.Balanced(1, withdraws=True).run(10.0)
    print(_describe('complete information', ideal))
    print(_describe('before', before))
    print(_describe('now', now))
    assert now.mean_s < 0.8 * before.mean_s
    assert now.p99_s < 0.65 * before.p99_s
    assert now.crossing_bytes < ideal.crossing_bytes
    assert not now.failed


def test_response_times_are_near_those_of_complete_information() -> None:
    """Asks for the target of the design page at 0.9 of the capacity."""
    ideal = uneven_load.CompleteInformation(1).run(10.0)
    now = uneven_load.Balanced(1, withdraws=True).run(10.0)
    assert now.mean_s < 1.3 * ideal.mean_s
    assert now.p99_s < 1.3 * ideal.p99_s


def test_slower_endpoints_with_free_slots_keep_calls_in_the_zone() -> None:
    """Guards against calls that leave because others are faster."""
    balancer = _build_balancer(['az-1', 'az-2'])
    balancer.report('d0', 10.0, _load(1, base_ms=200))
    balancer.report('d1', 10.0, _load(0, base_ms=60))
    for _ in range(100):
        decision = balancer.decide(_SERVICE, ANY_VERSION, 10.0)
        assert decision.member is not None and decision.member.id == 'd0'
        assert decision.reason is Reason.OWN_ZONE
        assert [member.id for member, _ in decision.costs] == ['d0']


@pytest.mark.parametrize('slots', [1, 2, 3])
def test_calls_return_to_the_zone_with_hysteresis(slots: int) -> None:
    """Guards against alternation, and against zones that are never used."""
    balancer = _build_balancer(['az-1', 'az-2'], slots)
    balancer.report('d1', 10.0, _load(0, slots))
    balancer.report('d0', 10.0, _load(2 * slots, slots))
    decision = balancer.decide(_SERVICE, ANY_VERSION, 10.0)
    assert decision.reason is Reason.SPILLED
    assert {member.id for member, _ in decision.costs} == {'d0', 'd1'}
    if slots > 2:
        balancer.report('d0', 10.1, _load(slots - 1, slots))
        decision = balancer.decide(_SERVICE, ANY_VERSION, 10.1)
        assert len(decision.costs) == 2
    balancer.report('d0', 10.2, _load(0, slots))
    decision = balancer.decide(_SERVICE, ANY_VERSION, 10.2)
    assert decision.reason is Reason.OWN_ZONE
    assert len(decision.costs) == 1


def test_large_requests_stay_longer_than_small_ones() -> None:
    """Guards against uploads that cross a zone boundary to save little."""
    balancer = _build_balancer(['az-1', 'az-2'])
    balancer.report('d0', 10.0, _load(5))
    balancer.report('d1', 10.0, _load(0))
    chosen = {
        size: balancer.decide(
            _SERVICE, ANY_VERSION, 10.0, (), 0, 'upload', size
        ).reason
        for size in (0, 360_000)
    }
    assert chosen == {0: Reason.SPILLED, 360_000: Reason.OWN_ZONE}


def test_failing_endpoints_do_not_keep_calls_in_the_zone() -> None:
    balancer = _build_balancer(['az-1', 'az-2'])
    for _ in range(10):
        balancer.begin('d0')
        balancer.end('d0', 10.0, failed=True)
    balancer.report('d0', 10.0, _load(0))
    balancer.report('d1', 10.0, _load(0))
    decision = balancer.decide(_SERVICE, ANY_VERSION, 10.0)
    assert decision.reason is Reason.SPILLED


def test_momentary_factor_counts_only_while_it_is_fresh() -> None:
    """Guards against endpoints that are avoided after they have recovered."""
    balancer = _build_balancer(['az-1', 'az-1'])
    balancer.report('d0', 10.0, _load(0, base_ms=70, percent=250))
    balancer.report('d1', 10.0, _load(0, base_ms=100))
    early = balancer.choose(_SERVICE, ANY_VERSION, 10.0)
    late = balancer.choose(_SERVICE, ANY_VERSION, 10.9)
    assert early is not None and early.id == 'd1'
    assert late is not None and late.id == 'd0'


def test_senders_do_not_all_choose_the_fastest_endpoints() -> None:
    """Guards against senders that fill the fast endpoints at once."""
    chosen: Counter[str] = Counter()
    for seed in range(60):
        balancer = _build_balancer(['az-1'] * 6, seed=seed)
        for index in range(6):
            load = _load(1, base_ms=80 if index < 3 else 90)
            balancer.report(f'd{index}', 10.0, load)
        member = balancer.choose(_SERVICE, ANY_VERSION, 10.0)
        assert member is not None
        chosen[member.id] += 1
    assert max(chosen.values()) < 25
    assert sum(chosen[f'd{index}'] for index in (3, 4, 5)) > 5


def _hedge_choice(
    zones: list[str], loads: list[Load], first: int, age_s: float = 0.1
) -> str:
    """Return the endpoint of a hedge; empty for none."""
    balancer = _build_balancer(zones)
    for index, load in enumerate(loads):
        balancer.report(f'd{index}', 10.0, load)
    now = 10.0 + age_s
    balancer.set_evacuated_zones(frozenset(['az-evacuated']))
    exclude = {f'd{first}'}
    decision = balancer.decide(_SERVICE, ANY_VERSION, now, exclude)
    endpoint = builders.build_endpoint(slots=3)
    member = builders.build_member(first, zones[first], endpoint)
    chosen = balancer.choose_for_hedge(decision, member, now)
    return '' if chosen is None else chosen.id


def test_hedges_get_only_endpoints_with_a_free_slot() -> None:
    """Guards against hedges at busy, slow, failing or leaving endpoints."""
    zones = ['az-1', 'az-1']
    busy = _load(3)
    assert _hedge_choice(zones, [busy, _load(2)], 0) == 'd1'
    assert not _hedge_choice(zones, [busy, _load(3)], 0)
    assert not _hedge_choice(zones, [busy, _load(5)], 0)
    assert not _hedge_choice(zones, [busy, _load(0, percent=250)], 0)
    draining = msgspec.structs.replace(_load(0), draining=True)
    assert not _hedge_choice(zones, [busy, draining], 0)
    failing = msgspec.structs.replace(_load(0), failure_rate=0.5)
    assert not _hedge_choice(zones, [busy, failing], 0)
    cold = msgspec.structs.replace(_load(0), cold=ColdLoad(2000, 5, 0))
    assert not _hedge_choice(zones, [busy, cold], 0)
    # Nothing has been reported by the second one.
    assert not _hedge_choice(zones, [busy], 0)


def test_hedges_leave_neither_the_zone_nor_reach_evacuated_ones() -> None:
    """Guards against bytes between zones and requests to evacuated ones."""
    free = _load(0)
    assert not _hedge_choice(['az-1', 'az-2'], [_load(3), free], 0)
    assert _hedge_choice(['az-2', 'az-1'], [free, free], 0) == 'd1'
    assert _hedge_choice(['az-2', 'az-3'], [free, free], 0) == 'd1'
    assert not _hedge_choice(['az-2', 'az-evacuated'], [free, free], 0)
