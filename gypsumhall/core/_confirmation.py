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
    the check, its heartbeats are believed once they cannot all be delayed
    ones: one arrives `HEARTBEAT_TIMEOUT_S` after the start of this daemon,
    or several arrive one after the other.

    Parameters
    ----------
    started_at : float
        Start of this daemon in seconds, by the clock of its callers.
    """

    __slots__ = (
        '_confirmed',
        '_first_at',
        '_heartbeats',
        '_last_at',
        '_process',
        '_started_at',
        '_status',
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
            return backend.endpoint
        return msgspec.structs.replace(
            backend.endpoint, state=EndpointState.STARTING
        )

    def record_heartbeat(self, backend: BackendInstance, now: float) -> bool:
        """Record a heartbeat that is not stale; True if it confirms."""
        process = _identify(backend)
        if process != self._process:
            self._process = process
            self._status = None
            self._confirmed = False
            self._heartbeats = 0
            self._first_at = now
        self._heartbeats += 1
        self._last_at = now
        return self._confirm()

    def record_status(
        self, backend: BackendInstance, status: BackendStatus
    ) -> bool:
        """Record the result of a status check; True if it confirms."""
        if _identify(backend) != self._process:
            return False
        self._status = status
        return self._confirm()

    def _confirm(self) -> bool:
        if self._confirmed:
            return False
        self._confirmed = self._status is BackendStatus.HEALTHY or (
            self._status is BackendStatus.UNKNOWN and not self._may_be_late()
        )
        return self._confirmed

    def _may_be_late(self) -> bool:
        """Whether all heartbeats may have been sent before the start."""
        if self._last_at - self._started_at >= HEARTBEAT_TIMEOUT_S:
            return False
        return (
            self._heartbeats < _MIN_HEARTBEATS
            or self._last_at - self._first_at < _MIN_HEARTBEAT_SPAN_S
        )


def _identify(backend: BackendInstance) -> tuple[str, int]:
    return backend.instance, backend.started_ms
