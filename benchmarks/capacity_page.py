"""Tables and plot of docs/CAPACITY.md, from benchmarks/results/capacity.json.

All extrapolations to the design scale are calculated here, from the measured
figures in that file, so that the page can be checked against them.
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
DAEMONS_PER_ZONE = DAEMONS // ZONES
SERVICES = 1900
CALLS_PER_S = 64
CHANGES_PER_S = 18_000 / 86_400
SUMMARIES_PER_CHANGE = 1
"""A zone reports a version once all its daemons have acknowledged it. In the
simulated zone, each child of a tree node receives one summary per change and
one per refresh."""
MEMBER_CHANGES_PER_S = 0.3
"""32 failures and 5,000 restarts a day, with about five changes each."""

MAX_BOOTSTRAP_JITTER_S = 0.5
CONTROLLER_RETRY_INTERVAL_S = 5.0
LEASE_RENEWAL_INTERVAL_S = 3.2
RESEEDING_DAEMONS_PER_ZONE = 4
RESEED_INTERVAL_S = 30.0

Row = tuple[str, ...]


def _table(header: Row, rows: Iterable[Row]) -> str:
    lines = [header, tuple('---' for _ in header), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def _evaluate_line(line: dict[str, float], x: float) -> float:
    return line['intercept'] + line['slope'] * x


def _per_call_ms(results: dict[str, Any]) -> float:
    row = next(
        item for item in results['calls'] if item['calls_per_s'] == CALLS_PER_S
    )
    return float(sum(row['cpu_ms_per_call'].values()))


def _find_run(
    results: dict[str, Any], size: int, readers: int
) -> dict[str, Any]:
    return next(
        item
        for item in results['spread']
        if (item['daemons'], item['readers']) == (size, readers)
    )


def _summary_bytes_per_s(zones: int) -> float:
    """Return bytes per second that a daemon receives in zone summaries."""
    size = len(
        _model.encode(
            ZoneSummary(
                'region-1-az-1',
                1_796_000_000_000,
                9000,
                DAEMONS_PER_ZONE,
                DAEMONS_PER_ZONE,
                18_000,
            )
        )
    )
    return (
        zones
        * size
        * (SUMMARIES_PER_CHANGE * CHANGES_PER_S + 1 / REFRESH_INTERVAL_S)
    )


def _bytes_per_s(results: dict[str, Any]) -> dict[str, float]:
    """Return bytes per second, sent plus received, at the design scale."""
    quiet = results['fleets'][-1]['quiet']['control_bytes_per_s_by_message']
    heartbeats = sum(
        quiet.get(name, 0.0)
        for name in ('Heartbeat', 'HeartbeatEcho', 'HeartbeatReply')
    )
    run = _find_run(results, DAEMONS_PER_ZONE, 3)
    joins = results['join'][-1]['bytes'] + results['bootstrap']['bytes']
    return {
        'heartbeats': heartbeats,
        'member changes on heartbeats': 2 * 155.0,
        'repair of tables': 2 * 125.0,
        'configuration, acknowledgements, summaries': 2.0
        * run['sent_bytes_per_s_per_daemon'],
        'handshakes and frames without message': quiet.get('none', 0.0),
        'summaries of the 19 other zones': 2.0
        * _summary_bytes_per_s(ZONES - 1),
        'urgent member changes': 2 * 51.0,
        'joins and bootstraps': 2 * joins * 5_000 / DAEMONS / 86_400,
    }


def _tree_position_table(results: dict[str, Any]) -> str:
    """Return the table of bytes per second by position in the trees."""
    run = _find_run(results, DAEMONS_PER_ZONE, 3)
    per_message = {
        name: run['bytes_per_change'][name] / count
        for name, count in run['messages_per_change'].items()
    }
    update = per_message['Update'] * CHANGES_PER_S
    acknowledgements = (
        run['bytes_per_change']['Acknowledgement']
        / DAEMONS_PER_ZONE
        * CHANGES_PER_S
    )
    announcements = (
        run['bytes_per_change']['Announcement']
        / DAEMONS_PER_ZONE
        * CHANGES_PER_S
    )
    summaries = _summary_bytes_per_s(ZONES)
    total = _bytes_per_s(results)
    base = sum(
        total[name]
        for name in total
        if not name.startswith(('configuration', 'summaries'))
    )
    received = base / 2 + 3 * update + announcements + summaries
    sent = base / 2 + announcements + acknowledgements
    rows = (
        ('leaf of all trees', sent, received),
        ('inner node of one tree', sent + 8 * update, received),
        (
            'inner node of the tree of acknowledgements',
            sent + 8 * update + 8 * summaries,
            received + 8 * acknowledgements,
        ),
        (
            'reader, root of one tree',
            sent + 8 * update - acknowledgements,
            received - update,
        ),
        (
            'reader, root of the tree of acknowledgements',
            sent + 8 * update + 8 * summaries,
            received + 8 * acknowledgements - update,
        ),
    )
    return _table(
        ('place', 'sent B/s', 'received B/s', 'sum', 'against 3,000'),
        [
            (
                name,
                f'{sent_per_s:.0f}',
                f'{received_per_s:.0f}',
                f'{sent_per_s + received_per_s:.0f}',
                'within'
                if sent_per_s + received_per_s <= 3000
                else '**exceeds**',
            )
            for name, sent_per_s, received_per_s in rows
        ],
    )


def _core_percent(results: dict[str, Any]) -> dict[str, float]:
    """Return the CPU use of the control traffic at the design scale.

    In percent of a core.
    """
    fleet = results['fleets'][-1]['quiet']['core_percent']
    install = results['install']['change_route']['apply_ms']
    return {
        'quiet daemon (heartbeats, timers)': fleet,
        'installs': install / 10 * CHANGES_PER_S,
        'member changes': results['merge']['merge_ms']
        / 10
        * MEMBER_CHANGES_PER_S,
    }


def _memory_mb(results: dict[str, Any]) -> dict[str, float]:
    fits = results['fits']
    return {
        'process with a fleet of 36': results['fleets'][-1]['rss_mb_most'],
        'configuration': _evaluate_line(
            fits['snapshot_mb_by_services'], SERVICES
        ),
        'member table': _evaluate_line(fits['table_mb_by_members'], DAEMONS),
        'bases of deltas (32 versions)': 2.4,
        '64 streams': 64 * 12 / 1024,
    }


def _budget_table(results: dict[str, Any]) -> str:
    fits = results['fits']
    sizes = [item['zones'] for item in results['platform']]
    last_install_ms = _find_run(results, DAEMONS_PER_ZONE, 3)['last_ms']['max']
    one_reader_ms = _find_run(results, DAEMONS_PER_ZONE, 1)['last_ms']['max']
    bootstrap = results['bootstrap']
    join = results['join'][-1]
    size = bootstrap['bytes'] + join['bytes']
    cpu_ms_per_call = _per_call_ms(results)
    added = next(
        item['added_ms']['p99']
        for item in results['calls']
        if item['calls_per_s'] == CALLS_PER_S
    )
    core = sum(_core_percent(results).values())
    capacity = 1000 / cpu_ms_per_call * (1 - core / 100)
    rows = []

    def row(
        quantity: str, value: str, budget: str, origin: str, ok: bool
    ) -> None:
        verdict = 'within' if ok else '**exceeds**'
        rows.append((quantity, value, budget, verdict, origin))

    for name, label in (
        ('quiet_by_zones', 'Platform calls/s, quiet day'),
        ('daily_by_zones', 'Platform calls/s, 18,000 changes a day'),
        ('burst_by_zones', 'Platform calls/s, 5 changes a second'),
    ):
        rate = _evaluate_line(fits[name], ZONES)
        watches = 3 * ZONES
        row(
            label,
            f'{rate:.0f}, plus {watches} waiting watches',
            '2,000',
            f'virtual clock, line through {sizes} zones',
            rate + watches < 2000,
        )
    rate = (
        3 * ZONES / CONTROLLER_RETRY_INTERVAL_S
        + ZONES * RESEEDING_DAEMONS_PER_ZONE / RESEED_INTERVAL_S
    )
    row(
        'Platform calls/s of campaigns for control and of looks for seeds',
        f'{rate:.0f}',
        '2,000',
        'calculated: 60 readers per 5 s, 80 daemons per 30 s',
        rate < 2000,
    )
    rate = 3 * ZONES / LEASE_RENEWAL_INTERVAL_S + 3 * CHANGES_PER_S
    row(
        'Platform writes/s, 18,000 changes a day',
        f'{rate:.0f}',
        'several hundred',
        'calculated: leases of 60 readers per 3.2 s, 3 writes per change',
        rate < 300,
    )
    peak_calls = {
        item['daemons']: item['most_per_s'] for item in results['zone_return']
    }
    row(
        'Platform calls in the busiest second of a zone that returns: readers',
        f'{max(peak_calls.values())}, does not grow with the zone',
        '2,000',
        f'virtual clock, {list(peak_calls)} daemons',
        max(peak_calls.values()) < 2000,
    )
    # Every daemon reads the head once, within the jitter of its bootstrap.
    rate = DAEMONS_PER_ZONE / MAX_BOOTSTRAP_JITTER_S
    row(
        'The same: reads of the version floor while no member is ready',
        f'{rate:.0f}',
        '2,000',
        'calculated: 1,250 reads of the head within 0.5 s',
        rate < 2000,
    )
    total = sum(_bytes_per_s(results).values())
    row(
        'Control bytes/s per daemon, sent plus received',
        f'{total:.0f}',
        '3,000',
        'see the split below',
        total < 3000,
    )
    row(
        'Last of 1,250 daemons, one inner node dead',
        f'{last_install_ms:.0f} ms with 3 readers, '
        f'{one_reader_ms:.0f} ms with 1',
        '3,000 ms',
        'measured: real replicas, 0.5 ms per hop assumed',
        max(last_install_ms, one_reader_ms) < 3000,
    )
    total = sum(_memory_mb(results).values())
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
        f'{DAEMONS_PER_ZONE * size / 1e9:.1f} GB in the zone',
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


def _breakdown_table(title: str, values: dict[str, float], digits: int) -> str:
    rows = [(key, f'{value:.{digits}f}') for key, value in values.items()]
    rows.append(('sum', f'{sum(values.values()):.{digits}f}'))
    return _table((title, 'value'), rows)


def _fleet_table(results: dict[str, Any]) -> str:
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
            for item in results['fleets']
        ],
    )


def _message_table(results: dict[str, Any]) -> str:
    item = results['fleets'][-1]
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


def _call_table(results: dict[str, Any]) -> str:
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
            for item in results['calls']
        ],
    )


def _fit_table(results: dict[str, Any]) -> str:
    return _table(
        ('line', 'slope', 'intercept', 'largest deviation'),
        [
            (
                name,
                f'{item["slope"]:.5g}',
                f'{item["intercept"]:.5g}',
                f'{item["deviation"]:.3g}',
            )
            for name, item in results['fits'].items()
        ],
    )


def _run_summary(results: dict[str, Any]) -> str:
    loads = ', '.join(
        f'{name} {value:.1f}'
        for name, value in results['load_average'].items()
    )
    return (
        f'Taken on {results["cores"]} cores with Python '
        f'{results["python"]} in {results["seconds"]:.0f} s of the last '
        f'start. Load averages: {loads}.'
    )


def _plot(results: dict[str, Any]) -> None:
    # With a fixed salt and no date, equal figures give an equal file.
    plt.rcParams['svg.hashsalt'] = 'gypsumhall'
    figure, axes = plt.subplots(1, 3, figsize=(12, 3.6))
    fleets = results['fleets']
    sizes = [item['daemons'] for item in fleets]
    for name, label in (('quiet', 'quiet'), ('changes', '2 changes/s')):
        rates = [item[name]['control_bytes_per_s'] for item in fleets]
        axes[0].plot(sizes, rates, 'o-', label=label)
    axes[0].axhline(3000, color='grey', linestyle=':', label='budget')
    axes[0].set(xlabel='daemons', ylabel='control B/s per daemon')
    for readers in (1, 3):
        rows = [x for x in results['spread'] if x['readers'] == readers]
        axes[1].plot(
            [item['daemons'] for item in rows],
            [item['last_ms']['max'] for item in rows],
            'o-',
            label=f'{readers} readers, one node dead',
        )
    axes[1].set(xlabel='daemons in the zone', ylabel='last install, ms')
    calls = results['calls']
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


def redraw(results: dict[str, Any]) -> None:
    """Rewrite the plot, and the tables between the markers of the page."""
    parts = {
        'run': _run_summary(results),
        'answers': _budget_table(results),
        'bytes': _breakdown_table('B/s per daemon', _bytes_per_s(results), 0),
        'places': _tree_position_table(results),
        'core': _breakdown_table('% of a core', _core_percent(results), 3),
        'memory': _breakdown_table('MB', _memory_mb(results), 1),
        'fleets': _fleet_table(results),
        'messages': _message_table(results),
        'calls': _call_table(results),
        'fits': _fit_table(results),
    }
    text = PAGE.read_text()
    for name, part in parts.items():
        begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
        pattern = f'{re.escape(begin)}.*?{re.escape(end)}'
        section = f'{begin}\n{part}\n{end}'
        text, count = re.subn(
            pattern, lambda _, section=section: section, text, flags=re.DOTALL
        )
        if count != 1:
            raise ValueError(
                f'{PAGE.name} must contain the markers of {name!r} once'
            )
    PAGE.write_text(text)
    _plot(results)
