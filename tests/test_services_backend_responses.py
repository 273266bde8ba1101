"""Tests of misplaced, repeated and truncated responses of backend servers."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from typing import TYPE_CHECKING

import h11
import httpcore
import pytest
import trio
import trio.testing

from gypsumhall.net import _messages
from gypsumhall.net._messages import Outcome
from gypsumhall.platform._names import DIALECT
from gypsumhall.services import _responses
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import open_daemons

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from gypsumhall.testing.daemons import CallPathDaemon

_TIME_LIMIT_S = 20.0
_SNAPSHOT = build_snapshot()
_REJECTED = ('rejected', Outcome.NOT_RUN, 'shed')
_BAD_RESPONSE = ('rejected', Outcome.UNKNOWN, 'bad-response')
_MISDIRECTED = ('rejected', Outcome.NOT_RUN, 'no-backend')


def _response(status: int, request_id: str, *fields: str) -> bytes:
    """Return a response; without an id if `request_id` is empty."""
    lines = [f'HTTP/1.1 {status} Status', 'Content-Length: 4', *fields]
    if request_id:
        lines.append(f'Gypsumhall-Request-Id: {request_id}')
    return ('\r\n'.join(lines) + '\r\n\r\nbody').encode()


def _rejection(status: int, request_id: str) -> bytes:
    return _response(status, request_id, 'Gypsumhall-Not-Executed: 1')


class _Server:
    """Backend server that runs each request, unless a script replaces that.

    Parameters
    ----------
    scripts : dict
        Request id -> coroutine function that responds to this request.
    """

    def __init__(
        self,
        scripts: dict[str, Callable[[trio.SocketStream], Awaitable[None]]],
    ) -> None:
        self._scripts = scripts
        self.address = ''
        self.accepted = 0
        self.runs: dict[str, int] = {}
        self.last_stream: trio.SocketStream

    async def serve(self, stream: trio.SocketStream) -> None:
        self.accepted += 1
        self.last_stream = stream
        received = b''
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                received += data
                while b'\r\n\r\n' in received:
                    head, _, received = received.partition(b'\r\n\r\n')
                    await self._respond(stream, head)

    async def _respond(self, stream: trio.SocketStream, head: bytes) -> None:
        request_id = ''
        for line in head.split(b'\r\n'):
            name, _, value = line.partition(b': ')
            if name.lower() == DIALECT.request_id:
                request_id = value.decode()
        script = self._scripts.get(request_id)
        if script is not None:
            await script(stream)
            return
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        await stream.send_all(_response(200, request_id))

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[_Server]:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            nursery.start_soon(trio.serve_listeners, self.serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            self.address = f'127.0.0.1:{port}'
            yield self
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _open_daemon(server: _Server) -> AsyncIterator[CallPathDaemon]:
    with trio.fail_after(_TIME_LIMIT_S):
        async with (
            server.run(),
            open_daemons(server.address, _SNAPSHOT, 1, DIALECT) as daemons,
        ):
            yield daemons[0]


async def _execute(
    daemon: CallPathDaemon,
    request_id: str,
    attempt: int = 1,
    body: bytes = b'',
) -> object:
    """Run a request that is not idempotent; return its result.

    That is the status, or the kind of failure, its outcome and its code.
    """
    messages: list[_messages.Message] = []

    async def send(message: _messages.Message) -> None:
        messages.append(message)

    headers = [(b'host', b'spa.example')]
    if request_id:
        headers.append((DIALECT.request_id, request_id.encode()))
    call = _messages.CallStart(
        f'd0/1:{request_id}-{attempt}',
        0,
        'availability',
        'v1',
        'spa/search',
        'POST',
        '/search',
        tuple(headers),
        5000,
        False,
    )
    await daemon.runner.execute(call, body, send)
    first, last = messages[0], messages[-1]
    if isinstance(first, _messages.CallRefused):
        return 'rejected', first.outcome, first.code
    assert isinstance(first, _messages.AnswerStart)
    if isinstance(last, _messages.AnswerEnd) and not last.complete:
        return 'incomplete'
    return first.status


@pytest.mark.parametrize('repeated_id', ['r1', ''])
@pytest.mark.parametrize('status', [421, 429, 503])
async def test_repeated_rejection_is_not_the_result_of_the_next_request(
    status: int, repeated_id: str
) -> None:
    """An earlier rejection, written once more, says nothing about a request.

    Callers were told that their requests had not run while they were running.
    """
    server = _Server({})

    async def repeat_rejection_and_run(stream: trio.SocketStream) -> None:
        await stream.send_all(_rejection(status, repeated_id))
        server.runs['r2'] = 1
        await stream.send_all(_response(200, 'r2'))

    server._scripts['r2'] = repeat_rejection_and_run
    async with _open_daemon(server) as daemon:
        assert await _execute(daemon, 'r1') == 200
        assert await _execute(daemon, 'r2') == _BAD_RESPONSE
        # The bytes after the repeated rejection belong to no request either.
        assert await _execute(daemon, 'r3') == 200
    assert server.runs == {'r1': 1, 'r2': 1, 'r3': 1}
    assert server.accepted == 2


@pytest.mark.parametrize('repeated_id', ['r1', ''])
async def test_rejection_repeated_while_a_request_is_sent(
    repeated_id: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It arrives after the check of the pooled connection.

    The check alone can't prevent that it is read in place of the response.
    """
    server = _Server({})
    mark_sent = _responses.Run.mark_sent

    def mark_sent_after_rejection(run: _responses.Run) -> None:
        if server.runs:
            rejection = _rejection(503, repeated_id)
            # trio's own `send` is asynchronous.
            os.write(server.last_stream.socket.fileno(), rejection)
        mark_sent(run)

    monkeypatch.setattr(_responses.Run, 'mark_sent', mark_sent_after_rejection)
    async with _open_daemon(server) as daemon:
        assert await _execute(daemon, 'r1') == 200
        assert await _execute(daemon, 'r2') == _BAD_RESPONSE


