"""Contract tests of the streams between daemons, over real sockets."""

from __future__ import annotations

import contextlib
import math
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
from gypsumhall.net import _socket
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

# Well above the delays of a busy machine and well below the test timeout.
_STREAM_SETTINGS = StreamSettings(ping_after_s=0.5, dead_after_s=1.5)
_TIMEOUT_S = 20.0
_FLOOR_REQUEST = _messages.FloorRequest('d1')
_CALL = _messages.CallStart(
    'r1', 0, 's', 'v1', 'd/r', 'POST', '/', (), 1000, False, has_body=True
)


class _Peer(Network):
    """Network that records the codes of its events."""

    def __init__(self, name: str, **settings: Any) -> None:
        self.events: list[str] = []
        values = {
            'stream': _STREAM_SETTINGS,
            'keys': (echo_peer.KEY,),
        } | settings
        super().__init__(
            PeerSettings(name, 'az-1', 1, '127.0.0.1:0', **values),
            lambda code, **fields: self.events.append(code),
        )
        self.on(_messages.FloorRequest, echo_peer.reply_to_floor_request)
        self.on(_messages.CallStart, echo_peer.echo_call)

    async def count_started_calls(self, address: str) -> int:
        """Return the number of calls that the peer's process has started."""
        reply = await self.request(
            address, _FLOOR_REQUEST, timeout_s=_TIMEOUT_S
        )
        assert isinstance(reply, _messages.Floor)
        assert reply.installed_version == 2
        return reply.acknowledged_version


