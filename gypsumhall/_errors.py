"""Exceptions with error codes, and findings with a source location."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
import os
from typing import ClassVar
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


@dataclass(slots=True, frozen=True)
class SourceLocation:
    """A position in a configuration text or in the settings.

    Parameters
    ----------
    source : str
        Name of the text, flag or environment variable.
    line, column : int
        Position in the text, both counted from 1; 0 when unknown.
    """

    source: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        if not self.line:
            return self.source
        return f'{self.source}:{self.line}:{self.column}'


@dataclass(slots=True, frozen=True)
class Finding:
    """One error in a configuration text or in the settings.

    Parameters
    ----------
    code : str
        Stable identifier, for example ``unknown-key``.
    message : str
        What is wrong, with the value and the valid choices.
    location : SourceLocation
        Position of the error.
    """

    code: str
    message: str
    location: SourceLocation

    def __str__(self) -> str:
        return f'{self.location}: {self.code}: {self.message}'


class GypsumhallError(Exception):
    """Base class of all errors raised by this package."""

    code: ClassVar[str] = 'internal'


def finding_fields(finding: Finding) -> dict[str, object]:
    """Return a finding as JSON fields."""
    return {
        'code': finding.code,
        'message': finding.message,
        'source': finding.location.source,
        'line': finding.location.line,
        'column': finding.location.column,
    }


class FindingsError(GypsumhallError):
    """Several errors, collected and reported together."""

    code = 'invalid'

    def __init__(self, findings: Iterable[Finding]) -> None:
        self._findings = tuple(findings)
        super().__init__('\n'.join(str(item) for item in self._findings))

    @property
    def findings(self) -> tuple[Finding, ...]:
        """The findings, ordered by location."""
        return self._findings


class InvalidTextError(FindingsError):
    """A configuration text that is rejected."""

    code = 'invalid-text'


class SettingsError(FindingsError):
    """Settings that are missing or invalid."""

    code = 'invalid-settings'


class AddressError(GypsumhallError, OSError):
    """A listen address that cannot be bound."""

    code = 'address'


@contextmanager
def translate_listen_errors(address: str) -> Iterator[None]:
    """Raise errors that name the address when opening its listener fails.

    Raises
    ------
    AddressError
        Instead of an `OSError`, whose text does not name the address.
    """
    try:
        yield
    except (OSError, BaseExceptionGroup) as error:
        cause = first_leaf_error(error)
        if not isinstance(cause, OSError):
            raise
        # Some libraries include the address in their error text, so the text
        # of the error number is used where there is one.
        number = cause.errno or 0
        reason = os.strerror(number) if number > 0 else str(cause)
        raise AddressError(f'cannot listen at {address!r}: {reason}') from None


def first_leaf_error(error: BaseException) -> BaseException:
    """Return the first leaf of nested exception groups, or the error."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


class MalformedDataError(GypsumhallError):
    """Data of another process that cannot be decoded or is out of range."""

    code = 'malformed-data'


class InvalidUpdateError(GypsumhallError):
    """A configuration update that fails validation; it was not applied."""

    code = 'invalid-update'


class StoreError(GypsumhallError):
    """Base class of the errors of the platform's key-value service."""

    code = 'store'


class StoreUnavailableError(StoreError):
    """The key-value service did not execute the request."""

    code = 'store-unavailable'


class StoreUnknownError(StoreError):
    """The request may have been executed; the response is missing."""

    code = 'store-unknown'


class StoreCompactedError(StoreError):
    """The requested revision has been compacted."""

    code = 'store-compacted'


class StoreProtocolError(StoreError):
    """The key-value service sent a response that violates its protocol."""

    code = 'store-protocol'


class PeerError(GypsumhallError):
    """Base class of the errors of streams between daemons."""

    code = 'peer'


class PeerUnreachableError(PeerError):
    """No stream could be opened; the message was not sent."""

    code = 'peer-unreachable'


class PeerLostError(PeerError):
    """The stream was closed or timed out after the message was sent."""

    code = 'peer-lost'


class PeerProtocolError(PeerError):
    """A malformed or oversized frame, or a failed handshake."""

    code = 'peer-protocol'
