"""What callers see of the planned stop of a daemon."""

from __future__ import annotations

import contextlib
from random import Random
import socket
from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.services import _http_server
from gypsumhall.services._calls import Dialect
from gypsumhall.testing import asgi
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallDaemon
from gypsumhall.testing.daemons import MemoryBackend
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock

    from gypsumhall.core._snapshot import Snapshot

_WAIT_S = 20.0
_ADDRESS = '127.0.0.1:1'
_OTHER_ADDRESS = '127.0.0.1:2'
# Scheduler ticks that a planned stop without work takes, and some more.
_TICKS = 25


@contextlib.asynccontextmanager
async def _daemon(
    backend: MemoryBackend,
    snapshot: Snapshot | None = None,
    other: trio.Event | None = None,
    **settings: Any,
) -> AsyncIterator[tuple[CallDaemon, trio.Event]]:
    """Run a daemon; the event is set when its kernel has ended.

    The event ``other`` starts a second one, with an endpoint of its own.
    """
    ended = trio.Event()
    with trio.fail_after(_WAIT_S):
        async with trio.open_nursery() as nursery:
            hub = MemoryHub(nursery)
            table = fakes.FakeTable()
            snapshot = snapshot or build_snapshot()

            async def run_other() -> None:
                await other.wait()
                daemon = CallDaemon(
                    builders.build_member(1),
                    table,
                    lambda info: MemoryNetwork(hub, info),
                    snapshot,
                    connect=backend.client,
                )
                await nursery.start(daemon.run)
                daemon.set_backend(_OTHER_ADDRESS)

            if other is not None:
                nursery.start_soon(run_other)
            daemon = CallDaemon(
                builders.build_member(0),
                table,
                lambda info: MemoryNetwork(hub, info),
                snapshot,
                connect=backend.client,
                listen='127.0.0.1:0',
                **settings,
            )

            async def run(*, task_status: trio.TaskStatus[None]) -> None:
                await daemon.run(task_status=task_status)
                ended.set()

            await nursery.start(run)
            daemon.set_backend(_ADDRESS)
            yield daemon, ended
            nursery.cancel_scope.cancel()


