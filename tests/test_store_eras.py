"""Tests of key ownership when the store comes back from a copy.

Runs hand-written scenarios and random schedules in a simulation, and checks
that it detects deliberately broken builds.
"""

import asyncio
import collections.abc
import random
import typing

import pytest
from bronzepaddle import ids, key_ranges
from bronzepaddle_node import reconciler
from support import (
    broken_eras,
    fake_servers,
    simulated_cell,
    simulated_fleet,
)

SCHEDULE_LENGTH: typing.Final = 16
SERVER_TYPES: typing.Final = (
    fake_servers.FakeServer,
    fake_servers.ReportingServer,
)

SETTLE_S: typing.Final = 6.0
"""Time after a change in which the keys settle: longer than a lease."""

SERVED_AGAIN_S: typing.Final = 8.0
"""Longest time from a return of the store until all keys are served."""

MAX_GAP_S: typing.Final = 3.0
"""Longest time without service where nothing but the store is disturbed."""


OBJECT_NAME: typing.Final = f"ownership/{simulated_fleet.SERVICE}"


async def _settled(fleet: simulated_fleet.SimulatedFleet) -> None:
    await simulated_fleet.start_all(fleet)
    await asyncio.sleep(SETTLE_S)


async def _wait_until(
    fleet: simulated_fleet.SimulatedFleet,
    condition: collections.abc.Callable[[], bool],
) -> None:
    give_up_at = fleet.loop.time() + simulated_fleet.SETTLE_S
    while not condition():
        if fleet.loop.time() > give_up_at:
            raise simulated_cell.Violation("nothing changes")
        await asyncio.sleep(0.02)


async def _move_keys_of(
    fleet: simulated_fleet.SimulatedFleet, name: str
) -> None:
    """Drain the server of a member and wait until it has no keys."""
    await simulated_fleet.apply_event(fleet, "drain", name)
    await _wait_until(
        fleet,
        lambda: name not in simulated_fleet.stored_ownership(fleet).members(),
    )


async def _restored(
    fleet: simulated_fleet.SimulatedFleet,
) -> key_ranges.Ownership:
    """Wait until the ownership is of the store's era.

    Returns the first ownership that is written from now on.
    """
    written = len(fleet.store_server.history)
    await _wait_until(
        fleet,
        lambda: (
            simulated_fleet.stored_ownership(fleet).era
            == fleet.store_server.era
        ),
    )
    _, objects = fleet.store_server.history[written:][0]
    return key_ranges.decode(objects[OBJECT_NAME].body)


def _holders(ownership: key_ranges.Ownership) -> list[str]:
    """Return the holder of each key."""
    return [
        key_range.holder.run
        for key_range in ownership.ranges
        for _ in range(key_range.size)
    ]


