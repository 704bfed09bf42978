"""Tests that no grant is decided by what a process knew before.

Ranges may be reassigned while a process waits for its server, and a process
that starts does not know which grants its predecessor made.
"""

import asyncio
import typing

import pytest
from bronzepaddle import ids, key_ranges
from support import fake_servers, simulated_fleet

SEEDS: typing.Final = range(1, 4)
HANGING_S: typing.Final = 3.6
"""Time for which a grant hangs: a little longer than the next owner waits."""

SETTLE_S: typing.Final = 9.0
"""Time in which every server gets its keys after a change."""


async def ranges_move_while_a_grant_hangs(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Move ranges away from an owner that is sending its grants.

    It can't read the store, so it pulls the new version from a peer, and
    reads by peers renew its lease.
    """
    await simulated_fleet.start_all(fleet)
    await simulated_fleet.apply_event(fleet, "offline", "d")
    await asyncio.sleep(SETTLE_S)
    fleet.waiting_to_send.clear()
    fleet.send_delays_s["d"] = HANGING_S
    while "d" not in fleet.waiting_to_send:
        await asyncio.sleep(0.005)
    fleet.send_delays_s.clear()
    await _move_last_ranges(fleet, "d", "b")
    await asyncio.sleep(SETTLE_S)


async def _move_last_ranges(
    fleet: simulated_fleet.SimulatedFleet, owner: str, new_owner: str
) -> None:
    """Let a member write that the last ranges of another are its own."""
    before = simulated_fleet.stored_ownership(fleet)
    holders = {
        str(key_range.holder.member): key_range.holder
        for key_range in before.ranges
    }
    owned = before.owned_by(ids.MemberId(owner))
    after = key_ranges.move_keys(
        before,
        [
            key_ranges.Move(
                key_range.first, key_range.last, holders[new_owner]
            )
            for key_range in owned[len(owned) // 2 :]
        ],
    )
    assert after is not None
    assert await fleet.processes[new_owner].reconciler.view.write(after)


async def process_restarts_beside_two_runs_of_its_server(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Start a new run of a server while the earlier one still lives."""
    await simulated_fleet.start_all(fleet)
    earlier = fleet.servers.pop("d")
    await fleet.kill("d")
    fleet.start_server("d")
    fleet.servers["earlier run of d"] = earlier
    fleet.start("d")
    await asyncio.sleep(SETTLE_S)


RESTART_S: typing.Final = 1.2
"""Time in which a server restarts: shorter than its grants are renewed for."""

UNANNOUNCED_S: typing.Final = 0.5
"""Time after a restart until the first announcement of the new run."""


async def new_run_listens_before_it_is_announced(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Restart a server at its address; its announcements take a moment."""
    await simulated_fleet.start_all(fleet)
    process, ended = fleet.processes["d"], fleet.servers["d"]
    ended.up = False
    await asyncio.sleep(RESTART_S)
    process.announcements_held_up = True
    fleet.start_server("d")
    fleet.addressed_servers[ended.run] = fleet.servers["d"]
    await asyncio.sleep(UNANNOUNCED_S)
    taken = {grant.token for grant in fleet.servers["d"].accepted}
    process.announcements_held_up = False
    await fleet.wait_until_served(SETTLE_S)
    assert not taken


@pytest.mark.parametrize("seed", SEEDS)
def test_new_run_gets_no_grant_before_it_is_announced(seed: int) -> None:
    simulated_fleet.run_scenario(new_run_listens_before_it_is_announced, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_range_that_has_moved_is_not_granted(seed: int) -> None:
    simulated_fleet.run_scenario(ranges_move_while_a_grant_hangs, seed)


@pytest.mark.parametrize(
    "server_type", (fake_servers.FakeServer, fake_servers.ReportingServer)
)
@pytest.mark.parametrize("seed", SEEDS)
def test_new_process_knows_the_grants_of_an_earlier_run(
    server_type: type[fake_servers.FakeServer], seed: int
) -> None:
    simulated_fleet.run_scenario(
        process_restarts_beside_two_runs_of_its_server, seed, server_type
    )
