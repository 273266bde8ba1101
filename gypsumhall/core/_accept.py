"""Acceptance: which submissions change the head, and how.

Everything here is a pure function of the head, the fragments of all
departments, the operator's text and the time. A caller that loses a
compare-and-swap calls again with the head that it then reads.
"""

from __future__ import annotations

from dataclasses import dataclass
import hashlib
import hmac
import re
from typing import TYPE_CHECKING

import msgspec

from gypsumhall._errors import Finding
from gypsumhall._errors import Place
from gypsumhall.core import _model
from gypsumhall.core._model import MoveState
from gypsumhall.core._text import quote_value
from gypsumhall.core._text import sorted_findings

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumhall.core._text import ParsedText

FIRST_SHARE = 0.01
STAGES = 5
RESERVE = 0.1
MIN_USABLE_S = 5.0
MAX_SUBMISSIONS = 1024
MOVE_KEPT_S = 24 * 3600.0
# The platform stores values of 1 MB. The rest is left for the controller,
# whose transitions may not fail for lack of room.
MAX_HEAD_BYTES = 900_000
MAX_FRAGMENT_BYTES = 1_000_000
MAX_REASON_CHARACTERS = 120
MIN_TOKEN_CHARACTERS = 8
# Deadlines that stem from `within` are sums of floats.
_TOLERANCE_S = 0.001

SUBMISSION_ID_PATTERN = r'(?:([0-9]{1,12})\.)?[A-Za-z0-9_-]{8,36}'
_ID = re.compile(SUBMISSION_ID_PATTERN)


@dataclass(slots=True, frozen=True)
class Accepted:
    """The head that a submission leads to.

    Parameters
    ----------
    head : Head
        Next head.
    fragment : Fragment
        Fragment to store with it.
    fragments : dict of str to Fragment
        Fragments of all departments, as the next head names them.
    """

    head: _model.Head
    fragment: _model.Fragment
    fragments: Mapping[str, _model.Fragment]


@dataclass(slots=True, frozen=True)
class AlreadyAccepted:
    """The submission was accepted before, with this version."""

    version: int


@dataclass(slots=True, frozen=True)
class Refused:
    """The submission cannot be accepted on this head."""

    findings: tuple[Finding, ...]


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """Whether the submission was accepted cannot be told any more."""


Decision = Accepted | AlreadyAccepted | Refused | OutcomeUnknown


# Submission ids and credentials


def credential_digest(token: str) -> str:
    """Return the digest under which a department's token is stored."""
    data = token.encode(errors='surrogatepass')
    return hashlib.sha256(data).hexdigest()


def is_submission_id(text: str) -> bool:
    """Return whether a submission id has the documented form."""
    return _ID.fullmatch(text) is not None and len(text) <= 36


def submission_base_version(submission_id: str) -> int | None:
    """Return the configuration version that a submission id names.

    An id of the form ``<version>.<random part>`` names the version that
    was in force when the id was made. An acceptance under this id can only
    have produced a later version.
    """
    found = _ID.fullmatch(submission_id)
    return int(found[1]) if found and found[1] else None


def submission_tag(parsed: ParsedText, token: str) -> str:
    """Return what tells two submissions with the same id apart."""
    credential = credential_digest(token)
    data = f'{credential}:{parsed.digest}'.encode()
    return hashlib.sha256(data).hexdigest()[:8]


def find_submission(
    head: _model.Head, submission_id: str
) -> tuple[int, str] | None:
    """Return the version that a submission produced, and its tag.

    The head records ``<id>~<tag>``, so that an id used again for another
    text is not answered as if that text had been accepted.
    """
    prefix = submission_id + '~'
    for key, version in head.submissions.items():
        if key.startswith(prefix):
            return version, key[len(prefix) :]
    return None


def records_submissions_since(head: _model.Head, base: int) -> bool:
    """Return whether the head records all submissions after a version.

    Only then does the absence of an id prove that it was not accepted
    after that version.
    """
    if len(head.submissions) < MAX_SUBMISSIONS:
        return True
    return min(head.submissions.values()) <= base + 1


# Transitions of the head


