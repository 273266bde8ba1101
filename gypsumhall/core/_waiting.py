"""Admission and ordering of the calls queued for a backend server.

A call is late when it is not expected to meet its latency objective. The
rules handle these load patterns, which ``tests/test_core_waiting.py``
simulates:

* More calls than the slots can serve for seconds. In a first-in, first-out
  queue every call would miss its latency objective. Here calls that can still
  meet it go first, in the order of their routes' priorities, and calls that
  cannot be served in time are rejected on arrival.
* Calls that an endpoint makes while it executes a request. They hold a slot
  elsewhere, so their routes have the highest priority.
* All endpoints cold after a restart and running at half their speed, while
  callers that found no endpoint retry. The number of queued late calls is
  limited, because each of them takes the slot of a call that would have been
  in time.
* An overload that lasts for seconds. Callers whose retry delay covers only
  the current wait return to the same queue until they run out of attempts.
  They get a longer delay, to which their own daemon adds jitter.
* A tenant that sends many times its usual rate, and whose callers return at
  once. Among calls of the same lateness and priority, those of tenants that
  have recently been given more than the mean service time go last
  (`gypsumhall.core._tenant_shares`).
* Callers that retry after a rejection. Their objective has passed; they go
  before other late calls, because they time out soon.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

from gypsumhall.core._tenant_shares import TenantShares

if TYPE_CHECKING:
    from collections.abc import Iterable

DEFAULT_SERVICE_TIME_S = 0.1
"""Service time in seconds assumed before the first measurement."""

_MEAN_WEIGHT = 0.1
"""Weight of the latest service time in the moving means."""

_MEAN_DECAY_S = 5.0
"""Time in seconds after which the weight of the mean service time has decayed
to 1/e. Without the decay, an endpoint that recovers and gets few calls would
report its earlier slowness for 25 more calls."""

_MAX_ROUTES = 1024
"""Routes whose service times are stored; bounds the memory to 0.2 MB."""

_FAILURE_WEIGHT = 0.1
"""Weight of the latest run in the moving failure rate."""

MAX_QUEUED_PER_SLOT = 2
"""Maximum number of queued calls per slot. With more, calls whose objective is
twice the mean service time would all be late."""

_MAX_LATE_PER_SLOT = 0.34
"""Maximum number of queued late calls per slot. A slot that runs one is not
free for the next call that could still be in time."""

_SHORT_BACKLOG_S = 1.0
"""Age in seconds up to which a backlog is treated as a short peak. In a longer
one, late calls would be queued until their deadline without being served,
because calls in time go first."""

_DEADLINE_MARGIN = 0.9
"""Fraction of the time to the deadline within which a call must be expected to
end; the rest covers the estimation error and the network delay of the
response."""

_OBJECTIVE_MARGIN = 1.3
"""Multiple of the mean service time that must be left until the objective of a
call for it to count as in time; with a factor of 1, half of the calls that
barely qualify would end late."""

_MIN_RETRY_AFTER_S = 0.05
"""Shortest retry delay in seconds for a rejected caller."""

_MAX_SHARE_FACTOR = 2.0
"""Longest retry delay of a tenant above the mean share, as a multiple of that
of the others."""

_CALLER_WAIT_FRACTION = 1 / 3
"""Fraction of the time left to them that callers wait at most."""

_LONG_BACKLOG_RETRY_AFTER_S = 0.8
"""Retry delay in seconds once the backlog is older than `_SHORT_BACKLOG_S`.
Callers that retry as soon as the current queue has been served find the next
one full as well and use up their few attempts within half a second. Callers
wait for at most a third of their time, which is 0.3 to 1.7 s."""


class AdmissionDecision(enum.Enum):
    """Admission decision about a new call."""

    RUN = 'run'
    WAIT = 'wait'
    BUSY = 'busy'
    OVERLOADED = 'overloaded'


_SortKey = tuple[bool, int, float, bool, float]
"""Late, priority, excess service time of the tenant, not returning, limit."""


class QueuedCall:
    """A call in the queue.

    Parameters
    ----------
    route : str
        Route of the call, whose service time is measured.
    priority : int
        Priority of the route, 0 for the most urgent.
    objective : float
        Time in seconds until which a response meets the latency objective.
    deadline : float
        Time in seconds until which the caller waits for a response.
    is_caller_retry : bool
        Whether the caller retries after a rejection.
    tenant : str
        Tenant that sent the request; empty for none.
    """

    __slots__ = (
        'deadline',
        'enqueued_at',
        'expected_service_time_s',
        'is_caller_retry',
        'objective',
        'priority',
        'route',
        'tenant',
    )

    def __init__(
        self,
        route: str,
        priority: int,
        objective: float,
        deadline: float,
        *,
        is_caller_retry: bool = False,
        tenant: str = '',
    ) -> None:
        self.route = route
        self.priority = priority
        self.objective = objective
        self.deadline = deadline
        self.is_caller_retry = is_caller_retry
        self.tenant = tenant
        self.enqueued_at = 0.0
        self.expected_service_time_s = DEFAULT_SERVICE_TIME_S


class CallQueue:
    """Calls that run on a backend server or wait for one of its slots.

    The class reads no clock and schedules no tasks: the owner passes the
    current time in seconds and acts on the results.

    Parameters
    ----------
    slots : int
        Requests that the backend server executes at the same time.
    """

    __slots__ = (
        '_backlog_since',
        '_displaced',
        '_failure_rate',
        '_mean_service_time_s',
        '_mean_updated_at',
        '_queue',
        '_route_service_times_s',
        '_running',
        '_shares',
        '_slots',
    )

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)
        self._running = 0
        self._shares = TenantShares()
        self._queue: list[QueuedCall] = []
        self._displaced: list[QueuedCall] = []
        self._backlog_since = math.inf
        self._mean_service_time_s = 0.0
        self._mean_updated_at = -math.inf
        self._route_service_times_s: dict[str, float] = {}
        self._failure_rate = 0.0

    @property
    def slots(self) -> int:
        """Requests that may run at the same time."""
        return self._slots

    @property
    def running(self) -> int:
        """Calls being executed."""
        return self._running

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self._queue)

    @property
    def service_time_s(self) -> float:
        """Recent mean service time in seconds; 0 before the first run."""
        return self._mean_service_time_s

    @property
    def failure_rate(self) -> float:
        """Recent failure rate of the runs, 0 to 1."""
        return self._failure_rate

    def occupy(self) -> None:
        """Count something else that takes a slot of the backend server."""
        self._running += 1

    def release(self) -> None:
        """Count the end of what `occupy` counted."""
        self._running -= 1

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        self._slots = max(1, slots)

    def expected_wait_s(self) -> float:
        """Return the expected wait in seconds of a call that arrives now."""
        if self._running < self._slots and not self._queue:
            return 0.0
        queued_s = sum(call.expected_service_time_s for call in self._queue)
        excess = self._running - self._slots + 1
        return (
            queued_s + max(1, excess) * self._mean_or_default_s()
        ) / self._slots

    def admit(
        self, now: float, call: QueuedCall, max_wait_s: float = math.inf
    ) -> AdmissionDecision:
        """Decide about a new call and count it unless it is rejected.

        Parameters
        ----------
        now : float
            Current time in seconds.
        call : QueuedCall
            The call.
        max_wait_s : float
            Longest expected wait in seconds for which the sender wants the
            call to be queued.
        """
        call.enqueued_at = now
        call.expected_service_time_s = (
            self._route_service_times_s.get(call.route)
            or self._mean_or_default_s()
        )
        if self._running < self._slots and not self._queue:
            self._running += 1
            self._charge(now, call)
            return AdmissionDecision.RUN
        keys = self._sort_keys(now, call)
        wait_time_s = self._expected_wait_of(call, keys)
        if wait_time_s > max_wait_s:
            return AdmissionDecision.BUSY
        time_left = _DEADLINE_MARGIN * (call.deadline - now)
        if wait_time_s + call.expected_service_time_s > time_left:
            return AdmissionDecision.OVERLOADED
        late = (
            now + wait_time_s + call.expected_service_time_s > call.objective
        )
        if late and self._has_long_backlog(now):
            return AdmissionDecision.OVERLOADED
        candidates: list[QueuedCall] = []
        if len(self._queue) >= MAX_QUEUED_PER_SLOT * self._slots:
            candidates = self._queue
        elif late and self._count_late(now) >= self._max_late():
            candidates = [
                other for other in self._queue if _is_late(other, now)
            ]
        if candidates:
            last = max(candidates, key=keys.__getitem__)
            if keys[last] <= keys[call]:
                return AdmissionDecision.OVERLOADED
            self._queue.remove(last)
            self._displaced.append(last)
        if not self._queue:
            self._backlog_since = now
        self._queue.append(call)
        return AdmissionDecision.WAIT

    def dequeue(self, now: float) -> QueuedCall | None:
        """Return the call that runs next, if a slot is free."""
        if self._running >= self._slots or not self._queue:
            return None
        chosen = min(self._queue, key=self._sort_keys(now).__getitem__)
        self._queue.remove(chosen)
        self._running += 1
        self._charge(now, chosen)
        return chosen

    def evict(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls that can no longer be served.

        These are the calls that more urgent ones displaced, those that
        would end after their deadline, and late calls above their limit.
        """
        evicted = []
        ahead_s = 0.0
        # A late call that others overtake is evicted while its caller still
        # has time to retry.
        keys = self._sort_keys(now)
        for call in sorted(self._queue, key=keys.__getitem__):
            delay_s = ahead_s / self._slots if _is_late(call, now) else 0.0
            if now + delay_s + call.expected_service_time_s > call.deadline:
                evicted.append(call)
                self._queue.remove(call)
            else:
                ahead_s += call.expected_service_time_s
        evicted += self._displaced
        self._displaced = []
        excess = self._count_late(now) - self._max_late()
        if excess > 0:
            late = [call for call in self._queue if _is_late(call, now)]
            late.sort(key=keys.__getitem__)
            for call in late[-excess:]:
                self._queue.remove(call)
                evicted.append(call)
        return evicted

    def remove(self, call: QueuedCall) -> bool:
        """Remove a call that was cancelled; False when it is not queued."""
        if call in self._queue:
            self._queue.remove(call)
            return True
        return False

    def clear(self) -> Iterable[QueuedCall]:
        """Remove and return all queued calls."""
        queue, self._queue = self._queue, []
        return queue

    def finish(
        self,
        route: str,
        service_time_s: float | None,
        *,
        failed: bool | None = None,
        now: float = -math.inf,
    ) -> None:
        """Count a call that no longer runs.

        Parameters
        ----------
        route : str
            Route of the call.
        service_time_s : float or None
            Service time in seconds; None when the run was aborted.
        failed : bool or None
            Whether the backend server failed; None when the run gives no
            evidence.
        now : float
            Current time in seconds; the weight of earlier runs decays with
            time.
        """
        self._running -= 1
        if failed is not None:
            self._failure_rate += _FAILURE_WEIGHT * (
                failed - self._failure_rate
            )
        if service_time_s is None:
            return
        weight = _MEAN_WEIGHT
        if now > self._mean_updated_at:
            if not math.isinf(self._mean_updated_at):
                age_s = now - self._mean_updated_at
                weight = max(weight, 1.0 - math.exp(-age_s / _MEAN_DECAY_S))
            self._mean_updated_at = now
        self._mean_service_time_s = _update_mean(
            self._mean_service_time_s, service_time_s, weight
        )
        if (
            route not in self._route_service_times_s
            and len(self._route_service_times_s) >= _MAX_ROUTES
        ):
            self._route_service_times_s.clear()
        mean = self._route_service_times_s.get(route, 0.0)
        self._route_service_times_s[route] = _update_mean(mean, service_time_s)

    def retry_after_s(
        self, now: float, call: QueuedCall | None = None
    ) -> float:
        """Return the time in seconds until there is likely to be room.

        Parameters
        ----------
        now : float
            Current time in seconds.
        call : QueuedCall or None
            Rejected call. The delay is longer for a tenant above the mean
            share, whose next call would be rejected in favor of others, but
            not so long that its caller could not return.
        """
        minimum_s = _MIN_RETRY_AFTER_S
        if self._has_long_backlog(now):
            minimum_s = _LONG_BACKLOG_RETRY_AFTER_S
        retry_after_s = max(minimum_s, self.expected_wait_s())
        mean_s = self._shares.mean_s(now)
        if call is None or not mean_s:
            return retry_after_s
        factor = self._shares.used_s(now, call.tenant) / mean_s
        longest_s = _CALLER_WAIT_FRACTION * (call.deadline - now)
        return max(
            retry_after_s,
            min(
                longest_s,
                retry_after_s * min(factor, _MAX_SHARE_FACTOR),
            ),
        )

    def tenant_class(self, now: float, call: QueuedCall) -> str:
        """Return how much its tenant uses: `none`, `within` or `above`."""
        if not call.tenant:
            return 'none'
        used_s = self._shares.used_s(now, call.tenant)
        return 'above' if used_s > self._shares.mean_s(now) else 'within'

    def _charge(self, now: float, call: QueuedCall) -> None:
        """Charge a call that begins to run to its tenant.

        Calls without a tenant count as those of one more tenant, except
        nested calls, which hold a slot for another call.
        """
        if call.tenant or (call.priority and len(self._shares)):
            self._shares.charge(now, call.tenant, call.expected_service_time_s)

    def _sort_keys(
        self, now: float, new_call: QueuedCall | None = None
    ) -> dict[QueuedCall, _SortKey]:
        """Return the key by which each queued call is ordered.

        Parameters
        ----------
        now : float
            Current time in seconds.
        new_call : QueuedCall or None
            Call to include that is not queued.
        """
        calls = self._queue if new_call is None else [*self._queue, new_call]
        keys = {call: _sort_key(call, now) for call in calls}
        mean_s = self._shares.mean_s(now)
        if not mean_s:
            return keys
        used_s: dict[str, float] = {}
        for call in sorted(calls, key=keys.__getitem__):
            late, priority, _, first, limit = keys[call]
            tenant = call.tenant
            if not tenant and not priority:
                continue
            if tenant not in used_s:
                used_s[tenant] = self._shares.used_s(now, tenant)
            excess_s = max(0.0, used_s[tenant] - mean_s)
            used_s[tenant] += call.expected_service_time_s
            keys[call] = late, priority, excess_s, first, limit
        return keys

    def _mean_or_default_s(self) -> float:
        return self._mean_service_time_s or DEFAULT_SERVICE_TIME_S

    def _has_long_backlog(self, now: float) -> bool:
        """Whether calls have been queued for longer than a short peak."""
        return (
            bool(self._queue) and now - self._backlog_since > _SHORT_BACKLOG_S
        )

    def _max_late(self) -> int:
        return max(1, int(_MAX_LATE_PER_SLOT * self._slots))

    def _count_late(self, now: float) -> int:
        return sum(_is_late(call, now) for call in self._queue)

    def _expected_wait_of(
        self, call: QueuedCall, keys: dict[QueuedCall, _SortKey]
    ) -> float:
        """Return the expected wait in seconds behind calls that go first."""
        order = keys[call]
        ahead_s = sum(
            other.expected_service_time_s
            for other in self._queue
            if keys[other] <= order
        )
        excess = max(1, self._running - self._slots + 1)
        return (ahead_s + excess * self._mean_or_default_s()) / self._slots


def _is_late(call: QueuedCall, now: float) -> bool:
    return (
        now + _OBJECTIVE_MARGIN * call.expected_service_time_s > call.objective
    )


def _sort_key(call: QueuedCall, now: float) -> _SortKey:
    """Return the key without the share of the tenant."""
    late = _is_late(call, now)
    limit = call.deadline if late else call.objective
    return late, call.priority, 0.0, late and not call.is_caller_retry, limit


def _update_mean(
    mean: float, value: float, weight: float = _MEAN_WEIGHT
) -> float:
    return mean + weight * (value - mean) if mean else value
