"""Tests that the operator documentation covers codes, metrics and flags."""

from __future__ import annotations

import ast
import os
from pathlib import Path
import re
import shutil
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from gypsumhall.cli import daemon
from gypsumhall.cli import operator
from gypsumhall.core._member import MemberStatus
from gypsumhall.services._acceptance import SubmissionStatus
from gypsumhall.testing import scenario

if TYPE_CHECKING:
    from collections.abc import Iterator

_ROOT = Path(__file__).parents[1]
_PAGE = (_ROOT / 'docs' / 'operators.md').read_text()
_SOURCES = [
    path
    for path in (_ROOT / 'gypsumhall').rglob('*.py')
    if path.parent.name in ('core', 'net', 'services', 'store')
]
_EMITTERS = {
    'emit', '_emit', '_emit_limited', '_record_event', '_build_alarm', 'Alarm',
    '_on_change',
}  # fmt: skip
# Codes that are built from an enumeration or an error, so that they are not
# string constants in a call.
_COMPUTED = {
    *(f'submission-{item.value}' for item in SubmissionStatus),
    *(f'member-{item.name.lower()}' for item in MemberStatus),
    'peer-lost',
    'peer-protocol-error',
}


def _codes() -> Iterator[str]:
    for path in _SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
            if name in _EMITTERS:
                for part in ast.walk(node.args[0]):
                    if isinstance(part, ast.Constant) and re.fullmatch(
                        '[a-z]+(-[a-z]+)+', str(part.value)
                    ):
                        yield str(part.value)


def test_every_event_code_is_documented() -> None:
    events = _PAGE.partition('## Events')[2]
    codes = {*_codes(), *_COMPUTED}
    assert len(codes) > 40
    documented = {
        code
        for line in events.splitlines()
        if line.startswith('| `')
        for code in re.findall('`([a-z-]+)`', line.split('|')[1])
    }
    assert codes - documented == set()
    assert documented - codes == set()


def test_every_metric_is_documented() -> None:
    pattern = r"'((?:gypsumhall|acceptance)_\w+)'"
    metrics = {
        name
        for path in _SOURCES
        for name in re.findall(pattern, path.read_text())
    }
    assert len(metrics) > 15
    assert [name for name in metrics if f'`{name}`' not in _PAGE] == []


@pytest.mark.parametrize(
    'name', ['backend', 'load', 'platform', 'timeline', '', 'd']
)
def test_every_flag_is_documented(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    binary = f'gypsumhall-{name}' if len(name) > 1 else f'gypsumhall{name}'
    section = _PAGE.partition(f'\n### {binary}\n')[2].partition('\n### ')[0]
    if name == '':
        operator.run(['--help'], {})
    elif name == 'd':
        daemon.main([binary, '--help'])
    else:
        module = __import__(f'gypsumhall.cli.{name}', fromlist=['main'])
        module.main([binary, '--help'])
    flags = re.findall(r'^  (--[^= ]+)', capsys.readouterr().out, re.M)
    assert len(flags) > 1
    missing = [flag for flag in flags if f'`{flag}`' not in section]
    assert missing == ['--[no]help']


def test_every_scenario_verb_has_a_table_row_and_an_example() -> None:
    page = (_ROOT / 'docs' / 'scenarios.md').read_text()
    for verb in scenario.VERBS:
        assert f'\n| `{verb}` |' in page
        assert re.search(rf'^ *- {verb}:', page, re.M)


_OPERATIONS = (_ROOT / 'docs' / 'OPERATIONS.md').read_text()
_COMMANDS = [
    line.strip()
    for line in _OPERATIONS.splitlines()
    if line.startswith('    ') and 'logs.jsonl' in line
]


def test_the_page_has_a_command_for_each_kind_of_failed_request() -> None:
    assert len(_COMMANDS) >= 6


@pytest.mark.parametrize('command', _COMMANDS)
def test_log_commands_of_the_page_match_recorded_logs(
    command: str, tmp_path: Path
) -> None:
    """A command without output gives the engineer no cause of the failure."""
    logs = _ROOT / 'tests' / 'data' / 'platform_logs.jsonl'
    shutil.copy(logs, tmp_path / 'logs.jsonl')
    module = f'{sys.executable} -m gypsumhall.cli.timeline'
    result = subprocess.run(
        ['bash', '-c', command.replace('gypsumhall-timeline', module)],
        cwd=tmp_path,
        env={**os.environ, 'PYTHONPATH': str(_ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout.strip()
