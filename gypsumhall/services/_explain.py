"""Service ``explain``: says where a request would go now, and why.

Nothing is sent, and no state changes: the load balancer and the quotas are
copied or only read, and random numbers come from a generator of this service.
"""

from __future__ import annotations

import random
import re
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import msgspec
import trio

from gypsumhall.core import _explanation
from gypsumhall.core import _quotas
from gypsumhall.core import _routing
from gypsumhall.services import _admin
from gypsumhall.services import _caller
from gypsumhall.services import _calls
from gypsumhall.services import _protocols
from gypsumhall.services import _runner
from gypsumhall.services import _sender

if TYPE_CHECKING:
    from gypsumhall.core._model import Route
    from gypsumhall.core._model import Tenant
    from gypsumhall.core._snapshot import Snapshot
    from gypsumhall.core._snapshot import Split
    from gypsumhall.kernel import Kernel

PATH = '/v1/explain'

_METHOD = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HOST = re.compile(r'[!-~]+')
_TARGET = re.compile(r'/[!-~]*')
_KEY = re.compile(r'(?:[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)?')


class QuotaReader(Protocol):
    """Part of the service ``quotas`` that does not change its state."""

    def peek(self, tenant: str, now: float) -> _quotas.Decision:
        """Return the decision about a request without counting it."""
        ...


