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

KEPT_EVENTS = 4096
"""Events kept in memory for operators who ask the daemon."""

MAX_PENDING_BYTES = 256 * 1024
"""Bytes of lines that wait for a reader of the log that has stopped reading;
lines beyond are counted and left out."""

LINES_PER_S = 200
"""Lines per second that are written on average, with as many in a burst as
in two seconds. A line costs about 0.05 ms, so that this is 1 % of a core."""

MAX_EVENT_BYTES = 16 * 1024
"""Longest JSON line; the fields of a longer one are replaced by a note."""

# Lines of failed requests explain what nothing else does.
_ALWAYS_WRITTEN = frozenset(['request-failed', 'lines-omitted'])

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
        Where it happened.
    version : int
        Installed configuration version; 0 for none.
    fields : dict
        What else is known.
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
    """Writes lines to a file descriptor without ever waiting for its reader.

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
        """Lines that were left out."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line now, later or never."""
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
                # Nobody can read the log any more.
                self._pending.clear()
                return
            del self._pending[:written]


class LineBudget:
    """Bounds the lines of a log per second.

    Parameters
    ----------
    lines_per_s : float
        Lines that are allowed on average.
    """

    __slots__ = ('_left', '_lines_per_s', '_omitted', '_since')

    _BURST_S = 2.0

    def __init__(self, lines_per_s: float) -> None:
        self._lines_per_s = lines_per_s
        self._left = lines_per_s * self._BURST_S
        self._since: float | None = None
        self._omitted = 0

    def take(self, now: float) -> bool:
        """Whether a line may be written; otherwise it is counted."""
        since = now if self._since is None else self._since
        self._since = now
        gained = max(0.0, now - since) * self._lines_per_s
        most = self._lines_per_s * self._BURST_S
        self._left = min(most, self._left + gained)
        if self._left < 1.0:
            self._omitted += 1
            return False
        self._left -= 1.0
        return True

    def omitted(self) -> int:
        """Return the lines left out since the last call."""
        omitted, self._omitted = self._omitted, 0
        return omitted


class EventLog:
    """Writes events as JSON lines and keeps the latest in memory.

    Parameters
    ----------
    daemon, zone : str
        Id and zone of the daemon, part of each event.
    path : str
        File to append to; empty for the standard error stream, which is
        never waited for. A file is rotated at 64 MiB, and 2 old ones are
        kept.
    wall : callable
        Returns Unix time in seconds.
    lines_per_s : float
        Lines per second that are written on average. Events of requests
        that failed are written in any case, as far as the reader keeps up.
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
        self._budget = LineBudget(lines_per_s)
        self._writer: NonBlockingWriter | None = None
        self._daemon = daemon
        self._zone = zone
        self._path = path
        self._wall = wall
        self._clock = HybridLogicalClock(wall)
        self._kept: deque[Event] = deque(maxlen=KEPT_EVENTS)
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
        """Nothing is buffered."""

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
            When the code is not such an identifier.
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
        self._kept.append(event)
        if code in _ALWAYS_WRITTEN:
            self._logger.info(line.decode())
        elif self._budget.take(self._wall()):
            self._logger.info(line.decode())
            omitted = self._budget.omitted()
            if omitted:
                self.emit('lines-omitted', lines=omitted)

    def since(self, index: int) -> list[Event]:
        """Return the kept events after an index, oldest first.

        The first one has a greater index than `index` + 1 when older events
        are no longer kept.
        """
        return [event for event in self._kept if event.index > index]

    def lines_since(self, index: int) -> bytes:
        """Return the events after an index as JSON lines."""
        return b''.join(_encode(event) + b'\n' for event in self.since(index))

    def _add_sink(self) -> int:
        _separate_plain_log()
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
            # The log starts before the service that knows the version.
            if self._kernel is None or (
                'distribution' not in self._kernel.names
            ):
                return 0
            self._distribution = self._kernel.get('distribution', Distribution)
        snapshot = self._distribution.snapshot
        return 0 if snapshot is None else snapshot.version


def _separate_plain_log() -> None:
    """Keep events out of the default log on the standard error stream."""
    try:
        logger.remove(0)
    except ValueError:
        # Already replaced, by this function or by the program.
        return
    logger.add(
        sys.stderr, filter=lambda record: 'event_log' not in record['extra']
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
