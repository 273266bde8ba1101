"""Tests of acceptance with injected faults of the store.

The state machine guards against a submission that is accepted twice, an
accepted one that is missing from a later head, one that is reported as
rejected although it was accepted, and versions without a total order.
"""

from __future__ import annotations

import contextlib
import datetime
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest
import trio
import trio.testing

from gypsumhall.core import _accept
from gypsumhall.core import _model
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.errors import StoreError
from gypsumhall.errors import StoreUnavailableError
from gypsumhall.errors import StoreUnknownError
from gypsumhall.services._acceptance import FRAGMENT_RETENTION_S
from gypsumhall.services._acceptance import Submission
from gypsumhall.services._acceptance import SubmissionResult
from gypsumhall.services._acceptance import SubmissionStatus
from gypsumhall.store import _keys
from gypsumhall.store import Put
from gypsumhall.testing.control_plane import ControlPlane
from gypsumhall.testing.memory_store import Fault
from gypsumhall.testing.memory_store import MemoryStore

Status = SubmissionStatus
_NOW = 1_000_000.0


def _text(department: str, extra: str = '', depends_on: str = '') -> str:
    return (
        f'department: {department}\n'
        'services:\n'
        f'  {department}-main:\n'
        '    versions: [v1, v2]\n'
        f'    depends_on: [{depends_on}]\n'
        f'{extra}'
    )


def _move(department: str, name: str, deadline: str = 'within: 60s') -> str:
    return (
        'moves:\n'
        f'  {name}:\n'
        f'    service: {department}-main\n'
        '    from: v1\n'
        '    to: v2\n'
        f'    {deadline}\n'
    )


def _deadline(time: float) -> str:
    date = datetime.datetime.fromtimestamp(_NOW + time, datetime.UTC)
    return f'deadline: {date.isoformat()}'


def _submission(
    text: str, number: int = 1, token: str = 'secret-token'
) -> Any:
    return Submission(f'submission-{number}', token, text)


def _control_plane(store: MemoryStore, seed: int = 0) -> ControlPlane:
    return ControlPlane(store, lambda: _NOW + trio.current_time(), seed=seed)


async def _head(store: MemoryStore) -> _model.Head:
    found = await store.get(_keys.HEAD)
    return _model.decode_head(found.value) if found else _model.Head()


@pytest.mark.parametrize(
    ('faults', 'status'),
    [
        ([], Status.ACCEPTED),
        ([Fault.UNAVAILABLE] * 3, Status.ACCEPTED),
        ([Fault.LOST_RESPONSE], Status.ACCEPTED),
        ([Fault.LOST_REQUEST, Fault.LOST_RESPONSE], Status.ACCEPTED),
        ([Fault.INVALID_RESPONSE], Status.ACCEPTED),
        ([Fault.LATE] * 4, Status.ACCEPTED),
        ([Fault.UNAVAILABLE] * 40, Status.UNAVAILABLE),
        ([Fault.LOST_REQUEST] * 40, Status.UNKNOWN),
    ],
)
async def test_result_of_a_submission_after_faults_of_the_write(
    autojump_clock: trio.testing.MockClock,
    faults: list[Fault],
    status: SubmissionStatus,
) -> None:
    store = MemoryStore()
    async with _control_plane(store).running() as plane:
        store.inject('txn', *faults)
        result = await plane.acceptance.submit(_submission(_text('a')))
        assert result.status is status
        head = await _head(store)
        assert head.version == (1 if status is Status.ACCEPTED else 0)
        assert result.version == head.version
        if status is Status.ACCEPTED:
            assert plane.distribution.published[-1] == head
            again = await plane.acceptance.submit(_submission(_text('a')))
            assert again == result
            assert await _head(store) == head


