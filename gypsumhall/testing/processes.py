"""A fleet of real processes on loopback addresses.

Used by the demonstration, the scenarios and the benchmarks. Every VM has an
address of its own in 127.0.0.0/8, so that many fleets can run side by side.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
import json
import os
from pathlib import Path
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any
from typing import TYPE_CHECKING

import httpcore
import trio

from gypsumhall.testing.relay import NetworkFaults
from gypsumhall.testing.relay import Relay

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping
    from collections.abc import Sequence

CALLER_PORT = 7000
PEER_PORT = 7001
ADMIN_PORT = 7002
BACKEND_PORT = 8000
PLATFORM_PORT = 2379
# Behind a relay, a daemon listens here for other daemons.
RELAYED_PEER_PORT = 7101
SHARED_KEY = 'key-of-the-test-fleet'

_FIRST_NETWORK = 10
_LAST_NETWORK = 250
_POLL_S = 0.05
_NETWORKS_PER_ROUND = 32


class ProcessError(Exception):
    """A process of the fleet ended or did not respond in time."""


@dataclass(slots=True, frozen=True)
class Vm:
    """A VM with a daemon and at most one backend server.

    Parameters
    ----------
    name : str
        Unique name; also the id of the daemon.
    zone : str
        Availability zone.
    ip : str
        Loopback address.
    service, version : str
        What the backend server runs; empty for no backend server.
    """

    name: str
    zone: str
    ip: str
    service: str = ''
    version: str = ''

    @property
    def caller_address(self) -> str:
        """Address for callers."""
        return f'{self.ip}:{CALLER_PORT}'

    @property
    def peer_address(self) -> str:
        """Address for other daemons."""
        return f'{self.ip}:{PEER_PORT}'

    @property
    def admin_address(self) -> str:
        """Address for operators and the backend server."""
        return f'{self.ip}:{ADMIN_PORT}'

    @property
    def backend_address(self) -> str:
        """Address of the backend server."""
        return f'{self.ip}:{BACKEND_PORT}'


@dataclass(slots=True)
class _Running:
    process: trio.Process
    log: Path
    frozen: bool = False


@dataclass(slots=True)
class Fleet:
    """Processes of one platform stand-in and many VMs.

    Use `open_fleet`; it ends all processes.

    Parameters
    ----------
    directory : Path
        Where the processes write their logs.
    network : int
        Second number of all loopback addresses.
    zones : tuple of str
        Availability zones.
    vms : dict of str to Vm
        VMs by name.
    links : Network or None
        Faults of the network between zones and platform, for a fleet with
        relays.
    """

    directory: Path
    network: int
    zones: tuple[str, ...]
    vms: dict[str, Vm] = field(default_factory=dict)
    network_faults: NetworkFaults | None = None
    _nursery: trio.Nursery | None = None
    _running: dict[str, _Running] = field(default_factory=dict)
    # A process may close an idle connection at any time, above all one that
    # was frozen, so no connection is used twice.
    _http: httpcore.AsyncConnectionPool = field(
        default_factory=lambda: httpcore.AsyncConnectionPool(
            max_keepalive_connections=0
        )
    )

    @property
    def platform_address(self) -> str:
        """Address of the platform stand-in."""
        return f'127.{self.network}.0.1:{PLATFORM_PORT}'

    @property
    def event_logs(self) -> list[Path]:
        """Event logs of all daemons."""
        return sorted(self.directory.glob('*.events'))

    def add_vm(
        self, name: str, zone: str, service: str = '', version: str = ''
    ) -> Vm:
        """Add a VM; start its processes with `start_daemon`."""
        host = len(self.vms) % 250 + 2
        rounds = len(self.vms) // 250
        third = self.zones.index(zone) + 1 + _NETWORKS_PER_ROUND * rounds
        ip = f'127.{self.network}.{third}.{host}'
        vm = Vm(name, zone, ip, service, version)
        self.vms[name] = vm
        return vm

    def is_running(self, name: str) -> bool:
        """Whether a process was started and has not ended."""
        running = self._running.get(name)
        return running is not None and running.process.poll() is None

    def pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._running[name].process.pid

    def log_tail(self, name: str, lines: int = 20) -> str:
        """Return the last lines of a process's output."""
        text = self._running[name].log.read_text(errors='replace')
        return '\n'.join(text.splitlines()[-lines:])

    async def start_platform(self) -> None:
        """Start the platform stand-in."""
        await self._start(
            'platform',
            'gypsumhall.cli.platform',
            {'platform_address': self.platform_address},
        )
        await self.wait_listening(self.platform_address, 'platform')

    async def start_daemon(
        self, vm: Vm, flags: Mapping[str, str] | None = None
    ) -> None:
        """Start a VM's daemon without waiting for it."""
        seeds = [
            other.peer_address
            for other in list(self.vms.values())[:3]
            if other is not vm
        ]
        listener = vm.peer_address
        platform = self.platform_address
        if self.network_faults is not None:
            listener = f'{vm.ip}:{RELAYED_PEER_PORT}'
            platform = self._zone_gateway(vm.zone)
        await self._start(
            vm.name,
            'gypsumhall.cli.daemon',
            {
                'id': vm.name,
                'zone': vm.zone,
                'zones': ','.join(self.zones),
                'caller_address': vm.caller_address,
                'peer_address': listener,
                'advertised_peer_address': vm.peer_address,
                'admin_address': vm.admin_address,
                'platform': platform,
                'seeds': ','.join(seeds),
                'event_log': str(self.directory / f'{vm.name}.events'),
                **(flags or {}),
            },
            {'GYPSUMHALL_PEER_KEYS': SHARED_KEY},
        )

    async def start_relays(self) -> None:
        """Put relays in front of the platform and of all VMs added so far."""
        if self.network_faults is None or self._nursery is None:
            raise ProcessError('the fleet was opened without relays')
        for zone in self.zones:
            relay = Relay(
                self.network_faults,
                'platform',
                self.platform_address,
                source_zone=zone,
            )
            await self._nursery.start(relay.serve, self._zone_gateway(zone))
        for vm in self.vms.values():
            relay = Relay(
                self.network_faults, vm.zone, f'{vm.ip}:{RELAYED_PEER_PORT}'
            )
            await self._nursery.start(relay.serve, vm.peer_address)

    def zone_of(self, ip: str) -> str:
        """Return the zone of an IP number of the fleet."""
        third = int(ip.split('.')[2]) % _NETWORKS_PER_ROUND
        return self.zones[third - 1]

    def _zone_gateway(self, zone: str) -> str:
        third = self.zones.index(zone) + 1
        return f'127.{self.network}.{third}.1:{PLATFORM_PORT}'

    async def start_backend(
        self, vm: Vm, flags: Mapping[str, str] | None = None
    ) -> None:
        """Start a VM's backend server without waiting for it."""
        await self._start(
            backend_name(vm.name),
            'gypsumhall.cli.backend',
            {
                'service': vm.service,
                'service_version': vm.version,
                'address': vm.backend_address,
                'announce': vm.admin_address,
                **(flags or {}),
            },
        )

    async def run_binary(
        self,
        module: str,
        arguments: Sequence[str],
        environment: dict[str, str] | None = None,
    ) -> subprocess.CompletedProcess[bytes]:
        """Run a binary to its end and return its status and output."""
        return await trio.run_process(
            [sys.executable, '-m', module, *arguments],
            env=os.environ | (environment or {}),
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        running = self._running[name]
        if number is signal.SIGSTOP:
            running.frozen = True
        elif number is signal.SIGCONT:
            running.frozen = False
        running.process.send_signal(number)

    async def wait_exit(self, name: str, timeout_s: float = 60.0) -> int:
        """Wait for the end of a process and return its status."""
        with trio.move_on_after(timeout_s):
            return await self._running[name].process.wait()
        raise ProcessError(f'{name} did not end within {timeout_s} s')

    async def wait_listening(
        self, address: str, name: str, timeout_s: float = 60.0
    ) -> None:
        """Wait until a process accepts connections at an address."""
        host, _, port = address.rpartition(':')
        with trio.move_on_after(timeout_s):
            while True:
                self._check_running(name)
                try:
                    stream = await trio.open_tcp_stream(host, int(port))
                except OSError:
                    await trio.sleep(_POLL_S)
                    continue
                await stream.aclose()
                return
        raise ProcessError(
            f'{name} does not listen at {address} after {timeout_s} s:\n'
            + self.log_tail(name)
        )

    async def request(
        self,
        address: str,
        path: str,
        *,
        method: str = 'GET',
        headers: Mapping[bytes | str, bytes | str] | None = None,
        body: bytes = b'',
        timeout_s: float = 10.0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send an HTTP request; return status, headers and body.

        Raises
        ------
        httpcore.NetworkError, httpcore.TimeoutException
            When no response arrived.
        """
        limits = dict.fromkeys(('connect', 'read', 'write'), timeout_s)
        response = await self._http.request(
            method,
            f'http://{address}{path}',
            headers={'Host': address, **(headers or {})},
            content=body,
            extensions={'timeout': limits},
        )
        found = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        return response.status, found, response.content

    async def status(self, vm: Vm) -> dict[str, Any]:
        """Return the status that a daemon reports to operators."""
        _status, _headers, body = await self.request(
            vm.admin_address, '/v1/operator/status'
        )
        found: dict[str, Any] = json.loads(body)
        return found

    async def set_faults(self, address: str, faults: object) -> None:
        """Switch faults of a stand-in."""
        status, _headers, body = await self.request(
            address,
            '/faults',
            method='POST',
            headers={'Content-Type': 'application/json'},
            body=json.dumps(faults).encode(),
        )
        if status >= 300:
            raise ProcessError(f'{address} refused faults: {body!r}')

    async def close(self) -> None:
        """Kill all processes that still run, by their ids."""
        for running in self._running.values():
            if running.process.poll() is None:
                running.process.kill()
        for running in self._running.values():
            await running.process.wait()
        await self._http.aclose()

    def _check_running(self, name: str) -> None:
        running = self._running[name]
        status = running.process.poll()
        if status is not None:
            raise ProcessError(
                f'{name} ended with status {status}:\n' + self.log_tail(name)
            )

    async def _start(
        self,
        name: str,
        module: str,
        flags: Mapping[str, str],
        environment: dict[str, str] | None = None,
    ) -> None:
        if self.is_running(name):
            raise ProcessError(f'{name} runs already')
        log = self.directory / f'{name}.log'
        with log.open('ab') as file:
            process = await trio.lowlevel.open_process(
                [
                    sys.executable,
                    '-m',
                    module,
                    *(f'--{key}={value}' for key, value in flags.items()),
                ],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                env=os.environ | (environment or {}),
            )
        self._running[name] = _Running(process, log)


def backend_name(vm: str) -> str:
    """Return the name of the process of a VM's backend server."""
    return f'{vm}.backend'


def _free_network() -> int:
    """Return a loopback network that no other fleet uses.

    The platform's address is the lock: it can be bound once only.
    """
    span = _LAST_NETWORK - _FIRST_NETWORK
    first = os.getpid() % span
    for offset in range(span):
        network = _FIRST_NETWORK + (first + offset) % span
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f'127.{network}.0.1', PLATFORM_PORT))
            except OSError:
                continue
            return network
    raise ProcessError('no free loopback network')


@asynccontextmanager
async def open_fleet(
    zones: Sequence[str], *, relayed: bool = False
) -> AsyncIterator[Fleet]:
    """Provide a fleet with a running platform stand-in.

    Parameters
    ----------
    zones : sequence of str
        Availability zones.
    relayed : bool
        Whether `start_relays` will be called, so that zones can be cut off.
    """
    with tempfile.TemporaryDirectory(prefix='gypsumhall-') as name:
        fleet = Fleet(Path(name), _free_network(), tuple(zones))
        async with trio.open_nursery() as nursery:
            if relayed:
                fleet.network_faults = NetworkFaults(fleet.zone_of)
                fleet._nursery = nursery
            try:
                await fleet.start_platform()
                yield fleet
            finally:
                with trio.CancelScope(shield=True):
                    await fleet.close()
                nursery.cancel_scope.cancel()
