"""Tests of the decisions about submissions and of the head's transitions."""

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


def _own(versions: str) -> str:
    return _OWN.replace('[v1, v2]', versions)


class _Fleet:
    """The head and the fragments, changed by submissions and moves."""

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
        # What is accepted has to pass the checks of every daemon.
        Snapshot.build(self.head, self.fragments.values())

    def codes(self, text: str, token: str = _TOKEN) -> list[str]:
        """Return line and code of each finding."""
        decision = self.decide(text, token=token)
        if not isinstance(decision, _accept.Refused):
            return []
        return [f'{item.place.line} {item.code}' for item in decision.findings]

    def change(self, transition: Callable[..., object], *args: object) -> None:
        head = transition(self.head, *args, self.now)
        assert isinstance(head, _model.Head)
        assert head.version == self.head.version + 1
        self.head = head
        Snapshot.build(self.head, self.fragments.values())

    def finish(self, move_id: str) -> None:
        first = self.head.moves[move_id].stage + 1
        for stage in range(first, len(STAGE_SHARES)):
            share = STAGE_SHARES[stage]
            self.change(_accept.advance_stage, move_id, stage, share)
        self.change(_accept.start_soak, move_id)
        self.change(_accept.finish_move, move_id)

    def used(self, service: str) -> str:
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
        (_own('[v1, v2]\n    depends_on: [none]'), ['5 missing-dependency']),
        (_own('[v1, v2]\n    depends_on: [payment]'), ['5 dependency-cycle']),
        (_own('[v1]\n    depends_on: [bookings]'), ['5 dependency-cycle']),
        (_own('[v2]'), ['4 version-in-use']),
        (_own('[v2, v1]'), ['4 current-changed']),
        (_own('[v1, v2]\n    current: v2'), ['5 current-changed']),
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
        # Faults of the text and of its relations are reported together.
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
def test_a_text_is_checked_against_all_departments(
    text: str, expected: list[str]
) -> None:
    fleet = _Fleet(_OWN, _RIVAL)
    before = fleet.head
    assert fleet.codes(text) == expected
    assert fleet.head is before


def test_only_the_first_token_of_a_department_is_good() -> None:
    fleet = _Fleet(_OWN)
    assert fleet.codes(_OWN, 'another-token') == ['1 wrong-token']
    assert fleet.codes('department: new', 'short') == ['1 wrong-token']
    assert fleet.codes(_OWN) == []


def test_an_id_is_accepted_once_and_for_one_text() -> None:
    fleet = _Fleet(_OWN)
    again = fleet.decide(_OWN, 'submission-1')
    assert again == _accept.AlreadyAccepted(1)
    for text, token in ((_OWN + '#', _TOKEN), (_OWN, 'other-token')):
        refused = fleet.decide(text, 'submission-1', token)
        assert isinstance(refused, _accept.Refused)
        assert refused.findings[0].code == 'submission-reused'


def test_an_id_older_than_the_record_is_not_decided() -> None:
    """Guards against a second acceptance, or a false refusal."""
    fleet = _Fleet()
    for _ in range(_accept.MAX_RECORDED_SUBMISSIONS + 3):
        fleet.accept('department: spa')
    assert len(fleet.head.submissions) == _accept.MAX_RECORDED_SUBMISSIONS
    assert min(fleet.head.submissions.values()) == 4
    assert len(_model.encode(fleet.head.submissions)) < 60 * 1024
    for base, expired in ((0, True), (2, True), (3, False), (1000, False)):
        decision = fleet.decide('department: spa', f'{base}.0123456789abcdef')
        assert isinstance(decision, _accept.OutcomeUnknown) is expired


def test_a_move_runs_once_and_keeps_its_progress() -> None:
    fleet = _Fleet(_OWN, _OWN + _MOVE)
    move = fleet.head.moves['spa/up']
    assert (move.stage, move.share, move.started) == (0, 0.01, 1000.0)
    fleet.change(_accept.advance_stage, 'spa/up', 1, 0.05)
    fleet.change(_accept.advance_stage, 'spa/up', 2, 0.2)
    fleet.now += 20
    # The same text later: "within" still counts from the first time.
    fleet.accept(_OWN + _MOVE)
    move = fleet.head.moves['spa/up']
    assert (move.stage, move.spec.deadline) == (2, 1060.0)
    assert fleet.codes(_OWN) == ['1 move-active']
    changed = _MOVE.replace('60s', '90s')
    assert fleet.codes(_OWN + changed) == ['8 move-active']
    fleet.change(_accept.revert_moves, {'spa/up': 'x' * 1000})
    assert len(fleet.head.moves['spa/up'].reason) == 120
    assert fleet.used('bookings') == 'v1'
    assert fleet.codes(_OWN + changed) == ['8 move-ended']
    fleet.accept(_OWN + _MOVE)
    assert fleet.head.moves['spa/up'].state is MoveState.REVERTED
    # A new name may move the service again.
    again = _MOVE + _MOVE[7:].replace('up', 'again')
    fleet.accept(_OWN + again)
    assert fleet.head.moves['spa/again'].state is MoveState.ACTIVE


