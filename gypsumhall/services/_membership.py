"""Service ``membership``: member table, gossip and failure detection.

Bytes that a daemon sends per second, with 1,250 members in the zone, 25,000
in total and 0.3 changes per second in the whole fleet. A daemon receives as
much as it sends. Sizes and the figures marked (m) are measured by
``benchmarks/bench_network.py``, the latter with 240 simulated daemons; the
others are calculated. Heartbeats are measured with 36 real daemons by
``benchmarks/bench_capacity.py``.

* Heartbeats: 113 bytes each, 3 to ring neighbours and 1 to a partner, and as
  many answers of 28 bytes: 565 B/s.
* Changes on heartbeats, 71 bytes each: 155 B/s (m); 1,020 B/s with 3 changes
  per second (m); the queue stops at 600 B/s after a burst of 128 KiB.
* Repair, a comparison of 2,300 bytes every 20 s: 125 B/s (m). While entries
  are in fact missing, at most 1,600 B/s.
* Handshakes of 400 bytes with new partners, one in 10 s: 40 B/s.
* Urgent changes, 5 copies of 85 bytes for 0.18 changes per second: 77 B/s.
* Gossip between zones replaces one in eight of the heartbeats to partners
  and has no bytes of its own.
* Joining: 1.8 MB once per start; 5,000 starts a day over 25,000 daemons are
  4 B/s for those that answer.

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

_RING = 3
_HELPERS = 3
_URGENT = 5
"""Contacts that get an urgent change from a daemon that hears of it first.
About exp(-5) of the daemons are missed and hear of it by heartbeat."""
_RETURN_S = 30.0
"""Time in seconds in which a daemon that has left or died is looked for at its
address. One that starts while the platform is down finds nobody by itself."""
_SEARCHERS = 2
"""Daemons of the zone that look for each of them."""
_SEARCHED = 3
"""Most of them that a daemon looks for in a round, as a zone may be away."""
_FORWARDS_PER_S = 5.0
"""Endpoints that have become ready which a daemon passes on at once, per
second on average. More come when a zone returns; heartbeats carry those."""
_GREETED = 24
"""Seeds that a daemon which starts tells of itself. After the loss of all
daemons each of them would know only those that it happened to ask."""
_START_S = 5.0
"""Time in seconds after the start in which seeds are told of changes."""
_CHUNK = 512
"""Entries per `Members` message, about 40 KB."""
_REPAIR_ENTRIES = 400
"""Entries per repair, about 32 KB."""
_REPAIR_BYTES = 2300
"""Bytes of a comparison of all buckets."""
_REPAIR_RATE = 1600.0
"""Bytes per second that repairs may cost on average."""
_JOINS = 8
"""Joining daemons served at a time; others are sent elsewhere."""
_FRESH_S = 30.0
"""Deaths learned later than this are not passed on as news."""
_ZONE_FAILURES = 3
_RESEEDERS = 4
"""Daemons of a zone that look for unknown seeds per `reseed_interval_s`, on average."""

DigestProvider = Callable[[], Digest]
DigestCallback = Callable[[str, Digest], None]
SeedSource = Callable[[], Awaitable[Sequence[str]]]


@runtime_checkable
class IdentifiedNetwork(PeerNetwork, Protocol):
    """Network that knows the daemon's own identity."""

    @property
    def me(self) -> PeerInfo:
        """Own identity."""
        ...


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Settings of the membership.

    Parameters
    ----------
    seeds : tuple of str
        Peer addresses to join through.
    interval_s : float
        Time between heartbeats in seconds; all other times of the failure
        detector are multiples of it.
    jitter_s : float
        Longest random delay in seconds before the first join.
    repair_interval_s : float
        Time in seconds between two comparisons of tables that differ; a
        tenth of it while comparisons bring entries.
    reseed_interval_s : float
        Time in seconds between attempts to reach seeds that are not in the
        table, so that two groups that started apart find each other.
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
        Seeds and times.
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
        self._distant = _membership.GossipPartners(4, 60.0)
        self._contacts: Sequence[Member] = ()
        self._acknowledged: dict[str, int] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._digest_provider: DigestProvider = Digest
        self._digest_callbacks: list[DigestCallback] = []
        self._seed_source: SeedSource | None = None
        self._joined = trio.Event()
        self._joins = 0
        self._hints: tuple[str, ...] = ()
        self._repair_at = 0.0
        self._repair_wait_s = settings.repair_interval_s / 10
        self._repairing = False
        self._zone_failures: dict[str, int] = {}
        # Members of the zone that have left or died a short time ago.
        self._gone: dict[str, Member] = {}
        self._greeted: Sequence[str] = ()
        self._greet_until = 0.0
        self._forwards = RetryBudget(0.0, _FORWARDS_PER_S)
        self._me: Member | None = None

    @property
    def table(self) -> _membership.Table:
        """The member table."""
        return self._table

    @property
    def me(self) -> Member:
        """Entry of this daemon; known as soon as the service has started."""
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
        """Return the highest version that a member is known to have held."""
        return self._acknowledged.get(member_id, 0)

    def set_endpoint(self, endpoint: Endpoint | None) -> None:
        """Change the endpoint of this daemon and spread the change.

        A change to ``draining`` is pushed at once.

        Raises
        ------
        RuntimeError
            When the service has not started.
        """
        if endpoint != self.me.endpoint:
            self._change_me(endpoint=endpoint)

    def set_leaving(self) -> None:
        """Mark this daemon as leaving and spread the change at once.

        Raises
        ------
        RuntimeError
            When the service has not started.
        """
        if self.me.status is not MemberStatus.LEAVING:
            self._change_me(status=MemberStatus.LEAVING)

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
        self._peers.on(_messages.Members, self._on_urgent)
        self._peers.on(_messages.MembersPull, self._on_pull)
        self._peers.on(_messages.PingRequest, self._on_ping_request)
        self._peers.on(_messages.Ping, self._on_ping)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._join)
            nursery.start_soon(self._rounds)
            task_status.started()

    async def drain(self) -> None:
        """Mark this daemon as leaving and let the change spread."""
        if self._me is not None:
            self.set_leaving()
            await trio.sleep(0.3 * self._settings.interval_s)

    # Own entry

    def _change_me(self, **changes: Any) -> None:
        me = msgspec.structs.replace(
            self.me, sequence=self.me.sequence + 1, **changes
        )
        self._set_me(me, urgent=_is_urgent(me) or me.is_ready)

    def _set_me(self, me: Member, *, urgent: bool) -> None:
        self._me = me
        self._table.merge(me, trio.current_time())
        self._news(me)
        if urgent:
            self._spread(me)
        self._notify()

    # Changes

    def _apply(
        self,
        members: Iterable[Member],
        *,
        ages: Sequence[int] = (),
        news: bool = True,
        urgent: bool = False,
    ) -> None:
        """Merge entries of other tables.

        Parameters
        ----------
        members : iterable of Member
            The entries.
        ages : sequence of int
            Seconds for which the dead and leaving ones are known as such.
        news : bool
            Whether to pass changes on to others.
        urgent : bool
            Whether they were pushed. Heartbeats must still carry them, for
            those that the push has missed.
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
                self._note_gone(member)
                if news and age < _FRESH_S:
                    self._news(member)
                    if _is_urgent(member) or (
                        member.is_ready
                        and not (known is not None and known.is_ready)
                        and self._forwards.retry(now)
                    ):
                        self._spread(member)
            elif not urgent and self._table.get(member.id) == member:
                self._queue.record_received(member.id)
        if self._table.revision != revision:
            self._notify()

    def _refute(self, seen: Member) -> None:
        mine = _membership.refute(self.me, seen)
        if mine is not None:
            self._events.emit(
                'member-refuted',
                status=seen.status.name,
                incarnation=mine.incarnation,
                address=seen.peer_address,
            )
            self._set_me(mine, urgent=False)

    def _judge(self, member: Member) -> None:
        """Enter a verdict of the own failure detector."""
        now = trio.current_time()
        if self._table.merge(member, now):
            self._detector.record_change(member, now, own=True)
            self._note_gone(member)
            self._events.emit(
                f'member-{member.status.name.lower()}',
                member=member.id,
                address=member.peer_address,
            )
            self._news(member)
            self._notify()

    def _note_gone(self, member: Member) -> None:
        if member.zone == self.me.zone and not member.is_live:
            self._gone[member.id] = member

    def _news(self, member: Member) -> None:
        size = len(self._table.alive(self.me.zone))
        self._queue.add(member.id, size)

    def _notify(self) -> None:
        for callback in self._subscribers:
            callback()

    def _spread(self, member: Member) -> None:
        """Push an urgent change.

        The daemon that it concerns tells its contacts and a member of every
        other zone. Each daemon passes it on to a few contacts when it first
        hears of it, and now and then to another zone.
        """
        contacts = list(self._contacts)
        if len(contacts) < _URGENT:
            # The first round has not been, or knew few others.
            contacts += self._draw_several(_URGENT)
        if member.id == self.me.id:
            targets = contacts + [
                self._rng.choice(self._table.alive(zone))
                for zone in self._other_zones()
            ]
        else:
            count = min(_URGENT, len(contacts))
            targets = self._rng.sample(contacts, count)
            if self._rng.random() < self._distant_share():
                targets += [item for item in [self._draw_distant()] if item]
        addresses = {
            target.peer_address for target in targets if target.id != member.id
        }
        if member.id == self.me.id and trio.current_time() < self._greet_until:
            addresses.update(self._greeted)
        message = _messages.Members((member,))
        for address in sorted(addresses):
            self._peers.post(address, message)

    async def _on_urgent(
        self, exchange: Exchange, message: _messages.Members
    ) -> None:
        self._apply(message.members, ages=message.ages, urgent=True)

    # Heartbeats

    async def _rounds(self) -> None:
        interval = self._settings.interval_s
        while True:
            await trio.sleep(interval * self._rng.uniform(0.9, 1.1))
            now = trio.current_time()
            if self._detector.tick(now):
                self._events.emit('membership-paused')
                self._nursery.start_soon(self._refresh)
            ring = self._table.neighbours(self.me, _RING)
            self._detector.watch(ring, now)
            for target in (*self._targets(ring, now), *self._absent(now)):
                self._nursery.start_soon(self._beat, target)
            for member in self._detector.members_to_probe(now):
                self._nursery.start_soon(self._check, member)
            for member in self._detector.expired_suspects(now):
                self._judge(member)
            expired = self._table.expire(now)
            for key in expired:
                self._acknowledged.pop(key, None)
            if expired:
                self._notify()

    def _targets(self, ring: Sequence[Member], now: float) -> list[Member]:
        near = self._partners.update(
            self._table, self._draw_near, self._rng, now
        )
        far = self._distant.update(
            self._table, self._draw_distant, self._rng, now
        )
        contacts = {item.id: item for item in [*ring, *near]}
        self._contacts = list(contacts.values())
        targets = list(ring)
        if far and self._rng.random() < self._distant_share():
            targets.append(self._rng.choice(far))
        else:
            rest = [item for item in near if item not in ring]
            if rest:
                targets.append(self._rng.choice(rest))
        return targets

    def _absent(self, now: float) -> list[Member]:
        """Return members whose next process may be at their address."""
        if not self._gone:
            return []
        alive = self._table.alive(self.me.zone)
        used = {item.peer_address for item in alive}
        self._gone = {
            member.id: member
            for member in self._gone.values()
            if self._table.get(member.id) == member
            and self._table.age(member.id, now) < _RETURN_S
        }
        absent = [
            member
            for member in self._gone.values()
            if member.peer_address not in used
            and _tree.has_zone_role(
                f'return:{member.id}', self.me.id, alive, _SEARCHERS
            )
        ]
        return self._rng.sample(absent, min(_SEARCHED, len(absent)))

    def _distant_share(self) -> float:
        # At least two daemons of a zone talk to each other zone per round,
        # which matters in small zones only.
        zones = len(self._other_zones())
        size = len(self._table.alive(self.me.zone))
        return max(1 / 8, min(1.0, 2 * zones / max(1, size)))

    def _other_zones(self) -> list[str]:
        return [item for item in self._table.zones if item != self.me.zone]

    def _draw_near(self) -> Member | None:
        members = self._table.alive(self.me.zone)
        member = self._rng.choice(members) if members else None
        return None if member is None or member.id == self.me.id else member

    def _draw_several(self, count: int) -> list[Member]:
        members = self._table.alive(self.me.zone)
        drawn = self._rng.sample(members, min(count, len(members)))
        return [item for item in drawn if item.id != self.me.id]

    def _draw_distant(self) -> Member | None:
        zones = self._other_zones()
        if not zones:
            return None
        return self._rng.choice(self._table.alive(self._rng.choice(zones)))

    def _digest(self) -> Digest:
        return msgspec.structs.replace(
            self._digest_provider(), members=self._table.digest
        )

    def _changes(self, known: Container[str] = ()) -> tuple[Member, ...]:
        found = (
            self._table.get(key)
            for key in self._queue.take(trio.current_time(), known)
        )
        return tuple(item for item in found if item is not None)

    def _heartbeat(
        self, target: Member, members: tuple[Member, ...]
    ) -> _messages.Heartbeat:
        return _messages.Heartbeat(
            self.me,
            self._digest(),
            members,
            self._events.clock.now(),
            _membership.checksum(target),
        )

    async def _beat(self, member: Member) -> None:
        members = self._changes()
        if member.status is MemberStatus.SUSPECT:
            # Without hearing of the suspicion it could not refute it.
            members = (member, *members)
        heartbeat = self._heartbeat(member, members)
        try:
            reply = await self._peers.request(
                member.peer_address,
                heartbeat,
                timeout_s=self._settings.interval_s,
            )
        except PeerError:
            self._note_zone(member.zone, reached=False)
            return
        if isinstance(reply, _messages.HeartbeatEcho):
            reply = _expand(reply, member, heartbeat.digest)
        if isinstance(reply, _messages.HeartbeatReply):
            self._note_zone(member.zone, reached=True)
            self._hear(reply)

    async def _on_heartbeat(
        self, exchange: Exchange, message: _messages.Heartbeat
    ) -> None:
        self._hear(message)
        members = self._changes({item.id for item in message.members})
        known = self._table.get(message.sender.id)
        if known is not None and _membership.newer(known, message.sender):
            # The sender has to refute what is told about it.
            members = (known, *members)
        digest, time = self._digest(), self._events.clock.now()
        if message.receiver_checksum == _membership.checksum(self.me):
            await exchange.send(
                _messages.HeartbeatEcho(
                    digest.members,
                    time,
                    None if _same_state(digest, message.digest) else digest,
                    members,
                )
            )
            return
        await exchange.send(
            _messages.HeartbeatReply(self.me, digest, members, time)
        )

    def _hear(
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
            self._acknowledged[sender.id] = digest.version
        self._apply((sender, *message.members))
        for callback in self._digest_callbacks:
            callback(sender.peer_address, digest)
        if (
            digest.members != self._table.digest
            and now >= self._repair_at
            and not self._repairing
        ):
            self._nursery.start_soon(self._repair, sender.peer_address)

    def _note_zone(self, zone: str, *, reached: bool) -> None:
        if zone == self.me.zone:
            return
        failures = self._zone_failures.get(zone, 0)
        if reached and failures >= _ZONE_FAILURES:
            self._events.emit('zone-reachable', zone=zone)
        if not reached and failures + 1 == _ZONE_FAILURES:
            self._events.emit('zone-unreachable', zone=zone)
        self._zone_failures[zone] = 0 if reached else failures + 1

    # Failure detection

    async def _check(self, member: Member) -> None:
        """Let other members try to reach a silent one."""
        helpers = [
            item
            for item in self._table.alive(self.me.zone)
            if item.id not in (self.me.id, member.id)
        ]
        if len(helpers) < _HELPERS:
            helpers += [
                self._rng.choice(self._table.alive(zone))
                for zone in self._other_zones()
            ]
        helpers = self._rng.sample(helpers, min(_HELPERS, len(helpers)))
        results: list[bool] = []

        async def ask(helper: Member) -> None:
            try:
                answer = await self._peers.request(
                    helper.peer_address,
                    _messages.PingRequest(member.peer_address, member.id),
                    timeout_s=0.8 * self._settings.interval_s,
                )
            except PeerError:
                return
            if isinstance(answer, _messages.PingResult):
                results.append(answer.reachable)

        async with trio.open_nursery() as nursery:
            for helper in helpers:
                nursery.start_soon(ask, helper)
        suspect = self._detector.evaluate_probes(
            member,
            asked=len(helpers),
            replied=len(results),
            reached=sum(results),
            now=trio.current_time(),
        )
        if suspect is not None:
            self._judge(suspect)

    async def _on_ping_request(
        self, exchange: Exchange, message: _messages.PingRequest
    ) -> None:
        try:
            answer = await self._peers.request(
                message.target,
                _messages.Ping(),
                timeout_s=0.6 * self._settings.interval_s,
            )
        except PeerError:
            answer = None
        # Another daemon may have taken over the address.
        reachable = isinstance(answer, _messages.Pong) and (
            not message.member or answer.member in ('', message.member)
        )
        await exchange.send(_messages.PingResult(reachable))

    async def _on_ping(
        self, exchange: Exchange, message: _messages.Ping
    ) -> None:
        await exchange.send(_messages.Pong(self.me.id))

    # Repair and join

    async def _refresh(self) -> None:
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
        # While repairs bring something, the next one follows early.
        longest = self._settings.repair_interval_s
        if self._table.revision != revision:
            self._repair_wait_s = longest / 10
        else:
            self._repair_wait_s = min(longest, 2 * self._repair_wait_s)
        cost = _REPAIR_BYTES + (count or 0) * _membership.ENTRY_BYTES
        wait = max(self._repair_wait_s, cost / _REPAIR_RATE)
        self._repair_at = trio.current_time() + wait * self._rng.uniform(
            0.75, 1.25
        )
        return count is not None

    async def _pull(
        self, address: str, buckets: tuple[int, ...]
    ) -> int | None:
        """Return the number of entries received; None after a failure."""
        count = 0
        try:
            with trio.fail_after(10 * self._settings.interval_s):
                async with self._peers.open(
                    address, _messages.MembersPull(buckets)
                ) as exchange:
                    while True:
                        message = await exchange.receive()
                        if isinstance(message, _messages.Busy):
                            self._hints = message.alternative_addresses
                        if not isinstance(message, _messages.Members):
                            return None
                        count += len(message.members)
                        self._apply(
                            message.members,
                            ages=message.ages,
                            news=bool(buckets),
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
        if joining and self._joins >= _JOINS:
            others = tuple(item.peer_address for item in self._contacts)
            await exchange.send(_messages.Busy(others))
            return
        members = list(self._table.differing_entries(message.buckets, now))
        if not joining and len(members) > _REPAIR_ENTRIES:
            members = self._rng.sample(members, _REPAIR_ENTRIES)
        self._joins += joining
        try:
            for start in range(0, max(1, len(members)), _CHUNK):
                chunk = members[start : start + _CHUNK]
                ages = tuple(
                    int(self._table.age(item.id, now))
                    for item in chunk
                    if item.status in (MemberStatus.DEAD, MemberStatus.LEAVING)
                )
                more = start + _CHUNK < len(members)
                await exchange.send(
                    _messages.Members(tuple(chunk), more, ages)
                )
        finally:
            self._joins -= joining

    async def _seeds(self, *, look_up: bool) -> list[str]:
        """Return addresses to join through, in random order.

        Parameters
        ----------
        look_up : bool
            Whether to ask the seed source as well, which reads the platform.
        """
        seeds = {*self._settings.seeds, *self._hints}
        if look_up and self._seed_source is not None:
            try:
                seeds.update(await self._seed_source())
            except Exception as error:
                # Joining must go on without the platform.
                self._events.emit('seeds-unavailable', detail=str(error))
        seeds.discard(self.me.peer_address)
        found = sorted(seeds)
        self._rng.shuffle(found)
        return found

    async def _join(self) -> None:
        settings = self._settings
        await trio.sleep(self._rng.uniform(0, settings.jitter_s))
        delay = settings.interval_s / 2
        # When a zone returns, 1,250 daemons would read the platform at once.
        look_up = not settings.seeds
        while not self._joined.is_set():
            seeds = await self._seeds(look_up=look_up)
            look_up = True
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
        self._news(self.me)
        self._greeted = tuple(seeds[:_GREETED])
        self._greet_until = trio.current_time() + _START_S
        self._spread(self.me)
        while True:
            await trio.sleep(
                settings.reseed_interval_s * self._rng.uniform(0.5, 1.5)
            )
            known = {
                item.peer_address
                for item in self._table.members()
                if item.status is MemberStatus.ALIVE
            }
            # A group that started apart is found by any one of its members;
            # all 25,000 together would read the platform 800 times a second.
            size = len(self._table.alive(self.me.zone))
            look_up = self._rng.random() * size < _RESEEDERS
            for address in await self._seeds(look_up=look_up):
                if address not in known:
                    await self._pull(
                        address,
                        tuple(self._table.buckets(trio.current_time())),
                    )


def _same_state(one: Digest, other: Digest) -> bool:
    return one == msgspec.structs.replace(other, members=one.members)


def _expand(
    echo: _messages.HeartbeatEcho, member: Member, sent: Digest
) -> _messages.HeartbeatReply:
    """Return the reply that an echo of a heartbeat with a digest stands for.

    The checksum in the heartbeat covers id and incarnation, so only the
    daemon with exactly this entry answers with an echo.
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
