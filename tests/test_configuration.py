"""Tests that configuration changes take effect in time on every process.

A watch of the store may hang without reporting anything, even all watches at
the same time.
"""

import asyncio
import collections.abc
import random
import typing

import eliot
import pytest
from bronzepaddle import cells, ids, route_table, store_versions
from bronzepaddle_node import configuration
from bronzepaddle_peers import statuses, stream_client
from bronzepaddle_store import eras, store
from support import broken_eras, sample_status, simulated_time

MAX_CHANGE_S: typing.Final = 2.0
"""Upper limit of the time from a confirmed change until it is in effect."""

RECOVERY_S: typing.Final = 3.0
"""Time after a disturbance from which the limits apply again."""

CALL_TIMEOUT_S: typing.Final = 1.0
"""Timeout of a call to the store, beyond the requested length of a watch."""


class HangingStore:
    """A store of one object that can make all open watches hang."""

    def __init__(self) -> None:
        self.eras = eras.EraTracker()
        self.era = ids.FIRST_ERA
        self.version = 1
        self.changed = asyncio.Event()
        self.hangs = 0
        self.watch_times: list[float] = []

    def change(self) -> None:
        """Write the next version."""
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, version: int) -> None:
        """Come back from a copy with an earlier version."""
        self.era = ids.StoreEra(self.era + 1)
        self.version = version
        self.changed.set()
        self.changed = asyncio.Event()

    def hang_watches(self) -> None:
        """Make all open watches hang until they time out."""
        self.hangs += 1

    def _stored(self) -> store.StoredObject:
        body = str(self.version).encode()
        version = store_versions.StoreVersion(
            self.era, ids.ObjectVersion(self.version)
        )
        return store.StoredObject(version, body)

    async def get(self, name: str) -> store.StoredObject | None:
        """Return the object."""
        return self._stored()

    async def put(
        self, name: str, body: bytes, replaces: store_versions.StoreVersion
    ) -> store_versions.StoreVersion:
        """Not used here."""
        raise NotImplementedError

    async def list(self, folder: str) -> dict[str, store.StoredObject]:
        """Not used here."""
        raise NotImplementedError

    async def watch(
        self,
        name: str,
        newer_than: store_versions.StoreVersion,
        timeout_s: float,
    ) -> store.StoredObject | None:
        """Wait for a newer version; raise an error if the watch hangs."""
        loop = asyncio.get_running_loop()
        self.watch_times.append(loop.time())
        hangs, ends_at = self.hangs, loop.time() + timeout_s
        while self._stored().version <= newer_than and loop.time() < ends_at:
            try:
                async with asyncio.timeout_at(ends_at):
                    await self.changed.wait()
            except TimeoutError:
                pass
            if hangs != self.hangs:
                await asyncio.sleep(ends_at + CALL_TIMEOUT_S - loop.time())
                raise store.StoreUnavailableError("timed out")
        stored = self._stored()
        return stored if stored.version > newer_than else None


def decode(document: bytes) -> route_table.Table:
    version = ids.BundleVersion(int(document))
    return route_table.Table(version, (), {}, route_table.Limits())


class Fleet:
    """Processes that start together and send each other their versions."""

    def __init__(
        self, loop: simulated_time.SimulatedTimeLoop, size: int
    ) -> None:
        self.loop = loop
        self.store = HangingStore()
        self.applied_at: dict[int, float] = {}
        self.configurations: list[configuration.Configuration] = [
            self._build(number) for number in range(size)
        ]

    def _build(self, number: int) -> configuration.Configuration:
        return configuration.Configuration(
            "config/main",
            self.store,
            decode,
            (lambda table: self._on_table(number, table),),
            typing.cast(stream_client.Client, self),
            simulated_time.SimulatedClock(self.loop, 1.0),
            lambda: len(self.configurations),
            random.Random(number),
        )

    def _on_table(self, number: int, table: route_table.Table) -> None:
        """Record when a process applied a table; send its status to all."""
        self.applied_at[number] = self.loop.time()
        status = _status(number, table.version)
        for receiver in self.configurations:
            self.loop.call_later(0.02, receiver.on_status, status)

    async def pull_config(
        self, address: cells.Address, request: statuses.ConfigRequest
    ) -> statuses.ConfigReply:
        """Return a process's reply to a pull request."""
        return self.configurations[address.port].on_pull(request)

    async def run(self, change_after_s: float) -> float:
        """Hang all watches, then change the configuration.

        Returns the time from the change until all processes have applied it.
        """
        running = [
            asyncio.create_task(process.run(), name="configuration")
            for process in self.configurations
        ]
        await asyncio.sleep(12.5)
        self.store.hang_watches()
        await asyncio.sleep(change_after_s)
        self.store.change()
        changed_at = self.loop.time()
        await asyncio.sleep(40.0)
        for task in running:
            task.cancel()
        assert {process.version for process in self.configurations} == {
            self.store.version
        }
        return max(self.applied_at.values()) - changed_at


def _status(number: int, version: ids.BundleVersion) -> statuses.Status:
    return sample_status.status(
        sender=ids.MemberId(str(number)),
        address=cells.Address("", number),
        table_version=version,
    )


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
        return await Fleet(loop, size).run(change_after_s)

    assert loop.run_until_complete(run_fleet()) <= MAX_CHANGE_S


def test_watches_do_not_end_together_and_are_not_too_many(
    loop: simulated_time.SimulatedTimeLoop,
) -> None:
    fleets: list[Fleet] = []

    async def run_fleet() -> None:
        fleets.append(Fleet(loop, 200))
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
        await Fleet(loop, 16).run(1.0)

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


def versions_in_force_over_a_restore() -> list[int]:
    """Return the versions that a process applies, in order.

    The store comes back from a copy of version 3 while version 5 is in
    effect, and then gets version 6.
    """
    loop = simulated_time.SimulatedTimeLoop()
    fleet = Fleet(loop, 1)
    process = fleet.configurations[0]
    applied: list[int] = []
    process.listeners = (lambda table: applied.append(int(table.version)),)

    async def run() -> None:
        fleet.store.version = 5
        running = asyncio.create_task(process.run())
        await asyncio.sleep(5.0)
        fleet.store.restore(3)
        await asyncio.sleep(25.0)
        for _ in range(3):
            fleet.store.change()
        await asyncio.sleep(25.0)
        running.cancel()

    loop.run_until_complete(run())
    loop.close()
    return applied


def test_configuration_does_not_go_back_with_the_store() -> None:
    assert versions_in_force_over_a_restore() == [5, 6]


def test_broken_build_is_caught() -> None:
    with broken_eras.patched("configuration-of-the-store"):
        assert versions_in_force_over_a_restore() != [5, 6]
