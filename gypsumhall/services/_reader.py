"""Service ``reader``: publishes new configuration versions in the zone.

Load on the platform, per zone with 3 readers, as `benchmarks/bench_store.py`
measures it with 4 daemons per zone at 20 zones:

* Without changes: 1.8 calls/s and 3 open watches. Each reader renews its lease
  about every 3.2 s, reads the head about every 4.8 s and reopens an idle watch
  every 30 s. The other daemons of the zone together read the slots at most
  about 0.5 times per second.
* At 12.5 changes a minute: 2.3 calls/s. A change of the head adds one read
  per reader and changed fragment.
* While a reader is missing, the other daemons of the zone together read the
  slots at most about 4 times per second.
"""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall._decode import decode
from gypsumhall._errors import InvalidUpdateError
from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import StoreCompactedError
from gypsumhall._errors import StoreError
from gypsumhall._errors import StoreProtocolError
from gypsumhall.core import _model
from gypsumhall.net._socket import decode_address
from gypsumhall.services._protocols import Distribution
from gypsumhall.services._protocols import Events
from gypsumhall.services._protocols import Membership
from gypsumhall.services._protocols import Metrics
from gypsumhall.store import _keys
from gypsumhall.store import NO_REVISION
from gypsumhall.store import StoreService
from gypsumhall.store._election import Backoff

if TYPE_CHECKING:
    from gypsumhall.kernel import Kernel
    from gypsumhall.services._protocols import Metric
    from gypsumhall.store import KeyValue
    from gypsumhall.store import Lease
    from gypsumhall.store import Revision
    from gypsumhall.store import Store

HEAD_CHECK_INTERVAL_S = 5.0
"""Seconds between two polls of the head, which detect watches that no longer
deliver events."""

_WATCH_DELAY_TOLERANCE_S = 1.0
_MAX_START_DELAY_S = 2.0
_SLOT_POLL_INTERVAL_S = 0.5
_NORMAL_SLOT_READS_PER_S = 0.5
_VACANT_SLOT_READS_PER_S = 4.0
_MAX_CONCURRENT_FETCHES = 4


class ReaderRecord(msgspec.Struct, frozen=True):
    """Holder of a reader slot, as the platform records it.

    Parameters
    ----------
    id : str
        Id of the daemon.
    zone : str
        Availability zone.
    address : str
        ``<ip>:<port>`` of the listener for other daemons.
    """

    id: str
    zone: str
    address: str


_RECORD_DECODER = msgspec.json.Decoder(ReaderRecord)


def _decode_record(item: KeyValue) -> ReaderRecord | None:
    try:
        record = decode(_RECORD_DECODER.decode, item.value, item.key)
        decode_address(record.address.encode(), item.key)
    except MalformedDataError:
        return None
    return record


def _digest(head: _model.Head) -> str:
    return _model.digest(_model.encode(head))


async def read_seeds(store: Store, zone: str) -> list[ReaderRecord]:
    """Return the readers of all zones, those of the local zone first.

    Malformed records are skipped.

    Parameters
    ----------
    store : Store
        The platform.
    zone : str
        Availability zone of this daemon.

    Raises
    ------
    StoreError
        When the platform cannot be read.
    """
    records = [
        record
        for item in await store.range(_keys.READERS_PREFIX)
        if (record := _decode_record(item)) is not None
    ]
    return sorted(records, key=lambda record: record.zone != zone)


