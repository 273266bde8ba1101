"""Settings of the binaries: flags that are also read from the environment.

A binary defines its settings, parses once and reads the values::

    settings = Settings('gypsumhall', 'gypsumhall [flags] <command>')
    timeout = settings.duration('timeout', 30.0, 'Longest time in all.')
    names = settings.parse(sys.argv[1:], os.environ)
    use(timeout.value)

The flag ``--timeout`` comes before the variable ``GYPSUMHALL_TIMEOUT``, and
this before the default. All faults are collected and raised together.
"""

from __future__ import annotations

from dataclasses import dataclass
import difflib
import math
import re
from typing import Any
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

from absl import flags

from gypsumhall._errors import Finding
from gypsumhall._errors import Place
from gypsumhall._errors import SettingsError
from gypsumhall.core._text import parse_duration

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
    """

    def __init__(self, program: str, usage: str, notes: str = '') -> None:
        self._program = program
        self._usage = usage
        self._notes = notes
        self._flags = flags.FlagValues()
        self._flags.set_gnu_getopt(True)
        self._definitions: dict[str, _Definition] = {}
        self._help = self.boolean('help', False, 'Show this page.')

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
        self, name: str, default: str, text: str, *, required: bool = False
    ) -> Setting[str]:
        """Define an address, ``<IP number or host>:<port>``."""
        return self._define(
            name,
            default,
            text,
            parse_address,
            repr(default),
            required=required,
        )

    def addresses(
        self,
        name: str,
        default: tuple[str, ...],
        text: str,
        *,
        required: bool = False,
    ) -> Setting[tuple[str, ...]]:
        """Define a list of addresses, separated by commas."""

        def convert(value: str) -> tuple[str, ...]:
            parts = [item.strip() for item in value.split(',')]
            return tuple(parse_address(item) for item in parts if item)

        return self._define(
            name,
            default,
            text,
            convert,
            repr(','.join(default)),
            required=required,
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
    ) -> Setting[T]:
        setting = Setting(name, default)
        self._definitions[name] = _Definition(
            setting, convert, shown_default, text, required, switch
        )
        define = flags.DEFINE_boolean if switch else flags.DEFINE_string
        define(name, None, text, flag_values=self._flags)
        return setting

    # Parsing

    def parse(
        self, arguments: Sequence[str], environment: Mapping[str, str]
    ) -> list[str]:
        """Set all values and return the positional arguments.

        Parameters
        ----------
        arguments : sequence of str
            Command line without the name of the binary.
        environment : mapping
            Environment variables.

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
        for name, item in self._definitions.items():
            given = self._flags[name].value
            place = Place(f'--{name}')
            if given is None:
                variable = PREFIX + name.upper()
                given = environment.get(variable)
                place = Place(variable)
            if given is None:
                if item.required:
                    findings.append(
                        Finding(
                            'missing-setting',
                            f'give --{name} or {PREFIX}{name.upper()}: '
                            f'{item.text}',
                            Place(f'--{name}'),
                        )
                    )
                continue
            try:
                item.setting._set(item.convert(str(given)))
            except ValueError as error:
                findings.append(
                    Finding('bad-setting', f'{given!r}: {error}', place)
                )
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
        except flags.Error as error:
            findings.append(
                Finding('bad-setting', str(error), Place('command line'))
            )
            return []
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
                        Place(f'--{name}'),
                    )
                )
        return [
            item for item in left if not item.startswith('-') or item == '-'
        ] + rest


def parse_address(text: str) -> str:
    """Check an address and return it.

    Raises
    ------
    ValueError
        When it is not ``<host>:<port>`` with a port from 0 to 65535.
    """
    host, _, port = text.rpartition(':')
    if (
        not re.fullmatch(r'[A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]', host)
        or not re.fullmatch(r'[0-9]{1,5}', port)
        or int(port) > 65535
    ):
        raise ValueError(
            f'{text!r} is no address; write <host>:<port>, for example '
            '127.0.0.1:7002'
        )
    return text
