"""The evacuated zones, as read from the platform's store.

Load pattern: all endpoints of a zone are taken out of use at once, while other
zones are loaded. Their load moves within one retry, so a daemon must neither
act on an outdated message nor forget an evacuation.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from gypsumhall.core._revision import NO_REVISION
from gypsumhall.core._revision import Revision

MAX_ZONES = 256
"""Largest number of evacuated zones; bounds the size of messages."""

MAX_ZONE_CHARACTERS = 256
"""Largest length of the name of a zone."""

_Zone = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_ZONE_CHARACTERS)
]
_Zones = Annotated[tuple[_Zone, ...], msgspec.Meta(max_length=MAX_ZONES)]


class EvacuationState(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated zones at one revision of the store.

    Parameters
    ----------
    revision : Revision
        Revision at which the zones are complete; `NO_REVISION` if nothing
        has been read yet.
    zones : tuple of str
        Names of the evacuated zones, sorted.
    """

    revision: Revision = NO_REVISION
    zones: _Zones = ()


class Evacuations:
    """The newest known state of the evacuated zones.

    A state with a higher revision replaces one with a lower revision as a
    whole. As the revision of a restored store belongs to a new era, its state
    replaces that of the store before.
    """

    __slots__ = ('_state',)

    def __init__(self) -> None:
        self._state = EvacuationState()

    @property
    def state(self) -> EvacuationState:
        """The newest known state."""
        return self._state

    @property
    def is_known(self) -> bool:
        """Whether any state of the store is known."""
        return self._state.revision != NO_REVISION

    def merge(self, state: EvacuationState) -> bool:
        """Take over a state if it is newer; True if the zones change."""
        if state.revision <= self._state.revision:
            return False
        changed = state.zones != self._state.zones
        self._state = state
        return changed

    def set_zone(
        self, zone: str, revision: Revision, *, evacuated: bool
    ) -> bool:
        """Apply a write or a deletion to a complete state.

        Parameters
        ----------
        zone : str
            Name of the zone.
        revision : Revision
            Revision of the write or deletion. All earlier changes must have
            been applied.
        evacuated : bool
            Whether the zone's key exists since then.

        Returns
        -------
        bool
            Whether the zones change.
        """
        zones = set(self._state.zones)
        if evacuated:
            zones.add(zone)
        else:
            zones.discard(zone)
        return self.merge(build_state(revision, zones))


def build_state(
    revision: Revision, zones: set[str] | frozenset[str]
) -> EvacuationState:
    """Return a state; of too many zones, the first by name are kept."""
    return EvacuationState(revision, tuple(sorted(zones)[:MAX_ZONES]))
