"""Scenarios: scripted failures of real processes.

A scenario is a YAML file with a fleet, texts of operators and steps. Each
step is a mapping with one key, the verb; `VERBS` names them, and
`docs/scenarios.md` describes them. Every wait is bounded. After the last
step the event logs of all daemons are checked against the invariants that
must hold in every scenario.
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

# Waits end as soon as their condition holds; the limits only bound a failed
# run on a slow machine.
WAIT_LIMIT_S = 60.0
_POLL_S = 0.1
_TOKEN = 'token-of-'


class ScenarioError(FindingsError):
    """A scenario that cannot be read."""

    code = 'invalid-scenario'


class ExpectationError(AssertionError):
    """A step of a scenario did not turn out as expected."""


class VmGroup(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """VMs of one zone that run the same; named ``<zone>-<service>-<n>``."""

    zone: str
    service: str
    version: str = 'v1'
    count: int = 1
    backend: dict[str, str | int | float] = {}


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario as it is read from its file.

    Parameters
    ----------
    about : str
        Which failure the scenario is about.
    zones : tuple of str
        Availability zones.
    vms : tuple of VmGroup
        VMs with their backend servers.
    texts : dict of str to str
        Operators' texts by name.
    steps : tuple of dict
        Steps; each has one verb.
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
    within: float = WAIT_LIMIT_S


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
    """Arguments of ``call``: one request until it is answered as expected."""

    vm: str
    host: str
    path: str = '/'
    method: str = 'GET'
    status: int = 200
    outcome: str = ''
    within: float = WAIT_LIMIT_S


class Expect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arguments of ``expect``, each of which is checked if given.

    Parameters
    ----------
    reverted : tuple of str
        Moves that every running daemon knows as reverted.
    same_version : bool
        Whether all running daemons hold the latest accepted version.
    no_calls : tuple of str
        VMs whose backend servers get no further call for `seconds`.
    seconds : float
        Length of the observation.
    """

    reverted: tuple[str, ...] = ()
    same_version: bool = False
    no_calls: tuple[str, ...] = ()
    seconds: float = 2.0


