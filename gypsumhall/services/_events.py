"""Service ``events``: the structured event log of a daemon."""

from __future__ import annotations

from collections import deque
import math
import os
import re
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

from loguru import logger
import msgspec
import trio

from gypsumhall.core._clock import HybridLogicalClock
from gypsumhall.services._protocols import AdminResponse
from gypsumhall.services._protocols import Distribution

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumhall.kernel import Kernel
    from gypsumhall.services._protocols import AdminHandler
    from gypsumhall.services._protocols import AdminRequest

MAX_STORED_EVENTS = 4096
"""Number of events stored in memory, which operators can request."""

MAX_PENDING_BYTES = 256 * 1024
"""Bytes of lines that are buffered while the reader of the log does not read;
further lines are counted and dropped."""

LINES_PER_S = 200
"""Largest average number of lines written per second; a burst may have the
lines of two seconds. A line takes about 0.05 ms, so this is 1 % of a core."""

MAX_EVENT_BYTES = 16 * 1024
"""Longest JSON line; the fields of a longer one are replaced by its size."""

# Codes of events that are exempt from the rate limit. Nothing else records why
# a request failed.
_UNLIMITED_CODES = frozenset(['request-failed', 'lines-omitted'])

_ROTATION_BYTES = 64 * 1024 * 1024
_RETENTION_FILES = 2
_CODE = re.compile(r'[a-z0-9]+(-[a-z0-9]+)*')


class Event(msgspec.Struct, frozen=True):
    """One event, as it is written to the log.

    Parameters
    ----------
    index : int
        Number of the event in its process, from 1.
    wall : float
        Unix time in seconds.
    hlc : int
        Hybrid logical clock.
    code : str
        Stable identifier.
    daemon, zone : str
        Id and availability zone of the daemon that emitted the event.
    version : int
        Installed configuration version; 0 for none.
    fields : dict
        Additional values.
    """

    index: int
    wall: float
    hlc: int
    code: str
    daemon: str
    zone: str
    version: int = 0
    fields: dict[str, Any] = {}


