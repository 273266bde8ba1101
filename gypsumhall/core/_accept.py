"""Decides about submissions and computes the next head.

All functions are pure: their results depend only on the head, the fragments
of all departments, the operator's text and the time. A caller that loses a
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
from gypsumhall._errors import SourceLocation
from gypsumhall.core import _model
from gypsumhall.core._model import MoveState
from gypsumhall.core._text import quote_value
from gypsumhall.core._text import sorted_findings

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumhall.core._text import ParsedText

FIRST_STAGE_SHARE = 0.01
STAGE_COUNT = 5
# Fraction of the time to the deadline that is not planned for stages.
DEADLINE_RESERVE = 0.1
MIN_STAGES_TOTAL_S = 5.0
MAX_RECORDED_SUBMISSIONS = 1024
ENDED_MOVE_RETENTION_S = 24 * 3600.0
# The platform stores values of up to 1 MB. The difference is reserved for the
# controller, whose changes must not fail because the head is too large.
MAX_HEAD_BYTES = 900_000
MAX_FRAGMENT_BYTES = 1_000_000
MAX_REASON_CHARACTERS = 120
MIN_TOKEN_CHARACTERS = 8
# Deadlines computed from ``within`` are sums of floats.
_DEADLINE_TOLERANCE_S = 0.001

SUBMISSION_ID_PATTERN = r'(?:([0-9]{1,12})\.)?[A-Za-z0-9_-]{8,36}'
_SUBMISSION_ID = re.compile(SUBMISSION_ID_PATTERN)


@dataclass(slots=True, frozen=True)
class Accepted:
    """The submission can be accepted; the next head and its fragments.

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
    """The submission was already accepted and produced this version."""

    version: int


@dataclass(slots=True, frozen=True)
class Refused:
    """The submission cannot be accepted on this head."""

    findings: tuple[Finding, ...]


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """The head no longer records whether the submission was accepted."""


Decision = Accepted | AlreadyAccepted | Refused | OutcomeUnknown


# Submission ids and credentials


def credential_digest(token: str) -> str:
    """Return the digest under which a department's token is stored."""
    data = token.encode(errors='surrogatepass')
    return hashlib.sha256(data).hexdigest()


def is_submission_id(text: str) -> bool:
    """Return whether a text is a valid submission id."""
    return _SUBMISSION_ID.fullmatch(text) is not None and len(text) <= 36


def submission_base_version(submission_id: str) -> int | None:
    """Return the base version of a submission id; None if it has none.

    An id of the form ``<version>.<random part>`` names the configuration
    version that was in effect when the id was created. An acceptance under
    this id can only have produced a later version.
    """
    match = _SUBMISSION_ID.fullmatch(submission_id)
    return int(match[1]) if match and match[1] else None


def submission_fingerprint(parsed: ParsedText, token: str) -> str:
    """Return a short digest of the text and token of a submission.

    It distinguishes submissions that have the same id.
    """
    credential = credential_digest(token)
    data = f'{credential}:{parsed.digest}'.encode()
    return hashlib.sha256(data).hexdigest()[:8]


def find_submission(
    head: _model.Head, submission_id: str
) -> tuple[int, str] | None:
    """Return the version that a submission produced, and its fingerprint.

    The head records ``<id>~<fingerprint>``, so that an id reused for another
    text is not reported as if that text had been accepted.
    """
    prefix = submission_id + '~'
    for key, version in head.submissions.items():
        if key.startswith(prefix):
            return version, key[len(prefix) :]
    return None


def records_submissions_since(head: _model.Head, version: int) -> bool:
    """Return whether the head records all submissions after a version.

    Only then does a missing id prove that no submission with this id was
    accepted after that version.
    """
    if len(head.submissions) < MAX_RECORDED_SUBMISSIONS:
        return True
    return min(head.submissions.values()) <= version + 1


# Transitions of the head


def _next_head(head: _model.Head, **changes: object) -> _model.Head:
    return msgspec.structs.replace(head, version=head.version + 1, **changes)


def _with_moves(
    head: _model.Head,
    changed: Mapping[str, _model.Move],
    current: Mapping[str, str] | None = None,
) -> _model.Head:
    moves = {**head.moves, **changed}
    return _next_head(
        head, moves=moves, current={**head.current, **(current or {})}
    )


