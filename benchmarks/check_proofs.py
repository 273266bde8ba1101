"""Disables one mechanism at a time and checks that its tests fail.

Each mutation is applied to a temporary copy of the package and the tests.
Tests that still pass without the mechanism don't cover it.

    python -m benchmarks.check_proofs
"""

from __future__ import annotations

import concurrent.futures
from dataclasses import asdict
from dataclasses import dataclass
import json
from pathlib import Path
import shutil
import subprocess
import sys
import tempfile

from absl import app
from absl import flags

_PROCESSES = flags.DEFINE_integer(
    'processes', 3, 'Mutations to check concurrently.'
)
_GUARANTEES = flags.DEFINE_list(
    'guarantees', None, 'Numbers of the invariants to check; all by default.'
)
_OUTPUT = flags.DEFINE_string(
    'output',
    'benchmarks/results/proofs.json',
    'File that the results are written to.',
)

ROOT = Path(__file__).parents[1]

# `tests/conftest.py` reads KNOWN-RED.txt.
_COPIED_PARTS = (
    'gypsumhall',
    'tests',
    'examples',
    'pyproject.toml',
    'KNOWN-RED.txt',
)


@dataclass(slots=True, frozen=True)
class Mutation:
    """A change of the source that disables one mechanism.

    Parameters
    ----------
    guarantee : int
        Number of the invariant in docs/design.md.
    mechanism : str
        Description of the mechanism.
    file : str
        Path relative to the package.
    old, new : str
        Text to replace, which has to occur exactly once, and the
        replacement.
    tests : str
        Arguments of pytest.
    """

    guarantee: int
    mechanism: str
    file: str
    old: str
    new: str
    tests: str


MUTATIONS = (
    Mutation(
        1,
        'an update with a lower version is ignored',
        'core/_replica.py',
        '        if version < self.version:\n            return []',
        '        if False:\n            return []',
        'tests/test_core_replica.py',
    ),
    Mutation(
        1,
        'only ready daemons count for the version floor',
        'services/_distribution.py',
        'known = _count_ready(replies) >= MIN_FLOOR_REPLIES',
        'known = len(replies) >= MIN_FLOOR_REPLIES',
        'tests/test_services_distribution.py',
    ),
    Mutation(
        2,
        'routes are checked for the existence of their services',
        'core/_snapshot.py',
        '            for name in (route.service, *target_names):\n'
        '                if name not in services:',
        '            for name in (route.service, *target_names):\n'
        '                if False:',
        'tests/test_core_snapshot.py tests/test_core_replica.py',
    ),
    Mutation(
        3,
        'a failed check leaves the installed snapshot alone',
        'core/_replica.py',
        '        if (version, update.digest) in self._rejected_versions:\n'
        '            return []\n        base = None',
        '        self._snapshot = Snapshot(update.head, {})\n'
        '        base = None',
        'tests/test_core_replica.py',
    ),
    Mutation(
        4,
        'the verdict of the sequential test',
        'core/_evidence.py',
        'VERDICT_LOG = math.log(1e9 * len(ODDS_RATIOS))',
        'VERDICT_LOG = math.inf',
        'tests/test_core_evidence.py tests/test_core_moves.py',
    ),
    Mutation(
        5,
        'responses are matched by request id',
        'services/_attempts.py',
        'if message.request_id == self._request_id and not self.started:\n'
        '                await self._head(message)',
        'if not self.started:\n                await self._head(message)',
        'tests/test_services_attempts.py',
    ),
    Mutation(
        6,
        'a request id that was answered as not run is refused for good',
        'core/_ledger.py',
        '            entry.state = EntryState.REFUSED\n',
        '            del self._entries[request_id]\n'
        '            return Entry(EntryState.REFUSED)\n',
        'tests/test_core_calls.py',
    ),
    Mutation(
        7,
        'the execution ledger knows repeated request ids',
        'core/_ledger.py',
        '        if entry is not None:\n            return entry\n',
        '',
        'tests/test_core_calls.py',
    ),
    Mutation(
        8,
        'the runner refuses new work while draining',
        'services/_runner.py',
        "raise _calls.not_run('no-backend', 'no backend server here')\n",
        "raise _calls.not_run('no-backend', 'no backend server here')\n"
        '        return backend\n',
        'tests/test_services_sender.py tests/test_services_caller.py',
    ),
    Mutation(
        9,
        'a planned stop drains the services',
        '_kernel.py',
        'await self._services[pending[-1]].drain()',
        'pass',
        'tests/test_kernel.py tests/test_services_caller.py',
    ),
    Mutation(
        10,
        'the head is swapped only from the revision that was read',
        'services/_acceptance.py',
        '                [Compare(_keys.HEAD, revision)], writes\n',
        '                [], writes\n',
        'tests/test_services_acceptance.py',
    ),
)


@dataclass(slots=True, frozen=True)
class Outcome:
    """Test result without the mechanism.

    The fields are written to the file of results.
    """

    guarantee: int
    mechanism: str
    tests: str
    detected: bool
    failed: tuple[str, ...]


def quotes_source(mutation: Mutation) -> bool:
    """Return whether the replaced text occurs once in its file."""
    path = ROOT / 'gypsumhall' / mutation.file
    return path.read_text().count(mutation.old) == 1


def check(mutation: Mutation) -> Outcome:
    """Run the tests of a mutation on a temporary copy."""
    with tempfile.TemporaryDirectory() as name:
        scratch = Path(name)
        for part in _COPIED_PARTS:
            source = ROOT / part
            if source.is_dir():
                shutil.copytree(source, scratch / part)
            else:
                shutil.copy(source, scratch / part)
        path = scratch / 'gypsumhall' / mutation.file
        text = path.read_text()
        if text.count(mutation.old) != 1:
            raise ValueError(
                f'{mutation.file} contains {mutation.old!r} '
                f'{text.count(mutation.old)} times, expected once'
            )
        path.write_text(text.replace(mutation.old, mutation.new))
        result = subprocess.run(
            [
                sys.executable,
                '-m',
                'pytest',
                '-x',
                *mutation.tests.split(),
            ],
            cwd=scratch,
            capture_output=True,
            text=True,
            timeout=900,
            check=False,
        )
    failed = tuple(
        line.split(' ')[1]
        for line in result.stdout.splitlines()
        if line.startswith('FAILED ')
    )
    return Outcome(
        mutation.guarantee,
        mutation.mechanism,
        mutation.tests,
        result.returncode == 1 and bool(failed),
        failed,
    )


def main(argv: list[str]) -> None:
    """Check the mutations; exit with status 1 if the tests miss one."""
    del argv
    chosen = [
        item
        for item in MUTATIONS
        if not _GUARANTEES.value or str(item.guarantee) in _GUARANTEES.value
    ]
    with concurrent.futures.ThreadPoolExecutor(_PROCESSES.value) as pool:
        outcomes = list(pool.map(check, chosen))
    for outcome in outcomes:
        verdict = 'detected' if outcome.detected else 'NOT DETECTED'
        print(f'{outcome.guarantee:3} {outcome.mechanism}: {verdict}')
        for name in outcome.failed:
            print(f'      {name}')
    if not _GUARANTEES.value:
        path = ROOT / _OUTPUT.value
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(
            json.dumps([asdict(item) for item in outcomes], indent=1) + '\n'
        )
    if not all(item.detected for item in outcomes):
        sys.exit(1)


if __name__ == '__main__':
    app.run(main)