def _next(head: _model.Head, **changes: object) -> _model.Head:
    return msgspec.structs.replace(head, version=head.version + 1, **changes)


def _with_moves(
    head: _model.Head,
    changed: Mapping[str, _model.Move],
    current: Mapping[str, str] | None = None,
) -> _model.Head:
    moves = {**head.moves, **changed}
    return _next(
        head, moves=moves, current={**head.current, **(current or {})}
    )


def advance_stage(
    head: _model.Head, move_id: str, stage: int, share: float, now: float
) -> _model.Head | None:
    """Return the head with a move in a later stage.

    Parameters
    ----------
    head : Head
        Present head.
    move_id : str
        Id of the move.
    stage : int
        Index of the new stage, the one after the present stage.
    share : float
        Share of the calls for the new version, over the present one.
    now : float
        Unix time in seconds.

    Returns
    -------
    Head or None
        None when the move is not active or not in the stage before.
    """
    move = head.moves.get(move_id)
    if (
        move is None
        or move.state is not MoveState.ACTIVE
        or stage != move.stage + 1
        or stage >= STAGES
        or not move.share < share <= 1.0
    ):
        return None
    changed = msgspec.structs.replace(
        move, stage=stage, share=share, stage_started=now
    )
    return _with_moves(head, {move_id: changed})


def start_soak(
    head: _model.Head, move_id: str, now: float
) -> _model.Head | None:
    """Return the head with a move in its soak.

    The share stays that of the last stage, since the test compares calls to
    both versions. None when the move is not active or not in that stage.
    """
    move = head.moves.get(move_id)
    if (
        move is None
        or move.state is not MoveState.ACTIVE
        or move.stage < STAGES - 1
    ):
        return None
    changed = msgspec.structs.replace(
        move, state=MoveState.SOAKING, stage_started=now
    )
    return _with_moves(head, {move_id: changed})


def finish_move(
    head: _model.Head, move_id: str, now: float
) -> _model.Head | None:
    """Return the head with a move done and its new version in use.

    ``stage_started`` becomes the time of the end. None when the move is
    not soaking.
    """
    move = head.moves.get(move_id)
    if move is None or move.state is not MoveState.SOAKING:
        return None
    changed = msgspec.structs.replace(
        move, state=MoveState.DONE, share=1.0, stage_started=now
    )
    spec = move.spec
    return _with_moves(
        head, {move_id: changed}, {spec.service: spec.to_version}
    )


def revert_moves(
    head: _model.Head, reasons: Mapping[str, str], now: float
) -> _model.Head | None:
    """Return the head with moves reverted.

    Parameters
    ----------
    head : Head
        Present head.
    reasons : dict of str to str
        Reason by move id. Unknown and ended moves are left out.
    now : float
        Unix time in seconds; becomes ``stage_started``.

    Returns
    -------
    Head or None
        None when no move is left to revert.
    """
    changed = {}
    for move_id, reason in reasons.items():
        move = head.moves.get(move_id)
        if move is None or move.state.final:
            continue
        changed[move_id] = msgspec.structs.replace(
            move,
            state=MoveState.REVERTED,
            share=0.0,
            stage_started=now,
            reason=reason[:MAX_REASON_CHARACTERS],
        )
    return _with_moves(head, changed) if changed else None


def abort_findings(
    head: _model.Head, move_id: str, token: str
) -> tuple[Finding, ...]:
    """Return why a move cannot be aborted; empty when it can.

    A move that was aborted before gives no finding, so that a repeated
    command has the same result.
    """
    place = Place(f'move {move_id}')
    department = move_id.partition('/')[0]
    ref = head.departments.get(department)
    if ref is None:
        problem = f'no department {quote_value(department)}'
        return (Finding('unknown-move', problem, place),)
    if not hmac.compare_digest(ref.credential, credential_digest(token)):
        return (_wrong_token(department, place),)
    move = head.moves.get(move_id)
    if move is None:
        own = [
            item for item in head.moves if item.startswith(department + '/')
        ]
        return (
            Finding(
                'unknown-move',
                f'no move {quote_value(move_id)}; moves of {department}: '
                f'{", ".join(sorted(own)) or "none"}',
                place,
            ),
        )
    if move.state is MoveState.DONE:
        return (
            Finding('move-ended', f'move {move_id} is done already', place),
        )
    return ()


