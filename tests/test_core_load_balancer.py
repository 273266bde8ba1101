"""Simulations of the load patterns of `gypsumhall.core._load_balancer`."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import trio

from gypsumhall.core._load_balancer import ANY_VERSION
from gypsumhall.core._load_balancer import LoadBalancer
from gypsumhall.core._waiting import CallQueue
from gypsumhall.core._waiting import QueuedCall
from gypsumhall.net._messages import Load
from gypsumhall.testing import builders

if TYPE_CHECKING:
    from trio.testing import MockClock

    from gypsumhall.core._member import Member

_SERVICE = 'availability'
_SLOTS = 4
# Time in seconds for which an endpoint is slow after its start, as required.
_COLD_S = 3.0


class _Endpoint:
    """Simulated endpoint with the queue of the daemon beside it."""

    def __init__(
        self, name: str, service_time_s: float, started_at: float = -_COLD_S
    ) -> None:
        self.name = name
        self.service_time_s = service_time_s
        self._warm_at = started_at + _COLD_S
        self._queue = CallQueue(_SLOTS)
        self._slots = trio.CapacityLimiter(_SLOTS)
        # Sender and time of each call that arrived.
        self.calls: list[tuple[int, float]] = []

    @property
    def load(self) -> Load:
        waiting = self._slots.statistics().tasks_waiting
        service_time_s = self._queue.service_time_s
        return Load(
            self._queue.running,
            waiting,
            _SLOTS,
            service_time_ms=service_time_s * 1000,
            wait_ms=waiting * service_time_s * 1000 / _SLOTS,
        )

    async def run(self, sender: int) -> None:
        self.calls.append((sender, trio.current_time()))
        async with self._slots:
            now = trio.current_time()
            self._queue.admit(now, QueuedCall('route', 0, now + 9, now + 9))
            cold = now < self._warm_at
            await trio.sleep(self.service_time_s * (2 if cold else 1))
            end = trio.current_time()
            self._queue.finish('route', end - now, now=end)

    def senders(self, start: float, end: float) -> Counter[int]:
        """Return the number of calls of each sender between two times."""
        return Counter(
            sender for sender, time in self.calls if start <= time < end
        )


class _Simulation:
    """Simulated senders that call the endpoints of one service.

    Parameters
    ----------
    zones : list of str
        Zone of each sender.
    endpoints : list of _Endpoint
        Endpoints that all senders know from the start.
    seed : int
        Seed of the simulated load and of the load balancers.
    """

    def __init__(
        self, zones: list[str], endpoints: list[_Endpoint], seed: int
    ) -> None:
        self._rng = Random(seed)
        self._balancers = [
            LoadBalancer(zone, Random(seed * 100 + index))
            for index, zone in enumerate(zones)
        ]
        self._endpoints: dict[str, _Endpoint] = {}
        self._members: list[Member] = []
        self.response_times_s: list[float] = []
        for endpoint in endpoints:
            self.join(endpoint, 'az-1', update=False)
        self.update()

    def join(
        self,
        endpoint: _Endpoint,
        zone: str,
        *,
        update: bool = True,
        is_warm: bool = False,
    ) -> None:
        advertised = builders.build_endpoint(slots=_SLOTS, is_warm=is_warm)
        index = len(self._members)
        member = builders.build_member(index, zone, advertised)
        self._members.append(member)
        self._endpoints[member.id] = endpoint
        if update:
            self.update()

    def update(self) -> None:
        now = trio.current_time()
        revision = len(self._members)
        for balancer in self._balancers:
            balancer.update(_SERVICE, self._members, revision, now)

    async def run(self, seconds: float, calls_per_s: float) -> None:
        """Send calls at random times and wait for their responses."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await trio.sleep(self._rng.expovariate(calls_per_s))
                sender = self._rng.randrange(len(self._balancers))
                nursery.start_soon(self._call, sender)

    async def _call(self, sender: int) -> None:
        balancer = self._balancers[sender]
        start = trio.current_time()
        member = balancer.choose(_SERVICE, ANY_VERSION, start)
        assert member is not None
        balancer.begin(member.id)
        endpoint = self._endpoints[member.id]
        await endpoint.run(sender)
        now = trio.current_time()
        balancer.end(member.id, now, failed=False)
        balancer.report(member.id, now, endpoint.load)
        self.response_times_s.append(now - start)


