"""Tests that crashes during a request are known after restarts."""

import asyncio
import collections.abc
import random
import typing

import msgspec
import pytest
from bronzepaddle import ids, store_versions, suspects, verdicts
from bronzepaddle_node import crash_detector
from bronzepaddle_node.fleet import crash_records
from bronzepaddle_store import store
from support import simulated_time

SHOP: typing.Final = ids.ServiceName("shop")
CRASHER: typing.Final = "/crash"
SETTLE_S: typing.Final = 0.5
SEEDS: typing.Final = range(1, 31)
PROCESSES: typing.Final = 3

MAX_RETRIES: typing.Final = 3
"""Times that a request may reach servers later than ``GRACE_S`` after it has
crashed the third."""

GRACE_S: typing.Final = 3.0
SENT_EVERY_S: typing.Final = 4.6
LENGTH_S: typing.Final = 56.0


class FakeStore:
    """A store with one object; it can be away."""

    def __init__(self) -> None:
        self.stored: store.StoredObject | None = None
        self.away = False
        self.reads = 0
        self.writes = 0

    async def get(self, _name: str) -> store.StoredObject | None:
        await asyncio.sleep(0.004)
        if self.away:
            raise store.StoreUnavailableError("away")
        self.reads += 1
        return self.stored

    async def put(
        self, _name: str, body: bytes, replaces: store_versions.StoreVersion
    ) -> store_versions.StoreVersion:
        await asyncio.sleep(0.004)
        if self.away:
            raise store.StoreUnavailableError("away")
        current = (
            store_versions.NO_VERSION
            if self.stored is None
            else self.stored.version
        )
        if replaces != current:
            raise store.ConflictError("another version")
        self.writes += 1
        version = store_versions.of_first_era(ids.ObjectVersion(self.writes))
        self.stored = store.StoredObject(version, body)
        return version

    def content(self) -> tuple[crash_records.StoredCrash, ...]:
        """Return the records in the store."""
        if self.stored is None:
            return ()
        return msgspec.json.decode(
            self.stored.body, type=crash_records.StoredCrashes
        ).crashes


class Process:
    """One run of a process, with its detector."""

    def __init__(
        self, loop: simulated_time.SimulatedTimeLoop, fake: FakeStore
    ) -> None:
        self.clock = simulated_time.SimulatedClock(loop, 1.0)
        self.detector = crash_detector.CrashDetector(self.clock, lambda: None)
        self.records = crash_records.CrashRecords(
            self.detector, typing.cast(store.Store, fake), self.clock
        )
        self.task = asyncio.create_task(self.records.run())

    def crash(self, target: str = CRASHER) -> None:
        """Crash the server while a request is in flight."""
        self.detector.on_new_run()
        self.detector.record_outcome(
            fingerprint(target), verdicts.Reason.BACKEND_LOST
        )
        self.detector.on_run_crashed()

    def rejects(self, target: str = CRASHER) -> bool:
        """Return whether a request is rejected."""
        return self.detector.rejects(SHOP, "GET", target, b"")

    def stop(self) -> None:
        """End as if it was killed."""
        self.task.cancel()


def fingerprint(target: str) -> suspects.Fingerprint:
    return suspects.fingerprint(SHOP, "GET", target, b"")


def play(
    scenario: collections.abc.Callable[
        [simulated_time.SimulatedTimeLoop], collections.abc.Awaitable[None]
    ],
) -> None:
    """Play a scenario in simulated time."""
    loop = simulated_time.SimulatedTimeLoop()
    asyncio.set_event_loop(loop)

    async def run() -> None:
        await scenario(loop)

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
        asyncio.set_event_loop(None)


@pytest.mark.parametrize("killed_after", (1, 2))
def test_crashes_are_counted_on_after_all_processes_ended(
    killed_after: int,
) -> None:
    """Guards against a request that crashes two servers after each restart."""

    async def scenario(loop: simulated_time.SimulatedTimeLoop) -> None:
        fake = FakeStore()
        process = Process(loop, fake)
        for crashes in range(1, 3):
            process.crash()
            await asyncio.sleep(SETTLE_S)
            if crashes == killed_after:
                process.stop()
                process = Process(loop, fake)
                await asyncio.sleep(SETTLE_S)
        assert process.rejects()
        process.stop()

    play(scenario)


