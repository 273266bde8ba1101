"""Identification of the tenant that sent a request.

The load pattern does not matter here: the decision takes one lookup per
request, before its body is read.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumhall.core import _model

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumhall.core._snapshot import Snapshot


@dataclass(slots=True, frozen=True)
class Identity:
    """Who sent a request, and whether it is served.

    Parameters
    ----------
    tenant : Tenant or None
        The tenant; None if the request is not known to belong to one.
    key_digest : str
        SHA-256 digest (hexadecimal) of the key; empty without a tenant.
    reason : str
        Why the request is rejected; empty if it is not.
    detail : str
        Explanation of the reason, without the key.
    """

    tenant: _model.Tenant | None = None
    key_digest: str = ''
    reason: str = ''
    detail: str = ''

    @property
    def name(self) -> str:
        """Name of the tenant; empty for none."""
        return self.tenant.name if self.tenant is not None else ''

    def priority(self, route: _model.Route) -> int:
        """Return the rank of a request, 0 for the most urgent."""
        if self.tenant is None or self.tenant.priority is None:
            return route.priority
        return self.tenant.priority


NO_TENANT = Identity()
"""Identity of requests without a tenant that are served."""


def identify(
    snapshot: Snapshot, route: _model.Route, keys: Sequence[bytes]
) -> Identity:
    """Return the identity of a request.

    A request on a public route is served with any key.

    Parameters
    ----------
    snapshot : Snapshot
        Installed configuration.
    route : Route
        Route of the request.
    keys : sequence of bytes
        Values of the header with the key, one for each occurrence.
    """
    if not snapshot.has_tenants:
        return NO_TENANT
    if not keys:
        identity = Identity(None, '', 'key-missing', 'the request has no key')
    elif len(keys) > 1:
        identity = Identity(
            None, '', 'key-repeated', 'the request has more than one key'
        )
    elif not keys[0]:
        identity = Identity(None, '', 'key-empty', 'the key is empty')
    else:
        key_digest = _model.digest(keys[0])
        tenant = snapshot.tenant_by_digest(key_digest)
        if tenant is not None:
            return Identity(tenant, key_digest)
        identity = Identity(None, '', 'key-unknown', 'the key is not known')
    return NO_TENANT if route.public else identity


def is_revoked(
    snapshot: Snapshot, route: _model.Route | None, identity: Identity
) -> bool:
    """Return whether a request that waits is no longer allowed.

    A key that now belongs to another tenant is still allowed.

    Parameters
    ----------
    snapshot : Snapshot
        Installed configuration.
    route : Route or None
        Present route of the request; None if there is none.
    identity : Identity
        Identity by an earlier configuration.
    """
    return (
        identity.tenant is not None
        and snapshot.has_tenants
        and snapshot.tenant_by_digest(identity.key_digest) is None
        and not (route is not None and route.public)
    )
