"""Messages between daemons.

Every message is an msgpack array whose first item is the message's tag. A
tag is never reused, and fields are only ever added at the end with a default,
so that daemons of neighbouring releases understand each other.
"""

from __future__ import annotations

import enum

import msgspec

from gypsumhall.core._member import Member
from gypsumhall.core._model import Fragment
from gypsumhall.core._model import Head
from gypsumhall.core._model import MoveSpec
from gypsumhall.core._model import MoveState
from gypsumhall.core._model import Route
from gypsumhall.core._model import Service


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the messages between daemons."""


class Ping(Message, frozen=True, tag=1):
    """Asks the other end of an idle stream for a sign of life."""


class Pong(Message, frozen=True, tag=2):
    """Answers a `Ping`.

    Parameters
    ----------
    member : str
        Id of the daemon that answers.
    """

    member: str = ''


class Failure(Message, frozen=True, tag=3):
    """Answers an exchange that the receiver cannot handle.

    Parameters
    ----------
    code : str
        Error code.
    detail : str
        What was wrong.
    """

    code: str
    detail: str


class Busy(Message, frozen=True, tag=4):
    """Refuses a request for now.

    Parameters
    ----------
    others : tuple of str
        Peer addresses that may answer instead.
    retry_after_ms : int
        Time after which the same peer may be asked again.
    """

    others: tuple[str, ...] = ()
    retry_after_ms: int = 200


# Membership


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Summary of the state that daemons compare with each other.

    Parameters
    ----------
    version : int
        Installed configuration version.
    snapshot : str
        Digest of the installed configuration (16 hexadecimal digits).
    members : int
        Digest of the member table, 64 bits.
    reverts : int
        Digest of the set of reverted moves, 64 bits.
    """

    version: int = 0
    snapshot: str = ''
    members: int = 0
    reverts: int = 0


class Heartbeat(Message, frozen=True, tag=10):
    """Sign of life with changes to the member table.

    Parameters
    ----------
    sender : Member
        Current entry of the sender.
    digest : Digest
        Summary of the sender's state.
    members : tuple of Member
        Recent changes to the member table.
    time : int
        Hybrid logical clock of the sender.
    known : int
        Checksum of the receiver's entry as the sender holds it; 0 asks for
        a `HeartbeatReply` in any case.
    """

    sender: Member
    digest: Digest
    members: tuple[Member, ...] = ()
    time: int = 0
    known: int = 0


class HeartbeatReply(Message, frozen=True, tag=11):
    """Answers a `Heartbeat` with the same kinds of fields."""

    sender: Member
    digest: Digest
    members: tuple[Member, ...] = ()
    time: int = 0


class HeartbeatEcho(Message, frozen=True, tag=16):
    """Answers a `Heartbeat` whose sender knows the answering daemon's entry.

    Parameters
    ----------
    table : int
        Digest of the member table.
    time : int
        Hybrid logical clock of the sender.
    digest : Digest or None
        State of the sender; None when it equals that of the heartbeat but
        for the digest of the member table.
    members : tuple of Member
        Changed entries of other members.
    """

    table: int
    time: int
    digest: Digest | None = None
    members: tuple[Member, ...] = ()


class MembersPull(Message, frozen=True, tag=12):
    """Asks for the entries of the buckets whose digests differ.

    Parameters
    ----------
    buckets : tuple of int
        Digests of the sender's buckets, in order, -1 for buckets not to be
        compared; empty to ask for all entries.
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
        For each dead or leaving entry, in order, the seconds since the
        sender's table holds it as such. Without them, tables would pass
        such entries on to each other for ever.
    """

    members: tuple[Member, ...]
    more: bool = False
    ages: tuple[int, ...] = ()


class PingRequest(Message, frozen=True, tag=14):
    """Asks a peer to check whether a third daemon responds.

    Parameters
    ----------
    target : str
        Peer address of the daemon to check.
    member : str
        Id that the daemon at this address must have; empty for any.
    """

    target: str
    member: str = ''


class PingResult(Message, frozen=True, tag=15):
    """Answers a `PingRequest`."""

    reachable: bool


# Distribution


class HeadRemovals(msgspec.Struct, frozen=True, array_like=True):
    """Keys of a head's maps that a delta removes."""

    departments: tuple[str, ...] = ()
    moves: tuple[str, ...] = ()
    current: tuple[str, ...] = ()
    submissions: tuple[str, ...] = ()


