"""Service ``quotas``: limits the requests of tenants over all daemons.

`gypsumhall.core._quota_exchange` decides; this service sends its messages,
wakes the requests that wait for a decision, and reports. docs/design/quotas.md
describes the messages and what happens on failures.
"""

from __future__ import annotations

from collections import defaultdict
import math
import random
import time
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerError
from gypsumhall._errors import PeerUnreachableError
from gypsumhall.core import _quota_exchange
from gypsumhall.core import _quotas
from gypsumhall.core._member import MemberStatus
from gypsumhall.net._messages import Ping
from gypsumhall.net._messages import Pong
from gypsumhall.net._messages import QuotaPacket
from gypsumhall.net._protocol import PeerNetwork
from gypsumhall.services import _protocols

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumhall.core._snapshot import Snapshot
    from gypsumhall.kernel import Kernel
    from gypsumhall.net._protocol import Exchange

_PROBE_TIMEOUT_S = 0.15
"""Timeout in seconds of a probe of an owner that has not answered."""

_MEMBERS_INTERVAL_S = 0.1
_MEMBERS_PER_S = 20_000
"""The member table is read after a change, at most once in
`_MEMBERS_INTERVAL_S` and for `_MEMBERS_PER_S` entries per second."""

_MIN_PAUSE_S = 0.002
_REPORT_INTERVAL_S = 1.0
_EVENT_INTERVAL_S = 10.0
"""Shortest time in seconds between two events about one tenant."""


def limits_of(snapshot: Snapshot | None) -> dict[str, _quotas.Limit]:
    """Return the limits of the tenants of a configuration that have one."""
    if snapshot is None:
        return {}
    return {
        name: _quotas.Limit(tenant.rate_per_s, tenant.burst)
        for name, tenant in snapshot.tenants.items()
        if tenant.rate_per_s > 0
    }


