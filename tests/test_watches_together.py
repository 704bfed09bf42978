"""Tests that a change is in effect in time after watches began together.

One event may end the watches of all processes, so that all begin again at the
same time; the store may tell none of these watches anything.
"""

import asyncio
import collections.abc
import random
import typing
import unittest.mock

import pytest
from bronzepaddle.load import fleet_checks
from bronzepaddle_peers import statuses
from support import configuration_fleet, simulated_time

MAX_CHANGE_S: typing.Final = 2.0
"""Upper limit of the time from a confirmed change until it is in effect."""

MAX_GAP_S: typing.Final = 1.5
"""Longest time between two reads for the whole fleet."""

MAX_READS_PER_S: typing.Final = 3.0
"""Reads per second for the whole fleet while nothing happens."""

MAX_READS: typing.Final = 100
"""Reads of one process in a run of ``Fleet.run``, at most."""

CHANGES: typing.Final = 8
"""Changes in each random schedule."""

UNANSWERED_S: typing.Final = 0.9
"""Time after the common event in which new watches get no answer."""

Disturb: typing.TypeAlias = collections.abc.Callable[
    [configuration_fleet.HangingStore], None
]


def cut(store: configuration_fleet.HangingStore) -> None:
    """Cut off all watches; those that follow at once get no answer."""
    store.cut_watches(UNANSWERED_S)


def time_until_in_effect(
    size: int, change_after_s: float, disturb: Disturb, running_s: float
) -> float:
    """Return the time until a change is in effect in all processes."""
    loop = simulated_time.SimulatedTimeLoop()

    async def run_fleet() -> float:
        fleet = configuration_fleet.Fleet(loop, size)
        return await fleet.run(change_after_s, disturb, running_s)

    took_s = loop.run_until_complete(run_fleet())
    loop.close()
    return took_s


@pytest.mark.parametrize("size", [1, 2, 12, 40, 73])
@pytest.mark.parametrize("change_after_s", [0.0, 0.5, 1.0, 3.0])
def test_watches_cut_off_together_hide_no_change(
    size: int, change_after_s: float
) -> None:
    took_s = time_until_in_effect(size, change_after_s, cut, 12.5)
    assert took_s <= MAX_CHANGE_S


@pytest.mark.parametrize("size", [1, 2, 12, 40, 73])
@pytest.mark.parametrize("change_after_s", [0.5, 1.0, 3.0])
def test_watches_of_a_started_fleet_hide_no_change(
    size: int, change_after_s: float
) -> None:
    took_s = time_until_in_effect(size, change_after_s, cut, 0.0)
    assert took_s <= MAX_CHANGE_S


@pytest.mark.parametrize("size", [2, 13, 73, 195])
@pytest.mark.parametrize("isolated", [0, 1])
def test_process_cut_off_from_all_peers_misses_no_change(
    size: int, isolated: int
) -> None:
    loop = simulated_time.SimulatedTimeLoop()

    async def run_fleet() -> float:
        fleet = configuration_fleet.Fleet(loop, size)

        def cut_and_isolate(store: configuration_fleet.HangingStore) -> None:
            cut(store)
            fleet.isolated = {isolated}

        return await fleet.run(1.0, cut_and_isolate)

    took_s = loop.run_until_complete(run_fleet())
    loop.close()
    assert took_s <= MAX_CHANGE_S


@pytest.mark.parametrize("size", [2, 13, 73])
@pytest.mark.parametrize("silent_s", [0.0, 0.7])
def test_processes_that_can_pull_from_no_peer_miss_no_change(
    size: int, silent_s: float
) -> None:
    """Guards against reads of peers that count where none can be pulled."""
    loop = simulated_time.SimulatedTimeLoop()
    fleet = configuration_fleet.Fleet(loop, size)

    async def fail(*_: object) -> statuses.ConfigReply:
        await asyncio.sleep(silent_s)
        raise ConnectionResetError

    fleet.pull_config = fail  # type: ignore[method-assign, assignment]
    took_s = loop.run_until_complete(fleet.run(1.0, cut))
    loop.close()
    assert took_s <= MAX_CHANGE_S
    assert len(fleet.store.read_times) <= MAX_READS * size


@pytest.mark.parametrize("size", [2, 13, 73, 195])
def test_reads_for_the_fleet_do_not_grow_with_it(size: int) -> None:
    loop = simulated_time.SimulatedTimeLoop()
    fleet = configuration_fleet.Fleet(loop, size)

    async def run_fleet() -> None:
        running = fleet.start()
        await asyncio.sleep(60.0)
        for task in running:
            task.cancel()

    loop.run_until_complete(run_fleet())
    began_at, ended_at = loop.time() - 40.0, loop.time()
    loop.close()
    times = [at for at in fleet.store.read_times if at > began_at]
    assert len(times) / 40.0 <= MAX_READS_PER_S
    gaps = [
        later - earlier
        for earlier, later in zip(
            [began_at, *times], [*times, ended_at], strict=True
        )
    ]
    assert max(gaps) <= MAX_GAP_S


class Disturbances:
    """Changes of the configuration amid random disturbances of the store."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loop = simulated_time.SimulatedTimeLoop()
        self.fleet = configuration_fleet.Fleet(
            self.loop, self.rng.choice([2, 5, 13, 40])
        )
        # The time that each change took to be in effect everywhere.
        self.took_s: list[float] = []

    def run(self) -> None:
        """Run the whole schedule."""
        self.loop.run_until_complete(self._run())
        self.loop.close()

    async def _run(self) -> None:
        running = self.fleet.start()
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        for _ in range(CHANGES):
            for _ in range(self.rng.randint(1, 3)):
                self._disturb()
                await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await self._change()
        for task in running:
            task.cancel()

    def _disturb(self) -> None:
        store = self.fleet.store
        match self.rng.randrange(3):
            case 0:
                store.cut_watches(self.rng.uniform(0.0, 2.0))
            case 1:
                store.hang_watches()
            case _:
                self._cut_off_a_third()

    def _cut_off_a_third(self) -> None:
        """Cut a third of the processes off from the store, others not."""
        count = len(self.fleet.stores) // 3
        lost = self.rng.sample(range(len(self.fleet.stores)), count)
        for number, process_store in enumerate(self.fleet.stores):
            process_store.reached = number not in lost

    async def _change(self) -> None:
        """Change the configuration; wait until it is in effect."""
        self.fleet.store.change()
        changed_at = self.loop.time()
        await asyncio.sleep(4.0)
        in_effect = all(
            process.version == self.fleet.store.version
            for process in self.fleet.configurations
        )
        self.took_s.append(
            max(self.fleet.applied_at.values()) - changed_at
            if in_effect
            else float("inf")
        )


@pytest.mark.parametrize("seed", range(20))
def test_random_disturbances_hide_no_change(seed: int) -> None:
    disturbances = Disturbances(seed)
    disturbances.run()
    assert max(disturbances.took_s) <= MAX_CHANGE_S


def test_fleet_without_reads_of_its_own_is_caught() -> None:
    disturbances = Disturbances(0)
    with unittest.mock.patch.object(
        fleet_checks.FleetChecks, "is_due", lambda *_: False
    ):
        disturbances.run()
    assert max(disturbances.took_s) > MAX_CHANGE_S
