"""Parses an operator's configuration text (YAML) into a fragment.

Faults are collected as findings with their positions. The text is processed
as parser events rather than as loaded values: events carry the line and
column of every key and value, a version such as ``1.10`` is not converted to
a number, and anchors, aliases, tags and deep nesting are rejected before they
can consume memory.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import datetime
import hashlib
import re
from typing import TYPE_CHECKING
from typing import TypeVar

from ruamel.yaml import events
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError
from ruamel.yaml.error import YAMLError
from ruamel.yaml.reader import ReaderError

from gypsumhall._errors import Finding
from gypsumhall._errors import InvalidTextError
from gypsumhall._errors import SourceLocation
from gypsumhall.core import _model
from gypsumhall.core._durations import DURATION_UNITS
from gypsumhall.core._durations import parse_duration

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

MAX_TEXT_BYTES = 512 * 1024
# A valid text nests four levels deep. The margin lets texts that are nested a
# little deeper get more specific findings than ``too-deep``.
MAX_DEPTH = 16
# The densest valid text of `MAX_TEXT_BYTES` has about 98,000 keys and values.
# Reading a malicious one with 260,000 took 17 s.
MAX_NODES = 120_000
# Limits the size of the response: a malicious text can contain a fault every
# few bytes.
MAX_FINDINGS = 200
MAX_WITHIN_S = 30 * 86400.0
MAX_TIMEOUT_S = 3600.0
MAX_SOAK_S = 86400.0
MAX_PRIORITY = 1000
MAX_RATE = 1e9
METHODS = (
    'GET',
    'HEAD',
    'OPTIONS',
    'PUT',
    'DELETE',
    'PATCH',
    'POST',
)

NAME_PATTERN = r'[a-z]([a-z0-9-]{0,61}[a-z0-9])?'
VERSION_PATTERN = r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}'

_NAME = re.compile(NAME_PATTERN)
_VERSION = re.compile(VERSION_PATTERN)
_LABEL = re.compile(r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')
_PATH = re.compile(r"(/([A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f]{2})+)*/?")
_DATE = re.compile(
    r'\d{4}-\d{2}-\d{2}[T ]\d{2}:\d{2}:\d{2}(\.\d{1,6})?'
    r'(Z|[+-]\d{2}:\d{2})'
)
_KEY = re.compile(r'[!-~]{8,256}')
_INTEGER = re.compile(r'[0-9]{1,9}')
_DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{1,9})?')
_NULL_SCALARS = ('', '~', 'null')
_Named = TypeVar('_Named', _model.Service, _model.Route, _model.Tenant)


def quote_value(value: str) -> str:
    """Return a value in quotes for a message, truncated if it is long."""
    if len(value) > 80:
        return repr(value[:77] + '...')
    return repr(value)


@dataclass(slots=True, frozen=True)
class ParsedText:
    """Result of reading an operator's text.

    Parameters
    ----------
    fragment : Fragment
        Contents of the text, without the faulty parts.
    findings : tuple of Finding
        Faults of the text itself, sorted by position.
    within : dict of str to float
        Values of ``within`` in seconds, by id of the moves that have it
        instead of a deadline. Their deadlines in the fragment are relative
        to the time of reading.
    has_fragment : bool
        Whether the text could be converted to a fragment, which can then be
        checked against those of other departments.
    source : str
        Name of the text.
    digest : str
        SHA-256 digest of the text, in hexadecimal.
    locations : mapping of tuple of str to SourceLocation
        Positions by path, for example ``('services', 'a', 'versions')``.
    """

    fragment: _model.Fragment
    findings: tuple[Finding, ...]
    within: Mapping[str, float]
    has_fragment: bool
    source: str
    digest: str
    locations: Mapping[tuple[str, ...], SourceLocation]

    def location(self, *path: str) -> SourceLocation:
        """Return the position of a path or of its closest parent."""
        for length in range(len(path), 0, -1):
            position = self.locations.get(path[:length])
            if position is not None:
                return position
        return self.locations.get(
            ('department',), SourceLocation(self.source, 1, 1)
        )


def sorted_findings(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    """Return findings sorted by position, without duplicates."""
    unique = dict.fromkeys(findings)
    return tuple(
        sorted(
            unique, key=lambda item: (item.location.line, item.location.column)
        )
    )


@dataclass(slots=True)
class _Node:
    """A node of the YAML document.

    Parameters
    ----------
    kind : str
        ``scalar``, ``list`` or ``mapping``.
    location : SourceLocation
        Position of the node.
    text : str
        Value of a scalar.
    plain : bool
        Whether a scalar is written without quotes and not as a block.
    items : list of _Node
        Items of a list; keys and values of a mapping in turn.
    """

    kind: str
    location: SourceLocation
    text: str = ''
    plain: bool = False
    items: list[_Node] = field(default_factory=list)

    @property
    def is_null(self) -> bool:
        return (
            self.kind == 'scalar' and self.plain and self.text in _NULL_SCALARS
        )


class _FatalFindingError(Exception):
    """A finding after which the text cannot be read any further."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