def _wrong_token(department: str, place: Place) -> Finding:
    return Finding(
        'wrong-token',
        f'the token is not the one that department {department} was first '
        'submitted with',
        place,
    )


# Submissions


def effective_version(head: _model.Head, service: _model.Service) -> str:
    """Return the version that gets a service's calls without a move."""
    return head.current.get(service.name, service.current)


def resolve_deadlines(
    head: _model.Head, parsed: ParsedText, now: float
) -> _model.Fragment:
    """Return the fragment with the deadlines of ``within`` moves.

    A move that the head knows keeps its deadline if its text is unchanged;
    for others ``within`` counts from `now`.
    """
    moves = []
    for spec in parsed.fragment.moves:
        within = parsed.within.get(spec.id)
        if within is None:
            moves.append(spec)
            continue
        known = head.moves.get(spec.id)
        deadline = now + within
        if (
            known is not None
            and abs(known.spec.deadline - known.started - within)
            < _TOLERANCE_S
        ):
            deadline = known.spec.deadline
        moves.append(msgspec.structs.replace(spec, deadline=deadline))
    return msgspec.structs.replace(parsed.fragment, moves=tuple(moves))


class _Check:
    """Checks one text against the head and the other departments."""

    def __init__(
        self,
        head: _model.Head,
        fragments: Mapping[str, _model.Fragment],
        parsed: ParsedText,
        now: float,
    ) -> None:
        self._head = head
        self._parsed = parsed
        self._now = now
        self._findings = list(parsed.findings)
        self._own = resolve_deadlines(head, parsed, now)
        self._name = self._own.department
        self._before = fragments.get(self._name)
        self._others = {
            name: fragment
            for name, fragment in sorted(fragments.items())
            if name != self._name
        }
        self._owners = {
            service.name: name
            for name, fragment in self._others.items()
            for service in fragment.services
        }
        self._services = {item.name: item for item in self._own.services}
        self._current = {
            name: version
            for name, version in head.current.items()
            if name in self._owners or name in self._services
        }

    @property
    def fragment(self) -> _model.Fragment:
        """Fragment with resolved deadlines."""
        return self._own

    @property
    def current(self) -> dict[str, str]:
        """Versions in use after the text is accepted."""
        return self._current

    @property
    def findings(self) -> tuple[Finding, ...]:
        """Everything that was found, in the order of places."""
        return sorted_findings(self._findings)

    def run(self) -> None:
        """Make all checks."""
        self._check_names()
        self._check_references()
        self._check_cycles()
        self._check_routes()
        for service in self._own.services:
            self._check_current(service)
        self._check_moves()

    def _add(self, code: str, message: str, *path: str) -> None:
        place = self._parsed.place(*path)
        self._findings.append(Finding(code, message, place))

    def _check_names(self) -> None:
        for name in self._services:
            if name in self._owners:
                self._add(
                    'name-taken',
                    f'service {name} belongs to department '
                    f'{self._owners[name]}',
                    'services',
                    name,
                )

    def _exists(self, name: str) -> bool:
        # A service whose entry is faulty is in the places only.
        declared = ('services', name) in self._parsed.places
        return declared or name in self._owners

    def _check_references(self) -> None:
        for service in self._own.services:
            for name in service.depends_on:
                if not self._exists(name):
                    self._add(
                        'missing-dependency',
                        f'service {service.name} depends on {name}, which '
                        'no department defines',
                        'services',
                        service.name,
                        'depends_on',
                        name,
                    )
        for route in self._own.routes:
            if not self._exists(route.service):
                self._add(
                    'unknown-service',
                    f'route {route.name} points at service {route.service}, '
                    'which no department defines',
                    'routes',
                    route.name,
                    'service',
                )
        for department, fragment in self._others.items():
            users = [
                (f'service {item.name}', name)
                for item in fragment.services
                for name in item.depends_on
            ]
            users += [
                (f'route {item.name}', item.service)
                for item in fragment.routes
            ]
            for user, name in users:
                if not self._exists(name):
                    self._add(
                        'service-in-use',
                        f'service {name} is gone from this text, but {user} '
                        f'of department {department} uses it',
                        'services',
                    )

    def _check_cycles(self) -> None:
        graph = {
            service.name: service.depends_on
            for fragment in (*self._others.values(), self._own)
            for service in fragment.services
        }
        for cycle in _cycles(graph, sorted(self._services)):
            self._add(
                'dependency-cycle',
                f'services depend on each other: {" -> ".join(cycle)}',
                'services',
                cycle[0],
                'depends_on',
                cycle[1],
            )

    def _check_routes(self) -> None:
        taken = {
            (route.host, route.path): (name, route.name)
            for name, fragment in self._others.items()
            for route in fragment.routes
        }
        seen: dict[tuple[str, str], str] = {}
        # In the order of the text: the later of two is the faulty one.
        for route in sorted(
            self._own.routes,
            key=lambda item: self._parsed.place('routes', item.name).line,
        ):
            key = (route.host, route.path)
            where = f'host {route.host} with path {route.path}'
            if key in taken:
                owner, other = taken[key]
                self._add(
                    'route-taken',
                    f'{where} belongs to route {other} of department {owner}',
                    'routes',
                    route.name,
                    'path',
                )
            elif key in seen:
                self._add(
                    'duplicate-route',
                    f'{where} is also that of route {seen[key]}',
                    'routes',
                    route.name,
                    'path',
                )
            seen.setdefault(key, route.name)

    def _check_current(self, service: _model.Service) -> None:
        """Keep the version in use, which only a move may change."""
        before = next(
            (
                item
                for item in (self._before.services if self._before else ())
                if item.name == service.name
            ),
            None,
        )
        if before is None or not service.versions:
            if service.name not in self._owners:
                self._current.pop(service.name, None)
            return
        used = effective_version(self._head, before)
        path = ('services', service.name)
        named = (*path, 'current') in self._parsed.places
        if used not in service.versions:
            self._add(
                'version-in-use',
                f'version {used} of service {service.name} is in use and has '
                f'to stay among its versions',
                *path,
                'versions',
            )
        elif service.current == used:
            self._current.pop(service.name, None)
        elif service.name in self._head.current and (
            not named or service.current == before.current
        ):
            # The text still names what a finished move replaced.
            self._current[service.name] = used
        else:
            self._add(
                'current-changed',
                f'version {used} of service {service.name} is in use; write '
                f'"current: {used}" and change it with a move',
                *path,
                'current' if named else 'versions',
            )

    def _check_moves(self) -> None:
        named = {spec.id for spec in self._own.moves}
        for move_id, move in sorted(self._head.moves.items()):
            department, _, name = move_id.partition('/')
            if department != self._name or move.state.final:
                continue
            if move_id not in named and ('moves', name) not in (
                self._parsed.places
            ):
                self._add(
                    'move-active',
                    f'move {name} is {move.state} and has to stay in the '
                    f'text; end it with: abort {move_id}',
                    'moves',
                )
        moving: dict[str, str] = {}
        for spec in sorted(
            self._own.moves, key=lambda item: self._line_of(item)
        ):
            name = spec.id.partition('/')[2]
            known = self._head.moves.get(spec.id)
            if known is not None and known.spec != spec:
                self._report_changed(known, name)
                continue
            if known is not None and known.state.final:
                continue
            if spec.service in moving:
                self._add(
                    'two-moves',
                    f'service {spec.service} is also moved by '
                    f'{moving[spec.service]}; one move at a time',
                    'moves',
                    name,
                    'service',
                )
            moving.setdefault(spec.service, name)
            self._check_move(spec, name, known)

    def _line_of(self, spec: _model.MoveSpec) -> int:
        return self._parsed.place('moves', spec.id.partition('/')[2]).line

    def _report_changed(self, known: _model.Move, name: str) -> None:
        if known.state.final:
            self._add(
                'move-ended',
                f'move {name} is {known.state} and its name cannot be used '
                'for another move yet',
                'moves',
                name,
            )
        else:
            self._add(
                'move-active',
                f'move {name} is {known.state} and cannot be changed; end it '
                f'with: abort {known.spec.id}',
                'moves',
                name,
            )

    def _check_move(
        self, spec: _model.MoveSpec, name: str, known: _model.Move | None
    ) -> None:
        service = self._services.get(spec.service)
        if service is None:
            if ('services', spec.service) in self._parsed.places:
                return
            owner = self._owners.get(spec.service)
            code = 'name-taken' if owner else 'unknown-service'
            problem = (
                f'belongs to department {owner}'
                if owner
                else 'is not in this text'
            )
            self._add(
                code,
                f'move {name}: service {spec.service} {problem}',
                'moves',
                name,
                'service',
            )
            return
        for key, version in (
            ('from', spec.from_version),
            ('to', spec.to_version),
        ):
            if service.versions and version not in service.versions:
                self._add(
                    'unknown-version',
                    f'move {name}: service {spec.service} has no version '
                    f'{version}; its versions: {", ".join(service.versions)}',
                    'moves',
                    name,
                    key,
                )
        if known is not None:
            return
        used = self._current.get(spec.service, service.current)
        if used and spec.from_version != used:
            self._add(
                'not-current',
                f'move {name} starts from {spec.from_version}, but version '
                f'{used} of service {spec.service} is in use',
                'moves',
                name,
                'from',
            )
        self._check_deadline(spec, name)

    def _check_deadline(self, spec: _model.MoveSpec, name: str) -> None:
        key = 'within' if spec.id in self._parsed.within else 'deadline'
        left = spec.deadline - self._now
        usable = left * (1 - RESERVE) - spec.soak_s
        if left <= 0:
            self._add(
                'deadline-past',
                f'the deadline of move {name} was {-left:.0f} s ago',
                'moves',
                name,
                key,
            )
        elif usable < MIN_USABLE_S:
            needed = (MIN_USABLE_S + spec.soak_s) / (1 - RESERVE)
            self._add(
                'deadline-too-close',
                f'the deadline of move {name} is in {left:.1f} s; with a soak '
                f'of {spec.soak_s:g} s the stages need {needed:.1f} s',
                'moves',
                name,
                key,
            )


