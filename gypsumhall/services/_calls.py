"""Values and rules that the sender and the runner of a call share."""

from __future__ import annotations

from dataclasses import dataclass
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

    from gypsumhall.net._messages import Message

    SendMessage = Callable[[Message], Awaitable[None]]

Headers = tuple[tuple[bytes, bytes], ...]

MAX_HEADER_BYTES = 32 * 1024
MAX_REQUEST_BODY_BYTES = 8 * 1024 * 1024
MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
# Larger responses are not kept for repetition, so that one of them cannot
# push the responses of many other calls out of the ledger.
MAX_RECORDED_BODY = 1024 * 1024
# Part of its time after which a call takes too long. In a move, an idempotent
# request then gets a second attempt, and its run counts as failed in any case.
SLOW_CALL_FRACTION = 0.5
# Bytes of responses that one daemon keeps while their calls run: recorded for
# repetition, held back until they are whole, or withheld for a retry. An
# eighth of the memory of the smallest machines, 128 MB.
MAX_HELD_RESPONSES = 16 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class Dialect:
    """Names of the HTTP headers that callers and backend servers use.

    The defaults are the product's own. A header with an empty name is
    neither read nor sent.

    Parameters
    ----------
    deadline : bytes
        Milliseconds that the sender of a request waits.
    outcome : bytes
        Whether a refused request was run.
    key : bytes
        Idempotency key.
    request_id : bytes
        Id that a backend server repeats in its response.
    caller_service : bytes
        Service on the VM where a request began.
    expected_instance : bytes
        Process of a backend server that a request is meant for.
    not_executed : bytes
        Marks responses of a backend server that did not run the request.
    status_503_means_not_run : bool
        Whether status 503 promises that a request was not run, so that a
        refusal with another outcome needs another status.
    buffer_responses : bool
        Whether a response is held back until it is complete.
    literal_prefixes : bool
        Whether a route's prefix has to match with its closing slash.
    """

    deadline: bytes = b'gypsumhall-deadline-ms'
    outcome: bytes = b'gypsumhall-outcome'
    key: bytes = b'idempotency-key'
    request_id: bytes = b''
    caller_service: bytes = b''
    expected_instance: bytes = b''
    not_executed: bytes = b''
    status_503_means_not_run: bool = False
    buffer_responses: bool = False
    literal_prefixes: bool = False


DEFAULT_DIALECT = Dialect()

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
# The runner sets the length from the body that it received.
_REQUEST_ONLY = frozenset([b'content-length', b'expect'])

_STATUS = {
    'bad-request': 400,
    'unknown-route': 404,
    'body-timeout': 408,
    'request-too-large': 413,
    'key-mismatch': 422,
    'headers-too-large': 431,
    'backend-reset': 502,
    'bad-response': 502,
    'peer-lost': 502,
    'response-dropped': 502,
    'stopped': 502,
    'deadline': 504,
    'http-version': 505,
}


class CallRefusedError(GypsumhallError):
    """A call without a response.

    Parameters
    ----------
    outcome : Outcome
        Whether the request was run; ``not-run`` is certain.
    code : str
        Reason, for example ``overloaded``.
    detail : str
        Explanation for people.
    retry_after_s : float
        Time in seconds after which there is likely to be room; 0 when that
        is not known.
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
        # Endpoints that were asked, with what each of them said.
        self.trail: tuple[str, ...] = ()

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return _STATUS.get(self.reason, 503)

    @property
    def status_if_503_means_not_run(self) -> int:
        """HTTP status where 503 promises that a request was not run."""
        if self.outcome == Outcome.NOT_RUN:
            return 503 if self.status >= 500 else self.status
        return 502 if self.status in (408, 503) else self.status


class BrokenResponseError(GypsumhallError):
    """A response ended early after its head was passed on."""

    code = 'broken-response'


def not_run(code: str, detail: str) -> CallRefusedError:
    """Return the refusal of a request that certainly was not run."""
    return CallRefusedError(Outcome.NOT_RUN, code, detail)


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
        Time in seconds, by `trio.current_time`, at which nobody waits for
        the response any more.
    idempotent : bool
        Whether the request may be repeated.
    key : str
        Idempotency key; empty for none.
    objective : float
        Time until which a response is worth most; 0 for the deadline.
    priority : int
        Rank of the route, 0 for the most urgent.
    attempts : int
        Most endpoints that the request may reach; 0 for no own limit.
    returning : bool
        Whether the caller was refused before.
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


class ResponseSink(Protocol):
    """Receives a response, for example to pass it on to the caller."""

    async def head(self, status: int, headers: Headers) -> None:
        """Take the status and the headers."""
        ...

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Take a part of the body; empty only when it is the last."""
        ...


