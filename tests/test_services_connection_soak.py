"""Test of the promises to callers under a random load and a stop."""

from __future__ import annotations

import pytest
import trio

from gypsumhall.services import _http_server
from gypsumhall.testing.connection_soak import ConnectionSoak

_TIME_LIMIT_S = 40.0


@pytest.mark.parametrize('seed', [3, 6])
async def test_every_request_that_was_read_or_run_is_answered(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Unless its caller left or an earlier response announced the close."""
    soak = ConnectionSoak(seed)
    end_body = _http_server.Exchange.end_body

    def record_end(exchange: _http_server.Exchange) -> None:
        soak.read.add(dict(exchange.head.headers)[b'x-request'].decode())
        end_body(exchange)

    monkeypatch.setattr(_http_server.Exchange, 'end_body', record_end)
    with trio.fail_after(_TIME_LIMIT_S):
        await soak.run()
    assert soak.violations() == []
