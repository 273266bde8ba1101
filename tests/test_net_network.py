"""Contract tests of the streams between daemons, over real sockets."""

from __future__ import annotations

import contextlib
import os
import random
import signal
import socket
import struct
import subprocess
import sys
from typing import Any
from typing import TYPE_CHECKING

import msgpack
import msgspec
import pytest
import trio
import trio.testing

from gypsumhall.errors import PeerLostError
from gypsumhall.errors import PeerProtocolError
from gypsumhall.errors import PeerUnreachableError
from gypsumhall.net import _frames
from gypsumhall.net import _handshake
from gypsumhall.net import _messages
from gypsumhall.net._frames import Kind
from gypsumhall.net._network import Network
from gypsumhall.net._network import PeerSettings
from gypsumhall.net._stream import StreamSettings
from gypsumhall.testing import echo_peer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from gypsumhall.net._protocol import Exchange

# Times well above the delays of a busy machine, well below the test timeout.
_TIMES = StreamSettings(ping_after_s=0.5, dead_after_s=1.5)
_WAIT_S = 20.0
_FLOOR = _messages.FloorRequest('d1')
_CALL = _messages.CallStart(
    'r1', 0, 's', 'v1', 'd/r', 'POST', '/', (), 1000, False, has_body=True
)


class _Peer(Network):
    """Network that keeps its events."""

    def __init__(self, name: str, **settings: Any) -> None:
        self.events: list[str] = []
        values = {'stream': _TIMES, 'keys': (echo_peer.KEY,)} | settings
        super().__init__(
            PeerSettings(name, 'az-1', 1, '127.0.0.1:0', **values),
            lambda code, **fields: self.events.append(code),
        )
        self.on(_messages.FloorRequest, echo_peer.reply_to_floor_request)
        self.on(_messages.CallStart, echo_peer.echo_call)

    async def floor(self, address: str) -> int:
        """Return the number of calls that a process has started."""
        answer = await self.request(address, _FLOOR, timeout_s=_WAIT_S)
        assert isinstance(answer, _messages.Floor)
        assert answer.installed_version == 2
        return answer.acknowledged_version


