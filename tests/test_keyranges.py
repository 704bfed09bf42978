"""Tests of the ownership object and of key assignment."""

import typing

import pytest
from bronzepaddle import ids, keyplan, keyranges, routes

SERVICE: typing.Final = ids.ServiceName("lots")


def holder(name: str, run: str = "1") -> keyranges.Holder:
    return keyranges.Holder(ids.MemberId(name), run)


A, B, C = holder("a"), holder("b"), holder("c")


def whole(
    owner: keyranges.Holder, token: int = 1, released: bool = True
) -> keyranges.Ownership:
    return keyranges.Ownership(
        SERVICE,
        ids.Token(token + 1),
        (
            keyranges.Range(
                0, keyranges.LAST_KEY, owner, ids.Token(token), released
            ),
        ),
    )


def sizes(found: keyranges.Ownership) -> dict[str, int]:
    key_counts: dict[str, int] = {}
    for owned in found.ranges:
        name = str(owned.holder.member)
        key_counts[name] = key_counts.get(name, 0) + owned.size
    return key_counts


def check_whole(found: keyranges.Ownership) -> None:
    assert found.ranges[0].first == 0
    assert found.ranges[-1].last == keyranges.LAST_KEY
    for before, after in zip(found.ranges, found.ranges[1:], strict=False):
        assert after.first == before.last + 1


def test_initial_ownership_is_even_and_spreads_adjacent_ranges() -> None:
    found = keyranges.dealt(SERVICE, (A, B, C), 64)
    check_whole(found)
    assert max(sizes(found).values()) - min(sizes(found).values()) <= 2048
    first_holders = {owned.holder for owned in found.ranges[:3]}
    assert first_holders == {A, B, C}


def test_move_out_of_the_middle() -> None:
    found = keyranges.moved(whole(A), [keyranges.Move(100, 199, B)])
    assert found is not None
    check_whole(found)
    assert sizes(found) == {"a": routes.KEY_COUNT - 100, "b": 100}
    moved = found.ranges[1]
    assert (moved.released, moved.token, moved.after) == (False, 2, 1)


def test_move_to_the_holder_changes_nothing() -> None:
    assert keyranges.moved(whole(A), [keyranges.Move(0, 99, A)]) is None


def test_one_token_for_all_keys_moved_to_a_holder() -> None:
    moves = [keyranges.Move(0, 9, B), keyranges.Move(20, 29, B)]
    found = keyranges.moved(whole(A), moves)
    assert found is not None
    tokens = {owned.token for owned in found.ranges if owned.holder == B}
    assert tokens == {2}
    assert found.next_token == 3


def test_release_marks_only_the_grant_with_the_token() -> None:
    once = keyranges.moved(whole(A), [keyranges.Move(0, 99, B)])
    assert once is not None
    twice = keyranges.moved(once, [keyranges.Move(0, 99, C)])
    assert twice is not None
    assert keyranges.released(twice, 0, 99, ids.Token(2)) is None
    assert twice.ranges[0].after == 2


def test_restart_keeps_the_wait_for_earlier_holders() -> None:
    once = keyranges.moved(whole(A), [keyranges.Move(0, 99, B)])
    assert once is not None
    again = keyranges.restarted(once, holder("b", "2"))
    assert again is not None
    assert not again.ranges[0].released
    assert again.ranges[0].token > once.ranges[0].token


@pytest.mark.parametrize("lost", ["a", "b", "c"])
def test_keys_of_a_lost_member_are_distributed(lost: str) -> None:
    now = keyranges.dealt(SERVICE, (A, B, C), 64)
    members = [
        keyplan.Standing(owner, owner.member != lost, owner.member == lost)
        for owner in (A, B, C)
    ]
    found = keyplan.plan(now, SERVICE, members)
    assert found is not None
    check_whole(found)
    key_counts = sizes(found)
    assert lost not in key_counts
    assert max(key_counts.values()) - min(key_counts.values()) <= 2048


def test_no_change_without_a_usable_member() -> None:
    members = [keyplan.Standing(A, usable=False, lost=True)]
    assert keyplan.plan(whole(A), SERVICE, members) is None


def test_joiner_gets_a_part_of_a_large_range() -> None:
    """A range over the whole key space moved back and forth forever."""
    members = [keyplan.Standing(owner, True, False) for owner in (A, B, C)]
    now: keyranges.Ownership | None = whole(A)
    for _ in range(4):
        assert now is not None
        found = keyplan.plan(now, SERVICE, members)
        if found is None:
            break
        now = found
    assert found is None
    assert now is not None
    assert set(sizes(now)) == {"a", "b", "c"}
    assert sizes(now)["a"] > routes.KEY_COUNT // 3
