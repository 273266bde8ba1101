"""Ownership of idempotency keys, and the ledger of a key owner."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
import enum
from typing import TYPE_CHECKING

from gypsumhall.core import _rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.core._ledger import RecordedResponse
    from gypsumhall.core._member import Member

RETENTION_S = 600.0


def can_own_keys(member: Member) -> bool:
    """Whether a member can own keys.

    Unreachable members take part until the membership declares them dead.
    """
    return member.is_live


def owner(service: str, key: str, members: Iterable[Member]) -> Member | None:
    """Return the member that owns a key; None without any member.

    Parameters
    ----------
    service, key : str
        Service and idempotency key.
    members : iterable of Member
        Members with an endpoint of the service, whatever their status.
    """
    return max(
        (member for member in members if can_own_keys(member)),
        key=lambda member: (
            _rendezvous.weight(service, key, member.id),
            member.id,
        ),
        default=None,
    )


@dataclass(slots=True)
class _Known:
    member: Member
    joined_at: float


@dataclass(slots=True, frozen=True)
class FormerOwners:
    """Members that may hold a key that another member owns now.

    Parameters
    ----------
    ask : tuple of Member
        Members to ask; the key is free only if all of them release it.
    lost : tuple of str
        Ids of earlier processes that cannot be asked any more, because
        another incarnation runs in their place.
    """

    to_query: tuple[Member, ...]
    lost: tuple[str, ...]


# A refuted suspicion raises the incarnation by a little, a new process takes
# the time in milliseconds. No process can come back within this time: its
# death has to be seen and the new one has to reach its version floor first.
_RESTART_MS = 50


def is_same_process(member: Member, incarnation: int) -> bool:
    """Whether an incarnation belongs to the process of a member's entry."""
    return _are_same_process(member.incarnation, incarnation)


def _are_same_process(incarnation: int, other: int) -> bool:
    return abs(incarnation - other) < _RESTART_MS


