"""Tests of explanations at a daemon, and of the command for them."""

from __future__ import annotations

import contextlib
import enum
import json
from random import Random
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

import msgspec
import pytest
import trio

from gypsumhall.cli import fleet
from gypsumhall.cli import operator
from gypsumhall.core import _quotas
from gypsumhall.core._model import Move
from gypsumhall.core._model import MoveState
from gypsumhall.services import _explain
from gypsumhall.services import _http_server
from gypsumhall.services._admin import AdminService
from gypsumhall.services._admin import RequestError
from gypsumhall.services._rollouts import RolloutService
from gypsumhall.standin import server_settings
from gypsumhall.store import Put
from gypsumhall.testing import builders
from gypsumhall.testing import tenants
from gypsumhall.testing.daemons import build_snapshot
from gypsumhall.testing.kv_store import KvApp
from gypsumhall.testing.memory_store import MemoryStore
from gypsumhall.testing.pipelining import connect

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

    from gypsumhall.testing.daemons import CallPathDaemon

_WAIT_S = 20.0
_KEY = 'key-4711-of-tenant-a'
_TENANT = tenants.build_tenant(
    'tenant-a', _KEY, priority=2, rate_per_s=10.0, burst=5.0
)
_HOST = tenants.ROUTES[0].host


class _Explained:
    """Two daemons, the first with explanations and without an endpoint."""

    def __init__(
        self, daemons: list[CallPathDaemon], service: _explain.ExplainService
    ) -> None:
        self.daemons = daemons
        self.service = service
        self.quotas = _quotas.DaemonQuotas()
        self.backend = tenants.RecordingBackend()

    @property
    def daemon(self) -> CallPathDaemon:
        return self.daemons[0]

    def explain(
        self, path: str = '/search', key: str | None = None
    ) -> dict[str, Any]:
        return self.service.explain(_explain.Question('GET', _HOST, path, key))

    def outcome(self, *args: Any) -> tuple[Any, ...]:
        outcome = self.explain(*args)['outcome']
        if outcome['action'] == 'send':
            return ('send', outcome['member'])
        return (outcome['status'], outcome['reason'])


@contextlib.asynccontextmanager
async def _open() -> AsyncIterator[_Explained]:
    backend = tenants.RecordingBackend()
    quotas = _quotas.DaemonQuotas()
    quotas.set_limits({'tenant-a': _quotas.Limit(10.0, 5.0)})
    service = _explain.ExplainService(quotas, rng=Random(3))
    with trio.fail_after(_WAIT_S):
        async with (
            tenants.open_daemons(backend, remote=True) as daemons,
            trio.open_nursery() as nursery,
        ):
            for daemon in daemons:
                tenants.install(daemon, 2, _TENANT)
            await nursery.start(service.run, daemons[0].kernel)
            explained = _Explained(daemons, service)
            explained.quotas = quotas
            explained.backend = backend
            yield explained
            nursery.cancel_scope.cancel()


async def test_explanation_names_route_tenant_quota_and_endpoint() -> None:
    async with _open() as explained:
        result = explained.explain('/search?q=1', _KEY)
        last = explained.daemons[1].membership.me
        assert result['config_version'] == 2
        assert result['route']['path'] == '/search'
        assert result['key_required']
        assert (result['tenant'], result['priority']) == ('tenant-a', 2)
        assert result['quota'] == {
            'rate_per_s': 10.0,
            'burst': 5.0,
            'state': 'undecided',
        }
        assert result['services'] == [
            {'service': 'availability', 'share': 1.0}
        ]
        (candidate,) = result['candidates']
        assert candidate['member'] == last.id
        assert candidate['cost_ms'] > 0
        assert result['outcome']['asks_quota_owner']
        assert result['outcome']['member'] == last.id
        open_result = explained.explain('/open')
        assert not open_result['key_required']
        assert open_result['outcome']['action'] == 'send'


