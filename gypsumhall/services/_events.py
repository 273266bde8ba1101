"""Service ``events``: the structured event log of a daemon."""

from __future__ import annotations

from collections import deque
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

MAX_EVENT_BYTES = 16 * 1024
"""Longest JSON line; the fields of a longer one are replaced by a note."""

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


class EventLog:
    """Writes events as JSON lines and keeps the latest in memory.

    Parameters
    ----------
    daemon, zone : str
        Id and zone of the daemon, part of each event.
    path : str
        File to append to; empty for the standard error stream. A file is
        rotated at 64 MiB, and 2 old ones are kept.
    wall : callable
        Returns Unix time in seconds.
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
    ) -> None:
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
        self._logger.info(line.decode())

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
        return logger.add(self._path or sys.stderr, **options)

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
