"""Tests of the tokens that restored owners of keys get."""

import typing

import msgspec
import pytest
from bronzepaddle import (
    documents,
    ids,
    key_ranges,
    restored_ownership,
    store_versions,
)

SERVICE: typing.Final = ids.ServiceName("shop")
HOLDERS: typing.Final = [
    key_ranges.Holder(ids.MemberId(name), f"{name}@1") for name in "abc"
]


def version(era: int, revision: int) -> store_versions.StoreVersion:
    return store_versions.StoreVersion(
        ids.StoreEra(era), ids.ObjectVersion(revision)
    )


def restore(
    before: key_ranges.Ownership, era: int, revision: int
) -> key_ranges.Ownership:
    after = restored_ownership.restore(before, version(era, revision))
    assert after is not None
    return after


INITIAL: typing.Final = key_ranges.initial_ownership(SERVICE, HOLDERS, 9)


def test_holders_stay_and_hold_nothing_of_before() -> None:
    after = restore(INITIAL, 2, 40)
    for holder in HOLDERS:
        owned = after.owned_by(holder.member)
        assert sum(key_range.size for key_range in owned) == sum(
            key_range.size for key_range in INITIAL.owned_by(holder.member)
        )
        assert len({key_range.token for key_range in owned}) == 1
    assert all(key_range.released for key_range in after.ranges)
    assert after.era == 2
    assert key_ranges.decode(key_ranges.encode(after)) == after


def test_longest_time_of_grants_is_kept() -> None:
    """A process that starts anew waits for grants of that time."""
    before = msgspec.structs.replace(INITIAL, longest_hold_s=2.0)
    after = restore(before, 2, 40)
    assert (after.longest_hold_s, after.era) == (2.0, 2)


@pytest.mark.parametrize(
    ("earlier", "later"),
    [((1, 7), (1, 8)), ((1, 2**32 - 1), (2, 0)), ((3, 9), (4, 1))],
)
def test_tokens_rise_with_revision_and_era(
    earlier: tuple[int, int], later: tuple[int, int]
) -> None:
    """What is restored twice from the same ownership has no token twice."""
    first, second = restore(INITIAL, *earlier), restore(INITIAL, *later)
    assert first.next_token <= min(
        key_range.token for key_range in second.ranges
    )


def test_known_tokens_are_exceeded() -> None:
    known = msgspec.structs.replace(INITIAL, next_token=ids.Token(2**50))
    tokens = [key_range.token for key_range in restore(known, 1, 7).ranges]
    assert min(tokens) >= 2**50


def test_nothing_is_restored_without_a_token_left() -> None:
    too_late = version(documents.MAX_COUNT, 2**32 - 1)
    assert restored_ownership.restore(INITIAL, too_late) is None
    assert restored_ownership.restore(INITIAL, version(1, 2**32)) is None
