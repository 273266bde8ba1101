"""Service ``metrics``: the metric registry of a daemon."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import aioprometheus
from aioprometheus.renderer import render as render_registry
import trio

from gypsumhall._errors import GypsumhallError
from gypsumhall.services._protocols import AdminResponse

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumhall.kernel import Kernel
    from gypsumhall.services._protocols import AdminHandler
    from gypsumhall.services._protocols import AdminRequest

MAX_SERIES = 1000
"""Limit on the combinations of labels of one metric.

Labels taken from requests or peers must not exhaust the memory.
"""

BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    float('inf'),
)
"""Upper bounds of histogram buckets, in seconds."""


class MetricError(GypsumhallError):
    """A metric was used as a kind that differs from the one it has."""

    code = 'metric'


class _Metric:
    """A collector with a limit on the number of its series.

    The increments of a counter are summed here and passed to the collector
    when the metrics are read, because the collector takes 9 us for each
    increment and a call causes several.
    """

    __slots__ = (
        '_collector',
        '_dropped',
        '_is_counter',
        '_known_series',
        '_pending_counts',
    )

    def __init__(self, collector: Any, dropped: aioprometheus.Counter) -> None:
        self._collector = collector
        self._dropped = dropped
        self._known_series: set[tuple[tuple[str, str], ...]] = set()
        self._pending_counts: dict[tuple[tuple[str, str], ...], float] = {}
        self._is_counter = isinstance(collector, aioprometheus.Counter)

    @property
    def collector(self) -> Any:
        return self._collector

    def add(self, value: float = 1.0, **labels: str) -> None:
        """Add to a counter or gauge, or record a value in a histogram."""
        if not self._is_counter:
            if self._admit_series(labels):
                self._collector.add(labels, value)
            return
        series = tuple(labels.items())
        count = self._pending_counts.get(series)
        if count is None:
            if not self._admit_series(labels):
                return
            count = 0.0
        self._pending_counts[series] = count + value

    def flush(self) -> None:
        """Pass the pending counts to the collector."""
        for series, count in self._pending_counts.items():
            if count:
                self._collector.add(dict(series), count)
                self._pending_counts[series] = 0.0

    def set(self, value: float, **labels: str) -> None:
        """Set a gauge.

        Raises
        ------
        MetricError
            If the metric is not a gauge.
        """
        if not isinstance(self._collector, aioprometheus.Gauge):
            raise MetricError(
                f'metric {self._collector.name!r} is a '
                f'{self._collector.kind.name}; only a gauge can be set'
            )
        if self._admit_series(labels):
            self._collector.set(labels, value)

    def _admit_series(self, labels: dict[str, str]) -> bool:
        series = tuple(sorted(labels.items()))
        if series in self._known_series:
            return True
        if len(self._known_series) >= MAX_SERIES:
            self._dropped.add({'metric': self._collector.name}, 1)
            return False
        self._known_series.add(series)
        return True


class MetricRegistry:
    """Counters, gauges and histograms by name."""

    name = 'metrics'
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._dropped = aioprometheus.Counter(
            'gypsumhall_metrics_dropped_total',
            'Values dropped because a metric has too many combinations of '
            'labels',
            registry=self._registry,
        )
        self._metrics: dict[str, _Metric] = {}

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Do nothing until cancelled; other services record the values."""
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Return at once, as nothing is buffered."""

    def counter(self, name: str, description: str) -> _Metric:
        """Return the counter of this name; create it if it is missing."""
        return self._metric(aioprometheus.Counter, name, description)

    def gauge(self, name: str, description: str) -> _Metric:
        """Return the gauge of this name; create it if it is missing."""
        return self._metric(aioprometheus.Gauge, name, description)

    def histogram(self, name: str, description: str) -> _Metric:
        """Return the histogram of this name; its values are in seconds."""
        return self._metric(
            aioprometheus.Histogram, name, description, buckets=BUCKETS_S
        )

    def render(self, accept: Sequence[str] = ()) -> tuple[bytes, str]:
        """Return all values in a format that the client accepts.

        Parameters
        ----------
        accept : sequence of str
            Values of the ``Accept`` headers.

        Returns
        -------
        tuple of bytes and str
            Body and content type.
        """
        for metric in self._metrics.values():
            metric.flush()
        body, headers = render_registry(self._registry, list(accept))
        return body, headers['Content-Type']

    def _metric(
        self, kind: type, name: str, description: str, **options: Any
    ) -> _Metric:
        metric = self._metrics.get(name)
        if metric is None:
            collector = kind(
                name, description, registry=self._registry, **options
            )
            metric = self._metrics[name] = _Metric(collector, self._dropped)
        elif not isinstance(metric.collector, kind):
            raise MetricError(
                f'metric {name!r} is a {metric.collector.kind.name}, not a '
                f'{kind.__name__.lower()}'
            )
        return metric


def metrics_handler(metrics: MetricRegistry) -> AdminHandler:
    """Return the handler of ``GET /metrics``."""

    async def handle(request: AdminRequest) -> AdminResponse:
        accept = request.headers.get('accept')
        body, content_type = metrics.render([accept] if accept else [])
        return AdminResponse(200, body, content_type)

    return handle
