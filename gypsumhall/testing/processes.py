"""A fleet of real processes on loopback addresses.

Used by the demonstration, the scenarios and the benchmarks. Every VM has its
own address in 127.0.0.0/8, so that several fleets can run at the same time.
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
# Port on which a daemon behind a relay listens for other daemons; the relay
# listens on the usual peer port.
RELAYED_PEER_PORT = 7101
SHARED_KEY = 'key-of-the-test-fleet'

# Range of the second octet of loopback addresses; each fleet uses one.
_FIRST_SECOND_OCTET = 10
_SECOND_OCTET_END = 250
_POLL_INTERVAL_S = 0.05
# Third octets per block of 250 VMs, one for each zone.
_OCTETS_PER_BLOCK = 32


class ProcessError(Exception):
    """A process of the fleet exited or did not respond in time."""


@dataclass(slots=True, frozen=True)
class Vm:
    """A VM with a daemon and at most one backend server.

    Parameters
    ----------
    name : str
        Unique name, which is also the id of the daemon.
    zone : str
        Availability zone.
    ip : str
        Loopback address.
    service, version : str
        Service and version of the backend server; empty for no backend
        server.
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
class _FleetProcess:
    process: trio.Process
    log: Path
    is_suspended: bool = False


@dataclass(slots=True)
class Fleet:
    """Processes of one platform stand-in and of a number of VMs.

    Create it with `open_fleet`, which kills all processes at the end.

    Parameters
    ----------
    directory : Path
        Directory to which the processes write their logs.
    second_octet : int
        Second octet of all loopback addresses.
    zones : tuple of str
        Availability zones.
    vms : dict of str to Vm
        VMs by name.
    network_faults : NetworkFaults or None
        Network faults between zones and between a zone and the platform;
        None for a fleet without relays.
    """

    directory: Path
    second_octet: int
    zones: tuple[str, ...]
    vms: dict[str, Vm] = field(default_factory=dict)
    network_faults: NetworkFaults | None = None
    _nursery: trio.Nursery | None = None
    _processes: dict[str, _FleetProcess] = field(default_factory=dict)
    # A process may close an idle connection at any time, in particular after
    # it was suspended, so connections are not reused.
    _http: httpcore.AsyncConnectionPool = field(
        default_factory=lambda: httpcore.AsyncConnectionPool(
            max_keepalive_connections=0
        )
    )

    @property
    def platform_address(self) -> str:
        """Address of the platform stand-in."""
        return f'127.{self.second_octet}.0.1:{PLATFORM_PORT}'

    @property
    def event_logs(self) -> list[Path]:
        """Event logs of all daemons."""
        return sorted(self.directory.glob('*.events'))

    def add_vm(
        self, name: str, zone: str, service: str = '', version: str = ''
    ) -> Vm:
        """Add a VM; its processes are started separately."""
        fourth_octet = len(self.vms) % 250 + 2
        block = len(self.vms) // 250
        third_octet = self.zones.index(zone) + 1 + _OCTETS_PER_BLOCK * block
        ip = f'127.{self.second_octet}.{third_octet}.{fourth_octet}'
        vm = Vm(name, zone, ip, service, version)
        self.vms[name] = vm
        return vm

    def is_running(self, name: str) -> bool:
        """Whether a process was started and has not exited."""
        entry = self._processes.get(name)
        return entry is not None and entry.process.poll() is None

    def pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._processes[name].process.pid

    def log_tail(self, name: str, lines: int = 20) -> str:
        """Return the last lines of a process's output."""
        text = self._processes[name].log.read_text(errors='replace')
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
        """Start a VM's daemon without waiting until it listens."""
        seeds = [
            other.peer_address
            for other in list(self.vms.values())[:3]
            if other is not vm
        ]
        listen_address = vm.peer_address
        platform = self.platform_address
        if self.network_faults is not None:
            listen_address = f'{vm.ip}:{RELAYED_PEER_PORT}'
            platform = self._zone_gateway(vm.zone)
        await self._start(
            vm.name,
            'gypsumhall.cli.daemon',
            {
                'id': vm.name,
                'zone': vm.zone,
                'zones': ','.join(self.zones),
                'caller_address': vm.caller_address,
                'peer_address': listen_address,
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
        """Start relays for the platform and for all VMs added so far."""
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
        """Return the zone of an IP address of the fleet."""
        third_octet = int(ip.split('.')[2]) % _OCTETS_PER_BLOCK
        return self.zones[third_octet - 1]

    def _zone_gateway(self, zone: str) -> str:
        third_octet = self.zones.index(zone) + 1
        return f'127.{self.second_octet}.{third_octet}.1:{PLATFORM_PORT}'

    async def start_backend(
        self, vm: Vm, flags: Mapping[str, str] | None = None
    ) -> None:
        """Start a VM's backend server without waiting until it listens."""
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
        """Run a module as a process and return its exit status and output."""
        return await trio.run_process(
            [sys.executable, '-m', module, *arguments],
            env=os.environ | (environment or {}),
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        entry = self._processes[name]
        if number is signal.SIGSTOP:
            entry.is_suspended = True
        elif number is signal.SIGCONT:
            entry.is_suspended = False
        entry.process.send_signal(number)

    async def wait_exit(self, name: str, timeout_s: float = 60.0) -> int:
        """Wait until a process exits and return its exit status."""
        with trio.move_on_after(timeout_s):
            return await self._processes[name].process.wait()
        raise ProcessError(f'{name} did not exit within {timeout_s} s')

    async def wait_listening(
        self, address: str, name: str, timeout_s: float = 60.0
    ) -> None:
        """Wait until a process accepts connections at an address."""
        host, _, port = address.rpartition(':')
        with trio.move_on_after(timeout_s):
            while True:
                self._raise_if_exited(name)
                try:
                    stream = await trio.open_tcp_stream(host, int(port))
                except OSError:
                    await trio.sleep(_POLL_INTERVAL_S)
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
            When no response was received.
        """
        timeouts = dict.fromkeys(('connect', 'read', 'write'), timeout_s)
        response = await self._http.request(
            method,
            f'http://{address}{path}',
            headers={'Host': address, **(headers or {})},
            content=body,
            extensions={'timeout': timeouts},
        )
        response_headers = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        return response.status, response_headers, response.content

    async def status(self, vm: Vm) -> dict[str, Any]:
        """Return the status that a daemon reports to operators."""
        _status, _headers, body = await self.request(
            vm.admin_address, '/v1/operator/status'
        )
        report: dict[str, Any] = json.loads(body)
        return report

    async def set_faults(self, address: str, faults: object) -> None:
        """Set the injected faults of a stand-in."""
        status, _headers, body = await self.request(
            address,
            '/faults',
            method='POST',
            headers={'Content-Type': 'application/json'},
            body=json.dumps(faults).encode(),
        )
        if status >= 300:
            raise ProcessError(
                f'{address} rejected the fault settings: {body!r}'
            )

    async def close(self) -> None:
        """Kill all processes of the fleet that are still running."""
        for entry in self._processes.values():
            if entry.process.poll() is None:
                entry.process.kill()
        for entry in self._processes.values():
            await entry.process.wait()
        await self._http.aclose()

    def _raise_if_exited(self, name: str) -> None:
        entry = self._processes[name]
        status = entry.process.poll()
        if status is not None:
            raise ProcessError(
                f'{name} exited with status {status}:\n' + self.log_tail(name)
            )

    async def _start(
        self,
        name: str,
        module: str,
        flags: Mapping[str, str],
        environment: dict[str, str] | None = None,
    ) -> None:
        if self.is_running(name):
            raise ProcessError(f'{name} is already running')
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
        self._processes[name] = _FleetProcess(process, log)


def backend_name(vm: str) -> str:
    """Return the name of the process of a VM's backend server."""
    return f'{vm}.backend'


def _find_free_network() -> int:
    """Return the second octet of a loopback network that no fleet uses.

    The address of the platform serves as a lock, since only one process can
    bind it.
    """
    octet_count = _SECOND_OCTET_END - _FIRST_SECOND_OCTET
    first = os.getpid() % octet_count
    for offset in range(octet_count):
        second_octet = _FIRST_SECOND_OCTET + (first + offset) % octet_count
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f'127.{second_octet}.0.1', PLATFORM_PORT))
            except OSError:
                continue
            return second_octet
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
        Whether daemons listen behind relays, so that zones can be
        partitioned; the caller then calls `start_relays`.
    """
    with tempfile.TemporaryDirectory(prefix='gypsumhall-') as name:
        fleet = Fleet(Path(name), _find_free_network(), tuple(zones))
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
