"""Service ``peers``: the network between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from gypsumhall.net._network import Network
from gypsumhall.services._protocols import Events
from gypsumhall.services._protocols import Metrics

if TYPE_CHECKING:
    from gypsumhall.kernel import Kernel
    from gypsumhall.net._network import PeerSettings

_KINDS = (
    ('control', 'sent'),
    ('control', 'received'),
    ('call', 'sent'),
    ('call', 'received'),
)


class Peers(Network):
    """Network whose events and counters go to the other services.

    Parameters
    ----------
    settings : PeerSettings
        Identity, address, keys and limits.
    """

    name = 'peers'
    requires: tuple[str, ...] = ('events',)

    def __init__(self, settings: PeerSettings) -> None:
        super().__init__(settings, self._record)
        self._events: Events | None = None

    async def run(
        self,
        kernel: Kernel,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        self._events = kernel.get('events', Events)
        async with trio.open_nursery() as nursery:
            await nursery.start(self.serve)
            if 'metrics' in kernel.names:
                metrics = kernel.get('metrics', Metrics)
                nursery.start_soon(self._report, metrics)
            task_status.started()

    def _record(self, code: str, **fields: object) -> None:
        if self._events is not None:
            self._events.emit(code, **fields)

    async def _report(self, metrics: Metrics) -> None:
        sizes = metrics.counter(
            'gypsumhall_peer_bytes_total', 'Bytes of frames between daemons'
        )
        control = metrics.counter(
            'gypsumhall_peer_control_bytes_total',
            'Bytes of control frames between daemons by message',
        )
        frames = metrics.counter(
            'gypsumhall_peer_frames_total', 'Frames between daemons'
        )
        dropped_posts = metrics.counter(
            'gypsumhall_peer_dropped_total', 'Posted messages dropped'
        )
        streams = metrics.gauge(
            'gypsumhall_peer_streams', 'Open streams between daemons'
        )
        seen_frames = [0] * len(_KINDS)
        seen_sizes = [0] * len(_KINDS)
        seen_control: dict[tuple[str, str], int] = {}
        seen_dropped = 0
        while True:
            # Counters are summed up here because a labelled counter costs
            # more than sending a frame.
            await trio.sleep(1.0)
            now_frames, now_sizes = self.traffic.frames, self.traffic.sizes
            for index, (kind, direction) in enumerate(_KINDS):
                labels = {'kind': kind, 'direction': direction}
                frames.add(now_frames[index] - seen_frames[index], **labels)
                sizes.add(now_sizes[index] - seen_sizes[index], **labels)
            now_control = self.traffic.control_by_message()
            for key, size in now_control.items():
                added = size - seen_control.get(key, 0)
                if added:
                    control.add(added, message=key[0], direction=key[1])
            seen_control = now_control
            seen_frames, seen_sizes = list(now_frames), list(now_sizes)
            dropped_posts.add(self.dropped_posts - seen_dropped)
            seen_dropped = self.dropped_posts
            streams.set(self.streams)
