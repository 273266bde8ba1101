"""Entries of the member table: daemons and their endpoints."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

MAX_COUNT = 2**62
"""Largest number of a member entry. It leaves room for increments, as numbers
over 64 bits cannot be sent to other daemons."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A number that other processes state."""


class MemberStatus(enum.IntEnum):
    """Status of a daemon.

    Of two entries with the same incarnation and sequence, the one with the
    higher status replaces the other.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class EndpointState(enum.IntEnum):
    """State of the backend server beside a daemon."""

    STARTING = 0
    READY = 1
    DRAINING = 2


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """A backend server as its daemon advertises it.

    Parameters
    ----------
    service, version : str
        Service that the backend server runs, and its version.
    slots : int
        Number of requests that it executes concurrently.
    state : EndpointState
        Whether it accepts new requests.
    is_warm : bool
        Whether it had been running for a while when this daemon, which was
        restarted, began to advertise it.
    """

    service: str
    version: str
    slots: Count
    state: EndpointState
    is_warm: bool = False


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Entry of a daemon in the member table.

    Parameters
    ----------
    id : str
        Unique name of the daemon; by default its peer address.
    zone : str
        Availability zone.
    peer_address : str
        ``<ip>:<port>`` of the listener for other daemons.
    incarnation : int
        Unix time in milliseconds at the start of the daemon; increased
        whenever the daemon refutes a suspicion.
    sequence : int
        Increases with every change of the entry within an incarnation.
    status : MemberStatus
        Whether the daemon is alive, suspect, leaving or dead.
    endpoint : Endpoint or None
        The backend server on the daemon's VM.
    """

    id: str
    zone: str
    peer_address: str
    incarnation: Count
    sequence: Count
    status: MemberStatus
    endpoint: Endpoint | None = None

    @property
    def is_live(self) -> bool:
        """Whether the daemon is alive or suspect; it may be unreachable."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    @property
    def is_ready(self) -> bool:
        """Whether the daemon is live and its endpoint accepts requests."""
        endpoint = self.endpoint
        return (
            endpoint is not None
            and endpoint.state is EndpointState.READY
            and self.is_live
        )
