"""Tests that no daemon responds in place of an endpoint that is at work."""

from __future__ import annotations

import contextlib
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.core._model import Move
from gypsumhall.core._model import MoveState
from gypsumhall.services import _backend_client
from gypsumhall.services import _calls
from gypsumhall.testing import asgi
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.call_trial import CollectingSink
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallPathDaemon
from gypsumhall.testing.daemons import DeadlineBackend
from gypsumhall.testing.daemons import MemoryBackend
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from trio.testing import MockClock

    from gypsumhall.core._snapshot import Snapshot

# Callers get a response within this time in seconds after their limit.
_RESPONSE_AFTER_LIMIT_S = 0.5
_GRACE_S = 6.0


@contextlib.asynccontextmanager
async def _run_daemons(
    backend: MemoryBackend,
    snapshot: Snapshot,
    versions: tuple[str, ...],
    *,
    buffer_responses: bool = True,
    latency_s: float = 0.0,
    **settings: float,
) -> AsyncIterator[list[CallPathDaemon]]:
    """Run daemons, each with an endpoint of a version, or none for ``''``."""
    dialect = _calls.Dialect(
        request_id=b'x-request', buffer_responses=buffer_responses
    )
    async with trio.open_nursery() as nursery:
        hub, table = MemoryHub(nursery, latency_s), fakes.FakeTable()
        daemons = []
        for index, version in enumerate(versions):
            daemon = CallPathDaemon(
                builders.build_member(index),
                table,
                lambda info: MemoryNetwork(hub, info),
                snapshot,
                backend.client,
                listen='127.0.0.1:0',
                dialect=dialect,
                **settings,
            )
            await nursery.start(daemon.run)
            if version:
                daemon.set_backend(f'backend-{index}', version)
            daemons.append(daemon)
        yield daemons
        nursery.cancel_scope.cancel()


async def _call(
    daemon: CallPathDaemon, request_id: str, stated_ms: int, method: str
) -> int:
    headers = [
        (b'host', b'spa.example'),
        (b'x-request', request_id.encode()),
        (b'gypsumhall-deadline-ms', b'%d' % stated_ms),
    ]
    application = daemon.caller._application
    return await asgi.call(application, method, '/search', headers)


def _build_request(
    name: str = 'r1',
    *,
    body: bytes = b'',
    idempotent: bool = False,
    key: str = '',
) -> _calls.Request:
    """Return a request with a time limit of one second."""
    return _calls.Request(
        'availability',
        'spa/search',
        'POST',
        '/search',
        ((b'x-request', name.encode()),),
        body,
        trio.current_time() + 1.0,
        idempotent,
        key,
    )


def _build_snapshot(timeout_s: float, share: float) -> Snapshot:
    moves: tuple[Move, ...] = ()
    if share:
        spec = builders.build_move()
        moves = (Move(spec, MoveState.ACTIVE, 0, share, 0.0, 0.0),)
    route = builders.build_route(path='/search', timeout_s=timeout_s)
    return build_snapshot(1, moves, (route,))


