"""Random faults by which a live server looks as if it had ended.

Its port refuses connections, its announcements are held up, or announcements
of another run arrive.  The schedules mix these faults with those of
``simulated_fleet``.
"""

import asyncio
import enum
import random
import typing

from support import fake_servers, simulated_fleet

SILENCE_S: typing.Final = 2.9
"""Time without announcements after which a server counts as absent."""

STORE_DOWN_BEFORE_S: typing.Final = 1.2
"""Time from the failure of the store to the end of ``SILENCE_S``; no keys can
be reassigned meanwhile."""

FREEZE_S: typing.Final = 3.2
"""Time for which a process is frozen: longer than a lease."""

FLAP_S: typing.Final = 3.1
"""Time for which an earlier run is announced: longer than a grant lasts."""

PAUSES_S: typing.Final = (0.05, 0.4, 1.0, 1.7, 2.3, 3.3)
"""Pauses before a random fault."""

REUSED_SERVER_ID: typing.Final = "i-reused"
"""Id of an earlier run with the address of the current one."""


class Fault(enum.Enum):
    """A fault of one server, of its port or of its announcements."""

    REFUSE = "refuse"
    LISTEN = "listen"
    HOLD_UP = "hold-up"
    ANNOUNCE = "announce"
    EARLIER_RUN = "earlier-run"
    EARLIER_RUN_AT_THE_ADDRESS = "earlier-run-at-the-address"
    EARLIER_RUN_LIVES_ON = "earlier-run-lives-on"
    EARLIER_RUN_REPORTS = "earlier-run-reports"
    EARLIER_RUN_ENDS = "earlier-run-ends"
    RESTART = "restart"
    THAW_TO_EARLIER_RUN = "thaw-to-earlier-run"
    FLAP_WITHOUT_STORE = "flap-without-store"


# A fault that is listed twice is drawn twice as often.
_FAULTS: typing.Final = (
    *Fault,
    Fault.REFUSE,
    Fault.LISTEN,
    Fault.HOLD_UP,
    Fault.ANNOUNCE,
    Fault.EARLIER_RUN,
    Fault.EARLIER_RUN_AT_THE_ADDRESS,
    Fault.EARLIER_RUN_ENDS,
)

# Faults of ``simulated_fleet`` that these schedules contain as well.
_OTHER_ACTIONS: typing.Final = (
    "kill",
    "start",
    "start",
    "drain",
    "freeze",
    "resume",
    "resume",
    "offline",
    "heal",
    "store-down",
    "store-well",
    "store-well",
    "orders-late",
    "orders-well",
)


def refuse_connections(
    fleet: simulated_fleet.SimulatedFleet, member: str
) -> None:
    """Let a live server refuse connections, which its process notices."""
    fleet.servers[member].listening = False
    process = fleet.processes.get(member)
    if process is not None:
        process.tracker.unreachable = True
        process.send_status()


def announce(fleet: simulated_fleet.SimulatedFleet, member: str) -> None:
    """Let an announcement of the current run arrive, and all later ones."""
    process = fleet.processes[member]
    process.announcements_held_up = False
    _announce_run(process, fleet.servers[member])


def _announce_run(
    process: simulated_fleet.Process, server: fake_servers.FakeServer
) -> None:
    match server:
        case _ if not server.up:
            pass
        case fake_servers.ReportingServer():
            process.report_soon(server)
        case _:
            process.receive_announcement(server)


def announce_earlier_run(
    fleet: simulated_fleet.SimulatedFleet, member: str, server_id: str
) -> None:
    """Let a delayed announcement arrive; commands follow its address."""
    # An id for each member, because each has an address of its own.
    server_id = f"{server_id}-{member}"
    run = f"{server_id}@1"
    if server_id.startswith(REUSED_SERVER_ID):
        fleet.addressed_servers[run] = fleet.servers[member]
    elif run not in fleet.addressed_servers:
        ended = fleet.server_type(fleet, member, run)
        ended.up = False
        fleet.addressed_servers[run] = ended
    fleet.processes[member].receive_earlier_announcement(server_id)


async def _thaw_to_earlier_run(
    fleet: simulated_fleet.SimulatedFleet, member: str
) -> None:
    """Freeze a process; the first thing it then receives is outdated."""
    process = fleet.processes[member]
    process.clock.running.clear()
    await asyncio.sleep(FREEZE_S)
    process.clock.running.set()
    announce_earlier_run(fleet, member, fleet.rng.choice(_EARLIER_IDS))


