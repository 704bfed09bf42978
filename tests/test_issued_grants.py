"""Tests which issued grants have to be released."""

import typing

import test_key_ranges
from bronzepaddle import ids, key_ranges
from bronzepaddle_node import issued_grants

A: typing.Final = test_key_ranges.A
B: typing.Final = test_key_ranges.B


def after_moves(*moves: key_ranges.Move) -> key_ranges.Ownership:
    ownership = key_ranges.move_keys(
        test_key_ranges.all_keys_owned_by(A), moves
    )
    assert ownership is not None
    return ownership


def all_granted(ownership: key_ranges.Ownership) -> issued_grants.IssuedGrants:
    issued = issued_grants.IssuedGrants()
    issued.set_run(A.run)
    for key_range in ownership.owned_by(A.member):
        issued.add(key_range)
    return issued


def test_only_the_reassigned_part_is_released_and_only_once() -> None:
    issued = all_granted(test_key_ranges.all_keys_owned_by(A))
    token = issued.grants[0][2]
    ownership = after_moves(key_ranges.Move(100, 199, B))
    assert issued.pop_replaced(ownership) == [(100, 199, token)]
    assert issued.pop_replaced(ownership) == []
    assert issued.grants == [
        (0, 99, token),
        (200, key_ranges.LAST_KEY, token),
    ]


def test_grant_of_a_larger_range_replaces_its_parts() -> None:
    token = ids.Token(7)
    issued = issued_grants.IssuedGrants()
    for first in (0, 16):
        issued.add(key_ranges.Range(first, first + 15, A, token, True))
    issued.add(key_ranges.Range(0, 31, A, token, True))
    assert issued.grants == [(0, 31, token)]


def test_grants_end_with_the_run_of_the_server() -> None:
    issued = all_granted(test_key_ranges.all_keys_owned_by(A))
    grants = list(issued.grants)
    assert issued.set_run(A.run) == []
    assert issued.set_run("next") == grants
    assert issued.grants == []
