"""Reads event logs and reports what is malformed, missing or unreadable."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from gypsumhall._decode import decode
from gypsumhall._errors import Finding
from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import SourceLocation
from gypsumhall.services._events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

MAX_RESPONSE_BYTES = 128 * 1024 * 1024
"""Maximum response of a daemon; 4,096 events of 16 KiB need 64 MiB."""

FETCH_TIMEOUT_S = 5.0

_CONCURRENT_FETCHES = 16

_DECODER = msgspec.json.Decoder(Event)


@dataclass(slots=True)
class Logs:
    """Events of several logs, and findings about the logs.

    Parameters
    ----------
    events : list of Event
        Events in the order in which they were read.
    findings : list of Finding
        Malformed lines, missing events and unreadable logs.
    unreadable_count : int
        Number of logs that could not be read at all.
    """

    events: list[Event] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    unreadable_count: int = 0

    def add_lines(self, source: str, data: bytes) -> None:
        """Add a log of JSON lines.

        Parameters
        ----------
        source : str
            Name of the log in findings.
        data : bytes
            Content of the log; empty lines are skipped.
        """
        last_indexes: dict[str, int] = {}
        for line_number, line in enumerate(data.split(b'\n'), 1):
            if not line.strip():
                continue
            location = SourceLocation(source, line_number, 1)
            try:
                event = decode(_decode_event, line, 'event')
            except MalformedDataError as error:
                message = f'{error}; the line starts with {line[:60]!r}'
                self._report('malformed-line', message, location)
                continue
            self.events.append(event)
            self._check_index(event, last_indexes, location)

    def add_unreadable(self, source: str, reason: object) -> None:
        """Report a log that cannot be read."""
        self.unreadable_count += 1
        self._report('unreadable-log', str(reason), SourceLocation(source))

    def _check_index(
        self,
        event: Event,
        last_indexes: dict[str, int],
        location: SourceLocation,
    ) -> None:
        """Report a gap between an event and its predecessor."""
        expected = last_indexes.get(event.daemon, 0) + 1
        # The index restarts at 1 when the process restarts.
        if event.index > expected:
            message = (
                f'events {expected} to {event.index - 1} of daemon '
                f'{event.daemon!r} are missing'
            )
            self._report('missing-events', message, location)
        last_indexes[event.daemon] = event.index

    def _report(
        self, code: str, message: str, location: SourceLocation
    ) -> None:
        self.findings.append(Finding(code, message, location))


def _decode_event(line: bytes) -> Event:
    event = _DECODER.decode(line)
    if not 0 < event.hlc < 1 << 64:
        raise ValueError(f'hlc is {event.hlc}, expected 1 to 2**64 - 1')
    return event


def read_files(logs: Logs, paths: Iterable[str]) -> None:
    """Add the logs in files; an unreadable file is reported as a finding."""
    for path in paths:
        try:
            with open(path, 'rb') as file:
                data = file.read()
        except OSError as error:
            logs.add_unreadable(path, error)
        else:
            logs.add_lines(path, data)


async def fetch_logs(
    logs: Logs,
    addresses: Sequence[str],
    *,
    network_backend: httpcore.AsyncNetworkBackend | None = None,
) -> None:
    """Fetch and add the logs that daemons keep in memory.

    A log that cannot be fetched is reported as a finding.

    Parameters
    ----------
    logs : Logs
        Receives the events and findings.
    addresses : sequence of str
        Admin addresses of the daemons, ``<ip>:<port>``.
    network_backend : httpcore.AsyncNetworkBackend, optional
        Replaces TCP in tests.
    """
    results: dict[str, bytes | Exception] = {}
    limiter = trio.CapacityLimiter(_CONCURRENT_FETCHES)

    async def fetch(address: str) -> None:
        async with limiter:
            try:
                with trio.fail_after(FETCH_TIMEOUT_S):
                    results[address] = await _fetch(pool, address)
            except trio.TooSlowError:
                results[address] = TimeoutError(
                    f'no complete response within {FETCH_TIMEOUT_S} s'
                )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
                ValueError,
            ) as error:
                results[address] = error

    async with (
        httpcore.AsyncConnectionPool(
            max_connections=_CONCURRENT_FETCHES,
            network_backend=network_backend,
        ) as pool,
        trio.open_nursery() as nursery,
    ):
        for address in addresses:
            nursery.start_soon(fetch, address)
    for address in addresses:
        result = results[address]
        if isinstance(result, bytes):
            logs.add_lines(address, result)
        else:
            reason = str(result) or type(result).__name__
            logs.add_unreadable(address, reason)


async def _fetch(pool: httpcore.AsyncConnectionPool, address: str) -> bytes:
    data = bytearray()
    async with pool.stream('GET', f'http://{address}/events') as response:
        if response.status != 200:
            raise ValueError(f'HTTP status {response.status}')
        async for chunk in response.aiter_stream():
            data += chunk
            if len(data) > MAX_RESPONSE_BYTES:
                raise ValueError(
                    f'response exceeds {MAX_RESPONSE_BYTES} bytes'
                )
    return bytes(data)