class Question(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request for an explanation.

    Parameters
    ----------
    method, host, path : str
        The request to explain; the path may have a query.
    key : str or None
        Key of the tenant; None for none.
    zone : str
        Zone that the daemon has to be in; empty for any.
    """

    method: str
    host: str
    path: str
    key: str | None = None
    zone: str = ''


class ExplainService:
    """Registers ``/v1/explain`` at the service ``admin``.

    Parameters
    ----------
    quotas : QuotaReader, optional
        Quotas of tenants; by default there are no limits.
    split_source : callable, optional
        How calls are split between versions, without an effect on later
        calls; by default as configured.
    rng : random.Random, optional
        Source of randomness.
    """

    name = 'explain'
    requires: tuple[str, ...] = (
        'admin',
        'caller',
        'distribution',
        'membership',
        'runner',
    )

    def __init__(
        self,
        quotas: QuotaReader | None = None,
        split_source: _sender.SplitSource | None = None,
        *,
        rng: random.Random | None = None,
    ) -> None:
        self._quotas = quotas
        self._split_source = split_source or self._configured_split
        self._rng = rng or random.Random()
        self._caller: _caller.CallerService
        self._distribution: _protocols.Distribution
        self._membership: _protocols.Membership
        self._runner: _runner.RunnerService

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        self._caller = kernel.get('caller', _caller.CallerService)
        self._distribution = kernel.get(
            'distribution', _protocols.Distribution
        )
        self._membership = kernel.get('membership', _protocols.Membership)
        self._runner = kernel.get('runner', _runner.RunnerService)
        admin = kernel.get('admin', _protocols.Admin)
        admin.add_route('POST', PATH, self._handle)
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Return at once; `admin` waits for requests in progress."""

    async def _handle(
        self, request: _protocols.AdminRequest
    ) -> _protocols.AdminResponse:
        await trio.lowlevel.checkpoint()
        question = _parse(request.body)
        zone = self._membership.me.zone
        if question.zone not in ('', zone):
            raise _admin.RequestError(
                421, 'other-zone', f'this daemon is in zone {zone}'
            )
        return _admin.json_response(self.explain(question))

    def explain(self, question: Question) -> dict[str, Any]:
        """Return the explanation of a request, without its key."""
        key = question.key
        preview = self._caller.preview(
            question.method,
            question.host,
            question.path,
            None if key is None else key.encode('latin-1'),
        )
        snapshot, matched = preview.snapshot, preview.matched
        me = self._membership.me
        result: dict[str, Any] = {
            'daemon': me.id,
            'zone': me.zone,
            'config_version': None if snapshot is None else snapshot.version,
            'route': None,
            'key_required': False,
            'key_given': key is not None,
            'tenant': preview.identity.name,
            'priority': None,
            'quota': None,
            'services': [],
            'service': '',
            'versions': [],
            'candidates': [],
        }
        rejection = preview.rejection
        if snapshot is not None and matched is not None:
            route = matched.route
            result['route'] = {
                'id': matched.id,
                'host': route.host,
                'path': route.path,
                'timeout_ms': round(route.timeout_s * 1000),
                'objective_ms': round(route.objective_s * 1000),
                'idempotent': route.is_idempotent(question.method),
            }
            result['key_required'] = snapshot.has_tenants and not route.public
            result['priority'] = preview.identity.priority(route)
            result['services'] = _service_shares(route)
            tenant = preview.identity.tenant
            if tenant is not None and rejection is None:
                result['quota'], rejection = self._explain_quota(tenant)
            service = _caller.choose_target(route, self._rng)
            result['service'] = service
            no_capacity = self._explain_service(
                result, snapshot, service, matched.id, question.method
            )
            rejection = rejection or no_capacity
        result['outcome'] = self._outcome(result, rejection)
        return result

    def _explain_quota(
        self, tenant: Tenant
    ) -> tuple[dict[str, Any] | None, _calls.CallRefusedError | None]:
        """Return the quota of a tenant, and the rejection that it causes."""
        if self._quotas is None or tenant.rate_per_s <= 0:
            return None, None
        decision = self._quotas.peek(tenant.name, trio.current_time())
        fields = {
            'rate_per_s': tenant.rate_per_s,
            'burst': tenant.burst,
            'state': decision.reason,
        }
        if decision.granted or decision.reason == _quotas.UNDECIDED.reason:
            return fields, None
        return fields, _caller.quota_error(tenant.name, decision)

    def _explain_service(
        self,
        result: dict[str, Any],
        snapshot: Snapshot,
        service: str,
        route: str,
        method: str,
    ) -> _calls.CallRefusedError | None:
        """Add the versions and candidates; return a rejection, if any."""
        now = trio.current_time()
        sender = self._runner.sender
        balancer = sender.preview(service, self._rng)
        tenant = result['tenant'] or ''
        if snapshot.service(service) is None:
            return sender.no_capacity_error(balancer, service, tenant)
        split = self._split_source(
            snapshot, service, balancer.versions(service)
        )
        result['versions'] = _version_shares(split)
        version = _routing.choose_version(
            split,
            self._rng,
            idempotent=result['route']['idempotent'],
            keyed=False,
        )
        candidates = _explanation.explain_choice(
            balancer,
            self._membership.table.endpoints(service),
            service,
            _sender.eligible_versions(split, version),
            now,
            result['priority'],
            route,
            sender.full_members(tenant, result['priority']),
        )
        result['candidates'] = [
            msgspec.structs.asdict(item) for item in candidates
        ]
        if any(item.chosen for item in candidates):
            return None
        return sender.no_capacity_error(balancer, service, tenant)

    def _outcome(
        self,
        result: dict[str, Any],
        rejection: _calls.CallRefusedError | None,
    ) -> dict[str, Any]:
        if rejection is not None:
            return {
                'action': 'reject',
                'status': self._caller.status(rejection),
                'reason': rejection.reason,
                'detail': rejection.detail,
                'retry_after_s': round(
                    self._caller.min_retry_after_s(rejection), 3
                ),
            }
        chosen = next(item for item in result['candidates'] if item['chosen'])
        quota = result['quota']
        undecided = (
            quota is not None and quota['state'] == _quotas.UNDECIDED.reason
        )
        return {
            'action': 'send',
            'member': chosen['member'],
            'zone': chosen['zone'],
            'reason': chosen['reason'],
            'asks_quota_owner': undecided,
        }

    def _configured_split(
        self, snapshot: Snapshot, service: str, versions: set[str]
    ) -> Split:
        return snapshot.split(service, self._distribution.reverts)


def _parse(body: bytes) -> Question:
    """Return the question in a body.

    Raises
    ------
    RequestError
        If it is invalid. The message does not contain the key.
    """
    try:
        question = msgspec.json.decode(body, type=Question)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _admin.RequestError(400, 'bad-request', str(error)) from None
    for name, pattern in (
        ('method', _METHOD),
        ('host', _HOST),
        ('path', _TARGET),
        ('key', _KEY),
    ):
        value = getattr(question, name)
        if value is not None and not pattern.fullmatch(value):
            raise _admin.RequestError(
                400, 'bad-request', f'{name} is not valid in an HTTP request'
            )
    return question


def _service_shares(route: Route) -> list[dict[str, Any]]:
    total = sum(target.weight for target in route.targets)
    if not total:
        return [{'service': route.service, 'share': 1.0}]
    return [
        {'service': target.service, 'share': round(target.weight / total, 4)}
        for target in route.targets
    ]


def _version_shares(split: Split) -> list[dict[str, Any]]:
    if split.new_version is None:
        return [{'version': split.old_version, 'share': 1.0}]
    return [
        {'version': split.old_version, 'share': round(1 - split.share, 4)},
        {'version': split.new_version, 'share': round(split.share, 4)},
    ]
