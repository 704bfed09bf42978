"""Updates the cell object by conditional writes.

``update`` reads, changes and writes until the write took effect or the
change is not allowed any more.  The object stores the nonces of its last
writes, which shows whether a write whose response was lost took effect.
"""

import collections.abc
import dataclasses
import typing

from bronzepaddle import cells, clocks, ids

from bronzepaddle_store import store

Change: typing.TypeAlias = collections.abc.Callable[
    [cells.Cell | None], cells.Cell | None
]
"""Returns the next version for the latest one, or None to refuse."""

RETRY_S: typing.Final = 0.02
"""Pause before the retry of a write that lost a race or its response."""

MAX_TRIES: typing.Final = 60


@dataclasses.dataclass(frozen=True)
class Written:
    """The write took effect; ``now`` is its version or a later one."""

    now: cells.VersionedCell


@dataclasses.dataclass(frozen=True)
class Refused:
    """The change is not allowed on the latest version."""

    now: cells.VersionedCell | None


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The outcome is unknown, since the store did not answer.

    ``may_have_run`` tells whether a write was sent that may take effect.
    """

    may_have_run: bool
    detail: str


Outcome: typing.TypeAlias = Written | Refused | Unavailable


def object_name(name: ids.CellId) -> str:
    """Return the name of a cell's object in the store."""
    return f"cells/{name}"


async def read(
    object_store: store.Store, name: ids.CellId
) -> cells.VersionedCell | None:
    """Return the latest version of a cell.

    Raises ``StoreUnavailableError``.
    """
    found = await object_store.get(object_name(name))
    return None if found is None else versioned(found)


def versioned(found: store.StoredObject) -> cells.VersionedCell:
    """Return the cell that a stored object contains."""
    return cells.VersionedCell(found.version, cells.decode(found.body))


class UnresolvedWrites:
    """Writes whose responses were lost and that may still take effect.

    A caller that must know the outcome of a change before it continues
    passes the same object to each call of ``update``.
    """

    def __init__(self) -> None:
        self.nonces: set[str] = set()
        self.replaced_versions: set[ids.ObjectVersion] = set()

    def add(self, nonce: str, replaces: ids.ObjectVersion) -> None:
        """Record a write without a response."""
        self.nonces.add(nonce)
        self.replaced_versions.add(replaces)

    def took_effect(self, now: cells.VersionedCell | None) -> bool:
        """Tell whether a write produced ``now`` or an earlier version."""
        if now is None:
            return False
        return not self.nonces.isdisjoint(now.cell.nonces)

    def may_take_effect_on(self, now: cells.VersionedCell | None) -> bool:
        """Tell whether a write may still take effect on ``now``."""
        version = ids.NO_VERSION if now is None else now.version
        return version in self.replaced_versions


async def update(
    object_store: store.Store,
    name: ids.CellId,
    change: Change,
    clock: clocks.Clock,
    unresolved: UnresolvedWrites | None = None,
) -> Outcome:
    """Apply a change to the latest version of a cell."""
    unresolved = unresolved or UnresolvedWrites()
    for _ in range(MAX_TRIES):
        try:
            now = await read(object_store, name)
        except store.StoreUnavailableError as error:
            return Unavailable(bool(unresolved.nonces), str(error))
        if now is not None and unresolved.took_effect(now):
            return Written(now)
        changed = change(None if now is None else now.cell)
        if changed is None:
            if now is None or not unresolved.may_take_effect_on(now):
                return Refused(now)
            # A write that is still in transit could take effect on this
            # version.  Writing the same cell again makes it fail.
            await _write(object_store, name, now, now.cell, unresolved)
            continue
        written = await _write(object_store, name, now, changed, unresolved)
        if written is not None:
            return Written(written)
        await clock.sleep(RETRY_S)
    return Unavailable(
        bool(unresolved.nonces), f"gave up after {MAX_TRIES} tries"
    )


async def _write(
    object_store: store.Store,
    name: ids.CellId,
    now: cells.VersionedCell | None,
    changed: cells.Cell,
    unresolved: UnresolvedWrites,
) -> cells.VersionedCell | None:
    """Write once; return None if the latest version must be read again."""
    nonce = ids.new_id()
    stamped = cells.add_nonce(changed, nonce)
    replaces = ids.NO_VERSION if now is None else now.version
    try:
        version = await object_store.put(
            object_name(name), cells.encode(stamped), replaces
        )
    except store.UnknownOutcomeError:
        unresolved.add(nonce, replaces)
        return None
    except store.StoreError:
        return None
    return cells.VersionedCell(version, stamped)
