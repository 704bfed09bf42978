"""Which member owns which range of keys: one object of the store a service.

The object changes only by conditional writes; each function below turns one
version into the next.  An owner acts on it only while it has read the object
within the last lease, and whoever takes a range over waits that long after
it has learned of its grant, unless the owner before has released the range.
``docs/design/0004-store-leases.md`` argues why nobody else holds it then.
"""

import collections.abc
import itertools
import typing

import msgspec

from bronzepaddle import ids, route_table

LAST_KEY: typing.Final = route_table.KEY_COUNT - 1


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """A member and the run of its backend server that holds keys."""

    member: ids.MemberId
    run: str


class Range(msgspec.Struct, frozen=True, array_like=True):
    """Keys from ``first`` to ``last``, both included, and who owns them.

    ``released`` tells that no earlier holder can act any more; ``handover``
    is what the last of them left for the next, empty if nothing.  ``after``
    is the token of the grant that this one replaced: only its holder can
    say that it has released the keys.
    """

    first: int
    last: int
    holder: Holder
    token: ids.Token
    released: bool
    handover: str = ""
    after: ids.Token = ids.Token(0)

    @property
    def size(self) -> int:
        """Return how many keys the range has."""
        return self.last - self.first + 1


class Ownership(msgspec.Struct, frozen=True):
    """All ranges of one service, in order, without gaps or overlaps."""

    service: ids.ServiceName
    next_token: ids.Token
    ranges: tuple[Range, ...]

    def owned_by(self, member: ids.MemberId) -> list[Range]:
        """Return the ranges of one member."""
        return [one for one in self.ranges if one.holder.member == member]

    def members(self) -> set[ids.MemberId]:
        """Return who owns anything."""
        return {one.holder.member for one in self.ranges}


Change: typing.TypeAlias = collections.abc.Callable[
    [Ownership | None], Ownership | None
]


class Move(msgspec.Struct, frozen=True):
    """Keys that are to go to another holder."""

    first: int
    last: int
    to: Holder


def encode(found: Ownership) -> bytes:
    """Return the object as the store holds it."""
    return msgspec.json.encode(found)


def decode(body: bytes) -> Ownership:
    """Return the object; raises ``msgspec.ValidationError``."""
    return msgspec.json.decode(body, type=Ownership)


def initial_ownership(
    service: ids.ServiceName,
    holders: collections.abc.Sequence[Holder],
    pieces: int,
) -> Ownership:
    """Return the first ownership: equal pieces, dealt out in turn.

    Many pieces, since busy keys lie close to one another: each member gets
    a part of every region of the key space.
    """
    count = max(pieces, len(holders))
    cuts = [
        route_table.KEY_COUNT * piece // count for piece in range(count + 1)
    ]
    ranges = tuple(
        Range(
            first,
            after - 1,
            holders[piece % len(holders)],
            ids.Token(1 + piece % len(holders)),
            True,
        )
        for piece, (first, after) in enumerate(itertools.pairwise(cuts))
    )
    return Ownership(service, ids.Token(1 + len(holders)), ranges)


def overlap(
    first: int, last: int, other_first: int, other_last: int
) -> tuple[int, int] | None:
    """Return the first and last key that two ranges share, if any."""
    shared = max(first, other_first), min(last, other_last)
    return shared if shared[0] <= shared[1] else None


def move_keys(
    now: Ownership, moves: collections.abc.Iterable[Move]
) -> Ownership | None:
    """Return the ownership with keys given to others, unreleased yet.

    Each new holder gets one token for all that it is given.  None if
    nothing changes.
    """
    tokens: dict[Holder, ids.Token] = {}
    ranges = list(now.ranges)
    for move in moves:
        token = tokens.setdefault(
            move.to, ids.Token(now.next_token + len(tokens))
        )
        ranges = [
            piece for one in ranges for piece in _split(one, move, token)
        ]
    if ranges == list(now.ranges):
        return None
    after = ids.Token(now.next_token + len(tokens))
    return Ownership(now.service, after, _merged(ranges))


def _split(
    one: Range, move: Move, token: ids.Token
) -> collections.abc.Iterator[Range]:
    """Yield the pieces of a range, the moved one with its new holder."""
    shared = overlap(one.first, one.last, move.first, move.last)
    if shared is None or one.holder == move.to:
        yield one
        return
    first, last = shared
    if one.first < first:
        yield msgspec.structs.replace(one, last=first - 1)
    yield Range(first, last, move.to, token, False, after=one.token)
    if last < one.last:
        yield msgspec.structs.replace(one, first=last + 1)


def mark_released(
    now: Ownership,
    first: int,
    last: int,
    token: ids.Token,
    handover: str = "",
) -> Ownership | None:
    """Return the ownership with keys marked as free of earlier holders.

    Marks only the grant with just this token: one that has replaced it
    since waits for another holder.  None if nothing changes.
    """
    ranges = tuple(
        msgspec.structs.replace(
            one, released=True, handover=handover, after=ids.Token(0)
        )
        if _within(one, first, last, token)
        else one
        for one in now.ranges
    )
    if ranges == now.ranges:
        return None
    return msgspec.structs.replace(now, ranges=_merged(ranges))


def _within(one: Range, first: int, last: int, token: ids.Token) -> bool:
    inside = first <= one.first and one.last <= last
    return inside and one.token == token and not one.released


def regrant_to_new_run(now: Ownership, holder: Holder) -> Ownership | None:
    """Return the ownership granted anew to a member's next server run.

    Only for a member that knows its former run to have ended: what is left
    of the wait for holders before it stays.
    """
    token = now.next_token
    ranges = tuple(
        msgspec.structs.replace(one, holder=holder, token=token, handover="")
        if one.holder.member == holder.member and one.holder != holder
        else one
        for one in now.ranges
    )
    if ranges == now.ranges:
        return None
    return Ownership(now.service, ids.Token(token + 1), _merged(ranges))


def _merged(ranges: collections.abc.Iterable[Range]) -> tuple[Range, ...]:
    """Return neighbours that are alike in everything as one range."""
    merged: list[Range] = []
    for one in ranges:
        last = merged[-1] if merged else None
        alike = (
            last is not None
            and last.last + 1 == one.first
            and msgspec.structs.replace(one, first=last.first, last=last.last)
            == last
        )
        if last is not None and alike:
            merged[-1] = msgspec.structs.replace(last, last=one.last)
        else:
            merged.append(one)
    return tuple(merged)


def affected_members(
    before: Ownership | None, after: Ownership
) -> frozenset[ids.MemberId]:
    """Return the members for whom two versions differ."""
    old = frozenset() if before is None else frozenset(before.ranges)
    changed = old.symmetric_difference(after.ranges)
    return frozenset(one.holder.member for one in changed)
