"""Changes the cell object by a conditional write, whatever becomes of it.

``update`` reads, changes and writes until the write took effect or the
change is not allowed any more.  A write whose answer is lost is found again
by its nonce, which the object keeps.
"""

import collections.abc
import dataclasses
import typing

from bronzepaddle import cells, clocks, ids

from bronzepaddle_platform import store

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

    now: cells.Versioned


@dataclasses.dataclass(frozen=True)
class Refused:
    """The change is not allowed on the newest version."""

    now: cells.Versioned | None


@dataclasses.dataclass(frozen=True)
class Unreached:
    """The store gave no answer; ``may_have_run`` if a write was sent."""

    may_have_run: bool
    detail: str


Outcome: typing.TypeAlias = Written | Refused | Unreached


def object_name(name: ids.CellId) -> str:
    """Return the name of a cell's object in the store."""
    return f"cells/{name}"


async def read(
    objects: store.Store, name: ids.CellId
) -> cells.Versioned | None:
    """Return the newest version of a cell; raises ``StoreDownError``."""
    found = await objects.get(object_name(name))
    return None if found is None else versioned(found)


def versioned(found: store.StoredObject) -> cells.Versioned:
    """Return the cell in a stored object."""
    return cells.Versioned(found.version, cells.decode(found.body))


async def update(
    objects: store.Store,
    name: ids.CellId,
    change: Change,
    time: clocks.Clock,
) -> Outcome:
    """Apply a change to the newest version of a cell."""
    nonces: list[str] = []
    for _ in range(MOST_TRIES):
        try:
            now = await read(objects, name)
        except store.StoreDownError as error:
            return Unreached(bool(nonces), str(error))
        if now is not None and not set(nonces).isdisjoint(now.cell.nonces):
            return Written(now)
        changed = change(None if now is None else now.cell)
        if changed is None:
            return Refused(now)
        nonces.append(ids.new_id())
        written = await _write(objects, name, now, changed, nonces[-1])
        if written is not None:
            return Written(written)
        await time.sleep(RETRY_S)
    return Unreached(bool(nonces), f"gave up after {MOST_TRIES} tries")


async def _write(
    objects: store.Store,
    name: ids.CellId,
    now: cells.Versioned | None,
    changed: cells.Cell,
    nonce: str,
) -> cells.Versioned | None:
    """Write once; None when the newest version must be looked at again."""
    stamped = cells.stamped(changed, nonce)
    replaces = ids.NO_VERSION if now is None else now.version
    try:
        version = await objects.put(
            object_name(name), cells.encode(stamped), replaces
        )
    except store.StoreError:
        # A conflict, or an outcome that only reading back can tell.
        return None
    return cells.Versioned(version, stamped)
