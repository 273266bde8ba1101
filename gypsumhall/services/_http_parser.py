"""HTTP/1.1 messages of callers and backend servers.

Plain heads are parsed by httptools, which is in C. All other input is parsed
by h11, which decides what is rejected: heads that are received in parts, other
versions, line folding, bare line feeds, control characters, chunks,
expectations, upgrades and repeated framing fields. httptools is more lenient
in some of these cases and stricter in others, and a difference between the
parsers would permit request smuggling, so a head is plain only if both read it
in the same way.
"""

from __future__ import annotations

import re
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import h11
import httptools

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

_Fields = list[tuple[bytes, bytes]]

_TOKEN = re.compile(rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]+")
_CONTROL = re.compile(rb'[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]')
# Visible characters with single spaces between them, which is a part of what
# RFC 9110, section 5.5, permits as a value.
_PLAIN_VALUE = re.compile(rb'(?:[!-~]+(?: [!-~]+)*)?')
_MAX_LENGTH_DIGITS = 18
# Fields that make a message something other than plain.
_UNUSUAL_REQUEST_FIELDS = frozenset(
    [b'transfer-encoding', b'expect', b'upgrade']
)
_UNUSUAL_RESPONSE_FIELDS = frozenset([b'transfer-encoding', b'upgrade'])
_NO_BODY_STATUSES = frozenset([204, 304])
_MAX_CACHED_NAMES = 1024
# Names as received, and in lower case. The names in use are few.
_names: dict[bytes, bytes] = {}


