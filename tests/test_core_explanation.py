"""Tests of the explanation of a choice, with the real load balancer."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from gypsumhall.core import _quotas
from gypsumhall.core._cold_limit import ColdLoad
from gypsumhall.core._explanation import Candidate
from gypsumhall.core._explanation import explain_choice
from gypsumhall.core._load_balancer import ANY_VERSION
from gypsumhall.core._load_balancer import LoadBalancer
from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus
from gypsumhall.net._messages import Load
from gypsumhall.net._messages import ServerFigures
from gypsumhall.testing import builders

_SERVICE = 'availability'
_NOW = 10.0


def _members(*zones: str) -> list[Member]:
    endpoint = builders.build_endpoint(slots=4, version='v1')
    return [
        builders.build_member(index, zone, endpoint)
        for index, zone in enumerate(zones)
    ]


def _balancer(members: list[Member]) -> LoadBalancer:
    balancer = LoadBalancer('az-1', Random(1))
    balancer.update(_SERVICE, members, 1, 0.0)
    return balancer


def _explain(
    balancer: LoadBalancer,
    members: list[Member],
    versions: tuple[str, ...] = (ANY_VERSION,),
) -> dict[str, Candidate]:
    preview = balancer.preview(_SERVICE, Random(2))
    candidates = explain_choice(preview, members, _SERVICE, versions, _NOW)
    return {item.member: item for item in candidates}


def _report(balancer: LoadBalancer, member: Member, time_ms: float) -> None:
    load = Load(0, 0, 4, service_time_ms=time_ms)
    balancer.report(member.id, _NOW, load)


def test_candidates_are_in_the_order_of_their_cost() -> None:
    """Guards against costs that differ from those of the balancer."""
    members = _members('az-1', 'az-1', 'az-2')
    balancer = _balancer(members)
    for member, time_ms in zip(members, (100.0, 10.0, 40.0), strict=True):
        _report(balancer, member, time_ms)
    found = list(_explain(balancer, members).values())
    assert [item.member for item in found] == [
        members[1].id,
        members[2].id,
        members[0].id,
    ]
    assert [item.reason for item in found] == [
        'own-zone',
        'higher-cost',
        'higher-cost',
    ]
    assert [item.chosen for item in found] == [True, False, False]
    decision = balancer.preview(_SERVICE, Random(2)).decide(
        _SERVICE, ANY_VERSION, _NOW
    )
    costs = {member.id: cost * 1000 for member, cost in decision.costs}
    assert {item.member: item.cost_ms for item in found} == pytest.approx(
        costs, abs=0.001
    )


def test_each_excluded_endpoint_has_its_reason() -> None:
    members = _members(*['az-1'] * 5, 'az-3', 'az-2', 'az-1', 'az-1')
    endpoint = members[4].endpoint
    assert endpoint is not None
    replace = msgspec.structs.replace
    members[4] = replace(members[4], endpoint=replace(endpoint, version='v2'))
    draining = replace(endpoint, state=EndpointState.DRAINING)
    members[7] = replace(members[7], endpoint=draining)
    members[8] = replace(members[8], status=MemberStatus.LEAVING)
    balancer = _balancer(members)
    balancer.set_evacuated_zones(frozenset(['az-3']))
    balancer.set_reachable(members[1].id, reachable=False)
    balancer.report(
        members[2].id, _NOW, Load(0, 0, 4, cold=ColdLoad(5000, 0, 900))
    )
    balancer.mark_full(members[3].id, _NOW, 0)
    found = _explain(balancer, members, ('v1',))
    assert [found[item.id].reason for item in members] == [
        'own-zone',
        'unreachable',
        'cold',
        'full',
        'excluded-version',
        'evacuated',
        'higher-cost',
        'draining',
        'draining',
    ]
    assert found[members[1].id].cost_ms is None
    # The second version is tried if no endpoint of the first can be chosen;
    # those of the first keep their reasons.
    balancer.set_reachable(members[0].id, reachable=False)
    balancer.set_reachable(members[6].id, reachable=False)
    found = _explain(balancer, members, ('v1', 'v2'))
    assert found[members[4].id].chosen
    assert found[members[3].id].reason == 'full'


def test_call_leaves_a_zone_without_endpoints() -> None:
    members = _members('az-2')
    balancer = _balancer(members)
    _report(balancer, members[0], 10.0)
    assert _explain(balancer, members)[members[0].id].reason == 'spilled'


def test_room_in_the_own_zone_excludes_other_zones() -> None:
    """Guards against costs of endpoints that were not compared."""
    members = _members('az-1', 'az-2')
    balancer = _balancer(members)
    for member, time_ms in zip(members, (40.0, 10.0), strict=True):
        figures = ServerFigures(int(time_ms), 100, 0)
        load = Load(0, 0, 4, service_time_ms=time_ms, server=figures)
        balancer.report(member.id, _NOW, load)
    found = _explain(balancer, members)
    assert found[members[0].id].reason == 'own-zone'
    assert found[members[1].id].reason == 'own-zone-has-room'
    assert found[members[1].id].cost_ms is None


def test_preview_changes_neither_the_balancer_nor_its_random_numbers() -> None:
    """Guards against explanations that shift the choices of calls."""
    members = _members('az-1', 'az-1', 'az-2')
    choices = []
    for explained in (False, True):
        balancer = _balancer(members)
        chosen = []
        for step in range(50):
            now = _NOW + step / 10
            if explained:
                preview = balancer.preview(_SERVICE, Random(step))
                preview.update(_SERVICE, members[:1], 2, now)
                preview.decide(_SERVICE, ANY_VERSION, now)
                preview.mark_full(members[0].id, now, 0)
            member = balancer.choose(_SERVICE, ANY_VERSION, now)
            assert member is not None
            balancer.begin(member.id)
            chosen.append(member.id)
        assert balancer.revision(_SERVICE) == 1
        choices.append(chosen)
    assert choices[0] == choices[1]


def test_quota_is_read_without_a_token() -> None:
    """Guards against explanations that use up the quota of a tenant."""
    quotas = _quotas.DaemonQuotas()
    assert quotas.peek('a', _NOW) is _quotas.NO_LIMIT
    quotas.set_limits({'a': _quotas.Limit(10.0, 5.0)})
    assert quotas.peek('a', _NOW) is _quotas.UNDECIDED
    assert quotas.tenants == 0
    quotas.take('a', _NOW)
    quotas.wait('a', 1)
    (question,) = quotas.ask(['a'], _NOW)
    quotas.add_answer(_quotas.Answer('a', question.sequence, 1.0), _NOW)
    for _ in range(3):
        assert quotas.peek('a', _NOW) is _quotas.TOKEN
    assert quotas.take('a', _NOW) is _quotas.TOKEN
    assert quotas.peek('a', _NOW) is _quotas.UNDECIDED
