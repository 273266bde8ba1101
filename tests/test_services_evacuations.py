"""Tests of zone evacuations over several daemons, with fakes of the network.

``evacuateMs`` allows 5 s from the store's response until nothing is sent to
the zone; the aim is 2 s.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.core import _tree
from gypsumhall.services._feed import WATCHERS_PER_ZONE
from gypsumhall.testing.evacuation_fleet import open_evacuation_fleet
from gypsumhall.testing.evacuation_fleet import ZONES

if TYPE_CHECKING:
    from trio.testing import MockClock

    from gypsumhall.testing.evacuation_fleet import EvacuationFleet

_LIMIT_S = 2.0


def _knowing(fleet: EvacuationFleet, *zones: str) -> int:
    """Return how many running daemons know exactly these zones."""
    return sum(
        item.evacuations.zones == frozenset(zones)
        for item in fleet.daemons
        if not item.scope.cancel_called
    )


def _watchers(fleet: EvacuationFleet, zone: str) -> list[int]:
    alive = fleet.table.alive(zone)
    holders = _tree.zone_role_holders('feed', alive, WATCHERS_PER_ZONE)
    ids = {item.id for item in holders}
    return [
        index for index, item in enumerate(fleet.members) if item.id in ids
    ]


async def test_nothing_is_sent_to_an_evacuated_zone(
    autojump_clock: MockClock,
) -> None:
    """One request that is sent after the limit breaks the rule."""
    async with open_evacuation_fleet() as fleet, trio.open_nursery() as load:
        load.start_soon(fleet.send_calls, 150.0, 9.0)
        await trio.sleep(2.0)
        zone = fleet.addresses('az-2')
        assert fleet.backend.last_sent_at(zone) > trio.current_time() - 0.5
        acknowledged = await fleet.evacuate('az-2')
        await trio.sleep(4.0)
        delay_s = fleet.backend.last_sent_at(zone) - acknowledged
        assert delay_s < _LIMIT_S
        assert _knowing(fleet, 'az-2') == len(fleet.daemons)
        await fleet.end_evacuation('az-2')
        await trio.sleep(2.0)
        assert fleet.backend.last_sent_at(zone) > trio.current_time() - 0.5
        assert _knowing(fleet) == len(fleet.daemons)
    assert fleet.rejected == 0
    print(f'last request {delay_s * 1000:.0f} ms after the response')


async def test_waiting_calls_go_elsewhere_and_running_ones_end(
    autojump_clock: MockClock,
) -> None:
    """Calls in the queue of an evacuated endpoint would run there later."""
    async with open_evacuation_fleet(3) as fleet:
        fleet.backend.constant_service_time = True
        fleet.backend.mean_service_time_s = 0.4
        results: list[int] = []

        async def call(number: int) -> None:
            results.append(await fleet.daemons[0].call(f'r{number}', 'POST'))

        async with trio.open_nursery() as nursery:
            for number in range(13):
                nursery.start_soon(call, number)
            await trio.sleep(0.2)
            evacuated = fleet.daemons[0]
            running = evacuated.runner.load.in_flight
            assert running == 3
            assert evacuated.runner.load.queued > 0
            sent = len(
                [item for item in fleet.backend.sent if item[1] == 'backend-0']
            )
            await fleet.evacuate('az-1')
            await trio.sleep(0.1)
            assert evacuated.runner.load.queued == 0
            assert evacuated.runner.load.in_flight == running
        assert results == [200] * 13
        assert sent == len(
            [item for item in fleet.backend.sent if item[1] == 'backend-0']
        )
        assert all(runs == 1 for runs in fleet.backend.runs.values())
        assert (
            evacuated.metrics.value(
                'gypsumhall_runner_calls_total', result='evacuated'
            )
            > 0
        )


async def test_daemon_of_an_evacuated_zone_rejects_calls_that_arrive(
    autojump_clock: MockClock,
) -> None:
    """A sender that does not know of the evacuation yet has to go on."""
    async with open_evacuation_fleet(3) as fleet:
        await fleet.evacuate('az-1')
        await trio.sleep(1.0)
        daemon = fleet.daemons[1]
        # As the calls of az-2 leave it, az-1 and az-3 cost the same.
        daemon.runner.sender.set_evacuated_zones(frozenset(['az-2']))
        for number in range(20):
            assert await daemon.call(f'r{number}', 'POST') == 200
        daemon.runner.sender.set_evacuated_zones(frozenset(['az-2', 'az-3']))
        assert await daemon.call('last', 'POST') == 0
        assert 'backend-0' not in {item[1] for item in fleet.backend.sent}
        rejected = daemon.metrics.value(
            'gypsumhall_sender_attempts_total', result='evacuated'
        )
        assert rejected > 1


@pytest.mark.parametrize('before_write_s', [0.0, 0.3])
async def test_killed_watcher_is_replaced(
    autojump_clock: MockClock, before_write_s: float
) -> None:
    """The zone would not hear of the evacuation from the store."""
    async with open_evacuation_fleet() as fleet, trio.open_nursery() as load:
        for zone in ZONES[1:]:
            fleet.cut(zone)
        await trio.sleep(3.0)
        load.start_soon(fleet.send_calls, 100.0, 7.0)
        for index in _watchers(fleet, 'az-1'):
            fleet.kill(index)
        await trio.sleep(before_write_s)
        acknowledged = await fleet.evacuate('az-2')
        await trio.sleep(6.0)
        last = fleet.backend.last_sent_at(fleet.addresses('az-2'))
        assert last - acknowledged < _LIMIT_S
        assert _knowing(fleet, 'az-2') == len(fleet.daemons) - 3


async def test_deletion_in_a_compacted_history_ends_the_evacuation(
    autojump_clock: MockClock,
) -> None:
    """No event of the deletion is left; the zone would stay out of use."""
    async with open_evacuation_fleet(6) as fleet:
        await fleet.evacuate('az-3')
        await trio.sleep(1.0)
        fleet.store.outage = True
        await trio.sleep(1.0)
        fleet.store.outage = False
        await fleet.end_evacuation('az-3')
        fleet.store.compact()
        await trio.sleep(3.0)
        assert _knowing(fleet) == len(fleet.daemons)


@pytest.mark.parametrize('in_copy', [False, True])
async def test_restored_store_replaces_the_evacuations(
    autojump_clock: MockClock, in_copy: bool
) -> None:
    """Revisions of the lost history are higher than those of the copy."""
    async with open_evacuation_fleet(6) as fleet:
        if in_copy:
            await fleet.evacuate('az-3')
        copy = fleet.store.copy()
        if in_copy:
            await fleet.end_evacuation('az-3')
        else:
            await fleet.evacuate('az-3')
        await trio.sleep(2.0)
        fleet.store.outage = True
        await trio.sleep(1.0)
        fleet.store.restore(copy)
        fleet.store.outage = False
        await trio.sleep(3.0)
        expected = ['az-3'] if in_copy else []
        assert _knowing(fleet, *expected) == len(fleet.daemons)


async def test_restarted_daemon_of_an_evacuated_zone_gets_no_calls(
    autojump_clock: MockClock,
) -> None:
    """It learns of the evacuation from others while the store is down."""
    async with open_evacuation_fleet() as fleet, trio.open_nursery() as load:
        await fleet.evacuate('az-1')
        await trio.sleep(1.0)
        fleet.store.outage = True
        started = trio.current_time()
        load.start_soon(fleet.send_calls, 100.0, 5.0)
        await trio.sleep(1.0)
        fleet.kill(0)
        await trio.sleep(1.0)
        daemon = await fleet.restart(0)
        await trio.sleep(0.5)
        assert daemon.evacuations.zones == {'az-1'}
        await trio.sleep(2.0)
        assert fleet.backend.last_sent_at(fleet.addresses('az-1')) < started


async def test_zone_that_is_cut_off_from_the_store_hears_from_others(
    autojump_clock: MockClock,
) -> None:
    async with open_evacuation_fleet() as fleet:
        fleet.cut('az-2', 'az-3')
        await trio.sleep(4.0)
        await fleet.evacuate('az-2')
        await trio.sleep(_LIMIT_S)
        assert _knowing(fleet, 'az-2') == len(fleet.daemons)


async def test_zone_that_was_cut_off_from_all_is_told_later(
    autojump_clock: MockClock,
) -> None:
    """Its daemons keep the state that they have until a link is back."""
    async with open_evacuation_fleet() as fleet:
        fleet.cut('az-3')
        fleet.part('az-3')
        await trio.sleep(4.0)
        await fleet.evacuate('az-2')
        await trio.sleep(3.0)
        assert _knowing(fleet) == 5
        fleet.part(None)
        await trio.sleep(5.0)
        assert _knowing(fleet, 'az-2') == len(fleet.daemons)


async def test_without_evacuations_daemons_send_nothing(
    autojump_clock: MockClock,
) -> None:
    """Bytes between zones are the largest cost of a deployment."""
    async with open_evacuation_fleet() as fleet:
        await trio.sleep(5.0)
        fleet.hub.sizes = sizes = Counter()
        await trio.sleep(60.0)
        assert not sizes
