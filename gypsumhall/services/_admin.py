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

import trio

from gypsumhall._errors import finding_fields
from gypsumhall.services import _http_server
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
# Limit on the buffered bodies of all requests in progress. `MAX_REQUESTS`
# bodies of full size would not fit into the memory of the smallest machines,
# 128 MB.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
BODY_TIMEOUT_S = 30.0
# Idle connections are closed after this time in seconds.
IDLE_TIMEOUT_S = 75.0
DRAIN_TIMEOUT_S = 5.0
MAX_EVENTS = 4096

_Receive = Callable[[], Awaitable[dict[str, Any]]]
_Send = Callable[[dict[str, Any]], Awaitable[None]]


@runtime_checkable
class EventLog(Protocol):
    """Part of the service ``events`` that ``/events`` uses."""

    def since(self, index: int) -> Sequence[Mapping[str, object]]:
        """Return the stored events with a greater ``index`` than `index`."""
        ...


@runtime_checkable
class MetricsPage(Protocol):
    """Part of the service ``metrics`` that ``/metrics`` uses."""

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
    """Return a response whose body is a problem document (RFC 9457).

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Stable identifier of the problem.
    detail : str
        Explanation for the operator.
    findings : iterable of Finding
        Errors found in a text, with their positions.
    **fields
        Additional members of the problem document.
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
    """A request that is rejected with a problem document."""

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
        self._bound_address = ''
        self._exact_routes: dict[str, dict[str, AdminHandler]] = {}
        self._prefix_routes: dict[str, dict[str, AdminHandler]] = {}
        self._active_requests = 0
        self._buffered_bytes = 0
        self._stop = trio.Event()
        self._ended = trio.Event()

    @property
    def bound_address(self) -> str:
        """Address of the listener, ``<host>:<port>``; empty before start."""
        return self._bound_address

    @property
    def stopping(self) -> trio.Event:
        """Event that is set when waiting handlers have to return."""
        return self._stop

    def add_route(self, method: str, path: str, handler: AdminHandler) -> None:
        """Register a handler for an exact path, or a prefix ending in /."""
        table = (
            self._prefix_routes if path.endswith('/') else self._exact_routes
        )
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
            body, content_type = page.render(request.headers.get('accept', ''))
            return AdminResponse(200, body, content_type)

        async def serve_events(request: AdminRequest) -> AdminResponse:
            since = query_number(request.query, 'since', 0, 0, 2**62)
            events = list(log.since(int(since)))[:MAX_EVENTS]
            return json_response({'events': events})

        self.add_route('GET', '/metrics', serve_metrics)
        self.add_route('GET', '/events', serve_events)
        settings = _http_server.HttpSettings(
            idle_timeout_s=IDLE_TIMEOUT_S, read_ahead=1
        )
        async with trio.open_nursery() as nursery:
            self._bound_address = await nursery.start(self._serve, settings)
            task_status.started()
        self._ended.set()

    async def _serve(
        self,
        settings: _http_server.HttpSettings,
        *,
        task_status: trio.TaskStatus[str],
    ) -> None:
        await _http_server.serve(
            self._application,
            settings,
            self._address,
            self._stop,
            task_status=task_status,
        )

    async def drain(self) -> None:
        """Stop listening and wait for the requests in progress."""
        self._stop.set()
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            await self._ended.wait()

    async def _application(
        self, scope: dict[str, Any], receive: _Receive, send: _Send
    ) -> None:
        self._active_requests += 1
        try:
            response = await self._respond(scope, receive)
        finally:
            self._active_requests -= 1
        headers = [
            (b'content-type', response.content_type.encode()),
            (b'content-length', str(len(response.body)).encode()),
            (b'cache-control', b'no-store'),
        ]
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append((b'retry-after', b'1'))
        if response.status == HTTPStatus.METHOD_NOT_ALLOWED:
            methods = ', '.join(sorted(self._handlers_of(scope['path'])))
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
        handlers = self._handlers_of(path)
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
        if self._active_requests > MAX_REQUESTS:
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
                self._buffered_bytes -= len(body)
        except RequestError as error:
            return error.response
        except Exception as error:
            # An error in one request must not end the listener.
            self._events.emit(
                'admin-request-failed', path=path, error=repr(error)
            )
            return problem(500, 'internal', 'the request failed; see events')

    async def _read_body(
        self, headers: Mapping[str, str], receive: _Receive, body: bytearray
    ) -> None:
        """Append the body of a request to `body`, even if it is rejected."""
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
                self._buffered_bytes += len(data)
                if len(body) > MAX_BODY_BYTES:
                    raise too_large
                if self._buffered_bytes > MAX_BUFFERED_BYTES:
                    raise RequestError(
                        503, 'busy', 'too many bodies are in progress'
                    )
                if not event.get('more_body', False):
                    return
        raise RequestError(
            408, 'slow-body', f'the body took over {BODY_TIMEOUT_S:g} s'
        )

    def _handlers_of(self, path: str) -> Mapping[str, AdminHandler]:
        handlers = self._exact_routes.get(path)
        if handlers is not None:
            return handlers
        prefixes = [
            item for item in self._prefix_routes if path.startswith(item)
        ]
        if not prefixes:
            return {}
        return self._prefix_routes[max(prefixes, key=len)]


def query_number(
    query: Mapping[str, str],
    name: str,
    default: float,
    minimum: float,
    maximum: float,
) -> float:
    """Return the number that a query parameter states.

    Raises
    ------
    RequestError
        If the value is not a number or is out of range.
    """
    text = query.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = float('nan')
    if not minimum <= value <= maximum:
        raise RequestError(
            400,
            'bad-query',
            f'{name}={text!r} has to be a number from {minimum:g} to '
            f'{maximum:g}',
        )
    return value
