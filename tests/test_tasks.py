"""Tests that an exception in one step of a task does not end the task."""

from support import simulated_cell


def test_coordinator_continues_after_an_exception() -> None:
    async def scenario(cell: simulated_cell.SimulatedCell) -> None:
        for name in ("a", "b", "c"):
            cell.start(name)
        await cell.wait_until_served(simulated_cell.SLOTS, 20)
        await cell.pass_time(3)
        for process in cell.processes.values():
            _fail_once(process)
        await cell.lose("a")
        await cell.wait_until_served(simulated_cell.SLOTS, 6)

    simulated_cell.run_scenario(scenario)


def _fail_once(process: simulated_cell.Process) -> None:
    """Make the next takeover of a process raise an exception."""
    takeover = process.membership.coordinator.takeover
    original = takeover.suspend

    async def fail(*_: object) -> None:
        takeover.__dict__["suspend"] = original
        raise KeyError("unforeseen")

    takeover.__dict__["suspend"] = fail
