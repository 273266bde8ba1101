"""Processor time of fleet daemons: per start, idle second and call.

Runs a fleet of real ``gypsumhall-fleetd`` processes for each checkout, all at
the same time and with the same load, so that they share the conditions of the
machine. The store, the backend servers and the callers are part of this
process, whose processor time is not counted. Run as
``python -m benchmarks.bench_processor_time``, and with ``--before`` for a
comparison with another checkout or commit.
"""

from __future__ import annotations

from contextlib import AsyncExitStack
from contextlib import contextmanager
from contextlib import ExitStack
import json
import os
from pathlib import Path
from random import Random
import re
import shutil
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING

from absl import app
from absl import flags
import trio

from gypsumhall.services import _http_server
from gypsumhall.standin import server_settings
from gypsumhall.store import Put
from gypsumhall.testing.kv_store import KvApp
from gypsumhall.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence
    from typing import Any

_BEFORE = flags.DEFINE_string(
    'before', '', 'Directory or commit of the code to compare with.'
)
_DAEMONS = flags.DEFINE_integer('daemons', 6, 'Daemons of each fleet.')
_RATE = flags.DEFINE_float('rate_per_s', 60.0, 'Calls per second and fleet.')
_SECONDS = flags.DEFINE_float('seconds', 15.0, 'Duration of the load.')
_IDLE_SECONDS = flags.DEFINE_float('idle_seconds', 8.0, 'Time without load.')
_ROUTES = flags.DEFINE_integer('routes', 300, 'Routes of the configuration.')
_BODY_BYTES = flags.DEFINE_integer('body_bytes', 5000, 'Size of responses.')
_UPLOAD_BYTES = flags.DEFINE_integer('upload_bytes', 0, 'Size of requests.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the load.')
_PROFILES = flags.DEFINE_string(
    'profiles', '', 'Directory for profiles of the daemons by cProfile.'
)

_ROOT = Path(__file__).parents[1]
_ZONES = 2
_FIRST_NETWORK = 10
_NETWORKS = 240
_SLOTS = 6
_WORK_S = 0.03
_HEARTBEAT_INTERVAL_S = 0.75
_SETTLING_S = 3.0
_START_TIMEOUT_S = 60.0
_RECEIVE_BYTES = 64 * 1024
_GRACE_S = 3.0
# The default clock of cProfile includes the time without the processor.
_PROFILED_RUN = """
import cProfile
import runpy
import sys
import time

profile = cProfile.Profile(time.process_time)
path = sys.argv.pop()
try:
    profile.runcall(
        runpy.run_module, 'gypsumhall.cli.fleet', run_name='__main__'
    )
finally:
    profile.dump_stats(path)
"""
_LENGTH = re.compile(rb'\r\ncontent-length: *([0-9]+)', re.IGNORECASE)
_REQUEST_ID = re.compile(
    rb'\r\ngypsumhall-request-id: *([^\r]*)', re.IGNORECASE
)


