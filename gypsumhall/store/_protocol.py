"""Interface of the platform's key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import runtime_checkable
from typing import TYPE_CHECKING

from gypsumhall._errors import StoreUnavailableError
from gypsumhall.core._revision import LeaseId
from gypsumhall.core._revision import NO_LEASE
from gypsumhall.core._revision import NO_REVISION
from gypsumhall.core._revision import Revision

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence
    from contextlib import AbstractAsyncContextManager

    import trio

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the key-value service stores."""


class StoreLimitError(StoreUnavailableError):
    """The request exceeds a limit; it was not executed, retries fail too."""

    code = 'store-limit'


class StoreLeaseError(StoreUnavailableError):
    """The lease has expired; the request was not executed."""

    code = 'store-lease'


class LeaseHeldError(StoreUnavailableError):
    """Another client holds the lease of the election key."""

    code = 'lease-held'


@dataclass(slots=True, frozen=True)
class KeyValue:
    """A stored value and its revisions.

    Parameters
    ----------
    key : str
        The key, for example ``gypsumhall/head``.
    value : bytes
        Contents, at most 1 MB.
    mod_revision : Revision
        Revision of the store at the last write of the key.
    lease : LeaseId
        Lease that the key is bound to; `NO_LEASE` for none.
    """

    key: str
    value: bytes
    mod_revision: Revision
    lease: LeaseId = NO_LEASE


@dataclass(slots=True, frozen=True)
class Compare:
    """A condition of a transaction on the revision of a key's last write.

    A condition of an earlier era than that of the store never holds.

    Parameters
    ----------
    key : str
        The key.
    mod_revision : Revision
        Expected revision; `NO_REVISION` when the key must not exist.
    """

    key: str
    mod_revision: Revision = NO_REVISION


@dataclass(slots=True, frozen=True)
class Put:
    """A write within a transaction."""

    key: str
    value: bytes
    lease: LeaseId = NO_LEASE


@dataclass(slots=True, frozen=True)
class Delete:
    """A removal within a transaction."""

    key: str


@dataclass(slots=True, frozen=True)
class TxnResult:
    """Result of a transaction.

    Parameters
    ----------
    succeeded : bool
        Whether all conditions held and the writes were executed.
    revision : Revision
        Revision of the store after the transaction.
    """

    succeeded: bool
    revision: Revision


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """A change that a watch delivers.

    Parameters
    ----------
    key : str
        The changed key.
    value : bytes or None
        New contents; None when the key was removed.
    revision : Revision
        Revision of the store at the change.
    """

    key: str
    value: bytes | None
    revision: Revision


@runtime_checkable
class Store(Protocol):
    """The platform's key-value service.

    Every method raises `StoreUnavailableError` when the request was not
    executed, `StoreUnknownError` when it may have been executed,
    and `StoreProtocolError` for a response that violates the protocol.
    """

    @property
    def era(self) -> int:
        """Highest era of the store that a response has named."""
        ...

    async def get(self, key: str, *, stale: bool = False) -> KeyValue | None:
        """Read one key; None when it does not exist.

        Parameters
        ----------
        key : str
            The key.
        stale : bool
            Whether a value that is seconds old is acceptable; such a read
            costs the store less.
        """
        ...

    async def range(self, prefix: str) -> list[KeyValue]:
        """Read all keys that start with a prefix, in key order."""
        ...

    async def range_at(self, prefix: str) -> tuple[list[KeyValue], Revision]:
        """Read all keys that start with a prefix, and the revision.

        All changes up to that revision are contained; later ones may be.
        """
        ...

    async def txn(
        self,
        compares: Sequence[Compare],
        writes: Sequence[Put | Delete],
    ) -> TxnResult:
        """Execute all writes if all conditions hold, else none."""
        ...

    async def grant_lease(self, ttl_s: int) -> LeaseId:
        """Create a lease that expires without renewal; return its id."""
        ...

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Renew a lease once; False when it has expired."""
        ...

    async def revoke(self, lease: LeaseId) -> None:
        """Revoke a lease, which removes its keys."""
        ...

    def watch(
        self, prefix: str, from_revision: Revision = NO_REVISION
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchEvent]]:
        """Watch all keys that start with a prefix.

        Parameters
        ----------
        prefix : str
            Start of the keys.
        from_revision : Revision
            First revision to deliver; `NO_REVISION` for changes from now on.

        Raises
        ------
        StoreCompactedError
            From the iterator, when `from_revision` has been compacted or the
            store was restored from a copy.
        StoreUnavailableError
            From the iterator, when the watch was dropped.
        """
        ...


@runtime_checkable
class Lease(Protocol):
    """Leadership that expires unless it is renewed in time."""

    @property
    def key(self) -> str:
        """The election key."""
        ...

    @property
    def compare(self) -> Compare:
        """Condition that fences writes under this lease.

        A transaction with this condition fails once the key-value service has
        ended the lease, even if the transaction was sent before.
        """
        ...

    @property
    def lost(self) -> trio.Event:
        """Set when the lease is no longer valid."""
        ...

    def valid(self, now: float) -> bool:
        """Whether it is certain that no other client holds the lease.

        Parameters
        ----------
        now : float
            Current time in seconds, from `trio.current_time()`. Read it after
            all operations that must have taken place under the lease.
        """
        ...


@runtime_checkable
class Elections(Protocol):
    """Elections among daemons."""

    def campaign(
        self, key: str, value: bytes, ttl_s: int, *, wait: bool = True
    ) -> AbstractAsyncContextManager[Lease]:
        """Hold the lease of an election key within a context.

        Parameters
        ----------
        key : str
            The election key, for example ``gypsumhall/controller``.
        value : bytes
            Stored under the key while the lease is held.
        ttl_s : int
            Seconds after which the lease expires without renewal.
        wait : bool
            Wait while another client holds the lease.

        Raises
        ------
        LeaseHeldError
            On entry, when another client holds the lease and `wait` is false.
        """
        ...


@runtime_checkable
class StoreService(Store, Protocol):
    """The service ``store``: a store, and elections on it."""

    @property
    def elections(self) -> Elections:
        """Elections on this store."""
        ...
