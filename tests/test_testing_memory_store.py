"""Tests of the in-memory store that other tests use."""

from __future__ import annotations

import pytest
import trio

from gypsumhall.errors import StoreCompactedError
from gypsumhall.errors import StoreProtocolError
from gypsumhall.errors import StoreUnavailableError
from gypsumhall.errors import StoreUnknownError
from gypsumhall.store import Compare
from gypsumhall.store import Delete
from gypsumhall.store import LeaseId
from gypsumhall.store import Put
from gypsumhall.store import Revision
from gypsumhall.testing.memory_store import Fault
from gypsumhall.testing.memory_store import MemoryStore


async def test_transaction_is_atomic() -> None:
    store = MemoryStore()
    first = await store.txn([Compare('a')], [Put('a', b'1'), Put('b', b'')])
    assert first.succeeded
    found = await store.get('a')
    assert found is not None
    assert found.mod_revision == first.revision
    rejected = await store.txn([Compare('a')], [Put('a', b'2'), Delete('b')])
    assert not rejected.succeeded
    assert [item.key for item in await store.range('')] == ['a', 'b']


@pytest.mark.parametrize(
    ('fault', 'error', 'written'),
    [
        (Fault.UNAVAILABLE, StoreUnavailableError, False),
        (Fault.LOST_REQUEST, StoreUnknownError, False),
        (Fault.LOST_RESPONSE, StoreUnknownError, True),
        (Fault.INVALID_RESPONSE, StoreProtocolError, True),
    ],
)
async def test_injected_fault_affects_one_request(
    fault: Fault, error: type[Exception], written: bool
) -> None:
    store = MemoryStore()
    store.inject('txn', fault)
    with pytest.raises(error):
        await store.txn([], [Put('a', b'1')])
    assert (await store.get('a') is not None) is written
    await store.txn([], [Put('a', b'2')])


async def test_expired_lease_removes_its_keys_and_notifies_watches(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    lease = await store.grant_lease(10)
    await store.txn([], [Put('leased', b'x', lease), Put('kept', b'y')])
    async with store.watch('leased') as events:
        await trio.sleep(8)
        assert await store.keep_alive(lease)
        event = await anext(events)
    assert event.value is None
    assert trio.current_time() == pytest.approx(18)
    assert store.keys == ('kept',)
    assert not await store.keep_alive(lease)


async def test_watches_replay_history_and_end_on_faults(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    first = await store.txn([], [Put('a', b'1')])
    await store.txn([], [Put('a', b'2')])
    async with store.watch('a', first.revision) as events:
        assert [(await anext(events)).value for _ in '12'] == [b'1', b'2']
        store.silence_watches()
        await store.txn([], [Put('a', b'3')])
        with trio.move_on_after(60) as scope:
            await anext(events)
        assert scope.cancelled_caught
    async with store.watch('a') as events:
        store.outage = True
        with pytest.raises(StoreUnavailableError):
            await anext(events)
    store.outage = False
    store.compact()
    async with store.watch('a', first.revision) as events:
        with pytest.raises(StoreCompactedError):
            await anext(events)


async def test_restored_store_gives_out_revisions_and_leases_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    kept_lease = await store.grant_lease(10)
    await store.txn([], [Put('a', b'1'), Put('leased', b'x', kept_lease)])
    copy = store.copy()
    lost_lease = await store.grant_lease(10)
    lost = await store.txn([], [Put('a', b'2'), Put('b', b'', lost_lease)])
    store.restore(copy)
    assert store.era == 2
    assert store.keys == ('a', 'leased')
    assert not await store.keep_alive(kept_lease)
    assert await store.grant_lease(10) == LeaseId(2, lost_lease.number)
    again = await store.txn([], [Put('c', b'')])
    assert again.revision == Revision(2, lost.revision.number)
    await trio.sleep(10.5)
    assert store.keys == ('a', 'c')


async def test_watches_end_when_the_store_lacks_their_revision(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    copy = store.copy()
    async with store.watch('a') as open_events:
        lost = await store.txn([], [Put('a', b'1')])
        store.restore(copy)
        with pytest.raises(StoreCompactedError):
            await anext(open_events)
    async with store.watch('a', lost.revision.next()) as events:
        with pytest.raises(StoreCompactedError):
            await anext(events)
