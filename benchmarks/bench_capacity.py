"""Figures for docs/CAPACITY.md, measured at several sizes.

Runs parts of the other benchmarks, and fleets of real processes of increasing
size, fits straight lines, and writes ``benchmarks/results/capacity.json``,
the tables of ``docs/CAPACITY.md`` and ``docs/capacity.svg``. Takes up to four
minutes and starts at most 75 processes at a time. Run as
``python -m benchmarks.bench_capacity``; ``--page_only`` redraws the page from
the figures of the last run.
"""

from __future__ import annotations

from collections import Counter
import json
import os
import pathlib
import platform
import random
import re
import statistics
import subprocess
import sys
import time
import tracemalloc
from typing import Any
from typing import TYPE_CHECKING

from absl import app
from absl import flags
import trio
import trio.lowlevel
from trio.testing import MockClock

from benchmarks import bench_call
from benchmarks import bench_distribution
from benchmarks import bench_network
from benchmarks import bench_store
from benchmarks import capacity_page
from gypsumhall.core import _judge
from gypsumhall.core import _membership
from gypsumhall.core import _model
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.net import _messages
from gypsumhall.testing import builders
from gypsumhall.testing.platform import open_platform
from gypsumhall.testing.processes import Fleet
from gypsumhall.testing.processes import open_fleet
from gypsumhall.testing.readers import ReaderZone

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

_FLEET_SIZES = flags.DEFINE_list(
    'fleets', ['6', '18', '36'], 'Numbers of daemons of the fleets.'
)
_PAGE_ONLY = flags.DEFINE_bool(
    'page_only',
    False,
    'Only redraw the page, from the results of the last run.',
)
_RESUME = flags.DEFINE_bool(
    'resume', False, 'Skip measurements that the file of results contains.'
)

RESULTS = pathlib.Path(__file__).parent / 'results' / 'capacity.json'

_ZONES = ('az-1', 'az-2', 'az-3')
_IDLE_S = 10.0
_CHANGES = 12
_CHANGES_PER_S = 2.0
_TOKEN = 'capacity-token'  # noqa: S105
_CONTROL_BYTES_METRIC = re.compile(
    r'gypsumhall_peer_control_bytes_total\{(.*)\} (\S+)', re.MULTILINE
)


def fit(xs: Sequence[float], ys: Sequence[float]) -> dict[str, float]:
    """Return slope, intercept and largest deviation of a straight line."""
    slope, intercept = statistics.linear_regression(xs, ys)
    deviation = max(
        abs(y - slope * x - intercept) for x, y in zip(xs, ys, strict=True)
    )
    return {'slope': slope, 'intercept': intercept, 'deviation': deviation}


def _rss_mb(pid: int) -> float:
    with open(f'/proc/{pid}/statm') as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 2**20


async def _read_control_bytes(fleet: Fleet) -> Counter[str]:
    """Return control bytes by message type, summed over all daemons.

    Both directions count.
    """
    totals: Counter[str] = Counter()
    for vm in fleet.vms.values():
        _status, _headers, body = await fleet.request(
            vm.admin_address, '/metrics'
        )
        for labels, value in _CONTROL_BYTES_METRIC.findall(body.decode()):
            name = re.search('message="(.*?)"', labels)
            if name:
                totals[name[1]] += float(value)
    return totals


async def _read_platform_calls(fleet: Fleet) -> int:
    _status, _headers, body = await fleet.request(
        fleet.platform_address, '/stats'
    )
    return sum(json.loads(body)['calls'].values())