class _Connection:
    """Reads HTTP messages that have a length or no body."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self._received = b''

    async def read_head(self) -> bytes:
        """Return the head and drop the body; empty at the end."""
        while b'\r\n\r\n' not in self._received:
            data = await self.stream.receive_some(_RECEIVE_BYTES)
            if not data:
                return b''
            self._received += data
        head, _, rest = self._received.partition(b'\r\n\r\n')
        found = _LENGTH.search(head)
        remaining = int(found[1]) if found else 0
        while len(rest) < remaining:
            data = await self.stream.receive_some(_RECEIVE_BYTES)
            if not data:
                return b''
            rest += data
        self._received = rest[remaining:]
        return head


class _Vm:
    """A daemon and the backend server beside it."""

    def __init__(
        self, index: int, network: int, root: Path, directory: Path
    ) -> None:
        self.zone = f'zone-{index % _ZONES}'
        self.ip = f'127.{network}.{index % _ZONES + 1}.{index + 2}'
        self.network = network
        self.name = f'vm-{network}-{index}'
        self.start_s = 0.0
        self._root = root
        self._directory = directory
        self._process: trio.Process | None = None

    @property
    def processor_time_s(self) -> float:
        """Processor time of the daemon so far."""
        assert self._process is not None
        with open(f'/proc/{self._process.pid}/stat') as file:
            fields = file.read().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    async def start(self) -> None:
        """Start the daemon and wait until it is ready."""
        settings = {
            'id': self.name,
            'zone': self.zone,
            'ip': self.ip,
            'outbound_address': f'{self.ip}:8629',
            'ready_address': f'{self.ip}:8625',
            'control_address': f'{self.ip}:8620',
            'backend_address': f'{self.ip}:8628',
            'service': 'search',
            'platform': f'127.{self.network}.0.1:8627',
            'grace': f'{_GRACE_S}s',
        }
        environment = {
            f'GYPSUMHALL_{name.upper()}': value
            for name, value in settings.items()
        }
        command = [sys.executable, '-m', 'gypsumhall.cli.fleet']
        if _PROFILES.value:
            profile = Path(_PROFILES.value) / f'{self.name}.prof'
            command = [sys.executable, '-c', _PROFILED_RUN, str(profile)]
        with (self._directory / f'{self.name}.log').open('ab') as log:
            self._process = await trio.lowlevel.open_process(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | environment,
                cwd=self._root,
            )
        with trio.fail_after(_START_TIMEOUT_S):
            while await self._probe() != 200:  # noqa: ASYNC110
                await trio.sleep(0.1)
        self.start_s = self.processor_time_s

    async def probe_repeatedly(self) -> None:
        """Send a readiness probe every second."""
        while True:
            await trio.sleep(1.0)
            await self._probe()

    async def stop(self) -> None:
        """Stop the daemon."""
        if self._process is None:
            return
        self._process.send_signal(signal.SIGTERM)
        with trio.move_on_after(2 * _GRACE_S):
            await self._process.wait()
            return
        self._process.kill()
        await self._process.wait()

    async def serve_backend(
        self, *, task_status: trio.TaskStatus[None]
    ) -> None:
        """Serve as backend server and send heartbeats."""
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(8628, host=self.ip)
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            task_status.started()
            born_ms = int(time.time() * 1000)
            sequence = 0
            while True:
                sequence += 1
                await self._send_heartbeat(born_ms, sequence)
                await trio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _probe(self) -> int:
        try:
            stream = await trio.open_tcp_stream(self.ip, 8625)
        except OSError:
            return 0
        async with stream:
            await stream.send_all(
                b'GET /v1/readyz HTTP/1.1\r\nHost: daemon\r\n\r\n'
            )
            head = await _Connection(stream).read_head()
            return int(head.split(b' ')[1]) if head else 0

    async def _send_heartbeat(self, born_ms: int, sequence: int) -> None:
        body = json.dumps(
            {
                'addr': f'{self.ip}:8628',
                'born': born_ms,
                'info': {
                    'service': 'search',
                    'version': 'v1',
                    'zone': self.zone,
                    'slots': _SLOTS,
                },
                'status': {
                    'state': 'ready',
                    'seq': sequence,
                    'warmupLeftMs': 0,
                },
            }
        ).encode()
        head = (
            f'PUT /v1/instances/i-{self.name} HTTP/1.1\r\n'
            f'Host: {self.ip}:8620\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        try:
            stream = await trio.open_tcp_stream(self.ip, 8620)
        except OSError:
            return
        async with stream:
            await stream.send_all(head.encode() + body)
            await _Connection(stream).read_head()

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = _Connection(stream)
        body = bytes(_BODY_BYTES.value)
        async with stream:
            try:
                while head := await connection.read_head():
                    found = _REQUEST_ID.search(head)
                    content = b''
                    if found:
                        await trio.sleep(_WORK_S)
                        content = body
                    await stream.send_all(
                        b'HTTP/1.1 200 OK\r\n'
                        b'Gypsumhall-Instance-Id: i-%s\r\n'
                        b'Gypsumhall-Request-Id: %s\r\n'
                        b'Gypsumhall-Response-Signature: %s\r\n'
                        b'Content-Length: %d\r\n\r\n'
                        % (
                            self.name.encode(),
                            found[1] if found else b'',
                            b's' * 32,
                            len(content),
                        )
                        + content
                    )
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass


class _Fleet:
    """Daemons of one checkout."""

    def __init__(
        self, name: str, network: int, root: Path, directory: Path
    ) -> None:
        self.name = name
        self.network = network
        self.statuses: dict[int, int] = {}
        self.latencies_s: list[float] = []
        self.vms = [
            _Vm(index, network, root, directory)
            for index in range(_DAEMONS.value)
        ]
        self._idle: list[tuple[_Vm, _Connection]] = []

    @property
    def processor_time_s(self) -> float:
        """Processor time of all daemons so far."""
        return sum(vm.processor_time_s for vm in self.vms)

    async def serve_store(self, *, task_status: trio.TaskStatus[str]) -> None:
        """Serve the store with a configuration."""
        store = MemoryStore()
        await store.txn([], [Put('op/config', _build_configuration())])
        await _http_server.serve(
            KvApp(store),
            server_settings(),
            f'127.{self.network}.0.1:8627',
            trio.Event(),
            task_status=task_status,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start store, daemons and backend servers."""
        await nursery.start(self.serve_store)
        async with trio.open_nursery() as starts:
            for vm in self.vms:
                starts.start_soon(vm.start)
        for vm in self.vms:
            await nursery.start(vm.serve_backend)
            nursery.start_soon(vm.probe_repeatedly)

    async def call(self, vm: _Vm, number: int) -> None:
        """Send one call to a daemon and record its result."""
        started = trio.current_time()
        idle = [item for item in self._idle if item[0] is vm]
        if idle:
            self._idle.remove(idle[-1])
            connection = idle[-1][1]
        else:
            connection = _Connection(await trio.open_tcp_stream(vm.ip, 8629))
        await connection.stream.send_all(_build_request(number))
        head = await connection.read_head()
        status = int(head.split(b' ')[1]) if head else 0
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.latencies_s.append(trio.current_time() - started)
        if status:
            self._idle.append((vm, connection))


