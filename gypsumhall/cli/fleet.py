"""Binary ``gypsumhall-fleetd``: the daemon for the users' platform."""

from __future__ import annotations

import random
import signal
import sys
import time
from typing import TYPE_CHECKING

from gypsumhall import platform
from gypsumhall.cli._run import run_kernel
from gypsumhall.cli._settings import run_binary
from gypsumhall.cli._settings import Settings
from gypsumhall.core import _hedge_policy
from gypsumhall.core._cold_limit import ColdBounds
from gypsumhall.core._quotas import QuotaBounds
from gypsumhall.kernel import Kernel
from gypsumhall.kernel import Service
from gypsumhall.net._network import PeerSettings
from gypsumhall.net._stream import StreamSettings
from gypsumhall.services._admin import AdminService
from gypsumhall.services._caller import CallerService
from gypsumhall.services._checkins import CheckInService
from gypsumhall.services._cold_monitor import ColdMonitor
from gypsumhall.services._distribution import DistributionService
from gypsumhall.services._evacuations import EvacuationService
from gypsumhall.services._events import EventLog
from gypsumhall.services._events import LINES_PER_S
from gypsumhall.services._explain import ExplainService
from gypsumhall.services._feed import Feed
from gypsumhall.services._isolation import IsolationService
from gypsumhall.services._lifecycle import Lifecycle
from gypsumhall.services._membership import MembershipService
from gypsumhall.services._membership import MembershipSettings
from gypsumhall.services._metrics import MetricRegistry
from gypsumhall.services._peers import Peers
from gypsumhall.services._quotas import QuotaService
from gypsumhall.services._readiness import Readiness
from gypsumhall.services._readiness import ReadyListener
from gypsumhall.services._registration import Registration
from gypsumhall.services._rollouts import RolloutService
from gypsumhall.services._runner import RunnerService
from gypsumhall.services._sender import RetryLimits
from gypsumhall.services._status_check import HttpStatusCheck
from gypsumhall.services._store import InstrumentedStore

if TYPE_CHECKING:
    from collections.abc import Sequence

_USAGE = """\
usage: gypsumhall-fleetd [flags]

Serves callers and the backend server of one VM on the users' platform.
"""
_NOTES = """\
Every flag may be given as an environment variable instead; the flag takes
precedence. deploy/system.toml sets the variables from the platform's fields.
Exit status: 0 after a graceful shutdown (SIGTERM or SIGINT), 1 when an
address cannot be used or a service fails, 2 for invalid settings.
"""

_DRAIN_DELAY_SHARE = 0.5
"""Largest share of ``--grace`` during which new requests are accepted. After
it, the endpoint of this daemon accepts no calls and completes its last ones.
"""

_CANCEL_SHARE = 0.86
"""Share of ``--grace`` after which requests that are still running are
cancelled. By the users' rules, requests cut off in its last sixth do not count
as failures. At 0.95 of `_DRAIN_TIMEOUT_SHARE`, which is 0.88, the kernel
interrupts a drain that has not ended."""

_STARTUP_JITTER_S = 0.05
"""Longest random delay in seconds at startup, to spread the reads of the
store, which serves 2,000 reads per second. After a loss of all machines every
request waits for this delay."""

_REJECTION_DELAY_S = 0.1
"""Time in seconds until most daemons have received the notification of a
graceful shutdown and send no more calls."""

_DRAIN_TIMEOUT_SHARE = 0.93
"""Share of ``--grace`` after which the daemon exits."""

_RETRY_LIMIT_SHARE = 0.45
"""Share of the allowed retries that the daemons make. Retries that a daemon
has not used remain available for one window, so the total of a window can be
twice the floor; calls that a retried run makes count as retries too."""

_HEARTBEAT_INTERVAL_S = 0.5
"""Time in seconds between two heartbeats to another daemon. A machine that
fails is excluded after three intervals."""


