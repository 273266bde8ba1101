"""Messages between daemons.

Every message is a msgpack array whose first item is the tag of its type. For
compatibility between adjacent releases, tags are never reused, and fields are
only added at the end and with a default.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from gypsumhall.core._cold_limit import ColdLoad
from gypsumhall.core._evacuation import EvacuationState
from gypsumhall.core._member import Count
from gypsumhall.core._member import MAX_COUNT
from gypsumhall.core._member import Member
from gypsumhall.core._model import Fragment
from gypsumhall.core._model import Head
from gypsumhall.core._model import MoveSpec
from gypsumhall.core._model import MoveState
from gypsumhall.core._model import RequestLimits
from gypsumhall.core._model import Route
from gypsumhall.core._model import Service
from gypsumhall.core._model import Tenant
from gypsumhall.core._quotas import Answer
from gypsumhall.core._quotas import Question
from gypsumhall.core._quotas import ZoneQuestion
from gypsumhall.core._revision import NO_REVISION
from gypsumhall.core._revision import Revision


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the messages between daemons."""


class Ping(Message, frozen=True, tag=1):
    """Checks whether the peer on an idle stream responds; see `Pong`."""


class Pong(Message, frozen=True, tag=2):
    """Reply to a `Ping`.

    Parameters
    ----------
    member : str
        Id of the replying daemon.
    """

    member: str = ''


class Failure(Message, frozen=True, tag=3):
    """Reply to a message that the receiver cannot handle.

    Parameters
    ----------
    code : str
        Error code.
    detail : str
        Description of the error.
    """

    code: str
    detail: str


class Busy(Message, frozen=True, tag=4):
    """Rejects a request because the peer is busy.

    Parameters
    ----------
    alternative_addresses : tuple of str
        Peer addresses that the request can be sent to instead.
    retry_after_ms : int
        Time in milliseconds after which the same peer may be tried again.
    """

    alternative_addresses: tuple[str, ...] = ()
    retry_after_ms: int = 200


