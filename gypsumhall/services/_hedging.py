"""Hedged requests: concurrent attempts, of which one responds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
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
    failure : CallRefused or None
        Why the attempt failed; None while it runs and when it responded.
    error : Exception or None
        Error that ended the attempt, usually after it had begun to respond.
    """

    __slots__ = ('_hedged_request', 'ended', 'error', 'failure', 'scope')

    def __init__(self, hedged_request: HedgedRequest) -> None:
        self._hedged_request = hedged_request
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.failure: CallRefused | None = None
        self.error: Exception | None = None

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
    """

    __slots__ = ('_attempts', 'sink', 'winner')

    def __init__(self, sink: _calls.ResponseSink) -> None:
        self._attempts: list[HedgedAttempt] = []
        self.sink = sink
        self.winner: HedgedAttempt | None = None

    def add(self) -> HedgedAttempt:
        """Add an attempt and return its sink."""
        attempt = HedgedAttempt(self)
        self._attempts.append(attempt)
        return attempt

    async def claim(self, attempt: HedgedAttempt) -> None:
        """Select the attempt that responds; never returns for any other."""
        if self.winner is None:
            self.winner = attempt
            for other in self._attempts:
                if other is not attempt:
                    other.scope.cancel(reason='other-attempt')
        if self.winner is not attempt:
            await trio.sleep_forever()
