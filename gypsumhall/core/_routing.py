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

# Age in seconds from which a load report is ignored as outdated.
_MAX_REPORT_AGE_S = 2.0
_SLOW_START_S = 10.0
# Initial load of a new endpoint as a share of an equal load.
_SLOW_START_SHARE = 0.1


def choose_version(
    split: Split, rng: Random, *, idempotent: bool, keyed: bool
) -> str:
    """Choose the service version of a call.

    Parameters
    ----------
    split : Split
        Shares of the calls for the old and the new version.
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
class _EndpointRecord:
    member: Member
    slots: int
    ready_since: float
    in_flight: int = 0
    reported_load: int = 0
    reported_at: float = float('-inf')
    full: bool = False

    def utilisation(self, now: float) -> float:
        load = self.in_flight + 1
        if now - self.reported_at < _MAX_REPORT_AGE_S:
            load += self.reported_load
        age = now - self.ready_since
        if age >= _SLOW_START_S:
            return load / self.slots
        share = max(_SLOW_START_SHARE, age / _SLOW_START_S)
        return load / (self.slots * share)

    def saturated(self, now: float) -> bool:
        return self.full and now - self.reported_at < _MAX_REPORT_AGE_S


@dataclass(slots=True)
class _ServiceIndex:
    revision: int
    # Ids of the endpoints in the own zone and in other zones, by version.
    own_zone: dict[str, list[str]]
    other_zones: dict[str, list[str]]


class Router:
    """Router of one sender to the endpoints of all services.

    Parameters
    ----------
    zone : str
        Availability zone of the sender, whose endpoints are preferred.
    rng : Random
        Source of randomness.
    me : str
        Id of the sender's member. Calls to the endpoint on its own VM need
        no exchange with another daemon, so that endpoint is chosen unless it
        has a higher load than another one.
    """

    __slots__ = (
        '_ejection',
        '_me',
        '_records',
        '_rng',
        '_services',
        '_zone',
    )

    def __init__(self, zone: str, rng: Random, me: str = '') -> None:
        self._zone = zone
        self._me = me
        self._rng = rng
        self._records: dict[str, _EndpointRecord] = {}
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
        """Update the endpoints of a service from the member table.

        Parameters
        ----------
        service : str
            Name of the service.
        members : sequence of Member
            Members with an endpoint of it, in any status.
        revision : int
            Revision of the member table.
        now : float
            Current time in seconds.
        """
        own_zone: dict[str, list[str]] = {}
        other_zones: dict[str, list[str]] = {}
        old = self._services.get(service)
        ready_ids = set()
        for member in members:
            endpoint = member.endpoint
            if endpoint is None or not member.is_ready:
                continue
            ready_ids.add(member.id)
            self._observe(member, endpoint.slots, now)
            group = own_zone if member.zone == self._zone else other_zones
            group.setdefault(endpoint.version, []).append(member.id)
        if old is not None:
            for group in (old.own_zone, old.other_zones):
                for ids in group.values():
                    self._remove(set(ids) - ready_ids)
        self._services[service] = _ServiceIndex(
            revision, own_zone, other_zones
        )

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
            Ids of members that were tried before; they are chosen only when
            no other is left.

        Returns
        -------
        Member or None
            None when no endpoint is ready.
        """
        index = self._services.get(service)
        if index is None:
            return None
        own_zone = index.own_zone.get(version, [])
        other_zones = index.other_zones.get(version, [])
        if own_zone and not exclude and not self._ejection.any_failure:
            chosen = self._pick(own_zone, now)
            if not self._records[chosen.id].saturated(now):
                return chosen
        usable = set(self._ejection.usable(own_zone + other_zones, now))
        zone_groups = [
            [i for i in group if i in usable]
            for group in (own_zone, other_zones)
        ]
        free = [
            [
                i
                for i in group
                if i not in exclude and not self._records[i].saturated(now)
            ]
            for group in zone_groups
        ]
        untried = [
            [i for i in group if i not in exclude] for group in zone_groups
        ]
        for ids in (*free, *untried, *zone_groups):
            if ids:
                return self._pick(ids, now)
        return None

    def begin(self, member_id: str) -> None:
        """Count a call that is sent to an endpoint."""
        record = self._records.get(member_id)
        if record is not None:
            record.in_flight += 1

    def end(self, member_id: str, now: float, *, failed: bool | None) -> None:
        """Count the end of a call.

        Parameters
        ----------
        member_id : str
            Id given to `begin`.
        now : float
            Current time in seconds.
        failed : bool or None
            Whether the endpoint failed; None when the call gives no evidence.
        """
        record = self._records.get(member_id)
        if record is None:
            return
        record.in_flight = max(0, record.in_flight - 1)
        if failed:
            self._ejection.failure(member_id, now)
        elif failed is not None:
            self._ejection.success(member_id)

    def report(
        self, member_id: str, now: float, busy: int, *, full: bool
    ) -> None:
        """Record the load that was reported with a response.

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
        record = self._records.get(member_id)
        if record is not None:
            # `in_flight` counts the calls of this sender.
            record.reported_load = max(0, busy - record.in_flight)
            record.reported_at = now
            record.full = full

    def _observe(self, member: Member, slots: int, now: float) -> None:
        record = self._records.get(member.id)
        if (
            record is None
            or record.member.endpoint != member.endpoint
            or record.member.incarnation != member.incarnation
        ):
            in_flight = 0 if record is None else record.in_flight
            self._records[member.id] = _EndpointRecord(
                member, max(1, slots), now, in_flight
            )
        else:
            record.member = member

    def _remove(self, member_ids: set[str]) -> None:
        for member_id in member_ids:
            self._records.pop(member_id, None)
            self._ejection.forget(member_id)

    def _pick(self, ids: list[str], now: float) -> Member:
        """Choose the own VM's endpoint unless one of two has a lower load."""
        chosen = self._two_choices(ids, now)
        if self._me in self._records and self._me in ids:
            own = self._records[self._me]
            if own.utilisation(now) <= self._records[chosen.id].utilisation(
                now
            ):
                return own.member
        return chosen

    def _two_choices(self, ids: list[str], now: float) -> Member:
        count = len(ids)
        index = int(self._rng.random() * count)
        first = self._records[ids[index]]
        if count == 1:
            return first.member
        # The two endpoints must differ: if the same one could be drawn twice,
        # a quarter of the calls would go to the slower of two endpoints
        # whatever its load.
        index += 1 + int(self._rng.random() * (count - 1))
        second = self._records[ids[index % count]]
        if second.utilisation(now) < first.utilisation(now):
            return second.member
        return first.member
