"""Values of the member table: daemons and their endpoints."""

from __future__ import annotations

import enum

import msgspec


class MemberStatus(enum.IntEnum):
    """Status of a daemon; at equal incarnation the higher one wins."""

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
        What the backend server runs.
    slots : int
        Requests that it executes at the same time.
    state : EndpointState
        Whether it takes new work.
    """

    service: str
    version: str
    slots: int
    state: EndpointState


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
        Grows with every start of the daemon and when it refutes a
        suspicion; Unix time in milliseconds at the start.
    sequence : int
        Grows with every change of the entry within an incarnation.
    status : MemberStatus
        Whether the daemon takes part.
    endpoint : Endpoint or None
        The backend server on the daemon's VM.
    """

    id: str
    zone: str
    peer_address: str
    incarnation: int
    sequence: int
    status: MemberStatus
    endpoint: Endpoint | None = None

    @property
    def is_live(self) -> bool:
        """Whether the daemon takes part; one may fail to answer for now."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    @property
    def is_ready(self) -> bool:
        """Whether the daemon takes part and its endpoint takes new work."""
        endpoint = self.endpoint
        return (
            endpoint is not None
            and endpoint.state is EndpointState.READY
            and self.is_live
        )
