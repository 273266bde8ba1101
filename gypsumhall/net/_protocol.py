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
    """Identity of a daemon, as stated in the handshake.

    Parameters
    ----------
    id : str
        Id of the daemon.
    zone : str
        Availability zone.
    incarnation : int
        Incarnation of the daemon's process.
    address : str
        ``<ip>:<port>`` of the daemon's listener for other daemons.
    process : str
        Random id of the process. Incarnations are times of day, and a
        process may start with an earlier one than the process before it.
    """

    id: str
    zone: str
    incarnation: int
    address: str
    process: str = ''


class Exchange(Protocol):
    """An ordered sequence of messages in both directions on a stream.

    Exchanges are multiplexed on a stream. Each has its own flow control.
    """

    @property
    def peer(self) -> PeerInfo:
        """The daemon at the other end."""
        ...

    @property
    def delay_s(self) -> float:
        """Time in seconds by which the first message was delayed.

        Only known for a call that the peer has sent; 0 otherwise.
        """
        ...

    @property
    def unsent(self) -> bool:
        """Whether the exchange has ended before a byte of it was sent."""
        ...

    async def send(self, message: Message) -> None:
        """Send a message; waits while the receive window of the peer is full.

        Raises
        ------
        PeerLostError
            When the stream has ended or timed out.
        """
        ...

    async def receive(self) -> Message:
        """Return the next message.

        Raises
        ------
        PeerLostError
            When the stream has ended or timed out.
        trio.EndOfChannel
            When the peer has finished sending.
        """
        ...

    async def finish(self) -> None:
        """Notify the peer that no further message follows."""
        ...

    def cancel(self) -> None:
        """Cancel the exchange; `receive` fails at the other end."""
        ...

    def on_silence(self, callback: Callable[[], None]) -> None:
        """Set a function to call when the peer is silent.

        It is called once at most. The exchange goes on: its messages may be
        delayed, and the stream ends if nothing is received for longer.
        """
        ...


Handler = Callable[[Exchange, M], Awaitable[None]]
"""Handles an exchange that starts with a message of a registered type."""


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
            Timeout for opening a stream, in seconds.

        Raises
        ------
        PeerUnreachableError
            When no stream could be opened; the message was not sent.
        PeerLostError
            When the stream ended after the message was sent.
        """
        ...

    async def request(
        self, address: str, message: Message, *, timeout_s: float
    ) -> Message:
        """Send a message and return the reply.

        Raises
        ------
        PeerUnreachableError
            When the message was not sent.
        PeerLostError
            When the stream ended or the reply timed out.
        """
        ...

    def post(self, address: str, message: Message) -> None:
        """Send a message that gets no reply, without waiting.

        The message is dropped when the peer is unreachable or the send
        queue for the address is full.
        """
        ...
