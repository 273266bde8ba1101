"""Demonstration of the whole system as processes on one machine.

Starts three availability zones with as many VMs as one of the users has,
submits that user's configuration text, sends calls, moves one service to a
good version and another one to a bad version, and waits until the moves are
``done`` and ``reverted``. The last line of the output is one JSON object.
"""

from __future__ import annotations

from collections import Counter
import json
from pathlib import Path
import signal
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

import trio

from gypsumhall.testing.processes import backend_name
from gypsumhall.testing.processes import Fleet
from gypsumhall.testing.processes import open_fleet
from gypsumhall.testing.processes import ProcessError

if TYPE_CHECKING:
    from collections.abc import Sequence

ZONES = ('az-1', 'az-2', 'az-3')
ENDPOINTS = (
    ('plan-consultation', 'v1', 5),
    ('plan-consultation', 'v2', 3),
    ('dispatch', 'v1', 4),
    ('dispatch', 'v2', 2),
    ('archive', 'v1', 3),
)
SLOTS = 6
TOKEN = 'demonstration-token'  # noqa: S105
MOVE_S = 28
SOAK_S = 4
RATE_PER_S = 80.0
TIME_LIMIT_S = 58.0

_TEXT_PATH = (
    Path(__file__).parents[2]
    / 'examples'
    / 'iturraspe'
    / 'semaforizacion.yaml'
)
_MOVES_TEXT = f"""
moves:
  consultation-to-v2:
    service: plan-consultation
    from: v1
    to: v2
    within: {MOVE_S}s
    soak: {SOAK_S}s
  dispatch-to-v2:
    service: dispatch
    from: v1
    to: v2
    within: {MOVE_S}s
    soak: {SOAK_S}s
"""
_HOST = 'plans.iturraspe.example'
MAX_BAD_VERSION_SHARE = 0.01
"""Largest share of a service's calls that may be sent to a version that fails
from the start; see the invariants in docs/design.md."""

_REQUEST_KINDS = (
    {'name': 'consult', 'host': _HOST, 'path': '/plans/1', 'weight': 5},
    {
        'name': 'dispatch',
        'host': _HOST,
        'path': '/dispatch/1',
        'method': 'POST',
        'idempotent': False,
        'body_bytes': 200,
        'weight': 3,
    },
    {'name': 'archive', 'host': _HOST, 'path': '/archive/1', 'weight': 1},
)


def _print_progress(text: str, started: float) -> None:
    print(f'{time.monotonic() - started:6.1f} s  {text}', flush=True)


async def _start_fleet(fleet: Fleet) -> None:
    for service, version, count in ENDPOINTS:
        for number in range(count):
            fleet.add_vm(
                f'{service}-{version}-{number}',
                ZONES[number % len(ZONES)],
                service,
                version,
            )
    for vm in fleet.vms.values():
        await fleet.start_daemon(vm)
    for vm in fleet.vms.values():
        await fleet.wait_listening(vm.admin_address, vm.name)
    for vm in fleet.vms.values():
        flags = {'slots': str(SLOTS)}
        if (vm.service, vm.version) == ('dispatch', 'v2'):
            flags['failure_rate'] = '1.0'
        await fleet.start_backend(vm, flags)


async def _run_operator(
    fleet: Fleet, *arguments: str, allowed: Sequence[int] = (0,)
) -> dict[str, Any]:
    daemons = [vm.admin_address for vm in fleet.vms.values()]
    result = await fleet.run_binary(
        'gypsumhall.cli.operator',
        [
            '--output=json',
            f'--daemons={",".join(daemons[:3])}',
            *arguments,
        ],
        {'GYPSUMHALL_TOKEN': TOKEN},
    )
    if result.returncode not in allowed:
        raise ProcessError(
            f'operator {arguments[-1]} exited with {result.returncode}: '
            f'{result.stderr.decode()}{result.stdout.decode()}'
        )
    output: dict[str, Any] = json.loads(result.stdout or b'{}')
    return output


async def _submit(fleet: Fleet, text: str) -> int:
    path = fleet.directory / 'text.yaml'
    path.write_text(text)
    output = await _run_operator(fleet, 'submit', str(path))
    return int(output['version'])


async def _wait_ready(fleet: Fleet) -> None:
    """Wait until every daemon lists all endpoints as ready."""
    for vm in fleet.vms.values():
        while True:
            members = (await fleet.status(vm))['members']
            if members['ready_endpoints'] == len(fleet.vms):
                break
            await trio.sleep(0.1)


def _convergence_ms(fleet: Fleet, version: int) -> float:
    """Return the time from acceptance to last installation of a version."""
    accepted: list[float] = []
    installed: dict[str, float] = {}
    for path in fleet.event_logs:
        for line in path.read_text().splitlines():
            event = json.loads(line)
            fields = event['fields']
            if fields.get('version') != version:
                continue
            if event['code'] == 'submission-accepted':
                accepted.append(event['wall'])
            if event['code'] == 'snapshot-installed':
                installed[event['daemon']] = event['wall']
    if not accepted or len(installed) != len(fleet.vms):
        raise ProcessError(
            f'version {version} was installed by {len(installed)} of '
            f'{len(fleet.vms)} daemons'
        )
    return (max(installed.values()) - min(accepted)) * 1000


