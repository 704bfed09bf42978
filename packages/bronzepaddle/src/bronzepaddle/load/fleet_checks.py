"""When a process reads an object of the store on behalf of the whole fleet.

The load that this answers: every process must know of a change in time, a
watch that reports nothing proves nothing, and the number of calls to the store
must not grow with the fleet.  Therefore a process reads the object itself if
the newest read that it knows of, its own or a peer's, is too old.  It reports
the age of its own read in its statuses.

Each process looks at that age at random times, exponentially distributed and
independent of everything else.  Thus no event that all processes have in
common, such as a start or the loss of all connections, aligns the reads, and a
process whose reads fail holds no other one back.
"""

import collections.abc
import random
import typing

from bronzepaddle import clocks

WATCH_S: typing.Final = (14.0, 28.0)
"""Range of the random length of a watch of an object that is also read.

Watches only make a change known sooner, so they are long.
"""

LOOKS_PER_S: typing.Final = 8.0
"""Times per second that all processes together look at the age.

More of them shorten the time until an outdated read is followed by the next.
They also lead to more reads that begin before peers have heard of one
another's.
"""

MAX_WAIT_S: typing.Final = 0.5
"""Time after which a process that has not looked draws its next look anew.

An exponential distribution has no memory, so this changes nothing while the
fleet stays the same; it adapts the looks to a fleet whose size has changed.
"""


class FleetChecks:
    """The newest read of one object that one process knows of.

    ``max_age_s`` is the age of the newest read from which the next process
    that looks reads.  ``now`` is the time of creation; all times are seconds
    on one clock.
    """

    def __init__(
        self, max_age_s: float, now: float, rng: random.Random
    ) -> None:
        self.max_age_s = max_age_s
        self.rng = rng
        # When the newest known read of any process and the newest one of this
        # process began.
        self.read_at = now
        self.own_read_at: float | None = None

    async def wait_for_look(
        self,
        clock: clocks.Clock,
        fleet_size: collections.abc.Callable[[], int],
    ) -> None:
        """Wait until this process has to look again.

        ``fleet_size`` counts only processes that hear of its reads: one that
        is cut off from all others is a fleet of its own.
        """
        while True:
            looks_per_s = LOOKS_PER_S / max(1, fleet_size())
            look_s = self.rng.expovariate(looks_per_s)
            await clock.sleep(min(look_s, MAX_WAIT_S))
            if look_s <= MAX_WAIT_S:
                return

    def is_due(self, now: float) -> bool:
        """Return whether this process should read now."""
        return self.age_s(now) >= self.max_age_s

    def age_s(self, now: float) -> float:
        """Return the age of the newest known read in seconds."""
        return now - self.read_at

    def own_age_s(self, now: float) -> float | None:
        """Return the age of the newest own read, None if there is none."""
        return None if self.own_read_at is None else now - self.own_read_at

    def record_read(self, began_at: float) -> None:
        """Record a successful read of this process."""
        self.own_read_at = began_at
        self.read_at = max(self.read_at, began_at)

    def record_report(self, age_s: float | None, now: float) -> None:
        """Record the age of a peer's read, as a status reports it."""
        if age_s is not None:
            self.read_at = max(self.read_at, now - max(0.0, age_s))
