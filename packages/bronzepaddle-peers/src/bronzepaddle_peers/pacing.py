"""Lets large answers leave no faster than the VM's link takes them.

Answers the load pattern of downloads on a small link.  What is written
faster than the link takes queues in front of it, where a small answer that
is wanted within a fraction of a second waits behind all of it.  Pieces of
large answers wait here instead, in turn, and small ones go past them.
"""

import typing

from bronzepaddle import clocks

SMALL_BYTES: typing.Final = 4 * 1024
"""Size up to which a message goes at once."""

LINK_SHARE: typing.Final = 0.9
"""Share of the link's rate for large answers; the rest is for small ones."""

LEAST_PAUSE_S: typing.Final = 0.001
"""A shorter wait is not worth a wake-up."""

BYTES_PER_MBIT: typing.Final = 125_000


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

    async def wait(self, size: int) -> None:
        """Return when a message of so many bytes may leave."""
        if self.bytes_per_s is None or size <= SMALL_BYTES:
            return
        now = self.time.now()
        starts_at = max(now, self.free_at)
        self.free_at = starts_at + size / self.bytes_per_s
        if starts_at - now > LEAST_PAUSE_S:
            await self.time.sleep(starts_at - now)
