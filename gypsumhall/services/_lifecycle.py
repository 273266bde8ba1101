"""Service ``lifecycle``: records the start and the shutdown of a daemon."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import trio

from gypsumhall.services import _protocols

if TYPE_CHECKING:
    from gypsumhall.kernel import Kernel


class Lifecycle:
    """Emits events at the start and at both ends of a graceful shutdown."""

    name = 'lifecycle'
    # Services are drained in the reverse order of their start, so this one is
    # drained after all that serve requests.
    requires: tuple[str, ...] = ('events',)

    def __init__(self) -> None:
        self._events: _protocols.Events
        self._is_running = False
        # Received before the service has started.
        self._early_signals: list[str] = []
        self._started_at = 0.0
        self._stopping_at: float | None = None

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Emit events until cancelled."""
        self._events = kernel.get('events', _protocols.Events)
        self._started_at = trio.current_time()
        self._events.emit('daemon-started', pid=os.getpid())
        self._is_running = True
        for name in self._early_signals:
            self.record_signal(name)
        task_status.started()
        await kernel.stopping.wait()
        self._record_shutdown()

    def record_signal(self, name: str) -> None:
        """Emit an event for a signal that the process received."""
        if self._is_running:
            self._events.emit('signal-received', signal=name)
        else:
            self._early_signals.append(name)

    async def drain(self) -> None:
        """Emit the last event of the daemon."""
        # An idle daemon may be drained before `run` has been scheduled.
        stopping_at = self._record_shutdown()
        shutdown_s = trio.current_time() - stopping_at
        self._events.emit(
            'daemon-stopped', shutdown_ms=round(shutdown_s * 1000, 1)
        )

    def _record_shutdown(self) -> float:
        """Emit an event at the start of the shutdown; return its time."""
        if self._stopping_at is None:
            self._stopping_at = trio.current_time()
            uptime_s = self._stopping_at - self._started_at
            self._events.emit('shutdown-started', uptime_s=round(uptime_s, 3))
        return self._stopping_at
