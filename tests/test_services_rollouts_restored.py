"""Tests of rollouts on a store that was restored from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from gypsumhall.core._model import MoveState
from gypsumhall.net._messages import RolloutRecord
from gypsumhall.services._rollout_records import RolloutRecords
from gypsumhall.store import Revision
from gypsumhall.testing.rollout_fleet import DURATION_S
from gypsumhall.testing.rollout_fleet import open_rollout_fleet
from gypsumhall.testing.rollout_fleet import RolloutFleet
from gypsumhall.testing.rollout_fleet import VERSIONS

if TYPE_CHECKING:
    from trio.testing import MockClock

    from gypsumhall.testing.memory_store import StoreCopy


async def _restore(fleet: RolloutFleet, copy: StoreCopy) -> None:
    """Restore a copy; the store is away for a moment."""
    fleet.store.outage = True
    await trio.sleep(2.0)
    fleet.store.restore(copy)
    fleet.store.outage = False


def _states(fleet: RolloutFleet) -> set[tuple[str, MoveState]]:
    return {
        (item.record.version, item.record.state)
        for item in fleet.daemons
        if item.record is not None
    }


@pytest.mark.parametrize('starts_at_restore', [False, True])
async def test_completed_rollout_does_not_run_again_after_a_restore(
    autojump_clock: MockClock, starts_at_restore: bool
) -> None:
    """Calls would go back to endpoints that were stopped at completion."""
    async with open_rollout_fleet() as fleet:
        await trio.sleep(2.0)
        copy = fleet.store.copy()
        await fleet.order('v2')
        await trio.sleep(DURATION_S + 1)
        assert _states(fleet) == {('v2', MoveState.DONE)}
        assert await fleet.status() == ('completed', 'v2')
        decisions = fleet.count('rollout-decided')
        if starts_at_restore:
            fleet.daemons[0].stop()
        await _restore(fleet, copy)
        if starts_at_restore:
            fleet.daemons[0] = fleet.start(0)
        await trio.sleep(1.0)
        assert await fleet.status() is None
        await fleet.order('v2')
        await trio.sleep(5.0)
        assert await fleet.status() == ('completed', 'v2')
        assert 'gypsumhall/rollouts/s' in fleet.store.keys
        await trio.sleep(DURATION_S)
        assert _states(fleet) == {('v2', MoveState.DONE)}
        if not starts_at_restore:
            assert fleet.count('rollout-decided') == decisions
        assert await fleet.status() == ('completed', 'v2')


async def test_order_of_the_copy_does_not_replace_a_later_one(
    autojump_clock: MockClock,
) -> None:
    """The copy's order would move calls back to the previous version."""
    async with open_rollout_fleet() as fleet:
        await fleet.order('v2')
        await trio.sleep(DURATION_S + 1)
        copy = fleet.store.copy()
        await fleet.order('v3')
        await trio.sleep(DURATION_S + 1)
        assert _states(fleet) == {('v3', MoveState.DONE)}
        await _restore(fleet, copy)
        await trio.sleep(4.0)
        assert _states(fleet) == {('v3', MoveState.DONE)}
        await fleet.order('v3')
        await trio.sleep(5.0)
        assert await fleet.status() == ('completed', 'v3')
        assert _states(fleet) == {('v3', MoveState.DONE)}
        # A later order is a new one, also for a version that was known.
        await fleet.order('v2')
        await trio.sleep(DURATION_S + 1)
        assert _states(fleet) == {('v2', MoveState.DONE)}


@pytest.mark.parametrize('after_s', [1.0, 6.0, 9.0, 13.0])
async def test_rollout_goes_on_after_a_restore(
    autojump_clock: MockClock, after_s: float
) -> None:
    """It must end in its time, and its share must not fall back."""
    async with open_rollout_fleet() as fleet:
        await trio.sleep(2.0)
        copy = fleet.store.copy()
        await fleet.order('v2')
        started = trio.current_time()
        await trio.sleep(after_s)
        shares = [item.record.share for item in fleet.daemons if item.record]
        await _restore(fleet, copy)
        await trio.sleep(0.5)
        await fleet.order('v2')
        while trio.current_time() < started + DURATION_S + 2.0:
            await trio.sleep(0.25)
            for item in fleet.daemons:
                if item.record is not None:
                    assert item.record.share >= min(shares)
        assert await fleet.status() == ('completed', 'v2')
        assert _states(fleet) == {('v2', MoveState.DONE)}


