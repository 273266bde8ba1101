"""Deltas between configuration versions.

A delta contains only the entries that differ from its base. The digest of
its result is verified before installation, which detects a corrupt delta or
one that was applied to the wrong base.
"""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar
import zlib

import msgspec

from gypsumhall._decode import decode
from gypsumhall._errors import MalformedDataError
from gypsumhall.core import _model
from gypsumhall.core._snapshot import CorruptUpdateError
from gypsumhall.net._frames import MAX_FRAME_BYTES
from gypsumhall.net._messages import FragmentPatch
from gypsumhall.net._messages import HeadRemovals
from gypsumhall.net._messages import PackedUpdate
from gypsumhall.net._messages import Update

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from gypsumhall.core._snapshot import Snapshot

Part = Update | PackedUpdate
"""Part of the reply to a pull."""

V = TypeVar('V')

# A peer frame carries at most 1 MiB + 64 KiB, and the platform stores a head
# or a fragment of up to 1 MB. Such a value fits into a frame only alone, so
# values that would exceed this size start a new part.
PART_BYTES = 512 * 1024

# A value of 1 MB is stored in a frame, or compressed to one, only alone.
MAX_UNPACKED_BYTES = MAX_FRAME_BYTES

PUSH_BYTES = 4 * 1024
"""Size of the largest update that is pushed. A daemon receives a push in the
tree of each publisher of its zone and sends each to `FAN_OUT` children, so
larger updates are announced in the trees and pulled once."""

_COMPRESSION_LEVEL = 1

_UPDATE_DECODER = msgspec.msgpack.Decoder(Update)
_NAME = attrgetter('name')
_ID = attrgetter('id')


@dataclass(slots=True, frozen=True)
class Base:
    """A configuration version that a delta can be based on.

    Parameters
    ----------
    digest : str
        Digest of the version's snapshot.
    head : Head
        Head record.
    fragments : mapping of str to Fragment
        Fragments by department.
    """

    digest: str
    head: _model.Head
    fragments: Mapping[str, _model.Fragment]

    @classmethod
    def of(cls, snapshot: Snapshot) -> Base:
        """Return a snapshot as the base of deltas."""
        return cls(snapshot.digest, snapshot.head, snapshot.fragments)


def _diff_map(
    old: Mapping[str, V], new: Mapping[str, V]
) -> tuple[dict[str, V], tuple[str, ...]]:
    if old is new:
        return {}, ()
    changed = {
        key: value
        for key, value in new.items()
        if (previous := old.get(key)) is not value and previous != value
    }
    return changed, tuple(key for key in old if key not in new)


def _patch_map(
    old: dict[str, V], changed: dict[str, V], removed: tuple[str, ...]
) -> dict[str, V]:
    if not changed and not removed:
        return old
    result = {**old, **changed}
    for key in removed:
        result.pop(key, None)
    return result


def _diff_items(
    old: Sequence[Any], new: Sequence[Any], key: Callable[[Any], str]
) -> tuple[tuple[Any, ...], tuple[str, ...]]:
    # Encodings are compared, because equal entries are encoded differently
    # when only one of them writes out a field with its default value.
    unmatched = {key(item): item for item in old}
    changed = []
    for item in new:
        previous = unmatched.pop(key(item), None)
        if previous is not item and (
            previous is None or _model.encode(previous) != _model.encode(item)
        ):
            changed.append(item)
    return tuple(changed), tuple(unmatched)


def _patch_items(
    old: Sequence[Any],
    changed: Sequence[Any],
    removed: tuple[str, ...],
    key: Callable[[Any], str],
) -> tuple[Any, ...]:
    if not changed and not removed:
        return tuple(old)
    result = _patch_map(
        {key(item): item for item in old},
        {key(item): item for item in changed},
        removed,
    )
    return tuple(sorted(result.values(), key=key))