async def test_explanation_is_what_happens_to_the_request() -> None:
    """Guards against an explanation with another status than the request."""
    async with _open() as explained:
        caller = await connect(explained.daemon)
        async with caller.stream:
            for index, (path, key, expected) in enumerate(
                [
                    ('/search', '', (401, 'key-missing')),
                    ('/search', 'other', (401, 'key-unknown')),
                    ('/none', _KEY, (404, 'unknown-route')),
                    ('/search', _KEY, (200, '')),
                ]
            ):
                outcome = explained.outcome(path, key or None)
                await caller.send(
                    tenants.build_request(str(index), key=key, path=path)
                )
                assert (await caller.read_response()).status == expected[0]
                assert outcome == expected or (
                    expected[0] == 200 and outcome[0] == 'send'
                )
        now = trio.current_time()
        explained.quotas.take('tenant-a', now)
        explained.quotas.wait('tenant-a', 1)
        (question,) = explained.quotas.ask(['tenant-a'], now)
        answer = _quotas.Answer('tenant-a', question.sequence, 0.0, 9.0, 9.0)
        explained.quotas.add_answer(answer, now)
        refused = explained.explain('/search', _KEY)
        assert refused['outcome']['status'] == 429
        assert 8 < refused['outcome']['retry_after_s'] <= 9
        # The candidates are shown although the request would be rejected.
        assert refused['candidates']
        explained.daemon.runner.sender.set_evacuated_zones(
            frozenset([explained.daemons[1].membership.me.zone])
        )
        stopped = explained.explain('/open')
        assert stopped['outcome']['status'] == 503
        assert stopped['outcome']['reason'] == 'no-endpoint'
        assert stopped['outcome']['retry_after_s'] > 0
        assert stopped['candidates'][0]['reason'] == 'evacuated'
        # The key is looked up as before.
        assert explained.outcome('/search', None) == (401, 'key-missing')


async def test_stopping_daemon_explains_its_rejection() -> None:
    async with _open() as explained:
        caller = explained.daemon.caller
        assert caller is not None
        caller._stopping = True
        caller._accepts_until = trio.current_time()
        assert explained.outcome('/open') == (503, 'draining')
        caller._stopping = False


def _state(value: Any) -> Any:
    """Return a copy of the data below an object, for comparisons."""
    if isinstance(value, Random):
        return value.getstate()
    if isinstance(value, dict):
        return {key: _state(item) for key, item in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_state(item) for item in value]
    if isinstance(value, (msgspec.Struct, enum.Enum)):
        # Instances are immutable.
        return value
    if not type(value).__module__.startswith('gypsumhall.'):
        return value
    names = [
        *getattr(value, '__dict__', ()),
        *(
            name
            for base in type(value).__mro__
            for name in getattr(base, '__slots__', ())
            if hasattr(value, name)
        ),
    ]
    return {name: _state(getattr(value, name)) for name in names}


async def test_explanation_changes_no_state() -> None:
    """Guards against tokens, calls and choices that nobody made."""
    async with _open() as explained:
        daemon = explained.daemon
        caller = await connect(daemon)
        async with caller.stream:
            await caller.send(tenants.build_request('a', key=_KEY))
            assert (await caller.read_response()).status == 200
        sender = daemon.runner.sender

        def state() -> Any:
            return (
                _state(sender._load_balancer),
                _state(sender._rng),
                _state(sender._budgets),
                _state(explained.quotas),
                _state(daemon.metrics),
                _state(daemon.events),
                daemon.caller and daemon.caller._last_request_at,
                daemon.caller and dict(daemon.caller._longest_timeout_s),
                daemon.caller and _state(daemon.caller._rng),
                list(explained.backend.headers),
            )

        before = state()
        for path in ('/search', '/open', '/none'):
            for key in (None, 'other', _KEY):
                explained.explain(path, key)
        assert state() == before
        # The table has changed since the last call; only calls update it.
        explained.daemons[1].set_backend(
            explained.backend.address, version='v2'
        )
        before = state()
        result = explained.explain('/search', _KEY)
        assert result['candidates'][0]['version'] == 'v2'
        assert state() == before
        # The comparison detects a choice and a token.
        sender._load_balancer.choose('availability', '', trio.current_time())
        after_choice = state()
        assert after_choice != before
        explained.quotas.take('tenant-a', trio.current_time())
        assert state() != after_choice


