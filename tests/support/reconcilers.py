"""Members that keep keys by the store's leases, around fakes of the outside.

The keepers are the product's own; the store, the statuses between members
and the backend servers are fake.  At each grant that a server takes,
``check`` looks at what must always hold: no two servers that are up hold one
key at a time, and a key's tokens only grow from server to server.
"""

import asyncio
import collections.abc
import contextlib
import itertools
import random
import typing

import msgspec
from bronzepaddle import cells, ids, key_ranges, route_table, store_leases
from bronzepaddle_backend import key_grants, server_tracker
from bronzepaddle_node import held_keys, peer_table, reconciler, tasks
from bronzepaddle_peers import statuses, stream_client

from support import fake_servers, simulated_cell, simulated_time

MEMBERS: typing.Final = ("a", "b", "c", "d")
SERVICE: typing.Final = ids.ServiceName("lots")
STATUS_S: typing.Final = 0.5
ANNOUNCE_S: typing.Final = 0.87
MOST_HOLD_S: typing.Final = 10.0
MEMBER_RATES: typing.Final = (0.995, 1.0, 1.005)
PAUSES_S: typing.Final = (0.05, 0.4, 1.0, 1.7, 2.0, 2.3, 3.3, 4.0)
SETTLE_S: typing.Final = 60.0

TABLE: typing.Final = route_table.Table(
    ids.BundleVersion(1),
    (),
    {SERVICE: route_table.ServiceRules(SERVICE, True, 100, "/health")},
    route_table.Limits(),
)


class Process:
    """One run of a member's process."""

    def __init__(
        self, around: "SimulatedReconcilers", name: str, started_ms: int
    ) -> None:
        self.around = around
        self.name = ids.MemberId(name)
        self.time = simulated_time.SimulatedClock(
            around.loop, around.rng.choice(MEMBER_RATES)
        )
        self.started_ms = started_ms
        self.sequence = 0
        self.told = 0
        self.tracker = server_tracker.Tracker(ANNOUNCE_S)
        self.held = held_keys.HeldKeys()
        self.peer_table = peer_table.PeerTable(self.name, ids.ZoneName("zone"))
        self.tasks = tasks.Tasks()
        self.reconciler = reconciler.OwnershipReconciler(
            reconciler.Settings(
                self.name,
                ids.Incarnation(str(started_ms)),
                SERVICE,
                store_leases.StoreLeaseTimes(),
                MOST_HOLD_S,
                first_start=around.loop.time() < 1002.0,
            ),
            simulated_cell.FakeStore(around.objects, name, self.time),
            self.tracker,
            self.held,
            self.peer_table,
            self._orders,
            lambda: None,
            self.tell_now,
            self._pull,
            self.time,
        )
        self.tasks.start(self.reconciler.run(lambda: TABLE), "keys")
        self.tasks.start(self._announce(), "announcements")
        self.tasks.start(self._tell(), "statuses")

    @property
    def server(self) -> fake_servers.FakeServer:
        """Return the server beside this process."""
        return self.around.servers[self.name]

    def _orders(self) -> key_grants.KeyGrantCommands | None:
        server = self.server
        return (
            fake_servers.FakeOrders(server)
            if server.run == self.held.run
            else None
        )

    async def _pull(
        self, address: cells.Address, request: statuses.OwnershipRequest
    ) -> statuses.OwnershipReply:
        """Ask another member for a newer ownership, if it is reached."""
        delay_s = self.around.delays_s.get(self.name, 0.002)
        await asyncio.sleep(min(2 * delay_s, stream_client.PULL_TIMEOUT_S))
        if 2 * delay_s >= stream_client.PULL_TIMEOUT_S:
            raise TimeoutError
        other = self.around.processes.get(address.host)
        apart = frozenset((self.name, address.host)) in self.around.cut
        if other is None or apart or not other.time.running.is_set():
            raise TimeoutError
        return other.reconciler.on_pull(request)

    async def _announce(self) -> None:
        while True:
            server = self.server
            if server.up:
                self.hear_server(server)
            await self.time.sleep(ANNOUNCE_S)

    def hear_server(self, server: fake_servers.FakeServer) -> None:
        """Take an announcement of the server in."""
        self.sequence += 1
        server_id, _, started_ms = server.run.partition("@")
        said = server_tracker.Announcement(
            server_id,
            SERVICE,
            "127.0.0.1",
            1,
            9,
            server_tracker.AnnouncedState.DRAINING
            if server.draining
            else server_tracker.AnnouncedState.READY,
            self.sequence,
            int(started_ms),
            0.0,
        )
        self.tracker.record(said, self.time.now())
        self.held.set_run(said.run)

    async def _tell(self) -> None:
        while True:
            self.tell_now()
            await self.time.sleep(STATUS_S)

    def tell_now(self) -> None:
        """Send a status to the other members."""
        self.told += 1
        self.reconciler.record_status_sent(self.told)
        self.around.deliver(self._status(self.told))

    def _status(self, sequence: int) -> statuses.Status:
        now = self.time.now()
        state = statuses.ServerState.ABSENT
        if self.tracker.ready(now):
            state = statuses.ServerState.READY
        elif self.tracker.present(now):
            state = statuses.ServerState.DRAINING
        return statuses.Status(
            sender=self.name,
            incarnation=ids.Incarnation(str(self.started_ms)),
            started_ms=self.started_ms,
            sequence=sequence,
            address=cells.Address(self.name, 1),
            zone=ids.ZoneName("zone"),
            leaving=False,
            service=SERVICE,
            run=self.held.run,
            state=state,
            slots=9,
            outstanding=0,
            service_s=0.0,
            warmup_left_s=0.0,
            table_version=ids.BundleVersion(1),
            ownership_version=self.reconciler.version,
            held=self.held.status_ranges(now),
            read=self.reconciler.last_read,
            affected_members=self.reconciler.affected_members(),
        )

    def hear_status(self, status: statuses.Status) -> None:
        """Take a peer's status in, unless frozen."""
        if not self.time.running.is_set():
            return
        self.peer_table.update(status, self.time.now())
        self.reconciler.on_status(status)

    async def end(self) -> None:
        """End as when the process is killed."""
        await self.tasks.stop()
        await self.reconciler.stop()


