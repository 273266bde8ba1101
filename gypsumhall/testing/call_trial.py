"""Randomized fault injection trials of the call path of several daemons.

A trial runs under any clock; with `trio.testing.MockClock` it does not wait
in real time. It checks invariants that hold under all faults: no request that
must not be repeated runs twice, no rejection falsely reports ``not-run``, and
each response belongs to its request and is complete.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import msgspec
import trio

from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus
from gypsumhall.core._model import Move
from gypsumhall.core._model import MoveState
from gypsumhall.net._messages import Message
from gypsumhall.net._messages import Outcome
from gypsumhall.services import _calls
from gypsumhall.testing import builders
from gypsumhall.testing import fakes
from gypsumhall.testing.daemons import build_restarted_member
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallPathDaemon
from gypsumhall.testing.daemons import MemoryBackend
from gypsumhall.testing.memory_network import Fault
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork


class CollectingSink:
    """Stores a response for checks."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b''
        self.complete = False

    async def head(self, status: int, headers: _calls.Headers) -> None:
        """Store the status of the response."""
        self.status = status

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Append a part of the body."""
        assert not self.complete, 'data after the end of the response'
        self.body += data
        self.complete = last


class CallTrial:
    """Daemons with separate member tables and injected faults.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the daemons.
    seed : int
        Seed of all random choices.
    daemons : int
        Number of daemons, alternating between two zones. The last has no
        backend server; that of the second-last runs the new version if
        there is a move.
    share : float
        Share of traffic for the new version of the move; 0 for no move.
    fault_rate : float
        Share of messages between daemons that get a fault.
    availability_wait_s : float
        Longest time in seconds for which a graceful shutdown waits for other
        endpoints.
    dialect : Dialect
        Names of the headers that callers and backend servers use.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int,
        *,
        daemons: int = 5,
        share: float = 0.0,
        fault_rate: float = 0.0,
        availability_wait_s: float = 0.0,
        dialect: _calls.Dialect = _calls.DEFAULT_DIALECT,
    ) -> None:
        self._dialect = dialect
        self._nursery = nursery
        self._availability_wait_s = availability_wait_s
        self.rng = Random(seed)
        self.hub = MemoryHub(nursery)
        self.backend = MemoryBackend(self.rng)
        self._fault_rate = fault_rate
        if fault_rate:
            self.hub.fault_rule = self._choose_fault
        self._has_move = share > 0.0
        moves: tuple[Move, ...] = ()
        if share:
            spec = builders.build_move()
            moves = (Move(spec, MoveState.ACTIVE, 0, share, 0.0, 0.0),)
        self.snapshot = build_snapshot(1, moves)
        self._daemon_count = daemons
        self._tables: list[fakes.FakeTable] = []
        self._scopes: list[trio.CancelScope] = []
        self.daemons: list[CallPathDaemon] = []
        self.max_propagation_delay_s = 0.0
        self.results: Counter[str] = Counter()
        self.violation_messages: list[str] = []
        self._request_count = 0

    async def start(self) -> None:
        """Start all daemons."""
        for index in range(self._daemon_count):
            member = builders.build_member(index, f'az-{index % 2}')
            self._tables.append(fakes.FakeTable())
            self._scopes.append(trio.CancelScope())
            self.daemons.append(self._build_daemon(index, member))
            await self._start_daemon(index)

    async def restart(
        self, index: int, downtime_s: float, incarnation_step: int = 1000
    ) -> None:
        """Kill a daemon and start it again as a new process.

        Parameters
        ----------
        index : int
            Index of the daemon.
        downtime_s : float
            Seconds until the new process starts. If it is more than 5, the
            other daemons mark the daemon as dead after 5 seconds.
        incarnation_step : int
            Difference of its incarnation to that of the old process; not
            positive after a step of the clock.
        """
        member = self.daemons[index].membership.me
        self._scopes[index].cancel()
        self.hub.remove(member.peer_address)
        if downtime_s > 5.0:
            await trio.sleep(5.0)
            dead = msgspec.structs.replace(
                member, status=MemberStatus.DEAD, sequence=member.sequence + 1
            )
            self._propagate(index, dead)
            downtime_s -= 5.0
        await trio.sleep(downtime_s)
        self._tables[index] = fakes.FakeTable()
        source = self._tables[(index + 1) % self._daemon_count]
        for known_member in source.members():
            self._tables[index].put(known_member)
        self._scopes[index] = trio.CancelScope()
        self.daemons[index] = self._build_daemon(
            index, build_restarted_member(member, incarnation_step)
        )
        await self._start_daemon(index)

    async def remove_backend(self, index: int, duration_s: float) -> None:
        """Remove the backend server of a daemon for a number of seconds."""
        daemon = self.daemons[index]
        daemon.runner.set_backend(None, '')
        daemon.membership.set_endpoint(None)
        await trio.sleep(duration_s)
        if daemon is self.daemons[index]:
            self._set_backend(index)

    async def declare_dead(self, index: int, duration_s: float) -> None:
        """Make random daemons see another one as dead until it refutes this.

        Each of the others is chosen with a probability of one half.
        """
        daemon = self.daemons[index]
        member = daemon.membership.me
        dead = msgspec.structs.replace(
            member, status=MemberStatus.DEAD, sequence=member.sequence + 1
        )
        for other in range(self._daemon_count):
            if other != index and self.rng.random() < 0.5:
                await self._deliver_entry(self._tables[other], dead)
        await trio.sleep(duration_s)
        if daemon is self.daemons[index]:
            me = daemon.membership.me
            daemon.membership.table.put(
                msgspec.structs.replace(me, incarnation=me.incarnation + 1)
            )

    def request(
        self,
        request_id: str,
        *,
        method: str = 'POST',
        key: str = '',
        timeout_s: float = 5.0,
    ) -> _calls.Request:
        """Return a request whose runs are counted by the given id."""
        return _calls.Request(
            'availability',
            'spa/search',
            method,
            '/search',
            ((b'x-request', request_id.encode()),),
            b'body' if method == 'POST' else b'',
            trio.current_time() + timeout_s,
            method == 'GET',
            key,
        )

    async def call(self, index: int, request: _calls.Request) -> str:
        """Send a request through a daemon and check the result.

        Returns
        -------
        str
            ``response``, ``broken`` or the outcome of a rejection.
        """
        sink = CollectingSink()
        request_id = request.headers[0][1].decode()
        runs = self.backend.runs
        result = 'response'
        try:
            await self.daemons[index].runner.sender.send(request, sink)
            self._verify(sink.complete, request_id, 'incomplete response')
            self._verify(
                sink.body == request_id.encode(),
                request_id,
                'response of another request',
            )
            self._verify(
                runs.get(request_id, 0) > 0,
                request_id,
                'response without a run',
            )
        except _calls.BrokenResponseError:
            result = 'broken'
            self._verify(
                not sink.complete, request_id, 'broken response is complete'
            )
        except _calls.CallRefusedError as error:
            result = error.outcome.value
            self._verify(
                not sink.status, request_id, 'rejected after the response head'
            )
            if error.outcome == Outcome.NOT_RUN:
                self._verify(
                    request_id not in runs,
                    request_id,
                    f'falsely rejected as not run: {error}',
                )
            elif error.outcome == Outcome.RUN:
                self._verify(
                    request_id in runs, request_id, 'falsely rejected as run'
                )
        self.results[result] += 1
        if not request.idempotent:
            self._verify(runs.get(request_id, 0) <= 1, request_id, 'ran twice')
            if result == 'not-run' and not request.key:
                # The request must not run after the rejection either.
                self._nursery.start_soon(self._verify_later, request_id)
        return result

    async def random_call(self) -> None:
        """Send one request of a random kind through a random daemon."""
        self._request_count += 1
        request_id = f'r{self._request_count}'
        draw = self.rng.random()
        index = self.rng.randrange(self._daemon_count)
        timeout_s = self.rng.choice([0.05, 1.0, 5.0])
        if draw < 0.4:
            request = self.request(
                request_id, method='GET', timeout_s=timeout_s
            )
            await self.call(index, request)
        elif draw < 0.7:
            await self.call(
                index, self.request(request_id, timeout_s=timeout_s)
            )
        else:
            for _ in range(3):
                request = self.request(
                    request_id, key=request_id, timeout_s=timeout_s
                )
                with trio.move_on_after(self.rng.choice([0.02, 10.0])):
                    await self.call(index, request)
                index = self.rng.randrange(self._daemon_count)
                await trio.sleep(self.rng.expovariate(1.0))

    def _verify(self, condition: bool, request_id: str, text: str) -> None:
        if not condition:
            self.violation_messages.append(f'{request_id}: {text}')

    async def _verify_later(self, request_id: str) -> None:
        await trio.sleep(20.0)
        self._verify(
            request_id not in self.backend.runs,
            request_id,
            'ran after not-run',
        )

    def _build_daemon(self, index: int, member: Member) -> CallPathDaemon:
        daemon = CallPathDaemon(
            member,
            self._tables[index],
            lambda info: MemoryNetwork(self.hub, info),
            self.snapshot,
            self.backend.client,
            self.rng.randrange(2**32),
            availability_wait_s=self._availability_wait_s,
            dialect=self._dialect,
        )
        daemon.membership.subscribe(
            lambda: self._propagate(index, daemon.membership.me)
        )
        return daemon

    async def _start_daemon(self, index: int) -> None:
        daemon = self.daemons[index]
        scope = self._scopes[index]

        async def run(task_status: trio.TaskStatus[None]) -> None:
            with scope:
                await daemon.run(task_status=task_status)

        await self._nursery.start(run)
        self._propagate(index, daemon.membership.me)
        if index < self._daemon_count - 1:
            self._set_backend(index)

    def _set_backend(self, index: int) -> None:
        is_new = self._has_move and index == self._daemon_count - 2
        version = 'v2' if is_new else 'v1'
        self.daemons[index].set_backend(f'backend-{index}', version, slots=4)

    def _propagate(self, index: int, member: Member) -> None:
        for other in range(len(self._tables)):
            if other != index:
                self._nursery.start_soon(
                    self._deliver_entry, self._tables[other], member
                )

    async def _deliver_entry(
        self, table: fakes.FakeTable, member: Member
    ) -> None:
        if self.max_propagation_delay_s:
            await trio.sleep(
                self.rng.uniform(0.0, self.max_propagation_delay_s)
            )
        stored = table.get(member.id)
        version = (member.incarnation, member.sequence)
        if stored is None or (stored.incarnation, stored.sequence) < version:
            table.put(member)

    def _choose_fault(
        self, source: str, target: str, message: Message
    ) -> Fault:
        if self.rng.random() >= self._fault_rate:
            return Fault.NONE
        return self.rng.choice(list(Fault)[1:])