@pytest.mark.parametrize('repeated_id', ['r1', ''])
async def test_rejection_repeated_between_two_requests(
    repeated_id: str,
) -> None:
    """The connection is closed, because the next response may be misplaced."""
    server = _Server({})
    async with _open_daemon(server) as daemon:
        assert await _execute(daemon, 'r1') == 200
        await server.last_stream.send_all(_rejection(503, repeated_id))
        await trio.testing.wait_all_tasks_blocked()
        assert await _execute(daemon, 'r2') == 200
    assert server.accepted == 2
    assert server.runs == {'r1': 1, 'r2': 1}


@pytest.mark.parametrize('own_id', [True, False])
@pytest.mark.parametrize(
    ('rejection', 'expected'),
    [
        pytest.param(
            lambda name: _response(421, name), _MISDIRECTED, id='421'
        ),
        pytest.param(lambda name: _rejection(429, name), _REJECTED, id='429'),
        pytest.param(lambda name: _rejection(503, name), _REJECTED, id='503'),
    ],
)
async def test_rejection_on_a_new_connection_is_definite(
    rejection: Callable[[str], bytes], expected: object, own_id: bool
) -> None:
    """No earlier request can have caused it, even if it has no request id.

    An endpoint that has taken over an address rejects requests with 421. They
    may then be sent to another endpoint, even if they are not idempotent.
    """

    async def reject(stream: trio.SocketStream) -> None:
        await stream.send_all(rejection('r1' if own_id else ''))

    async with _open_daemon(_Server({'r1': reject})) as daemon:
        assert await _execute(daemon, 'r1') == expected


@pytest.mark.parametrize('status', [421, 429, 503])
async def test_rejection_with_own_id_on_a_kept_connection_is_definite(
    status: int,
) -> None:
    """Overloaded endpoints reject requests on connections that are in use."""

    async def reject(stream: trio.SocketStream) -> None:
        await stream.send_all(_rejection(status, 'r2'))

    async with _open_daemon(_Server({'r2': reject})) as daemon:
        assert await _execute(daemon, 'r1') == 200
        expected = _MISDIRECTED if status == 421 else _REJECTED
        assert await _execute(daemon, 'r2') == expected


