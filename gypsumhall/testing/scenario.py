"""Scenarios: scripted fault injection tests with real processes.

A scenario is a YAML file that defines a fleet, configuration texts of
operators, and steps. Each step is a mapping with one key, the verb; `VERBS`
lists the verbs, and `docs/scenarios.md` describes them. Every wait has a
timeout. After the last step the event logs of all daemons are checked against
the invariants that hold in every scenario.
"""

from __future__ import annotations

from collections import defaultdict
import functools
import json
import math
import signal
from typing import Any
from typing import TYPE_CHECKING

import httpcore
import msgspec
from ruamel.yaml import YAML
from ruamel.yaml import YAMLError
import trio

from gypsumhall._errors import Finding
from gypsumhall._errors import FindingsError
from gypsumhall._errors import SourceLocation
from gypsumhall.load._load import RequestKind
from gypsumhall.testing.processes import backend_name
from gypsumhall.testing.processes import Fleet
from gypsumhall.testing.processes import open_fleet
from gypsumhall.testing.processes import ProcessError
from gypsumhall.testing.processes import Vm

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from pathlib import Path

# Default timeout of waits. They end as soon as their condition holds, so the
# timeout only matters for a failing run and has room for slow machines.
WAIT_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.1
_TOKEN_PREFIX = 'token-of-'


class ScenarioError(FindingsError):
    """A scenario file is invalid."""

    code = 'invalid-scenario'


class ExpectationError(AssertionError):
    """A step of a scenario failed or an invariant is violated."""


