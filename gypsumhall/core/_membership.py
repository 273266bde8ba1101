"""Member table, change propagation and failure detection, without I/O.

Entries are ordered by (incarnation, sequence, status). Each table keeps the
highest entry per member that it has received. Tables that have received the
same entries are therefore equal, regardless of order and duplicates.

A daemon's failure detector covers only members of its own zone. Entries of
an unreachable zone are left unchanged: a partition between zones does not
show whether the daemons behind it are alive, and removing up to 1,250
entries one by one on both sides and adding them again would cost each daemon
of the fleet some 200 KB per partition. Calls to an unreachable zone fail at
the connection and are routed elsewhere. The members of that zone continue to
monitor each other, and their status changes arrive with the first exchange
after the partition.
"""

from __future__ import annotations

from bisect import bisect_right
import hashlib
import heapq
import math
from typing import NamedTuple
from typing import TYPE_CHECKING
import zlib

import msgspec

from gypsumhall.core._member import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Iterable
    from collections.abc import Sequence
    import random

    from gypsumhall.core._member import Member

BUCKETS = 256
"""Number of buckets whose digests tables compare to repair differences."""
RETENTION_S = 600.0
"""Time in seconds for which dead and leaving entries are kept. The owners of
idempotency keys are derived from them for as long as keys are kept."""
MASKED = -1
"""Value of a bucket that is excluded from the comparison."""
ENTRY_BYTES = 80
"""Typical encoded size of an entry in bytes, for limits in bytes."""

_DEPARTED = frozenset({MemberStatus.DEAD, MemberStatus.LEAVING})
_ENCODER = msgspec.msgpack.Encoder()


def position(member_id: str) -> int:
    """Return the position of a member on its zone's hash ring, 64 bits."""
    value = hashlib.blake2b(member_id.encode(), digest_size=8).digest()
    return int.from_bytes(value, 'big')


def checksum(member: Member) -> int:
    """Return a checksum of an entry, 32 bits and never 0."""
    return zlib.crc32(_ENCODER.encode(member)) or 1


def _rank(member: Member) -> tuple[int, int, int]:
    return (member.incarnation, member.sequence, int(member.status))


def newer(one: Member, other: Member) -> bool:
    """Return whether `one` replaces `other`.

    Entries of equal rank differ only if two daemons use the same id. Their
    encodings are then compared, so that all tables choose the same entry.
    """
    first, second = _rank(one), _rank(other)
    if first != second:
        return first > second
    return one != other and _ENCODER.encode(one) > _ENCODER.encode(other)


class _Record:
    """An entry with its ring position, its hash and when it departed."""

    __slots__ = ('departed_at', 'hash', 'member', 'position')

    def __init__(self, member: Member, ring_position: int) -> None:
        self.member = member
        self.position = ring_position
        self.hash = 0
        self.departed_at = math.inf


