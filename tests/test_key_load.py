"""Tests of hot key counting and of moves that balance load."""

import typing

import pytest
import test_key_ranges
from bronzepaddle import key_assignment, key_ranges
from bronzepaddle.load import key_load


def member(
    holder: key_ranges.Holder, utilization: float, *hot: key_load.KeyGroupLoad
) -> key_assignment.MemberLoad:
    return key_assignment.MemberLoad(
        holder,
        True,
        False,
        utilization=utilization,
        utilization_per_rps=0.01,
        hot=hot,
    )


HALVES: typing.Final = key_ranges.move_keys(
    test_key_ranges.all_keys_owned_by(test_key_ranges.A),
    [key_ranges.Move(32_768, key_ranges.LAST_KEY, test_key_ranges.B)],
)
HOT_GROUP: typing.Final = key_load.KeyGroupLoad(160, 175, 40.0)


def test_keys_with_dear_requests_are_hotter_than_keys_with_many() -> None:
    counter = key_load.KeyLoadCounter(0.0)
    for _ in range(5):
        counter.count(7)
    counter.count(100, 10.0)
    assert [group.first for group in counter.hottest()] == [96, 0]


def test_counter_reports_the_hottest_groups_and_decays() -> None:
    counter = key_load.KeyLoadCounter(0.0)
    for key in [7] * 50 + [100] * 20 + list(range(1000, 1100)):
        counter.count(key)
    counter.decay(0.1)
    assert [group.first for group in counter.hottest()[:2]] == [0, 96]
    assert len(counter.hottest()) <= key_load.MAX_REPORTED_GROUPS
    counter.decay(60.0)
    assert counter.hottest() == ()


def test_hot_keys_move_to_the_less_utilized_server() -> None:
    assert HALVES is not None
    members = [
        member(test_key_ranges.A, 1.2, HOT_GROUP),
        member(test_key_ranges.B, 0.3),
    ]
    planned = key_assignment.plan(HALVES, test_key_ranges.SERVICE, members)
    assert planned is not None
    test_key_ranges.check_all_keys_owned(planned)
    assert (
        test_key_ranges.sizes(planned)["b"]
        == test_key_ranges.sizes(HALVES)["b"] + 16
    )


@pytest.mark.parametrize(
    ("source_utilization", "target_utilization", "rate"),
    [
        (0.6, 0.1, 40.0),  # the new owner would be almost as busy
        (1.0, 0.9, 40.0),  # balanced already
        (1.0, 0.5, 90.0),  # one group accounts for the whole difference
    ],
)
def test_no_move_without_gain(
    source_utilization: float, target_utilization: float, rate: float
) -> None:
    assert HALVES is not None
    hot = key_load.KeyGroupLoad(160, 175, rate)
    members = [
        member(test_key_ranges.A, source_utilization, hot),
        member(test_key_ranges.B, target_utilization),
    ]
    assert (
        key_assignment.plan(HALVES, test_key_ranges.SERVICE, members) is None
    )


def test_hot_keys_that_have_another_owner_by_now_stay() -> None:
    assert HALVES is not None
    hot = key_load.KeyGroupLoad(40_000, 40_015, 40.0)
    members = [
        member(test_key_ranges.A, 1.2, hot),
        member(test_key_ranges.B, 0.3),
    ]
    assert (
        key_assignment.plan(HALVES, test_key_ranges.SERVICE, members) is None
    )


@pytest.mark.parametrize(
    ("utilization_per_rps", "new_owner"), [(0.005, "b"), (0.02, None)]
)
def test_hot_group_moves_only_to_a_server_that_is_fast_enough(
    utilization_per_rps: float, new_owner: str | None
) -> None:
    assert HALVES is not None
    members = [
        member(test_key_ranges.A, 1.0, key_load.KeyGroupLoad(160, 175, 90.0)),
        key_assignment.MemberLoad(
            test_key_ranges.B, True, False, 0.3, utilization_per_rps
        ),
    ]
    planned = key_assignment.plan(HALVES, test_key_ranges.SERVICE, members)
    if new_owner is None:
        assert planned is None
        return
    assert planned is not None
    assert test_key_ranges.sizes(planned)[new_owner] == 32_768 + 16


def test_whole_ranges_move_if_no_group_of_keys_is_hot() -> None:
    """Two servers own the same number of keys but differ in utilization."""
    initial = key_ranges.initial_ownership(
        test_key_ranges.SERVICE, [test_key_ranges.A, test_key_ranges.B], 64
    )
    cool_group = key_load.KeyGroupLoad(160, 175, 0.5)
    members = [
        member(test_key_ranges.A, 0.9, cool_group),
        member(test_key_ranges.B, 0.3),
    ]
    planned = key_assignment.plan(initial, test_key_ranges.SERVICE, members)
    assert planned is not None
    test_key_ranges.check_all_keys_owned(planned)
    gained = test_key_ranges.sizes(planned)["b"] - 32_768
    assert gained == key_assignment.MAX_RANGE_MOVES * 1024
    assert len(planned.ranges) <= len(initial.ranges)


def test_hot_keys_stay_above_the_maximum_number_of_ranges() -> None:
    range_count = key_assignment.MAX_RANGES * 2
    initial = key_ranges.initial_ownership(
        test_key_ranges.SERVICE,
        [test_key_ranges.A, test_key_ranges.B],
        range_count,
    )
    members = [
        member(test_key_ranges.A, 0.9, key_load.KeyGroupLoad(160, 167, 30.0)),
        member(test_key_ranges.B, 0.3),
    ]
    assert (
        key_assignment.plan(initial, test_key_ranges.SERVICE, members) is None
    )
