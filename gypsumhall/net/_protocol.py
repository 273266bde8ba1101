"""Interface of the network between daemons."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from gypsumhall.net._messages import Message

M = TypeVar('M', bound='Message')


@dataclass(slots=True, frozen=True)
class PeerInfo:
    """The daemon at the other end of a stream, as its handshake states.

    Parameters
    ----------
    id : str
        Id of the daemon.
    zone : str
        Availability zone.
    incarnation : int
        Incarnation of the process.
    address : str
        ``<ip>:<port>`` of its listener for other daemons.
    """

    id: str
    zone: str
    incarnation: int
    address: str


class Exchange(Protocol):
    """An ordered sequence of messages in both directions on a stream.

    Many exchanges share a stream. Each has its own flow control.
    """

    @property
    def peer(self) -> PeerInfo:
        """The daemon at the other end."""
        ...

    async def send(self, message: Message) -> None:
        """Send a message; waits while the other end's buffer is full.

        Raises
        ------
        PeerLostError
            When the stream has ended or gone silent.
        """
        ...

    async def receive(self) -> Message:
        """Return the next message.

        Raises
        ------
        PeerLostError
            When the stream has ended or gone silent.
        trio.EndOfChannel
            When the other end has finished the exchange.
        """
        ...

    async def finish(self) -> None:
        """Tell the other end that no further message follows."""
        ...

    def cancel(self) -> None:
        """Give the exchange up; the other end's `receive` ends."""
        ...


Handler = Callable[[Exchange, M], Awaitable[None]]
"""Handles an exchange whose first message is of the registered type."""


@runtime_checkable
class PeerNetwork(Protocol):
    """Streams to other daemons; the service ``peers``."""

    def on(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler of exchanges that start with `kind`."""
        ...

    def open(
        self, address: str, message: Message, *, timeout_s: float = 2.0
    ) -> AbstractAsyncContextManager[Exchange]:
        """Open an exchange with a first message.

        Parameters
        ----------
        address : str
            Peer address of the other daemon.
        message : Message
            First message.
        timeout_s : float
            Longest time to open a stream, in seconds.

        Raises
        ------
        PeerUnreachableError
            When no stream could be opened; the message was not sent.
        PeerLostError
            When the stream ended afterwards.
        """
        ...

    async def request(
        self, address: str, message: Message, *, timeout_s: float
    ) -> Message:
        """Send a message and return the first message of the answer.

        Raises
        ------
        PeerUnreachableError
            When the message was not sent.
        PeerLostError
            When the stream ended or no answer came in time.
        """
        ...

    def post(self, address: str, message: Message) -> None:
        """Send a message without waiting for an answer.

        The message is dropped when the peer cannot be reached or its
        queue is full.
        """
        ...
