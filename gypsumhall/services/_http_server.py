"""HTTP/1.1 server for ASGI applications, with pipelined requests.

A connection has one task that reads, so that a caller that leaves is noticed,
and one for each request that runs at the same time. Every request has a parser
of its own while others wait behind it, because a parser reads the next request
only after the response to the last one.
"""

from __future__ import annotations

from collections import deque
import contextlib
import fcntl
import math
import os
import select
import socket
import struct
import sys
import termios
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import unquote

import h11
import trio

from gypsumhall._errors import translate_listen_errors
from gypsumhall.core._pipelining import Admission
from gypsumhall.core._pipelining import Pipeline
from gypsumhall.core._pipelining import PipelinedRequest
from gypsumhall.services import _http_parser

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Application = Callable[..., Awaitable[None]]

DEFAULT_IDLE_TIMEOUT_S = 60.0
"""Default of `HttpSettings.idle_timeout_s`."""

_RECEIVE_BYTES = 64 * 1024
# A connection whose caller reads nothing for this long, in seconds, is closed.
_SEND_TIMEOUT_S = 30.0
# Time in seconds for a request on a connection that is accepted in a stop.
_FIRST_READ_S = 0.1
# Limit in seconds on accepting the connections that wait at a stop.
_ACCEPT_TIMEOUT_S = 0.1
# Limits on discarding data after the last response. Closing a connection with
# unread bytes resets it, which can discard the response on its way.
_LINGER_S = 1.0
_STOP_LINGER_S = 0.5
_MAX_LINGER_BYTES = 256 * 1024
# Time in seconds for the responses of requests that the server cancels.
_FINAL_RESPONSES_S = 0.1
_UNSENT_CHECK_INTERVAL_S = 0.02
# Bytes of a request body that wait for the application.
_MAX_BODY_BYTES = 256 * 1024
# Bytes that are read behind the requests that there is room for.
_MAX_UNPARSED_BYTES = 64 * 1024
# Bytes of the responses of one connection that wait for their turn, and of the
# next one while it is held until it is complete.
_MAX_HELD_BYTES = 256 * 1024
_MAX_READ_AHEAD_BYTES = 64 * 1024
# State of a connection that has been reset, from the kernel's `tcp_states.h`.
_TCP_CLOSE = 7
_NO_BODY_STATUSES = frozenset([204, 304])


class NotReadError(Exception):
    """The connection closes before the response to a request.

    Its caller repeats the request, so it must not be run.
    """


