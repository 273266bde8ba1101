"""Tests of the recognition of nested calls on made-up deployments."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from gypsumhall.core._nested_calls import NestedCallDetector
from gypsumhall.testing.nested_calls import Deployment
from gypsumhall.testing.nested_calls import Kind
from gypsumhall.testing.nested_calls import replay

if TYPE_CHECKING:
    from gypsumhall.testing.nested_calls import Shares

# Time limits as of the users' deployments, and made-up ones: nested calls of
# up to 2 s, and callers whose own limit is shorter than that.
_DEPLOYMENTS = [
    pytest.param(Deployment(Kind('read', 2.0), 0.5), id='500-ms'),
    pytest.param(Deployment(Kind('read', 2.028), 0.525), id='525-ms'),
    pytest.param(Deployment(Kind('read', 1.016), 0.422), id='422-ms'),
    pytest.param(Deployment(Kind('read', 5.0), 2.0), id='2-s'),
    pytest.param(Deployment(Kind('read', 0.4), 0.4), id='as-its-parent'),
]


@pytest.mark.parametrize('deployment', _DEPLOYMENTS)
@pytest.mark.parametrize('utilization', [0.1, 0.5, 0.9])
def test_nested_calls_are_recognized(
    deployment: Deployment, utilization: float
) -> None:
    """Also where their time limit is above 0.5 s."""
    shares = replay(deployment, utilization, Random(1))
    assert shares['nested'] > 0.98


@pytest.mark.parametrize('deployment', _DEPLOYMENTS)
@pytest.mark.parametrize('utilization', [0.1, 0.5])
@pytest.mark.parametrize('timeout_s', [0.2, 0.4, 0.8])
def test_requests_of_callers_are_recognized(
    deployment: Deployment, utilization: float, timeout_s: float
) -> None:
    """Also where their time limit is below 0.5 s."""
    deployment.callers = Kind('ticket', timeout_s)
    shares: Shares = replay(deployment, utilization, Random(1))
    assert shares['ticket'] < 0.05
    assert shares['read'] < 0.05


def test_request_without_a_run_in_progress_is_not_nested() -> None:
    detector = NestedCallDetector(0.0)
    assert not detector.is_nested('check', 10.4, 10.0)
    detector.begin_run('run', 'read', 11.0)
    assert detector.is_nested('check', 10.4, 10.0)
    # No run may last that long.
    assert not detector.is_nested('check', 12.0, 10.0)
    # A run does not call its own route.
    assert not detector.is_nested('read', 10.4, 10.0)
    detector.end_run('run', 10.1, aborted=True)
    # The backend server may not have noticed the end yet.
    assert detector.is_nested('check', 10.5, 10.2)
    assert not detector.is_nested('check', 11.0, 10.7)


def test_response_of_a_run_ends_its_calls() -> None:
    detector = NestedCallDetector(0.0)
    detector.begin_run('run', 'read', 11.0)
    detector.end_run('run', 10.1, aborted=False)
    assert not detector.is_nested('check', 10.5, 10.2)


def test_calls_of_runs_before_a_restart_are_not_counted_as_unexplained() -> (
    None
):
    """Otherwise the route would be one of callers from then on."""
    detector = NestedCallDetector(known_after=10.0)
    for _ in range(100):
        assert not detector.is_nested('check', 5.4, 5.0)
    detector.begin_run('run', 'read', 13.0)
    assert detector.is_nested('check', 12.4, 12.0)
