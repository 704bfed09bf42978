"""Tracks the grants that were sent to the current run of a backend server.

A grant that was sent may be in effect whether or not its response arrived and
whether or not this process still uses the keys.  So each one has to be
released once its keys are reassigned.  ``reconciler`` gets the grants to
release from here and records each ``ReleasedGrant`` in the ownership object.
"""

import dataclasses
import enum
import typing

from bronzepaddle import ids, key_ranges
from bronzepaddle_peers import statuses

IssuedGrant: typing.TypeAlias = tuple[int, int, ids.Token]
"""The first key, last key and token of a grant that was sent."""


class Evidence(enum.Enum):
    """What shows that a grant is over."""

    RELEASED = "released"
    REFUSED = "refused"
    NEW_RUN = "new-run"


@dataclasses.dataclass(frozen=True)
class ReleasedGrant:
    """Keys that this process has released, with the token of their grant.

    ``handover`` is the data that the server passes to the next holder.  After
    ``until`` the release need not be recorded any more, because the wait of
    the next owner is over by then.
    """

    first: int
    last: int
    token: ids.Token
    handover: str
    until: float

    def mark_released_in(
        self, ownership: key_ranges.Ownership
    ) -> key_ranges.Ownership:
        """Return the ownership with the keys marked as released.

        Marks only the grant that directly replaced this one: before a later
        grant, another member may have held the keys.
        """
        for key_range in ownership.ranges:
            is_inside = (
                self.first <= key_range.first and key_range.last <= self.last
            )
            if is_inside and key_range.replaced_token == self.token:
                ownership = (
                    key_ranges.mark_released(
                        ownership,
                        key_range.first,
                        key_range.last,
                        key_range.token,
                        self.handover,
                    )
                    or ownership
                )
        return ownership


class IssuedGrants:
    """The grants sent to one server run; for the event loop only.

    ``held_until`` maps each of them to the time until which it may be in
    effect at the server.
    """

    def __init__(self) -> None:
        self.run = statuses.NO_SERVER_RUN
        self.held_until: dict[IssuedGrant, float] = {}

    def add(self, key_range: key_ranges.Range, held_until: float) -> None:
        """Record a grant; it replaces grants of parts of its range."""
        grant = (key_range.first, key_range.last, key_range.token)
        replaced = [
            (first, last, token)
            for first, last, token in self.held_until
            if token == key_range.token
            and first <= key_range.last
            and key_range.first <= last
        ]
        until = max(held_until, *map(self.held_until.pop, replaced), 0.0)
        self.held_until[grant] = until

    def set_run(self, run: str) -> dict[IssuedGrant, float]:
        """Set the run of the server.

        A new run holds no keys, so the grants of the last one are removed and
        returned.
        """
        if run == self.run:
            return {}
        ended_grants, self.held_until = self.held_until, {}
        self.run = run
        return ended_grants

    def pop_replaced(
        self, ownership: key_ranges.Ownership
    ) -> dict[IssuedGrant, float]:
        """Remove and return the grants that an ownership has replaced."""
        kept: dict[IssuedGrant, float] = {}
        replaced: dict[IssuedGrant, float] = {}
        for grant, until in self.held_until.items():
            issued_first, issued_last, token = grant
            for key_range in ownership.ranges:
                shared = key_ranges.overlap(
                    issued_first, issued_last, key_range.first, key_range.last
                )
                if shared is not None:
                    target = kept if key_range.token == token else replaced
                    target[(*shared, token)] = until
        self.held_until = kept
        return replaced
