"""Stand-in of the backend server of a VM."""

from __future__ import annotations

from contextlib import suppress
import itertools
import json
import time
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import h11
import httpcore
import trio

from soak._records import Run
from soak._records import RunEnd

if TYPE_CHECKING:
    import random

    from soak._checks import Checks
    from soak._processes import Vm
    from soak._records import Request

SLOTS = 6
DRAIN_S = 2.0

# Longest time in seconds by which a heartbeat is delayed, and longest time for
# which an endpoint serves after `DRAIN_S`.
_MAX_DELAY_S = 5.0
_MAX_STAY_S = 8.0
_QUEUE = 6
_BEAT_S = 0.75
_ACK_TIMEOUT_S = 1.0
_RECEIVE_BYTES = 64 * 1024
_RUN_NUMBERS = itertools.count(1)
_ID = 'gypsumhall-request-id'
_NOT_EXECUTED = ('Gypsumhall-Not-Executed', '1')
_Headers = list[tuple[str, str]]


class Endpoint:
    """Backend server that records what reaches it.

    Parameters
    ----------
    vm : Vm
        Its VM.
    checks : Checks
        Checks each arrival and each run.
    rng : random.Random
        Draws the times of a leave.
    delays : random.Random
        Draws the kind of a leave and the heartbeats that are delayed.

    Attributes
    ----------
    left_at : float or None
        Time at which the leave of this lifetime was acknowledged.
    """

    def __init__(
        self,
        vm: Vm,
        checks: Checks,
        rng: random.Random,
        delays: random.Random,
    ) -> None:
        self._vm = vm
        self._checks = checks
        self._rng = rng
        self._delays = delays
        self._lifetimes = 0
        self._sequence = 0
        self._leave = trio.Event()
        self._state = 'ready'
        self._slots = trio.Semaphore(SLOTS)
        self.instance = ''
        self.left_at: float | None = None
        # A daemon that restarts closes idle connections.
        self._http = httpcore.AsyncConnectionPool(max_keepalive_connections=0)

    def leave(self) -> None:
        """Start a planned shutdown; a new lifetime follows it."""
        self._leave.set()

    async def run(self) -> None:
        """Serve one lifetime after the other until cancelled."""
        while True:
            self._lifetimes += 1
            self._sequence = 0
            self.instance = f'i-{self._vm.index}-{self._lifetimes}'
            self.left_at = None
            self._leave = trio.Event()
            self._state = 'ready'
            self._slots = trio.Semaphore(SLOTS)
            await self._serve_lifetime(int(time.time() * 1000))
            await trio.sleep(self._rng.uniform(0.5, 1.5))

    async def _serve_lifetime(self, born_ms: int) -> None:
        listeners = await self._listen()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners, self._serve_connection, listeners
            )
            while not self._leave.is_set():
                await self._beat('PUT', born_ms)
                with trio.move_on_after(_BEAT_S):
                    await self._leave.wait()
            # Sent before the leave, it arrives after it.
            delayed = self._encode_beat(born_ms)
            delay_s = self._delays.uniform(0.0, _MAX_DELAY_S)
            stay_s = self._rng.uniform(0.5, 2.0)
            if self._delays.random() < 0.5:
                stay_s = self._delays.uniform(0.0, _MAX_STAY_S)
            self._state = 'draining'
            # Some endpoints report nothing before their notice of leaving.
            notice = self._delays.choice(('PUT', 'DELETE'))
            with trio.move_on_after(8.0 + stay_s):
                while not await self._beat(  # noqa: ASYNC110
                    notice, born_ms
                ):
                    await trio.sleep(0.25)
                self.left_at = trio.current_time()
                nursery.start_soon(self._send_late, delayed, delay_s)
                await trio.sleep(DRAIN_S + stay_s)
                await self._beat('DELETE', born_ms)
            nursery.cancel_scope.cancel()

    async def _send_late(self, value: bytes, delay_s: float) -> None:
        await trio.sleep(delay_s)
        while not await self._send('PUT', value):  # noqa: ASYNC110
            await trio.sleep(0.25)
        self._checks.count('delayed heartbeats after a leave')

    async def _listen(self) -> list[trio.SocketListener]:
        host, _, port = self._vm.backend_address.rpartition(':')
        while True:
            # A daemon that is being started has the descriptors of this
            # process until it executes its program.
            with suppress(OSError):
                return await trio.open_tcp_listeners(int(port), host=host)
            await trio.sleep(0.1)

    async def _beat(self, method: str, born_ms: int) -> bool:
        return await self._send(method, self._encode_beat(born_ms))

    def _encode_beat(self, born_ms: int) -> bytes:
        self._sequence += 1
        value = {
            'addr': self._vm.backend_address,
            'born': born_ms,
            'info': {
                'service': self._vm.service,
                'version': 'v1',
                'zone': self._vm.zone,
                'slots': SLOTS,
            },
            'status': {
                'state': self._state,
                'seq': self._sequence,
                'warmupLeftMs': 0,
            },
        }
        return json.dumps(value).encode()

    async def _send(self, method: str, value: bytes) -> bool:
        address = self._vm.control_address
        with (
            trio.move_on_after(_ACK_TIMEOUT_S),
            suppress(httpcore.NetworkError, httpcore.ProtocolError),
        ):
            response = await self._http.request(
                method,
                f'http://{address}/v1/instances/{self.instance}',
                headers={'Host': address, 'Content-Type': 'application/json'},
                content=value,
            )
            return response.status < 300
        return False

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        async with stream:
            try:
                connection = h11.Connection(h11.SERVER)
                while await self._serve_request(stream, connection):
                    connection.start_next_cycle()
            except* (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                h11.ProtocolError,
            ):
                pass

    async def _serve_request(
        self, stream: trio.SocketStream, connection: h11.Connection
    ) -> bool:
        head = await _next_event(stream, connection)
        if not isinstance(head, h11.Request):
            return False
        body = b''
        while True:
            event = await _next_event(stream, connection)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return False
            body += event.data
        fields = {
            name.decode(): value.decode() for name, value in head.headers
        }
        if head.target == b'/healthz':
            status = 503 if self._leave.is_set() else 200
            echo = [('Gypsumhall-Instance-Id', self.instance)]
            await _respond(stream, connection, status, echo, b'')
            return True
        id = fields.get(_ID, '')
        echo = [('Gypsumhall-Request-Id', id)]
        if self._leave.is_set():
            echo.append(('Connection', 'close'))
        expected = fields.get('gypsumhall-expected-instance')
        if expected not in (None, self.instance):
            await _respond(stream, connection, 421, echo, b'')
            return True
        request = self._checks.arrive(self, self._vm, head, fields, body)
        rejected = request is None or (
            self._slots.statistics().tasks_waiting >= _QUEUE
        )
        if request is None or rejected:
            echo.append(_NOT_EXECUTED)
            await _respond(stream, connection, 503, echo, b'')
            return True
        timeout_s = int(fields.get('gypsumhall-timeout-ms', '10000')) / 1000
        await self._run_request(stream, connection, request, echo, timeout_s)
        return not self._leave.is_set()

    async def _run_request(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        request: Request,
        echo: _Headers,
        timeout_s: float,
    ) -> None:
        deadline = trio.current_time() + timeout_s
        query = parse_qs(request.target.partition('?')[2])
        work_s = int(query['ms'][0]) / 1000
        run: Run | None = None
        expired = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    _cancel_on_close, stream, connection, nursery.cancel_scope
                )
                with trio.move_on_at(deadline):
                    await self._slots.acquire()
                    try:
                        run = self._start_run(request)
                        await trio.sleep(work_s)
                    finally:
                        self._slots.release()
                expired = trio.current_time() >= deadline
                if run is None:
                    echo.append(_NOT_EXECUTED)
                    await _respond(stream, connection, 503, echo, b'')
                else:
                    run.status = 504 if expired else int(query['status'][0])
                    run.size = int(query['size'][0])
                    run.answering_at = trio.current_time()
                    signed = ('Gypsumhall-Response-Signature', run.signature)
                    echo.append(signed)
                    await _respond(
                        stream, connection, run.status, echo, run.body
                    )
                    self._end_run(request, run, RunEnd.ANSWERED)
                nursery.cancel_scope.cancel()
        finally:
            if run is not None and run.end is None:
                left = self._state == 'draining' and (
                    self.left_at is None
                    or trio.current_time() > self.left_at + DRAIN_S
                )
                self._end_run(
                    request,
                    run,
                    RunEnd.ENDPOINT_LEFT if left else RunEnd.CUT,
                )

    def _start_run(self, request: Request) -> Run:
        number = next(_RUN_NUMBERS)
        run = Run(
            self._vm.index,
            self.instance,
            trio.current_time(),
            f'{number:x}.{request.id}.{self.instance}',
        )
        self._checks.start_run(request, run)
        return run

    def _end_run(self, request: Request, run: Run, end: RunEnd) -> None:
        run.end, run.ended_at = end, trio.current_time()


async def _cancel_on_close(
    stream: trio.SocketStream,
    connection: h11.Connection,
    scope: trio.CancelScope,
) -> None:
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while data := await stream.receive_some(_RECEIVE_BYTES):
            connection.receive_data(data)
    scope.cancel()


async def _next_event(
    stream: trio.SocketStream, connection: h11.Connection
) -> object:
    while (event := connection.next_event()) is h11.NEED_DATA:
        connection.receive_data(await stream.receive_some(_RECEIVE_BYTES))
    return event


async def _respond(
    stream: trio.SocketStream,
    connection: h11.Connection,
    status: int,
    fields: _Headers,
    body: bytes,
) -> None:
    # Some endpoints send a length, others chunks.
    if len(body) % 2 == 0:
        fields = [*fields, ('Content-Length', str(len(body)))]
    response = h11.Response(status_code=status, headers=fields)
    data = connection.send(response) or b''
    if body:
        data += connection.send(h11.Data(data=body)) or b''
    data += connection.send(h11.EndOfMessage()) or b''
    await stream.send_all(data)
