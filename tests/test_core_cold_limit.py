"""Simulations of the load patterns of `gypsumhall.core._cold_limit`.

A cold endpoint crashes well above its rate, so one second with more requests
than the bound is a failure. Limits that are far below the bound would reject
requests that the endpoint can handle.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from gypsumhall.core._cold_limit import ColdBounds
from gypsumhall.core._cold_limit import ColdLimit
from gypsumhall.core._cold_limit import WINDOW_S
from gypsumhall.core._load_balancer import ANY_VERSION
from gypsumhall.core._load_balancer import LoadBalancer
from gypsumhall.net._messages import Load
from gypsumhall.testing import builders

if TYPE_CHECKING:
    from collections.abc import Sequence

_RATE = 10.0
_BOUNDS = ColdBounds()
_BOUND = _RATE * 1.5 + 8
_PROCESS = ('i-1', 100)
# Longest time in seconds until a request has arrived.
_TRANSIT_S = 0.2


def _limit(started_at: float = -10.0) -> ColdLimit:
    return ColdLimit(started_at, _BOUNDS)


def _worst_second(arrivals: Sequence[float]) -> int:
    times = sorted(arrivals)
    return max(
        (
            sum(start <= item < start + 1.0 for item in times)
            for start in times
        ),
        default=0,
    )


@pytest.mark.parametrize('seed', range(4))
def test_load_of_an_evacuated_zone_stays_within_the_bound(seed: int) -> None:
    """Requests that are sent in one second may arrive in the next."""
    rng = Random(seed)
    limit = _limit()
    limit.record_heartbeat(0.0, 30.0, _PROCESS)
    now = 0.0
    arrivals = []
    while now < 20.0:
        # The load rises to ten times the rate, in bursts.
        now += rng.expovariate(10 * _RATE) if rng.random() < 0.95 else 0.3
        if limit.delay_s(now, _RATE) == 0.0:
            limit.record_request(now)
            arrivals.append(now + rng.uniform(0.0, _TRANSIT_S))
    assert _worst_second(arrivals) <= _BOUND
    # The endpoint gets more than the rate that it can handle.
    assert len(arrivals) > 20.0 * _RATE


def test_requests_before_it_turned_cold_count() -> None:
    """It gets its usual load until the daemon hears that it is cold."""
    limit = _limit()
    limit.record_heartbeat(0.0, 0.0, _PROCESS)
    for index in range(100):
        assert limit.delay_s(0.01 * index, _RATE) == 0.0
        limit.record_request(0.01 * index)
    limit.record_check(1.0, 5.0)
    assert limit.delay_s(1.0, _RATE) > 0.9
    assert limit.delay_s(2.5, _RATE) == 0.0


def test_restarted_daemon_takes_the_window_for_used_up() -> None:
    """Its former process may have sent the whole bound just before."""
    limit = _limit(100.0)
    assert limit.is_cold(100.3, _RATE)
    assert limit.delay_s(100.3, _RATE) == pytest.approx(WINDOW_S - 0.3)
    limit.record_heartbeat(100.4, 20.0, _PROCESS)
    assert limit.delay_s(100.5, _RATE) > 0.0
    load = limit.load(100.5, _RATE)
    assert load is not None
    assert load.room == 0
    assert limit.delay_s(100.0 + WINDOW_S, _RATE) == 0.0


def test_warm_endpoint_of_a_restarted_daemon_is_not_limited() -> None:
    limit = _limit(100.0)
    limit.record_check(100.3, 0.0)
    assert limit.delay_s(100.3, _RATE) == 0.0
    assert limit.load(100.3, _RATE) is None


def test_service_without_a_rate_has_no_limit() -> None:
    limit = _limit(100.0)
    for _ in range(1000):
        assert limit.delay_s(100.0, 0.0) == 0.0
        limit.record_request(100.0)
    assert limit.load(100.0, 0.0) is None


def test_delayed_heartbeat_does_not_end_the_limit() -> None:
    """It was sent before the endpoint turned cold."""
    limit = _limit()
    limit.record_heartbeat(9.0, 0.0, _PROCESS)
    limit.record_check(10.0, 20.0)
    limit.record_heartbeat(10.5, 0.0, _PROCESS)
    assert limit.is_cold(11.0, _RATE)
    limit.record_check(10.0, 20.0)
    limit.record_heartbeat(16.5, 0.0, _PROCESS)
    assert not limit.is_cold(16.5, _RATE)


def test_replaced_process_is_cold_until_its_own_heartbeat() -> None:
    """A heartbeat of the former process says that it is warm."""
    limit = _limit()
    limit.record_heartbeat(10.0, 0.0, _PROCESS)
    limit.forget(11.0, is_replaced=True)
    assert limit.is_cold(11.0, _RATE)
    limit.record_heartbeat(11.5, 0.0, _PROCESS)
    assert limit.is_cold(11.5, _RATE)
    limit.record_heartbeat(12.0, 3.0, ('i-1', 200))
    assert limit.is_cold(14.0, _RATE)
    assert not limit.is_cold(15.1, _RATE)


def test_process_that_responds_after_all_is_believed_later() -> None:
    """One odd 421 must not limit an endpoint for good."""
    limit = _limit()
    limit.record_heartbeat(10.0, 0.0, _PROCESS)
    limit.forget(11.0, is_replaced=True)
    limit.record_heartbeat(17.5, 0.0, _PROCESS)
    assert not limit.is_cold(17.5, _RATE)


def test_new_process_is_not_judged_by_checks_of_the_former() -> None:
    limit = _limit()
    limit.record_heartbeat(10.0, 0.0, _PROCESS)
    limit.record_check(10.0, 60.0)
    limit.record_heartbeat(11.0, 2.0, ('i-2', 200))
    assert limit.is_cold(12.0, _RATE)
    assert not limit.is_cold(13.5, _RATE)


@pytest.mark.parametrize(
    ('over', 'slack', 'rate', 'allowed'),
    [(1.5, 8.0, 10.0, 22), (1.0, 0.0, 0.5, 1), (1.5, 8.0, 0.1, 7)],
)
def test_allowed_requests_stay_below_the_bound(
    over: float, slack: float, rate: float, allowed: int
) -> None:
    """One request is left for a status check."""
    assert ColdBounds(over, slack).allowed(rate) == allowed


def test_memory_is_bounded() -> None:
    """Runs of a warm endpoint are counted too, however many they are."""
    limit = _limit()
    limit.record_heartbeat(0.0, 0.0, _PROCESS)
    for index in range(20_000):
        limit.record_request(index / 10_000)
    limit.record_check(2.0, 10.0)
    assert limit.delay_s(2.0, 1e6) > 0.0
    assert limit.delay_s(2.0 + WINDOW_S, 1e6) == 0.0


@pytest.mark.parametrize('seed', range(3))
def test_senders_move_load_to_warm_endpoints(seed: int) -> None:
    """Without the room in reports, most calls would be rejected once.

    Eight senders send 240 calls/s to three cold and six warm endpoints after
    an evacuation.
    """
    rng = Random(seed)
    members = [
        builders.build_member(index, 'az-1', builders.build_endpoint(slots=6))
        for index in range(9)
    ]
    limits = {member.id: _limit() for member in members}
    for index, member in enumerate(members):
        warmup_s = 30.0 if index < 3 else 0.0
        limits[member.id].record_heartbeat(0.0, warmup_s, _PROCESS)
    balancers = [LoadBalancer('az-1', Random(seed * 9 + i)) for i in range(8)]
    for balancer in balancers:
        balancer.update('availability', members, 1, 0.0)
    now, rejected, sent = 0.0, 0, 0
    arrivals: dict[str, list[float]] = {item.id: [] for item in members}
    while now < 10.0:
        now += rng.expovariate(240.0)
        balancer = rng.choice(balancers)
        for _ in range(4):
            member = balancer.choose('availability', ANY_VERSION, now)
            assert member is not None
            limit = limits[member.id]
            accepted = limit.delay_s(now, _RATE) == 0.0
            sent += 1
            balancer.begin(member.id)
            if accepted:
                limit.record_request(now)
                arrivals[member.id].append(now + rng.uniform(0, _TRANSIT_S))
            else:
                rejected += 1
            balancer.end(member.id, now, failed=None)
            cold = limit.load(now, _RATE)
            load = Load(1, 0, 6, service_time_ms=100.0, cold=cold)
            balancer.report(member.id, now, load)
            if accepted:
                break
        else:
            raise AssertionError('rejected by four endpoints')
    for member in members[:3]:
        assert 0 < _worst_second(arrivals[member.id]) <= _BOUND
    assert rejected < 0.01 * sent
    print(f'{rejected} of {sent} attempts rejected by cold endpoints')


def test_sender_knows_when_a_cold_endpoint_has_room() -> None:
    """A request for it has to say when to return."""
    balancer = LoadBalancer('az-1', Random(1))
    member = builders.build_member(0, 'az-1', builders.build_endpoint())
    balancer.update('availability', [member], 1, 0.0)
    limit = _limit()
    limit.record_heartbeat(10.0, 30.0, _PROCESS)
    for _ in range(22):
        limit.record_request(10.0)
    load = Load(0, 0, 6, cold=limit.load(10.25, _RATE))
    balancer.report(member.id, 10.25, load)
    assert balancer.choose('availability', ANY_VERSION, 10.5) is None
    assert balancer.retry_after_s('availability', 10.5) == pytest.approx(0.75)
    assert balancer.choose('availability', ANY_VERSION, 11.3) == member