class FragmentPatch(msgspec.Struct, frozen=True, array_like=True):
    """Change of one department's fragment.

    Parameters
    ----------
    department : str
        Name of the department.
    services, routes, moves : tuple
        Added and changed entries.
    removed_services, removed_routes, removed_moves : tuple of str
        Names or ids of removed entries.
    """

    department: str
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    moves: tuple[MoveSpec, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_moves: tuple[str, ...] = ()


class Update(Message, frozen=True, tag=20):
    """A configuration version, whole or as a delta.

    A delta carries only what differs from its base: a head of 1,900
    services takes 300 KB, but a typical change takes under 1 KB.

    Parameters
    ----------
    head : Head
        Head record of the version; in a delta, the version and the added
        and changed entries of the head's maps.
    base : int
        Configuration version that the delta starts from; 0 for a whole
        configuration.
    fragments : tuple of Fragment
        All fragments, or those that a delta replaces as a whole.
    root : str
        Id of the daemon at the root of the tree that carries the update;
        empty outside the tree.
    time : int
        Hybrid logical clock of the sender.
    digest : str
        Digest of the resulting snapshot; required in a delta.
    base_digest : str
        Digest of the base's snapshot.
    removed : HeadRemovals
        Entries of the base's head that are gone.
    patches : tuple of FragmentPatch
        Changes of fragments that are not replaced as a whole.
    more : bool
        Whether a further `Update` in the exchange carries more fragments
        of the same version.
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


class Announcement(Message, frozen=True, tag=21):
    """Tells a peer which configuration version the sender holds."""

    digest: Digest


class Pull(Message, frozen=True, tag=22):
    """Asks for the installed configuration; answered by `Update` or `Busy`.

    Parameters
    ----------
    held : int
        Version that the sender holds, as base of a delta; 0 for none.
    digest : str
        Digest of the held snapshot. A delta is sent only from a base with
        the same digest.
    """

    installed_version: int = 0
    digest: str = ''


class FloorRequest(Message, frozen=True, tag=23):
    """Asks which versions a peer knows a daemon to have acknowledged.

    Parameters
    ----------
    member : str
        Id of the daemon that starts.
    """

    member: str


class Floor(Message, frozen=True, tag=24):
    """Answers a `FloorRequest`.

    Parameters
    ----------
    acknowledged_version : int
        Highest configuration version that the asking daemon is known to
        have held; 0 when unknown.
    held : int
        Configuration version of the answering daemon.
    ready : bool
        Whether the answering daemon has reached its own floor. When all
        daemons of a zone restart together, their empty state must not
        count as an answer.
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
    lowest : int
        Lowest configuration version in the subtree.
    members : int
        Daemons in the subtree.
    """

    root: str
    lowest_version: int
    members: int


class ZoneSummary(msgspec.Struct, frozen=True, array_like=True):
    """State of a zone as the root of its distribution tree sees it.

    Parameters
    ----------
    zone : str
        Availability zone.
    incarnation : int
        Incarnation of the root; with `sequence`, the later one wins.
    sequence : int
        Grows with every summary of the root.
    members : int
        Daemons that acknowledged.
    expected : int
        Daemons in the root's member table.
    lowest : int
        Lowest configuration version of the zone.
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
    """A verdict against a move.

    Parameters
    ----------
    move : str
        Id of the move.
    reason : str
        Evidence or command that led to the verdict.
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
        Configuration version by which all these moves existed. A receiver
        at this version or above whose configuration does not know a move
        drops its revert, because the move has been removed since.
    root : str
        Id of the daemon of the receiver's zone whose tree carries the
        message; empty outside a tree.
    """

    reverts: tuple[Revert, ...]
    time: int = 0
    version: int = 0
    root: str = ''


class RevertsPull(Message, frozen=True, tag=28):
    """Asks for all reverted moves; answered by `Reverts`."""


# Calls


class Outcome(enum.StrEnum):
    """Whether a backend server executed a request."""

    RUN = 'run'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a backend server, as its daemon sees it.

    Parameters
    ----------
    in_flight : int
        Requests being executed.
    queued : int
        Requests waiting for a slot.
    slots : int
        Concurrency limit.
    draining : bool
        Whether new work is refused.
    service_time_ms : float
        Recent mean time of a run; 0 when none was measured.
    wait_ms : float
        Time that a call arriving now would wait for a slot.
    failing : float
        Recent share of runs that failed, 0 to 1.
    """

    in_flight: int
    queued: int
    slots: int
    draining: bool = False
    service_time_ms: float = 0.0
    wait_ms: float = 0.0
    failure_rate: float = 0.0


class CallStart(Message, frozen=True, tag=40):
    """Starts a call; a large body follows in `BodyChunk` messages.

    Parameters
    ----------
    request_id : str
        Unique id of the attempt; the execution ledger is keyed by it.
    runner_incarnation : int
        Incarnation of the runner that the id is meant for; 0 for any.
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
        Id of the move whose evidence the call is part of; empty for none.
    stage : int
        Stage of that move.
    time : int
        Hybrid logical clock of the sender.
    body : bytes
        Whole body, at most 64 KiB; empty when `BodyChunk` messages follow.
    zone : str
        Zone of the sender.
    priority : int
        Rank of the route, 0 for the most urgent.
    objective_ms : int
        Time left until the latency objective; negative once it has passed.
    max_wait_ms : int
        Longest expected wait for a slot with which the runner accepts the
        call; -1 for any that leaves time to run it.
    returning : bool
        Whether the caller was refused before.
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


class BodyChunk(Message, frozen=True, tag=41):
    """Part of a request or response body.

    Parameters
    ----------
    data : bytes
        At most 64 KiB.
    last : bool
        Whether the body ends here.
    """

    data: bytes
    last: bool = False


class CallCancel(Message, frozen=True, tag=42):
    """Tells the runner that nobody waits for the response any more."""

    request_id: str


class AnswerStart(Message, frozen=True, tag=43):
    """Starts a response; `BodyChunk` messages and `AnswerEnd` follow.

    A body ends with a chunk that is marked as the last, or with
    `AnswerEnd`.

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
        False when the backend server broke the response off.
    """

    request_id: str
    complete: bool = True


class CallRefused(Message, frozen=True, tag=45):
    """Refuses a call.

    Parameters
    ----------
    request_id : str
        Id of the attempt.
    outcome : Outcome
        Whether the request was executed.
    code : str
        Reason, for example ``draining`` or ``overloaded``.
    detail : str
        Explanation for people.
    load : Load or None
        Load of the backend server.
    retry_after_ms : int
        Time after which there is likely to be room; 0 when not known.
    """

    request_id: str
    outcome: Outcome
    code: str
    detail: str = ''
    load: Load | None = None
    retry_after_ms: int = 0


class CallQuery(Message, frozen=True, tag=46):
    """Asks a runner for the outcome of an earlier attempt.

    Answered like a call, by `AnswerStart` or `CallRefused`.
    """

    request_id: str
    runner_incarnation: int


class KeyRelease(Message, frozen=True, tag=47):
    """Asks a former key owner to give up an idempotency key.

    Parameters
    ----------
    service, key : str
        Service and idempotency key.
    incarnation : int
        Incarnation of the process that is asked; another one cannot know.
    asked : tuple of (str, int)
        Ids and incarnations of all members that are asked, so that none of
        them answers ``unknown`` because of another.
    """

    service: str
    key: str
    incarnation: int = 0
    queried_members: tuple[tuple[str, int], ...] = ()


class KeyReleased(Message, frozen=True, tag=48):
    """Answers a `KeyRelease`.

    Parameters
    ----------
    outcome : Outcome
        ``not-run`` when the former owner never ran a request with this
        key and will not run one any more.
    """

    outcome: Outcome


class KeyRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a key owner that stops as planned knows about a key.

    Parameters
    ----------
    key : str
        Idempotency key.
    digest : bytes
        Digest of its request.
    state : str
        ``done``, ``unknown`` or ``released``.
    released_to : tuple of (str, int)
        Ids and incarnations of the daemons that the key was given up for.
    """

    key: str
    digest: bytes
    state: str
    released_to: tuple[tuple[str, int], ...] = ()


class KeyHandover(Message, frozen=True, tag=49):
    """Hands the keys of a daemon that stops to the other owners.

    Parameters
    ----------
    service : str
        Service of the keys.
    records : tuple of KeyRecord
        Part of the keys.
    last : bool
        Whether all keys have been sent now. The sender runs no request with
        a key of the service any more, and need not be asked.
    gone : tuple of Member
        With the last part: processes whose keys the sender does not know.
    """

    service: str
    records: tuple[KeyRecord, ...]
    last: bool
    departed_members: tuple[Member, ...] = ()


class KeysTaken(Message, frozen=True, tag=50):
    """Answers a `KeyHandover`."""


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
        Calls that were run, and how many of them failed or were slow.
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
        Number of the interval; Unix time divided by the interval's length.
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
    """Answers `Evidence` with what the endpoint needs for the next interval.

    Parameters
    ----------
    thresholds : tuple of SlowThreshold
        Latency thresholds by route.
    """

    thresholds: tuple[SlowThreshold, ...] = ()


class EvidencePosition(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the evidence about a move after an interval."""

    move: str
    after_interval: int = 0


class EvidencePull(Message, frozen=True, tag=62):
    """Asks a judge for evidence; answered by `EvidenceBatch`."""

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
        Service, and the version that is to get its calls.
    order : int
        Revision of the store at which the order was written.
    step : int
        Grows with each change of the record.
    share : float
        Share of the calls that go to the version, 0 to 1.
    state : MoveState
        Progress; a move of seconds does not soak.
    """

    service: str
    version: str
    order: int
    step: int = 0
    share: float = 0.0
    state: MoveState = MoveState.ACTIVE


class RolloutUpdate(Message, frozen=True, tag=64):
    """Tells a peer the state of rollouts.

    Parameters
    ----------
    records : tuple of RolloutRecord
        The records.
    evidence : bool
        Whether the sender, a controller, wants evidence in return.
    """

    records: tuple[RolloutRecord, ...]
    evidence: bool = False


class RolloutCounts(msgspec.Struct, frozen=True, array_like=True):
    """Results of the runs of one route since a rollout was ordered.

    Parameters
    ----------
    route : str
        Id of the route.
    failures : int
        Runs that failed.
    durations : tuple of int
        Number of runs by duration; see `gypsumhall.core._rollout.bucket`.
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
    order : int
        Revision of the order.
    counts : tuple of RolloutCounts
        Results since the order.
    """

    service: str
    version: str
    order: int
    counts: tuple[RolloutCounts, ...]
