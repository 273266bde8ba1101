"""Runs that have failed once, with the cause."""

from __future__ import annotations

from soak._run import Settings

REGRESSIONS = (
    # A second SIGTERM while the interpreter exits replaced status 0.
    Settings(1, 45.0, 5, unplanned=False),
    # A response that was read after the grace time of the deadline was lost
    # with its connection.
    Settings(102, 45.0, 5, unplanned=False),
    # Network.drain accepted on its closed listener.
    Settings(201, 45.0, 5, unplanned=True),
    # Network.drain changed the set of streams while it iterated over it.
    Settings(3, 45.0, 5, unplanned=True),
)
"""Settings of runs in which a check failed."""
