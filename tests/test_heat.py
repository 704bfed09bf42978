"""Tests of hot key counting and of moves that balance load."""

import typing

import pytest
import test_keyranges
from bronzepaddle import heat, keyplan, keyranges


def member(
    holder: keyranges.Holder, demand: float, *hot: heat.Hot
) -> keyplan.Standing:
    return keyplan.Standing(
        holder, True, False, demand=demand, each=0.01, hot=hot
    )


HALVES: typing.Final = keyranges.moved(
    test_keyranges.whole(test_keyranges.A),
    [keyranges.Move(32_768, keyranges.LAST_KEY, test_keyranges.B)],
)
BUSY_KEY: typing.Final = heat.Hot(160, 175, 40.0)


def test_counter_reports_the_hottest_groups_and_decays() -> None:
    counter = heat.Heat(0.0)
    for key in [7] * 50 + [100] * 20 + list(range(1000, 1100)):
        counter.note(key)
    counter.fade(0.1)
    assert [group.first for group in counter.hottest()[:2]] == [0, 96]
    assert len(counter.hottest()) <= heat.MOST_TOLD
    counter.fade(60.0)
    assert counter.hottest() == ()


def test_busy_keys_go_to_the_calm_server() -> None:
    assert HALVES is not None
    members = [
        member(test_keyranges.A, 1.2, BUSY_KEY),
        member(test_keyranges.B, 0.3),
    ]
    planned = keyplan.plan(HALVES, test_keyranges.SERVICE, members)
    assert planned is not None
    test_keyranges.check_whole(planned)
    assert (
        test_keyranges.sizes(planned)["b"]
        == test_keyranges.sizes(HALVES)["b"] + 16
    )


@pytest.mark.parametrize(
    ("busiest", "calmest", "rate"),
    [
        (0.6, 0.1, 40.0),  # the new owner would be almost as busy
        (1.0, 0.9, 40.0),  # balanced already
        (1.0, 0.5, 90.0),  # one group accounts for the whole difference
    ],
)
def test_no_move_without_gain(
    busiest: float, calmest: float, rate: float
) -> None:
    assert HALVES is not None
    hot = heat.Hot(160, 175, rate)
    members = [
        member(test_keyranges.A, busiest, hot),
        member(test_keyranges.B, calmest),
    ]
    assert keyplan.plan(HALVES, test_keyranges.SERVICE, members) is None


def test_keys_that_have_another_owner_by_now_stay() -> None:
    assert HALVES is not None
    hot = heat.Hot(40_000, 40_015, 40.0)
    members = [
        member(test_keyranges.A, 1.2, hot),
        member(test_keyranges.B, 0.3),
    ]
    assert keyplan.plan(HALVES, test_keyranges.SERVICE, members) is None


@pytest.mark.parametrize(
    ("fast_each", "new_owner"), [(0.005, "b"), (0.02, None)]
)
def test_one_busy_group_goes_to_a_server_that_is_fast_enough(
    fast_each: float, new_owner: str | None
) -> None:
    assert HALVES is not None
    members = [
        member(test_keyranges.A, 1.0, heat.Hot(160, 175, 90.0)),
        keyplan.Standing(test_keyranges.B, True, False, 0.3, fast_each),
    ]
    planned = keyplan.plan(HALVES, test_keyranges.SERVICE, members)
    if new_owner is None:
        assert planned is None
        return
    assert planned is not None
    assert test_keyranges.sizes(planned)[new_owner] == 32_768 + 16


def test_whole_ranges_go_where_no_group_of_keys_is_busy() -> None:
    """Servers with equally many keys differ in speed."""
    initial = keyranges.dealt(
        test_keyranges.SERVICE, [test_keyranges.A, test_keyranges.B], 64
    )
    calm = heat.Hot(160, 175, 0.5)
    members = [
        member(test_keyranges.A, 0.9, calm),
        member(test_keyranges.B, 0.3),
    ]
    planned = keyplan.plan(initial, test_keyranges.SERVICE, members)
    assert planned is not None
    test_keyranges.check_whole(planned)
    gained = test_keyranges.sizes(planned)["b"] - 32_768
    assert gained == keyplan.MAX_RANGE_MOVES * 1024
    assert len(planned.ranges) <= len(initial.ranges)


def test_hot_keys_stay_above_the_maximum_number_of_ranges() -> None:
    pieces = keyplan.MAX_RANGES * 2
    initial = keyranges.dealt(
        test_keyranges.SERVICE, [test_keyranges.A, test_keyranges.B], pieces
    )
    members = [
        member(test_keyranges.A, 0.9, heat.Hot(160, 167, 30.0)),
        member(test_keyranges.B, 0.3),
    ]
    assert keyplan.plan(initial, test_keyranges.SERVICE, members) is None