@pytest.mark.parametrize('stated_ms', [206, 430])
@pytest.mark.parametrize('share', [0.0, 0.5])
async def test_stopping_daemon_returns_the_response_of_the_endpoint(
    autojump_clock: MockClock, stated_ms: int, share: float
) -> None:
    """A caller that came back in a shutdown got a 504 of the daemon.

    Its endpoint was at work until the time that the caller had left.
    """
    backend = DeadlineBackend(Random(0))
    backend.constant_service_time, backend.mean_service_time_s = True, 0.0
    snapshot = _build_snapshot(2.0, share)
    async with (
        _run_daemons(
            backend,
            snapshot,
            ('v1', 'v2'),
            drain_delay_s=0.5 * _GRACE_S,
            drain_timeout_s=0.93 * _GRACE_S,
        ) as daemons,
        trio.open_nursery() as nursery,
    ):
        daemon = daemons[0]

        async def call_repeatedly() -> None:
            for index in range(1000):
                await _call(daemon, f'other-{index}', 100, 'GET')

        # Other callers keep the daemon from announcing that it leaves.
        nursery.start_soon(call_repeatedly)
        daemon.kernel.stop()
        await trio.sleep(1.525)
        for index in range(3):
            assert await _call(daemon, f'r{index}', stated_ms, 'GET') == 504
        for item in daemons:
            assert 'run-cut' not in item.events.codes
            assert 'request-failed' not in item.events.codes
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('buffer_responses', [False, True])
@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    'versions', [('v1',), ('', 'v1'), ('', 'v2', 'v1'), ('v1', 'v2', 'v1')]
)
@pytest.mark.parametrize('share', [0.0, 0.5])
@pytest.mark.parametrize(
    ('stated_ms', 'route_s'), [(206, 2.0), (1000, 0.4), (1000, 0.05)]
)
async def test_no_run_is_cancelled_before_its_limit(
    autojump_clock: MockClock,
    buffer_responses: bool,
    method: str,
    versions: tuple[str, ...],
    share: float,
    stated_ms: int,
    route_s: float,
) -> None:
    """Backups, half of the time or a stream's time limit ended runs early."""
    backend = MemoryBackend(Random(0))
    backend.hanging_addresses = {f'backend-{index}' for index in range(3)}
    limit_s = min(stated_ms / 1000, route_s)
    async with _run_daemons(
        backend,
        _build_snapshot(route_s, share),
        versions,
        buffer_responses=buffer_responses,
    ) as daemons:
        for index in range(4):
            started = trio.current_time()
            status = await _call(daemons[0], f'r{index}', stated_ms, method)
            elapsed_s = trio.current_time() - started
            assert status == 504
            assert elapsed_s >= limit_s + _calls.DEADLINE_GRACE_S - 1e-6
            assert elapsed_s <= limit_s + _RESPONSE_AFTER_LIMIT_S
        cut = [
            fields
            for daemon in daemons
            for code, fields in daemon.events.emitted
            if code == 'run-cut'
        ]
        assert cut
        for fields in cut:
            assert fields['cause'] == 'deadline'
            assert fields['ran_ms'] >= fields['limit_ms']


@pytest.mark.parametrize('before_end_s', [0.003, 0.05, 0.12])
@pytest.mark.parametrize('caller', [0, 1])
async def test_shutdown_does_not_cancel_a_run_that_reports_its_deadline(
    autojump_clock: MockClock, before_end_s: float, caller: int
) -> None:
    """A late request with a deadline just before the end got 502.

    It is refused as not run, so that its caller asks another daemon, or
    gets the response of its endpoint.
    """
    backend = DeadlineBackend(Random(0))
    backend.constant_service_time, backend.mean_service_time_s = True, 0.0
    backend.transit_s = 0.08
    # Longer than the time in which no caller need know of the shutdown.
    cancels_at_s = 4.0
    async with (
        _run_daemons(
            backend,
            _build_snapshot(5.0, 0.0),
            ('v1', ''),
            drain_delay_s=3.6,
            drain_timeout_s=cancels_at_s / 0.9,
        ) as daemons,
        trio.open_nursery() as nursery,
    ):
        statuses: list[int] = []

        async def call(number: int) -> None:
            limit_s = cancels_at_s - before_end_s - 3.2
            stated_ms = int(limit_s * 1000)
            statuses.append(
                await _call(
                    daemons[caller],
                    f'r{number}',
                    stated_ms,
                    ('GET', 'POST')[number % 2],
                )
            )

        async def call_repeatedly() -> None:
            for index in range(1000):
                await _call(daemons[0], f'other-{index}', 100, 'GET')

        nursery.start_soon(call_repeatedly)
        daemons[0].kernel.stop()
        await trio.sleep(3.2)
        async with trio.open_nursery() as calls:
            for number in range(4):
                calls.start_soon(call, number)
        assert set(statuses) <= {503, 504}
        for daemon in daemons:
            assert 'run-cut' not in daemon.events.codes
            assert 'request-failed' not in daemon.events.codes
        nursery.cancel_scope.cancel()


async def test_second_request_with_a_key_gets_the_response_at_the_deadline(
    autojump_clock: MockClock,
) -> None:
    """It ended at its deadline while the first could still respond."""
    backend = DeadlineBackend(Random(0))
    backend.constant_service_time, backend.mean_service_time_s = True, 0.0
    results: list[bytes | str] = []
    async with _run_daemons(
        backend, _build_snapshot(2.0, 0.0), ('v1', 'v1', '')
    ) as daemons:

        async def call(index: int) -> None:
            request = _build_request(key='key-1')
            sink = CollectingSink()
            try:
                await daemons[index].runner.sender.send(request, sink)
                results.append(sink.body)
            except _calls.CallRefusedError as error:
                results.append(error.reason)

        async with trio.open_nursery() as calls:
            for index in range(3):
                calls.start_soon(call, index)
        assert results == [b'late'] * 3
        assert backend.runs == {'r1': 1}


