"""Service ``check-ins``: heartbeats of the backend server on the VM."""

from __future__ import annotations

import time
from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING

import trio

from gypsumhall import platform
from gypsumhall._errors import GypsumhallError
from gypsumhall.core._checkins import BackendTracker
from gypsumhall.core._checkins import HeartbeatResult
from gypsumhall.core._confirmation import Confirmation
from gypsumhall.services import _protocols

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumhall.core._checkins import BackendInstance
    from gypsumhall.core._confirmation import BackendStatus
    from gypsumhall.core._member import Endpoint
    from gypsumhall.kernel import Kernel
    from gypsumhall.services._cold_monitor import ColdMonitor
    from gypsumhall.services._status_check import StatusCheck

_CHECK_INTERVAL_S = 0.5
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 1.0


@runtime_checkable
class BackendRunner(Protocol):
    """Part of the service ``runner`` that this service uses."""

    @property
    def stopping(self) -> bool:
        """Whether peers were notified that no more calls are accepted."""
        ...

    def set_backend(
        self, endpoint: Endpoint | None, address: str, instance: str = ''
    ) -> None:
        """Apply the state that the backend server reported."""
        ...

    def set_warmup_end(self, time: float) -> None:
        """Set the time at which the backend server has warmed up."""
        ...


class CheckInService:
    """Handles heartbeats; updates runner and membership on changes.

    Parameters
    ----------
    address : str
        ``<ip>:<port>`` of the backend server on the VM; heartbeats with
        another address are rejected. Empty to accept any address.
    service : str
        Service of the backend server; heartbeats with another service are
        rejected. Empty to accept any service.
    status_check : StatusCheck
        Confirms that a backend server is ready before it is advertised.
    evacuations : Evacuations, optional
        While the zone of this daemon is evacuated, no status is checked.
    cold_monitor : ColdMonitor, optional
        Receives the remaining warm-up times of heartbeats.
    wall : callable, optional
        Returns the Unix time in seconds, in which heartbeats state the start
        of their process.
    """

    name = 'check-ins'
    requires: tuple[str, ...] = (
        'admin',
        'membership',
        'distribution',
        'runner',
        'events',
    )

    def __init__(
        self,
        address: str,
        service: str,
        status_check: StatusCheck,
        evacuations: _protocols.Evacuations | None = None,
        cold_monitor: ColdMonitor | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._wall = wall
        self._evacuations = evacuations
        self._cold_monitor = cold_monitor
        self._was_evacuated = False
        self._zones_changed = trio.Event()
        self._address = address
        self._service = service
        self._status_check = status_check
        self._started = False
        self._tracker = BackendTracker()
        self._changed = trio.Event()
        self._confirmation: Confirmation
        self._distribution: _protocols.Distribution
        self._membership: _protocols.Membership
        self._runner: BackendRunner
        self._events: _protocols.Events

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Check for missing heartbeats until cancelled."""
        self._confirmation = Confirmation(trio.current_time())
        self._distribution = kernel.get(
            'distribution', _protocols.Distribution
        )
        self._membership = kernel.get('membership', _protocols.Membership)
        self._runner = kernel.get('runner', BackendRunner)
        self._events = kernel.get('events', _protocols.Events)
        self._started = True
        if self._evacuations is not None:
            self._evacuations.subscribe(self._on_evacuation)
            self._was_evacuated = self._is_evacuated()
        async with trio.open_nursery() as nursery:
            if self._cold_monitor is not None:
                nursery.start_soon(self._check_warmup, self._cold_monitor)
            nursery.start_soon(self._confirm_backends)
            task_status.started()
            while True:
                await trio.sleep(_CHECK_INTERVAL_S)
                now = trio.current_time()
                if self._tracker.expire(now):
                    self._publish_state('missing')
                elif self._confirmation.is_needed(
                    self._tracker.current
                ) and self._confirmation.confirm(now):
                    self._publish_state('check-in')

    def register_routes(self, admin: _protocols.Admin) -> None:
        """Register the heartbeat routes with a listener before it starts.

        Until this service has started, heartbeats are not acknowledged.
        """
        admin.add_route('PUT', platform.INSTANCES_PATH, self._handle_heartbeat)
        admin.add_route(
            'DELETE', platform.INSTANCES_PATH, self._handle_leaving
        )

    async def drain(self) -> None:
        """Return at once; heartbeats are handled until the daemon stops.

        A backend server whose notice of leaving was acknowledged must get no
        new calls, also while this daemon shuts down.
        """

    async def _handle_heartbeat(
        self, request: _protocols.AdminRequest
    ) -> _protocols.AdminResponse:
        if not self._started:
            return _response(503)
        instance = request.path[len(platform.INSTANCES_PATH) :]
        try:
            check_in = platform.decode_heartbeat(instance, request.body)
        except GypsumhallError as error:
            return self._reject(str(error))
        if self._address and check_in.address != self._address:
            return self._reject(
                f'{instance!r} has address {check_in.address!r}, '
                'not the configured one'
            )
        service = check_in.endpoint.service
        if self._service and service != self._service:
            return self._reject(
                f'{instance!r} has service {service!r}, not the configured one'
            )
        result = self._tracker.record_heartbeat(
            instance,
            check_in.started_ms,
            check_in.sequence,
            check_in.address,
            check_in.endpoint,
            trio.current_time(),
        )
        confirmed = False
        backend = self._tracker.current
        if result is not HeartbeatResult.STALE and backend is not None:
            now = trio.current_time()
            self._runner.set_warmup_end(now + check_in.warmup_s)
            if self._cold_monitor is not None:
                self._cold_monitor.record_heartbeat(
                    (instance, check_in.started_ms), check_in.warmup_s
                )
            age_s = 0.0
            if not check_in.warmup_s:
                age_s = self._wall() - check_in.started_ms / 1000
            confirmed = self._confirmation.record_heartbeat(
                backend, check_in.sequence, now, age_s
            )
        if result is HeartbeatResult.CHANGED or confirmed:
            self._publish_state('check-in')
        elif result is HeartbeatResult.STALE:
            self._events.emit(
                'check-in-stale',
                instance=instance,
                started_ms=check_in.started_ms,
                sequence=check_in.sequence,
            )
        return _response(200)

    def _reject(self, detail: str) -> _protocols.AdminResponse:
        self._events.emit('check-in-rejected', detail=detail)
        return _response(400)

    async def _handle_leaving(
        self, request: _protocols.AdminRequest
    ) -> _protocols.AdminResponse:
        if not self._started:
            return _response(503)
        instance = request.path[len(platform.INSTANCES_PATH) :]
        started_ms = platform.decode_start_time(request.body)
        now = trio.current_time()
        if self._tracker.record_leaving(instance, started_ms, now):
            self._publish_state('leaving')
        return _response(200)

    async def _confirm_backends(self) -> None:
        """Check the status of each process until it is confirmed."""
        delay = _FIRST_RETRY_S
        last_status: BackendStatus | None = None
        while True:
            self._changed = trio.Event()
            backend = self._tracker.current
            if (
                backend is None
                or not self._confirmation.is_needed(backend)
                or self._is_evacuated()
            ):
                await self._changed.wait()
                delay, last_status = _FIRST_RETRY_S, None
                continue
            status = await self._check_status(backend)
            confirmed = self._confirmation.record_status(
                backend, status, trio.current_time()
            )
            if confirmed or status is not last_status:
                self._events.emit(
                    'status-checked',
                    instance=backend.instance,
                    status=status.value,
                    confirmed=confirmed,
                )
            last_status = status
            if confirmed:
                self._publish_state('status-check')
                continue
            with trio.move_on_after(delay):
                await self._changed.wait()
            delay = min(2 * delay, _MAX_RETRY_S)

    def _is_evacuated(self) -> bool:
        evacuations = self._evacuations
        return (
            evacuations is not None
            and self._membership.me.zone in evacuations.zones
        )

    def _on_evacuation(self) -> None:
        # A process that started meanwhile is still to be confirmed.
        self._changed.set()
        was_evacuated = self._was_evacuated
        self._was_evacuated = self._is_evacuated()
        if self._cold_monitor is not None:
            if was_evacuated and not self._was_evacuated:
                # It may have become cold after its last heartbeat.
                self._cold_monitor.forget(is_replaced=False)
            self._zones_changed.set()

    async def _check_warmup(self, monitor: ColdMonitor) -> None:
        """Check whether the endpoint is cold when load moves between zones.

        There are no checks at intervals, as they have a price.
        """
        while True:
            self._zones_changed = trio.Event()
            await self._zones_changed.wait()
            backend = self._tracker.current
            if (
                backend is not None
                and monitor.rate_per_s
                and not self._is_evacuated()
            ):
                await self._check_status(backend)

    async def _check_status(self, backend: BackendInstance) -> BackendStatus:
        snapshot = self._distribution.snapshot
        service = (
            None
            if snapshot is None
            else snapshot.service(backend.endpoint.service)
        )
        path = '' if service is None else service.status_path
        return await self._status_check.check(backend, path)

    def _publish_state(self, cause: str) -> None:
        """Forward the state to the runner, then to the membership.

        The runner must reject calls to a backend server that is leaving
        before the heartbeat is acknowledged.
        """
        self._changed.set()
        backend = self._tracker.current
        endpoint = self._confirmation.endpoint(backend)
        instance = '' if backend is None else backend.instance
        address = '' if backend is None else backend.address
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
