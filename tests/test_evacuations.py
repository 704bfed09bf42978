"""Tests that an evacuated zone is known in time, and left with its servers.

The processes of a fleet share one simulated clock.  Most of them don't read
the store; some of its watches may hang, and it may turn some processes away.
"""

import asyncio
import collections.abc
import random
import typing

import pytest
from bronzepaddle import cells, ids, store_versions
from bronzepaddle_backend import server_tracker
from bronzepaddle_node import local_backend, peer_table
from bronzepaddle_node.fleet import evacuations
from bronzepaddle_peers import statuses
from bronzepaddle_store import store
from support import sample_status, simulated_time

WITHIN_S: typing.Final = 5.0
"""Time in which an evacuation must take effect."""

KNOWN_WITHIN_S: typing.Final = WITHIN_S - local_backend.DRAIN_GRACE_S
"""Time in which it must be known: admitted requests are still sent then."""

ANNOUNCE_S: typing.Final = 0.87
STATUS_S: typing.Final = 0.5
CALL_TIMEOUT_S: typing.Final = 1.0
ANSWER_S: typing.Final = 0.001
MAX_CALLS_PER_S: typing.Final = 2.0
MAX_CALLS_PER_WATCHER_PER_S: typing.Final = 5.0
SETTLE_S: typing.Final = 12.0
UNTOLD_S: typing.Final = 0.9
ZONES: typing.Final = ("a", "b", "c", "d")
EVACUATED: typing.Final = ids.ZoneName("b")


class FakeZoneStore:
    """The entries of the store; it turns the processes in ``cut`` away.

    Watches that begin before ``untold_until`` are told nothing, and end with
    the version of that time.  While ``discards_history`` is set, all watches
    end at once, as there may have been a change.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.names: frozenset[str] = frozenset()
        self.changed = asyncio.Event()
        self.hangs = 0
        self.ends = 0
        self.untold_until = 0.0
        self.discards_history = False
        self.cut: set[str] = set()
        self.calls = 0

    def version(self) -> store_versions.StoreVersion:
        """Return the version of the store."""
        return store_versions.StoreVersion(
            ids.FIRST_ERA, ids.ObjectVersion(self.revision)
        )

    def write(self, names: set[str]) -> None:
        """Replace all entries."""
        self.revision += 1
        self.names = frozenset(names)
        self._wake_watches()

    def end_watches(self, untold_s: float) -> None:
        """End all open watches; tell those that begin soon after nothing."""
        self.ends += 1
        self.untold_until = asyncio.get_running_loop().time() + untold_s
        self._wake_watches()

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class Client:
    """The calls of one process to the store."""

    def __init__(self, name: str, zone_store: FakeZoneStore) -> None:
        self.name = name
        self.zone_store = zone_store

    async def _check(self) -> None:
        self.zone_store.calls += 1
        if self.name in self.zone_store.cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise store.StoreUnavailableError("timed out")

    async def list_names(self, folder: str) -> store.FolderNames:
        """Return all names."""
        await self._check()
        return store.FolderNames(
            self.zone_store.version(), self.zone_store.names
        )

    async def watch_folder(
        self, folder: str, since: store_versions.StoreVersion, timeout_s: float
    ) -> store_versions.StoreVersion | None:
        """Wait for a change; hang if all watches hang meanwhile."""
        await self._check()
        loop = asyncio.get_running_loop()
        if self.zone_store.discards_history:
            await asyncio.sleep(ANSWER_S)
            return None
        hangs, ends = self.zone_store.hangs, self.zone_store.ends
        ends_at = loop.time() + timeout_s
        if loop.time() < self.zone_store.untold_until:
            await asyncio.sleep(timeout_s)
            return self.zone_store.version()
        while self.zone_store.version() <= since and loop.time() < ends_at:
            try:
                async with asyncio.timeout_at(ends_at):
                    await self.zone_store.changed.wait()
            except TimeoutError:
                pass
            if ends != self.zone_store.ends:
                return since
            if hangs != self.zone_store.hangs:
                await asyncio.sleep(ends_at + CALL_TIMEOUT_S - loop.time())
                raise store.StoreUnavailableError("timed out")
        return None if self.zone_store.version() > since else since


class Process:
    """One process with its server, which announces itself periodically."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet = fleet
        self.name = ids.MemberId(f"m{number}")
        self.zone = ids.ZoneName(ZONES[number % len(ZONES)])
        self.clock = simulated_time.SimulatedClock(fleet.loop, 1.0)
        self.peer_table = peer_table.PeerTable(self.name, self.zone)
        self.tracker = server_tracker.Tracker(ANNOUNCE_S)
        self.sequence = 0
        self.evacuations = evacuations.Evacuations(
            self.zone,
            Client(self.name, fleet.store),
            self.peer_table,
            self.tracker,
            self.send_status,
            self.send_status,
            WITHIN_S,
            self.clock,
            random.Random(number),
        )

    def send_status(self) -> None:
        """Send a status to all processes."""
        self.sequence += 1
        status = sample_status.status(
            sender=self.name,
            address=cells.Address("127.0.0.1", 1),
            sequence=self.sequence,
            evacuations=self.evacuations.reported(),
            evacuations_age_s=self.evacuations.reported_age_s(),
        )
        for process in self.fleet.processes:
            self.fleet.loop.call_later(0.02, process.receive, status)

    def receive(self, status: statuses.Status) -> None:
        """Process a status."""
        if status.sender == self.name:
            return
        self.peer_table.update(status, self.clock.now())
        self.evacuations.on_status(status)

    def announce(self) -> None:
        """Record an announcement of the server."""
        self.sequence += 1
        self.tracker.record(
            server_tracker.Announcement(
                "i-1",
                ids.ServiceName("shop"),
                "127.0.0.1",
                1,
                3,
                server_tracker.AnnouncedState.READY,
                self.sequence,
                1,
                0.0,
            ),
            self.clock.now(),
        )

    async def run(self) -> None:
        """Send statuses and announcements until cancelled."""
        await asyncio.sleep(random.Random(self.name).random() * STATUS_S)
        following = [
            asyncio.create_task(work)
            for work in (
                self.evacuations.run(),
                self.evacuations.run_checks(),
            )
        ]
        next_announcement = 0.0
        try:
            while True:
                self.send_status()
                if self.clock.now() >= next_announcement:
                    self.announce()
                    next_announcement = self.clock.now() + ANNOUNCE_S
                await asyncio.sleep(STATUS_S)
        finally:
            for task in following:
                task.cancel()


