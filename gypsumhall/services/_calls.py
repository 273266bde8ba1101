"""Types, limits and header rules shared by sender and runner."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
import math
from typing import Protocol
from typing import TYPE_CHECKING

from gypsumhall._errors import GypsumhallError
from gypsumhall.core._ledger import RecordedResponse
from gypsumhall.net._messages import Outcome

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    import trio

    from gypsumhall.net._messages import Message

    SendMessage = Callable[[Message], Awaitable[None]]

Headers = tuple[tuple[bytes, bytes], ...]

MAX_HEADER_BYTES = 32 * 1024
# Limit of a configured `RequestLimits.max_header_bytes`. The head and a body
# of `CHUNK_BYTES` have to fit into one frame between daemons.
MAX_CONFIGURED_HEADER_BYTES = 64 * 1024
MAX_REQUEST_BODY_BYTES = 8 * 1024 * 1024
MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
# Larger responses are not recorded, so that one of them cannot evict the
# responses of many other calls from the ledger.
MAX_RECORDED_BODY_BYTES = 1024 * 1024
# Fraction of its time limit after which a call is slow. In a move, an
# idempotent request then gets a backup attempt, and its run counts as failed
# whether there was a backup or not.
SLOW_CALL_FRACTION = 0.5
# Time in seconds after its deadline in which a run may still end by itself.
# The backend server is told the deadline and reports its end with a response,
# which must not be replaced by one of a daemon.
DEADLINE_GRACE_S = 0.1
# By the users' rules, nobody need know of a graceful shutdown in its first 3
# s, and a request from that time may be cut off when the daemon ends. The
# remaining 0.1 s cover the transit time of the request and of SIGTERM.
SHUTDOWN_NOTICE_S = 2.9
# Limit of one daemon for the bodies of requests in memory, for those of its
# callers and again for those of other daemons. The same share of memory as
# `MAX_BUFFERED_RESPONSE_BYTES`.
MAX_BUFFERED_REQUEST_BYTES = 16 * 1024 * 1024
# Limit of one daemon for the responses of running calls in memory: recorded
# for repetition, buffered until they are complete, or withheld for a retry.
# An eighth of the memory of the smallest machines, 128 MB.
MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class Dialect:
    """HTTP headers and conventions of callers and backend servers.

    A header with an empty name is neither read nor sent.

    Parameters
    ----------
    deadline : bytes
        Milliseconds for which the client waits for the response.
    outcome : bytes
        Whether a rejected request was run.
    key : bytes
        Idempotency key.
    request_id : bytes
        Id that a backend server repeats in its response.
    caller_service : bytes
        Service on the VM that the request comes from.
    expected_instance : bytes
        Process of a backend server that the request is meant for.
    instance : bytes
        Process of a backend server that sent the response to a status check.
    server_load : bytes
        Load that a backend server states in responses and status checks.
    not_executed : bytes
        Marks responses of a backend server that did not run the request.
    warmup_remaining : bytes
        Milliseconds for which a backend server remains cold, in a response
        to a status check.
    tenant_key : bytes
        Key of the tenant, which is never forwarded.
    tenant : bytes
        Name of the tenant, sent to backend servers only.
    status_503_means_not_run : bool
        Whether status 503 means that a request was not run, so that a
        rejection with another outcome needs another status.
    buffer_responses : bool
        Whether a response is buffered until it is complete.
    literal_prefixes : bool
        Whether a path has to match the prefix of its route literally,
        including the trailing slash.
    """

    deadline: bytes = b'gypsumhall-deadline-ms'
    outcome: bytes = b'gypsumhall-outcome'
    key: bytes = b'idempotency-key'
    request_id: bytes = b''
    caller_service: bytes = b''
    expected_instance: bytes = b''
    instance: bytes = b''
    not_executed: bytes = b''
    warmup_remaining: bytes = b''
    tenant_key: bytes = b'gypsumhall-key'
    tenant: bytes = b'gypsumhall-tenant'
    server_load: bytes = b''
    status_503_means_not_run: bool = False
    buffer_responses: bool = False
    literal_prefixes: bool = False


DEFAULT_DIALECT = Dialect()

# Statuses that mean "not run" to callers if `status_503_means_not_run` is set.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])

_HOP_BY_HOP = frozenset(
    [
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ]
)
# The runner sets the length to that of the body which it received.
_DROPPED_REQUEST_HEADERS = frozenset([b'content-length', b'expect'])

_STATUS_BY_CODE = {
    'bad-request': 400,
    'key-empty': 401,
    'key-missing': 401,
    'key-removed': 401,
    'key-repeated': 401,
    'key-unknown': 401,
    'websocket': 403,
    'unknown-route': 404,
    'body-timeout': 408,
    'over-quota': 429,
    'request-too-large': 413,
    'key-mismatch': 422,
    'headers-too-large': 431,
    'backend-full': 502,
    'backend-reset': 502,
    'bad-response': 502,
    'peer-lost': 502,
    'response-dropped': 502,
    'stopped': 502,
    'deadline': 504,
    'http-version': 505,
}


class CallRefusedError(GypsumhallError):
    """A call that ended without a response.

    Parameters
    ----------
    outcome : Outcome
        Whether the request was run; ``not-run`` is certain.
    code : str
        Reason, for example ``overloaded``.
    detail : str
        Human-readable explanation.
    retry_after_s : float
        Time in seconds after which there is likely to be capacity; 0 when
        that is not known.
    """

    code = 'call-refused'

    def __init__(
        self,
        outcome: Outcome,
        code: str,
        detail: str,
        retry_after_s: float = 0.0,
    ) -> None:
        super().__init__(f'{code}: {detail} ({outcome.value})')
        self.outcome = outcome
        self.reason = code
        self.detail = detail
        self.retry_after_s = retry_after_s
        # Endpoints that were tried, with the failure of each.
        self.trail: tuple[str, ...] = ()

    @property
    def status(self) -> int:
        """HTTP status of the rejection."""
        return _STATUS_BY_CODE.get(self.reason, 503)

    @property
    def status_if_503_means_not_run(self) -> int:
        """HTTP status where 503 means that a request was not run."""
        if self.outcome == Outcome.NOT_RUN:
            return 503 if self.status >= 500 else self.status
        return 502 if self.status in (408, 503) else self.status


class BrokenResponseError(GypsumhallError):
    """A response was truncated after its head was forwarded."""

    code = 'broken-response'


def cancel_cause(error: trio.Cancelled) -> str:
    """Return the reason of a cancellation, or its source if none is given."""
    return error.reason or error.source


def not_run(code: str, detail: str) -> CallRefusedError:
    """Return the rejection of a request that certainly was not run."""
    return CallRefusedError(Outcome.NOT_RUN, code, detail)


def key_removed() -> CallRefusedError:
    """Return the rejection of a request that was withdrawn in time."""
    return not_run(KEY_REMOVED, 'the key has been removed')


@dataclass(slots=True, frozen=True)
class Request:
    """A caller's request.

    Parameters
    ----------
    service, route : str
        Service and ``<department>/<route>``.
    method, path : str
        Request line; the path includes the query.
    headers : tuple of (bytes, bytes)
        Headers without hop-by-hop headers.
    body : bytes
        Whole body.
    deadline : float
        Time in seconds, by `trio.current_time`, at which the caller stops
        waiting for the response.
    idempotent : bool
        Whether the request may be repeated.
    key : str
        Idempotency key; empty for none.
    objective : float
        Time of the latency objective, in seconds as for `deadline`; 0 for
        the deadline.
    priority : int
        Rank of the route, 0 for the most urgent.
    attempts : int
        Maximum number of endpoints that the request may reach; 0 for the
        default of the sender.
    is_caller_retry : bool
        Whether the caller retries after a rejection.
    limit_source : str
        Whether the ``caller`` or the ``route`` set the deadline.
    configuration : int
        Version of the configuration that the route belongs to.
    tenant : str
        Tenant that sent the request; empty for none.
    withdrawal : Withdrawal or None
        Withdraws the request; None if it has no key that can be removed.
    nested : bool
        Whether a backend server makes the request for one of its runs.
    """

    service: str
    route: str
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    idempotent: bool
    key: str = ''
    objective: float = 0.0
    priority: int = 0
    attempts: int = 0
    is_caller_retry: bool = False
    limit_source: str = ''
    configuration: int = 0
    tenant: str = ''
    withdrawal: Withdrawal | None = None
    nested: bool = False

    @property
    def withdrawn(self) -> bool:
        """Whether no further attempt may be made."""
        return self.withdrawal is not None and self.withdrawal.requested


BACKEND_FULL = 'backend-full'
"""Reason if a backend server without room ended a connection."""

KEY_REMOVED = 'key-removed'
"""Reason of the rejection of a request that has been withdrawn."""


class Withdrawal:
    """Withdraws a request whose key is removed while it waits.

    It ends unless a part of it has been sent to a backend server.
    """

    __slots__ = ('_callbacks', '_requested')

    def __init__(self) -> None:
        self._callbacks: list[Callable[[], None]] = []
        self._requested = False

    @property
    def requested(self) -> bool:
        """Whether the request has been withdrawn."""
        return self._requested

    def request(self) -> None:
        """Withdraw the request."""
        if not self._requested:
            self._requested = True
            for callback in tuple(self._callbacks):
                callback()

    @contextlib.contextmanager
    def notify(self, callback: Callable[[], None]) -> Iterator[None]:
        """Call back if the request is withdrawn within the block."""
        self._callbacks.append(callback)
        try:
            yield
        finally:
            self._callbacks.remove(callback)


class ResponseSink(Protocol):
    """Receives a response, for example to forward it to the caller."""

    async def head(self, status: int, headers: Headers) -> None:
        """Receive the status and the headers."""
        ...

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Receive a part of the body; empty only when it is the last."""
        ...