async def _measure_period(
    fleet: Fleet, action: Callable[[], Any], seconds: float
) -> dict[str, Any]:
    """Return rates and CPU use per daemon while an action runs."""
    size = len(fleet.vms)
    pids = [fleet.pid(name) for name in fleet.vms]
    control_bytes, calls = (
        await _read_control_bytes(fleet),
        await _read_platform_calls(fleet),
    )
    cpu_before = [bench_call._cpu_s(pid) for pid in pids]
    start = time.monotonic()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(action)
        await trio.sleep(seconds)
    elapsed = time.monotonic() - start
    cpu_after = [bench_call._cpu_s(pid) for pid in pids]
    calls = await _read_platform_calls(fleet) - calls
    bytes_s = {
        name: round(count / size / elapsed, 1)
        for name, count in (
            (await _read_control_bytes(fleet)) - control_bytes
        ).most_common()
    }
    cpu = [
        after - before
        for after, before in zip(cpu_after, cpu_before, strict=True)
    ]
    return {
        'seconds': round(elapsed, 2),
        'control_bytes_per_s': round(sum(bytes_s.values()), 1),
        'control_bytes_per_s_by_message': bytes_s,
        'core_percent': round(100 * statistics.mean(cpu) / elapsed, 3),
        'core_percent_most': round(100 * max(cpu) / elapsed, 3),
        'platform_calls_per_s': round(calls / elapsed, 2),
    }


async def _submit(fleet: Fleet, number: int) -> None:
    text = capacity_page.TEXT.format(timeout=number + 2)
    vm = next(iter(fleet.vms.values()))
    body = {'id': f'capacity-{number}', 'token': _TOKEN, 'text': text}
    status, _headers, response = await fleet.request(
        vm.admin_address,
        '/v1/operator/submit',
        method='POST',
        headers={'Content-Type': 'application/json'},
        body=json.dumps(body).encode(),
    )
    if status >= 300:
        raise RuntimeError(f'submission rejected: {response!r}')


def _distribution_times(fleet: Fleet) -> dict[str, Any]:
    """Return the times to distribute a version and to start a daemon.

    A version counts from its acceptance to its install on the last daemon,
    in milliseconds; a start counts from the first event of a daemon to its
    readiness, in seconds.
    """
    accepted: dict[int, float] = {}
    installed: dict[int, list[float]] = {}
    started: list[float] = []
    for path in fleet.event_logs:
        events = [json.loads(line) for line in path.read_text().splitlines()]
        first_event = min(event['wall'] for event in events)
        for event in events:
            version = event['fields'].get('version')
            if event['code'] == 'submission-accepted':
                accepted[version] = event['wall']
            elif event['code'] == 'snapshot-installed':
                installed.setdefault(version, []).append(event['wall'])
            elif event['code'] == 'distribution-ready':
                started.append(event['wall'] - first_event)
    times = [
        1000 * (max(installed[version]) - at)
        for version, at in accepted.items()
        if len(installed.get(version, ())) == len(fleet.vms)
    ]
    return {
        'submitted': len(accepted),
        'complete': len(times),
        'last_ms_median': round(statistics.median(times), 1),
        'last_ms_max': round(max(times), 1),
        'start_to_ready_s_max': round(max(started), 2),
    }


async def _measure_fleet(size: int) -> dict[str, Any]:
    async with open_fleet(_ZONES) as fleet:
        for number in range(size):
            zone = _ZONES[number % len(_ZONES)]
            fleet.add_vm(f'vm-{number}', zone, 'availability', 'v1')
        for vm in fleet.vms.values():
            await fleet.start_daemon(vm)
        for vm in fleet.vms.values():
            await fleet.wait_listening(vm.admin_address, vm.name)
            await fleet.start_backend(vm)
        with trio.fail_after(40):
            for vm in fleet.vms.values():
                while True:
                    response = await fleet.request(
                        vm.admin_address, '/v1/operator/status'
                    )
                    if response[0] == 200:
                        members = json.loads(response[2])['members']
                        if members['ready_endpoints'] == size:
                            break
                    await trio.sleep(0.2)
        await _submit(fleet, 0)
        await trio.sleep(4)
        quiet = await _measure_period(fleet, trio.lowlevel.checkpoint, _IDLE_S)

        async def change() -> None:
            for number in range(1, _CHANGES + 1):
                await _submit(fleet, number)
                await trio.sleep(1 / _CHANGES_PER_S)

        changes = await _measure_period(
            fleet, change, _CHANGES / _CHANGES_PER_S
        )
        rss = [_rss_mb(fleet.pid(name)) for name in fleet.vms]
        return {
            'daemons': size,
            'load_average': os.getloadavg()[0],
            'quiet': quiet,
            'changes_per_s': _CHANGES / changes['seconds'],
            'changes': changes,
            'rss_mb': round(statistics.mean(rss), 1),
            'rss_mb_most': round(max(rss), 1),
            **_distribution_times(fleet),
        }


