"""Immutable, validated snapshots of the configuration, one per version."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar

from gypsumhall._errors import InvalidUpdateError
from gypsumhall.core import _model

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

E = TypeVar('E')
N = TypeVar('N', int, float)

_NO_REVERTS: frozenset[str] = frozenset()
_EMPTY_FRAGMENT = _model.Fragment('')
_NO_LIMITS = _model.RequestLimits()


class CorruptUpdateError(InvalidUpdateError):
    """An update whose contents do not match its digests.

    Only the message is corrupt, not necessarily the version: another peer
    may still send an intact copy of the same version.
    """

    code = 'corrupt-update'


@dataclass(slots=True, frozen=True)
class MatchedRoute:
    """A route with the department that owns it.

    Parameters
    ----------
    id : str
        ``<department>/<route>``.
    route : Route
        The route.
    """

    id: str
    route: _model.Route


@dataclass(slots=True, frozen=True)
class Split:
    """How the calls of a service are divided between its versions.

    Parameters
    ----------
    old_version : str
        Version that receives the remaining calls.
    new_version : str or None
        Version that a move sends calls to; None without a move.
    share : float
        Share of the calls for the new version, 0 to 1.
    move : str
        Id of the move; empty without a move.
    stage : int
        Stage of the move, counted from 0.
    """

    old_version: str
    new_version: str | None = None
    share: float = 0.0
    move: str = ''
    stage: int = 0


class Snapshot:
    """A complete, validated configuration version.

    Create it with `build` or `apply`; the constructor validates nothing.
    """

    __slots__ = (
        '_digest',
        '_fragments',
        '_head',
        '_limits',
        '_moves',
        '_routes',
        '_services',
        '_tenants',
        '_tenants_by_digest',
    )

    def __init__(
        self,
        head: _model.Head,
        fragments: Mapping[str, _model.Fragment],
        services: Mapping[str, _model.Service],
        routes: Mapping[tuple[str, str], MatchedRoute],
    ) -> None:
        self._head = head
        self._fragments = fragments
        self._services = services
        self._routes = routes
        self._digest = _model.digest(_model.encode(head))[:16]
        self._moves = {
            move.spec.service: move
            for move in head.moves.values()
            if not move.state.final
        }
        # Set by `advance`.
        self._limits = _NO_LIMITS
        self._tenants: Mapping[str, _model.Tenant] = {}
        self._tenants_by_digest: Mapping[str, _model.Tenant] = {}

    @classmethod
    def build(
        cls,
        head: _model.Head,
        fragments: Iterable[_model.Fragment],
    ) -> Snapshot:
        """Validate a full configuration and return its snapshot.

        Parameters
        ----------
        head : Head
            Head record of the version.
        fragments : iterable of Fragment
            Fragments of all departments that the head lists.

        Raises
        ------
        CorruptUpdateError
            When a fragment is missing or has another digest.
        InvalidUpdateError
            When a route or move refers to something that does not exist,
            or when a service or a route is defined twice.
        """
        empty = cls(_model.Head(), {}, {}, {})
        return empty.advance(head, fragments)

    def apply(
        self,
        head: _model.Head,
        base: int,
        fragments: Iterable[_model.Fragment],
    ) -> Snapshot:
        """Return the snapshot that results from a delta.

        Parameters
        ----------
        head : Head
            Head record of the new version.
        base : int
            Version that the delta starts from.
        fragments : iterable of Fragment
            Fragments that differ from the base.

        Raises
        ------
        InvalidUpdateError
            When `base` is not this version, or as in `build`.
        """
        if base != self.version:
            raise InvalidUpdateError(
                f'delta to version {head.version} starts from version '
                f'{base}, but version {self.version} is installed'
            )
        return self.advance(head, fragments)

    def advance(
        self, head: _model.Head, fragments: Iterable[_model.Fragment]
    ) -> Snapshot:
        """Return the snapshot for another head.

        Only entries that differ from this snapshot are validated, so a
        change of one department does not require a pass over all of them.

        Parameters
        ----------
        head : Head
            Head record of the other version.
        fragments : iterable of Fragment
            At least the fragments whose digest differs from this version.

        Raises
        ------
        InvalidUpdateError
            As in `build`.
        """
        received = {item.department: item for item in fragments}
        merged, changed = self._merge(head, received)
        replaced = {
            name: fragment
            for name, fragment in self._fragments.items()
            if merged.get(name) is not fragment
        }
        services = self._services
        routes = self._routes
        if replaced or changed:
            services, routes = self._index(head, replaced, changed)
        snapshot = Snapshot(head, merged, services, routes)
        snapshot._set_tenants(self, replaced, changed)
        service_removed = any(
            service.name not in services
            for fragment in replaced.values()
            for service in fragment.services
        )
        _check_references(
            snapshot,
            merged.values() if service_removed else changed.values(),
        )
        checked_moves = self._head.moves if services is self._services else {}
        for key, move in head.moves.items():
            if checked_moves.get(key) is not move and not move.state.final:
                _check_move(snapshot, move.spec)
        if replaced or changed or head.current is not self._head.current:
            _check_current(snapshot)
        return snapshot

    def _set_tenants(
        self,
        previous: Snapshot,
        replaced: Mapping[str, _model.Fragment],
        changed: Mapping[str, _model.Fragment],
    ) -> None:
        differing = (*replaced.values(), *changed.values())
        if not any(item.tenants or item.limits for item in differing):
            self._limits = previous._limits
            self._tenants = previous._tenants
            self._tenants_by_digest = previous._tenants_by_digest
            return
        self._limits = _combine_limits(
            [item.limits for item in self._fragments.values() if item.limits]
        )
        tenants: dict[str, _model.Tenant] = {}
        by_digest: dict[str, _model.Tenant] = {}
        self._tenants = tenants
        self._tenants_by_digest = by_digest
        for fragment in self._fragments.values():
            for tenant in fragment.tenants:
                if tenant.name in tenants:
                    raise InvalidUpdateError(
                        f'version {self.version} defines tenant '
                        f'{tenant.name!r} twice'
                    )
                tenants[tenant.name] = tenant
                for key_digest in tenant.key_digests:
                    other = by_digest.setdefault(key_digest, tenant)
                    if other is not tenant:
                        raise InvalidUpdateError(
                            f'tenants {other.name!r} and {tenant.name!r} in '
                            f'version {self.version} have the same key'
                        )

    def _merge(
        self, head: _model.Head, received: Mapping[str, _model.Fragment]
    ) -> tuple[dict[str, _model.Fragment], dict[str, _model.Fragment]]:
        merged = {}
        changed = {}
        for name, ref in head.departments.items():
            previous = self._head.departments.get(name)
            if previous is not None and previous.fragment == ref.fragment:
                merged[name] = self._fragments[name]
                continue
            fragment = received.get(name)
            if fragment is None:
                raise CorruptUpdateError(
                    f'version {head.version} lacks the fragment of {name!r} '
                    f'with digest {ref.fragment}'
                )
            actual = _model.digest(_model.encode(fragment))
            if actual != ref.fragment:
                raise CorruptUpdateError(
                    f'fragment of {name!r} in version {head.version} has '
                    f'digest {actual}, expected {ref.fragment}'
                )
            merged[name] = changed[name] = fragment
        extra = sorted(set(received) - set(merged))
        if extra:
            raise CorruptUpdateError(
                f'version {head.version} has fragments of {extra}, which its '
                'head does not list'
            )
        return merged, changed

    def _index(
        self,
        head: _model.Head,
        replaced: Mapping[str, _model.Fragment],
        changed: Mapping[str, _model.Fragment],
    ) -> tuple[dict[str, _model.Service], dict[tuple[str, str], MatchedRoute]]:
        services = dict(self._services)
        routes = dict(self._routes)
        for name, fragment in replaced.items():
            current = changed.get(name, _EMPTY_FRAGMENT)
            for service in _entries_not_in(
                fragment.services, current.services
            ):
                del services[service.name]
            for route in _entries_not_in(fragment.routes, current.routes):
                del routes[_route_key(route)]
        for name, fragment in changed.items():
            previous = replaced.get(name, _EMPTY_FRAGMENT)
            for service in _entries_not_in(
                fragment.services, previous.services
            ):
                if service.name in services:
                    raise InvalidUpdateError(
                        f'version {head.version} defines service '
                        f'{service.name!r} twice'
                    )
                services[service.name] = service
            for route in _entries_not_in(fragment.routes, previous.routes):
                key = _route_key(route)
                if key in routes:
                    raise InvalidUpdateError(
                        f'version {head.version} has two routes for host '
                        f'{route.host!r} and path {route.path!r}'
                    )
                routes[key] = MatchedRoute(
                    f'{fragment.department}/{route.name}', route
                )
        return services, routes

    @property
    def version(self) -> int:
        """Configuration version."""
        return self._head.version

    @property
    def digest(self) -> str:
        """Digest of the head, 16 hexadecimal digits."""
        return self._digest

    @property
    def head(self) -> _model.Head:
        """Head record."""
        return self._head

    @property
    def fragments(self) -> Mapping[str, _model.Fragment]:
        """Fragments by department."""
        return self._fragments

    @property
    def services(self) -> Mapping[str, _model.Service]:
        """Services by name."""
        return self._services

    @property
    def routes(self) -> Iterable[MatchedRoute]:
        """All routes."""
        return self._routes.values()

    def match(
        self, host: str, path: str, *, exact: bool = False
    ) -> MatchedRoute | None:
        """Return the route with the longest path prefix.

        Parameters
        ----------
        host : str
            Host of the request; case and port are ignored.
        path : str
            Path of the request without query.
        exact : bool
            Whether a trailing slash of a route's path has to be in the path
            of the request too.
        """
        hostname = host.rsplit(':', 1)[0] if ':' in host else host
        hostname = hostname.lower()
        prefix = path.rstrip('/')
        while True:
            found = self._routes.get((hostname, prefix))
            if found is not None and not exact:
                return found
            if found is not None and path.startswith(found.route.path):
                return found
            if not prefix:
                return None
            prefix = prefix.rpartition('/')[0]

    @property
    def limits(self) -> _model.RequestLimits:
        """Limits on the requests of callers."""
        return self._limits

    @property
    def tenants(self) -> Mapping[str, _model.Tenant]:
        """Tenants by name."""
        return self._tenants

    @property
    def has_tenants(self) -> bool:
        """Whether requests need a key, unless their route is public."""
        return bool(self._tenants)

    def tenant_by_key(self, key: bytes) -> _model.Tenant | None:
        """Return the tenant that a key belongs to."""
        return self.tenant_by_digest(_model.digest(key))

    def tenant_by_digest(self, key_digest: str) -> _model.Tenant | None:
        """Return the tenant whose key has a digest, in hexadecimal."""
        return self._tenants_by_digest.get(key_digest)

    def service(self, name: str) -> _model.Service | None:
        """Return a service by name."""
        return self._services.get(name)

    def split(
        self, service: str, reverts: Container[str] = _NO_REVERTS
    ) -> Split:
        """Return how the calls of a service are divided.

        Parameters
        ----------
        service : str
            Name of a service of this configuration.
        reverts : container of str
            Ids of moves that are reverted regardless of the head.
        """
        current = self._head.current.get(service)
        if current is None:
            current = self._services[service].current
        move = self._moves.get(service)
        if move is None or move.spec.id in reverts:
            return Split(current)
        return Split(
            move.spec.from_version,
            move.spec.to_version,
            move.share,
            move.spec.id,
            move.stage,
        )


def _entries_not_in(entries: Sequence[E], other: Sequence[E]) -> Iterable[E]:
    """Return the entries that are not in `other`, compared by identity.

    A patched fragment shares its unchanged entries with its base, so
    identity distinguishes them from added and changed entries.
    """
    if not other:
        return entries
    other_ids = {id(entry) for entry in other}
    return [entry for entry in entries if id(entry) not in other_ids]


def _combine_limits(
    limits: Sequence[_model.RequestLimits],
) -> _model.RequestLimits:
    """Return the lowest value of each limit; 0 means that it is not set."""

    def lowest(values: Iterable[N]) -> N:
        return min(filter(None, values), default=0)

    return _model.RequestLimits(
        lowest(item.max_header_bytes for item in limits),
        lowest(item.max_body_bytes for item in limits),
        lowest(item.header_timeout_s for item in limits),
        lowest(item.idle_timeout_s for item in limits),
    )


def _route_key(route: _model.Route) -> tuple[str, str]:
    return route.host, route.path.rstrip('/')


def _check_references(
    snapshot: Snapshot, fragments: Iterable[_model.Fragment]
) -> None:
    services = snapshot.services
    for fragment in fragments:
        for route in fragment.routes:
            target_names = [item.service for item in route.targets]
            for name in (route.service, *target_names):
                if name not in services:
                    raise InvalidUpdateError(
                        f"route '{fragment.department}/{route.name}' points "
                        f'at service {name!r}, which does not exist'
                    )
        for service in fragment.services:
            for name in service.depends_on:
                if name not in services:
                    raise InvalidUpdateError(
                        f'service {service.name!r} depends on {name!r}, '
                        'which does not exist'
                    )


def _check_current(snapshot: Snapshot) -> None:
    services = snapshot.services
    for name, version in snapshot.head.current.items():
        if name not in services or version not in services[name].versions:
            raise InvalidUpdateError(
                f'current version {version!r} of service {name!r} does not '
                'exist'
            )


def _check_move(snapshot: Snapshot, spec: _model.MoveSpec) -> None:
    service = snapshot.services.get(spec.service)
    if service is None:
        raise InvalidUpdateError(
            f'move {spec.id!r} names service {spec.service!r}, which does '
            'not exist'
        )
    for version in (spec.from_version, spec.to_version):
        if version not in service.versions:
            raise InvalidUpdateError(
                f'move {spec.id!r} names version {version!r} of service '
                f'{spec.service!r}; its versions: '
                f'{", ".join(service.versions)}'
            )
