"""Quotas of tenants over all daemons.

Load pattern: 86 tenants whose requests arrive at 88 daemons in 3 zones, most
of them with less than one request per second at a daemon, a tenant at 7.5
times its usual rate, and demand that moves between zones within a second.
``tests/test_core_quotas.py`` simulates it.

The right to run one request is a token. In each zone, one daemon owns the
bucket of a tenant, which is filled at the zone's share of the tenant's rate.
Daemons ask the owner for tokens for the requests that wait for a decision and
for a few spare ones. An owner without tokens asks the owners of other zones.
Tokens are never copied: one that is lost with a message or a process is
unused, so nothing but the time creates new ones. docs/design/quotas.md shows
how the total follows from the limits below.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass
from dataclasses import field
import math
from typing import Annotated
from typing import TYPE_CHECKING

import msgspec

from gypsumhall.core._member import Count

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


LEVEL_SHARE = 0.15
"""Share of the tolerance by which buckets may exceed the burst. Each zone has
a fraction of a small burst, and a request needs a whole token."""

SPARE_SHARE = 0.35
"""Largest share of the tolerance that daemons hold as spare tokens."""

RATE_SHARE = 0.2
"""Share of the tolerance that is created in addition to the rate. Some tokens
are in buckets and daemons where no request arrives, so that with the rate
alone, requests inside the quota are refused."""

START_SHARE = 0.1
"""Share of the tolerance in the bucket of a new owner. The tokens that its
predecessor had given out are unknown, so the bucket cannot start full."""

SPARE_LIFETIME_S = 5.0
"""Time in seconds after which a spare token is no longer valid."""

_LIFETIME_MARGIN_S = 0.5
"""Time in seconds by which a daemon drops spare tokens earlier than the owner
stops counting them, for clocks that run at different speeds."""

_PREFETCH_S = 0.2
"""Demand that a daemon asks for in advance, in seconds."""

_PREFETCH_RATE_PER_S = 10.0
"""Rate of a tenant at one daemon from which tokens are asked in advance."""

ANSWER_TIMEOUT_S = 0.15
"""Time in seconds after which a question counts as lost."""

_MIN_REFUSAL_S = 0.05
"""Shortest time in seconds for which a daemon refuses on the answer of the
owner without asking again."""

_REFUSALS_PER_S = 200.0
"""Questions per second about a tenant over its quota that an owner answers.
In a large zone, each daemon asks less often."""

_ASK_INTERVAL_S = 0.02
"""Shortest time in seconds between two questions of a daemon about a tenant
for which requests wait."""

_PREFETCH_INTERVAL_S = 0.1
"""Shortest such time in seconds if no request waits."""

_PENDING_S = 0.06
"""Longest time in seconds for which an owner waits for other zones before it
refuses."""

_DONOR_INTERVAL_S = 0.03
"""Shortest time in seconds between two questions of one tenant to other
zones."""

_DRY_S = 0.06
"""Time in seconds for which other zones are not asked again after they had
nothing to give."""

_SHORT_S = 0.3
"""Time in seconds for which an owner goes on to ask other zones after a
request had to wait for them. A question per request would be too late."""

_MAX_ANSWERED = 256
"""Owners in other zones whose last question is known."""

_MAX_DONORS = 3
"""Other zones that are asked at the same time."""

_DONOR_RESERVE_S = 0.1
"""Own demand in seconds that a zone keeps when it gives tokens to another."""

_MAX_RESERVE_SHARE = 0.5
"""Largest share of its bucket that a zone keeps for its own demand. The rate
of a demand that has moved away is high for a second."""

_MIN_RETRY_S = 0.01
"""Shortest ``Retry-After`` in seconds; 0 would mean that it is not known."""

_MAX_RETRY_SHARE = 0.5
"""Longest ``Retry-After`` as a share of the window."""

_IDLE_S = 30.0
"""Time in seconds after which the state of an idle tenant is dropped."""

_RATE_WINDOW_S = 1.0
_EPSILON = 1e-9


Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
"""A number of tokens or seconds that another process states."""


class Decision(msgspec.Struct, frozen=True):
    """Decision about one request of a tenant.

    Parameters
    ----------
    granted : bool
        Whether the request may run.
    reason : str
        ``no-limit``, ``token``, ``over-quota``, ``undecided`` while the owner
        has to be asked, or ``owner-unreachable``.
    retry_after_s : float
        Time in seconds until there is room; 0 when that is not known.
    """

    granted: bool
    reason: str
    retry_after_s: float = 0.0


NO_LIMIT = Decision(True, 'no-limit')
TOKEN = Decision(True, 'token')
UNDECIDED = Decision(False, 'undecided')


@dataclass(slots=True, frozen=True)
class Limit:
    """Limit of a tenant over all daemons.

    Parameters
    ----------
    rate_per_s : float
        Requests per second, more than 0.
    burst : float
        Requests that may be sent at once in addition.
    """

    rate_per_s: float
    burst: float


@dataclass(slots=True, frozen=True)
class QuotaBounds:
    """Tolerance of a quota.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds.
    over : float
        Share by which the quota may be exceeded in a window.
    slack : float
        Requests by which it may be exceeded in addition.
    """

    window_s: float = 5.0
    over: float = 0.1
    slack: float = 20.0

    def tolerance(self, limit: Limit) -> float:
        """Return the requests of a window that may exceed the quota."""
        quota = limit.rate_per_s * self.window_s + limit.burst
        return quota * self.over + self.slack


@dataclass(slots=True, frozen=True)
class ZoneShare:
    """Share of one zone in the limit of a tenant.

    Parameters
    ----------
    rate_per_s : float
        Tokens per second that the owner creates.
    capacity : float
        Largest content of the bucket.
    start : float
        Content of the bucket of a new owner.
    spares : float
        Largest number of spare tokens at all daemons of the zone.
    """

    rate_per_s: float
    capacity: float
    start: float
    spares: float

    @classmethod
    def of(cls, limit: Limit, bounds: QuotaBounds, zones: int) -> ZoneShare:
        """Return the share of one of several zones."""
        tolerance = bounds.tolerance(limit)
        return cls(
            (limit.rate_per_s + RATE_SHARE * tolerance / bounds.window_s)
            / zones,
            (limit.burst + LEVEL_SHARE * tolerance) / zones,
            START_SHARE * tolerance / zones,
            SPARE_SHARE * tolerance / zones,
        )


class _Rate:
    """Recent rate of events, as an exponentially weighted mean."""

    __slots__ = ('_at', '_value')

    def __init__(self) -> None:
        self._at = -math.inf
        self._value = 0.0

    def add(self, count: float, now: float) -> None:
        """Record events."""
        self._value = self.per_s(now) + count / _RATE_WINDOW_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the rate per second."""
        if self._value < _EPSILON:
            return 0.0
        return self._value * math.exp((self._at - now) / _RATE_WINDOW_S)


