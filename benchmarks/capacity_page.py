"""Tables and plot of docs/CAPACITY.md, from benchmarks/results/capacity.json.

Everything that is extrapolated to the design scale is worked out here, so
that the page can be checked against the raw figures.
"""

from __future__ import annotations

import pathlib
import re
from typing import Any
from typing import TYPE_CHECKING

import matplotlib as mpl

from gypsumhall.core import _model
from gypsumhall.core._acknowledgements import REFRESH_INTERVAL_S
from gypsumhall.net._messages import ZoneSummary

if TYPE_CHECKING:
    from collections.abc import Iterable

mpl.use('svg')

from matplotlib import pyplot as plt  # noqa: E402 - after `use`

DOCS = pathlib.Path(__file__).parents[1] / 'docs'
PAGE = DOCS / 'CAPACITY.md'
PLOT = DOCS / 'capacity.svg'

TEXT = """\
department: capacity
services:
  availability:
    versions: [v1, v2]
routes:
  search:
    host: spa.example
    path: /search
    service: availability
    timeout: {timeout}s
"""

DAEMONS = 25_000
ZONES = 20
ZONE = DAEMONS // ZONES
SERVICES = 1900
CALLS_PER_S = 64
CHANGES_PER_S = 18_000 / 86_400
SUMMARIES_PER_CHANGE = 1
"""A zone reports a version once all of it has acknowledged it: the simulated
zone sends each child one message per change, and one per refresh."""
MEMBER_CHANGES_PER_S = 0.3
"""32 failures and 5,000 restarts a day, each with about five changes."""

BOOTSTRAP_JITTER_S = 0.5
CONTROLLER_RETRY_S = 5.0
LEASE_RENEWAL_S = 3.2
RESEEDERS = 4
RESEED_S = 30.0

Row = tuple[str, ...]


