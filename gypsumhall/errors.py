"""Exceptions with error codes, and findings with a source location."""

from gypsumhall._errors import Finding
from gypsumhall._errors import FindingsError
from gypsumhall._errors import GypsumhallError
from gypsumhall._errors import InvalidTextError
from gypsumhall._errors import InvalidUpdateError
from gypsumhall._errors import MalformedDataError
from gypsumhall._errors import PeerError
from gypsumhall._errors import PeerLostError
from gypsumhall._errors import PeerProtocolError
from gypsumhall._errors import PeerUnreachableError
from gypsumhall._errors import SettingsError
from gypsumhall._errors import SourceLocation
from gypsumhall._errors import StoreCompactedError
from gypsumhall._errors import StoreError
from gypsumhall._errors import StoreProtocolError
from gypsumhall._errors import StoreUnavailableError
from gypsumhall._errors import StoreUnknownError

__all__ = [
    'Finding',
    'FindingsError',
    'GypsumhallError',
    'InvalidTextError',
    'InvalidUpdateError',
    'MalformedDataError',
    'PeerError',
    'PeerLostError',
    'PeerProtocolError',
    'PeerUnreachableError',
    'SourceLocation',
    'SettingsError',
    'StoreCompactedError',
    'StoreError',
    'StoreProtocolError',
    'StoreUnavailableError',
    'StoreUnknownError',
]
