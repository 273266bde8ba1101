"""Configuration values: services, routes, moves, fragments and the head.

All values are immutable. They are stored in the platform and sent between
daemons as msgpack maps.
"""

from __future__ import annotations

import enum
import hashlib
from typing import Annotated
from typing import Any

import msgspec

from gypsumhall._decode import decode
from gypsumhall.core._member import Count

_DEFAULT_TIMEOUT_S = 10.0
_DEFAULT_IDEMPOTENT_METHODS = ('GET', 'HEAD', 'OPTIONS')


_MAX_TIME_S = 1e12
_MAX_RATE_PER_S = 1e9
_NO_LIMIT = 0.0

_Time = Annotated[float, msgspec.Meta(ge=0, le=_MAX_TIME_S)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=_MAX_RATE_PER_S)]


def _set_floats(value: msgspec.Struct, *names: str) -> None:
    """Convert fields to floats, so that 1 and 1.0 have the same encoding."""
    for name in names:
        # Adding 0.0 turns -0.0 into 0.0.
        number = float(getattr(value, name)) + 0.0
        msgspec.structs.force_setattr(value, name, number)


class Service(msgspec.Struct, frozen=True, omit_defaults=True):
    """A service of one department.

    Parameters
    ----------
    name : str
        Unique over all departments.
    versions : tuple of str
        Versions that routes and moves may send traffic to.
    current : str
        Version that receives all traffic when no move is active.
    depends_on : tuple of str
        Names of the services that this one calls.
    status_path : str
        Path at which its backend servers report their status; empty if they
        do not.
    cold_rate_per_s : float
        Requests per second that a backend server can handle while it is
        cold; 0 for no limit.
    warmup_s : float
        Usual time in seconds for which a backend server is cold after its
        start.
    max_connections : int
        Maximum number of connections that one backend server accepts; 0 for
        no limit.
    """

    name: str
    versions: tuple[str, ...]
    current: str
    depends_on: tuple[str, ...] = ()
    status_path: str = ''
    cold_rate_per_s: _Rate = _NO_LIMIT
    warmup_s: _Time = _NO_LIMIT
    max_connections: Count = 0

    def __post_init__(self) -> None:
        """Replace zeros by the default object, which is not encoded."""
        _set_floats(self, 'cold_rate_per_s', 'warmup_s')
        for name in ('cold_rate_per_s', 'warmup_s'):
            if getattr(self, name) == _NO_LIMIT:
                msgspec.structs.force_setattr(self, name, _NO_LIMIT)


class Target(msgspec.Struct, frozen=True):
    """One of several services among which a route divides its calls.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : int
        Its share of the calls, relative to the sum of the weights of the
        route.
    """

    service: str
    weight: Count


ANY_METHOD = '*'
"""Matches all methods in `Route.idempotent_methods`."""


class Route(msgspec.Struct, frozen=True, omit_defaults=True):
    """A rule that sends calls for a host and path prefix to a service.

    Parameters
    ----------
    name : str
        Unique within the department.
    host : str
        Host of the request, lower case, without port.
    path : str
        Path prefix; the longest matching prefix wins. A prefix matches
        whole path segments.
    service : str
        Name of the service.
    timeout_s : float
        Time limit in seconds of a call that has no deadline of its own.
    idempotent_methods : tuple of str
        Methods whose requests may be retried; `ANY_METHOD` for all.
    targets : tuple of Target
        Services among which the calls are divided; empty when all calls go
        to `service`, which is the first of them otherwise.
    objective_s : float
        Target response time in seconds, after which a response is worth
        less; 0 to use the time limit.
    attempts : int
        Maximum number of endpoints that one request may reach; 0 if the
        route sets no limit.
    priority : int
        Rank of the route, 0 for the most urgent.
    public : bool
        Whether requests need no key, if the configuration has tenants.
    upload : bool
        Whether the bodies of its requests are large.
    """

    name: str
    host: str
    path: str
    service: str
    timeout_s: _Time = _DEFAULT_TIMEOUT_S
    idempotent_methods: tuple[str, ...] = _DEFAULT_IDEMPOTENT_METHODS
    targets: tuple[Target, ...] = ()
    objective_s: _Time = 0.0
    attempts: Count = 0
    priority: Count = 0
    public: bool = False
    upload: bool = False

    def __post_init__(self) -> None:
        """Replace values that are equal to a default by the default itself.

        The encoder omits a field only if its value is the default object.
        """
        _set_floats(self, 'timeout_s')
        if self.timeout_s == _DEFAULT_TIMEOUT_S:
            msgspec.structs.force_setattr(
                self, 'timeout_s', _DEFAULT_TIMEOUT_S
            )
        if self.idempotent_methods == _DEFAULT_IDEMPOTENT_METHODS:
            msgspec.structs.force_setattr(
                self, 'idempotent_methods', _DEFAULT_IDEMPOTENT_METHODS
            )

    def is_idempotent(self, method: str) -> bool:
        """Whether requests with this method may be retried."""
        methods = self.idempotent_methods
        return method in methods or ANY_METHOD in methods


class MoveSpec(msgspec.Struct, frozen=True):
    """A staged move of a service's traffic, as specified by the operator.

    Parameters
    ----------
    id : str
        ``<department>/<name of the move>``.
    service, from_version, to_version : str
        Name of the service, its old version and its new version.
    deadline : float
        Unix time in seconds by which all traffic has to be moved.
    soak_s : float
        Seconds of observation after the last stage.
    """

    id: str
    service: str
    from_version: str
    to_version: str
    deadline: _Time
    soak_s: _Time = 10.0

    def __post_init__(self) -> None:
        """Convert the times to floats."""
        _set_floats(self, 'deadline', 'soak_s')