# Membership


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Digest of a daemon's state, which daemons compare with each other.

    Parameters
    ----------
    version : int
        Installed configuration version.
    snapshot : str
        Digest of the installed configuration (16 hexadecimal digits).
    members : int
        Digest of the member table (64 bits).
    reverts : int
        Digest of the set of reverted moves (64 bits).
    """

    version: int = 0
    snapshot: str = ''
    members: int = 0
    reverts: int = 0


class Heartbeat(Message, frozen=True, tag=10):
    """Heartbeat with changes to the member table.

    Parameters
    ----------
    sender : Member
        Current member entry of the sender.
    digest : Digest
        Digest of the sender's state.
    members : tuple of Member
        Recent changes to the member table.
    time : int
        Hybrid logical clock of the sender.
    receiver_checksum : int
        Checksum of the receiver's entry in the sender's table; 0 requests
        a `HeartbeatReply` unconditionally.
    """

    sender: Member
    digest: Digest
    members: tuple[Member, ...] = ()
    time: int = 0
    receiver_checksum: int = 0


class HeartbeatReply(Message, frozen=True, tag=11):
    """Full reply to a `Heartbeat`; the fields have the same meaning."""

    sender: Member
    digest: Digest
    members: tuple[Member, ...] = ()
    time: int = 0


class HeartbeatEcho(Message, frozen=True, tag=16):
    """Short reply to a `Heartbeat` with a current `receiver_checksum`.

    The entry of the replying daemon is omitted because the sender of the
    heartbeat has it.

    Parameters
    ----------
    members_digest : int
        Digest of the member table.
    time : int
        Hybrid logical clock of the sender.
    digest : Digest or None
        Digest of the sender's state; None when it differs from that in the
        heartbeat at most in the digest of the member table.
    members : tuple of Member
        Changed entries of other members.
    """

    members_digest: int
    time: int
    digest: Digest | None = None
    members: tuple[Member, ...] = ()


class MembersPull(Message, frozen=True, tag=12):
    """Requests the entries of the buckets whose digests differ.

    Parameters
    ----------
    buckets : tuple of int
        Digests of the sender's buckets, in order, with -1 for buckets that
        are not compared; empty to request all entries.
    """

    buckets: tuple[int, ...] = ()


class Members(Message, frozen=True, tag=13):
    """Entries of the member table.

    Parameters
    ----------
    members : tuple of Member
        The entries.
    more : bool
        Whether another `Members` message follows in the exchange.
    ages : tuple of int
        For each dead or leaving entry, in order, the time in seconds for
        which it has been dead or leaving in the sender's table. Without
        ages, daemons would send such entries to each other forever.
    """

    members: tuple[Member, ...]
    more: bool = False
    ages: tuple[int, ...] = ()


class PingRequest(Message, frozen=True, tag=14):
    """Requests that a peer checks whether a third daemon responds.

    Parameters
    ----------
    target : str
        Peer address of the daemon to check.
    member : str
        Expected id of the daemon at this address; empty for any.
    """

    target: str
    member: str = ''


class PingResult(Message, frozen=True, tag=15):
    """Reply to a `PingRequest`."""

    reachable: bool


# Distribution


class HeadRemovals(msgspec.Struct, frozen=True, array_like=True):
    """Keys that a delta removes from the maps of the head."""

    departments: tuple[str, ...] = ()
    moves: tuple[str, ...] = ()
    current: tuple[str, ...] = ()
    submissions: tuple[str, ...] = ()


class FragmentPatch(msgspec.Struct, frozen=True, array_like=True):
    """Changes to the fragment of one department.

    Parameters
    ----------
    department : str
        Name of the department.
    services, routes, moves : tuple
        Added and changed entries.
    removed_services, removed_routes, removed_moves : tuple of str
        Names or ids of removed entries.
    tenants : tuple of Tenant
        Added and changed tenants.
    removed_tenants : tuple of str
        Names of removed tenants.
    limits : RequestLimits or None
        Limits of the new fragment.
    """

    department: str
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    moves: tuple[MoveSpec, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_moves: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    removed_tenants: tuple[str, ...] = ()
    limits: RequestLimits | None = None


class Update(Message, frozen=True, tag=20):
    """A configuration version, in full or as a delta.

    A delta carries only the differences from its base: a full head of
    1,900 services takes 300 KB, a typical change less than 1 KB.

    Parameters
    ----------
    head : Head
        Head of the version; in a delta, the version and the added and
        changed entries of the head's maps.
    base : int
        Configuration version that the delta is applied to; 0 for a full
        configuration.
    fragments : tuple of Fragment
        All fragments, or those that a delta replaces in full.
    root : str
        Id of the daemon at the root of the distribution tree in which the
        update is sent; empty outside a tree.
    time : int
        Hybrid logical clock of the sender.
    digest : str
        Digest of the resulting snapshot; required in a delta.
    base_digest : str
        Digest of the snapshot at the base version.
    removed : HeadRemovals
        Removed entries of the head's maps.
    patches : tuple of FragmentPatch
        Changes to fragments that are not replaced in full.
    more : bool
        Whether another `Update` with more fragments of the same version
        follows in the exchange.
    """

    head: Head
    base: int
    fragments: tuple[Fragment, ...]
    root: str = ''
    time: int = 0
    digest: str = ''
    base_digest: str = ''
    removed: HeadRemovals = HeadRemovals()
    patches: tuple[FragmentPatch, ...] = ()
    more: bool = False


class PackedUpdate(Message, frozen=True, tag=29):
    """A compressed `Update` in the reply to a `Pull`.

    Parameters
    ----------
    base : int
        As in the update.
    data : bytes
        The encoded update in zlib format.
    time : int
        Hybrid logical clock of the sender.
    """

    base: int
    data: bytes
    time: int = 0


class Announcement(Message, frozen=True, tag=21):
    """Notifies a peer of the sender's installed configuration version.

    Parameters
    ----------
    digest : Digest
        Digest of the sender's state.
    root : str
        Id of the daemon at the root of the distribution tree in which a
        large version is announced instead of pushed: the receiver pulls it
        at once. Empty outside a tree.
    """

    digest: Digest
    root: str = ''


class Pull(Message, frozen=True, tag=22):
    """Requests the installed configuration.

    The reply is `Busy`, or one or more of `Update` and `PackedUpdate`.

    Parameters
    ----------
    installed_version : int
        Version installed at the sender, the possible base of a delta; 0 for
        none.
    digest : str
        Digest of the snapshot installed at the sender. A delta is sent only
        if its base has the same digest.
    """

    installed_version: int = 0
    digest: str = ''


class FloorRequest(Message, frozen=True, tag=23):
    """Requests the version that a starting daemon has acknowledged before.

    Parameters
    ----------
    member : str
        Id of the starting daemon.
    """

    member: str


class Floor(Message, frozen=True, tag=24):
    """Reply to a `FloorRequest`.

    Parameters
    ----------
    acknowledged_version : int
        Highest configuration version that the requesting daemon is known to
        have acknowledged; 0 when unknown.
    installed_version : int
        Configuration version installed at the replying daemon.
    ready : bool
        Whether the replying daemon has reached its own version floor. When
        all daemons of a zone restart together, replies based on their empty
        state must not count.
    """

    acknowledged_version: int
    installed_version: int
    ready: bool = True


class Acknowledgement(Message, frozen=True, tag=25):
    """State of a subtree, sent to the parent in the distribution tree.

    Parameters
    ----------
    root : str
        Id of the reader at the root of the tree.
    lowest_version : int
        Lowest configuration version in the subtree.
    members : int
        Number of daemons in the subtree.
    """

    root: str
    lowest_version: int
    members: int


class ZoneSummary(msgspec.Struct, frozen=True, array_like=True):
    """State of a zone as known at the root of its distribution tree.

    Parameters
    ----------
    zone : str
        Availability zone.
    incarnation : int
        Incarnation of the root. Of two summaries, the one with the higher
        (`incarnation`, `sequence`) is used.
    sequence : int
        Incremented with every summary of the root.
    members : int
        Number of daemons that acknowledged.
    expected : int
        Number of daemons of the zone in the root's member table.
    lowest_version : int
        Lowest configuration version in the zone.
    """

    zone: str
    incarnation: int
    sequence: int
    members: int
    expected: int
    lowest_version: int


class ZoneSummaries(Message, frozen=True, tag=26):
    """Summaries of zones, merged by incarnation and sequence."""

    summaries: tuple[ZoneSummary, ...]


class Revert(msgspec.Struct, frozen=True, array_like=True):
    """A verdict that a move has to be reverted.

    Parameters
    ----------
    move : str
        Id of the move.
    reason : str
        Evidence or operator command behind the verdict.
    origin : str
        Id of the daemon that reached the verdict.
    """

    move: str
    reason: str
    origin: str


class Reverts(Message, frozen=True, tag=27):
    """Reverted moves, merged by union.

    Parameters
    ----------
    reverts : tuple of Revert
        The verdicts.
    time : int
        Hybrid logical clock of the sender.
    version : int
        Configuration version at which all these moves existed. A receiver
        at this version or above drops the revert of a move that its
        configuration does not contain, because the move was removed later.
    root : str
        Id of the daemon in the receiver's zone at the root of the
        distribution tree in which the message is sent; empty outside a
        tree.
    """

    reverts: tuple[Revert, ...]
    time: int = 0
    version: int = 0
    root: str = ''


class RevertsPull(Message, frozen=True, tag=28):
    """Requests all reverted moves; the reply is `Reverts`."""


# Calls


class Outcome(enum.StrEnum):
    """Whether a backend server executed a request."""

    RUN = 'run'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class ServerFigures(msgspec.Struct, frozen=True, array_like=True):
    """Speed of a backend server that states its load.

    Parameters
    ----------
    base_time_ms : int
        Mean execution time at the usual speed of the VM; 0 when none was
        measured.
    percent : int
        Time that work takes now, in percent of the usual time.
    age_ms : int
        Age of `percent`.
    """

    base_time_ms: int = 0
    percent: int = 100
    age_ms: int = 0


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a backend server, as measured by its daemon.

    Parameters
    ----------
    in_flight : int
        Number of requests being executed.
    queued : int
        Number of queued calls.
    slots : int
        Concurrency limit.
    draining : bool
        Whether new calls are rejected.
    service_time_ms : float
        Recent mean execution time; 0 when none was measured.
    wait_ms : float
        Expected queueing time of a call that arrives now.
    failure_rate : float
        Recent fraction of executions that failed, 0 to 1.
    cold : ColdLoad or None
        Remaining time and capacity of a cold backend server; None for one
        that is warm or has no limit.
    server : ServerFigures or None
        What the backend server states; None if it states nothing.
    """

    in_flight: int
    queued: int
    slots: int
    draining: bool = False
    service_time_ms: float = 0.0
    wait_ms: float = 0.0
    failure_rate: float = 0.0
    cold: ColdLoad | None = None
    server: ServerFigures | None = None


