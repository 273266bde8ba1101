"""Choice of an endpoint by the expected time until its response.

The rules handle these load patterns, which
``tests/test_core_load_balancer.py`` simulates:

* Endpoints of unequal speed, some of them temporarily slow. The expected time
  follows the service times that the daemons on their VMs report.
* Outdated load reports, because a sender calls each of many endpoints rarely.
  The weight of a report decays with its age, and the cost of each endpoint
  gets a little jitter, so that senders do not all choose the same one.
* An endpoint that joins while the others are faster than the assumed default
  service time. It gets trial calls at its fair share, with the cost of the
  fastest endpoint, so that it is neither ignored nor chosen by all senders.
* An endpoint that was slow and has recovered. Load reports come with
  responses, so occasional trial calls are sent to get one.
* Endpoints that fail some of their requests while they report good health.
  Failures add to the expected time, because failed work is repeated.
* The endpoints of an evacuated zone all at once out of use. They get no call,
  but their versions still count in the split between versions: that of the
  other endpoints would otherwise become the current one without a rollout.
* Cold endpoints that accept few requests per second. Their daemons report how
  many more may begin; a sender that has used up this room goes elsewhere.
* All endpoints of a zone busy while another zone has free slots. Crossing a
  zone boundary has a cost in time that grows with the size of a route's
  bodies: calls with small bodies use the slots of all zones, calls with large
  ones stay in their zone.
* Load waves that reach the zones one after the other. If the backend servers
  state their load, a call stays in its zone while a free slot is expected
  there, whatever the endpoints of other zones cost; a difference between the
  thresholds keeps a sender from alternating.
* Backend servers whose speed differs permanently and that are slower for less
  than a second at a time, if they state it. The expected time follows the
  permanent speed; a momentary factor counts for a fraction of a second. A wait
  counts more than the time of a run, so that free slots of slow endpoints are
  used before the queues of fast ones.
"""

from __future__ import annotations

import copy
import enum
import math
from typing import TYPE_CHECKING

from gypsumhall.core._cold_limit import WINDOW_S
from gypsumhall.core._server_load import decayed_factor

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence
    from random import Random

    from gypsumhall.core._member import Member
    from gypsumhall.net._messages import Load

ANY_VERSION = ''
"""Matches endpoints of all versions of a service."""

_DEFAULT_SERVICE_TIME_S = 0.1
"""Service time in seconds assumed while no endpoint of a service has reported
one."""

_CROSSING_COST_S = 0.006
"""Cost in seconds of leaving the own zone, whatever the size of the response:
two crossings of 1.5 ms, and the variation that they add."""

_OVERHEAD_BYTES = 1500.0
"""Bytes of a call besides the body of its response: the headers of both
messages, and calls that endpoints reject as busy."""

_BYTE_COST_S = 3e-5
"""Cost in seconds of a byte from another zone. 5,000 bytes between zones are
priced at a tenth to a fifth of a request whose latency objective is 0.4 s or
more."""

_MAX_REQUEST_COST_S = 0.5
"""Largest cost in seconds of the bytes of a request body. One of 60 KB between
zones is priced at more than the worth of a request."""

_SPILL_FREE_SHARE = 0.02
"""Share of a zone's slots below which calls may leave it, if that is more than
one slot."""

_RETURN_FREE_SHARE = 0.05
"""Share of a zone's slots that must be free until calls stay in it again, if
that is more than two slots."""

_MAX_FAILURE_RATE_WITH_ROOM = 0.2
"""Failure rate above which the free slots of an endpoint do not keep calls in
its zone."""

_MAX_SLOWNESS_WITH_ROOM = 6.0
"""Multiple of the fastest service time above which the free slots of an
endpoint do not keep calls in its zone. Permanent speeds differ by a factor of
3.2, and the mean of one that is temporarily slow by up to twice as much."""

_MAX_BYTES_COST_S = 0.15
"""Largest cost in seconds of the bytes of a call. A free slot in another zone
is preferred to a longer wait in the own zone, whatever the response size."""

_SIZE_WEIGHT = 0.1
"""Weight of the latest response in the mean size of a route's responses."""

