"""The service ``acceptance``: changes the head by compare-and-swap."""

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

import trio

from gypsumhall._errors import Finding
from gypsumhall._errors import InvalidUpdateError
from gypsumhall._errors import MalformedDataError
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
from gypsumhall.store import NO_REVISION
from gypsumhall.store import Put
from gypsumhall.store import Revision
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
# The list of unreferenced fragments is lost when a daemon stops before they
# are removed. On average, one in this many submissions is followed by a
# listing of all stored fragments, which finds them again.
SUBMISSIONS_PER_LISTING = 256


class SubmissionStatus(enum.StrEnum):
    """Result of a submission.

    ``unavailable`` means that nothing was accepted, and ``unknown`` that the
    operator has to retry with the same id. ``absent`` is returned by a
    look-up only: the head does not record the id.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'
    ABSENT = 'absent'


@dataclass(slots=True, frozen=True)
class Submission:
    """A text that an operator submits for acceptance.

    Parameters
    ----------
    id : str
        The same for all retries; see `_accept.SUBMISSION_ID_PATTERN`.
    token : str
        The department's token.
    text : str
        The text.
    department : str
        Department that the operator acts for; empty for the department that
        the text names.
    source : str
        Name of the text in findings.
    timeout_s : float
        Longest time to read and write the head, in seconds.
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
        Why the text was rejected.
    detail : str
        Why there is no definite result.
    """

    status: SubmissionStatus
    id: str
    version: int = 0
    findings: tuple[Finding, ...] = ()
    detail: str = ''


@dataclass(slots=True, frozen=True)
class CheckResult:
    """Findings about a text, and the version it was checked against."""

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
        Whether the head records the move as reverted. When false, the
        platform did not respond: the revert is distributed between the
        daemons and recorded later.
    findings : tuple of Finding
        Why the move was not aborted.
    """

    move: str
    recorded: bool
    findings: tuple[Finding, ...] = ()


@dataclass(slots=True, frozen=True)
class _Write:
    """Next head with the fragments that it refers to.

    `stored` is the fragment to write with it, and `replaced` the digest of
    the fragment that the head no longer refers to.
    """

    head: _model.Head
    fragments: Mapping[str, _model.Fragment]
    stored: _model.Fragment | None = None
    replaced: str = ''


@dataclass(slots=True, frozen=True)
class _NoWrite(Generic[T]):
    """A result that requires no write.

    Unless it is `certain`, the result is valid only if no earlier write of
    the same change can still take effect.
    """

    value: T
    certain: bool = False


@dataclass(slots=True)
class _PendingWrites:
    """Writes with an unknown outcome, all based on the same revision."""

    revision: Revision = NO_REVISION
    writes: list[_Write] = field(default_factory=list)

    def add(self, revision: Revision, write: _Write) -> None:
        self.revision = revision
        self.writes.append(write)


_DecisionFunction = Callable[
    [_model.Head, 'Mapping[str, _model.Fragment]'], '_Write | _NoWrite[T]'
]


