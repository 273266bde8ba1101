"""Measures streams between daemons and the member table.

Run as ``python -m benchmarks.bench_network``. It prints:

* round-trip times between two processes: of a message, of a call and, for
  comparison, of bytes on a plain trio stream,
* CPU time per round trip in each of the two processes,
* memory of each end of an open stream,
* bytes per second of the heartbeats of a pair of daemons,
* memory of a member table of 25,000 entries and times of its operations, time
  and bytes of a join, and CPU time of a daemon with such a table,
* bytes per second and daemon of a simulated fleet with and without changes.
"""

from __future__ import annotations

from collections import Counter
import gc
import random
import statistics
import subprocess
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec
import trio
import trio.testing

from gypsumhall.core import _membership
from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus
from gypsumhall.kernel import Kernel
from gypsumhall.net import _messages
from gypsumhall.net._network import Network
from gypsumhall.net._network import PeerSettings
from gypsumhall.net._protocol import PeerInfo
from gypsumhall.services._membership import MembershipService
from gypsumhall.services._membership import MembershipSettings
from gypsumhall.services._peers import Peers
from gypsumhall.testing import builders
from gypsumhall.testing import echo_peer
from gypsumhall.testing.fakes import FakeEvents
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_ROUND_TRIPS = 20_000
_MEMBERS = 25_000
_ZONES = 20
_MEASUREMENT_S = 20
_CALL = _messages.CallStart(
    'a' * 32,
    1_760_000_000_000,
    'plan-consultation',
    'v1',
    'semaforizacion/consult',
    'GET',
    '/plans/17?cycle=90',
    ((b'host', b'plans.example'), (b'accept', b'*/*')),
    1500,
    True,
)


def _print_round_trips(
    name: str, times: list[float], cpu: tuple[float, float]
) -> None:
    percentiles = statistics.quantiles(times, n=100)
    print(
        f'{name}: p50 {percentiles[49] * 1e3:.3f} ms, '
        f'p99 {percentiles[98] * 1e3:.3f} ms; '
        f'CPU per round trip {cpu[0] / len(times) * 1e6:.0f} us here, '
        f'{cpu[1] / len(times) * 1e6:.0f} us in the peer'
    )


async def _request(network: Network, address: str) -> None:
    await network.request(address, _messages.FloorRequest('d1'), timeout_s=2.0)


async def _call(network: Network, address: str) -> None:
    async with network.open(address, _CALL) as exchange:
        while True:
            message = await exchange.receive()
            if isinstance(message, _messages.AnswerEnd):
                return


async def _serve_plain() -> None:
    """Echo bytes, for the lower bound of a round trip with trio."""

    async def echo(stream: trio.SocketStream) -> None:
        async for data in stream:
            await stream.send_all(data)

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    print(listeners[0].socket.getsockname()[1], flush=True)
    await trio.serve_listeners(echo, listeners)


async def _bench_plain() -> None:
    process, read_line = await _start('benchmarks.bench_network', 'plain')
    stream = await trio.open_tcp_stream('127.0.0.1', int(await read_line()))
    times = []
    cpu = time.process_time()
    for _ in range(_ROUND_TRIPS):
        start = time.perf_counter()
        await stream.send_all(b'x' * 16)
        await stream.receive_some()
        times.append(time.perf_counter() - start)
    _print_round_trips('plain stream', times, (time.process_time() - cpu, 0.0))
    process.kill()
    await process.wait()


