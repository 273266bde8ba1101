"""Plans of faults, drawn from a seed."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from soak._store import STORE_FAULTS

if TYPE_CHECKING:
    from collections.abc import Iterator

START_S = 1.0
"""Time in seconds before the first event of a plan."""

END_S = 9.0
"""Time in seconds after the last event of a plan, in which daemons that stop
end and start again and all requests end."""

LINK_FAULTS = ('delay', 'reset', 'cut', 'cut-one-way', 'silence')

_FIRST_DISRUPTION_S = 4.0
_DISRUPTION_PERIOD_S = 14.0


class Event:
    """Something that happens during a run.

    Parameters
    ----------
    time_s : float
        Time in seconds after the start of the run.
    kind : str
        ``term``, ``hup``, ``config`` and ``leave`` are planned work, ``kill``,
        ``freeze``, ``link`` and ``store`` are not.
    vm : int
        Index of the VM that is affected.
    detail : str
        Kind of the change or of the fault.
    duration_s : float
        Time in seconds until the fault ends.
    """

    __slots__ = ('detail', 'duration_s', 'kind', 'time_s', 'vm')

    def __init__(
        self,
        time_s: float,
        kind: str,
        vm: int = 0,
        detail: str = '',
        duration_s: float = 0.0,
    ) -> None:
        self.time_s = time_s
        self.kind = kind
        self.vm = vm
        self.detail = detail
        self.duration_s = duration_s

    def __str__(self) -> str:
        return (
            f'{self.time_s:.3f} {self.kind} vm={self.vm} {self.detail} '
            f'{self.duration_s:.2f} s'
        )


def draw_plan(
    seed: int, seconds: float, daemons: int, *, unplanned: bool
) -> list[Event]:
    """Return the events of a run in the order of their times.

    Parameters
    ----------
    seed : int
        Seed.
    seconds : float
        Length of the run.
    daemons : int
        Number of daemons.
    unplanned : bool
        Whether there are faults other than planned work.
    """
    rng = random.Random(f'plan {seed}')
    end_s = seconds - END_S
    events: list[Event] = []
    time_s = START_S
    while time_s < end_s:
        series = rng.choices(
            (_draw_stops, _draw_reloads, _draw_changes, _draw_leaves),
            (5, 2, 3, 2),
        )[0]
        events += series(rng, time_s, daemons)
        time_s += rng.uniform(0.2, 3.0)
    if unplanned:
        time_s = _FIRST_DISRUPTION_S
        while time_s < end_s:
            for _ in range(rng.randint(1, 3)):
                start_s = time_s + rng.uniform(0.0, 2.0)
                events.append(_draw_fault(rng, start_s, daemons))
            time_s += _DISRUPTION_PERIOD_S
    # Drawn separately, so that a seed has the same plan as before.
    stops = random.Random(f'stops beside leaves {seed}')
    events += _draw_stops_beside_leaves(stops, events, unplanned=unplanned)
    kept = [event for event in events if event.time_s < end_s]
    return sorted(kept, key=lambda event: event.time_s)


def _draw_stops(
    rng: random.Random, time_s: float, daemons: int
) -> Iterator[Event]:
    """Stop daemons at once or one after the other, some of them twice."""
    gap_s = rng.choice((0.0, 0.3, 1.0))
    for vm in _draw_vms(rng, daemons):
        yield Event(time_s, 'term', vm)
        if rng.random() < 0.3:
            yield Event(time_s + rng.uniform(0.0, 3.0), 'term', vm)
        if rng.random() < 0.3:
            # Most daemons have ended and start again by then.
            yield Event(time_s + rng.uniform(4.0, 7.0), 'term', vm)
        time_s += gap_s


def _draw_reloads(
    rng: random.Random, time_s: float, daemons: int
) -> Iterator[Event]:
    gap_s = rng.uniform(0.02, 0.3)
    vms = _draw_vms(rng, daemons)
    for _ in range(rng.randint(2, 10)):
        for vm in vms:
            yield Event(time_s, 'hup', vm)
        time_s += gap_s


def _draw_changes(
    rng: random.Random, time_s: float, daemons: int
) -> Iterator[Event]:
    for _ in range(rng.randint(1, 3)):
        kind = rng.choice(('timeouts', 'timeouts', 'move', 'many'))
        yield Event(time_s, 'config', detail=kind)
        time_s += rng.uniform(0.1, 1.0)


def _draw_leaves(
    rng: random.Random, time_s: float, daemons: int
) -> Iterator[Event]:
    yield Event(time_s, 'leave', rng.randrange(daemons))


def _draw_stops_beside_leaves(
    rng: random.Random, events: list[Event], *, unplanned: bool
) -> list[Event]:
    """Stop the daemons of some endpoints that have just left."""
    kinds = ('term', 'kill') if unplanned else ('term',)
    return [
        Event(
            event.time_s + rng.uniform(0.1, 1.0), rng.choice(kinds), event.vm
        )
        for event in events
        if event.kind == 'leave' and rng.random() < 0.7
    ]


def _draw_fault(rng: random.Random, time_s: float, daemons: int) -> Event:
    kind = rng.choice(('kill', 'freeze', 'link', 'link', 'store', 'store'))
    detail = ''
    if kind == 'link':
        detail = rng.choice(LINK_FAULTS)
    elif kind == 'store':
        detail = rng.choice(STORE_FAULTS)
    duration_s = rng.choice((0.2, 0.6, 1.5, 3.0))
    return Event(time_s, kind, rng.randrange(daemons), detail, duration_s)


def _draw_vms(rng: random.Random, daemons: int) -> list[int]:
    count = rng.randint(1, max(1, daemons // 2))
    return rng.sample(range(daemons), count)
