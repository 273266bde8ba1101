"""Measures the cost of tenant quotas.

Run as ``python -m benchmarks.bench_quotas``. It prints:

* CPU time of a decision with a spare token and of one without a limit,
* CPU time of questions to an owner over loopback streams, by the number of
  tenants in a message, in both daemons together, and the bytes,
* messages and bytes per request in a simulation of 87 daemons in 3 zones,
  under usual load and under that of a hot tenant,
* CPU time for reading a member table of 25,000 entries in 20 zones, and for
  finding the owner of a group of tenants.
"""

from __future__ import annotations

import math
import random
import socket
import time
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall.core import _model
from gypsumhall.core import _quota_exchange
from gypsumhall.core import _quotas
from gypsumhall.core._quota_owners import Owners
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.kernel import Kernel
from gypsumhall.net import _frames
from gypsumhall.net import _messages
from gypsumhall.net._network import PeerSettings
from gypsumhall.services._peers import Peers
from gypsumhall.services._quotas import QuotaService
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.quota_fleet import QuotaFleet
from gypsumhall.testing.quota_fleet import settled_fleet

if TYPE_CHECKING:
    from gypsumhall.core._member import Member

_DECISIONS = 200_000
_ROUNDS = 50
_BLOCKS = 10
_MEMBERS = 25_000
_ZONES = 20
_SIMULATED_S = 20.0
_KEY = b'key between the daemons of this benchmark'


def _cpu_us(started: float, count: float) -> float:
    return (time.process_time() - started) / count * 1e6


def _measure_decisions() -> None:
    member = builders.build_member()
    exchange = _quota_exchange.QuotaExchange(
        member, 'p', _quotas.QuotaBounds(), 0.0
    )
    exchange.set_limits({'t': _quotas.Limit(1e9, 1e9)}, 0.0)
    daemon = exchange.daemon
    daemon.take('t', 0.0)
    daemon.wait('t', 1)
    (question,) = daemon.ask(['t'], 0.0)
    daemon.add_answer(
        _quotas.Answer('t', question.sequence, float(_DECISIONS + 1)), 0.0
    )
    started = time.process_time()
    for _ in range(_DECISIONS):
        daemon.take('t', 0.001)
    print(f'decision with a token: {_cpu_us(started, _DECISIONS):.2f} us')
    started = time.process_time()
    for _ in range(_DECISIONS):
        daemon.take('other', 0.001)
    print(f'decision without a limit: {_cpu_us(started, _DECISIONS):.2f} us')


def _snapshot(tenants: list[str]) -> Snapshot:
    fragment = msgspec.structs.replace(
        builders.build_fragment(),
        tenants=tuple(
            _model.Tenant(name, rate_per_s=1e6, burst=1e6) for name in tenants
        ),
    )
    return Snapshot.build(builders.build_head([fragment], 1), [fragment])


def _free_addresses(count: int) -> list[str]:
    listeners = [socket.socket() for _ in range(count)]
    for listener in listeners:
        listener.bind(('127.0.0.1', 0))
    addresses = [
        f'127.0.0.1:{listener.getsockname()[1]}' for listener in listeners
    ]
    for listener in listeners:
        listener.close()
    return addresses


async def _run_daemon(
    member: Member,
    members: list[Member],
    tenants: list[str],
    *,
    task_status: trio.TaskStatus[tuple[QuotaService, Peers]],
) -> None:
    quotas = QuotaService()
    peers = Peers(
        PeerSettings(member.id, member.zone, 1, member.peer_address, (_KEY,))
    )
    kernel = Kernel()
    for service in (
        fakes.FakeEvents(),
        fakes.FakeMetrics(),
        fakes.FakeMembership(member, fakes.FakeTable(members)),
        fakes.FakeDistribution(_snapshot(tenants)),
        peers,
        quotas,
    ):
        kernel.register(service)
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        task_status.started((quotas, peers))
        await trio.sleep_forever()


async def _ask(quotas: QuotaService, tenants: list[str]) -> None:
    """Let one request of each tenant arrive, all without a token."""
    daemon = quotas._exchange.daemon
    for name in tenants:
        state = daemon._tenants.get(name)
        if state is not None:
            state.tokens = 0
            state.asked_at = -math.inf
    async with trio.open_nursery() as nursery:
        for name in tenants:
            nursery.start_soon(quotas.decide, name)


