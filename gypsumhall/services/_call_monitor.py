"""Runs functions beside long calls, to detect callers that disconnect."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from contextlib import AbstractContextManager
    from types import TracebackType

# Most calls are shorter than this delay. A task for each call that detects a
# disconnected caller would take about a tenth of the CPU time of the call.
_START_DELAY_S = 0.05


class _Watch:
    """Function that runs beside a block, and its context manager.

    A generator with `contextlib.contextmanager` would take more time.
    """

    __slots__ = ('_monitor', 'function', 'scope', 'start_time')

    def __init__(
        self, monitor: CallMonitor, function: Callable[[], Awaitable[None]]
    ) -> None:
        self._monitor = monitor
        self.function = function
        self.start_time = 0.0
        # Set when the function is started.
        self.scope: trio.CancelScope | None = None

    def __enter__(self) -> None:
        self.start_time = trio.current_time() + _START_DELAY_S
        self._monitor._begin(self)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._monitor._end(self)
        if self.scope is not None:
            self.scope.cancel()


class CallMonitor:
    """Runs a function concurrently with each call that is not short."""

    __slots__ = ('_pending', '_watch_added')

    def __init__(self) -> None:
        # Ordered by start time.
        self._pending: dict[_Watch, None] = {}
        self._watch_added = trio.Event()

    async def run(self) -> None:
        """Start the functions when they are due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                while self._pending:
                    watch = next(iter(self._pending))
                    if watch.start_time <= trio.current_time():
                        del self._pending[watch]
                        watch.scope = trio.CancelScope()
                        nursery.start_soon(
                            _run_watch, watch.function, watch.scope
                        )
                    else:
                        await trio.sleep(_START_DELAY_S)
                    # The wait for further ones must not keep the last call.
                    del watch
                self._watch_added = trio.Event()
                await self._watch_added.wait()

    def watch(
        self, function: Callable[[], Awaitable[None]]
    ) -> AbstractContextManager[None]:
        """Run a function concurrently with the block, unless it is short.

        The function starts 50 ms after the block at the earliest.

        Parameters
        ----------
        function : callable
            Coroutine function without arguments; cancelled at the end of
            the block.
        """
        return _Watch(self, function)

    def _begin(self, watch: _Watch) -> None:
        if not self._pending:
            self._watch_added.set()
        self._pending[watch] = None

    def _end(self, watch: _Watch) -> None:
        self._pending.pop(watch, None)


async def _run_watch(
    function: Callable[[], Awaitable[None]], scope: trio.CancelScope
) -> None:
    with scope:
        await function()
