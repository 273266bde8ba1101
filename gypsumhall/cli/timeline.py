"""Binary ``gypsumhall-timeline``: one time line of many processes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import Finding
from gypsumhall._errors import Place
from gypsumhall.cli._settings import run_binary
from gypsumhall.cli._settings import Settings
from gypsumhall.timeline import EventFilter
from gypsumhall.timeline import fetch_logs
from gypsumhall.timeline import Logs
from gypsumhall.timeline import merge
from gypsumhall.timeline import read_files
from gypsumhall.timeline import render_html
from gypsumhall.timeline import render_json
from gypsumhall.timeline import render_text

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumhall.services._events import Event

_USAGE = """\
usage: gypsumhall-timeline [flags] [event log]...

Merges event logs into one time line in which no effect comes before its
cause. Logs are files, given as arguments or with --log, and those of running
daemons, given with --admin_address. Findings about the logs go to standard
error.
"""
_NOTES = """\
Exit status: 0, also with malformed lines; 1 when a log could not be read or
the page not be written; 2 for invalid settings.
"""


def _version(text: str) -> int:
    if not text.isdecimal():
        raise ValueError('expected integers, separated by commas')
    return int(text)


def _write_html(path: str, events: list[Event], logs: Logs) -> None:
    with open(path, 'w', encoding='utf-8') as file:
        file.write(render_html(events, logs.findings))


def _show(logs: Logs, selection: EventFilter, form: str, html: str) -> int:
    """Print and write the selected events and return the exit status."""
    events = [item for item in merge(logs.events) if selection.matches(item)]
    for finding in logs.findings:
        print(finding, file=sys.stderr)
    try:
        if html:
            _write_html(html, events, logs)
        if form != 'none':
            render = render_json if form == 'json' else render_text
            for line in render(events):
                print(line)
    except OSError as error:
        print(f'the time line cannot be written: {error}', file=sys.stderr)
        return 1
    return 1 if logs.unreadable_count else 0


def main(argv: Sequence[str] | None = None) -> int:
    """Merge event logs and show them.

    Parameters
    ----------
    argv : sequence of str, optional
        Command line; by default that of the process.

    Returns
    -------
    int
        Exit status, see ``--help``.
    """
    settings = Settings(
        'gypsumhall-timeline', _USAGE, _NOTES, positionals=True
    )
    files = settings.items(
        'log', (), 'Event logs to read, in addition to the arguments.', str
    )
    daemons = settings.addresses(
        'admin_address',
        (),
        'Admin addresses of daemons to ask, <ip>:<port>.',
        hosts=False,
    )
    codes = settings.items(
        'code',
        (),
        'Show only events with these codes; * stands for any text.',
        str,
    )
    zones = settings.items('zone', (), 'Show only events of these zones.', str)
    ids = settings.items(
        'daemon', (), 'Show only events of the daemons with these ids.', str
    )
    moves = settings.items(
        'move', (), 'Show only events about the moves with these ids.', str
    )
    versions = settings.items(
        'version',
        (),
        'Show only events at or about these configuration versions.',
        _version,
    )
    form = settings.string(
        'format',
        'text',
        'How events are printed: text, json or none.',
        choices=('text', 'json', 'none'),
    )
    html = settings.string(
        'html', '', 'File for a page with one lane per process.'
    )

    def check(names: list[str]) -> list[Finding]:
        if names or files.value or daemons.value:
            return []
        message = 'give event logs as arguments, or --admin_address'
        return [Finding('no-log', message, Place('command line'))]

    def start(names: list[str]) -> int:
        logs = Logs()
        read_files(logs, [*names, *files.value])
        if daemons.value:
            trio.run(fetch_logs, logs, daemons.value)
        selection = EventFilter(
            codes.value, zones.value, ids.value, moves.value, versions.value
        )
        return _show(logs, selection, form.value, html.value)

    return run_binary(settings, argv, start, check)


if __name__ == '__main__':
    sys.exit(main())