def _compose(text: str, source: str) -> _Node | None:
    """Return the root of the tree of nodes; None for an empty text."""

    def location_of(event: events.Event) -> SourceLocation:
        mark = event.start_mark
        return SourceLocation(source, mark.line + 1, mark.column + 1)

    root: _Node | None = None
    stack: list[_Node] = []
    node_count = 0
    for event in YAML(typ='rt').parse(text):
        if isinstance(event, events.DocumentStartEvent) and root is not None:
            raise _FatalFindingError(
                Finding(
                    'syntax',
                    'a second YAML document starts here; only one is allowed',
                    location_of(event),
                )
            )
        if isinstance(event, events.NodeEvent):
            node = _node(event, location_of(event))
            node_count += 1
            if node_count > MAX_NODES:
                raise _FatalFindingError(
                    Finding(
                        'too-large',
                        f'more than {MAX_NODES} keys and values',
                        node.location,
                    )
                )
            if stack:
                stack[-1].items.append(node)
            else:
                root = node
            if node.kind != 'scalar':
                stack.append(node)
            if len(stack) > MAX_DEPTH:
                raise _FatalFindingError(
                    Finding(
                        'too-deep',
                        f'nested more than {MAX_DEPTH} levels',
                        node.location,
                    )
                )
        elif isinstance(event, events.CollectionEndEvent):
            stack.pop()
    return root


def _node(event: events.NodeEvent, location: SourceLocation) -> _Node:
    if isinstance(event, events.AliasEvent):
        raise _FatalFindingError(
            Finding(
                'alias',
                f'alias *{event.anchor} is not allowed; repeat the '
                'value instead',
                location,
            )
        )
    if event.anchor is not None:
        raise _FatalFindingError(
            Finding(
                'alias', f'anchor &{event.anchor} is not allowed', location
            )
        )
    tag = getattr(event, 'tag', None)
    if tag is not None:
        raise _FatalFindingError(
            Finding(
                'tag', f'tag {quote_value(str(tag))} is not allowed', location
            )
        )
    if isinstance(event, events.ScalarEvent):
        return _Node('scalar', location, event.value, not event.style)
    if isinstance(event, events.SequenceStartEvent):
        return _Node('list', location)
    return _Node('mapping', location)


def _syntax_finding(error: YAMLError, text: str, source: str) -> Finding:
    if isinstance(error, MarkedYAMLError):
        mark = error.problem_mark or error.context_mark
        parts = [item for item in (error.problem, error.context) if item]
        location = SourceLocation(source, 1, 1)
        if mark is not None:
            location = SourceLocation(source, mark.line + 1, mark.column + 1)
        return Finding('syntax', ', '.join(parts) or 'not YAML', location)
    if isinstance(error, ReaderError):
        before = text[: error.position]
        line = before.count('\n') + 1
        column = error.position - (before.rfind('\n') + 1) + 1
        return Finding(
            'syntax',
            f'character U+{ord(text[error.position]):04X} is not allowed',
            SourceLocation(source, line, column),
        )
    return Finding('syntax', str(error), SourceLocation(source, 1, 1))


