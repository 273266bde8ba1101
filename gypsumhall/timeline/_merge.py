"""Orders the events of many processes and selects some of them."""

from __future__ import annotations

from dataclasses import dataclass
import fnmatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.services._events import Event


@dataclass(slots=True, frozen=True)
class EventFilter:
    """Conditions on events; an empty one admits every event.

    Parameters
    ----------
    codes : tuple of str
        Codes; ``*`` stands for any text.
    zones, daemons : tuple of str
        Where the event happened.
    moves : tuple of str
        Ids of moves, the field ``move`` of the event.
    versions : tuple of int
        Installed configuration version, or the version that the event is
        about, its field ``head``.
    """

    codes: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    daemons: tuple[str, ...] = ()
    moves: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()

    def matches(self, event: Event) -> bool:
        """Whether an event meets all conditions."""
        checks = (
            not self.codes
            or any(fnmatch.fnmatchcase(event.code, c) for c in self.codes),
            not self.zones or event.zone in self.zones,
            not self.daemons or event.daemon in self.daemons,
            not self.moves or event.fields.get('move') in self.moves,
            not self.versions
            or event.version in self.versions
            or event.fields.get('head') in self.versions,
        )
        return all(checks)


def merge(events: Iterable[Event]) -> list[Event]:
    """Return events in causal order, each one once.

    A time stamp that a process took after it received a message is greater
    than that of the sender, so sorting by time stamp never shows an effect
    before its cause. An event that was read from a file and from the memory
    of its daemon is returned once.

    Parameters
    ----------
    events : iterable of Event
        Events of any number of processes in any order.
    """
    ordered = sorted(
        events, key=lambda item: (item.hlc, item.daemon, item.index)
    )
    merged: list[Event] = []
    for event in ordered:
        if not merged or event != merged[-1]:
            merged.append(event)
    return merged
