"""A stream between two daemons and the exchanges on it.

Only the daemon that opened a stream opens exchanges on it; two daemons that
call each other use two streams. Exchange ids therefore never collide, and the
opening side can close an idle stream without a race.

Frames are sent by the task that produces them while the socket is writable; a
separate task is started only to send a backlog. Each exchange has a flow
control window of payload bytes per direction. An exchange whose receiver does
not read thus fills only its own window and does not block other exchanges.
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
from gypsumhall.core._transit import TransitEstimator
from gypsumhall.net import _frames
from gypsumhall.net import _socket
from gypsumhall.net._frames import Kind
from gypsumhall.net._frames import TrafficCounters
from gypsumhall.net._messages import CallStart

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from gypsumhall.net._messages import Message
    from gypsumhall.net._protocol import PeerInfo

_HIGH_WATER_MARK_BYTES = 256 * 1024
"""Backlog above which senders wait and posts are dropped."""
_MAX_BACKLOG_BYTES = 4 * 1024 * 1024
"""Backlog above which the stream is ended because the peer does not read.
Only frames that are sent without waiting, such as replies to pings, exceed
the high-water mark."""


@dataclass(slots=True, frozen=True)
class StreamSettings:
    """Timeouts and limits of streams.

    Parameters
    ----------
    ping_after_s : float
        Time in seconds without received data after which a ping is sent on
        a stream in use.
    silent_after_s : float
        Time in seconds without received data after which a stream in use
        reports to its exchanges that the peer is silent. A slow link or a
        busy peer looks the same for a while, so the exchanges go on.
    dead_after_s : float
        Time in seconds without received data after which a stream in use
        times out.
    idle_s : float
        Time in seconds without exchanges after which a stream is closed.
    window : int
        Flow control window of an exchange in each direction, in payload
        bytes.
    """

    ping_after_s: float = 1.0
    silent_after_s: float = 2.0
    dead_after_s: float = 2.0
    idle_s: float = 60.0
    window: int = 128 * 1024


class StreamOwner(Protocol):
    """Interface of the network that owns a stream."""

    @property
    def last_check_time(self) -> float:
        """Time of the last check of all streams."""
        ...

    @property
    def traffic(self) -> TrafficCounters:
        """Counters of frames and bytes, over all streams."""
        ...

    def accept_exchange(
        self, stream: Stream, exchange: StreamExchange, message: Message
    ) -> None:
        """Start the handler of an exchange that the peer has opened."""
        ...

    def handle_stream_silence(self, stream: Stream, silence_s: float) -> None:
        """Record that nothing was received from a stream in use."""
        ...

    def handle_stream_end(
        self, stream: Stream, error: PeerError | None
    ) -> None:
        """Remove a stream; `error` is None if it was closed normally."""
        ...


class StreamExchange:
    """An exchange on a `Stream`; implements `Exchange`."""

    __slots__ = (
        '_blocked_receiver',
        '_blocked_senders',
        '_buffered_bytes',
        '_consumed_bytes',
        '_credit_bytes',
        '_error',
        '_on_silence',
        '_receive_queue',
        '_receiving_closed',
        '_sending_closed',
        '_single_reply',
        '_stream',
        'delay_s',
        'is_call',
        'number',
        'unsent',
    )

    def __init__(
        self, stream: Stream, number: int, *, is_call: bool, single_reply: bool
    ) -> None:
        self._stream = stream
        self.number = number
        self._receive_queue: deque[tuple[Message, int]] = deque()
        self._blocked_receiver: trio.lowlevel.Task | None = None
        self._blocked_senders: trio.lowlevel.ParkingLot | None = None
        self._credit_bytes = stream.settings.window
        self._buffered_bytes = 0
        self._consumed_bytes = 0
        # The reply to a request is a single frame that ends the exchange.
        self._single_reply = single_reply
        self._sending_closed = False
        self._receiving_closed = False
        self._error: PeerError | None = None
        self._on_silence: Callable[[], None] | None = None
        self.is_call = is_call
        self.delay_s = 0.0
        """Time in seconds by which the first message was delayed."""
        self.unsent = False
        """Whether the exchange has ended before a byte of it was sent."""

    @property
    def peer(self) -> PeerInfo:
        """The daemon at the other end."""
        return self._stream.peer

    @property
    def has_ended(self) -> bool:
        """Whether this end has ended the exchange or the stream has ended."""
        return not self._stream.has_exchange(self)

    @property
    def cancelled(self) -> bool:
        """Whether the peer has cancelled the exchange or is lost."""
        return self._error is not None

    def on_silence(self, callback: Callable[[], None]) -> None:
        """Call back once the peer is silent while the exchange goes on."""
        self._on_silence = callback

    def report_silence(self) -> None:
        """Notify the user of the exchange that the peer is silent."""
        if self._on_silence is not None:
            callback, self._on_silence = self._on_silence, None
            callback()

    async def send(self, message: Message) -> None:
        """Send a message; waits while the receive window of the peer is full.

        Raises
        ------
        PeerLostError
            When the stream or the exchange has ended.
        PeerProtocolError
            When the message is too large; the exchange is not affected.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        payload = _frames.encode_message(message)
        self._check_can_send()
        if self._single_reply:
            self._sending_closed = True
            self._receiving_closed = True
            self._write(Kind.LAST, payload)
            return
        while (
            self._credit_bytes <= 0
            or self._stream.backlog > _HIGH_WATER_MARK_BYTES
        ):
            if self._credit_bytes <= 0:
                if self._blocked_senders is None:
                    self._blocked_senders = trio.lowlevel.ParkingLot()
                await self._blocked_senders.park()
            else:
                await self._stream.wait_writable()
            self._check_can_send()
        self._credit_bytes -= len(payload)
        self._write(Kind.DATA, payload)

    async def receive(self) -> Message:
        """Return the next message.

        Raises
        ------
        PeerLostError
            When the stream has ended or the peer cancelled the exchange.
        trio.EndOfChannel
            When the peer has finished sending.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        while not self._receive_queue:
            if self._receiving_closed:
                # The loss of the stream after the last message is no error.
                raise trio.EndOfChannel
            if self._error is not None:
                raise PeerLostError(str(self._error)) from self._error
            if self._blocked_receiver is not None:
                raise trio.BusyResourceError(
                    'another task is receiving from the exchange'
                )
            self._blocked_receiver = trio.lowlevel.current_task()
            await trio.lowlevel.wait_task_rescheduled(self._abort)
        message, size = self._receive_queue.popleft()
        self._buffered_bytes -= size
        self._consumed_bytes += size
        if self._consumed_bytes >= self._stream.settings.window // 2:
            if not self._receiving_closed:
                self._write(Kind.CREDIT, self._consumed_bytes)
            self._consumed_bytes = 0
        return message

    async def finish(self) -> None:
        """Notify the peer that no further message follows."""
        await trio.lowlevel.checkpoint_if_cancelled()
        if not self._sending_closed and self._error is None:
            self._sending_closed = True
            self._write(Kind.FINISH, 0)

    def cancel(self) -> None:
        """Cancel the exchange; `receive` fails at the other end."""
        self._end(Kind.CANCEL, PeerLostError('the exchange was cancelled'))

    def close(self) -> None:
        """End the exchange; messages sent before are still delivered."""
        self._end(Kind.CLOSE, PeerLostError('the exchange has ended'))

    def reply(self, message: Message) -> None:
        """Send a final message without waiting and end the exchange."""
        if self._error is None and not self._sending_closed:
            self._sending_closed = True
            self._receiving_closed = True
            self._write(Kind.LAST, _frames.encode_message(message))

    def fail(self, error: PeerError) -> None:
        """End the exchange locally with an error."""
        if self._error is None:
            self._error = error
        self._wake()

    def handle_frame(self, kind: Kind, payload: bytes | int) -> None:
        """Process a frame from the peer."""
        if kind is Kind.DATA or kind is Kind.LAST:
            size = len(payload)  # type: ignore[arg-type]
            message = _frames.decode_message(payload)
            self._buffered_bytes += size
            window = self._stream.settings.window
            if self._buffered_bytes > window + _frames.MAX_FRAME_BYTES:
                raise PeerProtocolError(
                    'peer exceeded the flow control window'
                )
            self._receive_queue.append((message, size))
        if kind is Kind.CREDIT:
            self._credit_bytes += int(payload)
            if self._blocked_senders is not None:
                self._blocked_senders.unpark_all()
            return
        if kind is Kind.CANCEL:
            self._receive_queue.clear()
            self.fail(PeerLostError('the peer cancelled the exchange'))
        elif kind is not Kind.DATA:
            self._receiving_closed = True
            if kind is not Kind.FINISH:
                # The peer does not receive messages any more either.
                self._sending_closed = True
        self._wake()

    def _end(self, kind: Kind, error: PeerLostError) -> None:
        if self._stream.remove_exchange(self.number) and self._error is None:
            # No frame is needed once both directions are closed.
            if not (self._sending_closed and self._receiving_closed):
                if kind is Kind.CANCEL:
                    self.unsent = self._stream.withdraw(self.number)
                if not self.unsent:
                    self._write(kind, 0)
            self._error = error
        self._wake()

    def _check_can_send(self) -> None:
        if self._error is not None:
            raise PeerLostError(str(self._error)) from self._error
        if self._sending_closed:
            raise PeerLostError('sending on the exchange is already closed')

    def _write(self, kind: Kind, payload: bytes | int) -> None:
        self._stream.write(self.number, kind, payload, self.is_call)

    def _abort(self, _: object) -> trio.lowlevel.Abort:
        # The cancelled task is scheduled already but has not run yet. A
        # frame that arrives in between must not reschedule it again.
        self._blocked_receiver = None
        return trio.lowlevel.Abort.SUCCEEDED

    def _wake(self) -> None:
        if self._blocked_receiver is not None:
            trio.lowlevel.reschedule(self._blocked_receiver)
            self._blocked_receiver = None
        if self._blocked_senders is not None:
            self._blocked_senders.unpark_all()


class Stream:
    """A stream to one peer.

    Parameters
    ----------
    owner : StreamOwner
        Network that handles new exchanges and the end of the stream.
    sock : socket.socket
        Connected socket, after the handshake.
    peer : PeerInfo
        Identity of the other end.
    dialled_address : str
        Address that this side connected to; empty when the peer opened the
        stream.
    settings : StreamSettings
        Timeouts and limits.
    nursery : trio.Nursery
        Runs the task that sends a backlog.
    """

    __slots__ = (
        '_backlog',
        '_exchanges',
        '_flushing',
        '_head_is_partial',
        '_last_exchange_id',
        '_last_received',
        '_last_used',
        '_monitored_since',
        '_monitored_until',
        '_nursery',
        '_owner',
        '_pinged_at',
        '_send_queue',
        '_silence_reported',
        '_sock',
        '_transit',
        '_unsent_openings',
        '_writable',
        'dialled_address',
        'end_error',
        'goaway_received',
        'is_opener',
        'peer',
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
        self._last_exchange_id = 0
        # Frames that wait for the socket, with the ids of their exchanges.
        self._send_queue: deque[tuple[int, memoryview]] = deque()
        self._head_is_partial = False
        # Whether the task that sends the backlog is running.
        self._flushing = False
        # Exchanges of which no byte has been sent.
        self._unsent_openings: set[int] = set()
        self._backlog = 0
        self._writable = trio.lowlevel.ParkingLot()
        self._last_received = now
        self._last_used = now
        self._monitored_since = now
        self._monitored_until = now
        self._pinged_at = math.inf
        self._silence_reported = False
        self._transit = TransitEstimator()
        self.peer = peer
        self.dialled_address = dialled_address
        self.is_opener = bool(dialled_address)
        self.settings = settings
        self.end_error: PeerError | None = None
        self.goaway_received = False
        """Whether the peer accepts no new exchanges."""

    @property
    def backlog(self) -> int:
        """Number of bytes queued because the socket is not writable."""
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
        return self._last_used

    @property
    def ping_overdue(self) -> bool:
        """Whether the reply to a ping is overdue.

        This is the case after a quarter of the time between ping and
        silence. New exchanges then use a new connection instead of waiting
        until the stream times out.
        """
        settings = self.settings
        silent_after_s = min(settings.silent_after_s, settings.dead_after_s)
        quarter = (silent_after_s - settings.ping_after_s) / 4
        return trio.current_time() - self._pinged_at > quarter

    def open(self, message: Message, kind: Kind) -> StreamExchange:
        """Start an exchange with its first message.

        Raises
        ------
        PeerProtocolError
            When the message is too large.
        """
        payload = _frames.encode_message(message)
        self._last_exchange_id += 1
        carries_call = _frames.is_call(message)
        exchange = StreamExchange(
            self,
            self._last_exchange_id,
            is_call=carries_call,
            single_reply=False,
        )
        self._add_exchange(exchange)
        if self._flushing:
            self._unsent_openings.add(self._last_exchange_id)
        self.write(self._last_exchange_id, kind, payload, carries_call)
        return exchange

    def post(self, payload: bytes) -> bool:
        """Send an encoded message without reply; False if it was dropped."""
        if (
            self._backlog > _HIGH_WATER_MARK_BYTES
            or self.end_error is not None
        ):
            return False
        self._last_exchange_id += 1
        self._last_used = trio.current_time()
        self.write(self._last_exchange_id, Kind.POST, payload, is_call=False)
        return True

    def write(
        self, number: int, kind: Kind, payload: bytes | int, is_call: bool
    ) -> None:
        """Send a frame or append it to the backlog."""
        if self.end_error is not None:
            return
        data = _frames.encode_frame(number, kind, payload)
        self._owner.traffic.add(2 if is_call else 0, len(data), payload)
        sent = 0
        if not self._flushing:
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                pass
            except OSError as error:
                self.end(PeerLostError(f'stream failed: {error}'))
                return
            if sent == len(data):
                return
            self._head_is_partial = sent > 0
            self._flushing = True
            self._nursery.start_soon(self._flush)
        entry = (number, memoryview(data)[sent:])
        if kind in (Kind.PING, Kind.PONG):
            # The peer takes a stream whose replies wait in a backlog for a
            # silent one.
            self._send_queue.insert(int(self._head_is_partial), entry)
        else:
            self._send_queue.append(entry)
        self._backlog += len(data) - sent
        if self._backlog > _MAX_BACKLOG_BYTES:
            self.end(
                PeerLostError(
                    'the peer does not read; limit of the backlog exceeded'
                )
            )

    def withdraw(self, number: int) -> bool:
        """Drop the frames of an exchange of which no byte has been sent.

        Returns
        -------
        bool
            Whether the peer has received nothing of the exchange.
        """
        if number not in self._unsent_openings:
            return False
        self._unsent_openings.remove(number)
        kept = [item for item in self._send_queue if item[0] != number]
        self._send_queue = deque(kept)
        self._backlog = sum(len(view) for _, view in kept)
        if self._backlog <= _HIGH_WATER_MARK_BYTES:
            self._writable.unpark_all()
        return True

    async def wait_writable(self) -> None:
        """Wait until the backlog has shrunk or the stream has ended."""
        if self._backlog and self.end_error is None:
            await self._writable.park()

    def remove_exchange(self, number: int) -> bool:
        """Remove an exchange; return False if it is not in progress."""
        return self._exchanges.pop(number, None) is not None

    def has_exchange(self, exchange: StreamExchange) -> bool:
        """Return whether an exchange is in progress."""
        return self._exchanges.get(exchange.number) is exchange

    @property
    def check_due(self) -> float:
        """Time in seconds of the next ping or timeout; infinite if unused."""
        settings = self.settings
        silent_since = max(self._last_received, self._monitored_since)
        if not self._exchanges and silent_since >= self._monitored_until:
            return math.inf
        if self._pinged_at == math.inf:
            return silent_since + settings.ping_after_s
        limit_s = settings.dead_after_s
        if not self._silence_reported:
            limit_s = min(limit_s, settings.silent_after_s)
        return max(
            silent_since + limit_s,
            self._pinged_at + self._reply_time_s(limit_s),
        )

    def _reply_time_s(self, limit_s: float) -> float:
        """Return the least time in seconds to wait for the reply to a ping.

        The peer has at least half of the time between ping and limit to
        reply, even if this process sent its ping late.
        """
        return (limit_s - self.settings.ping_after_s) / 2

    def _is_silent_for(
        self, limit_s: float, silence_s: float, now: float
    ) -> bool:
        return (
            silence_s >= limit_s
            and now - self._pinged_at >= self._reply_time_s(limit_s)
        )

    def check_timeouts(self, now: float) -> None:
        """Send a ping, time the stream out or close it if it is idle."""
        settings = self.settings
        if not self._exchanges and now >= self._monitored_until:
            # Unused streams are not pinged: no message can be lost on them,
            # and pings on the streams that carry heartbeats would cost more
            # than the heartbeats.
            self._monitored_since = now
            self._pinged_at = math.inf
            limit = settings.idle_s * (1 if self.is_opener else 2)
            if now - self._last_used > limit:
                self.end(None)
            return
        silence_s = now - max(self._last_received, self._monitored_since)
        if self._is_silent_for(settings.dead_after_s, silence_s, now):
            self.end(PeerLostError(f'nothing received for {silence_s:.1f} s'))
        elif self._pinged_at == math.inf and (
            silence_s >= settings.ping_after_s
        ):
            self._pinged_at = now
            self.write(0, Kind.PING, _socket.clock_us(), is_call=False)
        elif not self._silence_reported and self._is_silent_for(
            settings.silent_after_s, silence_s, now
        ):
            self._report_silence(silence_s)

    def _report_silence(self, silence_s: float) -> None:
        self._silence_reported = True
        self._owner.handle_stream_silence(self, silence_s)
        for exchange in self.in_flight:
            exchange.report_silence()

    def _record_activity(self, now: float) -> None:
        self._last_received = now
        self._pinged_at = math.inf
        self._silence_reported = False

    def send_goaway(self) -> None:
        """Notify the peer that no new exchanges are accepted."""
        self.write(0, Kind.GOAWAY, 0, is_call=False)

    def shut_down(self) -> None:
        """Shut down the sending direction of the socket.

        The peer then reads the end of the stream after all frames. Closing
        the socket at once would reset the connection if a frame of the peer
        is still unread, and responses in flight could be lost.
        """
        if self.end_error is None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)

    def end(self, error: PeerError | None) -> None:
        """End the stream and all its exchanges."""
        if self.end_error is not None:
            return
        self.end_error = error or PeerLostError('the stream was closed')
        exchanges = list(self._exchanges.values())
        for exchange in exchanges:
            exchange.unsent = exchange.number in self._unsent_openings
        self._exchanges.clear()
        self._send_queue.clear()
        self._unsent_openings.clear()
        self._backlog = 0
        _socket.close(self._sock)
        for exchange in exchanges:
            exchange.fail(self.end_error)
        self._writable.unpark_all()
        self._owner.handle_stream_end(self, error)

    async def run(self, unread_bytes: bytes) -> None:
        """Receive frames until the stream ends.

        Parameters
        ----------
        unread_bytes : bytes
            Bytes received together with the handshake.
        """
        decoder = _frames.FrameDecoder()
        data = unread_bytes
        try:
            while self.end_error is None:
                for frame in decoder.feed(data):
                    self._dispatch(frame)
                    if self.end_error is not None:
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
                    raise PeerLostError('the peer closed the stream')
                now = trio.current_time()
                if (
                    now - self._owner.last_check_time
                    > self.settings.dead_after_s
                ):
                    # The peer has timed out its exchanges by now, so a call
                    # that is still unread in the socket must not start.
                    raise PeerLostError('this process was paused')
                self._record_activity(now)
        except PeerError as error:
            self.end(error)
        except OSError as error:
            self.end(PeerLostError(f'stream failed: {error}'))
        except trio.ClosedResourceError:
            pass
        finally:
            self.end(None)

    def _add_exchange(self, exchange: StreamExchange) -> None:
        now = trio.current_time()
        if not self._exchanges and now >= self._monitored_until:
            self._monitored_since = now
        self._last_used = now
        if exchange.is_call and self.is_opener:
            self._monitored_until = now + self.settings.idle_s
        self._exchanges[exchange.number] = exchange

    def _dispatch(self, frame: _frames.Frame) -> None:
        number, kind, payload, size = frame
        if kind <= Kind.POST:
            self._accept_exchange(frame)
            return
        exchange = self._exchanges.get(number)
        is_call = exchange is not None and exchange.is_call
        self._owner.traffic.add(3 if is_call else 1, size, payload)
        if kind >= Kind.PING:
            if kind is Kind.PING:
                self._observe_stamp(int(payload))
                self.write(0, Kind.PONG, 0, is_call=False)
            elif kind is Kind.GOAWAY:
                self.goaway_received = True
        elif exchange is not None:
            exchange.handle_frame(kind, payload)
        elif not 0 < number <= self._last_exchange_id:
            raise PeerProtocolError(
                f'{kind.name} frame for unknown exchange {number}'
            )

    def _accept_exchange(self, frame: _frames.Frame) -> None:
        number, kind, payload, size = frame
        if self.is_opener or number <= self._last_exchange_id:
            raise PeerProtocolError(
                f'{kind.name} frame with invalid exchange id {number}'
            )
        self._last_exchange_id = number
        message = _frames.decode_message(payload)
        exchange = StreamExchange(
            self,
            number,
            is_call=_frames.is_call(message),
            single_reply=kind is Kind.REQUEST,
        )
        index = 3 if exchange.is_call else 1
        self._owner.traffic.add(index, size, payload)
        if kind is not Kind.OPEN:
            exchange.handle_frame(Kind.FINISH, 0)
        if kind is Kind.POST:
            # A posted message gets no reply.
            exchange.handle_frame(Kind.CLOSE, 0)
        if isinstance(message, CallStart):
            exchange.delay_s = self._observe_stamp(message.sent_us)
        self._add_exchange(exchange)
        self._owner.accept_exchange(self, exchange, message)

    def _observe_stamp(self, sent_us: int) -> float:
        """Return the delay in seconds of a message with a time stamp."""
        if not sent_us:
            return 0.0
        return self._transit.observe(sent_us / 1e6, _socket.clock_us() / 1e6)

    async def _flush(self) -> None:
        try:
            while self._send_queue:
                await trio.lowlevel.wait_writable(self._sock)
                batch = [
                    self._send_queue[i][1]
                    for i in range(min(16, len(self._send_queue)))
                ]
                try:
                    sent = self._sock.sendmsg(batch)
                except BlockingIOError:
                    continue
                # The socket was full, so the peer has acknowledged data.
                self._record_activity(trio.current_time())
                self._remove_sent(sent)
                if self._backlog <= _HIGH_WATER_MARK_BYTES:
                    self._writable.unpark_all()
            self._flushing = False
        except trio.ClosedResourceError:
            pass
        except OSError as error:
            self.end(PeerLostError(f'stream failed: {error}'))

    def _remove_sent(self, sent: int) -> None:
        self._backlog -= sent
        while sent:
            number, chunk = self._send_queue.popleft()
            self._unsent_openings.discard(number)
            self._head_is_partial = sent < len(chunk)
            if self._head_is_partial:
                self._send_queue.appendleft((number, chunk[sent:]))
                break
            sent -= len(chunk)
