"""Tests of the services on a store that was restored from an older copy."""

from __future__ import annotations

from contextlib import asynccontextmanager
import json
from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.errors import StoreCompactedError
from gypsumhall.kernel import Kernel
from gypsumhall.services._feed import Feed
from gypsumhall.services._registration import Registration
from gypsumhall.services._store import InstrumentedStore
from gypsumhall.store import Put
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeDistribution
from gypsumhall.testing.fakes import FakeEvents
from gypsumhall.testing.fakes import FakeMembership
from gypsumhall.testing.fakes import FakeMetrics
from gypsumhall.testing.fakes import FakeService
from gypsumhall.testing.kv_store import open_kv_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from trio.testing import MockClock

    from gypsumhall.store._election import Backoff
    from gypsumhall.testing.memory_store import MemoryStore

_APPLY_S = 2.0
"""Time in seconds within which a change must be in force."""


class _Membership(FakeMembership):
    def set_seed_source(self, source: Callable[[], Any]) -> None:
        self.source = source


class _Distribution(FakeDistribution):
    def set_head_reader(self, read: Callable[[], Any]) -> None:
        self.read = read

    @property
    def version(self) -> int:
        return self.snapshot.version if self.snapshot else 0


class _Rollouts(FakeService):
    name = 'moves'

    def add_order(self, order: Any, revision: Any) -> None:
        pass


@asynccontextmanager
async def _run(*services: Any) -> AsyncIterator[tuple[Kernel, MemoryStore]]:
    """Run services on a stand-in of the platform's store."""
    async with open_kv_store() as (store, app, _):
        kernel = Kernel()
        for service in (
            FakeEvents(),
            FakeMetrics(),
            _Membership(builders.build_member(0)),
            _Distribution(),
            InstrumentedStore(store),
            *services,
        ):
            kernel.register(service)
        async with trio.open_nursery() as nursery:
            await nursery.start(kernel.run)
            yield kernel, app.store
            nursery.cancel_scope.cancel()


async def _publish(store: MemoryStore, version: int) -> None:
    config = {'version': f'{version:08x}', 'resources': []}
    await store.txn([], [Put('op/config', json.dumps(config).encode())])


@pytest.mark.parametrize('written_again', [0, 1, 2, 3, 6])
@pytest.mark.parametrize('away_s', [0.0, 2.0])
async def test_configuration_of_a_restored_store_is_in_force_in_time(
    autojump_clock: MockClock, written_again: int, away_s: float
) -> None:
    """Revisions given out again must not hide newer versions."""
    async with _run(_Rollouts(), Feed()) as (kernel, store):
        distribution = kernel.get('distribution', _Distribution)
        await _publish(store, 4)
        copy = store.copy()
        for version in (6, 9, 10):
            await _publish(store, version)
        await trio.sleep(1.0)
        assert distribution.version == 10
        store.outage = away_s > 0
        await trio.sleep(away_s)
        store.restore(copy)
        store.outage = False
        # The counter ends below, at and above the last revision.
        for _ in range(written_again):
            await _publish(store, 10)
        await trio.sleep(_APPLY_S)
        assert distribution.version == 10
        for version in (11, 12):
            await _publish(store, version)
            await trio.sleep(_APPLY_S)
            assert distribution.version == version


async def test_entry_lost_with_the_copy_is_written_again_in_time(
    autojump_clock: MockClock,
) -> None:
    async with _run(Registration()) as (_, store):
        copy = store.copy()
        await trio.sleep(1.0)
        (key,) = store.keys
        store.restore(copy)
        # Another client gets the lease's number.
        other = await store.grant_lease(5)
        await trio.sleep(_APPLY_S)
        assert store.keys == (key,)
        entry = await store.get(key)
        assert entry is not None
        assert entry.lease != other
        await trio.sleep(30.0)
        assert store.keys == (key,)
        assert not await store.keep_alive(other)


async def test_feed_waits_between_watches_whose_history_is_gone(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reads without a pause would use up the calls of all daemons."""
    reads = 0

    async def watch_once(feed: Feed, backoff: Backoff) -> None:
        nonlocal reads
        reads += 1
        assert reads < 100
        raise StoreCompactedError('revision 1.7 is compacted')

    monkeypatch.setattr(Feed, '_watch_once', watch_once)
    async with _run(_Rollouts(), Feed()):
        await trio.sleep(3.0)
    assert reads > 1
