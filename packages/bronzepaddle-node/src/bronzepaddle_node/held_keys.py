"""The key ranges that the backend server of this process holds.

Every request looks its key up in ``HeldKeys``; ``reconciler`` updates it.  A
request that needs longer than its grant lasts asks there for a renewal.
"""

import bisect
import dataclasses

from bronzepaddle import ids
from bronzepaddle.load import grant_times
from bronzepaddle_peers import statuses

from bronzepaddle_node.keys import wanted_renewals


@dataclasses.dataclass(frozen=True)
class GrantedRange:
    """A granted range and the time until which requests may use it.

    ``token`` is the fencing token of the grant.
    """

    first: int
    last: int
    token: ids.Token
    until: float


class HeldKeys:
    """The currently granted ranges, sorted; for the event loop only.

    ``run`` identifies the run of the server, which changes when the server
    restarts.  ``work_times`` are the service times of requests for the keys,
    ``renewals`` the requests that wait until their key's grant is renewed.
    """

    def __init__(self) -> None:
        self.run = statuses.NO_SERVER_RUN
        self.ranges: list[GrantedRange] = []
        self.work_times = grant_times.WorkTimes()
        self.renewals = wanted_renewals.WantedRenewals()

    def set_run(self, run: str) -> None:
        """Set the run; a new run holds no keys, so the ranges are cleared."""
        if run != self.run:
            self.run = run
            self.ranges = []

    def set(self, ranges: list[GrantedRange]) -> None:
        """Replace all ranges."""
        self.ranges = sorted(ranges, key=lambda granted: granted.first)

    def holds(self, key: int, now: float) -> bool:
        """Return whether requests for a key may be sent to the server now."""
        return self.left_s(key, now) > 0

    def left_s(self, key: int, now: float) -> float:
        """Return how long requests for a key may still be sent."""
        index = bisect.bisect_right(self.ranges, key, key=_first) - 1
        if index < 0 or key > self.ranges[index].last:
            return 0.0
        return max(0.0, self.ranges[index].until - now)

    def size(self, now: float) -> int:
        """Return the number of keys held now."""
        return sum(
            granted.last - granted.first + 1
            for granted in self.ranges
            if now < granted.until
        )

    def status_ranges(self, now: float) -> tuple[statuses.HeldRange, ...]:
        """Return the held ranges as statuses carry them to peers."""
        return tuple(
            statuses.HeldRange(granted.first, granted.last, granted.token)
            for granted in self.ranges
            if now < granted.until
        )


def _first(granted: GrantedRange) -> int:
    return granted.first