def _request(request_id: str, method: str = 'POST') -> bytes:
    return (
        f'{method} /search HTTP/1.1\r\nHost: spa.example\r\n'
        f'X-Request: {request_id}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


async def _connect(daemon: CallDaemon) -> trio.SocketStream:
    host, _, port = daemon.caller.address.rpartition(':')
    return await trio.open_tcp_stream(host, int(port))


async def _read_response(stream: trio.SocketStream) -> bytes:
    """Return what the daemon sends until it closes the connection."""
    received = b''
    with contextlib.suppress(trio.BrokenResourceError):
        while data := await stream.receive_some():
            received += data
    return received


async def _until_running(backend: MemoryBackend) -> None:
    while True:
        if backend.runs:
            return
        await trio.sleep(0.01)


@pytest.mark.parametrize('_attempt', range(8))
async def test_the_last_request_of_a_stop_gets_its_refusal(
    _attempt: int,
) -> None:
    """The connections were cancelled before the refusal was sent."""
    backend = MemoryBackend(Random(1))
    backend.mean_s, backend.constant = 0.2, True
    backend.reset_rate = 1.0
    # A daemon that has no keys to hand over ends at once.
    dialect = Dialect(key=b'')
    async with _daemon(backend, dialect=dialect) as (daemon, ended):
        stream = await _connect(daemon)
        async with stream:
            await stream.send_all(_request('r1'))
            await _until_running(backend)
            daemon.kernel.stop()
            response = await _read_response(stream)
        assert response.startswith(b'HTTP/1.1 502 ')
        assert b'"backend-reset"' in response
        await ended.wait()


@pytest.mark.parametrize('timeout_s', [0.0, 2.0])
async def test_a_request_that_is_still_running_at_the_end_gets_an_answer(
    timeout_s: float,
) -> None:
    """Its connection was closed without an answer of any kind.

    Without any time it is as if the process stood still until its end.
    """
    backend = MemoryBackend(Random(1))
    backend.hang.add(_ADDRESS)
    async with _daemon(backend, drain_timeout_s=timeout_s) as (daemon, ended):
        stream = await _connect(daemon)
        async with stream:
            await stream.send_all(_request('r1'))
            await _until_running(backend)
            daemon.kernel.stop()
            response = await _read_response(stream)
        assert response.startswith(b'HTTP/1.1 502 ')
        assert b'"outcome": "unknown"' in response
        assert b'connection: close' in response.lower()
        await ended.wait()


async def test_a_request_whose_body_is_late_at_the_end_is_refused() -> None:
    """Its connection was closed although it certainly has not run."""
    backend = MemoryBackend(Random(1))
    async with _daemon(backend, drain_timeout_s=2.0) as (daemon, ended):
        stream = await _connect(daemon)
        async with stream:
            head = _request('r1').replace(b'Length: 0', b'Length: 5')
            await stream.send_all(head)
            await trio.sleep(0.1)
            daemon.kernel.stop()
            response = await _read_response(stream)
        assert response.startswith(b'HTTP/1.1 503 ')
        assert b'"outcome": "not-run"' in response
        await ended.wait()


@pytest.mark.parametrize('ticks', range(_TICKS))
async def test_a_request_that_was_read_is_answered_however_late_it_came(
    monkeypatch: pytest.MonkeyPatch, ticks: int
) -> None:
    """One that was read while the daemon ended had no answer."""
    read = b''
    receive = trio.SocketStream.receive_some

    async def note(
        stream: trio.SocketStream, max_bytes: int | None = None
    ) -> bytes:
        nonlocal read
        data = bytes(await receive(stream, max_bytes))
        read += data
        return data

    monkeypatch.setattr(trio.SocketStream, 'receive_some', note)
    backend = MemoryBackend(Random(1))
    backend.mean_s, backend.constant = 0.0, True
    async with _daemon(backend) as (daemon, ended):
        host, _, port = daemon.caller.address.rpartition(':')
        with socket.create_connection((host, int(port))) as caller:
            caller.setblocking(False)
            await trio.sleep(0.05)
            daemon.kernel.stop()
            for _ in range(ticks):
                await trio.lowlevel.checkpoint()
            with contextlib.suppress(OSError):
                caller.sendall(_request('r1'))
            await ended.wait()
            response = b''
            with contextlib.suppress(OSError):
                response = caller.recv(65536)
        assert not read or response.startswith(b'HTTP/1.1 ')
        assert not backend.runs or b' 200 ' in response


class _Listener:
    """Stands in for the HTTP server, so that the clock can be paused."""

    def __init__(self) -> None:
        self._application: Any = None
        self._requests = 0

    async def serve(
        self,
        application: Any,
        config: object,
        address: str,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus[str],
    ) -> None:
        self._application = application
        task_status.started(address)
        await stop.wait()

    async def get(self, path: str, deadline_ms: int) -> int:
        """Return the status of a response."""
        self._requests += 1
        headers = [
            (b'host', b'spa.example'),
            (b'x-request', b'r%d' % self._requests),
            (b'gypsumhall-deadline-ms', b'%d' % deadline_ms),
        ]
        return await asgi.call(self._application, 'GET', path, headers)


_LONG = builders.build_route(path='/search', timeout_s=10.0)
_NESTED = builders.build_route('check', path='/check', timeout_s=0.4)


@contextlib.asynccontextmanager
async def _paused(
    monkeypatch: pytest.MonkeyPatch, *, busy_s: float, **settings: Any
) -> AsyncIterator[_Listener]:
    """Stop a daemon that is busy with a request, beside an idle one."""
    other = trio.Event()
    listener = _Listener()
    monkeypatch.setattr(_http_server, 'serve', listener.serve)
    backend = MemoryBackend(Random(1))
    backend.mean_s, backend.constant = busy_s, True
    snapshot = build_snapshot(routes=(_LONG, _NESTED))
    async with (
        _daemon(backend, snapshot, other, **settings) as (daemon, _),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(listener.get, '/search', 10_000)
        await _until_running(backend)
        backend.mean_s = 0.01
        other.set()
        await trio.sleep(0.1)
        daemon.kernel.stop()
        yield listener
        nursery.cancel_scope.cancel()


async def test_new_requests_are_not_taken_after_the_time_for_them(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They were for up to 0.2 s longer, and a long one was then cut off."""
    async with _paused(monkeypatch, busy_s=3.0, drain_delay_s=0.5) as listener:
        await trio.sleep(0.45)
        assert await listener.get('/search', 1000) == 200
        await trio.sleep(0.1)
        assert await listener.get('/search', 1000) == 503


async def test_a_late_request_that_would_outlast_the_stop_is_not_taken(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was cut off by the end of the daemon."""
    async with _paused(
        monkeypatch, busy_s=8.0, drain_delay_s=5.0, drain_timeout_s=10.0
    ) as listener:

        async def keep_calling() -> None:
            while True:
                await trio.sleep(0.5)
                await listener.get('/search', 100)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_calling)
            await trio.sleep(2.5)
            assert await listener.get('/search', 9000) == 200
            await trio.sleep(1.0)
            assert await listener.get('/search', 9000) == 503
            assert await listener.get('/search', 4000) == 200
            nursery.cancel_scope.cancel()


async def test_a_request_after_a_quiet_second_of_a_stop_is_taken(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was refused, though its caller could not know of the stop yet."""
    async with _paused(monkeypatch, busy_s=6.0, drain_delay_s=3.0) as listener:
        await trio.sleep(1.5)
        assert await listener.get('/search', 1000) == 200
        await trio.sleep(1.6)
        assert await listener.get('/search', 1000) == 503


async def test_calls_of_running_requests_are_taken_while_they_end_in_time(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One that is taken too late is cut off, and so is the run."""
    async with _paused(
        monkeypatch, busy_s=3.0, drain_delay_s=0.5, drain_timeout_s=2.0
    ) as listener:
        await trio.sleep(1.35)
        assert await listener.get('/check', 400) == 200
        await trio.sleep(0.15)
        assert await listener.get('/check', 400) == 503
