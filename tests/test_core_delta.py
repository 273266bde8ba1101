"""Tests of deltas, trees and reverts as pure functions."""

from __future__ import annotations

import random
import tracemalloc
from typing import TYPE_CHECKING
import zlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from gypsumhall.core import _delta
from gypsumhall.core import _model
from gypsumhall.core import _tree
from gypsumhall.core._reverts import RevertSet
from gypsumhall.core._snapshot import CorruptUpdateError
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.errors import InvalidUpdateError
from gypsumhall.net._messages import PackedUpdate
from gypsumhall.net._messages import Revert
from gypsumhall.net._messages import Update
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeTable

if TYPE_CHECKING:
    from collections.abc import Callable

NAMES = st.sampled_from(('bath', 'spa', 'steam', 'tub'))


@st.composite
def _snapshots(draw: st.DrawFn, version: int) -> Snapshot:
    fragments = []
    for name in sorted(draw(st.sets(NAMES))):
        routes = draw(
            st.dictionaries(
                st.sampled_from('abcd'),
                # The default written out or left out: equal values with
                # different encodings.
                st.sampled_from(({}, {'timeout_s': float('10')})),
                max_size=4,
            )
        )
        services = [builders.build_service(f'{name}-service')]
        fragments.append(
            _model.Fragment(
                name,
                tuple(services),
                tuple(
                    _model.Route(
                        key, name, f'/{key}', services[0].name, **value
                    )
                    # A patch cannot express unsorted entries.
                    for key, value in draw(
                        st.permutations(list(routes.items()))
                    )
                ),
                (builders.build_move(f'{name}/m', services[0].name),)
                if draw(st.booleans())
                else (),
            )
        )
    moves = [
        _model.Move(spec, _model.MoveState.ACTIVE, 1, 0.05, 0.0, 0.0)
        for fragment in fragments
        for spec in fragment.moves
    ]
    head = msgspec.structs.replace(
        builders.build_head(fragments, version, moves),
        submissions=draw(st.dictionaries(NAMES, st.integers(0, 3))),
        current={
            f'{item.department}-service': 'v2'
            for item in fragments
            if draw(st.booleans())
        },
    )
    return Snapshot.build(head, fragments)


@settings(deadline=None, derandomize=True)
@given(_snapshots(1), _snapshots(2), st.integers(1, 400))
def test_an_encoded_delta_results_in_its_target(
    old: Snapshot, new: Snapshot, limit: int
) -> None:
    base = _delta.Base.of(old)
    for update in (
        _delta.diff(base, _delta.Base.of(new)),
        _delta.full_update(_delta.Base.of(new)),
    ):
        sent = [
            _delta.unpack(
                msgspec.msgpack.decode(
                    _model.encode(_delta.pack(part)), type=_delta.Part
                )
            )
            for part in _delta.split(update, limit)
        ]
        assert [part.more for part in sent] == [True] * (len(sent) - 1) + [
            False
        ]
        result = old.advance(*_delta.resolve(_delta.join(sent), base))
        assert result.digest == new.digest
        assert _model.encode(dict(result.fragments)) == _model.encode(
            dict(new.fragments)
        )
        if len(sent) > 1:
            with pytest.raises(CorruptUpdateError, match='last part'):
                _delta.join(sent[:-1])


def _build_large_update() -> Update:
    fragment = builders.build_fragment(
        routes=[
            builders.build_route(f'r{index:03}', path=f'/{index}')
            for index in range(500)
        ]
    )
    snapshot = Snapshot.build(builders.build_head([fragment]), [fragment])
    return _delta.full_update(_delta.Base.of(snapshot))


def test_large_update_is_compressed() -> None:
    """Uncompressed updates filled slow links."""
    update = _build_large_update()
    part = _delta.pack(update)
    assert isinstance(part, PackedUpdate)
    assert len(_model.encode(part)) < len(_model.encode(update)) / 5
    assert _delta.unpack(part) == update


@pytest.mark.parametrize(
    'damage',
    [
        lambda data: data[:-1],
        lambda data: data + b'x',
        lambda data: data[:50] + bytes([data[50] ^ 1]) + data[51:],
        lambda data: b'',
        lambda data: zlib.compress(b'no update'),
        lambda data: zlib.compress(bytes(_delta.MAX_UNPACKED_BYTES + 1)),
        lambda data: zlib.compress(bytes(300_000_000)),
    ],
    ids=['cut', 'longer', 'changed', 'empty', 'other', 'large', 'huge'],
)
def test_damaged_or_oversized_compressed_update_is_corrupt(
    damage: Callable[[bytes], bytes],
) -> None:
    """A few compressed bytes could take all memory of a daemon."""
    part = _delta.pack(_build_large_update())
    assert isinstance(part, PackedUpdate)
    damaged = msgspec.structs.replace(part, data=damage(part.data))
    tracemalloc.start()
    try:
        with pytest.raises(CorruptUpdateError):
            _delta.unpack(damaged)
        assert tracemalloc.get_traced_memory()[1] < 8 * 1024 * 1024
    finally:
        tracemalloc.stop()