async def _wait_until_granted(process: simulated_fleet.Process) -> None:
    """Wait until the server holds keys, for ``SILENCE_S`` at most."""
    try:
        async with asyncio.timeout(SILENCE_S):
            while not process.held.ranges:
                await asyncio.sleep(0.02)
    except TimeoutError:
        return


async def flap_without_store(
    fleet: simulated_fleet.SimulatedFleet, member: str, server_id: str
) -> None:
    """Let an earlier run replace the current one while the store is down.

    The current run is announced again, the store returns, and the server
    drains, but refuses commands.
    """
    process, server = fleet.processes[member], fleet.servers[member]
    process.announcements_held_up = True
    await asyncio.sleep(SILENCE_S - STORE_DOWN_BEFORE_S)
    fleet.store_server.faults.down = True
    await asyncio.sleep(STORE_DOWN_BEFORE_S)
    announce_earlier_run(fleet, member, server_id)
    await asyncio.sleep(FLAP_S)
    announce(fleet, member)
    fleet.store_server.faults.down = False
    await _wait_until_granted(process)
    server.listening = False
    server.draining = True
    _announce_run(process, server)


_EARLIER_IDS: typing.Final = (
    simulated_fleet.EARLIER_SERVER_ID,
    REUSED_SERVER_ID,
)


async def apply_fault(
    fleet: simulated_fleet.SimulatedFleet, fault: Fault, member: str
) -> None:
    """Apply a fault to a member, unless the member's state rules it out."""
    process = fleet.processes.get(member)
    match fault:
        case Fault.REFUSE:
            refuse_connections(fleet, member)
        case Fault.LISTEN:
            fleet.servers[member].listening = True
        case Fault.RESTART:
            fleet.start_server(member)
        case Fault.EARLIER_RUN_LIVES_ON:
            fleet.move_server(member)
        case Fault.EARLIER_RUN_ENDS if member in fleet.earlier_servers:
            fleet.earlier_servers[member].up = False
        case _ if process is None or not process.clock.running.is_set():
            return
        case Fault.HOLD_UP:
            process.announcements_held_up = True
        case Fault.ANNOUNCE:
            announce(fleet, member)
        case Fault.EARLIER_RUN:
            announce_earlier_run(
                fleet, member, simulated_fleet.EARLIER_SERVER_ID
            )
        case Fault.EARLIER_RUN_AT_THE_ADDRESS:
            announce_earlier_run(fleet, member, REUSED_SERVER_ID)
        case Fault.EARLIER_RUN_REPORTS if member in fleet.earlier_servers:
            _announce_run(process, fleet.earlier_servers[member])
        case Fault.THAW_TO_EARLIER_RUN:
            await _thaw_to_earlier_run(fleet, member)
        case Fault.FLAP_WITHOUT_STORE:
            await flap_without_store(
                fleet, member, fleet.rng.choice(_EARLIER_IDS)
            )


def recover(fleet: simulated_fleet.SimulatedFleet) -> None:
    """End all faults, and start what has ended."""
    for server in fleet.earlier_servers.values():
        server.up = False
    for server in fleet.servers.values():
        server.listening = True
    for process in fleet.processes.values():
        process.announcements_held_up = False
    simulated_fleet.recover(fleet)


def random_scenario(
    rng: random.Random, length: int
) -> simulated_fleet.Scenario:
    """Return a scenario of random faults, followed by a recovery."""
    events = [
        (
            rng.choice(PAUSES_S),
            rng.choice((*_FAULTS, *_OTHER_ACTIONS)),
            rng.choice(simulated_fleet.MEMBERS),
        )
        for _ in range(length)
    ]

    async def scenario(fleet: simulated_fleet.SimulatedFleet) -> None:
        await simulated_fleet.start_all(fleet)
        for pause_s, event, member in events:
            await asyncio.sleep(pause_s)
            match event:
                case Fault():
                    await apply_fault(fleet, event, member)
                case _:
                    await simulated_fleet.apply_event(fleet, event, member)
        recover(fleet)
        await fleet.wait_until_served(simulated_fleet.SETTLE_S)

    return scenario