class Fleet:
    """Processes in four zones."""

    def __init__(
        self, loop: simulated_time.SimulatedTimeLoop, size: int
    ) -> None:
        self.loop = loop
        self.store = FakeZoneStore()
        self.processes = [Process(self, number) for number in range(size)]

    def in_zone(self) -> list[Process]:
        """Return the processes in the zone to evacuate."""
        return [
            process for process in self.processes if process.zone == EVACUATED
        ]

    def all_left(self) -> bool:
        """Return whether no server of the zone gets requests."""
        now = self.loop.time()
        return not any(
            process.tracker.ready(now) for process in self.in_zone()
        )

    async def time_until(
        self, condition: collections.abc.Callable[[], bool]
    ) -> float:
        """Return the seconds until a condition holds."""
        started_at = self.loop.time()
        while not condition():
            assert self.loop.time() < started_at + 60.0
            await asyncio.sleep(0.05)
        return self.loop.time() - started_at


Scenario: typing.TypeAlias = collections.abc.Callable[
    [Fleet], collections.abc.Awaitable[None]
]


def run(scenario: Scenario, size: int) -> None:
    """Run a scenario in a fleet that has settled."""
    loop = simulated_time.SimulatedTimeLoop()

    async def run_fleet() -> None:
        fleet = Fleet(loop, size)
        running = [
            asyncio.create_task(process.run()) for process in fleet.processes
        ]
        await asyncio.sleep(SETTLE_S)
        try:
            await scenario(fleet)
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    try:
        loop.run_until_complete(run_fleet())
    finally:
        loop.close()


SIZES: typing.Final = (4, 20, 40)


