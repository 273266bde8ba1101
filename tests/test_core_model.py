"""Tests of the encoding of configuration values."""

from __future__ import annotations

from typing import Any

import hypothesis
from hypothesis import strategies as st
import pytest

from gypsumhall.core import _model
from gypsumhall.testing import builders

_NUMBERS = st.one_of(
    st.sampled_from([10, 10.0, 0, -0.0, 2.5]),
    st.integers(0, 10**6),
    st.floats(0, 1e12),
)
_METHODS = st.lists(st.sampled_from(['GET', 'HEAD', 'OPTIONS', 'PUT']))


def _copy(value: Any) -> Any:
    """Return an equal object that is not identical, if possible."""
    if isinstance(value, tuple):
        return tuple(list(value))
    return float(repr(value)) if isinstance(value, float) else value


@hypothesis.given(
    number=_NUMBERS,
    methods=st.one_of(_METHODS, st.just(['GET', 'HEAD', 'OPTIONS'])),
)
def test_equal_routes_have_equal_encodings(
    number: float, methods: list[str]
) -> None:
    # Guards against different digests of equal configurations: the encoder
    # omits defaults, which it recognizes by identity.
    arguments = ('consult', 'plans.example', '/plans', 'plans')
    routes = [
        _model.Route(*arguments, number, tuple(methods)),
        _model.Route(*arguments, _copy(number), _copy(tuple(methods))),
        _model.Route(*arguments, float(number), tuple(list(methods))),
    ]
    fragments = [_model.Fragment('d', routes=(route,)) for route in routes]
    data = {_model.encode(fragment) for fragment in fragments}
    assert len(data) == 1
    decoded = _model.decode_fragment(data.pop())
    assert decoded == fragments[0]
    assert _model.encode(decoded) == _model.encode(fragments[0])


def test_a_route_with_defaults_has_one_encoding() -> None:
    arguments = ('consult', 'plans.example', '/plans', 'plans')
    expected = _model.encode(_model.Route(*arguments))
    methods = tuple(['GET', 'HEAD', 'OPTIONS'])
    for timeout in (float('10'), 10, 20 / 2):
        assert (
            _model.encode(_model.Route(*arguments, timeout, methods))
            == expected
        )
    assert b'timeout_s' not in expected


@pytest.mark.parametrize('number', [0, 1, 5])
def test_equal_moves_have_equal_encodings(number: int) -> None:
    encodings = {
        _model.encode(
            _model.Move(
                _model.MoveSpec('d/m', 's', 'v1', 'v2', value, value),
                _model.MoveState.ACTIVE,
                0,
                value,
                value,
                value,
            )
        )
        for value in (number, float(number), number - 0.0)
    }
    assert len(encodings) == 1
    head = builders.build_head([builders.build_fragment()], 1)
    assert _model.encode(_model.decode_head(_model.encode(head))) == (
        _model.encode(head)
    )
