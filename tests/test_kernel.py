"""Tests of the micro-kernel."""

from __future__ import annotations

import pytest
import trio

from gypsumhall.kernel import Kernel
from gypsumhall.kernel import KernelError


class _RecordingService:
    def __init__(
        self, name: str, requires: tuple[str, ...], log: list[str]
    ) -> None:
        self.name = name
        self.requires = requires
        self._log = log

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        self._log.append(f'start {self.name}')
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        self._log.append(f'drain {self.name}')


async def test_services_start_after_what_they_require_and_drain_before(
    autojump_clock: trio.testing.MockClock,
) -> None:
    log: list[str] = []
    kernel = Kernel()
    kernel.register(_RecordingService('caller', ('peers',), log))
    kernel.register(_RecordingService('peers', (), log))
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        kernel.stop()
    assert log == [
        'start peers',
        'start caller',
        'drain caller',
        'drain peers',
    ]


class _HangingService(_RecordingService):
    async def drain(self) -> None:
        await super().drain()
        await trio.sleep_forever()


async def test_a_drain_that_uses_up_the_timeout_does_not_block_the_others(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a drain that uses up the time of the other services.

    The daemon then stopped without notifying other daemons that it leaves and
    without releasing its leases.
    """
    log: list[str] = []
    kernel = Kernel()
    kernel.register(_HangingService('caller', ('peers',), log))
    kernel.register(_HangingService('peers', ('membership',), log))
    kernel.register(_RecordingService('membership', (), log))
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        started = trio.current_time()
        kernel.stop()
    assert log[3] == 'drain caller'
    assert sorted(log[4:]) == ['drain membership', 'drain peers']
    assert trio.current_time() - started <= 30.0


@pytest.mark.parametrize(
    ('requires', 'expected'),
    [
        ({'a': ('b',), 'b': ('a',)}, 'a -> b -> a'),
        ({'a': ('missing',)}, "'missing', which is not registered"),
    ],
)
async def test_unsatisfiable_requirements_are_rejected(
    requires: dict[str, tuple[str, ...]], expected: str
) -> None:
    kernel = Kernel()
    for name, required in requires.items():
        kernel.register(_RecordingService(name, required, []))
    with pytest.raises(KernelError, match=expected):
        await kernel.run()


def test_get_rejects_a_service_of_another_type() -> None:
    kernel = Kernel()
    kernel.register(_RecordingService('peers', (), []))
    with pytest.raises(KernelError, match='expected dict'):
        kernel.get('peers', dict)
