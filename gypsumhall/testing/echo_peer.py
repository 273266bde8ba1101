"""A process with a network that answers, for tests and benchmarks.

``python -m gypsumhall.testing.echo_peer`` prints its peer address and serves
until its standard input ends. For each line that it reads, it prints the CPU
time that it has used, in seconds.
"""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import trio

from gypsumhall.net import _messages
from gypsumhall.net._network import Network
from gypsumhall.net._network import PeerSettings

if TYPE_CHECKING:
    from gypsumhall.net._protocol import Exchange

KEY = b'key for tests only'

_calls_started = 0


async def reply_to_floor_request(
    exchange: Exchange, message: _messages.FloorRequest
) -> None:
    """Answer a `FloorRequest`; counts the calls as ``acknowledged``."""
    await exchange.send(_messages.Floor(_calls_started, 2))


async def echo_call(exchange: Exchange, message: _messages.CallStart) -> None:
    """Answer a call with its own body."""
    global _calls_started
    _calls_started += 1
    load = _messages.Load(1, 0, 6)
    await exchange.send(
        _messages.AnswerStart(message.request_id, 200, (), load)
    )
    last = not message.has_body
    while not last:
        chunk = await exchange.receive()
        assert isinstance(chunk, _messages.BodyChunk)
        last = chunk.last
        await exchange.send(chunk)
    await exchange.send(_messages.AnswerEnd(message.request_id))


def build_network(index: int = 0) -> Network:
    """Return a network on any free port that answers like this process."""
    network = Network(
        PeerSettings(f'echo-{index}', 'az-1', 1, '127.0.0.1:0', (KEY,))
    )
    network.on(_messages.FloorRequest, reply_to_floor_request)
    network.on(_messages.CallStart, echo_call)
    return network


async def _main() -> None:
    network = build_network()
    async with trio.open_nursery() as nursery:
        await nursery.start(network.serve)
        print(network.me.address, flush=True)
        while await trio.to_thread.run_sync(
            sys.stdin.readline, abandon_on_cancel=True
        ):
            print(time.process_time(), flush=True)
        nursery.cancel_scope.cancel()


if __name__ == '__main__':
    trio.run(_main)