def test_version_split_of_a_rollout_is_read_without_effect() -> None:
    """Guards against a stable version that only an explanation has seen."""
    rollouts = RolloutService()
    snapshot = build_snapshot()
    rollouts.preview_split(snapshot, 'availability', {'v1'})
    assert rollouts._stable_versions == {}
    rollouts.split(snapshot, 'availability', {'v1'})
    assert rollouts._stable_versions == {'availability': 'v1'}
    both = {'v1', 'v2'}
    split = rollouts.preview_split(snapshot, 'availability', both)
    assert split == rollouts.split(snapshot, 'availability', both)


async def test_split_between_versions_is_shown() -> None:
    async with _open() as explained:
        move = Move(builders.build_move(), MoveState.ACTIVE, 0, 0.25, 0.0, 0.0)
        snapshot = build_snapshot(3, (move,), tenants.ROUTES)
        explained.daemon.distribution.publish(
            snapshot.head, list(snapshot.fragments.values())
        )
        result = explained.explain('/search')
        assert [item['share'] for item in result['versions']] == [0.75, 0.25]


@pytest.mark.parametrize(
    ('body', 'detail'),
    [
        (b'{', 'truncated'),
        (b'\xff', 'malformed'),
        ({'method': 'GET', 'host': 'h'}, 'path'),
        ({'method': 'G T', 'host': 'h', 'path': '/'}, 'method'),
        ({'method': 'GET', 'host': '', 'path': '/'}, 'host'),
        ({'method': 'GET', 'host': 'h', 'path': 'x'}, 'path'),
        ({'method': 'GET', 'host': 'h', 'path': '/ü'}, 'path'),
        ({'method': 'GET', 'host': 'h', 'path': '/', 'key': 3}, 'key'),
        ({'method': 'GET', 'host': 'h', 'path': '/', 'key': 'a\nb'}, 'key'),
        ({'method': 'GET', 'host': 'h', 'path': '/', 'key': '→'}, 'key'),
    ],
)
async def test_bad_questions_are_rejected(body: Any, detail: str) -> None:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    with pytest.raises(RequestError) as caught:
        _explain._parse(data)
    assert caught.value.response.status == 400
    assert detail in str(caught.value)


class _Command:
    """The command at a daemon's listener, whose bytes are kept."""

    def __init__(self, address: str, capsys: Any) -> None:
        self._address = address
        self._capsys = capsys
        # What was written between the commands.
        self.other_output = ''

    async def run(
        self, *arguments: str, **environment: str
    ) -> tuple[int, str, str]:
        captured = self._capsys.readouterr()
        self.other_output += captured.out + captured.err
        code = await trio.to_thread.run_sync(
            operator.run,
            ('explain', *arguments),
            {
                'GYPSUMHALL_DAEMONS': self._address,
                'GYPSUMHALL_TIMEOUT': '5s',
                **environment,
            },
        )
        captured = self._capsys.readouterr()
        return code, captured.out, captured.err


