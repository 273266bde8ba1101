"""Service ``caller``: the HTTP listener for callers."""

from __future__ import annotations

from dataclasses import dataclass
import json
import math
import random
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING
from urllib.parse import unquote

import trio

from gypsumhall.core import _tenants
from gypsumhall.core._model import RequestLimits
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
    from collections.abc import Mapping

    from gypsumhall.core._model import Route
    from gypsumhall.core._model import Tenant
    from gypsumhall.core._quotas import Decision
    from gypsumhall.core._snapshot import MatchedRoute
    from gypsumhall.core._snapshot import Snapshot
    from gypsumhall.kernel import Kernel

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

# A request whose body takes longer to arrive, in seconds, is rejected and its
# connection closed.
_BODY_TIMEOUT_S = 30.0
_MAX_KEY_BYTES = 255
_RETRY_AFTER_S = 1
# `Retry-After` in seconds when another endpoint can serve a retry at once.
# Callers for which it is used honour fractions of a second.
_FAST_RETRY_AFTER_S = 0.1
# Largest fraction by which `Retry-After` is extended, so that callers that
# were rejected at the same time do not retry at the same time.
_RETRY_JITTER = 0.5
# A request whose caller has waited longer than this, in seconds, is treated as
# a retry; a first attempt may spend as much time in transit.
_CALLER_RETRY_ELAPSED_S = 0.05
# Responses to nested calls, which the backend server makes while it runs a
# request, are useful within this share of the time limit of their route.
_NESTED_OBJECTIVE_SHARE = 0.75
# Priority of nested calls. A failed one wastes the run that waits for it,
# which takes four times as long.
_NESTED_PRIORITY = 0
# Callers are redirected to other daemons after two failed probes, which are
# sent every second. No request for `_IDLE_AFTER_S` shows that they have left.
_MIN_DRAIN_DELAY_S = 1.0
_IDLE_AFTER_S = 0.8
# Time limit in seconds for sending the response to a cancelled request.
_FINAL_RESPONSE_TIMEOUT_S = 0.1
# Limits on discarding the rest of a request body after its rejection. Closing
# a connection with unread bytes resets it, which can discard the rejection on
# its way to the caller.
_DISCARD_TIMEOUT_S = 0.5
_MAX_DISCARDED_BYTES = 256 * 1024
# Limit on the routes whose longest stated timeout is stored.
_MAX_TRACKED_ROUTES = 16_384


_NO_LIMITS = RequestLimits()


class _CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class Connectivity(Protocol):
    """Contact of a daemon with the store and other daemons."""

    @property
    def cut_off(self) -> bool:
        """Whether the installed configuration may be too old."""
        ...


class _Turn(Protocol):
    """Place of a request among those of its connection."""

    @property
    def received_at(self) -> float:
        """Time at which the request was read, by `trio.current_time`."""
        ...

    @property
    def passed_on(self) -> bool:
        """Whether the request may have been passed on."""
        ...

    @property
    def response_started(self) -> bool:
        """Whether a part of the response has been sent."""
        ...

    def try_admit(self, *, alone: bool) -> bool:
        """Return whether the request may be passed on now."""
        ...

    async def admit(self, *, alone: bool) -> None:
        """Wait until the request may be passed on."""
        ...

    def replace_response(self) -> None:
        """Drop the response that has not started."""
        ...