class QuotaService:
    """Takes and returns the tokens of requests; implements `Quotas`.

    Parameters
    ----------
    bounds : QuotaBounds, optional
        Tolerance of the quotas.
    rng : random.Random, optional
        Source of the number of the first question.
    wall : callable, optional
        Returns the time of day in seconds.
    """

    name = 'quotas'
    requires: tuple[str, ...] = (
        'events',
        'metrics',
        'peers',
        'membership',
        'distribution',
    )

    def __init__(
        self,
        bounds: _quotas.QuotaBounds | None = None,
        *,
        rng: random.Random | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._bounds = bounds or _quotas.QuotaBounds()
        self._rng = rng or random.Random()
        self._wall = wall
        self._waiting: defaultdict[str, trio.lowlevel.ParkingLot] = (
            defaultdict(trio.lowlevel.ParkingLot)
        )
        self._wake = trio.Event()
        self._scheduled_at = math.inf
        self._members_changed = True
        self._members_read_at = -math.inf
        self._probing: set[str] = set()
        self._counts: defaultdict[tuple[str, str], int] = defaultdict(int)
        self._reported_at = -math.inf
        self._reported_use: set[str] = set()
        self._event_at: dict[tuple[str, str], float] = {}
        self._zone_source: Callable[[], Iterable[str]] = tuple
        self._nursery: trio.Nursery
        self._exchange: _quota_exchange.QuotaExchange
        self._membership: _protocols.Membership
        self._distribution: _protocols.Distribution
        self._events: _protocols.Events
        self._peers: PeerNetwork

    def set_zone_source(self, source: Callable[[], Iterable[str]]) -> None:
        """Set a function that returns zones that the store names.

        A daemon that starts while zones are cut off does not learn of them
        from other daemons.
        """
        self._zone_source = source

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Exchange messages about quotas until cancelled."""
        self._membership = kernel.get('membership', _protocols.Membership)
        self._distribution = kernel.get(
            'distribution', _protocols.Distribution
        )
        self._events = kernel.get('events', _protocols.Events)
        self._peers = kernel.get('peers', PeerNetwork)
        metrics = kernel.get('metrics', _protocols.Metrics)
        self._decisions = metrics.counter(
            'gypsumhall_quota_decisions_total',
            'Requests of tenants with a limit, by tenant and result.',
        )
        self._use = metrics.gauge(
            'gypsumhall_quota_use',
            "Recent use of the zone's share of a quota, at its owner.",
        )
        me = self._membership.me
        self._exchange = _quota_exchange.QuotaExchange(
            me,
            f'{me.id}/{me.incarnation}',
            self._bounds,
            trio.current_time(),
            self._rng.randrange(2**20),
        )
        self._distribution.subscribe(self._install_limits)
        self._install_limits()
        self._membership.subscribe(self._on_members_changed)
        self._peers.on(QuotaPacket, self._on_packet)
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            while True:
                with trio.move_on_at(self._scheduled_at):
                    await self._wake.wait()
                self._wake = trio.Event()
                self._poll()
                if self._scheduled_at <= trio.current_time():
                    # The loop must not spin if nothing can be done yet.
                    self._scheduled_at = trio.current_time() + _MIN_PAUSE_S
                    self._wake = trio.Event()

    async def drain(self) -> None:
        """Continue: requests are served until the end of the drain."""

    # Decisions

    def take(self, tenant: str, now: float) -> _quotas.Decision:
        """Take a token for one request without waiting.

        Parameters
        ----------
        tenant : str
            Name of the tenant; empty for none.
        now : float
            Time in seconds, by `trio.current_time`.
        """
        if not tenant:
            return _quotas.NO_LIMIT
        decision = self._exchange.daemon.take(tenant, now)
        if decision is not _quotas.NO_LIMIT and decision.reason != 'undecided':
            self._record(tenant, decision, now)
            if decision.granted:
                self._schedule(now)
        return decision

    def peek(self, tenant: str, now: float) -> _quotas.Decision:
        """Return the decision of this daemon without taking a token.

        Its reason is ``undecided`` if the owner would have to be asked.
        """
        return self._exchange.daemon.peek(tenant, now)

    async def decide(self, tenant: str) -> _quotas.Decision:
        """Take a token; wait for the owner of the quota if necessary."""
        daemon = self._exchange.daemon
        decision = self.take(tenant, trio.current_time())
        if decision.reason != 'undecided':
            return decision
        daemon.wait(tenant, 1)
        waiting = self._waiting[tenant]
        try:
            with trio.move_on_after(_quota_exchange.DECISION_TIMEOUT_S):
                while decision.reason == 'undecided':
                    # The loop asks for all requests that have arrived until
                    # it runs in one message.
                    self._schedule(trio.current_time())
                    await waiting.park()
                    decision = daemon.retake(tenant, trio.current_time())
        finally:
            daemon.wait(tenant, -1)
            if not waiting:
                self._waiting.pop(tenant, None)
        if decision.reason == 'undecided':
            decision = _quotas.Decision(
                False, 'owner-unreachable', _quota_exchange.DECISION_TIMEOUT_S
            )
        self._record(tenant, decision, trio.current_time())
        return decision

    def give_back(self, tenant: str, now: float) -> None:
        """Return the token of a request that was not sent."""
        if tenant:
            self._exchange.daemon.give_back(tenant, now)
            self._schedule(now)

    # Exchange with other daemons

    async def _on_packet(
        self, exchange: Exchange, message: QuotaPacket
    ) -> None:
        now = trio.current_time()
        peer = exchange.peer
        self._exchange.owner.observe_zones(message.zones, now)
        self._read_members(now)
        self._exchange.receive(
            _quota_exchange.Sender(
                f'{peer.id}/{peer.incarnation}/{peer.process}',
                peer.zone,
                peer.address,
            ),
            _quota_exchange.Packet(
                message.avoided,
                list(message.questions),
                list(message.zone_questions),
                list(message.answers),
            ),
            now,
        )
        self._poll()
        await trio.lowlevel.checkpoint()

    def _poll(self) -> None:
        now = trio.current_time()
        self._read_members(now)
        for address, packet in self._exchange.poll(now):
            self._peers.post(
                address,
                QuotaPacket(
                    self._exchange.zones,
                    packet.avoided,
                    tuple(packet.questions),
                    tuple(packet.zone_questions),
                    tuple(packet.answers),
                ),
            )
        decided = self._exchange.decided
        while decided:
            tenant = decided.pop()
            if tenant in self._waiting:
                self._waiting[tenant].unpark_all()
        for member_id in self._exchange.take_probes():
            if member_id not in self._probing:
                self._probing.add(member_id)
                self._nursery.start_soon(self._probe, member_id)
        if now >= self._reported_at + _REPORT_INTERVAL_S:
            self._report(now)
        self._schedule(now)

    def _schedule(self, now: float) -> None:
        due = self._exchange.next_time(now)
        if self._counts or self._reported_use:
            due = min(due, self._reported_at + _REPORT_INTERVAL_S)
        if due <= now or due < self._scheduled_at:
            self._wake.set()
        self._scheduled_at = due

    async def _probe(self, member_id: str) -> None:
        """Find out whether an owner that has not answered can be reached."""
        reachable = True
        try:
            member = self._membership.table.get(member_id)
            if member is None or not member.is_live:
                return
            try:
                reply = await self._peers.request(
                    member.peer_address, Ping(), timeout_s=_PROBE_TIMEOUT_S
                )
                reachable = isinstance(reply, Pong) and (
                    reply.member in ('', member_id)
                )
            except PeerUnreachableError:
                reachable = False
            except PeerError:
                # A process that is slow may still answer others.
                reachable = True
        finally:
            self._probing.discard(member_id)
        now = trio.current_time()
        self._exchange.add_probe(member_id, now, reachable=reachable)
        if not reachable:
            self._events.emit('quota-owner-unreachable', member=member_id)
        self._poll()

    def _on_members_changed(self) -> None:
        self._members_changed = True

    def _read_members(self, now: float) -> None:
        if not self._members_changed or not self._exchange.daemon.limits:
            return
        table = self._membership.table
        members = table.members()
        interval_s = max(_MEMBERS_INTERVAL_S, len(members) / _MEMBERS_PER_S)
        if now < self._members_read_at + interval_s:
            return
        self._members_read_at = now
        self._members_changed = False
        zones = {
            item.zone
            for item in members
            if item.status is not MemberStatus.LEAVING
        }
        self._exchange.set_members(
            [item for item in members if item.is_live],
            zones.union(self._zone_source(), [self._membership.me.zone]),
            now,
            self._wall(),
        )

    def _install_limits(self) -> None:
        limits = limits_of(self._distribution.snapshot)
        if limits != self._exchange.daemon.limits:
            self._exchange.set_limits(limits, trio.current_time())
            self._wake.set()

    # Reports

    def _record(
        self, tenant: str, decision: _quotas.Decision, now: float
    ) -> None:
        result = 'granted' if decision.granted else decision.reason
        self._counts[tenant, result] += 1
        if decision.granted:
            return
        at = self._event_at.get((result, tenant), -math.inf)
        if now < at + _EVENT_INTERVAL_S:
            return
        self._event_at[result, tenant] = now
        limit = self._exchange.daemon.limits.get(tenant)
        if result != 'over-quota':
            self._events.emit('quota-undecided', tenant=tenant)
            return
        self._events.emit(
            'quota-exceeded',
            tenant=tenant,
            rate_per_s=limit.rate_per_s if limit else 0.0,
            burst=limit.burst if limit else 0.0,
            retry_after_ms=round(decision.retry_after_s * 1000),
        )

    def _report(self, now: float) -> None:
        # Counters with labels cost more than the decision.
        self._reported_at = now
        for (tenant, result), count in self._counts.items():
            self._decisions.add(count, tenant=tenant, result=result)
        self._counts.clear()
        owner = self._exchange.owner
        owned = set(owner.tenants)
        used = set()
        for tenant in owned | self._reported_use:
            use = round(owner.use(tenant, now), 3)
            self._use.set(use, tenant=tenant)
            if use > 0:
                used.add(tenant)
        self._reported_use = used
        for key, at in list(self._event_at.items()):
            if now >= at + _EVENT_INTERVAL_S:
                del self._event_at[key]
