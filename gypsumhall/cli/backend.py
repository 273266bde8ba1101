"""Binary ``gypsumhall-backend``: stand-in backend server."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from absl import app
from absl import flags
import msgspec
import trio

from gypsumhall.standin._backend import BackendServer
from gypsumhall.standin._backend import BackendSettings
from gypsumhall.standin._backend import Faults

if TYPE_CHECKING:
    from collections.abc import Sequence

_SERVICE = flags.DEFINE_string(
    'service', None, 'Service to run.', required=True
)
_VERSION = flags.DEFINE_string('service_version', 'v1', 'Service version.')
_ADDRESS = flags.DEFINE_string(
    'address', '127.0.0.1:0', '<ip>:<port> to listen on; port 0 for any.'
)
_ANNOUNCE = flags.DEFINE_string(
    'announce',
    '',
    '<ip>:<port> of the administration listener of the daemon on this VM.',
)
_SLOTS = flags.DEFINE_integer(
    'slots', 6, 'Requests executed at the same time.', lower_bound=1
)
_SERVICE_TIME_MS = flags.DEFINE_float(
    'service_time_ms', 5.0, 'Mean service time.', lower_bound=0.0
)
_COLD_START_S = flags.DEFINE_float(
    'cold_start_s', 0.0, 'Seconds until the server is ready.', lower_bound=0.0
)
_SEED = flags.DEFINE_integer('seed', 0, 'Seed of service times and faults.')
_RUN_LOG = flags.DEFINE_string(
    'run_log', '', 'File for the ids of the requests that are run.'
)
_FAULT_FLAGS = [
    flags.DEFINE_float('failure_rate', 0.0, 'Share of failed requests.'),
    flags.DEFINE_integer('failure_status', 500, 'HTTP status of failures.'),
    flags.DEFINE_float('delay_ms', 0.0, 'Additional service time.'),
    flags.DEFINE_float('crash_rate', 0.0, 'Share of reset connections.'),
    flags.DEFINE_float('break_rate', 0.0, 'Share of broken responses.'),
    flags.DEFINE_string('path', '', 'Path prefix that faults apply to.'),
    flags.DEFINE_float('after_s', 0.0, 'Seconds until faults apply.'),
    flags.DEFINE_integer('above', 0, 'Load above which faults apply.'),
    flags.DEFINE_float('load_factor', 1.0, 'Factor on the reported load.'),
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


def _main(argv: Sequence[str]) -> None:
    if len(argv) > 1:
        raise app.UsageError(f'unexpected arguments: {argv[1:]}')
    settings = BackendSettings(
        _SERVICE.value,
        _VERSION.value,
        _ADDRESS.value,
        _ANNOUNCE.value,
        _SLOTS.value,
        _SERVICE_TIME_MS.value,
        _COLD_START_S.value,
        _SEED.value,
        _RUN_LOG.value,
    )
    faults = msgspec.convert(
        {flag.name: flag.value for flag in _FAULT_FLAGS}, Faults
    )
    trio.run(_serve, BackendServer(settings, faults))


def main() -> None:
    """Run the binary."""
    app.run(_main)


if __name__ == '__main__':
    main()
