"""Actions that the replica returns for its caller to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumhall._errors import InvalidUpdateError
    from gypsumhall.core._snapshot import Snapshot
    from gypsumhall.net._messages import Message
    from gypsumhall.net._messages import Pull
    from gypsumhall.net._messages import Revert


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message without waiting for a reply."""

    address: str
    message: Message


@dataclass(slots=True, frozen=True)
class Fetch:
    """Pull a configuration.

    The result is passed to `Replica.handle_fetch_result`.

    Parameters
    ----------
    address : str
        Peer address of the source.
    pull : Pull
        The request.
    timeout_s : float
        Time in seconds after which the pull has failed.
    """

    address: str
    pull: Pull
    timeout_s: float


@dataclass(slots=True, frozen=True)
class FetchReverts:
    """Pull the reverts; the result goes to `Replica.receive_reverts`."""

    address: str


@dataclass(slots=True, frozen=True)
class Installed:
    """Report that a configuration version was installed."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class Reverted:
    """Report that moves were added to the reverts."""

    reverts: tuple[Revert, ...]


@dataclass(slots=True, frozen=True)
class Alarm:
    """Record an event that may need an operator's attention.

    Parameters
    ----------
    code : str
        Event code.
    fields : mapping of str to object
        Details of the event.
    error : InvalidUpdateError or None
        Reason for which an update was rejected.
    """

    code: str
    fields: Mapping[str, object] = field(default_factory=dict)
    error: InvalidUpdateError | None = None


Action = Send | Fetch | FetchReverts | Installed | Reverted | Alarm
