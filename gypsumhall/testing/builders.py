"""Builders of valid test data; most arguments have a default."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumhall.core import _model
from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus
from gypsumhall.net._messages import Counts

if TYPE_CHECKING:
    from collections.abc import Iterable


def build_service(
    name: str = 'availability',
    versions: tuple[str, ...] = ('v1', 'v2'),
    depends_on: tuple[str, ...] = (),
    status_path: str = '',
) -> _model.Service:
    """Return a service whose current version is the first one."""
    return _model.Service(name, versions, versions[0], depends_on, status_path)


def build_route(
    name: str = 'search',
    service: str = 'availability',
    host: str = 'spa.example',
    path: str = '/search',
    timeout_s: float = 10.0,
    objective_s: float = 0.0,
    priority: int = 0,
) -> _model.Route:
    """Return a route."""
    return _model.Route(
        name,
        host,
        path,
        service,
        timeout_s,
        objective_s=objective_s,
        priority=priority,
    )


def build_move(
    move_id: str = 'spa/move',
    service: str = 'availability',
    deadline: float = 1000.0,
    soak_s: float = 10.0,
) -> _model.MoveSpec:
    """Return a move from ``v1`` to ``v2``."""
    return _model.MoveSpec(move_id, service, 'v1', 'v2', deadline, soak_s)


def build_fragment(
    department: str = 'spa',
    services: Iterable[_model.Service] | None = None,
    routes: Iterable[_model.Route] | None = None,
    moves: Iterable[_model.MoveSpec] = (),
) -> _model.Fragment:
    """Return a fragment with one service and one route by default."""
    return _model.Fragment(
        department,
        tuple([build_service()] if services is None else services),
        tuple([build_route()] if routes is None else routes),
        tuple(moves),
    )


def build_head(
    fragments: Iterable[_model.Fragment],
    version: int = 1,
    moves: Iterable[_model.Move] = (),
    current: dict[str, str] | None = None,
) -> _model.Head:
    """Return a head that refers to the fragments by their digests."""
    return _model.Head(
        version=version,
        departments={
            item.department: _model.DepartmentRef(
                _model.digest(_model.encode(item)), 'c' * 64
            )
            for item in fragments
        },
        moves={move.spec.id: move for move in moves},
        current=current or {},
    )


def build_member(
    index: int = 0,
    zone: str = 'az-1',
    endpoint: Endpoint | None = None,
    status: MemberStatus = MemberStatus.ALIVE,
    incarnation: int = 1,
) -> Member:
    """Return a member with an id and address derived from the index."""
    address = f'127.0.{index // 250}.{index % 250 + 1}:7000'
    return Member(f'd{index}', zone, address, incarnation, 1, status, endpoint)


def build_endpoint(
    service: str = 'availability',
    version: str = 'v1',
    slots: int = 6,
    state: EndpointState = EndpointState.READY,
    *,
    is_warm: bool = False,
) -> Endpoint:
    """Return a ready endpoint."""
    return Endpoint(service, version, slots, state, is_warm)


def build_counts(
    version: str = 'v2',
    calls: int = 10,
    failures: int = 0,
    slow: int = 0,
    endpoint: str = 'd0',
    zone: str = 'az-1',
    route: str = 'spa/search',
) -> Counts:
    """Return call counts with the sender in the zone of the endpoint."""
    return Counts(
        route,
        version,
        endpoint,
        zone,
        calls,
        failures,
        slow,
        (10.0, 20.0, 30.0),
        zone,
    )
