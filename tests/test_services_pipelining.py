"""Tests of requests sent before the one in front has been answered."""

from __future__ import annotations

import contextlib
from typing import Any
from typing import TYPE_CHECKING

import h11
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from gypsumhall.services import _http_server
from gypsumhall.testing import pipelining
from gypsumhall.testing.pipelining import build_request
from gypsumhall.testing.pipelining import PipeliningCaller
from gypsumhall.testing.pipelining import ScriptedBackend

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumhall.testing.daemons import CallPathDaemon

_TIME_LIMIT_S = 20.0


@contextlib.asynccontextmanager
async def _open(
    **options: Any,
) -> AsyncIterator[tuple[ScriptedBackend, CallPathDaemon, PipeliningCaller]]:
    backend = ScriptedBackend()
    with trio.fail_after(_TIME_LIMIT_S):
        async with pipelining.run_daemon(backend, **options) as daemon:
            caller = await pipelining.connect(daemon)
            async with caller.stream:
                yield backend, daemon, caller


async def _until(condition: Callable[[], bool]) -> None:
    while True:
        if condition():
            return
        await trio.sleep(0.005)


async def test_responses_have_the_order_of_the_requests() -> None:
    """The one behind ends first, and must wait for its turn."""
    async with _open() as (backend, _, caller):
        await caller.send(
            build_request('a', work_s=0.3), build_request('b', work_s=0.0)
        )
        first = await caller.read_response()
        second = await caller.read_response()
        assert (first.body, second.body) == (b'a', b'b')
        assert backend.completed == ['b', 'a']
        # The connection stays open.
        await caller.send(build_request('c'))
        assert (await caller.read_response()).body == b'c'


async def test_deadline_counts_from_the_time_of_reading() -> None:
    """The time behind another request is part of the caller's time limit."""
    async with _open() as (backend, _, caller):
        started = trio.current_time()
        await caller.send(
            build_request('a', work_s=0.8),
            build_request('b', work_s=5.0, deadline_ms=300),
        )
        assert (await caller.read_response()).status == 200
        assert (await caller.read_response()).status == 504
        assert backend.ended_at['b'] - started < 0.3 + 0.3
        assert trio.current_time() - started < 0.8 + 0.3


async def test_request_that_may_run_once_waits_for_those_in_front() -> None:
    """If the connection ended in front of it, its caller would repeat it."""
    async with _open() as (backend, _, caller):
        await caller.send(
            build_request('a', work_s=0.3),
            build_request('b', 'POST', body=b'x'),
            build_request('c'),
        )
        await _until(lambda: 'c' in backend.started)
        await trio.sleep(0.1)
        assert sorted(backend.started) == ['a', 'c']
        bodies = [(await caller.read_response()).body for _ in range(3)]
        assert bodies == [b'a', b'b', b'c']
        assert backend.completed.index('b') > backend.completed.index('a')


async def test_deadline_of_a_request_that_has_to_wait_means_not_run() -> None:
    async with _open() as (backend, _, caller):
        await caller.send(
            build_request('a', work_s=0.5),
            build_request('b', 'POST', body=b'x', deadline_ms=200),
        )
        assert (await caller.read_response()).body == b'a'
        response = await caller.read_response()
        assert response.status == 504
        assert b'"outcome": "not-run"' in response.body
        assert backend.started == ['a']


async def test_refusal_in_front_does_not_affect_those_behind() -> None:
    async with _open() as (_, _, caller):
        await caller.send(
            build_request('a', path='/unknown'), build_request('b')
        )
        assert (await caller.read_response()).status == 404
        assert (await caller.read_response()).body == b'b'


async def test_caller_that_leaves_ends_all_its_runs() -> None:
    """Also if more requests than are read ahead wait behind them."""
    async with _open() as (backend, daemon, caller):
        await caller.send(
            *(build_request(f'r{i}', work_s=9.0) for i in range(20))
        )
        await _until(lambda: backend.running >= 4)
        await trio.sleep(0.1)
        await caller.stream.aclose()
        left_at = trio.current_time()
        await _until(lambda: not backend.running)
        assert trio.current_time() - left_at < 0.5
        assert not backend.completed
        assert not daemon.runner.load.in_flight


