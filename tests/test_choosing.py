"""Servers among which a request may choose."""

import collections
import dataclasses
import random
import typing

from bronzepaddle import choosing, ids

KNOWN: typing.Final = choosing.Candidate(
    ids.MemberId("known"), 9, 0, 0.004, cold=False, same_zone=True
)


def chosen(*candidates: choosing.Candidate) -> "collections.Counter[str]":
    draw = random.Random(1)
    return collections.Counter(
        str(choosing.choose(candidates, draw)) for _ in range(1000)
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
    assert choosing.choose([], random.Random(1)) is None
