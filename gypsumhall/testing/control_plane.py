"""One daemon's part for operators, with fakes of everything around it."""

from __future__ import annotations

from contextlib import asynccontextmanager
import random
from typing import Any
from typing import TYPE_CHECKING

import trio

from gypsumhall.core._snapshot import Snapshot
from gypsumhall.kernel import Kernel
from gypsumhall.kernel import Service
from gypsumhall.net._messages import ZoneSummary
from gypsumhall.services._acceptance import AcceptanceService
from gypsumhall.services._admin import AdminService
from gypsumhall.services._operator import OperatorService
from gypsumhall.testing import builders
from gypsumhall.testing.platform_fakes import FakeMembership

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Sequence

    from gypsumhall.core._model import Fragment
    from gypsumhall.core._model import Head
    from gypsumhall.net._messages import Revert
    from gypsumhall.net._messages import Update
    from gypsumhall.testing.memory_store import MemoryStore


class _Fake:
    name = ''
    requires: tuple[str, ...] = ()

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        pass


class FakeClock:
    """Hybrid clock that only counts."""

    def __init__(self) -> None:
        self._time = 0

    def now(self) -> int:
        """Return the next time stamp."""
        self._time += 1
        return self._time

    def observe(self, time: int) -> None:
        """Move past a time stamp."""
        self._time = max(self._time, time)


class FakeEvents(_Fake):
    """Keeps all events in `log`."""

    name = 'events'

    def __init__(self) -> None:
        self.log: list[dict[str, object]] = []
        self.clock = FakeClock()

    def emit(self, code: str, **fields: object) -> None:
        """Record one event."""
        self.log.append({'index': len(self.log), 'code': code, **fields})

    def since(self, index: int) -> list[dict[str, object]]:
        """Return the events from an index on."""
        return self.log[index:]


class FakeMetrics(_Fake):
    """Adds up values by name and labels."""

    name = 'metrics'

    def __init__(self) -> None:
        self.values: dict[tuple[str, ...], float] = {}

    def _metric(self, name: str, description: str) -> FakeMetric:
        return FakeMetric(name, self.values)

    counter = gauge = histogram = _metric

    def render(self, accept: str) -> tuple[bytes, str]:
        """Return one line for each value."""
        lines = [f'{key} {value}' for key, value in self.values.items()]
        return '\n'.join(lines).encode(), 'text/plain'


class FakeMetric:
    """One metric of `FakeMetrics`."""

    def __init__(self, name: str, values: dict[tuple[str, ...], float]):
        self._name = name
        self._values = values

    def add(self, value: float = 1.0, **labels: str) -> None:
        """Add a value."""
        key = (self._name, *sorted(labels.values()))
        self._values[key] = self._values.get(key, 0.0) + value

    def set(self, value: float, **labels: str) -> None:
        """Set a value."""
        self._values[self._name, *sorted(labels.values())] = value


class FakeDistribution(_Fake):
    """Installs what is published; `lag` keeps versions from effect.

    Parameters
    ----------
    lag : int
        Number of versions by which the other zone is behind.
    """

    name = 'distribution'

    def __init__(self, lag: int = 0) -> None:
        self.lag = lag
        self.snapshot: Snapshot | None = None
        self.published: list[Head] = []
        self.reverts: dict[str, Revert] = {}
        self._callbacks: list[Callable[[], None]] = []

    @property
    def summaries(self) -> dict[str, ZoneSummary]:
        """Two zones; the second is `lag` versions behind."""
        version = self.snapshot.version if self.snapshot else 0
        return {
            zone: ZoneSummary(zone, 1, version, 3, 3, version - behind)
            for zone, behind in (('az-1', 0), ('az-2', self.lag))
        }

    async def wait_ready(self) -> None:
        """Return at once."""

    def install(self, update: Update) -> bool:
        """Install the head of an update."""
        self.publish(update.head, update.fragments)
        return True

    def publish(self, head: Head, fragments: Sequence[Fragment]) -> None:
        """Install a version unless a later one is installed."""
        snapshot = Snapshot.build(head, fragments)
        self.published.append(head)
        if self.snapshot is None or self.snapshot.version < head.version:
            self.snapshot = snapshot
        for callback in self._callbacks:
            callback()

    def add_revert(self, revert: Revert) -> None:
        """Keep a revert."""
        self.reverts[revert.move] = revert

    def in_effect(self, version: int) -> bool:
        """Whether both zones hold the version."""
        return all(item.lowest >= version for item in self.summaries.values())

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each install."""
        self._callbacks.append(callback)


async def run_inline(function: Callable[..., Any], *args: object) -> object:
    """Run a function in the event loop.

    A thread would let the mock clock jump while the function runs.
    """
    return function(*args)


class ControlPlane:
    """Services of one daemon that operators talk to.

    Parameters
    ----------
    store : MemoryStore
        The platform; several daemons may share it.
    wall_clock : callable
        Returns the Unix time in seconds.
    address : str
        Admin address; empty for no listener.
    seed : int
        Seed of the jitter.
    """

    def __init__(
        self,
        store: MemoryStore,
        wall_clock: Callable[[], float],
        address: str = '',
        seed: int = 0,
    ) -> None:
        self.events = FakeEvents()
        self.metrics = FakeMetrics()
        self.distribution = FakeDistribution()
        self.acceptance = AcceptanceService(
            origin=f'd{seed}',
            wall_clock=wall_clock,
            rng=random.Random(seed),
            run_sync=run_inline,
        )
        self.admin = AdminService(address) if address else None
        self.kernel = Kernel()
        services: tuple[Service, ...] = (
            self.events,
            self.metrics,
            self.distribution,
            store,
            self.acceptance,
        )
        for service in services:
            self.kernel.register(service)
        if self.admin is not None:
            self.kernel.register(self.admin)
            me = builders.build_member()
            self.kernel.register(FakeMembership(me, [me]))
            self.kernel.register(OperatorService())

    @asynccontextmanager
    async def running(self) -> AsyncIterator[ControlPlane]:
        """Run the services within a block."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.kernel.run)
            yield self
            nursery.cancel_scope.cancel()
