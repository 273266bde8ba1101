"""A zone of daemons on links of limited bandwidth, with real streams."""

from __future__ import annotations

from collections import Counter
import contextlib
from random import Random
import socket
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall.core import _model
from gypsumhall.errors import PeerLostError
from gypsumhall.errors import PeerUnreachableError
from gypsumhall.kernel import Kernel
from gypsumhall.net._messages import AnswerStart
from gypsumhall.net._messages import CallStart
from gypsumhall.net._messages import Load
from gypsumhall.net._network import PeerSettings
from gypsumhall.net._stream import StreamSettings
from gypsumhall.services._distribution import DistributionService
from gypsumhall.services._peers import Peers
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.relay import NetworkFaults
from gypsumhall.testing.relay import Relay

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gypsumhall.net._protocol import Exchange

_KEY = b'key for tests only'
_ZONE = 'az-1'
_CALL_S = 0.1
_CALL_TIMEOUT_S = 4.0

Configuration = tuple[_model.Head, _model.Fragment]


def build_configuration(version: int, routes: int) -> Configuration:
    """Return a configuration with made-up routes to 30 services.

    Parameters
    ----------
    version : int
        Configuration version.
    routes : int
        Number of routes. The routes of a smaller configuration are among
        those of a larger one.
    """
    rng = Random(routes)
    services = [builders.build_service(f'service-{i:02}') for i in range(30)]
    entries = [
        _model.Route(
            f'route-{index:05}',
            f'shop-{index % 40}.example',
            f'/v1/items/{index:05}',
            f'service-{index * 7 % 30:02}',
            timeout_s=Random(index).randrange(200, 3000) / 1000,
            objective_s=Random(index).randrange(50, 900) / 1000,
            priority=index % 4,
        )
        for index in range(routes)
    ]
    rng.shuffle(entries)
    entries.sort(key=lambda item: item.name)
    fragment = builders.build_fragment('shop', services, entries)
    return builders.build_head([fragment], version), fragment


def _find_free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


