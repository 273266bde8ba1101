"""Builders and helpers for tests of tenants, keys and limits."""

from __future__ import annotations

import contextlib
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall.core import _model
from gypsumhall.core import _quotas
from gypsumhall.net._network import PeerSettings
from gypsumhall.services._peers import Peers
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing import pipelining
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallPathDaemon
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumhall.kernel import Service
    from gypsumhall.net._protocol import PeerInfo
    from gypsumhall.services import _backend_client
    from gypsumhall.services import _calls

ROUTES = (
    builders.build_route(path='/search', timeout_s=10.0),
    msgspec.structs.replace(
        builders.build_route('open', path='/open', timeout_s=10.0),
        public=True,
    ),
)


def build_tenant(name: str, *keys: str, **fields: Any) -> _model.Tenant:
    """Return a tenant with the digests of its keys."""
    digests = sorted(_model.digest(key.encode()) for key in keys)
    return _model.Tenant(name, tuple(digests), **fields)


def install(
    daemon: CallPathDaemon,
    version: int,
    *tenants: _model.Tenant,
    routes: tuple[_model.Route, ...] = ROUTES,
    limits: _model.RequestLimits | None = None,
) -> None:
    """Install a configuration on a daemon."""
    (fragment,) = build_snapshot(routes=routes).fragments.values()
    fragment = msgspec.structs.replace(
        fragment, tenants=tenants, limits=limits
    )
    head = builders.build_head([fragment], version)
    daemon.distribution.publish(head, [fragment])


def build_request(
    request_id: str, method: str = 'GET', *, key: str = '', **fields: Any
) -> bytes:
    """Return the bytes of a request with a key; see `pipelining`."""
    lines = fields.pop('fields', ())
    if key:
        lines = (*lines, f'Gypsumhall-Key: {key}')
    return pipelining.build_request(request_id, method, fields=lines, **fields)


class RecordingBackend(pipelining.ScriptedBackend):
    """Scripted backend server that stores the headers of its requests."""

    def __init__(self) -> None:
        super().__init__()
        self.headers: dict[str, _calls.Headers] = {}
        # Time in seconds until a request is sent.
        self.connect_s = 0.0

    def tenant(self, request_id: str) -> bytes | None:
        """Return the name of the tenant that a request states."""
        return dict(self.headers[request_id]).get(b'gypsumhall-tenant')

    @contextlib.asynccontextmanager
    async def request(
        self,
        method: str,
        path: str,
        headers: _calls.Headers,
        body: bytes,
        on_send: Callable[[], None],
        on_abort: object = None,
    ) -> AsyncIterator[_backend_client.BackendResponse]:
        """Run a request."""
        request_id = dict(headers)[b'x-request'].decode()
        self.headers[request_id] = headers
        if self.connect_s:
            await trio.sleep(self.connect_s)
        async with super().request(
            method, path, headers, body, on_send
        ) as response:
            yield response


@contextlib.asynccontextmanager
async def open_daemons(
    backend: pipelining.ScriptedBackend,
    *,
    remote: bool = False,
    slots: int = 32,
) -> AsyncIterator[list[CallPathDaemon]]:
    """Run a daemon, or two of which the first has no backend server.

    Parameters
    ----------
    backend : ScriptedBackend
        Backend server of the last daemon.
    remote : bool
        Whether there are two.
    slots : int
        Number of requests that the backend server runs at the same time.
    """
    async with trio.open_nursery() as nursery:
        hub, table = MemoryHub(nursery), fakes.FakeTable()
        daemons = [
            CallPathDaemon(
                builders.build_member(index),
                table,
                lambda info: MemoryNetwork(hub, info),
                build_snapshot(routes=ROUTES),
                connect=backend.connect,
                listen='127.0.0.1:0',
            )
            for index in range(2 if remote else 1)
        ]
        for daemon in daemons:
            await nursery.start(daemon.run)
        daemons[-1].set_backend(backend.address, slots=slots)
        yield daemons
        nursery.cancel_scope.cancel()


class DecidingQuotas:
    """Grants each request after a callback.

    Parameters
    ----------
    on_decision : callable
        Called before a request is granted, without a switch to another task
        in between.
    """

    def __init__(self, on_decision: Callable[[], None]) -> None:
        self._on_decision = on_decision
        self.returned: list[str] = []

    def take(self, tenant: str, now: float) -> _quotas.Decision:
        """Grant a request."""
        return _quotas.NO_LIMIT

    async def decide(self, tenant: str) -> _quotas.Decision:
        """Call back and grant a request."""
        self._on_decision()
        return _quotas.NO_LIMIT

    def give_back(self, tenant: str, now: float) -> None:
        """Record a token that is returned."""
        self.returned.append(tenant)


class Tee:
    """Forwards connections on loopback addresses and keeps all bytes."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.target = ''
        self.address = ''

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, client: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(':')
        server = await trio.open_tcp_stream(host, int(port))
        async with client, server, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, client, server)
            await self._copy(server, client)
            nursery.cancel_scope.cancel()

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while data := await source.receive_some(65536):
                self.received += data
                await sink.send_all(data)


@contextlib.asynccontextmanager
async def open_daemons_on_sockets(
    backend: str, to_peers: Tee
) -> AsyncIterator[list[CallPathDaemon]]:
    """Run two daemons that are connected by sockets.

    Parameters
    ----------
    backend : str
        Address of the backend server of the second one.
    to_peers : Tee
        Receives what is sent between them.
    """
    ports = []
    for _ in range(2):
        with trio.socket.socket() as probe:
            await probe.bind(('127.0.0.1', 0))
            ports.append(probe.getsockname()[1])
    to_peers.target = f'127.0.0.1:{ports[1]}'
    addresses = (f'127.0.0.1:{ports[0]}', to_peers.address)
    table = fakes.FakeTable()

    def network(index: int) -> Callable[[PeerInfo], Service]:
        def build(info: PeerInfo) -> Service:
            return Peers(
                PeerSettings(
                    info.id,
                    info.zone,
                    info.incarnation,
                    f'127.0.0.1:{ports[index]}',
                    (b'key between the daemons of this test',),
                    addresses[index],
                )
            )

        return build

    daemons = [
        CallPathDaemon(
            msgspec.structs.replace(
                builders.build_member(index), peer_address=addresses[index]
            ),
            table,
            network(index),
            build_snapshot(routes=ROUTES),
            listen='127.0.0.1:0',
        )
        for index in range(2)
    ]
    async with trio.open_nursery() as nursery:
        for daemon in daemons:
            await nursery.start(daemon.run)
        daemons[1].set_backend(backend)
        yield daemons
        nursery.cancel_scope.cancel()
