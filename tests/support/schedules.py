"""Random schedules of faults, and what must hold after each.

A schedule is a list of events with pauses, drawn from a source of random
numbers: hypothesis gives one that it can shrink, a benchmark one by seed.
"""

import dataclasses
import random
import typing

from support import simulated_cell

MEMBERS: typing.Final = ("a", "b", "c", "d", "e")
SCHEDULE_LENGTH: typing.Final = 16
PAUSES_S: typing.Final = (0.05, 0.4, 1.0, 1.7, 2.0, 2.3, 3.5)
SETTLE_S: typing.Final = 45.0
"""Bound on the return of all slots once everything is well again."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One thing that happens, after a pause in seconds."""

    pause_s: float
    what: str
    who: str = ""
    other: str = ""


_WHATS: typing.Final = (
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
    """Return a schedule."""
    return [
        Event(
            pause_s=rng.choice(PAUSES_S),
            what=rng.choice(_WHATS),
            who=rng.choice(MEMBERS),
            other=rng.choice(MEMBERS),
        )
        for _ in range(length)
    ]


def to_scenario(events: list[Event]) -> simulated_cell.Scenario:
    """Return the story that plays a schedule, checking all the time."""

    async def play(cell: simulated_cell.SimulatedCell) -> None:
        for name in MEMBERS:
            cell.start(name)
        await cell.wait_until_served(simulated_cell.SLOTS, SETTLE_S)
        for event in events:
            await cell.pass_time(event.pause_s)
            await happen(cell, event)
        await recover(cell)
        await cell.wait_until_served(simulated_cell.SLOTS, SETTLE_S)

    return play


async def recover(cell: simulated_cell.SimulatedCell) -> None:
    """Make everything well again."""
    cell.heal()
    cell.objects.cut_off.clear()
    cell.delay_s = 0.001
    cell.objects.faults = simulated_cell.StoreFaults()
    for name in MEMBERS:
        process = cell.processes.get(name) or cell.start(name)
        process.backend_alive = True
        cell.resume(name)


async def happen(cell: simulated_cell.SimulatedCell, event: Event) -> None:
    """Let one event happen, if it can."""
    process = cell.processes.get(event.who)
    match event.what:
        case "lose" if process is not None:
            await cell.lose(event.who)
        case "start" if process is None:
            cell.start(event.who)
        case "freeze" if process is not None:
            cell.freeze(event.who)
        case "resume":
            for name in cell.processes:
                cell.resume(name)
        case "isolate":
            for name in MEMBERS:
                cell.partition(event.who, name)
        case "offline":
            for name in MEMBERS:
                cell.partition(event.who, name)
            cell.objects.cut_off.add(event.who)
        case "mute":
            cell.mute(event.who)
        case "deafen":
            cell.deafen(event.who)
        case "no-calls":
            cell.no_calls(event.who)
        case "partition" if event.who != event.other:
            cell.partition(event.who, event.other)
        case "heal":
            cell.heal()
            cell.objects.cut_off.clear()
        case "store-down":
            cell.objects.faults = simulated_cell.StoreFaults(down=True)
        case "store-late":
            cell.objects.faults = simulated_cell.StoreFaults(late_s=0.8)
        case "store-lossy":
            cell.objects.faults = simulated_cell.StoreFaults(lose_answers=True)
        case "store-well":
            cell.objects.faults = simulated_cell.StoreFaults()
        case "slow-network":
            cell.delay_s = 0.3
        case "fast-network":
            cell.delay_s = 0.001
        case "backend-lost" if process is not None:
            process.backend_alive = False
        case "backend-back" if process is not None:
            process.backend_alive = True
