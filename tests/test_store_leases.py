"""Tests that leases from the store give each key at most one owner.

Runs hand-written scenarios and random schedules against members with fake
surroundings, and checks that deliberately broken builds are caught.
"""

import asyncio
import random
import typing

import msgspec
import pytest
from support import broken_reconcilers, reconcilers, simulated_cell

LENGTH: typing.Final = 16
SERVED_AGAIN_S: typing.Final = 8.0
"""Longest time until the keys of a lost VM are served again: the silence, the
plan, the wait for the lease, and the time to read and grant."""

LOSS_TARGET_S: typing.Final = 5.0
"""Time within which a key is to be served again after a loss."""


async def all_restart_while_the_store_is_unreachable(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    await reconcilers.begin(fleet)
    fleet.objects.faults = simulated_cell.StoreFaults(down=True)
    await reconcilers.happen(fleet, "all-restart", "a")
    await asyncio.sleep(9.0)
    fleet.objects.faults = simulated_cell.StoreFaults()
    assert await fleet.until_covered(SERVED_AGAIN_S) < SERVED_AGAIN_S


async def all_but_one_are_lost(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    await reconcilers.begin(fleet)
    for name in ("a", "b", "c"):
        await reconcilers.happen(fleet, "lose", name)
    assert await fleet.until_covered(SERVED_AGAIN_S) < SERVED_AGAIN_S


async def killed_process_beside_a_live_server(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    """Check that a new process grants the keys without a wait or a move."""
    await reconcilers.begin(fleet)
    before = reconcilers.ownership(fleet)
    await fleet.kill("a")
    await asyncio.sleep(0.5)
    fleet.start("a")
    assert await fleet.until_covered(SERVED_AGAIN_S) < 2.0
    assert reconcilers.ownership(fleet).ranges == before.ranges


async def new_versions_are_read_by_affected_members(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    """Check that only the affected members read a new version at once.

    When each member read each version, the number of reads grew with the
    square of the fleet's size.
    """
    await reconcilers.begin(fleet)
    await asyncio.sleep(5.0)
    writer = fleet.processes["a"].reconciler
    reads, writes = fleet.objects.reads, fleet.objects.writes
    for number in range(20):
        before = reconcilers.ownership(fleet)
        ranges = tuple(
            msgspec.structs.replace(key_range, handover=str(number))
            if key_range.holder.member == "a"
            else key_range
            for key_range in before.ranges
        )
        await writer._write(msgspec.structs.replace(before, ranges=ranges))
        await asyncio.sleep(0.1)
    written = fleet.objects.writes - writes
    assert written >= 15
    # The periodic reads of all members in that time, with some tolerance.
    periodic_reads = len(reconcilers.MEMBERS) * 2.0 / 0.8
    assert fleet.objects.reads - reads - written <= 1.5 * periodic_reads


async def server_that_drains_hands_over(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    await reconcilers.begin(fleet)
    await reconcilers.happen(fleet, "drain", "a")
    await asyncio.sleep(2.5)
    assert fleet.covered()
    assert "a" not in reconcilers.ownership(fleet).members()


async def server_ends_while_its_grants_are_renewed(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    """Check that keys of a server that has ended move with no lease wait.

    Its process learns from the refused connection that the server holds
    nothing, including keys that the process itself may not use any more.
    """
    await reconcilers.begin(fleet)
    fleet.servers["a"].up = False
    fleet.processes["a"].held.set([])
    assert await fleet.until_covered(SERVED_AGAIN_S) < LOSS_TARGET_S


async def server_restarts_before_its_keys_are_released(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    """Check that new owners do not wait for a run that was replaced."""
    await reconcilers.begin(fleet)
    before = reconcilers.ownership(fleet).members()
    fleet.servers["a"].up = False
    await asyncio.sleep(1.2)
    fleet.start_server("a")
    assert await fleet.until_covered(SERVED_AGAIN_S) < 2.5
    assert before == {"a", "b", "c", "d"}


async def late_grant_of_a_killed_process(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    """Kill a process whose grants the server carries out late.

    The process that follows must not mark the keys as released before those
    grants have expired.
    """
    await reconcilers.begin(fleet)
    fleet.late_share, fleet.late_s = 1.0, (2.2, 2.2)
    fleet.orders_late = True
    await asyncio.sleep(1.5)
    await fleet.kill("a")
    fleet.orders_late = False
    fleet.start("a")
    await asyncio.sleep(0.3)
    await reconcilers.happen(fleet, "drain", "a")
    await asyncio.sleep(8.0)
    assert fleet.covered()


async def store_unreachable_for_all_but_one(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    """Check that the reads of one member renew the leases of all others."""
    await reconcilers.begin(fleet)
    for name in ("a", "b", "c"):
        await reconcilers.happen(fleet, "offline", name)
    for _ in range(200):
        await asyncio.sleep(0.1)
        assert fleet.covered()


async def store_unreachable_for_some_while_keys_move(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    """Write a plan while some members can't reach the store.

    They must learn of the new version from a peer; otherwise nobody serves
    their keys.
    """
    await reconcilers.begin(fleet)
    for name in ("b", "c"):
        await reconcilers.happen(fleet, "offline", name)
    await asyncio.sleep(1.0)
    await reconcilers.happen(fleet, "drain", "d")
    await asyncio.sleep(5.0)
    for _ in range(100):
        await asyncio.sleep(0.1)
        assert fleet.covered()
    assert {"b", "c"} <= reconcilers.ownership(fleet).members()


async def delayed_statuses_reach_a_muted_owner(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    """Deliver statuses late to an owner that the others take for lost.

    Its lease must count from when it sent the status that a peer's read
    followed, not from the arrival of the peer's status.
    """
    await reconcilers.begin(fleet)
    fleet.delays_s["a"] = 2.4
    await reconcilers.happen(fleet, "offline", "a")
    fleet.muted.add("a")
    await asyncio.sleep(9.0)


async def new_owners_restart_while_the_lost_owner_acts(
    fleet: reconcilers.SimulatedReconcilers,
) -> None:
    await reconcilers.begin(fleet)
    await reconcilers.happen(fleet, "isolate", "a")
    await asyncio.sleep(1.4)
    await reconcilers.happen(fleet, "offline", "a")
    while "a" in reconcilers.ownership(fleet).members():
        await asyncio.sleep(0.02)
    for name in ("b", "c", "d"):
        fleet.start_server(name)
    await asyncio.sleep(3.0)
    reconcilers.recover(fleet)
    await fleet.until_covered(reconcilers.SETTLE_S)


SCENARIOS: typing.Final = (
    all_restart_while_the_store_is_unreachable,
    all_but_one_are_lost,
    killed_process_beside_a_live_server,
    server_that_drains_hands_over,
    server_ends_while_its_grants_are_renewed,
    server_restarts_before_its_keys_are_released,
    store_unreachable_for_all_but_one,
    store_unreachable_for_some_while_keys_move,
    delayed_statuses_reach_a_muted_owner,
    new_owners_restart_while_the_lost_owner_acts,
    late_grant_of_a_killed_process,
    new_versions_are_read_by_affected_members,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "scenario", SCENARIOS, ids=lambda scenario: scenario.__name__
)
def test_scenario(scenario: reconcilers.Scenario, seed: int) -> None:
    reconcilers.run_scenario(scenario, seed)


SEEDS: typing.Final = (*range(1, 13), 125)
"""Seed 125 once failed by a late grant of a killed process; see the scenario
``late_grant_of_a_killed_process``."""


@pytest.mark.parametrize("seed", SEEDS)
def test_schedule(seed: int) -> None:
    reconcilers.run_scenario(
        reconcilers.schedule(random.Random(seed), LENGTH), seed
    )


CAUGHT_BY: typing.Final = {
    "no-wait": (2, None),
    "short-wait": (12, None),
    "endless-lease": (3, None),
    "no-doubt": (28, None),
    "forgetful": (125, None),
    "relayed-from-arrival": (1, delayed_statuses_reach_a_muted_owner),
    "release-any": (15, None),
    "released-by-restart": (1, new_owners_restart_while_the_lost_owner_acts),
}


@pytest.mark.parametrize("variant", CAUGHT_BY)
def test_broken_build_is_caught(variant: str) -> None:
    seed, scenario = CAUGHT_BY[variant]
    played = scenario or reconcilers.schedule(random.Random(seed), LENGTH)
    with (
        broken_reconcilers.patched(variant),
        pytest.raises(simulated_cell.Violation),
    ):
        reconcilers.run_scenario(played, seed)


def test_every_broken_build_is_tried() -> None:
    assert set(CAUGHT_BY) == set(broken_reconcilers.VARIANTS)