class Question(msgspec.Struct, frozen=True, array_like=True):
    """Question of a daemon to the owner in its zone.

    Parameters
    ----------
    tenant : str
        Name of the tenant.
    sequence : int
        Number of the question; grows with each question of a daemon.
    waiting : int
        Requests that wait for a decision.
    prefetch : int
        Tokens for the requests that are expected next.
    held : int
        Spare tokens that the daemon has.
    returned : int
        Tokens of requests that were not sent.
    refused : int
        Requests refused since the last question.
    """

    tenant: str
    sequence: Count
    waiting: Count = 0
    prefetch: Count = 0
    held: Count = 0
    returned: Count = 0
    refused: Count = 0


class ZoneQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Question of an owner to the owner in another zone.

    Parameters
    ----------
    tenant : str
        Name of the tenant.
    sequence : int
        Number of the question; grows with each question of an owner.
    tokens : float
        Tokens that are missing.
    """

    tenant: str
    sequence: Count
    tokens: Amount


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of an owner.

    Parameters
    ----------
    tenant : str
        Name of the tenant.
    sequence : int
        Number of the question.
    tokens : float
        Tokens given; whole ones to a daemon of the same zone.
    retry_after_s : float
        Time in seconds after which there is room for the requests that got
        no token; 0 if all have got one or the daemon is not the owner.
    ask_again_s : float
        Time in seconds for which the daemon refuses further requests; 0
        unless some got no token.
    """

    tenant: str
    sequence: Count
    tokens: Amount = 0.0
    retry_after_s: Amount = 0.0
    ask_again_s: Amount = 0.0


