"""Processes that follow the configuration of a store with faults.

The processes run in simulated time and reach each other without faults.
"""

import asyncio
import random
import typing

from bronzepaddle import cells, ids, route_table, store_versions
from bronzepaddle_node import configuration
from bronzepaddle_peers import statuses, stream_client
from bronzepaddle_store import eras, store

from support import sample_status, simulated_time

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
