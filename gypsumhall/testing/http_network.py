"""HTTP between `httpcore` and ASGI applications over in-memory streams.

No sockets are used, so with `trio.testing.MockClock` timeouts of minutes pass
in milliseconds, independently of the speed of the machine.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import weakref

import httpcore
import trio
import trio.testing

from gypsumhall.services import _http_server
from gypsumhall.standin import server_settings

if TYPE_CHECKING:
    from collections.abc import Iterable
    import ssl


class _ClientStream(httpcore.AsyncNetworkStream):
    """Client end of an in-memory stream.

    Once `silent` is set, all further data is lost in both directions.
    """

    def __init__(
        self, stream: trio.abc.HalfCloseableStream, address: str
    ) -> None:
        self._stream = stream
        self.address = address
        self.silent = False

    async def _block_if_silent(self) -> None:
        if self.silent:
            await trio.sleep_forever()

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        try:
            with trio.fail_after(float('inf') if timeout is None else timeout):
                data = bytes(await self._stream.receive_some(max_bytes))
                await self._block_if_silent()
                return data
        except trio.TooSlowError as error:
            raise httpcore.ReadTimeout from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        try:
            with trio.fail_after(float('inf') if timeout is None else timeout):
                if not self.silent:
                    await self._stream.send_all(buffer)
        except trio.TooSlowError as error:
            raise httpcore.WriteTimeout from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError from error

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = bytes(await self._stream.receive_some(max_bytes))
        await self._block_if_silent()
        return data

    async def send_all(self, data: bytes) -> None:
        if not self.silent:
            await self._stream.send_all(data)

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return False if info == 'is_readable' else None

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        raise NotImplementedError('in-memory streams do not support TLS')


class HttpNetwork(httpcore.AsyncNetworkBackend):
    """Network that connects to ASGI applications.

    It is a network backend of `httpcore` and a `Network` of `_http_client`.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the server side of the connections.

    Attributes
    ----------
    refused : set of str
        Addresses at which new connections are refused immediately.
    unreachable : set of str
        Addresses at which new connections time out.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._apps: dict[str, Any] = {}
        self._streams: weakref.WeakSet[_ClientStream] = weakref.WeakSet()
        self.refused: set[str] = set()
        self.unreachable: set[str] = set()

    def listen(self, address: str, app: Any) -> None:
        """Serve an ASGI application at an address ``<ip>:<port>``."""
        self._apps[address] = app

    def silence_open_connections(self, address: str = '') -> None:
        """Drop all further data on the connections that are open now.

        Parameters
        ----------
        address : str
            Only connections to this address; by default all.
        """
        for stream in self._streams:
            if address in ('', stream.address):
                stream.silent = True

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a stream to the application at an address."""
        address = f'{host}:{port}'
        await trio.lowlevel.checkpoint()
        if address in self.unreachable:
            await trio.sleep(float('inf') if timeout is None else timeout)
            raise httpcore.ConnectTimeout
        if address in self.refused or address not in self._apps:
            raise httpcore.ConnectError(f'connection to {address} refused')
        client_end, server_end = trio.testing.memory_stream_pair()
        self._nursery.start_soon(
            _http_server.serve_stream,
            self._apps[address],
            server_settings(),
            server_end,
        )
        stream = _ClientStream(client_end, address)
        self._streams.add(stream)
        return stream

    async def open_stream(self, address: str) -> Any:
        """Open a stream to the application at an address."""
        host, _, port = address.rpartition(':')
        try:
            return await self.connect_tcp(host, int(port))
        except httpcore.ConnectError as error:
            raise ConnectionRefusedError(str(error)) from error

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise an error; Unix sockets are not supported."""
        raise httpcore.ConnectError('Unix sockets are not supported')

    async def sleep(self, seconds: float) -> None:
        """Sleep for a time by the trio clock."""
        await trio.sleep(seconds)