def diff_fragment(
    old: _model.Fragment, new: _model.Fragment
) -> FragmentPatch | None:
    """Return the patch that turns one fragment into another.

    Returns None when a patch cannot express the difference, because the
    entries are not sorted or a name occurs twice.
    """
    services, removed_services = _diff_items(old.services, new.services, _NAME)
    routes, removed_routes = _diff_items(old.routes, new.routes, _NAME)
    moves, removed_moves = _diff_items(old.moves, new.moves, _ID)
    tenants, removed_tenants = _diff_items(old.tenants, new.tenants, _NAME)
    patch = FragmentPatch(
        new.department,
        services,
        routes,
        moves,
        removed_services,
        removed_routes,
        removed_moves,
        tenants,
        removed_tenants,
        new.limits,
    )
    if _model.encode(patch_fragment(old, patch)) != _model.encode(new):
        return None
    return patch


def patch_fragment(
    old: _model.Fragment, patch: FragmentPatch
) -> _model.Fragment:
    """Apply a patch to a fragment and return the result."""
    return _model.Fragment(
        patch.department,
        _patch_items(
            old.services, patch.services, patch.removed_services, _NAME
        ),
        _patch_items(old.routes, patch.routes, patch.removed_routes, _NAME),
        _patch_items(old.moves, patch.moves, patch.removed_moves, _ID),
        _patch_items(old.tenants, patch.tenants, patch.removed_tenants, _NAME),
        patch.limits,
    )


def diff(base: Base, target: Base) -> Update:
    """Return the delta from one version to a later one."""
    old, new = base.head, target.head
    departments, removed_departments = _diff_map(
        old.departments, new.departments
    )
    moves, removed_moves = _diff_map(old.moves, new.moves)
    current, removed_current = _diff_map(old.current, new.current)
    submissions, removed_submissions = _diff_map(
        old.submissions, new.submissions
    )
    fragments = []
    patches = []
    for name, ref in departments.items():
        previous = old.departments.get(name)
        if previous is not None and previous.fragment == ref.fragment:
            continue
        fragment = target.fragments[name]
        patch = None
        if name in base.fragments:
            patch = diff_fragment(base.fragments[name], fragment)
        if patch is None:
            fragments.append(fragment)
        else:
            patches.append(patch)
    return Update(
        _model.Head(new.version, departments, moves, current, submissions),
        old.version,
        tuple(fragments),
        digest=target.digest,
        base_digest=base.digest,
        removed=HeadRemovals(
            removed_departments,
            removed_moves,
            removed_current,
            removed_submissions,
        ),
        patches=tuple(patches),
    )


def resolve(
    update: Update, base: Base | None
) -> tuple[_model.Head, tuple[_model.Fragment, ...]]:
    """Return the head and all fragments that result from an update.

    The caller verifies the fragments against the digests in the head.

    Parameters
    ----------
    update : Update
        Full configuration or delta, joined from its parts.
    base : Base or None
        The base of a delta.

    Raises
    ------
    CorruptUpdateError
        When the base is not the one that the delta starts from, or the
        result does not have the digest that the update states.
    """
    if not update.base:
        head, fragments = update.head, update.fragments
    else:
        if base is None or base.digest != update.base_digest:
            raise CorruptUpdateError(
                f'delta to version {update.head.version} starts from '
                f'version {update.base} with digest '
                f'{update.base_digest!r}, which is not available'
            )
        head = _patch_head(base.head, update)
        changed = {item.department: item for item in update.fragments}
        for patch in update.patches:
            changed[patch.department] = _apply_patch(patch, base)
        unchanged = (
            fragment
            for name, fragment in base.fragments.items()
            if name in head.departments and name not in changed
        )
        fragments = (*unchanged, *changed.values())
    actual = _model.digest(_model.encode(head))[:16]
    if actual != update.digest and (update.base or update.digest):
        raise CorruptUpdateError(
            f'update to version {head.version} results in digest {actual}, '
            f'expected {update.digest!r}'
        )
    return head, fragments


