"""State machine that keeps one daemon's configuration up to date."""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

import msgspec

from gypsumhall._errors import InvalidUpdateError
from gypsumhall.core import _delta
from gypsumhall.core import _model
from gypsumhall.core._acknowledgements import AcknowledgementTracker
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
from gypsumhall.core._tree import TreeCache
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
    from gypsumhall.net._messages import Message
    from gypsumhall.net._messages import Revert
    from gypsumhall.net._messages import Reverts
    from gypsumhall.net._messages import ZoneSummaries
    from gypsumhall.net._messages import ZoneSummary
    from gypsumhall.services._protocols import MemberTable

ANNOUNCED_MEMBERS = 3
CROSS_ZONE_PROBABILITY = 1 / 8

# After an announcement, the push usually arrives within this time, which
# makes a pull unnecessary.
PULL_DELAY_S = 0.1

# Number of versions that a delta can start from. At the design rate of 0.21
# changes per second this covers more than two minutes.
MAX_DELTA_BASES = 32

# A head read from the platform may lag behind the versions pushed by peers,
# but by no more than the time in which a version takes effect on all daemons.
HEAD_LAG_S = 3.0

# No other source is asked while a pull is in progress, so one that stalls must
# end early. Slow links need longer: the timeout doubles with every failure.
PULL_TIMEOUT_MIN_S = 1.0
PULL_TIMEOUT_MAX_S = 10.0

_ANNOUNCE_INTERVAL_S = 5.0
_RETRY_MIN_S = 0.2
_RETRY_MAX_S = 5.0
# After a corrupt update, every retry transfers a full configuration.
_CORRUPT_RETRY_MAX_S = 60.0
# The interval doubles while pulls of reverts return nothing new.
_REVERTS_INTERVAL_MIN_S = 0.5
_REVERTS_INTERVAL_MAX_S = 10.0
_MAX_DOUBLINGS = 10
_MAX_SOURCES = 8
_MAX_RECORDED_KEYS = 256


@dataclass(slots=True)
class _Source:
    """A version above the installed one that a peer can provide."""

    version: int
    digest: str


def _add_once(store: dict[tuple[object, ...], None], *key: object) -> bool:
    """Add a key to a bounded set; return False if it is present."""
    if key in store:
        return False
    if len(store) >= _MAX_RECORDED_KEYS:
        del store[next(iter(store))]
    store[key] = None
    return True