def _cycles(
    graph: Mapping[str, tuple[str, ...]], starts: list[str]
) -> list[list[str]]:
    """Return one cycle for each start that closes one, without recursion."""
    cycles: list[list[str]] = []
    done: set[str] = set()
    for start in starts:
        path: list[str] = []
        on_path: set[str] = set()
        stack: list[tuple[str, bool]] = [(start, False)]
        while stack:
            name, leave = stack.pop()
            if leave:
                path.pop()
                on_path.discard(name)
                done.add(name)
            elif name in on_path:
                cycles.append([*path[path.index(name) :], name])
            elif name in graph and name not in done:
                path.append(name)
                on_path.add(name)
                stack.append((name, True))
                stack.extend((item, False) for item in graph[name])
    own = set(starts)
    return [_rotated(cycle, own) for cycle in cycles if own & set(cycle)]


def _rotated(cycle: list[str], own: set[str]) -> list[str]:
    """Return a cycle that starts at a service of the text."""
    nodes = cycle[:-1]
    at = next(index for index, name in enumerate(nodes) if name in own)
    return [*nodes[at:], *nodes[: at + 1]]


def check_text(
    head: _model.Head,
    fragments: Mapping[str, _model.Fragment],
    parsed: ParsedText,
    now: float,
) -> tuple[Finding, ...]:
    """Return what is wrong with a text, without its credentials.

    Parameters
    ----------
    head : Head
        Present head.
    fragments : dict of str to Fragment
        Fragments of all departments that the head names.
    parsed : ParsedText
        The operator's text.
    now : float
        Unix time in seconds.
    """
    if not parsed.has_fragment:
        return parsed.findings
    check = _Check(head, fragments, parsed, now)
    check.run()
    return check.findings


