"""In-memory network between daemons, with fault injection."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import enum
from typing import Any
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerLostError
from gypsumhall._errors import PeerUnreachableError
from gypsumhall.net import _frames
from gypsumhall.testing.fakes import FakeService

if TYPE_CHECKING:
    from collections import Counter

    from gypsumhall.net._messages import Message
    from gypsumhall.net._protocol import Handler
    from gypsumhall.net._protocol import M
    from gypsumhall.net._protocol import PeerInfo

# Time after which both ends detect a silent stream.
SILENCE_S = 2.0
STALL_S = 3.0
LOSS_S = 6.0
_CHANNEL_CAPACITY = 16


class Fault(enum.Enum):
    """Fault that affects a message."""

    NONE = 'none'
    # The stream is aborted before or after the message is delivered.
    BREAK_BEFORE = 'break-before'
    BREAK_AFTER = 'break-after'
    # No further messages are delivered; reported after `SILENCE_S`, and the
    # stream is aborted after `LOSS_S`.
    SILENCE = 'silence'
    # The message and later ones in the same direction are delayed.
    DELAY = 'delay'
    # The same, for so long that the opener of the stream reports silence.
    STALL = 'stall'


FaultRule = Callable[[str, str, 'Message'], Fault]
"""Function of source address, target address and message."""


class _Stream:
    """A stream that carries one exchange."""

    __slots__ = (
        'aborted',
        'channels',
        'delay_s',
        'held',
        'on_silence',
        'silent',
    )

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.aborted = False
        self.held = False
        self.silent = False
        self.channels: list[trio.MemorySendChannel[Any]] = []
        self.on_silence: Callable[[], None] | None = None

    def report_silence(self) -> None:
        if self.on_silence is not None:
            callback, self.on_silence = self.on_silence, None
            callback()

    def abort(self) -> None:
        self.aborted = True
        for channel in self.channels:
            channel.close()


class MemoryExchange:
    """One end of an exchange."""

    def __init__(
        self,
        hub: MemoryHub,
        stream: _Stream,
        ends: tuple[PeerInfo, PeerInfo],
        outgoing: trio.MemorySendChannel[Message],
        incoming: trio.MemoryReceiveChannel[Message],
    ) -> None:
        self._hub = hub
        self._stream = stream
        self._me, self._peer = ends
        self._outgoing = outgoing
        self._incoming = incoming

    @property
    def peer(self) -> PeerInfo:
        """The daemon at the other end."""
        return self._peer

    @property
    def delay_s(self) -> float:
        """Time in seconds by which messages were delayed."""
        return self._stream.delay_s

    @property
    def unsent(self) -> bool:
        """Whether the messages of the exchange were held back."""
        return self._stream.held

    async def send(self, message: Message) -> None:
        """Send a message."""
        if self._stream.aborted:
            raise PeerLostError(f'stream to {self._peer.id} is aborted')
        self._hub.count(message)
        if self._hub.latency_s:
            await trio.sleep(self._hub.latency_s)
        if self._is_blocked():
            await trio.lowlevel.checkpoint()
            return
        fault = self._hub.fault(self._me.address, self._peer.address, message)
        if fault is Fault.DELAY:
            self._stream.delay_s += self._hub.delay_s
            await trio.sleep(self._hub.delay_s)
        if fault is Fault.STALL:
            self._stream.delay_s += STALL_S
            self._hub.report_silence_later(self._stream)
            await trio.sleep(STALL_S)
        if fault is Fault.SILENCE and not self._stream.silent:
            self._stream.silent = True
            self._hub.report_silence_later(self._stream)
            self._hub.abort_later(self._stream)
        if self._stream.silent:
            await trio.lowlevel.checkpoint()
            return
        if fault is Fault.BREAK_BEFORE:
            self._stream.abort()
        try:
            await self._outgoing.send(message)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerLostError(
                f'stream to {self._peer.id} is aborted'
            ) from error
        if fault is Fault.BREAK_AFTER:
            # Lets the peer receive the message before the stream is aborted.
            self._hub.abort_later(self._stream, 0.0)

    def _is_blocked(self) -> bool:
        """Return whether messages are lost or held back."""
        stream = self._stream
        if self._peer.address in self._hub.held and not stream.held:
            stream.held = True
            self._hub.report_silence_later(stream)
        return stream.held or self._hub.blocks(
            self._me.address, self._peer.address
        )

    async def receive(self) -> Message:
        """Wait for the next message and return it."""
        try:
            return await self._incoming.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError):
            if self._stream.aborted:
                raise PeerLostError(
                    f'stream to {self._peer.id} is aborted'
                ) from None
            raise trio.EndOfChannel from None

    async def finish(self) -> None:
        """Close this direction; the peer receives the end of the channel."""
        await self._outgoing.aclose()

    def on_silence(self, callback: Callable[[], None]) -> None:
        """Set a function to call when the stream is silent."""
        self._stream.on_silence = callback

    def cancel(self) -> None:
        """Cancel the exchange."""
        self._outgoing.close()
        self._incoming.close()


class MemoryNetwork(FakeService):
    """In-memory `PeerNetwork` of one daemon.

    Parameters
    ----------
    hub : MemoryHub
        Connects the daemons.
    me : PeerInfo
        The daemon.
    """

    name = 'peers'

    def __init__(self, hub: MemoryHub, me: PeerInfo) -> None:
        self._hub = hub
        self._me = me
        self._handlers: dict[type[Any], Any] = {}
        hub.add(self, me)

    @property
    def me(self) -> PeerInfo:
        """The daemon."""
        return self._me

    def on(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler of exchanges that start with `kind`."""
        self._handlers[kind] = handler

    @contextlib.asynccontextmanager
    async def open(
        self, address: str, message: Message, *, timeout_s: float = 2.0
    ) -> AsyncIterator[MemoryExchange]:
        """Open an exchange by sending a first message."""
        await trio.lowlevel.checkpoint()
        if self._hub.blocks(self._me.address, address):
            self._hub.count(message)
            await trio.sleep(timeout_s)
            raise PeerUnreachableError(f'{address} does not respond')
        target = self._hub.find(address)
        if target is None:
            raise PeerUnreachableError(f'no daemon at {address}')
        network, peer = target
        stream = _Stream()
        to_peer, peer_incoming = trio.open_memory_channel[Any](
            _CHANNEL_CAPACITY
        )
        from_peer, own_incoming = trio.open_memory_channel[Any](
            _CHANNEL_CAPACITY
        )
        stream.channels = [to_peer, from_peer]
        mine = MemoryExchange(
            self._hub, stream, (self._me, peer), to_peer, own_incoming
        )
        theirs = MemoryExchange(
            self._hub, stream, (peer, self._me), from_peer, peer_incoming
        )
        self._hub.streams[stream] = (self._me.address, address)
        self._hub.spawn(network.serve, theirs)
        try:
            # As on a real stream, the loss of a message that was sent is
            # reported by the exchange.
            with contextlib.suppress(PeerLostError):
                await mine.send(message)
            yield mine
        finally:
            mine.cancel()
            del self._hub.streams[stream]

    async def request(
        self, address: str, message: Message, *, timeout_s: float
    ) -> Message:
        """Send a message and return the first message of the reply."""
        with trio.move_on_after(timeout_s):
            async with self.open(address, message) as exchange:
                try:
                    return await exchange.receive()
                except trio.EndOfChannel:
                    raise PeerLostError(
                        'exchange ended without a reply'
                    ) from None
        raise PeerLostError(f'no reply from {address} in time')

    def post(self, address: str, message: Message) -> None:
        """Send a message without waiting for a reply."""
        self._hub.spawn(self._post, address, message)

    async def serve(self, exchange: MemoryExchange) -> None:
        """Handle an exchange that a peer opened."""
        try:
            first = await exchange.receive()
            handler = self._handlers.get(type(first))
            # A daemon that is starting may not have registered a handler yet.
            if handler is not None:
                await handler(exchange, first)
        except (PeerLostError, trio.EndOfChannel):
            pass
        finally:
            exchange.cancel()

    async def _post(self, address: str, message: Message) -> None:
        with contextlib.suppress(PeerUnreachableError, PeerLostError):
            async with self.open(address, message):
                pass


