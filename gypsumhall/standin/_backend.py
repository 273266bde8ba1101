"""Stand-in for a backend server, with faults."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
import json
from random import Random
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import httpcore
import hypercorn.config
import msgspec
import trio

from gypsumhall.services import _http_server

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

_ANNOUNCE_S = 1.0
_MAX_BODY = 64 * 1024 * 1024
_CHUNK = 64 * 1024


class Faults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Faults of a backend server; the defaults are none.

    Parameters
    ----------
    failure_rate : float
        Share of the requests that are answered with `failure_status`.
    failure_status : int
        HTTP status of failures; 503 comes with ``Retry-After``.
    delay_ms : float
        Additional service time in milliseconds.
    crash_rate : float
        Share of the requests whose connection ends before the response.
    break_rate : float
        Share of the requests whose response ends early.
    path : str
        Path prefix of the requests that the faults above apply to.
    after_s : float
        Seconds after the start from which they apply.
    above : int
        Requests in flight above which they apply.
    load_factor : float
        Factor by which ``GET /load`` misstates the load.
    run_twice : bool
        Whether each request is counted as two runs, to test the tools that
        look for these.
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
        What it pretends to run.
    address : str
        ``<ip>:<port>`` to listen on; port 0 for any.
    announce : str
        ``<ip>:<port>`` of the administration listener of the daemon on
        the VM; empty for none.
    slots : int
        Requests that are executed at the same time.
    service_time_ms : float
        Mean service time in milliseconds.
    cold_start_s : float
        Seconds after the start in which the state is ``starting`` and
        requests take ten times as long.
    seed : int
        Seed of the service times and faults.
    run_log : str
        File to which the id of each request is appended when it is run, so
        that the runs of a killed server are still known; empty for none.
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
    """Executes requests in slots and counts the runs of each.

    ``GET /runs`` returns the runs by the request header ``X-Request``,
    ``POST /faults`` sets the faults, ``GET /load`` returns the load.

    Parameters
    ----------
    settings : BackendSettings
        Settings.
    faults : Faults
        Faults at the start.
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
        self._stop = trio.Event()
        self._draining = False
        self._address = ''
        self._started = 0.0
        self._slots: trio.CapacityLimiter

    @property
    def address(self) -> str:
        """Bound address; empty before the start."""
        return self._address

    @property
    def runs(self) -> Counter[str]:
        """Runs by request id."""
        return self._runs

    @property
    def cancelled(self) -> int:
        """Runs whose caller closed the connection."""
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
        """Serve until `stop`; `task_status` gets the bound address."""
        self._slots = trio.CapacityLimiter(self._settings.slots)
        self._started = trio.current_time()
        config = hypercorn.config.Config()
        config.backlog = 1024
        config.keep_alive_timeout = 60.0
        config.keep_alive_max_requests = 1_000_000
        config.include_server_header = False
        config.errorlog = None
        async with trio.open_nursery() as nursery:

            async def serve(task_status: trio.TaskStatus[str]) -> None:
                await _http_server.serve(
                    self._application,
                    config,
                    self._settings.address,
                    self._stop,
                    task_status=task_status,
                )
                nursery.cancel_scope.cancel()

            self._address = await nursery.start(serve)
            task_status.started(self._address)
            if self._settings.announce:
                nursery.start_soon(self._announce_regularly)

    async def stop(self) -> None:
        """Announce that the server drains, finish the work and end."""
        self._draining = True
        if self._settings.announce:
            await self.announce()
        while self._in_flight:
            self._idle = trio.Event()
            await self._idle.wait()
        self._stop.set()

    async def announce(self) -> None:
        """Announce the server to the daemon once; errors are ignored."""
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
            with trio.move_on_after(_ANNOUNCE_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    await pool.request(
                        'POST',
                        f'http://{self._settings.announce}/v1/announce',
                        headers={'Content-Type': 'application/json'},
                        content=body,
                    )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            # The daemon may be restarting; the next announcement follows.
            return

    async def _announce_regularly(self) -> None:
        while True:
            await self.announce()
            await trio.sleep(_ANNOUNCE_S if not self._cold() else 0.1)

    def _cold(self) -> bool:
        age = trio.current_time() - self._started
        return age < self._settings.cold_start_s

    def _state(self) -> str:
        if self._draining:
            return 'draining'
        return 'starting' if self._cold() else 'ready'

    async def _application(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        if scope['type'] != 'http':
            await send({'type': 'websocket.close', 'code': 1003})
            return
        route = (scope['method'], scope['path'])
        if route == ('GET', '/runs'):
            await _send_json(send, 200, self._runs)
        elif route == ('GET', '/load'):
            load = self._in_flight * self._faults.load_factor
            await _send_json(send, 200, {'in_flight': load})
        elif route == ('POST', '/faults'):
            await self._set_faults(receive, send)
        else:
            await self._execute(scope, receive, send)

    async def _set_faults(self, receive: Receive, send: Send) -> None:
        body = await _read_body(receive)
        try:
            self._faults = msgspec.json.decode(body, type=Faults)
        except msgspec.DecodeError as error:
            await _send_json(send, 400, {'detail': str(error)})
            return
        await _send_json(send, 200, msgspec.to_builtins(self._faults))

    async def _execute(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        fields = dict(scope['headers'])
        request_id = fields.get(b'x-request', b'').decode('latin-1')
        deadline = fields.get(b'gypsumhall-deadline-ms')
        if deadline is not None and int(deadline) <= 0:
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
                nursery.start_soon(_watch, receive, nursery.cancel_scope)
                await self._run(scope, request_id, body, send)
                finished = True
                nursery.cancel_scope.cancel()
        finally:
            self._cancelled += not finished
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _run(
        self,
        scope: dict[str, Any],
        request_id: str,
        body: bytes,
        send: Send,
    ) -> None:
        faults = self._faults
        faulty = (
            scope['path'].startswith(faults.path)
            and trio.current_time() - self._started >= faults.after_s
            and self._in_flight > faults.above
        )
        async with self._slots:
            self._runs[request_id] += 1 + faults.run_twice
            if self._settings.run_log:
                # Closed at once, so that a killed server loses no entry.
                path = self._settings.run_log
                with open(path, 'a') as file:  # noqa: ASYNC230
                    file.write(f'{request_id}\n')
            # A gamma distribution with a coefficient of variation of 0.5.
            time_ms = self._rng.gammavariate(4.0, 0.25)
            time_ms *= self._settings.service_time_ms
            if self._cold():
                time_ms *= 10
            if faulty:
                time_ms += faults.delay_ms
            await trio.sleep(time_ms / 1000)
        draw = self._rng.random()
        if faulty and draw < faults.crash_rate:
            await scope['state']['reset']()
            return
        if faulty and self._rng.random() < faults.failure_rate:
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
        broken = faulty and self._rng.random() < faults.break_rate
        await _send(send, 200, content, request_id, broken=broken)


async def _watch(receive: Receive, scope: trio.CancelScope) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    more = True
    while more and len(body) <= _MAX_BODY:
        message = await receive()
        if message['type'] == 'http.disconnect':
            break
        body += message['body']
        more = message['more_body']
    return bytes(body)


async def _send(
    send: Send, status: int, content: bytes, request_id: str, *, broken: bool
) -> None:
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', b'%d' % len(content)),
        (b'x-request', request_id.encode('latin-1')),
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    end = len(content) // 2 if broken else len(content)
    for start in range(0, end, _CHUNK):
        part = content[start : min(end, start + _CHUNK)]
        await send(
            {'type': 'http.response.body', 'body': part, 'more_body': True}
        )
    if not broken:
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
