"""Rendezvous hashing: selects the owner of a key without messages."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.core._member import Member


def weight(scope: str, key: str, member_id: str) -> bytes:
    """Return the weight of a member for a key; the highest weight wins."""
    text = f'{scope}\0{key}\0{member_id}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def rank(scope: str, key: str, members: Iterable[Member]) -> list[Member]:
    """Return members by descending weight for a key.

    Parameters
    ----------
    scope, key : str
        Key, and its namespace; scopes have independent orders.
    members : iterable of Member
        Candidates.
    """
    return sorted(
        members,
        key=lambda member: (weight(scope, key, member.id), member.id),
        reverse=True,
    )
