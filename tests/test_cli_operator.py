"""Tests of the command line ``gypsumhall`` against daemons over HTTP."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
import json
import pathlib
import time
from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.cli import operator
from gypsumhall.core import _accept
from gypsumhall.services._admin import MAX_BODY_BYTES
from gypsumhall.store import _keys
from gypsumhall.testing.control_plane import ControlPlane
from gypsumhall.testing.memory_store import Fault
from gypsumhall.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
_ITURRASPE = str(_EXAMPLES / 'iturraspe' / 'semaforizacion.yaml')
_OMARURU = [
    str(_EXAMPLES / 'omaruru' / name)
    for name in ('availability.yaml', 'sales.yaml', 'memberships.yaml')
]
_INVALID_FLAGS = ('status', '--daemons=h', '--output=x', '--nope')
_OVERSIZED_BODY = b' ' * (MAX_BODY_BYTES + 1)
_MOVES_TEXT = """
moves:
  archive-v2: {service: archive, from: v1, to: v2, within: 1h}
"""


@dataclass
class _Outcome:
    code: int
    out: str
    err: str

    @property
    def fields(self) -> dict[str, Any]:
        fields = json.loads(self.out)
        assert isinstance(fields, dict)
        return fields


async def _connect(address: str) -> trio.SocketStream:
    host, _, port = address.rpartition(':')
    return await trio.open_tcp_stream(host, int(port))


class _OperatorCli:
    """A daemon and the command line that connects to it."""

    def __init__(self, plane: ControlPlane, capsys: Any) -> None:
        assert plane.admin is not None
        self.plane = plane
        self.address = plane.admin.bound_address
        self._capsys = capsys

    async def run(self, *arguments: str, daemons: str = '') -> _Outcome:
        """Run the binary in a thread, as it starts its own event loop."""
        environment = {
            'GYPSUMHALL_DAEMONS': daemons or self.address,
            'GYPSUMHALL_TOKEN': 'secret-token',
            'GYPSUMHALL_TIMEOUT': '40s',
        }
        self._capsys.readouterr()
        code = await trio.to_thread.run_sync(
            operator.run, arguments, environment
        )
        captured = self._capsys.readouterr()
        return _Outcome(code, captured.out, captured.err)


@asynccontextmanager
async def _operator_cli(
    capsys: Any, store: MemoryStore | None = None
) -> AsyncIterator[_OperatorCli]:
    plane = ControlPlane(store or MemoryStore(), time.time, '127.0.0.1:0')
    async with plane.running():
        yield _OperatorCli(plane, capsys)


async def test_examples_are_accepted_in_dependency_order(capsys: Any) -> None:
    async with _operator_cli(capsys) as cli:
        refused = await cli.run('submit', _OMARURU[1], '--output=json')
        assert refused.code == operator.REFUSED
        finding = refused.fields['findings'][0]
        assert (finding['code'], finding['line']) == ('missing-dependency', 7)
        for number, name in enumerate([*_OMARURU, _ITURRASPE], 1):
            assert (await cli.run('check', name)).code == operator.OK
            accepted = await cli.run('submit', name, '--output=json')
            assert accepted.code == operator.OK
            assert accepted.fields['version'] == number
        status = await cli.run('status', '--output=json')
        assert status.fields['departments'] == [
            'availability',
            'memberships',
            'sales',
            'semaforizacion',
        ]
        assert status.fields['in_effect']
        metrics = await _connect(cli.address)
        await metrics.send_all(b'GET /metrics HTTP/1.0\r\n\r\n')
        page = b''.join([chunk async for chunk in metrics])
        assert b'acceptance_results_total' in page


async def test_wait_ends_when_a_version_is_in_effect(capsys: Any) -> None:
    async with _operator_cli(capsys) as cli:
        await cli.run('submit', _ITURRASPE)
        cli.plane.distribution.lag = 1
        late = await cli.run('wait', '1', '--timeout=1s')
        assert late.code == operator.TIMED_OUT
        assert 'zone az-2: not yet' in (await cli.run('status')).out
        async with trio.open_nursery() as nursery:

            async def remove_lag() -> None:
                await trio.sleep(0.3)
                cli.plane.distribution.lag = 0

            nursery.start_soon(remove_lag)
            done = await cli.run('wait', '1')
        assert done.code == operator.OK
        assert done.out == 'version 1 in effect\n'


async def test_move_is_observed_and_aborted(
    capsys: Any, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / 'text.yaml'
    text = await trio.Path(_ITURRASPE).read_text()
    await trio.Path(path).write_text(text + _MOVES_TEXT)
    move = 'semaforizacion/archive-v2'
    async with _operator_cli(capsys) as cli:
        await cli.run('submit', str(path), '--wait')
        assert (
            f'move {move}: archive v1 -> v2, active, 1%'
            in (await cli.run('moves')).out
        )
        pending = await cli.run('wait', move, '--timeout=1s')
        assert pending.code == operator.TIMED_OUT
        wrong = await cli.run('abort', move, '--token=wrong-token')
        assert wrong.code == operator.REFUSED
        assert 'wrong-token' in wrong.out
        missing = await cli.run('abort', 'semaforizacion/other')
        assert missing.code == operator.REFUSED
        assert f'moves of semaforizacion: {move}' in missing.out
        assert (await cli.run('abort', move)).code == operator.OK
        ended = await cli.run('wait', move)
        assert ended.code == operator.REFUSED
        assert 'reverted (aborted)' in ended.out
        events = await cli.run('events')
        assert 'move-aborted' in events.out


async def test_graceful_shutdown_responds_to_waiting_requests(
    capsys: Any,
) -> None:
    async with _operator_cli(capsys) as cli:
        await cli.run('submit', _ITURRASPE)
        cli.plane.distribution.lag = 1
        stream = await _connect(cli.address)
        await stream.send_all(
            b'GET /v1/operator/wait?version=1&timeout=60 HTTP/1.1\r\n'
            b'host: x\r\nconnection: close\r\n\r\n'
        )
        await trio.sleep(0.2)
        cli.plane.kernel.stop()
        with trio.fail_after(30):
            response = b''.join([chunk async for chunk in stream])
    assert b'"done": false' in response


async def _drop_responses(listener: trio.SocketListener, address: str) -> None:
    """Forward requests and drop every response."""

    async def serve(client: trio.SocketStream) -> None:
        async with await _connect(address) as server, client:

            async def forward() -> None:
                async for chunk in client:
                    await server.send_all(chunk)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(forward)
                await server.receive_some(65536)
                nursery.cancel_scope.cancel()

    await trio.serve_listeners(serve, [listener])


async def test_lost_response_does_not_cause_a_second_acceptance(
    capsys: Any,
) -> None:
    store = MemoryStore()
    async with (
        _operator_cli(capsys, store) as cli,
        trio.open_nursery() as nursery,
    ):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(_drop_responses, listeners[0], cli.address)
        result = await cli.run(
            'submit',
            _ITURRASPE,
            '--output=json',
            '--submission_id=0.first-attempt',
            daemons=f'127.0.0.1:1,127.0.0.1:{port},{cli.address}',
        )
        assert result.code == operator.OK
        assert result.fields['version'] == 1
        assert 'trying again' in result.err
        snapshot = cli.plane.distribution.snapshot
        assert snapshot is not None
        assert snapshot.version == 1
        assert _accept.find_submission(snapshot.head, '0.first-attempt')
        changes = [item for item in store.history if item.key == _keys.HEAD]
        assert len(changes) == 1
        nursery.cancel_scope.cancel()


async def test_outages_have_distinct_exit_codes(capsys: Any) -> None:
    store = MemoryStore()
    async with _operator_cli(capsys, store) as cli:
        await cli.run('submit', _OMARURU[0])
        store.outage = True
        unavailable = await cli.run('submit', _ITURRASPE, '--timeout=1s')
        assert unavailable.code == operator.UNAVAILABLE
        assert 'nothing was accepted' in unavailable.out
        # If the platform is unavailable, a text is checked against the
        # snapshot.
        checked = await cli.run('check', _OMARURU[2])
        assert 'missing-dependency' in checked.out
        store.outage = False
        store.inject('txn', *[Fault.LOST_REQUEST] * 1000)
        unknown = await cli.run('submit', _ITURRASPE, '--timeout=1s')
        assert unknown.code == operator.UNKNOWN
        assert 'submit again with --submission_id=1.' in unknown.out
        none = await cli.run('status', '--timeout=1s', daemons='127.0.0.1:1')
        assert none.code == operator.UNAVAILABLE


@pytest.mark.parametrize(
    ('request_head', 'body', 'expected'),
    [
        ('GET /v1/operator/nothing', b'', '404 no-such-path'),
        ('POST /v1/operator/status', b'', '405 method-not-allowed'),
        ('POST /v1/operator/submit', b'{', '400 bad-json'),
        ('POST /v1/operator/submit', b'[' * 5000, '400 bad-json'),
        ('POST /v1/operator/submit', b'[]', '400 bad-json'),
        ('POST /v1/operator/submit', b'{"id": 5}', '400 bad-field'),
        ('POST /v1/operator/check', _OVERSIZED_BODY, '413 too-large'),
        ('GET /v1/operator/wait?version=x', b'', '400 bad-query'),
        ('GET /v1/operator/wait', b'', '400 bad-query'),
        ('GET /v1/operator/wait?version=1&timeout=nan', b'', '400 bad-query'),
        ('GET /v1/operator/status', b'', '503 starting'),
        ('GET /v1/operator/submissions/some-id', b'', '404 absent'),
        ('POST /v1/operator/moves/a/b', b'{}', '404 no-such-path'),
        ('POST /v1/operator/moves/a/b/abort', b'{}', '400 bad-field'),
        ('GET /events?since=-1', b'', '400 bad-query'),
        ('GET /fails', b'', '500 internal'),
    ],
)
async def test_invalid_requests_receive_problem_responses(
    capsys: Any, request_head: str, body: bytes, expected: str
) -> None:
    async with _operator_cli(capsys) as cli:

        async def fail(request: object) -> Any:
            raise KeyError('injected')

        assert cli.plane.admin is not None
        cli.plane.admin.add_route('GET', '/fails', fail)
        stream = await _connect(cli.address)
        request_text = (
            f'{request_head} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        with trio.fail_after(30):
            # An oversized body is rejected before all of it has been read.
            with trio.move_on_after(5):
                await stream.send_all(request_text.encode() + body[:65536])
            response = b''.join([chunk async for chunk in stream])
    response_head, _, content = response.partition(b'\r\n\r\n')
    fields = json.loads(content)
    assert b'content-type: application/problem+json' in response_head
    assert f'{fields["status"]} {fields["code"]}' == expected
    assert response_head.split()[1] == str(fields['status']).encode()


@pytest.mark.parametrize(
    ('arguments', 'expected'),
    [
        ((), 'no command'),
        (('sumbit',), "unknown command 'sumbit'"),
        (('status',), 'give --daemons'),
        (('status', 'x', '--daemons=h:1'), 'takes no arguments'),
        (('submit', 'a', 'b', '--daemons=h:1'), 'takes one argument'),
        (('submit', '/nonexistent', '--daemons=h:1'), 'No such file'),
        (('submit', _ITURRASPE, '--daemons=h:1'), 'give --token_file'),
        (('wait', 'x', '--daemons=h:1'), 'neither a version nor'),
        (('abort', 'x', '--daemons=h:1'), 'is not <department>/<move>'),
        (
            ('abort', 'x/y', '--daemons=h:1', '--token_file=/nonexistent'),
            '--token_file',
        ),
        (('explain', 'GET', 'h', '--daemons=h:1'), 'takes three arguments'),
        (('explain', 'GET', 'h', '/'), 'give --daemons'),
        (
            ('explain', 'GET', 'h', '/', '--daemons=h:1', '--key_file=/none'),
            '--key_file /none: No such file',
        ),
        (_INVALID_FLAGS, '--daemons: bad-setting'),
        (_INVALID_FLAGS, '--output: bad-setting'),
        (_INVALID_FLAGS, '--nope: unknown-flag'),
        (('status', '--timeout'), 'command line: bad-setting'),
        (('status', '--follow=maybe'), 'bad-setting'),
    ],
)
def test_usage_errors_are_explained(
    capsys: Any, arguments: tuple[str, ...], expected: str
) -> None:
    assert operator.run(arguments, {}) == operator.USAGE
    assert expected in capsys.readouterr().err


def test_texts_are_checked_together_without_a_daemon(capsys: Any) -> None:
    assert operator.run(['check', *_OMARURU], {}) == operator.OK
    assert operator.run(['check', _OMARURU[2]], {}) == operator.REFUSED
    assert 'memberships.yaml:7:18: missing-dependency' in (
        capsys.readouterr().out
    )
    assert operator.run(['--help'], {}) == operator.OK
    assert 'Exit codes:' in capsys.readouterr().out
