"""Load pattern of hedged requests over a network in memory.

A few runs take 5 to 7 times the usual time, and endpoints are slow for less
than a second at a time.
"""

from __future__ import annotations

import contextlib
import dataclasses
from random import Random
from typing import TYPE_CHECKING

import trio

from gypsumhall.core._hedge_policy import HedgePolicy
from gypsumhall.core._hedge_policy import HedgeSettings
from gypsumhall.testing import call_trial
from gypsumhall.testing.call_trial import CallTrial
from gypsumhall.testing.daemons import MemoryBackend

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumhall.services import _backend_client
    from gypsumhall.services import _calls

USUAL_TIME_S = 0.1
OBJECTIVE_S = 0.418
TIMEOUT_S = 2.612
SLOTS = 4
REDRAW_S = 0.6
SLOW_FACTOR = 2.5
RESULTS = ('won', 'lost', 'failed', 'rejected')


class SlowRunsBackend(MemoryBackend):
    """Backend servers of which a few runs are slow.

    Parameters
    ----------
    seed : int
        Seed of the service times.
    slow_runs : float
        Share of the runs that take 5 to 7 times the usual time.
    slow_share : float
        Share of the time in which an endpoint is slower by `SLOW_FACTOR`.
    """

    def __init__(
        self, seed: int, slow_runs: float = 0.02, slow_share: float = 0.05
    ) -> None:
        super().__init__(Random(seed))
        self._seed = seed
        self._slow_runs = slow_runs
        self._slow_share = slow_share
        # Time in seconds in which requests ran, cancelled ones included.
        self.busy_s = 0.0
        self.running = 0
        # Times in seconds of the next runs, which are then not random.
        self.next_times_s: list[float] = []
        # Address of the latest run.
        self.last_address = ''
        self._request_ids: dict[trio.lowlevel.Task, str] = {}

    @contextlib.asynccontextmanager
    async def request(
        self,
        address: str,
        headers: _calls.Headers,
        on_send: Callable[[], None],
    ) -> AsyncIterator[_backend_client.BackendResponse]:
        """Run a request and record how long it ran."""
        started = trio.current_time()
        task = trio.lowlevel.current_task()
        self._request_ids[task] = dict(headers)[b'x-request'].decode()
        self.running += 1
        try:
            async with super().request(address, headers, on_send) as response:
                yield response
        finally:
            del self._request_ids[task]
            self.running -= 1
            self.busy_s += trio.current_time() - started

    def _service_time_s(self, address: str) -> float:
        self.last_address = address
        if self.next_times_s:
            return self.next_times_s.pop(0)
        if self.constant_service_time:
            return super()._service_time_s(address)
        # The same run has the same time in each trial with this seed.
        request_id = self._request_ids[trio.lowlevel.current_task()]
        rng = Random(f'{self._seed} {request_id} {self.runs[request_id]}')
        time_s = USUAL_TIME_S * rng.uniform(0.7, 1.3)
        if rng.random() < self._slow_runs:
            time_s *= rng.uniform(5.0, 7.0)
        period = int(trio.current_time() / REDRAW_S)
        draw = Random(f'{self._seed} {address} {period}').random()
        return time_s * SLOW_FACTOR if draw < self._slow_share else time_s

    async def _body(
        self, address: str, body: bytes
    ) -> AsyncGenerator[bytes, None]:
        yield body


class Result:
    """Measured result of a load.

    Parameters
    ----------
    times_s : list of float
        Times in seconds until the responses.
    refused : int
        Requests without a response.
    busy_s : float
        Time in seconds in which requests ran, cancelled ones included.
    runs : int
        Runs of all requests.
    hedges : dict of str to float
        Hedges by result, as in the metric.
    """

    __slots__ = ('busy_s', 'hedges', 'refused', 'runs', 'times_s')

    def __init__(self) -> None:
        self.times_s: list[float] = []
        self.refused = 0
        self.busy_s = 0.0
        self.runs = 0
        self.hedges: dict[str, float] = {}

    def percentile_s(self, share: float) -> float:
        """Return a percentile of the response times in seconds."""
        return sorted(self.times_s)[int(share * len(self.times_s))]

    def describe(self, name: str) -> str:
        """Return the figures as one line."""
        values = ', '.join(
            f'{share * 100:g}th {self.percentile_s(share) * 1000:.0f} ms'
            for share in (0.5, 0.95, 0.99, 0.999)
        )
        return (
            f'{name}: {len(self.times_s)} responses, {self.refused} refused, '
            f'{values}; {self.busy_s:.1f} s of work in {self.runs} runs; '
            f'hedges {self.hedges}'
        )


