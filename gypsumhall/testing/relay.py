"""TCP relay that imitates network faults in front of a listener."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

_CHUNK_BYTES = 64 * 1024


class NetworkFaults:
    """Network partitions between zones; shared by all relays of a fleet.

    A partition delays all bytes in both directions, and new connections
    neither fail nor succeed, as in a network that drops packets. When the
    partition ends the delayed bytes are delivered, as retransmitted packets
    would be.

    Parameters
    ----------
    zone_of : callable
        Returns the zone of an IP address.
    """

    __slots__ = ('_changed', '_epoch', '_partitioned_pairs', '_zone_of')

    def __init__(self, zone_of: Callable[[str], str]) -> None:
        self._zone_of = zone_of
        self._partitioned_pairs: set[frozenset[str]] = set()
        self._changed = trio.Event()
        self._epoch = 0

    @property
    def epoch(self) -> int:
        """Count of calls of `silence_open_connections`.

        Connections that were opened in an earlier epoch stall.
        """
        return self._epoch

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
        Address of the listener.
    source_zone : str
        Zone of all clients; empty to derive it from their IP addresses.
    """

    __slots__ = ('_network_faults', '_source_zone', '_target', '_target_zone')

    def __init__(
        self,
        network_faults: NetworkFaults,
        target_zone: str,
        target: str,
        source_zone: str = '',
    ) -> None:
        self._network_faults = network_faults
        self._target_zone = target_zone
        self._target = target
        self._source_zone = source_zone

    async def serve(
        self,
        address: str,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen at an address and forward its connections until cancelled."""
        host, _, port = address.rpartition(':')
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._forward, listeners)
            task_status.started()

    async def _forward(self, client: trio.SocketStream) -> None:
        ip = client.socket.getpeername()[0]
        source_zone = self._source_zone or self._network_faults.zone_of(ip)
        epoch = self._network_faults.epoch
        host, _, port = self._target.rpartition(':')
        async with client:
            await self._network_faults.wait_until_connected(
                source_zone, self._target_zone, epoch
            )
            try:
                server = await trio.open_tcp_stream(host, int(port))
            except OSError:
                return
            async with server, trio.open_nursery() as nursery:
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
