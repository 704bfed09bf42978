"""Processes that follow the configuration of a store with faults.

The processes run in simulated time and reach each other without faults.
"""

import asyncio
import collections.abc
import random
import typing

from bronzepaddle import cells, clocks, ids, route_table, store_versions
from bronzepaddle_node import configuration
from bronzepaddle_peers import statuses, stream_client
from bronzepaddle_store import eras, store

from support import sample_status, simulated_time

CALL_TIMEOUT_S: typing.Final = 1.0
"""Timeout of a call to the store, beyond the requested length of a watch."""

ANSWER_S: typing.Final = 0.001
"""Time until a call that needn't wait is answered."""

STATUS_S: typing.Final = 0.02
"""Time from a change of a process until its peers have its status."""


class HangingStore:
    """A store of one object whose watches can hang or be cut off.

    Watches that begin before ``unanswered_until`` hang until they time out;
    while ``ends_watches`` is set, they end at once without a change.
    """

    def __init__(self) -> None:
        self.eras = eras.EraTracker()
        self.era = ids.FIRST_ERA
        self.version = 1
        self.changed = asyncio.Event()
        self.hangs = 0
        self.cuts = 0
        self.unanswered_until = 0.0
        self.ends_watches = False
        self.watch_times: list[float] = []
        self.read_times: list[float] = []

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

    def cut_watches(self, unanswered_s: float) -> None:
        """Cut off all open watches; answer none that begins soon after."""
        self.cuts += 1
        self.unanswered_until = (
            asyncio.get_running_loop().time() + unanswered_s
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def _stored(self) -> store.StoredObject:
        body = str(self.version).encode()
        version = store_versions.StoreVersion(
            self.era, ids.ObjectVersion(self.version)
        )
        return store.StoredObject(version, body)

    async def get(self, name: str) -> store.StoredObject | None:
        """Return the object."""
        self.read_times.append(asyncio.get_running_loop().time())
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
        """Wait for a newer version.

        Raises ``StoreUnavailableError`` if the watch hangs or is cut off.
        """
        loop = asyncio.get_running_loop()
        self.watch_times.append(loop.time())
        if self.ends_watches:
            await asyncio.sleep(ANSWER_S)
            return None
        hangs, cuts = self.hangs, self.cuts
        ends_at = loop.time() + timeout_s
        if loop.time() < self.unanswered_until:
            await asyncio.sleep(timeout_s + CALL_TIMEOUT_S)
            raise store.StoreUnavailableError("timed out")
        while self._stored().version <= newer_than and loop.time() < ends_at:
            try:
                async with asyncio.timeout_at(ends_at):
                    await self.changed.wait()
            except TimeoutError:
                pass
            if cuts != self.cuts:
                raise store.StoreUnavailableError("cut off")
            if hangs != self.hangs:
                await asyncio.sleep(ends_at + CALL_TIMEOUT_S - loop.time())
                raise store.StoreUnavailableError("timed out")
        stored = self._stored()
        return stored if stored.version > newer_than else None


def decode(document: bytes) -> route_table.Table:
    version = ids.BundleVersion(int(document))
    return route_table.Table(version, (), {}, route_table.Limits())


class ProcessStore:
    """The store as one process reaches it, or does not."""

    def __init__(self, shared: store.Store) -> None:
        self.shared = shared
        self.eras = shared.eras
        self.reached = True

    def _check_reached(self) -> None:
        if not self.reached:
            raise store.StoreUnavailableError("not reached")

    async def get(self, name: str) -> store.StoredObject | None:
        """Return the object."""
        self._check_reached()
        return await self.shared.get(name)

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
        """Wait for a newer version, unless the store is not reached."""
        self._check_reached()
        stored = await self.shared.watch(name, newer_than, timeout_s)
        self._check_reached()
        return stored


class Fleet:
    """Processes that start together and send each other their versions.

    They follow ``store``, in simulated time, unless another store and clock
    are given.  Those in ``isolated`` and the others don't reach each other.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        size: int,
        object_store: store.Store | None = None,
        clock: clocks.Clock | None = None,
    ) -> None:
        self.loop = loop
        self.clock = clock or simulated_time.SimulatedClock(loop, 1.0)
        self.store = HangingStore()
        self.stores = [
            ProcessStore(object_store or self.store) for _ in range(size)
        ]
        self.isolated: set[int] = set()
        self.applied_at: dict[int, float] = {}
        self.configurations: list[configuration.Configuration] = [
            self._build(number) for number in range(size)
        ]

    def _build(self, number: int) -> configuration.Configuration:
        return configuration.Configuration(
            "config/main",
            self.stores[number],
            decode,
            (lambda table: self._on_table(number, table),),
            typing.cast(stream_client.Client, self),
            self.clock,
            lambda: len(self.reached_by(number)),
            random.Random(number),
            lambda: self._broadcast(number),
        )

    def reached_by(self, number: int) -> list[configuration.Configuration]:
        """Return the processes that a process reaches, itself included."""
        if number in self.isolated:
            return [self.configurations[number]]
        return [
            process
            for other, process in enumerate(self.configurations)
            if other not in self.isolated
        ]

    def _on_table(self, number: int, table: route_table.Table) -> None:
        """Record when a process applied a table; send its status to all."""
        self.applied_at[number] = self.loop.time()
        self._broadcast(number)

    def _broadcast(self, number: int) -> None:
        """Send the status of a process to all, soon after a change of it."""
        self.loop.call_later(STATUS_S, self._send_status, number)

    def _send_status(self, number: int) -> None:
        sender = self.configurations[number]
        age_s = sender.reported_age_s()
        status = _status(number, sender.version, age_s)
        for receiver in self.reached_by(number):
            receiver.on_status(status)

    def start(self) -> list[asyncio.Task[None]]:
        """Start the tasks of all processes."""
        return [
            asyncio.create_task(work)
            for process in self.configurations
            for work in (process.run(), process.run_checks())
        ]

    async def pull_config(
        self, address: cells.Address, request: statuses.ConfigRequest
    ) -> statuses.ConfigReply:
        """Return a process's reply to a pull request."""
        return self.configurations[address.port].on_pull(request)

    async def run(
        self,
        change_after_s: float,
        disturb: collections.abc.Callable[[HangingStore], None] | None = None,
        running_s: float = 12.5,
    ) -> float:
        """Disturb the store, then change the configuration.

        All open watches hang unless another disturbance is given; it comes
        ``running_s`` after the start.  Returns the time from the change until
        all processes have applied it.
        """
        running = self.start()
        await asyncio.sleep(running_s)
        (disturb or HangingStore.hang_watches)(self.store)
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


def address_of(number: int) -> cells.Address:
    """Return the address at which a process is asked by its peers."""
    return cells.Address("", number)


def _status(
    number: int, version: ids.BundleVersion, age_s: float | None
) -> statuses.Status:
    return sample_status.status(
        sender=ids.MemberId(str(number)),
        address=address_of(number),
        table_version=version,
        config_age_s=age_s,
    )
