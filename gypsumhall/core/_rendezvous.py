"""Rendezvous hashing: members agree on the owner of a key without messages."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumhall.core._member import Member


def weight(scope: str, key: str, member_id: str) -> bytes:
    """Return the claim of a member to a key; the highest claim wins."""
    text = f'{scope}\0{key}\0{member_id}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def rank(scope: str, key: str, members: Iterable[Member]) -> list[Member]:
    """Return members in the order of their claim to a key.

    Parameters
    ----------
    scope, key : str
        Keys of different scopes have independent orders.
    members : iterable of Member
        Candidates.
    """
    return sorted(
        members,
        key=lambda member: (weight(scope, key, member.id), member.id),
        reverse=True,
    )