class _Relay:
    """Relay of connections to a peer that can inject faults."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._pairs: list[tuple[trio.SocketStream, trio.SocketStream]] = []
        self._silent: set[trio.SocketStream] = set()
        self._resumed = trio.Event()
        self._resumed.set()
        self._stall_after_bytes = math.inf
        self.recorded_bytes = b''
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
        size = 0
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async for data in source:
                size += len(data)
                if size > self._stall_after_bytes:
                    await trio.sleep_forever()
                await self._resumed.wait()
                if any(source is pair[0] for pair in self._pairs):
                    self.recorded_bytes += data
                if source not in self._silent:
                    await sink.send_all(data)
            await sink.aclose()

    def silence(self) -> None:
        """Drop all data on existing connections, but not on new ones."""
        for pair in self._pairs:
            self._silent.update(pair)

    def pause(self) -> None:
        """Hold all data until `resume`."""
        self._resumed = trio.Event()

    def resume(self) -> None:
        self._resumed.set()

    def stall_after(self, size: int) -> None:
        """Stall connections that have carried that many bytes."""
        self._stall_after_bytes = size

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
        """Send bytes to the accepting side within the stream."""
        with contextlib.suppress(trio.BrokenResourceError):
            await self._pairs[-1][1].send_all(data)


@contextlib.asynccontextmanager
async def _peers(
    one: dict[str, Any] | None = None, two: dict[str, Any] | None = None
) -> AsyncIterator[tuple[_Peer, _Peer, _Relay]]:
    first, second = _Peer('one', **(one or {})), _Peer('two', **(two or {}))
    with trio.fail_after(3 * _TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            await nursery.start(first.serve)
            await nursery.start(second.serve)
            relay = _Relay(second.me.address)
            await nursery.start(relay.serve)
            yield first, second, relay
            nursery.cancel_scope.cancel()


async def _eventually(condition: Callable[[], bool]) -> None:
    with trio.fail_after(_TIMEOUT_S):
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
    'invalid msgpack': (_inject(b'\xc1' * 64), 'peer-protocol-error'),
    'http': (_inject(b'GET / HTTP/1.1\r\n\r\n'), 'peer-protocol-error'),
    'deep nesting': (_inject(b'\x91' * 100_000), 'peer-protocol-error'),
    'oversized': (
        _inject(b'\x93\x02\x00\xc6\x00\x20\x00\x00' + b'x' * 3_000_000),
        'peer-protocol-error',
    ),
    'oversized array': (
        _inject(b'\xdd\xff\xff\xff\xff'),
        'peer-protocol-error',
    ),
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
    'unused id': (
        _inject(_frame(99, 3, msgpack.packb([1]))),
        'peer-protocol-error',
    ),
    'reused id': (
        _inject(_frame(1, 1, msgpack.packb([23, 'd']))),
        'peer-protocol-error',
    ),
}


@pytest.mark.parametrize('fault', _FAULTS)
async def test_a_fault_ends_exchanges_and_new_exchanges_work(
    fault: str,
) -> None:
    """Guards against hanging exchanges and daemons that crash."""
    inject_fault, event = _FAULTS[fault]
    async with _peers() as (one, two, relay):
        await one.count_started_calls(relay.address)
        async with one.open(relay.address, _CALL) as exchange:
            await exchange.receive()
            await inject_fault(relay)
            with trio.fail_after(_TIMEOUT_S), pytest.raises(PeerLostError):
                while True:
                    await exchange.receive()
            with pytest.raises(PeerLostError):
                await exchange.send(_messages.BodyChunk(b''))
        await one.count_started_calls(relay.address)
        await _eventually(lambda: event in one.events + two.events)
        await two.count_started_calls(one.me.address)


async def test_a_large_message_does_not_delay_calls() -> None:
    """Behind a large configuration, streams were taken for lost."""
    async with _peers() as (one, _, relay):
        await one.count_started_calls(relay.address)
        relay.stall_after(64 * 1024)
        one.post(
            relay.address, _messages.BodyChunk(b'x' * _frames.MAX_READ_BYTES)
        )
        one.post(relay.address, _messages.BodyChunk(b'x' * 500_000))
        await trio.sleep(0.1)
        async with one.open(relay.address, _CALL) as exchange:
            with trio.fail_after(_STREAM_SETTINGS.dead_after_s):
                await exchange.receive()


async def test_a_call_cancelled_before_its_handler_starts_is_not_run() -> None:
    """A delayed call ran although its caller had left."""
    async with _peers() as (one, _, relay):
        started = await one.count_started_calls(relay.address)
        stream = next(iter(one._streams))
        stream.open(_CALL, Kind.OPEN).cancel()
        assert await one.count_started_calls(relay.address) == started


async def test_delay_of_a_call_on_its_way_is_known_to_the_receiver() -> None:
    """Its time limit was taken to begin at its arrival."""
    delays_s: list[float] = []

    async def record_delay(
        exchange: Exchange, message: _messages.CallStart
    ) -> None:
        delays_s.append(exchange.delay_s)

    async with _peers() as (one, two, relay):
        two._handlers[_messages.CallStart] = record_delay
        for _ in range(2):
            call = msgspec.structs.replace(_CALL, sent_us=_socket.clock_us())
            async with one.open(relay.address, call) as exchange:
                with pytest.raises(trio.EndOfChannel):
                    await exchange.receive()
        relay.pause()
        call = msgspec.structs.replace(_CALL, sent_us=_socket.clock_us())
        async with one.open(relay.address, call) as exchange:
            await trio.sleep(0.5)
            relay.resume()
            with pytest.raises(trio.EndOfChannel):
                await exchange.receive()
        assert delays_s[0] == 0.0
        assert 0.4 < delays_s[2] < 5.0


async def test_a_stream_delayed_by_a_slow_link_is_not_lost() -> None:
    """The caller got 502 while the endpoint ran the request."""
    settings = StreamSettings(
        ping_after_s=0.1, silent_after_s=0.4, dead_after_s=8.0
    )
    async with _peers({'stream': settings}, {'stream': settings}) as (
        one,
        two,
        relay,
    ):
        await one.count_started_calls(relay.address)
        silent = trio.Event()
        async with one.open(relay.address, _CALL) as exchange:
            exchange.on_silence(silent.set)
            await exchange.receive()
            relay.pause()
            await silent.wait()
            relay.resume()
            await exchange.send(_messages.BodyChunk(b'', last=True))
            while not isinstance(
                await exchange.receive(), _messages.AnswerEnd
            ):
                pass
        assert 'peer-silent' in one.events
        assert 'peer-lost' not in one.events + two.events


async def test_an_unused_stream_that_stops_responding_is_replaced() -> None:
    """A half-open connection fails one request at most."""
    async with _peers() as (one, _, relay):
        await one.count_started_calls(relay.address)
        relay.silence()
        with trio.fail_after(_TIMEOUT_S), pytest.raises(PeerLostError):
            await one.request(
                relay.address, _FLOOR_REQUEST, timeout_s=_TIMEOUT_S
            )
        await one.count_started_calls(relay.address)


async def test_a_resumed_process_starts_no_call_that_timed_out() -> None:
    """A call that its sender has timed out must not start at the peer."""
    process = await trio.lowlevel.open_process(
        [sys.executable, '-m', 'gypsumhall.testing.echo_peer'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    address = (await process.stdout.receive_some()).decode().strip()
    try:
        async with _peers() as (one, _, _):
            assert await one.count_started_calls(address) == 0
            os.kill(process.pid, signal.SIGSTOP)
            async with one.open(address, _CALL) as exchange:
                with trio.fail_after(_TIMEOUT_S), pytest.raises(PeerLostError):
                    await exchange.receive()
            with pytest.raises(PeerUnreachableError):
                await one.request(address, _FLOOR_REQUEST, timeout_s=1.5)
            os.kill(process.pid, signal.SIGCONT)
            assert await one.count_started_calls(address) == 0
            async with one.open(address, _CALL) as exchange:
                await exchange.receive()
            assert await one.count_started_calls(address) == 1
    finally:
        process.kill()
        await process.wait()


async def test_a_complete_response_survives_the_loss_of_the_stream() -> None:
    """A complete response must not be reported as lost."""
    async with _peers() as (one, _, relay):
        call = msgspec.structs.replace(_CALL, has_body=False)
        async with one.open(relay.address, call) as exchange:
            stream = next(iter(one._streams))
            assert isinstance(await exchange.receive(), _messages.AnswerStart)
            await _eventually(lambda: exchange._receiving_closed)
            relay.reset()
            await _eventually(lambda: stream.end_error is not None)
            assert isinstance(await exchange.receive(), _messages.AnswerEnd)
            with pytest.raises(trio.EndOfChannel):
                await exchange.receive()


_REJECTED_KEYS = {
    'no common key': (b'another key 123456',),
    'several keys, none in common': (b'a' * 16, b'b' * 16),
}


@pytest.mark.parametrize('keys', _REJECTED_KEYS.values(), ids=_REJECTED_KEYS)
async def test_a_peer_without_a_common_key_is_rejected(
    keys: tuple[bytes, ...],
) -> None:
    async with _peers({'keys': keys}) as (one, two, relay):
        with pytest.raises(PeerUnreachableError, match='none of the shared'):
            await one.request(
                relay.address, _FLOOR_REQUEST, timeout_s=_TIMEOUT_S
            )
        assert two.streams == 0
        assert one.events == ['peer-handshake-failed']


async def test_keys_can_be_rotated() -> None:
    new = b'next key for tests'
    async with _peers({'keys': (new, echo_peer.KEY)}) as (one, two, _):
        await one.count_started_calls(two.me.address)
        await two.count_started_calls(one.me.address)


async def test_a_replayed_handshake_is_rejected() -> None:
    """Bytes of an earlier connection must not reach a handler."""
    async with _peers() as (one, two, relay):
        await one.count_started_calls(relay.address)
        recorded_bytes = relay.recorded_bytes
        port = int(two.me.address.rpartition(':')[2])
        async with await trio.open_tcp_stream('127.0.0.1', port) as raw:
            await raw.send_all(recorded_bytes)
            await _eventually(lambda: 'peer-handshake-failed' in two.events)
        assert two.streams == 1


@pytest.mark.parametrize('data', [b'', b'\xc5\xff\xff' + b'x' * 60_000])
async def test_an_unauthenticated_connection_is_closed(data: bytes) -> None:
    """Neither a silent nor an oversized handshake may occupy memory."""
    async with _peers(two={'connect_timeout_s': 0.5}) as (_, two, _):
        port = int(two.me.address.rpartition(':')[2])
        async with await trio.open_tcp_stream('127.0.0.1', port) as raw:
            with contextlib.suppress(trio.BrokenResourceError):
                await raw.send_all(data)
            with trio.fail_after(_TIMEOUT_S):
                with contextlib.suppress(trio.BrokenResourceError):
                    assert await raw.receive_some() == b''
        await _eventually(lambda: 'peer-handshake-failed' in two.events)


def test_a_reflected_proof_is_rejected() -> None:
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
                    reply = await quick.receive()
                    assert reply == chunk
                    size += 65536
            assert one.streams == 1
            blocked.set()
            with pytest.raises(PeerLostError), trio.fail_after(_TIMEOUT_S):
                while True:
                    await slow.send(chunk)


async def test_simultaneous_cancels_leave_no_exchange_open() -> None:
    rng = random.Random(1)

    async def reply_randomly(
        exchange: Exchange, message: _messages.CallQuery
    ) -> None:
        for _ in range(rng.randrange(3)):
            await exchange.send(_messages.BodyChunk(b'x'))
        if rng.random() < 0.5:
            exchange.cancel()

    async def call_randomly(one: _Peer, address: str) -> None:
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
        two.on(_messages.CallQuery, reply_randomly)
        async with trio.open_nursery() as nursery:
            for _ in range(300):
                nursery.start_soon(call_randomly, one, two.me.address)
        await one.count_started_calls(two.me.address)
        streams = list(one._streams) + list(two._streams)
        assert len(streams) == 2
        await _eventually(lambda: all(item.idle for item in streams))
        assert 'peer-protocol-error' not in one.events + two.events


async def test_an_exchange_may_end_while_its_receiver_is_cancelled() -> None:
    # Guards against a crash of the daemon: the end of the exchange
    # rescheduled a receiver that was cancelled but had not run yet.
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
    """Simultaneous opening must not close the stream of either side."""
    async with _peers() as (one, two, _):
        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(one.count_started_calls, two.me.address)
                nursery.start_soon(two.count_started_calls, one.me.address)
        assert one.streams == two.streams == 2


async def test_a_graceful_shutdown_completes_exchanges() -> None:
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
            await one.count_started_calls(two.me.address)
        await _eventually(lambda: one.streams == 0)


async def test_graceful_shutdown_survives_reset_streams() -> None:
    """The daemon ended with an exception, and its requests unanswered."""
    async with _peers() as (one, two, relay):
        await one.count_started_calls(two.me.address)
        await one.count_started_calls(relay.address)
        relay.reset()
        for stream in one._streams:
            linger = struct.pack('ii', 1, 0)
            stream._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            stream._sock.close()
        with trio.fail_after(_TIMEOUT_S):
            await two.drain()


async def test_requests_over_a_limit_run_no_handler() -> None:
    release = trio.Event()
    handled_ids = []

    async def block(exchange: Exchange, message: _messages.CallQuery) -> None:
        handled_ids.append(message.request_id)
        await release.wait()

    async with _peers(two={'max_handlers': 2}) as (one, two, _):
        two.on(_messages.CallQuery, block)
        address = two.me.address
        async with (
            one.open(address, _messages.CallQuery('1', 0)),
            one.open(address, _messages.CallQuery('2', 0)),
            one.open(address, _messages.CallQuery('3', 0)) as third,
        ):
            assert isinstance(await third.receive(), _messages.Busy)
        assert '3' not in handled_ids
        release.set()
        await _eventually(lambda: all(item.idle for item in two._streams))
        oversized = _messages.BodyChunk(b'x' * _frames.MAX_FRAME_BYTES)
        with pytest.raises(PeerProtocolError):
            await one.request(address, oversized, timeout_s=1.0)
        await one.count_started_calls(address)
        reply = await one.request(
            address, _messages.RevertsPull(), timeout_s=_TIMEOUT_S
        )
        assert isinstance(reply, _messages.Failure)


async def test_posts_over_a_limit_are_dropped() -> None:
    received = []

    async def record(exchange: Exchange, message: _messages.Reverts) -> None:
        received.append(message)

    async with _peers() as (one, two, relay):
        two.on(_messages.Reverts, record)
        for _ in range(1000):
            one.post('127.0.0.1:1', _messages.Reverts(()))
        await _eventually(lambda: one.dropped_posts == 1000)
        oversized = _messages.BodyChunk(b'x' * _frames.MAX_FRAME_BYTES)
        for message in (oversized, _messages.Reverts(()), oversized):
            one.post(relay.address, message)
        await _eventually(lambda: len(received) == 1)
        one.post(relay.address, oversized)
        assert one.dropped_posts == 1003
        assert one.events == ['peer-post-failed'] * 3


async def test_the_network_continues_after_a_failing_handler() -> None:
    async def fail(exchange: Exchange, message: _messages.RevertsPull) -> None:
        raise ValueError('broken')

    async with _peers() as (one, two, _):
        two.on(_messages.RevertsPull, fail)
        reply = await one.request(
            two.me.address, _messages.RevertsPull(), timeout_s=_TIMEOUT_S
        )
        assert reply == _messages.Failure('internal', 'ValueError')
        assert two.events == ['peer-handler-failed']
        await one.count_started_calls(two.me.address)


async def test_unused_streams_are_closed() -> None:
    times = StreamSettings(ping_after_s=0.2, dead_after_s=0.8, idle_s=0.5)
    async with _peers({'stream': times}) as (one, two, _):
        await one.count_started_calls(two.me.address)
        await _eventually(lambda: one.streams == two.streams == 0)
        assert 'peer-protocol-error' not in two.events


async def test_control_bytes_are_attributed_to_their_messages() -> None:
    # The bytes by message have to add up to the total. Otherwise the cost of
    # the messages that are missing is underestimated.
    async with _peers() as (one, other, _):
        for _ in range(3):
            await one.count_started_calls(other.me.address)
        control_bytes = one.traffic.control_by_message()
        assert control_bytes['FloorRequest', 'sent'] > 0
        assert control_bytes['Floor', 'received'] > 0
        for index, direction in enumerate(('sent', 'received')):
            total = sum(
                size
                for key, size in control_bytes.items()
                if key[1] == direction
            )
            assert total == one.traffic.sizes[index]


async def test_a_frame_may_arrive_while_its_receiver_is_cancelled() -> None:
    # Guards against a crash of the daemon: a frame and a cancellation in the
    # same turn of the event loop scheduled the receiver twice.
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
            exchange.handle_frame(
                Kind.DATA, _frames.encode_message(_FLOOR_REQUEST)
            )
        assert await exchange.receive() == _FLOOR_REQUEST
