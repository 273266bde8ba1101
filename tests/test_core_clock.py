"""Tests of the hybrid logical clock."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gypsumhall.core._clock import HybridLogicalClock
from gypsumhall.core._clock import MAX_DRIFT_S
from gypsumhall.core._clock import to_unix_ms

NAMES = st.sampled_from(['a', 'b', 'wrong'])


class ClockMachine(RuleBasedStateMachine):
    """Processes exchange messages; one has a clock that is an hour fast."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 1e9
        self.step = 0.0
        self.clocks = {
            'a': HybridLogicalClock(lambda: self.time + self.step),
            'b': HybridLogicalClock(lambda: self.time - 0.2),
            'wrong': HybridLogicalClock(lambda: self.time + 3600),
        }

    @rule(seconds=st.floats(0, 10))
    def pass_time(self, seconds: float) -> None:
        self.time += seconds

    @rule(seconds=st.floats(-2, 2))
    def step_clock(self, seconds: float) -> None:
        self.step = seconds

    @rule(name=NAMES)
    def take(self, name: str) -> None:
        clock = self.clocks[name]
        before = clock.last
        assert clock.now() > before

    @rule(sender=NAMES, receiver=NAMES)
    def send(self, sender: str, receiver: str) -> None:
        time = self.clocks[sender].now()
        clock = self.clocks[receiver]
        rejected = clock.rejected
        clock.observe(time)
        assert clock.now() > time or clock.rejected > rejected
        if sender != 'wrong':
            assert clock.rejected == rejected
        # A wrong clock does not drag the others along.
        for name in ('a', 'b'):
            ahead = to_unix_ms(self.clocks[name].last) / 1000 - self.time
            assert ahead <= MAX_DRIFT_S + 2

    @rule(name=NAMES, time=st.sampled_from([-1, 0, 1, 1 << 64, 1 << 70]))
    def receive_nonsense(self, name: str, time: int) -> None:
        before = self.clocks[name].last
        self.clocks[name].observe(time)
        assert self.clocks[name].last == max(before, int(time == 1))


TestClock = ClockMachine.TestCase
TestClock.settings = hypothesis.settings(derandomize=True)


def test_a_counter_that_is_used_up_carries_into_the_milliseconds() -> None:
    clock = HybridLogicalClock(lambda: 1e9)
    times = [clock.now() for _ in range(70_000)]
    assert times == sorted(set(times))
    assert to_unix_ms(times[-1]) == 1e12 + 1
