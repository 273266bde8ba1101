"""Decoding of data that another process wrote."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from gypsumhall._errors import MalformedDataError

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar('T')

MAX_BYTES = 16 * 1024 * 1024
"""Default limit of the size of encoded data, in bytes."""

_MAX_REASON_CHARACTERS = 300

# `msgspec.MsgspecError` is a `ValueError`. Deep nesting raises
# `RecursionError`, numbers out of range may raise `OverflowError`.
_DECODING_ERRORS = (ValueError, TypeError, OverflowError, RecursionError)


def decode(
    decoder: Callable[[bytes], T],
    data: bytes,
    source: str,
    *,
    max_bytes: int = MAX_BYTES,
) -> T:
    """Decode data and raise the same error whatever is wrong with them.

    Parameters
    ----------
    decoder : callable
        Returns the value that the data encode.
    data : bytes
        Encoded data.
    source : str
        Where the data come from, for error messages.
    max_bytes : int
        Largest size of the data.

    Raises
    ------
    MalformedDataError
        When the data are too large or cannot be decoded.
    """
    try:
        if len(data) > max_bytes:
            raise ValueError(
                f'{len(data)} bytes, expected at most {max_bytes}'
            )
        return decoder(data)
    except _DECODING_ERRORS as error:
        reason = str(error)[:_MAX_REASON_CHARACTERS]
        raise MalformedDataError(f'{source}: {reason}') from error
