"""Tests of the watch of the cell object by the coordinator."""

import typing

from support import simulated_cell

MAX_CALLS_PER_S: typing.Final = 10.0
"""Upper limit of the calls to the store by all members of a calm cell."""


def test_watches_that_end_at_once_are_not_repeated_without_a_pause() -> None:
    """Guards against a call budget that such watches use up."""

    async def scenario(cell: simulated_cell.SimulatedCell) -> None:
        for name in ("a", "b", "c"):
            cell.start(name)
        await cell.wait_until_served(simulated_cell.SLOTS, 20)
        cell.store_server.faults.ends_watches = True
        attempts = cell.store_server.attempts
        await cell.pass_time(10)
        calls_per_s = (cell.store_server.attempts - attempts) / 10
        assert calls_per_s <= MAX_CALLS_PER_S

    simulated_cell.run_scenario(scenario)
