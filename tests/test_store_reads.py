"""Tests that few members read the ownership object for all others.

A lease that others renew must be as safe as one that rests on own reads, and
must not end while only some of the readers are lost.
"""

import asyncio
import random
import typing
import unittest.mock

import msgspec
import pytest
import test_key_ranges
from bronzepaddle import ids, key_digests, key_ranges, store_leases
from bronzepaddle.load import store_reads
from support import (
    broken_reconcilers,
    fake_servers,
    simulated_cell,
    simulated_fleet,
)

TIMES: typing.Final = store_leases.StoreLeaseTimes()
NAMES: typing.Final = tuple(ids.MemberId(f"m{n:02}") for n in range(60))
SCHEDULE_LENGTH: typing.Final = 16
OBSERVED_S: typing.Final = 10.0


@pytest.mark.parametrize(
    ("is_reader", "since_read_s", "lease_age_s", "outdated_s", "reason"),
    [
        (True, 0.1, 9.0, 9.0, store_reads.ReadReason.NOT_DUE),
        (True, 0.8, 0.1, -1.0, store_reads.ReadReason.READER),
        (False, 9.0, 1.4, 1.9, store_reads.ReadReason.NOT_DUE),
        (False, 9.0, 1.5, -1.0, store_reads.ReadReason.LEASE_NOT_RENEWED),
        (False, 9.0, 0.1, 2.0, store_reads.ReadReason.OUTDATED),
        (False, 0.1, 9.0, 9.0, store_reads.ReadReason.NOT_DUE),
    ],
)
def test_member_reads_as_reader_or_if_its_lease_is_not_renewed(
    is_reader: bool,
    since_read_s: float,
    lease_age_s: float,
    outdated_s: float,
    reason: store_reads.ReadReason,
) -> None:
    state = store_reads.ReadState(
        is_reader, since_read_s, lease_age_s, outdated_s
    )
    assert store_reads.decide(state, TIMES) is reason


@pytest.mark.parametrize(
    ("members", "readers"), [(1, 1), (4, 4), (6, 6), (7, 3), (24, 3), (60, 3)]
)
def test_number_of_readers_does_not_grow_with_the_members(
    members: int, readers: int
) -> None:
    chosen = store_reads.readers(NAMES[:members], 3)
    assert len(chosen) == readers
    assert chosen <= set(NAMES[:members])


def test_loss_of_a_reader_changes_one_reader() -> None:
    before = store_reads.readers(NAMES, 3)
    lost = min(before)
    after = store_reads.readers([n for n in NAMES if n != lost], 3)
    assert len(before & after) == 2


# Digests of keys.

ALL_OF_A: typing.Final = test_key_ranges.all_keys_owned_by(test_key_ranges.A)


def digest_of_a(ownership: key_ranges.Ownership) -> key_digests.KeysDigest:
    return key_digests.digests(ownership)[test_key_ranges.A.member]


def moved(
    ownership: key_ranges.Ownership,
    first: int,
    last: int,
    to: key_ranges.Holder,
) -> key_ranges.Ownership:
    after = key_ranges.move_keys(ownership, [key_ranges.Move(first, last, to)])
    assert after is not None
    return after


def test_digest_depends_on_keys_and_tokens_only() -> None:
    (whole,) = ALL_OF_A.ranges
    parts = (
        msgspec.structs.replace(whole, last=99, released=False),
        msgspec.structs.replace(whole, first=100, handover="x"),
    )
    assert key_digests.digest(parts) == key_digests.digest([whole])
    assert key_digests.digest(parts[:1]) != key_digests.digest([whole])
    newer = msgspec.structs.replace(whole, token=ids.Token(99))
    assert key_digests.digest([newer]) != key_digests.digest([whole])


def test_keys_that_were_away_have_another_digest() -> None:
    """Nor has a member the same one that owned more keys for a while."""
    away = moved(ALL_OF_A, 0, 99, test_key_ranges.B)
    back = moved(away, 0, 99, test_key_ranges.A)
    digests = {digest_of_a(version) for version in (ALL_OF_A, away, back)}
    assert len(digests) == 3


def test_member_without_keys_has_a_digest() -> None:
    assert key_digests.digest(()) not in (
        key_digests.UNKNOWN,
        digest_of_a(ALL_OF_A),
    )


# Whole fleets.


def few_readers(
    scenario: simulated_fleet.Scenario,
) -> simulated_fleet.Scenario:
    """Return a scenario of a fleet in which one member reads for all."""

    async def with_one_reader(fleet: simulated_fleet.SimulatedFleet) -> None:
        fleet.readers = 1
        await scenario(fleet)

    return with_one_reader


