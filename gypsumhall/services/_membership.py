"""Service ``membership``: member table, gossip and failure detection.

Bytes that a daemon sends per second, with 1,250 members in the zone, 25,000
in total and 0.3 changes per second in the whole fleet. A daemon receives as
much as it sends. Sizes and the figures marked (m) are measured by
``benchmarks/bench_network.py``, the latter with 240 simulated daemons; the
others are calculated. Heartbeats are measured with 36 real daemons by
``benchmarks/bench_capacity.py``.

* Heartbeats: 113 bytes each, 3 to ring neighbours and 1 to a gossip partner,
  and as many replies of 28 bytes: 565 B/s.
* Changes carried by heartbeats, 71 bytes each: 155 B/s (m); 1,020 B/s with 3
  changes per second (m); the queue limits them to 600 B/s after a burst of
  128 KiB.
* Repair, a comparison of 2,300 bytes every 20 s: 125 B/s (m). While entries
  are missing, at most 1,600 B/s.
* Handshakes of 400 bytes with new partners, one in 10 s: 40 B/s.
* Urgent changes, 5 copies of 85 bytes for 0.18 changes per second: 77 B/s.
* Gossip between zones replaces one in eight of the heartbeats to partners
  and adds no traffic.
* Joining: 1.8 MB once per start; 5,000 starts a day over 25,000 daemons are
  4 B/s for the daemons that send the table.

The sum is 0.9 KB/s.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import random
from typing import Any
from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall._errors import PeerError
from gypsumhall.core import _membership
from gypsumhall.core import _tree
from gypsumhall.core._limits import RetryBudget
from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus
from gypsumhall.net import _messages
from gypsumhall.net._messages import Digest
from gypsumhall.net._protocol import PeerNetwork
from gypsumhall.services._protocols import Events

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable

    from gypsumhall.core._member import Endpoint
    from gypsumhall.kernel import Kernel
    from gypsumhall.net._protocol import Exchange
    from gypsumhall.net._protocol import PeerInfo

_RING_NEIGHBOURS = 3
_PROBE_HELPERS = 3
"""Daemons that are asked to probe a member that does not reply."""
_PUSH_FANOUT = 5
"""Contacts to which a daemon pushes an urgent change when it first receives
it. The pushes miss about exp(-5) of the daemons, which receive the change by
heartbeat."""
_DEPARTED_PROBE_S = 30.0
"""Time in seconds for which the address of a daemon that has left or died is
probed. A daemon that restarts while the platform is down cannot discover
other members by itself."""
_PROBERS_PER_DEPARTED = 2
"""Daemons of the zone that probe the address of each departed member."""
_MAX_DEPARTED_PROBES = 3
"""Departed members that a daemon probes per round at most; a whole zone may
have failed."""
_READY_FORWARDS_PER_S = 5.0
"""Endpoints that have become ready whose entries a daemon pushes at once, per
second on average. A zone that recovers has more of them; heartbeats carry the
rest."""
_MAX_NOTIFIED_SEEDS = 24
"""Seeds to which a daemon that has joined pushes its entry. After a restart of
the whole fleet, each daemon would otherwise know only the few members that it
joined through."""
_SEED_NOTIFICATION_S = 5.0
"""Time in seconds after joining in which own changes are pushed to seeds."""
_ENTRIES_PER_MESSAGE = 512
"""Entries per `Members` message, about 40 KB."""
_MAX_REPAIR_ENTRIES = 400
"""Entries per repair, about 32 KB."""
_COMPARISON_BYTES = 2300
"""Bytes of a comparison of all buckets."""
_REPAIR_BYTES_PER_S = 1600.0
"""Bytes per second that repairs may cost on average."""
_MAX_CONCURRENT_JOINS = 8
"""Joining daemons served at a time; others are redirected to other members."""
_MAX_GOSSIP_AGE_S = 30.0
"""Age in seconds from which a departure received from another table is not
gossiped further."""
_UNREACHABLE_AFTER_FAILURES = 3
"""Consecutive failed heartbeats after which a zone is reported unreachable."""
_RESEEDING_DAEMONS = 4
"""Daemons of a zone that query the seed source per `reseed_interval_s`, on
average."""

DigestProvider = Callable[[], Digest]
DigestCallback = Callable[[str, Digest], None]
SeedSource = Callable[[], Awaitable[Sequence[str]]]


@runtime_checkable
class IdentifiedNetwork(PeerNetwork, Protocol):
    """Network that exposes the identity of this daemon."""

    @property
    def me(self) -> PeerInfo:
        """Identity of this daemon."""
        ...


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Settings of the membership.

    Parameters
    ----------
    seeds : tuple of str
        Peer addresses to join through.
    interval_s : float
        Time between heartbeats in seconds; the time-outs of the failure
        detector are multiples of it.
    jitter_s : float
        Longest random delay in seconds before the first join.
    repair_interval_s : float
        Time in seconds between two comparisons of tables that differ; a
        tenth of it while comparisons yield new entries.
    reseed_interval_s : float
        Time in seconds between attempts to reach seeds that are not in the
        table, so that two groups that formed separately merge.
    """

    seeds: tuple[str, ...] = ()
    interval_s: float = 1.0
    jitter_s: float = 0.5
    repair_interval_s: float = 20.0
    reseed_interval_s: float = 30.0


