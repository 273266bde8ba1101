"""Tests of the hybrid logical clock."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gypsumhall.core._clock import HybridLogicalClock
from gypsumhall.core._clock import MAX_DRIFT_S
from gypsumhall.core._clock import to_unix_ms

NAMES = st.sampled_from(['a', 'b', 'fast'])


class ClockMachine(RuleBasedStateMachine):
    """Processes exchange messages; one has a clock that is an hour fast."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 1e9
        self.clock_offset_s = 0.0
        self.clocks = {
            'a': HybridLogicalClock(lambda: self.time + self.clock_offset_s),
            'b': HybridLogicalClock(lambda: self.time - 0.2),
            'fast': HybridLogicalClock(lambda: self.time + 3600),
        }

    @rule(seconds=st.floats(0, 10))
    def pass_time(self, seconds: float) -> None:
        self.time += seconds

    @rule(seconds=st.floats(-2, 2))
    def step_clock(self, seconds: float) -> None:
        self.clock_offset_s = seconds

    @rule(name=NAMES)
    def take_timestamp(self, name: str) -> None:
        clock = self.clocks[name]
        previous = clock.last
        assert clock.now() > previous

    @rule(sender=NAMES, receiver=NAMES)
    def send(self, sender: str, receiver: str) -> None:
        time = self.clocks[sender].now()
        clock = self.clocks[receiver]
        rejected = clock.rejected
        clock.observe(time)
        assert clock.now() > time or clock.rejected > rejected
        if sender != 'fast':
            assert clock.rejected == rejected
        # The fast clock does not advance the others beyond the limit.
        for name in ('a', 'b'):
            ahead = to_unix_ms(self.clocks[name].last) / 1000 - self.time
            assert ahead <= MAX_DRIFT_S + 2

    @rule(name=NAMES, time=st.sampled_from([-1, 0, 1, 1 << 64, 1 << 70]))
    def receive_invalid(self, name: str, time: int) -> None:
        previous = self.clocks[name].last
        self.clocks[name].observe(time)
        assert self.clocks[name].last == max(previous, int(time == 1))


TestClock = ClockMachine.TestCase
TestClock.settings = hypothesis.settings(deadline=None, derandomize=True)


def test_a_counter_that_overflows_carries_into_the_milliseconds() -> None:
    clock = HybridLogicalClock(lambda: 1e9)
    times = [clock.now() for _ in range(70_000)]
    assert times == sorted(set(times))
    assert to_unix_ms(times[-1]) == 1e12 + 1
