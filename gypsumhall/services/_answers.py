"""Messages that answer a call, made from the response of a backend server."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import msgspec

from gypsumhall._errors import PeerError
from gypsumhall.net._messages import AnswerEnd
from gypsumhall.net._messages import AnswerStart
from gypsumhall.net._messages import BodyChunk
from gypsumhall.net._messages import Outcome
from gypsumhall.services import _calls

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumhall.core._ledger import RecordedResponse
    from gypsumhall.net._messages import CallStart
    from gypsumhall.net._messages import Load
    from gypsumhall.net._messages import Message
    from gypsumhall.services import _backend_client


class Run:
    """One run of a call on the backend server.

    Parameters
    ----------
    send : callable
        Takes the messages of the answer.
    recorder : Recorder or None
        Keeps the response for repetition; None for idempotent calls.
    """

    __slots__ = (
        '_recorder',
        '_send',
        'failed',
        'outcome',
        'started_response',
    )

    def __init__(
        self, send: _calls.SendMessage, recorder: _calls.Recorder | None
    ) -> None:
        self._send: _calls.SendMessage | None = send
        self._recorder = recorder
        self.outcome = Outcome.NOT_RUN
        self.started_response = False
        self.failed = False

    def mark_sent(self) -> None:
        """Note that the backend server may run the request from now on."""
        self.outcome = Outcome.UNKNOWN

    async def send(self, message: Message) -> None:
        """Pass a message on.

        Calls whose response is recorded continue without a receiver.
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
        """Pass a response on, with its body in chunks."""
        self.outcome = Outcome.RUN
        self.failed = response.status >= 500
        if self._recorder is not None:
            self._recorder.head(response.status, response.headers)
        # One message with the first part of the body costs less than two.
        # A chunked response may pause before its body, so it doesn't wait.
        head = AnswerStart(
            call.request_id, response.status, response.headers, load
        )
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


class MessageSink:
    """Turns a response into messages for the daemon that sent the call.

    Parameters
    ----------
    load : callable
        Returns the load of the backend server on this VM.
    request_id : str
        Id of the attempt.
    send : callable
        Takes the messages.
    recorder : Recorder
        Keeps the response for repetition.
    """

    __slots__ = ('_pending_head', '_load', '_recorder', '_request_id', '_send')

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
        """Send a message; without a receiver it is only recorded."""
        if self._send is not None:
            try:
                await self._send(message)
            except PeerError:
                self._send = None

    async def flush(self) -> None:
        """Send a head that waits for the first part of its body."""
        if self._pending_head is not None:
            head, self._pending_head = self._pending_head, None
            await self.send(head)

    async def head(self, status: int, headers: _calls.Headers) -> None:
        """Take the status and the headers."""
        self._recorder.head(status, headers)
        self._pending_head = AnswerStart(
            self._request_id, status, headers, self._load()
        )

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Take a part of the body."""
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
