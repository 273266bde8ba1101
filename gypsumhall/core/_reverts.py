"""Set of the reverted moves that a daemon knows."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from gypsumhall.net._messages import Revert
from gypsumhall.net._messages import Reverts

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from gypsumhall.core._snapshot import Snapshot

# A revert can precede the installation of the version that introduces its
# move. When no sender states such a version, the revert is kept for this many
# versions.
_UNKNOWN_MOVE_VERSIONS = 64


def _hash(move: str) -> int:
    return int.from_bytes(
        hashlib.blake2b(move.encode(), digest_size=8).digest()
    )


def _contains_move(snapshot: Snapshot, move: str) -> bool:
    return move in snapshot.head.moves or any(
        spec.id == move
        for fragment in snapshot.fragments.values()
        for spec in fragment.moves
    )


class RevertSet:
    """Set of reverts, merged by union: a reverted move stays reverted.

    For every revert the set stores a configuration version by which the
    move existed. A configuration at this version or above without the move
    proves that the move was removed, which is the only reason to drop its
    revert. A configuration below it may not contain the move yet.
    """

    __slots__ = ('_digest', '_reverts', '_versions')

    def __init__(self) -> None:
        self._reverts: dict[str, Revert] = {}
        self._versions: dict[str, int] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """Digest of the ids, 64 bits, independent of their order."""
        return self._digest

    @property
    def reverts(self) -> Mapping[str, Revert]:
        """Reverts by move id."""
        return self._reverts

    def message(
        self, reverts: Iterable[Revert], installed: int, root: str = ''
    ) -> Reverts:
        """Return the message that carries reverts of this set."""
        chosen = tuple(reverts)
        versions = [self._versions.get(item.move, 0) for item in chosen]
        return Reverts(chosen, version=max([installed, *versions]), root=root)

    def add_local(self, revert: Revert, snapshot: Snapshot) -> bool:
        """Add a revert decided on this daemon; return False if present."""
        version = snapshot.version
        if not _contains_move(snapshot, revert.move):
            version += _UNKNOWN_MOVE_VERSIONS
        return bool(self.merge((revert,), version, snapshot))

    def merge(
        self, reverts: Iterable[Revert], version: int, snapshot: Snapshot
    ) -> tuple[Revert, ...]:
        """Add reverts and return the new ones.

        Parameters
        ----------
        reverts : iterable of Revert
            Reverts from another daemon.
        version : int
            Configuration version by which their moves existed.
        snapshot : Snapshot
            Installed configuration.
        """
        added = []
        for revert in reverts:
            move = revert.move
            if move in self._reverts:
                self._versions[move] = min(self._versions[move], version)
            elif snapshot.version < version or _contains_move(snapshot, move):
                self._reverts[move] = revert
                self._versions[move] = version
                self._digest ^= _hash(move)
                added.append(revert)
        return tuple(added)

    def prune(self, snapshot: Snapshot) -> tuple[str, ...]:
        """Drop and return the moves that an installed version removed."""
        removed = tuple(
            move
            for move, version in self._versions.items()
            if version <= snapshot.version
            and not _contains_move(snapshot, move)
        )
        for move in removed:
            del self._reverts[move]
            del self._versions[move]
            self._digest ^= _hash(move)
        return removed
