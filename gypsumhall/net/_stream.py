"""A stream between two daemons and the exchanges on it.

A stream is opened by one daemon and only that daemon opens exchanges on it;
two daemons that call each other hold two streams. Exchange ids therefore
never collide, and the opening side can close an idle stream without a race.

Frames are sent from the task that produces them while the socket takes them;
a task is started only for a backlog. Each exchange has a window of payload
bytes in each direction, so an exchange whose receiver does not read fills
its own window and leaves the socket to the others.
"""

from __future__ import annotations

from collections import deque
import contextlib
from dataclasses import dataclass
import math
import socket
from typing import Protocol
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerError
from gypsumhall._errors import PeerLostError
from gypsumhall._errors import PeerProtocolError
from gypsumhall.net import _frames
from gypsumhall.net import _socket
from gypsumhall.net._frames import Kind
from gypsumhall.net._frames import TrafficCounters

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumhall.net._messages import Message
    from gypsumhall.net._protocol import PeerInfo

_HIGH_WATER = 256 * 1024
"""Backlog in bytes above which senders wait and posts are dropped."""
_MAX_BACKLOG = 4 * 1024 * 1024
"""Backlog in bytes at which a peer that does not read is given up. Only
frames that do not wait, such as answers to pings, get past the high-water
mark."""


@dataclass(slots=True, frozen=True)
class StreamSettings:
    """Times and limits of streams.

    Parameters
    ----------
    ping_after_s : float
        Silence in seconds after which a stream in use is pinged.
    dead_after_s : float
        Silence in seconds after which a stream in use is given up.
    idle_s : float
        Time in seconds without exchanges after which a stream is closed.
    window : int
        Payload bytes that an exchange may have under way per direction.
    """

    ping_after_s: float = 1.0
    dead_after_s: float = 2.0
    idle_s: float = 60.0
    window: int = 128 * 1024


class StreamOwner(Protocol):
    """What a stream needs from its network."""

    @property
    def last_check_time(self) -> float:
        """Time of the last round of checks."""
        ...

    @property
    def traffic(self) -> TrafficCounters:
        """Counts of all streams."""
        ...

    def accept_exchange(
        self, stream: Stream, exchange: StreamExchange, message: Message
    ) -> None:
        """Handle a new exchange."""
        ...

    def ended(self, stream: Stream, error: PeerError | None) -> None:
        """Forget a stream; `error` is None when it was closed on purpose."""
        ...


