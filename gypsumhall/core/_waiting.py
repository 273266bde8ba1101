"""Order and bounds of the calls that wait for a backend server.

The load patterns that the rules answer are replayed by
``tests/test_core_waiting.py``:

* More calls than the slots can serve for seconds. A line in the order of
  arrival lets every call miss its latency objective. Here calls that can
  still meet it go first, the most urgent route before the others, and calls
  that cannot be served in time are refused when they arrive.
* Calls that an endpoint makes while it runs a request. They hold a slot
  elsewhere, so their routes rank first.
* All endpoints cold after a restart, at half of their speed, while callers
  that met nobody come back. Few late calls may wait, because each of them
  takes the slot of a call that would have been in time.
* An overload that lasts for seconds. Callers that are told to return after
  the wait of now come back to the same line until they give up; they are told
  to return later, spread by their own daemon.
* Callers that return after a refusal. Their objective has passed; they go
  before other late calls, because they give up soon.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

DEFAULT_SERVICE_S = 0.1
"""Service time in seconds that is assumed before the first measurement."""

_WEIGHT = 0.1
"""Weight of the latest service time in the moving means."""

_MEAN_S = 5.0
"""Time in seconds after which the mean service time counts a third. Without
it an endpoint that recovers, with few calls, would report its slow spell for
25 more calls."""

_MAX_ROUTES = 1024
"""Routes whose service times are kept, so that they stay below 0.2 MB."""

_FAILURE_WEIGHT = 0.1
"""Weight of the latest run in the share of failures."""

MAX_QUEUED_PER_SLOT = 2
"""Calls that may wait per slot. With more, calls of twice the mean service
time as their objective would all be late."""

_LATE_PER_SLOT = 0.34
"""Late calls that may wait per slot. A slot that runs one is not free for the
next call that could still be in time."""

_BRIEF_S = 1.0
"""Age in seconds of a line up to which its load is taken for a short peak.
In a longer one, late calls would only wait until their deadline, because
calls in time go before them."""

_DEADLINE_MARGIN = 0.9
"""Part of the time to the deadline in which an expected end has to lie; the
rest covers the error of the estimate and the way of the response."""

_SPREAD = 1.3
"""Multiple of the mean service time that a call must have until its objective
to go first; with the mean alone, half of the last ones would end late."""

_MIN_RETRY_AFTER_S = 0.05
"""Shortest time in seconds after which a refused caller may return."""

_LASTING_RETRY_AFTER_S = 0.8
"""Time in seconds after which a caller may return when the line has lasted for
longer than `_BRIEF_S`. One that returns as soon as the line of now has been
served meets the next one, and has used up its few attempts in half a second;
callers wait for a third of their time at most, which is 0.3 to 1.7 s."""


class AdmissionDecision(enum.Enum):
    """Decision about a call that arrives."""

    RUN = 'run'
    WAIT = 'wait'
    BUSY = 'busy'
    OVERLOADED = 'overloaded'


class QueuedCall:
    """A call in the line.

    Parameters
    ----------
    route : str
        Route of the call, whose service time is measured.
    priority : int
        Rank of the route, 0 for the most urgent.
    objective, deadline : float
        Times in seconds until which a response is worth most, and until
        which anybody waits for it.
    returning : bool
        Whether its caller was refused before.
    """

    __slots__ = (
        'deadline',
        'objective',
        'priority',
        'is_caller_retry',
        'route',
        'since',
        'work_s',
    )

    def __init__(
        self,
        route: str,
        priority: int,
        objective: float,
        deadline: float,
        *,
        is_caller_retry: bool = False,
    ) -> None:
        self.route = route
        self.priority = priority
        self.objective = objective
        self.deadline = deadline
        self.is_caller_retry = is_caller_retry
        self.since = 0.0
        self.work_s = DEFAULT_SERVICE_S


class CallQueue:
    """Calls that run on a backend server or wait for one of its slots.

    It reads no clock and wakes nobody: the owner passes the time in seconds
    and acts on the results.

    Parameters
    ----------
    slots : int
        Requests that the backend server executes at the same time.
    """

    __slots__ = (
        '_backlog_since',
        '_displaced',
        '_failing',
        '_line',
        '_mean_at',
        '_mean_s',
        '_route_s',
        '_running',
        '_slots',
    )

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)
        self._running = 0
        self._line: list[QueuedCall] = []
        self._displaced: list[QueuedCall] = []
        self._backlog_since = math.inf
        self._mean_s = 0.0
        self._mean_at = -math.inf
        self._route_s: dict[str, float] = {}
        self._failing = 0.0

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
        return len(self._line)

    @property
    def service_time_s(self) -> float:
        """Recent mean service time in seconds; 0 before the first run."""
        return self._mean_s

    @property
    def failure_rate(self) -> float:
        """Recent share of runs that failed, 0 to 1."""
        return self._failing

    def resize(self, slots: int) -> None:
        """Take over another number of slots."""
        self._slots = max(1, slots)

    def expected_wait_s(self) -> float:
        """Return how long a call arriving now would wait, in seconds."""
        if self._running < self._slots and not self._line:
            return 0.0
        work = sum(item.work_s for item in self._line)
        excess = self._running - self._slots + 1
        return (work + max(1, excess) * self._mean()) / self._slots

    def admit(
        self, now: float, waiter: QueuedCall, max_wait_s: float = math.inf
    ) -> AdmissionDecision:
        """Decide about a new call and count it unless it is refused.

        Parameters
        ----------
        now : float
            Current time in seconds.
        waiter : Waiter
            The call.
        max_wait_s : float
            Longest expected wait with which it wants to be accepted.
        """
        waiter.since = now
        waiter.work_s = self._route_s.get(waiter.route) or self._mean()
        if self._running < self._slots and not self._line:
            self._running += 1
            return AdmissionDecision.RUN
        wait = self._wait_of(now, waiter)
        if wait > max_wait_s:
            return AdmissionDecision.BUSY
        left = _DEADLINE_MARGIN * (waiter.deadline - now)
        if wait + waiter.work_s > left:
            return AdmissionDecision.OVERLOADED
        late = now + wait + waiter.work_s > waiter.objective
        if late and self._lasts(now):
            return AdmissionDecision.OVERLOADED
        rivals: list[QueuedCall] = []
        if len(self._line) >= MAX_QUEUED_PER_SLOT * self._slots:
            rivals = self._line
        elif late and self._late(now) >= self._late_limit():
            rivals = [item for item in self._line if _is_late(item, now)]
        if rivals:
            last = max(rivals, key=lambda item: _order(item, now))
            if _order(last, now) <= _order(waiter, now):
                return AdmissionDecision.OVERLOADED
            self._line.remove(last)
            self._displaced.append(last)
        if not self._line:
            self._backlog_since = now
        self._line.append(waiter)
        return AdmissionDecision.WAIT

    def dequeue(self, now: float) -> QueuedCall | None:
        """Return the call that runs next, if a slot is free."""
        if self._running >= self._slots or not self._line:
            return None
        chosen = min(self._line, key=lambda item: _order(item, now))
        self._line.remove(chosen)
        self._running += 1
        return chosen

    def evict(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls that cannot be served any more.

        These are the calls that more urgent ones displaced, those that
        would end after their deadline, and late ones beyond their limit.
        """
        hopeless = []
        ahead_s = 0.0
        # A late call that others overtake has to return while it has time.
        for item in sorted(self._line, key=lambda item: _order(item, now)):
            expected_wait_s = (
                ahead_s / self._slots if _is_late(item, now) else 0.0
            )
            if now + expected_wait_s + item.work_s > item.deadline:
                hopeless.append(item)
                self._line.remove(item)
            else:
                ahead_s += item.work_s
        hopeless += self._displaced
        self._displaced = []
        surplus = self._late(now) - self._late_limit()
        if surplus > 0:
            late = [item for item in self._line if _is_late(item, now)]
            late.sort(key=lambda item: _order(item, now))
            for item in late[-surplus:]:
                self._line.remove(item)
                hopeless.append(item)
        return hopeless

    def remove(self, waiter: QueuedCall) -> bool:
        """Remove a call whose caller has left; False when it runs."""
        if waiter in self._line:
            self._line.remove(waiter)
            return True
        return False

    def clear(self) -> Iterable[QueuedCall]:
        """Remove and return all calls that wait."""
        line, self._line = self._line, []
        return line

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
            Time in seconds that it took; None when it was cut short.
        failed : bool or None
            Whether the backend server failed; None when the run says
            nothing about it.
        now : float
            Current time in seconds, by which old runs are discounted.
        """
        self._running -= 1
        if failed is not None:
            self._failing += _FAILURE_WEIGHT * (failed - self._failing)
        if service_time_s is None:
            return
        weight = _WEIGHT
        if now > self._mean_at:
            if not math.isinf(self._mean_at):
                age_s = now - self._mean_at
                weight = max(weight, 1.0 - math.exp(-age_s / _MEAN_S))
            self._mean_at = now
        self._mean_s = _moved(self._mean_s, service_time_s, weight)
        if route not in self._route_s and len(self._route_s) >= _MAX_ROUTES:
            self._route_s.clear()
        known = self._route_s.get(route, 0.0)
        self._route_s[route] = _moved(known, service_time_s)

    def retry_after_s(self, now: float) -> float:
        """Return after how many seconds there is likely to be room."""
        if self._lasts(now):
            return max(_LASTING_RETRY_AFTER_S, self.expected_wait_s())
        return max(_MIN_RETRY_AFTER_S, self.expected_wait_s())

    def _mean(self) -> float:
        return self._mean_s or DEFAULT_SERVICE_S

    def _lasts(self, now: float) -> bool:
        """Whether calls have waited without a pause for a while."""
        return bool(self._line) and now - self._backlog_since > _BRIEF_S

    def _late_limit(self) -> int:
        return max(1, int(_LATE_PER_SLOT * self._slots))

    def _late(self, now: float) -> int:
        return sum(_is_late(item, now) for item in self._line)

    def _wait_of(self, now: float, waiter: QueuedCall) -> float:
        """Return how long a call would wait behind those that go before."""
        order = _order(waiter, now)
        ahead = sum(
            item.work_s for item in self._line if _order(item, now) <= order
        )
        excess = max(1, self._running - self._slots + 1)
        return (ahead + excess * self._mean()) / self._slots


def _is_late(item: QueuedCall, now: float) -> bool:
    return now + _SPREAD * item.work_s > item.objective


def _order(item: QueuedCall, now: float) -> tuple[bool, int, bool, float]:
    late = _is_late(item, now)
    limit = item.deadline if late else item.objective
    return late, item.priority, late and not item.is_caller_retry, limit


def _moved(mean: float, value: float, weight: float = _WEIGHT) -> float:
    return mean + weight * (value - mean) if mean else value