async def _start(
    module: str, *arguments: str
) -> tuple[trio.Process, Callable[[], Awaitable[str]]]:
    """Return a process and a function that reads a line of its output."""
    process = await trio.lowlevel.open_process(
        [sys.executable, '-m', module, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )

    async def read_line() -> str:
        text = b''
        while not text.endswith(b'\n'):
            text += await process.stdout.receive_some()
        return text.decode().strip()

    return process, read_line


async def _bench_streams() -> None:
    process, read_line = await _start('gypsumhall.testing.echo_peer')
    address = await read_line()
    network = echo_peer.build_network(1)

    async def peer_cpu() -> float:
        await process.stdin.send_all(b'\n')
        return float(await read_line())

    async with trio.open_nursery() as nursery:
        await nursery.start(network.serve)
        for name, action in (('message', _request), ('call', _call)):
            for _ in range(_ROUND_TRIPS // 10):
                await action(network, address)
            times = []
            peer, own = await peer_cpu(), time.process_time()
            for _ in range(_ROUND_TRIPS):
                start = time.perf_counter()
                await action(network, address)
                times.append(time.perf_counter() - start)
            own = time.process_time() - own
            _print_round_trips(name, times, (own, await peer_cpu() - peer))
        nursery.cancel_scope.cancel()
    process.kill()
    await process.wait()


async def _start_daemon(
    nursery: trio.Nursery, index: int, seeds: tuple[str, ...]
) -> tuple[Peers, MembershipService]:
    peers = Peers(
        PeerSettings('', 'az-x', index, '127.0.0.1:0', (echo_peer.KEY,))
    )
    membership = MembershipService(MembershipSettings(seeds=seeds))
    kernel = Kernel()
    for service in (FakeEvents(), peers, membership):
        kernel.register(service)
    await nursery.start(kernel.run)
    membership.set_endpoint(builders.build_endpoint())
    membership.set_digest_provider(
        lambda: _messages.Digest(18_000, 'a' * 16, 0, 2**63)
    )
    return peers, membership


async def _bench_heartbeats() -> None:
    async with trio.open_nursery() as nursery:
        peers, _ = await _start_daemon(nursery, 1, ())
        await _start_daemon(nursery, 2, (peers.me.address,))
        await trio.sleep(5)
        sizes, frames = list(peers.traffic.sizes), list(peers.traffic.frames)
        await trio.sleep(_MEASUREMENT_S)
        sent = (peers.traffic.sizes[0] - sizes[0]) / _MEASUREMENT_S
        received = (peers.traffic.sizes[1] - sizes[1]) / _MEASUREMENT_S
        count = (peers.traffic.frames[0] - frames[0]) / _MEASUREMENT_S
        print(
            f'heartbeats of a pair: {sent:.0f} B/s sent, {received:.0f} B/s '
            f'received, {sent / count:.0f} bytes per frame; 8 frames per '
            f'second: {8 * sent / count:.0f} B/s'
        )
        nursery.cancel_scope.cancel()


async def _bench_join(count: int = 5) -> None:
    async with trio.open_nursery() as nursery:
        first, membership = await _start_daemon(nursery, 0, ())
        for index in range(_MEMBERS):
            membership.table.merge(_build_member(index), trio.current_time())
        times = []
        for index in range(1, count):
            start = time.perf_counter()
            _, other = await _start_daemon(nursery, index, (first.me.address,))
            await other.wait_joined()
            times.append(time.perf_counter() - start)
        size = first.traffic.sizes[0] / (count - 1)
        print(
            f'join with {_MEMBERS} entries: {max(times):.2f} s at most, '
            f'jitter of up to 0.5 s included; {size / 1e6:.2f} MB'
        )
        await trio.sleep(3)
        cpu = time.process_time()
        await trio.sleep(_MEASUREMENT_S)
        cpu = (time.process_time() - cpu) / _MEASUREMENT_S / count
        print(f'CPU of an idle daemon: {cpu:.2%} of a core')
        nursery.cancel_scope.cancel()


async def _bench_memory(count: int = 100) -> None:
    networks = [echo_peer.build_network(index) for index in range(count + 1)]
    async with trio.open_nursery() as nursery:
        for network in networks:
            await nursery.start(network.serve)
        client, *others = networks
        gc.collect()
        tracemalloc.start()
        for network in others:
            for _ in range(100):
                await _request(client, network.me.address)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print(f'memory per end of a stream: {size / 2 / count / 1024:.1f} KiB')
        nursery.cancel_scope.cancel()


def _build_member(index: int) -> Member:
    member = builders.build_member(
        index,
        f'az-{index % _ZONES}',
        builders.build_endpoint(f'service-{index % 1900}'),
    )
    member = msgspec.structs.replace(
        member, id=member.peer_address, incarnation=1_760_000_000_000 + index
    )
    # Encoded and decoded, so that it shares no strings with other entries,
    # like an entry that was received.
    return msgspec.msgpack.decode(msgspec.msgpack.encode(member), type=Member)


def _print_time(name: str, action: Callable[[], object], rounds: int) -> None:
    start = time.perf_counter()
    for _ in range(rounds):
        action()
    elapsed = (time.perf_counter() - start) / rounds
    print(f'  {name}: {elapsed * 1e6:.1f} us')


def _bench_table() -> None:
    tracemalloc.start()
    table = _membership.Table()
    for index in range(_MEMBERS):
        table.merge(_build_member(index), 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f'table of {_MEMBERS} entries: {size / 2**20:.1f} MiB')
    members = list(table.members())
    new_table = _membership.Table()
    start = time.perf_counter()
    for member in members:
        new_table.merge(member, 0.0)
    print(f'  merge all: {time.perf_counter() - start:.3f} s')
    size = len(msgspec.msgpack.encode(members))
    print(f'  encoded: {size / _MEMBERS:.0f} bytes per entry')
    rng = random.Random(1)
    sequence = iter(range(2, 10**9))

    def change() -> None:
        member = rng.choice(members)
        table.merge(
            msgspec.structs.replace(member, sequence=next(sequence)), 1.0
        )

    def change_and_read() -> None:
        change()
        table.alive('az-1')

    buckets = table.buckets(99.0)
    _print_time('merge a change', change, 20_000)
    _print_time(
        'merge a known entry', lambda: table.merge(members[0], 1.0), 20_000
    )
    _print_time('merge a change, then alive(zone)', change_and_read, 200)
    _print_time('alive(zone) unchanged', lambda: table.alive('az-1'), 20_000)
    _print_time(
        'endpoints(service)', lambda: table.endpoints('service-1'), 20_000
    )
    _print_time('neighbours', lambda: table.neighbours(members[0], 3), 20_000)
    _print_time('buckets', lambda: table.buckets(99.0), 1000)
    _print_time(
        'differing', lambda: table.differing_entries(buckets, 99.0), 100
    )
    queue = _membership.ChangeQueue()
    assert members[0].status is MemberStatus.ALIVE
    for member in members[:1250]:
        queue.add(member.id, 1250)
    _print_time('take from 1,250 queued changes', lambda: queue.take(0.0), 40)


async def _bench_fleet(zones: int, size: int, changes: float) -> None:
    rng = random.Random(1)
    async with trio.open_nursery() as nursery:
        hub = MemoryHub(nursery, latency_s=0.002)
        services = []
        for index in range(zones * size):
            member = _build_member(index)
            info = PeerInfo(
                member.id,
                f'az-{index % zones}',
                member.incarnation,
                member.peer_address,
            )
            kernel = Kernel()
            service = MembershipService(
                MembershipSettings(seeds=hub.addresses[:3]),
                rng=random.Random(index),
            )
            service.set_digest_provider(
                lambda: _messages.Digest(18_000, 'a' * 16, 0, 2**63)
            )
            for item in (FakeEvents(), MemoryNetwork(hub, info), service):
                kernel.register(item)
            await nursery.start(kernel.run)
            service.set_endpoint(member.endpoint)
            services.append(service)
        await trio.sleep(60)
        sizes = hub.sizes = Counter()
        start = trio.current_time()
        while changes and trio.current_time() < start + 60:
            await trio.sleep(1 / changes)
            service = rng.choice(services)
            endpoint = service.me.endpoint
            slots = rng.randrange(1, 100)
            service.set_endpoint(
                msgspec.structs.replace(endpoint, slots=slots)
            )
        await trio.sleep_until(start + 60)
        rates = {
            key: round(value / 60 / len(services))
            for key, value in sizes.items()
        }
        print(
            f'fleet of {zones} zones with {size} daemons, {changes} changes '
            f'per second: {sum(rates.values())} B/s sent per daemon, {rates}'
        )
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run all measurements, or the echo server of the plain stream."""
    if sys.argv[1:] == ['plain']:
        trio.run(_serve_plain)
        return
    trio.run(_bench_plain)
    trio.run(_bench_streams)
    trio.run(_bench_memory)
    _bench_table()
    trio.run(_bench_heartbeats)
    trio.run(_bench_join)
    for changes in (0, 0.3):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(_bench_fleet, 3, 40, changes, clock=clock)


if __name__ == '__main__':
    main()
