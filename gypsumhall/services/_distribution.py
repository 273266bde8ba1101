"""Service that keeps the configuration of this daemon up to date."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math
import random
from typing import TYPE_CHECKING

from loguru import logger
import msgspec
import trio

from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import PeerError
from gypsumhall._errors import StoreError
from gypsumhall._kernel import KernelError
from gypsumhall.core import _delta
from gypsumhall.core._actions import Action
from gypsumhall.core._actions import Alarm
from gypsumhall.core._actions import Fetch
from gypsumhall.core._actions import FetchReverts
from gypsumhall.core._actions import Installed
from gypsumhall.core._actions import Reverted
from gypsumhall.core._actions import Send
from gypsumhall.core._replica import Replica
from gypsumhall.core._snapshot import CorruptUpdateError
from gypsumhall.core._tree import ring_neighbours
from gypsumhall.core._tree import sample_members
from gypsumhall.net._messages import Acknowledgement
from gypsumhall.net._messages import Announcement
from gypsumhall.net._messages import Busy
from gypsumhall.net._messages import Digest
from gypsumhall.net._messages import Floor
from gypsumhall.net._messages import FloorRequest
from gypsumhall.net._messages import PackedUpdate
from gypsumhall.net._messages import Pull
from gypsumhall.net._messages import Reverts
from gypsumhall.net._messages import RevertsPull
from gypsumhall.net._messages import Update
from gypsumhall.net._messages import ZoneSummaries
from gypsumhall.net._protocol import PeerNetwork
from gypsumhall.services._protocols import Events
from gypsumhall.services._protocols import Membership
from gypsumhall.services._protocols import Metrics

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from gypsumhall._kernel import Kernel
    from gypsumhall.core._member import Member
    from gypsumhall.core._model import Fragment
    from gypsumhall.core._model import Head
    from gypsumhall.core._snapshot import Snapshot
    from gypsumhall.net._messages import Message
    from gypsumhall.net._messages import Revert
    from gypsumhall.net._messages import ZoneSummary
    from gypsumhall.net._protocol import Exchange
    from gypsumhall.net._protocol import PeerInfo

HeadReader = Callable[[], Awaitable['Head']]

# A full configuration takes about 1 MB at the design scale, so more concurrent
# bootstraps would exceed a daemon's share of memory and network bandwidth.
MAX_BOOTSTRAPS = 8

# Large replies that are sent at the same time. More would share the daemon's
# link with calls and heartbeats, and would not arrive earlier in total.
MAX_TRANSFERS = 2

# Pulls with large replies that are sent or that wait; others get `Busy`.
MAX_LARGE_PULLS = 16

# Replies of ready daemons that are needed to determine a version floor.
MIN_FLOOR_REPLIES = 3

_BOOTSTRAP_JITTER_S = 0.5
_FLOOR_REQUESTS = 8
_FLOOR_TIMEOUT_S = 1.0
_BACKOFF_MIN_S = 0.2
_BACKOFF_MAX_S = 5.0

# Two rounds of membership heartbeats: before that, the member table may not
# list all members of a small zone.
_MEMBERSHIP_SETTLE_S = 2.0

_HEAD_TIMEOUT_S = 10.0
_REVERTS_TIMEOUT_S = 2.0

# Time after which a transfer that a peer does not end no longer counts.
_TRANSFER_TIMEOUT_S = 2.0

# Daemons of a zone that read the platform's head per attempt, on average.
_HEAD_READERS_PER_ATTEMPT = 100

# Time in seconds after the start from which members of other zones are asked
# for the floor. The own zone and the platform are preferred, as other zones
# may have older versions.
_OTHER_ZONES_AFTER_S = 5.0

# At 512 KiB per part this is far above any valid configuration.
_MAX_UPDATE_PARTS = 64


async def _reply(exchange: Exchange, *messages: Message) -> None:
    """Send a reply; on failure the peer repeats its request elsewhere."""
    try:
        for message in messages:
            await exchange.send(message)
        await exchange.finish()
    except PeerError as error:
        logger.debug('reply to {} failed: {}', exchange.peer.id, error)


async def _wait_for_end(exchange: Exchange) -> None:
    """Wait until the peer has received a reply and ends the exchange."""
    with (
        trio.move_on_after(_TRANSFER_TIMEOUT_S),
        contextlib.suppress(PeerError, trio.EndOfChannel),
    ):
        while True:
            await exchange.receive()


def _highest_version(replies: Iterable[tuple[Member, Floor]]) -> int:
    return max(
        (
            max(item.acknowledged_version, item.installed_version)
            for _, item in replies
        ),
        default=0,
    )


def _count_ready(replies: Iterable[tuple[Member, Floor]]) -> int:
    return sum(1 for _, item in replies if item.ready)


class DistributionService:
    """Installed configuration and reverts; the service ``distribution``.

    Parameters
    ----------
    rng : random.Random or None
        Source of randomness; a fresh one by default.
    jitter_s : float
        Longest random delay in seconds before the version floor is first
        requested.
    """

    __slots__ = (
        '_bootstraps',
        '_events',
        '_jitter_s',
        '_large_pulls',
        '_membership',
        '_metrics',
        '_nursery',
        '_peers',
        '_read_head',
        '_ready',
        '_replica',
        '_rng',
        '_served_addresses',
        '_subscribers',
        '_timer_due',
        '_transfers',
        '_wake',
    )

    name = 'distribution'
    requires: tuple[str, ...] = ('peers', 'membership')

    def __init__(
        self,
        *,
        rng: random.Random | None = None,
        jitter_s: float = _BOOTSTRAP_JITTER_S,
    ) -> None:
        self._jitter_s = jitter_s
        self._rng = rng or random.Random()
        self._replica: Replica | None = None
        self._read_head: HeadReader | None = None
        self._subscribers: list[Callable[[], None]] = []
        self._ready = trio.Event()
        self._wake = trio.Event()
        # Time for which the timer task waits.
        self._timer_due = math.inf
        self._bootstraps = 0
        self._large_pulls = 0
        self._transfers = trio.Semaphore(MAX_TRANSFERS)
        # Addresses of the daemons that received large replies last.
        self._served_addresses: deque[str] = deque(maxlen=MIN_FLOOR_REPLIES)
        self._events: Events | None = None
        self._metrics: Metrics | None = None

    @property
    def snapshot(self) -> Snapshot | None:
        """Installed configuration; None before its version floor is met."""
        replica = self._replica
        return replica.snapshot if replica and replica.ready else None

    @property
    def reverts(self) -> Mapping[str, Revert]:
        """Reverted moves by id."""
        return self._replica.reverts if self._replica else {}

    @property
    def summaries(self) -> Mapping[str, ZoneSummary]:
        """Latest summary of every zone."""
        return self._replica.summaries if self._replica else {}

    @property
    def digest(self) -> Digest:
        """Digest of the state, which daemons compare with each other."""
        return self._replica.digest if self._replica else Digest()

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep the configuration up to date until cancelled.

        The service counts as started before the version floor is reached;
        use `wait_ready` for that.
        """
        self._peers = kernel.get('peers', PeerNetwork)
        membership = self._membership = kernel.get('membership', Membership)
        if 'events' in kernel.names:
            self._events = kernel.get('events', Events)
        if 'metrics' in kernel.names:
            self._metrics = kernel.get('metrics', Metrics)
        self._replica = Replica(membership.me, membership.table, self._rng)
        self._register_handlers()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._run_timers)
            nursery.start_soon(self._bootstrap)
            task_status.started()

    async def drain(self) -> None:
        """Return at once; peers may pull until the daemon has stopped."""

    async def wait_ready(self) -> None:
        """Wait until a configuration at or above the floor is installed."""
        await self._ready.wait()

    def set_head_reader(self, read: HeadReader) -> None:
        """Set a fallback source of the version floor.

        It is used when too few peers report a version.

        Parameters
        ----------
        read : callable
            Coroutine function that returns the platform's head, an empty
            one when there is none. It may raise `StoreError` and
            `msgspec.DecodeError`.
        """
        self._read_head = read

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each install and each new revert."""
        self._subscribers.append(callback)

    def in_effect(self, version: int) -> bool:
        """Whether every member of every zone acknowledged a version."""
        return self._replica is not None and self._replica.in_effect(version)

    def install(self, update: Update) -> bool:
        """Install an update; False when it is not newer.

        Raises
        ------
        InvalidUpdateError
            When the update fails its checks; nothing was applied.
        """
        replica = self._require_replica()
        before = replica.version
        actions = replica.receive(update, '', trio.current_time())
        self._execute(actions)
        for action in actions:
            if isinstance(action, Alarm) and action.error is not None:
                raise action.error
        return replica.version > before

    def publish(self, head: Head, fragments: Sequence[Fragment]) -> None:
        """Install a version read from the platform and push it.

        Parameters
        ----------
        head : Head
            Head record.
        fragments : sequence of Fragment
            All fragments that the head names.
        """
        replica = self._require_replica()
        self._execute(replica.publish(head, fragments, trio.current_time()))

    def add_revert(self, revert: Revert) -> None:
        """Add a revert, apply it and send it to peers at once."""
        self._execute(self._require_replica().add_revert(revert))

    def _require_replica(self) -> Replica:
        if self._replica is None:
            raise KernelError('service distribution has not been started')
        return self._replica

    def _register_handlers(self) -> None:
        self._peers.on(Update, self._on_update)
        self._peers.on(Announcement, self._on_announcement)
        self._peers.on(Pull, self._on_pull)
        self._peers.on(FloorRequest, self._on_floor_request)
        self._peers.on(Acknowledgement, self._on_acknowledgement)
        self._peers.on(ZoneSummaries, self._on_summaries)
        self._peers.on(Reverts, self._on_reverts)
        self._peers.on(RevertsPull, self._on_reverts_pull)
        self._membership.subscribe(self._on_members_changed)
        # Heartbeats carry digests as well, and are more frequent than
        # announcements.
        provide = getattr(self._membership, 'set_digest_provider', None)
        if provide is not None:
            provide(lambda: self.digest)
        observe = getattr(self._membership, 'on_peer_digest', None)
        if observe is not None:
            observe(self._on_peer_digest)

    # Actions

    def _execute(self, actions: Iterable[Action]) -> None:
        changed = False
        for action in actions:
            match action:
                case Send(address, message):
                    self._peers.post(address, self._add_timestamp(message))
                case Fetch():
                    self._nursery.start_soon(self._fetch, action)
                case FetchReverts(address):
                    self._nursery.start_soon(self._fetch_reverts, address)
                case Installed(snapshot):
                    changed = True
                    self._record_event(
                        'snapshot-installed',
                        version=snapshot.version,
                        digest=snapshot.digest,
                    )
                case Reverted(reverts):
                    changed = True
                    for revert in reverts:
                        self._record_event(
                            'move-reverted',
                            move=revert.move,
                            reason=revert.reason,
                            origin=revert.origin,
                        )
                case Alarm(code, fields):
                    logger.warning('{}: {}', code, dict(fields))
                    self._record_event(code, **fields)
        replica = self._require_replica()
        if replica.ready and not self._ready.is_set():
            self._ready.set()
            self._record_event('distribution-ready', version=replica.version)
            changed = True
        self._wake_timer()
        if changed:
            for callback in self._subscribers:
                callback()

    def _add_timestamp(self, message: Message) -> Message:
        if self._events and isinstance(
            message, Update | PackedUpdate | Reverts
        ):
            time = self._events.clock.now()
            return msgspec.structs.replace(message, time=time)
        return message

    def _observe_clock(self, message: Update | Reverts) -> None:
        if self._events and message.time:
            self._events.clock.observe(message.time)

    def _record_event(self, code: str, **fields: object) -> None:
        if self._events:
            self._events.emit(code, **fields)
        if self._metrics:
            self._metrics.counter(
                'gypsumhall_distribution_events',
                'Installs, reverts and alarms of the distribution.',
            ).add(code=code)
            self._metrics.gauge(
                'gypsumhall_configuration_version',
                'Installed configuration version.',
            ).set(self._require_replica().version)

    def _wake_timer(self) -> None:
        # Most messages do not change the time for which the timer waits.
        if self._require_replica().due < self._timer_due:
            self._wake.set()

    async def _run_timers(self) -> None:
        replica = self._require_replica()
        while True:
            self._wake = trio.Event()
            self._timer_due = replica.due
            with trio.move_on_at(self._timer_due):
                await self._wake.wait()
            self._execute(replica.tick(trio.current_time()))

    async def _fetch(self, action: Fetch) -> None:
        reply: Update | Busy | CorruptUpdateError | None = None
        try:
            with trio.move_on_after(action.timeout_s):
                reply = await self._pull(action)
        except (PeerError, trio.EndOfChannel) as error:
            logger.debug('pull from {} failed: {}', action.address, error)
        except CorruptUpdateError as error:
            reply = error
        if isinstance(reply, Update):
            self._observe_clock(reply)
        now = trio.current_time()
        replica = self._require_replica()
        self._execute(replica.handle_fetch_result(action.address, reply, now))

    async def _pull(self, action: Fetch) -> Update | Busy | None:
        parts: list[Update] = []
        async with self._peers.open(action.address, action.pull) as exchange:
            while len(parts) < _MAX_UPDATE_PARTS:
                message = await exchange.receive()
                if isinstance(message, Busy):
                    return message
                if not isinstance(message, _delta.Part):
                    return None
                part = _delta.unpack(message)
                parts.append(part)
                if not part.more:
                    break
        return _delta.join(parts)

    async def _fetch_reverts(self, address: str) -> None:
        try:
            reply = await self._peers.request(
                address, RevertsPull(), timeout_s=_REVERTS_TIMEOUT_S
            )
        except (PeerError, trio.EndOfChannel) as error:
            logger.debug('pull of reverts from {} failed: {}', address, error)
            return
        if isinstance(reply, Reverts):
            self._observe_clock(reply)
            self._execute(
                self._require_replica().receive_reverts(
                    reply, address, complete=True
                )
            )

    # Bootstrap

    async def _bootstrap(self) -> None:
        """Determine the version floor, then pull until it is reached."""
        replica = self._require_replica()
        started = trio.current_time()
        await trio.sleep(self._rng.uniform(0, self._jitter_s))
        backoff = _BACKOFF_MIN_S
        while not replica.ready:
            await self._determine_floor(started)
            if replica.ready:
                break
            with trio.move_on_after(self._rng.uniform(backoff / 2, backoff)):
                await self._ready.wait()
            backoff = min(backoff * 2, _BACKOFF_MAX_S)

    async def _determine_floor(self, started: float) -> None:
        replica = self._require_replica()
        me = self._membership.me
        others = [
            member
            for member in self._membership.table.alive(me.zone)
            if member.id != me.id
        ]
        replies = await self._request_floors(others)
        now = trio.current_time()
        for member, reply in replies:
            replica.note_peer_version(
                reply.installed_version, member.peer_address, now
            )
        if replica.floor is not None:
            self._execute([])
            return
        floor = _highest_version(replies)
        known = _count_ready(replies) >= MIN_FLOOR_REPLIES
        if not known and self._may_read_head(len(others)):
            head = await self._read_head_version()
            if head is not None:
                floor = max(floor, head)
                known = True
        waited = trio.current_time() - started
        if not known and waited >= _MEMBERSHIP_SETTLE_S:
            # A small zone may have too few ready daemons. Once all of its
            # members have replied, no other one can report a higher version.
            known = len(replies) == len(others) and bool(_count_ready(replies))
        if not known and waited >= _OTHER_ZONES_AFTER_S:
            distant = await self._request_floors(
                self._members_of_other_zones()
            )
            floor = max(floor, _highest_version(distant))
            known = bool(_count_ready(distant))
            for member, reply in distant:
                replica.note_peer_version(
                    reply.installed_version, member.peer_address, now
                )
        if known:
            replica.set_floor(floor, trio.current_time())
        self._execute([])

    def _may_read_head(self, others: int) -> bool:
        """Decide at random whether this attempt reads the platform.

        Without a limit, the 1,250 daemons of a zone that restarts read the
        head within 0.5 s, which exceeds the platform's 2,000 reads a second.
        """
        return self._rng.random() * (others + 1) < _HEAD_READERS_PER_ATTEMPT

    def _members_of_other_zones(self) -> list[Member]:
        """Return the live members of the other zones.

        They are the only source of the version floor for a zone that restarts
        as a whole while the platform is down.
        """
        zone = self._membership.me.zone
        return [
            member
            for member in self._membership.table.members()
            if member.zone != zone and member.is_live
        ]

    async def _request_floors(
        self, others: Sequence[Member]
    ) -> list[tuple[Member, Floor]]:
        me = self._membership.me
        # The daemons that receive this one's heartbeats know the version
        # that it acknowledged last.
        targets = {
            item.id: item
            for item in [
                *ring_neighbours(me.id, others, MIN_FLOOR_REPLIES),
                *sample_members(others, _FLOOR_REQUESTS, me.id, self._rng),
            ][:_FLOOR_REQUESTS]
        }
        replies: list[tuple[Member, Floor]] = []

        async def request_floor(member: Member) -> None:
            try:
                reply = await self._peers.request(
                    member.peer_address,
                    FloorRequest(me.id),
                    timeout_s=_FLOOR_TIMEOUT_S,
                )
            except (PeerError, trio.EndOfChannel):
                return
            if isinstance(reply, Floor):
                replies.append((member, reply))

        with trio.move_on_after(2 * _FLOOR_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for member in targets.values():
                    nursery.start_soon(request_floor, member)
        return replies

    async def _read_head_version(self) -> int | None:
        if self._read_head is None:
            return None
        try:
            with trio.move_on_after(_HEAD_TIMEOUT_S):
                return (await self._read_head()).version
        except (StoreError, MalformedDataError) as error:
            logger.debug('head cannot be read: {}', error)
        return None

    # Handlers

    def _on_members_changed(self) -> None:
        replica = self._require_replica()
        replica.members_changed(trio.current_time())
        self._wake_timer()

    def _on_peer_digest(self, address: str, digest: Digest) -> None:
        replica = self._require_replica()
        now = trio.current_time()
        self._execute(replica.receive_digest(digest, address, now))

    async def _on_update(self, exchange: Exchange, message: Update) -> None:
        self._observe_clock(message)
        replica = self._require_replica()
        now = trio.current_time()
        self._execute(replica.receive(message, exchange.peer.address, now))

    async def _on_announcement(
        self, exchange: Exchange, message: Announcement
    ) -> None:
        replica = self._require_replica()
        self._execute(
            replica.receive_announcement(
                message, exchange.peer.address, trio.current_time()
            )
        )

    async def _on_pull(self, exchange: Exchange, message: Pull) -> None:
        replica = self._require_replica()
        parts = replica.build_pull_reply(message)
        is_bootstrap = not parts[0].base
        if not is_bootstrap and not _delta.is_large(parts):
            await self._send_parts(exchange, parts)
            return
        if self._large_pulls >= MAX_LARGE_PULLS or (
            is_bootstrap and self._bootstraps >= MAX_BOOTSTRAPS
        ):
            await _reply(exchange, self._build_busy_reply(exchange.peer))
            return
        self._large_pulls += 1
        self._bootstraps += is_bootstrap
        try:
            async with self._transfers:
                # A newer version may have been installed meanwhile.
                await self._send_parts(
                    exchange, replica.build_pull_reply(message)
                )
                await _wait_for_end(exchange)
        finally:
            self._large_pulls -= 1
            self._bootstraps -= is_bootstrap
        self._served_addresses.append(exchange.peer.address)

    async def _send_parts(
        self, exchange: Exchange, parts: Iterable[_delta.Part]
    ) -> None:
        await _reply(exchange, *(self._add_timestamp(part) for part in parts))

    def _build_busy_reply(self, requester: PeerInfo) -> Busy:
        me = self._membership.me
        members = [
            member
            for member in self._membership.table.alive(me.zone)
            if member.id != requester.id
        ]
        chosen = sample_members(members, MIN_FLOOR_REPLIES, me.id, self._rng)
        addresses = dict.fromkeys(
            address
            for address in (
                *reversed(self._served_addresses),
                *(item.peer_address for item in chosen),
            )
            if address != requester.address
        )
        return Busy(tuple(addresses)[:MIN_FLOOR_REPLIES])

    async def _on_floor_request(
        self, exchange: Exchange, message: FloorRequest
    ) -> None:
        replica = self._require_replica()
        acknowledged_version = self._membership.acknowledged_version(
            message.member
        )
        floor = Floor(acknowledged_version, replica.version, replica.ready)
        await _reply(exchange, floor)

    async def _on_acknowledgement(
        self, exchange: Exchange, message: Acknowledgement
    ) -> None:
        replica = self._require_replica()
        now = trio.current_time()
        self._execute(
            replica.receive_acknowledgement(exchange.peer.id, message, now)
        )

    async def _on_summaries(
        self, exchange: Exchange, message: ZoneSummaries
    ) -> None:
        replica = self._require_replica()
        peer = exchange.peer
        now = trio.current_time()
        self._execute(
            replica.receive_summaries(message, peer.address, peer.zone, now)
        )

    async def _on_reverts(self, exchange: Exchange, message: Reverts) -> None:
        self._observe_clock(message)
        self._execute(
            self._require_replica().receive_reverts(
                message, exchange.peer.address
            )
        )

    async def _on_reverts_pull(
        self, exchange: Exchange, message: RevertsPull
    ) -> None:
        reply = self._require_replica().all_reverts()
        await _reply(exchange, self._add_timestamp(reply))
