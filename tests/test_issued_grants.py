"""What has to be released of the grants that were sent to a server."""

import typing

import test_key_ranges
from bronzepaddle import ids, key_ranges
from bronzepaddle_node import issued_grants

A: typing.Final = test_key_ranges.A
B: typing.Final = test_key_ranges.B


def after_moves(*moves: key_ranges.Move) -> key_ranges.Ownership:
    found = key_ranges.move_keys(test_key_ranges.whole(A), moves)
    assert found is not None
    return found


def all_granted(now: key_ranges.Ownership) -> issued_grants.IssuedGrants:
    found = issued_grants.IssuedGrants()
    found.run_changed(A.run)
    for one in now.owned_by(A.member):
        found.note(one)
    return found


def test_only_the_part_that_went_elsewhere_is_released_once() -> None:
    found = all_granted(test_key_ranges.whole(A))
    token = found.places[0][2]
    now = after_moves(key_ranges.Move(100, 199, B))
    assert found.replaced(now) == [(100, 199, token)]
    assert found.replaced(now) == []
    assert found.places == [
        (0, 99, token),
        (200, key_ranges.LAST_KEY, token),
    ]


def test_grant_of_a_larger_range_takes_the_place_of_its_parts() -> None:
    token = ids.Token(7)
    found = issued_grants.IssuedGrants()
    for first in (0, 16):
        found.note(key_ranges.Range(first, first + 15, A, token, True))
    found.note(key_ranges.Range(0, 31, A, token, True))
    assert found.places == [(0, 31, token)]


def test_grants_of_a_run_that_has_ended_are_all_over() -> None:
    found = all_granted(test_key_ranges.whole(A))
    places = list(found.places)
    assert found.run_changed(A.run) == []
    assert found.run_changed("next") == places
    assert found.places == []
