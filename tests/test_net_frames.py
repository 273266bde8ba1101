"""Tests of the encoding and decoding of frames."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gypsumhall.net import _frames
from gypsumhall.net import _messages
from gypsumhall.net._frames import Kind
from gypsumhall.testing import builders

_PAYLOADS = {
    Kind.DATA: st.binary(max_size=70_000),
    Kind.CREDIT: st.integers(0, 2**40),
}
_FRAME_LISTS = st.lists(
    st.sampled_from(list(_PAYLOADS)).flatmap(
        lambda kind: st.tuples(
            st.integers(0, 2**40), st.just(kind), _PAYLOADS[kind]
        )
    ),
    max_size=6,
)


@given(
    first=_FRAME_LISTS,
    second=_FRAME_LISTS,
    size=st.integers(1, _frames.MAX_READ_BYTES),
)
def test_frames_are_decoded_from_any_split_of_the_bytes(
    first: list[tuple[int, Kind, bytes | int]],
    second: list[tuple[int, Kind, bytes | int]],
    size: int,
) -> None:
    """Two decoders are fed in turn because decoders share unpackers."""
    size = max(size, 64)
    sources = [
        b''.join(_frames.encode_frame(*frame) for frame in frames)
        for frames in (first, second)
    ]
    decoders = [_frames.FrameDecoder(), _frames.FrameDecoder()]
    decoded: list[list[_frames.Frame]] = [[], []]
    for start in range(0, max(map(len, sources)), size):
        for index, source in enumerate(sources):
            part = source[start : start + size]
            decoded[index] += decoders[index].feed(part)
    for frames, expected, source in zip(
        decoded, (first, second), sources, strict=True
    ):
        assert [frame[:3] for frame in frames] == expected
        assert sum(frame.size for frame in frames) == len(source)


def test_every_message_type_is_decoded_by_its_tag() -> None:
    member = builders.build_member(endpoint=builders.build_endpoint())
    messages = [
        _messages.Ping(),
        _messages.Heartbeat(member, _messages.Digest(1), (member,), 7),
        _messages.Members((member,), True, (3,)),
        _messages.CallRefused('r', _messages.Outcome.NOT_RUN, 'draining'),
    ]
    for message in messages:
        payload = _frames.encode_message(message)
        assert _frames.decode_message(payload) == message
    assert set(_messages.Message.__subclasses__()) == set(
        _frames.MESSAGE_TYPES
    )
    assert _frames.is_call(_messages.BodyChunk(b''))
    assert not _frames.is_call(messages[1])
