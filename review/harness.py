"""Stand-ins and processes for the cases of the independent review.

Only the standard library is used. The stand-ins behave as the pages of the
platform say: a metadata store, application endpoints and consumers.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from collections.abc import Coroutine
from contextlib import suppress
import json
import logging
import os
from pathlib import Path
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[1]
HOST = '127.0.0.1'
GRACE_S = 6
HEARTBEAT_S = 1.5
WATCH_STEP_S = 0.02
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be carried out."""


class Record:
    """Log of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._started = time.monotonic()

    def write(self, kind: str, text: str) -> None:
        """Write one line with the time since the start."""
        elapsed = time.monotonic() - self._started
        self._file.write(f'{elapsed:9.4f} {kind:<10} {text}\n')
        self._file.flush()


_reserved: list[socket.socket] = []


def free_port() -> int:
    """Return a free port of the loopback address."""
    sock = socket.socket()
    sock.bind((HOST, 0))
    port = int(sock.getsockname()[1])
    _reserved.append(sock)
    return port


def release_ports() -> None:
    """Let the processes bind the ports that were chosen."""
    for sock in _reserved:
        sock.close()
    _reserved.clear()


class Head:
    """First line and headers of a message, with its body if requested."""

    def __init__(self, line: str, headers: dict[str, str]) -> None:
        self.line = line
        self.headers = headers
        self.body = b''

    @property
    def parts(self) -> list[str]:
        """Words of the first line."""
        return self.line.split(' ', 2)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_request(reader: asyncio.StreamReader) -> Head | None:
    """Read a request with its body."""
    head = await read_head(reader)
    if head is not None:
        length = int(head.headers.get('content-length', '0'))
        try:
            head.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return head


def _close(writer: asyncio.StreamWriter) -> None:
    with suppress(RuntimeError):
        writer.close()


class Answer:
    """What a consumer has received."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.complete = False
        self.error = ''

    def __str__(self) -> str:
        text = f'status {self.status}, {len(self.body)} bytes of body, '
        text += 'complete' if self.complete else 'not complete'
        if self.status >= 400:
            text += f' {self.body[:300]!r}'
        return f'{text} {self.error}'.rstrip()


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection and read the whole answer."""
    answer = Answer()
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            if body or method in ('POST', 'PUT'):
                lines.append(f'content-length: {len(body)}')
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            await _read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            _close(writer)
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await read_head(reader)
    if head is None:
        answer.error = 'closed'
        return
    answer.status = int(head.parts[1])
    answer.headers = head.headers
    if head.headers.get('transfer-encoding') == 'chunked':
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.strip(), 16)
            data = await reader.readexactly(size + 2)
            answer.body += data[:size]
            if not size:
                answer.complete = True
                return
    length = int(head.headers.get('content-length', '0'))
    while len(answer.body) < length:
        data = await reader.read(length - len(answer.body))
        if not data:
            answer.error = 'closed'
            return
        answer.body += data
    answer.complete = True


class Store:
    """The platform's metadata store, in memory."""

    def __init__(self) -> None:
        self.address = f'{HOST}:{free_port()}'
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}

    async def serve(self) -> None:
        """Start to listen."""
        host, _, port = self.address.rpartition(':')
        await asyncio.start_server(self._serve_connection, host, int(port))

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item."""
        self.revision += 1
        self._set(key, value, lease)

    def _set(self, key: str, value: bytes, lease: int) -> None:
        old = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'createRev': old['createRev'] if old else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.events.append(
                {'key': key, 'revision': self.revision, 'tombstone': True}
            )

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v['lease'] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._delete(key)

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (_, until) in list(self.leases.items()):
            if until < now:
                self._end_lease(lease)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                status, body = await self._handle(request)
                data = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\ncontent-type: application/json'
                    f'\r\ncontent-length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        _close(writer)

    async def _handle(self, request: Head) -> tuple[int, dict[str, Any]]:
        self._expire()
        method, target, _ = request.parts
        path, _, query_text = target.partition('?')
        query = {k: v[0] for k, v in parse_qs(query_text).items()}
        body = json.loads(request.body) if request.body else {}
        if path == '/v1/kv-key':
            item = self.items.get(query.get('key', ''))
            if item is None:
                return 404, {'currentRev': self.revision}
            return 200, {**item, 'currentRev': self.revision}
        if path == '/v1/kv-range':
            return self._range(query)
        if path == '/v1/kv-watch':
            return await self._watch(query)
        if path == '/v1/kv-txn':
            return self._txn(body)
        return self._lease(method, path, body)

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        )
        items = [self.items[key] for key in keys[:500]]
        return 200, {
            'items': items,
            'hasMore': len(keys) > len(items),
            'currentRev': self.revision,
        }

    async def _watch(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        until = time.monotonic() + int(query['waitMs']) / 1000
        after, prefix = int(query['after']), query.get('prefix', '')
        while True:
            events = [
                item
                for item in self.events
                if item['revision'] > after and item['key'].startswith(prefix)
            ]
            if events or time.monotonic() >= until:
                return 200, {'events': events, 'currentRev': self.revision}
            await asyncio.sleep(WATCH_STEP_S)
            self._expire()

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get('precondition', []):
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return 412, {'items': [item] if item else []}
        puts = body.get('puts', [])
        if any(p.get('lease') and p['lease'] not in self.leases for p in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            value = base64.b64decode(put['value'])
            self._set(put['key'], value, put.get('lease', 0))
        for key in body.get('delete', []):
            self._delete(key)
        return 200, {'revision': self.revision}

    def _lease(
        self, method: str, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        now = time.monotonic()
        if path == '/v1/kv-lease' and method == 'POST':
            lease = 1000 + self.revision + len(self.leases)
            while lease in self.leases:
                lease += 1
            self.revision += 1
            ttl_s = body['ttlMs'] / 1000
            self.leases[lease] = (ttl_s, now + ttl_s)
            return 200, {'lease': lease, 'ttlMs': body['ttlMs']}
        name, _, number = path.rpartition('/')
        lease = int(number) if number.isdecimal() else 0
        if lease not in self.leases:
            return 404, {}
        if name == '/v1/kv-lease-end':
            self._end_lease(lease)
            return 200, {}
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, now + ttl_s)
        return 200, {'ttlMs': int(ttl_s * 1000)}


class Proxy:
    """Forwards connections to an address; open ones can go silent."""

    def __init__(self, target: str) -> None:
        self.address = f'{HOST}:{free_port()}'
        self._target = target
        self._forwarding: set[asyncio.Event] = set()

    async def serve(self) -> None:
        """Start to listen."""
        host, _, port = self.address.rpartition(':')
        await asyncio.start_server(self._serve_connection, host, int(port))

    def silence(self) -> int:
        """Forward nothing more on the open connections; return their number.

        They stay open, and new connections work.
        """
        silenced = len(self._forwarding)
        for silent in self._forwarding:
            silent.set()
        self._forwarding.clear()
        return silenced

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        silent = asyncio.Event()
        self._forwarding.add(silent)
        await asyncio.gather(
            self._forward(reader, far_writer, silent),
            self._forward(far_reader, writer, silent),
        )
        self._forwarding.discard(silent)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silent: asyncio.Event,
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(65536):
                if silent.is_set():
                    # Nothing more passes, not even the end.
                    await asyncio.Event().wait()
                writer.write(data)
        if not silent.is_set():
            _close(writer)


Handler = Callable[[Head, asyncio.StreamWriter], Coroutine[Any, Any, None]]


class Machine:
    """A machine: its daemon, and the endpoint beside it.

    Parameters
    ----------
    name, zone, service : str
        As in the settings of the platform.
    store : Store
        The platform's store.
    handler : callable
        Serves a request at the endpoint.
    record : Record
        Log of the case.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        service: str,
        store: Store,
        handler: Handler,
        record: Record,
        slots: int = 9,
    ) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.slots = slots
        self.instance = f'i-{name}'
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.backend = f'{HOST}:{free_port()}'
        self.outbound = f'{HOST}:{free_port()}'
        self.ready = f'{HOST}:{free_port()}'
        self.control = f'{HOST}:{free_port()}'
        self.peer_port = free_port()
        self.store_address = store.address
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._record = record
        self.process: subprocess.Popen[bytes] | None = None

    async def serve_endpoint(self) -> None:
        """Start the endpoint."""
        host, _, port = self.backend.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve_connection, host, int(port)
        )
        self._beats = asyncio.create_task(self._send_beats())

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                if request.parts[1] == '/healthz':
                    status = 200 if self.state == 'ready' else 503
                    writer.write(
                        f'HTTP/1.1 {status} X\r\ngypsumhall-instance-id: '
                        f'{self.instance}\r\n'
                        'content-length: 0\r\n\r\n'.encode()
                    )
                    continue
                expected = request.headers.get('gypsumhall-expected-instance')
                if expected not in (None, self.instance):
                    writer.write(
                        b'HTTP/1.1 421 X\r\ngypsumhall-not-executed: 1\r\n'
                        b'content-length: 0\r\n\r\n'
                    )
                    continue
                await self._handler(request, writer)
                await writer.drain()
        self._writers.discard(writer)
        _close(writer)

    def close_endpoint(self) -> None:
        """End the endpoint with all its connections."""
        self._beats.cancel()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def build_beat(self) -> bytes:
        """Return the body of the next check-in."""
        self.sequence += 1
        body = {
            'addr': self.backend,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'seq': self.sequence,
                'warmupLeftMs': 0,
            },
        }
        return json.dumps(body).encode()

    async def send_beat(self, body: bytes) -> Answer:
        """Send a check-in to the daemon."""
        return await self._call_control('PUT', body)

    async def send_leave(self) -> Answer:
        """Tell the daemon that the endpoint leaves; check-ins end."""
        self._beats.cancel()
        self.state = 'draining'
        body = json.dumps({'born': self.born}).encode()
        return await self._call_control('DELETE', body)

    async def _call_control(self, method: str, body: bytes) -> Answer:
        return await call(
            self.control,
            method,
            f'/v1/instances/{self.instance}',
            {'host': self.control, 'content-type': 'application/json'},
            body,
            1.0,
        )

    async def _send_beats(self) -> None:
        while True:
            await self.send_beat(self.build_beat())
            await asyncio.sleep(HEARTBEAT_S)

    def start(self, directory: Path) -> None:
        """Start the daemon with the command of the deploy file."""
        settings = {
            'ID': self.name,
            'ZONE': self.zone,
            'IP': HOST,
            'PEER_PORT': str(self.peer_port),
            'OUTBOUND_ADDRESS': self.outbound,
            'READY_ADDRESS': self.ready,
            'CONTROL_ADDRESS': self.control,
            'BACKEND_ADDRESS': self.backend,
            'SERVICE': self.service,
            'PLATFORM': self.store_address,
            'GRACE': f'{GRACE_S}s',
            'RETRY_RATIO': '0.2',
            'RETRY_SLACK': '64',
            'RETRY_WINDOW': '10s',
        }
        environment = {f'GYPSUMHALL_{k}': v for k, v in settings.items()}
        for name in ('PATH', 'HOME', 'LANG'):
            if name in os.environ:
                environment[name] = os.environ[name]
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (directory / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'gypsumhall.cli.fleet'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._record.write('start', f'{self.name} pid {self.process.pid}')

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        assert self.process is not None
        self._record.write('signal', f'{number.name} to {self.name}')
        self.process.send_signal(number)

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the daemon is ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            answer = await call(
                self.ready, 'GET', '/v1/readyz', {'host': 'x'}, timeout_s=1.0
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{self.name} is not ready')

    def kill(self) -> None:
        """End the daemon."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> bytes:
    """Return a configuration as the operator writes it."""
    resources: list[dict[str, Any]] = [
        {
            'entryType': 'routes',
            'metadata': {'name': f'r-{index}'},
            'spec': spec,
        }
        for index, spec in enumerate(routes)
    ]
    resources += [
        {
            'entryType': 'services',
            'metadata': {'name': name},
            'spec': {
                'healthPath': '/healthz',
                'maxConns': 130,
                'protocol': 'h1',
                'tls': False,
            },
        }
        for name in services
    ]
    resources.append(
        {
            'entryType': 'limits',
            'metadata': {},
            'spec': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
    )
    return json.dumps(
        {'version': f'{version:08x}', 'resources': resources}
    ).encode()


class Case:
    """A fleet of machines and the log of a case."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(folder / 'record.txt')
        self.store = Store()
        self.machines: list[Machine] = []
        self.proxy: Proxy | None = None
        self._directory = tempfile.TemporaryDirectory()
        self.directory = Path(self._directory.name)

    def add(
        self,
        name: str,
        zone: str,
        service: str,
        handler: Handler,
        slots: int = 9,
    ) -> Machine:
        """Add a machine."""
        machine = Machine(
            name, zone, service, self.store, handler, self.record, slots
        )
        self.machines.append(machine)
        return machine

    def add_store_proxy(self) -> Proxy:
        """Let the daemons reach the store through a proxy."""
        self.proxy = Proxy(self.store.address)
        for machine in self.machines:
            machine.store_address = self.proxy.address
        return self.proxy

    async def start(self, config: bytes, settle_s: float = 5.0) -> None:
        """Start all stand-ins and daemons, and wait until they serve."""
        release_ports()
        await self.store.serve()
        self.store.put('op/config', config)
        if self.proxy is not None:
            await self.proxy.serve()
        for machine in self.machines:
            await machine.serve_endpoint()
            machine.start(self.directory)
        for machine in self.machines:
            await machine.wait_ready()
        await asyncio.sleep(settle_s)

    def close(self) -> None:
        """End all processes."""
        for machine in self.machines:
            machine.kill()
        self._directory.cleanup()


def main(
    folder: Path, run: Callable[[Case], Coroutine[Any, Any, int]]
) -> None:
    """Run a case and exit with its result."""
    case = Case(folder)
    status = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    # Connections that are still open are closed after the end of the loop.
    sys.unraisablehook = lambda _: None
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    try:
        status = asyncio.run(run(case))
    except Exception as error:
        case.record.write('error', repr(error))
    finally:
        case.record.write('result', str(status))
        case.close()
    sys.exit(status)