async def test_a_submission_in_an_outage_ends_within_the_time_limit(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    async with _control_plane(store).running() as plane:
        store.latency_s = 60.0
        result = await plane.acceptance.submit(_submission(_text('a')))
        assert result.status is Status.UNAVAILABLE
        assert trio.current_time() == pytest.approx(10)
        with pytest.raises(StoreUnavailableError):
            await plane.acceptance.apply(lambda head: head)


async def test_no_rejection_while_an_earlier_write_may_take_effect(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against status "refused" for a text that is accepted later.

    The first write is executed late. Meanwhile the deadline of the move has
    come so close that another decision would reject the text.
    """
    store = MemoryStore()
    store.late_s = 6.0
    text = _text('a', _move('a', 'up', _deadline(20)))
    async with _control_plane(store).running() as plane:
        store.inject('txn', Fault.LATE)

        async def wait_after_the_write(operation: str) -> None:
            if operation == 'get' and store.counts.get('txn'):
                store.before = None
                await trio.sleep(4)

        store.before = wait_after_the_write
        result = await plane.acceptance.submit(_submission(text))
        assert result.status is Status.ACCEPTED
        assert store.counts['txn'] == 1


async def test_a_paused_submitter_cannot_overwrite_its_rivals(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    async with (
        _control_plane(store, 1).running() as paused,
        _control_plane(store, 2).running() as rival,
    ):
        results: list[SubmissionResult] = []

        async def pause_first_write(operation: str) -> None:
            if operation == 'txn' and store.counts['txn'] == 1:
                await trio.sleep(5)

        async def submit_paused() -> None:
            text = _text('a', depends_on='b-main')
            results.append(
                await paused.acceptance.submit(_submission(text, 1))
            )

        first = await rival.acceptance.submit(_submission(_text('b'), 9))
        assert first.version == 1
        store.before = pause_first_write
        store.clear_faults()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_paused)
            await trio.sleep(1)
            # Removes the service that the paused text depends on.
            removal = Submission(
                'submission-3', 'secret-token', 'department: b'
            )
            assert (await rival.acceptance.submit(removal)).version == 2
        assert results[0].status is Status.REFUSED
        assert results[0].findings[0].code == 'missing-dependency'
        assert (await _head(store)).version == 2


async def test_transitions_are_applied_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    text = _text('a', _move('a', 'up'))
    async with _control_plane(store).running() as plane:
        await plane.acceptance.submit(_submission(text))
        store.inject('txn', Fault.LOST_RESPONSE)

        def advance(head: _model.Head) -> _model.Head | None:
            return _accept.advance_stage(head, 'a/up', 1, 0.05, _NOW)

        head = await plane.acceptance.apply(advance)
        assert head is not None
        assert head.version == 2
        assert await plane.acceptance.apply(advance) is None
        store.inject('txn', *[Fault.LOST_REQUEST] * 40)
        with pytest.raises(StoreUnknownError):
            await plane.acceptance.apply(
                lambda head: _accept.advance_stage(head, 'a/up', 2, 0.2, _NOW)
            )


async def test_abort_works_with_and_without_the_platform(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    text = _text('a', _move('a', 'up'))
    async with _control_plane(store).running() as plane:
        await plane.acceptance.submit(_submission(text))
        wrong = await plane.acceptance.abort('a/up', 'another-token')
        assert [item.code for item in wrong.findings] == ['wrong-token']
        assert not plane.distribution.reverts
        store.latency_s = 60
        async with trio.open_nursery() as nursery:
            nursery.start_soon(plane.acceptance.abort, 'a/up', 'secret-token')
            await trio.sleep(0.1)
            assert plane.distribution.reverts['a/up'].reason == 'aborted'
        store.latency_s = 0
        store.outage = True
        distributed = await plane.acceptance.abort('a/up', 'secret-token')
        assert not distributed.recorded
        with pytest.raises(StoreUnavailableError):
            await plane.acceptance.abort('a/other', 'secret-token')
        store.outage = False
        for _ in range(2):
            done = await plane.acceptance.abort('a/up', 'secret-token')
            assert done.recorded
            assert not done.findings
        move = (await _head(store)).moves['a/up']
        assert (move.state, move.reason) == ('reverted', 'aborted')


async def test_unreferenced_fragments_are_removed_after_their_retention(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    async with _control_plane(store).running() as plane:
        for number, text in enumerate(
            (_text('a'), _text('a', _move('a', 'up')), _text('b'))
        ):
            await plane.acceptance.submit(_submission(text, number))
        await store.txn([], [Put(_keys.FRAGMENTS_PREFIX + 'left-over', b'')])
        plane.acceptance._listing_due = True
        await trio.sleep(FRAGMENT_RETENTION_S - 1)
        assert len(store.keys) == 5
        await trio.sleep(200)
        head = await _head(store)
        named = {ref.fragment for ref in head.departments.values()}
        assert set(store.keys) == {
            _keys.HEAD,
            *(_keys.FRAGMENTS_PREFIX + item for item in named),
        }
        assert len(named) == 2


_DEPARTMENTS = ('a', 'b', 'c')


@st.composite
def _operators(draw: st.DrawFn) -> list[tuple[str, str, int, int]]:
    """Return (department, text, index of a daemon, attempts) per operator."""
    result = []
    for _ in range(draw(st.integers(1, 4))):
        department = draw(st.sampled_from(_DEPARTMENTS))
        depends_on = draw(st.sampled_from(('', 'a-main', 'b-main', 'x')))
        extra = ''
        if draw(st.booleans()):
            number = draw(st.integers(0, 2))
            # The rule `race` replaces "soon" by a deadline that a paused
            # submission can miss.
            deadline = draw(st.sampled_from(('within: 60s', 'soon')))
            extra = _move(department, f'm{number}', deadline)
        text = draw(
            st.sampled_from(
                (
                    _text(department, extra, depends_on),
                    f'department: {department}\n',
                )
            )
        )
        result.append(
            (
                department,
                text,
                draw(st.integers(0, 2)),
                draw(st.integers(1, 3)),
            )
        )
    return result


def _check_successive_heads(before: Snapshot, after: Snapshot) -> None:
    ended = set()
    for move_id, move in before.head.moves.items():
        later = after.head.moves[move_id]
        assert later == move or not move.state.final
        assert later.spec == move.spec
        if later.state == 'done' != move.state:
            ended.add(later.spec.service)
    for name in before.services.keys() & after.services.keys():
        used = after.split(name, after.head.moves).old_version
        if name not in ended:
            assert used == before.split(name, before.head.moves).old_version


class AcceptanceMachine(RuleBasedStateMachine):
    """Concurrent operators that use three daemons on one store."""

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore()
        self.count = 0
        self.time = 0.0
        self.submissions: dict[str, Submission] = {}
        self.accepted: dict[str, int] = {}
        self.not_accepted: set[str] = set()

    def _run(self, race: Any, *args: Any) -> None:
        async def start() -> None:
            # The store is used in several runs, so the clock of each run
            # starts after the last time of the one before.
            await trio.sleep(self.time)
            planes = [_control_plane(self.store, seed) for seed in range(3)]
            async with (
                planes[0].running(),
                planes[1].running(),
                planes[2].running(),
            ):
                await race(planes, *args)
            self.time = trio.current_time() + 1

        trio.run(start, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _control(
        self, plane: ControlPlane, changes: list[tuple[str, int]]
    ) -> None:
        """Apply transitions of a controller, in any order."""
        for kind, choice in changes:

            def transition(
                head: _model.Head, kind: str = kind, choice: int = choice
            ) -> _model.Head | None:
                if not head.moves:
                    return None
                moves = sorted(head.moves)
                move_id = moves[choice % len(moves)]
                if kind == 'revert':
                    return _accept.revert_moves(head, {move_id: 'bad'}, _NOW)
                if kind == 'advance':
                    stage = head.moves[move_id].stage + 1
                    return _accept.advance_stage(
                        head, move_id, stage, stage / 4, _NOW
                    )
                return _accept.start_soak(
                    head, move_id, _NOW
                ) or _accept.finish_move(head, move_id, _NOW)

            with contextlib.suppress(StoreError):
                await plane.acceptance.apply(transition)

    async def _operate(
        self,
        planes: list[ControlPlane],
        first: int,
        tries: int,
        submission_id: str,
    ) -> None:
        """Submit with one id until there is a result or no attempt is left."""
        outcome_unknown = False
        for attempt in range(tries):
            plane = planes[(first + attempt) % len(planes)]
            result = await plane.acceptance.submit(
                self.submissions[submission_id]
            )
            if result.status is Status.ACCEPTED:
                known = self.accepted.setdefault(submission_id, result.version)
                assert known == result.version
                return
            outcome_unknown = (
                outcome_unknown or result.status is Status.UNKNOWN
            )
            if result.status is Status.REFUSED:
                break
        if not outcome_unknown:
            self.not_accepted.add(submission_id)

    @rule(
        operators=_operators(),
        faults=st.lists(st.sampled_from([None, *Fault]), max_size=12),
        reads=st.lists(
            st.sampled_from(
                [None, None, Fault.UNAVAILABLE, Fault.INVALID_RESPONSE]
            ),
            max_size=6,
        ),
        pauses=st.lists(st.sampled_from([0.0, 0.01, 0.3, 4.0]), max_size=8),
        late_s=st.sampled_from([0.01, 0.5, 12.0]),
        changes=st.lists(
            st.tuples(
                st.sampled_from(['advance', 'advance', 'end', 'revert']),
                st.integers(0, 3),
            ),
            max_size=8,
        ),
    )
    def race(
        self,
        operators: list[tuple[str, str, int, int]],
        faults: list[Any],
        reads: list[Any],
        pauses: list[float],
        late_s: float,
        changes: list[tuple[str, int]],
    ) -> None:
        """Submit texts while a controller changes moves."""
        waits = list(pauses)

        async def pause(operation: str) -> None:
            if waits:
                await trio.sleep(waits.pop())

        async def start(planes: list[ControlPlane]) -> None:
            self.store.clear_faults()
            self.store.inject('txn', *faults)
            self.store.inject('get', *reads)
            self.store.late_s = late_s
            self.store.before = pause
            deadline = _deadline(trio.current_time() + 18)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._control, planes[1], changes)
                for department, text, first, tries in operators:
                    self.count += 1
                    submission_id = f'submission-{self.count}'
                    self.submissions[submission_id] = Submission(
                        submission_id,
                        f'token-of-{department}',
                        text.replace('soon', deadline),
                    )
                    nursery.start_soon(
                        self._operate, planes, first, tries, submission_id
                    )

        self._run(start)

    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        """Submit again with an id that was used before."""
        if not self.submissions:
            return
        submission_id = data.draw(st.sampled_from(sorted(self.submissions)))

        async def start(planes: list[ControlPlane]) -> None:
            result = await planes[0].acceptance.submit(
                self.submissions[submission_id]
            )
            if submission_id in self.accepted:
                assert result.status is Status.ACCEPTED
                assert result.version == self.accepted[submission_id]
            elif result.status is Status.ACCEPTED:
                # A text that was rejected earlier may be valid now.
                self.not_accepted.discard(submission_id)
                self.accepted[submission_id] = result.version

        self.store.clear_faults()
        self.store.before = None
        self._run(start)

    @invariant()
    def heads_agree_with_all_results(self) -> None:
        """Compare every head that was written with the results."""
        heads = [
            _model.decode_head(item.value)
            for item in self.store.history
            if item.key == _keys.HEAD and item.value is not None
        ]
        versions = [head.version for head in heads]
        assert versions == list(range(1, len(heads) + 1))
        produced: dict[str, int] = {}
        for head in heads:
            for key, version in head.submissions.items():
                submission_id = key.partition('~')[0]
                assert produced.setdefault(submission_id, version) == version
                assert version <= head.version
        for submission_id, version in self.accepted.items():
            for head in heads[version - 1 :]:
                found = _accept.find_submission(head, submission_id)
                assert found is not None
                assert found[0] == version
        assert not self.not_accepted & produced.keys()

    @invariant()
    def heads_are_valid_and_moves_end_once(self) -> None:
        """Build the snapshot of every head that was written."""
        fragments = {}
        before: Snapshot | None = None
        for item in self.store.history:
            if item.value is None:
                continue
            if item.key != _keys.HEAD:
                digest = item.key.removeprefix(_keys.FRAGMENTS_PREFIX)
                fragments[digest] = _model.decode_fragment(item.value)
                continue
            head = _model.decode_head(item.value)
            snapshot = Snapshot.build(
                head,
                [fragments[ref.fragment] for ref in head.departments.values()],
            )
            if before is not None:
                _check_successive_heads(before, snapshot)
            before = snapshot


AcceptanceMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=8, deadline=None, derandomize=True
)
TestAcceptance = AcceptanceMachine.TestCase
