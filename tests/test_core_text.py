"""Tests of reading an operator's configuration text."""

from __future__ import annotations

import datetime

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from gypsumhall.core import _model
from gypsumhall.core import _text
from gypsumhall.errors import InvalidTextError

_VALID = """\
department: semaforizacion
services:
  plan-consultation:
    versions: [1.10, v2]
    current: v2
    depends_on: [controller-state, archive]
routes:
  consult:
    host: Plans.example
    path: /plans/
    service: plan-consultation
    timeout: 1500ms
    idempotent_methods: [HEAD, GET]
moves:
  consult-v2:
    service: plan-consultation
    from: v2
    to: 1.10
    deadline: 2026-12-05T07:00:00+01:00
  later: {service: plan-consultation, from: v2, to: v3, within: 90s, soak: 2m}
"""
_SERVICE = 'department: a\nservices:\n  s:\n    versions: [v1]\n'
_ROUTE = 'department: a\nroutes:\n  r:\n    host: h.x\n    path: /\n'
_MOVE = 'department: a\nmoves:\n  m: {service: s, from: v1, '


def test_valid_text_is_read_into_a_fragment() -> None:
    parsed = _text.parse_text(_VALID, 'plans.yaml', 1000.0)
    deadline = datetime.datetime(2026, 12, 5, 6, tzinfo=datetime.UTC)
    service = 'plan-consultation'
    assert parsed.fragment == _model.Fragment(
        'semaforizacion',
        (
            _model.Service(
                service, ('1.10', 'v2'), 'v2', ('archive', 'controller-state')
            ),
        ),
        (
            _model.Route(
                'consult',
                'plans.example',
                '/plans',
                service,
                1.5,
                ('GET', 'HEAD'),
            ),
        ),
        (
            _model.MoveSpec(
                'semaforizacion/consult-v2',
                service,
                'v2',
                '1.10',
                deadline.timestamp(),
            ),
            _model.MoveSpec(
                'semaforizacion/later', service, 'v2', 'v3', 1090.0, 120.0
            ),
        ),
    )
    assert parsed.within == {'semaforizacion/later': 90.0}
    location = parsed.location('services', service, 'depends_on', 'archive')
    assert str(location) == 'plans.yaml:6:36'


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        # YAML
        ('', '1:1 empty'),
        ('# only a comment', '1:1 empty'),
        ('a: b: c', '1:5 syntax'),
        ('a:\n\t- b', '2:1 syntax'),
        ('department: a\nx: "\x00"', '2:5 syntax'),
        ('a: "\ud800"', '1:5 syntax'),
        ('a: "\\UFFFFFFFF"', '1:1 syntax'),
        ('department: a\n---\ndepartment: b', '2:1 syntax'),
        ('a: &x [b]\nc: *x', '1:4 alias'),
        ('a: [b, *x]', '1:8 alias'),
        ('a: !!python/object:os.system b', '1:4 tag'),
        ('[' * 100_000, '1:17 too-deep'),
        ('- ' * 100_000, '1:33 too-deep'),
        ('# ' + 'x' * _text.MAX_TEXT_BYTES, '1:1 too-large'),
        # Structure
        ('just words', '1:1 wrong-type'),
        ('[department]', '1:1 wrong-type'),
        ('services: {}', '1:1 missing-key'),
        ('department: a\nroute: {}', '2:1 unknown-key'),
        ('department: a\ndepartment: b', '2:1 duplicate-key'),
        ('department: [a]', '1:13 wrong-type'),
        ('department:', '1:12 wrong-type'),
        ('department: a\nservices: [s]', '2:11 wrong-type'),
        ('department: a\nroutes:\nmoves:\nroutes:', '4:1 duplicate-key'),
        ('department: a\nservices:\n  ? [s]\n  : x', '3:5 wrong-type'),
        ('department: a\nservices:\n  s: v1', '3:6 wrong-type'),
        ('department: a\nservices:\n  s: {}', '3:6 missing-key'),
        # Names and versions
        ('department: Traffic', '1:13 bad-name'),
        ('department: ' + 'a' * 64, '1:13 bad-name'),
        ('department: a\nservices:\n  a/b: {versions: [v]}', '3:3 bad-name'),
        ('department: a\nservices:\n  a-: {versions: [v]}', '3:3 bad-name'),
        (_SERVICE.replace('v1', 'v/1'), '4:16 bad-version'),
        (_SERVICE.replace('v1', ''), '4:15 no-versions'),
        (_SERVICE.replace('[v1]', 'v1'), '4:15 wrong-type'),
        (_SERVICE.replace('v1', 'v1, v1'), '4:20 duplicate-item'),
        (_SERVICE + '    current: v2', '5:14 unknown-version'),
        (_SERVICE + '    depends_on: [B]', '5:18 bad-name'),
        # Routes
        (_ROUTE, '4:5 missing-key'),
        *(
            (f'{_ROUTE.replace("h.x", host)}    service: s', '4:11 bad-host')
            for host in ('h:80', 'http://h', '"*.h"', 'a..b', '-a', 'h/p')
        ),
        *(
            (
                f'{_ROUTE.replace("path: /", f"path: {path}")}    service: s',
                '5:11 bad-path',
            )
            for path in ('p', '//', '/a//b', '/a/../b', '/a?b', '/ä', '/%2')
        ),
        (_ROUTE + '    service: s\n    timeout: 2', '7:14 bad-duration'),
        (_ROUTE + '    service: s\n    timeout: 2h', '7:14 bad-duration'),
        (
            _ROUTE + '    service: s\n    idempotent_methods: [get]',
            '7:26 unknown-method',
        ),
        # Moves
        (_MOVE + 'to: v1, within: 9s}', '3:33 same-version'),
        (_MOVE + 'to: v2}', '3:6 move-deadline'),
        (_MOVE + 'to: v2, within: 9s, deadline: x}', '3:45 move-deadline'),
        (_MOVE + 'to: v2, within: soon}', '3:45 bad-duration'),
        (_MOVE + 'to: v2, deadline: 2026-12-05}', '3:47 bad-date'),
        (_MOVE + 'to: v2, deadline: 2026-02-30T00:00:00Z}', '3:47 bad-date'),
        (_MOVE + 'to: v2, deadline: 2026-12-05T00:00:00}', '3:47 bad-date'),
        (_MOVE + 'to: v2, within: 9s, soak: -1s}', '3:55 bad-duration'),
    ],
)
def test_fault_is_reported_at_its_position(text: str, expected: str) -> None:
    with pytest.raises(InvalidTextError) as caught:
        _text.parse_text(text, 't', 0.0)
    reported = [
        f'{item.location.line}:{item.location.column} {item.code}'
        for item in caught.value.findings
    ]
    assert reported == [expected]


