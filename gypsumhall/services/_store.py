"""Service ``store``: the platform's store with metrics and elections."""

from __future__ import annotations

from contextlib import asynccontextmanager
from contextlib import AsyncExitStack
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import StoreError
from gypsumhall.services._protocols import Events
from gypsumhall.services._protocols import Metrics
from gypsumhall.store import NO_REVISION
from gypsumhall.store import StoreElections

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator
    from collections.abc import Sequence
    import random

    from gypsumhall.kernel import Kernel
    from gypsumhall.services._protocols import Metric
    from gypsumhall.store import Compare
    from gypsumhall.store import Delete
    from gypsumhall.store import KeyValue
    from gypsumhall.store import LeaseId
    from gypsumhall.store import Put
    from gypsumhall.store import Revision
    from gypsumhall.store import Store
    from gypsumhall.store import TxnResult
    from gypsumhall.store import WatchEvent

_MAX_REPORTED_ENTRIES = 256


class InstrumentedStore:
    """Delegates to a store and measures each call.

    Parameters
    ----------
    store : Store
        Client of the platform; closed when the service ends if it has a
        method ``aclose``.
    rng : random.Random, optional
        Source of the jitter of elections.
    """

    name = 'store'
    requires: tuple[str, ...] = ('events', 'metrics')

    def __init__(
        self, store: Store, *, rng: random.Random | None = None
    ) -> None:
        self._store = store
        self._recorded_era = 0
        self._elections = StoreElections(
            self, rng=rng, on_change=self._on_lease_change
        )
        self._events: Events | None = None
        # Reason by key; an entry that remains is reported once.
        self._reported: dict[str, str] = {}
        self._call_counter: Metric | None = None
        self._call_duration: Metric | None = None
        self._open_watches: Metric | None = None

    @property
    def era(self) -> int:
        """Highest era of the store that a response has named."""
        return self._store.era

    @property
    def elections(self) -> StoreElections:
        """Elections on this store."""
        return self._elections

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        metrics = kernel.get('metrics', Metrics)
        self._events = kernel.get('events', Events)
        self._call_counter = metrics.counter(
            'gypsumhall_store_calls_total',
            'Calls to the platform by call and outcome',
        )
        self._call_duration = metrics.histogram(
            'gypsumhall_store_call_seconds', 'Duration of platform calls'
        )
        self._open_watches = metrics.gauge(
            'gypsumhall_store_watches', 'Open watches on the platform'
        )
        set_reporter = getattr(self._store, 'set_reporter', None)
        if set_reporter is not None:
            set_reporter(self._report_malformed)
        try:
            task_status.started()
            await trio.sleep_forever()
        finally:
            close = getattr(self._store, 'aclose', None)
            if close is not None:
                with trio.CancelScope(shield=True):
                    await close()

    async def drain(self) -> None:
        """Do nothing; the services that use the store end their calls."""

    async def get(self, key: str, *, stale: bool = False) -> KeyValue | None:
        """Read one key; None when it does not exist."""
        with self._measure('get-stale' if stale else 'get'):
            return await self._store.get(key, stale=stale)

    async def range(self, prefix: str) -> list[KeyValue]:
        """Read all keys that start with a prefix, in key order."""
        with self._measure('range'):
            return await self._store.range(prefix)

    async def range_at(self, prefix: str) -> tuple[list[KeyValue], Revision]:
        """Read all keys that start with a prefix, and the revision."""
        with self._measure('range'):
            return await self._store.range_at(prefix)

    async def txn(
        self,
        compares: Sequence[Compare],
        writes: Sequence[Put | Delete],
    ) -> TxnResult:
        """Execute all writes if all conditions hold, else none."""
        with self._measure('txn'):
            return await self._store.txn(compares, writes)

    async def grant_lease(self, ttl_s: int) -> LeaseId:
        """Create a lease that expires without renewal; return its id."""
        with self._measure('grant-lease'):
            return await self._store.grant_lease(ttl_s)

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Renew a lease once; False when it has expired."""
        with self._measure('keep-alive'):
            return await self._store.keep_alive(lease)

    async def revoke(self, lease: LeaseId) -> None:
        """End a lease and remove its keys."""
        with self._measure('revoke'):
            await self._store.revoke(lease)

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: Revision = NO_REVISION
    ) -> AsyncIterator[AsyncIterator[WatchEvent]]:
        """Watch all keys that start with a prefix."""
        async with AsyncExitStack() as stack:
            with self._measure('watch'):
                events = await stack.enter_async_context(
                    self._store.watch(prefix, from_revision)
                )
            self._change_open_watches(1)
            stack.callback(self._change_open_watches, -1)
            yield events

    def _change_open_watches(self, change: int) -> None:
        if self._open_watches is not None:
            self._open_watches.add(change)

    @contextmanager
    def _measure(self, call: str) -> Iterator[None]:
        started = trio.current_time()
        outcome = 'cancelled'
        try:
            yield
            outcome = 'ok'
        except StoreError as error:
            outcome = error.code
            raise
        finally:
            self._record_era()
            if (
                self._call_counter is not None
                and self._call_duration is not None
            ):
                self._call_counter.add(1, call=call, outcome=outcome)
                self._call_duration.add(
                    trio.current_time() - started, call=call
                )

    def _record_era(self) -> None:
        era = self._store.era
        if era == self._recorded_era:
            return
        previous, self._recorded_era = self._recorded_era, era
        if self._events is not None:
            self._events.emit('store-era-changed', previous=previous, era=era)

    def _report_malformed(self, key: str, reason: str) -> None:
        if self._events is None or self._reported.get(key) == reason:
            return
        if len(self._reported) >= _MAX_REPORTED_ENTRIES:
            self._reported.clear()
        self._reported[key] = reason
        self._events.emit('store-entry-malformed', key=key, detail=reason)

    def _on_lease_change(self, code: str, key: str) -> None:
        if self._events is not None:
            self._events.emit(code, key=key)
