"""Simulations of rolling restarts, for `gypsumhall.core._stops`."""

from __future__ import annotations

from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus
from gypsumhall.core._stops import EndpointAvailability
from gypsumhall.core._stops import MAX_RESTART_S
from gypsumhall.testing import builders


def _member(
    index: int,
    state: EndpointState = EndpointState.READY,
    status: MemberStatus = MemberStatus.ALIVE,
) -> Member:
    endpoint = builders.build_endpoint(state=state)
    return builders.build_member(index, 'az-1', endpoint, status=status)


def test_last_ready_endpoint_waits_for_a_restarting_one() -> None:
    """Guards against two restarts at the same time in a service of two.

    Both endpoints were unavailable for 1.4 s in a rolling restart.
    """
    availability = EndpointAvailability()
    availability.observe([_member(1)], 0.0)
    assert availability.may_stop(0.5)
    availability.observe([_member(1, EndpointState.DRAINING)], 1.0)
    assert not availability.may_stop(1.1)
    availability.observe([], 1.3)
    assert not availability.may_stop(1.5)
    availability.observe([_member(1)], 2.5)
    assert availability.may_stop(2.6)


def test_removed_endpoint_does_not_delay_a_stop() -> None:
    availability = EndpointAvailability()
    availability.observe([_member(1)], 0.0)
    availability.observe([], 1.0)
    assert not availability.may_stop(1.0 + MAX_RESTART_S / 2)
    assert availability.may_stop(1.0 + MAX_RESTART_S)


def test_several_of_many_endpoints_may_be_unavailable() -> None:
    availability = EndpointAvailability()
    availability.observe([_member(index) for index in range(1, 12)], 0.0)
    availability.observe([_member(index) for index in range(3, 12)], 1.0)
    assert availability.unavailable(1.0) == 2
    assert availability.may_stop(1.0)
    availability.observe([_member(index) for index in range(5, 12)], 1.2)
    assert not availability.may_stop(1.2)


def test_only_endpoint_of_a_service_may_stop() -> None:
    availability = EndpointAvailability()
    availability.observe([], 0.0)
    assert availability.may_stop(0.0)


def test_leaving_and_dead_members_are_not_ready() -> None:
    availability = EndpointAvailability()
    availability.observe(
        [
            _member(1, status=MemberStatus.LEAVING),
            _member(2, status=MemberStatus.DEAD),
            _member(3, status=MemberStatus.SUSPECT),
        ],
        0.0,
    )
    assert availability.ready == 1
