"""Frames on a stream between daemons.

A frame is one msgpack array ``[exchange, kind, payload]``. The payload is
an encoded message; frames without a message carry an integer, which is 0
when the kind needs none. `msgpack.Unpacker` splits the stream into frames and
limits the bytes that are buffered for an incomplete one; the msgspec codec
decodes and validates the payload. For a `Heartbeat` with three entries,
encoding and decoding take 1.7 and 2.2 us. The alternative,
``msgspec.to_builtins`` and ``msgspec.convert`` on an unpacked payload, takes
5.7 and 56 us.
"""

from __future__ import annotations

import enum
import typing
from typing import ClassVar
from typing import NamedTuple

import msgpack
import msgspec

from gypsumhall._decode import decode
from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import PeerProtocolError
from gypsumhall.net import _messages
from gypsumhall.net._messages import Message

MAX_FRAME_BYTES = 1024 * 1024 + 64 * 1024
"""Maximum size of a frame: a message of 1 MiB and its frame header."""

MAX_READ_BYTES = 64 * 1024
"""Maximum number of bytes per call of `FrameDecoder.feed`."""

_INITIAL_BUFFER_BYTES = 16 * 1024
"""Initial buffer size of an unpacker; the default is 1 MiB."""

_MAX_POOLED_UNPACKERS = 4
"""Limited because the buffer of each may have grown to `MAX_FRAME_BYTES`."""

_MAX_ID = 2**62


class Kind(enum.IntEnum):
    """Kind of a frame: its effect on the exchange or the stream."""

    OPEN = 0
    """Opens an exchange with a first message."""
    REQUEST = 1
    """Opens an exchange that ends with a single reply message."""
    POST = 2
    """Carries a message that gets no reply."""
    DATA = 3
    """Carries a further message."""
    LAST = 4
    """Carries a message and ends the exchange."""
    FINISH = 5
    """Closes the sender's direction of the exchange."""
    CLOSE = 6
    """Ends the exchange; messages sent before are still delivered."""
    CANCEL = 7
    """Ends the exchange at once; undelivered messages are discarded."""
    CREDIT = 8
    """Allows the receiver to send that many more payload bytes."""
    PING = 9
    """Requests a `PONG`; carries the time stamp of the sender."""
    PONG = 10
    """Reply to a `PING`."""
    GOAWAY = 11
    """The sender accepts no new exchanges on this stream."""


_KINDS_BY_VALUE = tuple(Kind)
_KINDS_WITH_MESSAGE = frozenset(
    {Kind.OPEN, Kind.REQUEST, Kind.POST, Kind.DATA, Kind.LAST}
)


class Frame(NamedTuple):
    """A frame with its payload still encoded."""

    exchange: int
    kind: Kind
    payload: bytes | int
    size: int
    """Size on the stream in bytes."""


def _message_types() -> tuple[type[Message], ...]:
    types = [
        message_type
        for message_type in vars(_messages).values()
        if isinstance(message_type, type)
        and issubclass(message_type, Message)
        and message_type is not Message
    ]
    return tuple(types)


MESSAGE_TYPES = _message_types()
_TAG_NAMES = {
    typing.cast(int, message_type.__struct_config__.tag): message_type.__name__
    for message_type in MESSAGE_TYPES
}
_CALL_TAGS = range(40, 60)
_CALL_TYPES = frozenset(
    message_type
    for message_type in MESSAGE_TYPES
    if typing.cast(int, message_type.__struct_config__.tag) in _CALL_TAGS
)
BULK_BYTES = 16 * 1024
"""Size above which a message is sent on a stream of its own, which
calls and heartbeats do not use."""
_BULK_REPLY_TYPES = frozenset({_messages.Pull})
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
    typing.Union[MESSAGE_TYPES]  # noqa: UP007 - `|` needs literal types
)
_PACKER = msgpack.Packer()


def is_call(message: Message) -> bool:
    """Return whether a message carries a caller's request or response."""
    return type(message) in _CALL_TYPES


def has_bulk_reply(message: Message) -> bool:
    """Return whether the reply to a message may exceed `BULK_BYTES`."""
    return type(message) in _BULK_REPLY_TYPES


def encode_message(message: Message) -> bytes:
    """Return the payload that encodes a message.

    Raises
    ------
    PeerProtocolError
        When the message is too large for a frame.
    """
    payload = _ENCODER.encode(message)
    if len(payload) > MAX_FRAME_BYTES - 32:
        raise PeerProtocolError(
            f'{type(message).__name__} of {len(payload)} bytes is too large; '
            f'the maximum frame size is {MAX_FRAME_BYTES}'
        )
    return payload