async def test_caller_that_half_closes_ends_all_its_runs() -> None:
    """Until something is sent to it, it looks like one that has closed."""
    async with _open() as (backend, daemon, caller):
        await caller.send(
            build_request('a', work_s=9.0), build_request('b', work_s=9.0)
        )
        await _until(lambda: backend.running == 2)
        await caller.stream.send_eof()
        left_at = trio.current_time()
        assert await caller.read_response() is None
        await _until(lambda: not backend.running)
        assert trio.current_time() - left_at < 0.5
        assert not daemon.runner.load.in_flight


async def test_number_of_requests_read_ahead_is_bounded() -> None:
    async with _open() as (backend, _, caller):
        requests = [build_request(f'r{i}', work_s=0.02) for i in range(50)]
        await caller.send(*requests)
        bodies = [(await caller.read_response()).body for _ in requests]
        assert bodies == [b'r%d' % i for i in range(50)]
        assert 1 < backend.most_running <= 8


async def test_bytes_read_ahead_are_bounded() -> None:
    """Responses that cannot be sent yet do not fill the memory."""
    async with _open() as (backend, _, caller):
        requests = [
            build_request(f'r{i}', fault='large', work_s=0.5 * (i == 0))
            for i in range(8)
        ]
        await caller.send(*requests)
        await _until(lambda: len(backend.started) == 8)
        await trio.sleep(0.2)
        # What is held beyond the limit is at most one part of each.
        assert len(backend.completed) < 3
        for index in range(8):
            body = (await caller.read_response()).body
            assert len(body) == 1_000_000
            assert body.startswith(b'r%d ' % index)


async def test_large_request_ends_the_reading_ahead() -> None:
    async with _open() as (backend, _, caller):
        await caller.send(
            build_request('a', 'POST', body=bytes(300_000), work_s=0.3),
            build_request('b'),
        )
        await _until(lambda: backend.started == ['a'])
        await trio.sleep(0.1)
        assert backend.started == ['a']
        assert (await caller.read_response()).body == b'a'
        assert (await caller.read_response()).body == b'b'


async def test_broken_response_in_front_loses_no_other() -> None:
    """The one behind has been passed on, so it must be answered."""
    async with _open() as (_, _, caller):
        await caller.send(
            build_request('a', fault='truncate', work_s=0.1),
            build_request('b', work_s=0.2),
        )
        assert (await caller.read_response()).status == 502
        assert (await caller.read_response()).body == b'b'


@pytest.mark.parametrize('status', [500, 400])
async def test_failure_after_passing_on_does_not_say_not_run(
    monkeypatch: pytest.MonkeyPatch, status: int
) -> None:
    """Its caller would repeat a request that may run once only."""
    async with _open() as (_, daemon, caller):

        async def fail(*_: object) -> None:
            raise RuntimeError('test')

        monkeypatch.setattr(daemon.runner.sender, 'send', fail)
        request = build_request('a', 'POST', body=b'x')
        if status == 400:
            request = b'\0' + request
        await caller.send(request)
        received = b''
        while data := await caller.stream.receive_some():
            received += data
    assert received.startswith(b'HTTP/1.1 %d ' % status)
    assert (b'not-run' in received.lower()) == (status == 400)


async def test_request_behind_a_started_response_waits_for_its_end() -> None:
    """If that response broke off, a request passed on would be lost."""
    async with _open() as (backend, _, caller):
        await caller.send(build_request('a', fault='truncate'))
        await _until(lambda: 'a' in backend.started)
        await trio.sleep(0.02)
        await caller.send(build_request('b'))
        with pytest.raises(
            (h11.RemoteProtocolError, trio.BrokenResourceError)
        ):
            await caller.read_response()
        await trio.sleep(0.1)
        assert backend.started == ['a']