async def keys_of_a_member_without_the_store_move(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Move keys of a member that can't read and learns only that others do.

    The statuses of others reach it, but it can't pull what they know.
    """
    await simulated_fleet.start_all(fleet)
    loser = "c"
    fleet.network_delays_s[loser] = 0.4
    fleet.store_server.cut_off.add(loser)
    await asyncio.sleep(1.0)
    before = simulated_fleet.stored_ownership(fleet)
    holder = next(
        key_range.holder
        for key_range in before.ranges
        if key_range.holder.member == "a"
    )
    lost = before.owned_by(ids.MemberId(loser))[0]
    after = moved(before, lost.first, lost.last, holder)
    assert await fleet.processes["a"].reconciler.view.write(after)
    await asyncio.sleep(OBSERVED_S)


async def store_is_out_of_reach_for_all_readers(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Check that all keys stay served: the others read for themselves."""
    await simulated_fleet.start_all(fleet)
    fleet.store_server.cut_off |= store_reads.readers(
        [ids.MemberId(name) for name in simulated_fleet.MEMBERS], fleet.readers
    ) | {"a"}
    for _ in range(int(OBSERVED_S / 0.1)):
        await asyncio.sleep(0.1)
        assert fleet.all_keys_served()


async def outage_ends(fleet: simulated_fleet.SimulatedFleet) -> None:
    """Check that a member that reads seldom doesn't stay without the store."""
    await simulated_fleet.start_all(fleet)
    fleet.store_server.faults = simulated_cell.StoreFaults(down=True)
    await asyncio.sleep(2.5)
    fleet.store_server.faults = simulated_cell.StoreFaults()
    await asyncio.sleep(OBSERVED_S)
    for process in fleet.processes.values():
        assert not process.reconciler.view.store_unreachable


async def version_changes_no_keys(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Check that all learn how long grants may last."""
    await simulated_fleet.start_all(fleet)
    view = fleet.processes[simulated_fleet.MEMBERS[0]].reconciler.view
    assert view.latest is not None
    assert view.latest.ownership is not None
    longer = msgspec.structs.replace(view.latest.ownership, longest_hold_s=2.0)
    assert await view.write(longer)
    await asyncio.sleep(OBSERVED_S)
    for process in fleet.processes.values():
        hold_times = process.reconciler.grants.hold_times
        assert hold_times.recorded_longest_s() == 2.0


async def planner_sees_fewer_members(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Check that members that don't read get keys if they count as readers.

    The planner doesn't hear of one member, and all of those that it knows
    would be readers.
    """
    await simulated_fleet.start_all(fleet)
    planner, unheard = simulated_fleet.MEMBERS[:2]
    fleet.cut_links.add(frozenset((planner, unheard)))
    await asyncio.sleep(2 * OBSERVED_S)
    owners = {
        key_range.holder.member
        for key_range in simulated_fleet.stored_ownership(fleet).ranges
    }
    # The two don't hear each other; whichever plans, the other gets none.
    assert len(owners) == len(simulated_fleet.MEMBERS) - 1
    assert not owners >= {planner, unheard}


LARGER_FLEET: typing.Final = NAMES[:7]
"""The smallest number of members of which only three read."""


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "scenario",
    [outage_ends, version_changes_no_keys, planner_sees_fewer_members],
    ids=lambda scenario: scenario.__name__,
)
def test_scenario_with_seven_members(
    scenario: simulated_fleet.Scenario, seed: int
) -> None:
    with unittest.mock.patch.object(simulated_fleet, "MEMBERS", LARGER_FLEET):
        simulated_fleet.run_scenario(scenario, seed)


SCENARIOS: typing.Final = (
    keys_of_a_member_without_the_store_move,
    store_is_out_of_reach_for_all_readers,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "scenario", SCENARIOS, ids=lambda scenario: scenario.__name__
)
def test_scenario_with_one_reader(
    scenario: simulated_fleet.Scenario, seed: int
) -> None:
    simulated_fleet.run_scenario(few_readers(scenario), seed)


@pytest.mark.parametrize("seed", [*range(1, 21), 58, 79])
@pytest.mark.parametrize(
    "server_type", [fake_servers.FakeServer, fake_servers.ReportingServer]
)
def test_schedule_with_one_reader(
    server_type: type[fake_servers.FakeServer], seed: int
) -> None:
    scenario = simulated_fleet.random_scenario(
        random.Random(seed), SCHEDULE_LENGTH
    )
    simulated_fleet.run_scenario(few_readers(scenario), seed, server_type)


@pytest.mark.parametrize("seed", range(1, 11))
def test_schedule_with_one_reader_and_copies_of_the_store(seed: int) -> None:
    scenario = simulated_fleet.random_scenario(
        random.Random(seed), SCHEDULE_LENGTH, simulated_fleet.ERA_ACTIONS
    )
    simulated_fleet.run_scenario(few_readers(scenario), seed)


def test_build_that_renews_by_any_read_is_caught() -> None:
    with (
        broken_reconcilers.patched("renewed-by-any-read"),
        pytest.raises(simulated_cell.Violation),
    ):
        simulated_fleet.run_scenario(
            few_readers(keys_of_a_member_without_the_store_move), 1
        )


def reads_per_s(members: int, readers: int) -> float:
    """Return the reads of a calm fleet, and check that it serves all keys."""
    names = tuple(f"m{number:02}" for number in range(members))
    measured: list[float] = []

    async def calm(fleet: simulated_fleet.SimulatedFleet) -> None:
        fleet.readers = readers
        await simulated_fleet.start_all(fleet)
        await asyncio.sleep(5.0)
        attempts = fleet.store_server.attempts
        await asyncio.sleep(OBSERVED_S)
        assert fleet.all_keys_served()
        measured.append((fleet.store_server.attempts - attempts) / OBSERVED_S)

    with unittest.mock.patch.object(simulated_fleet, "MEMBERS", names):
        simulated_fleet.run_scenario(calm, 1)
    return measured[0]


def test_reads_do_not_grow_with_the_members() -> None:
    """The baseline is a fleet of which each member reads."""
    all_read = {members: reads_per_s(members, 60) for members in (6, 24)}
    few_read = {members: reads_per_s(members, 3) for members in (6, 24)}
    assert all_read[24] > 3 * all_read[6]
    assert few_read[24] < all_read[6]
