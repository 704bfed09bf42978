"""For how long the grants by command to a backend server last.

Goes in: the times of the server's work, and how long the latest known
ownership lets grants last.  Comes out: the longest time of a grant, and the
ownership to write if the work needs longer grants than it allows.
"""

import msgspec
from bronzepaddle import key_ranges
from bronzepaddle.load import grant_times

from bronzepaddle_node import held_keys
from bronzepaddle_node.keys import member_settings, ownership_view


class HoldTimes:
    """The times of grants by command; for the event loop only."""

    def __init__(
        self,
        settings: member_settings.MemberSettings,
        view: ownership_view.OwnershipView,
        held: held_keys.HeldKeys,
    ) -> None:
        self.settings = settings
        self.view = view
        self.held = held

    def longest_hold_s(self) -> float:
        """Return for how long the work of the server needs its grants."""
        times = self.settings.times
        return self._needed_hold_s(
            min(times.work_hold_s, self.recorded_longest_s())
        )

    def _needed_hold_s(self, longest_s: float) -> float:
        """Return for how long the work needs its grants, up to a bound."""
        shortest_s = self.settings.times.command_hold_s
        bounds = grant_times.HoldBounds(shortest_s, max(shortest_s, longest_s))
        work_s = self.held.work_times.longest_needed_s()
        return min(
            self.settings.max_hold_s, grant_times.hold_s(bounds, work_s)
        )

    def recorded_longest_s(self) -> float:
        """Return how long grants may last by the latest known ownership."""
        latest = self.view.latest
        return (
            0.0
            if latest is None or latest.ownership is None
            else latest.ownership.longest_hold_s
        )

    def allow_long_grants(
        self, ownership: key_ranges.Ownership
    ) -> key_ranges.Ownership | None:
        """Return an ownership that allows the grants that long work needs.

        None if it does already.  Only once that is in the store may grants
        last longer, since a process that starts anew waits for no longer ones.
        """
        longest_s = self.settings.times.work_hold_s
        allowed_s = max(
            ownership.longest_hold_s, self.settings.times.command_hold_s
        )
        if self._needed_hold_s(longest_s) <= allowed_s:
            return None
        return msgspec.structs.replace(ownership, longest_hold_s=longest_s)
