"""Calls of real daemons under repeated faults, with a check of each request.

Twelve daemons in three zones, connected through relays, receive idempotent,
non-idempotent and keyed requests. Meanwhile daemons and backend servers are
killed and suspended, daemons shut down gracefully, zones are partitioned,
relays stop forwarding on open connections and the platform fails. The backend
servers log each execution to a file, so that executions by killed backend
servers count too. Run as
``python -m benchmarks.bench_calls_under_faults --seed 1``; the exit status is
1 when a request was executed twice, a request that was reported as not
executed was executed, a response was partial or belonged to another request,
or a graceful shutdown failed.
"""

from __future__ import annotations

from collections import Counter
import json
import os
from random import Random
import shutil
import signal
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

from absl import app
from absl import flags
import trio

from gypsumhall.testing.processes import backend_name
from gypsumhall.testing.processes import open_fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence
    from pathlib import Path

    from gypsumhall.testing.processes import Fleet
    from gypsumhall.testing.processes import Vm

_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the load and the faults.')
_SECONDS = flags.DEFINE_float('seconds', 180.0, 'Duration of the load.')
_RATE = flags.DEFINE_float('rate_per_s', 125.0, 'Arrivals per second.')
_PAUSE_S = flags.DEFINE_float(
    'pause_s', 2.5, 'Mean time between faults, in seconds.'
)
_FAULTS = flags.DEFINE_list('faults', [], 'Faults to use; all when empty.')
_LOG_DIRECTORY = flags.DEFINE_string(
    'keep', '', 'Directory that the logs are copied to.'
)

_ZONES = ('az-1', 'az-2', 'az-3')
_SERVICES = ('availability', 'bookings')
# Endpoints of each service in each zone.
_ENDPOINTS_PER_ZONE = 2
# With more concurrent faults, no backend server would be reachable.
_MAX_CONCURRENT_FAULTS = 2
_TEXT = """\
department: spa
services:
  availability: {versions: [v1]}
  bookings: {versions: [v1], depends_on: [availability]}
routes:
  search:
    {host: spa.example, path: /search, service: availability, timeout: 8s}
  book: {host: spa.example, path: /book, service: bookings, timeout: 8s}
"""
_REQUEST_KINDS: tuple[dict[str, Any], ...] = (
    {'name': 'search', 'path': '/search/1', 'weight': 4},
    {'name': 'search-large', 'path': '/search/2?size=200000', 'weight': 1},
    {
        'name': 'book',
        'path': '/book/1',
        'method': 'POST',
        'idempotent': False,
        'body_bytes': 100,
        'weight': 3,
    },
    {
        'name': 'book-large',
        'path': '/book/2?size=100000',
        'method': 'POST',
        'idempotent': False,
        'body_bytes': 100_000,
        'weight': 1,
    },
    {
        'name': 'book-keyed',
        'path': '/book/3',
        'method': 'POST',
        'idempotent': False,
        'keyed': True,
        'weight': 2,
    },
)


class _FaultInjector:
    """Injects random faults, each for a few seconds."""

    def __init__(self, fleet: Fleet, rng: Random) -> None:
        self._fleet = fleet
        self._rng = rng
        # VMs with a fault; a second fault of the same VM would mask the
        # first.
        self._faulty_vms: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.failed_shutdowns: list[str] = []
        self._faults: dict[str, Callable[[], Awaitable[None]]] = {
            'kill-daemon': self._kill_daemon,
            'kill-backend': self._kill_backend,
            'stop-daemon': self._stop_daemon,
            'freeze-daemon': self._suspend_daemon,
            'freeze-backend': self._suspend_backend,
            'silence': self._silence_open_connections,
            'cut': self._partition_zones,
            'platform': self._interrupt_platform,
            'backend-faults': self._set_backend_faults,
        }

    async def run(self) -> None:
        """Inject faults until cancelled."""
        names = _FAULTS.value or list(self._faults)
        limit = trio.Semaphore(_MAX_CONCURRENT_FAULTS)
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.expovariate(1 / _PAUSE_S.value))
                await limit.acquire()
                name = self._rng.choice(names)
                self.counts[name] += 1
                nursery.start_soon(self._inject, self._faults[name], limit)

    async def _inject(
        self, fault: Callable[[], Awaitable[None]], limit: trio.Semaphore
    ) -> None:
        try:
            await fault()
        finally:
            limit.release()

    def _pick_vm(self) -> Vm:
        candidates = [
            vm
            for vm in self._fleet.vms.values()
            if vm.name not in self._faulty_vms
        ]
        vm = self._rng.choice(candidates)
        self._faulty_vms.add(vm.name)
        return vm

    async def _sleep(self, low_s: float = 3.0, high_s: float = 6.0) -> None:
        await trio.sleep(self._rng.uniform(low_s, high_s))

    async def _kill_daemon(self) -> None:
        vm = self._pick_vm()
        self._fleet.signal(vm.name, signal.SIGKILL)
        await self._fleet.wait_exit(vm.name)
        await self._sleep(0.0, 4.0)
        await self._fleet.start_daemon(vm)
        await self._fleet.wait_listening(vm.admin_address, vm.name)
        await self._sleep()
        self._faulty_vms.remove(vm.name)

    async def _stop_daemon(self) -> None:
        vm = self._pick_vm()
        self._fleet.signal(vm.name, signal.SIGTERM)
        status = await self._fleet.wait_exit(vm.name)
        if status:
            self.failed_shutdowns.append(
                f'{vm.name} exited with status {status}'
            )
        await self._sleep(0.0, 4.0)
        await self._fleet.start_daemon(vm)
        await self._fleet.wait_listening(vm.admin_address, vm.name)
        await self._sleep()
        self._faulty_vms.remove(vm.name)

    async def _kill_backend(self) -> None:
        vm = self._pick_vm()
        name = backend_name(vm.name)
        self._fleet.signal(name, signal.SIGKILL)
        await self._fleet.wait_exit(name)
        await self._sleep(0.0, 4.0)
        await _start_backend(self._fleet, vm)
        await self._fleet.wait_listening(vm.backend_address, name)
        await self._sleep(2.0, 3.0)
        self._faulty_vms.remove(vm.name)

    async def _suspend_daemon(self) -> None:
        vm = self._pick_vm()
        await self._suspend(vm.name)
        self._faulty_vms.remove(vm.name)

    async def _suspend_backend(self) -> None:
        vm = self._pick_vm()
        await self._suspend(backend_name(vm.name))
        self._faulty_vms.remove(vm.name)

    async def _suspend(self, name: str) -> None:
        self._fleet.signal(name, signal.SIGSTOP)
        try:
            await self._sleep()
        finally:
            self._fleet.signal(name, signal.SIGCONT)

    async def _silence_open_connections(self) -> None:
        assert self._fleet.network_faults is not None
        self._fleet.network_faults.silence_open_connections()
        await self._sleep()

    async def _partition_zones(self) -> None:
        assert self._fleet.network_faults is not None
        self._fleet.network_faults.cut(
            *self._rng.sample((*_ZONES, 'platform'), 2)
        )
        await self._sleep()
        self._fleet.network_faults.heal()

    async def _interrupt_platform(self) -> None:
        address = self._fleet.platform_address
        await self._fleet.set_faults(address, {'outage': True})
        await self._sleep()
        await self._fleet.set_faults(
            address, {'outage': False, 'lapse_leases': True}
        )

    async def _set_backend_faults(self) -> None:
        vm = self._pick_vm()
        kind = self._rng.choice(['crash_rate', 'break_rate'])
        await self._fleet.set_faults(vm.backend_address, {kind: 0.3})
        await self._sleep()
        await self._fleet.set_faults(vm.backend_address, {})
        self._faulty_vms.remove(vm.name)