class ResponseBufferBudget:
    """Limits the bytes of responses that all calls of a daemon buffer.

    Parameters
    ----------
    limit : int, optional
        Maximum bytes; by default `MAX_BUFFERED_RESPONSE_BYTES`.
    """

    __slots__ = ('_limit', 'used')

    def __init__(self, limit: int | None = None) -> None:
        self._limit = MAX_BUFFERED_RESPONSE_BYTES if limit is None else limit
        self.used = 0

    def has_room(self, size: int) -> bool:
        """Return whether that many more bytes may be buffered."""
        return self.used + size <= self._limit

    def take(self, size: int) -> bool:
        """Reserve bytes; False if they would exceed the limit."""
        if not self.has_room(size):
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.used -= size


class Recorder:
    """Records a response, unless it becomes too large.

    Parameters
    ----------
    buffer_budget : ResponseBufferBudget, optional
        Memory limit that the body counts against until the recorder is
        freed; by default a separate one.
    """

    __slots__ = ('_body', '_buffer_budget', '_headers', '_status')

    def __init__(
        self, buffer_budget: ResponseBufferBudget | None = None
    ) -> None:
        self._status = 0
        self._headers: Headers = ()
        # Small chunks in a list would take many times their size.
        self._body: bytearray | None = bytearray()
        self._buffer_budget = buffer_budget or ResponseBufferBudget()

    def __del__(self) -> None:
        self._drop()

    @property
    def response(self) -> RecordedResponse | None:
        """Recorded response; None if it has not begun or was too large."""
        if self._body is None or not self._status:
            return None
        return RecordedResponse(self._status, self._headers, bytes(self._body))

    @property
    def size(self) -> int:
        """Bytes of the body that are recorded."""
        return len(self._body or b'')

    def head(self, status: int, headers: Headers) -> None:
        """Record the status and the headers."""
        self._status = status
        self._headers = headers

    def chunk(self, data: bytes) -> None:
        """Record a part of the body."""
        if self._body is None:
            return
        size = len(self._body) + len(data)
        if size <= MAX_RECORDED_BODY_BYTES and self._buffer_budget.take(
            len(data)
        ):
            self._body += data
        else:
            self._drop()

    def _drop(self) -> None:
        if self._body is not None:
            self._buffer_budget.release(len(self._body))
            self._body = None


