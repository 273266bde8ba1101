"""Platform calls per second that readers cause, by number of zones.

Each zone has `DAEMONS` daemons, more than there are reader slots, so that some
poll for a free slot. A minute without changes and `CHANGES_S` seconds with
changes are measured against the stand-in of the platform on a virtual clock,
so the figures do not depend on the machine.

Run with ``python -m benchmarks.bench_store``.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio
from trio.testing import MockClock

from gypsumhall.testing.platform import open_platform
from gypsumhall.testing.readers import ReaderZone

if TYPE_CHECKING:
    from gypsumhall.standin import Platform

ZONES = (1, 3, 20)
DAEMONS = 4
WARM_UP_S = 8.0
IDLE_S = 60.0
CHANGES_S = 14.4
CHANGES = 3
"""The rate of the design scale: 18,000 changes a day are 3 in 14.4 s."""


def _print_rates(
    label: str, before: dict[str, int], platform: Platform, seconds: float
) -> None:
    after = platform.stats['calls']
    rates = {
        kind: (after[kind] - before.get(kind, 0)) / seconds for kind in after
    }
    parts = ' '.join(f'{kind}={rate:.2f}' for kind, rate in rates.items())
    print(
        f'{label:10} total={sum(rates.values()):6.2f}/s {parts} '
        f'open_watches={platform.stats["watches"]}',
        flush=True,
    )


async def _measure(count: int) -> None:
    async with open_platform() as opened, trio.open_nursery() as nursery:
        platform = opened.platform
        zones = [
            ReaderZone(opened, f'az-{index}', index * DAEMONS)
            for index in range(count)
        ]
        await zones[0].change()
        for zone in zones:
            await zone.start(nursery, DAEMONS)
        await trio.sleep(WARM_UP_S)
        before = dict(platform.stats['calls'])
        await trio.sleep(IDLE_S)
        _print_rates('quiet', before, platform, IDLE_S)
        before = dict(platform.stats['calls'])
        for _ in range(CHANGES):
            await zones[0].change()
            await trio.sleep(CHANGES_S / CHANGES)
        _print_rates('changes', before, platform, CHANGES_S)
        for zone in zones:
            assert zone.slots() == [0, 1, 2]
            zone.check_published(zones[0].version)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Measure and print one block per number of zones."""
    for zones in ZONES:
        started = time.monotonic()
        print(f'{zones} zones, {DAEMONS} daemons each')
        trio.run(_measure, zones, clock=MockClock(autojump_threshold=0))
        print(f'{"":10} real time {time.monotonic() - started:.1f} s')


if __name__ == '__main__':
    main()