class _IncomingRequest:
    """A request that is being handled.

    Parameters
    ----------
    scope : dict
        ASGI scope.
    receive, send : callable
        ASGI channels.
    """

    __slots__ = (
        '_turn',
        'cancel_scope',
        'disconnected',
        'identity',
        'receive',
        'received_at',
        'request',
        'scope',
        'send',
        'waiting',
        'withdrawal',
        'withdrawn',
    )

    def __init__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.request: _calls.Request | None = None
        self.identity = _tenants.NO_TENANT
        # Set once a key has been found that may be removed.
        self.withdrawal: _calls.Withdrawal | None = None
        # Ends the request in a shutdown, when its caller leaves, or when its
        # key is removed while it waits.
        self.cancel_scope = trio.CancelScope()
        self.disconnected = False
        # Whether the request has not been given to the sender.
        self.waiting = True
        # Whether its key was removed at that time.
        self.withdrawn = False
        # Missing if the request was not received from a connection.
        self._turn: _Turn | None = scope.get('state', {}).get('exchange')
        self.received_at = (
            trio.current_time()
            if self._turn is None
            else self._turn.received_at
        )

    @property
    def passed_on(self) -> bool:
        """Whether an endpoint may have received the request."""
        return self.request is not None and (
            self._turn is None or self._turn.passed_on
        )

    @property
    def response_started(self) -> bool:
        """Whether the caller may have received a part of the response.

        Only known for requests from a connection.
        """
        return self._turn is not None and self._turn.response_started

    @property
    def may_hold_response(self) -> bool:
        """Whether the response is held until those in front are sent."""
        return self._turn is not None

    async def wait_for_turn(self, request: _calls.Request) -> None:
        """Wait until the request may be passed on.

        Its time limit runs from when it was read. One that may be repeated
        is passed on beside those in front of it.

        Raises
        ------
        CallRefusedError
            If the deadline passes.
        NotReadError
            If the connection closes before the response.
        """
        if self._turn is None or self._turn.try_admit(
            alone=not request.idempotent
        ):
            return
        with trio.move_on_at(request.deadline):
            await self._turn.admit(alone=not request.idempotent)
            return
        raise _calls.not_run(
            'deadline', 'the responses in front took until the deadline'
        )

    def withdraw(self) -> None:
        """End the request, unless a backend server may have received it."""
        if self.waiting:
            self.withdrawn = True
            self.cancel_scope.cancel(reason=_calls.KEY_REMOVED)
        if self.withdrawal is not None:
            self.withdrawal.request()

    def replace_response(self) -> None:
        """Drop the response, of which nothing has been sent."""
        if self._turn is not None:
            self._turn.replace_response()


@dataclass(slots=True, frozen=True)
class Preview:
    """How a request would be matched.

    Parameters
    ----------
    snapshot : Snapshot or None
        Installed configuration.
    matched : MatchedRoute or None
        Its route.
    identity : Identity
        Who would have sent it; `NO_TENANT` if it would be rejected.
    rejection : CallRefusedError or None
        Why it would be rejected.
    """

    snapshot: Snapshot | None
    matched: MatchedRoute | None
    identity: _tenants.Identity
    rejection: _calls.CallRefusedError | None


