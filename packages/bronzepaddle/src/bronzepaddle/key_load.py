"""Which keys are busy: counted at the server that holds them.

Answers the load pattern of busy keys that lie close together and change
within seconds: counts are by small groups of neighbouring keys and fade fast.
``key_assignment`` moves the busiest groups away from a server that has too
much.
"""

import collections.abc
import math
import typing

import msgspec

GROUP_BITS: typing.Final = 4
"""Keys are counted in groups of 16 neighbours."""

FADE_S: typing.Final = 1.5
"""Time in which a count fades to a third."""

LEAST_COUNT: typing.Final = 0.05
"""A count below this is forgotten."""

MAX_REPORTED_GROUPS: typing.Final = 24
"""Groups that a status names at most."""


class KeyGroupLoad(msgspec.Struct, frozen=True, array_like=True):
    """Neighbouring keys and the requests a second for them."""

    first: int
    last: int
    rate: float


class KeyLoadCounter:
    """Requests by group of keys, fading with time."""

    def __init__(self, now: float) -> None:
        self.counts: dict[int, float] = {}
        self.total = 0.0
        self.faded_at = now

    def note(self, key: int) -> None:
        """Count one request for a key."""
        group = key >> GROUP_BITS
        self.counts[group] = self.counts.get(group, 0.0) + 1.0
        self.total += 1.0

    def decay(self, now: float) -> None:
        """Let the counts fade up to now."""
        kept = math.exp((self.faded_at - now) / FADE_S)
        self.faded_at = now
        self.total *= kept
        self.counts = {
            group: count * kept
            for group, count in self.counts.items()
            if count * kept > LEAST_COUNT
        }

    def rate(self) -> float:
        """Return the requests a second, as of the last fading."""
        return self.total / FADE_S

    def hottest(self) -> tuple[KeyGroupLoad, ...]:
        """Return the busiest groups, the busiest first."""
        ordered = sorted(
            self.counts.items(), key=lambda item: item[1], reverse=True
        )
        return tuple(_hot(ordered[:MAX_REPORTED_GROUPS]))


def _hot(
    ordered: collections.abc.Iterable[tuple[int, float]],
) -> collections.abc.Iterator[KeyGroupLoad]:
    for group, count in ordered:
        first = group << GROUP_BITS
        last = first + (1 << GROUP_BITS) - 1
        yield KeyGroupLoad(first, last, round(count / FADE_S, 2))
