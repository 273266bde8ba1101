"""Binary ``gypsumhall-backend``: a stand-in for a backend server."""

from __future__ import annotations

import signal
import sys
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall.cli._settings import run_binary
from gypsumhall.cli._settings import Setting
from gypsumhall.cli._settings import Settings
from gypsumhall.standin._backend import BackendServer
from gypsumhall.standin._backend import BackendSettings
from gypsumhall.standin._backend import Faults

if TYPE_CHECKING:
    from collections.abc import Sequence

_USAGE = """\
usage: gypsumhall-backend [flags]

Executes requests of one service with a configurable service time and
injected faults, and announces itself to the daemon on its VM.
"""
_NOTES = """\
Exit status: 0 after a graceful shutdown (SIGTERM or SIGINT), 1 when the
address cannot be used, 2 for invalid settings.
"""


def _define_faults(settings: Settings) -> list[Setting[Any]]:
    def define_rate(name: str, text: str) -> Setting[float]:
        return settings.number(name, 0.0, text, highest=1.0)

    return [
        define_rate('failure_rate', 'Share of failed requests, 0 to 1.'),
        settings.integer(
            'failure_status',
            500,
            'HTTP status of failures.',
            lowest=200,
            highest=599,
        ),
        settings.number('delay_ms', 0.0, 'Additional service time in ms.'),
        define_rate('crash_rate', 'Share of reset connections, 0 to 1.'),
        define_rate('break_rate', 'Share of truncated responses, 0 to 1.'),
        settings.string('path', '', 'Path prefix that faults apply to.'),
        settings.number('after_s', 0.0, 'Seconds until faults apply.'),
        settings.integer(
            'above', 0, 'Requests in flight above which faults apply.'
        ),
        settings.number(
            'load_factor',
            1.0,
            'Factor by which the reported load is multiplied.',
        ),
    ]


async def _serve(server: BackendServer) -> None:
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            address = await nursery.start(server.run)
            print(f'listening on {address}', flush=True)
            async for _ in signals:
                await server.stop()
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
    settings = Settings('gypsumhall-backend', _USAGE, _NOTES)
    service = settings.string('service', '', 'Service to run.', required=True)
    version = settings.string('service_version', 'v1', 'Service version.')
    address = settings.address(
        'address',
        '127.0.0.1:0',
        '<ip>:<port> to listen on; port 0 for any free port.',
    )
    announce = settings.address(
        'announce',
        '',
        '<ip>:<port> of the administration listener of the daemon on this '
        'VM; empty for none.',
    )
    slots = settings.integer(
        'slots', 6, 'Requests executed concurrently.', lowest=1
    )
    service_time_ms = settings.number(
        'service_time_ms', 5.0, 'Mean service time in ms.'
    )
    cold_start_s = settings.number(
        'cold_start_s', 0.0, 'Seconds until the server is ready.'
    )
    seed = settings.integer(
        'seed', 0, 'Seed of service times and faults.', lowest=-(2**53)
    )
    run_log = settings.string(
        'run_log',
        '',
        'File to which the ids of executed requests are written.',
    )
    faults = _define_faults(settings)

    def start(_names: list[str]) -> int:
        server = BackendServer(
            BackendSettings(
                service.value,
                version.value,
                address.value,
                announce.value,
                slots.value,
                service_time_ms.value,
                cold_start_s.value,
                seed.value,
                run_log.value,
            ),
            msgspec.convert(
                {item.name: item.value for item in faults}, Faults
            ),
        )
        trio.run(_serve, server)
        return 0

    return run_binary(settings, argv, start)


if __name__ == '__main__':
    sys.exit(main())
