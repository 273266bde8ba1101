"""Binary ``gypsumhall-load``: an open-loop load generator."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall._decode import decode
from gypsumhall._errors import MalformedDataError
from gypsumhall.cli._settings import run_binary
from gypsumhall.cli._settings import Settings
from gypsumhall.load._load import Load
from gypsumhall.load._load import LoadSettings
from gypsumhall.load._load import RequestKind

if TYPE_CHECKING:
    from collections.abc import Sequence

_USAGE = """\
usage: gypsumhall-load [flags]

Sends requests to several daemons at random times, regardless of the outcome
of earlier ones, and checks that each response belongs to its request.
"""
_NOTES = """\
Exit status: 0 when all checks pass, 1 when the report has violations or
cannot be written, 2 for invalid settings.
"""

_KIND_DECODER = msgspec.json.Decoder(RequestKind)


def _parse_kind(text: str) -> RequestKind:
    try:
        return decode(_KIND_DECODER.decode, text.encode(), 'kind')
    except MalformedDataError as error:
        raise ValueError(str(error))


def main(argv: Sequence[str] | None = None) -> int:
    """Generate the load and output the report.

    Parameters
    ----------
    argv : sequence of str, optional
        Command line; by default that of the process.

    Returns
    -------
    int
        Exit status, see ``--help``.
    """
    settings = Settings('gypsumhall-load', _USAGE, _NOTES)
    targets = settings.addresses(
        'targets', (), 'Caller addresses of daemons.', required=True
    )
    kinds = settings.repeated(
        'kind',
        'Kind of request as a JSON object with name, host, path, method, '
        'weight, keyed, idempotent, body_bytes and deadline_ms; repeat the '
        'flag for further kinds; the variable contains one per line.',
        _parse_kind,
        required=True,
    )
    rate = settings.number(
        'rate_per_s', 100.0, 'Mean arrivals per second.', lowest=0.001
    )
    seconds = settings.number(
        'seconds', 10.0, 'Seconds during which requests are started.'
    )
    max_requests = settings.integer(
        'max_requests',
        1_000_000,
        'Maximum number of requests to start.',
        lowest=1,
    )
    max_in_flight = settings.integer(
        'max_in_flight',
        5_000,
        'Maximum number of requests in flight.',
        lowest=1,
    )
    timeout = settings.number(
        'timeout_s', 30.0, 'Seconds after which a request times out.'
    )
    seed = settings.integer(
        'seed', 0, 'Seed of arrival times, kinds and targets.', lowest=-(2**53)
    )
    baseline = settings.addresses(
        'baseline', (), 'Addresses of backend servers to call directly.'
    )
    baseline_share = settings.number(
        'baseline_share',
        0.1,
        'Share of the requests sent to the baseline, 0 to 1.',
        highest=1.0,
    )
    check_runs = settings.addresses(
        'check_runs',
        (),
        'Addresses of stand-in backend servers from which the number of runs '
        'of each request is fetched.',
    )
    run_logs = settings.items(
        'run_logs',
        (),
        'Files in which stand-in backend servers record runs.',
        str,
    )
    report = settings.string(
        'report', '', 'File for the JSON report; standard output if empty.'
    )

    def start(_names: list[str]) -> int:
        load = Load(
            LoadSettings(
                targets=targets.value,
                kinds=kinds.value,
                rate_per_s=rate.value,
                seconds=seconds.value,
                max_requests=max_requests.value,
                max_in_flight=max_in_flight.value,
                timeout_s=timeout.value,
                seed=seed.value,
                baseline=baseline.value,
                baseline_share=baseline_share.value,
                check_runs=check_runs.value,
                run_logs=run_logs.value,
            )
        )
        result = trio.run(load.run)
        text = json.dumps(result, indent=2)
        if report.value:
            pathlib.Path(report.value).write_text(f'{text}\n')
        else:
            print(text)
        return 1 if result['violations'] else 0

    return run_binary(settings, argv, start)


if __name__ == '__main__':
    sys.exit(main())
