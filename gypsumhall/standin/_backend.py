"""Stand-in for a backend server, with fault injection."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
import json
from random import Random
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import httpcore
import msgspec
import trio

from gypsumhall.services import _http_server

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

# Also the timeout of one announcement.
_ANNOUNCE_INTERVAL_S = 1.0
_MAX_BODY_BYTES = 64 * 1024 * 1024
_CHUNK_BYTES = 64 * 1024


class Faults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Faults that a backend server injects; by default none.

    Parameters
    ----------
    failure_rate : float
        Fraction of the requests whose response has `failure_status`.
    failure_status : int
        HTTP status of failures; a 503 response has ``Retry-After``.
    delay_ms : float
        Additional service time in milliseconds.
    crash_rate : float
        Fraction of the requests whose connection is reset before the
        response.
    break_rate : float
        Fraction of the requests whose response body is truncated.
    path : str
        Path prefix of the requests that the faults above apply to.
    after_s : float
        Seconds after the start of the server from which these faults apply.
    above : int
        Number of requests in flight above which these faults apply.
    load_factor : float
        Factor by which the load that ``GET /load`` returns is multiplied.
    run_twice : bool
        Whether each request is counted as two runs, to test the tools that
        detect duplicate runs.
    """

    failure_rate: float = 0.0
    failure_status: int = 500
    delay_ms: float = 0.0
    crash_rate: float = 0.0
    break_rate: float = 0.0
    path: str = ''
    after_s: float = 0.0
    above: int = 0
    load_factor: float = 1.0
    run_twice: bool = False


@dataclass(slots=True, frozen=True)
class BackendSettings:
    """Settings of a stand-in backend server.

    Parameters
    ----------
    service, version : str
        Service and version to announce.
    address : str
        ``<ip>:<port>`` to listen on; port 0 for any.
    announce : str
        ``<ip>:<port>`` of the administration listener of the daemon on
        the VM; empty for none.
    slots : int
        Maximum number of requests that run at the same time.
    service_time_ms : float
        Mean service time in milliseconds.
    cold_start_s : float
        Seconds after the start during which the state is ``starting`` and
        requests take ten times as long.
    seed : int
        Seed of the service times and faults.
    run_log : str
        File to which the id of each request is appended when it is run, so
        that the runs of a killed server are recorded; empty for none.
    """

    service: str
    version: str
    address: str = '127.0.0.1:0'
    announce: str = ''
    slots: int = 6
    service_time_ms: float = 5.0
    cold_start_s: float = 0.0
    seed: int = 0
    run_log: str = ''


