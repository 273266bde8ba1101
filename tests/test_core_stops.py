"""Replays of restarts in turn, which `gypsumhall.core._stops` answers."""

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


def test_the_last_ready_endpoint_waits_for_the_one_that_restarts() -> None:
    """Both of two endpoints were away for 1.4 s on a day of restarts."""
    absences = EndpointAvailability()
    absences.observe([_member(1)], 0.0)
    assert absences.may_stop(0.5)
    absences.observe([_member(1, EndpointState.DRAINING)], 1.0)
    assert not absences.may_stop(1.1)
    absences.observe([], 1.3)
    assert not absences.may_stop(1.5)
    absences.observe([_member(1)], 2.5)
    assert absences.may_stop(2.6)


def test_an_endpoint_that_left_for_good_does_not_hold_a_stop() -> None:
    absences = EndpointAvailability()
    absences.observe([_member(1)], 0.0)
    absences.observe([], 1.0)
    assert not absences.may_stop(1.0 + MAX_RESTART_S / 2)
    assert absences.may_stop(1.0 + MAX_RESTART_S)


def test_a_few_of_many_endpoints_may_be_away_together() -> None:
    absences = EndpointAvailability()
    absences.observe([_member(index) for index in range(1, 12)], 0.0)
    absences.observe([_member(index) for index in range(3, 12)], 1.0)
    assert absences.unavailable(1.0) == 2
    assert absences.may_stop(1.0)
    absences.observe([_member(index) for index in range(5, 12)], 1.2)
    assert not absences.may_stop(1.2)


def test_a_daemon_with_the_only_endpoint_stops_at_once() -> None:
    absences = EndpointAvailability()
    absences.observe([], 0.0)
    assert absences.may_stop(0.0)


def test_daemons_that_leave_or_are_dead_are_not_ready() -> None:
    absences = EndpointAvailability()
    absences.observe(
        [
            _member(1, status=MemberStatus.LEAVING),
            _member(2, status=MemberStatus.DEAD),
            _member(3, status=MemberStatus.SUSPECT),
        ],
        0.0,
    )
    assert absences.ready == 1
