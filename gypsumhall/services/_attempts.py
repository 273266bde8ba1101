"""Single attempts to run a request, on this VM or on another daemon."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
from typing import Protocol
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerError
from gypsumhall._errors import PeerLostError
from gypsumhall._errors import PeerUnreachableError
from gypsumhall.net import _socket
from gypsumhall.net._messages import AnswerEnd
from gypsumhall.net._messages import AnswerStart
from gypsumhall.net._messages import BodyChunk
from gypsumhall.net._messages import CallCancel
from gypsumhall.net._messages import CallQuery
from gypsumhall.net._messages import CallRefused
from gypsumhall.net._messages import CallStart
from gypsumhall.net._messages import CallWithdraw
from gypsumhall.net._messages import Failure
from gypsumhall.net._messages import Load
from gypsumhall.net._messages import Message
from gypsumhall.net._messages import Outcome
from gypsumhall.services import _calls

if TYPE_CHECKING:
    from random import Random

    from gypsumhall.core._member import Member
    from gypsumhall.core._snapshot import Split
    from gypsumhall.net._protocol import Exchange
    from gypsumhall.net._protocol import PeerInfo
    from gypsumhall.net._protocol import PeerNetwork
    from gypsumhall.services import _deadlines
    from gypsumhall.services import _protocols

# Time in seconds after the deadline in which a rejection is still awaited: the
# runner rejects after `_calls.DEADLINE_GRACE_S` at the latest and reports
# whether the request was run.
_GRACE_S = 0.25
# Time in seconds for which a query of the outcome of a request that must not
# be repeated is tried again while its runner cannot be reached.
_QUERY_TIMEOUT_S = 3.0
# Time in seconds after the deadline of a request in which the runner has to
# reply to the query: callers get a response within half a second after it.
_QUERY_AFTER_DEADLINE_S = 0.4
_QUERY_BACKOFF_S = 0.05
# Responses up to this size can be buffered until they are complete.
_MAX_BUFFERED_BYTES = 256 * 1024

Execute = Callable[[CallStart, bytes, '_calls.SendMessage'], Awaitable[None]]


class Withdraw(Protocol):
    """Withdraws a call on this VM; see `CallWithdraw`."""

    def __call__(self, request_id: str, *, only_queued: bool = False) -> None:
        """Withdraw the call of an attempt."""
        ...


class Receiver:
    """Receives the response of one attempt.

    Parameters
    ----------
    request_id : str
        Id of the attempt; messages with another id are dropped.
    sink : ResponseSink
        Receives the response.
    should_buffer : callable or None
        Returns, when the head has arrived, whether the response is buffered
        until it is complete. Responses with a small ``content-length`` are
        always buffered.
    should_withhold : callable or None
        Returns, given the status, whether the response is withheld from the
        sink because the request will be retried.
    buffer_budget : ResponseBufferBudget, optional
        Memory limit of buffered responses. Beyond it, a buffered response is
        forwarded at once, and a withheld one is dropped.
    """

    __slots__ = (
        '_buffer_budget',
        '_recorder',
        '_request_id',
        '_should_buffer',
        '_should_withhold',
        '_sink',
        'complete',
        'done',
        'forwarded',
        'load',
        'peer',
        'rejection',
        'size',
        'status',
        'timed_out',
        'unsent',
        'withheld',
    )

    def __init__(
        self,
        request_id: str,
        sink: _calls.ResponseSink,
        *,
        should_buffer: Callable[[], bool] | None = None,
        should_withhold: Callable[[int], bool] | None = None,
        buffer_budget: _calls.ResponseBufferBudget | None = None,
    ) -> None:
        self._request_id = request_id
        self._sink = sink
        self._should_buffer = should_buffer
        self._should_withhold = should_withhold
        self._buffer_budget = buffer_budget or _calls.ResponseBufferBudget()
        self._recorder: _calls.Recorder | None = None
        # Process that the call was sent to, if that is another daemon's.
        self.peer: PeerInfo | None = None
        self.size = 0
        self.rejection: CallRefused | None = None
        self.load: Load | None = None
        self.status = 0
        self.timed_out = False
        # Whether the runner certainly did not get the whole call.
        self.unsent = False
        self.withheld = False
        self.forwarded = False
        self.complete = False
        self.done = False

    @property
    def started(self) -> bool:
        """Whether the head of a response has arrived."""
        return self.forwarded or self._recorder is not None

    @property
    def recorder(self) -> _calls.Recorder | None:
        """Response that has not been forwarded to the sink."""
        return self._recorder

    def reset(self) -> None:
        """Discard a partial response that was not forwarded."""
        self._recorder = None
        self.size = 0

    async def feed(self, message: Message) -> None:
        """Process a message of the response; the last one sets `done`."""
        if self.done:
            return
        if isinstance(message, BodyChunk):
            if self.started:
                await self._chunk(message.data, last=message.last)
        elif isinstance(message, AnswerStart):
            if message.request_id == self._request_id and not self.started:
                await self._head(message)
        elif isinstance(message, CallRefused):
            if message.request_id == self._request_id and not self.started:
                self.rejection = message
                self.load = message.load
                self.done = True
        elif isinstance(message, Failure):
            # The other daemon failed, so whether the call ran is unknown.
            if not self.started:
                self.rejection = CallRefused(
                    self._request_id,
                    Outcome.UNKNOWN,
                    'peer-failure',
                    f'{message.code}: {message.detail}',
                )
            self.done = True
        elif (
            isinstance(message, AnswerEnd)
            and message.request_id == self._request_id
            and self.started
        ):
            if message.complete:
                await self._chunk(b'', last=True)
            self.done = True

    async def _head(self, message: AnswerStart) -> None:
        self.load = message.load
        self.status = message.status
        if self._should_withhold is not None:
            self.withheld = self._should_withhold(message.status)
        if self.withheld or (not message.last and self._is_buffered(message)):
            self._recorder = _calls.Recorder(self._buffer_budget)
            self._recorder.head(message.status, message.headers)
        else:
            self.forwarded = True
            await self._sink.head(message.status, message.headers)
        if message.body or message.last:
            await self._chunk(message.body, last=message.last)

    def _is_buffered(self, message: AnswerStart) -> bool:
        if self._should_buffer is not None and self._should_buffer():
            return True
        for name, value in message.headers:
            if name == b'content-length':
                return int(value) <= _calls.CHUNK_BYTES
        return False

    async def _chunk(self, data: bytes, *, last: bool) -> None:
        self.size += len(data)
        recorder = self._recorder
        if recorder is not None and not self.withheld:
            whole_size = recorder.size + len(data)
            if (
                last
                or whole_size > _MAX_BUFFERED_BYTES
                or not self._buffer_budget.has_room(len(data))
            ):
                await self._flush_buffer(recorder)
        if self._recorder is not None:
            self._recorder.chunk(data)
        else:
            await self._sink.chunk(data, last=last)
        if last:
            self.complete = True
            self.done = True

    async def _flush_buffer(self, recorder: _calls.Recorder) -> None:
        buffered = recorder.response
        self._recorder = None
        self.forwarded = True
        assert buffered is not None
        await self._sink.head(buffered.status, buffered.headers)
        for part in _calls.chunks(buffered.body):
            if part:
                await self._sink.chunk(part, last=False)


class _Interruption:
    """Ends an attempt when the other daemon is silent.

    Parameters
    ----------
    scope : trio.CancelScope
        Ends the attempt.
    receiver : Receiver
        Receives the response. Once it has started, the attempt goes on.
    on_silence : callable, optional
        Called when the other daemon is silent.
    enabled : bool
        Whether the attempt is ended at all.

    Attributes
    ----------
    occurred : bool
        Whether the attempt was ended.
    """

    __slots__ = ('_enabled', '_on_silence', '_receiver', '_scope', 'occurred')

    def __init__(
        self,
        scope: trio.CancelScope,
        receiver: Receiver,
        on_silence: Callable[[], None] | None = None,
        *,
        enabled: bool = True,
    ) -> None:
        self._scope = scope
        self._receiver = receiver
        self._on_silence = on_silence
        self._enabled = enabled
        self.occurred = False

    def handle_silence(self) -> None:
        """Handle that nothing has been received for some time."""
        if self._on_silence is not None:
            self._on_silence()
        if self._enabled and not self._receiver.started:
            self.occurred = True
            self._scope.cancel(reason='peer-silent')


class Attempts:
    """Sends calls to runners, once each.

    Parameters
    ----------
    peers : PeerNetwork
        Streams to other daemons.
    me : Member
        Member entry of this daemon as of its start.
    events : Events
        Event log, for its clock.
    rng : Random
        Source of randomness.
    execute : callable
        Runs a call on this VM.
    withdraw : callable
        Withdraws a call on this VM, by the id of its attempt.
    deadlines : DeadlineMonitor
        Cancels attempts that take too long.
    """

    __slots__ = (
        '_counter',
        '_deadlines',
        '_events',
        '_execute',
        '_me',
        '_peers',
        '_prefix',
        '_rng',
        '_withdraw_here',
        '_zone',
    )

    def __init__(
        self,
        peers: PeerNetwork,
        me: Member,
        events: _protocols.Events,
        rng: Random,
        execute: Execute,
        withdraw: Withdraw,
        deadlines: _deadlines.DeadlineMonitor,
    ) -> None:
        self._withdraw_here = withdraw
        self._deadlines = deadlines
        self._peers = peers
        self._me = me.id
        self._zone = me.zone
        self._events = events
        self._rng = rng
        self._execute = execute
        # The ledger relies on a unique prefix per process and on increasing
        # counters.
        self._prefix = f'{me.id}/{me.incarnation}'
        self._counter = 0

    def build(
        self,
        request: _calls.Request,
        member: Member,
        version: str,
        *,
        key: str = '',
        split: Split | None = None,
        max_wait_s: float | None = None,
    ) -> CallStart:
        """Return the first message of an attempt.

        Parameters
        ----------
        request : Request
            The request.
        member : Member
            Member whose runner gets the call.
        version : str
            Service version; empty for the owner of the key.
        key : str
            Idempotency key for its owner; empty otherwise.
        split : Split or None
            Split of the move that the attempt is evidence about.
        max_wait_s : float or None
            Longest expected wait with which the runner accepts the call;
            by default any that leaves time to run it.
        """
        self._counter += 1
        inline = len(request.body) <= _calls.CHUNK_BYTES
        now = trio.current_time()
        objective_ms = 0
        if request.objective:
            # 0 would mean that there is no objective.
            objective_ms = int((request.objective - now) * 1000) or -1
        return CallStart(
            f'{self._prefix}:{self._counter}',
            member.incarnation,
            request.service,
            version,
            request.route,
            request.method,
            request.path,
            request.headers,
            _calls.remaining_ms(request.deadline, now),
            request.idempotent,
            key,
            bool(request.body) and not inline,
            split.move if split is not None else '',
            split.stage if split is not None else 0,
            self._events.clock.now(),
            request.body if inline else b'',
            self._zone,
            request.priority,
            objective_ms,
            -1 if max_wait_s is None else max(0, int(max_wait_s * 1000)),
            request.is_caller_retry,
            _socket.clock_us(),
            request.tenant,
        )

    async def run(
        self,
        member: Member,
        call: CallStart,
        request: _calls.Request,
        receiver: Receiver,
        on_silence: Callable[[], None] | None = None,
    ) -> None:
        """Make an attempt; `receiver.done` stays False when it was lost.

        One that must not be repeated also counts as lost when the other
        daemon is silent before it responds: its outcome can be queried on a
        new stream. Any other one goes on, as it may only be delayed.

        Parameters
        ----------
        member : Member
            Member whose runner gets the call.
        call : CallStart
            First message, from `build`.
        request : Request
            The request.
        receiver : Receiver
            Receives the response.
        on_silence : callable, optional
            Called when the other daemon is silent.

        Raises
        ------
        PeerUnreachableError
            When nothing was sent.
        """
        if request.withdrawal is None:
            await self._run(member, call, request, receiver, on_silence)
            return
        withdraw = functools.partial(self._withdraw, member, call.request_id)
        with request.withdrawal.notify(withdraw):
            await self._run(member, call, request, receiver, on_silence)

    def _withdraw(self, member: Member, request_id: str) -> None:
        if member.id == self._me:
            self._withdraw_here(request_id)
        else:
            self._peers.post(member.peer_address, CallWithdraw(request_id))

    async def _run(
        self,
        member: Member,
        call: CallStart,
        request: _calls.Request,
        receiver: Receiver,
        on_silence: Callable[[], None] | None,
    ) -> None:
        if member.id == self._me:
            # The runner ends the call `DEADLINE_GRACE_S` after its deadline.
            await self._execute(call, request.body, receiver.feed)
            receiver.done = True
            return
        timeout_s = call.deadline_ms / 1000 + _GRACE_S
        limit = self._deadlines.limit(trio.current_time() + timeout_s)
        interruption: _Interruption | None = None
        exchange: Exchange | None = None
        with limit as scope:
            try:
                async with self._peers.open(
                    member.peer_address, call
                ) as exchange:
                    receiver.peer = exchange.peer
                    interruption = _Interruption(
                        scope,
                        receiver,
                        on_silence,
                        enabled=not request.idempotent,
                    )
                    exchange.on_silence(interruption.handle_silence)
                    await self._exchange_messages(
                        exchange, call, request, receiver, interruption
                    )
            except PeerUnreachableError:
                if receiver.started:
                    return
                raise
            except PeerError:
                pass
            finally:
                if exchange is not None and exchange.unsent:
                    receiver.unsent = True
        receiver.timed_out = scope.cancelled_caught and (
            interruption is None or not interruption.occurred
        )

    async def resolve_outcome(
        self,
        member: Member,
        call: CallStart,
        request: _calls.Request,
        receiver: Receiver,
    ) -> None:
        """Query the outcome of a lost attempt that must not be repeated.

        Afterwards the receiver has a response or a rejection. Only the
        process that the call was sent to knows the outcome. The parameters
        are those of `run`.
        """
        if receiver.forwarded:
            return
        query = CallQuery(call.request_id, call.runner_incarnation)
        now = trio.current_time()
        query_until = now + _QUERY_TIMEOUT_S
        backoff_s = _QUERY_BACKOFF_S
        deadline = request.deadline + _QUERY_AFTER_DEADLINE_S
        with trio.CancelScope(deadline=deadline):
            while not receiver.done and not receiver.forwarded:
                now = trio.current_time()
                if now >= query_until:
                    break
                receiver.reset()
                try:
                    # The runner replies when the call has ended.
                    async with self._peers.open(
                        member.peer_address, query
                    ) as exchange:
                        if exchange.peer != receiver.peer:
                            break
                        until_silent = trio.CancelScope()
                        interruption = _Interruption(until_silent, receiver)
                        exchange.on_silence(interruption.handle_silence)
                        with until_silent:
                            while not receiver.done:
                                await receiver.feed(await exchange.receive())
                        if until_silent.cancelled_caught:
                            raise PeerLostError(f'{member.id} is silent')
                except (PeerError, trio.EndOfChannel):
                    # The duration of the query itself does not count.
                    query_until += trio.current_time() - now
                    await trio.sleep(backoff_s * (1 + self._rng.random()))
                    backoff_s *= 2
        if not receiver.done and not receiver.forwarded:
            receiver.reset()
            receiver.rejection = CallRefused(
                call.request_id,
                Outcome.UNKNOWN,
                'peer-lost',
                f'the stream to {member.id} was lost',
            )

    async def _exchange_messages(
        self,
        exchange: Exchange,
        call: CallStart,
        request: _calls.Request,
        receiver: Receiver,
        interruption: _Interruption,
    ) -> None:
        try:
            if call.has_body:
                remaining_bytes = len(request.body)
                # The runner starts no call whose body is incomplete.
                receiver.unsent = True
                for part in _calls.chunks(request.body):
                    remaining_bytes -= len(part)
                    if not remaining_bytes:
                        receiver.unsent = False
                    await exchange.send(
                        BodyChunk(part, last=not remaining_bytes)
                    )
            while not receiver.done:
                await receiver.feed(await exchange.receive())
        except trio.EndOfChannel:
            return
        except trio.Cancelled as error:
            if interruption.occurred:
                raise
            cancel = CallCancel(call.request_id, _calls.cancel_cause(error))
            with trio.CancelScope(shield=True) as scope:
                scope.deadline = trio.current_time() + _GRACE_S
                with contextlib.suppress(PeerError):
                    await exchange.send(cancel)
            raise
