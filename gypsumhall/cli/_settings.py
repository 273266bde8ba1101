"""Settings of the binaries: flags that are also read from the environment.

A binary defines its settings, parses once and reads the values::

    settings = Settings('gypsumhall', 'gypsumhall [flags] <command>')
    timeout = settings.duration('timeout', 30.0, 'Longest time in all.')
    names = settings.parse(sys.argv[1:], os.environ)
    use(timeout.value)

`run_binary` does this for a binary and turns errors into exit statuses.

The flag ``--timeout`` comes before the variable ``GYPSUMHALL_TIMEOUT``, and
this before the default. All faults are collected and raised together.
"""

from __future__ import annotations

from dataclasses import dataclass
import difflib
import ipaddress
import math
import os
import re
import sys
from typing import Any
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

from absl import flags

from gypsumhall._errors import Finding
from gypsumhall._errors import first_leaf_error
from gypsumhall._errors import GypsumhallError
from gypsumhall._errors import SettingsError
from gypsumhall._errors import SourceLocation
from gypsumhall.core._durations import parse_duration

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

T = TypeVar('T')

PREFIX = 'GYPSUMHALL_'
_TRUE = ('true', '1', 'yes', 'on')
_FALSE = ('false', '0', 'no', 'off')


class Setting(Generic[T]):
    """One setting; `value` may be read after `Settings.parse`."""

    __slots__ = ('_value', 'name')

    def __init__(self, name: str, default: T) -> None:
        self.name = name
        self._value = default

    @property
    def value(self) -> T:
        """The value from the flag, the environment or the default."""
        return self._value

    def _set(self, value: T) -> None:
        self._value = value


@dataclass(slots=True)
class _Definition:
    setting: Setting[Any]
    convert: Callable[[str], Any]
    shown_default: str
    text: str
    required: bool
    switch: bool
    repeated: bool
    secret: bool