class AcceptanceService:
    """Accepts texts, aborts moves and applies transitions of the head.

    Parameters
    ----------
    origin : str
        Id of this daemon, sent with the reverts that it adds.
    wall_clock : callable
        Returns the Unix time in seconds.
    rng : random.Random, optional
        Source of the jitter of back-off times.
    run_sync : callable
        Runs a function outside the event loop; parsing a large text takes
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
        self._submission_lock = trio.Lock()
        self._parsing_lock = trio.Lock()
        self._submissions_in_progress = 0
        self._fragment_cache: dict[str, _model.Fragment] = {}
        self._unreferenced_since: dict[str, float] = {}
        self._listing_due = False
        self._draining = False
        self._drained = trio.Event()

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Remove unreferenced fragments at intervals until cancelled."""
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
        self._distribution.subscribe(self._discard_referenced)
        task_status.started()
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            try:
                await self.remove_unreferenced_fragments()
            except StoreError as error:
                self._events.emit('fragments-not-removed', error=str(error))

    async def drain(self) -> None:
        """Reject new submissions and wait for those in progress."""
        self._draining = True
        if self._submissions_in_progress:
            await self._drained.wait()

    # Requests of operators

    async def check(self, text: str, source: str) -> CheckResult:
        """Check a text against the head.

        While the platform does not respond, the text is checked against the
        installed snapshot.

        Parameters
        ----------
        text : str
            The operator's text.
        source : str
            Name of the text in findings.

        Raises
        ------
        StoreError
            When neither the platform nor a snapshot is available.
        """
        parsed = await self._parse_text(text, source)
        try:
            with trio.fail_after(TIME_LIMIT_S):
                _, head, fragments = await self._read_configuration()
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
        """Accept a text, at most once for each submission id."""
        if (
            self._draining
            or self._submissions_in_progress >= MAX_PENDING_SUBMISSIONS
        ):
            reason = 'the daemon is stopping' if self._draining else 'busy'
            return self._report_result(
                submission, SubmissionStatus.UNAVAILABLE, detail=reason
            )
        started = trio.current_time()
        self._submissions_in_progress += 1
        try:
            result = await self._submit(submission)
        finally:
            self._submissions_in_progress -= 1
            if self._draining and not self._submissions_in_progress:
                self._drained.set()
        self._seconds.add(trio.current_time() - started)
        return result

    async def find(self, submission_id: str) -> SubmissionResult:
        """Return the recorded result of a submission.

        ``absent`` means that the id was not accepted before this look-up; an
        attempt that is still in progress may be accepted later.
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
                detail = 'the id is older than the recorded submissions'
        recorded_submission = _accept.find_submission(head, submission_id)
        if recorded_submission is not None:
            return SubmissionResult(
                SubmissionStatus.ACCEPTED,
                submission_id,
                recorded_submission[0],
            )
        return SubmissionResult(status, submission_id, detail=detail)

    async def abort(self, move_id: str, token: str) -> AbortResult:
        """Revert a move with reason ``aborted``.

        If the installed configuration permits it, the revert is distributed
        to the daemons before the head is written, so that calls leave the
        new version at once even while the platform is slow or down.

        Raises
        ------
        StoreError
            When the platform does not respond and the revert was not
            distributed.
        """
        snapshot = self._distribution.snapshot
        distributed = snapshot is not None and not _accept.abort_findings(
            snapshot.head, move_id, token
        )
        if distributed:
            self._distribute_abort(move_id)
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
            if not distributed:
                raise
            return AbortResult(move_id, recorded=False)
        if not findings and not distributed:
            self._distribute_abort(move_id)
        return AbortResult(move_id, recorded=True, findings=findings)

    def _distribute_abort(self, move_id: str) -> None:
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
        ) -> _Write | _NoWrite[None]:
            next_head = transition(head)
            if next_head is None:
                return _NoWrite(None)
            return _Write(next_head, fragments)

        result = await self._compare_and_swap(decide)
        if isinstance(result, _Write):
            self._publish(result)
            return result.head
        return None

    # Submissions

    async def _parse_text(self, text: str, source: str) -> ParsedText:
        async with self._parsing_lock:
            parsed = await self._run_sync(
                _text.read_text, text, source, self._wall_clock()
            )
        return cast('ParsedText', parsed)

    def _report_result(
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
                f'{_text.quote_value(submission.id)} is not a submission id; '
                'write 8 to 36 letters, digits, "_" and "-", optionally '
                'after a version and "."',
                SourceLocation('id'),
            )
            return self._report_result(
                submission, SubmissionStatus.REFUSED, findings=(finding,)
            )
        parsed = await self._parse_text(submission.text, submission.source)
        try:
            result = await self._compare_and_swap(
                self._decision_function(submission, parsed),
                lock=self._submission_lock,
                limit_s=submission.timeout_s,
            )
        except StoreUnknownError as error:
            return self._report_result(
                submission, SubmissionStatus.UNKNOWN, detail=str(error)
            )
        except StoreError as error:
            return self._report_result(
                submission, SubmissionStatus.UNAVAILABLE, detail=str(error)
            )
        if isinstance(result, _Write):
            self._publish(result)
            self._mark_unreferenced(result.replaced)
            return self._report_result(
                submission, SubmissionStatus.ACCEPTED, result.head.version
            )
        if isinstance(result, _accept.AlreadyAccepted):
            return self._report_result(
                submission, SubmissionStatus.ACCEPTED, result.version
            )
        if isinstance(result, _accept.Refused):
            return self._report_result(
                submission, SubmissionStatus.REFUSED, findings=result.findings
            )
        return self._report_result(
            submission,
            SubmissionStatus.UNKNOWN,
            detail='the id is older than the recorded submissions; it is '
            'unknown whether it was accepted',
        )

    def _decision_function(
        self, submission: Submission, parsed: ParsedText
    ) -> _DecisionFunction[_accept.Decision]:
        first_version: int | None = None

        def decide(
            head: _model.Head, fragments: Mapping[str, _model.Fragment]
        ) -> _Write | _NoWrite[_accept.Decision]:
            nonlocal first_version
            first_version = (
                head.version if first_version is None else first_version
            )
            decision = _accept.decide_submission(
                head,
                fragments,
                parsed,
                submission.id,
                submission.token,
                self._wall_clock(),
                since=first_version,
            )
            if isinstance(
                decision, _accept.AlreadyAccepted | _accept.OutcomeUnknown
            ):
                return _NoWrite(decision, certain=True)
            if isinstance(decision, _accept.Refused):
                return _NoWrite(decision)
            department = decision.fragment.department
            if submission.department not in ('', department):
                finding = Finding(
                    'wrong-department',
                    f'the text is of department {department}, the submission '
                    f'of {_text.quote_value(submission.department)}',
                    parsed.location('department'),
                )
                return _NoWrite(_accept.Refused((finding,)))
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

    async def _compare_and_swap(
        self,
        decide: _DecisionFunction[T],
        lock: trio.Lock | None = None,
        limit_s: float = TIME_LIMIT_S,
    ) -> _Write | T:
        """Decide on the current head until a write succeeds or none is needed.

        Raises
        ------
        StoreUnavailableError
            When all attempts failed or the time limit passed, and nothing
            was written.
        StoreUnknownError
            The same when a write may have taken or still take effect.
        """
        pending = _PendingWrites()
        problem = 'no response within the time limit'
        with trio.move_on_after(limit_s):
            async with lock or contextlib.nullcontext():
                for attempt in range(MAX_ATTEMPTS):
                    await self._back_off(attempt)
                    try:
                        result = await self._attempt(decide, pending)
                    except StoreError as error:
                        problem = str(error)
                        continue
                    if isinstance(result, _NoWrite):
                        return result.value
                    if result is not None:
                        return result
                    problem = 'the head was changed concurrently'
        if pending.writes:
            raise StoreUnknownError(
                f'it is unknown whether the change was written: {problem}'
            )
        raise StoreUnavailableError(f'nothing was written: {problem}')

    async def _back_off(self, attempt: int) -> None:
        if attempt:
            max_delay_s = min(
                MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (attempt - 1)
            )
            await trio.sleep(self._rng.uniform(0, max_delay_s))

    async def _attempt(
        self, decide: _DecisionFunction[T], pending: _PendingWrites
    ) -> _Write | _NoWrite[T] | None:
        """Read, decide and write once; None after a concurrent change."""
        revision, head, fragments = await self._read_configuration()
        if pending.writes and pending.revision != revision:
            # A pending write took effect already or will fail its comparison
            # with the older revision.
            for write in pending.writes:
                if write.head == head:
                    return write
            pending.writes.clear()
        outcome = decide(head, fragments)
        if isinstance(outcome, _NoWrite):
            if outcome.certain or not pending.writes:
                return outcome
            # An earlier write based on this head may still take effect and
            # invalidate the result.
            raise StoreUnknownError('an earlier write may still take effect')
        writes: list[Put | Delete] = []
        if outcome.stored is not None:
            data = _model.encode(outcome.stored)
            writes.append(
                Put(_keys.FRAGMENTS_PREFIX + _model.digest(data), data)
            )
        # The head is put last: a watch must deliver the fragment before it.
        writes.append(Put(_keys.HEAD, _model.encode(outcome.head)))
        pending.add(revision, outcome)
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
            return outcome
        pending.writes.pop()
        self._swaps.add(1, result='lost')
        return None

    async def _read_head(self) -> tuple[Revision, _model.Head]:
        found = await self._store.get(_keys.HEAD)
        if found is None:
            return NO_REVISION, _model.Head()
        try:
            return found.mod_revision, _model.decode_head(found.value)
        except MalformedDataError as error:
            raise StoreProtocolError(f'{_keys.HEAD}: {error}') from error

    async def _read_configuration(
        self,
    ) -> tuple[Revision, _model.Head, Mapping[str, _model.Fragment]]:
        revision, head = await self._read_head()
        referenced = {ref.fragment for ref in head.departments.values()}
        self._cache_installed_fragments(referenced)
        missing = sorted(referenced - self._fragment_cache.keys())
        if missing:
            await self._fetch_fragments(missing)
        if len(self._fragment_cache) > 2 * len(referenced) + 64:
            self._fragment_cache = {
                item: self._fragment_cache[item] for item in referenced
            }
        fragments = {
            name: self._fragment_cache[ref.fragment]
            for name, ref in head.departments.items()
        }
        return revision, head, fragments

    def _cache_installed_fragments(self, referenced: set[str]) -> None:
        """Cache the fragments that the head shares with the snapshot."""
        snapshot = self._distribution.snapshot
        if snapshot is None:
            return
        for name, ref in snapshot.head.departments.items():
            if ref.fragment in referenced:
                self._fragment_cache.setdefault(
                    ref.fragment, snapshot.fragments[name]
                )

    async def _fetch_fragments(self, digests: list[str]) -> None:
        errors: list[StoreError] = []
        remaining = iter(digests)

        async def read_next() -> None:
            for digest in remaining:
                try:
                    self._fragment_cache[digest] = await self._fetch_fragment(
                        digest
                    )
                except StoreError as error:
                    errors.append(error)
                    return

        async with trio.open_nursery() as nursery:
            for _ in range(min(MAX_CONCURRENT_FETCHES, len(digests))):
                nursery.start_soon(read_next)
        if errors:
            raise errors[0]

    async def _fetch_fragment(self, digest: str) -> _model.Fragment:
        found = await self._store.get(_keys.FRAGMENTS_PREFIX + digest)
        if found is None or _model.digest(found.value) != digest:
            state = 'is missing' if found is None else 'is damaged'
            raise StoreProtocolError(
                f'{_keys.FRAGMENTS_PREFIX}{digest} {state}'
            )
        try:
            return _model.decode_fragment(found.value)
        except MalformedDataError as error:
            raise StoreProtocolError(
                f'{_keys.FRAGMENTS_PREFIX}{digest}: {error}'
            ) from error

    def _publish(self, write: _Write) -> None:
        try:
            self._distribution.publish(
                write.head, tuple(write.fragments.values())
            )
        except InvalidUpdateError as error:
            # The head is stored already, but daemons keep their installed
            # version; operators are alerted by the event.
            self._events.emit(
                'accepted-version-invalid',
                version=write.head.version,
                error=str(error),
            )

    # Removal of unreferenced fragments

    def _mark_unreferenced(self, digest: str) -> None:
        if digest:
            self._unreferenced_since[digest] = trio.current_time()
        if self._rng.randrange(SUBMISSIONS_PER_LISTING) == 0:
            self._listing_due = True

    def _discard_referenced(self) -> None:
        snapshot = self._distribution.snapshot
        if snapshot is not None and self._unreferenced_since:
            for ref in snapshot.head.departments.values():
                self._unreferenced_since.pop(ref.fragment, None)

    async def remove_unreferenced_fragments(self) -> None:
        """Remove fragments that no head has referred to for 10 min.

        Raises
        ------
        StoreError
            When the platform does not respond; a later call tries again.
        """
        now = trio.current_time()
        if self._listing_due:
            stored = await self._store.range(_keys.FRAGMENTS_PREFIX)
            self._listing_due = False
            for item in stored:
                digest = item.key.removeprefix(_keys.FRAGMENTS_PREFIX)
                self._unreferenced_since.setdefault(digest, now)
        expired = [
            digest
            for digest, since in self._unreferenced_since.items()
            if now - since >= FRAGMENT_RETENTION_S
        ]
        if not expired and not self._unreferenced_since:
            return
        revision, head = await self._read_head()
        for ref in head.departments.values():
            self._unreferenced_since.pop(ref.fragment, None)
        expired = [
            item for item in expired if item in self._unreferenced_since
        ][:MAX_DELETES_PER_CLEANUP]
        if not expired:
            return
        result = await self._store.txn(
            [Compare(_keys.HEAD, revision)],
            [Delete(_keys.FRAGMENTS_PREFIX + digest) for digest in expired],
        )
        if result.succeeded:
            for digest in expired:
                self._unreferenced_since.pop(digest, None)
            self._events.emit('fragments-removed', count=len(expired))
