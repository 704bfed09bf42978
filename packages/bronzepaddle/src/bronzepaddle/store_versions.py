"""Versions of objects in the platform's store, ordered across its eras.

The store may come back from a copy that lacks its last writes.  Its revisions
then go back and are assigned again, so a revision identifies a state of the
store only together with the era: the number of times that it has come back
from a copy.  A store that reports no era stays in era 0.
"""

import dataclasses
import typing

from bronzepaddle import ids


@dataclasses.dataclass(frozen=True, order=True)
class StoreVersion:
    """A revision in one era; any version of a later era is newer."""

    era: ids.StoreEra
    revision: ids.ObjectVersion


NO_VERSION: typing.Final = StoreVersion(ids.FIRST_ERA, ids.NO_VERSION)
"""Version of an object that does not exist."""


def of_first_era(revision: ids.ObjectVersion) -> StoreVersion:
    """Return the version of a revision in a store that reports no era."""
    return StoreVersion(ids.FIRST_ERA, revision)
