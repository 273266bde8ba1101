"""Frames on a stream between daemons.

A frame is one msgpack array ``[exchange, kind, payload]``. The payload is
the encoding of a typed message; frames without a message carry an integer
or nothing. `msgpack.Unpacker` finds the ends of frames and bounds the bytes
that wait for the end of one; the msgspec codec decodes and validates the
payload. For a `Heartbeat` with three entries, encoding and decoding take
1.7 and 2.2 us this way; ``msgspec.to_builtins`` and ``msgspec.convert`` on
an unpacked payload take 5.7 and 56 us.
"""

from __future__ import annotations

import enum
import typing
from typing import ClassVar
from typing import NamedTuple

import msgpack
import msgspec

from gypsumhall._errors import PeerProtocolError
from gypsumhall.net import _messages
from gypsumhall.net._messages import Message

MAX_FRAME_BYTES = 1024 * 1024 + 64 * 1024
"""Largest frame in bytes: a 1 MiB message and its envelope."""

MAX_READ_BYTES = 64 * 1024
"""Most bytes that a decoder is fed at a time."""

_READ_SIZE = 16 * 1024
"""First buffer of an unpacker; the default is 1 MiB."""

_FREE_UNPACKERS = 4
"""Unpackers kept for later; one may have grown to `MAX_FRAME_BYTES`."""

_MAX_ID = 2**62


class Kind(enum.IntEnum):
    """What a frame does to its exchange."""

    OPEN = 0
    """Starts an exchange with a first message."""
    REQUEST = 1
    """Starts an exchange that ends with the first message of the answer."""
    POST = 2
    """Carries a message that gets no answer."""
    DATA = 3
    """Carries a further message."""
    LAST = 4
    """Carries a message and ends the exchange."""
    FINISH = 5
    """The sender sends no further message."""
    CLOSE = 6
    """Ends the exchange after the messages that were sent before."""
    CANCEL = 7
    """Ends the exchange at once."""
    CREDIT = 8
    """Lets the receiver send that many more payload bytes."""
    PING = 9
    """Asks for a `PONG`."""
    PONG = 10
    """Answers a `PING`."""
    GOAWAY = 11
    """The sender takes no new exchanges on this stream."""


_BY_VALUE = tuple(Kind)
_WITH_MESSAGE = frozenset(
    {Kind.OPEN, Kind.REQUEST, Kind.POST, Kind.DATA, Kind.LAST}
)


class Frame(NamedTuple):
    """A frame whose payload is not decoded yet."""

    exchange: int
    kind: Kind
    payload: bytes | int
    size: int
    """Bytes on the stream."""


def _message_types() -> tuple[type[Message], ...]:
    found = [
        item
        for item in vars(_messages).values()
        if isinstance(item, type)
        and issubclass(item, Message)
        and item is not Message
    ]
    return tuple(found)


MESSAGE_TYPES = _message_types()
_TAG_NAMES = {
    typing.cast(int, item.__struct_config__.tag): item.__name__
    for item in MESSAGE_TYPES
}
_CALL_TAGS = range(40, 60)
_CALL_TYPES = frozenset(
    item
    for item in MESSAGE_TYPES
    if typing.cast(int, item.__struct_config__.tag) in _CALL_TAGS
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
    typing.Union[MESSAGE_TYPES]  # noqa: UP007 - the types are not literal
)
_PACKER = msgpack.Packer()


def is_call(message: Message) -> bool:
    """Return whether a message carries a caller's request or response."""
    return type(message) in _CALL_TYPES


def encode_message(message: Message) -> bytes:
    """Return the payload for a message.

    Raises
    ------
    PeerProtocolError
        When the message is too large for a frame.
    """
    payload = _ENCODER.encode(message)
    if len(payload) > MAX_FRAME_BYTES - 32:
        raise PeerProtocolError(
            f'{type(message).__name__} takes {len(payload)} bytes; '
            f'a frame holds {MAX_FRAME_BYTES}'
        )
    return payload


def decode_message(payload: bytes | int) -> Message:
    """Return the message of a payload.

    Raises
    ------
    PeerProtocolError
        When the payload is malformed or its tag is unknown.
    """
    try:
        return _DECODER.decode(payload)  # type: ignore[arg-type]
    except (msgspec.MsgspecError, RecursionError, TypeError) as error:
        raise PeerProtocolError(f'malformed message: {error}') from error