async def _control_bytes(fleet: Fleet) -> float:
    """Return the bytes of control traffic sent and received by all daemons."""
    total = 0.0
    for vm in fleet.vms.values():
        _status, _headers, body = await fleet.request(
            vm.admin_address, '/metrics'
        )
        for line in body.decode().splitlines():
            if (
                line.startswith('gypsumhall_peer_bytes')
                and 'kind="control"' in line
            ):
                total += float(line.rpartition(' ')[2])
    return total


async def _run_load(fleet: Fleet, seconds: float, results: list[Any]) -> None:
    targets = ','.join(vm.caller_address for vm in fleet.vms.values())
    result = await fleet.run_binary(
        'gypsumhall.cli.load',
        [
            f'--targets={targets}',
            *(f'--kind={json.dumps(kind)}' for kind in _REQUEST_KINDS),
            f'--rate_per_s={RATE_PER_S}',
            f'--seconds={seconds}',
            '--seed=1',
        ],
    )
    if result.returncode not in (0, 1) or not result.stdout:
        raise ProcessError(f'load failed: {result.stderr.decode()}')
    results.append(json.loads(result.stdout))


async def _stop_fleet(fleet: Fleet) -> None:
    for vm in fleet.vms.values():
        fleet.signal(backend_name(vm.name), signal.SIGTERM)
    for vm in fleet.vms.values():
        fleet.signal(vm.name, signal.SIGTERM)
    for vm in fleet.vms.values():
        status = await fleet.wait_exit(vm.name, 15.0)
        if status != 0:
            raise ProcessError(
                f'{vm.name} exited with {status}:\n{fleet.log_tail(vm.name)}'
            )


async def _demonstrate(fleet: Fleet, started: float) -> dict[str, Any]:
    await _start_fleet(fleet)
    base_text = _TEXT_PATH.read_text()
    first_version = await _submit(fleet, base_text)
    _print_progress(f'version {first_version} accepted', started)
    await _wait_ready(fleet)
    await _run_operator(fleet, 'wait', str(first_version))
    _print_progress(f'{len(fleet.vms)} daemons ready, calls begin', started)
    bytes_before = await _control_bytes(fleet)
    measured_from = time.monotonic()
    loads: list[Any] = []
    moves: dict[str, Any] = {}

    async def wait_move(name: str) -> None:
        move_id = f'semaforizacion/{name}'
        output = await _run_operator(fleet, 'wait', move_id, allowed=(0, 1))
        moves[name] = output['move']
        _print_progress(f'{name}: {output["move"]["state"]}', started)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_load, fleet, MOVE_S + 2.0, loads)
        await trio.sleep(1.0)
        second_version = await _submit(fleet, base_text + _MOVES_TEXT)
        _print_progress(
            f'version {second_version} accepted: two moves', started
        )
        nursery.start_soon(wait_move, 'consultation-to-v2')
        nursery.start_soon(wait_move, 'dispatch-to-v2')
    elapsed = time.monotonic() - measured_from
    control_bytes = (await _control_bytes(fleet)) - bytes_before
    convergence = _convergence_ms(fleet, second_version)
    await _stop_fleet(fleet)
    _print_progress('all processes stopped', started)
    states = [move['state'] for move in moves.values()]
    load = loads[0]
    counts = Counter[str]()
    for results in load['results'].values():
        counts.update(results)
    succeeded = counts.pop('ok', 0)
    # Only calls to the bad version can fail, so the failures of its service
    # are the calls that were sent to it.
    dispatch = Counter[str](load['results']['dispatch'])
    bad_share = 1.0 - dispatch['ok'] / max(1, dispatch.total())
    return {
        'ok': (
            moves['consultation-to-v2']['state'] == 'done'
            and moves['dispatch-to-v2']['state'] == 'reverted'
            and not load['violations']
            and bad_share <= MAX_BAD_VERSION_SHARE
        ),
        'bad_version_share': round(bad_share, 4),
        'convergence_ms': round(convergence, 1),
        'control_bytes_per_daemon_s': round(
            control_bytes / len(fleet.vms) / elapsed, 1
        ),
        'moves_done': states.count('done'),
        'moves_reverted': states.count('reverted'),
        'calls_ok': succeeded,
        'calls_failed': sum(counts.values()),
    }


async def _main() -> dict[str, Any]:
    started = time.monotonic()
    with trio.move_on_after(TIME_LIMIT_S):
        async with open_fleet(ZONES) as fleet:
            return await _demonstrate(fleet, started)
    return {'ok': False, 'error': f'not finished after {TIME_LIMIT_S} s'}


def main() -> int:
    """Run the demonstration; return 0 if all expectations were met."""
    try:
        result = trio.run(_main)
    except* ProcessError as group:
        result = {'ok': False, 'error': str(group.exceptions[0])}
    print(json.dumps(result))
    return 0 if result['ok'] else 1


if __name__ == '__main__':
    sys.exit(main())