class Table:
    """Member table; implements `MemberTable`.

    The digests exclude dead and leaving entries, because each table removes
    them at a slightly different time. A table that has missed a death still
    has a different digest, since it lists the member as alive.
    """

    __slots__ = (
        '_alive',
        '_buckets',
        '_by_service',
        '_by_zone',
        '_changed_at',
        '_departed',
        '_digest',
        '_endpoints',
        '_records',
        '_revision',
        '_rings',
    )

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._departed: set[str] = set()
        self._by_zone: dict[str, dict[str, _Record]] = {}
        self._by_service: dict[str, dict[str, _Record]] = {}
        self._alive: dict[str, tuple[Member, ...]] = {}
        self._rings: dict[str, tuple[list[int], list[Member]]] = {}
        self._endpoints: dict[str, tuple[Member, ...]] = {}
        self._buckets = [0] * BUCKETS
        self._changed_at = [-math.inf] * BUCKETS
        self._digest = 0
        self._revision = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def digest(self) -> int:
        """Digest of all alive and suspect entries, 64 bits."""
        return self._digest

    @property
    def revision(self) -> int:
        """Counter that increases with every change of any entry."""
        return self._revision

    @property
    def zones(self) -> Sequence[str]:
        """Zones with an alive or suspect member, sorted."""
        return sorted(self._by_zone)

    def get(self, member_id: str) -> Member | None:
        """Return an entry by id."""
        record = self._records.get(member_id)
        return None if record is None else record.member

    def members(self) -> Sequence[Member]:
        """Return all entries."""
        return [record.member for record in self._records.values()]

    def alive(self, zone: str) -> Sequence[Member]:
        """Return the alive and suspect members of a zone, sorted by id."""
        members = self._alive.get(zone)
        if members is None:
            records = self._by_zone.get(zone, {})
            members = tuple(records[key].member for key in sorted(records))
            self._alive[zone] = members
        return members

    def endpoints(self, service: str) -> Sequence[Member]:
        """Return the members with an endpoint of a service, sorted by id.

        Dead and leaving members are included until they are removed.
        """
        members = self._endpoints.get(service)
        if members is None:
            records = self._by_service.get(service, {})
            members = tuple(records[key].member for key in sorted(records))
            self._endpoints[service] = members
        return members

    def neighbours(self, member: Member, count: int) -> Sequence[Member]:
        """Return up to `count` members that follow one on its zone's ring."""
        ring = self._rings.get(member.zone)
        if ring is None:
            records = sorted(
                self._by_zone.get(member.zone, {}).values(),
                key=lambda record: record.position,
            )
            ring = (
                [record.position for record in records],
                [record.member for record in records],
            )
            self._rings[member.zone] = ring
        positions, members = ring
        start = bisect_right(positions, position(member.id))
        chosen: list[Member] = []
        for step in range(len(members)):
            candidate = members[(start + step) % len(members)]
            if candidate.id == member.id or len(chosen) == count:
                break
            chosen.append(candidate)
        return chosen

    def age(self, member_id: str, now: float) -> float:
        """Return the seconds for which an entry has been dead or leaving."""
        record = self._records.get(member_id)
        return 0.0 if record is None else max(0.0, now - record.departed_at)

    def merge(self, member: Member, now: float, age: float = 0.0) -> bool:
        """Store an entry if it is newer; return whether it was stored.

        Parameters
        ----------
        member : Member
            The entry.
        now : float
            Current time in seconds.
        age : float
            Time in seconds for which another table has listed the entry as
            dead or leaving. Entries past their retention are not added.
        """
        record = self._records.get(member.id)
        departed = member.status in _DEPARTED
        if record is None:
            if departed and age >= RETENTION_S:
                return False
            record = _Record(member, position(member.id))
            self._records[member.id] = record
        elif not newer(member, record.member):
            return False
        else:
            self._remove_from_indexes(record)
        if not departed:
            record.departed_at = math.inf
        elif (
            record.departed_at == math.inf
            or record.member.incarnation != member.incarnation
        ):
            record.departed_at = now - age
        record.member = member
        self._add_to_indexes(record)
        self._changed_at[record.position % BUCKETS] = now
        self._revision += 1
        return True

    def expire(self, now: float) -> Sequence[str]:
        """Remove entries past their retention and return their ids."""
        expired = [
            key
            for key in self._departed
            if now - self._records[key].departed_at >= RETENTION_S
        ]
        for key in expired:
            self._remove_from_indexes(self._records.pop(key))
            self._revision += 1
        return expired

    def buckets(self, now: float) -> Sequence[int]:
        """Return the digests of the buckets.

        Buckets that changed within the last seconds are masked: their
        changes are probably still in transit to the other table, and a
        bucket of a table with 25,000 entries contains about 100 of them. In
        a small table, a redundant comparison costs little.
        """
        masking_s = 10.0 * min(1.0, len(self._records) / 4096)
        return [
            MASKED if now - changed_at < masking_s else value
            for value, changed_at in zip(
                self._buckets, self._changed_at, strict=True
            )
        ]

    def differing_entries(
        self, buckets: Sequence[int], now: float
    ) -> Sequence[Member]:
        """Return the entries of the buckets that differ from another table.

        Parameters
        ----------
        buckets : sequence of int
            Bucket digests of the other table; empty to return all entries.
        now : float
            Current time in seconds.
        """
        if len(buckets) != BUCKETS:
            return self.members()
        own = self.buckets(now)
        wanted = {
            index
            for index, (mine, theirs) in enumerate(
                zip(own, buckets, strict=True)
            )
            if mine != theirs and MASKED not in (mine, theirs)
        }
        if not wanted:
            return []
        return [
            record.member
            for record in self._records.values()
            if record.position % BUCKETS in wanted
        ]

    def _add_to_indexes(self, record: _Record) -> None:
        member = record.member
        if member.status in _DEPARTED:
            self._departed.add(member.id)
        else:
            value = hashlib.blake2b(
                _ENCODER.encode(member), digest_size=8
            ).digest()
            record.hash = int.from_bytes(value, 'big')
            self._by_zone.setdefault(member.zone, {})[member.id] = record
        self._update_digests(record)
        if member.endpoint is not None:
            service = member.endpoint.service
            self._by_service.setdefault(service, {})[member.id] = record
            self._endpoints.pop(service, None)

    def _remove_from_indexes(self, record: _Record) -> None:
        member = record.member
        self._departed.discard(member.id)
        _remove(self._by_zone, member.zone, member.id)
        self._update_digests(record)
        record.hash = 0
        if member.endpoint is not None:
            service = member.endpoint.service
            _remove(self._by_service, service, member.id)
            self._endpoints.pop(service, None)

    def _update_digests(self, record: _Record) -> None:
        self._digest ^= record.hash
        self._buckets[record.position % BUCKETS] ^= record.hash
        self._alive.pop(record.member.zone, None)
        self._rings.pop(record.member.zone, None)


