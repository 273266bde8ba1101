"""Tests of tenant quotas on simulated fleets."""

from __future__ import annotations

import math
import random

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from gypsumhall.core import _quotas
from gypsumhall.core._member import MemberStatus
from gypsumhall.core._quota_exchange import Packet
from gypsumhall.core._quota_exchange import QuotaExchange
from gypsumhall.core._quota_exchange import Sender
from gypsumhall.core._quota_owners import Owners
from gypsumhall.testing import builders
from gypsumhall.testing.quota_fleet import IdealBucket
from gypsumhall.testing.quota_fleet import QuotaFleet
from gypsumhall.testing.quota_fleet import settled_fleet

_LIMITS = [
    _quotas.Limit(40.0, 40.0),
    _quotas.Limit(5.0, 5.0),
    _quotas.Limit(328.0, 328.0),
    _quotas.Limit(100.0, 20.0),
    _quotas.Limit(10.0, 60.0),
    _quotas.Limit(2.0, 0.0),
]
_FAULTS = ['kill', 'owners', 'cut', 'heal', 'all', 'zone', 'none', 'restart']
_TYPICAL = _LIMITS[:3]


def _fleet(
    limit: _quotas.Limit, seed: int = 1, *, zones: int = 3, daemons: int = 29
) -> QuotaFleet:
    return settled_fleet(
        QuotaFleet(
            random.Random(seed), {'t': limit}, zones=zones, daemons=daemons
        )
    )


def _use(fleet: QuotaFleet, since: float) -> float:
    """Return the share of the quota that was used."""
    runs = sum(time >= since for time in fleet.runs['t'])
    return runs / ((fleet.now - since) * fleet.limits['t'].rate_per_s)


def _refused(fleet: QuotaFleet, since: float, reason: str = '') -> int:
    return sum(
        time >= since and reason in ('', decision.reason)
        for time, decision in fleet.refusals['t']
    )


# The fleet


def _killed(fleet: QuotaFleet, fault: str, rng: random.Random) -> list[int]:
    """Return the indices of the daemons that a fault kills."""
    if fault == 'kill':
        return [rng.randrange(len(fleet.daemons))]
    if fault == 'owners':
        alive = {item.member.zone for item in fleet.daemons if item.alive}
        return [
            fleet.owner('t', zone)
            for zone, name in enumerate(fleet.zones)
            if name in alive
        ]
    return [
        index
        for index, daemon in enumerate(fleet.daemons)
        if fault == 'all'
        or (fault == 'zone' and daemon.member.zone == fleet.zones[0])
    ]


def _apply_fault(
    fleet: QuotaFleet, fault: str, rng: random.Random, down: set[int]
) -> None:
    for index in _killed(fleet, fault, rng):
        if fleet.daemons[index].alive:
            fleet.kill(index)
            down.add(index)
    if fault == 'all':
        fleet.run_until(fleet.now + rng.choice([0.1, 1.5]))
    if fault in ('all', 'restart'):
        for index in sorted(down):
            fleet.restart(index)
        down.clear()
    if fault == 'cut':
        fleet.cut(rng.randrange(len(fleet.zones)))
    elif fault == 'heal':
        fleet.heal(rng.randrange(len(fleet.zones)))


@example(41, 2, 3, 3, ['all', 'all', 'heal', 'zone', 'cut', 'all'], 0.0, 0.3)
@example(45, 3, 5, 8, ['cut', 'owners', 'heal', 'owners', 'all'], 0.05, 0.0)
@given(
    seed=st.integers(0, 2**32),
    kind=st.integers(0, len(_LIMITS) - 1),
    zones=st.sampled_from([1, 2, 3, 5]),
    daemons=st.sampled_from([3, 8, 20]),
    faults=st.lists(st.sampled_from(_FAULTS), min_size=1, max_size=8),
    loss_rate=st.sampled_from([0.0, 0.05, 0.3]),
    duplicate_rate=st.sampled_from([0.0, 0.3]),
)
@settings(max_examples=25, deadline=None)
def test_no_window_exceeds_the_bound(
    seed: int,
    kind: int,
    zones: int,
    daemons: int,
    faults: list[str],
    loss_rate: float,
    duplicate_rate: float,
) -> None:
    """Guards against tokens that exist twice after faults."""
    limit = _LIMITS[kind]
    rng = random.Random(seed)
    fleet = _fleet(limit, seed, zones=zones, daemons=daemons)
    fleet.loss_rate, fleet.duplicate_rate = loss_rate, duplicate_rate
    fleet.send_requests(
        't', limit.rate_per_s * rng.choice([2, 5]), 2.0 * len(faults) + 2.0
    )
    down: set[int] = set()
    for fault in faults:
        _apply_fault(fleet, fault, rng, down)
        fleet.run_until(fleet.now + 2.0)
    assert fleet.worst_window('t') <= fleet.allowed('t')