class LimitedDaemon:
    """Streams and distribution of one daemon, which also answers calls.

    Parameters
    ----------
    index : int
        Number of the daemon; it selects the IP address.
    table : FakeTable
        Member table.
    faults : NetworkFaults
        Bandwidth of the links.
    """

    def __init__(
        self, index: int, table: fakes.FakeTable, faults: NetworkFaults
    ) -> None:
        self._index = index
        self._table = table
        self._rng = Random(index)
        self.ip = f'127.0.0.{index + 1}'
        self.relay = Relay(faults, _ZONE)
        self.events = fakes.FakeEvents()
        self.distribution = DistributionService(
            rng=Random(1000 + index), jitter_s=0.0
        )
        self.peers: Peers

    @property
    def version(self) -> int:
        """Installed configuration version; 0 for none."""
        snapshot = self.distribution.snapshot
        return snapshot.version if snapshot else 0

    @property
    def traffic(self) -> dict[tuple[str, str], int]:
        """Bytes of control frames by message and direction."""
        return self.peers.traffic.control_by_message()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the daemon until cancelled."""
        async with trio.open_nursery() as nursery:
            address = await nursery.start(self.relay.serve, f'{self.ip}:0')
            target = f'{self.ip}:{_find_free_port(self.ip)}'
            self.relay.target = target
            me = msgspec.structs.replace(
                builders.build_member(self._index, _ZONE),
                peer_address=address,
            )
            self.peers = Peers(
                PeerSettings(
                    me.id,
                    me.zone,
                    me.incarnation,
                    target,
                    (_KEY,),
                    advertised_address=address,
                    stream=StreamSettings(
                        ping_after_s=0.25, dead_after_s=0.75
                    ),
                )
            )
            self.peers.on(CallStart, self._on_call)
            kernel = Kernel()
            for service in (
                self.events,
                self.peers,
                fakes.FakeMembership(me, self._table),
                self.distribution,
            ):
                kernel.register(service)
            await nursery.start(kernel.run)
            task_status.started()

    async def call(self, other: LimitedDaemon, number: int) -> None:
        """Call another daemon and wait for its answer.

        Raises
        ------
        PeerUnreachableError, PeerLostError
            When the call or its answer was lost.
        """
        message = CallStart(
            f'{self._index}-{number}', 0, 'service-00', 'v1', 'shop/route',
            'POST', '/', (), int(_CALL_TIMEOUT_S * 1000), False,
            body=bytes(512),
        )  # fmt: skip
        address = other.peers.me.address
        with trio.move_on_after(_CALL_TIMEOUT_S):
            async with self.peers.open(address, message) as exchange:
                await exchange.receive()
                return
        raise PeerLostError('no answer in time')

    async def _on_call(self, exchange: Exchange, message: CallStart) -> None:
        await trio.sleep(_CALL_S)
        with contextlib.suppress(PeerLostError):
            await exchange.send(
                AnswerStart(
                    message.request_id, 200, (), Load(0, 0, 1),
                    body=bytes(512), last=True,
                )
            )  # fmt: skip


class LimitedZone:
    """Daemons of one zone that call each other all the time.

    Attributes
    ----------
    daemons : list of LimitedDaemon
        The daemons.
    latencies_s : list of float
        Durations of the calls that were answered.
    failures : list of str
        Errors of the calls that were not.
    """

    def __init__(self, size: int, faults: NetworkFaults) -> None:
        self.faults = faults
        self.table = fakes.FakeTable()
        self.daemons = [
            LimitedDaemon(index, self.table, faults) for index in range(size)
        ]
        self.latencies_s: list[float] = []
        self.failures: list[str] = []

    @property
    def lost_streams(self) -> list[str]:
        """Reasons of the streams that were taken for lost."""
        return [
            str(fields['detail'])
            for daemon in self.daemons
            for code, fields in daemon.events.emitted
            if code == 'peer-lost'
        ]

    def traffic(self, direction: str) -> list[Counter[str]]:
        """Return the bytes of control frames by message for each daemon."""
        return [
            Counter(
                {
                    message: size
                    for (message, way), size in daemon.traffic.items()
                    if way == direction
                }
            )
            for daemon in self.daemons
        ]

    def publish(
        self, configuration: Configuration, publishers: int = 3
    ) -> None:
        """Publish a configuration on the first daemons, as watchers do."""
        head, fragment = configuration
        for daemon in self.daemons[:publishers]:
            daemon.distribution.publish(head, [fragment])

    async def wait_for_version(self, version: int) -> float:
        """Wait until all daemons have a version; return the time taken."""
        start = trio.current_time()
        # A test runs one zone, so polling is simpler than callbacks.
        while any(  # noqa: ASYNC110
            item.version < version for item in self.daemons
        ):
            await trio.sleep(0.01)
        return trio.current_time() - start

    async def call_all_the_time(
        self, caller: LimitedDaemon, rate: float
    ) -> None:
        """Send calls to random daemons until cancelled."""
        rng = Random(caller.ip)
        others = [item for item in self.daemons if item is not caller]
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(rng.expovariate(rate))
                number += 1
                nursery.start_soon(
                    self._call, caller, rng.choice(others), number
                )

    async def _call(
        self, caller: LimitedDaemon, other: LimitedDaemon, number: int
    ) -> None:
        start = trio.current_time()
        try:
            await caller.call(other, number)
        except (PeerLostError, PeerUnreachableError) as error:
            self.failures.append(str(error))
        else:
            self.latencies_s.append(trio.current_time() - start)


@contextlib.asynccontextmanager
async def open_limited_zone(
    bits_per_s: float,
    installed: Configuration,
    size: int = 10,
    calls_per_s: float = 10.0,
) -> AsyncIterator[LimitedZone]:
    """Run a zone of daemons that call each other.

    Parameters
    ----------
    bits_per_s : float
        Bandwidth of each daemon's link in each direction.
    installed : Configuration
        Configuration that the daemons install at first.
    size : int
        Number of daemons.
    calls_per_s : float
        Rate of the calls that each daemon sends.
    """

    async def read_head() -> _model.Head:
        await trio.lowlevel.checkpoint()
        return installed[0]

    zone = LimitedZone(size, NetworkFaults(lambda ip: _ZONE, bits_per_s))
    async with trio.open_nursery() as nursery:
        for daemon in zone.daemons:
            daemon.distribution.set_head_reader(read_head)
            await nursery.start(daemon.run)
        zone.publish(installed)
        await zone.wait_for_version(installed[0].version)
        for daemon in zone.daemons:
            nursery.start_soon(zone.call_all_the_time, daemon, calls_per_s)
        yield zone
        nursery.cancel_scope.cancel()
