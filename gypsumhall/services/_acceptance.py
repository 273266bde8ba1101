"""The service ``acceptance``: changes of the head by compare-and-swap."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
from dataclasses import dataclass
from dataclasses import field
import enum
import random
import time
from typing import Any
from typing import cast
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
import trio

from gypsumhall._errors import Finding
from gypsumhall._errors import InvalidUpdateError
from gypsumhall._errors import SourceLocation
from gypsumhall._errors import StoreError
from gypsumhall._errors import StoreProtocolError
from gypsumhall._errors import StoreUnavailableError
from gypsumhall._errors import StoreUnknownError
from gypsumhall.core import _accept
from gypsumhall.core import _model
from gypsumhall.core import _text
from gypsumhall.net._messages import Revert
from gypsumhall.services._protocols import Distribution
from gypsumhall.services._protocols import Events
from gypsumhall.services._protocols import Metrics
from gypsumhall.store import _keys
from gypsumhall.store import Compare
from gypsumhall.store import Delete
from gypsumhall.store import Put
from gypsumhall.store import Store

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumhall.core._text import ParsedText
    from gypsumhall.kernel import Kernel

T = TypeVar('T')


MAX_ATTEMPTS = 16
TIME_LIMIT_S = 10.0
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
MAX_PENDING_SUBMISSIONS = 64
MAX_CONCURRENT_FETCHES = 8
FRAGMENT_RETENTION_S = 600.0
CLEANUP_INTERVAL_S = 60.0
MAX_DELETES_PER_CLEANUP = 100
# A daemon that stops within 10 min forgets what it had to remove. A listing
# of all fragments after one of this many submissions finds such fragments.
SUBMISSIONS_PER_LISTING = 256


class SubmissionStatus(enum.StrEnum):
    """Result of a submission.

    ``unavailable`` means that nothing was accepted, ``unknown`` that the
    operator has to ask again with the same id, and ``absent`` (from a
    look-up only) that the head does not name the id.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'
    ABSENT = 'absent'


@dataclass(slots=True, frozen=True)
class Submission:
    """A text that an operator wants to have accepted.

    Parameters
    ----------
    id : str
        Kept by the operator over all retries, see
        `_accept.SUBMISSION_ID_PATTERN`.
    token : str
        The department's token.
    text : str
        The text.
    department : str
        Department that the operator acts for; empty for that of the text.
    source : str
        Name of the text in findings.
    timeout_s : float
        Seconds that reading and writing the head may take at most.
    """

    id: str
    token: str
    text: str
    department: str = ''
    source: str = 'text'
    timeout_s: float = TIME_LIMIT_S


@dataclass(slots=True, frozen=True)
class SubmissionResult:
    """Result of a submission or of a look-up.

    Parameters
    ----------
    status : SubmissionStatus
        The result.
    id : str
        Id of the submission.
    version : int
        Configuration version, when accepted; 0 otherwise.
    findings : tuple of Finding
        Why it was refused.
    detail : str
        What kept the daemon from a result.
    """

    status: SubmissionStatus
    id: str
    version: int = 0
    findings: tuple[Finding, ...] = ()
    detail: str = ''


@dataclass(slots=True, frozen=True)
class CheckResult:
    """Findings of a text, and the version that it was checked against."""

    version: int
    findings: tuple[Finding, ...]


@dataclass(slots=True, frozen=True)
class AbortResult:
    """Result of an abort.

    Parameters
    ----------
    move : str
        Id of the move.
    recorded : bool
        Whether the head names the move as reverted. When false, the
        platform did not respond: the revert spreads between the daemons
        and is recorded later.
    findings : tuple of Finding
        Why the move was not aborted.
    """

    move: str
    recorded: bool
    findings: tuple[Finding, ...] = ()


@dataclass(slots=True, frozen=True)
class _Write:
    """Next head with the fragments that it names.

    `stored` is the fragment to write with it, and `replaced` the digest of
    the one that the head does not name any more.
    """

    head: _model.Head
    fragments: Mapping[str, _model.Fragment]
    stored: _model.Fragment | None = None
    replaced: str = ''


@dataclass(slots=True, frozen=True)
class _End(Generic[T]):
    """A result without a write.

    A result that is not `certain` holds only if no earlier write of the
    same change can still take effect.
    """

    value: T
    certain: bool = False


