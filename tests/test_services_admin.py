"""Tests of the limits of the listener for operators and heartbeats."""

from __future__ import annotations

from typing import Any

import trio

from gypsumhall.services import _admin
from gypsumhall.services._protocols import AdminRequest
from gypsumhall.services._protocols import AdminResponse

_PART = bytes(64 * 1024)


async def _echo(request: AdminRequest) -> AdminResponse:
    return AdminResponse(200, b'%d' % len(request.body))


async def test_total_size_of_request_bodies_is_limited(
    autojump_clock: Any,
) -> None:
    """Guards against slow request bodies that together fill the memory."""
    admin = _admin.AdminService('127.0.0.1:0')
    admin.add_route('PUT', '/a', _echo)
    buffered_bytes = 0
    peak_bytes = 0
    statuses: list[int] = []

    async def request(size: int) -> None:
        remaining_bytes = size
        own_bytes = 0

        async def receive() -> dict[str, Any]:
            nonlocal remaining_bytes, own_bytes, buffered_bytes, peak_bytes
            await trio.sleep(0.1)
            remaining_bytes -= len(_PART)
            own_bytes += len(_PART)
            buffered_bytes += len(_PART)
            peak_bytes = max(peak_bytes, buffered_bytes)
            return {
                'type': 'http.request',
                'body': _PART,
                'more_body': remaining_bytes > 0,
            }

        async def send(event: dict[str, Any]) -> None:
            nonlocal buffered_bytes, own_bytes
            buffered_bytes -= own_bytes
            own_bytes = 0
            if 'status' in event:
                statuses.append(event['status'])

        scope = {
            'type': 'http',
            'method': 'PUT',
            'path': '/a',
            'query_string': b'',
            'headers': [],
        }
        await admin._application(scope, receive, send)

    async with trio.open_nursery() as nursery:
        for _ in range(_admin.MAX_REQUESTS):
            nursery.start_soon(request, _admin.MAX_BODY_BYTES)
    assert peak_bytes <= 16 * 1024 * 1024 + len(_PART)
    assert len(statuses) == _admin.MAX_REQUESTS
    assert set(statuses) == {200, 503}
    # The budget of all requests that have ended is available again.
    statuses.clear()
    await request(_admin.MAX_BODY_BYTES)
    assert statuses == [200]