class ResponseBufferBudget:
    """Counts the bytes of responses that all calls of a daemon keep.

    Parameters
    ----------
    limit : int, optional
        Most bytes; by default `MAX_HELD_RESPONSES`.
    """

    __slots__ = ('_limit', 'used')

    def __init__(self, limit: int | None = None) -> None:
        self._limit = MAX_HELD_RESPONSES if limit is None else limit
        self.used = 0

    def has_room(self, size: int) -> bool:
        """Return whether that many bytes may be kept in addition."""
        return self.used + size <= self._limit

    def take(self, size: int) -> bool:
        """Count bytes that are kept; False if there is no room for them."""
        if not self.has_room(size):
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Count bytes that are kept no more."""
        self.used -= size


class Recorder:
    """Keeps a response for repetition, unless it becomes too large.

    Parameters
    ----------
    held : ResponseBufferBudget, optional
        Room for the body, which is given back when the recorder is freed;
        by default that of the recorder alone.
    """

    __slots__ = ('_body', '_headers', '_buffer_budget', '_status')

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
        """The response; None when it was too large."""
        if self._body is None or not self._status:
            return None
        return RecordedResponse(self._status, self._headers, bytes(self._body))

    @property
    def size(self) -> int:
        """Bytes of the body that are kept."""
        return len(self._body or b'')

    def head(self, status: int, headers: Headers) -> None:
        """Take the status and the headers."""
        self._status = status
        self._headers = headers

    def chunk(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._body is None:
            return
        size = len(self._body) + len(data)
        if size <= MAX_RECORDED_BODY and self._buffer_budget.take(len(data)):
            self._body += data
        else:
            self._drop()

    def _drop(self) -> None:
        if self._body is not None:
            self._buffer_budget.release(len(self._body))
            self._body = None


def chunks(body: bytes) -> Iterator[bytes]:
    """Yield a body in parts of at most 64 KiB; at least one part."""
    for start in range(0, max(1, len(body)), CHUNK_BYTES):
        yield body[start : start + CHUNK_BYTES]


async def deliver(response: RecordedResponse, sink: ResponseSink) -> None:
    """Send a whole response to a sink."""
    await sink.head(response.status, response.headers)
    sent = 0
    for part in chunks(response.body):
        sent += len(part)
        await sink.chunk(part, last=sent == len(response.body))


def request_headers(
    headers: Iterable[tuple[bytes, bytes]], dialect: Dialect = DEFAULT_DIALECT
) -> Headers:
    """Return the headers of a request that are passed on.

    Those that the system sets itself are left out.
    """
    own = (dialect.deadline, dialect.caller_service, dialect.expected_instance)
    return _end_to_end(headers, _REQUEST_ONLY.union(own))


def response_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers of a response that are passed on."""
    return _end_to_end(headers, frozenset())


def _end_to_end(
    headers: Iterable[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> Headers:
    kept = []
    named: set[bytes] = set()
    for name, value in headers:
        lower = name.lower()
        if lower == b'connection':
            named.update(item.strip() for item in value.lower().split(b','))
        elif lower not in _HOP_BY_HOP and lower not in dropped:
            kept.append((lower, value))
    if named:
        return tuple(item for item in kept if item[0] not in named)
    return tuple(kept)


def header_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the size of headers as sent in HTTP/1.1."""
    return sum(len(name) + len(value) + 4 for name, value in headers)
