"""Hedged requests: concurrent attempts, of which one responds."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumhall.net._messages import CallRefused
    from gypsumhall.services import _calls


class HedgedAttempt:
    """Response sink of one attempt at a hedged request.

    Parameters
    ----------
    hedged_request : HedgedRequest
        All attempts at the request.

    Attributes
    ----------
    scope : trio.CancelScope
        Cancelled when another attempt has begun to respond.
    ended : trio.Event
        Set when the attempt has ended.
    ended_or_silent : trio.Event
        Set when the attempt has ended or its daemon is silent.
    on_silence : callable or None
        Called when the daemon of the attempt is silent.
    failure : CallRefused or None
        Why the attempt failed; None while it runs and when it responded.
    error : Exception or None
        Error that ended the attempt, usually after it had begun to respond.
    superseded : bool
        Whether further attempts are made beside this one.
    """

    __slots__ = (
        '_hedged_request',
        'ended',
        'ended_or_silent',
        'error',
        'failure',
        'on_silence',
        'scope',
        'superseded',
    )

    def __init__(self, hedged_request: HedgedRequest) -> None:
        self._hedged_request = hedged_request
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.ended_or_silent = trio.Event()
        self.on_silence: Callable[[], None] | None = None
        self.failure: CallRefused | None = None
        self.error: Exception | None = None
        self.superseded = False

    @property
    def has_running_others(self) -> bool:
        """Whether other attempts run, at silent daemons included."""
        hedged_request = self._hedged_request
        outer = hedged_request.sink
        return hedged_request.has_running_others(self) or (
            isinstance(outer, HedgedAttempt) and outer.has_running_others
        )

    def report_silence(self) -> None:
        """Record that the daemon of the attempt is silent."""
        if not self.ended_or_silent.is_set():
            self.ended_or_silent.set()
            if self.on_silence is not None:
                self.on_silence()

    def end(self) -> None:
        """Record that the attempt has ended."""
        # It may refer to the request, and so to its body.
        self.on_silence = None
        self.ended.set()
        self.ended_or_silent.set()

    async def head(self, status: int, headers: _calls.Headers) -> None:
        """Forward the status and headers, and cancel the other attempts."""
        await self._hedged_request.claim(self)
        await self._hedged_request.sink.head(status, headers)

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Forward a part of the body."""
        await self._hedged_request.sink.chunk(data, last=last)


class HedgedRequest:
    """Forwards the response of the attempt that responds first.

    Parameters
    ----------
    sink : ResponseSink
        Receives the response.

    Attributes
    ----------
    winner : HedgedAttempt or None
        Attempt that responded first.
    claimed : trio.Event
        Set when there is a winner.
    claimed_at : float
        When that was, by the clock of the runtime; 0 without a winner.
    """

    __slots__ = ('_attempts', 'claimed', 'claimed_at', 'sink', 'winner')

    def __init__(self, sink: _calls.ResponseSink) -> None:
        self._attempts: list[HedgedAttempt] = []
        self.sink = sink
        self.winner: HedgedAttempt | None = None
        self.claimed = trio.Event()
        self.claimed_at = 0.0

    @property
    def failure(self) -> CallRefused | None:
        """Failure of the winner, or of the first attempt without one."""
        winner = self.winner or self._attempts[0]
        return winner.failure

    def add(self) -> HedgedAttempt:
        """Add an attempt and return its sink."""
        attempt = HedgedAttempt(self)
        self._attempts.append(attempt)
        if self.winner is not None:
            attempt.scope.cancel(reason='other-attempt')
        return attempt

    def raise_error(self) -> None:
        """Raise the error of the attempt that responds, if it has one.

        Without a response, the first error of an attempt is raised.
        """
        winner = self.winner
        for attempt in self._attempts if winner is None else (winner,):
            if attempt.error is not None:
                raise attempt.error

    def has_running_others(self, attempt: HedgedAttempt | None) -> bool:
        """Whether attempts run beside the given one, if any."""
        return any(
            item is not attempt and not item.ended.is_set()
            for item in self._attempts
        )

    async def report_silence(self, outer: HedgedAttempt) -> None:
        """Report when all attempts that run are at silent daemons.

        Parameters
        ----------
        outer : HedgedAttempt
            Attempt that these attempts are a part of.
        """
        for attempt in self._attempts:
            await attempt.ended_or_silent.wait()
        if self.winner is None and self.has_running_others(None):
            outer.report_silence()

    async def claim(self, attempt: HedgedAttempt) -> None:
        """Select the attempt that responds; never returns for any other."""
        if self.winner is None:
            self.winner = attempt
            self.claimed_at = trio.current_time()
            self.claimed.set()
            for other in self._attempts:
                if other is not attempt:
                    other.scope.cancel(reason='other-attempt')
        if self.winner is not attempt:
            await trio.sleep_forever()


class Timer:
    """Calls back at given times; does not need a task for each.

    `run` has to be running.
    """

    __slots__ = ('_count', '_entries', '_wake')

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, TimerEntry]] = []
        self._count = 0
        self._wake = trio.Event()

    def add(self, time: float, callback: Callable[[], None]) -> TimerEntry:
        """Call back at a time, by the clock of the runtime, in seconds."""
        entry = TimerEntry(callback)
        self._count += 1
        if not self._entries or time < self._entries[0][0]:
            self._wake.set()
        heapq.heappush(self._entries, (time, self._count, entry))
        return entry

    async def run(self) -> None:
        """Call back until cancelled."""
        entries = self._entries
        while True:
            while entries and entries[0][2].callback is None:
                heapq.heappop(entries)
            self._wake = trio.Event()
            time = entries[0][0] if entries else float('inf')
            with trio.move_on_at(time):
                await self._wake.wait()
            while entries and entries[0][0] <= trio.current_time():
                callback = heapq.heappop(entries)[2].callback
                if callback is not None:
                    callback()


class TimerEntry:
    """A time to call back at.

    Parameters
    ----------
    callback : callable
        What is called.
    """

    __slots__ = ('callback',)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Do not call back."""
        self.callback = None
