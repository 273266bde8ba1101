"""Leader elections: a key bound to a lease identifies the holder."""

from __future__ import annotations

import contextlib
from contextlib import asynccontextmanager
import random
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import StoreError
from gypsumhall._errors import StoreUnavailableError
from gypsumhall.core._revision import NO_REVISION
from gypsumhall.store._protocol import Compare
from gypsumhall.store._protocol import Delete
from gypsumhall.store._protocol import LeaseHeldError
from gypsumhall.store._protocol import Put
from gypsumhall.store._protocol import StoreLeaseError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumhall.core._revision import LeaseId
    from gypsumhall.core._revision import Revision
    from gypsumhall.store._protocol import KeyValue
    from gypsumhall.store._protocol import Store

SAFETY_MARGIN_FRACTION = 0.2
"""Fraction of the time to live that the holder does not use.

The key-value service counts from the arrival of a keep-alive, the holder from
before it was sent, so without clock errors the lease always expires at the
holder first. The margin covers clocks that run at
different rates, and the time between a check of `HeldLease.valid` and the
effect of the operation that it permitted.
"""

_BACKOFF_S = (0.1, 2.0)
"""First and longest delay between attempts."""

_REVOKE_TIMEOUT_S = 1.0


class Backoff:
    """Delays that double from attempt to attempt, with jitter.

    Each delay is uniform between half and all of the doubled value, so that
    clients that failed together do not retry together.

    Parameters
    ----------
    first_s, longest_s : float
        First and longest delay before jitter, in seconds.
    rng : random.Random
        Source of the jitter.
    """

    __slots__ = ('_first_s', '_longest_s', '_next_s', '_rng')

    def __init__(
        self, first_s: float, longest_s: float, rng: random.Random
    ) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._next_s = first_s
        self._rng = rng

    def reset(self) -> None:
        """Restart with the first delay, after a success."""
        self._next_s = self._first_s

    def next(self) -> float:
        """Return the next delay in seconds."""
        delay_s = self._next_s * self._rng.uniform(0.5, 1.0)
        self._next_s = min(self._longest_s, self._next_s * 2)
        return delay_s


class HeldLease:
    """Lease that is renewed in the background; see `Lease`."""

    def __init__(
        self,
        store: Store,
        key: str,
        lease: LeaseId,
        ttl_s: int,
        sent_at: float,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._key = key
        self._lease = lease
        self._ttl_s = ttl_s
        self._valid_from = sent_at
        self._rng = rng
        self._lost = trio.Event()
        self._mod_revision = NO_REVISION

    @property
    def id(self) -> LeaseId:
        """Id of the lease that the election key is bound to."""
        return self._lease

    @property
    def key(self) -> str:
        """The election key."""
        return self._key

    @property
    def compare(self) -> Compare:
        """Condition that fences writes under this lease."""
        return Compare(self._key, self._mod_revision)

    @property
    def lost(self) -> trio.Event:
        """Set when the lease is no longer valid."""
        return self._lost

    @property
    def expires_at(self) -> float:
        """Time in seconds up to which the lease is valid."""
        return self._valid_from + self._ttl_s * (1 - SAFETY_MARGIN_FRACTION)

    def valid(self, now: float) -> bool:
        """Whether it is certain that no other client holds the lease.

        The result depends on the clock and on the era of the store alone, so
        after a pause of the process it is correct even before any task has
        run. A restored store may grant the lease again to another client.
        """
        return (
            not self._lost.is_set()
            and now < self.expires_at
            and self._store.era == self._lease.era
        )

    def set_key_revision(self, mod_revision: Revision) -> None:
        """Record the revision at which the election key was written."""
        self._mod_revision = mod_revision

    async def renew(self) -> None:
        """Renew the lease until it is lost or the task is cancelled."""
        interval_s = self._ttl_s / 3
        backoff = Backoff(_BACKOFF_S[0], interval_s / 2, self._rng)
        # Jitter spreads the renewals of holders that started together.
        delay_s = interval_s * self._rng.uniform(0.7, 1.0)
        while not self._lost.is_set():
            with trio.move_on_at(self.expires_at):
                await trio.sleep(delay_s)
                delay_s = await self._renew_once(interval_s, backoff)
            if not self.valid(trio.current_time()):
                self._lost.set()

    async def _renew_once(self, interval_s: float, backoff: Backoff) -> float:
        sent_at = trio.current_time()
        try:
            alive = await self._store.keep_alive(self._lease)
        except StoreError:
            return backoff.next()
        if not alive:
            self._lost.set()
        # A response that arrives after the lease has expired does not extend
        # it.
        elif self.valid(trio.current_time()):
            self._valid_from = sent_at
        backoff.reset()
        return interval_s * self._rng.uniform(0.9, 1.0)

    async def release(self) -> None:
        """Revoke the lease, so that a successor need not wait for expiry."""
        self._lost.set()
        with trio.move_on_after(_REVOKE_TIMEOUT_S) as scope:
            scope.shield = True
            try:
                await self._store.revoke(self._lease)
            except StoreError:
                # The lease expires by itself.
                return


@asynccontextmanager
async def campaign(
    store: Store,
    key: str,
    value: bytes,
    ttl_s: int,
    *,
    wait: bool = True,
    rng: random.Random | None = None,
) -> AsyncIterator[HeldLease]:
    """Hold the lease of an election key within a context.

    The body is not cancelled when the lease is lost; it waits for
    `Lease.lost` or checks `Lease.valid` before each step, and fences its
    writes with `Lease.compare`.

    Parameters
    ----------
    store : Store
        Key-value service with the election key.
    key : str
        The election key.
    value : bytes
        Stored under the key while the lease is held.
    ttl_s : int
        Seconds after which the lease expires without renewal.
    wait : bool
        Wait until the lease can be acquired, also during outages.
    rng : random.Random, optional
        Source of the jitter.

    Raises
    ------
    LeaseHeldError
        On entry, when another client holds the lease and `wait` is false.
    StoreError
        On entry, when a request to the store fails and `wait` is false.
    """
    jitter_rng = rng or random.Random()
    backoff = Backoff(*_BACKOFF_S, jitter_rng)
    while True:
        try:
            lease = await _acquire(store, key, value, ttl_s, jitter_rng)
            break
        except LeaseHeldError:
            if not wait:
                raise
            await _wait_until_free(store, key, ttl_s, backoff)
        except StoreError:
            if not wait:
                raise
            await trio.sleep(backoff.next())
    failure: Exception | None = None
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.renew)
            # Raised outside of the nursery, which would wrap it in an
            # exception group.
            try:
                yield lease
            except Exception as error:
                failure = error
            nursery.cancel_scope.cancel()
    finally:
        await lease.release()
    if failure is not None:
        raise failure


