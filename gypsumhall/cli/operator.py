"""Binary ``gypsumhall``: the command-line client for operators."""

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

from gypsumhall._decode import decode
from gypsumhall._errors import Finding
from gypsumhall._errors import finding_fields
from gypsumhall._errors import MalformedDataError
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
  check <file>...         Check configuration texts against the accepted
                          configuration, or only against each other if
                          --daemons is not given.
  submit <file>           Submit a configuration text ("-" reads standard
                          input).
  status                  Show the version, the zones, moves and reverts.
  wait <version>          Wait until a version is in effect everywhere.
  wait <department>/<move>  Wait until a move is done or reverted.
  moves                   Show all moves.
  abort <department>/<move>  Revert a move.
  events                  Show the event log of one daemon.
  explain <method> <host> <path>  Show where a request would go now, and why,
                          without sending it.
"""
_NOTES = f"""\
Exit codes:
  {OK}  success, or no findings
  {REFUSED}  rejected, with findings; or the move was reverted
  {USAGE}  invalid flags or arguments
  {UNAVAILABLE}  no daemon or no platform responded; nothing was accepted
  {UNKNOWN}  it is unknown whether the text was accepted; submit again with
     the --submission_id that was printed
  {TIMED_OUT}  the wait timed out before its condition was met
"""

# The key has no flag, because command lines are visible to other processes.
_KEY_VARIABLE = 'GYPSUMHALL_KEY'
_MAX_KEY_BYTES = 65_536

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# A daemon processes a submission for at most 10 s, after the time for reading
# a large text.
SUBMIT_TIMEOUT_S = 25.0
CONNECT_TIMEOUT_S = 2.0
# A daemon receives the remaining time as its time limit and responds after it,
# so the client waits longer by this margin.
RESPONSE_MARGIN_S = 2.0
LONG_POLL_S = 10.0
# Statuses after which the request is sent to another daemon, which may be able
# to handle it.
_TRY_NEXT_STATUSES = (404, 408, 500, 502, 503)
# Problem codes of a daemon that has not started to process the submission.
_NOT_RUN_CODES = ('busy', 'no-such-path', 'slow-body', 'starting')


class UsageError(Exception):
    """Invalid arguments on the command line."""


class NoDaemonError(Exception):
    """No daemon responded in time."""


class _NoResponseError(Exception):
    """One daemon did not respond.

    If `sent` is true, the request may have been executed.
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
            'gypsumhall', _USAGE, _NOTES, allow_positionals=True
        )
        define = self.settings
        self.daemons = define.addresses(
            'daemons', (), 'Admin addresses of daemons, tried in this order.'
        )
        self.output = define.string(
            'output',
            'text',
            'Output format, text or json.',
            choices=('text', 'json'),
        )
        self.timeout = define.duration(
            'timeout', 60.0, 'Total time limit of a command.'
        )
        self.token = define.string(
            'token',
            '',
            'Token of the department; prefer the environment variable.',
        )
        self.token_file = define.string(
            'token_file', '', 'File that contains the token.'
        )
        self.department = define.string(
            'department', '', 'Reject a text of another department.'
        )
        self.submission_id = define.string(
            'submission_id', '', 'Id of an earlier submission to retry.'
        )
        self.wait = define.boolean(
            'wait', False, 'After submit: wait until the text is in effect.'
        )
        self.since = define.integer(
            'since', 0, 'Index of the first event to show.'
        )
        self.key_file = define.string(
            'key_file',
            '',
            'For explain: file with the key of the tenant; by default, the '
            f'key is read from {_KEY_VARIABLE}.',
        )
        self.zone = define.string(
            'zone', '', 'For explain: ask a daemon of this zone.'
        )
        self.json = define.boolean('json', False, 'The same as --output=json.')
        self.follow = define.boolean(
            'follow', False, 'Show new events continuously.'
        )


