"""Daemons that run the reader service against an in-memory stand-in."""

from __future__ import annotations

from collections import Counter
import random
from typing import TYPE_CHECKING

import trio

from gypsumhall.kernel import Kernel
from gypsumhall.services._events import EventLog
from gypsumhall.services._metrics import MetricRegistry
from gypsumhall.services._reader import Reader
from gypsumhall.services._store import InstrumentedStore
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeDistribution
from gypsumhall.testing.fakes import FakeMembership
from gypsumhall.testing.fakes import FakeTable
from gypsumhall.testing.platform import write_version

if TYPE_CHECKING:
    from gypsumhall.core import _model
    from gypsumhall.testing.platform import MemoryPlatform


class ReaderZone:
    """Daemons of one zone that run ``reader`` and the services it requires.

    Parameters
    ----------
    memory_platform : MemoryPlatform
        The platform; each daemon connects to it by a separate address, equal
        to its peer address.
    name : str
        Availability zone.
    first : int
        Index of the first daemon; ids and addresses derive from the index.

    Attributes
    ----------
    table : FakeTable
        Member table that all daemons share; tests may modify it.
    readers, distributions, logs, kernels : dict
        Components of the daemons, by daemon id. `readers` and
        `distributions` have only the daemons that are running.
    version : int
        Last configuration version that was written.
    """

    def __init__(
        self,
        memory_platform: MemoryPlatform,
        name: str = 'az-1',
        first: int = 0,
    ) -> None:
        self._name = name
        self._first = first
        self.memory_platform = memory_platform
        self.platform = memory_platform.platform
        self.store = memory_platform.open_store()
        self.table = FakeTable()
        self.readers: dict[str, Reader] = {}
        self.distributions: dict[str, FakeDistribution] = {}
        self.logs: dict[str, EventLog] = {}
        self.kernels: dict[str, Kernel] = {}
        self.version = 0

    async def start(self, nursery: trio.Nursery, daemons: int) -> None:
        """Start daemons one after another."""
        for index in range(self._first, self._first + daemons):
            await nursery.start(self._run_daemon, index)

    async def _run_daemon(
        self,
        index: int,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        rng = random.Random(index)
        me = builders.build_member(index, self._name)
        kernel = self.kernels[me.id] = Kernel()
        log = self.logs[me.id] = EventLog(me.id, me.zone, path='/dev/null')
        self.readers[me.id] = Reader(rng=rng)
        self.distributions[me.id] = FakeDistribution()
        for service in (
            log,
            MetricRegistry(),
            InstrumentedStore(
                self.memory_platform.open_store(me.peer_address), rng=rng
            ),
            FakeMembership(me, self.table),
            self.distributions[me.id],
            self.readers[me.id],
        ):
            kernel.register(service)
        await kernel.run(task_status=task_status)
        self.table.remove(me.id)
        del self.readers[me.id], self.distributions[me.id]

    async def change(self, fragment: _model.Fragment | None = None) -> None:
        """Write the next version to the store, as acceptance does."""
        self.version += 1
        await write_version(self.store, self.version, fragment)

    async def converge(self, seconds: float) -> None:
        """Write the next version and check that it is published in time."""
        await self.change()
        await trio.sleep(seconds)
        self.check_published(self.version)

    def slot_holder(self) -> tuple[str, Reader]:
        """Return the daemon id and reader of one daemon with a slot."""
        return next(
            item for item in self.readers.items() if item[1].slot is not None
        )

    def slots(self) -> list[int]:
        """Return the slots that are assigned to readers, sorted."""
        return sorted(
            reader.slot
            for reader in self.readers.values()
            if reader.slot is not None
        )

    def codes(self) -> Counter[str]:
        """Count the events of all daemons by code."""
        logs = self.logs.values()
        return Counter(event.code for log in logs for event in log.since(0))

    def check_published(self, version: int) -> None:
        """Assert that every reader with a slot published a version.

        Published versions must also increase strictly on every daemon.
        """
        for name, reader in self.readers.items():
            published = self.distributions[name].published
            versions = [head.version for head in published]
            assert versions == sorted(set(versions))
            if reader.slot is not None:
                assert versions[-1] == version
