"""Choice of an endpoint by the expected time until its response.

The load patterns that the rules answer are replayed by
``tests/test_core_placement.py``:

* Endpoints of unequal speed, some of them slow for a while. The expected
  time follows the service times that the daemons beside them report.
* Reports that are old, because a sender calls each of many endpoints rarely.
  What they say of the present fades with their age, and the cost of each
  endpoint is varied a little, so that senders do not choose the same one.
* An endpoint that joins beside faster ones than a fixed guess of its service
  time. It is tried in its fair share of the calls as if it were as fast as the
  fastest one, so that neither none nor all senders choose it.
* An endpoint that was slow and has recovered. Reports come with responses, so
  it is tried now and then to get one.
* Endpoints that fail a part of their requests while they report good health.
  Failures lengthen the expected time, because failed work is done again.
* All endpoints of a zone busy while another zone has free slots. A zone
  boundary costs a time that follows from the size of a route's responses, so
  that small ones fill the slots of all zones and large ones stay at home.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence
    from random import Random

    from gypsumhall.core._member import Member
    from gypsumhall.net._messages import Load

ANY_VERSION = ''
"""Stands for endpoints of all versions of a service."""

_DEFAULT_SERVICE_S = 0.1
"""Service time in seconds that is assumed while no endpoint of a service has
reported one."""

_CROSSING_S = 0.006
"""Cost in seconds of leaving the own zone, whatever the size of the response:
two crossings of 1.5 ms, and what they add to the spread."""

_CALL_BYTES = 1500.0
"""Bytes of a call that are not the body of its response: both messages'
headers, and offers that are declined."""

_BYTE_COST_S = 3e-5
"""Cost in seconds of a byte from another zone. The users price 5,000 bytes at
a tenth to a fifth of a request whose latency objective is 0.4 s and more."""

_MAX_BYTES_COST_S = 0.15
"""Largest cost in seconds of the bytes of a call; no response is worth more
than a free slot in another zone while the own one is busy for longer."""

_SIZE_WEIGHT = 0.1
"""Weight of the latest response in the mean size of a route's responses."""

_DEFAULT_BYTES = 500.0
"""Size that is assumed for the responses of a route before the first."""

_MAX_ROUTES = 4096
"""Routes whose sizes are kept, so that they stay below 1 MB."""

_FADE_S = 1.0
"""Age in seconds after which a report counts a third."""

_UTILISATION = 0.3
"""Part of a service time that a full endpoint costs more than an idle one."""

_FAILURE_COST_S = 1.0
"""Cost in seconds of a certain failure."""

_FAILURE_WEIGHT = 0.2
"""Weight of the latest result in the share of failures that a sender saw."""

_FAILURE_FADE_S = 5.0
"""Time in seconds after which an observed failure counts a third."""

_COLD_S = 3.0
"""Time in seconds during which an endpoint that has appeared is taken to be
slow."""

_TRIAL_SHARE = 0.1
"""Part of the calls that try an endpoint of which no recent report is known,
times how much faster the fastest one is. At first, trials of an endpoint thus
lengthen the mean service time by at most this part of the fastest one."""

_TRIAL_AGE_S = 1.0
"""Age in seconds from which a report of a slow endpoint is checked. Each
sender then tries it less often than once in this time."""

_TRIAL_FADE_S = 10.0
"""Age in seconds at which a third of what a report says of an endpoint's
slowness counts for its trials; a sender with few calls would otherwise try one
that was five times slower only after minutes."""

_COLD_FACTOR = 2.0
_JITTER = 0.2
"""Largest random part by which a cost is changed."""