class SimulatedReconcilers:
    """The members, their servers and what lies between them."""

    def __init__(
        self, loop: simulated_time.SimulatedTimeLoop, seed: int
    ) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.objects = simulated_cell.FakeObjects()
        self.servers: dict[str, fake_servers.FakeServer] = {}
        self.processes: dict[str, Process] = {}
        self.muted: set[str] = set()
        self.delays_s: dict[str, float] = {}
        self.cut: set[frozenset[str]] = set()
        self.orders_late = False
        self.late_share = 0.5
        self.late_s = (0.5, 6.0)
        self.violations: list[str] = []
        self.births = 1000

    def start_server(self, name: str) -> None:
        """Start a new run of a server; an earlier one has ended."""
        self.births += 1
        if name in self.servers:
            self.servers[name].up = False
        self.servers[name] = fake_servers.FakeServer(
            self, name, f"i-{name}@{self.births}"
        )

    def start(self, name: str) -> None:
        """Start a process."""
        self.births += 1
        self.processes[name] = Process(self, name, self.births)

    async def kill(self, name: str) -> None:
        """Kill a process; its server lives on."""
        process = self.processes.pop(name, None)
        if process is not None:
            await process.end()

    def deliver(self, status: statuses.Status) -> None:
        """Bring a status to every member that it reaches."""
        for name, process in list(self.processes.items()):
            if frozenset((name, str(status.sender))) in self.cut:
                continue
            if str(status.sender) in self.muted:
                continue
            delay_s = self.delays_s.get(name, 0.002)
            self.loop.call_later(delay_s, process.hear_status, status)

    def check(self) -> None:
        """Note a violation if two servers hold one key.

        Noted, not raised: a keeper logs errors of its steps and goes on.
        """
        now = self.loop.time()
        held = sorted(
            (one.first, one.last, name, one.token)
            for name, server in self.servers.items()
            for one in server.holding(now)
        )
        for before, after in itertools.pairwise(held):
            if after[0] <= before[1] and after[2] != before[2]:
                self.violations.append(f"{before} and {after} at {now}")

    def covered(self) -> bool:
        """Tell whether every key is held and may be used."""
        now = self.loop.time()
        held = sorted(
            (one.first, one.last)
            for name, process in self.processes.items()
            for one in process.held.ranges
            if process.time.now() < one.until
            and self.servers[name].holding(now)
        )
        reached = -1
        for first, last in held:
            if first > reached + 1:
                return False
            reached = max(reached, last)
        return reached == key_ranges.LAST_KEY

    async def until_covered(self, timeout_s: float) -> float:
        """Return how long it took until every key was held."""
        began = self.loop.time()
        while not self.covered():
            if self.loop.time() - began > timeout_s:
                raise simulated_cell.Violation("keys are held by nobody")
            await asyncio.sleep(0.05)
        return self.loop.time() - began