class HttpSettings:
    """Settings of a server.

    Changes take effect with the next request of each connection.

    Parameters
    ----------
    max_head_bytes : int
        Longest head of a request, in bytes.
    idle_timeout_s : float
        Time in seconds after which a connection without a request is closed.
    head_timeout_s : float
        Time in seconds from the first byte of a head to its end, after which
        it is rejected.
    close_timeout_s : float
        Time in seconds for closing the connections when the server stops.
    read_ahead : int
        Number of requests of a connection that are handled at the same time.
    error_headers : tuple of (bytes, bytes)
        Headers of error responses to requests that were not passed on.
    backlog : int
        Length of the queue of new connections.
    """

    __slots__ = (
        'backlog',
        'close_timeout_s',
        'error_headers',
        'head_timeout_s',
        'idle_timeout_s',
        'max_head_bytes',
        'read_ahead',
    )

    def __init__(
        self,
        *,
        max_head_bytes: int = 64 * 1024,
        idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S,
        head_timeout_s: float = math.inf,
        close_timeout_s: float = 3.0,
        read_ahead: int = 8,
        error_headers: tuple[tuple[bytes, bytes], ...] = (),
        backlog: int = 1024,
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.idle_timeout_s = idle_timeout_s
        self.head_timeout_s = head_timeout_s
        self.close_timeout_s = close_timeout_s
        self.read_ahead = read_ahead
        self.error_headers = error_headers
        self.backlog = backlog


class Exchange(PipelinedRequest):
    """A request and its response.

    The application finds it as ``scope['state']['exchange']``.
    """

    __slots__ = (
        '_body',
        '_body_bytes',
        '_body_end_reported',
        '_body_ended',
        '_changed',
        '_connection',
        '_disconnected',
        '_end_sent',
        '_failed',
        '_head_sent',
        '_held',
        '_head',
        '_held_bytes',
        '_parser',
        '_received_at',
        '_response_ended',
        '_response_head',
        '_scope',
    )

    def __init__(
        self,
        connection: _Connection,
        parser: _http_parser.RequestParser,
        head: _http_parser.RequestHead,
    ) -> None:
        super().__init__(
            sum(len(name) + len(value) for name, value in head.headers)
            + len(head.target)
        )
        self._connection = connection
        self._parser = parser
        self._head = head
        self._received_at = trio.current_time()
        self._scope = trio.CancelScope()
        self._body: deque[bytes] = deque()
        self._body_bytes = 0
        self._body_ended = False
        self._body_end_reported = False
        self._disconnected = False
        self._failed = False
        self._changed = trio.Event()
        self._response_head: dict[str, Any] | None = None
        self._response_ended = False
        self._end_sent = False
        self._head_sent = False
        self._held: list[bytes] = []
        self._held_bytes = 0

    @property
    def received_at(self) -> float:
        """Time at which the head was read, by `trio.current_time`."""
        return self._received_at

    @property
    def head(self) -> _http_parser.RequestHead:
        """Head of the request."""
        return self._head

    @property
    def parser(self) -> _http_parser.RequestParser:
        """Reads the request and writes the response."""
        return self._parser

    @property
    def body_ended(self) -> bool:
        """Whether the whole request has been read."""
        return self._body_ended

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that wait for the application."""
        return self._body_bytes

    def try_admit(self, *, alone: bool) -> bool:
        """Return whether the request may be passed on to an endpoint now.

        The parameter is that of `admit`.
        """
        return (
            not self._disconnected
            and self._connection.pipeline.admit(self, alone=alone)
            is Admission.GRANTED
        )

    async def admit(self, *, alone: bool) -> None:
        """Wait until the request may be passed on to an endpoint.

        Parameters
        ----------
        alone : bool
            Whether all earlier responses have to be sent first, because the
            request may run only once.

        Raises
        ------
        NotReadError
            If the connection closes before its response. The application
            need not respond.
        """
        while not self._disconnected:
            admission = self._connection.pipeline.admit(self, alone=alone)
            if admission is Admission.GRANTED:
                return
            if admission is Admission.NOT_READ:
                break
            await self._wait()
        raise NotReadError

    def replace_response(self) -> None:
        """Drop what the application has sent, so that it can send another.

        Raises
        ------
        RuntimeError
            If a part of it has been sent to the caller.
        """
        if self.response_started:
            raise RuntimeError('a part of the response has been sent')
        if not self._failed:
            self._drop_response()

    def _drop_response(self) -> None:
        self._response_head = None
        self._response_ended = False
        self._release_held()

    def add_body(self, data: bytes) -> None:
        """Add a part of the request body."""
        self._body.append(data)
        self._body_bytes += len(data)
        self.size += len(data)
        self.notify()

    def end_body(self) -> None:
        """Record that the request body is complete."""
        self._body_ended = True
        self.notify()

    def disconnect(self) -> None:
        """Record that the caller has closed the connection."""
        self._disconnected = True
        self.notify()

    def notify(self) -> None:
        """Let the tasks of this request check its state again."""
        self._changed.set()
        self._changed = trio.Event()

    def fail(self, status: int) -> None:
        """End the request with an error response, unless one has started."""
        self._failed = True
        self._body_ended = True
        if not self.response_started:
            self._drop_response()
            headers = [(b'content-length', b'0'), (b'connection', b'close')]
            if not self.passed_on:
                headers.extend(self._connection.settings.error_headers)
            self._response_head = {'status': status, 'headers': headers}
            self._response_ended = True
        self._scope.cancel()

    async def run(self, application: Application) -> None:
        """Run the application and send its response."""
        try:
            await self._run_application(application)
            await self._finish_response()
        except trio.Cancelled:
            # The responses in front, of tasks that are cancelled as well, and
            # this one are sent if that takes no time.
            with trio.CancelScope(shield=True) as scope:
                scope.deadline = trio.current_time() + _FINAL_RESPONSES_S
                await self._finish_response()
            raise

    async def _run_application(self, application: Application) -> None:
        scope = _build_scope(self, self._connection.reset)
        try:
            if not self._failed:
                with self._scope:
                    await application(scope, self._receive, self._send)
        except Exception:
            # The application has logged it. The caller must get a response.
            self.fail(500)

    async def _finish_response(self) -> None:
        """Send what is left of the response in its turn."""
        connection = self._connection
        if not self._response_ended and not self.response_started:
            self.fail(500)
        while not self._is_abandoned():
            if connection.pipeline.is_first(self):
                with contextlib.suppress(h11.LocalProtocolError):
                    await self._flush()
                break
            await self._wait()
        if not self._end_sent and not self._is_abandoned():
            # The caller must not take the response for a complete one.
            await connection.abort()
        self._release_held()
        connection.end_exchange(self)

    def _is_abandoned(self) -> bool:
        """Return whether the caller cannot get the response any more."""
        return self._disconnected or self._connection.pipeline.is_dropped(self)

    async def _wait(self) -> None:
        await self._changed.wait()

    async def _receive(self) -> dict[str, Any]:
        """Return the next ASGI message of the request."""
        while True:
            if self._body:
                data = self._body.popleft()
                self._body_bytes -= len(data)
                self._connection.resume_reading()
                ended = self._body_ended and not self._body
                self._body_end_reported = ended
                return _body_message(data, more=not ended)
            if self._body_ended and not self._body_end_reported:
                self._body_end_reported = True
                return _body_message(b'', more=False)
            if self._is_abandoned():
                return {'type': 'http.disconnect'}
            if (
                self._parser.awaits_continue
                and self._connection.pipeline.is_first(self)
            ):
                await self._connection.send(self._parser.encode_continue())
            else:
                await self._wait()

    async def _send(self, message: dict[str, Any]) -> None:
        """Send an ASGI message of the response, or hold it."""
        if self._failed:
            return
        if message['type'] == 'http.response.start':
            self._response_head = message
            if not self._connection.pipeline.holds_response(self):
                # It is sent with the first data.
                self.response_started = True
            return
        data = message.get('body', b'')
        if data and not self._is_without_body():
            self._held.append(data)
            self._held_bytes += len(data)
            self._connection.held_bytes += len(data)
        self._response_ended = not message.get('more_body', False)
        pipeline = self._connection.pipeline
        while pipeline.holds_response(self) and not self._is_abandoned():
            is_first = pipeline.is_first(self)
            held_bytes = (
                self._held_bytes if is_first else self._connection.held_bytes
            )
            if self._response_ended or held_bytes <= _MAX_HELD_BYTES:
                return
            if is_first:
                break
            await self._wait()
        await self._flush()

    async def _flush(self) -> None:
        """Send what is held of the response."""
        if (
            self._response_head is None
            or self._end_sent
            or self._is_abandoned()
        ):
            return
        output: list[bytes] = []
        held = self._held.copy()
        self._release_held()
        if not self._head_sent:
            self.response_started = self._head_sent = True
            output.append(self._start_response(self._response_head))
        output.extend(map(self._parser.encode_body, held))
        if self._response_ended:
            output.append(self._parser.encode_end())
        await self._connection.send(b''.join(output))
        self._end_sent = self._response_ended

    def _start_response(self, head: dict[str, Any]) -> bytes:
        """Return the head; decides whether the connection closes."""
        connection = self._connection
        headers = [
            (bytes(name), bytes(value)) for name, value in head['headers']
        ]
        others = [item for item in headers if item[0] != b'connection']
        wants_close = (
            len(others) < len(headers)
            or connection.stopping
            or connection.pipeline.closing
        )
        if wants_close and connection.close_after(self):
            others.append((b'connection', b'close'))
        return self._parser.encode_head(head['status'], others)

    def _is_without_body(self) -> bool:
        head = self._response_head
        return self._head.method == b'HEAD' or (
            head is not None and head['status'] in _NO_BODY_STATUSES
        )

    def _release_held(self) -> None:
        self._connection.held_bytes -= self._held_bytes
        self._held_bytes = 0
        self._held.clear()


class _Worker:
    """A task that runs requests one after the other."""

    __slots__ = ('_task', 'exchange')

    def __init__(self, task: trio.lowlevel.Task) -> None:
        self._task = task
        # The request that it runs next.
        self.exchange: Exchange | None = None

    def wake(self, exchange: Exchange | None) -> None:
        """Run a request, or end without one; only while it waits."""
        self.exchange = exchange
        trio.lowlevel.reschedule(self._task)


class _Connection:
    """A connection of a caller."""

    def __init__(
        self,
        application: Application,
        settings: HttpSettings,
        stream: Any,
        *,
        stopping: bool = False,
    ) -> None:
        self._application = application
        self._stream = stream
        self._settings = settings
        self._parser = self._new_parser()
        # The request that `_parser` has read last, until its response ends.
        self._current: Exchange | None = None
        self._exchanges: list[Exchange] = []
        # Whether nothing more is parsed, although more may be received.
        self._parsing_ended = False
        self._disconnected = False
        self._finished = False
        self._reading_ended = False
        self._stopping = stopping
        self._read_scope = trio.CancelScope()
        # Whether a part of a head has been received.
        self._head_started = False
        self._limit_idle_time()
        if stopping:
            # The caller may not have sent its request yet.
            self._idle_deadline += _FIRST_READ_S
        self._linger_scope = trio.CancelScope()
        self._room = trio.Event()
        self._send_lock = trio.Lock()
        self._nursery: trio.Nursery
        # Worker that waits for a request, if there is one.
        self._idle_worker: _Worker | None = None
        self.held_bytes = 0
        self.pipeline = Pipeline(settings.read_ahead, _MAX_READ_AHEAD_BYTES)

    @property
    def settings(self) -> HttpSettings:
        """Settings of the server."""
        return self._settings

    @property
    def stopping(self) -> bool:
        """Whether the server stops."""
        return self._stopping

    def stop(self) -> None:
        """Close the connection after the requests that were read."""
        self._stopping = True
        self._linger_scope.deadline = min(
            self._linger_scope.deadline, trio.current_time() + _STOP_LINGER_S
        )
        if self.pipeline.empty:
            self._limit_idle_time()

    def close_after(self, exchange: Exchange) -> bool:
        """Close from a response on; return whether it is the last one."""
        is_last = self.pipeline.close_after(exchange)
        self._notify_exchanges()
        return is_last

    def resume_reading(self) -> None:
        """Let the reading task check again whether there is room."""
        self._room.set()

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        try:
            async with trio.open_nursery() as self._nursery:
                await self._read_until_closed()
                self._reading_ended = True
                self._end_idle_worker()
            if not self._disconnected:
                await self._close_gracefully()
        finally:
            await trio.aclose_forcefully(self._stream)

    async def send(self, data: bytes) -> None:
        """Send data; close the connection on cancellation."""
        if not self._send_lock.locked():
            # Locks, cancel scopes and task switches take more time than the
            # system call.
            data = self._send_now(data)
        if not data or self._disconnected:
            return
        async with self._send_lock:
            now = trio.current_time()
            # A run may be cancelled while the lock is acquired. What it has
            # begun to send is then still sent if that takes no time.
            is_cancelled = trio.current_effective_deadline() <= now
            timeout_s = _FINAL_RESPONSES_S if is_cancelled else _SEND_TIMEOUT_S
            try:
                # `trio.fail_after` is several times slower.
                with trio.CancelScope(
                    deadline=now + timeout_s, shield=is_cancelled
                ) as scope:
                    await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._disconnect()
                return
            except trio.Cancelled:
                # Part of the data may have been sent.
                await self.abort()
                raise
            if scope.cancelled_caught:
                await self.abort()

    def _send_now(self, data: bytes) -> bytes:
        """Send what a socket accepts at once; return the rest."""
        stream = self._stream
        if (
            not data
            or self._disconnected
            or not isinstance(stream, trio.SocketStream)
        ):
            return data
        try:
            return data[os.write(stream.socket.fileno(), data) :]
        except BlockingIOError:
            return data
        except OSError:
            self._disconnect()
            return b''

    async def abort(self) -> None:
        """Close the connection, in the middle of a response if need be."""
        self._disconnect()
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)

    async def reset(self) -> None:
        """Reset the connection, for servers that simulate a crash."""
        linger = struct.pack('ii', 1, 0)
        self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await self.abort()

    def end_exchange(self, exchange: Exchange) -> None:
        """Go on with the requests behind a response that has been sent."""
        parser = exchange.parser
        self._exchanges.remove(exchange)
        if self._is_last(exchange):
            self._finish()
        self.pipeline.finish(exchange)
        if self._current is exchange and not self._finished:
            self._current = None
            if not self.pipeline.closing:
                parser.start_next_cycle()
        self._notify_exchanges()
        if self._finished:
            return
        # Also in a stop: unless the response announced that the connection
        # closes, the requests behind it are answered.
        self._parse()
        if self.pipeline.empty and (self._stopping or not self._head_started):
            self._limit_idle_time()
        self._limit_head_time()
        self._room.set()

    def _update_head_limit(self) -> None:
        """Apply a changed limit to the head that is received next."""
        if (
            self._current is None
            and self._max_head_bytes != self._settings.max_head_bytes
        ):
            received = self._parser.unparsed
            self._parser = self._new_parser()
            if received:
                self._parser.receive(received)

    def _limit_head_time(self) -> None:
        """Set the time at which a head that has begun is rejected."""
        started = self._current is None and bool(self._parser.unparsed)
        timeout_s = self._settings.head_timeout_s
        if self._stopping or math.isinf(timeout_s):
            started = False
        elif started and not self._head_started:
            self._idle_deadline = trio.current_time() + timeout_s
            self._read_scope.deadline = self._idle_deadline
        self._head_started = started

    def _limit_idle_time(self) -> None:
        """Set the time at which the connection closes without a request.

        In a stop this is now. A request that the kernel has received is still
        read and answered, since trio handles it before it ends the reading.
        """
        idle_s = 0.0 if self._stopping else self._settings.idle_timeout_s
        self._idle_deadline = trio.current_time() + idle_s
        self._read_scope.deadline = self._idle_deadline

    def _is_last(self, exchange: Exchange) -> bool:
        """Return whether the connection closes after a response."""
        return (
            self._disconnected or not exchange.parser.done
        ) and not self.pipeline.is_dropped(exchange)

    def _finish(self) -> None:
        self._finished = True
        self._read_scope.cancel()
        self._room.set()

    def _disconnect(self) -> None:
        self._disconnected = True
        self._finish()
        for exchange in self._exchanges:
            exchange.disconnect()

    def _notify_exchanges(self) -> None:
        for exchange in self._exchanges:
            exchange.notify()

    async def _read_until_closed(self) -> None:
        while not self._finished:
            if self._is_full():
                self._room = trio.Event()
                await self._room.wait()
                continue
            with trio.CancelScope(
                deadline=self._idle_deadline
            ) as self._read_scope:
                await self._read(self._read_scope)
            if (
                self._read_scope.cancelled_caught
                and not self._rejects_slow_head()
            ):
                return

    async def _read(self, scope: trio.CancelScope) -> None:
        """Read until there is no room or a new cancel scope is needed."""
        while True:
            try:
                data = await self._receive()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
            if not data:
                self._disconnect()
                return
            if not self._parsing_ended:
                self._update_head_limit()
                self._parser.receive(data)
                self._parse()
                self._limit_head_time()
            # The data may have arrived together with the deadline, which
            # does not apply to what follows.
            if self._finished or scope.cancel_called or self._is_full():
                return

    async def _receive(self) -> bytes:
        """Return received data; empty at the end.

        The methods of a `trio.SocketStream` enter several context managers.
        """
        stream = self._stream
        if not isinstance(stream, trio.SocketStream):
            data: bytes = await stream.receive_some(_RECEIVE_BYTES)
            return data
        while (descriptor := stream.socket.fileno()) >= 0:
            await trio.lowlevel.wait_readable(descriptor)
            try:
                return os.read(descriptor, _RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError:
                break
        return b''

    def _rejects_slow_head(self) -> bool:
        """Reject a head that has not ended in time; False if there is none."""
        if (
            not self._head_started
            or self._stopping
            or self._finished
            or self._parsing_ended
        ):
            return False
        self._parsing_ended = True
        self._head_started = False
        self._reject_input(408)
        return True

    def _is_full(self) -> bool:
        """Return whether nothing more is read for now."""
        current = self._current
        if current is not None and current.body_bytes > _MAX_BODY_BYTES:
            return True
        return (
            not self._parsing_ended
            and not self.pipeline.has_room()
            and len(self._parser.unparsed) > _MAX_UNPARSED_BYTES
        )

    def _parse(self) -> None:
        """Handle what has been received, as far as there is room."""
        while not self._parsing_ended and self._next_request_may_begin():
            try:
                event = self._parser.next_event()
            except _http_parser.InvalidRequestError as error:
                self._parsing_ended = True
                self._reject_input(error.status)
                return
            if isinstance(event, _http_parser.RequestHead):
                self._start_exchange(event)
            elif event is None or self._current is None:
                return
            elif isinstance(event, bytes):
                self._current.add_body(event)
            else:
                self._current.end_body()

    def _next_request_may_begin(self) -> bool:
        """Return whether to parse on, with a new parser if needed."""
        if self._finished or self.pipeline.closing:
            return False
        if self._current is None:
            return self.pipeline.has_room()
        if not self._current.body_ended:
            return True
        if (
            not self._parser.unparsed
            or not self._parser.request_done
            or not self.pipeline.has_room()
        ):
            return False
        following = self._parser.take_unparsed()
        self._parser = self._new_parser()
        self._parser.receive(following)
        self._current = None
        return True

    def _start_exchange(self, head: _http_parser.RequestHead) -> Exchange:
        exchange = Exchange(self, self._parser, head)
        self._current = exchange
        self._exchanges.append(exchange)
        self.pipeline.add(exchange)
        self._idle_deadline = self._read_scope.deadline = math.inf
        worker, self._idle_worker = self._idle_worker, None
        if worker is None:
            self._nursery.start_soon(self._run_exchanges, exchange)
        else:
            worker.wake(exchange)
        return exchange

    async def _run_exchanges(self, exchange: Exchange) -> None:
        """Run a request, then others of this connection.

        Starting and ending a task for each of them would take more time.
        """
        worker = _Worker(trio.lowlevel.current_task())
        following: Exchange | None = exchange
        # The task must not keep a request in memory while it waits.
        del exchange
        while following is not None:
            await following.run(self._application)
            following = None
            if self._reading_ended or self._idle_worker is not None:
                return
            self._idle_worker = worker
            await trio.lowlevel.wait_task_rescheduled(self._abort_idle_worker)
            following, worker.exchange = worker.exchange, None

    def _abort_idle_worker(self, _: object) -> trio.lowlevel.Abort:
        self._idle_worker = None
        return trio.lowlevel.Abort.SUCCEEDED

    def _end_idle_worker(self) -> None:
        worker, self._idle_worker = self._idle_worker, None
        if worker is not None:
            worker.wake(None)

    def _reject_input(self, status: int) -> None:
        """Respond to input that is not a valid request, in its turn."""
        exchange = self._current
        if exchange is None:
            exchange = self._start_exchange(
                _http_parser.RequestHead(b'GET', b'/', [(b'host', b'invalid')])
            )
        exchange.fail(status)

    def _new_parser(self) -> _http_parser.RequestParser:
        self._max_head_bytes = self._settings.max_head_bytes
        return _http_parser.RequestParser(self._max_head_bytes)

    async def _close_gracefully(self) -> None:
        """Let the caller receive the last response before the end."""
        with trio.move_on_after(_SEND_TIMEOUT_S):
            try:
                await self._stream.send_eof()
                if self._finished and await self._discard_input():
                    return
                await self._wait_until_delivered()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def _discard_input(self) -> bool:
        """Discard input for a time; return whether the caller has closed."""
        self._linger_scope.deadline = trio.current_time() + (
            _STOP_LINGER_S if self._stopping else _LINGER_S
        )
        with self._linger_scope:
            discarded = 0
            while discarded < _MAX_LINGER_BYTES:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
                if not data:
                    return True
                discarded += len(data)
            await trio.sleep_forever()
        return False

    async def _wait_until_delivered(self) -> None:
        """Wait until the kernel of the caller has received all data."""
        while True:
            if not _has_unsent_data(self._stream):
                return
            await trio.sleep(_UNSENT_CHECK_INTERVAL_S)


async def serve(
    application: Application,
    settings: HttpSettings,
    address: str,
    stop: trio.Event,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application without lifespan events.

    Parameters
    ----------
    application : callable
        ASGI application.
    settings : HttpSettings
        Limits and times.
    address : str
        ``<ip>:<port>`` to listen on; port 0 for any.
    stop : trio.Event
        Ends the server when set.
    task_status : trio.TaskStatus
        Receives the bound address.
    """
    host, _, port = address.rpartition(':')
    with translate_listen_errors(address):
        listeners = await trio.open_tcp_listeners(
            int(port), host=host.strip('[]'), backlog=settings.backlog
        )
    connections: set[_Connection] = set()

    async def handle(stream: trio.SocketStream) -> None:
        connection = _Connection(
            application, settings, stream, stopping=stop.is_set()
        )
        connections.add(connection)
        try:
            await connection.run()
        finally:
            connections.discard(connection)

    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as listening:

            async def listen() -> None:
                await trio.serve_listeners(
                    handle, listeners, handler_nursery=nursery
                )

            listening.start_soon(listen)
            bound = listeners[0].socket.getsockname()[1]
            task_status.started(f'{host}:{bound}')
            await stop.wait()
            await _wait_until_accepted(listeners)
            listening.cancel_scope.cancel()
        for connection in connections:
            connection.stop()
        nursery.cancel_scope.deadline = (
            trio.current_time() + settings.close_timeout_s
        )


async def _wait_until_accepted(listeners: list[trio.SocketListener]) -> None:
    """Wait until no connection is in the queues of the listeners.

    The end of a listener resets those that are.
    """
    poll = select.poll()
    for listener in listeners:
        poll.register(listener.socket.fileno(), select.POLLIN)
    with trio.move_on_after(_ACCEPT_TIMEOUT_S):
        while poll.poll(0):
            await trio.lowlevel.checkpoint()


async def serve_stream(
    application: Application, settings: HttpSettings, stream: Any
) -> None:
    """Serve one connection, for tests without sockets.

    Parameters
    ----------
    application : callable
        ASGI application.
    settings : HttpSettings
        Limits and times.
    stream : trio.abc.HalfCloseableStream
        The connection.
    """
    await _Connection(application, settings, stream).run()


def _has_unsent_data(stream: Any) -> bool:
    """Return whether the kernel of the caller has yet to receive data."""
    if not isinstance(stream, trio.SocketStream):
        return False
    queued = bytearray(4)
    try:
        state = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        assert isinstance(state, bytes)
        if state[0] == _TCP_CLOSE:
            return False
        fcntl.ioctl(stream.socket.fileno(), termios.TIOCOUTQ, queued)
    except OSError:
        # The system does not tell.
        return False
    # The end of the stream counts as one byte.
    return int.from_bytes(queued, sys.byteorder) > 1


def _body_message(data: bytes, *, more: bool) -> dict[str, Any]:
    return {'type': 'http.request', 'body': data, 'more_body': more}


def _build_scope(
    exchange: Exchange, reset: Callable[[], Awaitable[None]]
) -> dict[str, Any]:
    """Return the ASGI scope of a request."""
    head = exchange.head
    path, _, query = head.target.partition(b'?')
    return {
        'type': 'http',
        'asgi': {'spec_version': '2.1', 'version': '3.0'},
        'http_version': head.http_version.decode('ascii'),
        'method': head.method.decode('ascii'),
        'scheme': 'http',
        'path': unquote(path.decode('ascii')),
        'raw_path': path,
        'query_string': query,
        'root_path': '',
        'headers': list(head.headers),
        'state': {'exchange': exchange, 'reset': reset},
        'extensions': {},
    }