def hedges(trial: CallTrial) -> dict[str, float]:
    """Return the hedges of all senders by result."""
    totals: dict[str, float] = {}
    for daemon in trial.daemons:
        metric = daemon.metrics.by_name['gypsumhall_sender_hedges_total']
        for (label,), value in metric.values.items():
            totals[label[1]] = totals.get(label[1], 0.0) + value
    return totals


def set_policy(trial: CallTrial, settings: HedgeSettings) -> None:
    """Turn hedging on at all daemons if the share is above 0."""
    if settings.share:
        for daemon in trial.daemons:
            daemon.runner.sender.set_hedge_policy(HedgePolicy(settings))


def build_request(
    trial: CallTrial, request_id: str, method: str = 'GET'
) -> _calls.Request:
    """Return a request with the latency objective of the load."""
    return dataclasses.replace(
        trial.request(request_id, method=method, timeout_s=TIMEOUT_S),
        objective=trio.current_time() + OBJECTIVE_S,
    )


async def run_load(
    settings: HedgeSettings,
    *,
    utilisation: float,
    seed: int = 1,
    calls: int = 3000,
    warm_up_calls: int = 600,
    slow_runs: float = 0.02,
    slow_share: float = 0.05,
    daemons: int = 9,
) -> Result:
    """Send requests through all daemons at a mean rate.

    Parameters
    ----------
    settings : HedgeSettings
        Limits of hedges.
    utilisation : float
        Work that arrives, as a fraction of the capacity.
    seed : int
        Seed of the load and of the daemons.
    calls, warm_up_calls : int
        Requests, and those before them that are not counted.
    slow_runs, slow_share : float
        As for `SlowRunsBackend`.
    daemons : int
        Daemons; all but the last have an endpoint.
    """
    call_trial.seed_scheduler(seed)
    result = Result()
    rng = Random(seed)
    async with trio.open_nursery() as nursery:
        trial = CallTrial(nursery, seed, daemons=daemons)
        backend = SlowRunsBackend(seed, slow_runs, slow_share)
        trial.backend = backend
        await trial.start()
        await trio.sleep(20.0)
        set_policy(trial, settings)
        mean_s = USUAL_TIME_S * (1.0 + 5.0 * slow_runs)
        mean_s *= 1.0 + (SLOW_FACTOR - 1.0) * slow_share
        rate_per_s = utilisation * (daemons - 1) * SLOTS / mean_s

        async def send(number: int, sender: int) -> None:
            started = trio.current_time()
            request = build_request(trial, f'r{number}')
            outcome = await trial.call(sender, request)
            if number < warm_up_calls:
                return
            if outcome == 'response':
                result.times_s.append(trio.current_time() - started)
            else:
                result.refused += 1

        before: dict[str, float] = {}
        async with trio.open_nursery() as senders:
            for number in range(warm_up_calls + calls):
                if number == warm_up_calls:
                    backend.busy_s = 0.0
                    result.runs = -sum(backend.runs.values())
                    before = hedges(trial)
                senders.start_soon(send, number, rng.randrange(daemons))
                await trio.sleep(rng.expovariate(rate_per_s))
        await trio.sleep(1.0)
        result.busy_s = backend.busy_s
        result.runs += sum(backend.runs.values())
        result.hedges = {
            name: value - before.get(name, 0.0)
            for name, value in sorted(hedges(trial).items())
        }
        assert not backend.running
        call_trial.raise_on_violations(trial)
        nursery.cancel_scope.cancel()
    return result
