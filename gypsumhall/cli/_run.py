"""Run of a kernel as a process, until it is asked to stop."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from loguru import logger
import trio

from gypsumhall._errors import GypsumhallError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumhall.kernel import Kernel

_STOPS = (signal.SIGTERM, signal.SIGINT)


async def _run(
    kernel: Kernel, drain_timeout_s: float, ignored: Sequence[signal.Signals]
) -> None:
    with trio.open_signal_receiver(*_STOPS, *ignored) as signals:
        async with trio.open_nursery() as nursery:

            async def stop_on_signal() -> None:
                async for number in signals:
                    if number in _STOPS:
                        kernel.stop()

            nursery.start_soon(stop_on_signal)
            await kernel.run(drain_timeout_s=drain_timeout_s)
            nursery.cancel_scope.cancel()


def run_kernel(
    kernel: Kernel,
    drain_timeout_s: float,
    ignored: Sequence[signal.Signals] = (),
) -> int:
    """Run a kernel until SIGTERM or SIGINT, and return the exit status.

    Parameters
    ----------
    kernel : Kernel
        Services to run.
    drain_timeout_s : float
        Longest time in seconds that draining may take in total.
    ignored : sequence of signal.Signals
        Signals that have no effect.

    Returns
    -------
    int
        0 after a planned stop, 1 when a service failed.
    """
    status = 0
    try:
        trio.run(_run, kernel, drain_timeout_s, ignored)
    except* (OSError, GypsumhallError):
        raise
    except* Exception as group:
        logger.opt(exception=group).critical('a service failed')
        status = 1
    return status