def _apply_patch(patch: FragmentPatch, base: Base) -> _model.Fragment:
    fragment = base.fragments.get(patch.department)
    if fragment is None:
        raise CorruptUpdateError(
            f'patch of department {patch.department!r}, which is not part '
            f'of version {base.head.version}'
        )
    return patch_fragment(fragment, patch)


def _patch_head(old: _model.Head, update: Update) -> _model.Head:
    new, removals = update.head, update.removed
    return _model.Head(
        new.version,
        _patch_map(old.departments, new.departments, removals.departments),
        _patch_map(old.moves, new.moves, removals.moves),
        _patch_map(old.current, new.current, removals.current),
        _patch_map(old.submissions, new.submissions, removals.submissions),
    )


def full_update(target: Base) -> Update:
    """Return the update that carries a full configuration."""
    return Update(
        target.head,
        0,
        tuple(target.fragments.values()),
        digest=target.digest,
    )


def split(update: Update, limit: int = PART_BYTES) -> list[Update]:
    """Divide an update into parts that each fit into a peer frame.

    Parameters
    ----------
    update : Update
        The update.
    limit : int
        Size in bytes; a fragment that would exceed it starts a new part.
    """
    fragments = update.fragments
    first = msgspec.structs.replace(update, fragments=())
    size = len(_model.encode(first))
    groups: list[list[_model.Fragment]] = [[]]
    for fragment in fragments:
        fragment_size = len(_model.encode(fragment))
        if size + fragment_size > limit:
            groups.append([])
            size = 0
        groups[-1].append(fragment)
        size += fragment_size
    continuation = Update(
        _model.Head(update.head.version), update.base, (), digest=update.digest
    )
    last_index = len(groups) - 1
    return [
        msgspec.structs.replace(
            continuation if index else first,
            fragments=tuple(group),
            more=index < last_index,
        )
        for index, group in enumerate(groups)
    ]


def pack(update: Update) -> Part:
    """Return a part of a reply in the form in which it is sent.

    Updates that are small enough to be pushed are not compressed.
    """
    data = _model.encode(update)
    if len(data) <= PUSH_BYTES:
        return update
    return PackedUpdate(update.base, zlib.compress(data, _COMPRESSION_LEVEL))


def unpack(part: Part) -> Update:
    """Return the update that a received part contains.

    Raises
    ------
    CorruptUpdateError
        When the data is malformed, or larger than a part may be.
    """
    if isinstance(part, Update):
        return part
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(part.data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise CorruptUpdateError(f'compressed update: {error}') from error
    if not decompressor.eof or decompressor.unused_data:
        raise CorruptUpdateError(
            f'compressed update of {len(part.data)} bytes does not end '
            f'within {MAX_UNPACKED_BYTES} uncompressed bytes'
        )
    try:
        update = decode(_UPDATE_DECODER.decode, data, 'update')
    except MalformedDataError as error:
        raise CorruptUpdateError(f'malformed {error}') from error
    return msgspec.structs.replace(update, time=part.time)


def is_large(parts: Sequence[Part]) -> bool:
    """Whether a reply is larger than an update that is pushed."""
    return len(parts) > 1 or isinstance(parts[0], PackedUpdate)


def join(parts: Sequence[Part]) -> Update:
    """Join the parts of an update.

    Raises
    ------
    CorruptUpdateError
        When a part cannot be unpacked, the parts belong to different
        versions or one is missing.
    """
    first, *others = updates = [unpack(part) for part in parts]
    for part in others:
        if (part.head.version, part.base, part.digest) != (
            first.head.version,
            first.base,
            first.digest,
        ):
            raise CorruptUpdateError(
                f'part of version {part.head.version} follows a part of '
                f'version {first.head.version}'
            )
    if updates[-1].more:
        raise CorruptUpdateError(
            f'update to version {first.head.version} was received without '
            'its last part'
        )
    return msgspec.structs.replace(
        first,
        fragments=tuple(item for part in updates for item in part.fragments),
        more=False,
    )
