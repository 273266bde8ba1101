"""Runs that have failed once, with the cause."""

from __future__ import annotations

from soak._run import Settings

# Each cause has a test of its own, since a seed repeats only the plan. These
# runs failed before plans had more endpoints that leave.
REGRESSIONS = (
    # A second SIGTERM while the interpreter exits replaced status 0
    # (test_services_lifecycle.py).
    Settings(1, 45.0, 5, unplanned=False),
    # A response that was read after the grace time of the deadline was lost
    # with its connection (test_services_caller.py).
    Settings(102, 45.0, 5, unplanned=False),
    # A daemon accepted on a listener that its drain had closed
    # (test_net_drain.py).
    Settings(201, 45.0, 5, unplanned=True),
    # A drain changed the set of streams that it iterated over
    # (test_net_drain.py).
    Settings(3, 45.0, 5, unplanned=True),
    # A delayed heartbeat made a restarted daemon offer an endpoint that had
    # left (test_services_fleet.py).
    Settings(700, 40.0, 4, unplanned=False),
    # A daemon that was stopped for 1.1 s was not seen as slowed down (soak).
    Settings(503, 40.0, 4, unplanned=False),
    # A caller reused a connection on which it had not written a whole
    # request (soak).
    Settings(504, 40.0, 4, unplanned=False),
)
"""Settings of runs in which a check failed."""
