"""Renders a timeline as text, as JSON lines and as an HTML page."""

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

_LANE_HEIGHT_PX = 22
_LABEL_WIDTH_PX = 180
_CHART_WIDTH_PX = 1400
_MARKER_RADIUS_PX = 5
_TICK_INTERVALS = 8


def format_time(hlc: int) -> str:
    """Return a timestamp as UTC with milliseconds, and its counter."""
    milliseconds = to_unix_ms(hlc)
    try:
        moment = datetime.fromtimestamp(milliseconds / 1000, UTC)
    except (OverflowError, ValueError, OSError):
        # A wrong clock can be outside the range of datetime.
        return f'{milliseconds}ms.{counter(hlc)}'
    text = moment.strftime('%Y-%m-%dT%H:%M:%S')
    return f'{text}.{milliseconds % 1000:03}Z.{counter(hlc)}'


def _format_fields(event: Event) -> str:
    return ' '.join(
        f'{name}={msgspec.json.encode(value).decode()}'
        for name, value in event.fields.items()
    )


def render_text(events: Sequence[Event]) -> Iterator[str]:
    """Return one line of text per event, with aligned columns."""
    zone_width = max((len(event.zone) for event in events), default=0)
    daemon_width = max((len(event.daemon) for event in events), default=0)
    for event in events:
        line = (
            f'{format_time(event.hlc):31} {event.zone:{zone_width}} '
            f'{event.daemon:{daemon_width}} v{event.version:<6} {event.code} '
            f'{_format_fields(event)}'
        )
        # Escape control characters, which could manipulate the terminal.
        yield ''.join(
            char if char.isprintable() else ascii(char)[1:-1]
            for char in line.rstrip()
        )


def render_json(events: Sequence[Event]) -> Iterator[str]:
    """Return one line with a JSON object per event."""
    for event in events:
        yield msgspec.json.encode(event).decode()


def render_html(events: Sequence[Event], findings: Sequence[Finding]) -> str:
    """Return a page with one lane per daemon, grouped by availability zone.

    Parameters
    ----------
    events : sequence of Event
        Events in causal order.
    findings : sequence of Finding
        Findings about the logs, listed below the chart.
    """
    finding_items = ''.join(
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
        f'<ul>{finding_items}</ul>\n</body></html>\n'
    )


def _color(code: str) -> str:
    """Return the CSS color of a code, the same on every page."""
    hue = hashlib.sha256(code.encode()).digest()[0] * 360 // 256
    return f'hsl({hue},70%,42%)'


def _render_chart(events: Sequence[Event]) -> str:
    lanes = sorted({(event.zone, event.daemon) for event in events})
    elements: list[str] = []
    positions: dict[tuple[str, str], int] = {}
    y = _LANE_HEIGHT_PX
    for zone, group in itertools.groupby(lanes, key=lambda lane: lane[0]):
        y += _LANE_HEIGHT_PX
        elements.append(
            f'<text class="zone" x="0" y="{y}">{html.escape(zone)}</text>'
        )
        for lane in group:
            y += _LANE_HEIGHT_PX
            positions[lane] = y
            elements.append(
                f'<text x="12" y="{y + 4}">{html.escape(lane[1])}</text>'
                f'<line x1="{_LABEL_WIDTH_PX}" y1="{y}" '
                f'x2="{_LABEL_WIDTH_PX + _CHART_WIDTH_PX}" y2="{y}"/>'
            )
    start_ms = to_unix_ms(events[0].hlc) if events else 0
    span_ms = max(1, to_unix_ms(events[-1].hlc) - start_ms) if events else 1
    elements += [
        _render_tick(
            start_ms + span_ms * step // _TICK_INTERVALS,
            step,
            y + _LANE_HEIGHT_PX,
        )
        for step in range(_TICK_INTERVALS + 1 if events else 0)
    ]
    for event in events:
        x = (
            _LABEL_WIDTH_PX
            + (to_unix_ms(event.hlc) - start_ms) * _CHART_WIDTH_PX / span_ms
        )
        marker_y = positions[event.zone, event.daemon]
        # A vertical offset keeps simultaneous events apart.
        marker_y += (event.index % 3 - 1) * _MARKER_RADIUS_PX
        elements.append(
            f'<circle cx="{x:.1f}" cy="{marker_y}" r="{_MARKER_RADIUS_PX}" '
            f'fill="{_color(event.code)}" fill-opacity="0.8">'
            f'<title>{html.escape(_format_tooltip(event))}</title></circle>'
        )
    return (
        f'<svg width="{_LABEL_WIDTH_PX + _CHART_WIDTH_PX + 60}" '
        f'height="{y + 2 * _LANE_HEIGHT_PX}">{"".join(elements)}</svg>'
    )


def _render_tick(milliseconds: int, step: int, height: int) -> str:
    x = _LABEL_WIDTH_PX + step * _CHART_WIDTH_PX / _TICK_INTERVALS
    label = format_time(milliseconds << 16)[11:24]
    return (
        f'<line x1="{x:.1f}" y1="{_LANE_HEIGHT_PX}" '
        f'x2="{x:.1f}" y2="{height}"/>'
        f'<text x="{x:.1f}" y="14" text-anchor="middle">'
        f'{html.escape(label)}</text>'
    )


def _format_tooltip(event: Event) -> str:
    lines = [
        f'{event.code} at {format_time(event.hlc)}',
        f'{event.daemon} in {event.zone}, version {event.version}',
        *(
            f'{name}: {msgspec.json.encode(value).decode()}'
            for name, value in event.fields.items()
        ),
    ]
    return '\n'.join(lines)
