"""``gypsumhall-timeline``: one time line of the events of many processes.

Logs are given as files, as arguments or with ``--log``, and as admin
addresses of daemons with ``--admin_address``. Findings about the logs go to
the standard error stream.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from absl import flags
import trio

from gypsumhall._errors import Finding
from gypsumhall._errors import Place
from gypsumhall._errors import SettingsError
from gypsumhall.cli._environment import is_address
from gypsumhall.cli._environment import parse_flags
from gypsumhall.timeline import fetch_logs
from gypsumhall.timeline import Logs
from gypsumhall.timeline import merge
from gypsumhall.timeline import read_files
from gypsumhall.timeline import render_html
from gypsumhall.timeline import render_json
from gypsumhall.timeline import render_text
from gypsumhall.timeline import Selection

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumhall.services._events import Event

_LISTS = {
    'log': 'Event logs to read, in addition to the arguments.',
    'admin_address': 'Admin addresses of daemons to ask, <ip>:<port>.',
    'code': 'Show only events with these codes; * stands for any text.',
    'zone': 'Show only events of these zones.',
    'daemon': 'Show only events of the daemons with these ids.',
    'move': 'Show only events about the moves with these ids.',
    'version': 'Show only events at or about these configuration versions.',
}


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    for name, description in _LISTS.items():
        flags.DEFINE_list(name, [], description, flag_values=values)
    flags.DEFINE_enum(
        'format',
        'text',
        ['text', 'json', 'none'],
        'How events are printed.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'html',
        '',
        'File for a page with one lane per process; empty for none.',
        flag_values=values,
    )
    flags.register_validator(
        'admin_address',
        lambda items: all(map(is_address, items)),
        message='expected <ip>:<port>, separated by commas',
        flag_values=values,
    )
    flags.register_validator(
        'version',
        lambda items: all(item.isdecimal() for item in items),
        message='expected integers, separated by commas',
        flag_values=values,
    )
    return values


def _read_settings(argv: Sequence[str]) -> tuple[flags.FlagValues, list[str]]:
    values = _define_flags()
    paths = [*parse_flags(values, argv), *values.log]
    if not paths and not values.admin_address:
        raise SettingsError(
            [
                Finding(
                    'no-log',
                    'give event logs as arguments, or --admin_address',
                    Place('command line'),
                )
            ]
        )
    return values, paths


def _write_html(path: str, events: list[Event], logs: Logs) -> None:
    with open(path, 'w', encoding='utf-8') as file:
        file.write(render_html(events, logs.findings))


def main(argv: Sequence[str] | None = None) -> int:
    """Merge event logs and show them.

    Parameters
    ----------
    argv : sequence of str, optional
        Command line; by default that of the process.

    Returns
    -------
    int
        Exit status: 0, also with malformed lines; 1 when a log could not be
        read or the page not be written; 2 for invalid settings.
    """
    try:
        values, paths = _read_settings(sys.argv if argv is None else argv)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    logs = Logs()
    read_files(logs, paths)
    if values.admin_address:
        trio.run(fetch_logs, logs, values.admin_address)
    selection = Selection(
        tuple(values.code),
        tuple(values.zone),
        tuple(values.daemon),
        tuple(values.move),
        tuple(int(item) for item in values.version),
    )
    events = [item for item in merge(logs.events) if selection.admits(item)]
    for finding in logs.findings:
        print(finding, file=sys.stderr)
    status = 1 if logs.unread else 0
    try:
        if values.html:
            _write_html(values.html, events, logs)
        if values.format != 'none':
            render = render_json if values.format == 'json' else render_text
            for line in render(events):
                print(line)
    except OSError as error:
        print(f'the time line cannot be written: {error}', file=sys.stderr)
        status = 1
    return status


if __name__ == '__main__':
    sys.exit(main())
