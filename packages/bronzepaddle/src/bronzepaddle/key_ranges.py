"""The ownership object: which member owns which range of keys.

The store has one such object for each service.  It changes only by
conditional writes; each function below derives the next version from the
current one.

An owner acts on its grants only under a lease (``store_leases``), which reads
of the object renew.  A new owner of a range waits for one lease time after it
has first read its grant, unless the previous owner has released the range.
``docs/design/0004-store-leases.md`` shows why no two owners act at once.
"""

import collections.abc
import itertools
import typing

import msgspec

from bronzepaddle import documents, ids, route_table

MAX_LONGEST_HOLD_S: typing.Final = 600.0
"""Maximum of ``Ownership.longest_hold_s``."""

LAST_KEY: typing.Final = route_table.KEY_COUNT - 1


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """A holder of keys: a member with a certain run of its backend server."""

    member: ids.MemberId
    run: str


class Range(msgspec.Struct, frozen=True, array_like=True):
    """The keys from ``first`` to ``last`` (inclusive) with their owner.

    ``released`` is set when no previous holder can serve them any more.
    ``handover`` is the data that the last of them passed to the new holder,
    or empty.
    ``replaced_token`` is the token of the grant that this one replaced:
    only the holder of that grant can confirm that it has released the
    keys.
    """

    first: int
    last: int
    holder: Holder
    token: ids.Token
    released: bool
    handover: str = ""
    replaced_token: ids.Token = ids.Token(0)

    @property
    def size(self) -> int:
        """Return the number of keys in the range."""
        return self.last - self.first + 1


class Ownership(msgspec.Struct, frozen=True, omit_defaults=True):
    """All key ranges of one service, in order, without gaps or overlaps.

    ``longest_hold_s`` is how long grants by command may last where the work
    of the servers needs it; 0 until it has.  It is never lowered, so a process
    that starts anew finds here how long grants of before may last.
    ``era`` is that of the store in which it was written.  In a later era it
    says nothing until it has been restored (``restored_ownership``).
    """

    service: ids.ServiceName
    next_token: ids.Token
    ranges: tuple[Range, ...]
    longest_hold_s: float = 0.0
    era: ids.StoreEra = ids.FIRST_ERA

    def owned_by(self, member: ids.MemberId) -> list[Range]:
        """Return the ranges that a member owns."""
        return [
            key_range
            for key_range in self.ranges
            if key_range.holder.member == member
        ]

    def members(self) -> set[ids.MemberId]:
        """Return the members that own keys."""
        return {key_range.holder.member for key_range in self.ranges}


Change: typing.TypeAlias = collections.abc.Callable[
    [Ownership | None], Ownership | None
]
"""Derives the next version of the object; None for no change."""


class Move(msgspec.Struct, frozen=True):
    """The keys from ``first`` to ``last``, to be moved to another holder."""

    first: int
    last: int
    to: Holder


def encode(ownership: Ownership) -> bytes:
    """Encode the object for the store."""
    return msgspec.json.encode(ownership)


def decode(body: bytes) -> Ownership:
    """Decode the object; raises ``msgspec.DecodeError`` if it is invalid."""
    ownership = documents.decode(body, Ownership)
    for problem in _errors(ownership):
        raise msgspec.ValidationError(problem)
    return ownership


def _errors(ownership: Ownership) -> collections.abc.Iterator[str]:
    """Yield errors of an object whose types are correct."""
    next_token = ownership.next_token
    if next_token > documents.MAX_INTEGER:
        yield f"next token {next_token} is out of range"
    if not 0 <= ownership.longest_hold_s <= MAX_LONGEST_HOLD_S:
        yield f"longest hold {ownership.longest_hold_s} s is out of range"
    next_first = 0
    for key_range in ownership.ranges:
        name = f"range from {key_range.first} to {key_range.last}"
        if not next_first == key_range.first <= key_range.last:
            yield f"{name} does not follow on key {next_first - 1}"
        if not 0 < key_range.token < next_token:
            yield f"{name}: token {key_range.token} is out of range"
        if not 0 <= key_range.replaced_token < next_token:
            yield f"{name}: replaced token is out of range"
        next_first = key_range.last + 1
    if next_first != route_table.KEY_COUNT:
        yield f"the ranges end at key {next_first - 1}"


def initial_ownership(
    service: ids.ServiceName,
    holders: collections.abc.Sequence[Holder],
    min_ranges: int,
) -> Ownership:
    """Return the initial ownership: equal ranges, assigned round robin.

    There is at least one range for each holder.  There are many small ranges
    because hot keys are often close together: each member gets a part of
    every region of the key space.
    """
    count = max(min_ranges, len(holders))
    bounds = [
        route_table.KEY_COUNT * index // count for index in range(count + 1)
    ]
    ranges = tuple(
        Range(
            first,
            end - 1,
            holders[index % len(holders)],
            ids.Token(1 + index % len(holders)),
            True,
        )
        for index, (first, end) in enumerate(itertools.pairwise(bounds))
    )
    return Ownership(service, ids.Token(1 + len(holders)), ranges)


