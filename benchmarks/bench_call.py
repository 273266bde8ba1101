"""Latency and CPU time that the daemons add to a call.

Starts real daemons in two zones: a caller's daemon without a backend server,
and a daemon beside a stand-in backend server. An open-loop load sends half of
its requests to the backend server directly, as a baseline under the same
machine load. The other half goes to the caller's daemon first, so that each
call passes two daemons (``remote``), and in a second load to the daemon beside
the backend server (``local``). The round trip of two small messages with a
daemon is measured for comparison.
Run as ``python -m benchmarks.bench_call``.
"""

from __future__ import annotations

import json
import os
from random import Random
import time
from typing import Any
from typing import TYPE_CHECKING

from absl import app
from absl import flags
from hdrh.histogram import HdrHistogram
import trio

from gypsumhall.net._messages import FloorRequest
from gypsumhall.net._network import Network
from gypsumhall.net._network import PeerSettings
from gypsumhall.testing.processes import open_fleet
from gypsumhall.testing.processes import SHARED_KEY

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumhall.testing.processes import Fleet
    from gypsumhall.testing.processes import Vm

_RATE = flags.DEFINE_float('rate_per_s', 100.0, 'Arrivals per second.')
_SECONDS = flags.DEFINE_float('seconds', 20.0, 'Duration of each load.')
_ROUNDS = flags.DEFINE_integer('rounds', 1, 'Repetitions of both loads.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the load.')

_ZONES = ('az-1', 'az-2')
_SLOTS = 64
_IDLE_S = 4.0
_ROUND_TRIPS = 1000
_TEXT = """\
department: spa
services:
  availability: {versions: [v1]}
routes:
  search: {host: spa.example, path: /search, service: availability}
"""
_REQUEST_KIND = {'name': 'search', 'host': 'spa.example', 'path': '/search/1'}


def _cpu_s(pid: int) -> float:
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


async def _start_daemons(fleet: Fleet) -> tuple[Vm, Vm]:
    caller = fleet.add_vm('caller', 'az-1')
    runner = fleet.add_vm('runner', 'az-2', 'availability', 'v1')
    for vm in (caller, runner):
        await fleet.start_daemon(vm)
    for vm in (caller, runner):
        await fleet.wait_listening(vm.admin_address, vm.name)
    await fleet.start_backend(
        runner, {'slots': str(_SLOTS), 'service_time_ms': '0'}
    )
    path = fleet.directory / 'text.yaml'
    path.write_text(_TEXT)
    result = await fleet.run_binary(
        'gypsumhall.cli.operator',
        [f'--daemons={caller.admin_address}', 'submit', str(path)],
        {'GYPSUMHALL_TOKEN': 'benchmark-token'},
    )
    if result.returncode:
        raise app.UsageError(
            f'submission of the text failed: {result.stderr.decode()}'
        )
    for vm in (caller, runner):
        while True:
            status = await fleet.status(vm)
            if status['version'] and status['members']['ready_endpoints']:
                break
            await trio.sleep(0.1)
    return caller, runner


async def _measure_idle_cpu(
    fleet: Fleet, names: Sequence[str]
) -> dict[str, float]:
    """Return the CPU time of idle daemons, in seconds per second."""
    before = {name: _cpu_s(fleet.pid(name)) for name in names}
    await trio.sleep(_IDLE_S)
    return {
        name: (_cpu_s(fleet.pid(name)) - before[name]) / _IDLE_S
        for name in names
    }


async def _measure(
    fleet: Fleet, target: Vm, runner: Vm, idle: dict[str, float]
) -> dict[str, Any]:
    before = {name: _cpu_s(fleet.pid(name)) for name in idle}
    result = await fleet.run_binary(
        'gypsumhall.cli.load',
        [
            f'--targets={target.caller_address}',
            f'--kind={json.dumps(_REQUEST_KIND)}',
            f'--rate_per_s={_RATE.value}',
            f'--seconds={_SECONDS.value}',
            f'--seed={_SEED.value}',
            f'--baseline={runner.backend_address}',
            '--baseline_share=0.5',
        ],
    )
    if not result.stdout:
        raise app.UsageError(
            f'load generator printed no report: {result.stderr.decode()}'
        )
    report = json.loads(result.stdout)
    calls = report['latency_ms']['calls']['count']
    cpu = {
        name: _cpu_s(fleet.pid(name))
        - before[name]
        - idle[name] * report['elapsed_s']
        for name in idle
    }
    return {
        'results': report['results'],
        'latency_ms': report['latency_ms'],
        'added_ms': report['added_ms'],
        'cpu_ms_per_call': {
            name: round(value * 1000 / calls, 3) for name, value in cpu.items()
        },
        'load_average': round(os.getloadavg()[0], 1),
    }


async def _measure_round_trip(fleet: Fleet, runner: Vm) -> dict[str, float]:
    """Return percentiles of a request and its reply, in milliseconds."""
    ip = runner.ip.rpartition('.')[0] + '.250'
    settings = PeerSettings(
        'benchmark', 'az-1', 1, f'{ip}:0', (SHARED_KEY.encode(),)
    )
    network = Network(settings)
    histogram = HdrHistogram(1, 60_000_000, 3)
    rng = Random(_SEED.value)  # noqa: S311
    async with trio.open_nursery() as nursery:
        await nursery.start(network.serve)
        for _ in range(_ROUND_TRIPS):
            await trio.sleep(rng.expovariate(_RATE.value))
            started = time.perf_counter()
            await network.request(
                runner.peer_address, FloorRequest('benchmark'), timeout_s=10.0
            )
            elapsed_us = (time.perf_counter() - started) * 1e6
            histogram.record_value(max(1, int(elapsed_us)))
        nursery.cancel_scope.cancel()
    return {
        f'p{percentile}': histogram.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99)
    }


async def _run() -> list[dict[str, Any]]:
    reports = []
    async with open_fleet(_ZONES) as fleet:
        caller, runner = await _start_daemons(fleet)
        idle = await _measure_idle_cpu(fleet, (caller.name, runner.name))
        for _ in range(_ROUNDS.value):
            reports.append(
                {
                    'exchange_ms': await _measure_round_trip(fleet, runner),
                    'remote': await _measure(fleet, caller, runner, idle),
                    'local': await _measure(fleet, runner, runner, idle),
                }
            )
    return reports


def _main(argv: Sequence[str]) -> None:
    for report in trio.run(_run):
        print(json.dumps(report, indent=2))


if __name__ == '__main__':
    app.run(_main)
