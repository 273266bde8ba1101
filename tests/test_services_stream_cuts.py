"""Tests of responses whose stream between two daemons is cut."""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import TYPE_CHECKING

import httpcore
import msgspec
import pytest
import trio

from gypsumhall.net._network import PeerSettings
from gypsumhall.platform._names import DIALECT
from gypsumhall.services._peers import Peers
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallPathDaemon

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gypsumhall.net._protocol import PeerInfo

_TIME_LIMIT_S = 60.0
_KEY = b'key for tests only'
_BODY = b'twelve bytes'
_HEAD = (
    b'HTTP/1.1 200 OK\r\nGypsumhall-Request-Id: r\r\n'
    b'Gypsumhall-Response-Signature: 3e1b.07\r\n'
)
_WITH_LENGTH = _HEAD + b'Content-Length: 12\r\n\r\n' + _BODY
_CHUNKED = (
    _HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
    b'6\r\ntwelve\r\n',
    b'6\r\n bytes\r\n0\r\n\r\n',
)


class _Relay:
    """Relay that cuts a connection after a number of bytes of a response."""

    def __init__(self, *, reset: bool) -> None:
        self._reset = reset
        self._remaining: int | None = None
        self.target = ''
        self.address = ''

    @property
    def armed(self) -> bool:
        """Whether the cut has not happened yet."""
        return self._remaining is not None

    def cut_after(self, size: int | None) -> None:
        """Cut after that many further bytes from the accepting daemon."""
        self._remaining = size

    async def serve(self, *, task_status: trio.TaskStatus[None]) -> None:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        await trio.serve_listeners(
            self._relay, listeners, task_status=task_status
        )

    async def _relay(self, opener: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(':')
        acceptor = await trio.open_tcp_stream(host, int(port))
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async with opener, acceptor, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy_requests, opener, acceptor)
                await self._copy_responses(acceptor, opener)
                nursery.cancel_scope.cancel()

    async def _copy_requests(
        self, opener: trio.SocketStream, acceptor: trio.SocketStream
    ) -> None:
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async for data in opener:
                await acceptor.send_all(data)

    async def _copy_responses(
        self, acceptor: trio.SocketStream, opener: trio.SocketStream
    ) -> None:
        async for data in acceptor:
            if self._remaining is not None:
                part = data[: self._remaining]
                if part:
                    await opener.send_all(part)
                self._remaining -= len(part)
                if len(part) < len(data):
                    self._remaining = None
                    self._end(opener)
                    return
            else:
                await opener.send_all(data)

    def _end(self, opener: trio.SocketStream) -> None:
        if self._reset:
            linger = struct.pack('ii', 1, 0)
            opener.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        opener.socket.close()


@contextlib.asynccontextmanager
async def _run_backend(parts: tuple[bytes, ...]) -> AsyncIterator[str]:
    """Run a backend server that sends the parts one by one."""

    async def serve(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            async for _ in stream:
                for part in parts:
                    await stream.send_all(part)
                    await trio.sleep(0.002)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield f'127.0.0.1:{listeners[0].socket.getsockname()[1]}'
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _run_daemons(
    backend: str, relay: _Relay
) -> AsyncIterator[CallPathDaemon]:
    """Run two daemons, the second with a backend server behind the relay."""
    networks = []

    def build_peers(info: PeerInfo) -> Peers:
        settings = PeerSettings(
            info.id, info.zone, info.incarnation, '127.0.0.1:0', (_KEY,)
        )
        networks.append(Peers(settings))
        return networks[-1]

    async with trio.open_nursery() as nursery:
        await nursery.start(relay.serve)
        table = fakes.FakeTable()
        snapshot = build_snapshot()
        daemons = []
        for index in range(2):
            me = msgspec.structs.replace(
                builders.build_member(index), peer_address=relay.address
            )
            daemon = CallPathDaemon(
                me,
                table,
                build_peers,
                snapshot,
                listen='127.0.0.1:0',
                dialect=DIALECT,
            )
            await nursery.start(daemon.run)
            daemons.append(daemon)
        relay.target = networks[1].me.address
        daemons[1].set_backend(backend)
        yield daemons[0]
        nursery.cancel_scope.cancel()


async def _call(
    daemon: CallPathDaemon, method: str
) -> tuple[int, bytes] | None:
    """Return the status and body; None if the response is incomplete."""
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request(
                method,
                f'http://{daemon.caller.address}/search',
                headers={
                    'Host': 'spa.example',
                    'Gypsumhall-Request-Id': 'r',
                },
            )
        except (httpcore.RemoteProtocolError, httpcore.ReadError):
            return None
    return response.status, response.content


async def _call_until_reachable(daemon: CallPathDaemon, method: str) -> None:
    """Call until a probe has ended the exclusion of a lost endpoint."""
    while await _call(daemon, method) != (200, _BODY):  # noqa: ASYNC110
        await trio.sleep(0.005)


@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize(
    ('parts', 'method'),
    [
        pytest.param((_WITH_LENGTH,), 'POST', id='length-post'),
        pytest.param(_CHUNKED, 'POST', id='chunks-post'),
        pytest.param(_CHUNKED, 'GET', id='chunks-get'),
    ],
)
async def test_stream_cut_after_any_byte_is_not_a_success(
    parts: tuple[bytes, ...], method: str, reset: bool
) -> None:
    """The caller gets the whole body, 502 or an incomplete response.

    It must not be told that the request did not run either: the call has
    been sent, and the backend server has responded.
    """
    relay = _Relay(reset=reset)
    with trio.fail_after(_TIME_LIMIT_S):
        async with (
            _run_backend(parts) as backend,
            _run_daemons(backend, relay) as daemon,
        ):
            length = 0
            while True:
                await _call_until_reachable(daemon, method)
                relay.cut_after(length)
                result = await _call(daemon, method)
                if relay.armed:
                    break
                assert (
                    result is None
                    or result[0] == 502
                    or result == (200, _BODY)
                ), length
                length += 1
        assert length > len(_BODY)
        assert result == (200, _BODY)
