"""The binary ``gypsumhall``: the operators' command line."""

from __future__ import annotations

from dataclasses import dataclass
import datetime
import json
import os
import pathlib
import random
import secrets
import sys
import time
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import quote

import httpcore
import trio

from gypsumhall._errors import Finding
from gypsumhall._errors import finding_fields
from gypsumhall._errors import SourceLocation
from gypsumhall.cli._settings import run_binary
from gypsumhall.cli._settings import Settings
from gypsumhall.core import _accept
from gypsumhall.core import _model
from gypsumhall.core import _text

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

OK = 0
REFUSED = 1
USAGE = 2
UNAVAILABLE = 3
UNKNOWN = 4
TIMED_OUT = 5

_USAGE = """\
gypsumhall [flags] <command> [arguments]

Commands:
  check <file>...         Check texts against the accepted configuration;
                          without --daemons against each other only.
  submit <file>           Have a text accepted ("-" reads standard input).
  status                  Show the version, the zones, moves and reverts.
  wait <version>          Wait until a version is in effect everywhere.
  wait <department>/<move>  Wait until a move is done or reverted.
  moves                   Show all moves.
  abort <department>/<move>  Revert a move.
  events                  Show the event log of one daemon.
"""
_NOTES = f"""\
Exit codes:
  {OK}  done, or no finding
  {REFUSED}  refused, with findings; or the move was reverted
  {USAGE}  bad flags or arguments
  {UNAVAILABLE}  no daemon or no platform responded; nothing was accepted
  {UNKNOWN}  it is unknown whether the text was accepted; submit again with
     the --submission_id that was printed
  {TIMED_OUT}  the wait ended before its condition held
"""

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# A daemon gives up a submission after 10 s and reads a large text before.
SUBMIT_TIMEOUT_S = 25.0
CONNECT_TIMEOUT_S = 2.0
# A daemon that was told the time that is left still has to respond.
GRACE_S = 2.0
LONG_POLL_S = 10.0
# Statuses after which another daemon may do better.
_TRY_NEXT = (404, 408, 500, 502, 503)
# Problems of a daemon that did not look at the submission.
_NOT_RUN = ('busy', 'no-such-path', 'slow-body', 'starting')


class UsageError(Exception):
    """Arguments that cannot be used."""


class NoDaemonError(Exception):
    """No daemon responded in time."""


class _NoResponseError(Exception):
    """One daemon did not respond.

    `sent` tells whether the request may have been executed.
    """

    def __init__(self, daemon: str, error: Exception, *, sent: bool) -> None:
        kind = type(error).__name__
        super().__init__(f'{daemon}: {kind} {error}'.strip())
        self.sent = sent


@dataclass(slots=True, frozen=True)
class _Response:
    status: int
    fields: Mapping[str, Any]

    @property
    def detail(self) -> str:
        return str(self.fields.get('detail', f'status {self.status}'))


class _Options:
    """Flags of the binary."""

    def __init__(self) -> None:
        self.settings = Settings(
            'gypsumhall', _USAGE, _NOTES, positionals=True
        )
        define = self.settings
        self.daemons = define.addresses(
            'daemons', (), 'Admin addresses of daemons, tried in this order.'
        )
        self.output = define.string(
            'output', 'text', 'Form of the output.', choices=('text', 'json')
        )
        self.timeout = define.duration(
            'timeout', 60.0, 'Longest time of a command in all.'
        )
        self.token = define.string(
            'token', '', 'Token of the department; better in the variable.'
        )
        self.token_file = define.string(
            'token_file', '', 'File that holds the token.'
        )
        self.department = define.string(
            'department', '', 'Refuse a text of another department.'
        )
        self.submission_id = define.string(
            'submission_id', '', 'Id of an earlier attempt to ask about.'
        )
        self.wait = define.boolean(
            'wait', False, 'After submit: wait until it is in effect.'
        )
        self.since = define.integer(
            'since', 0, 'Index of the first event to show.'
        )
        self.follow = define.boolean(
            'follow', False, 'Show further events as they come.'
        )


