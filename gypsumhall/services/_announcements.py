"""Service ``announcements``: state reports of the backend server on the VM."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall._decode import decode
from gypsumhall._errors import MalformedDataError
from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState
from gypsumhall.net._socket import check_remote_address
from gypsumhall.services import _protocols
from gypsumhall.services import _runner

if TYPE_CHECKING:
    from gypsumhall.kernel import Kernel

_ANNOUNCEMENT_TIMEOUT_S = 3.0
_MAX_SLOTS = 10_000
_STATES = {state.name.lower(): state for state in EndpointState}


class AnnounceRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/announce``.

    Parameters
    ----------
    service, version : str
        What the backend server runs.
    address : str
        ``<ip>:<port>`` of its HTTP listener.
    slots : int
        Requests that it executes at the same time.
    state : str
        ``starting``, ``ready`` or ``draining``.
    """

    service: str
    version: str
    address: str
    slots: int
    state: str


_REQUEST_DECODER = msgspec.json.Decoder(AnnounceRequest)


class AnnouncementsService:
    """Handles announcements; removes the endpoint when they stop."""

    name = 'announcements'
    requires: tuple[str, ...] = ('admin', 'membership', 'runner', 'events')

    def __init__(self) -> None:
        self._announced: AnnounceRequest | None = None
        self._last_received_at = 0.0
        self._draining = False
        self._received = trio.Event()
        self._membership: _protocols.Membership
        self._runner: _runner.RunnerService
        self._events: _protocols.Events

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Remove the endpoint when announcements stop, until cancelled."""
        admin = kernel.get('admin', _protocols.Admin)
        self._membership = kernel.get('membership', _protocols.Membership)
        self._runner = kernel.get('runner', _runner.RunnerService)
        self._events = kernel.get('events', _protocols.Events)
        admin.add_route('POST', '/v1/announce', self.handle)
        task_status.started()
        while True:
            await self._received.wait()
            self._received = trio.Event()
            while self._announced is not None:
                await trio.sleep_until(
                    self._last_received_at + _ANNOUNCEMENT_TIMEOUT_S
                )
                if (
                    trio.current_time()
                    >= self._last_received_at + _ANNOUNCEMENT_TIMEOUT_S
                ):
                    self._remove()

    async def drain(self) -> None:
        """Ignore announcements from now on; the runner drains the calls."""
        self._draining = True

    async def handle(
        self, request: _protocols.AdminRequest
    ) -> _protocols.AdminResponse:
        """Handle ``POST /v1/announce``."""
        try:
            announced, endpoint = decode(
                _decode_announcement, request.body, 'announcement'
            )
        except MalformedDataError as error:
            return _problem(400, 'bad-announcement', str(error))
        if self._draining:
            return _problem(503, 'draining', 'this daemon is stopping')
        self._last_received_at = trio.current_time()
        self._received.set()
        if announced != self._announced:
            self._announced = announced
            # The runner is updated first, so that it already accepts or
            # rejects calls when other daemons receive the change.
            self._runner.set_backend(endpoint, announced.address)
            self._membership.set_endpoint(endpoint)
            self._events.emit(
                'endpoint-announced',
                service=announced.service,
                service_version=announced.version,
                state=announced.state,
                address=announced.address,
            )
        return _protocols.AdminResponse(204)

    def _remove(self) -> None:
        announced = self._announced
        self._announced = None
        self._runner.set_backend(None, '')
        if not self._draining:
            self._membership.set_endpoint(None)
        if announced is not None:
            self._events.emit(
                'endpoint-lost',
                service=announced.service,
                service_version=announced.version,
                address=announced.address,
            )


def _decode_announcement(body: bytes) -> tuple[AnnounceRequest, Endpoint]:
    announced = _REQUEST_DECODER.decode(body)
    return announced, _build_endpoint(announced)


def _build_endpoint(announced: AnnounceRequest) -> Endpoint:
    state = _STATES.get(announced.state)
    if state is None:
        raise ValueError(
            f'state is {announced.state!r}, expected one of '
            f'{", ".join(_STATES)}'
        )
    if not 0 < announced.slots <= _MAX_SLOTS:
        raise ValueError(
            f'slots is {announced.slots}, expected 1 to {_MAX_SLOTS}'
        )
    if not announced.service or not announced.version:
        raise ValueError('service and version must not be empty')
    check_remote_address(announced.address)
    return Endpoint(
        announced.service, announced.version, announced.slots, state
    )


def _problem(status: int, code: str, detail: str) -> _protocols.AdminResponse:
    body = json.dumps({'status': status, 'code': code, 'detail': detail})
    return _protocols.AdminResponse(
        status, body.encode(), 'application/problem+json'
    )
