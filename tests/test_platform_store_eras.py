"""Tests of the store client against a store restored from a copy."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.errors import StoreCompactedError
from gypsumhall.errors import StoreError
from gypsumhall.errors import StoreUnavailableError
from gypsumhall.errors import StoreUnknownError
from gypsumhall.platform import _http_client
from gypsumhall.platform._store import _read_era
from gypsumhall.store import campaign
from gypsumhall.store import Compare
from gypsumhall.store import KeyValue
from gypsumhall.store import LeaseHeldError
from gypsumhall.store import LeaseId
from gypsumhall.store import Put
from gypsumhall.store import StoreLeaseError
from gypsumhall.testing.kv_store import open_kv_store

if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_later_writes_order_after_those_of_earlier_eras(
    autojump_clock: MockClock,
) -> None:
    """Numbers that are given out again must not order the writes."""
    async with open_kv_store() as (store, app, _):
        copy = app.store.copy()
        lost = [await store.txn([], [Put('k', b'1')]) for _ in range(3)]
        app.store.restore(copy)
        again = await store.txn([], [Put('k', b'2')])
        assert again.revision > lost[-1].revision
        assert again.revision.number < lost[-1].revision.number
        item = await store.get('k')
        assert item is not None
        assert item.mod_revision == again.revision


@pytest.mark.parametrize('era_is_known', [False, True])
async def test_conditions_of_an_earlier_era_never_count_as_held(
    autojump_clock: MockClock, era_is_known: bool
) -> None:
    """Numbers given out again would let an earlier holder write."""
    async with open_kv_store() as (store, app, _):
        copy = app.store.copy()
        lost = await store.txn([], [Put('k', b'1')])
        lost_lease = await store.grant_lease(10)
        app.store.restore(copy)
        again = await app.store.txn([], [Put('k', b'2')])
        other = await app.store.grant_lease(10)
        assert again.revision.number == lost.revision.number
        assert other.number == lost_lease.number
        if era_is_known:
            await store.range('k')
            result = await store.txn(
                [Compare('k', lost.revision)], [Put('k', b'3')]
            )
            assert not result.succeeded
            with pytest.raises(StoreLeaseError):
                await store.txn([], [Put('k', b'3', lost_lease)])
            item = await store.get('k')
            assert item is not None
            assert item.value == b'2'
        else:
            with pytest.raises(StoreUnknownError):
                await store.txn(
                    [Compare('k', lost.revision)], [Put('x', b'3')]
                )
        assert not await store.keep_alive(lost_lease)
        await store.revoke(lost_lease)
        assert await app.store.keep_alive(other)


async def test_lease_is_invalid_once_the_store_is_restored(
    autojump_clock: MockClock,
) -> None:
    """Two clients would each hold the lease of their own era."""
    async with open_kv_store() as (store, app, _):
        copy = app.store.copy()
        async with campaign(store, 'leader', b'a', 10) as lease:
            app.store.restore(copy)
            assert lease.valid(trio.current_time())
            await store.get('any')
            assert not lease.valid(trio.current_time())
            async with campaign(store, 'leader', b'b', 10) as other:
                with pytest.raises(LeaseHeldError):
                    async with campaign(store, 'leader', b'c', 10, wait=False):
                        pass
                await trio.sleep(5)
                assert lease.lost.is_set()
                assert other.valid(trio.current_time())


@pytest.mark.parametrize('writes_again', [0, 1, 5])
async def test_a_silent_watch_ends_with_the_era_of_the_store(
    autojump_clock: MockClock, writes_again: int
) -> None:
    """It would miss the changes until its poll times out, or for good."""
    async with open_kv_store() as (store, app, _):
        copy = app.store.copy()
        await store.txn([], [Put('k', b'1')])
        await store.txn([], [Put('k', b'2')])
        async with store.watch('k') as events:
            with trio.move_on_after(0.5):
                await anext(events)
        async with store.watch('k') as events, trio.open_nursery() as nursery:

            async def restore() -> None:
                await trio.sleep(0.5)
                app.silent_watches = True
                app.store.restore(copy)
                for _ in range(writes_again):
                    await app.store.txn([], [Put('k', b'3')])
                await store.get('other')

            nursery.start_soon(restore)
            started = trio.current_time()
            with pytest.raises(StoreCompactedError):
                await anext(events)
            assert trio.current_time() - started < 1.0


async def test_responses_of_an_earlier_era_are_not_used(
    autojump_clock: MockClock,
) -> None:
    async with open_kv_store() as (store, app, _):
        await store.txn([], [Put('k', b'1')])
        store._set_era(app.store.era + 1)
        errors: list[type[StoreError]] = []
        for call in (
            lambda: store.get('k'),
            lambda: store.range('k'),
            lambda: store.txn([], [Put('k', b'2')]),
        ):
            try:
                await call()
            except StoreError as error:
                errors.append(type(error))
        assert errors == [
            StoreUnavailableError,
            StoreUnavailableError,
            StoreUnknownError,
        ]


async def test_pages_of_two_eras_are_not_joined(
    autojump_clock: MockClock,
) -> None:
    """The pages would mix keys of the copy with keys that it lacks."""
    async with open_kv_store() as (store, app, _):
        for index in range(60):
            puts = [Put(f'k{index:02}/{item:02}', b'') for item in range(10)]
            await app.store.txn([], puts)
        copy = app.store.copy()
        pages = 0
        found: list[KeyValue] | None = None

        async def restore_after_first_page(operation: str) -> None:
            nonlocal pages
            pages += operation == 'range'
            if pages == 2:
                app.store.restore(copy)

        app.store.before = restore_after_first_page
        with pytest.raises(StoreUnavailableError):
            found = await store.range('k')
        assert found is None
        assert len(await store.range('k')) == 600


async def test_election_ends_although_its_lease_number_was_given_out_again(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The key must not stay bound to the lease of another client for good."""
    async with open_kv_store() as (store, app, _):
        copy = app.store.copy()

        execute = app._txn

        async def restore_before_write(body: Any) -> tuple[int, Any]:
            monkeypatch.undo()
            app.store.restore(copy)
            await app.store.grant_lease(10)
            return await execute(body)

        monkeypatch.setattr(app, '_txn', restore_before_write)
        with pytest.raises(StoreError):
            async with campaign(store, 'leader', b'a', 3, wait=False):
                pass
        other = LeaseId(app.store.era, 1)
        for _ in range(10):
            assert await app.store.keep_alive(other)
            await trio.sleep(1.0)
        async with campaign(store, 'leader', b'b', 3, wait=False) as lease:
            assert lease.valid(trio.current_time())


@pytest.mark.parametrize('value', [b'9' * 19, b'-1', b'', b'2.0', b'x'])
def test_unusable_era_is_not_taken_for_another_one(value: bytes) -> None:
    """A wrong high era would make all later responses unusable."""
    response = _http_client.Response(200, [(b'Store-Era', value)], b'')
    assert _read_era(response, 3) == 3