class Client:
    """Sends requests to one of several daemons.

    Parameters
    ----------
    daemons : sequence of str
        Admin addresses.
    deadline : float
        Trio time at which no further attempt starts.
    """

    def __init__(self, daemons: Sequence[str], deadline: float) -> None:
        self._daemons = tuple(daemons)
        self._deadline = deadline
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=2.0)
        self._next = 0
        self._failures = 0

    @property
    def remaining(self) -> float:
        """Seconds left."""
        return self._deadline - trio.current_time()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    def try_next(self) -> None:
        """Turn to the next daemon."""
        self._next += 1
        self._failures += 1

    async def back_off(self) -> bool:
        """Wait before a repeated request; False when time is over."""
        # A round through all daemons costs no wait.
        rounds = self._failures // max(1, len(self._daemons))
        if rounds and self._failures % len(self._daemons) == 0:
            longest = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(rounds, 9))
            await trio.sleep(
                max(0.0, min(random.uniform(0.05, longest), self.remaining))
            )
        return self.remaining > 0

    async def send(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None = None,
        timeout_s: float = 10.0,
    ) -> _Response:
        """Send one request to the present daemon.

        Raises
        ------
        _NoResponseError
            When it does not respond in time.
        """
        daemon = self._daemons[self._next % len(self._daemons)]
        limit = min(timeout_s, max(0.0, self.remaining) + GRACE_S)
        connect = min(CONNECT_TIMEOUT_S, limit)
        content = None if body is None else json.dumps(body).encode()
        try:
            with trio.fail_after(limit):
                response = await self._pool.request(
                    method,
                    f'http://{daemon}{path}',
                    headers={'content-type': 'application/json'},
                    content=content,
                    extensions={
                        'timeout': {'connect': connect, 'pool': connect}
                    },
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise _NoResponseError(daemon, error, sent=False)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ) as error:
            raise _NoResponseError(daemon, error, sent=True)
        try:
            fields = json.loads(response.content)
        except ValueError as error:
            raise _NoResponseError(daemon, error, sent=True)
        if not isinstance(fields, dict):
            fields = {}
        return _Response(response.status, fields)

    async def ask(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None = None,
        timeout_s: float = 10.0,
    ) -> _Response:
        """Send a request that may be repeated until a daemon responds.

        Raises
        ------
        NoDaemonError
            When none did before the deadline.
        """
        problem = 'no time was left'
        while await self.back_off():
            try:
                response = await self.send(method, path, body, timeout_s)
            except _NoResponseError as error:
                problem = str(error)
            else:
                code = response.fields.get('code', '')
                if response.status not in _TRY_NEXT or code == 'unknown-move':
                    return response
                problem = response.detail
            self.try_next()
        raise NoDaemonError(problem)