def test_the_version_in_use_stays_consistent_with_later_texts() -> None:
    fleet = _Fleet(_OWN + _MOVE, _RIVAL)
    fleet.finish('spa/up')
    assert fleet.head.current == {'bookings': 'v2'}
    # Unchanged, without the move, with the new version named, with the
    # old version gone: calls go on to v2 through all of them.
    named = _own('[v1, v2]\n    current: v2')
    for text, override in (
        (_OWN + _MOVE, True),
        (_OWN, True),
        (_own('[v1, v2, v3]'), True),
        (named, False),
        (_own('[v2]'), False),
    ):
        fleet.accept(text)
        assert ('bookings' in fleet.head.current) is override
        assert fleet.used('bookings') == 'v2'
    assert fleet.codes(_own('[v1]')) == ['4 version-in-use']
    assert fleet.codes(_OWN) == ['4 current-changed']
    # Back again by a move in the other direction.
    back = 'moves:\n  back: {service: bookings, from: v2, to: v1, within: 1m}'
    fleet.accept(named + back)
    fleet.finish('spa/back')
    assert fleet.used('bookings') == 'v1'


def test_ended_moves_leave_the_head_a_day_later() -> None:
    fleet = _Fleet(_OWN + _MOVE)
    fleet.finish('spa/up')
    fleet.now += _accept.ENDED_MOVE_RETENTION_S
    fleet.accept(_OWN + _MOVE)
    assert 'spa/up' in fleet.head.moves
    fleet.accept(_OWN)
    assert 'spa/up' not in fleet.head.moves
    assert fleet.used('bookings') == 'v2'


def test_the_soak_keeps_calls_on_the_old_version() -> None:
    # At share 1 a version that turns bad during its soak has no old calls
    # to be compared with and gives no evidence.
    fleet = _Fleet(_OWN + _MOVE)
    for stage, share in enumerate(STAGE_SHARES[1:], 1):
        assert _accept.start_soak(fleet.head, 'spa/up', 0.0) is None
        fleet.change(_accept.advance_stage, 'spa/up', stage, share)
    fleet.change(_accept.start_soak, 'spa/up')
    move = fleet.head.moves['spa/up']
    assert (move.state, move.share) == (MoveState.SOAKING, 0.9)
    assert fleet.used('bookings') == 'v1'
    fleet.change(_accept.finish_move, 'spa/up')
    move = fleet.head.moves['spa/up']
    assert (move.state, move.share) == (MoveState.DONE, 1.0)
    assert fleet.head.current == {'bookings': 'v2'}


def test_final_states_are_absorbing() -> None:
    for end in (MoveState.DONE, MoveState.REVERTED):
        fleet = _Fleet(_OWN + _MOVE)
        early = fleet.head
        assert _accept.start_soak(early, 'spa/up', 0.0) is None
        assert _accept.finish_move(early, 'spa/up', 0.0) is None
        assert _accept.advance_stage(early, 'spa/up', 0, 0.5, 0.0) is None
        assert _accept.advance_stage(early, 'spa/up', 1, 0.01, 0.0) is None
        assert _accept.advance_stage(early, 'spa/up', 2, 0.2, 0.0) is None
        if end is MoveState.DONE:
            fleet.finish('spa/up')
        else:
            fleet.change(_accept.revert_moves, {'spa/up': 'bad', 'x/y': ''})
        head = fleet.head
        assert head.moves['spa/up'].state is end
        for move_id in ('spa/up', 'spa/none'):
            assert _accept.advance_stage(head, move_id, 4, 1.0, 0.0) is None
            assert _accept.start_soak(head, move_id, 0.0) is None
            assert _accept.finish_move(head, move_id, 0.0) is None
            assert _accept.revert_moves(head, {move_id: 'x'}, 0.0) is None


def test_what_the_platform_cannot_store_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = _Fleet(_OWN)
    size = len(_model.encode(fleet.head))
    monkeypatch.setattr(_accept, 'MAX_HEAD_BYTES', size + 100)
    assert fleet.codes(_OWN) == []
    assert fleet.codes(_OWN + _MOVE) == ['1 too-large']
    monkeypatch.setattr(_accept, 'MAX_FRAGMENT_BYTES', 10)
    assert fleet.codes(_OWN) == ['1 too-large']