@pytest.mark.parametrize('limit', _TYPICAL)
def test_usual_load_is_never_refused(limit: _quotas.Limit) -> None:
    """Guards against refusals inside the quota at 87 daemons."""
    fleet = _fleet(limit)
    since = fleet.now
    fleet.send_requests(
        't', limit.rate_per_s / 1.6, 20.0, bucket=IdealBucket(limit)
    )
    fleet.run_until(since + 21.0)
    assert _refused(fleet, since) == 0
    assert max(fleet.waits) < 0.1


@pytest.mark.parametrize('limit', _TYPICAL)
def test_whole_burst_may_arrive_at_one_daemon(limit: _quotas.Limit) -> None:
    """Guards against a burst of which other zones keep their shares."""
    fleet = _fleet(limit)
    since = fleet.now
    for _ in range(int(limit.burst)):
        fleet.daemons[3].request('t')
    fleet.run_until(since + 1.0)
    assert _refused(fleet, since) == 0


@pytest.mark.parametrize('limit', _TYPICAL)
@pytest.mark.parametrize('seed', [1, 2])
def test_quota_is_used_while_demand_moves(
    limit: _quotas.Limit, seed: int
) -> None:
    """Guards against shares that stay idle in zones without demand."""
    fleet = _fleet(limit, seed)
    fleet.send_requests('t', 2.0 * limit.rate_per_s, 4.0)
    fleet.run_until(fleet.now + 4.0)
    since = fleet.now
    for second in range(20):
        fleet.send_requests('t', 1.2 * limit.rate_per_s, 1.0, zone=second % 3)
        fleet.run_until(since + second + 1.0)
    assert _use(fleet, since) > 0.95
    assert fleet.worst_window('t') <= fleet.allowed('t')


@pytest.mark.parametrize('limit', _TYPICAL)
def test_hot_tenant_is_limited_with_few_messages(
    limit: _quotas.Limit,
) -> None:
    """Guards against an excess in a sudden peak and a question per request."""
    fleet = _fleet(limit)
    fleet.messages = 0
    fleet.send_requests('t', 4.7 * limit.rate_per_s, 6.5)
    fleet.run_until(fleet.now + 6.5)
    requests = len(fleet.runs['t']) + len(fleet.refusals['t'])
    assert 0.9 * limit.rate_per_s * 6.5 < len(fleet.runs['t'])
    assert fleet.worst_window('t') <= fleet.allowed('t')
    # Each daemon asks 7 times a second at most, whatever the demand is.
    assert fleet.messages < max(87 * 2 * 7 * 6.5 * 1.5, 2 * requests)


def test_refusals_say_when_there_is_room() -> None:
    """Guards against callers that return before there are tokens."""
    fleet = _fleet(_quotas.Limit(5.0, 5.0))
    fleet.send_requests('t', 50.0, 5.0)
    fleet.run_until(fleet.now + 5.0)
    waits = [
        decision.retry_after_s for _, decision in fleet.refusals['t'][20:]
    ]
    assert min(waits) > 0.0
    assert max(waits) <= 2.6
    assert sum(waits) / len(waits) > 0.2


def test_killed_owner_is_replaced() -> None:
    """Guards against a tenant that is refused until failure detection."""
    limit = _quotas.Limit(40.0, 40.0)
    fleet = _fleet(limit)
    since = fleet.now
    fleet.send_requests('t', 20.0, 6.0, bucket=IdealBucket(limit))
    fleet.run_until(since + 1.0)
    for zone in range(3):
        fleet.kill(fleet.owner('t', zone))
    fleet.run_until(since + 6.5)
    requests = len(fleet.runs['t']) + _refused(fleet, since)
    assert _refused(fleet, since, 'owner-unreachable') == 0
    assert _refused(fleet, since) <= 0.02 * requests


