"""Connects membership and distribution to the platform's records.

Both services start before the platform is known to be reachable, so they get
callbacks that read the seeds and the version floor when needed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import StoreProtocolError
from gypsumhall.core import _model
from gypsumhall.services._distribution import DistributionService
from gypsumhall.services._membership import MembershipService
from gypsumhall.services._reader import read_seeds
from gypsumhall.services._store import InstrumentedStore
from gypsumhall.store import _keys

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumhall._kernel import Kernel


class PlatformLinkService:
    """Reads seeds and the version floor; the service ``platform-link``."""

    name = 'platform-link'
    requires: tuple[str, ...] = ('store', 'membership', 'distribution')

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Register the callbacks, and return."""
        self._store = kernel.get('store', InstrumentedStore)
        membership = kernel.get('membership', MembershipService)
        self._zone = membership.me.zone
        membership.set_seed_source(self._read_seed_addresses)
        kernel.get('distribution', DistributionService).set_head_reader(
            self._read_head
        )
        task_status.started()

    async def drain(self) -> None:
        """Do nothing; no call of this service is in progress."""

    async def _read_seed_addresses(self) -> Sequence[str]:
        records = await read_seeds(self._store, self._zone)
        return [record.address for record in records]

    async def _read_head(self) -> _model.Head:
        item = await self._store.get(_keys.HEAD)
        if item is None:
            return _model.Head()
        try:
            return _model.decode_head(item.value)
        except MalformedDataError as error:
            raise StoreProtocolError(f'{_keys.HEAD}: {error}') from error
