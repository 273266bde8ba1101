"""Time and CPU that the path of a call adds to a call of a backend server.

Runs a caller's daemon, a runner's daemon and a stand-in backend server as
processes and sends an open-loop load in which part of the requests call the
backend server directly. Run as ``python -m benchmarks.bench_call``.
"""

from __future__ import annotations

import cProfile
import json
import os
import pstats
import signal
import socket
import subprocess
import sys
from typing import TYPE_CHECKING

from absl import app
from absl import flags
import trio

from benchmarks.stream_peers import StreamPeers
from gypsumhall.load._load import Load
from gypsumhall.load._load import LoadSettings
from gypsumhall.load._load import RequestKind
from gypsumhall.standin._backend import BackendServer
from gypsumhall.standin._backend import BackendSettings
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallDaemon

if TYPE_CHECKING:
    from collections.abc import Sequence

_ROLE = flags.DEFINE_enum(
    'role', 'all', ['all', 'sender', 'runner', 'backend'], 'Process to be.'
)
_PORTS = flags.DEFINE_list('ports', [], 'Ports of the processes.')
_RATE = flags.DEFINE_float('rate_per_s', 100.0, 'Arrivals per second.')
_SECONDS = flags.DEFINE_float('seconds', 20.0, 'Duration.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the load.')
_LOCAL = flags.DEFINE_bool(
    'local', False, 'Call the daemon beside the backend server.'
)
_PROFILE = flags.DEFINE_string('profile', '', 'Role to profile.')


def _members(ports: Sequence[str]) -> list[fakes.Member]:
    members = []
    for index, port in enumerate(ports[:2]):
        member = builders.build_member(
            index, endpoint=builders.build_endpoint(slots=64)
        )
        members.append(
            fakes.msgspec.structs.replace(
                member,
                peer_address=f'127.0.0.1:{port}',
                endpoint=member.endpoint if index else None,
            )
        )
    return members


async def _serve_daemon(index: int, ports: Sequence[str]) -> None:
    members = _members(ports)
    table = fakes.FakeTable()
    for member in members:
        table.put(member)
    daemon = CallDaemon(
        members[index],
        table,
        StreamPeers,
        build_snapshot(),
        listen=f'127.0.0.1:{ports[3 + index]}',
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(daemon.run)
        if index:
            daemon.set_backend(f'127.0.0.1:{ports[2]}', slots=64)
        await _until_stopped()
        nursery.cancel_scope.cancel()


async def _serve_backend(ports: Sequence[str]) -> None:
    settings = BackendSettings(
        'availability',
        'v1',
        f'127.0.0.1:{ports[2]}',
        slots=64,
        service_time_ms=0.0,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(BackendServer(settings).run)
        await _until_stopped()
        nursery.cancel_scope.cancel()


async def _until_stopped() -> None:
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        print('ready', flush=True)
        async for _ in signals:
            return


def _run_role(role: str, ports: Sequence[str]) -> None:
    profile = cProfile.Profile()
    if _PROFILE.value == role:
        profile.enable()
    if role == 'backend':
        trio.run(_serve_backend, ports)
    else:
        trio.run(_serve_daemon, int(role == 'runner'), ports)
    if _PROFILE.value == role:
        profile.disable()
        stats = pstats.Stats(profile, stream=sys.stderr)
        stats.sort_stats('tottime').print_stats(45)


def _free_ports(count: int) -> list[str]:
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [str(item.getsockname()[1]) for item in sockets]
    for item in sockets:
        item.close()
    return ports


def _cpu_s(pid: int) -> float:
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def _main(argv: Sequence[str]) -> None:
    if _ROLE.value != 'all':
        _run_role(_ROLE.value, _PORTS.value)
        return
    ports = _free_ports(5)
    processes = {}
    settings = LoadSettings(
        targets=(f'127.0.0.1:{ports[4 if _LOCAL.value else 3]}',),
        kinds=(
            RequestKind(name='search', host='spa.example', path='/search'),
        ),
        rate_per_s=_RATE.value,
        seconds=_SECONDS.value,
        seed=_SEED.value,
        baseline=(f'127.0.0.1:{ports[2]}',),
        baseline_share=0.5,
    )
    try:
        for role in ('backend', 'runner', 'sender'):
            command = [sys.executable, '-m', 'benchmarks.bench_call']
            command += [f'--role={role}', f'--ports={",".join(ports)}']
            command += [f'--profile={_PROFILE.value}']
            processes[role] = subprocess.Popen(command, stdout=subprocess.PIPE)
            # Another process may have taken one of the ports.
            assert processes[role].stdout.readline() == b'ready\n'
        before = {role: _cpu_s(item.pid) for role, item in processes.items()}
        report = trio.run(Load(settings).run)
        calls = report['latency_ms']['calls']['count']
        report['cpu_ms_per_call'] = {
            role: round((_cpu_s(item.pid) - before[role]) * 1000 / calls, 3)
            for role, item in processes.items()
            if role != 'backend'
        }
    finally:
        for item in processes.values():
            item.terminate()
            item.wait()
    print(json.dumps(report, indent=2))


if __name__ == '__main__':
    app.run(_main)
