"""Service ``caller``: the HTTP listener for callers."""

from __future__ import annotations

from contextvars import ContextVar
import json
import math
import random
from typing import Any
from typing import TYPE_CHECKING

import hypercorn.config
import trio

from gypsumhall.net._messages import Outcome
from gypsumhall.services import _call_monitor
from gypsumhall.services import _calls
from gypsumhall.services import _http_server
from gypsumhall.services import _protocols
from gypsumhall.services import _runner

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumhall.core._model import Route
    from gypsumhall.core._snapshot import MatchedRoute
    from gypsumhall.kernel import Kernel

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

# Bytes of request bodies that may be held at the same time.
_MAX_BUFFERED = 64 * 1024 * 1024
# A caller that sends its body more slowly than this is cut off, in seconds.
_BODY_TIMEOUT_S = 30.0
_MAX_KEY_BYTES = 255
_RETRY_AFTER_S = 1
# Time in seconds after which a caller may return when another endpoint can
# serve it; callers there honour fractions.
_RETRY_SOON_S = 0.1
# Largest part by which a known time is extended, so that callers that were
# refused together do not return together.
_RETRY_SPREAD = 0.5
# Time that a caller may have spent on its way here in a first attempt.
_RETURNING_S = 0.05
# Time limit in seconds up to which a route is taken for one that is called
# while other requests run, and the part of it in which responses are useful.
_SHORT_S = 0.5
_SHORT_SHARE = 0.75
# Rank of such calls. One that fails wastes the run that waits for it, which
# takes four times as long.
_NESTED_PRIORITY = 0
# Callers are told to go elsewhere once they have missed two questions that
# are asked every second; no request for a while shows that they have gone.
_NOTICE_S = 1.0
_QUIET_S = 0.8
# Callers may not know of a planned stop in its first 3 s, by the users' rules,
# which excuse that a request from that time is cut by the end of the daemon.
# The rest is for the way of the request and of SIGTERM.
_UNNOTICED_S = 2.9
# Time in seconds in which connections end once all requests have. Only
# requests that were read in the same moment need it, for their refusal.
_CLOSE_S = 0.5
# Time in seconds in which a request that is cancelled may still be answered.
_LAST_S = 0.1
# Routes whose longest stated time is kept.
_MAX_ROUTES = 16_384

# Set in the tasks that handle requests. Responses made elsewhere are those
# of the HTTP library to input that is not a valid request.
_in_request: ContextVar[bool] = ContextVar('in_request', default=False)


class _Config(hypercorn.config.Config):
    """Marks refusals by the HTTP library as ``not-run``."""

    def __init__(self, dialect: _calls.Dialect) -> None:
        super().__init__()
        self._dialect = dialect

    def response_headers(self, protocol: str) -> list[tuple[bytes, bytes]]:
        if _in_request.get() or not self._dialect.outcome:
            return []
        return [(self._dialect.outcome, Outcome.NOT_RUN.value.encode())]


class _CallerGoneError(Exception):
    """The caller closed its connection."""


