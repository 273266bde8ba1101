"""Memory of daemons beside endpoints and callers that send without end.

Real processes: the limit is that of a process on the machines of the users.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from contextlib import suppress
import itertools
import json
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

import httpcore
import pytest
import trio

from soak._checks import Checks
from soak._processes import Daemon
from soak._processes import reserve_network
from soak._processes import store_address
from soak._processes import Vm
from soak._starvation import Starvation
from soak._store import FaultyStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

# ``memoryMb`` of the smallest machines, SYSTEM.md of the users.
_LIMIT_BYTES = 150 * 1000 * 1000
_SERVICES = ('faulty', 'sound', 'faulty')
_HOST = 'memory.example'
_CONCURRENT = 12
_ROUND_S = 5.0
_PART = 64 * 1024
_LARGE = 64 * 1024 * 1024
_ID = 'gypsumhall-request-id'
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'


def _forever(part: bytes) -> Iterator[bytes]:
    return itertools.repeat(part * (_PART // len(part)))


def _build_responses(echo: bytes) -> dict[str, Iterator[bytes]]:
    """Return the responses of faulty endpoints by name."""
    head = _OK + echo
    chunked = head + _CHUNKED + b'\r\n'
    large = head + b'Content-Length: %d\r\n\r\n' % _LARGE
    x = b'x' * _PART
    return {
        'no-response': _forever(b'x'),
        'long-line': itertools.chain([_OK + b'a: '], _forever(b'x')),
        'many-lines': itertools.chain([_OK], _forever(b'a: b\r\n')),
        'informational': _forever(b'HTTP/1.1 100 Continue\r\n\r\n'),
        'one-chunk': itertools.chain(
            [chunked, b'ffffffffff\r\n'], _forever(b'x')
        ),
        'chunks': itertools.chain(
            [chunked], _forever(b'3f8\r\n' + x[:1016] + b'\r\n')
        ),
        'bytes': itertools.chain([chunked], _forever(b'1\r\nx\r\n')),
        'extension': itertools.chain([chunked, b'1;a='], _forever(b'x')),
        'trailer': itertools.chain([chunked, b'0\r\n'], _forever(b'a: b\r\n')),
        'until-close': itertools.chain([head + b'\r\n'], _forever(b'x')),
        'stated': itertools.chain(
            [large], itertools.repeat(x, _LARGE // _PART)
        ),
        'more-than-stated': itertools.chain(
            [head + b'Content-Length: 4\r\n\r\n'], _forever(b'x')
        ),
    }


_RESPONSES = tuple(_build_responses(b''))


class _Endpoint:
    """Backend server whose responses depend on the path."""

    def __init__(self, vm: Vm) -> None:
        self._vm = vm

    async def run(self) -> None:
        host, _, port = self._vm.backend_address.rpartition(':')
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            nursery.start_soon(self._send_heartbeats)

    async def _serve(self, stream: trio.SocketStream) -> None:
        received = b''
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await stream.receive_some(_PART):
                received += data
                while b'\r\n\r\n' in received:
                    head, _, received = received.partition(b'\r\n\r\n')
                    await self._respond(stream, head)

    async def _respond(self, stream: trio.SocketStream, head: bytes) -> None:
        lines = head.decode().split('\r\n')
        path = lines[0].split(' ')[1]
        fields = dict(line.lower().split(': ', 1) for line in lines[1:])
        if path == '/healthz':
            await stream.send_all(
                _OK + b'Content-Length: 0\r\nGypsumhall-Instance-Id: '
                b'%s\r\n\r\n' % self._instance.encode()
            )
            return
        echo = f'{_ID}: {fields[_ID]}\r\n'.encode()
        name = path.rpartition('/')[2]
        response = _build_responses(echo).get(
            name, iter([_OK + echo + b'Content-Length: 4\r\n\r\nbody'])
        )
        for part in response:
            await stream.send_all(part)

    @property
    def _instance(self) -> str:
        return f'i-{self._vm.index}'

    async def _send_heartbeats(self) -> None:
        info = {'service': self._vm.service, 'version': 'v1', 'slots': 40}
        for number in itertools.count(1):
            value = {
                'addr': self._vm.backend_address,
                'born': 1,
                'info': {**info, 'zone': self._vm.zone},
                'status': {'state': 'ready', 'seq': number},
            }
            with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                await _request(
                    self._vm.control_address,
                    'PUT',
                    f'/v1/instances/{self._instance}',
                    body=json.dumps(value).encode(),
                )
            await trio.sleep(1.0)


async def _request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> tuple[int, int]:
    """Return the status and the size of the body of a response."""
    async with httpcore.AsyncConnectionPool() as pool:
        fields = {'Host': address, **(headers or {})}
        async with pool.stream(
            method, f'http://{address}{path}', headers=fields, content=body
        ) as response:
            size = 0
            async for part in response.aiter_stream():
                size += len(part)
            return response.status, size


def _configuration() -> bytes:
    services = [
        {
            'entryType': 'services',
            'metadata': {'name': name},
            'spec': {'healthPath': '/healthz', 'maxConns': 200},
        }
        for name in ('faulty', 'sound')
    ]
    routes = [
        {
            'entryType': 'routes',
            'metadata': {'name': f'{service}-{kind}'},
            'spec': {
                'host': _HOST,
                'prefix': f'/{service}/{kind}/',
                'type': kind,
                'timeoutMs': 3000,
                'sloMs': 1000,
                'service': service,
                'attempts': 2,
            },
        }
        for service in ('faulty', 'sound')
        for kind in ('idempotent', 'non_idempotent')
    ]
    value = {'version': '00000001', 'resources': services + routes}
    return json.dumps(value).encode()


class _Fleet:
    """Daemons with the endpoints beside them."""

    def __init__(self, daemons: list[Daemon]) -> None:
        self._daemons = daemons
        self._ids = itertools.count(1)

    def address(self, index: int) -> str:
        """Return the address for callers of a daemon."""
        return self._daemons[index].vm.outbound_address

    def peak_bytes(self) -> list[int]:
        """Return the largest memory of each process so far."""
        peaks = []
        for daemon in self._daemons:
            assert daemon.pid is not None, 'a daemon has ended'
            status = Path(f'/proc/{daemon.pid}/status').read_text()
            (line,) = [x for x in status.splitlines() if 'VmHWM' in x]
            peaks.append(int(line.split()[1]) * 1024)
        return peaks

    def headers(self) -> dict[str, str]:
        """Return the headers of a new request."""
        return {
            'Host': _HOST,
            _ID: f'{next(self._ids):016x}',
            'gypsumhall-timeout-ms': '3000',
        }

    async def call(self, index: int, method: str, path: str) -> int:
        """Send a request to a daemon and return the status."""
        body = b'body' if method == 'POST' else None
        with trio.fail_after(5.0):
            status, _ = await _request(
                self.address(index), method, path, self.headers(), body
            )
        return status

    async def call_sound(self, served: list[int]) -> None:
        """Call the other service until cancelled, from each daemon."""
        for index in itertools.cycle(range(len(_SERVICES))):
            path = '/sound/idempotent/x'
            served.append(await self.call(index, 'GET', path))
            await trio.sleep(0.02)


@asynccontextmanager
async def _open_fleet(directory: Path) -> AsyncIterator[_Fleet]:
    network, lock = reserve_network()
    checks = Checks(Starvation(dict))
    store = FaultyStore()
    store.write_as_operator('op/config', _configuration())
    vms = [
        Vm(index, network, 3, service)
        for index, service in enumerate(_SERVICES)
    ]
    daemons = [Daemon(vm, directory, checks, relayed=False) for vm in vms]
    with lock:
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(store.serve, store_address(network))
                for daemon in daemons:
                    nursery.start_soon(_Endpoint(daemon.vm).run)
                    await daemon.start()
                    nursery.start_soon(daemon.probe)
                fleet = _Fleet(daemons)
                await _wait_served(fleet)
                yield fleet
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                for daemon in daemons:
                    await daemon.kill()


async def _wait_served(fleet: _Fleet) -> None:
    with trio.fail_after(30.0):
        for index, service in itertools.product(
            range(len(_SERVICES)), ('faulty', 'sound')
        ):
            status: Any = None
            while status != 200:
                with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                    path = f'/{service}/idempotent/x'
                    status = await fleet.call(index, 'GET', path)
                await trio.sleep(0.1)


@pytest.mark.timeout(180)
@pytest.mark.parametrize('kind', ['idempotent', 'non_idempotent'])
async def test_memory_is_limited_beside_responses_without_end(
    kind: str, tmp_path: Path
) -> None:
    """A machine kept all bytes of a faulty endpoint, and ran out of memory."""
    served: list[int] = []
    ended = 0
    async with _open_fleet(tmp_path) as fleet:

        async def call_faulty(names: Iterator[str], index: int) -> None:
            nonlocal ended
            method = 'GET' if kind == 'idempotent' else 'POST'
            for name in names:
                with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                    await fleet.call(index, method, f'/faulty/{kind}/{name}')
                ended += 1

        with trio.move_on_after(_ROUND_S * 3):
            async with trio.open_nursery() as nursery:
                names = itertools.cycle(_RESPONSES)
                for number in range(_CONCURRENT):
                    nursery.start_soon(call_faulty, names, number % 3)
                nursery.start_soon(fleet.call_sound, served)
        peaks = fleet.peak_bytes()

    assert max(peaks) < _LIMIT_BYTES
    assert set(served) == {200}
    assert ended > len(_RESPONSES)


def _build_request(kind: str, headers: dict[str, str]) -> Iterator[bytes]:
    """Return what a caller sends that does not read the response."""
    fields = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    post = f'POST /sound/non_idempotent/x HTTP/1.1\r\n{fields}'.encode()
    if kind == 'head':
        return itertools.chain([post + b'a: '], _forever(b'x'))
    if kind == 'body':
        return itertools.chain(
            [post + _CHUNKED + b'\r\n'],
            _forever(b'3f8\r\n' + b'x' * 1016 + b'\r\n'),
        )
    if kind == 'requests':
        get = f'GET /sound/idempotent/x HTTP/1.1\r\n{fields}\r\n'.encode()
        return _forever(get)
    path = f'/faulty/idempotent/{kind}'
    return iter([f'GET {path} HTTP/1.1\r\n{fields}\r\n'.encode()])


@pytest.mark.timeout(180)
@pytest.mark.parametrize(
    'kind', ['head', 'body', 'requests', 'chunks', 'until-close', 'stated']
)
async def test_memory_is_limited_beside_callers_that_do_not_read(
    kind: str, tmp_path: Path
) -> None:
    """A caller must not take the memory of the daemon either."""
    served: list[int] = []
    async with _open_fleet(tmp_path) as fleet:

        async def send(index: int) -> None:
            host, _, port = fleet.address(index).rpartition(':')
            while True:
                async with await trio.open_tcp_stream(
                    host, int(port)
                ) as stream:
                    with suppress(trio.BrokenResourceError):
                        for part in _build_request(kind, fleet.headers()):
                            await stream.send_all(part)
                        await trio.sleep(4.0)

        with trio.move_on_after(_ROUND_S):
            async with trio.open_nursery() as nursery:
                for number in range(4 * _CONCURRENT):
                    nursery.start_soon(send, number % 3)
                nursery.start_soon(fleet.call_sound, served)
        peaks = fleet.peak_bytes()

    assert max(peaks) < _LIMIT_BYTES
