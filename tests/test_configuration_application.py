"""Tests that a new configuration is applied by every part of a process."""

import asyncio

import pytest
from bronzepaddle import ids, route_table
from support import configuration_fleet, sample_status, simulated_time


class FailingListener:
    """A listener that fails a number of times for each version."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.calls: list[ids.BundleVersion] = []

    def apply(self, table: route_table.Table) -> None:
        """Apply a table; raises ``RuntimeError`` the first times."""
        self.calls.append(table.version)
        if self.calls.count(table.version) <= self.failures:
            raise RuntimeError("simulated failure")


class Process:
    """One process whose listeners fail a number of times.

    ``first`` and ``last`` are its listeners.
    """

    def __init__(self, first_failures: int, last_failures: int) -> None:
        self.loop = simulated_time.SimulatedTimeLoop()
        self.fleet = configuration_fleet.Fleet(self.loop, 1)
        self.configuration = self.fleet.configurations[0]
        self.first = FailingListener(first_failures)
        self.last = FailingListener(last_failures)
        self.configuration.listeners = (self.first.apply, self.last.apply)

    def run(self, seconds: float) -> None:
        """Follow the store for some time, with a change in the middle."""

        async def follow() -> None:
            running = self.fleet.start()
            await asyncio.sleep(seconds / 2)
            self.fleet.store.change()
            await asyncio.sleep(seconds / 2)
            for task in running:
                task.cancel()

        self.loop.run_until_complete(follow())
        self.loop.close()


@pytest.mark.parametrize("failures", [(1, 0), (0, 1), (2, 1)])
def test_version_that_a_listener_could_not_apply_is_applied_again(
    failures: tuple[int, int],
) -> None:
    process = Process(*failures)
    process.run(30.0)
    for listener in (process.first, process.last):
        for version in (1, 2):
            assert listener.calls.count(ids.BundleVersion(version)) >= 1
    assert process.configuration.version == 2
    assert process.first.calls.count(ids.BundleVersion(2)) > failures[0]
    assert process.last.calls.count(ids.BundleVersion(2)) > failures[1]


def test_version_that_is_not_applied_is_not_reported() -> None:
    process = Process(0, 1000)
    process.run(60.0)
    assert process.configuration.version == 0
    # It is neither asked for in a loop nor given up.
    assert 40 <= len(process.last.calls) <= 80


def test_failed_listener_keeps_no_other_one_from_a_version() -> None:
    process = Process(1000, 0)
    process.run(10.0)
    assert process.last.calls[-1] == 2


def test_version_of_a_peer_that_is_not_applied_is_pulled_again() -> None:
    loop = simulated_time.SimulatedTimeLoop()
    fleet = configuration_fleet.Fleet(loop, 2)
    receiver = fleet.configurations[0]
    listener = FailingListener(1)
    receiver.listeners = (listener.apply,)
    fleet.configurations[1].adopt(b"5", "store")
    status = sample_status.status(
        address=configuration_fleet.address_of(1),
        table_version=ids.BundleVersion(5),
    )

    async def receive(times: int) -> None:
        for _ in range(times):
            receiver.on_status(status)
            await asyncio.sleep(2.0)

    loop.run_until_complete(receive(2))
    loop.close()
    assert listener.calls == [5, 5]
    assert receiver.version == 5