class CallStart(Message, frozen=True, tag=40):
    """Starts a call; a large body follows in `BodyChunk` messages.

    Parameters
    ----------
    request_id : str
        Unique id of the attempt, and its key in the execution ledger.
    runner_incarnation : int
        Incarnation of the runner that the call is meant for; 0 for any.
    service, version, route : str
        Service, chosen service version and ``<department>/<route>``.
    method, path : str
        Request line; the path includes the query.
    headers : tuple of (bytes, bytes)
        Request headers without hop-by-hop headers.
    deadline_ms : int
        Time left until the deadline, in milliseconds.
    idempotent : bool
        Whether the request may be repeated.
    key : str
        The caller's ``Idempotency-Key``; empty for none.
    has_body : bool
        Whether `BodyChunk` messages follow.
    move : str
        Id of the move for which the result counts as evidence; empty for
        none.
    stage : int
        Stage of that move.
    time : int
        Hybrid logical clock of the sender.
    body : bytes
        Complete body, at most 64 KiB; empty when `BodyChunk` messages
        follow.
    zone : str
        Zone of the sender.
    priority : int
        Priority of the route; 0 is the highest.
    objective_ms : int
        Time left until the latency objective, in milliseconds; negative
        after it has passed.
    max_wait_ms : int
        Longest expected queueing time, in milliseconds, at which the runner
        accepts the call; -1 for any that leaves time to execute it.
    is_caller_retry : bool
        Whether the caller retries after a rejection.
    sent_us : int
        Time at which the call was sent, by `net._socket.clock_us` of the
        sender; 0 if unknown.
    tenant : str
        Tenant that sent the request; empty for none.
    """

    request_id: str
    runner_incarnation: int
    service: str
    version: str
    route: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    deadline_ms: int
    idempotent: bool
    key: str = ''
    has_body: bool = False
    move: str = ''
    stage: int = 0
    time: int = 0
    body: bytes = b''
    zone: str = ''
    priority: int = 0
    objective_ms: int = 0
    max_wait_ms: int = -1
    is_caller_retry: bool = False
    sent_us: int = 0
    tenant: str = ''