class InvalidRequestError(Exception):
    """Input is not a valid request.

    Attributes
    ----------
    status : int
        Status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class RequestHead(NamedTuple):
    """Head of a request; the names of the fields are in lower case."""

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]]
    http_version: bytes = b'1.1'


class ResponseHead(NamedTuple):
    """Head of a response whose body has a length."""

    status: int
    headers: _Fields
    length: int
    keep_alive: bool


class EndOfRequest:
    """Follows the last part of the body of a request."""


END_OF_REQUEST = EndOfRequest()


class _HeadCollector:
    """Collects what httptools finds in a head."""

    __slots__ = ('fields', 'target')

    def __init__(self) -> None:
        self.target = b''
        self.fields: _Fields = []

    def on_url(self, data: bytes) -> None:
        self.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields.append((name, value.strip(b' \t')))


def _lower(name: bytes) -> bytes:
    """Return the name of a field in lower case; empty if it is invalid."""
    lower = _names.get(name)
    if lower is None:
        if not _TOKEN.fullmatch(name):
            return b''
        if len(_names) >= _MAX_CACHED_NAMES:
            _names.clear()
        lower = _names[name] = name.lower()
    return lower


def _extract_head(data: bytes) -> bytes:
    """Return the complete head at the start of the data, if it is plain."""
    end = data.find(b'\r\n\r\n')
    if end < 0:
        return b''
    head = data[: end + 4]
    lines = head.count(b'\r\n')
    if (
        head.count(b'\n') != lines
        or head.count(b'\r') != lines
        or b'\r\n ' in head
        or b'\r\n\t' in head
        or _CONTROL.search(head)
    ):
        return b''
    return head


class _Framing:
    """Framing of a message with plain fields."""

    __slots__ = ('hosts', 'keep_alive', 'length')

    def __init__(self) -> None:
        self.length: int | None = None
        self.keep_alive = True
        self.hosts = 0

    def read(self, name: bytes, value: bytes) -> bool:
        """Take note of a field; return whether it is plain."""
        if name == b'content-length':
            if (
                self.length is not None
                or not value.isdigit()
                or len(value) > _MAX_LENGTH_DIGITS
            ):
                return False
            self.length = int(value)
        elif name == b'connection':
            options = value.lower().split(b',')
            if b'close' in [option.strip() for option in options]:
                self.keep_alive = False
        elif name == b'host':
            self.hosts += 1
        return name != b''


def _parse_request(data: bytes) -> tuple[RequestHead, int, int, bool] | None:
    """Parse a plain head.

    Returns
    -------
    tuple or None
        Head, its size, the length of the body, and whether the connection
        persists; None if the head is incomplete or not plain.
    """
    raw = _extract_head(data)
    if not raw:
        return None
    collector = _HeadCollector()
    parser = httptools.HttpRequestParser(collector)
    try:
        parser.feed_data(raw)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    method = parser.get_method()
    target = collector.target
    if not target.isascii() or not raw.startswith(
        b'%s %s HTTP/1.1\r\n' % (method, target)
    ):
        return None
    if raw.count(b'\r\n') != len(collector.fields) + 2:
        return None
    framing = _Framing()
    fields: _Fields = []
    for raw_name, value in collector.fields:
        name = _lower(raw_name)
        if name in _UNUSUAL_REQUEST_FIELDS or not framing.read(name, value):
            return None
        fields.append((name, value))
    if framing.hosts != 1 or method == b'CONNECT':
        return None
    return (
        RequestHead(method, target, fields),
        len(raw),
        framing.length or 0,
        framing.keep_alive,
    )


def parse_response(data: bytes) -> tuple[ResponseHead, int] | None:
    """Parse a plain head of a response.

    Parameters
    ----------
    data : bytes
        Received data.

    Returns
    -------
    tuple or None
        Head and its size; None if the head is incomplete or not plain. That
        includes informational responses and those without a length.
    """
    raw = _extract_head(data)
    if not raw.startswith(b'HTTP/1.1 ') or not raw[9:12].isdigit():
        return None
    status = int(raw[9:12])
    if (
        not 200 <= status <= 599
        or status in _NO_BODY_STATUSES
        or raw[12:13] not in (b' ', b'\r')
    ):
        return None
    collector = _HeadCollector()
    parser = httptools.HttpResponseParser(collector)
    try:
        parser.feed_data(raw)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    if (
        parser.get_status_code() != status
        or raw.count(b'\r\n') != len(collector.fields) + 2
    ):
        return None
    framing = _Framing()
    for raw_name, value in collector.fields:
        name = _lower(raw_name)
        if name in _UNUSUAL_RESPONSE_FIELDS or not framing.read(name, value):
            return None
    if framing.length is None:
        return None
    head = ResponseHead(
        status, collector.fields, framing.length, framing.keep_alive
    )
    return head, len(raw)


def encode_request(
    method: bytes, target: bytes, fields: Iterable[tuple[bytes, bytes]]
) -> bytes | None:
    """Return the head of a request; None unless it is plain.

    Parameters
    ----------
    method, target : bytes
        Request line.
    fields : iterable of (bytes, bytes)
        Fields; ``Host`` is sent first.
    """
    if (
        not _TOKEN.fullmatch(method)
        or not target.isascii()
        or b' ' in target
        or not target
        or not _PLAIN_VALUE.fullmatch(target)
    ):
        return None
    framing = _Framing()
    host = b''
    lines = []
    for raw_name, value in fields:
        name = _lower(raw_name)
        if (
            name in _UNUSUAL_REQUEST_FIELDS
            or not framing.read(name, value)
            or not _PLAIN_VALUE.fullmatch(value)
        ):
            return None
        line = b'%s: %s\r\n' % (raw_name, value)
        if name == b'host':
            host = line
        else:
            lines.append(line)
    if framing.hosts != 1 or not framing.keep_alive:
        return None
    return b'%s %s HTTP/1.1\r\n%s%s\r\n' % (
        method,
        target,
        host,
        b''.join(lines),
    )


class RequestParser:
    """Reads the requests of a connection and writes their responses.

    The next request is read after `start_next_cycle`.

    Parameters
    ----------
    max_head_bytes : int
        Longest incomplete head, in bytes.
    """

    __slots__ = (
        '_body_length',
        '_chunked',
        '_head_bytes',
        '_keep_alive',
        '_max_head_bytes',
        '_method',
        '_received',
        '_remaining',
        '_response_ended',
        '_request_ended',
        '_response_failed',
        '_unusual',
        '_unusual_response',
    )

    def __init__(self, max_head_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._received = b''
        self._reset()

    def _reset(self) -> None:
        self._unusual: h11.Connection | None = None
        self._unusual_response: h11.Connection | None = None
        self._method = b''
        self._head_bytes = b''
        # Bytes of the request body that have not been received.
        self._remaining = 0
        self._request_ended = False
        self._keep_alive = True
        # Bytes of the response body that have not been written; None before
        # the head.
        self._body_length: int | None = None
        self._chunked = False
        self._response_ended = False
        self._response_failed = False

    @property
    def unparsed(self) -> bytes:
        """Received data behind what has been parsed."""
        if self._unusual is not None:
            return self._unusual.trailing_data[0]
        return self._received

    @property
    def request_done(self) -> bool:
        """Whether the request is complete and another one may follow."""
        if self._unusual is not None:
            return self._unusual.their_state is h11.DONE
        return self._request_ended and self._keep_alive

    @property
    def done(self) -> bool:
        """Whether the connection persists after request and response."""
        if self._unusual is not None:
            return self.request_done and self._unusual.our_state is h11.DONE
        if self._unusual_response is not None:
            return (
                self.request_done
                and self._unusual_response.our_state is h11.DONE
            )
        return self.request_done and self._response_ended

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller waits for ``100 Continue`` with its body."""
        return (
            self._unusual is not None
            and self._unusual.they_are_waiting_for_100_continue
        )

    def take_unparsed(self) -> bytes:
        """Return what `unparsed` does, and release it if that is possible.

        Each of the requests that are read ahead would keep a copy otherwise.
        """
        data = self.unparsed
        self._received = b''
        return data

    def receive(self, data: bytes) -> None:
        """Add received data."""
        if self._unusual is not None:
            self._unusual.receive_data(data)
        else:
            self._received += data

    def next_event(self) -> RequestHead | bytes | EndOfRequest | None:
        """Return the next part of a request; None if more data is needed.

        Raises
        ------
        InvalidRequestError
            If the input is not a valid request.
        """
        if self._unusual is not None:
            return self._next_unusual_event(self._unusual)
        if self._method:
            return self._next_body_part()
        if not self._received:
            return None
        parsed = _parse_request(self._received)
        if parsed is None:
            self._unusual = self._new_unusual()
            self._unusual.receive_data(self._received)
            self._received = b''
            return self._next_unusual_event(self._unusual)
        head, size, self._remaining, self._keep_alive = parsed
        self._method = head.method
        self._head_bytes = self._received[:size]
        self._received = self._received[size:]
        return head

    def start_next_cycle(self) -> None:
        """Expect another request after a complete response."""
        self._received = self.unparsed
        self._reset()

    def encode_continue(self) -> bytes:
        """Return an interim response that asks for the body."""
        if self._unusual is None:
            return b''
        return self._unusual.send(
            h11.InformationalResponse(status_code=100, headers=[])
        )

    def encode_head(self, status: int, headers: _Fields) -> bytes:
        """Return the head of the response.

        Raises
        ------
        h11.LocalProtocolError
            If it is invalid.
        """
        if self._unusual is None and self._unusual_response is None:
            data = self._encode_plain_head(status, headers)
            if data is not None:
                return data
            self._unusual_response = self._new_unusual()
            self._unusual_response.receive_data(self._head_bytes)
            self._unusual_response.next_event()
            if not self._remaining:
                self._unusual_response.next_event()
        return self._unusual_writer().send(
            h11.Response(status_code=status, headers=headers)
        )

    def encode_body(self, data: bytes) -> bytes:
        """Return a part of the response body.

        Raises
        ------
        h11.LocalProtocolError
            If the response is longer than its length.
        """
        if self._unusual is not None or self._unusual_response is not None:
            return self._unusual_writer().send(h11.Data(data=data))
        self._check_response(self._body_length is not None)
        if self._chunked:
            return b'%x\r\n%s\r\n' % (len(data), data) if data else b''
        assert self._body_length is not None
        self._body_length -= len(data)
        self._check_response(self._body_length >= 0)
        return data

    def encode_end(self) -> bytes:
        """Return the end of the response.

        Raises
        ------
        h11.LocalProtocolError
            If the response is shorter than its length.
        """
        if self._unusual is not None or self._unusual_response is not None:
            return self._unusual_writer().send(h11.EndOfMessage())
        self._check_response(self._body_length == 0)
        self._response_ended = True
        return b'0\r\n\r\n' if self._chunked else b''

    def _check_response(self, valid: bool) -> None:
        """Fail the response unless what is written of it is valid."""
        if self._response_ended or self._response_failed or not valid:
            self._response_failed = True
            raise h11.LocalProtocolError('invalid part of a response')

    def _unusual_writer(self) -> h11.Connection:
        writer = self._unusual or self._unusual_response
        assert writer is not None
        return writer

    def _new_unusual(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_head_bytes
        )

    def _next_unusual_event(
        self, parser: h11.Connection
    ) -> RequestHead | bytes | EndOfRequest | None:
        try:
            event: Any = parser.next_event()
        except h11.RemoteProtocolError as error:
            raise InvalidRequestError(error.error_status_hint) from error
        if isinstance(event, h11.Request):
            return RequestHead(
                event.method,
                event.target,
                list(event.headers),
                event.http_version,
            )
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return END_OF_REQUEST
        return None

    def _next_body_part(self) -> bytes | EndOfRequest | None:
        if self._request_ended:
            return None
        if not self._remaining:
            self._request_ended = True
            return END_OF_REQUEST
        if not self._received:
            return None
        data = self._received[: self._remaining]
        self._received = self._received[self._remaining :]
        self._remaining -= len(data)
        return data

    def _encode_plain_head(
        self, status: int, headers: _Fields
    ) -> bytes | None:
        """Return the head; None unless it is plain."""
        if not 200 <= status <= 599 or self._body_length is not None:
            return None
        framing = _Framing()
        lines = [b'HTTP/1.1 %d \r\n' % status]
        for raw_name, value in headers:
            name = _lower(raw_name)
            if (
                name in _UNUSUAL_RESPONSE_FIELDS
                or not framing.read(name, value)
                or not _PLAIN_VALUE.fullmatch(value)
                or (name == b'connection' and not self._keep_alive)
            ):
                return None
            lines.append(b'%s: %s\r\n' % (raw_name, value))
        if framing.hosts:
            return None
        length = framing.length
        if length is None and status not in _NO_BODY_STATUSES:
            lines.append(b'Transfer-Encoding: chunked\r\n')
            self._chunked = self._method != b'HEAD'
        if self._method == b'HEAD' or status in _NO_BODY_STATUSES:
            length = 0
        self._body_length = length or 0
        if not self._keep_alive:
            lines.append(b'Connection: close\r\n')
        self._keep_alive = self._keep_alive and framing.keep_alive
        lines.append(b'\r\n')
        return b''.join(lines)
