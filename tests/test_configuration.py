"""The newest configuration is in force in time, whatever falls silent."""

import asyncio
import collections.abc
import random
import typing

import pytest
from bronzepaddle import cells, ids, route_table
from bronzepaddle_node import configuration
from bronzepaddle_peers import statuses, stream_client
from bronzepaddle_store import store
from support import sample_status, simulated_time

CONFIG_S: typing.Final = 2.0
"""Bound on the time from a confirmed change to its being in force."""

CONTACT_S: typing.Final = 3.0
"""Time after an impairment from which bounds hold again."""

CALL_S: typing.Final = 1.0
"""Timeout of a call, beyond the wait that it asks for."""


class SilentStore:
    """One object; watches that are open when it falls silent stay so."""

    def __init__(self) -> None:
        self.version = 1
        self.changed = asyncio.Event()
        self.silences = 0
        self.watched_at: list[float] = []

    def change(self) -> None:
        """Write the next version."""
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def fall_silent(self) -> None:
        """Let no open watch hear of anything any more."""
        self.silences += 1

    def _found(self) -> store.StoredObject:
        body = str(self.version).encode()
        return store.StoredObject(ids.ObjectVersion(self.version), body)

    async def get(self, name: str) -> store.StoredObject | None:
        """Return the object."""
        return self._found()

    async def put(
        self, name: str, body: bytes, replaces: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Not used here."""
        raise NotImplementedError

    async def list(self, folder: str) -> dict[str, store.StoredObject]:
        """Not used here."""
        raise NotImplementedError

    async def watch(
        self, name: str, newer_than: ids.ObjectVersion, timeout_s: float
    ) -> store.StoredObject | None:
        """Wait for a newer version, or for nothing."""
        loop = asyncio.get_running_loop()
        self.watched_at.append(loop.time())
        silences, ends = self.silences, loop.time() + timeout_s
        while self.version <= newer_than and loop.time() < ends:
            try:
                async with asyncio.timeout_at(ends):
                    await self.changed.wait()
            except TimeoutError:
                pass
            if silences != self.silences:
                await asyncio.sleep(ends + CALL_S - loop.time())
                raise store.StoreUnavailableError("timed out")
        return self._found() if self.version > newer_than else None


def decode(document: bytes) -> route_table.Table:
    version = ids.BundleVersion(int(document))
    return route_table.Table(version, (), {}, route_table.Limits())


class Fleet:
    """Processes that started together and tell each other their versions."""

    def __init__(
        self, loop: simulated_time.SimulatedTimeLoop, size: int
    ) -> None:
        self.loop = loop
        self.store = SilentStore()
        self.in_force: dict[int, float] = {}
        self.all: list[configuration.Configuration] = [
            self._process(number) for number in range(size)
        ]

    def _process(self, number: int) -> configuration.Configuration:
        return configuration.Configuration(
            "config/main",
            self.store,
            decode,
            (lambda table: self._learned(number, table),),
            typing.cast(stream_client.Client, self),
            simulated_time.SimulatedClock(self.loop, 1.0),
            lambda: len(self.all),
            random.Random(number),
        )

    def _learned(self, number: int, table: route_table.Table) -> None:
        self.in_force[number] = self.loop.time()
        status = _status(number, table.version)
        for other in self.all:
            self.loop.call_later(0.02, other.on_status, status)

    async def pull_config(
        self, address: cells.Address, request: statuses.ConfigRequest
    ) -> statuses.ConfigReply:
        """Ask a process for a newer configuration."""
        return self.all[address.port].on_pull(request)

    async def run(self, change_after_s: float) -> float:
        """Change after a silence; return the time until all have it."""
        running = [
            asyncio.create_task(one.run(), name="configuration")
            for one in self.all
        ]
        await asyncio.sleep(12.5)
        self.store.fall_silent()
        await asyncio.sleep(change_after_s)
        self.store.change()
        changed_at = self.loop.time()
        await asyncio.sleep(40.0)
        for task in running:
            task.cancel()
        assert {one.version for one in self.all} == {self.store.version}
        return max(self.in_force.values()) - changed_at


def _status(number: int, version: ids.BundleVersion) -> statuses.Status:
    return sample_status.status(
        sender=ids.MemberId(str(number)),
        address=cells.Address("", number),
        table_version=version,
    )


@pytest.fixture
def loop() -> collections.abc.Iterator[simulated_time.SimulatedTimeLoop]:
    found = simulated_time.SimulatedTimeLoop()
    yield found
    found.close()


@pytest.mark.parametrize("size", [1, 2, 16, 73])
@pytest.mark.parametrize("change_after_s", [CONTACT_S, 4.0, 5.5])
def test_change_is_in_force_in_time_after_every_watch_fell_silent(
    loop: simulated_time.SimulatedTimeLoop, size: int, change_after_s: float
) -> None:
    async def play() -> float:
        return await Fleet(loop, size).run(change_after_s)

    assert loop.run_until_complete(play()) <= CONFIG_S


def test_watches_do_not_end_together_and_are_not_too_many(
    loop: simulated_time.SimulatedTimeLoop,
) -> None:
    fleet: list[Fleet] = []

    async def play() -> None:
        fleet.append(Fleet(loop, 200))
        await fleet[0].run(CONTACT_S)

    loop.run_until_complete(play())
    times = [at for at in fleet[0].store.watched_at if at > 1030.0]
    seconds = [int(at) for at in times]
    span_s = times[-1] - times[0]
    assert len(times) / span_s < 20
    assert max(seconds.count(one) for one in set(seconds)) < 40