def test_cut_zones_keep_their_shares() -> None:
    """Guards against a cut zone that serves nothing, or too much."""
    limit = _quotas.Limit(60.0, 60.0)
    fleet = _fleet(limit)
    fleet.cut(0)
    fleet.run_until(fleet.now + 4.0)
    since = fleet.now
    for zone in range(3):
        fleet.send_requests('t', 12.0, 10.0, zone=zone)
    fleet.run_until(since + 10.5)
    assert _refused(fleet, since) == 0
    since = fleet.now
    for zone in range(3):
        fleet.send_requests('t', 100.0, 10.0, zone=zone)
    fleet.run_until(since + 10.0)
    assert _use(fleet, since) > 0.95
    assert fleet.worst_window('t') <= fleet.allowed('t')


def test_restart_of_all_daemons_does_not_renew_the_burst() -> None:
    """Guards against full buckets after the loss of all memory."""
    limit = _quotas.Limit(40.0, 40.0)
    fleet = _fleet(limit)
    fleet.send_requests('t', 400.0, 13.0)
    for _ in range(3):
        fleet.run_until(fleet.now + 1.5)
        for index in range(len(fleet.daemons)):
            fleet.kill(index)
        for index in range(len(fleet.daemons)):
            fleet.restart(index)
    fleet.run_until(fleet.now + 8.0)
    assert fleet.worst_window('t') <= fleet.allowed('t')
    assert _use(fleet, fleet.now - 4.0) > 0.95


@pytest.mark.parametrize('seed', range(3))
def test_lowered_limit_applies(seed: int) -> None:
    """Guards against tokens of the old limit a window later."""
    fleet = _fleet(_quotas.Limit(200.0, 200.0), seed)
    fleet.send_requests('t', 400.0, 16.0)
    fleet.run_until(fleet.now + 4.0)
    since = fleet.now
    fleet.set_limit('t', _quotas.Limit(20.0, 10.0))
    fleet.run_until(since + 12.0)
    # The installation takes up to a second.
    assert fleet.worst_window('t', since + 1.0) <= fleet.allowed('t')


# One daemon


_LIMIT = {'t': _quotas.Limit(10.0, 10.0)}


def _daemon() -> _quotas.DaemonQuotas:
    daemon = _quotas.DaemonQuotas()
    daemon.set_limits(_LIMIT)
    return daemon


def test_tenants_without_limit_have_no_state() -> None:
    daemon = _daemon()
    assert daemon.take('other', 0.0) == _quotas.NO_LIMIT
    assert daemon.take('', 0.0) == _quotas.NO_LIMIT
    assert daemon.tenants == 0


def test_answer_is_accepted_once() -> None:
    """Guards against tokens that a repeated message doubles."""
    daemon = _daemon()
    assert daemon.take('t', 0.0).reason == 'undecided'
    daemon.wait('t', 1)
    (question,) = daemon.ask(daemon.due(0.0), 0.0)
    answer = _quotas.Answer('t', question.sequence, 1.0)
    assert daemon.add_answer(answer, 0.01)
    assert not daemon.add_answer(answer, 0.02)
    assert daemon.retake('t', 0.02).granted
    assert not daemon.retake('t', 0.02).granted


def test_late_answer_is_not_used() -> None:
    """Guards against tokens that the owner no longer counts."""
    daemon = _daemon()
    daemon.take('t', 0.0)
    daemon.wait('t', 1)
    (question,) = daemon.ask(['t'], 0.0)
    answer = _quotas.Answer('t', question.sequence, 2.0)
    assert not daemon.add_answer(answer, _quotas.SPARE_LIFETIME_S)
    assert not daemon.retake('t', _quotas.SPARE_LIFETIME_S).granted


def test_spare_tokens_expire() -> None:
    daemon = _daemon()
    daemon.take('t', 0.0)
    daemon.wait('t', 1)
    (question,) = daemon.ask(['t'], 0.0)
    daemon.add_answer(_quotas.Answer('t', question.sequence, 2.0), 0.01)
    assert daemon.retake('t', 0.01).granted
    assert not daemon.take('t', _quotas.SPARE_LIFETIME_S).granted


def test_returned_token_goes_to_the_owner() -> None:
    """Guards against tokens of many ended requests that are used at once."""
    daemon = _daemon()
    daemon.take('t', 0.0)
    daemon.give_back('t', 0.1)
    assert not daemon.take('t', 0.1).granted
    (question,) = daemon.ask(daemon.due(0.2), 0.2)
    assert question.returned == 1
    bounds = _quotas.QuotaBounds()
    owner = _quotas.OwnerQuotas('az-1', bounds, 0.0)
    owner.set_limits(_LIMIT, 0.0)
    owner.add_question('d', question, 0.2)
    level = owner.level('t')
    owner.add_question('d', question, 0.2)
    assert owner.level('t') == level
    start = _quotas.ZoneShare.of(_LIMIT['t'], bounds, 1)
    assert math.isclose(level, start.start + 0.2 * start.rate_per_s + 1.0)