def advance_stage(
    head: _model.Head, move_id: str, stage: int, share: float, now: float
) -> _model.Head | None:
    """Return the head with a move in a later stage.

    Parameters
    ----------
    head : Head
        Current head.
    move_id : str
        Id of the move.
    stage : int
        Index of the new stage, one above that of the current stage.
    share : float
        Share of the calls for the new version, greater than the current
        share.
    now : float
        Unix time in seconds.

    Returns
    -------
    Head or None
        None when the move is not active, or when stage and share do not
        follow the current ones.
    """
    move = head.moves.get(move_id)
    if (
        move is None
        or move.state is not MoveState.ACTIVE
        or stage != move.stage + 1
        or stage >= STAGE_COUNT
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
    """Return the head with a move that starts to soak.

    The share of the last stage is kept, since the statistical test compares
    calls to both versions. None when the move is not active or not in the
    last stage.
    """
    move = head.moves.get(move_id)
    if (
        move is None
        or move.state is not MoveState.ACTIVE
        or move.stage < STAGE_COUNT - 1
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

    ``stage_started`` is set to `now`. None when the move is not soaking.
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
        Current head.
    reasons : dict of str to str
        Reason by move id. Unknown and ended moves are ignored.
    now : float
        Unix time in seconds; the new ``stage_started``.

    Returns
    -------
    Head or None
        None when there is no move to revert.
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
    """Return why a move cannot be aborted; empty if it can.

    A move that was already reverted gives no finding, so that repeating the
    command has the same result.
    """
    location = SourceLocation(f'move {move_id}')
    department = move_id.partition('/')[0]
    ref = head.departments.get(department)
    if ref is None:
        problem = f'unknown department {quote_value(department)}'
        return (Finding('unknown-move', problem, location),)
    if not hmac.compare_digest(ref.credential, credential_digest(token)):
        return (_wrong_token(department, location),)
    move = head.moves.get(move_id)
    if move is None:
        move_ids = [
            item for item in head.moves if item.startswith(department + '/')
        ]
        return (
            Finding(
                'unknown-move',
                f'unknown move {quote_value(move_id)}; moves of {department}: '
                f'{", ".join(sorted(move_ids)) or "none"}',
                location,
            ),
        )
    if move.state is MoveState.DONE:
        return (
            Finding('move-ended', f'move {move_id} is already done', location),
        )
    return ()


def _wrong_token(department: str, location: SourceLocation) -> Finding:
    return Finding(
        'wrong-token',
        f'the token is not the one that department {department} was first '
        'submitted with',
        location,
    )


# Submissions


def effective_version(head: _model.Head, service: _model.Service) -> str:
    """Return the version that gets a service's calls if no move is active."""
    return head.current.get(service.name, service.current)


def resolve_deadlines(
    head: _model.Head, parsed: ParsedText, now: float
) -> _model.Fragment:
    """Return the fragment with the deadlines of moves that use ``within``.

    A move that the head records keeps its deadline if its ``within`` is
    unchanged. Deadlines of other moves are relative to `now`.
    """
    moves = []
    for spec in parsed.fragment.moves:
        within = parsed.within.get(spec.id)
        if within is None:
            moves.append(spec)
            continue
        recorded = head.moves.get(spec.id)
        deadline = now + within
        if (
            recorded is not None
            and abs(recorded.spec.deadline - recorded.started - within)
            < _DEADLINE_TOLERANCE_S
        ):
            deadline = recorded.spec.deadline
        moves.append(msgspec.structs.replace(spec, deadline=deadline))
    return msgspec.structs.replace(parsed.fragment, moves=tuple(moves))


class _TextCheck:
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
        self._fragment = resolve_deadlines(head, parsed, now)
        self._department = self._fragment.department
        self._previous_fragment = fragments.get(self._department)
        self._other_fragments = {
            name: fragment
            for name, fragment in sorted(fragments.items())
            if name != self._department
        }
        self._owners = {
            service.name: name
            for name, fragment in self._other_fragments.items()
            for service in fragment.services
        }
        self._services = {item.name: item for item in self._fragment.services}
        self._current = {
            name: version
            for name, version in head.current.items()
            if name in self._owners or name in self._services
        }

    @property
    def fragment(self) -> _model.Fragment:
        """Fragment with resolved deadlines."""
        return self._fragment

    @property
    def current(self) -> dict[str, str]:
        """Versions in use after the text is accepted."""
        return self._current

    @property
    def findings(self) -> tuple[Finding, ...]:
        """All findings, sorted by position."""
        return sorted_findings(self._findings)

    def run(self) -> None:
        """Run all checks."""
        self._check_names()
        self._check_references()
        self._check_cycles()
        self._check_routes()
        self._check_tenants()
        for service in self._fragment.services:
            self._check_current(service)
        self._check_moves()

    def _add(self, code: str, message: str, *path: str) -> None:
        location = self._parsed.location(*path)
        self._findings.append(Finding(code, message, location))

    def _check_tenants(self) -> None:
        owners: dict[str, str] = {}
        for department, fragment in self._other_fragments.items():
            for tenant in fragment.tenants:
                owners[tenant.name] = department
        names_by_key = {
            key_digest: tenant.name
            for fragment in self._other_fragments.values()
            for tenant in fragment.tenants
            for key_digest in tenant.key_digests
        }
        for tenant in self._fragment.tenants:
            if tenant.name in owners:
                self._add(
                    'name-taken',
                    f'tenant {tenant.name} belongs to department '
                    f'{owners[tenant.name]}',
                    'tenants',
                    tenant.name,
                )
            for key_digest in tenant.key_digests:
                other = names_by_key.setdefault(key_digest, tenant.name)
                if other != tenant.name:
                    self._add(
                        'key-taken',
                        f'tenants {other} and {tenant.name} have the same key',
                        'tenants',
                        tenant.name,
                        'keys',
                        key_digest,
                    )

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
        # The position of a service is recorded even if its entry is faulty.
        declared = ('services', name) in self._parsed.locations
        return declared or name in self._owners

    def _check_references(self) -> None:
        for service in self._fragment.services:
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
        for route in self._fragment.routes:
            if not self._exists(route.service):
                self._add(
                    'unknown-service',
                    f'route {route.name} refers to service {route.service}, '
                    'which no department defines',
                    'routes',
                    route.name,
                    'service',
                )
        for department, fragment in self._other_fragments.items():
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
                        f'service {name} is missing from this text, but '
                        f'{user} of department {department} uses it',
                        'services',
                    )

    def _check_cycles(self) -> None:
        graph = {
            service.name: service.depends_on
            for fragment in (*self._other_fragments.values(), self._fragment)
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
        routes_of_others = {
            (route.host, route.path): (name, route.name)
            for name, fragment in self._other_fragments.items()
            for route in fragment.routes
        }
        first_routes: dict[tuple[str, str], str] = {}
        # In the order of the text, so that the finding names the later of
        # two routes.
        for route in sorted(
            self._fragment.routes,
            key=lambda item: self._parsed.location('routes', item.name).line,
        ):
            key = (route.host, route.path)
            where = f'host {route.host} with path {route.path}'
            if key in routes_of_others:
                owner, other_route = routes_of_others[key]
                self._add(
                    'route-taken',
                    f'{where} belongs to route {other_route} of department '
                    f'{owner}',
                    'routes',
                    route.name,
                    'path',
                )
            elif key in first_routes:
                self._add(
                    'duplicate-route',
                    f'{where} is already used by route {first_routes[key]}',
                    'routes',
                    route.name,
                    'path',
                )
            first_routes.setdefault(key, route.name)

    def _check_current(self, service: _model.Service) -> None:
        """Check that the text keeps the version in use.

        Only a move may change it.
        """
        previous = next(
            (
                item
                for item in (
                    self._previous_fragment.services
                    if self._previous_fragment
                    else ()
                )
                if item.name == service.name
            ),
            None,
        )
        if previous is None or not service.versions:
            if service.name not in self._owners:
                self._current.pop(service.name, None)
            return
        version_in_use = effective_version(self._head, previous)
        path = ('services', service.name)
        names_current = (*path, 'current') in self._parsed.locations
        if version_in_use not in service.versions:
            self._add(
                'version-in-use',
                f'version {version_in_use} of service {service.name} is '
                f'in use and must remain one of its versions',
                *path,
                'versions',
            )
        elif service.current == version_in_use:
            self._current.pop(service.name, None)
        elif service.name in self._head.current and (
            not names_current or service.current == previous.current
        ):
            # The text still names the version that a finished move replaced.
            self._current[service.name] = version_in_use
        else:
            self._add(
                'current-changed',
                f'version {version_in_use} of service {service.name} is '
                f'in use; write "current: {version_in_use}" and change it '
                'with a move',
                *path,
                'current' if names_current else 'versions',
            )

    def _check_moves(self) -> None:
        move_ids = {spec.id for spec in self._fragment.moves}
        for move_id, move in sorted(self._head.moves.items()):
            department, _, name = move_id.partition('/')
            if department != self._department or move.state.final:
                continue
            if move_id not in move_ids and ('moves', name) not in (
                self._parsed.locations
            ):
                self._add(
                    'move-active',
                    f'move {name} is {move.state} and must remain in the '
                    f'text; end it with: abort {move_id}',
                    'moves',
                )
        move_by_service: dict[str, str] = {}
        for spec in sorted(
            self._fragment.moves, key=lambda item: self._line_of(item)
        ):
            name = spec.id.partition('/')[2]
            recorded = self._head.moves.get(spec.id)
            if recorded is not None and recorded.spec != spec:
                self._report_changed(recorded, name)
                continue
            if recorded is not None and recorded.state.final:
                continue
            if spec.service in move_by_service:
                self._add(
                    'two-moves',
                    f'service {spec.service} already has move '
                    f'{move_by_service[spec.service]}; only one move of a '
                    'service at a time',
                    'moves',
                    name,
                    'service',
                )
            move_by_service.setdefault(spec.service, name)
            self._check_move(spec, name, recorded)

    def _line_of(self, spec: _model.MoveSpec) -> int:
        return self._parsed.location('moves', spec.id.partition('/')[2]).line

    def _report_changed(self, recorded: _model.Move, name: str) -> None:
        if recorded.state.final:
            self._add(
                'move-ended',
                f'move {name} is {recorded.state} and its name cannot be used '
                'for another move yet',
                'moves',
                name,
            )
        else:
            self._add(
                'move-active',
                f'move {name} is {recorded.state} and cannot be changed; end '
                f'it with: abort {recorded.spec.id}',
                'moves',
                name,
            )

    def _check_move(
        self, spec: _model.MoveSpec, name: str, recorded: _model.Move | None
    ) -> None:
        service = self._services.get(spec.service)
        if service is None:
            if ('services', spec.service) in self._parsed.locations:
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
        if recorded is not None:
            return
        version_in_use = self._current.get(spec.service, service.current)
        if version_in_use and spec.from_version != version_in_use:
            self._add(
                'not-current',
                f'move {name} starts from {spec.from_version}, but version '
                f'{version_in_use} of service {spec.service} is in use',
                'moves',
                name,
                'from',
            )
        self._check_deadline(spec, name)

    def _check_deadline(self, spec: _model.MoveSpec, name: str) -> None:
        key = 'within' if spec.id in self._parsed.within else 'deadline'
        remaining_s = spec.deadline - self._now
        stages_total_s = remaining_s * (1 - DEADLINE_RESERVE) - spec.soak_s
        if remaining_s <= 0:
            self._add(
                'deadline-past',
                f'the deadline of move {name} was {-remaining_s:.0f} s ago',
                'moves',
                name,
                key,
            )
        elif stages_total_s < MIN_STAGES_TOTAL_S:
            needed_s = (MIN_STAGES_TOTAL_S + spec.soak_s) / (
                1 - DEADLINE_RESERVE
            )
            self._add(
                'deadline-too-close',
                f'the deadline of move {name} is in {remaining_s:.1f} s; with '
                f'a soak of {spec.soak_s:g} s the stages need '
                f'{needed_s:.1f} s',
                'moves',
                name,
                key,
            )


def _cycles(
    graph: Mapping[str, tuple[str, ...]], starts: list[str]
) -> list[list[str]]:
    """Return the cycles through the given services.

    The search is iterative, so that long chains of dependencies cannot exceed
    the recursion limit.
    """
    cycles: list[list[str]] = []
    visited: set[str] = set()
    for start in starts:
        path: list[str] = []
        on_path: set[str] = set()
        stack: list[tuple[str, bool]] = [(start, False)]
        while stack:
            name, on_exit = stack.pop()
            if on_exit:
                path.pop()
                on_path.discard(name)
                visited.add(name)
            elif name in on_path:
                cycles.append([*path[path.index(name) :], name])
            elif name in graph and name not in visited:
                path.append(name)
                on_path.add(name)
                stack.append((name, True))
                stack.extend((item, False) for item in graph[name])
    own = set(starts)
    return [_rotate_cycle(cycle, own) for cycle in cycles if own & set(cycle)]


def _rotate_cycle(cycle: list[str], own: set[str]) -> list[str]:
    """Return the cycle, rotated to start at a service of the text."""
    nodes = cycle[:-1]
    first = next(index for index, name in enumerate(nodes) if name in own)
    return [*nodes[first:], *nodes[: first + 1]]


def check_text(
    head: _model.Head,
    fragments: Mapping[str, _model.Fragment],
    parsed: ParsedText,
    now: float,
) -> tuple[Finding, ...]:
    """Return the findings of a text, without a check of the token.

    Parameters
    ----------
    head : Head
        Current head.
    fragments : dict of str to Fragment
        Fragments of all departments that the head names.
    parsed : ParsedText
        The operator's text.
    now : float
        Unix time in seconds.
    """
    if not parsed.has_fragment:
        return parsed.findings
    check = _TextCheck(head, fragments, parsed, now)
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
        Current head.
    fragments : dict of str to Fragment
        Fragments of all departments that the head names.
    parsed : ParsedText
        The operator's text.
    submission_id : str
        Id that the operator uses again for retries.
    token : str
        The department's token.
    now : float
        Unix time in seconds.
    since : int, optional
        Base version for ids that have none: the version of a head in which
        the submission was not yet accepted.

    Returns
    -------
    Accepted, AlreadyAccepted, Refused or OutcomeUnknown
        The next head, the version that the same submission already produced,
        or the findings. `OutcomeUnknown` when more submissions were accepted
        since the base version than the head records.
    """
    base_version = submission_base_version(submission_id)
    base_version = since if base_version is None else base_version
    location = parsed.location('department')
    recorded = find_submission(head, submission_id)
    if recorded is not None:
        version, fingerprint = recorded
        if fingerprint == submission_fingerprint(parsed, token):
            return AlreadyAccepted(version)
        return _refusal(
            'submission-reused',
            f'submission id {submission_id} was already used for another text '
            'or with another token',
            location,
        )
    if base_version is not None and not records_submissions_since(
        head, base_version
    ):
        return OutcomeUnknown()
    if not parsed.has_fragment:
        return Refused(parsed.findings)
    credential = credential_digest(token)
    department = parsed.fragment.department
    ref = head.departments.get(department)
    if len(token) < MIN_TOKEN_CHARACTERS:
        return _refusal(
            'wrong-token',
            f'a token must have at least {MIN_TOKEN_CHARACTERS} characters',
            location,
        )
    if ref and not hmac.compare_digest(ref.credential, credential):
        return Refused((_wrong_token(department, location),))
    check = _TextCheck(head, fragments, parsed, now)
    check.run()
    if check.findings:
        return Refused(check.findings)
    return _apply_submission(
        head, fragments, check, submission_id, parsed, token, now
    )


def _refusal(code: str, message: str, location: SourceLocation) -> Refused:
    return Refused((Finding(code, message, location),))


def _apply_submission(
    head: _model.Head,
    fragments: Mapping[str, _model.Fragment],
    check: _TextCheck,
    submission_id: str,
    parsed: ParsedText,
    token: str,
    now: float,
) -> Accepted | Refused:
    fragment = check.fragment
    data = _model.encode(fragment)
    merged = {**fragments, fragment.department: fragment}
    moves = _retained_moves(head, merged, now)
    for spec in fragment.moves:
        if spec.id not in moves:
            moves[spec.id] = _model.Move(
                spec, MoveState.ACTIVE, 0, FIRST_STAGE_SHARE, now, now
            )
    key = f'{submission_id}~{submission_fingerprint(parsed, token)}'
    submissions = {**head.submissions, key: head.version + 1}
    # The canonical encoding sorts the keys, so only the values give the age.
    while len(submissions) > MAX_RECORDED_SUBMISSIONS:
        del submissions[min(submissions, key=submissions.__getitem__)]
    ref = _model.DepartmentRef(_model.digest(data), credential_digest(token))
    next_head = _next_head(
        head,
        departments={**head.departments, fragment.department: ref},
        moves=moves,
        current=check.current,
        submissions=submissions,
    )
    location = parsed.location('department')
    for subject, size, limit in (
        ('the department', len(data), MAX_FRAGMENT_BYTES),
        ('the head', len(_model.encode(next_head)), MAX_HEAD_BYTES),
    ):
        if size > limit:
            return _refusal(
                'too-large',
                f'{subject} would take {size} bytes; at most {limit} can be '
                'stored',
                location,
            )
    return Accepted(next_head, fragment, merged)


def _retained_moves(
    head: _model.Head, fragments: Mapping[str, _model.Fragment], now: float
) -> dict[str, _model.Move]:
    """Return the moves without those that are expired.

    A move expires `ENDED_MOVE_RETENTION_S` after its end, but not while a
    fragment names it.
    """
    move_ids = {
        spec.id for fragment in fragments.values() for spec in fragment.moves
    }
    return {
        move_id: move
        for move_id, move in head.moves.items()
        if move_id in move_ids
        or not move.state.final
        or now - move.stage_started < ENDED_MOVE_RETENTION_S
    }
