"""The call path of a daemon, with fakes of the other services."""

from __future__ import annotations

import contextlib
import itertools
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.kernel import Kernel
from gypsumhall.net._protocol import PeerInfo
from gypsumhall.services import _backend_client
from gypsumhall.services import _calls
from gypsumhall.services._announcements import AnnouncementsService
from gypsumhall.services._caller import CallerService
from gypsumhall.services._runner import RunnerService
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumhall.core import _model
    from gypsumhall.core._member import Member
    from gypsumhall.kernel import Service
    from gypsumhall.services._quotas import QuotaService

_PROCESSES = itertools.count(1)

POST_ROUTE = builders.build_route(path='/')


def build_snapshot(
    version: int = 1,
    moves: tuple[_model.Move, ...] = (),
    routes: tuple[_model.Route, ...] = (POST_ROUTE,),
) -> Snapshot:
    """Return a configuration with the routes and the services they name."""
    names = sorted({item.service for item in routes})
    services = [builders.build_service(name) for name in names]
    fragment = builders.build_fragment(services=services, routes=routes)
    head = builders.build_head([fragment], version, moves)
    return Snapshot.build(head, [fragment])


class MemoryBackend:
    """Backend server without sockets; shared by all runners of a test.

    Parameters
    ----------
    rng : Random
        Random source of service times and faults.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.runs: dict[str, int] = {}
        self.runs_by_address: dict[str, int] = {}
        self.mean_service_time_s = 0.01
        # Mean by address of the backend server; default `mean_service_time_s`.
        self.mean_service_time_by_address: dict[str, float] = {}
        # Whether every service time is the mean instead of exponentially
        # distributed.
        self.constant_service_time = False
        self.reset_rate = 0.0
        self.break_rate = 0.0
        self.unreachable_rate = 0.0
        # Share of responses without Content-Length.
        self.chunked_rate = 0.0
        # Status by address of the backend server; default 200.
        self.status: dict[str, int] = {}
        # Addresses whose requests get no response.
        self.hanging_addresses: set[str] = set()
        # Addresses that reject all requests; the dialect's header for that
        # has to be ``X-Not-Executed``.
        self.shedding_addresses: set[str] = set()
        self.shed_requests = 0
        # Value of ``X-Server-Load`` in all responses; empty for no header.
        self.server_load = b''
        # Addresses whose responses are truncated.
        self.truncating_addresses: set[str] = set()

    def client(self, address: str) -> MemoryBackendClient:
        """Return a client; passed to the runner as ``connect``."""
        return MemoryBackendClient(self, address)

    @contextlib.asynccontextmanager
    async def request(
        self,
        address: str,
        headers: _calls.Headers,
        on_send: Callable[[], None],
    ) -> AsyncIterator[_backend_client.BackendResponse]:
        """Run a request and count it under its header ``X-Request``."""
        await trio.lowlevel.checkpoint()
        if self._rng.random() < self.unreachable_rate:
            raise _backend_client.BackendUnreachableError(address)
        on_send()
        request_id = dict(headers)[b'x-request'].decode()
        if address in self.shedding_addresses:
            self.shed_requests += 1
            yield _backend_client.BackendResponse(
                503,
                (
                    (b'x-not-executed', b'1'),
                    (b'x-request', request_id.encode()),
                    (b'content-length', b'0'),
                ),
                0,
                _empty_body(),
            )
            return
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.runs_by_address[address] = (
            self.runs_by_address.get(address, 0) + 1
        )
        if address in self.hanging_addresses:
            await trio.sleep_forever()
        await trio.sleep(self._service_time_s(address))
        if self._rng.random() < self.reset_rate:
            raise _backend_client.BackendResetError(address)
        body = request_id.encode()
        headers = ((b'x-request', body),)
        if self.server_load:
            headers = (*headers, (b'x-server-load', self.server_load))
        chunked = self._rng.random() < self.chunked_rate
        if not chunked:
            headers = ((b'content-length', b'%d' % len(body)), *headers)
        yield _backend_client.BackendResponse(
            self.status.get(address, 200),
            headers,
            None if chunked else len(body),
            self._body(address, body),
        )

    def _service_time_s(self, address: str) -> float:
        mean_service_time_s = self.mean_service_time_by_address.get(
            address, self.mean_service_time_s
        )
        if self.constant_service_time:
            return mean_service_time_s
        return self._rng.expovariate(1 / mean_service_time_s)

    async def _body(
        self, address: str, body: bytes
    ) -> AsyncGenerator[bytes, None]:
        half = len(body) // 2
        yield body[:half]
        await trio.sleep(self._service_time_s(address))
        if (
            address in self.truncating_addresses
            or self._rng.random() < self.break_rate
        ):
            raise _backend_client.BackendResetError('response truncated')
        yield body[half:]


async def _empty_body() -> AsyncGenerator[bytes, None]:
    yield b''


class MemoryBackendClient:
    """Client of a `MemoryBackend`."""

    def __init__(self, backend: MemoryBackend, address: str) -> None:
        self._backend = backend
        self.address = address

    def request(
        self,
        method: str,
        path: str,
        headers: _calls.Headers,
        body: bytes,
        on_send: Callable[[], None],
        on_abort: object = None,
    ) -> contextlib.AbstractAsyncContextManager[
        _backend_client.BackendResponse
    ]:
        """Send a request."""
        return self._backend.request(self.address, headers, on_send)

    async def close_idle(self, *, all_connections: bool = False) -> None:
        """Do nothing, as there are no connections."""


class DeadlineBackend(MemoryBackend):
    """Backend server that responds when the time that it was given is over.

    Its requests have to have the headers ``Gypsumhall-Deadline-Ms`` and
    ``X-Request``. It responds with status 504.
    """

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        # Time in seconds for the way of a request to the endpoint and back.
        self.transit_s = 0.005

    @contextlib.asynccontextmanager
    async def request(
        self,
        address: str,
        headers: _calls.Headers,
        on_send: Callable[[], None],
    ) -> AsyncIterator[_backend_client.BackendResponse]:
        """Respond with status 504 at the deadline."""
        on_send()
        fields = dict(headers)
        request_id = fields[b'x-request']
        name = request_id.decode()
        self.runs[name] = self.runs.get(name, 0) + 1
        deadline_ms = int(fields[b'gypsumhall-deadline-ms'])
        await trio.sleep(deadline_ms / 1000 + self.transit_s)
        yield _backend_client.BackendResponse(
            504,
            ((b'content-length', b'4'), (b'x-request', request_id)),
            4,
            self._body(address, b'late'),
        )


class CallPathDaemon:
    """The services ``caller``, ``runner`` and ``announcements``.

    Parameters
    ----------
    me : Member
        Member entry of the daemon.
    table : FakeTable
        Member table.
    peers : callable
        Returns the service ``peers`` for the daemon.
    snapshot : Snapshot
        Configuration.
    connect : callable
        Returns the client for the address of a backend server.
    seed : int
        Seed of the random choices of the runner and its sender.
    listen : str
        Address for callers; empty for none.
    availability_wait_s : float
        Longest time in seconds for which a graceful shutdown waits for other
        endpoints.
    drain_delay_s : float
        Longest time in seconds for which new callers are served during a
        graceful shutdown.
    drain_timeout_s : float
        Longest time in seconds of a graceful shutdown; requests are ended
        after 0.9 of it.
    dialect : Dialect
        Names of the headers that callers and backend servers use.
    quotas : QuotaService, optional
        Quotas of tenants; by default without limits.
    """

    def __init__(
        self,
        me: Member,
        table: fakes.FakeTable,
        peers: Callable[[PeerInfo], Service],
        snapshot: Snapshot,
        connect: Callable[
            [str], _backend_client.Client
        ] = _backend_client.BackendClient,
        seed: int = 0,
        listen: str = '',
        availability_wait_s: float = 0.0,
        drain_delay_s: float = 0.0,
        drain_timeout_s: float = 30.0,
        dialect: _calls.Dialect = _calls.DEFAULT_DIALECT,
        quotas: QuotaService | None = None,
    ) -> None:
        self._drain_timeout_s = drain_timeout_s
        # Set when the daemon has stopped.
        self.ended = trio.Event()
        self.membership = fakes.FakeMembership(me, table)
        self.distribution = fakes.FakeDistribution(snapshot)
        self.moves = fakes.FakeMoves()
        self.events = fakes.FakeEvents()
        self.metrics = fakes.FakeMetrics()
        self.admin = fakes.FakeAdmin()
        self.runner = RunnerService(
            Random(seed),
            connect,
            dialect,
            availability_wait_s=availability_wait_s,
            cancel_after_s=0.9 * drain_timeout_s,
        )
        self.announcements = AnnouncementsService()
        self.caller = (
            CallerService(
                listen,
                dialect,
                '',
                drain_delay_s,
                0.9 * drain_timeout_s,
                has_quotas=quotas is not None,
            )
            if listen
            else None
        )
        self.kernel = Kernel()
        info = PeerInfo(
            me.id,
            me.zone,
            me.incarnation,
            me.peer_address,
            f'process {next(_PROCESSES)}',
        )
        for service in (
            self.membership,
            self.distribution,
            self.moves,
            self.events,
            self.metrics,
            self.admin,
            peers(info),
            self.runner,
            self.announcements,
        ):
            self.kernel.register(service)
        if quotas is not None:
            self.runner.set_quotas(quotas)
            self.kernel.register(quotas)
        if self.caller is not None:
            self.kernel.register(self.caller)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the daemon until it is stopped or cancelled."""
        await self.kernel.run(
            drain_timeout_s=self._drain_timeout_s, task_status=task_status
        )
        self.ended.set()

    def set_backend(
        self,
        address: str,
        version: str = 'v1',
        slots: int = 6,
        state: EndpointState = EndpointState.READY,
        service: str = 'availability',
    ) -> None:
        """Register a backend server that does not expire.

        An announced one is removed after 3 s without a heartbeat.
        """
        endpoint = Endpoint(service, version, slots, state)
        self.runner.set_backend(endpoint, address)
        self.membership.set_endpoint(endpoint)