async def test_command_shows_the_explanation_but_not_the_key(
    capsys: Any, tmp_path: pathlib.Path
) -> None:
    """Guards against the key in output, URLs, events and metrics."""
    key_file = tmp_path / 'key'
    await trio.Path(key_file).write_text(_KEY + '\n')
    tee = tenants.Tee()
    async with _open() as explained, trio.open_nursery() as nursery:
        daemon = explained.daemon
        admin = AdminService('127.0.0.1:0')
        await nursery.start(admin.run, daemon.kernel)
        handler = daemon.admin.routes['POST', _explain.PATH]
        admin.add_route('POST', _explain.PATH, handler)
        tee.target = admin.bound_address
        await nursery.start(tee.run)
        command = _Command(tee.address, capsys)
        request = ('GET', _HOST, '/search')
        outputs = [
            await command.run(*request, f'--key_file={key_file}'),
            await command.run(*request, '--json', GYPSUMHALL_KEY=_KEY),
            await command.run(*request),
            await command.run(*request, GYPSUMHALL_KEY=_KEY + '\x01'),
            await command.run(*request, '--zone=az-9', GYPSUMHALL_KEY=_KEY),
            await command.run('GET', _HOST, GYPSUMHALL_KEY=_KEY),
            await command.run(*request, f'--key_file={tmp_path}/none'),
        ]
        assert [code for code, _, _ in outputs] == [
            operator.OK,
            operator.OK,
            operator.OK,
            operator.USAGE,
            operator.UNAVAILABLE,
            operator.USAGE,
            operator.USAGE,
        ]
        assert 'tenant         tenant-a' in outputs[0][1]
        assert 'result         sent to ' in outputs[0][1]
        assert json.loads(outputs[1][1])['tenant'] == 'tenant-a'
        assert 'result         401 key-missing' in outputs[2][1]
        assert 'key is not valid' in outputs[3][2]
        assert 'zone az-9' in outputs[4][2]
        assert 'three arguments' in outputs[5][2]
        assert 'No such file' in outputs[6][2]
        assert _KEY not in repr(outputs)
        assert _KEY not in repr(_state(daemon.events))
        assert _KEY not in repr(_state(daemon.metrics))
        # Requests state the key in their bodies only; responses never do.
        heads = [
            item
            for item in tee.received.split(b'\r\n')
            if item and not item.startswith(b'{"method"')
        ]
        assert heads
        assert not any(_KEY.encode() in item for item in heads)
        nursery.cancel_scope.cancel()


def _configuration() -> bytes:
    route = {
        'host': 'h',
        'prefix': '/a/',
        'type': 'idempotent',
        'timeoutMs': 1000,
        'service': 's',
    }
    tenant = {'apiKeys': [_KEY], 'priority': 1, 'ratePerS': 50, 'burst': 20}
    entries = (
        ('routes', 'r', route),
        ('services', 's', {}),
        ('tenants', 'tenant-a', tenant),
    )
    resources = [
        {'entryType': kind, 'metadata': {'name': name}, 'spec': spec}
        for kind, name, spec in entries
    ]
    return json.dumps({'version': '00000001', 'resources': resources}).encode()


async def test_fleet_daemon_answers_without_writing_the_key(
    capfd: Any,
) -> None:
    """Guards against services of a whole daemon that do not fit together."""
    store = MemoryStore()
    await store.txn([], [Put('op/config', _configuration())])
    app = cast('Any', KvApp(store))
    stop = trio.Event()
    with trio.fail_after(_WAIT_S):
        async with trio.open_nursery() as nursery:
            store_address = await nursery.start(
                _http_server.serve,
                app,
                server_settings(),
                '127.0.0.1:0',
                stop,
            )
            with trio.socket.socket() as probe:
                await probe.bind(('127.0.0.1', 0))
                peer_port = probe.getsockname()[1]
            settings = fleet.FleetSettings()
            environment = {
                'ID': 'd1',
                'ZONE': 'az-1',
                'IP': '127.0.0.1',
                'PEER_PORT': str(peer_port),
                'OUTBOUND_ADDRESS': '127.0.0.1:0',
                'READY_ADDRESS': '127.0.0.1:0',
                'CONTROL_ADDRESS': '127.0.0.1:0',
                'PLATFORM': store_address,
            }
            settings.settings.parse(
                [],
                {f'GYPSUMHALL_{name}': v for name, v in environment.items()},
            )
            kernel = fleet.build_kernel(settings)
            await nursery.start(kernel.run)
            admin = kernel.get('admin', AdminService)
            command = _Command(admin.bound_address, capfd)
            code, out, err = 0, '', ''
            while '"config_version": 1' not in out:
                code, out, new_err = await command.run(
                    'GET', 'h', '/a/b', '--json', GYPSUMHALL_KEY=_KEY
                )
                err += new_err
                await trio.sleep(0.1)
            kernel.stop()
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
    assert code == operator.OK
    result = json.loads(out)
    assert (result['tenant'], result['priority']) == ('tenant-a', 1)
    assert result['quota']['state'] == 'undecided'
    assert result['outcome']['status'] == 503
    assert result['outcome']['reason'] == 'no-endpoint'
    err += command.other_output + capfd.readouterr().err
    assert '"code":' in err
    assert _KEY not in out + err
