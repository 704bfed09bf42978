"""Load balancing for requests that any server of their service may run.

Servers differ in speed, and the processes that accept requests from callers
choose independently.  The candidate with the lowest expected latency is
chosen.  A candidate's load is known from its last status; the requests that
this process has sent since then count as load too.  A little noise keeps the
processes from all choosing the same server.

In a large fleet many processes see the same, slightly outdated loads.
If each chose the best of all servers, they would overload the same few
servers until the next status update.  With many candidates each process
therefore compares two random ones ("power of two choices").

After a restart, some servers are cold and can be sent only a few requests per
second.  They are compared as seldom as that is less than what they can run
when they are warm; two cold ones would otherwise often be compared with each
other while warm ones have free slots.
"""

import collections.abc
import dataclasses
import random
import typing

from bronzepaddle import ids

NOISE: typing.Final = 0.1
"""Maximum relative random deviation that is applied to an expected latency."""

COMPARE_ALL_MAX: typing.Final = 4
"""Up to this number of candidates all are compared.  The loads of so few are
up to date, because the replies to a process's own requests contain them."""

SAMPLE_SIZE: typing.Final = 2
"""Number of random candidates to compare when there are more."""

DEFAULT_SERVICE_S: typing.Final = 0.05
"""Assumed time per request while no server of the service is measured."""

COLD_FACTOR: typing.Final = 2.0
"""Factor by which a server that has just started is slower."""

OTHER_ZONE_S: typing.Final = 0.004
"""Round-trip time to a server in another availability zone."""


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A server that may be chosen, as this process knows it.

    ``slots`` is the number of requests that it runs at a time, ``outstanding``
    counts those that run or wait there.  ``service_s`` is the mean time in
    seconds that it takes to process a request (0 if not measured).  ``cold``
    is set for a server that has just started.  ``starts_per_s`` is the number
    of requests per second that it can be sent while it is cold, 0 if there is
    no such limit.
    """

    member: ids.MemberId
    slots: int
    outstanding: int
    service_s: float
    cold: bool
    same_zone: bool
    starts_per_s: float = 0.0


def choose_server(
    candidates: collections.abc.Sequence[Candidate], rng: random.Random
) -> ids.MemberId | None:
    """Return the candidate with the lowest expected latency, if any.

    Of many candidates only two random ones are compared.
    """
    if not candidates:
        return None
    measured = [
        candidate.service_s for candidate in candidates if candidate.service_s
    ]
    default_service_s = min(measured, default=DEFAULT_SERVICE_S)
    compared = candidates
    if len(candidates) > COMPARE_ALL_MAX:
        compared = _sample(candidates, default_service_s, rng)
    best = min(
        compared,
        key=lambda candidate: (
            expected_latency_s(candidate, default_service_s)
            * rng.uniform(1 - NOISE, 1 + NOISE)
        ),
    )
    return best.member


def _sample(
    candidates: collections.abc.Sequence[Candidate],
    default_service_s: float,
    rng: random.Random,
) -> list[Candidate]:
    """Return the random candidates to compare."""
    if not any(candidate.starts_per_s for candidate in candidates):
        return rng.sample(candidates, SAMPLE_SIZE)
    remaining = list(candidates)
    compared: list[Candidate] = []
    while len(compared) < SAMPLE_SIZE:
        weights = [
            _sample_weight(candidate, default_service_s)
            for candidate in remaining
        ]
        [index] = rng.choices(range(len(remaining)), weights)
        compared.append(remaining.pop(index))
    return compared


def _sample_weight(candidate: Candidate, default_service_s: float) -> float:
    """Return what a candidate can be sent, as a share of what it can run."""
    if not candidate.starts_per_s:
        return 1.0
    service_s = candidate.service_s or default_service_s
    warm_per_s = max(1, candidate.slots) / service_s
    return min(1.0, candidate.starts_per_s / warm_per_s)


def expected_latency_s(
    candidate: Candidate, default_service_s: float = DEFAULT_SERVICE_S
) -> float:
    """Return the expected latency of a new request at a candidate.

    ``default_service_s`` is the service time assumed for a server without
    measurements.  It should be that of the fastest server: a server that is
    assumed to be slower might never get a request that would measure it.
    """
    service_s = candidate.service_s or default_service_s
    if candidate.cold:
        service_s *= COLD_FACTOR
    # The requests ahead run in rounds of one request per slot.
    rounds = max(1.0, (candidate.outstanding + 1) / max(1, candidate.slots))
    # Occupied slots add a small cost, so that equally fast servers share the
    # load even before one of them is full.
    occupancy_factor = 1 + candidate.outstanding / max(1, candidate.slots)
    network_s = 0.0 if candidate.same_zone else OTHER_ZONE_S
    latency_s = service_s * rounds * occupancy_factor
    if candidate.starts_per_s > 0:
        # The rate serves the requests one after the other, as one slot would.
        start_wait_s = (candidate.outstanding + 1) / candidate.starts_per_s
        latency_s = max(latency_s, start_wait_s)
    return latency_s + network_s
