"""Interfaces between the services of a daemon."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from gypsumhall.core._member import Endpoint
    from gypsumhall.core._member import Member
    from gypsumhall.core._model import Fragment
    from gypsumhall.core._model import Head
    from gypsumhall.core._quotas import Decision
    from gypsumhall.core._snapshot import Snapshot
    from gypsumhall.net._messages import CallStart
    from gypsumhall.net._messages import Load
    from gypsumhall.net._messages import Revert
    from gypsumhall.net._messages import Update
    from gypsumhall.net._messages import ZoneSummary


@runtime_checkable
class HybridClock(Protocol):
    """Hybrid logical clock: wall time, ahead of every received message."""

    def now(self) -> int:
        """Return the next timestamp."""
        ...

    def observe(self, time: int) -> None:
        """Advance past the timestamp of a received message."""
        ...


@runtime_checkable
class Events(Protocol):
    """Event log; the service ``events``."""

    @property
    def clock(self) -> HybridClock:
        """Clock that orders the events of all processes."""
        ...

    def emit(self, code: str, **fields: object) -> None:
        """Record one event.

        Parameters
        ----------
        code : str
            Stable identifier, for example ``snapshot-installed``.
        **fields
            Values that JSON can represent.
        """
        ...


@runtime_checkable
class Evacuations(Protocol):
    """Evacuated zones; the service ``evacuations``."""

    @property
    def zones(self) -> frozenset[str]:
        """Names of the zones to whose endpoints nothing is sent."""
        ...

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to call after each change of the zones."""
        ...


@runtime_checkable
class Metric(Protocol):
    """A counter, gauge or histogram with labels."""

    def add(self, value: float = 1.0, **labels: str) -> None:
        """Add to a counter, or record a value in a histogram."""
        ...

    def set(self, value: float, **labels: str) -> None:
        """Set a gauge."""
        ...


@runtime_checkable
class Metrics(Protocol):
    """Metric registry; the service ``metrics``."""

    def counter(self, name: str, description: str) -> Metric:
        """Return the counter of that name."""
        ...

    def gauge(self, name: str, description: str) -> Metric:
        """Return the gauge of that name."""
        ...

    def histogram(self, name: str, description: str) -> Metric:
        """Return the histogram of that name."""
        ...


@runtime_checkable
class MemberTable(Protocol):
    """Read access to the member table."""

    @property
    def digest(self) -> int:
        """Digest over all entries, 64 bits."""
        ...

    @property
    def revision(self) -> int:
        """Grows with every change of any entry."""
        ...

    def get(self, member_id: str) -> Member | None:
        """Return an entry by id."""
        ...

    def members(self) -> Sequence[Member]:
        """Return all entries."""
        ...

    def alive(self, zone: str) -> Sequence[Member]:
        """Return the alive and suspect members of a zone, sorted by id."""
        ...

    def endpoints(self, service: str) -> Sequence[Member]:
        """Return the members with an endpoint of a service.

        Dead and leaving members are included, so that the owners of
        idempotency keys can be derived; callers filter by status.
        """
        ...


@runtime_checkable
class Membership(Protocol):
    """Member table and failure detection; the service ``membership``."""

    @property
    def table(self) -> MemberTable:
        """The member table."""
        ...

    @property
    def me(self) -> Member:
        """Entry of this daemon."""
        ...

    def set_endpoint(self, endpoint: Endpoint | None) -> None:
        """Change the endpoint of this daemon and propagate the change."""
        ...

    def set_leaving(self) -> None:
        """Mark this daemon as leaving and propagate the change at once."""
        ...

    def acknowledged_version(self, member_id: str) -> int:
        """Return the highest version known to be installed at a member."""
        ...

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of the member table."""
        ...


@runtime_checkable
class Distribution(Protocol):
    """Installed configuration and reverts; the service ``distribution``."""

    @property
    def snapshot(self) -> Snapshot | None:
        """Installed configuration; None below the version floor."""
        ...

    @property
    def reverts(self) -> Mapping[str, Revert]:
        """Reverted moves by id."""
        ...

    @property
    def summaries(self) -> Mapping[str, ZoneSummary]:
        """Latest summary of every zone."""
        ...

    async def wait_ready(self) -> None:
        """Wait until a configuration at or above the floor is installed."""
        ...

    def install(self, update: Update) -> bool:
        """Install an update; False when it is not newer.

        Raises
        ------
        InvalidUpdateError
            When the update fails its checks; nothing was applied.
        """
        ...

    def publish(self, head: Head, fragments: Sequence[Fragment]) -> None:
        """Install a version read from the platform and distribute it.

        Parameters
        ----------
        head : Head
            Head record.
        fragments : sequence of Fragment
            All fragments that the head refers to.
        """
        ...

    def add_revert(self, revert: Revert) -> None:
        """Add a revert, apply it and propagate it at once."""
        ...

    def in_effect(self, version: int) -> bool:
        """Whether every member of every zone acknowledged a version."""
        ...

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for new installations and new reverts."""
        ...


