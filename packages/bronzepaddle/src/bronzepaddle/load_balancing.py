"""Chooses the server for a request that any server of its service may run.

Answers the load pattern of servers that differ in speed and of several
entry processes that choose at once: the expected time at each candidate is
compared, with what this process has sent since the candidate's last word
counted in, and a little noise so that entries do not all pick the same one.

In a large fleet many entries know the same loads, all of them somewhat old.
If each took the best of all servers, they would fill the same few until the
next word of these; so each compares two that it draws.
"""

import collections.abc
import dataclasses
import random
import typing

from bronzepaddle import ids

NOISE: typing.Final = 0.1
"""Share by which a candidate's expected time is blurred."""

FEW: typing.Final = 4
"""Candidates up to which all are compared: so few are known well, from the
answers to one's own requests."""

DRAWN: typing.Final = 2
"""Candidates that are compared where there are more."""

UNKNOWN_SERVICE_S: typing.Final = 0.05
"""Taken for servers of a service of which none has been measured yet."""

COLD_FACTOR: typing.Final = 2.0
"""How much longer a server that has just started takes."""

OTHER_ZONE_S: typing.Final = 0.004
"""Cost of the way to another availability zone and back."""


@dataclasses.dataclass(frozen=True)
class Candidate:
    """One server as seen from here.

    ``outstanding`` counts requests running or waiting there, ``service_s``
    is the mean time of one (0: not measured).
    """

    member: ids.MemberId
    slots: int
    outstanding: int
    service_s: float
    cold: bool
    same_zone: bool


def choose_server(
    candidates: collections.abc.Sequence[Candidate], rng: random.Random
) -> ids.MemberId | None:
    """Return the candidate with the least expected time, None of none.

    With more than a few candidates, it is the better of two drawn ones.
    """
    if not candidates:
        return None
    measured = [one.service_s for one in candidates if one.service_s]
    unmeasured_s = min(measured, default=UNKNOWN_SERVICE_S)
    compared = candidates
    if len(candidates) > FEW:
        compared = rng.sample(candidates, DRAWN)
    best = min(
        compared,
        key=lambda one: (
            expected_s(one, unmeasured_s) * rng.uniform(1 - NOISE, 1 + NOISE)
        ),
    )
    return best.member


def expected_s(
    one: Candidate, unmeasured_s: float = UNKNOWN_SERVICE_S
) -> float:
    """Return the time until an answer from a candidate is expected.

    A server that has not been measured is taken for as fast as the fastest:
    one taken for slower might never get the request that would measure it.
    """
    each_s = one.service_s or unmeasured_s
    if one.cold:
        each_s *= COLD_FACTOR
    turns = max(1.0, (one.outstanding + 1) / max(1, one.slots))
    # Half full costs a little, so that equal servers share the work.
    crowding = 1 + one.outstanding / max(1, one.slots)
    way_s = 0.0 if one.same_zone else OTHER_ZONE_S
    return each_s * turns * crowding + way_s
