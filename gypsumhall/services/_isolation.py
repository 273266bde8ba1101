"""Service ``isolation``: detects that this daemon is cut off."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import StoreError
from gypsumhall.core._isolation import Isolation
from gypsumhall.services._protocols import Events
from gypsumhall.store import StoreService

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumhall.kernel import Kernel

# Share of the limit after which the store is read if no daemon has responded.
_PROBE_SHARE = 0.2


@runtime_checkable
class _HeartbeatSource(Protocol):
    """Membership that reports the heartbeats of other daemons."""

    def on_peer_digest(self, callback: Callable[[str, Any], None]) -> None:
        """Register a callback for each heartbeat."""
        ...


class IsolationService:
    """Detects that neither the store nor another daemon responds.

    Parameters
    ----------
    limit_s : float
        Time in seconds without a response after which this daemon is cut
        off.
    key : str
        Key that is read from the store.
    """

    name = 'isolation'
    requires: tuple[str, ...] = ('events', 'store', 'membership')

    def __init__(self, limit_s: float, key: str) -> None:
        self._limit_s = limit_s
        self._key = key
        self._isolation: Isolation | None = None

    @property
    def cut_off(self) -> bool:
        """Whether the installed configuration may be too old."""
        isolation = self._isolation
        return isolation is not None and isolation.is_cut_off(
            trio.current_time()
        )

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Observe the contacts until cancelled."""
        events = kernel.get('events', Events)
        store = kernel.get('store', StoreService)
        isolation = Isolation(self._limit_s, trio.current_time())
        self._isolation = isolation

        def record_heartbeat(_address: str, _digest: Any) -> None:
            isolation.record_contact(trio.current_time())

        membership = kernel.get('membership', _HeartbeatSource)
        membership.on_peer_digest(record_heartbeat)
        task_status.started()
        interval_s = _PROBE_SHARE * self._limit_s
        reported = False
        while True:
            await trio.sleep(interval_s)
            if isolation.silent_s(trio.current_time()) >= interval_s:
                await self._probe_store(store, isolation, interval_s)
            if self.cut_off != reported:
                reported = not reported
                events.emit(
                    'daemon-cut-off' if reported else 'daemon-reconnected',
                    limit_ms=round(self._limit_s * 1000),
                )

    async def drain(self) -> None:
        """Keep observing: requests are served until the daemon stops."""

    async def _probe_store(
        self, store: StoreService, isolation: Isolation, timeout_s: float
    ) -> None:
        with trio.move_on_after(timeout_s):
            try:
                await store.get(self._key)
            except StoreError:
                return
            isolation.record_contact(trio.current_time())