class NonBlockingWriter:
    """Writes lines to a file descriptor and never blocks.

    Parameters
    ----------
    descriptor : int
        Open file descriptor, for example that of the standard error stream.
        It is set to non-blocking.
    """

    __slots__ = ('_descriptor', '_dropped', '_pending')

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = bytearray()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write or buffer a line; drop it if the buffer is full."""
        data = line.encode()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self._flush()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._pending += data
        self._flush()

    def _flush(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The log has no reader any more.
                self._pending.clear()
                return
            del self._pending[:written]


class LineRateLimiter:
    """Limits the lines of a log per second, by a token bucket.

    Parameters
    ----------
    lines_per_s : float
        Lines that are allowed on average.
    """

    __slots__ = ('_lines_per_s', '_omitted', '_tokens', '_updated_at')

    _BURST_S = 2.0

    def __init__(self, lines_per_s: float) -> None:
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s * self._BURST_S
        self._updated_at: float | None = None
        self._omitted = 0

    def allow(self, now: float) -> bool:
        """Return whether a line may be written; count it otherwise."""
        updated_at = now if self._updated_at is None else self._updated_at
        self._updated_at = now
        refill = max(0.0, now - updated_at) * self._lines_per_s
        capacity = self._lines_per_s * self._BURST_S
        self._tokens = min(capacity, self._tokens + refill)
        if self._tokens < 1.0:
            self._omitted += 1
            return False
        self._tokens -= 1.0
        return True

    def pop_omitted(self) -> int:
        """Return the number of lines omitted since the last call."""
        omitted, self._omitted = self._omitted, 0
        return omitted


class EventLog:
    """Writes events as JSON lines and stores the latest in memory.

    Parameters
    ----------
    daemon, zone : str
        Id and zone of the daemon, part of each event.
    path : str
        File to append to; empty for the standard error stream, which is
        written to without blocking. A file is rotated at 64 MiB, and 2 old
        ones are retained.
    wall : callable
        Returns Unix time in seconds.
    lines_per_s : float
        Largest average number of lines written per second. Events of failed
        requests are exempt, but are dropped as well if the reader is slow.
    """

    name = 'events'
    requires: tuple[str, ...] = ()

    def __init__(
        self,
        daemon: str,
        zone: str,
        *,
        path: str = '',
        wall: Callable[[], float] = time.time,
        lines_per_s: float = math.inf,
    ) -> None:
        self._rate_limiter = LineRateLimiter(lines_per_s)
        self._writer: NonBlockingWriter | None = None
        self._daemon = daemon
        self._zone = zone
        self._path = path
        self._wall = wall
        self._clock = HybridLogicalClock(wall)
        self._stored_events: deque[Event] = deque(maxlen=MAX_STORED_EVENTS)
        self._index = 0
        self._kernel: Kernel | None = None
        self._distribution: Distribution | None = None
        self._logger = logger.bind(event_log=self)

    @property
    def clock(self) -> HybridLogicalClock:
        """Clock that orders the events of all processes."""
        return self._clock

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Write events until cancelled."""
        self._kernel = kernel
        sink = self._add_sink()
        try:
            task_status.started()
            await trio.sleep_forever()
        finally:
            logger.remove(sink)
            self._kernel = self._distribution = None

    async def drain(self) -> None:
        """Return at once, as events are written when they are emitted."""

    def emit(self, code: str, **fields: object) -> None:
        """Record one event.

        Parameters
        ----------
        code : str
            Stable identifier of lower-case words joined by hyphens.
        **fields
            Values that JSON can represent; others are written as text.

        Raises
        ------
        ValueError
            If the code is not such an identifier.
        """
        if not _CODE.fullmatch(code):
            raise ValueError(
                f'event code {code!r} is not made of lower-case words joined '
                'by hyphens'
            )
        self._index += 1
        event = Event(
            self._index,
            self._wall(),
            self._clock.now(),
            code,
            self._daemon,
            self._zone,
            self._version(),
            fields,
        )
        line = _encode(event)
        if len(line) > MAX_EVENT_BYTES:
            note = {'omitted_bytes': len(line)}
            event = msgspec.structs.replace(event, fields=note)
            line = _encode(event)
        self._stored_events.append(event)
        if code in _UNLIMITED_CODES:
            self._logger.info(line.decode())
        elif self._rate_limiter.allow(self._wall()):
            self._logger.info(line.decode())
            omitted = self._rate_limiter.pop_omitted()
            if omitted:
                self.emit('lines-omitted', lines=omitted)

    def since(self, index: int) -> list[Event]:
        """Return the stored events after an index, oldest first.

        The first one has a greater index than `index` + 1 if older events
        have been discarded.
        """
        return [event for event in self._stored_events if event.index > index]

    def lines_since(self, index: int) -> bytes:
        """Return the events after an index as JSON lines."""
        return b''.join(_encode(event) + b'\n' for event in self.since(index))

    def _add_sink(self) -> int:
        _exclude_events_from_default_log()
        options: dict[str, Any] = {
            'format': '{message}',
            'filter': lambda record: record['extra'].get('event_log') is self,
            'level': 'INFO',
        }
        if self._path:
            options['rotation'] = _ROTATION_BYTES
            options['retention'] = _RETENTION_FILES
            return logger.add(self._path, **options)
        try:
            descriptor = sys.stderr.fileno()
        except (OSError, ValueError):
            return logger.add(sys.stderr, **options)
        self._writer = NonBlockingWriter(descriptor)
        return logger.add(self._writer.write, **options)

    def _version(self) -> int:
        if self._distribution is None:
            # This service starts before the one that provides the version.
            if self._kernel is None or (
                'distribution' not in self._kernel.names
            ):
                return 0
            self._distribution = self._kernel.get('distribution', Distribution)
        snapshot = self._distribution.snapshot
        return 0 if snapshot is None else snapshot.version


def _exclude_events_from_default_log() -> None:
    """Exclude events and details from the log on the standard error stream.

    Details are frequent during faults, and this log waits for its reader.
    """
    try:
        logger.remove(0)
    except ValueError:
        # Already replaced by an earlier call or by the program.
        return
    logger.add(
        sys.stderr,
        filter=lambda record: 'event_log' not in record['extra'],
        level='INFO',
    )


def _encode(event: Event) -> bytes:
    try:
        return msgspec.json.encode(event, enc_hook=str)
    except (TypeError, ValueError, RecursionError, OverflowError):
        note = {'unencodable': repr(event.fields)[:1024]}
        return msgspec.json.encode(msgspec.structs.replace(event, fields=note))


def events_handler(events: EventLog) -> AdminHandler:
    """Return the handler of ``GET /events?since=<index>``.

    The response has one JSON object per line.
    """

    async def handle(request: AdminRequest) -> AdminResponse:
        text = request.query.get('since', '0')
        if not text.isdecimal():
            body = {
                'error': f'since is {text!r}, expected the index of an event'
            }
            return AdminResponse(400, msgspec.json.encode(body))
        return AdminResponse(
            200, events.lines_since(int(text)), 'application/x-ndjson'
        )

    return handle