async def _acquire(
    store: Store, key: str, value: bytes, ttl_s: int, rng: random.Random
) -> HeldLease:
    current = await store.get(key)
    if current is not None:
        raise LeaseHeldError(f'{key!r} is held under lease {current.lease}')
    sent_at = trio.current_time()
    lease = HeldLease(
        store, key, await store.grant_lease(ttl_s), ttl_s, sent_at, rng
    )
    try:
        await _write_key(store, lease, value)
    except BaseException:
        # The key may have been written nevertheless; it is removed with the
        # lease.
        await lease.release()
        raise
    return lease


async def _write_key(store: Store, lease: HeldLease, value: bytes) -> None:
    """Write the election key, even if responses are lost."""
    writes = [Put(lease.key, value, lease.id)]
    failure: StoreError | None = None
    while lease.valid(trio.current_time()):
        try:
            result = await store.txn([Compare(lease.key)], writes)
            if result.succeeded:
                lease.set_key_revision(result.revision)
                return
        except StoreLeaseError:
            raise
        except StoreUnavailableError:
            if failure is None:
                raise
        except StoreError as error:
            failure = error
        # The lease of the key shows who wrote it, possibly this daemon. A
        # write that is still in transit fails, or a later read returns it.
        try:
            current = await store.get(lease.key)
        except StoreError as error:
            failure = error
        else:
            if current is not None and current.lease == lease.id:
                lease.set_key_revision(current.mod_revision)
                return
            if current is not None:
                if current.value == value:
                    await _remove_misbound_key(store, current)
                raise LeaseHeldError(
                    f'{lease.key!r} is held under lease {current.lease}'
                )
        await trio.sleep(_BACKOFF_S[0])
    raise failure or StoreUnavailableError(
        f'lease {lease.id} expired before {lease.key!r} was written'
    )


async def _remove_misbound_key(store: Store, current: KeyValue) -> None:
    """Remove an election key that a write of this client bound wrongly.

    A store that is restored while the write is in transit may have given the
    number of the lease to another client. The key would last as long as that
    client's lease.
    """
    with contextlib.suppress(StoreError):
        await store.txn(
            [Compare(current.key, current.mod_revision)], [Delete(current.key)]
        )


async def _wait_until_free(
    store: Store, key: str, ttl_s: int, backoff: Backoff
) -> None:
    """Wait until the election key is removed, at most for `ttl_s`.

    The caller then reads the key again, as a watch may have stalled.
    """
    try:
        with trio.move_on_after(ttl_s):
            async with store.watch(key) as events:
                # The key may have been removed before the watch was opened.
                if await store.get(key) is None:
                    backoff.reset()
                    return
                async for event in events:
                    if event.key == key and event.value is None:
                        backoff.reset()
                        return
    except StoreError:
        await trio.sleep(backoff.next())


class StoreElections:
    """Elections on one store; see `Elections`.

    Parameters
    ----------
    store : Store
        Key-value service with the election keys.
    rng : random.Random, optional
        Source of the jitter.
    on_change : callable, optional
        Called with an event code and the key when a lease was acquired
        (``lease-acquired``) and when it was lost or released
        (``lease-lost``, ``lease-released``).
    """

    def __init__(
        self,
        store: Store,
        *,
        rng: random.Random | None = None,
        on_change: Callable[[str, str], None] | None = None,
    ) -> None:
        self._store = store
        self._rng = rng
        self._on_change = on_change or (lambda code, key: None)

    @asynccontextmanager
    async def campaign(
        self, key: str, value: bytes, ttl_s: int, *, wait: bool = True
    ) -> AsyncIterator[HeldLease]:
        """Hold the lease of an election key within a context.

        See `gypsumhall.store.campaign`.
        """
        async with campaign(
            self._store, key, value, ttl_s, wait=wait, rng=self._rng
        ) as lease:
            self._on_change('lease-acquired', key)
            try:
                yield lease
            finally:
                lost = not lease.valid(trio.current_time())
                self._on_change(
                    'lease-lost' if lost else 'lease-released', key
                )
