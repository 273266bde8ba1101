"""Seeded load on the connections of a daemon that stops meanwhile.

Callers send one or several requests at once, in pieces, read their responses
fast, slowly or late, and some leave. They use their connections until the
daemon closes them.
"""

from __future__ import annotations

import contextlib
import math
import random
import struct
from typing import TYPE_CHECKING

import h11
import trio

from gypsumhall.testing import pipelining

if TYPE_CHECKING:
    from collections.abc import Iterator

_CALLERS = 10
# Requests that are more than a daemon reads ahead.
_FLOOD = 400
_DRAIN_TIMEOUT_S = 10.0
# Time that callers state.
_DEADLINE_S = 8.0
# A run may begin or go on for this long after its caller has left.
_LEAVE_TIME_S = 0.5


class SentRequest:
    """A request of a caller and what became of it."""

    __slots__ = (
        'ended_at',
        'left_at',
        'method',
        'request_id',
        'response',
        'sent_at',
        'skipped',
    )

    def __init__(self, request_id: str, method: str) -> None:
        self.request_id = request_id
        self.method = method
        self.sent_at = trio.current_time()
        # Time at which its response or its connection ended.
        self.ended_at = math.inf
        self.response: pipelining.Response | None = None
        # Whether an earlier response on its connection announced the end.
        self.skipped = False
        # Time at which the caller left without waiting for the response.
        self.left_at: float | None = None

    def __repr__(self) -> str:
        return (
            f'SentRequest({self.request_id}, {self.method}, {self.response}, '
            f'skipped={self.skipped}, left_at={self.left_at}, '
            f'after {self.ended_at - self.sent_at:.3f} s)'
        )


