"""Reads and plays the cases in ``tests/cases/*.test``.

A case is ``[case NAME]`` and one step a line; ``#`` begins a comment. A line
``breaks VARIANT`` before the steps says which deliberately broken build the
case must catch.  The steps are listed in ``tests/cases/README.md``.
"""

import collections.abc
import dataclasses
import pathlib
import typing

from support import simulated_cell

CASES: typing.Final = pathlib.Path(__file__).parent.parent / "cases"
SEED: typing.Final = 7


@dataclasses.dataclass(frozen=True)
class Step:
    """One line of a case."""

    line: int
    words: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Case:
    """One named case."""

    file: str
    name: str
    steps: tuple[Step, ...]
    breaks: str = ""


class UnexpectedError(AssertionError):
    """A step found something else than it says."""


def read(path: pathlib.Path) -> collections.abc.Iterator[Case]:
    """Yield the cases of a file; raises ``ValueError`` on a bad line."""
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
            raise ValueError(f"{path.name}:{number}: before the first case")
    if name:
        yield Case(path.name, name, tuple(steps), breaks)


def all_cases() -> list[Case]:
    """Return the cases of every file."""
    return [
        case for path in sorted(CASES.glob("*.test")) for case in read(path)
    ]


def play(case: Case) -> None:
    """Play a case; raises ``AssertionError`` naming the line."""

    async def story(cell: simulated_cell.SimulatedCell) -> None:
        for step in case.steps:
            try:
                await _take(cell, step.words)
            except AssertionError as error:
                place = f"{case.file}:{step.line} ({case.name})"
                said = " ".join(step.words)
                raise type(error)(f"{place}: {said}\n  {error}") from error

    simulated_cell.run_scenario(story, SEED, drift=0.0)


async def _take(
    cell: simulated_cell.SimulatedCell, words: tuple[str, ...]
) -> None:
    """Take one step."""
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
            await _within(cell, float(seconds), expected)
        case ["expect", *expected]:
            cell.check()
            _expect(cell, expected)
        case ["store", *how]:
            _store(cell, how)
        case [what, *names]:
            await _happen(cell, what, names)


async def _happen(
    cell: simulated_cell.SimulatedCell, what: str, names: list[str]
) -> None:
    """Let something happen to members or between them."""
    match what, names:
        case "heal", []:
            cell.heal()
        case "network", ["delay", seconds]:
            cell.delay_s = float(seconds)
        case "partition", [*_]:
            here, _, there = " ".join(names).partition("|")
            for one in here.split():
                for other in there.split():
                    cell.partition(one, other)
        case _, [*_]:
            for name in names:
                await _happen_to(cell, what, name)


async def _happen_to(
    cell: simulated_cell.SimulatedCell, what: str, name: str
) -> None:
    match what:
        case "lose":
            await cell.lose(name)
        case "stop":
            await cell.processes[name].member.self_maintenance.leave_cell(10.0)
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
            cell.no_calls(name)
        case "backend-lost":
            cell.processes[name].backend_alive = False
        case "backend-back":
            cell.processes[name].backend_alive = True
        case _:
            raise UnexpectedError(f"no such step: {what}")


def _store(cell: simulated_cell.SimulatedCell, how: list[str]) -> None:
    match how:
        case ["well"]:
            cell.objects.faults = simulated_cell.StoreFaults()
            cell.objects.cut_off.clear()
        case ["down"]:
            cell.objects.faults = simulated_cell.StoreFaults(down=True)
        case ["slow", seconds]:
            cell.objects.faults = simulated_cell.StoreFaults(
                slow_s=float(seconds)
            )
        case ["lose-answers"]:
            cell.objects.faults = simulated_cell.StoreFaults(lose_answers=True)
        case ["late", seconds]:
            cell.objects.faults = simulated_cell.StoreFaults(
                late_s=float(seconds)
            )
        case ["cut-off", *names]:
            cell.objects.cut_off.update(names)
        case _:
            raise UnexpectedError(f"no such fault of the store: {how}")


async def _within(
    cell: simulated_cell.SimulatedCell, seconds: float, expected: list[str]
) -> None:
    """Let time pass until something holds."""
    until = cell.loop.time() + seconds
    while True:
        await cell.pass_time(simulated_cell.CHECK_EVERY_S)
        try:
            _expect(cell, expected)
        except UnexpectedError:
            if cell.loop.time() > until:
                raise
            continue
        return


def _expect(cell: simulated_cell.SimulatedCell, expected: list[str]) -> None:
    """Raise ``UnexpectedError`` unless something holds now."""
    match expected:
        case ["served", "all"]:
            _same(cell.served(), simulated_cell.SLOTS)
        case ["served", number]:
            _same(cell.served(), int(number))
        case [name, "acts"]:
            _same(_acts(cell, name), True)
        case [name, "idle"]:
            _same(_acts(cell, name), False)
        case [name, "vouches-for-nobody"]:
            _same(cell.processes[name].state.joined, False)
        case [name, "knows", "bundle"]:
            _same(cell.processes[name].state.bundle is not None, True)
        case ["coordinator", "not", name]:
            _same(_coordinator(cell) != name, True)
        case ["members", number]:
            _same(_members(cell), int(number))
        case _:
            raise AssertionError(f"no such expectation: {expected}")


def _same(got: object, wanted: object) -> None:
    if got != wanted:
        raise UnexpectedError(f"- expected {wanted}\n  + got      {got}")


def _acts(cell: simulated_cell.SimulatedCell, name: str) -> bool:
    return any(True for _ in cell.processes[name].active_slots())


def _coordinator(cell: simulated_cell.SimulatedCell) -> str:
    views = [
        process.state.view
        for process in cell.processes.values()
        if process.state.view is not None
    ]
    return max(views, key=lambda view: view.version).cell.coordinator


def _members(cell: simulated_cell.SimulatedCell) -> int:
    """Return the size of the member set on record in the store."""
    found = cell.objects.newest()
    return 0 if found is None else len(found.members)
