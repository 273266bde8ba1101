"""Short runs of the soak, and tests that its checks can fail."""

from __future__ import annotations

from pathlib import Path
import random
import re
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import pytest
import trio

from soak._checks import Checks
from soak._configurations import Operator
from soak._plan import draw_plan
from soak._records import End
from soak._records import Request
from soak._records import Run
from soak._records import RunEnd
from soak._run import Settings
from soak._run import Soak
from soak._starvation import Starvation

if TYPE_CHECKING:
    from collections.abc import Callable


_ROOT = Path(__file__).parents[1]


@pytest.mark.timeout(300)
@pytest.mark.parametrize(
    'settings',
    [
        Settings(102, 28.0, 4, unplanned=False),
        Settings(201, 28.0, 4, unplanned=True),
        Settings(700, 28.0, 4, unplanned=False),
    ],
    ids=lambda settings: f'{settings.seed}',
)
async def test_promises_hold_beside_faults(
    settings: Settings, tmp_path: Path
) -> None:
    """Guards what callers and endpoints are promised, see docs/soak.md."""
    soak = Soak(settings, tmp_path)
    await soak.run()
    violations = soak.checks.violations
    assert not violations, f'{settings.command}: {violations}'
    assert len(soak.checks.records) > 0


@pytest.mark.timeout(300)
def test_interrupted_run_ends_its_processes() -> None:
    """Daemons of an interrupted run must not go on."""
    soak = subprocess.Popen(
        [sys.executable, '-m', 'soak', '--seed=5', '--daemons=2'],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        while len(daemons := _children(soak.pid)) < 2:
            assert soak.poll() is None
            time.sleep(0.05)
        soak.send_signal(signal.SIGINT)
        output, _ = soak.communicate()
    finally:
        soak.kill()
        soak.wait()
    assert soak.returncode == 2, output
    assert not [pid for pid in daemons if Path(f'/proc/{pid}').exists()]


def _children(pid: int) -> list[int]:
    """Return the child processes that have executed their program."""
    pids = []
    for path in Path(f'/proc/{pid}/task').glob('*/children'):
        for child in path.read_text().split():
            command = Path(f'/proc/{child}/cmdline').read_bytes()
            if b'gypsumhall.cli.fleet' in command:
                pids.append(int(child))
    return pids


def test_plan_depends_only_on_its_seed() -> None:
    """A failure could not be repeated otherwise."""
    plans = [
        [str(event) for event in draw_plan(seed, 60.0, 5, unplanned=True)]
        for seed in (1, 1, 2)
    ]
    assert plans[0] == plans[1] != plans[2]
    planned = draw_plan(1, 60.0, 5, unplanned=False)
    assert {event.kind for event in planned} <= {
        'term',
        'hup',
        'config',
        'leave',
    }


# Checks


def _build_checks() -> Checks:
    checks = Checks(Starvation(dict))
    checks.services = ['alpha', 'alpha']
    return checks


def _build_request(method: str = 'POST') -> Request:
    prefix = '/alpha/write/' if method == 'POST' else '/alpha/read/'
    request = Request(
        'r1',
        0,
        prefix,
        method,
        f'{prefix}r1?ms=1000&size=10&status=200',
        b'',
        idempotent=method == 'GET',
        stated_ms=2000,
    )
    request.write_started_at = request.written_at = 100.0
    return request


def _add_run(
    request: Request, end: RunEnd = RunEnd.ANSWERED, ended_at: float = 101.0
) -> Run:
    run = Run(1, 'i-1', 100.1, f's{len(request.runs)}')
    run.status, run.size = 200, 10
    run.end, run.ended_at = end, ended_at
    if end is RunEnd.ANSWERED:
        run.answering_at = ended_at
    request.runs.append(run)
    request.arrivals.append(100.1)
    return run


def _run_twice(checks: Checks) -> None:
    request = _build_request()
    for number in range(2):
        checks.start_run(request, Run(1, 'i-1', 100.0, f's{number}'))


def _refuse_after_run(checks: Checks) -> None:
    request = _build_request()
    _add_run(request)
    request.status = 503
    request.finish(End.ANSWERED, 101.0)
    checks.finish(request)


def _run_after_refusal(checks: Checks) -> None:
    request = _build_request()
    request.status = 429
    request.finish(End.ANSWERED, 101.0)
    checks.finish(request)
    checks.start_run(request, Run(1, 'i-1', 102.0, 's'))


def _cut_body(checks: Checks) -> None:
    request = _build_request()
    run = _add_run(request)
    request.status, request.signature = 200, run.signature
    request.answer_body = run.body[:5]
    request.finish(End.ANSWERED, 101.0)
    checks.finish(request)


def _answer_of_another(checks: Checks) -> None:
    request = _build_request()
    _add_run(request)
    request.status, request.signature = 200, 's99'
    request.finish(End.ANSWERED, 101.0)
    checks.finish(request)


def _replaced_failure(checks: Checks) -> None:
    request = _build_request()
    run = _add_run(request)
    run.status = 500
    request.status, request.signature = 200, run.signature
    request.answer_body = run.body
    request.finish(End.ANSWERED, 101.0)
    checks.finish(request)


def _close_during_run(checks: Checks) -> None:
    request = _build_request()
    _add_run(request, RunEnd.CUT, 100.5)
    request.finish(End.CLOSED, 100.5)
    checks.finish(request)


def _close_unanswered(checks: Checks) -> None:
    request = _build_request()
    request.finish(End.CLOSED, 100.3)
    checks.finish(request)


def _cut_run(checks: Checks) -> None:
    request = _build_request()
    _add_run(request, RunEnd.CUT, 100.5)
    request.status = 502
    request.finish(End.ANSWERED, 100.6)
    checks.records.add(request)
    checks.settle(110.0)


def _answer_in_place_of_run(checks: Checks) -> None:
    request = _build_request()
    _add_run(request, RunEnd.ANSWERED, 101.1)
    request.status = 504
    request.finish(End.ANSWERED, 100.6)
    checks.records.add(request)
    checks.settle(110.0)


def _work_after_leave(checks: Checks) -> None:
    for number in range(8):
        request = _build_request('GET')
        request.id = f'r{number}'
        _add_run(request, RunEnd.ANSWERED, 101.1)
        request.finish(End.LEFT, 100.3)
        checks.records.add(request)
    checks.finish_run()


@pytest.mark.parametrize(
    ('violate', 'check'),
    [
        (_run_twice, 'at most once'),
        (_refuse_after_run, 'untruthful refusal'),
        (_run_after_refusal, 'untruthful refusal'),
        (_cut_body, 'incomplete body'),
        (_answer_of_another, 'foreign signature'),
        (_replaced_failure, 'changed status'),
        (_close_during_run, 'lost'),
        (_close_unanswered, 'lost'),
        (_cut_run, 'run cut'),
        (_answer_in_place_of_run, 'run cut'),
        (_work_after_leave, 'work after a leave'),
    ],
)
def test_check_reports_a_violation(
    violate: Callable[[Checks], None], check: str
) -> None:
    """A check that cannot fail shows nothing."""

    async def report() -> list[str]:
        checks = _build_checks()
        checks.operator = Operator(random.Random(0), lambda key, value: None)
        checks.operator.versions[0].sent_at = 0.0
        violate(checks)
        checks.settle(float('inf'))
        return checks.violations

    (violation,) = trio.run(report)
    assert re.search(f' {check}: ', violation)
