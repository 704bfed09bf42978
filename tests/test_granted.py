"""Tests which issued grants have to be released."""

import typing

import test_keyranges
from bronzepaddle import ids, keyranges
from bronzepaddle_node import granted

A: typing.Final = test_keyranges.A
B: typing.Final = test_keyranges.B


def after_moves(*moves: keyranges.Move) -> keyranges.Ownership:
    found = keyranges.moved(test_keyranges.whole(A), moves)
    assert found is not None
    return found


def all_granted(now: keyranges.Ownership) -> granted.Granted:
    found = granted.Granted()
    found.restart_for(A.run)
    for key_range in now.owned_by(A.member):
        found.add(key_range)
    return found


def test_only_the_reassigned_part_is_released_and_only_once() -> None:
    found = all_granted(test_keyranges.whole(A))
    token = found.grants[0][2]
    now = after_moves(keyranges.Move(100, 199, B))
    assert found.pop_replaced(now) == [(100, 199, token)]
    assert found.pop_replaced(now) == []
    assert found.grants == [
        (0, 99, token),
        (200, keyranges.LAST_KEY, token),
    ]


def test_grant_of_a_larger_range_replaces_its_parts() -> None:
    token = ids.Token(7)
    issued = granted.Granted()
    for first in (0, 16):
        issued.add(keyranges.Range(first, first + 15, A, token, True))
    issued.add(keyranges.Range(0, 31, A, token, True))
    assert issued.grants == [(0, 31, token)]


def test_grants_end_with_the_run_of_the_server() -> None:
    found = all_granted(test_keyranges.whole(A))
    issued = list(found.grants)
    assert found.restart_for(A.run) == []
    assert found.restart_for("next") == issued
    assert found.grants == []