class FleetSettings:
    """Settings of the daemon; the values are set by `run_binary`."""

    def __init__(self) -> None:
        settings = Settings('gypsumhall-fleetd', _USAGE, _NOTES)
        self.settings = settings
        self.id = settings.string(
            'id', '', 'Unique name of the machine.', required=True
        )
        self.zone = settings.string(
            'zone', '', 'Availability zone of this VM.', required=True
        )
        self.ip = settings.string(
            'ip', '', 'Address of this VM.', required=True
        )
        self.peer_port = settings.integer(
            'peer_port', 7600, 'Port for other daemons.', highest=65535
        )
        self.advertised_peer_address = settings.address(
            'advertised_peer_address',
            '',
            '<ip>:<port> at which other daemons reach this one, if it '
            'differs from the IP and the peer port.',
            allow_host_names=False,
        )
        self.outbound_address = settings.address(
            'outbound_address', '', '<ip>:<port> for callers.', required=True
        )
        self.ready_address = settings.address(
            'ready_address',
            '',
            '<ip>:<port> for readiness probes.',
            required=True,
        )
        self.control_address = settings.address(
            'control_address',
            '',
            '<ip>:<port> for the heartbeats of the backend server, and for '
            'metrics.',
            required=True,
        )
        self.backend_address = settings.address(
            'backend_address', '', '<ip>:<port> of the backend server.'
        )
        self.service = settings.string(
            'service', '', 'Service of the backend server.'
        )
        self.platform = settings.addresses(
            'platform', (), 'Metadata store of the platform.', required=True
        )
        self.retry_ratio = settings.number(
            'retry_ratio',
            0.2,
            'Retries per request that all daemons together may send to a '
            'service.',
        )
        self.retry_slack = settings.number(
            'retry_slack',
            64.0,
            'Retries allowed in each window regardless of retry_ratio.',
        )
        self.retry_window = settings.duration(
            'retry_window', 10.0, 'Length of the window of retry_slack.'
        )
        self.cold_over = settings.number(
            'cold_over',
            1.5,
            'Requests per second that may be sent to a cold backend server, '
            'as a multiple of the rate that it can handle.',
            highest=100.0,
        )
        self.cold_slack = settings.number(
            'cold_slack',
            8.0,
            'Requests that may be sent to it in any second besides.',
            highest=1e6,
        )
        self.quota_window = settings.number(
            'quota_window',
            5.0,
            'Length of the window of quota_over and quota_slack in seconds.',
            lowest=1.0,
            highest=60.0,
        )
        self.quota_over = settings.number(
            'quota_over',
            0.1,
            'Share by which a tenant may exceed its quota in a window.',
            lowest=0.0,
            highest=1.0,
        )
        self.quota_slack = settings.number(
            'quota_slack',
            20.0,
            'Requests by which a tenant may exceed its quota in a window, '
            'regardless of quota_over.',
            lowest=1.0,
            highest=10_000.0,
        )
        self.hedge_share = settings.number(
            'hedge_share',
            0.0,
            'Share of the calls that get a second attempt at another '
            'endpoint when they are slow, on idempotent routes; 0 for none.',
            highest=_hedge_policy.MAX_SHARE,
        )
        self.hedge_quantile = settings.number(
            'hedge_quantile',
            0.95,
            'Quantile of the response times of a route after which a call '
            'counts as slow.',
            lowest=_hedge_policy.MIN_QUANTILE,
            highest=_hedge_policy.MAX_QUANTILE,
        )
        self.revoke_ms = settings.integer(
            'revoke_ms',
            5000,
            'Time in milliseconds without a response of the store or another '
            'daemon after which strict_revoke takes effect.',
            lowest=500,
            highest=600_000,
        )
        self.strict_revoke = settings.boolean(
            'strict_revoke',
            False,
            'Reject requests that need a key while this daemon is cut off.',
        )
        self.grace = settings.duration(
            'grace', 6.0, 'Time between SIGTERM and SIGKILL.'
        )


