"""Service ``readiness``: reports whether callers may use this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from gypsumhall import platform
from gypsumhall.services import _protocols
from gypsumhall.services._admin import AdminService

if TYPE_CHECKING:
    from gypsumhall.kernel import Kernel


class ReadyListener(AdminService):
    """Separate HTTP listener for readiness probes."""

    name = 'ready-listener'


class Readiness:
    """Reports that the daemon is ready while requests can be served.

    It reports that the daemon is not ready as soon as a graceful shutdown
    begins.
    """

    name = 'readiness'
    requires: tuple[str, ...] = (
        'ready-listener',
        'distribution',
        'caller',
    )

    def __init__(self) -> None:
        self._kernel: Kernel
        self._distribution: _protocols.Distribution

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        self._kernel = kernel
        self._distribution = kernel.get(
            'distribution', _protocols.Distribution
        )
        listener = kernel.get('ready-listener', ReadyListener)
        listener.add_route('GET', platform.READY_PATH, self._handle_probe)
        task_status.started()

    async def drain(self) -> None:
        """Return at once, as no requests are in progress."""

    async def _handle_probe(
        self, request: _protocols.AdminRequest
    ) -> _protocols.AdminResponse:
        ready = (
            self._distribution.snapshot is not None
            and not self._kernel.stopping.is_set()
        )
        return _protocols.AdminResponse(200 if ready else 503, b'{}')