def test_changed_limit_drops_spare_tokens() -> None:
    daemon = _daemon()
    daemon.take('t', 0.0)
    daemon.wait('t', 1)
    (question,) = daemon.ask(['t'], 0.0)
    daemon.add_answer(_quotas.Answer('t', question.sequence, 5.0), 0.01)
    daemon.set_limits({'t': _quotas.Limit(5.0, 10.0)})
    assert not daemon.retake('t', 0.01).granted


def test_state_of_idle_tenants_is_dropped() -> None:
    member = builders.build_member()
    exchange = QuotaExchange(
        member, 'p', _quotas.QuotaBounds(), 0.0, sequence=5
    )
    exchange.set_members([member], ['az-1'], 0.0, 1000.0)
    exchange.set_limits(dict(_LIMIT), 0.0)
    exchange.poll(5.0)
    exchange.daemon.take('t', 5.0)
    exchange.daemon.wait('t', 1)
    assert exchange.poll(5.0) == []
    assert exchange.decided == {'t'}
    assert exchange.daemon.retake('t', 5.0).granted
    exchange.daemon.wait('t', -1)
    assert (exchange.daemon.tenants, exchange.owner.tenants) == (1, ('t',))
    exchange.poll(40.0)
    assert (exchange.daemon.tenants, exchange.owner.tenants) == (0, ())
    assert math.isinf(exchange.next_time(40.0))


def test_daemon_that_is_not_the_owner_gives_nothing() -> None:
    """Guards against two owners with different member tables."""
    members = [builders.build_member(index) for index in range(2)]
    exchanges = [
        QuotaExchange(item, item.id, _quotas.QuotaBounds(), 0.0)
        for item in members
    ]
    for item in exchanges:
        item.set_limits(dict(_LIMIT), 0.0)
        item.set_members(members, ['az-1'], 0.0, 1000.0)
    owner = exchanges[0].owners.owner('t', 'az-1')
    assert owner is not None
    (other,) = (item for item in members if item.id != owner.id)
    exchange = exchanges[members.index(other)]
    packet = Packet(questions=[_quotas.Question('t', 1, 1)])
    exchange.receive(Sender('x', 'az-1', 'there'), packet, 10.0)
    (sent,) = exchange.poll(10.0)
    assert sent == ('there', Packet(answers=[_quotas.Answer('t', 1)]))


# Owners


def test_started_daemon_is_an_owner_after_a_while() -> None:
    """Guards against owners that not all daemons know."""
    members = [builders.build_member(index) for index in range(30)]
    owners = Owners('d0', 'az-1', 0.0)
    owners.set_members(members, ['az-1'], 10.0, 100.0)
    tenants = [f't{index}' for index in range(50)]
    before = [owners.owner(item, 'az-1') for item in tenants]
    joined = [
        builders.build_member(30 + index, incarnation=100_000)
        for index in range(30)
    ]
    owners.set_members([*members, *joined], ['az-1'], 10.0, 100.0)
    owners.update(11.9)
    assert all(owners.owner(item, 'az-1') in members for item in tenants)
    owners.update(12.1)
    assert owners.changed_at == 12.0
    after = [owners.owner(item, 'az-1') for item in tenants]
    assert before != after


def test_daemons_that_start_together_are_owners_at_once() -> None:
    members = [
        builders.build_member(index, incarnation=100_000 + 100 * index)
        for index in range(5)
    ]
    owners = Owners('d0', 'az-1', 0.0)
    owners.set_members(members, ['az-1'], 0.5, 100.5)
    chosen = {owners.owner(f't{index}', 'az-1') for index in range(50)}
    assert chosen <= set(members) and None not in chosen
    changed_at = owners.changed_at
    owners.update(10.0)
    assert owners.changed_at == changed_at


def test_leaving_daemons_and_empty_zones_have_no_tenants() -> None:
    member = builders.build_member(status=MemberStatus.ALIVE)
    owners = Owners('d0', 'az-1', 0.0)
    owners.set_members([member], ['az-1', 'az-2'], 0.0, 100.0)
    assert owners.owner('t', 'az-2') is None
    assert owners.zones == ('az-1', 'az-2')
    owners.set_members([], ['az-1'], 1.0, 101.0)
    assert owners.owner('t', 'az-1') is None
