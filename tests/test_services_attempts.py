"""Tests of the receiver of a response."""

from __future__ import annotations

import tracemalloc

import pytest

from gypsumhall.net import _messages
from gypsumhall.services import _calls
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
    # Without matching request ids, a caller gets the response of another.
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


async def test_truncated_response_is_not_complete() -> None:
    sink = _Sink()
    receiver = Receiver('present', sink)
    await receiver.feed(_messages.AnswerStart('present', 200, (), _LOAD))
    await receiver.feed(_messages.BodyChunk(b'part'))
    await receiver.feed(_messages.AnswerEnd('present', complete=False))
    assert receiver.done
    assert not receiver.complete
    assert not sink.ended


async def test_buffered_responses_of_all_calls_share_a_limit() -> None:
    # Each call may buffer 256 KiB, but thousands of them together may not.
    buffer_budget = _calls.ResponseBufferBudget(100_000)
    sinks = [_Sink() for _ in range(50)]
    receivers = [
        Receiver(
            'present',
            sink,
            should_buffer=lambda: True,
            buffer_budget=buffer_budget,
        )
        for sink in sinks
    ]
    part = bytes(10_000)
    for receiver in receivers:
        await receiver.feed(_messages.AnswerStart('present', 200, (), _LOAD))
        await receiver.feed(_messages.BodyChunk(part))
        assert buffer_budget.used <= 100_000
    assert buffer_budget.used == 100_000
    for receiver in receivers:
        await receiver.feed(_messages.BodyChunk(part, last=True))
        assert receiver.complete
    assert [(sink.heads, sink.body, sink.ended) for sink in sinks] == [
        ([200], 2 * part, True)
    ] * 50
    assert buffer_budget.used == 0


async def test_withheld_responses_of_all_calls_share_a_limit() -> None:
    buffer_budget = _calls.ResponseBufferBudget(100_000)
    receivers = [
        Receiver(
            'present',
            _Sink(),
            should_withhold=lambda status: True,
            buffer_budget=buffer_budget,
        )
        for _ in range(50)
    ]
    for receiver in receivers:
        await receiver.feed(_messages.AnswerStart('present', 503, (), _LOAD))
        for _ in range(10):
            await receiver.feed(_messages.BodyChunk(bytes(9_000)))
            assert buffer_budget.used <= 100_000
        await receiver.feed(_messages.AnswerEnd('present'))
        assert receiver.complete
    # A response beyond the limit must not be replayed in part.
    responses = [item.recorder.response for item in receivers if item.recorder]
    complete_sizes = [len(item.body) for item in responses if item is not None]
    assert (len(responses), complete_sizes) == (50, [90_000])
    del receivers, receiver
    assert buffer_budget.used == 0


def test_recorded_responses_are_limited_for_any_chunk_size() -> None:
    # In a list, each chunk takes at least 40 bytes, whatever its size.
    buffer_budget = _calls.ResponseBufferBudget(10_000_000)
    tracemalloc.start()
    try:
        recorders = [_calls.Recorder(buffer_budget) for _ in range(4)]
        for recorder in recorders:
            recorder.head(200, ())
            for index in range(100_000):
                recorder.chunk(b'%02d' % (index % 100))
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert buffer_budget.used == 800_000
    assert size < 2 * buffer_budget.used
    for _ in range(6):
        recorders[0].chunk(bytes(_calls.MAX_RECORDED_BODY_BYTES))
    assert recorders[0].response is None
    assert buffer_budget.used == 600_000
