"""Decisions about pipelined requests on one connection.

Callers may send further requests on a connection before the response to the
first has arrived. Responses are sent in the order of the requests (RFC 9112,
section 9.3.2). Requests behind a response that closes the connection count as
not read and are repeated by their callers, whatever their kind, so none of
them may have been passed on.
"""

from __future__ import annotations

from collections import deque
import enum


class Admission(enum.Enum):
    """Whether a request may be passed on to an endpoint."""

    GRANTED = enum.auto()
    WAIT = enum.auto()
    # The connection closes after an earlier response.
    NOT_READ = enum.auto()


class PipelinedRequest:
    """A request of a connection whose response is not complete.

    Parameters
    ----------
    size : int
        Bytes of its head.
    """

    __slots__ = ('passed_on', 'response_started', 'size')

    def __init__(self, size: int) -> None:
        self.size = size
        self.passed_on = False
        # Whether a part of the response has been sent.
        self.response_started = False


class Pipeline:
    """Requests of a connection in their order, from the oldest.

    Parameters
    ----------
    max_requests : int
        Largest number of requests that are read before the response to the
        oldest of them has been sent; 1 to handle them one after the other.
    max_bytes : int
        Size in bytes of unanswered requests from which on no further one is
        read.
    """

    __slots__ = ('_last', '_max_bytes', '_max_requests', '_requests')

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._requests: deque[PipelinedRequest] = deque()
        # The request whose response closes the connection.
        self._last: PipelinedRequest | None = None

    @property
    def empty(self) -> bool:
        """Whether all responses have been sent."""
        return not self._requests

    @property
    def closing(self) -> bool:
        """Whether the request with the last response has been chosen."""
        return self._last is not None

    def has_room(self) -> bool:
        """Return whether another request may be read."""
        if self._last is not None:
            return False
        if not self._requests:
            return True
        size = sum(request.size for request in self._requests)
        return (
            len(self._requests) < self._max_requests and size < self._max_bytes
        )

    def add(self, request: PipelinedRequest) -> None:
        """Add the request that has been read last."""
        self._requests.append(request)

    def is_first(self, request: PipelinedRequest) -> bool:
        """Return whether the response to a request is the next one."""
        return bool(self._requests) and self._requests[0] is request

    def is_dropped(self, request: PipelinedRequest) -> bool:
        """Return whether the connection closes before its response."""
        if self._last is None or request is self._last:
            return False
        if request not in self._requests:
            # Its response has been sent.
            return False
        if self._last not in self._requests:
            return True
        return self._position(request) > self._position(self._last)

    def admit(self, request: PipelinedRequest, *, alone: bool) -> Admission:
        """Decide whether a request may be passed on, and record it.

        Parameters
        ----------
        request : PipelinedRequest
            Request of this connection.
        alone : bool
            Whether the request must not be passed on before all earlier
            responses have been sent, because it may run only once.
        """
        if self.is_dropped(request):
            return Admission.NOT_READ
        for earlier in self._requests:
            if earlier is request:
                break
            # A response that is being sent may break off, which ends the
            # connection.
            if alone or earlier.response_started:
                return Admission.WAIT
        request.passed_on = True
        return Admission.GRANTED

    def holds_response(self, request: PipelinedRequest) -> bool:
        """Return whether a response is sent only when it is complete.

        If it broke off midway, the connection would end and with it the
        responses to later requests that have been passed on.
        """
        return not self.is_first(request) or self._last_passed_on() not in (
            None,
            request,
        )

    def close_after(self, request: PipelinedRequest) -> bool:
        """Close the connection as soon as possible from a response on.

        Returns
        -------
        bool
            Whether this response closes the connection; otherwise that to a
            later request which has been passed on does.
        """
        if self._last is None:
            last = self._last_passed_on()
            if last is None or self._position(last) < self._position(request):
                last = request
            self._last = last
        return request is self._last

    def finish(self, request: PipelinedRequest) -> None:
        """Remove a request whose response has been sent."""
        self._requests.remove(request)

    def _last_passed_on(self) -> PipelinedRequest | None:
        for request in reversed(self._requests):
            if request.passed_on:
                return request
        return None

    def _position(self, request: PipelinedRequest) -> int:
        return self._requests.index(request)