def _remove(
    index: dict[str, dict[str, _Record]], key: str, member_id: str
) -> None:
    records = index.get(key)
    if records is not None:
        records.pop(member_id, None)
        if not records:
            del index[key]


class ChangeQueue:
    """Queue of the changes that heartbeats carry to other members.

    Each change is sent a limited number of times, about log2 of the zone's
    size. Receiving the same change from another member reduces this number
    by one, because the change has then already spread. A token bucket limits
    the bytes; entries that exceed it remain queued.

    Parameters
    ----------
    rate : float
        Bytes per second.
    burst : float
        Capacity of the token bucket in bytes, that is, what can be sent at
        once after a time without changes.
    """

    __slots__ = ('_budget', '_burst', '_rate', '_refilled_at', '_sends_left')

    def __init__(self, rate: float = 600.0, burst: float = 131072.0) -> None:
        self._rate = rate
        self._burst = burst
        self._budget = burst
        self._refilled_at = -math.inf
        self._sends_left: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends_left)

    def add(self, member_id: str, zone_size: int) -> None:
        """Queue a change; reset the count if the member is already queued."""
        self._sends_left[member_id] = math.ceil(math.log2(zone_size + 1)) + 1

    def record_received(self, member_id: str) -> None:
        """Record that another member has sent the same change."""
        if member_id in self._sends_left:
            self._count_send(member_id)

    def take(
        self, now: float, known: Container[str] = (), count: int = 32
    ) -> Sequence[str]:
        """Return the ids whose entries the next message is to carry.

        Parameters
        ----------
        now : float
            Current time in seconds.
        known : container of str
            Ids whose entries the receiver has just sent itself.
        count : int
            Maximum number of ids.
        """
        elapsed = min(now - self._refilled_at, self._burst)
        self._budget = min(self._burst, self._budget + elapsed * self._rate)
        self._refilled_at = now
        count = min(count, int(self._budget // ENTRY_BYTES))
        if count <= 0 or not self._sends_left:
            return ()
        chosen = heapq.nlargest(
            count,
            (key for key in self._sends_left if key not in known),
            key=self._sends_left.__getitem__,
        )
        self._budget -= len(chosen) * ENTRY_BYTES
        for key in chosen:
            self._count_send(key)
        return chosen

    def _count_send(self, member_id: str) -> None:
        self._sends_left[member_id] -= 1
        if not self._sends_left[member_id]:
            del self._sends_left[member_id]


class _Suspicion(NamedTuple):
    since: float
    rank: tuple[int, int, int]
    own: bool


class Detector:
    """Failure detector for the members of a daemon's own zone.

    A daemon watches the members that follow it on the ring. If it has
    received no heartbeat from one of them for 1.2 intervals, it asks other
    members to probe that member. The member becomes suspect after two
    intervals without a heartbeat, and only if most of the members asked sent
    a reply and none of them reached it. One faulty link is therefore not
    enough to suspect a member, and a daemon that is itself disconnected
    receives no replies and suspects nobody. A suspect that does not refute
    the suspicion is declared dead after three further intervals. After a
    pause of its own process, a daemon suspects nobody and declares nobody
    dead until it has refreshed its table.

    Parameters
    ----------
    table : Table
        Member table.
    me : str
        Id of this daemon.
    zone : str
        Zone of this daemon.
    interval_s : float
        Time between heartbeats in seconds.
    """

    __slots__ = (
        '_dead_after_s',
        '_interval_s',
        '_last_received_at',
        '_last_tick',
        '_me',
        '_paused_until',
        '_probe_after_s',
        '_probed_at',
        '_received_at',
        '_suspect_after_s',
        '_suspicions',
        '_table',
        '_unconfirmed_since',
        '_watched',
        '_zone',
    )

    # In zones of up to this size, a suspicion needs no confirmation after
    # this time: all members that could confirm it may have failed for good.
    _SMALL_ZONE_MEMBERS = 8
    _CONFIRMATION_TIMEOUT_S = 10.0
    # Additional delay before daemons that neither raised a suspicion nor
    # watch the suspect declare it dead.
    _FALLBACK_DELAY_S = 5.0

    def __init__(
        self,
        table: Table,
        me: str,
        zone: str,
        *,
        interval_s: float = 1.0,
    ) -> None:
        self._table = table
        self._me = me
        self._zone = zone
        self._interval_s = interval_s
        self._probe_after_s = 1.2 * interval_s
        self._suspect_after_s = 2.0 * interval_s
        self._dead_after_s = 3.0 * interval_s
        self._watched: set[str] = set()
        self._received_at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._unconfirmed_since: dict[str, float] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._last_received_at = -math.inf
        self._last_tick = math.nan
        self._paused_until = -math.inf

    def tick(self, now: float) -> bool:
        """Start a round; return whether the table has to be refreshed.

        If the last round began more than three intervals ago, this process
        was paused, and missing heartbeats are no evidence of a failure.
        Detection is suspended until `record_refresh` is called, for at most
        ten intervals.
        """
        paused = now - self._last_tick > 3 * self._interval_s
        self._last_tick = now
        if paused:
            self._paused_until = now + 10 * self._interval_s
            self._reset_timers(now)
        return paused

    def record_refresh(self, now: float) -> None:
        """Record that the table was compared with another member's."""
        if now < self._paused_until:
            self._paused_until = now
            self._reset_timers(now)

    def watch(self, members: Iterable[Member], now: float) -> None:
        """Set the members whose heartbeats are expected."""
        self._watched = {item.id for item in members}
        for key in self._watched:
            self._received_at.setdefault(key, now)
        for key in [
            key for key in self._received_at if key not in self._watched
        ]:
            del self._received_at[key]
            self._probed_at.pop(key, None)
            self._unconfirmed_since.pop(key, None)

    def record_received(self, member_id: str, now: float) -> None:
        """Record a heartbeat or reply received directly from a member."""
        self._last_received_at = now
        if member_id in self._received_at:
            self._received_at[member_id] = now
            self._unconfirmed_since.pop(member_id, None)

    def members_to_probe(self, now: float) -> Sequence[Member]:
        """Return the watched members that others should probe now."""
        if now < self._paused_until:
            return []
        silent_members = []
        for key in self._watched:
            member = self._table.get(key)
            if (
                member is None
                or member.status is not MemberStatus.ALIVE
                or now - self._received_at[key] < self._probe_after_s
                or now - self._probed_at.get(key, -math.inf)
                < 0.5 * self._interval_s
            ):
                continue
            self._probed_at[key] = now
            silent_members.append(member)
        return silent_members

    def evaluate_probes(
        self,
        member: Member,
        asked: int,
        replied: int,
        reached: int,
        now: float,
    ) -> Member | None:
        """Return the entry of a silent member as suspect, or None.

        Parameters
        ----------
        member : Member
            Entry that `members_to_probe` returned.
        asked, replied, reached : int
            Number of members asked to probe it, how many of them sent a
            reply, and how many of these reached it.
        now : float
            Current time in seconds.
        """
        received_at = self._received_at.get(member.id)
        current = self._table.get(member.id)
        if (
            received_at is None
            or current is None
            or _rank(current) != _rank(member)
            or now < self._paused_until
        ):
            return None
        if replied:
            self._last_received_at = now
        if reached:
            self._received_at[member.id] = now
            return None
        if now - received_at < self._suspect_after_s:
            self._probed_at.pop(member.id, None)
            return None
        if (
            asked
            and replied * 2 <= asked
            and not self._confirmation_timed_out(member.id, now)
        ):
            return None
        return msgspec.structs.replace(member, status=MemberStatus.SUSPECT)

    def record_change(self, member: Member, now: float, *, own: bool) -> None:
        """Record a change of the table.

        Parameters
        ----------
        member : Member
            New entry.
        now : float
            Current time in seconds.
        own : bool
            Whether this daemon raised the suspicion.
        """
        if member.zone != self._zone or member.id == self._me:
            return
        if member.status is MemberStatus.SUSPECT:
            self._suspicions[member.id] = _Suspicion(now, _rank(member), own)
        else:
            self._suspicions.pop(member.id, None)

    def expired_suspects(self, now: float) -> Sequence[Member]:
        """Return the entries of suspects whose time-out has passed, as dead.

        The daemon that raised a suspicion and those that watch the member
        declare it dead first; all others do so later, in case the first
        ones have failed.
        """
        if now < self._paused_until:
            return []
        if (
            now - self._last_received_at > self._suspect_after_s
            and len(self._table.alive(self._zone)) > self._SMALL_ZONE_MEMBERS
        ):
            # Without any recent message or reply, this daemon itself may
            # be disconnected.
            return []
        dead = []
        for key, suspicion in list(self._suspicions.items()):
            member = self._table.get(key)
            if member is None or _rank(member) != suspicion.rank:
                del self._suspicions[key]
                continue
            limit = self._dead_after_s
            if not suspicion.own and key not in self._watched:
                limit += self._FALLBACK_DELAY_S
            if now - suspicion.since >= limit:
                dead.append(
                    msgspec.structs.replace(member, status=MemberStatus.DEAD)
                )
        return dead

    def _confirmation_timed_out(self, member_id: str, now: float) -> bool:
        alive = len(self._table.alive(self._zone))
        since = self._unconfirmed_since.setdefault(member_id, now)
        return (
            alive <= self._SMALL_ZONE_MEMBERS
            and now - since >= self._CONFIRMATION_TIMEOUT_S
        )

    def _reset_timers(self, now: float) -> None:
        for key in self._received_at:
            self._received_at[key] = now
        self._probed_at.clear()
        self._unconfirmed_since.clear()
        for key, suspicion in self._suspicions.items():
            self._suspicions[key] = suspicion._replace(since=now)


def refute(own: Member, received: Member) -> Member | None:
    """Return a new own entry if a received entry would replace it.

    Parameters
    ----------
    own : Member
        Entry of this daemon.
    received : Member
        Entry with the same id from another table.

    Returns
    -------
    Member or None
        An entry that replaces `received` in every table; None if the own
        entry already does.
    """
    if received == own or newer(own, received):
        return None
    return msgspec.structs.replace(
        own, incarnation=max(own.incarnation, received.incarnation) + 1
    )


class GossipPartners:
    """Members that a daemon gossips with, replaced one at a time.

    Choosing a new random member every second would open a new stream, with
    a handshake of some 400 bytes, every second.

    Parameters
    ----------
    size : int
        Number of partners.
    period_s : float
        Time in seconds between two replacements.
    """

    __slots__ = ('_ids', '_period_s', '_replaced_at', '_size')

    def __init__(self, size: int, period_s: float) -> None:
        self._size = size
        self._period_s = period_s
        self._ids: list[str] = []
        self._replaced_at = -math.inf

    def update(
        self,
        table: Table,
        draw: Callable[[], Member | None],
        rng: random.Random,
        now: float,
    ) -> Sequence[Member]:
        """Replace due and departed partners; return all partners.

        Parameters
        ----------
        table : Table
            Member table.
        draw : callable
            Returns a random alive member, or None.
        rng : random.Random
            Source of randomness.
        now : float
            Current time in seconds.
        """
        partners = {
            key: member
            for key in self._ids
            if (member := table.get(key)) is not None
            and member.status not in _DEPARTED
        }
        full = len(partners) >= self._size
        if full and now - self._replaced_at >= self._period_s:
            self._replaced_at = now
            del partners[rng.choice(list(partners))]
        for _ in range(2 * (self._size - len(partners))):
            member = draw()
            if member is not None and len(partners) < self._size:
                partners[member.id] = member
        self._ids = list(partners)
        return list(partners.values())
