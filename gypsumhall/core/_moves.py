"""Stages of a move and the decision to advance, finish or revert it."""

from __future__ import annotations

from dataclasses import dataclass
import enum
from typing import TYPE_CHECKING

from gypsumhall.core._model import MoveState

if TYPE_CHECKING:
    from gypsumhall.core._evidence import EvidenceTest
    from gypsumhall.core._model import Move
    from gypsumhall.core._model import MoveSpec

# The last stage keeps a tenth of the calls on the old version until the soak
# has ended, since the test compares versions within the same interval.
STAGE_SHARES = (0.01, 0.05, 0.2, 0.5, 0.9)

# Fraction of the time to the deadline that is reserved for stages that are
# held beyond their planned end.
RESERVE = 0.1

# With fewer calls than this to the new version since the move began, the
# sequential test has too little data. A stage is then held if the number of
# faults of the new version has a p-value below this level at the old
# version's fault rate. Holding a stage after any single fault made 4 of 1,000
# moves to a good version miss their deadline.
LOW_TRAFFIC_CALLS = 50
LOW_TRAFFIC_LEVEL = 1e-3

# Calls to the new version, since the move began, that a stage waits for.
# Without the wait, a version that failed all calls passed a stage of 4 s and
# got 20 % of the calls while the controller had evidence of at most one. Two
# failures are enough to hold a stage.
MIN_NEW_CALLS = 3

# Minimum time in seconds that a stage which waits for calls leaves to each
# later stage: slightly more than the delay, also in seconds, until evidence
# reaches the controller.
SHORTEST_STAGE_S = 3.0
EVIDENCE_LAG_S = 2.5

# A stage waits only if at least this many calls to the new version are
# expected in the time available. At low traffic the wait would only shorten
# the later stages, which get more calls.
MIN_EXPECTED_CALLS = 0.3

# Time in seconds after which a first stage without comparable calls ends. No
# calls can be compared if all requests of the service are non-idempotent or
# keyed.
NO_CALLS_TIMEOUT_S = 3.0

# Largest factors by which a stage raises the share, with at least
# `MIN_NEW_CALLS` and with fewer. With fewer, the share is still raised as far
# as necessary for the later stages to reach the last share by `LARGEST_GROWTH`
# each.
LARGEST_GROWTH = 5.0
FEW_CALLS_GROWTH = 2.0

# A soak that starts late is shortened to the time left, but not below this
# fraction of its length.
MIN_SOAK_FRACTION = 0.5

# A soak is planned to end this time in seconds before the deadline or earlier,
# so that the last compare-and-swap is in effect on all daemons by then.
FINISH_MARGIN_S = 3.0

DEADLINE_REASON = 'deadline'
SUSPICION_REASON = 'suspicious'
FEW_CALLS_REASON = 'too-few-calls'
FEW_FAILURES_REASON = 'failure-of-few-calls'
LOW_TRAFFIC_REASON = 'low-traffic-with-faults'

_EVIDENCE_HOLDS = (SUSPICION_REASON, LOW_TRAFFIC_REASON)


class Step(enum.StrEnum):
    """Next action on a move."""

    HOLD = 'hold'
    ADVANCE = 'advance'
    SOAK = 'soak'
    FINISH = 'finish'
    REVERT = 'revert'


@dataclass(slots=True, frozen=True)
class Decision:
    """Next step of a move and its parameters.

    Parameters
    ----------
    step : Step
        The step.
    stage : int
        Stage after the step.
    share : float
        Share of the calls for the new version after the step.
    reason : str
        Reason code or verdict if the move is held or reverted.
    """

    step: Step
    stage: int
    share: float
    reason: str = ''


def usable_time(spec: MoveSpec, started: float) -> float:
    """Return the total time available to a move's stages, in seconds.

    Parameters
    ----------
    spec : MoveSpec
        The move.
    started : float
        Unix time in seconds at which the move was accepted.
    """
    return (spec.deadline - started) * (1 - RESERVE) - spec.soak_s


def stage_end(move: Move) -> float:
    """Return the planned end of the current stage, Unix time in seconds.

    The remaining time is divided evenly among the remaining stages, so a
    stage that was held shortens the later ones.
    """
    plan_end = move.started + usable_time(move.spec, move.started)
    stages_left = len(STAGE_SHARES) - move.stage
    return (
        move.stage_started
        + max(0.0, plan_end - move.stage_started) / stages_left
    )


def _hold_limit(move: Move) -> float:
    """Return the Unix time at which a stage took twice its planned time."""
    return 2 * stage_end(move) - move.stage_started


