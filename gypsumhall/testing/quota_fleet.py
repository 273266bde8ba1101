"""Simulation of the quotas of a fleet: daemons, links and demand."""

from __future__ import annotations

from dataclasses import dataclass
import functools
import heapq
import itertools
from typing import TYPE_CHECKING

import msgspec

from gypsumhall.core import _quota_exchange
from gypsumhall.core import _quota_owners
from gypsumhall.core import _quotas
from gypsumhall.core._member import MemberStatus
from gypsumhall.testing import builders

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from gypsumhall.core._member import Member

_DETECTION_S = 1.5
_JOIN_S = 0.3
_GOSSIP_S = 0.5


@dataclass(slots=True)
class _Waiting:
    tenant: str
    since: float


class SimulatedDaemon:
    """One daemon of a `QuotaFleet`.

    Parameters
    ----------
    fleet : QuotaFleet
        The fleet.
    member : Member
        Entry of the daemon.
    """

    def __init__(self, fleet: QuotaFleet, member: Member) -> None:
        self._fleet = fleet
        self.member = member
        self.process = f'{member.id}/{member.incarnation}'
        self.exchange = _quota_exchange.QuotaExchange(
            member,
            self.process,
            fleet.bounds,
            fleet.now,
            int(fleet.now * 1000),
        )
        self.exchange.set_limits(dict(fleet.limits), fleet.now)
        self.known: dict[str, Member] = {member.id: member}
        self.alive = True
        self.waiting: list[_Waiting] = []
        self.next_poll = float('inf')

    def update_members(self) -> None:
        """Pass the known members on."""
        live = [item for item in self.known.values() if item.is_live]
        # The names of the zones are also in the store.
        self.exchange.set_members(
            live, self._fleet.zones, self._fleet.now, self._fleet.now
        )

    def request(self, tenant: str) -> None:
        """Let a request arrive."""
        now = self._fleet.now
        decision = self.exchange.daemon.take(tenant, now)
        if decision.reason == 'undecided':
            self.waiting.append(_Waiting(tenant, now))
            self.exchange.daemon.wait(tenant, 1)
            self._fleet.at(
                now + _quota_exchange.DECISION_TIMEOUT_S, self._decide
            )
        else:
            self._fleet.record(tenant, decision, 0.0)
        self.poll()

    def _decide(self) -> None:
        if not self.alive:
            return
        now = self._fleet.now
        left = []
        for item in self.waiting:
            decision = self.exchange.daemon.retake(item.tenant, now)
            expired = (
                now >= item.since + _quota_exchange.DECISION_TIMEOUT_S - 1e-9
            )
            if decision.reason == 'undecided' and not expired:
                left.append(item)
                continue
            if decision.reason == 'undecided':
                decision = _quotas.Decision(False, 'owner-unreachable')
            self.exchange.daemon.wait(item.tenant, -1)
            self._fleet.record(item.tenant, decision, now - item.since)
        self.waiting = left
        self.exchange.decided.clear()

    def poll(self) -> None:
        """Send what is due."""
        fleet = self._fleet
        if not self.alive:
            return
        for address, packet in self.exchange.poll(fleet.now):
            fleet.send(self, address, packet)
        if self.exchange.decided:
            self._decide()
            for address, packet in self.exchange.poll(fleet.now):
                fleet.send(self, address, packet)
        for member_id in self.exchange.take_probes():
            fleet.probe(self, member_id)
        due = self.exchange.next_time(fleet.now)
        if due < self.next_poll or self.next_poll <= fleet.now:
            self.next_poll = due
            if due < float('inf'):
                fleet.at(max(due, fleet.now + 0.001), self.poll)

    def receive(
        self, sender: SimulatedDaemon, packet: _quota_exchange.Packet
    ) -> None:
        """Handle a message."""
        if not self.alive:
            return
        member = sender.member
        self.exchange.owner.observe_zones(
            sender.exchange.zones, self._fleet.now
        )
        self.exchange.receive(
            _quota_exchange.Sender(
                sender.process, member.zone, member.peer_address
            ),
            packet,
            self._fleet.now,
        )
        if self.exchange.decided:
            self._decide()
        self.poll()


