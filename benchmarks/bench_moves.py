"""Seeded trials of moves: do good versions finish, are bad ones reverted?

The real judge, sequential test and stage decisions run on random call
results. Two baselines run on the same trials: stages on a fixed timer without
a test, and a fixed limit on the failure rate of the new version.

    python -m benchmarks.bench_moves --trials=1000
"""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
import functools
import json
import math
import multiprocessing
import multiprocessing.pool
from pathlib import Path
import statistics
import time
from typing import NamedTuple

from absl import app
from absl import flags
import numpy as np

from gypsumhall.core import _judge
from gypsumhall.core import _moves
from gypsumhall.core._model import Move
from gypsumhall.core._model import MoveSpec
from gypsumhall.core._model import MoveState
from gypsumhall.net._messages import Counts
from gypsumhall.net._messages import Evidence

_TRIALS = flags.DEFINE_integer('trials', 1000, 'Trials of each kind.')
_BASELINE_TRIALS = flags.DEFINE_integer(
    'baseline_trials', 100, 'Trials of each kind under each baseline.'
)
_PROCESSES = flags.DEFINE_integer('processes', 4, 'Worker processes.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the random numbers.')
_KINDS = flags.DEFINE_list('kinds', None, 'Kinds to run; all by default.')
_OUTPUT = flags.DEFINE_string(
    'output',
    'benchmarks/results/moves.json',
    'File that the results are written to.',
)

ZONES = ('az-1', 'az-2', 'az-3')
ROUTES = ('d/a', 'd/b', 'd/c', 'd/d')
MEDIAN_MS = 20.0
SIGMA = 0.5
NORMAL = statistics.NormalDist()
# Quantiles 0.5, 0.95 and 0.99 as multiples of the median.
QUANTILES = tuple(
    math.exp(SIGMA * NORMAL.inv_cdf(level)) for level in (0.5, 0.95, 0.99)
)
FAULT_DURATION_S = 20.0
COLD_START_DURATION_S = 10.0


@dataclass(slots=True, frozen=True)
class Kind:
    """One kind of trial.

    Parameters
    ----------
    name : str
        Name in the results.
    good : bool
        Whether the move has to finish.
    rate : float
        Calls per second to the service.
    fails : float
        Failure probability of the new version while it is bad.
    slow : float
        Factor of the new version's latency while it is bad.
    after : float
        Fraction of the time to the deadline after which the new version
        turns bad.
    min_share : float
        Share of traffic from which the new version is bad, for faults that
        occur under load only.
    routes : int
        Number of routes on which the new version is bad.
    zone_fault, overload, sick_vm, cold_start, rack_fault : bool
        Faults that the new version does not cause. In a rack fault, a zone
        loses the endpoints of the old version, and those of the new version
        in it fail.
    one_zone : bool
        Whether the new version has endpoints in the first zone only.
    """

    name: str
    good: bool
    rate: float = 200.0
    fails: float = 0.0
    slow: float = 1.0
    after: float = 0.0
    min_share: float = 0.0
    routes: int = len(ROUTES)
    zone_fault: bool = False
    overload: bool = False
    sick_vm: bool = False
    cold_start: bool = False
    rack_fault: bool = False
    one_zone: bool = False


KINDS = (
    Kind('good', True),
    Kind('good at low traffic', True, rate=2.0),
    Kind('good in a zone fault', True, zone_fault=True),
    Kind('good in a cold start', True, zone_fault=True, cold_start=True),
    Kind('good in an overload', True, overload=True),
    Kind('good with a sick VM', True, sick_vm=True),
    Kind('fails at once', False, fails=1.0),
    Kind('fails at low traffic', False, fails=1.0, rate=2.0),
    Kind('fails 30 %', False, fails=0.3),
    Kind('fails 5 %', False, fails=0.05),
    Kind('fails later', False, fails=0.5, after=0.6),
    Kind('fails during soak', False, fails=0.5, after=0.83),
    Kind('fails under load', False, fails=0.3, min_share=0.5),
    Kind('fails on one route', False, fails=1.0, routes=1),
    Kind('slow', False, slow=6.0),
    Kind('slow later', False, slow=6.0, after=0.5),
    Kind('slow under load', False, slow=6.0, min_share=0.5),
    Kind('fails in a zone fault', False, fails=0.5, zone_fault=True),
    Kind('good, one zone in a fault', True, one_zone=True, zone_fault=True),
    Kind('fails, in one zone only', False, fails=0.5, one_zone=True),
    Kind(
        'fails, one zone in a fault',
        False,
        fails=0.9,
        one_zone=True,
        zone_fault=True,
    ),
    Kind('good in a rack fault', True, rack_fault=True),
    Kind('fails in a rack fault', False, fails=0.5, rack_fault=True),
    Kind('fails 2 %', False, fails=0.02),
    Kind('good, zone and overload', True, zone_fault=True, overload=True),
    Kind('good, sick VM and overload', True, sick_vm=True, overload=True),
    Kind('good, sick VM and zone', True, sick_vm=True, zone_fault=True),
    Kind(
        'fails, zone and overload',
        False,
        fails=0.5,
        zone_fault=True,
        overload=True,
    ),
)


