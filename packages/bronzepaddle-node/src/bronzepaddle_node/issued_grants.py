"""Tracks the grants that were sent to the backend server on the same VM.

A grant that was sent may be in effect whether or not its response arrived and
whether or not this process still uses the keys.  So each one has to end once
its keys are reassigned.  Only two things show that it has: the server's
response to its release, or the end of its time.  A refused connection, a
silence or another run show nothing about what a server holds.  ``reconciler``
gets the grants to release from here and records each ``ReleasedGrant`` in the
ownership object.
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
    EXPIRED = "expired"


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


@dataclasses.dataclass(frozen=True)
class EndingGrant:
    """A grant that is not renewed any more, but may still be in effect.

    ``run`` is the run of the server that it was sent to, ``held_until`` the
    time until which it may be in effect.
    """

    grant: IssuedGrant
    run: str
    held_until: float


class IssuedGrants:
    """The grants sent to a backend server; for the event loop only.

    ``held_until`` maps each grant to the server's current run to the time
    until which it may be in effect.  ``ending`` are the replaced grants and
    those to earlier runs.
    """

    def __init__(self) -> None:
        self.run = statuses.NO_SERVER_RUN
        self.held_until: dict[IssuedGrant, float] = {}
        self.ending: list[EndingGrant] = []

    def add(self, key_range: key_ranges.Range, held_until: float) -> None:
        """Record a grant; it replaces grants of parts of its range."""
        grant = (key_range.first, key_range.last, key_range.token)
        replaced = [
            earlier
            for earlier in self.held_until
            if earlier[2] == key_range.token and _share_keys(earlier, grant)
        ]
        until = max(held_until, *map(self.held_until.pop, replaced), 0.0)
        self.held_until[grant] = until

    def set_run(self, run: str) -> None:
        """Set the run of the server; the grants to the last one are ending.

        An announcement of another run may be a delayed one, so that the last
        run may still hold its keys.
        """
        if run == self.run:
            return
        self.ending += [
            EndingGrant(grant, self.run, until)
            for grant, until in self.held_until.items()
        ]
        self.held_until = {}
        self.run = run

    def held_by_earlier_run(
        self, key_range: key_ranges.Range, now: float
    ) -> bool:
        """Return whether an earlier run may hold a key of a range."""
        return any(
            ending.run != self.run
            and now < ending.held_until
            and key_ranges.overlap(
                *ending.grant[:2], key_range.first, key_range.last
            )
            for ending in self.ending
        )

    def pop_replaced(
        self, ownership: key_ranges.Ownership
    ) -> list[IssuedGrant]:
        """Return the grants that an ownership has replaced; they are ending.

        Each of them is returned only once.
        """
        kept: dict[IssuedGrant, float] = {}
        replaced: list[EndingGrant] = []
        for grant, until in self.held_until.items():
            issued_first, issued_last, token = grant
            for key_range in ownership.ranges:
                shared = key_ranges.overlap(
                    issued_first, issued_last, key_range.first, key_range.last
                )
                if shared is None:
                    continue
                part = (*shared, token)
                if key_range.token == token:
                    kept[part] = until
                else:
                    replaced.append(EndingGrant(part, self.run, until))
        self.held_until = kept
        self.ending += replaced
        return [ending.grant for ending in replaced]

    def is_ending(self, grant: IssuedGrant, run: str) -> bool:
        """Return whether a replaced grant may still be in effect at a run."""
        return any(
            (ending.grant, ending.run) == (grant, run)
            for ending in self.ending
        )

    def confirm_release(self, grant: IssuedGrant) -> float:
        """Remove a grant that the server has released.

        Returns the time until which it might have been in effect.
        """
        until = max(
            (end.held_until for end in self.ending if end.grant == grant),
            default=float("-inf"),
        )
        self.ending = [end for end in self.ending if end.grant != grant]
        return until

    def pop_expired(self, now: float) -> list[IssuedGrant]:
        """Remove and return the replaced grants whose time is over.

        Leaves out those of whose keys another grant may be in effect.
        """
        expired = [end.grant for end in self.ending if end.held_until <= now]
        self.ending = [end for end in self.ending if end.held_until > now]
        in_effect = [*self.held_until, *(end.grant for end in self.ending)]
        return [
            grant
            for grant in expired
            if not any(_share_keys(grant, other) for other in in_effect)
        ]


def _share_keys(one: IssuedGrant, other: IssuedGrant) -> bool:
    """Return whether two grants have keys in common."""
    return key_ranges.overlap(*one[:2], *other[:2]) is not None
