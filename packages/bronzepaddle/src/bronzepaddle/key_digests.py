"""Digests of the keys that members own in a version of the ownership object.

A read of the object shows a member that it still owns its keys if their digest
is that of the keys that it knows, whichever versions the two are.  A member
that loses keys and gets them back has them with another token, and so another
digest.
"""

import collections.abc
import itertools
import typing

import msgspec
import xxhash

from bronzepaddle import ids, key_ranges

KeysDigest = typing.NewType("KeysDigest", int)
"""A 64-bit hash of the keys of one member, with their tokens."""

UNKNOWN: typing.Final = KeysDigest(0)
"""Stands for a digest that is not known; it equals none."""


def digests(
    ownership: key_ranges.Ownership,
) -> dict[ids.MemberId, KeysDigest]:
    """Return the digest of the keys of each member that owns any."""
    ranges_by_member: dict[ids.MemberId, list[key_ranges.Range]] = {}
    for key_range in ownership.ranges:
        member = key_range.holder.member
        ranges_by_member.setdefault(member, []).append(key_range)
    return {
        member: digest(ranges) for member, ranges in ranges_by_member.items()
    }


def digest(
    ranges: collections.abc.Iterable[key_ranges.Range],
) -> KeysDigest:
    """Return the digest of the keys of one member, in ascending order.

    How they are divided into ranges makes no difference.
    """
    parts = tuple(_merged(ranges))
    return KeysDigest(
        xxhash.xxh64_intdigest(msgspec.msgpack.encode(parts)) or 1
    )


def _merged(
    ranges: collections.abc.Iterable[key_ranges.Range],
) -> collections.abc.Iterator[tuple[int, int, str, ids.Token]]:
    """Yield first key, last key, run and token, adjacent ranges as one."""
    by_grant = itertools.groupby(
        _with_gaps(ranges),
        key=lambda part: (part[0], part[1].holder, part[1].token),
    )
    for (_, holder, token), group in by_grant:
        adjacent = [key_range for _, key_range in group]
        yield adjacent[0].first, adjacent[-1].last, holder.run, token


def _with_gaps(
    ranges: collections.abc.Iterable[key_ranges.Range],
) -> collections.abc.Iterator[tuple[int, key_ranges.Range]]:
    """Yield each range with the number of gaps before it."""
    gaps, next_first = 0, 0
    for key_range in ranges:
        gaps += key_range.first != next_first
        next_first = key_range.last + 1
        yield gaps, key_range