class BodyChunk(Message, frozen=True, tag=41):
    """Part of a request or response body.

    Parameters
    ----------
    data : bytes
        Bytes of the body, at most 64 KiB.
    last : bool
        Whether the body ends here.
    """

    data: bytes
    last: bool = False


class CallCancel(Message, frozen=True, tag=42):
    """Notifies the runner that the response is no longer needed.

    Parameters
    ----------
    request_id : str
        Id of the attempt.
    reason : str
        Why the sender cancelled it, for the log of the runner.
    """

    request_id: str
    reason: str = ''


class AnswerStart(Message, frozen=True, tag=43):
    """Starts a response; `BodyChunk` messages and `AnswerEnd` follow.

    A body ends with the part marked as `last`, or with `AnswerEnd`.

    Parameters
    ----------
    request_id : str
        Id of the attempt.
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Response headers without hop-by-hop headers.
    load : Load
        Load of the backend server.
    body : bytes
        First part of the body, at most 64 KiB.
    last : bool
        Whether the body ends with this part.
    """

    request_id: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    load: Load
    body: bytes = b''
    last: bool = False


class AnswerEnd(Message, frozen=True, tag=44):
    """Ends a response.

    Parameters
    ----------
    request_id : str
        Id of the attempt.
    complete : bool
        False when the backend server aborted the response.
    """

    request_id: str
    complete: bool = True


class CallRefused(Message, frozen=True, tag=45):
    """Rejects a call or reports that it failed.

    Parameters
    ----------
    request_id : str
        Id of the attempt.
    outcome : Outcome
        Whether the request was executed.
    code : str
        Error code, for example ``draining`` or ``overloaded``.
    detail : str
        Human-readable explanation.
    load : Load or None
        Load of the backend server.
    retry_after_ms : int
        Time in milliseconds after which a retry is likely to be accepted;
        0 when unknown.
    """

    request_id: str
    outcome: Outcome
    code: str
    detail: str = ''
    load: Load | None = None
    retry_after_ms: int = 0


