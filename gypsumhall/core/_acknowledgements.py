"""Acknowledgements up the distribution tree and summaries of zones."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gypsumhall.core._actions import Send
from gypsumhall.core._tree import sample_members
from gypsumhall.net._messages import Acknowledgement
from gypsumhall.net._messages import ZoneSummaries
from gypsumhall.net._messages import ZoneSummary

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    import random

    from gypsumhall.core._member import Member
    from gypsumhall.core._tree import Trees

# The first change is sent at once; further changes wait this long, so a
# burst of versions costs at most four messages per second and link.
ACK_INTERVAL_S = 0.25
SUMMARY_INTERVAL_S = 0.5

# Unchanged state is sent again in case a message was lost.
REFRESH_INTERVAL_S = 10.0

# Members of another zone that get a summary: one of them may have failed.
_CROSS_ZONE_COPIES = 2

# Zones to which a root sends all summaries at each refresh.
_EXCHANGED_ZONES = 3

# Reports are kept from daemons that are not children yet in this daemon's
# member table, but not without limit.
_MAX_REPORTS = 64

# Delay after a change of the member table, whose changes come in bursts.
_MEMBERS_DELAY_S = 0.5


class Acknowledgements:
    """What a daemon knows about the versions held by its subtree and zones.

    Parameters
    ----------
    me : Member
        Own entry; its id, zone and incarnation are used.
    trees : Trees
        Trees of all zones.
    rng : random.Random
        Source of randomness.
    """

    __slots__ = (
        '_ack_due',
        '_ack_sent_at',
        '_changed',
        '_me',
        '_refresh_due',
        '_reports',
        '_rng',
        '_sent',
        '_summaries',
        '_summary_due',
        '_summary_sent_at',
        '_trees',
        '_version',
    )

    def __init__(self, me: Member, trees: Trees, rng: random.Random) -> None:
        self._me = me
        self._trees = trees
        self._rng = rng
        self._version = -1
        self._reports: dict[str, Acknowledgement] = {}
        self._summaries: dict[str, ZoneSummary] = {}
        self._changed: set[str] = set()
        self._sent: tuple[str, Acknowledgement] | None = None
        self._ack_due = math.inf
        self._ack_sent_at = -math.inf
        self._summary_due = math.inf
        self._summary_sent_at = -math.inf
        self._refresh_due = -math.inf

    @property
    def due(self) -> float:
        """Time at which `tick` has something to do."""
        if self._version < 0:
            return math.inf
        return min(self._ack_due, self._summary_due, self._refresh_due)

    @property
    def summaries(self) -> Mapping[str, ZoneSummary]:
        """Latest summary of every zone."""
        return self._summaries

    def in_effect(self, version: int) -> bool:
        """Whether every member of every zone acknowledged a version.

        A zone counts as long as the member table has an entry of it that
        has not left, because members that seem dead may only be cut off.
        """
        summaries = [self._summaries.get(zone) for zone in self._trees.zones()]
        return bool(summaries) and all(
            item is not None
            and item.lowest >= version
            and item.members >= item.expected
            for item in summaries
        )

    def set_version(self, version: int, now: float) -> None:
        """Take over the version that this daemon serves."""
        self._version = version
        self._touch(now)

    def members_changed(self, now: float) -> None:
        """Check the tree again soon."""
        self._ack_due = min(self._ack_due, now + _MEMBERS_DELAY_S)

    def _touch(self, now: float) -> None:
        self._ack_due = min(
            self._ack_due, max(now, self._ack_sent_at + ACK_INTERVAL_S)
        )

    def report(self, sender: str, report: Acknowledgement, now: float) -> None:
        """Take over the report of a child."""
        if self._reports.get(sender) == report:
            return
        self._reports.pop(sender, None)
        self._reports[sender] = report
        if len(self._reports) > _MAX_REPORTS:
            del self._reports[next(iter(self._reports))]
        self._touch(now)

    def merge(
        self, message: ZoneSummaries, address: str, zone: str, now: float
    ) -> list[Send]:
        """Take over summaries that are later than the known ones.

        Parameters
        ----------
        message : ZoneSummaries
            Summaries from a peer.
        address, zone : str
            Peer address and zone of the sender.
        now : float
            Time in seconds.
        """
        new = []
        later = []
        for item in message.summaries:
            held = self._summaries.get(item.zone)
            if held is None or _order(held) < _order(item):
                self._summaries[item.zone] = item
                new.append(item)
            elif _order(held) > _order(item):
                later.append(held)
        # A root that restarted with its clock set back learns from this
        # that its summaries have to start higher.
        actions = [Send(address, ZoneSummaries(tuple(later)))] if later else []
        if not new:
            return actions
        if any(item.zone == self._me.zone for item in new):
            # A former root's summary, which the present root has to replace.
            self._touch(now)
        # The own subtree gets it from here: when it comes down from the
        # root, it is no longer new.
        self._mark(now, *(item.zone for item in new))
        root = self._trees.acknowledgement_tree(self._me.zone).root
        if root and root.id != self._me.id and zone != self._me.zone:
            actions.append(Send(root.peer_address, ZoneSummaries(tuple(new))))
        return actions

    def tick(self, now: float) -> list[Send]:
        """Send what is due."""
        if self._version < 0:
            return []
        actions: list[Send] = []
        refresh = now >= self._refresh_due
        if refresh:
            self._refresh_due = now + REFRESH_INTERVAL_S * self._rng.uniform(
                0.8, 1.2
            )
            # Every daemon repeats them to its children, who pass on only
            # what is new to them.
            self._mark(now, *self._summaries)
        if refresh or now >= self._ack_due:
            self._ack_due = math.inf
            actions += self._acknowledge(now, refresh)
        if now >= self._summary_due:
            self._summary_due = math.inf
            self._summary_sent_at = now
            actions += self._forward()
        return actions

    def _mark(self, now: float, *zones: str) -> None:
        self._changed.update(zones)
        self._summary_due = min(
            self._summary_due,
            max(now, self._summary_sent_at + SUMMARY_INTERVAL_S),
        )

    def _acknowledge(self, now: float, refresh: bool) -> list[Send]:
        tree = self._trees.acknowledgement_tree(self._me.zone)
        root = tree.root
        parent = tree.parent(self._me.id)
        if root is None or (parent is None and root.id != self._me.id):
            return []  # The table does not count this daemon as alive.
        children = {item.id for item in tree.children(self._me.id)}
        reports = [
            report
            for sender, report in self._reports.items()
            if sender in children
        ]
        lowest = min([self._version, *(item.lowest for item in reports)])
        members = 1 + sum(item.members for item in reports)
        if parent is None:
            expected = len(self._trees.table.alive(self._me.zone))
            return self._summarise(lowest, members, expected, now, refresh)
        report = Acknowledgement(root.id, lowest, members)
        if self._sent == (parent.id, report) and not refresh:
            return []
        self._sent = parent.id, report
        self._ack_sent_at = now
        return [Send(parent.peer_address, report)]

    def _summarise(
        self,
        lowest: int,
        members: int,
        expected: int,
        now: float,
        refresh: bool,
    ) -> list[Send]:
        zone = self._me.zone
        held = self._summaries.get(zone)
        state = (members, expected, lowest)
        if (
            held is not None
            and (held.members, held.expected, held.lowest) == state
        ):
            return self._exchange() if refresh else []
        # A new root may have started before the former one, so it goes on
        # from the former root's last summary.
        incarnation, sequence = self._me.incarnation, 1
        if held is not None:
            incarnation = max(incarnation, held.incarnation)
            if incarnation == held.incarnation:
                sequence = held.sequence + 1
        self._summaries[zone] = ZoneSummary(
            zone, incarnation, sequence, *state
        )
        self._ack_sent_at = now
        self._mark(now, zone)
        return self._cross_zone()

    def _cross_zone(self) -> list[Send]:
        zones = self._trees.other_zones(self._me.zone)
        message = ZoneSummaries((self._summaries[self._me.zone],))
        return self._send_to(zones, message)

    def _exchange(self) -> list[Send]:
        # Zones that cannot reach each other learn of each other this way.
        zones = self._trees.other_zones(self._me.zone)
        chosen = self._rng.sample(zones, min(_EXCHANGED_ZONES, len(zones)))
        return self._send_to(
            chosen, ZoneSummaries(tuple(self._summaries.values()))
        )

    def _send_to(
        self, zones: Iterable[str], message: ZoneSummaries
    ) -> list[Send]:
        return [
            Send(member.peer_address, message)
            for zone in zones
            for member in sample_members(
                self._trees.table.alive(zone),
                _CROSS_ZONE_COPIES,
                self._me.id,
                self._rng,
            )
        ]

    def _forward(self) -> list[Send]:
        zones = sorted(self._changed)
        self._changed.clear()
        if not zones:
            return []
        message = ZoneSummaries(tuple(self._summaries[zone] for zone in zones))
        tree = self._trees.acknowledgement_tree(self._me.zone)
        return [
            Send(child.peer_address, message)
            for child in tree.children(self._me.id)
        ]


def _order(summary: ZoneSummary) -> tuple[int, ...]:
    # Two daemons that both take themselves for the root can use the same
    # sequence; then the less favourable summary wins everywhere.
    return (
        summary.incarnation,
        summary.sequence,
        -summary.lowest,
        -summary.members,
        summary.expected,
    )
