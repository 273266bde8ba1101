"""Tests of the timeline of many processes."""

from __future__ import annotations

import json
from pathlib import Path
import random
from typing import Any
from typing import TYPE_CHECKING
import xml.etree.ElementTree as ElementTree

import pytest
import trio

from gypsumhall import timeline
from gypsumhall.cli import timeline as cli
from gypsumhall.services._events import EventLog
from gypsumhall.testing.http_network import HttpNetwork

if TYPE_CHECKING:
    from trio.testing import MockClock


def _simulate_messages(seed: int, steps: int = 300) -> dict[str, EventLog]:
    """Return the logs of daemons with wrong clocks that exchange messages."""
    rng = random.Random(seed)
    now = 1_796_366_400.0
    offsets = [rng.uniform(-1, 1) for _ in range(4)]
    logs = {
        f'd{index}': EventLog(
            f'd{index}',
            f'az-{index % 2}',
            path='/dev/null',
            wall=lambda offset=offset: now + offset,
        )
        for index, offset in enumerate(offsets)
    }
    for step in range(steps):
        now += rng.uniform(0, 0.01)
        sender, receiver = rng.sample(sorted(logs), 2)
        logs[sender].emit('message-sent', step=step, move='spa/move')
        logs[receiver].clock.observe(logs[sender].clock.last)
        logs[receiver].emit('message-received', step=step)
    return logs


def _write_logs(path: Path, logs: dict[str, EventLog]) -> list[str]:
    paths = []
    for name, log in logs.items():
        file = path / f'{name}.jsonl'
        file.write_bytes(log.lines_since(0))
        paths.append(str(file))
    return paths


@pytest.mark.parametrize('seed', range(5))
def test_causal_order_with_wrong_clocks(
    tmp_path: Path, capsys: Any, seed: int
) -> None:
    paths = _write_logs(tmp_path, _simulate_messages(seed))
    assert cli.main(['timeline', '--format=json', *paths, paths[0]]) == 0
    output = capsys.readouterr()
    assert output.err == ''
    events = [json.loads(line) for line in output.out.splitlines()]
    assert len(events) == 600
    sent = set()
    for event in events:
        if event['code'] == 'message-sent':
            sent.add(event['fields']['step'])
        else:
            assert event['fields']['step'] in sent
    wall = [event['wall'] for event in events]
    assert wall != sorted(wall)


@pytest.mark.parametrize(
    ('flags', 'count'),
    [
        (['--code=message-s*'], 300),
        (['--code=message-sent,message-received', '--zone=az-9'], 0),
        (['--move=spa/move'], 300),
        (['--move=spa/move', '--code=message-received'], 0),
        (['--version=0'], 600),
        (['--version=3'], 0),
        (['--daemon=d0,d1,d2,d3'], 600),
    ],
)
def test_events_are_filtered(
    tmp_path: Path, capsys: Any, flags: list[str], count: int
) -> None:
    paths = _write_logs(tmp_path, _simulate_messages(1))
    assert cli.main(['timeline', *flags, *paths]) == 0
    assert len(capsys.readouterr().out.splitlines()) == count


def test_malformed_lines_and_unreadable_logs_are_reported(
    tmp_path: Path, capsys: Any
) -> None:
    (damaged_path, *rest) = _write_logs(tmp_path, _simulate_messages(1, 20))
    damaged = Path(damaged_path)
    lines = damaged.read_bytes().splitlines()
    assert len(lines) > 5
    lines[1] = b'{"index": "one"}'
    lines[2] = lines[2][:40]
    lines[3] = lines[3].replace(b'"hlc":', b'"hlc":-')
    lines.insert(0, b'\xff\x00 not JSON')
    damaged.write_bytes(b'\n'.join(lines))
    page = tmp_path / 'page.html'
    missing = str(tmp_path / 'missing.jsonl')
    status = cli.main(
        ['timeline', f'--html={page}', damaged_path, *rest, missing],
    )
    output = capsys.readouterr()
    assert status == 1
    assert len(output.out.splitlines()) == 40 - 3
    for line in (1, 3, 4, 5):
        assert f'{damaged_path}:{line}:1: malformed-line' in output.err
    assert f'{damaged_path}:6:1: missing-events: events 2 to 4' in output.err
    assert f'{missing}: unreadable-log' in output.err
    assert page.read_text().count('malformed-line') == 4


