"""Daemons as separate processes on loopback addresses."""

from __future__ import annotations

from contextlib import suppress
import os
from pathlib import Path
import re
import signal
import socket
import subprocess
import sys
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from soak._checks import Checks

GRACE_S = 6.0

_ROOT = Path(__file__).parents[1]
_PEER_PORT = 7600
_LISTEN_PORT = 7601
_CONTROL_PORT = 8620
_READY_PORT = 8625
_STORE_PORT = 8627
_BACKEND_PORT = 8628
_OUTBOUND_PORT = 8629
_LOCK_PORT = 8630
_FIRST_OCTET = 10
_END_OCTET = 250
_PROBE_INTERVAL_S = 0.25
_PROBE_TIMEOUT_S = 1.0


class Vm:
    """Addresses of a VM.

    Parameters
    ----------
    index : int
        Number of the VM.
    network : int
        Second octet of its address.
    zones : int
        Number of availability zones.
    service : str
        Service of its endpoint.
    """

    __slots__ = ('index', 'ip', 'network', 'service', 'zone')

    def __init__(
        self, index: int, network: int, zones: int, service: str
    ) -> None:
        self.index = index
        self.network = network
        self.zone = f'zone-{index % zones + 1}'
        self.ip = f'127.{network}.{index % zones + 1}.{index + 2}'
        self.service = service

    @property
    def peer_address(self) -> str:
        """Address that other daemons connect to; that of a relay."""
        return f'{self.ip}:{_PEER_PORT}'

    @property
    def listen_address(self) -> str:
        """Address at which the daemon listens for other daemons."""
        return f'{self.ip}:{_LISTEN_PORT}'

    @property
    def control_address(self) -> str:
        """Address for the heartbeats of the endpoint."""
        return f'{self.ip}:{_CONTROL_PORT}'

    @property
    def backend_address(self) -> str:
        """Address of the endpoint."""
        return f'{self.ip}:{_BACKEND_PORT}'

    @property
    def outbound_address(self) -> str:
        """Address for callers."""
        return f'{self.ip}:{_OUTBOUND_PORT}'

    @property
    def ready_address(self) -> str:
        """Address for readiness probes."""
        return f'{self.ip}:{_READY_PORT}'


