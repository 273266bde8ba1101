"""Runs a kernel as the main program until a termination signal."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from loguru import logger
import trio

from gypsumhall._errors import GypsumhallError
from gypsumhall.services._lifecycle import Lifecycle

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumhall.kernel import Kernel

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def _run(
    kernel: Kernel,
    drain_timeout_s: float,
    ignored_signals: Sequence[signal.Signals],
    early_signals: Sequence[int],
) -> None:
    def handle(received: int) -> None:
        lifecycle = kernel.get('lifecycle', Lifecycle)
        lifecycle.record_signal(signal.Signals(received).name)
        if received in _STOP_SIGNALS:
            kernel.stop()

    with trio.open_signal_receiver(
        *_STOP_SIGNALS, *ignored_signals
    ) as signals:
        async with trio.open_nursery() as nursery:

            async def stop_on_signal() -> None:
                async for received in signals:
                    handle(received)

            for received in tuple(early_signals):
                handle(received)
            nursery.start_soon(stop_on_signal)
            await kernel.run(drain_timeout_s=drain_timeout_s)
            nursery.cancel_scope.cancel()


def run_kernel(
    kernel: Kernel,
    drain_timeout_s: float,
    ignored_signals: Sequence[signal.Signals] = (),
) -> int:
    """Run a kernel until SIGTERM or SIGINT, and return the exit status.

    The signals have no effect after the run, so that they do not change the
    exit status of the process.

    Parameters
    ----------
    kernel : Kernel
        Kernel with all services registered.
    drain_timeout_s : float
        Time limit in seconds for draining all services.
    ignored_signals : sequence of signal.Signals
        Signals that are caught and ignored.

    Returns
    -------
    int
        0 after a graceful shutdown, 1 when a service failed.
    """
    status = 0
    other_signals: list[int] = []
    for number in (*_STOP_SIGNALS, *ignored_signals):
        # Called before and after the time in which the kernel receives them.
        signal.signal(number, lambda other, _: other_signals.append(other))
    try:
        trio.run(_run, kernel, drain_timeout_s, ignored_signals, other_signals)
    except* (OSError, GypsumhallError):
        raise
    except* Exception as group:
        logger.opt(exception=group).critical('a service failed')
        status = 1
    # The interpreter restores the default action of handlers when it exits.
    for number in (*_STOP_SIGNALS, *ignored_signals):
        signal.signal(number, signal.SIG_IGN)
    return status
