"""Flags that can also be set from the environment."""

from __future__ import annotations

import ipaddress
import os
from typing import TYPE_CHECKING

from absl import flags

from gypsumhall._errors import Finding
from gypsumhall._errors import Place
from gypsumhall._errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

PREFIX = 'GYPSUMHALL_'


def is_address(value: str) -> bool:
    """Whether a text is ``<ip>:<port>``, with brackets around IPv6."""
    host, separator, port = value.rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
    elif ':' in host:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isdecimal() and int(port) < 65536


def parse_flags(
    values: flags.FlagValues,
    argv: Sequence[str],
    environ: Mapping[str, str] | None = None,
) -> list[str]:
    """Read flags from the environment and from the command line.

    Parameters
    ----------
    values : absl.flags.FlagValues
        Defined flags; ``--name`` is also read from ``GYPSUMHALL_NAME``.
    argv : sequence of str
        Command line, with the name of the program first. It takes
        precedence over the environment.
    environ : mapping, optional
        Environment; by default that of the process.

    Returns
    -------
    list of str
        Arguments that are no flags, without the name of the program.

    Raises
    ------
    SettingsError
        When a value cannot be used; all such variables are named.
    """
    source = os.environ if environ is None else environ
    findings = []
    for name in values:
        variable = f'{PREFIX}{name.upper()}'
        if variable not in source:
            continue
        try:
            values.set_default(name, source[variable])
        except flags.Error as error:
            findings.append(
                Finding('invalid-value', str(error), Place(variable))
            )
    if findings:
        raise SettingsError(findings)
    try:
        return list(values(list(argv)))[1:]
    except flags.Error as error:
        finding = Finding('invalid-flag', str(error), Place('command line'))
        raise SettingsError([finding])
