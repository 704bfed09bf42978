"""Updates the cell object by conditional writes.

The cell object records the members of a cell and the owners of its hash slots
(see ``bronzepaddle.cells``).  ``update`` reads, changes and writes until the
write took effect or the change is not allowed any more.  Each write adds a
nonce, a random identifier, to the object, which keeps those of its last
writes.  They show whether a write whose response was lost took effect.
"""

import collections.abc
import dataclasses
import typing

import msgspec
from bronzepaddle import cells, clocks, ids, logs, store_versions

from bronzepaddle_store import store

Change: typing.TypeAlias = collections.abc.Callable[
    [cells.Cell | None], cells.Cell | None
]
"""Returns the changed cell, or None if the change is not allowed.

Its argument is the latest version of the cell, None if there is none.
"""

RETRY_S: typing.Final = 0.02
"""Pause before the retry of a write that failed or got no response."""

MAX_TRIES: typing.Final = 60


@dataclasses.dataclass(frozen=True)
class Written:
    """The write took effect; ``latest`` is the written or a later version."""

    latest: cells.VersionedCell


@dataclasses.dataclass(frozen=True)
class Declined:
    """The change is not allowed on ``latest``, the latest version."""

    latest: cells.VersionedCell | None


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The store is unavailable, or all tries of the update have failed.

    ``may_have_run`` is set if a write was sent that may have taken effect or
    may still do so.
    """

    may_have_run: bool
    detail: str


Outcome: typing.TypeAlias = Written | Declined | Unavailable


def object_name(cell_id: ids.CellId) -> str:
    """Return the name of a cell's object in the store."""
    return f"cells/{cell_id}"


async def read(
    object_store: store.Store, cell_id: ids.CellId
) -> cells.VersionedCell | None:
    """Return the latest version of a cell; None if it doesn't exist.

    Raises ``StoreUnavailableError``.
    """
    stored = await object_store.get(object_name(cell_id))
    return None if stored is None else versioned(stored)


def versioned(stored: store.StoredObject) -> cells.VersionedCell:
    """Return the cell that a stored object contains.

    Raises ``StoreUnavailableError`` if it contains none.
    """
    try:
        cell = cells.decode(stored.body)
    except msgspec.DecodeError as error:
        logs.bad_document(
            f"cell of version {stored.version.revision}", str(error)
        )
        raise store.StoreUnavailableError(f"no cell: {error}") from error
    return cells.VersionedCell(stored.version.revision, cell)


class UnresolvedWrites:
    """Writes whose responses were lost and that may still take effect.

    Code that must not continue before the outcome of a change is certain
    passes the same object to each call of ``update``.
    """

    def __init__(self) -> None:
        self.nonces: set[str] = set()
        self.replaced_versions: set[ids.ObjectVersion] = set()

    def add(self, nonce: str, replaces: ids.ObjectVersion) -> None:
        """Record a write whose response was lost."""
        self.nonces.add(nonce)
        self.replaced_versions.add(replaces)

    def took_effect(self, latest: cells.VersionedCell | None) -> bool:
        """Return whether a write produced ``latest`` or an earlier version."""
        if latest is None:
            return False
        return not self.nonces.isdisjoint(latest.cell.nonces)

    def may_take_effect_on(self, latest: cells.VersionedCell | None) -> bool:
        """Return whether a write may still take effect on ``latest``."""
        version = ids.NO_VERSION if latest is None else latest.version
        return version in self.replaced_versions


async def update(
    object_store: store.Store,
    cell_id: ids.CellId,
    change: Change,
    clock: clocks.Clock,
    unresolved: UnresolvedWrites | None = None,
) -> Outcome:
    """Apply a change to the latest version of a cell.

    ``unresolved`` contains writes of earlier updates; those of this one are
    added.  Returns ``Unavailable`` if the store is unavailable or the change
    was not written in ``MAX_TRIES`` tries.
    """
    unresolved = unresolved or UnresolvedWrites()
    for _ in range(MAX_TRIES):
        try:
            latest = await read(object_store, cell_id)
        except store.StoreUnavailableError as error:
            return Unavailable(bool(unresolved.nonces), str(error))
        if latest is not None and unresolved.took_effect(latest):
            return Written(latest)
        changed = change(None if latest is None else latest.cell)
        if changed is None:
            if latest is None or not unresolved.may_take_effect_on(latest):
                return Declined(latest)
            # A write that is still in transit could take effect on this
            # version.  Writing the same cell again makes it fail.
            await _write(
                object_store, cell_id, latest, latest.cell, unresolved
            )
            continue
        written = await _write(
            object_store, cell_id, latest, changed, unresolved
        )
        if written is not None:
            return Written(written)
        await clock.sleep(RETRY_S)
    return Unavailable(
        bool(unresolved.nonces), f"gave up after {MAX_TRIES} tries"
    )


async def _write(
    object_store: store.Store,
    cell_id: ids.CellId,
    latest: cells.VersionedCell | None,
    cell: cells.Cell,
    unresolved: UnresolvedWrites,
) -> cells.VersionedCell | None:
    """Write a cell once and return the written version.

    Returns None if the write failed or its outcome is unknown, so that the
    latest version must be read again.
    """
    nonce = ids.new_id()
    stamped = cells.add_nonce(cell, nonce)
    replaces = ids.NO_VERSION if latest is None else latest.version
    try:
        version = await object_store.put(
            object_name(cell_id),
            cells.encode(stamped),
            store_versions.of_first_era(replaces),
        )
    except store.UnknownOutcomeError:
        unresolved.add(nonce, replaces)
        return None
    except store.StoreError:
        return None
    return cells.VersionedCell(version.revision, stamped)
