"""Headers and paths of the platform's HTTP interfaces."""

from __future__ import annotations

from gypsumhall.services._calls import Dialect

READY_PATH = '/v1/readyz'
"""Path of the readiness probe, which is sent once a second."""

DIALECT = Dialect(
    deadline=b'gypsumhall-timeout-ms',
    outcome=b'',
    key=b'',
    request_id=b'gypsumhall-request-id',
    caller_service=b'gypsumhall-caller-service',
    expected_instance=b'gypsumhall-expected-instance',
    instance=b'gypsumhall-instance-id',
    not_executed=b'gypsumhall-not-executed',
    warmup_remaining=b'gypsumhall-warmup-remaining',
    tenant_key=b'gypsumhall-key',
    tenant=b'gypsumhall-tenant',
    server_load=b'gypsumhall-server-load',
    status_503_means_not_run=True,
    buffer_responses=True,
    literal_prefixes=True,
)
"""Headers of callers and backend servers on the platform."""
