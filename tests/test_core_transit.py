"""Tests of the estimate of delays between two machines."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumhall.core._transit import TransitEstimator
from gypsumhall.core._transit import WINDOW_S

_TRANSIT_S = 0.002


@pytest.mark.parametrize('offset_s', [-1e6, 0.0, 1e6])
def test_delays_do_not_depend_on_the_offset_of_the_clocks(
    offset_s: float,
) -> None:
    estimator = TransitEstimator()
    for index, delay_s in enumerate([0.0, 1.3, 0.0, 0.25]):
        received = 10.0 + index
        sent = received - _TRANSIT_S - delay_s + offset_s
        assert estimator.observe(sent, received) == pytest.approx(delay_s)


def test_drift_of_the_clocks_does_not_add_up() -> None:
    """Guards against calls that are refused after days as too late."""
    estimator = TransitEstimator()
    drift = 100e-6
    for second in range(0, 86_400, 10):
        sent = second * (1 - drift)
        assert estimator.observe(sent, second) <= 2 * WINDOW_S * drift


@given(
    st.lists(
        st.tuples(st.floats(0.0, 100.0), st.floats(0.0, 10.0)), min_size=1
    ),
    st.floats(-1e6, 1e6),
)
def test_delay_is_not_longer_than_the_time_on_the_way(
    messages: list[tuple[float, float]], offset_s: float
) -> None:
    """A longer one would refuse calls that can be served."""
    estimator = TransitEstimator()
    received = 0.0
    for pause_s, way_s in messages:
        received += pause_s
        delay_s = estimator.observe(received - way_s + offset_s, received)
        assert -1e-6 <= delay_s <= way_s + 1e-6
