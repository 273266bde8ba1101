"""Ownership of idempotency keys, and the key owner's ledger."""

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
"""Time in seconds for which keys and departed members are kept."""


def can_own_keys(member: Member) -> bool:
    """Whether a member can own keys.

    This includes unreachable members until they are declared dead.
    """
    return member.is_live


def owner(service: str, key: str, members: Iterable[Member]) -> Member | None:
    """Return the member that owns a key; None if no member can own it.

    Parameters
    ----------
    service, key : str
        Service and idempotency key.
    members : iterable of Member
        Members with an endpoint of the service, of any status.
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
class _TrackedMember:
    member: Member
    joined_at: float


@dataclass(slots=True, frozen=True)
class FormerOwners:
    """Members that may have owned a key before its present owner.

    Parameters
    ----------
    to_query : tuple of Member
        Members to query; the key is free only if all of them release it.
    lost : tuple of str
        Ids of earlier processes that can no longer be queried, because
        another incarnation has replaced them.
    """

    to_query: tuple[Member, ...]
    lost: tuple[str, ...]


# Refuting a suspicion increases the incarnation slightly, whereas a new
# process uses the current time in milliseconds. No process can be replaced
# within this time: its death has to be detected, and the new process has to
# reach its version floor first.
_MIN_RESTART_MS = 50


def is_same_process(member: Member, incarnation: int) -> bool:
    """Whether an incarnation belongs to the process of a member's entry."""
    return _are_same_process(member.incarnation, incarnation)


def _are_same_process(incarnation: int, other: int) -> bool:
    return abs(incarnation - other) < _MIN_RESTART_MS


