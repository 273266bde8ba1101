"""Tests of hedged requests over a network in memory."""

from __future__ import annotations

import contextlib
import dataclasses
import math
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.core._hedge_policy import HedgePolicy
from gypsumhall.core._hedge_policy import HedgeSettings
from gypsumhall.core._quotas import Decision
from gypsumhall.core._waiting import AdmissionDecision
from gypsumhall.core._waiting import QueuedCall
from gypsumhall.net._messages import CallStart
from gypsumhall.net._messages import Message
from gypsumhall.services import _hedging
from gypsumhall.testing import call_trial
from gypsumhall.testing import hedged_load
from gypsumhall.testing.call_trial import CallTrial
from gypsumhall.testing.memory_network import Fault

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock

    from gypsumhall.services import _protocols

_RUN = AdmissionDecision.RUN
_SETTINGS = HedgeSettings(0.2, 0.95)
# Daemons 0, 2, 4 and 6 are in one zone, and 6 has no backend server.
_SENDER = 6
_USUAL_S = 0.05


@contextlib.asynccontextmanager
async def _trial(
    settings: HedgeSettings = _SETTINGS,
) -> AsyncIterator[CallTrial]:
    """Run daemons of which one sender knows the times of its route."""
    async with trio.open_nursery() as nursery:
        trial = CallTrial(nursery, 1, daemons=7)
        # Responses come at once after their head.
        trial.backend = hedged_load.SlowRunsBackend(1, 0.0, 0.0)
        trial.backend.constant_service_time = True
        trial.backend.mean_service_time_s = _USUAL_S
        await trial.start()
        await trio.sleep(20.0)
        hedged_load.set_policy(trial, settings)
        for index in range(60):
            request = hedged_load.build_request(trial, f'w{index}')
            assert await trial.call(_SENDER, request) == 'response'
        assert set(trial.backend.runs.values()) == {1}
        yield trial
        await trio.sleep(25.0)
        call_trial.raise_on_violations(trial)
        nursery.cancel_scope.cancel()


def _slow_next(trial: CallTrial, time_s: float = 1.0) -> None:
    """Make the first run of the next request slow, wherever it is."""
    assert isinstance(trial.backend, hedged_load.SlowRunsBackend)
    trial.backend.next_times_s = [time_s]


async def _call(
    trial: CallTrial, request_id: str = 'r', **changes: object
) -> float:
    """Send a request; return the time until its response in seconds."""
    started = trio.current_time()
    request = hedged_load.build_request(trial, request_id)
    # The type checker does not know the types of the changed fields.
    request = dataclasses.replace(request, **changes)  # type: ignore[arg-type]
    assert await trial.call(_SENDER, request) == 'response'
    return trio.current_time() - started


async def test_slowest_responses_with_and_without_hedges(
    autojump_clock: MockClock,
) -> None:
    """Guards against hedges that do not help, or need too much work."""
    calls = 6000
    off = await hedged_load.run_load(
        HedgeSettings(0.0), utilisation=0.4, calls=calls
    )
    on = await hedged_load.run_load(
        HedgeSettings(0.05), utilisation=0.4, calls=calls
    )
    print(off.describe('without'))
    print(on.describe('with'))
    assert not off.hedges
    assert off.runs == calls
    assert on.percentile_s(0.99) < 0.7 * off.percentile_s(0.99)
    assert on.percentile_s(0.999) < 0.9 * off.percentile_s(0.999)
    # A burst of 5 at each of 9 senders besides the share.
    assert on.runs <= calls * 1.05 + 45
    assert on.busy_s < 1.05 * off.busy_s
    assert on.hedges['won'] > on.hedges['rejected']


async def test_hedges_fade_under_overload(autojump_clock: MockClock) -> None:
    """Guards against hedges that take slots when there are too few."""
    off = await hedged_load.run_load(
        HedgeSettings(0.0), utilisation=1.3, calls=1500
    )
    on = await hedged_load.run_load(
        HedgeSettings(0.1), utilisation=1.3, calls=1500
    )
    print(off.describe('without'))
    print(on.describe('with'))
    ran = sum(on.hedges.get(name, 0.0) for name in ('won', 'lost', 'failed'))
    assert ran < 0.01 * 1500
    assert on.hedges.get('rejected', 0.0) < 0.02 * 1500
    assert len(on.times_s) > 0.97 * len(off.times_s)


async def test_loser_is_cancelled_at_once(autojump_clock: MockClock) -> None:
    """Guards against slots that losers occupy until their slow run ends."""
    async with _trial() as trial:
        backend = trial.backend
        assert isinstance(backend, hedged_load.SlowRunsBackend)
        _slow_next(trial)
        assert await _call(trial) < 3.5 * _USUAL_S
        assert trial.backend.runs['r'] == 2
        assert hedged_load.hedges(trial) == {'won': 1.0}
        await trio.sleep(0.02)
        assert not backend.running
        assert not any(item.runner.load.in_flight for item in trial.daemons)


