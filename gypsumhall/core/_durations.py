"""Durations as operators write them."""

from __future__ import annotations

import re

_DURATION = re.compile(r'([0-9]{1,9}(?:\.[0-9]{1,6})?)(ms|s|m|h|d)')
DURATION_UNITS = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0, 'd': 86400.0}
"""Seconds of the units."""


def parse_duration(text: str) -> float | None:
    """Return the seconds of a duration like ``500ms``, or None."""
    found = _DURATION.fullmatch(text)
    if not found:
        return None
    return round(float(found[1]) * DURATION_UNITS[found[2]], 6)
