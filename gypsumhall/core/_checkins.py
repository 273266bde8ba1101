"""Order of heartbeats that arrive late, twice or from earlier processes."""

from __future__ import annotations

from dataclasses import dataclass
import enum

import msgspec

from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState

HEARTBEAT_TIMEOUT_S = 6.0
"""Time in seconds without a heartbeat after which a backend server counts as
gone; heartbeats are sent every 1.5 s and may arrive seconds late."""


class HeartbeatResult(enum.Enum):
    """What a heartbeat changed."""

    CHANGED = 'changed'
    SAME = 'same'
    STALE = 'stale'


@dataclass(slots=True, frozen=True)
class BackendInstance:
    """The backend server on the VM.

    Parameters
    ----------
    instance : str
        Id of its process.
    started_ms : int
        Unix time in milliseconds of its start.
    address : str
        ``<ip>:<port>`` of its HTTP listener.
    endpoint : Endpoint
        What it runs.
    """

    instance: str
    started_ms: int
    address: str
    endpoint: Endpoint


class BackendTracker:
    """The newest process of the backend server that reported itself."""

    __slots__ = ('_heard', '_known', '_left', '_present', '_sequence')

    def __init__(self) -> None:
        self._known: BackendInstance | None = None
        self._sequence = 0
        self._heard = 0.0
        self._present = False
        self._left = False

    @property
    def current(self) -> BackendInstance | None:
        """The backend server; None when it is gone."""
        return self._known if self._present else None

    def record_heartbeat(
        self,
        instance: str,
        started_ms: int,
        sequence: int,
        address: str,
        endpoint: Endpoint,
        now: float,
    ) -> HeartbeatResult:
        """Take a heartbeat.

        A process that has said that it leaves does not come back; what
        arrives from it later was delayed.
        """
        known = self._known
        same = known is not None and (instance, started_ms) == (
            known.instance,
            known.started_ms,
        )
        if known is not None and not same and started_ms < known.started_ms:
            return HeartbeatResult.STALE
        if same and sequence <= self._sequence:
            return HeartbeatResult.STALE
        if not same:
            self._left = False
        self._sequence = sequence
        self._heard = now
        if endpoint.state is EndpointState.DRAINING:
            self._left = True
        elif self._left:
            endpoint = msgspec.structs.replace(
                endpoint, state=EndpointState.DRAINING
            )
        found = BackendInstance(instance, started_ms, address, endpoint)
        if found == known and self._present:
            return HeartbeatResult.SAME
        self._known = found
        self._present = True
        return HeartbeatResult.CHANGED

    def record_leaving(self, instance: str, started_ms: int) -> bool:
        """Take a notice of leaving; False when it changes nothing."""
        known = self._known
        if known is None or known.instance != instance:
            return False
        if started_ms and started_ms < known.started_ms:
            return False
        already = self._left
        self._left = True
        endpoint = msgspec.structs.replace(
            known.endpoint, state=EndpointState.DRAINING
        )
        self._known = BackendInstance(
            known.instance, known.started_ms, known.address, endpoint
        )
        return not already

    def expire(self, now: float) -> bool:
        """Forget a backend server that is silent; True when it was known."""
        if not self._present or now - self._heard < HEARTBEAT_TIMEOUT_S:
            return False
        self._present = False
        return True
