"""Heartbeats of backend servers, called check-ins by the platform."""

from __future__ import annotations

from dataclasses import dataclass
import functools
import re
from typing import Annotated

import msgspec

from gypsumhall._decode import decode
from gypsumhall._errors import MalformedDataError
from gypsumhall.core._member import Count
from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState
from gypsumhall.net._socket import check_remote_address

INSTANCES_PATH = '/v1/instances/'
"""Prefix of the path to which backend servers send heartbeats."""

_STATES = {
    'ready': EndpointState.READY,
    'draining': EndpointState.DRAINING,
}


MAX_SLOTS = 10_000
"""Largest number of slots of a backend server."""

_MAX_NAME_CHARACTERS = 256
_MAX_WARMUP_MS = 86_400_000

_Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_CHARACTERS)
]
# The id is part of a header of each request to the backend server.
_INSTANCE = re.compile(rf'[!-~]{{1,{_MAX_NAME_CHARACTERS}}}')


class _InstanceInfo(msgspec.Struct):
    service: _Name
    version: _Name
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class _Status(msgspec.Struct):
    state: str
    seq: Count
    warmup_ms: Annotated[float, msgspec.Meta(le=_MAX_WARMUP_MS)] = (
        msgspec.field(name='warmupLeftMs', default=0)
    )


class _Body(msgspec.Struct):
    addr: str
    info: _InstanceInfo
    status: _Status
    born: Count = 0


class _LeavingNotice(msgspec.Struct):
    born: Count = 0


_BODY_DECODER = msgspec.json.Decoder(_Body)
_NOTICE_DECODER = msgspec.json.Decoder(_LeavingNotice)


@dataclass(slots=True, frozen=True)
class BackendHeartbeat:
    """A heartbeat of a backend server.

    Parameters
    ----------
    instance : str
        Id of the process.
    started_ms : int
        Unix time in milliseconds at which the process started, by its own
        clock; 0 when unknown.
    sequence : int
        Sequence number; increases with each heartbeat of the process.
    address : str
        ``<ip>:<port>`` of its HTTP listener.
    endpoint : Endpoint
        Service, version, slots and state of the backend server.
    warmup_s : float
        Remaining time in seconds for which it is slow after its start.
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
    MalformedDataError
        When the body cannot be decoded or does not describe a usable
        backend server.
    """
    source = f'heartbeat of {instance[:_MAX_NAME_CHARACTERS]!r}'
    return decode(
        functools.partial(_convert_heartbeat, instance), body, source
    )


def _convert_heartbeat(instance: str, body: bytes) -> BackendHeartbeat:
    heartbeat = _BODY_DECODER.decode(body)
    if not _INSTANCE.fullmatch(instance):
        raise ValueError('the instance id is not printable text without space')
    state = _STATES.get(heartbeat.status.state)
    if state is None:
        raise ValueError(f'unknown state {heartbeat.status.state!r}')
    info = heartbeat.info
    return BackendHeartbeat(
        instance,
        heartbeat.born,
        heartbeat.status.seq,
        check_remote_address(heartbeat.addr),
        Endpoint(info.service, info.version, info.slots, state),
        max(0.0, heartbeat.status.warmup_ms / 1000),
    )


def decode_start_time(body: bytes) -> int:
    """Return the start time in a leaving notice; 0 when it states none."""
    try:
        return decode(_NOTICE_DECODER.decode, body, 'leaving notice').born
    except MalformedDataError:
        return 0