@contextlib.asynccontextmanager
async def open_daemons(
    backend: str,
    snapshot: Snapshot,
    count: int = 2,
    dialect: _calls.Dialect = _calls.DEFAULT_DIALECT,
) -> AsyncIterator[list[CallPathDaemon]]:
    """Run daemons that listen for callers; the last has a backend server.

    Parameters
    ----------
    backend : str
        ``<ip>:<port>`` of the backend server.
    snapshot : Snapshot
        Configuration.
    count : int
        Number of daemons.
    dialect : Dialect
        Names of the headers that callers and backend servers use.
    """
    async with trio.open_nursery() as nursery:
        hub = MemoryHub(nursery)
        table = fakes.FakeTable()
        daemons = [
            CallPathDaemon(
                builders.build_member(index),
                table,
                lambda info: MemoryNetwork(hub, info),
                snapshot,
                listen='127.0.0.1:0',
                dialect=dialect,
            )
            for index in range(count)
        ]
        for daemon in daemons:
            await nursery.start(daemon.run)
        daemons[-1].set_backend(backend)
        yield daemons
        nursery.cancel_scope.cancel()


def build_restarted_member(
    member: Member, incarnation_step: int = 1000
) -> Member:
    """Return the entry of a daemon after a restart, without endpoint."""
    incarnation = member.incarnation + incarnation_step
    return msgspec.structs.replace(
        member, incarnation=incarnation, endpoint=None
    )
