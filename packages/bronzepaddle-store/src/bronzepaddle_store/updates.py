"""Changes the cell object by a conditional write, whatever becomes of it.

``update`` reads, changes and writes until the write took effect or the
change is not allowed any more.  A write whose answer is lost is found again
by its nonce, which the object keeps.
"""

import collections.abc
import dataclasses
import typing

from bronzepaddle import cells, clocks, ids

from bronzepaddle_store import store

Change: typing.TypeAlias = collections.abc.Callable[
    [cells.Cell | None], cells.Cell | None
]
"""Turns the newest version into the next, or None to leave it alone."""

RETRY_S: typing.Final = 0.02
"""Pause before a write that lost a race or its answer is tried again."""

MOST_TRIES: typing.Final = 60


@dataclasses.dataclass(frozen=True)
class Written:
    """The write took effect; ``now`` is the version it made or a later."""

    now: cells.VersionedCell


@dataclasses.dataclass(frozen=True)
class Refused:
    """The change is not allowed on the newest version."""

    now: cells.VersionedCell | None


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The store gave no answer; ``may_have_run`` if a write was sent."""

    may_have_run: bool
    detail: str


Outcome: typing.TypeAlias = Written | Refused | Unavailable


def object_name(name: ids.CellId) -> str:
    """Return the name of a cell's object in the store."""
    return f"cells/{name}"


async def read(
    objects: store.Store, name: ids.CellId
) -> cells.VersionedCell | None:
    """Return the newest version of a cell.

    Raises ``StoreUnavailableError``.
    """
    found = await objects.get(object_name(name))
    return None if found is None else versioned(found)


def versioned(found: store.StoredObject) -> cells.VersionedCell:
    """Return the cell in a stored object."""
    return cells.VersionedCell(found.version, cells.decode(found.body))


class UnresolvedWrites:
    """Writes whose answers were lost and that may yet take effect.

    Kept by a caller that must know what became of a change before it goes
    on, over as many calls of ``update`` as that takes.
    """

    def __init__(self) -> None:
        self.nonces: set[str] = set()
        self.replaced: set[ids.ObjectVersion] = set()

    def add(self, nonce: str, replaces: ids.ObjectVersion) -> None:
        """Note a write with no answer."""
        self.nonces.add(nonce)
        self.replaced.add(replaces)

    def took_effect(self, now: cells.VersionedCell | None) -> bool:
        """Tell whether one of the writes made ``now`` or one before it."""
        if now is None:
            return False
        return not self.nonces.isdisjoint(now.cell.nonces)

    def may_come(self, now: cells.VersionedCell | None) -> bool:
        """Tell whether a write may still take effect on ``now``."""
        version = ids.NO_VERSION if now is None else now.version
        return version in self.replaced


async def update(
    objects: store.Store,
    name: ids.CellId,
    change: Change,
    time: clocks.Clock,
    lost: UnresolvedWrites | None = None,
) -> Outcome:
    """Apply a change to the newest version of a cell."""
    lost = lost or UnresolvedWrites()
    for _ in range(MOST_TRIES):
        try:
            now = await read(objects, name)
        except store.StoreUnavailableError as error:
            return Unavailable(bool(lost.nonces), str(error))
        if now is not None and lost.took_effect(now):
            return Written(now)
        changed = change(None if now is None else now.cell)
        if changed is None:
            if now is None or not lost.may_come(now):
                return Refused(now)
            # A write that is still on its way would take effect on this
            # version: the same cell written again makes it fail.
            await _write(objects, name, now, now.cell, lost)
            continue
        written = await _write(objects, name, now, changed, lost)
        if written is not None:
            return Written(written)
        await time.sleep(RETRY_S)
    return Unavailable(bool(lost.nonces), f"gave up after {MOST_TRIES} tries")


async def _write(
    objects: store.Store,
    name: ids.CellId,
    now: cells.VersionedCell | None,
    changed: cells.Cell,
    lost: UnresolvedWrites,
) -> cells.VersionedCell | None:
    """Write once; None when the newest version must be looked at again."""
    nonce = ids.new_id()
    stamped = cells.add_nonce(changed, nonce)
    replaces = ids.NO_VERSION if now is None else now.version
    try:
        version = await objects.put(
            object_name(name), cells.encode(stamped), replaces
        )
    except store.UnknownOutcomeError:
        lost.add(nonce, replaces)
        return None
    except store.StoreError:
        return None
    return cells.VersionedCell(version, stamped)
