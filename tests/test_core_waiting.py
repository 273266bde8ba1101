"""Replays of the load patterns that `gypsumhall.core._waiting` answers."""

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
_SERVICE_S = 0.12


def _waiter(
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


def _busy_line(slots: int = _SLOTS) -> CallQueue:
    line = CallQueue(slots)
    line.admit(0.0, _waiter(0.0))
    line.finish('r', _SERVICE_S)
    for _ in range(slots):
        assert line.admit(0.0, _waiter(0.0)) is AdmissionDecision.RUN
    return line


def _replay(
    line: CallQueue,
    rate: float,
    seconds: float,
    service_time_s: float = _SERVICE_S,
    seed: int = 7,
) -> Counter[str]:
    """Replay arrivals at a rate; count what became of them."""
    rng = Random(seed)
    results: Counter[str] = Counter()
    running: list[tuple[float, int, QueuedCall, float]] = []
    now = 0.0
    number = 0

    def start(waiter: QueuedCall, at: float) -> None:
        nonlocal number
        number += 1
        work = service_time_s * rng.lognormvariate(0.0, 0.3)
        heapq.heappush(running, (at + work, number, waiter, work))

    def finish_until(limit: float) -> None:
        while running and running[0][0] <= limit:
            ended, _, waiter, work = heapq.heappop(running)
            line.finish(waiter.route, work, failed=False)
            in_time = ended <= waiter.objective
            results['in-time' if in_time else 'late'] += 1
            for _ in line.evict(ended):
                results['refused-later'] += 1
            following = line.dequeue(ended)
            if following is not None:
                start(following, ended)

    while now < seconds:
        now += rng.expovariate(rate)
        finish_until(now)
        waiter = _waiter(now)
        verdict = line.admit(now, waiter)
        if verdict is AdmissionDecision.RUN:
            start(waiter, now)
        elif verdict is not AdmissionDecision.WAIT:
            results['refused'] += 1
        for _ in line.evict(now):
            results['refused-later'] += 1
    finish_until(math.inf)
    return results


def test_under_overload_the_slots_serve_calls_that_are_still_in_time() -> None:
    """Guards against a line in which every call becomes late."""
    rate = 1.6 * _SLOTS / _SERVICE_S
    results = _replay(CallQueue(_SLOTS), rate, 30.0)
    served = results['in-time'] + results['late']
    assert served > 0.95 * 30.0 * _SLOTS / _SERVICE_S / 1.05
    assert results['in-time'] > 0.9 * served


def test_cold_endpoints_under_overload_serve_calls_in_time() -> None:
    """A third of the calls were served late in the seconds after a restart.

    Four seconds at 1.4 times the capacity, with runs that take three quarters
    of the time to the objective.
    """
    service_time_s = 0.3
    results: Counter[str] = Counter()
    for seed in range(20):
        rate = 1.4 * _SLOTS / service_time_s
        line = CallQueue(_SLOTS)
        results += _replay(line, rate, 4.0, service_time_s, seed)
    calls = sum(results.values())
    assert results['in-time'] > 0.43 * calls
    assert results['late'] < 0.27 * calls


def test_below_the_capacity_nothing_is_refused() -> None:
    rate = 0.7 * _SLOTS / _SERVICE_S
    results = _replay(CallQueue(_SLOTS), rate, 30.0)
    assert results['refused'] + results['refused-later'] < 3
    assert results['late'] < 0.01 * results['in-time']


def test_urgent_calls_go_first_and_displace_others() -> None:
    """Calls of endpoints hold slots elsewhere and must not wait at the end."""
    line = _busy_line()
    for _ in range(MAX_QUEUED_PER_SLOT * _SLOTS):
        assert line.admit(0.0, _waiter(0.0)) is AdmissionDecision.WAIT
    assert line.admit(0.0, _waiter(0.0)) is AdmissionDecision.OVERLOADED
    urgent = _waiter(0.0, priority=1)
    assert line.admit(0.0, urgent) is AdmissionDecision.WAIT
    assert len(line.evict(0.0)) == 1
    line.finish('r', _SERVICE_S)
    assert line.dequeue(0.1) is urgent


def test_a_call_in_time_goes_before_one_that_is_late() -> None:
    line = _busy_line()
    late = _waiter(0.0, objective_s=0.05)
    timely = _waiter(0.0, objective_s=0.6)
    assert line.admit(0.0, late) is AdmissionDecision.WAIT
    assert line.admit(0.0, timely) is AdmissionDecision.WAIT
    line.finish('r', _SERVICE_S)
    assert line.dequeue(0.1) is timely


def test_a_returning_caller_goes_before_other_late_ones() -> None:
    """A caller that was refused before gives up for good soon."""
    line = _busy_line()
    first = _waiter(0.0, objective_s=0.05)
    retried = _waiter(0.0, objective_s=-0.3, is_caller_retry=True)
    line.admit(0.0, first)
    line.admit(0.0, retried)
    line.finish('r', _SERVICE_S)
    assert line.dequeue(0.1) is retried


@pytest.mark.parametrize('deadline_s', [0.05, 0.11, 0.13])
def test_what_cannot_be_served_in_time_is_refused_at_once(
    deadline_s: float,
) -> None:
    line = _busy_line()
    waiter = _waiter(0.0, objective_s=deadline_s, deadline_s=deadline_s)
    assert line.admit(0.0, waiter) is AdmissionDecision.OVERLOADED
    assert line.queued == 0


def test_a_waiting_call_is_given_up_when_it_becomes_hopeless() -> None:
    line = _busy_line()
    waiter = _waiter(0.0, objective_s=0.3, deadline_s=0.3)
    assert line.admit(0.0, waiter) is AdmissionDecision.WAIT
    assert line.evict(0.1) == []
    assert line.evict(0.2) == [waiter]
    assert not line.remove(waiter)


def test_an_offer_with_a_short_wait_is_declined_without_queueing() -> None:
    line = _busy_line()
    assert line.admit(0.0, _waiter(0.0), 0.001) is AdmissionDecision.BUSY
    assert line.queued == 0
    line.finish('r', _SERVICE_S)
    assert line.admit(0.1, _waiter(0.1), 0.0) is AdmissionDecision.RUN


def test_in_a_lasting_overload_late_calls_are_refused_at_once() -> None:
    """They were held for 0.4 s and refused then, on steamgate-na scale-1."""
    line = _busy_line()
    assert (
        line.admit(0.0, _waiter(0.0, objective_s=0.01))
        is AdmissionDecision.WAIT
    )
    late = _waiter(1.1, objective_s=0.01)
    timely = _waiter(1.1, objective_s=0.9)
    assert line.admit(1.1, late) is AdmissionDecision.OVERLOADED
    assert line.admit(1.1, timely) is AdmissionDecision.WAIT


def test_late_calls_are_limited_to_what_is_served_soon() -> None:
    """Calls without a chance must not be held until their deadline."""
    line = _busy_line()
    verdicts = [
        line.admit(0.0, _waiter(0.0, objective_s=0.01))
        for _ in range(MAX_QUEUED_PER_SLOT * _SLOTS)
    ]
    assert verdicts.count(AdmissionDecision.WAIT) == _SLOTS // 3


def test_in_a_lasting_overload_callers_return_later() -> None:
    """They used up all attempts on one line, 583 refusals a second."""
    line = _busy_line()
    line.admit(0.0, _waiter(0.0))
    brief_s = line.retry_after_s(0.1)
    assert brief_s < 0.1
    for step in range(15):
        line.admit(0.1 * step, _waiter(0.1 * step, objective_s=9.0))
    assert line.retry_after_s(1.5) > 5 * brief_s
    while line.queued:
        line.finish('r', _SERVICE_S)
        line.dequeue(1.5)
    assert line.retry_after_s(1.6) < 0.1


def test_a_late_call_may_wait_when_the_line_is_empty() -> None:
    """It was refused long after the last overload, with nobody waiting."""
    line = _busy_line()
    assert line.admit(0.0, _waiter(0.0)) is AdmissionDecision.WAIT
    line.finish('r', _SERVICE_S)
    assert line.dequeue(0.1) is not None
    late = _waiter(20.0, objective_s=0.01)
    assert line.admit(20.0, late) is AdmissionDecision.WAIT


def test_the_mean_follows_a_recovery_with_few_calls() -> None:
    """Guards against a slow spell that is reported for dozens of calls."""
    line = CallQueue(1)
    for index in range(30):
        line.admit(index, QueuedCall('r', 0, index + 9.0, index + 9.0))
        line.finish('r', 0.5, now=float(index))
    assert line.service_time_s == pytest.approx(0.5)
    for index in range(30, 40):
        line.admit(index, QueuedCall('r', 0, index + 9.0, index + 9.0))
        line.finish('r', 0.1, now=float(index))
    assert line.service_time_s < 0.16


def test_the_mean_of_many_calls_hardly_follows_one() -> None:
    """Guards against an estimate that follows single calls under load."""
    line = CallQueue(1)
    for index in range(100):
        now = index / 100
        line.admit(now, QueuedCall('r', 0, now + 9.0, now + 9.0))
        line.finish('r', 0.5 if index == 99 else 0.1, now=now)
    assert line.service_time_s < 0.15