@dataclass(slots=True)
class _DaemonState:
    tokens: int = 0
    expires_at: float = -math.inf
    waiting: int = 0
    # Sequence number and time of the question without an answer; 0 for none.
    sequence: int = 0
    asked_at: float = -math.inf
    refused_until: float = -math.inf
    retry_at: float = -math.inf
    used_at: float = -math.inf
    returned: int = 0
    refused: int = 0
    rate: _Rate = field(default_factory=_Rate)


class DaemonQuotas:
    """Decisions of one daemon about the requests that arrive at it.

    Parameters
    ----------
    sequence : int
        Number before that of the first question. It has to be larger than
        those of an earlier process of the daemon.
    """

    __slots__ = ('_active', '_sequence', '_tenants', 'limits')

    def __init__(self, sequence: int = 0) -> None:
        self._sequence = sequence
        self._tenants: dict[str, _DaemonState] = {}
        # Tenants with waiting requests, returned tokens or a rate that may
        # need tokens in advance.
        self._active: set[str] = set()
        self.limits: dict[str, Limit] = {}

    @property
    def tenants(self) -> int:
        """Number of tenants with state."""
        return len(self._tenants)

    def set_limits(self, limits: dict[str, Limit]) -> None:
        """Replace the limits; spare tokens of a changed limit are dropped."""
        for tenant in list(self._tenants):
            if limits.get(tenant) != self.limits.get(tenant):
                state = self._tenants[tenant]
                state.tokens = state.returned = 0
                # The answer to a question under the old limit is not used.
                state.sequence = 0
                state.refused_until = -math.inf
        self.limits = limits

    def take(self, tenant: str, now: float) -> Decision:
        """Take a token for one request, if there is one."""
        if tenant not in self.limits:
            return NO_LIMIT
        state = self._tenants.get(tenant)
        if state is None:
            state = self._tenants[tenant] = _DaemonState()
        state.rate.add(1.0, now)
        state.used_at = now
        if state.rate.per_s(now) >= _PREFETCH_RATE_PER_S:
            self._active.add(tenant)
        return self._take(state, now)

    def peek(self, tenant: str, now: float) -> Decision:
        """Return the decision about a request without counting it."""
        if tenant not in self.limits:
            return NO_LIMIT
        state = self._tenants.get(tenant)
        return self._take(
            _DaemonState() if state is None else copy.copy(state), now
        )

    def retake(self, tenant: str, now: float) -> Decision:
        """Take a token for a request that has waited for an answer."""
        state = self._tenants.get(tenant)
        if tenant not in self.limits or state is None:
            return NO_LIMIT
        return self._take(state, now)

    def _take(self, state: _DaemonState, now: float) -> Decision:
        if now >= state.expires_at:
            state.tokens = 0
        if state.tokens:
            state.tokens -= 1
            return TOKEN
        if now < state.refused_until:
            state.refused += 1
            return Decision(
                False, 'over-quota', max(state.retry_at - now, _MIN_RETRY_S)
            )
        return UNDECIDED

    def give_back(self, tenant: str, now: float) -> None:
        """Return the token of a request that was not sent.

        It goes back to the owner, whose bucket has a limit. If many requests
        that have waited for seconds end together, their tokens must not all
        be used again.
        """
        state = self._tenants.get(tenant)
        if tenant in self.limits and state is not None:
            state.returned += 1
            self._active.add(tenant)
            state.used_at = now

    def wait(self, tenant: str, count: int) -> None:
        """Change the number of requests that wait for a decision."""
        state = self._tenants.get(tenant)
        if state is not None:
            state.waiting = max(0, state.waiting + count)
            self._active.add(tenant)

    def is_asking(self, tenant: str, now: float) -> bool:
        """Whether an answer is still expected."""
        state = self._tenants.get(tenant)
        return (
            state is not None
            and state.sequence != 0
            and now < state.asked_at + ANSWER_TIMEOUT_S
        )

    def needs(self, tenant: str, now: float) -> bool:
        """Whether the owner has to be asked now."""
        state = self._tenants.get(tenant)
        if (
            state is None
            or tenant not in self.limits
            or self.is_asking(tenant, now)
            or now < state.asked_at + _ASK_INTERVAL_S - _EPSILON
        ):
            return False
        if state.waiting and now >= state.refused_until:
            return True
        if now < state.asked_at + _PREFETCH_INTERVAL_S - _EPSILON:
            return False
        return state.returned > 0 or (
            now >= state.refused_until and self._prefetch(state, now) > 0
        )

    def due(self, now: float) -> list[str]:
        """Return the tenants whose owners have to be asked now."""
        for tenant in list(self._active):
            state = self._tenants.get(tenant)
            if state is None or not (
                state.waiting
                or state.returned
                or state.rate.per_s(now) >= _PREFETCH_RATE_PER_S
            ):
                self._active.discard(tenant)
        return sorted(item for item in self._active if self.needs(item, now))

    def _prefetch(self, state: _DaemonState, now: float) -> int:
        rate_per_s = state.rate.per_s(now)
        if rate_per_s < _PREFETCH_RATE_PER_S:
            return 0
        wanted = math.ceil(rate_per_s * _PREFETCH_S)
        return wanted if state.tokens <= wanted // 2 else 0

    def next_time(self, now: float) -> float:
        """Return the time at which a question is due, if nothing changes."""
        due = math.inf
        for tenant in self._active:
            state = self._tenants.get(tenant)
            if state is None:
                continue
            at = math.inf
            if state.waiting:
                at = max(state.asked_at + _ASK_INTERVAL_S, state.refused_until)
            elif state.returned or (
                state.rate.per_s(now) >= _PREFETCH_RATE_PER_S
            ):
                at = state.asked_at + _PREFETCH_INTERVAL_S
                if not state.returned:
                    at = max(at, state.refused_until)
            if state.sequence:
                at = max(at, state.asked_at + ANSWER_TIMEOUT_S)
            if at > now or state.waiting or state.returned:
                due = min(due, at)
        return max(due, now)

    def ask(self, tenants: Iterable[str], now: float) -> list[Question]:
        """Return the questions of one message, all with the same number."""
        self._sequence += 1
        questions = []
        for tenant in tenants:
            state = self._tenants[tenant]
            if now >= state.expires_at:
                state.tokens = 0
            state.sequence, state.asked_at = self._sequence, now
            questions.append(
                Question(
                    tenant,
                    self._sequence,
                    state.waiting,
                    self._prefetch(state, now),
                    state.tokens,
                    state.returned,
                    state.refused,
                )
            )
            state.returned = state.refused = 0
        return questions

    def add_answer(self, answer: Answer, now: float) -> bool:
        """Add the tokens of an answer; False if it is late or repeated."""
        tenant, sequence = answer.tenant, answer.sequence
        tokens, retry_after_s = int(answer.tokens), answer.retry_after_s
        state = self._tenants.get(tenant)
        if state is None or not sequence or state.sequence != sequence:
            return False
        state.sequence = 0
        if now >= state.asked_at + SPARE_LIFETIME_S - _LIFETIME_MARGIN_S:
            return False
        if now >= state.expires_at:
            state.tokens = 0
        if tokens:
            state.tokens += tokens
            # The owner counts them from the receipt of the question.
            state.expires_at = (
                state.asked_at + SPARE_LIFETIME_S - _LIFETIME_MARGIN_S
            )
        if retry_after_s:
            state.refused_until = now + answer.ask_again_s
            state.retry_at = now + retry_after_s
        return True

    def drop_idle(self, now: float) -> None:
        """Drop the state of tenants that send nothing."""
        for tenant, state in list(self._tenants.items()):
            is_idle = tenant not in self.limits or (
                now >= state.used_at + _IDLE_S and now >= state.expires_at
            )
            if is_idle and not state.waiting:
                del self._tenants[tenant]


