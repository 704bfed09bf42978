"""Load of hot keys, counted at the server that owns the keys.

Hot keys are often close together and change within seconds.  Requests are
therefore counted by small groups of adjacent keys, with counts that decay
quickly.  A request counts by its cost: one of ten times the usual cost is
load as ten requests are.  ``key_assignment`` moves the groups with the highest
rates away from an overloaded server.
"""

import collections.abc
import math
import typing

import msgspec

GROUP_BITS: typing.Final = 4
"""A group has 2 ** 4 = 16 adjacent keys."""

DECAY_S: typing.Final = 1.5
"""Time constant of the exponential decay of a count."""

MIN_COUNT: typing.Final = 0.05
"""Counts at or below this value are removed."""

MAX_REPORTED_GROUPS: typing.Final = 24
"""Maximum number of groups in a status message."""


class KeyGroupLoad(msgspec.Struct, frozen=True, array_like=True):
    """Adjacent keys ``first`` to ``last`` with their load.

    ``rate`` is the number of requests of usual cost per second.
    """

    first: int
    last: int
    rate: float


class KeyLoadCounter:
    """Counts requests by group of keys, with exponential decay."""

    def __init__(self, now: float) -> None:
        self.counts: dict[int, float] = {}
        self.total = 0.0
        self.decayed_at = now

    def count(self, key: int, relative_cost: float = 1.0) -> None:
        """Count a request for a key as so many of the usual cost."""
        group = key >> GROUP_BITS
        self.counts[group] = self.counts.get(group, 0.0) + relative_cost
        self.total += relative_cost

    def decay(self, now: float) -> None:
        """Apply the decay of the counts since it was last applied."""
        factor = math.exp((self.decayed_at - now) / DECAY_S)
        self.decayed_at = now
        self.total *= factor
        self.counts = {
            group: count * factor
            for group, count in self.counts.items()
            if count * factor > MIN_COUNT
        }

    def rate(self) -> float:
        """Return the requests per second at the last decay."""
        return self.total / DECAY_S

    def hottest(self) -> tuple[KeyGroupLoad, ...]:
        """Return the groups with the highest rates, in descending order."""
        ordered = sorted(
            self.counts.items(), key=lambda item: item[1], reverse=True
        )
        return tuple(_group_loads(ordered[:MAX_REPORTED_GROUPS]))


def _group_loads(
    ordered: collections.abc.Iterable[tuple[int, float]],
) -> collections.abc.Iterator[KeyGroupLoad]:
    for group, count in ordered:
        first = group << GROUP_BITS
        last = first + (1 << GROUP_BITS) - 1
        yield KeyGroupLoad(first, last, round(count / DECAY_S, 2))
