"""TCP relay that imitates network faults in front of a listener."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

_CHUNK_BYTES = 64 * 1024

# A chunk that passes a limited link delays the chunks of other connections,
# as a packet does, so it has to be small.
_LIMITED_CHUNK_BYTES = 2 * 1024
_LIMITED_BUFFER_BYTES = 8 * 1024
_LIMITED_CHUNKS_ON_LINK = 4


class Link:
    """One direction of a VM's link, shared by all its connections.

    Chunks pass one after the other in the order in which they arrive.

    Parameters
    ----------
    bits_per_s : float
        Bandwidth.
    """

    __slots__ = ('_bits_per_s', '_free_at', 'carried_bytes')

    def __init__(self, bits_per_s: float) -> None:
        self._bits_per_s = bits_per_s
        self._free_at = -math.inf
        self.carried_bytes = 0

    async def carry(self, size: int) -> None:
        """Wait until a chunk of that many bytes has passed."""
        self.carried_bytes += size
        now = trio.current_time()
        self._free_at = max(now, self._free_at) + 8 * size / self._bits_per_s
        await trio.sleep_until(self._free_at)


class NetworkFaults:
    """Partitions and bandwidth; shared by all relays of a fleet.

    A partition delays all bytes in both directions, and new connections
    neither fail nor succeed, as in a network that drops packets. When the
    partition ends the delayed bytes are delivered, as retransmitted packets
    would be.

    Parameters
    ----------
    zone_of : callable
        Returns the zone of an IP address.
    bits_per_s : float, optional
        Bandwidth of the link of each VM in each direction; by default it is
        not limited. Every VM needs an IP address of its own.
    """

    __slots__ = (
        '_bits_per_s',
        '_changed',
        '_epoch',
        '_links',
        '_partitioned_pairs',
        '_zone_of',
    )

    def __init__(
        self,
        zone_of: Callable[[str], str],
        bits_per_s: float = math.inf,
    ) -> None:
        self._zone_of = zone_of
        self._bits_per_s = bits_per_s
        self._links: dict[tuple[str, str], Link] = {}
        self._partitioned_pairs: set[frozenset[str]] = set()
        self._changed = trio.Event()
        self._epoch = 0

    @property
    def epoch(self) -> int:
        """Count of calls of `silence_open_connections`.

        Connections that were opened in an earlier epoch stall.
        """
        return self._epoch

    @property
    def is_limited(self) -> bool:
        """Whether the bandwidth of the links is limited."""
        return self._bits_per_s < math.inf

    def uplink(self, ip: str) -> Link:
        """Return the link that carries what a VM sends."""
        return self._link(ip, 'up')

    def downlink(self, ip: str) -> Link:
        """Return the link that carries what a VM receives."""
        return self._link(ip, 'down')

    def _link(self, ip: str, direction: str) -> Link:
        key = ip, direction
        if key not in self._links:
            self._links[key] = Link(self._bits_per_s)
        return self._links[key]

    def zone_of(self, ip: str) -> str:
        """Return the zone of an IP address."""
        return self._zone_of(ip)

    def cut(self, first_zone: str, second_zone: str) -> None:
        """Partition two zones, or a zone and ``platform``."""
        self._partitioned_pairs.add(frozenset((first_zone, second_zone)))

    def heal(self) -> None:
        """End all partitions."""
        self._partitioned_pairs.clear()
        self._notify_waiters()

    def silence_open_connections(self) -> None:
        """Stall all open connections permanently; new ones work."""
        self._epoch += 1
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def wait_until_connected(
        self, first_zone: str, second_zone: str, epoch: int
    ) -> None:
        """Wait until bytes may pass on a connection opened in `epoch`."""
        while (
            epoch != self._epoch
            or frozenset((first_zone, second_zone)) in self._partitioned_pairs
        ):
            await self._changed.wait()


class Relay:
    """Forwards connections between two addresses.

    Parameters
    ----------
    network_faults : NetworkFaults
        Partitions that delay bytes.
    target_zone : str
        Zone of the listener behind the relay, or ``platform``.
    target : str
        Address of the listener; it may be set later.
    source_zone : str
        Zone of all clients; empty to derive it from their IP addresses.
    """

    __slots__ = ('_network_faults', '_source_zone', '_target_zone', 'target')

    def __init__(
        self,
        network_faults: NetworkFaults,
        target_zone: str,
        target: str = '',
        source_zone: str = '',
    ) -> None:
        self._network_faults = network_faults
        self._target_zone = target_zone
        self.target = target
        self._source_zone = source_zone

    async def serve(
        self,
        address: str,
        *,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen at an address and forward its connections until cancelled.

        The status is the address with the port that was chosen for port 0.
        """
        host, _, port = address.rpartition(':')
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        if self._network_faults.is_limited:
            # The kernel would otherwise accept megabytes that have not
            # passed the link yet. Accepted sockets inherit the option.
            listeners[0].socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _LIMITED_BUFFER_BYTES
            )
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._forward, listeners)
            task_status.started(f'{host}:{port}')

    async def _forward(self, client: trio.SocketStream) -> None:
        ip = client.socket.getpeername()[0]
        source_zone = self._source_zone or self._network_faults.zone_of(ip)
        epoch = self._network_faults.epoch
        host, _, port = self.target.rpartition(':')
        async with client:
            await self._network_faults.wait_until_connected(
                source_zone, self._target_zone, epoch
            )
            try:
                server = await trio.open_tcp_stream(host, int(port))
            except OSError:
                return
            async with server, trio.open_nursery() as nursery:
                if self._network_faults.is_limited:
                    for one, other in ((client, server), (server, client)):
                        nursery.start_soon(
                            self._copy_limited,
                            one,
                            other,
                            source_zone,
                            epoch,
                            ip,
                            host,
                        )
                        ip, host = host, ip
                    return
                nursery.start_soon(
                    self._copy_bytes, client, server, source_zone, epoch
                )
                nursery.start_soon(
                    self._copy_bytes, server, client, source_zone, epoch
                )

    async def _copy_bytes(
        self,
        receiver: trio.SocketStream,
        sender: trio.SocketStream,
        source_zone: str,
        epoch: int,
    ) -> None:
        try:
            while True:
                data = await receiver.receive_some(_CHUNK_BYTES)
                await self._network_faults.wait_until_connected(
                    source_zone, self._target_zone, epoch
                )
                if not data:
                    await sender.send_eof()
                    return
                await sender.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            await sender.aclose()
            await receiver.aclose()

    async def _copy_limited(
        self,
        receiver: trio.SocketStream,
        sender: trio.SocketStream,
        source_zone: str,
        epoch: int,
        source_ip: str,
        target_ip: str,
    ) -> None:
        faults = self._network_faults
        to_downlink, from_uplink = trio.open_memory_channel[bytes](
            _LIMITED_CHUNKS_ON_LINK
        )
        sender.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _LIMITED_BUFFER_BYTES
        )

        async def pass_downlink() -> None:
            async for data in from_uplink:
                await faults.downlink(target_ip).carry(len(data))
                await sender.send_all(data)
            await sender.send_eof()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pass_downlink)
                async with to_downlink:
                    while data := await receiver.receive_some(
                        _LIMITED_CHUNK_BYTES
                    ):
                        await faults.wait_until_connected(
                            source_zone, self._target_zone, epoch
                        )
                        await faults.uplink(source_ip).carry(len(data))
                        await to_downlink.send(data)
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            await sender.aclose()
            await receiver.aclose()
