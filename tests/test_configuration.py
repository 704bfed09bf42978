"""Tests that configuration changes take effect in time on every process.

A watch of the store may hang without reporting anything, even all watches at
the same time.
"""

import asyncio
import collections.abc
import typing

import eliot
import pytest
from support import broken_eras, configuration_fleet, simulated_time

MAX_CHANGE_S: typing.Final = 2.0
"""Upper limit of the time from a confirmed change until it is in effect."""

MAX_WATCHES_PER_S: typing.Final = 5.0
"""Upper limit of the watches that one process begins."""

RECOVERY_S: typing.Final = 3.0
"""Time after a disturbance from which the limits apply again."""


@pytest.fixture
def loop() -> collections.abc.Iterator[simulated_time.SimulatedTimeLoop]:
    simulated_loop = simulated_time.SimulatedTimeLoop()
    yield simulated_loop
    simulated_loop.close()


@pytest.mark.parametrize("size", [1, 2, 16, 73])
@pytest.mark.parametrize("change_after_s", [RECOVERY_S, 4.0, 5.5])
def test_change_takes_effect_in_time_after_all_watches_hang(
    loop: simulated_time.SimulatedTimeLoop, size: int, change_after_s: float
) -> None:
    async def run_fleet() -> float:
        return await configuration_fleet.Fleet(loop, size).run(change_after_s)

    assert loop.run_until_complete(run_fleet()) <= MAX_CHANGE_S


def test_watches_do_not_end_together_and_are_not_too_many(
    loop: simulated_time.SimulatedTimeLoop,
) -> None:
    fleets: list[configuration_fleet.Fleet] = []

    async def run_fleet() -> None:
        fleets.append(configuration_fleet.Fleet(loop, 200))
        await fleets[0].run(RECOVERY_S)

    loop.run_until_complete(run_fleet())
    # The simulated time starts at 1000 s; the configuration is changed before
    # 1030 s.
    times = [at for at in fleets[0].store.watch_times if at > 1030.0]
    seconds = [int(at) for at in times]
    span_s = times[-1] - times[0]
    assert len(times) / span_s < 20
    assert max(seconds.count(second) for second in set(seconds)) < 40


def test_lines_tell_what_was_asked_and_answered(
    loop: simulated_time.SimulatedTimeLoop,
) -> None:
    """Guards against refusals whose cause the logs don't tell (issue 52)."""
    lines: list[dict[str, typing.Any]] = []

    async def run_fleet() -> None:
        await configuration_fleet.Fleet(loop, 16).run(1.0)

    eliot.add_destinations(lines.append)
    try:
        loop.run_until_complete(run_fleet())
    finally:
        eliot.remove_destination(lines.append)
    asked = [line for line in lines if line["message_type"] == "config-asked"]
    assert {(line["question"], line["outcome"]) for line in asked} >= {
        ("read", "found"),
        ("watch", "nothing-newer"),
        ("watch", "failed"),
        ("watch", "found"),
    }
    found = [line for line in asked if line["outcome"] == "found"]
    assert {(line["since"], line["found"]) for line in found} >= {(0, 1)}
    pulled = [
        line for line in lines if line["message_type"] == "config-pulled"
    ]
    assert {(line["reported"], line["received"]) for line in pulled} >= {
        (2, 2)
    }


def test_watches_that_end_at_once_are_not_repeated_without_a_pause(
    loop: simulated_time.SimulatedTimeLoop,
) -> None:
    """Guards against a call budget that such watches use up."""
    fleet = configuration_fleet.Fleet(loop, 1)
    fleet.store.ends_watches = True

    async def run() -> None:
        running = fleet.start()
        await asyncio.sleep(10.0)
        for task in running:
            task.cancel()

    loop.run_until_complete(run())
    assert len(fleet.store.watch_times) <= 10.0 * MAX_WATCHES_PER_S


def versions_in_force_over_a_restore() -> list[int]:
    """Return the versions that a process applies, in order.

    The store comes back from a copy of version 3 while version 5 is in
    effect, and then gets version 6.
    """
    loop = simulated_time.SimulatedTimeLoop()
    fleet = configuration_fleet.Fleet(loop, 1)
    process = fleet.configurations[0]
    applied: list[int] = []
    process.listeners = (lambda table: applied.append(int(table.version)),)

    async def run() -> None:
        fleet.store.version = 5
        running = fleet.start()
        await asyncio.sleep(5.0)
        fleet.store.restore(3)
        await asyncio.sleep(25.0)
        for _ in range(3):
            fleet.store.change()
        await asyncio.sleep(25.0)
        for task in running:
            task.cancel()

    loop.run_until_complete(run())
    loop.close()
    return applied


def test_configuration_does_not_go_back_with_the_store() -> None:
    assert versions_in_force_over_a_restore() == [5, 6]


def test_broken_build_is_caught() -> None:
    with broken_eras.patched("configuration-of-the-store"):
        assert versions_in_force_over_a_restore() != [5, 6]
