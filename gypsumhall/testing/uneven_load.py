"""Simulated service with uneven servers and load waves, without a network.

The load pattern is that of part E in docs/design/load-and-tenants.md: servers
of unequal speed, some of them slower for a moment, and a request rate that
rises in one zone while it falls in the next.
"""

from __future__ import annotations

from collections import deque
import functools
import heapq
import math
from random import Random
from typing import TYPE_CHECKING

from gypsumhall.core._load_balancer import ANY_VERSION
from gypsumhall.core._load_balancer import LoadBalancer
from gypsumhall.core._server_load import ServerSpeed
from gypsumhall.core._waiting import AdmissionDecision
from gypsumhall.core._waiting import CallQueue
from gypsumhall.core._waiting import QueuedCall
from gypsumhall.net._messages import Load
from gypsumhall.testing import builders

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

SERVICE = 'catalogue'
ZONES = ('az-1', 'az-2', 'az-3')
SLOTS = 3
SPEEDS = (0.55, 1.2, 1.2, 1.2)
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
REDRAW_S = 0.6
WAVE_S = 15.0
WAVE = 0.55
# One-way delays in seconds.
DELAY_S = 0.0001
CROSSING_DELAY_S = 0.0005
# Bytes of a request and of a rejection on a stream between daemons.
CALL_BYTES = 600
REJECTION_BYTES = 150
SHORT_WAIT_FRACTION = 0.1
MAX_SHORT_WAIT_ATTEMPTS = 2
MAX_REJECTIONS = 4


class Route:
    """Route of the simulated service.

    Parameters
    ----------
    name : str
        Name.
    share : float
        Share of the requests.
    work_s : float
        Mean service time in seconds on a server of speed 1.
    objective_s, timeout_s : float
        Latency objective and time limit in seconds.
    response_bytes : int
        Size of a response.
    """

    __slots__ = (
        'name',
        'objective_s',
        'response_bytes',
        'share',
        'timeout_s',
        'work_s',
    )

    def __init__(
        self,
        name: str,
        share: float,
        work_s: float,
        objective_s: float,
        timeout_s: float,
        response_bytes: int,
    ) -> None:
        self.name = name
        self.share = share
        self.work_s = work_s
        self.objective_s = objective_s
        self.timeout_s = timeout_s
        self.response_bytes = response_bytes


ROUTES = (
    Route('browse', 0.4, 0.1, 0.418, 2.612, 5000),
    Route('reserve', 0.2, 0.14, 0.51, 3.059, 500),
    Route('charge', 0.2, 0.071, 0.26, 1.562, 500),
    Route('status', 0.2, 0.041, 0.16, 1.277, 500),
)


class Request:
    """Simulated request and its progress."""

    __slots__ = (
        'exclude',
        'queued_call',
        'rejections',
        'route',
        'sender',
        'server',
        'started_at',
        'withdrawn',
        'work_s',
        'zone',
    )

    def __init__(
        self,
        sender: int,
        zone: str,
        route: Route,
        work_s: float,
        started_at: float,
    ) -> None:
        self.sender = sender
        self.zone = zone
        self.route = route
        self.work_s = work_s
        self.started_at = started_at
        self.exclude: set[str] = set()
        self.rejections = 0
        self.queued_call: QueuedCall | None = None
        # Server whose queue it may wait in, as far as its sender knows.
        self.server: Server | None = None
        self.withdrawn = False


class Server:
    """Simulated backend server with the queue of its daemon."""

    __slots__ = (
        'factor',
        'id',
        'queue',
        'requests',
        'running',
        'server_speed',
        'speed',
        'states_load',
        'zone',
    )

    def __init__(self, member_id: str, zone: str, speed: float) -> None:
        self.id = member_id
        self.zone = zone
        self.speed = speed
        self.factor = 1.0
        self.queue = CallQueue(SLOTS)
        # Whether it sends the header with its load.
        self.states_load = False
        self.server_speed = ServerSpeed()
        self.running = 0
        self.requests: dict[QueuedCall, Request] = {}

    def load(self, now: float) -> Load:
        """Return the load that the daemon reports."""
        queue = self.queue
        return Load(
            queue.running,
            queue.queued,
            queue.slots,
            service_time_ms=queue.service_time_s * 1000,
            wait_ms=queue.expected_wait_s() * 1000,
            server=self.server_speed.figures(now),
        )


