"""Plays random schedules of faults: ``bench/schedules.py --count 10000``.

Each is named by its seed; a failure prints the seed, and ``--seed N`` plays
that one again.
"""

import concurrent.futures
import pathlib
import random
import sys
import time
import typing

import click

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests"))

from support import broken, schedules, simulated_cell

Found: typing.TypeAlias = tuple[int, str]


def play(seed: int, variant: str, length: int) -> Found:
    """Play one schedule and return what went wrong, or nothing."""
    events = schedules.random_schedule(random.Random(seed), length)
    with broken.patched(variant):
        try:
            simulated_cell.run_scenario(schedules.to_scenario(events), seed)
        except Exception as error:
            return seed, repr(error)
    return seed, ""


@click.command()
@click.option("--count", default=1000)
@click.option("--first", default=1)
@click.option("--jobs", default=3)
@click.option("--length", default=schedules.SCHEDULE_LENGTH)
@click.option("--variant", default="", help="A deliberately broken build.")
@click.option("--most-failures", default=20)
@click.option("--seed", type=int, default=None)
def main(
    count: int,
    first: int,
    jobs: int,
    length: int,
    variant: str,
    most_failures: int,
    seed: int | None,
) -> None:
    """Play schedules and print those that fail."""
    if seed is not None:
        click.echo(play(seed, variant, length))
        return
    began = time.monotonic()
    seeds = range(first, first + count)
    failures: list[Found] = []
    played = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        work = pool.map(
            play, seeds, [variant] * count, [length] * count, chunksize=8
        )
        for found in work:
            played += 1
            if not found[1]:
                continue
            failures.append(found)
            click.echo(f"seed {found[0]}: {found[1]}")
            if len(failures) >= most_failures:
                pool.shutdown(cancel_futures=True)
                break
    took = time.monotonic() - began
    click.echo(f"{played} schedules, {len(failures)} failed, {took:.0f} s")


if __name__ == "__main__":
    main()
