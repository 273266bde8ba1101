"""Service ``feed``: publishes the operator's changes in the zone.

A few daemons of each zone watch the platform's store and publish what they
read; the service ``distribution`` spreads it through its trees, digests on
heartbeats and pulls. The watchers are selected from the member table alone,
so that a failed watcher is replaced as soon as the table marks it as dead,
and the number of watches does not grow with the zone.
"""

from __future__ import annotations

import random
from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING

import trio

from gypsumhall import platform
from gypsumhall._errors import InvalidUpdateError
from gypsumhall._errors import StoreCompactedError
from gypsumhall._errors import StoreError
from gypsumhall._errors import StoreProtocolError
from gypsumhall.core import _model
from gypsumhall.core import _tree
from gypsumhall.services._protocols import Distribution
from gypsumhall.services._protocols import Events
from gypsumhall.services._protocols import Membership
from gypsumhall.store import NO_REVISION
from gypsumhall.store import StoreService
from gypsumhall.store._election import Backoff

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumhall.kernel import Kernel
    from gypsumhall.store import KeyValue
    from gypsumhall.store import Revision
    from gypsumhall.store import WatchEvent

WATCHERS_PER_ZONE = 3
"""Daemons of a zone that watch the store. Each makes a call every 1.2 s and
one per change. When 55 % of the machines fail at once, all watchers of three
zones are among them with a probability of 0.5 %, and are then replaced."""

_RETRY_BACKOFF_S = (0.1, 0.5)


@runtime_checkable
class HeadReadingDistribution(Distribution, Protocol):
    """Distribution that reads the version floor from a head."""

    def set_head_reader(
        self, read: Callable[[], Awaitable[_model.Head]]
    ) -> None:
        """Set the function that reads the head with the version floor."""
        ...


@runtime_checkable
class RolloutOrderReceiver(Protocol):
    """Receives rollout orders; the service ``moves``."""

    def add_order(
        self, order: platform.RolloutOrder, revision: Revision
    ) -> None:
        """Accept an order that was read from the store."""
        ...


class EvacuationReceiver(Protocol):
    """Receives the evacuated zones; the service ``evacuations``."""

    def set_all(self, zones: Iterable[str], revision: Revision) -> None:
        """Apply a complete read of the store at a revision."""
        ...

    def set_zone(
        self, zone: str, revision: Revision, *, evacuated: bool
    ) -> None:
        """Apply a change that a watch of the store has delivered."""
        ...