async def test_first_attempt_that_responds_cancels_the_hedge(
    autojump_clock: MockClock,
) -> None:
    """Guards against two responses, and against hedges that run on."""
    async with _trial() as trial:
        backend = trial.backend
        assert isinstance(backend, hedged_load.SlowRunsBackend)
        backend.next_times_s = [2.0 * _USUAL_S, 1.0]
        assert await _call(trial) < 2.5 * _USUAL_S
        assert trial.backend.runs['r'] == 2
        assert hedged_load.hedges(trial) == {'lost': 1.0}
        await trio.sleep(0.02)
        assert not backend.running


async def test_no_hedges_by_default(autojump_clock: MockClock) -> None:
    """Guards against extra work that the operator has not asked for."""
    async with _trial(HedgeSettings()) as trial:
        _slow_next(trial)
        assert await _call(trial) >= 1.0
        assert trial.backend.runs['r'] == 1
        assert not hedged_load.hedges(trial)


@pytest.mark.parametrize(
    'changes',
    [
        {'idempotent': False},
        {'method': 'POST', 'idempotent': False, 'body': b'x' * 100_000},
        {'nested': True},
        {'attempts': 1},
    ],
)
async def test_requests_that_are_not_hedged(
    autojump_clock: MockClock, changes: dict[str, object]
) -> None:
    """Guards against a second run of requests that must not have one."""
    async with _trial() as trial:
        _slow_next(trial)
        assert await _call(trial, **changes) >= 1.0
        assert trial.backend.runs['r'] == 1
        made = hedged_load.hedges(trial)
        assert not set(made) & set(hedged_load.RESULTS)


async def test_hedges_stay_in_the_zone(autojump_clock: MockClock) -> None:
    """Guards against bytes between zones, the largest cost."""
    async with _trial() as trial:
        zone = [f'backend-{index}' for index in (0, 2, 4)]
        before = dict(trial.backend.runs_by_address)
        for index in range(20):
            _slow_next(trial)
            await _call(trial, f'r{index}')
            for warm in range(5):
                await _call(trial, f'r{index}-{warm}')
        assert hedged_load.hedges(trial)['won'] >= 15
        for address, runs in trial.backend.runs_by_address.items():
            assert address in zone or runs == before.get(address)


async def test_rejected_hedge_is_refunded(autojump_clock: MockClock) -> None:
    """Guards against rejected hedges that use up retries or the budget."""
    async with _trial() as trial:
        sender = trial.daemons[_SENDER].runner.sender
        policy = sender._hedge_policy
        assert policy is not None
        budget = sender._budget('availability')
        _slow_next(trial)
        # The hedge finds all slots taken, by calls of other senders.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call, trial)
            await trio.sleep(0.8 * _USUAL_S)
            tokens = policy._budget('availability').tokens
            retries = budget._tokens
            _fill_slots(trial)
            await trio.sleep(0.6 * _USUAL_S)
            assert policy._budget('availability').tokens == tokens
            assert budget._tokens >= retries
            assert policy.refusal('availability', trio.current_time())
        # The next tries meet the pause or further endpoints without a slot.
        made = hedged_load.hedges(trial)
        assert sum(made.values()) == 3.0
        assert 1.0 <= made['rejected'] <= 2.0
        assert trial.backend.runs['r'] == 1


def _fill_slots(trial: CallTrial) -> None:
    """Occupy all slots of all endpoints, which their senders do not know."""
    for daemon in trial.daemons[:-1]:
        backend = daemon.runner._backend
        assert backend is not None
        queue = backend.queue
        while queue.running < queue.slots:
            call = QueuedCall('r', 1, math.inf, math.inf)
            assert queue.admit(trio.current_time(), call) is _RUN


class _Quotas:
    """Quota without a token for a further attempt."""

    def __init__(self) -> None:
        self.asked = 0

    def take(self, tenant: str, now: float) -> Decision:
        """Refuse a token."""
        self.asked += 1
        return Decision(False, 'over-quota', 0.1)

    async def decide(self, tenant: str) -> Decision:
        """Refuse a token."""
        return self.take(tenant, 0.0)

    def give_back(self, tenant: str, now: float) -> None:
        """Do nothing."""


async def test_no_hedge_without_a_token_of_the_quota(
    autojump_clock: MockClock,
) -> None:
    """Guards against hedges that exceed the quota of a tenant."""
    async with _trial() as trial:
        sender = trial.daemons[_SENDER].runner.sender
        quotas: _protocols.Quotas = _Quotas()
        sender._quotas = quotas
        budget = sender._budget('availability')
        retries = budget._tokens
        _slow_next(trial)
        assert await _call(trial, tenant='t') >= 1.0
        assert trial.backend.runs['r'] == 1
        assert hedged_load.hedges(trial) == {'no-quota': 3.0}
        assert budget._tokens >= retries


