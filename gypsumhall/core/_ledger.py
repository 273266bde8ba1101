"""Execution ledger of a runner: each request id runs at most once.

Request ids have the form ``<prefix>:<counter>``. A sender uses one prefix
for its lifetime and increasing counters, so that the ledger can forget old
ids and still recognise them: an id at or below the highest forgotten counter
of its prefix is never run and never reported as ``not-run``.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
import enum


class EntryState(enum.Enum):
    """What the ledger knows about a request id."""

    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


@dataclass(slots=True, frozen=True)
class RecordedResponse:
    """A whole response that can be sent again.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Response headers.
    body : bytes
        Whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Bytes that the response counts against the limit."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body)


@dataclass(slots=True)
class Entry:
    """A request id and what is known about it.

    Parameters
    ----------
    state : EntryState
        Progress.
    response : RecordedResponse or None
        Kept response; None when it was too large or has been dropped.
    """

    state: EntryState
    response: RecordedResponse | None = None


class Ledger:
    """Record of the request ids that a runner has seen.

    Parameters
    ----------
    retention_s : float
        Time in seconds that a finished entry is kept.
    refused_retention_s : float
        Time in seconds that an id refused for good is kept.
    max_bytes : int
        Bytes of responses that are kept; the oldest are dropped first,
        their entries stay.
    max_entries : int
        Finished entries that are kept.
    """

    __slots__ = (
        '_bytes',
        '_entries',
        '_expiry',
        '_forgotten',
        '_keep_s',
        '_max_bytes',
        '_max_entries',
        '_refused_keep_s',
        '_with_response',
    )

    def __init__(
        self,
        *,
        retention_s: float = 60.0,
        refused_retention_s: float = 600.0,
        max_bytes: int = 32 * 1024 * 1024,
        max_entries: int = 50_000,
    ) -> None:
        self._keep_s = retention_s
        self._refused_keep_s = refused_retention_s
        self._max_bytes = max_bytes
        self._max_entries = max_entries
        self._entries: dict[str, Entry] = {}
        # One queue per retention time, so that each is in order of expiry.
        self._expiry: dict[float, OrderedDict[str, float]] = {
            retention_s: OrderedDict(),
            refused_retention_s: OrderedDict(),
        }
        self._with_response: OrderedDict[str, int] = OrderedDict()
        self._bytes = 0
        self._forgotten: dict[str, int] = {}

    @property
    def size(self) -> int:
        """Number of entries."""
        return len(self._entries)

    @property
    def response_bytes(self) -> int:
        """Bytes of the responses that are kept."""
        return self._bytes

    def begin(self, request_id: str, now: float) -> Entry | None:
        """Claim a request id.

        Parameters
        ----------
        request_id : str
            Id of the attempt.
        now : float
            Current time in seconds.

        Returns
        -------
        Entry or None
            None when the id is new and may run now; otherwise what is
            known about it.
        """
        self._expire(now)
        entry = self._entries.get(request_id)
        if entry is not None:
            return entry
        if self._is_forgotten(request_id):
            return Entry(EntryState.UNKNOWN)
        self._entries[request_id] = Entry(EntryState.RUNNING)
        return None

    def finish(
        self,
        request_id: str,
        now: float,
        state: EntryState,
        response: RecordedResponse | None = None,
    ) -> None:
        """Record how a claimed request id ended.

        Parameters
        ----------
        request_id : str
            Id claimed by `begin`.
        now : float
            Current time in seconds.
        state : EntryState
            ``DONE`` when it ran, ``UNKNOWN`` when that is not certain,
            ``REFUSED`` when it certainly did not run.
        response : RecordedResponse or None
            Response to keep.
        """
        entry = self._entries[request_id]
        entry.state = state
        self._expiry[self._keep_s][request_id] = now + self._keep_s
        if response is not None and response.size <= self._max_bytes:
            entry.response = response
            self._with_response[request_id] = response.size
            self._bytes += response.size
        while self._bytes > self._max_bytes:
            oldest = next(iter(self._with_response))
            self._drop_response(oldest)
        self._expire(now)

    def query(self, request_id: str, now: float) -> Entry:
        """Return what is known about an id, and refuse it if it is new.

        Parameters
        ----------
        request_id : str
            Id of an attempt.
        now : float
            Current time in seconds.

        Returns
        -------
        Entry
            ``REFUSED`` is certain: the id has not run and never will.
        """
        entry = self.begin(request_id, now)
        if entry is None:
            entry = self._entries[request_id]
            entry.state = EntryState.REFUSED
            expiry = self._expiry[self._refused_keep_s]
            expiry[request_id] = now + self._refused_keep_s
        return entry

    def _is_forgotten(self, request_id: str) -> bool:
        prefix, counter = _parse(request_id)
        return counter <= self._forgotten.get(prefix, -1)

    def _expire(self, now: float) -> None:
        for queue in self._expiry.values():
            while queue:
                request_id = next(iter(queue))
                if queue[request_id] > now and len(queue) <= self._max_entries:
                    break
                del queue[request_id]
                self._forget(request_id)

    def _forget(self, request_id: str) -> None:
        self._drop_response(request_id)
        del self._entries[request_id]
        prefix, counter = _parse(request_id)
        known = self._forgotten.get(prefix, -1)
        self._forgotten[prefix] = max(known, counter)

    def _drop_response(self, request_id: str) -> None:
        size = self._with_response.pop(request_id, None)
        if size is not None:
            self._bytes -= size
            self._entries[request_id].response = None


def _parse(request_id: str) -> tuple[str, int]:
    prefix, _, counter = request_id.rpartition(':')
    # An id of another form shares one prefix and is never trusted again
    # once any such id has been forgotten.
    return (prefix, int(counter)) if counter.isdecimal() else ('', 0)
