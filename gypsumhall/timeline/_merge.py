"""Merges the events of many processes in causal order and filters them."""

from __future__ import annotations

from dataclasses import dataclass
import fnmatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.services._events import Event


@dataclass(slots=True, frozen=True)
class EventFilter:
    """Conditions on events; an empty condition matches every event.

    Parameters
    ----------
    codes : tuple of str
        Event codes; ``*`` stands for any text.
    zones, daemons : tuple of str
        Availability zone and id of the daemon that logged the event.
    moves : tuple of str
        Move ids, compared with the field ``move`` of the event.
    versions : tuple of int
        Configuration versions, compared with the version that was installed
        and with the field ``head``, the version that the event is about.
    """

    codes: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    daemons: tuple[str, ...] = ()
    moves: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()

    def matches(self, event: Event) -> bool:
        """Return whether an event meets all conditions."""
        conditions = (
            not self.codes
            or any(
                fnmatch.fnmatchcase(event.code, pattern)
                for pattern in self.codes
            ),
            not self.zones or event.zone in self.zones,
            not self.daemons or event.daemon in self.daemons,
            not self.moves or event.fields.get('move') in self.moves,
            not self.versions
            or event.version in self.versions
            or event.fields.get('head') in self.versions,
        )
        return all(conditions)


def merge(events: Iterable[Event]) -> list[Event]:
    """Return events in causal order, without duplicates.

    A timestamp that a process takes after it has received a message is
    greater than the timestamp of the sender, so no effect is sorted before
    its cause. An event that was read both from a file and from the memory of
    its daemon is returned once.

    Parameters
    ----------
    events : iterable of Event
        Events of any number of processes, in any order.
    """
    ordered = sorted(
        events, key=lambda item: (item.hlc, item.daemon, item.index)
    )
    merged: list[Event] = []
    for event in ordered:
        if not merged or event != merged[-1]:
            merged.append(event)
    return merged
