"""Backend server state from delayed, duplicate or outdated heartbeats."""

from __future__ import annotations

from dataclasses import dataclass
import enum

import msgspec

from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState

HEARTBEAT_TIMEOUT_S = 6.0
"""Time in seconds without a heartbeat after which a backend server counts as
stopped; heartbeats are sent every 1.5 s and may be delayed by seconds."""

_MAX_DELAYED_HEARTBEATS = 1000
"""Heartbeats by which a delayed one may be behind. One that is further behind
shows that the recorded sequence number came from another writer."""


class HeartbeatResult(enum.Enum):
    """Effect of a heartbeat on the recorded state."""

    CHANGED = 'changed'
    SAME = 'same'
    STALE = 'stale'


@dataclass(slots=True, frozen=True)
class BackendInstance:
    """One process of the backend server on the VM.

    Parameters
    ----------
    instance : str
        Id of the process.
    started_ms : int
        Start of the process as Unix time in milliseconds.
    address : str
        ``<ip>:<port>`` of its HTTP listener.
    endpoint : Endpoint
        Service, version and state that it reports.
    """

    instance: str
    started_ms: int
    address: str
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class _LeavingNotice:
    """The latest notice of a process that it is leaving."""

    instance: str
    # 0 if the notice did not state it.
    started_ms: int
    received_at: float

    def covers(self, instance: str, started_ms: int, now: float) -> bool:
        """Whether a process that sends a heartbeat has sent the notice.

        The id alone may belong to a later process, so a notice without the
        start time only covers heartbeats that may have been delayed.
        """
        if instance != self.instance:
            return False
        if self.started_ms:
            return started_ms <= self.started_ms
        return now - self.received_at < HEARTBEAT_TIMEOUT_S


class BackendTracker:
    """Tracks the latest process of the backend server by its heartbeats."""

    __slots__ = (
        '_backend',
        '_last_notice',
        '_leaving',
        '_present',
        '_received_at',
        '_sequence',
    )

    def __init__(self) -> None:
        self._backend: BackendInstance | None = None
        self._sequence = 0
        self._received_at = 0.0
        self._present = False
        self._leaving = False
        self._last_notice: _LeavingNotice | None = None

    @property
    def current(self) -> BackendInstance | None:
        """The backend server; None while it sends no heartbeats."""
        return self._backend if self._present else None

    def record_heartbeat(
        self,
        instance: str,
        started_ms: int,
        sequence: int,
        address: str,
        endpoint: Endpoint,
        now: float,
    ) -> HeartbeatResult:
        """Record a heartbeat.

        Once a process has announced that it is leaving, it stays draining:
        a later heartbeat that says otherwise was delayed.
        """
        backend = self._backend
        same_process = backend is not None and (instance, started_ms) == (
            backend.instance,
            backend.started_ms,
        )
        if (
            backend is not None
            # A start time of another writer may lie in the future.
            and self._present
            and not same_process
            and started_ms < backend.started_ms
        ):
            return HeartbeatResult.STALE
        lag = self._sequence - sequence
        if same_process and 0 <= lag <= _MAX_DELAYED_HEARTBEATS:
            return HeartbeatResult.STALE
        if not same_process:
            # The notice may have arrived before the first heartbeat, for
            # example after a restart of the daemon.
            notice = self._last_notice
            self._leaving = notice is not None and notice.covers(
                instance, started_ms, now
            )
        self._sequence = sequence
        self._received_at = now
        if endpoint.state is EndpointState.DRAINING:
            self._leaving = True
        elif self._leaving:
            endpoint = msgspec.structs.replace(
                endpoint, state=EndpointState.DRAINING
            )
        updated = BackendInstance(instance, started_ms, address, endpoint)
        if updated == backend and self._present:
            return HeartbeatResult.SAME
        self._backend = updated
        self._present = True
        return HeartbeatResult.CHANGED

    def record_leaving(
        self, instance: str, started_ms: int, now: float
    ) -> bool:
        """Record that a process is leaving; False when nothing changes.

        The notice is kept when the process is not known: its delayed
        heartbeats must not make it ready.
        """
        self._last_notice = _LeavingNotice(instance, started_ms, now)
        backend = self._backend
        if backend is None or backend.instance != instance:
            return False
        if started_ms and started_ms < backend.started_ms:
            return False
        already_leaving = self._leaving
        self._leaving = True
        endpoint = msgspec.structs.replace(
            backend.endpoint, state=EndpointState.DRAINING
        )
        self._backend = BackendInstance(
            backend.instance, backend.started_ms, backend.address, endpoint
        )
        return not already_leaving

    def expire(self, now: float) -> bool:
        """Drop the backend server if its heartbeats stopped; True if so."""
        if not self._present or now - self._received_at < HEARTBEAT_TIMEOUT_S:
            return False
        self._present = False
        return True