def _table(header: Row, rows: Iterable[Row]) -> str:
    lines = [header, tuple('---' for _ in header), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def _at(line: dict[str, float], x: float) -> float:
    return line['intercept'] + line['slope'] * x


def _per_call_ms(found: dict[str, Any]) -> float:
    row = next(
        item for item in found['calls'] if item['calls_per_s'] == CALLS_PER_S
    )
    return float(sum(row['cpu_ms_per_call'].values()))


def _spread(found: dict[str, Any], size: int, readers: int) -> dict[str, Any]:
    return next(
        item
        for item in found['spread']
        if (item['daemons'], item['readers']) == (size, readers)
    )


def _summaries(zones: int) -> float:
    """Return bytes a second that a daemon receives about other zones."""
    size = len(
        _model.encode(
            ZoneSummary(
                'region-1-az-1', 1_796_000_000_000, 9000, ZONE, ZONE, 18_000
            )
        )
    )
    return (
        zones
        * size
        * (SUMMARIES_PER_CHANGE * CHANGES_PER_S + 1 / REFRESH_INTERVAL_S)
    )


def _bytes(found: dict[str, Any]) -> dict[str, float]:
    """Return bytes a second, sent plus received, at the design scale."""
    quiet = found['fleets'][-1]['quiet']['control_bytes_per_s_by_message']
    heartbeats = sum(
        quiet.get(name, 0.0)
        for name in ('Heartbeat', 'HeartbeatEcho', 'HeartbeatReply')
    )
    spread = _spread(found, ZONE, 3)
    joins = found['join'][-1]['bytes'] + found['bootstrap']['bytes']
    return {
        'heartbeats': heartbeats,
        'member changes on heartbeats': 2 * 155.0,
        'repair of tables': 2 * 125.0,
        'configuration, acknowledgements, summaries': 2.0
        * spread['sent_bytes_per_s_per_daemon'],
        'handshakes and frames without message': quiet.get('none', 0.0),
        'summaries of the 19 other zones': 2.0 * _summaries(ZONES - 1),
        'urgent member changes': 2 * 51.0,
        'joins and bootstraps': 2 * joins * 5_000 / DAEMONS / 86_400,
    }


def _places(found: dict[str, Any]) -> str:
    """Return the table of bytes a second at each place of the trees."""
    spread = _spread(found, ZONE, 3)
    per_message = {
        name: spread['bytes_per_change'][name] / count
        for name, count in spread['messages_per_change'].items()
    }
    update = per_message['Update'] * CHANGES_PER_S
    report = (
        spread['bytes_per_change']['Acknowledgement'] / ZONE * CHANGES_PER_S
    )
    announced = (
        spread['bytes_per_change']['Announcement'] / ZONE * CHANGES_PER_S
    )
    summaries = _summaries(ZONES)
    total = _bytes(found)
    base = sum(
        total[name]
        for name in total
        if not name.startswith(('configuration', 'summaries'))
    )
    received = base / 2 + 3 * update + announced + summaries
    sent = base / 2 + announced + report
    rows = (
        ('leaf of all trees', sent, received),
        ('inner node of one tree', sent + 8 * update, received),
        (
            'inner node of the tree of acknowledgements',
            sent + 8 * update + 8 * summaries,
            received + 8 * report,
        ),
        (
            'reader, root of one tree',
            sent + 8 * update - report,
            received - update,
        ),
        (
            'reader, root of the tree of acknowledgements',
            sent + 8 * update + 8 * summaries,
            received + 8 * report - update,
        ),
    )
    return _table(
        ('place', 'sent B/s', 'received B/s', 'sum', 'against 3,000'),
        [
            (
                name,
                f'{out:.0f}',
                f'{into:.0f}',
                f'{out + into:.0f}',
                'within' if out + into <= 3000 else '**exceeds**',
            )
            for name, out, into in rows
        ],
    )


def _core(found: dict[str, Any]) -> dict[str, float]:
    """Return shares of a core in percent for control at the design scale."""
    fleet = found['fleets'][-1]['quiet']['core_percent']
    install = found['install']['change_route']['apply_ms']
    return {
        'quiet daemon (heartbeats, timers)': fleet,
        'installs': install / 10 * CHANGES_PER_S,
        'member changes': found['merge']['merge_ms']
        / 10
        * MEMBER_CHANGES_PER_S,
    }


def _memory(found: dict[str, Any]) -> dict[str, float]:
    fits = found['fits']
    return {
        'process with a fleet of 36': found['fleets'][-1]['rss_mb_most'],
        'configuration': _at(fits['snapshot_mb_by_services'], SERVICES),
        'member table': _at(fits['table_mb_by_members'], DAEMONS),
        'bases of deltas (32 versions)': 2.4,
        '64 streams': 64 * 12 / 1024,
    }


def _answers(found: dict[str, Any]) -> str:
    fits = found['fits']
    sizes = [item['zones'] for item in found['platform']]
    spread = _spread(found, ZONE, 3)['last_ms']['max']
    slow = _spread(found, ZONE, 1)['last_ms']['max']
    bootstrap = found['bootstrap']
    join = found['join'][-1]
    size = bootstrap['bytes'] + join['bytes']
    call = _per_call_ms(found)
    added = next(
        item['added_ms']['p99']
        for item in found['calls']
        if item['calls_per_s'] == CALLS_PER_S
    )
    core = sum(_core(found).values())
    capacity = 1000 / call * (1 - core / 100)
    rows = []

    def row(
        question: str, value: str, budget: str, origin: str, ok: bool
    ) -> None:
        verdict = 'within' if ok else '**exceeds**'
        rows.append((question, value, budget, verdict, origin))

    for name, label in (
        ('quiet_by_zones', 'Platform calls/s, quiet day'),
        ('daily_by_zones', 'Platform calls/s, 18,000 changes a day'),
        ('burst_by_zones', 'Platform calls/s, 5 changes a second'),
    ):
        rate = _at(fits[name], ZONES)
        watches = 3 * ZONES
        row(
            label,
            f'{rate:.0f}, plus {watches} waiting watches',
            '2,000',
            f'virtual clock, line through {sizes} zones',
            rate + watches < 2000,
        )
    rate = 3 * ZONES / CONTROLLER_RETRY_S + ZONES * RESEEDERS / RESEED_S
    row(
        'Platform calls/s of campaigns for control and of looks for seeds',
        f'{rate:.0f}',
        '2,000',
        'calculated: 60 readers per 5 s, 80 daemons per 30 s',
        rate < 2000,
    )
    rate = 3 * ZONES / LEASE_RENEWAL_S + 3 * CHANGES_PER_S
    row(
        'Platform writes/s, 18,000 changes a day',
        f'{rate:.0f}',
        'several hundred',
        'calculated: leases of 60 readers per 3.2 s, 3 writes per change',
        rate < 300,
    )
    returned = {
        item['daemons']: item['most_per_s'] for item in found['zone_return']
    }
    row(
        'Platform calls in the busiest second of a zone that returns: readers',
        f'{max(returned.values())}, does not grow with the zone',
        '2,000',
        f'virtual clock, {list(returned)} daemons',
        max(returned.values()) < 2000,
    )
    # Every daemon reads the head within the jitter of its bootstrap.
    rate = ZONE / BOOTSTRAP_JITTER_S
    row(
        'The same: reads of the version floor while no member is ready',
        f'{rate:.0f}',
        '2,000',
        'calculated: 1,250 reads of the head within 0.5 s',
        rate < 2000,
    )
    total = sum(_bytes(found).values())
    row(
        'Control bytes/s per daemon, sent plus received',
        f'{total:.0f}',
        '3,000',
        'see the split below',
        total < 3000,
    )
    row(
        'Last of 1,250 daemons, one inner node dead',
        f'{spread:.0f} ms with 3 readers, {slow:.0f} ms with 1',
        '3,000 ms',
        'measured: real replicas, 0.5 ms per hop assumed',
        max(spread, slow) < 3000,
    )
    total = sum(_memory(found).values())
    row(
        'Memory of a daemon',
        f'{total:.0f} MB',
        '256 MB',
        'see the split below',
        total < 256,
    )
    row(
        'Bytes of a start',
        f'{size / 1e6:.2f} MB',
        'none given',
        'measured (configuration and table of 25,000)',
        True,
    )
    row(
        'Bytes of 1,250 starts at once',
        f'{ZONE * size / 1e9:.1f} GB in the zone',
        'none given',
        'calculated from one start',
        True,
    )
    row(
        'Share of a core for control',
        f'{core:.2f} %',
        '2.8 %',
        'see the split below',
        core < 2.8,
    )
    row(
        'Time added to a call, 99 in 100, at 64 calls/s',
        f'{added:.2f} ms',
        '1.3 ms',
        'measured',
        added <= 1.3,
    )
    row(
        'Calls/s of one daemon as sender and runner, one core',
        f'{capacity:.0f}',
        '64',
        'calculated from processor time per call',
        capacity >= 64,
    )
    row(
        'Time added to a chain of 13 calls, 99 in 100 for each',
        f'{13 * added:.1f} ms',
        '16.9 ms',
        'calculated, 13 times one call',
        added <= 1.3,
    )
    header = ('question', 'figure', 'budget', 'verdict', 'origin')
    return _table(header, rows)


def _parts(title: str, values: dict[str, float], digits: int) -> str:
    rows = [(key, f'{value:.{digits}f}') for key, value in values.items()]
    rows.append(('sum', f'{sum(values.values()):.{digits}f}'))
    return _table((title, 'value'), rows)


def _fleets(found: dict[str, Any]) -> str:
    return _table(
        (
            'daemons',
            'load average',
            'B/s quiet',
            'B/s at 2 changes/s',
            'core % quiet',
            'core % at 2 changes/s',
            'RSS MB',
            'platform calls/s quiet',
            'last install ms, median and most',
            'start to ready s, slowest',
        ),
        [
            (
                str(item['daemons']),
                f'{item["load_average"]:.1f}',
                f'{item["quiet"]["control_bytes_per_s"]:.0f}',
                f'{item["changes"]["control_bytes_per_s"]:.0f}',
                f'{item["quiet"]["core_percent"]:.2f}',
                f'{item["changes"]["core_percent"]:.2f}',
                f'{item["rss_mb"]:.1f}',
                f'{item["quiet"]["platform_calls_per_s"]:.1f}',
                f'{item["last_ms_median"]:.0f}, {item["last_ms_max"]:.0f}',
                f'{item["start_to_ready_s_max"]:.1f}',
            )
            for item in found['fleets']
        ],
    )


def _messages(found: dict[str, Any]) -> str:
    item = found['fleets'][-1]
    quiet = item['quiet']['control_bytes_per_s_by_message']
    changes = item['changes']['control_bytes_per_s_by_message']
    return _table(
        ('message', 'B/s quiet', 'B/s at 2 changes/s'),
        [
            (name, f'{quiet.get(name, 0):.1f}', f'{changes.get(name, 0):.1f}')
            for name in sorted(
                {*quiet, *changes}, key=lambda key: -changes.get(key, 0)
            )
        ],
    )


def _calls(found: dict[str, Any]) -> str:
    return _table(
        (
            'calls/s',
            'load average',
            'added ms p50',
            'added ms p99',
            'CPU ms sender',
            'CPU ms runner',
        ),
        [
            (
                f'{item["calls_per_s"]}',
                f'{item["load_average"]:.1f}',
                f'{item["added_ms"]["p50"]:.2f}',
                f'{item["added_ms"]["p99"]:.2f}',
                f'{item["cpu_ms_per_call"]["sender"]:.2f}',
                f'{item["cpu_ms_per_call"]["runner"]:.2f}',
            )
            for item in found['calls']
        ],
    )


def _fit_rows(found: dict[str, Any]) -> str:
    return _table(
        ('line', 'slope', 'intercept', 'largest deviation'),
        [
            (
                name,
                f'{item["slope"]:.5g}',
                f'{item["intercept"]:.5g}',
                f'{item["deviation"]:.3g}',
            )
            for name, item in found['fits'].items()
        ],
    )


def _run(found: dict[str, Any]) -> str:
    loads = ', '.join(
        f'{name} {value:.1f}' for name, value in found['load_average'].items()
    )
    return (
        f'Taken on {found["cores"]} cores with Python {found["python"]} in '
        f'{found["seconds"]:.0f} s of the last start. Load averages: {loads}.'
    )


def _plot(found: dict[str, Any]) -> None:
    # Without these the file changes with every run.
    plt.rcParams['svg.hashsalt'] = 'gypsumhall'
    figure, axes = plt.subplots(1, 3, figsize=(12, 3.6))
    fleets = found['fleets']
    sizes = [item['daemons'] for item in fleets]
    for name, label in (('quiet', 'quiet'), ('changes', '2 changes/s')):
        rates = [item[name]['control_bytes_per_s'] for item in fleets]
        axes[0].plot(sizes, rates, 'o-', label=label)
    axes[0].axhline(3000, color='grey', linestyle=':', label='budget')
    axes[0].set(xlabel='daemons', ylabel='control B/s per daemon')
    for readers in (1, 3):
        rows = [x for x in found['spread'] if x['readers'] == readers]
        axes[1].plot(
            [item['daemons'] for item in rows],
            [item['last_ms']['max'] for item in rows],
            'o-',
            label=f'{readers} readers, one node dead',
        )
    axes[1].set(xlabel='daemons in the zone', ylabel='last install, ms')
    calls = found['calls']
    axes[2].plot(
        [item['calls_per_s'] for item in calls],
        [item['added_ms']['p99'] for item in calls],
        'o-',
        label='p99',
    )
    axes[2].axhline(1.3, color='grey', linestyle=':', label='budget')
    axes[2].set(xlabel='calls/s', ylabel='time added to a call, ms')
    for axis in axes:
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(PLOT, metadata={'Date': None})
    text = PLOT.read_text()
    PLOT.write_text('\n'.join(x.rstrip() for x in text.splitlines()) + '\n')


def redraw(found: dict[str, Any]) -> None:
    """Rewrite the plot and the tables between the markers of the page."""
    parts = {
        'run': _run(found),
        'answers': _answers(found),
        'bytes': _parts('B/s per daemon', _bytes(found), 0),
        'places': _places(found),
        'core': _parts('% of a core', _core(found), 3),
        'memory': _parts('MB', _memory(found), 1),
        'fleets': _fleets(found),
        'messages': _messages(found),
        'calls': _calls(found),
        'fits': _fit_rows(found),
    }
    text = PAGE.read_text()
    for name, part in parts.items():
        begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
        pattern = f'{re.escape(begin)}.*?{re.escape(end)}'
        whole = f'{begin}\n{part}\n{end}'
        text, count = re.subn(
            pattern, lambda _, whole=whole: whole, text, flags=re.DOTALL
        )
        if count != 1:
            raise ValueError(f'{PAGE.name} needs markers of {name!r} once')
    PAGE.write_text(text)
    _plot(found)