class VmGroup(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """VMs of one zone and service version, named ``<zone>-<service>-<n>``."""

    zone: str
    service: str
    version: str = 'v1'
    count: int = 1
    backend: dict[str, str | int | float] = {}


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a scenario file.

    Parameters
    ----------
    about : str
        Failure that the scenario tests.
    zones : tuple of str
        Availability zones.
    vms : tuple of VmGroup
        VMs with their backend servers.
    texts : dict of str to str
        Configuration texts of operators by name.
    steps : tuple of dict
        Steps, each with one verb as its key.
    """

    about: str
    zones: tuple[str, ...]
    vms: tuple[VmGroup, ...]
    texts: dict[str, str]
    steps: tuple[dict[str, Any], ...]


class Submit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arguments of ``submit``."""

    text: str
    expect: str = 'accepted'
    vm: str = ''
    token: str = ''
    timeout: float = 20.0


class WaitMove(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arguments of ``wait_move``."""

    move: str
    state: str
    within: float = WAIT_TIMEOUT_S


class StartLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arguments of ``load``."""

    kinds: tuple[RequestKind, ...]
    seconds: float
    rate: float = 40.0
    seed: int = 1
    zones: tuple[str, ...] = ()
    max_failed: dict[str, int] = {}
    max_failed_share: float = 1.0


class Cut(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arguments of ``cut``: two zones, or a zone and ``platform``."""

    between: tuple[str, str]


class BackendFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arguments of ``backend``."""

    vms: tuple[str, ...]
    faults: dict[str, Any]


class Call(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arguments of ``call``: a request and its expected response."""

    vm: str
    host: str
    path: str = '/'
    method: str = 'GET'
    status: int = 200
    outcome: str = ''
    within: float = WAIT_TIMEOUT_S


class Expect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arguments of ``expect``; those that are given are checked.

    Parameters
    ----------
    reverted : tuple of str
        Moves that every running daemon reports as reverted.
    same_version : bool
        Whether all running daemons have the latest accepted version.
    no_calls : tuple of str
        VMs whose backend servers run no calls for `seconds`.
    seconds : float
        Duration of the check of `no_calls`, in seconds.
    """

    reverted: tuple[str, ...] = ()
    same_version: bool = False
    no_calls: tuple[str, ...] = ()
    seconds: float = 2.0


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file.

    Raises
    ------
    ScenarioError
        If the file is invalid; lists all errors with their lines.
    """
    try:
        data = YAML().load(path.read_text())
    except YAMLError as error:
        location = SourceLocation(path.name)
        raise ScenarioError([Finding('bad-yaml', str(error), location)])
    findings: list[Finding] = []
    for index, step in enumerate((data or {}).get('steps', [])):
        line = data['steps'].lc.item(index)[0] + 1
        findings += _step_findings(step, SourceLocation(path.name, line, 1))
    try:
        scenario = msgspec.convert(_to_builtins(data), Scenario)
    except msgspec.ValidationError as error:
        findings.append(
            Finding(
                'bad-scenario', str(error), SourceLocation(path.name, 1, 1)
            )
        )
    if findings:
        raise ScenarioError(findings)
    return scenario


def _to_builtins(value: Any) -> Any:
    """Convert round-trip types of the YAML parser to builtin types."""
    if isinstance(value, dict):
        return {str(key): _to_builtins(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_to_builtins(item) for item in value]
    for scalar_type in (bool, str, int, float):
        if isinstance(value, scalar_type):
            return scalar_type(value)
    return value


def _step_findings(step: Any, location: SourceLocation) -> Iterator[Finding]:
    if not isinstance(step, dict) or len(step) != 1:
        yield Finding(
            'bad-step', f'{step!r} must have exactly one verb', location
        )
        return
    verb, arguments = next(iter(step.items()))
    if verb not in VERBS:
        choices = ', '.join(sorted(VERBS))
        yield Finding(
            'unknown-verb', f'{verb!r}; valid choices: {choices}', location
        )
        return
    try:
        msgspec.convert(_to_builtins(arguments), VERBS[verb])
    except msgspec.ValidationError as error:
        yield Finding('bad-arguments', f'{verb}: {error}', location)


class ScenarioRun:
    """Executes the steps of a scenario.

    Parameters
    ----------
    scenario : Scenario
        Scenario to run.
    fleet : Fleet
        Processes of the scenario, with relays.
    nursery : trio.Nursery
        Runs loads in the background.
    """

    def __init__(
        self, scenario: Scenario, fleet: Fleet, nursery: trio.Nursery
    ) -> None:
        self._scenario = scenario
        self._fleet = fleet
        self._nursery = nursery
        self._accepted_version = 0
        self._started_backends: set[str] = set()
        self._loads: list[tuple[StartLoad, list[Any], trio.Event]] = []
        self._groups: dict[str, VmGroup] = {}

    async def run(self) -> None:
        """Execute all steps, then check the invariants."""
        for group in self._scenario.vms:
            for _ in range(group.count):
                existing = sum(
                    name.startswith(f'{group.zone}-{group.service}-')
                    for name in self._groups
                )
                name = f'{group.zone}-{group.service}-{existing + 1}'
                self._groups[name] = group
                self._fleet.add_vm(
                    name, group.zone, group.service, group.version
                )
        await self._fleet.start_relays()
        for number, step in enumerate(self._scenario.steps, 1):
            verb, arguments = next(iter(step.items()))
            action = getattr(self, f'_{verb}')
            try:
                await action(msgspec.convert(arguments, VERBS[verb]))
            except (ExpectationError, ProcessError) as error:
                raise ExpectationError(
                    f'step {number} ({verb}): {error}'
                ) from error
        check_events(self._fleet.event_logs)

    def _select_vms(self, names: tuple[str, ...]) -> list[Vm]:
        selected: list[Vm] = []
        for name in names:
            matching = [
                vm
                for vm in self._fleet.vms.values()
                if name in ('all', vm.name, vm.zone)
            ]
            if not matching:
                choices = ', '.join(self._fleet.vms)
                raise ExpectationError(
                    f'no VM or zone {name!r}; valid choices: {choices}'
                )
            selected += matching
        return selected

    def _run_log_path(self, name: str) -> Path:
        return self._fleet.directory / f'{name}.runs'

    def _running_vms(self) -> list[Vm]:
        return [
            vm
            for vm in self._fleet.vms.values()
            if self._fleet.is_running(vm.name)
        ]

    # Processes

    async def _start(self, names: tuple[str, ...]) -> None:
        """Start daemons and backend servers; wait until the daemons listen."""
        vms = self._select_vms(names)
        for vm in vms:
            if not self._fleet.is_running(vm.name):
                await self._fleet.start_daemon(vm)
        for vm in vms:
            await self._fleet.wait_listening(vm.admin_address, vm.name)
            if not self._fleet.is_running(backend_name(vm.name)):
                flags = {
                    key: str(value)
                    for key, value in self._groups[vm.name].backend.items()
                }
                # A load reads the file even if no call has run yet.
                self._run_log_path(vm.name).touch()
                flags['run_log'] = str(self._run_log_path(vm.name))
                await self._fleet.start_backend(vm, flags)
                self._started_backends.add(vm.name)

    async def _ready(self, names: tuple[str, ...]) -> None:
        """Wait until daemons see the endpoints of all running daemons."""
        expected = len(self._running_vms())

        async def sees_all(vm: Vm) -> bool:
            status = await self._status(vm)
            if status is None:
                return False
            return bool(status['members']['ready_endpoints'] >= expected)

        for vm in self._select_vms(names):
            await self._wait_until(
                lambda vm=vm: sees_all(vm),  # type: ignore[misc]
                f'{vm.name} does not report {expected} ready endpoints',
            )

    async def _kill(self, names: tuple[str, ...]) -> None:
        """Kill daemons and backend servers."""
        for vm in self._select_vms(names):
            for name in (vm.name, backend_name(vm.name)):
                if self._fleet.is_running(name):
                    self._fleet.signal(name, signal.SIGKILL)
                    await self._fleet.wait_exit(name)

    async def _kill_daemon(self, names: tuple[str, ...]) -> None:
        """Kill daemons but not their backend servers."""
        for vm in self._select_vms(names):
            self._fleet.signal(vm.name, signal.SIGKILL)
            await self._fleet.wait_exit(vm.name)

    async def _freeze(self, names: tuple[str, ...]) -> None:
        """Suspend daemons with SIGSTOP."""
        for vm in self._select_vms(names):
            self._fleet.signal(vm.name, signal.SIGSTOP)

    async def _thaw(self, names: tuple[str, ...]) -> None:
        """Resume suspended daemons."""
        for vm in self._select_vms(names):
            self._fleet.signal(vm.name, signal.SIGCONT)

    async def _stop(self, names: tuple[str, ...]) -> None:
        """Shut daemons down gracefully."""
        await self._terminate([vm.name for vm in self._select_vms(names)])

    async def _stop_backend(self, names: tuple[str, ...]) -> None:
        """Shut backend servers down gracefully."""
        await self._terminate(
            [backend_name(vm.name) for vm in self._select_vms(names)]
        )

    async def _terminate(self, processes: list[str]) -> None:
        for name in processes:
            self._fleet.signal(name, signal.SIGTERM)
        for name in processes:
            status = await self._fleet.wait_exit(name)
            if status != 0:
                raise ExpectationError(
                    f'{name} exited with status {status}:\n'
                    + self._fleet.log_tail(name)
                )

    # Network, platform and backend servers

    async def _cut(self, cut: Cut) -> None:
        """Partition two zones, or a zone and the platform."""
        assert self._fleet.network_faults is not None
        self._fleet.network_faults.cut(*cut.between)

    async def _heal(self, _: bool) -> None:
        """End all partitions."""
        assert self._fleet.network_faults is not None
        self._fleet.network_faults.heal()

    async def _silence(self, _: bool) -> None:
        """Stall all open connections between daemons permanently."""
        assert self._fleet.network_faults is not None
        self._fleet.network_faults.silence_open_connections()

    async def _platform(self, faults: dict[str, Any]) -> None:
        """Set the injected faults of the platform."""
        await self._fleet.set_faults(self._fleet.platform_address, faults)

    async def _backend(self, arguments: BackendFaults) -> None:
        """Set the injected faults of backend servers."""
        for vm in self._select_vms(arguments.vms):
            await self._fleet.set_faults(vm.backend_address, arguments.faults)

    async def _sleep(self, seconds: float) -> None:
        """Sleep, for example until a lease has expired."""
        await trio.sleep(seconds)

    # Operators

    async def _submit(self, arguments: Submit) -> None:
        """Submit a text and check the result."""
        outcome = await self._submit_once(arguments)
        if outcome != arguments.expect:
            raise ExpectationError(
                f'{arguments.text} was {outcome}, expected {arguments.expect}'
            )

    async def _race(self, submissions: tuple[Submit, ...]) -> None:
        """Submit several texts concurrently; check the result of each."""
        async with trio.open_nursery() as nursery:
            for item in submissions:
                nursery.start_soon(self._submit, item)

    async def _submit_once(self, arguments: Submit) -> str:
        text = self._scenario.texts[arguments.text]
        department = str(YAML(typ='safe').load(text)['department'])
        vms = [arguments.vm] if arguments.vm else []
        vms += [vm.name for vm in self._running_vms() if vm.name not in vms]
        token = arguments.token or _TOKEN_PREFIX + department
        daemons = [self._fleet.vms[name].admin_address for name in vms[:3]]
        path = self._fleet.directory / f'{arguments.text}.yaml'
        path.write_text(text)
        result = await self._fleet.run_binary(
            'gypsumhall.cli.operator',
            [
                '--output=json',
                f'--daemons={",".join(daemons)}',
                f'--timeout={arguments.timeout:g}s',
                'submit',
                str(path),
            ],
            {'GYPSUMHALL_TOKEN': token},
        )
        outcomes = {
            0: 'accepted',
            1: 'refused',
            3: 'unavailable',
            4: 'unknown',
        }
        outcome = outcomes.get(result.returncode)
        if outcome is None:
            raise ExpectationError(
                f'submit exited with status {result.returncode}: '
                f'{result.stderr.decode()}{result.stdout.decode()}'
            )
        if outcome == 'accepted':
            version = int(json.loads(result.stdout)['version'])
            self._accepted_version = max(self._accepted_version, version)
        return outcome

    async def _wait_version(self, within: float) -> None:
        """Wait until all running daemons have the latest accepted version."""
        for vm in self._running_vms():
            await self._wait_until(
                lambda vm=vm: self._has_latest(vm),  # type: ignore[misc]
                f'{vm.name} does not have version {self._accepted_version}',
                within,
            )

    async def _has_latest(self, vm: Vm) -> bool:
        status = await self._status(vm)
        return (
            status is not None and status['version'] >= self._accepted_version
        )

    async def _wait_in_effect(self, within: float) -> None:
        """Wait until a daemon reports that the latest version is in effect."""

        async def in_effect() -> bool:
            status = await self._status(self._running_vms()[0])
            return bool(
                status
                and status['version'] >= self._accepted_version
                and status['in_effect']
            )

        await self._wait_until(
            in_effect,
            f'version {self._accepted_version} is not in effect',
            within,
        )

    async def _wait_move(self, arguments: WaitMove) -> None:
        """Wait until a move ends and check its final state."""
        observed_move: list[Any] = [None]

        async def ended() -> bool:
            for vm in self._running_vms():
                status = await self._status(vm)
                for move in status['moves'] if status else ():
                    if move['id'] == arguments.move:
                        observed_move[0] = move
                        return move['state'] in ('done', 'reverted')
            return False

        await self._wait_until(
            ended,
            f'{arguments.move} is neither done nor reverted',
            arguments.within,
        )
        if observed_move[0]['state'] != arguments.state:
            raise ExpectationError(
                f'{arguments.move} is {observed_move[0]["state"]} '
                f'({observed_move[0]["reason"]}), expected {arguments.state}'
            )

    # Callers

    async def _load(self, arguments: StartLoad) -> None:
        """Start a load in the background."""
        results: list[Any] = []
        ended = trio.Event()
        self._loads.append((arguments, results, ended))
        self._nursery.start_soon(self._run_load, arguments, results, ended)

    async def _run_load(
        self, arguments: StartLoad, results: list[Any], ended: trio.Event
    ) -> None:
        zones = arguments.zones or self._fleet.zones
        targets = [vm for vm in self._running_vms() if vm.zone in zones]
        kinds = [
            f'--kind={json.dumps(msgspec.to_builtins(kind))}'
            for kind in arguments.kinds
        ]
        result = await self._fleet.run_binary(
            'gypsumhall.cli.load',
            [
                f'--targets={",".join(vm.caller_address for vm in targets)}',
                *kinds,
                f'--rate_per_s={arguments.rate}',
                f'--seconds={arguments.seconds}',
                f'--seed={arguments.seed}',
                # From files, as counts of a server are lost in a restart.
                '--run_logs='
                + ','.join(
                    str(self._run_log_path(vm))
                    for vm in self._started_backends
                ),
            ],
        )
        results.append(result)
        ended.set()

    async def _wait_load(self, within: float) -> None:
        """Wait for all loads and check their reports."""
        for arguments, results, ended in self._loads:
            with trio.move_on_after(within):
                await ended.wait()
            if not ended.is_set():
                raise ExpectationError(
                    f'the load did not end within {within} s'
                )
            _check_load(arguments, results[0])
        self._loads.clear()

    async def _call(self, arguments: Call) -> None:
        """Repeat a request until it gets the expected response."""
        vm = self._select_vms((arguments.vm,))[0]
        last_result = ''

        async def has_expected_response() -> bool:
            nonlocal last_result
            try:
                status, headers, _ = await self._fleet.request(
                    vm.caller_address,
                    arguments.path,
                    method=arguments.method,
                    headers={'Host': arguments.host},
                )
            except (httpcore.NetworkError, httpcore.TimeoutException) as error:
                last_result = repr(error)
                return False
            outcome = headers.get('gypsumhall-outcome', '')
            last_result = f'{status} {outcome}'
            return status == arguments.status and (
                not arguments.outcome or outcome == arguments.outcome
            )

        try:
            await self._wait_until(
                has_expected_response, 'no expected response', arguments.within
            )
        except ExpectationError as error:
            raise ExpectationError(
                f'{error}; the last result was {last_result}'
            )

    # Checks

    async def _expect(self, arguments: Expect) -> None:
        """Check the state of the running daemons."""
        for move in arguments.reverted:
            for vm in self._running_vms():
                await self._wait_until(
                    functools.partial(self._has_reverted, vm, move),
                    f'{vm.name} does not report {move} as reverted',
                )
        if arguments.same_version:
            await self._wait_version(WAIT_TIMEOUT_S)
        if arguments.no_calls:
            vms = self._select_vms(arguments.no_calls)
            before = [await self._count_runs(vm) for vm in vms]
            await trio.sleep(arguments.seconds)
            after = [await self._count_runs(vm) for vm in vms]
            if before != after:
                raise ExpectationError(
                    f'run counts of {arguments.no_calls} grew from {before} '
                    f'to {after}'
                )

    async def _has_reverted(self, vm: Vm, move: str) -> bool:
        status = await self._status(vm)
        if status is None:
            return False
        reverted = {item['move'] for item in status['reverts']}
        reverted |= {
            item['id']
            for item in status['moves']
            if item['state'] == 'reverted'
        }
        return move in reverted

    async def _count_runs(self, vm: Vm) -> int:
        _status, _headers, body = await self._fleet.request(
            vm.backend_address, '/runs'
        )
        return sum(json.loads(body).values())

    async def _status(self, vm: Vm) -> dict[str, Any] | None:
        try:
            status = await self._fleet.status(vm)
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return None
        return status if 'version' in status else None

    async def _wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        message: str,
        within: float = WAIT_TIMEOUT_S,
    ) -> None:
        with trio.move_on_after(within):
            # No event is available, as the state is that of other processes.
            while not await condition():  # noqa: ASYNC110
                await trio.sleep(_POLL_INTERVAL_S)
            return
        raise ExpectationError(f'{message} after {within:g} s')


VmNames = tuple[str, ...]

VERBS: Mapping[str, Any] = {
    'start': VmNames,
    'ready': VmNames,
    'kill': VmNames,
    'kill_daemon': VmNames,
    'freeze': VmNames,
    'thaw': VmNames,
    'stop': VmNames,
    'stop_backend': VmNames,
    'cut': Cut,
    'heal': bool,
    'silence': bool,
    'platform': dict[str, Any],
    'backend': BackendFaults,
    'sleep': float,
    'submit': Submit,
    'race': tuple[Submit, ...],
    'wait_version': float,
    'wait_in_effect': float,
    'wait_move': WaitMove,
    'load': StartLoad,
    'wait_load': float,
    'call': Call,
    'expect': Expect,
}


def _check_load(arguments: StartLoad, result: Any) -> None:
    try:
        report = json.loads(result.stdout)
    except ValueError:
        raise ExpectationError(f'load failed: {result.stderr.decode()}')
    if report['violations']:
        raise ExpectationError(
            f'violations: {report["violations"]}, such as '
            f'{report["examples"][:3]}'
        )
    failed = total = 0
    for kind in arguments.kinds:
        counts = dict(report['results'].get(kind.name, {}))
        total += sum(counts.values())
        failed_of_kind = sum(counts.values()) - counts.get('ok', 0)
        failed += failed_of_kind
        if failed_of_kind > arguments.max_failed.get(kind.name, math.inf):
            raise ExpectationError(
                f'{failed_of_kind} calls of kind {kind.name} failed, '
                f'expected at most {arguments.max_failed[kind.name]}: '
                f'{counts}, {report["reasons"]}'
            )
    if failed > arguments.max_failed_share * total:
        raise ExpectationError(
            f'{failed} of {total} calls failed: {report["results"]}, '
            f'{report["reasons"]}'
        )


def check_events(paths: list[Path]) -> None:
    """Check event logs against the invariants of all scenarios.

    Raises
    ------
    ExpectationError
        If a daemon installed an older version than before, also across
        restarts, or one version was installed with different contents.
    """
    digests: dict[int, set[str]] = defaultdict(set)
    for path in paths:
        installed_version = 0
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event['code'] != 'snapshot-installed':
                continue
            version = event['fields']['version']
            digests[version].add(event['fields']['digest'])
            if version < installed_version:
                raise ExpectationError(
                    f'{path.stem} regressed from version {installed_version} '
                    f'to {version}'
                )
            installed_version = version
    for version, contents in digests.items():
        if len(contents) > 1:
            raise ExpectationError(
                f'version {version} was installed with different contents '
                f'{contents}'
            )


async def run_scenario(path: Path) -> None:
    """Run one scenario.

    Parameters
    ----------
    path : Path
        Scenario file.

    Raises
    ------
    ScenarioError
        If the file is invalid.
    ExpectationError
        If a step fails or an invariant is violated.
    """
    scenario = read_scenario(path)
    async with (
        open_fleet(scenario.zones, relayed=True) as fleet,
        trio.open_nursery() as nursery,
    ):
        await ScenarioRun(scenario, fleet, nursery).run()
        nursery.cancel_scope.cancel()
