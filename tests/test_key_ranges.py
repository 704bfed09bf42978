"""Tests of the ownership object and of key assignment."""

import typing

import msgspec
import pytest
from bronzepaddle import ids, key_assignment, key_ranges, route_table

SERVICE: typing.Final = ids.ServiceName("lots")


def holder(name: str, run: str = "1") -> key_ranges.Holder:
    return key_ranges.Holder(ids.MemberId(name), run)


A, B, C = holder("a"), holder("b"), holder("c")


def all_keys_owned_by(
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


def sizes(ownership: key_ranges.Ownership) -> dict[str, int]:
    key_counts: dict[str, int] = {}
    for owned in ownership.ranges:
        name = str(owned.holder.member)
        key_counts[name] = key_counts.get(name, 0) + owned.size
    return key_counts


def check_all_keys_owned(ownership: key_ranges.Ownership) -> None:
    assert ownership.ranges[0].first == 0
    assert ownership.ranges[-1].last == key_ranges.LAST_KEY
    for before, after in zip(
        ownership.ranges, ownership.ranges[1:], strict=False
    ):
        assert after.first == before.last + 1


def test_initial_ownership_is_even_and_spreads_adjacent_ranges() -> None:
    ownership = key_ranges.initial_ownership(SERVICE, (A, B, C), 64)
    check_all_keys_owned(ownership)
    assert (
        max(sizes(ownership).values()) - min(sizes(ownership).values()) <= 2048
    )
    first_holders = {owned.holder for owned in ownership.ranges[:3]}
    assert first_holders == {A, B, C}


def test_move_out_of_the_middle_splits_the_range() -> None:
    ownership = key_ranges.move_keys(
        all_keys_owned_by(A), [key_ranges.Move(100, 199, B)]
    )
    assert ownership is not None
    check_all_keys_owned(ownership)
    assert sizes(ownership) == {"a": route_table.KEY_COUNT - 100, "b": 100}
    part = ownership.ranges[1]
    assert (part.released, part.token, part.replaced_token) == (False, 2, 1)


def test_move_to_the_holder_changes_nothing() -> None:
    assert (
        key_ranges.move_keys(all_keys_owned_by(A), [key_ranges.Move(0, 99, A)])
        is None
    )


def test_one_token_for_all_keys_moved_to_a_holder() -> None:
    moves = [key_ranges.Move(0, 9, B), key_ranges.Move(20, 29, B)]
    ownership = key_ranges.move_keys(all_keys_owned_by(A), moves)
    assert ownership is not None
    tokens = {owned.token for owned in ownership.ranges if owned.holder == B}
    assert tokens == {2}
    assert ownership.next_token == 3


def test_release_marks_only_the_grant_with_the_token() -> None:
    moved_once = key_ranges.move_keys(
        all_keys_owned_by(A), [key_ranges.Move(0, 99, B)]
    )
    assert moved_once is not None
    moved_twice = key_ranges.move_keys(moved_once, [key_ranges.Move(0, 99, C)])
    assert moved_twice is not None
    assert key_ranges.mark_released(moved_twice, 0, 99, ids.Token(2)) is None
    assert moved_twice.ranges[0].replaced_token == 2


def test_restart_keeps_the_wait_for_earlier_holders() -> None:
    moved_once = key_ranges.move_keys(
        all_keys_owned_by(A), [key_ranges.Move(0, 99, B)]
    )
    assert moved_once is not None
    restarted = key_ranges.regrant_to_new_run(moved_once, holder("b", "2"))
    assert restarted is not None
    assert not restarted.ranges[0].released
    assert restarted.ranges[0].token > moved_once.ranges[0].token


@pytest.mark.parametrize("lost", ["a", "b", "c"])
def test_keys_of_a_lost_member_are_distributed(lost: str) -> None:
    ownership = key_ranges.initial_ownership(SERVICE, (A, B, C), 64)
    members = [
        key_assignment.MemberLoad(
            owner, owner.member != lost, owner.member == lost
        )
        for owner in (A, B, C)
    ]
    planned = key_assignment.plan(ownership, SERVICE, members)
    assert planned is not None
    check_all_keys_owned(planned)
    key_counts = sizes(planned)
    assert lost not in key_counts
    assert max(key_counts.values()) - min(key_counts.values()) <= 2048


def test_no_change_without_a_usable_member() -> None:
    members = [key_assignment.MemberLoad(A, usable=False, lost=True)]
    assert key_assignment.plan(all_keys_owned_by(A), SERVICE, members) is None


def test_joiner_gets_a_part_of_a_large_range() -> None:
    """Guards against moving one range back and forth forever.

    The ranges had been merged into a single one that covered all keys.
    """
    members = [
        key_assignment.MemberLoad(owner, True, False) for owner in (A, B, C)
    ]
    ownership: key_ranges.Ownership | None = all_keys_owned_by(A)
    for _ in range(4):
        assert ownership is not None
        planned = key_assignment.plan(ownership, SERVICE, members)
        if planned is None:
            break
        ownership = planned
    assert planned is None
    assert ownership is not None
    assert set(sizes(ownership)) == {"a", "b", "c"}
    assert sizes(ownership)["a"] > route_table.KEY_COUNT // 3


def test_longest_hold_outlives_all_changes() -> None:
    ownership = msgspec.structs.replace(
        all_keys_owned_by(A, released=False), longest_hold_s=2.0
    )
    moved = key_ranges.move_keys(ownership, [key_ranges.Move(0, 9, B)])
    assert moved is not None
    regranted = key_ranges.regrant_to_new_run(moved, holder("a", "2"))
    assert regranted is not None
    released = key_ranges.mark_released(
        regranted, 0, 9, regranted.ranges[0].token
    )
    assert released is not None
    stored = key_ranges.decode(key_ranges.encode(released))
    assert stored.longest_hold_s == 2.0


def test_object_of_an_earlier_release_has_no_longest_hold() -> None:
    ownership = all_keys_owned_by(A)
    body = key_ranges.encode(ownership)
    assert b"longest_hold_s" not in body
    assert key_ranges.decode(body).longest_hold_s == 0.0


@pytest.mark.parametrize("longest_hold_s", [-1.0, 601.0])
def test_odd_longest_hold_is_an_error(longest_hold_s: float) -> None:
    ownership = msgspec.structs.replace(
        all_keys_owned_by(A), longest_hold_s=longest_hold_s
    )
    with pytest.raises(msgspec.DecodeError, match="longest hold"):
        key_ranges.decode(key_ranges.encode(ownership))