class _HttpSink:
    """Sends a response to the caller.

    In HTTP/1.0, a truncated response of unknown length looks like a complete
    one, so a response without a length is buffered until it is complete.
    """

    __slots__ = (
        '_buffer',
        '_buffer_budget',
        '_caller',
        '_head',
        '_incoming',
        '_started',
        'finished',
    )

    def __init__(
        self,
        incoming: _IncomingRequest,
        *,
        caller: CallerService,
        buffer_budget: _calls.ResponseBufferBudget,
    ) -> None:
        self._buffer_budget = buffer_budget
        self._incoming = incoming
        self._caller = caller
        is_http_1_0 = incoming.scope['http_version'] == '1.0'
        self._buffer: bytearray | None = bytearray() if is_http_1_0 else None
        self._head: dict[str, Any] = {}
        self._started = False
        self.finished = False

    @property
    def started(self) -> bool:
        """Whether the caller may have received a part of the response."""
        if self._incoming.may_hold_response:
            return self._incoming.response_started
        return self._started

    async def head(self, status: int, headers: _calls.Headers) -> None:
        """Store the status and headers until there is a part of the body.

        Until then a response that breaks off is replaced by another one.
        """
        if self._caller.stopping:
            headers = (*headers, (b'connection', b'close'))
        self._head = {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
        if any(name == b'content-length' for name, _ in headers):
            self._buffer = None

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Send a part of the body, or buffer it."""
        if self._buffer is not None:
            if not self._buffer_budget.take(len(data)):
                raise _calls.CallRefusedError(
                    Outcome.RUN,
                    'response-dropped',
                    'the response is too large to be held for HTTP/1.0',
                )
            self._buffer += data
            if not last:
                return
            data = bytes(self._buffer)
            length = (b'content-length', b'%d' % len(data))
            self._head['headers'] = [*self._head['headers'], length]
        now = trio.current_time()
        if (
            last
            and not self._started
            and trio.current_effective_deadline() <= now
        ):
            # The caller still waits for this response, which is complete.
            with trio.CancelScope(
                deadline=now + _FINAL_RESPONSE_TIMEOUT_S, shield=True
            ):
                await self._send_part(data, last=last)
        else:
            await self._send_part(data, last=last)

    async def _send_part(self, data: bytes, *, last: bool) -> None:
        if not self._started:
            self._started = True
            await self._incoming.send(self._head)
        self.finished = last
        await self._incoming.send(
            {
                'type': 'http.response.body',
                'body': data,
                'more_body': not last,
            }
        )

    def close(self) -> None:
        """Release the budget of a buffered response."""
        if self._buffer is not None:
            self._buffer_budget.release(len(self._buffer))
            self._buffer = None


class CallerService:
    """Serves callers over HTTP/1.1.

    Parameters
    ----------
    address : str
        ``<ip>:<port>`` to listen on; port 0 for any.
    dialect : Dialect
        Names of the headers that callers use.
    service : str
        Service on this VM, sent to backend servers as the service of the
        caller if the dialect has a header for it.
    drain_delay_s : float
        Time in seconds after the start of a graceful shutdown during which
        new requests are still accepted, until all callers know of the
        shutdown.
    cancel_after_s : float
        Time in seconds after the start of a graceful shutdown after which
        requests that still run are cancelled, so that their callers get a
        response before the process ends. Nested calls, which the backend
        server makes while it runs a request, are accepted if their deadline
        is not later. So are new requests that may not run longer, by their
        deadline and `DEADLINE_GRACE_S`; those whose callers cannot know of
        the shutdown yet are accepted with any deadline.
    connectivity : Connectivity, optional
        Whether this daemon is cut off. If so, requests that need a key are
        rejected as not run, because the key may have been removed.
    has_quotas : bool
        Whether the kernel has the service ``quotas``.
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
        connectivity: Connectivity | None = None,
        *,
        has_quotas: bool = False,
    ) -> None:
        if has_quotas:
            # Requests that arrive before it has started would not count.
            self.requires = (*self.requires, 'quotas')
        self._address = address
        self._connectivity = connectivity
        self._dialect = dialect
        self._service = service
        self._drain_delay_s = drain_delay_s
        self._cancel_after_s = cancel_after_s
        self._rng = random.Random()
        self._last_request_at = -math.inf
        self._stopping = False
        # Longest timeout that callers of a route have stated, by route.
        self._longest_timeout_s: dict[str, float] = {}
        self._bound_address = ''
        # Whether nested calls are rejected as well as new requests.
        self._rejects_nested = False
        self._accepts_until = math.inf
        self._unaware_until = math.inf
        self._cancels_at = math.inf
        # Requests in progress, to be cancelled in a graceful shutdown.
        self._request_scopes: set[trio.CancelScope] = set()
        # Requests in progress with a key, which may be removed.
        self._identified: set[_IncomingRequest] = set()
        self._tenants: Mapping[str, Tenant] = {}
        self._max_header_bytes = _calls.MAX_HEADER_BYTES
        self._max_body_bytes = _calls.MAX_REQUEST_BODY_BYTES
        self._stop = trio.Event()
        self._server_ended = trio.Event()
        self._active_requests = 0
        self._idle = trio.Event()
        self._buffered_bytes = 0
        self._call_monitor = _call_monitor.CallMonitor()
        self._http_settings: _http_server.HttpSettings
        self._distribution: _protocols.Distribution
        self._runner: _runner.RunnerService
        self._requests: _protocols.Metric
        self._latency: _protocols.Metric

    @property
    def address(self) -> str:
        """Bound address, ``<ip>:<port>``; empty before the start."""
        return self._bound_address

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
        error_headers: tuple[tuple[bytes, bytes], ...] = ()
        if self._dialect.outcome:
            outcome = Outcome.NOT_RUN.value.encode()
            error_headers = ((self._dialect.outcome, outcome),)
        self._http_settings = _http_server.HttpSettings(
            # Callers that read slowly have the time of the drain.
            close_timeout_s=math.inf,
            error_headers=error_headers,
        )
        self._apply_limits(_NO_LIMITS)
        self._on_configuration_change()
        self._distribution.subscribe(self._on_configuration_change)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._call_monitor.run)
            self._bound_address = await nursery.start(
                self._serve, self._http_settings
            )
            task_status.started()

    def _on_configuration_change(self) -> None:
        """Apply the limits; withdraw requests whose keys were removed."""
        snapshot = self._distribution.snapshot
        if snapshot is None:
            return
        self._apply_limits(snapshot.limits)
        if snapshot.tenants is self._tenants:
            return
        self._tenants = snapshot.tenants
        withdrawn = 0
        for incoming in tuple(self._identified):
            scope = incoming.scope
            host = dict(scope['headers']).get(b'host', b'').decode('latin-1')
            matched = self._match_route(snapshot, host, scope)
            route = matched.route if matched is not None else None
            if _tenants.is_revoked(snapshot, route, incoming.identity):
                incoming.withdraw()
                withdrawn += 1
        if withdrawn:
            self._events.emit(
                'requests-withdrawn', head=snapshot.version, requests=withdrawn
            )

    def _apply_limits(self, limits: RequestLimits) -> None:
        """Set the limits from the next request of each connection on."""
        self._max_header_bytes = min(
            limits.max_header_bytes or _calls.MAX_HEADER_BYTES,
            _calls.MAX_CONFIGURED_HEADER_BYTES,
        )
        self._max_body_bytes = min(
            limits.max_body_bytes or _calls.MAX_REQUEST_BODY_BYTES,
            _calls.MAX_REQUEST_BODY_BYTES,
        )
        settings = self._http_settings
        settings.max_head_bytes = self._max_header_bytes
        settings.head_timeout_s = limits.header_timeout_s or math.inf
        settings.idle_timeout_s = (
            limits.idle_timeout_s or _http_server.DEFAULT_IDLE_TIMEOUT_S
        )

    async def _serve(
        self,
        settings: _http_server.HttpSettings,
        *,
        task_status: trio.TaskStatus[str],
    ) -> None:
        await _http_server.serve(
            self._application,
            settings,
            self._address,
            self._stop,
            task_status=task_status,
        )
        self._server_ended.set()

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._stopping

    async def drain(self) -> None:
        """Reject new requests and wait for those in progress."""
        self._stopping = True
        now = trio.current_time()
        self._accepts_until = now + self._drain_delay_s
        self._unaware_until = now + min(
            self._drain_delay_s, _calls.SHUTDOWN_NOTICE_S
        )
        self._cancels_at = now + self._cancel_after_s
        self._log_shutdown_phase('callers-drain')
        with trio.CancelScope(deadline=self._cancels_at):
            await self._drain_callers()
            self._log_shutdown_phase('callers-left')
            # The backend server makes nested calls until the requests that
            # it runs have ended.
            await self._runner.drain()
            self._log_shutdown_phase('nested-calls-rejected')
            self._rejects_nested = True
            while self._active_requests:
                self._idle = trio.Event()
                await self._idle.wait()
        self._rejects_nested = True
        self._log_shutdown_phase('requests-cancelled')
        for scope in self._request_scopes:
            scope.cancel(reason='shutdown')
        self._stop.set()
        # A request that was read in the meantime is still sent a rejection.
        await self._server_ended.wait()
        self._log_shutdown_phase('connections-closed')

    def _log_shutdown_phase(self, phase: str) -> None:
        self._events.emit(
            'shutdown-phase',
            phase=phase,
            active_requests=self._active_requests,
        )

    async def _application(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        self._active_requests += 1
        try:
            await self._serve_request(scope, receive, send)
        finally:
            # A request counts as active until its rejection has been sent,
            # because a graceful shutdown closes the connections when no
            # request is active.
            self._active_requests -= 1
            if not self._active_requests:
                self._idle.set()

    async def _serve_request(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        incoming = _IncomingRequest(scope, receive, send)
        try:
            await self._respond(incoming)
        finally:
            # Reference cycles of the attempts would keep its body until the
            # next garbage collection.
            incoming.request = None

    async def _respond(self, incoming: _IncomingRequest) -> None:
        sink = _HttpSink(
            incoming, caller=self, buffer_budget=self._runner.buffer_budget
        )
        result = 'response'
        rejection: _calls.CallRefusedError | None = None
        try:
            await self._answer(incoming, sink)
        except _calls.CallRefusedError as error:
            # A traceback would keep this frame, and with it the error, and
            # the body of the request until the next garbage collection.
            rejection = error.with_traceback(None)
        except _calls.BrokenResponseError as error:
            # If the head has been sent, returning without the end of the
            # body makes the HTTP server close the connection in the
            # middle of the response.
            result = 'broken-response'
            if not sink.started:
                rejection = _calls.CallRefusedError(
                    Outcome.RUN, 'bad-response', str(error)
                )
        except _CallerDisconnectedError:
            result = 'caller-gone'
        except _http_server.NotReadError:
            result = 'not-read'
        except Exception:
            # The HTTP server responds with status 500 and logs nothing.
            self._log_unanswered(incoming, 'internal-error')
            raise
        except trio.Cancelled:
            # The process ends although the drain has not cancelled this
            # request, for example because the process was suspended then.
            await self._end_cancelled(incoming, sink)
            raise
        finally:
            sink.close()
        if rejection is not None:
            result = rejection.reason
            await self._send_rejection(incoming, rejection)
        elapsed_s = trio.current_time() - incoming.received_at
        self._requests.add(1.0, result=result)
        self._latency.add(elapsed_s)
        if result != 'response':
            self._emit_failure(incoming, result, rejection)

    async def _answer(
        self, incoming: _IncomingRequest, sink: _HttpSink
    ) -> None:
        """Read a request, wait for its turn and forward it."""
        buffered_bytes = 0
        self._request_scopes.add(incoming.cancel_scope)
        try:
            with incoming.cancel_scope:
                request = await self._read_request(incoming)
                buffered_bytes = len(request.body)
                incoming.request = request
                await incoming.wait_for_turn(request)
                await self._take_token(request)
                incoming.waiting = False
                if incoming.withdrawn:
                    # The key was removed after the wait had ended.
                    self._return_token(request)
                    raise _calls.key_removed()
                await self._forward(incoming, request, sink)
            if incoming.cancel_scope.cancelled_caught:
                if incoming.disconnected:
                    raise _CallerDisconnectedError
                if incoming.withdrawn:
                    raise _calls.key_removed()
                raise _cancelled_request_error(incoming, sink)
        finally:
            self._request_scopes.discard(incoming.cancel_scope)
            self._identified.discard(incoming)
            self._buffered_bytes -= buffered_bytes

    async def _take_token(self, request: _calls.Request) -> None:
        """Count a request against the quota of its tenant.

        Raises
        ------
        CallRefusedError
            If the tenant is over its quota, or if no daemon decides.
        """
        quotas = self._runner.quotas
        if quotas is None or not request.tenant:
            return
        decision = await quotas.decide(request.tenant)
        if decision.granted:
            return
        raise quota_error(request.tenant, decision)

    def _return_token(self, request: _calls.Request) -> None:
        """Return the share of the quota of a request that is not sent."""
        quotas = self._runner.quotas
        if quotas is not None and request.tenant:
            quotas.give_back(request.tenant, trio.current_time())

    async def _end_cancelled(
        self, incoming: _IncomingRequest, sink: _HttpSink
    ) -> None:
        """Send a last response to a request that is being cancelled."""
        error = _cancelled_request_error(incoming, sink)
        self._log_unanswered(incoming, 'stopped')
        if isinstance(error, _calls.CallRefusedError):
            with trio.CancelScope(shield=True) as response_scope:
                response_scope.deadline = (
                    trio.current_time() + _FINAL_RESPONSE_TIMEOUT_S
                )
                await self._send_rejection(incoming, error, discard=False)

    def _log_unanswered(self, incoming: _IncomingRequest, result: str) -> None:
        self._requests.add(1.0, result=result)
        self._emit_failure(incoming, result, None)

    def _emit_failure(
        self,
        incoming: _IncomingRequest,
        result: str,
        rejection: _calls.CallRefusedError | None,
    ) -> None:
        """Emit an event that says why the backend server sent no response."""
        if not self._dialect.request_id:
            return
        scope, request = incoming.scope, incoming.request
        received_at = incoming.received_at
        elapsed_s = trio.current_time() - received_at
        limit_s = request.deadline - received_at if request else 0.0
        fields = dict(scope['headers'])
        name = self._dialect.request_id
        request_id = fields.get(name, b'').decode('latin-1')
        stated = fields.get(self._dialect.deadline, b'').decode('latin-1')
        rejected = result == 'not-read' or (
            rejection is not None and rejection.outcome == Outcome.NOT_RUN
        )
        self._events.emit(
            'request-refused' if rejected else 'request-failed',
            request=request_id,
            path=scope['path'],
            tenant=incoming.identity.name,
            result=result,
            outcome=rejection.outcome.value if rejection else '',
            detail=rejection.detail if rejection else '',
            trail=rejection.trail if rejection else (),
            retry_after_ms=round(rejection.retry_after_s * 1000)
            if rejection
            else 0,
            elapsed_ms=round(elapsed_s * 1000, 1),
            stated_ms=stated,
            limit_ms=round(limit_s * 1000, 1),
            limit_by=request.limit_source if request else '',
            limit_version=request.configuration if request else 0,
            stopping=self._stopping,
        )

    async def _forward(
        self,
        incoming: _IncomingRequest,
        request: _calls.Request,
        sink: _HttpSink,
    ) -> None:
        async def wait_for_disconnect() -> None:
            while (await incoming.receive())['type'] != 'http.disconnect':
                pass
            # The HTTP library reports the end of a response in the same way.
            if not sink.finished:
                incoming.disconnected = True
                incoming.cancel_scope.cancel(reason='caller-gone')

        with self._call_monitor.watch(wait_for_disconnect):
            await self._runner.sender.send(request, sink)

    async def _read_request(
        self, incoming: _IncomingRequest
    ) -> _calls.Request:
        scope, now = incoming.scope, incoming.received_at
        version, matched, fields, identity = self._match(scope)
        # The quota of the tenant is taken here, before the body is read.
        if identity.tenant is not None:
            incoming.identity = identity
            incoming.withdrawal = _calls.Withdrawal()
            self._identified.add(incoming)
        route = matched.route
        timeout_s = _timeout_s(fields, self._dialect.deadline, route.timeout_s)
        nested = self._runner.nested_calls.is_nested(
            matched.id, now + timeout_s, now
        )
        if not nested:
            self._last_request_at = now
        if self._stopping and not self._accepts(
            now, now + timeout_s, nested=nested
        ):
            raise _calls.not_run('draining', 'this daemon is stopping')
        key = fields.get(self._dialect.key, b'')
        if len(key) > _MAX_KEY_BYTES:
            raise _calls.not_run(
                'bad-request',
                f'the idempotency key is longer than {_MAX_KEY_BYTES} bytes',
            )
        body = b''
        if _has_body(scope):
            body = await self._read_body(
                fields, incoming.receive, now + timeout_s
            )
        path = scope['raw_path']
        if scope['query_string']:
            path += b'?' + scope['query_string']
        headers = _calls.request_headers(scope['headers'], self._dialect)
        if self._dialect.caller_service:
            name = self._dialect.caller_service
            headers = (*headers, (name, self._service.encode()))
        elapsed_s = self._elapsed_s(matched.id, fields)
        objective_s = route.objective_s
        priority = identity.priority(route)
        if objective_s and nested:
            # The request that makes a nested call occupies a slot until the
            # call ends. So a late response is still useful, and nested calls
            # take precedence over new requests.
            objective_s = max(
                objective_s, _NESTED_OBJECTIVE_SHARE * route.timeout_s
            )
            priority = _NESTED_PRIORITY
        return _calls.Request(
            choose_target(route, self._rng),
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
            elapsed_s > _CALLER_RETRY_ELAPSED_S,
            'route' if timeout_s == route.timeout_s else 'caller',
            version,
            identity.name,
            incoming.withdrawal,
            nested,
        )

    def status(self, error: _calls.CallRefusedError) -> int:
        """Return the status with which a request is rejected."""
        if self._dialect.status_503_means_not_run:
            return error.status_if_503_means_not_run
        return error.status

    def min_retry_after_s(self, error: _calls.CallRefusedError) -> float:
        """Return ``Retry-After`` without jitter, in seconds; 0 for none."""
        if self.status(error) not in (429, 503):
            return 0.0
        if error.retry_after_s:
            return error.retry_after_s
        if self._dialect.status_503_means_not_run:
            return _FAST_RETRY_AFTER_S
        return _RETRY_AFTER_S

    def preview(
        self, method: str, host: str, target: str, key: bytes | None
    ) -> Preview:
        """Return how a request would be matched, without serving it.

        Parameters
        ----------
        method, host, target : str
            Method, host, and path with an optional query; in ASCII.
        key : bytes or None
            Key of the tenant.
        """
        path, _, query = target.partition('?')
        headers = [(b'host', host.encode())]
        if key is not None and self._dialect.tenant_key:
            headers.append((self._dialect.tenant_key, key))
        scope = {
            'http_version': '1.1',
            'method': method,
            'headers': headers,
            'raw_path': path.encode(),
            'path': unquote(path),
            'query_string': query.encode(),
        }
        snapshot = self._distribution.snapshot
        matched = None
        if snapshot is not None:
            matched = self._match_route(snapshot, host, scope)
        try:
            _, matched, _, identity = self._match(scope)
            now = trio.current_time()
            if self._stopping and not self._accepts(
                now, now + matched.route.timeout_s, nested=False
            ):
                raise _calls.not_run('draining', 'this daemon is stopping')
        except _calls.CallRefusedError as error:
            rejection = error.with_traceback(None)
            return Preview(snapshot, matched, _tenants.NO_TENANT, rejection)
        return Preview(snapshot, matched, identity, None)

    def _elapsed_s(self, route: str, fields: dict[bytes, bytes]) -> float:
        """Return the seconds that the caller has waited before this request.

        Callers that retry after a rejection state the rest of their timeout,
        while other callers of the same route state the whole of it.
        """
        stated_s = _stated_timeout_s(fields, self._dialect.deadline)
        if stated_s is None:
            return 0.0
        if len(self._longest_timeout_s) >= _MAX_TRACKED_ROUTES:
            self._longest_timeout_s.clear()
        longest_s = max(self._longest_timeout_s.get(route, 0.0), stated_s)
        self._longest_timeout_s[route] = longest_s
        return longest_s - stated_s

    async def _drain_callers(self) -> None:
        """Serve new requests until callers have left or the delay is over."""
        if not self._drain_delay_s:
            return
        started = trio.current_time()
        while (remaining_s := self._accepts_until - trio.current_time()) > 0:
            await trio.sleep(min(remaining_s, _IDLE_AFTER_S / 4))
            now = trio.current_time()
            idle = now - self._last_request_at >= _IDLE_AFTER_S
            if idle and now - started >= _MIN_DRAIN_DELAY_S:
                return

    def _match(
        self, scope: dict[str, Any]
    ) -> tuple[int, MatchedRoute, dict[bytes, bytes], _tenants.Identity]:
        if scope['http_version'] not in ('1.0', '1.1'):
            raise _calls.not_run('http-version', 'only HTTP/1.1 is served')
        if scope['method'] == 'CONNECT':
            raise _calls.not_run('bad-request', 'CONNECT is not supported')
        fields = dict(scope['headers'])
        if fields.get(b'upgrade', b'').lower() == b'websocket':
            raise _calls.not_run('websocket', 'WebSocket is not supported')
        head_bytes = _calls.header_bytes(scope['headers'])
        head_bytes += len(scope['raw_path']) + len(scope['query_string'])
        if head_bytes > self._max_header_bytes:
            raise _calls.not_run(
                'headers-too-large',
                f'the head exceeds {self._max_header_bytes} bytes',
            )
        snapshot = self._distribution.snapshot
        if snapshot is None:
            raise _calls.not_run('not-ready', 'no configuration installed yet')
        host = fields.get(b'host', b'').decode('latin-1')
        matched = self._match_route(snapshot, host, scope)
        if matched is None:
            raise _calls.not_run(
                'unknown-route', f'no route for {host!r} {scope["path"]!r}'
            )
        identity = self._identify(snapshot, matched.route, scope)
        return snapshot.version, matched, fields, identity

    def _match_route(
        self, snapshot: Snapshot, host: str, scope: dict[str, Any]
    ) -> MatchedRoute | None:
        literal = self._dialect.literal_prefixes
        path = (
            scope['raw_path'].decode('latin-1') if literal else (scope['path'])
        )
        return snapshot.match(host, path, exact=literal)

    def _identify(
        self, snapshot: Snapshot, route: Route, scope: dict[str, Any]
    ) -> _tenants.Identity:
        """Return who sent a request.

        Raises
        ------
        CallRefusedError
            If the route requires a key that the request does not have.
        """
        if not self._dialect.tenant_key or not snapshot.has_tenants:
            return _tenants.NO_TENANT
        keys = [
            value
            for name, value in scope['headers']
            if name == self._dialect.tenant_key
        ]
        identity = _tenants.identify(snapshot, route, keys)
        connectivity = self._connectivity
        if (
            connectivity is not None
            and connectivity.cut_off
            and not route.public
        ):
            raise _calls.not_run(
                'cut-off', 'the keys of this daemon may be out of date'
            )
        if identity.reason:
            raise _calls.not_run(identity.reason, identity.detail)
        return identity

    def _accepts(self, now: float, deadline: float, *, nested: bool) -> bool:
        """Return whether a request is accepted in a graceful shutdown."""
        if nested:
            return not self._rejects_nested and deadline <= self._cancels_at
        if now >= self._accepts_until or self._stop.is_set():
            return False
        run_until = deadline + _calls.DEADLINE_GRACE_S
        return now < self._unaware_until or run_until <= self._cancels_at

    async def _read_body(
        self, fields: dict[bytes, bytes], receive: Receive, deadline: float
    ) -> bytes:
        content_length = fields.get(b'content-length', b'0')
        limit = self._max_body_bytes
        if int(content_length) > limit:
            raise _too_large_error(limit)
        body = bytearray()
        complete = False
        deadline = min(deadline, trio.current_time() + _BODY_TIMEOUT_S)
        try:
            with trio.move_on_at(deadline):
                while not complete:
                    message = await receive()
                    if message['type'] == 'http.disconnect':
                        raise _CallerDisconnectedError
                    body += message['body']
                    self._buffered_bytes += len(message['body'])
                    if len(body) > limit:
                        raise _too_large_error(limit)
                    if (
                        self._buffered_bytes
                        > _calls.MAX_BUFFERED_REQUEST_BYTES
                    ):
                        raise _calls.not_run(
                            'overloaded', 'too many request bodies'
                        )
                    complete = not message['more_body']
        finally:
            if not complete:
                self._buffered_bytes -= len(body)
                # The traceback of an error keeps it otherwise.
                body.clear()
        if not complete:
            raise _calls.not_run(
                'body-timeout', 'the request body did not arrive in time'
            )
        return bytes(body)

    async def _send_rejection(
        self,
        incoming: _IncomingRequest,
        error: _calls.CallRefusedError,
        *,
        discard: bool = True,
    ) -> None:
        """Send a rejection, then discard a body that was not read.

        Parameters
        ----------
        incoming : _IncomingRequest
            The request.
        error : CallRefusedError
            Reason.
        discard : bool
            Whether there is time to discard the body.
        """
        incoming.replace_response()
        send = incoming.send
        head_only = incoming.scope['method'] == 'HEAD'
        body_unread = (
            discard
            and incoming.request is None
            and not head_only
            and _has_body(incoming.scope)
        )
        dialect = self._dialect
        status = self.status(error)
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
        if status == 401:
            # RFC 9110, section 11.6.1, requires a challenge.
            challenge = (b'www-authenticate', self._dialect.tenant_key)
            headers = [*headers, challenge]
        if status in (429, 503):
            value = b'%d' % _RETRY_AFTER_S
            if dialect.status_503_means_not_run or error.retry_after_s:
                value = _retry_after(error, self._rng)
            headers = [*headers, (b'retry-after', value)]
        closing_reasons = (
            'draining',
            'request-too-large',
            'body-timeout',
            'stopped',
        )
        # A caller that waits to be asked for its body may not send it.
        expects_continue = body_unread and any(
            name == b'expect' for name, _ in incoming.scope['headers']
        )
        if (
            self._stopping
            or expects_continue
            or error.reason in closing_reasons
        ):
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
                'more_body': body_unread,
            }
        )
        if body_unread:
            await _discard_body(incoming.receive)
            await send({'type': 'http.response.body', 'more_body': False})