def encode_frame(exchange: int, kind: Kind, payload: bytes | int) -> bytes:
    """Return the bytes of a frame."""
    return _PACKER.pack((exchange, int(kind), payload))


class TrafficCounters:
    """Counts of frames and bytes.

    Attributes
    ----------
    frames, sizes : list of int
        Frames and bytes: control sent, control received, call sent, call
        received.
    control : tuple of list of int
        Bytes of control frames by the tag of their message: sent, received.
        Tag 0 stands for frames without a message and for handshakes.
    """

    __slots__ = ('control_bytes', 'frames', 'sizes')

    def __init__(self) -> None:
        self.frames = [0, 0, 0, 0]
        self.sizes = [0, 0, 0, 0]
        self.control_bytes = ([0] * 128, [0] * 128)

    def add(self, index: int, size: int, payload: bytes | int = 0) -> None:
        """Count one frame."""
        self.frames[index] += 1
        self.sizes[index] += size
        if index < 2:
            self.control_bytes[index][_tag_of(payload)] += size

    def control_by_message(self) -> dict[tuple[str, str], int]:
        """Return the control bytes by message name and direction."""
        return {
            (_TAG_NAMES.get(tag, 'none'), direction): size
            for direction, sizes in zip(
                ('sent', 'received'), self.control_bytes, strict=True
            )
            for tag, size in enumerate(sizes)
            if size
        }


def _tag_of(payload: bytes | int) -> int:
    """Return the tag of an encoded message, 0 when there is none.

    A message is an array that starts with its tag. Control messages have
    fewer than 16 fields, so that the array header takes one byte.
    """
    if isinstance(payload, bytes) and len(payload) > 1:
        return payload[1] & 0x7F
    return 0


class FrameDecoder:
    """Splits received bytes into frames.

    An `msgpack.Unpacker` takes 56 KiB. A decoder keeps one only while a
    frame is incomplete; most reads end with a frame, so that hundreds of
    streams share a few.
    """

    __slots__ = ('_fed', '_start', '_unpacker')

    _free: ClassVar[list[msgpack.Unpacker]] = []

    def __init__(self) -> None:
        self._unpacker: msgpack.Unpacker | None = None
        self._start = 0
        self._fed = 0

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that the bytes complete.

        Parameters
        ----------
        data : bytes
            At most `MAX_READ_BYTES` bytes.

        Raises
        ------
        PeerProtocolError
            When the bytes are no frames or a frame is too large; the
            decoder cannot be used any more.
        """
        unpacker = self._unpacker
        if unpacker is None:
            unpacker = self._free.pop() if self._free else _unpacker()
            self._start = self._fed = unpacker.tell()
        frames = []
        start = self._start
        self._fed += len(data)
        try:
            unpacker.feed(data)
            for value in unpacker:
                end = unpacker.tell()
                frames.append(_check(value, end - start))
                start = end
        except (ValueError, msgpack.UnpackException) as error:
            raise PeerProtocolError(f'malformed frame: {error}') from error
        self._start = start
        if start < self._fed:
            self._unpacker = unpacker
        else:
            self._unpacker = None
            if len(self._free) < _FREE_UNPACKERS:
                self._free.append(unpacker)
        return frames


def _unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        read_size=_READ_SIZE,
        # A read may end a frame and begin the next.
        max_buffer_size=MAX_FRAME_BYTES + MAX_READ_BYTES,
        max_bin_len=MAX_FRAME_BYTES - 16,
        max_array_len=3,
        max_str_len=0,
        max_map_len=0,
        max_ext_len=0,
        use_list=False,
    )


def _check(value: object, size: int) -> Frame:
    if not isinstance(value, tuple) or len(value) != 3:
        raise PeerProtocolError('a frame is an array of three items')
    exchange, kind, payload = value
    if type(exchange) is not int or not 0 <= exchange < _MAX_ID:
        raise PeerProtocolError('the exchange id of a frame is invalid')
    if type(kind) is not int or not 0 <= kind < len(_BY_VALUE):
        raise PeerProtocolError(f'frame kind {kind!r} is unknown')
    found = _BY_VALUE[kind]
    if found in _WITH_MESSAGE:
        valid = type(payload) is bytes
    else:
        valid = type(payload) is int and 0 <= payload < _MAX_ID
    if not valid:
        raise PeerProtocolError(f'frame of kind {found.name} is malformed')
    return Frame(exchange, found, payload, size)