class Daemon:
    """A daemon that is stopped and started again.

    Parameters
    ----------
    vm : Vm
        Its VM.
    directory : Path
        Directory of its log.
    checks : Checks
        Receives ends that nobody asked for.
    relayed : bool
        Whether other daemons connect through a relay.

    Attributes
    ----------
    starts : int
        Number of processes started so far.
    ready_since : float or None
        Time since which the readiness probe succeeds.
    terminated_at : float or None
        Time of the first SIGTERM of the current process.
    admits_callers : bool
        Whether the last two readiness probes did not both fail.
    """

    def __init__(
        self, vm: Vm, directory: Path, checks: Checks, *, relayed: bool
    ) -> None:
        self.vm = vm
        self._peer_port = _LISTEN_PORT if relayed else _PEER_PORT
        self.starts = 0
        self.ready_since: float | None = None
        self.terminated_at: float | None = None
        self.admits_callers = False
        self.listened = False
        self._killed = False
        self._log = directory / f'daemon-{vm.index}.log'
        self._checks = checks
        self._process: trio.Process | None = None

    @property
    def pid(self) -> int | None:
        """Id of the running process."""
        if self._process is None or self._process.poll() is not None:
            return None
        return self._process.pid

    async def start(self) -> None:
        """Start the process; the previous one has ended."""
        vm = self.vm
        settings = {
            'id': f'vm-{vm.index}',
            'zone': vm.zone,
            'ip': vm.ip,
            'peer_port': str(self._peer_port),
            'advertised_peer_address': vm.peer_address,
            'outbound_address': vm.outbound_address,
            'ready_address': vm.ready_address,
            'control_address': vm.control_address,
            'backend_address': vm.backend_address,
            'service': vm.service,
            'platform': store_address(vm.network),
            'grace': f'{GRACE_S}s',
        }
        environment = {
            f'GYPSUMHALL_{name.upper()}': value
            for name, value in settings.items()
        }
        # Probes that have begun tell nothing about the new process.
        self.starts += 1
        self.ready_since = self.terminated_at = None
        self.admits_callers = self.listened = self._killed = False
        with self._log.open('ab') as file:
            self._process = await trio.lowlevel.open_process(
                [sys.executable, '-m', 'gypsumhall.cli.fleet'],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                env=os.environ | environment,
                cwd=_ROOT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it has not ended."""
        if self._process is None or self._process.poll() is not None:
            return
        if number is signal.SIGTERM and self.terminated_at is None:
            self.terminated_at = trio.current_time()
        if number is signal.SIGKILL:
            self._killed = True
        self._process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> bool:
        """Wait until the process has ended; return whether it did."""
        with trio.move_on_after(timeout_s):
            if self._process is not None:
                await self._process.wait()
            return True
        return False

    def check_alive(self) -> None:
        """Report a process that ended although nobody asked for it."""
        if self._process is None or self._killed:
            return
        status = self._process.poll()
        if status is None or status == 0 and self.terminated_at is not None:
            return
        # The process handles SIGTERM from its start, after the imports.
        if status == -signal.SIGTERM and not self.listened:
            return
        self._killed = True
        self._checks.report(
            'ended by itself',
            f'daemon {self.vm.index}: status {status} {self._last_error()}',
        )

    def _last_error(self) -> str:
        """Return the last exception in the log, if there is one."""
        text = self._log.read_text(errors='replace')
        errors = re.findall(r'^[ |]*(\w+Error: .*)$', text, re.M)
        return str(errors[-1]) if errors else ''

    async def probe(self) -> None:
        """Probe readiness until cancelled, as the platform does."""
        failures = 0
        while True:
            starts = self.starts
            status = await self._probe_once()
            if starts == self.starts:
                self.listened |= status is not None
                if status == 200 and self.terminated_at is None:
                    self.ready_since = self.ready_since or trio.current_time()
                else:
                    self.ready_since = None
            failures = 0 if status == 200 else failures + 1
            self.admits_callers = failures < 2
            delay_s = _PROBE_TIMEOUT_S if self.ready_since else 0.0
            await trio.sleep(max(delay_s, _PROBE_INTERVAL_S))

    async def _probe_once(self) -> int | None:
        """Return the status of the readiness probe; None for no response."""
        request = b'GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n'
        host, _, port = self.vm.ready_address.rpartition(':')
        with (
            trio.move_on_after(_PROBE_TIMEOUT_S),
            suppress(OSError, trio.BrokenResourceError),
        ):
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(request)
                data = await stream.receive_some(64)
                if data.startswith(b'HTTP/1.1 '):
                    return int(data[9:12])
        return None

    async def kill(self) -> None:
        """End the process at once, also one that is suspended."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.kill()
            await self._process.wait()


def store_address(network: int) -> str:
    """Return the address of the store's stand-in."""
    return f'127.{network}.0.1:{_STORE_PORT}'


def reserve_network() -> tuple[int, socket.socket]:
    """Find a loopback network that no other run uses.

    Returns
    -------
    tuple of int and socket
        Second octet of its addresses, and the socket that reserves it.
    """
    count = _END_OCTET - _FIRST_OCTET
    for offset in range(count):
        octet = _FIRST_OCTET + (os.getpid() + offset) % count
        lock = socket.socket()
        try:
            lock.bind((f'127.{octet}.0.1', _LOCK_PORT))
            lock.listen()
        except OSError:
            lock.close()
            continue
        return octet, lock
    raise OSError('all loopback networks from 127.10 to 127.249 are in use')
