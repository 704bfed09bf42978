"""Derives the ownership to write after the store came back from a copy.

What goes in is the newest ownership that anyone knows, as it was before, and
the version of the store's object that the write will replace.  What comes out
belongs to the store's current era: all grants have new tokens, above any that
was ever given out.  ``docs/design/0011-store-eras.md`` shows why.

A token consists of the era, in its high bits, and a number that increases
within the era.  Neither is taken from stored numbers alone: those of the copy
are too low.  The number starts at the revision that the write replaces, times
``TOKENS_PER_WRITE``.  Each later write replaces a higher revision and takes
fewer tokens than that, so a write of this era that was lost to a late write
of the last one has used only lower tokens.
"""

import collections.abc
import typing

import msgspec

from bronzepaddle import documents, ids, key_ranges, store_versions

TOKENS_PER_WRITE: typing.Final = 1024
"""Upper limit of the tokens of one write: one for each member of a service."""

REVISIONS_PER_ERA: typing.Final = 2**32
TOKENS_PER_ERA: typing.Final = REVISIONS_PER_ERA * TOKENS_PER_WRITE


def newest(
    candidates: collections.abc.Iterable[key_ranges.Ownership | None],
) -> key_ranges.Ownership | None:
    """Return the ownership with the highest token, the first of several."""
    known = [ownership for ownership in candidates if ownership is not None]
    return max(known, key=lambda ownership: ownership.next_token, default=None)


def restore(
    ownership: key_ranges.Ownership, replaced: store_versions.StoreVersion
) -> key_ranges.Ownership | None:
    """Return an ownership with new tokens, to replace a version of the object.

    The writer must know that no earlier grant is in effect any more: all keys
    are marked as released.  Returns None if the tokens are used up.
    """
    first_token = max(
        replaced.era * TOKENS_PER_ERA
        + replaced.revision * TOKENS_PER_WRITE
        + 1,
        ownership.next_token,
    )
    # The order of the holders makes the result the same in each member.
    holders = list(
        dict.fromkeys(key_range.holder for key_range in ownership.ranges)
    )
    tokens = {
        holder: ids.Token(first_token + index)
        for index, holder in enumerate(holders)
    }
    next_token = ids.Token(first_token + len(holders))
    if (
        replaced.revision >= REVISIONS_PER_ERA
        or len(holders) >= TOKENS_PER_WRITE
        or next_token > documents.MAX_INTEGER
    ):
        return None
    ranges = tuple(
        msgspec.structs.replace(
            key_range,
            token=tokens[key_range.holder],
            released=True,
            handover="",
            replaced_token=ids.Token(0),
        )
        for key_range in ownership.ranges
    )
    return msgspec.structs.replace(
        ownership,
        next_token=next_token,
        ranges=key_ranges.merge_adjacent(ranges),
        era=replaced.era,
    )
