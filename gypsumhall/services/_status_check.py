"""Status checks of the backend server on the VM."""

from __future__ import annotations

import contextlib
import re
from typing import Protocol
from typing import TYPE_CHECKING

import trio

from gypsumhall.core._confirmation import BackendStatus
from gypsumhall.services import _backend_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumhall.core._checkins import BackendInstance
    from gypsumhall.services import _calls
    from gypsumhall.services._cold_monitor import ColdMonitor

_TIMEOUT_S = 1.0
_MILLISECONDS = re.compile(rb'[0-9]{1,9}(\.[0-9]{1,9})?')


def _occupy_nothing() -> contextlib.AbstractContextManager[bool]:
    return contextlib.nullcontext(True)


class StatusCheck(Protocol):
    """Asks a backend server for its status."""

    async def check(
        self, backend: BackendInstance, path: str
    ) -> BackendStatus:
        """Return the status of a process of the backend server.

        Parameters
        ----------
        backend : BackendInstance
            The process.
        path : str
            Path of its status; empty if it has none.
        """
        ...


class HttpStatusCheck:
    """Sends a GET request, on a connection of its own.

    The body of the response is not read, and its head is limited as that of
    any other response.

    Parameters
    ----------
    dialect : Dialect
        Names of the HTTP headers that the backend server uses.
    connect : callable
        Returns a client for the address of a backend server.
    cold_monitor : ColdMonitor, optional
        Counts the checks, and receives the remaining warm-up times that the
        responses state.
    on_server_load : callable, optional
        Called with the headers of each response of the process that was
        asked.
    occupy_slot : callable, optional
        Returns a context manager that counts a check as in flight; its value
        says whether the backend server has room for it.
    """

    def __init__(
        self,
        dialect: _calls.Dialect,
        connect: Callable[
            [str], _backend_client.Client
        ] = _backend_client.BackendClient,
        cold_monitor: ColdMonitor | None = None,
        on_server_load: Callable[[_calls.Headers], None] | None = None,
        occupy_slot: Callable[
            [], contextlib.AbstractContextManager[bool]
        ] = _occupy_nothing,
    ) -> None:
        self._occupy_slot = occupy_slot
        self._cold_monitor = cold_monitor
        self._dialect = dialect
        self._connect = connect
        self._on_server_load = on_server_load

    async def check(
        self, backend: BackendInstance, path: str
    ) -> BackendStatus:
        """Return the status of a process of the backend server."""
        if not path:
            return BackendStatus.UNKNOWN
        with self._occupy_slot() as has_room:
            if not has_room:
                return BackendStatus.UNKNOWN
            return await self._request(backend, path)

    async def _request(
        self, backend: BackendInstance, path: str
    ) -> BackendStatus:
        client = self._connect(backend.address)
        headers = ((b'host', backend.address.encode()),)
        try:
            with trio.move_on_after(_TIMEOUT_S):
                async with client.request(
                    'GET', path, headers, b'', self._count
                ) as response:
                    self._report_warmup(response, backend.instance)
                    return self._interpret(response, backend.instance)
        except _backend_client.BackendRejectedError:
            return BackendStatus.UNKNOWN
        except _backend_client.BackendUnreachableError:
            return BackendStatus.UNAVAILABLE
        except (
            _backend_client.BackendRequestError,
            _backend_client.BackendResetError,
            _backend_client.BackendResponseError,
        ):
            return BackendStatus.UNKNOWN
        finally:
            with trio.CancelScope(shield=True):
                await client.close_idle(all_connections=True)
        return BackendStatus.UNKNOWN

    def _count(self) -> None:
        """Count a check, which may be repeated but loads a cold endpoint."""
        if self._cold_monitor is not None:
            self._cold_monitor.record_request()

    def _report_warmup(
        self, response: _backend_client.BackendResponse, instance: str
    ) -> None:
        """Report how long the process remains cold."""
        monitor, name = self._cold_monitor, self._dialect.warmup_remaining
        if monitor is None or not name:
            return
        headers = dict(response.headers)
        process = headers.get(self._dialect.instance, b'').decode('latin-1')
        if process != instance:
            return
        value = headers.get(name, b'')
        if not value:
            # Only a check that was handled shows that it is warm.
            if response.status == 200:
                monitor.record_check(0.0)
        elif _MILLISECONDS.fullmatch(value):
            monitor.record_check(float(value) / 1000)
        else:
            monitor.record_malformed(name)

    def _interpret(
        self, response: _backend_client.BackendResponse, instance: str
    ) -> BackendStatus:
        headers = dict(response.headers)
        process = headers.get(self._dialect.instance, b'').decode('latin-1')
        if process and process != instance:
            return BackendStatus.UNAVAILABLE
        if process and self._on_server_load is not None:
            self._on_server_load(response.headers)
        if response.status == 200 and process:
            return BackendStatus.HEALTHY
        if response.status == 503 and (
            self._dialect.not_executed not in headers
        ):
            return BackendStatus.UNAVAILABLE
        return BackendStatus.UNKNOWN
