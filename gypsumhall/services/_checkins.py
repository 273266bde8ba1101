"""Service ``check-ins``: heartbeats of the backend server on the VM."""

from __future__ import annotations

from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING

import trio

from gypsumhall import platform
from gypsumhall._errors import GypsumhallError
from gypsumhall.core._checkins import CheckIns
from gypsumhall.core._checkins import Decision
from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState
from gypsumhall.core._placement import ANY_VERSION
from gypsumhall.services import _backend_client
from gypsumhall.services import _protocols

if TYPE_CHECKING:
    from gypsumhall.kernel import Kernel

_CHECK_S = 0.5
_HEALTH_TIMEOUT_S = 1.0


@runtime_checkable
class Rollouts(Protocol):
    """What this service needs of the service ``moves``."""

    def restricts(self, service: str) -> bool:
        """Whether calls of a service depend on the endpoint's version."""
        ...


@runtime_checkable
class BackendRunner(Protocol):
    """What this service needs of the service ``runner``."""

    def set_backend(
        self, endpoint: Endpoint | None, address: str, instance: str = ''
    ) -> None:
        """Take over what the backend server reported."""
        ...

    def set_warm_at(self, time: float) -> None:
        """Set until when a backend server that has started is slow."""
        ...


class CheckInService:
    """Takes heartbeats, and tells runner and membership of changes.

    Parameters
    ----------
    address : str
        ``<ip>:<port>`` of the backend server on the VM; heartbeats that
        name another one are not used. Empty for any.
    service : str
        Service of the backend server; with it, a daemon that starts asks
        for the health of a backend server that is already running instead
        of waiting for its next heartbeat.
    """

    name = 'check-ins'
    requires: tuple[str, ...] = (
        'admin',
        'membership',
        'distribution',
        'moves',
        'runner',
        'events',
    )

    def __init__(self, address: str, service: str = '') -> None:
        self._address = address
        self._service = service
        self._distribution: _protocols.Distribution
        self._rollouts: Rollouts
        self._known = CheckIns()
        self._draining = False
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
        admin = kernel.get('admin', _protocols.Admin)
        self._membership = kernel.get('membership', _protocols.Membership)
        self._runner = kernel.get('runner', BackendRunner)
        self._events = kernel.get('events', _protocols.Events)
        admin.add_route('PUT', platform.INSTANCES_PATH, self._check_in)
        admin.add_route('DELETE', platform.INSTANCES_PATH, self._leave)
        self._distribution = kernel.get(
            'distribution', _protocols.Distribution
        )
        self._rollouts = kernel.get('moves', Rollouts)
        task_status.started()
        if self._address and self._service:
            await self._find_running()
        while True:
            await trio.sleep(_CHECK_S)
            if self._known.expire(trio.current_time()):
                self._apply('missing')

    async def drain(self) -> None:
        """Go on: the promise to a backend server that leaves holds."""
        self._draining = True

    async def _find_running(self) -> None:
        """Ask a backend server that started earlier who it is."""
        await self._distribution.wait_ready()
        snapshot = self._distribution.snapshot
        service = snapshot.service(self._service) if snapshot else None
        if (
            service is None
            or not service.health_path
            or self._known.current is not None
            or self._rollouts.restricts(self._service)
        ):
            return
        client = _backend_client.BackendClient(self._address)
        instance, slots = '', 0
        try:
            with trio.fail_after(_HEALTH_TIMEOUT_S):
                async with client.request(
                    'GET',
                    service.health_path,
                    ((b'host', self._address.encode()),),
                    b'',
                    lambda: None,
                ) as response:
                    instance, slots = platform.decode_health(
                        response.status, response.headers
                    )
        except (GypsumhallError, trio.TooSlowError) as error:
            self._events.emit('backend-unanswered', detail=repr(error))
        finally:
            with trio.CancelScope(shield=True):
                await client.close_idle(all_connections=True)
        # Its version follows with its first heartbeat.
        endpoint = Endpoint(
            self._service, ANY_VERSION, slots, EndpointState.READY
        )
        if instance and self._known.suppose(
            instance, self._address, endpoint, trio.current_time()
        ):
            self._apply('health')

    async def _check_in(
        self, request: _protocols.AdminRequest
    ) -> _protocols.AdminResponse:
        instance = request.path[len(platform.INSTANCES_PATH) :]
        try:
            check_in = platform.decode_check_in(instance, request.body)
        except GypsumhallError as error:
            self._events.emit('check-in-rejected', detail=str(error))
            return _response(400)
        if self._address and check_in.address != self._address:
            self._events.emit(
                'check-in-rejected',
                detail=f'{instance!r} is at {check_in.address!r}, not here',
            )
            return _response(400)
        decision = self._known.take(
            instance,
            check_in.started_ms,
            check_in.sequence,
            check_in.address,
            check_in.endpoint,
            trio.current_time(),
        )
        if decision is not Decision.STALE:
            now = trio.current_time()
            self._runner.set_warm_at(now + check_in.warmup_s)
        if decision is Decision.CHANGED:
            self._apply('check-in')
        elif decision is Decision.STALE:
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
        instance = request.path[len(platform.INSTANCES_PATH) :]
        started_ms = platform.decode_start_time(request.body)
        if self._known.leave(instance, started_ms):
            self._apply('leaving')
        return _response(200)

    def _apply(self, cause: str) -> None:
        """Pass the state on, first to the runner, which keeps promises."""
        found = self._known.current
        endpoint = None if found is None else found.endpoint
        instance = '' if found is None else found.instance
        address = '' if found is None else found.address
        self._runner.set_backend(endpoint, address, instance)
        if not self._draining:
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
