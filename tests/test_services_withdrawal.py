"""Tests of the withdrawal of queued calls."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.net._messages import CallRefused
from gypsumhall.net._messages import CallWithdraw
from gypsumhall.net._messages import Message
from gypsumhall.services import _calls
from gypsumhall.testing import call_trial
from gypsumhall.testing.call_trial import CallTrial
from gypsumhall.testing.memory_network import Fault

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from trio.testing import MockClock

_DIALECT = dataclasses.replace(
    _calls.DEFAULT_DIALECT, server_load=b'x-server-load'
)
# Daemons 0, 2 and 4 are in one zone, and 4 has no backend server.
_SLOW, _FAST, _SENDER = 0, 2, 4


@contextlib.asynccontextmanager
async def _trial(header: bytes = b'1,0,4,100') -> AsyncIterator[CallTrial]:
    async with trio.open_nursery() as nursery:
        trial = CallTrial(nursery, 1, daemons=5, dialect=_DIALECT)
        trial.backend.server_load = header
        trial.backend.constant_service_time = True
        trial.backend.mean_service_time_s = 0.05
        await trial.start()
        await trio.sleep(20.0)
        yield trial
        await trio.sleep(25.0)
        call_trial.raise_on_violations(trial)
        nursery.cancel_scope.cancel()


async def _fill(trial: CallTrial, method: str, prefix: str = 'r') -> None:
    """Send requests of which some wait behind those at a slow endpoint."""
    times_s = trial.backend.mean_service_time_by_address
    times_s[f'backend-{_SLOW}'] = 0.8
    async with trio.open_nursery() as nursery:
        for index in range(14):
            request = trial.request(f'{prefix}{index}', method=method)
            nursery.start_soon(trial.call, _SENDER, request)
            await trio.sleep(0.004)


def _withdrawn(trial: CallTrial) -> float:
    return sum(
        daemon.metrics.value(
            'gypsumhall_runner_calls_total', result='withdrawn'
        )
        for daemon in trial.daemons
    )


def _fault_on(
    matches: Callable[[Message], bool], fault: Fault
) -> Callable[[str, str, Message], Fault]:
    def rule(source: str, target: str, message: Message) -> Fault:
        return fault if matches(message) else Fault.NONE

    return rule


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_queued_calls_move_to_a_free_endpoint(
    autojump_clock: MockClock, method: str
) -> None:
    """Guards against calls that wait although another endpoint is free."""
    async with _trial() as trial:
        await _fill(trial, method)
        assert trial.results == {'response': 14}
        assert set(trial.backend.runs.values()) == {1}
        moved = _withdrawn(trial)
        assert 0 < moved <= 14
        sender = trial.daemons[_SENDER].metrics
        reason = {'reason': 'withdrawn'}
        chosen = sender.value('gypsumhall_sender_choices_total', **reason)
        assert chosen == moved


@pytest.mark.parametrize('header', [b'', b'1,0', b'x', b'1,0,4'])
async def test_nothing_is_withdrawn_without_a_valid_header(
    autojump_clock: MockClock, header: bytes
) -> None:
    """Guards against a change for servers that do not state their load."""
    async with _trial(header) as trial:
        await _fill(trial, 'POST')
        assert trial.results == {'response': 14}
        assert not _withdrawn(trial)
        invalid = sum(
            daemon.metrics.value(
                'gypsumhall_runner_invalid_headers_total', header='server-load'
            )
            for daemon in trial.daemons
        )
        assert invalid == (14 if header in (b'1,0', b'x') else 0)


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    'fault', [Fault.BREAK_BEFORE, Fault.BREAK_AFTER, Fault.SILENCE]
)
async def test_lost_withdrawal_changes_nothing(
    autojump_clock: MockClock, method: str, fault: Fault
) -> None:
    """Guards against calls that are lost or run twice with the message."""
    async with _trial() as trial:
        trial.hub.fault_rule = _fault_on(
            lambda message: isinstance(message, CallWithdraw), fault
        )
        await _fill(trial, method)
        assert trial.results == {'response': 14}
        assert set(trial.backend.runs.values()) == {1}


@pytest.mark.parametrize(
    'fault', [Fault.BREAK_BEFORE, Fault.BREAK_AFTER, Fault.SILENCE]
)
async def test_lost_answer_to_a_withdrawal(
    autojump_clock: MockClock, fault: Fault
) -> None:
    """Guards against a second run, and against a false "not run"."""

    def matches(message: Message) -> bool:
        return isinstance(message, CallRefused) and message.code == 'withdrawn'

    async with _trial() as trial:
        trial.hub.fault_rule = _fault_on(matches, fault)
        await _fill(trial, 'POST')
        assert _withdrawn(trial) > 0
        assert set(trial.backend.runs.values()) == {1}
        assert sum(trial.results.values()) == 14


@pytest.mark.parametrize('after_s', [0.045, 0.055, 0.06, 0.07, 0.1, 0.2])
async def test_daemon_is_killed_with_withdrawn_calls(
    autojump_clock: MockClock, after_s: float
) -> None:
    """Guards against a second run after the loss of the ledger."""
    async with _trial() as trial:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_fill, trial, 'POST')
            await trio.sleep(after_s)
            await trial.restart(_SLOW, 0.3)
        assert sum(trial.results.values()) == 14
        assert max(trial.backend.runs.values()) == 1


async def test_a_call_is_withdrawn_at_most_once(
    autojump_clock: MockClock,
) -> None:
    """Guards against calls that move between endpoints without running."""
    async with _trial() as trial:
        counts: dict[str, int] = {}

        def rule(source: str, target: str, message: Message) -> Fault:
            if isinstance(message, CallWithdraw):
                name = message.request_id
                counts[name] = counts.get(name, 0) + 1
            return Fault.NONE

        trial.hub.fault_rule = rule
        for round_ in range(5):
            await _fill(trial, 'POST', f'{round_}-')
        assert counts
        assert sum(counts.values()) <= 70
        assert max(counts.values()) == 1
        assert trial.results == {'response': 70}


@pytest.mark.parametrize('seed', range(4))
async def test_random_faults_with_withdrawals(
    autojump_clock: MockClock, seed: int
) -> None:
    """Guards against false outcomes when messages are lost at random."""
    async with trio.open_nursery() as nursery:
        trial = CallTrial(
            nursery, seed, daemons=5, fault_rate=0.05, dialect=_DIALECT
        )
        trial.backend.server_load = b'1,0,4,100'
        trial.backend.mean_service_time_s = 0.05
        await trial.start()
        await trio.sleep(20.0)
        # Whether a call is withdrawn depends on the order of the tasks.
        for round_ in range(60):
            if round_ >= 6 and _withdrawn(trial):
                break
            await _fill(trial, 'POST', f'{round_}-')
        await trio.sleep(25.0)
        call_trial.raise_on_violations(trial)
        assert _withdrawn(trial) > 0
        nursery.cancel_scope.cancel()