async def _measure_platform(count: int) -> dict[str, Any]:
    """Return platform calls per second of zones with 3 readers each.

    Runs on a virtual clock.
    """
    daemons = bench_store.DAEMONS
    async with open_platform() as opened, trio.open_nursery() as nursery:
        zones = [
            ReaderZone(opened, f'az-{index}', index * daemons)
            for index in range(count)
        ]
        await zones[0].change()
        for zone in zones:
            await zone.start(nursery, daemons)
        await trio.sleep(bench_store.WARM_UP_S)

        async def measure_rate(seconds: float, changes: int) -> float:
            before = sum(opened.platform.stats['calls'].values())
            for _ in range(changes):
                await zones[0].change()
                await trio.sleep(seconds / changes)
            if not changes:
                await trio.sleep(seconds)
            after = sum(opened.platform.stats['calls'].values())
            return round((after - before) / seconds, 3)

        result = {
            'zones': count,
            'quiet': await measure_rate(30.0, 0),
            'daily': await measure_rate(14.4, 3),
            'burst': await measure_rate(4.0, 20),
            'watches': opened.platform.stats['watches'],
        }
        nursery.cancel_scope.cancel()
    return result


async def _measure_zone_start(daemons: int) -> dict[str, Any]:
    """Count platform calls per second while all daemons of a zone start."""
    async with open_platform() as opened, trio.open_nursery() as nursery:
        zone = ReaderZone(opened, 'az-0', 0)
        await zone.change()
        for index in range(daemons):
            nursery.start_soon(zone._run_daemon, index)
        counts = [0]
        for _ in range(10):
            await trio.sleep(1)
            counts.append(sum(opened.platform.stats['calls'].values()))
        rates = [b - a for a, b in zip(counts, counts[1:], strict=False)]
        nursery.cancel_scope.cancel()
    return {'daemons': daemons, 'most_per_s': max(rates), 'per_s': rates}


def _measure_distribution() -> list[dict[str, Any]]:
    start = bench_distribution.build_configuration()
    return [
        bench_distribution.measure_distribution(
            start, size, readers, dead_inner_node=True
        )
        for size in (100, 400, 1250)
        for readers in (1, 3)
    ]


def _traced_mb(build: Callable[[], object]) -> float:
    tracemalloc.start()
    built_object = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built_object
    return size / 2**20


def _measure_memory() -> dict[str, Any]:
    configurations = []
    for part in (0.5, 0.75, 1.0):
        services = round(1900 * part)
        bench_distribution.SERVICES = services
        bench_distribution.ROUTES = round(5000 * part)
        head, fragments = bench_distribution.build_configuration()
        encoded = _model.encode(head)
        texts = [_model.encode(item) for item in fragments.values()]

        def build(
            encoded: bytes = encoded, texts: list[bytes] = texts
        ) -> Snapshot:
            return Snapshot.build(
                _model.decode_head(encoded),
                [_model.decode_fragment(item) for item in texts],
            )

        mb = round(_traced_mb(build), 2)
        configurations.append({'services': services, 'mb': mb})
    tables = []
    for members in (5_000, 12_500, 25_000):

        def fill(members: int = members) -> _membership.Table:
            table = _membership.Table()
            for index in range(members):
                table.merge(bench_network._build_member(index), 0.0)
            for zone in table.zones:
                table.alive(zone)
            for service in range(1900):
                table.endpoints(f'service-{service}')
            return table

        tables.append({'members': members, 'mb': round(_traced_mb(fill), 2)})
    return {'configurations': configurations, 'tables': tables}


