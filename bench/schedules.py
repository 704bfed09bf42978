"""Runs random schedules of faults: ``bench/schedules.py --count 10000``.

A schedule is generated from a seed.  The seeds of schedules that fail are
printed; ``--seed N`` runs one of them again.
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

Outcome: typing.TypeAlias = tuple[int, str]
"""The seed of a schedule and its failure; empty if it passed."""


def run_schedule(seed: int, variant: str, length: int) -> Outcome:
    """Run one schedule and return its outcome.

    ``variant`` names a deliberately broken build; empty for the real one.
    """
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
    """Run schedules and print the seeds of those that fail."""
    if seed is not None:
        click.echo(run_schedule(seed, variant, length))
        return
    started = time.monotonic()
    seeds = range(first, first + count)
    failures: list[Outcome] = []
    completed = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        outcomes = pool.map(
            run_schedule,
            seeds,
            [variant] * count,
            [length] * count,
            chunksize=8,
        )
        for outcome in outcomes:
            completed += 1
            if not outcome[1]:
                continue
            failures.append(outcome)
            click.echo(f"seed {outcome[0]}: {outcome[1]}")
            if len(failures) >= most_failures:
                pool.shutdown(cancel_futures=True)
                break
    took_s = time.monotonic() - started
    click.echo(
        f"{completed} schedules, {len(failures)} failed, {took_s:.0f} s"
    )


if __name__ == "__main__":
    main()