class CallQuery(Message, frozen=True, tag=46):
    """Queries a runner for the outcome of an earlier attempt.

    The reply is `AnswerStart` or `CallRefused`, as for a call.
    """

    request_id: str
    runner_incarnation: int


class CallWithdraw(Message, frozen=True, tag=39):
    """Withdraws a call; gets no reply.

    If no byte of it has been sent to the backend server, the call ends with
    `CallRefused`; otherwise it continues.

    Parameters
    ----------
    request_id : str
        Id of the attempt.
    only_queued : bool
        Whether only a call in the queue of the endpoint is withdrawn, with
        the code ``withdrawn``. Otherwise its key has been removed.
    """

    request_id: str
    only_queued: bool = False


class KeyRelease(Message, frozen=True, tag=47):
    """Requests a former key owner to release an idempotency key.

    Parameters
    ----------
    service, key : str
        Service and idempotency key.
    incarnation : int
        Incarnation of the queried process; a process with another
        incarnation has no record of the key.
    queried_members : tuple of (str, int)
        Ids and incarnations of all queried members. A member that released
        the key before replies ``unknown`` unless the daemons that it
        released the key to are queried as well.
    """

    service: str
    key: str
    incarnation: int = 0
    queried_members: tuple[tuple[str, int], ...] = ()


class KeyReleased(Message, frozen=True, tag=48):
    """Reply to a `KeyRelease`.

    Parameters
    ----------
    outcome : Outcome
        ``not-run`` when the former owner has not executed a request with
        this key and will not execute one later.
    """

    outcome: Outcome


class KeyRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record of an idempotency key, handed over in a graceful shutdown.

    Parameters
    ----------
    key : str
        Idempotency key.
    digest : bytes
        Digest of the request with this key.
    state : str
        ``done``, ``unknown`` or ``released``.
    released_to : tuple of (str, int)
        Ids and incarnations of the daemons that the key was released to.
    """

    key: str
    digest: bytes
    state: str
    released_to: tuple[tuple[str, int], ...] = ()


class KeyHandover(Message, frozen=True, tag=49):
    """Hands the keys of a daemon that shuts down over to the other owners.

    Parameters
    ----------
    service : str
        Service of the keys.
    records : tuple of KeyRecord
        Records of some of the keys.
    last : bool
        Whether all keys have been sent. The sender then executes no further
        keyed request of the service and need not be queried.
    departed_members : tuple of Member
        In the last message, departed processes whose keys the sender does
        not know.
    """

    service: str
    records: tuple[KeyRecord, ...]
    last: bool
    departed_members: tuple[Member, ...] = ()


class KeysTaken(Message, frozen=True, tag=50):
    """Confirms a `KeyHandover`."""


# Moves


class Counts(msgspec.Struct, frozen=True, array_like=True):
    """Results of calls to one endpoint within one interval.

    Parameters
    ----------
    route : str
        ``<department>/<route>``.
    version : str
        Service version of the endpoint.
    endpoint : str
        Id of the daemon beside the backend server.
    zone : str
        Zone of the endpoint.
    calls, failures, slow : int
        Number of executed calls, and how many of them failed or were slow.
    latencies_ms : tuple of float
        Quantiles 0.5, 0.95 and 0.99 of the latency; empty without calls.
    sender_zone : str
        Zone of the daemons that sent the calls.
    """

    route: str
    version: str
    endpoint: str
    zone: str
    calls: int
    failures: int
    slow: int
    latencies_ms: tuple[float, ...] = ()
    sender_zone: str = ''


class Evidence(Message, frozen=True, tag=60):
    """Evidence about a move from one endpoint or one judge.

    Parameters
    ----------
    move : str
        Id of the move.
    stage : int
        Stage during which the calls were assigned.
    interval : int
        Number of the interval: Unix time divided by the interval length.
    counts : tuple of Counts
        Results within the interval.
    time : int
        Hybrid logical clock of the sender.
    """

    move: str
    stage: int
    interval: int
    counts: tuple[Counts, ...]
    time: int = 0


class SlowThreshold(msgspec.Struct, frozen=True, array_like=True):
    """Latency above which a call of a route counts as slow."""

    route: str
    threshold_ms: float


class EvidenceReply(Message, frozen=True, tag=61):
    """Reply to `Evidence`, with the thresholds for the next interval.

    Parameters
    ----------
    thresholds : tuple of SlowThreshold
        Latency thresholds by route.
    """

    thresholds: tuple[SlowThreshold, ...] = ()


class EvidencePosition(msgspec.Struct, frozen=True, array_like=True):
    """Selects the evidence about a move after an interval."""

    move: str
    after_interval: int = 0


class EvidencePull(Message, frozen=True, tag=62):
    """Requests evidence from a judge; the reply is `EvidenceBatch`."""

    positions: tuple[EvidencePosition, ...]


class EvidenceBatch(Message, frozen=True, tag=63):
    """Evidence of closed intervals, in the order of the intervals."""

    evidence: tuple[Evidence, ...]
    time: int = 0


# Rollouts


class RolloutRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of a move that was ordered through the platform's store.

    Parameters
    ----------
    service, version : str
        Service, and the version to which its calls are moved.
    order : Revision
        Revision of the store at which the order was written.
    step : int
        Incremented with each change of the record.
    share : float
        Fraction of the calls that are sent to the version, 0 to 1.
    state : MoveState
        Progress. Such a move takes seconds and has no soak.
    repeated : Revision
        Newest revision at which the same order was written again, after the
        store had been restored from a copy; `NO_REVISION` for none.
    replaces : Revision
        Newest revision of an earlier order for the same version, of which
        this one is no repetition; `NO_REVISION` for none.
    stored_era : int
        Era of the store in which this state was written; -1 for none.
    """

    service: str
    version: str
    order: Revision
    step: Count = 0
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    state: MoveState = MoveState.ACTIVE
    repeated: Revision = NO_REVISION
    replaces: Revision = NO_REVISION
    stored_era: Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNT)] = -1

    @property
    def newest(self) -> Revision:
        """Newest revision at which the order was written."""
        return max(self.order, self.repeated)

    @property
    def is_lost(self) -> bool:
        """Whether the state was written in an earlier era than the order."""
        return 0 <= self.stored_era < self.newest.era

    @property
    def is_open(self) -> bool:
        """Whether a controller has to decide or to write."""
        return not self.state.final or self.stored_era < self.newest.era


