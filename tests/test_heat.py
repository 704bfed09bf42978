"""Busy keys are counted, and move where that evens servers out."""

import typing

import pytest
import test_keyranges
from bronzepaddle import heat, keyplan, keyranges


def standing(
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


def test_counts_name_the_busiest_keys_and_fade() -> None:
    found = heat.Heat(0.0)
    for key in [7] * 50 + [100] * 20 + list(range(1000, 1100)):
        found.note(key)
    found.fade(0.1)
    assert [one.first for one in found.hottest()[:2]] == [0, 96]
    assert len(found.hottest()) <= heat.MOST_TOLD
    found.fade(60.0)
    assert found.hottest() == ()


def test_busy_keys_go_to_the_calm_server() -> None:
    assert HALVES is not None
    standings = [
        standing(test_keyranges.A, 1.2, BUSY_KEY),
        standing(test_keyranges.B, 0.3),
    ]
    found = keyplan.plan(HALVES, test_keyranges.SERVICE, standings)
    assert found is not None
    test_keyranges.check_whole(found)
    assert (
        test_keyranges.sizes(found)["b"]
        == test_keyranges.sizes(HALVES)["b"] + 16
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
    hot = heat.Hot(160, 175, rate)
    standings = [
        standing(test_keyranges.A, busiest, hot),
        standing(test_keyranges.B, calmest),
    ]
    assert keyplan.plan(HALVES, test_keyranges.SERVICE, standings) is None


def test_keys_that_another_owns_by_now_stay() -> None:
    assert HALVES is not None
    hot = heat.Hot(40_000, 40_015, 40.0)
    standings = [
        standing(test_keyranges.A, 1.2, hot),
        standing(test_keyranges.B, 0.3),
    ]
    assert keyplan.plan(HALVES, test_keyranges.SERVICE, standings) is None


@pytest.mark.parametrize(("fast_each", "heir"), [(0.005, "b"), (0.02, None)])
def test_one_busy_group_goes_to_a_server_that_is_fast_enough(
    fast_each: float, heir: str | None
) -> None:
    assert HALVES is not None
    standings = [
        standing(test_keyranges.A, 1.0, heat.Hot(160, 175, 90.0)),
        keyplan.Standing(test_keyranges.B, True, False, 0.3, fast_each),
    ]
    found = keyplan.plan(HALVES, test_keyranges.SERVICE, standings)
    if heir is None:
        assert found is None
        return
    assert found is not None
    assert test_keyranges.sizes(found)[heir] == 32_768 + 16


def test_whole_ranges_go_where_no_group_of_keys_is_busy() -> None:
    """Keys dealt evenly to servers of different speed."""
    dealt = keyranges.dealt(
        test_keyranges.SERVICE, [test_keyranges.A, test_keyranges.B], 64
    )
    calm = heat.Hot(160, 175, 0.5)
    standings = [
        standing(test_keyranges.A, 0.9, calm),
        standing(test_keyranges.B, 0.3),
    ]
    found = keyplan.plan(dealt, test_keyranges.SERVICE, standings)
    assert found is not None
    test_keyranges.check_whole(found)
    gained = test_keyranges.sizes(found)["b"] - 32_768
    assert gained == keyplan.MAX_RANGE_MOVES * 1024
    assert len(found.ranges) <= len(dealt.ranges)


def test_busy_keys_are_left_alone_beyond_the_bound_of_ranges() -> None:
    pieces = keyplan.MAX_RANGES * 2
    dealt = keyranges.dealt(
        test_keyranges.SERVICE, [test_keyranges.A, test_keyranges.B], pieces
    )
    standings = [
        standing(test_keyranges.A, 0.9, heat.Hot(160, 167, 30.0)),
        standing(test_keyranges.B, 0.3),
    ]
    assert keyplan.plan(dealt, test_keyranges.SERVICE, standings) is None