class Reader:
    """Claims a free reader slot of the zone and publishes new versions.

    Parameters
    ----------
    rng : random.Random, optional
        Source of the jitter.
    """

    name = 'reader'
    requires: tuple[str, ...] = (
        'events',
        'metrics',
        'store',
        'membership',
        'distribution',
    )

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()
        self._slot_records: dict[str, ReaderRecord] = {}
        self._fragments: dict[str, _model.Fragment] = {}
        self._newest_head: _model.Head | None = None
        self._newest_head_revision = NO_REVISION
        self._published_version = 0
        self._published_digest = ''
        self._head_received = trio.Event()
        self._watched_revision = NO_REVISION
        self._watch_scope: trio.CancelScope | None = None
        self._slot: int | None = None
        self._platform_reachable = True

    @property
    def slot(self) -> int | None:
        """Number of the slot that this daemon holds; None without one."""
        return self._slot

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Campaign for a slot, and publish versions while holding it."""
        self._events = kernel.get('events', Events)
        self._store = kernel.get('store', StoreService)
        self._membership = kernel.get('membership', Membership)
        self._distribution = kernel.get('distribution', Distribution)
        metrics = kernel.get('metrics', Metrics)
        self._slot_held_gauge: Metric = metrics.gauge(
            'gypsumhall_reader_slot_held', 'Whether a reader slot is held'
        )
        self._fetch_counter: Metric = metrics.counter(
            'gypsumhall_reader_fetches_total', 'Fragments fetched'
        )
        self._publish_counter: Metric = metrics.counter(
            'gypsumhall_reader_publishes_total', 'Versions published'
        )
        task_status.started()
        try:
            with self._scope:
                await trio.sleep(self._rng.uniform(0, _MAX_START_DELAY_S))
                while True:
                    await self._campaign(await self._find_free_slot())
        finally:
            self._stopped.set()

    async def drain(self) -> None:
        """Release the slot, so that another daemon can claim it at once."""
        self._scope.cancel()
        await self._stopped.wait()

    async def _find_free_slot(self) -> int:
        """Wait until a slot of the zone is free, and return its number.

        All daemons of a zone together read the slots at a fixed rate: each
        daemon does so with a probability that is inversely proportional to
        the number of alive members.
        """
        backoff = Backoff(_SLOT_POLL_INTERVAL_S, 10.0, self._rng)
        me = self._membership.me
        while True:
            await trio.sleep(
                _SLOT_POLL_INTERVAL_S * self._rng.uniform(0.75, 1.25)
            )
            alive = {item.id for item in self._membership.table.alive(me.zone)}
            alive.add(me.id)
            readers = {item.id for item in self._slot_records.values()} & alive
            reader_missing = len(readers) < min(
                _keys.READER_SLOTS_PER_ZONE, len(alive)
            )
            rate = (
                _VACANT_SLOT_READS_PER_S
                if reader_missing
                else _NORMAL_SLOT_READS_PER_S
            )
            if self._rng.random() >= rate * _SLOT_POLL_INTERVAL_S / len(alive):
                continue
            try:
                free_slots = await self._read_slots(me.zone)
            except StoreError as error:
                self._record_reachability(error)
                await trio.sleep(backoff.next())
                continue
            self._record_reachability(None)
            backoff.reset()
            if free_slots:
                return self._rng.choice(free_slots)

    async def _read_slots(self, zone: str) -> list[int]:
        prefix = _keys.zone_readers_prefix(zone)
        items = {item.key: item for item in await self._store.range(prefix)}
        self._slot_records = {
            key: record
            for key, item in items.items()
            if (record := _decode_record(item)) is not None
        }
        return [
            slot
            for slot in range(_keys.READER_SLOTS_PER_ZONE)
            if f'{prefix}{slot}' not in items
        ]

    async def _campaign(self, slot: int) -> None:
        me = self._membership.me
        record = ReaderRecord(me.id, me.zone, me.peer_address)
        key = f'{_keys.zone_readers_prefix(me.zone)}{slot}'
        try:
            async with self._store.elections.campaign(
                key, msgspec.json.encode(record), _keys.LEASE_TTL_S, wait=False
            ) as lease:
                self._slot = slot
                self._slot_held_gauge.set(1)
                try:
                    await self._follow_head(lease)
                finally:
                    self._slot = None
                    self._slot_held_gauge.set(0)
        except StoreError as error:
            self._events.emit(
                'reader-campaign-failed',
                key=key,
                error=error.code,
                detail=str(error),
            )

    async def _follow_head(self, lease: Lease) -> None:
        self._watched_revision = NO_REVISION
        self._newest_head_revision = NO_REVISION
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_head)
            nursery.start_soon(self._poll_head)
            nursery.start_soon(self._publish_versions)
            await lease.lost.wait()
            nursery.cancel_scope.cancel()

    async def _watch_head(self) -> None:
        backoff = Backoff(0.2, HEAD_CHECK_INTERVAL_S, self._rng)
        while True:
            with trio.CancelScope() as self._watch_scope:
                try:
                    await self._watch_once(backoff)
                except StoreCompactedError:
                    # The next poll of the head covers the compacted changes.
                    self._watched_revision = NO_REVISION
                except StoreError as error:
                    self._events.emit(
                        'watch-ended', error=error.code, detail=str(error)
                    )
            await trio.sleep(backoff.next())

    async def _watch_once(self, backoff: Backoff) -> None:
        start = self._watched_revision
        async with self._store.watch(
            _keys.HEAD, NO_REVISION if start == NO_REVISION else start.next()
        ) as events:
            async for event in events:
                backoff.reset()
                if event.key != _keys.HEAD or event.value is None:
                    continue
                self._watched_revision = event.revision
                self._receive_head(event.value, event.revision, 'watch')

    async def _poll_head(self) -> None:
        """Poll the head, and restart a watch that missed a change."""
        backoff = Backoff(0.5, HEAD_CHECK_INTERVAL_S, self._rng)
        while True:
            # Taken before the call, during which a newer version may be
            # installed.
            snapshot = self._distribution.snapshot
            floor = 0 if snapshot is None else snapshot.version
            try:
                item = await self._store.get(_keys.HEAD)
            except StoreError as error:
                self._record_reachability(error)
                await trio.sleep(backoff.next())
                continue
            self._record_reachability(None)
            backoff.reset()
            watched_revision = self._watched_revision
            if item is not None:
                revision = item.mod_revision
                floor = max(floor, self._published_version)
                self._receive_head(item.value, revision, 'check', floor)
                if revision > watched_revision:
                    await self._check_watch(revision, watched_revision)
            await trio.sleep(
                HEAD_CHECK_INTERVAL_S * self._rng.uniform(0.9, 1.0)
            )

    async def _check_watch(
        self, revision: Revision, watched_revision: Revision
    ) -> None:
        if watched_revision != NO_REVISION:
            await trio.sleep(_WATCH_DELAY_TOLERANCE_S)
        if self._watched_revision >= revision:
            return
        # The next watch starts after this revision, also when the present
        # one has not delivered an event yet.
        self._watched_revision = revision
        if watched_revision != NO_REVISION and self._watch_scope is not None:
            self._events.emit('watch-silent', revision=str(revision))
            self._watch_scope.cancel()

    def _receive_head(
        self, data: bytes, revision: Revision, source: str, floor: int = 0
    ) -> None:
        """Store a head record for publishing unless it is outdated.

        Records are ordered by the revision of the store, so that a record
        that cannot be published does not block the one that corrects it. A
        version below `floor` is reported, as the platform must not return
        it.
        """
        try:
            head = _model.decode_head(data)
        except MalformedDataError as error:
            self._events.emit(
                'head-malformed', source=source, detail=str(error)
            )
            return
        if head.version > self._published_version:
            if revision > self._newest_head_revision:
                self._newest_head = head
                self._newest_head_revision = revision
                self._head_received.set()
        elif head.version == self._published_version and (
            _digest(head) != self._published_digest
        ):
            self._events.emit(
                'head-conflict', head=head.version, source=source
            )
        if head.version < floor:
            self._events.emit('head-behind', head=head.version, floor=floor)

    async def _publish_versions(self) -> None:
        backoff = Backoff(0.1, HEAD_CHECK_INTERVAL_S, self._rng)
        while True:
            head = self._newest_head
            if head is None or head.version <= self._published_version:
                await self._head_received.wait()
                self._head_received = trio.Event()
                continue
            started = trio.current_time()
            try:
                fragments = await self._fetch_fragments(head)
            except StoreError as error:
                self._events.emit(
                    'fetch-failed',
                    head=head.version,
                    error=error.code,
                    detail=str(error),
                )
                # A newer version ends the back-off.
                self._head_received = trio.Event()
                with trio.move_on_after(backoff.next()):
                    await self._head_received.wait()
                continue
            backoff.reset()
            self._publish(head, fragments, started)

    def _publish(
        self,
        head: _model.Head,
        fragments: list[_model.Fragment],
        started: float,
    ) -> None:
        # A version that fails its checks is not retried: it cannot change.
        self._published_version = head.version
        self._published_digest = _digest(head)
        try:
            self._distribution.publish(head, fragments)
        except InvalidUpdateError as error:
            self._events.emit(
                'head-invalid', head=head.version, detail=str(error)
            )
            return
        self._publish_counter.add()
        self._events.emit(
            'version-published',
            head=head.version,
            fetch_ms=round((trio.current_time() - started) * 1000, 1),
        )

    async def _fetch_fragments(
        self, head: _model.Head
    ) -> list[_model.Fragment]:
        """Return the fragments of a head, from the cache where possible."""
        wanted = {ref.fragment for ref in head.departments.values()}
        self._fragments = {
            digest: fragment
            for digest, fragment in self._fragments.items()
            if digest in wanted
        }
        self._reuse_installed(wanted)
        failures: list[StoreError] = []
        limiter = trio.CapacityLimiter(_MAX_CONCURRENT_FETCHES)
        async with trio.open_nursery() as nursery:
            for digest in sorted(wanted - self._fragments.keys()):
                nursery.start_soon(
                    functools.partial(
                        self._fetch_fragment, digest, limiter, failures
                    )
                )
        if failures:
            raise failures[0]
        return [
            self._fragments[ref.fragment] for ref in head.departments.values()
        ]

    def _reuse_installed(self, wanted: set[str]) -> None:
        snapshot = self._distribution.snapshot
        if snapshot is None:
            return
        for department, ref in snapshot.head.departments.items():
            if ref.fragment in wanted:
                self._fragments[ref.fragment] = snapshot.fragments[department]

    async def _fetch_fragment(
        self,
        digest: str,
        limiter: trio.CapacityLimiter,
        failures: list[StoreError],
    ) -> None:
        async with limiter:
            if failures:
                return
            try:
                item = await self._store.get(_keys.fragment_key(digest))
                self._fragments[digest] = _decode_fragment(item, digest)
            except StoreError as error:
                failures.append(error)
            else:
                self._fetch_counter.add()

    def _record_reachability(self, error: StoreError | None) -> None:
        """Emit an event when the platform fails and when it responds again."""
        if error is None and not self._platform_reachable:
            self._events.emit('platform-reachable')
        elif error is not None and self._platform_reachable:
            self._events.emit(
                'platform-unreachable', error=error.code, detail=str(error)
            )
        self._platform_reachable = error is None


def _decode_fragment(item: KeyValue | None, digest: str) -> _model.Fragment:
    if item is None:
        raise StoreProtocolError(f'fragment {digest} does not exist')
    actual = _model.digest(item.value)
    if actual != digest:
        raise StoreProtocolError(
            f'fragment {digest} has contents with digest {actual}'
        )
    try:
        return _model.decode_fragment(item.value)
    except MalformedDataError as error:
        raise StoreProtocolError(f'fragment {digest} is malformed: {error}')
