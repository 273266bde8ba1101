"""Tests of the decisions about pipelined requests."""

from __future__ import annotations

from gypsumhall.core._pipelining import Admission
from gypsumhall.core._pipelining import Pipeline
from gypsumhall.core._pipelining import PipelinedRequest


def _pipeline(
    count: int, max_requests: int = 8, max_bytes: int = 1000, size: int = 10
) -> tuple[Pipeline, list[PipelinedRequest]]:
    pipeline = Pipeline(max_requests, max_bytes)
    requests = [PipelinedRequest(size) for _ in range(count)]
    for request in requests:
        pipeline.add(request)
    return pipeline, requests


def test_room_is_limited_by_number_and_size() -> None:
    assert not _pipeline(3, max_requests=3)[0].has_room()
    assert _pipeline(2, max_requests=3)[0].has_room()
    assert not _pipeline(1, size=1000)[0].has_room()
    # A request of any size is read if no other is unanswered.
    assert _pipeline(0, max_bytes=0)[0].has_room()


def test_request_that_may_run_once_is_admitted_when_it_is_first() -> None:
    pipeline, (first, second) = _pipeline(2)
    assert pipeline.admit(second, alone=True) is Admission.WAIT
    assert pipeline.admit(second, alone=False) is Admission.GRANTED
    pipeline.finish(first)
    assert pipeline.admit(second, alone=True) is Admission.GRANTED


def test_nothing_is_admitted_behind_a_started_response() -> None:
    pipeline, (first, second) = _pipeline(2)
    first.response_started = True
    assert pipeline.admit(second, alone=False) is Admission.WAIT
    assert not second.passed_on


def test_response_is_held_while_a_later_request_runs() -> None:
    pipeline, (first, second, third) = _pipeline(3)
    assert pipeline.admit(first, alone=False) is Admission.GRANTED
    assert not pipeline.holds_response(first)
    assert pipeline.holds_response(second)
    assert pipeline.admit(third, alone=False) is Admission.GRANTED
    assert pipeline.holds_response(first)


def test_last_request_that_was_passed_on_closes_the_connection() -> None:
    pipeline, (first, second, third, fourth) = _pipeline(4)
    pipeline.admit(first, alone=False)
    pipeline.admit(third, alone=False)
    assert not pipeline.close_after(first)
    assert pipeline.closing
    assert not pipeline.has_room()
    # One in front of the last response still gets its own.
    pipeline.finish(first)
    assert not pipeline.is_dropped(second)
    assert pipeline.admit(second, alone=True) is Admission.GRANTED
    assert not pipeline.close_after(second)
    assert pipeline.is_dropped(fourth)
    assert pipeline.admit(fourth, alone=False) is Admission.NOT_READ
    pipeline.finish(second)
    assert pipeline.close_after(third)
    pipeline.finish(third)
    assert pipeline.is_dropped(fourth)


def test_response_without_followers_closes_the_connection() -> None:
    pipeline, (first, second) = _pipeline(2)
    pipeline.admit(first, alone=False)
    assert pipeline.close_after(first)
    assert pipeline.is_dropped(second)


def test_answered_request_is_not_dropped_when_a_later_one_closes() -> None:
    """A task that still watches its caller would end the daemon."""
    pipeline, (first, second) = _pipeline(2)
    pipeline.admit(first, alone=False)
    pipeline.admit(second, alone=False)
    assert not pipeline.close_after(first)
    pipeline.finish(first)
    assert not pipeline.is_dropped(first)
