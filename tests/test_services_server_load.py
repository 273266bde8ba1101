"""Tests of the load that backend servers state in status checks."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest

from gypsumhall.core._checkins import BackendInstance
from gypsumhall.platform import DIALECT
from gypsumhall.services import _backend_client
from gypsumhall.services import _calls
from gypsumhall.services._status_check import HttpStatusCheck
from gypsumhall.testing import builders

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import AsyncIterator
    from collections.abc import Callable

_LOAD = (b'gypsumhall-server-load', b'3,0,3,250')


class _Client:
    """Client of a backend server that sends one response to all requests."""

    def __init__(self, status: int, headers: _calls.Headers) -> None:
        self.address = '127.0.0.1:1'
        self._status = status
        self._headers = headers

    @contextlib.asynccontextmanager
    async def request(
        self,
        method: str,
        path: str,
        headers: _calls.Headers,
        body: bytes,
        on_send: Callable[[], None],
        on_abort: object = None,
    ) -> AsyncIterator[_backend_client.BackendResponse]:
        yield _backend_client.BackendResponse(
            self._status, self._headers, 0, _empty_body()
        )

    async def close_idle(self, *, all_connections: bool = False) -> None:
        """Do nothing, as there are no connections."""


async def _empty_body() -> AsyncGenerator[bytes, None]:
    yield b''


@pytest.mark.parametrize(
    ('status', 'instance', 'is_reported'),
    [
        (200, b'i-1', True),
        (503, b'i-1', True),
        (200, b'i-2', False),
        (200, b'', False),
    ],
)
async def test_load_of_a_status_check_is_that_of_the_expected_process(
    status: int, instance: bytes, is_reported: bool
) -> None:
    """Guards against figures of another process at the same address."""
    headers = ((b'gypsumhall-instance-id', instance), _LOAD)
    seen: list[_calls.Headers] = []
    check = HttpStatusCheck(
        DIALECT,
        lambda address: _Client(status, headers),
        on_server_load=seen.append,
    )
    backend = BackendInstance(
        'i-1', 1, '127.0.0.1:1', builders.build_endpoint()
    )
    await check.check(backend, '/status')
    assert seen == ([headers] if is_reported else [])
