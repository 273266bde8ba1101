"""Tests of the event log and of the metric registry."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any
from typing import TYPE_CHECKING

import pytest
import trio

from gypsumhall.kernel import Kernel
from gypsumhall.services import _events
from gypsumhall.services import _metrics
from gypsumhall.services._protocols import AdminRequest
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeDistribution

if TYPE_CHECKING:
    from pathlib import Path


def test_writer_drops_lines_and_never_blocks_if_the_reader_stops() -> None:
    """Guards against requests that wait for the reader of the log."""
    reading, writing = os.pipe()
    writer = _events.NonBlockingWriter(writing)
    line = 'x' * 999 + '\n'
    for _ in range(2000):
        writer.write(line)
    assert 1000 < writer.dropped < 2000
    read = bytearray()
    while len(read) < (2000 - writer.dropped) * len(line):
        read += os.read(reading, 1 << 20)
        writer.write('')
    assert read.count(b'\n') == 2000 - writer.dropped
    assert set(bytes(read).split(b'\n')) == {line[:-1].encode(), b''}
    os.close(reading)
    os.close(writing)


async def test_lines_beyond_the_rate_limit_are_counted(tmp_path: Path) -> None:
    """Guards against bursts of events that use up the CPU time.

    Failures are logged nevertheless.
    """
    path = tmp_path / 'events.jsonl'
    now = 0.0
    log = _events.EventLog(
        'd1', 'az-1', path=str(path), wall=lambda: now, lines_per_s=10.0
    )
    kernel = Kernel()
    kernel.register(log)
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        for _ in range(100):
            log.emit('request-refused')
        log.emit('request-failed')
        now = 60.0
        log.emit('request-refused')
        nursery.cancel_scope.cancel()
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    codes = [line['code'] for line in lines]
    assert codes.count('request-refused') == 21
    assert codes.count('request-failed') == 1
    omitted = [
        line['fields']['lines']
        for line in lines
        if line['code'] == 'lines-omitted'
    ]
    assert omitted == [80]


async def test_events_are_written_as_json_lines_and_stored(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'events.jsonl'
    one = _events.EventLog('d1', 'az-1', path=str(path))
    other = _events.EventLog('d2', 'az-1', path=str(tmp_path / 'other'))
    distribution = FakeDistribution()
    async with trio.open_nursery() as nursery:
        for log in (one, other):
            kernel = Kernel()
            kernel.register(log)
            kernel.register(distribution)
            await nursery.start(kernel.run)
        one.emit('first', text='{"braces}', number=2.5)
        fragment = builders.build_fragment()
        distribution.publish(
            builders.build_head([fragment], version=7), [fragment]
        )
        other.emit('elsewhere')
        one.clock.observe(one.clock.now() + (1000 << 16))
        one.emit('second', path=tmp_path, odd={1: {2}})
        nursery.cancel_scope.cancel()
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [line['code'] for line in lines] == ['first', 'second']
    assert lines[0]['fields'] == {'text': '{"braces}', 'number': 2.5}
    assert lines[1]['fields']['path'] == str(tmp_path)
    assert [line['version'] for line in lines] == [0, 7]
    assert lines[0]['hlc'] + (1000 << 16) <= lines[1]['hlc']
    assert [event.hlc for event in one.since(0)] == [
        line['hlc'] for line in lines
    ]


async def test_memory_for_events_is_bounded() -> None:
    log = _events.EventLog('d1', 'az-1', path='/dev/null')
    for _ in range(_events.MAX_STORED_EVENTS + 10):
        log.emit('many')
    log.emit('long', text='x' * _events.MAX_EVENT_BYTES)
    stored_events = log.since(0)
    assert len(stored_events) == _events.MAX_STORED_EVENTS
    assert [stored_events[0].index, stored_events[-1].index] == [12, 4107]
    assert 'omitted_bytes' in stored_events[-1].fields
    with pytest.raises(ValueError, match='Not A Code'):
        log.emit('Not A Code')


@pytest.mark.parametrize(
    ('query', 'status', 'lines'),
    [({}, 200, 3), ({'since': '2'}, 200, 1), ({'since': 'x'}, 400, 1)],
)
async def test_events_are_served_as_json_lines(
    query: dict[str, str], status: int, lines: int
) -> None:
    log = _events.EventLog('d1', 'az-1', path='/dev/null')
    for _ in range(3):
        log.emit('some-code')
    handle = _events.events_handler(log)
    response = await handle(AdminRequest('GET', '/events', query))
    assert response.status == status
    assert len(response.body.splitlines()) == lines


async def test_metrics_are_rendered_and_bounded() -> None:
    metrics = _metrics.MetricRegistry()
    calls = metrics.counter('calls_total', 'Calls')
    calls.add(call='get')
    assert metrics.counter('calls_total', 'Calls') is calls
    metrics.counter('calls_total', 'Calls').add(2, call='get')
    metrics.gauge('held', 'Held').set(1)
    metrics.histogram('seconds', 'Seconds').add(0.003, call='get')
    for index in range(_metrics.MAX_SERIES + 10):
        calls.add(peer=str(index))
    handle = _metrics.metrics_handler(metrics)
    response = await handle(AdminRequest('GET', '/metrics'))
    text = response.body.decode()
    assert response.content_type.startswith('text/plain')
    assert 'calls_total{call="get"} 3' in text
    assert 'held 1' in text
    calls.add(call='get')
    again = (await handle(AdminRequest('GET', '/metrics'))).body.decode()
    assert 'calls_total{call="get"} 4' in again
    assert 'seconds_bucket{call="get",le="0.005"} 1' in text
    assert 'gypsumhall_metrics_dropped_total{metric="calls_total"} 11' in text
    for use in (
        lambda: calls.set(3),
        lambda: metrics.gauge('calls_total', 'Calls'),
    ):
        with pytest.raises(_metrics.MetricError, match='counter'):
            use()


def test_values_without_a_json_form_do_not_lose_the_event() -> None:
    log = _events.EventLog('d1', 'az-1', path='/dev/null')
    loop: list[Any] = []
    loop.append(loop)
    log.emit('recursive', value=loop)
    assert b'unencodable' in log.lines_since(0)


_LOG_DETAIL_AND_WARNING = """
from loguru import logger
from gypsumhall.services import _events
_events._exclude_events_from_default_log()
logger.debug('a pull failed')
logger.warning('a service failed')
"""


def test_details_are_not_written_beside_the_events() -> None:
    """A reader that stops would block the daemon at such a line."""
    result = subprocess.run(
        [sys.executable, '-c', _LOG_DETAIL_AND_WARNING],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert 'a service failed' in result.stderr
    assert 'a pull failed' not in result.stderr
