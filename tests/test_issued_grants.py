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


def test_grants_of_an_earlier_run_last_until_their_time_is_over() -> None:
    issued = all_granted(test_key_ranges.all_keys_owned_by(A))
    grants = list(issued.held_until)
    key_range = key_ranges.Range(10, 19, A, ids.Token(99), True)
    issued.set_run(A.run)
    assert not issued.held_by_earlier_run(key_range, UNTIL - 1)
    issued.set_run("next")
    assert issued.held_until == {}
    assert issued.held_by_earlier_run(key_range, UNTIL - 1)
    assert not issued.held_by_earlier_run(key_range, UNTIL)
    assert issued.pop_expired(UNTIL - 1) == []
    assert issued.pop_expired(UNTIL) == grants


def test_replaced_grant_is_over_once_its_time_is() -> None:
    issued = all_granted(test_key_ranges.all_keys_owned_by(A))
    (released,) = issued.pop_replaced(
        after_moves(key_ranges.Move(100, 199, B))
    )
    (expired,) = issued.pop_replaced(
        after_moves(key_ranges.Move(100, 199, B), key_ranges.Move(300, 399, B))
    )
    assert issued.confirm_release(released) == UNTIL
    assert not issued.is_ending(released, A.run)
    assert issued.is_ending(expired, A.run)
    assert not issued.is_ending(expired, "next")
    assert issued.pop_expired(UNTIL) == [expired]
    assert issued.pop_expired(UNTIL) == []


def test_grant_made_again_with_its_token_is_not_over() -> None:
    ownership = test_key_ranges.all_keys_owned_by(A)
    issued = all_granted(ownership)
    issued.set_run("delayed")
    issued.set_run(A.run)
    for key_range in ownership.owned_by(A.member):
        issued.add(key_range, UNTIL + 1)
    assert issued.pop_expired(UNTIL) == []