def build_kernel(settings: FleetSettings) -> Kernel:
    """Return a kernel with all services of a daemon.

    Parameters
    ----------
    settings : FleetSettings
        Checked settings.
    """
    daemon = settings.id.value
    zone = settings.zone.value
    store_address = settings.platform.value[0]
    rng = random.Random()  # noqa: S311
    # The platform's settings contain no secret; this key only prevents
    # connections between daemons of different fleets.
    key = f'gypsumhall fleet at {store_address}'.encode()
    peer_settings = PeerSettings(
        daemon,
        zone,
        int(time.time() * 1000),
        f'{settings.ip.value}:{settings.peer_port.value}',
        (key,),
        settings.advertised_peer_address.value,
        stream=StreamSettings(
            ping_after_s=0.25, silent_after_s=0.75, dead_after_s=2.25
        ),
        connect_timeout_s=0.25,
    )
    rollouts = RolloutService(rng=rng)
    retry_limits = RetryLimits(
        _RETRY_LIMIT_SHARE * settings.retry_ratio.value,
        _RETRY_LIMIT_SHARE
        * settings.retry_slack.value
        / settings.retry_window.value,
        fleet_wide=True,
    )
    drain_delay_s = _DRAIN_DELAY_SHARE * settings.grace.value
    cold_monitor = ColdMonitor(
        ColdBounds(settings.cold_over.value, settings.cold_slack.value)
    )
    runner = RunnerService(
        rng,
        dialect=platform.DIALECT,
        retry_limits=retry_limits,
        rejection_delay_s=_REJECTION_DELAY_S,
        availability_wait_s=drain_delay_s,
        cancel_after_s=_CANCEL_SHARE * settings.grace.value,
        cold_monitor=cold_monitor,
    )
    runner.set_split_source(rollouts.split)
    evacuations = EvacuationService(rng=rng)
    runner.set_evacuations(evacuations)
    quotas = QuotaService(
        QuotaBounds(
            settings.quota_window.value,
            settings.quota_over.value,
            settings.quota_slack.value,
        ),
        rng=rng,
    )
    runner.set_quotas(quotas)
    runner.set_hedging(
        _hedge_policy.HedgeSettings(
            settings.hedge_share.value, settings.hedge_quantile.value
        )
    )
    registration = Registration(rng=rng)
    quotas.set_zone_source(lambda: registration.zones)
    admin = AdminService(settings.control_address.value)
    check_ins = CheckInService(
        settings.backend_address.value,
        settings.service.value,
        HttpStatusCheck(
            platform.DIALECT,
            cold_monitor=cold_monitor,
            on_server_load=runner.observe_server_load,
            occupy_slot=runner.occupy_slot,
        ),
        evacuations,
        cold_monitor,
    )
    check_ins.register_routes(admin)
    isolation = IsolationService(
        settings.revoke_ms.value / 1000, platform.CONFIGURATION_KEY
    )
    services: list[Service] = [
        EventLog(daemon, zone, lines_per_s=LINES_PER_S),
        Lifecycle(),
        MetricRegistry(),
        InstrumentedStore(platform.KvStore(store_address), rng=rng),
        Peers(peer_settings),
        MembershipService(
            MembershipSettings(
                interval_s=_HEARTBEAT_INTERVAL_S,
                jitter_s=_STARTUP_JITTER_S,
                reseed_interval_s=5.0,
            )
        ),
        registration,
        DistributionService(jitter_s=_STARTUP_JITTER_S),
        quotas,
        rollouts,
        evacuations,
        Feed(rng=rng, evacuations=evacuations),
        admin,
        ReadyListener(settings.ready_address.value),
        runner,
        check_ins,
        CallerService(
            settings.outbound_address.value,
            platform.DIALECT,
            settings.service.value,
            drain_delay_s,
            _CANCEL_SHARE * settings.grace.value,
            isolation if settings.strict_revoke.value else None,
            has_quotas=True,
        ),
        ExplainService(quotas, rollouts.preview_split),
        Readiness(),
    ]
    if settings.strict_revoke.value:
        services.append(isolation)
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
    settings = FleetSettings()

    def start(_names: list[str]) -> int:
        kernel = build_kernel(settings)
        # The settings that the daemon uses are fixed for the life of its
        # process, so a SIGHUP to reload them is ignored.
        return run_kernel(
            kernel,
            _DRAIN_TIMEOUT_SHARE * settings.grace.value,
            (signal.SIGHUP,),
        )

    return run_binary(settings.settings, argv, start)


if __name__ == '__main__':
    sys.exit(main())
