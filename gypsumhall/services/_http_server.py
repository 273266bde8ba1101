"""HTTP/1.1 server with connections derived from hypercorn's.

`hypercorn.trio.serve` sends the head and the body of a response separately,
starts a task for every idle period of a connection and shields sending from
cancellation. This module listens itself, so that it can use a subclass of
hypercorn's connection that differs in these three points.
"""

from __future__ import annotations

import functools
import math
import socket
import struct
from typing import Any
from typing import TYPE_CHECKING

from hypercorn.events import Closed
from hypercorn.events import Event
from hypercorn.events import RawData
from hypercorn.events import Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import wrap_app
import trio

from gypsumhall._errors import translate_listen_errors

if TYPE_CHECKING:
    from hypercorn.config import Config


# Longest time in seconds for which a caller may not read.
_SEND_TIMEOUT_S = 30.0


class _IdleTimer:
    """Closes a connection that is idle for too long, with a single task.

    It has the interface of hypercorn's `TrioSingleTask`, which starts a new
    task after each request.
    """

    def __init__(self, connection: _Connection, timeout_s: float) -> None:
        self._connection = connection
        self._timeout_s = timeout_s
        self._scope: trio.CancelScope | None = None

    async def restart(self, task_group: Any, action: Any) -> None:
        """Note that the connection is idle from now on."""
        if self._scope is None:
            self._scope = trio.CancelScope()
            task_group.spawn(self._connection.close_when_idle, self._scope)
        self._scope.deadline = trio.current_time() + self._timeout_s

    async def stop(self) -> None:
        """Note that a request is being handled."""
        if self._scope is not None:
            self._scope.deadline = math.inf

    def end(self) -> None:
        """End the task, because the connection has ended."""
        if self._scope is not None:
            self._scope.cancel()


class _Connection(TCPServer):
    """Connection that sends the head of a response with its first data."""

    _HEAD = b'HTTP/1.1 '
    _INFORMATIONAL = b'HTTP/1.1 1'

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._held = b''
        self._ended = False
        self._timer = _IdleTimer(self, self.config.keep_alive_timeout)
        self.idle_task = self._timer  # type: ignore[assignment]
        # Reaches the application as `scope['state']`.
        self.state = {'reset': self._reset}

    async def protocol_send(self, event: Event) -> None:
        """Send data, or take note of a change of state."""
        if isinstance(event, RawData):
            data = bytes(event.data)
            if (
                not self._held
                and data.startswith(self._HEAD)
                and not data.startswith(self._INFORMATIONAL)
            ):
                self._held = data
                return
            await self._send(data)
            return
        if self._held:
            await self._send(b'')
        if isinstance(event, Updated):
            if event.idle:
                await self._timer.restart(self._task_group, None)
            else:
                await self._timer.stop()
            return
        await super().protocol_send(event)

    async def close_when_idle(self, scope: trio.CancelScope) -> None:
        """Close the connection at the timeout or when the server stops."""
        with scope:
            await self.context.terminated.wait()
            if not math.isfinite(scope.deadline):
                # hypercorn closes the connection after the response.
                return
        if not self._ended:
            with trio.CancelScope(shield=True):
                await self._initiate_server_close()

    async def _reset(self) -> None:
        """Reset the connection, for servers that imitate a crash."""
        linger = struct.pack('ii', 1, 0)
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await self.stream.aclose()

    async def _read_data(self) -> None:
        try:
            await super()._read_data()
        finally:
            self._ended = True
            self._timer.end()

    async def _send(self, data: bytes) -> None:
        """Send data; cancellation closes the connection.

        hypercorn shields sending from cancellation, so that a caller that
        stops reading would keep its call for ever.
        """
        held, self._held = self._held, b''
        data = held + data
        if not data:
            return
        async with self.send_lock:
            limit = trio.current_time() + _SEND_TIMEOUT_S
            try:
                # `trio.fail_after` takes several times as long.
                with trio.CancelScope(deadline=limit) as scope:
                    await self.stream.send_all(data)
                if scope.cancelled_caught:
                    await trio.aclose_forcefully(self.stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            except trio.Cancelled:
                # Part of the data may have been sent.
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(self.stream)
                raise
            else:
                if not scope.cancelled_caught:
                    return
        await self.protocol.handle(Closed())


async def serve(
    application: Any,
    config: Config,
    address: str,
    stop: trio.Event,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application without lifespan events.

    Parameters
    ----------
    application : callable
        ASGI application.
    config : Config
        hypercorn's settings; those about sockets are not used.
    address : str
        ``<ip>:<port>`` to listen on; port 0 for any.
    stop : trio.Event
        Ends the server when set.
    task_status : trio.TaskStatus
        Gets the bound address.
    """
    host, _, port = address.rpartition(':')
    with translate_listen_errors(address):
        listeners = await trio.open_tcp_listeners(
            int(port), host=host.strip('[]'), backlog=config.backlog
        )
    context = WorkerContext(None)
    app = wrap_app(application, config.wsgi_max_body_size, 'asgi')
    handler = functools.partial(_Connection, app, config, context, {})
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    handler,
                    listeners,
                    handler_nursery=connections,
                )
            )
            bound = listeners[0].socket.getsockname()[1]
            task_status.started(f'{host}:{bound}')
            await stop.wait()
            nursery.cancel_scope.cancel()
        await context.terminated.set()
        connections.cancel_scope.deadline = (
            trio.current_time() + config.graceful_timeout
        )