async def lost_move_is_written_again(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await _settled(fleet)
    await _move_keys_of(fleet, "d")
    await asyncio.sleep(1.0)
    lost = simulated_fleet.stored_ownership(fleet)
    fleet.store_server.restore(4.0)
    assert "d" in simulated_fleet.stored_ownership(fleet).members()
    restored = await _restored(fleet)
    if _holders(restored) != _holders(lost):
        raise simulated_cell.Violation("what members know is not restored")
    assert await fleet.wait_until_served(SERVED_AGAIN_S) < SERVED_AGAIN_S


async def lost_move_is_known_to_one_member_only(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Let another member restore than the one that wrote the last version."""
    await _settled(fleet)
    fleet.network_delays_s.update(dict.fromkeys(("b", "c", "d"), 0.2))
    await _move_keys_of(fleet, "d")
    await asyncio.sleep(0.01)
    lost = simulated_fleet.stored_ownership(fleet)
    fleet.store_server.restore(4.0)
    await simulated_fleet.apply_event(fleet, "offline", "a")
    if _holders(await _restored(fleet)) != _holders(lost):
        raise simulated_cell.Violation("what one member knows is not restored")
    await fleet.wait_until_served(SERVED_AGAIN_S)


async def service_goes_on_under_the_leases_of_the_last_era(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await _settled(fleet)
    fleet.store_server.restore(2.0)
    served_at = fleet.loop.time()
    while fleet.loop.time() < served_at + MAX_GAP_S:
        if fleet.all_keys_served():
            served_at = fleet.loop.time()
            ownership = simulated_fleet.stored_ownership(fleet)
            if ownership.era == fleet.store_server.era:
                return
        await asyncio.sleep(0.02)
    raise simulated_cell.Violation("keys are not served again")


async def everyone_restarts_and_only_the_copy_is_left(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Restore from a copy that lacks several moves and their tokens."""
    await _settled(fleet)
    started_at = fleet.loop.time()
    for name in ("d", "c"):
        await _move_keys_of(fleet, name)
        fleet.start_server(name)
        await asyncio.sleep(SETTLE_S)
    fleet.store_server.restore(fleet.loop.time() - started_at)
    await simulated_fleet.apply_event(fleet, "all-restart", "a")
    await fleet.wait_until_served(SERVED_AGAIN_S)


async def cut_off_member_holds_what_the_copy_gives_to_others(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Let a member hold keys that only it knows to be its own."""
    await _settled(fleet)
    moved_at = fleet.loop.time()
    await _move_keys_of(fleet, "c")
    await asyncio.sleep(SETTLE_S)
    for action in ("isolate", "offline"):
        await simulated_fleet.apply_event(fleet, action, "d")
    for name in ("a", "b", "c"):
        await fleet.kill(name)
    fleet.servers["c"].draining = False
    fleet.store_server.restore(fleet.loop.time() - moved_at)
    for name in ("a", "b", "c"):
        fleet.start(name)
    await asyncio.sleep(SETTLE_S)
    simulated_fleet.recover(fleet)
    await fleet.wait_until_served(simulated_fleet.SETTLE_S)


async def store_returns_several_times_in_a_row(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await _settled(fleet)
    for age_s in (0.1, 5.0, 0.5, 20.0):
        fleet.store_server.restore(age_s)
        await asyncio.sleep(1.1)
    assert await fleet.wait_until_served(SERVED_AGAIN_S) < SERVED_AGAIN_S


async def first_by_name_ends_before_it_has_restored(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await _settled(fleet)
    fleet.store_server.restore(2.0)
    await asyncio.sleep(3.0)
    await simulated_fleet.apply_event(fleet, "lose", "a")
    assert await fleet.wait_until_served(SERVED_AGAIN_S) < SERVED_AGAIN_S


async def first_by_name_can_not_reach_the_returned_store(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await _settled(fleet)
    for name in ("a", "b"):
        await simulated_fleet.apply_event(fleet, "offline", name)
    fleet.store_server.restore(2.0)
    await asyncio.sleep(4.0)
    assert await fleet.wait_until_served(SERVED_AGAIN_S) < SERVED_AGAIN_S


def _write_late(
    fleet: simulated_fleet.SimulatedFleet, ownership: key_ranges.Ownership
) -> None:
    """Carry out a write of an earlier era.

    It replaces the revision that the object happens to have again.
    """
    fleet.store_server.write(
        OBJECT_NAME,
        key_ranges.encode(ownership),
        fleet.store_server.objects[OBJECT_NAME].version.revision,
    )


async def late_write_replaces_what_was_restored(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await _settled(fleet)
    lost = simulated_fleet.stored_ownership(fleet)
    fleet.store_server.restore(2.0)
    before = await _restored(fleet)
    await asyncio.sleep(1.0)
    _write_late(fleet, lost)
    restored = await _restored(fleet)
    assert _holders(restored) == _holders(before)
    assert restored.next_token > before.next_token
    await fleet.wait_until_served(SERVED_AGAIN_S)


async def late_write_ends_what_only_lost_members_knew(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Lose an ownership of the new era to a late write of the last one."""
    await _settled(fleet)
    lost = simulated_fleet.stored_ownership(fleet)
    fleet.store_server.restore(2.0)
    await _restored(fleet)
    await asyncio.sleep(SETTLE_S)
    for name in ("d", "c"):
        await _move_keys_of(fleet, name)
        fleet.start_server(name)
        await asyncio.sleep(SETTLE_S)
    _write_late(fleet, lost)
    await simulated_fleet.apply_event(fleet, "all-restart", "a")
    await fleet.wait_until_served(SERVED_AGAIN_S)


async def late_write_follows_a_restore_that_one_member_missed(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Let a member see two outdated versions, but not what was in between."""
    await _settled(fleet)
    lost = simulated_fleet.stored_ownership(fleet)
    fleet.store_server.restore(2.0)
    await asyncio.sleep(1.0)
    for action in ("isolate", "offline"):
        await simulated_fleet.apply_event(fleet, action, "a")
    await _restored(fleet)
    await asyncio.sleep(SETTLE_S)
    # The others have moved the keys of ``a`` to themselves by now.
    assert "a" not in simulated_fleet.stored_ownership(fleet).members()
    _write_late(fleet, lost)
    simulated_fleet.recover(fleet)
    for name in ("b", "c", "d"):
        await simulated_fleet.apply_event(fleet, "offline", name)
    fleet.muted |= {"b", "c", "d"}
    await asyncio.sleep(SETTLE_S)
    fleet.muted.clear()
    simulated_fleet.recover(fleet)
    await fleet.wait_until_served(simulated_fleet.SETTLE_S)


async def first_start_in_a_later_era(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    fleet.store_server.era = ids.StoreEra(3)
    await simulated_fleet.start_all(fleet)


async def lost_object_is_created_again(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Restore from a copy of before the first ownership."""
    await _settled(fleet)
    before = simulated_fleet.stored_ownership(fleet)
    fleet.store_server.restore(1000.0)
    assert not fleet.store_server.objects
    await asyncio.sleep(SETTLE_S)
    restored = simulated_fleet.stored_ownership(fleet)
    assert _holders(restored) == _holders(before)
    await fleet.wait_until_served(SERVED_AGAIN_S)


async def member_reads_at_once_in_an_era_that_another_call_shows(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await _settled(fleet)
    view = fleet.processes["a"].reconciler.view
    last_read_at = view.last_read_at
    await _wait_until(fleet, lambda: view.last_read_at > last_read_at)
    await asyncio.sleep(0.05)
    fleet.store_server.restore(2.0)
    view.object_store.eras.record(fleet.store_server.era)
    await asyncio.sleep(2 * reconciler.TICK_S)
    if view.restoration.outdated is None:
        raise simulated_cell.Violation("the object is not read at once")


SCENARIOS: typing.Final = (
    member_reads_at_once_in_an_era_that_another_call_shows,
    lost_move_is_written_again,
    lost_move_is_known_to_one_member_only,
    service_goes_on_under_the_leases_of_the_last_era,
    everyone_restarts_and_only_the_copy_is_left,
    cut_off_member_holds_what_the_copy_gives_to_others,
    store_returns_several_times_in_a_row,
    first_by_name_ends_before_it_has_restored,
    first_by_name_can_not_reach_the_returned_store,
    late_write_replaces_what_was_restored,
    late_write_ends_what_only_lost_members_knew,
    late_write_follows_a_restore_that_one_member_missed,
    first_start_in_a_later_era,
    lost_object_is_created_again,
)


@pytest.mark.parametrize("server_type", SERVER_TYPES)
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "scenario", SCENARIOS, ids=lambda scenario: scenario.__name__
)
def test_scenario(
    scenario: simulated_fleet.Scenario,
    seed: int,
    server_type: type[fake_servers.FakeServer],
) -> None:
    simulated_fleet.run_scenario(scenario, seed, server_type)


@pytest.mark.parametrize("server_type", SERVER_TYPES)
@pytest.mark.parametrize("seed", range(1, 16))
def test_schedule(
    seed: int, server_type: type[fake_servers.FakeServer]
) -> None:
    simulated_fleet.run_scenario(
        simulated_fleet.random_scenario(
            random.Random(seed), SCHEDULE_LENGTH, simulated_fleet.ERA_ACTIONS
        ),
        seed,
        server_type,
    )


CAUGHT_BY: typing.Final = {
    "revisions-only": lost_move_is_written_again,
    "copy-in-force": cut_off_member_holds_what_the_copy_gives_to_others,
    "tokens-of-the-copy": everyone_restarts_and_only_the_copy_is_left,
    "tokens-of-the-era": late_write_ends_what_only_lost_members_knew,
    "no-wait": cut_off_member_holds_what_the_copy_gives_to_others,
    "one-wait": late_write_follows_a_restore_that_one_member_missed,
    "copy-only": lost_move_is_written_again,
}
"""For each broken build, the scenario that must detect it."""


@pytest.mark.parametrize("variant", CAUGHT_BY)
def test_broken_build_is_caught(variant: str) -> None:
    with (
        broken_eras.patched(variant),
        pytest.raises(simulated_cell.Violation),
    ):
        simulated_fleet.run_scenario(CAUGHT_BY[variant], 1)
