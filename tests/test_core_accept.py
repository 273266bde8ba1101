"""Tests of decisions about submissions and of changes to the head."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gypsumhall.core import _accept
from gypsumhall.core import _model
from gypsumhall.core._model import MoveState
from gypsumhall.core._moves import STAGE_SHARES
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.core._text import read_text

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

_TOKEN = 'secret-token'
_RIVAL = """\
department: rival
services:
  payment:
    versions: [v1]
    depends_on: [bookings]
routes:
  pay: {host: shop.example, path: /pay, service: payment}
"""
_OWN = """\
department: spa
services:
  bookings:
    versions: [v1, v2]
routes:
  book: {host: shop.example, path: /book, service: bookings}
"""
_MOVE = """\
moves:
  up: {service: bookings, from: v1, to: v2, within: 60s}
"""


def _with_versions(versions: str) -> str:
    return _OWN.replace('[v1, v2]', versions)


class _Config:
    """A head and its fragments, changed by submissions and moves."""

    def __init__(self, *texts: str) -> None:
        self.head = _model.Head()
        self.fragments: Mapping[str, _model.Fragment] = {}
        self.now = 1000.0
        self._count = 0
        for text in texts:
            self.accept(text)

    def decide(
        self, text: str, submission_id: str = '', token: str = _TOKEN
    ) -> _accept.Decision:
        self._count += 1
        return _accept.decide_submission(
            self.head,
            self.fragments,
            read_text(text, 't', self.now),
            submission_id or f'submission-{self._count}',
            token,
            self.now,
        )

    def accept(self, text: str) -> None:
        decision = self.decide(text)
        assert isinstance(decision, _accept.Accepted), decision
        self.head = _model.decode_head(_model.encode(decision.head))
        self.fragments = decision.fragments
        # Every daemon checks an accepted configuration once more.
        Snapshot.build(self.head, self.fragments.values())

    def codes(self, text: str, token: str = _TOKEN) -> list[str]:
        """Return the line and code of each finding."""
        decision = self.decide(text, token=token)
        if not isinstance(decision, _accept.Refused):
            return []
        return [
            f'{item.location.line} {item.code}' for item in decision.findings
        ]

    def apply(self, transition: Callable[..., object], *args: object) -> None:
        head = transition(self.head, *args, self.now)
        assert isinstance(head, _model.Head)
        assert head.version == self.head.version + 1
        self.head = head
        Snapshot.build(self.head, self.fragments.values())

    def finish(self, move_id: str) -> None:
        first = self.head.moves[move_id].stage + 1
        for stage in range(first, len(STAGE_SHARES)):
            share = STAGE_SHARES[stage]
            self.apply(_accept.advance_stage, move_id, stage, share)
        self.apply(_accept.start_soak, move_id)
        self.apply(_accept.finish_move, move_id)

    def version_in_use(self, service: str) -> str:
        snapshot = Snapshot.build(self.head, self.fragments.values())
        return snapshot.split(service).old_version


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (_OWN, []),
        (
            _OWN.replace('bookings:', 'payment:'),
            ['2 service-in-use', '3 name-taken', '6 unknown-service'],
        ),
        (
            _OWN
            + '  pay: {host: shop.example, path: /pay/, service: payment}\n',
            ['7 route-taken'],
        ),
        (
            _OWN
            + '  two: {host: shop.example, path: /book, service: bookings}\n',
            ['7 duplicate-route'],
        ),
        (
            _OWN + '  two: {host: x.example, path: /, service: none}\n',
            ['7 unknown-service'],
        ),
        ('department: spa\n', ['1 service-in-use']),
        (
            _with_versions('[v1, v2]\n    depends_on: [none]'),
            ['5 missing-dependency'],
        ),
        (
            _with_versions('[v1, v2]\n    depends_on: [payment]'),
            ['5 dependency-cycle'],
        ),
        (
            _with_versions('[v1]\n    depends_on: [bookings]'),
            ['5 dependency-cycle'],
        ),
        (_with_versions('[v2]'), ['4 version-in-use']),
        (_with_versions('[v2, v1]'), ['4 current-changed']),
        (_with_versions('[v1, v2]\n    current: v2'), ['5 current-changed']),
        (_OWN + _MOVE, []),
        (
            _OWN + _MOVE.replace('v1', 'v0'),
            ['8 unknown-version', '8 not-current'],
        ),
        (_OWN + _MOVE.replace('bookings', 'payment'), ['8 name-taken']),
        (_OWN + _MOVE.replace('bookings', 'none'), ['8 unknown-service']),
        (_OWN + _MOVE.replace('60s', '16s'), ['8 deadline-too-close']),
        (
            _OWN
            + _MOVE.replace('within: 60s', 'deadline: 1970-01-01T00:00:00Z'),
            ['8 deadline-past'],
        ),
        (_OWN + _MOVE + _MOVE[7:].replace('up', 'on'), ['9 two-moves']),
        # Faults of the text and of its references are reported together.
        (
            _OWN.replace('/book', 'book') + _MOVE.replace('v1', 'v0'),
            ['6 bad-path', '8 unknown-version', '8 not-current'],
        ),
        # A faulty service is not also reported as missing.
        (
            _OWN.replace('versions: [v1, v2]', 'version: [v1]'),
            ['4 unknown-key', '4 missing-key'],
        ),
    ],
)
def test_text_is_checked_against_all_departments(
    text: str, expected: list[str]
) -> None:
    config = _Config(_OWN, _RIVAL)
    before = config.head
    assert config.codes(text) == expected
    assert config.head is before


def test_token_of_the_first_submission_is_required() -> None:
    config = _Config(_OWN)
    assert config.codes(_OWN, 'another-token') == ['1 wrong-token']
    assert config.codes('department: new', 'short') == ['1 wrong-token']
    assert config.codes(_OWN) == []


def test_submission_id_is_accepted_once_and_for_one_text() -> None:
    config = _Config(_OWN)
    repeated = config.decide(_OWN, 'submission-1')
    assert repeated == _accept.AlreadyAccepted(1)
    for text, token in ((_OWN + '#', _TOKEN), (_OWN, 'other-token')):
        refused = config.decide(text, 'submission-1', token)
        assert isinstance(refused, _accept.Refused)
        assert refused.findings[0].code == 'submission-reused'


def test_outcome_is_unknown_for_ids_older_than_the_record() -> None:
    """Guards against a submission that is accepted twice or falsely refused.

    The head drops the oldest ids, so a missing id does not prove that its
    submission was not accepted.
    """
    config = _Config()
    for _ in range(_accept.MAX_RECORDED_SUBMISSIONS + 3):
        config.accept('department: spa')
    assert len(config.head.submissions) == _accept.MAX_RECORDED_SUBMISSIONS
    assert min(config.head.submissions.values()) == 4
    assert len(_model.encode(config.head.submissions)) < 60 * 1024
    for base, expired in ((0, True), (2, True), (3, False), (1000, False)):
        decision = config.decide('department: spa', f'{base}.0123456789abcdef')
        assert isinstance(decision, _accept.OutcomeUnknown) is expired


def test_a_resubmitted_move_keeps_its_progress() -> None:
    config = _Config(_OWN, _OWN + _MOVE)
    move = config.head.moves['spa/up']
    assert (move.stage, move.share, move.started) == (0, 0.01, 1000.0)
    config.apply(_accept.advance_stage, 'spa/up', 1, 0.05)
    config.apply(_accept.advance_stage, 'spa/up', 2, 0.2)
    config.now += 20
    # In the same text, submitted later, "within" is still relative to the
    # first acceptance.
    config.accept(_OWN + _MOVE)
    move = config.head.moves['spa/up']
    assert (move.stage, move.spec.deadline) == (2, 1060.0)
    assert config.codes(_OWN) == ['1 move-active']
    changed = _MOVE.replace('60s', '90s')
    assert config.codes(_OWN + changed) == ['8 move-active']
    config.apply(_accept.revert_moves, {'spa/up': 'x' * 1000})
    assert len(config.head.moves['spa/up'].reason) == 120
    assert config.version_in_use('bookings') == 'v1'
    assert config.codes(_OWN + changed) == ['8 move-ended']
    config.accept(_OWN + _MOVE)
    assert config.head.moves['spa/up'].state is MoveState.REVERTED
    # The service can be moved again by a move with another name.
    two_moves = _MOVE + _MOVE[7:].replace('up', 'again')
    config.accept(_OWN + two_moves)
    assert config.head.moves['spa/again'].state is MoveState.ACTIVE


def test_later_texts_keep_the_version_in_use() -> None:
    config = _Config(_OWN + _MOVE, _RIVAL)
    config.finish('spa/up')
    assert config.head.current == {'bookings': 'v2'}
    # The text unchanged, without the move, with a further version, with v2 as
    # current version, and without v1: calls go to v2 after each of them.
    with_current = _with_versions('[v1, v2]\n    current: v2')
    for text, override in (
        (_OWN + _MOVE, True),
        (_OWN, True),
        (_with_versions('[v1, v2, v3]'), True),
        (with_current, False),
        (_with_versions('[v2]'), False),
    ):
        config.accept(text)
        assert ('bookings' in config.head.current) is override
        assert config.version_in_use('bookings') == 'v2'
    assert config.codes(_with_versions('[v1]')) == ['4 version-in-use']
    assert config.codes(_OWN) == ['4 current-changed']
    # A move in the other direction restores the old version.
    back = 'moves:\n  back: {service: bookings, from: v2, to: v1, within: 1m}'
    config.accept(with_current + back)
    config.finish('spa/back')
    assert config.version_in_use('bookings') == 'v1'


def test_ended_moves_are_removed_after_the_retention_time() -> None:
    config = _Config(_OWN + _MOVE)
    config.finish('spa/up')
    config.now += _accept.ENDED_MOVE_RETENTION_S
    config.accept(_OWN + _MOVE)
    assert 'spa/up' in config.head.moves
    config.accept(_OWN)
    assert 'spa/up' not in config.head.moves
    assert config.version_in_use('bookings') == 'v2'


def test_the_soak_keeps_calls_on_the_old_version() -> None:
    # Guards against a share of 1 during the soak: a version that becomes
    # faulty then has no calls to the old version to be compared with, so
    # there is no evidence.
    config = _Config(_OWN + _MOVE)
    for stage, share in enumerate(STAGE_SHARES[1:], 1):
        assert _accept.start_soak(config.head, 'spa/up', 0.0) is None
        config.apply(_accept.advance_stage, 'spa/up', stage, share)
    config.apply(_accept.start_soak, 'spa/up')
    move = config.head.moves['spa/up']
    assert (move.state, move.share) == (MoveState.SOAKING, 0.9)
    assert config.version_in_use('bookings') == 'v1'
    config.apply(_accept.finish_move, 'spa/up')
    move = config.head.moves['spa/up']
    assert (move.state, move.share) == (MoveState.DONE, 1.0)
    assert config.head.current == {'bookings': 'v2'}


def test_final_states_never_change() -> None:
    for end in (MoveState.DONE, MoveState.REVERTED):
        config = _Config(_OWN + _MOVE)
        initial = config.head
        assert _accept.start_soak(initial, 'spa/up', 0.0) is None
        assert _accept.finish_move(initial, 'spa/up', 0.0) is None
        assert _accept.advance_stage(initial, 'spa/up', 0, 0.5, 0.0) is None
        assert _accept.advance_stage(initial, 'spa/up', 1, 0.01, 0.0) is None
        assert _accept.advance_stage(initial, 'spa/up', 2, 0.2, 0.0) is None
        if end is MoveState.DONE:
            config.finish('spa/up')
        else:
            config.apply(_accept.revert_moves, {'spa/up': 'bad', 'x/y': ''})
        head = config.head
        assert head.moves['spa/up'].state is end
        for move_id in ('spa/up', 'spa/none'):
            assert _accept.advance_stage(head, move_id, 4, 1.0, 0.0) is None
            assert _accept.start_soak(head, move_id, 0.0) is None
            assert _accept.finish_move(head, move_id, 0.0) is None
            assert _accept.revert_moves(head, {move_id: 'x'}, 0.0) is None


def test_oversized_heads_and_fragments_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config = _Config(_OWN)
    size = len(_model.encode(config.head))
    monkeypatch.setattr(_accept, 'MAX_HEAD_BYTES', size + 100)
    assert config.codes(_OWN) == []
    assert config.codes(_OWN + _MOVE) == ['1 too-large']
    monkeypatch.setattr(_accept, 'MAX_FRAGMENT_BYTES', 10)
    assert config.codes(_OWN) == ['1 too-large']


_TENANTS = 'department: t\ntenants:\n  one:\n    keys: [key-number-1]\n'


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (_OWN + 'tenants:\n  two:\n    keys: [key-number-2]\n', []),
        (
            _OWN + 'tenants:\n  one:\n    keys: [key-number-2]\n',
            ['8 name-taken'],
        ),
        (
            _OWN + 'tenants:\n  two:\n    keys: [key-number-1]\n',
            ['9 key-taken'],
        ),
        (
            _TENANTS + '  two:\n    keys: [key-number-3, key-number-1]\n',
            ['6 key-taken'],
        ),
        (_TENANTS.replace('number-1', 'number-2'), []),
    ],
)
def test_tenants_and_keys_are_unique_over_all_departments(
    text: str, expected: list[str]
) -> None:
    """Guards against a key that stands for two tenants."""
    assert _Config(_TENANTS).codes(text) == expected
