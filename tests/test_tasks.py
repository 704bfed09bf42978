"""An error in one step of a member's task does not end the task."""

from support import world


def test_coordinator_goes_on_after_an_error() -> None:
    async def story(cell: world.World) -> None:
        for name in ("a", "b", "c"):
            cell.start(name)
        await cell.until_served(world.SLOTS, 20)
        await cell.pass_time(3)
        for process in cell.processes.values():
            _fail_once(process)
        await cell.lose("a")
        await cell.until_served(world.SLOTS, 6)

    world.tell(story)


def _fail_once(process: world.Process) -> None:
    """Let the next takeover of a process raise."""
    takeover = process.member.coordinator.takeover
    sound = takeover.suspend

    async def fail(*_: object) -> None:
        takeover.__dict__["suspend"] = sound
        raise KeyError("unforeseen")

    takeover.__dict__["suspend"] = fail
