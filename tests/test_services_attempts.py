"""Tests of the receiver of a response."""

from __future__ import annotations

import pytest

from gypsumhall.net import _messages
from gypsumhall.services._attempts import Receiver

_LOAD = _messages.Load(0, 0, 6)


class _Sink:
    def __init__(self) -> None:
        self.heads: list[int] = []
        self.body = b''
        self.ended = False

    async def head(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        self.heads.append(status)

    async def chunk(self, data: bytes, *, last: bool) -> None:
        self.body += data
        self.ended = self.ended or last


@pytest.mark.parametrize(
    'late',
    [
        _messages.AnswerStart('earlier', 500, (), _LOAD),
        _messages.AnswerEnd('earlier'),
        _messages.CallRefused('earlier', _messages.Outcome.NOT_RUN, 'late'),
        _messages.BodyChunk(b'late', last=True),
    ],
)
async def test_messages_of_another_response_are_dropped(
    late: _messages.Message,
) -> None:
    # Without the match by request id a caller gets the response of another.
    sink = _Sink()
    receiver = Receiver('present', sink)
    await receiver.feed(late)
    assert not receiver.done
    await receiver.feed(_messages.AnswerStart('present', 200, (), _LOAD))
    if not isinstance(late, _messages.BodyChunk):
        await receiver.feed(late)
    await receiver.feed(_messages.BodyChunk(b'own'))
    await receiver.feed(_messages.AnswerEnd('present'))
    assert receiver.complete
    assert (sink.heads, sink.body, sink.ended) == ([200], b'own', True)


async def test_a_response_that_was_broken_off_never_looks_complete() -> None:
    sink = _Sink()
    receiver = Receiver('present', sink)
    await receiver.feed(_messages.AnswerStart('present', 200, (), _LOAD))
    await receiver.feed(_messages.BodyChunk(b'part'))
    await receiver.feed(_messages.AnswerEnd('present', complete=False))
    assert receiver.done
    assert not receiver.complete
    assert not sink.ended
