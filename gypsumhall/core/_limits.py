"""Limits on calls: admission, retry budget and outlier ejection."""

from __future__ import annotations

import enum
import statistics


class ConcurrencyLimit:
    """Limit on requests in flight that is lowered when latency shows overload.

    The limit starts at the number of slots and never exceeds it. For each
    window of calls, the median latency is compared with the lowest recent
    median: more than twice that value while the limit was reached lowers the
    limit by a tenth, any other window raises it by one.

    Parameters
    ----------
    slots : int
        Requests that the backend server executes at the same time.
    """

    __slots__ = (
        '_baseline_s',
        '_latencies',
        '_limit',
        '_slots',
        '_was_reached',
        '_window_start',
    )

    # With fewer samples the median of mixed requests is too uncertain.
    _WINDOW_CALLS = 20
    _WINDOW_S = 0.5
    # Growth per window: the baseline adapts to a lasting change of latency in
    # about 35 windows.
    _BASELINE_GROWTH = 1.02
    _MAX_LATENCY_RATIO = 2.0

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = slots
        self._latencies: list[float] = []
        self._baseline_s = float('inf')
        self._window_start = 0.0
        self._was_reached = False

    @property
    def limit(self) -> int:
        """Requests that may be in flight."""
        return self._limit

    def record(self, now: float, latency_s: float, in_flight: int) -> None:
        """Record the latency of a finished request.

        Parameters
        ----------
        now : float
            Current time in seconds.
        latency_s : float
            Time in seconds that the request took.
        in_flight : int
            Requests in flight when it ended, itself included.
        """
        self._latencies.append(latency_s)
        self._was_reached = self._was_reached or in_flight >= self._limit
        if (
            len(self._latencies) < self._WINDOW_CALLS
            or now - self._window_start < self._WINDOW_S
        ):
            return
        median = statistics.median(self._latencies)
        raised_s = self._baseline_s * self._BASELINE_GROWTH
        self._baseline_s = min(raised_s, median)
        if (
            median > self._MAX_LATENCY_RATIO * self._baseline_s
            and self._was_reached
        ):
            self._limit = max(1, min(self._limit - 1, self._limit * 9 // 10))
        else:
            self._limit = min(self._slots, self._limit + 1)
        self._latencies.clear()
        self._was_reached = False
        self._window_start = now


class Admission(enum.Enum):
    """Decision about a new call."""

    RUN = 'run'
    QUEUE = 'queue'
    QUEUE_FULL = 'queue-full'
    TOO_LATE = 'too-late'


class AdmissionQueue:
    """Decides which calls run, are queued or are rejected.

    Parameters
    ----------
    slots : int
        Requests that the backend server executes at the same time. The
        queue holds at most twice as many.
    """

    __slots__ = (
        '_in_flight',
        '_limit',
        '_mean_service_time_s',
        '_queued',
        '_slots',
    )

    # Weight of the latest service time in the moving mean.
    _WEIGHT = 0.1

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = ConcurrencyLimit(slots)
        self._in_flight = 0
        self._queued = 0
        self._mean_service_time_s = 0.0

    @property
    def slots(self) -> int:
        """Requests that the backend server executes at the same time."""
        return self._slots

    @property
    def limit(self) -> int:
        """Requests that may be in flight."""
        return self._limit.limit

    @property
    def in_flight(self) -> int:
        """Requests being executed."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Requests queued for a slot."""
        return self._queued

    @property
    def may_run(self) -> bool:
        """Whether a request may start now."""
        return self._in_flight < self._limit.limit

    def resize(self, slots: int) -> None:
        """Change the number of slots and reset the concurrency limit."""
        self._slots = slots
        self._limit = ConcurrencyLimit(slots)

    def expected_wait_s(self) -> float:
        """Return the expected wait in seconds of a call queued now."""
        return (
            (self._queued + 1) * self._mean_service_time_s / self._limit.limit
        )

    def admit(self, time_left_s: float) -> Admission:
        """Decide about a new call and count it unless it is rejected.

        Parameters
        ----------
        time_left_s : float
            Time in seconds until the deadline of the call.
        """
        if self.may_run and not self._queued:
            self._in_flight += 1
            return Admission.RUN
        if self._queued >= 2 * self._slots:
            return Admission.QUEUE_FULL
        if self.expected_wait_s() > time_left_s:
            return Admission.TOO_LATE
        self._queued += 1
        return Admission.QUEUE

    def dequeue(self, *, run: bool) -> None:
        """Remove a call from the queue.

        Parameters
        ----------
        run : bool
            Whether it runs now; False when it was cancelled or timed out.
        """
        self._queued -= 1
        self._in_flight += run

    def finish(self, now: float, service_time_s: float | None) -> None:
        """Count a call that no longer runs.

        Parameters
        ----------
        now : float
            Current time in seconds.
        service_time_s : float or None
            Service time in seconds; None when the run was aborted.
        """
        if service_time_s is not None:
            self._limit.record(now, service_time_s, self._in_flight)
            if self._mean_service_time_s:
                self._mean_service_time_s += self._WEIGHT * (
                    service_time_s - self._mean_service_time_s
                )
            else:
                self._mean_service_time_s = service_time_s
        self._in_flight -= 1


class RetryBudget:
    """Token bucket that limits retries to a share of the calls plus a floor.

    Parameters
    ----------
    share : float
        Retries per call.
    floor_per_s : float
        Retries per second that are allowed whatever the number of calls.
    """

    __slots__ = ('_floor_per_s', '_refilled_at', '_share', '_tokens')

    # Unused tokens accumulate up to this many seconds of the floor, so that a
    # long period without retries does not allow a burst of them.
    _MAX_BURST_S = 10.0

    def __init__(self, share: float = 0.1, floor_per_s: float = 10.0) -> None:
        self._share = share
        self._floor_per_s = floor_per_s
        self._tokens = floor_per_s
        self._refilled_at = 0.0

    @property
    def available(self) -> int:
        """Retries that may be taken now."""
        return int(self._tokens)

    def set_floor(self, floor_per_s: float) -> None:
        """Change the floor; tokens above the new maximum are discarded."""
        self._floor_per_s = floor_per_s
        self._tokens = min(self._tokens, floor_per_s * self._MAX_BURST_S)

    def call(self, now: float) -> None:
        """Count a call."""
        self._refill(now, self._share)

    def retry(self, now: float) -> bool:
        """Take a retry from the budget; False when none is left."""
        self._refill(now, 0.0)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return a retry that reached no endpoint to the budget."""
        self._tokens += 1.0

    def _refill(self, now: float, tokens: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(
            self._floor_per_s * self._MAX_BURST_S,
            self._tokens + tokens + elapsed * self._floor_per_s,
        )


class OutlierEjection:
    """Ejects endpoints after consecutive failures.

    Parameters
    ----------
    failures : int
        Consecutive failures after which an endpoint is ejected.
    base_s, max_s : float
        First and longest duration of an ejection in seconds; the duration
        doubles with each ejection that follows without a success between.
    """

    __slots__ = ('_base_s', '_failures', '_max_s', '_states')

    def __init__(
        self, failures: int = 5, base_s: float = 5.0, max_s: float = 60.0
    ) -> None:
        self._failures = failures
        self._base_s = base_s
        self._max_s = max_s
        # By endpoint id: consecutive failures, number of ejections, and time
        # in seconds until which the endpoint is ejected.
        self._states: dict[str, list[float]] = {}

    @property
    def any_failure(self) -> bool:
        """Whether any endpoint has failed since its last success."""
        return bool(self._states)

    def success(self, endpoint: str) -> None:
        """Record a call that succeeded."""
        self._states.pop(endpoint, None)

    def failure(self, endpoint: str, now: float) -> None:
        """Record a call that failed."""
        state = self._states.setdefault(endpoint, [0, 0, 0.0])
        if state[2] > now:
            return
        state[0] += 1
        if state[0] >= self._failures:
            duration = min(self._max_s, self._base_s * 2 ** state[1])
            state[:] = [0, state[1] + 1, now + duration]

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that has left."""
        self._states.pop(endpoint, None)

    def ejected(self, endpoint: str, now: float) -> bool:
        """Whether an endpoint is ejected."""
        state = self._states.get(endpoint)
        return state is not None and state[2] > now

    def usable(self, endpoints: list[str], now: float) -> list[str]:
        """Return the endpoints that may get calls, at least half of all.

        When more than half are ejected, those whose ejection ends first are
        returned as well.
        """
        if not self._states:
            return endpoints
        selected = [item for item in endpoints if not self.ejected(item, now)]
        missing = (len(endpoints) + 1) // 2 - len(selected)
        if missing > 0:
            ejected = [item for item in endpoints if self.ejected(item, now)]
            ejected.sort(key=lambda item: self._states[item][2])
            selected += ejected[:missing]
        return selected
