"""Attempts at one request that run beside each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from gypsumhall.net._messages import CallRefused
    from gypsumhall.services import _calls


class Lane:
    """Response sink of one of the attempts.

    Parameters
    ----------
    race : Race
        All attempts at the request.

    Attributes
    ----------
    scope : trio.CancelScope
        Cancelled when another attempt has begun to respond.
    ended : trio.Event
        Set when the attempt has ended.
    failure : CallRefused or None
        Why it failed; None while it runs and when it responded.
    error : Exception or None
        Error with which it broke off.
    """

    __slots__ = ('_race', 'ended', 'error', 'failure', 'scope')

    def __init__(self, race: Race) -> None:
        self._race = race
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.failure: CallRefused | None = None
        self.error: Exception | None = None

    async def head(self, status: int, headers: _calls.Headers) -> None:
        """Take the status and the headers, and end the other attempts."""
        await self._race.claim(self)
        await self._race.sink.head(status, headers)

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Take a part of the body."""
        await self._race.sink.chunk(data, last=last)


class Race:
    """Passes the response of the first attempt that has one.

    Parameters
    ----------
    sink : ResponseSink
        Receives the response.

    Attributes
    ----------
    winner : Lane or None
        Attempt that responds.
    """

    __slots__ = ('_lanes', 'sink', 'winner')

    def __init__(self, sink: _calls.ResponseSink) -> None:
        self._lanes: list[Lane] = []
        self.sink = sink
        self.winner: Lane | None = None

    def add(self) -> Lane:
        """Return the sink of one more attempt."""
        lane = Lane(self)
        self._lanes.append(lane)
        return lane

    async def claim(self, lane: Lane) -> None:
        """Let one attempt respond; never returns for any other."""
        if self.winner is None:
            self.winner = lane
            for other in self._lanes:
                if other is not lane:
                    other.scope.cancel()
        if self.winner is not lane:
            await trio.sleep_forever()
