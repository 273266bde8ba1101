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
_DEPARTED = (MemberStatus.DEAD, MemberStatus.LEAVING)


def _rank(member: Member) -> tuple[int, int, int]:
    return (member.incarnation, member.sequence, int(member.status))


def _by_id(table: _membership.Table) -> dict[str, Member]:
    return {item.id: item for item in table.members()}


def _rebuilt(table: _membership.Table) -> _membership.Table:
    """Return a new table with the same entries."""
    rebuilt = _membership.Table()
    for member in table.members():
        rebuilt.merge(member, 0.0)
    return rebuilt


class TableMachine(RuleBasedStateMachine):
    """Tables converge when entries are lost, repeated or out of order.

    Meanwhile members change, leave, restart, are suspected and declared dead.
    """

    def __init__(self) -> None:
        super().__init__()
        self.tables = [_membership.Table() for _ in range(3)]
        self.own = {
            index: builders.build_member(index, f'az-{index % 2}')
            for index in range(5)
        }
        self.sent: list[Member] = list(self.own.values())
        self.highest_ranks: dict[tuple[int, str], tuple[int, int, int]] = {}

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
    def report_failure(
        self, data: st.DataObject, status: MemberStatus
    ) -> None:
        member = data.draw(st.sampled_from(self.sent))
        self.sent.append(msgspec.structs.replace(member, status=status))

    @rule(data=st.data(), index=_MEMBERS)
    def refute(self, data: st.DataObject, index: int) -> None:
        own_entry = self.own[index]
        received = data.draw(
            st.sampled_from([e for e in self.sent if e.id == own_entry.id])
        )
        refuted = _membership.refute(own_entry, received)
        if refuted is None:
            assert _rank(received) <= _rank(own_entry)
        else:
            assert _membership.newer(refuted, received)
            assert _membership.newer(refuted, own_entry)
            self.own[index] = refuted
            self.sent.append(refuted)

    @rule(data=st.data(), table=_TABLES)
    def deliver(self, data: st.DataObject, table: int) -> None:
        member = data.draw(st.sampled_from(self.sent))
        self.tables[table].merge(member, 1.0)

    @rule(seed=st.integers(0, 99))
    def deliver_all_entries(self, seed: int) -> None:
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
    def ranks_of_entries_never_decrease(self) -> None:
        for number, table in enumerate(self.tables):
            for member in table.members():
                key = (number, member.id)
                assert self.highest_ranks.get(key, (0, 0, 0)) <= _rank(member)
                self.highest_ranks[key] = _rank(member)

    @invariant()
    def indexes_and_digests_match_the_entries(self) -> None:
        for table in self.tables:
            rebuilt = _rebuilt(table)
            assert table.digest == rebuilt.digest
            assert table.buckets(99.0) == rebuilt.buckets(99.0)
            members = sorted(table.members(), key=lambda item: item.id)
            for zone in ('az-0', 'az-1'):
                assert list(table.alive(zone)) == [
                    item
                    for item in members
                    if item.zone == zone and item.status not in _DEPARTED
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


def test_merge_of_entries_with_equal_rank_ignores_order() -> None:
    """Tables must converge even if two daemons use the same id."""
    one = builders.build_member(1)
    two = msgspec.structs.replace(one, peer_address='127.0.9.9:1')
    tables = [_membership.Table(), _membership.Table()]
    for table, order in zip(tables, [(one, two), (two, one)], strict=True):
        for member in order:
            table.merge(member, 0.0)
    assert tables[0].get(one.id) == tables[1].get(one.id)


def test_repair_does_not_restore_expired_dead_entries() -> None:
    dead = builders.build_member(1, status=MemberStatus.DEAD)
    one, two = _membership.Table(), _membership.Table()
    one.merge(dead, 0.0)
    two.merge(dead, 100.0, one.age(dead.id, 100.0))
    assert not two.expire(599.0)
    assert two.get(dead.id) == dead
    assert list(two.expire(600.0)) == [dead.id]
    assert not two.merge(dead, 601.0, age=one.age(dead.id, 601.0))
    assert two.get(dead.id) is None


def test_repair_returns_few_entries_besides_missing_ones() -> None:
    one, two = _membership.Table(), _membership.Table()
    for index in range(5000):
        member = builders.build_member(index)
        one.merge(member, 0.0)
        if index != 1234:
            two.merge(member, 0.0)
    assert one.digest != two.digest
    entries = one.differing_entries(two.buckets(20.0), 20.0)
    assert builders.build_member(1234) in entries
    assert len(entries) < 60
    two.merge(builders.build_member(1234), 20.0)
    # A recent change may still be in transit and is not repaired.
    assert not one.differing_entries(two.buckets(21.0), 21.0)
    assert one.digest == two.digest


def test_change_queue_limits_bytes_and_skips_known_ids() -> None:
    queue = _membership.ChangeQueue(rate=160.0, burst=800.0)
    for index in range(100):
        queue.add(f'd{index}', 1000)
    assert len(queue.take(0.0)) == 10
    assert not queue.take(0.0)
    first = queue.take(1.0)
    assert len(first) == 2
    assert not set(queue.take(5.0, known=first)) & set(first)


class _DetectorTrial:
    """Detector of a daemon in a zone of `count` members, started at time 0."""

    def __init__(self, count: int) -> None:
        self.table = _membership.Table()
        for index in range(count):
            self.table.merge(builders.build_member(index), 0.0)
        self.me = builders.build_member(0)
        self.detector = _membership.Detector(self.table, self.me.id, 'az-1')
        self.detector.tick(0.0)
        self.watched = self.table.neighbours(self.me, 3)
        self.detector.watch(self.watched, 0.0)

    def probe(
        self, now: float, asked: int, replied: int, reached: int
    ) -> Member | None:
        members = self.detector.members_to_probe(now)
        if not members:
            return None
        result = self.detector.evaluate_probes(
            members[0],
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
    ('count', 'asked', 'replied', 'reached', 'suspect'),
    [
        (50, 3, 3, 0, True),
        (50, 3, 2, 0, True),
        (50, 3, 3, 1, False),  # only this daemon's link is faulty
        (50, 3, 1, 0, False),  # probably disconnected itself
        (50, 3, 0, 0, False),  # disconnected itself
        (2, 0, 0, 0, True),  # no other member to ask
        (4, 2, 0, 0, False),
    ],
)
def test_suspicion_needs_replies_of_most_members_asked(
    count: int, asked: int, replied: int, reached: int, suspect: bool
) -> None:
    trial = _DetectorTrial(count)
    assert trial.probe(1.5, asked, replied, reached) is None
    suspected = trial.probe(2.5, asked, replied, reached)
    assert (suspected is not None) is suspect
    if suspected is not None:
        assert not trial.detector.expired_suspects(5.4)
        dead = trial.detector.expired_suspects(5.6)
        # Without a reply since then, this daemon may be disconnected itself.
        assert bool(dead) is (count == 2)
        trial.detector.record_received('d1', 5.5)
        assert (
            trial.detector.expired_suspects(5.6)[0].status is MemberStatus.DEAD
        )


def test_small_zone_suspects_members_without_confirmation() -> None:
    trial = _DetectorTrial(4)
    assert trial.probe(2.5, 2, 0, 0) is None
    assert trial.probe(13.0, 2, 0, 0) is not None


def test_detection_is_suspended_from_pause_until_refresh() -> None:
    trial = _DetectorTrial(50)
    assert trial.probe(2.5, 3, 3, 0) is not None
    assert trial.detector.tick(60.0)
    assert not trial.detector.expired_suspects(60.0)
    assert trial.probe(62.5, 3, 3, 0) is None
    trial.detector.record_refresh(63.0)
    trial.detector.record_received('d1', 65.9)
    assert not trial.detector.members_to_probe(64.0)
    assert not trial.detector.expired_suspects(65.9)
    assert trial.detector.expired_suspects(66.1)
