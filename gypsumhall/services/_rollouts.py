"""Moves that are ordered through the platform's store; service ``moves``.

One daemon at a time, the holder of a lease, is the controller: it collects
the results of the endpoints of the service, advances the stages and writes
the state that the operator reads. All daemons split calls according to the
newest record that they have received. The controller sends the records to all
daemons, and each daemon also sends its records to a random peer at intervals.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import random
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall import platform
from gypsumhall._decode import decode
from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import StoreError
from gypsumhall.core import _rollout
from gypsumhall.core import _tree
from gypsumhall.core._load_balancer import ANY_VERSION
from gypsumhall.core._model import MoveState
from gypsumhall.core._snapshot import Split
from gypsumhall.net._messages import RolloutCounts
from gypsumhall.net._messages import RolloutEvidence
from gypsumhall.net._messages import RolloutRecord
from gypsumhall.net._messages import RolloutUpdate
from gypsumhall.net._protocol import PeerNetwork
from gypsumhall.services import _protocols
from gypsumhall.services._rollout_records import RolloutRecords
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
    from gypsumhall.store import Revision

_CONTROLLER_KEY = 'gypsumhall/controller'
_RECORDS_PREFIX = 'gypsumhall/rollouts/'
_LEASE_TTL_S = 3
"""Time to live of the controller's lease, in seconds. A successor takes over
within a fifth of a rollout of 16 s."""

_DECISION_INTERVAL_S = 0.25
"""Time between two decisions of the controller, in seconds."""

_GOSSIP_INTERVAL_S = 2.0
"""Mean time between two messages with records to a random peer, in seconds."""

_CAMPAIGN_DELAY_S = (0.3, 0.6)
"""Range of the random delay after a failed campaign, in seconds. The lower end
also limits the random delay before a campaign. The upper end is the time
between two checks for a controller, and a controller counts as absent when it
has sent no records for twice this time."""

_CANDIDATES_PER_ZONE = 2
"""Number of daemons of a zone that campaign first. Every campaign costs two
calls of the store, and only one succeeds."""

_NON_CANDIDATE_DELAY_S = 1.0
"""Time in seconds after which other daemons campaign without a controller."""

_RETRY_DELAY_S = 0.3


@dataclass(slots=True)
class _ReceivedOrder:
    order: platform.RolloutOrder
    revision: Revision
    received_at: float


@dataclass(slots=True)
class _EndpointResults:
    """Results of the local endpoint since a rollout was ordered."""

    order: Revision
    routes: dict[str, _rollout.Tally] = field(default_factory=dict)


_RECORD_DECODER = msgspec.msgpack.Decoder(RolloutRecord)


def _is_order_of(
    record: RolloutRecord, order: platform.RolloutOrder, revision: Revision
) -> bool:
    return (
        record.version == order.version
        and record.order <= revision <= record.newest
    )


class RolloutService:
    """Splits calls between versions, and controls rollouts.

    Parameters
    ----------
    rng : random.Random, optional
        Source of the jitter.
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
        self._records = RolloutRecords()
        self._orders: dict[str, _ReceivedOrder] = {}
        self._stable_versions: dict[str, str] = {}
        self._results: dict[str, _EndpointResults] = {}
        self._rollouts: dict[str, tuple[Revision, _rollout.Rollout]] = {}
        self._order_received = trio.Event()
        self._controller_update_at = -1e9
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
        """Continue: the lease expires or is released when the service ends."""

    # Split of calls

    def preview_split(
        self, snapshot: Snapshot, service: str, versions: set[str]
    ) -> Split:
        """Return the result of `split` without its effect on later ones."""
        stable_versions = self._stable_versions
        self._stable_versions = dict(stable_versions)
        try:
            return self.split(snapshot, service, versions)
        finally:
            self._stable_versions = stable_versions

    def split(
        self, snapshot: Snapshot, service: str, versions: set[str]
    ) -> Split:
        """Return how the calls of a service are split between versions.

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
        stable = self._stable_versions.get(service)
        if record is None:
            if len(versions) == 1:
                self._stable_versions[service] = next(iter(versions))
            if len(versions) <= 1 or stable not in versions:
                return Split(ANY_VERSION)
            # Another version gets calls only after an order.
            return Split(stable or ANY_VERSION)
        target = record.version
        if record.state == MoveState.DONE:
            self._stable_versions[service] = target
            return Split(target if target in versions else ANY_VERSION)
        others = versions - {target}
        old = stable if stable in others else min(others, default='')
        if not old:
            # No ready endpoint has another version. A placeholder that matches
            # no endpoint stands for an unknown old version.
            old = stable if stable and stable != target else f'not {target}'
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
            results = self._results[call.service] = _EndpointResults(
                record.order
            )
        tally = results.routes.setdefault(call.route, _rollout.Tally())
        tally.record(latency_ms, failed=failed)

    def _build_evidence(self, record: RolloutRecord) -> RolloutEvidence | None:
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
        self._set_evidence(exchange.peer.id, message)

    def _set_evidence(self, member: str, message: RolloutEvidence) -> None:
        entry = self._rollouts.get(message.service)
        if entry is not None and entry[0] == message.order:
            entry[1].set_results(member, message.version, message.counts)

    # Records

    def add_order(
        self, order: platform.RolloutOrder, revision: Revision
    ) -> None:
        """Start to follow an order that was read from the store."""
        earlier = self._orders.get(order.service)
        if earlier is not None and earlier.revision >= revision:
            return
        self._install(
            RolloutRecord(order.service, order.version, revision), 'order'
        )
        record = self._records.get(order.service)
        if record is None or not _is_order_of(record, order, revision):
            # An order of a restored copy that a later one had replaced.
            self._events.emit(
                'rollout-order-replaced',
                service=order.service,
                target=order.version,
                order=str(revision),
            )
            return
        received_at = trio.current_time()
        if (
            earlier is not None
            and record.order < revision
            and _is_order_of(record, earlier.order, earlier.revision)
        ):
            received_at = earlier.received_at
        self._orders[order.service] = _ReceivedOrder(
            order, revision, received_at
        )
        self._events.emit(
            'rollout-ordered'
            if record.order == revision
            else 'rollout-order-repeated',
            service=order.service,
            target=order.version,
            order=str(revision),
            duration_s=order.duration_s,
        )
        self._order_received.set()

    def _install(self, record: RolloutRecord, source: str) -> bool:
        earlier = self._records.get(record.service)
        if not self._records.merge(record):
            return False
        current = self._records.get(record.service)
        if current is None or current == earlier:
            return False
        self._events.emit(
            'rollout-record',
            service=current.service,
            target=current.version,
            order=str(current.order),
            repeated=str(current.repeated),
            step=current.step,
            share=current.share,
            state=current.state,
            stored_era=current.stored_era,
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
        self._controller_update_at = trio.current_time()
        own_records = self._records.all()
        if set(own_records) - set(message.records):
            # The controller may have started without the records of orders
            # that the store has lost.
            self._peers.post(exchange.peer.address, RolloutUpdate(own_records))
        for record in message.records:
            evidence = self._build_evidence(record)
            if evidence is not None:
                self._peers.post(exchange.peer.address, evidence)

    async def _gossip(self) -> None:
        while True:
            await trio.sleep(
                _GOSSIP_INTERVAL_S * self._rng.uniform(0.75, 1.25)
            )
            addresses = self._other_addresses()
            if self._records and addresses:
                target = self._rng.choice(addresses)
                update = RolloutUpdate(self._records.all())
                self._peers.post(target, update)

    def _other_addresses(self) -> list[str]:
        me = self._membership.me
        return [
            member.peer_address
            for member in self._membership.table.members()
            if member.id != me.id and member.is_live
        ]

    def _send_records(self, records: Iterable[RolloutRecord]) -> None:
        update = RolloutUpdate(tuple(records), evidence=True)
        for address in self._other_addresses():
            self._peers.post(address, update)

    async def _read_records(self) -> None:
        """Read the records of earlier rollouts after a start."""
        while True:
            try:
                items = await self._store.range(_RECORDS_PREFIX)
                break
            except StoreError as error:
                self._events.emit('rollouts-unread', detail=str(error))
                await trio.sleep(_RETRY_DELAY_S * self._rng.uniform(1.0, 2.0))
        self._install_items(items)

    def _install_items(self, items: Iterable[KeyValue]) -> None:
        for item in items:
            try:
                record = decode(_RECORD_DECODER.decode, item.value, item.key)
            except MalformedDataError as error:
                self._events.emit('rollouts-unread', detail=str(error))
                continue
            stored_era = item.mod_revision.era
            self._install(
                msgspec.structs.replace(record, stored_era=stored_era), 'store'
            )

    # Controller

    def _open_orders(self) -> list[_ReceivedOrder]:
        return [
            item
            for item in self._orders.values()
            if (record := self._records.get(item.order.service)) is not None
            and record.is_open
            and _is_order_of(record, item.order, item.revision)
        ]

    async def _campaign(self) -> None:
        while True:
            if not self._open_orders():
                self._order_received = trio.Event()
                await self._order_received.wait()
                # After a start, the orders that are read may have ended.
                continue
            await trio.sleep(self._rng.uniform(0.0, _CAMPAIGN_DELAY_S[0]))
            if not self._has_controller() and not self._is_candidate():
                await trio.sleep(_NON_CANDIDATE_DELAY_S)
            if self._has_controller():
                await trio.sleep(_CAMPAIGN_DELAY_S[1])
                continue
            try:
                async with self._store.elections.campaign(
                    _CONTROLLER_KEY,
                    self._membership.me.id.encode(),
                    _LEASE_TTL_S,
                    wait=False,
                ) as lease:
                    await self._control(lease)
            except LeaseHeldError:
                await trio.sleep(self._rng.uniform(*_CAMPAIGN_DELAY_S))
            except StoreError as error:
                self._events.emit(
                    'campaign-failed', error=error.code, detail=str(error)
                )
                await trio.sleep(self._rng.uniform(*_CAMPAIGN_DELAY_S))

    def _has_controller(self) -> bool:
        return (
            trio.current_time() - self._controller_update_at
            < 2 * _CAMPAIGN_DELAY_S[1]
        )

    def _is_candidate(self) -> bool:
        me = self._membership.me
        alive = self._membership.table.alive(me.zone)
        return _tree.has_zone_role(
            'controller', me.id, alive, _CANDIDATES_PER_ZONE
        )

    async def _control(self, lease: Lease) -> None:
        self._rollouts.clear()
        self._events.emit('controller-started', key=lease.key)
        # An earlier controller may have written records without sending them
        # to all daemons.
        self._install_items(await self._store.range(_RECORDS_PREFIX))
        while lease.valid(trio.current_time()):
            orders = self._open_orders()
            if not orders:
                break
            for order in orders:
                await self._decide(order, lease)
            self._send_records(self._records.all())
            await trio.sleep(_DECISION_INTERVAL_S)
        # The last records are sent once more, as messages may be lost.
        self._send_records(self._records.all())

    async def _decide(self, order: _ReceivedOrder, lease: Lease) -> None:
        now = trio.current_time()
        service = order.order.service
        record = self._records.get(service)
        if record is None:
            return
        if record.state.final:
            # Its write was not confirmed or was lost with an era.
            await self._write_and_install(order, record, lease)
            return
        entry = self._rollouts.get(service)
        if entry is None or entry[0] != record.order:
            rollout = _rollout.Rollout(
                order.order.version, order.received_at, order.order.duration_s
            )
            if record.step:
                rollout.resume(record.share, now)
            entry = self._rollouts[service] = (record.order, rollout)
        rollout = entry[1]
        evidence = self._build_evidence(record)
        if evidence is not None:
            self._set_evidence(self._membership.me.id, evidence)
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
            if record.is_lost:
                await self._write_and_install(order, record, lease)
            return
        next_record = msgspec.structs.replace(
            record,
            step=record.step + 1,
            share=share,
            state=state,
            stored_era=-1,
        )
        self._events.emit(
            'rollout-decided',
            service=service,
            target=record.version,
            order=str(record.order),
            share=share,
            state=state.value,
            elapsed_s=round(now - order.received_at, 2),
            runs=rollout.runs,
            suspicion=rollout.suspicion(),
            present=present,
        )
        if state is MoveState.REVERTED:
            # Calls leave a bad version before the store has responded.
            self._install(next_record, 'controller')
            self._send_records([next_record])
        await self._write_and_install(order, next_record, lease)

    async def _write_and_install(
        self, order: _ReceivedOrder, record: RolloutRecord, lease: Lease
    ) -> None:
        era = await self._write(order, record, lease)
        if record.stored_era not in (-1, era):
            self._events.emit(
                'rollout-written-again',
                service=record.service,
                order=str(record.order),
                state=record.state,
                era=era,
            )
        self._install(
            msgspec.structs.replace(record, stored_era=era), 'controller'
        )

    async def _write(
        self, order: _ReceivedOrder, record: RolloutRecord, lease: Lease
    ) -> int:
        """Write a record and its status; return the era of the write."""
        service = order.order.service
        status = platform.encode_rollout_status(order.order, record.state)
        writes = [
            Put(f'{_RECORDS_PREFIX}{service}', msgspec.msgpack.encode(record)),
            Put(platform.rollout_status_key(service), status),
        ]
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
                await trio.sleep(_RETRY_DELAY_S)
                continue
            if not result.succeeded:
                raise LeaseHeldError(
                    f'{service}: another controller holds the lease'
                )
            return result.revision.era
        raise LeaseHeldError(f'{service}: the lease expired before the write')