class _Command:
    """One run of the binary."""

    def __init__(self, options: _Options, arguments: Sequence[str]) -> None:
        self._options = options
        self._arguments = arguments
        self._json = options.output.value == 'json'
        self._client = Client(
            options.daemons.value,
            trio.current_time() + options.timeout.value,
        )

    # Output

    def _show(self, fields: Mapping[str, Any], lines: Sequence[str]) -> None:
        if self._json:
            print(json.dumps(fields))
        else:
            for line in lines:
                print(line)

    def _progress(self, line: str) -> None:
        print(line, file=sys.stderr, flush=True)

    def _show_findings(
        self, outcome: str, findings: Sequence[Mapping[str, Any]], **more: Any
    ) -> None:
        self._show(
            {'outcome': outcome, **more, 'findings': findings},
            [_finding_line(item) for item in findings],
        )

    # Arguments

    def _argument(self, what: str) -> str:
        if len(self._arguments) != 1:
            raise UsageError(
                f'this command takes one argument, {what}; given: '
                f'{len(self._arguments)}'
            )
        return self._arguments[0]

    def _no_argument(self) -> None:
        if self._arguments:
            raise UsageError(
                f'this command takes no arguments; given: '
                f'{" ".join(self._arguments)}'
            )

    def _need_daemons(self) -> None:
        if not self._options.daemons.value:
            raise UsageError('give --daemons or GYPSUMHALL_DAEMONS')

    def _text(self, name: str) -> str:
        """Return the contents of a file, or of standard input for "-"."""
        try:
            if name == '-':
                data = sys.stdin.buffer.read(_text.MAX_TEXT_BYTES + 1)
            else:
                with pathlib.Path(name).open('rb') as file:
                    data = file.read(_text.MAX_TEXT_BYTES + 1)
            return data.decode('utf-8-sig')
        except OSError as error:
            raise UsageError(f'{name}: {error.strerror}')
        except UnicodeDecodeError as error:
            raise UsageError(f'{name}: not UTF-8 at byte {error.start}')

    def _token(self) -> str:
        path = self._options.token_file.value
        if path and not self._options.token.value:
            try:
                token = pathlib.Path(path).read_text(encoding='utf-8').strip()
            except (OSError, UnicodeDecodeError) as error:
                raise UsageError(f'--token_file {path}: {error}')
        else:
            token = self._options.token.value
        if not token:
            raise UsageError('give --token_file or GYPSUMHALL_TOKEN')
        return token

    # Commands

    async def run(self, command: Callable[[_Command], Awaitable[int]]) -> int:
        """Run one command and return the exit code."""
        try:
            return await command(self)
        except NoDaemonError as error:
            self._progress(f'gypsumhall: no daemon responded: {error}')
            return UNAVAILABLE
        finally:
            with trio.move_on_after(1, shield=True):
                await self._client.aclose()

    async def check(self) -> int:
        if not self._arguments:
            raise UsageError('this command takes the files with the texts')
        texts = {name: self._text(name) for name in self._arguments}
        findings: list[Mapping[str, Any]] = []
        if not self._options.daemons.value:
            self._progress('checked without a daemon: these texts only')
            findings += [finding_fields(item) for item in _check_alone(texts)]
        else:
            for name, text in texts.items():
                response = await self._client.ask(
                    'POST',
                    '/v1/operator/check',
                    {'text': text, 'source': name},
                )
                if response.status != 200:
                    self._progress(f'gypsumhall: {response.detail}')
                    return USAGE
                findings += response.fields['findings']
        self._show_findings('findings' if findings else 'valid', findings)
        return REFUSED if findings else OK

    async def submit(self) -> int:
        self._need_daemons()
        name = self._argument('the file with the text')
        text = self._text(name)
        token = self._token()
        submission_id = self._options.submission_id.value
        if not submission_id:
            submission_id = await self._new_id()
        self._progress(f'submission id: {submission_id}')
        body: dict[str, object] = {
            'id': submission_id,
            'department': self._options.department.value,
            'token': token,
            'text': text,
            'source': name,
        }
        # An id of an earlier run may have been accepted by then.
        uncertain = bool(self._options.submission_id.value)
        problem = shown = 'no time was left'
        while await self._client.back_off():
            body['timeout_s'] = self._client.remaining
            try:
                response = await self._client.send(
                    'POST', '/v1/operator/submit', body, SUBMIT_TIMEOUT_S
                )
            except _NoResponseError as error:
                uncertain = uncertain or error.sent
                problem = str(error)
            else:
                outcome = response.fields.get('outcome')
                if outcome in ('accepted', 'refused'):
                    return await self._submitted(response, uncertain)
                if response.status in (400, 413):
                    self._progress(f'gypsumhall: {response.detail}')
                    return USAGE
                code = response.fields.get('code')
                not_run = 'unavailable' in (outcome, code)
                uncertain = uncertain or not (not_run or code in _NOT_RUN)
                problem = response.detail
            if problem != shown:
                self._progress(f'trying again: {problem}')
                shown = problem
            self._client.try_next()
        return self._undecided(submission_id, problem, uncertain)

    async def _new_id(self) -> str:
        """Return an id that names the version in force.

        The version lets a daemon tell an id that was never accepted from
        one whose acceptance is recorded no longer. Without a version, as
        before the first one, the id is random only.
        """
        random_part = secrets.token_hex(8)
        for _ in self._options.daemons.value:
            try:
                response = await self._client.send(
                    'GET', '/v1/operator/status', timeout_s=CONNECT_TIMEOUT_S
                )
            except _NoResponseError:
                self._client.try_next()
                continue
            if response.status == 200:
                return f'{response.fields["version"]}.{random_part}'
            break
        return random_part

    async def _submitted(self, response: _Response, uncertain: bool) -> int:
        fields = response.fields
        if fields['outcome'] == 'accepted':
            version = fields['version']
            self._show(fields, [f'accepted as version {version}'])
            if self._options.wait.value:
                return await self._wait_for(f'version={version}')
            return OK
        findings = fields['findings']
        if not uncertain:
            self._show_findings('refused', findings, id=fields['id'])
            return REFUSED
        self._show_findings('unknown', findings, id=fields['id'])
        self._progress(
            'refused now, but an earlier attempt may still be accepted; '
            'look at the status'
        )
        return UNKNOWN

    def _undecided(
        self, submission_id: str, problem: str, uncertain: bool
    ) -> int:
        outcome = 'unknown' if uncertain else 'unavailable'
        advice = (
            f'ask again with --submission_id={submission_id}'
            if uncertain
            else 'nothing was accepted'
        )
        self._show(
            {'outcome': outcome, 'id': submission_id, 'detail': problem},
            [f'{outcome}: {problem}; {advice}'],
        )
        return UNKNOWN if uncertain else UNAVAILABLE

    async def status(self) -> int:
        self._no_argument()
        self._need_daemons()
        response = await self._client.ask('GET', '/v1/operator/status')
        fields = response.fields
        lines = [
            f'version {fields["version"]}, '
            + ('in effect' if fields['in_effect'] else 'not yet everywhere')
        ]
        for zone, item in fields['zones'].items():
            lines.append(f'zone {zone}: {_zone_text(item)}')
        lines += [_move_text(item) for item in fields['moves']]
        lines += [
            f'revert {item["move"]}: {item["reason"]} (by {item["origin"]})'
            for item in fields['reverts']
        ]
        self._show(fields, lines)
        return OK

    async def moves(self) -> int:
        self._no_argument()
        self._need_daemons()
        response = await self._client.ask('GET', '/v1/operator/moves')
        found = response.fields['moves']
        self._show(
            response.fields,
            [_move_text(item) for item in found] or ['no moves'],
        )
        return OK

    async def abort(self) -> int:
        move_id = self._argument('the id of the move')
        if not _is_move_id(move_id):
            raise UsageError(f'{move_id!r} is no <department>/<move>')
        self._need_daemons()
        path = f'/v1/operator/moves/{quote(move_id)}/abort'
        token = self._token()
        response = await self._client.ask('POST', path, {'token': token})
        if response.status in (200, 202):
            recorded = response.fields['recorded']
            note = '' if recorded else '; the head records it later'
            self._show(response.fields, [f'{move_id} is reverted{note}'])
            return OK
        findings = response.fields.get('findings', ())
        self._show_findings('refused', findings)
        if not findings:
            self._progress(f'gypsumhall: {response.detail}')
        return REFUSED

    async def wait(self) -> int:
        target = self._argument('a version or the id of a move')
        self._need_daemons()
        if target.isdecimal():
            return await self._wait_for(f'version={target}')
        if not _is_move_id(target):
            raise UsageError(
                f'{target!r} is neither a version nor <department>/<move>'
            )
        return await self._wait_for(f'move={quote(target)}')

    async def _wait_for(self, condition: str) -> int:
        last = ''
        fields: Mapping[str, Any] = {}
        while self._client.remaining > 0:
            seconds = min(LONG_POLL_S, self._client.remaining)
            # A changed state is shown soon, so the first answers are short.
            seconds = min(seconds, 1.0) if not last else seconds
            path = f'/v1/operator/wait?{condition}&timeout={seconds:.3f}'
            response = await self._client.ask(
                'GET', path, timeout_s=seconds + GRACE_S
            )
            if response.status != 200:
                raise UsageError(response.detail)
            fields = response.fields
            line = _wait_text(fields)
            if line != last:
                self._progress(line)
                last = line
            if fields['done']:
                self._show(fields, [line])
                state = (fields.get('move') or {}).get('state')
                return REFUSED if state == 'reverted' else OK
        self._show(fields, [f'timed out: {last}'])
        return TIMED_OUT

    async def events(self) -> int:
        self._no_argument()
        self._need_daemons()
        since = self._options.since.value
        while True:
            response = await self._client.ask('GET', f'/events?since={since}')
            for event in response.fields.get('events', ()):
                since = max(since, int(event['index']) + 1)
                self._show(event, [_event_text(event)])
            if not self._options.follow.value:
                return OK
            if self._client.remaining <= 1:
                return OK
            await trio.sleep(1.0)


