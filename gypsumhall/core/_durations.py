"""Parses durations as operators write them, such as ``500ms``."""

from __future__ import annotations

import re

_DURATION = re.compile(r'([0-9]{1,9}(?:\.[0-9]{1,6})?)(ms|s|m|h|d)')
DURATION_UNITS = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0, 'd': 86400.0}
"""Seconds per unit."""


def parse_duration(text: str) -> float | None:
    """Return a duration in seconds; None if the text is not a duration."""
    match = _DURATION.fullmatch(text)
    if not match:
        return None
    return round(float(match[1]) * DURATION_UNITS[match[2]], 6)
