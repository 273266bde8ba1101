"""Callers of a daemon, on kept and on new connections."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
import itertools
from typing import TYPE_CHECKING

import trio

from soak import _configurations
from soak._checks import APPLY_S
from soak._checks import ROLLBACK_SLACK_S
from soak._checks import STABLE_S
from soak._records import End
from soak._records import Request
from soak._wire import build_request
from soak._wire import Connection
from soak._wire import ConnectionEndedError
from soak._wire import MalformedResponseError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from soak._checks import Checks
    from soak._processes import Daemon

_CONNECT_TIMEOUT_S = 1.0
_MAX_BATCH = 4
_NUMBERS = itertools.count(1)


class Caller:
    """A caller that uses one daemon.

    Parameters
    ----------
    daemon : Daemon
        The daemon.
    checks : Checks
        Checks each request.
    rng : random.Random
        Draws the requests.
    pause_s : float
        Mean time in seconds between two batches.
    """

    def __init__(
        self,
        daemon: Daemon,
        checks: Checks,
        rng: random.Random,
        pause_s: float,
    ) -> None:
        self._daemon = daemon
        self._checks = checks
        self._rng = rng
        self._pause_s = pause_s
        # Others go on while the daemon is not ready, until it is gone.
        self._leaves_stopping_daemons = rng.random() < 0.5
        self._keeps_connections = rng.random() < 0.75

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await trio.sleep(self._draw_pause())
            if self._leaves_stopping_daemons and (
                not self._daemon.admits_callers
            ):
                continue
            connection = await Connection.open(
                self._daemon.vm.outbound_address, _CONNECT_TIMEOUT_S
            )
            if connection is not None:
                try:
                    await self._use(connection)
                finally:
                    await connection.close()

    async def _use(self, connection: Connection) -> None:
        kept = False
        while True:
            batch = self._draw_batch()
            if not await exchange(
                connection, batch, self._checks, self._rng, kept=kept
            ):
                return
            if not self._keeps_connections:
                return
            kept = True
            ended = await connection.wait_for_end(self._draw_pause())
            if ended is False:
                self._checks.report(
                    'unexpected response',
                    f'daemon {self._daemon.vm.index}, after {batch[-1]!r}',
                )
            if ended is not None:
                return

    def _draw_pause(self) -> float:
        return self._rng.expovariate(1.0 / self._pause_s)

    def _draw_batch(self) -> list[Request]:
        size = 1
        if self._rng.random() < 0.2:
            size = self._rng.randint(2, _MAX_BATCH)
        batch = [self._draw_request() for _ in range(size)]
        for request in batch[1:]:
            request.first_of_batch = False
        return batch

    def _draw_request(self) -> Request:
        rng = self._rng
        prefix = rng.choice(_configurations.routes())
        idempotent = _configurations.is_idempotent(prefix)
        work_ms = round(rng.choice((5, 20, 100, 400)) * rng.uniform(0.5, 1.5))
        if rng.random() < 0.12:
            # Runs that are in progress at the end of a shutdown.
            work_ms = rng.randint(700, 4000)
        size = rng.choice((10, 300, 5000))
        if rng.random() < 0.02:
            size = 300_000
        body = b''
        if not idempotent:
            body = b'%d;' % next(_NUMBERS) * rng.choice((1, 50, 3000))
        return build_record(
            self._daemon,
            prefix,
            'GET' if idempotent else 'POST',
            body,
            work_ms,
            size,
            500 if rng.random() < 0.03 else 200,
            rng.choice((300, 1000, 2000, 5000)),
        )


class VersionProbe:
    """Finds out which version of the configuration a daemon uses.

    Each version has a route that no other version has.

    Parameters
    ----------
    daemon : Daemon
        The daemon.
    checks : Checks
        Receives violations.
    rng : random.Random
        Draws the probed versions.
    waited : callable
        Returns the seconds that processes waited between two times.
    """

    def __init__(
        self,
        daemon: Daemon,
        checks: Checks,
        rng: random.Random,
        waited: Callable[[float, float], float],
    ) -> None:
        self._daemon = daemon
        self._checks = checks
        self._rng = rng
        self._waited = waited
        self._lifetime = 0
        self._shown = 0
        self._shown_at = 0.0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await trio.sleep(self._rng.uniform(0.1, 0.4))
            lifetime = self._daemon.starts
            connection = await Connection.open(
                self._daemon.vm.outbound_address, _CONNECT_TIMEOUT_S
            )
            if connection is None:
                continue
            if lifetime != self._lifetime:
                self._lifetime, self._shown = lifetime, 0
            try:
                await self._use(connection)
            finally:
                await connection.close()

    async def _use(self, connection: Connection) -> None:
        kept = False
        while True:
            versions = self._checks.operator.versions
            number = versions[-1].number
            if len(versions) > 1 and self._rng.random() < 0.4:
                number = versions[-2].number
            request = build_record(
                self._daemon,
                _configurations.mark_prefix(number),
                'GET',
                b'',
                1,
                10,
                200,
                2000,
            )
            usable = await exchange(
                connection, [request], self._checks, self._rng, kept=kept
            )
            if request.end is End.ANSWERED:
                self._evaluate(number, request)
            if not usable:
                return
            kept = True
            if await connection.wait_for_end(self._rng.uniform(0.1, 0.4)):
                return

    def _evaluate(self, number: int, request: Request) -> None:
        newest = self._checks.operator.newest
        allows = request.status == 200
        refuses = request.status == 404 and newest.number == number
        if allows and number > self._shown:
            self._shown, self._shown_at = number, request.ended_at
            self._checks.count('versions shown')
            return
        if (allows and number < self._shown) or (
            refuses and number == self._shown
        ):
            self._checks.defer(
                partial(
                    self._check_order, self._shown, self._shown_at, request
                )
            )
        if refuses:
            self._checks.defer(
                partial(
                    self._check_applied,
                    newest.sent_at,
                    self._daemon.ready_since,
                    request,
                )
            )

    def _check_order(
        self, shown: int, shown_at: float, request: Request
    ) -> None:
        if request.write_started_at > shown_at + ROLLBACK_SLACK_S:
            self._checks.report(
                'older configuration',
                f'after version {shown} at {shown_at:.3f}: {request!r}',
            )

    def _check_applied(
        self, written_at: float, ready_since: float | None, request: Request
    ) -> None:
        sent_at = request.write_started_at
        age_s = sent_at - written_at
        if (
            ready_since is None
            or sent_at < ready_since + STABLE_S
            or not self._checks.is_calm(written_at, sent_at, with_store=True)
            or age_s
            <= APPLY_S + self._waited(written_at, written_at + APPLY_S)
        ):
            return
        self._checks.report(
            'configuration not applied', f'after {age_s:.3f} s: {request!r}'
        )


def build_record(
    daemon: Daemon,
    prefix: str,
    method: str,
    body: bytes,
    work_ms: int,
    size: int,
    status: int,
    stated_ms: int,
) -> Request:
    """Return a request with a new id."""
    id = f'{next(_NUMBERS):08x}'
    return Request(
        id,
        daemon.vm.index,
        prefix,
        method,
        _configurations.build_target(prefix, id, work_ms, size, status),
        body,
        idempotent=_configurations.is_idempotent(prefix),
        stated_ms=stated_ms,
    )


async def exchange(
    connection: Connection,
    batch: Sequence[Request],
    checks: Checks,
    rng: random.Random,
    *,
    kept: bool,
) -> bool:
    """Write requests one behind the other and read their responses.

    Returns
    -------
    bool
        Whether the connection can be used again.
    """
    for request in batch:
        request.on_kept_connection = kept
        checks.records.add(request)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_write, connection, batch, rng)
        usable = await _read_responses(connection, batch, checks, rng)
        if not usable:
            nursery.cancel_scope.cancel()
    for request in batch:
        if request.end is None:
            request.finish(End.NOT_WRITTEN, trio.current_time())
        checks.finish(request)
    return usable


async def _write(
    connection: Connection, batch: Sequence[Request], rng: random.Random
) -> None:
    for request in batch:
        fields = [
            ('Host', _configurations.HOST),
            ('Gypsumhall-Request-Id', request.id),
            ('Gypsumhall-Timeout-Ms', str(request.stated_ms)),
        ]
        data = build_request(
            request.method,
            request.target,
            fields,
            request.body,
            chunked=rng.random() < 0.3,
        )
        cut = rng.randrange(len(data)) if rng.random() < 0.1 else 0
        request.write_started_at = trio.current_time()
        if cut:
            await connection.send(data[:cut])
            await trio.sleep(rng.uniform(0.0, 0.1))
        if not await connection.send(data[cut:]):
            return
        request.written_at = trio.current_time()


async def _read_responses(
    connection: Connection,
    batch: Sequence[Request],
    checks: Checks,
    rng: random.Random,
) -> bool:
    closing = False
    started = trio.current_time()
    # Only runs that would last longer show whether they are cancelled.
    is_long = _configurations.work_ms(batch[0].target) > 1000
    leaves_early = rng.random() < (0.4 if is_long else 0.1)
    patience = rng.uniform(0.05, 0.6) if leaves_early else 1.0
    for position, request in enumerate(batch):
        wait_until = started + patience * request.stated_ms / 1000
        with (
            trio.move_on_at(wait_until) as scope,
            suppress(ConnectionEndedError),
        ):
            try:
                response = await connection.receive()
            except ConnectionEndedError as error:
                end = End.RESET if error.reset else End.CLOSED
                request.response_started = error.partial
                _finish_all(batch[position:], end)
                return False
            except MalformedResponseError as error:
                checks.report('malformed response', f'{error}: {request!r}')
                return False
            request.status = response.status
            request.signature = response.fields.get(
                'gypsumhall-response-signature', ''
            )
            request.answer_body = response.body
            request.finish(End.ANSWERED, trio.current_time())
            if closing:
                checks.report('response behind a closing one', repr(request))
            echo = response.fields.get('gypsumhall-request-id', request.id)
            if echo != request.id:
                checks.report('foreign response', f'{echo}: {request!r}')
            if response.closes:
                closing = True
                for follower in batch[position + 1 :]:
                    follower.behind_close = True
        if scope.cancelled_caught:
            _finish_all(batch[position:], End.LEFT)
            return False
    return not closing


def _finish_all(batch: Sequence[Request], end: End) -> None:
    now = trio.current_time()
    for request in batch:
        written = request.written_at is not None
        request.finish(end if written else End.NOT_WRITTEN, now)
