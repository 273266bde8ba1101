"""Sender (client-side proxy): chooses a runner for each request."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import functools
import math
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerError
from gypsumhall._errors import PeerUnreachableError
from gypsumhall.core import _load_balancer
from gypsumhall.core import _ownership
from gypsumhall.core import _routing
from gypsumhall.core._full_endpoints import FullEndpoints
from gypsumhall.core._limits import RetryBudget
from gypsumhall.core._member import MemberStatus
from gypsumhall.core._waiting import DEFAULT_SERVICE_TIME_S
from gypsumhall.net._messages import CallRefused
from gypsumhall.net._messages import CallWithdraw
from gypsumhall.net._messages import Outcome
from gypsumhall.net._messages import Ping
from gypsumhall.services import _attempts
from gypsumhall.services import _calls
from gypsumhall.services import _hedging
from gypsumhall.services import _progress

if TYPE_CHECKING:
    from random import Random

    from gypsumhall.core._hedge_policy import HedgePolicy
    from gypsumhall.core._member import Member
    from gypsumhall.core._snapshot import Snapshot
    from gypsumhall.core._snapshot import Split
    from gypsumhall.net._messages import CallStart
    from gypsumhall.net._messages import Load
    from gypsumhall.net._protocol import PeerNetwork
    from gypsumhall.services import _deadlines
    from gypsumhall.services import _protocols

_MAX_ATTEMPTS = 4
# Services for which retry budgets are stored.
_MAX_BUDGETS = 4096


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """Retries that the senders of one service may make.

    Parameters
    ----------
    share : float
        Retries per call.
    floor_per_s : float
        Retries per second that are always allowed.
    fleet_wide : bool
        Whether the floor is the total of all daemons, divided equally
        between them.
    """

    share: float = 0.1
    floor_per_s: float = 10.0
    fleet_wide: bool = False


# Retries per request, due to stale routing data, that are not counted as
# attempts.
_MAX_FREE_RETRIES = 16
# Time in seconds for which a request waits for an endpoint after all have
# failed. A killed process is replaced or declared dead within this time.
_ENDPOINT_WAIT_S = 3.0
# Longest such wait, as a fraction of the time left until the deadline. A
# caller that is rejected later has no time to return.
_ENDPOINT_WAIT_FRACTION = 0.5
# Time in seconds for which the outcomes of lost attempts at an idempotent
# request are queried before it is rejected.
_LOST_ATTEMPT_QUERY_S = 0.25
_MAX_BACKOFF_S = 0.5
# Rejections due to stale routing data cost the fleet no work, so retries
# after them do not count against the budget.
_FREE_RETRY_CODES = frozenset(
    [
        _calls.BACKEND_FULL,
        'busy',
        'draining',
        'evacuated',
        'no-backend',
        'peer-unreachable',
        'restarted',
        'starting',
        'version-mismatch',
        'withdrawn',
    ]
)
# Endpoints that are tried with a limit on the expected wait for a slot, before
# the request may join the queue of the best one.
_MAX_SHORT_WAIT_ATTEMPTS = 2
# That limit, as a fraction of the time left until the latency objective.
_SHORT_WAIT_FRACTION = 0.1
# Timeout of a probe of an unreachable daemon and mean delay until the next
# one, in seconds.
_PROBE_INTERVAL_S = 0.25
# Time in seconds after which a caller may retry when no endpoint is ready: a
# stopped daemon starts again within it.
_NO_ENDPOINT_RETRY_S = 0.5
# Endpoints without capacity after which a request is rejected.
_MAX_NO_CAPACITY_REJECTIONS = 4
# Definite rejections of a single attempt by the owner of a key.
_ATTEMPT_ONLY_CODES = frozenset(['buffer-full', 'refused'])
# Rejections of a keyed request before it was sent or its key was claimed.
_OWNER_UNAVAILABLE_CODES = frozenset(['key-owner-unreachable', 'not-owner'])
# Rejections that every other endpoint would repeat.
_FINAL_CODES = frozenset(
    ['bad-request', _calls.KEY_REMOVED, 'over-quota', 'request-too-large']
)
# Failures that indicate a faulty endpoint; other codes say nothing about it.
# One that sheds requests looks idle otherwise.
_FAULT_CODES = frozenset(
    [
        'backend-reset',
        'backend-unreachable',
        'bad-response',
        'peer-lost',
        'shed',
    ]
)
# Attempts to hedge one slow request, and the time in seconds between them. A
# rejected hedge pauses those of its service for slightly less.
_MAX_HEDGE_TRIES = 3
_HEDGE_RETRY_S = 0.06
_RETRIED_STATUSES = (502, 503, 504)

ExecuteKeyed = Callable[
    ['_calls.Request', '_calls.ResponseSink'], Awaitable[None]
]
MakeAttempt = Callable[
    ['_progress.Choice', '_progress.Progress', '_calls.ResponseSink'],
    Awaitable['CallRefused | None'],
]
SplitSource = Callable[['Snapshot', str, set[str]], 'Split']
"""Returns how the calls of a service are split between versions, given the
configuration, the service and the versions of its ready endpoints."""


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
    withdraw : callable
        Withdraws a call on this VM, by the id of its attempt.
    deadlines : DeadlineMonitor
        Cancels attempts; its owner runs it.
    dialect : Dialect
        HTTP headers and conventions of callers and backend servers.
    split_source : callable, optional
        How calls are split between versions; by default as configured.
    retry_limits : RetryLimits, optional
        Limits of retries.
    buffer_budget : ResponseBufferBudget, optional
        Memory limit of buffered responses.
    quotas : Quotas, optional
        Quotas of tenants, which each further attempt counts against.
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
        withdraw: _attempts.Withdraw,
        deadlines: _deadlines.DeadlineMonitor,
        dialect: _calls.Dialect = _calls.DEFAULT_DIALECT,
        split_source: SplitSource | None = None,
        retry_limits: RetryLimits | None = None,
        buffer_budget: _calls.ResponseBufferBudget | None = None,
        quotas: _protocols.Quotas | None = None,
    ) -> None:
        self._quotas = quotas
        self._hedge_policy: HedgePolicy | None = None
        self._hedge_timer = _hedging.Timer()
        self._buffer_budget = buffer_budget or _calls.ResponseBufferBudget()
        self._buffer_responses = dialect.buffer_responses
        self._retry_limits = retry_limits or RetryLimits()
        self._floor_per_s = self._retry_limits.floor_per_s
        self._membership_revision = -1
        self._split_source = split_source or self._configured_split
        self._peers = peers
        self._nursery: trio.Nursery | None = None
        self._probed_members: set[str] = set()
        self._membership = membership
        self._distribution = distribution
        self._rng = rng
        self._withdraw_local = withdraw
        self._queued_attempts: dict[str, list[_progress.QueuedAttempt]] = {}
        self.execute_keyed: ExecuteKeyed | None = None
        self._attempts = _attempts.Attempts(
            peers, membership.me, events, rng, execute, withdraw, deadlines
        )
        self._me = membership.me.id
        self._load_balancer = _load_balancer.LoadBalancer(
            membership.me.zone, rng
        )
        self._full_endpoints = FullEndpoints()
        self._budgets: dict[str, RetryBudget] = {}
        self._results = metrics.counter(
            'gypsumhall_sender_attempts_total',
            'Attempts to run a request, by result.',
        )
        self._choices = metrics.counter(
            'gypsumhall_sender_choices_total',
            'Endpoints chosen for attempts, by reason.',
        )
        self._hedges = metrics.counter(
            'gypsumhall_sender_hedges_total',
            'Second attempts at slow requests, by result.',
        )

    async def run(self) -> None:
        """Probe unreachable daemons until they respond again."""
        try:
            async with trio.open_nursery() as self._nursery:
                await self._hedge_timer.run()
        finally:
            self._nursery = None

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Set the zones to whose endpoints no request is sent."""
        self._load_balancer.set_evacuated_zones(zones)

    def set_hedge_policy(self, policy: HedgePolicy | None) -> None:
        """Set the delays and the budget of hedges; None for no hedges."""
        self._hedge_policy = policy

    def preview(
        self, service: str, rng: Random
    ) -> _load_balancer.LoadBalancer:
        """Return a current copy of the load balancer for one service."""
        balancer = self._load_balancer.preview(service, rng)
        table = self._membership.table
        if balancer.revision(service) != table.revision:
            balancer.update(
                service,
                table.endpoints(service),
                table.revision,
                trio.current_time(),
            )
        return balancer

    def full_members(self, tenant: str, priority: int) -> set[str]:
        """Return the members that have lately rejected calls of a tenant."""
        if not tenant:
            return set()
        now = trio.current_time()
        return self._full_endpoints.members(now, tenant, priority)

    def no_capacity_error(
        self,
        balancer: _load_balancer.LoadBalancer,
        service: str,
        tenant: str,
    ) -> _calls.CallRefusedError:
        """Return the rejection of a request that no endpoint can take.

        Parameters
        ----------
        balancer : LoadBalancer
            That of the sender, or a copy made by `preview`.
        service, tenant : str
            Service and tenant of the request.
        """
        now = trio.current_time()
        retry_after_s = max(
            balancer.retry_after_s(service, now),
            self._full_endpoints.retry_after_s(now, tenant),
        )
        return _calls.CallRefusedError(
            Outcome.NOT_RUN,
            'overloaded' if retry_after_s else 'no-endpoint',
            f'no endpoint of {service} has capacity',
            retry_after_s or _NO_ENDPOINT_RETRY_S,
        )

    async def send(
        self,
        request: _calls.Request,
        sink: _calls.ResponseSink,
        *,
        key_claimed: bool = False,
    ) -> None:
        """Run a request and forward its response to a sink.

        Parameters
        ----------
        request : Request
            The request.
        sink : ResponseSink
            Receives the response.
        key_claimed : bool
            Whether the owner of the key has claimed it already.

        Raises
        ------
        CallRefusedError
            When there is no response.
        BrokenResponseError
            When the response was truncated after its head was forwarded.
        """
        if request.key and not request.idempotent and not key_claimed:
            try:
                await self._send_to_owner(request, sink)
            except _calls.CallRefusedError as error:
                if error.outcome == Outcome.NOT_RUN:
                    self._return_tokens(request, 1)
                raise
            return
        # Where the key was claimed for another daemon, that one returns the
        # token of the request.
        await self._send(request, sink, returns_tokens=not key_claimed)

    async def _send_to_owner(
        self, request: _calls.Request, sink: _calls.ResponseSink
    ) -> None:
        """Send a request to the owner of its key.

        The owner's key ledger makes retries safe. A rejection by its
        execution ledger applies to one attempt only and says nothing about
        earlier requests with the key.
        """
        attempts = 0
        backoff_s = _progress.FIRST_BACKOFF_S
        while attempts < _MAX_ATTEMPTS:
            owner = self._owner(request)
            if owner.id == self._me:
                assert self.execute_keyed is not None
                await self.execute_keyed(request, sink)
                return
            rejection = await self._attempt_at_owner(owner, request, sink)
            if rejection is None:
                return
            remaining_s = request.deadline - trio.current_time()
            if (
                rejection.code in _OWNER_UNAVAILABLE_CODES
                and remaining_s > backoff_s
            ):
                # Another daemon will own the key, or the owner will be
                # reachable again.
                await trio.sleep(backoff_s * (0.5 + self._rng.random()))
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
                continue
            attempts += 1
            # The outcome of every lost attempt has been resolved, so that
            # none can run after a later one has been rejected.
            if rejection.code not in _ATTEMPT_ONLY_CODES:
                raise _calls.CallRefusedError(
                    rejection.outcome, rejection.code, rejection.detail
                )
        raise _calls.CallRefusedError(
            Outcome.UNKNOWN, 'peer-lost', 'streams to the key owner were lost'
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
                f'no endpoint of {request.service} can own the key',
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
                f'key owner {owner.id} is unreachable: {error}',
            )
        if not receiver.done:
            await self._attempts.resolve_outcome(
                owner, call, request, receiver
            )
        return _failure(receiver, call.request_id, owner.id)

    async def _send(
        self,
        request: _calls.Request,
        sink: _calls.ResponseSink,
        *,
        returns_tokens: bool,
    ) -> None:
        self._budget(request.service).call(trio.current_time())
        if self._hedge_policy is not None:
            self._hedge_policy.count_call(request.service)
        hedged_request = _hedging.HedgedRequest(sink)
        progress = _progress.Progress(request, sink, hedged_request)
        try:
            await self._attempt_until_response(progress)
            # The list grows while attempts are made.
            for chain in progress.chains:
                await chain.ended.wait()
                if chain.error is not None:
                    raise chain.error
            if hedged_request.winner is not None:
                await hedged_request.winner.ended.wait()
        finally:
            for chain in progress.chains:
                chain.scope.cancel()
            if returns_tokens and not progress.reached_backend:
                self._return_tokens(request, progress.tokens)
        hedged_request.raise_error()
        if hedged_request.winner is None:
            await self._end_without_response(progress)

    async def _attempt_until_response(
        self, progress: _progress.Progress
    ) -> None:
        """Make attempts until one has responded or no other is allowed.

        An attempt goes on when its daemon is silent. Further ones are then
        made beside it.
        """
        hedged_request = progress.hedged_request
        while hedged_request.winner is None:
            if progress.request.withdrawn:
                return
            choice = self._choose(progress)
            if choice is None:
                if await self._wait_for_endpoint(progress):
                    continue
                return
            attempt = hedged_request.add()
            if progress.request.idempotent:
                attempt.on_silence = functools.partial(
                    self._continue_elsewhere,
                    attempt,
                    choice,
                    progress,
                )
            if choice.is_evidence and progress.request.idempotent:
                make_attempt = self._attempt_with_backup
            elif (
                self._hedge_policy is not None
                and progress.request.idempotent
                and not progress.request.nested
                and not progress.hedged
            ):
                make_attempt = self._attempt_with_hedge
            else:
                make_attempt = self._make_attempt
            await self._run_hedged_attempt(
                make_attempt, attempt, choice, progress
            )
            failure = attempt.failure
            if (
                failure is None
                or attempt.superseded
                or not self._may_retry(choice, progress, failure)
            ):
                return

    def _return_tokens(self, request: _calls.Request, count: int) -> None:
        """Return the tokens of attempts that no backend server received."""
        if self._quotas is None or not request.tenant:
            return
        for _ in range(count):
            self._quotas.give_back(request.tenant, trio.current_time())

    def _take_token(self, progress: _progress.Progress) -> bool:
        """Take a token of the tenant's quota for one attempt."""
        tenant = progress.request.tenant
        if self._quotas is None or not tenant:
            return True
        if not progress.tokens:
            decision = self._quotas.take(tenant, trio.current_time())
            return decision.granted
        progress.tokens -= 1
        return True

    def _reserve_token(self, progress: _progress.Progress) -> bool:
        """Make sure that the next attempt has a token of the quota."""
        if progress.tokens or not self._take_token(progress):
            return progress.tokens > 0
        progress.tokens += 1
        return True

    def _continue_elsewhere(
        self,
        attempt: _hedging.HedgedAttempt,
        choice: _progress.Choice,
        progress: _progress.Progress,
    ) -> None:
        """Make further attempts beside one at a silent daemon."""
        nursery = self._nursery
        if nursery is None or nursery.cancel_scope.cancel_called:
            return
        failure = CallRefused(
            '',
            Outcome.UNKNOWN,
            'peer-lost',
            f'{choice.member.id} is silent',
        )
        if progress.hedged_request.winner is None and self._may_retry(
            choice, progress, failure
        ):
            attempt.superseded = True
            chain = _progress.Chain()
            progress.chains.append(chain)
            nursery.start_soon(self._run_chain, chain, progress)

    async def _run_chain(
        self, chain: _progress.Chain, progress: _progress.Progress
    ) -> None:
        try:
            with chain.scope:
                await self._attempt_until_response(progress)
        except Exception as error:
            # The request fails, not the service that runs the chain.
            chain.error = error
        finally:
            chain.ended.set()

    async def _end_without_response(
        self, progress: _progress.Progress
    ) -> None:
        """Deliver a failed response that was withheld, or raise.

        Raises
        ------
        CallRefusedError
            When there is none.
        """
        request, sink = progress.request, progress.sink
        if progress.fallback is not None:
            response = progress.fallback.response
            if response is not None:
                await _calls.deliver(response, sink)
                return
        await self._resolve_lost_attempts(progress)
        last_failure = progress.last_failure
        if request.withdrawn and progress.outcome == Outcome.NOT_RUN:
            raise _calls.key_removed()
        if last_failure is None:
            raise self.no_capacity_error(
                self._load_balancer, request.service, request.tenant
            )
        retry_after_s = progress.retry_after_s
        if math.isinf(retry_after_s) and (
            last_failure.code in _FREE_RETRY_CODES
        ):
            retry_after_s = _NO_ENDPOINT_RETRY_S
        error = _calls.CallRefusedError(
            progress.outcome,
            last_failure.code,
            last_failure.detail,
            0.0 if math.isinf(retry_after_s) else retry_after_s,
        )
        error.trail = tuple(progress.trail)
        raise error

    async def _resolve_lost_attempts(
        self, progress: _progress.Progress
    ) -> None:
        """Query whether lost attempts at an idempotent request were run.

        A query also withdraws a call that waits in a queue. Without a reply,
        the outcome remains unknown.
        """
        if not progress.lost_attempts:
            return
        if progress.outcome == Outcome.NOT_RUN:
            with trio.move_on_after(_LOST_ATTEMPT_QUERY_S):
                async with trio.open_nursery() as nursery:
                    for choice, call, receiver in list(
                        progress.lost_attempts.values()
                    ):
                        nursery.start_soon(
                            self._resolve_outcome,
                            choice,
                            call,
                            progress.request,
                            receiver,
                        )
        for _, _, receiver in progress.lost_attempts.values():
            rejection = receiver.rejection
            outcome = rejection.outcome if rejection else Outcome.UNKNOWN
            if (
                _progress.SEVERITY[outcome]
                > _progress.SEVERITY[progress.outcome]
            ):
                progress.outcome = outcome
            if rejection is not None and outcome == Outcome.NOT_RUN:
                progress.replace_failure(rejection)

    def _budget(self, service: str) -> RetryBudget:
        self._update_retry_floor()
        budget = self._budgets.get(service)
        if budget is None:
            if len(self._budgets) >= _MAX_BUDGETS:
                self._budgets.clear()
            budget = RetryBudget(self._retry_limits.share, self._floor_per_s)
            self._budgets[service] = budget
        return budget

    def _update_retry_floor(self) -> None:
        """Divide the fleet's retry floor by the current number of daemons.

        A daemon that has just started knows few others, so existing budgets
        must not keep the high floor that it computed then.
        """
        table = self._membership.table
        if (
            not self._retry_limits.fleet_wide
            or table.revision == self._membership_revision
        ):
            return
        self._membership_revision = table.revision
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

    async def _wait_for_endpoint(self, progress: _progress.Progress) -> bool:
        """Wait before all endpoints are tried again; False on time-out.

        Right after several processes died or restarted, every endpoint in
        the member table can fail at once although others will be ready soon.
        Other failures than stale routing data are not waited for.
        """
        last_failure = progress.last_failure
        if last_failure is None or last_failure.code not in _FREE_RETRY_CODES:
            return False
        now = trio.current_time()
        remaining_s = progress.request.deadline - now
        progress.endpoint_wait_until = min(
            progress.endpoint_wait_until,
            now + _ENDPOINT_WAIT_S,
            now + _ENDPOINT_WAIT_FRACTION * remaining_s,
        )
        if now + progress.backoff_s >= progress.endpoint_wait_until:
            return False
        wait_s = progress.backoff_s * (0.5 + self._rng.random())
        with trio.move_on_after(wait_s):
            await progress.hedged_request.claimed.wait()
        progress.backoff_s = min(2 * progress.backoff_s, _MAX_BACKOFF_S)
        progress.tried_members.clear()
        progress.rejected_by.clear()
        return True

    def _choose(self, progress: _progress.Progress) -> _progress.Choice | None:
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
        for item in eligible_versions(split, version):
            member = self._choose_endpoint(progress, item, now)
            if member is not None:
                comparable = split.stage > 0 or (
                    request.idempotent and not request.key
                )
                is_evidence = (
                    first and item == version and comparable
                ) and split.new_version is not None
                return _progress.Choice(member, split, item, is_evidence)
        return None

    def _choose_endpoint(
        self, progress: _progress.Progress, version: str, now: float
    ) -> Member | None:
        """Return an endpoint that has not definitely rejected the request.

        Endpoints that were tried are chosen again only if no other is left.
        """
        service = progress.request.service
        rejecting_members = progress.rejected_by
        if progress.request.tenant:
            rejecting_members = rejecting_members.union(
                self.full_members(
                    progress.request.tenant, progress.request.priority
                )
            )
        tried_members = rejecting_members | progress.tried_members
        rank = progress.request.priority
        route = progress.request.route
        size = len(progress.request.body)
        for exclude in (tried_members, rejecting_members):
            decision = self._load_balancer.decide(
                service, version, now, exclude, rank, route, size
            )
            if decision.member is not None:
                reason = decision.reason.value
                last_failure = progress.last_failure
                if (
                    last_failure is not None
                    and last_failure.code == 'withdrawn'
                ):
                    reason = 'withdrawn'
                self._choices.add(1.0, reason=reason)
                return decision.member
        return None

    def _max_wait_s(
        self, progress: _progress.Progress, member_id: str, now: float
    ) -> float | None:
        objective = progress.request.objective
        if (
            progress.no_capacity_rejections >= _MAX_SHORT_WAIT_ATTEMPTS
            or not objective
        ):
            return None
        limit_s = max(0.0, _SHORT_WAIT_FRACTION * (objective - now))
        if self._load_balancer.expected_wait_s(member_id, now) > limit_s:
            # Even the best endpoint exceeds the limit, so all of them do.
            return None
        return limit_s

    def _mark_unreachable(self, member: Member) -> None:
        """Exclude a daemon from load balancing until a probe succeeds."""
        nursery = self._nursery
        if member.id in self._probed_members or nursery is None:
            return
        if nursery.cancel_scope.cancel_called:
            return
        self._load_balancer.set_reachable(member.id, reachable=False)
        self._probed_members.add(member.id)
        nursery.start_soon(self._probe, member)

    async def _probe(self, member: Member) -> None:
        """Probe a daemon until it responds, so that no request has to try."""
        try:
            while True:
                current = self._membership.table.get(member.id)
                if current is None or not current.is_live:
                    # Its address may belong to another daemon by now.
                    break
                try:
                    await self._peers.request(
                        current.peer_address,
                        Ping(),
                        timeout_s=_PROBE_INTERVAL_S,
                    )
                    break
                except PeerError:
                    await trio.sleep(
                        _PROBE_INTERVAL_S * (0.5 + self._rng.random())
                    )
        finally:
            self._probed_members.discard(member.id)
            self._load_balancer.set_reachable(member.id, reachable=True)

    async def _attempt_with_backup(
        self,
        choice: _progress.Choice,
        progress: _progress.Progress,
        sink: _calls.ResponseSink,
    ) -> CallRefused | None:
        """Make an attempt, and a backup attempt if the first one is slow.

        Another endpoint can still respond when a version hangs. The first
        attempt continues, as the backup may be rejected.
        """
        hedged_request = _hedging.HedgedRequest(sink)
        first = hedged_request.add()
        remaining_s = progress.request.deadline - trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._run_hedged_attempt,
                self._make_attempt,
                first,
                choice,
                progress,
            )
            with trio.move_on_after(_calls.SLOW_CALL_FRACTION * remaining_s):
                await first.ended_or_silent.wait()
            if not first.ended.is_set() and hedged_request.winner is None:
                backup = self._choose_backup(choice, progress)
                if isinstance(sink, _hedging.HedgedAttempt):
                    nursery.start_soon(hedged_request.report_silence, sink)
                if backup is not None:
                    second = hedged_request.add()
                    await self._run_hedged_attempt(
                        self._make_attempt, second, backup, progress
                    )
                    if _was_rejected(second):
                        self._refund_backup(choice, backup, progress)
        hedged_request.raise_error()
        return hedged_request.failure

    async def _attempt_with_hedge(
        self,
        choice: _progress.Choice,
        progress: _progress.Progress,
        sink: _calls.ResponseSink,
    ) -> CallRefused | None:
        """Make an attempt, and another if it is slow for its route."""
        request = progress.request
        policy = self._hedge_policy
        if policy is None:
            return await self._make_attempt(choice, progress, sink)
        started = trio.current_time()
        delay_s = policy.delay_s(request.route, started)
        hedged_request = _hedging.HedgedRequest(sink)
        first = hedged_request.add()
        hedge = _progress.Hedge()
        start_hedge = functools.partial(
            self._start_hedge, hedge, choice, progress, hedged_request, first
        )
        first.on_silence = start_hedge
        # The time of the attempt is recorded without a delay, too.
        timer_entry: _hedging.TimerEntry | None = None
        if delay_s is not None and started + delay_s < request.deadline:
            timer_entry = self._hedge_timer.add(started + delay_s, start_hedge)
        try:
            await self._run_hedged_attempt(
                self._make_attempt, first, choice, progress
            )
            if hedge.started:
                await hedge.ended.wait()
        finally:
            if timer_entry is not None:
                timer_entry.cancel()
            hedge.scope.cancel()
        if hedged_request.winner is not None:
            now = trio.current_time()
            time_s = hedged_request.claimed_at - started
            policy.record(request.route, time_s, now)
        second = hedge.attempt
        if second is not None and not _was_rejected(second):
            policy.end_pause(request.service)
            result = 'lost'
            if hedged_request.winner is second:
                result = 'won'
            elif second.failure is not None or second.error is not None:
                result = 'failed'
            self._hedges.add(1.0, result=result)
        if hedge.error is not None:
            raise hedge.error
        hedged_request.raise_error()
        return hedged_request.failure

    def _start_hedge(
        self,
        hedge: _progress.Hedge,
        choice: _progress.Choice,
        progress: _progress.Progress,
        hedged_request: _hedging.HedgedRequest,
        first: _hedging.HedgedAttempt,
    ) -> None:
        """Start to hedge an attempt that is slow or at a silent daemon."""
        nursery = self._nursery
        if (
            hedge.started
            or hedged_request.winner is not None
            or first.ended.is_set()
            or nursery is None
            or nursery.cancel_scope.cancel_called
        ):
            return
        hedge.started = True
        nursery.start_soon(
            self._run_hedge, hedge, choice, progress, hedged_request, first
        )

    async def _run_hedge(
        self,
        hedge: _progress.Hedge,
        choice: _progress.Choice,
        progress: _progress.Progress,
        hedged_request: _hedging.HedgedRequest,
        first: _hedging.HedgedAttempt,
    ) -> None:
        sink = hedged_request.sink
        try:
            with hedge.scope:
                async with trio.open_nursery() as nursery:
                    if isinstance(sink, _hedging.HedgedAttempt):
                        nursery.start_soon(hedged_request.report_silence, sink)
                    await self._try_hedges(
                        hedge, choice, progress, hedged_request, first
                    )
        except Exception as error:
            # The request fails, not the service that runs the hedge.
            hedge.error = error
        finally:
            hedge.ended.set()

    async def _try_hedges(
        self,
        hedge: _progress.Hedge,
        choice: _progress.Choice,
        progress: _progress.Progress,
        hedged_request: _hedging.HedgedRequest,
        first: _hedging.HedgedAttempt,
    ) -> None:
        """Make a second attempt; try again if it cannot be made or run."""
        for _ in range(_MAX_HEDGE_TRIES):
            if first.ended.is_set() or hedged_request.winner is not None:
                return
            backup = self._choose_hedge(choice, progress)
            if backup is not None:
                second = hedge.attempt = hedged_request.add()
                await self._run_hedged_attempt(
                    self._make_attempt, second, backup, progress
                )
                if not _was_rejected(second):
                    return
                self._refund_backup(choice, backup, progress)
            if first.ended_or_silent.is_set():
                return
            with trio.move_on_after(_HEDGE_RETRY_S):
                await first.ended_or_silent.wait()

    def _choose_hedge(
        self, choice: _progress.Choice, progress: _progress.Progress
    ) -> _progress.Choice | None:
        """Return the endpoint for a hedge of a slow attempt, or None.

        What the hedge needs has been taken from the budgets then.
        """
        request = progress.request
        policy = self._hedge_policy
        # A retry that has been granted follows a failed response.
        if policy is None or progress.retry_granted:
            return None
        now = trio.current_time()
        refusal = policy.refusal(request.service, now)
        member: Member | None = None
        if not refusal:
            decision = self._load_balancer.decide(
                request.service,
                choice.version,
                now,
                progress.tried_members | progress.rejected_by,
                request.priority,
                request.route,
                len(request.body),
            )
            member = self._load_balancer.choose_for_hedge(
                decision, choice.member, now
            )
            if member is None:
                refusal = 'no-free-slot'
            elif not self._retry_is_possible(progress):
                refusal = 'no-attempt'
            elif not self._take_retry(choice, progress):
                refusal = 'no-retry'
            elif not self._reserve_token(progress):
                refusal = 'no-quota'
                if self._uses_retry_budget(choice):
                    self._budget(request.service).refund()
        if member is None or refusal:
            self._hedges.add(1.0, result=refusal)
            return None
        policy.take(request.service)
        progress.hedged = True
        return _progress.Choice(
            member,
            choice.split,
            choice.version,
            False,
            is_backup=True,
            is_hedge=True,
        )

    def _refund_backup(
        self,
        choice: _progress.Choice,
        backup: _progress.Choice,
        progress: _progress.Progress,
    ) -> None:
        """Refund what a backup attempt took that was not run."""
        service = progress.request.service
        progress.free_retries += 1
        if self._uses_retry_budget(choice):
            self._budget(service).refund()
        if backup.is_hedge and self._hedge_policy is not None:
            self._hedge_policy.refund(service, trio.current_time())
            self._hedges.add(1.0, result='rejected')

    async def _run_hedged_attempt(
        self,
        make_attempt: MakeAttempt,
        attempt: _hedging.HedgedAttempt,
        choice: _progress.Choice,
        progress: _progress.Progress,
    ) -> None:
        try:
            with attempt.scope:
                attempt.failure = await make_attempt(choice, progress, attempt)
        except Exception as error:
            # The nursery would wrap it in an exception group, which the
            # caller service does not handle.
            attempt.error = error
        finally:
            attempt.end()

    def _choose_backup(
        self, choice: _progress.Choice, progress: _progress.Progress
    ) -> _progress.Choice | None:
        """Return the endpoint for a backup of a slow attempt, or None."""
        split = choice.split
        request = progress.request
        for version in eligible_versions(split, split.old_version):
            member = self._load_balancer.decide(
                request.service,
                version,
                trio.current_time(),
                progress.tried_members | progress.rejected_by,
                request.priority,
                request.route,
                len(request.body),
            ).member
            if member is None:
                continue
            if not self._retry_is_possible(progress):
                return None
            # A failed response that is still arriving may have taken the
            # retry from the budget already.
            granted = progress.retry_granted
            progress.retry_granted = False
            if not granted and not self._take_retry(choice, progress):
                return None
            return _progress.Choice(
                member, split, version, False, is_backup=True
            )
        return None

    async def _make_attempt(
        self,
        choice: _progress.Choice,
        progress: _progress.Progress,
        sink: _calls.ResponseSink,
    ) -> CallRefused | None:
        """Make an attempt; record and return its failure, if any.

        One for which the tenant's quota has no room is not recorded: the
        outcome of those before it counts.
        """
        if not self._take_token(progress):
            return CallRefused(
                '', Outcome.NOT_RUN, 'over-quota', 'no room for a retry'
            )
        progress.attempts += 1
        started = trio.current_time()
        failure = await self._send_attempt(choice, progress, sink)
        if failure is not None:
            progress.record_failure(choice.member.id, failure, started)
            if failure.outcome == Outcome.NOT_RUN:
                progress.tokens += 1
                if failure.code == 'shed':
                    progress.reached_backend = True
        return failure

    async def _send_attempt(
        self,
        choice: _progress.Choice,
        progress: _progress.Progress,
        sink: _calls.ResponseSink,
    ) -> CallRefused | None:
        """Send the request to a runner; return the failure, or None."""
        request = progress.request
        member = choice.member
        progress.tried_members.add(member.id)
        remaining_s = request.deadline - trio.current_time()
        if remaining_s <= 0:
            return CallRefused(
                '', Outcome.NOT_RUN, 'deadline', 'the deadline has passed'
            )
        call = self._attempts.build(
            request,
            member,
            choice.version,
            split=choice.split if choice.is_evidence else None,
            max_wait_s=0.0
            if choice.is_backup
            else self._max_wait_s(progress, member.id, trio.current_time()),
        )
        receiver = _attempts.Receiver(
            call.request_id,
            sink,
            # The head of a response cancels the other attempt, which must
            # not happen for one that is truncated later.
            should_buffer=lambda: (
                self._buffer_responses
                or (request.idempotent and choice.is_new)
                or _has_running_others(sink)
            ),
            should_withhold=(
                lambda status: self._should_withhold(
                    choice, progress, sink, status
                )
            )
            if request.idempotent
            else None,
            buffer_budget=self._buffer_budget,
        )
        failure: CallRefused | None = None
        failed: bool | None = None
        queued_attempt = self._remember_queued(
            choice, progress, receiver, call
        )
        self._load_balancer.begin(member.id)
        try:
            await self._attempts.run(
                member,
                call,
                request,
                receiver,
                functools.partial(self._handle_silence, member, sink),
            )
            if not receiver.done and not receiver.unsent:
                await self._handle_loss(choice, call, progress, receiver)
            failure = _failure(receiver, call.request_id, member.id)
            failed = receiver.status >= 500 if receiver.status else None
        except PeerUnreachableError as error:
            self._mark_unreachable(member)
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
                failed = (
                    True if failure.code in _FAULT_CODES else failed or None
                )
            now = trio.current_time()
            self._forget_queued(queued_attempt)
            self._load_balancer.end(member.id, now, failed=failed)
            self._report_load(choice, request.service, receiver, now)
            if failure is not None and (
                failure.code == 'peer-lost'
                or (receiver.unsent and not receiver.timed_out)
            ):
                self._mark_unreachable(member)
            if failure is not None and failure.code == 'overloaded':
                self._mark_full(member.id, request, failure)
        if failure is None:
            self._load_balancer.record_response_size(
                request.route, receiver.size
            )
        self._results.add(1.0, result=failure.code if failure else 'response')
        if receiver.withheld and receiver.complete:
            progress.fallback = receiver.recorder
        return failure

    def _report_load(
        self,
        choice: _progress.Choice,
        service: str,
        receiver: _attempts.Receiver,
        now: float,
    ) -> None:
        load = receiver.load
        if load is None:
            return
        self._load_balancer.report(
            choice.member.id, now, load, ended=receiver.complete
        )
        if receiver.complete:
            self._use_free_slot(choice, service, load)

    def _remember_queued(
        self,
        choice: _progress.Choice,
        progress: _progress.Progress,
        receiver: _attempts.Receiver,
        call: CallStart,
    ) -> _progress.QueuedAttempt | None:
        """Remember an attempt that may be withdrawn, and return it.

        One that accepts only a short wait has nothing to gain.
        """
        if (
            call.max_wait_ms >= 0
            or choice.is_evidence
            or progress.withdrawal_requested
        ):
            return None
        attempt = _progress.QueuedAttempt(
            choice, progress, receiver, call.request_id
        )
        service = progress.request.service
        self._queued_attempts.setdefault(service, []).append(attempt)
        return attempt

    def _forget_queued(self, attempt: _progress.QueuedAttempt | None) -> None:
        if attempt is None:
            return
        service = attempt.progress.request.service
        attempts = self._queued_attempts.get(service, [])
        if attempt in attempts:
            attempts.remove(attempt)
        if not attempts:
            self._queued_attempts.pop(service, None)

    def _use_free_slot(
        self, choice: _progress.Choice, service: str, load: Load
    ) -> None:
        """Withdraw a queued call when an endpoint reports a free slot.

        Its daemon rejects it as not run if it still waits; otherwise nothing
        happens. The request is sent elsewhere only after that rejection.

        Parameters
        ----------
        choice : _progress.Choice
            Choice of the attempt that has just ended.
        service : str
            Service of the endpoint.
        load : Load
            Load of the endpoint, with the run that has just ended.
        """
        free = choice.member
        if (
            load.server is None
            or load.draining
            or load.queued
            or load.in_flight > load.slots
            or free.zone != self._membership.me.zone
        ):
            return
        # The latest one is the least likely to have been given a slot.
        for attempt in reversed(self._queued_attempts.get(service, [])):
            progress = attempt.progress
            member = attempt.choice.member
            if (
                member.id == free.id
                or attempt.choice.version != choice.version
                or attempt.receiver.started
                or progress.chains
                or free.id in progress.rejected_by
            ):
                continue
            progress.withdrawal_requested = True
            progress.tried_members.discard(free.id)
            self._forget_queued(attempt)
            if member.id != self._me:
                message = CallWithdraw(attempt.request_id, only_queued=True)
                self._peers.post(member.peer_address, message)
            else:
                self._withdraw_local(attempt.request_id, only_queued=True)
            return

    def _mark_full(
        self, member_id: str, request: _calls.Request, failure: CallRefused
    ) -> None:
        """Exclude an endpoint until a run there is likely to end.

        It may have room for other tenants than that of the rejected call.
        """
        now = trio.current_time()
        retry_after_s = failure.retry_after_ms / 1000
        load = failure.load
        if not request.tenant or load is None:
            self._load_balancer.mark_full(
                member_id, now, request.priority, retry_after_s
            )
            return
        service_time_s = load.service_time_ms / 1000 or DEFAULT_SERVICE_TIME_S
        self._full_endpoints.mark(
            now,
            request.tenant,
            member_id,
            request.priority,
            now + service_time_s / max(1, load.slots),
            retry_after_s,
        )

    def _handle_silence(
        self, member: Member, sink: _calls.ResponseSink
    ) -> None:
        self._mark_unreachable(member)
        if isinstance(sink, _hedging.HedgedAttempt):
            sink.report_silence()

    async def _handle_loss(
        self,
        choice: _progress.Choice,
        call: CallStart,
        progress: _progress.Progress,
        receiver: _attempts.Receiver,
    ) -> None:
        """Query the outcome of a lost attempt, or remember it for later."""
        request = progress.request
        if not request.idempotent:
            await self._resolve_outcome(choice, call, request, receiver)
        elif not receiver.started and choice.member.id != self._me:
            lost_attempt = choice, call, receiver
            progress.lost_attempts[call.request_id] = lost_attempt

    async def _resolve_outcome(
        self,
        choice: _progress.Choice,
        call: CallStart,
        request: _calls.Request,
        receiver: _attempts.Receiver,
    ) -> None:
        if choice.member.id != self._me:
            await self._attempts.resolve_outcome(
                choice.member, call, request, receiver
            )

    def _should_withhold(
        self,
        choice: _progress.Choice,
        progress: _progress.Progress,
        sink: _calls.ResponseSink,
        status: int,
    ) -> bool:
        """Return whether a response with this status is withheld for a retry.

        A retry that this needs is taken from the budget.
        """
        if _has_running_others(sink):
            # The other attempt is already charged and may succeed.
            return status >= 500
        fails = status in _RETRIED_STATUSES
        if choice.is_new or self._buffer_responses:
            fails = status >= 500
        if not fails or not self._retry_is_possible(progress):
            return False
        progress.retry_granted = self._take_retry(choice, progress)
        return progress.retry_granted

    def _take_retry(
        self, choice: _progress.Choice, progress: _progress.Progress
    ) -> bool:
        """Take a retry from the budget of the service; False if it is empty.

        A call that failed on the new version of a move has to succeed on
        the old one, so its retry is not charged: the move's share limits
        these retries. It is charged if the budget is that of the fleet.
        """
        if not self._uses_retry_budget(choice):
            return True
        budget = self._budget(progress.request.service)
        return budget.retry(trio.current_time())

    def _uses_retry_budget(self, choice: _progress.Choice) -> bool:
        return not choice.is_new or self._buffer_responses

    def _retry_is_possible(self, progress: _progress.Progress) -> bool:
        limit = progress.request.attempts or _MAX_ATTEMPTS
        return (
            not progress.request.withdrawn
            and progress.attempts - progress.free_retries < limit
            and trio.current_time() < progress.request.deadline
        )

    def _may_retry(
        self,
        choice: _progress.Choice,
        progress: _progress.Progress,
        failure: CallRefused,
    ) -> bool:
        if failure.code in _progress.NO_CAPACITY_CODES:
            progress.no_capacity_rejections += 1
            progress.free_retries += 1
            return (
                progress.no_capacity_rejections < _MAX_NO_CAPACITY_REJECTIONS
                and trio.current_time() < progress.request.deadline
            )
        if progress.retry_granted:
            progress.retry_granted = False
            progress.failed = True
            return True
        if (
            failure.outcome == Outcome.NOT_RUN
            and failure.code in _FREE_RETRY_CODES
            and progress.free_retries < _MAX_FREE_RETRIES
            and trio.current_time() < progress.request.deadline
        ):
            progress.free_retries += 1
            return True
        if (
            not self._retry_is_possible(progress)
            or failure.code in _FINAL_CODES
        ):
            return False
        if failure.outcome != Outcome.NOT_RUN and (
            not progress.request.idempotent
        ):
            return False
        progress.failed = True
        return self._take_retry(choice, progress)