class OwnershipHistory:
    """History of the members with an endpoint of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    me : str
        Id of the daemon that keeps the history.
    """

    __slots__ = (
        '_departed',
        '_handovers',
        '_me',
        '_replaced',
        '_service',
        '_tracked',
    )

    def __init__(self, service: str, me: str) -> None:
        self._service = service
        self._me = me
        self._tracked: dict[str, _TrackedMember] = {}
        # Id -> member, time at which its departure was observed.
        self._departed: dict[str, tuple[Member, float]] = {}
        # Id -> member, time at which another incarnation replaced it.
        self._replaced: dict[str, tuple[Member, float]] = {}
        # Id -> incarnation of the process that handed its keys to this daemon.
        self._handovers: dict[str, int] = {}

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    def departed_members(self, now: float) -> list[Member]:
        """Return the processes that left without handing their keys over."""
        return self._recent(self._departed, now) + self._recent(
            self._replaced, now
        )

    def record_handover(
        self,
        member_id: str,
        incarnation: int,
        departed_members: Iterable[Member],
        now: float,
    ) -> None:
        """Record that a process has handed all its keys to this daemon.

        Parameters
        ----------
        member_id : str
            Id of the daemon that stops.
        incarnation : int
            Incarnation of its process.
        departed_members : iterable of Member
            Result of its method `departed_members`. For a key of one of
            these members, it would have replied that the outcome is unknown,
            and this daemon has to reply the same.
        now : float
            Current time in seconds.
        """
        self._handovers[member_id] = incarnation
        for member in departed_members:
            tracked = self._tracked.get(member.id)
            former = self._departed.get(member.id)
            latest = (
                tracked.member if tracked else former[0] if former else None
            )
            if latest is not None and is_same_process(
                latest, member.incarnation
            ):
                continue
            if latest is not None or member.id == self._me:
                self._replaced.setdefault(member.id, (member, now))
            else:
                self._departed[member.id] = (member, now)

    def _is_handed_over(self, member: Member) -> bool:
        incarnation = self._handovers.get(member.id)
        return incarnation is not None and is_same_process(member, incarnation)

    def observe(self, members: Iterable[Member], now: float) -> None:
        """Update the history from the current entries of the members.

        Parameters
        ----------
        members : iterable of Member
            Members with an endpoint of the service, of any status.
        now : float
            Current time in seconds.
        """
        present = {}
        for member in members:
            if can_own_keys(member):
                present[member.id] = member
            elif member.id not in self._tracked:
                self._departed.setdefault(member.id, (member, now))
        for member_id, tracked in list(self._tracked.items()):
            if member_id not in present:
                self._departed[member_id] = (tracked.member, now)
                del self._tracked[member_id]
        for member in present.values():
            self._track(member, now)
        for table in (self._departed, self._replaced):
            for member_id, (_, departed_at) in list(table.items()):
                if now - departed_at >= RETENTION_S:
                    del table[member_id]

    def former_owners(
        self, key: str, now: float, joined_at: float
    ) -> FormerOwners:
        """Return members that may have owned a key within the retention time.

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
            Members that ranked above this daemon and have departed. If this
            daemon joined within the retention time, also the members ranked
            below it, up to and including the first one that joined before
            that time.
        """
        departed = self._recent(self._departed, now)
        to_query = [
            member for member in departed if self._outranks_me(key, member)
        ]
        lost = [
            member.id
            for member in self._recent(self._replaced, now)
            if member.id == self._me or self._outranks_me(key, member)
        ]
        if now - joined_at < RETENTION_S:
            joined = {
                item.member.id: item.joined_at
                for item in self._tracked.values()
            }
            candidates = [item.member for item in self._tracked.values()]
            below = [
                member
                for member in candidates + departed
                if member.id != self._me and not self._outranks_me(key, member)
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
        """Whether a higher-ranked member departed within the retention time.

        An earlier process of the new owner counts, even if this daemon has
        not yet been notified of its death.

        Parameters
        ----------
        key : str
            Idempotency key.
        now : float
            Current time in seconds.
        to : (str, int)
            Id and incarnation of the new owner.
        asked : iterable of (str, int)
            Ids and incarnations of the members that it queries anyway.
        """
        previous = self._tracked.get(to[0])
        if (
            previous is not None
            and not is_same_process(previous.member, to[1])
            and not self._is_handed_over(previous.member)
        ):
            return True
        incarnations = dict(asked)
        departed_members = self._recent(self._replaced, now)
        departed_members += [
            member
            for member in self._recent(self._departed, now)
            if member.id not in incarnations
            or not is_same_process(member, incarnations[member.id])
        ]
        return any(
            self._outranks_me(key, member) for member in departed_members
        )

    def _recent(
        self, table: dict[str, tuple[Member, float]], now: float
    ) -> list[Member]:
        return [
            member
            for member, departed_at in table.values()
            if now - departed_at < RETENTION_S
            and not self._is_handed_over(member)
        ]

    def _outranks_me(self, key: str, member: Member) -> bool:
        if member.id == self._me:
            return False
        own = (_rendezvous.weight(self._service, key, self._me), self._me)
        return (
            _rendezvous.weight(self._service, key, member.id),
            member.id,
        ) > own

    def _track(self, member: Member, now: float) -> None:
        tracked = self._tracked.get(member.id)
        departed = self._departed.pop(member.id, None)
        previous = (
            tracked.member if tracked else departed[0] if departed else None
        )
        restarted = previous is not None and not is_same_process(
            previous, member.incarnation
        )
        if previous is not None and restarted:
            self._replaced[member.id] = (previous, now)
        if tracked is None or restarted:
            self._tracked[member.id] = _TrackedMember(member, now)
        else:
            tracked.member = member


class KeyState(enum.Enum):
    """State of a key in the ledger of its owner."""

    NEW = 'new'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'
    RELEASED = 'released'
    MISMATCH = 'mismatch'


@dataclass(slots=True)
class KeyEntry:
    """State and stored response of a key.

    Parameters
    ----------
    state : KeyState
        State of the key.
    digest : bytes
        Digest of the request; another request must not use the key.
    response : RecordedResponse or None
        Stored response.
    expires_at : float
        Time in seconds at which the entry is removed.
    released_to : set of (str, int)
        Ids and incarnations of the daemons that the key was released to.
    """

    state: KeyState
    digest: bytes
    response: RecordedResponse | None = None
    expires_at: float = float('inf')
    released_to: set[tuple[str, int]] = field(default_factory=set)


class KeyLedger:
    """Record of the keys that a key owner has received.

    Parameters
    ----------
    max_bytes : int
        Maximum total size of the stored responses in bytes. Beyond it, the
        oldest responses are evicted; their keys remain.
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
            State ``NEW`` when the key has been claimed; the caller then has
            to call `finish` or `abandon`. An entry in the state
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
        """Record the outcome of the request of a claimed key.

        Parameters
        ----------
        service, key : str
            Service and idempotency key.
        now : float
            Current time in seconds.
        state : KeyState
            ``DONE`` when it ran, ``UNKNOWN`` when that is not certain.
        response : RecordedResponse or None
            Response to store.
        """
        entry = self._entries[service, key]
        entry.state = state
        self._schedule_expiry(service, key, entry, now)
        if response is not None and response.size <= self._max_bytes:
            entry.response = response
            self._responses[service, key] = response.size
            self._bytes += response.size
        while self._bytes > self._max_bytes:
            oldest, size = self._responses.popitem(last=False)
            self._entries[oldest].response = None
            self._bytes -= size

    def abandon(self, service: str, key: str, now: float) -> None:
        """Cancel the claim to a key whose request certainly did not run."""
        entry = self._entries[service, key]
        if entry.released_to:
            entry.state = KeyState.RELEASED
            self._schedule_expiry(service, key, entry, now)
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
        """Release a key to its new owner.

        Parameters
        ----------
        service, key : str
            Service and idempotency key.
        now : float
            Current time in seconds.
        to : (str, int)
            Id and incarnation of the new owner.
        asked : iterable of (str, int)
            Ids and incarnations of all members that the new owner queries.

        Returns
        -------
        KeyState
            ``RELEASED`` when no request with the key has run here or with
            the consent of this daemon, and none will without the consent
            of the new owner; otherwise the state of the key, or
            ``UNKNOWN`` when it was released to a daemon that the new owner
            does not query.
        """
        self._expire(now)
        entry = self._entries.get((service, key))
        if entry is None:
            entry = KeyEntry(KeyState.RELEASED, b'')
            self._entries[service, key] = entry
            self._schedule_expiry(service, key, entry, now)
        if entry.state != KeyState.RELEASED:
            return entry.state
        incarnations_by_id = {**dict(asked), to[0]: to[1]}
        certain = all(
            member_id in incarnations_by_id
            and _are_same_process(incarnation, incarnations_by_id[member_id])
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
        """Store the entry of a key from a daemon that stops.

        An existing entry is kept, unless its state is ``RELEASED``.

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
        existing = self._entries.get((service, key))
        if existing is None:
            self._entries[service, key] = entry
            self._schedule_expiry(service, key, entry, now)
        elif existing.state == KeyState.RELEASED:
            existing.state = entry.state
            existing.digest = entry.digest
            existing.released_to |= entry.released_to

    def reclaim(self, service: str, key: str, digest: bytes) -> None:
        """Claim a released key again, to query those it was released to.

        Parameters
        ----------
        service, key : str
            Service, and a key whose state is ``RELEASED``.
        digest : bytes
            Digest of the request.
        """
        entry = self._entries[service, key]
        entry.state = KeyState.RUNNING
        entry.digest = digest
        entry.expires_at = float('inf')
        del self._expiry[service, key]

    def _schedule_expiry(
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
