"""Recognition of the calls that a backend server makes while it runs.

Such a nested call comes from the same address as new requests of callers. It
belongs to a run in progress of another route and expires with it, so its
deadline is not later than that of some run on this VM. New requests on a busy
VM may look the same by chance; their routes also get requests for which there
is no such run.
"""

from __future__ import annotations

# Time in seconds until a backend server has noticed that a run was aborted.
_TOLERANCE_S = 0.5
# Time in seconds by which transit delays a deadline.
_TRANSIT_S = 0.05
# A route with this many requests that cannot be nested calls, and at least
# this share of them, is one of callers.
_MIN_UNEXPLAINED = 3
_MIN_UNEXPLAINED_SHARE = 0.02
# Limit on the routes whose requests are counted.
_MAX_ROUTES = 16_384


class _Counts:
    __slots__ = ('requests', 'unexplained')

    def __init__(self) -> None:
        self.requests = 0
        self.unexplained = 0


class NestedCallDetector:
    """Tells nested calls from new requests.

    Parameters
    ----------
    known_after : float
        Time in seconds from which all runs on this VM are known. Earlier,
        there may be runs that a former process of this daemon has started.
    """

    __slots__ = ('_aborted', '_counts', '_known_after', '_runs')

    def __init__(self, known_after: float) -> None:
        self._known_after = known_after
        # Route and deadline of each run in progress.
        self._runs: dict[object, tuple[str, float]] = {}
        # Runs that have been aborted lately, after the time of their end.
        self._aborted: list[tuple[float, str, float]] = []
        self._counts: dict[str, _Counts] = {}

    def begin_run(self, run: object, route: str, deadline: float) -> None:
        """Record that the backend server may be working on a run.

        Parameters
        ----------
        run : object
            Identifies the run.
        route : str
            Route of its request.
        deadline : float
            Time in seconds until which the run may last.
        """
        self._runs[run] = (route, deadline)

    def end_run(self, run: object, now: float, *, aborted: bool) -> None:
        """Record the end of a run.

        Parameters
        ----------
        run : object
            As given to `begin_run`.
        now : float
            Current time in seconds.
        aborted : bool
            Whether it ended without a response of the backend server, which
            may still be working on it.
        """
        ended = self._runs.pop(run, None)
        if ended is not None and aborted:
            self._forget_aborted(now)
            self._aborted.append((now, *ended))

    def is_nested(self, route: str, deadline: float, now: float) -> bool:
        """Return whether a request is treated as a nested call.

        Parameters
        ----------
        route : str
            Route of the request, whose requests are counted.
        deadline : float
            Time in seconds at which its caller stops waiting.
        now : float
            Current time in seconds.
        """
        explained = self._may_be_nested(route, deadline, now)
        counts = self._counts.get(route)
        if counts is None:
            if len(self._counts) >= _MAX_ROUTES:
                self._counts.clear()
            counts = self._counts[route] = _Counts()
        if now >= self._known_after:
            counts.requests += 1
            counts.unexplained += not explained
        of_callers = (
            counts.unexplained >= _MIN_UNEXPLAINED
            and counts.unexplained >= _MIN_UNEXPLAINED_SHARE * counts.requests
        )
        return explained and not of_callers

    def _may_be_nested(self, route: str, deadline: float, now: float) -> bool:
        earliest = deadline - _TRANSIT_S
        for run_route, run_deadline in self._runs.values():
            if run_deadline >= earliest and run_route != route:
                return True
        self._forget_aborted(now)
        return any(
            run_deadline >= earliest and run_route != route
            for _, run_route, run_deadline in self._aborted
        )

    def _forget_aborted(self, now: float) -> None:
        while self._aborted and self._aborted[0][0] < now - _TOLERANCE_S:
            del self._aborted[0]