class _PacedStream:
    """Receives a limited number of bytes at a time, with pauses."""

    def __init__(
        self, stream: trio.SocketStream, max_bytes: int, pause_s: float
    ) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._pause_s = pause_s

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive data."""
        await trio.sleep(self._pause_s)
        size = min(max_bytes, self._max_bytes)
        return bytes(await self._stream.receive_some(size))


class ConnectionSoak:
    """One run of the load.

    Parameters
    ----------
    seed : int
        Seed of all random choices; what the tasks do in between depends on
        the time they get.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        self.backend = pipelining.ScriptedBackend()
        self.requests: list[SentRequest] = []
        # Ids of the requests that the daemon has read to their end.
        self.read: set[str] = set()

    async def run(self) -> None:
        """Run the callers and a daemon, and stop the daemon meanwhile."""
        rng = self._rng
        async with pipelining.run_daemon(
            self.backend,
            remote=rng.random() < 0.7,
            drain_delay_s=rng.choice([0.0, 0.0, 0.3, 1.2]),
            drain_timeout_s=_DRAIN_TIMEOUT_S,
        ) as daemon:
            async with trio.open_nursery() as nursery:
                for index in range(_CALLERS):
                    caller_rng = random.Random(f'{self._seed}-{index}')
                    nursery.start_soon(
                        self._call_until_refused,
                        daemon,
                        f'{index}',
                        caller_rng,
                    )
                await trio.sleep(rng.uniform(0.1, 1.2))
                # A stop may be requested more than once.
                for _ in range(3):
                    daemon.kernel.stop()
                    await trio.sleep(rng.uniform(0.0, 0.2))
            await trio.sleep(_LEAVE_TIME_S)

    def violations(self) -> list[str]:
        """Return what breaks a promise to the callers."""
        found = []
        for request in self.requests:
            runs = self.backend.started.count(request.request_id)
            if request.method == 'POST' and runs > 1:
                found.append(f'run {runs} times: {request}')
            if request.left_at is None:
                found.extend(self._check_response(request, ran=runs > 0))
                continue
            ended_at = self.backend.ended_at.get(request.request_id, 0.0)
            if ended_at > request.left_at + _LEAVE_TIME_S:
                found.append(f'went on after its caller left: {request}')
        if self.backend.running:
            found.append(f'{self.backend.running} runs have not ended')
        return found

    def _check_response(
        self, request: SentRequest, *, ran: bool
    ) -> Iterator[str]:
        response = request.response
        if response is None:
            if request.ended_at - request.sent_at >= _DEADLINE_S:
                return
            if ran:
                yield f'run and not answered: {request}'
            elif request.request_id in self.read and not request.skipped:
                yield f'read and not answered: {request}'
        elif response.status == 200:
            if response.body.rstrip() != request.request_id.encode():
                yield f'another response: {request}'
        elif ran and response.status not in (502, 504):
            yield f'run and refused: {request}'

    async def _call_until_refused(
        self,
        daemon: pipelining.CallPathDaemon,
        name: str,
        rng: random.Random,
    ) -> None:
        connections = 0
        while True:
            try:
                caller = await pipelining.connect(
                    daemon, receive_bytes=rng.choice([0, 4096])
                )
            except OSError:
                return
            connections += 1
            async with caller.stream:
                await self._use(caller, f'{name}-{connections}', rng)
            await trio.sleep(rng.uniform(0.0, 0.05))

    async def _use(
        self,
        caller: pipelining.PipeliningCaller,
        name: str,
        rng: random.Random,
    ) -> None:
        """Use a connection until either side closes it."""
        stream = caller.stream
        assert isinstance(stream, trio.SocketStream)
        pace = rng.choice([(65536, 0.0), (65536, 0.0), (8192, 0.005)])
        reader = pipelining.PipeliningCaller(
            _PacedStream(stream, *pace)  # type: ignore[arg-type]
        )
        for burst in range(rng.randint(1, 12)):
            requests, data = self._build_burst(f'{name}-{burst}', rng)
            self.requests.extend(requests)
            leaves = rng.random() < 0.08
            pause_s = rng.choice([0.0, 0.0, 0.0, 0.3])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send_in_pieces, stream, data, rng)
                if leaves:
                    await trio.sleep(rng.uniform(0.0, 0.1))
                    for request in requests:
                        request.left_at = trio.current_time()
                    nursery.cancel_scope.cancel()
                    _leave(stream, rng)
                    return
                await trio.sleep(pause_s)
                if not await _read_responses(reader, requests):
                    nursery.cancel_scope.cancel()
                    return
            await trio.sleep(rng.choice([0.0, 0.0, 0.02, 0.2]))

    def _build_burst(
        self, name: str, rng: random.Random
    ) -> tuple[list[SentRequest], bytes]:
        requests, parts = [], []
        count = rng.choice([1, 1, 1, 1, 2, 2, 3, 3, 9, 9, _FLOOD])
        faults = ['', 'medium', 'large'] if count == 1 else ['', '', 'medium']
        work_s = [0.0, 0.01, 0.1, 0.6]
        if count == _FLOOD:
            faults, work_s = [''], [0.0]
        for index in range(count):
            method = rng.choice(['GET', 'GET', 'GET', 'POST'])
            request = SentRequest(f'r{name}-{index}', method)
            requests.append(request)
            size = rng.choice([0, 5, 3000, 40_000]) if method == 'POST' else 0
            fields = [f'X-Padding: {400 * "x"}']
            if size and rng.random() < 0.1:
                fields.append('Expect: 100-continue')
            parts.append(
                pipelining.build_request(
                    request.request_id,
                    method,
                    work_s=rng.choice(work_s),
                    deadline_ms=round(_DEADLINE_S * 1000),
                    body=bytes(size),
                    fault=rng.choice(faults),
                    fields=tuple(fields),
                )
            )
        return requests, b''.join(parts)


async def _read_responses(
    reader: pipelining.PipeliningCaller, requests: list[SentRequest]
) -> bool:
    """Read the responses; return whether the connection stays open."""
    waiting = list(requests)
    try:
        for index, request in enumerate(requests):
            request.response = await reader.read_response()
            if request.response is None:
                return False
            waiting.remove(request)
            request.ended_at = trio.current_time()
            if request.response.closes:
                for other in requests[index + 1 :]:
                    other.skipped = True
                await reader.read_response()
                return False
        return True
    except (
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        h11.RemoteProtocolError,
    ):
        return False
    finally:
        for request in waiting:
            request.ended_at = trio.current_time()


async def _send_in_pieces(
    stream: trio.SocketStream, data: bytes, rng: random.Random
) -> None:
    with contextlib.suppress(
        trio.BrokenResourceError, trio.ClosedResourceError
    ):
        while data:
            size = rng.choice([1, 30, 2000, len(data)])
            await stream.send_all(data[:size])
            data = data[size:]
            if data:
                await trio.sleep(rng.choice([0.0, 0.0, 0.005, 0.05]))


def _leave(stream: trio.SocketStream, rng: random.Random) -> None:
    """Reset or close a connection, or close only its sending side."""
    action = rng.choice(['reset', 'close', 'half-close'])
    if action == 'reset':
        stream.setsockopt(
            trio.socket.SOL_SOCKET,
            trio.socket.SO_LINGER,
            struct.pack('ii', 1, 0),
        )
    elif action == 'half-close':
        with contextlib.suppress(OSError):
            stream.socket.shutdown(trio.socket.SHUT_WR)
            return
    stream.socket.close()