@pytest.mark.parametrize("size", SIZES)
def test_servers_of_an_evacuated_zone_get_nothing(size: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.store.write({EVACUATED})
        assert await fleet.time_until(fleet.all_left) < KNOWN_WITHIN_S
        others = set(fleet.processes) - set(fleet.in_zone())
        assert all(
            process.tracker.ready(fleet.loop.time()) for process in others
        )

    run(scenario, size)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("phase_s", [0.0, 0.7, 1.9])
@pytest.mark.parametrize("after_s", [0.05, 3.0])
def test_change_is_known_in_time_after_all_watches_hang(
    size: int, phase_s: float, after_s: float
) -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(phase_s)
        fleet.store.hangs += 1
        await asyncio.sleep(after_s)
        fleet.store.write({EVACUATED})
        assert await fleet.time_until(fleet.all_left) < KNOWN_WITHIN_S

    run(scenario, size)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("after_s", [0.1, 0.8, 2.0])
def test_change_that_no_watch_tells_is_known_in_time(
    size: int, after_s: float
) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.store.end_watches(UNTOLD_S)
        await asyncio.sleep(after_s)
        fleet.store.write({EVACUATED})
        assert await fleet.time_until(fleet.all_left) < KNOWN_WITHIN_S

    run(scenario, size)


@pytest.mark.parametrize("seed", range(1, 4))
def test_change_is_known_where_the_store_turns_a_third_away(seed: int) -> None:
    """Processes that can't reach the store learn it from those that can."""

    async def scenario(fleet: Fleet) -> None:
        rng = random.Random(seed)
        names = [process.name for process in fleet.processes]
        fleet.store.cut = set(rng.sample(names, len(names) // 3))
        await asyncio.sleep(3.0)
        fleet.store.write({EVACUATED})
        assert await fleet.time_until(fleet.all_left) < KNOWN_WITHIN_S

    run(scenario, 40)


def test_few_processes_call_the_store() -> None:
    async def scenario(fleet: Fleet) -> None:
        calls = fleet.store.calls
        await asyncio.sleep(60.0)
        assert fleet.store.calls - calls <= MAX_CALLS_PER_S * 60.0

    run(scenario, 40)


def test_watches_that_end_at_once_are_not_repeated_without_a_pause() -> None:
    """Guards against a call budget that such watches use up."""

    async def scenario(fleet: Fleet) -> None:
        fleet.store.discards_history = True
        calls = fleet.store.calls
        await asyncio.sleep(10.0)
        per_s = (fleet.store.calls - calls) / 10.0
        assert per_s <= MAX_CALLS_PER_WATCHER_PER_S * evacuations.WATCHERS

    run(scenario, 20)


def test_zone_is_taken_back_with_the_next_announcement() -> None:
    """Guards against load for a server that became cold in the evacuation.

    Only an announcement made after its end says whether the server is cold.
    """

    async def scenario(fleet: Fleet) -> None:
        fleet.store.write({EVACUATED})
        await fleet.time_until(fleet.all_left)
        process = fleet.in_zone()[0]
        known = process.evacuations.known
        assert known is not None
        taken_back = statuses.Evacuations(known.era, known.revision + 1, ())
        process.evacuations.on_status(
            sample_status.status(evacuations=taken_back)
        )
        assert not process.tracker.ready(fleet.loop.time())
        process.announce()
        assert process.tracker.ready(fleet.loop.time())

    run(scenario, 4)


def test_outdated_report_does_not_end_an_evacuation() -> None:
    async def scenario(fleet: Fleet) -> None:
        process = fleet.in_zone()[0]
        outdated = process.evacuations.known
        fleet.store.write({EVACUATED})
        await fleet.time_until(fleet.all_left)
        process.evacuations.on_status(
            sample_status.status(evacuations=outdated)
        )
        process.announce()
        assert not process.tracker.ready(fleet.loop.time())

    run(scenario, 4)


def test_evacuation_of_an_earlier_era_is_over() -> None:
    """A store that came back from a copy may give its revisions out again."""

    async def scenario(fleet: Fleet) -> None:
        fleet.store.write({EVACUATED})
        await fleet.time_until(fleet.all_left)
        process = fleet.in_zone()[0]
        known = process.evacuations.known
        assert known is not None
        later_era = statuses.Evacuations(known.era + 1, known.revision - 1, ())
        process.evacuations.on_status(
            sample_status.status(evacuations=later_era)
        )
        process.announce()
        assert process.tracker.ready(fleet.loop.time())

    run(scenario, 4)


def test_evacuated_server_drains_from_the_first_moment() -> None:
    """A later announcement that it drains does not begin the drain anew."""
    tracker = server_tracker.Tracker(ANNOUNCE_S)
    tracker.evacuate(1.0)
    tracker.evacuate(2.0)
    assert tracker.draining_since() == 1.0
