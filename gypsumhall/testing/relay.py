"""Relay in front of a listener, which imitates faults of the network."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

_CHUNK = 64 * 1024


class NetworkFaults:
    """Which zones reach each other; shared by all relays of a fleet.

    A cut holds bytes back in both directions and lets connections neither
    fail nor succeed, as a network that drops packets does. After healing the
    bytes arrive, as retransmitted packets do.

    Parameters
    ----------
    zone_of : callable
        Returns the zone of an IP number.
    """

    __slots__ = ('_changed', '_cuts', '_epoch', '_zone_of')

    def __init__(self, zone_of: Callable[[str], str]) -> None:
        self._zone_of = zone_of
        self._cuts: set[frozenset[str]] = set()
        self._changed = trio.Event()
        self._epoch = 0

    @property
    def epoch(self) -> int:
        """Grows when all open connections go silent for good."""
        return self._epoch

    def zone_of(self, ip: str) -> str:
        """Return the zone of an IP number."""
        return self._zone_of(ip)

    def cut(self, one: str, other: str) -> None:
        """Separate two zones, or a zone and ``platform``."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()
        self._notify()

    def silence_open_connections(self) -> None:
        """Make all open connections silent for good; new ones work."""
        self._epoch += 1
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def wait_open(self, one: str, other: str, epoch: int) -> None:
        """Wait until bytes pass on a connection opened at `epoch`."""
        while epoch != self._epoch or frozenset((one, other)) in self._cuts:
            await self._changed.wait()


class Relay:
    """Forwards connections between two addresses.

    Parameters
    ----------
    network : Network
        Decides whether bytes pass.
    zone : str
        Zone of the listener behind the relay, or ``platform``.
    target : str
        Address of the listener.
    source_zone : str
        Zone of all clients; empty to derive it from their IP numbers.
    """

    __slots__ = ('_network', '_source_zone', '_target', '_zone')

    def __init__(
        self,
        network: NetworkFaults,
        zone: str,
        target: str,
        source_zone: str = '',
    ) -> None:
        self._network = network
        self._zone = zone
        self._target = target
        self._source_zone = source_zone

    async def serve(
        self,
        address: str,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forward connections to an address until cancelled."""
        host, _, port = address.rpartition(':')
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._forward, listeners)
            task_status.started()

    async def _forward(self, client: trio.SocketStream) -> None:
        ip = client.socket.getpeername()[0]
        source = self._source_zone or self._network.zone_of(ip)
        epoch = self._network.epoch
        host, _, port = self._target.rpartition(':')
        async with client:
            await self._network.wait_open(source, self._zone, epoch)
            try:
                server = await trio.open_tcp_stream(host, int(port))
            except OSError:
                return
            async with server, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, server, source, epoch)
                nursery.start_soon(self._pump, server, client, source, epoch)

    async def _pump(
        self,
        receiver: trio.SocketStream,
        sender: trio.SocketStream,
        source: str,
        epoch: int,
    ) -> None:
        try:
            while True:
                data = await receiver.receive_some(_CHUNK)
                await self._network.wait_open(source, self._zone, epoch)
                if not data:
                    await sender.send_eof()
                    return
                await sender.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            await sender.aclose()
            await receiver.aclose()
