"""Parses and runs the cases in ``tests/cases/*.test``.

A case is ``[case NAME]`` followed by one step per line; ``#`` starts a
comment.  A line ``breaks VARIANT`` before the steps names the deliberately
broken build that the case must detect.  ``tests/cases/README.md`` lists the
steps.
"""

import collections.abc
import dataclasses
import pathlib
import typing

from support import simulated_cell

CASES_FOLDER: typing.Final = pathlib.Path(__file__).parent.parent / "cases"
SEED: typing.Final = 7
"""Seed of the simulated cell in every case."""


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of a case, with its line number."""

    line: int
    words: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Case:
    """A case; ``breaks`` names the broken build it must detect, if any."""

    file: str
    name: str
    steps: tuple[Step, ...]
    breaks: str = ""


class ExpectationError(AssertionError):
    """A step is unknown, or what it expects does not hold."""


def parse(path: pathlib.Path) -> collections.abc.Iterator[Case]:
    """Yield the cases in a file.

    Raises ``ValueError`` if there is a step before the first case.
    """
    name, breaks, steps = "", "", list[Step]()
    for number, text in enumerate(path.read_text().splitlines(), start=1):
        line = text.partition("#")[0].strip()
        if line.startswith("[case ") and line.endswith("]"):
            if name:
                yield Case(path.name, name, tuple(steps), breaks)
            name, breaks, steps = line[len("[case ") : -1], "", []
        elif line.startswith("breaks "):
            breaks = line.removeprefix("breaks ")
        elif line and name:
            steps.append(Step(number, tuple(line.split())))
        elif line:
            raise ValueError(
                f"{path.name}:{number}: step before the first case"
            )
    if name:
        yield Case(path.name, name, tuple(steps), breaks)


def load_cases() -> list[Case]:
    """Return the cases in all files, in the order of the file names."""
    return [
        case
        for path in sorted(CASES_FOLDER.glob("*.test"))
        for case in parse(path)
    ]


def run_case(case: Case) -> None:
    """Run a case; raises ``AssertionError`` with the line that failed."""

    async def scenario(cell: simulated_cell.SimulatedCell) -> None:
        for step in case.steps:
            try:
                await _run_step(cell, step.words)
            except AssertionError as error:
                location = f"{case.file}:{step.line} ({case.name})"
                step_text = " ".join(step.words)
                raise type(error)(
                    f"{location}: {step_text}\n  {error}"
                ) from error

    simulated_cell.run_scenario(scenario, SEED, clock_drift=0.0)


async def _run_step(
    cell: simulated_cell.SimulatedCell, words: tuple[str, ...]
) -> None:
    """Run one step."""
    match words:
        case ["start", *names, "rate", rate]:
            for name in names:
                cell.start(name, float(rate))
        case ["start", *names]:
            for name in names:
                cell.start(name)
        case ["pass", seconds]:
            await cell.pass_time(float(seconds))
        case ["within", seconds, *expected]:
            await _wait_for(cell, float(seconds), expected)
        case ["expect", *expected]:
            cell.check_invariants()
            _expect(cell, expected)
        case ["store", *fault]:
            _set_store_fault(cell, fault)
        case [event, *names]:
            await _apply_event(cell, event, names)


async def _apply_event(
    cell: simulated_cell.SimulatedCell, event: str, names: list[str]
) -> None:
    """Apply an event to the network or to each named member."""
    match event, names:
        case "heal", []:
            cell.heal()
        case "network", ["delay", seconds]:
            cell.network_delay_s = float(seconds)
        case "partition", [*_]:
            group, _, other_group = " ".join(names).partition("|")
            for member in group.split():
                for other in other_group.split():
                    cell.partition(member, other)
        case _, [*_]:
            for name in names:
                await _apply_to_member(cell, event, name)


async def _apply_to_member(
    cell: simulated_cell.SimulatedCell, event: str, name: str
) -> None:
    """Apply an event to one member."""
    match event:
        case "lose":
            await cell.lose(name)
        case "stop":
            await cell.processes[name].membership.self_maintenance.leave_cell(
                10.0
            )
            await cell.lose(name)
        case "drain":
            cell.processes[name].state.leaving = True
        case "freeze":
            cell.freeze(name)
        case "resume":
            cell.resume(name)
        case "isolate":
            for other in cell.processes:
                cell.partition(name, other)
        case "mute":
            cell.mute(name)
        case "deafen":
            cell.deafen(name)
        case "no-calls":
            cell.fail_calls(name)
        case "backend-lost":
            cell.processes[name].backend_alive = False
        case "backend-back":
            cell.processes[name].backend_alive = True
        case _:
            raise ExpectationError(f"unknown step: {event}")


def _set_store_fault(
    cell: simulated_cell.SimulatedCell, fault: list[str]
) -> None:
    """Set or end a fault of the store."""
    match fault:
        case ["well"]:
            cell.store_server.faults = simulated_cell.StoreFaults()
            cell.store_server.cut_off.clear()
        case ["down"]:
            cell.store_server.faults = simulated_cell.StoreFaults(down=True)
        case ["slow", seconds]:
            cell.store_server.faults = simulated_cell.StoreFaults(
                call_delay_s=float(seconds)
            )
        case ["lose-answers"]:
            cell.store_server.faults = simulated_cell.StoreFaults(
                lose_answers=True
            )
        case ["late", seconds]:
            cell.store_server.faults = simulated_cell.StoreFaults(
                write_delay_s=float(seconds)
            )
        case ["cut-off", *names]:
            cell.store_server.cut_off.update(names)
        case _:
            raise ExpectationError(f"unknown fault of the store: {fault}")


async def _wait_for(
    cell: simulated_cell.SimulatedCell, seconds: float, expected: list[str]
) -> None:
    """Let time pass until an expectation holds.

    Raises ``ExpectationError`` if it does not hold after ``seconds``.
    """
    end = cell.loop.time() + seconds
    while True:
        await cell.pass_time(simulated_cell.CHECK_INTERVAL_S)
        try:
            _expect(cell, expected)
        except ExpectationError:
            if cell.loop.time() > end:
                raise
            continue
        return


def _expect(cell: simulated_cell.SimulatedCell, expected: list[str]) -> None:
    """Raise ``ExpectationError`` unless an expectation holds now."""
    match expected:
        case ["served", "all"]:
            _check_equal(cell.served_slot_count(), simulated_cell.SLOTS)
        case ["served", count]:
            _check_equal(cell.served_slot_count(), int(count))
        case [name, "acts"]:
            _check_equal(_is_acting(cell, name), True)
        case [name, "idle"]:
            _check_equal(_is_acting(cell, name), False)
        case [name, "vouches-for-nobody"]:
            _check_equal(cell.processes[name].state.joined, False)
        case [name, "knows", "bundle"]:
            _check_equal(cell.processes[name].state.bundle is not None, True)
        case ["coordinator", "not", name]:
            _check_equal(_coordinator(cell) != name, True)
        case ["members", count]:
            _check_equal(_member_count(cell), int(count))
        case _:
            raise AssertionError(f"unknown expectation: {expected}")


def _check_equal(actual: object, expected: object) -> None:
    if actual != expected:
        raise ExpectationError(f"- expected {expected}\n  + got      {actual}")


def _is_acting(cell: simulated_cell.SimulatedCell, name: str) -> bool:
    return any(True for _ in cell.processes[name].active_slots())


def _coordinator(cell: simulated_cell.SimulatedCell) -> str:
    """Return the coordinator in the latest cell that a process knows."""
    known_cells = [
        process.state.known_cell
        for process in cell.processes.values()
        if process.state.known_cell is not None
    ]
    return max(
        known_cells, key=lambda known_cell: known_cell.version
    ).cell.coordinator


def _member_count(cell: simulated_cell.SimulatedCell) -> int:
    """Return the number of members in the stored cell, 0 if there is none."""
    stored = cell.store_server.stored_cell()
    return 0 if stored is None else len(stored.members)