def eligible_versions(split: Split, first: str) -> list[str]:
    """Return the versions that may get a call, the preferred one first."""
    if first != split.old_version:
        return [first, split.old_version]
    if split.new_version is not None and split.share >= 1.0:
        return [first, split.new_version]
    return [first]


def _was_rejected(attempt: _hedging.HedgedAttempt) -> bool:
    failure = attempt.failure
    return failure is not None and failure.outcome == Outcome.NOT_RUN


def _has_running_others(sink: _calls.ResponseSink) -> bool:
    """Return whether other attempts at a request run."""
    return isinstance(sink, _hedging.HedgedAttempt) and sink.has_running_others


def _failure(
    receiver: _attempts.Receiver, request_id: str, member_id: str
) -> CallRefused | None:
    if receiver.rejection is not None:
        return receiver.rejection
    if receiver.withheld:
        return CallRefused(
            request_id,
            Outcome.RUN,
            'withheld',
            f'{member_id} responded with status {receiver.status}',
        )
    if receiver.complete:
        return None
    if receiver.forwarded:
        raise _calls.BrokenResponseError(
            f'the response of {member_id} was truncated'
        )
    if receiver.started:
        return CallRefused(
            request_id,
            Outcome.RUN,
            'backend-reset',
            f'the response of {member_id} was truncated',
        )
    if receiver.unsent:
        return CallRefused(
            request_id,
            Outcome.NOT_RUN,
            'deadline' if receiver.timed_out else 'peer-unreachable',
            f'the call could not be sent to {member_id}',
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
