"""Convert responses of a backend server to messages between daemons."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import msgspec

from gypsumhall._errors import PeerError
from gypsumhall.net._messages import AnswerEnd
from gypsumhall.net._messages import AnswerStart
from gypsumhall.net._messages import BodyChunk
from gypsumhall.net._messages import Outcome
from gypsumhall.services import _backend_client
from gypsumhall.services import _calls

if TYPE_CHECKING:
    from collections.abc import Callable

    import trio

    from gypsumhall.core._ledger import RecordedResponse
    from gypsumhall.net._messages import CallStart
    from gypsumhall.net._messages import Load
    from gypsumhall.net._messages import Message

# Statuses with which a backend server may say that it has not run a request.
_REJECTION_STATUSES = frozenset([400, *_calls.NOT_RUN_STATUSES])


class Run:
    """One run of a call on the backend server.

    Parameters
    ----------
    send : callable
        Sends the messages of the response.
    recorder : Recorder or None
        Records the response, to replay it later; None for idempotent calls.
    """

    __slots__ = (
        '_recorder',
        '_send',
        'failed',
        'outcome',
        'scope',
        'sent_when_full',
        'started_response',
        'withdrawn',
    )

    def __init__(
        self, send: _calls.SendMessage, recorder: _calls.Recorder | None
    ) -> None:
        self._send: _calls.SendMessage | None = send
        self._recorder = recorder
        self.outcome = Outcome.NOT_RUN
        self.started_response = False
        self.failed = False
        # Whether the backend server had no room when the request was sent.
        self.sent_when_full = False
        # Ends the run; None before it begins.
        self.scope: trio.CancelScope | None = None
        self.withdrawn = False

    def withdraw(self) -> None:
        """End the run, unless the backend server may have received it."""
        if self.outcome == Outcome.NOT_RUN and self.scope is not None:
            self.withdrawn = True
            self.scope.cancel(reason=_calls.KEY_REMOVED)

    def mark_sent(self) -> None:
        """Record that the backend server may run the request from now on."""
        self.outcome = Outcome.UNKNOWN

    async def send(self, message: Message) -> None:
        """Send a message to the sender of the call.

        A call whose response is recorded continues after the sender has
        disconnected.

        Raises
        ------
        PeerError
            When the sender disconnected and the response is not recorded.
        """
        if self._send is None:
            return
        try:
            await self._send(message)
        except PeerError:
            if self._recorder is None:
                raise
            self._send = None

    async def respond(
        self,
        call: CallStart,
        response: _backend_client.BackendResponse,
        load: Load,
    ) -> None:
        """Forward a response, with its body in chunks."""
        self.outcome = Outcome.RUN
        self.failed = response.status >= 500
        if self._recorder is not None:
            self._recorder.head(response.status, response.headers)
        # Sending the head together with the first part of the body costs less
        # than two messages. The head of a chunked response is sent at once,
        # because its body may follow much later.
        head = AnswerStart(
            call.request_id, response.status, response.headers, load
        )
        if response.body:
            # Asynchronous generators take more time than the message.
            if self._recorder is not None:
                self._recorder.chunk(response.body)
            self.started_response = True
            await self.send(
                msgspec.structs.replace(head, body=response.body, last=True)
            )
            return
        remaining_bytes = response.length
        if remaining_bytes is None:
            self.started_response = True
            await self.send(head)
        head_pending = remaining_bytes is not None
        async with contextlib.aclosing(response.chunks()) as chunks:
            async for data in chunks:
                last = False
                if remaining_bytes is not None:
                    remaining_bytes -= len(data)
                    last = remaining_bytes == 0
                if self._recorder is not None:
                    self._recorder.chunk(data)
                if head_pending:
                    head_pending = False
                    self.started_response = True
                    head = msgspec.structs.replace(head, body=data, last=last)
                    await self.send(head)
                else:
                    await self.send(BodyChunk(data, last))
        if head_pending:
            await self.send(msgspec.structs.replace(head, last=True))
        elif remaining_bytes is None:
            await self.send(AnswerEnd(call.request_id))


def is_rejection(
    response: _backend_client.BackendResponse,
    sent_id: bytes | None,
    dialect: _calls.Dialect,
) -> bool:
    """Return whether a response says that its request was not run.

    Parameters
    ----------
    response : BackendResponse
        Response of the backend server.
    sent_id : bytes or None
        Id of the request; None if the caller sent none.
    dialect : Dialect
        Names of the headers.

    Raises
    ------
    BackendResponseError
        When the response contradicts itself or belongs to another request,
        so that the request may have been run.
    """
    status = response.status
    names = [name for name, _ in response.headers]
    marked = dialect.not_executed in names
    rejected = status == 421 or (marked and status in _REJECTION_STATUSES)
    promises = (
        dialect.status_503_means_not_run and status in _calls.NOT_RUN_STATUSES
    )
    if not rejected and (marked or promises):
        raise _backend_client.BackendResponseError(
            f'response with status {status} is '
            f'{"marked" if marked else "not marked"} as not executed'
        )
    received_ids = [
        value for name, value in response.headers if name == dialect.request_id
    ]
    if received_ids:
        matches = received_ids == [sent_id]
    elif rejected:
        # A faulty backend server may repeat an earlier rejection, but not on
        # a connection without earlier requests.
        matches = not response.connection_reused
    else:
        matches = sent_id is None
    if not matches:
        raise _backend_client.BackendResponseError(
            f'response with status {status} to request {received_ids} '
            f'instead of {sent_id!r}'
        )
    return rejected


class MessageSink:
    """Converts a response to messages for the daemon that sent the call.

    Parameters
    ----------
    load : callable
        Returns the load of the backend server on this VM.
    request_id : str
        Request id of the attempt.
    send : callable
        Sends the messages.
    recorder : Recorder
        Records the response, to replay it later.
    """

    __slots__ = ('_load', '_pending_head', '_recorder', '_request_id', '_send')

    def __init__(
        self,
        load: Callable[[], Load],
        request_id: str,
        send: _calls.SendMessage,
        recorder: _calls.Recorder,
    ) -> None:
        self._load = load
        self._request_id = request_id
        self._send: _calls.SendMessage | None = send
        self._recorder = recorder
        self._pending_head: AnswerStart | None = None

    async def send(self, message: Message) -> None:
        """Send a message; does nothing after the sender disconnected."""
        if self._send is not None:
            try:
                await self._send(message)
            except PeerError:
                self._send = None

    async def flush(self) -> None:
        """Send the head if no part of the body has been sent yet."""
        if self._pending_head is not None:
            head, self._pending_head = self._pending_head, None
            await self.send(head)

    async def head(self, status: int, headers: _calls.Headers) -> None:
        """Record the status and headers; they are sent with the body."""
        self._recorder.head(status, headers)
        self._pending_head = AnswerStart(
            self._request_id, status, headers, self._load()
        )

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Record and send a part of the body."""
        self._recorder.chunk(data)
        if self._pending_head is not None:
            head, self._pending_head = self._pending_head, None
            await self.send(
                msgspec.structs.replace(head, body=data, last=last)
            )
        else:
            await self.send(BodyChunk(data, last))


async def send_recorded(
    request_id: str,
    response: RecordedResponse,
    load: Load,
    send: _calls.SendMessage,
) -> None:
    """Send a recorded response as messages."""
    head = AnswerStart(request_id, response.status, response.headers, load)
    await send(head)
    for part in _calls.chunks(response.body):
        await send(BodyChunk(part))
    await send(AnswerEnd(request_id))
