"""Tests of the graceful shutdown of a network beside faults."""

from __future__ import annotations

import socket
import struct

import trio
import trio.testing

from gypsumhall.net import _messages
from gypsumhall.net._network import Network
from gypsumhall.net._network import PeerSettings
from gypsumhall.testing import echo_peer

_TIMEOUT_S = 20.0


def _build_network(name: str) -> Network:
    settings = PeerSettings(name, 'az-1', 1, '127.0.0.1:0', (echo_peer.KEY,))
    network = Network(settings, lambda code, **fields: None)
    network.on(_messages.FloorRequest, echo_peer.reply_to_floor_request)
    return network


async def test_a_drain_continues_when_a_peer_has_reset_its_stream() -> None:
    """The daemon failed with status 1 (soak, daemons stopped at once)."""
    first, second = _build_network('one'), _build_network('two')
    with trio.fail_after(_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            await nursery.start(first.serve)
            await nursery.start(second.serve)
            await first.request(
                second.me.address,
                _messages.FloorRequest('d1'),
                timeout_s=_TIMEOUT_S,
            )
            (stream,) = first._streams
            stream._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            stream._sock.close()
            await second.drain()
            assert second.streams == 0
            nursery.cancel_scope.cancel()


async def test_a_drain_may_begin_while_all_handshake_slots_are_taken() -> None:
    """Accepting on the closed listener ended the daemon with status 1."""
    network = _build_network('one')
    with trio.fail_after(_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            await nursery.start(network.serve)
            slots = network._handshake_slots
            while slots.value:
                slots.acquire_nowait()
            host, _, port = network.me.address.rpartition(':')
            async with await trio.open_tcp_stream(host, int(port)):
                # The accepted connection has the last slot, so that the next
                # one is not accepted before its handshake has failed.
                while not slots.statistics().tasks_waiting:  # noqa: ASYNC110
                    await trio.sleep(0.01)
                nursery.start_soon(network.drain)
                await trio.testing.wait_all_tasks_blocked(0.01)
            slots.release()
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
