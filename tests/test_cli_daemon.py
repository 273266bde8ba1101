"""Tests of the settings of the daemon."""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
from typing import Any
from typing import TYPE_CHECKING

import pytest

from gypsumhall.cli import daemon
from gypsumhall.cli._settings import PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY = 'sixteen-letters!'
VALID = {
    'zone': 'az-1',
    'zones': 'az-1,az-2',
    'caller_address': '127.0.0.1:0',
    'peer_address': '127.0.0.1:0',
    'admin_address': '127.0.0.1:0',
    'platform': '127.0.0.1:1',
    'peer_keys': KEY,
    'event_log': '/dev/null',
}


def _command_line(**changes: str | None) -> list[str]:
    values = {**VALID, **changes}
    flags = [f'--{name}={value}' for name, value in values.items() if value]
    return ['gypsumhalld', *flags]


@pytest.fixture(autouse=True)
def _empty_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in daemon.DaemonSettings().settings.names:
        monkeypatch.delenv(PREFIX + name.upper(), raising=False)


@pytest.mark.parametrize(
    ('changes', 'message'),
    [
        ({'zone': 'az-9'}, "--zone: unknown-zone: 'az-9'"),
        ({'zone': 'az-9'}, 'valid choices: az-1, az-2'),
        ({'peer_keys': f'{KEY},short'}, '--peer_keys: bad-setting: every key'),
        ({'peer_keys': ','.join([KEY] * 5)}, '5 keys; at most 4'),
        ({'peer_keys': ' , '}, '--peer_keys: bad-setting'),
        ({'zone': None}, 'GYPSUMHALL_ZONE'),
        ({'caller_address': None}, '--caller_address: missing-setting'),
        ({'caller_address': 'here'}, "'here' is not an address"),
        ({'peer_address': 'host:1'}, 'expected <ip>:<port>'),
        ({'peer_address': '::1:7001'}, 'expected <ip>:<port>'),
        ({'advertised_peer_address': '1.2.3.4'}, '--advertised_peer_address'),
        ({'admin_address': '127.0.0.1:65536'}, '--admin_address'),
        ({'platform': '127.0.0.1:1,:2'}, "--platform: bad-setting: '127"),
        ({'seeds': '127.0.0.1:x'}, '--seeds: bad-setting'),
        ({'drain_timeout': '30'}, '--drain_timeout: bad-setting'),
        ({'zome': 'az-1'}, 'similar: --zone'),
    ],
)
def test_errors_name_the_flag(
    capsys: Any, changes: dict[str, str | None], message: str
) -> None:
    assert daemon.main(_command_line(**changes)) == 2
    error = capsys.readouterr().err
    assert message in error
    assert KEY not in error
    assert len(error.splitlines()) == 1


def test_all_errors_are_reported_together(
    monkeypatch: pytest.MonkeyPatch, capsys: Any
) -> None:
    # Otherwise an operator would see only one error per start.
    monkeypatch.setenv('GYPSUMHALL_DRAIN_TIMEOUT', 'long')
    argv = [
        *_command_line(zone='az-9', peer_keys='short', admin_address=None),
        '--unknown',
        'argument',
        '--seeds',
    ]
    assert daemon.main(argv) == 2
    lines = capsys.readouterr().err.splitlines()
    places = {line.partition(': ')[0] for line in lines}
    assert places == {
        '--zone',
        '--peer_keys',
        '--admin_address',
        '--unknown',
        'command line',
        'GYPSUMHALL_DRAIN_TIMEOUT',
    }
    assert len(lines) == 7


@contextlib.contextmanager
def _address_in_use() -> Iterator[str]:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        yield f'127.0.0.1:{listener.getsockname()[1]}'


@pytest.mark.parametrize(
    'flag', ['caller_address', 'peer_address', 'admin_address']
)
def test_address_in_use_is_reported_in_one_line(flag: str) -> None:
    with _address_in_use() as address:
        command_line = _command_line(**{flag: address})
        result = subprocess.run(
            [sys.executable, '-m', 'gypsumhall.cli.daemon', *command_line[1:]],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
    assert result.returncode == 1
    assert result.stderr == (
        f'gypsumhalld: cannot listen at {address!r}: Address already in use\n'
    )