def overlap(
    first: int, last: int, other_first: int, other_last: int
) -> tuple[int, int] | None:
    """Return the first and last key in the intersection of two ranges."""
    shared = max(first, other_first), min(last, other_last)
    return shared if shared[0] <= shared[1] else None


def move_keys(
    ownership: Ownership, moves: collections.abc.Iterable[Move]
) -> Ownership | None:
    """Return the ownership with keys moved to new holders.

    The moved keys are not released yet.  Each new holder gets one token for
    all keys moved to it.  Returns None if nothing changes.
    """
    tokens: dict[Holder, ids.Token] = {}
    ranges = list(ownership.ranges)
    for move in moves:
        token = tokens.setdefault(
            move.to, ids.Token(ownership.next_token + len(tokens))
        )
        ranges = [
            part
            for key_range in ranges
            for part in _split(key_range, move, token)
        ]
    if ranges == list(ownership.ranges):
        return None
    next_token = ids.Token(ownership.next_token + len(tokens))
    return msgspec.structs.replace(
        ownership, next_token=next_token, ranges=merge_adjacent(ranges)
    )


def _split(
    key_range: Range, move: Move, token: ids.Token
) -> collections.abc.Iterator[Range]:
    """Split a range by a move; the moved part gets the new holder."""
    shared = overlap(key_range.first, key_range.last, move.first, move.last)
    if shared is None or key_range.holder == move.to:
        yield key_range
        return
    first, last = shared
    if key_range.first < first:
        yield msgspec.structs.replace(key_range, last=first - 1)
    yield Range(
        first, last, move.to, token, False, replaced_token=key_range.token
    )
    if last < key_range.last:
        yield msgspec.structs.replace(key_range, first=last + 1)


def mark_released(
    ownership: Ownership,
    first: int,
    last: int,
    token: ids.Token,
    handover: str = "",
) -> Ownership | None:
    """Return the ownership with keys marked as released by previous holders.

    Marks only the grant with exactly this token.  A newer grant that has
    replaced it waits for a different holder.  Returns None if nothing
    changes.
    """
    ranges = tuple(
        msgspec.structs.replace(
            key_range,
            released=True,
            handover=handover,
            replaced_token=ids.Token(0),
        )
        if _is_unreleased(key_range, first, last, token)
        else key_range
        for key_range in ownership.ranges
    )
    if ranges == ownership.ranges:
        return None
    return msgspec.structs.replace(ownership, ranges=merge_adjacent(ranges))


def _is_unreleased(
    key_range: Range, first: int, last: int, token: ids.Token
) -> bool:
    inside = first <= key_range.first and key_range.last <= last
    return inside and key_range.token == token and not key_range.released


def regrant_to_new_run(
    ownership: Ownership, holder: Holder
) -> Ownership | None:
    """Return the ownership with a member's keys granted to its new run.

    The member grants them only once its previous run can't hold them any more.
    Keys that earlier holders have not released yet stay unreleased.
    """
    token = ownership.next_token
    ranges = tuple(
        msgspec.structs.replace(
            key_range, holder=holder, token=token, handover=""
        )
        if key_range.holder.member == holder.member
        and key_range.holder != holder
        else key_range
        for key_range in ownership.ranges
    )
    if ranges == ownership.ranges:
        return None
    return msgspec.structs.replace(
        ownership,
        next_token=ids.Token(token + 1),
        ranges=merge_adjacent(ranges),
    )


def renew_tokens(
    ownership: Ownership,
    holder: Holder,
    tokens: collections.abc.Container[ids.Token],
) -> Ownership | None:
    """Return the ownership with a new token for a holder's keys.

    Replaces the given tokens.  Returns None if it holds no keys under them.
    """
    ranges = tuple(
        msgspec.structs.replace(
            key_range, token=ownership.next_token, handover=""
        )
        if key_range.holder == holder and key_range.token in tokens
        else key_range
        for key_range in ownership.ranges
    )
    if ranges == ownership.ranges:
        return None
    return msgspec.structs.replace(
        ownership,
        next_token=ids.Token(ownership.next_token + 1),
        ranges=merge_adjacent(ranges),
    )


def merge_adjacent(
    ranges: collections.abc.Iterable[Range],
) -> tuple[Range, ...]:
    """Merge adjacent ranges that differ only in their keys."""
    merged: list[Range] = []
    for key_range in ranges:
        previous = merged[-1] if merged else None
        mergeable = (
            previous is not None
            and previous.last + 1 == key_range.first
            and msgspec.structs.replace(
                key_range, first=previous.first, last=previous.last
            )
            == previous
        )
        if previous is not None and mergeable:
            merged[-1] = msgspec.structs.replace(previous, last=key_range.last)
        else:
            merged.append(key_range)
    return tuple(merged)


def members_with_changed_ranges(
    before: Ownership | None, after: Ownership
) -> frozenset[ids.MemberId]:
    """Return the members whose ranges differ between two versions."""
    old = frozenset() if before is None else frozenset(before.ranges)
    changed = old.symmetric_difference(after.ranges)
    return frozenset(key_range.holder.member for key_range in changed)
