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

# Part of the time to the deadline that is kept free for held stages.
RESERVE = 0.1

# With fewer calls than this to the new version since the move began, the
# sequential test cannot decide yet. A stage is then held when the faults of
# the new version are this improbable at the old version's rate of faults. A
# hold after any single fault made 4 of 1,000 good moves miss their deadline.
LOW_TRAFFIC_CALLS = 50
LOW_TRAFFIC_LEVEL = 1e-3

# Calls to the new version, since the move began, that a stage waits for. A
# version that fails all calls went from a stage of 4 s to 20 % of them while
# the controller knew of one call or none. Two failures show as a doubt.
MIN_NEW_CALLS = 3

# Time in seconds that a stage which waits leaves to each one after it: a
# little over the time in which evidence reaches the controller.
SHORTEST_STAGE_S = 3.0
EVIDENCE_LAG_S = 2.5

# Calls that a stage has to expect in the time it may wait. At low traffic
# the wait would only shorten the later stages, which have more calls.
MIN_EXPECTED_CALLS = 0.3

# A first stage without any call to compare, as all requests of the service
# are non-idempotent or keyed, ends after this time in seconds.
NO_CALLS_TIMEOUT_S = 3.0

# Largest factors by which a stage raises the share, with and without enough
# calls. The first one has precedence, so that the last share is reached.
LARGEST_GROWTH = 5.0
FEW_CALLS_GROWTH = 2.0

# A soak that starts late is shortened to the time left, down to this part.
MIN_SOAK_FRACTION = 0.5

# The last compare-and-swap has to be in effect everywhere by the deadline.
FINISH_MARGIN_S = 3.0

DEADLINE_REASON = 'deadline'
SUSPICION_REASON = 'suspicious'
FEW_CALLS_REASON = 'too-few-calls'
FEW_FAILURES_REASON = 'failure-of-few-calls'
LOW_TRAFFIC_REASON = 'low-traffic-with-faults'

_DOUBTS = (SUSPICION_REASON, LOW_TRAFFIC_REASON)


class Step(enum.StrEnum):
    """What happens to a move next."""

    HOLD = 'hold'
    ADVANCE = 'advance'
    SOAK = 'soak'
    FINISH = 'finish'
    REVERT = 'revert'


@dataclass(slots=True, frozen=True)
class Decision:
    """A step with what it needs.

    Parameters
    ----------
    step : Step
        What to do.
    stage : int
        Stage after the step.
    share : float
        Share of the calls for the new version after the step.
    reason : str
        Why the move is held or reverted.
    """

    step: Step
    stage: int
    share: float
    reason: str = ''


def usable_time(spec: MoveSpec, started: float) -> float:
    """Return the time that a move's stages may take in total, in seconds.

    Parameters
    ----------
    spec : MoveSpec
        The move.
    started : float
        Unix time in seconds at which the move was accepted.
    """
    return (spec.deadline - started) * (1 - RESERVE) - spec.soak_s


def stage_end(move: Move) -> float:
    """Return the Unix time in seconds at which the stage should end.

    The time that is left is divided over the stages that are left, so a
    stage that was held shortens those after it.
    """
    plan_end = move.started + usable_time(move.spec, move.started)
    left = len(STAGE_SHARES) - move.stage
    return move.stage_started + max(0.0, plan_end - move.stage_started) / left


def _longest_doubt(move: Move) -> float:
    """Return when a stage has lasted twice its planned time."""
    return 2 * stage_end(move) - move.stage_started


def _is_untried(move: Move, test: EvidenceTest, now: float) -> bool:
    """Whether the first stage has no calls that could be compared."""
    waited = now - move.stage_started >= NO_CALLS_TIMEOUT_S
    return move.stage == 0 and waited and not test.calls


def _waits_for_calls(move: Move, test: EvidenceTest, now: float) -> bool:
    """Whether enough calls will come without delaying the move."""
    if test.new_calls >= MIN_NEW_CALLS:
        return False
    plan_end = move.started + usable_time(move.spec, move.started)
    later = len(STAGE_SHARES) - 1 - move.stage
    latest = min(plan_end - later * SHORTEST_STAGE_S, _longest_doubt(move))
    if now >= latest:
        return False
    seen_s = max(now - EVIDENCE_LAG_S - move.stage_started, 0.1)
    rate = test.stage_calls / seen_s
    return rate * move.share * (latest - now) >= MIN_EXPECTED_CALLS


def _following_share(move: Move, test: EvidenceTest) -> float:
    """Return the share of the next stage, at most the planned one."""
    stage = move.stage + 1
    planned = STAGE_SHARES[stage]
    if test.new_calls >= MIN_NEW_CALLS:
        return min(planned, round(LARGEST_GROWTH * move.share, 6))
    later = len(STAGE_SHARES) - 1 - stage
    least = STAGE_SHARES[-1] / LARGEST_GROWTH**later
    return min(planned, round(max(least, FEW_CALLS_GROWTH * move.share), 6))


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
        Progress as the head records it.
    test : EvidenceTest
        Evidence of all zones.
    now : float
        Unix time in seconds.
    endpoints_ready : bool
        Whether the new version has a ready endpoint.
    evidence_fresh : bool
        Whether the judge of at least one zone reported recently.
    """
    if move.state.final:
        return _hold(move, 'ended')
    if test.verdict is not None:
        return _revert(move, str(test.verdict))
    if move.state is MoveState.SOAKING:
        return _decide_soaking(move, test, now, evidence_fresh)
    if now >= move.spec.deadline - MIN_SOAK_FRACTION * move.spec.soak_s:
        return _revert(move, DEADLINE_REASON)
    few = test.new_calls < LOW_TRAFFIC_CALLS
    if few and test.fails_small_sample_test():
        return _revert(move, FEW_FAILURES_REASON)
    if now < stage_end(move) and not _is_untried(move, test, now):
        return _hold(move, 'planned')
    reason = _reason_to_hold(test, endpoints_ready, evidence_fresh)
    if reason in _DOUBTS and now >= _longest_doubt(move):
        return _revert(move, reason)
    if reason:
        return _hold(move, reason)
    if _waits_for_calls(move, test, now):
        return _hold(move, FEW_CALLS_REASON)
    if move.stage + 1 < len(STAGE_SHARES):
        stage = move.stage + 1
        return Decision(Step.ADVANCE, stage, _following_share(move, test))
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
    reason = _reason_to_hold(test, True, evidence_fresh)
    if reason:
        return _hold(move, reason)
    return Decision(Step.FINISH, move.stage, 1.0)


def _reason_to_hold(
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
