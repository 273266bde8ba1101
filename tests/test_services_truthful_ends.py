"""Tests of requests that end although no byte reached a backend server.

They got 502 or 504, so that callers could not retry what must not run twice.
"""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.core._member import EndpointState
from gypsumhall.net._messages import BodyChunk
from gypsumhall.net._messages import CallStart
from gypsumhall.net._messages import Message
from gypsumhall.services import _calls
from gypsumhall.testing import builders
from gypsumhall.testing import call_trial
from gypsumhall.testing.call_trial import CallTrial
from gypsumhall.testing.memory_network import Fault

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock

_SLOTS = 4


@contextlib.asynccontextmanager
async def _trial(daemons: int = 2) -> AsyncIterator[CallTrial]:
    async with trio.open_nursery() as nursery:
        trial = CallTrial(nursery, 1, daemons=daemons)
        await trial.start()
        await trio.sleep(20.0)
        yield trial
        call_trial.raise_on_violations(trial)
        nursery.cancel_scope.cancel()


async def _fill_slots(trial: CallTrial, nursery: trio.Nursery) -> None:
    """Occupy all slots of the first endpoint for many seconds."""
    trial.backend.hanging_addresses.add('backend-0')
    for index in range(_SLOTS):
        request = trial.request(f'slot-{index}', timeout_s=60.0)
        nursery.start_soon(trial.call, 0, request)
    await trio.sleep(0.1)


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_call_that_could_not_be_sent_was_not_run(
    autojump_clock: MockClock, method: str
) -> None:
    """The whole call waits in the send queue until the deadline."""
    async with _trial() as trial:
        trial.hub.held.add(trial.daemons[0].membership.me.peer_address)
        request = dataclasses.replace(
            trial.request('r1', method=method, timeout_s=1.0), attempts=1
        )
        assert await trial.call(1, request) == 'not-run'
        assert trio.current_time() <= request.deadline + 0.5


async def test_call_with_an_incomplete_body_was_not_run(
    autojump_clock: MockClock,
) -> None:
    """A daemon that is killed during the transfer cannot be asked."""
    async with _trial() as trial:
        peer = trial.daemons[0].membership.me.peer_address

        def kill(source: str, target: str, message: Message) -> Fault:
            if isinstance(message, BodyChunk):
                trial.hub.remove(peer)
            return Fault.NONE

        trial.hub.fault_rule = kill
        request = dataclasses.replace(
            trial.request('r1', timeout_s=2.0),
            body=bytes(3 * _calls.CHUNK_BYTES),
        )
        assert await trial.call(1, request) == 'not-run'


@pytest.mark.parametrize('fault', [Fault.BREAK_BEFORE, Fault.SILENCE])
async def test_idempotent_call_that_did_not_arrive_was_not_run(
    autojump_clock: MockClock, fault: Fault
) -> None:
    async with _trial() as trial:

        def lose(source: str, target: str, message: Message) -> Fault:
            return fault if isinstance(message, CallStart) else Fault.NONE

        trial.hub.fault_rule = lose
        request = dataclasses.replace(
            trial.request('r1', method='GET', timeout_s=1.5), attempts=1
        )
        assert await trial.call(1, request) == 'not-run'
        assert trio.current_time() <= request.deadline + 0.5


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_call_that_waits_at_a_cut_stream_was_not_run(
    autojump_clock: MockClock, method: str
) -> None:
    """The daemon that queued it is alive and knows that it did not run it."""
    async with _trial() as trial, trio.open_nursery() as nursery:
        await _fill_slots(trial, nursery)
        results: list[str] = []

        async def call() -> None:
            request = dataclasses.replace(
                trial.request('r1', method=method, timeout_s=2.0), attempts=1
            )
            results.append(await trial.call(1, request))

        nursery.start_soon(call)
        await trio.sleep(0.2)
        assert trial.daemons[0].runner.load.queued == 1
        for stream in list(trial.hub.streams):
            stream.abort()
        await trio.sleep(2.5)
        assert results == ['not-run']
        nursery.cancel_scope.cancel()


async def test_wait_for_an_endpoint_leaves_the_caller_time_to_return(
    autojump_clock: MockClock,
) -> None:
    """It lasted until the deadline, after which nobody can retry."""
    async with _trial() as trial:
        endpoint = builders.build_endpoint(state=EndpointState.STARTING)
        trial.daemons[0].runner.set_backend(endpoint, 'backend-0')
        request = trial.request('r1', timeout_s=2.8)
        assert await trial.call(1, request) == 'not-run'
        assert request.deadline - trio.current_time() >= 1.4


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('failure', ['killed', 'frozen'])
async def test_loss_of_the_queueing_daemon_ends_its_calls_in_time(
    autojump_clock: MockClock, method: str, failure: str
) -> None:
    """It may have begun to run them, so that "not run" would be a guess."""
    async with _trial() as trial, trio.open_nursery() as nursery:
        await _fill_slots(trial, nursery)
        results: list[tuple[str, float]] = []
        deadline = trio.current_time() + 2.0

        async def call(number: int) -> None:
            request = trial.request(f'r{number}', method=method, timeout_s=2.0)
            result = await trial.call(1, request)
            results.append((result, trio.current_time()))

        for number in range(3):
            nursery.start_soon(call, number)
        await trio.sleep(0.2)
        assert trial.daemons[0].runner.load.queued
        peer = trial.daemons[0].membership.me.peer_address
        if failure == 'killed':
            trial.hub.remove(peer)
        else:
            trial.hub.silent.add(peer)
        await trio.sleep(4.0)
        assert len(results) == 3
        assert all(ended <= deadline + 0.5 for _, ended in results)
        nursery.cancel_scope.cancel()