def _has_body(scope: dict[str, Any]) -> bool:
    names = [name for name, _ in scope['headers']]
    return b'content-length' in names or b'transfer-encoding' in names


async def _discard_body(receive: Receive) -> None:
    """Read the rest of a request body, up to a limit."""
    discarded = 0
    with trio.move_on_after(_DISCARD_TIMEOUT_S):
        while discarded <= _MAX_DISCARDED_BYTES:
            message = await receive()
            if not message.get('more_body', False):
                return
            discarded += len(message['body'])


def _cancelled_request_error(
    incoming: _IncomingRequest, sink: _HttpSink
) -> _calls.CallRefusedError | _calls.BrokenResponseError:
    """Return the error of a request that a graceful shutdown cancelled."""
    if not incoming.passed_on:
        return _calls.not_run('draining', 'this daemon is stopping')
    if sink.started:
        return _calls.BrokenResponseError('this daemon stopped')
    return _calls.CallRefusedError(
        Outcome.UNKNOWN, 'stopped', 'this daemon stopped during the request'
    )


def quota_error(tenant: str, decision: Decision) -> _calls.CallRefusedError:
    """Return the rejection of a request that got no token."""
    code, detail = 'over-quota', f'tenant {tenant} is over its quota'
    if decision.reason != 'over-quota':
        code, detail = 'quota-undecided', 'no daemon decides on the quota'
    return _calls.CallRefusedError(
        Outcome.NOT_RUN, code, detail, decision.retry_after_s
    )


def choose_target(route: Route, rng: random.Random) -> str:
    """Return the service that a request of a route is sent to."""
    if not route.targets:
        return route.service
    weights = [target.weight for target in route.targets]
    if not any(weights):
        return route.service
    chosen = rng.choices(route.targets, weights)[0]
    return chosen.service


def _stated_timeout_s(fields: dict[bytes, bytes], name: bytes) -> float | None:
    """Return the timeout in seconds that the caller states, if any."""
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
    stated_s = _stated_timeout_s(fields, name)
    if stated_s is None:
        return route_s
    if stated_s <= 0:
        raise _calls.not_run('deadline', 'the deadline has passed')
    return min(stated_s, route_s)


def _retry_after(error: _calls.CallRefusedError, rng: random.Random) -> bytes:
    """Return the value of ``Retry-After``, with random jitter."""
    factor = 1.0 + _RETRY_JITTER * rng.random()
    return b'%.3f' % ((error.retry_after_s or _FAST_RETRY_AFTER_S) * factor)


def _too_large_error(limit: int) -> _calls.CallRefusedError:
    return _calls.not_run(
        'request-too-large',
        f'request bodies may have {limit} bytes',
    )
