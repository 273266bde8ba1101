"""Aggregation of acknowledgements along the tree, and zone summaries."""

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
    from gypsumhall.core._tree import TreeCache

# The first change is sent at once and further changes after this interval,
# so a burst of versions costs at most four messages per second and link.
ACK_INTERVAL_S = 0.25
SUMMARY_INTERVAL_S = 0.5

# Unchanged state is sent again in case a message was lost.
REFRESH_INTERVAL_S = 10.0

# Members of another zone that receive a summary: one of them may have failed.
_CROSS_ZONE_COPIES = 2

# Zones to which a root sends all summaries at each refresh.
_EXCHANGED_ZONES = 3

# Reports are also stored for daemons that are not yet children according to
# this daemon's member table, so their number has to be limited.
_MAX_REPORTS = 64

# Delay after a change of the member table, because changes come in bursts.
_MEMBERS_DELAY_S = 0.5


class AcknowledgementTracker:
    """Tracks the versions installed in a daemon's subtree and in all zones.

    Parameters
    ----------
    me : Member
        Member table entry of this daemon; its id, zone and incarnation are
        used.
    trees : TreeCache
        Trees of all zones.
    rng : random.Random
        Source of randomness.
    """

    __slots__ = (
        '_ack_due',
        '_ack_sent_at',
        '_changed_zones',
        '_last_sent',
        '_me',
        '_refresh_due',
        '_reports',
        '_rng',
        '_summaries',
        '_summary_due',
        '_summary_sent_at',
        '_trees',
        '_version',
    )

    def __init__(
        self, me: Member, trees: TreeCache, rng: random.Random
    ) -> None:
        self._me = me
        self._trees = trees
        self._rng = rng
        self._version = -1
        self._reports: dict[str, Acknowledgement] = {}
        self._summaries: dict[str, ZoneSummary] = {}
        self._changed_zones: set[str] = set()
        self._last_sent: tuple[str, Acknowledgement] | None = None
        self._ack_due = math.inf
        self._ack_sent_at = -math.inf
        self._summary_due = math.inf
        self._summary_sent_at = -math.inf
        self._refresh_due = -math.inf

    @property
    def due(self) -> float:
        """Time in seconds at which `tick` has to be called."""
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
        has not left: members that appear dead may merely be unreachable.
        """
        summaries = [self._summaries.get(zone) for zone in self._trees.zones()]
        return bool(summaries) and all(
            item is not None
            and item.lowest_version >= version
            and item.members >= item.expected
            for item in summaries
        )

    def set_version(self, version: int, now: float) -> None:
        """Set the version that this daemon serves."""
        self._version = version
        self._schedule_report(now)

    def members_changed(self, now: float) -> None:
        """Schedule a check of the tree, whose members may have changed."""
        self._ack_due = min(self._ack_due, now + _MEMBERS_DELAY_S)

    def _schedule_report(self, now: float) -> None:
        self._ack_due = min(
            self._ack_due, max(now, self._ack_sent_at + ACK_INTERVAL_S)
        )

    def receive_report(
        self, sender: str, report: Acknowledgement, now: float
    ) -> None:
        """Store the report of a child."""
        if self._reports.get(sender) == report:
            return
        self._reports.pop(sender, None)
        self._reports[sender] = report
        if len(self._reports) > _MAX_REPORTS:
            del self._reports[next(iter(self._reports))]
        self._schedule_report(now)

    def merge_summaries(
        self, message: ZoneSummaries, address: str, zone: str, now: float
    ) -> list[Send]:
        """Store the summaries that are later than the stored ones.

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
        replies = []
        for item in message.summaries:
            stored = self._summaries.get(item.zone)
            if stored is None or _precedence(stored) < _precedence(item):
                self._summaries[item.zone] = item
                new.append(item)
            elif _precedence(stored) > _precedence(item):
                replies.append(stored)
        # A root that restarted with its clock set back has to continue from
        # its former summaries, which it receives in this reply.
        actions = (
            [Send(address, ZoneSummaries(tuple(replies)))] if replies else []
        )
        if not new:
            return actions
        if any(item.zone == self._me.zone for item in new):
            # A former root's summary, which the current root has to replace.
            self._schedule_report(now)
        # Forward to the own subtree now: when the root forwards the same
        # summaries, they are no longer new here and go no further.
        self._schedule_summaries(now, *(item.zone for item in new))
        root = self._trees.acknowledgement_tree(self._me.zone).root
        if root and root.id != self._me.id and zone != self._me.zone:
            actions.append(Send(root.peer_address, ZoneSummaries(tuple(new))))
        return actions

    def tick(self, now: float) -> list[Send]:
        """Return the messages that are due."""
        if self._version < 0:
            return []
        actions: list[Send] = []
        refresh = now >= self._refresh_due
        if refresh:
            self._refresh_due = now + REFRESH_INTERVAL_S * self._rng.uniform(
                0.8, 1.2
            )
            # Every daemon resends all summaries to its children, which
            # forward only those that are new to them.
            self._schedule_summaries(now, *self._summaries)
        if refresh or now >= self._ack_due:
            self._ack_due = math.inf
            actions += self._report(now, refresh)
        if now >= self._summary_due:
            self._summary_due = math.inf
            self._summary_sent_at = now
            actions += self._forward_summaries()
        return actions

    def _schedule_summaries(self, now: float, *zones: str) -> None:
        self._changed_zones.update(zones)
        self._summary_due = min(
            self._summary_due,
            max(now, self._summary_sent_at + SUMMARY_INTERVAL_S),
        )

    def _report(self, now: float, refresh: bool) -> list[Send]:
        tree = self._trees.acknowledgement_tree(self._me.zone)
        root = tree.root
        parent = tree.parent(self._me.id)
        if root is None or (parent is None and root.id != self._me.id):
            return []  # This daemon is not alive in the member table.
        children = {item.id for item in tree.children(self._me.id)}
        reports = [
            report
            for sender, report in self._reports.items()
            if sender in children
        ]
        lowest_version = min(
            [self._version, *(item.lowest_version for item in reports)]
        )
        members = 1 + sum(item.members for item in reports)
        if parent is None:
            expected = len(self._trees.table.alive(self._me.zone))
            return self._update_summary(
                lowest_version, members, expected, now, refresh
            )
        report = Acknowledgement(root.id, lowest_version, members)
        if self._last_sent == (parent.id, report) and not refresh:
            return []
        self._last_sent = parent.id, report
        self._ack_sent_at = now
        return [Send(parent.peer_address, report)]

    def _update_summary(
        self,
        lowest_version: int,
        members: int,
        expected: int,
        now: float,
        refresh: bool,
    ) -> list[Send]:
        zone = self._me.zone
        stored = self._summaries.get(zone)
        state = (members, expected, lowest_version)
        if (
            stored is not None
            and (stored.members, stored.expected, stored.lowest_version)
            == state
        ):
            return self._exchange_summaries() if refresh else []
        # A new root may have started before the former root, so it continues
        # from the former root's last summary.
        incarnation, sequence = self._me.incarnation, 1
        if stored is not None:
            incarnation = max(incarnation, stored.incarnation)
            if incarnation == stored.incarnation:
                sequence = stored.sequence + 1
        self._summaries[zone] = ZoneSummary(
            zone, incarnation, sequence, *state
        )
        self._ack_sent_at = now
        self._schedule_summaries(now, zone)
        return self._send_own_summary()

    def _send_own_summary(self) -> list[Send]:
        zones = self._trees.other_zones(self._me.zone)
        message = ZoneSummaries((self._summaries[self._me.zone],))
        return self._send_to_zones(zones, message)

    def _exchange_summaries(self) -> list[Send]:
        # Zones that cannot reach each other receive their summaries this way,
        # through a third zone.
        zones = self._trees.other_zones(self._me.zone)
        chosen = self._rng.sample(zones, min(_EXCHANGED_ZONES, len(zones)))
        return self._send_to_zones(
            chosen, ZoneSummaries(tuple(self._summaries.values()))
        )

    def _send_to_zones(
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

    def _forward_summaries(self) -> list[Send]:
        zones = sorted(self._changed_zones)
        self._changed_zones.clear()
        if not zones:
            return []
        message = ZoneSummaries(tuple(self._summaries[zone] for zone in zones))
        tree = self._trees.acknowledgement_tree(self._me.zone)
        return [
            Send(child.peer_address, message)
            for child in tree.children(self._me.id)
        ]


def _precedence(summary: ZoneSummary) -> tuple[int, ...]:
    # Two daemons that both act as the root can use the same sequence; then
    # the less favourable summary wins on all daemons.
    return (
        summary.incarnation,
        summary.sequence,
        -summary.lowest_version,
        -summary.members,
        summary.expected,
    )
