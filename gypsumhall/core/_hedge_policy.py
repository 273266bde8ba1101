"""Decisions about hedged requests: when, and how many.

The load pattern: 1 to 3 % of the runs take 5 to 7 times the usual time, and
endpoints that are slow for less than a second. A second attempt at a request
that is slower than most of its route then responds first. The rules also
handle these cases:

* Times of a route that change. Older times count less.
* Slow attempts that are cancelled because the other one has responded. Their
  time is recorded up to then. It is longer than the delay, so the quantile
  is that of the whole times.
* An overload. Times grow for all calls, and with them the delay. The budget
  limits the rest, and rejected hedges pause those of a service.
"""

from __future__ import annotations

from dataclasses import dataclass
import math

MAX_SHARE = 0.2
"""Largest share of the calls that may be hedged."""

MIN_QUANTILE, MAX_QUANTILE = 0.5, 0.999
"""Range of the quantile of the response times that is the delay."""

_MIN_DELAY_S = 0.005
"""Shortest delay in seconds. A hedge within a few transit times of the first
attempt would rarely respond first."""

_MIN_COUNT = 20.0
"""Smallest weight of recorded times from which a quantile is used."""

_HALF_LIFE_S = 30.0
"""Age in seconds at which the weight of a recorded time is one half."""

_MAX_WEIGHT = 1e9
"""Weight of a new time from which all weights are scaled down."""

_LOWEST_S = 0.001
"""Upper limit in seconds of the first bucket."""

_GROWTH = 1.05
"""Ratio of the limits of adjacent buckets, and so the largest error."""

_BUCKETS = 240
"""Number of buckets; the last one starts at 110 s."""

_CACHE_S = 0.25
"""Time in seconds for which a quantile is not computed again."""

_MAX_ROUTES = 512
"""Routes with recorded times; bounds the memory to 1 MB."""

_MAX_SERVICES = 4096
"""Services with a budget."""

_MAX_BURST = 5.0
"""Unused hedges that a service can accumulate at one sender."""

_FIRST_PAUSE_S = 0.05
"""Pause in seconds of the hedges of a service after a rejected one. Each
further rejection doubles it."""

_MAX_PAUSE_S = 1.6
"""Longest pause in seconds."""

NO_BUDGET = 'no-budget'
"""Reason: the share of the calls is used up."""

PAUSED = 'paused'
"""Reason: an earlier hedge found no free slot."""


@dataclass(slots=True, frozen=True)
class HedgeSettings:
    """Operator's limits of hedged requests.

    Parameters
    ----------
    share : float
        Hedges per call, 0 to `MAX_SHARE`; 0 turns hedging off.
    quantile : float
        Quantile of the response times of a route after which a second attempt
        is made, `MIN_QUANTILE` to `MAX_QUANTILE`.
    """

    share: float = 0.0
    quantile: float = 0.95


class DecayingQuantile:
    """Estimate of a quantile of recent times, with a relative error of 5 %.

    Parameters
    ----------
    quantile : float
        The quantile, 0 to 1.
    """

    __slots__ = (
        '_cached_s',
        '_cached_until',
        '_epoch',
        '_min_count',
        '_quantile',
        '_total',
        '_weights',
    )

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        # One time above the quantile is expected among as many.
        self._min_count = max(_MIN_COUNT, 1.0 / (1.0 - quantile))
        self._weights = [0.0] * _BUCKETS
        # Sum of the weights, which are relative to that of a time recorded at
        # the epoch.
        self._total = 0.0
        self._epoch = 0.0
        self._cached_s: float | None = None
        self._cached_until = -math.inf

    def record(self, time_s: float, now: float) -> None:
        """Record a time in seconds that ended now."""
        weight = self._weight(now)
        if weight > _MAX_WEIGHT:
            self._weights = [item / weight for item in self._weights]
            self._total /= weight
            self._epoch = now
            weight = 1.0
        index = 0
        if time_s > _LOWEST_S:
            steps = math.log(time_s / _LOWEST_S) / math.log(_GROWTH)
            index = min(_BUCKETS - 1, math.ceil(steps))
        self._weights[index] += weight
        self._total += weight

    def value_s(self, now: float) -> float | None:
        """Return the quantile in seconds; None with too few recent times."""
        if now < self._cached_until:
            return self._cached_s
        self._cached_until = now + _CACHE_S
        self._cached_s = self._compute(now)
        return self._cached_s

    def _compute(self, now: float) -> float | None:
        if self._total < self._min_count * self._weight(now):
            return None
        above = (1.0 - self._quantile) * self._total
        index = _BUCKETS
        while index > 1 and above >= 0.0:
            index -= 1
            above -= self._weights[index]
        return float(_LOWEST_S * _GROWTH**index)

    def _weight(self, now: float) -> float:
        # A few thousand half-lives without a record would overflow.
        half_lives = min(1000.0, (now - self._epoch) / _HALF_LIFE_S)
        return float(2.0**half_lives)