class _Reader:
    """Converts nodes to a fragment; collects findings and positions."""

    def __init__(self, source: str, now: float) -> None:
        self._source = source
        self._now = now
        self.findings: list[Finding] = []
        self.locations: dict[tuple[str, ...], SourceLocation] = {}
        self.within: dict[str, float] = {}

    def add(self, code: str, message: str, location: SourceLocation) -> None:
        self.findings.append(Finding(code, message, location))

    def read(self, root: _Node) -> _model.Fragment | None:
        keys = ('department', 'services', 'routes', 'moves', 'tenants')
        sections = self._read_keys(root, (), keys, ('department',))
        if sections is None:
            return None
        department = self._name(sections.get('department'), ('department',))
        services = [
            self._service(name, node)
            for name, node in self._section(sections, 'services')
        ]
        routes = [
            self._route(name, node)
            for name, node in self._section(sections, 'routes')
        ]
        moves = [
            self._move(department or '', name, node)
            for name, node in self._section(sections, 'moves')
        ]
        tenants = [
            self._tenant(name, node)
            for name, node in self._section(sections, 'tenants')
        ]
        if department is None:
            return None
        return _model.Fragment(
            department,
            _sorted_by_name(services),
            _sorted_by_name(item for item in routes if item is not None),
            tuple(
                sorted(
                    (item for item in moves if item is not None),
                    key=lambda item: item.id,
                )
            ),
            _sorted_by_name(tenants),
        )

    # Structure

    def _unique_items(
        self, node: _Node, path: tuple[str, ...]
    ) -> Iterator[tuple[str, _Node]]:
        """Yield the items of a mapping and record the locations of keys.

        Keys that are not strings, and repeated keys, are reported and skipped.
        """
        first_locations: dict[str, SourceLocation] = {}
        for key, value in zip(node.items[::2], node.items[1::2], strict=True):
            if key.kind != 'scalar':
                self.add('wrong-type', 'a key must be a string', key.location)
                continue
            if key.text in first_locations:
                self.add(
                    'duplicate-key',
                    f'key {quote_value(key.text)} is already defined in line '
                    f'{first_locations[key.text].line}',
                    key.location,
                )
                continue
            first_locations[key.text] = key.location
            self.locations[*path, key.text] = key.location
            yield key.text, value

    def _check_mapping(self, node: _Node, subject: str) -> bool:
        if node.kind == 'mapping':
            return True
        self.add(
            'wrong-type',
            f'{subject} must be a mapping (key: value), not a {node.kind}',
            node.location,
        )
        return False

    def _read_keys(
        self,
        node: _Node,
        path: tuple[str, ...],
        allowed_keys: Sequence[str],
        required: Sequence[str],
    ) -> dict[str, _Node] | None:
        subject = ' '.join(path[-2:]) or 'the text'
        if not self._check_mapping(node, subject):
            return None
        result = {}
        for key, value in self._unique_items(node, path):
            if key in allowed_keys:
                result[key] = value
            else:
                self.add(
                    'unknown-key',
                    f'unknown key {quote_value(key)} in {subject}; valid '
                    f'keys: {", ".join(allowed_keys)}',
                    self.locations[*path, key],
                )
        for key in required:
            if key not in result:
                self.add(
                    'missing-key',
                    f'{subject} lacks the required key {key!r}',
                    node.location,
                )
        return result

    def _section(
        self, sections: Mapping[str, _Node], section: str
    ) -> Iterator[tuple[str, _Node]]:
        node = sections.get(section)
        if (
            node is None
            or node.is_null
            or not self._check_mapping(node, section)
        ):
            return
        for name, value in self._unique_items(node, (section,)):
            if self._check_pattern(
                _NAME, name, 'bad-name', self.locations[section, name]
            ):
                yield name, value

    # Values

    def _check_pattern(
        self,
        pattern: re.Pattern[str],
        text: str,
        code: str,
        location: SourceLocation,
    ) -> bool:
        if pattern.fullmatch(text):
            return True
        rule = (
            'lower-case letters, digits and hyphens, starting with a '
            'letter, at most 63 characters'
            if pattern is _NAME
            else 'letters, digits, ".", "_" and "-", starting with a letter '
            'or digit, at most 63 characters'
        )
        self.add(
            code,
            f'{quote_value(text)} is not valid; allowed are {rule}',
            location,
        )
        return False

    def _string(self, node: _Node | None, path: tuple[str, ...]) -> str | None:
        if node is None:
            return None
        if node.kind != 'scalar' or node.is_null:
            kind = 'empty' if node.is_null else f'a {node.kind}'
            self.add(
                'wrong-type',
                f'{path[-1]} must be a string, but is {kind}',
                node.location,
            )
            return None
        return node.text

    def _name(self, node: _Node | None, path: tuple[str, ...]) -> str | None:
        text = self._string(node, path)
        if text is None or node is None:
            return None
        valid = self._check_pattern(_NAME, text, 'bad-name', node.location)
        return text if valid else None

    def _version(
        self, node: _Node | None, path: tuple[str, ...]
    ) -> str | None:
        text = self._string(node, path)
        if text is None or node is None:
            return None
        valid = self._check_pattern(
            _VERSION, text, 'bad-version', node.location
        )
        return text if valid else None

    def _list(
        self,
        node: _Node | None,
        path: tuple[str, ...],
        read: Callable[[_Node | None, tuple[str, ...]], str | None],
    ) -> tuple[str, ...]:
        if node is None:
            return ()
        if node.kind != 'list':
            self.add(
                'wrong-type',
                f'{path[-1]} must be a list, for example '
                f'[first, second], not a {node.kind}',
                node.location,
            )
            return ()
        result: list[str] = []
        for item in node.items:
            text = read(item, path)
            if text is None:
                continue
            if text in result:
                self.add(
                    'duplicate-item',
                    f'{quote_value(text)} is listed more than once in '
                    f'{path[-1]}',
                    item.location,
                )
                continue
            self.locations[*path, text] = item.location
            result.append(text)
        return tuple(result)

    def _duration(
        self,
        node: _Node | None,
        path: tuple[str, ...],
        default: float,
        lowest: float,
        highest: float,
    ) -> float:
        text = self._string(node, path)
        if text is None or node is None:
            return default
        value = parse_duration(text)
        if value is None:
            self.add(
                'bad-duration',
                f'{quote_value(text)} is not a duration; write a number '
                f'and one of {", ".join(DURATION_UNITS)}, for example 500ms '
                'or 90s',
                node.location,
            )
            return default
        if not lowest <= value <= highest:
            self.add(
                'bad-duration',
                f'{path[-1]} {text} is out of range: {lowest:g}s to '
                f'{highest:g}s',
                node.location,
            )
            return default
        return value

    def _number(
        self,
        node: _Node | None,
        path: tuple[str, ...],
        pattern: re.Pattern[str],
        highest: float,
    ) -> float | None:
        text = self._string(node, path)
        if text is None or node is None:
            return None
        if pattern.fullmatch(text) and float(text) <= highest:
            return float(text)
        kind = 'an integer' if pattern is _INTEGER else 'a number'
        self.add(
            'bad-number',
            f'{path[-1]} {quote_value(text)} is not {kind} from 0 to '
            f'{highest:g}',
            node.location,
        )
        return None

    def _boolean(self, node: _Node | None, path: tuple[str, ...]) -> bool:
        text = self._string(node, path)
        if text is None or node is None:
            return False
        if text not in ('true', 'false'):
            self.add(
                'bad-boolean',
                f'{path[-1]} must be true or false, but is '
                f'{quote_value(text)}',
                node.location,
            )
        return text == 'true'

    def _timestamp(
        self, node: _Node | None, path: tuple[str, ...]
    ) -> float | None:
        text = self._string(node, path)
        if text is None or node is None:
            return None
        try:
            if not _DATE.fullmatch(text):
                raise ValueError
            return datetime.datetime.fromisoformat(text).timestamp()
        except (ValueError, OverflowError):
            self.add(
                'bad-date',
                f'{quote_value(text)} is not a date with time and time zone; '
                'write for example 2026-12-05T06:00:00Z',
                node.location,
            )
            return None

    def _host(self, node: _Node | None, path: tuple[str, ...]) -> str | None:
        text = self._string(node, path)
        if text is None or node is None:
            return None
        host = text.lower()
        labels = host.split('.')
        if len(host) > 253 or not all(map(_LABEL.fullmatch, labels)):
            self.add(
                'bad-host',
                f'{quote_value(text)} is not a host name; write it without '
                'scheme, port, path or wildcard, for example plans.example',
                node.location,
            )
            return None
        return host

    def _path(self, node: _Node | None, path: tuple[str, ...]) -> str | None:
        text = self._string(node, path)
        if text is None or node is None:
            return None
        dots = {'.', '..'}.intersection(text.split('/'))
        if (
            not text.startswith('/')
            or len(text) > 1024
            or dots
            or not _PATH.fullmatch(text)
        ):
            self.add(
                'bad-path',
                f'{quote_value(text)} is not a path prefix; it must start '
                'with "/", have no empty, "." or ".." segments and no query, '
                'have other characters percent-encoded (%XX) and be at most '
                '1024 characters long',
                node.location,
            )
            return None
        return text.rstrip('/') or '/'

    def _method(self, node: _Node | None, path: tuple[str, ...]) -> str | None:
        text = self._string(node, path)
        if text is None or node is None:
            return None
        if text not in METHODS:
            self.add(
                'unknown-method',
                f'unknown method {quote_value(text)}; valid methods: '
                f'{", ".join(METHODS)}',
                node.location,
            )
            return None
        return text

    # Entries

    def _service(self, name: str, node: _Node) -> _model.Service:
        path = ('services', name)
        allowed_keys = ('versions', 'current', 'depends_on')
        keys = self._read_keys(node, path, allowed_keys, ('versions',)) or {}
        versions_node = keys.get('versions')
        key_path = (*path, 'versions')
        versions = self._list(versions_node, key_path, self._version)
        if (
            versions_node is not None
            and versions_node.kind == 'list'
            and not versions_node.items
        ):
            self.add(
                'no-versions',
                f'service {name} has no versions',
                versions_node.location,
            )
        key_path = (*path, 'current')
        current = self._version(keys.get('current'), key_path)
        if current is not None and versions and current not in versions:
            self.add(
                'unknown-version',
                f'current version {quote_value(current)} of service {name} is '
                f'not one of its versions: {", ".join(versions)}',
                keys['current'].location,
            )
        key_path = (*path, 'depends_on')
        depends_on = self._list(keys.get('depends_on'), key_path, self._name)
        return _model.Service(
            name,
            versions,
            current or (versions[0] if versions else ''),
            tuple(sorted(depends_on)),
        )

    def _route(self, name: str, node: _Node) -> _model.Route | None:
        path = ('routes', name)
        required = ('host', 'path', 'service')
        allowed_keys = (*required, 'timeout', 'idempotent_methods', 'public')
        keys = self._read_keys(node, path, allowed_keys, required) or {}
        host = self._host(keys.get('host'), (*path, 'host'))
        prefix = self._path(keys.get('path'), (*path, 'path'))
        service = self._name(keys.get('service'), (*path, 'service'))
        timeout_s = self._duration(
            keys.get('timeout'), (*path, 'timeout'), 10.0, 0.001, MAX_TIMEOUT_S
        )
        methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
        if 'idempotent_methods' in keys:
            key_path = (*path, 'idempotent_methods')
            listed_methods = self._list(
                keys['idempotent_methods'], key_path, self._method
            )
            methods = tuple(sorted(listed_methods))
        public = self._boolean(keys.get('public'), (*path, 'public'))
        if host is None or prefix is None or service is None:
            return None
        return _model.Route(
            name, host, prefix, service, timeout_s, methods, public=public
        )

    def _tenant(self, name: str, node: _Node) -> _model.Tenant:
        path = ('tenants', name)
        allowed_keys = ('keys', 'priority', 'rate_per_s', 'burst')
        keys = self._read_keys(node, path, allowed_keys, ('keys',)) or {}
        digests = self._key_digests(name, keys.get('keys'))
        priority = self._number(
            keys.get('priority'), (*path, 'priority'), _INTEGER, MAX_PRIORITY
        )
        rate_per_s = self._number(
            keys.get('rate_per_s'), (*path, 'rate_per_s'), _DECIMAL, MAX_RATE
        )
        burst = self._number(
            keys.get('burst'), (*path, 'burst'), _DECIMAL, MAX_RATE
        )
        return _model.Tenant(
            name,
            digests,
            None if priority is None else int(priority),
            rate_per_s or 0.0,
            burst or 0.0,
        )

    def _key_digests(self, name: str, node: _Node | None) -> tuple[str, ...]:
        """Return the digests of the keys, which no finding contains."""
        if node is None:
            return ()
        if node.kind != 'list' or not node.items:
            self.add(
                'no-keys',
                f'keys of tenant {name} must be a list of at least one key',
                node.location,
            )
            return ()
        digests: set[str] = set()
        for item in node.items:
            if item.kind != 'scalar' or not _KEY.fullmatch(item.text):
                self.add(
                    'bad-key',
                    f'a key of tenant {name} is not valid; allowed are 8 to '
                    '256 visible characters of ASCII',
                    item.location,
                )
                continue
            digest = _model.digest(item.text.encode())
            if digest in digests:
                self.add(
                    'duplicate-item',
                    f'a key of tenant {name} is listed more than once',
                    item.location,
                )
            digests.add(digest)
            self.locations['tenants', name, 'keys', digest] = item.location
        return tuple(sorted(digests))

    def _move(
        self, department: str, name: str, node: _Node
    ) -> _model.MoveSpec | None:
        path = ('moves', name)
        required = ('service', 'from', 'to')
        allowed_keys = (*required, 'deadline', 'within', 'soak')
        keys = self._read_keys(node, path, allowed_keys, required) or {}
        service = self._name(keys.get('service'), (*path, 'service'))
        from_version = self._version(keys.get('from'), (*path, 'from'))
        to_version = self._version(keys.get('to'), (*path, 'to'))
        if from_version is not None and from_version == to_version:
            self.add(
                'same-version',
                f'move {name} has version {from_version} as both from and to',
                keys['to'].location,
            )
        soak_s = self._duration(
            keys.get('soak'), (*path, 'soak'), 10.0, 0.0, MAX_SOAK_S
        )
        deadline = self._deadline(department, name, node, keys)
        if (
            None in (service, from_version, to_version)
            or deadline is None
            or from_version == to_version
        ):
            return None
        return _model.MoveSpec(
            f'{department}/{name}',
            service or '',
            from_version or '',
            to_version or '',
            deadline,
            soak_s,
        )

    def _deadline(
        self,
        department: str,
        name: str,
        node: _Node,
        keys: Mapping[str, _Node],
    ) -> float | None:
        path = ('moves', name)
        if ('deadline' in keys) == ('within' in keys):
            location = (
                keys['within'].location if 'within' in keys else node.location
            )
            self.add(
                'move-deadline',
                f'move {name} needs exactly one of the keys deadline and '
                'within',
                location,
            )
            return None
        if 'deadline' in keys:
            return self._timestamp(keys['deadline'], (*path, 'deadline'))
        previous_count = len(self.findings)
        seconds = self._duration(
            keys['within'], (*path, 'within'), 0.0, 1.0, MAX_WITHIN_S
        )
        if len(self.findings) > previous_count:
            return None
        self.within[f'{department}/{name}'] = seconds
        return self._now + seconds


