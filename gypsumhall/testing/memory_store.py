"""In-memory `Store` with revisions, leases, watches and faults.

It implements the protocol of `gypsumhall.store` without a network. Time is
measured by the trio clock, so tests can use `trio.testing.MockClock`. It can
be registered with a kernel as the service ``store``.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import enum
import math
from typing import TYPE_CHECKING
from typing import TypeVar

import trio

from gypsumhall._errors import StoreCompactedError
from gypsumhall._errors import StoreError
from gypsumhall._errors import StoreProtocolError
from gypsumhall._errors import StoreUnavailableError
from gypsumhall._errors import StoreUnknownError
from gypsumhall.store import Delete
from gypsumhall.store import KeyValue
from gypsumhall.store import LeaseId
from gypsumhall.store import NO_LEASE
from gypsumhall.store import NO_REVISION
from gypsumhall.store import Put
from gypsumhall.store import Revision
from gypsumhall.store import StoreLeaseError
from gypsumhall.store import TxnResult
from gypsumhall.store import WatchEvent
from gypsumhall.store._etcd import check_writes
from gypsumhall.testing.fakes import FakeService

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from gypsumhall.store import Compare

T = TypeVar('T')

_READS = ('get', 'range')


class Fault(enum.Enum):
    """Fault that affects one request.

    ``UNAVAILABLE`` rejects the request. ``LOST_REQUEST`` loses it before
    execution, ``LOST_RESPONSE`` loses its response after execution, and
    ``LATE`` executes it `MemoryStore.late_s` seconds after its client has
    timed out. These three raise `StoreUnknownError`, or
    `StoreUnavailableError` for reads, which leave no outcome unknown.
    ``INVALID_RESPONSE`` executes the request and raises `StoreProtocolError`.
    """

    UNAVAILABLE = 'unavailable'
    LOST_REQUEST = 'lost-request'
    LOST_RESPONSE = 'lost-answer'
    LATE = 'late'
    INVALID_RESPONSE = 'nonsense'


@dataclass(slots=True)
class _Lease:
    ttl_s: int
    deadline: float


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """State of a `MemoryStore` at one moment, for `MemoryStore.restore`."""

    revision: int
    compacted_revision: int
    next_lease: int
    keys: tuple[KeyValue, ...]
    history: tuple[WatchEvent, ...]
    leases: tuple[tuple[int, _Lease], ...]


@dataclass(slots=True, eq=False)
class _Watch:
    changed: trio.Event = field(default_factory=trio.Event)
    dropped: bool = False
    silent: bool = False


class MemoryStore(FakeService):
    """A `Store` in the memory of this process.

    Parameters
    ----------
    latency_s : float
        Seconds that each request takes before it is executed.

    Attributes
    ----------
    latency_s : float
        The parameter; may be changed at any time.
    timeout_s : float
        Seconds after which a request times out.
    hang : bool
        Whether requests are not executed and time out.
    late_s : float
        Delay in seconds before requests with the fault ``LATE`` are
        executed, counted from their time-out error.
    before : callable or None
        Coroutine function that is called with the name of each operation
        before its execution; it may wait, for example to pause one client.
    """

    name = 'store'

    def __init__(self, *, latency_s: float = 0.0) -> None:
        self._outage = False
        self.latency_s = latency_s
        self.timeout_s = 2.0
        self.hang = False
        self.late_s = 0.5
        self.before: Callable[[str], Awaitable[None]] | None = None
        self._era = 1
        self._revision = 1
        self._compacted_revision = 0
        self._next_lease = 1
        self._keys: dict[str, KeyValue] = {}
        self._history: list[WatchEvent] = []
        self._leases: dict[int, _Lease] = {}
        self._watches: set[_Watch] = set()
        self._faults: dict[str, list[Fault]] = {}
        self._counts: dict[str, int] = {}
        self._late_requests: list[tuple[float, Callable[[], object]]] = []

    @property
    def outage(self) -> bool:
        """Whether every request fails with `StoreUnavailableError`.

        Setting it to true also terminates the open watches.
        """
        return self._outage

    @outage.setter
    def outage(self, value: bool) -> None:
        self._outage = value
        if value:
            self.drop_watches()

    @property
    def era(self) -> int:
        """Incremented whenever the store is restored from a copy."""
        return self._era

    @property
    def revision(self) -> Revision:
        """Revision of the last change."""
        return Revision(self._era, self._revision)

    @property
    def keys(self) -> tuple[str, ...]:
        """Stored keys in order."""
        self._expire()
        return tuple(sorted(self._keys))

    @property
    def counts(self) -> dict[str, int]:
        """Number of requests received, by operation."""
        return dict(self._counts)

    @property
    def history(self) -> tuple[WatchEvent, ...]:
        """All changes since the last compaction, in order."""
        return tuple(self._history)

    def clear_faults(self) -> None:
        """Remove the queued faults and reset the request counts."""
        self._faults.clear()
        self._counts.clear()

    def inject(self, operation: str, *faults: Fault) -> None:
        """Queue faults for the next requests of one operation.

        Parameters
        ----------
        operation : str
            ``get``, ``range``, ``txn``, ``grant_lease``, ``keep_alive`` or
            ``revoke``; empty for the next requests of any operation.
        *faults : Fault
            One for each of the next requests.
        """
        self._faults.setdefault(operation, []).extend(faults)

    def drop_watches(self) -> None:
        """Terminate all open watches with `StoreUnavailableError`."""
        for watch in self._watches:
            watch.dropped = True
            watch.changed.set()

    def silence_watches(self) -> None:
        """Stop delivering events to the open watches, without an error."""
        for watch in self._watches:
            watch.silent = True

    def compact(self) -> None:
        """Discard the history up to the current revision."""
        self._expire()
        self._compacted_revision = self._revision
        self._history.clear()

    def copy(self) -> StoreCopy:
        """Copy the present state."""
        self._expire()
        return StoreCopy(
            self._revision,
            self._compacted_revision,
            self._next_lease,
            tuple(self._keys.values()),
            tuple(self._history),
            tuple(
                (lease, replace(state))
                for lease, state in self._leases.items()
            ),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Return to the state of a copy, in the next era.

        Later writes, revisions and leases are gone, and their numbers are
        given out again.
        """
        self._era += 1
        self._revision = copy.revision
        self._compacted_revision = copy.compacted_revision
        self._next_lease = copy.next_lease
        self._keys = {
            item.key: replace(
                item,
                mod_revision=Revision(self._era, item.mod_revision.number),
                lease=self._build_lease(item.lease.number),
            )
            for item in copy.keys
        }
        self._history = [
            replace(item, revision=Revision(self._era, item.revision.number))
            for item in copy.history
        ]
        self._leases = {lease: replace(state) for lease, state in copy.leases}
        for watch in self._watches:
            watch.changed.set()

    def _build_lease(self, number: int) -> LeaseId:
        return LeaseId(self._era, number) if number else NO_LEASE

    def expire_leases(self, *leases: LeaseId) -> None:
        """Expire leases immediately, as if their holders had been paused.

        Parameters
        ----------
        *leases : LeaseId
            Ids of the leases; by default all leases.
        """
        numbers = [item.number for item in leases if item.era == self._era]
        for number in numbers if leases else self._leases:
            if number in self._leases:
                self._leases[number].deadline = -math.inf
        self._expire()

    async def get(self, key: str, *, stale: bool = False) -> KeyValue | None:
        """Read one key; None when it does not exist.

        Values are never stale.
        """
        return await self._request('get', lambda: self._keys.get(key))

    async def range(self, prefix: str) -> list[KeyValue]:
        """Read all keys that start with a prefix, in key order."""
        return await self._request(
            'range',
            lambda: [
                self._keys[key]
                for key in sorted(self._keys)
                if key.startswith(prefix)
            ],
        )

    async def range_at(self, prefix: str) -> tuple[list[KeyValue], Revision]:
        """Read all keys that start with a prefix, and the revision."""
        return await self._request(
            'range',
            lambda: (
                [
                    self._keys[key]
                    for key in sorted(self._keys)
                    if key.startswith(prefix)
                ],
                self.revision,
            ),
        )

    async def txn(
        self,
        compares: Sequence[Compare],
        writes: Sequence[Put | Delete],
    ) -> TxnResult:
        """Execute all writes if all conditions hold, else none."""
        check_writes(writes)
        return await self._request(
            'txn', lambda: self._execute(compares, writes)
        )

    async def grant_lease(self, ttl_s: int) -> LeaseId:
        """Create a lease that expires unless renewed; return its id."""
        return await self._request('grant_lease', lambda: self._grant(ttl_s))

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Renew a lease once; return False if it has expired."""
        return await self._request('keep_alive', lambda: self._renew(lease))

    async def revoke(self, lease: LeaseId) -> None:
        """Revoke a lease and remove its keys."""
        await self._request('revoke', lambda: self.expire_leases(lease))

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: Revision = NO_REVISION
    ) -> AsyncIterator[AsyncIterator[WatchEvent]]:
        """Watch all keys that start with a prefix."""
        self._expire()
        start = from_revision
        if start == NO_REVISION:
            start = self.revision.next()
        watch = _Watch()
        self._watches.add(watch)
        try:
            yield self._events(watch, prefix, start)
        finally:
            self._watches.discard(watch)

    async def _request(self, operation: str, execute: Callable[[], T]) -> T:
        self._counts[operation] = self._counts.get(operation, 0) + 1
        queued = self._faults.get(operation) or self._faults.get('')
        fault = queued.pop(0) if queued else None
        if self.before is not None:
            await self.before(operation)
        latency_s = math.inf if self.hang else self.latency_s
        await trio.sleep(min(latency_s, self.timeout_s))
        if self._outage or fault is Fault.UNAVAILABLE:
            raise StoreUnavailableError(f'{operation}: injected outage')
        error_type = (
            StoreUnavailableError if operation in _READS else StoreUnknownError
        )
        if fault is Fault.LOST_REQUEST:
            raise error_type(f'{operation}: injected lost request')
        self._expire()
        late_s = latency_s - self.timeout_s
        if fault is Fault.LATE:
            late_s = self.late_s
        if late_s > 0:
            self._late_requests.append((trio.current_time() + late_s, execute))
            raise error_type(f'{operation}: no response in time')
        result = execute()
        if fault is Fault.LOST_RESPONSE:
            raise error_type(f'{operation}: injected lost response')
        if fault is Fault.INVALID_RESPONSE:
            raise StoreProtocolError(f'{operation}: injected invalid response')
        return result

    def _execute(
        self,
        compares: Sequence[Compare],
        writes: Sequence[Put | Delete],
    ) -> TxnResult:
        for compare in compares:
            found = self._keys.get(compare.key)
            revision = found.mod_revision if found else NO_REVISION
            if revision != compare.mod_revision:
                return TxnResult(False, self.revision)
        for write in writes:
            if isinstance(write, Put) and not self._has_lease(write.lease):
                raise StoreLeaseError(f'no lease {write.lease}')
        self._write(writes)
        return TxnResult(True, self.revision)

    def _write(self, writes: Sequence[Put | Delete]) -> None:
        effective_writes = [
            item
            for item in writes
            if isinstance(item, Put) or item.key in self._keys
        ]
        if not effective_writes:
            return
        self._revision += 1
        for item in effective_writes:
            value = None
            if isinstance(item, Put):
                value = item.value
                self._keys[item.key] = KeyValue(
                    item.key, item.value, self.revision, item.lease
                )
            else:
                del self._keys[item.key]
            self._history.append(WatchEvent(item.key, value, self.revision))
        for watch in self._watches:
            watch.changed.set()

    def _has_lease(self, lease: LeaseId) -> bool:
        return lease == NO_LEASE or (
            lease.era == self._era and lease.number in self._leases
        )

    def _grant(self, ttl_s: int) -> LeaseId:
        number = self._next_lease
        self._next_lease += 1
        self._leases[number] = _Lease(ttl_s, trio.current_time() + ttl_s)
        return LeaseId(self._era, number)

    def _renew(self, lease: LeaseId) -> bool:
        lease_state = self._leases.get(lease.number)
        if lease_state is None or lease.era != self._era:
            return False
        lease_state.deadline = trio.current_time() + lease_state.ttl_s
        return True

    def _expire(self) -> None:
        """Execute late requests that are due and remove expired leases."""
        now = trio.current_time()
        due_requests = [item for item in self._late_requests if item[0] <= now]
        self._late_requests = [
            item for item in self._late_requests if item[0] > now
        ]
        for _, execute in sorted(due_requests, key=lambda item: item[0]):
            # The client has timed out, so errors are not reported.
            with suppress(StoreError):
                execute()
        expired = {
            lease
            for lease, lease_state in self._leases.items()
            if lease_state.deadline <= now
        }
        for lease in expired:
            del self._leases[lease]
        if expired:
            self._write(
                [
                    Delete(key)
                    for key, found in sorted(self._keys.items())
                    if found.lease.number in expired
                ]
            )

    async def _events(
        self, watch: _Watch, prefix: str, start: Revision
    ) -> AsyncIterator[WatchEvent]:
        while True:
            self._expire()
            if watch.dropped or self._outage:
                raise StoreUnavailableError('watch: injected termination')
            if start.era != self._era or start > self.revision.next():
                raise StoreCompactedError(
                    f'revision {start} is not the next one after '
                    f'{self.revision}'
                )
            if start.number <= self._compacted_revision:
                raise StoreCompactedError(
                    f'revision {start} is compacted; oldest available: '
                    f'{self._compacted_revision + 1}'
                )
            watch.changed = trio.Event()
            if not watch.silent:
                last = self.revision
                for event in [
                    item for item in self._history if item.revision >= start
                ]:
                    if event.key.startswith(prefix):
                        yield event
                start = last.next()
                if self.revision > last:
                    continue
            next_deadline = min(
                [
                    *(
                        lease_state.deadline
                        for lease_state in self._leases.values()
                    ),
                    *(time for time, _ in self._late_requests),
                ],
                default=math.inf,
            )
            with trio.move_on_at(next_deadline):
                await watch.changed.wait()
