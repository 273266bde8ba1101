"""Binomial distribution of the number of faults among independent calls."""

from __future__ import annotations

import math

_NEGLIGIBLE = 1e-15
"""The sum ends at the first term beyond the mean that is below this value."""


def tail_probability(trials: int, successes: int, rate: float) -> float:
    """Return the probability of at least `successes` successes.

    Parameters
    ----------
    trials, successes : int
        Number of independent trials and of successes.
    rate : float
        Probability of a success in each trial, above 0.
    """
    if rate >= 1.0:
        return 1.0
    total = 0.0
    for count in range(successes, trials + 1):
        log = (
            math.lgamma(trials + 1)
            - math.lgamma(count + 1)
            - math.lgamma(trials - count + 1)
            + count * math.log(rate)
            + (trials - count) * math.log1p(-rate)
        )
        term = math.exp(log)
        total += term
        if term < _NEGLIGIBLE and count > trials * rate:
            break
    return min(1.0, total)