def _sorted_by_name(items: Iterable[_Named]) -> tuple[_Named, ...]:
    return tuple(sorted(items, key=lambda item: item.name))


def _limit_findings(
    findings: list[Finding], source: str
) -> tuple[Finding, ...]:
    result = sorted_findings(findings)
    if len(result) <= MAX_FINDINGS:
        return result
    omitted = len(result) - MAX_FINDINGS
    summary = Finding(
        'more-findings',
        f'{omitted} more findings are not listed',
        SourceLocation(source),
    )
    return (*result[:MAX_FINDINGS], summary)


def read_text(text: str, source: str, now: float) -> ParsedText:
    """Read a text as far as possible and collect its faults.

    Parameters
    ----------
    text : str
        The operator's text.
    source : str
        Name of the text in findings.
    now : float
        Unix time in seconds to which ``within`` is relative.

    Returns
    -------
    ParsedText
        The result, with every fault in its `findings`.
    """
    data = text.encode(errors='surrogatepass')
    reader = _Reader(source, now)
    fragment = None
    if len(data) > MAX_TEXT_BYTES:
        reader.add(
            'too-large',
            f'the text has {len(data)} bytes; at most {MAX_TEXT_BYTES} are '
            'accepted',
            SourceLocation(source, 1, 1),
        )
    else:
        try:
            root = _compose(text, source)
            if root is None or root.is_null:
                raise _FatalFindingError(
                    Finding(
                        'empty',
                        'the text is empty',
                        SourceLocation(source, 1, 1),
                    )
                )
            fragment = reader.read(root)
        except _FatalFindingError as error:
            reader.findings.append(error.finding)
        except YAMLError as error:
            reader.findings.append(_syntax_finding(error, text, source))
        except (ValueError, OverflowError) as error:
            # The YAML scanner does not validate the code points of escapes
            # such as ``\\U``.
            reader.add('syntax', str(error), SourceLocation(source, 1, 1))
    return ParsedText(
        fragment or _model.Fragment(''),
        _limit_findings(reader.findings, source),
        reader.within,
        fragment is not None,
        source,
        hashlib.sha256(data).hexdigest(),
        reader.locations,
    )


def parse_text(text: str, source: str, now: float) -> ParsedText:
    """Read a text and raise an error if it has faults of its own.

    The parameters are those of `read_text`. The text is not checked against
    the texts of other departments.

    Raises
    ------
    InvalidTextError
        With all findings.
    """
    parsed = read_text(text, source, now)
    if parsed.findings:
        raise InvalidTextError(parsed.findings)
    return parsed
