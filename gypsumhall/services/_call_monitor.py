"""Watches for the end of interest in calls that take a while."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

# Most calls are shorter. A task for each call to see that its caller leaves
# would take about a tenth of the CPU time of a call.
_DELAY_S = 0.05


@dataclass(slots=True, eq=False)
class _Watch:
    function: Callable[[], Awaitable[None]]
    start_at: float
    scope: trio.CancelScope


class CallMonitor:
    """Runs a function beside each call that is not short."""

    __slots__ = ('_arrived', '_pending')

    def __init__(self) -> None:
        # In order of their start.
        self._pending: dict[_Watch, None] = {}
        self._arrived = trio.Event()

    async def run(self) -> None:
        """Start the functions until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                while self._pending:
                    watch = next(iter(self._pending))
                    if watch.start_at <= trio.current_time():
                        del self._pending[watch]
                        nursery.start_soon(_run, watch)
                    else:
                        await trio.sleep(_DELAY_S)
                self._arrived = trio.Event()
                await self._arrived.wait()

    @contextlib.contextmanager
    def watch(self, function: Callable[[], Awaitable[None]]) -> Iterator[None]:
        """Run a function during the block, unless the block is short.

        Parameters
        ----------
        function : callable
            Coroutine function without arguments; cancelled at the end of
            the block.
        """
        watch = _Watch(
            function, trio.current_time() + _DELAY_S, trio.CancelScope()
        )
        if not self._pending:
            self._arrived.set()
        self._pending[watch] = None
        try:
            yield
        finally:
            self._pending.pop(watch, None)
            watch.scope.cancel()


async def _run(watch: _Watch) -> None:
    with watch.scope:
        await watch.function()
