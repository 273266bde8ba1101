"""Tests of the events about the start and the shutdown of a daemon."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.cli import _run
from gypsumhall.kernel import Kernel
from gypsumhall.services._lifecycle import Lifecycle
from gypsumhall.testing import fakes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trio.testing import MockClock


@pytest.fixture(autouse=True)
def _restore_signal_handlers() -> Iterator[None]:
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    handlers = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, handlers, strict=True):
        signal.signal(number, handler)


def _build_kernel(events: fakes.FakeEvents) -> Kernel:
    kernel = Kernel()
    kernel.register(events)
    kernel.register(Lifecycle())
    return kernel


async def test_a_shutdown_leaves_lines_with_its_times(
    autojump_clock: MockClock,
) -> None:
    """Without them the log cannot place a failed request in a shutdown."""
    events = fakes.FakeEvents()
    kernel = _build_kernel(events)
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        await trio.sleep(2.0)
        kernel.stop()
    assert events.emitted == [
        ('daemon-started', {'pid': os.getpid()}),
        ('shutdown-started', {'uptime_s': 2.0}),
        ('daemon-stopped', {'shutdown_ms': 0.0}),
    ]


def test_signals_are_logged() -> None:
    """A SIGHUP, which changes nothing, leaves a line as well."""
    events = fakes.FakeEvents()
    kernel = _build_kernel(events)

    class Stopper(fakes.FakeService):
        name = 'stopper'

        async def run(
            self,
            kernel: Kernel,
            *,
            task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
        ) -> None:
            task_status.started()
            os.kill(os.getpid(), signal.SIGHUP)
            await trio.sleep(0.1)
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.sleep_forever()

    kernel.register(Stopper())
    assert _run.run_kernel(kernel, 1.0, (signal.SIGHUP,)) == 0
    received = [
        fields['signal']
        for code, fields in events.emitted
        if code == 'signal-received'
    ]
    assert received == ['SIGHUP', 'SIGTERM']
    assert events.codes[-1] == 'daemon-stopped'


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGHUP])
def test_signal_before_or_after_the_run_does_not_end_the_process(
    number: signal.Signals,
) -> None:
    """A signal at the end replaced exit status 0, one at the start failed."""
    script = f"""
import os
import signal
from gypsumhall.cli import _run
from gypsumhall.kernel import Kernel
from gypsumhall.services._lifecycle import Lifecycle
from gypsumhall.testing import fakes
import trio


class Events(fakes.FakeEvents):
    async def run(self, kernel, *, task_status):
        os.kill(os.getpid(), {number})
        # Signals are received by a task.
        await trio.sleep(0.1)
        await super().run(kernel, task_status=task_status)


kernel = Kernel()
kernel.register(Events())
kernel.register(Lifecycle())
kernel.stop()
status = _run.run_kernel(kernel, 1.0, (signal.SIGHUP,))
os.kill(os.getpid(), {number})
print(f'ended with {{status}}')


class Last:
    def __del__(self, kill=os.kill, pid=os.getpid()):
        kill(pid, {number})


# Deleted when the interpreter has restored the default action of handlers.
last = Last()
"""
    result = subprocess.run(
        [sys.executable, '-c', script], capture_output=True, text=True
    )
    assert (result.returncode, result.stdout) == (0, 'ended with 0\n')
