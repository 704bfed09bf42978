"""Lets large answers leave no faster than the VM's link takes them.

Answers the load pattern of downloads on a small link.  What is written
faster than the link takes queues in front of it, where a small answer that
is wanted within a fraction of a second waits behind all of it.  Pieces of
large answers wait here instead, in turn, and small ones go past them.

Where more is asked for than the link takes, ``queueing_delay_s`` tells how
late an answer would be, so that a request for it can be turned away before its
server works for nothing.
"""

import collections.abc
import contextlib
import typing

from bronzepaddle import averages, clocks

SMALL_BYTES: typing.Final = 4 * 1024
"""Size up to which a message goes at once."""

LINK_SHARE: typing.Final = 0.9
"""Share of the link's rate for large answers; the rest is for small ones."""

LEAST_PAUSE_S: typing.Final = 0.001
"""A shorter wait is not worth a wake-up."""

BYTES_PER_MBIT: typing.Final = 125_000

SHARED: typing.Final = 1.25
"""How much longer an answer takes to leave, as those that come after it take
their share of the link."""

MEAN_WEIGHT: typing.Final = 0.1
"""Weight of the newest answer in the running mean of sizes."""


class Promise:
    """The bytes of one answer that are still to leave."""

    def __init__(self, pacer: "Pacer", size: int) -> None:
        self.pacer = pacer
        self.left = 0
        self.set(size)

    def set(self, left: int) -> None:
        """Take in how many bytes are left."""
        self.pacer.promised += left - self.left
        self.left = left


class Pacer:
    """The turns of one VM's large messages; for the event loop only."""

    def __init__(self, link_mbps: float | None, time: clocks.Clock) -> None:
        self.bytes_per_s = (
            None
            if link_mbps is None
            else link_mbps * BYTES_PER_MBIT * LINK_SHARE
        )
        self.time = time
        # When the link has taken all that was let through.
        self.free_at = float("-inf")
        # The mean size of answers, by kind of work.
        self.sizes: dict[str, float] = {}
        # Bytes of large answers that have not left: as expected while their
        # servers work on them, then as they are.  Whole numbers, lest what
        # is left of rounding looks like another answer.
        self.promised = 0

    def measure(self, kind: str, size: int) -> None:
        """Take the size of an answer in."""
        self.sizes[kind] = averages.update_ewma(
            self.sizes.get(kind), size, MEAN_WEIGHT
        )

    def queueing_delay_s(self, kind: str) -> float:
        """Return how long an answer that is promised takes to leave.

        0 for an answer that is small, not measured, or alone.
        """
        size = self._expected(kind)
        if self.bytes_per_s is None or not 0 < size < self.promised:
            return 0.0
        return SHARED * self.promised / self.bytes_per_s

    @contextlib.contextmanager
    def promise(self, kind: str) -> collections.abc.Iterator["Promise"]:
        """Count an answer until it has left: from before its server works."""
        promise = Promise(self, self._expected(kind))
        try:
            yield promise
        finally:
            promise.set(0)

    def _expected(self, kind: str) -> int:
        """Return the size of a kind of answer, 0 if it does not wait."""
        size = round(self.sizes.get(kind, 0.0))
        return size if size > SMALL_BYTES else 0

    async def wait(self, size: int) -> None:
        """Return when a message of so many bytes may leave."""
        if self.bytes_per_s is None or size <= SMALL_BYTES:
            return
        now = self.time.now()
        starts_at = max(now, self.free_at)
        self.free_at = starts_at + size / self.bytes_per_s
        if starts_at - now > LEAST_PAUSE_S:
            await self.time.sleep(starts_at - now)
