"""Records of rollouts, merged from the store and from peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from gypsumhall.core._model import MoveState

if TYPE_CHECKING:
    from gypsumhall.net._messages import RolloutRecord

MAX_VERSIONS = 4
"""Versions of a service whose records are kept. The records of earlier
versions identify their orders in a store that was restored from a copy. The
limit bounds the messages, in which the controller sends all records."""


class RolloutRecords:
    """The newest known record of each version of each service.

    A restored store may contain an order that a later one had replaced, and
    the operator writes lost orders again. Both are recognised as orders that
    are known already, so that no rollout runs twice.
    """

    __slots__ = ('_by_service',)

    def __init__(self) -> None:
        self._by_service: dict[str, dict[str, RolloutRecord]] = {}

    def __bool__(self) -> bool:
        """Whether there is a record."""
        return bool(self._by_service)

    def get(self, service: str) -> RolloutRecord | None:
        """Return the record of a service's newest order; None without one."""
        records = self._by_service.get(service)
        if not records:
            return None
        return max(records.values(), key=lambda item: item.order)

    def all(self) -> tuple[RolloutRecord, ...]:
        """Return the records of all versions, newest orders last."""
        return tuple(
            sorted(
                (
                    record
                    for records in self._by_service.values()
                    for record in records.values()
                ),
                key=lambda item: item.order,
            )
        )

    def merge(self, record: RolloutRecord) -> bool:
        """Merge a record; return whether any record changed."""
        records = self._by_service.setdefault(record.service, {})
        known = records.get(record.version)
        merged = record if known is None else self._merge(known, record)
        if merged == known:
            return False
        records[record.version] = merged
        if len(records) > MAX_VERSIONS:
            oldest = min(records.values(), key=lambda item: item.order)
            del records[oldest.version]
        return True

    def _merge(
        self, known: RolloutRecord, other: RolloutRecord
    ) -> RolloutRecord:
        if known.order == other.order:
            return _merge_progress(known, other)
        first, second = sorted((known, other), key=lambda item: item.order)
        if not self._is_repeated(first, second):
            replaces = max(second.replaces, first.newest)
            return msgspec.structs.replace(second, replaces=replaces)
        repeated = max(first.newest, second.newest)
        return msgspec.structs.replace(first, repeated=repeated)

    def _is_repeated(
        self, record: RolloutRecord, later: RolloutRecord
    ) -> bool:
        """Whether a later record of a version is of the same order.

        An order for a version that has all calls needs no rollout. Its record
        takes precedence over `replaces`, which another daemon may have set
        without the records of earlier versions.
        """
        current = self.get(record.service)
        if current == record and record.state == MoveState.DONE:
            return True
        if later.replaces >= record.order:
            return False
        revision = later.order
        if revision <= record.newest:
            return True
        if revision.era == record.newest.era:
            return False
        return (
            current is None
            or current.version == record.version
            # The restored copy contains the write.
            or revision.number == record.newest.number
        )


def _merge_progress(one: RolloutRecord, other: RolloutRecord) -> RolloutRecord:
    ahead, behind = one, other
    if _progress(behind) > _progress(ahead):
        ahead, behind = behind, ahead
    stored_era = ahead.stored_era
    if _progress(ahead) == _progress(behind):
        stored_era = max(stored_era, behind.stored_era)
    return msgspec.structs.replace(
        ahead,
        replaces=max(ahead.replaces, behind.replaces),
        repeated=max(ahead.repeated, behind.repeated),
        stored_era=stored_era,
    )


def _progress(record: RolloutRecord) -> tuple[bool, int, bool, float]:
    """Return the sort key of the records of one order.

    A verdict is final: a controller that did not know of it must not resume
    the rollout. Of two verdicts at the same step, the rollback is safer.
    """
    return (
        record.state.final,
        record.step,
        record.state == MoveState.REVERTED,
        -record.share,
    )
