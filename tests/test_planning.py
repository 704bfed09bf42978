"""Tests when keys are reassigned between the members of a service."""

import typing

import msgspec
import pytest
import test_key_ranges
from bronzepaddle import ids, key_ranges
from bronzepaddle.load import key_load
from bronzepaddle_node import peer_table, planning
from bronzepaddle_peers import statuses
from support import sample_status

NOW: typing.Final = 100.0
HALVES: typing.Final = key_ranges.move_keys(
    test_key_ranges.all_keys_owned_by(test_key_ranges.A),
    [key_ranges.Move(32_768, key_ranges.LAST_KEY, test_key_ranges.B)],
)
"""An ownership in which members A and B hold one half of the keys each."""


def status(
    holder: key_ranges.Holder, rate: float, *hot: key_load.KeyGroupLoad
) -> statuses.Status:
    return sample_status.status(
        sender=holder.member,
        service=test_key_ranges.SERVICE,
        run=holder.run,
        slots=10,
        ownership_version=ids.ObjectVersion(1),
        request_rate=rate,
        hot_keys=hot,
    )


def plan_with_read_age(
    read_ago_s: float | None,
) -> key_ranges.Ownership | None:
    """Return the plan of a busy member whose peer read ``read_ago_s`` ago.

    None for ``read_ago_s`` means that no read of the peer is known.
    """
    a, b = test_key_ranges.A, test_key_ranges.B
    peers = peer_table.PeerTable(a.member, ids.ZoneName("z"))
    peers.update(status(a, 100.0, key_load.KeyGroupLoad(160, 175, 30.0)), NOW)
    peers.update(status(b, 10.0), NOW)
    planner = planning.Planner(
        a.member, test_key_ranges.SERVICE, False, peers, 0.0
    )
    read_at = {} if read_ago_s is None else {b.member: NOW - read_ago_s}
    return planner.next_ownership(HALVES, NOW, read_at, 0.0)


@pytest.mark.parametrize(
    ("read_ago_s", "rebalances"),
    [(0.5, True), (1.9, True), (4.0, False), (None, False)],
)
def test_hot_keys_are_not_moved_while_a_member_can_not_read(
    read_ago_s: float | None, rebalances: bool
) -> None:
    assert (plan_with_read_age(read_ago_s) is not None) == rebalances


def test_member_that_can_not_read_gets_no_keys_and_does_not_plan() -> None:
    """Member c is lost while a can't read the store; b gets all keys of c."""
    a, b = test_key_ranges.A, test_key_ranges.B
    c = key_ranges.Holder(ids.MemberId("c"), "c-1")
    ownership = key_ranges.initial_ownership(
        test_key_ranges.SERVICE, [a, b, c], 63
    )
    peers = peer_table.PeerTable(b.member, ids.ZoneName("z"))
    for holder in (a, b):
        peers.update(status(holder, 1.0), NOW)
    planner = planning.Planner(
        b.member, test_key_ranges.SERVICE, False, peers, 0.0
    )
    new_ownership = planner.next_ownership(
        ownership, NOW, {a.member: NOW - 5.0}, 0.0
    )
    assert new_ownership is not None
    before, after = map(test_key_ranges.sizes, (ownership, new_ownership))
    assert after["a"] == before["a"]
    assert after["b"] == before["b"] + before["c"]
    # Once a reads again, it is the first by name, so b does not plan.
    assert (
        planner.next_ownership(ownership, NOW, {a.member: NOW - 0.5}, 0.0)
        is None
    )


def test_first_plan_needs_no_reads() -> None:
    a, b = test_key_ranges.A, test_key_ranges.B
    peers = peer_table.PeerTable(a.member, ids.ZoneName("z"))
    for holder in (a, b):
        peers.update(status(holder, 0.0), NOW)
    planner = planning.Planner(
        a.member, test_key_ranges.SERVICE, True, peers, 0.0
    )
    new_ownership = planner.next_ownership(None, NOW, {}, 0.0)
    assert new_ownership is not None
    assert new_ownership.members() == {a.member, b.member}


def test_after_an_outage_old_reads_exclude_no_member() -> None:
    """Keys of a leaving member move as soon as the store is back.

    The last known reads of the other members are old by then, which must not
    exclude them as new owners.
    """
    a, b = test_key_ranges.A, test_key_ranges.B
    peers = peer_table.PeerTable(a.member, ids.ZoneName("z"))
    peers.update(status(a, 1.0), NOW)
    peers.update(msgspec.structs.replace(status(b, 1.0), leaving=True), NOW)
    c = key_ranges.Holder(ids.MemberId("c"), "c-1")
    peers.update(status(c, 1.0), NOW)
    planner = planning.Planner(
        a.member, test_key_ranges.SERVICE, False, peers, 0.0
    )
    outdated_reads = {b.member: NOW - 9.0, c.member: NOW - 9.0}
    new_ownership = planner.next_ownership(
        HALVES, NOW, outdated_reads, NOW - 0.1
    )
    assert new_ownership is not None
    assert "b" not in new_ownership.members()
    assert "c" in new_ownership.members()
