"""Heartbeats that arrive late, crossed and from earlier processes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gypsumhall.core._checkins import BackendTracker
from gypsumhall.core._checkins import HEARTBEAT_TIMEOUT_S
from gypsumhall.core._checkins import HeartbeatResult
from gypsumhall.core._member import EndpointState
from gypsumhall.testing import builders

_READY = builders.build_endpoint()
_DRAINING = builders.build_endpoint(state=EndpointState.DRAINING)


def _state(known: BackendTracker) -> EndpointState | None:
    return None if known.current is None else known.current.endpoint.state


def test_a_heartbeat_of_an_earlier_process_changes_nothing() -> None:
    """It may arrive after the address has gone to a new process."""
    known = BackendTracker()
    assert (
        known.record_heartbeat('i-2', 200, 1, 'a:1', _READY, 0.0)
        is HeartbeatResult.CHANGED
    )
    assert (
        known.record_heartbeat('i-1', 100, 9, 'a:1', _READY, 0.1)
        is HeartbeatResult.STALE
    )
    assert not known.record_leaving('i-1', 100)
    assert known.current is not None and known.current.instance == 'i-2'


def test_a_restart_under_the_same_id_starts_its_counts_anew() -> None:
    known = BackendTracker()
    known.record_heartbeat('i-1', 100, 9, 'a:1', _DRAINING, 0.0)
    assert (
        known.record_heartbeat('i-1', 200, 1, 'a:1', _READY, 1.0)
        is HeartbeatResult.CHANGED
    )
    assert _state(known) is EndpointState.READY


def test_a_late_heartbeat_does_not_undo_leaving() -> None:
    """A request would reach the backend server after its acknowledgement."""
    known = BackendTracker()
    known.record_heartbeat('i-1', 100, 1, 'a:1', _READY, 0.0)
    known.record_heartbeat('i-1', 100, 3, 'a:1', _DRAINING, 1.0)
    assert (
        known.record_heartbeat('i-1', 100, 2, 'a:1', _READY, 1.1)
        is HeartbeatResult.STALE
    )
    assert (
        known.record_heartbeat('i-1', 100, 4, 'a:1', _READY, 1.2)
        is HeartbeatResult.SAME
    )
    assert _state(known) is EndpointState.DRAINING


def test_a_notice_without_draining_before_is_a_leaving_too() -> None:
    known = BackendTracker()
    known.record_heartbeat('i-1', 100, 1, 'a:1', _READY, 0.0)
    assert known.record_leaving('i-1', 0)
    assert not known.record_leaving('i-1', 0)
    assert _state(known) is EndpointState.DRAINING
    known.record_heartbeat('i-1', 100, 5, 'a:1', _READY, 0.5)
    assert _state(known) is EndpointState.DRAINING


def test_a_silent_backend_server_is_forgotten_and_found_again() -> None:
    known = BackendTracker()
    known.record_heartbeat('i-1', 100, 1, 'a:1', _READY, 0.0)
    assert not known.expire(HEARTBEAT_TIMEOUT_S - 0.1)
    assert known.expire(HEARTBEAT_TIMEOUT_S)
    assert known.current is None
    changed = known.record_heartbeat('i-1', 100, 7, 'a:1', _READY, 9.0)
    assert changed is HeartbeatResult.CHANGED


@given(
    st.lists(
        st.tuples(
            st.sampled_from([100, 200]),
            st.integers(1, 6),
            st.booleans(),
        ),
        max_size=20,
    )
)
def test_no_order_of_arrival_makes_a_leaving_process_ready(
    arrivals: list[tuple[int, int, bool]],
) -> None:
    known = BackendTracker()
    left: set[int] = set()
    newest = 0
    for now, (started, sequence, draining) in enumerate(arrivals):
        endpoint = _DRAINING if draining else _READY
        decision = known.record_heartbeat(
            f'i-{started}', started, sequence, 'a:1', endpoint, now * 0.01
        )
        if draining and decision is not HeartbeatResult.STALE:
            left.add(started)
        newest = max(newest, started)
        assert known.current is not None
        assert known.current.started_ms == newest
        if newest in left:
            assert _state(known) is EndpointState.DRAINING