def decide_submission(
    head: _model.Head,
    fragments: Mapping[str, _model.Fragment],
    parsed: ParsedText,
    submission_id: str,
    token: str,
    now: float,
    since: int | None = None,
) -> Decision:
    """Decide about a submission on a head.

    Parameters
    ----------
    head : Head
        Present head.
    fragments : dict of str to Fragment
        Fragments of all departments that the head names.
    parsed : ParsedText
        The operator's text.
    submission_id : str
        Id that the operator keeps over retries.
    token : str
        The department's token.
    now : float
        Unix time in seconds.
    since : int, optional
        Version at which the submission had not been accepted, for ids that
        name none.

    Returns
    -------
    Accepted, AlreadyAccepted, Refused or OutcomeUnknown
        The head to swap in, the version that the same submission produced
        before, or the findings. `OutcomeUnknown` when more submissions were
        accepted since the id was made than the head records.
    """
    base = submission_base_version(submission_id)
    base = since if base is None else base
    place = parsed.place('department')
    known = find_submission(head, submission_id)
    if known is not None:
        version, tag = known
        if tag == submission_tag(parsed, token):
            return AlreadyAccepted(version)
        return _refused(
            'submission-reused',
            f'submission id {submission_id} was used for another text or '
            'with another token',
            place,
        )
    if base is not None and not records_submissions_since(head, base):
        return OutcomeUnknown()
    if not parsed.has_fragment:
        return Refused(parsed.findings)
    credential = credential_digest(token)
    department = parsed.fragment.department
    ref = head.departments.get(department)
    if len(token) < MIN_TOKEN_CHARACTERS:
        return _refused(
            'wrong-token',
            f'a token has at least {MIN_TOKEN_CHARACTERS} characters',
            place,
        )
    if ref and not hmac.compare_digest(ref.credential, credential):
        return Refused((_wrong_token(department, place),))
    check = _Check(head, fragments, parsed, now)
    check.run()
    if check.findings:
        return Refused(check.findings)
    return _accepted(head, fragments, check, submission_id, parsed, token, now)


