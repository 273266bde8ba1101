"""Tests of tenants that share an endpoint with too little capacity."""

from __future__ import annotations

from collections import Counter
import dataclasses
from typing import TYPE_CHECKING

import trio

from gypsumhall.testing import call_trial
from gypsumhall.testing.call_trial import CallTrial

if TYPE_CHECKING:
    from trio.testing import MockClock

    from gypsumhall.services import _calls

_PLACES = 12  # 4 slots and 2 queued calls for each.


async def test_endpoint_that_is_full_for_a_tenant_serves_others(
    autojump_clock: MockClock,
) -> None:
    """The sender took it for full, and rejected the other tenants too.

    Without any memory, it asked the endpoint again for each request of the
    tenant that had been rejected.
    """
    async with trio.open_nursery() as nursery:
        trial = CallTrial(nursery, 1, daemons=2)
        await trial.start()
        await trio.sleep(20.0)
        trial.backend.hanging_addresses.add('backend-0')

        def request(name: str, tenant: str) -> _calls.Request:
            return dataclasses.replace(
                trial.request(name, timeout_s=30.0), tenant=tenant, priority=2
            )

        nursery.start_soon(trial.call, 1, request('first', 'other'))
        for index in range(_PLACES - 1):
            nursery.start_soon(trial.call, 1, request(f'h{index}', 'hot'))
        await trio.sleep(0.1)
        assert await trial.call(1, request('h-more', 'hot')) == 'not-run'
        trial.hub.sizes = Counter()
        assert await trial.call(1, request('h-late', 'hot')) == 'not-run'
        assert not trial.hub.sizes['CallStart']
        rejected = trial.results['not-run']
        nursery.start_soon(trial.call, 1, request('second', 'other'))
        await trio.sleep(0.1)
        assert trial.hub.sizes['CallStart']
        # It has displaced a call of the other tenant.
        assert trial.results['not-run'] == rejected + 1
        assert trial.daemons[0].runner.load.queued == _PLACES - 4
        call_trial.raise_on_violations(trial)
        nursery.cancel_scope.cancel()