async def test_verdict_on_a_bad_version_survives_a_restore(
    autojump_clock: MockClock,
) -> None:
    async with open_rollout_fleet() as fleet:
        await trio.sleep(2.0)
        copy = fleet.store.copy()
        await fleet.order('v2')
        await trio.sleep(2.0)
        fleet.daemons[VERSIONS.index('v2')].record_failures('v2', 60)
        await trio.sleep(1.0)
        assert _states(fleet) == {('v2', MoveState.REVERTED)}
        await _restore(fleet, copy)
        await fleet.order('v2')
        await trio.sleep(5.0)
        assert await fleet.status() == ('rolled_back', 'v2')
        for _ in range(80):
            await trio.sleep(0.25)
            assert _states(fleet) == {('v2', MoveState.REVERTED)}


async def test_verdict_that_could_not_be_stored_is_written_later(
    autojump_clock: MockClock,
) -> None:
    """The operator would read for good that the rollout is in progress."""
    async with open_rollout_fleet() as fleet:
        await fleet.order('v2')
        await trio.sleep(2.0)
        fleet.daemons[VERSIONS.index('v2')].record_failures('v2', 60)
        fleet.store.outage = True
        await trio.sleep(6.0)
        assert _states(fleet) == {('v2', MoveState.REVERTED)}
        fleet.store.outage = False
        await trio.sleep(5.0)
        assert await fleet.status() == ('rolled_back', 'v2')


async def test_a_second_order_in_an_era_is_a_new_one(
    autojump_clock: MockClock,
) -> None:
    async with open_rollout_fleet() as fleet:
        await fleet.order('v2')
        await trio.sleep(2.0)
        fleet.daemons[VERSIONS.index('v2')].record_failures('v2', 60)
        await trio.sleep(1.0)
        assert _states(fleet) == {('v2', MoveState.REVERTED)}
        await _restore(fleet, fleet.store.copy())
        await trio.sleep(3.0)
        assert _states(fleet) == {('v2', MoveState.REVERTED)}
        await fleet.order('v2')
        await trio.sleep(DURATION_S + 1)
        assert _states(fleet) == {('v2', MoveState.DONE)}
        assert await fleet.status() == ('completed', 'v2')


_ORDER = Revision(1, 500)

_RECORDS = st.builds(
    RolloutRecord,
    st.just('s'),
    st.just('v2'),
    st.sampled_from([_ORDER, Revision(2, 480)]),
    st.integers(0, 4),
    st.sampled_from([0.0, 0.2, 1.0]),
    st.sampled_from([MoveState.ACTIVE, MoveState.DONE, MoveState.REVERTED]),
)


@hypothesis.given(st.lists(_RECORDS, max_size=6), st.randoms())
def test_records_of_an_order_merge_alike_in_any_sequence(
    received: list[RolloutRecord], rng: object
) -> None:
    """Daemons that receive the same records must not decide differently."""
    received = [RolloutRecord('s', 'v2', _ORDER), *received]
    results = set()
    for _ in range(4):
        rng.shuffle(received)  # type: ignore[attr-defined]
        records = RolloutRecords()
        for record in received:
            records.merge(record)
        results.add(records.get('s'))
    assert len(results) == 1
    (result,) = results
    assert result is not None
    assert result.order == _ORDER


def test_a_verdict_outweighs_later_steps_of_another_controller() -> None:
    """Two controllers may each hold the lease of their own era."""
    records = RolloutRecords()
    records.merge(RolloutRecord('s', 'v2', _ORDER, 5, 0.45))
    assert records.merge(
        RolloutRecord('s', 'v2', _ORDER, 3, 0.0, MoveState.REVERTED)
    )
    assert not records.merge(RolloutRecord('s', 'v2', _ORDER, 6, 1.0))
    record = records.get('s')
    assert record is not None
    assert record.state is MoveState.REVERTED
