"""Tests of the collection of evidence by a judge."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gypsumhall.core import _judge
from gypsumhall.core._judge import Judge
from gypsumhall.net._messages import Counts
from gypsumhall.net._messages import Evidence
from gypsumhall.testing.builders import build_counts


def _evidence(interval: int, *counts: Counts, stage: int = 0) -> Evidence:
    return Evidence('spa/move', stage, interval, counts)


_REPORTS = [
    _evidence(
        interval,
        build_counts(version, 20, failures, endpoint=endpoint),
    )
    for interval in range(1, 4)
    for version, endpoint, failures in (
        ('v1', 'o1', 1),
        ('v2', 'n1', 4),
        ('v2', 'n2', 3),
    )
]


@given(
    order=st.permutations(_REPORTS),
    repeated=st.lists(st.sampled_from(_REPORTS), max_size=5),
)
def test_order_and_repetition_of_reports_have_no_effect(
    order: list[Evidence], repeated: list[Evidence]
) -> None:
    expected, judge = Judge('spa/move', 'v2'), Judge('spa/move', 'v2')
    for report in _REPORTS:
        expected.add(report)
    for report in [*order, *repeated]:
        judge.add(report)
    for item in (expected, judge):
        item.close(3)
    assert judge.test.robust_statistic == expected.test.robust_statistic
    assert judge.test.new_calls == expected.test.new_calls == 120


def test_report_for_closed_interval_is_rejected() -> None:
    judge = Judge('spa/move', 'v2')
    judge.close(5)
    assert not judge.add(_evidence(5, build_counts()))
    assert judge.add(_evidence(6, build_counts()))


def test_new_controller_receives_last_minute_of_evidence() -> None:
    judge = Judge('spa/move', 'v2')
    for interval in range(1, 201):
        judge.add(_evidence(interval, build_counts()))
        judge.close(interval)
    retained = judge.since(0)
    assert len(retained) == _judge.RETAINED_INTERVALS
    assert [item.interval for item in judge.since(198)] == [199, 200]


def test_thresholds_are_computed_from_old_version_only() -> None:
    judge = Judge('spa/move', 'v2')
    slow = Counts(
        'spa/search', 'v2', 'n1', 'az-1', 10, 0, 0, (900.0, 950.0, 990.0)
    )
    judge.add(_evidence(1, build_counts('v1', endpoint='o1'), slow))
    judge.close(1)
    (threshold,) = judge.thresholds()
    # The 95th percentile of `build_counts` is 20 ms. The margin of 50 ms above
    # it exceeds three times the percentile.
    assert threshold.threshold_ms == 70.0
    for interval in range(2, 20):
        judge.add(
            _evidence(
                interval,
                Counts('spa/search', 'v1', 'o1', 'az-1', 9, 0, 0, (1, 100, 2)),
            )
        )
        judge.close(interval)
    assert judge.thresholds()[0].threshold_ms == 300.0