def test_new_process_is_told_of_all_suspects() -> None:
    """Guards against a restart while the store is away."""

    async def scenario(loop: simulated_time.SimulatedTimeLoop) -> None:
        fake = FakeStore()
        fake.away = True
        one, other = Process(loop, fake), Process(loop, fake)
        one.crash()
        one.crash()
        await asyncio.sleep(2 * crash_detector.REPORT_S)
        assert not one.detector.recent_changes()
        one.detector.report_all()
        status = typing.cast(typing.Any, one)
        status.suspects = one.detector.recent_changes()
        other.detector.on_status(status)
        assert other.rejects()
        one.stop()
        other.stop()

    play(scenario)


def test_store_that_is_away_is_written_later() -> None:
    """Guards against a start that waits for the store, and a lost write."""

    async def scenario(loop: simulated_time.SimulatedTimeLoop) -> None:
        fake = FakeStore()
        fake.away = True
        process = Process(loop, fake)
        process.crash()
        await asyncio.sleep(10.0)
        fake.away = False
        await asyncio.sleep(10.0)
        assert [record.crashes for record in fake.content()] == [1]
        process.stop()

    play(scenario)


def test_served_requests_are_taken_out_and_calm_costs_one_read() -> None:
    """Guards against bystanders that stay suspected, and calls in calm."""

    async def scenario(loop: simulated_time.SimulatedTimeLoop) -> None:
        fake = FakeStore()
        process = Process(loop, fake)
        await asyncio.sleep(100.0)
        assert (fake.reads, fake.writes) == (1, 0)
        process.crash()
        await asyncio.sleep(SETTLE_S)
        process.detector.on_new_run()
        process.detector.record_outcome(
            fingerprint(CRASHER), verdicts.Reason.SERVED
        )
        await asyncio.sleep(100.0)
        assert not fake.content()
        assert fake.writes == 2
        process.stop()

    play(scenario)


def test_stored_records_are_bounded_and_expire() -> None:
    """Guards against an object that grows without end."""

    async def scenario(loop: simulated_time.SimulatedTimeLoop) -> None:
        fake = FakeStore()
        process = Process(loop, fake)
        for number in range(2 * crash_records.MAX_RECORDS):
            process.crash(f"/{number}")
        process.crash()
        process.crash()
        await asyncio.sleep(SETTLE_S)
        assert len(fake.content()) == crash_records.MAX_RECORDS
        assert fake.content()[0].crashes == 2
        await asyncio.sleep(suspects.EXPIRY_S + 1.0)
        process.crash("/new")
        await asyncio.sleep(SETTLE_S)
        assert len(fake.content()) == 1
        process.stop()

    play(scenario)


async def retries_after_the_third_crash(
    loop: simulated_time.SimulatedTimeLoop, seed: int, reads: bool
) -> int:
    """Return how often a request reaches servers long after its third crash.

    All processes are killed at random moments; each time that one of them
    doesn't reject the request, its server crashes.
    """
    rng = random.Random(seed)
    fake = FakeStore()
    kills = sorted(rng.uniform(0.0, LENGTH_S) for _ in range(4))
    processes: list[Process] = []
    reached: list[float] = []
    started_at = loop.time()
    number = 0
    while (now := loop.time() - started_at) < LENGTH_S:
        if not processes or (kills and now >= kills[0]):
            kills = [at for at in kills if at > now]
            for process in processes:
                process.stop()
            await asyncio.sleep(0.5)
            fake = fake if reads else FakeStore()
            processes = [Process(loop, fake) for _ in range(PROCESSES)]
            await asyncio.sleep(GRACE_S)
        process = processes[number % PROCESSES]
        number += 1
        if not process.rejects():
            reached.append(loop.time() - started_at)
            process.crash()
            status = typing.cast(typing.Any, process)
            status.suspects = process.detector.recent_changes()
            for other in processes:
                other.detector.on_status(status)
        await asyncio.sleep(rng.uniform(0.5, SENT_EVERY_S))
    for process in processes:
        process.stop()
    return sum(at > reached[2] + GRACE_S for at in reached[3:])


def count_retries(seed: int, reads: bool = True) -> int:
    """Play a seed; return the retries after the third crash."""
    counts: list[int] = []

    async def scenario(loop: simulated_time.SimulatedTimeLoop) -> None:
        counts.append(await retries_after_the_third_crash(loop, seed, reads))

    play(scenario)
    return counts[0]


@pytest.mark.parametrize("seed", SEEDS)
def test_random_kills_make_no_further_crashes(seed: int) -> None:
    assert count_retries(seed) <= MAX_RETRIES


def test_random_kills_catch_a_broken_build() -> None:
    """A build that forgets crashes at a restart makes too many."""
    assert any(count_retries(seed, False) > MAX_RETRIES for seed in SEEDS)
