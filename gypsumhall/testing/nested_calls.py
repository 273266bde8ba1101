"""Arrivals at one VM whose backend server makes calls, for tests."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from gypsumhall.core._nested_calls import NestedCallDetector

if TYPE_CHECKING:
    from random import Random

    Shares = dict[str, float]

_WORK_S = 0.15
_REQUESTS = 2000


class Kind:
    """Kind of request.

    Parameters
    ----------
    route : str
        Route.
    timeout_s : float
        Time limit in seconds that callers state.
    """

    __slots__ = ('route', 'timeout_s')

    def __init__(self, route: str, timeout_s: float) -> None:
        self.route = route
        self.timeout_s = timeout_s


class Deployment:
    """Kinds of requests on a VM.

    Parameters
    ----------
    runs : Kind
        Requests that the backend server runs; each makes a call halfway.
    nested_timeout_s : float
        Time limit in seconds of these calls; they expire with their run.
    """

    __slots__ = ('callers', 'nested_timeout_s', 'runs')

    def __init__(self, runs: Kind, nested_timeout_s: float) -> None:
        self.runs = runs
        self.nested_timeout_s = nested_timeout_s
        # Further requests of callers on the VM, run on other VMs.
        self.callers: Kind | None = None


def replay(deployment: Deployment, utilization: float, rng: Random) -> Shares:
    """Return the share of the requests of each route treated as nested.

    Parameters
    ----------
    deployment : Deployment
        Kinds of requests.
    utilization : float
        Mean number of runs in progress.
    rng : Random
        Random source of the arrivals.
    """
    detector = NestedCallDetector(0.0)
    events: list[tuple[float, int, str, float]] = []
    time = 0.0
    for index in range(_REQUESTS):
        time += rng.expovariate(utilization / _WORK_S)
        work_s = _WORK_S * rng.uniform(0.5, 1.5)
        deadline = time + deployment.runs.timeout_s
        events.append((time, index, 'begin', deadline))
        events.append((time + work_s / 2, index, 'nested', deadline))
        events.append((time + work_s, index, 'end', deadline))
        # The callers of this VM send as many requests, at other times.
        caller_time = time + rng.expovariate(utilization / _WORK_S)
        events.append((caller_time, index, 'caller', 0.0))
    heapq.heapify(events)
    counts: dict[str, list[bool]] = {}
    while events:
        now, index, what, deadline = heapq.heappop(events)
        if what == 'begin':
            detector.begin_run(index, deployment.runs.route, deadline)
        elif what == 'end':
            detector.end_run(index, now, aborted=False)
        elif what == 'nested':
            deadline = min(deadline, now + deployment.nested_timeout_s)
            counts.setdefault('nested', []).append(
                detector.is_nested('nested', deadline, now)
            )
        else:
            for sent in filter(None, [deployment.runs, deployment.callers]):
                counts.setdefault(sent.route, []).append(
                    detector.is_nested(sent.route, now + sent.timeout_s, now)
                )
    return {route: sum(seen) / len(seen) for route, seen in counts.items()}