@dataclass(slots=True)
class Result:
    """Outcome of one trial.

    `affected_calls` counts calls with a failed or late response because of
    the new version. `detection_s` is the time from the first bad call to the
    revert.
    """

    finished: bool = False
    in_time: bool = False
    calls: int = 0
    bad_calls: int = 0
    affected_calls: int = 0
    detection_s: float | None = None
    reason: str = ''


class Policy:
    """The decisions of the product; baselines override `decide`."""

    name = 'sequential test'

    def __init__(self, spec: MoveSpec) -> None:
        self.judge = _judge.Judge(spec.id, spec.to_version)

    def add(self, stage: int, interval: int, counts: list[Counts]) -> None:
        """Add the results of one interval."""
        self.judge.add(Evidence('d/m', stage, interval, tuple(counts)))
        self.judge.close(interval)

    def decide(self, move: Move, now: float) -> _moves.Decision:
        """Return the next step."""
        return _moves.decide(
            move,
            self.judge.test,
            now,
            endpoints_ready=True,
            evidence_fresh=True,
        )


class TimerPolicy(Policy):
    """Stages on a fixed timer, no test."""

    name = 'timer'

    def decide(self, move: Move, now: float) -> _moves.Decision:
        """Return the next step, without regard to the evidence."""
        empty = _judge.Judge(move.spec.id, move.spec.to_version)
        return _moves.decide(
            move, empty.test, now, endpoints_ready=True, evidence_fresh=True
        )


class LimitPolicy(TimerPolicy):
    """Reverts above 5 % failures of the new version in the last 5 s."""

    name = 'limit of 5 %'

    def __init__(self, spec: MoveSpec) -> None:
        super().__init__(spec)
        self._recent_counts: list[tuple[int, int]] = []

    def add(self, stage: int, interval: int, counts: list[Counts]) -> None:
        """Add the results of one interval."""
        super().add(stage, interval, counts)
        new = [item for item in counts if item.version == 'v2']
        calls = sum(item.calls for item in new)
        failures = sum(item.failures for item in new)
        self._recent_counts.append((calls, failures))
        del self._recent_counts[:-10]

    def decide(self, move: Move, now: float) -> _moves.Decision:
        """Return the next step."""
        calls = sum(item[0] for item in self._recent_counts)
        failures = sum(item[1] for item in self._recent_counts)
        if calls >= 5 and failures > 0.05 * calls:
            return _moves.Decision(_moves.Step.REVERT, move.stage, 0, 'limit')
        return super().decide(move, now)


class _EndpointCalls(NamedTuple):
    """Calls of the senders of one zone to one endpoint, on one route."""

    sender: int
    zone: int
    route: int
    is_new: bool
    endpoint: int
    calls: int


