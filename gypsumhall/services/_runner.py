"""Service ``runner``: server-side proxy for the backend server on this VM."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
import functools
import math
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall._errors import GypsumhallError
from gypsumhall._errors import PeerError
from gypsumhall.core._hedge_policy import HedgePolicy
from gypsumhall.core._hedge_policy import HedgeSettings
from gypsumhall.core._ledger import Entry
from gypsumhall.core._ledger import EntryState
from gypsumhall.core._ledger import Ledger
from gypsumhall.core._load_balancer import ANY_VERSION
from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState
from gypsumhall.core._nested_calls import NestedCallDetector
from gypsumhall.core._server_load import ServerSpeed
from gypsumhall.core._stops import EndpointAvailability
from gypsumhall.core._waiting import AdmissionDecision
from gypsumhall.core._waiting import CallQueue
from gypsumhall.core._waiting import QueuedCall
from gypsumhall.net._messages import AnswerEnd
from gypsumhall.net._messages import BodyChunk
from gypsumhall.net._messages import CallCancel
from gypsumhall.net._messages import CallQuery
from gypsumhall.net._messages import CallRefused
from gypsumhall.net._messages import CallStart
from gypsumhall.net._messages import CallWithdraw
from gypsumhall.net._messages import KeyHandover
from gypsumhall.net._messages import KeyRelease
from gypsumhall.net._messages import Load
from gypsumhall.net._messages import Outcome
from gypsumhall.net._protocol import PeerNetwork
from gypsumhall.services import _backend_client
from gypsumhall.services import _call_monitor
from gypsumhall.services import _calls
from gypsumhall.services import _cold_monitor
from gypsumhall.services import _deadlines
from gypsumhall.services import _keys
from gypsumhall.services import _protocols
from gypsumhall.services import _responses
from gypsumhall.services import _sender

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from gypsumhall.kernel import Kernel
    from gypsumhall.net._protocol import Exchange

_MAINTENANCE_INTERVAL_S = 1.0
# Interval at which queued calls that can no longer be served are evicted.
_QUEUE_CHECK_INTERVAL_S = 0.05
# Transit time of a response to the caller: two network delays of 8 ms each and
# the processing in two daemons. It shortens only the wait for a slot. A run
# continues until its deadline, because its caller may still be waiting.
_RESPONSE_TRANSIT_S = 0.025
# Time in seconds after the start in which the backend server may still make
# calls for runs that a former process of this daemon has started.
_UNKNOWN_RUNS_S = 10.0
# Delay in seconds of a call on its way from which its limits are shortened.
_MIN_DELAY_S = 0.001
# Longest time in seconds for which a cancelled run occupies its slot while the
# backend server has not closed the connection.
_MAX_RUN_END_S = 0.5
# Interval between checks whether other endpoints are available again.
_AVAILABILITY_CHECK_INTERVAL_S = 0.1


@dataclass(slots=True)
class _Backend:
    endpoint: Endpoint
    client: _backend_client.Client
    queue: CallQueue
    speed: ServerSpeed
    # Whether its service limits the connections to it.
    limits_connections: bool = False
    # Id of the backend server process that requests are addressed to.
    instance: str = ''

    @property
    def is_full(self) -> bool:
        """Whether as many requests are in flight as it accepts.

        False if its service does not limit connections: a reset is a fault.
        """
        return self.limits_connections and (
            self.queue.running >= self.queue.slots
        )


@dataclass(slots=True)
class _PendingCall:
    request_id: str
    ready: trio.Event
    admitted: bool = False
    code: str = 'draining'


class RunnerService:
    """Admits calls, runs each at most once and records its outcome.

    Parameters
    ----------
    rng : Random or None
        Random number generator of the sender.
    connect : callable
        Returns a client for the address of a backend server.
    dialect : Dialect
        Names of the HTTP headers that the backend server uses.
    retry_limits : RetryLimits, optional
        Limits on the retries of the sender.
    rejection_delay_s : float
        Time in seconds between announcing a graceful shutdown to other
        daemons and rejecting their calls.
    availability_wait_s : float
        Longest time in seconds after the start of a graceful shutdown in
        which calls are still served because too many other endpoints of the
        service are unavailable.
    cancel_after_s : float
        Time in seconds after the start of a graceful shutdown after which
        calls that still run may be cancelled. Calls that may run longer, by
        their deadline and `DEADLINE_GRACE_S`, are rejected from
        `SHUTDOWN_NOTICE_S` on.
    cold_monitor : ColdMonitor, optional
        Limits the requests to a cold backend server.
    """

    name = 'runner'
    requires: tuple[str, ...] = (
        'peers',
        'membership',
        'distribution',
        'moves',
        'events',
        'metrics',
    )

    def __init__(
        self,
        rng: Random | None = None,
        connect: Callable[
            [str], _backend_client.Client
        ] = _backend_client.BackendClient,
        dialect: _calls.Dialect = _calls.DEFAULT_DIALECT,
        retry_limits: _sender.RetryLimits | None = None,
        rejection_delay_s: float = 0.0,
        availability_wait_s: float = 0.0,
        cancel_after_s: float = math.inf,
        cold_monitor: _cold_monitor.ColdMonitor | None = None,
    ) -> None:
        self._cold_monitor = cold_monitor or _cold_monitor.ColdMonitor()
        self._cancel_after_s = cancel_after_s
        self._rejection_delay_s = rejection_delay_s
        self._availability_wait_s = availability_wait_s
        self._shutdown_started_at = math.inf
        self._availability = EndpointAvailability()
        self._retry_limits = retry_limits
        self._dialect = dialect
        self._warmup_ends_at = -math.inf
        self._split_source: _sender.SplitSource | None = None
        self._evacuations: _protocols.Evacuations | None = None
        self._evacuated = False
        self._quotas: _protocols.Quotas | None = None
        self._hedge_settings = HedgeSettings()
        self._rng = rng or Random()
        self._connect = connect
        self._backend: _Backend | None = None
        self._old_clients: list[_backend_client.Client] = []
        self._pending: dict[QueuedCall, _PendingCall] = {}
        # Runs in progress by request id.
        self._runs: dict[str, _responses.Run] = {}
        self._call_queued = trio.Event()
        self._ledger = Ledger()
        # Request id of each detached call -> event set when it has ended.
        self._detached_calls: dict[str, trio.Event] = {}
        self._stopping = False
        self._draining = False
        self._handed_over = False
        self._active_calls = 0
        self._idle = trio.Event()
        self._buffered_bytes = 0
        self.buffer_budget = _calls.ResponseBufferBudget()
        self._call_monitor = _call_monitor.CallMonitor()
        self._deadlines = _deadlines.DeadlineMonitor()
        self._incarnation = 0
        self._distribution: _protocols.Distribution
        self._keys: _keys.KeyOwner
        self._membership: _protocols.Membership
        self._moves: _protocols.Moves
        self._events: _protocols.Events
        self._nested_calls: NestedCallDetector
        self._nursery: trio.Nursery
        self._sender: _sender.Sender
        self._call_counter: _protocols.Metric
        self._invalid_headers: _protocols.Metric
        self._queue_rejections: _protocols.Metric
        self._full_resets: _protocols.Metric

    @property
    def sender(self) -> _sender.Sender:
        """Client-side proxy; sends calls to the runners of all daemons."""
        return self._sender

    @property
    def load(self) -> Load:
        """Current load of the backend server on this VM."""
        backend = self._backend
        if backend is None:
            return Load(0, 0, 0, True)
        queue = backend.queue
        return Load(
            queue.running,
            queue.queued,
            queue.slots,
            self._draining or backend.endpoint.state != EndpointState.READY,
            round(queue.service_time_s * 1000, 1),
            round(queue.expected_wait_s() * 1000, 1),
            round(queue.failure_rate, 3),
            self._cold_monitor.load(),
            backend.speed.figures(trio.current_time()),
        )

    @property
    def nested_calls(self) -> NestedCallDetector:
        """Recognizes the calls that the backend server makes for its runs."""
        return self._nested_calls

    @property
    def stopping(self) -> bool:
        """Whether the shutdown has been announced to other daemons."""
        return self._stopping

    @property
    def quotas(self) -> _protocols.Quotas | None:
        """Quotas of tenants; None for no limits."""
        return self._quotas

    def set_quotas(self, quotas: _protocols.Quotas) -> None:
        """Set the quotas of tenants; called before the start."""
        self._quotas = quotas

    def set_hedging(self, settings: HedgeSettings) -> None:
        """Set the limits of hedged requests; call before `run`."""
        self._hedge_settings = settings

    def set_split_source(self, source: _sender.SplitSource) -> None:
        """Set how calls are split between versions; call before `run`."""
        self._split_source = source

    def set_evacuations(self, evacuations: _protocols.Evacuations) -> None:
        """Set the source of the evacuated zones; call before `run`."""
        self._evacuations = evacuations

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve calls until cancelled."""
        peers = kernel.get('peers', PeerNetwork)
        self._membership = kernel.get('membership', _protocols.Membership)
        distribution = kernel.get('distribution', _protocols.Distribution)
        self._distribution = distribution
        self._moves = kernel.get('moves', _protocols.Moves)
        self._events = kernel.get('events', _protocols.Events)
        metrics = kernel.get('metrics', _protocols.Metrics)
        self._call_counter = metrics.counter(
            'gypsumhall_runner_calls_total',
            'Calls that reached the runner, by result.',
        )
        self._invalid_headers = metrics.counter(
            'gypsumhall_runner_invalid_headers_total',
            'Headers of the backend server that were ignored, by header.',
        )
        self._queue_rejections = metrics.counter(
            'gypsumhall_queue_rejections_total',
            'Calls without a place in the queue, by reason and tenant class.',
        )
        load = metrics.gauge(
            'gypsumhall_runner_load',
            'Calls in flight and queued, and the concurrency limit.',
        )
        self._full_resets = metrics.counter(
            'gypsumhall_full_resets_total',
            'Connections that the backend server reset while it was full.',
        )
        self._cold_monitor.start(distribution, self._events, metrics)
        self._incarnation = self._membership.me.incarnation
        self._nested_calls = NestedCallDetector(
            trio.current_time() + _UNKNOWN_RUNS_S
        )
        self._sender = _sender.Sender(
            peers=peers,
            membership=self._membership,
            distribution=distribution,
            events=self._events,
            metrics=metrics,
            rng=self._rng,
            execute=self.execute,
            withdraw=self.withdraw,
            deadlines=self._deadlines,
            dialect=self._dialect,
            split_source=self._split_source,
            retry_limits=self._retry_limits,
            buffer_budget=self.buffer_budget,
            quotas=self._quotas,
        )
        if self._hedge_settings.share:
            policy = HedgePolicy(self._hedge_settings)
            self._sender.set_hedge_policy(policy)
        self._keys = _keys.KeyOwner(
            peers, self._membership, self._sender, self.buffer_budget
        )
        self._sender.execute_keyed = self._keys.execute
        self._membership.subscribe(self._keys.on_members_changed)
        if self._availability_wait_s:
            self._membership.subscribe(self._update_availability)
        if self._evacuations is not None:
            self._evacuations.subscribe(self._apply_evacuations)
            self._apply_evacuations()
        peers.on(CallStart, self._handle_call)
        peers.on(CallQuery, self._handle_query)
        peers.on(CallWithdraw, self._handle_withdrawal)
        peers.on(KeyRelease, self._keys.handle_release)
        peers.on(KeyHandover, self._keys.handle_handover)
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._call_monitor.run)
            self._nursery.start_soon(self._deadlines.run)
            self._nursery.start_soon(self._check_queue)
            self._nursery.start_soon(self._sender.run)
            self._nursery.start_soon(
                self._record_shutdown_start, kernel.stopping
            )
            task_status.started()
            while True:
                await trio.sleep(_MAINTENANCE_INTERVAL_S)
                await self._close_idle()
                self._apply_connection_limit()
                load.set(self.load.in_flight, kind='in-flight')
                load.set(self.load.queued, kind='queued')
                load.set(self.load.slots, kind='limit')

    async def drain(self) -> None:
        """Reject new calls and wait for the calls in flight.

        May be called again after a cancellation.
        """
        if not self._draining:
            await self._announce_shutdown()
        while self._active_calls:
            self._idle = trio.Event()
            await self._idle.wait()
        if self._dialect.key and not self._handed_over:
            await self._keys.hand_over_keys()
            self._handed_over = True

    async def _announce_shutdown(self) -> None:
        """Announce the shutdown, then start to reject calls.

        The delay between the two lets other daemons stop sending calls.
        """
        if self._backend is not None:
            await self._wait_for_other_endpoints()
        self._stopping = True
        backend = self._backend
        if backend is not None:
            self._membership.set_endpoint(
                Endpoint(
                    backend.endpoint.service,
                    backend.endpoint.version,
                    backend.endpoint.slots,
                    EndpointState.DRAINING,
                )
            )
        self._log_shutdown_phase('endpoint-leaves')
        await trio.sleep(self._rejection_delay_s)
        self._draining = True
        self._log_shutdown_phase('calls-rejected')
        self._reject_queued_calls()

    def _log_shutdown_phase(self, phase: str) -> None:
        self._events.emit(
            'shutdown-phase',
            phase=phase,
            active_calls=self._active_calls,
            queued_calls=len(self._pending),
        )

    async def _wait_for_other_endpoints(self) -> None:
        """Keep serving until enough other endpoints of the service are ready.

        The wait is limited, see parameter `availability_wait_s`.
        """
        wait_until = min(
            self._shutdown_started_at + self._availability_wait_s,
            trio.current_time() + self._availability_wait_s,
        )
        while trio.current_time() < wait_until:
            self._update_availability()
            if self._availability.may_stop(trio.current_time()):
                return
            await trio.sleep(_AVAILABILITY_CHECK_INTERVAL_S)

    def _update_availability(self) -> None:
        backend = self._backend
        if backend is None:
            return
        membership = self._membership
        others = [
            member
            for member in membership.table.endpoints(backend.endpoint.service)
            if member.id != membership.me.id
        ]
        self._availability.observe(others, trio.current_time())

    def _apply_evacuations(self) -> None:
        """Return queued calls to their senders if the zone is evacuated."""
        if self._evacuations is None:
            return
        zones = self._evacuations.zones
        self._sender.set_evacuated_zones(zones)
        self._evacuated = self._membership.me.zone in zones
        if self._evacuated and self._backend is not None:
            self._reject_calls(self._backend.queue.clear(), 'evacuated')

    async def _record_shutdown_start(self, stopping: trio.Event) -> None:
        await stopping.wait()
        self._shutdown_started_at = trio.current_time()

    def set_backend(
        self, endpoint: Endpoint | None, address: str, instance: str = ''
    ) -> None:
        """Apply the latest announcement of the backend server.

        Parameters
        ----------
        endpoint : Endpoint or None
            Service and version that it runs; None when it is unavailable.
        address : str
            ``<ip>:<port>`` of the backend server.
        instance : str
            Id of its process; empty if it reports none.
        """
        old = self._backend
        unchanged = (
            old is not None
            and endpoint is not None
            and old.client.address == address
            and old.instance == instance
            and old.endpoint.service == endpoint.service
        )
        if old is not None and not unchanged:
            self._old_clients.append(old.client)
        if endpoint is None:
            self._reject_queued_calls()
            self._backend = None
            return
        self._cold_monitor.set_service(endpoint.service)
        if old is not None and unchanged:
            old.endpoint = endpoint
        else:
            self._reject_queued_calls()
            self._backend = _Backend(
                endpoint,
                self._connect(address),
                CallQueue(endpoint.slots),
                ServerSpeed(),
                instance=instance,
            )
            self._keys.join_service(endpoint.service)
            if old is None or old.endpoint.service != endpoint.service:
                self._availability = EndpointAvailability()
        self._apply_connection_limit()
        if endpoint.state != EndpointState.READY:
            self._reject_queued_calls()

    def _apply_connection_limit(self) -> None:
        """Limit the slots in use to the connections that are accepted.

        A connection is opened only if none is idle, so there are never more
        than there were requests at the same time.
        """
        backend = self._backend
        if backend is None:
            return
        snapshot = self._distribution.snapshot
        service = (
            None
            if snapshot is None
            else snapshot.service(backend.endpoint.service)
        )
        limit = 0 if service is None else service.max_connections
        backend.limits_connections = limit > 0
        slots = backend.endpoint.slots
        if limit:
            slots = min(slots, limit)
        if backend.queue.slots != slots:
            backend.queue.resize(slots)

    @contextlib.contextmanager
    def occupy_slot(self) -> Iterator[bool]:
        """Count a status check as in flight; the value is False without room.

        Nothing is counted unless the service limits its connections.
        """
        backend = self._backend
        if backend is None or not backend.limits_connections:
            yield True
            return
        if backend.queue.running >= backend.queue.slots:
            yield False
            return
        backend.queue.occupy()
        try:
            yield True
        finally:
            backend.queue.release()
            self._start_queued_calls()

    async def _hold_slot(
        self, backend: _Backend, connection: _backend_client.Connection
    ) -> None:
        """Occupy a slot until the server has noticed a cancellation."""
        try:
            await connection.wait_end(_MAX_RUN_END_S)
        finally:
            backend.queue.release()
            self._start_queued_calls()

    def _end_aborted(
        self, backend: _Backend, connection: _backend_client.Connection
    ) -> None:
        if self._nursery.cancel_scope.cancel_called:
            connection.close()
            return
        backend.queue.occupy()
        self._nursery.start_soon(self._hold_slot, backend, connection)

    def set_warmup_end(self, time: float) -> None:
        """Set the end of the warm-up of the backend server, in seconds.

        Runs that start earlier may be slow and are not counted as evidence
        about its version.
        """
        self._warmup_ends_at = time

    def observe_server_load(self, headers: _calls.Headers) -> None:
        """Record the load that the backend server states in a response."""
        name = self._dialect.server_load
        backend = self._backend
        if not name or backend is None:
            return
        values = [value for item, value in headers if item == name]
        if not backend.speed.observe(values, trio.current_time()):
            self._invalid_headers.add(1.0, header='server-load')

    async def execute(
        self, call: CallStart, body: bytes, send: _calls.SendMessage
    ) -> None:
        """Run a call on the backend server of this VM.

        Parameters
        ----------
        call : CallStart
            The call.
        body : bytes
            Complete request body.
        send : callable
            Sends the messages of the response: `CallRefused`, or
            `AnswerStart` followed by the body.
        """
        self._active_calls += 1
        try:
            entry = self._ledger.begin(call.request_id, trio.current_time())
            if entry is not None:
                self._count('duplicate')
                await self._replay(call.request_id, entry, send)
            else:
                await self._execute_new(call, body, send)
        finally:
            self._active_calls -= 1
            if not self._active_calls:
                self._idle.set()

    def withdraw(self, request_id: str, *, only_queued: bool = False) -> None:
        """Reject a call, unless a part of it was sent to the backend server.

        Parameters
        ----------
        request_id : str
            Id of the attempt.
        only_queued : bool
            Whether a call that has been given a slot, or is not known, is
            not affected. Otherwise the key of the call has been removed.
        """
        code = 'withdrawn' if only_queued else _calls.KEY_REMOVED
        if self._withdraw_queued(request_id, code) or only_queued:
            return
        run = self._runs.get(request_id)
        if run is not None:
            run.withdraw()
        else:
            # A call whose body is incomplete is then refused when it begins.
            self._ledger.query(request_id, trio.current_time())

    def _withdraw_queued(self, request_id: str, code: str) -> bool:
        """Reject a call that waits in the queue; False if none does."""
        for queued_call, pending in self._pending.items():
            if pending.request_id == request_id:
                if self._backend is not None:
                    self._backend.queue.remove(queued_call)
                self._reject_calls([queued_call], code)
                return True
        return False

    async def _handle_withdrawal(
        self, _exchange: Exchange, message: CallWithdraw
    ) -> None:
        # The rejection is sent on the exchange of the call.
        self.withdraw(message.request_id, only_queued=message.only_queued)

    async def _execute_new(
        self, call: CallStart, body: bytes, send: _calls.SendMessage
    ) -> None:
        recorder = (
            None if call.idempotent else _calls.Recorder(self.buffer_budget)
        )
        run = _responses.Run(send, recorder)
        refusal: _calls.CallRefusedError | None = None
        deadline = trio.current_time() + call.deadline_ms / 1000
        try:
            refusal = await self._admit_and_run(call, body, run, deadline)
        finally:
            # Also runs on cancellation; `run.outcome` then says whether the
            # request can have been run.
            now = trio.current_time()
            if run.outcome == Outcome.NOT_RUN:
                state = EntryState.REFUSED
            elif run.outcome == Outcome.RUN:
                state = EntryState.DONE
            else:
                state = EntryState.UNKNOWN
            response = None
            if recorder is not None and refusal is None:
                response = recorder.response
            self._ledger.finish(call.request_id, now, state, response)
        if refusal is None:
            self._count('run')
            return
        self._count(refusal.reason)
        if run.started_response:
            with contextlib.suppress(PeerError):
                await run.send(AnswerEnd(call.request_id, complete=False))
            return
        await self._send_refusal(call.request_id, refusal, send)

    async def _admit_and_run(
        self,
        call: CallStart,
        body: bytes,
        run: _responses.Run,
        deadline: float,
    ) -> _calls.CallRefusedError | None:
        try:
            backend = self._backend_for(call)
            self._check_shutdown_deadline(deadline)
            await self._admit(backend, call, deadline)
        except _calls.CallRefusedError as error:
            return error
        started = trio.current_time()
        factor = backend.speed.factor(started)
        self._nested_calls.begin_run(run, call.route, deadline)
        complete = False
        cause = 'cancelled'
        detail = ''
        try:
            refusal = await self._forward(backend, call, body, run, deadline)
            complete = refusal is None
            cause = refusal.reason if refusal is not None else ''
            detail = refusal.detail if refusal is not None else ''
        except trio.Cancelled as error:
            detail = _calls.cancel_cause(error)
            raise
        except PeerError:
            detail = 'sender-lost'
            raise
        finally:
            now = trio.current_time()
            self._nested_calls.end_run(run, now, aborted=not complete)
            if cause and run.outcome != Outcome.NOT_RUN:
                self._log_aborted_run(
                    call, cause, detail, now - started, deadline - started
                )
            limit_s = call.deadline_ms / 1000
            slow = (
                now - (deadline - limit_s)
                >= _calls.SLOW_CALL_FRACTION * limit_s
            )
            # The caller disconnected, or another endpoint responded first. A
            # run that was slow until then counts as failed.
            if cause == 'cancelled':
                run.failed = run.failed or slow
            failed = run.failed if run.outcome != Outcome.NOT_RUN else None
            if cause == 'shed':
                failed = True
            was_full = cause == _calls.BACKEND_FULL
            if was_full:
                failed = None
            # The duration of a run that its deadline ended says nothing about
            # the time that a run takes.
            measured = complete and now < deadline
            if measured:
                backend.speed.record_run(
                    call.route, now - started, factor, now
                )
            backend.queue.finish(
                call.route,
                now - started if measured else None,
                failed=failed,
                now=now,
            )
            self._start_queued_calls()
            if (
                run.outcome != Outcome.NOT_RUN
                and not was_full
                and started >= self._warmup_ends_at
            ):
                # A slow idempotent run may be cancelled in favor of a backup
                # attempt, depending on the free capacity of other endpoints.
                # It counts as failed whether or not that happens.
                failed = run.failed or (slow and call.idempotent)
                self._moves.record(call, (now - started) * 1000, failed=failed)
        return refusal

    def _log_aborted_run(
        self,
        call: CallStart,
        cause: str,
        detail: str,
        ran_s: float,
        limit_s: float,
    ) -> None:
        """Log that a run ended before its response was complete."""
        name = self._dialect.request_id
        if name:
            self._events.emit(
                'run-cut',
                request=dict(call.headers).get(name, b'').decode('latin-1'),
                cause=cause,
                detail=detail,
                ran_ms=round(ran_s * 1000, 1),
                limit_ms=round(limit_s * 1000, 1),
                endpoint=self._endpoint_state,
                stopping=self._stopping,
            )

    @property
    def _endpoint_state(self) -> str:
        if self._backend is None:
            return 'gone'
        return self._backend.endpoint.state.name.lower()

    async def _forward(
        self,
        backend: _Backend,
        call: CallStart,
        body: bytes,
        run: _responses.Run,
        deadline: float,
    ) -> _calls.CallRefusedError | None:
        remaining_ms = _calls.remaining_ms(deadline, trio.current_time())
        headers = (
            *call.headers,
            (self._dialect.deadline, b'%d' % max(1, remaining_ms)),
        )
        header = self._dialect.expected_instance
        if header and backend.instance:
            headers = (*headers, (header, backend.instance.encode()))
        if self._dialect.tenant and call.tenant:
            tenant = (self._dialect.tenant, call.tenant.encode())
            headers = (*headers, tenant)
        run_until = deadline + _calls.DEADLINE_GRACE_S
        on_abort = None
        if backend.limits_connections:
            on_abort = functools.partial(self._end_aborted, backend)

        def mark_sent() -> None:
            run.mark_sent()
            run.sent_when_full = backend.is_full

        with self._deadlines.limit(run_until) as scope:
            run.scope = scope
            self._runs[call.request_id] = run
            try:
                async with backend.client.request(
                    call.method, call.path, headers, body, mark_sent, on_abort
                ) as response:
                    self.observe_server_load(response.headers)
                    self._check_response(call, response, run)
                    await run.respond(call, response, self.load)
                return None
            except _calls.CallRefusedError as error:
                return error
            except (
                _backend_client.BackendUnreachableError,
                _backend_client.BackendRequestError,
                _backend_client.BackendResetError,
                _backend_client.BackendResponseError,
            ) as error:
                return self._convert_failure(backend, run, error)
            finally:
                run.scope = None
                del self._runs[call.request_id]
        assert scope.cancelled_caught
        if run.withdrawn and run.outcome == Outcome.NOT_RUN:
            return _calls.key_removed()
        run.failed = run.outcome != Outcome.NOT_RUN
        return _calls.CallRefusedError(
            run.outcome, 'deadline', 'the deadline passed'
        )

    def _convert_failure(
        self,
        backend: _Backend,
        run: _responses.Run,
        error: GypsumhallError,
    ) -> _calls.CallRefusedError:
        """Return the refusal for a request without a usable response."""
        detail = str(error)
        if isinstance(error, _backend_client.BackendUnreachableError):
            is_rejected = isinstance(
                error, _backend_client.BackendRejectedError
            )
            if is_rejected and backend.is_full:
                self._full_resets.add(1.0, sent='no')
                return _calls.not_run(_calls.BACKEND_FULL, detail)
            # The process may have ended, or may be too busy to accept.
            self._cold_monitor.forget(is_replaced=False)
            return _calls.not_run('backend-unreachable', detail)
        if isinstance(error, _backend_client.BackendRequestError):
            run.outcome = Outcome.NOT_RUN
            return _calls.not_run('bad-request', detail)
        is_reset = isinstance(error, _backend_client.BackendResetError)
        if is_reset and run.sent_when_full and not run.started_response:
            self._full_resets.add(1.0, sent='yes')
            return _calls.CallRefusedError(
                run.outcome, _calls.BACKEND_FULL, detail
            )
        run.failed = True
        code = 'backend-reset' if is_reset else 'bad-response'
        return _calls.CallRefusedError(run.outcome, code, detail)

    def _check_response(
        self,
        call: CallStart,
        response: _backend_client.BackendResponse,
        run: _responses.Run,
    ) -> None:
        """Raise unless the response is the result of this request.

        Raises
        ------
        CallRefusedError
            When the response says that the request was not run.
        BackendResponseError
            When it contradicts itself or belongs to another request.
        """
        if not self._dialect.request_id:
            return
        sent_id = dict(call.headers).get(self._dialect.request_id)
        if _responses.is_rejection(response, sent_id, self._dialect):
            run.outcome = Outcome.NOT_RUN
            code = 'no-backend' if response.status == 421 else 'shed'
            if response.status == 421:
                # Another process, which has just started, has the address.
                self._cold_monitor.forget(is_replaced=True)
            raise _calls.not_run(
                code, f'the backend server responded with {response.status}'
            )

    def _backend_for(self, call: CallStart) -> _Backend:
        backend = self._backend
        if call.runner_incarnation and (
            call.runner_incarnation < self._incarnation
        ):
            raise _calls.not_run(
                'restarted', 'the call is addressed to an earlier process'
            )
        if backend is None:
            raise _calls.not_run('no-backend', 'no backend server here')
        endpoint = backend.endpoint
        if self._evacuated:
            raise _calls.not_run('evacuated', 'the zone is evacuated')
        if self._draining or endpoint.state == EndpointState.DRAINING:
            raise _calls.not_run('draining', 'the endpoint is draining')
        if endpoint.state != EndpointState.READY:
            raise _calls.not_run('starting', 'the endpoint is not ready')
        if call.service != endpoint.service or call.version not in (
            ANY_VERSION,
            endpoint.version,
        ):
            raise _calls.not_run(
                'version-mismatch',
                f'{call.service} {call.version} was called, this is '
                f'{endpoint.service} {endpoint.version}',
            )
        return backend

    def _check_shutdown_deadline(self, deadline: float) -> None:
        """Raise for a call that the end of the process might cut off."""
        shutdown_s = trio.current_time() - self._shutdown_started_at
        ends_at = self._shutdown_started_at + self._cancel_after_s
        run_until = deadline + _calls.DEADLINE_GRACE_S
        if shutdown_s >= _calls.SHUTDOWN_NOTICE_S and run_until > ends_at:
            raise _calls.not_run(
                'draining', 'this daemon stops before the deadline'
            )

    async def _admit(
        self, backend: _Backend, call: CallStart, deadline: float
    ) -> None:
        now = trio.current_time()
        if deadline <= now:
            raise _calls.not_run('deadline', 'the deadline has passed')
        if deadline - now > 4 * _RESPONSE_TRANSIT_S:
            deadline -= _RESPONSE_TRANSIT_S
        queued_call = QueuedCall(
            call.route,
            call.priority,
            now + call.objective_ms / 1000 if call.objective_ms else deadline,
            deadline,
            is_caller_retry=call.is_caller_retry,
            tenant=call.tenant,
        )
        max_wait_s = (
            math.inf if call.max_wait_ms < 0 else call.max_wait_ms / 1000
        )
        delay_s = self._cold_monitor.delay_s()
        if delay_s:
            self._cold_monitor.record_rejection()
            raise _calls.CallRefusedError(
                Outcome.NOT_RUN,
                'busy',
                'the backend server is cold and has its limit of requests',
                delay_s,
            )
        slowness_s = backend.queue.service_time_s * (
            backend.speed.factor(now) - 1.0
        )
        if slowness_s > max_wait_s:
            # The backend server is slow for a moment, and the sender knows
            # other endpoints.
            raise _calls.not_run('busy', 'the backend server is slow now')
        decision = backend.queue.admit(now, queued_call, max_wait_s)
        if decision is AdmissionDecision.RUN:
            self._cold_monitor.record_request()
            return
        if decision is not AdmissionDecision.WAIT:
            self._count_queue_rejection(queued_call, decision.value)
            raise _calls.CallRefusedError(
                Outcome.NOT_RUN,
                decision.value,
                f'{backend.queue.queued} calls are queued',
                backend.queue.retry_after_s(now, queued_call),
            )
        pending = self._pending[queued_call] = _PendingCall(
            call.request_id, trio.Event()
        )
        self._call_queued.set()
        evicted = backend.queue.evict(now)
        self._reject_calls(evicted, AdmissionDecision.OVERLOADED.value)
        try:
            with trio.CancelScope(deadline=deadline):
                await pending.ready.wait()
        except trio.Cancelled:
            # The call may have been given a slot just before the cancellation.
            if pending.admitted:
                backend.queue.finish(call.route, None)
                self._start_queued_calls()
            raise
        finally:
            self._pending.pop(queued_call, None)
            backend.queue.remove(queued_call)
        if pending.admitted:
            if self._evacuated:
                # The evacuation began after the call was given a slot.
                backend.queue.finish(call.route, None)
                raise _calls.not_run('evacuated', 'the zone is evacuated')
            return
        if pending.ready.is_set():
            raise _calls.CallRefusedError(
                Outcome.NOT_RUN,
                pending.code,
                'the call was removed from the queue of the endpoint',
                backend.queue.retry_after_s(trio.current_time(), queued_call),
            )
        raise _calls.not_run('deadline', 'the deadline passed in the queue')

    def _start_queued_calls(self) -> None:
        backend = self._backend
        if backend is None:
            return
        now = trio.current_time()
        while not self._cold_monitor.delay_s():
            queued_call = backend.queue.dequeue(now)
            if queued_call is None:
                return
            self._cold_monitor.record_request()
            pending = self._pending.pop(queued_call)
            pending.admitted = True
            pending.ready.set()

    def _reject_queued_calls(self) -> None:
        if self._backend is not None:
            self._reject_calls(self._backend.queue.clear(), 'draining')

    def _count_queue_rejection(self, call: QueuedCall, reason: str) -> None:
        if self._backend is not None:
            tenants = self._backend.queue.tenant_class(
                trio.current_time(), call
            )
            self._queue_rejections.add(1.0, reason=reason, tenants=tenants)

    def _reject_calls(
        self, queued_calls: Iterable[QueuedCall], code: str
    ) -> None:
        for queued_call in queued_calls:
            pending = self._pending.pop(queued_call, None)
            if pending is not None:
                self._count_queue_rejection(queued_call, f'{code}-later')
                pending.code = code
                pending.ready.set()

    async def _check_queue(self) -> None:
        """Reject queued calls that can no longer be served, at intervals."""
        while True:
            if not self._pending:
                self._call_queued = trio.Event()
                await self._call_queued.wait()
            await trio.sleep(_QUEUE_CHECK_INTERVAL_S)
            if self._backend is not None:
                now = trio.current_time()
                evicted = self._backend.queue.evict(now)
                self._reject_calls(evicted, AdmissionDecision.OVERLOADED.value)
                if self._cold_monitor.rate_per_s:
                    # Calls may wait for the limit although a slot is free.
                    self._start_queued_calls()

    async def _replay(
        self, request_id: str, entry: Entry, send: _calls.SendMessage
    ) -> None:
        response = entry.response
        if response is not None:
            await _responses.send_recorded(
                request_id, response, self.load, send
            )
            return
        outcomes = {
            EntryState.REFUSED: (Outcome.NOT_RUN, 'refused'),
            EntryState.DONE: (Outcome.RUN, 'response-dropped'),
        }
        outcome, code = outcomes.get(
            entry.state, (Outcome.UNKNOWN, 'outcome-unknown')
        )
        refusal = _calls.CallRefusedError(
            outcome, code, f'attempt {request_id} is {entry.state.value}'
        )
        await self._send_refusal(request_id, refusal, send)

    async def _send_refusal(
        self,
        request_id: str,
        refusal: _calls.CallRefusedError,
        send: _calls.SendMessage,
    ) -> None:
        await send(
            CallRefused(
                request_id,
                refusal.outcome,
                refusal.reason,
                refusal.detail,
                self.load,
                int(refusal.retry_after_s * 1000),
            )
        )

    async def _handle_call(self, exchange: Exchange, call: CallStart) -> None:
        self._events.clock.observe(call.time)
        size = len(call.body)
        self._buffered_bytes += size
        chunks = [call.body]
        complete = not call.has_body
        received_at = trio.current_time()
        # Later messages say nothing about the time that the first one took.
        delay_s = exchange.delay_s
        try:
            while not complete:
                message = await exchange.receive()
                if not isinstance(message, BodyChunk):
                    return
                size += len(message.data)
                self._buffered_bytes += len(message.data)
                chunks.append(message.data)
                complete = message.last
                if (
                    size > _calls.MAX_REQUEST_BODY_BYTES
                    or self._buffered_bytes > _calls.MAX_BUFFERED_REQUEST_BYTES
                ):
                    refusal = _calls.not_run(
                        'buffer-full', 'too many bytes of request bodies'
                    )
                    await self._send_refusal(
                        call.request_id, refusal, exchange.send
                    )
                    return
            delay_s += trio.current_time() - received_at
            if delay_s >= _MIN_DELAY_S:
                call = _shorten(call, delay_s)
            body = b''.join(chunks)
            # The parts would take as much memory as the body during the run.
            chunks.clear()
            await self._run_for_peer(exchange, call, body)
        except (PeerError, trio.EndOfChannel):
            # The sender disconnected. Calls that are not idempotent run
            # detached and continue without it.
            self._count('sender-lost')
        finally:
            self._buffered_bytes -= size

    async def _run_for_peer(
        self, exchange: Exchange, call: CallStart, body: bytes
    ) -> None:
        if call.idempotent and not call.key:
            scope = trio.CancelScope()
            watch = functools.partial(self._watch, exchange, call, scope)
            with scope, self._call_monitor.watch(watch):
                await self.execute(call, body, exchange.send)
            return
        if call.request_id in self._detached_calls:
            await self._reply_to_query(call.request_id, exchange.send)
            return
        scope = trio.CancelScope()
        done = self._detached_calls[call.request_id] = trio.Event()
        self._nursery.start_soon(
            self._run_detached, exchange, call, body, scope, done
        )
        watch = functools.partial(self._watch, exchange, call, scope)
        with self._call_monitor.watch(watch):
            await done.wait()

    async def _run_detached(
        self,
        exchange: Exchange,
        call: CallStart,
        body: bytes,
        scope: trio.CancelScope,
        done: trio.Event,
    ) -> None:
        try:
            with scope, contextlib.suppress(PeerError):
                if call.key:
                    await self._execute_keyed(call, body, exchange.send)
                else:
                    await self.execute(call, body, exchange.send)
        finally:
            self._detached_calls.pop(call.request_id, None)
            done.set()

    async def _execute_keyed(
        self, call: CallStart, body: bytes, send: _calls.SendMessage
    ) -> None:
        """Run a call as the owner of its idempotency key."""
        entry = self._ledger.begin(call.request_id, trio.current_time())
        if entry is not None:
            await self._replay(call.request_id, entry, send)
            return
        self._active_calls += 1
        recorder = _calls.Recorder(self.buffer_budget)
        sink = _responses.MessageSink(
            lambda: self.load, call.request_id, send, recorder
        )
        state = EntryState.UNKNOWN
        try:
            request = _calls.Request(
                call.service,
                call.route,
                call.method,
                call.path,
                call.headers,
                body,
                trio.current_time() + call.deadline_ms / 1000,
                call.idempotent,
                call.key,
                tenant=call.tenant,
            )
            await self._keys.execute(request, sink)
            state = EntryState.DONE
        except _calls.CallRefusedError as error:
            if error.outcome == Outcome.NOT_RUN:
                state = EntryState.REFUSED
            elif error.outcome == Outcome.RUN:
                state = EntryState.DONE
            await self._send_refusal(call.request_id, error, sink.send)
        except _calls.BrokenResponseError:
            state = EntryState.DONE
            recorder = _calls.Recorder(self.buffer_budget)
            await sink.flush()
            await sink.send(AnswerEnd(call.request_id, complete=False))
        finally:
            response = recorder.response if state == EntryState.DONE else None
            now = trio.current_time()
            self._ledger.finish(call.request_id, now, state, response)
            self._active_calls -= 1
            if not self._active_calls:
                self._idle.set()

    async def _watch(
        self, exchange: Exchange, call: CallStart, scope: trio.CancelScope
    ) -> None:
        """Cancel a call when its sender requests that.

        Idempotent calls are also cancelled when the sender disconnects.
        """
        try:
            while True:
                message = await exchange.receive()
                if (
                    isinstance(message, CallCancel)
                    and message.request_id == call.request_id
                ):
                    scope.cancel(reason=message.reason or 'sender')
                    return
        except (PeerError, trio.EndOfChannel):
            if call.idempotent:
                scope.cancel(reason='sender-lost')

    async def _handle_query(
        self, exchange: Exchange, query: CallQuery
    ) -> None:
        with contextlib.suppress(PeerError):
            if query.runner_incarnation < self._incarnation:
                refusal = _calls.CallRefusedError(
                    Outcome.UNKNOWN, 'restarted', 'the runner has restarted'
                )
                await self._send_refusal(
                    query.request_id, refusal, exchange.send
                )
                return
            await self._reply_to_query(query.request_id, exchange.send)

    async def _reply_to_query(
        self, request_id: str, send: _calls.SendMessage
    ) -> None:
        # A call whose body is incomplete is not in the ledger yet. The query
        # then records it as refused, so that it cannot run later.
        entry = self._ledger.query(request_id, trio.current_time())
        done = self._detached_calls.get(request_id)
        if entry.state == EntryState.RUNNING and done is not None:
            await done.wait()
            entry = self._ledger.query(request_id, trio.current_time())
        elif entry.state == EntryState.RUNNING and self._withdraw_queued(
            request_id, 'withdrawn'
        ):
            # An idempotent call, whose sender no longer waits for it.
            entry = Entry(EntryState.REFUSED)
        await self._replay(request_id, entry, send)

    async def _close_idle(self) -> None:
        if self._backend is not None:
            await self._backend.client.close_idle()
        old, self._old_clients = self._old_clients, []
        for client in old:
            await client.close_idle(all_connections=True)

    def _count(self, result: str) -> None:
        self._call_counter.add(1.0, result=result)


def _shorten(call: CallStart, elapsed_s: float) -> CallStart:
    """Return a call with its time limits shortened by the elapsed time."""
    elapsed_ms = int(elapsed_s * 1000)
    objective_ms = call.objective_ms
    if objective_ms:
        # 0 would mean that there is no objective.
        objective_ms = objective_ms - elapsed_ms or -1
    return msgspec.structs.replace(
        call,
        deadline_ms=max(0, call.deadline_ms - elapsed_ms),
        objective_ms=objective_ms,
    )