def test_html_page_has_a_lane_per_daemon(tmp_path: Path, capsys: Any) -> None:
    logs = _simulate_messages(1, 10)
    logs['d0'].emit('hostile', text='</title><script>alert(1)\x1b[2J')
    page = tmp_path / 'page.html'
    paths = _write_logs(tmp_path, logs)
    assert cli.main(['timeline', f'--html={page}', *paths]) == 0
    assert '\x1b' not in capsys.readouterr().out
    text = page.read_text()
    assert '<script>' not in text
    svg = ElementTree.fromstring(
        text[text.index('<svg') : text.index('</svg>') + 6]
    )
    circles = svg.findall('circle')
    assert len(circles) == 21
    assert 'message-sent at 2026-' in str(circles[0][0].text)
    labels = [item.text for item in svg.findall('text')]
    assert labels[:6] == ['az-0', 'd0', 'd2', 'az-1', 'd1', 'd3']
    # Lanes do not overlap: each of the 4 has at most 3 vertical positions.
    assert len({circle.get('cy') for circle in circles}) <= 3 * 4
    assert cli.main(['timeline', f'--html={page}', '--zone=x', *paths]) == 0
    assert '0 events' in page.read_text()


async def test_logs_are_fetched_from_daemons(
    autojump_clock: MockClock,
) -> None:
    log = _simulate_messages(1)['d0']

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        assert scope['path'] == '/events'
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': []}
        )
        body = log.lines_since(0)
        await send({'type': 'http.response.body', 'body': body})

    async def hang(scope: Any, receive: Any, send: Any) -> None:
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        network = HttpNetwork(nursery)
        network.listen('127.0.0.1:1', serve)
        network.listen('127.0.0.1:2', hang)
        network.unreachable.add('127.0.0.1:4')
        logs = timeline.Logs()
        addresses = [f'127.0.0.1:{port}' for port in (1, 2, 3, 4)]
        await timeline.fetch_logs(logs, addresses, network_backend=network)
        nursery.cancel_scope.cancel()
    assert logs.events == log.since(0)
    assert logs.unreadable_count == 3
    assert [item.location.source for item in logs.findings] == addresses[1:]


@pytest.mark.parametrize(
    ('argv', 'message'),
    [
        ([], 'no-log'),
        (['--version=one', 'x'], 'expected integers'),
        (['--admin_address=host:1'], 'expected <ip>:<port>'),
        (['--format=xml', 'x'], 'text'),
    ],
)
def test_invalid_settings_are_rejected(
    capsys: Any, argv: list[str], message: str
) -> None:
    assert cli.main(['timeline', *argv]) == 2
    assert message in capsys.readouterr().err


def test_flags_are_read_from_the_environment(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: Any
) -> None:
    paths = _write_logs(tmp_path, _simulate_messages(1))
    monkeypatch.setenv('GYPSUMHALL_LOG', ','.join(paths))
    monkeypatch.setenv('GYPSUMHALL_ZONE', 'az-9')
    assert cli.main(['timeline']) == 0
    assert capsys.readouterr().out == ''
    assert cli.main(['timeline', '--zone=az-0,az-1']) == 0
    assert len(capsys.readouterr().out.splitlines()) == 600
    monkeypatch.setenv('GYPSUMHALL_FORMAT', 'xml')
    assert cli.main(['timeline']) == 2
    assert 'GYPSUMHALL_FORMAT: bad-setting' in capsys.readouterr().err