@dataclass(slots=True)
class CallSimulator:
    """Draws the results of the calls of one trial."""

    kind: Kind
    rng: np.random.Generator
    total_s: float
    base_failure: float = 0.0
    fault_start: float = 0.0
    old_endpoints: int = 5
    new_endpoints: int = 5
    result: Result = field(default_factory=Result)

    def __post_init__(self) -> None:
        self.base_failure = float(self.rng.choice([0.0, 1e-4, 1e-3, 1e-2]))
        self.fault_start = float(self.rng.uniform(0.1, 0.7)) * self.total_s
        if self.kind.cold_start:
            self.fault_start = 0.0
        self.new_endpoints = int(self.rng.integers(3, 7))
        self.old_endpoints = int(self.rng.integers(3, 7))

    def is_bad(self, t: float, share: float, route: int) -> bool:
        """Whether the new version is bad at time `t` on a route."""
        kind = self.kind
        return (
            not kind.good
            and t >= kind.after * self.total_s
            and share >= kind.min_share
            and route < kind.routes
        )

    def has_fault(self, t: float) -> bool:
        """Whether a fault that the new version does not cause is active."""
        return self.fault_start <= t < self.fault_start + FAULT_DURATION_S

    def draw_interval(
        self, t: float, move: Move, thresholds: dict[str, float]
    ) -> list[Counts]:
        """Draw the call results of the interval that starts at `t`."""
        rate = self.kind.rate * _judge.INTERVAL_S / len(ZONES) / len(ROUTES)
        if self.kind.overload and self.has_fault(t):
            rate *= 3
        cells = len(ZONES) * len(ROUTES)
        total = self.rng.poisson(rate, cells)
        new = self.rng.binomial(total, move.share)
        self.result.calls += int(total.sum())
        rows = []
        for cell in range(cells):
            sender, route = divmod(cell, len(ROUTES))
            old, moved = total[cell] - new[cell], new[cell]
            rows += self._split_calls(t, sender, route, False, old)
            rows += self._split_calls(t, sender, route, True, moved)
        return self._draw_counts(t, move, thresholds, rows)

    def _split_calls(
        self, t: float, sender: int, route: int, is_new: bool, calls: int
    ) -> list[_EndpointCalls]:
        """Divide the calls of the senders of a zone among endpoints."""
        number = self.new_endpoints if is_new else self.old_endpoints
        zone = sender
        if is_new and self.kind.one_zone:
            zone = 0
            local = list(range(number))
        else:
            if self.kind.rack_fault and self.has_fault(t) and not is_new:
                zone = max(zone, 1)
            local = [i for i in range(number) if i % len(ZONES) == zone]
        if len(local) == 1:
            split = [calls]
        else:
            split = self.rng.multinomial(calls, [1 / len(local)] * len(local))
        return [
            _EndpointCalls(sender, zone, route, is_new, endpoint, int(count))
            for endpoint, count in zip(local, split, strict=True)
            if count
        ]

    def _draw_counts(
        self,
        t: float,
        move: Move,
        thresholds: dict[str, float],
        rows: list[_EndpointCalls],
    ) -> list[Counts]:
        bad = [
            row.is_new and self.is_bad(t, move.share, row.route)
            for row in rows
        ]
        medians = [
            self._median_latency_ms(t, row.is_new, is_bad)
            for row, is_bad in zip(rows, bad, strict=True)
        ]
        calls = [row.calls for row in rows]
        failures = self.rng.binomial(
            calls,
            [
                self._failure_probability(t, row, is_bad)
                for row, is_bad in zip(rows, bad, strict=True)
            ],
        )
        slow = self.rng.binomial(
            calls,
            [
                _tail_probability(thresholds.get(ROUTES[row.route]), median)
                for row, median in zip(rows, medians, strict=True)
            ],
        )
        counts = []
        for index, row in enumerate(rows):
            failed, late = int(failures[index]), int(slow[index])
            if bad[index]:
                self._count_bad_calls(row.calls, failed, late, move.stage)
            if (
                row.is_new
                and self.kind.cold_start
                and t < COLD_START_DURATION_S
            ):
                # Runners do not report slow calls during a cold start.
                late = 0
            version = 'v2' if row.is_new else 'v1'
            counts.append(
                Counts(
                    ROUTES[row.route],
                    version,
                    f'{version}-{row.endpoint}',
                    ZONES[row.zone],
                    row.calls,
                    failed,
                    late,
                    tuple(medians[index] * q for q in QUANTILES),
                    ZONES[row.sender],
                )
            )
        return counts

    def _failure_probability(
        self, t: float, row: _EndpointCalls, bad: bool
    ) -> float:
        probability = self.base_failure
        if self.has_fault(t):
            if (self.kind.zone_fault or self.kind.rack_fault) and (
                row.zone == 0
            ):
                probability = 0.5
            if self.kind.overload:
                probability = max(probability, 0.3)
            if self.kind.sick_vm and row.is_new and row.endpoint == 0:
                probability = 0.8
        return max(probability, self.kind.fails) if bad else probability

    def _median_latency_ms(self, t: float, is_new: bool, bad: bool) -> float:
        """Return the median latency in milliseconds."""
        median = MEDIAN_MS
        if self.kind.overload and self.has_fault(t):
            median *= 4
        if self.kind.cold_start and is_new and t < COLD_START_DURATION_S:
            median *= 5
        return median * self.kind.slow if bad else median

    def _count_bad_calls(
        self, calls: int, failures: int, slow: int, stage: int
    ) -> None:
        self.result.bad_calls += calls
        self.result.affected_calls += slow
        # Stage 0 routes only idempotent requests to the new version; a failed
        # one is retried on the old version, so its caller sees no failure.
        if stage > 0:
            self.result.affected_calls += failures


def _tail_probability(limit: float | None, median: float) -> float:
    """Return the probability that a log-normal latency exceeds a limit."""
    if limit is None:
        return 0.0
    return 1 - NORMAL.cdf(math.log(limit / median) / SIGMA)


