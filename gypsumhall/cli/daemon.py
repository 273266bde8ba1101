"""Binary ``gypsumhalld``: the process in the slot of a backend server VM."""

from __future__ import annotations

import os
import random
import signal
import sys
import time
from typing import TYPE_CHECKING

from loguru import logger
import trio

from gypsumhall._errors import Finding
from gypsumhall._errors import GypsumhallError
from gypsumhall._errors import Place
from gypsumhall._errors import SettingsError
from gypsumhall.cli._settings import Settings
from gypsumhall.kernel import Kernel
from gypsumhall.kernel import Service
from gypsumhall.net._network import PeerSettings
from gypsumhall.services._acceptance import AcceptanceService
from gypsumhall.services._admin import AdminService
from gypsumhall.services._announcements import AnnouncementsService
from gypsumhall.services._caller import CallerService
from gypsumhall.services._distribution import DistributionService
from gypsumhall.services._events import EventLog
from gypsumhall.services._membership import MembershipService
from gypsumhall.services._membership import MembershipSettings
from gypsumhall.services._metrics import MetricRegistry
from gypsumhall.services._moves import MovesService
from gypsumhall.services._operator import OperatorService
from gypsumhall.services._peers import Peers
from gypsumhall.services._platform_link import PlatformLinkService
from gypsumhall.services._reader import Reader
from gypsumhall.services._runner import RunnerService
from gypsumhall.services._store import PlatformStore
from gypsumhall.store import EtcdStore

if TYPE_CHECKING:
    from collections.abc import Sequence

_USAGE = 'usage: gypsumhalld [flags]'
_NOTES = """\
Every flag may be given as an environment variable instead; the flag comes
first. Exit status: 0 after a planned stop (SIGTERM or SIGINT), 1 when an
address cannot be used or a service fails, 2 for invalid settings.
"""

MIN_KEY_CHARACTERS = 16


class DaemonSettings:
    """Settings of the daemon, checked together.

    Parameters
    ----------
    arguments : sequence of str
        Command line without the name of the binary.
    environment : mapping
        Environment variables.

    Raises
    ------
    SettingsError
        With all faults.
    """

    def __init__(
        self, arguments: Sequence[str], environment: dict[str, str]
    ) -> None:
        settings = Settings('gypsumhalld', _USAGE, _NOTES)
        self.settings = settings
        self.zone = settings.string(
            'zone', '', 'Availability zone of this VM.', required=True
        )
        self.zones = settings.string(
            'zones',
            '',
            'All availability zones, separated by commas; guards against a '
            'misspelt --zone. Empty for no check.',
        )
        self.id = settings.string(
            'id', '', 'Unique name; the peer address when empty.'
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
        )
        self.advertised_peer_address = settings.string(
            'advertised_peer_address',
            '',
            '<ip>:<port> at which other daemons reach the peer address, if '
            'it is another one.',
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
            'seeds', (), 'Peer addresses of daemons to join through.'
        )
        self.peer_keys = settings.string(
            'peer_keys',
            '',
            'Shared keys of the daemons, separated by commas, at least '
            f'{MIN_KEY_CHARACTERS} characters each; the first one is '
            'preferred, the others are accepted while keys are replaced. '
            'Better given in the environment than on the command line.',
            required=True,
        )
        self.event_log = settings.string(
            'event_log', '', 'File for events; standard error when empty.'
        )
        self.drain_timeout = settings.duration(
            'drain_timeout', 30.0, 'Longest time of a planned stop.'
        )
        settings.parse(arguments, environment)
        if not settings.help_wanted:
            self._check()

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Shared keys of the daemons."""
        parts = self.peer_keys.value.split(',')
        return tuple(part.encode() for part in parts)

    def _check(self) -> None:
        findings = []
        zones = [item for item in self.zones.value.split(',') if item]
        if zones and self.zone.value not in zones:
            findings.append(
                Finding(
                    'unknown-zone',
                    f'{self.zone.value!r} is no availability zone; valid '
                    f'choices: {", ".join(zones)}',
                    Place('--zone'),
                )
            )
        if any(len(key) < MIN_KEY_CHARACTERS for key in self.keys):
            findings.append(
                Finding(
                    'bad-setting',
                    'every key needs at least '
                    f'{MIN_KEY_CHARACTERS} characters',
                    Place('--peer_keys'),
                )
            )
        if findings:
            raise SettingsError(findings)


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
        settings.keys,
        settings.advertised_peer_address.value,
    )
    services: list[Service] = [
        EventLog(daemon, zone, path=settings.event_log.value),
        MetricRegistry(),
        PlatformStore(EtcdStore(settings.platform.value, rng=rng)),
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
        CallerService(settings.caller_address.value),
    ]
    kernel = Kernel()
    for service in services:
        kernel.register(service)
    return kernel


async def _run(kernel: Kernel, drain_timeout_s: float) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:

            async def stop_on_signal() -> None:
                async for _ in signals:
                    kernel.stop()

            nursery.start_soon(stop_on_signal)
            await kernel.run(drain_timeout_s=drain_timeout_s)
            nursery.cancel_scope.cancel()


def _first(group: BaseExceptionGroup) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def main(argv: Sequence[str] | None = None) -> int:
    """Run the daemon until it is asked to stop.

    Parameters
    ----------
    argv : sequence of str, optional
        Command line; by default that of the process.

    Returns
    -------
    int
        Exit status, see ``--help``.
    """
    arguments = sys.argv[1:] if argv is None else argv[1:]
    try:
        settings = DaemonSettings(arguments, dict(os.environ))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    if settings.settings.help_wanted:
        print(settings.settings.help_page, end='')
        return 0
    status = 0
    try:
        trio.run(_run, build_kernel(settings), settings.drain_timeout.value)
    except* (OSError, GypsumhallError) as group:
        reason = _first(group)
        print(f'gypsumhalld: {reason}', file=sys.stderr)
        status = 1
    except* Exception as group:
        logger.opt(exception=group).critical('a service failed')
        status = 1
    return status


if __name__ == '__main__':
    sys.exit(main())