async def test_rejection_with_two_request_ids_is_not_believed() -> None:
    """Joined heads of two responses don't identify a request."""

    async def reject(stream: trio.SocketStream) -> None:
        await stream.send_all(
            _response(
                503,
                'r1',
                'Gypsumhall-Request-Id: r0',
                'Gypsumhall-Not-Executed: 1',
            )
        )

    async with _open_daemon(_Server({'r1': reject})) as daemon:
        assert await _execute(daemon, 'r1') == _BAD_RESPONSE


async def test_repeated_rejection_does_not_run_a_request_twice() -> None:
    """The caller is told neither "not run", nor is another endpoint asked."""
    server = _Server({})

    async def repeat_rejection_and_run(stream: trio.SocketStream) -> None:
        await stream.send_all(_rejection(503, 'r0'))
        server.runs['r2'] = server.runs.get('r2', 0) + 1
        await stream.send_all(_response(200, 'r2'))

    server._scripts['r2'] = repeat_rejection_and_run
    with trio.fail_after(_TIME_LIMIT_S):
        async with (
            server.run(),
            open_daemons(server.address, _SNAPSHOT, 2, DIALECT) as daemons,
            httpcore.AsyncConnectionPool() as pool,
        ):
            daemons[0].set_backend(server.address)
            for index, daemon in enumerate(daemons):
                assert await _execute(daemon, f'r{index}') == 200
            response = await pool.request(
                'POST',
                f'http://{daemons[0].caller.address}/search',
                headers={
                    'Host': 'spa.example',
                    'Gypsumhall-Request-Id': 'r2',
                },
            )
    assert response.status == 502
    assert server.runs == {'r0': 1, 'r1': 1, 'r2': 1}


_INFORMATIONAL = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
_HEAD = (
    b'HTTP/1.1 200 OK\r\nGypsumhall-Request-Id: cut\r\n'
    b'Gypsumhall-Response-Signature: 3e1b.07\r\n'
)
_WHOLE_BODY = b'twelve bytes'
_WITH_LENGTH = _HEAD + b'Content-Length: 12\r\n\r\n' + _WHOLE_BODY
_LENGTH_FIRST = _WITH_LENGTH.replace(
    b' OK\r\n', b' OK\r\nContent-Length: 12\r\n'
)
_CHUNKED = (
    _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    b'6;a=b\r\ntwelve\r\n06\r\n bytes\r\n0\r\nX-Trailer: 1\r\n\r\n'
)
# Statuses that tell a caller on the platform that its request did not run.
_NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])


_UNTIL_CLOSE = _HEAD + b'\r\n' + _WHOLE_BODY


class _Cutting:
    """Script that sends a part of a response and ends the connection.

    Parameters
    ----------
    response : bytes
        The response.
    reset : bool
        Whether the connection is reset instead of closed.
    """

    def __init__(self, response: bytes, *, reset: bool) -> None:
        self._response = response
        self._reset = reset
        self.length = 0

    async def send(self, stream: trio.SocketStream) -> None:
        await stream.send_all(self._response[: self.length])
        if self._reset:
            linger = struct.pack('ii', 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await stream.aclose()
        raise trio.BrokenResourceError


async def _call(
    daemon: CallPathDaemon, method: str, request_id: str
) -> tuple[int, bytes] | None:
    """Return the status and body; None if the response is incomplete."""
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request(
                method,
                f'http://{daemon.caller.address}/search',
                headers={
                    'Host': 'spa.example',
                    'Gypsumhall-Request-Id': request_id,
                },
            )
        except (httpcore.RemoteProtocolError, httpcore.ReadError):
            return None
    return response.status, response.content


@pytest.mark.parametrize('status', [408, 429, 503])
async def test_status_alone_is_not_a_rejection(status: int) -> None:
    """Callers take these statuses for the promise that nothing has run.

    An endpoint promises that only with a header.
    """
    server = _Server({})

    async def run_and_fail(stream: trio.SocketStream) -> None:
        server.runs['r1'] = 1
        await stream.send_all(_response(status, 'r1'))

    server._scripts['r1'] = run_and_fail
    async with _open_daemon(server) as daemon:
        assert await _execute(daemon, 'r1') == _BAD_RESPONSE


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    'status',
    ['000', '007', '099', '101', '20', '2000', '+20', '-01', '600', '999'],
)
async def test_status_outside_the_standard_never_reaches_a_caller(
    status: str, method: str
) -> None:
    """Guards against responses with a status that RFC 9110 does not define.

    An endpoint that fails may send one; 600 and 999 were passed on. The
    request may have run, so its caller gets 502.
    """

    async def respond(stream: trio.SocketStream) -> None:
        response = _response(200, 'r1').replace(
            b' 200 ', f' {status} '.encode()
        )
        await stream.send_all(response)

    async with _open_daemon(_Server({'r1': respond})) as daemon:
        result = await _call(daemon, method, 'r1')
    assert result is not None
    assert result[0] == 502