def remaining_ms(deadline: float, now: float) -> int:
    """Return the time until a deadline in milliseconds, at least 0.

    It is rounded up: a run that ends before the caller's deadline loses a
    response that the caller is still waiting for.

    Parameters
    ----------
    deadline, now : float
        Times in seconds, by `trio.current_time`.
    """
    return max(0, math.ceil((deadline - now) * 1000))


def chunks(body: bytes) -> Iterator[bytes]:
    """Yield a body in parts of at most 64 KiB; at least one part."""
    for start in range(0, max(1, len(body)), CHUNK_BYTES):
        yield body[start : start + CHUNK_BYTES]


async def deliver(response: RecordedResponse, sink: ResponseSink) -> None:
    """Send a recorded response to a sink."""
    await sink.head(response.status, response.headers)
    sent = 0
    for part in chunks(response.body):
        sent += len(part)
        await sink.chunk(part, last=sent == len(response.body))


def request_headers(
    headers: Iterable[tuple[bytes, bytes]], dialect: Dialect = DEFAULT_DIALECT
) -> Headers:
    """Return the headers of a request that are forwarded.

    Those that the daemons set themselves are dropped.
    """
    internal = (
        dialect.deadline,
        dialect.caller_service,
        dialect.expected_instance,
        dialect.tenant_key,
        dialect.tenant,
    )
    return _end_to_end(headers, _DROPPED_REQUEST_HEADERS.union(internal))


def response_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers of a response that are forwarded."""
    return _end_to_end(headers, frozenset())


def _end_to_end(
    headers: Iterable[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> Headers:
    end_to_end = []
    connection_options: set[bytes] = set()
    for name, value in headers:
        lower = name.lower()
        if lower == b'connection':
            connection_options.update(
                item.strip() for item in value.lower().split(b',')
            )
        elif lower not in _HOP_BY_HOP and lower not in dropped:
            end_to_end.append((lower, value))
    if connection_options:
        return tuple(
            item for item in end_to_end if item[0] not in connection_options
        )
    return tuple(end_to_end)


def header_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the size of headers as sent in HTTP/1.1."""
    return sum(len(name) + len(value) + 4 for name, value in headers)