class _State:
    __slots__ = (
        'failure_rate',
        'failing_at',
        'in_flight',
        'load',
        'member',
        'own_at_report',
        'reported_at',
        'retry_after_s',
        'since',
        'slots',
        'full_from',
        'full_until',
        'unreachable',
    )

    def __init__(self, member: Member, slots: int, since: float) -> None:
        self.member = member
        self.slots = max(1, slots)
        self.since = since
        self.in_flight = 0
        self.load: Load | None = None
        self.reported_at = -math.inf
        self.own_at_report = 0
        self.failure_rate = 0.0
        self.failing_at = since
        self.unreachable = False
        # Priority from which on calls were refused, and until when.
        self.full_from = 0
        self.full_until = -math.inf
        self.retry_after_s = 0.0

    def expected_wait_s(self, now: float) -> float:
        """Return the expected wait for a slot, in seconds."""
        return self._wait_s(self._fresh(now), self.service_time_s)

    def cost_s(
        self, now: float, service_time_s: float, away_s: float
    ) -> float:
        """Return the expected time until a response, with penalties.

        Parameters
        ----------
        now : float
            Current time in seconds.
        service_time_s : float
            Assumed mean service time in seconds.
        away_s : float
            Cost of a response from another zone; 0 in the own one.
        """
        fresh = self._fresh(now)
        failure_rate = self.failure_rate * math.exp(
            -max(0.0, now - self.failing_at) / _FAILURE_FADE_S
        )
        busy = float(self.in_flight)
        if self.load is not None:
            failure_rate = max(failure_rate, self.load.failure_rate * fresh)
            busy = self._busy(self.load, fresh)
        cost = service_time_s + self._wait_s(fresh, service_time_s)
        cost += failure_rate * _FAILURE_COST_S
        cost += min(1.0, busy / self.slots) * service_time_s * _UTILISATION
        if self.is_cold(now):
            cost *= _COLD_FACTOR
        return cost + away_s

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is taken to be slow after its start."""
        return now - self.since < _COLD_S

    def is_old(self, now: float) -> bool:
        """Return whether the latest report may no longer hold."""
        return now - self.reported_at > _TRIAL_AGE_S

    def _fresh(self, now: float) -> float:
        """Return the weight of the latest report, 0 to 1."""
        return math.exp(-max(0.0, now - self.reported_at) / _FADE_S)

    @property
    def joined(self) -> bool:
        """Whether the endpoint appeared after the sender knew others."""
        return not math.isinf(self.since)

    @property
    def is_known(self) -> bool:
        """Whether a service time has been reported."""
        return self.load is not None and self.load.service_time_ms > 0

    @property
    def service_time_s(self) -> float:
        """Reported mean service time in seconds, or the default one."""
        if self.load is None or not self.load.service_time_ms:
            return _DEFAULT_SERVICE_S
        return self.load.service_time_ms / 1000

    def _busy(self, load: Load, fresh: float) -> float:
        added = self.in_flight - self.own_at_report
        return max(0.0, load.in_flight * fresh + added)

    def _wait_s(self, fresh: float, service_time_s: float) -> float:
        load = self.load
        if load is None:
            own = max(0, self.in_flight - self.slots + 1)
            return own * service_time_s / self.slots
        queued = load.wait_ms / 1000 * fresh
        excess = max(0.0, self._busy(load, fresh) - self.slots + 1)
        return max(queued, 0.0) + excess * service_time_s / self.slots


class LoadBalancer:
    """Endpoints of all services as one sender sees them.

    Parameters
    ----------
    zone : str
        Availability zone of the sender.
    rng : Random
        Source of randomness.
    """

    __slots__ = (
        '_bytes',
        '_revisions',
        '_rng',
        '_services',
        '_states',
        '_zone',
    )

    def __init__(self, zone: str, rng: Random) -> None:
        self._zone = zone
        self._rng = rng
        self._states: dict[str, _State] = {}
        self._services: dict[str, list[str]] = {}
        # Mean size of the responses of a route.
        self._bytes: dict[str, float] = {}
        self._revisions: dict[str, int] = {}

    def revision(self, service: str) -> int:
        """Return the table revision of the last `update`; -1 for none."""
        return self._revisions.get(service, -1)

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
        kept = []
        first = service not in self._revisions
        for member in members:
            endpoint = member.endpoint
            if endpoint is None or not member.is_ready:
                continue
            kept.append(member.id)
            state = self._states.get(member.id)
            if state is None or state.member.endpoint != endpoint:
                since = -math.inf if first else now
                state = _State(member, endpoint.slots, since)
                self._states[member.id] = state
            elif state.member.incarnation != member.incarnation:
                state.unreachable = False
            state.member = member
        for member_id in set(self._services.get(service, ())) - set(kept):
            self._states.pop(member_id, None)
        self._services[service] = kept
        self._revisions[service] = revision

    def versions(self, service: str) -> set[str]:
        """Return the versions of the ready endpoints of a service."""
        return {
            state.member.endpoint.version
            for state in self._ready(service)
            if state.member.endpoint is not None
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
        """Return the endpoint with the least expected time to a response.

        Parameters
        ----------
        service, version : str
            Service and service version; `ANY_VERSION` for all.
        now : float
            Current time in seconds.
        exclude : collection of str
            Ids of members that are not to be chosen.
        priority : int
            Rank of the call.
        route : str
            Route of the call, for the size of its response.

        Returns
        -------
        Member or None
            None when no endpoint is left that can be reached and is not
            known to have no room.
        """
        best: _State | None = None
        best_cost = math.inf
        away_s = self._away_s(route)
        states = self._candidates(service, version, now, exclude, priority)
        known = [state.service_time_s for state in states if state.is_known]
        fastest_s = min(known, default=_DEFAULT_SERVICE_S)
        slowest_s = max(known, default=_DEFAULT_SERVICE_S)
        # One draw for all, so that many slow endpoints do not add trials.
        draw = self._rng.random()
        for state in states:
            home = state.member.zone == self._zone
            crossing_s = 0.0 if home else away_s
            service_time_s = state.service_time_s
            if not state.is_known:
                service_time_s = slowest_s
                # All senders together try it in its share of the calls.
                tried = self._rng.random() * len(states) < 1.0
                if tried and not state.is_cold(now):
                    service_time_s = fastest_s
                    if state.joined:
                        crossing_s = 0.0
            elif state.is_old(now):
                faded = math.exp(-(now - state.reported_at) / _TRIAL_FADE_S)
                believed_s = fastest_s + (service_time_s - fastest_s) * faded
                if draw * believed_s < _TRIAL_SHARE * fastest_s:
                    service_time_s = fastest_s
            cost = state.cost_s(now, service_time_s, crossing_s)
            cost *= 1.0 + _JITTER * self._rng.random()
            if cost < best_cost:
                best, best_cost = state, cost
        return None if best is None else best.member

    def _candidates(
        self,
        service: str,
        version: str,
        now: float,
        exclude: Collection[str],
        priority: int,
    ) -> list[_State]:
        """Return the endpoints that a call may be sent to."""
        found = []
        for state in self._ready(service):
            endpoint = state.member.endpoint
            if state.member.id in exclude or endpoint is None:
                continue
            if version not in (ANY_VERSION, endpoint.version):
                continue
            if state.unreachable:
                continue
            if state.full_until > now and priority >= state.full_from:
                continue
            found.append(state)
        return found

    def expected_wait_s(self, member_id: str, now: float) -> float:
        """Return the expected wait for a slot at an endpoint, in seconds."""
        state = self._states.get(member_id)
        return 0.0 if state is None else state.expected_wait_s(now)

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
        state.own_at_report = max(0, state.own_at_report - 1)
        if failed is None:
            return
        age = max(0.0, now - state.failing_at)
        known = state.failure_rate * math.exp(-age / _FAILURE_FADE_S)
        state.failure_rate = known + _FAILURE_WEIGHT * (failed - known)
        state.failing_at = now

    def set_reachable(self, member_id: str, *, reachable: bool) -> None:
        """Leave an endpoint out while its daemon does not answer."""
        state = self._states.get(member_id)
        if state is not None:
            state.unreachable = not reachable

    def mark_full(
        self,
        member_id: str,
        now: float,
        priority: int,
        retry_after_s: float = 0.0,
    ) -> None:
        """Leave an endpoint out until a run there is likely to end.

        Parameters
        ----------
        member_id : str
            Member whose line had no room.
        now : float
            Current time in seconds.
        priority : int
            Rank of the call that it refused; more urgent ones may still
            displace others there.
        retry_after_s : float
            Time in seconds after which it is likely to have room.
        """
        state = self._states.get(member_id)
        if state is None:
            return
        until = now + state.service_time_s / state.slots
        if state.full_until <= now or priority < state.full_from:
            state.full_from = priority
        state.full_until = until
        state.retry_after_s = retry_after_s

    def retry_after_s(self, service: str, now: float) -> float:
        """Return when a service is likely to have room, in seconds.

        Returns
        -------
        float
            The shortest time at any endpoint; 0 when none can be reached.
        """
        return min(
            (
                max(state.expected_wait_s(now), state.retry_after_s)
                for state in self._ready(service)
                if not state.unreachable
            ),
            default=0.0,
        )

    def report(self, member_id: str, now: float, load: Load) -> None:
        """Take over the load that came with a response or a refusal."""
        state = self._states.get(member_id)
        if state is not None:
            state.load = load
            state.retry_after_s = 0.0
            state.reported_at = now
            state.own_at_report = state.in_flight
            state.unreachable = False

    def record_response_size(self, route: str, size: int) -> None:
        """Take note of the bytes of a response's body."""
        if route not in self._bytes and len(self._bytes) >= _MAX_ROUTES:
            self._bytes.clear()
        known = self._bytes.get(route, float(size))
        self._bytes[route] = known + _SIZE_WEIGHT * (size - known)

    def _away_s(self, route: str) -> float:
        size = self._bytes.get(route, _DEFAULT_BYTES)
        cost_s = (size + _CALL_BYTES) * _BYTE_COST_S
        return _CROSSING_S + min(_MAX_BYTES_COST_S, cost_s)

    def _ready(self, service: str) -> list[_State]:
        states = self._states
        return [
            states[item]
            for item in self._services.get(service, ())
            if item in states
        ]
