"""Stateful test of several replicas on an unreliable network."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import msgspec
import pytest

from gypsumhall.core import _actions
from gypsumhall.core import _delta
from gypsumhall.core import _model
from gypsumhall.core._replica import Replica
from gypsumhall.core._snapshot import CorruptUpdateError
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.net import _messages
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeTable

# The tree of the larger zone has more than one level below its root.
ZONES = {'az-1': 11, 'az-2': 3}
DEPARTMENTS = ('bath', 'spa', 'steam')
SEEDS = st.integers(0, 2**32)


def _fragment(
    name: str,
    routes: int,
    *,
    has_dangling_route: bool = False,
    move: bool = False,
) -> _model.Fragment:
    service = f'{name}-service'
    return builders.build_fragment(
        name,
        [builders.build_service(service)],
        [
            builders.build_route(
                f'r{index:02}',
                'missing' if has_dangling_route else service,
                f'{name}.example',
                f'/{index}',
            )
            for index in range(routes)
        ],
        [builders.build_move(f'{name}/move', service)] if move else [],
    )


class Platform:
    """Fake platform with the history of accepted heads."""

    def __init__(self) -> None:
        self.fragments: dict[str, _model.Fragment] = {}
        self.moves: dict[str, _model.Move] = {}
        self.submissions: dict[str, int] = {}
        self.history: list[_model.Head] = []

    @property
    def version(self) -> int:
        return self.history[-1].version if self.history else 0

    def change(self, kind: str, name: str, number: int) -> None:
        move_id = f'{name}/move'
        move = self.moves.get(move_id)
        if kind == 'routes' or name not in self.fragments:
            named = name in self.fragments and self.fragments[name].moves
            self.fragments[name] = _fragment(name, number, move=bool(named))
        elif kind == 'remove' and move is None:
            del self.fragments[name]
        elif kind == 'move' and move is None:
            fragment = _fragment(name, number, move=True)
            self.fragments[name] = fragment
            self.moves[move_id] = _model.Move(
                fragment.moves[0],
                _model.MoveState.ACTIVE,
                0,
                0.01,
                float(self.version + 1),
                0.0,
            )
        elif kind == 'advance' and move is not None:
            self.moves[move_id] = msgspec.structs.replace(
                move, stage=move.stage + 1
            )
        elif kind == 'forget' and move is not None:
            # Happens 24 h after the move ended and was removed from the text.
            self.fragments[name] = _fragment(name, number)
            del self.moves[move_id]
        self.submissions[f'submission-{self.version + 1}'] = self.version + 1
        self.submissions = dict(list(self.submissions.items())[-4:])
        self.store(self.version + 1)

    def store(self, version: int) -> _model.Head:
        head = msgspec.structs.replace(
            builders.build_head(
                self.fragments.values(), version, self.moves.values()
            ),
            submissions=dict(self.submissions),
        )
        self.history.append(head)
        return head


class ReplicaMachine(RuleBasedStateMachine):
    """Loss, reordering, duplicates, restarts, partitions, bad versions."""

    @initialize(seed=SEEDS)
    def start(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.platform = Platform()
        self.bad_digests: set[str] = set()
        zones = [zone for zone, size in ZONES.items() for _ in range(size)]
        self.members = [
            builders.build_member(index, zone)
            for index, zone in enumerate(zones)
        ]
        self.table = FakeTable(self.members)
        self.by_address = {
            item.peer_address: index for index, item in enumerate(self.members)
        }
        size = len(self.members)
        self.in_flight: list[tuple[int, str, object]] = []
        self.partitioned = False
        self.replicas: list[Replica] = []
        self.installed_versions = [0] * size
        self.heartbeat_versions = [0] * size
        self.reverted: list[set[tuple[str, float]]] = [
            set() for _ in range(size)
        ]
        for index in range(size):
            self.replicas.append(self._build_replica(index))
            self.replicas[index].set_floor(0, self.now)
        for kind in ('routes', 'move'):
            self._change(kind, 'spa', 2)
            self._publish(0)

    def _build_replica(self, index: int) -> Replica:
        return Replica(self.members[index], self.table, self.rng)

    def _change(self, kind: str, name: str, number: int) -> None:
        self.platform.change(kind, name, number)

    def _publish(self, index: int) -> None:
        self._execute(
            index,
            self.replicas[index].publish(
                self.platform.history[-1],
                list(self.platform.fragments.values()),
                self.now,
            ),
        )

    def _execute(self, index: int, actions: list[_actions.Action]) -> None:
        for action in actions:
            # Only rules with bad input expect alarms, and they remove them.
            assert not isinstance(action, _actions.Alarm), action
            if isinstance(action, _actions.Send):
                self.in_flight.append((index, action.address, action.message))
            elif isinstance(action, _actions.Fetch | _actions.FetchReverts):
                self.in_flight.append((index, action.address, action))

    def _reachable(self, one: int, other: int) -> bool:
        return not self.partitioned or (
            self.members[one].zone == self.members[other].zone
        )

    def _deliver(self, position: int, *, lost: bool, twice: bool) -> None:
        source, address, message = self.in_flight.pop(position)
        target = self.by_address[address]
        lost = lost or not self._reachable(source, target)
        if isinstance(message, _actions.Fetch):
            reply = None
            if not lost:
                parts = self.replicas[target].build_pull_reply(message.pull)
                reply = _delta.join(parts)
            self._execute(
                source,
                self.replicas[source].handle_fetch_result(
                    address, reply, self.now
                ),
            )
            return
        for _ in range(0 if lost else 1 + twice):
            self._receive(source, target, message)

    def _receive(self, source: int, target: int, message: object) -> None:
        replica = self.replicas[target]
        sender = self.members[source]
        address, now = sender.peer_address, self.now
        match message:
            case _actions.FetchReverts():
                reverts = replica.all_reverts()
                actions = self.replicas[source].receive_reverts(
                    reverts, self.members[target].peer_address, complete=True
                )
                self._execute(source, actions)
                return
            case _messages.Update():
                actions = replica.receive(message, address, now)
            case _messages.Announcement():
                actions = replica.receive_announcement(message, address, now)
            case _messages.Reverts():
                actions = replica.receive_reverts(message, address)
            case _messages.Acknowledgement():
                actions = replica.receive_acknowledgement(
                    sender.id, message, now
                )
            case _messages.ZoneSummaries():
                actions = replica.receive_summaries(
                    message, address, sender.zone, now
                )
        self._execute(target, actions)

    @rule(
        kind=st.sampled_from(
            ('routes', 'remove', 'move', 'advance', 'forget')
        ),
        name=st.sampled_from(DEPARTMENTS),
        number=st.integers(0, 4),
        publishers=st.lists(st.integers(0, 13), min_size=1, max_size=3),
    )
    def change(
        self, kind: str, name: str, number: int, publishers: list[int]
    ) -> None:
        self._change(kind, name, number)
        for index in publishers:
            self._publish(index)

    @rule(seed=SEEDS, count=st.integers(1, 60), loss=st.floats(0, 0.5))
    def deliver(self, seed: int, count: int, loss: float) -> None:
        rng = random.Random(seed)
        for _ in range(min(count, len(self.in_flight))):
            self._deliver(
                rng.randrange(len(self.in_flight)),
                lost=rng.random() < loss,
                twice=rng.random() < 0.2,
            )

    @rule(seconds=st.floats(0.01, 6))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for index, replica in enumerate(self.replicas):
            if replica.due <= self.now:
                self._execute(index, replica.tick(self.now))
            self.heartbeat_versions[index] = replica.version

    @rule(index=st.integers(0, 13))
    def restart(self, index: int) -> None:
        """All state is lost; the floor is obtained from neighbours."""
        self.in_flight = [item for item in self.in_flight if item[0] != index]
        replica = self.replicas[index] = self._build_replica(index)
        self.installed_versions[index] = 0
        self.reverted[index] = set()
        neighbour_versions = [
            other.version
            for number, other in enumerate(self.replicas)
            if number != index
            and other.ready
            and self.members[number].zone == self.members[index].zone
        ]
        replica.set_floor(
            max([self.heartbeat_versions[index], *neighbour_versions[:3]]),
            self.now,
        )

    @rule()
    def toggle_partition(self) -> None:
        self.partitioned = not self.partitioned

    @rule(index=st.integers(0, 13), source=st.integers(0, 13))
    def bad_version(self, index: int, source: int) -> None:
        """The platform and a peer send a version with a dangling route."""
        name = DEPARTMENTS[0]
        fragments = {
            **self.platform.fragments,
            name: _fragment(name, 1, has_dangling_route=True),
        }
        head = builders.build_head(
            fragments.values(), self.platform.version + 1
        )
        digest = _model.digest(_model.encode(head))[:16]
        self.bad_digests.add(digest)
        replica = self.replicas[index]
        first = replica.publish(head, list(fragments.values()), self.now)
        assert [item.code for item in first] in (['invalid-update'], [])
        update = _messages.Update(
            head, 0, tuple(fragments.values()), root='d0', digest=digest
        )
        address = self.members[source].peer_address
        # The alarm is raised once, and nothing is forwarded or pulled.
        assert replica.receive(update, address, self.now) == []
        due = replica.due
        replica.receive_digest(
            _messages.Digest(head.version, digest, 0, replica.digest.reverts),
            address,
            self.now,
        )
        assert replica.due == due

    @rule(index=st.integers(0, 13), source=st.integers(0, 13))
    def damaged_update(self, index: int, source: int) -> None:
        """Only the message is corrupt; the version can still be pulled."""
        if self.platform.version < 2:
            return
        head = self.platform.history[-1]
        replica = self.replicas[index]
        update = _messages.Update(
            msgspec.structs.replace(head, submissions={'forged': 1}),
            0,
            tuple(self.platform.fragments.values()),
            digest=_model.digest(_model.encode(head))[:16],
        )
        previous_version = replica.version
        address = self.members[source].peer_address
        actions = replica.receive(update, address, self.now)
        if previous_version < head.version:
            assert actions.pop().code == 'corrupt-update'
        self._execute(index, actions)
        assert replica.version == previous_version

    @rule(index=st.integers(0, 13))
    def conflict(self, index: int) -> None:
        """Another head with the installed version number raises one alarm."""
        replica = self.replicas[index]
        if not replica.version:
            return
        head = msgspec.structs.replace(
            replica.snapshot.head, submissions={'other': 1}
        )
        update = _messages.Update(head, 0, ())
        actions = replica.receive(update, '', self.now)
        assert all(item.code == 'digest-conflict' for item in actions)
        assert replica.receive(update, '', self.now) == []

    @rule(index=st.integers(0, 13), back=st.integers(1, 3))
    def restored_head(self, index: int, back: int) -> None:
        """The platform was restored with an older head."""
        replica = self.replicas[index]
        older = [
            head
            for head in self.platform.history
            if head.version < replica.version
        ]
        if not older:
            return
        head = older[-min(back, len(older))]
        self.now += 10
        actions = replica.publish(head, [], self.now)
        assert all(item.code == 'head-went-back' for item in actions)
        assert replica.publish(head, [], self.now) == []

    @rule(index=st.integers(0, 13))
    def revert(self, index: int) -> None:
        for move in self.replicas[index].snapshot.head.moves:
            new_revert = _messages.Revert(move, 'failures', f'd{index}')
            self._execute(index, self.replicas[index].add_revert(new_revert))
            assert move in self.replicas[index].reverts

    @invariant()
    def no_version_decreases(self) -> None:
        for index, replica in enumerate(self.replicas):
            assert replica.version >= self.installed_versions[index]
            self.installed_versions[index] = replica.version
            if replica.ready:
                assert replica.version >= self.heartbeat_versions[index]

    @invariant()
    def every_installed_version_is_valid(self) -> None:
        accepted = {head.version: head for head in self.platform.history}
        for snapshot in {
            item.snapshot.version: item.snapshot for item in self.replicas
        }.values():
            if not snapshot.version:
                continue
            assert snapshot.head == accepted[snapshot.version]
            rebuilt = Snapshot.build(
                snapshot.head, snapshot.fragments.values()
            )
            assert rebuilt.digest == snapshot.digest
            assert rebuilt.services == snapshot.services
            assert sorted(item.id for item in rebuilt.routes) == sorted(
                item.id for item in snapshot.routes
            )
            for matched in snapshot.routes:
                found = snapshot.match(matched.route.host, matched.route.path)
                assert found == matched
                assert snapshot.service(matched.route.service) is not None

    @invariant()
    def reverts_are_never_lost(self) -> None:
        for index, replica in enumerate(self.replicas):
            moves = replica.snapshot.head.moves
            # A move may have been removed and submitted again since.
            current = {
                (move, moves[move].started)
                for move in replica.reverts
                if move in moves
            }
            lost = self.reverted[index] - current
            assert not any(
                move in moves and moves[move].started == started
                for move, started in lost
            )
            self.reverted[index] = current

    def teardown(self) -> None:
        """All replicas converge once the network is reliable."""
        if not hasattr(self, 'platform'):
            return
        self.partitioned = False
        self._publish(0)
        for _ in range(40):
            self.pass_time(0.5)
            for index, replica in enumerate(self.replicas):
                # Heartbeats of the membership carry the digest.
                other = self.rng.randrange(len(self.replicas))
                message = _messages.Announcement(replica.digest)
                self._receive(index, other, message)
            while self.in_flight:
                self._deliver(0, lost=False, twice=False)
            self.no_version_decreases()
            self.reverts_are_never_lost()
        digests = {
            (item.version, item.digest.snapshot, item.digest.reverts)
            for item in self.replicas
        }
        assert len(digests) == 1
        assert self.replicas[0].version == self.platform.version
        assert all(item.ready for item in self.replicas)
        assert all(
            item.in_effect(self.platform.version) for item in self.replicas
        )


TestReplicas = ReplicaMachine.TestCase
TestReplicas.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


class AnnouncingMachine(ReplicaMachine):
    """The same with versions that are too large to be pushed."""

    @initialize()
    def forbid_pushes(self) -> None:
        self._limit = pytest.MonkeyPatch()
        self._limit.setattr(_delta, 'PUSH_BYTES', 0)

    def teardown(self) -> None:
        super().teardown()
        self._limit.undo()


TestAnnouncingReplicas = AnnouncingMachine.TestCase
TestAnnouncingReplicas.settings = TestReplicas.settings


def _build_replicas(count: int) -> list[Replica]:
    members = [builders.build_member(index) for index in range(count)]
    table = FakeTable(members)
    replicas = [
        Replica(member, table, random.Random(index))
        for index, member in enumerate(members)
    ]
    for replica in replicas:
        replica.set_floor(0, 0.0)
    return replicas


def test_large_version_is_announced_in_the_tree_and_small_one_pushed() -> None:
    """Pushes of large versions in several trees filled slow links."""
    replica = _build_replicas(4)[0]
    for version, routes, kind in (
        (1, 2, _messages.Update),
        (2, 300, _messages.Announcement),
    ):
        fragment = _fragment('spa', routes)
        head = builders.build_head([fragment], version)
        in_tree = [
            action.message
            for action in replica.publish(head, [fragment], float(version))
            if isinstance(action, _actions.Send)
            and getattr(action.message, 'root', '') == 'd0'
        ]
        assert [type(item) for item in in_tree] == [kind] * 3


def test_announcement_in_a_tree_is_pulled_at_once_and_forwarded() -> None:
    """A pull waited 0.1 s for a push, which does not follow here."""
    publisher, replica, *_ = _build_replicas(12)
    fragment = _fragment('spa', 300)
    publisher.publish(builders.build_head([fragment]), [fragment], 1.0)
    tree = replica._trees.get('az-1', 'd0')
    replica._me = tree.children('d0')[0]
    message = _messages.Announcement(publisher.digest, 'd0')
    assert replica.receive_announcement(message, 'source', 1.0) == []
    assert replica.receive_announcement(message, 'other source', 1.0) == []
    fetches = replica.tick(1.0)
    assert [type(item) for item in fetches].count(_actions.Fetch) == 1
    # A pull in progress is not repeated for the same version.
    replica.receive_announcement(message, 'third source', 1.1)
    assert replica.tick(1.2) == []
    reply = _delta.join(publisher.build_pull_reply(_messages.Pull()))
    actions = replica.handle_fetch_result('source', reply, 1.3)
    children = [item.peer_address for item in tree.children(replica._me.id)]
    assert children
    assert children == [
        action.address
        for action in actions
        if isinstance(action, _actions.Send)
        and getattr(action.message, 'root', '') == 'd0'
    ]
    assert replica.version == 1
    repeated = replica.receive_announcement(message, 'third source', 1.4)
    assert repeated == []


def test_corrupt_reply_is_reported_and_the_configuration_pulled_again() -> (
    None
):
    """A daemon would otherwise keep its version until the next heartbeat."""
    publisher, replica = _build_replicas(2)
    fragment = _fragment('spa', 300)
    publisher.publish(builders.build_head([fragment]), [fragment], 1.0)
    message = _messages.Announcement(publisher.digest, 'd0')
    replica.receive_announcement(message, 'source', 1.0)
    (fetch,) = (
        action
        for action in replica.tick(1.0)
        if isinstance(action, _actions.Fetch)
    )
    error = CorruptUpdateError('damaged')
    (alarm,) = replica.handle_fetch_result(fetch.address, error, 1.1)
    assert isinstance(alarm, _actions.Alarm)
    assert alarm.code == 'corrupt-update'
    assert replica.version == 0
    assert replica.due < 1.1 + 1.0
    fetches = [
        action
        for action in replica.tick(replica.due)
        if isinstance(action, _actions.Fetch)
    ]
    assert [action.pull for action in fetches] == [_messages.Pull()]


def test_backoff_of_pulls_is_bounded_in_a_long_partition() -> None:
    """An unbounded backoff overflowed after about 1,000 failures."""
    members = [builders.build_member(index) for index in range(2)]
    replica = Replica(members[0], FakeTable(members), random.Random(1))
    peer = members[1].peer_address
    failures = 0
    for step in range(20_000):
        now = step * 0.5
        replica.note_peer_version(7, peer, now)
        for action in replica.tick(now):
            if isinstance(action, _actions.Fetch):
                failures += 1
                # With another source, the pull is retried again.
                replica.note_peer_version(7, 'other', now)
                replica.handle_fetch_result(action.address, None, now)
    assert 1200 < failures < 6000