def _members(zones: list[str], version: str = 'v1') -> list[Member]:
    endpoint = builders.build_endpoint(slots=4, version=version)
    return [
        builders.build_member(index, zone, endpoint)
        for index, zone in enumerate(zones)
    ]


def _balancer(zones: list[str]) -> LoadBalancer:
    balancer = LoadBalancer('az-1', Random(1))
    balancer.update(_SERVICE, _members(zones), 1, 0.0)
    return balancer


def _count_choices(
    balancer: LoadBalancer, now: float, count: int = 200
) -> Counter[str]:
    chosen: Counter[str] = Counter()
    for _ in range(count):
        member = balancer.choose(_SERVICE, ANY_VERSION, now)
        assert member is not None
        chosen[member.id] += 1
    return chosen


def test_slow_endpoints_get_calls_only_when_others_are_busy() -> None:
    balancer = _balancer(['az-1', 'az-1'])
    balancer.report('d0', 10.0, Load(0, 0, 4, service_time_ms=100.0))
    balancer.report('d1', 10.0, Load(0, 0, 4, service_time_ms=500.0))
    assert _count_choices(balancer, 10.0) == {'d0': 200}
    full_load = Load(4, 20, 4, service_time_ms=100.0, wait_ms=600.0)
    balancer.report('d0', 10.0, full_load)
    assert _count_choices(balancer, 10.0)['d1'] > 190


def test_failing_endpoints_are_avoided_until_they_recover() -> None:
    """Guards against endpoints that fail while they report good health."""
    balancer = _balancer(['az-1', 'az-1'])
    for _ in range(5):
        balancer.begin('d0')
        balancer.end('d0', 10.0, failed=True)
    assert _count_choices(balancer, 10.0) == {'d1': 200}
    later = _count_choices(balancer, 60.0)
    assert 60 < later['d0'] < 140


def test_another_zone_is_used_when_the_own_zone_is_busy() -> None:
    balancer = _balancer(['az-1', 'az-2'])
    for member in ('d0', 'd1'):
        balancer.report(member, 10.0, Load(0, 0, 4, service_time_ms=100.0))
    assert _count_choices(balancer, 10.0) == {'d0': 200}
    busy = Load(4, 2, 4, service_time_ms=100.0, wait_ms=75.0)
    balancer.report('d0', 10.0, busy)
    assert _count_choices(balancer, 10.0) == {'d1': 200}


def test_calls_with_large_responses_stay_in_the_zone_longer() -> None:
    """Traffic between zones is charged by bytes, not by calls."""
    balancer = _balancer(['az-1', 'az-2'])
    for _ in range(50):
        balancer.record_response_size('large', 6000)
        balancer.record_response_size('small', 400)
    busy = Load(4, 2, 4, service_time_ms=100.0, wait_ms=60.0)
    balancer.report('d0', 10.0, busy)
    balancer.report('d1', 10.0, Load(0, 0, 4, service_time_ms=100.0))
    chosen = {
        route: balancer.choose(_SERVICE, ANY_VERSION, 10.0, route=route)
        for route in ('large', 'small')
    }
    assert chosen['large'] is not None and chosen['large'].id == 'd0'
    assert chosen['small'] is not None and chosen['small'].id == 'd1'
    queued = Load(4, 12, 4, service_time_ms=100.0, wait_ms=300.0)
    balancer.report('d0', 10.0, queued)
    found = balancer.choose(_SERVICE, ANY_VERSION, 10.0, route='large')
    assert found is not None and found.id == 'd1'


def test_senders_with_equal_reports_choose_different_endpoints() -> None:
    """Guards against senders that all choose the endpoint of lowest cost."""
    chosen: Counter[str] = Counter()
    for seed in range(60):
        balancer = LoadBalancer('az-1', Random(seed))
        balancer.update(_SERVICE, _members(['az-1'] * 6), 1, 0.0)
        for index in range(6):
            load = Load(1, 0, 4, service_time_ms=100.0 + index)
            balancer.report(f'd{index}', 10.0, load)
        member = balancer.choose(_SERVICE, ANY_VERSION, 10.0)
        assert member is not None
        chosen[member.id] += 1
    assert max(chosen.values()) < 30


