"""Who owns which keys: the object's changes and the plans for them."""

import typing

import pytest
from bronzepaddle import ids, key_assignment, key_ranges, route_table

SERVICE: typing.Final = ids.ServiceName("lots")


def holder(name: str, run: str = "1") -> key_ranges.Holder:
    return key_ranges.Holder(ids.MemberId(name), run)


A, B, C = holder("a"), holder("b"), holder("c")


def whole(
    owner: key_ranges.Holder, token: int = 1, released: bool = True
) -> key_ranges.Ownership:
    return key_ranges.Ownership(
        SERVICE,
        ids.Token(token + 1),
        (
            key_ranges.Range(
                0, key_ranges.LAST_KEY, owner, ids.Token(token), released
            ),
        ),
    )


def sizes(found: key_ranges.Ownership) -> dict[str, int]:
    counted: dict[str, int] = {}
    for one in found.ranges:
        name = str(one.holder.member)
        counted[name] = counted.get(name, 0) + one.size
    return counted


def check_whole(found: key_ranges.Ownership) -> None:
    assert found.ranges[0].first == 0
    assert found.ranges[-1].last == key_ranges.LAST_KEY
    for before, after in zip(found.ranges, found.ranges[1:], strict=False):
        assert after.first == before.last + 1


def test_first_deal_is_even_and_spreads_neighbours() -> None:
    found = key_ranges.initial_ownership(SERVICE, (A, B, C), 64)
    check_whole(found)
    assert max(sizes(found).values()) - min(sizes(found).values()) <= 2048
    near = {one.holder for one in found.ranges[:3]}
    assert near == {A, B, C}


def test_move_out_of_the_middle() -> None:
    found = key_ranges.move_keys(whole(A), [key_ranges.Move(100, 199, B)])
    assert found is not None
    check_whole(found)
    assert sizes(found) == {"a": route_table.KEY_COUNT - 100, "b": 100}
    moved = found.ranges[1]
    assert (moved.released, moved.token, moved.after) == (False, 2, 1)


def test_move_to_the_holder_changes_nothing() -> None:
    assert key_ranges.move_keys(whole(A), [key_ranges.Move(0, 99, A)]) is None


def test_one_token_for_all_that_a_holder_is_given() -> None:
    moves = [key_ranges.Move(0, 9, B), key_ranges.Move(20, 29, B)]
    found = key_ranges.move_keys(whole(A), moves)
    assert found is not None
    tokens = {one.token for one in found.ranges if one.holder == B}
    assert tokens == {2}
    assert found.next_token == 3


def test_release_marks_only_the_grant_named() -> None:
    once = key_ranges.move_keys(whole(A), [key_ranges.Move(0, 99, B)])
    assert once is not None
    twice = key_ranges.move_keys(once, [key_ranges.Move(0, 99, C)])
    assert twice is not None
    assert key_ranges.mark_released(twice, 0, 99, ids.Token(2)) is None
    assert twice.ranges[0].after == 2


def test_restart_keeps_the_wait_for_earlier_holders() -> None:
    once = key_ranges.move_keys(whole(A), [key_ranges.Move(0, 99, B)])
    assert once is not None
    again = key_ranges.regrant_to_new_run(once, holder("b", "2"))
    assert again is not None
    assert not again.ranges[0].released
    assert again.ranges[0].token > once.ranges[0].token


@pytest.mark.parametrize("lost", ["a", "b", "c"])
def test_lost_keys_are_shared_out(lost: str) -> None:
    now = key_ranges.initial_ownership(SERVICE, (A, B, C), 64)
    standings = [
        key_assignment.MemberLoad(one, one.member != lost, one.member == lost)
        for one in (A, B, C)
    ]
    found = key_assignment.plan(now, SERVICE, standings)
    assert found is not None
    check_whole(found)
    rest = sizes(found)
    assert lost not in rest
    assert max(rest.values()) - min(rest.values()) <= 2048


def test_all_lost_but_nobody_usable_changes_nothing() -> None:
    standings = [key_assignment.MemberLoad(A, usable=False, lost=True)]
    assert key_assignment.plan(whole(A), SERVICE, standings) is None


def test_joiner_is_given_a_part_of_one_large_range() -> None:
    """A range merged to the whole key space went to and fro for ever."""
    standings = [
        key_assignment.MemberLoad(one, True, False) for one in (A, B, C)
    ]
    now: key_ranges.Ownership | None = whole(A)
    for _ in range(4):
        assert now is not None
        found = key_assignment.plan(now, SERVICE, standings)
        if found is None:
            break
        now = found
    assert found is None
    assert now is not None
    assert set(sizes(now)) == {"a", "b", "c"}
    assert sizes(now)["a"] > route_table.KEY_COUNT // 3
