"""Revisions and leases of a store that may be restored from a copy."""

from __future__ import annotations

import msgspec

from gypsumhall.core._member import Count


class Revision(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Position in the history of the store.

    A store that was restored from an older copy gives out numbers again, so
    that only era and number together order the writes.

    Parameters
    ----------
    era : int
        Incremented whenever the store is restored from a copy; 0 for a store
        that never is.
    number : int
        The store's revision within the era; 0 for none.
    """

    era: Count = 0
    number: Count = 0

    def next(self) -> Revision:
        """Return the following revision of the same era."""
        return Revision(self.era, self.number + 1)

    def __str__(self) -> str:
        """Return the revision as ``<era>.<number>``."""
        return f'{self.era}.{self.number}'


class LeaseId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a lease; a restored store gives out its number again.

    Parameters
    ----------
    era : int
        Era of the store in which the lease was granted.
    number : int
        The store's number of the lease; 0 for none.
    """

    era: Count = 0
    number: Count = 0

    def __str__(self) -> str:
        """Return the id as ``<era>.<number>``."""
        return f'{self.era}.{self.number}'


NO_REVISION = Revision()
"""Revision of a key that does not exist."""

NO_LEASE = LeaseId()
"""Lease of a key that is bound to none."""