_WHATS: typing.Final = (
    "kill",
    "start",
    "start",
    "lose",
    "server-restart",
    "server-lost",
    "drain",
    "all-restart",
    "freeze",
    "resume",
    "resume",
    "offline",
    "isolate",
    "heal",
    "heal",
    "store-down",
    "store-late",
    "store-lossy",
    "store-well",
    "orders-late",
    "orders-well",
)


async def happen(around: SimulatedReconcilers, what: str, who: str) -> None:
    """Let one event happen, if it can."""
    server = around.servers[who]
    match what:
        case "kill":
            await around.kill(who)
        case "start" if who not in around.processes:
            around.start(who)
        case "lose":
            await around.kill(who)
            server.up = False
        case "server-restart":
            around.start_server(who)
        case "server-lost":
            server.up = False
        case "drain":
            server.draining = True
            if who in around.processes:
                around.processes[who].hear_server(server)
        case "all-restart":
            for name in MEMBERS:
                await around.kill(name)
            for name in MEMBERS:
                around.start(name)
        case "freeze" if who in around.processes:
            around.processes[who].time.running.clear()
        case "resume":
            resume(around)
        case "offline":
            around.objects.cut_off.add(who)
        case "isolate":
            around.cut |= {frozenset((who, name)) for name in MEMBERS}
        case "heal":
            around.cut.clear()
            around.objects.cut_off.clear()
        case "store-down":
            around.objects.faults = simulated_cell.StoreFaults(down=True)
        case "store-late":
            around.objects.faults = simulated_cell.StoreFaults(late_s=1.5)
        case "store-lossy":
            around.objects.faults = simulated_cell.StoreFaults(
                lose_answers=True
            )
        case "store-well":
            around.objects.faults = simulated_cell.StoreFaults()
        case "orders-late":
            around.orders_late = True
        case "orders-well":
            around.orders_late = False


def resume(around: SimulatedReconcilers) -> None:
    """Let every frozen process go on."""
    for process in around.processes.values():
        process.time.running.set()


def recover(around: SimulatedReconcilers) -> None:
    """Make everything well again."""
    around.cut.clear()
    around.objects.cut_off.clear()
    around.objects.faults = simulated_cell.StoreFaults()
    around.orders_late = False
    resume(around)
    for name in MEMBERS:
        server = around.servers[name]
        if not server.up or server.draining:
            around.start_server(name)
        if name not in around.processes:
            around.start(name)


Scenario: typing.TypeAlias = collections.abc.Callable[
    [SimulatedReconcilers], collections.abc.Awaitable[None]
]


async def begin(around: SimulatedReconcilers) -> None:
    """Start every member and wait until every key is held."""
    for name in MEMBERS:
        around.start_server(name)
        around.start(name)
    await around.until_covered(SETTLE_S)


def schedule(rng: random.Random, length: int) -> Scenario:
    """Return the story of random events, then of the recovery."""
    events = [
        (rng.choice(PAUSES_S), rng.choice(_WHATS), rng.choice(MEMBERS))
        for _ in range(length)
    ]

    async def play(around: SimulatedReconcilers) -> None:
        await begin(around)
        for pause_s, what, who in events:
            await asyncio.sleep(pause_s)
            await happen(around, what, who)
        recover(around)
        await around.until_covered(SETTLE_S)

    return play


def run_scenario(story: Scenario, seed: int) -> None:
    """Play a story under turned time; raises ``world.Violation``."""
    loop = simulated_time.SimulatedTimeLoop()
    asyncio.set_event_loop(loop)
    around = SimulatedReconcilers(loop, seed)

    async def run() -> None:
        try:
            await story(around)
        finally:
            for name in list(around.processes):
                await around.kill(name)

    try:
        loop.run_until_complete(run())
        if around.violations:
            raise simulated_cell.Violation(around.violations[0])
    finally:
        with contextlib.suppress(RuntimeError):
            loop.close()
        asyncio.set_event_loop(None)


def ownership(around: SimulatedReconcilers) -> key_ranges.Ownership:
    """Return the ownership object as it stands in the store."""
    found = around.objects.objects[f"ownership/{SERVICE}"]
    return msgspec.json.decode(found.body, type=key_ranges.Ownership)
