"""Sender: chooses a runner for each request and settles its outcome."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import math
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerError
from gypsumhall._errors import PeerUnreachableError
from gypsumhall.core import _load_balancer
from gypsumhall.core import _ownership
from gypsumhall.core import _routing
from gypsumhall.core._limits import RetryBudget
from gypsumhall.core._member import MemberStatus
from gypsumhall.net._messages import CallRefused
from gypsumhall.net._messages import Outcome
from gypsumhall.net._messages import Ping
from gypsumhall.services import _attempts
from gypsumhall.services import _calls
from gypsumhall.services import _hedging

if TYPE_CHECKING:
    from random import Random

    from gypsumhall.core._member import Member
    from gypsumhall.core._snapshot import Snapshot
    from gypsumhall.core._snapshot import Split
    from gypsumhall.net._messages import CallStart
    from gypsumhall.net._protocol import PeerNetwork
    from gypsumhall.services import _protocols

_MAX_ATTEMPTS = 4
# Services whose budgets are kept.
_MAX_BUDGETS = 4096


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """Repetitions that the senders of one service may make.

    Parameters
    ----------
    share : float
        Repetitions per call.
    floor_per_s : float
        Repetitions per second that are allowed in any case.
    fleet_wide : bool
        Whether the floor is that of all daemons together, of which each
        takes an equal part.
    """

    share: float = 0.1
    floor_per_s: float = 10.0
    fleet_wide: bool = False


# Attempts that stale routing data may cost one request in addition.
_MAX_FREE_RETRIES = 16
# Time in seconds for which a request waits for an endpoint after all have
# failed: a killed process is replaced or declared dead within it.
_WAIT_S = 3.0
_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5
# Refusals for stale routing data cost the fleet no work, so their retries
# do not count against the budget.
_FREE_RETRIES = frozenset(
    [
        'busy',
        'draining',
        'no-backend',
        'peer-unreachable',
        'restarted',
        'starting',
        'version-mismatch',
    ]
)
# Endpoints that are asked for a slot without a long wait, before the request
# is put in the line of the best one.
_OFFERS = 2
# Part of the time to the objective for which such an offer may wait.
_OFFER_WAIT_SHARE = 0.1
# Refusals after which another endpoint may have room.
_NO_ROOM = frozenset(['busy', 'overloaded'])
# Time between two questions to a daemon that did not answer, in seconds.
_PROBE_S = 0.25
# Time after which a caller may return when no endpoint is ready, in seconds:
# that in which a daemon that was stopped starts again.
_NO_ENDPOINT_RETRY_S = 0.5
# Endpoints that a log line names for one request.
_MAX_TRAIL = 8
# Endpoints without room after which a request is refused.
_MAX_NO_ROOM = 4
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
SplitSource = Callable[['Snapshot', str, set[str]], 'Split']
"""Returns how the calls of a service are divided, from the configuration, the
service and the versions of its ready endpoints."""


@dataclass(slots=True, frozen=True)
class _Choice:
    member: Member
    split: Split
    version: str
    # Whether the call was assigned to the version at random, so that it is
    # evidence about the move.
    evidence: bool
    # Whether another attempt at the request still runs. Such a one takes a
    # free slot only, as waiting work goes before repeated work.
    is_backup: bool = False

    @property
    def is_new(self) -> bool:
        return self.version == self.split.new_version


@dataclass(slots=True)
class _Progress:
    request: _calls.Request
    sink: _calls.ResponseSink
    attempts: int = 0
    # Attempts that run at the moment.
    running: int = 0
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
    # Version that the request was assigned to, and whether it failed there.
    version: str | None = None
    failed: bool = False
    # Endpoints that refused because they have no free slot or no room.
    no_room: int = 0
    trail: list[str] = field(default_factory=list)
    retry_after_s: float = math.inf
    backoff_s: float = _FIRST_BACKOFF_S
    give_up_at: float = math.inf

    def note(
        self, member_id: str, failure: CallRefused, started: float
    ) -> None:
        self.last = failure
        if len(self.trail) < _MAX_TRAIL:
            took_ms = (trio.current_time() - started) * 1000
            limit_ms = (self.request.deadline - started) * 1000
            self.trail.append(
                f'{_describe(member_id, failure)} '
                f'after {took_ms:.0f} of {limit_ms:.0f} ms'
            )
        if failure.code in _NO_ROOM and failure.retry_after_ms:
            retry_after_s = failure.retry_after_ms / 1000
            self.retry_after_s = min(self.retry_after_s, retry_after_s)
        if failure.outcome == Outcome.NOT_RUN and failure.code != 'busy':
            self.refused_by.add(member_id)
        if _SEVERITY[failure.outcome] > _SEVERITY[self.outcome]:
            self.outcome = failure.outcome


def _describe(member_id: str, failure: CallRefused) -> str:
    load = failure.load
    if load is None:
        return f'{member_id} {failure.code}'
    return (
        f'{member_id} {failure.code} {load.in_flight}/{load.slots} '
        f'+{load.queued} wait {load.wait_ms:.0f} ms'
    )


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
    dialect : Dialect
        Names of the headers that callers and backend servers use.
    splits : callable, optional
        How calls are divided between versions; by default as the
        configuration says.
    retries : RetryLimits, optional
        Repetitions that are allowed.
    held : ResponseBufferBudget, optional
        Room for responses that are held back or kept.
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
        dialect: _calls.Dialect = _calls.DEFAULT_DIALECT,
        split_source: SplitSource | None = None,
        retry_limits: RetryLimits | None = None,
        buffer_budget: _calls.ResponseBufferBudget | None = None,
    ) -> None:
        self._buffer_budget = buffer_budget or _calls.ResponseBufferBudget()
        self._buffer_responses = dialect.buffer_responses
        self._retry_limits = retry_limits or RetryLimits()
        self._floor_per_s = self._retry_limits.floor_per_s
        self._revision = -1
        self._split_source = split_source or self._configured_split
        self._peers = peers
        self._nursery: trio.Nursery | None = None
        self._probed: set[str] = set()
        self._membership = membership
        self._distribution = distribution
        self._rng = rng
        self.execute_keyed: ExecuteKeyed | None = None
        self._attempts = _attempts.Attempts(
            peers, membership.me, events, rng, execute
        )
        self._me = membership.me.id
        self._load_balancer = _load_balancer.LoadBalancer(
            membership.me.zone, rng
        )
        self._budgets: dict[str, RetryBudget] = {}
        self._results = metrics.counter(
            'gypsumhall_sender_attempts_total',
            'Attempts to run a request, by result.',
        )

    async def run(self) -> None:
        """Ask daemons that were left out whether they answer again."""
        try:
            async with trio.open_nursery() as self._nursery:
                await trio.sleep_forever()
        finally:
            self._nursery = None

    async def send(
        self,
        request: _calls.Request,
        sink: _calls.ResponseSink,
        *,
        key_claimed: bool = False,
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
        if request.key and not request.idempotent and not key_claimed:
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
        receiver = _attempts.Receiver(
            call.request_id, sink, buffer_budget=self._buffer_budget
        )
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
        self._budget(request.service).call(trio.current_time())
        progress = _Progress(request, sink)
        while True:
            choice = self._choose(progress)
            if choice is None:
                if await self._wait_for_endpoint(progress):
                    continue
                break
            if choice.evidence and request.idempotent:
                failure = await self._attempt_with_backup(choice, progress)
            else:
                failure = await self._try(choice, progress, sink)
            if failure is None:
                return
            if not self._may_retry(choice, progress, failure):
                break
        if progress.fallback is not None:
            response = progress.fallback.response
            if response is not None:
                await _calls.deliver(response, sink)
                return
        last = progress.last
        if last is None:
            retry_after_s = self._load_balancer.retry_after_s(
                request.service, trio.current_time()
            )
            raise _calls.CallRefusedError(
                Outcome.NOT_RUN,
                'overloaded' if retry_after_s else 'no-endpoint',
                f'no endpoint of {request.service} has room',
                retry_after_s or _NO_ENDPOINT_RETRY_S,
            )
        retry_after_s = progress.retry_after_s
        error = _calls.CallRefusedError(
            progress.outcome,
            last.code,
            last.detail,
            0.0 if math.isinf(retry_after_s) else retry_after_s,
        )
        error.trail = tuple(progress.trail)
        raise error

    def _budget(self, service: str) -> RetryBudget:
        self._follow_members()
        budget = self._budgets.get(service)
        if budget is None:
            if len(self._budgets) >= _MAX_BUDGETS:
                self._budgets.clear()
            budget = RetryBudget(self._retry_limits.share, self._floor_per_s)
            self._budgets[service] = budget
        return budget

    def _follow_members(self) -> None:
        """Keep the sum of the floors when daemons come and go.

        A daemon that has just started knows few others; its budgets must
        not keep the floor of that moment.
        """
        table = self._membership.table
        if (
            not self._retry_limits.fleet_wide
            or table.revision == self._revision
        ):
            return
        self._revision = table.revision
        daemons = sum(
            1
            for member in table.members()
            if member.status is not MemberStatus.LEAVING
        )
        self._floor_per_s = self._retry_limits.floor_per_s / max(1, daemons)
        for budget in self._budgets.values():
            budget.set_floor(self._floor_per_s)

    def _configured_split(
        self, snapshot: Snapshot, service: str, versions: set[str]
    ) -> Split:
        return snapshot.split(service, self._distribution.reverts)

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
        now = trio.current_time()
        table = self._membership.table
        if self._load_balancer.revision(request.service) != table.revision:
            self._load_balancer.update(
                request.service,
                table.endpoints(request.service),
                table.revision,
                now,
            )
        split = self._split_source(
            snapshot,
            request.service,
            self._load_balancer.versions(request.service),
        )
        if not progress.attempts or progress.version is None:
            progress.version = _routing.choose_version(
                split,
                self._rng,
                idempotent=request.idempotent,
                keyed=bool(request.key),
            )
        version = progress.version
        if progress.failed:
            version = split.old_version
        first = not progress.failed
        for item in _versions(split, version):
            member = self._find(progress, item, now)
            if member is not None:
                comparable = split.stage > 0 or (
                    request.idempotent and not request.key
                )
                evidence = (
                    first and item == version and comparable
                ) and split.new_version is not None
                return _Choice(member, split, item, evidence)
        return None

    def _find(
        self, progress: _Progress, version: str, now: float
    ) -> Member | None:
        """Return an endpoint that has not refused the request for good.

        Those that were tried are chosen again only if no other is left.
        """
        service = progress.request.service
        refused = progress.refused_by
        tried = refused | progress.tried
        rank = progress.request.priority
        route = progress.request.route
        for exclude in (tried, refused):
            member = self._load_balancer.choose(
                service, version, now, exclude, rank, route
            )
            if member is not None:
                return member
        return None

    def _max_wait_s(
        self, progress: _Progress, member_id: str, now: float
    ) -> float | None:
        objective = progress.request.objective
        if progress.no_room >= _OFFERS or not objective:
            return None
        limit_s = max(0.0, _OFFER_WAIT_SHARE * (objective - now))
        if self._load_balancer.expected_wait_s(member_id, now) > limit_s:
            # The best endpoint is known to be busy, so all of them are.
            return None
        return limit_s

    def _leave_out(self, member: Member) -> None:
        """Leave out a daemon that did not answer, until it does."""
        nursery = self._nursery
        if member.id in self._probed or nursery is None:
            return
        if nursery.cancel_scope.cancel_called:
            return
        self._load_balancer.set_reachable(member.id, reachable=False)
        self._probed.add(member.id)
        nursery.start_soon(self._probe, member)

    async def _probe(self, member: Member) -> None:
        """Ask a daemon whether it answers, so that no request has to."""
        try:
            while True:
                known = self._membership.table.get(member.id)
                if known is None or not known.is_live:
                    # Its address may belong to another daemon by now.
                    break
                try:
                    await self._peers.request(
                        known.peer_address, Ping(), timeout_s=_PROBE_S
                    )
                    break
                except PeerError:
                    await trio.sleep(_PROBE_S * (0.5 + self._rng.random()))
        finally:
            self._probed.discard(member.id)
            self._load_balancer.set_reachable(member.id, reachable=True)

    async def _attempt_with_backup(
        self, choice: _Choice, progress: _Progress
    ) -> CallRefused | None:
        """Make an attempt, and one beside it if it takes long.

        Another endpoint can still respond when a version hangs. The first
        attempt goes on, as the second may be refused.
        """
        race = _hedging.Race(progress.sink)
        first, second = race.add(), race.add()
        left = progress.request.deadline - trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_lane, first, choice, progress)
            with trio.move_on_after(_calls.SLOW_CALL_FRACTION * left):
                await first.ended.wait()
            if not first.ended.is_set() and race.winner is None:
                backup = self._choose_backup(choice, progress)
                if backup is not None:
                    await self._run_lane(second, backup, progress)
                    self._settle_backup(choice, second, progress)
        for lane in (first, second):
            if lane.error is not None:
                raise lane.error
        if race.winner is not None:
            return race.winner.failure
        return first.failure

    def _settle_backup(
        self, choice: _Choice, lane: _hedging.Lane, progress: _Progress
    ) -> None:
        """Do not charge a backup that reached no endpoint."""
        failure = lane.failure
        if failure is None or failure.outcome != Outcome.NOT_RUN:
            return
        progress.free_retries += 1
        if self._is_charged(choice):
            self._budget(progress.request.service).refund()

    async def _run_lane(
        self, lane: _hedging.Lane, choice: _Choice, progress: _Progress
    ) -> None:
        try:
            with lane.scope:
                lane.failure = await self._try(choice, progress, lane)
        except _calls.BrokenResponseError as error:
            lane.error = error
        finally:
            lane.ended.set()

    def _choose_backup(
        self, choice: _Choice, progress: _Progress
    ) -> _Choice | None:
        """Return an endpoint for an attempt beside one that takes long."""
        split = choice.split
        request = progress.request
        for version in _versions(split, split.old_version):
            member = self._load_balancer.choose(
                request.service,
                version,
                trio.current_time(),
                progress.tried | progress.refused_by,
                request.priority,
                request.route,
            )
            if member is None:
                continue
            if not self._retry_is_possible(progress):
                return None
            # A failing response that still arrives has paid for it.
            granted = progress.retry_granted
            progress.retry_granted = False
            if not granted and not self._may_repeat(choice, progress):
                return None
            return _Choice(member, split, version, False, is_backup=True)
        return None

    async def _try(
        self,
        choice: _Choice,
        progress: _Progress,
        sink: _calls.ResponseSink,
    ) -> CallRefused | None:
        """Make an attempt and take note of why it failed, or return None."""
        progress.attempts += 1
        progress.running += 1
        started = trio.current_time()
        try:
            failure = await self._attempt(choice, progress, sink)
        finally:
            progress.running -= 1
        if failure is not None:
            progress.note(choice.member.id, failure, started)
        return failure

    async def _attempt(
        self,
        choice: _Choice,
        progress: _Progress,
        sink: _calls.ResponseSink,
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
        call = self._attempts.build(
            request,
            member,
            choice.version,
            split=choice.split if choice.evidence else None,
            max_wait_s=0.0
            if choice.is_backup
            else self._max_wait_s(progress, member.id, trio.current_time()),
        )
        receiver = _attempts.Receiver(
            call.request_id,
            sink,
            hold=self._buffer_responses
            or (request.idempotent and choice.is_new),
            should_retry=(
                lambda status: self._withhold(choice, progress, status)
            )
            if request.idempotent
            else None,
            buffer_budget=self._buffer_budget,
        )
        failure: CallRefused | None = None
        failed: bool | None = None
        self._load_balancer.begin(member.id)
        try:
            await self._attempts.run(member, call, request, receiver)
            if not receiver.done and not request.idempotent:
                await self._settle(choice, call, request, receiver)
            failure = _failure(receiver, call.request_id, member.id)
            failed = receiver.status >= 500 if receiver.status else None
        except PeerUnreachableError as error:
            self._leave_out(member)
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
            self._load_balancer.end(member.id, now, failed=failed)
            if receiver.load is not None:
                self._load_balancer.report(member.id, now, receiver.load)
            if failure is not None and failure.code == 'peer-lost':
                self._leave_out(member)
            if failure is not None and failure.code == 'overloaded':
                self._load_balancer.mark_full(
                    member.id,
                    now,
                    request.priority,
                    failure.retry_after_ms / 1000,
                )
        if failure is None:
            self._load_balancer.record_response_size(
                request.route, receiver.size
            )
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

    def _withhold(
        self, choice: _Choice, progress: _Progress, status: int
    ) -> bool:
        """Decide by its status whether a response is replaced by a retry."""
        if progress.running > 1:
            # The other attempt has been paid for and may succeed.
            return status >= 500
        fails = status in _RETRIED_STATUS
        if choice.is_new or self._buffer_responses:
            fails = status >= 500
        if not fails or not self._retry_is_possible(progress):
            return False
        progress.retry_granted = self._may_repeat(choice, progress)
        return progress.retry_granted

    def _may_repeat(self, choice: _Choice, progress: _Progress) -> bool:
        """Take a repetition from the budget of the service.

        A call that failed on the new version of a move has to succeed on
        the old one; the move's share bounds these unless the budget is the
        fleet's.
        """
        if not self._is_charged(choice):
            return True
        budget = self._budget(progress.request.service)
        return budget.retry(trio.current_time())

    def _is_charged(self, choice: _Choice) -> bool:
        return not choice.is_new or self._buffer_responses

    def _retry_is_possible(self, progress: _Progress) -> bool:
        limit = progress.request.attempts or _MAX_ATTEMPTS
        return (
            progress.attempts - progress.free_retries < limit
            and trio.current_time() < progress.request.deadline
        )

    def _may_retry(
        self, choice: _Choice, progress: _Progress, failure: CallRefused
    ) -> bool:
        if failure.code in _NO_ROOM:
            progress.no_room += 1
            progress.free_retries += 1
            return (
                progress.no_room < _MAX_NO_ROOM
                and trio.current_time() < progress.request.deadline
            )
        if progress.retry_granted:
            progress.retry_granted = False
            progress.failed = True
            return True
        if (
            failure.outcome == Outcome.NOT_RUN
            and failure.code in _FREE_RETRIES
            and progress.free_retries < _MAX_FREE_RETRIES
            and trio.current_time() < progress.request.deadline
        ):
            progress.free_retries += 1
            return True
        if not self._retry_is_possible(progress) or failure.code in _FINAL:
            return False
        if failure.outcome != Outcome.NOT_RUN and (
            not progress.request.idempotent
        ):
            return False
        progress.failed = True
        return self._may_repeat(choice, progress)


def _versions(split: Split, first: str) -> list[str]:
    """Return the versions that may get a call, the wanted one first."""
    if first != split.old_version:
        return [first, split.old_version]
    if split.new_version is not None and split.share >= 1.0:
        return [first, split.new_version]
    return [first]


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
