"""Deltas between configuration versions.

A delta names only the entries that differ from its base. Its result is
checked by digest, so a delta that was applied to the wrong base or damaged
is noticed before anything is installed.
"""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from gypsumhall.core import _model
from gypsumhall.core._snapshot import CorruptUpdateError
from gypsumhall.net._messages import FragmentPatch
from gypsumhall.net._messages import HeadRemovals
from gypsumhall.net._messages import Update

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from gypsumhall.core._snapshot import Snapshot

V = TypeVar('V')

# Peer frames carry at most 1 MiB + 64 KiB, and the platform stores a head or
# a fragment of up to 1 MB, so a part of this size plus one such value fits
# only if the value is sent alone.
PART_BYTES = 512 * 1024

_NAME = attrgetter('name')
_ID = attrgetter('id')


@dataclass(slots=True, frozen=True)
class Base:
    """A configuration version from which deltas can start.

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
        """Return the base that a snapshot provides."""
        return cls(snapshot.digest, snapshot.head, snapshot.fragments)


def _diff_map(
    old: Mapping[str, V], new: Mapping[str, V]
) -> tuple[dict[str, V], tuple[str, ...]]:
    if old is new:
        return {}, ()
    changed = {
        key: value
        for key, value in new.items()
        if (held := old.get(key)) is not value and held != value
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
    # Encodings are compared, because equal entries can differ in whether a
    # field that has the default's value is written out.
    held = {key(item): item for item in old}
    changed = []
    for item in new:
        before = held.pop(key(item), None)
        if before is not item and (
            before is None or _model.encode(before) != _model.encode(item)
        ):
            changed.append(item)
    return tuple(changed), tuple(held)


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
    """Return the patch that leads from one fragment to another.

    None is returned when a patch cannot express the difference, because
    the entries are not sorted or a name occurs twice.
    """
    services, gone_services = _diff_items(old.services, new.services, _NAME)
    routes, gone_routes = _diff_items(old.routes, new.routes, _NAME)
    moves, gone_moves = _diff_items(old.moves, new.moves, _ID)
    patch = FragmentPatch(
        new.department,
        services,
        routes,
        moves,
        gone_services,
        gone_routes,
        gone_moves,
    )
    if _model.encode(patch_fragment(old, patch)) != _model.encode(new):
        return None
    return patch


def patch_fragment(
    old: _model.Fragment, patch: FragmentPatch
) -> _model.Fragment:
    """Return the fragment that a patch leads to."""
    return _model.Fragment(
        patch.department,
        _patch_items(
            old.services, patch.services, patch.removed_services, _NAME
        ),
        _patch_items(old.routes, patch.routes, patch.removed_routes, _NAME),
        _patch_items(old.moves, patch.moves, patch.removed_moves, _ID),
    )


def diff(base: Base, target: Base) -> Update:
    """Return the delta from one version to a later one."""
    old, new = base.head, target.head
    departments, gone_departments = _diff_map(old.departments, new.departments)
    moves, gone_moves = _diff_map(old.moves, new.moves)
    current, gone_current = _diff_map(old.current, new.current)
    submissions, gone_submissions = _diff_map(old.submissions, new.submissions)
    fragments = []
    patches = []
    for name, ref in departments.items():
        held = old.departments.get(name)
        if held is not None and held.fragment == ref.fragment:
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
            gone_departments, gone_moves, gone_current, gone_submissions
        ),
        patches=tuple(patches),
    )


def resolve(
    update: Update, base: Base | None
) -> tuple[_model.Head, tuple[_model.Fragment, ...]]:
    """Return the head and all fragments that an update leads to.

    The caller checks the fragments against the digests in the head.

    Parameters
    ----------
    update : Update
        Whole configuration or delta, in one part.
    base : Base or None
        The base of a delta.

    Raises
    ------
    CorruptUpdateError
        When the result does not have the digest that the update names.
    """
    if not update.base:
        head, fragments = update.head, update.fragments
    else:
        if base is None or base.digest != update.base_digest:
            raise CorruptUpdateError(
                f'delta to version {update.head.version} starts from '
                f'version {update.base} with digest '
                f'{update.base_digest!r}, which is not held'
            )
        head = _patch_head(base.head, update)
        changed = {item.department: item for item in update.fragments}
        for patch in update.patches:
            changed[patch.department] = _patched(patch, base)
        kept = (
            fragment
            for name, fragment in base.fragments.items()
            if name in head.departments and name not in changed
        )
        fragments = (*kept, *changed.values())
    found = _model.digest(_model.encode(head))[:16]
    if found != update.digest and (update.base or update.digest):
        raise CorruptUpdateError(
            f'update to version {head.version} leads to digest {found}, '
            f'expected {update.digest!r}'
        )
    return head, fragments


def _patched(patch: FragmentPatch, base: Base) -> _model.Fragment:
    fragment = base.fragments.get(patch.department)
    if fragment is None:
        raise CorruptUpdateError(
            f'patch of department {patch.department!r}, which is not part '
            f'of version {base.head.version}'
        )
    return patch_fragment(fragment, patch)


def _patch_head(old: _model.Head, update: Update) -> _model.Head:
    new, gone = update.head, update.removed
    return _model.Head(
        new.version,
        _patch_map(old.departments, new.departments, gone.departments),
        _patch_map(old.moves, new.moves, gone.moves),
        _patch_map(old.current, new.current, gone.current),
        _patch_map(old.submissions, new.submissions, gone.submissions),
    )


def whole(target: Base) -> Update:
    """Return the update that carries a whole configuration."""
    return Update(
        target.head,
        0,
        tuple(target.fragments.values()),
        digest=target.digest,
    )


def split(update: Update, limit: int = PART_BYTES) -> list[Update]:
    """Return an update as parts that each fit into a peer frame.

    Parameters
    ----------
    update : Update
        The update.
    limit : int
        Size in bytes from which a further part is started.
    """
    fragments = update.fragments
    first = msgspec.structs.replace(update, fragments=())
    size = len(_model.encode(first))
    groups: list[list[_model.Fragment]] = [[]]
    for fragment in fragments:
        added = len(_model.encode(fragment))
        if size + added > limit:
            groups.append([])
            size = 0
        groups[-1].append(fragment)
        size += added
    rest = Update(
        _model.Head(update.head.version), update.base, (), digest=update.digest
    )
    last = len(groups) - 1
    return [
        msgspec.structs.replace(
            rest if index else first,
            fragments=tuple(group),
            more=index < last,
        )
        for index, group in enumerate(groups)
    ]


def join(parts: Sequence[Update]) -> Update:
    """Return the update that was sent in parts.

    Raises
    ------
    CorruptUpdateError
        When the parts belong to different versions or one is missing.
    """
    first = parts[0]
    for part in parts[1:]:
        if (part.head.version, part.base, part.digest) != (
            first.head.version,
            first.base,
            first.digest,
        ):
            raise CorruptUpdateError(
                f'part of version {part.head.version} follows a part of '
                f'version {first.head.version}'
            )
    if parts[-1].more:
        raise CorruptUpdateError(
            f'version {first.head.version} arrived without its last part'
        )
    return msgspec.structs.replace(
        first,
        fragments=tuple(item for part in parts for item in part.fragments),
        more=False,
    )
