"""Tests that a grant counts as over only once its server holds it no more.

A refused connection, a silence and the name of another run prove nothing about
what a server holds.  Each scenario runs with both kinds of servers.
"""

import asyncio
import random
import typing

import pytest
from support import (
    broken_reconcilers,
    fake_servers,
    server_faults,
    simulated_cell,
    simulated_fleet,
)

SERVER_TYPES: typing.Final = (
    fake_servers.FakeServer,
    fake_servers.ReportingServer,
)

REFUSAL_S: typing.Final = 0.6
"""Time for which a live server refuses connections."""

SETTLE_S: typing.Final = 6.0
"""Time after a fault in which the keys settle: longer than a lease."""


async def live_server_refuses_connections(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await simulated_fleet.start_all(fleet)
    for name in ("d", "c", "b", "a"):
        server, process = fleet.servers[name], fleet.processes[name]
        server.listening = False
        process.tracker.unreachable = True
        process.send_status()
        await asyncio.sleep(REFUSAL_S)
        server.listening = True
        await asyncio.sleep(SETTLE_S)
    await fleet.wait_until_served(SETTLE_S)


async def _wait_until_reassigned(
    fleet: simulated_fleet.SimulatedFleet, name: str
) -> None:
    while name in simulated_fleet.stored_ownership(fleet).members():
        await asyncio.sleep(0.005)


async def earlier_run_is_announced_while_reports_are_held_up(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await simulated_fleet.start_all(fleet)
    process = fleet.processes["d"]
    process.announcements_held_up = True
    fleet.network_delays_s["d"] = 0.7
    await _wait_until_reassigned(fleet, "d")
    process.receive_earlier_announcement()
    await asyncio.sleep(SETTLE_S)
    process.announcements_held_up = False
    fleet.network_delays_s.clear()
    await fleet.wait_until_served(SETTLE_S)


@pytest.mark.parametrize("server_type", SERVER_TYPES)
@pytest.mark.parametrize("seed", range(1, 6))
def test_refused_connection_ends_no_grant(
    server_type: type[fake_servers.FakeServer], seed: int
) -> None:
    simulated_fleet.run_scenario(
        live_server_refuses_connections, seed, server_type
    )


@pytest.mark.parametrize("server_type", SERVER_TYPES)
@pytest.mark.parametrize("seed", range(1, 6))
def test_report_of_another_run_ends_no_grant(
    server_type: type[fake_servers.FakeServer], seed: int
) -> None:
    simulated_fleet.run_scenario(
        earlier_run_is_announced_while_reports_are_held_up, seed, server_type
    )


SCHEDULE_LENGTH: typing.Final = 16
SERVED_AGAIN_S: typing.Final = 5.0
"""Required bound on the time until a key is served again after a fault."""

OBSERVED_S: typing.Final = 10.0
"""Time after a fault in which the service is observed."""

SAMPLE_INTERVAL_S: typing.Final = 0.05


async def _start_settled(fleet: simulated_fleet.SimulatedFleet) -> None:
    """Start all members; wait until no grant of before their start counts."""
    await simulated_fleet.start_all(fleet)
    await asyncio.sleep(SETTLE_S)


async def _longest_outage_s(fleet: simulated_fleet.SimulatedFleet) -> float:
    """Observe the fleet; return the longest time in which a key has no server.

    The keys of a server that refuses connections have none either.
    """
    served_at = started_at = fleet.loop.time()
    longest_s = 0.0
    while fleet.loop.time() - started_at < OBSERVED_S:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        now = fleet.loop.time()
        listening = all(server.listening for server in fleet.servers.values())
        if listening and fleet.all_keys_served():
            served_at = now
        longest_s = max(longest_s, now - served_at)
    assert fleet.all_keys_served()
    return longest_s


async def keys_of_a_crashed_server_are_served_again(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await _start_settled(fleet)
    fleet.servers["a"].up = False
    server_faults.refuse_connections(fleet, "a")
    # Nothing announces the server, so that it gets no keys any more.
    fleet.servers["a"].listening = True
    assert await _longest_outage_s(fleet) < SERVED_AGAIN_S


async def keys_are_served_again_after_a_refusal(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await _start_settled(fleet)
    await _refuse_for_a_moment(fleet)


async def _refuse_for_a_moment(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    server_faults.refuse_connections(fleet, "a")

    def listen() -> None:
        fleet.servers["a"].listening = True

    fleet.loop.call_later(REFUSAL_S, listen)
    assert await _longest_outage_s(fleet) < SERVED_AGAIN_S


@pytest.mark.parametrize("server_type", SERVER_TYPES)
@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize(
    "scenario",
    [
        keys_of_a_crashed_server_are_served_again,
        keys_are_served_again_after_a_refusal,
    ],
    ids=lambda scenario: scenario.__name__,
)
def test_outage_is_bounded(
    scenario: simulated_fleet.Scenario,
    server_type: type[fake_servers.FakeServer],
    seed: int,
) -> None:
    simulated_fleet.run_scenario(scenario, seed, server_type)


async def runs_alternate_while_the_store_is_down(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Make a grant again whose time was over, and reassign its keys."""
    await simulated_fleet.start_all(fleet)
    await server_faults.flap_without_store(
        fleet, "d", simulated_fleet.EARLIER_SERVER_ID
    )
    await asyncio.sleep(SETTLE_S)
    server_faults.recover(fleet)
    await fleet.wait_until_served(simulated_fleet.SETTLE_S)


async def earlier_run_lives_on(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Announce a new run while the earlier one holds its keys elsewhere."""
    await simulated_fleet.start_all(fleet)
    for name in simulated_fleet.MEMBERS:
        fleet.move_server(name)
        await asyncio.sleep(SETTLE_S)
    server_faults.recover(fleet)
    await fleet.wait_until_served(simulated_fleet.SETTLE_S)


@pytest.mark.parametrize("server_type", SERVER_TYPES)
@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize(
    "scenario",
    [runs_alternate_while_the_store_is_down, earlier_run_lives_on],
    ids=lambda scenario: scenario.__name__,
)
def test_runs_of_a_server(
    scenario: simulated_fleet.Scenario,
    server_type: type[fake_servers.FakeServer],
    seed: int,
) -> None:
    simulated_fleet.run_scenario(scenario, seed, server_type)


SEEDS: typing.Final = range(1, 13)
REPORT_SEEDS: typing.Final = range(1, 21)


@pytest.mark.parametrize("seed", SEEDS)
def test_schedule(seed: int) -> None:
    simulated_fleet.run_scenario(
        server_faults.random_scenario(random.Random(seed), SCHEDULE_LENGTH),
        seed,
    )


@pytest.mark.parametrize("seed", REPORT_SEEDS)
def test_schedule_with_grants_by_report(seed: int) -> None:
    simulated_fleet.run_scenario(
        server_faults.random_scenario(random.Random(seed), SCHEDULE_LENGTH),
        seed,
        fake_servers.ReportingServer,
    )


CAUGHT_BY: typing.Final = {
    "refusal-ends-grant": (1, live_server_refuses_connections),
    "new-run-ends-grant": (
        1,
        earlier_run_is_announced_while_reports_are_held_up,
    ),
    "expires-early": (2, None),
    "release-survives-regrant": (1, runs_alternate_while_the_store_is_down),
    "regrant-at-once": (1, earlier_run_lives_on),
}
"""For each broken build, the seed and the scenario that must detect it.

None is the random scenario of the seed.  All run with ``FakeServer``.
"""


@pytest.mark.parametrize("variant", broken_reconcilers.GRANT_END_VARIANTS)
def test_broken_build_is_caught(variant: str) -> None:
    seed, scenario = CAUGHT_BY[variant]
    chosen = scenario or server_faults.random_scenario(
        random.Random(seed), SCHEDULE_LENGTH
    )
    with (
        broken_reconcilers.patched(variant),
        pytest.raises(simulated_cell.Violation, match=r"\) and \("),
    ):
        simulated_fleet.run_scenario(chosen, seed)


REPORT_CAUGHT_BY: typing.Final = {
    "new-run-ends-grant": 6,
    "expires-early": 1,
    "regrant-at-once": 6,
}
"""For each broken build, the seed whose random schedule must detect it.

These run with ``ReportingServer``.  No releases are sent to such servers, so
that none is refused.
"""


@pytest.mark.parametrize("variant", REPORT_CAUGHT_BY)
def test_broken_build_with_grants_by_report_is_caught(variant: str) -> None:
    seed = REPORT_CAUGHT_BY[variant]
    scenario = server_faults.random_scenario(
        random.Random(seed), SCHEDULE_LENGTH
    )
    with (
        broken_reconcilers.patched(variant),
        pytest.raises(simulated_cell.Violation, match=r"\) and \("),
    ):
        simulated_fleet.run_scenario(
            scenario, seed, fake_servers.ReportingServer
        )


async def server_restarts_while_its_grants_are_renewed(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Check that a new run gets no grant of the run before.

    The new run is announced after the first command of a series.
    """
    await _start_settled(fleet)
    earlier = fleet.servers["a"]
    earlier_count = len(earlier.accepted)
    while len(earlier.accepted) == earlier_count:
        await asyncio.sleep(0.0001)
    fleet.start_server("a")
    fleet.processes["a"].receive_announcement(fleet.servers["a"])
    await asyncio.sleep(SETTLE_S)
    earlier_tokens = {grant.token for grant in earlier.accepted}
    tokens = {grant.token for grant in fleet.servers["a"].accepted}
    assert tokens and max(earlier_tokens) < min(tokens)


@pytest.mark.parametrize("seed", range(1, 6))
def test_new_run_gets_no_grant_of_the_run_before(seed: int) -> None:
    simulated_fleet.run_scenario(
        server_restarts_while_its_grants_are_renewed, seed
    )


async def process_restarts_while_an_earlier_run_lives_on(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Announce a new run to a new process; an earlier run holds the keys."""
    await _start_settled(fleet)
    await fleet.kill("a")
    fleet.move_server("a")
    fleet.start("a")
    await fleet.wait_until_served(SETTLE_S)


@pytest.mark.parametrize("server_type", SERVER_TYPES)
@pytest.mark.parametrize("seed", range(1, 6))
def test_restarted_process_waits_for_an_earlier_run(
    server_type: type[fake_servers.FakeServer], seed: int
) -> None:
    simulated_fleet.run_scenario(
        process_restarts_while_an_earlier_run_lives_on, seed, server_type
    )


async def server_refuses_connections_after_its_start(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Let a server refuse connections just after the whole fleet's start."""
    await simulated_fleet.start_all(fleet)
    await _refuse_for_a_moment(fleet)


@pytest.mark.parametrize("server_type", SERVER_TYPES)
@pytest.mark.parametrize("seed", range(1, 6))
def test_outage_after_the_start_is_bounded(
    server_type: type[fake_servers.FakeServer], seed: int
) -> None:
    simulated_fleet.run_scenario(
        server_refuses_connections_after_its_start, seed, server_type
    )