def test_faults_are_sorted_by_position_and_limited() -> None:
    text = _VALID.replace('1500ms', 'fast').replace('[1.10', '[/')
    parsed = _text.read_text(text, 't', 0.0)
    codes = [item.code for item in parsed.findings]
    assert codes == ['bad-version', 'bad-duration']
    faulty_text = 'department: a\n' + 'x: 1\n' * 1000
    parsed = _text.read_text(faulty_text, 't', 0.0)
    assert len(parsed.findings) == _text.MAX_FINDINGS + 1
    assert parsed.findings[-1].message.startswith('800 more')


def test_number_of_keys_and_values_is_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against texts that take long to read.
    monkeypatch.setattr(_text, 'MAX_NODES', 20)
    parsed = _text.read_text('a: [' + 'b,' * 100, 't', 0.0)
    assert [str(item.location) for item in parsed.findings] == ['t:1:39']
    assert parsed.findings[0].code == 'too-large'


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    start=st.integers(0, len(_VALID)),
    length=st.integers(0, 30),
    inserted=st.text(max_size=6)
    | st.sampled_from(
        ['{', '[', '\n', ': ', '- ', '*a', '&a ', '!', '"', '|']
    ),
)
def test_damaged_texts_cause_findings_only(
    start: int, length: int, inserted: str
) -> None:
    """Guards against YAML scanner errors that are not reported as findings."""
    text = _VALID[:start] + inserted + _VALID[start + length :]
    parsed = _text.read_text(text, 't', 0.0)
    assert parsed.has_fragment or parsed.findings
    for item in parsed.findings:
        assert 1 <= item.location.line <= text.count('\n') + 2


_TENANTS = """\
department: a
routes:
  r: {host: h.x, path: /, service: s, public: true}
tenants:
  small: {keys: [key-of-small]}
  large:
    keys: [first-key-of-large, second-key-of-large]
    priority: 2
    rate_per_s: 12.5
    burst: 40
"""


def test_tenants_are_read_with_digests_in_place_of_keys() -> None:
    fragment = _text.parse_text(_TENANTS, 't.yaml', 0.0).fragment
    large, small = fragment.tenants
    digests = sorted(
        _model.digest(key)
        for key in (b'first-key-of-large', b'second-key-of-large')
    )
    assert large == _model.Tenant('large', tuple(digests), 2, 12.5, 40.0)
    assert small.priority is None
    assert fragment.routes[0].public
    assert b'key-of' not in _model.encode(fragment)


@pytest.mark.parametrize(
    ('before', 'after', 'position', 'code'),
    [
        ('[key-of-small]', '[]', '5:17', 'no-keys'),
        ('[key-of-small]', 'key-of-small', '5:17', 'no-keys'),
        ('keys: [key-of-small]', 'burst: 1', '5:10', 'missing-key'),
        ('[key-of-small]', '[short]', '5:18', 'bad-key'),
        ('[key-of-small]', '["key-of small"]', '5:18', 'bad-key'),
        ('[key-of-small]', '[[key-of-small]]', '5:18', 'bad-key'),
        ('second-key', 'first-key', '7:32', 'duplicate-item'),
        ('priority: 2', 'priority: -2', '8:15', 'bad-number'),
        ('priority: 2', 'priority: 2.5', '8:15', 'bad-number'),
        ('12.5', 'many', '9:17', 'bad-number'),
        ('40', '1e99', '10:12', 'bad-number'),
        ('40', '[40]', '10:12', 'wrong-type'),
        ('burst:', 'bursts:', '10:5', 'unknown-key'),
        ('true', 'yes', '3:47', 'bad-boolean'),
        ('small:', 'Small:', '5:3', 'bad-name'),
    ],
)
def test_invalid_tenant_has_a_finding_without_its_key(
    before: str, after: str, position: str, code: str
) -> None:
    text = _TENANTS.replace(before, after, 1)
    assert text != _TENANTS
    parsed = _text.read_text(text, 't.yaml', 0.0)
    found = [
        (f'{item.location.line}:{item.location.column}', item.code)
        for item in parsed.findings
    ]
    assert (position, code) in found
    assert 'key-of' not in str(parsed.findings)
