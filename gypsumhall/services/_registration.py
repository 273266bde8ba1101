"""Service ``registration``: leased store entries for peer discovery.

A few daemons of each zone keep an entry with their peer address in the
platform's store; a daemon that starts reads the entries and joins the fleet
through any of them.
"""

from __future__ import annotations

import random
from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import StoreError
from gypsumhall.core import _tree
from gypsumhall.net._socket import decode_address
from gypsumhall.services._protocols import Events
from gypsumhall.services._protocols import Membership
from gypsumhall.store import NO_LEASE
from gypsumhall.store import Put
from gypsumhall.store import StoreLeaseError
from gypsumhall.store import StoreService

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from gypsumhall.kernel import Kernel

PREFIX = 'gypsumhall/members/'
"""Prefix of the entries; the zone and the id of the daemon follow."""

ENTRIES_PER_ZONE = 4
"""Daemons of a zone that keep an entry. Each entry costs a renewal and a stale
read every 1.5 s, so their number must not grow with the fleet; with several,
some remain after the loss of most machines."""

TTL_S = 10
"""Time to live of an entry in seconds."""

_RENEW_INTERVAL_S = 1.5
"""Time between two renewals in seconds. An expired entry is written again
after this time at most, which is below the required 2 s."""

_RETRY_DELAY_S = 0.4
_ROLE_CHECK_INTERVAL_S = 2.0


@runtime_checkable
class SeededMembership(Membership, Protocol):
    """Membership with a configurable source of seed addresses."""

    def set_seed_source(
        self, source: Callable[[], Awaitable[Sequence[str]]]
    ) -> None:
        """Set a coroutine function that returns seed addresses."""
        ...


class Registration:
    """Maintains this daemon's entry and reads the entries of all zones.

    Parameters
    ----------
    rng : random.Random, optional
        Source of jitter.
    """

    name = 'registration'
    requires: tuple[str, ...] = ('events', 'store', 'membership')

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._lease = NO_LEASE
        self._membership: SeededMembership
        self._store: StoreService
        self._events: Events
        self._stopping = False
        self._zones: frozenset[str] = frozenset()

    @property
    def zones(self) -> frozenset[str]:
        """Zones that had an entry when the entries were last read."""
        return self._zones

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Maintain the entry until cancelled."""
        self._membership = kernel.get('membership', SeededMembership)
        self._store = kernel.get('store', StoreService)
        self._events = kernel.get('events', Events)
        self._membership.set_seed_source(self.read_seeds)
        task_status.started()
        while True:
            if self._stopping or not self._should_register():
                await self._remove_entry()
                await trio.sleep(_ROLE_CHECK_INTERVAL_S)
                continue
            try:
                await self._renew_entry()
            except StoreError as error:
                self._events.emit(
                    'registration-failed', error=error.code, detail=str(error)
                )
                await trio.sleep(
                    _RETRY_DELAY_S * self._rng.uniform(0.75, 1.25)
                )
                continue
            await trio.sleep(_RENEW_INTERVAL_S * self._rng.uniform(0.9, 1.0))

    async def drain(self) -> None:
        """Remove the entry, which would cost joining daemons a time-out."""
        self._stopping = True
        with trio.move_on_after(0.5):
            await self._remove_entry()

    async def read_seeds(self) -> Sequence[str]:
        """Return peer addresses of daemons of all zones.

        Entries without a usable address are skipped.

        Raises
        ------
        StoreError
            When the platform cannot be read.
        """
        addresses = []
        items = await self._store.range(PREFIX)
        self._zones = frozenset(
            item.key.removeprefix(PREFIX).split('/')[0] for item in items
        )
        for item in items:
            try:
                address = decode_address(item.value, item.key)
            except MalformedDataError as error:
                self._events.emit(
                    'seed-rejected', key=item.key, detail=str(error)
                )
                continue
            addresses.append(address)
        return addresses

    def _should_register(self) -> bool:
        me = self._membership.me
        alive = self._membership.table.alive(me.zone)
        return _tree.has_zone_role(
            'registration', me.id, alive, ENTRIES_PER_ZONE
        )

    async def _renew_entry(self) -> None:
        me = self._membership.me
        key = f'{PREFIX}{me.zone}/{me.id}'
        if self._lease != NO_LEASE and not await self._store.keep_alive(
            self._lease
        ):
            self._events.emit('registration-lapsed', lease=str(self._lease))
            self._lease = NO_LEASE
        if self._lease != NO_LEASE and await self._is_entered(key):
            return
        if self._lease == NO_LEASE:
            self._lease = await self._store.grant_lease(TTL_S)
        try:
            await self._store.txn(
                [], [Put(key, me.peer_address.encode(), self._lease)]
            )
        except StoreLeaseError:
            self._lease = NO_LEASE
            raise
        self._events.emit('entry-registered', key=key, lease=str(self._lease))

    async def _is_entered(self, key: str) -> bool:
        """Return whether the own entry exists.

        A store that was restored from a copy may have the lease without it.
        """
        if await self._store.get(key, stale=True) is not None:
            return True
        # The entry may be newer than the stale value.
        return await self._store.get(key) is not None

    async def _remove_entry(self) -> None:
        lease, self._lease = self._lease, NO_LEASE
        if lease == NO_LEASE:
            return
        try:
            await self._store.revoke(lease)
        except StoreError as error:
            # The entry is removed when its lease expires.
            self._events.emit(
                'registration-kept', lease=str(lease), detail=str(error)
            )
