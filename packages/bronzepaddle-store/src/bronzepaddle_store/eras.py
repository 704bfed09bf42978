"""Tracks the era of the platform's store.

The store reports its era in each answer, and the era rises when the store
comes back from a copy (``bronzepaddle.store_versions``).  An answer of an
earlier era that arrives late describes a store that no longer exists, and a
write that replaces a version of one era must not count as done in another.
"""

import asyncio

from bronzepaddle import ids, logs, store_versions

from bronzepaddle_store import store


class EraTracker:
    """The latest era that the answers of a store show; event loop only."""

    def __init__(self) -> None:
        self.era = ids.FIRST_ERA
        self.risen = asyncio.Event()

    def record(self, era: ids.StoreEra) -> None:
        """Record the era of an answer.

        Raises ``StoreUnavailableError`` if the answer is of an earlier era.
        """
        if era < self.era:
            raise store.StoreUnavailableError(
                f"an answer of era {era} arrived in era {self.era}"
            )
        if era == self.era:
            return
        logs.store_era(era, self.era)
        self.era = era
        self.risen.set()
        self.risen = asyncio.Event()

    async def wait_after(self, era: ids.StoreEra) -> None:
        """Wait until the store is known to be in a later era."""
        while self.era <= era:
            await self.risen.wait()

    def check_replaced(
        self, name: str, replaced: store_versions.StoreVersion
    ) -> None:
        """Check that a version that a write replaces is of this era.

        Raises ``ConflictError`` if it isn't.
        """
        if replaced.era != self.era and not _names_no_revision(replaced):
            raise store.ConflictError(
                f"{name}: {replaced} is not of era {self.era}"
            )

    def check_written(
        self,
        name: str,
        replaced: store_versions.StoreVersion,
        written: store_versions.StoreVersion,
    ) -> None:
        """Check that a write took effect in the era of what it replaced.

        Raises ``UnknownOutcomeError`` if the store has come back from a copy
        in between: the copy had given the same revision to another version.
        """
        if written.era != replaced.era and not _names_no_revision(replaced):
            raise store.UnknownOutcomeError(
                f"{name}: {replaced} was replaced in era {written.era}"
            )


def _names_no_revision(replaced: store_versions.StoreVersion) -> bool:
    """Return whether a write replaces any version or creates an object."""
    return replaced in (store.ANY_VERSION, store_versions.NO_VERSION)
