"""Execution ledger of a runner: each request id runs at most once.

Request ids have the form ``<prefix>:<counter>``. A sender uses one prefix
for its lifetime and increasing counters. The ledger can therefore remove old
ids and still recognise them: an id at or below the highest removed counter
of its prefix is never run and never reported as ``not-run``.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
import enum


class EntryState(enum.Enum):
    """Execution state of a request id."""

    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


@dataclass(slots=True, frozen=True)
class RecordedResponse:
    """A complete response that can be sent again.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Response headers.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Number of bytes that count against the limit."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body)


@dataclass(slots=True)
class Entry:
    """Execution state and stored response of a request id.

    Parameters
    ----------
    state : EntryState
        Execution state.
    response : RecordedResponse or None
        Stored response; None when it was too large or has been evicted.
    """

    state: EntryState
    response: RecordedResponse | None = None


class Ledger:
    """Record of the request ids that a runner has received.

    Parameters
    ----------
    retention_s : float
        Time in seconds for which a finished entry is kept.
    refused_retention_s : float
        Time in seconds for which an id that `query` refused is kept.
    max_bytes : int
        Maximum total size of the stored responses in bytes. The oldest
        responses are evicted first; their entries remain.
    max_entries : int
        Maximum number of finished entries per retention time.
    """

    __slots__ = (
        '_bytes',
        '_entries',
        '_expiry',
        '_highest_removed',
        '_max_bytes',
        '_max_entries',
        '_refused_retention_s',
        '_response_sizes',
        '_retention_s',
    )

    def __init__(
        self,
        *,
        retention_s: float = 60.0,
        refused_retention_s: float = 600.0,
        max_bytes: int = 32 * 1024 * 1024,
        max_entries: int = 50_000,
    ) -> None:
        self._retention_s = retention_s
        self._refused_retention_s = refused_retention_s
        self._max_bytes = max_bytes
        self._max_entries = max_entries
        self._entries: dict[str, Entry] = {}
        # One queue per retention time, so that each is ordered by expiry.
        self._expiry: dict[float, OrderedDict[str, float]] = {
            retention_s: OrderedDict(),
            refused_retention_s: OrderedDict(),
        }
        self._response_sizes: OrderedDict[str, int] = OrderedDict()
        self._bytes = 0
        self._highest_removed: dict[str, int] = {}

    @property
    def size(self) -> int:
        """Number of entries."""
        return len(self._entries)

    @property
    def response_bytes(self) -> int:
        """Total size of the stored responses in bytes."""
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
            None when the id is new and may run now; otherwise its entry.
        """
        self._expire(now)
        entry = self._entries.get(request_id)
        if entry is not None:
            return entry
        if self._was_removed(request_id):
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
        """Record the outcome of a claimed request id.

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
            Response to store.
        """
        entry = self._entries[request_id]
        entry.state = state
        self._expiry[self._retention_s][request_id] = now + self._retention_s
        if response is not None and response.size <= self._max_bytes:
            entry.response = response
            self._response_sizes[request_id] = response.size
            self._bytes += response.size
        while self._bytes > self._max_bytes:
            oldest = next(iter(self._response_sizes))
            self._drop_response(oldest)
        self._expire(now)

    def query(self, request_id: str, now: float) -> Entry:
        """Return the entry of an id; refuse the id if it is new.

        Parameters
        ----------
        request_id : str
            Id of an attempt.
        now : float
            Current time in seconds.

        Returns
        -------
        Entry
            ``REFUSED`` guarantees that the id has not run and never will.
        """
        entry = self.begin(request_id, now)
        if entry is None:
            entry = self._entries[request_id]
            entry.state = EntryState.REFUSED
            expiry = self._expiry[self._refused_retention_s]
            expiry[request_id] = now + self._refused_retention_s
        return entry

    def _was_removed(self, request_id: str) -> bool:
        prefix, counter = _parse(request_id)
        return counter <= self._highest_removed.get(prefix, -1)

    def _expire(self, now: float) -> None:
        for queue in self._expiry.values():
            while queue:
                request_id = next(iter(queue))
                if queue[request_id] > now and len(queue) <= self._max_entries:
                    break
                del queue[request_id]
                self._remove(request_id)

    def _remove(self, request_id: str) -> None:
        self._drop_response(request_id)
        del self._entries[request_id]
        prefix, counter = _parse(request_id)
        highest = self._highest_removed.get(prefix, -1)
        self._highest_removed[prefix] = max(highest, counter)

    def _drop_response(self, request_id: str) -> None:
        size = self._response_sizes.pop(request_id, None)
        if size is not None:
            self._bytes -= size
            self._entries[request_id].response = None


def _parse(request_id: str) -> tuple[str, int]:
    prefix, _, counter = request_id.rpartition(':')
    # All ids of another form share one prefix and counter: once one of them
    # has been removed, no further one is run.
    return (prefix, int(counter)) if counter.isdecimal() else ('', 0)
