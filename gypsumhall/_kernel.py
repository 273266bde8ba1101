"""Service registry with dependency-ordered start and shutdown."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TypeVar

import trio

from gypsumhall._errors import GypsumhallError

T = TypeVar('T')

_RESERVED_DRAIN_FRACTION = 0.05
"""Fraction of the drain timeout that is reserved for the remaining services
when one service has used up the rest. In this time a daemon still notifies the
other daemons that it leaves."""


class KernelError(GypsumhallError):
    """A service is missing, registered twice or part of a dependency cycle."""

    code = 'kernel'


class Service(Protocol):
    """A part of a daemon that the kernel starts and stops.

    Attributes
    ----------
    name : str
        Name by which other services look this one up.
    requires : tuple of str
        Names of the services that have to be started first.
    """

    name: str
    requires: tuple[str, ...]

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; call `task_status.started()` when ready."""
        ...

    async def drain(self) -> None:
        """Reject new work and return when no work is left."""
        ...


class Kernel:
    """Starts services in the order of their requirements.

    Services are drained one by one in the reverse order, then cancelled. When
    a drain takes too long it is cancelled, and the remaining services are
    drained concurrently.
    """

    __slots__ = ('_order', '_services', '_stopping')

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._order: list[str] = []
        self._stopping = trio.Event()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the registered services, in order of registration."""
        return tuple(self._services)

    @property
    def stopping(self) -> trio.Event:
        """Set when a graceful shutdown has been requested."""
        return self._stopping

    def register(self, service: Service) -> None:
        """Add a service before `run`.

        Raises
        ------
        KernelError
            When a service with this name is already registered.
        """
        if service.name in self._services:
            raise KernelError(f'service {service.name!r} is registered twice')
        self._services[service.name] = service

    def get(self, name: str, kind: type[T]) -> T:
        """Return a service by name.

        Parameters
        ----------
        name : str
            Name of the service.
        kind : type
            Expected class or runtime-checkable protocol.

        Raises
        ------
        KernelError
            When no such service exists or it has another type.
        """
        service: Any = self._services.get(name)
        if service is None:
            registered = ', '.join(sorted(self._services))
            raise KernelError(f'no service {name!r}; registered: {registered}')
        if not isinstance(service, kind):
            raise KernelError(
                f'service {name!r} is a {type(service).__name__}, '
                f'expected {kind.__name__}'
            )
        return service

    def stop(self) -> None:
        """Request a graceful shutdown."""
        self._stopping.set()

    async def run(
        self,
        *,
        drain_timeout_s: float = 30.0,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Start all services, wait for `stop`, then drain and cancel them.

        Parameters
        ----------
        drain_timeout_s : float
            Time limit in seconds for draining all services.
        """
        self._order = _start_order(self._services)
        async with trio.open_nursery() as nursery:
            for name in self._order:
                service = self._services[name]
                await nursery.start(service.run, self)
            task_status.started()
            await self._stopping.wait()
            await self._drain(drain_timeout_s)
            nursery.cancel_scope.cancel(reason='shutdown')

    async def _drain(self, timeout_s: float) -> None:
        """Drain one by one; near the deadline drain the rest concurrently."""
        drain_deadline = trio.current_time() + timeout_s
        pending = list(self._order)
        with trio.CancelScope(
            deadline=drain_deadline - _RESERVED_DRAIN_FRACTION * timeout_s
        ):
            while pending:
                await self._services[pending[-1]].drain()
                pending.pop()
        if not pending:
            return
        # The last pending service is the one whose drain was cancelled.
        with trio.CancelScope(deadline=drain_deadline):
            async with trio.open_nursery() as nursery:
                for name in reversed(pending[:-1]):
                    nursery.start_soon(self._services[name].drain)


def _start_order(services: dict[str, Service]) -> list[str]:
    order: list[str] = []
    visiting: list[str] = []

    def visit(name: str) -> None:
        if name in order:
            return
        if name in visiting:
            cycle = ' -> '.join([*visiting, name])
            raise KernelError(f'services require each other: {cycle}')
        if name not in services:
            raise KernelError(
                f'service {visiting[-1]!r} requires {name!r}, '
                'which is not registered'
            )
        visiting.append(name)
        for required in services[name].requires:
            visit(required)
        visiting.pop()
        order.append(name)

    for name in services:
        visit(name)
    return order