class RolloutUpdate(Message, frozen=True, tag=64):
    """Notifies a peer of the state of rollouts.

    Parameters
    ----------
    records : tuple of RolloutRecord
        States of the rollouts.
    evidence : bool
        Whether the sender, a controller, requests evidence.
    """

    records: tuple[RolloutRecord, ...]
    evidence: bool = False


class RolloutCounts(msgspec.Struct, frozen=True, array_like=True):
    """Results of the executions of one route since a rollout was ordered.

    Parameters
    ----------
    route : str
        Id of the route.
    failures : int
        Number of failed executions.
    durations : tuple of int
        Number of executions per duration bucket; see
        `gypsumhall.core._rollout.bucket`.
    """

    route: str
    failures: int
    durations: tuple[int, ...]


class RolloutEvidence(Message, frozen=True, tag=65):
    """Results at one endpoint of a service with a rollout.

    Parameters
    ----------
    service, version : str
        Service, and the version of the endpoint.
    order : Revision
        Revision of the store at which the order was written.
    counts : tuple of RolloutCounts
        Results since the order.
    """

    service: str
    version: str
    order: Revision
    counts: tuple[RolloutCounts, ...]


# Evacuations


class EvacuationUpdate(Message, frozen=True, tag=66):
    """Notifies a peer of the evacuated zones.

    Parameters
    ----------
    state : EvacuationState
        The newest state that the sender knows.
    """

    state: EvacuationState


class EvacuationPull(Message, frozen=True, tag=67):
    """Requests an `EvacuationUpdate`.

    A daemon that knows no state does not reply.
    """


# Quotas


class QuotaPacket(Message, frozen=True, tag=80):
    """Questions and answers about the quotas of tenants.

    Parameters
    ----------
    zones : int
        Number of zones that the sender knows.
    avoided : str
        Id of the owner that the sender could not reach; empty for none.
    questions : tuple of Question
        Questions to the owner in the sender's zone.
    zone_questions : tuple of ZoneQuestion
        Questions of an owner to the owner in another zone.
    answers : tuple of Answer
        Answers to questions of either kind.
    """

    zones: Count = 1
    avoided: str = ''
    questions: tuple[Question, ...] = ()
    zone_questions: tuple[ZoneQuestion, ...] = ()
    answers: tuple[Answer, ...] = ()
