"""Trials of the call path of several daemons under random faults.

A trial runs under any clock; with `trio.testing.MockClock` it takes no real
time. It checks what must hold whatever fails: no request that must not be
repeated runs twice, no refusal falsely says ``not-run``, and each response
belongs to its request and is whole.
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
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.daemons import CallDaemon
from gypsumhall.testing.daemons import MemoryBackend
from gypsumhall.testing.daemons import restarted
from gypsumhall.testing.memory_network import Fault
from gypsumhall.testing.memory_network import MemoryHub
from gypsumhall.testing.memory_network import MemoryNetwork


class CollectingSink:
    """Keeps a response."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b''
        self.complete = False

    async def head(self, status: int, headers: _calls.Headers) -> None:
        """Take the status and the headers."""
        self.status = status

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Take a part of the body."""
        assert not self.complete, 'data after the end of the response'
        self.body += data
        self.complete = last


class CallTrial:
    """Daemons with member tables of their own, and faults between them.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the daemons.
    seed : int
        Seed of everything random.
    daemons : int
        Number of daemons, alternating between two zones; the last has no
        backend server, the one before runs the new version if there is
        a move.
    share : float
        Share of the move; 0 for no move.
    fault_rate : float
        Share of messages with a fault.
    availability_wait_s : float
        Longest time in seconds for which a stop waits for other endpoints.
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
    ) -> None:
        self._nursery = nursery
        self._availability_wait_s = availability_wait_s
        self.rng = Random(seed)
        self.hub = MemoryHub(nursery)
        self.backend = MemoryBackend(self.rng)
        self._fault_rate = fault_rate
        if fault_rate:
            self.hub.fault_rule = self._fault
        self._has_move = share > 0.0
        moves: tuple[Move, ...] = ()
        if share:
            spec = builders.build_move()
            moves = (Move(spec, MoveState.ACTIVE, 0, share, 0.0, 0.0),)
        self.snapshot = build_snapshot(1, moves)
        self._count = daemons
        self._tables: list[fakes.FakeTable] = []
        self._scopes: list[trio.CancelScope] = []
        self.daemons: list[CallDaemon] = []
        self.spread_s = 0.0
        self.results: Counter[str] = Counter()
        self.faults_found: list[str] = []
        self._number = 0

    async def start(self) -> None:
        """Start all daemons."""
        for index in range(self._count):
            member = builders.build_member(index, f'az-{index % 2}')
            self._tables.append(fakes.FakeTable())
            self._scopes.append(trio.CancelScope())
            self.daemons.append(self._build(index, member))
            await self._run(index)

    async def restart(self, index: int, down_s: float) -> None:
        """Kill a daemon and start its next process.

        Parameters
        ----------
        index : int
            Index of the daemon.
        down_s : float
            Seconds until the next process starts; others notice the death
            if that is more than 5.
        """
        member = self.daemons[index].membership.me
        self._scopes[index].cancel()
        self.hub.remove(member.peer_address)
        if down_s > 5.0:
            await trio.sleep(5.0)
            dead = msgspec.structs.replace(
                member, status=MemberStatus.DEAD, sequence=member.sequence + 1
            )
            self._spread(index, dead)
            down_s -= 5.0
        await trio.sleep(down_s)
        self._tables[index] = fakes.FakeTable()
        source = self._tables[(index + 1) % self._count]
        for known in source.members():
            self._tables[index].put(known)
        self._scopes[index] = trio.CancelScope()
        self.daemons[index] = self._build(index, restarted(member))
        await self._run(index)

    async def lose_backend(self, index: int, for_s: float) -> None:
        """Let the backend server of a daemon disappear for a time."""
        daemon = self.daemons[index]
        daemon.runner.set_backend(None, '')
        daemon.membership.set_endpoint(None)
        await trio.sleep(for_s)
        if daemon is self.daemons[index]:
            self._set_backend(index)

    async def declare_dead(self, index: int, for_s: float) -> None:
        """Let half of the others hold a daemon for dead until it refutes."""
        daemon = self.daemons[index]
        member = daemon.membership.me
        dead = msgspec.structs.replace(
            member, status=MemberStatus.DEAD, sequence=member.sequence + 1
        )
        for other in range(self._count):
            if other != index and self.rng.random() < 0.5:
                await self._put(self._tables[other], dead)
        await trio.sleep(for_s)
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
        """Return a request whose runs are counted by its id."""
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
            ``response``, ``broken`` or the outcome of a refusal.
        """
        sink = CollectingSink()
        request_id = request.headers[0][1].decode()
        runs = self.backend.runs
        result = 'response'
        try:
            await self.daemons[index].runner.sender.send(request, sink)
            self._check(sink.complete, request_id, 'incomplete response')
            self._check(
                sink.body == request_id.encode(), request_id, 'crossed'
            )
            self._check(runs.get(request_id, 0) > 0, request_id, 'not run')
        except _calls.BrokenResponseError:
            result = 'broken'
            self._check(not sink.complete, request_id, 'broken but complete')
        except _calls.CallRefusedError as error:
            result = error.outcome.value
            self._check(not sink.status, request_id, 'refused after the head')
            if error.outcome == Outcome.NOT_RUN:
                self._check(
                    request_id not in runs,
                    request_id,
                    f'false not-run: {error}',
                )
            elif error.outcome == Outcome.RUN:
                self._check(request_id in runs, request_id, 'false run')
        self.results[result] += 1
        if not request.idempotent:
            self._check(runs.get(request_id, 0) <= 1, request_id, 'ran twice')
            if result == 'not-run' and not request.key:
                # Nothing may run after the refusal either.
                self._nursery.start_soon(self._check_later, request_id)
        return result

    async def random_call(self) -> None:
        """Send one request of a random kind through a random daemon."""
        self._number += 1
        request_id = f'r{self._number}'
        kind = self.rng.random()
        index = self.rng.randrange(self._count)
        timeout_s = self.rng.choice([0.05, 1.0, 5.0])
        if kind < 0.4:
            request = self.request(
                request_id, method='GET', timeout_s=timeout_s
            )
            await self.call(index, request)
        elif kind < 0.7:
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
                index = self.rng.randrange(self._count)
                await trio.sleep(self.rng.expovariate(1.0))

    def _check(self, condition: bool, request_id: str, text: str) -> None:
        if not condition:
            self.faults_found.append(f'{request_id}: {text}')

    async def _check_later(self, request_id: str) -> None:
        await trio.sleep(20.0)
        self._check(
            request_id not in self.backend.runs, request_id, 'ran later'
        )

    def _build(self, index: int, member: Member) -> CallDaemon:
        daemon = CallDaemon(
            member,
            self._tables[index],
            lambda info: MemoryNetwork(self.hub, info),
            self.snapshot,
            self.backend.client,
            self.rng.randrange(2**32),
            availability_wait_s=self._availability_wait_s,
        )
        daemon.membership.subscribe(
            lambda: self._spread(index, daemon.membership.me)
        )
        return daemon

    async def _run(self, index: int) -> None:
        daemon = self.daemons[index]
        scope = self._scopes[index]

        async def run(task_status: trio.TaskStatus[None]) -> None:
            with scope:
                await daemon.run(task_status=task_status)

        await self._nursery.start(run)
        self._spread(index, daemon.membership.me)
        if index < self._count - 1:
            self._set_backend(index)

    def _set_backend(self, index: int) -> None:
        is_new = self._has_move and index == self._count - 2
        version = 'v2' if is_new else 'v1'
        self.daemons[index].set_backend(f'backend-{index}', version, slots=4)

    def _spread(self, index: int, member: Member) -> None:
        for other in range(len(self._tables)):
            if other != index:
                self._nursery.start_soon(
                    self._put, self._tables[other], member
                )

    async def _put(self, table: fakes.FakeTable, member: Member) -> None:
        if self.spread_s:
            await trio.sleep(self.rng.uniform(0.0, self.spread_s))
        held = table.get(member.id)
        order = (member.incarnation, member.sequence)
        if held is None or (held.incarnation, held.sequence) < order:
            table.put(member)

    def _fault(self, source: str, target: str, message: Message) -> Fault:
        if self.rng.random() >= self._fault_rate:
            return Fault.NONE
        return self.rng.choice(list(Fault)[1:])


def seed_scheduler(seed: int) -> None:
    """Make the order in which trio runs tasks repeatable from a seed.

    Trio offers this switch to test tools under a private name only.
    """
    run = trio._core._run
    vars(run)['_ALLOW_DETERMINISTIC_SCHEDULING'] = True
    run._r.seed(seed)


async def run_trial(
    seed: int, calls: int, *, restarts: int, daemons: int = 5
) -> CallTrial:
    """Run a trial with all kinds of faults.

    Parameters
    ----------
    seed : int
        Seed of the trial.
    calls : int
        Number of random requests.
    restarts : int
        Number of daemons that are killed, or stopped as planned, and
        replaced during the trial; one daemon is always spared.
    daemons : int
        Number of daemons.
    """
    seed_scheduler(seed)
    async with trio.open_nursery() as nursery:
        trial = CallTrial(
            nursery, seed, daemons=daemons, share=0.3, fault_rate=0.03
        )
        await trial.start()
        trial.spread_s = 0.5
        trial.backend.reset_rate = 0.02
        trial.backend.break_rate = 0.02
        trial.backend.unreachable_rate = 0.02
        trial.backend.chunked_rate = 0.3
        async with trio.open_nursery() as work:
            for index in range(calls):
                work.start_soon(trial.random_call)
                await trio.sleep(trial.rng.expovariate(100.0))
                if restarts and index % (calls // restarts + 1) == 10:
                    victim = trial.rng.randrange(1, daemons)
                    down_s = trial.rng.choice([0.5, 8.0])
                    if trial.rng.random() < 0.5:
                        # A planned stop instead of a kill.
                        await trial.daemons[victim].runner.drain()
                    await trial.restart(victim, down_s)
                elif index % (calls // 5 + 1) == 20:
                    # The last daemon has no backend server.
                    victim = trial.rng.randrange(1, daemons - 1)
                    disturb = trial.rng.choice(
                        [trial.lose_backend, trial.declare_dead]
                    )
                    for_s = trial.rng.choice([0.5, 5.0])
                    work.start_soon(disturb, victim, for_s)
        await trio.sleep(30.0)
        for daemon in trial.daemons:
            load = daemon.runner.load
            if load.in_flight or load.queued:
                name = daemon.membership.me.id
                trial.faults_found.append(f'{name}: slots in use: {load}')
        nursery.cancel_scope.cancel()
    return trial


def check(trial: CallTrial) -> None:
    """Raise an error that lists all violations of a trial.

    Raises
    ------
    AssertionError
        When there is one.
    """
    if trial.faults_found:
        raise AssertionError('\n'.join(trial.faults_found))
