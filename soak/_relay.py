"""Relays between daemons that imitate faults of the network."""

from __future__ import annotations

from contextlib import suppress
import socket
import struct
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak._processes import Vm

    Pair = tuple[str, str]

_CHUNK_BYTES = 64 * 1024
_RESET = struct.pack('ii', 1, 0)


class Links:
    """Faults of the links between VMs, by IP of sender and receiver.

    A blocked direction delays all bytes until it is unblocked, as a network
    that drops packets does.
    """

    __slots__ = ('_blocked', '_changed', '_connections', '_delays_s')

    def __init__(self) -> None:
        self._blocked: set[Pair] = set()
        self._delays_s: dict[Pair, float] = {}
        self._connections: set[_RelayedConnection] = set()
        self._changed = trio.Event()

    def block(self, pairs: Iterable[Pair]) -> None:
        """Hold all bytes from the first to the second VM of each pair."""
        self._blocked.update(pairs)

    def delay(self, pairs: Iterable[Pair], delay_s: float) -> None:
        """Delay all bytes from the first to the second VM of each pair."""
        self._delays_s.update(dict.fromkeys(pairs, delay_s))

    def heal(self, pairs: Iterable[Pair]) -> None:
        """End the delays and blocks of pairs."""
        for pair in pairs:
            self._blocked.discard(pair)
            self._delays_s.pop(pair, None)
        self._notify()

    def reset(self, pairs: Iterable[Pair]) -> None:
        """Reset the open connections of pairs."""
        for connection in self._find(pairs):
            connection.reset()

    def silence(self, pairs: Iterable[Pair]) -> None:
        """Deliver nothing more on the open connections of pairs."""
        for connection in self._find(pairs):
            connection.silent = True

    def add(self, connection: _RelayedConnection) -> None:
        """Add a connection."""
        self._connections.add(connection)

    def remove(self, connection: _RelayedConnection) -> None:
        """Remove a connection."""
        self._connections.discard(connection)

    async def pass_on(self, pair: Pair) -> None:
        """Wait until bytes may be delivered."""
        await trio.sleep(self._delays_s.get(pair, 0.0))
        while pair in self._blocked:
            await self._changed.wait()

    def _find(self, pairs: Iterable[Pair]) -> list[_RelayedConnection]:
        wanted = set(pairs)
        return [item for item in self._connections if item.pair in wanted]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class _RelayedConnection:
    __slots__ = ('_client', '_server', 'pair', 'silent')

    def __init__(
        self, client: trio.SocketStream, server: trio.SocketStream, pair: Pair
    ) -> None:
        self._client = client
        self._server = server
        self.pair = pair
        self.silent = False

    def reset(self) -> None:
        """Reset both sides."""
        for stream in (self._client, self._server):
            with suppress(OSError):
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            stream.socket.close()

    async def run(self, links: Links) -> None:
        """Deliver bytes in both directions until both have ended."""
        sender, receiver = self.pair
        async with self._client, self._server, trio.open_nursery() as nursery:
            for source, target, pair in (
                (self._client, self._server, (sender, receiver)),
                (self._server, self._client, (receiver, sender)),
            ):
                nursery.start_soon(self._copy, source, target, links, pair)

    async def _copy(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        links: Links,
        pair: Pair,
    ) -> None:
        try:
            while True:
                data = await source.receive_some(_CHUNK_BYTES)
                await links.pass_on(pair)
                if self.silent:
                    await trio.sleep_forever()
                if not data:
                    await target.send_eof()
                    return
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            self.reset()


async def serve_relay(
    vm: Vm,
    links: Links,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Relay the connections of other daemons to a daemon."""
    host, _, port = vm.listen_address.rpartition(':')

    async def relay(client: trio.SocketStream) -> None:
        source = client.socket.getpeername()[0]
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            await trio.aclose_forcefully(client)
            return
        connection = _RelayedConnection(client, server, (source, vm.ip))
        links.add(connection)
        try:
            await connection.run(links)
        finally:
            links.remove(connection)

    peer_host, _, peer_port = vm.peer_address.rpartition(':')
    listeners = await trio.open_tcp_listeners(int(peer_port), host=peer_host)
    task_status.started()
    await trio.serve_listeners(relay, listeners)
