"""Tests which issued grants have to be released."""

import typing

import test_key_ranges
from bronzepaddle import ids, key_ranges
from bronzepaddle_node import issued_grants

A: typing.Final = test_key_ranges.A
B: typing.Final = test_key_ranges.B
UNTIL: typing.Final = 100.0


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
        issued.add(key_range, UNTIL)
    return issued


def test_only_the_reassigned_part_is_released_and_only_once() -> None:
    issued = all_granted(test_key_ranges.all_keys_owned_by(A))
    ((_, _, token),) = issued.held_until
    ownership = after_moves(key_ranges.Move(100, 199, B))
    assert issued.pop_replaced(ownership) == [(100, 199, token)]
    assert issued.pop_replaced(ownership) == []
    assert issued.held_until == {
        (0, 99, token): UNTIL,
        (200, key_ranges.LAST_KEY, token): UNTIL,
    }


def test_grant_of_a_larger_range_replaces_its_parts() -> None:
    token = ids.Token(7)
    issued = issued_grants.IssuedGrants()
    for first in (0, 16):
        issued.add(
            key_ranges.Range(first, first + 15, A, token, True), UNTIL + first
        )
    issued.add(key_ranges.Range(0, 31, A, token, True), UNTIL)
    assert issued.held_until == {(0, 31, token): UNTIL + 16}


def test_grants_end_with_the_run_of_the_server() -> None:
    issued = all_granted(test_key_ranges.all_keys_owned_by(A))
    grants = dict(issued.held_until)
    assert issued.set_run(A.run) == {}
    assert issued.set_run("next") == grants
    assert issued.held_until == {}
