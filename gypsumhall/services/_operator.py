"""The service ``operator``: the operators' HTTP interface."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall._decode import decode
from gypsumhall._errors import finding_fields
from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import StoreError
from gypsumhall.core._accept import effective_version
from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import MemberStatus
from gypsumhall.services._acceptance import AcceptanceService
from gypsumhall.services._acceptance import Submission
from gypsumhall.services._acceptance import SubmissionResult
from gypsumhall.services._acceptance import SubmissionStatus
from gypsumhall.services._acceptance import TIME_LIMIT_S
from gypsumhall.services._admin import AdminService
from gypsumhall.services._admin import json_response
from gypsumhall.services._admin import problem
from gypsumhall.services._admin import query_number
from gypsumhall.services._admin import RequestError
from gypsumhall.services._protocols import Distribution
from gypsumhall.services._protocols import Membership

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from gypsumhall._errors import Finding
    from gypsumhall.core._model import Move
    from gypsumhall.kernel import Kernel
    from gypsumhall.services._protocols import AdminRequest
    from gypsumhall.services._protocols import AdminResponse

DEFAULT_WAIT_S = 30.0
MAX_WAIT_S = 60.0
# Zone summaries change without a callback, so requests that wait poll them.
POLL_INTERVAL_S = 0.05

_PATH_PREFIX = '/v1/operator'


class OperatorService:
    """Registers the operators' paths at the service ``admin``."""

    name = 'operator'
    requires: tuple[str, ...] = (
        'admin',
        'acceptance',
        'distribution',
        'membership',
    )

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        self._admin = kernel.get('admin', AdminService)
        self._acceptance = kernel.get('acceptance', AcceptanceService)
        self._distribution = kernel.get('distribution', Distribution)
        self._membership = kernel.get('membership', Membership)
        for method, path, handler in (
            ('POST', '/check', self._check),
            ('POST', '/submit', self._submit),
            ('GET', '/submissions/', self._submission),
            ('GET', '/status', self._status),
            ('GET', '/moves', self._moves),
            ('GET', '/wait', self._wait),
            ('POST', '/moves/', self._abort),
        ):
            self._admin.add_route(method, _PATH_PREFIX + path, handler)
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Return at once; `admin` waits for requests in progress."""

    async def _check(self, request: AdminRequest) -> AdminResponse:
        body = _json_body(request)
        try:
            result = await self._acceptance.check(
                _string_field(body, 'text'),
                _string_field(body, 'source', 'text'),
            )
        except StoreError as error:
            return problem(503, 'unavailable', str(error))
        return json_response(
            {
                'version': result.version,
                'findings': [finding_fields(item) for item in result.findings],
            }
        )

    async def _submit(self, request: AdminRequest) -> AdminResponse:
        body = _json_body(request)
        result = await self._acceptance.submit(
            Submission(
                _string_field(body, 'id'),
                _string_field(body, 'token'),
                _string_field(body, 'text'),
                _string_field(body, 'department', ''),
                _string_field(body, 'source', 'text'),
                _submission_timeout_s(body),
            )
        )
        return _submission_response(result)

    async def _submission(self, request: AdminRequest) -> AdminResponse:
        submission_id = request.path.removeprefix(
            _PATH_PREFIX + '/submissions/'
        )
        result = await self._acceptance.find(submission_id)
        return _submission_response(result)

    def _status_fields(self) -> dict[str, object]:
        snapshot = self._distribution.snapshot
        if snapshot is None:
            raise RequestError(
                503, 'starting', 'this daemon has no configuration yet'
            )
        return {
            'version': snapshot.version,
            'digest': snapshot.digest,
            'in_effect': self._distribution.in_effect(snapshot.version),
            'zones': self._zone_fields(snapshot.version),
            'members': self._member_fields(),
            'departments': sorted(snapshot.head.departments),
            'current': {
                name: effective_version(snapshot.head, service)
                for name, service in sorted(snapshot.services.items())
            },
            'moves': self._move_list(),
            'reverts': [
                {
                    'move': item.move,
                    'reason': item.reason,
                    'origin': item.origin,
                }
                for _, item in sorted(self._distribution.reverts.items())
            ],
        }

    def _member_fields(self) -> dict[str, int]:
        members = [
            member
            for member in self._membership.table.members()
            if member.status is MemberStatus.ALIVE
        ]
        ready = [
            member
            for member in members
            if member.endpoint is not None
            and member.endpoint.state is EndpointState.READY
        ]
        return {'alive': len(members), 'ready_endpoints': len(ready)}

    def _zone_fields(self, version: int) -> dict[str, object]:
        return {
            zone: {
                'members': item.members,
                'expected': item.expected,
                'lowest': item.lowest_version,
                'in_effect': item.lowest_version >= version
                and item.members >= item.expected,
            }
            for zone, item in sorted(self._distribution.summaries.items())
        }

    def _move_list(self) -> list[dict[str, object]]:
        snapshot = self._distribution.snapshot
        if snapshot is None:
            return []
        return [
            self._move_fields(move)
            for _, move in sorted(snapshot.head.moves.items())
        ]

    def _move_fields(self, move: Move) -> dict[str, object]:
        revert = self._distribution.reverts.get(move.spec.id)
        return {
            'id': move.spec.id,
            'service': move.spec.service,
            'from': move.spec.from_version,
            'to': move.spec.to_version,
            'deadline': move.spec.deadline,
            'soak_s': move.spec.soak_s,
            'state': move.state.value,
            'stage': move.stage,
            'share': move.share,
            'started': move.started,
            'stage_started': move.stage_started,
            'reason': move.reason or (revert.reason if revert else ''),
            'reverting': revert is not None and not move.state.final,
        }

    async def _status(self, request: AdminRequest) -> AdminResponse:
        return json_response(self._status_fields())

    async def _moves(self, request: AdminRequest) -> AdminResponse:
        self._status_fields()
        return json_response({'moves': self._move_list()})

    async def _wait(self, request: AdminRequest) -> AdminResponse:
        """Respond when the condition holds or the timeout has passed."""
        timeout = query_number(
            request.query, 'timeout', DEFAULT_WAIT_S, 0, MAX_WAIT_S
        )
        move_id = request.query.get('move', '')
        if bool(move_id) == ('version' in request.query):
            raise RequestError(
                400, 'bad-query', 'give exactly one of version and move'
            )
        version = int(query_number(request.query, 'version', 0, 0, 2**53))
        deadline = trio.current_time() + timeout
        while True:
            if move_id:
                fields = self._move_progress(move_id)
            else:
                fields = self._version_progress(version)
            if (
                fields['done']
                or trio.current_time() >= deadline
                or self._admin.stopping.is_set()
            ):
                return json_response(fields)
            await trio.sleep(
                min(POLL_INTERVAL_S, deadline - trio.current_time())
            )

    def _version_progress(self, version: int) -> dict[str, object]:
        snapshot = self._distribution.snapshot
        return {
            'done': self._distribution.in_effect(version),
            'version': version,
            'installed': snapshot.version if snapshot else 0,
            'zones': self._zone_fields(version),
        }

    def _move_progress(self, move_id: str) -> dict[str, object]:
        snapshot = self._distribution.snapshot
        move = snapshot.head.moves.get(move_id) if snapshot else None
        return {
            'done': move is not None and move.state.final,
            'installed': snapshot.version if snapshot else 0,
            'move': self._move_fields(move) if move else None,
        }

    async def _abort(self, request: AdminRequest) -> AdminResponse:
        path = request.path.removeprefix(_PATH_PREFIX + '/moves/')
        move_id, _, action = path.rpartition('/')
        if action != 'abort' or move_id.count('/') != 1:
            raise RequestError(
                404,
                'no-such-path',
                f'use {_PATH_PREFIX}/moves/<department>/<move>/abort',
            )
        token = _string_field(_json_body(request), 'token')
        try:
            result = await self._acceptance.abort(move_id, token)
        except StoreError as error:
            return problem(503, 'unavailable', str(error))
        if result.findings:
            return _findings_problem(result.findings, move=move_id)
        return json_response(
            {'move': move_id, 'recorded': result.recorded},
            200 if result.recorded else 202,
        )


_STATUS_BY_CODE = {'wrong-token': 403, 'unknown-move': 404, 'move-ended': 409}


def _findings_problem(
    findings: Sequence[Finding], **fields: object
) -> AdminResponse:
    first = findings[0]
    count = len(findings)
    return problem(
        _STATUS_BY_CODE.get(first.code, 422) if count == 1 else 422,
        first.code if count == 1 else 'invalid-text',
        f'{count} finding{"s" if count > 1 else ""}; nothing was stored',
        findings,
        **fields,
    )


def _submission_response(result: SubmissionResult) -> AdminResponse:
    fields = {'id': result.id, 'outcome': result.status.value}
    if result.status is SubmissionStatus.ACCEPTED:
        return json_response({**fields, 'version': result.version})
    if result.status is SubmissionStatus.REFUSED:
        return _findings_problem(result.findings, **fields)
    if result.status is SubmissionStatus.ABSENT:
        return problem(
            404,
            'absent',
            'no submission with this id was accepted',
            (),
            **fields,
        )
    if result.status is SubmissionStatus.UNAVAILABLE:
        return problem(503, 'unavailable', result.detail, (), **fields)
    return problem(
        504,
        'unknown',
        f'{result.detail}; ask again with the same id',
        (),
        **fields,
    )


def _json_body(request: AdminRequest) -> Mapping[str, Any]:
    try:
        body = decode(msgspec.json.decode, request.body, 'the body is no JSON')
    except MalformedDataError as error:
        raise RequestError(400, 'bad-json', str(error))
    if not isinstance(body, dict):
        raise RequestError(400, 'bad-json', 'the body has to be an object')
    return body


def _submission_timeout_s(body: Mapping[str, Any]) -> float:
    value = body.get('timeout_s', TIME_LIMIT_S)
    if not isinstance(value, int | float) or not value > 0:
        raise RequestError(
            400, 'bad-field', "field 'timeout_s' has to be a number over 0"
        )
    return min(value, TIME_LIMIT_S)


def _string_field(
    body: Mapping[str, Any], name: str, default: str | None = None
) -> str:
    value = body.get(name, default)
    if not isinstance(value, str):
        raise RequestError(
            400, 'bad-field', f'field {name!r} of the body has to be a string'
        )
    return value
