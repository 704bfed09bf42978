"""Who owns which keys: the object's changes and the plans for them."""

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
    counted: dict[str, int] = {}
    for one in found.ranges:
        name = str(one.holder.member)
        counted[name] = counted.get(name, 0) + one.size
    return counted


def check_whole(found: keyranges.Ownership) -> None:
    assert found.ranges[0].first == 0
    assert found.ranges[-1].last == keyranges.LAST_KEY
    for before, after in zip(found.ranges, found.ranges[1:], strict=False):
        assert after.first == before.last + 1


def test_first_deal_is_even_and_spreads_neighbours() -> None:
    found = keyranges.dealt(SERVICE, (A, B, C), 64)
    check_whole(found)
    assert max(sizes(found).values()) - min(sizes(found).values()) <= 2048
    near = {one.holder for one in found.ranges[:3]}
    assert near == {A, B, C}


def test_move_out_of_the_middle() -> None:
    found = keyranges.moved(whole(A), [keyranges.Move(100, 199, B)])
    assert found is not None
    check_whole(found)
    assert sizes(found) == {"a": routes.KEY_COUNT - 100, "b": 100}
    moved = found.ranges[1]
    assert (moved.released, moved.token, moved.after) == (False, 2, 1)


def test_move_to_the_holder_changes_nothing() -> None:
    assert keyranges.moved(whole(A), [keyranges.Move(0, 99, A)]) is None


def test_one_token_for_all_that_a_holder_is_given() -> None:
    moves = [keyranges.Move(0, 9, B), keyranges.Move(20, 29, B)]
    found = keyranges.moved(whole(A), moves)
    assert found is not None
    tokens = {one.token for one in found.ranges if one.holder == B}
    assert tokens == {2}
    assert found.next_token == 3


def test_release_marks_only_the_grant_named() -> None:
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
def test_lost_keys_are_shared_out(lost: str) -> None:
    now = keyranges.dealt(SERVICE, (A, B, C), 64)
    standings = [
        keyplan.Standing(one, one.member != lost, one.member == lost)
        for one in (A, B, C)
    ]
    found = keyplan.plan(now, SERVICE, standings)
    assert found is not None
    check_whole(found)
    rest = sizes(found)
    assert lost not in rest
    assert max(rest.values()) - min(rest.values()) <= 2048


def test_all_lost_but_nobody_usable_changes_nothing() -> None:
    standings = [keyplan.Standing(A, usable=False, lost=True)]
    assert keyplan.plan(whole(A), SERVICE, standings) is None


def test_joiner_is_given_a_part_of_one_large_range() -> None:
    """A range merged to the whole key space went to and fro for ever."""
    standings = [keyplan.Standing(one, True, False) for one in (A, B, C)]
    now: keyranges.Ownership | None = whole(A)
    for _ in range(4):
        assert now is not None
        found = keyplan.plan(now, SERVICE, standings)
        if found is None:
            break
        now = found
    assert found is None
    assert now is not None
    assert set(sizes(now)) == {"a", "b", "c"}
    assert sizes(now)["a"] > routes.KEY_COUNT // 3