def _build_request(number: int) -> bytes:
    fields = [
        'Host: search.example',
        f'Gypsumhall-Request-Id: {number:032x}',
        'Gypsumhall-Timeout-Ms: 2000',
        'Accept: */*',
        'User-Agent: bench/1.0',
        'Content-Type: application/octet-stream',
    ]
    method = 'GET'
    if _UPLOAD_BYTES.value:
        method = 'POST'
        fields.append(f'Content-Length: {_UPLOAD_BYTES.value}')
    lines = [f'{method} /r0/items?number={number} HTTP/1.1', *fields]
    head = '\r\n'.join([*lines, '', '']).encode()
    return head + bytes(_UPLOAD_BYTES.value)


def _build_configuration() -> bytes:
    resources: list[dict[str, Any]] = [
        {
            'entryType': 'services',
            'metadata': {'name': 'search'},
            'spec': {'healthPath': '/healthz'},
        }
    ]
    for number in range(_ROUTES.value):
        spec = {
            'host': 'search.example',
            'prefix': f'/r{number}/',
            'type': 'idempotent',
            'timeoutMs': 2000,
            'sloMs': 500,
            'service': 'search',
        }
        resources.append(
            {
                'entryType': 'routes',
                'metadata': {'name': f'r{number}'},
                'spec': spec,
            }
        )
    return json.dumps({'version': '1', 'resources': resources}).encode()


async def _load(fleets: Sequence[_Fleet]) -> None:
    """Send the same calls to all fleets."""
    rng = Random(_SEED.value)  # noqa: S311
    end = trio.current_time() + _SECONDS.value
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            number += 1
            index = rng.randrange(_DAEMONS.value)
            for fleet in fleets:
                nursery.start_soon(fleet.call, fleet.vms[index], number)
            await trio.sleep(rng.expovariate(_RATE.value))


