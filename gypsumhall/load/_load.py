"""Open-loop load generator.

Requests start at their arrival times, regardless of whether earlier ones have
completed.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
import json
from random import Random
import time
from typing import Any

from hdrh.histogram import HdrHistogram
import msgspec
import trio

from gypsumhall._decode import decode
from gypsumhall._errors import GypsumhallError
from gypsumhall._errors import MalformedDataError
from gypsumhall.services import _backend_client

# The histograms cover one microsecond to ten minutes with three significant
# digits.
_MAX_LATENCY_US = 600_000_000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_BASELINE = 'baseline'
# Violations that the report describes individually.
_MAX_EXAMPLES = 20


class RequestKind(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A kind of request.

    Parameters
    ----------
    name : str
        Name of the kind in the report.
    host : str
        Header ``Host``.
    path : str
        Path with query.
    method : str
        HTTP method.
    weight : float
        Share of the requests, relative to the other kinds.
    keyed : bool
        Whether each request carries an ``Idempotency-Key``.
    idempotent : bool
        Whether a request may be executed more than once.
    body_bytes : int
        Size of the request body.
    deadline_ms : int
        Header ``Gypsumhall-Deadline-Ms``; 0 omits it.
    """

    name: str
    host: str
    path: str = '/'
    method: str = 'GET'
    weight: float = 1.0
    keyed: bool = False
    idempotent: bool = True
    body_bytes: int = 0
    deadline_ms: int = 0


class LoadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a load generator.

    Parameters
    ----------
    targets : tuple of str
        Caller addresses of daemons, ``<ip>:<port>``.
    kinds : tuple of RequestKind
        Kinds of requests.
    rate_per_s : float
        Mean arrivals per second; the arrivals are a Poisson process.
    seconds : float
        Time in seconds during which requests are started.
    max_requests : int
        Maximum number of requests that are started.
    max_in_flight : int
        Limit of requests in flight; further ones are not sent but counted
        as ``skipped``.
    timeout_s : float
        Time in seconds after which a request times out.
    seed : int
        Seed of arrival times, kinds and targets.
    baseline : tuple of str
        Addresses of backend servers that are called directly.
    baseline_share : float
        Share of the requests that are sent to `baseline`.
    check_runs : tuple of str
        Addresses of stand-in backend servers from which the number of runs
        of each request is fetched at the end.
    run_logs : tuple of str
        Files in which stand-in backend servers record the requests that
        they execute. They include the runs on servers that were killed.
    """

    targets: tuple[str, ...]
    kinds: tuple[RequestKind, ...]
    rate_per_s: float = 100.0
    seconds: float = 10.0
    max_requests: int = 1_000_000
    max_in_flight: int = 5_000
    timeout_s: float = 30.0
    seed: int = 0
    baseline: tuple[str, ...] = ()
    baseline_share: float = 0.1
    check_runs: tuple[str, ...] = ()
    run_logs: tuple[str, ...] = ()


class Load:
    """Sends requests and reports their outcomes and latencies.

    Parameters
    ----------
    settings : LoadSettings
        Settings of the load.
    """

    def __init__(self, settings: LoadSettings) -> None:
        self._settings = settings
        self._rng = Random(settings.seed)
        # Request ids must be unique across loads against the same servers.
        self._id_prefix = f'{settings.seed}-{time.time_ns():x}'
        self._clients: dict[str, _backend_client.BackendClient] = {}
        self._in_flight = 0
        self._result_counts: dict[str, Counter[str]] = defaultdict(Counter)
        self._latency = {
            group: HdrHistogram(1, _MAX_LATENCY_US, 3)
            for group in ('calls', _BASELINE)
        }
        self._violations: Counter[str] = Counter()
        self._violation_examples: list[dict[str, str]] = []
        self._rejection_reasons: Counter[str] = Counter()
        self._outcomes: dict[str, tuple[RequestKind, str, str]] = {}
        self._run_counts: Counter[str] = Counter()

    async def run(self) -> dict[str, Any]:
        """Send all requests and check the responses.

        Returns
        -------
        dict
            Report that can be encoded as JSON.
        """
        settings = self._settings
        weights = [kind.weight for kind in settings.kinds]
        started_at = trio.current_time()
        arrives_at = started_at
        request_count = 0
        async with trio.open_nursery() as nursery:
            while request_count < settings.max_requests:
                arrives_at += self._rng.expovariate(settings.rate_per_s)
                if arrives_at - started_at > settings.seconds:
                    break
                kind = self._rng.choices(settings.kinds, weights)[0]
                group, addresses = 'calls', settings.targets
                if settings.baseline and (
                    self._rng.random() < settings.baseline_share
                ):
                    group, addresses = _BASELINE, settings.baseline
                address = self._rng.choice(addresses)
                await trio.sleep_until(arrives_at)
                request_count += 1
                if self._in_flight >= settings.max_in_flight:
                    self._result_counts[kind.name]['skipped'] += 1
                    continue
                nursery.start_soon(
                    self._request,
                    f'{request_count}',
                    kind,
                    group,
                    address,
                    arrives_at,
                )
        elapsed_s = trio.current_time() - started_at
        unchecked = []
        for address in settings.check_runs:
            try:
                await self._fetch_runs(address)
            except GypsumhallError:
                unchecked.append(address)
        for path in settings.run_logs:
            text = await trio.Path(path).read_text()
            self._run_counts.update(text.splitlines())
        self._check_runs(complete=not unchecked)
        for client in self._clients.values():
            await client.close_idle(all_connections=True)
        return self._report(request_count, elapsed_s) | {
            'unchecked': unchecked
        }

    def _client(self, address: str) -> _backend_client.BackendClient:
        client = self._clients.get(address)
        if client is None:
            client = _backend_client.BackendClient(address)
            self._clients[address] = client
        return client

    async def _request(
        self,
        sequence_number: str,
        kind: RequestKind,
        group: str,
        address: str,
        arrives_at: float,
    ) -> None:
        request_id = f'{self._id_prefix}-{sequence_number}'
        headers = [
            (b'host', kind.host.encode()),
            (b'x-request', request_id.encode()),
        ]
        if kind.keyed:
            headers.append((b'idempotency-key', request_id.encode()))
        if kind.deadline_ms:
            headers.append(
                (b'gypsumhall-deadline-ms', b'%d' % kind.deadline_ms)
            )
        self._in_flight += 1
        result, detail = 'timeout', ''
        try:
            with trio.move_on_after(self._settings.timeout_s):
                result, detail = await self._exchange(
                    request_id, kind, address, tuple(headers)
                )
        finally:
            self._in_flight -= 1
        elapsed_us = int((trio.current_time() - arrives_at) * 1e6)
        if result == 'ok':
            value = min(max(1, elapsed_us), _MAX_LATENCY_US)
            self._latency[group].record_value(value)
        name = kind.name if group == 'calls' else _BASELINE
        self._result_counts[name][result] += 1
        if self._settings.check_runs or self._settings.run_logs:
            detail = f'{address} {detail}'
            self._outcomes[request_id] = (kind, result, detail)

    async def _exchange(
        self,
        request_id: str,
        kind: RequestKind,
        address: str,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> tuple[str, str]:
        body = b'x' * kind.body_bytes
        content = bytearray()
        try:
            async with self._client(address).request(
                kind.method, kind.path, headers, body, lambda: None
            ) as response:
                async for data in response.chunks():
                    content += data
        except GypsumhallError as error:
            return error.code, str(error)
        for name, value in response.headers:
            if name == b'gypsumhall-outcome':
                text = content.decode(errors='replace')
                result = f'refused-{value.decode()}'
                self._rejection_reasons[
                    f'{kind.name} {result} {_error_code(content)}'
                ] += 1
                return result, text
        if response.status >= 400:
            return f'status-{response.status}', ''
        if kind.method != 'HEAD':
            self._check_response(request_id, bytes(content))
        return 'ok', ''

    def _check_response(self, request_id: str, content: bytes) -> None:
        """Check that a response of a stand-in belongs to the request."""
        try:
            echoed = decode(json.loads, content, 'response')['id']
        except (MalformedDataError, KeyError, TypeError):
            self._record_violation(
                'not-whole', request_id, repr(content[:200])
            )
            return
        if echoed != request_id:
            self._record_violation(
                'crossed', request_id, f'response has id {echoed!r}'
            )

    def _record_violation(
        self, name: str, request_id: str, detail: str
    ) -> None:
        self._violations[name] += 1
        if len(self._violation_examples) < _MAX_EXAMPLES:
            self._violation_examples.append(
                {'violation': name, 'request': request_id, 'detail': detail}
            )

    async def _fetch_runs(self, address: str) -> None:
        content = bytearray()
        async with self._client(address).request(
            'GET', '/runs', ((b'host', b'runs'),), b'', lambda: None
        ) as response:
            async for data in response.chunks():
                content += data
        self._run_counts.update(json.loads(content))

    def _check_runs(self, *, complete: bool) -> None:
        """Compare the outcomes with the number of runs on the servers.

        The counts of a server that has exited may be missing, so a request
        without a run is a violation only if the counts are complete.
        """
        for request_id, (kind, result, detail) in self._outcomes.items():
            run_count = self._run_counts[request_id]
            description = f'{kind.name}: {result}, {run_count} runs, {detail}'
            if run_count > 1 and not kind.idempotent:
                self._record_violation('ran-twice', request_id, description)
            if run_count and result == 'refused-not-run':
                self._record_violation(
                    'false-not-run', request_id, description
                )
            if complete and not run_count and result in ('ok', 'refused-run'):
                self._record_violation('false-run', request_id, description)

    def _report(self, request_count: int, elapsed_s: float) -> dict[str, Any]:
        latency = {
            group: _summarize(histogram)
            for group, histogram in self._latency.items()
            if histogram.get_total_count()
        }
        report: dict[str, Any] = {
            'requests': request_count,
            'elapsed_s': round(elapsed_s, 3),
            'results': {
                name: dict(counts)
                for name, counts in self._result_counts.items()
            },
            'latency_ms': latency,
            'violations': dict(self._violations),
            'examples': self._violation_examples,
            'reasons': dict(self._rejection_reasons),
        }
        if len(latency) == 2:
            report['added_ms'] = {
                name: round(value - latency[_BASELINE][name], 3)
                for name, value in latency['calls'].items()
                if name.startswith('p')
            }
        return report


def _error_code(content: bytearray) -> str:
    try:
        return str(decode(json.loads, bytes(content), 'response')['code'])
    except (MalformedDataError, KeyError, TypeError):
        return ''


def _summarize(histogram: HdrHistogram) -> dict[str, float]:
    summary = {
        f'p{percentile:g}': histogram.get_value_at_percentile(percentile)
        / 1000
        for percentile in _PERCENTILES
    }
    summary['max'] = histogram.get_max_value() / 1000
    summary['count'] = histogram.get_total_count()
    return summary
