"""Service ``evacuations``: the zones to whose endpoints nothing is sent.

Watchers of the store report what they read, and send changes to the daemons
of their zone and to the watchers of other zones, which send them on. A daemon
that starts requests the state from others. While zones are evacuated, and for
a time after a change, each daemon also sends its state to a random peer at
intervals, as messages may be lost and zones may have been cut off.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import trio

from gypsumhall.core import _tree
from gypsumhall.core._evacuation import build_state
from gypsumhall.core._evacuation import Evacuations
from gypsumhall.net._messages import EvacuationPull
from gypsumhall.net._messages import EvacuationUpdate
from gypsumhall.net._protocol import PeerNetwork
from gypsumhall.services import _protocols
from gypsumhall.services._feed import WATCHERS_PER_ZONE

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumhall.core._evacuation import EvacuationState
    from gypsumhall.core._member import Member
    from gypsumhall.core._revision import Revision
    from gypsumhall.kernel import Kernel
    from gypsumhall.net._protocol import Exchange

_GOSSIP_INTERVAL_S = 2.0
"""Mean time between two messages to a random peer, in seconds."""

_GOSSIP_AFTER_CHANGE_S = 30.0
"""Time in seconds after a change for which these messages are sent although
no zone is evacuated: a zone that was cut off may be reachable again."""

_ANY_ZONE_SHARE = 0.25
"""Share of these messages that go to a peer of any zone. Bytes between zones
are expensive."""

_PULL_DELAY_S = (0.1, 2.0)
"""First and longest mean delay between two requests for the state, in
seconds."""


class EvacuationService:
    """Knows the evacuated zones, and spreads changes among daemons.

    Parameters
    ----------
    rng : random.Random, optional
        Source of the jitter and of the choice of peers.
    """

    name = 'evacuations'
    requires: tuple[str, ...] = ('events', 'peers', 'membership', 'metrics')

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._evacuations = Evacuations()
        self._zones: frozenset[str] = frozenset()
        self._callbacks: list[Callable[[], None]] = []
        self._changed_at = -math.inf
        self._changed = trio.Event()
        self._membership: _protocols.Membership
        self._events: _protocols.Events
        self._peers: PeerNetwork
        self._gauge: _protocols.Metric

    @property
    def zones(self) -> frozenset[str]:
        """Names of the evacuated zones."""
        return self._zones

    @property
    def state(self) -> EvacuationState:
        """The newest known state."""
        return self._evacuations.state

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to call after each change of the zones."""
        self._callbacks.append(callback)

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Exchange the state with other daemons until cancelled."""
        self._membership = kernel.get('membership', _protocols.Membership)
        self._events = kernel.get('events', _protocols.Events)
        self._peers = kernel.get('peers', PeerNetwork)
        metrics = kernel.get('metrics', _protocols.Metrics)
        self._gauge = metrics.gauge(
            'gypsumhall_evacuated_zones', 'Number of evacuated zones.'
        )
        self._peers.on(EvacuationUpdate, self._on_update)
        self._peers.on(EvacuationPull, self._on_pull)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pull)
            nursery.start_soon(self._gossip)
            task_status.started()

    async def drain(self) -> None:
        """Continue: calls are sent until the daemon has stopped."""

    def set_all(self, zones: Iterable[str], revision: Revision) -> None:
        """Apply a complete read of the store at a revision."""
        state = build_state(revision, frozenset(zones))
        if self._evacuations.merge(state):
            self._apply('store')

    def set_zone(
        self, zone: str, revision: Revision, *, evacuated: bool
    ) -> None:
        """Apply a change that a watch of the store has delivered."""
        if self._evacuations.set_zone(zone, revision, evacuated=evacuated):
            self._apply('store')

    async def _on_update(
        self, exchange: Exchange, message: EvacuationUpdate
    ) -> None:
        state, own = message.state, self._evacuations.state
        if self._evacuations.merge(state):
            self._apply(exchange.peer.id)
        elif state.revision < own.revision and state.zones != own.zones:
            self._peers.post(exchange.peer.address, EvacuationUpdate(own))

    async def _on_pull(
        self, exchange: Exchange, message: EvacuationPull
    ) -> None:
        if self._evacuations.is_known:
            update = EvacuationUpdate(self._evacuations.state)
            self._peers.post(exchange.peer.address, update)

    def _apply(self, source: str) -> None:
        """Apply the changed zones and send them on."""
        state = self._evacuations.state
        earlier, self._zones = self._zones, frozenset(state.zones)
        revision = str(state.revision)
        for zone in sorted(self._zones - earlier):
            self._events.emit(
                'zone-evacuated', zone=zone, revision=revision, source=source
            )
        for zone in sorted(earlier - self._zones):
            self._events.emit(
                'zone-restored', zone=zone, revision=revision, source=source
            )
        self._gauge.set(len(self._zones))
        for callback in self._callbacks:
            callback()
        self._changed_at = trio.current_time()
        self._changed.set()
        self._send_change(from_store=source == 'store')

    def _send_change(self, *, from_store: bool) -> None:
        me = self._membership.me
        table = self._membership.table
        own_zone = table.alive(me.zone)
        if not _tree.has_zone_role('feed', me.id, own_zone, WATCHERS_PER_ZONE):
            return
        targets = list(own_zone)
        if from_store:
            zones: dict[str, list[Member]] = {}
            for member in table.members():
                if member.zone != me.zone and member.is_live:
                    zones.setdefault(member.zone, []).append(member)
            for members in zones.values():
                targets += _tree.zone_role_holders(
                    'feed', members, WATCHERS_PER_ZONE
                )
        update = EvacuationUpdate(self._evacuations.state)
        for member in targets:
            if member.id != me.id:
                self._peers.post(member.peer_address, update)

    async def _pull(self) -> None:
        """Request the state until one is known."""
        delay_s, longest_s = _PULL_DELAY_S
        any_zone = False
        while not self._evacuations.is_known:
            address = self._choose_peer(any_zone=any_zone)
            if address:
                self._peers.post(address, EvacuationPull())
                delay_s = min(2 * delay_s, longest_s)
                any_zone = not any_zone
            await trio.sleep(delay_s * self._rng.uniform(0.75, 1.25))

    async def _gossip(self) -> None:
        while True:
            if not self._is_active():
                self._changed = trio.Event()
                await self._changed.wait()
            await trio.sleep(
                _GOSSIP_INTERVAL_S * self._rng.uniform(0.75, 1.25)
            )
            address = self._choose_peer(
                any_zone=self._rng.random() < _ANY_ZONE_SHARE
            )
            if address and self._is_active():
                update = EvacuationUpdate(self._evacuations.state)
                self._peers.post(address, update)

    def _is_active(self) -> bool:
        return bool(self._zones) or (
            trio.current_time() - self._changed_at < _GOSSIP_AFTER_CHANGE_S
        )

    def _choose_peer(self, *, any_zone: bool) -> str:
        """Return the address of a random live peer; empty without one."""
        me = self._membership.me
        others = [
            member
            for member in self._membership.table.members()
            if member.id != me.id and member.is_live
        ]
        near = [member for member in others if member.zone == me.zone]
        candidates = others if any_zone or not near else near
        return self._rng.choice(candidates).peer_address if candidates else ''