@runtime_checkable
class Acceptance(Protocol):
    """Changes of the head; the service ``acceptance``."""

    async def apply(
        self, transition: Callable[[Head], Head | None]
    ) -> Head | None:
        """Replace the head with the one that a transition returns.

        Parameters
        ----------
        transition : callable
            Pure function from the present head to the next one, or to None
            when it does not apply. It is called again for each head that
            is read after a conflicting write or a lost response.

        Returns
        -------
        Head or None
            The new head, which was also published; None when the
            transition did not apply.

        Raises
        ------
        StoreUnavailableError
            When the platform did not respond in time; nothing was written.
        StoreUnknownError
            When the change may have been written.
        """
        ...


@runtime_checkable
class ReaderSlot(Protocol):
    """Reader role of this daemon; the service ``reader``."""

    @property
    def slot(self) -> int | None:
        """Number of the reader slot that this daemon holds, or None."""
        ...


@runtime_checkable
class Runner(Protocol):
    """Admission to the backend server on this VM; the service ``runner``."""

    @property
    def load(self) -> Load:
        """Current load."""
        ...


@runtime_checkable
class Quotas(Protocol):
    """Quotas of tenants over all daemons; the service ``quotas``."""

    def take(self, tenant: str, now: float) -> Decision:
        """Take a token for one request without waiting.

        The reason ``undecided`` means that the owner has to be asked, which
        `decide` does.
        """
        ...

    async def decide(self, tenant: str) -> Decision:
        """Take a token; wait for the owner of the quota if necessary."""
        ...

    def give_back(self, tenant: str, now: float) -> None:
        """Return the token of a request that was not sent."""
        ...


@runtime_checkable
class Moves(Protocol):
    """Evidence about moves; the service ``moves``."""

    def record(
        self, call: CallStart, latency_ms: float, *, failed: bool
    ) -> None:
        """Record the result of a call to the backend server on this VM.

        Parameters
        ----------
        call : CallStart
            The call; ``call.move`` is empty when it is not evidence.
        latency_ms : float
            Time from the start of the run to the end of the response.
        failed : bool
            Whether the response was a 5xx or was incomplete.
        """
        ...


@dataclass(slots=True, frozen=True)
class AdminRequest:
    """Request to the administration listener.

    Parameters
    ----------
    method, path : str
        Request line; the path without query.
    query : dict of str to str
        Query parameters, the first of each name.
    headers : dict of str to str
        Headers with lower-case names.
    body : bytes
        Whole body, at most 1 MiB.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """Response of the administration listener."""

    status: int
    body: bytes = b''
    content_type: str = 'application/json'


AdminHandler = Callable[[AdminRequest], Awaitable[AdminResponse]]


@runtime_checkable
class Admin(Protocol):
    """HTTP listener for operators and backend servers; service ``admin``."""

    def add_route(self, method: str, path: str, handler: AdminHandler) -> None:
        """Register a handler.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Exact path, or a prefix when it ends with ``/``.
        handler : callable
            Coroutine function from `AdminRequest` to `AdminResponse`.
        """
        ...
