"""The service ``moves``: evidence, verdicts and stages of moves."""

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

# Intervals from the end of an interval to its closing, by which the reports of
# all endpoints have arrived: at the judge of a zone, and at the controller.
JUDGE_LAG_INTERVALS = 1
CONTROLLER_LAG_INTERVALS = 3

# A stage is not advanced when no judge has replied to a pull for this time.
EVIDENCE_TIMEOUT_S = 5.0

_REQUEST_TIMEOUT_S = 1.0
_JUDGE_SCOPE = 'judge'


@dataclass(slots=True)
class _JointEvidence:
    """Evidence about one move from the judges of all zones.

    `positions` maps the address of a judge to the last interval received
    from it, and `pulled_at` is the time of the last successful pull.
    """

    judge: Judge
    positions: dict[str, int] = field(default_factory=dict)
    pulled_at: float = float('-inf')


class MovesService:
    """Evidence, verdicts and stages of moves; the service ``moves``.

    A daemon beside a backend server reports the results of its calls to the
    judge of its zone. The judge reverts a bad version without the platform.
    While the evidence of its own zone is against a version, it also pulls the
    evidence of the judges of the other zones and tests all of it together: at
    a share of 1 %, the evidence of one zone may need more time than the stage
    lasts. The daemon that holds the controller lease also pulls the evidence
    of all judges, and advances the moves in the head.

    An endpoint of a service with an active move sends one report of about
    100 bytes per route every 500 ms; other daemons send nothing. A judge
    replies to one pull every 500 ms from the controller, and to one from each
    judge that has evidence against the version.

    Parameters
    ----------
    wall_clock : callable
        Returns the Unix time in seconds.
    """

    __slots__ = (
        '_acceptance',
        '_controller_evidence',
        '_distribution',
        '_events',
        '_joint_evidence',
        '_judges',
        '_membership',
        '_peers',
        '_reader',
        '_ready_since',
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
        self._joint_evidence: dict[str, _JointEvidence] = {}
        self._controller_evidence: dict[str, _JointEvidence] = {}
        self._recorder: Recorder | None = None
        self._ready_since: float | None = None

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Report and test evidence and control moves until cancelled."""
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
            nursery.start_soon(self._run_reporting)
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
        ready_since = self._ready_since
        self._recorder.add(
            call.move,
            call.stage,
            call.route,
            call.version,
            call.zone,
            latency_ms,
            failed=failed,
            ready_for_s=(
                trio.current_time() - ready_since if ready_since else 0.0
            ),
        )

    def _current_interval(self) -> int:
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

    async def _run_reporting(self) -> None:
        while True:
            started = self._current_interval()
            # The wall clock may not have reached the boundary after the
            # sleep; a second report of one interval would replace the first.
            while self._current_interval() == started:
                remaining_s = INTERVAL_S - self._wall_clock() % INTERVAL_S
                await trio.sleep(remaining_s)
            self._update_readiness()
            active = self._active_moves()
            self._discard_inactive_moves(active)
            await self._send_reports(active)
            self._close_intervals()

    def _update_readiness(self) -> None:
        endpoint = self._membership.me.endpoint
        ready = endpoint is not None and endpoint.state is EndpointState.READY
        if not ready:
            self._ready_since = None
        elif self._ready_since is None:
            self._ready_since = trio.current_time()

    def _discard_inactive_moves(self, active: Mapping[str, Move]) -> None:
        if self._recorder is not None:
            self._recorder.retain_moves(active)
        for name in [name for name in self._judges if name not in active]:
            del self._judges[name]

    async def _send_reports(self, active: Mapping[str, Move]) -> None:
        if self._recorder is None:
            return
        async with trio.open_nursery() as nursery:
            for evidence in self._recorder.pop_evidence(
                self._current_interval() - 1
            ):
                if evidence.move in active:
                    nursery.start_soon(self._send_evidence, evidence)

    async def _send_evidence(self, evidence: Evidence) -> None:
        me = self._membership.me
        judge = self._select_judge(evidence.move, me.zone)
        if judge is None or judge.id == me.id:
            reply: Message = self._add_evidence(evidence)
        else:
            try:
                reply = await self._peers.request(
                    judge.peer_address,
                    evidence,
                    # Must end before the next report, so that none queue up.
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

    def _select_judge(self, move: str, zone: str) -> Member | None:
        candidates = [
            member
            for member in self._membership.table.alive(zone)
            if member.status is MemberStatus.ALIVE
        ]
        ranked = _rendezvous.rank(_JUDGE_SCOPE, move, candidates)
        return ranked[0] if ranked else None

    # Tests of the evidence of this zone

    async def _on_evidence(
        self, exchange: Exchange, evidence: Evidence
    ) -> None:
        self._events.clock.observe(evidence.time)
        await exchange.send(self._add_evidence(evidence))

    def _add_evidence(self, evidence: Evidence) -> EvidenceReply:
        move = self._active_moves().get(evidence.move)
        if move is None:
            return EvidenceReply()
        judge = self._judges.get(evidence.move)
        if judge is None:
            judge = Judge(evidence.move, move.spec.to_version)
            self._judges[evidence.move] = judge
        judge.add(evidence)
        return EvidenceReply(judge.thresholds())

    def _close_intervals(self) -> None:
        last = self._current_interval() - 1 - JUDGE_LAG_INTERVALS
        for name, judge in list(self._judges.items()):
            verdict = judge.close(last)
            if verdict is not None:
                self._revert_move(name, str(verdict))

    def _revert_move(self, move: str, reason: str) -> None:
        if move in self._distribution.reverts:
            return
        me = self._membership.me.id
        self._events.emit('move-condemned', move=move, reason=reason)
        self._distribution.add_revert(Revert(move, reason, me))

    async def _on_pull(self, exchange: Exchange, pull: EvidencePull) -> None:
        reports = self._retained_evidence(pull.positions)
        await exchange.send(
            EvidenceBatch(tuple(reports), self._events.clock.now())
        )

    # Tests of the evidence of all zones

    async def _run_joint_tests(self) -> None:
        """Test the joint evidence of all zones that can be reached."""
        while True:
            await trio.sleep(INTERVAL_S)
            suspected = {
                name: move
                for name, move in self._active_moves().items()
                if name in self._judges
                and self._judges[name].test.statistic > 0
                # The controller tests the same evidence.
                and name not in self._controller_evidence
            }
            await self._collect_evidence(suspected, self._joint_evidence)
            for name, joint in self._joint_evidence.items():
                verdict = joint.judge.test.verdict
                if verdict is not None:
                    self._revert_move(name, str(verdict))

    async def _collect_evidence(
        self,
        moves: Mapping[str, Move],
        joint_evidence: dict[str, _JointEvidence],
    ) -> None:
        """Pull and test the closed intervals of the judges of all zones.

        Parameters
        ----------
        moves : dict of str to Move
            Moves whose evidence is pulled.
        joint_evidence : dict of str to _JointEvidence
            Evidence by move; entries of other moves are dropped.
        """
        for name in [name for name in joint_evidence if name not in moves]:
            del joint_evidence[name]
        names_by_address: dict[str, list[str]] = defaultdict(list)
        for name, move in moves.items():
            if name not in joint_evidence:
                joint_evidence[name] = _JointEvidence(
                    Judge(name, move.spec.to_version)
                )
            for address in self._judge_addresses(name, move):
                names_by_address[address].append(name)
        # Computed before the pulls: while one of them waits for an unreachable
        # judge, the other judges close intervals that were not requested.
        last = self._current_interval() - 1 - CONTROLLER_LAG_INTERVALS
        async with trio.open_nursery() as nursery:
            for address, names in names_by_address.items():
                nursery.start_soon(self._pull, address, names, joint_evidence)
        for name in moves:
            joint_evidence[name].judge.close(last)

    def _judge_addresses(self, name: str, move: Move) -> set[str]:
        """Return the addresses of the judges of zones with endpoints."""
        members = self._membership.table.endpoints(move.spec.service)
        judges = (
            self._select_judge(name, zone)
            for zone in {member.zone for member in members}
        )
        return {judge.peer_address for judge in judges if judge is not None}

    async def _pull(
        self,
        address: str,
        names: list[str],
        joint_evidence: Mapping[str, _JointEvidence],
    ) -> None:
        positions = tuple(
            EvidencePosition(
                name, joint_evidence[name].positions.get(address, 0)
            )
            for name in names
        )
        if address == self._membership.me.peer_address:
            reports = self._retained_evidence(positions)
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
            reports = list(batch.evidence)
        now = trio.current_time()
        for name in names:
            joint_evidence[name].pulled_at = now
        for evidence in reports:
            joint = joint_evidence.get(evidence.move)
            if joint is not None:
                joint.judge.add(evidence)
                joint.positions[address] = max(
                    joint.positions.get(address, 0), evidence.interval
                )

    def _retained_evidence(
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
        25,000 daemons that wait for one lease would exceed the platform's
        rate limits.
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
                    await self._control_moves(lease)
                    with trio.move_on_after(INTERVAL_S):
                        await lease.lost.wait()
            finally:
                self._controller_evidence.clear()
            self._events.emit('controller-stopped')

    async def _control_moves(self, lease: Lease) -> None:
        moves = self._unfinished_moves()
        await self._write_reverts(lease, moves)
        active = {
            name: move
            for name, move in moves.items()
            if name not in self._distribution.reverts
        }
        await self._collect_evidence(active, self._controller_evidence)
        for name, move in active.items():
            await self._evaluate_move(lease, name, move)

    def _unfinished_moves(self) -> Mapping[str, Move]:
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

    async def _evaluate_move(
        self, lease: Lease, name: str, move: Move
    ) -> None:
        if name in self._distribution.reverts:
            return
        joint = self._controller_evidence[name]
        now = self._wall_clock()
        decision = _moves.decide(
            move,
            joint.judge.test,
            now,
            endpoints_ready=self._has_ready_endpoint(move),
            evidence_fresh=(
                trio.current_time() - joint.pulled_at < EVIDENCE_TIMEOUT_S
            ),
        )
        if decision.step is _moves.Step.HOLD:
            return
        if decision.step is _moves.Step.REVERT:
            self._revert_move(name, decision.reason)
            return

        def transition(head: Head) -> Head | None:
            # The revert of a zone's judge may arrive while the head is read.
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

        A transition is evaluated just before the compare-and-swap. A
        controller that was paused then finds that its lease has expired, or,
        if its clock was paused as well, that the move has changed.
        """

        def transition_under_lease(head: Head) -> Head | None:
            if not lease.valid(trio.current_time()):
                return None
            return transition(head)

        try:
            return await self._acceptance.apply(transition_under_lease)
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
    """Return the head after a decision, or None if the move has changed."""
    current = head.moves.get(name)
    if current is None or (current.state, current.stage) != (
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