def test_weight_of_old_reports_decays() -> None:
    balancer = _balancer(['az-1', 'az-1'])
    busy = Load(4, 8, 4, service_time_ms=100.0, wait_ms=300.0)
    balancer.report('d0', 10.0, busy)
    assert balancer.expected_wait_s('d0', 10.0) > 0.29
    assert balancer.expected_wait_s('d0', 14.0) < 0.01


def test_unreachable_and_full_endpoints_are_excluded() -> None:
    balancer = _balancer(['az-1', 'az-1'])
    balancer.set_reachable('d0', reachable=False)
    assert _count_choices(balancer, 10.0) == {'d1': 200}
    balancer.mark_full('d1', 10.0, 2)
    assert balancer.choose(_SERVICE, ANY_VERSION, 10.0, (), 2) is None
    urgent = balancer.choose(_SERVICE, ANY_VERSION, 10.0, (), 1)
    assert urgent is not None and urgent.id == 'd1'
    balancer.set_reachable('d0', reachable=True)
    found = balancer.choose(_SERVICE, ANY_VERSION, 10.0, (), 2)
    assert found is not None and found.id == 'd0'
    assert balancer.choose(_SERVICE, ANY_VERSION, 11.0, {'d0'}, 2) is not None


def test_only_the_requested_version_is_chosen() -> None:
    balancer = LoadBalancer('az-1', Random(1))
    members = [
        *_members(['az-1']),
        *_members(['az-1', 'az-1'], 'v2')[1:],
    ]
    balancer.update(_SERVICE, members, 1, 0.0)
    assert balancer.versions(_SERVICE) == {'v1', 'v2'}
    found = balancer.choose(_SERVICE, 'v2', 0.0)
    assert found is not None and found.id == 'd1'
    assert balancer.choose(_SERVICE, 'v3', 0.0) is None


@pytest.mark.parametrize('seed', range(4))
async def test_endpoint_of_a_restarted_daemon_gets_calls_at_once(
    autojump_clock: MockClock, seed: int
) -> None:
    """It was taken for a cold one for 3 s, although it had been running."""
    known = [_Endpoint(f'known-{index}', 0.06) for index in range(3)]
    simulation = _Simulation(['az-1'] * 6, known, seed)
    calls_per_s = 0.2 * 4 * _SLOTS / 0.06
    await simulation.run(5.0, calls_per_s)
    joined_at = trio.current_time()
    joined = _Endpoint('joined', 0.06)
    simulation.join(joined, 'az-1', is_warm=True)
    await simulation.run(_COLD_S, calls_per_s)
    first = joined.senders(joined_at, joined_at + _COLD_S).total()
    assert first > 0.5 * calls_per_s / 4 * _COLD_S


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('known_s', [0.03, 0.06, 0.3])
async def test_joining_endpoint_gets_its_share(
    autojump_clock: MockClock, known_s: float, seed: int
) -> None:
    """Guards against wrong shares of an endpoint that joins at low load.

    With a fixed default for its service time, no sender tried it beside
    faster endpoints, and all senders tried it at once beside slower ones.
    """
    known = [_Endpoint(f'known-{index}', known_s) for index in range(3)]
    simulation = _Simulation(['az-1'] * 6, known, seed)
    calls_per_s = 0.2 * 4 * _SLOTS / known_s
    await simulation.run(5.0, calls_per_s)
    joined_at = trio.current_time()
    joined = _Endpoint('joined', known_s, joined_at)
    simulation.join(joined, 'az-1')
    await simulation.run(13.0, calls_per_s)

    fair = calls_per_s / 4
    cold = joined.senders(joined_at, joined_at + _COLD_S)
    assert cold.total() < 0.1 * fair * _COLD_S
    warm_at = joined_at + _COLD_S
    first = joined.senders(warm_at, warm_at + 2.0).total()
    assert first < 2.0 * fair * 2.0
    share = joined.senders(warm_at + 2.0, warm_at + 10.0)
    assert len(share) == 6
    assert 0.5 * fair < share.total() / 8.0 < 2.0 * fair
    assert max(simulation.response_times_s) < 2.5 * known_s


@pytest.mark.parametrize('seed', range(4))
async def test_senders_of_other_zones_try_a_joining_endpoint(
    autojump_clock: MockClock, seed: int
) -> None:
    """Guards against ignoring an endpoint in a zone without senders."""
    known = [_Endpoint(f'known-{index}', 0.06) for index in range(3)]
    simulation = _Simulation(['az-1'] * 6, known, seed)
    await simulation.run(5.0, 50.0)
    joined_at = trio.current_time()
    joined = _Endpoint('joined', 0.06, joined_at)
    simulation.join(joined, 'az-2')
    await simulation.run(10.0, 50.0)
    assert not joined.senders(joined_at, joined_at + _COLD_S)
    tried = joined.senders(joined_at, joined_at + 10.0)
    assert len(tried) == 6
    # Each sender ignores the crossing cost only until its first report.
    assert max(tried.values()) <= 3