class Feed:
    """Watches the store for the operator's changes.

    Parameters
    ----------
    rng : random.Random, optional
        Source of the jitter of retries.
    evacuations : EvacuationReceiver, optional
        Receives the evacuated zones.
    """

    name = 'feed'
    requires: tuple[str, ...] = (
        'events',
        'store',
        'membership',
        'distribution',
        'moves',
    )

    def __init__(
        self,
        *,
        rng: random.Random | None = None,
        evacuations: EvacuationReceiver | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._evacuations = evacuations
        if evacuations is not None:
            self.requires = (*self.requires, 'evacuations')
        self._store: StoreService
        self._membership: Membership
        self._distribution: HeadReadingDistribution
        self._events: Events
        self._order_receiver: RolloutOrderReceiver
        self._config_revision = NO_REVISION
        self._platform_reachable = True
        self._membership_changed = trio.Event()

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Watch the store while this daemon is one of the watchers."""
        self._store = kernel.get('store', StoreService)
        self._membership = kernel.get('membership', Membership)
        self._distribution = kernel.get(
            'distribution', HeadReadingDistribution
        )
        self._events = kernel.get('events', Events)
        self._order_receiver = kernel.get('moves', RolloutOrderReceiver)
        self._distribution.set_head_reader(self._read_head)
        task_status.started()
        self._membership.subscribe(self._on_membership_change)
        while True:
            await self._wait_until(watcher=True)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch)
                await self._wait_until(watcher=False)
                nursery.cancel_scope.cancel()

    async def drain(self) -> None:
        """Keep watching: requests are served until the daemon has stopped."""

    def _on_membership_change(self) -> None:
        self._membership_changed.set()

    async def _wait_until(self, *, watcher: bool) -> None:
        while self._is_watcher() != watcher:
            self._membership_changed = trio.Event()
            await self._membership_changed.wait()

    def _is_watcher(self) -> bool:
        me = self._membership.me
        alive = self._membership.table.alive(me.zone)
        return _tree.has_zone_role('feed', me.id, alive, WATCHERS_PER_ZONE)

    async def _watch(self) -> None:
        backoff = Backoff(*_RETRY_BACKOFF_S, self._rng)
        while True:
            try:
                await self._watch_once(backoff)
            except StoreCompactedError as error:
                # The next watch begins with a read of all entries.
                self._events.emit('feed-read-again', detail=str(error))
                await trio.sleep(backoff.next())
            except StoreError as error:
                self._record_reachability(error)
                await trio.sleep(backoff.next())

    async def _watch_once(self, backoff: Backoff) -> None:
        async with self._store.watch(platform.OPERATOR_PREFIX) as events:
            # The watch is already open, so it reports writes during this read.
            items, revision = await self._store.range_at(
                platform.OPERATOR_PREFIX
            )
            # Daemons must know the zones before they send calls by the
            # configuration.
            self._apply_zones(items, revision)
            for item in items:
                self._apply_entry(item.key, item.value, item.mod_revision)
            self._record_reachability(None)
            backoff.reset()
            async for event in events:
                if event.value is not None:
                    self._apply_entry(event.key, event.value, event.revision)
                self._apply_zone(event)

    def _apply_zones(
        self, items: Iterable[KeyValue], revision: Revision
    ) -> None:
        """Apply the evacuated zones of a complete read."""
        if self._evacuations is None:
            return
        zones = set()
        for item in items:
            try:
                zone = platform.evacuated_zone(item.key)
            except InvalidUpdateError as error:
                self._reject(item.key, item.mod_revision, error)
                continue
            if zone:
                zones.add(zone)
        self._evacuations.set_all(zones, revision)

    def _apply_zone(self, event: WatchEvent) -> None:
        if self._evacuations is None:
            return
        try:
            zone = platform.evacuated_zone(event.key)
        except InvalidUpdateError as error:
            self._reject(event.key, event.revision, error)
            return
        if zone:
            self._evacuations.set_zone(
                zone, event.revision, evacuated=event.value is not None
            )

    def _reject(
        self, key: str, revision: Revision, error: InvalidUpdateError
    ) -> None:
        self._events.emit(
            'feed-entry-rejected',
            key=key,
            revision=str(revision),
            detail=str(error),
        )

    def _apply_entry(self, key: str, value: bytes, revision: Revision) -> None:
        try:
            if key == platform.CONFIGURATION_KEY:
                self._publish_configuration(value, revision)
            elif platform.rollout_service(key):
                order = platform.decode_rollout(value)
                if order.service != platform.rollout_service(key):
                    raise InvalidUpdateError(
                        f'the order is for the service {order.service!r}'
                    )
                self._order_receiver.add_order(order, revision)
        except InvalidUpdateError as error:
            self._reject(key, revision, error)

    def _publish_configuration(self, value: bytes, revision: Revision) -> None:
        if revision <= self._config_revision:
            if revision < self._config_revision:
                self._events.emit(
                    'configuration-outdated',
                    revision=str(revision),
                    last=str(self._config_revision),
                )
            return
        self._config_revision = revision
        head, fragment = platform.decode_configuration(value)
        self._events.emit(
            'configuration-read', head=head.version, revision=str(revision)
        )
        self._distribution.publish(head, [fragment])

    async def _read_head(self) -> _model.Head:
        item = await self._store.get(platform.CONFIGURATION_KEY)
        if item is None:
            return _model.Head()
        try:
            return platform.decode_configuration(item.value)[0]
        except InvalidUpdateError as error:
            raise StoreProtocolError(str(error)) from error

    def _record_reachability(self, error: StoreError | None) -> None:
        if error is None and not self._platform_reachable:
            self._events.emit('platform-reachable')
        elif error is not None and self._platform_reachable:
            self._events.emit(
                'platform-unreachable', error=error.code, detail=str(error)
            )
        self._platform_reachable = error is None
