"""Cancels calls at their deadlines."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from contextlib import AbstractContextManager
    from types import TracebackType

    from trio import CancelScope

# Delay in seconds of the cancellation task from which on the event loop is
# taken to have been blocked, for example in a long computation or because the
# process did not run.
_PAUSE_S = 0.02
# Time in seconds after a pause in which calls process what has arrived.
_CATCH_UP_S = 0.05
# Ended blocks that are kept at most, if they are fewer than the running ones.
_MAX_ENDED = 64


class _Limit:
    """Deadline of a block of code, and its context manager.

    A generator with `contextlib.contextmanager` would take more time.
    """

    __slots__ = ('_monitor', 'deadline', 'ended', 'scope')

    def __init__(self, monitor: DeadlineMonitor, deadline: float) -> None:
        self._monitor = monitor
        self.deadline = deadline
        self.scope = trio.CancelScope()
        self.ended = False

    def __enter__(self) -> trio.CancelScope:
        self._monitor._begin(self)
        return self.scope.__enter__()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        try:
            return self.scope.__exit__(kind, error, traceback)
        finally:
            self._monitor._end(self)

    def __lt__(self, other: _Limit) -> bool:
        return self.deadline < other.deadline


class DeadlineMonitor:
    """Cancels blocks at their deadlines, unless the event loop was blocked.

    After a pause of the event loop, trio cancels the scopes whose deadline
    has passed before any task can read a response that arrived in time. This
    class lets the tasks run first.
    """

    __slots__ = ('_ended', '_limits', '_wait')

    def __init__(self) -> None:
        # Heap by deadline. Blocks that have ended are removed later.
        self._limits: list[_Limit] = []
        self._ended = 0
        self._wait = trio.CancelScope()

    def __len__(self) -> int:
        return len(self._limits)

    def limit(self, deadline: float) -> AbstractContextManager[CancelScope]:
        """Cancel the block at a deadline; yields its cancel scope.

        Parameters
        ----------
        deadline : float
            Time in seconds, by `trio.current_time`.
        """
        return _Limit(self, deadline)

    def _begin(self, limit: _Limit) -> None:
        heapq.heappush(self._limits, limit)
        if limit.deadline < self._wait.deadline:
            self._wait.deadline = limit.deadline

    def _end(self, limit: _Limit) -> None:
        limit.ended = True
        self._ended += 1
        if self._ended > max(_MAX_ENDED, len(self._limits) // 2):
            self._limits = [item for item in self._limits if not item.ended]
            heapq.heapify(self._limits)
            self._ended = 0

    async def run(self) -> None:
        """Cancel blocks until cancelled."""
        while True:
            with trio.CancelScope(deadline=self._next_deadline()) as wait:
                self._wait = wait
                await trio.sleep_forever()
            if trio.current_time() - self._next_deadline() > _PAUSE_S:
                await trio.sleep(_CATCH_UP_S)
            now = trio.current_time()
            while self._next_deadline() <= now:
                limit = heapq.heappop(self._limits)
                limit.scope.cancel(reason='deadline')

    def _next_deadline(self) -> float:
        while self._limits and self._limits[0].ended:
            heapq.heappop(self._limits)
            self._ended -= 1
        return self._limits[0].deadline if self._limits else math.inf
