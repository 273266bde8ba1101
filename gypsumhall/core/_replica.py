"""State machine that keeps one daemon's configuration up to date."""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

import msgspec

from gypsumhall._errors import InvalidUpdateError
from gypsumhall.core import _delta
from gypsumhall.core import _model
from gypsumhall.core._acknowledgements import Acknowledgements
from gypsumhall.core._actions import Action
from gypsumhall.core._actions import Alarm
from gypsumhall.core._actions import Fetch
from gypsumhall.core._actions import FetchReverts
from gypsumhall.core._actions import Installed
from gypsumhall.core._actions import Reverted
from gypsumhall.core._actions import Send
from gypsumhall.core._reverts import RevertSet
from gypsumhall.core._snapshot import CorruptUpdateError
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.core._tree import sample_members
from gypsumhall.core._tree import Trees
from gypsumhall.net._messages import Acknowledgement
from gypsumhall.net._messages import Announcement
from gypsumhall.net._messages import Busy
from gypsumhall.net._messages import Digest
from gypsumhall.net._messages import Pull
from gypsumhall.net._messages import Update

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence
    import random

    from gypsumhall.core._member import Member
    from gypsumhall.net._messages import Revert
    from gypsumhall.net._messages import Reverts
    from gypsumhall.net._messages import ZoneSummaries
    from gypsumhall.net._messages import ZoneSummary
    from gypsumhall.services._protocols import MemberTable

ANNOUNCED_MEMBERS = 3
CROSS_ZONE_PROBABILITY = 1 / 8

# A push usually arrives within this time after an announcement.
PULL_DELAY_S = 0.1

# Versions that a delta can start from. At the design rate of 0.21 changes
# per second this covers more than two minutes.
HISTORY = 32

# A head read from the platform may lag behind the pushes of peers, but not
# longer than the time within which a version is in effect everywhere.
HEAD_LAG_S = 3.0

_ANNOUNCE_INTERVAL_S = 5.0
_RETRY_MIN_S = 0.2
_RETRY_MAX_S = 5.0
# A peer that sends corrupt updates costs a whole configuration per attempt.
_CORRUPT_MAX_S = 60.0
# The interval doubles while pulls of reverts bring nothing new.
_REVERTS_MIN_S = 0.5
_REVERTS_MAX_S = 10.0
_MAX_DOUBLINGS = 10
_MAX_SOURCES = 8
_MAX_REMEMBERED = 256


@dataclass(slots=True)
class _Source:
    """A peer that holds a version above the installed one."""

    version: int
    digest: str


def _remember(store: dict[tuple[object, ...], None], *key: object) -> bool:
    """Add a key to a bounded set; False when it is already in it."""
    if key in store:
        return False
    if len(store) >= _MAX_REMEMBERED:
        del store[next(iter(store))]
    store[key] = None
    return True


