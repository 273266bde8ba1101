"""Command ``python -m soak``."""

from __future__ import annotations

import argparse
from pathlib import Path
import secrets
import shutil
import signal
import sys
import tempfile
from typing import TYPE_CHECKING

import trio

from soak._run import Settings
from soak._run import Soak
from soak._seeds import REGRESSIONS

if TYPE_CHECKING:
    from collections.abc import Sequence

_MAX_PRINTED = 20


def _parse(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python -m soak',
        description='Run real daemons through faults and check promises.',
    )
    parser.add_argument('--seed', type=int, help='by default a random one')
    parser.add_argument('--seconds', type=float, default=45.0)
    parser.add_argument('--daemons', type=int, default=5)
    parser.add_argument('--faults', choices=('planned', 'all'), default='all')
    parser.add_argument(
        '--runs', type=int, default=1, help='runs with consecutive seeds'
    )
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='repeat the runs that have failed once',
    )
    parser.add_argument(
        '--keep-logs', action='store_true', help='also of a run that passed'
    )
    return parser.parse_args(argv)


def _choose_runs(arguments: argparse.Namespace) -> Sequence[Settings]:
    if arguments.regressions:
        return REGRESSIONS
    seed = arguments.seed
    if seed is None:
        seed = secrets.randbelow(10**9)
    return [
        Settings(
            seed + number,
            arguments.seconds,
            arguments.daemons,
            unplanned=arguments.faults == 'all',
        )
        for number in range(arguments.runs)
    ]


async def _run_until_signal(soak: Soak) -> bool:
    """Return whether the run was not interrupted."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with trio.open_nursery() as nursery:

            async def stop_on_signal() -> None:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(stop_on_signal)
            await soak.run()
            nursery.cancel_scope.cancel()
            return True
    return False


def _run_once(settings: Settings, *, keep_logs: bool) -> int:
    """Run once and return the exit status."""
    directory = Path(tempfile.mkdtemp(prefix='gypsumhall-soak-'))
    soak = Soak(settings, directory)
    finished = trio.run(_run_until_signal, soak)
    checks = soak.checks
    print(settings.command)
    print(f'requests: {len(checks.records)}')
    for line in checks.lines():
        print(line)
    print(f'longest delay of the soak: {soak.starvation.longest_lag():.3f} s')
    if checks.violations:
        print(f'{len(checks.violations)} violations, logs in {directory}:')
        for line in checks.violations[:_MAX_PRINTED]:
            print(f'  {line}')
        (directory / 'violations').write_text('\n'.join(checks.violations))
        return 1
    if not keep_logs:
        shutil.rmtree(directory)
    print('no check failed' if finished else 'interrupted', flush=True)
    return 0 if finished else 2


def main(argv: Sequence[str] | None = None) -> int:
    """Run once or several times.

    Returns
    -------
    int
        0 if no check failed, 1 if one did, 2 if interrupted.
    """
    arguments = _parse(argv)
    worst = 0
    for settings in _choose_runs(arguments):
        status = _run_once(settings, keep_logs=arguments.keep_logs)
        worst = max(worst, status)
        if status == 2:
            break
    return worst


if __name__ == '__main__':
    sys.exit(main())
