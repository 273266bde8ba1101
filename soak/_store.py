"""Stand-in of the platform's store, with faults."""

from __future__ import annotations

import trio

from gypsumhall.services import _http_server
from gypsumhall.standin import server_settings
from gypsumhall.store import Put
from gypsumhall.testing.kv_store import KvApp
from gypsumhall.testing.memory_store import Fault
from gypsumhall.testing.memory_store import MemoryStore

STORE_FAULTS = ('slow', 'down', 'hang', 'refusing', 'lost', 'watches')

_LOST_RESPONSES = 20


class FaultyStore(MemoryStore):
    """Store that the operator reaches also while daemons do not."""

    def __init__(self) -> None:
        super().__init__()
        self.app = KvApp(self)

    def write_as_operator(self, key: str, value: bytes) -> None:
        """Write a value."""
        self._expire()
        self._execute([], [Put(key, value)])

    def begin(self, fault: str) -> None:
        """Begin one of `STORE_FAULTS`."""
        if fault == 'slow':
            self.latency_s = 0.6
        elif fault == 'down':
            self.outage = True
        elif fault == 'hang':
            self.hang = True
        elif fault == 'refusing':
            self.app.refuse = 429
        elif fault == 'lost':
            self.inject('', *[Fault.LOST_RESPONSE] * _LOST_RESPONSES)
        else:
            self.silence_watches()
            self.app.silent_watches = True

    def end(self) -> None:
        """End all faults."""
        self.latency_s = 0.0
        self.outage = self.hang = self.app.silent_watches = False
        self.app.refuse = None
        self.clear_faults()
        self.drop_watches()

    async def serve(
        self,
        address: str,
        *,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        await _http_server.serve(
            self.app,
            server_settings(),
            address,
            trio.Event(),
            task_status=task_status,
        )
