"""The network between daemons: listener, streams and handlers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerError
from gypsumhall._errors import PeerLostError
from gypsumhall._errors import PeerProtocolError
from gypsumhall._errors import PeerUnreachableError
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

_UNPROVEN = 128
"""Handshakes at a time on the listener; further connections wait in the
backlog of the socket, so that a reconnect storm cannot take all memory."""
_GOAWAY_GRACE_S = 0.2
"""Time for peers to learn that no new exchange is taken; a round trip between
regions and a busy event loop fit in."""
_SHUTDOWN_S = 1.0
_POSTING = 256
"""Addresses for which posted messages may wait."""
_IDLE_WORKERS = 32
"""Tasks kept for the next exchanges."""


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
        Times and limits of each stream.
    connect_timeout_s : float
        Longest time in seconds for a connection and its handshake.
    max_streams : int
        Largest number of streams per direction of opening.
    max_handlers : int
        Largest number of handlers at a time per stream; further requests
        are answered with `Busy`, further posts are dropped.
    max_posts : int
        Messages that wait per address until a stream is open.
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


class _Attempt:
    """An attempt to open a stream, shared by all who wait for it."""

    __slots__ = ('done', 'reason', 'stream')

    def __init__(self) -> None:
        self.done = trio.Event()
        self.stream: Stream | None = None
        self.reason = 'no answer in time'


class _Worker:
    """A task that handles one exchange after the other."""

    __slots__ = ('job', 'task')

    def __init__(self, task: trio.lowlevel.Task) -> None:
        self.task = task
        self.job: _Job | None = None


class _Opening:
    """Context of an opened exchange.

    A class costs 5 us less per call than `contextlib.asynccontextmanager`.
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
        stream = await self._network._connected(self._address, self._timeout_s)
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
        When the keys or addresses are unusable.
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
        # Peers and firewalls see the address that the settings name, on VMs
        # with several addresses too.
        self._source = _socket.source_ip(settings.address)
        self._emit = emit
        self._emitted: dict[str, tuple[float, int]] = {}
        self._handlers: dict[type[Message], Handler[Any]] = {}
        self._nursery: trio.Nursery | None = None
        self._listener: socket.socket | None = None
        self._me: PeerInfo | None = None
        self._streams: set[Stream] = set()
        self._primary: dict[str, Stream] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._posts: dict[str, deque[Message]] = {}
        self._unproven = trio.Semaphore(_UNPROVEN)
        self._idle: list[_Worker] = []
        self._draining = False
        self._dropped = 0
        self._traffic = TrafficCounters()
        self._last_check_time = 0.0

    @property
    def me(self) -> PeerInfo:
        """Own identity; known as soon as `serve` has started."""
        if self._me is None:
            raise RuntimeError('the network has not started')
        return self._me

    @property
    def last_check_time(self) -> float:
        """Time of the last round of checks of the streams."""
        return self._last_check_time

    @property
    def traffic(self) -> TrafficCounters:
        """Frames and bytes of all streams, by kind and direction."""
        return self._traffic

    @property
    def streams(self) -> int:
        """Number of open streams in both directions of opening."""
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
            When the type has a handler.
        """
        if kind in self._handlers:
            raise ValueError(f'{kind.__name__} has a handler already')
        self._handlers[kind] = handler

    def open(
        self, address: str, message: Message, *, timeout_s: float = 2.0
    ) -> AbstractAsyncContextManager[StreamExchange]:
        """Open an exchange with a first message.

        The exchange ends with the context: messages sent before still
        arrive, unless the context ends with an exception.

        Raises
        ------
        PeerUnreachableError
            When no stream could be opened; the message was not sent.
        PeerLostError
            When the stream ended afterwards.
        PeerProtocolError
            When the message is too large; it was not sent.
        """
        return _Opening(self, address, message, timeout_s)

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
        PeerProtocolError
            When the message is too large; it was not sent.
        """
        deadline = trio.current_time() + timeout_s
        stream = await self._connected(address, timeout_s)
        exchange = stream.open(message, Kind.REQUEST)
        try:
            with trio.move_on_at(deadline):
                return await exchange.receive()
        except trio.EndOfChannel:
            raise PeerLostError(f'{address} gave no answer') from None
        finally:
            exchange.cancel()
        raise PeerLostError(f'{address} gave no answer in {timeout_s} s')

    def post(self, address: str, message: Message) -> None:
        """Send a message without waiting for an answer.

        The message is dropped when the peer cannot be reached or its
        queue is full.
        """
        stream = self._usable(address)
        if stream is not None:
            self._post_on(stream, message)
            return
        queue = self._posts.get(address)
        if (
            queue is None
            and self._nursery is not None
            and len(self._posts) < _POSTING
        ):
            queue = self._posts[address] = deque()
            self._nursery.start_soon(self._post_later, address, queue)
        if queue is None or len(queue) >= self._settings.max_posts:
            self._dropped += 1
        else:
            queue.append(message)

    async def serve(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and run the streams until cancelled.

        Raises
        ------
        OSError
            When the address cannot be used.
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
        )
        self._last_check_time = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._listen, listener)
                task_status.started()
                await self._monitor()
        finally:
            self._nursery = None
            _socket.close(listener)
            for stream in list(self._streams):
                stream.end(None)

    async def drain(self) -> None:
        """Take no new exchange and return when none is left.

        Peers are told to open no further exchanges, and the listener is
        closed, so that they find out at once that they have to go
        elsewhere. Exchanges in flight end undisturbed.
        """
        if self._draining or self._listener is None:
            return
        self._draining = True
        _socket.close(self._listener)
        in_flight: list[StreamExchange] = []
        for stream in self._streams:
            in_flight += stream.in_flight
            if not stream.is_opener:
                stream.send_goaway()
        await trio.sleep(_GOAWAY_GRACE_S)
        # Exchanges that other services open meanwhile, such as heartbeats,
        # do not delay the stop. Polling is cheaper than an event per
        # exchange would be.
        while (  # noqa: ASYNC110
            self._posts
            or any(stream.backlog for stream in self._streams)
            or not all(exchange.ended for exchange in in_flight)
        ):
            await trio.sleep(0.02)
        for stream in list(self._streams):
            stream.shut_down()
        with trio.move_on_after(_SHUTDOWN_S):
            while self._streams:  # noqa: ASYNC110
                await trio.sleep(0.02)

    # What the streams call.

    def accept_exchange(
        self, stream: Stream, exchange: StreamExchange, message: Message
    ) -> None:
        """Start the handler of a new exchange."""
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
            if self._idle:
                worker = self._idle.pop()
                worker.job = job
                trio.lowlevel.reschedule(worker.task)
            else:
                self._nursery.start_soon(self._work, job)

    def ended(self, stream: Stream, error: PeerError | None) -> None:
        """Forget a stream."""
        self._streams.discard(stream)
        if self._primary.get(stream.dialled_address) is stream:
            del self._primary[stream.dialled_address]
        if error is not None and not self._draining:
            code = (
                'peer-protocol-error'
                if isinstance(error, PeerProtocolError)
                else 'peer-lost'
            )
            self._event(code, peer=stream.peer.id, detail=str(error))

    # Opening

    def _usable(self, address: str) -> Stream | None:
        stream = self._primary.get(address)
        if stream is None or stream.goaway_received or stream.ping_overdue:
            return None
        return stream

    async def _connected(self, address: str, timeout_s: float) -> Stream:
        await trio.lowlevel.checkpoint_if_cancelled()
        stream = self._usable(address)
        if stream is not None:
            return stream
        attempt = self._attempts.get(address)
        if attempt is None:
            if self._nursery is None:
                raise PeerUnreachableError('the network is not running')
            attempt = self._attempts[address] = _Attempt()
            self._nursery.start_soon(self._connect, address, attempt)
        with trio.move_on_after(timeout_s):
            await attempt.done.wait()
        if attempt.stream is None or attempt.stream.ended is not None:
            raise PeerUnreachableError(
                f'no stream to {address}: {attempt.reason}'
            )
        return attempt.stream

    async def _connect(self, address: str, attempt: _Attempt) -> None:
        sock = None
        try:
            self._make_room()
            with trio.move_on_after(self._settings.connect_timeout_s):
                sock = await _socket.connect(address, self._source)
                peer = await _handshake.authenticate_as_opener(
                    sock, self.me, self._settings.keys, self._traffic
                )
                attempt.stream = self._add(sock, peer, address, b'')
                sock = None
        except (OSError, ValueError, PeerLostError) as error:
            attempt.reason = str(error)
        except PeerError as error:
            attempt.reason = str(error)
            self._event(
                'peer-handshake-failed', address=address, detail=str(error)
            )
        finally:
            if sock is not None:
                _socket.close(sock)
            del self._attempts[address]
            attempt.done.set()

    def _make_room(self) -> None:
        is_opener = [item for item in self._streams if item.is_opener]
        if len(is_opener) < self._settings.max_streams:
            return
        idle = [item for item in is_opener if item.idle]
        if not idle:
            self._event('peer-streams-exhausted', streams=len(is_opener))
            raise PeerLostError(f'all {len(is_opener)} streams are in use')
        min(idle, key=lambda item: item.last_used).end(None)

    def _add(
        self,
        sock: socket.socket,
        peer: PeerInfo,
        dialled_address: str,
        first: bytes,
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
        if dialled_address:
            self._primary[dialled_address] = stream
        self._nursery.start_soon(stream.run, first)
        return stream

    async def _post_later(self, address: str, queue: deque[Message]) -> None:
        stream = None
        try:
            stream = await self._connected(
                address, self._settings.connect_timeout_s
            )
        except PeerError:
            pass
        finally:
            del self._posts[address]
            for message in queue:
                self._post_on(stream, message)

    def _post_on(self, stream: Stream | None, message: Message) -> None:
        try:
            sent = stream is not None and stream.post(message)
        except PeerProtocolError as error:
            sent = False
            self._event('peer-post-failed', detail=str(error))
        self._dropped += not sent

    # Accepting

    async def _listen(self, listener: socket.socket) -> None:
        while not self._draining:
            try:
                await self._unproven.acquire()
                sock = await _socket.accept(listener)
            except trio.ClosedResourceError:
                return
            except OSError as error:
                # Most likely no file descriptor is free.
                self._unproven.release()
                self._event('peer-accept-failed', detail=str(error))
                await trio.sleep(0.1)
                continue
            assert self._nursery is not None
            self._nursery.start_soon(self._welcome, sock)

    async def _welcome(self, sock: socket.socket) -> None:
        keep = False
        try:
            with trio.move_on_after(self._settings.connect_timeout_s) as scope:
                accepted = sum(not item.is_opener for item in self._streams)
                if accepted >= self._settings.max_streams:
                    raise PeerProtocolError(f'{accepted} streams are open')
                peer, rest = await _handshake.authenticate_as_acceptor(
                    sock, self.me, self._settings.keys, self._traffic
                )
                self._add(sock, peer, '', rest)
                keep = True
            if scope.cancelled_caught:
                raise PeerProtocolError('no proof in time')
        except (PeerError, OSError) as error:
            self._event('peer-handshake-failed', detail=str(error))
        finally:
            self._unproven.release()
            if not keep:
                _socket.close(sock)

    async def _work(self, job: _Job) -> None:
        # Starting and ending a task costs more than a short handler.
        worker = _Worker(trio.lowlevel.current_task())

        def abort(_: object) -> trio.lowlevel.Abort:
            self._idle.remove(worker)
            return trio.lowlevel.Abort.SUCCEEDED

        worker.job = job
        while worker.job is not None:
            job, worker.job = worker.job, None
            await self._handle(*job)
            # An idle worker must not keep the last message.
            del job
            if len(self._idle) < _IDLE_WORKERS:
                self._idle.append(worker)
                await trio.lowlevel.wait_task_rescheduled(abort)

    async def _handle(
        self, handler: Handler[Any], exchange: StreamExchange, message: Message
    ) -> None:
        try:
            await handler(exchange, message)
        except Exception as error:
            # A handler whose peer is gone has nothing left to do.
            if not _is_loss(error):
                self._event(
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

    # Checks

    async def _monitor(self) -> None:
        settings = self._settings.stream
        interval = min(settings.ping_after_s, settings.dead_after_s) / 4
        late = False
        while True:
            await trio.sleep(interval)
            now = trio.current_time()
            passed = now - self._last_check_time
            self._last_check_time = now
            if passed > settings.dead_after_s:
                # The other ends have given up their exchanges, even those
                # that still wait in the sockets of idle streams.
                for stream in list(self._streams):
                    stream.end(PeerLostError('this process was paused'))
            elif passed > 2 * interval and not late:
                # What arrived during the delay has not been read yet.
                late = True
                continue
            late = False
            for stream in list(self._streams):
                stream.check_timeouts(now)

    def _event(self, code: str, **fields: object) -> None:
        # A flood of bad connections must not become a flood of events.
        if self._emit is None:
            return
        now = trio.current_time()
        start, count = self._emitted.get(code, (now, 0))
        if now - start >= 1.0:
            start, count = now, 0
        self._emitted[code] = (start, count + 1)
        if count < 10:
            self._emit(code, **fields)


def _is_loss(error: BaseException) -> bool:
    if isinstance(error, BaseExceptionGroup):
        return all(_is_loss(item) for item in error.exceptions)
    return isinstance(error, PeerLostError | trio.EndOfChannel)
