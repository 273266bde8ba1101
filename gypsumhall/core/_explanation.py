"""Explanation of where a call would go now.

The load patterns are those of `gypsumhall.core._load_balancer`, whose choice
is shown with the candidates and their costs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Sequence

    from gypsumhall.core._load_balancer import LoadBalancer
    from gypsumhall.core._member import Member


_OTHER_VERSION = 'excluded-version'


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint of the service of a call.

    Parameters
    ----------
    member : str
        Id of the daemon beside it.
    zone, version : str
        Zone and service version.
    cost_ms : float or None
        Cost in milliseconds; None if the endpoint was not compared.
    chosen : bool
        Whether the call would be sent to it.
    reason : str
        Why it would be chosen, or why not.
    """

    member: str
    zone: str
    version: str
    cost_ms: float | None
    chosen: bool
    reason: str


def explain_choice(
    balancer: LoadBalancer,
    members: Iterable[Member],
    service: str,
    versions: Sequence[str],
    now: float,
    priority: int = 0,
    route: str = '',
    full_for_tenant: Collection[str] = (),
) -> list[Candidate]:
    """Return the endpoints of a service in the order of their cost.

    Endpoints that are not compared come last, by their ids.

    Parameters
    ----------
    balancer : LoadBalancer
        A copy made by `LoadBalancer.preview`; it is changed.
    members : iterable of Member
        Members with an endpoint of the service, in any status.
    service : str
        Name of the service.
    versions : sequence of str
        Versions that may get the call, the preferred one first.
    now : float
        Current time in seconds.
    priority : int
        Priority of the call.
    route : str
        Route of the call.
    full_for_tenant : collection of str
        Ids of members that have lately rejected calls of the tenant.
    """
    excluded: list[tuple[Member, str]] = []
    for version in versions:
        decision = balancer.decide(
            service,
            version,
            now,
            full_for_tenant,
            priority,
            route,
            0,
            excluded,
        )
        if decision.member is not None:
            break
    reasons: dict[str, str] = {}
    for member, reason in excluded:
        # An endpoint of another version than the one that was tried last may
        # have been excluded for a reason of its own.
        if reason != _OTHER_VERSION:
            reasons[member.id] = reason
        reasons.setdefault(member.id, reason)
    costs_s = {member.id: cost_s for member, cost_s in decision.costs}
    chosen = decision.member.id if decision.member is not None else ''
    candidates = []
    for member in members:
        cost_s = costs_s.get(member.id)
        if member.id == chosen:
            reason = decision.reason.value
        elif not member.is_ready:
            reason = _unready_reason(member)
        elif cost_s is not None:
            reason = 'higher-cost'
        elif member.id in full_for_tenant:
            reason = 'full-for-tenant'
        else:
            reason = reasons.get(member.id, 'own-zone-has-room')
        candidates.append(
            Candidate(
                member.id,
                member.zone,
                member.endpoint.version if member.endpoint else '',
                None if cost_s is None else round(cost_s * 1000, 3),
                member.id == chosen,
                reason,
            )
        )
    return sorted(candidates, key=_order)


def _unready_reason(member: Member) -> str:
    if member.status is MemberStatus.DEAD:
        return 'dead'
    endpoint = member.endpoint
    if member.status is MemberStatus.LEAVING or (
        endpoint is not None and endpoint.state is EndpointState.DRAINING
    ):
        return 'draining'
    return 'not-ready'


def _order(candidate: Candidate) -> tuple[bool, float, str]:
    cost_ms = candidate.cost_ms
    return cost_ms is None, cost_ms or 0.0, candidate.member