class Replica:
    """Configuration, reverts and acknowledgements of one daemon.

    It reads no clock and does no I/O: every input returns the actions to
    take, and `tick` has to be called when `due` is reached.

    Parameters
    ----------
    me : Member
        Entry of this daemon.
    table : MemberTable
        The member table.
    rng : random.Random
        Source of randomness.
    """

    __slots__ = (
        '_acknowledgements',
        '_alarmed',
        '_announce_due',
        '_attempts',
        '_fetching',
        '_floor',
        '_forwarded',
        '_history',
        '_installed_at',
        '_me',
        '_pull_due',
        '_pull_whole',
        '_rejected',
        '_reverts',
        '_reverts_due',
        '_reverts_wait',
        '_rng',
        '_snapshot',
        '_sources',
        '_table',
        '_trees',
        '_whole',
    )

    def __init__(
        self, me: Member, table: MemberTable, rng: random.Random
    ) -> None:
        self._me = me
        self._table = table
        self._rng = rng
        self._trees = Trees(table)
        self._acknowledgements = Acknowledgements(me, self._trees, rng)
        self._snapshot = Snapshot.build(_model.Head(), ())
        self._installed_at = -math.inf
        self._history: dict[tuple[int, str], _delta.Base] = {}
        self._whole: list[Update] = []
        self._floor: int | None = None
        self._reverts = RevertSet()
        self._reverts_due = -math.inf
        self._reverts_wait = _REVERTS_MIN_S
        self._sources: dict[str, _Source] = {}
        self._fetching = False
        self._pull_due = math.inf
        self._pull_whole = False
        self._attempts = 0
        self._announce_due = -math.inf
        self._forwarded: dict[str, int] = {}
        self._rejected: dict[tuple[object, ...], None] = {}
        self._alarmed: dict[tuple[object, ...], None] = {}

    @property
    def snapshot(self) -> Snapshot:
        """Installed configuration; version 0 is empty."""
        return self._snapshot

    @property
    def version(self) -> int:
        """Installed configuration version, the highest ever held."""
        return self._snapshot.version

    @property
    def floor(self) -> int | None:
        """Lowest version at which this daemon may serve, once known."""
        return self._floor

    @property
    def ready(self) -> bool:
        """Whether the installed version has reached the floor."""
        return self._floor is not None and self.version >= self._floor

    @property
    def reverts(self) -> Mapping[str, Revert]:
        """Reverted moves by id."""
        return self._reverts.reverts

    @property
    def summaries(self) -> Mapping[str, ZoneSummary]:
        """Latest summary of every zone."""
        return self._acknowledgements.summaries

    @property
    def digest(self) -> Digest:
        """Summary of the state that daemons compare with each other."""
        return Digest(
            self.version,
            self._snapshot.digest,
            self._table.digest,
            self._reverts.digest,
        )

    @property
    def due(self) -> float:
        """Time at which `tick` has something to do."""
        pull = math.inf if self._fetching else self._pull_due
        return min(pull, self._announce_due, self._acknowledgements.due)

    def in_effect(self, version: int) -> bool:
        """Whether every member of every zone acknowledged a version."""
        return self._acknowledgements.in_effect(version)

    def set_floor(self, version: int, now: float) -> None:
        """Take over the version floor; it is never lowered."""
        self._floor = max(version, self._floor or 0)
        if self.ready:
            self._acknowledgements.set_version(self.version, now)

    def note_peer_version(
        self, version: int, address: str, now: float
    ) -> None:
        """Take note that a peer holds a version."""
        if version > self.version:
            self._want(version, '', address, now)

    def members_changed(self, now: float) -> None:
        """Take note of a change of the member table."""
        self._acknowledgements.members_changed(now)

    def tick(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        actions: list[Action] = [*self._acknowledgements.tick(now)]
        if now >= self._announce_due:
            self._announce_due = now + _ANNOUNCE_INTERVAL_S * (
                self._rng.uniform(0.8, 1.2)
            )
            members = self._table.members()
            actions += self._announce(
                sample_members(members, 1, self._me.id, self._rng)
            )
        if now >= self._pull_due and not self._fetching:
            self._pull_due = math.inf
            actions += self._pull()
        return actions

    # Versions

    def publish(
        self,
        head: _model.Head,
        fragments: Iterable[_model.Fragment],
        now: float,
    ) -> list[Action]:
        """Install a version read from the platform and push it."""
        base = self._snapshot
        if head.version < base.version:
            return self._check_late_head(head, now)
        digest = _model.digest(_model.encode(head))[:16]
        if head.version == base.version:
            if digest != base.digest:
                return self._conflict(head.version, digest, '')
            if head.version in (0, *self._forwarded.values()):
                return []  # A tree of this zone already carries it.
            return [*self._push(self._update(base))]
        if (head.version, digest) in self._rejected:
            return []
        try:
            snapshot = base.advance(head, fragments)
            update, snapshot = self._as_received(snapshot)
        except InvalidUpdateError as error:
            return self._reject(head.version, digest, '', error)
        actions = self._install(snapshot, now)
        return [*self._push(update), *actions]

    def receive(
        self, update: Update, address: str, now: float
    ) -> list[Action]:
        """Handle an update from a peer.

        Parameters
        ----------
        update : Update
            Whole configuration or delta, joined from its parts.
        address : str
            Peer address of the sender; it holds the version.
        now : float
            Time in seconds.
        """
        version = update.head.version
        if version < self.version:
            return []
        if not update.base and not update.digest:
            digest = _model.digest(_model.encode(update.head))[:16]
            update = msgspec.structs.replace(update, digest=digest)
        if version == self.version:
            if update.digest != self._snapshot.digest:
                return self._conflict(version, update.digest, address)
            return [*self._forward(update)]
        if (version, update.digest) in self._rejected:
            return []
        base = None
        if update.base:
            base = self._history.get((update.base, update.base_digest))
            if base is None:
                self._want(version, update.digest, address, now)
                return []
        try:
            head, fragments = _delta.resolve(update, base)
            snapshot = self._snapshot.advance(head, fragments)
        except CorruptUpdateError as error:
            self._pull_whole = True
            self._want(version, update.digest, address, now)
            return [self._alarm('corrupt-update', version, address, error)]
        except InvalidUpdateError as error:
            return self._reject(version, update.digest, address, error)
        if not update.root and self._forwarded:
            # A pulled version means that the tree is broken above: those
            # below get it from here rather than after a pull of their own.
            root = next(reversed(self._forwarded))
            update = msgspec.structs.replace(update, root=root)
        actions = self._install(snapshot, now)
        return [*self._forward(update), *actions]

    def receive_digest(
        self, digest: Digest, address: str, now: float, *, reply: bool = False
    ) -> list[Action]:
        """Handle the summary of a peer's state.

        Parameters
        ----------
        digest : Digest
            The peer's state.
        address : str
            Peer address of the sender.
        now : float
            Time in seconds.
        reply : bool
            Whether to tell a peer that is behind.
        """
        actions: list[Action] = []
        if digest.version > self.version:
            self._want(digest.version, digest.snapshot, address, now)
        elif digest.version < self.version:
            if reply:
                actions.append(Send(address, Announcement(self.digest)))
        elif digest.snapshot != self._snapshot.digest:
            actions += self._conflict(digest.version, digest.snapshot, address)
        if digest.reverts != self._reverts.digest and now >= self._reverts_due:
            self._reverts_due = now + self._reverts_wait
            self._reverts_wait = min(_REVERTS_MAX_S, self._reverts_wait * 2)
            actions.append(FetchReverts(address))
        return actions

    def handle_fetch_result(
        self, address: str, answer: Update | Busy | None, now: float
    ) -> list[Action]:
        """Handle the result of a `Fetch`.

        Parameters
        ----------
        address : str
            Peer address that was asked.
        answer : Update, Busy or None
            Joined answer; None when the peer did not answer.
        now : float
            Time in seconds.
        """
        self._fetching = False
        before = self.version
        source = self._sources.pop(address, None)
        actions: list[Action] = []
        if isinstance(answer, Update):
            self._pull_whole = False
            actions = self.receive(answer, address, now)
        elif isinstance(answer, Busy) and source is not None:
            for other in answer.others:
                if other != self._me.peer_address:
                    self._add_source(other, source)
            self._add_source(address, source)
        if self.version > before:
            self._attempts = 0
        else:
            self._attempts = min(self._attempts + 1, _MAX_DOUBLINGS)
        if self._sources:
            limit = _CORRUPT_MAX_S if self._pull_whole else _RETRY_MAX_S
            longest = min(limit, _RETRY_MIN_S * 2**self._attempts)
            if isinstance(answer, Busy):
                longest = max(longest, answer.retry_after_ms / 1000)
            self._pull_due = now + self._rng.uniform(longest / 4, longest)
        return actions

    def build_pull_reply(self, pull: Pull) -> Sequence[Update]:
        """Return the installed configuration in parts, as a delta if known.

        All parts of a delta have `base` set. A peer that is not behind gets
        a delta without contents.
        """
        if pull.held >= self.version:
            return [
                Update(
                    _model.Head(self.version),
                    self.version,
                    (),
                    digest=self._snapshot.digest,
                )
            ]
        base = self._history.get((pull.held, pull.digest))
        if base is not None:
            target = _delta.Base.of(self._snapshot)
            return _delta.split(_delta.diff(base, target))
        if not self._whole:
            self._whole = _delta.split(
                _delta.whole(_delta.Base.of(self._snapshot))
            )
        return self._whole

    def _update(self, snapshot: Snapshot) -> Update:
        """Return the update to a snapshot from the version held before."""
        target = _delta.Base.of(snapshot)
        for base in reversed(self._history.values()):
            if base.head.version < snapshot.version:
                return _delta.diff(base, target)
        return _delta.whole(target)

    def _as_received(self, snapshot: Snapshot) -> tuple[Update, Snapshot]:
        """Return the update to a new snapshot and what it leads to.

        A publisher installs the result of its own delta, as the receivers
        do. This proves that the delta is right, and what did not change is
        shared with the base.
        """
        update = self._update(snapshot)
        if update.base != self.version or not update.base:
            return update, snapshot
        base = self._snapshot
        try:
            resolved = _delta.resolve(update, _delta.Base.of(base))
            return update, base.advance(*resolved)
        except CorruptUpdateError:
            return _delta.whole(_delta.Base.of(snapshot)), snapshot

    def _check_late_head(self, head: _model.Head, now: float) -> list[Action]:
        digest = _model.digest(_model.encode(head))[:16]
        known = [key[1] for key in self._history if key[0] == head.version]
        forked = bool(known) and digest not in known
        if not forked and now < self._installed_at + HEAD_LAG_S:
            return []
        if not _remember(self._alarmed, 'head-went-back', digest):
            return []
        return [
            Alarm(
                'head-went-back',
                {'head': head.version, 'installed': self.version},
            )
        ]

    def _install(self, snapshot: Snapshot, now: float) -> list[Action]:
        self._snapshot = snapshot
        self._installed_at = now
        self._whole = []
        base = _delta.Base.of(snapshot)
        self._history[(snapshot.version, snapshot.digest)] = base
        if len(self._history) > HISTORY:
            del self._history[next(iter(self._history))]
        self._reverts.prune(snapshot)
        for address, source in list(self._sources.items()):
            if source.version <= snapshot.version:
                del self._sources[address]
        if not self._sources:
            self._pull_due = math.inf
        if self.ready:
            self._acknowledgements.set_version(snapshot.version, now)
        # Random members alone would miss one member in twenty when nobody
        # was pushed to; a second tree reaches those behind a dead node.
        tree = self._trees.acknowledgement_tree(self._me.zone)
        parent = tree.parent(self._me.id)
        zone = self._table.alive(self._me.zone)
        chosen = [
            *((parent,) if parent else ()),
            *tree.children(self._me.id),
            *sample_members(zone, ANNOUNCED_MEMBERS, self._me.id, self._rng),
        ]
        if self._rng.random() < CROSS_ZONE_PROBABILITY:
            chosen += self._other_zone_members(1)
        return [*self._announce(chosen), Installed(snapshot)]

    def _other_zone_members(self, count: int) -> list[Member]:
        zones = self._trees.other_zones(self._me.zone)
        found: list[Member] = []
        for zone in self._rng.sample(zones, min(count, len(zones))):
            members = self._table.alive(zone)
            found += sample_members(members, 1, self._me.id, self._rng)
        return found

    def _announce(self, members: Iterable[Member]) -> list[Send]:
        message = Announcement(self.digest)
        return [Send(item.peer_address, message) for item in members]

    def _push(self, update: Update) -> list[Send]:
        root = self._me.id
        return self._forward(msgspec.structs.replace(update, root=root))

    def _forward(self, update: Update) -> list[Send]:
        version = update.head.version
        root = update.root
        if not root or self._forwarded.get(root, 0) >= version:
            return []
        self._forwarded.pop(root, None)
        self._forwarded[root] = version
        if len(self._forwarded) > _MAX_SOURCES:
            del self._forwarded[next(iter(self._forwarded))]
        children = self._trees.get(self._me.zone, root).children(self._me.id)
        if not children:
            return []
        if len(_model.encode(update)) > _delta.PART_BYTES:
            # It does not fit into a frame; the children pull it in parts.
            return self._announce(children)
        return [Send(item.peer_address, update) for item in children]

    def _want(
        self, version: int, digest: str, address: str, now: float
    ) -> None:
        if not address or (version, digest) in self._rejected:
            return
        self._add_source(address, _Source(version, digest))
        if self._pull_due == math.inf:
            self._pull_due = now + PULL_DELAY_S * self._rng.uniform(1, 1.5)

    def _add_source(self, address: str, source: _Source) -> None:
        self._sources.pop(address, None)
        self._sources[address] = source
        if len(self._sources) > _MAX_SOURCES:
            del self._sources[next(iter(self._sources))]

    def _pull(self) -> list[Action]:
        if not self._sources:
            return []
        highest = max(item.version for item in self._sources.values())
        address = self._rng.choice(
            [
                address
                for address, item in self._sources.items()
                if item.version == highest
            ]
        )
        self._fetching = True
        if self._pull_whole or not self.version:
            return [Fetch(address, Pull())]
        return [Fetch(address, Pull(self.version, self._snapshot.digest))]

    def _alarm(
        self,
        code: str,
        version: int,
        address: str,
        error: InvalidUpdateError | None = None,
        digest: str = '',
    ) -> Alarm:
        fields: dict[str, object] = {
            'update': version,
            'installed': self.version,
            'peer': address,
        }
        if digest:
            fields['digest'] = digest
        if error is not None:
            fields['error'] = str(error)
        return Alarm(code, fields, error)

    def _conflict(
        self, version: int, digest: str, address: str
    ) -> list[Action]:
        if not _remember(self._alarmed, 'digest-conflict', version, digest):
            return []
        return [
            self._alarm('digest-conflict', version, address, digest=digest)
        ]

    def _reject(
        self,
        version: int,
        digest: str,
        address: str,
        error: InvalidUpdateError,
    ) -> list[Action]:
        alarm = self._alarm('invalid-update', version, address, error, digest)
        if isinstance(error, CorruptUpdateError):
            return [alarm]
        for key, source in list(self._sources.items()):
            if (source.version, source.digest) == (version, digest):
                del self._sources[key]
        new = _remember(self._rejected, version, digest)
        return [alarm] if new else []

    # Reverts

    def add_revert(self, revert: Revert) -> list[Action]:
        """Add a verdict reached on this daemon and spread it at once."""
        if not self._reverts.add_local(revert, self._snapshot):
            return []
        self._reverts_wait = _REVERTS_MIN_S
        zones = len(self._trees.other_zones(self._me.zone))
        return [*self._spread((revert,), '', zones), Reverted((revert,))]

    def receive_reverts(
        self, message: Reverts, address: str, *, complete: bool = False
    ) -> list[Action]:
        """Handle reverts from a peer.

        Parameters
        ----------
        message : Reverts
            The reverts.
        address : str
            Peer address of the sender.
        whole : bool
            Whether these are all reverts of the sender, so that it lacks
            those that are missing.
        """
        new = self._reverts.merge(
            message.reverts, message.version, self._snapshot
        )
        actions: list[Action] = []
        if new:
            self._reverts_wait = _REVERTS_MIN_S
            # Zones that the origin cannot reach learn it from this zone.
            others = 0 if message.root else 1
            actions += self._spread(new, message.root, others)
            actions.append(Reverted(new))
        if complete:
            theirs = {item.move for item in message.reverts}
            missing = [
                item
                for move, item in self.reverts.items()
                if move not in theirs
            ]
            if missing:
                reply = self._reverts.message(missing, self.version)
                actions.append(Send(address, reply))
        return actions

    def all_reverts(self) -> Reverts:
        """Return the answer to a `RevertsPull`."""
        return self._reverts.message(self.reverts.values(), self.version)

    def _spread(
        self, reverts: Sequence[Revert], root: str, zones: int
    ) -> list[Send]:
        """Send reverts down the tree, to random members and other zones."""
        me = self._me
        root = root or me.id
        message = self._reverts.message(reverts, self.version, root)
        tree = self._trees.get(me.zone, root)
        zone = self._table.alive(me.zone)
        targets = {item.id: item for item in tree.children(me.id)}
        for item in sample_members(zone, ANNOUNCED_MEMBERS, me.id, self._rng):
            targets.setdefault(item.id, item)
        entry = self._reverts.message(reverts, self.version)
        return [
            *(Send(item.peer_address, message) for item in targets.values()),
            *(
                Send(item.peer_address, entry)
                for item in self._other_zone_members(zones)
            ),
        ]

    # Acknowledgements

    def receive_acknowledgement(
        self, sender: str, message: Acknowledgement, now: float
    ) -> list[Action]:
        """Handle the state of a child's subtree."""
        self._acknowledgements.report(sender, message, now)
        return []

    def receive_summaries(
        self, message: ZoneSummaries, address: str, zone: str, now: float
    ) -> list[Action]:
        """Handle summaries of zones from a peer of some zone."""
        found = self._acknowledgements.merge(message, address, zone, now)
        return [*found]
