"""Interface of the platform's key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence
    from contextlib import AbstractAsyncContextManager


@dataclass(slots=True, frozen=True)
class KeyValue:
    """A stored value and its revisions.

    Parameters
    ----------
    key : str
        Name, for example ``gypsumhall/head``.
    value : bytes
        Contents, at most 1 MB.
    mod_revision : int
        Revision of the store at the last write of the key.
    lease : int
        Lease that the key is bound to; 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Compare:
    """A condition of a transaction: the key's revision of last write.

    Parameters
    ----------
    key : str
        The key.
    mod_revision : int
        Expected revision; 0 when the key must not exist.
    """

    key: str
    mod_revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """A write within a transaction."""

    key: str
    value: bytes
    lease: int = 0


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
    revision : int
        Revision of the store after the transaction.
    """

    succeeded: bool
    revision: int


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """A change seen by a watch.

    Parameters
    ----------
    key : str
        The changed key.
    value : bytes or None
        New contents; None when the key was removed.
    revision : int
        Revision of the store at the change.
    """

    key: str
    value: bytes | None
    revision: int


class Store(Protocol):
    """The platform's key-value service.

    Every method raises `StoreUnavailableError` when the request was not
    executed, `StoreUnknownError` when it may have been executed,
    and `StoreProtocolError` for an answer that makes no sense.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Read one key; None when it does not exist."""
        ...

    async def range(self, prefix: str) -> list[KeyValue]:
        """Read all keys that start with a prefix, in key order."""
        ...

    async def txn(
        self,
        compares: Sequence[Compare],
        writes: Sequence[Put | Delete],
    ) -> TxnResult:
        """Execute all writes if all conditions hold, else none."""
        ...

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease that lapses without renewal; return its id."""
        ...

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease once; False when it has lapsed."""
        ...

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        ...

    def watch(
        self, prefix: str, from_revision: int = 0
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchEvent]]:
        """Watch all keys that start with a prefix.

        Parameters
        ----------
        prefix : str
            Start of the keys.
        from_revision : int
            First revision to deliver; 0 for changes from now on.

        Raises
        ------
        StoreCompactedError
            From the iterator, when `from_revision` is no longer kept.
        StoreUnavailableError
            From the iterator, when the watch was dropped.
        """
        ...