async def _measure_join(members: int) -> dict[str, Any]:
    """Measure the join of two daemons to one with a large member table."""
    async with trio.open_nursery() as nursery:
        first, membership = await bench_network._start_daemon(nursery, 0, ())
        for index in range(members):
            membership.table.merge(
                bench_network._build_member(index), trio.current_time()
            )
        times = []
        for index in (1, 2):
            start = time.perf_counter()
            _, other = await bench_network._start_daemon(
                nursery, index, (first.me.address,)
            )
            await other.wait_joined()
            times.append(time.perf_counter() - start)
        size = first.traffic.sizes[0] / len(times)
        nursery.cancel_scope.cancel()
    return {
        'members': members,
        'join_s_most': round(max(times), 3),
        'bytes': round(size),
    }


def _measure_merge() -> dict[str, float]:
    """Measure the time to merge a change into a table of 25,000 entries."""
    table = _membership.Table()
    for index in range(25_000):
        table.merge(bench_network._build_member(index), 0.0)
    members = list(table.members())
    rng = random.Random(1)
    rounds = 300
    start = time.perf_counter()
    for number in range(rounds):
        member = rng.choice(members)
        other = bench_network.msgspec.structs.replace(
            member, sequence=number + 2
        )
        table.merge(other, 1.0)
        table.alive(other.zone)
        table.neighbours(other, 3)
    return {'merge_ms': (time.perf_counter() - start) * 1000 / rounds}


def _measure_judge(endpoints: int) -> dict[str, Any]:
    """Measure CPU and bytes of a judge to which all endpoints report."""
    judge = _judge.Judge('spa/move', 'v2')
    size = cpu_s = 0.0
    intervals = 10
    for interval in range(1, intervals + 1):
        reports = [
            _messages.Evidence(
                'spa/move',
                1,
                interval,
                (
                    builders.build_counts(
                        'v2' if index % 2 else 'v1', endpoint=f'd{index}'
                    ),
                ),
            )
            for index in range(endpoints)
        ]
        encoded = [_model.encode(item) for item in reports]
        size += sum(map(len, encoded))
        start = time.process_time()
        for data in encoded:
            judge.add(
                bench_network.msgspec.msgpack.decode(
                    data, type=_messages.Evidence
                )
            )
        judge.close(interval)
        cpu_s += time.process_time() - start
    return {
        'endpoints': endpoints,
        'core_percent': round(cpu_s / intervals / 0.5 * 100, 3),
        'bytes_per_s': round(size / intervals / 0.5),
    }


def _measure_calls(rate: float) -> dict[str, Any]:
    """Run `bench_call` and return its main figures."""
    command = [sys.executable, '-m', 'benchmarks.bench_call']
    command += [f'--rate_per_s={2 * rate}', '--seconds=5', '--rounds=1']
    for _ in range(3):
        result = subprocess.run(
            command, capture_output=True, check=False, timeout=60
        )
        if not result.returncode:
            break
    report = json.loads(result.stdout)['remote']
    return {
        'calls_per_s': rate,
        'load_average': os.getloadavg()[0],
        'added_ms': report['added_ms'],
        'cpu_ms_per_call': {
            'sender': report['cpu_ms_per_call']['caller'],
            'runner': report['cpu_ms_per_call']['runner'],
        },
        'results': report['results'],
    }


