"""Sender: chooses a runner for each request and settles its outcome."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import math
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerUnreachableError
from gypsumhall.core import _ownership
from gypsumhall.core import _routing
from gypsumhall.core._limits import RetryBudget
from gypsumhall.net._messages import CallRefused
from gypsumhall.net._messages import Outcome
from gypsumhall.services import _attempts
from gypsumhall.services import _calls

if TYPE_CHECKING:
    from random import Random

    from gypsumhall.core._member import Member
    from gypsumhall.core._snapshot import Split
    from gypsumhall.net._messages import CallStart
    from gypsumhall.net._messages import Load
    from gypsumhall.net._protocol import PeerNetwork
    from gypsumhall.services import _protocols

_MAX_ATTEMPTS = 4
# Attempts that stale routing data may cost one request in addition.
_MAX_FREE_RETRIES = 16
# Time in seconds for which a request waits for an endpoint after all have
# failed: a killed process is replaced or declared dead within it.
_WAIT_S = 3.0
_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5
# Part of the time left for the first attempt of an idempotent request during
# a move, so that another endpoint can still respond when a version hangs.
# Both versions get the same part, or the evidence would be biased.
_FIRST_SHARE = 0.5
# Refusals for stale routing data cost the fleet no work, so their retries
# do not count against the budget.
_FREE_RETRIES = frozenset(
    [
        'draining',
        'no-backend',
        'peer-unreachable',
        'restarted',
        'starting',
        'version-mismatch',
    ]
)
# Certain refusals of one attempt by the owner of a key.
_ATTEMPT_ONLY = frozenset(['buffer-full', 'refused'])
# Refusals of a keyed request before anything was sent or claimed.
_OWNER_ONLY = frozenset(['key-owner-unreachable', 'not-owner'])
# Refusals that every other endpoint would repeat.
_FINAL = frozenset(['bad-request', 'request-too-large'])
# Refusals that show a faulty endpoint, and those that show nothing.
_FAULTS = frozenset(
    ['backend-reset', 'backend-unreachable', 'bad-response', 'peer-lost']
)
_RETRIED_STATUS = (502, 503, 504)
_SEVERITY = {Outcome.NOT_RUN: 0, Outcome.UNKNOWN: 1, Outcome.RUN: 2}

ExecuteKeyed = Callable[
    ['_calls.Request', '_calls.ResponseSink'], Awaitable[None]
]


@dataclass(slots=True, frozen=True)
class _Choice:
    member: Member
    split: Split
    version: str
    # Whether the call was assigned to the version at random, so that it is
    # evidence about the move.
    evidence: bool

    @property
    def is_new(self) -> bool:
        return self.version == self.split.new_version


@dataclass(slots=True)
class _Progress:
    request: _calls.Request
    sink: _calls.ResponseSink
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    # Members that certainly did not run the request and would refuse again.
    refused_by: set[str] = field(default_factory=set)
    # The worst that an attempt can have done; the refusal of a later
    # attempt must not say less.
    outcome: Outcome = Outcome.NOT_RUN
    last: CallRefused | None = None
    # Response with a failure status, in case that no retry does better.
    fallback: _calls.Recorder | None = None
    retry_granted: bool = False
    free_retries: int = 0
    backoff_s: float = _FIRST_BACKOFF_S
    give_up_at: float = math.inf

    def note(self, member_id: str, failure: CallRefused) -> None:
        self.last = failure
        if failure.outcome == Outcome.NOT_RUN:
            self.refused_by.add(member_id)
        if _SEVERITY[failure.outcome] > _SEVERITY[self.outcome]:
            self.outcome = failure.outcome


class Sender:
    """Sends requests to runners.

    Parameters
    ----------
    peers : PeerNetwork
        Streams to other daemons.
    membership : Membership
        Member table.
    distribution : Distribution
        Installed configuration and reverts.
    events : Events
        Event log, for its clock.
    metrics : Metrics
        Metric registry.
    rng : Random
        Source of randomness.
    execute : callable
        Runs a call on this VM.
    """

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        membership: _protocols.Membership,
        distribution: _protocols.Distribution,
        events: _protocols.Events,
        metrics: _protocols.Metrics,
        rng: Random,
        execute: _attempts.Execute,
    ) -> None:
        self._membership = membership
        self._distribution = distribution
        self._rng = rng
        self.execute_keyed: ExecuteKeyed | None = None
        self._attempts = _attempts.Attempts(
            peers, membership.me, events, rng, execute
        )
        self._me = membership.me.id
        self._router = _routing.Router(membership.me.zone, rng, self._me)
        self._budget = RetryBudget()
        self._results = metrics.counter(
            'gypsumhall_sender_attempts_total',
            'Attempts to run a request, by result.',
        )

    async def send(
        self,
        request: _calls.Request,
        sink: _calls.ResponseSink,
        *,
        unkeyed: bool = False,
    ) -> None:
        """Run a request and pass its response to a sink.

        Parameters
        ----------
        request : Request
            The request.
        sink : ResponseSink
            Receives the response.
        unkeyed : bool
            Whether the key has been dealt with by its owner.

        Raises
        ------
        CallRefusedError
            When there is no response.
        BrokenResponseError
            When the response broke off after its head was passed on.
        """
        if request.key and not request.idempotent and not unkeyed:
            await self._send_to_owner(request, sink)
            return
        await self._send(request, sink)

    async def _send_to_owner(
        self, request: _calls.Request, sink: _calls.ResponseSink
    ) -> None:
        """Send a request to the owner of its key.

        The owner's key ledger makes repetition safe. A refusal by its
        execution ledger settles only one attempt and says nothing about
        earlier requests with the key.
        """
        attempts = 0
        backoff_s = _FIRST_BACKOFF_S
        while attempts < _MAX_ATTEMPTS:
            owner = self._owner(request)
            if owner.id == self._me:
                assert self.execute_keyed is not None
                await self.execute_keyed(request, sink)
                return
            refused = await self._attempt_at_owner(owner, request, sink)
            if refused is None:
                return
            left = request.deadline - trio.current_time()
            if refused.code in _OWNER_ONLY and left > backoff_s:
                # Another daemon will own the key, or this one comes back.
                await trio.sleep(backoff_s * (0.5 + self._rng.random()))
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
                continue
            attempts += 1
            # Every attempt that was lost has been settled, so that it
            # cannot run after a later one has been refused.
            if refused.code not in _ATTEMPT_ONLY:
                raise _calls.CallRefusedError(
                    refused.outcome, refused.code, refused.detail
                )
        raise _calls.CallRefusedError(
            Outcome.UNKNOWN, 'peer-lost', 'streams to the owner were lost'
        )

    def _owner(self, request: _calls.Request) -> Member:
        table = self._membership.table
        owner = _ownership.owner(
            request.service, request.key, table.endpoints(request.service)
        )
        if owner is None:
            # An earlier request with the key may have been run.
            raise _calls.CallRefusedError(
                Outcome.UNKNOWN,
                'no-key-owner',
                f'no endpoint of {request.service} to own the key',
            )
        return owner

    async def _attempt_at_owner(
        self,
        owner: Member,
        request: _calls.Request,
        sink: _calls.ResponseSink,
    ) -> CallRefused | None:
        call = self._attempts.build(request, owner, '', key=request.key)
        receiver = _attempts.Receiver(call.request_id, sink)
        try:
            await self._attempts.run(owner, call, request, receiver)
        except PeerUnreachableError as error:
            return CallRefused(
                call.request_id,
                Outcome.UNKNOWN,
                'key-owner-unreachable',
                f'owner {owner.id} of the key: {error}',
            )
        if not receiver.done:
            await self._attempts.settle(owner, call, request, receiver)
        return _failure(receiver, call.request_id, owner.id)

    async def _send(
        self, request: _calls.Request, sink: _calls.ResponseSink
    ) -> None:
        self._budget.call(trio.current_time())
        progress = _Progress(request, sink)
        while True:
            choice = self._choose(progress)
            if choice is None:
                if await self._wait_for_endpoint(progress):
                    continue
                break
            progress.attempts += 1
            failure = await self._attempt(choice, progress)
            if failure is None:
                return
            progress.note(choice.member.id, failure)
            if not self._may_retry(choice, progress, failure):
                break
        if progress.fallback is not None:
            response = progress.fallback.response
            if response is not None:
                await _calls.deliver(response, sink)
                return
        last = progress.last
        if last is None:
            raise _calls.not_run(
                'no-endpoint', f'no endpoint of {request.service} is ready'
            )
        raise _calls.CallRefusedError(progress.outcome, last.code, last.detail)

    async def _wait_for_endpoint(self, progress: _Progress) -> bool:
        """Wait until all endpoints may be tried again; False to give up.

        Right after several processes died or restarted, every endpoint in
        the table can fail at once although others appear soon.
        """
        last = progress.last
        if last is None or last.code not in _FREE_RETRIES:
            return False
        now = trio.current_time()
        progress.give_up_at = min(progress.give_up_at, now + _WAIT_S)
        give_up_at = min(progress.give_up_at, progress.request.deadline)
        if now + progress.backoff_s >= give_up_at:
            return False
        await trio.sleep(progress.backoff_s * (0.5 + self._rng.random()))
        progress.backoff_s = min(2 * progress.backoff_s, _MAX_BACKOFF_S)
        progress.tried.clear()
        progress.refused_by.clear()
        return True

    def _choose(self, progress: _Progress) -> _Choice | None:
        request = progress.request
        snapshot = self._distribution.snapshot
        if snapshot is None or snapshot.service(request.service) is None:
            return None
        split = snapshot.split(request.service, self._distribution.reverts)
        first = not progress.attempts
        version = split.old_version
        if first:
            version = _routing.choose_version(
                split,
                self._rng,
                idempotent=request.idempotent,
                keyed=bool(request.key),
            )
        now = trio.current_time()
        table = self._membership.table
        if self._router.revision(request.service) != table.revision:
            self._router.update(
                request.service,
                table.endpoints(request.service),
                table.revision,
                now,
            )
        versions = [version]
        if version != split.old_version:
            versions.append(split.old_version)
        elif split.new_version is not None and split.share >= 1.0:
            versions.append(split.new_version)
        for item in versions:
            member = self._router.choose(
                request.service, item, now, progress.tried
            )
            if member is not None and member.id not in progress.refused_by:
                comparable = split.stage > 0 or (
                    request.idempotent and not request.key
                )
                evidence = (
                    first and item == version and comparable
                ) and split.new_version is not None
                return _Choice(member, split, item, evidence)
        return None

    async def _attempt(
        self, choice: _Choice, progress: _Progress
    ) -> CallRefused | None:
        """Make an attempt; return why it failed, or None."""
        request = progress.request
        member = choice.member
        progress.tried.add(member.id)
        left = request.deadline - trio.current_time()
        if left <= 0:
            return CallRefused(
                '', Outcome.NOT_RUN, 'deadline', 'the deadline has passed'
            )
        divided = choice.evidence and request.idempotent
        call = self._attempts.build(
            request,
            member,
            choice.version,
            split=choice.split if choice.evidence else None,
            time_s=left * _FIRST_SHARE if divided else left,
        )
        receiver = _attempts.Receiver(
            call.request_id,
            progress.sink,
            hold=request.idempotent and choice.is_new,
            should_retry=(
                lambda status: self._withhold(choice, progress, status)
            )
            if request.idempotent
            else None,
        )
        failure: CallRefused | None = None
        failed: bool | None = None
        self._router.begin(member.id)
        try:
            await self._attempts.run(member, call, request, receiver)
            if not receiver.done and not request.idempotent:
                await self._settle(choice, call, request, receiver)
            failure = _failure(receiver, call.request_id, member.id)
            failed = receiver.status >= 500
        except PeerUnreachableError as error:
            failed = True
            failure = CallRefused(
                call.request_id,
                Outcome.NOT_RUN,
                'peer-unreachable',
                str(error),
            )
        except _calls.BrokenResponseError:
            failed = True
            raise
        finally:
            if failure is not None and failure.code != 'withheld':
                failed = True if failure.code in _FAULTS else failed or None
            now = trio.current_time()
            self._router.end(member.id, now, failed=failed)
            self._report(member.id, receiver.load, now)
        self._results.add(1.0, result=failure.code if failure else 'response')
        if receiver.withheld and receiver.complete:
            progress.fallback = receiver.recorder
        return failure

    async def _settle(
        self,
        choice: _Choice,
        call: CallStart,
        request: _calls.Request,
        receiver: _attempts.Receiver,
    ) -> None:
        if choice.member.id != self._me:
            await self._attempts.settle(choice.member, call, request, receiver)

    def _report(self, member_id: str, load: Load | None, now: float) -> None:
        if load is not None:
            self._router.report(
                member_id,
                now,
                load.in_flight + load.queued,
                full=load.draining or load.queued >= 2 * load.slots,
            )

    def _withhold(
        self, choice: _Choice, progress: _Progress, status: int
    ) -> bool:
        """Decide by its status whether a response is replaced by a retry."""
        fails = status >= 500 if choice.is_new else status in _RETRIED_STATUS
        if not fails or not self._retry_is_possible(progress):
            return False
        progress.retry_granted = choice.is_new or self._budget.retry(
            trio.current_time()
        )
        return progress.retry_granted

    def _retry_is_possible(self, progress: _Progress) -> bool:
        return (
            progress.attempts - progress.free_retries < _MAX_ATTEMPTS
            and trio.current_time() < progress.request.deadline
        )

    def _may_retry(
        self, choice: _Choice, progress: _Progress, failure: CallRefused
    ) -> bool:
        if progress.retry_granted:
            progress.retry_granted = False
            return True
        if not self._retry_is_possible(progress) or failure.code in _FINAL:
            return False
        if failure.outcome == Outcome.NOT_RUN:
            if (
                failure.code in _FREE_RETRIES
                and progress.free_retries < _MAX_FREE_RETRIES
            ):
                progress.free_retries += 1
                return True
        elif not progress.request.idempotent:
            return False
        # A call that failed on the new version of a move has to succeed on
        # the old one whatever the budget; the move's share bounds these.
        return choice.is_new or self._budget.retry(trio.current_time())


def _failure(
    receiver: _attempts.Receiver, request_id: str, member_id: str
) -> CallRefused | None:
    if receiver.refused is not None:
        return receiver.refused
    if receiver.withheld:
        return CallRefused(
            request_id,
            Outcome.RUN,
            'withheld',
            f'{member_id} responded with status {receiver.status}',
        )
    if receiver.complete:
        return None
    if receiver.passed:
        raise _calls.BrokenResponseError(
            f'the response of {member_id} broke off'
        )
    if receiver.started:
        return CallRefused(
            request_id,
            Outcome.RUN,
            'backend-reset',
            f'the response of {member_id} broke off',
        )
    if receiver.timed_out:
        return CallRefused(
            request_id,
            Outcome.UNKNOWN,
            'deadline',
            f'{member_id} did not respond in time',
        )
    return CallRefused(
        request_id,
        Outcome.UNKNOWN,
        'peer-lost',
        f'the stream to {member_id} was lost',
    )
