"""Tests that a server that has left is not used again.

Its leaving was acknowledged, perhaps by a process that has been killed since,
and what it reported before may arrive late.
"""

import asyncio
import dataclasses
import random
import typing

import pytest
from bronzepaddle import ids
from bronzepaddle_backend import connections, server_tracker
from bronzepaddle_node.fleet import health_checks
from support import simulated_time

INTERVAL_S: typing.Final = 0.87
REPORT_DELAYS_S: typing.Final = (0.0, 0.0, 0.3, 1.5, 6.0)
PAUSES_S: typing.Final = (0.05, 0.3, 0.9, 2.0, 4.0)
CHECK_S: typing.Final = 0.02
EVENTS: typing.Final = 30
SEEDS: typing.Final = range(1, 41)

ACTIONS: typing.Final = (
    "drain",
    "leave",
    "leave",
    "kill",
    "kill",
    "start",
    "start",
    "restart-server",
    "restart-server-same-id",
    "busy",
    "idle",
)


@dataclasses.dataclass
class Server:
    """One run of a server; ``left`` is set once that was acknowledged."""

    server_id: str
    started_ms: int
    sequence: int = 0
    state: server_tracker.AnnouncedState = server_tracker.AnnouncedState.READY
    leaving: bool = False
    left: bool = False
    up: bool = True
    busy: bool = False

    def announcement(self) -> server_tracker.Announcement:
        """Return the next announcement."""
        self.sequence += 1
        return server_tracker.Announcement(
            self.server_id,
            ids.ServiceName("shop"),
            "127.0.0.1",
            1,
            9,
            self.state,
            self.sequence,
            self.started_ms,
            0.0,
        )

    def check(self) -> connections.HealthAnswer:
        """Answer a health check; a busy server rejects it."""
        if self.busy or not self.up:
            raise connections.NotConnectedError("rejected")
        is_ready = self.state is server_tracker.AnnouncedState.READY
        return connections.HealthAnswer(
            200 if is_ready and not self.leaving else 503, self.server_id
        )


class Checks(health_checks.HealthChecks):
    """Health checks without threads."""

    async def call(
        self, check: health_checks.Check
    ) -> connections.HealthAnswer:
        """Make a check."""
        await asyncio.sleep(0.005)
        return check()


class Process:
    """What one run of a process believes of the server."""

    def __init__(self, rig: "Rig", asks_health: bool) -> None:
        self.clock = simulated_time.SimulatedClock(rig.loop, 1.0)
        self.tracker = server_tracker.Tracker(INTERVAL_S, asks_health)
        self.checks = Checks(
            self.tracker, lambda: rig.server.check, lambda: None, self.clock
        )
        self.task = asyncio.create_task(self.checks.run())

    def report(self, announcement: server_tracker.Announcement) -> None:
        """Process an announcement."""
        if self.tracker.record(announcement, self.clock.now()):
            self.checks.announced.set()

    def stop(self) -> None:
        """End as if it was killed."""
        self.task.cancel()
        self.checks.close()


class Rig:
    """A server, the process beside it, and the events that befall them."""

    def __init__(
        self,
        loop: simulated_time.SimulatedTimeLoop,
        seed: int,
        asks_health: bool,
    ) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.asks_health = asks_health
        self.starts = 1
        self.server = Server("i-1", 1)
        self.process: Process | None = Process(self, asks_health)
        self.used_after_leaving: list[str] = []
        self.ready_again = 0

    def send_report(self) -> None:
        """Send a report, which may be late; the process acknowledges it."""
        server = self.server
        if server.leaving or not server.up:
            return
        announcement = server.announcement()
        delay_s = self.rng.choice(REPORT_DELAYS_S)
        self.loop.call_later(delay_s, self._receive, server, announcement)

    def _receive(
        self, server: Server, announcement: server_tracker.Announcement
    ) -> None:
        if self.process is None:
            return
        self.process.report(announcement)
        if announcement.state is server_tracker.AnnouncedState.DRAINING:
            server.left = True

    def leave(self) -> None:
        """Leave without draining first."""
        self.server.leaving = True
        if self.process is not None:
            tracker = self.process.tracker
            tracker.record_leaving(
                self.server.server_id, self.process.clock.now()
            )
            self.server.left = True

    def restart_server(self, same_id: bool) -> None:
        """Start another run of the server."""
        self.starts += 1
        self.server.up = False
        server_id = self.server.server_id if same_id else f"i-{self.starts}"
        self.server = Server(server_id, self.starts)

    def apply(self, action: str) -> None:
        """Apply an event."""
        match action:
            case "drain":
                self.server.state = server_tracker.AnnouncedState.DRAINING
                self.send_report()
            case "leave":
                self.leave()
            case "kill" if self.process is not None:
                self.process.stop()
                self.process = None
            case "start" if self.process is None:
                self.process = Process(self, self.asks_health)
            case "restart-server" | "restart-server-same-id":
                self.restart_server(same_id=action.endswith("same-id"))
            case "busy" | "idle":
                self.server.busy = action == "busy"

    def check(self) -> None:
        """Record a use of the server after its leaving, and any use."""
        process, server = self.process, self.server
        if process is None or not process.tracker.ready(process.clock.now()):
            return
        latest = process.tracker.latest
        assert latest is not None
        if latest.announcement.started_ms != server.started_ms:
            return
        self.ready_again += 1
        if server.left:
            self.used_after_leaving.append(latest.announcement.run)

    async def play(self) -> None:
        """Play random events."""
        for _ in range(EVENTS):
            ends_at = self.loop.time() + self.rng.choice(PAUSES_S)
            while self.loop.time() < ends_at:
                await asyncio.sleep(CHECK_S)
                self.check()
                if self.rng.random() < CHECK_S / INTERVAL_S:
                    self.send_report()
            self.apply(self.rng.choice(ACTIONS))
        if self.process is not None:
            self.process.stop()


