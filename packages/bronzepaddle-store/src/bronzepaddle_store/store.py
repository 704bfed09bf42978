"""The interface to the platform's object store.

The platform is the environment that the software runs on.  Its object store
holds the documents that all processes share, such as the configuration and
the records of which process owns which keys.

An object has a name, a body of at most one megabyte and a version that each
write increases.  A write states the version that it replaces.  The store may
come back from a copy that lacks its last writes; a version therefore names
the era in which it was assigned (``bronzepaddle.store_versions``).
"""

import dataclasses
import typing

from bronzepaddle import ids, store_versions

if typing.TYPE_CHECKING:
    from bronzepaddle_store import eras

MAX_OBJECT_BYTES: typing.Final = 1 << 20
"""Size of the largest body that the platform stores."""


ANY_VERSION: typing.Final = store_versions.of_first_era(ids.ObjectVersion(-1))
"""Makes a write unconditional: it replaces any version or creates one."""


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One version of an object."""

    version: store_versions.StoreVersion
    body: bytes


@dataclasses.dataclass(frozen=True)
class FolderNames:
    """The names in a folder as of a version of the store."""

    version: store_versions.StoreVersion
    names: frozenset[str]


class StoreError(Exception):
    """A call to the platform failed."""


class StoreUnavailableError(StoreError):
    """The platform is unreachable or the call certainly had no effect."""


class UnknownOutcomeError(StoreError):
    """A write may have taken effect, but its response was lost."""


class ConflictError(StoreError):
    """A write should have replaced a version that is not the latest one."""


class BudgetError(StoreUnavailableError):
    """The process has used up its calls per minute; nothing was sent."""


class Store(typing.Protocol):
    """Versioned objects with conditional writes and watches.

    ``eras`` tracks the era of the store, which never falls.  A call whose
    answer is of an earlier era fails as one without an answer does.
    """

    eras: "eras.EraTracker"

    async def get(self, name: str) -> StoredObject | None:
        """Return the latest version of an object; None if it doesn't exist.

        Raises ``StoreUnavailableError``.
        """
        ...

    async def put(
        self, name: str, body: bytes, replaces: store_versions.StoreVersion
    ) -> store_versions.StoreVersion:
        """Write an object if its version is still ``replaces``.

        ``store_versions.NO_VERSION`` creates an object, ``ANY_VERSION``
        overwrites one.
        Returns the new version.  Raises ``ConflictError``,
        ``StoreUnavailableError`` or ``UnknownOutcomeError``.
        """
        ...

    async def list(self, folder: str) -> dict[str, StoredObject]:
        """Return all objects of a folder, by the last part of their name.

        Raises ``StoreUnavailableError``.
        """
        ...

    async def watch(
        self,
        name: str,
        newer_than: store_versions.StoreVersion,
        timeout_s: float,
    ) -> StoredObject | None:
        """Wait for a version newer than ``newer_than`` and return it.

        Returns None if there is none within ``timeout_s`` seconds or if the
        object doesn't exist.

        Raises ``StoreUnavailableError``.
        """
        ...