class Result:
    """Measured result of a simulation.

    Parameters
    ----------
    response_times_s : list of float
        Times until the responses, in seconds.
    failed : int
        Requests without a response.
    crossing_bytes : int
        Bytes between zones.
    crossings : int
        Requests that were run in another zone.
    needless_crossings : int
        Those sent while their own zone had a free slot.
    rejections : int
        Attempts that an endpoint rejected.
    withdrawals, withdrawn : int
        Requests to withdraw a call, and those that were met.
    """

    __slots__ = (
        'crossing_bytes',
        'crossings',
        'failed',
        'needless_crossings',
        'rejections',
        'response_times_s',
        'withdrawals',
        'withdrawn',
    )

    def __init__(self) -> None:
        self.response_times_s: list[float] = []
        self.failed = 0
        self.crossing_bytes = 0
        self.crossings = 0
        self.needless_crossings = 0
        self.rejections = 0
        self.withdrawals = 0
        self.withdrawn = 0

    @property
    def mean_s(self) -> float:
        """Mean response time in seconds."""
        return sum(self.response_times_s) / len(self.response_times_s)

    @property
    def p99_s(self) -> float:
        """99th percentile of the response times in seconds."""
        times_s = sorted(self.response_times_s)
        return times_s[int(0.99 * len(times_s))]


class Simulation:
    """Event-driven simulation; subclasses place the requests.

    Parameters
    ----------
    seed : int
        Seed of the load and of the load balancers.
    utilisation : float
        Mean request rate as a fraction of the capacity.
    servers, senders : int
        Number of servers and of daemons that callers use.
    """

    def __init__(
        self,
        seed: int,
        utilisation: float = 0.9,
        servers: int = 47,
        senders: int = 61,
    ) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.result = Result()
        self.servers = [
            Server(
                f'd{index}',
                ZONES[index % len(ZONES)],
                SPEEDS[index // len(ZONES) % len(SPEEDS)],
            )
            for index in range(servers)
        ]
        self.by_id = {server.id: server for server in self.servers}
        self._senders = senders
        work_s = sum(route.share * route.work_s for route in ROUTES)
        # A server of speed 1 that is slowed in 15 % of the time loses the
        # work that it would have done then.
        usual = 1.0 - SLOW_SHARE * (1.0 - 1.0 / SLOW_FACTOR)
        capacity = SLOTS * usual / work_s
        self._rate_per_s = (
            utilisation
            * capacity
            * sum(server.speed for server in self.servers)
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._counted_from = 0.0

    def run(self, seconds: float, warm_up_s: float = 5.0) -> Result:
        """Simulate a time in seconds after a warm-up that is not counted."""
        self._counted_from = warm_up_s
        end = warm_up_s + seconds
        self._redraw(end)
        for index, zone in enumerate(ZONES):
            self._arrive(index, zone, end)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, action))

    def place(self, request: Request) -> None:
        """Place a request that has just arrived."""
        raise NotImplementedError

    def is_counted(self, request: Request) -> bool:
        """Return whether a request arrived after the warm-up."""
        return request.started_at >= self._counted_from

    def count_crossing(self, request: Request, server: Server) -> None:
        """Count a request that is run in another zone."""
        if not self.is_counted(request) or server.zone == request.zone:
            return
        result = self.result
        result.crossings += 1
        result.crossing_bytes += CALL_BYTES + request.route.response_bytes

    def delay_s(self, request: Request, server: Server) -> float:
        """Return the one-way delay between a request and a server."""
        in_own_zone = request.zone == server.zone
        return DELAY_S if in_own_zone else CROSSING_DELAY_S

    def respond(self, request: Request, server: Server) -> None:
        """Count a response that has left a server."""
        if self.is_counted(request):
            self.result.response_times_s.append(
                self.now + self.delay_s(request, server) - request.started_at
            )

    def end_of_run(self, server: Server, work_s: float) -> float:
        """Return when a run that starts now would end, in seconds.

        The factor of the server at the start applies to the whole run.
        """
        return self.now + work_s * server.factor / server.speed

    def _redraw(self, end: float) -> None:
        for server in self.servers:
            slow = self.rng.random() < SLOW_SHARE
            server.factor = SLOW_FACTOR if slow else 1.0
        if self.now < end:
            self.at(self.now + REDRAW_S, lambda: self._redraw(end))

    def _arrive(self, index: int, zone: str, end: float) -> None:
        peak = (1.0 + WAVE) * self._rate_per_s / len(ZONES)
        phase = self.now / WAVE_S - index / len(ZONES)
        rate = self._rate_per_s / len(ZONES)
        rate *= 1.0 + WAVE * math.sin(2 * math.pi * phase)
        if self.now > 0 and self.rng.random() * peak < rate:
            first = index
            choices = range(first, self._senders, len(ZONES))
            route = self.rng.choices(ROUTES, [item.share for item in ROUTES])[
                0
            ]
            work_s = route.work_s * self.rng.uniform(0.7, 1.3)
            sender = self.rng.choice(choices)
            self.place(Request(sender, zone, route, work_s, self.now))
        time = self.now + self.rng.expovariate(peak)
        if time < end:
            self.at(time, lambda: self._arrive(index, zone, end))


