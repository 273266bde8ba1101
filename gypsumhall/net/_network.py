"""The network between daemons: listener, streams and handlers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import math
import secrets
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerError
from gypsumhall._errors import PeerLostError
from gypsumhall._errors import PeerProtocolError
from gypsumhall._errors import PeerUnreachableError
from gypsumhall.net import _frames
from gypsumhall.net import _handshake
from gypsumhall.net import _messages
from gypsumhall.net import _socket
from gypsumhall.net._frames import Kind
from gypsumhall.net._frames import TrafficCounters
from gypsumhall.net._protocol import PeerInfo
from gypsumhall.net._stream import Stream
from gypsumhall.net._stream import StreamSettings

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager
    import socket

    from gypsumhall.net._messages import Message
    from gypsumhall.net._protocol import Handler
    from gypsumhall.net._protocol import M
    from gypsumhall.net._stream import StreamExchange

    _Job = tuple[Handler[Any], StreamExchange, Message]

_MAX_PENDING_HANDSHAKES = 128
"""Limits concurrent handshakes on the listener. Further connections wait in
the backlog of the socket, which bounds memory during a reconnect storm."""
_GOAWAY_GRACE_S = 0.2
"""Time for peers to process GOAWAY frames; allows for a round trip between
regions and a busy event loop."""
_SHUTDOWN_TIMEOUT_S = 1.0
_MAX_POST_QUEUES = 256
"""Maximum number of addresses with queued posted messages."""
_PROCESS_ID_BYTES = 8
_MAX_IDLE_WORKERS = 32
"""Maximum number of idle tasks that are kept for further exchanges."""


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """Settings of a `Network`.

    Parameters
    ----------
    id, zone : str
        Identity of the daemon; the id defaults to its peer address.
    incarnation : int
        Incarnation of the process.
    address : str
        ``<ip>:<port>`` of the listener; port 0 stands for any free port.
    keys : tuple of bytes
        Accepted shared keys, 1 to 4, each of at least 16 bytes.
    advertised_address : str
        ``<ip>:<port>`` that peers connect to; empty for the listener's.
    stream : StreamSettings
        Timeouts and limits of each stream.
    connect_timeout_s : float
        Timeout in seconds for a connection and its handshake.
    max_streams : int
        Maximum number of streams opened by this daemon, and likewise of
        streams opened by peers.
    max_handlers : int
        Maximum number of concurrent handlers per stream. Further exchanges
        get the reply `Busy`, further posts are dropped.
    max_posts : int
        Maximum number of messages queued per address until a stream is
        open.
    """

    id: str
    zone: str
    incarnation: int
    address: str
    keys: tuple[bytes, ...]
    advertised_address: str = ''
    stream: StreamSettings = field(default_factory=StreamSettings)
    connect_timeout_s: float = 2.0
    max_streams: int = 1024
    max_handlers: int = 256
    max_posts: int = 64


class _Target(NamedTuple):
    """What a stream is opened for.

    Large messages would delay the calls and heartbeats behind them, so they
    have a stream of their own.
    """

    address: str
    bulk: bool = False


class _ConnectAttempt:
    """An attempt to open a stream, shared by all tasks that wait for it."""

    __slots__ = ('done', 'reason', 'stream')

    def __init__(self) -> None:
        self.done = trio.Event()
        self.stream: Stream | None = None
        self.reason = 'timed out'


class _Worker:
    """A task that handles exchanges one after the other."""

    __slots__ = ('job', 'task')

    def __init__(self, task: trio.lowlevel.Task) -> None:
        self.task = task
        self.job: _Job | None = None


class _ExchangeContext:
    """Context manager that opens and ends an exchange.

    A class takes 5 us less per call than `contextlib.asynccontextmanager`.
    """

    __slots__ = ('_address', '_exchange', '_message', '_network', '_timeout_s')

    def __init__(
        self,
        network: Network,
        address: str,
        message: Message,
        timeout_s: float,
    ) -> None:
        self._network = network
        self._address = address
        self._message = message
        self._timeout_s = timeout_s

    async def __aenter__(self) -> StreamExchange:
        target = _Target(self._address, _frames.has_bulk_reply(self._message))
        stream = await self._network._get_or_open_stream(
            target, self._timeout_s
        )
        self._exchange = stream.open(self._message, Kind.OPEN)
        return self._exchange

    async def __aexit__(
        self, kind: type[BaseException] | None, *_: object
    ) -> None:
        if kind is None:
            self._exchange.close()
        else:
            self._exchange.cancel()


class Network:
    """Streams to other daemons; implements `PeerNetwork`.

    Parameters
    ----------
    settings : PeerSettings
        Identity, address, keys and limits.
    emit : callable, optional
        Called with a code and fields for each event.

    Raises
    ------
    ValueError
        When the keys or addresses are invalid.
    """

    def __init__(
        self,
        settings: PeerSettings,
        emit: Callable[..., None] | None = None,
    ) -> None:
        _handshake.check_keys(settings.keys)
        _socket.split_address(settings.address)
        if settings.advertised_address:
            _socket.split_address(settings.advertised_address)
        self._settings = settings
        # On VMs with several addresses, outgoing connections also use the
        # configured address, so that peers and firewalls see no other.
        self._source_ip = _socket.source_ip(settings.address)
        self._emit = emit
        self._event_counts: dict[str, tuple[float, int]] = {}
        self._handlers: dict[type[Message], Handler[Any]] = {}
        self._nursery: trio.Nursery | None = None
        self._listener: socket.socket | None = None
        self._me: PeerInfo | None = None
        self._streams: set[Stream] = set()
        self._streams_by_target: dict[_Target, Stream] = {}
        self._connect_attempts: dict[_Target, _ConnectAttempt] = {}
        # Encoded messages that wait for a stream.
        self._post_queues: dict[_Target, deque[bytes]] = {}
        self._handshake_slots = trio.Semaphore(_MAX_PENDING_HANDSHAKES)
        self._idle_workers: list[_Worker] = []
        self._draining = False
        self._dropped = 0
        self._traffic = TrafficCounters()
        self._last_check_time = 0.0

    @property
    def me(self) -> PeerInfo:
        """Identity of this daemon; available once `serve` has started."""
        if self._me is None:
            raise RuntimeError('the network has not started')
        return self._me

    @property
    def last_check_time(self) -> float:
        """Time of the last check of all streams."""
        return self._last_check_time

    @property
    def traffic(self) -> TrafficCounters:
        """Counters of frames and bytes, over all streams."""
        return self._traffic

    @property
    def streams(self) -> int:
        """Number of open streams, opened by this daemon or by peers."""
        return len(self._streams)

    @property
    def dropped_posts(self) -> int:
        """Number of posted messages that were dropped."""
        return self._dropped

    def on(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler of exchanges that start with `kind`.

        Raises
        ------
        ValueError
            When the type already has a handler.
        """
        if kind in self._handlers:
            raise ValueError(f'{kind.__name__} already has a handler')
        self._handlers[kind] = handler

    def open(
        self, address: str, message: Message, *, timeout_s: float = 2.0
    ) -> AbstractAsyncContextManager[StreamExchange]:
        """Open an exchange with a first message.

        When the context exits, the exchange is closed and messages sent
        before are still delivered. An exception cancels the exchange.

        Raises
        ------
        PeerUnreachableError
            When no stream could be opened; the message was not sent.
        PeerLostError
            When the stream ended after the message was sent.
        PeerProtocolError
            When the message is too large; it was not sent.
        """
        return _ExchangeContext(self, address, message, timeout_s)

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
        PeerProtocolError
            When the message is too large; it was not sent.
        """
        deadline = trio.current_time() + timeout_s
        target = _Target(address, _frames.has_bulk_reply(message))
        stream = await self._get_or_open_stream(target, timeout_s)
        exchange = stream.open(message, Kind.REQUEST)
        try:
            with trio.move_on_at(deadline):
                return await exchange.receive()
        except trio.EndOfChannel:
            raise PeerLostError(
                f'{address} ended the exchange without a reply'
            ) from None
        finally:
            exchange.cancel()
        raise PeerLostError(f'{address} sent no reply within {timeout_s} s')

    def post(self, address: str, message: Message) -> None:
        """Send a message that gets no reply, without waiting.

        The message is dropped when the peer is unreachable, the send queue
        for the address is full or the message is too large for a frame.
        """
        try:
            payload = _frames.encode_message(message)
        except PeerProtocolError as error:
            self._dropped += 1
            self._emit_limited('peer-post-failed', detail=str(error))
            return
        target = _Target(address, len(payload) > _frames.BULK_BYTES)
        stream = self._usable_stream(target)
        if stream is not None:
            self._dropped += not stream.post(payload)
            return
        queue = self._post_queues.get(target)
        if (
            queue is None
            and self._nursery is not None
            and len(self._post_queues) < _MAX_POST_QUEUES
        ):
            queue = self._post_queues[target] = deque()
            self._nursery.start_soon(self._connect_and_post, target, queue)
        if queue is None or len(queue) >= self._settings.max_posts:
            self._dropped += 1
        else:
            queue.append(payload)

    async def serve(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and run the streams until cancelled.

        Raises
        ------
        OSError
            When listening on the address fails.
        """
        settings = self._settings
        listener = _socket.listen(settings.address)
        host, port = listener.getsockname()[:2]
        address = settings.advertised_address or _socket.join_address(
            host, port
        )
        self._listener = listener
        self._me = PeerInfo(
            settings.id or address,
            settings.zone,
            settings.incarnation,
            address,
            secrets.token_hex(_PROCESS_ID_BYTES),
        )
        self._last_check_time = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._accept_connections, listener)
                task_status.started()
                await self._monitor_streams()
        finally:
            self._nursery = None
            _socket.close(listener)
            for stream in list(self._streams):
                stream.end(None)

    async def drain(self) -> None:
        """Shut down gracefully; return when no exchange is in flight.

        GOAWAY frames notify peers that no new exchanges are accepted, and
        the listener is closed, so that peers switch to other daemons at
        once. Exchanges in flight are completed.
        """
        if self._draining or self._listener is None:
            return
        self._draining = True
        _socket.close(self._listener)
        in_flight: list[StreamExchange] = []
        # A stream that was reset ends when GOAWAY is sent on it.
        for stream in list(self._streams):
            in_flight += stream.in_flight
            if not stream.is_opener:
                stream.send_goaway()
        await trio.sleep(_GOAWAY_GRACE_S)
        # Exchanges that other services open after this point, such as
        # heartbeats, do not delay the shutdown. Polling is cheaper than an
        # event per exchange.
        while (  # noqa: ASYNC110
            self._post_queues
            or any(stream.backlog for stream in self._streams)
            or not all(exchange.has_ended for exchange in in_flight)
        ):
            await trio.sleep(0.02)
        for stream in list(self._streams):
            stream.shut_down()
        with trio.move_on_after(_SHUTDOWN_TIMEOUT_S):
            while self._streams:  # noqa: ASYNC110
                await trio.sleep(0.02)

    # Callbacks of the streams

    def accept_exchange(
        self, stream: Stream, exchange: StreamExchange, message: Message
    ) -> None:
        """Start the handler of an exchange that a peer has opened."""
        handler = self._handlers.get(type(message))
        if self._draining or stream.exchanges > self._settings.max_handlers:
            exchange.reply(_messages.Busy())
            exchange.close()
        elif handler is None or self._nursery is None:
            name = type(message).__name__
            exchange.reply(
                _messages.Failure('unknown-request', f'no handler of {name}')
            )
            exchange.close()
        else:
            job = handler, exchange, message
            if self._idle_workers:
                worker = self._idle_workers.pop()
                worker.job = job
                trio.lowlevel.reschedule(worker.task)
            else:
                self._nursery.start_soon(self._run_worker, job)

    def handle_stream_silence(self, stream: Stream, silence_s: float) -> None:
        """Emit an event on a stream from which nothing was received."""
        self._emit_limited(
            'peer-silent',
            peer=stream.peer.id,
            silence_ms=round(silence_s * 1000),
            exchanges=stream.exchanges,
            backlog_bytes=stream.backlog,
        )

    def handle_stream_end(
        self, stream: Stream, error: PeerError | None
    ) -> None:
        """Remove a stream that has ended and emit an event on an error."""
        self._streams.discard(stream)
        for bulk in (False, True):
            target = _Target(stream.dialled_address, bulk)
            if self._streams_by_target.get(target) is stream:
                del self._streams_by_target[target]
        if error is not None and not self._draining:
            code = (
                'peer-protocol-error'
                if isinstance(error, PeerProtocolError)
                else 'peer-lost'
            )
            self._emit_limited(code, peer=stream.peer.id, detail=str(error))

    # Opening of streams

    def _usable_stream(self, target: _Target) -> Stream | None:
        stream = self._streams_by_target.get(target)
        if stream is None or stream.goaway_received or stream.ping_overdue:
            return None
        return stream

    async def _get_or_open_stream(
        self, target: _Target, timeout_s: float
    ) -> Stream:
        await trio.lowlevel.checkpoint_if_cancelled()
        stream = self._usable_stream(target)
        if stream is not None:
            return stream
        attempt = self._connect_attempts.get(target)
        if attempt is None:
            if self._nursery is None:
                raise PeerUnreachableError('the network is not running')
            attempt = self._connect_attempts[target] = _ConnectAttempt()
            self._nursery.start_soon(self._open_stream, target, attempt)
        with trio.move_on_after(timeout_s):
            await attempt.done.wait()
        if attempt.stream is None or attempt.stream.end_error is not None:
            raise PeerUnreachableError(
                f'no stream to {target.address}: {attempt.reason}'
            )
        return attempt.stream

    async def _open_stream(
        self, target: _Target, attempt: _ConnectAttempt
    ) -> None:
        sock = None
        address = target.address
        try:
            self._ensure_stream_capacity()
            with trio.move_on_after(self._settings.connect_timeout_s):
                sock = await _socket.connect(address, self._source_ip)
                peer = await _handshake.authenticate_as_opener(
                    sock, self.me, self._settings.keys, self._traffic
                )
                attempt.stream = self._add_stream(sock, peer, address, b'')
                self._streams_by_target[target] = attempt.stream
                sock = None
        except (OSError, ValueError, PeerLostError) as error:
            attempt.reason = str(error)
        except PeerError as error:
            attempt.reason = str(error)
            self._emit_limited(
                'peer-handshake-failed', address=address, detail=str(error)
            )
        finally:
            if sock is not None:
                _socket.close(sock)
            del self._connect_attempts[target]
            attempt.done.set()

    def _ensure_stream_capacity(self) -> None:
        outgoing = [stream for stream in self._streams if stream.is_opener]
        if len(outgoing) < self._settings.max_streams:
            return
        idle = [stream for stream in outgoing if stream.idle]
        if not idle:
            self._emit_limited('peer-streams-exhausted', streams=len(outgoing))
            raise PeerLostError(
                f'all {len(outgoing)} outgoing streams are in use'
            )
        min(idle, key=lambda stream: stream.last_used).end(None)

    def _add_stream(
        self,
        sock: socket.socket,
        peer: PeerInfo,
        dialled_address: str,
        unread_bytes: bytes,
    ) -> Stream:
        if self._nursery is None:
            raise PeerLostError('the network is not running')
        stream = Stream(
            self,
            sock,
            peer,
            dialled_address=dialled_address,
            settings=self._settings.stream,
            nursery=self._nursery,
        )
        self._streams.add(stream)
        self._nursery.start_soon(stream.run, unread_bytes)
        return stream

    async def _connect_and_post(
        self, target: _Target, queue: deque[bytes]
    ) -> None:
        stream = None
        try:
            stream = await self._get_or_open_stream(
                target, self._settings.connect_timeout_s
            )
        except PeerError:
            pass
        finally:
            del self._post_queues[target]
            for payload in queue:
                self._dropped += stream is None or not stream.post(payload)

    # Accepting of streams

    async def _accept_connections(self, listener: socket.socket) -> None:
        while not self._draining:
            try:
                await self._handshake_slots.acquire()
                if self._draining:
                    # The listener was closed during the wait.
                    return
                sock = await _socket.accept(listener)
            except trio.ClosedResourceError:
                return
            except OSError as error:
                # The usual cause is a lack of file descriptors.
                self._handshake_slots.release()
                self._emit_limited('peer-accept-failed', detail=str(error))
                await trio.sleep(0.1)
                continue
            assert self._nursery is not None
            self._nursery.start_soon(self._handle_connection, sock)

    async def _handle_connection(self, sock: socket.socket) -> None:
        handed_over = False
        try:
            with trio.move_on_after(self._settings.connect_timeout_s) as scope:
                accepted = sum(
                    not stream.is_opener for stream in self._streams
                )
                if accepted >= self._settings.max_streams:
                    raise PeerProtocolError(
                        f'{accepted} accepted streams are open; limit reached'
                    )
                peer, unread_bytes = await _handshake.authenticate_as_acceptor(
                    sock, self.me, self._settings.keys, self._traffic
                )
                self._add_stream(sock, peer, '', unread_bytes)
                handed_over = True
            if scope.cancelled_caught:
                raise PeerProtocolError('handshake timed out')
        except (PeerError, OSError) as error:
            self._emit_limited('peer-handshake-failed', detail=str(error))
        finally:
            self._handshake_slots.release()
            if not handed_over:
                _socket.close(sock)

    async def _run_worker(self, job: _Job) -> None:
        # Tasks are reused because starting and ending a task takes longer
        # than a short handler.
        worker = _Worker(trio.lowlevel.current_task())

        def abort(_: object) -> trio.lowlevel.Abort:
            self._idle_workers.remove(worker)
            return trio.lowlevel.Abort.SUCCEEDED

        worker.job = job
        while worker.job is not None:
            job, worker.job = worker.job, None
            await self._run_handler(*job)
            # An idle worker must not keep the last message in memory.
            del job
            if len(self._idle_workers) < _MAX_IDLE_WORKERS:
                self._idle_workers.append(worker)
                await trio.lowlevel.wait_task_rescheduled(abort)

    async def _run_handler(
        self, handler: Handler[Any], exchange: StreamExchange, message: Message
    ) -> None:
        if exchange.cancelled:
            # The cancellation was received together with the first message.
            exchange.close()
            return
        try:
            await handler(exchange, message)
        except Exception as error:
            # The loss of the peer is not an error of the handler.
            if not _is_peer_loss(error):
                self._emit_limited(
                    'peer-handler-failed',
                    message=type(message).__name__,
                    detail=f'{type(error).__name__}: {error}',
                )
                exchange.reply(
                    _messages.Failure('internal', type(error).__name__)
                )
        except BaseException:
            exchange.cancel()
            raise
        exchange.close()

    # Liveness checks

    async def _monitor_streams(self) -> None:
        settings = self._settings.stream
        longest_s = min(settings.ping_after_s, settings.dead_after_s)
        shortest_s = longest_s / 4
        check_skipped = False
        while True:
            check_at = max(
                self._last_check_time + shortest_s,
                min(
                    (stream.check_due for stream in self._streams),
                    default=math.inf,
                ),
            )
            check_at = min(check_at, self._last_check_time + longest_s)
            await trio.sleep_until(check_at)
            now = trio.current_time()
            elapsed = now - self._last_check_time
            self._last_check_time = now
            if elapsed > settings.dead_after_s:
                # Peers have timed out their exchanges with this process,
                # including those still unread in the sockets of idle
                # streams.
                for stream in list(self._streams):
                    stream.end(PeerLostError('this process was paused'))
            elif now - check_at > shortest_s and not check_skipped:
                # Data received during the delay has not been read yet, so
                # one check is skipped.
                check_skipped = True
                continue
            check_skipped = False
            for stream in list(self._streams):
                stream.check_timeouts(now)

    def _emit_limited(self, code: str, **fields: object) -> None:
        # At most 10 events per code and second, so that a flood of invalid
        # connections does not flood the event log.
        if self._emit is None:
            return
        now = trio.current_time()
        start, count = self._event_counts.get(code, (now, 0))
        if now - start >= 1.0:
            start, count = now, 0
        self._event_counts[code] = (start, count + 1)
        if count < 10:
            self._emit(code, **fields)


def _is_peer_loss(error: BaseException) -> bool:
    if isinstance(error, BaseExceptionGroup):
        return all(_is_peer_loss(item) for item in error.exceptions)
    return isinstance(error, PeerLostError | trio.EndOfChannel)
