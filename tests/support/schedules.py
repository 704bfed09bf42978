"""Random schedules of faults for a simulated cell.

A schedule is a list of events with pauses, drawn from a random number
generator.  The one from hypothesis supports shrinking; benchmarks use one
with a given seed.
"""

import dataclasses
import random
import typing

from support import simulated_cell

MEMBERS: typing.Final = ("a", "b", "c", "d", "e")
SCHEDULE_LENGTH: typing.Final = 16
PAUSES_S: typing.Final = (0.05, 0.4, 1.0, 1.7, 2.0, 2.3, 3.5)
"""Pauses before an event."""

SETTLE_S: typing.Final = 45.0
"""Longest time until all slots are served once there are no more faults."""


@dataclasses.dataclass(frozen=True)
class Event:
    """A fault or a recovery that is applied after a pause.

    ``member`` and ``peer`` are used only by the actions that need them.
    """

    pause_s: float
    action: str
    member: str = ""
    peer: str = ""


# An action that is listed twice is drawn twice as often.
_ACTIONS: typing.Final = (
    "lose",
    "start",
    "freeze",
    "freeze",
    "resume",
    "resume",
    "isolate",
    "isolate",
    "offline",
    "offline",
    "mute",
    "deafen",
    "no-calls",
    "partition",
    "heal",
    "heal",
    "store-down",
    "store-late",
    "store-lossy",
    "store-well",
    "slow-network",
    "fast-network",
    "backend-lost",
    "backend-back",
)


def random_schedule(
    rng: random.Random, length: int = SCHEDULE_LENGTH
) -> list[Event]:
    """Return a schedule of ``length`` random events."""
    return [
        Event(
            pause_s=rng.choice(PAUSES_S),
            action=rng.choice(_ACTIONS),
            member=rng.choice(MEMBERS),
            peer=rng.choice(MEMBERS),
        )
        for _ in range(length)
    ]


def to_scenario(events: list[Event]) -> simulated_cell.Scenario:
    """Return the scenario of a schedule.

    It starts the members, applies the events, ends all faults and waits until
    all slots are served again, while the invariants are checked.
    """

    async def scenario(cell: simulated_cell.SimulatedCell) -> None:
        for name in MEMBERS:
            cell.start(name)
        await cell.wait_until_served(simulated_cell.SLOTS, SETTLE_S)
        for event in events:
            await cell.pass_time(event.pause_s)
            await apply_event(cell, event)
        await recover(cell)
        await cell.wait_until_served(simulated_cell.SLOTS, SETTLE_S)

    return scenario


async def recover(cell: simulated_cell.SimulatedCell) -> None:
    """End all faults and start the members that are not running."""
    cell.heal()
    cell.store_server.cut_off.clear()
    cell.network_delay_s = 0.001
    cell.store_server.faults = simulated_cell.StoreFaults()
    for name in MEMBERS:
        process = cell.processes.get(name) or cell.start(name)
        process.backend_alive = True
        cell.resume(name)


async def apply_event(
    cell: simulated_cell.SimulatedCell, event: Event
) -> None:
    """Apply an event, unless the member's state rules it out."""
    process = cell.processes.get(event.member)
    match event.action:
        case "lose" if process is not None:
            await cell.lose(event.member)
        case "start" if process is None:
            cell.start(event.member)
        case "freeze" if process is not None:
            cell.freeze(event.member)
        case "resume":
            for name in cell.processes:
                cell.resume(name)
        case "isolate":
            for name in MEMBERS:
                cell.partition(event.member, name)
        case "offline":
            for name in MEMBERS:
                cell.partition(event.member, name)
            cell.store_server.cut_off.add(event.member)
        case "mute":
            cell.mute(event.member)
        case "deafen":
            cell.deafen(event.member)
        case "no-calls":
            cell.fail_calls(event.member)
        case "partition" if event.member != event.peer:
            cell.partition(event.member, event.peer)
        case "heal":
            cell.heal()
            cell.store_server.cut_off.clear()
        case "store-down":
            cell.store_server.faults = simulated_cell.StoreFaults(down=True)
        case "store-late":
            cell.store_server.faults = simulated_cell.StoreFaults(
                write_delay_s=0.8
            )
        case "store-lossy":
            cell.store_server.faults = simulated_cell.StoreFaults(
                lose_answers=True
            )
        case "store-well":
            cell.store_server.faults = simulated_cell.StoreFaults()
        case "slow-network":
            cell.network_delay_s = 0.3
        case "fast-network":
            cell.network_delay_s = 0.001
        case "backend-lost" if process is not None:
            process.backend_alive = False
        case "backend-back" if process is not None:
            process.backend_alive = True
