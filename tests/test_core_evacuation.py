"""Tests of the state of evacuated zones, without a network."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumhall.core._evacuation import build_state
from gypsumhall.core._evacuation import Evacuations
from gypsumhall.core._evacuation import EvacuationState
from gypsumhall.core._evacuation import MAX_ZONES
from gypsumhall.core._load_balancer import ANY_VERSION
from gypsumhall.core._load_balancer import LoadBalancer
from gypsumhall.core._revision import Revision
from gypsumhall.net._messages import Load
from gypsumhall.testing import builders

if TYPE_CHECKING:
    from collections.abc import Sequence


def _state(number: int, *zones: str, era: int = 1) -> EvacuationState:
    return build_state(Revision(era, number), set(zones))


def test_late_message_does_not_undo_a_deletion() -> None:
    """The zone would be out of use for good, as its key is gone."""
    evacuations = Evacuations()
    assert evacuations.merge(_state(10, 'a'))
    assert evacuations.set_zone('a', Revision(1, 12), evacuated=False)
    assert not evacuations.merge(_state(10, 'a'))
    assert evacuations.state.zones == ()
    assert not evacuations.set_zone('a', Revision(1, 11), evacuated=True)
    assert evacuations.state.zones == ()


def test_complete_read_without_the_key_ends_the_evacuation() -> None:
    """A deletion in a compacted part of the history has no event."""
    evacuations = Evacuations()
    evacuations.merge(_state(10, 'a', 'b'))
    assert evacuations.merge(_state(20, 'b'))
    assert not evacuations.merge(_state(15, 'a', 'b'))
    assert evacuations.state.zones == ('b',)


def test_restored_store_replaces_the_zones() -> None:
    """Its revisions are lower, but they belong to a later era."""
    evacuations = Evacuations()
    evacuations.merge(_state(100, 'a'))
    assert evacuations.merge(_state(40, 'b', era=2))
    assert not evacuations.merge(_state(101, 'a', era=1))
    assert evacuations.state.zones == ('b',)


def test_read_that_changes_nothing_still_outdates_earlier_messages() -> None:
    evacuations = Evacuations()
    assert not evacuations.is_known
    assert not evacuations.merge(_state(10))
    assert evacuations.is_known
    assert not evacuations.merge(_state(20))
    assert not evacuations.merge(_state(15, 'a'))
    assert evacuations.state.zones == ()


def test_number_of_zones_is_bounded() -> None:
    """A message with more zones would be rejected by its receivers."""
    zones = {f'z{index}' for index in range(MAX_ZONES + 5)}
    assert len(build_state(Revision(1, 1), zones).zones) == MAX_ZONES


_HISTORY = st.lists(
    st.tuples(st.sampled_from(['a', 'b', 'c']), st.booleans()),
    min_size=1,
    max_size=8,
)


@given(_HISTORY, st.randoms(use_true_random=False))
def test_any_order_and_loss_of_messages_gives_the_newest_state(
    history: Sequence[tuple[str, bool]], rng: Random
) -> None:
    """Daemons that disagree would send requests to an evacuated zone."""
    writer = Evacuations()
    states = []
    for number, (zone, evacuated) in enumerate(history, 1):
        writer.set_zone(zone, Revision(1, number), evacuated=evacuated)
        states.append(writer.state)
    last = states[-1]
    received = [item for item in states[:-1] if rng.random() < 0.7]
    received += [last, rng.choice(states)]
    rng.shuffle(received)
    reader = Evacuations()
    for state in received:
        reader.merge(state)
    assert reader.state == last
    expected = {}
    for zone, evacuated in history:
        expected[zone] = evacuated
    assert set(last.zones) == {
        zone for zone, is_in in expected.items() if is_in
    }


@pytest.mark.parametrize('seed', range(4))
def test_load_of_an_evacuated_zone_moves_to_the_others(seed: int) -> None:
    """Load pattern of the module: a zone's endpoints all at once out of use.

    One call to the zone is a broken rule; a share of more than 0.6 for one of
    two equal zones would overload it while the other has capacity.
    """
    rng = Random(seed)
    balancer = LoadBalancer('az-1', rng)
    zones = [f'az-{index % 3 + 1}' for index in range(9)]
    members = [
        builders.build_member(index, zone, builders.build_endpoint(slots=3))
        for index, zone in enumerate(zones)
    ]
    balancer.update('availability', members, 1, 0.0)
    chosen: dict[str, int] = {}
    now = 0.0
    for number in range(2000):
        if number == 500:
            balancer.set_evacuated_zones(frozenset(['az-1']))
            chosen.clear()
        if number == 1500:
            assert 'az-1' not in chosen
            assert max(chosen.values()) < 0.6 * 1000
            balancer.set_evacuated_zones(frozenset())
        now += 0.01
        member = balancer.choose('availability', ANY_VERSION, now)
        assert member is not None
        chosen[member.zone] = chosen.get(member.zone, 0) + 1
        balancer.begin(member.id)
        balancer.end(member.id, now, failed=False)
        load = Load(rng.randrange(3), 0, 3, service_time_ms=100.0)
        balancer.report(member.id, now, load)
    assert chosen['az-1'] > 0
    assert balancer.versions('availability') == {'v1'}
    balancer.set_evacuated_zones(frozenset(zones))
    assert balancer.choose('availability', ANY_VERSION, now) is None
    assert balancer.retry_after_s('availability', now) == 0.0
    assert balancer.versions('availability') == {'v1'}
