"""State of a request while the sender makes attempts to run it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import math
from typing import TYPE_CHECKING

import trio

from gypsumhall.net._messages import Outcome
from gypsumhall.services import _calls

if TYPE_CHECKING:
    from gypsumhall.core._member import Member
    from gypsumhall.core._snapshot import Split
    from gypsumhall.net._messages import CallRefused
    from gypsumhall.net._messages import CallStart
    from gypsumhall.services import _attempts
    from gypsumhall.services import _hedging

    LostAttempt = tuple['Choice', CallStart, _attempts.Receiver]

# First delay in seconds before another attempt when no endpoint is ready.
FIRST_BACKOFF_S = 0.05
# Rejections that the same endpoint may not repeat.
_REPEATABLE_REJECTION_CODES = frozenset(['busy', 'withdrawn'])
# Rejections after which another endpoint may have capacity.
NO_CAPACITY_CODES = frozenset(['busy', 'overloaded'])
# Failed attempts that the log line of one request lists.
_MAX_TRAIL_ENTRIES = 8
# Order of the outcomes; the worst one of all attempts is reported.
SEVERITY = {Outcome.NOT_RUN: 0, Outcome.UNKNOWN: 1, Outcome.RUN: 2}


@dataclass(slots=True, frozen=True)
class Choice:
    """Endpoint and version for an attempt."""

    member: Member
    split: Split
    version: str
    # Whether the call was assigned to the version at random, so that it is
    # evidence about the move.
    is_evidence: bool
    # Whether another attempt at the request is still running. A backup only
    # gets a free slot, as queued calls take precedence over repeated ones.
    is_backup: bool = False
    # Whether it is a backup that the hedge policy allowed.
    is_hedge: bool = False

    @property
    def is_new(self) -> bool:
        """Whether it is the version that a move sends calls to."""
        return self.version == self.split.new_version


class Chain:
    """Consecutive attempts beside those at a silent daemon."""

    __slots__ = ('ended', 'error', 'scope')

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.error: Exception | None = None


class Hedge:
    """The second attempt at a slow request, and the tries to make it."""

    __slots__ = ('attempt', 'ended', 'error', 'scope', 'started')

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.started = False
        self.ended = trio.Event()
        self.attempt: _hedging.HedgedAttempt | None = None
        self.error: Exception | None = None


class QueuedAttempt:
    """An attempt that may wait in the queue of an endpoint."""

    __slots__ = ('choice', 'progress', 'receiver', 'request_id')

    def __init__(
        self,
        choice: Choice,
        progress: Progress,
        receiver: _attempts.Receiver,
        request_id: str,
    ) -> None:
        self.choice = choice
        self.progress = progress
        self.receiver = receiver
        self.request_id = request_id


@dataclass(slots=True)
class Progress:
    """Attempts at a request so far, and what they used up."""

    request: _calls.Request
    sink: _calls.ResponseSink
    hedged_request: _hedging.HedgedRequest
    chains: list[Chain] = field(default_factory=list)
    attempts: int = 0
    tried_members: set[str] = field(default_factory=set)
    # Members that certainly did not run the request and would reject it again.
    rejected_by: set[str] = field(default_factory=set)
    # Worst outcome of the attempts so far. The rejection of a later attempt
    # must not report a better one.
    outcome: Outcome = Outcome.NOT_RUN
    last_failure: CallRefused | None = None
    # Response with a failure status, for the case that no retry succeeds.
    fallback: _calls.Recorder | None = None
    retry_granted: bool = False
    free_retries: int = 0
    # Tokens of the tenant's quota that no attempt uses. One is taken before
    # the request is sent here.
    tokens: int = 1
    # Whether a backend server has received a part of the request.
    reached_backend: bool = False
    # Version that the request was assigned to, and whether it failed there.
    version: str | None = None
    failed: bool = False
    # Endpoints that rejected the request for lack of a free slot or capacity.
    no_capacity_rejections: int = 0
    # Lost attempts at an idempotent request, which may have run, by id.
    lost_attempts: dict[str, LostAttempt] = field(default_factory=dict)
    trail: list[str] = field(default_factory=list)
    retry_after_s: float = math.inf
    backoff_s: float = FIRST_BACKOFF_S
    endpoint_wait_until: float = math.inf
    # Whether the withdrawal of an attempt has been requested.
    withdrawal_requested: bool = False
    # Whether a hedge has been made; later attempts get none.
    hedged: bool = False

    def record_failure(
        self, member_id: str, failure: CallRefused, started: float
    ) -> None:
        """Record the failure of an attempt that started at a time in s."""
        # The end of an attempt that may have run takes precedence.
        if failure.code != _calls.KEY_REMOVED or self.last_failure is None:
            self.last_failure = failure
        if len(self.trail) < _MAX_TRAIL_ENTRIES:
            elapsed_ms = (trio.current_time() - started) * 1000
            limit_ms = (self.request.deadline - started) * 1000
            self.trail.append(
                f'{_describe(member_id, failure)} '
                f'after {elapsed_ms:.0f} of {limit_ms:.0f} ms'
            )
        if failure.code in NO_CAPACITY_CODES and failure.retry_after_ms:
            retry_after_s = failure.retry_after_ms / 1000
            self.retry_after_s = min(self.retry_after_s, retry_after_s)
        if (
            failure.outcome == Outcome.NOT_RUN
            and failure.code not in _REPEATABLE_REJECTION_CODES
        ):
            self.rejected_by.add(member_id)
        if failure.request_id in self.lost_attempts:
            # Its outcome is asked for if no attempt responds.
            return
        if SEVERITY[failure.outcome] > SEVERITY[self.outcome]:
            self.outcome = failure.outcome

    def replace_failure(self, failure: CallRefused) -> None:
        """Replace the last failure if it is that of the same attempt."""
        if (
            self.last_failure is not None
            and self.last_failure.request_id == failure.request_id
        ):
            self.last_failure = failure


def _describe(member_id: str, failure: CallRefused) -> str:
    load = failure.load
    if load is None:
        return f'{member_id} {failure.code}'
    return (
        f'{member_id} {failure.code} {load.in_flight}/{load.slots} '
        f'+{load.queued} wait {load.wait_ms:.0f} ms'
    )