@pytest.mark.parametrize('status', [200, 404, 500])
async def test_rejection_with_the_status_of_a_run_is_not_believed(
    status: int,
) -> None:
    """The parts of the head contradict each other."""

    async def respond(stream: trio.SocketStream) -> None:
        await stream.send_all(_rejection(status, 'r1'))

    async with _open_daemon(_Server({'r1': respond})) as daemon:
        assert await _execute(daemon, 'r1') == _BAD_RESPONSE


@pytest.mark.parametrize('kept', [False, True], ids=['new', 'kept'])
@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize(
    ('method', 'index'),
    [
        pytest.param('POST', 0, id='sent-to-peer'),
        pytest.param('GET', 1, id='run-here'),
    ],
)
@pytest.mark.parametrize(
    'response',
    [
        pytest.param(_WITH_LENGTH, id='length'),
        pytest.param(_INFORMATIONAL + _LENGTH_FIRST, id='length-first'),
        pytest.param(_CHUNKED, id='chunks'),
    ],
)
async def test_response_cut_after_any_byte_is_not_a_success(
    response: bytes, method: str, index: int, reset: bool, kept: bool
) -> None:
    """The caller gets 502 or can tell that the response is incomplete.

    A head that ends early could otherwise pass for a whole response with an
    empty body, or for one with the first digit of its length.
    """
    cutting = _Cutting(response, reset=reset)
    server = _Server({'cut': cutting.send})
    with trio.fail_after(3 * _TIME_LIMIT_S):
        async with (
            server.run(),
            open_daemons(server.address, _SNAPSHOT, 2, DIALECT) as daemons,
        ):
            for length in range(len(response)):
                if kept:
                    assert await _execute(daemons[1], f'r{length}') == 200
                accepted = server.accepted
                cutting.length = length
                result = await _call(daemons[index], method, 'cut')
                assert result is None or result[0] == 502, length
                if kept and method == 'POST':
                    assert server.accepted == accepted
            cutting.length = len(response)
            result = await _call(daemons[index], method, 'cut')
            if not reset:
                assert result == (200, _WHOLE_BODY)


@pytest.mark.parametrize('index', [0, 1])
@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
async def test_reset_response_without_a_length_is_not_complete(
    index: int, reset: bool
) -> None:
    """Only a regular close ends a body that has neither length nor chunks."""
    cutting = _Cutting(_UNTIL_CLOSE, reset=reset)
    server = _Server({'cut': cutting.send})
    start = len(_UNTIL_CLOSE) - len(_WHOLE_BODY)
    with trio.fail_after(_TIME_LIMIT_S):
        async with (
            server.run(),
            open_daemons(server.address, _SNAPSHOT, 2, DIALECT) as daemons,
        ):
            for length in range(len(_UNTIL_CLOSE) + 1):
                cutting.length = length
                result = await _call(daemons[index], 'POST', 'cut')
                if length < start or reset:
                    assert result is None or result[0] == 502, length
                else:
                    assert result == (200, _UNTIL_CLOSE[start:length])