class Tenant(msgspec.Struct, frozen=True):
    """A customer whose requests are identified by a key.

    Parameters
    ----------
    name : str
        Unique over all departments.
    key_digests : tuple of str
        SHA-256 digests (hexadecimal) of its keys, sorted.
    priority : int or None
        Rank of its requests, 0 for the most urgent, in place of the rank of
        the route; None for the rank of the route.
    rate_per_s : float
        Number of requests per second that it may send; 0 for no limit.
    burst : float
        Number of requests that it may send in addition.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: Count | None = None
    rate_per_s: _Rate = 0.0
    burst: _Rate = 0.0

    def __post_init__(self) -> None:
        """Convert rate and burst to floats."""
        _set_floats(self, 'rate_per_s', 'burst')


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on the requests of callers; 0 for the default of the daemon.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size of the head and of the body of a request, in bytes.
    header_timeout_s : float
        Time in seconds within which a head has to arrive.
    idle_timeout_s : float
        Time in seconds after which a connection without a request is closed.
    """

    max_header_bytes: Count = 0
    max_body_bytes: Count = 0
    header_timeout_s: _Time = 0.0
    idle_timeout_s: _Time = 0.0

    def __post_init__(self) -> None:
        """Convert the times to floats."""
        _set_floats(self, 'header_timeout_s', 'idle_timeout_s')


def _no_items() -> tuple[Any, ...]:
    return ()


class Fragment(msgspec.Struct, frozen=True, omit_defaults=True):
    """Everything that one department configures.

    Parameters
    ----------
    department : str
        Name of the department.
    services, routes, moves : tuple
        Contents, sorted by name or id, so that texts with the same contents
        have the same digest.
    tenants : tuple of Tenant
        Tenants, sorted by name.
    limits : RequestLimits or None
        Limits on requests; None for the defaults of the daemon.
    """

    department: str
    # Fields with a factory function are always encoded. Omitting empty ones
    # would change the digests of stored fragments.
    services: tuple[Service, ...] = msgspec.field(default_factory=_no_items)
    routes: tuple[Route, ...] = msgspec.field(default_factory=_no_items)
    moves: tuple[MoveSpec, ...] = msgspec.field(default_factory=_no_items)
    tenants: tuple[Tenant, ...] = ()
    limits: RequestLimits | None = None

    def __post_init__(self) -> None:
        """Replace empty tenants by the default, which is not encoded."""
        if not self.tenants:
            msgspec.structs.force_setattr(self, 'tenants', ())


class MoveState(enum.StrEnum):
    """Progress of a move; ``done`` and ``reverted`` are final."""

    ACTIVE = 'active'
    SOAKING = 'soaking'
    DONE = 'done'
    REVERTED = 'reverted'

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in (MoveState.DONE, MoveState.REVERTED)


class Move(msgspec.Struct, frozen=True):
    """A move and its progress, as the head records it.

    Parameters
    ----------
    spec : MoveSpec
        Specification of the move.
    state : MoveState
        Progress.
    stage : int
        Index of the current stage, from 0.
    share : float
        Share of the calls that go to the new version, 0 to 1.
    started : float
        Unix time in seconds at which the move was accepted.
    stage_started : float
        Unix time in seconds at which the stage began.
    reason : str
        Why the move was reverted; empty otherwise.
    """

    spec: MoveSpec
    state: MoveState
    stage: int
    share: Annotated[float, msgspec.Meta(ge=0, le=1)]
    started: _Time
    stage_started: _Time
    reason: str = ''

    def __post_init__(self) -> None:
        """Convert share and times to floats."""
        _set_floats(self, 'share', 'started', 'stage_started')


class DepartmentRef(msgspec.Struct, frozen=True):
    """A department's entry in the head.

    Parameters
    ----------
    fragment : str
        SHA-256 digest (hexadecimal) of the fragment's encoding.
    credential : str
        SHA-256 digest (hexadecimal) of the operators' token.
    """

    fragment: str
    credential: str


class Head(msgspec.Struct, frozen=True):
    """The root record of the configuration.

    Its version gives all configurations a total order.

    Parameters
    ----------
    version : int
        Incremented by one with every change; 0 before the first.
    departments : dict of str to DepartmentRef
        Fragment and credential of every department.
    moves : dict of str to Move
        Progress of moves by id.
    current : dict of str to str
        Version in use of services for which a finished move replaced the
        version named by the fragment.
    submissions : dict of str to int
        Versions that recently accepted submissions produced, by
        ``<submission id>~<fingerprint>``.
    """

    version: Count = 0
    departments: dict[str, DepartmentRef] = {}
    moves: dict[str, Move] = {}
    current: dict[str, str] = {}
    submissions: dict[str, int] = {}


_ENCODER = msgspec.msgpack.Encoder(order='deterministic')
_FRAGMENT_DECODER = msgspec.msgpack.Decoder(Fragment)
_HEAD_DECODER = msgspec.msgpack.Decoder(Head)


def encode(value: Any) -> bytes:
    """Encode a value of this module as canonical msgpack.

    Equal values have equal encodings, so digests can be compared.
    """
    return _ENCODER.encode(value)


def decode_fragment(data: bytes) -> Fragment:
    """Decode a fragment.

    Raises
    ------
    MalformedDataError
        When the bytes are not a fragment.
    """
    return decode(_FRAGMENT_DECODER.decode, data, 'fragment')


def decode_head(data: bytes) -> Head:
    """Decode a head record.

    Raises
    ------
    MalformedDataError
        When the bytes are not a head record.
    """
    return decode(_HEAD_DECODER.decode, data, 'head record')


def digest(data: bytes) -> str:
    """Return the SHA-256 digest of an encoding, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()