def test_a_delta_is_small_and_bound_to_its_base() -> None:
    routes = [
        builders.build_route(f'r{index:03}', path=f'/{index}')
        for index in range(500)
    ]
    old = builders.build_fragment(routes=routes)
    routes[250] = msgspec.structs.replace(routes[250], timeout_s=3.0)
    new = builders.build_fragment(routes=routes)
    one = Snapshot.build(builders.build_head([old], 1), [old])
    two = Snapshot.build(builders.build_head([new], 2), [new])
    update = _delta.diff(_delta.Base.of(one), _delta.Base.of(two))
    assert len(_model.encode(update)) < 500 < len(_model.encode(new))
    other = Snapshot.build(
        builders.build_head([old], 1, current={'availability': 'v1'}), [old]
    )
    with pytest.raises(CorruptUpdateError, match='which is not available'):
        _delta.resolve(update, _delta.Base.of(other))
    forged = msgspec.structs.replace(update, base_digest=other.digest)
    with pytest.raises(CorruptUpdateError, match='results in digest'):
        _delta.resolve(forged, _delta.Base.of(other))


@pytest.mark.parametrize(
    ('changed', 'message'),
    [
        # Removes the service that a route of another department uses.
        ({'bath': ([], [])}, "points at service 'bookings'"),
        ({'steam': (['bookings'], [])}, "'bookings' twice"),
        ({'steam': (['heat'], ['/search'])}, 'two routes'),
    ],
)
def test_references_between_departments_are_checked_in_deltas(
    changed: dict[str, tuple[list[str], list[str]]], message: str
) -> None:
    def fragment(
        name: str, services: list[str], paths: list[str], target: str
    ) -> _model.Fragment:
        return builders.build_fragment(
            name,
            [builders.build_service(item) for item in services],
            [builders.build_route(service=target, path=p) for p in paths],
        )

    installed = {
        'bath': fragment('bath', ['bookings'], [], ''),
        'spa': fragment('spa', [], ['/search'], 'bookings'),
        'steam': fragment('steam', ['heat'], [], ''),
    }
    base = Snapshot.build(
        builders.build_head(installed.values()), installed.values()
    )
    new = {
        name: fragment(name, *content, 'heat')
        for name, content in changed.items()
    }
    head = builders.build_head({**installed, **new}.values(), 2)
    with pytest.raises(InvalidUpdateError, match=message):
        base.advance(head, new.values())


@pytest.mark.parametrize('size', [1, 2, 9, 10, 74, 300])
def test_every_member_has_one_path_from_the_root(size: int) -> None:
    members = [builders.build_member(index) for index in range(size)]
    trees = _tree.TreeCache(FakeTable(members))
    root = members[size // 2].id
    tree = trees.get('az-1', root)
    assert tree is trees.get('az-1', root)
    assert tree.root == members[size // 2]
    reached = [root]
    for parent in reached:
        child_members = tree.children(parent)
        assert len(child_members) <= _tree.FAN_OUT
        for child in child_members:
            assert tree.parent(child.id).id == parent
            reached.append(child.id)
    assert sorted(reached) == sorted(item.id for item in members)
    # Positions do not depend on the order of the member table.
    shuffled = random.Random(1).sample(members, size)
    assert _tree.order_members(root, shuffled) == _tree.order_members(
        root, members
    )


def test_a_revert_is_kept_until_a_later_version_removes_its_move() -> None:
    fragment = builders.build_fragment(moves=[builders.build_move()])
    spec = fragment.moves[0]
    move = _model.Move(spec, _model.MoveState.REVERTED, 1, 0.0, 0.0, 0.0)
    plain = builders.build_fragment()
    revert = Revert('spa/move', 'failures', 'd1')

    def snapshot(
        version: int, item: _model.Fragment, *moves: _model.Move
    ) -> Snapshot:
        return Snapshot.build(
            builders.build_head([item], version, moves), [item]
        )

    reverts = RevertSet()
    # The sender has version 3, which contains the move.
    assert reverts.merge([revert], 3, snapshot(1, plain)) == (revert,)
    assert reverts.merge([revert], 3, snapshot(1, plain)) == ()
    for earlier in (
        snapshot(2, plain),
        snapshot(3, fragment, move),
        snapshot(4, plain, move),
        snapshot(5, fragment),
    ):
        assert reverts.prune(earlier) == ()
    assert reverts.digest
    assert reverts.prune(snapshot(6, plain)) == ('spa/move',)
    assert reverts.digest == 0
    # A daemon with an older version must not add it again.
    assert reverts.merge([revert], 5, snapshot(6, plain)) == ()
