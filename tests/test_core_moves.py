"""Tests of the stages of a move."""

from __future__ import annotations

import msgspec
import pytest

from gypsumhall.core import _moves
from gypsumhall.core._evidence import EvidenceTest
from gypsumhall.core._model import Move
from gypsumhall.core._model import MoveState
from gypsumhall.core._moves import Step
from gypsumhall.testing.builders import build_counts
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
