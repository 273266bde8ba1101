"""Tests of a large change of the configuration on slow links."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.testing import limited_zone

if TYPE_CHECKING:
    from trio.testing import MockClock

_INSTALLED = limited_zone.build_configuration(1, 320)
_GROWN = limited_zone.build_configuration(2, 1820)
_FAST_BITS_PER_S = 1e9


@pytest.fixture
def clock(autojump_clock: MockClock) -> MockClock:
    """Clock that stands still while the processor works.

    Bytes on loopback sockets are readable at once or soon after, so the
    clock waits a little before it jumps.
    """
    autojump_clock.autojump_threshold = 0.0002
    return autojump_clock


async def _grow(bits_per_s: float) -> tuple[float, limited_zone.LimitedZone]:
    """Return the time until 1,500 more routes are in force everywhere."""
    async with limited_zone.open_limited_zone(
        bits_per_s, _INSTALLED, calls_per_s=5.0
    ) as zone:
        # Opens the streams that carry calls.
        await trio.sleep(1.0)
        zone.publish(_GROWN)
        with trio.fail_after(20):
            duration_s = await zone.wait_for_version(2)
        # Longer than the time after which a silent stream is lost.
        await trio.sleep(1.0)
    return duration_s, zone


@pytest.mark.parametrize('mbits_per_s', [5, 10, 20])
async def test_calls_cross_slow_links_while_the_configuration_grows(
    clock: MockClock, mbits_per_s: float
) -> None:
    """The change filled links so that streams with calls were given up."""
    fast_s, _ = await _grow(_FAST_BITS_PER_S)
    slow_s, zone = await _grow(mbits_per_s * 1e6)
    assert zone.lost_streams == []
    assert zone.failures == []
    assert len(zone.latencies_s) > 50
    assert slow_s < fast_s + 1.0
