"""Tests of delayed, reordered and outdated heartbeats of backend servers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumhall.core._checkins import BackendTracker
from gypsumhall.core._checkins import HEARTBEAT_TIMEOUT_S
from gypsumhall.core._checkins import HeartbeatResult
from gypsumhall.core._member import EndpointState
from gypsumhall.testing import builders

_READY = builders.build_endpoint()
_DRAINING = builders.build_endpoint(state=EndpointState.DRAINING)


def _state(tracker: BackendTracker) -> EndpointState | None:
    return None if tracker.current is None else tracker.current.endpoint.state


def test_heartbeat_of_earlier_process_is_ignored() -> None:
    """It may arrive after a new process has taken over the address."""
    tracker = BackendTracker()
    assert (
        tracker.record_heartbeat('i-2', 200, 1, 'a:1', _READY, 0.0)
        is HeartbeatResult.CHANGED
    )
    assert (
        tracker.record_heartbeat('i-1', 100, 9, 'a:1', _READY, 0.1)
        is HeartbeatResult.STALE
    )
    assert not tracker.record_leaving('i-1', 100, 0.2)
    assert tracker.current is not None and tracker.current.instance == 'i-2'


def test_restart_with_same_id_resets_sequence_and_draining() -> None:
    tracker = BackendTracker()
    tracker.record_heartbeat('i-1', 100, 9, 'a:1', _DRAINING, 0.0)
    assert (
        tracker.record_heartbeat('i-1', 200, 1, 'a:1', _READY, 1.0)
        is HeartbeatResult.CHANGED
    )
    assert _state(tracker) is EndpointState.READY


def test_delayed_heartbeat_does_not_end_draining() -> None:
    """Otherwise requests reach a server whose leaving was acknowledged."""
    tracker = BackendTracker()
    tracker.record_heartbeat('i-1', 100, 1, 'a:1', _READY, 0.0)
    tracker.record_heartbeat('i-1', 100, 3, 'a:1', _DRAINING, 1.0)
    assert (
        tracker.record_heartbeat('i-1', 100, 2, 'a:1', _READY, 1.1)
        is HeartbeatResult.STALE
    )
    assert (
        tracker.record_heartbeat('i-1', 100, 4, 'a:1', _READY, 1.2)
        is HeartbeatResult.SAME
    )
    assert _state(tracker) is EndpointState.DRAINING


@pytest.mark.parametrize('notice_ms', [0, 100])
@pytest.mark.parametrize('known', ['', 'i-0', 'i-1'])
def test_delayed_heartbeat_after_an_acknowledged_notice_is_draining(
    notice_ms: int, known: str
) -> None:
    """A daemon that has just started may get the notice first."""
    tracker = BackendTracker()
    if known:
        tracker.record_heartbeat(known, 50, 3, 'a:1', _READY, 0.0)
    tracker.record_leaving('i-1', notice_ms, 0.5)
    tracker.record_heartbeat('i-1', 100, 7, 'a:1', _READY, 2.5)
    assert _state(tracker) is EndpointState.DRAINING


@pytest.mark.parametrize(
    ('notice_ms', 'heartbeat_at'), [(100, 1.0), (0, HEARTBEAT_TIMEOUT_S + 1.0)]
)
def test_notice_of_an_earlier_process_does_not_drain_a_later_one(
    notice_ms: int, heartbeat_at: float
) -> None:
    tracker = BackendTracker()
    tracker.record_leaving('i-1', notice_ms, 0.5)
    tracker.record_heartbeat('i-1', 200, 1, 'a:1', _READY, heartbeat_at)
    assert _state(tracker) is EndpointState.READY


def test_notice_of_leaving_without_draining_heartbeat_drains() -> None:
    tracker = BackendTracker()
    tracker.record_heartbeat('i-1', 100, 1, 'a:1', _READY, 0.0)
    assert tracker.record_leaving('i-1', 0, 0.1)
    assert not tracker.record_leaving('i-1', 0, 0.2)
    assert _state(tracker) is EndpointState.DRAINING
    tracker.record_heartbeat('i-1', 100, 5, 'a:1', _READY, 0.5)
    assert _state(tracker) is EndpointState.DRAINING


def test_backend_server_expires_and_returns_with_next_heartbeat() -> None:
    tracker = BackendTracker()
    tracker.record_heartbeat('i-1', 100, 1, 'a:1', _READY, 0.0)
    assert not tracker.expire(HEARTBEAT_TIMEOUT_S - 0.1)
    assert tracker.expire(HEARTBEAT_TIMEOUT_S)
    assert tracker.current is None
    changed = tracker.record_heartbeat('i-1', 100, 7, 'a:1', _READY, 9.0)
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
def test_leaving_process_stays_draining_in_any_arrival_order(
    arrivals: list[tuple[int, int, bool]],
) -> None:
    tracker = BackendTracker()
    leaving: set[int] = set()
    newest = 0
    for now, (started, sequence, draining) in enumerate(arrivals):
        endpoint = _DRAINING if draining else _READY
        decision = tracker.record_heartbeat(
            f'i-{started}', started, sequence, 'a:1', endpoint, now * 0.01
        )
        if draining and decision is not HeartbeatResult.STALE:
            leaving.add(started)
        newest = max(newest, started)
        assert tracker.current is not None
        assert tracker.current.started_ms == newest
        if newest in leaving:
            assert _state(tracker) is EndpointState.DRAINING


@pytest.mark.parametrize('odd', [10**6, 2**62])
def test_odd_sequence_number_does_not_make_later_heartbeats_stale(
    odd: int,
) -> None:
    """The endpoint was lost to the daemon for the life of its process."""
    tracker = BackendTracker()
    tracker.record_heartbeat('i-1', 100, 4, 'a:1', _READY, 0.0)
    tracker.record_heartbeat('i-1', 100, odd, 'a:1', _READY, 1.0)
    result = tracker.record_heartbeat('i-1', 100, 5, 'a:1', _READY, 2.0)
    assert result is HeartbeatResult.SAME
    delayed = tracker.record_heartbeat('i-1', 100, 4, 'a:1', _READY, 2.1)
    assert delayed is HeartbeatResult.STALE
    assert not tracker.expire(HEARTBEAT_TIMEOUT_S + 1.0)
