"""Tests of endpoints that reset connections when they are full."""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import TYPE_CHECKING

import httpcore
import msgspec
import pytest
import trio

from gypsumhall.core._checkins import BackendInstance
from gypsumhall.core._confirmation import BackendStatus
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.net import _messages
from gypsumhall.net._messages import Outcome
from gypsumhall.platform import DIALECT
from gypsumhall.services import _backend_client
from gypsumhall.services._status_check import HttpStatusCheck
from gypsumhall.testing import builders
from gypsumhall.testing.daemons import open_daemons

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gypsumhall.testing.daemons import CallPathDaemon

_TIME_LIMIT_S = 20.0


class _Server:
    """Backend server whose first requests wait, and that resets others.

    Parameters
    ----------
    slots : int
        Requests that it executes at the same time.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self.running = 0
        self.most = 0
        self.resets = 0
        # Ends the runs.
        self.release = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                await self._respond(stream, data)

    async def _respond(self, stream: trio.SocketStream, head: bytes) -> None:
        if self.running >= self._slots:
            self.resets += 1
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            await stream.aclose()
            raise trio.BrokenResourceError
        self.running += 1
        self.most = max(self.most, self.running)
        await self.release.wait()
        self.running -= 1
        lines = head.split(b'\r\n')
        sent_id = next(
            line for line in lines if DIALECT.request_id in line.lower()
        )
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n' + sent_id + b'\r\n\r\n'
        )


def _build_snapshot(max_connections: int) -> Snapshot:
    service = msgspec.structs.replace(
        builders.build_service(), max_connections=max_connections
    )
    fragment = builders.build_fragment(services=[service])
    return Snapshot.build(builders.build_head([fragment]), [fragment])


@contextlib.asynccontextmanager
async def _serve(server: _Server) -> AsyncIterator[str]:
    """Run a backend server; return its address."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield f'127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _open_daemon(
    server: _Server, slots: int, max_connections: int
) -> AsyncIterator[CallPathDaemon]:
    snapshot = _build_snapshot(max_connections)
    with trio.fail_after(_TIME_LIMIT_S):
        async with (
            _serve(server) as address,
            open_daemons(address, snapshot, 1, DIALECT) as daemons,
        ):
            daemons[0].set_backend(address, slots=slots)
            yield daemons[0]


async def _execute(
    daemon: CallPathDaemon, request_id: str, *, idempotent: bool = False
) -> _messages.Message:
    """Run a request; return the first message of its result."""
    sent: list[_messages.Message] = []

    async def send(message: _messages.Message) -> None:
        sent.append(message)

    call = _messages.CallStart(
        request_id,
        0,
        'availability',
        'v1',
        'spa/search',
        'POST',
        '/search',
        (
            (b'host', b'spa.example'),
            (DIALECT.request_id, request_id.encode()),
        ),
        5000,
        idempotent,
        move='m',
    )
    await daemon.runner.execute(call, b'', send)
    return sent[0]


async def _wait_for_runs(server: _Server, count: int) -> None:
    while server.running < count:  # noqa: ASYNC110
        await trio.sleep(0.001)