class OwnershipHistory:
    """Changes of the members with an endpoint of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    me : str
        Id of the daemon that keeps the history.
    """

    __slots__ = (
        '_departed',
        '_handed_over',
        '_known',
        '_lost',
        '_me',
        '_service',
    )

    def __init__(self, service: str, me: str) -> None:
        self._service = service
        self._me = me
        self._known: dict[str, _Known] = {}
        # Id -> member, time at which it was seen to have left.
        self._departed: dict[str, tuple[Member, float]] = {}
        # Id -> member, time at which another incarnation replaced it.
        self._lost: dict[str, tuple[Member, float]] = {}
        # Id -> incarnation of the process whose keys this daemon has taken.
        self._handed_over: dict[str, int] = {}

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    def departed_members(self, now: float) -> list[Member]:
        """Return the processes that left without handing their keys over."""
        return self._recent(self._departed, now) + self._recent(
            self._lost, now
        )

    def record_handover(
        self,
        member_id: str,
        incarnation: int,
        departed_members: Iterable[Member],
        now: float,
    ) -> None:
        """Note that this daemon knows all that a process knew about keys.

        Parameters
        ----------
        member_id : str
            Id of the daemon that stops.
        incarnation : int
            Incarnation of its process.
        gone : iterable of Member
            Its `departed_members`. Asked about a key of one of these, it would have
            answered that the outcome is unknown; so must this daemon.
        now : float
            Current time in seconds.
        """
        self._handed_over[member_id] = incarnation
        for member in departed_members:
            known = self._known.get(member.id)
            left = self._departed.get(member.id)
            other = known.member if known else left[0] if left else None
            if other is not None and is_same_process(
                other, member.incarnation
            ):
                continue
            if other is not None or member.id == self._me:
                self._lost.setdefault(member.id, (member, now))
            else:
                self._departed[member.id] = (member, now)

    def _is_handed_over(self, member: Member) -> bool:
        incarnation = self._handed_over.get(member.id)
        return incarnation is not None and is_same_process(member, incarnation)

    def observe(self, members: Iterable[Member], now: float) -> None:
        """Take over the members with an endpoint of the service.

        Parameters
        ----------
        members : iterable of Member
            Members whatever their status.
        now : float
            Current time in seconds.
        """
        seen = {}
        for member in members:
            if can_own_keys(member):
                seen[member.id] = member
            elif member.id not in self._known:
                self._departed.setdefault(member.id, (member, now))
        for member_id, known in list(self._known.items()):
            if member_id not in seen:
                self._departed[member_id] = (known.member, now)
                del self._known[member_id]
        for member in seen.values():
            self._join(member, now)
        for table in (self._departed, self._lost):
            for member_id, (_, left_at) in list(table.items()):
                if now - left_at >= RETENTION_S:
                    del table[member_id]

    def former_owners(
        self, key: str, now: float, joined_at: float
    ) -> FormerOwners:
        """Return who may have owned a key within the retention time.

        Parameters
        ----------
        key : str
            Idempotency key.
        now : float
            Current time in seconds.
        joined_at : float
            Time in seconds at which this daemon joined the service.

        Returns
        -------
        FormerOwners
            Members that ranked above this daemon and have left. If this
            daemon joined within the retention time, also the members that
            ranked next, up to the first one that has been there for that
            long.
        """
        departed = self._recent(self._departed, now)
        to_query = [
            member for member in departed if self._is_above(key, member)
        ]
        lost = [
            member.id
            for member in self._recent(self._lost, now)
            if member.id == self._me or self._is_above(key, member)
        ]
        if now - joined_at < RETENTION_S:
            joined = {
                item.member.id: item.joined_at for item in self._known.values()
            }
            candidates = [item.member for item in self._known.values()]
            below = [
                member
                for member in candidates + departed
                if member.id != self._me and not self._is_above(key, member)
            ]
            for member in _rendezvous.rank(self._service, key, below):
                to_query.append(member)
                if now - joined.get(member.id, now) >= RETENTION_S:
                    break
        return FormerOwners(tuple(to_query), tuple(lost))

    def had_earlier_owner(
        self,
        key: str,
        now: float,
        to: tuple[str, int],
        asked: Iterable[tuple[str, int]],
    ) -> bool:
        """Whether a member with a better claim left within the time.

        An earlier process of the new owner counts, even if its death has
        not been seen here yet.

        Parameters
        ----------
        key : str
            Idempotency key.
        now : float
            Current time in seconds.
        to : (str, int)
            Id and incarnation of the new owner.
        asked : iterable of (str, int)
            Ids and incarnations of the members that it asks anyway.
        """
        before = self._known.get(to[0])
        if (
            before is not None
            and not is_same_process(before.member, to[1])
            and not self._is_handed_over(before.member)
        ):
            return True
        incarnations = dict(asked)
        departed_members = self._recent(self._lost, now)
        departed_members += [
            member
            for member in self._recent(self._departed, now)
            if member.id not in incarnations
            or not is_same_process(member, incarnations[member.id])
        ]
        return any(self._is_above(key, member) for member in departed_members)

    def _recent(
        self, table: dict[str, tuple[Member, float]], now: float
    ) -> list[Member]:
        return [
            member
            for member, left_at in table.values()
            if now - left_at < RETENTION_S and not self._is_handed_over(member)
        ]

    def _is_above(self, key: str, member: Member) -> bool:
        if member.id == self._me:
            return False
        mine = (_rendezvous.weight(self._service, key, self._me), self._me)
        return (
            _rendezvous.weight(self._service, key, member.id),
            member.id,
        ) > mine

    def _join(self, member: Member, now: float) -> None:
        known = self._known.get(member.id)
        departed = self._departed.pop(member.id, None)
        before = known.member if known else departed[0] if departed else None
        restarted = before is not None and not is_same_process(
            before, member.incarnation
        )
        if before is not None and restarted:
            self._lost[member.id] = (before, now)
        if known is None or restarted:
            self._known[member.id] = _Known(member, now)
        else:
            known.member = member


class KeyState(enum.Enum):
    """What a key owner knows about a key."""

    NEW = 'new'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'
    RELEASED = 'released'
    MISMATCH = 'mismatch'


@dataclass(slots=True)
class KeyEntry:
    """A key and what is known about it.

    Parameters
    ----------
    state : KeyState
        Progress.
    digest : bytes
        Digest of the request; another request must not use the key.
    response : RecordedResponse or None
        Kept response.
    expires_at : float
        Time in seconds at which the entry is dropped.
    released_to : set of (str, int)
        Ids and incarnations of the daemons that the key was given up for.
    """

    state: KeyState
    digest: bytes
    response: RecordedResponse | None = None
    expires_at: float = float('inf')
    released_to: set[tuple[str, int]] = field(default_factory=set)