def decode_message(payload: bytes | int) -> Message:
    """Return the message that a payload encodes.

    Raises
    ------
    PeerProtocolError
        When the payload is malformed or its tag is unknown.
    """
    try:
        return decode(
            _DECODER.decode,
            payload,  # type: ignore[arg-type]
            'message',
        )
    except MalformedDataError as error:
        raise PeerProtocolError(f'malformed {error}') from error


def encode_frame(exchange: int, kind: Kind, payload: bytes | int) -> bytes:
    """Return the bytes of a frame."""
    return _PACKER.pack((exchange, int(kind), payload))


class TrafficCounters:
    """Counters of frames and bytes.

    Attributes
    ----------
    frames, sizes : list of int
        Number of frames and of bytes, each for: control sent, control
        received, call sent, call received.
    control_bytes : tuple of list of int
        Bytes of control frames, sent and received, indexed by the tag of
        the message. Index 0 counts frames without a message and handshakes.
    """

    __slots__ = ('control_bytes', 'frames', 'sizes')

    def __init__(self) -> None:
        self.frames = [0, 0, 0, 0]
        self.sizes = [0, 0, 0, 0]
        self.control_bytes = ([0] * 128, [0] * 128)

    def add(self, index: int, size: int, payload: bytes | int = 0) -> None:
        """Count one frame.

        Parameters
        ----------
        index : int
            Index into `frames` and `sizes`.
        size : int
            Size of the frame in bytes.
        payload : bytes or int
            Payload of the frame.
        """
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
    """Return the tag of an encoded message, or 0 without a message.

    A message is an array that starts with its tag. Control messages have
    fewer than 16 fields, so the array header takes one byte and the tag is
    the second byte.
    """
    if isinstance(payload, bytes) and len(payload) > 1:
        return payload[1] & 0x7F
    return 0


class FrameDecoder:
    """Splits received bytes into frames.

    A `msgpack.Unpacker` takes 56 KiB. Most reads end at the end of a frame,
    so a decoder keeps an unpacker only while a frame is incomplete. Hundreds
    of streams thus share a few unpackers.
    """

    __slots__ = ('_end_offset', '_frame_offset', '_unpacker')

    _pool: ClassVar[list[msgpack.Unpacker]] = []

    def __init__(self) -> None:
        self._unpacker: msgpack.Unpacker | None = None
        self._frame_offset = 0
        self._end_offset = 0

    def feed(self, data: bytes) -> list[Frame]:
        """Decode received bytes and return the completed frames.

        Parameters
        ----------
        data : bytes
            Received bytes, at most `MAX_READ_BYTES`.

        Raises
        ------
        PeerProtocolError
            When the bytes are not valid frames or a frame is too large.
            The decoder must not be used afterwards.
        """
        unpacker = self._unpacker
        if unpacker is None:
            unpacker = self._pool.pop() if self._pool else _build_unpacker()
            self._frame_offset = self._end_offset = unpacker.tell()
        frames = []
        start = self._frame_offset
        self._end_offset += len(data)
        try:
            unpacker.feed(data)
            for value in unpacker:
                end = unpacker.tell()
                frames.append(_validate_frame(value, end - start))
                start = end
        except (ValueError, msgpack.UnpackException) as error:
            raise PeerProtocolError(f'malformed frame: {error}') from error
        self._frame_offset = start
        if start < self._end_offset:
            self._unpacker = unpacker
        else:
            self._unpacker = None
            if len(self._pool) < _MAX_POOLED_UNPACKERS:
                self._pool.append(unpacker)
        return frames


def _build_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        read_size=_INITIAL_BUFFER_BYTES,
        # One read may contain the end of a frame and the start of the next.
        max_buffer_size=MAX_FRAME_BYTES + MAX_READ_BYTES,
        max_bin_len=MAX_FRAME_BYTES - 16,
        max_array_len=3,
        max_str_len=0,
        max_map_len=0,
        max_ext_len=0,
        use_list=False,
    )


def _validate_frame(value: object, size: int) -> Frame:
    if not isinstance(value, tuple) or len(value) != 3:
        raise PeerProtocolError('frame is not an array of three items')
    exchange, kind, payload = value
    if type(exchange) is not int or not 0 <= exchange < _MAX_ID:
        raise PeerProtocolError('invalid exchange id in a frame')
    if type(kind) is not int or not 0 <= kind < len(_KINDS_BY_VALUE):
        raise PeerProtocolError(f'frame kind {kind!r} is unknown')
    frame_kind = _KINDS_BY_VALUE[kind]
    if frame_kind in _KINDS_WITH_MESSAGE:
        valid = type(payload) is bytes
    else:
        valid = type(payload) is int and 0 <= payload < _MAX_ID
    if not valid:
        raise PeerProtocolError(
            f'frame of kind {frame_kind.name} has an invalid payload'
        )
    return Frame(exchange, frame_kind, payload, size)
