"""Limit on the requests that this daemon sends to a cold backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from gypsumhall.core._cold_limit import ColdBounds
from gypsumhall.core._cold_limit import ColdLimit

if TYPE_CHECKING:
    from gypsumhall.core._cold_limit import ColdLoad
    from gypsumhall.services import _protocols

_DEFAULT_BOUNDS = ColdBounds()

_MIN_LONGEST_S = 10.0
"""Smallest limit in seconds of a stated warm-up time, for services whose usual
one is not configured."""


class ColdMonitor:
    """Applies `ColdLimit` with the configured rate, and reports its effect.

    Heartbeats and status checks tell it how long the backend server remains
    cold; the runner asks it before each request.

    Parameters
    ----------
    bounds : ColdBounds
        Bound on the requests per second.
    """

    def __init__(self, bounds: ColdBounds = _DEFAULT_BOUNDS) -> None:
        self._bounds = bounds
        self._limit = ColdLimit(0.0, bounds)
        self._service = ''
        self._was_cold = False
        self._distribution: _protocols.Distribution | None = None
        self._events: _protocols.Events
        self._rejections: _protocols.Metric
        self._ignored: _protocols.Metric

    @property
    def rate_per_s(self) -> float:
        """Requests per second while cold; 0 if there is no limit."""
        if self._distribution is None:
            return 0.0
        snapshot = self._distribution.snapshot
        service = None if snapshot is None else snapshot.service(self._service)
        return 0.0 if service is None else service.cold_rate_per_s

    def start(
        self,
        distribution: _protocols.Distribution,
        events: _protocols.Events,
        metrics: _protocols.Metrics,
    ) -> None:
        """Begin to count; call when the daemon starts."""
        self._limit = ColdLimit(trio.current_time(), self._bounds)
        self._distribution = distribution
        self._events = events
        self._rejections = metrics.counter(
            'gypsumhall_cold_rejections_total',
            'Calls that were rejected because the backend server is cold.',
        )
        self._ignored = metrics.counter(
            'gypsumhall_backend_headers_ignored_total',
            'Headers of backend servers that could not be parsed.',
        )

    def set_service(self, service: str) -> None:
        """Set the service of the backend server."""
        self._service = service

    def delay_s(self) -> float:
        """Return the time in seconds until a request may be sent."""
        rate_per_s = self.rate_per_s
        if not rate_per_s:
            return 0.0
        return self._limit.delay_s(trio.current_time(), rate_per_s)

    def load(self) -> ColdLoad | None:
        """Return the state for senders; None unless requests are limited."""
        rate_per_s = self.rate_per_s
        if not rate_per_s:
            return None
        return self._limit.load(trio.current_time(), rate_per_s)

    def record_request(self) -> None:
        """Count a request or status check that is sent."""
        self._limit.record_request(trio.current_time())

    def record_rejection(self) -> None:
        """Count a call that was rejected because of the limit."""
        self._rejections.add(1.0)

    def record_heartbeat(
        self, process: tuple[str, int], warmup_s: float
    ) -> None:
        """Record the remaining warm-up time, in seconds, by a heartbeat.

        Parameters
        ----------
        process : tuple of (str, int)
            Id and start time of the process that sent it.
        warmup_s : float
            Remaining warm-up time in seconds.
        """
        now = trio.current_time()
        self._limit.record_heartbeat(now, self._bound(warmup_s), process)
        self._log_change('heartbeat')

    def record_check(self, warmup_s: float) -> None:
        """Record the remaining warm-up time by a status check."""
        self._limit.record_check(trio.current_time(), self._bound(warmup_s))
        self._log_change('status-check')

    def record_malformed(self, header: bytes) -> None:
        """Count a header that could not be parsed."""
        self._ignored.add(1.0, header=header.decode('latin-1'))

    def forget(self, *, is_replaced: bool) -> None:
        """Take the backend server for cold until the next report.

        Parameters
        ----------
        is_replaced : bool
            Whether the process that sent heartbeats seems to have ended.
        """
        self._limit.forget(trio.current_time(), is_replaced=is_replaced)
        self._log_change('no-report')

    def _bound(self, warmup_s: float) -> float:
        """Return a stated time, limited in case that it is wrong.

        Heartbeats come every 1.5 s, so a longer time is stated again.
        """
        if self._distribution is None:
            return warmup_s
        snapshot = self._distribution.snapshot
        service = None if snapshot is None else snapshot.service(self._service)
        longest_s = 0.0 if service is None else service.warmup_s
        return min(warmup_s, max(longest_s, _MIN_LONGEST_S))

    def _log_change(self, cause: str) -> None:
        load = self.load()
        is_cold = load is not None
        if load is not None and not self._was_cold:
            self._events.emit(
                'endpoint-cold',
                service=self._service,
                cause=cause,
                remaining_ms=load.remaining_ms,
                rate_per_s=self.rate_per_s,
            )
        self._was_cold = is_cold
