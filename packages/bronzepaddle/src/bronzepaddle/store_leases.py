"""Leases on grants that were read from the platform's object store.

A lease starts when the read that showed the grant was *sent*.  When keys get a
new owner, the new grant is written to the store first, and the new owner then
waits for one lease time.  After that wait, every read that is still within its
lease time was sent after the write and shows the new grant.  This requires
linearizable reads: a stale read must not renew a lease.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreLeaseTimes:
    """Lease times in seconds; ``drift`` is a fraction.

    ``lease_s`` is the time for which a read may be used, ``read_interval_s``
    the pause between reads of the grants.  ``drift`` bounds how much slower
    any clock may run than another, including that of the backend server.
    ``margin_s`` covers scheduling delays of a thread.  A grant by command
    lasts for ``command_hold_s``, or up to ``work_hold_s`` where the work
    needs it: a server's keys wait for its end after the server has
    crashed.
    """

    lease_s: float = 3.0
    command_hold_s: float = 1.5
    work_hold_s: float = 2.0
    read_interval_s: float = 0.8
    drift: float = 0.03
    margin_s: float = 0.15

    @property
    def wait_s(self) -> float:
        """Return the wait after which every earlier lease has expired."""
        return self.lease_s * (1 + self.drift) + self.margin_s

    def command_wait_s(self, longest_hold_s: float) -> float:
        """Return the wait after which every earlier command has expired.

        ``longest_hold_s`` is how long grants for long work may have lasted.
        """
        hold_s = max(self.command_hold_s, min(self.lease_s, longest_hold_s))
        return hold_s * (1 + self.drift) + self.margin_s


class StoreLease:
    """The lease of this process; renewed only by its event loop."""

    def __init__(self, times: StoreLeaseTimes) -> None:
        self.times = times
        self.valid_until = float("-inf")

    def renew(self, sent_at: float) -> None:
        """Extend the lease after a read or write that shows the grants.

        ``sent_at`` is when it was sent; for a read that a peer made, a time
        that is certainly earlier.
        """
        self.valid_until = max(self.valid_until, sent_at + self.times.lease_s)

    def age_s(self, now: float) -> float:
        """Return the time since the moment from which the lease counts."""
        return now - (self.valid_until - self.times.lease_s)

    def remaining_s(self, now: float) -> float:
        """Return the time until this process must stop acting as owner."""
        return max(0.0, self.valid_until - self.times.margin_s - now)

    def holds(self, now: float) -> bool:
        """Return whether this process may act as owner now."""
        return self.remaining_s(now) > 0

    def grant_duration_s(self, now: float, max_s: float) -> float:
        """Return the time for which a backend server is granted its keys.

        At most ``max_s``.  The server's clock may be slow, so the time is
        reduced by the drift.
        """
        return min(self.remaining_s(now), max_s) * (1 - self.times.drift)
