"""Binary ``gypsumhalld``: the daemon beside each backend server."""

from __future__ import annotations

import random
import sys
import time
from typing import TYPE_CHECKING

from gypsumhall._errors import Finding
from gypsumhall._errors import SourceLocation
from gypsumhall.cli._run import run_kernel
from gypsumhall.cli._settings import run_binary
from gypsumhall.cli._settings import Settings
from gypsumhall.kernel import Kernel
from gypsumhall.kernel import Service
from gypsumhall.net._handshake import MAX_KEYS
from gypsumhall.net._network import PeerSettings
from gypsumhall.services._acceptance import AcceptanceService
from gypsumhall.services._admin import AdminService
from gypsumhall.services._announcements import AnnouncementsService
from gypsumhall.services._caller import CallerService
from gypsumhall.services._distribution import DistributionService
from gypsumhall.services._events import EventLog
from gypsumhall.services._explain import ExplainService
from gypsumhall.services._lifecycle import Lifecycle
from gypsumhall.services._membership import MembershipService
from gypsumhall.services._membership import MembershipSettings
from gypsumhall.services._metrics import MetricRegistry
from gypsumhall.services._moves import MovesService
from gypsumhall.services._operator import OperatorService
from gypsumhall.services._peers import Peers
from gypsumhall.services._platform_link import PlatformLinkService
from gypsumhall.services._reader import Reader
from gypsumhall.services._runner import RunnerService
from gypsumhall.services._store import InstrumentedStore
from gypsumhall.store import EtcdStore

if TYPE_CHECKING:
    from collections.abc import Sequence

_USAGE = """\
usage: gypsumhalld [flags]

Serves callers, other daemons and operators on one VM.
"""
_NOTES = """\
Every flag may be given as an environment variable instead; the flag takes
precedence. Exit status: 0 after a graceful shutdown (SIGTERM or SIGINT), 1
when an address cannot be used or a service fails, 2 for invalid settings.
"""

MIN_KEY_CHARACTERS = 16

_CANCEL_SHARE = 0.9
"""Share of ``--drain_timeout`` after which requests that are still running are
cancelled. At 0.95 the kernel interrupts a drain that has not ended."""


def _parse_key(text: str) -> bytes:
    if len(text) < MIN_KEY_CHARACTERS:
        raise ValueError(
            f'every key needs at least {MIN_KEY_CHARACTERS} characters; one '
            f'has {len(text)}'
        )
    return text.encode()


class DaemonSettings:
    """Settings of the daemon; the values are set by `run_binary`."""

    def __init__(self) -> None:
        settings = Settings('gypsumhalld', _USAGE, _NOTES)
        self.settings = settings
        self.zone = settings.string(
            'zone', '', 'Availability zone of this VM.', required=True
        )
        self.zones = settings.items(
            'zones',
            (),
            'All availability zones, separated by commas; guards against a '
            'misspelt --zone. If empty, --zone is not checked.',
            str,
        )
        self.id = settings.string(
            'id', '', 'Unique name of the daemon; by default its peer address.'
        )
        self.caller_address = settings.address(
            'caller_address',
            '',
            '<ip>:<port> for callers (HTTP).',
            required=True,
        )
        self.peer_address = settings.address(
            'peer_address',
            '',
            '<ip>:<port> for other daemons.',
            required=True,
            allow_host_names=False,
        )
        self.advertised_peer_address = settings.address(
            'advertised_peer_address',
            '',
            '<ip>:<port> at which other daemons reach this one, if it '
            'differs from the peer address.',
            allow_host_names=False,
        )
        self.admin_address = settings.address(
            'admin_address',
            '',
            '<ip>:<port> for operators, metrics and the backend server on '
            'this VM (HTTP).',
            required=True,
        )
        self.platform = settings.addresses(
            'platform', (), 'Gateways of the platform.', required=True
        )
        self.seeds = settings.addresses(
            'seeds',
            (),
            'Peer addresses of daemons to join through.',
            allow_host_names=False,
        )
        self.peer_keys = settings.items(
            'peer_keys',
            (),
            f'Shared keys, separated by commas: 1 to {MAX_KEYS}, at least '
            f'{MIN_KEY_CHARACTERS} characters each. Daemons with a key in '
            'common accept each other. Prefer the environment variable to '
            'the flag.',
            _parse_key,
            required=True,
            secret=True,
        )
        self.event_log = settings.string(
            'event_log', '', 'File for events; standard error if empty.'
        )
        self.drain_timeout = settings.duration(
            'drain_timeout', 30.0, 'Time limit of a graceful shutdown.'
        )

    def check(self, _names: list[str]) -> list[Finding]:
        """Return the errors of combinations of values."""
        findings = []
        zone, zones = self.zone.value, self.zones.value
        if zone and zones and zone not in zones:
            message = (
                f'{zone!r} is not an availability zone; valid choices: '
                f'{", ".join(zones)}'
            )
            findings.append(
                Finding('unknown-zone', message, SourceLocation('--zone'))
            )
        count = len(self.peer_keys.value)
        if count > MAX_KEYS:
            message = f'{count} keys; at most {MAX_KEYS} are accepted'
            findings.append(
                Finding('bad-setting', message, SourceLocation('--peer_keys'))
            )
        return findings


def build_kernel(settings: DaemonSettings) -> Kernel:
    """Return a kernel with all services of a daemon.

    Parameters
    ----------
    settings : DaemonSettings
        Checked settings.
    """
    daemon = settings.id.value or settings.peer_address.value
    zone = settings.zone.value
    rng = random.Random()  # noqa: S311
    peer_settings = PeerSettings(
        daemon,
        zone,
        int(time.time() * 1000),
        settings.peer_address.value,
        settings.peer_keys.value,
        settings.advertised_peer_address.value,
    )
    services: list[Service] = [
        EventLog(daemon, zone, path=settings.event_log.value),
        Lifecycle(),
        MetricRegistry(),
        InstrumentedStore(EtcdStore(settings.platform.value, rng=rng)),
        Peers(peer_settings),
        MembershipService(MembershipSettings(settings.seeds.value)),
        DistributionService(),
        PlatformLinkService(),
        AcceptanceService(origin=daemon),
        Reader(),
        MovesService(),
        AdminService(settings.admin_address.value),
        OperatorService(),
        RunnerService(),
        AnnouncementsService(),
        CallerService(
            settings.caller_address.value,
            cancel_after_s=_CANCEL_SHARE * settings.drain_timeout.value,
        ),
        ExplainService(),
    ]
    kernel = Kernel()
    for service in services:
        kernel.register(service)
    return kernel


def main(argv: Sequence[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    argv : sequence of str, optional
        Command line; by default that of the process.

    Returns
    -------
    int
        Exit status, see ``--help``.
    """
    settings = DaemonSettings()

    def start(_names: list[str]) -> int:
        kernel = build_kernel(settings)
        return run_kernel(kernel, settings.drain_timeout.value)

    return run_binary(settings.settings, argv, start, settings.check)


if __name__ == '__main__':
    sys.exit(main())