async def _measure(
    checkouts: Sequence[tuple[str, Path]], directory: Path
) -> dict[str, dict[str, Any]]:
    networks = _find_free_networks(len(checkouts))
    fleets = [
        _Fleet(name, network, root, directory)
        for network, (name, root) in zip(networks, checkouts, strict=True)
    ]
    reports: dict[str, dict[str, Any]] = {}
    async with AsyncExitStack() as stack:
        nursery = await stack.enter_async_context(trio.open_nursery())
        for fleet in fleets:
            for vm in fleet.vms:
                stack.push_async_callback(_stop, vm)
        async with trio.open_nursery() as starts:
            for fleet in fleets:
                starts.start_soon(fleet.start, nursery)
        await trio.sleep(_SETTLING_S)
        before = [fleet.processor_time_s for fleet in fleets]
        started = trio.current_time()
        await trio.sleep(_IDLE_SECONDS.value)
        elapsed_s = trio.current_time() - started
        idle = [
            (fleet.processor_time_s - spent) / elapsed_s
            for fleet, spent in zip(fleets, before, strict=True)
        ]
        before = [fleet.processor_time_s for fleet in fleets]
        started = trio.current_time()
        await _load(fleets)
        elapsed_s = trio.current_time() - started
        for fleet, spent, share in zip(fleets, before, idle, strict=True):
            used_s = fleet.processor_time_s - spent
            calls = sum(fleet.statuses.values())
            quantiles = statistics.quantiles(fleet.latencies_s, n=100)
            reports[fleet.name] = {
                'start_ms': round(
                    1000 * statistics.mean(vm.start_s for vm in fleet.vms)
                ),
                'idle_ms_per_s': round(1000 * share / len(fleet.vms), 2),
                'call_ms': round(
                    1000 * (used_s - share * elapsed_s) / calls, 3
                ),
                'statuses': fleet.statuses,
                'p50_ms': round(1000 * quantiles[49], 1),
                'p99_ms': round(1000 * quantiles[98], 1),
            }
        nursery.cancel_scope.cancel()
    return reports


def _find_free_networks(count: int) -> list[int]:
    """Return second octets of loopback networks that no fleet uses."""
    found = []
    for offset in range(_NETWORKS):
        network = _FIRST_NETWORK + (os.getpid() + offset) % _NETWORKS
        with socket.socket() as probe:
            try:
                probe.bind((f'127.{network}.0.1', 8627))
            except OSError:
                continue
        found.append(network)
        if len(found) == count:
            return found
    raise app.UsageError('no free loopback network')


async def _stop(vm: _Vm) -> None:
    with trio.CancelScope(shield=True):
        await vm.stop()


@contextmanager
def _checkout(version: str) -> Iterator[Path]:
    """Provide the code of a directory or commit, compiled as deployed."""
    with tempfile.TemporaryDirectory(prefix='gypsumhall-') as name:
        root = Path(name)
        if Path(version).is_dir():
            ignore = shutil.ignore_patterns('__pycache__')
            for part in ('gypsumhall', 'deploy'):
                shutil.copytree(
                    Path(version) / part, root / part, ignore=ignore
                )
        else:
            archive = subprocess.run(
                ['git', 'archive', version, 'gypsumhall', 'deploy'],
                cwd=_ROOT,
                check=True,
                capture_output=True,
            ).stdout
            subprocess.run(
                ['tar', '-x', '-C', name], input=archive, check=True
            )
        build = (root / 'deploy' / 'system.toml').read_text().split('\n')[0]
        found = re.search(r'-m (compileall [^|]*)', build)
        if found:
            subprocess.run(
                [sys.executable, '-m', *found[1].split()],
                cwd=root,
                check=True,
            )
        yield root


def _main(argv: Sequence[str]) -> None:
    versions = {'now': str(_ROOT)}
    if _BEFORE.value:
        versions = {'before': _BEFORE.value, **versions}
    with ExitStack() as stack:
        directory = stack.enter_context(
            tempfile.TemporaryDirectory(prefix='gypsumhall-')
        )
        checkouts = [
            (name, stack.enter_context(_checkout(version)))
            for name, version in versions.items()
        ]
        reports = trio.run(_measure, checkouts, Path(directory))
    print(
        json.dumps(
            {**reports, 'load_average': round(os.getloadavg()[0], 1)}, indent=2
        )
    )


if __name__ == '__main__':
    app.run(_main)
