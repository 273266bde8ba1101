"""Tests of status checks against scripted backend servers."""

from __future__ import annotations

from contextlib import suppress
import itertools
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.core._checkins import BackendInstance
from gypsumhall.core._confirmation import BackendStatus
from gypsumhall.platform import DIALECT
from gypsumhall.services._cold_monitor import ColdMonitor
from gypsumhall.services._status_check import HttpStatusCheck
from gypsumhall.testing import builders

if TYPE_CHECKING:
    from collections.abc import Iterable

_OWN = 'Gypsumhall-Instance-Id: i-1\r\n'
_OTHER = 'Gypsumhall-Instance-Id: i-2\r\n'
_COLD = 'Gypsumhall-Warmup-Remaining: 1500.5\r\n'
_ODD = 'Gypsumhall-Warmup-Remaining: soon\r\n'
_REJECTED = 'Gypsumhall-Not-Executed: 1\r\n'


def _head(status: int, fields: str = '', length: int = 0) -> bytes:
    head = f'HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n'
    return f'{head}{fields}\r\n'.encode()


async def _check(
    parts: Iterable[bytes],
    path: str = '/status',
    monitor: ColdMonitor | None = None,
) -> str:
    """Return the status by an endpoint that sends the parts and waits."""

    async def serve(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            data = await stream.receive_some()
            assert data.startswith(f'GET {path} HTTP/1.1\r\n'.encode())
            for part in parts:
                await stream.send_all(part)
            await stream.receive_some()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        port = listener.socket.getsockname()[1]
        endpoint = builders.build_endpoint()
        backend = BackendInstance('i-1', 1, f'127.0.0.1:{port}', endpoint)
        with trio.fail_after(5):
            check = HttpStatusCheck(DIALECT, cold_monitor=monitor)
            status = await check.check(backend, path)
        nursery.cancel_scope.cancel()
    return status.value


@pytest.mark.parametrize(
    ('response', 'status'),
    [
        (_head(200, _OWN), 'healthy'),
        (_head(200, _OTHER), 'unavailable'),
        (_head(200), 'unknown'),
        (_head(503, _OWN), 'unavailable'),
        (_head(503), 'unavailable'),
        (_head(503, _OWN + _REJECTED), 'unknown'),
        (_head(503, _REJECTED), 'unknown'),
        (_head(503, _OTHER + _REJECTED), 'unavailable'),
        (_head(404, _OWN), 'unknown'),
        (_head(500, _OWN), 'unknown'),
        (b'no response\r\n\r\n', 'unknown'),
        (b'', 'unknown'),
        (_head(200, _OWN)[:-2], 'unknown'),
    ],
)
async def test_status_of_a_response(response: bytes, status: str) -> None:
    """Only the own process may confirm, and only a rejection says nothing."""
    assert await _check([response]) == status


class _Monitor(ColdMonitor):
    def __init__(self) -> None:
        self.reports: list[object] = []

    def record_request(self) -> None:
        self.reports.append('sent')

    def record_check(self, warmup_s: float) -> None:
        self.reports.append(warmup_s)

    def record_malformed(self, header: bytes) -> None:
        self.reports.append(header)


@pytest.mark.parametrize(
    ('response', 'reports'),
    [
        (_head(200, _OWN + _COLD), [1.5005]),
        (_head(503, _OWN + _REJECTED + _COLD), [1.5005]),
        (_head(200, _OWN), [0.0]),
        (_head(503, _OWN + _REJECTED), []),
        (_head(200, _OTHER + _COLD), []),
        (_head(200, _COLD), []),
        (_head(200, _OWN + _ODD), [b'gypsumhall-warmup-remaining']),
        (b'', []),
    ],
)
async def test_remaining_warmup_of_the_own_process_is_reported(
    response: bytes, reports: list[object]
) -> None:
    """A cold endpoint that counts as warm is sent more than it can handle."""
    monitor = _Monitor()
    await _check([response], monitor=monitor)
    assert monitor.reports == ['sent', *reports]


@pytest.mark.parametrize('line', [b'a: b\r\n', b'x' * 65536])
async def test_head_without_end_is_not_kept(line: bytes) -> None:
    """A faulty endpoint took the memory of a machine that called it."""
    sent = 0

    def lines() -> Iterable[bytes]:
        nonlocal sent
        yield b'HTTP/1.1 200 OK\r\n'
        for _ in itertools.count():
            sent += len(line)
            yield line

    assert await _check(lines()) == 'unknown'
    # What the socket buffers hold comes on top of the limit.
    assert sent < 16 * 1024 * 1024


async def test_body_is_not_read() -> None:
    """The head tells the status."""
    body = itertools.chain(
        [_head(200, _OWN, 60 * 2**20)], itertools.repeat(b'x' * 65536)
    )
    assert await _check(body) == 'healthy'


async def test_endpoint_that_is_gone_is_unavailable() -> None:
    """Nothing listens at its address any more."""
    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    backend = BackendInstance(
        'i-1', 1, f'127.0.0.1:{port}', builders.build_endpoint()
    )
    status = await HttpStatusCheck(DIALECT).check(backend, '/status')
    assert status is BackendStatus.UNAVAILABLE


async def test_endpoint_without_a_path_is_not_asked() -> None:
    """The address is not even connected to."""
    backend = BackendInstance('i-1', 1, 'x:1', builders.build_endpoint())
    status = await HttpStatusCheck(DIALECT).check(backend, '')
    assert status is BackendStatus.UNKNOWN
