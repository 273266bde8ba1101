"""Member table, spread of changes and failure detection, without I/O.

Entries are ordered by (incarnation, sequence, status). Each table keeps the
highest entry per member that it has seen, so tables that have seen the same
entries are equal, in whatever order and however often they saw them.

Only members of a daemon's own zone are judged by its failure detector. The
entries of a zone that cannot be reached stay as they are: a partition
between zones says nothing about the daemons behind it, and dropping up to
1,250 entries one by one on both sides and adding them again would cost each
daemon of the fleet some 200 KB per partition. Calls to such a zone fail at
the connection and go elsewhere; the zone's own members still judge each
other, and their verdicts arrive with the first exchange after the partition.
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
"""Buckets of the digests that tables compare to repair a difference."""
RETENTION_S = 600.0
"""Time for which dead and leaving entries are kept. The owners of
idempotency keys are derived from them for as long as keys are kept."""
MASKED = -1
"""Stands for a bucket that is not to be compared."""
ENTRY_BYTES = 80
"""Typical encoding of an entry, for limits in bytes."""

_GONE = frozenset({MemberStatus.DEAD, MemberStatus.LEAVING})
_ENCODER = msgspec.msgpack.Encoder()


def position(member_id: str) -> int:
    """Return the place of a member on the ring of its zone, 64 bits."""
    value = hashlib.blake2b(member_id.encode(), digest_size=8).digest()
    return int.from_bytes(value, 'big')


def checksum(member: Member) -> int:
    """Return a checksum of an entry, 32 bits and never 0."""
    return zlib.crc32(_ENCODER.encode(member)) or 1


def _rank(member: Member) -> tuple[int, int, int]:
    return (member.incarnation, member.sequence, int(member.status))


def newer(one: Member, other: Member) -> bool:
    """Return whether `one` replaces `other`.

    Entries of equal rank differ only if two daemons use the same id; their
    encodings then decide, so that all tables still choose the same one.
    """
    first, second = _rank(one), _rank(other)
    if first != second:
        return first > second
    return one != other and _ENCODER.encode(one) > _ENCODER.encode(other)


class _Slot:
    """An entry with its position, hash and time of death."""

    __slots__ = ('gone_at', 'hash', 'member', 'position')

    def __init__(self, member: Member, place: int) -> None:
        self.member = member
        self.position = place
        self.hash = 0
        self.gone_at = math.inf


class Table:
    """Member table; implements `MemberTable`.

    Dead and leaving entries count as absent in the digests, because they
    are removed at slightly different times everywhere. A table that misses
    a death still differs, as it holds the member as alive.
    """

    __slots__ = (
        '_alive',
        '_buckets',
        '_by_service',
        '_by_zone',
        '_changed_at',
        '_digest',
        '_endpoints',
        '_gone',
        '_revision',
        '_rings',
        '_slots',
    )

    def __init__(self) -> None:
        self._slots: dict[str, _Slot] = {}
        self._gone: set[str] = set()
        self._by_zone: dict[str, dict[str, _Slot]] = {}
        self._by_service: dict[str, dict[str, _Slot]] = {}
        self._alive: dict[str, tuple[Member, ...]] = {}
        self._rings: dict[str, tuple[list[int], list[Member]]] = {}
        self._endpoints: dict[str, tuple[Member, ...]] = {}
        self._buckets = [0] * BUCKETS
        self._changed_at = [-math.inf] * BUCKETS
        self._digest = 0
        self._revision = 0

    def __len__(self) -> int:
        return len(self._slots)

    @property
    def digest(self) -> int:
        """Digest over all alive and suspect entries, 64 bits."""
        return self._digest

    @property
    def revision(self) -> int:
        """Grows with every change of any entry."""
        return self._revision

    @property
    def zones(self) -> Sequence[str]:
        """Zones with an alive or suspect member, sorted."""
        return sorted(self._by_zone)

    def get(self, member_id: str) -> Member | None:
        """Return an entry by id."""
        slot = self._slots.get(member_id)
        return None if slot is None else slot.member

    def members(self) -> Sequence[Member]:
        """Return all entries."""
        return [slot.member for slot in self._slots.values()]

    def alive(self, zone: str) -> Sequence[Member]:
        """Return the alive and suspect members of a zone, sorted by id."""
        found = self._alive.get(zone)
        if found is None:
            slots = self._by_zone.get(zone, {})
            found = tuple(slots[key].member for key in sorted(slots))
            self._alive[zone] = found
        return found

    def endpoints(self, service: str) -> Sequence[Member]:
        """Return the members with an endpoint of a service, sorted by id.

        Dead and leaving members are included until they are removed.
        """
        found = self._endpoints.get(service)
        if found is None:
            slots = self._by_service.get(service, {})
            found = tuple(slots[key].member for key in sorted(slots))
            self._endpoints[service] = found
        return found

    def neighbours(self, member: Member, count: int) -> Sequence[Member]:
        """Return the alive members that follow one on its zone's ring."""
        ring = self._rings.get(member.zone)
        if ring is None:
            slots = sorted(
                self._by_zone.get(member.zone, {}).values(),
                key=lambda slot: slot.position,
            )
            ring = (
                [slot.position for slot in slots],
                [slot.member for slot in slots],
            )
            self._rings[member.zone] = ring
        places, members = ring
        start = bisect_right(places, position(member.id))
        chosen: list[Member] = []
        for step in range(len(members)):
            found = members[(start + step) % len(members)]
            if found.id == member.id or len(chosen) == count:
                break
            chosen.append(found)
        return chosen

    def age(self, member_id: str, now: float) -> float:
        """Return for how long an entry has been dead or leaving, in s."""
        slot = self._slots.get(member_id)
        return 0.0 if slot is None else max(0.0, now - slot.gone_at)

    def merge(self, member: Member, now: float, age: float = 0.0) -> bool:
        """Take over an entry if it is newer; return whether it was.

        Parameters
        ----------
        member : Member
            The entry.
        now : float
            Current time in seconds.
        age : float
            For how long another table has held it as dead or leaving, in
            seconds. Entries past their retention are not added.
        """
        slot = self._slots.get(member.id)
        gone = member.status in _GONE
        if slot is None:
            if gone and age >= RETENTION_S:
                return False
            slot = _Slot(member, position(member.id))
            self._slots[member.id] = slot
        elif not newer(member, slot.member):
            return False
        else:
            self._unlink(slot)
        if not gone:
            slot.gone_at = math.inf
        elif (
            slot.gone_at == math.inf
            or slot.member.incarnation != member.incarnation
        ):
            slot.gone_at = now - age
        slot.member = member
        self._link(slot)
        self._changed_at[slot.position % BUCKETS] = now
        self._revision += 1
        return True

    def expire(self, now: float) -> Sequence[str]:
        """Remove entries past their retention and return their ids."""
        expired = [
            key
            for key in self._gone
            if now - self._slots[key].gone_at >= RETENTION_S
        ]
        for key in expired:
            self._unlink(self._slots.pop(key))
            self._revision += 1
        return expired

    def buckets(self, now: float) -> Sequence[int]:
        """Return the digests of the buckets.

        Buckets that changed within the last seconds are masked: their
        changes are probably still on the way to the other table, and a
        bucket of a table of 25,000 holds about 100 entries. In a small
        table a superfluous comparison costs little.
        """
        quiet_s = 10.0 * min(1.0, len(self._slots) / 4096)
        return [
            MASKED if now - record_change < quiet_s else value
            for value, record_change in zip(
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
            Digests of the other table; empty to return all entries.
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
            slot.member
            for slot in self._slots.values()
            if slot.position % BUCKETS in wanted
        ]

    def _link(self, slot: _Slot) -> None:
        member = slot.member
        if member.status in _GONE:
            self._gone.add(member.id)
        else:
            value = hashlib.blake2b(
                _ENCODER.encode(member), digest_size=8
            ).digest()
            slot.hash = int.from_bytes(value, 'big')
            self._by_zone.setdefault(member.zone, {})[member.id] = slot
        self._toggle(slot)
        if member.endpoint is not None:
            service = member.endpoint.service
            self._by_service.setdefault(service, {})[member.id] = slot
            self._endpoints.pop(service, None)

    def _unlink(self, slot: _Slot) -> None:
        member = slot.member
        self._gone.discard(member.id)
        _remove(self._by_zone, member.zone, member.id)
        self._toggle(slot)
        slot.hash = 0
        if member.endpoint is not None:
            service = member.endpoint.service
            _remove(self._by_service, service, member.id)
            self._endpoints.pop(service, None)

    def _toggle(self, slot: _Slot) -> None:
        self._digest ^= slot.hash
        self._buckets[slot.position % BUCKETS] ^= slot.hash
        self._alive.pop(slot.member.zone, None)
        self._rings.pop(slot.member.zone, None)


def _remove(
    index: dict[str, dict[str, _Slot]], key: str, member_id: str
) -> None:
    slots = index.get(key)
    if slots is not None:
        slots.pop(member_id, None)
        if not slots:
            del index[key]


class ChangeQueue:
    """Changes that heartbeats carry to other members.

    A change is carried a limited number of times, about log2 of the zone's
    size. Hearing it again from elsewhere takes one off, because it is then
    already spread. Entries past a limit in bytes wait: the queue may spend
    `rate` bytes per second and a burst.

    Parameters
    ----------
    rate : float
        Bytes per second.
    burst : float
        Bytes that may be spent at once after a quiet time.
    """

    __slots__ = ('_budget', '_burst', '_left', '_rate', '_refilled')

    def __init__(self, rate: float = 600.0, burst: float = 131072.0) -> None:
        self._rate = rate
        self._burst = burst
        self._budget = burst
        self._refilled = -math.inf
        self._left: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._left)

    def add(self, member_id: str, zone_size: int) -> None:
        """Queue a change, anew when the member was queued already."""
        self._left[member_id] = math.ceil(math.log2(zone_size + 1)) + 1

    def record_received(self, member_id: str) -> None:
        """Note that another member carries the same change."""
        if member_id in self._left:
            self._spend(member_id)

    def take(
        self, now: float, known: Container[str] = (), count: int = 32
    ) -> Sequence[str]:
        """Return the ids whose entries go with the next message.

        Parameters
        ----------
        now : float
            Current time in seconds.
        known : container of str
            Ids that the receiver has just sent itself.
        count : int
            Largest number of ids.
        """
        passed = min(now - self._refilled, self._burst)
        self._budget = min(self._burst, self._budget + passed * self._rate)
        self._refilled = now
        count = min(count, int(self._budget // ENTRY_BYTES))
        if count <= 0 or not self._left:
            return ()
        chosen = heapq.nlargest(
            count,
            (key for key in self._left if key not in known),
            key=self._left.__getitem__,
        )
        self._budget -= len(chosen) * ENTRY_BYTES
        for key in chosen:
            self._spend(key)
        return chosen

    def _spend(self, member_id: str) -> None:
        self._left[member_id] -= 1
        if not self._left[member_id]:
            del self._left[member_id]


class _Suspicion(NamedTuple):
    since: float
    rank: tuple[int, int, int]
    own: bool


class Detector:
    """Failure detector for the members of the own zone.

    A daemon watches the members that follow it on the ring. If one has been
    silent for `check_after_s`, others are asked to reach it. It becomes
    suspect after `suspect_after_s`, and only if most of the members asked
    did answer and none reached it: one bad link condemns nobody, and a
    daemon that is cut off itself gets no answers and judges nobody. After a
    pause of its own process, a daemon judges nobody until it has refreshed
    its table.

    Parameters
    ----------
    table : Table
        Member table.
    me : str
        Own id.
    zone : str
        Own zone.
    interval_s : float
        Time between heartbeats in seconds.
    """

    __slots__ = (
        '_answered',
        '_check_after_s',
        '_checked_at',
        '_dead_after_s',
        '_heard',
        '_held_since',
        '_interval_s',
        '_last_tick',
        '_me',
        '_paused_until',
        '_suspect_after_s',
        '_suspicions',
        '_table',
        '_watched',
        '_zone',
    )

    # Up to this zone size, and after this time, a verdict needs no witness:
    # all who could confirm it may be gone for good.
    _SMALL = 8
    _HOLD_S = 10.0
    # Further time after which daemons that neither raised a suspicion nor
    # watch its member act on it.
    _BACKSTOP_S = 5.0

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
        self._check_after_s = 1.2 * interval_s
        self._suspect_after_s = 2.0 * interval_s
        self._dead_after_s = 3.0 * interval_s
        self._watched: set[str] = set()
        self._heard: dict[str, float] = {}
        self._checked_at: dict[str, float] = {}
        self._held_since: dict[str, float] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._answered = -math.inf
        self._last_tick = math.nan
        self._paused_until = -math.inf

    def tick(self, now: float) -> bool:
        """Start a round; return whether the table has to be refreshed.

        If the last round began more than three intervals ago, this process
        was paused and its silences mean nothing. Nobody is judged until
        `record_refresh` is called, or for ten intervals at most.
        """
        paused = now - self._last_tick > 3 * self._interval_s
        self._last_tick = now
        if paused:
            self._paused_until = now + 10 * self._interval_s
            self._restart(now)
        return paused

    def record_refresh(self, now: float) -> None:
        """Note that the table was compared with another member's."""
        if now < self._paused_until:
            self._paused_until = now
            self._restart(now)

    def watch(self, members: Iterable[Member], now: float) -> None:
        """Set the members that are watched."""
        self._watched = {item.id for item in members}
        for key in self._watched:
            self._heard.setdefault(key, now)
        for key in [key for key in self._heard if key not in self._watched]:
            del self._heard[key]
            self._checked_at.pop(key, None)
            self._held_since.pop(key, None)

    def record_received(self, member_id: str, now: float) -> None:
        """Note a sign of life that came directly from a member."""
        self._answered = now
        if member_id in self._heard:
            self._heard[member_id] = now
            self._held_since.pop(member_id, None)

    def members_to_probe(self, now: float) -> Sequence[Member]:
        """Return the watched members that others should try to reach now."""
        if now < self._paused_until:
            return []
        found = []
        for key in self._watched:
            member = self._table.get(key)
            if (
                member is None
                or member.status is not MemberStatus.ALIVE
                or now - self._heard[key] < self._check_after_s
                or now - self._checked_at.get(key, -math.inf)
                < 0.5 * self._interval_s
            ):
                continue
            self._checked_at[key] = now
            found.append(member)
        return found

    def evaluate_probes(
        self,
        member: Member,
        asked: int,
        replied: int,
        reached: int,
        now: float,
    ) -> Member | None:
        """Judge a silent member; return its entry as suspect, if it is.

        Parameters
        ----------
        member : Member
            The silent member as `members_to_probe` returned it.
        asked, answered, reached : int
            Members asked to reach it, how many of them answered, and how
            many of these reached it.
        now : float
            Current time in seconds.
        """
        record_received = self._heard.get(member.id)
        current = self._table.get(member.id)
        if (
            record_received is None
            or current is None
            or _rank(current) != _rank(member)
            or now < self._paused_until
        ):
            return None
        if replied:
            self._answered = now
        if reached:
            self._heard[member.id] = now
            return None
        if now - record_received < self._suspect_after_s:
            self._checked_at.pop(member.id, None)
            return None
        if (
            asked
            and replied * 2 <= asked
            and not self._held_long(member.id, now)
        ):
            return None
        return msgspec.structs.replace(member, status=MemberStatus.SUSPECT)

    def record_change(self, member: Member, now: float, *, own: bool) -> None:
        """Note a change of the table.

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
        """Return the entries of suspects whose time is over, as dead.

        The daemon that raised a suspicion and those that watch the member
        act first; all others act later, in case these are gone.
        """
        if now < self._paused_until:
            return []
        if (
            now - self._answered > self._suspect_after_s
            and len(self._table.alive(self._zone)) > self._SMALL
        ):
            # Without any answer this daemon may be the one cut off.
            return []
        found = []
        for key, suspicion in list(self._suspicions.items()):
            member = self._table.get(key)
            if member is None or _rank(member) != suspicion.rank:
                del self._suspicions[key]
                continue
            limit = self._dead_after_s
            if not suspicion.own and key not in self._watched:
                limit += self._BACKSTOP_S
            if now - suspicion.since >= limit:
                found.append(
                    msgspec.structs.replace(member, status=MemberStatus.DEAD)
                )
        return found

    def _held_long(self, member_id: str, now: float) -> bool:
        alive = len(self._table.alive(self._zone))
        since = self._held_since.setdefault(member_id, now)
        return alive <= self._SMALL and now - since >= self._HOLD_S

    def _restart(self, now: float) -> None:
        for key in self._heard:
            self._heard[key] = now
        self._checked_at.clear()
        self._held_since.clear()
        for key, suspicion in self._suspicions.items():
            self._suspicions[key] = suspicion._replace(since=now)


def refute(mine: Member, seen: Member) -> Member | None:
    """Return a new own entry if an entry of others contradicts it.

    Parameters
    ----------
    mine : Member
        Own entry.
    seen : Member
        Entry of the own id in another table.

    Returns
    -------
    Member or None
        An entry that replaces `seen` in every table; None if the own entry
        does already.
    """
    if seen == mine or newer(mine, seen):
        return None
    return msgspec.structs.replace(
        mine, incarnation=max(mine.incarnation, seen.incarnation) + 1
    )


class GossipPartners:
    """Members that a daemon gossips with, replaced one after the other.

    A new random member every second would cost a new stream, and thus a
    handshake of some 400 bytes, every second.

    Parameters
    ----------
    size : int
        Number of partners.
    period_s : float
        Time in seconds after which one of them is replaced.
    """

    __slots__ = ('_ids', '_period_s', '_replaced', '_size')

    def __init__(self, size: int, period_s: float) -> None:
        self._size = size
        self._period_s = period_s
        self._ids: list[str] = []
        self._replaced = -math.inf

    def update(
        self,
        table: Table,
        draw: Callable[[], Member | None],
        rng: random.Random,
        now: float,
    ) -> Sequence[Member]:
        """Replace partners that are due or gone; return the partners.

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
        known = {
            key: member
            for key in self._ids
            if (member := table.get(key)) is not None
            and member.status not in _GONE
        }
        full = len(known) >= self._size
        if full and now - self._replaced >= self._period_s:
            self._replaced = now
            del known[rng.choice(list(known))]
        for _ in range(2 * (self._size - len(known))):
            member = draw()
            if member is not None and len(known) < self._size:
                known[member.id] = member
        self._ids = list(known)
        return list(known.values())
