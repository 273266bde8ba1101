"""The service ``admin``: HTTP listener for operators, metrics and events."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from http import HTTPStatus
import json
from typing import Any
from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

from hypercorn.config import Config
from hypercorn.trio import serve
import trio

from gypsumhall._errors import finding_fields
from gypsumhall._errors import translate_listen_errors
from gypsumhall.services._protocols import AdminRequest
from gypsumhall.services._protocols import AdminResponse
from gypsumhall.services._protocols import Events

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from gypsumhall._errors import Finding
    from gypsumhall.kernel import Kernel
    from gypsumhall.services._protocols import AdminHandler

MAX_BODY_BYTES = 1024 * 1024
MAX_REQUESTS = 256
# Bytes of bodies that all requests in progress hold; `MAX_REQUESTS` bodies of
# full size would not fit into the memory of the smallest machines, 128 MB.
MAX_BODIES_BYTES = 16 * 1024 * 1024
BODY_TIMEOUT_S = 30.0
# Ends connections that go silent; longer than the longest wait of a request.
READ_TIMEOUT_S = 75
DRAIN_TIMEOUT_S = 5.0
MAX_EVENTS = 4096

_Receive = Callable[[], Awaitable[dict[str, Any]]]
_Send = Callable[[dict[str, Any]], Awaitable[None]]


@runtime_checkable
class EventLog(Protocol):
    """What ``/events`` needs of the service ``events``."""

    def since(self, index: int) -> Sequence[Mapping[str, object]]:
        """Return the kept events with an ``index`` of at least `index`."""
        ...


@runtime_checkable
class MetricsPage(Protocol):
    """What ``/metrics`` needs of the service ``metrics``."""

    def render(self, accept: str) -> tuple[bytes, str]:
        """Return the page and its content type for an Accept header."""
        ...


def json_response(value: object, status: int = 200) -> AdminResponse:
    """Return a response with a JSON body."""
    return AdminResponse(status, json.dumps(value).encode())


def problem(
    status: int,
    code: str,
    detail: str,
    findings: Iterable[Finding] = (),
    **fields: object,
) -> AdminResponse:
    """Return a problem body as of RFC 9457.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Stable identifier of the problem.
    detail : str
        What went wrong, for people.
    findings : iterable of Finding
        Faults with their places.
    **fields
        Further members of the body.
    """
    body = {
        'type': 'about:blank',
        'title': HTTPStatus(status).phrase,
        'status': status,
        'code': code,
        'detail': detail,
        'findings': [finding_fields(item) for item in findings],
        **fields,
    }
    return AdminResponse(
        status, json.dumps(body).encode(), 'application/problem+json'
    )


class RequestError(Exception):
    """A request that is answered with a problem."""

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(detail)
        self.response = problem(status, code, detail)


class AdminService:
    """Serves registered routes, ``/metrics`` and ``/events``.

    Parameters
    ----------
    address : str
        ``<host>:<port>`` to listen on; port 0 for any free one.
    """

    name = 'admin'
    requires: tuple[str, ...] = ('events', 'metrics')

    def __init__(self, address: str) -> None:
        self._address = address
        self._bound = ''
        self._exact: dict[str, dict[str, AdminHandler]] = {}
        self._prefixes: dict[str, dict[str, AdminHandler]] = {}
        self._active = 0
        self._buffered = 0
        self._stop = trio.Event()
        self._ended = trio.Event()

    @property
    def bound_address(self) -> str:
        """Address of the listener, ``<host>:<port>``; empty before."""
        return self._bound

    @property
    def stopping(self) -> trio.Event:
        """Set when handlers that wait have to return."""
        return self._stop

    def add_route(self, method: str, path: str, handler: AdminHandler) -> None:
        """Register a handler for an exact path, or a prefix ending in /."""
        table = self._prefixes if path.endswith('/') else self._exact
        table.setdefault(path, {})[method] = handler

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until drained or cancelled."""
        self._events = kernel.get('events', Events)
        log = kernel.get('events', EventLog)
        page = kernel.get('metrics', MetricsPage)

        async def serve_metrics(request: AdminRequest) -> AdminResponse:
            body, kind = page.render(request.headers.get('accept', ''))
            return AdminResponse(200, body, kind)

        async def serve_events(request: AdminRequest) -> AdminResponse:
            since = number_of(request.query, 'since', 0, 0, 2**62)
            events = list(log.since(int(since)))[:MAX_EVENTS]
            return json_response({'events': events})

        self.add_route('GET', '/metrics', serve_metrics)
        self.add_route('GET', '/events', serve_events)
        config = Config()
        config.bind = [self._address]
        config.accesslog = None
        config.errorlog = None
        config.include_server_header = False
        config.read_timeout = READ_TIMEOUT_S
        async with trio.open_nursery() as nursery:
            with translate_listen_errors(self._address):
                bound_address = await nursery.start(self._serve, config)
            self._bound = bound_address[0].partition('://')[2]
            task_status.started()
        self._ended.set()

    async def _serve(
        self,
        config: Config,
        *,
        task_status: trio.TaskStatus[list[str]],
    ) -> None:
        await serve(
            self._application,  # type: ignore[arg-type]
            config,
            mode='asgi',
            shutdown_trigger=self._stop.wait,
            task_status=task_status,
        )

    async def drain(self) -> None:
        """Stop listening and wait for the requests in progress."""
        self._stop.set()
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            await self._ended.wait()

    # ASGI

    async def _application(
        self, scope: dict[str, Any], receive: _Receive, send: _Send
    ) -> None:
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self._serve_request(scope, receive, send)
        else:
            await send({'type': 'websocket.close'})

    async def _serve_request(
        self, scope: dict[str, Any], receive: _Receive, send: _Send
    ) -> None:
        self._active += 1
        try:
            response = await self._respond(scope, receive)
        finally:
            self._active -= 1
        headers = [
            (b'content-type', response.content_type.encode()),
            (b'content-length', str(len(response.body)).encode()),
            (b'cache-control', b'no-store'),
        ]
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append((b'retry-after', b'1'))
        if response.status == HTTPStatus.METHOD_NOT_ALLOWED:
            methods = ', '.join(sorted(self._methods(scope['path'])))
            headers.append((b'allow', methods.encode()))
        await send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': response.body})

    async def _respond(
        self, scope: dict[str, Any], receive: _Receive
    ) -> AdminResponse:
        path, method = scope['path'], scope['method']
        handlers = self._methods(path)
        handler = handlers.get(method)
        if handler is None:
            if handlers:
                return problem(
                    405,
                    'method-not-allowed',
                    f'{method} is not allowed here; allowed: '
                    f'{", ".join(sorted(handlers))}',
                )
            return problem(404, 'no-such-path', f'nothing is at {path}')
        if self._active > MAX_REQUESTS:
            return problem(
                503, 'busy', f'{MAX_REQUESTS} requests are in progress'
            )
        headers = {
            name.decode('latin-1').lower(): value.decode('latin-1')
            for name, value in scope['headers']
        }
        query: dict[str, str] = {}
        for name, value in parse_qsl(
            scope['query_string'].decode('latin-1'), keep_blank_values=True
        ):
            query.setdefault(name, value)
        try:
            body = bytearray()
            try:
                await self._read_body(headers, receive, body)
                return await handler(
                    AdminRequest(method, path, query, headers, bytes(body))
                )
            finally:
                self._buffered -= len(body)
        except RequestError as error:
            return error.response
        except Exception as error:
            # One faulty request must not end the listener.
            self._events.emit(
                'admin-request-failed', path=path, error=repr(error)
            )
            return problem(500, 'internal', 'the request failed; see events')

    async def _read_body(
        self, headers: Mapping[str, str], receive: _Receive, body: bytearray
    ) -> None:
        """Append the body of a request, also when it is refused later."""
        too_large = RequestError(
            413, 'too-large', f'a body has at most {MAX_BODY_BYTES} bytes'
        )
        length = headers.get('content-length', '0')
        if not length.isdecimal() or int(length) > MAX_BODY_BYTES:
            raise too_large
        with trio.move_on_after(BODY_TIMEOUT_S):
            while True:
                event = await receive()
                if event['type'] == 'http.disconnect':
                    raise RequestError(400, 'incomplete', 'the body broke off')
                data = event.get('body', b'')
                body += data
                self._buffered += len(data)
                if len(body) > MAX_BODY_BYTES:
                    raise too_large
                if self._buffered > MAX_BODIES_BYTES:
                    raise RequestError(
                        503, 'busy', 'too many bodies are in progress'
                    )
                if not event.get('more_body', False):
                    return
        raise RequestError(
            408, 'slow-body', f'the body took over {BODY_TIMEOUT_S:g} s'
        )

    def _methods(self, path: str) -> Mapping[str, AdminHandler]:
        found = self._exact.get(path)
        if found is not None:
            return found
        prefixes = [item for item in self._prefixes if path.startswith(item)]
        if not prefixes:
            return {}
        return self._prefixes[max(prefixes, key=len)]


def number_of(
    query: Mapping[str, str],
    name: str,
    default: float,
    lowest: float,
    highest: float,
) -> float:
    """Return a number from a query.

    Raises
    ------
    RequestError
        When it is no number or out of range.
    """
    text = query.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = float('nan')
    if not lowest <= value <= highest:
        raise RequestError(
            400,
            'bad-query',
            f'{name}={text!r} has to be a number from {lowest:g} to '
            f'{highest:g}',
        )
    return value


async def _serve_lifespan(receive: _Receive, send: _Send) -> None:
    while True:
        event = await receive()
        await send({'type': event['type'] + '.complete'})
        if event['type'] == 'lifespan.shutdown':
            return