def _lacks_comparable_calls(
    move: Move, test: EvidenceTest, now: float
) -> bool:
    """Whether the first stage timed out without comparable calls."""
    timed_out = now - move.stage_started >= NO_CALLS_TIMEOUT_S
    return move.stage == 0 and timed_out and not test.calls


def _should_wait_for_calls(move: Move, test: EvidenceTest, now: float) -> bool:
    """Whether to wait for more calls; False if it would delay the move."""
    if test.new_calls >= MIN_NEW_CALLS:
        return False
    plan_end = move.started + usable_time(move.spec, move.started)
    later_stages = len(STAGE_SHARES) - 1 - move.stage
    latest = min(plan_end - later_stages * SHORTEST_STAGE_S, _hold_limit(move))
    if now >= latest:
        return False
    observed_s = max(now - EVIDENCE_LAG_S - move.stage_started, 0.1)
    rate = test.stage_calls / observed_s
    return rate * move.share * (latest - now) >= MIN_EXPECTED_CALLS


def _next_share(move: Move, test: EvidenceTest) -> float:
    """Return the share of the next stage; at most its planned share."""
    stage = move.stage + 1
    planned = STAGE_SHARES[stage]
    if test.new_calls >= MIN_NEW_CALLS:
        return min(planned, round(LARGEST_GROWTH * move.share, 6))
    later_stages = len(STAGE_SHARES) - 1 - stage
    min_share = STAGE_SHARES[-1] / LARGEST_GROWTH**later_stages
    return min(
        planned, round(max(min_share, FEW_CALLS_GROWTH * move.share), 6)
    )


def decide(
    move: Move,
    test: EvidenceTest,
    now: float,
    *,
    endpoints_ready: bool,
    evidence_fresh: bool,
) -> Decision:
    """Decide the next step of a move.

    Parameters
    ----------
    move : Move
        State of the move as recorded in the head.
    test : EvidenceTest
        Evidence of all zones.
    now : float
        Unix time in seconds.
    endpoints_ready : bool
        Whether the new version has a ready endpoint.
    evidence_fresh : bool
        Whether the judge of at least one zone has reported recently.
    """
    if move.state.final:
        return _hold(move, 'ended')
    if test.verdict is not None:
        return _revert(move, str(test.verdict))
    if move.state is MoveState.SOAKING:
        return _decide_soaking(move, test, now, evidence_fresh)
    if now >= move.spec.deadline - MIN_SOAK_FRACTION * move.spec.soak_s:
        return _revert(move, DEADLINE_REASON)
    low_traffic = test.new_calls < LOW_TRAFFIC_CALLS
    if low_traffic and test.fails_small_sample_test():
        return _revert(move, FEW_FAILURES_REASON)
    if now < stage_end(move) and not _lacks_comparable_calls(move, test, now):
        return _hold(move, 'planned')
    reason = _hold_reason(test, endpoints_ready, evidence_fresh)
    if reason in _EVIDENCE_HOLDS and now >= _hold_limit(move):
        return _revert(move, reason)
    if reason:
        return _hold(move, reason)
    if _should_wait_for_calls(move, test, now):
        return _hold(move, FEW_CALLS_REASON)
    if move.stage + 1 < len(STAGE_SHARES):
        stage = move.stage + 1
        return Decision(Step.ADVANCE, stage, _next_share(move, test))
    return Decision(Step.SOAK, move.stage, move.share)


def _decide_soaking(
    move: Move, test: EvidenceTest, now: float, evidence_fresh: bool
) -> Decision:
    if now >= move.spec.deadline:
        return _revert(move, DEADLINE_REASON)
    latest = move.spec.deadline - FINISH_MARGIN_S
    shortest = move.stage_started + MIN_SOAK_FRACTION * move.spec.soak_s
    end = max(shortest, min(move.stage_started + move.spec.soak_s, latest))
    if now < end:
        return _hold(move, 'soaking')
    reason = _hold_reason(test, True, evidence_fresh)
    if reason:
        return _hold(move, reason)
    return Decision(Step.FINISH, move.stage, 1.0)


def _hold_reason(
    test: EvidenceTest, endpoints_ready: bool, evidence_fresh: bool
) -> str:
    if not endpoints_ready:
        return 'no-ready-endpoint'
    if not evidence_fresh:
        return 'no-evidence'
    if test.suspicious:
        return SUSPICION_REASON
    if (
        test.new_calls < LOW_TRAFFIC_CALLS
        and test.fault_p_value() < LOW_TRAFFIC_LEVEL
    ):
        return LOW_TRAFFIC_REASON
    return ''


def _hold(move: Move, reason: str) -> Decision:
    return Decision(Step.HOLD, move.stage, move.share, reason)


def _revert(move: Move, reason: str) -> Decision:
    return Decision(Step.REVERT, move.stage, 0.0, reason)
