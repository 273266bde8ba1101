"""Tests of the sequential test of a new service version."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from gypsumhall.core import _evidence
from gypsumhall.core._evidence import EvidenceTest
from gypsumhall.core._evidence import FaultKind
from gypsumhall.testing.builders import build_counts

if TYPE_CHECKING:
    from gypsumhall.net._messages import Counts


def _interval(
    old_failures: int,
    new_failures: int,
    *,
    calls: int = 100,
    new_calls: int = 10,
    **fields: str,
) -> list[Counts]:
    return [
        build_counts('v1', calls, old_failures, endpoint='o1', **fields),
        build_counts('v2', new_calls, new_failures, endpoint='n1', **fields),
    ]


@pytest.mark.parametrize('share', [0.01, 0.05, 0.5, 0.9])
@pytest.mark.parametrize('index', range(len(_evidence.ODDS_RATIOS)))
def test_expected_likelihood_ratio_is_one_for_good_version(
    share: float, index: int
) -> None:
    new = _evidence.log_likelihood_ratios(share, 0, 1)[index]
    old = _evidence.log_likelihood_ratios(share, 1, 0)[index]
    expected = share * _evidence.math.exp(new)
    expected += (1 - share) * _evidence.math.exp(old)
    assert expected == pytest.approx(1.0)


def test_verdict_on_failing_version_is_final() -> None:
    test = EvidenceTest('v2')
    for _ in range(20):
        test.observe(0, _interval(0, 5))
    verdict = test.verdict
    assert verdict is not None
    assert verdict.kind is FaultKind.FAILURE
    for _ in range(100):
        test.observe(0, _interval(50, 0))
    assert test.verdict is verdict


def test_fault_on_one_route_is_attributed_to_that_route() -> None:
    test = EvidenceTest('v2')
    while test.verdict is None:
        test.observe(
            0,
            _interval(30, 3, route='spa/search')
            + _interval(0, 5, route='spa/book'),
        )
    assert test.verdict.route == 'spa/book'


def test_short_fault_causes_no_verdict() -> None:
    # A burst of failures within one or two intervals is not a lasting fault.
    test = EvidenceTest('v2')
    test.observe(0, _interval(0, 0, calls=10000, new_calls=100))
    test.observe(0, _interval(0, 100, new_calls=100))
    test.observe(0, _interval(0, 100, new_calls=100))
    assert test.verdict is None


def test_overload_of_both_versions_causes_no_verdict() -> None:
    rng = random.Random(3)
    test = EvidenceTest('v2')
    for _ in range(2000):
        failures = [rng.random() < 0.5 for _ in range(110)]
        test.observe(0, _interval(sum(failures[:100]), sum(failures[100:])))
    assert test.verdict is None


def test_zone_without_calls_to_old_version_causes_no_verdict() -> None:
    # The old version's endpoints of a zone are removed, then the zone fails.
    test = EvidenceTest('v2')
    for _ in range(40):
        test.observe(0, _interval(0, 0))
    for _ in range(200):
        test.observe(0, [build_counts('v2', 50, 40, endpoint='n1')])
    assert test.verdict is None


def test_faulty_vm_causes_no_verdict_with_other_endpoints() -> None:
    test = EvidenceTest('v2')
    for _ in range(200):
        test.observe(
            0,
            [
                *_interval(0, 8),
                build_counts('v2', 10, 0, endpoint='n2'),
            ],
        )
    assert test.verdict is None
    assert not test.suspicious


def test_fault_at_all_endpoints_causes_verdict() -> None:
    test = EvidenceTest('v2')
    for _ in range(40):
        test.observe(
            0,
            [
                *_interval(0, 4),
                build_counts('v2', 10, 4, endpoint='n2'),
            ],
        )
    assert test.verdict is not None


def test_version_that_becomes_bad_late_is_detected_equally_fast() -> None:
    # Without the restart, a long time without faults would offset later ones.
    test = EvidenceTest('v2')
    for _ in range(5000):
        test.observe(0, _interval(1, 0))
    for _ in range(20):
        test.observe(0, _interval(0, 5))
    assert test.verdict is not None


def test_suspicion_and_excess_rate_are_reset_by_new_stage() -> None:
    test = EvidenceTest('v2')
    test.observe(0, _interval(0, 5))
    assert test.suspicious
    assert test.new_calls == 10
    test.observe(1, _interval(0, 0))
    assert test.new_calls == 20
    assert test.excess_rate == 0
    assert not test.suspicious


def _cross_zone_calls(
    new_zones: dict[str, int], old_failures: int = 0
) -> EvidenceTest:
    """Return a test in which all calls to the new version cross zones.

    Parameters
    ----------
    new_zones : dict of str to int
        Failures among the 10 calls of each interval, by endpoint zone.
    old_failures : int
        Failures among the 10 calls to the old version in each zone.
    """
    test = EvidenceTest('v2')
    for _ in range(5):
        counts = []
        for zone, failures in new_zones.items():
            old = build_counts(
                'v1', 10, old_failures, endpoint=f'o-{zone}', zone=zone
            )
            new = build_counts(
                'v2', 10, failures, endpoint=f'n-{zone}', zone=zone
            )
            crossing = msgspec.structs.replace(new, sender_zone='other')
            counts += [old, crossing]
        test.observe(4, counts)
    return test


@pytest.mark.parametrize(
    ('new_zones', 'old_failures', 'suspicious'),
    [
        ({'az-1': 10, 'az-2': 10}, 0, True),
        # A fault of a zone, a faulty VM and a fault of both versions.
        ({'az-1': 10, 'az-2': 0}, 0, False),
        ({'az-1': 5, 'az-2': 5}, 5, False),
        ({'az-1': 1, 'az-2': 0}, 0, False),
    ],
)
def test_failing_version_is_suspicious_if_all_calls_cross_zones(
    new_zones: dict[str, int], old_failures: int, suspicious: bool
) -> None:
    # If senders eject the failing endpoints of their zone, no group has calls
    # to both versions, and the statistic remains near zero.
    test = _cross_zone_calls(new_zones, old_failures)
    assert test.robust_statistic < 1.0
    assert test.suspicious is suspicious


@pytest.mark.parametrize(
    ('failures', 'old_failures', 'fails'),
    [
        ((3, 3), (0, 0), True),
        # A faulty VM or zone of the new version, with random failures.
        ((3, 2), (0, 0), False),
        ((3, 0), (0, 0), False),
        # A fault of a zone and a fault of both versions.
        ((3, 0), (60, 0), False),
        ((3, 3), (60, 60), False),
    ],
)
def test_small_sample_test_fails_only_if_both_zones_have_failures(
    failures: tuple[int, int],
    old_failures: tuple[int, int],
    fails: bool,
) -> None:
    # At 2 % of 27 calls/s the sequential test needed more calls than a bad
    # version may get. A single failure domain must not decide.
    test = EvidenceTest('v2')
    for zone, new, old in zip(
        ('az-1', 'az-2'), failures, old_failures, strict=True
    ):
        test.observe(
            1,
            [
                build_counts('v1', 120, old, endpoint=f'o-{zone}', zone=zone),
                build_counts('v2', 3, new, endpoint=f'n-{zone}', zone=zone),
            ],
        )
    assert test.verdict is None
    assert test.fails_small_sample_test() is fails


def test_small_sample_test_passes_with_a_single_endpoint() -> None:
    # With a single endpoint, a faulty VM looks like a bad version.
    test = EvidenceTest('v2')
    test.observe(0, _interval(0, 6, calls=300, new_calls=6))
    assert not test.fails_small_sample_test()


def test_small_sample_test_compares_within_zones() -> None:
    # The new version's only zone fails; the old one also has a healthy zone.
    test = EvidenceTest('v2')
    test.observe(
        0,
        [
            build_counts('v1', 1000, 0, endpoint='o2', zone='az-2'),
            build_counts('v1', 100, 50, endpoint='o1'),
            build_counts('v2', 10, 6, endpoint='n1'),
            build_counts('v2', 10, 5, endpoint='n2'),
        ],
    )
    assert not test.fails_small_sample_test()
