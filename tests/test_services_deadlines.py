"""Tests of the cancellation of calls at their deadlines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.services._deadlines import DeadlineMonitor

if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_blocks_end_at_their_deadlines_in_any_order(
    autojump_clock: MockClock,
) -> None:
    """A block with an earlier deadline must not wait for a former one."""
    monitor = DeadlineMonitor()
    delays_s = [5.0, 3.0, 4.0, 1.0, 2.0, 3.5]
    finished = 2
    times_s: dict[int, float] = {}

    async def wait(number: int) -> None:
        with monitor.limit(start + delays_s[number]) as scope:
            await trio.sleep(0.5 if number == finished else 100.0)
        if scope.cancelled_caught:
            times_s[number] = trio.current_time() - start

    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        start = trio.current_time()
        async with trio.open_nursery() as blocks:
            for number in range(len(delays_s)):
                blocks.start_soon(wait, number)
                await trio.sleep(0.01)
        expected = dict(enumerate(delays_s))
        del expected[finished]
        assert times_s == pytest.approx(expected)
        nursery.cancel_scope.cancel()


async def test_ended_blocks_with_late_deadlines_are_not_kept(
    autojump_clock: MockClock,
) -> None:
    """Guards against memory that grows with calls and their time limits."""
    monitor = DeadlineMonitor()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        with monitor.limit(trio.current_time() + 1.0) as scope:
            for _ in range(1000):
                with monitor.limit(trio.current_time() + 300.0):
                    await trio.lowlevel.checkpoint()
                assert len(monitor) < 100
            await trio.sleep_forever()
        assert scope.cancelled_caught
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('responds', [False, True])
async def test_block_processes_what_arrived_in_a_pause(
    autojump_clock: MockClock, responds: bool
) -> None:
    """After a pause of the event loop, trio cancels before tasks run."""
    monitor = DeadlineMonitor()
    arrived = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        start = trio.current_time()

        async def pause() -> None:
            await trio.sleep(0.5)
            if responds:
                arrived.set()
            autojump_clock.jump(2.0)

        nursery.start_soon(pause)
        with monitor.limit(start + 1.0) as scope:
            await arrived.wait()
            for _ in range(20):
                await trio.lowlevel.checkpoint()
        assert scope.cancelled_caught is not responds
        assert trio.current_time() <= start + 2.6
        nursery.cancel_scope.cancel()
