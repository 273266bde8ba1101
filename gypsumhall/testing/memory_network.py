"""Network between daemons in memory, with faults."""

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

# Time after which the end points notice that a stream is silent.
SILENCE_S = 2.0
_QUEUE = 16


class Fault(enum.Enum):
    """What happens to a message."""

    NONE = 'none'
    # The stream dies before or after the message is delivered.
    BREAK_BEFORE = 'break-before'
    BREAK_AFTER = 'break-after'
    # Nothing passes any more, which is noticed after `SILENCE_S`.
    SILENCE = 'silence'
    # The message and those behind it are delayed.
    DELAY = 'delay'


FaultRule = Callable[[str, str, 'Message'], Fault]
"""Returns the fault for a message from one address to another."""


class _Link:
    """A stream with one exchange on it."""

    __slots__ = ('channels', 'dead', 'silent')

    def __init__(self) -> None:
        self.dead = False
        self.silent = False
        self.channels: list[trio.MemorySendChannel[Any]] = []

    def kill(self) -> None:
        self.dead = True
        for channel in self.channels:
            channel.close()


class MemoryExchange:
    """One end of an exchange."""

    def __init__(
        self,
        hub: MemoryHub,
        link: _Link,
        ends: tuple[PeerInfo, PeerInfo],
        outgoing: trio.MemorySendChannel[Message],
        incoming: trio.MemoryReceiveChannel[Message],
    ) -> None:
        self._hub = hub
        self._link = link
        self._me, self._peer = ends
        self._outgoing = outgoing
        self._incoming = incoming

    @property
    def peer(self) -> PeerInfo:
        """The daemon at the other end."""
        return self._peer

    async def send(self, message: Message) -> None:
        """Send a message."""
        if self._link.dead:
            raise PeerLostError(f'stream to {self._peer.id} is dead')
        self._hub.count(message)
        if self._hub.latency_s:
            await trio.sleep(self._hub.latency_s)
        if self._hub.blocks(self._me.address, self._peer.address):
            await trio.lowlevel.checkpoint()
            return
        fault = self._hub.fault(self._me.address, self._peer.address, message)
        if fault is Fault.DELAY:
            await trio.sleep(self._hub.delay_s)
        if fault is Fault.SILENCE and not self._link.silent:
            self._link.silent = True
            self._hub.kill_later(self._link)
        if self._link.silent:
            await trio.lowlevel.checkpoint()
            return
        if fault is Fault.BREAK_BEFORE:
            self._link.kill()
        try:
            await self._outgoing.send(message)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerLostError(
                f'stream to {self._peer.id} is dead'
            ) from error
        if fault is Fault.BREAK_AFTER:
            # The other end reads the message before it sees the end.
            self._hub.kill_later(self._link, 0.0)

    async def receive(self) -> Message:
        """Return the next message."""
        try:
            return await self._incoming.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError):
            if self._link.dead:
                raise PeerLostError(
                    f'stream to {self._peer.id} is dead'
                ) from None
            raise trio.EndOfChannel from None

    async def finish(self) -> None:
        """End the messages in this direction."""
        await self._outgoing.aclose()

    def cancel(self) -> None:
        """Give the exchange up."""
        self._outgoing.close()
        self._incoming.close()


