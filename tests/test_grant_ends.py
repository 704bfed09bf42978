"""Tests that a grant counts as over only once its server holds it no more.

A refused connection, a silence and the name of another run prove nothing about
what a server holds.  Each scenario runs with both kinds of servers.
"""

import asyncio
import typing

import pytest
from support import fake_servers, simulated_fleet

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
