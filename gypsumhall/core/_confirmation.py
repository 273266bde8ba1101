"""Confirmation of heartbeats by the backend server that they describe."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from gypsumhall.core._checkins import HEARTBEAT_TIMEOUT_S
from gypsumhall.core._member import EndpointState

if TYPE_CHECKING:
    from gypsumhall.core._checkins import BackendInstance
    from gypsumhall.core._member import Endpoint

_MIN_HEARTBEATS = 3
# Heartbeats that were held up together arrive within a short time.
_MIN_HEARTBEAT_SPAN_S = 2.5
# Two heartbeats that arrive at the interval at which they are sent, 1.5 s,
# have the same delay, which is unlikely for delayed ones.
_MIN_STEADY_INTERVAL_S = 1.0
_MAX_STEADY_INTERVAL_S = 2.0
# Time after the start from which steady heartbeats are believed. One that a
# former process should have got is delayed by the time since the start and by
# the time for which there was no process.
_MIN_OBSERVATION_S = 2.5
# Age of a process at its first heartbeat from which it counts as warm. Senders
# take a new endpoint for slow in its first 3 s.
_MIN_WARM_AGE_S = 4.5


class BackendStatus(enum.Enum):
    """Result of a status check of the backend server."""

    HEALTHY = 'healthy'
    """The process that was asked for is healthy and is not leaving."""
    UNAVAILABLE = 'unavailable'
    """It is leaving, failing or gone, or another process has its address."""
    UNKNOWN = 'unknown'
    """The check was rejected or got no usable response."""


class Confirmation:
    """Decides whether a backend server may be offered to callers.

    A former process of this daemon may have acknowledged that the backend
    server leaves, and a heartbeat that was sent before that may arrive now.
    So a process of the backend server counts as starting until it has
    confirmed by a status check that it is ready. If it does not respond to
    the check, or rejects it because it is full, its heartbeats are believed
    once they are not likely to be delayed ones: two with consecutive numbers
    arrive at the interval at which they are sent, several arrive one after
    the other, or one arrives `HEARTBEAT_TIMEOUT_S` after the start of this
    daemon. A rejection is no better evidence than silence: an endpoint that
    leaves may be full as well.

    Parameters
    ----------
    started_at : float
        Start of this daemon in seconds, by the clock of its callers.
    """

    __slots__ = (
        '_confirmed',
        '_first_at',
        '_heartbeats',
        '_is_warm',
        '_last_at',
        '_process',
        '_sequence',
        '_started_at',
        '_status',
        '_steady',
    )

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        # Id and start time of the process that sent the last heartbeat.
        self._process: tuple[str, int] | None = None
        self._status: BackendStatus | None = None
        self._confirmed = False
        self._heartbeats = 0
        self._first_at = 0.0
        self._last_at = 0.0
        self._sequence = 0
        # Whether the last two heartbeats arrived as they are sent.
        self._steady = False
        self._is_warm = False

    def is_needed(self, backend: BackendInstance | None) -> bool:
        """Whether a process that reports to be ready is unconfirmed."""
        return (
            backend is not None
            and backend.endpoint.state is EndpointState.READY
            and not (self._confirmed and _identify(backend) == self._process)
        )

    def endpoint(self, backend: BackendInstance | None) -> Endpoint | None:
        """Return the endpoint to advertise for a process."""
        if backend is None:
            return None
        if not self.is_needed(backend):
            return msgspec.structs.replace(
                backend.endpoint, is_warm=self._is_warm
            )
        return msgspec.structs.replace(
            backend.endpoint, state=EndpointState.STARTING
        )

    def record_heartbeat(
        self,
        backend: BackendInstance,
        sequence: int,
        now: float,
        age_s: float = 0.0,
    ) -> bool:
        """Record a heartbeat that is not stale; True if it confirms.

        Parameters
        ----------
        backend : BackendInstance
            The process that sent it.
        sequence : int
            Sequence number of the heartbeat.
        now : float
            Current time in seconds.
        age_s : float
            Time in seconds since the start of the process, 0 if it may be
            slow as after a start.
        """
        process = _identify(backend)
        if process != self._process:
            self._process = process
            self._status = None
            self._confirmed = False
            self._heartbeats = 0
            self._is_warm = age_s >= _MIN_WARM_AGE_S
        if not self._heartbeats:
            self._first_at = now
        interval_s = now - self._last_at
        self._steady = (
            self._heartbeats > 0
            and sequence == self._sequence + 1
            and _MIN_STEADY_INTERVAL_S <= interval_s <= _MAX_STEADY_INTERVAL_S
        )
        self._heartbeats += 1
        self._last_at = now
        self._sequence = sequence
        return self.confirm(now)

    def record_status(
        self, backend: BackendInstance, status: BackendStatus, now: float
    ) -> bool:
        """Record the result of a status check; True if it confirms."""
        if _identify(backend) != self._process:
            return False
        self._status = status
        if status is BackendStatus.UNAVAILABLE:
            # What it sends later has to show that it is available again.
            self._heartbeats = 0
            self._steady = False
        return self.confirm(now)

    def confirm(self, now: float) -> bool:
        """Confirm the process if that is possible by now; True if so."""
        if self._confirmed:
            return False
        self._confirmed = self._status is BackendStatus.HEALTHY or (
            self._status is BackendStatus.UNKNOWN
            and not self._may_be_late(now)
        )
        return self._confirmed

    def _may_be_late(self, now: float) -> bool:
        """Whether all heartbeats may have been sent before the start.

        Those before a status that says "unavailable" do not count.
        """
        if not self._heartbeats:
            return True
        if self._last_at - self._started_at >= HEARTBEAT_TIMEOUT_S:
            return False
        if self._steady and now - self._started_at >= _MIN_OBSERVATION_S:
            return False
        return (
            self._heartbeats < _MIN_HEARTBEATS
            or self._last_at - self._first_at < _MIN_HEARTBEAT_SPAN_S
        )


def _identify(backend: BackendInstance) -> tuple[str, int]:
    return backend.instance, backend.started_ms
