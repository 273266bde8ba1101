"""Tests of the readers against the stand-in of the platform."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.core import _model
from gypsumhall.services._reader import HEAD_CHECK_S
from gypsumhall.services._reader import read_seeds
from gypsumhall.store import _keys
from gypsumhall.store import Put
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeMembership
from gypsumhall.testing.platform import open_platform
from gypsumhall.testing.readers import ReaderZone

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from trio.testing import MockClock


@asynccontextmanager
async def _zone(daemons: int) -> AsyncIterator[ReaderZone]:
    async with (
        open_platform() as memory_platform,
        trio.open_nursery() as nursery,
    ):
        zone = ReaderZone(memory_platform)
        await zone.start(nursery, daemons)
        await zone.change()
        await trio.sleep(20)
        yield zone
        nursery.cancel_scope.cancel()


async def test_three_of_many_daemons_publish_each_version_within_a_second(
    autojump_clock: MockClock,
) -> None:
    async with _zone(8) as zone:
        assert zone.slots() == [0, 1, 2]
        for _ in range(5):
            await zone.converge(1)
        seeds = await read_seeds(zone.store, 'az-1')
        holders = {
            item.peer_address
            for item in zone.table.members()
            if zone.readers[item.id].slot is not None
        }
        assert {seed.address for seed in seeds} == holders
        await zone.store.txn([], [Put(f'{_keys.READERS_PREFIX}az-1/9', b'x')])
        assert await read_seeds(zone.store, 'az-1') == seeds


async def test_many_daemons_share_a_rate_of_calls(
    autojump_clock: MockClock,
) -> None:
    # Guards against a load that grows with the number of daemons.
    async with _zone(60) as zone:
        for missing, most_per_s in ((False, 0.7 + 0.7), (True, 0.7 + 5.0)):
            if missing:
                zone.table.replace(
                    item
                    for item in zone.table.members()
                    if zone.readers[item.id].slot != 0
                )
            before = zone.platform.stats['calls']['range']
            await trio.sleep(60)
            calls = zone.platform.stats['calls']['range'] - before
            assert calls <= 60 * most_per_s


async def test_a_planned_stop_frees_the_slot_and_a_crash_lets_it_lapse(
    autojump_clock: MockClock,
) -> None:
    async with _zone(8) as zone:
        for stop in (True, False):
            name, _ = zone.slot_holder()
            if stop:
                zone.kernels[name].stop()
            else:
                # The process is gone; its entries and lease remain.
                zone.readers[name]._scope.cancel()
                zone.platform.set_faults({'outage': True})
                await trio.sleep(0.1)
                zone.platform.set_faults({'outage': False})
                zone.table.remove(name)
            await trio.sleep(15)
            assert zone.slots() == [0, 1, 2]
            await zone.converge(1)


async def test_a_reader_that_is_cut_off_alone_loses_its_slot(
    autojump_clock: MockClock,
) -> None:
    # The other members still see it alive, so they learn it from the slots.
    async with _zone(8) as zone:
        name, reader = zone.slot_holder()
        me = zone.kernels[name].get('membership', FakeMembership).me
        network = zone.memory_platform.network
        network.unreachable.add(me.peer_address)
        network.silence_open_connections(me.peer_address)
        await trio.sleep(40)
        assert reader.slot is None
        assert zone.slots() == [0, 1, 2]
        await zone.converge(1)


FAULTS: list[Any] = [
    ({'outage': True}, 'platform-unreachable'),
    ({'hang': True}, 'platform-unreachable'),
    ({'delay_s': 1.5}, None),
    ({'delay_s': 3.0}, 'platform-unreachable'),
    ({'lose_responses': 3}, None),
    ({'lapse_leases': True}, 'lease-lost'),
    ({'drop_watches': True}, 'watch-ended'),
    ({'silence_watches': True}, None),
    ({'silence_watches': True, 'silence_new_watches': True}, None),
    ({'compact': True, 'drop_watches': True}, 'watch-ended'),
    ({'nonsense': 30}, 'platform-unreachable'),
    ({'nonsense': 30, 'nonsense_kind': 'types'}, 'platform-unreachable'),
    ({'nonsense': 9, 'nonsense_kind': 'other-key'}, 'platform-unreachable'),
]


@pytest.mark.parametrize('duration', [3, 40])
@pytest.mark.parametrize(('faults', 'code'), FAULTS, ids=str)
async def test_readers_recover_from_faults_of_the_platform(
    autojump_clock: MockClock,
    faults: dict[str, Any],
    code: str | None,
    duration: float,
) -> None:
    async with _zone(5) as zone:
        await zone.converge(1)
        zone.platform.set_faults(faults)
        await trio.sleep(duration)
        zone.platform.clear_faults()
        await zone.change()
        await zone.change()
        await trio.sleep(30)
        assert zone.slots() == [0, 1, 2]
        zone.check_published(zone.version)
        if code is not None and duration > 10:
            assert code in zone.codes()
        # Dropped watches and unused leases are not left behind.
        stats = zone.platform.stats
        assert stats['leases'] == 3
        assert stats['watches'] == 3


async def test_a_silent_watch_delays_a_version_by_one_check_at_most(
    autojump_clock: MockClock,
) -> None:
    async with _zone(3) as zone:
        for _ in range(2):
            await zone.change()
            await trio.sleep(1)
            zone.platform.set_faults({'silence_watches': True})
            await zone.converge(HEAD_CHECK_S + 0.1)
            await trio.sleep(2)
            assert 'watch-silent' in zone.codes()
            # The watch that replaces it delivers at once.
            await zone.converge(0.1)


def _head(fragment: _model.Fragment) -> bytes:
    return _model.encode(builders.build_head([fragment], 9))


DANGLING = builders.build_fragment(
    routes=[builders.build_route(service='missing')]
)
DANGLING_DATA = _model.encode(DANGLING)

BAD_RECORDS: list[Any] = [
    ([Put(_keys.HEAD, b'\x00nonsense')], 'head-malformed', False),
    ([Put(_keys.HEAD, _model.encode(_model.Head()))], 'head-behind', False),
    ([Put(_keys.HEAD, _model.encode(_model.Head(1)))], 'head-conflict', False),
    # The fragment does not exist, or its contents are others.
    (
        [Put(_keys.HEAD, _head(builders.build_fragment()))],
        'fetch-failed',
        False,
    ),
    (
        [
            Put(_keys.HEAD, _head(DANGLING)),
            Put(_keys.fragment_key(_model.digest(DANGLING_DATA)), b'x'),
        ],
        'fetch-failed',
        False,
    ),
    # A version that fails its checks is tried once by each reader.
    (
        [
            Put(_keys.HEAD, _head(DANGLING)),
            Put(
                _keys.fragment_key(_model.digest(DANGLING_DATA)),
                DANGLING_DATA,
            ),
        ],
        'head-invalid',
        True,
    ),
]


@pytest.mark.parametrize(
    ('writes', 'code', 'once'), BAD_RECORDS, ids=range(len(BAD_RECORDS))
)
async def test_records_that_cannot_be_used_are_reported_and_passed_over(
    autojump_clock: MockClock,
    writes: Sequence[Put],
    code: str,
    once: bool,
) -> None:
    async with _zone(3) as zone:
        await zone.store.txn([], writes)
        await trio.sleep(60)
        zone.check_published(1)
        found = zone.codes()
        assert found[code] == 3 if once else found[code] >= 3
        # Also a lower version than the bad one, unless that was published.
        zone.version = 10 if once else 1
        # A newer version does not wait for the retries of the bad one.
        await zone.converge(0.5)


async def test_fragments_that_are_installed_or_cached_are_not_fetched(
    autojump_clock: MockClock,
) -> None:
    async with _zone(3) as zone:
        fragment = builders.build_fragment()
        await zone.change(fragment)
        await trio.sleep(1)
        before = zone.platform.stats['calls']['range']
        for _ in range(3):
            await zone.change(fragment)
            await trio.sleep(0.1)
        zone.check_published(zone.version)
        # Only the regular reads of the head and of the slots remain.
        assert zone.platform.stats['calls']['range'] - before <= 3
