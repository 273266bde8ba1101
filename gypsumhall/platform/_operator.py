"""Records that the operator writes to and reads from the store."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from operator import attrgetter
import re
from typing import Annotated

import msgspec

from gypsumhall._decode import decode
from gypsumhall._errors import InvalidUpdateError
from gypsumhall._errors import MalformedDataError
from gypsumhall.core import _model
from gypsumhall.core._evacuation import MAX_ZONE_CHARACTERS
from gypsumhall.core._load_balancer import ANY_VERSION
from gypsumhall.core._member import Count

OPERATOR_PREFIX = 'op/'
"""Prefix of all keys that the operator writes."""

CONFIGURATION_KEY = 'op/config'
"""Key of the newest configuration; its value is the full configuration."""

_ROLLOUT_PREFIX = 'op/rollout/'
_EVACUATION_PREFIX = 'op/evacuate/'
_ROLLOUT_STATUS_PREFIX = 'status/rollout/'
# The platform's configuration does not name departments, so that a single
# fragment holds all of it.
_DEPARTMENT = 'platform'


# State of a rollout, as the operator reads it.
_ROLLOUT_STATES = {
    _model.MoveState.ACTIVE: 'in_progress',
    _model.MoveState.DONE: 'completed',
    _model.MoveState.REVERTED: 'rolled_back',
}


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """The operator's order to move a service to another version.

    Parameters
    ----------
    service, version : str
        Service, and the version to which its calls are moved.
    duration_s : float
        Time in seconds within which the move must end.
    """

    service: str
    version: str
    duration_s: float


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ''


class _Entry(msgspec.Struct):
    type: str = msgspec.field(name='entryType')
    spec: msgspec.Raw
    metadata: _Metadata = _Metadata()


class _Config(msgspec.Struct):
    version: str
    resources: list[_Entry]


_MAX_WEIGHT = 1e9
_MAX_RATE = 1e9
_MAX_ROUTE_TIME_MS = 1e9
_MAX_DURATION_S = 1e7
_MAX_NAME_CHARACTERS = 256
_MAX_COLD_RATE = 1e6
_MAX_WARMUP_S = 86_400

_RouteTime = Annotated[float, msgspec.Meta(ge=0, le=_MAX_ROUTE_TIME_MS)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=_MAX_RATE)]
_Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_CHARACTERS)
]


class _Split(msgspec.Struct):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0, le=_MAX_WEIGHT)]


class _Route(msgspec.Struct):
    host: str
    prefix: str
    # Despite its name, states whether requests may be repeated.
    type: str
    timeout_ms: _RouteTime = msgspec.field(name='timeoutMs')
    objective_ms: _RouteTime = msgspec.field(name='sloMs', default=0)
    priority: Count = 0
    attempts: Count = 0
    service: str = ''
    split: list[_Split] = []
    public: bool = False


class _Service(msgspec.Struct):
    status_path: str = msgspec.field(name='healthPath', default='')


class _ColdLimit(msgspec.Struct):
    rate_per_s: Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_RATE)] = (
        msgspec.field(name='coldPerS', default=0)
    )
    warmup_s: Annotated[float, msgspec.Meta(ge=0, le=_MAX_WARMUP_S)] = (
        msgspec.field(name='warmupS', default=0)
    )


class _ServiceLimits(msgspec.Struct):
    max_connections: Count = msgspec.field(name='maxConns', default=0)


class _Tenant(msgspec.Struct):
    # An operator takes away the last key of a tenant by an empty list.
    keys: list[str] = msgspec.field(name='apiKeys')
    priority: Count | None = None
    rate_per_s: _Rate = msgspec.field(name='ratePerS', default=0)
    burst: _Rate = 0


class _Limits(msgspec.Struct):
    max_header_bytes: Count = msgspec.field(name='maxHeaderBytes', default=0)
    max_body_bytes: Count = msgspec.field(name='maxBodyBytes', default=0)
    header_timeout_ms: _RouteTime = msgspec.field(
        name='headerTimeoutMs', default=0
    )
    idle_timeout_ms: _RouteTime = msgspec.field(
        name='idleTimeoutMs', default=0
    )


class _Rollout(msgspec.Struct):
    service: _Name
    target: _Name = msgspec.field(name='targetVersion')
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_DURATION_S)] = (
        msgspec.field(name='durationS')
    )


# The version is a number of at most 60 bits.
_VERSION = re.compile(r'0*[0-9a-fA-F]{1,15}')
_PATH = re.compile(r'/[!-~]{0,2000}')
# Names of tenants and keys are values of headers, which have no white space at
# their ends and no control characters.
_TENANT_NAME = re.compile(r'[!-~]([ -~]{0,254}[!-~])?')
_KEY = re.compile(r'[^\s\x00-\x1f\x7f]([^\x00-\x1f\x7f]*[^\s\x00-\x1f\x7f])?')
_MAX_KEY_CHARACTERS = 1024
_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_SERVICE_DECODER = msgspec.json.Decoder(_Service)
_COLD_LIMIT_DECODER = msgspec.json.Decoder(_ColdLimit)
_SERVICE_LIMITS_DECODER = msgspec.json.Decoder(_ServiceLimits)
_TENANT_DECODER = msgspec.json.Decoder(_Tenant)
_LIMITS_DECODER = msgspec.json.Decoder(_Limits)
_ROUTE_DECODER = msgspec.json.Decoder(_Route)
_ROLLOUT_DECODER = msgspec.json.Decoder(_Rollout)


class _RolloutStatus(msgspec.Struct):
    state: str
    target: str = msgspec.field(name='targetVersion')


def decode_configuration(
    value: bytes,
) -> tuple[_model.Head, _model.Fragment]:
    """Decode a configuration into a head and its fragment.

    Raises
    ------
    InvalidUpdateError
        When the configuration is malformed.
    """
    try:
        return decode(_convert_configuration, value, CONFIGURATION_KEY)
    except MalformedDataError as error:
        raise InvalidUpdateError(str(error)) from error


def _convert_configuration(
    value: bytes,
) -> tuple[_model.Head, _model.Fragment]:
    config = _CONFIG_DECODER.decode(value)
    if not _VERSION.fullmatch(config.version):
        raise ValueError(
            f'version {config.version[:80]!r}; expected up to 15 hexadecimal '
            'digits after leading zeros'
        )
    version = int(config.version, 16)
    services = []
    routes = []
    tenants: list[_model.Tenant] = []
    limits: list[_model.RequestLimits] = []
    for index, entry in enumerate(config.resources):
        name = entry.metadata.name
        try:
            if entry.type == 'services':
                services.append(_convert_service(name, entry.spec))
            elif entry.type == 'routes':
                routes.append(_convert_route(name, entry.spec))
            elif entry.type == 'tenants':
                tenants.append(_convert_tenant(name, entry.spec))
            elif entry.type == 'limits':
                limits.append(_convert_limits(entry.spec))
        except ValueError as error:
            raise ValueError(
                f'resources[{index}], {entry.type} {name[:80]!r}: {error}'
            ) from error
    if len(limits) > 1:
        raise ValueError('more than one entry of the type limits')
    _check_tenants(tenants)
    for entries in (services, routes, tenants):
        entries.sort(key=attrgetter('name'))
    fragment = _model.Fragment(
        _DEPARTMENT,
        tuple(services),
        tuple(routes),
        tenants=tuple(tenants),
        limits=limits[0] if limits else None,
    )
    digest = _model.digest(_model.encode(fragment))
    head = _model.Head(
        version, {_DEPARTMENT: _model.DepartmentRef(digest, '')}
    )
    return head, fragment


def _convert_service(name: str, spec: msgspec.Raw) -> _model.Service:
    path = ''
    cold = _ColdLimit()
    # A service without a usable status path still serves its routes.
    with contextlib.suppress(msgspec.MsgspecError):
        path = _SERVICE_DECODER.decode(spec).status_path
    if not _PATH.fullmatch(path):
        path = ''
    with contextlib.suppress(msgspec.MsgspecError):
        cold = _COLD_LIMIT_DECODER.decode(spec)
    limits = _ServiceLimits()
    if bytes(spec).lstrip().startswith(b'{'):
        limits = _SERVICE_LIMITS_DECODER.decode(spec)
    return _model.Service(
        name,
        (ANY_VERSION,),
        ANY_VERSION,
        status_path=path,
        cold_rate_per_s=cold.rate_per_s,
        warmup_s=cold.warmup_s,
        max_connections=limits.max_connections,
    )


def _convert_tenant(name: str, spec: msgspec.Raw) -> _model.Tenant:
    if not _TENANT_NAME.fullmatch(name):
        raise ValueError(
            'the name is not 1 to 256 visible characters of ASCII'
        )
    tenant = _TENANT_DECODER.decode(spec)
    for index, key in enumerate(tenant.keys):
        # The message must not contain the key.
        if len(key) > _MAX_KEY_CHARACTERS or not _KEY.fullmatch(key):
            raise ValueError(
                f'apiKeys[{index}] is empty, has more than '
                f'{_MAX_KEY_CHARACTERS} characters, control characters or '
                'white space at an end'
            )
    digests = {_model.digest(key.encode()) for key in tenant.keys}
    return _model.Tenant(
        name,
        tuple(sorted(digests)),
        tenant.priority,
        tenant.rate_per_s,
        tenant.burst,
    )


def _check_tenants(tenants: list[_model.Tenant]) -> None:
    """Raise if two tenants have the same name or the same key."""
    names: set[str] = set()
    owners: dict[str, str] = {}
    for tenant in tenants:
        if tenant.name in names:
            raise ValueError(f'tenants {tenant.name!r} is defined twice')
        names.add(tenant.name)
        for key_digest in tenant.key_digests:
            owner = owners.setdefault(key_digest, tenant.name)
            if owner != tenant.name:
                raise ValueError(
                    f'tenants {owner!r} and {tenant.name!r} have the same key'
                )


def _convert_limits(spec: msgspec.Raw) -> _model.RequestLimits:
    limits = _LIMITS_DECODER.decode(spec)
    return _model.RequestLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )


def _convert_route(name: str, spec: msgspec.Raw) -> _model.Route:
    route = _ROUTE_DECODER.decode(spec)
    targets = tuple(
        _model.Target(item.service, round(item.weight)) for item in route.split
    )
    service = route.service or (targets[0].service if targets else '')
    return _model.Route(
        name,
        route.host.lower(),
        route.prefix,
        service,
        route.timeout_ms / 1000,
        (_model.ANY_METHOD,) if route.type == 'idempotent' else (),
        targets,
        route.objective_ms / 1000,
        route.attempts,
        route.priority,
        route.public,
        route.type == 'upload',
    )


def rollout_service(key: str) -> str:
    """Return the service of a rollout key; empty for other keys."""
    if not key.startswith(_ROLLOUT_PREFIX):
        return ''
    return key[len(_ROLLOUT_PREFIX) :]


def evacuated_zone(key: str) -> str:
    """Return the zone of an evacuation key; empty for other keys.

    The zone is evacuated while the key exists, whatever its value is.

    Raises
    ------
    InvalidUpdateError
        When the key does not name a usable zone.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return ''
    zone = key[len(_EVACUATION_PREFIX) :]
    if not 0 < len(zone) <= MAX_ZONE_CHARACTERS:
        raise InvalidUpdateError(
            f'{key[:80]!r}: the zone has {len(zone)} characters; expected 1 '
            f'to {MAX_ZONE_CHARACTERS}'
        )
    return zone


def rollout_status_key(service: str) -> str:
    """Return the key from which the operator reads a rollout's state."""
    return f'{_ROLLOUT_STATUS_PREFIX}{service}'


def decode_rollout(value: bytes) -> RolloutOrder:
    """Decode a rollout order.

    Raises
    ------
    InvalidUpdateError
        When the order is malformed.
    """
    try:
        rollout = decode(_ROLLOUT_DECODER.decode, value, 'rollout order')
    except MalformedDataError as error:
        raise InvalidUpdateError(str(error)) from error
    return RolloutOrder(rollout.service, rollout.target, rollout.duration_s)


def encode_rollout_status(
    order: RolloutOrder, state: _model.MoveState
) -> bytes:
    """Encode the state of a rollout for the operator."""
    return msgspec.json.encode(
        _RolloutStatus(_ROLLOUT_STATES[state], order.version)
    )