_COMMANDS: dict[str, Callable[[_Command], Awaitable[int]]] = {
    'check': _Command.check,
    'submit': _Command.submit,
    'status': _Command.status,
    'wait': _Command.wait,
    'moves': _Command.moves,
    'abort': _Command.abort,
    'events': _Command.events,
}


def _is_move_id(text: str) -> bool:
    department, _, name = text.partition('/')
    return bool(department) and bool(name) and '/' not in name


def _check_alone(texts: Mapping[str, str]) -> list[Finding]:
    """Check each text against the others, without a configuration."""
    now = time.time()
    parsed = [_text.read_text(text, name, now) for name, text in texts.items()]
    findings: list[Finding] = []
    for item in parsed:
        others = {
            other.fragment.department: other.fragment
            for other in parsed
            if other.has_fragment and other is not item
        }
        findings += _accept.check_text(_model.Head(), others, item, now)
    return findings


def _finding_line(fields: Mapping[str, Any]) -> str:
    location = SourceLocation(
        fields['source'], fields['line'], fields['column']
    )
    return str(Finding(fields['code'], fields['message'], location))


def _zone_text(item: Mapping[str, Any]) -> str:
    state = 'in effect' if item['in_effect'] else 'not yet'
    return (
        f'{state}, {item["members"]} of {item["expected"]} daemons, lowest '
        f'version {item["lowest"]}'
    )