async def test_stop_answers_what_was_passed_on_and_nothing_else() -> None:
    """Callers repeat what is behind the response that closes."""
    async with _open() as (backend, daemon, caller):
        await caller.send(
            build_request('a', work_s=0.4),
            build_request('b', work_s=0.2),
            build_request('c', 'POST', body=b'x'),
            build_request('d', 'POST', body=b'x'),
        )
        await _until(lambda: len(backend.started) == 2)
        daemon.kernel.stop()
        responses = await caller.read_until_closed()
        assert [response.body for response in responses] == [b'a', b'b']
        assert [response.closes for response in responses] == [False, True]
        assert sorted(backend.started) == ['a', 'b']


async def _send_flood(caller: PipeliningCaller) -> None:
    flood = [build_request(f'r{i}') for i in range(1000)]
    with contextlib.suppress(
        trio.BrokenResourceError, trio.ClosedResourceError
    ):
        await caller.send(*flood)


async def test_response_that_closes_is_not_reset() -> None:
    """Closing with unread requests in the socket would discard it."""
    for _ in range(5):
        async with _open() as (backend, daemon, caller):
            await caller.send(build_request('a', 'POST', work_s=1.0))
            await _until(lambda: 'a' in backend.started)
            daemon.kernel.stop()
            while not daemon.caller.stopping:
                await trio.lowlevel.checkpoint()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send_flood, caller)
                await trio.sleep(0.2)
                responses = await caller.read_until_closed()
                nursery.cancel_scope.cancel()
            assert [response.body for response in responses] == [b'a']
            assert responses[0].closes
            assert backend.started == ['a']


async def test_slow_reader_gets_the_held_responses_in_a_stop() -> None:
    """The grace time bounds their way to the caller, not a shorter time."""
    backend = ScriptedBackend()
    with trio.fail_after(_TIME_LIMIT_S):
        async with pipelining.run_daemon(backend) as daemon:
            caller = await pipelining.connect(daemon, receive_bytes=4096)
            async with caller.stream:
                await caller.send(
                    build_request('a', fault='medium', work_s=0.2),
                    build_request('b', fault='medium'),
                    build_request('c'),
                )
                await _until(lambda: len(backend.completed) == 3)
                daemon.kernel.stop()
                await trio.sleep(1.0)
                responses = await caller.read_until_closed()
            assert [len(response.body) for response in responses] == [
                200_000,
                200_000,
                1,
            ]


@pytest.mark.parametrize('fault', ['medium', 'large'])
async def test_caller_that_reads_nothing_does_not_prolong_a_stop(
    fault: str,
) -> None:
    """Its connection ends with the time limit of the drain."""
    backend = ScriptedBackend()
    with trio.fail_after(_TIME_LIMIT_S):
        async with pipelining.run_daemon(
            backend, drain_timeout_s=1.0
        ) as daemon:
            caller = await pipelining.connect(daemon, receive_bytes=4096)
            async with caller.stream:
                await caller.send(
                    *(build_request(f'r{i}', fault=fault) for i in range(4))
                )
                await _until(lambda: len(backend.started) == 4)
                await trio.sleep(0.2)
                daemon.kernel.stop()
                with trio.fail_after(1.0 + 0.5):
                    await daemon.ended.wait()
                with pytest.raises(
                    (h11.RemoteProtocolError, trio.BrokenResourceError)
                ):
                    await caller.read_until_closed()


@pytest.mark.parametrize('drain_timeout_s', [0.0, 1.0])
async def test_all_requests_running_at_the_end_get_a_response(
    drain_timeout_s: float,
) -> None:
    """Also those behind the first, in their order.

    A timeout of 0 s has the same effect as a process that is suspended until
    the end of its shutdown.
    """
    async with _open(drain_timeout_s=drain_timeout_s) as (
        backend,
        daemon,
        caller,
    ):
        await caller.send(
            build_request('a', work_s=9.0),
            build_request('b'),
            build_request('c', work_s=9.0),
        )
        await _until(lambda: backend.completed == ['b'])
        await _until(lambda: len(backend.started) == 3)
        daemon.kernel.stop()
        responses = await caller.read_until_closed()
        assert [response.status for response in responses] == [502, 200, 502]
        assert responses[-1].closes