async def test_no_hedge_without_a_retry_of_the_budget(
    autojump_clock: MockClock,
) -> None:
    """Guards against hedges beside the retry budget of the fleet."""
    async with _trial() as trial:
        budget = trial.daemons[_SENDER].runner.sender._budget('availability')
        budget.set_floor(0.0)
        _slow_next(trial)
        assert await _call(trial) >= 1.0
        assert trial.backend.runs['r'] == 1
        assert hedged_load.hedges(trial) == {'no-retry': 3.0}


async def test_killed_daemon_of_a_hedge(autojump_clock: MockClock) -> None:
    """Guards against a hedge that fails the request it was to help."""
    async with _trial() as trial:
        backend = trial.backend
        assert isinstance(backend, hedged_load.SlowRunsBackend)
        backend.next_times_s = [0.3, 1.0]
        before = dict(backend.runs_by_address)
        async with trio.open_nursery() as nursery:
            times_s: list[float] = []

            async def call() -> None:
                times_s.append(await _call(trial))

            nursery.start_soon(call)
            await trio.sleep(1.5 * _USUAL_S)
            assert backend.runs['r'] == 2
            hedge = backend.last_address
            assert backend.runs_by_address[hedge] == before.get(hedge, 0) + 1
            index = int(hedge.removeprefix('backend-'))
            nursery.start_soon(trial.restart, index, 1.0)
        assert times_s[0] < 0.32
        assert backend.runs['r'] == 2
        assert hedged_load.hedges(trial) == {'failed': 1.0}


async def test_silent_daemon_of_the_first_attempt(
    autojump_clock: MockClock,
) -> None:
    """Guards against a request that waits for a daemon that is silent."""
    async with _trial() as trial:
        silenced: list[str] = []

        def silence(source: str, target: str, message: Message) -> Fault:
            if isinstance(message, CallStart) and not silenced:
                silenced.append(target)
                return Fault.SILENCE
            return Fault.NONE

        trial.hub.fault_rule = silence
        assert await _call(trial) < 3.5 * _USUAL_S
        assert silenced
        assert hedged_load.hedges(trial) == {'won': 1.0}


async def test_silent_daemons_of_both_attempts(
    autojump_clock: MockClock,
) -> None:
    """Guards against a request that ends with two silent daemons."""
    async with _trial() as trial:
        silenced: list[str] = []

        def silence(source: str, target: str, message: Message) -> Fault:
            if isinstance(message, CallStart) and len(silenced) < 2:
                silenced.append(target)
                return Fault.SILENCE
            return Fault.NONE

        trial.hub.fault_rule = silence
        assert await _call(trial) < 2.0 + 5.0 * _USUAL_S
        assert len(silenced) == 2
        assert trial.backend.runs['r'] >= 1


async def test_random_faults_with_hedges(autojump_clock: MockClock) -> None:
    """Guards against broken rules of the call path with hedges."""
    call_trial.seed_scheduler(3)
    async with trio.open_nursery() as nursery:
        trial = CallTrial(nursery, 3, daemons=5, fault_rate=0.03)
        backend = hedged_load.SlowRunsBackend(3, 0.05)
        backend.reset_rate = backend.unreachable_rate = 0.02
        backend.break_rate = 0.02
        backend.chunked_rate = 0.5
        trial.backend = backend
        await trial.start()
        await trio.sleep(20.0)
        for daemon in trial.daemons:
            daemon.runner.sender.set_hedge_policy(
                HedgePolicy(HedgeSettings(0.2, 0.5))
            )
        async with trio.open_nursery() as calls:
            for _ in range(800):
                calls.start_soon(trial.random_call)
                await trio.sleep(0.03)
        made = hedged_load.hedges(trial)
        print(made, trial.results)
        assert made['won'] + made['lost'] > 10
        await trio.sleep(25.0)
        call_trial.raise_on_violations(trial)
        nursery.cancel_scope.cancel()


async def test_timer_calls_back_in_order(autojump_clock: MockClock) -> None:
    """Guards against hedges that are late, early or for ended attempts."""
    timer = _hedging.Timer()
    called: list[tuple[str, float]] = []

    def add(name: str, delay_s: float) -> _hedging.TimerEntry:
        return timer.add(
            trio.current_time() + delay_s,
            lambda: called.append((name, round(trio.current_time(), 3))),
        )

    async with trio.open_nursery() as nursery:
        add('first', 1.0)
        nursery.start_soon(timer.run)
        await trio.sleep(0.2)
        add('earlier', 0.3)
        cancelled = add('cancelled', 0.1)
        add('last', 5.0)
        cancelled.cancel()
        await trio.sleep(3.0)
        add('same time', 1.8)
        await trio.sleep(5.0)
        add('after a pause', 0.5)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert called == [
        ('earlier', 0.5),
        ('first', 1.0),
        ('same time', 5.0),
        ('last', 5.2),
        ('after a pause', 8.7),
    ]