def _move_text(item: Mapping[str, Any]) -> str:
    deadline = datetime.datetime.fromtimestamp(
        item['deadline'], datetime.UTC
    ).isoformat(timespec='seconds')
    text = (
        f'move {item["id"]}: {item["service"]} {item["from"]} -> '
        f'{item["to"]}, {item["state"]}'
    )
    if item['state'] in ('active', 'soaking'):
        text += f', {item["share"]:.0%} of the calls, deadline {deadline}'
    if item['reverting']:
        text += ', reverted on this daemon, not recorded yet'
    return text + (f' ({item["reason"]})' if item['reason'] else '')


def _wait_text(fields: Mapping[str, Any]) -> str:
    if 'move' in fields:
        move = fields['move']
        return _move_text(move) if move else 'the move is not known yet'
    behind = [
        f'{zone}: {_zone_text(item)}'
        for zone, item in fields['zones'].items()
        if not item['in_effect']
    ]
    state = 'in effect' if fields['done'] else 'not in effect yet'
    return '; '.join([f'version {fields["version"]} {state}', *behind])


def _event_text(event: Mapping[str, Any]) -> str:
    rest = ' '.join(
        f'{key}={value}'
        for key, value in event.items()
        if key not in ('index', 'code') and value not in ('', [])
    )
    return f'{event["index"]} {event.get("code", "")} {rest}'


def run(arguments: Sequence[str], environment: Mapping[str, str]) -> int:
    """Run the binary and return its exit code.

    Parameters
    ----------
    arguments : sequence of str
        Command line without the name of the binary.
    environment : mapping
        Environment variables.
    """
    options = _Options()

    def start(names: list[str]) -> int:
        command = _COMMANDS.get(names[0]) if names else None
        if command is None:
            given = f'unknown command {names[0]!r}' if names else 'no command'
            print(
                f'gypsumhall: {given}; commands: {", ".join(_COMMANDS)}; see '
                '--help',
                file=sys.stderr,
            )
            return USAGE

        async def run_command() -> int:
            return await _Command(options, names[1:]).run(command)

        try:
            return trio.run(run_command)
        except UsageError as error:
            print(f'gypsumhall: {error}', file=sys.stderr)
            return USAGE

    argv = ['gypsumhall', *arguments]
    return run_binary(options.settings, argv, start, environment=environment)


def main() -> None:
    """Entry point of the binary."""
    try:
        sys.exit(run(sys.argv[1:], os.environ))
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == '__main__':
    main()
