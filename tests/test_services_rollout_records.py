"""Tests of records of rollouts over a restore of the store."""

from __future__ import annotations

from gypsumhall.core._model import MoveState
from gypsumhall.core._revision import Revision
from gypsumhall.net._messages import RolloutRecord
from gypsumhall.services._rollout_records import RolloutRecords

_REPLACED_ORDER = RolloutRecord('s', 'v2', Revision(2, 10))
_REPEATED_ORDER = RolloutRecord('s', 'v3', Revision(2, 15))


def _verdict(version: str, order: Revision) -> RolloutRecord:
    return RolloutRecord(
        's', version, order, 6, 1.0, MoveState.DONE, stored_era=1
    )


def test_daemon_without_earlier_records_does_not_undo_a_verdict() -> None:
    """Calls went back to endpoints that were stopped after the rollout."""
    first, second = (
        _verdict('v2', Revision(1, 10)),
        _verdict('v3', Revision(1, 20)),
    )
    # Started after the first rollout, whose record the second has replaced in
    # the store.
    started_late = RolloutRecords()
    for record in (second, _REPLACED_ORDER, _REPEATED_ORDER):
        started_late.merge(record)
    peer = RolloutRecords()
    for record in (first, second, _REPLACED_ORDER, _REPEATED_ORDER):
        peer.merge(record)
    for record in started_late.all():
        peer.merge(record)
    result = peer.get('s')
    assert result is not None
    assert (result.version, result.state) == ('v3', MoveState.DONE)


def test_order_in_the_copy_that_is_written_again_runs_once() -> None:
    """The operator may also write again what the copy contains."""
    records = RolloutRecords()
    for record in (
        _verdict('v3', Revision(1, 12)),
        RolloutRecord('s', 'v3', Revision(2, 12)),
        _REPEATED_ORDER,
    ):
        records.merge(record)
    result = records.get('s')
    assert result is not None
    assert result.state == MoveState.DONE


def test_order_of_a_forgotten_version_does_not_replace_a_later_one() -> None:
    """A restored store may contain an order whose record was dropped."""
    records = RolloutRecords()
    for number in range(1, 6):
        records.merge(_verdict(f'v{number}', Revision(1, number)))
    records.merge(RolloutRecord('s', 'v1', Revision(2, 1)))
    result = records.get('s')
    assert result is not None
    assert (result.version, result.state) == ('v5', MoveState.DONE)
