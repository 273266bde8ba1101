"""Tests of the send queue of a stream whose peer does not read."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import trio

from gypsumhall.net import _frames
from gypsumhall.net import _messages
from gypsumhall.net._frames import Kind
from gypsumhall.net._protocol import PeerInfo
from gypsumhall.net._stream import Stream
from gypsumhall.net._stream import StreamSettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gypsumhall._errors import PeerError
    from gypsumhall.net._messages import Message
    from gypsumhall.net._stream import StreamExchange

_CALL = _messages.CallStart(
    'r1', 0, 's', 'v1', 'd/r', 'GET', '/', (), 1000, True
)
_LARGE = _messages.BodyChunk(b'x' * 512 * 1024)
_TIMEOUT_S = 10.0


class _Owner:
    """Owner of a stream that handles nothing."""

    last_check_time = 0.0

    def __init__(self) -> None:
        self.traffic = _frames.TrafficCounters()

    def accept_exchange(
        self, stream: Stream, exchange: StreamExchange, message: Message
    ) -> None:
        pass

    def handle_stream_silence(self, stream: Stream, silence_s: float) -> None:
        pass

    def handle_stream_end(
        self, stream: Stream, error: PeerError | None
    ) -> None:
        pass


@contextlib.asynccontextmanager
async def _blocked_stream() -> AsyncIterator[tuple[Stream, socket.socket]]:
    """Yield a stream with a backlog, and the socket of its peer."""
    own, other = socket.socketpair()
    own.setblocking(False)
    other.setblocking(False)
    with own, other, trio.fail_after(_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            stream = Stream(
                _Owner(),
                own,
                PeerInfo('d2', 'az-1', 1, '127.0.0.1:1'),
                dialled_address='127.0.0.1:1',
                settings=StreamSettings(),
                nursery=nursery,
            )
            stream.open(_LARGE, Kind.OPEN)
            stream.open(_LARGE, Kind.OPEN)
            assert stream.backlog
            yield stream, other
            nursery.cancel_scope.cancel()


async def _read_frames(
    stream: Stream, other: socket.socket
) -> list[_frames.Frame]:
    """Return all frames of a stream, up to the end of its backlog."""
    decoder = _frames.FrameDecoder()
    frames: list[_frames.Frame] = []
    while stream.backlog:
        await trio.lowlevel.wait_readable(other)
        frames += decoder.feed(other.recv(_frames.MAX_READ_BYTES))
    with contextlib.suppress(BlockingIOError):
        while data := other.recv(_frames.MAX_READ_BYTES):
            frames += decoder.feed(data)
    return frames


async def test_replies_to_pings_overtake_a_backlog() -> None:
    """The peer took the stream for silent while data waited in a backlog."""
    async with _blocked_stream() as (stream, other):
        stream.write(0, Kind.PONG, 0, is_call=False)
        kinds = [frame.kind for frame in await _read_frames(stream, other)]
    assert kinds == [Kind.OPEN, Kind.PONG, Kind.OPEN]


async def test_unsent_calls_are_withdrawn_when_they_are_cancelled() -> None:
    """They reached the endpoint after their callers had left."""
    async with _blocked_stream() as (stream, other):
        exchanges = [stream.open(_CALL, Kind.OPEN) for _ in range(3)]
        exchanges[0].cancel()
        exchanges[2].cancel()
        frames = await _read_frames(stream, other)
    numbers = [frame.exchange for frame in frames]
    assert numbers == [1, 2, exchanges[1].number]


async def test_exchanges_of_which_no_byte_was_sent_are_known() -> None:
    """Guards against "not run" for a call of which a byte was sent."""
    async with _blocked_stream() as (stream, _):
        started = stream.in_flight[0]
        cancelled, lost = [stream.open(_CALL, Kind.OPEN) for _ in range(2)]
        cancelled.cancel()
        assert cancelled.unsent
        assert not lost.unsent
        stream.end(None)
        assert lost.unsent
        assert not started.unsent


async def test_a_withdrawn_backlog_does_not_block_later_frames() -> None:
    """Guards against a second task that waits for the same socket."""
    async with _blocked_stream() as (stream, other):
        exchange = stream.open(_CALL, Kind.OPEN)
        while stream.backlog > 1024:
            await trio.lowlevel.wait_readable(other)
            other.recv(_frames.MAX_READ_BYTES)
            await trio.lowlevel.checkpoint()
        exchange.cancel()
        later = stream.open(_CALL, Kind.OPEN)
        while stream.backlog:
            await trio.lowlevel.wait_readable(other)
            other.recv(_frames.MAX_READ_BYTES)
        assert stream.has_exchange(later)