class Replica:
    """Configuration, reverts and acknowledgements of one daemon.

    It reads no clock and performs no I/O: its methods return the actions to
    execute, and `tick` has to be called when `due` is reached.

    Parameters
    ----------
    me : Member
        Member table entry of this daemon.
    table : MemberTable
        The member table.
    rng : random.Random
        Source of randomness.
    """

    __slots__ = (
        '_acknowledgements',
        '_announce_due',
        '_announced_roots',
        '_delta_bases',
        '_failed_pulls',
        '_fetching',
        '_floor',
        '_forwarded_versions',
        '_installed_at',
        '_me',
        '_pull_due',
        '_pull_full',
        '_pull_replies',
        '_raised_alarms',
        '_rejected_versions',
        '_reverts',
        '_reverts_interval_s',
        '_reverts_pull_due',
        '_rng',
        '_snapshot',
        '_sources',
        '_table',
        '_trees',
    )

    def __init__(
        self, me: Member, table: MemberTable, rng: random.Random
    ) -> None:
        self._me = me
        self._table = table
        self._rng = rng
        self._trees = TreeCache(table)
        self._acknowledgements = AcknowledgementTracker(me, self._trees, rng)
        self._snapshot = Snapshot.build(_model.Head(), ())
        self._installed_at = -math.inf
        self._delta_bases: dict[tuple[int, str], _delta.Base] = {}
        # Replies by version and digest of the base; (0, '') stands for none.
        self._pull_replies: dict[tuple[int, str], Sequence[_delta.Part]] = {}
        self._floor: int | None = None
        self._reverts = RevertSet()
        self._reverts_pull_due = -math.inf
        self._reverts_interval_s = _REVERTS_INTERVAL_MIN_S
        self._sources: dict[str, _Source] = {}
        self._fetching = False
        self._pull_due = math.inf
        self._pull_full = False
        self._failed_pulls = 0
        self._announce_due = -math.inf
        self._forwarded_versions: dict[str, int] = {}
        # Highest version announced in the tree of each root.
        self._announced_roots: dict[str, int] = {}
        self._rejected_versions: dict[tuple[object, ...], None] = {}
        self._raised_alarms: dict[tuple[object, ...], None] = {}

    @property
    def snapshot(self) -> Snapshot:
        """Installed configuration; version 0 is empty."""
        return self._snapshot

    @property
    def version(self) -> int:
        """Installed configuration version, the highest one so far."""
        return self._snapshot.version

    @property
    def floor(self) -> int | None:
        """Lowest version at which this daemon may serve; None if unknown."""
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
        """Digest of the state, which daemons compare with each other."""
        return Digest(
            self.version,
            self._snapshot.digest,
            self._table.digest,
            self._reverts.digest,
        )

    @property
    def due(self) -> float:
        """Time in seconds at which `tick` has to be called."""
        pull = math.inf if self._fetching else self._pull_due
        return min(pull, self._announce_due, self._acknowledgements.due)

    def in_effect(self, version: int) -> bool:
        """Whether every member of every zone acknowledged a version."""
        return self._acknowledgements.in_effect(version)

    def set_floor(self, version: int, now: float) -> None:
        """Set the version floor; it is never lowered."""
        self._floor = max(version, self._floor or 0)
        if self.ready:
            self._acknowledgements.set_version(self.version, now)

    def note_peer_version(
        self, version: int, address: str, now: float
    ) -> None:
        """Record that a peer has a version; pull it if it is newer."""
        if version > self.version:
            self._schedule_pull(version, '', address, now)

    def members_changed(self, now: float) -> None:
        """Handle a change of the member table."""
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
            return self._check_old_head(head, now)
        digest = _model.digest(_model.encode(head))[:16]
        if head.version == base.version:
            if digest != base.digest:
                return self._report_conflict(head.version, digest, '')
            if head.version in (0, *self._forwarded_versions.values()):
                return []  # Already forwarded in a tree of this zone.
            return [*self._push(self._build_update(base))]
        if (head.version, digest) in self._rejected_versions:
            return []
        try:
            snapshot = base.advance(head, fragments)
            update, snapshot = self._build_verified_update(snapshot)
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
            Full configuration or delta, joined from its parts.
        address : str
            Peer address of the sender, which has the version.
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
                return self._report_conflict(version, update.digest, address)
            return [*self._forward(update, [update.root])]
        if (version, update.digest) in self._rejected_versions:
            return []
        base = None
        if update.base:
            base = self._delta_bases.get((update.base, update.base_digest))
            if base is None:
                self._schedule_pull(version, update.digest, address, now)
                return []
        try:
            head, fragments = _delta.resolve(update, base)
            snapshot = self._snapshot.advance(head, fragments)
        except CorruptUpdateError as error:
            self._pull_full = True
            self._schedule_pull(version, update.digest, address, now)
            return [
                self._build_alarm('corrupt-update', version, address, error)
            ]
        except InvalidUpdateError as error:
            return self._reject(version, update.digest, address, error)
        roots = [update.root] if update.root else list(self._announced_roots)
        if not roots and self._forwarded_versions:
            # A version that was pulled without an announcement in a tree
            # shows that a node above in the tree has failed: forward it, so
            # that those below need not pull too.
            roots = [next(reversed(self._forwarded_versions))]
        actions = self._install(snapshot, now)
        return [*self._forward(update, roots), *actions]

    def receive_announcement(
        self, message: Announcement, address: str, now: float
    ) -> list[Action]:
        """Handle an announcement of a peer's version.

        Parameters
        ----------
        message : Announcement
            The announcement.
        address : str
            Peer address of the sender, which has the version.
        now : float
            Time in seconds.
        """
        digest, root = message.digest, message.root
        actions = self.receive_digest(digest, address, now, reply=True)
        if not root:
            return actions
        if digest.version > self.version and address in self._sources:
            self._announced_roots.pop(root, None)
            self._announced_roots[root] = digest.version
            if len(self._announced_roots) > _MAX_SOURCES:
                del self._announced_roots[next(iter(self._announced_roots))]
            # No push follows.
            self._pull_due = now
        elif digest.version == self.version:
            actions += self._forward(None, [root])
        return actions

    def receive_digest(
        self, digest: Digest, address: str, now: float, *, reply: bool = False
    ) -> list[Action]:
        """Handle the digest of a peer's state.

        Parameters
        ----------
        digest : Digest
            Digest of the peer's state.
        address : str
            Peer address of the sender.
        now : float
            Time in seconds.
        reply : bool
            Whether to notify a peer that has an older version.
        """
        actions: list[Action] = []
        if digest.version > self.version:
            self._schedule_pull(digest.version, digest.snapshot, address, now)
        elif digest.version < self.version:
            if reply:
                actions.append(Send(address, Announcement(self.digest)))
        elif digest.snapshot != self._snapshot.digest:
            actions += self._report_conflict(
                digest.version, digest.snapshot, address
            )
        if (
            digest.reverts != self._reverts.digest
            and now >= self._reverts_pull_due
        ):
            self._reverts_pull_due = now + self._reverts_interval_s
            self._reverts_interval_s = min(
                _REVERTS_INTERVAL_MAX_S, self._reverts_interval_s * 2
            )
            actions.append(FetchReverts(address))
        return actions

    def handle_fetch_result(
        self,
        address: str,
        reply: Update | Busy | CorruptUpdateError | None,
        now: float,
    ) -> list[Action]:
        """Handle the result of a `Fetch`.

        Parameters
        ----------
        address : str
            Peer address that the pull was sent to.
        reply : Update, Busy, CorruptUpdateError or None
            Reply, joined from its parts; the error when they cannot be
            joined, None when the peer did not reply.
        now : float
            Time in seconds.
        """
        self._fetching = False
        previous_version = self.version
        source = self._sources.pop(address, None)
        actions: list[Action] = []
        if isinstance(reply, Update):
            self._pull_full = False
            actions = self.receive(reply, address, now)
        elif isinstance(reply, CorruptUpdateError):
            self._pull_full = True
            version = source.version if source else 0
            if source is not None:
                self._add_source(address, source)
            actions.append(
                self._build_alarm('corrupt-update', version, address, reply)
            )
        elif isinstance(reply, Busy) and source is not None:
            for other in reply.alternative_addresses:
                if other != self._me.peer_address:
                    self._add_source(other, source)
            self._add_source(address, source)
        if self.version > previous_version:
            self._failed_pulls = 0
        else:
            self._failed_pulls = min(self._failed_pulls + 1, _MAX_DOUBLINGS)
        if self._sources:
            limit = _CORRUPT_RETRY_MAX_S if self._pull_full else _RETRY_MAX_S
            max_delay = min(limit, _RETRY_MIN_S * 2**self._failed_pulls)
            if isinstance(reply, Busy):
                max_delay = max(max_delay, reply.retry_after_ms / 1000)
            self._pull_due = now + self._rng.uniform(max_delay / 4, max_delay)
        return actions

    def build_pull_reply(self, pull: Pull) -> Sequence[_delta.Part]:
        """Return the parts of the reply to a pull.

        The reply is a delta if its base is available, and the full
        configuration otherwise. All parts of a delta have `base` set. A
        peer that is up to date receives an empty delta.
        """
        if pull.installed_version >= self.version:
            return [
                Update(
                    _model.Head(self.version),
                    self.version,
                    (),
                    digest=self._snapshot.digest,
                )
            ]
        key = pull.installed_version, pull.digest
        base = self._delta_bases.get(key)
        if base is None:
            key = 0, ''
        if key not in self._pull_replies:
            target = _delta.Base.of(self._snapshot)
            update = (
                _delta.full_update(target)
                if base is None
                else _delta.diff(base, target)
            )
            # Packed once, not for each daemon that pulls.
            self._pull_replies[key] = tuple(
                _delta.pack(part) for part in _delta.split(update)
            )
        return self._pull_replies[key]

    def _build_update(self, snapshot: Snapshot) -> Update:
        """Return the update to a snapshot from the latest earlier version."""
        target = _delta.Base.of(snapshot)
        for base in reversed(self._delta_bases.values()):
            if base.head.version < snapshot.version:
                return _delta.diff(base, target)
        return _delta.full_update(target)

    def _build_verified_update(
        self, snapshot: Snapshot
    ) -> tuple[Update, Snapshot]:
        """Return the update to a new snapshot and the snapshot to install.

        A publisher installs the result of its own delta, as the receivers
        do. This verifies the delta, and the installed snapshot shares its
        unchanged entries with the base.
        """
        update = self._build_update(snapshot)
        if update.base != self.version or not update.base:
            return update, snapshot
        base = self._snapshot
        try:
            resolved = _delta.resolve(update, _delta.Base.of(base))
            return update, base.advance(*resolved)
        except CorruptUpdateError:
            return _delta.full_update(_delta.Base.of(snapshot)), snapshot

    def _check_old_head(self, head: _model.Head, now: float) -> list[Action]:
        digest = _model.digest(_model.encode(head))[:16]
        known_digests = [
            key[1] for key in self._delta_bases if key[0] == head.version
        ]
        forked = bool(known_digests) and digest not in known_digests
        if not forked and now < self._installed_at + HEAD_LAG_S:
            return []
        if not _add_once(self._raised_alarms, 'head-went-back', digest):
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
        self._pull_replies.clear()
        self._announced_roots.clear()
        base = _delta.Base.of(snapshot)
        self._delta_bases[(snapshot.version, snapshot.digest)] = base
        if len(self._delta_bases) > MAX_DELTA_BASES:
            del self._delta_bases[next(iter(self._delta_bases))]
        self._reverts.prune(snapshot)
        for address, source in list(self._sources.items()):
            if source.version <= snapshot.version:
                del self._sources[address]
        if not self._sources:
            self._pull_due = math.inf
        if self.ready:
            self._acknowledgements.set_version(snapshot.version, now)
        # When no member received a push, announcements to random members
        # alone would miss one member in twenty; announcements along a second
        # tree also reach members below a dead node of the first.
        tree = self._trees.acknowledgement_tree(self._me.zone)
        parent = tree.parent(self._me.id)
        members = self._table.alive(self._me.zone)
        recipients = [
            *((parent,) if parent else ()),
            *tree.children(self._me.id),
            *sample_members(
                members, ANNOUNCED_MEMBERS, self._me.id, self._rng
            ),
        ]
        if self._rng.random() < CROSS_ZONE_PROBABILITY:
            recipients += self._sample_other_zones(1)
        return [*self._announce(recipients), Installed(snapshot)]

    def _sample_other_zones(self, count: int) -> list[Member]:
        zones = self._trees.other_zones(self._me.zone)
        sampled: list[Member] = []
        for zone in self._rng.sample(zones, min(count, len(zones))):
            members = self._table.alive(zone)
            sampled += sample_members(members, 1, self._me.id, self._rng)
        return sampled

    def _announce(self, members: Iterable[Member]) -> list[Send]:
        message = Announcement(self.digest)
        return [Send(item.peer_address, message) for item in members]

    def _push(self, update: Update) -> list[Send]:
        return self._forward(update, [self._me.id])

    def _forward(
        self, update: Update | None, roots: Iterable[str]
    ) -> list[Send]:
        """Send the installed version to the children in some trees.

        Parameters
        ----------
        update : Update or None
            Update to the installed version; None to announce it only.
        roots : iterable of str
            Roots of the trees; trees in which this daemon has forwarded the
            version already, and empty roots, are skipped.
        """
        actions: list[Send] = []
        is_small: bool | None = None if update else False
        for root in roots:
            children = self._start_forwarding(root)
            if children and update is not None and is_small is None:
                is_small = len(_model.encode(update)) <= _delta.PUSH_BYTES
            message: Message = Announcement(self.digest, root)
            if update is not None and is_small:
                message = msgspec.structs.replace(update, root=root)
            actions += [Send(item.peer_address, message) for item in children]
        return actions

    def _start_forwarding(self, root: str) -> Sequence[Member]:
        """Return the children in a tree unless they have the version."""
        version = self.version
        if not root or self._forwarded_versions.get(root, 0) >= version:
            return ()
        self._forwarded_versions.pop(root, None)
        self._forwarded_versions[root] = version
        if len(self._forwarded_versions) > _MAX_SOURCES:
            del self._forwarded_versions[next(iter(self._forwarded_versions))]
        return self._trees.get(self._me.zone, root).children(self._me.id)

    def _schedule_pull(
        self, version: int, digest: str, address: str, now: float
    ) -> None:
        if not address or (version, digest) in self._rejected_versions:
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
        pull = Pull()
        if self.version and not self._pull_full:
            pull = Pull(self.version, self._snapshot.digest)
        timeout_s = min(
            PULL_TIMEOUT_MAX_S, PULL_TIMEOUT_MIN_S * 2**self._failed_pulls
        )
        return [Fetch(address, pull, timeout_s)]

    def _build_alarm(
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

    def _report_conflict(
        self, version: int, digest: str, address: str
    ) -> list[Action]:
        if not _add_once(
            self._raised_alarms, 'digest-conflict', version, digest
        ):
            return []
        return [
            self._build_alarm(
                'digest-conflict', version, address, digest=digest
            )
        ]

    def _reject(
        self,
        version: int,
        digest: str,
        address: str,
        error: InvalidUpdateError,
    ) -> list[Action]:
        alarm = self._build_alarm(
            'invalid-update', version, address, error, digest
        )
        if isinstance(error, CorruptUpdateError):
            return [alarm]
        for source_address, source in list(self._sources.items()):
            if (source.version, source.digest) == (version, digest):
                del self._sources[source_address]
        is_new = _add_once(self._rejected_versions, version, digest)
        return [alarm] if is_new else []

    # Reverts

    def add_revert(self, revert: Revert) -> list[Action]:
        """Add a revert decided on this daemon and send it at once."""
        if not self._reverts.add_local(revert, self._snapshot):
            return []
        self._reverts_interval_s = _REVERTS_INTERVAL_MIN_S
        zones = len(self._trees.other_zones(self._me.zone))
        return [*self._send_reverts((revert,), '', zones), Reverted((revert,))]

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
        complete : bool
            Whether these are all reverts of the sender; those that it lacks
            are then sent to it.
        """
        new = self._reverts.merge(
            message.reverts, message.version, self._snapshot
        )
        actions: list[Action] = []
        if new:
            self._reverts_interval_s = _REVERTS_INTERVAL_MIN_S
            # Zones that the origin cannot reach receive it from this zone.
            others = 0 if message.root else 1
            actions += self._send_reverts(new, message.root, others)
            actions.append(Reverted(new))
        if complete:
            sender_moves = {item.move for item in message.reverts}
            missing = [
                item
                for move, item in self.reverts.items()
                if move not in sender_moves
            ]
            if missing:
                reply = self._reverts.message(missing, self.version)
                actions.append(Send(address, reply))
        return actions

    def all_reverts(self) -> Reverts:
        """Return the reply to a `RevertsPull`."""
        return self._reverts.message(self.reverts.values(), self.version)

    def _send_reverts(
        self, reverts: Sequence[Revert], root: str, zones: int
    ) -> list[Send]:
        """Send reverts down the tree, to random members and other zones."""
        me = self._me
        root = root or me.id
        message = self._reverts.message(reverts, self.version, root)
        tree = self._trees.get(me.zone, root)
        members = self._table.alive(me.zone)
        targets = {item.id: item for item in tree.children(me.id)}
        for item in sample_members(
            members, ANNOUNCED_MEMBERS, me.id, self._rng
        ):
            targets.setdefault(item.id, item)
        cross_zone_message = self._reverts.message(reverts, self.version)
        return [
            *(Send(item.peer_address, message) for item in targets.values()),
            *(
                Send(item.peer_address, cross_zone_message)
                for item in self._sample_other_zones(zones)
            ),
        ]

    # Acknowledgements

    def receive_acknowledgement(
        self, sender: str, message: Acknowledgement, now: float
    ) -> list[Action]:
        """Handle the state of a child's subtree."""
        self._acknowledgements.receive_report(sender, message, now)
        return []

    def receive_summaries(
        self, message: ZoneSummaries, address: str, zone: str, now: float
    ) -> list[Action]:
        """Handle summaries of zones from a peer of any zone."""
        actions = self._acknowledgements.merge_summaries(
            message, address, zone, now
        )
        return [*actions]
