"""Tests of the member table, the change queue and the failure detector."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import msgspec
import pytest

from gypsumhall.core import _membership
from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus
from gypsumhall.testing import builders

_MEMBERS = st.integers(0, 4)
_TABLES = st.integers(0, 2)
_GONE = (MemberStatus.DEAD, MemberStatus.LEAVING)


def _rank(member: Member) -> tuple[int, int, int]:
    return (member.incarnation, member.sequence, int(member.status))


def _by_id(table: _membership.Table) -> dict[str, Member]:
    return {item.id: item for item in table.members()}


def _rebuilt(table: _membership.Table) -> _membership.Table:
    """Return a table with the same entries and no history."""
    fresh = _membership.Table()
    for member in table.members():
        fresh.merge(member, 0.0)
    return fresh


class TableMachine(RuleBasedStateMachine):
    """Members change, restart and are suspected; entries arrive anyhow."""

    def __init__(self) -> None:
        super().__init__()
        self.tables = [_membership.Table() for _ in range(3)]
        self.own = {
            index: builders.build_member(index, f'az-{index % 2}')
            for index in range(5)
        }
        self.sent: list[Member] = list(self.own.values())
        self.held: dict[tuple[int, str], tuple[int, int, int]] = {}

    def _publish(self, index: int, **changes: Any) -> None:
        member = msgspec.structs.replace(self.own[index], **changes)
        self.own[index] = member
        self.sent.append(member)

    @rule(index=_MEMBERS, state=st.sampled_from(EndpointState))
    def advertise(self, index: int, state: EndpointState) -> None:
        endpoint = builders.build_endpoint(f's{state % 2}', state=state)
        self._publish(
            index,
            sequence=self.own[index].sequence + 1,
            endpoint=endpoint,
        )

    @rule(index=_MEMBERS)
    def leave(self, index: int) -> None:
        self._publish(
            index,
            sequence=self.own[index].sequence + 1,
            status=MemberStatus.LEAVING,
        )

    @rule(index=_MEMBERS, zone=st.sampled_from(['az-0', 'az-1']))
    def restart(self, index: int, zone: str) -> None:
        self._publish(
            index,
            zone=zone,
            incarnation=self.own[index].incarnation + 5,
            sequence=1,
            status=MemberStatus.ALIVE,
            endpoint=None,
        )

    @rule(
        data=st.data(),
        status=st.sampled_from([MemberStatus.SUSPECT, MemberStatus.DEAD]),
    )
    def accuse(self, data: st.DataObject, status: MemberStatus) -> None:
        member = data.draw(st.sampled_from(self.sent))
        self.sent.append(msgspec.structs.replace(member, status=status))

    @rule(data=st.data(), index=_MEMBERS)
    def refute(self, data: st.DataObject, index: int) -> None:
        mine = self.own[index]
        seen = data.draw(
            st.sampled_from([e for e in self.sent if e.id == mine.id])
        )
        found = _membership.refute(mine, seen)
        if found is None:
            assert _rank(seen) <= _rank(mine)
        else:
            assert _membership.newer(found, seen)
            assert _membership.newer(found, mine)
            self.own[index] = found
            self.sent.append(found)

    @rule(data=st.data(), table=_TABLES)
    def deliver(self, data: st.DataObject, table: int) -> None:
        member = data.draw(st.sampled_from(self.sent))
        self.tables[table].merge(member, 1.0)

    @rule(seed=st.integers(0, 99))
    def deliver_everything(self, seed: int) -> None:
        rng = random.Random(seed)
        for table in self.tables:
            for member in rng.sample(self.sent, len(self.sent)):
                table.merge(member, 1.0)
        first = self.tables[0]
        for other in self.tables[1:]:
            assert _by_id(first) == _by_id(other)
            assert first.digest == other.digest
            assert not first.differing_entries(other.buckets(99.0), 99.0)

    @invariant()
    def no_entry_goes_back(self) -> None:
        for number, table in enumerate(self.tables):
            for member in table.members():
                key = (number, member.id)
                assert self.held.get(key, (0, 0, 0)) <= _rank(member)
                self.held[key] = _rank(member)

    @invariant()
    def indexes_and_digests_follow_from_the_entries(self) -> None:
        for table in self.tables:
            fresh = _rebuilt(table)
            assert table.digest == fresh.digest
            assert table.buckets(99.0) == fresh.buckets(99.0)
            members = sorted(table.members(), key=lambda item: item.id)
            for zone in ('az-0', 'az-1'):
                assert list(table.alive(zone)) == [
                    item
                    for item in members
                    if item.zone == zone and item.status not in _GONE
                ]
            for service in ('s0', 's1'):
                assert list(table.endpoints(service)) == [
                    item
                    for item in members
                    if item.endpoint is not None
                    and item.endpoint.service == service
                ]


TestTable = TableMachine.TestCase
TestTable.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


def test_entries_of_equal_rank_merge_alike_in_any_order() -> None:
    """Two daemons that use one id must not make tables differ for ever."""
    one = builders.build_member(1)
    two = msgspec.structs.replace(one, peer_address='127.0.9.9:1')
    tables = [_membership.Table(), _membership.Table()]
    for table, order in zip(tables, [(one, two), (two, one)], strict=True):
        for member in order:
            table.merge(member, 0.0)
    assert tables[0].get(one.id) == tables[1].get(one.id)


def test_dead_entries_expire_and_do_not_come_back_by_repair() -> None:
    dead = builders.build_member(1, status=MemberStatus.DEAD)
    one, two = _membership.Table(), _membership.Table()
    one.merge(dead, 0.0)
    two.merge(dead, 100.0, one.age(dead.id, 100.0))
    assert not two.expire(599.0)
    assert two.get(dead.id) == dead
    assert list(two.expire(600.0)) == [dead.id]
    assert not two.merge(dead, 601.0, age=one.age(dead.id, 601.0))
    assert two.get(dead.id) is None


def test_a_repair_finds_the_missing_entries_only() -> None:
    one, two = _membership.Table(), _membership.Table()
    for index in range(5000):
        member = builders.build_member(index)
        one.merge(member, 0.0)
        if index != 1234:
            two.merge(member, 0.0)
    assert one.digest != two.digest
    found = one.differing_entries(two.buckets(20.0), 20.0)
    assert builders.build_member(1234) in found
    assert len(found) < 60
    two.merge(builders.build_member(1234), 20.0)
    # A change that is on its way is not repaired.
    assert not one.differing_entries(two.buckets(21.0), 21.0)
    assert one.digest == two.digest


def test_the_change_queue_keeps_to_its_budget() -> None:
    queue = _membership.ChangeQueue(rate=160.0, burst=800.0)
    for index in range(100):
        queue.add(f'd{index}', 1000)
    assert len(queue.take(0.0)) == 10
    assert not queue.take(0.0)
    first = queue.take(1.0)
    assert len(first) == 2
    assert not set(queue.take(5.0, known=first)) & set(first)


class _Watch:
    """A detector beside `count` members, all heard of at time 0."""

    def __init__(self, count: int) -> None:
        self.table = _membership.Table()
        for index in range(count):
            self.table.merge(builders.build_member(index), 0.0)
        self.me = builders.build_member(0)
        self.detector = _membership.Detector(self.table, self.me.id, 'az-1')
        self.detector.tick(0.0)
        self.watched = self.table.neighbours(self.me, 3)
        self.detector.watch(self.watched, 0.0)

    def judge(
        self, now: float, asked: int, replied: int, reached: int
    ) -> Member | None:
        members_to_probe = self.detector.members_to_probe(now)
        if not members_to_probe:
            return None
        result = self.detector.evaluate_probes(
            members_to_probe[0],
            asked=asked,
            replied=replied,
            reached=reached,
            now=now,
        )
        if result is not None:
            self.table.merge(result, now)
            self.detector.record_change(result, now, own=True)
        return result


@pytest.mark.parametrize(
    ('count', 'asked', 'answered', 'reached', 'suspect'),
    [
        (50, 3, 3, 0, True),
        (50, 3, 2, 0, True),
        (50, 3, 3, 1, False),  # only the own link is bad
        (50, 3, 1, 0, False),  # the own daemon is probably cut off
        (50, 3, 0, 0, False),  # the own daemon is cut off
        (2, 0, 0, 0, True),  # nobody else is left to ask
        (4, 2, 0, 0, False),
    ],
)
def test_a_suspicion_needs_witnesses(
    count: int, asked: int, replied: int, reached: int, suspect: bool
) -> None:
    watch = _Watch(count)
    assert watch.judge(1.5, asked, replied, reached) is None
    found = watch.judge(2.5, asked, replied, reached)
    assert (found is not None) is suspect
    if found is not None:
        assert not watch.detector.expired_suspects(5.4)
        dead = watch.detector.expired_suspects(5.6)
        # Without an answer since, the own daemon may be cut off by now.
        assert bool(dead) is (count == 2)
        watch.detector.record_received('d1', 5.5)
        assert (
            watch.detector.expired_suspects(5.6)[0].status is MemberStatus.DEAD
        )


def test_the_last_members_of_a_small_fleet_are_found_dead() -> None:
    watch = _Watch(4)
    assert watch.judge(2.5, 2, 0, 0) is None
    assert watch.judge(13.0, 2, 0, 0) is not None


def test_a_paused_process_judges_nobody_before_it_has_refreshed() -> None:
    watch = _Watch(50)
    assert watch.judge(2.5, 3, 3, 0) is not None
    assert watch.detector.tick(60.0)
    assert not watch.detector.expired_suspects(60.0)
    assert watch.judge(62.5, 3, 3, 0) is None
    watch.detector.record_refresh(63.0)
    watch.detector.record_received('d1', 65.9)
    assert not watch.detector.members_to_probe(64.0)
    assert not watch.detector.expired_suspects(65.9)
    assert watch.detector.expired_suspects(66.1)
