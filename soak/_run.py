"""Runs daemons, callers and endpoints through a plan of faults."""

from __future__ import annotations

from functools import partial
import random
import signal
from typing import TYPE_CHECKING

import trio

from soak import _configurations
from soak._callers import Caller
from soak._callers import VersionProbe
from soak._checks import Checks
from soak._configurations import Operator
from soak._endpoint import Endpoint
from soak._plan import draw_plan
from soak._processes import Daemon
from soak._processes import GRACE_S
from soak._processes import reserve_network
from soak._processes import store_address
from soak._processes import Vm
from soak._relay import Links
from soak._relay import serve_relay
from soak._starvation import Starvation
from soak._store import FaultyStore

if TYPE_CHECKING:
    from pathlib import Path

    from soak._plan import Event

_START_TIMEOUT_S = 60.0
_CHECK_INTERVAL_S = 0.25
_DISRUPTION_TAIL_S = 1.0
_CALLERS_PER_DAEMON = 3
# Time after the load in which daemons that waited are noticed.
_END_S = 1.0
# A daemon that waited for the processor may end later than it must.
_KILL_AFTER_S = 2 * GRACE_S
_MAX_ZONES = 3


class Settings:
    """Settings of a run.

    Parameters
    ----------
    seed : int
        Seed of the plan and of the requests.
    seconds : float
        Length of the run.
    daemons : int
        Number of daemons.
    unplanned : bool
        Whether there are faults other than planned work.
    batches_per_s : float
        Batches of requests that all callers together send per second.
    """

    __slots__ = ('batches_per_s', 'daemons', 'seconds', 'seed', 'unplanned')

    def __init__(
        self,
        seed: int,
        seconds: float,
        daemons: int,
        *,
        unplanned: bool,
        batches_per_s: float = 60.0,
    ) -> None:
        self.seed = seed
        self.seconds = seconds
        self.daemons = daemons
        self.unplanned = unplanned
        self.batches_per_s = batches_per_s

    @property
    def command(self) -> str:
        """Command that repeats the run."""
        faults = 'all' if self.unplanned else 'planned'
        return (
            f'python -m soak --seed {self.seed} --seconds {self.seconds:g} '
            f'--daemons {self.daemons} --faults {faults}'
        )


