"""Evidence, verdicts and stages of moves; the service ``moves``."""

from __future__ import annotations

from collections import defaultdict
import contextlib
from dataclasses import dataclass
from dataclasses import field
import time
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerError
from gypsumhall._errors import StoreError
from gypsumhall.core import _accept
from gypsumhall.core import _moves
from gypsumhall.core import _rendezvous
from gypsumhall.core._judge import INTERVAL_S
from gypsumhall.core._judge import Judge
from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import MemberStatus
from gypsumhall.core._recorder import Recorder
from gypsumhall.net._messages import Evidence
from gypsumhall.net._messages import EvidenceBatch
from gypsumhall.net._messages import EvidencePosition
from gypsumhall.net._messages import EvidencePull
from gypsumhall.net._messages import EvidenceReply
from gypsumhall.net._messages import Revert
from gypsumhall.net._protocol import PeerNetwork
from gypsumhall.services._protocols import Acceptance
from gypsumhall.services._protocols import Distribution
from gypsumhall.services._protocols import Events
from gypsumhall.services._protocols import Membership
from gypsumhall.services._protocols import ReaderSlot
from gypsumhall.store import _keys
from gypsumhall.store import LeaseHeldError
from gypsumhall.store import StoreService

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from gypsumhall._kernel import Kernel
    from gypsumhall.core._member import Member
    from gypsumhall.core._model import Head
    from gypsumhall.core._model import Move
    from gypsumhall.net._messages import CallStart
    from gypsumhall.net._messages import Message
    from gypsumhall.net._protocol import Exchange
    from gypsumhall.store import Lease

# An interval is closed this many intervals after its end, so that the reports
# of all endpoints have arrived: at the judge, then at the controller.
JUDGE_LAG_INTERVALS = 1
CONTROLLER_LAG_INTERVALS = 3

# Without a report of any judge for this time a stage is not advanced.
EVIDENCE_TIMEOUT_S = 5.0

_REQUEST_TIMEOUT_S = 1.0
_JUDGE_SCOPE = 'judge'


@dataclass(slots=True)
class _Joined:
    """Evidence about one move from the judges of all zones.

    `positions` holds the last interval received by judge address.
    """

    judge: Judge
    positions: dict[str, int] = field(default_factory=dict)
    reported: float = float('-inf')


