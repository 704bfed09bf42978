"""Plans the assignment of keys to servers.

The planner handles four cases:

- *First start.*  The keys are distributed evenly.
- *A server fails or leaves.*  Its keys go to the servers with the fewest
  keys.
- *A server joins.*  It gets less than an even share, because moving keys has
  a cost.
- *Hot keys.*  They move from an overloaded server to one with spare capacity.

A plan takes effect only once it has been written to the store.
"""

import collections
import collections.abc
import dataclasses
import enum
import typing

from bronzepaddle import ids, key_ranges, route_table
from bronzepaddle.load import key_load

INITIAL_RANGES: typing.Final = 64
"""Number of equal ranges into which the key space is divided at first."""

JOINER_SHARE: typing.Final = 0.5
"""Share of an even distribution that a joining server gets."""

MIN_BUSY_UTILIZATION: typing.Final = 0.45
"""Utilization at which keys start to move away from a server."""

MIN_IMBALANCE: typing.Final = 0.15
"""Difference in utilization that is worth a move between two servers."""

MIN_HOT_UTILIZATION: typing.Final = 0.01
"""Minimum utilization by a group of keys that is moved as a range of its own.
Groups with less load move only as part of whole ranges."""

MAX_RANGES: typing.Final = 512
"""With more ranges than this, hot groups are not moved any more: each range
costs one grant per grant interval."""

MAX_GROUP_MOVES: typing.Final = 24
"""Maximum number of hot groups that one plan moves."""

MIN_MOVED_RANGE_KEYS: typing.Final = 256
"""Minimum size of a range that is moved to balance load."""

MAX_RANGE_MOVES: typing.Final = 3
"""Maximum number of whole ranges that one plan moves to balance load."""


class MoveUnit(enum.Enum):
    """The unit that is moved to balance load."""

    GROUP = "group"
    RANGE = "range"


@dataclasses.dataclass(frozen=True)
class MemberLoad:
    """The state and load of one member of a service.

    ``usable``: its server accepts new requests.  ``lost``: its server is not
    expected to come back, so its keys need another owner.  ``utilization`` is
    the offered load as a share of the server's capacity (above 1: overload),
    ``utilization_per_rps`` the share that one request per second takes (0 if
    unknown).  ``hot`` contains its groups of keys with the highest rates.
    """

    holder: key_ranges.Holder
    usable: bool
    lost: bool
    utilization: float = 0.0
    utilization_per_rps: float = 0.0
    hot: tuple[key_load.KeyGroupLoad, ...] = ()


def plan(
    ownership: key_ranges.Ownership | None,
    service: ids.ServiceName,
    members: collections.abc.Sequence[MemberLoad],
) -> key_ranges.Ownership | None:
    """Return the ownership to write next, or None to keep the current one.

    Only one kind of change is planned at a time: first the keys of lost
    members, then those for a joining one, then moves that balance load.
    """
    usable = sorted(
        (member.holder for member in members if member.usable),
        key=lambda holder: holder.member,
    )
    if not usable:
        return None
    if ownership is None:
        return key_ranges.initial_ownership(service, usable, INITIAL_RANGES)
    counts = _key_counts(ownership, usable)
    moves = list(_moves_from_lost(ownership, members, counts))
    if not moves:
        moves = list(_moves_to_joiner(ownership, usable, counts))
    if not moves:
        moves = list(_moves_from_busiest(ownership, members))
    return key_ranges.move_keys(ownership, moves) if moves else None


def _key_counts(
    ownership: key_ranges.Ownership,
    usable: collections.abc.Iterable[key_ranges.Holder],
) -> "collections.Counter[key_ranges.Holder]":
    """Return the number of keys of each usable holder."""
    counts: collections.Counter[key_ranges.Holder] = collections.Counter(
        dict.fromkeys(usable, 0)
    )
    for key_range in ownership.ranges:
        if key_range.holder in counts:
            counts[key_range.holder] += key_range.size
    return counts


def _moves_from_lost(
    ownership: key_ranges.Ownership,
    members: collections.abc.Iterable[MemberLoad],
    counts: "collections.Counter[key_ranges.Holder]",
) -> collections.abc.Iterator[key_ranges.Move]:
    """Move the keys of lost members to the members with the fewest keys.

    A member that is not in ``members`` counts as lost.  Updates ``counts``.
    """
    loads_by_member = {member.holder.member: member for member in members}
    for key_range in ownership.ranges:
        member = loads_by_member.get(key_range.holder.member)
        if member is not None and not member.lost:
            continue
        for first, last in _subranges(key_range):
            target = min(
                counts, key=lambda holder: (counts[holder], holder.member)
            )
            counts[target] += last - first + 1
            yield key_ranges.Move(first, last, target)


def _moves_to_joiner(
    ownership: key_ranges.Ownership,
    usable: collections.abc.Sequence[key_ranges.Holder],
    counts: "collections.Counter[key_ranges.Holder]",
) -> collections.abc.Iterator[key_ranges.Move]:
    """Move keys to the first usable holder that owns nothing.

    Subranges are taken one at a time from the holder with the most keys, so
    that no holder loses so many that it would need keys next.  Updates
    ``counts``.
    """
    owners = ownership.members()
    joiner = next(
        (holder for holder in usable if holder.member not in owners), None
    )
    if joiner is None:
        return
    wanted = JOINER_SHARE * route_table.KEY_COUNT / len(usable)
    subranges: dict[key_ranges.Holder, list[tuple[int, int]]] = {}
    for key_range in ownership.ranges:
        subranges.setdefault(key_range.holder, []).extend(
            _subranges(key_range)
        )
    while counts[joiner] < wanted:
        donor = max(counts, key=lambda holder: (counts[holder], holder.member))
        if donor == joiner or not subranges.get(donor):
            return
        first, last = subranges[donor].pop()
        counts[donor] -= last - first + 1
        counts[joiner] += last - first + 1
        yield key_ranges.Move(first, last, joiner)


