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

if TYPE_CHECKING:
    from collections.abc import Sequence

_MAX_PRINTED = 20


def _parse(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python -m soak',
        description='Run real daemons through faults and check promises.',
    )
    parser.add_argument('--seed', type=int, help='by default a random one')
    parser.add_argument('--seconds', type=float, default=40.0)
    parser.add_argument('--daemons', type=int, default=5)
    parser.add_argument('--faults', choices=('planned', 'all'), default='all')
    parser.add_argument(
        '--keep-logs', action='store_true', help='also of a run without faults'
    )
    return parser.parse_args(argv)


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


def main(argv: Sequence[str] | None = None) -> int:
    """Run once.

    Returns
    -------
    int
        0 if no check failed, 1 if one did, 2 if interrupted.
    """
    arguments = _parse(argv)
    seed = arguments.seed
    if seed is None:
        seed = secrets.randbelow(10**9)
    settings = Settings(
        seed,
        arguments.seconds,
        arguments.daemons,
        unplanned=arguments.faults == 'all',
    )
    directory = Path(tempfile.mkdtemp(prefix='gypsumhall-soak-'))
    soak = Soak(settings, directory)
    finished = trio.run(_run_until_signal, soak)
    checks = soak.checks
    command = (
        f'python -m soak --seed {seed} --seconds {arguments.seconds:g} '
        f'--daemons {arguments.daemons} --faults {arguments.faults}'
    )
    print(command)
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
    if not arguments.keep_logs:
        shutil.rmtree(directory)
    if not finished:
        print('interrupted')
        return 2
    print('no check failed')
    return 0


if __name__ == '__main__':
    sys.exit(main())