def run_trial(
    kind: Kind, policy_type: type[Policy], rng: np.random.Generator
) -> Result:
    """Run one move until it finishes or is reverted."""
    total_s = float(rng.choice([60.0, 120.0, 300.0]))
    spec = MoveSpec('d/m', 's', 'v1', 'v2', total_s, total_s / 12)
    simulator = CallSimulator(kind, rng, total_s)
    policy = policy_type(spec)
    move = Move(spec, MoveState.ACTIVE, 0, _moves.STAGE_SHARES[0], 0.0, 0.0)
    bad_since: float | None = None
    interval = 0
    while True:
        interval += 1
        t = (interval - 1) * _judge.INTERVAL_S
        thresholds = {
            item.route: item.threshold_ms for item in policy.judge.thresholds()
        }
        counts = simulator.draw_interval(t, move, thresholds)
        if bad_since is None and simulator.result.bad_calls:
            bad_since = t
        policy.add(move.stage, interval, counts)
        # The reports of an interval arrive one interval after its end.
        now = t + 2 * _judge.INTERVAL_S
        decision = policy.decide(move, now)
        if decision.step in (_moves.Step.FINISH, _moves.Step.REVERT):
            return _complete_result(
                simulator.result, decision, now, spec, bad_since
            )
        move = _advance(move, decision, now)


def _advance(move: Move, decision: _moves.Decision, now: float) -> Move:
    if decision.step is _moves.Step.HOLD:
        return move
    state = MoveState.ACTIVE
    if decision.step is _moves.Step.SOAK:
        state = MoveState.SOAKING
    return Move(
        move.spec, state, decision.stage, decision.share, move.started, now
    )


def _complete_result(
    result: Result,
    decision: _moves.Decision,
    now: float,
    spec: MoveSpec,
    bad_since: float | None,
) -> Result:
    result.finished = decision.step is _moves.Step.FINISH
    result.in_time = result.finished and now <= spec.deadline
    result.reason = decision.reason
    if bad_since is not None and not result.finished:
        result.detection_s = now - bad_since
    return result


def _run_seeded_trial(
    kind: Kind, policy: type[Policy], seed: int, index: int
) -> Result:
    return run_trial(kind, policy, np.random.default_rng((seed, index)))


def summarize(kind: Kind, results: list[Result]) -> dict[str, object]:
    """Summarize the trials of one kind and policy."""
    detections = [r.detection_s for r in results if r.detection_s is not None]
    shares = [r.bad_calls / max(1, r.calls) for r in results]
    return {
        'trials': len(results),
        'finished': sum(r.finished for r in results),
        'in_time': sum(r.in_time for r in results),
        'wrong': sum(r.finished != kind.good for r in results),
        'reverted_by_deadline': sum(
            r.reason == _moves.DEADLINE_REASON for r in results
        ),
        'detection_s': _summary_quantiles(detections),
        'bad_share': _summary_quantiles(shares),
        'harmed': _summary_quantiles(
            [float(r.affected_calls) for r in results]
        ),
    }


def _summary_quantiles(values: list[float]) -> list[float]:
    """Return median, 99th percentile and maximum."""
    if not values:
        return []
    quantiles = np.quantile(values, (0.5, 0.99, 1.0))
    return [round(float(value), 5) for value in quantiles]


def main(argv: list[str]) -> None:
    """Run all kinds under all policies and write the results."""
    del argv
    with multiprocessing.Pool(_PROCESSES.value) as pool:
        _run(pool)


def _run(pool: multiprocessing.pool.Pool) -> None:
    report: dict[str, object] = {'seed': _SEED.value}
    for kind in KINDS:
        if _KINDS.value and kind.name not in _KINDS.value:
            continue
        entry: dict[str, object] = {'kind': asdict(kind)}
        for policy in (Policy, TimerPolicy, LimitPolicy):
            started = time.perf_counter()
            trial = functools.partial(
                _run_seeded_trial, kind, policy, _SEED.value
            )
            trials = _TRIALS.value
            if policy is not Policy:
                trials = min(trials, _BASELINE_TRIALS.value)
            results = pool.map(trial, range(trials), chunksize=8)
            entry[policy.name] = summary = summarize(kind, results)
            print(
                f'{kind.name:27}{policy.name:16}wrong {summary["wrong"]:5} '
                f'in time {summary["in_time"]:5} '
                f'deadline {summary["reverted_by_deadline"]:4} '
                f'detect {summary["detection_s"]} '
                f'share {summary["bad_share"]} '
                f'harmed {summary["harmed"]} '
                f'({time.perf_counter() - started:.0f} s)',
                flush=True,
            )
        report[kind.name] = entry
    if _KINDS.value is None:
        path = Path(_OUTPUT.value)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(report, indent=1) + '\n')


if __name__ == '__main__':
    app.run(main)
