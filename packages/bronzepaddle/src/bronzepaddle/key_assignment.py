"""Plans who should own which keys, from what is known of the servers.

Answers three patterns: the first start, where keys are dealt out evenly; the
loss or the leaving of a server, whose keys go to those that have fewest; a
server that joins, which is given a part, since moving keys has a price; and
keys that are busy, which go from a server with too much to one with room.
The result is written to the store by whoever asked; it decides nothing
alone.
"""

import collections
import collections.abc
import dataclasses
import enum
import typing

from bronzepaddle import ids, key_load, key_ranges, route_table

PIECES: typing.Final = 64
"""Pieces that the key space is first cut into."""

JOINER_SHARE: typing.Final = 0.5
"""Part of an even share that a server is given when it joins."""


BUSY: typing.Final = 0.45
"""Share of a server's time asked for, above which it is relieved."""

UNEVEN: typing.Final = 0.15
"""Difference between two servers' shares that is not worth a move."""

LEAST_HOT: typing.Final = 0.01
"""Share of a server's time below which a group of keys is not worth ranges
of its own; whole ranges are moved then."""

MOST_RANGES: typing.Final = 512
"""Ranges beyond which busy keys stay: each costs a grant an interval."""

MOST_HOT_MOVES: typing.Final = 24
"""Groups of busy keys that one plan moves at most."""

LEAST_RANGE: typing.Final = 256
"""Keys of a range that is worth being moved for the sake of balance."""

MOST_RANGE_MOVES: typing.Final = 3
"""Whole ranges that one plan moves at most for the sake of balance."""


class Part(enum.Enum):
    """What a plan moves for the sake of balance."""

    GROUP = "group"
    RANGE = "range"


@dataclasses.dataclass(frozen=True)
class MemberLoad:
    """One member of a service, as the planner knows it.

    ``usable``: its server takes new work.  ``lost``: nothing is to be
    expected from it any more, so its keys need another owner.  ``utilization``
    is the share of the server's time that its requests ask for (above 1:
    more than it has), ``utilization_per_rps`` that of one request a second.
    """

    holder: key_ranges.Holder
    usable: bool
    lost: bool
    utilization: float = 0.0
    utilization_per_rps: float = 0.0
    hot: tuple[key_load.KeyGroupLoad, ...] = ()


def plan(
    now: key_ranges.Ownership | None,
    service: ids.ServiceName,
    standings: collections.abc.Sequence[MemberLoad],
) -> key_ranges.Ownership | None:
    """Return the ownership that should be next, None to leave it."""
    usable = sorted(
        (one.holder for one in standings if one.usable),
        key=lambda holder: holder.member,
    )
    if not usable:
        return None
    if now is None:
        return key_ranges.initial_ownership(service, usable, PIECES)
    load = _load(now, usable)
    moves = list(_from_lost(now, standings, load))
    if not moves:
        moves = list(_to_joiner(now, usable, load))
    if not moves:
        moves = list(_from_busy(now, standings))
    return key_ranges.move_keys(now, moves) if moves else None


def _load(
    now: key_ranges.Ownership,
    usable: collections.abc.Iterable[key_ranges.Holder],
) -> "collections.Counter[key_ranges.Holder]":
    """Return how many keys each usable holder has."""
    load: collections.Counter[key_ranges.Holder] = collections.Counter(
        dict.fromkeys(usable, 0)
    )
    for one in now.ranges:
        if one.holder in load:
            load[one.holder] += one.size
    return load


def _from_lost(
    now: key_ranges.Ownership,
    standings: collections.abc.Iterable[MemberLoad],
    load: "collections.Counter[key_ranges.Holder]",
) -> collections.abc.Iterator[key_ranges.Move]:
    """Yield moves of what lost members own, to those with fewest keys."""
    known = {one.holder.member: one for one in standings}
    for one in now.ranges:
        standing = known.get(one.holder.member)
        if standing is not None and not standing.lost:
            continue
        for first, last in _pieces(one):
            heir = min(load, key=lambda holder: (load[holder], holder.member))
            load[heir] += last - first + 1
            yield key_ranges.Move(first, last, heir)