class _HttpSink:
    """Passes a response to the caller.

    HTTP/1.0 cannot tell a response of unknown length that broke off from a
    whole one, so such a response is held until it is complete.
    """

    __slots__ = (
        '_caller',
        '_head',
        '_buffer_budget',
        '_hold',
        '_send',
        'finished',
        'started',
    )

    def __init__(
        self,
        send: Send,
        *,
        is_http_1_0: bool,
        caller: CallerService,
        buffer_budget: _calls.ResponseBufferBudget,
    ) -> None:
        self._buffer_budget = buffer_budget
        self._send = send
        self._caller = caller
        self._hold: bytearray | None = bytearray() if is_http_1_0 else None
        self._head: dict[str, Any] = {}
        self.started = False
        self.finished = False

    async def head(self, status: int, headers: _calls.Headers) -> None:
        """Take the status and the headers."""
        if self._caller.stopping:
            headers = (*headers, (b'connection', b'close'))
        self._head = {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
        if any(name == b'content-length' for name, _ in headers):
            self._hold = None
        if self._hold is None:
            self.started = True
            await self._send(self._head)

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Take a part of the body."""
        if self._hold is not None:
            if not self._buffer_budget.take(len(data)):
                raise _calls.CallRefusedError(
                    Outcome.RUN,
                    'response-dropped',
                    'the response is too large to be held for HTTP/1.0',
                )
            self._hold += data
            if not last:
                return
            data = bytes(self._hold)
            length = (b'content-length', b'%d' % len(data))
            self._head['headers'] = [*self._head['headers'], length]
            self.started = True
            await self._send(self._head)
        self.finished = last
        await self._send(
            {
                'type': 'http.response.body',
                'body': data,
                'more_body': not last,
            }
        )

    def close(self) -> None:
        """Give back the room of a response that was held."""
        if self._hold is not None:
            self._buffer_budget.release(len(self._hold))
            self._hold = None


class CallerService:
    """Serves callers over HTTP/1.1.

    Parameters
    ----------
    address : str
        ``<ip>:<port>`` to listen on; port 0 for any.
    dialect : Dialect
        Names of the headers that callers use.
    service : str
        Service on this VM, which backend servers are told as the caller's;
        used if the dialect has a header for it.
    drain_delay_s : float
        Time in seconds after the start of a planned stop in which new
        requests are still taken, until all callers know of it.
    cancel_after_s : float
        Time in seconds after the start of a planned stop after which requests
        that still run are given up, so that their callers get an answer
        before the process ends. Calls of running requests are taken while
        they end before that. So are new requests, of which those are taken
        in any case whose callers cannot know of the stop yet.
    """

    name = 'caller'
    requires: tuple[str, ...] = ('runner', 'distribution', 'events', 'metrics')

    def __init__(
        self,
        address: str,
        dialect: _calls.Dialect = _calls.DEFAULT_DIALECT,
        service: str = '',
        drain_delay_s: float = 0.0,
        cancel_after_s: float = math.inf,
    ) -> None:
        self._address = address
        self._dialect = dialect
        self._service = service
        self._linger_s = drain_delay_s
        self._end_s = cancel_after_s
        self._rng = random.Random()
        self._last_request = -math.inf
        self._stopping = False
        # Longest time that callers of a route were seen to wait, by route.
        self._longest_s: dict[str, float] = {}
        self._bound = ''
        # Set when calls of running requests are refused as well.
        self._closed = False
        self._lingers_until = math.inf
        self._unnoticed_until = math.inf
        self._ends_at = math.inf
        # Requests in progress, for the end of a planned stop.
        self._running: set[trio.CancelScope] = set()
        self._stop = trio.Event()
        self._ended = trio.Event()
        self._active = 0
        self._idle = trio.Event()
        self._buffered = 0
        self._call_monitor = _call_monitor.CallMonitor()
        self._distribution: _protocols.Distribution
        self._runner: _runner.RunnerService
        self._requests: _protocols.Metric
        self._latency: _protocols.Metric

    @property
    def address(self) -> str:
        """Bound address, ``<ip>:<port>``; empty before the start."""
        return self._bound

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        self._runner = kernel.get('runner', _runner.RunnerService)
        self._distribution = kernel.get(
            'distribution', _protocols.Distribution
        )
        metrics = kernel.get('metrics', _protocols.Metrics)
        self._requests = metrics.counter(
            'gypsumhall_caller_requests_total',
            'Requests of callers, by result.',
        )
        self._latency = metrics.histogram(
            'gypsumhall_caller_latency_seconds',
            'Time from a whole request to the end of its response.',
        )
        self._events = kernel.get('events', _protocols.Events)
        config = _Config(self._dialect)
        config.backlog = 1024
        config.h11_max_incomplete_size = _calls.MAX_HEADER_BYTES
        config.keep_alive_timeout = 60.0
        config.keep_alive_max_requests = 1_000_000
        config.graceful_timeout = _CLOSE_S
        config.errorlog = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._call_monitor.run)
            self._bound = await nursery.start(self._serve, config)
            task_status.started()

    async def _serve(
        self, config: _Config, *, task_status: trio.TaskStatus[str]
    ) -> None:
        await _http_server.serve(
            self._application,
            config,
            self._address,
            self._stop,
            task_status=task_status,
        )
        self._ended.set()

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stopping

    async def drain(self) -> None:
        """Refuse new requests and wait for those in flight."""
        self._stopping = True
        now = trio.current_time()
        self._lingers_until = now + self._linger_s
        self._unnoticed_until = now + min(self._linger_s, _UNNOTICED_S)
        self._ends_at = now + self._end_s
        with trio.CancelScope(deadline=self._ends_at):
            await self._linger()
            # Runs on the backend server make calls of their own until they
            # end.
            await self._runner.drain()
            self._closed = True
            while self._active:
                self._idle = trio.Event()
                await self._idle.wait()
        self._closed = True
        for scope in self._running:
            scope.cancel()
        self._stop.set()
        # A request that was read in the meantime still gets its refusal.
        await self._ended.wait()

    async def _application(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        if scope['type'] != 'http':
            # The HTTP library refuses the upgrade with status 403.
            await receive()
            await send({'type': 'websocket.close', 'code': 1003})
            return
        _in_request.set(True)
        self._active += 1
        try:
            await self._serve_request(scope, receive, send)
        finally:
            # Not before a refusal has been sent: a planned stop ends the
            # connections when no request is left.
            self._active -= 1
            if not self._active:
                self._idle.set()

    async def _serve_request(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        started = trio.current_time()
        sink = _HttpSink(
            send,
            is_http_1_0=scope['http_version'] == '1.0',
            caller=self,
            buffer_budget=self._runner.buffer_budget,
        )
        result = 'response'
        refusal: _calls.CallRefusedError | None = None
        request: _calls.Request | None = None
        buffer_budget = 0
        limit = trio.CancelScope()
        self._running.add(limit)
        try:
            with limit:
                request = await self._read(scope, receive)
                buffer_budget = len(request.body)
                await self._forward(request, sink, receive)
            if limit.cancelled_caught:
                raise _given_up(request, sink)
        except _calls.CallRefusedError as error:
            refusal = error
        except _calls.BrokenResponseError as error:
            # When the head has been sent, returning without the end of the
            # body makes the HTTP library close the connection in the
            # middle of the response.
            result = 'broken-response'
            if not sink.started:
                refusal = _calls.CallRefusedError(
                    Outcome.RUN, 'bad-response', str(error)
                )
        except _CallerGoneError:
            result = 'caller-gone'
        except trio.Cancelled:
            # The process ends, for example because it stood still when the
            # drain should have given this request up.
            end = _given_up(request, sink)
            if isinstance(end, _calls.CallRefusedError):
                is_head = scope['method'] == 'HEAD'
                with trio.CancelScope(shield=True) as last:
                    last.deadline = trio.current_time() + _LAST_S
                    await self._send_refusal(send, end, head_only=is_head)
            raise
        finally:
            self._running.discard(limit)
            sink.close()
            self._buffered -= buffer_budget
        if refusal is not None:
            result = refusal.reason
            is_head = scope['method'] == 'HEAD'
            await self._send_refusal(send, refusal, head_only=is_head)
        elapsed_s = trio.current_time() - started
        self._requests.add(1.0, result=result)
        self._latency.add(elapsed_s)
        if result != 'response' and self._dialect.request_id:
            limit_s = request.deadline - started if request else 0.0
            self._log_end(scope, result, refusal, elapsed_s, limit_s)

    def _log_end(
        self,
        scope: dict[str, Any],
        result: str,
        refusal: _calls.CallRefusedError | None,
        elapsed_s: float,
        limit_s: float,
    ) -> None:
        """Record why a request got no response of a backend server."""
        fields = dict(scope['headers'])
        name = self._dialect.request_id
        request_id = fields.get(name, b'').decode('latin-1')
        stated = fields.get(self._dialect.deadline, b'').decode('latin-1')
        refused = refusal is not None and refusal.outcome == Outcome.NOT_RUN
        self._events.emit(
            'request-refused' if refused else 'request-failed',
            request=request_id,
            path=scope['path'],
            result=result,
            outcome=refusal.outcome.value if refusal else '',
            detail=refusal.detail if refusal else '',
            trail=refusal.trail if refusal else (),
            retry_after_ms=round(refusal.retry_after_s * 1000)
            if refusal
            else 0,
            elapsed_ms=round(elapsed_s * 1000, 1),
            stated_ms=stated,
            limit_ms=round(limit_s * 1000, 1),
            stopping=self._stopping,
        )

    async def _forward(
        self, request: _calls.Request, sink: _HttpSink, receive: Receive
    ) -> None:
        async def watch() -> None:
            while (await receive())['type'] != 'http.disconnect':
                pass
            # The end of the response is reported in the same way.
            if not sink.finished:
                scope.cancel()

        with trio.CancelScope() as scope, self._call_monitor.watch(watch):
            await self._runner.sender.send(request, sink)
        if scope.cancelled_caught:
            raise _CallerGoneError

    async def _read(
        self, scope: dict[str, Any], receive: Receive
    ) -> _calls.Request:
        now = trio.current_time()
        matched, fields = self._match(scope)
        route = matched.route
        if not _is_nested(route):
            self._last_request = now
        timeout_s = _timeout_s(fields, self._dialect.deadline, route.timeout_s)
        if self._stopping and not self._takes(route, now, now + timeout_s):
            raise _calls.not_run('draining', 'this daemon is stopping')
        key = fields.get(self._dialect.key, b'')
        if len(key) > _MAX_KEY_BYTES:
            raise _calls.not_run(
                'bad-request',
                f'the idempotency key is longer than {_MAX_KEY_BYTES} bytes',
            )
        body = b''
        if b'content-length' in fields or b'transfer-encoding' in fields:
            body = await self._read_body(fields, receive)
        path = scope['raw_path']
        if scope['query_string']:
            path += b'?' + scope['query_string']
        headers = _calls.request_headers(scope['headers'], self._dialect)
        if self._dialect.caller_service:
            name = self._dialect.caller_service
            headers = (*headers, (name, self._service.encode()))
        elapsed_s = self._elapsed_s(matched.id, fields)
        objective_s = route.objective_s
        priority = route.priority
        if objective_s and _is_nested(route):
            # Other requests hold slots until such a call ends, so it is of
            # use until its time limit and goes before new work.
            objective_s = max(objective_s, _SHORT_SHARE * route.timeout_s)
            priority = _NESTED_PRIORITY
        return _calls.Request(
            _choose_target(route, self._rng),
            matched.id,
            scope['method'],
            path.decode('ascii'),
            headers,
            body,
            now + timeout_s,
            route.is_idempotent(scope['method']),
            key.decode('latin-1'),
            now + objective_s - elapsed_s if objective_s else 0.0,
            priority,
            route.attempts,
            elapsed_s > _RETURNING_S,
        )

    def _elapsed_s(self, route: str, fields: dict[bytes, bytes]) -> float:
        """Return for how long the caller has waited before this request.

        Callers that return after a refusal state what is left of their
        time, while others of the same route state all of it.
        """
        stated_s = _stated_s(fields, self._dialect.deadline)
        if stated_s is None:
            return 0.0
        if len(self._longest_s) >= _MAX_ROUTES:
            self._longest_s.clear()
        longest_s = max(self._longest_s.get(route, 0.0), stated_s)
        self._longest_s[route] = longest_s
        return longest_s - stated_s

    async def _linger(self) -> None:
        """Serve new requests until callers have gone elsewhere."""
        if not self._linger_s:
            return
        started = trio.current_time()
        while (left := self._lingers_until - trio.current_time()) > 0:
            await trio.sleep(min(left, _QUIET_S / 4))
            now = trio.current_time()
            quiet = now - self._last_request >= _QUIET_S
            if quiet and now - started >= _NOTICE_S:
                return

    def _match(
        self, scope: dict[str, Any]
    ) -> tuple[MatchedRoute, dict[bytes, bytes]]:
        if scope['http_version'] not in ('1.0', '1.1'):
            raise _calls.not_run('http-version', 'only HTTP/1.1 is served')
        if scope['method'] == 'CONNECT':
            raise _calls.not_run('bad-request', 'CONNECT is not supported')
        if _calls.header_bytes(scope['headers']) > _calls.MAX_HEADER_BYTES:
            raise _calls.not_run(
                'headers-too-large',
                f'headers exceed {_calls.MAX_HEADER_BYTES} bytes',
            )
        snapshot = self._distribution.snapshot
        if snapshot is None:
            raise _calls.not_run('not-ready', 'no configuration installed yet')
        fields = dict(scope['headers'])
        host = fields.get(b'host', b'').decode('latin-1')
        literal = self._dialect.literal_prefixes
        path = (
            scope['raw_path'].decode('latin-1') if literal else (scope['path'])
        )
        matched = snapshot.match(host, path, exact=literal)
        if matched is None:
            raise _calls.not_run(
                'unknown-route', f'no route for {host!r} {scope["path"]!r}'
            )
        return matched, fields

    def _takes(self, route: Route, now: float, deadline: float) -> bool:
        """Whether a request that arrives during a planned stop is taken."""
        if _is_nested(route):
            return not self._closed and deadline <= self._ends_at
        if now >= self._lingers_until or self._stop.is_set():
            return False
        return now < self._unnoticed_until or deadline <= self._ends_at

    async def _read_body(
        self, fields: dict[bytes, bytes], receive: Receive
    ) -> bytes:
        too_large = _calls.not_run(
            'request-too-large',
            f'request bodies may have {_calls.MAX_REQUEST_BODY_BYTES} bytes',
        )
        announced = fields.get(b'content-length', b'0')
        if int(announced) > _calls.MAX_REQUEST_BODY_BYTES:
            raise too_large
        body = bytearray()
        whole = False
        try:
            with trio.move_on_after(_BODY_TIMEOUT_S):
                while not whole:
                    message = await receive()
                    if message['type'] == 'http.disconnect':
                        raise _CallerGoneError
                    body += message['body']
                    self._buffered += len(message['body'])
                    if len(body) > _calls.MAX_REQUEST_BODY_BYTES:
                        raise too_large
                    if self._buffered > _MAX_BUFFERED:
                        raise _calls.not_run(
                            'overloaded', 'too many request bodies'
                        )
                    whole = not message['more_body']
        finally:
            if not whole:
                self._buffered -= len(body)
        if not whole:
            raise _calls.not_run(
                'body-timeout', 'the request body did not arrive in time'
            )
        return bytes(body)

    async def _send_refusal(
        self, send: Send, error: _calls.CallRefusedError, *, head_only: bool
    ) -> None:
        dialect = self._dialect
        status = error.status
        if dialect.status_503_means_not_run:
            status = error.status_if_503_means_not_run
        body = json.dumps(
            {
                'type': f'urn:gypsumhall:refusal:{error.reason}',
                'title': 'The request was refused',
                'status': status,
                'code': error.reason,
                'detail': error.detail,
                'outcome': error.outcome.value,
            }
        ).encode()
        headers: Iterable[tuple[bytes, bytes]] = [
            (b'content-type', b'application/problem+json'),
            (b'content-length', b'%d' % len(body)),
        ]
        if dialect.outcome:
            outcome = (dialect.outcome, error.outcome.value.encode())
            headers = [*headers, outcome]
        if status == 503:
            value = b'%d' % _RETRY_AFTER_S
            if dialect.status_503_means_not_run or error.retry_after_s:
                value = _retry_after(error, self._rng)
            headers = [*headers, (b'retry-after', value)]
        closing = ('draining', 'request-too-large', 'body-timeout', 'stopped')
        if self._stopping or error.reason in closing:
            headers = [*headers, (b'connection', b'close')]
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        await send(
            {
                'type': 'http.response.body',
                'body': b'' if head_only else body,
                'more_body': False,
            }
        )


def _given_up(
    request: _calls.Request | None, sink: _HttpSink
) -> _calls.CallRefusedError | _calls.BrokenResponseError:
    """Return the end of a request that the end of a planned stop cut."""
    if request is None:
        return _calls.not_run('draining', 'this daemon is stopping')
    if sink.started:
        return _calls.BrokenResponseError('this daemon stopped')
    return _calls.CallRefusedError(
        Outcome.UNKNOWN, 'stopped', 'this daemon stopped during the request'
    )


def _is_nested(route: Route) -> bool:
    """Whether the calls of a route are taken for those of running requests.

    Both come from the same address, and nothing else tells them apart.
    """
    return route.timeout_s <= _SHORT_S


def _choose_target(route: Route, rng: random.Random) -> str:
    """Return the service that gets a request of a route."""
    if not route.targets:
        return route.service
    weights = [target.weight for target in route.targets]
    if not any(weights):
        return route.service
    chosen = rng.choices(route.targets, weights)[0]
    return chosen.service


def _stated_s(fields: dict[bytes, bytes], name: bytes) -> float | None:
    """Return how many seconds the caller waits, or None if it is silent."""
    value = fields.get(name)
    if value is None:
        return None
    try:
        stated_s = float(value) / 1000
    except ValueError:
        stated_s = math.nan
    if math.isnan(stated_s):
        raise _calls.not_run(
            'bad-request',
            f'{name.decode()} is {value!r}, expected milliseconds',
        )
    return stated_s


def _timeout_s(
    fields: dict[bytes, bytes], name: bytes, route_s: float
) -> float:
    stated_s = _stated_s(fields, name)
    if stated_s is None:
        return route_s
    if stated_s <= 0:
        raise _calls.not_run('deadline', 'the deadline has passed')
    return min(stated_s, route_s)


def _retry_after(error: _calls.CallRefusedError, rng: random.Random) -> bytes:
    """Return the value of ``Retry-After``, spread over callers."""
    spread = 1.0 + _RETRY_SPREAD * rng.random()
    return b'%.3f' % ((error.retry_after_s or _RETRY_SOON_S) * spread)
