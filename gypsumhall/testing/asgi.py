"""Calls ASGI applications without a server, for tests with a mock clock."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterable


async def call(
    application: Any,
    method: str,
    path: str,
    headers: Iterable[tuple[bytes, bytes]],
) -> int:
    """Send a request without a body and return the response status.

    Parameters
    ----------
    application : callable
        ASGI application.
    method, path : str
        Method and path of the request; the path has no query string.
    headers : iterable of (bytes, bytes)
        Headers with lower-case names.
    """
    messages: list[dict[str, Any]] = []

    async def send(message: dict[str, Any]) -> None:
        messages.append(message)

    scope = {
        'type': 'http',
        'http_version': '1.1',
        'method': method,
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'headers': list(headers),
    }
    await application(scope, trio.sleep_forever, send)
    return int(messages[0]['status'])
