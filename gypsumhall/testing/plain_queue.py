"""Queue without tenants, as a reference for `gypsumhall.core._waiting`."""

from __future__ import annotations

import math

from gypsumhall.core import _waiting
from gypsumhall.core._waiting import AdmissionDecision
from gypsumhall.core._waiting import CallQueue
from gypsumhall.core._waiting import QueuedCall


class PlainQueue(CallQueue):
    """Decides as the queue did before it knew tenants."""

    __slots__ = ()

    def admit(
        self, now: float, call: QueuedCall, max_wait_s: float = math.inf
    ) -> AdmissionDecision:
        """Decide about a new call and count it unless it is rejected.

        Parameters
        ----------
        now : float
            Current time in seconds.
        call : QueuedCall
            The call.
        max_wait_s : float
            Longest expected wait in seconds for which the sender wants the
            call to be queued.
        """
        call.enqueued_at = now
        call.expected_service_time_s = (
            self._route_service_times_s.get(call.route)
            or self._mean_or_default_s()
        )
        if self._running < self._slots and not self._queue:
            self._running += 1
            return AdmissionDecision.RUN
        wait_time_s = self._plain_wait_of(now, call)
        if wait_time_s > max_wait_s:
            return AdmissionDecision.BUSY
        time_left = _waiting._DEADLINE_MARGIN * (call.deadline - now)
        if wait_time_s + call.expected_service_time_s > time_left:
            return AdmissionDecision.OVERLOADED
        late = (
            now + wait_time_s + call.expected_service_time_s > call.objective
        )
        if late and self._has_long_backlog(now):
            return AdmissionDecision.OVERLOADED
        candidates: list[QueuedCall] = []
        if len(self._queue) >= _waiting.MAX_QUEUED_PER_SLOT * self._slots:
            candidates = self._queue
        elif late and self._count_late(now) >= self._max_late():
            candidates = [
                other for other in self._queue if _waiting._is_late(other, now)
            ]
        if candidates:
            last = max(
                candidates, key=lambda other: _waiting._sort_key(other, now)
            )
            if _waiting._sort_key(last, now) <= _waiting._sort_key(call, now):
                return AdmissionDecision.OVERLOADED
            self._queue.remove(last)
            self._displaced.append(last)
        if not self._queue:
            self._backlog_since = now
        self._queue.append(call)
        return AdmissionDecision.WAIT

    def dequeue(self, now: float) -> QueuedCall | None:
        """Return the call that runs next, if a slot is free."""
        if self._running >= self._slots or not self._queue:
            return None
        chosen = min(
            self._queue, key=lambda call: _waiting._sort_key(call, now)
        )
        self._queue.remove(chosen)
        self._running += 1
        return chosen

    def evict(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls that can no longer be served.

        These are the calls that more urgent ones displaced, those that
        would end after their deadline, and late calls above their limit.
        """
        evicted = []
        ahead_s = 0.0
        # A late call that others overtake is evicted while its caller still
        # has time to retry.
        for call in sorted(
            self._queue, key=lambda call: _waiting._sort_key(call, now)
        ):
            delay_s = (
                ahead_s / self._slots if _waiting._is_late(call, now) else 0.0
            )
            if now + delay_s + call.expected_service_time_s > call.deadline:
                evicted.append(call)
                self._queue.remove(call)
            else:
                ahead_s += call.expected_service_time_s
        evicted += self._displaced
        self._displaced = []
        excess = self._count_late(now) - self._max_late()
        if excess > 0:
            late = [
                call for call in self._queue if _waiting._is_late(call, now)
            ]
            late.sort(key=lambda call: _waiting._sort_key(call, now))
            for call in late[-excess:]:
                self._queue.remove(call)
                evicted.append(call)
        return evicted

    def _plain_wait_of(self, now: float, call: QueuedCall) -> float:
        """Return the expected wait in seconds behind calls that go first."""
        order = _waiting._sort_key(call, now)
        ahead_s = sum(
            other.expected_service_time_s
            for other in self._queue
            if _waiting._sort_key(other, now) <= order
        )
        excess = max(1, self._running - self._slots + 1)
        return (ahead_s + excess * self._mean_or_default_s()) / self._slots