async def test_cold_endpoint_is_used_when_the_others_are_full(
    autojump_clock: MockClock,
) -> None:
    """Guards against excluding cold endpoints while calls are queued."""
    known = [_Endpoint('known', 0.06)]
    simulation = _Simulation(['az-1'] * 3, known, 1)
    await simulation.run(3.0, 30.0)
    joined_at = trio.current_time()
    joined = _Endpoint('joined', 0.06, joined_at)
    simulation.join(joined, 'az-1')
    # The known endpoint serves 67 calls a second.
    await simulation.run(2.0, 100.0)
    assert joined.senders(joined_at, joined_at + 2.0).total() > 34


@pytest.mark.parametrize('seed', range(4))
async def test_recovered_endpoint_gets_its_share_again(
    autojump_clock: MockClock, seed: int
) -> None:
    """Guards against outdated reports of slowness that stay in effect."""
    endpoints = [_Endpoint(f'known-{index}', 0.06) for index in range(4)]
    simulation = _Simulation(['az-1'] * 6, endpoints, seed)
    await simulation.run(5.0, 60.0)
    slow = endpoints[0]
    slow.service_time_s = 0.3
    await simulation.run(6.0, 60.0)
    start = trio.current_time()
    await simulation.run(10.0, 60.0)
    # Trial calls must not cost their callers more than others gain.
    assert slow.senders(start, start + 10.0).total() < 0.03 * 600
    slow.service_time_s = 0.06
    await simulation.run(20.0, 60.0)
    start = trio.current_time()
    await simulation.run(5.0, 60.0)
    share = slow.senders(start, start + 5.0)
    assert len(share) == 6
    assert share.total() > 0.5 * 300 / 4


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ['slow', 'queueing', 'failed', 'full', 'unreachable', 'rejoined']
        ),
        st.integers(0, 3),
        st.floats(0.0, 5.0),
    ),
    max_size=12,
)


def _apply(
    balancer: LoadBalancer,
    members: list[Member],
    kind: str,
    name: str,
    now: float,
) -> None:
    if kind == 'slow':
        balancer.report(name, now, Load(1, 0, 4, service_time_ms=900.0))
    elif kind == 'queueing':
        load = Load(
            4, 9, 4, service_time_ms=60.0, wait_ms=900.0, failure_rate=1.0
        )
        balancer.report(name, now, load)
    elif kind == 'failed':
        balancer.begin(name)
        balancer.end(name, now, failed=True)
    elif kind == 'full':
        balancer.mark_full(name, now, 0, 0.8)
    elif kind == 'unreachable':
        balancer.set_reachable(name, reachable=False)
    else:
        rest = [member for member in members if member.id != name]
        revision = balancer.revision(_SERVICE) + 1
        balancer.update(_SERVICE, rest, revision, now)
        balancer.update(_SERVICE, members, revision + 1, now)


@given(events=_EVENTS, seed=st.integers(0, 100))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_no_endpoint_is_excluded_permanently(
    events: list[tuple[str, int, float]], seed: int
) -> None:
    """Guards against past observations that a sender never checks again."""
    members = _members(['az-1'] * 4)
    balancer = LoadBalancer('az-1', Random(seed))
    balancer.update(_SERVICE, members, 1, 0.0)
    now = 1.0
    for kind, index, pause_s in events:
        _apply(balancer, members, kind, f'd{index}', now)
        now += pause_s
    for index in range(4):
        balancer.set_reachable(f'd{index}', reachable=True)
    chosen: Counter[str] = Counter()
    for _ in range(600):
        now += 0.1
        member = balancer.choose(_SERVICE, ANY_VERSION, now)
        assert member is not None
        chosen[member.id] += 1
        balancer.begin(member.id)
        balancer.end(member.id, now, failed=False)
        balancer.report(member.id, now, Load(0, 0, 4, service_time_ms=60.0))
    assert min(chosen.values()) > 40
    assert len(chosen) == 4
