"""Tests of the stages of a move."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import msgspec
import pytest

from gypsumhall.core import _accept
from gypsumhall.core import _moves
from gypsumhall.core._evidence import EvidenceTest
from gypsumhall.core._judge import Judge
from gypsumhall.core._model import Head
from gypsumhall.core._model import Move
from gypsumhall.core._model import MoveState
from gypsumhall.core._moves import Step
from gypsumhall.core._reverts import RevertSet
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.net._messages import Evidence
from gypsumhall.net._messages import Revert
from gypsumhall.services._moves import apply_decision
from gypsumhall.testing.builders import build_counts
from gypsumhall.testing.builders import build_fragment
from gypsumhall.testing.builders import build_head
from gypsumhall.testing.builders import build_move

LAST = len(_moves.STAGE_SHARES) - 1


def _move(
    stage: int = 0,
    state: MoveState = MoveState.ACTIVE,
    stage_started: float = 0.0,
) -> Move:
    share = _moves.STAGE_SHARES[stage]
    return Move(build_move(), state, stage, share, 0.0, stage_started)


def _test(calls: int = 100, failures: int = 0) -> EvidenceTest:
    test = EvidenceTest('v2')
    test.observe(
        0,
        [
            build_counts('v1', 1000, 0, endpoint='o1'),
            build_counts('v2', calls, failures, endpoint='n1'),
        ],
    )
    return test


def _sick_vm(calls: int, failures: int) -> EvidenceTest:
    """Return a test in which one of two endpoints fails."""
    test = EvidenceTest('v2')
    test.observe(
        0,
        [
            build_counts('v1', 1000, 0, endpoint='o1'),
            build_counts('v2', calls - 1, failures, endpoint='n1'),
            build_counts('v2', 1, 0, endpoint='n2'),
        ],
    )
    return test


def _decide(
    move: Move,
    now: float,
    test: EvidenceTest | None = None,
    *,
    ready: bool = True,
    fresh: bool = True,
) -> _moves.Decision:
    return _moves.decide(
        move,
        test or _test(),
        now,
        endpoints_ready=ready,
        evidence_fresh=fresh,
    )


def test_a_good_version_finishes_before_its_deadline() -> None:
    move = _move()
    shares = [move.share]
    now = 0.0
    while not move.state.final:
        now += 0.5
        decision = _decide(move, now)
        if decision.step is Step.HOLD:
            continue
        state = {
            Step.ADVANCE: MoveState.ACTIVE,
            Step.SOAK: MoveState.SOAKING,
            Step.FINISH: MoveState.DONE,
        }[decision.step]
        shares.append(decision.share)
        move = msgspec.structs.replace(
            move,
            state=state,
            stage=decision.stage,
            share=decision.share,
            stage_started=now,
        )
    assert now <= move.spec.deadline
    assert shares == [0.01, 0.05, 0.2, 0.5, 0.9, 0.9, 1.0]


def test_a_held_stage_shortens_those_after_it() -> None:
    on_time = _moves.stage_end(_move(1, stage_started=178.0)) - 178.0
    late = _moves.stage_end(_move(1, stage_started=500.0)) - 500.0
    assert late < on_time
    assert 500.0 + late * (LAST) == pytest.approx(
        _moves.usable_time(build_move(), 0.0)
    )


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'ready': False}, (Step.HOLD, 'no-ready-endpoint')),
        ({'fresh': False}, (Step.HOLD, 'no-evidence')),
        (
            {'test': _sick_vm(calls=5, failures=2)},
            (Step.HOLD, 'low-traffic-with-faults'),
        ),
        ({'test': _test(calls=5, failures=1)}, (Step.ADVANCE, '')),
        ({'test': _sick_vm(calls=100, failures=3)}, (Step.ADVANCE, '')),
        ({'test': _test(calls=10, failures=0)}, (Step.ADVANCE, '')),
        ({'test': _test(calls=20, failures=1)}, (Step.ADVANCE, '')),
        ({'test': _test(calls=100, failures=20)}, (Step.HOLD, 'suspicious')),
    ],
)
def test_what_holds_a_stage_at_its_planned_end(
    changes: dict[str, object], expected: tuple[Step, str]
) -> None:
    decision = _decide(_move(), 179.0, **changes)
    assert (decision.step, decision.reason) == expected


def _few(old: int, new: int, stage: int = 0) -> EvidenceTest:
    test = EvidenceTest('v2')
    counts = [build_counts('v1', old, 0, endpoint='o1')]
    if new:
        counts.append(build_counts('v2', new, 0, endpoint='n1'))
    test.observe(stage, counts)
    return test


def test_a_first_stage_without_comparable_calls_ends_early() -> None:
    # It gives no evidence, and its time is missing in the stages after it.
    empty = EvidenceTest('v2')
    decision = _decide(_move(), _moves.NO_CALLS_TIMEOUT_S, empty)
    assert (decision.step, decision.share) == (Step.ADVANCE, 0.02)
    assert _decide(_move(), 2.5, empty).reason == 'planned'
    assert _decide(_move(), 4.0, empty, fresh=False).reason == 'no-evidence'
    assert _decide(_move(), 4.0, _few(1, 0)).reason == 'planned'


def test_a_stage_waits_for_calls_while_time_allows() -> None:
    # A version was moved to 20 % of the calls before one call was known.
    move = _move()
    end = _moves.stage_end(move)
    assert _decide(move, end, _few(5000, 2)).reason == 'too-few-calls'
    assert _decide(move, end, _few(5000, 3)).step is Step.ADVANCE
    # At low traffic the calls do not come; the share grows less.
    assert _decide(move, end, _few(5, 0)).share == 0.02
    last = _decide(move, 2 * end, _few(5000, 2))
    assert (last.step, last.share) == (Step.ADVANCE, 0.02)


def test_without_calls_the_last_share_is_reached_by_bounded_steps() -> None:
    # A move without calls has to end, and without a jump to all calls.
    shares = [_moves.STAGE_SHARES[0]]
    for stage in range(LAST):
        move = msgspec.structs.replace(_move(stage), share=shares[-1])
        decision = _decide(move, 980.0, EvidenceTest('v2'))
        shares.append(decision.share)
    assert shares[-1] == _moves.STAGE_SHARES[-1]
    for before, after in zip(shares, shares[1:], strict=False):
        assert before < after <= 5.0001 * before


def test_a_stage_that_stays_suspicious_is_reverted() -> None:
    decision = _decide(_move(), 400.0, _test(100, 20))
    assert (decision.step, decision.reason) == (Step.REVERT, 'suspicious')


def test_an_unfinished_move_is_reverted_at_the_deadline() -> None:
    decision = _decide(_move(), 996.0, ready=False)
    assert (decision.step, decision.reason) == (Step.REVERT, 'deadline')
    soaking = _move(LAST, MoveState.SOAKING, 990.0)
    assert _decide(soaking, 996.0).step is Step.HOLD
    assert _decide(soaking, 997.0).step is Step.FINISH
    assert _decide(soaking, 1000.0).reason == 'deadline'


def test_a_verdict_reverts_in_every_state() -> None:
    test = _test()
    while test.verdict is None:
        test.observe(
            0,
            [
                build_counts('v1', 1000, 0, endpoint='o1'),
                build_counts('v2', 10, 10, endpoint='n1'),
            ],
        )
    for state in (MoveState.ACTIVE, MoveState.SOAKING):
        assert _decide(_move(0, state), 1.0, test).step is Step.REVERT
    for state in (MoveState.DONE, MoveState.REVERTED):
        assert _decide(_move(0, state), 1.0, test).step is Step.HOLD


_DAEMONS = st.integers(0, 2)
_CONTROLLERS = st.integers(0, 1)


class MoveMachine(RuleBasedStateMachine):
    """Two controllers and three daemons with views of different ages.

    Guards against a stale controller that repeats or skips a stage, a final
    state that is left, and calls to a version that a daemon knows as bad.
    """

    def __init__(self) -> None:
        super().__init__()
        spec = build_move()
        self.id = spec.id
        self.fragment = build_fragment(moves=[spec])
        move = Move(spec, MoveState.ACTIVE, 0, 0.01, 0.0, 0.0)
        self.head = build_head([self.fragment], moves=[move])
        self.now = 0.0
        self.interval = 1
        self.judges = [Judge(self.id, 'v2') for _ in range(3)]
        self.controllers = [Judge(self.id, 'v2') for _ in range(2)]
        self.snapshots = [self.build(self.head)] * 3
        self.reverts = [RevertSet() for _ in range(3)]
        self.views = [self.head] * 2
        self.steps: list[tuple[Move, _moves.Decision, float] | None]
        self.steps = [None] * 2
        self.writes: list[tuple[Head, Head] | None] = [None] * 2
        self.reports: list[Evidence] = []

    def build(self, head: Head) -> Snapshot:
        return Snapshot.build(head, [self.fragment])

    def swap(self, known: Head, following: Head | None) -> None:
        if following is None or known is not self.head:
            return
        before, after = known.moves[self.id], following.moves[self.id]
        assert not before.state.final
        if after.state is MoveState.REVERTED:
            assert (after.share, after.stage) == (0.0, before.stage)
        else:
            assert after.share >= before.share
            assert after.stage - before.stage == (
                after.state is MoveState.ACTIVE
            )
        if after.state is MoveState.DONE:
            assert before.state is MoveState.SOAKING
            soaked = after.stage_started - before.stage_started
            assert soaked >= _moves.MIN_SOAK_FRACTION * before.spec.soak_s
        self.head = following

    @rule(seconds=st.sampled_from([0.5, 5.0, 60.0, 200.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.interval += 1

    @rule(
        calls=st.sampled_from([1, 20]),
        bad=st.booleans(),
        age=st.integers(0, 3),
    )
    def report(self, calls: int, bad: bool, age: int) -> None:
        stage = self.head.moves[self.id].stage
        counts = [
            build_counts('v1', 100, 0, endpoint='o1'),
            build_counts('v2', calls, calls * bad, endpoint='n1'),
        ]
        self.reports.append(
            Evidence(self.id, stage, self.interval - age, tuple(counts))
        )

    @rule(daemon=_DAEMONS, choice=st.integers(0, 1000))
    def deliver(self, daemon: int, choice: int) -> None:
        """Deliver any report, perhaps again, to a judge and a controller."""
        if self.reports:
            report = self.reports[choice % len(self.reports)]
            self.judges[daemon].add(report)
            self.controllers[daemon % 2].add(report)

    @rule(daemon=_DAEMONS)
    def close(self, daemon: int) -> None:
        verdict = self.judges[daemon].close(self.interval)
        if verdict is not None:
            self.condemn(daemon, str(verdict))

    def condemn(self, daemon: int, reason: str) -> None:
        self.reverts[daemon].add_local(
            Revert(self.id, reason, f'd{daemon}'), self.snapshots[daemon]
        )

    @rule(one=_DAEMONS, other=_DAEMONS)
    def gossip(self, one: int, other: int) -> None:
        self.reverts[other].merge(
            self.reverts[one].reverts.values(),
            self.snapshots[one].version,
            self.snapshots[other],
        )

    @rule(daemon=_DAEMONS)
    def install(self, daemon: int) -> None:
        self.snapshots[daemon] = self.build(self.head)
        self.reverts[daemon].prune(self.snapshots[daemon])

    @rule(one=_CONTROLLERS)
    def look(self, one: int) -> None:
        self.views[one] = self.head

    @rule(one=_CONTROLLERS)
    def decide(self, one: int) -> None:
        self.controllers[one].close(self.interval)
        move = self.views[one].moves[self.id]
        decision = _decide(move, self.now, self.controllers[one].test)
        if decision.step is Step.REVERT:
            self.condemn(one, decision.reason)
        elif decision.step is not Step.HOLD:
            self.steps[one] = (move, decision, self.now)

    @rule(one=_CONTROLLERS)
    def read_head(self, one: int) -> None:
        """Evaluate the transition of the last decision."""
        step = self.steps[one]
        if step is not None:
            move, decision, now = step
            following = apply_decision(self.head, self.id, move, decision, now)
            if following is not None:
                self.writes[one] = (self.head, following)

    @rule(one=_CONTROLLERS, answered=st.booleans())
    def write_head(self, one: int, answered: bool) -> None:
        write = self.writes[one]
        if write is not None:
            self.swap(*write)
            # Without an answer the same write and step come again.
            if answered:
                self.steps[one] = self.writes[one] = None

    @rule(one=_CONTROLLERS)
    def write_reverts(self, one: int) -> None:
        reverts = self.reverts[one].reverts
        if reverts:
            reasons = {name: item.reason for name, item in reverts.items()}
            self.swap(
                self.head,
                _accept.revert_moves(self.head, reasons, self.now),
            )

    @rule(daemon=_DAEMONS)
    def abort(self, daemon: int) -> None:
        self.condemn(daemon, 'aborted')
        self.swap(
            self.head,
            _accept.revert_moves(self.head, {self.id: 'aborted'}, self.now),
        )

    @invariant()
    def no_calls_to_a_reverted_version(self) -> None:
        for snapshot, reverts in zip(
            self.snapshots, self.reverts, strict=True
        ):
            split = snapshot.split('availability', reverts.reverts)
            move = snapshot.head.moves[self.id]
            if move.state is MoveState.DONE:
                assert split.old_version == 'v2'
            elif self.id in reverts.reverts or move.state.final:
                assert (split.old_version, split.share) == ('v1', 0.0)
                assert split.new_version is None


TestMoveMachine = MoveMachine.TestCase
TestMoveMachine.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=60, deadline=None
)
