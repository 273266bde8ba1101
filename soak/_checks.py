"""Checks of what callers and endpoints saw."""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import TYPE_CHECKING

import trio

from soak import _configurations
from soak._endpoint import DRAIN_S
from soak._processes import GRACE_S
from soak._records import End
from soak._records import Records
from soak._records import Request
from soak._records import Run
from soak._records import RunEnd
from soak._starvation import COUNTED_AFTER_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    import h11

    from soak._configurations import Operator
    from soak._endpoint import Endpoint
    from soak._processes import Daemon
    from soak._processes import Vm
    from soak._starvation import Starvation

# Bounds of the users' rules, in seconds.
GONE_S = 0.5
LOST_SLACK_S = 0.2
LATE_S = 0.5
STABLE_S = 3.0
APPLY_S = 2.0
ROLLBACK_SLACK_S = 0.25
_NOTICE_S = 3.0
_LAST_SIXTH_S = GRACE_S * 5 / 6

_PROMISES_NOT_RUN = (408, 421, 429, 503)
_SETTLE_S = COUNTED_AFTER_S


class Checks:
    """Collects violations.

    Parameters
    ----------
    starvation : Starvation
        Tells when the machine slowed the processes down.
    """

    def __init__(self, starvation: Starvation) -> None:
        self._starvation = starvation
        self._waited = starvation.waited
        self.records = Records()
        self.operator: Operator
        self.daemons: list[Daemon] = []
        self.services: list[str] = []
        self.violations: list[str] = []
        self.counts: dict[str, int] = {}
        # Start and end of faults other than planned work.
        self._disruptions: list[list[float]] = []
        self._store_disruptions: list[list[float]] = []
        self._terminations: dict[int, list[float]] = {}
        self._settled: set[str] = set()
        # Checks of times, with the time at which they are made.
        self._deferred: deque[tuple[float, Callable[[], None]]] = deque()

    def report(self, check: str, detail: str) -> None:
        """Record a violation."""
        time = trio.current_time()
        self.violations.append(f'{time:.3f} {check}: {detail}')

    def defer(self, check: Callable[[], None]) -> None:
        """Make a check of times when the waits until now are known."""
        self._deferred.append((trio.current_time() + _SETTLE_S, check))

    def count(self, name: str) -> None:
        """Count what a check covered."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def begin_disruption(
        self, *, of_store: bool = False
    ) -> Callable[[], None]:
        """Record the start of an unplanned fault; return what ends it.

        Parameters
        ----------
        of_store : bool
            Whether only the store is affected, which excuses nothing but a
            late configuration.
        """
        interval = [trio.current_time(), float('inf')]
        if of_store:
            self._store_disruptions.append(interval)
        else:
            self._disruptions.append(interval)

        def end() -> None:
            interval[1] = trio.current_time()

        return end

    def record_termination(self, daemon: int) -> None:
        """Record a SIGTERM."""
        self._terminations.setdefault(daemon, []).append(trio.current_time())

    def is_calm(
        self, start: float, end: float, *, with_store: bool = False
    ) -> bool:
        """Whether only planned work happened since `STABLE_S` before.

        Parameters
        ----------
        start, end : float
            Times in seconds, by `trio.current_time`.
        with_store : bool
            Whether the store had no fault either.
        """
        disruptions = list(self._disruptions)
        if with_store:
            disruptions += self._store_disruptions
        disrupted = any(
            first <= end and last >= start - STABLE_S
            for first, last in disruptions
        )
        # As in the users' rules, a machine that is slowed down is not calm.
        return not disrupted and not self._starvation.was_slow(
            start - STABLE_S, end
        )

    def arrive(
        self,
        endpoint: Endpoint,
        vm: Vm,
        head: h11.Request,
        fields: dict[str, str],
        body: bytes,
    ) -> Request | None:
        """Check a request that reached an endpoint; return its record."""
        now = trio.current_time()
        id = fields.get('gypsumhall-request-id', '')
        request = self.records.get(id)
        if request is None:
            self.report('unasked', f'id {id!r} reached endpoint {vm.index}')
            return None
        request.arrivals.append(now)
        method, target = head.method.decode(), head.target.decode()
        if (method, target, body) != (
            request.method,
            request.target,
            request.body,
        ):
            self.report('changed', f'{method} {target}: {request!r}')
        caller = fields.get('gypsumhall-caller-service')
        if caller != self.services[request.daemon]:
            self.report('caller service', f'{caller!r}: {request!r}')
        if not self.operator.may_run(request.route, vm.service):
            self.report('route', f'at {vm.index}: {request!r}')
        timeout = fields.get('gypsumhall-timeout-ms', '')
        if not timeout.isdigit() or int(timeout) > request.stated_ms + 500:
            self.report('time limit', f'{timeout!r} ms: {request!r}')
        if endpoint.left_at is not None:
            check = self._check_leave
            self.defer(partial(check, endpoint.left_at, request, now))
        if request.end is not None:
            self.defer(partial(self._check_end, request, now))
        return request

    def start_run(self, request: Request, run: Run) -> None:
        """Check a run that begins."""
        if request.runs and not request.idempotent:
            self.report('at most once', f'{run!r} beside {request!r}')
        request.runs.append(run)
        if request.end is End.ANSWERED and _is_refusal(request):
            self.report('untruthful refusal', f'later {run!r}: {request!r}')
        if request.behind_close:
            self.report('run behind a closing response', repr(request))

    def finish(self, request: Request) -> None:
        """Check a request that has ended for its caller."""
        self.defer(partial(self._count_coverage, request))
        self.count(request.end.value if request.end else 'open')
        if request.end is End.ANSWERED:
            self.count(f'status {request.status}')
            self._check_answer(request)
        elif request.end in (End.CLOSED, End.RESET):
            self.defer(partial(self._check_lost, request))

    def settle(self, before: float) -> None:
        """Make deferred checks, and check runs that ended seconds ago."""
        while self._deferred and self._deferred[0][0] <= before:
            self._deferred.popleft()[1]()
        for request in self.records:
            if (
                request.end is not None
                and request.id not in self._settled
                and request.ended_at < before - _SETTLE_S
            ):
                self._settled.add(request.id)
                for run in request.runs:
                    self._check_cut(request, run)

    def finish_run(self) -> None:
        """Check the shares that only the whole run shows."""
        self.settle(float('inf'))
        at_work, eligible = 0, 0
        late, over_limit = 0, 0
        for request in self.records:
            end = request.ended_at
            if request.end is None or not self.is_calm(
                request.write_started_at, end + 1.0
            ):
                continue
            if request.end is End.LEFT and request.idempotent:
                for run in request.runs:
                    at_work += self._works_after_leave(request, run)
                    eligible += self._would_work_after_leave(request, run)
            if request.first_of_batch and request.written_at is not None:
                limit_s = self.operator.limit_s(
                    request.route, request.write_started_at, end
                )
                over_s = end - request.write_started_at - limit_s
                over_limit += over_s > 0
                late += over_s > LATE_S + self._waited(end - 1, end)
        self.counts['runs of callers that left'] = eligible
        self.counts['requests over their limit'] = over_limit
        if eligible >= 4 and at_work > eligible / 4:
            self.report('work after a leave', f'{at_work} of {eligible} runs')
        if late >= 8 and late > over_limit / 2:
            self.report('late', f'{late} of {over_limit} without an answer')

    def _count_coverage(self, request: Request) -> None:
        calm = self.is_calm(request.write_started_at, request.ended_at)
        self.count('beside planned work only' if calm else 'beside faults')

    def _check_leave(
        self, left_at: float, request: Request, now: float
    ) -> None:
        self.count('arrivals after an acknowledged leave')
        bound = left_at + DRAIN_S + self._waited(now - LATE_S, now)
        # The acknowledgement also binds a daemon that had a fault since then.
        if now > bound and self.is_calm(now, now):
            self.report(
                'drain', f'{now - left_at:.3f} s after the ack: {request!r}'
            )

    def _check_end(self, request: Request, now: float) -> None:
        """Check an arrival after the end of a request for its caller."""
        calm = self.is_calm(request.write_started_at, now)
        late_s = now - request.ended_at
        if request.end is End.LEFT and calm:
            self.count('arrivals after a leave')
            if late_s > GONE_S + self._waited(request.ended_at, now):
                self.report(
                    'caller gone', f'{late_s:.3f} s later: {request!r}'
                )
        elif request.end in (End.CLOSED, End.RESET) and calm:
            self.report('lost', f'{late_s:.3f} s later: {request!r}')

    def _check_answer(self, request: Request) -> None:
        if _is_refusal(request):
            if request.runs:
                self.report('untruthful refusal', repr(request))
            return
        runs = {run.signature: run for run in request.runs}
        run = runs.get(request.signature)
        if request.signature and run is None:
            self.report('foreign signature', repr(request))
        elif run is not None and request.status != run.status:
            self.report('changed status', repr(request))
        elif 200 <= request.status < 300:
            if run is None:
                self.report('success without signature', repr(request))
            elif request.answer_body != run.body:
                self.report(
                    'incomplete body',
                    f'{len(request.answer_body)} of {run.size} bytes: '
                    f'{request!r}',
                )
        elif 400 <= request.status < 500 and not _is_mark(request):
            self.report('denied', repr(request))

    def _check_lost(self, request: Request) -> None:
        """Check a connection that ended without a complete answer."""
        end = request.ended_at
        if not self.is_calm(request.write_started_at, end):
            return
        if request.behind_close:
            self.count('unread behind a closing response')
            return
        if request.response_started:
            self.report('broken answer', repr(request))
        elif request.arrivals:
            if not self._may_be_cut(request, end):
                self.report('lost', repr(request))
        elif request.written_at is not None:
            waited_s = end - request.written_at
            slack_s = LOST_SLACK_S + self._waited(request.written_at, end)
            self.count('unread')
            if waited_s > slack_s:
                self.report(
                    'lost', f'unanswered for {waited_s:.3f} s: {request!r}'
                )

    def _check_cut(self, request: Request, run: Run) -> None:
        """Check that a run was not cut while its caller waited."""
        cut_at = _cut_at(request, run)
        if cut_at is None:
            return
        self.count('runs cut before their caller')
        if not self.is_calm(request.write_started_at, cut_at):
            return
        limit_s = self.operator.limit_s(
            request.route, request.write_started_at, cut_at
        )
        limit_s = min(limit_s, request.stated_ms / 1000)
        if cut_at >= request.write_started_at + limit_s:
            return
        if any(
            other is not run
            and other.answering_at is not None
            and other.answering_at <= cut_at
            for other in request.runs
        ):
            return
        if not self._may_be_cut(request, cut_at):
            self.report('run cut', f'at {cut_at:.3f}: {request!r}')

    def _may_be_cut(self, request: Request, time: float) -> bool:
        """Whether a daemon that stops may give up a request.

        That is in the last sixth of its grace time, if the request was sent
        within 3 s after SIGTERM.
        """
        daemons = {request.daemon, *(run.endpoint for run in request.runs)}
        return any(
            terminated_at + _LAST_SIXTH_S <= time
            and terminated_at <= request.write_started_at + GRACE_S
            and request.write_started_at <= terminated_at + _NOTICE_S
            for daemon in daemons
            for terminated_at in self._terminations.get(daemon, [])
        )

    def _works_after_leave(self, request: Request, run: Run) -> bool:
        if not self._would_work_after_leave(request, run):
            return False
        bound = request.ended_at + GONE_S
        ended_at = run.ended_at
        return ended_at is None or ended_at > bound + self._waited(
            request.ended_at, bound
        )

    def _would_work_after_leave(self, request: Request, run: Run) -> bool:
        """Whether a run lasts long enough if nobody cancels it."""
        left_at = request.ended_at
        limit_s = self.operator.limit_s(
            request.route, request.write_started_at, left_at
        )
        limit_s = min(limit_s, request.stated_ms / 1000)
        work_s = _configurations.work_ms(request.target) / 1000
        ends_at = min(
            run.started_at + work_s, request.write_started_at + limit_s
        )
        return run.started_at <= left_at and ends_at > left_at + GONE_S

    def lines(self) -> Iterator[str]:
        """Yield what the checks covered."""
        for name in sorted(self.counts):
            yield f'{name}: {self.counts[name]}'


def _is_mark(request: Request) -> bool:
    return request.route.startswith('/mark/')


def _is_refusal(request: Request) -> bool:
    return request.status in _PROMISES_NOT_RUN and not request.signature


def _cut_at(request: Request, run: Run) -> float | None:
    """Return when a daemon gave up a run while its caller waited, if so."""
    ended_at = float('inf') if run.ended_at is None else run.ended_at
    if run.end is RunEnd.CUT and ended_at <= request.ended_at:
        return ended_at
    replaced = request.end is End.ANSWERED and not request.signature
    if replaced and run.started_at <= request.ended_at < ended_at:
        return request.ended_at
    return None