@dataclass(slots=True)
class _Pending:
    """Writes whose effect is unknown, all on the same revision."""

    revision: int = -1
    writes: list[_Write] = field(default_factory=list)

    def add(self, revision: int, write: _Write) -> None:
        self.revision = revision
        self.writes.append(write)


_Decide = Callable[
    [_model.Head, 'Mapping[str, _model.Fragment]'], '_Write | _End[T]'
]


class AcceptanceService:
    """Accepts texts, aborts moves and applies transitions of the head.

    Parameters
    ----------
    origin : str
        Id of this daemon, for the reverts that it adds.
    wall_clock : callable
        Returns the Unix time in seconds.
    rng : random.Random, optional
        Source of the jitter.
    run_sync : callable
        Runs a function outside the event loop; reading a large text takes
        seconds.
    """

    name = 'acceptance'
    requires: tuple[str, ...] = (
        'store',
        'distribution',
        'events',
        'metrics',
    )

    def __init__(
        self,
        *,
        origin: str = '',
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
        run_sync: Callable[..., Any] = trio.to_thread.run_sync,
    ) -> None:
        self._origin = origin
        self._wall_clock = wall_clock
        self._rng = rng or random.Random()
        self._run_sync = run_sync
        self._turn = trio.Lock()
        self._reading = trio.Lock()
        self._waiting = 0
        self._cache: dict[str, _model.Fragment] = {}
        self._retired: dict[str, float] = {}
        self._listing_due = False
        self._draining = False
        self._idle = trio.Event()

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled, and remove old fragments meanwhile."""
        self._store = kernel.get('store', Store)
        self._distribution = kernel.get('distribution', Distribution)
        self._events = kernel.get('events', Events)
        metrics = kernel.get('metrics', Metrics)
        self._results = metrics.counter(
            'acceptance_results_total', 'Submissions by result'
        )
        self._swaps = metrics.counter(
            'acceptance_swaps_total', 'Attempts to swap the head by result'
        )
        self._seconds = metrics.histogram(
            'acceptance_seconds', 'Duration of submissions in seconds'
        )
        self._distribution.subscribe(self._keep_named)
        task_status.started()
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            try:
                await self.remove_unreferenced_fragments()
            except StoreError as error:
                self._events.emit('fragments-not-removed', error=str(error))

    async def drain(self) -> None:
        """Refuse new submissions and wait for those in progress."""
        self._draining = True
        if self._waiting:
            await self._idle.wait()

    # Operators

    async def check(self, text: str, source: str) -> CheckResult:
        """Check a text against the head, or the snapshot in an outage.

        Parameters
        ----------
        text : str
            The operator's text.
        source : str
            Name of the text in findings.

        Raises
        ------
        StoreError
            When neither the platform nor a snapshot is at hand.
        """
        parsed = await self._read_text(text, source)
        try:
            with trio.fail_after(TIME_LIMIT_S):
                _, head, fragments = await self._read()
        except (StoreError, trio.TooSlowError) as error:
            snapshot = self._distribution.snapshot
            if snapshot is None:
                raise StoreUnavailableError(str(error)) from error
            head, fragments = snapshot.head, snapshot.fragments
        findings = _accept.check_text(
            head, fragments, parsed, self._wall_clock()
        )
        return CheckResult(head.version, findings)

    async def submit(self, submission: Submission) -> SubmissionResult:
        """Have a text accepted, at most once for each submission id."""
        if self._draining or self._waiting >= MAX_PENDING_SUBMISSIONS:
            why = 'the daemon is stopping' if self._draining else 'busy'
            return self._result(
                submission, SubmissionStatus.UNAVAILABLE, detail=why
            )
        started = trio.current_time()
        self._waiting += 1
        try:
            result = await self._submit(submission)
        finally:
            self._waiting -= 1
            if self._draining and not self._waiting:
                self._idle.set()
        self._seconds.add(trio.current_time() - started)
        return result

    async def find(self, submission_id: str) -> SubmissionResult:
        """Look a submission up.

        ``absent`` excludes that the id was accepted before this look-up,
        not that an attempt that is still under way will be accepted.
        """
        try:
            with trio.fail_after(TIME_LIMIT_S):
                _, head = await self._read_head()
        except (StoreError, trio.TooSlowError) as error:
            snapshot = self._distribution.snapshot
            head = snapshot.head if snapshot else _model.Head()
            status = SubmissionStatus.UNKNOWN
            detail = f'the platform does not respond: {error}'
        else:
            base = _accept.submission_base_version(submission_id) or 0
            status, detail = SubmissionStatus.ABSENT, ''
            if not _accept.records_submissions_since(head, base):
                status = SubmissionStatus.UNKNOWN
                detail = 'the id is too old to tell'
        known = _accept.find_submission(head, submission_id)
        if known is not None:
            return SubmissionResult(
                SubmissionStatus.ACCEPTED, submission_id, known[0]
            )
        return SubmissionResult(status, submission_id, detail=detail)

    async def abort(self, move_id: str, token: str) -> AbortResult:
        """Revert a move with reason ``aborted``.

        If the installed configuration permits it, the revert is spread
        before the head is written: calls leave the new version at once
        even while the platform is slow or down.

        Raises
        ------
        StoreError
            When the platform does not respond and the revert could not be
            spread.
        """
        snapshot = self._distribution.snapshot
        spread = snapshot is not None and not _accept.abort_findings(
            snapshot.head, move_id, token
        )
        if spread:
            self._spread_abort(move_id)
        findings: tuple[Finding, ...] = ()

        def transition(head: _model.Head) -> _model.Head | None:
            nonlocal findings
            findings = _accept.abort_findings(head, move_id, token)
            if findings:
                return None
            return _accept.revert_moves(
                head, {move_id: 'aborted'}, self._wall_clock()
            )

        try:
            await self.apply(transition)
        except StoreError:
            if not spread:
                raise
            return AbortResult(move_id, recorded=False)
        if not findings and not spread:
            self._spread_abort(move_id)
        return AbortResult(move_id, recorded=True, findings=findings)

    def _spread_abort(self, move_id: str) -> None:
        self._distribution.add_revert(Revert(move_id, 'aborted', self._origin))
        self._events.emit('move-aborted', move=move_id)

    # Controller

    async def apply(
        self, transition: Callable[[_model.Head], _model.Head | None]
    ) -> _model.Head | None:
        """Swap the head for the one that a transition returns.

        See `gypsumhall.services._protocols.Acceptance.apply`.
        """

        def decide(
            head: _model.Head, fragments: Mapping[str, _model.Fragment]
        ) -> _Write | _End[None]:
            following = transition(head)
            if following is None:
                return _End(None)
            return _Write(following, fragments)

        result = await self._swap(decide)
        if isinstance(result, _Write):
            self._publish(result)
            return result.head
        return None

    # Submissions

    async def _read_text(self, text: str, source: str) -> ParsedText:
        async with self._reading:
            parsed = await self._run_sync(
                _text.read_text, text, source, self._wall_clock()
            )
        return cast('ParsedText', parsed)

    def _result(
        self,
        submission: Submission,
        status: SubmissionStatus,
        version: int = 0,
        findings: tuple[Finding, ...] = (),
        detail: str = '',
    ) -> SubmissionResult:
        self._results.add(1, status=status.value)
        self._events.emit(
            f'submission-{status.value}',
            submission=submission.id,
            department=submission.department,
            version=version,
            findings=[item.code for item in findings],
            detail=detail,
        )
        return SubmissionResult(
            status, submission.id, version, findings, detail
        )

    async def _submit(self, submission: Submission) -> SubmissionResult:
        if not _accept.is_submission_id(submission.id):
            finding = Finding(
                'bad-submission-id',
                f'{_text.quote_value(submission.id)} is no submission id; '
                'write 8 to 36 letters, digits, "_" and "-", after a version '
                'and "." if wanted',
                SourceLocation('id'),
            )
            return self._result(
                submission, SubmissionStatus.REFUSED, findings=(finding,)
            )
        parsed = await self._read_text(submission.text, submission.source)
        try:
            result = await self._swap(
                self._decision(submission, parsed),
                turn=self._turn,
                limit_s=submission.timeout_s,
            )
        except StoreUnknownError as error:
            return self._result(
                submission, SubmissionStatus.UNKNOWN, detail=str(error)
            )
        except StoreError as error:
            return self._result(
                submission, SubmissionStatus.UNAVAILABLE, detail=str(error)
            )
        if isinstance(result, _Write):
            self._publish(result)
            self._retire(result.replaced)
            return self._result(
                submission, SubmissionStatus.ACCEPTED, result.head.version
            )
        if isinstance(result, _accept.AlreadyAccepted):
            return self._result(
                submission, SubmissionStatus.ACCEPTED, result.version
            )
        if isinstance(result, _accept.Refused):
            return self._result(
                submission, SubmissionStatus.REFUSED, findings=result.findings
            )
        return self._result(
            submission,
            SubmissionStatus.UNKNOWN,
            detail='the id is too old to tell whether it was accepted',
        )

    def _decision(
        self, submission: Submission, parsed: ParsedText
    ) -> _Decide[_accept.Decision]:
        first: int | None = None

        def decide(
            head: _model.Head, fragments: Mapping[str, _model.Fragment]
        ) -> _Write | _End[_accept.Decision]:
            nonlocal first
            first = head.version if first is None else first
            decision = _accept.decide_submission(
                head,
                fragments,
                parsed,
                submission.id,
                submission.token,
                self._wall_clock(),
                since=first,
            )
            if isinstance(
                decision, _accept.AlreadyAccepted | _accept.OutcomeUnknown
            ):
                return _End(decision, certain=True)
            if isinstance(decision, _accept.Refused):
                return _End(decision)
            department = decision.fragment.department
            if submission.department not in ('', department):
                finding = Finding(
                    'wrong-department',
                    f'the text is of department {department}, the submission '
                    f'of {_text.quote_value(submission.department)}',
                    parsed.location('department'),
                )
                return _End(_accept.Refused((finding,)))
            old = head.departments.get(department)
            new = decision.head.departments[department]
            replaced = ''
            if old is not None and old.fragment != new.fragment:
                replaced = old.fragment
            return _Write(
                decision.head,
                decision.fragments,
                decision.fragment,
                replaced,
            )

        return decide

    # Compare-and-swap

    async def _swap(
        self,
        decide: _Decide[T],
        turn: trio.Lock | None = None,
        limit_s: float = TIME_LIMIT_S,
    ) -> _Write | T:
        """Decide on the present head until a write or a result holds.

        Raises
        ------
        StoreUnavailableError
            When attempts or time ran out and nothing was written.
        StoreUnknownError
            When attempts or time ran out and a write may take effect.
        """
        pending = _Pending()
        problem = 'no response within the time limit'
        with trio.move_on_after(limit_s):
            async with turn or contextlib.nullcontext():
                for attempt in range(MAX_ATTEMPTS):
                    await self._back_off(attempt)
                    try:
                        result = await self._attempt(decide, pending)
                    except StoreError as error:
                        problem = str(error)
                        continue
                    if isinstance(result, _End):
                        return result.value
                    if result is not None:
                        return result
                    problem = 'other changes of the head came first'
        if pending.writes:
            raise StoreUnknownError(
                f'it is unknown whether the change was written: {problem}'
            )
        raise StoreUnavailableError(f'nothing was written: {problem}')

    async def _back_off(self, attempt: int) -> None:
        if attempt:
            longest = min(
                MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (attempt - 1)
            )
            await trio.sleep(self._rng.uniform(0, longest))

    async def _attempt(
        self, decide: _Decide[T], pending: _Pending
    ) -> _Write | _End[T] | None:
        """Read, decide and write once; None when a race was lost."""
        revision, head, fragments = await self._read()
        if pending.writes and pending.revision != revision:
            # Compares on the older revision can no longer hold.
            for write in pending.writes:
                if write.head == head:
                    return write
            pending.writes.clear()
        step = decide(head, fragments)
        if isinstance(step, _End):
            if step.certain or not pending.writes:
                return step
            # An earlier write on this same head may still arrive and make
            # the result false.
            raise StoreUnknownError('an earlier write is still open')
        writes: list[Put | Delete] = []
        if step.stored is not None:
            data = _model.encode(step.stored)
            writes.append(
                Put(_keys.FRAGMENTS_PREFIX + _model.digest(data), data)
            )
        # Last, so that a watch delivers the fragment before its head.
        writes.append(Put(_keys.HEAD, _model.encode(step.head)))
        pending.add(revision, step)
        try:
            result = await self._store.txn(
                [Compare(_keys.HEAD, revision)], writes
            )
        except StoreUnavailableError:
            pending.writes.pop()
            self._swaps.add(1, result='unavailable')
            raise
        except StoreError:
            self._swaps.add(1, result='unknown')
            raise
        if result.succeeded:
            self._swaps.add(1, result='swapped')
            return step
        pending.writes.pop()
        self._swaps.add(1, result='lost')
        return None

    async def _read_head(self) -> tuple[int, _model.Head]:
        found = await self._store.get(_keys.HEAD)
        if found is None:
            return 0, _model.Head()
        try:
            return found.mod_revision, _model.decode_head(found.value)
        except msgspec.DecodeError as error:
            raise StoreProtocolError(f'{_keys.HEAD}: {error}') from error

    async def _read(
        self,
    ) -> tuple[int, _model.Head, Mapping[str, _model.Fragment]]:
        revision, head = await self._read_head()
        wanted = {ref.fragment for ref in head.departments.values()}
        self._take_installed(wanted)
        missing = sorted(wanted - self._cache.keys())
        if missing:
            await self._fetch(missing)
        if len(self._cache) > 2 * len(wanted) + 64:
            self._cache = {item: self._cache[item] for item in wanted}
        fragments = {
            name: self._cache[ref.fragment]
            for name, ref in head.departments.items()
        }
        return revision, head, fragments

    def _take_installed(self, wanted: set[str]) -> None:
        """Take from the installed snapshot what it shares with the head."""
        snapshot = self._distribution.snapshot
        if snapshot is None:
            return
        for name, ref in snapshot.head.departments.items():
            if ref.fragment in wanted:
                self._cache.setdefault(ref.fragment, snapshot.fragments[name])

    async def _fetch(self, digests: list[str]) -> None:
        errors: list[StoreError] = []
        remaining = iter(digests)

        async def read_next() -> None:
            for digest in remaining:
                try:
                    self._cache[digest] = await self._fragment(digest)
                except StoreError as error:
                    errors.append(error)
                    return

        async with trio.open_nursery() as nursery:
            for _ in range(min(MAX_CONCURRENT_FETCHES, len(digests))):
                nursery.start_soon(read_next)
        if errors:
            raise errors[0]

    async def _fragment(self, digest: str) -> _model.Fragment:
        found = await self._store.get(_keys.FRAGMENTS_PREFIX + digest)
        if found is None or _model.digest(found.value) != digest:
            state = 'is missing' if found is None else 'is damaged'
            raise StoreProtocolError(
                f'{_keys.FRAGMENTS_PREFIX}{digest} {state}'
            )
        try:
            return _model.decode_fragment(found.value)
        except msgspec.DecodeError as error:
            raise StoreProtocolError(
                f'{_keys.FRAGMENTS_PREFIX}{digest}: {error}'
            ) from error

    def _publish(self, write: _Write) -> None:
        try:
            self._distribution.publish(
                write.head, tuple(write.fragments.values())
            )
        except InvalidUpdateError as error:
            # The head is in the platform already; daemons keep what they
            # hold, and the alarm has to be seen.
            self._events.emit(
                'accepted-version-invalid',
                version=write.head.version,
                error=str(error),
            )

    # Removal of old fragments

    def _retire(self, digest: str) -> None:
        if digest:
            self._retired[digest] = trio.current_time()
        if self._rng.randrange(SUBMISSIONS_PER_LISTING) == 0:
            self._listing_due = True

    def _keep_named(self) -> None:
        snapshot = self._distribution.snapshot
        if snapshot is not None and self._retired:
            for ref in snapshot.head.departments.values():
                self._retired.pop(ref.fragment, None)

    async def remove_unreferenced_fragments(self) -> None:
        """Remove fragments that no head has named for 10 min.

        Raises
        ------
        StoreError
            When the platform does not respond; a later call goes on.
        """
        now = trio.current_time()
        if self._listing_due:
            stored = await self._store.range(_keys.FRAGMENTS_PREFIX)
            self._listing_due = False
            for item in stored:
                digest = item.key.removeprefix(_keys.FRAGMENTS_PREFIX)
                self._retired.setdefault(digest, now)
        due = [
            digest
            for digest, since in self._retired.items()
            if now - since >= FRAGMENT_RETENTION_S
        ]
        if not due and not self._retired:
            return
        revision, head = await self._read_head()
        for ref in head.departments.values():
            self._retired.pop(ref.fragment, None)
        due = [item for item in due if item in self._retired][
            :MAX_DELETES_PER_CLEANUP
        ]
        if not due:
            return
        result = await self._store.txn(
            [Compare(_keys.HEAD, revision)],
            [Delete(_keys.FRAGMENTS_PREFIX + digest) for digest in due],
        )
        if result.succeeded:
            for digest in due:
                self._retired.pop(digest, None)
            self._events.emit('fragments-removed', count=len(due))
