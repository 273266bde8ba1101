"""Choice of the service version and of the endpoint for a call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumhall.core._limits import OutlierEjection

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence
    from random import Random

    from gypsumhall.core._member import Member
    from gypsumhall.core._snapshot import Split

# Load reports lag; an older one says nothing about the present.
_REPORT_KEPT_S = 2.0
_SLOW_START_S = 10.0
# Share of an equal load that an endpoint gets when it has just appeared.
_SLOW_START_SHARE = 0.1


def choose_version(
    split: Split, rng: Random, *, idempotent: bool, keyed: bool
) -> str:
    """Choose the service version of a call.

    Parameters
    ----------
    split : Split
        How the calls of the service are divided.
    rng : Random
        Source of randomness.
    idempotent : bool
        Whether the request may be repeated.
    keyed : bool
        Whether the request carries an idempotency key.
    """
    if split.new_version is None or split.share <= 0.0:
        return split.old_version
    if split.stage == 0 and (keyed or not idempotent):
        return split.old_version
    if rng.random() < split.share:
        return split.new_version
    return split.old_version


@dataclass(slots=True)
class _State:
    member: Member
    slots: int
    ready_since: float
    in_flight: int = 0
    reported: int = 0
    reported_at: float = float('-inf')
    full: bool = False

    def load(self, now: float) -> float:
        busy = self.in_flight + 1
        if now - self.reported_at < _REPORT_KEPT_S:
            busy += self.reported
        age = now - self.ready_since
        if age >= _SLOW_START_S:
            return busy / self.slots
        share = max(_SLOW_START_SHARE, age / _SLOW_START_S)
        return busy / (self.slots * share)

    def saturated(self, now: float) -> bool:
        return self.full and now - self.reported_at < _REPORT_KEPT_S


@dataclass(slots=True)
class _ServiceIndex:
    revision: int
    near: dict[str, list[str]]
    far: dict[str, list[str]]


class Router:
    """Endpoints of all services as one sender sees them.

    Parameters
    ----------
    zone : str
        Availability zone of the sender; its endpoints come first.
    rng : Random
        Source of randomness.
    me : str
        Id of the sender. Calls of an endpoint on its VM skip the exchange,
        so that it is chosen unless it is loaded more than another one.
    """

    __slots__ = ('_ejection', '_me', '_rng', '_services', '_states', '_zone')

    def __init__(self, zone: str, rng: Random, me: str = '') -> None:
        self._zone = zone
        self._me = me
        self._rng = rng
        self._states: dict[str, _State] = {}
        self._services: dict[str, _ServiceIndex] = {}
        self._ejection = OutlierEjection()

    def revision(self, service: str) -> int:
        """Return the table revision of the last `update`; -1 for none."""
        index = self._services.get(service)
        return -1 if index is None else index.revision

    def update(
        self,
        service: str,
        members: Sequence[Member],
        revision: int,
        now: float,
    ) -> None:
        """Take over the endpoints of a service from the member table.

        Parameters
        ----------
        service : str
            Name of the service.
        members : sequence of Member
            Members with an endpoint of it, whatever their status.
        revision : int
            Revision of the member table.
        now : float
            Current time in seconds.
        """
        near: dict[str, list[str]] = {}
        far: dict[str, list[str]] = {}
        old = self._services.get(service)
        kept = set()
        for member in members:
            endpoint = member.endpoint
            if endpoint is None or not member.is_ready:
                continue
            kept.add(member.id)
            self._observe(member, endpoint.slots, now)
            side = near if member.zone == self._zone else far
            side.setdefault(endpoint.version, []).append(member.id)
        if old is not None:
            for side in (old.near, old.far):
                for ids in side.values():
                    self._remove(set(ids) - kept)
        self._services[service] = _ServiceIndex(revision, near, far)

    def choose(
        self,
        service: str,
        version: str,
        now: float,
        exclude: Collection[str] = (),
    ) -> Member | None:
        """Choose an endpoint of a service version.

        Parameters
        ----------
        service, version : str
            Service and service version.
        now : float
            Current time in seconds.
        exclude : collection of str
            Ids of members that were tried before; they are used only when
            no other is left.

        Returns
        -------
        Member or None
            None when no endpoint is ready.
        """
        index = self._services.get(service)
        if index is None:
            return None
        near = index.near.get(version, [])
        far = index.far.get(version, [])
        if near and not exclude and not self._ejection.any_failure:
            chosen = self._pick(near, now)
            if not self._states[chosen.id].saturated(now):
                return chosen
        usable = set(self._ejection.usable(near + far, now))
        sides = [[i for i in side if i in usable] for side in (near, far)]
        free = [
            [
                i
                for i in side
                if i not in exclude and not self._states[i].saturated(now)
            ]
            for side in sides
        ]
        untried = [[i for i in side if i not in exclude] for side in sides]
        for ids in (*free, *untried, *sides):
            if ids:
                return self._pick(ids, now)
        return None

    def begin(self, member_id: str) -> None:
        """Count a call that is sent to an endpoint."""
        state = self._states.get(member_id)
        if state is not None:
            state.in_flight += 1

    def end(self, member_id: str, now: float, *, failed: bool | None) -> None:
        """Count the end of a call.

        Parameters
        ----------
        member_id : str
            Id given to `begin`.
        now : float
            Current time in seconds.
        failed : bool or None
            Whether the endpoint failed; None when the call says nothing
            about it.
        """
        state = self._states.get(member_id)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        if failed:
            self._ejection.failure(member_id, now)
        elif failed is not None:
            self._ejection.success(member_id)

    def report(
        self, member_id: str, now: float, busy: int, *, full: bool
    ) -> None:
        """Take over the load that came with a response.

        Parameters
        ----------
        member_id : str
            Id of the endpoint's member.
        now : float
            Current time in seconds.
        busy : int
            Requests in flight and queued.
        full : bool
            Whether the queue is full.
        """
        state = self._states.get(member_id)
        if state is not None:
            # The sender counts its own calls itself.
            state.reported = max(0, busy - state.in_flight)
            state.reported_at = now
            state.full = full

    def _observe(self, member: Member, slots: int, now: float) -> None:
        state = self._states.get(member.id)
        if (
            state is None
            or state.member.endpoint != member.endpoint
            or state.member.incarnation != member.incarnation
        ):
            in_flight = 0 if state is None else state.in_flight
            self._states[member.id] = _State(
                member, max(1, slots), now, in_flight
            )
        else:
            state.member = member

    def _remove(self, member_ids: set[str]) -> None:
        for member_id in member_ids:
            self._states.pop(member_id, None)
            self._ejection.forget(member_id)

    def _pick(self, ids: list[str], now: float) -> Member:
        """Choose the less loaded of two, or the own VM's if that is idler."""
        chosen = self._two_choices(ids, now)
        if self._me in self._states and self._me in ids:
            own = self._states[self._me]
            if own.load(now) <= self._states[chosen.id].load(now):
                return own.member
        return chosen

    def _two_choices(self, ids: list[str], now: float) -> Member:
        count = len(ids)
        index = int(self._rng.random() * count)
        first = self._states[ids[index]]
        if count == 1:
            return first.member
        # Two different endpoints: with the same one twice, a quarter of the
        # calls would go to the slower of two endpoints whatever its load.
        index += 1 + int(self._rng.random() * (count - 1))
        second = self._states[ids[index % count]]
        if second.load(now) < first.load(now):
            return second.member
        return first.member