def _to_joiner(
    now: key_ranges.Ownership,
    usable: collections.abc.Sequence[key_ranges.Holder],
    load: "collections.Counter[key_ranges.Holder]",
) -> collections.abc.Iterator[key_ranges.Move]:
    """Yield moves to the first usable holder that owns nothing.

    The richest gives, piece by piece: never so much that it would be the
    next to be given some.
    """
    owners = now.members()
    joiner = next((one for one in usable if one.member not in owners), None)
    if joiner is None:
        return
    wanted = JOINER_SHARE * route_table.KEY_COUNT / len(usable)
    pieces: dict[key_ranges.Holder, list[tuple[int, int]]] = {}
    for one in now.ranges:
        pieces.setdefault(one.holder, []).extend(_pieces(one))
    while load[joiner] < wanted:
        giver = max(load, key=lambda holder: (load[holder], holder.member))
        if giver == joiner or not pieces.get(giver):
            return
        first, last = pieces[giver].pop()
        load[giver] -= last - first + 1
        load[joiner] += last - first + 1
        yield key_ranges.Move(first, last, joiner)


def _from_busy(
    now: key_ranges.Ownership, standings: collections.abc.Sequence[MemberLoad]
) -> collections.abc.Iterator[key_ranges.Move]:
    """Yield moves of keys from the busiest server to others.

    Busy groups of keys go first, each where it leaves the most room, as
    servers differ in speed; then whole ranges, which costs no more ranges.
    What would only turn two servers around stays.
    """
    able = [one for one in standings if one.usable]
    if len(able) < 2:
        return
    demand = {one.holder: one.utilization for one in able}
    busiest = max(able, key=lambda one: one.utilization)
    others = [one for one in able if one is not busiest]
    most = {
        Part.GROUP: MOST_HOT_MOVES,
        Part.RANGE: MOST_RANGE_MOVES,
    }
    for kind, part in _parts(now, busiest):
        here = demand[busiest.holder]
        if here < BUSY:
            return
        heir, there = _roomiest(
            others, demand, part.rate, busiest.utilization_per_rps
        )
        if here - there < UNEVEN or not most[kind]:
            continue
        most[kind] -= 1
        demand[busiest.holder] -= part.rate * busiest.utilization_per_rps
        demand[heir] = there
        yield key_ranges.Move(part.first, part.last, heir)


def _parts(
    now: key_ranges.Ownership, busiest: MemberLoad
) -> collections.abc.Iterator[tuple[Part, key_load.KeyGroupLoad]]:
    """Yield what could be moved from a server, and how busy it is.

    First its busy groups of keys; then its whole ranges, as far as no group
    in them is busy, for which an even share of the rest is taken.
    """
    if not busiest.hot or not busiest.utilization_per_rps:
        return
    busy = [
        one
        for one in busiest.hot
        if one.rate * busiest.utilization_per_rps >= LEAST_HOT
    ]
    if len(now.ranges) <= MOST_RANGES:
        for group in busy:
            if _owns(now, busiest.holder, group):
                yield Part.GROUP, group
    mine = [one for one in now.ranges if one.holder == busiest.holder]
    rest = busiest.utilization / busiest.utilization_per_rps - sum(
        one.rate for one in busy
    )
    a_key = max(0.0, rest) / max(1, sum(one.size for one in mine))
    for one in mine:
        calm = all(
            hot.last < one.first or one.last < hot.first for hot in busy
        )
        if calm and one.size >= LEAST_RANGE:
            yield (
                Part.RANGE,
                key_load.KeyGroupLoad(one.first, one.last, a_key * one.size),
            )


def _roomiest(
    others: collections.abc.Iterable[MemberLoad],
    demand: collections.abc.Mapping[key_ranges.Holder, float],
    rate: float,
    unmeasured_each: float,
) -> tuple[key_ranges.Holder, float]:
    """Return who would be asked for least with more requests, and how much."""
    asked = {
        one.holder: demand[one.holder]
        + rate * (one.utilization_per_rps or unmeasured_each)
        for one in others
    }
    heir = min(asked, key=lambda holder: (asked[holder], holder.member))
    return heir, asked[heir]


def _owns(
    now: key_ranges.Ownership,
    holder: key_ranges.Holder,
    hot: key_load.KeyGroupLoad,
) -> bool:
    """Tell whether a holder owns all of some keys."""
    return all(
        one.holder == holder
        for one in now.ranges
        if one.first <= hot.last and hot.first <= one.last
    )


def _pieces(
    one: key_ranges.Range,
) -> collections.abc.Iterator[tuple[int, int]]:
    """Yield the parts of a range, none larger than a first piece."""
    most = route_table.KEY_COUNT // PIECES
    for first in range(one.first, one.last + 1, most):
        yield first, min(first + most - 1, one.last)