class Client:
    """Sends requests to one of several daemons, with failover.

    Parameters
    ----------
    daemons : sequence of str
        Admin addresses.
    deadline : float
        Trio time after which no further attempt starts.
    """

    def __init__(self, daemons: Sequence[str], deadline: float) -> None:
        self._daemons = tuple(daemons)
        self._deadline = deadline
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=2.0)
        self._next = 0
        self._failures = 0

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self._deadline - trio.current_time()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    def try_next(self) -> None:
        """Switch to the next daemon after a failure."""
        self._next += 1
        self._failures += 1

    async def back_off(self) -> bool:
        """Wait before a retry; return False once the deadline has passed."""
        # Wait only after all daemons have been tried.
        rounds = self._failures // max(1, len(self._daemons))
        if rounds and self._failures % len(self._daemons) == 0:
            limit_s = min(
                MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(rounds, 9)
            )
            await trio.sleep(
                max(0.0, min(random.uniform(0.05, limit_s), self.remaining))
            )
        return self.remaining > 0

    async def send(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None = None,
        timeout_s: float = 10.0,
    ) -> _Response:
        """Send one request to the current daemon.

        Raises
        ------
        _NoResponseError
            If it does not respond in time.
        """
        daemon = self._daemons[self._next % len(self._daemons)]
        limit_s = min(timeout_s, max(0.0, self.remaining) + RESPONSE_MARGIN_S)
        connect_timeout_s = min(CONNECT_TIMEOUT_S, limit_s)
        content = None if body is None else json.dumps(body).encode()
        try:
            with trio.fail_after(limit_s):
                response = await self._pool.request(
                    method,
                    f'http://{daemon}{path}',
                    headers={'content-type': 'application/json'},
                    content=content,
                    extensions={
                        'timeout': {
                            'connect': connect_timeout_s,
                            'pool': connect_timeout_s,
                        }
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
            fields = decode(json.loads, response.content, 'response')
        except MalformedDataError as error:
            raise _NoResponseError(daemon, error, sent=True)
        if not isinstance(fields, dict):
            fields = {}
        return _Response(response.status, fields)

    async def send_with_retries(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None = None,
        timeout_s: float = 10.0,
    ) -> _Response:
        """Send an idempotent request, with retries until a daemon responds.

        Raises
        ------
        NoDaemonError
            If none responds before the deadline.
        """
        problem = 'no time was left'
        while await self.back_off():
            try:
                response = await self.send(method, path, body, timeout_s)
            except _NoResponseError as error:
                problem = str(error)
            else:
                code = response.fields.get('code', '')
                if (
                    response.status not in _TRY_NEXT_STATUSES
                    or code == 'unknown-move'
                ):
                    return response
                problem = response.detail
            self.try_next()
        raise NoDaemonError(problem)


class _Command:
    """One invocation of the command line."""

    def __init__(
        self,
        options: _Options,
        arguments: Sequence[str],
        environment: Mapping[str, str],
    ) -> None:
        self._options = options
        self._arguments = arguments
        self._environment = environment
        self._json = options.output.value == 'json' or options.json.value
        self._client = Client(
            options.daemons.value,
            trio.current_time() + options.timeout.value,
        )

    # Output

    def _print_result(
        self, fields: Mapping[str, Any], lines: Sequence[str]
    ) -> None:
        if self._json:
            print(json.dumps(fields))
        else:
            for line in lines:
                print(line)

    def _print_progress(self, line: str) -> None:
        print(line, file=sys.stderr, flush=True)

    def _print_findings(
        self, outcome: str, findings: Sequence[Mapping[str, Any]], **more: Any
    ) -> None:
        self._print_result(
            {'outcome': outcome, **more, 'findings': findings},
            [_format_finding(item) for item in findings],
        )

    # Arguments

    def _single_argument(self, description: str) -> str:
        if len(self._arguments) != 1:
            raise UsageError(
                f'this command takes one argument, {description}; given: '
                f'{len(self._arguments)}'
            )
        return self._arguments[0]

    def _require_no_arguments(self) -> None:
        if self._arguments:
            raise UsageError(
                f'this command takes no arguments; given: '
                f'{" ".join(self._arguments)}'
            )

    def _require_daemons(self) -> None:
        if not self._options.daemons.value:
            raise UsageError('give --daemons or GYPSUMHALL_DAEMONS')

    def _read_text(self, name: str) -> str:
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

    def _read_token(self) -> str:
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

    def _read_key(self) -> str | None:
        """Return the key of the tenant; None for none."""
        path = self._options.key_file.value
        if not path:
            return self._environment.get(_KEY_VARIABLE) or None
        try:
            with pathlib.Path(path).open('rb') as file:
                data = file.read(_MAX_KEY_BYTES + 1)
        except OSError as error:
            raise UsageError(f'--key_file {path}: {error.strerror}')
        if len(data) > _MAX_KEY_BYTES:
            raise UsageError(
                f'--key_file {path}: more than {_MAX_KEY_BYTES} bytes'
            )
        return data.decode('latin-1').rstrip('\r\n')

    # Commands

    async def run(self, command: Callable[[_Command], Awaitable[int]]) -> int:
        """Run one command and return the exit code."""
        try:
            return await command(self)
        except NoDaemonError as error:
            self._print_progress(f'gypsumhall: no daemon responded: {error}')
            return UNAVAILABLE
        finally:
            with trio.move_on_after(1, shield=True):
                await self._client.aclose()

    async def check(self) -> int:
        if not self._arguments:
            raise UsageError(
                'this command takes one or more files with configuration texts'
            )
        texts = {name: self._read_text(name) for name in self._arguments}
        findings: list[Mapping[str, Any]] = []
        if not self._options.daemons.value:
            self._print_progress(
                'checked without a daemon: only against each other'
            )
            findings += [
                finding_fields(item) for item in _check_without_daemon(texts)
            ]
        else:
            for name, text in texts.items():
                response = await self._client.send_with_retries(
                    'POST',
                    '/v1/operator/check',
                    {'text': text, 'source': name},
                )
                if response.status != 200:
                    self._print_progress(f'gypsumhall: {response.detail}')
                    return USAGE
                findings += response.fields['findings']
        self._print_findings('findings' if findings else 'valid', findings)
        return REFUSED if findings else OK

    async def submit(self) -> int:
        self._require_daemons()
        name = self._single_argument('the file with the configuration text')
        text = self._read_text(name)
        token = self._read_token()
        submission_id = self._options.submission_id.value
        if not submission_id:
            submission_id = await self._new_submission_id()
        self._print_progress(f'submission id: {submission_id}')
        body: dict[str, object] = {
            'id': submission_id,
            'department': self._options.department.value,
            'token': token,
            'text': text,
            'source': name,
        }
        # An earlier submission under a given id may have been accepted.
        uncertain = bool(self._options.submission_id.value)
        problem = printed_problem = 'no time was left'
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
                    return await self._report_decision(response, uncertain)
                if response.status in (400, 413):
                    self._print_progress(f'gypsumhall: {response.detail}')
                    return USAGE
                code = response.fields.get('code')
                not_run = 'unavailable' in (outcome, code)
                uncertain = uncertain or not (
                    not_run or code in _NOT_RUN_CODES
                )
                problem = response.detail
            if problem != printed_problem:
                self._print_progress(f'trying again: {problem}')
                printed_problem = problem
            self._client.try_next()
        return self._report_no_decision(submission_id, problem, uncertain)

    async def _new_submission_id(self) -> str:
        """Return an id that contains the current version.

        The version lets a daemon distinguish an id that was never accepted
        from one whose acceptance is no longer recorded. If there is no version
        yet or it cannot be read, the id consists of the random part only.
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

    async def _report_decision(
        self, response: _Response, uncertain: bool
    ) -> int:
        fields = response.fields
        if fields['outcome'] == 'accepted':
            version = fields['version']
            self._print_result(fields, [f'accepted as version {version}'])
            if self._options.wait.value:
                return await self._wait_for(f'version={version}')
            return OK
        findings = fields['findings']
        if not uncertain:
            self._print_findings('refused', findings, id=fields['id'])
            return REFUSED
        self._print_findings('unknown', findings, id=fields['id'])
        self._print_progress(
            'rejected, but an earlier attempt may still be accepted; check '
            'the status'
        )
        return UNKNOWN

    def _report_no_decision(
        self, submission_id: str, problem: str, uncertain: bool
    ) -> int:
        outcome = 'unknown' if uncertain else 'unavailable'
        advice = (
            f'submit again with --submission_id={submission_id}'
            if uncertain
            else 'nothing was accepted'
        )
        self._print_result(
            {'outcome': outcome, 'id': submission_id, 'detail': problem},
            [f'{outcome}: {problem}; {advice}'],
        )
        return UNKNOWN if uncertain else UNAVAILABLE

    async def status(self) -> int:
        self._require_no_arguments()
        self._require_daemons()
        response = await self._client.send_with_retries(
            'GET', '/v1/operator/status'
        )
        fields = response.fields
        lines = [
            f'version {fields["version"]}, '
            + ('in effect' if fields['in_effect'] else 'not yet everywhere')
        ]
        for zone, item in fields['zones'].items():
            lines.append(f'zone {zone}: {_format_zone(item)}')
        lines += [_format_move(item) for item in fields['moves']]
        lines += [
            f'revert {item["move"]}: {item["reason"]} (by {item["origin"]})'
            for item in fields['reverts']
        ]
        self._print_result(fields, lines)
        return OK

    async def moves(self) -> int:
        self._require_no_arguments()
        self._require_daemons()
        response = await self._client.send_with_retries(
            'GET', '/v1/operator/moves'
        )
        move_items = response.fields['moves']
        self._print_result(
            response.fields,
            [_format_move(item) for item in move_items] or ['no moves'],
        )
        return OK

    async def abort(self) -> int:
        move_id = self._single_argument('the id of the move')
        if not _is_move_id(move_id):
            raise UsageError(f'{move_id!r} is not <department>/<move>')
        self._require_daemons()
        path = f'/v1/operator/moves/{quote(move_id)}/abort'
        token = self._read_token()
        response = await self._client.send_with_retries(
            'POST', path, {'token': token}
        )
        if response.status in (200, 202):
            recorded = response.fields['recorded']
            note = '' if recorded else '; the head records it later'
            self._print_result(
                response.fields, [f'{move_id} is reverted{note}']
            )
            return OK
        findings = response.fields.get('findings', ())
        self._print_findings('refused', findings)
        if not findings:
            self._print_progress(f'gypsumhall: {response.detail}')
        return REFUSED

    async def wait(self) -> int:
        target = self._single_argument('a version or the id of a move')
        self._require_daemons()
        if target.isdecimal():
            return await self._wait_for(f'version={target}')
        if not _is_move_id(target):
            raise UsageError(
                f'{target!r} is neither a version nor <department>/<move>'
            )
        return await self._wait_for(f'move={quote(target)}')

    async def _wait_for(self, condition: str) -> int:
        last_line = ''
        fields: Mapping[str, Any] = {}
        while self._client.remaining > 0:
            poll_timeout_s = min(LONG_POLL_S, self._client.remaining)
            # The first poll is short, so that the state is printed soon.
            poll_timeout_s = (
                min(poll_timeout_s, 1.0) if not last_line else poll_timeout_s
            )
            path = (
                f'/v1/operator/wait?{condition}&timeout={poll_timeout_s:.3f}'
            )
            response = await self._client.send_with_retries(
                'GET', path, timeout_s=poll_timeout_s + RESPONSE_MARGIN_S
            )
            if response.status != 200:
                raise UsageError(response.detail)
            fields = response.fields
            line = _format_wait(fields)
            if line != last_line:
                self._print_progress(line)
                last_line = line
            if fields['done']:
                self._print_result(fields, [line])
                state = (fields.get('move') or {}).get('state')
                return REFUSED if state == 'reverted' else OK
        self._print_result(fields, [f'timed out: {last_line}'])
        return TIMED_OUT

    async def events(self) -> int:
        self._require_no_arguments()
        self._require_daemons()
        since = self._options.since.value
        while True:
            response = await self._client.send_with_retries(
                'GET', f'/events?since={since}'
            )
            for event in response.fields.get('events', ()):
                since = max(since, int(event['index']) + 1)
                self._print_result(event, [_format_event(event)])
            if not self._options.follow.value:
                return OK
            if self._client.remaining <= 1:
                return OK
            await trio.sleep(1.0)

    async def explain(self) -> int:
        if len(self._arguments) != 3:
            raise UsageError(
                'this command takes three arguments, the method, the host and '
                f'the path; given: {len(self._arguments)}'
            )
        self._require_daemons()
        method, host, path = self._arguments
        body: dict[str, object] = {
            'method': method,
            'host': host,
            'path': path,
            'zone': self._options.zone.value,
        }
        key = self._read_key()
        if key is not None:
            body['key'] = key
        problem = ''
        for _ in self._options.daemons.value:
            response = await self._client.send_with_retries(
                'POST', '/v1/explain', body
            )
            if response.status == 200:
                self._print_result(
                    response.fields, _format_explanation(response.fields)
                )
                return OK
            problem = response.detail
            if response.fields.get('code') != 'other-zone':
                self._print_progress(f'gypsumhall: {problem}')
                return USAGE
            self._client.try_next()
        raise NoDaemonError(
            f'none of --daemons is in zone {self._options.zone.value}: '
            f'{problem}'
        )


_COMMANDS: dict[str, Callable[[_Command], Awaitable[int]]] = {
    'check': _Command.check,
    'submit': _Command.submit,
    'status': _Command.status,
    'wait': _Command.wait,
    'moves': _Command.moves,
    'abort': _Command.abort,
    'events': _Command.events,
    'explain': _Command.explain,
}


def _is_move_id(text: str) -> bool:
    department, _, name = text.partition('/')
    return bool(department) and bool(name) and '/' not in name


def _check_without_daemon(texts: Mapping[str, str]) -> list[Finding]:
    """Check each text against the others only."""
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


def _format_finding(fields: Mapping[str, Any]) -> str:
    location = SourceLocation(
        fields['source'], fields['line'], fields['column']
    )
    return str(Finding(fields['code'], fields['message'], location))


def _format_zone(item: Mapping[str, Any]) -> str:
    state = 'in effect' if item['in_effect'] else 'not yet'
    return (
        f'{state}, {item["members"]} of {item["expected"]} daemons, lowest '
        f'version {item["lowest"]}'
    )


def _format_move(item: Mapping[str, Any]) -> str:
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


def _format_wait(fields: Mapping[str, Any]) -> str:
    if 'move' in fields:
        move = fields['move']
        return _format_move(move) if move else 'the move is not known yet'
    pending_zones = [
        f'{zone}: {_format_zone(item)}'
        for zone, item in fields['zones'].items()
        if not item['in_effect']
    ]
    state = 'in effect' if fields['done'] else 'not in effect yet'
    return '; '.join([f'version {fields["version"]} {state}', *pending_zones])


def _format_event(event: Mapping[str, Any]) -> str:
    details = ' '.join(
        f'{key}={value}'
        for key, value in event.items()
        if key not in ('index', 'code') and value not in ('', [])
    )
    return f'{event["index"]} {event.get("code", "")} {details}'


def _format_explanation(fields: Mapping[str, Any]) -> list[str]:
    version = fields['config_version']
    rows = [
        ('daemon', f'{fields["daemon"]} in zone {fields["zone"]}'),
        ('configuration', 'none' if version is None else f'version {version}'),
    ]
    route = fields['route']
    if route is None:
        rows.append(('route', 'none'))
    else:
        objective = f', objective {route["objective_ms"]} ms'
        rows += [
            ('route', f'{route["id"]} ({route["host"]}{route["path"]})'),
            ('key', 'needed' if fields['key_required'] else 'not needed'),
            ('tenant', fields['tenant'] or 'none'),
            ('priority', str(fields['priority'])),
            (
                'time limit',
                f'{route["timeout_ms"]} ms'
                + (objective if route['objective_ms'] else ''),
            ),
            ('quota', _format_quota(fields['quota'])),
            ('services', _format_shares(fields['services'], 'service')),
            ('versions', _format_shares(fields['versions'], 'version')),
        ]
    lines = [f'{name:<14} {value}' for name, value in rows]
    lines += _format_candidates(fields['candidates'])
    return [*lines, f'{"result":<14} {_format_outcome(fields["outcome"])}']


def _format_quota(quota: Mapping[str, Any] | None) -> str:
    if quota is None:
        return 'no limit'
    return (
        f'{quota["rate_per_s"]:g}/s, burst {quota["burst"]:g}, at this '
        f'daemon: {quota["state"]}'
    )


def _format_shares(items: Sequence[Mapping[str, Any]], name: str) -> str:
    return ', '.join(
        f'{item[name] or "any"} {item["share"]:.0%}' for item in items
    )


def _format_candidates(items: Sequence[Mapping[str, Any]]) -> list[str]:
    table = [('', 'endpoint', 'zone', 'version', 'cost', 'reason')]
    for item in items:
        cost_ms = item['cost_ms']
        table.append(
            (
                '>' if item['chosen'] else '',
                item['member'],
                item['zone'],
                item['version'],
                '-' if cost_ms is None else f'{cost_ms:.1f} ms',
                item['reason'],
            )
        )
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    ] * bool(items)


def _format_outcome(outcome: Mapping[str, Any]) -> str:
    if outcome['action'] == 'send':
        text = (
            f'sent to {outcome["member"]} in zone {outcome["zone"]} '
            f'({outcome["reason"]})'
        )
        if outcome['asks_quota_owner']:
            text += ', if the owner of the quota grants it'
        return text
    text = f'{outcome["status"]} {outcome["reason"]}: {outcome["detail"]}'
    if outcome['retry_after_s']:
        text += f'; Retry-After {outcome["retry_after_s"]:g} s or more'
    return text


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

    def start(positionals: list[str]) -> int:
        command = _COMMANDS.get(positionals[0]) if positionals else None
        if command is None:
            problem = (
                f'unknown command {positionals[0]!r}'
                if positionals
                else 'no command'
            )
            print(
                f'gypsumhall: {problem}; commands: {", ".join(_COMMANDS)}; '
                'see --help',
                file=sys.stderr,
            )
            return USAGE

        async def run_command() -> int:
            arguments = positionals[1:]
            return await _Command(options, arguments, environment).run(command)

        try:
            return trio.run(run_command)
        except UsageError as error:
            print(f'gypsumhall: {error}', file=sys.stderr)
            return USAGE

    argv = ['gypsumhall', *arguments]
    return run_binary(options.settings, argv, start, environment=environment)


def main() -> None:
    """Run the binary as a process and exit with its exit code."""
    try:
        sys.exit(run(sys.argv[1:], os.environ))
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == '__main__':
    main()