class CompleteInformation(Simulation):
    """Scheduler that knows the state of all servers at once.

    A request runs on the free server that would end it first, in its own zone
    if one is free there. Others wait in a single queue.
    """

    def __init__(self, seed: int, utilisation: float = 0.9) -> None:
        super().__init__(seed, utilisation)
        self._waiting: deque[Request] = deque()

    def place(self, request: Request) -> None:
        """Run a request or queue it."""
        free = [item for item in self.servers if item.running < SLOTS]
        if not free:
            self._waiting.append(request)
            return
        own = [item for item in free if item.zone == request.zone]
        server = min(
            own or free,
            key=lambda item: (item.factor / item.speed, item.running),
        )
        self._start(request, server)

    def _start(self, request: Request, server: Server) -> None:
        server.running += 1
        self.count_crossing(request, server)
        self.at(
            self.end_of_run(server, request.work_s)
            + self.delay_s(request, server),
            lambda: self._end(request, server),
        )

    def _end(self, request: Request, server: Server) -> None:
        server.running -= 1
        self.respond(request, server)
        if not self._waiting:
            return
        for waiting in self._waiting:
            if waiting.zone == server.zone:
                self._waiting.remove(waiting)
                self._start(waiting, server)
                return
        self._start(self._waiting.popleft(), server)