class MemoryNetwork(FakeService):
    """`PeerNetwork` of one daemon.

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
        """Open an exchange with a first message."""
        await trio.lowlevel.checkpoint()
        if self._hub.blocks(self._me.address, address):
            self._hub.count(message)
            await trio.sleep(timeout_s)
            raise PeerUnreachableError(f'{address} does not respond')
        target = self._hub.find(address)
        if target is None:
            raise PeerUnreachableError(f'no daemon at {address}')
        network, peer = target
        link = _Link()
        there, there_in = trio.open_memory_channel[Any](_QUEUE)
        back, back_in = trio.open_memory_channel[Any](_QUEUE)
        link.channels = [there, back]
        mine = MemoryExchange(
            self._hub, link, (self._me, peer), there, back_in
        )
        theirs = MemoryExchange(
            self._hub, link, (peer, self._me), back, there_in
        )
        self._hub.links[link] = (self._me.address, address)
        self._hub.spawn(network.serve, theirs)
        try:
            await mine.send(message)
            yield mine
        finally:
            mine.cancel()
            del self._hub.links[link]

    async def request(
        self, address: str, message: Message, *, timeout_s: float
    ) -> Message:
        """Send a message and return the first message of the answer."""
        with trio.move_on_after(timeout_s):
            async with self.open(address, message) as exchange:
                try:
                    return await exchange.receive()
                except trio.EndOfChannel:
                    raise PeerLostError('no answer') from None
        raise PeerLostError(f'no answer from {address} in time')

    def post(self, address: str, message: Message) -> None:
        """Send a message without waiting for an answer."""
        self._hub.spawn(self._post, address, message)

    async def serve(self, exchange: MemoryExchange) -> None:
        """Handle an exchange that a peer has opened."""
        try:
            first = await exchange.receive()
            handler = self._handlers.get(type(first))
            # A daemon that has just started may have no handler yet.
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
    """Connects the networks of several daemons.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the handlers.
    latency_s : float
        Time in seconds that sending a message takes.

    Attributes
    ----------
    rule : callable or None
        Chooses the fault of each message.
    blocked : callable
        Tells for two addresses whether nothing passes between them, which
        their daemons notice by timeouts only.
    silent : set of str
        Addresses that nothing passes to or from.
    sizes : Counter of str or None
        Bytes of the encoded messages that were sent, by type; None for no
        count, which would take most of the time of a long trial.
    """

    def __init__(self, nursery: trio.Nursery, latency_s: float = 0.0) -> None:
        self._nursery = nursery
        self.latency_s = latency_s
        self.is_blocked: Callable[[str, str], bool] = lambda one, other: False
        self.silent: set[str] = set()
        self.sizes: Counter[str] | None = None
        self._nodes: dict[str, tuple[MemoryNetwork, PeerInfo]] = {}
        self.links: dict[_Link, tuple[str, str]] = {}
        self.fault_rule: FaultRule | None = None
        self.delay_s = 0.05

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all daemons."""
        return tuple(self._nodes)

    def add(self, network: MemoryNetwork, info: PeerInfo) -> None:
        """Add a daemon, or replace the one at the same address."""
        self.remove(info.address)
        self.silent.discard(info.address)
        self._nodes[info.address] = (network, info)

    def remove(self, address: str, *, silent: bool = False) -> None:
        """Remove a daemon; its streams die.

        Parameters
        ----------
        address : str
            Address of the daemon.
        silent : bool
            Whether new streams time out, as if the VM were gone, instead of
            being refused.
        """
        if silent:
            self.silent.add(address)
        self._nodes.pop(address, None)
        for link, ends in self.links.items():
            if address in ends:
                link.kill()

    def find(self, address: str) -> tuple[MemoryNetwork, PeerInfo] | None:
        """Return the daemon at an address."""
        return self._nodes.get(address)

    def blocks(self, one: str, other: str) -> bool:
        """Whether nothing passes between two addresses."""
        return (
            one in self.silent
            or other in self.silent
            or self.is_blocked(one, other)
        )

    def count(self, message: Message) -> None:
        """Add to `sizes`, when they are counted."""
        if self.sizes is not None:
            size = len(_frames.encode_message(message))
            self.sizes[type(message).__name__] += size

    def fault(self, source: str, target: str, message: Message) -> Fault:
        """Return the fault for a message."""
        if self.fault_rule is None:
            return Fault.NONE
        return self.fault_rule(source, target, message)

    def spawn(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a function in the background."""
        self._nursery.start_soon(function, *args)

    def kill_later(self, link: _Link, delay_s: float = SILENCE_S) -> None:
        """Let a stream die after a time."""
        self.spawn(self._kill, link, delay_s)

    async def _kill(self, link: _Link, delay_s: float) -> None:
        await trio.sleep(delay_s)
        link.kill()
