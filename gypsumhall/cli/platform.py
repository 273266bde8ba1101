"""Binary ``gypsumhall-platform``: a stand-in for the platform's gateway.

It prints the address that it listens on.
"""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

import trio

from gypsumhall.cli._settings import run_binary
from gypsumhall.cli._settings import Settings
from gypsumhall.standin import Platform
from gypsumhall.standin import serve_platform

if TYPE_CHECKING:
    from collections.abc import Sequence

_USAGE = """\
usage: gypsumhall-platform [flags]

Serves the part of the platform's API that gypsumhall uses. All data is in
memory and lost at exit.
"""
_NOTES = """\
Exit status: 0 after a graceful shutdown (SIGTERM or SIGINT), 1 when the
address cannot be used, 2 for invalid settings.
"""


async def _serve(address: str) -> None:
    shutdown = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            bound_address = await nursery.start(
                serve_platform, Platform(), address, shutdown
            )
            print(bound_address, flush=True)
            async for _ in signals:
                shutdown.set()
                break


def main(argv: Sequence[str] | None = None) -> int:
    """Run the stand-in until SIGTERM or SIGINT.

    Parameters
    ----------
    argv : sequence of str, optional
        Command line; by default that of the process.

    Returns
    -------
    int
        Exit status, see ``--help``.
    """
    settings = Settings('gypsumhall-platform', _USAGE, _NOTES)
    address = settings.address(
        'platform_address',
        '127.0.0.1:2379',
        '<ip>:<port> to listen on; port 0 for any free port.',
        allow_host_names=False,
    )

    def start(_names: list[str]) -> int:
        trio.run(_serve, address.value)
        return 0

    return run_binary(settings, argv, start)


if __name__ == '__main__':
    sys.exit(main())