class MemoryHub:
    """Connects the in-memory networks of several daemons.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the handlers.
    latency_s : float
        Network delay of each message in seconds.

    Attributes
    ----------
    fault_rule : callable or None
        Selects the fault of each message; None for no faults.
    is_blocked : callable
        Whether messages between two addresses are lost; daemons detect this
        by timeouts only.
    silent : set of str
        Addresses for which all messages to or from them are lost.
    held : set of str
        Addresses to which no byte of a new exchange can be sent.
    sizes : Counter of str or None
        Encoded size in bytes of the messages that were sent, by message
        type; None disables counting, which would take most of the time of a
        long trial.
    """

    def __init__(self, nursery: trio.Nursery, latency_s: float = 0.0) -> None:
        self._nursery = nursery
        self.latency_s = latency_s
        self.is_blocked: Callable[[str, str], bool] = lambda one, other: False
        self.silent: set[str] = set()
        self.held: set[str] = set()
        self.sizes: Counter[str] | None = None
        self._daemons: dict[str, tuple[MemoryNetwork, PeerInfo]] = {}
        self.streams: dict[_Stream, tuple[str, str]] = {}
        self.fault_rule: FaultRule | None = None
        self.delay_s = 0.05

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all daemons."""
        return tuple(self._daemons)

    def add(self, network: MemoryNetwork, info: PeerInfo) -> None:
        """Add a daemon, or replace the one at the same address."""
        self.remove(info.address)
        self.silent.discard(info.address)
        self._daemons[info.address] = (network, info)

    def remove(self, address: str, *, silent: bool = False) -> None:
        """Remove a daemon and abort its streams.

        Parameters
        ----------
        address : str
            Address of the daemon.
        silent : bool
            Whether attempts to open a stream time out, as after the loss of
            the VM, instead of failing immediately.
        """
        if silent:
            self.silent.add(address)
        self._daemons.pop(address, None)
        for stream, ends in self.streams.items():
            if address in ends:
                stream.abort()

    def find(self, address: str) -> tuple[MemoryNetwork, PeerInfo] | None:
        """Return the network and identity of the daemon at an address."""
        return self._daemons.get(address)

    def blocks(self, one: str, other: str) -> bool:
        """Whether messages between two addresses are lost."""
        return (
            one in self.silent
            or other in self.silent
            or self.is_blocked(one, other)
        )

    def count(self, message: Message) -> None:
        """Add the size of a message to `sizes` if counting is enabled."""
        if self.sizes is not None:
            size = len(_frames.encode_message(message))
            self.sizes[type(message).__name__] += size

    def fault(self, source: str, target: str, message: Message) -> Fault:
        """Return the fault of a message."""
        if self.fault_rule is None:
            return Fault.NONE
        return self.fault_rule(source, target, message)

    def spawn(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a function in the background."""
        self._nursery.start_soon(function, *args)

    def report_silence_later(self, stream: _Stream) -> None:
        """Report that a stream is silent after `SILENCE_S` seconds."""
        self.spawn(self._report_silence, stream)

    async def _report_silence(self, stream: _Stream) -> None:
        await trio.sleep(SILENCE_S)
        stream.report_silence()

    def abort_later(self, stream: _Stream, delay_s: float = LOSS_S) -> None:
        """Abort a stream after a delay in seconds."""
        self.spawn(self._abort, stream, delay_s)

    async def _abort(self, stream: _Stream, delay_s: float) -> None:
        await trio.sleep(delay_s)
        stream.abort()
