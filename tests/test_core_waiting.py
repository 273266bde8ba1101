"""Simulations of the load patterns that `gypsumhall.core._waiting` handles."""

from __future__ import annotations

from collections import Counter
import heapq
import math
from random import Random

import pytest

from gypsumhall.core._waiting import AdmissionDecision
from gypsumhall.core._waiting import CallQueue
from gypsumhall.core._waiting import MAX_QUEUED_PER_SLOT
from gypsumhall.core._waiting import QueuedCall

_SLOTS = 6
_SERVICE_TIME_S = 0.12


def _call(
    now: float,
    *,
    route: str = 'r',
    priority: int = 2,
    objective_s: float = 0.4,
    deadline_s: float = 1.2,
    is_caller_retry: bool = False,
) -> QueuedCall:
    return QueuedCall(
        route,
        priority,
        now + objective_s,
        now + deadline_s,
        is_caller_retry=is_caller_retry,
    )


def _busy_queue(slots: int = _SLOTS) -> CallQueue:
    queue = CallQueue(slots)
    queue.admit(0.0, _call(0.0))
    queue.finish('r', _SERVICE_TIME_S)
    for _ in range(slots):
        assert queue.admit(0.0, _call(0.0)) is AdmissionDecision.RUN
    return queue


def _simulate(
    queue: CallQueue,
    rate: float,
    seconds: float,
    service_time_s: float = _SERVICE_TIME_S,
    seed: int = 7,
) -> Counter[str]:
    """Simulate arrivals at a rate per second; count the results."""
    rng = Random(seed)
    results: Counter[str] = Counter()
    running: list[tuple[float, int, QueuedCall, float]] = []
    now = 0.0
    number = 0

    def start(call: QueuedCall, at: float) -> None:
        nonlocal number
        number += 1
        work = service_time_s * rng.lognormvariate(0.0, 0.3)
        heapq.heappush(running, (at + work, number, call, work))

    def finish_until(limit: float) -> None:
        while running and running[0][0] <= limit:
            ended, _, call, work = heapq.heappop(running)
            queue.finish(call.route, work, failed=False)
            in_time = ended <= call.objective
            results['in-time' if in_time else 'late'] += 1
            for _ in queue.evict(ended):
                results['evicted'] += 1
            next_call = queue.dequeue(ended)
            if next_call is not None:
                start(next_call, ended)

    while now < seconds:
        now += rng.expovariate(rate)
        finish_until(now)
        call = _call(now)
        decision = queue.admit(now, call)
        if decision is AdmissionDecision.RUN:
            start(call, now)
        elif decision is not AdmissionDecision.WAIT:
            results['rejected'] += 1
        for _ in queue.evict(now):
            results['evicted'] += 1
    finish_until(math.inf)
    return results


def test_slots_serve_calls_in_time_under_overload() -> None:
    """Guards against a queue in which every call becomes late."""
    rate = 1.6 * _SLOTS / _SERVICE_TIME_S
    results = _simulate(CallQueue(_SLOTS), rate, 30.0)
    served = results['in-time'] + results['late']
    assert served > 0.95 * 30.0 * _SLOTS / _SERVICE_TIME_S / 1.05
    assert results['in-time'] > 0.9 * served


def test_cold_endpoints_serve_calls_in_time_under_overload() -> None:
    """Guards against serving late calls for seconds after a restart.

    A third of the calls were late when too many late calls were queued. The
    load lasts four seconds at 1.4 times the capacity, with runs that take
    three quarters of the time to the objective.
    """
    service_time_s = 0.3
    results: Counter[str] = Counter()
    for seed in range(20):
        rate = 1.4 * _SLOTS / service_time_s
        queue = CallQueue(_SLOTS)
        results += _simulate(queue, rate, 4.0, service_time_s, seed)
    calls = sum(results.values())
    assert results['in-time'] > 0.43 * calls
    assert results['late'] < 0.27 * calls


def test_no_calls_are_rejected_below_capacity() -> None:
    rate = 0.7 * _SLOTS / _SERVICE_TIME_S
    results = _simulate(CallQueue(_SLOTS), rate, 30.0)
    assert results['rejected'] + results['evicted'] < 3
    assert results['late'] < 0.01 * results['in-time']


def test_urgent_calls_go_first_and_displace_others() -> None:
    """Guards against queueing the calls of endpoints behind all others.

    An endpoint that makes a call holds a slot elsewhere until it returns.
    """
    queue = _busy_queue()
    for _ in range(MAX_QUEUED_PER_SLOT * _SLOTS):
        assert queue.admit(0.0, _call(0.0)) is AdmissionDecision.WAIT
    assert queue.admit(0.0, _call(0.0)) is AdmissionDecision.OVERLOADED
    urgent = _call(0.0, priority=1)
    assert queue.admit(0.0, urgent) is AdmissionDecision.WAIT
    assert len(queue.evict(0.0)) == 1
    queue.finish('r', _SERVICE_TIME_S)
    assert queue.dequeue(0.1) is urgent


