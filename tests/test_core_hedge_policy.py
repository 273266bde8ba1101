"""Tests of the delays and budgets of hedged requests."""

from __future__ import annotations

from random import Random

import pytest

from gypsumhall.core._hedge_policy import DecayingQuantile
from gypsumhall.core._hedge_policy import HedgePolicy
from gypsumhall.core._hedge_policy import HedgeSettings
from gypsumhall.core._hedge_policy import NO_BUDGET
from gypsumhall.core._hedge_policy import PAUSED


@pytest.mark.parametrize('quantile', [0.5, 0.95, 0.99, 0.999])
def test_quantile_of_a_steady_distribution(quantile: float) -> None:
    """Guards against hedges of more calls than the quantile says."""
    rng = Random(1)
    times = DecayingQuantile(quantile)
    recorded = []
    for index in range(20_000):
        recorded.append(rng.lognormvariate(-2.3, 0.5))
        times.record(recorded[-1], index * 0.001)
    exact_s = sorted(recorded)[int(quantile * len(recorded))]
    value_s = times.value_s(20.0)
    assert value_s is not None
    assert 0.9 * exact_s < value_s < 1.12 * exact_s


def test_quantile_follows_a_change() -> None:
    """Guards against a delay that stays at the times of an earlier load."""
    times = DecayingQuantile(0.95)
    for index in range(4000):
        times.record(0.5 if index < 2000 else 0.1, index * 0.1)
    value_s = times.value_s(400.0)
    assert value_s is not None and value_s < 0.11


def test_no_delay_without_recent_times() -> None:
    """Guards against hedges by the times of a few or old calls."""
    times = DecayingQuantile(0.95)
    for index in range(19):
        times.record(0.1, index * 0.01)
    assert times.value_s(0.2) is None
    for index in range(19, 60):
        times.record(0.1, index * 0.01)
    assert times.value_s(0.6) is not None
    assert times.value_s(300.0) is None
    assert times.value_s(1e9) is None


def test_scaling_keeps_the_quantile() -> None:
    """Guards against weights that overflow in a long-lived process."""
    times = DecayingQuantile(0.9)
    for index in range(5000):
        times.record(0.1 if index % 5 else 0.8, float(index))
    value_s = times.value_s(5000.0)
    assert value_s is not None and 0.75 < value_s < 0.88
    times.record(0.1, 1e9)
    assert times.value_s(1e9) is None


def test_cancelled_attempts_keep_the_quantile() -> None:
    """Guards against a delay that falls because slow calls were hedged."""
    rng = Random(1)
    policy = HedgePolicy(HedgeSettings(0.1, 0.95))
    for index in range(20_000):
        now = index * 0.01
        time_s = rng.uniform(0.08, 0.12)
        if rng.random() < 0.1:
            time_s *= 6.0
        delay_s = policy.delay_s('r', now)
        if delay_s is not None and time_s > delay_s:
            time_s = min(time_s, delay_s + rng.uniform(0.08, 0.12))
        policy.record('r', time_s, now)
    # The exact quantile is 0.6 s without cancellations: half of the slow
    # calls are faster.
    delay_s = policy.delay_s('r', 200.0)
    assert delay_s is not None and 0.5 < delay_s < 0.75


def test_budget_is_a_share_of_the_calls_with_a_bounded_burst() -> None:
    """Guards against more extra work than the operator allows."""
    policy = HedgePolicy(HedgeSettings(0.05))
    assert policy.refusal('s', 0.0) == NO_BUDGET
    taken = 0
    for index in range(10_000):
        policy.count_call('s')
        if index >= 5000 and not policy.refusal('s', 0.0):
            policy.take('s')
            taken += 1
    # 250 for the calls since, and a burst of 5 for those before.
    assert 250 <= taken <= 255
    assert policy.refusal('other', 0.0) == NO_BUDGET


def test_rejected_hedges_pause_those_of_the_service() -> None:
    """Guards against hedges that are tried again and again without a slot."""
    policy = HedgePolicy(HedgeSettings(0.2))
    sent = 0
    for index in range(10_000):
        now = index * 0.001
        policy.count_call('s')
        if not policy.refusal('s', now):
            policy.take('s')
            policy.refund('s', now)
            sent += 1
            assert policy.refusal('s', now) == PAUSED
    assert sent <= 12
    policy.end_pause('s')
    policy.take('s')
    policy.refund('s', 20.0)
    assert policy.refusal('s', 20.06) == ''


def test_state_is_bounded() -> None:
    """Guards against memory that grows with the names of routes."""
    policy = HedgePolicy(HedgeSettings(0.1))
    for index in range(2000):
        policy.record(f'r{index}', 0.1, 0.0)
    assert len(policy._times) == 512
    assert policy.delay_s('r0', 0.0) is None