def _refused(code: str, message: str, place: Place) -> Refused:
    return Refused((Finding(code, message, place),))


def _accepted(
    head: _model.Head,
    fragments: Mapping[str, _model.Fragment],
    check: _Check,
    submission_id: str,
    parsed: ParsedText,
    token: str,
    now: float,
) -> Accepted | Refused:
    fragment = check.fragment
    data = _model.encode(fragment)
    merged = {**fragments, fragment.department: fragment}
    moves = _kept_moves(head, merged, now)
    for spec in fragment.moves:
        if spec.id not in moves:
            moves[spec.id] = _model.Move(
                spec, MoveState.ACTIVE, 0, FIRST_SHARE, now, now
            )
    key = f'{submission_id}~{submission_tag(parsed, token)}'
    submissions = {**head.submissions, key: head.version + 1}
    # The canonical encoding sorts keys, so the age is in the values only.
    while len(submissions) > MAX_SUBMISSIONS:
        del submissions[min(submissions, key=submissions.__getitem__)]
    ref = _model.DepartmentRef(_model.digest(data), credential_digest(token))
    following = _next(
        head,
        departments={**head.departments, fragment.department: ref},
        moves=moves,
        current=check.current,
        submissions=submissions,
    )
    place = parsed.place('department')
    for what, size, limit in (
        ('the department', len(data), MAX_FRAGMENT_BYTES),
        ('the head', len(_model.encode(following)), MAX_HEAD_BYTES),
    ):
        if size > limit:
            return _refused(
                'too-large',
                f'{what} would take {size} bytes; at most {limit} are stored',
                place,
            )
    return Accepted(following, fragment, merged)


def _kept_moves(
    head: _model.Head, fragments: Mapping[str, _model.Fragment], now: float
) -> dict[str, _model.Move]:
    """Return the moves without those that ended long ago and are unnamed."""
    named = {
        spec.id for fragment in fragments.values() for spec in fragment.moves
    }
    return {
        move_id: move
        for move_id, move in head.moves.items()
        if move_id in named
        or not move.state.final
        or now - move.stage_started < MOVE_KEPT_S
    }
