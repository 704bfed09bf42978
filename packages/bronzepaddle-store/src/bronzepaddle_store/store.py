"""The narrow interface to the platform's object API.

An object has a name, a body of at most a megabyte and a version that every
write raises by one.  A write names the version that it replaces.
"""

import dataclasses
import typing

from bronzepaddle import ids

MOST_BYTES: typing.Final = 1 << 20
"""The largest value the platform holds."""


ANY_VERSION: typing.Final = ids.ObjectVersion(-1)
"""Stands in a write for whatever version the object has, or none."""


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One version of an object."""

    version: ids.ObjectVersion
    body: bytes


class StoreError(Exception):
    """A call to the platform brought no result."""


class StoreUnavailableError(StoreError):
    """The platform can't be reached, or the call was certainly not done."""


class UnknownOutcomeError(StoreError):
    """A write may have taken effect; its answer is lost."""


class ConflictError(StoreError):
    """A write named a version that is not the newest one."""


class BudgetError(StoreUnavailableError):
    """The process has spent its calls; nothing was sent."""


class Store(typing.Protocol):
    """Versioned objects with conditional writes and watches."""

    async def get(self, name: str) -> StoredObject | None:
        """Return the newest version of an object, or None.

        Raises ``StoreUnavailableError``.
        """
        ...

    async def put(
        self, name: str, body: bytes, replaces: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Write an object if its version is still ``replaces``.

        ``ids.NO_VERSION`` makes a new object, ``ANY_VERSION`` overwrites.
        Raises ``ConflictError``, ``StoreUnavailableError`` or
        ``UnknownOutcomeError``.
        """
        ...

    async def list(self, folder: str) -> dict[str, StoredObject]:
        """Return all objects of a folder, by the last part of their name.

        Raises ``StoreUnavailableError``.
        """
        ...

    async def watch(
        self, name: str, newer_than: ids.ObjectVersion, timeout_s: float
    ) -> StoredObject | None:
        """Wait for a newer version; None when the time is over.

        Raises ``StoreUnavailableError``.
        """
        ...
