"""Shows a time line as text, as JSON lines and as an HTML page."""

from __future__ import annotations

from datetime import datetime
from datetime import UTC
import hashlib
import html
import itertools
from typing import TYPE_CHECKING

import msgspec

from gypsumhall.core._clock import counter
from gypsumhall.core._clock import to_unix_ms

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from gypsumhall._errors import Finding
    from gypsumhall.services._events import Event

_LANE_PX = 22
_LABEL_PX = 180
_CHART_PX = 1400
_MARK_PX = 5
_TICKS = 8


def format_time(hlc: int) -> str:
    """Return a time stamp as UTC with milliseconds and its counter."""
    milliseconds = to_unix_ms(hlc)
    try:
        moment = datetime.fromtimestamp(milliseconds / 1000, UTC)
    except (OverflowError, ValueError, OSError):
        # A wrong clock can be beyond the calendar.
        return f'{milliseconds}ms.{counter(hlc)}'
    text = moment.strftime('%Y-%m-%dT%H:%M:%S')
    return f'{text}.{milliseconds % 1000:03}Z.{counter(hlc)}'


def _format_fields(event: Event) -> str:
    return ' '.join(
        f'{name}={msgspec.json.encode(value).decode()}'
        for name, value in event.fields.items()
    )


def render_text(events: Sequence[Event]) -> Iterator[str]:
    """Return one line per event, with aligned columns."""
    zone = max((len(event.zone) for event in events), default=0)
    daemon = max((len(event.daemon) for event in events), default=0)
    for event in events:
        line = (
            f'{format_time(event.hlc):31} {event.zone:{zone}} '
            f'{event.daemon:{daemon}} v{event.version:<6} {event.code} '
            f'{_format_fields(event)}'
        )
        # Control characters of a log must not reach the terminal.
        yield ''.join(
            char if char.isprintable() else ascii(char)[1:-1]
            for char in line.rstrip()
        )


def render_json(events: Sequence[Event]) -> Iterator[str]:
    """Return one JSON object per event."""
    for event in events:
        yield msgspec.json.encode(event).decode()


def render_html(events: Sequence[Event], findings: Sequence[Finding]) -> str:
    """Return a page with one lane per process, grouped by zone.

    Parameters
    ----------
    events : sequence of Event
        Events in causal order.
    findings : sequence of Finding
        Shown below the chart.
    """
    problems = ''.join(
        f'<li>{html.escape(str(item))}</li>' for item in findings
    )
    codes = sorted({event.code for event in events})
    legend = ''.join(
        f'<li><span style="background:{_color(code)}"></span>'
        f'{html.escape(code)}</li>'
        for code in codes
    )
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        '<title>Time line</title><style>'
        'body{font:13px sans-serif;margin:16px}'
        'ul.legend{columns:4;list-style:none;padding:0}'
        'ul.legend span{display:inline-block;width:10px;height:10px;'
        'margin-right:6px;border-radius:5px}'
        'text.zone{font-weight:bold}line{stroke:#ddd}'
        '</style></head><body>'
        f'<h1>{len(events)} events</h1>\n{_render_chart(events)}\n'
        f'<h2>Codes</h2><ul class="legend">{legend}</ul>\n'
        f'<h2>{len(findings)} findings about the logs</h2>'
        f'<ul>{problems}</ul>\n</body></html>\n'
    )


def _color(code: str) -> str:
    """Return a color that is the same for a code on every page."""
    hue = hashlib.sha256(code.encode()).digest()[0] * 360 // 256
    return f'hsl({hue},70%,42%)'


def _render_chart(events: Sequence[Event]) -> str:
    lanes = sorted({(event.zone, event.daemon) for event in events})
    rows: list[str] = []
    positions: dict[tuple[str, str], int] = {}
    y = _LANE_PX
    for zone, group in itertools.groupby(lanes, key=lambda lane: lane[0]):
        y += _LANE_PX
        rows.append(
            f'<text class="zone" x="0" y="{y}">{html.escape(zone)}</text>'
        )
        for lane in group:
            y += _LANE_PX
            positions[lane] = y
            rows.append(
                f'<text x="12" y="{y + 4}">{html.escape(lane[1])}</text>'
                f'<line x1="{_LABEL_PX}" y1="{y}" '
                f'x2="{_LABEL_PX + _CHART_PX}" y2="{y}"/>'
            )
    first = to_unix_ms(events[0].hlc) if events else 0
    span = max(1, to_unix_ms(events[-1].hlc) - first) if events else 1
    rows += [
        _render_tick(first + span * step // _TICKS, step, y + _LANE_PX)
        for step in range(_TICKS + 1 if events else 0)
    ]
    for event in events:
        x = _LABEL_PX + (to_unix_ms(event.hlc) - first) * _CHART_PX / span
        row = positions[event.zone, event.daemon]
        # Events of the same moment are set off from each other.
        row += (event.index % 3 - 1) * _MARK_PX
        rows.append(
            f'<circle cx="{x:.1f}" cy="{row}" r="{_MARK_PX}" '
            f'fill="{_color(event.code)}" fill-opacity="0.8">'
            f'<title>{html.escape(_describe(event))}</title></circle>'
        )
    return (
        f'<svg width="{_LABEL_PX + _CHART_PX + 60}" '
        f'height="{y + 2 * _LANE_PX}">{"".join(rows)}</svg>'
    )


def _render_tick(milliseconds: int, step: int, height: int) -> str:
    x = _LABEL_PX + step * _CHART_PX / _TICKS
    label = format_time(milliseconds << 16)[11:24]
    return (
        f'<line x1="{x:.1f}" y1="{_LANE_PX}" x2="{x:.1f}" y2="{height}"/>'
        f'<text x="{x:.1f}" y="14" text-anchor="middle">'
        f'{html.escape(label)}</text>'
    )


def _describe(event: Event) -> str:
    lines = [
        f'{event.code} at {format_time(event.hlc)}',
        f'{event.daemon} in {event.zone}, version {event.version}',
        *(
            f'{name}: {msgspec.json.encode(value).decode()}'
            for name, value in event.fields.items()
        ),
    ]
    return '\n'.join(lines)
