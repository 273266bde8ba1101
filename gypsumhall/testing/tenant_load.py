"""Simulation of tenants that share endpoints with too little capacity.

It uses the queues of the endpoints and no network. Callers return when they
were told to, or at once, up to a number of attempts.
"""

from __future__ import annotations

from collections import Counter
import heapq
import math
from random import Random

from gypsumhall.core._waiting import AdmissionDecision
from gypsumhall.core._waiting import CallQueue
from gypsumhall.core._waiting import QueuedCall

SLOTS = 3
SERVICE_TIME_S = 0.12
_OBJECTIVE_S = 0.577
_TIMEOUT_S = 2.3
_ENDPOINTS_PER_ATTEMPT = 4
_ATTEMPTS = 4
_RETURN_DELAY_S = 0.05
# Longest delay of a returning caller, as a fraction of the time left to it.
_LONGEST_DELAY = 1 / 3
_JITTER = 0.5
_CHECK_INTERVAL_S = 0.05


class _Request:
    __slots__ = (
        'attempts',
        'counted',
        'deadline',
        'objective',
        'retry_after_s',
        'tenant',
        'untried',
    )

    def __init__(self, tenant: str, now: float, *, counted: bool) -> None:
        self.tenant = tenant
        self.objective = now + _OBJECTIVE_S
        self.deadline = now + _TIMEOUT_S
        self.attempts = 0
        self.counted = counted
        # Endpoints that the sender may still ask in this attempt.
        self.untried: list[CallQueue] = []
        self.retry_after_s = math.inf


class TenantLoad:
    """Simulated endpoints and callers.

    Parameters
    ----------
    seed : int
        Seed of arrivals, service times and choices.
    load : float
        Arrivals while the hot tenant is hot, as a multiple of the capacity.
    hot_factor : float
        Rate of the hot tenant as a multiple of its usual one, which fixes
        the rates of the others.
    is_hot : bool
        Whether the hot tenant sends that much, or its usual rate.
    is_fair : bool
        Whether the queues know the tenants.
    returns_at_once : bool
        Whether callers return soon after a rejection instead of when they
        were told to.
    tenants, endpoints : int
        Number of tenants and endpoints.

    Attributes
    ----------
    requests, served, in_time : Counter of str
        Requests that arrived while the hot tenant was hot, by tenant.
    """

    HOT = 't2'
    HOT_FROM_S = 2.0
    HOT_S = 6.5

    def __init__(
        self,
        seed: int,
        load: float,
        *,
        hot_factor: float = 7.5,
        is_hot: bool = True,
        is_fair: bool = True,
        returns_at_once: bool = False,
        tenants: int = 86,
        endpoints: int = 8,
    ) -> None:
        self._rng = Random(seed)
        self._is_fair = is_fair
        self._returns_at_once = returns_at_once
        self._queues = [CallQueue(SLOTS) for _ in range(endpoints)]
        weights = {f't{i}': 1 / (i + 3) for i in range(tenants)}
        total = sum(weights.values()) + (hot_factor - 1) * weights[self.HOT]
        rate = load * endpoints * SLOTS / SERVICE_TIME_S / total
        self._rates = {name: rate * w for name, w in weights.items()}
        self._hot_factor = hot_factor if is_hot else 1.0
        self._events: list[tuple[float, int, str, object]] = []
        self._event_count = 0
        self._waiting: dict[QueuedCall, _Request] = {}
        self.requests: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()

    def run(self) -> None:
        """Simulate until all requests that are counted have ended."""
        end = self.HOT_FROM_S + self.HOT_S
        for tenant, usual_rate in self._rates.items():
            now = 0.0
            while now < end:
                is_hot = tenant == self.HOT and now >= self.HOT_FROM_S
                rate = usual_rate * (self._hot_factor if is_hot else 1.0)
                now += self._rng.expovariate(rate)
                counted = self.HOT_FROM_S <= now < end
                request = _Request(tenant, now, counted=counted)
                self._schedule(now, 'arrive', request)
                self.requests[tenant] += counted
        for i in range(int((end + _TIMEOUT_S) / _CHECK_INTERVAL_S)):
            self._schedule(i * _CHECK_INTERVAL_S, 'check', None)
        while self._events:
            now, _, kind, item = heapq.heappop(self._events)
            if kind == 'arrive':
                assert isinstance(item, _Request)
                self._arrive(now, item)
            elif kind == 'end':
                assert isinstance(item, tuple)
                self._end(now, *item)
            else:
                for queue in self._queues:
                    self._evict(now, queue)

    def _schedule(self, time: float, kind: str, item: object) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (time, self._event_count, kind, item))

    def _arrive(self, now: float, request: _Request) -> None:
        request.attempts += 1
        request.retry_after_s = math.inf
        request.untried = self._rng.sample(
            self._queues, _ENDPOINTS_PER_ATTEMPT
        )
        self._ask_endpoints(now, request)

    def _ask_endpoints(self, now: float, request: _Request) -> None:
        while request.untried:
            queue = min(request.untried, key=CallQueue.expected_wait_s)
            request.untried.remove(queue)
            call = QueuedCall(
                'r',
                2,
                request.objective,
                request.deadline,
                is_caller_retry=request.attempts > 1,
                tenant=request.tenant if self._is_fair else '',
            )
            decision = queue.admit(now, call)
            if decision is AdmissionDecision.RUN:
                self._start(now, queue, request)
                return
            if decision is AdmissionDecision.WAIT:
                self._waiting[call] = request
                self._evict(now, queue)
                return
            self._record_rejection(now, queue, call, request)
        self._return_later(now, request)

    def _record_rejection(
        self, now: float, queue: CallQueue, call: QueuedCall, request: _Request
    ) -> None:
        request.retry_after_s = min(
            request.retry_after_s, queue.retry_after_s(now, call)
        )

    def _return_later(self, now: float, request: _Request) -> None:
        delay_s = _RETURN_DELAY_S
        if not self._returns_at_once:
            delay_s = min(
                request.retry_after_s,
                _LONGEST_DELAY * (request.deadline - now),
            )
        delay_s *= 1.0 + _JITTER * self._rng.random()
        if request.attempts < _ATTEMPTS and now + delay_s < request.deadline:
            self._schedule(now + delay_s, 'arrive', request)

    def _start(self, now: float, queue: CallQueue, request: _Request) -> None:
        work_s = SERVICE_TIME_S * self._rng.lognormvariate(-0.045, 0.3)
        self._schedule(now + work_s, 'end', (queue, request, work_s))

    def _end(
        self, now: float, queue: CallQueue, request: _Request, work_s: float
    ) -> None:
        queue.finish('r', work_s, failed=False, now=now)
        if request.counted and now <= request.deadline:
            self.served[request.tenant] += 1
            self.in_time[request.tenant] += now <= request.objective
        self._evict(now, queue)
        call = queue.dequeue(now)
        if call is not None:
            self._start(now, queue, self._waiting.pop(call))

    def _evict(self, now: float, queue: CallQueue) -> None:
        for call in queue.evict(now):
            request = self._waiting.pop(call)
            self._record_rejection(now, queue, call, request)
            self._ask_endpoints(now, request)