@pytest.mark.parametrize('size', [1000, 1_000_000])
async def test_large_response_without_a_length_is_forwarded(size: int) -> None:
    """A large one is forwarded while it arrives."""
    body = bytes(range(250)) * (size // 250)
    for reset in (False, True):
        cutting = _Cutting(_HEAD + b'\r\n' + body, reset=reset)
        cutting.length = len(_HEAD) + 2 + size
        async with _open_daemon(_Server({'cut': cutting.send})) as daemon:
            result = await _call(daemon, 'POST', 'cut')
            if reset:
                assert result is None or result[0] == 502
            else:
                assert result == (200, body)


async def test_reset_while_a_request_is_sent_does_not_end_a_response() -> None:
    """The failed send reports the reset; the next read just ends.

    Part of a response without a length would then look complete.
    """
    cutting = _Cutting(_UNTIL_CLOSE, reset=True)
    cutting.length = len(_UNTIL_CLOSE) - 4
    async with _open_daemon(_Server({'cut': cutting.send})) as daemon:
        body = bytes(64 * 1024 * 1024)
        result = await _execute(daemon, 'cut', body=body)
    assert result in (
        'incomplete',
        ('rejected', Outcome.UNKNOWN, 'backend-reset'),
    )


@pytest.mark.parametrize('second_id', ['r0', 'r1', ''])
async def test_response_after_part_of_a_head_is_not_a_rejection(
    second_id: str,
) -> None:
    """Two heads may form one; its parts then belong to two responses."""
    length = 0
    first = _response(200, 'r1', 'Gypsumhall-Response-Signature: 3e1b.07')
    second = _rejection(503, second_id)

    async def respond(stream: trio.SocketStream) -> None:
        await stream.send_all(first[:length] + second)

    server = _Server({'r1': respond})
    async with _open_daemon(server) as daemon:
        for length in range(1, first.index(b'\r\n\r\n') + 4):
            assert await _execute(daemon, 'r0', length) == 200
            result = await _execute(daemon, 'r1', length)
            assert result in (_BAD_RESPONSE, 200), length


async def _exchange(daemon: CallPathDaemon, version: str) -> bytes:
    """Return the bytes that a caller receives for a request."""
    host, _, port = daemon.caller.address.rpartition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    received = b''
    async with stream:
        await stream.send_all(
            f'POST /search HTTP/{version}\r\nHost: spa.example\r\n'
            'Gypsumhall-Request-Id: cut\r\nConnection: close\r\n\r\n'.encode()
        )
        while data := await stream.receive_some():
            received += data
    return received


def _parse(received: bytes) -> bytes | None:
    """Return the body of a response; None if it is incomplete."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method='POST', target='/', headers=[('Host', '')])
    )
    connection.send(h11.EndOfMessage())
    connection.receive_data(received)
    connection.receive_data(b'')
    body = b''
    try:
        while not isinstance(
            event := connection.next_event(), h11.EndOfMessage
        ):
            if isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.ConnectionClosed):
                return None
    except h11.RemoteProtocolError:
        return None
    return body


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize(
    'response',
    [
        pytest.param(_WITH_LENGTH, id='length'),
        pytest.param(_CHUNKED, id='chunks'),
        pytest.param(_UNTIL_CLOSE, id='until-close'),
        pytest.param(_HEAD + b'Content-Length: 0\r\n\r\n', id='empty'),
    ],
)
async def test_caller_can_tell_that_a_response_is_incomplete(
    response: bytes, version: str
) -> None:
    """Each response to a caller has a length or chunks.

    Otherwise a part of it looks complete once the connection has ended.
    """

    cutting = _Cutting(response, reset=False)
    cutting.length = len(response)
    async with _open_daemon(_Server({'cut': cutting.send})) as daemon:
        received = await _exchange(daemon, version)
    assert _parse(received) == (
        b'' if b'Length: 0' in response else _WHOLE_BODY
    )
    for length in range(len(received)):
        assert _parse(received[:length]) is None, length


@pytest.mark.parametrize('length', [0, 4, 6, 12, 40])
async def test_length_of_a_chunked_response_is_ignored(length: int) -> None:
    """Forwarded with another body, it would frame a part as the whole."""

    async def respond(stream: trio.SocketStream) -> None:
        await stream.send_all(
            _CHUNKED.replace(
                b' OK\r\n', b' OK\r\nContent-Length: %d\r\n' % length
            )
        )

    server = _Server({'cut': respond})
    with trio.fail_after(_TIME_LIMIT_S):
        async with (
            server.run(),
            open_daemons(server.address, _SNAPSHOT, 2, DIALECT) as daemons,
        ):
            for daemon in daemons:
                result = await _call(daemon, 'POST', 'cut')
                assert result == (200, _WHOLE_BODY)
