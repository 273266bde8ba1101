"""Tests of the decisions about calls: ledgers, ownership, limits, routing."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import msgspec
import pytest

from gypsumhall.core._ledger import EntryState
from gypsumhall.core._ledger import Ledger
from gypsumhall.core._ledger import RecordedResponse
from gypsumhall.core._limits import Admission
from gypsumhall.core._limits import AdmissionQueue
from gypsumhall.core._limits import OutlierEjection
from gypsumhall.core._limits import RetryBudget
from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus
from gypsumhall.core._ownership import is_same_process
from gypsumhall.core._ownership import KeyLedger
from gypsumhall.core._ownership import KeyState
from gypsumhall.core._ownership import owner
from gypsumhall.core._ownership import OwnershipHistory
from gypsumhall.core._routing import choose_version
from gypsumhall.core._routing import Router
from gypsumhall.core._snapshot import Split
from gypsumhall.testing import builders

_IDS = st.builds(
    '{}:{}'.format, st.sampled_from(['a', 'b']), st.integers(0, 12)
)
_STATES = [EntryState.DONE, EntryState.UNKNOWN, EntryState.REFUSED]


class LedgerMachine(RuleBasedStateMachine):
    """No id runs twice, and none that a query has refused ever runs.

    Starts and queries arrive in any order, late or more than once, while
    limits and time make the ledger forget.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = Ledger(max_bytes=50, max_entries=3)
        self.now = 0.0
        self.runs: Counter[str] = Counter()
        self.running: set[str] = set()
        self.not_run: set[str] = set()
        self.responses: dict[str, RecordedResponse] = {}

    @rule(request_id=_IDS)
    def begin(self, request_id: str) -> None:
        if self.ledger.begin(request_id, self.now) is None:
            assert request_id not in self.not_run
            self.runs[request_id] += 1
            self.running.add(request_id)
            assert self.runs[request_id] == 1

    @rule(index=st.integers(0, 5), state=st.sampled_from(_STATES))
    def finish(self, index: int, state: EntryState) -> None:
        if not self.running:
            return
        running = sorted(self.running)
        request_id = running[index % len(running)]
        self.running.remove(request_id)
        response = None
        if state == EntryState.DONE:
            response = RecordedResponse(200, (), request_id.encode() * index)
            self.responses[request_id] = response
        elif state == EntryState.REFUSED:
            self.not_run.add(request_id)
        self.ledger.finish(request_id, self.now, state, response)

    @rule(request_id=_IDS)
    def query(self, request_id: str) -> None:
        entry = self.ledger.query(request_id, self.now)
        if entry.state == EntryState.REFUSED:
            assert not self.runs[request_id] or request_id in self.not_run
            self.not_run.add(request_id)
        if entry.response is not None:
            assert entry.response == self.responses[request_id]
        assert (entry.state == EntryState.RUNNING) == (
            request_id in self.running
        )

    @rule(seconds=st.sampled_from([1.0, 59.0, 61.0, 700.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        assert self.ledger.response_bytes <= 50


class _Node:
    def __init__(self, me: Member, table: dict[str, Member]) -> None:
        self.me = me
        self.table = dict(table)
        self.keys = KeyLedger()
        self.history = OwnershipHistory('availability', me.id)
        self.put(me)

    def put(self, member: Member) -> None:
        held = self.table.get(member.id)
        order = (member.incarnation, member.sequence)
        if held is None or (held.incarnation, held.sequence) < order:
            self.table[member.id] = member

    def observe(self, now: float) -> None:
        self.history.observe(self.table.values(), now)


_NODES = st.integers(0, 3)
_LOST = st.sets(st.integers(0, 3), max_size=1)


class OwnershipMachine(RuleBasedStateMachine):
    """No key runs twice while member tables differ and daemons restart.

    The first daemon never restarts: when all daemons of a service are
    replaced at once, nobody is left who knows which keys have been used.
    """

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.runs: Counter[str] = Counter()
        self.nodes: list[_Node] = []
        endpoint = builders.build_endpoint()
        members = {
            f'd{index}': builders.build_member(index, endpoint=endpoint)
            for index in range(4)
        }
        self.nodes = [_Node(item, members) for item in members.values()]
        for node in self.nodes:
            node.observe(self.now)

    @rule(source=_NODES, receiver=_NODES, about=_NODES)
    def spread(self, source: int, receiver: int, about: int) -> None:
        member = self.nodes[source].table[f'd{about}']
        if about != receiver:
            self.nodes[receiver].put(member)
            self.nodes[receiver].observe(self.now)

    @rule(index=st.integers(1, 3), source=st.integers(0, 3))
    def restart(self, index: int, source: int) -> None:
        me = self.nodes[index].me
        me = msgspec.structs.replace(me, incarnation=me.incarnation + 1000)
        seed = self.nodes[source if source != index else 0]
        self.nodes[index] = _Node(me, seed.table)
        self.nodes[index].observe(self.now)

    @rule(observer=_NODES, index=st.integers(1, 3))
    def suspect_death(self, observer: int, index: int) -> None:
        """A daemon holds another one for dead, rightly or not."""
        if observer != index:
            node = self.nodes[observer]
            member = node.table[f'd{index}']
            node.table[member.id] = msgspec.structs.replace(
                member,
                status=MemberStatus.DEAD,
                sequence=member.sequence + 1,
            )
            node.observe(self.now)

    @rule(index=st.integers(1, 3))
    def refute(self, index: int) -> None:
        node = self.nodes[index]
        node.me = msgspec.structs.replace(
            node.me, incarnation=node.me.incarnation + 1
        )
        node.put(node.me)
        node.observe(self.now)

    @rule(seconds=st.sampled_from([1.0, 5.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(
        index=_NODES,
        key=st.sampled_from(['k0', 'k1', 'k2']),
        lost=_LOST,
        runs=st.booleans(),
    )
    def use(self, index: int, key: str, lost: set[int], runs: bool) -> None:
        node = self.nodes[index]
        chosen = owner('availability', key, node.table.values())
        if chosen is None or chosen.id != node.me.id:
            return
        entry = node.keys.begin('availability', key, b'', self.now)
        if entry.state == KeyState.RELEASED:
            node.keys.reclaim('availability', key, b'')
        elif entry.state != KeyState.NEW:
            return
        if self._released(node, key, entry.released_to, lost) and runs:
            self.runs[key] += 1
            assert self.runs[key] == 1
            node.keys.finish('availability', key, self.now, KeyState.DONE)
        else:
            node.keys.abandon('availability', key, self.now)

    def _released(
        self,
        node: _Node,
        key: str,
        released_to: set[tuple[str, int]],
        lost: set[int],
    ) -> bool:
        former = node.history.former_owners(key, self.now, 0.0)
        asked = tuple((item.id, item.incarnation) for item in former.to_query)
        certain = not former.lost and all(
            any(
                member.id == member_id and is_same_process(member, incarnation)
                for member in former.to_query
            )
            for member_id, incarnation in released_to
        )
        to = (node.me.id, node.me.incarnation)
        for member in former.to_query:
            target = self.nodes[int(member.id[1:])]
            if int(member.id[1:]) in lost:
                certain = False
                continue
            state = target.keys.release(
                'availability', key, self.now, to, asked
            )
            certain = (
                certain
                and state == KeyState.RELEASED
                and is_same_process(target.me, member.incarnation)
                and not target.history.had_earlier_owner(
                    key, self.now, to, asked
                )
            )
        return certain


_MACHINE_SETTINGS = settings(
    max_examples=150, stateful_step_count=50, deadline=None
)
TestLedger = LedgerMachine.TestCase
TestLedger.settings = _MACHINE_SETTINGS
TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = _MACHINE_SETTINGS


def test_key_response_is_kept_within_the_byte_limit() -> None:
    """Large responses must not use up the memory; the keys stay known."""
    ledger = KeyLedger(max_bytes=100)
    for index in range(5):
        assert ledger.begin('s', f'k{index}', b'd', 0.0).state == KeyState.NEW
        response = RecordedResponse(200, (), bytes(40))
        ledger.finish('s', f'k{index}', 0.0, KeyState.DONE, response)
    kept = [ledger.begin('s', f'k{index}', b'd', 0.0) for index in range(5)]
    assert [entry.state for entry in kept] == [KeyState.DONE] * 5
    assert [entry.response is not None for entry in kept] == (
        [False] * 3 + [True] * 2
    )
    assert ledger.begin('s', 'k0', b'e', 0.0).state == KeyState.MISMATCH
    assert ledger.begin('s', 'k0', b'd', 601.0).state == KeyState.NEW


def test_concurrency_limit_falls_under_overload_and_recovers() -> None:
    """A server that slows down above a load keeps a usable latency."""
    queue = AdmissionQueue(10)
    now = 0.0
    lowest = 10
    for overloaded in (False, True, False):
        for _ in range(60):
            for _ in range(20):
                while queue.may_run:
                    assert queue.arrive(100.0) == Admission.RUN
                slow = overloaded and queue.in_flight > 4
                now += 0.05
                queue.leave(now, 0.1 if slow else 0.01)
            assert queue.limit <= 10
            lowest = min(lowest, queue.limit)
        if overloaded:
            assert lowest <= 5
    assert queue.limit == 10


def test_queue_refuses_what_cannot_make_its_deadline() -> None:
    queue = AdmissionQueue(2)
    assert queue.arrive(1.0) == Admission.RUN
    queue.leave(1.0, 0.5)
    assert [queue.arrive(1.0) for _ in range(2)] == [Admission.RUN] * 2
    assert queue.arrive(0.2) == Admission.TOO_LATE
    assert [queue.arrive(9.0) for _ in range(4)] == [Admission.QUEUE] * 4
    assert queue.arrive(9.0) == Admission.QUEUE_FULL


def test_retry_budget_bounds_the_share_of_retries() -> None:
    """Retries must not multiply the load when everything fails."""
    budget = RetryBudget()
    retries = 0
    for index in range(10_000):
        now = index / 1000
        budget.call(now)
        retries += budget.retry(now)
    assert 1000 <= retries <= 1000 + 10 * 10 + 10


def test_ejection_spares_half_of_the_endpoints_and_backs_off() -> None:
    ejection = OutlierEjection()
    ids = ['a', 'b', 'c', 'd']
    now = 0.0
    for expected_s in (5.0, 10.0, 20.0, 40.0, 60.0, 60.0):
        for item in ids:
            for _ in range(5):
                ejection.failure(item, now)
        assert len(ejection.usable(ids, now)) == 2
        assert ejection.ejected('a', now + expected_s - 0.1)
        now += expected_s
        assert not ejection.ejected('a', now)
    ejection.success('a')
    assert ejection.usable(['a'], now) == ['a']


@pytest.mark.parametrize(
    ('stage', 'idempotent', 'keyed', 'expected'),
    [
        (0, True, False, 500),
        (0, False, False, 0),
        (0, True, True, 0),
        (1, False, True, 500),
    ],
)
def test_share_of_the_new_version(
    stage: int, idempotent: bool, keyed: bool, expected: int
) -> None:
    split = Split('v1', 'v2', 0.5, 'm', stage)
    rng = Random(1)
    new = sum(
        choose_version(split, rng, idempotent=idempotent, keyed=keyed) == 'v2'
        for _ in range(1000)
    )
    assert abs(new - expected) < 60
    assert choose_version(
        Split('v1', 'v2', 0.0), rng, idempotent=True, keyed=False
    ) == ('v1')


def test_a_handover_tells_of_processes_that_are_gone() -> None:
    """A key that a killed owner has run must not run for a second time.

    A daemon that started after that owner died may know of it only through
    the daemon that hands its keys over.
    """
    endpoint = builders.build_endpoint()
    members = [
        builders.build_member(index, endpoint=endpoint) for index in range(3)
    ]
    key = next(
        key
        for key in map(str, range(1000))
        if owner('availability', key, members) is members[0]
        and owner('availability', key, members[1:]) is members[1]
    )
    killed, stopped, me = members
    history = OwnershipHistory('availability', me.id)
    history.observe([stopped, me], 0.0)
    to = (killed.id, killed.incarnation + 1000)
    assert not history.had_earlier_owner(key, 1.0, to, ())
    history.record_handover(stopped.id, stopped.incarnation, [killed], 1.0)
    history.observe([me], 2.0)
    assert history.former_owners(key, 3.0, 0.0).to_query == (killed,)
    assert history.had_earlier_owner(key, 3.0, to, ())
    assert history.departed_members(3.0) == [killed]


def test_own_endpoint_is_preferred_until_it_is_busier() -> None:
    """The preference must not pile calls up on one backend server."""
    router = Router('az-1', Random(1), 'd0')
    endpoint = builders.build_endpoint(slots=4)
    members = [
        builders.build_member(index, 'az-1', endpoint) for index in range(3)
    ]
    router.update('availability', members, 1, 0.0)
    chosen: Counter[str] = Counter()
    for _ in range(30):
        member = router.choose('availability', 'v1', 100.0)
        assert member is not None
        if not chosen:
            assert member.id == 'd0'
        chosen[member.id] += 1
        router.begin(member.id)
    assert max(chosen.values()) - min(chosen.values()) <= 2
    for member_id, number in chosen.items():
        for _ in range(number):
            router.end(member_id, 100.0, failed=False)
    router.report('d0', 100.0, 12, full=True)
    member = router.choose('availability', 'v1', 100.0)
    assert member is not None and member.id != 'd0'


def test_own_zone_comes_first_and_new_endpoints_start_slowly() -> None:
    """Another zone is used only when the own one is full or gone."""
    router = Router('az-1', Random(1))
    endpoint = builders.build_endpoint()
    members = [
        builders.build_member(index, zone, endpoint)
        for index, zone in enumerate(['az-1', 'az-1', 'az-2'])
    ]
    router.update('availability', members[1:], 1, 0.0)
    router.update('availability', members, 2, 100.0)

    def sent(now: float, count: int = 400) -> Counter[str]:
        chosen: Counter[str] = Counter()
        for _ in range(count):
            member = router.choose('availability', 'v1', now)
            assert member is not None
            chosen[member.id] += 1
            router.begin(member.id)
        for member_id, number in chosen.items():
            for _ in range(number):
                router.end(member_id, now, failed=False)
        return chosen

    early = sent(101.0)
    assert early['d0'] < 60 and early['d2'] == 0
    assert abs(sent(111.0)['d0'] - 200) < 10
    for member_id in ('d0', 'd1'):
        router.report(member_id, 111.0, 18, full=True)
    assert sent(111.0) == {'d2': 400}
    assert sent(114.0)['d2'] == 0
    draining = builders.build_endpoint(state=2)
    members[0] = builders.build_member(0, 'az-1', draining)
    members[1] = builders.build_member(
        1, 'az-1', endpoint, MemberStatus.LEAVING
    )
    router.update('availability', members, 3, 115.0)
    assert sent(115.0) == {'d2': 400}
    assert router.choose('availability', 'v2', 115.0) is None
