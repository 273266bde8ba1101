"""``gypsumhall-platform``: the stand-in of the platform as a process.

It prints the address that it listens at, and ends when it is asked to by
SIGTERM or SIGINT.
"""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

from absl import flags
import trio

from gypsumhall._errors import SettingsError
from gypsumhall.cli._environment import is_address
from gypsumhall.cli._environment import parse_flags
from gypsumhall.standin import Platform
from gypsumhall.standin import serve_platform

if TYPE_CHECKING:
    from collections.abc import Sequence


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    flags.DEFINE_string(
        'platform_address',
        '127.0.0.1:2379',
        'Address to listen at, <ip>:<port>; port 0 for any free one.',
        flag_values=values,
    )
    flags.register_validator(
        'platform_address',
        is_address,
        message='expected <ip>:<port>',
        flag_values=values,
    )
    return values


async def _serve(address: str) -> None:
    shutdown = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(
                serve_platform, Platform(), address, shutdown
            )
            print(bound, flush=True)
            async for _ in signals:
                shutdown.set()
                break


def main(argv: Sequence[str] | None = None) -> int:
    """Run the stand-in until it is asked to end.

    Parameters
    ----------
    argv : sequence of str, optional
        Command line; by default that of the process.

    Returns
    -------
    int
        Exit status: 0 after a planned stop, 1 when the address cannot be
        used, 2 for invalid settings.
    """
    values = _define_flags()
    try:
        rest = parse_flags(values, sys.argv if argv is None else argv)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    if rest:
        print(f'unexpected arguments: {" ".join(rest)}', file=sys.stderr)
        return 2
    status = 0
    try:
        trio.run(_serve, values.platform_address)
    except* OSError as group:
        reason = group.exceptions[0]
        print(
            f'cannot listen at {values.platform_address!r}: {reason}',
            file=sys.stderr,
        )
        status = 1
    return status


if __name__ == '__main__':
    sys.exit(main())
