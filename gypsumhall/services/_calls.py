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
MAX_REQUEST_BODY = 8 * 1024 * 1024
MAX_RESPONSE_BODY = 64 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
# Larger responses are not kept for repetition, so that one of them cannot
# push the responses of many other calls out of the ledger.
MAX_RECORDED_BODY = 1024 * 1024

OUTCOME_HEADER = b'gypsumhall-outcome'
DEADLINE_HEADER = b'gypsumhall-deadline-ms'
KEY_HEADER = b'idempotency-key'

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
# The runner sets these from the body and the deadline that it received.
_REQUEST_ONLY = frozenset([b'content-length', b'expect', DEADLINE_HEADER])

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
    """

    code = 'call-refused'

    def __init__(self, outcome: Outcome, code: str, detail: str) -> None:
        super().__init__(f'{code}: {detail} ({outcome.value})')
        self.outcome = outcome
        self.reason = code
        self.detail = detail

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return _STATUS.get(self.reason, 503)


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


class ResponseSink(Protocol):
    """Receives a response, for example to pass it on to the caller."""

    async def head(self, status: int, headers: Headers) -> None:
        """Take the status and the headers."""
        ...

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Take a part of the body; empty only when it is the last."""
        ...


class Recorder:
    """Keeps a response for repetition, unless it becomes too large."""

    __slots__ = ('_chunks', '_headers', '_size', '_status')

    def __init__(self) -> None:
        self._status = 0
        self._headers: Headers = ()
        self._chunks: list[bytes] | None = []
        self._size = 0

    @property
    def response(self) -> RecordedResponse | None:
        """The response; None when it was too large."""
        if self._chunks is None or not self._status:
            return None
        return RecordedResponse(
            self._status, self._headers, b''.join(self._chunks)
        )

    def head(self, status: int, headers: Headers) -> None:
        """Take the status and the headers."""
        self._status = status
        self._headers = headers

    def chunk(self, data: bytes) -> None:
        """Take a part of the body."""
        self._size += len(data)
        if self._size > MAX_RECORDED_BODY:
            self._chunks = None
        if self._chunks is not None:
            self._chunks.append(data)


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


def request_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers of a request that are passed on."""
    return _end_to_end(headers, _REQUEST_ONLY)


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