async def test_request_that_closes_hides_what_is_behind() -> None:
    async with _open() as (backend, _, caller):
        await caller.send(
            build_request('a', work_s=0.1, fields=('Connection: close',)),
            build_request('b'),
        )
        responses = await caller.read_until_closed()
        assert [response.body for response in responses] == [b'a']
        assert backend.started == ['a']


@pytest.mark.parametrize(
    'garbage',
    [
        pytest.param(b'\0\1\2\3 nonsense\r\n\r\n', id='bytes'),
        pytest.param(b'GET /search HTTP/1.1\r\n\r\n', id='without-host'),
        pytest.param(
            b'POST /search HTTP/1.1\r\nHost: spa.example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nnonsense\r\n',
            id='chunk',
        ),
    ],
)
async def test_garbage_behind_a_request_ends_only_itself(
    garbage: bytes,
) -> None:
    async with _open() as (backend, _, caller):
        await caller.send(
            build_request('a', work_s=0.2), garbage, build_request('b')
        )
        responses = await caller.read_until_closed()
        assert [response.status for response in responses] == [200, 400]
        assert responses[0].body == b'a'
        assert responses[1].closes
        assert backend.started == ['a']


async def test_body_without_end_is_refused_at_the_deadline() -> None:
    async with _open() as (backend, _, caller):
        started = trio.current_time()
        stalled = build_request('b', 'POST', body=b'12345', deadline_ms=300)
        await caller.send(build_request('a', work_s=0.1), stalled[:-2])
        assert (await caller.read_response()).body == b'a'
        response = await caller.read_response()
        assert response.status == 408
        assert response.closes
        assert trio.current_time() - started < 1.0
        assert backend.started == ['a']


async def test_body_that_is_too_large_is_refused() -> None:
    async with _open() as (backend, _, caller):
        head = build_request('b', 'POST').replace(
            b'Content-Length: 0', b'Transfer-Encoding: chunked'
        )
        chunk = b'100000\r\n' + bytes(0x100000) + b'\r\n'
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                with contextlib.suppress(
                    trio.BrokenResourceError, trio.ClosedResourceError
                ):
                    await caller.send(build_request('a', work_s=0.1), head)
                    for _ in range(100):
                        await caller.send(chunk)

            nursery.start_soon(send)
            assert (await caller.read_response()).body == b'a'
            response = await caller.read_response()
            nursery.cancel_scope.cancel()
        assert response.status == 413
        assert response.closes
        assert backend.started == ['a']


async def test_continue_is_sent_in_turn() -> None:
    """An interim response must not appear among those in front."""
    async with _open() as (_, _, caller):
        post = build_request(
            'b', 'POST', body=b'x', fields=('Expect: 100-continue',)
        )
        await caller.send(build_request('a', work_s=0.2), post[:-1])
        assert (await caller.read_response()).body == b'a'
        interim = await caller.stream.receive_some()
        assert interim.startswith(b'HTTP/1.1 100 ')
        await caller.send(b'x')
        assert (await caller.read_response()).body == b'b'


async def test_refusal_in_place_of_continue_closes() -> None:
    """A caller that sends no body would have its next request taken for it."""
    async with _open() as (backend, _, caller):
        refused = build_request(
            'a',
            'POST',
            path='/unknown',
            body=bytes(500),
            fields=('Expect: 100-continue',),
        )
        await caller.send(refused[:-500])
        response = await caller.read_response()
        assert response.status == 404
        assert response.closes
        await caller.send(build_request('b'))
        assert await caller.read_response() is None
        assert not backend.started


# Requests of the property test: time of the application, size of the
# response, whether it may run once only, and what the application does.
_REQUESTS = st.lists(
    st.tuples(
        st.integers(0, 40),
        st.sampled_from([0, 1, 1000, 200_000, 600_000]),
        st.booleans(),
        st.sampled_from(['answer', 'answer', 'refuse', 'close', 'break']),
    ),
    min_size=1,
    max_size=12,
)


