"""In-memory stand-in of the platform, and stores connected to it."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from gypsumhall.core import _model
from gypsumhall.standin import Platform
from gypsumhall.standin import PlatformApp
from gypsumhall.store import _keys
from gypsumhall.store import EtcdStore
from gypsumhall.store import Put
from gypsumhall.testing import builders
from gypsumhall.testing.http_network import HttpNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gypsumhall.store import Store

ADDRESS = '127.0.0.1:2379'
"""Address at which `open_platform` serves the stand-in."""


@dataclass(slots=True, frozen=True)
class MemoryPlatform:
    """A stand-in of the platform that is served over in-memory streams.

    Parameters
    ----------
    platform : Platform
        State and faults of the stand-in.
    network : HttpNetwork
        Network through which the stand-in is reached, and its faults.
    """

    platform: Platform
    network: HttpNetwork

    def open_store(self, *addresses: str) -> EtcdStore:
        """Return a store that connects to the given gateways.

        Parameters
        ----------
        *addresses : str
            Gateway addresses, all served by the same stand-in; by default
            `ADDRESS`.
        """
        for address in addresses:
            self.network.listen(address, PlatformApp(self.platform))
        return EtcdStore(addresses or [ADDRESS], network_backend=self.network)


@asynccontextmanager
async def open_platform() -> AsyncIterator[MemoryPlatform]:
    """Run a stand-in for the duration of the context."""
    async with trio.open_nursery() as nursery:
        platform = Platform()
        await nursery.start(platform.run)
        network = HttpNetwork(nursery)
        network.listen(ADDRESS, PlatformApp(platform))
        yield MemoryPlatform(platform, network)
        nursery.cancel_scope.cancel()


async def write_version(
    store: Store, version: int, fragment: _model.Fragment | None = None
) -> None:
    """Write a head with one department, replacing any previous head.

    Parameters
    ----------
    store : Store
        Store of the platform.
    version : int
        Configuration version.
    fragment : Fragment, optional
        Configuration of the department; by default one route that is named
        after the version.
    """
    if fragment is None:
        route = builders.build_route(f'r{version}')
        fragment = builders.build_fragment(routes=[route])
    data = _model.encode(fragment)
    head = builders.build_head([fragment], version)
    await store.txn(
        [],
        [
            Put(_keys.fragment_key(_model.digest(data)), data),
            Put(_keys.HEAD, _model.encode(head)),
        ],
    )