class KeyLedger:
    """Record of the keys that a key owner has seen.

    Parameters
    ----------
    max_bytes : int
        Bytes of responses that are kept. When they are used up, responses
        of the oldest keys are dropped; the keys stay.
    """

    __slots__ = ('_bytes', '_entries', '_expiry', '_max_bytes', '_responses')

    def __init__(self, *, max_bytes: int = 32 * 1024 * 1024) -> None:
        self._max_bytes = max_bytes
        self._entries: dict[tuple[str, str], KeyEntry] = {}
        self._expiry: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._responses: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._bytes = 0

    @property
    def size(self) -> int:
        """Number of keys."""
        return len(self._entries)

    def begin(
        self, service: str, key: str, digest: bytes, now: float
    ) -> KeyEntry:
        """Claim a key.

        Parameters
        ----------
        service, key : str
            Service and idempotency key.
        digest : bytes
            Digest of the request.
        now : float
            Current time in seconds.

        Returns
        -------
        KeyEntry
            State ``NEW`` when the caller of this method has claimed it;
            it then has to call `finish` or `abandon`. An entry that is
            ``RELEASED`` can be claimed with `reclaim`.
        """
        self._expire(now)
        entry = self._entries.get((service, key))
        if entry is None:
            self._entries[service, key] = KeyEntry(KeyState.RUNNING, digest)
            return KeyEntry(KeyState.NEW, digest)
        if entry.state != KeyState.RELEASED and entry.digest != digest:
            return KeyEntry(KeyState.MISMATCH, entry.digest)
        return entry

    def finish(
        self,
        service: str,
        key: str,
        now: float,
        state: KeyState,
        response: RecordedResponse | None = None,
    ) -> None:
        """Record how the request of a claimed key ended.

        Parameters
        ----------
        service, key : str
            Service and idempotency key.
        now : float
            Current time in seconds.
        state : KeyState
            ``DONE`` when it ran, ``UNKNOWN`` when that is not certain.
        response : RecordedResponse or None
            Response to keep.
        """
        entry = self._entries[service, key]
        entry.state = state
        self._keep(service, key, entry, now)
        if response is not None and response.size <= self._max_bytes:
            entry.response = response
            self._responses[service, key] = response.size
            self._bytes += response.size
        while self._bytes > self._max_bytes:
            oldest, size = self._responses.popitem(last=False)
            self._entries[oldest].response = None
            self._bytes -= size

    def abandon(self, service: str, key: str, now: float) -> None:
        """Give up a claimed key whose request certainly did not run."""
        entry = self._entries[service, key]
        if entry.released_to:
            entry.state = KeyState.RELEASED
            self._keep(service, key, entry, now)
        else:
            del self._entries[service, key]

    def release(
        self,
        service: str,
        key: str,
        now: float,
        to: tuple[str, int],
        asked: Iterable[tuple[str, int]],
    ) -> KeyState:
        """Give up a key for its new owner.

        Parameters
        ----------
        service, key : str
            Service and idempotency key.
        now : float
            Current time in seconds.
        to : (str, int)
            Id and incarnation of the new owner.
        asked : iterable of (str, int)
            Ids and incarnations of all members that the new owner asks.

        Returns
        -------
        KeyState
            ``RELEASED`` when no request with the key has run here or with
            the consent of this daemon, and none will without the consent
            of the new owner; otherwise what is known about the key.
        """
        self._expire(now)
        entry = self._entries.get((service, key))
        if entry is None:
            entry = KeyEntry(KeyState.RELEASED, b'')
            self._entries[service, key] = entry
            self._keep(service, key, entry, now)
        if entry.state != KeyState.RELEASED:
            return entry.state
        consulted = {**dict(asked), to[0]: to[1]}
        certain = all(
            member_id in consulted
            and _are_same_process(incarnation, consulted[member_id])
            for member_id, incarnation in entry.released_to
        )
        entry.released_to.add(to)
        return KeyState.RELEASED if certain else KeyState.UNKNOWN

    def records(self, service: str) -> list[tuple[str, KeyEntry]]:
        """Return all keys of a service with their entries."""
        return [
            (key, entry)
            for (name, key), entry in self._entries.items()
            if name == service
        ]

    def import_entry(
        self,
        service: str,
        key: str,
        now: float,
        entry: KeyEntry,
    ) -> None:
        """Take over what a daemon that stops knows about a key.

        What is known here already stays, unless it is only that the key was
        given up.

        Parameters
        ----------
        service, key : str
            Service and idempotency key.
        now : float
            Current time in seconds.
        entry : KeyEntry
            Entry of the other daemon, without a response.
        """
        self._expire(now)
        known = self._entries.get((service, key))
        if known is None:
            self._entries[service, key] = entry
            self._keep(service, key, entry, now)
        elif known.state == KeyState.RELEASED:
            known.state = entry.state
            known.digest = entry.digest
            known.released_to |= entry.released_to

    def reclaim(self, service: str, key: str, digest: bytes) -> None:
        """Claim a released key, to ask those that it was given up for.

        Parameters
        ----------
        service, key : str
            Service and key, whose entry is ``RELEASED``.
        digest : bytes
            Digest of the request.
        """
        entry = self._entries[service, key]
        entry.state = KeyState.RUNNING
        entry.digest = digest
        entry.expires_at = float('inf')
        del self._expiry[service, key]

    def _keep(
        self, service: str, key: str, entry: KeyEntry, now: float
    ) -> None:
        entry.expires_at = now + RETENTION_S
        self._expiry[service, key] = None

    def _expire(self, now: float) -> None:
        while self._expiry:
            oldest = next(iter(self._expiry))
            if self._entries[oldest].expires_at > now:
                break
            del self._expiry[oldest]
            del self._entries[oldest]
            size = self._responses.pop(oldest, None)
            if size is not None:
                self._bytes -= size
