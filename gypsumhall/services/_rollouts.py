"""Moves that are ordered through the platform's store; service ``moves``.

One daemon at a time, the holder of a lease, is the controller: it collects
the results at the endpoints of the service, advances the stages and writes
the state that the operator reads. All daemons divide calls by the newest
record that they hold; records are told by the controller and compared with a
random peer now and then.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import random
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall import platform
from gypsumhall._errors import StoreError
from gypsumhall.core import _rollout
from gypsumhall.core import _tree
from gypsumhall.core._model import MoveState
from gypsumhall.core._placement import ANY_VERSION
from gypsumhall.core._snapshot import Split
from gypsumhall.net._messages import RolloutCounts
from gypsumhall.net._messages import RolloutEvidence
from gypsumhall.net._messages import RolloutRecord
from gypsumhall.net._messages import RolloutUpdate
from gypsumhall.net._protocol import PeerNetwork
from gypsumhall.services import _protocols
from gypsumhall.store import LeaseHeldError
from gypsumhall.store import Put
from gypsumhall.store import StoreService

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.core._snapshot import Snapshot
    from gypsumhall.kernel import Kernel
    from gypsumhall.net._messages import CallStart
    from gypsumhall.net._protocol import Exchange
    from gypsumhall.store import KeyValue
    from gypsumhall.store import Lease

_CONTROLLER_KEY = 'gypsumhall/controller'
_RECORDS = 'gypsumhall/rollouts/'
_LEASE_S = 3
"""Time to live of the controller's lease in seconds; a successor takes over
within a fifth of a rollout of 16 s."""

_ROUND_S = 0.25
"""Time between two decisions, in seconds."""

_GOSSIP_S = 2.0
"""Time between two comparisons of records with a random peer."""

_CAMPAIGN_S = (0.3, 0.6)
_CANDIDATES = 2
"""Daemons of a zone that campaign at once; every campaign costs two calls of
the store, and only one wins."""

_DEFER_S = 1.0
"""Time in seconds after which the others campaign if nobody rules."""

_RETRY_S = 0.3


@dataclass(slots=True)
class _Order:
    order: platform.RolloutOrder
    revision: int
    seen: float


@dataclass(slots=True)
class _Results:
    """Results of the own endpoint since a rollout was ordered."""

    order: int
    routes: dict[str, _rollout.Tally] = field(default_factory=dict)


class RolloutService:
    """Divides calls between versions, and runs rollouts.

    Parameters
    ----------
    rng : random.Random, optional
        Source of jitter.
    """

    name = 'moves'
    requires: tuple[str, ...] = (
        'events',
        'store',
        'peers',
        'membership',
    )

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._records: dict[str, RolloutRecord] = {}
        self._orders: dict[str, _Order] = {}
        self._established: dict[str, str] = {}
        self._results: dict[str, _Results] = {}
        self._rollouts: dict[str, tuple[int, _rollout.Rollout]] = {}
        self._ordered = trio.Event()
        self._told_at = -1e9
        self._membership: _protocols.Membership
        self._events: _protocols.Events
        self._peers: PeerNetwork
        self._store: StoreService

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take part in rollouts until cancelled."""
        self._membership = kernel.get('membership', _protocols.Membership)
        self._events = kernel.get('events', _protocols.Events)
        self._peers = kernel.get('peers', PeerNetwork)
        self._store = kernel.get('store', StoreService)
        self._peers.on(RolloutUpdate, self._on_update)
        self._peers.on(RolloutEvidence, self._on_evidence)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_records)
            nursery.start_soon(self._gossip)
            nursery.start_soon(self._campaign)
            task_status.started()

    async def drain(self) -> None:
        """Go on: the lease lapses or is given up when the service ends."""

    # Division of calls

    def split(
        self, snapshot: Snapshot, service: str, versions: set[str]
    ) -> Split:
        """Return how the calls of a service are divided.

        Parameters
        ----------
        snapshot : Snapshot
            Installed configuration; it does not name versions.
        service : str
            Name of the service.
        versions : set of str
            Versions of its ready endpoints.
        """
        record = self._records.get(service)
        known = self._established.get(service)
        if record is None:
            if len(versions) == 1:
                self._established[service] = next(iter(versions))
            if len(versions) <= 1 or known not in versions:
                return Split(ANY_VERSION)
            # Another version gets calls only by an order.
            return Split(known or ANY_VERSION)
        target = record.version
        if record.state == MoveState.DONE:
            self._established[service] = target
            return Split(target if target in versions else ANY_VERSION)
        others = versions - {target}
        old = known if known in others else min(others, default='')
        if not old:
            # No endpoint of the old version is left or known.
            old = known if known and known != target else f'not {target}'
        if record.state == MoveState.REVERTED:
            return Split(old)
        move = f'{service}/{record.order}'
        return Split(old, target, record.share, move, 1)

    # Evidence

    def record(
        self, call: CallStart, latency_ms: float, *, failed: bool
    ) -> None:
        """Record the result of a call to the backend server on this VM."""
        record = self._records.get(call.service)
        if record is None or record.state != MoveState.ACTIVE:
            return
        results = self._results.get(call.service)
        if results is None or results.order != record.order:
            results = self._results[call.service] = _Results(record.order)
        tally = results.routes.setdefault(call.route, _rollout.Tally())
        tally.record(latency_ms, failed=failed)

    def _evidence(self, record: RolloutRecord) -> RolloutEvidence | None:
        endpoint = self._membership.me.endpoint
        results = self._results.get(record.service)
        if (
            endpoint is None
            or endpoint.service != record.service
            or results is None
            or results.order != record.order
        ):
            return None
        counts = tuple(
            RolloutCounts(route, tally.failures, tuple(tally.durations))
            for route, tally in results.routes.items()
        )
        return RolloutEvidence(
            record.service, endpoint.version, record.order, counts
        )

    async def _on_evidence(
        self, exchange: Exchange, message: RolloutEvidence
    ) -> None:
        self._take_evidence(exchange.peer.id, message)

    def _take_evidence(self, member: str, message: RolloutEvidence) -> None:
        found = self._rollouts.get(message.service)
        if found is not None and found[0] == message.order:
            found[1].set_results(member, message.version, message.counts)

    # Records

    def order(self, order: platform.RolloutOrder, revision: int) -> None:
        """Take over an order that was read from the store."""
        known = self._orders.get(order.service)
        if known is not None and known.revision >= revision:
            return
        self._orders[order.service] = _Order(
            order, revision, trio.current_time()
        )
        self._events.emit(
            'rollout-ordered',
            service=order.service,
            target=order.version,
            order=revision,
            duration_s=order.duration_s,
        )
        self._install(
            RolloutRecord(order.service, order.version, revision), 'order'
        )
        self._ordered.set()

    def _install(self, record: RolloutRecord, source: str) -> bool:
        known = self._records.get(record.service)
        if known is not None and (known.order, known.step) >= (
            record.order,
            record.step,
        ):
            return False
        self._records[record.service] = record
        self._events.emit(
            'rollout-record',
            service=record.service,
            target=record.version,
            order=record.order,
            step=record.step,
            share=record.share,
            state=record.state,
            source=source,
        )
        return True

    async def _on_update(
        self, exchange: Exchange, message: RolloutUpdate
    ) -> None:
        for record in message.records:
            self._install(record, exchange.peer.id)
        if not message.evidence:
            return
        self._told_at = trio.current_time()
        for record in message.records:
            evidence = self._evidence(record)
            if evidence is not None:
                self._peers.post(exchange.peer.address, evidence)

    async def _gossip(self) -> None:
        while True:
            await trio.sleep(_GOSSIP_S * self._rng.uniform(0.75, 1.25))
            others = self._others()
            if self._records and others:
                target = self._rng.choice(others)
                update = RolloutUpdate(tuple(self._records.values()))
                self._peers.post(target, update)

    def _others(self) -> list[str]:
        me = self._membership.me
        return [
            member.peer_address
            for member in self._membership.table.members()
            if member.id != me.id and member.is_live
        ]

    def _tell(self, records: Iterable[RolloutRecord]) -> None:
        update = RolloutUpdate(tuple(records), evidence=True)
        for address in self._others():
            self._peers.post(address, update)

    async def _read_records(self) -> None:
        """Learn the outcome of earlier rollouts after a start."""
        while True:
            try:
                items = await self._store.range(_RECORDS)
                break
            except StoreError as error:
                self._events.emit('rollouts-unread', detail=str(error))
                await trio.sleep(_RETRY_S * self._rng.uniform(1.0, 2.0))
        self._take_items(items)

    def _take_items(self, items: Iterable[KeyValue]) -> None:
        for item in items:
            try:
                record = msgspec.msgpack.decode(item.value, type=RolloutRecord)
            except (msgspec.MsgspecError, ValueError) as error:
                self._events.emit(
                    'rollouts-unread', detail=f'{item.key}: {error}'
                )
                continue
            self._install(record, 'store')

    # Controller

    def _open_orders(self) -> list[_Order]:
        return [
            item
            for item in self._orders.values()
            if (record := self._records.get(item.order.service)) is not None
            and record.order == item.revision
            and record.state == MoveState.ACTIVE
        ]

    async def _campaign(self) -> None:
        while True:
            if not self._open_orders():
                self._ordered = trio.Event()
                await self._ordered.wait()
                # Old orders are read again after a start.
                continue
            await trio.sleep(self._rng.uniform(0.0, _CAMPAIGN_S[0]))
            if not self._is_ruled() and not self._is_candidate():
                await trio.sleep(_DEFER_S)
            if self._is_ruled():
                await trio.sleep(_CAMPAIGN_S[1])
                continue
            try:
                async with self._store.elections.campaign(
                    _CONTROLLER_KEY,
                    self._membership.me.id.encode(),
                    _LEASE_S,
                    wait=False,
                ) as lease:
                    await self._control(lease)
            except LeaseHeldError:
                await trio.sleep(self._rng.uniform(*_CAMPAIGN_S))
            except StoreError as error:
                self._events.emit(
                    'campaign-failed', error=error.code, detail=str(error)
                )
                await trio.sleep(self._rng.uniform(*_CAMPAIGN_S))

    def _is_ruled(self) -> bool:
        return trio.current_time() - self._told_at < 2 * _CAMPAIGN_S[1]

    def _is_candidate(self) -> bool:
        me = self._membership.me
        alive = self._membership.table.alive(me.zone)
        return _tree.is_among_first('controller', me.id, alive, _CANDIDATES)

    async def _control(self, lease: Lease) -> None:
        self._rollouts.clear()
        self._events.emit('controller-started', key=lease.key)
        # An earlier controller may have written what was not told to all.
        self._take_items(await self._store.range(_RECORDS))
        while lease.valid(trio.current_time()):
            orders = self._open_orders()
            if not orders:
                break
            for order in orders:
                await self._decide(order, lease)
            self._tell(self._records.values())
            await trio.sleep(_ROUND_S)
        # The last records are told once more, as messages may be lost.
        self._tell(self._records.values())

    async def _decide(self, order: _Order, lease: Lease) -> None:
        now = trio.current_time()
        service = order.order.service
        record = self._records[service]
        found = self._rollouts.get(service)
        if found is None or found[0] != order.revision:
            rollout = _rollout.Rollout(
                order.order.version, order.seen, order.order.duration_s
            )
            if record.step:
                rollout.resume(record.share, now)
            found = self._rollouts[service] = (order.revision, rollout)
        rollout = found[1]
        evidence = self._evidence(record)
        if evidence is not None:
            self._take_evidence(self._membership.me.id, evidence)
        present = any(
            member.endpoint is not None
            and member.endpoint.version == order.order.version
            and member.is_ready
            for member in self._membership.table.endpoints(service)
        )
        outcome = rollout.advance(now, present=present)
        state = MoveState.ACTIVE
        share = rollout.share
        if outcome is _rollout.Outcome.COMPLETE:
            state, share = MoveState.DONE, 1.0
        elif outcome is _rollout.Outcome.ROLL_BACK:
            state, share = MoveState.REVERTED, 0.0
        if record.step and (record.state, record.share) == (state, share):
            return
        following = msgspec.structs.replace(
            record, step=record.step + 1, share=share, state=state
        )
        self._events.emit(
            'rollout-decided',
            service=service,
            target=record.version,
            order=record.order,
            share=share,
            state=state.value,
            elapsed_s=round(now - order.seen, 2),
            runs=rollout.runs,
            suspicion=rollout.suspicion(),
            present=present,
        )
        if state is MoveState.REVERTED:
            # Calls must not wait for the store to leave a bad version.
            self._install(following, 'controller')
            self._tell([following])
        await self._write(order, following, state, lease)
        self._install(following, 'controller')

    async def _write(
        self,
        order: _Order,
        record: RolloutRecord,
        state: MoveState,
        lease: Lease,
    ) -> None:
        service = order.order.service
        writes = [Put(f'{_RECORDS}{service}', msgspec.msgpack.encode(record))]
        known = self._records[service]
        if not known.step or known.state != state or record is known:
            status = platform.encode_rollout_status(order.order, state)
            writes.append(Put(platform.rollout_status_key(service), status))
        while lease.valid(trio.current_time()):
            try:
                result = await self._store.txn([lease.compare], writes)
            except StoreError as error:
                self._events.emit(
                    'rollout-unwritten',
                    service=service,
                    error=error.code,
                    detail=str(error),
                )
                await trio.sleep(_RETRY_S)
                continue
            if not result.succeeded:
                raise LeaseHeldError(f'{service}: another controller rules')
            return
        raise LeaseHeldError(f'{service}: the lease ended before the write')
