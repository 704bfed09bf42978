"""How long an owner may act on what it has read in the store.

A lease rests on the last read that showed the grant, counted from the moment
at which the read was *sent*: whoever takes the keys over writes that to the
store first and then waits for one lease, so no read can be both that fresh
and older than the write.  Reads must not be stale ones.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreLeaseTimes:
    """Times in seconds; ``drift`` is a share of 1.

    ``lease_s`` bounds the use of one read, ``read_interval_s`` is the pause
    between reads.  ``drift`` bounds how much slower any clock may run than
    another, that of the backend server included; ``margin_s`` covers what a
    thread may be late by.
    """

    lease_s: float = 3.0
    read_interval_s: float = 0.8
    drift: float = 0.03
    margin_s: float = 0.15

    @property
    def wait_s(self) -> float:
        """Return the wait that outlasts any lease that began before it."""
        return self.lease_s * (1 + self.drift) + self.margin_s


class StoreLease:
    """The lease of this process; only its event loop writes it."""

    def __init__(self, times: StoreLeaseTimes) -> None:
        self.times = times
        self.valid_until = float("-inf")

    def renew(self, read_sent_at: float) -> None:
        """Take in a read that was sent at a moment and shows the grants."""
        self.valid_until = max(
            self.valid_until, read_sent_at + self.times.lease_s
        )

    def remaining_s(self, now: float) -> float:
        """Return the time for which this process may still act."""
        return max(0.0, self.valid_until - self.times.margin_s - now)

    def holds(self, now: float) -> bool:
        """Tell whether this process may act now."""
        return self.remaining_s(now) > 0

    def grant_duration_s(self, now: float, most_s: float) -> float:
        """Return for how long a backend server may hold keys.

        Its clock may be slow, so what it measures is cut by the drift.
        """
        return min(self.remaining_s(now), most_s) * (1 - self.times.drift)