class StreamExchange:
    """An exchange on a `Stream`; implements `Exchange`."""

    __slots__ = (
        '_buffered',
        '_closed',
        '_consumed',
        '_credit',
        '_error',
        '_finished',
        '_queue',
        '_receiver',
        '_senders',
        '_single',
        '_stream',
        'is_call',
        'number',
    )

    def __init__(
        self, stream: Stream, number: int, *, is_call: bool, single: bool
    ) -> None:
        self._stream = stream
        self.number = number
        self._queue: deque[tuple[Message, int]] = deque()
        self._receiver: trio.lowlevel.Task | None = None
        self._senders: trio.lowlevel.ParkingLot | None = None
        self._credit = stream.settings.window
        self._buffered = 0
        self._consumed = 0
        # The answer to a request is one message that also ends the exchange.
        self._single = single
        self._finished = False
        self._closed = False
        self._error: PeerError | None = None
        self.is_call = is_call

    @property
    def peer(self) -> PeerInfo:
        """The daemon at the other end."""
        return self._stream.peer

    @property
    def ended(self) -> bool:
        """Whether this end has left the exchange or lost its stream."""
        return not self._stream.has_exchange(self)

    async def send(self, message: Message) -> None:
        """Send a message; waits while the other end's window is full.

        Raises
        ------
        PeerLostError
            When the stream or the exchange has ended.
        PeerProtocolError
            When the message is too large; the exchange goes on.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        payload = _frames.encode_message(message)
        self._check_sending()
        if self._single:
            self._finished = True
            self._closed = True
            self._write(Kind.LAST, payload)
            return
        while self._credit <= 0 or self._stream.backlog > _HIGH_WATER:
            if self._credit <= 0:
                if self._senders is None:
                    self._senders = trio.lowlevel.ParkingLot()
                await self._senders.park()
            else:
                await self._stream.wait_writable()
            self._check_sending()
        self._credit -= len(payload)
        self._write(Kind.DATA, payload)

    async def receive(self) -> Message:
        """Return the next message.

        Raises
        ------
        PeerLostError
            When the stream has ended or the other end cancelled.
        trio.EndOfChannel
            When the other end has finished the exchange.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        while not self._queue:
            if self._closed:
                # A stream that is lost afterwards takes nothing away.
                raise trio.EndOfChannel
            if self._error is not None:
                raise PeerLostError(str(self._error)) from self._error
            if self._receiver is not None:
                raise trio.BusyResourceError('another task receives')
            self._receiver = trio.lowlevel.current_task()
            await trio.lowlevel.wait_task_rescheduled(self._abort)
        message, size = self._queue.popleft()
        self._buffered -= size
        self._consumed += size
        if self._consumed >= self._stream.settings.window // 2:
            if not self._closed:
                self._write(Kind.CREDIT, self._consumed)
            self._consumed = 0
        return message

    async def finish(self) -> None:
        """Tell the other end that no further message follows."""
        await trio.lowlevel.checkpoint_if_cancelled()
        if not self._finished and self._error is None:
            self._finished = True
            self._write(Kind.FINISH, 0)

    def cancel(self) -> None:
        """Give the exchange up; the other end's `receive` ends."""
        self._end(Kind.CANCEL, PeerLostError('the exchange was cancelled'))

    def close(self) -> None:
        """End the exchange after the messages that were sent before."""
        self._end(Kind.CLOSE, PeerLostError('the exchange has ended'))

    def reply(self, message: Message) -> None:
        """Send a last message without waiting and end the exchange."""
        if self._error is None and not self._finished:
            self._finished = True
            self._closed = True
            self._write(Kind.LAST, _frames.encode_message(message))

    def fail(self, error: PeerError) -> None:
        """End the exchange locally with an error."""
        if self._error is None:
            self._error = error
        self._wake()

    def handle_frame(self, kind: Kind, payload: bytes | int) -> None:
        """Take a frame from the other end."""
        if kind is Kind.DATA or kind is Kind.LAST:
            size = len(payload)  # type: ignore[arg-type]
            message = _frames.decode_message(payload)
            self._buffered += size
            window = self._stream.settings.window
            if self._buffered > window + _frames.MAX_FRAME_BYTES:
                raise PeerProtocolError('peer sends more than its window')
            self._queue.append((message, size))
        if kind is Kind.CREDIT:
            self._credit += int(payload)
            if self._senders is not None:
                self._senders.unpark_all()
            return
        if kind is Kind.CANCEL:
            self._queue.clear()
            self.fail(PeerLostError('the peer cancelled the exchange'))
        elif kind is not Kind.DATA:
            self._closed = True
            if kind is not Kind.FINISH:
                # The other end takes no message either.
                self._finished = True
        self._wake()

    def _end(self, kind: Kind, error: PeerLostError) -> None:
        if self._stream.remove_exchange(self.number) and self._error is None:
            # Both ends know already when each has said its last.
            if not (self._finished and self._closed):
                self._write(kind, 0)
            self._error = error
        self._wake()

    def _check_sending(self) -> None:
        if self._error is not None:
            raise PeerLostError(str(self._error)) from self._error
        if self._finished:
            raise PeerLostError('the exchange takes no further message')

    def _write(self, kind: Kind, payload: bytes | int) -> None:
        self._stream.write(self.number, kind, payload, self.is_call)

    def _abort(self, _: object) -> trio.lowlevel.Abort:
        # The task counts as rescheduled from now on, not only when it runs:
        # a frame that arrives in between must not reschedule it again.
        self._receiver = None
        return trio.lowlevel.Abort.SUCCEEDED

    def _wake(self) -> None:
        if self._receiver is not None:
            trio.lowlevel.reschedule(self._receiver)
            self._receiver = None
        if self._senders is not None:
            self._senders.unpark_all()


