"""Servers among which a request may choose."""

import collections
import dataclasses
import random
import typing

from bronzepaddle import ids, load_balancing

KNOWN: typing.Final = load_balancing.Candidate(
    ids.MemberId("known"), 9, 0, 0.004, cold=False, same_zone=True
)


def chosen(
    *candidates: load_balancing.Candidate,
) -> "collections.Counter[str]":
    rng = random.Random(1)
    return collections.Counter(
        str(load_balancing.choose_server(candidates, rng)) for _ in range(1000)
    )


def test_server_that_is_new_gets_requests_of_a_quick_service() -> None:
    fresh = dataclasses.replace(
        KNOWN, member=ids.MemberId("new"), service_s=0.0
    )
    assert chosen(KNOWN, fresh)["new"] > 300


def test_slower_and_fuller_servers_get_less() -> None:
    slow = dataclasses.replace(
        KNOWN, member=ids.MemberId("slow"), service_s=0.01
    )
    full = dataclasses.replace(
        KNOWN, member=ids.MemberId("full"), outstanding=18
    )
    assert chosen(KNOWN, slow, full) == {"known": 1000}


def test_nobody_is_chosen_of_none() -> None:
    assert load_balancing.choose_server([], random.Random(1)) is None


ENTRIES: typing.Final = 73
SERVERS: typing.Final = 22
SLOTS: typing.Final = 3
WORK_S: typing.Final = 0.12
REQUESTS_PER_S: typing.Final = 180.0
STATUS_S: typing.Final = 0.5


def share_that_finds_no_slot(seed: int) -> float:
    """Replay requests of many entries that hear of loads now and then.

    A third of the slots is in use on average; an entry knows the load at
    each server's last status, and what it has sent there since.
    """
    rng = random.Random(seed)
    ends: list[list[float]] = [[] for _ in range(SERVERS)]
    told = [0] * SERVERS
    sent = [[0] * SERVERS for _ in range(ENTRIES)]
    next_status = [rng.random() * STATUS_S for _ in range(SERVERS)]
    now, full, asked = 0.0, 0, 0
    while now < 10.0:
        now += rng.expovariate(REQUESTS_PER_S)
        for server in range(SERVERS):
            ends[server] = [at for at in ends[server] if at > now]
            if next_status[server] <= now:
                next_status[server] += STATUS_S
                told[server] = len(ends[server])
                for known in sent:
                    known[server] = 0
        entry = sent[rng.randrange(ENTRIES)]
        chosen = load_balancing.choose_server(
            [
                dataclasses.replace(
                    KNOWN,
                    member=ids.MemberId(str(server)),
                    slots=SLOTS,
                    outstanding=told[server] + entry[server],
                )
                for server in range(SERVERS)
            ],
            rng,
        )
        server = int(str(chosen))
        entry[server] += 1
        asked += 1
        full += len(ends[server]) >= SLOTS
        ends[server].append(now + rng.expovariate(1 / WORK_S))
    return full / asked


def test_many_entries_with_old_knowledge_do_not_fill_the_same_servers() -> (
    None
):
    shares = [share_that_finds_no_slot(seed) for seed in (1, 2, 3)]
    assert max(shares) < 0.12
