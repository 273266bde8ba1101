"""Services of one daemon for operators, with fakes of the others."""

from __future__ import annotations

from contextlib import asynccontextmanager
import random
from typing import Any
from typing import TYPE_CHECKING

import trio

from gypsumhall.kernel import Kernel
from gypsumhall.kernel import Service
from gypsumhall.services._acceptance import AcceptanceService
from gypsumhall.services._admin import AdminService
from gypsumhall.services._operator import OperatorService
from gypsumhall.testing import builders
from gypsumhall.testing import fakes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumhall.testing.memory_store import MemoryStore


async def run_inline(function: Callable[..., Any], *args: object) -> object:
    """Call a function in the event loop instead of a thread.

    With a thread, the mock clock would advance while the function runs.
    """
    return function(*args)


class ControlPlane:
    """Services of one daemon that accept configuration from operators.

    Parameters
    ----------
    store : MemoryStore
        Store of the platform; several daemons may share it.
    wall_clock : callable
        Returns the Unix time in seconds.
    address : str
        Admin address; empty for no listener.
    seed : int
        Seed of the jitter; also identifies the daemon as an origin.
    """

    def __init__(
        self,
        store: MemoryStore,
        wall_clock: Callable[[], float],
        address: str = '',
        seed: int = 0,
    ) -> None:
        self.events = fakes.FakeEvents()
        self.metrics = fakes.FakeMetrics()
        self.distribution = fakes.FakeDistribution()
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
            self.kernel.register(fakes.FakeMembership(me))
            self.kernel.register(OperatorService())

    @asynccontextmanager
    async def running(self) -> AsyncIterator[ControlPlane]:
        """Run the services while the context is active."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.kernel.run)
            yield self
            nursery.cancel_scope.cancel()