def test_call_in_time_goes_before_late_call() -> None:
    queue = _busy_queue()
    late = _call(0.0, objective_s=0.05)
    timely = _call(0.0, objective_s=0.6)
    assert queue.admit(0.0, late) is AdmissionDecision.WAIT
    assert queue.admit(0.0, timely) is AdmissionDecision.WAIT
    queue.finish('r', _SERVICE_TIME_S)
    assert queue.dequeue(0.1) is timely


def test_retry_of_a_caller_goes_before_other_late_calls() -> None:
    """A caller that was rejected before times out soon."""
    queue = _busy_queue()
    first = _call(0.0, objective_s=0.05)
    retried = _call(0.0, objective_s=-0.3, is_caller_retry=True)
    queue.admit(0.0, first)
    queue.admit(0.0, retried)
    queue.finish('r', _SERVICE_TIME_S)
    assert queue.dequeue(0.1) is retried


@pytest.mark.parametrize('deadline_s', [0.05, 0.11, 0.13])
def test_call_that_would_miss_its_deadline_is_rejected(
    deadline_s: float,
) -> None:
    queue = _busy_queue()
    call = _call(0.0, objective_s=deadline_s, deadline_s=deadline_s)
    assert queue.admit(0.0, call) is AdmissionDecision.OVERLOADED
    assert queue.queued == 0


def test_queued_call_that_would_miss_its_deadline_is_evicted() -> None:
    queue = _busy_queue()
    call = _call(0.0, objective_s=0.3, deadline_s=0.3)
    assert queue.admit(0.0, call) is AdmissionDecision.WAIT
    assert queue.evict(0.1) == []
    assert queue.evict(0.2) == [call]
    assert not queue.remove(call)


def test_call_with_a_short_maximum_wait_is_not_queued() -> None:
    queue = _busy_queue()
    assert queue.admit(0.0, _call(0.0), 0.001) is AdmissionDecision.BUSY
    assert queue.queued == 0
    queue.finish('r', _SERVICE_TIME_S)
    assert queue.admit(0.1, _call(0.1), 0.0) is AdmissionDecision.RUN


def test_late_calls_are_rejected_in_a_long_overload() -> None:
    """Guards against queueing late calls that are evicted later.

    On day scale-1 of steamgate-na they were queued for 0.4 s first.
    """
    queue = _busy_queue()
    assert (
        queue.admit(0.0, _call(0.0, objective_s=0.01))
        is AdmissionDecision.WAIT
    )
    late = _call(1.1, objective_s=0.01)
    timely = _call(1.1, objective_s=0.9)
    assert queue.admit(1.1, late) is AdmissionDecision.OVERLOADED
    assert queue.admit(1.1, timely) is AdmissionDecision.WAIT


def test_number_of_queued_late_calls_is_limited() -> None:
    """Guards against queueing calls until their deadline without a run."""
    queue = _busy_queue()
    decisions = [
        queue.admit(0.0, _call(0.0, objective_s=0.01))
        for _ in range(MAX_QUEUED_PER_SLOT * _SLOTS)
    ]
    assert decisions.count(AdmissionDecision.WAIT) == _SLOTS // 3


def test_retry_delay_is_longer_in_a_long_overload() -> None:
    """Guards against callers that use up their attempts on one overload.

    With retry delays of the current wait, 583 calls a second were rejected.
    """
    queue = _busy_queue()
    queue.admit(0.0, _call(0.0))
    brief_s = queue.retry_after_s(0.1)
    assert brief_s < 0.1
    for step in range(15):
        queue.admit(0.1 * step, _call(0.1 * step, objective_s=9.0))
    assert queue.retry_after_s(1.5) > 5 * brief_s
    while queue.queued:
        queue.finish('r', _SERVICE_TIME_S)
        queue.dequeue(1.5)
    assert queue.retry_after_s(1.6) < 0.1


def test_late_call_is_queued_when_the_queue_is_empty() -> None:
    """Guards against a backlog age that is not reset with an empty queue.

    Late calls were rejected long after the last overload.
    """
    queue = _busy_queue()
    assert queue.admit(0.0, _call(0.0)) is AdmissionDecision.WAIT
    queue.finish('r', _SERVICE_TIME_S)
    assert queue.dequeue(0.1) is not None
    late = _call(20.0, objective_s=0.01)
    assert queue.admit(20.0, late) is AdmissionDecision.WAIT


def test_mean_service_time_follows_a_recovery_with_few_calls() -> None:
    """Guards against reporting earlier slowness for dozens of calls."""
    queue = CallQueue(1)
    for index in range(30):
        queue.admit(index, QueuedCall('r', 0, index + 9.0, index + 9.0))
        queue.finish('r', 0.5, now=float(index))
    assert queue.service_time_s == pytest.approx(0.5)
    for index in range(30, 40):
        queue.admit(index, QueuedCall('r', 0, index + 9.0, index + 9.0))
        queue.finish('r', 0.1, now=float(index))
    assert queue.service_time_s < 0.16


def test_mean_service_time_of_many_calls_hardly_follows_one() -> None:
    """Guards against an estimate that follows single calls under load."""
    queue = CallQueue(1)
    for index in range(100):
        now = index / 100
        queue.admit(now, QueuedCall('r', 0, now + 9.0, now + 9.0))
        queue.finish('r', 0.5 if index == 99 else 0.1, now=now)
    assert queue.service_time_s < 0.15
