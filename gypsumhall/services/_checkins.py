"""Service ``check-ins``: heartbeats of the backend server on the VM."""

from __future__ import annotations

from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING

import trio

from gypsumhall import platform
from gypsumhall._errors import GypsumhallError
from gypsumhall.core._checkins import BackendTracker
from gypsumhall.core._checkins import HeartbeatResult
from gypsumhall.services import _protocols

if TYPE_CHECKING:
    from gypsumhall.core._member import Endpoint
    from gypsumhall.kernel import Kernel

_CHECK_S = 0.5


@runtime_checkable
class BackendRunner(Protocol):
    """What this service needs of the service ``runner``."""

    @property
    def stopping(self) -> bool:
        """Whether others have been told that no more calls are taken."""
        ...

    def set_backend(
        self, endpoint: Endpoint | None, address: str, instance: str = ''
    ) -> None:
        """Take over what the backend server reported."""
        ...

    def set_warmup_end(self, time: float) -> None:
        """Set until when a backend server that has started is slow."""
        ...


class CheckInService:
    """Takes heartbeats, and tells runner and membership of changes.

    Parameters
    ----------
    address : str
        ``<ip>:<port>`` of the backend server on the VM; heartbeats that
        name another one are not used. Empty for any.
    """

    name = 'check-ins'
    requires: tuple[str, ...] = ('admin', 'membership', 'runner', 'events')

    def __init__(self, address: str) -> None:
        self._address = address
        self._started = False
        self._known = BackendTracker()
        self._membership: _protocols.Membership
        self._runner: BackendRunner
        self._events: _protocols.Events

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Look for heartbeats that stop, until cancelled."""
        self._membership = kernel.get('membership', _protocols.Membership)
        self._runner = kernel.get('runner', BackendRunner)
        self._events = kernel.get('events', _protocols.Events)
        self._started = True
        task_status.started()
        while True:
            await trio.sleep(_CHECK_S)
            if self._known.expire(trio.current_time()):
                self._apply('missing')

    def register_routes(self, admin: _protocols.Admin) -> None:
        """Register with a listener, before it starts.

        Until this service has started, heartbeats are not acknowledged.
        """
        admin.add_route('PUT', platform.INSTANCES_PATH, self._check_in)
        admin.add_route('DELETE', platform.INSTANCES_PATH, self._leave)

    async def drain(self) -> None:
        """Go on: the promise to a backend server that leaves holds."""

    async def _check_in(
        self, request: _protocols.AdminRequest
    ) -> _protocols.AdminResponse:
        if not self._started:
            return _response(503)
        instance = request.path[len(platform.INSTANCES_PATH) :]
        try:
            check_in = platform.decode_heartbeat(instance, request.body)
        except GypsumhallError as error:
            self._events.emit('check-in-rejected', detail=str(error))
            return _response(400)
        if self._address and check_in.address != self._address:
            self._events.emit(
                'check-in-rejected',
                detail=f'{instance!r} is at {check_in.address!r}, not here',
            )
            return _response(400)
        decision = self._known.record_heartbeat(
            instance,
            check_in.started_ms,
            check_in.sequence,
            check_in.address,
            check_in.endpoint,
            trio.current_time(),
        )
        if decision is not HeartbeatResult.STALE:
            now = trio.current_time()
            self._runner.set_warmup_end(now + check_in.warmup_s)
        if decision is HeartbeatResult.CHANGED:
            self._apply('check-in')
        elif decision is HeartbeatResult.STALE:
            self._events.emit(
                'check-in-stale',
                instance=instance,
                started_ms=check_in.started_ms,
                sequence=check_in.sequence,
            )
        return _response(200)

    async def _leave(
        self, request: _protocols.AdminRequest
    ) -> _protocols.AdminResponse:
        if not self._started:
            return _response(503)
        instance = request.path[len(platform.INSTANCES_PATH) :]
        started_ms = platform.decode_start_time(request.body)
        if self._known.record_leaving(instance, started_ms):
            self._apply('leaving')
        return _response(200)

    def _apply(self, cause: str) -> None:
        """Pass the state on, first to the runner, which keeps promises."""
        found = self._known.current
        endpoint = None if found is None else found.endpoint
        instance = '' if found is None else found.instance
        address = '' if found is None else found.address
        self._runner.set_backend(endpoint, address, instance)
        if not self._runner.stopping:
            self._membership.set_endpoint(endpoint)
        self._events.emit(
            'endpoint-changed',
            cause=cause,
            instance=instance,
            service='' if endpoint is None else endpoint.service,
            service_version='' if endpoint is None else endpoint.version,
            state='gone' if endpoint is None else endpoint.state.name.lower(),
            address=address,
        )


def _response(status: int) -> _protocols.AdminResponse:
    return _protocols.AdminResponse(status, b'{}')
