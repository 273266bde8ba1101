"""Messages between daemons about quotas, without I/O.

A daemon asks the owners in its own zone, and is the owner of some tenants
itself. `QuotaExchange` decides what is sent to whom and when; it is driven by
the service ``quotas`` and, in tests, by a simulation.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumhall.core import _quota_owners
from gypsumhall.core import _quotas

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.core._member import Member

AVOIDANCE_S = 2.0
"""Time in seconds for which an owner that cannot be reached is not asked. The
failure detector has excluded it by then."""

DECISION_TIMEOUT_S = 0.4
"""Longest time in seconds that a request waits for the owner."""

_IDLE_CHECK_S = 5.0


@dataclass(slots=True)
class Packet:
    """Content of a message to one daemon.

    Parameters
    ----------
    avoided : str
        Id of the owner that the sender could not reach; empty for none.
    questions : list of Question
        Questions to the owner in the same zone.
    zone_questions : list of ZoneQuestion
        Questions to the owner in another zone.
    answers : list of Answer
        Answers to questions of either kind.
    """

    avoided: str = ''
    questions: list[_quotas.Question] = field(default_factory=list)
    zone_questions: list[_quotas.ZoneQuestion] = field(default_factory=list)
    answers: list[_quotas.Answer] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Sender:
    """Sender of a packet.

    Parameters
    ----------
    process : str
        Unique name of its process.
    zone : str
        Its zone.
    address : str
        Its peer address.
    """

    process: str
    zone: str
    address: str


class QuotaExchange:
    """Quotas at one daemon.

    Parameters
    ----------
    me : Member
        Entry of this daemon.
    process : str
        Unique name of its process.
    bounds : QuotaBounds
        Tolerance of the quotas.
    now : float
        Time in seconds of its start.
    sequence : int
        Number before that of the first question. It has to be larger than
        those of an earlier process of this daemon.
    """

    def __init__(
        self,
        me: Member,
        process: str,
        bounds: _quotas.QuotaBounds,
        now: float,
        sequence: int = 0,
    ) -> None:
        self._me = Sender(process, me.zone, me.peer_address)
        self._id = me.id
        self.daemon = _quotas.DaemonQuotas(sequence)
        self.owner = _quotas.OwnerQuotas(
            me.zone, bounds, now + _quota_owners.SETTLE_S, sequence
        )
        self.owners = _quota_owners.Owners(me.id, me.zone, now)
        self._owners_changed_at = self.owners.changed_at
        # Owner and time of the questions without an answer, by number.
        self._asked: dict[int, tuple[str, float]] = {}
        self._avoided_owners: dict[str, float] = {}
        self._addresses: dict[str, str] = {}
        self._packets: defaultdict[str, Packet] = defaultdict(Packet)
        self._probes: set[str] = set()
        self._idle_check_at = now + _IDLE_CHECK_S
        # Tenants whose waiting requests may be decided now.
        self.decided: set[str] = set()

    @property
    def zones(self) -> int:
        """Number of zones that this daemon knows."""
        return len(self.owners.zones)

    def set_limits(self, limits: dict[str, _quotas.Limit], now: float) -> None:
        """Replace the limits of the tenants; they apply at once."""
        self.daemon.set_limits(limits)
        self.owner.set_limits(limits, now)

    def set_members(
        self,
        members: Iterable[Member],
        zones: Iterable[str],
        now: float,
        wall_s: float,
    ) -> None:
        """Replace the live members and the zones; see `Owners`."""
        self.owners.set_members(members, zones, now, wall_s)
        self._update_owners(now)

    def _update_owners(self, now: float) -> None:
        self.owners.update(now)
        owners = self.owners
        if (
            owners.changed_at == self._owners_changed_at
            and owners.zones == self.owner.zones
            and owners.daemons() == self.owner.daemons
        ):
            return
        self._owners_changed_at = owners.changed_at
        self.owner.set_members(
            owners.zones, owners.daemons(), owners.changed_at, now
        )
        for tenant in self.owner.tenants:
            if not self._owns(tenant, now):
                # A bucket that is kept would also fill while another daemon
                # is the owner.
                self.owner.drop(tenant)

    def add_probe(
        self, member_id: str, now: float, *, reachable: bool
    ) -> None:
        """Record whether a daemon from `take_probes` could be reached."""
        if not reachable and member_id != self._id:
            self.owners.avoid(member_id, now + AVOIDANCE_S, now)
            self._avoided_owners[member_id] = now + AVOIDANCE_S
            self._update_owners(now)

    def receive(self, sender: Sender, packet: Packet, now: float) -> None:
        """Handle the content of a message."""
        self._update_owners(now)
        if packet.avoided not in ('', self._id) and (
            not self.owners.is_avoided(packet.avoided, now)
        ):
            self._probes.add(packet.avoided)
        reply = self._packets[sender.address]
        for question in packet.questions:
            if self._owns(question.tenant, now):
                self._addresses[sender.process] = sender.address
                self.owner.add_question(sender.process, question, now)
            else:
                reply.answers.append(
                    _quotas.Answer(question.tenant, question.sequence)
                )
        for zone_question in packet.zone_questions:
            answer: _quotas.Answer | None = _quotas.Answer(
                zone_question.tenant, zone_question.sequence
            )
            if self._owns(zone_question.tenant, now):
                answer = self.owner.add_zone_question(
                    sender.process, zone_question, now
                )
            if answer is not None:
                reply.answers.append(answer)
        for answer in packet.answers:
            if sender.zone == self._me.zone:
                self._asked.pop(answer.sequence, None)
                if self.daemon.add_answer(answer, now):
                    self.decided.add(answer.tenant)
            else:
                self.owner.add_zone_answer(sender.zone, answer, now)

    def _owns(self, tenant: str, now: float) -> bool:
        if not self.owners.is_settled(now):
            return False
        owner = self.owners.owner(tenant, self._me.zone)
        return owner is not None and owner.id == self._id

    def poll(self, now: float) -> list[tuple[str, Packet]]:
        """Return the messages that are due, with the addresses."""
        self._update_owners(now)
        self._expire(now)
        local = Packet()
        by_owner: defaultdict[str, list[str]] = defaultdict(list)
        owners: dict[str, Member] = {}
        for tenant in self.daemon.due(now):
            owner = self.owners.owner(tenant, self._me.zone)
            if owner is not None:
                by_owner[owner.id].append(tenant)
                owners[owner.id] = owner
        for owner_id, tenants in by_owner.items():
            questions = self.daemon.ask(tenants, now)
            self._asked[questions[0].sequence] = (owner_id, now)
            packet = local
            if owner_id != self._id:
                packet = self._packets[owners[owner_id].peer_address]
                packet.avoided = next(iter(self._avoided_owners), '')
            packet.questions += questions
        if local.questions:
            self.receive(self._me, local, now)
        for zone, question in self.owner.zone_questions(now):
            owner = self.owners.owner(question.tenant, zone)
            if owner is not None:
                self._packets[owner.peer_address].zone_questions.append(
                    question
                )
        for process, answer in self.owner.answers(now):
            address = self._addresses.get(process, '')
            self._packets[address].answers.append(answer)
        packets = self._packets
        self._packets = defaultdict(Packet)
        own = packets.pop(self._me.address, None)
        if own is not None and own.answers:
            self.receive(self._me, Packet(answers=own.answers), now)
        packets.pop('', None)
        return [
            (address, packet)
            for address, packet in packets.items()
            if packet.questions or packet.zone_questions or packet.answers
        ]

    def take_probes(self) -> list[str]:
        """Return the ids of daemons whose reachability has to be checked."""
        probes, self._probes = sorted(self._probes), set()
        return probes

    def _expire(self, now: float) -> None:
        for sequence, (owner_id, asked_at) in list(self._asked.items()):
            if now < asked_at + _quotas.ANSWER_TIMEOUT_S:
                break
            del self._asked[sequence]
            if owner_id != self._id:
                self._probes.add(owner_id)
        for owner_id, until in list(self._avoided_owners.items()):
            if now >= until:
                del self._avoided_owners[owner_id]
        if now >= self._idle_check_at:
            self._idle_check_at = now + _IDLE_CHECK_S
            self.daemon.drop_idle(now)
            self.owner.drop_idle(now)
            if not self.owner.tenants:
                self._addresses.clear()

    def next_time(self, now: float) -> float:
        """Return the time of the next call of `poll`, if nothing arrives."""
        due = min(self.owner.next_time(now), self.daemon.next_time(now))
        for _, asked_at in self._asked.values():
            due = min(due, asked_at + _quotas.ANSWER_TIMEOUT_S)
            break
        if self.daemon.tenants or self.owner.tenants:
            due = min(due, self._idle_check_at)
        return due
