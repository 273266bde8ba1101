"""Tests of the work of a daemon that does little.

Every wake-up of an event loop costs about a quarter of a millisecond, which
is paid by each daemon at all times.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from gypsumhall.core._replica import Replica
from gypsumhall.kernel import Kernel
from gypsumhall.net._network import Network
from gypsumhall.net._network import PeerSettings
from gypsumhall.net._protocol import PeerInfo
from gypsumhall.net._stream import StreamSettings
from gypsumhall.services._distribution import DistributionService
from gypsumhall.services._registration import Registration
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeEvents
from gypsumhall.testing.fakes import FakeMembership
from gypsumhall.testing.fakes import FakeTable
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork
from gypsumhall.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    import pytest
    from trio.testing import MockClock

    from gypsumhall.core._actions import Action
    from gypsumhall.net._messages import Digest
    from gypsumhall.store import KeyValue

_DURATION_S = 20.0
# Those of `gypsumhall-fleetd`.
_STREAM_SETTINGS = StreamSettings(
    ping_after_s=0.25, silent_after_s=0.75, dead_after_s=2.25
)


class _SteppedTasks(trio.abc.Instrument):
    """Counts the steps of the tasks with a name."""

    def __init__(self, name: str) -> None:
        self._name = name
        self.steps = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.steps += task.name.endswith(self._name)


async def test_streams_without_exchanges_are_checked_rarely(
    autojump_clock: MockClock,
) -> None:
    """Checks are due when a ping is, not at short intervals."""
    counter = _SteppedTasks('Network.serve')
    trio.lowlevel.add_instrument(counter)
    settings = PeerSettings(
        'd0', 'az-1', 1, '127.0.0.1:0', (b'k' * 16,), stream=_STREAM_SETTINGS
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(Network(settings).serve)
        await trio.sleep(_DURATION_S)
        nursery.cancel_scope.cancel()
    assert counter.steps <= 5 * _DURATION_S


class _Membership(FakeMembership):
    digest_callback: Callable[[str, Digest], None]

    def set_digest_provider(self, provider: Callable[[], Digest]) -> None:
        pass

    def on_peer_digest(self, callback: Callable[[str, Digest], None]) -> None:
        self.digest_callback = callback


async def test_equal_digests_do_not_wake_the_timers_of_the_distribution(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each heartbeat brings one, and most change nothing."""
    ticks = 0
    tick = Replica.tick

    def count_ticks(replica: Replica, now: float) -> list[Action]:
        nonlocal ticks
        ticks += 1
        return tick(replica, now)

    monkeypatch.setattr(Replica, 'tick', count_ticks)
    members = [builders.build_member(index) for index in range(2)]
    membership = _Membership(members[0], FakeTable(members))
    service = DistributionService()
    async with trio.open_nursery() as nursery:
        info = PeerInfo('d0', 'az-1', 1, members[0].peer_address)
        kernel = Kernel()
        for item in (
            FakeEvents(),
            MemoryNetwork(MemoryHub(nursery), info),
            membership,
            service,
        ):
            kernel.register(item)
        await nursery.start(kernel.run)
        fragment = builders.build_fragment()
        service.publish(builders.build_head([fragment]), [fragment])
        await trio.sleep(5.0)
        ticks = 0
        for _ in range(100):
            membership.digest_callback(members[1].peer_address, service.digest)
            await trio.sleep(_DURATION_S / 100)
        # An announcement is due every 5 s.
        assert ticks <= 2 * _DURATION_S
        nursery.cancel_scope.cancel()


class _CountingStore(MemoryStore):
    elections: Any = None

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0
        self.stale_reads = 0

    async def get(self, key: str, *, stale: bool = False) -> KeyValue | None:
        self.stale_reads += stale
        self.reads += not stale
        return await super().get(key, stale=stale)


class _SeededMembership(FakeMembership):
    def set_seed_source(self, source: Callable[[], Any]) -> None:
        pass


async def test_own_entry_is_checked_with_stale_reads(
    autojump_clock: MockClock,
) -> None:
    """The store charges a tenth for them, and they do not use up its limit."""
    store = _CountingStore()
    kernel = Kernel()
    for service in (
        FakeEvents(),
        store,
        _SeededMembership(builders.build_member(0)),
        Registration(),
    ):
        kernel.register(service)
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        await trio.sleep(_DURATION_S)
        assert store.keys
        assert store.stale_reads
        assert not store.reads
        nursery.cancel_scope.cancel()