class MovesService:
    """Evidence, verdicts and stages of moves; the service ``moves``.

    A daemon beside a backend server reports its results to the judge of its
    zone. The judge reverts a bad version without the platform. While its own
    zone's evidence speaks against a version, it also pulls the evidence of
    the judges of the other zones and tests all of it together: at a share of
    1 % one zone alone may take longer than the stage lasts. The daemon that
    holds the controller lease pulls the evidence of all judges as well and
    advances the moves in the head.

    An endpoint of a moving service sends one report of about 100 bytes per
    route every 500 ms; other daemons send nothing. A judge answers one pull
    every 500 ms from the controller, and one from each judge that has
    evidence against the version.

    Parameters
    ----------
    wall_clock : callable
        Returns the Unix time in seconds.
    """

    __slots__ = (
        '_acceptance',
        '_controlled',
        '_distribution',
        '_events',
        '_joined',
        '_judges',
        '_membership',
        '_peers',
        '_ready_since',
        '_reader',
        '_recorder',
        '_store',
        '_wall_clock',
    )

    name = 'moves'
    requires: tuple[str, ...] = (
        'events',
        'store',
        'peers',
        'membership',
        'distribution',
        'acceptance',
        'reader',
    )

    def __init__(self, *, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock
        self._judges: dict[str, Judge] = {}
        self._joined: dict[str, _Joined] = {}
        self._controlled: dict[str, _Joined] = {}
        self._recorder: Recorder | None = None
        self._ready_since: float | None = None

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Report, judge and control until cancelled."""
        get = kernel.get
        self._events = get('events', Events)
        self._peers = get('peers', PeerNetwork)
        self._membership = get('membership', Membership)
        self._distribution = get('distribution', Distribution)
        self._acceptance = get('acceptance', Acceptance)
        self._store = get('store', StoreService)
        self._reader = get('reader', ReaderSlot)
        me = self._membership.me
        self._recorder = Recorder(me.id, me.zone)
        self._peers.on(Evidence, self._on_evidence)
        self._peers.on(EvidencePull, self._on_pull)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_intervals)
            nursery.start_soon(self._run_joint_tests)
            nursery.start_soon(self._run_controller)
            task_status.started()

    async def drain(self) -> None:
        """Return at once: evidence of the last interval may be lost."""

    def record(
        self, call: CallStart, latency_ms: float, *, failed: bool
    ) -> None:
        """Record the result of a call to the backend server on this VM."""
        if not call.move or self._recorder is None:
            return
        since = self._ready_since
        self._recorder.add(
            call.move,
            call.stage,
            call.route,
            call.version,
            call.zone,
            latency_ms,
            failed=failed,
            ready_for_s=trio.current_time() - since if since else 0.0,
        )

    def _interval(self) -> int:
        return int(self._wall_clock() / INTERVAL_S)

    def _active_moves(self) -> Mapping[str, Move]:
        snapshot = self._distribution.snapshot
        if snapshot is None:
            return {}
        reverts = self._distribution.reverts
        return {
            name: move
            for name, move in snapshot.head.moves.items()
            if not move.state.final and name not in reverts
        }

    # Reports of this daemon's endpoint

    async def _run_intervals(self) -> None:
        while True:
            started = self._interval()
            # The wall clock may be short of the boundary after the sleep; a
            # second report of one interval would replace the first.
            while self._interval() == started:
                left = INTERVAL_S - self._wall_clock() % INTERVAL_S
                await trio.sleep(left)
            self._note_readiness()
            active = self._active_moves()
            self._forget(active)
            await self._report(active)
            self._close_judges()

    def _note_readiness(self) -> None:
        endpoint = self._membership.me.endpoint
        ready = endpoint is not None and endpoint.state is EndpointState.READY
        if not ready:
            self._ready_since = None
        elif self._ready_since is None:
            self._ready_since = trio.current_time()

    def _forget(self, active: Mapping[str, Move]) -> None:
        if self._recorder is not None:
            self._recorder.retain_moves(active)
        for name in [name for name in self._judges if name not in active]:
            del self._judges[name]

    async def _report(self, active: Mapping[str, Move]) -> None:
        if self._recorder is None:
            return
        async with trio.open_nursery() as nursery:
            for evidence in self._recorder.pop_evidence(self._interval() - 1):
                if evidence.move in active:
                    nursery.start_soon(self._send_evidence, evidence)

    async def _send_evidence(self, evidence: Evidence) -> None:
        me = self._membership.me
        judge = self._judge_of(evidence.move, me.zone)
        if judge is None or judge.id == me.id:
            reply: Message = self._judge(evidence)
        else:
            try:
                reply = await self._peers.request(
                    judge.peer_address,
                    evidence,
                    # Reports of the next interval must not queue up behind.
                    timeout_s=INTERVAL_S / 2,
                )
            except PeerError as error:
                self._events.emit(
                    'evidence-lost',
                    move=evidence.move,
                    judge=judge.id,
                    error=error.code,
                )
                return
        if isinstance(reply, EvidenceReply) and self._recorder is not None:
            self._recorder.set_thresholds(evidence.move, reply.thresholds)

    def _judge_of(self, move: str, zone: str) -> Member | None:
        candidates = [
            member
            for member in self._membership.table.alive(zone)
            if member.status is MemberStatus.ALIVE
        ]
        ranked = _rendezvous.rank(_JUDGE_SCOPE, move, candidates)
        return ranked[0] if ranked else None

    # Judge of this zone

    async def _on_evidence(
        self, exchange: Exchange, evidence: Evidence
    ) -> None:
        self._events.clock.observe(evidence.time)
        await exchange.send(self._judge(evidence))

    def _judge(self, evidence: Evidence) -> EvidenceReply:
        move = self._active_moves().get(evidence.move)
        if move is None:
            return EvidenceReply()
        judge = self._judges.get(evidence.move)
        if judge is None:
            judge = Judge(evidence.move, move.spec.to_version)
            self._judges[evidence.move] = judge
        judge.add(evidence)
        return EvidenceReply(judge.thresholds())

    def _close_judges(self) -> None:
        last = self._interval() - 1 - JUDGE_LAG_INTERVALS
        for name, judge in list(self._judges.items()):
            verdict = judge.close(last)
            if verdict is not None:
                self._condemn(name, str(verdict))

    def _condemn(self, move: str, reason: str) -> None:
        if move in self._distribution.reverts:
            return
        me = self._membership.me.id
        self._events.emit('move-condemned', move=move, reason=reason)
        self._distribution.add_revert(Revert(move, reason, me))

    async def _on_pull(self, exchange: Exchange, pull: EvidencePull) -> None:
        found = self._kept_evidence(pull.positions)
        await exchange.send(
            EvidenceBatch(tuple(found), self._events.clock.now())
        )

    # Evidence of all zones

    async def _run_joint_tests(self) -> None:
        """Test the evidence of all zones that this judge can reach."""
        while True:
            await trio.sleep(INTERVAL_S)
            suspected = {
                name: move
                for name, move in self._active_moves().items()
                if name in self._judges
                and self._judges[name].test.statistic > 0
                # The controller tests the same evidence.
                and name not in self._controlled
            }
            await self._collect(suspected, self._joined)
            for name, known in self._joined.items():
                verdict = known.judge.test.verdict
                if verdict is not None:
                    self._condemn(name, str(verdict))

    async def _collect(
        self, moves: Mapping[str, Move], joined: dict[str, _Joined]
    ) -> None:
        """Pull and test what the judges of all zones have closed.

        Parameters
        ----------
        moves : dict of str to Move
            Moves whose evidence is wanted.
        joined : dict of str to _Joined
            Evidence by move; entries of other moves are dropped.
        """
        for name in [name for name in joined if name not in moves]:
            del joined[name]
        wanted: dict[str, list[str]] = defaultdict(list)
        for name, move in moves.items():
            if name not in joined:
                joined[name] = _Joined(Judge(name, move.spec.to_version))
            for address in self._judge_addresses(name, move):
                wanted[address].append(name)
        # Taken before the pulls: while one of them waits for an unreachable
        # judge, the others close intervals that were not asked for.
        last = self._interval() - 1 - CONTROLLER_LAG_INTERVALS
        async with trio.open_nursery() as nursery:
            for address, names in wanted.items():
                nursery.start_soon(self._pull, address, names, joined)
        for name in moves:
            joined[name].judge.close(last)

    def _judge_addresses(self, name: str, move: Move) -> set[str]:
        """Return the judges of the zones with endpoints of the service."""
        members = self._membership.table.endpoints(move.spec.service)
        judges = (
            self._judge_of(name, zone)
            for zone in {member.zone for member in members}
        )
        return {judge.peer_address for judge in judges if judge is not None}

    async def _pull(
        self, address: str, names: list[str], joined: Mapping[str, _Joined]
    ) -> None:
        positions = tuple(
            EvidencePosition(name, joined[name].positions.get(address, 0))
            for name in names
        )
        if address == self._membership.me.peer_address:
            found = self._kept_evidence(positions)
        else:
            try:
                batch = await self._peers.request(
                    address,
                    EvidencePull(positions),
                    timeout_s=_REQUEST_TIMEOUT_S,
                )
            except PeerError:
                return
            if not isinstance(batch, EvidenceBatch):
                return
            self._events.clock.observe(batch.time)
            found = list(batch.evidence)
        now = trio.current_time()
        for name in names:
            joined[name].reported = now
        for evidence in found:
            known = joined.get(evidence.move)
            if known is not None:
                known.judge.add(evidence)
                known.positions[address] = max(
                    known.positions.get(address, 0), evidence.interval
                )

    def _kept_evidence(
        self, positions: Iterable[EvidencePosition]
    ) -> list[Evidence]:
        return [
            evidence
            for position in positions
            if position.move in self._judges
            for evidence in self._judges[position.move].since(
                position.after_interval
            )
        ]

    # Controller

    async def _run_controller(self) -> None:
        await self._distribution.wait_ready()
        while True:
            with contextlib.suppress(StoreError, LeaseHeldError):
                await self._campaign()
            await trio.sleep(_keys.LEASE_TTL_S / 2)

    async def _campaign(self) -> None:
        """Control the moves while this daemon holds the controller lease.

        Only readers campaign: they have a connection to the platform, and
        25,000 daemons waiting for one lease would exceed its rates.
        """
        if self._reader.slot is None:
            return
        value = self._membership.me.id.encode()
        async with self._store.elections.campaign(
            _keys.CONTROLLER, value, _keys.LEASE_TTL_S, wait=False
        ) as lease:
            self._events.emit('controller-started')
            try:
                while lease.valid(trio.current_time()):
                    await self._control(lease)
                    with trio.move_on_after(INTERVAL_S):
                        await lease.lost.wait()
            finally:
                self._controlled.clear()
            self._events.emit('controller-stopped')

    async def _control(self, lease: Lease) -> None:
        moves = self._moves_in_head()
        await self._write_reverts(lease, moves)
        active = {
            name: move
            for name, move in moves.items()
            if name not in self._distribution.reverts
        }
        await self._collect(active, self._controlled)
        for name, move in active.items():
            await self._step(lease, name, move)

    def _moves_in_head(self) -> Mapping[str, Move]:
        snapshot = self._distribution.snapshot
        if snapshot is None:
            return {}
        return {
            name: move
            for name, move in snapshot.head.moves.items()
            if not move.state.final
        }

    async def _write_reverts(self, lease: Lease, moves: Iterable[str]) -> None:
        reverts = self._distribution.reverts
        reasons = {
            name: reverts[name].reason for name in moves if name in reverts
        }
        if reasons:
            now = self._wall_clock()
            await self._apply(
                lease,
                lambda head: _accept.revert_moves(head, reasons, now),
            )

    async def _step(self, lease: Lease, name: str, move: Move) -> None:
        if name in self._distribution.reverts:
            return
        known = self._controlled[name]
        now = self._wall_clock()
        decision = _moves.decide(
            move,
            known.judge.test,
            now,
            endpoints_ready=self._has_ready_endpoint(move),
            evidence_fresh=(
                trio.current_time() - known.reported < EVIDENCE_TIMEOUT_S
            ),
        )
        if decision.step is _moves.Step.HOLD:
            return
        if decision.step is _moves.Step.REVERT:
            self._condemn(name, decision.reason)
            return

        def transition(head: Head) -> Head | None:
            # A verdict of a zone's judge may arrive while the head is read.
            if name in self._distribution.reverts:
                return None
            return apply_decision(head, name, move, decision, now)

        head = await self._apply(lease, transition)
        if head is not None:
            self._events.emit(
                'move-advanced',
                move=name,
                step=str(decision.step),
                stage=decision.stage,
                share=decision.share,
                version=head.version,
            )

    def _has_ready_endpoint(self, move: Move) -> bool:
        return any(
            member.status is MemberStatus.ALIVE
            and member.endpoint is not None
            and member.endpoint.version == move.spec.to_version
            and member.endpoint.state is EndpointState.READY
            for member in self._membership.table.endpoints(move.spec.service)
        )

    async def _apply(
        self, lease: Lease, transition: Callable[[Head], Head | None]
    ) -> Head | None:
        """Swap the head while the lease is valid.

        A transition is evaluated just before the compare-and-swap, so a
        controller that was paused finds its lease expired, and one whose
        clock stood still finds that the move has changed.
        """

        def guarded(head: Head) -> Head | None:
            if not lease.valid(trio.current_time()):
                return None
            return transition(head)

        try:
            return await self._acceptance.apply(guarded)
        except StoreError as error:
            self._events.emit('head-not-written', error=error.code)
            return None


def apply_decision(
    head: Head,
    name: str,
    move: Move,
    decision: _moves.Decision,
    now: float,
) -> Head | None:
    """Return the head after a step, if the move is as it was judged."""
    present = head.moves.get(name)
    if present is None or (present.state, present.stage) != (
        move.state,
        move.stage,
    ):
        return None
    if decision.step is _moves.Step.ADVANCE:
        return _accept.advance_stage(
            head, name, decision.stage, decision.share, now
        )
    if decision.step is _moves.Step.SOAK:
        return _accept.start_soak(head, name, now)
    return _accept.finish_move(head, name, now)
