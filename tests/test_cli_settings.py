"""Tests of the settings, across all binaries."""

from __future__ import annotations

import os
import re
import socket
from typing import Any
from typing import TYPE_CHECKING

import pytest

from gypsumhall.cli import backend
from gypsumhall.cli import daemon
from gypsumhall.cli import load
from gypsumhall.cli import operator
from gypsumhall.cli import platform
from gypsumhall.cli import timeline
from gypsumhall.cli._settings import parse_address
from gypsumhall.cli._settings import Settings
from gypsumhall.errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable


def _run_operator(argv: list[str]) -> int:
    return operator.run(argv[1:], os.environ)


# A binary, one of its flags, an invalid value of it, and arguments that the
# binary requires.
BINARIES = [
    pytest.param(backend.main, 'slots', '0', ['--service=x'], id='backend'),
    pytest.param(daemon.main, 'drain_timeout', '5', [], id='daemon'),
    pytest.param(load.main, 'kind', '{"name": 1}', [], id='load'),
    pytest.param(_run_operator, 'follow', 'maybe', ['status'], id='operator'),
    pytest.param(platform.main, 'platform_address', 'x', [], id='platform'),
    pytest.param(timeline.main, 'format', 'xml', ['log'], id='timeline'),
]


@pytest.mark.parametrize(
    ('main', 'flag', 'value', 'required_arguments'), BINARIES
)
def test_binaries_print_help_and_report_invalid_settings(
    monkeypatch: pytest.MonkeyPatch,
    capsys: Any,
    main: Callable[[list[str]], int],
    flag: str,
    value: str,
    required_arguments: list[str],
) -> None:
    assert main(['name', '--help']) == 0
    page = capsys.readouterr().out
    assert re.search(r'(?i)exit (status|codes): ?\s', page)
    flags = re.findall(
        r'^  --(?:\[no\])?(\w+).*\(GYPSUMHALL_(\w+)\)$', page, re.M
    )
    assert flag in dict(flags)
    assert all(name.upper() == variable for name, variable in flags)
    assert page.count('Default: ') == len(flags)

    assert (
        main(['name', *required_arguments, f'--{flag}={value}', '--nope=1'])
        == 2
    )
    error = capsys.readouterr().err
    assert f'--{flag}: bad-setting' in error
    assert '--nope: unknown-flag' in error

    monkeypatch.setenv(f'GYPSUMHALL_{flag.upper()}', value)
    assert main(['name', *required_arguments]) == 2
    assert f'GYPSUMHALL_{flag.upper()}: bad-setting' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('main', 'flag'),
    [
        (platform.main, '--platform_address'),
        (backend.main, '--service=x --address'),
    ],
)
def test_address_in_use_is_reported_in_one_line(
    capsys: Any, main: Callable[[list[str]], int], flag: str
) -> None:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        assert main(['name', *f'{flag}={address}'.split()]) == 1
    error = capsys.readouterr().err
    assert f'cannot listen at {address!r}: Address already in use' in error
    assert len(error.splitlines()) == 1


def test_repeated_flags_take_precedence_over_the_environment() -> None:
    settings = Settings('name', 'usage')
    numbers = settings.repeated('number', 'Numbers.', int)
    switch = settings.boolean('switch', True, 'Switch.')
    variables = {'GYPSUMHALL_NUMBER': '1\n2\n', 'GYPSUMHALL_SWITCH': 'on'}
    settings.parse([], variables)
    assert (numbers.value, switch.value) == ((1, 2), True)
    settings.parse(['--number=3', '--noswitch', '--number=4'], variables)
    assert (numbers.value, switch.value) == ((3, 4), False)
    with pytest.raises(SettingsError, match='does not take an argument'):
        settings.parse(['--noswitch=1'], {})


@pytest.mark.parametrize(
    ('text', 'is_ip', 'is_host'),
    [
        ('127.0.0.1:0', True, True),
        ('[::1]:65535', True, True),
        ('host.example:80', False, True),
        ('[127.0.0.1]:1', False, False),
        ('::1:80', False, False),
        ('127.0.0.1', False, False),
        ('127.0.0.1:65536', False, False),
        ('127.0.0.1:-1', False, False),
        (':80', False, False),
    ],
)
def test_addresses_are_ips_or_host_names(
    text: str, is_ip: bool, is_host: bool
) -> None:
    for allow_host_names, valid in ((False, is_ip), (True, is_host)):
        if valid:
            assert (
                parse_address(text, allow_host_names=allow_host_names) == text
            )
        else:
            with pytest.raises(ValueError, match='expected <ip>:<port>'):
                parse_address(text, allow_host_names=allow_host_names)