class Soak:
    """A run.

    Parameters
    ----------
    settings : Settings
        Its settings.
    directory : Path
        Directory of the logs.
    """

    def __init__(self, settings: Settings, directory: Path) -> None:
        self._settings = settings
        self._directory = directory
        self.starvation = Starvation(self._pids)
        self.checks = Checks(self.starvation)
        self._links = Links()
        self._daemons: list[Daemon] = []
        self._endpoints: list[Endpoint] = []
        self._store: FaultyStore
        self._store_faults = 0
        self._log = (directory / 'soak.log').open('w', buffering=1)

    async def run(self) -> None:
        """Run the plan; end all processes that were started."""
        settings = self._settings
        network, lock = reserve_network()
        with lock:
            self._store = FaultyStore()
            for index in range(settings.daemons):
                service = _configurations.SERVICES[index % 3 == 2]
                zones = min(settings.daemons, _MAX_ZONES)
                vm = Vm(index, network, zones, service)
                daemon = Daemon(
                    vm,
                    self._directory,
                    self.checks,
                    relayed=settings.unplanned,
                )
                self._daemons.append(daemon)
            self.checks.services = [item.vm.service for item in self._daemons]
            try:
                async with trio.open_nursery() as nursery:
                    await self._run_in(nursery, network)
                    nursery.cancel_scope.cancel()
            finally:
                with trio.CancelScope(shield=True):
                    for daemon in self._daemons:
                        await daemon.kill()
                self._log.close()

    async def _run_in(self, nursery: trio.Nursery, network: int) -> None:
        settings, checks = self._settings, self.checks
        await nursery.start(self._store.serve, store_address(network))
        checks.operator = Operator(
            random.Random(f'operator {settings.seed}'),
            self._store.write_as_operator,
        )
        for daemon in self._daemons:
            vm = daemon.vm
            if settings.unplanned:
                await nursery.start(serve_relay, vm, self._links)
            rng = random.Random(f'endpoint {settings.seed} {vm.index}')
            delays = random.Random(f'delays {settings.seed} {vm.index}')
            endpoint = Endpoint(vm, checks, rng, delays)
            self._endpoints.append(endpoint)
            nursery.start_soon(endpoint.run)
            nursery.start_soon(daemon.probe)
            nursery.start_soon(self._keep_running, daemon)
        nursery.start_soon(self.starvation.run)
        nursery.start_soon(self._check_processes)
        with trio.move_on_after(_START_TIMEOUT_S):
            while not all(  # noqa: ASYNC110
                item.ready_since for item in self._daemons
            ):
                await trio.sleep(_CHECK_INTERVAL_S)
        if not all(item.ready_since for item in self._daemons):
            checks.report('start', 'not ready after 60 s')
            return
        await self._run_plan(nursery)

    async def _run_plan(self, nursery: trio.Nursery) -> None:
        settings, checks = self._settings, self.checks
        started = trio.current_time()
        callers = settings.daemons * _CALLERS_PER_DAEMON
        async with trio.open_nursery() as load:
            for daemon in self._daemons:
                index = daemon.vm.index
                rng = random.Random(f'probe {settings.seed} {index}')
                probe = VersionProbe(
                    daemon, checks, rng, self.starvation.waited
                )
                load.start_soon(probe.run)
                for number in range(_CALLERS_PER_DAEMON):
                    rng = random.Random(
                        f'caller {settings.seed} {index} {number}'
                    )
                    caller = Caller(
                        daemon, checks, rng, callers / settings.batches_per_s
                    )
                    load.start_soon(caller.run)
            for event in draw_plan(
                settings.seed,
                settings.seconds,
                settings.daemons,
                unplanned=settings.unplanned,
            ):
                await trio.sleep_until(started + event.time_s)
                print(f'{trio.current_time():.3f} {event}', file=self._log)
                self._apply(event, nursery)
            await trio.sleep_until(started + settings.seconds)
            load.cancel_scope.cancel()
        await trio.sleep(_END_S)
        checks.finish_run()

    def _apply(self, event: Event, nursery: trio.Nursery) -> None:
        daemon = self._daemons[event.vm]
        if event.kind == 'term':
            self.checks.record_termination(event.vm)
            daemon.send_signal(signal.SIGTERM)
        elif event.kind == 'hup':
            # Before the process listens, SIGHUP has its default action.
            if daemon.listened:
                daemon.send_signal(signal.SIGHUP)
        elif event.kind == 'config':
            self.checks.operator.change(event.detail)
        elif event.kind == 'leave':
            self._endpoints[event.vm].leave()
        elif event.kind == 'kill':
            nursery.start_soon(self._kill, daemon)
        elif event.kind == 'freeze':
            nursery.start_soon(self._freeze, daemon, event.duration_s)
        elif event.kind == 'link':
            nursery.start_soon(self._disturb_links, event)
        else:
            nursery.start_soon(self._disturb_store, event)

    async def _kill(self, daemon: Daemon) -> None:
        end = self.checks.begin_disruption()
        daemon.send_signal(signal.SIGKILL)
        await trio.sleep(_DISRUPTION_TAIL_S)
        while daemon.ready_since is None:  # noqa: ASYNC110
            await trio.sleep(_CHECK_INTERVAL_S)
        end()

    async def _freeze(self, daemon: Daemon, duration_s: float) -> None:
        end = self.checks.begin_disruption()
        daemon.send_signal(signal.SIGSTOP)
        await trio.sleep(duration_s)
        daemon.send_signal(signal.SIGCONT)
        end()

    async def _disturb_links(self, event: Event) -> None:
        ip = self._daemons[event.vm].vm.ip
        others = [item.vm.ip for item in self._daemons if item.vm.ip != ip]
        outgoing = [(ip, other) for other in others]
        both = outgoing + [(other, ip) for other in others]
        end = self.checks.begin_disruption()
        match event.detail:
            case 'delay':
                self._links.delay(both, 0.3)
            case 'cut':
                self._links.block(both)
            case 'cut-one-way':
                self._links.block(outgoing)
            case 'reset':
                self._links.reset(both)
            case _:
                self._links.silence(both)
        await trio.sleep(max(event.duration_s, _DISRUPTION_TAIL_S))
        self._links.heal(both)
        end()

    async def _disturb_store(self, event: Event) -> None:
        end = self.checks.begin_disruption(of_store=True)
        self._store_faults += 1
        self._store.begin(event.detail)
        await trio.sleep(event.duration_s)
        self._store_faults -= 1
        if not self._store_faults:
            self._store.end()
        end()

    async def _keep_running(self, daemon: Daemon) -> None:
        """Start a daemon whenever it has ended."""
        rng = random.Random(f'daemon {self._settings.seed} {daemon.vm.index}')
        while True:
            await daemon.start()
            while not await daemon.wait_end(_CHECK_INTERVAL_S):
                self._kill_late_daemon(daemon)
            daemon.check_alive()
            if daemon.terminated_at is not None:
                self.checks.defer(
                    partial(
                        self._check_grace_time,
                        daemon.vm.index,
                        daemon.terminated_at,
                        trio.current_time(),
                    )
                )
            daemon.ready_since = None
            await trio.sleep(rng.uniform(0.1, 1.0))

    def _kill_late_daemon(self, daemon: Daemon) -> None:
        terminated_at = daemon.terminated_at
        if terminated_at is not None and (
            trio.current_time() > terminated_at + _KILL_AFTER_S
        ):
            daemon.send_signal(signal.SIGKILL)

    def _check_grace_time(
        self, daemon: int, terminated_at: float, ended_at: float
    ) -> None:
        elapsed_s = ended_at - terminated_at
        bound_s = GRACE_S + self.starvation.waited(terminated_at, ended_at)
        if (
            # The end is noticed at the next check of the process.
            elapsed_s > bound_s + _CHECK_INTERVAL_S
            and self.checks.is_calm(terminated_at, ended_at)
        ):
            self.checks.report(
                'grace time exceeded',
                f'daemon {daemon} after {elapsed_s:.3f} s',
            )

    async def _check_processes(self) -> None:
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            self.checks.settle(trio.current_time())

    def _pids(self) -> dict[int, int]:
        pids = {}
        for daemon in self._daemons:
            if daemon.pid is not None:
                pids[daemon.vm.index] = daemon.pid
        return pids
