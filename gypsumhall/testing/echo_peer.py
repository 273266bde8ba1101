"""A process that replies to messages and calls, for tests and benchmarks.

``python -m gypsumhall.testing.echo_peer`` prints its peer address and serves
until the end of its standard input. For each line of input it prints the CPU
time that it has used so far, in seconds.
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

_started_calls = 0


async def reply_to_floor_request(
    exchange: Exchange, message: _messages.FloorRequest
) -> None:
    """Reply to a `FloorRequest` with the number of started calls."""
    await exchange.send(_messages.Floor(_started_calls, 2))


async def echo_call(exchange: Exchange, message: _messages.CallStart) -> None:
    """Respond to a call with the body of its request."""
    global _started_calls
    _started_calls += 1
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
    """Return a network on a free port with the handlers of this process."""
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