class Stream:
    """A stream to one peer.

    Parameters
    ----------
    owner : Owner
        Receives new exchanges and the end of the stream.
    sock : socket.socket
        Connected socket after the handshake.
    peer : PeerInfo
        Identity of the other end.
    dialled : str
        Address that this side connected to; empty when the other end opened
        the stream.
    settings : StreamSettings
        Times and limits.
    nursery : trio.Nursery
        Runs the task that sends a backlog.
    """

    __slots__ = (
        '_backlog',
        '_exchanges',
        '_heard',
        '_last_id',
        '_nursery',
        '_out',
        '_owner',
        '_pinged_at',
        '_quiet_since',
        '_sock',
        '_used',
        '_watch_until',
        '_writable',
        'dialled_address',
        'ended',
        'is_opener',
        'peer',
        'goaway_received',
        'settings',
    )

    def __init__(
        self,
        owner: StreamOwner,
        sock: socket.socket,
        peer: PeerInfo,
        *,
        dialled_address: str,
        settings: StreamSettings,
        nursery: trio.Nursery,
    ) -> None:
        now = trio.current_time()
        self._owner = owner
        self._sock = sock
        self._nursery = nursery
        self._exchanges: dict[int, StreamExchange] = {}
        self._last_id = 0
        self._out: deque[memoryview] = deque()
        self._backlog = 0
        self._writable = trio.lowlevel.ParkingLot()
        self._heard = now
        self._used = now
        self._quiet_since = now
        self._watch_until = now
        self._pinged_at = math.inf
        self.peer = peer
        self.dialled_address = dialled_address
        self.is_opener = bool(dialled_address)
        self.settings = settings
        self.ended: PeerError | None = None
        self.goaway_received = False
        """The other end takes no new exchanges."""

    @property
    def backlog(self) -> int:
        """Bytes that the socket has not taken yet."""
        return self._backlog

    @property
    def exchanges(self) -> int:
        """Number of exchanges in progress."""
        return len(self._exchanges)

    @property
    def in_flight(self) -> Sequence[StreamExchange]:
        """The exchanges in progress."""
        return tuple(self._exchanges.values())

    @property
    def idle(self) -> bool:
        """Whether the stream has neither exchanges nor a backlog."""
        return not self._exchanges and not self._backlog

    @property
    def last_used(self) -> float:
        """Time at which the last exchange started or a message was posted."""
        return self._used

    @property
    def ping_overdue(self) -> bool:
        """Whether a ping is unanswered for a quarter of the time it has.

        A new exchange then uses a new connection instead of waiting until
        the stream is given up.
        """
        settings = self.settings
        quarter = (settings.dead_after_s - settings.ping_after_s) / 4
        return trio.current_time() - self._pinged_at > quarter

    def open(self, message: Message, kind: Kind) -> StreamExchange:
        """Start an exchange with its first message.

        Raises
        ------
        PeerProtocolError
            When the message is too large.
        """
        payload = _frames.encode_message(message)
        self._last_id += 1
        call = _frames.is_call(message)
        exchange = StreamExchange(
            self, self._last_id, is_call=call, single=False
        )
        self._start(exchange)
        self.write(self._last_id, kind, payload, call)
        return exchange

    def post(self, message: Message) -> bool:
        """Send a message without an exchange; False when it was dropped."""
        if self._backlog > _HIGH_WATER or self.ended is not None:
            return False
        payload = _frames.encode_message(message)
        self._last_id += 1
        self._used = trio.current_time()
        call = _frames.is_call(message)
        self.write(self._last_id, Kind.POST, payload, call)
        return True

    def write(
        self, number: int, kind: Kind, payload: bytes | int, is_call: bool
    ) -> None:
        """Send a frame, or append it to the backlog."""
        if self.ended is not None:
            return
        data = _frames.encode_frame(number, kind, payload)
        self._owner.traffic.add(2 if is_call else 0, len(data), payload)
        sent = 0
        if not self._out:
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                pass
            except OSError as error:
                self.end(PeerLostError(f'stream failed: {error}'))
                return
            if sent == len(data):
                return
            self._nursery.start_soon(self._flush)
        self._out.append(memoryview(data)[sent:])
        self._backlog += len(data) - sent
        if self._backlog > _MAX_BACKLOG:
            self.end(PeerLostError('the peer does not read'))

    async def wait_writable(self) -> None:
        """Wait until the backlog was sent or the stream has ended."""
        if self._backlog and self.ended is None:
            await self._writable.park()

    def remove_exchange(self, number: int) -> bool:
        """Remove an exchange; False when it is unknown."""
        return self._exchanges.pop(number, None) is not None

    def has_exchange(self, exchange: StreamExchange) -> bool:
        """Return whether an exchange is in progress."""
        return self._exchanges.get(exchange.number) is exchange

    def check_timeouts(self, now: float) -> None:
        """Ping, give up or close the stream when it is due."""
        settings = self.settings
        if not self._exchanges and now >= self._watch_until:
            # Nothing can be lost on an unused stream, and pinging the
            # streams of heartbeats would cost more than the heartbeats.
            self._quiet_since = now
            self._pinged_at = math.inf
            limit = settings.idle_s * (1 if self.is_opener else 2)
            if now - self._used > limit:
                self.end(None)
            return
        silence = now - max(self._heard, self._quiet_since)
        # Half of the time is left for the answer even if this process was
        # late with its ping.
        patience = (settings.dead_after_s - settings.ping_after_s) / 2
        if (
            silence >= settings.dead_after_s
            and now - self._pinged_at >= patience
        ):
            self.end(
                PeerLostError(f'nothing received for {silence:.1f} seconds')
            )
        elif self._pinged_at == math.inf and silence >= settings.ping_after_s:
            self._pinged_at = now
            self.write(0, Kind.PING, 0, is_call=False)

    def send_goaway(self) -> None:
        """Tell the other end to open no further exchanges."""
        self.write(0, Kind.GOAWAY, 0, is_call=False)

    def shut_down(self) -> None:
        """Let the other end see the end of the stream after all frames.

        Closing the socket at once would reset the connection if a frame of
        the peer is still unread, and answers under way could be lost.
        """
        if self.ended is None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)

    def end(self, error: PeerError | None) -> None:
        """End the stream and all its exchanges."""
        if self.ended is not None:
            return
        self.ended = error or PeerLostError('the stream was closed')
        exchanges = list(self._exchanges.values())
        self._exchanges.clear()
        self._out.clear()
        self._backlog = 0
        _socket.close(self._sock)
        for exchange in exchanges:
            exchange.fail(self.ended)
        self._writable.unpark_all()
        self._owner.ended(self, error)

    async def run(self, first: bytes) -> None:
        """Receive frames until the stream ends.

        Parameters
        ----------
        first : bytes
            Bytes that were received with the handshake.
        """
        decoder = _frames.FrameDecoder()
        data = first
        try:
            while self.ended is None:
                for frame in decoder.feed(data):
                    self._dispatch(frame)
                    if self.ended is not None:
                        return
                await trio.lowlevel.wait_readable(self._sock)
                try:
                    data = self._sock.recv(_frames.MAX_READ_BYTES)
                except BlockingIOError:
                    data = b''
                    continue
                if not data:
                    if self.idle:
                        break
                    raise PeerLostError('the peer ended the stream')
                now = trio.current_time()
                if (
                    now - self._owner.last_check_time
                    > self.settings.dead_after_s
                ):
                    # The peer has given up its exchanges meanwhile, so a
                    # call that waits in the socket must not start now.
                    raise PeerLostError('this process was paused')
                self._heard = now
                self._pinged_at = math.inf
        except PeerError as error:
            self.end(error)
        except OSError as error:
            self.end(PeerLostError(f'stream failed: {error}'))
        except trio.ClosedResourceError:
            pass
        finally:
            self.end(None)

    def _start(self, exchange: StreamExchange) -> None:
        now = trio.current_time()
        if not self._exchanges and now >= self._watch_until:
            self._quiet_since = now
        self._used = now
        if exchange.is_call and self.is_opener:
            self._watch_until = now + self.settings.idle_s
        self._exchanges[exchange.number] = exchange

    def _dispatch(self, frame: _frames.Frame) -> None:
        number, kind, payload, size = frame
        if kind <= Kind.POST:
            self._accept(frame)
            return
        exchange = self._exchanges.get(number)
        is_call = exchange is not None and exchange.is_call
        self._owner.traffic.add(3 if is_call else 1, size, payload)
        if kind >= Kind.PING:
            if kind is Kind.PING:
                self.write(0, Kind.PONG, 0, is_call=False)
            elif kind is Kind.GOAWAY:
                self.goaway_received = True
        elif exchange is not None:
            exchange.handle_frame(kind, payload)
        elif not 0 < number <= self._last_id:
            raise PeerProtocolError(f'{kind.name} for unknown id {number}')

    def _accept(self, frame: _frames.Frame) -> None:
        number, kind, payload, size = frame
        if self.is_opener or number <= self._last_id:
            raise PeerProtocolError(f'{kind.name} with the id {number}')
        self._last_id = number
        message = _frames.decode_message(payload)
        exchange = StreamExchange(
            self,
            number,
            is_call=_frames.is_call(message),
            single=kind is Kind.REQUEST,
        )
        index = 3 if exchange.is_call else 1
        self._owner.traffic.add(index, size, payload)
        if kind is not Kind.OPEN:
            exchange.handle_frame(Kind.FINISH, 0)
        if kind is Kind.POST:
            # Answers to a posted message go nowhere.
            exchange.handle_frame(Kind.CLOSE, 0)
        self._start(exchange)
        self._owner.accept_exchange(self, exchange, message)

    async def _flush(self) -> None:
        try:
            while self._out:
                await trio.lowlevel.wait_writable(self._sock)
                batch = [self._out[i] for i in range(min(16, len(self._out)))]
                try:
                    sent = self._sock.sendmsg(batch)
                except BlockingIOError:
                    continue
                self._backlog -= sent
                while sent:
                    first = self._out.popleft()
                    if sent < len(first):
                        self._out.appendleft(first[sent:])
                        break
                    sent -= len(first)
                if self._backlog <= _HIGH_WATER:
                    self._writable.unpark_all()
        except trio.ClosedResourceError:
            pass
        except OSError as error:
            self.end(PeerLostError(f'stream failed: {error}'))
