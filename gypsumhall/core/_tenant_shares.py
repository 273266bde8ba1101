"""Recent service time of each tenant at one endpoint.

Load pattern: one of 86 tenants sends 7.5 times its usual rate for seconds, and
its callers return as soon as they are rejected. In a queue that does not know
tenants, a tenant's share of the slots grows with the number of its attempts.
``tests/test_core_tenant_load.py`` simulates it.
"""

from __future__ import annotations

import math

_DECAY_S = 5.0
"""Time in seconds after which the weight of a service time is 1/e."""

MAX_TENANTS = 256
"""Tenants with state; bounds the memory to about 50 KB per endpoint."""

_MIN_USED_S = 0.001
"""Service time in seconds below which a tenant has no state."""

_PRUNE_INTERVAL_S = 1.0
"""Interval in seconds at which the state of idle tenants is dropped."""


class TenantShares:
    """Service time that each tenant has been given, with exponential decay.

    All times are in seconds. The caller passes the current time.
    """

    __slots__ = ('_pruned_at', '_total_s', '_updated_at', '_used_s')

    def __init__(self) -> None:
        # All values are as of the same time, so that they decay together.
        self._used_s: dict[str, float] = {}
        self._total_s = 0.0
        self._updated_at = -math.inf
        self._pruned_at = -math.inf

    def __len__(self) -> int:
        return len(self._used_s)

    def charge(self, now: float, tenant: str, service_time_s: float) -> None:
        """Add the service time of a call that begins to run."""
        if now - self._pruned_at >= _PRUNE_INTERVAL_S:
            self._prune(now)
        added_s = service_time_s / self._decay(now)
        self._used_s[tenant] = self._used_s.get(tenant, 0.0) + added_s
        self._total_s += added_s
        if len(self._used_s) > MAX_TENANTS:
            least = min(self._used_s, key=self._used_s.__getitem__)
            self._total_s -= self._used_s.pop(least)

    def used_s(self, now: float, tenant: str) -> float:
        """Return the recent service time of a tenant."""
        used_s = self._used_s.get(tenant)
        return used_s * self._decay(now) if used_s else 0.0

    def mean_s(self, now: float) -> float:
        """Return the mean over the tenants with state; 0 for none."""
        if not self._used_s:
            return 0.0
        return self._total_s * self._decay(now) / len(self._used_s)

    def _decay(self, now: float) -> float:
        return math.exp(min(0.0, (self._updated_at - now) / _DECAY_S))

    def _prune(self, now: float) -> None:
        decay = self._decay(now)
        self._used_s = {
            tenant: used_s * decay
            for tenant, used_s in self._used_s.items()
            if used_s * decay >= _MIN_USED_S
        }
        self._total_s = sum(self._used_s.values())
        self._updated_at = self._pruned_at = now
