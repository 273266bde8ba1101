"""Heartbeats of backend servers, called check-ins by the platform."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from gypsumhall._errors import GypsumhallError
from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState

INSTANCES_PATH = '/v1/instances/'
"""Prefix of the path to which backend servers send heartbeats."""

_STATES = {
    'ready': EndpointState.READY,
    'draining': EndpointState.DRAINING,
}


class MalformedCheckInError(GypsumhallError):
    """A heartbeat that names no backend server to use."""

    code = 'malformed-check-in'


class _Info(msgspec.Struct):
    service: str
    version: str
    zone: str
    slots: int


class _Status(msgspec.Struct):
    state: str
    seq: int
    warmup_ms: float = msgspec.field(name='warmupLeftMs', default=0)


class _Body(msgspec.Struct):
    addr: str
    info: _Info
    status: _Status
    born: int = 0


class _Start(msgspec.Struct):
    born: int = 0


@dataclass(slots=True, frozen=True)
class BackendHeartbeat:
    """A heartbeat of a backend server.

    Parameters
    ----------
    instance : str
        Id of the process.
    started_ms : int
        Unix time in milliseconds of its start, by its own clock; 0 when it
        is not stated.
    sequence : int
        Grows with each heartbeat of the process.
    address : str
        ``<ip>:<port>`` of its HTTP listener.
    endpoint : Endpoint
        What it runs.
    warmup_s : float
        Time in seconds for which it will still be slow after its start.
    """

    instance: str
    started_ms: int
    sequence: int
    address: str
    endpoint: Endpoint
    warmup_s: float = 0.0


def decode_heartbeat(instance: str, body: bytes) -> BackendHeartbeat:
    """Decode a heartbeat.

    Raises
    ------
    MalformedCheckInError
        When the body cannot be read or names no backend server to use.
    """
    try:
        found = msgspec.json.decode(body, type=_Body)
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedCheckInError(f'{instance!r}: {error}') from error
    state = _STATES.get(found.status.state)
    info = found.info
    if state is None or not info.service or not info.version:
        raise MalformedCheckInError(
            f'{instance!r}: state {found.status.state!r}, service '
            f'{info.service!r}, version {info.version!r}'
        )
    if info.slots < 1 or not instance or ':' not in found.addr:
        raise MalformedCheckInError(
            f'{instance!r}: slots {info.slots}, address {found.addr!r}'
        )
    endpoint = Endpoint(info.service, info.version, info.slots, state)
    return BackendHeartbeat(
        instance,
        found.born,
        found.status.seq,
        found.addr,
        endpoint,
        max(0.0, found.status.warmup_ms / 1000),
    )


def decode_start_time(body: bytes) -> int:
    """Return the start time in a notice of leaving; 0 when it has none."""
    try:
        return msgspec.json.decode(body, type=_Start).born
    except (msgspec.MsgspecError, ValueError):
        return 0