def read_scenario(path: Path) -> Scenario:
    """Read a scenario.

    Raises
    ------
    ScenarioError
        With all faults and their lines.
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
        scenario = msgspec.convert(_plain(data), Scenario)
    except msgspec.ValidationError as error:
        findings.append(
            Finding(
                'bad-scenario', str(error), SourceLocation(path.name, 1, 1)
            )
        )
    if findings:
        raise ScenarioError(findings)
    return scenario


def _plain(value: Any) -> Any:
    """Return YAML data without the round-trip types of its reader."""
    if isinstance(value, dict):
        return {str(key): _plain(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_plain(item) for item in value]
    for kind in (bool, str, int, float):
        if isinstance(value, kind):
            return kind(value)
    return value


def _step_findings(step: Any, location: SourceLocation) -> Iterator[Finding]:
    if not isinstance(step, dict) or len(step) != 1:
        yield Finding('bad-step', f'{step!r} needs exactly one verb', location)
        return
    verb, arguments = next(iter(step.items()))
    if verb not in VERBS:
        choices = ', '.join(sorted(VERBS))
        yield Finding(
            'unknown-verb', f'{verb!r}; valid choices: {choices}', location
        )
        return
    try:
        msgspec.convert(_plain(arguments), VERBS[verb])
    except msgspec.ValidationError as error:
        yield Finding('bad-arguments', f'{verb}: {error}', location)


class ScenarioRun:
    """Executes the steps of a scenario.

    Parameters
    ----------
    scenario : Scenario
        The scenario.
    fleet : Fleet
        Its processes, with relays.
    nursery : trio.Nursery
        Runs loads.
    """

    def __init__(
        self, scenario: Scenario, fleet: Fleet, nursery: trio.Nursery
    ) -> None:
        self._scenario = scenario
        self._fleet = fleet
        self._nursery = nursery
        self._accepted = 0
        self._started: set[str] = set()
        self._loads: list[tuple[StartLoad, list[Any], trio.Event]] = []
        self._groups: dict[str, VmGroup] = {}

    async def run(self) -> None:
        """Execute all steps, then check the invariants."""
        for group in self._scenario.vms:
            for _ in range(group.count):
                taken = sum(
                    name.startswith(f'{group.zone}-{group.service}-')
                    for name in self._groups
                )
                name = f'{group.zone}-{group.service}-{taken + 1}'
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

    def _vms(self, names: tuple[str, ...]) -> list[Vm]:
        found: list[Vm] = []
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
            found += matching
        return found

    def _run_log(self, name: str) -> Path:
        return self._fleet.directory / f'{name}.runs'

    def _running(self) -> list[Vm]:
        return [
            vm
            for vm in self._fleet.vms.values()
            if self._fleet.is_running(vm.name)
        ]

    # Processes

    async def _start(self, names: tuple[str, ...]) -> None:
        """Start daemons and backend servers; wait until they listen."""
        vms = self._vms(names)
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
                # A load that starts before the first run needs the file too.
                self._run_log(vm.name).touch()
                flags['run_log'] = str(self._run_log(vm.name))
                await self._fleet.start_backend(vm, flags)
                self._started.add(vm.name)

    async def _ready(self, names: tuple[str, ...]) -> None:
        """Wait until daemons know the endpoints of all running ones."""
        expected = len(self._running())

        async def knows_all(vm: Vm) -> bool:
            status = await self._status(vm)
            if status is None:
                return False
            return bool(status['members']['ready_endpoints'] >= expected)

        for vm in self._vms(names):
            await self._until(
                lambda vm=vm: knows_all(vm),  # type: ignore[misc]
                f'{vm.name} does not know {expected} ready endpoints',
            )

    async def _kill(self, names: tuple[str, ...]) -> None:
        """Kill daemons and backend servers."""
        for vm in self._vms(names):
            for name in (vm.name, backend_name(vm.name)):
                if self._fleet.is_running(name):
                    self._fleet.signal(name, signal.SIGKILL)
                    await self._fleet.wait_ended(name)

    async def _kill_daemon(self, names: tuple[str, ...]) -> None:
        """Kill daemons; their backend servers stay."""
        for vm in self._vms(names):
            self._fleet.signal(vm.name, signal.SIGKILL)
            await self._fleet.wait_ended(vm.name)

    async def _freeze(self, names: tuple[str, ...]) -> None:
        """Suspend daemons."""
        for vm in self._vms(names):
            self._fleet.signal(vm.name, signal.SIGSTOP)

    async def _thaw(self, names: tuple[str, ...]) -> None:
        """Let suspended daemons go on."""
        for vm in self._vms(names):
            self._fleet.signal(vm.name, signal.SIGCONT)

    async def _stop(self, names: tuple[str, ...]) -> None:
        """Stop daemons as planned."""
        await self._terminate([vm.name for vm in self._vms(names)])

    async def _stop_backend(self, names: tuple[str, ...]) -> None:
        """Stop backend servers as planned."""
        await self._terminate(
            [backend_name(vm.name) for vm in self._vms(names)]
        )

    async def _terminate(self, processes: list[str]) -> None:
        for name in processes:
            self._fleet.signal(name, signal.SIGTERM)
        for name in processes:
            status = await self._fleet.wait_ended(name)
            if status != 0:
                raise ExpectationError(
                    f'{name} ended with {status}:\n'
                    + self._fleet.log_tail(name)
                )

    # Network, platform and backend servers

    async def _cut(self, cut: Cut) -> None:
        """Separate two zones, or a zone and the platform."""
        assert self._fleet.links is not None
        self._fleet.links.cut(*cut.between)

    async def _heal(self, _: bool) -> None:
        """End all cuts."""
        assert self._fleet.links is not None
        self._fleet.links.heal()

    async def _silence(self, _: bool) -> None:
        """Make all open connections between daemons silent for good."""
        assert self._fleet.links is not None
        self._fleet.links.silence()

    async def _platform(self, faults: dict[str, Any]) -> None:
        """Switch faults of the platform."""
        await self._fleet.set_faults(self._fleet.platform_address, faults)

    async def _backend(self, arguments: BackendFaults) -> None:
        """Switch faults of backend servers."""
        for vm in self._vms(arguments.vms):
            await self._fleet.set_faults(vm.backend_address, arguments.faults)

    async def _sleep(self, seconds: float) -> None:
        """Let time pass, for example until a lease has lapsed."""
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
        """Submit several texts at the same moment, all to be accepted."""
        async with trio.open_nursery() as nursery:
            for item in submissions:
                nursery.start_soon(self._submit, item)

    async def _submit_once(self, arguments: Submit) -> str:
        text = self._scenario.texts[arguments.text]
        department = str(YAML(typ='safe').load(text)['department'])
        vms = [arguments.vm] if arguments.vm else []
        vms += [vm.name for vm in self._running() if vm.name not in vms]
        token = arguments.token or _TOKEN + department
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
        found = {0: 'accepted', 1: 'refused', 3: 'unavailable', 4: 'unknown'}
        outcome = found.get(result.returncode)
        if outcome is None:
            raise ExpectationError(
                f'submit ended with {result.returncode}: '
                f'{result.stderr.decode()}{result.stdout.decode()}'
            )
        if outcome == 'accepted':
            version = int(json.loads(result.stdout)['version'])
            self._accepted = max(self._accepted, version)
        return outcome

    async def _wait_version(self, within: float) -> None:
        """Wait until all running daemons hold the latest accepted version."""
        for vm in self._running():
            await self._until(
                lambda vm=vm: self._holds_latest(vm),  # type: ignore[misc]
                f'{vm.name} does not hold version {self._accepted}',
                within,
            )

    async def _holds_latest(self, vm: Vm) -> bool:
        status = await self._status(vm)
        return status is not None and status['version'] >= self._accepted

    async def _wait_in_effect(self, within: float) -> None:
        """Wait until the system says that the version is in effect."""

        async def in_effect() -> bool:
            status = await self._status(self._running()[0])
            return bool(
                status
                and status['version'] >= self._accepted
                and status['in_effect']
            )

        await self._until(
            in_effect, f'version {self._accepted} is not in effect', within
        )

    async def _wait_move(self, arguments: WaitMove) -> None:
        """Wait until a move ends, and check how."""
        last: list[Any] = [None]

        async def ended() -> bool:
            for vm in self._running():
                status = await self._status(vm)
                for move in status['moves'] if status else ():
                    if move['id'] == arguments.move:
                        last[0] = move
                        return move['state'] in ('done', 'reverted')
            return False

        await self._until(
            ended, f'{arguments.move} has not ended', arguments.within
        )
        if last[0]['state'] != arguments.state:
            raise ExpectationError(
                f'{arguments.move} is {last[0]["state"]} '
                f'({last[0]["reason"]}), expected {arguments.state}'
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
        targets = [vm for vm in self._running() if vm.zone in zones]
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
                # Files, since a restarted server has lost its counts.
                '--run_logs='
                + ','.join(str(self._run_log(vm)) for vm in self._started),
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
                raise ExpectationError(f'the load runs for over {within} s')
            _check_load(arguments, results[0])
        self._loads.clear()

    async def _call(self, arguments: Call) -> None:
        """Repeat a request until it is answered as expected."""
        vm = self._vms((arguments.vm,))[0]
        last = ''

        async def answered() -> bool:
            nonlocal last
            try:
                status, headers, _ = await self._fleet.request(
                    vm.caller_address,
                    arguments.path,
                    method=arguments.method,
                    headers={'Host': arguments.host},
                )
            except (httpcore.NetworkError, httpcore.TimeoutException) as error:
                last = repr(error)
                return False
            outcome = headers.get('gypsumhall-outcome', '')
            last = f'{status} {outcome}'
            return status == arguments.status and (
                not arguments.outcome or outcome == arguments.outcome
            )

        try:
            await self._until(answered, 'no such response', arguments.within)
        except ExpectationError as error:
            raise ExpectationError(f'{error}; the last one was {last}')

    # Checks

    async def _expect(self, arguments: Expect) -> None:
        """Check the state of the running daemons."""
        for move in arguments.reverted:
            for vm in self._running():
                await self._until(
                    functools.partial(self._has_reverted, vm, move),
                    f'{vm.name} does not know that {move} is reverted',
                )
        if arguments.same_version:
            await self._wait_version(WAIT_LIMIT_S)
        if arguments.no_calls:
            vms = self._vms(arguments.no_calls)
            before = [await self._count_runs(vm) for vm in vms]
            await trio.sleep(arguments.seconds)
            after = [await self._count_runs(vm) for vm in vms]
            if before != after:
                raise ExpectationError(
                    f'runs of {arguments.no_calls} grew from {before} to '
                    f'{after}'
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

    async def _until(
        self,
        condition: Callable[[], Awaitable[bool]],
        message: str,
        within: float = WAIT_LIMIT_S,
    ) -> None:
        with trio.move_on_after(within):
            # The condition is about other processes; no event tells of it.
            while not await condition():  # noqa: ASYNC110
                await trio.sleep(_POLL_S)
            return
        raise ExpectationError(f'{message} after {within:g} s')


Names = tuple[str, ...]

VERBS: Mapping[str, Any] = {
    'start': Names,
    'ready': Names,
    'kill': Names,
    'kill_daemon': Names,
    'freeze': Names,
    'thaw': Names,
    'stop': Names,
    'stop_backend': Names,
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
        bad = sum(counts.values()) - counts.get('ok', 0)
        failed += bad
        if bad > arguments.max_failed.get(kind.name, math.inf):
            raise ExpectationError(
                f'{bad} calls of kind {kind.name} failed, expected at most '
                f'{arguments.max_failed[kind.name]}: {counts}, '
                f'{report["reasons"]}'
            )
    if failed > arguments.max_failed_share * total:
        raise ExpectationError(
            f'{failed} of {total} calls failed: {report["results"]}, '
            f'{report["reasons"]}'
        )


def check_events(paths: list[Path]) -> None:
    """Check what must hold in every scenario against the event logs.

    Raises
    ------
    ExpectationError
        When a daemon went back to an older version, also over a restart, or
        two daemons installed different contents under one version.
    """
    digests: dict[int, set[str]] = defaultdict(set)
    for path in paths:
        held = 0
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event['code'] != 'snapshot-installed':
                continue
            version = event['fields']['version']
            digests[version].add(event['fields']['digest'])
            if version < held:
                raise ExpectationError(
                    f'{path.stem} went back from version {held} to {version}'
                )
            held = version
    for version, found in digests.items():
        if len(found) > 1:
            raise ExpectationError(
                f'version {version} was installed with contents {found}'
            )


async def run_scenario(path: Path) -> None:
    """Run one scenario.

    Parameters
    ----------
    path : Path
        File of the scenario.

    Raises
    ------
    ScenarioError
        When the file cannot be read.
    ExpectationError
        When something did not turn out as expected.
    """
    scenario = read_scenario(path)
    async with (
        open_fleet(scenario.zones, relayed=True) as fleet,
        trio.open_nursery() as nursery,
    ):
        await ScenarioRun(scenario, fleet, nursery).run()
        nursery.cancel_scope.cancel()
