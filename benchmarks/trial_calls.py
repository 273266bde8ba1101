"""Simulated calls under faults with many seeds, on a virtual clock.

Run as ``python -m benchmarks.trial_calls --trials 100 --calls 1000``.
"""

from __future__ import annotations

from collections import Counter
import time
from typing import TYPE_CHECKING

from absl import app
from absl import flags
import trio
from trio.testing import MockClock

from gypsumhall.testing import call_trial

if TYPE_CHECKING:
    from collections.abc import Sequence

_TRIALS = flags.DEFINE_integer('trials', 10, 'Number of trials.')
_CALLS = flags.DEFINE_integer('calls', 1000, 'Requests per trial.')
_FIRST_SEED = flags.DEFINE_integer(
    'first_seed',
    0,
    'Seed of the first trial; later trials use the next numbers.',
)


def _main(argv: Sequence[str]) -> None:
    started = time.monotonic()
    results: Counter[str] = Counter()
    violations = 0
    for seed in range(_FIRST_SEED.value, _FIRST_SEED.value + _TRIALS.value):
        trial = trio.run(
            lambda seed=seed: call_trial.run_trial(
                seed, _CALLS.value, restarts=seed % 4
            ),
            clock=MockClock(autojump_threshold=0.0),
        )
        results += trial.results
        violations += len(trial.violation_messages)
        for text in trial.violation_messages:
            print(f'seed {seed}: {text}')
    print(f'{_TRIALS.value} trials, {results.total()} calls: {dict(results)}')
    print(f'{violations} violations, {time.monotonic() - started:.0f} s')


if __name__ == '__main__':
    app.run(_main)
