"""Configurations that the operator writes, and what they allow."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import trio

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

HOST = 'soak.example'
SERVICES = ('alpha', 'beta')
BULK_ROUTES = 1500

_ROUTES = {
    '/alpha/read/': True,
    '/alpha/write/': False,
    '/beta/read/': True,
    '/beta/write/': False,
    '/split/read/': True,
}
_DEFAULT_TIMEOUT_S = 2.0
_TIMEOUTS_S = (0.8, 1.2, 2.0, 2.5)
_APPLY_S = 2.0
_STABLE_S = 3.0


class Version:
    """A version of the configuration.

    Parameters
    ----------
    number : int
        Version number.
    timeouts_s : dict of str to float
        Time limit in seconds by prefix of the route.
    services : dict of str to str
        Service by prefix of the route, for those that may be moved.
    bulk_routes : int
        Number of routes that no caller uses.
    """

    __slots__ = (
        'bulk_routes',
        'number',
        'sent_at',
        'services',
        'timeouts_s',
    )

    def __init__(
        self,
        number: int,
        timeouts_s: dict[str, float],
        services: dict[str, str],
        bulk_routes: int,
    ) -> None:
        self.number = number
        self.timeouts_s = timeouts_s
        self.services = services
        self.bulk_routes = bulk_routes
        self.sent_at = 0.0

    def encode(self) -> bytes:
        """Return the value that the operator writes to the store."""
        resources = [_service(name) for name in SERVICES]
        for prefix, idempotent in _ROUTES.items():
            target: dict[str, Any] = {'service': self.services.get(prefix)}
            if prefix == '/split/read/':
                target = {
                    'split': [
                        {'service': name, 'weight': 50} for name in SERVICES
                    ]
                }
            resources.append(
                _route(prefix, idempotent, self.timeouts_s[prefix], target)
            )
        prefixes = [mark_prefix(self.number)]
        prefixes += [f'/bulk/{index}/' for index in range(self.bulk_routes)]
        resources += [
            _route(prefix, True, 2.0, {'service': SERVICES[0]})
            for prefix in prefixes
        ]
        limits = {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeoutMs': 5000,
            'idleTimeoutMs': 30000,
        }
        resources.append(
            {'entryType': 'limits', 'metadata': {}, 'spec': limits}
        )
        value = {'version': f'{self.number:08x}', 'resources': resources}
        return json.dumps(value).encode()


class Operator:
    """Writes configurations; knows which may be in force.

    Parameters
    ----------
    rng : random.Random
        Draws the changes.
    write : callable
        Writes a value under a key of the store.
    """

    __slots__ = ('_rng', '_write', 'versions')

    def __init__(
        self, rng: random.Random, write: Callable[[str, bytes], None]
    ) -> None:
        self._rng = rng
        self._write = write
        timeouts_s = dict.fromkeys(_ROUTES, _DEFAULT_TIMEOUT_S)
        services = {
            prefix: prefix.split('/')[1]
            for prefix in _ROUTES
            if not prefix.startswith('/split/')
        }
        self.versions = [Version(1, timeouts_s, services, 0)]
        self._publish(self.versions[0])

    @property
    def newest(self) -> Version:
        """Version that was written last."""
        return self.versions[-1]

    def change(self, kind: str) -> None:
        """Write the next version.

        Parameters
        ----------
        kind : str
            ``timeouts``, ``move`` to move a route, ``many`` to add many
            routes or remove them.
        """
        last = self.newest
        timeouts_s, services = dict(last.timeouts_s), dict(last.services)
        bulk_routes = last.bulk_routes
        if kind == 'timeouts':
            for prefix in timeouts_s:
                timeouts_s[prefix] = self._rng.choice(_TIMEOUTS_S)
        elif kind == 'move':
            prefix = self._rng.choice(sorted(services))
            services[prefix] = self._rng.choice(SERVICES)
        else:
            bulk_routes = 0 if bulk_routes else BULK_ROUTES
        number = last.number + self._rng.randint(1, 4)
        version = Version(number, timeouts_s, services, bulk_routes)
        self._publish(version)
        self.versions.append(version)

    def may_run(self, prefix: str, service: str) -> bool:
        """Whether a version ever allowed a service to run a route."""
        if prefix.startswith('/split/'):
            return True
        if prefix.startswith('/mark/'):
            return service == SERVICES[0]
        return any(item.services[prefix] == service for item in self.versions)

    def limit_s(self, prefix: str, start: float, end: float) -> float:
        """Return the shortest time limit that may be in force for a route."""
        if prefix.startswith('/mark/'):
            return 2.0
        settled = start - _APPLY_S - _STABLE_S
        limits = []
        for version in reversed(self.versions):
            if version.sent_at <= end:
                limits.append(version.timeouts_s[prefix])
            if version.sent_at <= settled:
                break
        return min(limits)

    def _publish(self, version: Version) -> None:
        version.sent_at = trio.current_time()
        self._write('op/config', version.encode())


def is_idempotent(prefix: str) -> bool:
    """Whether requests of a route may run more than once."""
    return _ROUTES.get(prefix, True)


def routes() -> tuple[str, ...]:
    """Return the prefixes of the routes that every version has."""
    return tuple(_ROUTES)


def mark_prefix(number: int) -> str:
    """Return the prefix of the route that only one version has."""
    return f'/mark/{number}/'


def _service(name: str) -> dict[str, Any]:
    spec = {'healthPath': '/healthz', 'maxConns': 200}
    return {'entryType': 'services', 'metadata': {'name': name}, 'spec': spec}


def _route(
    prefix: str, idempotent: bool, timeout_s: float, target: dict[str, Any]
) -> dict[str, Any]:
    return {
        'entryType': 'routes',
        'metadata': {'name': prefix.strip('/').replace('/', '-')},
        'spec': {
            'host': HOST,
            'prefix': prefix,
            'type': 'idempotent' if idempotent else 'non_idempotent',
            'timeoutMs': round(timeout_s * 1000),
            'sloMs': round(timeout_s * 500),
            'priority': 0,
            'attempts': 2,
            **target,
        },
    }


def build_target(
    prefix: str, id: str, work_ms: int, size: int, status: int
) -> str:
    """Return a path that tells the endpoint how to respond."""
    return f'{prefix}{id}?ms={work_ms}&size={size}&status={status}'


def work_ms(target: str) -> int:
    """Return the time that a request takes at an endpoint."""
    return int(parse_qs(target.partition('?')[2])['ms'][0])