@pytest.mark.parametrize(
    ('slots', 'max_connections', 'code'),
    [
        (2, 10, 'backend-full'),
        # There was room, so the endpoint is faulty.
        (6, 10, 'backend-reset'),
        # The service does not limit connections.
        (2, 0, 'backend-reset'),
    ],
)
async def test_reset_by_a_full_endpoint_is_not_its_failure(
    slots: int, max_connections: int, code: str
) -> None:
    """A full endpoint was ejected and its version charged with failures."""
    server = _Server(1)
    async with (
        _open_daemon(server, slots, max_connections) as daemon,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(_execute, daemon, 'r1')
        await _wait_for_runs(server, 1)
        result = await _execute(daemon, 'r2')
        assert isinstance(result, _messages.CallRefused)
        assert (result.outcome, result.code) == (Outcome.UNKNOWN, code)
        is_failure = code == 'backend-reset'
        assert (daemon.runner.load.failure_rate > 0) == is_failure
        failures = [failed for _, _, failed in daemon.moves.records]
        assert failures == [True] * is_failure
        count = daemon.metrics.value(
            'gypsumhall_full_resets_total', sent='yes'
        )
        assert count == (not is_failure)
        server.release.set()


@pytest.mark.parametrize('max_connections', [0, 10])
async def test_cancelled_run_occupies_its_slot_until_the_server_ends_it(
    max_connections: int,
) -> None:
    """The next request was sent at once and reset."""
    server = _Server(1)
    async with (
        _open_daemon(server, 1, max_connections) as daemon,
        trio.open_nursery() as nursery,
    ):
        async with trio.open_nursery() as runs:
            runs.start_soon(_execute, daemon, 'r1')
            await _wait_for_runs(server, 1)
            runs.cancel_scope.cancel()
        results: list[_messages.Message] = []

        async def run_next() -> None:
            results.append(await _execute(daemon, 'r2'))

        nursery.start_soon(run_next)
        await trio.sleep(0.05)
        assert server.resets == (not max_connections)
        server.release.set()
        while not results:  # noqa: ASYNC110
            await trio.sleep(0.001)
        assert isinstance(results[0], _messages.AnswerStart) == (
            max_connections > 0
        )
        assert server.most == 1
    assert daemon.runner.load.in_flight == 0


async def test_run_that_the_server_does_not_end_frees_its_slot() -> None:
    """A server that never closes would occupy all slots for good."""
    server = _Server(1)
    async with _open_daemon(server, 1, 10) as daemon:
        async with trio.open_nursery() as runs:
            runs.start_soon(_execute, daemon, 'r1')
            await _wait_for_runs(server, 1)
            runs.cancel_scope.cancel()
        assert daemon.runner.load.in_flight == 1
        started = trio.current_time()
        while daemon.runner.load.in_flight:  # noqa: ASYNC110
            await trio.sleep(0.01)
        assert 0.4 < trio.current_time() - started < 3.0


async def test_connections_and_status_checks_stay_below_the_limit() -> None:
    """What was in flight exceeded what the endpoint accepts."""
    server = _Server(3)
    async with _open_daemon(server, 6, 3) as daemon:
        runner = daemon.runner
        assert runner.load.slots == 3
        async with trio.open_nursery() as runs:
            with runner.occupy_slot() as has_room:
                assert has_room
                assert runner.load.in_flight == 1
                for number in range(4):
                    runs.start_soon(_execute, daemon, f'r{number}')
                await _wait_for_runs(server, 2)
                await trio.sleep(0.05)
                assert server.most == 2
                with runner.occupy_slot() as has_more:
                    assert not has_more
            await _wait_for_runs(server, 3)
            server.release.set()
        assert server.resets == 0
        assert runner.load.in_flight == 0


async def test_status_of_a_full_endpoint_is_not_asked_for() -> None:
    """The check would take the slot of a request, or be reset."""

    class _Full(contextlib.nullcontext[bool]):
        def __init__(self) -> None:
            super().__init__(enter_result=False)

    backend = BackendInstance('i-1', 1, 'x:1', builders.build_endpoint())
    check = HttpStatusCheck(DIALECT, occupy_slot=_Full)
    assert await check.check(backend, '/status') is BackendStatus.UNKNOWN


def _open_connections_slowly(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a reset arrive before the request is sent."""
    open_socket = _backend_client._open_socket

    async def open_slowly(address: str) -> socket.socket:
        sock = await open_socket(address)
        await trio.sleep(0.05)
        return sock

    monkeypatch.setattr(_backend_client, '_open_socket', open_slowly)


class _Resetting(_Server):
    """Backend server that resets each new connection."""

    async def serve(self, stream: trio.SocketStream) -> None:
        self.resets += 1
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        await stream.aclose()


@pytest.mark.parametrize('slots', [1, 2])
async def test_reset_of_a_new_connection_is_not_run(
    monkeypatch: pytest.MonkeyPatch, slots: int
) -> None:
    """Nothing was sent, so another endpoint may be asked."""
    _open_connections_slowly(monkeypatch)
    async with _open_daemon(_Resetting(0), slots, 10) as daemon:
        result = await _execute(daemon, 'r1')
        assert isinstance(result, _messages.CallRefused)
        code = 'backend-full' if slots == 1 else 'backend-unreachable'
        assert (result.outcome, result.code) == (Outcome.NOT_RUN, code)
        assert daemon.runner.load.failure_rate == 0
        assert not daemon.moves.records


async def test_another_endpoint_is_asked_after_a_reset_that_is_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that is not idempotent failed although it was not sent."""
    _open_connections_slowly(monkeypatch)
    good, resetting = _Server(9), _Resetting(0)
    good.release.set()
    async with (
        _serve(good) as address,
        _serve(resetting) as resetting_address,
        open_daemons(address, _build_snapshot(10), 3, DIALECT) as daemons,
    ):
        daemons[1].set_backend(resetting_address, slots=1)
        with trio.fail_after(_TIME_LIMIT_S):
            for number in range(8):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        'POST',
                        f'http://{daemons[0].caller.address}/search',
                        headers={
                            'Host': 'spa.example',
                            'Gypsumhall-Request-Id': f'r{number}',
                        },
                        content=b'body',
                    )
                assert response.status == 200
    assert resetting.resets > 0
