"""Networks in memory, for tests of services under a mock clock."""

from __future__ import annotations

from collections import Counter
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerLostError
from gypsumhall._errors import PeerUnreachableError
from gypsumhall.net import _frames

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumhall.net._messages import Message
    from gypsumhall.net._protocol import Handler
    from gypsumhall.net._protocol import M
    from gypsumhall.net._protocol import PeerInfo


class Hub:
    """Connects `FakeNetwork` objects.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the handlers.
    latency_s : float
        Time in seconds from sending a message to its arrival.

    Attributes
    ----------
    blocked : callable
        Tells for two peer addresses whether nothing passes between them.
    sizes : Counter of str
        Bytes of the encoded messages that were sent, by type.
    """

    def __init__(
        self, nursery: trio.Nursery, latency_s: float = 0.002
    ) -> None:
        self.nursery = nursery
        self.latency_s = latency_s
        self.networks: dict[str, FakeNetwork] = {}
        self.blocked: Callable[[str, str], bool] = lambda one, other: False
        self.sizes: Counter[str] = Counter()

    def passes(self, one: str, other: str, message: Message) -> bool:
        """Count a message; return whether it gets to the other address."""
        self.sizes[type(message).__name__] += len(
            _frames.encode_message(message)
        )
        return other in self.networks and not self.blocked(one, other)


class FakeEvents:
    """Event log in memory; implements `Events` and its clock.

    Attributes
    ----------
    log : list of (str, dict)
        Codes and fields of the events.
    """

    name = 'events'
    requires = ()

    def __init__(self) -> None:
        self.log: list[tuple[str, dict[str, object]]] = []

    @property
    def clock(self) -> FakeEvents:
        """This object."""
        return self

    def now(self) -> int:
        """Return the trio time in milliseconds."""
        return int(trio.current_time() * 1000)

    def observe(self, time: int) -> None:
        """Ignore the time."""

    def emit(self, code: str, **fields: object) -> None:
        """Record one event."""
        self.log.append((code, fields))

    async def run(
        self,
        kernel: object,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Wait until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Return at once."""


class FakeExchange:
    """One end of an exchange in memory."""

    def __init__(self, hub: Hub, peer: PeerInfo, own: str) -> None:
        self._hub = hub
        self._own = own
        self._peer = peer
        self.outgoing, self._arriving = trio.open_memory_channel[Any](1000)
        self.incoming: trio.MemoryReceiveChannel[Any] | None = None

    @property
    def peer(self) -> PeerInfo:
        """The daemon at the other end."""
        return self._peer

    def connect(self, other: FakeExchange) -> None:
        """Make the two ends of an exchange."""
        self.incoming, other.incoming = other._arriving, self._arriving

    async def send(self, message: Message) -> None:
        """Send a message; it is lost while the link is blocked."""
        await trio.lowlevel.checkpoint()
        if self._hub.passes(self._own, self._peer.address, message):
            try:
                self.outgoing.send_nowait(message)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                raise PeerLostError('the exchange has ended') from None

    async def receive(self) -> Message:
        """Return the next message."""
        assert self.incoming is not None
        message = await self.incoming.receive()
        await trio.sleep(self._hub.latency_s)
        return message

    async def finish(self) -> None:
        """Tell the other end that no further message follows."""
        await self.outgoing.aclose()

    def cancel(self) -> None:
        """Give the exchange up."""
        self.outgoing.close()
        if self.incoming is not None:
            self.incoming.close()


class FakeNetwork:
    """Network of one daemon on a `Hub`; implements `PeerNetwork`."""

    name = 'peers'
    requires = ()

    def __init__(self, hub: Hub, me: PeerInfo) -> None:
        self._hub = hub
        self._handlers: dict[type[Message], Handler[Any]] = {}
        self.me = me
        hub.networks[me.address] = self

    def on(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler of exchanges that start with `kind`."""
        self._handlers[kind] = handler

    @contextlib.asynccontextmanager
    async def open(
        self, address: str, message: Message, *, timeout_s: float = 2.0
    ) -> AsyncIterator[FakeExchange]:
        """Open an exchange with a first message."""
        if not self._hub.passes(self.me.address, address, message):
            await trio.sleep(timeout_s)
            raise PeerUnreachableError(f'no stream to {address}')
        other = self._hub.networks[address]
        mine = FakeExchange(self._hub, other.me, self.me.address)
        theirs = FakeExchange(self._hub, self.me, address)
        mine.connect(theirs)
        self._hub.nursery.start_soon(other._handle, theirs, message)
        try:
            yield mine
        finally:
            mine.cancel()

    async def request(
        self, address: str, message: Message, *, timeout_s: float
    ) -> Message:
        """Send a message and return the first message of the answer."""
        with (
            trio.move_on_after(timeout_s),
            contextlib.suppress(trio.EndOfChannel),
        ):
            async with self.open(
                address, message, timeout_s=timeout_s
            ) as exchange:
                return await exchange.receive()
        raise PeerLostError(f'{address} gave no answer')

    def post(self, address: str, message: Message) -> None:
        """Send a message without waiting for an answer."""
        if self._hub.passes(self.me.address, address, message):
            other = self._hub.networks[address]
            exchange = FakeExchange(self._hub, self.me, address)
            self._hub.nursery.start_soon(other._handle, exchange, message)

    async def run(
        self,
        kernel: object,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Wait until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Return at once."""

    async def _handle(self, exchange: FakeExchange, message: Message) -> None:
        await trio.sleep(self._hub.latency_s)
        with contextlib.suppress(PeerLostError):
            await self._handlers[type(message)](exchange, message)
        exchange.outgoing.close()