class _ServiceBudget:
    __slots__ = ('pause_s', 'paused_until', 'tokens')

    def __init__(self) -> None:
        self.tokens = 0.0
        self.pause_s = 0.0
        self.paused_until = -math.inf


class HedgePolicy:
    """Delays and budgets of the hedges of one sender.

    Parameters
    ----------
    settings : HedgeSettings
        Limits of the operator; the share is above 0.
    """

    __slots__ = ('_budgets', '_settings', '_times')

    def __init__(self, settings: HedgeSettings) -> None:
        self._settings = settings
        self._times: dict[str, DecayingQuantile] = {}
        self._budgets: dict[str, _ServiceBudget] = {}

    def record(self, route: str, time_s: float, now: float) -> None:
        """Record the time in seconds until a response on a route.

        For an attempt that was cancelled because its hedge responded, it is
        the time until then.
        """
        times = self._times.get(route)
        if times is None:
            if len(self._times) >= _MAX_ROUTES:
                # The route that was seen first.
                del self._times[next(iter(self._times))]
            times = DecayingQuantile(self._settings.quantile)
            self._times[route] = times
        times.record(time_s, now)

    def delay_s(self, route: str, now: float) -> float | None:
        """Return the delay of a hedge in seconds.

        Returns
        -------
        float or None
            None while too few times of the route are known.
        """
        times = self._times.get(route)
        value_s = None if times is None else times.value_s(now)
        return None if value_s is None else max(_MIN_DELAY_S, value_s)

    def count_call(self, service: str) -> None:
        """Add the share of one call to the budget of its service."""
        budget = self._budget(service)
        budget.tokens = min(_MAX_BURST, budget.tokens + self._settings.share)

    def refusal(self, service: str, now: float) -> str:
        """Return why a service gets no hedge now; empty if it may."""
        budget = self._budget(service)
        if now < budget.paused_until:
            return PAUSED
        return '' if budget.tokens >= 1.0 else NO_BUDGET

    def take(self, service: str) -> None:
        """Take a hedge from the budget, after `refusal` has given none."""
        self._budget(service).tokens -= 1.0

    def refund(self, service: str, now: float) -> None:
        """Return a hedge that was rejected, and pause those of its service."""
        budget = self._budget(service)
        budget.tokens = min(_MAX_BURST, budget.tokens + 1.0)
        budget.pause_s = min(
            _MAX_PAUSE_S, max(_FIRST_PAUSE_S, 2.0 * budget.pause_s)
        )
        budget.paused_until = now + budget.pause_s

    def end_pause(self, service: str) -> None:
        """Record that a hedge was accepted."""
        self._budget(service).pause_s = 0.0

    def _budget(self, service: str) -> _ServiceBudget:
        budget = self._budgets.get(service)
        if budget is None:
            if len(self._budgets) >= _MAX_SERVICES:
                self._budgets.clear()
            budget = _ServiceBudget()
            self._budgets[service] = budget
        return budget
