"""Owner of idempotency keys, which runs a request with a key at most once."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
import hashlib
from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import PeerError
from gypsumhall.core import _ownership
from gypsumhall.core._ownership import KeyEntry
from gypsumhall.core._ownership import KeyLedger
from gypsumhall.core._ownership import KeyState
from gypsumhall.core._ownership import OwnershipHistory
from gypsumhall.net._messages import KeyHandover
from gypsumhall.net._messages import KeyRecord
from gypsumhall.net._messages import KeyRelease
from gypsumhall.net._messages import KeyReleased
from gypsumhall.net._messages import KeysTaken
from gypsumhall.net._messages import Outcome
from gypsumhall.services import _calls

if TYPE_CHECKING:
    from gypsumhall.core._ledger import RecordedResponse
    from gypsumhall.core._member import Member
    from gypsumhall.net._protocol import Exchange
    from gypsumhall.net._protocol import PeerNetwork
    from gypsumhall.services import _protocols
    from gypsumhall.services._sender import Sender

# Time-out of a request to a former owner. It is short, because a member that
# has left rarely responds and the caller is waiting.
_RELEASE_TIMEOUT_S = 1.0

# Limits the size of a handover message, which has to fit into a frame.
_RECORDS_PER_MESSAGE = 500
# Time in which each other daemon has to take over the keys at a shutdown.
_HANDOVER_TIMEOUT_S = 2.0

_OUTCOMES = {
    KeyState.RELEASED: Outcome.NOT_RUN,
    KeyState.DONE: Outcome.RUN,
}


class _RecordingSink:
    """Forwards a response to another sink and records it."""

    __slots__ = ('_recorder', '_sink')

    def __init__(
        self,
        sink: _calls.ResponseSink,
        buffer_budget: _calls.ResponseBufferBudget,
    ) -> None:
        self._sink = sink
        self._recorder = _calls.Recorder(buffer_budget)

    @property
    def response(self) -> RecordedResponse | None:
        """The recorded response; None if it was too large to record."""
        return self._recorder.response

    async def head(self, status: int, headers: _calls.Headers) -> None:
        """Record and forward the status and the headers."""
        self._recorder.head(status, headers)
        await self._sink.head(status, headers)

    async def chunk(self, data: bytes, *, last: bool) -> None:
        """Record and forward a part of the body."""
        self._recorder.chunk(data)
        await self._sink.chunk(data, last=last)


@dataclass(slots=True)
class _JoinedService:
    history: OwnershipHistory
    joined_at: float


class KeyOwner:
    """Runs requests whose idempotency keys this daemon owns.

    Parameters
    ----------
    peers : PeerNetwork
        Connections to other daemons.
    membership : Membership
        Member table.
    sender : Sender
        Sends the requests to a runner.
    buffer_budget : ResponseBufferBudget
        Memory budget for the recorded responses of running requests.
    """

    __slots__ = (
        '_buffer_budget',
        '_finished_events',
        '_incarnation',
        '_ledger',
        '_membership',
        '_peers',
        '_sender',
        '_services',
        '_shutting_down',
    )

    def __init__(
        self,
        peers: PeerNetwork,
        membership: _protocols.Membership,
        sender: Sender,
        buffer_budget: _calls.ResponseBufferBudget,
    ) -> None:
        self._buffer_budget = buffer_budget
        self._peers = peers
        self._membership = membership
        self._sender = sender
        self._ledger = KeyLedger()
        self._incarnation = membership.me.incarnation
        self._shutting_down = False
        self._services: dict[str, _JoinedService] = {}
        # (service, key) of each running request -> event set at its end.
        self._finished_events: dict[tuple[str, str], trio.Event] = {}

    def join_service(self, service: str) -> None:
        """Record that this daemon has an endpoint of a service from now on."""
        now = trio.current_time()
        joined = self._services.get(service)
        if joined is None:
            history = OwnershipHistory(service, self._membership.me.id)
            self._services[service] = _JoinedService(history, now)
        else:
            joined.joined_at = now
        self.on_members_changed()

    def on_members_changed(self) -> None:
        """Update the ownership histories from the member table."""
        now = trio.current_time()
        table = self._membership.table
        for service, joined in self._services.items():
            joined.history.observe(table.endpoints(service), now)

    async def execute(
        self, request: _calls.Request, sink: _calls.ResponseSink
    ) -> None:
        """Run a request as the owner of its key, or replay its response.

        Parameters
        ----------
        request : Request
            Request with a key.
        sink : ResponseSink
            Receives the response.

        Raises
        ------
        CallRefusedError
            When there is no response. The outcome ``not-run`` holds for
            every request with this key, not only for this one.
        BrokenResponseError
            When the response ended before it was complete.
        """
        service, key = request.service, request.key
        digest = _digest(request)
        while True:
            self._check_owner(request)
            now = trio.current_time()
            entry = self._ledger.begin(service, key, digest, now)
            if entry.state != KeyState.RUNNING:
                break
            finished = self._finished_events[service, key]
            # The other run may still end by itself at its deadline.
            wait_until = request.deadline + _calls.DEADLINE_GRACE_S
            with trio.move_on_at(wait_until) as scope:
                await finished.wait()
            if scope.cancelled_caught:
                raise _calls.CallRefusedError(
                    Outcome.UNKNOWN,
                    'deadline',
                    'a request with this key is running',
                )
        if entry.state == KeyState.RELEASED:
            self._ledger.reclaim(service, key, digest)
        if entry.state in (KeyState.NEW, KeyState.RUNNING):
            await self._execute_claimed(request, sink, entry.released_to)
        else:
            await _replay(entry, key, sink)

    async def handle_release(
        self, exchange: Exchange, message: KeyRelease
    ) -> None:
        """Release a key to its new owner, on a request of that owner."""
        now = trio.current_time()
        service, key = message.service, message.key
        new_owner = (exchange.peer.id, exchange.peer.incarnation)
        state = self._ledger.release(
            service, key, now, new_owner, message.queried_members
        )
        outcome = _OUTCOMES.get(state, Outcome.UNKNOWN)
        joined = self._services.get(service)
        if outcome == Outcome.NOT_RUN and (
            message.incarnation < self._incarnation
            or joined is None
            or joined.history.had_earlier_owner(
                key, now, new_owner, message.queried_members
            )
        ):
            outcome = Outcome.UNKNOWN
        # Without a reply, the new owner treats the outcome as unknown.
        with contextlib.suppress(PeerError):
            await exchange.send(KeyReleased(outcome))

    async def hand_over_keys(self) -> None:
        """Hand the keys over to the other owners, in a graceful shutdown.

        Without it, the next owner could not know whether a request with a
        key has run here, and would reject half of the requests with keys for
        the retention time. A daemon that does not receive all records
        treats this one as crashed.
        """
        self._shutting_down = True
        while self._finished_events:
            await next(iter(self._finished_events.values())).wait()
        me = self._membership.me.id
        async with trio.open_nursery() as nursery:
            for service, joined in self._services.items():
                departed_members = tuple(
                    joined.history.departed_members(trio.current_time())
                )
                records = [
                    _build_record(key, entry)
                    for key, entry in self._ledger.records(service)
                ]
                for member in self._membership.table.endpoints(service):
                    if member.id != me and _ownership.can_own_keys(member):
                        nursery.start_soon(
                            self._hand_over_to,
                            member,
                            service,
                            records,
                            departed_members,
                        )

    async def _hand_over_to(
        self,
        member: Member,
        service: str,
        records: list[KeyRecord],
        departed_members: tuple[Member, ...],
    ) -> None:
        with (
            trio.move_on_after(_HANDOVER_TIMEOUT_S),
            contextlib.suppress(PeerError),
        ):
            for start in range(0, len(records) + 1, _RECORDS_PER_MESSAGE):
                end = start + _RECORDS_PER_MESSAGE
                last = end > len(records)
                await self._peers.request(
                    member.peer_address,
                    KeyHandover(
                        service,
                        tuple(records[start:end]),
                        last,
                        departed_members if last else (),
                    ),
                    timeout_s=_HANDOVER_TIMEOUT_S,
                )

    async def handle_handover(
        self, exchange: Exchange, message: KeyHandover
    ) -> None:
        """Import the keys of a daemon that shuts down."""
        now = trio.current_time()
        me = self._membership.me
        joined = self._services.get(message.service)
        if joined is None:
            # Before its first endpoint of the service, this daemon would not
            # be queried for these keys, so it must not confirm the handover.
            return
        for record in message.records:
            released_to = {
                item
                for item in record.released_to
                if item[0] != me.id
                or not _ownership.is_same_process(me, item[1])
            }
            state = KeyState(record.state)
            if state != KeyState.RELEASED or released_to:
                entry = KeyEntry(state, record.digest, released_to=released_to)
                self._ledger.import_entry(
                    message.service, record.key, now, entry
                )
        if message.last:
            peer = exchange.peer
            joined.history.record_handover(
                peer.id, peer.incarnation, message.departed_members, now
            )
        with contextlib.suppress(PeerError):
            await exchange.send(KeysTaken())

    def _check_owner(self, request: _calls.Request) -> None:
        if self._shutting_down:
            raise _calls.CallRefusedError(
                Outcome.UNKNOWN, 'not-owner', 'this daemon is stopping'
            )
        table = self._membership.table
        owner = _ownership.owner(
            request.service, request.key, table.endpoints(request.service)
        )
        if owner is None or owner.id != self._membership.me.id:
            raise _calls.CallRefusedError(
                Outcome.UNKNOWN,
                'not-owner',
                f'another daemon owns the key {request.key!r}',
            )

    async def _execute_claimed(
        self,
        request: _calls.Request,
        sink: _calls.ResponseSink,
        released_to: set[tuple[str, int]],
    ) -> None:
        service, key = request.service, request.key
        finished = self._finished_events[service, key] = trio.Event()
        recording = _RecordingSink(sink, self._buffer_budget)
        state: KeyState | None = KeyState.UNKNOWN
        try:
            try:
                await self._query_former_owners(request, released_to)
            except BaseException:
                state = None
                raise
            await self._sender.send(request, recording, key_claimed=True)
            state = KeyState.DONE
        except _calls.CallRefusedError as error:
            if error.outcome == Outcome.NOT_RUN:
                state = None
            elif error.outcome == Outcome.RUN:
                state = KeyState.DONE
            recording = _RecordingSink(sink, self._buffer_budget)
            raise
        except _calls.BrokenResponseError:
            state = KeyState.DONE
            recording = _RecordingSink(sink, self._buffer_budget)
            raise
        finally:
            del self._finished_events[service, key]
            if state is None:
                self._ledger.abandon(service, key, trio.current_time())
            else:
                now = trio.current_time()
                response = None
                if state == KeyState.DONE:
                    response = recording.response
                self._ledger.finish(service, key, now, state, response)
            finished.set()

    async def _query_former_owners(
        self, request: _calls.Request, released_to: set[tuple[str, int]]
    ) -> None:
        joined = self._services.get(request.service)
        if joined is None:
            raise _calls.CallRefusedError(
                Outcome.UNKNOWN, 'not-owner', 'no endpoint of the service here'
            )
        now = trio.current_time()
        former = joined.history.former_owners(
            request.key, now, joined.joined_at
        )
        if former.lost:
            raise _calls.CallRefusedError(
                Outcome.UNKNOWN,
                'former-owner-lost',
                f'former owners of the key have restarted: {former.lost}',
            )
        to_query = {item.id: item for item in former.to_query}
        for member_id, incarnation in released_to:
            if member_id not in to_query or not _ownership.is_same_process(
                to_query[member_id], incarnation
            ):
                raise _calls.CallRefusedError(
                    Outcome.UNKNOWN,
                    'key-released',
                    f'the key was released to {member_id}',
                )
        if not former.to_query:
            return
        outcomes: dict[str, Outcome] = {}
        queried = tuple(
            (item.id, item.incarnation) for item in former.to_query
        )
        async with trio.open_nursery() as nursery:
            for member in former.to_query:
                nursery.start_soon(
                    self._request_release, member, request, queried, outcomes
                )
        for outcome in (Outcome.RUN, Outcome.UNKNOWN):
            for member_id, reply_outcome in outcomes.items():
                if reply_outcome == outcome:
                    raise _calls.CallRefusedError(
                        outcome,
                        'former-owner',
                        f'former owner {member_id} of the key did not '
                        'release it',
                    )

    async def _request_release(
        self,
        member: Member,
        request: _calls.Request,
        queried: tuple[tuple[str, int], ...],
        outcomes: dict[str, Outcome],
    ) -> None:
        outcomes[member.id] = Outcome.UNKNOWN
        remaining_s = request.deadline - trio.current_time()
        try:
            reply = await self._peers.request(
                member.peer_address,
                KeyRelease(
                    request.service, request.key, member.incarnation, queried
                ),
                timeout_s=max(0.0, min(_RELEASE_TIMEOUT_S, remaining_s)),
            )
        except PeerError:
            return
        if isinstance(reply, KeyReleased):
            outcomes[member.id] = reply.outcome


def _build_record(key: str, entry: KeyEntry) -> KeyRecord:
    state = entry.state
    if state not in (KeyState.DONE, KeyState.RELEASED):
        state = KeyState.UNKNOWN
    return KeyRecord(key, entry.digest, state.value, tuple(entry.released_to))


def _digest(request: _calls.Request) -> bytes:
    # Length prefixes separate the fields, so that no two requests with the
    # same concatenation of fields have the same digest.
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        request.method.encode(),
        request.path.encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


async def _replay(
    entry: _ownership.KeyEntry, key: str, sink: _calls.ResponseSink
) -> None:
    if entry.state == KeyState.MISMATCH:
        raise _calls.not_run(
            'key-mismatch', f'key {key!r} was used for another request'
        )
    if entry.state == KeyState.UNKNOWN:
        raise _calls.CallRefusedError(
            Outcome.UNKNOWN,
            'outcome-unknown',
            f'the outcome of the request with key {key!r} is unknown',
        )
    response = entry.response
    if response is None:
        raise _calls.CallRefusedError(
            Outcome.RUN,
            'response-dropped',
            f'the response to key {key!r} is no longer stored',
        )
    await _calls.deliver(response, sink)
