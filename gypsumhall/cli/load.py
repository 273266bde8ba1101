"""Binary ``gypsumhall-load``: open-loop load over several daemons."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from absl import app
from absl import flags
import msgspec
import trio

from gypsumhall.load._load import Load
from gypsumhall.load._load import LoadSettings
from gypsumhall.load._load import RequestKind

if TYPE_CHECKING:
    from collections.abc import Sequence

_TARGETS = flags.DEFINE_list(
    'targets', None, 'Caller addresses of daemons.', required=True
)
_KINDS = flags.DEFINE_multi_string(
    'kind',
    None,
    'Kind of request as a JSON object with name, host, path, method, weight, '
    'keyed, idempotent, body_bytes and deadline_ms; repeated for each kind.',
    required=True,
)
_RATE = flags.DEFINE_float(
    'rate_per_s', 100.0, 'Mean arrivals per second.', lower_bound=0.001
)
_SECONDS = flags.DEFINE_float(
    'seconds', 10.0, 'Longest time to start requests.', lower_bound=0.0
)
_MAX_REQUESTS = flags.DEFINE_integer(
    'max_requests', 1_000_000, 'Most requests to start.', lower_bound=1
)
_MAX_IN_FLIGHT = flags.DEFINE_integer(
    'max_in_flight', 5_000, 'Most requests in flight.', lower_bound=1
)
_TIMEOUT_S = flags.DEFINE_float(
    'timeout_s', 30.0, 'Time after which a request is given up.'
)
_SEED = flags.DEFINE_integer('seed', 0, 'Seed of arrivals and kinds.')
_BASELINE = flags.DEFINE_list(
    'baseline', [], 'Addresses of backend servers to call directly as well.'
)
_BASELINE_SHARE = flags.DEFINE_float(
    'baseline_share', 0.1, 'Share of the requests for the baseline.', 0.0, 1.0
)
_CHECK_RUNS = flags.DEFINE_list(
    'check_runs', [], 'Addresses of stand-in backend servers to ask for runs.'
)
_RUN_LOGS = flags.DEFINE_list(
    'run_logs', [], 'Files in which stand-in backend servers note runs.'
)
_REPORT = flags.DEFINE_string(
    'report', '', 'File for the JSON report; empty for standard output.'
)


def _kinds(texts: Sequence[str]) -> tuple[RequestKind, ...]:
    kinds = []
    for text in texts:
        try:
            kinds.append(msgspec.json.decode(text, type=RequestKind))
        except msgspec.DecodeError as error:
            raise app.UsageError(f'--kind {text!r}: {error}') from error
    return tuple(kinds)


def _main(argv: Sequence[str]) -> int:
    if len(argv) > 1:
        raise app.UsageError(f'unexpected arguments: {argv[1:]}')
    settings = LoadSettings(
        targets=tuple(_TARGETS.value),
        kinds=_kinds(_KINDS.value),
        rate_per_s=_RATE.value,
        seconds=_SECONDS.value,
        max_requests=_MAX_REQUESTS.value,
        max_in_flight=_MAX_IN_FLIGHT.value,
        timeout_s=_TIMEOUT_S.value,
        seed=_SEED.value,
        baseline=tuple(_BASELINE.value),
        baseline_share=_BASELINE_SHARE.value,
        check_runs=tuple(_CHECK_RUNS.value),
        run_logs=tuple(_RUN_LOGS.value),
    )
    report = trio.run(Load(settings).run)
    text = json.dumps(report, indent=2)
    if _REPORT.value:
        with open(_REPORT.value, 'w') as file:
            file.write(f'{text}\n')
    else:
        print(text)
    return 1 if report['violations'] else 0


def main() -> None:
    """Run the binary; the exit status is 1 when a check failed."""
    app.run(_main)


if __name__ == '__main__':
    main()
