"""Tests of configuration snapshots."""

from __future__ import annotations

import pytest

from gypsumhall.core import _model
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.errors import InvalidUpdateError
from gypsumhall.errors import MalformedDataError
from gypsumhall.testing import builders


def _move(state: _model.MoveState, share: float) -> _model.Move:
    return _model.Move(builders.build_move(), state, 1, share, 0.0, 0.0)


def test_the_longest_prefix_of_whole_segments_wins() -> None:
    routes = [
        builders.build_route('all', path='/'),
        builders.build_route('deep', path='/plans/cycle'),
        builders.build_route('plans', path='/plans'),
    ]
    fragment = builders.build_fragment(routes=routes)
    snapshot = Snapshot.build(builders.build_head([fragment]), [fragment])
    expected = {
        '/': 'all',
        '/plansother': 'all',
        '/plans': 'plans',
        '/plans/1': 'plans',
        '/plans/cycle/2/': 'deep',
    }
    for path, name in expected.items():
        found = snapshot.match('SPA.example:8080', path)
        assert found is not None
        assert found.route.name == name
    assert snapshot.match('other.example', '/plans') is None


@pytest.mark.parametrize(
    ('fragment', 'message'),
    [
        (
            builders.build_fragment(
                routes=[builders.build_route(service='missing')]
            ),
            "points at service 'missing'",
        ),
        (
            builders.build_fragment(
                services=[builders.build_service(depends_on=('missing',))]
            ),
            "depends on 'missing'",
        ),
    ],
)
def test_dangling_references_are_rejected(
    fragment: _model.Fragment, message: str
) -> None:
    with pytest.raises(InvalidUpdateError, match=message):
        Snapshot.build(builders.build_head([fragment]), [fragment])


def test_a_fragment_with_another_digest_is_rejected() -> None:
    fragment = builders.build_fragment()
    head = builders.build_head([fragment])
    other = builders.build_fragment(routes=[])
    with pytest.raises(InvalidUpdateError, match='digest'):
        Snapshot.build(head, [other])
    with pytest.raises(InvalidUpdateError, match='lacks the fragment'):
        Snapshot.build(head, [])


def test_a_delta_results_in_the_same_snapshot_as_a_full_update() -> None:
    one = builders.build_fragment()
    two = builders.build_fragment('bath', [], [])
    base = Snapshot.build(builders.build_head([one, two]), [one, two])
    changed = builders.build_fragment(
        'bath', [builders.build_service('bookings')], []
    )
    head = builders.build_head([one, changed], version=2)
    result = base.apply(head, 1, [changed])
    full = Snapshot.build(head, [one, changed])
    assert result.digest == full.digest
    assert result.fragments == full.fragments
    with pytest.raises(InvalidUpdateError, match='version 2 is installed'):
        result.apply(head, 1, [changed])


def test_a_delta_without_a_changed_fragment_is_rejected() -> None:
    one = builders.build_fragment()
    base = Snapshot.build(builders.build_head([one]), [one])
    changed = builders.build_fragment(routes=[])
    head = builders.build_head([changed], version=2)
    with pytest.raises(InvalidUpdateError, match='digest'):
        base.apply(head, 1, [])


def test_a_reverted_move_sends_no_calls_to_the_new_version() -> None:
    fragment = builders.build_fragment()
    move = _move(_model.MoveState.ACTIVE, 0.05)
    head = builders.build_head([fragment], moves=[move])
    snapshot = Snapshot.build(head, [fragment])
    split = snapshot.split('availability')
    assert (split.new_version, split.share) == ('v2', 0.05)
    assert snapshot.split('availability', {'spa/move'}).new_version is None


def test_the_version_of_a_finished_move_stays_in_use() -> None:
    fragment = builders.build_fragment()
    done = _move(_model.MoveState.DONE, 1.0)
    head = builders.build_head(
        [fragment], moves=[done], current={'availability': 'v2'}
    )
    snapshot = Snapshot.build(head, [fragment])
    assert snapshot.split('availability').old_version == 'v2'


def test_a_move_to_a_missing_version_is_rejected() -> None:
    fragment = builders.build_fragment(
        services=[builders.build_service(versions=('v1',))]
    )
    move = _move(_model.MoveState.ACTIVE, 0.05)
    head = builders.build_head([fragment], moves=[move])
    with pytest.raises(InvalidUpdateError, match="version 'v2'"):
        Snapshot.build(head, [fragment])


def test_head_and_fragment_survive_encoding() -> None:
    fragment = builders.build_fragment(moves=[builders.build_move()])
    head = builders.build_head([fragment], moves=[_move('active', 0.5)])
    assert _model.decode_head(_model.encode(head)) == head
    assert _model.decode_fragment(_model.encode(fragment)) == fragment
    with pytest.raises(MalformedDataError):
        _model.decode_head(b'\x00nonsense')
