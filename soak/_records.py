"""What callers and endpoints saw of each request."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class End(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    CLOSED = 'closed'
    RESET = 'reset'
    LEFT = 'left'
    NOT_WRITTEN = 'not written'


class RunEnd(enum.Enum):
    """How a run at an endpoint ended."""

    ANSWERED = 'answered'
    CUT = 'cut'
    ENDPOINT_LEFT = 'endpoint left'


class Run:
    """A run of a request at an endpoint; times by `trio.current_time`.

    Parameters
    ----------
    endpoint : int
        Index of the VM of the endpoint.
    instance : str
        Id of the lifetime of the endpoint.
    started_at : float
        Time at which the endpoint began to work.
    signature : str
        Signature of the response, unique to the run.
    """

    __slots__ = (
        'answering_at',
        'end',
        'ended_at',
        'endpoint',
        'instance',
        'signature',
        'size',
        'started_at',
        'status',
    )

    def __init__(
        self, endpoint: int, instance: str, started_at: float, signature: str
    ) -> None:
        self.endpoint = endpoint
        self.instance = instance
        self.started_at = started_at
        self.signature = signature
        self.status = 0
        self.size = 0
        self.answering_at: float | None = None
        self.ended_at: float | None = None
        self.end: RunEnd | None = None

    @property
    def body(self) -> bytes:
        """Body of the response."""
        return build_body(self.signature, self.size)

    def __repr__(self) -> str:
        end = self.end.value if self.end else 'in progress'
        return (
            f'run at {self.endpoint} ({self.instance}) from '
            f'{self.started_at:.3f} to {self.ended_at or 0:.3f}: {end}, '
            f'{self.status}'
        )


class Request:
    """A request of a caller; times by `trio.current_time`.

    Parameters
    ----------
    id : str
        Unique id.
    daemon : int
        Index of the daemon that the caller uses.
    route : str
        Prefix of the route.
    method, target : str
        Request line.
    body : bytes
        Body.
    idempotent : bool
        Whether it may run more than once.
    stated_ms : int
        Time that the caller states, in milliseconds.
    """

    __slots__ = (
        'answer_body',
        'arrivals',
        'behind_close',
        'body',
        'daemon',
        'end',
        'ended_at',
        'first_of_batch',
        'id',
        'idempotent',
        'method',
        'on_kept_connection',
        'response_started',
        'route',
        'runs',
        'signature',
        'stated_ms',
        'status',
        'target',
        'write_started_at',
        'written_at',
    )

    def __init__(
        self,
        id: str,
        daemon: int,
        route: str,
        method: str,
        target: str,
        body: bytes,
        *,
        idempotent: bool,
        stated_ms: int,
    ) -> None:
        self.id = id
        self.daemon = daemon
        self.route = route
        self.method = method
        self.target = target
        self.body = body
        self.idempotent = idempotent
        self.stated_ms = stated_ms
        self.write_started_at = 0.0
        self.written_at: float | None = None
        self.on_kept_connection = False
        self.first_of_batch = True
        self.behind_close = False
        self.end: End | None = None
        self.ended_at = 0.0
        self.response_started = False
        self.status = 0
        self.signature = ''
        self.answer_body = b''
        self.arrivals: list[float] = []
        self.runs: list[Run] = []

    def finish(self, end: End, time: float) -> None:
        """Record the end, unless there has been one."""
        if self.end is None:
            self.end, self.ended_at = end, time

    def __repr__(self) -> str:
        end = self.end.value if self.end else 'in progress'
        return (
            f'request {self.id} ({self.method} {self.target}) to daemon '
            f'{self.daemon}, stated {self.stated_ms} ms, written '
            f'{self.write_started_at:.3f} to {self.written_at or 0:.3f}, '
            f'ended {self.ended_at:.3f}: {end} {self.status or ""}, '
            f'arrivals {[round(time, 3) for time in self.arrivals]}, '
            f'{self.runs!r}'
        )


class Records:
    """All requests of a run."""

    __slots__ = ('_requests',)

    def __init__(self) -> None:
        self._requests: dict[str, Request] = {}

    def __iter__(self) -> Iterator[Request]:
        return iter(self._requests.values())

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: Request) -> None:
        """Add a request before it is sent."""
        self._requests[request.id] = request

    def get(self, id: str) -> Request | None:
        """Return the request with an id, if a caller sent it."""
        return self._requests.get(id)


def build_body(signature: str, size: int) -> bytes:
    """Return the body of a response, which repeats its signature."""
    unit = f'{signature};'.encode()
    return (unit * (size // len(unit) + 1))[:size]