_DEFAULT_RESPONSE_BYTES = 500.0
"""Response size in bytes assumed for a route before its first response."""

_MAX_ROUTES = 4096
"""Routes whose response sizes are stored; bounds the memory to 1 MB."""

_REPORT_DECAY_S = 1.0
"""Age in seconds at which the weight of a load report has decayed to 1/e."""

_UTILISATION_WEIGHT = 0.3
"""Extra cost of an endpoint without free slots over an idle one, as a fraction
of the service time."""

_FAILURE_COST_S = 1.0
"""Cost in seconds of an endpoint with a failure rate of 1."""

_FAILURE_WEIGHT = 0.2
"""Weight of the latest result in the failure rate observed by a sender."""

_FAILURE_DECAY_S = 5.0
"""Time in seconds after which the weight of an observed failure has decayed to
1/e."""

_COLD_S = 3.0
"""Time in seconds during which a new endpoint is assumed to be slow, unless
its daemon says that only the daemon was restarted."""

_TRIAL_SHARE = 0.1
"""Share of the calls that are sent as trials to an endpoint without a recent
report, multiplied by the ratio of the fastest service time to its own. Until
the reported slowness has decayed, trials thus lengthen the mean service time
by at most this fraction of the fastest one."""

_TRIAL_AGE_S = 1.0
"""Age in seconds from which the report of a slow endpoint is checked by trial
calls. Each sender tries the endpoint less often than once in this time."""

_TRIAL_DECAY_S = 10.0
"""Age in seconds at which the reported slowness of an endpoint has decayed to
1/e for the choice of trial calls. Without the decay, a sender with few calls
would try an endpoint that was five times slower only after minutes."""

_QUEUE_WEIGHT = 3.0
"""Weight of the wait for a slot at endpoints whose permanent speed is known. A
call that joins the queue of a fast endpoint also delays those behind it, while
a slower endpoint with a free slot delays only itself."""

_CROSSING_WEIGHT = 2.0
"""Weight of the cost of leaving the own zone at endpoints whose permanent
speed is known. Without it, the weight of the wait would fill the other zones,
and their rejections would add to the bytes."""

_COLD_FACTOR = 2.0
"""Factor by which the cost of a cold endpoint is multiplied."""

_JITTER = 0.2
"""Largest random fraction that is added to a cost."""


_ROOM_DECAY_S = 2.0
"""Age in seconds at which the weight of a report has decayed to 1/e in the
estimate of the free slots of a zone. A sender hears of each endpoint every few
seconds, and the load of a zone changes over several seconds."""

_UNKNOWN_WEIGHT = 0.1
"""Weight, in slots, of the assumption that a zone is idle. It matters only
when no report is recent."""


_MAX_FACTOR_OF_HEDGES = 1.25
"""Momentary factor above which an endpoint gets no hedge."""

_MAX_FAILURE_RATE_OF_HEDGES = 0.2
"""Failure rate above which an endpoint gets no hedge."""


_UNEVEN_JITTER = 0.4
"""Largest random fraction that is added to a cost if backend servers state
their load. All senders know the fast ones then; with 0.2, 58 of 60 senders
chose them when they were an eighth faster."""


class Reason(enum.Enum):
    """Why an endpoint was chosen."""

    NONE = 'none'
    OWN_ZONE = 'own-zone'
    SPILLED = 'spilled'
    TRIAL = 'trial'


class Decision:
    """Choice of an endpoint, with what led to it.

    Parameters
    ----------
    member : Member or None
        The chosen endpoint, if any.
    reason : Reason
        Why it was chosen.
    costs : list of (Member, float)
        Candidates and their costs in seconds, in the order of the table.
    """

    __slots__ = ('costs', 'member', 'reason')

    def __init__(
        self,
        member: Member | None,
        reason: Reason,
        costs: list[tuple[Member, float]],
    ) -> None:
        self.member = member
        self.reason = reason
        self.costs = costs


