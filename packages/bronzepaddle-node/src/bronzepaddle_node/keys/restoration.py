"""Decides when the ownership object may be restored after a new store era.

The object has to be restored while its content is of an earlier era than the
store: when the store has come back from a copy, or when a late write of an
earlier era has replaced what was restored.  Such a version renews no lease.
So once the object has stood at one such version for as long as the longest
lease, no member holds a lease any more, and a write that replaces just this
version may assign all keys anew.  ``docs/design/0011-store-eras.md`` says why
nothing else shows this.
"""

import dataclasses
import typing

from bronzepaddle import key_ranges, store_leases, store_versions

STAGGER_S: typing.Final = 0.4
"""Time between the attempts of two members: more than that of a write and of
the status that names it."""


@dataclasses.dataclass(frozen=True)
class OutdatedObject:
    """A version of the ownership object whose content is of an earlier era.

    ``ownership`` is None if the object does not exist, ``first_seen_at`` is
    when this member first read this version.
    """

    version: store_versions.StoreVersion
    ownership: key_ranges.Ownership | None
    first_seen_at: float


class Restoration:
    """The outdated object that this member knows; for the event loop only.

    ``outdated`` is None if the object is in force.
    """

    def __init__(self, times: store_leases.StoreLeaseTimes) -> None:
        self.times = times
        self.outdated: OutdatedObject | None = None

    def record(
        self,
        version: store_versions.StoreVersion,
        ownership: key_ranges.Ownership | None,
        now: float,
    ) -> None:
        """Record a read that found the object outdated.

        Another outdated version starts the wait again: between the two, the
        object may have been restored and leases renewed.
        """
        if self.outdated is None or self.outdated.version != version:
            self.outdated = OutdatedObject(version, ownership, now)

    def record_in_force(self, version: store_versions.StoreVersion) -> None:
        """Record a version that is in force; it ends an older outdated one."""
        if self.outdated is not None and version > self.outdated.version:
            self.outdated = None

    def due(self, now: float, rank: int) -> OutdatedObject | None:
        """Return the outdated object once this member may replace it.

        ``rank`` is its position among the live members by name: the next one
        tries if one can't write.
        """
        if self.outdated is None:
            return None
        wait_s = self.times.wait_s + rank * STAGGER_S
        waited_s = now - self.outdated.first_seen_at
        return self.outdated if waited_s >= wait_s else None