class _Application:
    """Application that does what the path of a request asks for."""

    def __init__(self) -> None:
        self.passed_on: list[int] = []
        self.not_read: list[int] = []

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        _, index, delay, size, once, action = scope['path'].split('/')
        exchange = scope['state']['exchange']
        assert (await receive())['type'] == 'http.request'
        if action != 'refuse':
            try:
                await exchange.admit(alone=once == 'True')
            except _http_server.NotReadError:
                self.not_read.append(int(index))
                return
            self.passed_on.append(int(index))
        await trio.sleep(int(delay) / 1000)
        length = int(size) + len(index) + (action == 'break')
        headers = [(b'content-length', b'%d' % length)]
        if action == 'close':
            headers.append((b'connection', b'close'))
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send(
            {
                'type': 'http.response.body',
                'body': index.encode(),
                'more_body': True,
            }
        )
        if action == 'break':
            await send(
                {
                    'type': 'http.response.body',
                    'body': bytes(int(size)),
                    'more_body': True,
                }
            )
            if not exchange.response_started:
                exchange.replace_response()
                await send(
                    {
                        'type': 'http.response.start',
                        'status': 502,
                        'headers': [(b'content-length', b'0')],
                    }
                )
                await send({'type': 'http.response.body'})
            return
        await send({'type': 'http.response.body', 'body': bytes(int(size))})


@settings(
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    requests=_REQUESTS,
    cuts=st.lists(st.integers(1, 400), max_size=8),
    pause_ms=st.integers(0, 10),
    closes_at=st.none() | st.integers(0, 1500),
    read_ahead=st.sampled_from([1, 2, 8]),
)
def test_any_sequence_is_answered_in_order(
    requests: list[tuple[int, int, bool, str]],
    cuts: list[int],
    pause_ms: int,
    closes_at: int | None,
    read_ahead: int,
) -> None:
    """Whatever the sizes, chunks, times, closings and cuts are.

    Responses have the order of the requests; what has been passed on is
    answered unless the caller has left or a response that had started broke
    off; what is behind a response that closes has not been passed on.
    """
    application = _Application()
    data = b''.join(
        (
            f'GET /{i}/{delay}/{size}/{once}/{action} HTTP/1.1\r\n'
            'Host: spa.example\r\n\r\n'
        ).encode()
        for i, (delay, size, once, action) in enumerate(requests)
    )
    data = data if closes_at is None else data[:closes_at]
    responses: list[pipelining.Response] = []
    broken = False

    async def run() -> None:
        nonlocal broken
        client_end, server_end = trio.testing.memory_stream_pair()
        caller = PipeliningCaller(client_end)
        server_settings = _http_server.HttpSettings(
            read_ahead=read_ahead, idle_timeout_s=5.0
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _http_server.serve_stream,
                application,
                server_settings,
                server_end,
            )

            async def send() -> None:
                rest = data
                with contextlib.suppress(
                    trio.BrokenResourceError, trio.ClosedResourceError
                ):
                    for size in [*cuts, len(data)]:
                        part, rest = rest[:size], rest[size:]
                        if part:
                            await client_end.send_all(part)
                            await trio.sleep(pause_ms / 1000)
                    if closes_at is not None:
                        await client_end.aclose()

            nursery.start_soon(send)
            try:
                while (response := await caller.read_response()) is not None:
                    responses.append(response)
            except (
                h11.RemoteProtocolError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ):
                broken = True

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    for index, response in enumerate(responses):
        delay, size, _, action = requests[index]
        assert response.status in (200, 502)
        assert (response.status == 502) <= (action == 'break')
        if response.status == 200:
            assert response.body.startswith(b'%d' % index)
            assert len(response.body) == size + len(str(index))
    assert not any(response.closes for response in responses[:-1])
    if closes_at is None:
        if not broken:
            assert all(i < len(responses) for i in application.passed_on)
        else:
            # Only the response that broke off is lost. If it was too large
            # to be held, some that may be repeated are lost with it.
            lost = [i for i in application.passed_on if i > len(responses)]
            too_large = requests[len(responses)][1] > 256 * 1024
            assert not lost or too_large
            assert not any(requests[i][2] for i in lost)
        ended = broken or (responses and responses[-1].closes)
        assert ended or len(responses) == len(requests)