class _Relay:
    """Relays connections to a peer and disturbs those that it relays."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._pairs: list[tuple[trio.SocketStream, trio.SocketStream]] = []
        self._silent: set[trio.SocketStream] = set()
        self.recorded = b''
        self.address = ''

    async def serve(self, *, task_status: trio.TaskStatus[None]) -> None:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        await trio.serve_listeners(
            self._relay, listeners, task_status=task_status
        )

    async def _relay(self, opener: trio.SocketStream) -> None:
        acceptor = await trio.open_tcp_stream(*self._target)
        self._pairs.append((opener, acceptor))
        with contextlib.suppress(trio.BrokenResourceError):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, opener, acceptor)
                nursery.start_soon(self._copy, acceptor, opener)

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async for data in source:
                if any(source is pair[0] for pair in self._pairs):
                    self.recorded += data
                if source not in self._silent:
                    await sink.send_all(data)
            await sink.aclose()

    def silence(self) -> None:
        """Drop everything on the present connections, not on new ones."""
        for pair in self._pairs:
            self._silent.update(pair)

    def reset(self) -> None:
        for pair in self._pairs:
            for stream in pair:
                stream.socket.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
                stream.socket.close()

    async def inject(self, data: bytes) -> None:
        """Send bytes to the accepting side, in the midst of the stream."""
        with contextlib.suppress(trio.BrokenResourceError):
            await self._pairs[-1][1].send_all(data)


@contextlib.asynccontextmanager
async def _peers(
    one: dict[str, Any] | None = None, two: dict[str, Any] | None = None
) -> AsyncIterator[tuple[_Peer, _Peer, _Relay]]:
    first, second = _Peer('one', **(one or {})), _Peer('two', **(two or {}))
    with trio.fail_after(3 * _WAIT_S):
        async with trio.open_nursery() as nursery:
            await nursery.start(first.serve)
            await nursery.start(second.serve)
            relay = _Relay(second.me.address)
            await nursery.start(relay.serve)
            yield first, second, relay
            nursery.cancel_scope.cancel()


async def _eventually(condition: Callable[[], bool]) -> None:
    with trio.fail_after(_WAIT_S):
        while not condition():  # noqa: ASYNC110
            await trio.sleep(0.02)


async def _silence(relay: _Relay) -> None:
    relay.silence()


async def _reset(relay: _Relay) -> None:
    relay.reset()


def _inject(data: bytes) -> Callable[[_Relay], Awaitable[None]]:
    return lambda relay: relay.inject(data)


def _frame(*items: object) -> bytes:
    return msgpack.packb(items)


_FAULTS = {
    'reset': (_reset, 'peer-lost'),
    'silence': (_silence, 'peer-lost'),
    'no msgpack': (_inject(b'\xc1' * 64), 'peer-protocol-error'),
    'http': (_inject(b'GET / HTTP/1.1\r\n\r\n'), 'peer-protocol-error'),
    'deep nesting': (_inject(b'\x91' * 100_000), 'peer-protocol-error'),
    'oversized': (
        _inject(b'\x93\x02\x00\xc6\x00\x20\x00\x00' + b'x' * 3_000_000),
        'peer-protocol-error',
    ),
    'endless array': (_inject(b'\xdd\xff\xff\xff\xff'), 'peer-protocol-error'),
    'unknown tag': (
        _inject(_frame(99, 0, msgpack.packb([9999]))),
        'peer-protocol-error',
    ),
    'wrong fields': (
        _inject(_frame(99, 0, msgpack.packb([23, 7]))),
        'peer-protocol-error',
    ),
    'nesting in an unknown field': (
        _inject(_frame(99, 0, b'\x93\x17\xa1x' + b'\x91' * 100_000)),
        'peer-protocol-error',
    ),
    'unknown kind': (_inject(_frame(99, 77, 0)), 'peer-protocol-error'),
    'negative credit': (_inject(_frame(1, 8, -5)), 'peer-protocol-error'),
    'id in the future': (
        _inject(_frame(99, 3, msgpack.packb([1]))),
        'peer-protocol-error',
    ),
    'id used twice': (
        _inject(_frame(1, 1, msgpack.packb([23, 'd']))),
        'peer-protocol-error',
    ),
}


@pytest.mark.parametrize('fault', _FAULTS)
async def test_a_fault_ends_the_exchanges_and_new_ones_work(
    fault: str,
) -> None:
    """Guards against exchanges that hang and daemons that end."""
    disturb, event = _FAULTS[fault]
    async with _peers() as (one, two, relay):
        await one.floor(relay.address)
        async with one.open(relay.address, _CALL) as exchange:
            await exchange.receive()
            await disturb(relay)
            with trio.fail_after(_WAIT_S), pytest.raises(PeerLostError):
                while True:
                    await exchange.receive()
            with pytest.raises(PeerLostError):
                await exchange.send(_messages.BodyChunk(b''))
        await one.floor(relay.address)
        await _eventually(lambda: event in one.events + two.events)
        await two.floor(one.me.address)


async def test_a_stream_that_goes_silent_while_unused_is_replaced() -> None:
    """A half-open stream costs one request at most."""
    async with _peers() as (one, _, relay):
        await one.floor(relay.address)
        relay.silence()
        with trio.fail_after(_WAIT_S), pytest.raises(PeerLostError):
            await one.request(relay.address, _FLOOR, timeout_s=_WAIT_S)
        await one.floor(relay.address)


async def test_a_frozen_process_comes_back_and_runs_no_old_call() -> None:
    """A call given up by its sender must not start when the peer returns."""
    process = await trio.lowlevel.open_process(
        [sys.executable, '-m', 'gypsumhall.testing.echo_peer'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    address = (await process.stdout.receive_some()).decode().strip()
    try:
        async with _peers() as (one, _, _):
            assert await one.floor(address) == 0
            os.kill(process.pid, signal.SIGSTOP)
            async with one.open(address, _CALL) as exchange:
                with trio.fail_after(_WAIT_S), pytest.raises(PeerLostError):
                    await exchange.receive()
            with pytest.raises(PeerUnreachableError):
                await one.request(address, _FLOOR, timeout_s=1.5)
            os.kill(process.pid, signal.SIGCONT)
            assert await one.floor(address) == 0
            async with one.open(address, _CALL) as exchange:
                await exchange.receive()
            assert await one.floor(address) == 1
    finally:
        process.kill()
        await process.wait()


async def test_a_finished_answer_survives_the_loss_of_the_stream() -> None:
    """A complete response must not be reported as lost."""
    async with _peers() as (one, _, relay):
        call = msgspec.structs.replace(_CALL, has_body=False)
        async with one.open(relay.address, call) as exchange:
            stream = next(iter(one._streams))
            assert isinstance(await exchange.receive(), _messages.AnswerStart)
            await _eventually(lambda: exchange._closed)
            relay.reset()
            await _eventually(lambda: stream.ended is not None)
            assert isinstance(await exchange.receive(), _messages.AnswerEnd)
            with pytest.raises(trio.EndOfChannel):
                await exchange.receive()


_HANDSHAKES = {
    'no common key': (b'another key 123456',),
    'no keys in common of several': (b'a' * 16, b'b' * 16),
}


@pytest.mark.parametrize('keys', _HANDSHAKES.values(), ids=_HANDSHAKES)
async def test_a_peer_without_the_key_is_refused(
    keys: tuple[bytes, ...],
) -> None:
    async with _peers({'keys': keys}) as (one, two, relay):
        with pytest.raises(PeerUnreachableError, match='none of the shared'):
            await one.request(relay.address, _FLOOR, timeout_s=_WAIT_S)
        assert two.streams == 0
        assert one.events == ['peer-handshake-failed']


async def test_keys_can_be_rotated() -> None:
    new = b'next key for tests'
    async with _peers({'keys': (new, echo_peer.KEY)}) as (one, two, _):
        await one.floor(two.me.address)
        await two.floor(one.me.address)


async def test_a_recorded_handshake_is_refused() -> None:
    """Replayed bytes must not reach a handler."""
    async with _peers() as (one, two, relay):
        await one.floor(relay.address)
        recorded = relay.recorded
        port = int(two.me.address.rpartition(':')[2])
        async with await trio.open_tcp_stream('127.0.0.1', port) as raw:
            await raw.send_all(recorded)
            await _eventually(lambda: 'peer-handshake-failed' in two.events)
        assert two.streams == 1


@pytest.mark.parametrize('data', [b'', b'\xc5\xff\xff' + b'x' * 60_000])
async def test_an_unproven_connection_is_closed(data: bytes) -> None:
    """Neither silence nor a large first frame may hold memory."""
    async with _peers(two={'connect_timeout_s': 0.5}) as (_, two, _):
        port = int(two.me.address.rpartition(':')[2])
        async with await trio.open_tcp_stream('127.0.0.1', port) as raw:
            with contextlib.suppress(trio.BrokenResourceError):
                await raw.send_all(data)
            with trio.fail_after(_WAIT_S):
                with contextlib.suppress(trio.BrokenResourceError):
                    assert await raw.receive_some() == b''
        await _eventually(lambda: 'peer-handshake-failed' in two.events)


def test_a_proof_sent_back_to_its_author_is_refused() -> None:
    me = _Peer('one')._settings
    info = _handshake.PeerInfo(me.id, me.zone, 1, me.address)
    handshake = _handshake.Handshake(info, me.keys)
    with pytest.raises(PeerProtocolError, match='own id'):
        handshake.confirm(handshake.hello())


async def test_a_slow_reader_blocks_only_its_own_exchange() -> None:
    chunk = _messages.BodyChunk(b'x' * 65536)
    blocked = trio.Event()

    async def ignore(exchange: Exchange, message: _messages.CallQuery) -> None:
        await blocked.wait()

    async with _peers() as (one, two, _):
        two.on(_messages.CallQuery, ignore)
        query = _messages.CallQuery('r1', 0)
        async with one.open(two.me.address, query) as slow:
            sent = 0
            with trio.move_on_after(0.5):
                for _ in range(100):
                    await slow.send(chunk)
                    sent += 1
            assert 1 <= sent <= 4
            async with one.open(two.me.address, _CALL) as quick:
                size = 0
                for _ in range(40):
                    await quick.send(chunk)
                    if size == 0:
                        await quick.receive()
                    answer = await quick.receive()
                    assert answer == chunk
                    size += 65536
            assert one.streams == 1
            blocked.set()
            with pytest.raises(PeerLostError), trio.fail_after(_WAIT_S):
                while True:
                    await slow.send(chunk)


async def test_crossing_cancels_leave_nothing_behind() -> None:
    rng = random.Random(1)

    async def sometimes(
        exchange: Exchange, message: _messages.CallQuery
    ) -> None:
        for _ in range(rng.randrange(3)):
            await exchange.send(_messages.BodyChunk(b'x'))
        if rng.random() < 0.5:
            exchange.cancel()

    async def use(one: _Peer, address: str) -> None:
        with contextlib.suppress(PeerLostError, trio.EndOfChannel):
            async with one.open(
                address, _messages.CallQuery('r', 0)
            ) as exchange:
                for _ in range(rng.randrange(3)):
                    await exchange.send(_messages.BodyChunk(b'y'))
                if rng.random() < 0.3:
                    exchange.cancel()
                elif rng.random() < 0.5:
                    await exchange.receive()

    async with _peers() as (one, two, _):
        two.on(_messages.CallQuery, sometimes)
        async with trio.open_nursery() as nursery:
            for _ in range(300):
                nursery.start_soon(use, one, two.me.address)
        await one.floor(two.me.address)
        streams = list(one._streams) + list(two._streams)
        assert len(streams) == 2
        await _eventually(lambda: all(item.idle for item in streams))
        assert 'peer-protocol-error' not in one.events + two.events


async def test_an_end_at_the_moment_of_a_cancel_is_no_fault() -> None:
    # A receiver that was cancelled, but had not run yet, was rescheduled a
    # second time by the end of its exchange, which stopped the daemon.
    async def wait(exchange: Exchange, message: _messages.CallQuery) -> None:
        await exchange.receive()

    async with _peers() as (one, two, _):
        two.on(_messages.CallQuery, wait)
        async with one.open(
            two.me.address, _messages.CallQuery('r', 0)
        ) as exchange:
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(exchange.receive)
                    await trio.testing.wait_all_tasks_blocked()
                    scope.cancel()
                    exchange.cancel()
            assert scope.cancelled_caught


async def test_concurrent_opens_share_a_stream_per_direction() -> None:
    """Both sides opening at once must not end with a stream too few."""
    async with _peers() as (one, two, _):
        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(one.floor, two.me.address)
                nursery.start_soon(two.floor, one.me.address)
        assert one.streams == two.streams == 2


async def test_a_planned_stop_lets_exchanges_finish() -> None:
    finished = []

    async def call(one: _Peer, address: str, started: trio.Event) -> None:
        async with one.open(address, _CALL) as exchange:
            await exchange.receive()
            started.set()
            for index in range(20):
                await trio.sleep(0.02)
                chunk = _messages.BodyChunk(b'x', last=index == 19)
                await exchange.send(chunk)
                assert await exchange.receive() == chunk
            assert isinstance(await exchange.receive(), _messages.AnswerEnd)
            finished.append(exchange)

    async with _peers() as (one, two, _):
        started = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, one, two.me.address, started)
            await started.wait()
            await two.drain()
        assert finished
        with pytest.raises(PeerUnreachableError):
            await one.floor(two.me.address)
        await _eventually(lambda: one.streams == 0)


async def test_limits_refuse_without_running_anything() -> None:
    release = trio.Event()
    ran = []

    async def hold(exchange: Exchange, message: _messages.CallQuery) -> None:
        ran.append(message.request_id)
        await release.wait()

    async with _peers(two={'max_handlers': 2}) as (one, two, _):
        two.on(_messages.CallQuery, hold)
        address = two.me.address
        async with (
            one.open(address, _messages.CallQuery('1', 0)),
            one.open(address, _messages.CallQuery('2', 0)),
            one.open(address, _messages.CallQuery('3', 0)) as third,
        ):
            assert isinstance(await third.receive(), _messages.Busy)
        assert '3' not in ran
        release.set()
        await _eventually(lambda: all(item.idle for item in two._streams))
        large = _messages.BodyChunk(b'x' * _frames.MAX_FRAME_BYTES)
        with pytest.raises(PeerProtocolError):
            await one.request(address, large, timeout_s=1.0)
        await one.floor(address)
        answer = await one.request(
            address, _messages.RevertsPull(), timeout_s=_WAIT_S
        )
        assert isinstance(answer, _messages.Failure)


async def test_posts_are_bounded_and_dropped() -> None:
    received = []

    async def note(exchange: Exchange, message: _messages.Reverts) -> None:
        received.append(message)

    async with _peers() as (one, two, relay):
        two.on(_messages.Reverts, note)
        for _ in range(1000):
            one.post('127.0.0.1:1', _messages.Reverts(()))
        await _eventually(lambda: one.dropped_posts == 1000)
        large = _messages.BodyChunk(b'x' * _frames.MAX_FRAME_BYTES)
        for message in (large, _messages.Reverts(()), large):
            one.post(relay.address, message)
        await _eventually(lambda: len(received) == 1)
        one.post(relay.address, large)
        assert one.dropped_posts == 1003
        assert one.events == ['peer-post-failed'] * 3


async def test_a_failing_handler_answers_and_the_network_goes_on() -> None:
    async def fail(exchange: Exchange, message: _messages.RevertsPull) -> None:
        raise ValueError('broken')

    async with _peers() as (one, two, _):
        two.on(_messages.RevertsPull, fail)
        answer = await one.request(
            two.me.address, _messages.RevertsPull(), timeout_s=_WAIT_S
        )
        assert answer == _messages.Failure('internal', 'ValueError')
        assert two.events == ['peer-handler-failed']
        await one.floor(two.me.address)


async def test_unused_streams_are_closed() -> None:
    times = StreamSettings(ping_after_s=0.2, dead_after_s=0.8, idle_s=0.5)
    async with _peers({'stream': times}) as (one, two, _):
        await one.floor(two.me.address)
        await _eventually(lambda: one.streams == two.streams == 0)
        assert 'peer-protocol-error' not in two.events


async def test_control_bytes_are_attributed_to_their_messages() -> None:
    # A frame that is missing in the split makes its mechanism look cheap.
    async with _peers() as (one, other, _):
        for _ in range(3):
            await one.floor(other.me.address)
        found = one.traffic.control_by_message()
        assert found['FloorRequest', 'sent'] > 0
        assert found['Floor', 'received'] > 0
        for index, direction in enumerate(('sent', 'received')):
            total = sum(
                size for key, size in found.items() if key[1] == direction
            )
            assert total == one.traffic.sizes[index]


async def test_a_frame_may_arrive_while_its_receiver_is_cancelled() -> None:
    # Both in one turn of the event loop scheduled the task twice, which
    # ended the daemon.
    async with (
        _peers() as (one, two, _),
        one.open(two.me.address, _CALL) as exchange,
    ):
        assert isinstance(await exchange.receive(), _messages.AnswerStart)

        async def receive() -> None:
            with scope:
                await exchange.receive()

        scope = trio.CancelScope()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            await trio.testing.wait_all_tasks_blocked()
            scope.cancel()
            exchange.handle_frame(Kind.DATA, _frames.encode_message(_FLOOR))
        assert await exchange.receive() == _FLOOR
