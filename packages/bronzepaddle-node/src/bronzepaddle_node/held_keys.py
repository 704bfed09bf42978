"""The keys that the backend server beside this process holds.

``HeldKeys`` is asked by every request.  ``reconciler`` changes it.
"""

import bisect
import dataclasses

from bronzepaddle import ids
from bronzepaddle_peers import statuses


@dataclasses.dataclass(frozen=True)
class GrantedRange:
    """One granted range and the moment until which requests may use it."""

    first: int
    last: int
    token: ids.Token
    until: float


class HeldKeys:
    """The ranges granted now, in order; for the event loop only."""

    def __init__(self) -> None:
        self.run = statuses.NO_SERVER_RUN
        self.ranges: list[GrantedRange] = []

    def run_changed(self, run: str) -> None:
        """Forget everything: a new run of the server holds nothing."""
        if run != self.run:
            self.run = run
            self.ranges = []

    def set(self, ranges: list[GrantedRange]) -> None:
        """Replace what is held."""
        self.ranges = sorted(ranges, key=lambda one: one.first)

    def holds(self, key: int, now: float) -> bool:
        """Tell whether a request for a key may be sent to the server."""
        at = bisect.bisect_right(self.ranges, key, key=_first) - 1
        if at < 0:
            return False
        found = self.ranges[at]
        return key <= found.last and now < found.until

    def size(self, now: float) -> int:
        """Return how many keys are held."""
        return sum(
            one.last - one.first + 1 for one in self.ranges if now < one.until
        )

    def told(self, now: float) -> tuple[statuses.HeldRange, ...]:
        """Return what peers are told of the keys held."""
        return tuple(
            statuses.HeldRange(one.first, one.last, one.token)
            for one in self.ranges
            if now < one.until
        )


def _first(one: GrantedRange) -> int:
    return one.first
