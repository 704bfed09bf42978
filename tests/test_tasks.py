"""An error in one step of a member's task does not end the task."""

from support import simulated_cell


def test_coordinator_goes_on_after_an_error() -> None:
    async def story(cell: simulated_cell.SimulatedCell) -> None:
        for name in ("a", "b", "c"):
            cell.start(name)
        await cell.wait_until_served(simulated_cell.SLOTS, 20)
        await cell.pass_time(3)
        for process in cell.processes.values():
            _fail_once(process)
        await cell.lose("a")
        await cell.wait_until_served(simulated_cell.SLOTS, 6)

    simulated_cell.run_scenario(story)


def _fail_once(process: simulated_cell.Process) -> None:
    """Let the next takeover of a process raise."""
    takeover = process.member.coordinator.takeover
    sound = takeover.suspend

    async def fail(*_: object) -> None:
        takeover.__dict__["suspend"] = sound
        raise KeyError("unforeseen")

    takeover.__dict__["suspend"] = fail