def _measurements() -> dict[str, Callable[[], Any]]:
    def run_on_virtual_clock(
        function: Any, values: Sequence[int]
    ) -> list[Any]:
        return [
            trio.run(function, value, clock=MockClock(autojump_threshold=0))
            for value in values
        ]

    build = bench_distribution.build_configuration
    return {
        'calls': lambda: [_measure_calls(rate) for rate in (32, 64, 128)],
        'fleets': lambda: [
            trio.run(_measure_fleet, int(size)) for size in _FLEET_SIZES.value
        ],
        'platform': lambda: run_on_virtual_clock(
            _measure_platform, (1, 5, 20)
        ),
        'zone_return': lambda: run_on_virtual_clock(
            _measure_zone_start, (25, 50, 100)
        ),
        'spread': _measure_distribution,
        'bootstrap': lambda: bench_distribution.measure_bootstrap(build()),
        'install': lambda: bench_distribution.measure_snapshot(build()),
        'join': lambda: [
            trio.run(_measure_join, members)
            for members in (5_000, 12_500, 25_000)
        ],
        'merge': _measure_merge,
        'judge': lambda: [_measure_judge(count) for count in (4, 16, 64)],
        # Last, as it changes the size of the configuration.
        'memory': _measure_memory,
    }


def _measure() -> dict[str, Any]:
    started = time.monotonic()
    results: dict[str, Any] = {
        'python': platform.python_version(),
        'cores': os.cpu_count(),
        'load_average': {'start': os.getloadavg()[0]},
    }

    def save_results(part: str) -> None:
        results['load_average'][part] = round(os.getloadavg()[0], 1)
        print(f'{time.monotonic() - started:6.1f} s  {part}', flush=True)
        # Saved after each part, so that a later failure loses no figures.
        RESULTS.write_text(json.dumps(results, indent=1) + '\n')

    parts = _measurements()
    if _RESUME.value:
        results = json.loads(RESULTS.read_text())
    for part, measure in parts.items():
        if part not in results:
            results[part] = measure()
            save_results(part)
    results['fits'] = _fits(results)
    results['seconds'] = round(time.monotonic() - started, 1)
    return results


def _fits(results: dict[str, Any]) -> dict[str, Any]:
    def fit_rows(
        name: str, x: str, y: Callable[[Any], float]
    ) -> dict[str, float]:
        rows = results[name]
        return fit([row[x] for row in rows], [y(row) for row in rows])

    tables = results['memory']['tables']
    configurations = results['memory']['configurations']
    return {
        'bytes_by_daemons': fit_rows(
            'fleets',
            'daemons',
            lambda row: row['quiet']['control_bytes_per_s'],
        ),
        'core_by_daemons': fit_rows(
            'fleets', 'daemons', lambda row: row['quiet']['core_percent']
        ),
        'rss_by_daemons': fit_rows(
            'fleets', 'daemons', lambda row: row['rss_mb']
        ),
        'quiet_by_zones': fit_rows(
            'platform', 'zones', lambda row: row['quiet']
        ),
        'daily_by_zones': fit_rows(
            'platform', 'zones', lambda row: row['daily']
        ),
        'burst_by_zones': fit_rows(
            'platform', 'zones', lambda row: row['burst']
        ),
        'judge_by_endpoints': fit_rows(
            'judge', 'endpoints', lambda row: row['core_percent']
        ),
        'join_bytes_by_members': fit_rows(
            'join', 'members', lambda row: row['bytes']
        ),
        'table_mb_by_members': fit(
            [row['members'] for row in tables], [row['mb'] for row in tables]
        ),
        'snapshot_mb_by_services': fit(
            [row['services'] for row in configurations],
            [row['mb'] for row in configurations],
        ),
    }


def main(argv: list[str]) -> None:
    """Measure, unless ``--page_only`` is set, and redraw the page."""
    del argv
    if not _PAGE_ONLY.value:
        flags.FLAGS.changes = 2
        results = _measure()
        RESULTS.write_text(json.dumps(results, indent=1) + '\n')
    capacity_page.redraw(json.loads(RESULTS.read_text()))


if __name__ == '__main__':
    app.run(main)
