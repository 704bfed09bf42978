"""What the present run of a backend server may have been granted.

A grant that was sent may be in force, whether or not its answer came and
whether or not the keys may still be used; so this is what has to be released
once the keys go elsewhere.  ``reconciler`` asks it for what to release, and
says in the object what is ``ReleasedGrant``.
"""

import dataclasses
import typing

from bronzepaddle import ids, key_ranges
from bronzepaddle_peers import statuses

Place: typing.TypeAlias = tuple[int, int, ids.Token]
"""First and last key of a grant, and its token."""


@dataclasses.dataclass(frozen=True)
class ReleasedGrant:
    """Keys that this process has released, and under which token.

    ``until`` is when it need not be said any more: the next owner's wait is
    over by then.
    """

    first: int
    last: int
    token: ids.Token
    handover: str
    until: float

    def mark_released_in(
        self, now: key_ranges.Ownership
    ) -> key_ranges.Ownership:
        """Return the ownership with the keys marked as free.

        Only the grant that replaced this one directly: between it and a
        later one another member may have held the keys.
        """
        for one in now.ranges:
            inside = self.first <= one.first and one.last <= self.last
            if inside and one.after == self.token:
                now = (
                    key_ranges.mark_released(
                        now, one.first, one.last, one.token, self.handover
                    )
                    or now
                )
        return now


class IssuedGrants:
    """The grants sent to one run; for the event loop only."""

    def __init__(self) -> None:
        self.run = statuses.NO_SERVER_RUN
        self.places: list[Place] = []

    def note(self, one: key_ranges.Range) -> None:
        """Note that a range is being granted, in place of parts of it."""
        place = (one.first, one.last, one.token)
        if place in self.places:
            return
        others = [
            (first, last, token)
            for first, last, token in self.places
            if token != one.token or last < one.first or one.last < first
        ]
        self.places = [*others, place]

    def run_changed(self, run: str) -> list[Place]:
        """Start anew for another run; return what the last one had."""
        if run == self.run:
            return []
        ended, self.places = self.places, []
        self.run = run
        return ended

    def replaced(self, now: key_ranges.Ownership) -> list[Place]:
        """Return what other grants have replaced, and forget it."""
        kept: list[Place] = []
        gone: list[Place] = []
        for old_first, old_last, token in self.places:
            for new in now.ranges:
                shared = key_ranges.overlap(
                    old_first, old_last, new.first, new.last
                )
                if shared is not None:
                    part = kept if new.token == token else gone
                    part.append((*shared, token))
        self.places = kept
        return gone
