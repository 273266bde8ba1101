"""Time, messages and bytes for a change to reach every daemon of a zone.

A discrete-event simulation runs the real replicas. Every message takes a fixed
time per hop, and every daemon processes one message at a time; the processing
time is measured while the replica runs. Message sizes are those of the
msgpack encoding plus the assumed frame overhead.

Run with ``python -m benchmarks.bench_distribution``; the results are
written to ``benchmarks/results/distribution.json``.
"""

from __future__ import annotations

from collections import Counter
import gc
import heapq
import itertools
import json
import pathlib
import platform
import random
import resource
import statistics
import time
from typing import Any

from absl import app
from absl import flags
import msgspec

from gypsumhall.core import _actions
from gypsumhall.core import _delta
from gypsumhall.core import _model
from gypsumhall.core._replica import Replica
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.net import _messages
from gypsumhall.testing import builders
from gypsumhall.testing.fakes import FakeTable

FLAGS = flags.FLAGS
flags.DEFINE_list('sizes', ['100', '400', '1250'], 'Daemons per zone.')
flags.DEFINE_float(
    'hop_ms', 0.5, 'Transit time of a message, in milliseconds.'
)
flags.DEFINE_integer('changes', 10, 'Changes per run.')
flags.DEFINE_string(
    'output',
    str(pathlib.Path(__file__).parent / 'results' / 'distribution.json'),
    'File that the results are written to.',
)

SERVICES = 1900
DEPARTMENTS = 19
ROUTES = 5000
MOVES = 500
SUBMISSIONS = 1024
CHANGES_PER_DAY = 18_000

# Length prefix, exchange number and flags of a frame, IP and TCP headers.
FRAME_BYTES = 60

Configuration = tuple[_model.Head, dict[str, _model.Fragment]]