class Settings:
    """The settings of one binary.

    Parameters
    ----------
    program : str
        Name of the binary.
    usage : str
        First lines of the help page.
    notes : str
        Last lines of the help page.
    positionals : bool
        Whether arguments that are no flags are accepted.
    """

    def __init__(
        self,
        program: str,
        usage: str,
        notes: str = '',
        *,
        positionals: bool = False,
    ) -> None:
        self._program = program
        self._positionals = positionals
        self._usage = usage
        self._notes = notes
        self._flags = flags.FlagValues()
        self._flags.set_gnu_getopt(True)
        self._definitions: dict[str, _Definition] = {}
        self._help = self.boolean('help', False, 'Show this page.')

    @property
    def program(self) -> str:
        """Name of the binary."""
        return self._program

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the settings, in the order of their definition."""
        return tuple(self._definitions)

    @property
    def help_wanted(self) -> bool:
        """Whether ``--help`` was given; nothing else was checked then."""
        return self._help.value

    @property
    def help_page(self) -> str:
        """Usage, flags with their variables and defaults, and notes."""
        lines = [self._usage.strip(), '', 'Flags:']
        for name, item in sorted(self._definitions.items()):
            kind = f'--[no]{name}' if item.switch else f'--{name}=<value>'
            kind += '...' if item.repeated else ''
            lines.append(f'  {kind}  ({PREFIX}{name.upper()})')
            default = 'required' if item.required else item.shown_default
            lines.append(f'      {item.text} Default: {default}.')
        if self._notes:
            lines += ['', self._notes.strip()]
        return '\n'.join(lines) + '\n'

    # Definitions

    def string(
        self,
        name: str,
        default: str,
        text: str,
        *,
        choices: Sequence[str] = (),
        required: bool = False,
    ) -> Setting[str]:
        """Define a text, or one of several choices."""

        def convert(value: str) -> str:
            if choices and value not in choices:
                raise ValueError(f'valid choices: {", ".join(choices)}')
            if required and not value:
                raise ValueError('it must not be empty')
            return value

        return self._define(
            name, default, text, convert, repr(default), required=required
        )

    def integer(
        self,
        name: str,
        default: int,
        text: str,
        *,
        lowest: int = 0,
        highest: int = 2**53,
    ) -> Setting[int]:
        """Define a whole number within a range."""

        def convert(value: str) -> int:
            if not re.fullmatch(r'-?[0-9]{1,18}', value) or not (
                lowest <= int(value) <= highest
            ):
                raise ValueError(f'a whole number from {lowest} to {highest}')
            return int(value)

        return self._define(name, default, text, convert, str(default))

    def number(
        self,
        name: str,
        default: float,
        text: str,
        *,
        lowest: float = 0.0,
        highest: float = math.inf,
    ) -> Setting[float]:
        """Define a number within a range."""

        def convert(value: str) -> float:
            problem = f'a number from {lowest:g} to {highest:g}'
            try:
                result = float(value)
            except ValueError:
                raise ValueError(problem)
            if not lowest <= result <= highest or math.isinf(result):
                raise ValueError(problem)
            return result

        return self._define(name, default, text, convert, f'{default:g}')

    def duration(
        self,
        name: str,
        default: float,
        text: str,
        *,
        lowest: float = 0.0,
        highest: float = 86400.0,
    ) -> Setting[float]:
        """Define a duration in seconds, written like ``500ms`` or ``2s``."""

        def convert(value: str) -> float:
            result = parse_duration(value)
            if result is None or not lowest <= result <= highest:
                raise ValueError(
                    'a number and one of ms, s, m, h, d, for example 500ms, '
                    f'from {lowest:g}s to {highest:g}s'
                )
            return result

        return self._define(name, default, text, convert, f'{default:g}s')

    def boolean(self, name: str, default: bool, text: str) -> Setting[bool]:
        """Define a switch, ``--name`` or ``--noname``."""

        def convert(value: str) -> bool:
            if value.lower() in _TRUE:
                return True
            if value.lower() in _FALSE:
                return False
            raise ValueError('valid choices: true, false')

        return self._define(
            name, default, text, convert, str(default).lower(), switch=True
        )

    def address(
        self,
        name: str,
        default: str,
        text: str,
        *,
        required: bool = False,
        hosts: bool = True,
    ) -> Setting[str]:
        """Define an address, `hosts` tells whether names are accepted."""

        def convert(value: str) -> str:
            if not value and not required:
                return value
            return parse_address(value, hosts=hosts)

        return self._define(
            name, default, text, convert, repr(default), required=required
        )

    def addresses(
        self,
        name: str,
        default: tuple[str, ...],
        text: str,
        *,
        required: bool = False,
        hosts: bool = True,
    ) -> Setting[tuple[str, ...]]:
        """Define a list of addresses, separated by commas."""
        return self.items(
            name,
            default,
            text,
            lambda item: parse_address(item, hosts=hosts),
            required=required,
        )

    def items(
        self,
        name: str,
        default: tuple[T, ...],
        text: str,
        convert: Callable[[str], T],
        *,
        required: bool = False,
        secret: bool = False,
    ) -> Setting[tuple[T, ...]]:
        """Define a list of values, separated by commas.

        Parameters
        ----------
        name, default, text
            Name, value if nothing is given, and line of the help page.
        convert : callable
            Gets one item without blanks around it; raises `ValueError`.
        required : bool
            Whether at least one item has to be given.
        secret : bool
            Whether messages leave the value out.
        """

        def convert_all(value: str) -> tuple[T, ...]:
            parts = [item.strip() for item in value.split(',')]
            result = tuple(convert(item) for item in parts if item)
            if required and not result:
                raise ValueError('it must not be empty')
            return result

        shown = ','.join(str(item) for item in default)
        return self._define(
            name,
            default,
            text,
            convert_all,
            repr(shown),
            required=required,
            secret=secret,
        )

    def repeated(
        self,
        name: str,
        text: str,
        convert: Callable[[str], T],
        *,
        required: bool = False,
    ) -> Setting[tuple[T, ...]]:
        """Define a flag that is given once for each value.

        The environment variable holds one value per line.
        """

        def convert_all(value: str) -> tuple[T, ...]:
            lines = [line for line in value.splitlines() if line.strip()]
            result = tuple(convert(line) for line in lines)
            if required and not result:
                raise ValueError('it must not be empty')
            return result

        default: tuple[T, ...] = ()
        return self._define(
            name,
            default,
            text,
            convert_all,
            'none',
            required=required,
            repeated=True,
        )

    def _define(
        self,
        name: str,
        default: T,
        text: str,
        convert: Callable[[str], T],
        shown_default: str,
        *,
        required: bool = False,
        switch: bool = False,
        repeated: bool = False,
        secret: bool = False,
    ) -> Setting[T]:
        setting = Setting(name, default)
        self._definitions[name] = _Definition(
            setting,
            convert,
            shown_default,
            text,
            required,
            switch,
            repeated,
            secret,
        )
        values = self._flags
        if switch:
            flags.DEFINE_boolean(name, None, text, flag_values=values)
            # absl stops at the first value that is no boolean; as a text, it
            # is converted with all other values.
            values[name].parser = flags.ArgumentParser()
        elif repeated:
            flags.DEFINE_multi_string(name, None, text, flag_values=values)
        else:
            flags.DEFINE_string(name, None, text, flag_values=values)
        return setting

    # Parsing

    def parse(
        self,
        arguments: Sequence[str],
        environment: Mapping[str, str],
        check: Callable[[list[str]], Sequence[Finding]] | None = None,
    ) -> list[str]:
        """Set all values and return the positional arguments.

        Parameters
        ----------
        arguments : sequence of str
            Command line without the name of the binary.
        environment : mapping
            Environment variables.
        check : callable, optional
            Gets the positional arguments when all values are set and
            returns faults of values that do not fit together. A setting
            with a fault of its own has its default then.

        Raises
        ------
        SettingsError
            With all faults.
        """
        if {'-h', '--help', '-help'}.intersection(arguments):
            self._help._set(True)
            return []
        findings: list[Finding] = []
        names = self._parse_flags(arguments, findings)
        if names and not self._positionals:
            findings.append(
                Finding(
                    'unexpected-argument',
                    f'{" ".join(names)!r}: only flags are accepted',
                    SourceLocation('command line'),
                )
            )
        for name, item in self._definitions.items():
            given = self._flags[name].value
            location = SourceLocation(f'--{name}')
            if given is None:
                variable = PREFIX + name.upper()
                given = environment.get(variable)
                location = SourceLocation(variable)
            if given is None:
                if item.required:
                    findings.append(
                        Finding(
                            'missing-setting',
                            f'give --{name} or {PREFIX}{name.upper()}: '
                            f'{item.text}',
                            SourceLocation(f'--{name}'),
                        )
                    )
                continue
            if isinstance(given, list):
                given = '\n'.join(given)
            try:
                item.setting._set(item.convert(str(given)))
            except ValueError as error:
                shown = '' if item.secret else f'{given!r}: '
                findings.append(
                    Finding('bad-setting', shown + str(error), location)
                )
        if check is not None:
            findings += check(names)
        if findings:
            raise SettingsError(findings)
        return names

    def _parse_flags(
        self, arguments: Sequence[str], findings: list[Finding]
    ) -> list[str]:
        own = list(arguments)
        rest: list[str] = []
        if '--' in own:
            at = own.index('--')
            own, rest = own[:at], own[at + 1 :]
        try:
            left = self._flags([self._program, *own], known_only=True)[1:]
        except (flags.Error, ValueError) as error:
            findings.append(
                Finding(
                    'bad-setting', str(error), SourceLocation('command line')
                )
            )
            # A value is missing at the end only; the rest is checked too.
            return self._parse_flags(own[:-1], findings) if own else []
        for item in left:
            if item.startswith('-') and item != '-':
                name = item.lstrip('-').partition('=')[0]
                close = difflib.get_close_matches(name, self._definitions, 3)
                hint = ', '.join(f'--{other}' for other in close)
                findings.append(
                    Finding(
                        'unknown-flag',
                        'no such flag; '
                        + (f'similar: {hint}' if hint else 'see --help'),
                        SourceLocation(f'--{name}'),
                    )
                )
        return [
            item for item in left if not item.startswith('-') or item == '-'
        ] + rest


def parse_address(text: str, *, hosts: bool = True) -> str:
    """Check an address and return it.

    Parameters
    ----------
    text : str
        ``<ip>:<port>``, with brackets around IPv6, or ``<host>:<port>``.
    hosts : bool
        Whether the second form is accepted.

    Raises
    ------
    ValueError
        When it has another form or the port is not from 0 to 65535.
    """
    host, _, port = text.rpartition(':')
    forms = '<ip>:<port>' + (' or <host>:<port>' if hosts else '')
    if (
        not _is_host(host, hosts=hosts)
        or not re.fullmatch(r'[0-9]{1,5}', port)
        or int(port) > 65535
    ):
        raise ValueError(
            f'{text!r} is no address; expected {forms}, for example '
            '127.0.0.1:7002'
        )
    return text


def _is_host(text: str, *, hosts: bool) -> bool:
    bracketed = text.startswith('[') and text.endswith(']')
    try:
        address = ipaddress.ip_address(text[1:-1] if bracketed else text)
    except ValueError:
        return hosts and bool(re.fullmatch(r'[A-Za-z0-9.-]+', text))
    return bracketed == (address.version == 6)


def run_binary(
    settings: Settings,
    argv: Sequence[str] | None,
    start: Callable[[list[str]], int],
    check: Callable[[list[str]], Sequence[Finding]] | None = None,
    environment: Mapping[str, str] = os.environ,
) -> int:
    """Parse the settings of a binary, run it and return its exit status.

    Parameters
    ----------
    settings : Settings
        All settings of the binary.
    argv : sequence of str or None
        Command line with the name of the binary; None for that of the
        process.
    start : callable
        Gets the positional arguments and returns the exit status.
    check : callable, optional
        See `Settings.parse`.
    environment : mapping
        Environment variables.

    Returns
    -------
    int
        That of `start`; 0 for ``--help``; 1 after an error with a known
        reason, which is printed in one line; 2 for invalid settings.
    """
    arguments = sys.argv[1:] if argv is None else argv[1:]
    try:
        names = settings.parse(arguments, environment, check)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    if settings.help_wanted:
        print(settings.help_page, end='')
        return 0
    status = 1
    try:
        status = start(names)
    except* (GypsumhallError, OSError) as group:
        print(
            f'{settings.program}: {first_leaf_error(group)}', file=sys.stderr
        )
    return status