class BackendServer:
    """Runs requests in a limited number of slots and counts the runs.

    ``GET /runs`` returns the number of runs by request id, the value of the
    request header ``X-Request``; ``POST /faults`` sets the faults and
    ``GET /load`` returns the number of requests in flight.

    Parameters
    ----------
    settings : BackendSettings
        Settings of the server.
    faults : Faults, optional
        Initial faults; by default none.
    """

    def __init__(
        self, settings: BackendSettings, faults: Faults | None = None
    ) -> None:
        self._settings = settings
        self._faults = faults or Faults()
        self._rng = Random(settings.seed)
        self._runs: Counter[str] = Counter()
        self._cancelled = 0
        self._in_flight = 0
        self._idle = trio.Event()
        self._shutdown = trio.Event()
        self._draining = False
        self._address = ''
        self._started_at = 0.0
        self._slots: trio.CapacityLimiter

    @property
    def address(self) -> str:
        """Bound address; empty before the start."""
        return self._address

    @property
    def runs(self) -> Counter[str]:
        """Number of runs by request id."""
        return self._runs

    @property
    def cancelled(self) -> int:
        """Number of requests cancelled before their response ended."""
        return self._cancelled

    @property
    def faults(self) -> Faults:
        """Faults in effect."""
        return self._faults

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self._faults = faults

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stop`; `task_status` receives the bound address."""
        self._slots = trio.CapacityLimiter(self._settings.slots)
        self._started_at = trio.current_time()
        settings = _http_server.HttpSettings(read_ahead=1)
        async with trio.open_nursery() as nursery:

            async def serve(task_status: trio.TaskStatus[str]) -> None:
                await _http_server.serve(
                    self._application,
                    settings,
                    self._settings.address,
                    self._shutdown,
                    task_status=task_status,
                )
                nursery.cancel_scope.cancel()

            self._address = await nursery.start(serve)
            task_status.started(self._address)
            if self._settings.announce:
                nursery.start_soon(self._announce_periodically)

    async def stop(self) -> None:
        """Announce ``draining``, finish requests in flight and stop."""
        self._draining = True
        if self._settings.announce:
            await self.announce()
        while self._in_flight:
            self._idle = trio.Event()
            await self._idle.wait()
        self._shutdown.set()

    async def announce(self) -> None:
        """Announce the server to the daemon once; ignore network errors."""
        body = json.dumps(
            {
                'service': self._settings.service,
                'version': self._settings.version,
                'address': self._address,
                'slots': self._settings.slots,
                'state': self._state(),
            }
        ).encode()
        try:
            with trio.move_on_after(_ANNOUNCE_INTERVAL_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    await pool.request(
                        'POST',
                        f'http://{self._settings.announce}/v1/announce',
                        headers={'Content-Type': 'application/json'},
                        content=body,
                    )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            # The daemon may be restarting; the next announcement retries.
            return

    async def _announce_periodically(self) -> None:
        while True:
            await self.announce()
            # A short interval announces the end of a cold start promptly.
            await trio.sleep(
                _ANNOUNCE_INTERVAL_S if not self._in_cold_start() else 0.1
            )

    def _in_cold_start(self) -> bool:
        age = trio.current_time() - self._started_at
        return age < self._settings.cold_start_s

    def _state(self) -> str:
        if self._draining:
            return 'draining'
        return 'starting' if self._in_cold_start() else 'ready'

    async def _application(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        route = (scope['method'], scope['path'])
        if route == ('GET', '/runs'):
            await _send_json(send, 200, self._runs)
        elif route == ('GET', '/load'):
            load = self._in_flight * self._faults.load_factor
            await _send_json(send, 200, {'in_flight': load})
        elif route == ('POST', '/faults'):
            await self._set_faults(receive, send)
        else:
            await self._handle_request(scope, receive, send)

    async def _set_faults(self, receive: Receive, send: Send) -> None:
        body = await _read_body(receive)
        try:
            self._faults = msgspec.json.decode(body, type=Faults)
        except msgspec.DecodeError as error:
            await _send_json(send, 400, {'detail': str(error)})
            return
        await _send_json(send, 200, msgspec.to_builtins(self._faults))

    async def _handle_request(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        headers = dict(scope['headers'])
        request_id = headers.get(b'x-request', b'').decode('latin-1')
        deadline_ms = headers.get(b'gypsumhall-deadline-ms')
        if deadline_ms is not None and int(deadline_ms) <= 0:
            await _send_json(send, 504, {'detail': 'deadline passed'})
            return
        if self._slots.statistics().tasks_waiting >= 2 * self._settings.slots:
            await _send_json(
                send,
                503,
                {'detail': 'overloaded'},
                [(b'retry-after', b'1')],
            )
            return
        self._in_flight += 1
        finished = False
        try:
            body = await _read_body(receive)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    _cancel_on_disconnect, receive, nursery.cancel_scope
                )
                await self._run_request(scope, request_id, body, send)
                finished = True
                nursery.cancel_scope.cancel()
        finally:
            self._cancelled += not finished
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _run_request(
        self,
        scope: dict[str, Any],
        request_id: str,
        body: bytes,
        send: Send,
    ) -> None:
        faults = self._faults
        faults_apply = (
            scope['path'].startswith(faults.path)
            and trio.current_time() - self._started_at >= faults.after_s
            and self._in_flight > faults.above
        )
        async with self._slots:
            self._runs[request_id] += 1 + faults.run_twice
            if self._settings.run_log:
                # Closing flushes the entry, so that a kill does not lose it.
                path = self._settings.run_log
                with open(path, 'a') as file:  # noqa: ASYNC230
                    file.write(f'{request_id}\n')
            # A gamma distribution with a coefficient of variation of 0.5.
            time_ms = self._rng.gammavariate(4.0, 0.25)
            time_ms *= self._settings.service_time_ms
            if self._in_cold_start():
                time_ms *= 10
            if faults_apply:
                time_ms += faults.delay_ms
            await trio.sleep(time_ms / 1000)
        crash_draw = self._rng.random()
        if faults_apply and crash_draw < faults.crash_rate:
            await scope['state']['reset']()
            return
        if faults_apply and self._rng.random() < faults.failure_rate:
            headers = []
            if faults.failure_status == 503:
                headers.append((b'retry-after', b'1'))
            await _send_json(
                send, faults.failure_status, {'detail': 'fault'}, headers
            )
            return
        query = parse_qs(scope['query_string'].decode('latin-1'))
        size = int(query.get('size', ['0'])[0])
        content = json.dumps(
            {
                'id': request_id,
                'version': self._settings.version,
                'path': scope['path'],
                'received': len(body),
            }
        ).encode()
        content += b' ' * max(0, size - len(content))
        truncate = faults_apply and self._rng.random() < faults.break_rate
        await _send(send, 200, content, request_id, truncate=truncate)


async def _cancel_on_disconnect(
    receive: Receive, scope: trio.CancelScope
) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    more = True
    while more and len(body) <= _MAX_BODY_BYTES:
        message = await receive()
        if message['type'] == 'http.disconnect':
            break
        body += message['body']
        more = message['more_body']
    return bytes(body)


async def _send(
    send: Send, status: int, content: bytes, request_id: str, *, truncate: bool
) -> None:
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', b'%d' % len(content)),
        (b'x-request', request_id.encode('latin-1')),
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    end = len(content) // 2 if truncate else len(content)
    for start in range(0, end, _CHUNK_BYTES):
        part = content[start : min(end, start + _CHUNK_BYTES)]
        await send(
            {'type': 'http.response.body', 'body': part, 'more_body': True}
        )
    if not truncate:
        await send({'type': 'http.response.body', 'body': b''})


async def _send_json(
    send: Send,
    status: int,
    value: object,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    content = json.dumps(value).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (b'content-type', b'application/json'),
                (b'content-length', b'%d' % len(content)),
                *(headers or []),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': content})