def build_configuration() -> Configuration:
    """Return a configuration at the design scale.

    The first department has 500 routes, the others share the rest evenly.
    """
    fragments = {}
    per_department = SERVICES // DEPARTMENTS
    routes = [500, *[(ROUTES - 500) // (DEPARTMENTS - 1)] * (DEPARTMENTS - 1)]
    specs: list[_model.MoveSpec] = []
    for number in range(DEPARTMENTS):
        name = f'department-{number:03}'
        services = [
            builders.build_service(
                f'{name}-service-{index:03}',
                depends_on=(f'{name}-service-{index - 1:03}',)
                if index
                else (),
            )
            for index in range(per_department)
        ]
        moves = [
            builders.build_move(
                f'{name}/move-{index:03}',
                services[index].name,
                1_796_000_000.0,
            )
            for index in range(min(27, MOVES - len(specs)))
        ]
        specs += moves
        fragments[name] = _model.Fragment(
            name,
            tuple(services),
            tuple(
                builders.build_route(
                    f'route-{index:03}',
                    services[index % per_department].name,
                    f'{name}.example.internal',
                    f'/resource-{index:03}',
                )
                for index in range(routes[number])
            ),
            tuple(moves),
        )
    head = builders.build_head(
        fragments.values(),
        1,
        [
            _model.Move(
                spec,
                _model.MoveState.ACTIVE,
                1,
                0.05,
                1_795_000_000.0,
                1_795_000_100.0,
            )
            for spec in specs
        ],
        {
            service.name: 'v1'
            for fragment in fragments.values()
            for service in fragment.services
        },
    )
    submissions = {_submission(index): index for index in range(SUBMISSIONS)}
    return msgspec.structs.replace(head, submissions=submissions), fragments


def _submission(number: int) -> str:
    return f'{number:08x}-0000-4000-8000-{number:012x}'


def _next_head(head: _model.Head, **changes: Any) -> _model.Head:
    # Encoded and decoded, so that it shares no objects with the previous
    # head, as a reader receives it from the platform.
    changed = msgspec.structs.replace(
        head, version=head.version + 1, **changes
    )
    return _model.decode_head(_model.encode(changed))


def advance_stage(configuration: Configuration, number: int) -> Configuration:
    """Return the next version, in which one move has advanced a stage."""
    head, fragments = configuration
    moves = dict(head.moves)
    key = list(moves)[number % len(moves)]
    moves[key] = msgspec.structs.replace(
        moves[key], stage=2, share=0.2, stage_started=1_795_000_200.0 + number
    )
    return _next_head(head, moves=moves), fragments


def change_route(configuration: Configuration, number: int) -> Configuration:
    """Return the next version, in which a submission changed one route."""
    head, fragments = configuration
    name = 'department-000'
    routes = list(fragments[name].routes)
    routes[number % 500] = msgspec.structs.replace(
        routes[number % 500], timeout_s=5.0 + number
    )
    fragment = msgspec.structs.replace(fragments[name], routes=tuple(routes))
    submissions = dict(head.submissions)
    del submissions[next(iter(submissions))]
    submissions[_submission(SUBMISSIONS + number)] = head.version + 1
    digest = _model.digest(_model.encode(fragment))
    departments = dict(head.departments)
    departments[name] = _model.DepartmentRef(digest, 'c' * 64)
    return (
        _next_head(head, departments=departments, submissions=submissions),
        {**fragments, name: fragment},
    )


def _size(message: Any) -> int:
    return len(_model.encode(message)) + FRAME_BYTES


class SimulatedZone:
    """Discrete-event simulation of the replicas of one zone."""

    def __init__(self, size: int, hop_s: float) -> None:
        self.rng = random.Random(size)
        self.hop_s = hop_s
        self.members = [builders.build_member(item) for item in range(size)]
        self.table = FakeTable(self.members)
        self.replicas = [
            Replica(member, self.table, self.rng) for member in self.members
        ]
        for replica in self.replicas:
            replica.set_floor(0, 0.0)
        self.by_address = {
            item.peer_address: index for index, item in enumerate(self.members)
        }
        self.unresponsive: set[int] = set()
        self.queue: list[tuple[float, int, int, int, Any]] = []
        self.counter = itertools.count()
        self.busy_until = [0.0] * size
        self.cpu_s = [0.0] * size
        self.installed_at: dict[int, float] = {}
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.received_bytes = [0] * size

    def _enqueue(self, at: float, source: int, target: int, item: Any) -> None:
        heapq.heappush(
            self.queue, (at, next(self.counter), source, target, item)
        )

    def handle(self, index: int, at: float, method: Any, *args: Any) -> None:
        """Call a method of a replica and enqueue the messages it returns."""
        at = max(at, self.busy_until[index])
        start = time.perf_counter()
        actions = method(*args, at)
        elapsed = time.perf_counter() - start
        done = at + elapsed
        self.cpu_s[index] += elapsed
        self.busy_until[index] = done
        for action in actions:
            if isinstance(action, _actions.Alarm):
                raise RuntimeError(f'{action.code}: {action.fields}')
            if isinstance(action, _actions.Installed):
                self.installed_at[index] = done
            elif isinstance(action, _actions.Send):
                self._count_sent(action.message)
                target = self.by_address[action.address]
                self._enqueue(done + self.hop_s, index, target, action.message)
            elif isinstance(action, _actions.Fetch):
                self._count_sent(action.pull)
                target = self.by_address[action.address]
                self._enqueue(done + self.hop_s, index, target, action)

    def _count_sent(self, message: Any) -> None:
        size = _size(message)
        kind = type(message).__name__
        self.sent[kind] += 1
        self.sent_bytes[kind] += size

    def install_initial_version(self, start: Configuration) -> float:
        """Install the first version on all replicas and reset the counters."""
        snapshot = Snapshot.build(start[0], start[1].values())
        for replica in self.replicas:
            # All share one snapshot, as 1,250 copies would not fit in memory.
            replica._install(snapshot, 0.0)
        now = 30.0
        self.run(now)
        self.sent.clear()
        self.sent_bytes.clear()
        self.received_bytes = [0] * len(self.replicas)
        self.cpu_s = [0.0] * len(self.replicas)
        # A garbage collection traverses the objects of all daemons, but its
        # time would count for the daemon that happens to trigger it.
        gc.collect()
        gc.disable()
        return now

    def publish(
        self, publishers: list[int], now: float, configuration: Configuration
    ) -> None:
        """Publish a version at the publishing daemons, the readers."""
        for index in publishers:
            self.handle(
                index,
                now,
                self.replicas[index].publish,
                configuration[0],
                configuration[1].values(),
            )

    def run(self, until: float) -> None:
        """Process messages and timers until a time."""
        timers = [
            (replica.due, index) for index, replica in enumerate(self.replicas)
        ]
        heapq.heapify(timers)
        while True:
            due = timers[0][0] if timers else until
            if self.queue and self.queue[0][0] <= due:
                at, _, source, target, item = heapq.heappop(self.queue)
                if at > until:
                    break
                replica_index = self._deliver(at, source, target, item)
            elif due <= until:
                at, replica_index = heapq.heappop(timers)
                replica = self.replicas[replica_index]
                if (
                    replica.due <= at
                    and replica_index not in self.unresponsive
                ):
                    self.handle(replica_index, at, replica.tick)
            else:
                break
            if replica_index not in self.unresponsive:
                due = self.replicas[replica_index].due
                heapq.heappush(timers, (due, replica_index))

    def _deliver(self, at: float, source: int, target: int, item: Any) -> int:
        if target in self.unresponsive:
            if isinstance(item, _actions.Fetch):
                address = self.members[target].peer_address
                handle_fetch_result = self.replicas[source].handle_fetch_result
                self.handle(
                    source, at + 2.0, handle_fetch_result, address, None
                )
            return source
        self.received_bytes[target] += _size(
            item.pull if isinstance(item, _actions.Fetch) else item
        )
        replica = self.replicas[target]
        sender = self.members[source]
        address = sender.peer_address
        if isinstance(item, _actions.Fetch):
            parts = replica.build_pull_reply(item.pull)
            for part in parts:
                self._count_sent(part)
                self.received_bytes[source] += _size(part)
            self.handle(
                source,
                at + self.hop_s,
                self.replicas[source].handle_fetch_result,
                self.members[target].peer_address,
                _delta.join(parts),
            )
            return source
        if isinstance(item, _messages.Update):
            self.handle(target, at, replica.receive, item, address)
        elif isinstance(item, _messages.Announcement):
            self.handle(
                target, at, replica.receive_announcement, item, address
            )
        elif isinstance(item, _messages.Acknowledgement):
            self.handle(
                target, at, replica.receive_acknowledgement, sender.id, item
            )
        elif isinstance(item, _messages.ZoneSummaries):
            self.handle(
                target,
                at,
                replica.receive_summaries,
                item,
                address,
                sender.zone,
            )
        return target


def measure_distribution(
    start: Configuration, size: int, readers: int, *, dead_inner_node: bool
) -> dict[str, Any]:
    """Publish changes one after another and measure the install times."""
    zone = SimulatedZone(size, FLAGS.hop_ms / 1000)
    now = zone.install_initial_version(start)
    if dead_inner_node:
        trees = zone.replicas[0]._trees
        dead_node = trees.get('az-1', 'd0').children('d0')[0]
        zone.unresponsive.add(zone.by_address[dead_node.peer_address])
    times = []
    configuration = start
    publishers = [0, 5, 9][:readers]
    interval = 86_400 / CHANGES_PER_DAY
    for number in range(FLAGS.changes):
        change = change_route if number % 2 else advance_stage
        configuration = change(configuration, number)
        zone.installed_at.clear()
        zone.publish(publishers, now, configuration)
        zone.run(now + interval)
        install_times = [
            at - now
            for index, at in zone.installed_at.items()
            if index not in zone.unresponsive
        ]
        assert len(install_times) == size - len(zone.unresponsive), len(
            install_times
        )
        times.append(sorted(install_times))
        now += interval
    gc.enable()
    seconds = FLAGS.changes * interval
    others = [
        index
        for index in range(size)
        if index not in publishers and index not in zone.unresponsive
    ]
    sent = sum(zone.sent_bytes.values()) / size / seconds
    return {
        'daemons': size,
        'readers': readers,
        'dead_inner_node': dead_inner_node,
        'last_ms': {
            'median': _to_ms(statistics.median(item[-1] for item in times)),
            'max': _to_ms(max(item[-1] for item in times)),
        },
        'median_daemon_ms': _to_ms(
            statistics.median(item[len(item) // 2] for item in times)
        ),
        'messages_per_change': {
            key: round(count / FLAGS.changes)
            for key, count in sorted(zone.sent.items())
        },
        'bytes_per_change': {
            key: round(count / FLAGS.changes)
            for key, count in sorted(zone.sent_bytes.items())
        },
        'sent_bytes_per_s_per_daemon': round(sent),
        'received_bytes_per_s_most': round(max(zone.received_bytes) / seconds),
        'bytes_per_daemon_per_day': {
            'sent': round(sent * 86_400),
            'received': round(
                statistics.mean(zone.received_bytes) / seconds * 86_400
            ),
        },
        'cpu_ms_per_change': _to_ms(
            statistics.mean(zone.cpu_s[index] for index in others)
            / FLAGS.changes
        ),
    }


def measure_burst(
    start: Configuration, size: int, changes: int, rate: float
) -> dict[str, Any]:
    """Publish changes faster than the zone installs them."""
    zone = SimulatedZone(size, FLAGS.hop_ms / 1000)
    now = zone.install_initial_version(start)
    configuration = start
    for number in range(changes):
        change = change_route if number % 2 else advance_stage
        configuration = change(configuration, number)
        zone.publish([0, 5, 9], now, configuration)
        last = now
        now += 1 / rate
        zone.run(now)
    zone.run(now + 3)
    gc.enable()
    assert {item.version for item in zone.replicas} == {changes + 1}
    return {
        'daemons': size,
        'changes': changes,
        'changes_per_s': rate,
        'last_ms': _to_ms(max(zone.installed_at.values()) - last),
        'pulls': zone.sent['Pull'],
        'bytes_per_change_per_daemon': round(
            sum(zone.sent_bytes.values()) / size / changes
        ),
        'cpu_ms_per_change': _to_ms(
            statistics.mean(zone.cpu_s[10:]) / changes
        ),
    }


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 3)


def _median_time_ms(function: Any, repeat: int = 20) -> float:
    samples = []
    for _ in range(repeat):
        start = time.perf_counter()
        function()
        samples.append(time.perf_counter() - start)
    return _to_ms(statistics.median(samples))


def measure_snapshot(start: Configuration) -> dict[str, Any]:
    """Measure the time to install a version, and the size of deltas."""
    head, fragments = start
    base = Snapshot.build(head, fragments.values())
    result: dict[str, Any] = {
        'head_bytes': len(_model.encode(head)),
        'fragments_bytes': sum(
            len(_model.encode(item)) for item in fragments.values()
        ),
        'largest_fragment_bytes': max(
            len(_model.encode(item)) for item in fragments.values()
        ),
        'encode_and_digest_head_ms': _median_time_ms(
            lambda: _model.digest(_model.encode(head))
        ),
        'build_ms': _median_time_ms(
            lambda: Snapshot.build(head, fragments.values())
        ),
    }
    for change in (advance_stage, change_route):
        changed_head, changed_fragments = change(start, 0)
        target = base.advance(changed_head, changed_fragments.values())
        bases = _delta.Base.of(base), _delta.Base.of(target)
        update = _delta.diff(*bases)

        def install(update: _messages.Update = update) -> Snapshot:
            return base.advance(*_delta.resolve(update, _delta.Base.of(base)))

        def diff(bases: Any = bases) -> _messages.Update:
            return _delta.diff(*bases)

        install_ms = _median_time_ms(install)
        result[change.__name__] = {
            'delta_bytes': len(_model.encode(update)),
            'head_and_changed_fragments_bytes': len(
                _model.encode(changed_head)
            )
            + sum(
                len(_model.encode(item))
                for name, item in changed_fragments.items()
                if item != fragments[name]
            ),
            'apply_ms': install_ms,
            'diff_ms': _median_time_ms(diff),
            'core_percent_at_18000_per_day': round(
                install_ms / 1000 * CHANGES_PER_DAY / 86_400 * 100, 3
            ),
        }
    return result


def measure_bootstrap(start: Configuration) -> dict[str, Any]:
    """Measure a pull of the whole configuration."""
    head, fragments = start
    table = FakeTable([builders.build_member(item) for item in range(2)])
    rng = random.Random(1)
    source, target = (
        Replica(member, table, rng) for member in table.members()
    )
    source.publish(head, fragments.values(), 0.0)
    started = time.perf_counter()
    first = source.build_pull_reply(_messages.Pull())
    first_ms = _to_ms(time.perf_counter() - started)
    encoded = [_model.encode(part) for part in first]

    def decode() -> _messages.Update:
        return _delta.join(
            [
                msgspec.msgpack.decode(item, type=_delta.Part)
                for item in encoded
            ]
        )

    decode_ms = _median_time_ms(decode)
    update = decode()
    started = time.perf_counter()
    target.handle_fetch_result('d0', update, 1.0)
    install_ms = _to_ms(time.perf_counter() - started)
    assert target.version == source.version
    return {
        'parts': len(first),
        'bytes': sum(len(item) + FRAME_BYTES for item in encoded),
        'first_answer_ms': first_ms,
        'encode_ms': _median_time_ms(
            lambda: [_model.encode(part) for part in first]
        ),
        'decode_ms': decode_ms,
        'install_ms': install_ms,
    }


def measure_history(start: Configuration) -> dict[str, Any]:
    """Measure the memory of one daemon for the bases of deltas."""
    table = FakeTable([builders.build_member()])
    replica = Replica(table.members()[0], table, random.Random(1))
    configuration = start
    replica.publish(start[0], start[1].values(), 0.0)
    gc.collect()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for number in range(40):
        change = change_route if number % 2 else advance_stage
        configuration = change(configuration, number)
        replica.publish(configuration[0], configuration[1].values(), 0.0)
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {'history_mb': round((after - before) / 1024, 1)}


def main(argv: list[str]) -> None:
    """Run all measurements."""
    del argv
    start = build_configuration()
    results: dict[str, Any] = {
        'parameters': {
            'services': SERVICES,
            'routes': ROUTES,
            'departments': DEPARTMENTS,
            'moves': MOVES,
            'submissions': SUBMISSIONS,
            'hop_ms': FLAGS.hop_ms,
            'changes': FLAGS.changes,
            'changes_per_day': CHANGES_PER_DAY,
            'frame_bytes': FRAME_BYTES,
            'python': platform.python_version(),
        },
        **measure_history(start),
        'snapshot': measure_snapshot(start),
        'bootstrap': measure_bootstrap(start),
        'burst': measure_burst(start, 100, 60, 30.0),
        'spread': [],
    }
    for size in map(int, FLAGS.sizes):
        for readers, dead in ((1, False), (1, True), (3, False), (3, True)):
            row = measure_distribution(
                start, size, readers, dead_inner_node=dead
            )
            results['spread'].append(row)
            print(json.dumps(row))
    print(json.dumps({**results, 'spread': None}, indent=2))
    path = pathlib.Path(FLAGS.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(results, indent=2) + '\n')


if __name__ == '__main__':
    app.run(main)