def seed_scheduler(seed: int) -> None:
    """Make the order in which trio schedules tasks deterministic.

    Trio provides this for test tools, but only under private names.
    """
    run = trio._core._run
    vars(run)['_ALLOW_DETERMINISTIC_SCHEDULING'] = True
    run._r.seed(seed)


async def run_trial(
    seed: int, calls: int, *, restarts: int, daemons: int = 5
) -> CallTrial:
    """Run a trial with all types of faults.

    Parameters
    ----------
    seed : int
        Seed of the trial.
    calls : int
        Number of random requests.
    restarts : int
        Number of restarts, after a kill or a graceful shutdown, of random
        daemons during the trial; the first daemon is never restarted.
    daemons : int
        Number of daemons.
    """
    seed_scheduler(seed)
    async with trio.open_nursery() as nursery:
        trial = CallTrial(
            nursery, seed, daemons=daemons, share=0.3, fault_rate=0.03
        )
        await trial.start()
        trial.max_propagation_delay_s = 0.5
        trial.backend.reset_rate = 0.02
        trial.backend.break_rate = 0.02
        trial.backend.unreachable_rate = 0.02
        trial.backend.chunked_rate = 0.3
        async with trio.open_nursery() as work_nursery:
            for index in range(calls):
                work_nursery.start_soon(trial.random_call)
                await trio.sleep(trial.rng.expovariate(100.0))
                if restarts and index % (calls // restarts + 1) == 10:
                    victim = trial.rng.randrange(1, daemons)
                    downtime_s = trial.rng.choice([0.5, 8.0])
                    if trial.rng.random() < 0.5:
                        # A graceful shutdown instead of a kill.
                        await trial.daemons[victim].runner.drain()
                    await trial.restart(victim, downtime_s)
                elif index % (calls // 5 + 1) == 20:
                    # The last daemon has no backend server.
                    victim = trial.rng.randrange(1, daemons - 1)
                    inject_fault = trial.rng.choice(
                        [trial.remove_backend, trial.declare_dead]
                    )
                    duration_s = trial.rng.choice([0.5, 5.0])
                    work_nursery.start_soon(inject_fault, victim, duration_s)
        await trio.sleep(30.0)
        for daemon in trial.daemons:
            load = daemon.runner.load
            if load.in_flight or load.queued:
                name = daemon.membership.me.id
                trial.violation_messages.append(
                    f'{name}: calls are left at the end: {load}'
                )
        nursery.cancel_scope.cancel()
    return trial


def raise_on_violations(trial: CallTrial) -> None:
    """Raise an error if a trial has violated invariants.

    Raises
    ------
    AssertionError
        If there are violations; lists all of them.
    """
    if trial.violation_messages:
        raise AssertionError('\n'.join(trial.violation_messages))
