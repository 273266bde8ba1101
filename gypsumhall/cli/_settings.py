"""Settings of the binaries: flags that are also read from the environment.

A binary defines its settings, parses once and reads the values::

    settings = Settings('gypsumhall', 'gypsumhall [flags] <command>')
    timeout = settings.duration('timeout', 30.0, 'Total time limit.')
    positionals = settings.parse(sys.argv[1:], os.environ)
    use(timeout.value)

`run_binary` does this for a binary and turns errors into exit statuses.

The flag ``--timeout`` takes precedence over the environment variable
``GYPSUMHALL_TIMEOUT``, which takes precedence over the default. All errors
are collected and raised together.
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
_TRUE_VALUES = ('true', '1', 'yes', 'on')
_FALSE_VALUES = ('false', '0', 'no', 'off')


class Setting(Generic[T]):
    """One setting; read `value` after `Settings.parse`."""

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
    default_text: str
    help_text: str
    required: bool
    switch: bool
    repeated: bool
    secret: bool
    # Whether an empty environment variable selects the default.
    empty_selects_default: bool


class Settings:
    """The settings of one binary.

    Parameters
    ----------
    program : str
        Name of the binary.
    usage : str
        Text at the start of the help page.
    notes : str
        Text at the end of the help page.
    allow_positionals : bool
        Whether arguments that are not flags are accepted.
    """

    def __init__(
        self,
        program: str,
        usage: str,
        notes: str = '',
        *,
        allow_positionals: bool = False,
    ) -> None:
        self._program = program
        self._allow_positionals = allow_positionals
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
    def help_requested(self) -> bool:
        """Whether ``--help`` was given; other flags are not checked then."""
        return self._help.value

    @property
    def help_page(self) -> str:
        """Usage, flags with environment variables and defaults, and notes."""
        lines = [self._usage.strip(), '', 'Flags:']
        for name, item in sorted(self._definitions.items()):
            kind = f'--[no]{name}' if item.switch else f'--{name}=<value>'
            kind += '...' if item.repeated else ''
            lines.append(f'  {kind}  ({PREFIX}{name.upper()})')
            default = 'required' if item.required else item.default_text
            lines.append(f'      {item.help_text} Default: {default}.')
        if self._notes:
            lines += ['', self._notes.strip()]
        return '\n'.join(lines) + '\n'

    # Definitions

    def string(
        self,
        name: str,
        default: str,
        help_text: str,
        *,
        choices: Sequence[str] = (),
        required: bool = False,
    ) -> Setting[str]:
        """Define a string, optionally one of several choices."""

        def convert(value: str) -> str:
            if choices and value not in choices:
                raise ValueError(f'valid choices: {", ".join(choices)}')
            if required and not value:
                raise ValueError('it must not be empty')
            return value

        return self._define(
            name, default, help_text, convert, repr(default), required=required
        )

    def integer(
        self,
        name: str,
        default: int,
        help_text: str,
        *,
        lowest: int = 0,
        highest: int = 2**53,
    ) -> Setting[int]:
        """Define an integer within a range."""

        def convert(value: str) -> int:
            if not re.fullmatch(r'-?[0-9]{1,18}', value) or not (
                lowest <= int(value) <= highest
            ):
                raise ValueError(
                    f'expected an integer from {lowest} to {highest}'
                )
            return int(value)

        return self._define(
            name,
            default,
            help_text,
            convert,
            str(default),
            empty_selects_default=True,
        )

    def number(
        self,
        name: str,
        default: float,
        help_text: str,
        *,
        lowest: float = 0.0,
        highest: float = math.inf,
    ) -> Setting[float]:
        """Define a number within a range."""

        def convert(value: str) -> float:
            problem = f'expected a number from {lowest:g} to {highest:g}'
            try:
                result = float(value)
            except ValueError:
                raise ValueError(problem)
            if not lowest <= result <= highest or math.isinf(result):
                raise ValueError(problem)
            return result

        return self._define(
            name,
            default,
            help_text,
            convert,
            f'{default:g}',
            empty_selects_default=True,
        )

    def duration(
        self,
        name: str,
        default: float,
        help_text: str,
        *,
        lowest: float = 0.0,
        highest: float = 86400.0,
    ) -> Setting[float]:
        """Define a duration, written like ``500ms`` or ``2s``.

        The value, `lowest` and `highest` are in seconds.
        """

        def convert(value: str) -> float:
            result = parse_duration(value)
            if result is None or not lowest <= result <= highest:
                raise ValueError(
                    'expected a number and one of ms, s, m, h, d, for example '
                    f'500ms, from {lowest:g}s to {highest:g}s'
                )
            return result

        return self._define(name, default, help_text, convert, f'{default:g}s')

    def boolean(
        self, name: str, default: bool, help_text: str
    ) -> Setting[bool]:
        """Define a Boolean flag, ``--name`` or ``--noname``."""

        def convert(value: str) -> bool:
            if value.lower() in _TRUE_VALUES:
                return True
            if value.lower() in _FALSE_VALUES:
                return False
            raise ValueError('valid choices: true, false')

        return self._define(
            name,
            default,
            help_text,
            convert,
            str(default).lower(),
            switch=True,
            empty_selects_default=True,
        )

    def address(
        self,
        name: str,
        default: str,
        help_text: str,
        *,
        required: bool = False,
        allow_host_names: bool = True,
    ) -> Setting[str]:
        """Define an address; see `parse_address` for its forms."""

        def convert(value: str) -> str:
            if not value and not required:
                return value
            return parse_address(value, allow_host_names=allow_host_names)

        return self._define(
            name, default, help_text, convert, repr(default), required=required
        )

    def addresses(
        self,
        name: str,
        default: tuple[str, ...],
        help_text: str,
        *,
        required: bool = False,
        allow_host_names: bool = True,
    ) -> Setting[tuple[str, ...]]:
        """Define a comma-separated list of addresses."""
        return self.items(
            name,
            default,
            help_text,
            lambda item: parse_address(
                item, allow_host_names=allow_host_names
            ),
            required=required,
        )

    def items(
        self,
        name: str,
        default: tuple[T, ...],
        help_text: str,
        convert: Callable[[str], T],
        *,
        required: bool = False,
        secret: bool = False,
    ) -> Setting[tuple[T, ...]]:
        """Define a comma-separated list of values.

        Parameters
        ----------
        name, default, help_text
            Name, value if none is given, and description on the help page.
        convert : callable
            Converts one item, stripped of surrounding white space; raises
            `ValueError` for an invalid one.
        required : bool
            Whether at least one item has to be given.
        secret : bool
            Whether error messages omit the value.
        """

        def convert_all(value: str) -> tuple[T, ...]:
            parts = [item.strip() for item in value.split(',')]
            result = tuple(convert(item) for item in parts if item)
            if required and not result:
                raise ValueError('it must not be empty')
            return result

        default_text = ','.join(str(item) for item in default)
        return self._define(
            name,
            default,
            help_text,
            convert_all,
            repr(default_text),
            required=required,
            secret=secret,
        )

    def repeated(
        self,
        name: str,
        help_text: str,
        convert: Callable[[str], T],
        *,
        required: bool = False,
    ) -> Setting[tuple[T, ...]]:
        """Define a flag that may be given several times.

        The environment variable contains one value per line.
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
            help_text,
            convert_all,
            'none',
            required=required,
            repeated=True,
        )

    def _define(
        self,
        name: str,
        default: T,
        help_text: str,
        convert: Callable[[str], T],
        default_text: str,
        *,
        required: bool = False,
        switch: bool = False,
        repeated: bool = False,
        secret: bool = False,
        empty_selects_default: bool = False,
    ) -> Setting[T]:
        setting = Setting(name, default)
        self._definitions[name] = _Definition(
            setting,
            convert,
            default_text,
            help_text,
            required,
            switch,
            repeated,
            secret,
            empty_selects_default,
        )
        values = self._flags
        if switch:
            flags.DEFINE_boolean(name, None, help_text, flag_values=values)
            # The Boolean parser of absl raises at the first invalid value.
            # Values are kept as strings here, so that `parse` converts them
            # with all others and reports all errors together.
            values[name].parser = flags.ArgumentParser()
        elif repeated:
            flags.DEFINE_multi_string(
                name, None, help_text, flag_values=values
            )
        else:
            flags.DEFINE_string(name, None, help_text, flag_values=values)
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
            Called with the positional arguments after all values are set;
            returns the errors of combinations of values. Settings with an
            invalid value have their default at that time.

        Raises
        ------
        SettingsError
            With all errors.
        """
        if {'-h', '--help', '-help'}.intersection(arguments):
            self._help._set(True)
            return []
        findings: list[Finding] = []
        positionals = self._parse_flags(arguments, findings)
        if positionals and not self._allow_positionals:
            findings.append(
                Finding(
                    'unexpected-argument',
                    f'{" ".join(positionals)!r}: only flags are accepted',
                    SourceLocation('command line'),
                )
            )
        for name, item in self._definitions.items():
            raw_value = self._flags[name].value
            location = SourceLocation(f'--{name}')
            if raw_value is None:
                variable = PREFIX + name.upper()
                raw_value = environment.get(variable)
                location = SourceLocation(variable)
                if not raw_value and item.empty_selects_default:
                    raw_value = None
            if raw_value is None:
                if item.required:
                    findings.append(
                        Finding(
                            'missing-setting',
                            f'give --{name} or {PREFIX}{name.upper()}: '
                            f'{item.help_text}',
                            SourceLocation(f'--{name}'),
                        )
                    )
                continue
            if isinstance(raw_value, list):
                raw_value = '\n'.join(raw_value)
            try:
                item.setting._set(item.convert(str(raw_value)))
            except ValueError as error:
                shown_value = '' if item.secret else f'{raw_value!r}: '
                findings.append(
                    Finding('bad-setting', shown_value + str(error), location)
                )
        if check is not None:
            findings += check(positionals)
        if findings:
            raise SettingsError(findings)
        return positionals

    def _parse_flags(
        self, arguments: Sequence[str], findings: list[Finding]
    ) -> list[str]:
        before_separator = list(arguments)
        after_separator: list[str] = []
        if '--' in before_separator:
            separator_index = before_separator.index('--')
            before_separator, after_separator = (
                before_separator[:separator_index],
                before_separator[separator_index + 1 :],
            )
        try:
            remaining = self._flags(
                [self._program, *before_separator], known_only=True
            )[1:]
        except (flags.Error, ValueError) as error:
            findings.append(
                Finding(
                    'bad-setting', str(error), SourceLocation('command line')
                )
            )
            # Only the last flag can lack its value; check those before it.
            return (
                self._parse_flags(before_separator[:-1], findings)
                if before_separator
                else []
            )
        for item in remaining:
            if item.startswith('-') and item != '-':
                name = item.lstrip('-').partition('=')[0]
                similar = difflib.get_close_matches(name, self._definitions, 3)
                hint = ', '.join(f'--{other}' for other in similar)
                findings.append(
                    Finding(
                        'unknown-flag',
                        'no such flag; '
                        + (f'similar: {hint}' if hint else 'see --help'),
                        SourceLocation(f'--{name}'),
                    )
                )
        return [
            item
            for item in remaining
            if not item.startswith('-') or item == '-'
        ] + after_separator


def parse_address(text: str, *, allow_host_names: bool = True) -> str:
    """Check an address and return it.

    Parameters
    ----------
    text : str
        ``<ip>:<port>``, with brackets around IPv6, or ``<host>:<port>``.
    allow_host_names : bool
        Whether the second form is accepted.

    Raises
    ------
    ValueError
        If it has another form or the port is not from 0 to 65535.
    """
    host, _, port = text.rpartition(':')
    forms = '<ip>:<port>' + (' or <host>:<port>' if allow_host_names else '')
    if (
        not _is_host(host, allow_host_names=allow_host_names)
        or not re.fullmatch(r'[0-9]{1,5}', port)
        or int(port) > 65535
    ):
        raise ValueError(
            f'{text!r} is not an address; expected {forms}, for example '
            '127.0.0.1:7002'
        )
    return text


def _is_host(text: str, *, allow_host_names: bool) -> bool:
    bracketed = text.startswith('[') and text.endswith(']')
    try:
        address = ipaddress.ip_address(text[1:-1] if bracketed else text)
    except ValueError:
        return allow_host_names and bool(re.fullmatch(r'[A-Za-z0-9.-]+', text))
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
        Command line with the name of the binary; None for `sys.argv`.
    start : callable
        Called with the positional arguments; returns the exit status.
    check : callable, optional
        See `Settings.parse`.
    environment : mapping
        Environment variables.

    Returns
    -------
    int
        Result of `start`; 0 for ``--help``; 1 after a `GypsumhallError` or
        an `OSError`, which is printed in one line; 2 for invalid settings.
    """
    arguments = sys.argv[1:] if argv is None else argv[1:]
    try:
        positionals = settings.parse(arguments, environment, check)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    if settings.help_requested:
        print(settings.help_page, end='')
        return 0
    status = 1
    try:
        status = start(positionals)
    except* (GypsumhallError, OSError) as group:
        print(
            f'{settings.program}: {first_leaf_error(group)}', file=sys.stderr
        )
    return status