@dataclass(slots=True)
class _Held:
    count: int
    expires_at: float
    sequence: int


@dataclass(slots=True)
class _Pending:
    daemon: str
    sequence: int
    waiting: int
    prefetch: int
    held: int
    since: float


@dataclass(slots=True)
class _Bucket:
    limit: Limit
    level: float
    updated_at: float
    # Time at which this daemon became the owner, as far as it knows.
    since: float
    used_at: float
    held: dict[str, _Held] = field(default_factory=dict)
    pending: dict[str, _Pending] = field(default_factory=dict)
    rate: _Rate = field(default_factory=_Rate)
    granted: _Rate = field(default_factory=_Rate)
    # Refused requests that will have returned when there is room.
    backlog: float = 0.0
    # Questions to other zones without an answer.
    asked: dict[str, ZoneQuestion] = field(default_factory=dict)
    # Whether no zone has given all that it was asked for.
    is_dry: bool = False
    asked_at: float = -math.inf
    dry_until: float = -math.inf
    short_until: float = -math.inf
    next_donor: int = 0
    # Last question of the owners in other zones that was answered.
    answered: dict[str, int] = field(default_factory=dict)


class OwnerQuotas:
    """Buckets that one daemon owns in its zone.

    Parameters
    ----------
    zone : str
        Zone of the daemon.
    bounds : QuotaBounds
        Tolerance of the quotas.
    now : float
        Time in seconds at which the daemon began to own buckets.
    sequence : int
        Number before that of the first question to another zone. It has to
        be larger than those of an earlier process of the daemon.
    """

    __slots__ = (
        '_bounds',
        '_buckets',
        '_changed_at',
        '_pending',
        '_reported_until',
        '_reported_zones',
        '_sequence',
        '_short',
        '_zone',
        '_zone_count',
        'daemons',
        'limits',
        'zones',
    )

    def __init__(
        self, zone: str, bounds: QuotaBounds, now: float, sequence: int = 0
    ) -> None:
        self._zone = zone
        self._bounds = bounds
        self._buckets: dict[str, _Bucket] = {}
        # Tenants with questions that have no answer yet, and those that need
        # tokens of other zones.
        self._pending: set[str] = set()
        self._short: set[str] = set()
        self._changed_at = now
        # Process-wide numbers keep answers to an owner before a restart apart.
        self._sequence = sequence
        self._zone_count = 1
        self._reported_zones = 1
        self._reported_until = -math.inf
        self.limits: dict[str, Limit] = {}
        # Number of daemons in the zone.
        self.daemons = 1
        self.zones: tuple[str, ...] = (zone,)

    @property
    def tenants(self) -> tuple[str, ...]:
        """Tenants with a bucket."""
        return tuple(self._buckets)

    def level(self, tenant: str) -> float:
        """Return the content of a bucket at its last use; 0 for none."""
        bucket = self._buckets.get(tenant)
        return bucket.level if bucket else 0.0

    def use(self, tenant: str, now: float) -> float:
        """Return the recent use of the zone's share; 1 is all of it."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            return 0.0
        return bucket.granted.per_s(now) / self._share(bucket).rate_per_s

    def set_limits(self, limits: dict[str, Limit], now: float) -> None:
        """Replace the limits; they apply at once."""
        self.limits = limits
        for tenant, bucket in list(self._buckets.items()):
            limit = limits.get(tenant)
            if limit is None:
                del self._buckets[tenant]
            elif limit != bucket.limit:
                self._refill(bucket, now)
                bucket.limit = limit
                bucket.level = min(bucket.level, self._share(bucket).capacity)

    def set_members(
        self,
        zones: tuple[str, ...],
        daemons: int,
        changed_at: float,
        now: float,
    ) -> None:
        """Set the zones of the fleet and the daemons of the own zone.

        Parameters
        ----------
        zones : tuple of str
            All zones.
        daemons : int
            Number of daemons in the own zone.
        changed_at : float
            Time of the last change of the owners. Tenants without a bucket
            may have had another owner before.
        now : float
            Time in seconds.
        """
        for bucket in self._buckets.values():
            self._refill(bucket, now)
        self.zones = zones
        self.daemons = max(1, daemons)
        self._changed_at = changed_at
        self._update_zone_count(now)

    def observe_zones(self, count: int, now: float) -> None:
        """Record the number of zones that another daemon knows.

        A daemon that has just started may know fewer zones than others, and
        would take too large a share for its own.
        """
        if count >= self._reported_zones or now >= self._reported_until:
            self._reported_zones = count
            self._reported_until = now + self._bounds.window_s
            self._update_zone_count(now)

    def _update_zone_count(self, now: float) -> None:
        reported = self._reported_zones if now < self._reported_until else 1
        count = max(1, len(self.zones), reported)
        if count != self._zone_count:
            for bucket in self._buckets.values():
                self._refill(bucket, now)
            self._zone_count = count

    def drop(self, tenant: str) -> None:
        """Drop the bucket of a tenant that has another owner."""
        self._buckets.pop(tenant, None)

    def drop_idle(self, now: float) -> None:
        """Drop the buckets of tenants that send nothing."""
        for tenant, bucket in list(self._buckets.items()):
            if not bucket.pending and now >= bucket.used_at + _IDLE_S:
                del self._buckets[tenant]

    def add_question(
        self, daemon: str, question: Question, now: float
    ) -> None:
        """Add a question of a daemon; one that is repeated is ignored."""
        sequence = question.sequence
        bucket = self._bucket(question.tenant, now)
        if bucket is None:
            return
        self._refill(bucket, now)
        held = bucket.held.get(daemon)
        if held is not None and sequence <= held.sequence:
            return
        capacity = self._share(bucket).capacity
        bucket.level = max(
            bucket.level, min(bucket.level + question.returned, capacity)
        )
        bucket.backlog += question.refused
        bucket.held[daemon] = _Held(
            question.held, now + SPARE_LIFETIME_S, sequence
        )
        self._pending.add(question.tenant)
        if self._missing(bucket) + question.waiting > 0:
            self._short.add(question.tenant)
        bucket.pending.pop(daemon, None)
        bucket.pending[daemon] = _Pending(
            daemon,
            sequence,
            question.waiting,
            question.prefetch,
            question.held,
            now,
        )

    def add_zone_question(
        self, daemon: str, question: ZoneQuestion, now: float
    ) -> Answer | None:
        """Return the tokens for another zone; None if it asks again.

        Parameters
        ----------
        daemon : str
            Process of the owner in the other zone.
        question : ZoneQuestion
            Its question.
        now : float
            Time in seconds.
        """
        tenant, sequence = question.tenant, question.sequence
        bucket = self._bucket(tenant, now)
        if bucket is None:
            return Answer(tenant, sequence)
        self._refill(bucket, now)
        if sequence <= bucket.answered.get(daemon, 0):
            return None
        if len(bucket.answered) >= _MAX_ANSWERED:
            del bucket.answered[next(iter(bucket.answered))]
        bucket.answered[daemon] = sequence
        waiting = sum(item.waiting for item in bucket.pending.values())
        reserve = waiting + min(
            _DONOR_RESERVE_S * bucket.rate.per_s(now),
            _MAX_RESERVE_SHARE * bucket.level,
        )
        given = max(0.0, min(question.tokens, bucket.level - reserve))
        bucket.level -= given
        return Answer(tenant, sequence, given)

    def add_zone_answer(self, zone: str, answer: Answer, now: float) -> None:
        """Add the tokens of another zone, unless the answer is repeated."""
        bucket = self._buckets.get(answer.tenant)
        question = bucket.asked.get(zone) if bucket else None
        if (
            bucket is None
            or question is None
            or question.sequence != answer.sequence
        ):
            return
        del bucket.asked[zone]
        if answer.tokens >= question.tokens - _EPSILON:
            bucket.is_dry = False
        self._refill(bucket, now)
        bucket.level += answer.tokens
        if bucket.is_dry and not bucket.asked and self._missing(bucket) > 0:
            bucket.dry_until = now + _DRY_S

    def answers(self, now: float) -> Iterator[tuple[str, Answer]]:
        """Yield the daemons that are answered now, with the answers."""
        for tenant in sorted(self._pending):
            bucket = self._buckets.get(tenant)
            if bucket is not None:
                yield from self._answer(tenant, bucket, now)
            if bucket is None or not bucket.pending:
                self._pending.discard(tenant)
                if bucket is not None:
                    capacity = self._share(bucket).capacity
                    if tenant in self._short:
                        capacity += self._advance(bucket, math.inf)
                    bucket.level = min(bucket.level, capacity)

    def zone_questions(self, now: float) -> Iterator[tuple[str, ZoneQuestion]]:
        """Yield the zones that are asked now, with the questions."""
        others = [zone for zone in self.zones if zone != self._zone]
        if not others:
            return
        for tenant in sorted(self._short):
            bucket = self._buckets.get(tenant)
            if bucket is None:
                self._short.discard(tenant)
                continue
            if now < bucket.asked_at + _DONOR_INTERVAL_S - _EPSILON:
                continue
            self._refill(bucket, now)
            missing = self._missing(bucket)
            if missing > 0:
                bucket.short_until = now + _SHORT_S
            elif now >= bucket.short_until:
                self._short.discard(tenant)
                continue
            excess = bucket.rate.per_s(now) - self._share(bucket).rate_per_s
            wanted = missing + self._advance(bucket, excess)
            if wanted <= 0:
                continue
            bucket.asked_at = now
            self._sequence += 1
            bucket.asked.clear()
            bucket.is_dry = True
            count = min(_MAX_DONORS, len(others))
            for offset in range(count):
                zone = others[(bucket.next_donor + offset) % len(others)]
                question = ZoneQuestion(tenant, self._sequence, wanted / count)
                bucket.asked[zone] = question
                yield zone, question
            bucket.next_donor = (bucket.next_donor + count) % len(others)

    def _advance(self, bucket: _Bucket, rate_per_s: float) -> float:
        """Return the tokens of other zones that are asked in advance."""
        rate_per_s = max(0.0, min(rate_per_s, bucket.limit.rate_per_s))
        return rate_per_s * 2 * _DONOR_INTERVAL_S

    def next_time(self, now: float) -> float:
        """Return the time until which nothing is due, if nothing arrives."""
        due = math.inf
        for tenant in self._pending:
            bucket = self._buckets.get(tenant)
            if bucket is None or not bucket.pending:
                continue
            since = min(item.since for item in bucket.pending.values())
            due = min(due, since + _PENDING_S)
        if len(self.zones) > 1:
            for tenant in self._short:
                bucket = self._buckets.get(tenant)
                if bucket is not None:
                    at = bucket.asked_at + _DONOR_INTERVAL_S
                    due = min(due, max(at, now + _ASK_INTERVAL_S / 2))
        return due

    def _share(self, bucket: _Bucket) -> ZoneShare:
        return ZoneShare.of(bucket.limit, self._bounds, self._zone_count)

    def _bucket(self, tenant: str, now: float) -> _Bucket | None:
        limit = self.limits.get(tenant)
        if limit is None:
            return None
        bucket = self._buckets.get(tenant)
        if bucket is None:
            share = ZoneShare.of(limit, self._bounds, self._zone_count)
            elapsed_s = max(0.0, now - self._changed_at)
            level = min(
                share.capacity, share.start + share.rate_per_s * elapsed_s
            )
            bucket = _Bucket(limit, level, now, self._changed_at, now)
            self._buckets[tenant] = bucket
        bucket.used_at = now
        return bucket

    def _refill(self, bucket: _Bucket, now: float) -> None:
        share = self._share(bucket)
        elapsed_s = max(0.0, now - bucket.updated_at)
        bucket.updated_at = now
        created = share.rate_per_s * elapsed_s
        # Tokens of other zones may exceed the capacity until they are used.
        bucket.level = max(
            bucket.level, min(bucket.level + created, share.capacity)
        )
        bucket.backlog = max(0.0, bucket.backlog - created)

    def _missing(self, bucket: _Bucket) -> float:
        waiting = sum(item.waiting for item in bucket.pending.values())
        return waiting - bucket.level

    def _spares_left(self, bucket: _Bucket, now: float) -> float:
        if now < bucket.since + SPARE_LIFETIME_S:
            # The spare tokens of the owner before are still valid.
            return 0.0
        for daemon, held in list(bucket.held.items()):
            if now >= held.expires_at:
                del bucket.held[daemon]
        count = sum(held.count for held in bucket.held.values())
        return self._share(bucket).spares - count

    def _answer(
        self, tenant: str, bucket: _Bucket, now: float
    ) -> Iterator[tuple[str, Answer]]:
        self._refill(bucket, now)
        share = self._share(bucket)
        has_donors = len(self.zones) > 1
        for daemon, item in list(bucket.pending.items()):
            tokens = min(item.waiting, math.floor(bucket.level + _EPSILON))
            if (
                tokens < item.waiting
                and has_donors
                and now >= bucket.dry_until
                and now < item.since + _PENDING_S - _EPSILON
            ):
                # Other zones may give tokens.
                continue
            del bucket.pending[daemon]
            bucket.level -= tokens
            missing = item.waiting - tokens
            if missing and now >= bucket.dry_until:
                # Zones that are cut off do not answer.
                bucket.dry_until = now + _DRY_S
            spare = 0
            if not missing and bucket.level >= 1:
                spare = self._spare(bucket, share, item, now)
                bucket.level -= spare
                held = bucket.held.get(daemon)
                if held is not None:
                    held.count += spare
            bucket.rate.add(item.waiting + spare, now)
            bucket.granted.add(tokens + spare, now)
            retry_after_s = 0.0
            if missing:
                bucket.backlog += missing
                retry_after_s = min(
                    _MAX_RETRY_SHARE * self._bounds.window_s,
                    bucket.backlog / share.rate_per_s,
                )
            yield (
                daemon,
                Answer(
                    tenant,
                    item.sequence,
                    tokens + spare,
                    retry_after_s,
                    max(_MIN_REFUSAL_S, self.daemons / _REFUSALS_PER_S)
                    if missing
                    else 0.0,
                ),
            )

    def _spare(
        self, bucket: _Bucket, share: ZoneShare, item: _Pending, now: float
    ) -> int:
        left = min(self._spares_left(bucket, now), bucket.level)
        fair = max(1, math.floor(share.spares / self.daemons))
        wanted = max(item.prefetch, fair) - item.held
        return max(0, min(wanted, math.floor(left)))