def play(seed: int, asks_health: bool = True) -> Rig:
    """Play the events of a seed in simulated time."""
    loop = simulated_time.SimulatedTimeLoop()
    asyncio.set_event_loop(loop)
    try:

        async def run() -> Rig:
            rig = Rig(loop, seed, asks_health)
            await rig.play()
            return rig

        return loop.run_until_complete(run())
    finally:
        loop.close()
        asyncio.set_event_loop(None)


@pytest.mark.parametrize("seed", SEEDS)
def test_server_that_has_left_is_not_used_by_a_new_process(seed: int) -> None:
    """Guards against a leaving that only a killed process knows of."""
    rig = play(seed)
    assert not rig.used_after_leaving


def test_random_events_use_servers_and_catch_a_broken_build() -> None:
    """A build that believes the first report uses servers that have left."""
    assert sum(play(seed).ready_again > 0 for seed in SEEDS) > len(SEEDS) / 2
    broken = [play(seed, asks_health=False) for seed in SEEDS]
    assert any(rig.used_after_leaving for rig in broken)


def server_announcement(
    server_id: str, started_ms: int, sequence: int = 1
) -> server_tracker.Announcement:
    server = Server(server_id, started_ms, sequence - 1)
    return server.announcement()


def test_leaving_of_an_earlier_run_is_remembered() -> None:
    """Guards against a late report of it while the next run is silent."""
    tracker = server_tracker.Tracker(INTERVAL_S)
    tracker.record(server_announcement("i-1", 1), 0.0)
    tracker.record_leaving("i-1", 0.1)
    tracker.record(server_announcement("i-2", 2), 0.2)
    assert not tracker.record(server_announcement("i-1", 1, 9), 60.0)


def test_leaving_is_remembered_beside_another_run() -> None:
    """Guards against a leaving that precedes the first report of its run."""
    tracker = server_tracker.Tracker(INTERVAL_S)
    tracker.record(server_announcement("i-1", 1), 0.0)
    tracker.record_leaving("i-2", 0.1)
    tracker.record(server_announcement("i-1", 1, 2), 0.2)
    assert tracker.ready(0.3)
    tracker.record(server_announcement("i-2", 2), 0.4)
    assert not tracker.ready(0.5)


def test_number_of_remembered_runs_is_bounded() -> None:
    tracker = server_tracker.Tracker(INTERVAL_S)
    for number in range(10 * server_tracker.MAX_EARLIER_RUNS):
        tracker.record(server_announcement(f"i-{number}", number), 0.0)
        tracker.record_leaving(f"j-{number}", 0.0)
    most = server_tracker.MAX_EARLIER_RUNS
    assert len(tracker.earlier_runs) == len(tracker.leaving_ids) == most


def test_unhealthy_server_is_used_once_it_is_healthy() -> None:
    tracker = server_tracker.Tracker(INTERVAL_S, asks_health=True)
    tracker.record(server_announcement("i-1", 1), 0.0)
    assert not tracker.ready(0.1)
    assert tracker.record_health("i-1@1", False, 0.1)
    assert not tracker.ready(0.2)
    assert tracker.run_to_check() is not None
    assert tracker.record_health("i-1@1", True, 0.3)
    assert tracker.ready(0.4)
    assert tracker.run_to_check() is None
    assert not tracker.record_health("i-0@1", False, 0.5)