def _moves_from_busiest(
    ownership: key_ranges.Ownership,
    members: collections.abc.Sequence[MemberLoad],
) -> collections.abc.Iterator[key_ranges.Move]:
    """Move keys away from the server with the highest utilization.

    Hot groups of keys move first, each to the server that would have the
    lowest utilization with it (servers differ in speed).  Then whole ranges
    move, which does not increase the number of ranges.  A move is made only
    if the target would then be utilized less, by ``MIN_IMBALANCE``, than the
    source is now; otherwise the two would only swap roles.
    """
    usable = [member for member in members if member.usable]
    if len(usable) < 2:
        return
    utilizations = {member.holder: member.utilization for member in usable}
    busiest = max(usable, key=lambda member: member.utilization)
    candidates = [member for member in usable if member is not busiest]
    moves_left = {
        MoveUnit.GROUP: MAX_GROUP_MOVES,
        MoveUnit.RANGE: MAX_RANGE_MOVES,
    }
    for unit, part in _movable_parts(ownership, busiest):
        source_utilization = utilizations[busiest.holder]
        if source_utilization < MIN_BUSY_UTILIZATION:
            return
        target, target_utilization = _least_utilized(
            candidates,
            utilizations,
            part.rate,
            busiest.utilization_per_rps,
        )
        if (
            source_utilization - target_utilization < MIN_IMBALANCE
            or not moves_left[unit]
        ):
            continue
        moves_left[unit] -= 1
        utilizations[busiest.holder] -= part.rate * busiest.utilization_per_rps
        utilizations[target] = target_utilization
        yield key_ranges.Move(part.first, part.last, target)


def _movable_parts(
    ownership: key_ranges.Ownership, busiest: MemberLoad
) -> collections.abc.Iterator[tuple[MoveUnit, key_load.KeyGroupLoad]]:
    """Yield the groups and ranges that a server could give up, with rates.

    First come the hot groups of keys, then the whole ranges without a hot
    group.  The rate of a range is estimated: the requests that are not for
    hot groups are assumed to be evenly distributed over the keys.
    """
    if not busiest.hot or not busiest.utilization_per_rps:
        return
    hot_groups = [
        group
        for group in busiest.hot
        if group.rate * busiest.utilization_per_rps >= MIN_HOT_UTILIZATION
    ]
    if len(ownership.ranges) <= MAX_RANGES:
        for group in hot_groups:
            if _owns(ownership, busiest.holder, group):
                yield MoveUnit.GROUP, group
    owned_ranges = [
        key_range
        for key_range in ownership.ranges
        if key_range.holder == busiest.holder
    ]
    other_rate = busiest.utilization / busiest.utilization_per_rps - sum(
        group.rate for group in hot_groups
    )
    rate_per_key = max(0.0, other_rate) / max(
        1, sum(key_range.size for key_range in owned_ranges)
    )
    for key_range in owned_ranges:
        without_hot_group = all(
            group.last < key_range.first or key_range.last < group.first
            for group in hot_groups
        )
        if without_hot_group and key_range.size >= MIN_MOVED_RANGE_KEYS:
            yield (
                MoveUnit.RANGE,
                key_load.KeyGroupLoad(
                    key_range.first,
                    key_range.last,
                    rate_per_key * key_range.size,
                ),
            )


def _least_utilized(
    candidates: collections.abc.Iterable[MemberLoad],
    utilizations: collections.abc.Mapping[key_ranges.Holder, float],
    rate: float,
    default_utilization_per_rps: float,
) -> tuple[key_ranges.Holder, float]:
    """Return the server that would be utilized least with a part added.

    ``rate`` is the number of requests per second for the part.  The second
    value is the utilization with these requests.  A server without
    measurements is assumed to need the default for each request.
    """
    expected = {
        member.holder: utilizations[member.holder]
        + rate * (member.utilization_per_rps or default_utilization_per_rps)
        for member in candidates
    }
    target = min(
        expected, key=lambda holder: (expected[holder], holder.member)
    )
    return target, expected[target]


def _owns(
    ownership: key_ranges.Ownership,
    holder: key_ranges.Holder,
    group: key_load.KeyGroupLoad,
) -> bool:
    """Return whether a holder owns all keys of a group."""
    return all(
        key_range.holder == holder
        for key_range in ownership.ranges
        if key_range.first <= group.last and group.first <= key_range.last
    )


def _subranges(
    key_range: key_ranges.Range,
) -> collections.abc.Iterator[tuple[int, int]]:
    """Divide a range into parts of at most the size of an initial range."""
    max_keys = route_table.KEY_COUNT // INITIAL_RANGES
    for first in range(key_range.first, key_range.last + 1, max_keys):
        yield first, min(first + max_keys - 1, key_range.last)