async def _measure_questions(batch: int) -> None:
    members = [
        msgspec.structs.replace(
            builders.build_member(index), peer_address=item
        )
        for index, item in enumerate(_free_addresses(2))
    ]
    tenants = [f'tenant-{index:04}' for index in range(batch)]
    async with trio.open_nursery() as nursery:
        services = [
            await nursery.start(_run_daemon, member, members, tenants)
            for member in members
        ]
        # Daemons own nothing until they have settled.
        await trio.sleep(1.2)
        quotas, peers = services[0]
        quotas._poll()
        owner = quotas._exchange.owners.owner(tenants[0], 'az-1')
        if owner is not None and owner.id == members[0].id:
            quotas, peers = services[1]
        sizes = list(peers.traffic.sizes)
        best_s = math.inf
        for _ in range(_BLOCKS):
            started = time.process_time()
            for _ in range(_ROUNDS):
                await _ask(quotas, tenants)
            best_s = min(best_s, time.process_time() - started)
        count = _BLOCKS * _ROUNDS
        sent = peers.traffic.sizes[0] - sizes[0]
        received = peers.traffic.sizes[1] - sizes[1]
        print(
            f'{batch} tenants in a message: '
            f'{best_s / _ROUNDS * 1e6:.0f} us in both daemons (best of '
            f'{_BLOCKS}), {sent / count:.0f} bytes sent and '
            f'{received / count:.0f} received'
        )
        nursery.cancel_scope.cancel()


def _measure_fleet(limit: _quotas.Limit, load: float, name: str) -> None:
    fleet = settled_fleet(
        QuotaFleet(random.Random(1), {'t': limit}, zones=3, daemons=29)
    )
    sizes = []
    send = fleet.send

    def send_measured(
        sender: object, address: str, packet: _quota_exchange.Packet
    ) -> None:
        sizes.append(
            len(
                _frames.encode_message(
                    _messages.QuotaPacket(
                        3,
                        packet.avoided,
                        tuple(packet.questions),
                        tuple(packet.zone_questions),
                        tuple(packet.answers),
                    )
                )
            )
        )
        send(sender, address, packet)  # type: ignore[arg-type]

    fleet.send = send_measured  # type: ignore[method-assign]
    fleet.waits.clear()
    requests = len(fleet.runs['t']) + len(fleet.refusals['t'])
    fleet.send_requests('t', load * limit.rate_per_s, _SIMULATED_S)
    fleet.run_until(fleet.now + _SIMULATED_S)
    requests = len(fleet.runs['t']) + len(fleet.refusals['t']) - requests
    waited = sum(wait > 0 for wait in fleet.waits) / len(fleet.waits)
    print(
        f'{name}, rate {limit.rate_per_s:g}/s: {len(sizes) / requests:.2f} '
        f'messages per request, '
        f'{len(sizes) / _SIMULATED_S / len(fleet.daemons):.2f} per second and '
        f'daemon, {sum(sizes) / len(sizes):.0f} bytes each; '
        f'{waited:.2f} of the requests waited, '
        f'{sum(fleet.waits) / len(fleet.waits) * 1e3:.1f} ms on average'
    )


def _measure_members() -> None:
    members = [
        builders.build_member(index, zone=f'az-{index % _ZONES}')
        for index in range(_MEMBERS)
    ]
    owners = Owners('d0', 'az-0', 0.0)
    started = time.process_time()
    for index in range(5):
        owners.set_members(
            members, {item.zone for item in members}, float(index), 1000.0
        )
    print(f'member table: {_cpu_us(started, 5) / 1e3:.1f} ms per read')
    started = time.process_time()
    tenants = [f't{index}' for index in range(1000)]
    for tenant in tenants:
        owners.owner(tenant, 'az-0')
    groups = len(owners._owners)
    print(f'owner of a group: {_cpu_us(started, groups) / 1e3:.2f} ms')


def main() -> None:
    """Run all measurements."""
    _measure_decisions()
    for batch in (1, 10, 50):
        trio.run(_measure_questions, batch)
    for limit in (
        _quotas.Limit(5.0, 5.0),
        _quotas.Limit(40.0, 40.0),
        _quotas.Limit(328.0, 328.0),
    ):
        _measure_fleet(limit, 1 / 1.6, 'usual load')
        _measure_fleet(limit, 7.5 / 1.6, 'hot tenant')
    _measure_members()


if __name__ == '__main__':
    main()
