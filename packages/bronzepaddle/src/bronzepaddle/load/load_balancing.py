"""Load balancing for requests that any server of their service may run.

Servers differ in speed, and the processes that accept requests from callers
choose independently.  The candidate with the lowest expected latency is
chosen: the time until the request would start there, and what it is expected
to cost at that server's speed.  A request of many times the usual cost thus
goes to a fast server even if it has to wait there, a cheap one to the server
that is free first.  A candidate's load is known from its last report; the
requests that this process has sent since then count as load too.  A little
noise keeps the processes from all choosing the same server.

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
    is set for a server that has just started.  ``backlog_s`` is the time until
    a request would have started there, as it last reported (0 if it reports
    none).  ``sent_since`` is the number of requests in ``outstanding`` that
    were sent after that report, negative if more of them have ended.
    ``starts_per_s`` is the number of requests per second that it can be sent
    while it is cold, 0 if there is no such limit.
    """

    member: ids.MemberId
    slots: int
    outstanding: int
    service_s: float
    cold: bool
    same_zone: bool
    backlog_s: float = 0.0
    sent_since: int = 0
    starts_per_s: float = 0.0


_T = typing.TypeVar("_T")


def choose_server(
    candidates: collections.abc.Sequence[Candidate],
    rng: random.Random,
    relative_cost: float = 1.0,
) -> ids.MemberId | None:
    """Return the candidate with the lowest expected latency, if any.

    Of many candidates only two random ones are compared.  ``relative_cost`` is
    the expected cost of the request as a multiple of the usual one.
    """
    if not candidates:
        return None
    compared = to_compare(candidates, rng, _candidate_weight)
    assumed_s = assumed_service_s(compared)
    best = min(
        compared,
        key=lambda candidate: (
            expected_latency_s(candidate, assumed_s, relative_cost)
            * rng.uniform(1 - NOISE, 1 + NOISE)
        ),
    )
    return best.member


def assumed_service_s(
    compared: collections.abc.Sequence[Candidate],
) -> float:
    """Return the time per request assumed for those without measurements."""
    measured = [
        candidate.service_s for candidate in compared if candidate.service_s
    ]
    return min(measured, default=DEFAULT_SERVICE_S)


def to_compare(
    candidates: collections.abc.Sequence[_T],
    rng: random.Random,
    weight: collections.abc.Callable[[_T], float],
) -> collections.abc.Sequence[_T]:
    """Return the candidates to compare: all of a few, or some random ones.

    Of many, those with a low weight (``sample_weight``) are drawn less often.
    """
    if len(candidates) <= COMPARE_ALL_MAX:
        return candidates
    weights = [weight(candidate) for candidate in candidates]
    if min(weights) == 1.0:
        return rng.sample(candidates, SAMPLE_SIZE)
    remaining = list(range(len(candidates)))
    drawn: list[_T] = []
    while len(drawn) < SAMPLE_SIZE:
        (index,) = rng.choices(remaining, [weights[i] for i in remaining])
        remaining.remove(index)
        drawn.append(candidates[index])
    return drawn


def sample_weight(starts_per_s: float, slots: int, service_s: float) -> float:
    """Return what a server can be sent, as a share of what it can run.

    It is 1 unless the server is cold.
    """
    if not starts_per_s:
        return 1.0
    warm_per_s = max(1, slots) / (service_s or DEFAULT_SERVICE_S)
    return min(1.0, starts_per_s / warm_per_s)


def _candidate_weight(candidate: Candidate) -> float:
    return sample_weight(
        candidate.starts_per_s, candidate.slots, candidate.service_s
    )


def expected_latency_s(
    candidate: Candidate,
    default_service_s: float = DEFAULT_SERVICE_S,
    relative_cost: float = 1.0,
) -> float:
    """Return the expected latency of a new request at a candidate.

    ``default_service_s`` is the service time assumed for a server without
    measurements.  It should be that of the fastest server: a server that is
    assumed to be slower might never get a request that would measure it.
    """
    service_s = candidate.service_s or default_service_s
    if candidate.cold:
        service_s *= COLD_FACTOR
    # Occupied slots add a small cost, so that equally fast servers share the
    # load even before one of them is full, and a cost for the requests that
    # will have to wait behind this one.
    occupancy_factor = 1 + candidate.outstanding / max(1, candidate.slots)
    network_s = 0.0 if candidate.same_zone else OTHER_ZONE_S
    start_s = expected_start_s(candidate, service_s)
    run_s = relative_cost * service_s
    latency_s = (start_s + run_s) * occupancy_factor
    if candidate.starts_per_s > 0:
        # The rate serves the requests one after the other, as one slot would.
        start_wait_s = (candidate.outstanding + 1) / candidate.starts_per_s
        latency_s = max(latency_s, start_wait_s)
    return latency_s + network_s


def expected_start_s(candidate: Candidate, service_s: float) -> float:
    """Return the time until a new request would start at a candidate.

    Requests that were sent or have ended since the last report change the
    reported time by one service time each, divided by the slots.
    """
    slots = max(1, candidate.slots)
    queued = max(0, candidate.outstanding + 1 - slots)
    reported_outstanding = candidate.outstanding - candidate.sent_since
    reported_queued = max(0, reported_outstanding + 1 - slots)
    if reported_queued and not candidate.backlog_s:
        # The process is of a release that does not report it.
        return queued * service_s / slots
    change_s = (queued - reported_queued) * service_s / slots
    return max(0.0, candidate.backlog_s + change_s)