class QuotaFleet:
    """Daemons in several zones that share the quotas of tenants.

    Parameters
    ----------
    rng : random.Random
        Source of delays, losses and demand.
    limits : dict of str to Limit
        Limits of the tenants.
    zones, daemons : int
        Number of zones, and of daemons in each.
    bounds : QuotaBounds
        Tolerance.
    """

    def __init__(
        self,
        rng: random.Random,
        limits: dict[str, _quotas.Limit],
        *,
        zones: int = 3,
        daemons: int = 10,
        bounds: _quotas.QuotaBounds | None = None,
    ) -> None:
        self._rng = rng
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.bounds = bounds or _quotas.QuotaBounds()
        self.limits = dict(limits)
        self.now = 0.0
        self.cut_zones: set[str] = set()
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.delay_s = (0.0002, 0.004)
        self.messages = 0
        self.bytes = 0
        # Time of each run, and time and reason of each refusal, by tenant.
        self.runs: dict[str, list[float]] = {name: [] for name in limits}
        self.refusals: dict[str, list[tuple[float, _quotas.Decision]]] = {
            name: [] for name in limits
        }
        self.waits: list[float] = []
        self.zones = tuple(f'zone-{zone}' for zone in range(zones))
        self.daemons: list[SimulatedDaemon] = []
        members = [
            builders.build_member(
                zone * daemons + index, zone=f'zone-{zone}', endpoint=None
            )
            for zone in range(zones)
            for index in range(daemons)
        ]
        for member in members:
            daemon = SimulatedDaemon(self, member)
            daemon.known = {item.id: item for item in members}
            self.daemons.append(daemon)
        for daemon in self.daemons:
            daemon.update_members()

    # Time

    def at(self, time: float, function: Callable[[], None]) -> None:
        """Call a function at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), function))

    def run_until(self, end: float) -> None:
        """Advance the time."""
        while self._events and self._events[0][0] <= end:
            time, _, function = heapq.heappop(self._events)
            self.now = max(self.now, time)
            function()
        self.now = end

    # Demand and results

    def send_requests(
        self,
        tenant: str,
        rate_per_s: float,
        duration_s: float,
        zone: int | None = None,
        index: int | None = None,
        bucket: IdealBucket | None = None,
    ) -> None:
        """Add random arrivals from now on.

        Parameters
        ----------
        tenant : str
            Tenant that sends.
        rate_per_s, duration_s : float
            Requests per second, and seconds for which they are sent.
        zone, index : int or None
            Zone or daemon at which they arrive; None for all.
        bucket : IdealBucket, optional
            Leaves out the requests that would exceed the quota.
        """
        time = self.now
        while True:
            time += self._rng.expovariate(rate_per_s)
            if time >= self.now + duration_s:
                return
            if bucket is not None and not bucket.take(time):
                continue
            self.at(time, lambda: self._arrive(tenant, zone, index))

    def _arrive(
        self, tenant: str, zone: int | None, index: int | None
    ) -> None:
        daemons = [
            item
            for item in self.daemons
            if item.alive
            and (zone is None or item.member.zone == f'zone-{zone}')
        ]
        if index is not None:
            daemons = [self.daemons[index]]
        if daemons:
            self._rng.choice(daemons).request(tenant)

    def record(
        self, tenant: str, decision: _quotas.Decision, wait_s: float
    ) -> None:
        """Record a decision."""
        self.waits.append(wait_s)
        if decision.granted:
            self.runs[tenant].append(self.now)
        else:
            self.refusals[tenant].append((self.now, decision))

    def worst_window(self, tenant: str, since: float = 0.0) -> int:
        """Return the largest number of runs in any window."""
        times = [item for item in self.runs[tenant] if item >= since]
        worst = start = 0
        for end, time in enumerate(times):
            while time - times[start] >= self.bounds.window_s:
                start += 1
            worst = max(worst, end - start + 1)
        return worst

    def allowed(self, tenant: str) -> float:
        """Return the largest allowed number of runs in a window."""
        limit = self.limits[tenant]
        quota = limit.rate_per_s * self.bounds.window_s + limit.burst
        return quota + self.bounds.tolerance(limit)

    # Faults

    def set_limit(self, tenant: str, limit: _quotas.Limit) -> None:
        """Install a limit at all daemons within a second."""
        self.limits[tenant] = limit
        limits = dict(self.limits)
        for daemon in self.daemons:
            self.at(
                self.now + self._rng.uniform(0.0, 1.0),
                functools.partial(self._install, daemon, limits),
            )

    def _install(
        self, daemon: SimulatedDaemon, limits: dict[str, _quotas.Limit]
    ) -> None:
        daemon.exchange.set_limits(limits, self.now)

    def owner(self, tenant: str, zone: int) -> int:
        """Return the index of the owner of a tenant in a zone."""
        name = f'zone-{zone}'
        for daemon in self.daemons:
            if daemon.alive and daemon.member.zone == name:
                owner = daemon.exchange.owners.owner(tenant, name)
                assert owner is not None
                return next(
                    index
                    for index, item in enumerate(self.daemons)
                    if item.member.id == owner.id
                )
        raise LookupError(name)

    def kill(self, index: int) -> None:
        """Kill a daemon; the others notice it later."""
        daemon = self.daemons[index]
        daemon.alive = False
        for other in self.daemons:
            self.at(
                self.now + _DETECTION_S + self._rng.uniform(0.0, _GOSSIP_S),
                functools.partial(
                    self._see_status,
                    other,
                    daemon.member,
                    MemberStatus.DEAD,
                ),
            )

    def restart(self, index: int) -> None:
        """Start a killed daemon without memory."""
        member = self.daemons[index].member
        member = msgspec.structs.replace(
            member, incarnation=int(self.now * 1000)
        )
        daemon = SimulatedDaemon(self, member)
        self.daemons[index] = daemon
        daemon.update_members()
        self.at(
            self.now + self._rng.uniform(0.05, _JOIN_S),
            lambda: self._join(daemon),
        )

    def _join(self, daemon: SimulatedDaemon) -> None:
        if not daemon.alive:
            return
        reachable = [
            item
            for item in self.daemons
            if item.alive and self._is_connected(item, daemon)
        ]
        for item in self._rng.sample(reachable, min(3, len(reachable))):
            for member in item.known.values():
                self._see(daemon, member)
        for other in reachable:
            self.at(
                self.now + self._rng.uniform(0.0, _GOSSIP_S),
                functools.partial(self._exchange_members, daemon, other),
            )

    def _exchange_members(
        self, one: SimulatedDaemon, other: SimulatedDaemon
    ) -> None:
        if one.alive and other.alive and self._is_connected(one, other):
            self._see(other, one.member)
            self._see(one, other.member)

    def _see(self, daemon: SimulatedDaemon, member: Member) -> None:
        known = daemon.known.get(member.id)
        if known is None or member.incarnation > known.incarnation:
            daemon.known[member.id] = member
            daemon.update_members()

    def _see_status(
        self, daemon: SimulatedDaemon, member: Member, status: MemberStatus
    ) -> None:
        known = daemon.known.get(member.id)
        if known is not None and known.incarnation == member.incarnation:
            daemon.known[member.id] = msgspec.structs.replace(
                known, status=status
            )
            daemon.update_members()

    def cut(self, zone: int) -> None:
        """Cut the links between a zone and all others."""
        name = f'zone-{zone}'
        self.cut_zones.add(name)
        self._after_cut(name, MemberStatus.DEAD, _DETECTION_S)

    def heal(self, zone: int) -> None:
        """Restore the links of a zone."""
        name = f'zone-{zone}'
        self.cut_zones.discard(name)
        self._after_cut(name, MemberStatus.ALIVE, 0.2)

    def _after_cut(
        self, zone: str, status: MemberStatus, delay_s: float
    ) -> None:
        def update(daemon: SimulatedDaemon) -> None:
            is_cut = zone in self.cut_zones
            if is_cut != (status is MemberStatus.DEAD):
                return
            for other in self.daemons:
                is_apart = (other.member.zone == zone) != (
                    daemon.member.zone == zone
                )
                if is_apart and (other.alive or is_cut):
                    self._see_status(daemon, other.member, status)

        for daemon in self.daemons:
            self.at(
                self.now + delay_s + self._rng.uniform(0.0, _GOSSIP_S),
                functools.partial(update, daemon),
            )

    # Network

    def _is_connected(
        self, one: SimulatedDaemon, other: SimulatedDaemon
    ) -> bool:
        zones = {one.member.zone, other.member.zone}
        return len(zones) == 1 or not zones & self.cut_zones

    def send(
        self,
        sender: SimulatedDaemon,
        address: str,
        packet: _quota_exchange.Packet,
    ) -> None:
        """Send a message, which may be lost or arrive twice."""
        receiver = next(
            item
            for item in self.daemons
            if item.member.peer_address == address
        )
        self.messages += 1
        if not self._is_connected(sender, receiver):
            return
        if self._rng.random() < self.loss_rate:
            return
        copies = 2 if self._rng.random() < self.duplicate_rate else 1
        for _ in range(copies):
            delay_s = self._rng.uniform(*self.delay_s)
            if sender.member.zone != receiver.member.zone:
                delay_s += 0.0005
            self.at(
                self.now + delay_s, lambda: receiver.receive(sender, packet)
            )

    def probe(self, sender: SimulatedDaemon, member_id: str) -> None:
        """Check whether a daemon can be reached."""
        target = next(
            item for item in self.daemons if item.member.id == member_id
        )
        reachable = target.alive and self._is_connected(sender, target)

        def finish() -> None:
            sender.exchange.add_probe(member_id, self.now, reachable=reachable)
            sender.poll()

        self.at(self.now + self._rng.uniform(*self.delay_s), finish)


def settled_fleet(fleet: QuotaFleet) -> QuotaFleet:
    """Return the fleet after its daemons have become owners."""
    fleet.run_until(_quota_owners.MATURE_S + 8.0)
    return fleet


class IdealBucket:
    """Bucket that all daemons would share if messages took no time.

    Parameters
    ----------
    limit : Limit
        Limit of the tenant.
    """

    def __init__(self, limit: _quotas.Limit) -> None:
        self._limit = limit
        self._level = limit.burst
        self._at = 0.0

    def take(self, now: float) -> bool:
        """Whether a request at this time is inside the quota."""
        elapsed_s = now - self._at
        self._at = now
        self._level = min(
            self._limit.burst,
            self._level + elapsed_s * self._limit.rate_per_s,
        )
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
