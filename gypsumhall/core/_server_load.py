"""Speed of a backend server, from the load that it states in its responses.

The rules handle this load pattern, which ``tests/test_core_uneven_load.py``
simulates: servers whose speed differs permanently, and which are slower for
less than a second at a time. A mean over recent runs mixes both with the costs
of the routes. Here each run is divided by the momentary factor and by the
relative cost of its route, so that the mean follows the permanent speed only.
"""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from gypsumhall.net._messages import ServerFigures

if TYPE_CHECKING:
    from collections.abc import Sequence

_PATTERN = re.compile(
    rb'[ \t]*([0-9]{1,6})[ \t]*,[ \t]*([0-9]{1,6})[ \t]*,[ \t]*([0-9]{1,6})'
    rb'[ \t]*(?:,[ \t]*([0-9]{1,6}(?:\.[0-9]{1,6})?)[ \t]*)?'
)

_MIN_PERCENT = 10.0
_MAX_PERCENT = 10_000.0
"""Range of valid times of work, in percent of the usual one."""

FACTOR_DECAY_S = 0.3
"""Age in seconds at which a momentary factor has decayed to 1/e of its
difference from 1. Servers stay slow for less than a second."""

_STATED_FOR_S = 10.0
"""Time in seconds after the last valid header for which figures are
reported."""

_SPEED_WEIGHT = 0.1
"""Weight of the latest run in the mean time of the server."""

_ROUTE_WEIGHT = 0.005
"""Smallest weight of the latest run in the means from which the relative cost
of a route follows. With 0.02, thirty runs of one route in a row changed the
speed by a fifth."""

_MAX_ROUTES = 1024
"""Routes whose means are stored; bounds the memory to 0.2 MB."""


class ServerLoad:
    """Load that a backend server stated.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that it executes and has queued, and its concurrency limit.
    percent : float or None
        Time that work takes now, in percent of the usual time; None if the
        server does not state it.
    """

    __slots__ = ('percent', 'running', 'slots', 'waiting')

    def __init__(
        self, running: int, waiting: int, slots: int, percent: float | None
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.percent = percent


def parse(value: bytes) -> ServerLoad | None:
    """Return the load that a header value states; None when it is invalid."""
    match = _PATTERN.fullmatch(value)
    if match is None:
        return None
    running, waiting, slots, stated = match.groups()
    percent = None if stated is None else float(stated)
    if int(slots) == 0 or (
        percent is not None and not _MIN_PERCENT <= percent <= _MAX_PERCENT
    ):
        return None
    return ServerLoad(int(running), int(waiting), int(slots), percent)


class _Mean:
    """Moving mean whose first values have equal weights."""

    __slots__ = ('count', 'value')

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(_ROUTE_WEIGHT, 1 / self.count)
        self.value += weight * (value - self.value)


class ServerSpeed:
    """Estimate of the speed of one backend server."""

    __slots__ = (
        '_base_time_s',
        '_mean_time',
        '_percent',
        '_route_times',
        '_stated_at',
    )

    def __init__(self) -> None:
        self._percent = 100.0
        self._stated_at = -math.inf
        self._base_time_s = 0.0
        # Times in seconds of all runs, and of those of each route.
        self._mean_time = _Mean()
        self._route_times: dict[str, _Mean] = {}

    def observe(self, values: Sequence[bytes], now: float) -> bool:
        """Record the headers of a response; False when they are invalid.

        Parameters
        ----------
        values : sequence of bytes
            Values of the header; more than one are invalid.
        now : float
            Current time in seconds.
        """
        if not values:
            return True
        load = parse(values[0]) if len(values) == 1 else None
        if load is None:
            return False
        if load.percent is None:
            # Only servers that share their VM with others state it, and only
            # their speed changes from one moment to the next.
            return True
        self._percent = load.percent
        self._stated_at = now
        return True

    def factor(self, now: float) -> float:
        """Return the expected momentary factor; larger is slower."""
        age_s = max(0.0, now - self._stated_at)
        return decayed_factor(self._percent, age_s)

    def record_run(
        self, route: str, time_s: float, factor_at_start: float, now: float
    ) -> None:
        """Record the time in seconds of a run that ends now."""
        factor = (factor_at_start + self.factor(now)) / 2
        time_s /= factor
        route_time = self._route_times.get(route)
        if route_time is None:
            if len(self._route_times) >= _MAX_ROUTES:
                self._route_times.clear()
            route_time = self._route_times[route] = _Mean()
        route_time.add(time_s)
        self._mean_time.add(time_s)
        if route_time.value <= 0:
            return
        sample_s = time_s * self._mean_time.value / route_time.value
        base_s = self._base_time_s or sample_s
        self._base_time_s = base_s + _SPEED_WEIGHT * (sample_s - base_s)

    def figures(self, now: float) -> ServerFigures | None:
        """Return what other daemons are told; None without the header."""
        age_s = now - self._stated_at
        if age_s > _STATED_FOR_S:
            return None
        return ServerFigures(
            round(self._base_time_s * 1000),
            round(self._percent),
            int(age_s * 1000),
        )


def decayed_factor(percent: float, age_s: float) -> float:
    """Return the factor to expect after its figure has aged, in seconds."""
    if percent == 100.0:
        return 1.0
    return 1.0 + (percent / 100 - 1.0) * math.exp(-age_s / FACTOR_DECAY_S)