def _run_log(fleet: Fleet, vm: Vm) -> Path:
    return fleet.directory / f'{vm.name}.runs'


async def _start_backend(fleet: Fleet, vm: Vm) -> None:
    backend_flags = {'run_log': str(_run_log(fleet, vm))}
    await fleet.start_backend(vm, backend_flags)


async def _start_fleet(fleet: Fleet) -> None:
    for zone in _ZONES:
        for service in _SERVICES:
            for number in range(_ENDPOINTS_PER_ZONE):
                name = f'{zone}-{service}-{number}'
                fleet.add_vm(name, zone, service, 'v1')
    await fleet.start_relays()
    vms = list(fleet.vms.values())
    for vm in vms:
        await fleet.start_daemon(vm)
    for vm in vms:
        await fleet.wait_listening(vm.admin_address, vm.name)
        _run_log(fleet, vm).touch()
        await _start_backend(fleet, vm)
    path = fleet.directory / 'text.yaml'
    path.write_text(_TEXT)
    result = await fleet.run_binary(
        'gypsumhall.cli.operator',
        [f'--daemons={vms[0].admin_address}', 'submit', str(path)],
        {'GYPSUMHALL_TOKEN': 'benchmark-token'},
    )
    if result.returncode:
        raise app.UsageError(
            f'submission of the text failed: {result.stderr.decode()}'
        )
    for vm in vms:
        while True:
            status = await fleet.status(vm)
            ready = status['members']['ready_endpoints'] == len(vms)
            if ready and status['version']:
                break
            await trio.sleep(0.1)


async def _run_load(fleet: Fleet) -> dict[str, Any]:
    vms = list(fleet.vms.values())
    result = await fleet.run_binary(
        'gypsumhall.cli.load',
        [
            f'--targets={",".join(vm.caller_address for vm in vms)}',
            *(
                f'--kind={json.dumps({"host": "spa.example", **kind})}'
                for kind in _REQUEST_KINDS
            ),
            f'--rate_per_s={_RATE.value}',
            f'--seconds={_SECONDS.value}',
            f'--seed={_SEED.value}',
            f'--run_logs={",".join(str(_run_log(fleet, vm)) for vm in vms)}',
        ],
    )
    if not result.stdout:
        raise app.UsageError(
            f'load generator printed no report: {result.stderr.decode()}'
        )
    report: dict[str, Any] = json.loads(result.stdout)
    return report


async def _run() -> dict[str, Any]:
    started = time.monotonic()
    async with open_fleet(_ZONES, relayed=True) as fleet:
        await _start_fleet(fleet)
        injector = _FaultInjector(fleet, Random(_SEED.value))  # noqa: S311
        async with trio.open_nursery() as nursery:
            nursery.start_soon(injector.run)
            report = await _run_load(fleet)
            nursery.cancel_scope.cancel()
        stopped_names = [vm.name for vm in fleet.vms.values()]
        stopped_names = [
            name for name in stopped_names if not fleet.is_running(name)
        ]
        if _LOG_DIRECTORY.value:
            shutil.copytree(
                fleet.directory, _LOG_DIRECTORY.value, dirs_exist_ok=True
            )
    report['seed'] = _SEED.value
    report['faults'] = dict(injector.counts)
    report['bad_stops'] = injector.failed_shutdowns
    report['not_running_at_end'] = stopped_names
    report['load_average'] = os.getloadavg()
    report['total_s'] = round(time.monotonic() - started, 1)
    return report


def _main(argv: Sequence[str]) -> None:
    report = trio.run(_run)
    print(json.dumps(report, indent=2))
    sys.exit(1 if report['violations'] or report['bad_stops'] else 0)


if __name__ == '__main__':
    app.run(_main)
