"""Busy keys are counted, and move where that evens servers out."""

import typing

import pytest
import test_key_ranges
from bronzepaddle import key_assignment, key_load, key_ranges


def standing(
    holder: key_ranges.Holder, demand: float, *hot: key_load.KeyGroupLoad
) -> key_assignment.MemberLoad:
    return key_assignment.MemberLoad(
        holder,
        True,
        False,
        utilization=demand,
        utilization_per_rps=0.01,
        hot=hot,
    )


HALVES: typing.Final = key_ranges.move_keys(
    test_key_ranges.whole(test_key_ranges.A),
    [key_ranges.Move(32_768, key_ranges.LAST_KEY, test_key_ranges.B)],
)
BUSY_KEY: typing.Final = key_load.KeyGroupLoad(160, 175, 40.0)


def test_counts_name_the_busiest_keys_and_fade() -> None:
    found = key_load.KeyLoadCounter(0.0)
    for key in [7] * 50 + [100] * 20 + list(range(1000, 1100)):
        found.note(key)
    found.decay(0.1)
    assert [one.first for one in found.hottest()[:2]] == [0, 96]
    assert len(found.hottest()) <= key_load.MAX_REPORTED_GROUPS
    found.decay(60.0)
    assert found.hottest() == ()


def test_busy_keys_go_to_the_calm_server() -> None:
    assert HALVES is not None
    standings = [
        standing(test_key_ranges.A, 1.2, BUSY_KEY),
        standing(test_key_ranges.B, 0.3),
    ]
    found = key_assignment.plan(HALVES, test_key_ranges.SERVICE, standings)
    assert found is not None
    test_key_ranges.check_whole(found)
    assert (
        test_key_ranges.sizes(found)["b"]
        == test_key_ranges.sizes(HALVES)["b"] + 16
    )


@pytest.mark.parametrize(
    ("busiest", "calmest", "rate"),
    [
        (0.6, 0.1, 40.0),  # nobody is busy
        (1.0, 0.9, 40.0),  # even already
        (1.0, 0.5, 90.0),  # one group is the test_keyranges.whole difference
    ],
)
def test_no_move_that_gains_nothing(
    busiest: float, calmest: float, rate: float
) -> None:
    assert HALVES is not None
    hot = key_load.KeyGroupLoad(160, 175, rate)
    standings = [
        standing(test_key_ranges.A, busiest, hot),
        standing(test_key_ranges.B, calmest),
    ]
    assert (
        key_assignment.plan(HALVES, test_key_ranges.SERVICE, standings) is None
    )


def test_keys_that_another_owns_by_now_stay() -> None:
    assert HALVES is not None
    hot = key_load.KeyGroupLoad(40_000, 40_015, 40.0)
    standings = [
        standing(test_key_ranges.A, 1.2, hot),
        standing(test_key_ranges.B, 0.3),
    ]
    assert (
        key_assignment.plan(HALVES, test_key_ranges.SERVICE, standings) is None
    )


@pytest.mark.parametrize(("fast_each", "heir"), [(0.005, "b"), (0.02, None)])
def test_one_busy_group_goes_to_a_server_that_is_fast_enough(
    fast_each: float, heir: str | None
) -> None:
    assert HALVES is not None
    standings = [
        standing(
            test_key_ranges.A, 1.0, key_load.KeyGroupLoad(160, 175, 90.0)
        ),
        key_assignment.MemberLoad(
            test_key_ranges.B, True, False, 0.3, fast_each
        ),
    ]
    found = key_assignment.plan(HALVES, test_key_ranges.SERVICE, standings)
    if heir is None:
        assert found is None
        return
    assert found is not None
    assert test_key_ranges.sizes(found)[heir] == 32_768 + 16


def test_whole_ranges_go_where_no_group_of_keys_is_busy() -> None:
    """Keys dealt evenly to servers of different speed."""
    dealt = key_ranges.initial_ownership(
        test_key_ranges.SERVICE, [test_key_ranges.A, test_key_ranges.B], 64
    )
    calm = key_load.KeyGroupLoad(160, 175, 0.5)
    standings = [
        standing(test_key_ranges.A, 0.9, calm),
        standing(test_key_ranges.B, 0.3),
    ]
    found = key_assignment.plan(dealt, test_key_ranges.SERVICE, standings)
    assert found is not None
    test_key_ranges.check_whole(found)
    gained = test_key_ranges.sizes(found)["b"] - 32_768
    assert gained == key_assignment.MOST_RANGE_MOVES * 1024
    assert len(found.ranges) <= len(dealt.ranges)


def test_busy_keys_are_left_alone_beyond_the_bound_of_ranges() -> None:
    pieces = key_assignment.MOST_RANGES * 2
    dealt = key_ranges.initial_ownership(
        test_key_ranges.SERVICE, [test_key_ranges.A, test_key_ranges.B], pieces
    )
    standings = [
        standing(
            test_key_ranges.A, 0.9, key_load.KeyGroupLoad(160, 167, 30.0)
        ),
        standing(test_key_ranges.B, 0.3),
    ]
    assert (
        key_assignment.plan(dealt, test_key_ranges.SERVICE, standings) is None
    )
