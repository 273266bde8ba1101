"""Tests of backend servers that reject requests which they could run."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from gypsumhall.services import _calls
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.call_trial import CollectingSink
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallPathDaemon
from gypsumhall.testing.daemons import MemoryBackend
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from trio.testing import MockClock

_DIALECT = _calls.Dialect(
    request_id=b'x-request', not_executed=b'x-not-executed'
)
_ENDPOINTS = 6
_REQUESTS = 400
_INTERVAL_S = 0.05


async def test_backend_servers_that_shed_everything_are_avoided(
    autojump_clock: MockClock,
) -> None:
    """They respond at once and seem to be idle.

    Seen in a play: half of the servers rejected all requests, and a quarter
    of the requests were refused although the others had room.
    """
    backend = MemoryBackend(Random(1))
    backend.mean_service_time_s = 0.15
    async with trio.open_nursery() as hub_nursery:
        hub, table = MemoryHub(hub_nursery), fakes.FakeTable()
        daemons = []
        for index in range(_ENDPOINTS + 1):
            daemon = CallPathDaemon(
                builders.build_member(index),
                table,
                lambda info: MemoryNetwork(hub, info),
                build_snapshot(),
                connect=backend.client,
                seed=index,
                dialect=_DIALECT,
            )
            await hub_nursery.start(daemon.run)
            daemons.append(daemon)
        addresses = [f'127.0.0.1:{index}' for index in range(_ENDPOINTS)]
        for daemon, address in zip(daemons, addresses, strict=False):
            daemon.set_backend(address)
        backend.shedding_addresses.update(addresses[: _ENDPOINTS // 2])
        refused = 0

        async def call(number: int) -> None:
            nonlocal refused
            now = trio.current_time()
            headers = ((b'x-request', b'r%d' % number),)
            request = _calls.Request(
                'availability',
                'spa/search',
                'GET',
                '/search',
                headers,
                b'',
                now + 2.0,
                True,
                objective=now + 0.5,
                attempts=2,
            )
            try:
                await daemons[-1].runner.sender.send(request, CollectingSink())
            except _calls.CallRefusedError:
                refused += 1

        async with trio.open_nursery() as nursery:
            for number in range(_REQUESTS):
                nursery.start_soon(call, number)
                await trio.sleep(_INTERVAL_S)
        assert backend.shed_requests < 0.15 * _REQUESTS
        assert refused < 0.02 * _REQUESTS
        hub_nursery.cancel_scope.cancel()