@pytest.mark.parametrize('key', ['', 'key-1'])
@pytest.mark.parametrize('idempotent', [False, True])
async def test_transfer_of_the_body_counts_towards_the_time_limit(
    autojump_clock: MockClock, idempotent: bool, key: str
) -> None:
    """The endpoint was given the whole limit after a slow transfer.

    So the sender ended the request first, while the endpoint was at work.
    """
    backend = DeadlineBackend(Random(0))
    backend.constant_service_time, backend.mean_service_time_s = True, 0.0
    async with _run_daemons(
        backend, _build_snapshot(2.0, 0.0), ('v1', ''), latency_s=0.02
    ) as daemons:
        request = _build_request(
            body=bytes(1_000_000), idempotent=idempotent, key=key
        )
        sink = CollectingSink()
        await daemons[1].runner.sender.send(request, sink)
        assert (sink.status, sink.body) == (504, b'late')
        assert trio.current_time() <= request.deadline + 0.1
        assert 'run-cut' not in daemons[0].events.codes


class _PausingBackend(MemoryBackend):
    """Backend server whose response arrives while the event loop stands."""

    def __init__(self, clock: MockClock) -> None:
        super().__init__(Random(0))
        self._clock = clock
        self.constant_service_time, self.mean_service_time_s = True, 0.0

    @contextlib.asynccontextmanager
    async def request(
        self,
        address: str,
        headers: _calls.Headers,
        on_send: Callable[[], None],
    ) -> AsyncIterator[_backend_client.BackendResponse]:
        """Respond after 0.1 s, at the start of a pause of 1 s."""
        async with super().request(address, headers, on_send) as response:
            await trio.sleep(0.1)
            self._clock.jump(1.0)
            yield response


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('caller', [0, 1])
async def test_response_before_a_pause_of_the_event_loop_is_delivered(
    autojump_clock: MockClock, caller: int, method: str
) -> None:
    """The deadline passed in the pause, and the response was discarded."""
    async with _run_daemons(
        _PausingBackend(autojump_clock),
        _build_snapshot(2.0, 0.0),
        ('v1', ''),
    ) as daemons:
        assert await _call(daemons[caller], 'r1', 200, method) == 200


class _WatchedBackend(MemoryBackend):
    """Backend server that records runs that were cancelled early."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self.cancelled_early: set[str] = set()

    @contextlib.asynccontextmanager
    async def request(
        self,
        address: str,
        headers: _calls.Headers,
        on_send: Callable[[], None],
    ) -> AsyncIterator[_backend_client.BackendResponse]:
        """Run a request."""
        fields = dict(headers)
        limit_s = int(fields[b'gypsumhall-deadline-ms']) / 1000
        started = trio.current_time()
        try:
            async with super().request(address, headers, on_send) as response:
                yield response
        except trio.Cancelled:
            if trio.current_time() < started + limit_s:
                self.cancelled_early.add(fields[b'x-request'].decode())
            raise


@pytest.mark.parametrize('buffer_responses', [False, True])
@pytest.mark.parametrize('seed', range(8))
async def test_run_is_cancelled_early_only_if_another_responds(
    autojump_clock: MockClock, seed: int, buffer_responses: bool
) -> None:
    """Callers got a failure, although an endpoint was still at work."""
    rng = Random(seed)
    backend = _WatchedBackend(rng)
    backend.mean_service_time_s = 0.1
    backend.mean_service_time_by_address['backend-1'] = 0.4
    backend.reset_rate, backend.break_rate = 0.1, 0.4
    backend.chunked_rate = 0.8
    results: dict[str, str] = {}
    async with _run_daemons(
        backend,
        _build_snapshot(2.0, 1.0),
        ('v1', 'v2', 'v1', ''),
        buffer_responses=buffer_responses,
    ) as daemons:

        async def call(name: str) -> None:
            request = _build_request(name, idempotent=rng.random() < 0.8)
            sink = CollectingSink()
            try:
                sender = daemons[rng.randrange(4)].runner.sender
                await sender.send(request, sink)
                results[name] = 'response' if sink.complete else 'incomplete'
            except _calls.CallRefusedError as error:
                results[name] = error.reason
            except _calls.BrokenResponseError:
                results[name] = 'broken'

        async with trio.open_nursery() as calls:
            for index in range(200):
                calls.start_soon(call, f'r{index}')
                await trio.sleep(rng.expovariate(5.0))
    failed = {
        name: results[name]
        for name in backend.cancelled_early
        if results[name] != 'response'
    }
    assert len(backend.cancelled_early) >= 5
    assert not failed