class MembershipService:
    """Member table and failure detection; implements `Membership`.

    Parameters
    ----------
    settings : MembershipSettings
        Seed addresses and intervals.
    rng : random.Random, optional
        Source of randomness.
    """

    name = 'membership'
    requires: tuple[str, ...] = ('events', 'peers')

    def __init__(
        self,
        settings: MembershipSettings,
        *,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._rng = rng or random.Random()
        self._table = _membership.Table()
        self._queue = _membership.ChangeQueue()
        self._partners = _membership.GossipPartners(8, 10.0)
        self._distant_partners = _membership.GossipPartners(4, 60.0)
        self._contacts: Sequence[Member] = ()
        self._acknowledged_versions: dict[str, int] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._digest_provider: DigestProvider = Digest
        self._digest_callbacks: list[DigestCallback] = []
        self._seed_source: SeedSource | None = None
        self._joined = trio.Event()
        self._active_joins = 0
        self._suggested_peers: tuple[str, ...] = ()
        self._repair_at = 0.0
        self._repair_wait_s = settings.repair_interval_s / 10
        self._repairing = False
        self._zone_failures: dict[str, int] = {}
        # Members of the zone that have left or died recently.
        self._departed_members: dict[str, Member] = {}
        self._notified_seeds: Sequence[str] = ()
        self._notify_seeds_until = 0.0
        self._forward_budget = RetryBudget(0.0, _READY_FORWARDS_PER_S)
        self._me: Member | None = None

    @property
    def table(self) -> _membership.Table:
        """The member table."""
        return self._table

    @property
    def me(self) -> Member:
        """Entry of this daemon; available once the service has started."""
        if self._me is None:
            raise RuntimeError('the service has not started')
        return self._me

    def set_digest_provider(self, provider: DigestProvider) -> None:
        """Set the source of the digests that heartbeats carry.

        Parameters
        ----------
        provider : callable
            Returns a `Digest`; its field `members` is replaced.
        """
        self._digest_provider = provider

    def on_peer_digest(self, callback: DigestCallback) -> None:
        """Call back with the peer address and `Digest` of each heartbeat."""
        self._digest_callbacks.append(callback)

    def set_seed_source(self, source: SeedSource) -> None:
        """Set a coroutine function that returns further seed addresses."""
        self._seed_source = source

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the member table."""
        self._subscribers.append(callback)

    def acknowledged_version(self, member_id: str) -> int:
        """Return the highest version that a member has acknowledged.

        0 when none is known.
        """
        return self._acknowledged_versions.get(member_id, 0)

    def set_endpoint(self, endpoint: Endpoint | None) -> None:
        """Change the endpoint of this daemon and propagate the change.

        A change to ``draining`` is pushed at once.

        Raises
        ------
        RuntimeError
            When the service has not started.
        """
        if endpoint != self.me.endpoint:
            self._update_own_entry(endpoint=endpoint)

    def set_leaving(self) -> None:
        """Mark this daemon as leaving and push the change at once.

        Raises
        ------
        RuntimeError
            When the service has not started.
        """
        if self.me.status is not MemberStatus.LEAVING:
            self._update_own_entry(status=MemberStatus.LEAVING)

    async def wait_joined(self) -> None:
        """Wait until another daemon's table was received.

        Returns at once if no seed address is known.
        """
        await self._joined.wait()

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        self._events = kernel.get('events', Events)
        self._peers = kernel.get('peers', IdentifiedNetwork)
        info = self._peers.me
        self._me = Member(
            info.id,
            info.zone,
            info.address,
            info.incarnation,
            1,
            MemberStatus.ALIVE,
        )
        self._detector = _membership.Detector(
            self._table,
            info.id,
            info.zone,
            interval_s=self._settings.interval_s,
        )
        self._table.merge(self._me, trio.current_time())
        self._peers.on(_messages.Heartbeat, self._on_heartbeat)
        self._peers.on(_messages.Members, self._on_pushed_entries)
        self._peers.on(_messages.MembersPull, self._on_pull)
        self._peers.on(_messages.PingRequest, self._on_ping_request)
        self._peers.on(_messages.Ping, self._on_ping)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._join)
            nursery.start_soon(self._run_rounds)
            task_status.started()

    async def drain(self) -> None:
        """Mark this daemon as leaving and wait for the push to propagate."""
        if self._me is not None:
            self.set_leaving()
            await trio.sleep(0.3 * self._settings.interval_s)

    # Own entry

    def _update_own_entry(self, **changes: Any) -> None:
        me = msgspec.structs.replace(
            self.me, sequence=self.me.sequence + 1, **changes
        )
        self._set_own_entry(me, urgent=_is_urgent(me) or me.is_ready)

    def _set_own_entry(self, me: Member, *, urgent: bool) -> None:
        self._me = me
        self._table.merge(me, trio.current_time())
        self._queue_change(me)
        if urgent:
            self._push_change(me)
        self._notify_subscribers()

    # Changes

    def _merge_entries(
        self,
        members: Iterable[Member],
        *,
        ages: Sequence[int] = (),
        gossip: bool = True,
        pushed: bool = False,
    ) -> None:
        """Merge entries received from other daemons.

        Parameters
        ----------
        members : iterable of Member
            The entries.
        ages : sequence of int
            Seconds since each dead or leaving member was first recorded as
            such, in the order of `members`.
        gossip : bool
            Whether to propagate the changes.
        pushed : bool
            Whether the entries were pushed. Heartbeats must still carry
            them, for daemons that the push has missed.
        """
        now = trio.current_time()
        revision = self._table.revision
        remaining = iter(ages)
        for member in members:
            age = 0
            if member.status in (MemberStatus.DEAD, MemberStatus.LEAVING):
                age = next(remaining, 0)
            if member.id == self.me.id:
                self._refute(member)
                continue
            known = self._table.get(member.id)
            if self._table.merge(member, now, age):
                self._detector.record_change(member, now, own=False)
                self._record_departed(member)
                if gossip and age < _MAX_GOSSIP_AGE_S:
                    self._queue_change(member)
                    if _is_urgent(member) or (
                        member.is_ready
                        and not (known is not None and known.is_ready)
                        and self._forward_budget.retry(now)
                    ):
                        self._push_change(member)
            elif not pushed and self._table.get(member.id) == member:
                self._queue.record_received(member.id)
        if self._table.revision != revision:
            self._notify_subscribers()

    def _refute(self, received: Member) -> None:
        refuted = _membership.refute(self.me, received)
        if refuted is not None:
            self._events.emit(
                'member-refuted',
                status=received.status.name,
                incarnation=refuted.incarnation,
                address=received.peer_address,
            )
            self._set_own_entry(refuted, urgent=False)

    def _merge_detected(self, member: Member) -> None:
        """Merge an entry whose status the own failure detector decided."""
        now = trio.current_time()
        if self._table.merge(member, now):
            self._detector.record_change(member, now, own=True)
            self._record_departed(member)
            self._events.emit(
                f'member-{member.status.name.lower()}',
                member=member.id,
                address=member.peer_address,
            )
            self._queue_change(member)
            self._notify_subscribers()

    def _record_departed(self, member: Member) -> None:
        if member.zone == self.me.zone and not member.is_live:
            self._departed_members[member.id] = member

    def _queue_change(self, member: Member) -> None:
        size = len(self._table.alive(self.me.zone))
        self._queue.add(member.id, size)

    def _notify_subscribers(self) -> None:
        for callback in self._subscribers:
            callback()

    def _push_change(self, member: Member) -> None:
        """Push an urgent change.

        The daemon that it concerns sends it to its contacts and to one
        member of every other zone. Each daemon forwards it to a few contacts
        when it first receives it, and with the probability
        `_cross_zone_share` to another zone.
        """
        contacts = list(self._contacts)
        if len(contacts) < _PUSH_FANOUT:
            # The first round has not run yet, or found few members.
            contacts += self._draw_from_zone(_PUSH_FANOUT)
        if member.id == self.me.id:
            targets = contacts + [
                self._rng.choice(self._table.alive(zone))
                for zone in self._other_zones()
            ]
        else:
            count = min(_PUSH_FANOUT, len(contacts))
            targets = self._rng.sample(contacts, count)
            if self._rng.random() < self._cross_zone_share():
                targets += [
                    item for item in [self._draw_distant_member()] if item
                ]
        addresses = {
            target.peer_address for target in targets if target.id != member.id
        }
        if (
            member.id == self.me.id
            and trio.current_time() < self._notify_seeds_until
        ):
            addresses.update(self._notified_seeds)
        message = _messages.Members((member,))
        for address in sorted(addresses):
            self._peers.post(address, message)

    async def _on_pushed_entries(
        self, exchange: Exchange, message: _messages.Members
    ) -> None:
        self._merge_entries(message.members, ages=message.ages, pushed=True)

    # Heartbeats

    async def _run_rounds(self) -> None:
        interval = self._settings.interval_s
        while True:
            await trio.sleep(interval * self._rng.uniform(0.9, 1.1))
            now = trio.current_time()
            if self._detector.tick(now):
                self._events.emit('membership-paused')
                self._nursery.start_soon(self._refresh_table)
            ring = self._table.neighbours(self.me, _RING_NEIGHBOURS)
            self._detector.watch(ring, now)
            for target in (
                *self._heartbeat_targets(ring, now),
                *self._departed_targets(now),
            ):
                self._nursery.start_soon(self._send_heartbeat, target)
            for member in self._detector.members_to_probe(now):
                self._nursery.start_soon(self._probe_indirectly, member)
            for member in self._detector.expired_suspects(now):
                self._merge_detected(member)
            expired = self._table.expire(now)
            for key in expired:
                self._acknowledged_versions.pop(key, None)
            if expired:
                self._notify_subscribers()

    def _heartbeat_targets(
        self, ring: Sequence[Member], now: float
    ) -> list[Member]:
        near = self._partners.update(
            self._table, self._draw_zone_member, self._rng, now
        )
        far = self._distant_partners.update(
            self._table, self._draw_distant_member, self._rng, now
        )
        contacts = {item.id: item for item in [*ring, *near]}
        self._contacts = list(contacts.values())
        targets = list(ring)
        if far and self._rng.random() < self._cross_zone_share():
            targets.append(self._rng.choice(far))
        else:
            rest = [item for item in near if item not in ring]
            if rest:
                targets.append(self._rng.choice(rest))
        return targets

    def _departed_targets(self, now: float) -> list[Member]:
        """Return departed members that may have restarted.

        Their addresses are probed, as a new process may listen there.
        """
        if not self._departed_members:
            return []
        alive = self._table.alive(self.me.zone)
        used = {item.peer_address for item in alive}
        self._departed_members = {
            member.id: member
            for member in self._departed_members.values()
            if self._table.get(member.id) == member
            and self._table.age(member.id, now) < _DEPARTED_PROBE_S
        }
        candidates = [
            member
            for member in self._departed_members.values()
            if member.peer_address not in used
            and _tree.has_zone_role(
                f'return:{member.id}', self.me.id, alive, _PROBERS_PER_DEPARTED
            )
        ]
        return self._rng.sample(
            candidates, min(_MAX_DEPARTED_PROBES, len(candidates))
        )

    def _cross_zone_share(self) -> float:
        # At least two daemons of a zone contact each other zone per round.
        # In large zones one heartbeat in eight is already more than that.
        zones = len(self._other_zones())
        size = len(self._table.alive(self.me.zone))
        return max(1 / 8, min(1.0, 2 * zones / max(1, size)))

    def _other_zones(self) -> list[str]:
        return [item for item in self._table.zones if item != self.me.zone]

    def _draw_zone_member(self) -> Member | None:
        members = self._table.alive(self.me.zone)
        member = self._rng.choice(members) if members else None
        return None if member is None or member.id == self.me.id else member

    def _draw_from_zone(self, count: int) -> list[Member]:
        members = self._table.alive(self.me.zone)
        drawn = self._rng.sample(members, min(count, len(members)))
        return [item for item in drawn if item.id != self.me.id]

    def _draw_distant_member(self) -> Member | None:
        zones = self._other_zones()
        if not zones:
            return None
        return self._rng.choice(self._table.alive(self._rng.choice(zones)))

    def _digest(self) -> Digest:
        return msgspec.structs.replace(
            self._digest_provider(), members=self._table.digest
        )

    def _take_changes(self, known: Container[str] = ()) -> tuple[Member, ...]:
        entries = (
            self._table.get(key)
            for key in self._queue.take(trio.current_time(), known)
        )
        return tuple(item for item in entries if item is not None)

    def _build_heartbeat(
        self, target: Member, members: tuple[Member, ...]
    ) -> _messages.Heartbeat:
        return _messages.Heartbeat(
            self.me,
            self._digest(),
            members,
            self._events.clock.now(),
            _membership.checksum(target),
        )

    async def _send_heartbeat(self, member: Member) -> None:
        members = self._take_changes()
        if member.status is MemberStatus.SUSPECT:
            # The member can refute the suspicion only if it receives it.
            members = (member, *members)
        heartbeat = self._build_heartbeat(member, members)
        try:
            reply = await self._peers.request(
                member.peer_address,
                heartbeat,
                timeout_s=self._settings.interval_s,
            )
        except PeerError:
            self._record_zone_contact(member.zone, reached=False)
            return
        if isinstance(reply, _messages.HeartbeatEcho):
            reply = _expand_echo(reply, member, heartbeat.digest)
        if isinstance(reply, _messages.HeartbeatReply):
            self._record_zone_contact(member.zone, reached=True)
            self._process_heartbeat(reply)

    async def _on_heartbeat(
        self, exchange: Exchange, message: _messages.Heartbeat
    ) -> None:
        self._process_heartbeat(message)
        members = self._take_changes({item.id for item in message.members})
        known = self._table.get(message.sender.id)
        if known is not None and _membership.newer(known, message.sender):
            # The sender must receive the newer entry in order to refute it.
            members = (known, *members)
        digest, time = self._digest(), self._events.clock.now()
        if message.receiver_checksum == _membership.checksum(self.me):
            await exchange.send(
                _messages.HeartbeatEcho(
                    digest.members,
                    time,
                    None if _is_same_state(digest, message.digest) else digest,
                    members,
                )
            )
            return
        await exchange.send(
            _messages.HeartbeatReply(self.me, digest, members, time)
        )

    def _process_heartbeat(
        self, message: _messages.Heartbeat | _messages.HeartbeatReply
    ) -> None:
        sender, digest = message.sender, message.digest
        if sender.id == self.me.id:
            self._refute(sender)
            return
        now = trio.current_time()
        self._events.clock.observe(message.time)
        self._detector.record_received(sender.id, now)
        if digest.version > self.acknowledged_version(sender.id):
            self._acknowledged_versions[sender.id] = digest.version
        self._merge_entries((sender, *message.members))
        for callback in self._digest_callbacks:
            callback(sender.peer_address, digest)
        if (
            digest.members != self._table.digest
            and now >= self._repair_at
            and not self._repairing
        ):
            self._nursery.start_soon(self._repair, sender.peer_address)

    def _record_zone_contact(self, zone: str, *, reached: bool) -> None:
        if zone == self.me.zone:
            return
        failures = self._zone_failures.get(zone, 0)
        if reached and failures >= _UNREACHABLE_AFTER_FAILURES:
            self._events.emit('zone-reachable', zone=zone)
        if not reached and failures + 1 == _UNREACHABLE_AFTER_FAILURES:
            self._events.emit('zone-unreachable', zone=zone)
        self._zone_failures[zone] = 0 if reached else failures + 1

    # Failure detection

    async def _probe_indirectly(self, member: Member) -> None:
        """Ask other members to probe one that does not reply."""
        helpers = [
            item
            for item in self._table.alive(self.me.zone)
            if item.id not in (self.me.id, member.id)
        ]
        if len(helpers) < _PROBE_HELPERS:
            helpers += [
                self._rng.choice(self._table.alive(zone))
                for zone in self._other_zones()
            ]
        helpers = self._rng.sample(helpers, min(_PROBE_HELPERS, len(helpers)))
        results: list[bool] = []

        async def request_probe(helper: Member) -> None:
            try:
                reply = await self._peers.request(
                    helper.peer_address,
                    _messages.PingRequest(member.peer_address, member.id),
                    timeout_s=0.8 * self._settings.interval_s,
                )
            except PeerError:
                return
            if isinstance(reply, _messages.PingResult):
                results.append(reply.reachable)

        async with trio.open_nursery() as nursery:
            for helper in helpers:
                nursery.start_soon(request_probe, helper)
        suspect = self._detector.evaluate_probes(
            member,
            asked=len(helpers),
            replied=len(results),
            reached=sum(results),
            now=trio.current_time(),
        )
        if suspect is not None:
            self._merge_detected(suspect)

    async def _on_ping_request(
        self, exchange: Exchange, message: _messages.PingRequest
    ) -> None:
        try:
            reply = await self._peers.request(
                message.target,
                _messages.Ping(),
                timeout_s=0.6 * self._settings.interval_s,
            )
        except PeerError:
            reply = None
        # Another daemon may have taken over the address.
        reachable = isinstance(reply, _messages.Pong) and (
            not message.member or reply.member in ('', message.member)
        )
        await exchange.send(_messages.PingResult(reachable))

    async def _on_ping(
        self, exchange: Exchange, message: _messages.Ping
    ) -> None:
        await exchange.send(_messages.Pong(self.me.id))

    # Repair and join

    async def _refresh_table(self) -> None:
        for member in self._rng.sample(
            list(self._contacts), min(3, len(self._contacts))
        ):
            if await self._repair(member.peer_address):
                self._detector.record_refresh(trio.current_time())
                return

    async def _repair(self, address: str) -> bool:
        """Pull the entries of the buckets that differ."""
        revision = self._table.revision
        self._repairing = True
        try:
            count = await self._pull(
                address, tuple(self._table.buckets(trio.current_time()))
            )
        finally:
            self._repairing = False
        # After a repair that changed the table, the next one starts sooner.
        max_wait_s = self._settings.repair_interval_s
        if self._table.revision != revision:
            self._repair_wait_s = max_wait_s / 10
        else:
            self._repair_wait_s = min(max_wait_s, 2 * self._repair_wait_s)
        size = _COMPARISON_BYTES + (count or 0) * _membership.ENTRY_BYTES
        wait_s = max(self._repair_wait_s, size / _REPAIR_BYTES_PER_S)
        self._repair_at = trio.current_time() + wait_s * self._rng.uniform(
            0.75, 1.25
        )
        return count is not None

    async def _pull(
        self, address: str, buckets: tuple[int, ...]
    ) -> int | None:
        """Return the number of entries received, or None after a failure.

        Empty `buckets` request the whole table, as a joining daemon does.
        """
        count = 0
        try:
            with trio.fail_after(10 * self._settings.interval_s):
                async with self._peers.open(
                    address, _messages.MembersPull(buckets)
                ) as exchange:
                    while True:
                        message = await exchange.receive()
                        if isinstance(message, _messages.Busy):
                            self._suggested_peers = (
                                message.alternative_addresses
                            )
                        if not isinstance(message, _messages.Members):
                            return None
                        count += len(message.members)
                        self._merge_entries(
                            message.members,
                            ages=message.ages,
                            gossip=bool(buckets),
                        )
                        if not message.more:
                            return count
        except (PeerError, trio.EndOfChannel, trio.TooSlowError):
            return None

    async def _on_pull(
        self, exchange: Exchange, message: _messages.MembersPull
    ) -> None:
        now = trio.current_time()
        joining = not message.buckets
        if joining and self._active_joins >= _MAX_CONCURRENT_JOINS:
            others = tuple(item.peer_address for item in self._contacts)
            await exchange.send(_messages.Busy(others))
            return
        members = list(self._table.differing_entries(message.buckets, now))
        if not joining and len(members) > _MAX_REPAIR_ENTRIES:
            members = self._rng.sample(members, _MAX_REPAIR_ENTRIES)
        self._active_joins += joining
        try:
            for start in range(0, max(1, len(members)), _ENTRIES_PER_MESSAGE):
                chunk = members[start : start + _ENTRIES_PER_MESSAGE]
                ages = tuple(
                    int(self._table.age(item.id, now))
                    for item in chunk
                    if item.status in (MemberStatus.DEAD, MemberStatus.LEAVING)
                )
                more = start + _ENTRIES_PER_MESSAGE < len(members)
                await exchange.send(
                    _messages.Members(tuple(chunk), more, ages)
                )
        finally:
            self._active_joins -= joining

    async def _find_seeds(self, *, query_source: bool) -> list[str]:
        """Return addresses to join through, in random order.

        Parameters
        ----------
        query_source : bool
            Whether to call the seed source as well, which reads the
            platform.
        """
        seeds = {*self._settings.seeds, *self._suggested_peers}
        if query_source and self._seed_source is not None:
            try:
                seeds.update(await self._seed_source())
            except Exception as error:
                # Joining must still work while the platform is unavailable.
                self._events.emit('seeds-unavailable', detail=str(error))
        seeds.discard(self.me.peer_address)
        addresses = sorted(seeds)
        self._rng.shuffle(addresses)
        return addresses

    async def _join(self) -> None:
        settings = self._settings
        await trio.sleep(self._rng.uniform(0, settings.jitter_s))
        delay = settings.interval_s / 2
        # After a zone outage, 1,250 daemons would read the platform at once.
        query_source = not settings.seeds
        while not self._joined.is_set():
            seeds = await self._find_seeds(query_source=query_source)
            query_source = True
            for address in seeds:
                if await self._pull(address, ()) is not None:
                    self._joined.set()
                    break
            else:
                if not seeds:
                    self._joined.set()
                await trio.sleep(delay * self._rng.uniform(0.5, 1.5))
                delay = min(2 * delay, 5 * settings.interval_s)
        self._events.emit('membership-joined', members=len(self._table))
        self._queue_change(self.me)
        self._notified_seeds = tuple(seeds[:_MAX_NOTIFIED_SEEDS])
        self._notify_seeds_until = trio.current_time() + _SEED_NOTIFICATION_S
        self._push_change(self.me)
        while True:
            await trio.sleep(
                settings.reseed_interval_s * self._rng.uniform(0.5, 1.5)
            )
            known = {
                item.peer_address
                for item in self._table.members()
                if item.status is MemberStatus.ALIVE
            }
            # One daemon that finds a member of a separate group is enough to
            # merge both; all 25,000 daemons together would read the platform
            # 800 times a second.
            size = len(self._table.alive(self.me.zone))
            query_source = self._rng.random() * size < _RESEEDING_DAEMONS
            for address in await self._find_seeds(query_source=query_source):
                if address not in known:
                    await self._pull(
                        address,
                        tuple(self._table.buckets(trio.current_time())),
                    )


def _is_same_state(one: Digest, other: Digest) -> bool:
    return one == msgspec.structs.replace(other, members=one.members)


def _expand_echo(
    echo: _messages.HeartbeatEcho, member: Member, sent: Digest
) -> _messages.HeartbeatReply:
    """Return the full reply that an echo abbreviates.

    The checksum in the heartbeat covers id and incarnation, so only the
    daemon with exactly this entry replies with an echo. `sent` is the digest
    of the heartbeat, which an echo without a digest repeats.
    """
    digest = msgspec.structs.replace(
        echo.digest or sent, members=echo.members_digest
    )
    return _messages.HeartbeatReply(member, digest, echo.members, echo.time)


def _is_urgent(member: Member) -> bool:
    return member.status is MemberStatus.LEAVING or (
        member.status is MemberStatus.ALIVE
        and member.endpoint is not None
        and member.endpoint.state is EndpointState.DRAINING
    )