class Balanced(Simulation):
    """Senders that choose by their own load balancers, as the daemons do.

    Parameters
    ----------
    seed : int
        Seed of the load and of the load balancers.
    build_balancer : callable
        Returns the load balancer of a sender.
    utilisation : float
        Mean request rate as a fraction of the capacity.
    states_load : bool
        Whether the servers state their load.
    withdraws : bool
        Whether senders withdraw queued requests.
    """

    def __init__(
        self,
        seed: int,
        build_balancer: Callable[[str, Random], LoadBalancer] = LoadBalancer,
        utilisation: float = 0.9,
        states_load: bool = True,
        withdraws: bool = False,
    ) -> None:
        super().__init__(seed, utilisation)
        for server in self.servers:
            server.states_load = states_load
        self._withdraws = withdraws
        # Requests of each sender that may wait in the queue of an endpoint.
        self._queued: list[list[Request]] = [[] for _ in range(self._senders)]
        endpoint = builders.build_endpoint(SERVICE, slots=SLOTS)
        members = [
            builders.build_member(index, server.zone, endpoint)
            for index, server in enumerate(self.servers)
        ]
        self._balancers: Sequence[LoadBalancer] = [
            build_balancer(
                ZONES[index % len(ZONES)], Random(seed * 100 + index)
            )
            for index in range(self._senders)
        ]
        for balancer in self._balancers:
            balancer.update(SERVICE, members, 1, 0.0)

    def place(self, request: Request) -> None:
        """Send a request to the endpoint that its sender chooses."""
        balancer = self._balancers[request.sender]
        now = self.now
        route = request.route
        if now > request.started_at + route.timeout_s:
            self._fail(request)
            return
        member = balancer.choose(
            SERVICE, ANY_VERSION, now, request.exclude, 0, route.name
        )
        if member is None:
            self._retry_later(request, 0.05)
            return
        server = self.by_id[member.id]
        request.exclude.add(member.id)
        max_wait_s = math.inf
        if request.rejections < MAX_SHORT_WAIT_ATTEMPTS:
            objective = request.started_at + route.objective_s
            limit_s = max(0.0, SHORT_WAIT_FRACTION * (objective - now))
            if balancer.expected_wait_s(member.id, now) <= limit_s:
                max_wait_s = limit_s
        if server.zone != request.zone and self.is_counted(request):
            self.result.needless_crossings += any(
                item.queue.running < SLOTS and not item.queue.queued
                for item in self.servers
                if item.zone == request.zone
            )
        balancer.begin(member.id)
        if math.isinf(max_wait_s) and not request.withdrawn:
            request.server = server
            self._queued[request.sender].append(request)
        self.at(
            now + self.delay_s(request, server),
            lambda: self._admit(request, server, max_wait_s),
        )

    def _admit(
        self, request: Request, server: Server, max_wait_s: float
    ) -> None:
        now = self.now
        route = request.route
        call = QueuedCall(
            route.name,
            0,
            request.started_at + route.objective_s,
            request.started_at + route.timeout_s,
        )
        request.queued_call = call
        factor = server.server_speed.factor(now)
        expected_s = server.queue.service_time_s
        if (factor - 1.0) * expected_s > max_wait_s:
            self._reject(request, server, AdmissionDecision.BUSY.value)
            return
        decision = server.queue.admit(now, call, max_wait_s)
        if decision is AdmissionDecision.RUN:
            self._start(request, server)
        elif decision is AdmissionDecision.WAIT:
            server.requests[call] = request
        else:
            self._reject(request, server, decision.value)
        for evicted in server.queue.evict(now):
            other = server.requests.pop(evicted)
            self._reject(other, server, AdmissionDecision.OVERLOADED.value)

    def _start(self, request: Request, server: Server) -> None:
        self.count_crossing(request, server)
        started = self.now
        factor = server.server_speed.factor(started)
        self.at(
            self.end_of_run(server, request.work_s),
            lambda: self._end(request, server, started, factor),
        )

    def _end(
        self, request: Request, server: Server, started: float, factor: float
    ) -> None:
        now = self.now
        route = request.route
        if server.states_load:
            percent = round(server.factor * 100)
            value = b'%d,0,%d,%d' % (server.queue.running, SLOTS, percent)
            server.server_speed.observe([value], now)
        load = server.load(now)
        server.server_speed.record_run(route.name, now - started, factor, now)
        server.queue.finish(route.name, now - started, failed=False, now=now)
        self.respond(request, server)
        while (call := server.queue.dequeue(now)) is not None:
            self._start(server.requests.pop(call), server)
        balancer = self._balancers[request.sender]

        def receive() -> None:
            self._forget(request)
            balancer.end(server.id, self.now, failed=False)
            balancer.report(server.id, self.now, load, ended=True)
            balancer.record_response_size(route.name, route.response_bytes)
            if self._withdraws:
                self._withdraw(request.sender, server, load)

        self.at(now + self.delay_s(request, server), receive)

    def _reject(self, request: Request, server: Server, code: str) -> None:
        load = server.load(self.now)
        retry_after_s = server.queue.retry_after_s(self.now)
        balancer = self._balancers[request.sender]
        if self.is_counted(request):
            self.result.rejections += 1
            if server.zone != request.zone:
                self.result.crossing_bytes += CALL_BYTES + REJECTION_BYTES

        def receive() -> None:
            self._forget(request)
            balancer.end(server.id, self.now, failed=None)
            balancer.report(server.id, self.now, load)
            if code == AdmissionDecision.OVERLOADED.value:
                balancer.mark_full(server.id, self.now, 0, retry_after_s)
            request.rejections += 1
            if request.rejections >= MAX_REJECTIONS:
                self._retry_later(request, retry_after_s)
            else:
                self.place(request)

        self.at(self.now + self.delay_s(request, server), receive)

    def _forget(self, request: Request) -> None:
        request.server = None
        queued = self._queued[request.sender]
        if request in queued:
            queued.remove(request)

    def _withdraw(self, sender: int, free: Server, load: Load) -> None:
        """Withdraw a queued request when a server reports a free slot."""
        zone = ZONES[sender % len(ZONES)]
        if load.queued or load.in_flight > SLOTS or free.zone != zone:
            return
        for request in reversed(self._queued[sender]):
            server = request.server
            if server is None or server is free:
                continue
            request.withdrawn = True
            self._queued[sender].remove(request)
            if self.is_counted(request):
                self.result.withdrawals += 1
            self.at(
                self.now + self.delay_s(request, server),
                functools.partial(self._take_out, request, server),
            )
            return

    def _take_out(self, request: Request, server: Server) -> None:
        call = request.queued_call
        if call is None or server.requests.pop(call, None) is None:
            return
        server.queue.remove(call)
        if self.is_counted(request):
            self.result.withdrawn += 1
        balancer = self._balancers[request.sender]
        load = server.load(self.now)

        def receive() -> None:
            balancer.end(server.id, self.now, failed=None)
            balancer.report(server.id, self.now, load)
            self.place(request)

        self.at(self.now + self.delay_s(request, server), receive)

    def _retry_later(self, request: Request, delay_s: float) -> None:
        """Let the caller repeat a request that was rejected."""
        if self.now + delay_s > request.started_at + request.route.timeout_s:
            self._fail(request)
            return
        request.exclude.clear()
        request.rejections = 0
        self.at(self.now + delay_s, lambda: self.place(request))

    def _fail(self, request: Request) -> None:
        if self.is_counted(request):
            self.result.failed += 1


class PreviousRule(LoadBalancer):
    """Load balancer that weighs other zones even when its own has room."""

    __slots__ = ()

    def _has_room(self, *_: object) -> bool:
        return False
