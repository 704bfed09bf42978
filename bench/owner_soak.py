"""Looks for keys with two owners, in processes that faults strike by seed.

Starts the processes between stand-ins on this machine and prints one line for
each violation.  Run by hand; ``tests/integration/test_owner_soak.py`` is the
short run.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile
import typing

import click

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from support import soak_rig  # noqa: E402

MEMBERS_OF_SERVICES: typing.Final = {
    soak_rig.KEYED_SERVICE: 30,
    "exports": 22,
    "mail": 6,
    "search": 15,
}
"""Number of processes of each service, if there are enough."""


def services(processes: int) -> list[str]:
    """Return the service of each process; a few are all of the keyed one."""
    if processes <= MEMBERS_OF_SERVICES[soak_rig.KEYED_SERVICE]:
        return [soak_rig.KEYED_SERVICE] * processes
    names = [
        name
        for name, count in MEMBERS_OF_SERVICES.items()
        for _ in range(count)
    ]
    return (names * (1 + processes // len(names)))[:processes]


async def soak(
    folder: pathlib.Path, processes: int, seconds: float, seed: int
) -> soak_rig.Outcome:
    return await soak_rig.Rig(folder, services(processes), seed).run(seconds)


@click.command()
@click.option("--processes", default=6, show_default=True)
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="Their number.")
@click.option(
    "--keep-logs",
    type=click.Path(path_type=pathlib.Path),
    help="Folder for the records and the processes' logs.",
)
def main(
    processes: int,
    seconds: float,
    seed: int,
    seeds: int,
    keep_logs: pathlib.Path | None,
) -> None:
    """Run the soak with some seeds; exit with 1 if one found something."""
    # The processes are ended before the exit.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if keep_logs is not None:
                folder = keep_logs / f"seed-{number}"
                folder.mkdir(parents=True, exist_ok=True)
            outcome = asyncio.run(soak(folder, processes, seconds, number))
        found = [violation.line for violation in outcome.violations]
        found += outcome.failures
        for line in found:
            click.echo(f"seed {number}: {line}")
        click.echo(f"seed {number}: {len(found)} found; {outcome.summary}")
        failed += bool(found)
    click.echo(f"{failed} of {seeds} seeds found something")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
