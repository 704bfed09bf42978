"""Tests of load balancing between servers."""

import collections
import dataclasses
import random
import typing

from bronzepaddle import ids
from bronzepaddle.load import load_balancing

MEASURED: typing.Final = load_balancing.Candidate(
    ids.MemberId("known"), 9, 0, 0.004, cold=False, same_zone=True
)


def choices(
    *candidates: load_balancing.Candidate,
) -> "collections.Counter[str]":
    rng = random.Random(1)
    return collections.Counter(
        str(load_balancing.choose_server(candidates, rng)) for _ in range(1000)
    )


def test_unmeasured_server_gets_requests_of_a_fast_service() -> None:
    unmeasured = dataclasses.replace(
        MEASURED, member=ids.MemberId("new"), service_s=0.0
    )
    assert choices(MEASURED, unmeasured)["new"] > 300


def test_slow_and_full_servers_get_no_requests_beside_a_better_one() -> None:
    slow = dataclasses.replace(
        MEASURED, member=ids.MemberId("slow"), service_s=0.01
    )
    full = dataclasses.replace(
        MEASURED, member=ids.MemberId("full"), outstanding=18
    )
    assert choices(MEASURED, slow, full) == {"known": 1000}


def test_no_server_is_chosen_without_candidates() -> None:
    assert load_balancing.choose_server([], random.Random(1)) is None


PROCESSES: typing.Final = 73
SERVERS: typing.Final = 22
SLOTS: typing.Final = 3
SERVICE_S: typing.Final = 0.12
REQUESTS_PER_S: typing.Final = 180.0
STATUS_S: typing.Final = 0.5


def share_without_free_slot(seed: int) -> float:
    """Simulate many processes that choose servers for their requests.

    On average a third of the slots is in use.  A process knows the load in
    each server's last status, and the requests that it has sent since.
    Returns the share of requests that find no free slot at their server.
    """
    rng = random.Random(seed)
    ends: list[list[float]] = [[] for _ in range(SERVERS)]
    reported = [0] * SERVERS
    sent = [[0] * SERVERS for _ in range(PROCESSES)]
    next_status = [rng.random() * STATUS_S for _ in range(SERVERS)]
    now, without_slot, requests = 0.0, 0, 0
    while now < 10.0:
        now += rng.expovariate(REQUESTS_PER_S)
        for server in range(SERVERS):
            ends[server] = [end for end in ends[server] if end > now]
            if next_status[server] <= now:
                next_status[server] += STATUS_S
                reported[server] = len(ends[server])
                for sent_by_process in sent:
                    sent_by_process[server] = 0
        own_sent = sent[rng.randrange(PROCESSES)]
        chosen = load_balancing.choose_server(
            [
                dataclasses.replace(
                    MEASURED,
                    member=ids.MemberId(str(server)),
                    slots=SLOTS,
                    outstanding=reported[server] + own_sent[server],
                )
                for server in range(SERVERS)
            ],
            rng,
        )
        server = int(str(chosen))
        own_sent[server] += 1
        requests += 1
        without_slot += len(ends[server]) >= SLOTS
        ends[server].append(now + rng.expovariate(1 / SERVICE_S))
    return without_slot / requests


def test_many_processes_with_outdated_loads_spread_their_requests() -> None:
    """Guards against many processes that choose the same few servers.

    They did so because all of them saw the same outdated loads.
    """
    shares = [share_without_free_slot(seed) for seed in (1, 2, 3)]
    assert max(shares) < 0.12


COLD_SERVERS: typing.Final = 7
COLD_PER_S: typing.Final = 2.0


def cold_requests_per_s(starts_known: bool, seed: int) -> float:
    """Simulate many processes when some servers have come back cold.

    A cold server can be sent ``COLD_PER_S`` requests per second; the others
    have slots to spare.  A process knows the load in each server's last status
    and the requests that it has sent since.  Returns the mean number of
    requests per second that each cold server is asked to run.
    """
    rng = random.Random(seed)
    duration_s = 20.0
    running: list[list[float]] = [[] for _ in range(SERVERS)]
    # By cold server: when what it was sent last leaves the limit.
    busy_until = [0.0] * COLD_SERVERS
    reported = [0] * SERVERS
    now, status_at, cold_requests = 0.0, 0.0, 0
    while now < duration_s:
        now += rng.expovariate(REQUESTS_PER_S)
        if now >= status_at:
            status_at = now + STATUS_S
            running = [[end for end in ends if end > now] for ends in running]
            reported = [len(ends) for ends in running]
        candidates = [
            dataclasses.replace(
                MEASURED,
                member=ids.MemberId(str(server)),
                slots=SLOTS,
                outstanding=reported[server],
                service_s=SERVICE_S,
                cold=server < COLD_SERVERS,
                starts_per_s=(
                    COLD_PER_S
                    if server < COLD_SERVERS and starts_known
                    else 0.0
                ),
            )
            for server in range(SERVERS)
        ]
        server = int(str(load_balancing.choose_server(candidates, rng)))
        starts_at = now
        if server < COLD_SERVERS:
            cold_requests += 1
            starts_at = max(now, busy_until[server])
            if starts_at - now > SERVICE_S:
                # Rejected by the process beside it.
                continue
            busy_until[server] = starts_at + 1 / COLD_PER_S
        running[server].append(starts_at + SERVICE_S)
    return cold_requests / duration_s / COLD_SERVERS


def test_cold_servers_are_asked_for_less_than_their_rate() -> None:
    """Otherwise requests are sent to a server that has to reject them."""
    for seed in (1, 2, 3):
        unknown = cold_requests_per_s(False, seed)
        known = cold_requests_per_s(True, seed)
        assert known < COLD_PER_S < unknown