class _EndpointRecord:
    __slots__ = (
        'busy',
        'failure_rate',
        'failure_rate_updated_at',
        'full_from_priority',
        'cold_until',
        'full_until',
        'in_flight',
        'joined_at',
        'known_time_s',
        'load',
        'member',
        'own_in_flight_at_report',
        'own_sent_since_report',
        'reported_at',
        'retry_after_s',
        'slots',
        'unreachable',
    )

    def __init__(self, member: Member, slots: int, joined_at: float) -> None:
        self.member = member
        self.slots = max(1, slots)
        self.joined_at = joined_at
        self.in_flight = 0
        self.load: Load | None = None
        # Calls that run or wait there, by the latest report.
        self.busy = 0
        # Reported mean service time in seconds, at the usual speed of the VM
        # if that is known; 0 before the first report.
        self.known_time_s = 0.0
        self.reported_at = -math.inf
        self.own_in_flight_at_report = 0
        self.failure_rate = 0.0
        self.failure_rate_updated_at = joined_at
        self.unreachable = False
        # Calls of this and lower priorities are not sent until the time below.
        self.full_from_priority = 0
        self.full_until = -math.inf
        self.retry_after_s = 0.0
        # The endpoint is cold until this time, by its latest report.
        self.cold_until = -math.inf
        self.own_sent_since_report = 0

    def expected_wait_s(self, now: float) -> float:
        """Return the expected wait for a slot, in seconds."""
        return self._expected_wait_s(
            self.report_weight(now), self.service_time_s
        )

    def cost_s(
        self, now: float, service_time_s: float, crossing_cost_s: float
    ) -> float:
        """Return the expected time until a response, with penalties.

        Parameters
        ----------
        now : float
            Current time in seconds.
        service_time_s : float
            Assumed mean service time in seconds.
        crossing_cost_s : float
            Cost in seconds of a response from another zone; 0 in the own one.
        """
        weight = self.report_weight(now)
        failure_rate = self.failure_rate
        if failure_rate:
            age_s = max(0.0, now - self.failure_rate_updated_at)
            failure_rate *= math.exp(-age_s / _FAILURE_DECAY_S)
        expected_in_flight = float(self.in_flight)
        if self.load is not None:
            failure_rate = max(failure_rate, self.load.failure_rate * weight)
            expected_in_flight = self._expected_in_flight(self.load, weight)
        wait_s = self._expected_wait_s(weight, service_time_s)
        if self.states_load:
            service_time_s *= self.momentary_factor(now)
            wait_s *= _QUEUE_WEIGHT
            crossing_cost_s *= _CROSSING_WEIGHT
        cost = service_time_s + wait_s
        cost += failure_rate * _FAILURE_COST_S
        cost += (
            min(1.0, expected_in_flight / self.slots)
            * service_time_s
            * _UTILISATION_WEIGHT
        )
        if self.is_cold(now):
            cost *= _COLD_FACTOR
        return cost + crossing_cost_s

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is or may be slow after its start."""
        endpoint = self.member.endpoint
        may_have_started = endpoint is None or not endpoint.is_warm
        return (
            may_have_started and now - self.joined_at < _COLD_S
        ) or now < self.cold_until

    def cold_delay_s(self, now: float) -> float:
        """Return the time until a cold endpoint has room for a call."""
        cold = None if self.load is None else self.load.cold
        age_s = now - self.reported_at
        if cold is None or now >= self.cold_until or age_s >= WINDOW_S:
            return 0.0
        next_room_s = cold.next_room_ms / 1000
        room = cold.room + (next_room_s > 0.0 and age_s >= next_room_s)
        if self.own_sent_since_report < room:
            return 0.0
        if age_s < next_room_s:
            return next_room_s - age_s
        return WINDOW_S - age_s

    def keeps_calls(self, now: float, fastest_s: float) -> bool:
        """Return whether free slots here keep calls in the zone."""
        if self.is_cold(now):
            return False
        load = self.load
        if load is None:
            return self.failure_rate <= _MAX_FAILURE_RATE_WITH_ROOM
        return (
            max(self.failure_rate, load.failure_rate)
            <= _MAX_FAILURE_RATE_WITH_ROOM
            and load.service_time_ms
            <= _MAX_SLOWNESS_WITH_ROOM * fastest_s * 1000
        )

    def accepts_hedges(self, now: float) -> bool:
        """Return whether a second attempt may be made here."""
        load = self.load
        if load is None or load.draining or self.is_cold(now):
            return False
        weight = self.report_weight(now)
        failure_rate = max(self.failure_rate, load.failure_rate)
        return (
            self._expected_in_flight(load, weight) + 1.0 <= self.slots
            and load.queued * weight < 1.0
            and failure_rate <= _MAX_FAILURE_RATE_OF_HEDGES
            and self.momentary_factor(now) <= _MAX_FACTOR_OF_HEDGES
        )

    def has_old_report(self, now: float) -> bool:
        """Return whether the latest report may be outdated."""
        return now - self.reported_at > _TRIAL_AGE_S

    def report_weight(self, now: float) -> float:
        """Return the weight of the latest report, 0 to 1."""
        return math.exp(-max(0.0, now - self.reported_at) / _REPORT_DECAY_S)

    @property
    def has_joined_later(self) -> bool:
        """Whether the endpoint joined after the first update."""
        return not math.isinf(self.joined_at)

    @property
    def service_time_s(self) -> float:
        """Reported mean service time in seconds, or the default one."""
        return self.known_time_s or _DEFAULT_SERVICE_TIME_S

    @property
    def states_load(self) -> bool:
        """Whether the backend server states its load."""
        return self.load is not None and self.load.server is not None

    def momentary_factor(self, now: float) -> float:
        """Return the factor by which runs take longer now."""
        if self.load is None or self.load.server is None:
            return 1.0
        server = self.load.server
        age_s = max(0.0, now - self.reported_at) + server.age_ms / 1000
        return decayed_factor(server.percent, age_s)

    def _expected_in_flight(self, load: Load, weight: float) -> float:
        added = self.in_flight - self.own_in_flight_at_report
        return max(0.0, load.in_flight * weight + added)

    def _expected_wait_s(self, weight: float, service_time_s: float) -> float:
        load = self.load
        if load is None:
            own_excess = max(0, self.in_flight - self.slots + 1)
            return own_excess * service_time_s / self.slots
        queue_wait_s = load.wait_ms / 1000 * weight
        excess = max(
            0.0, self._expected_in_flight(load, weight) - self.slots + 1
        )
        return max(queue_wait_s, 0.0) + excess * service_time_s / self.slots


class LoadBalancer:
    """Load balancer of one sender for the endpoints of all services.

    Parameters
    ----------
    zone : str
        Availability zone of the sender.
    rng : Random
        Source of randomness.
    """

    __slots__ = (
        '_evacuated_zones',
        '_records',
        '_response_bytes',
        '_revisions',
        '_rng',
        '_services',
        '_spilling',
        '_zone',
    )

    def __init__(self, zone: str, rng: Random) -> None:
        self._zone = zone
        self._rng = rng
        self._evacuated_zones: frozenset[str] = frozenset()
        self._records: dict[str, _EndpointRecord] = {}
        self._services: dict[str, list[str]] = {}
        # Mean size in bytes of the responses of a route.
        self._response_bytes: dict[str, float] = {}
        self._revisions: dict[str, int] = {}
        # Services whose calls may leave the zone.
        self._spilling: set[str] = set()

    def preview(self, service: str, rng: Random) -> LoadBalancer:
        """Return a copy for one service whose use does not change this one.

        Parameters
        ----------
        service : str
            Name of the service.
        rng : Random
            Source of randomness of the copy.
        """
        result = LoadBalancer(self._zone, rng)
        result._evacuated_zones = self._evacuated_zones
        result._response_bytes = dict(self._response_bytes)
        if service in self._services:
            member_ids = self._services[service]
            result._services[service] = list(member_ids)
            result._revisions[service] = self._revisions[service]
            result._records = {
                member_id: copy.copy(self._records[member_id])
                for member_id in member_ids
                if member_id in self._records
            }
        result._spilling = self._spilling & {service}
        return result

    def revision(self, service: str) -> int:
        """Return the table revision of the last `update`; -1 for none."""
        return self._revisions.get(service, -1)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Set the zones whose endpoints are not chosen."""
        self._evacuated_zones = zones

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
        ready_ids = []
        is_first_update = service not in self._revisions
        for member in members:
            endpoint = member.endpoint
            if endpoint is None or not member.is_ready:
                continue
            ready_ids.append(member.id)
            record = self._records.get(member.id)
            if record is None or record.member.endpoint != endpoint:
                joined_at = -math.inf if is_first_update else now
                record = _EndpointRecord(member, endpoint.slots, joined_at)
                self._records[member.id] = record
            elif record.member.incarnation != member.incarnation:
                record.unreachable = False
            record.member = member
        for member_id in set(self._services.get(service, ())) - set(ready_ids):
            self._records.pop(member_id, None)
        self._services[service] = ready_ids
        self._revisions[service] = revision

    def versions(self, service: str) -> set[str]:
        """Return the versions of the ready endpoints of a service."""
        return {
            record.member.endpoint.version
            for record in self._ready(service)
            if record.member.endpoint is not None
        }

    def choose(
        self,
        service: str,
        version: str,
        now: float,
        exclude: Collection[str] = (),
        priority: int = 0,
        route: str = '',
    ) -> Member | None:
        """Return the member that `decide` chooses, or None."""
        return self.decide(
            service, version, now, exclude, priority, route
        ).member

    def decide(
        self,
        service: str,
        version: str,
        now: float,
        exclude: Collection[str] = (),
        priority: int = 0,
        route: str = '',
        request_bytes: int = 0,
        excluded: list[tuple[Member, str]] | None = None,
    ) -> Decision:
        """Choose the endpoint with the least expected time to a response.

        If the backend servers state their load, endpoints of other zones are
        candidates only while the own zone has no room. Exceptions are
        endpoints that joined later and have reported no service time; each
        sender tries them once.

        Parameters
        ----------
        service, version : str
            Service and service version; `ANY_VERSION` for all.
        now : float
            Current time in seconds.
        exclude : collection of str
            Ids of members that must not be chosen.
        priority : int
            Priority of the call.
        route : str
            Route of the call, which determines the expected response size.
        request_bytes : int
            Size in bytes of the body of the request.
        excluded : list, optional
            Gets the ready endpoints that are no candidates, with the reason.

        Returns
        -------
        Decision
            Its member is None when each endpoint of the version is excluded,
            in an evacuated zone, or known to be unreachable, full or cold
            without room.
        """
        best: _EndpointRecord | None = None
        best_cost = math.inf
        best_is_trial = False
        records = self._candidates(
            service, version, now, exclude, priority, excluded
        )
        known_times_s = [
            record.known_time_s for record in records if record.known_time_s
        ]
        fastest_s = min(known_times_s, default=_DEFAULT_SERVICE_TIME_S)
        slowest_s = max(known_times_s, default=_DEFAULT_SERVICE_TIME_S)
        states_load = any(record.states_load for record in records)
        stays = states_load and self._has_room(
            service, records, fastest_s, now
        )
        crossing_cost_s = self._crossing_cost_s(
            route, request_bytes if states_load else 0
        )
        jitter = _UNEVEN_JITTER if states_load else _JITTER
        costs: list[tuple[Member, float]] = []
        # One draw for all, so that the share of trial calls does not grow
        # with the number of slow endpoints.
        draw = self._rng.random()
        for record in records:
            in_own_zone = record.member.zone == self._zone
            if stays and not in_own_zone and record.known_time_s:
                continue
            zone_cost_s = 0.0 if in_own_zone else crossing_cost_s
            service_time_s = record.service_time_s
            is_trial = False
            if not record.known_time_s:
                service_time_s = slowest_s
                # Together, the senders try it at its fair share of the calls.
                is_trial = self._rng.random() * len(records) < 1.0
                is_trial = is_trial and not record.is_cold(now)
                if is_trial:
                    service_time_s = fastest_s
                    if record.has_joined_later:
                        zone_cost_s = 0.0
                if stays and zone_cost_s:
                    continue
            elif record.has_old_report(now):
                weight = math.exp(-(now - record.reported_at) / _TRIAL_DECAY_S)
                assumed_s = fastest_s + (service_time_s - fastest_s) * weight
                if draw * assumed_s < _TRIAL_SHARE * fastest_s:
                    service_time_s = fastest_s
                    is_trial = True
            cost = record.cost_s(now, service_time_s, zone_cost_s)
            cost *= 1.0 + jitter * self._rng.random()
            costs.append((record.member, cost))
            if cost < best_cost:
                best, best_cost = record, cost
                best_is_trial = is_trial and not zone_cost_s
        if best is None:
            return Decision(None, Reason.NONE, costs)
        reason = Reason.OWN_ZONE
        if best.member.zone != self._zone:
            reason = Reason.TRIAL if best_is_trial else Reason.SPILLED
        return Decision(best.member, reason, costs)

    def choose_for_hedge(
        self,
        decision: Decision,
        first: Member,
        now: float,
    ) -> Member | None:
        """Return the best candidate of a decision for a second attempt.

        Parameters
        ----------
        decision : Decision
            Candidates and costs, from `decide`.
        first : Member
            Endpoint of the first attempt. If it is in the own zone, so is
            that of the second one.
        now : float
            Current time in seconds.

        Returns
        -------
        Member or None
            None unless a candidate has reported that it is not cold, and is
            expected to have a free slot.
        """
        best: Member | None = None
        best_cost = math.inf
        for member, cost in decision.costs:
            if cost >= best_cost:
                continue
            if first.zone == self._zone and member.zone != self._zone:
                continue
            record = self._records.get(member.id)
            if record is not None and record.accepts_hedges(now):
                best, best_cost = member, cost
        return best

    def _has_room(
        self,
        service: str,
        records: Sequence[_EndpointRecord],
        fastest_s: float,
        now: float,
    ) -> bool:
        """Return whether a free slot is expected in the own zone.

        Old reports count less, so that the mean of the fresh ones stands for
        endpoints that have not been called for a while.
        """
        slots = 0
        added = 0
        known_slots = _UNKNOWN_WEIGHT
        known_free = _UNKNOWN_WEIGHT
        for record in records:
            if record.member.zone != self._zone:
                continue
            if not record.keeps_calls(now, fastest_s):
                continue
            slots += record.slots
            load = record.load
            if load is None:
                added += record.in_flight
                continue
            added += record.in_flight - record.own_in_flight_at_report
            weight = math.exp((record.reported_at - now) / _ROOM_DECAY_S)
            known_slots += weight * record.slots
            known_free += weight * max(0, record.slots - record.busy)
        if not slots:
            return False
        free = slots * known_free / known_slots - added
        if service in self._spilling:
            if free < min(slots, max(2.0, _RETURN_FREE_SHARE * slots)):
                return False
            self._spilling.discard(service)
        elif free < max(1.0, _SPILL_FREE_SHARE * slots):
            self._spilling.add(service)
            return False
        return True

    def _candidates(
        self,
        service: str,
        version: str,
        now: float,
        exclude: Collection[str],
        priority: int,
        excluded: list[tuple[Member, str]] | None = None,
    ) -> list[_EndpointRecord]:
        """Return the endpoints that a call may be sent to."""
        found = []
        for record in self._ready(service):
            endpoint = record.member.endpoint
            if record.member.id in exclude or endpoint is None:
                reason = 'tried'
            elif version not in (ANY_VERSION, endpoint.version):
                reason = 'excluded-version'
            elif record.unreachable:
                reason = 'unreachable'
            elif record.member.zone in self._evacuated_zones:
                reason = 'evacuated'
            elif record.cold_delay_s(now):
                reason = 'cold'
            elif (
                record.full_until > now
                and priority >= record.full_from_priority
            ):
                reason = 'full'
            else:
                found.append(record)
                continue
            if excluded is not None:
                excluded.append((record.member, reason))
        return found

    def expected_wait_s(self, member_id: str, now: float) -> float:
        """Return the expected wait for a slot at an endpoint, in seconds."""
        record = self._records.get(member_id)
        return 0.0 if record is None else record.expected_wait_s(now)

    def begin(self, member_id: str) -> None:
        """Count a call that is sent to an endpoint."""
        record = self._records.get(member_id)
        if record is not None:
            record.in_flight += 1
            record.own_sent_since_report += 1

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
        record.own_in_flight_at_report = max(
            0, record.own_in_flight_at_report - 1
        )
        if failed is None:
            return
        age = max(0.0, now - record.failure_rate_updated_at)
        mean = record.failure_rate * math.exp(-age / _FAILURE_DECAY_S)
        record.failure_rate = mean + _FAILURE_WEIGHT * (failed - mean)
        record.failure_rate_updated_at = now

    def set_reachable(self, member_id: str, *, reachable: bool) -> None:
        """Set whether the daemon of an endpoint is reachable."""
        record = self._records.get(member_id)
        if record is not None:
            record.unreachable = not reachable

    def mark_full(
        self,
        member_id: str,
        now: float,
        priority: int,
        retry_after_s: float = 0.0,
    ) -> None:
        """Exclude an endpoint until a run there is likely to end.

        Parameters
        ----------
        member_id : str
            Member whose queue had no room.
        now : float
            Current time in seconds.
        priority : int
            Priority of the call that it rejected; more urgent calls may
            still displace others there.
        retry_after_s : float
            Time in seconds after which it is likely to have room.
        """
        record = self._records.get(member_id)
        if record is None:
            return
        until = now + record.service_time_s / record.slots
        if record.full_until <= now or priority < record.full_from_priority:
            record.full_from_priority = priority
        record.full_until = until
        record.retry_after_s = retry_after_s

    def retry_after_s(self, service: str, now: float) -> float:
        """Return the time in seconds until an endpoint likely has room.

        Returns
        -------
        float
            The shortest time of all endpoints; 0 when none is reachable.
        """
        return min(
            (
                max(
                    record.expected_wait_s(now),
                    record.retry_after_s,
                    record.cold_delay_s(now),
                )
                for record in self._ready(service)
                if not record.unreachable
                and record.member.zone not in self._evacuated_zones
            ),
            default=0.0,
        )

    def report(
        self, member_id: str, now: float, load: Load, *, ended: bool = False
    ) -> None:
        """Record the load that was reported with a response or a rejection.

        Parameters
        ----------
        member_id : str
            Id of the member.
        now : float
            Current time in seconds.
        load : Load
            The load.
        ended : bool
            Whether it includes a run that has ended since.
        """
        record = self._records.get(member_id)
        if record is not None:
            record.load = load
            record.own_sent_since_report = 0
            record.cold_until = -math.inf
            if load.cold is not None:
                record.cold_until = now + load.cold.remaining_ms / 1000
            record.busy = max(0, load.in_flight + load.queued - ended)
            time_ms = load.service_time_ms
            if time_ms and load.server is not None:
                time_ms = load.server.base_time_ms or time_ms
            record.known_time_s = time_ms / 1000
            record.retry_after_s = 0.0
            record.reported_at = now
            record.own_in_flight_at_report = record.in_flight
            record.unreachable = False

    def record_response_size(self, route: str, size: int) -> None:
        """Record the size in bytes of the body of a response."""
        if (
            route not in self._response_bytes
            and len(self._response_bytes) >= _MAX_ROUTES
        ):
            self._response_bytes.clear()
        mean = self._response_bytes.get(route, float(size))
        self._response_bytes[route] = mean + _SIZE_WEIGHT * (size - mean)

    def _crossing_cost_s(self, route: str, request_bytes: int) -> float:
        size = self._response_bytes.get(route, _DEFAULT_RESPONSE_BYTES)
        cost_s = (size + _OVERHEAD_BYTES) * _BYTE_COST_S
        request_cost_s = min(_MAX_REQUEST_COST_S, request_bytes * _BYTE_COST_S)
        return (
            _CROSSING_COST_S + min(_MAX_BYTES_COST_S, cost_s) + request_cost_s
        )

    def _ready(self, service: str) -> list[_EndpointRecord]:
        records = self._records
        return [
            records[item]
            for item in self._services.get(service, ())
            if item in records
        ]
