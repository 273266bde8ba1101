"""Smallest peer network over TCP for `bench_call`: no faults, no limits."""

from __future__ import annotations

import contextlib
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall._errors import PeerLostError
from gypsumhall._errors import PeerUnreachableError
from gypsumhall.net import _messages
from gypsumhall.net._protocol import PeerInfo

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(
    tuple[
        int,
        _messages.CallStart
        | _messages.BodyChunk
        | _messages.CallCancel
        | _messages.AnswerStart
        | _messages.AnswerEnd
        | _messages.CallRefused
        | _messages.CallQuery
        | None,
    ]
)


class _Stream:
    def __init__(self, stream: trio.SocketStream, peer: PeerInfo) -> None:
        self.peer = peer
        self._stream = stream
        self._lock = trio.Lock()
        self._numbers = 0
        self.exchanges: dict[int, trio.MemorySendChannel[Any]] = {}

    def open(self, number: int | None = None) -> StreamExchange:
        if number is None:
            self._numbers += 1
            number = self._numbers
        sender, receiver = trio.open_memory_channel[Any](64)
        self.exchanges[number] = sender
        return StreamExchange(self, number, receiver)

    async def send(self, number: int, message: Any) -> None:
        data = _ENCODER.encode((number, message))
        async with self._lock:
            await self._stream.send_all(len(data).to_bytes(4, 'big') + data)

    async def frames(self) -> AsyncIterator[tuple[int, Any]]:
        buffer = bytearray()
        async for data in self._stream:
            buffer += data
            while len(buffer) >= 4:
                end = 4 + int.from_bytes(buffer[:4], 'big')
                if len(buffer) < end:
                    break
                yield _DECODER.decode(bytes(buffer[4:end]))
                del buffer[:end]


class StreamExchange:
    """An exchange on a stream."""

    def __init__(
        self,
        stream: _Stream,
        number: int,
        incoming: trio.MemoryReceiveChannel[Any],
    ) -> None:
        self._stream = stream
        self._number = number
        self._incoming = incoming

    @property
    def peer(self) -> PeerInfo:
        """The daemon at the other end."""
        return self._stream.peer

    async def send(self, message: Any) -> None:
        """Send a message."""
        await self._stream.send(self._number, message)

    async def receive(self) -> Any:
        """Return the next message."""
        return await self._incoming.receive()

    async def finish(self) -> None:
        """Tell the other end that no further message follows."""
        await self._stream.send(self._number, None)

    def cancel(self) -> None:
        """Give the exchange up."""
        channel = self._stream.exchanges.pop(self._number, None)
        if channel is not None:
            channel.close()


class StreamPeers:
    """Peer network with one stream to each other daemon."""

    name = 'peers'
    requires: tuple[str, ...] = ()

    def __init__(self, me: PeerInfo) -> None:
        self._me = me
        self._handlers: dict[type[Any], Any] = {}
        self._streams: dict[str, _Stream] = {}
        self._nursery: trio.Nursery

    async def run(
        self,
        kernel: Any,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams until cancelled."""
        host, _, port = self._me.address.rpartition(':')
        async with trio.open_nursery() as self._nursery:
            await self._nursery.start(trio.serve_tcp, self._accept, int(port))
            task_status.started()

    async def drain(self) -> None:
        """Return at once."""

    def on(self, kind: type[Any], handler: Any) -> None:
        """Register a handler."""
        self._handlers[kind] = handler

    @contextlib.asynccontextmanager
    async def open(
        self, address: str, message: Any, *, timeout_s: float = 2.0
    ) -> AsyncIterator[StreamExchange]:
        """Open an exchange."""
        stream = self._streams.get(address)
        if stream is None:
            host, _, port = address.rpartition(':')
            try:
                socket = await trio.open_tcp_stream(host, int(port))
            except OSError as error:
                raise PeerUnreachableError(str(error)) from error
            stream = _Stream(socket, PeerInfo(address, '', 1, address))
            self._streams[address] = stream
            self._nursery.start_soon(self._read, stream)
        exchange = stream.open()
        try:
            await exchange.send(message)
            yield exchange
        finally:
            exchange.cancel()

    async def request(
        self, address: str, message: Any, *, timeout_s: float
    ) -> Any:
        """Send a message and return the answer."""
        with trio.move_on_after(timeout_s):
            async with self.open(address, message) as exchange:
                return await exchange.receive()
        raise PeerLostError('no answer')

    def post(self, address: str, message: Any) -> None:
        """Drop the message; the benchmark needs none."""

    async def _accept(self, socket: trio.SocketStream) -> None:
        await self._read(_Stream(socket, PeerInfo('peer', '', 1, '')))

    async def _read(self, stream: _Stream) -> None:
        async for number, message in stream.frames():
            channel = stream.exchanges.get(number)
            if channel is not None:
                with contextlib.suppress(trio.WouldBlock):
                    channel.send_nowait(message)
            elif type(message) in self._handlers:
                exchange = stream.open(number)
                self._nursery.start_soon(self._handle, exchange, message)

    async def _handle(self, exchange: StreamExchange, message: Any) -> None:
        try:
            await self._handlers[type(message)](exchange, message)
        finally:
            exchange.cancel()
