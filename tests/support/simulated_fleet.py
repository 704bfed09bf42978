"""Simulation of members that own keys under leases from the store.

A member is a process with the backend server on its VM; its reconciler grants
the server the keys that the ownership object in the store assigns to the
member.  The reconcilers are the real ones; the store, the statuses between
members and the backend servers are fake.  After each grant that a server
accepts, ``check_invariants`` checks that no two servers that are up hold the
same key at the same time.  A server rejects a grant with a lower token than it
accepted for the same key before.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import itertools
import random
import typing

import msgspec
from bronzepaddle import cells, ids, key_ranges, route_table, store_leases
from bronzepaddle.load import store_reads
from bronzepaddle_backend import key_grants, key_reports, server_tracker
from bronzepaddle_node import held_keys, peer_table, reconciler, tasks
from bronzepaddle_node.keys import member_settings
from bronzepaddle_peers import statuses, stream_client

from support import fake_servers, simulated_cell, simulated_time

MEMBERS: typing.Final = ("a", "b", "c", "d")
SERVICE: typing.Final = ids.ServiceName("lots")
"""The service that all servers of the fleet belong to, sharded by key."""

STATUS_INTERVAL_S: typing.Final = 0.5

REPORT_AGAIN_S: typing.Final = 0.1
"""Interval between the reports of a server that is releasing keys."""

REPORT_TIMEOUT_S: typing.Final = 1.0
"""Time after which a server ignores the response to a report."""

ANNOUNCE_INTERVAL_S: typing.Final = 0.87
MAX_HOLD_S: typing.Final = 10.0
MEMBER_CLOCK_RATES: typing.Final = (0.995, 1.0, 1.005)
"""Rates of the members' clocks relative to the loop's time."""

EARLIER_SERVER_ID: typing.Final = "i-earlier"
"""Id of a run that ended before the current one started."""

PAUSES_S: typing.Final = (0.05, 0.4, 1.0, 1.7, 2.0, 2.3, 3.3, 4.0)
"""Pauses before a random event."""

SETTLE_S: typing.Final = 60.0
"""Longest time until all keys are served once there are no more faults."""

RESTARTS_S: typing.Final = (0.05, 0.1, 0.2, 0.3, 0.6)
"""Times in which a server restarts, most of them between two renewals."""

FIRST_ANNOUNCEMENTS_S: typing.Final = (0.0, 0.3, 0.9, 1.5, 2.5)
"""Times from the start of a run until it can be heard of."""

ROUTE_TABLE: typing.Final = route_table.Table(
    ids.BundleVersion(1),
    (),
    {SERVICE: route_table.ServiceRules(SERVICE, True, 100, "/health")},
    route_table.Limits(),
)


class Process:
    """One run of a member's process, with its reconciler."""

    def __init__(
        self, fleet: "SimulatedFleet", name: str, started_ms: int
    ) -> None:
        self.fleet = fleet
        self.name = ids.MemberId(name)
        self.clock = simulated_time.SimulatedClock(
            fleet.loop, fleet.rng.choice(MEMBER_CLOCK_RATES)
        )
        self.started_ms = started_ms
        self.announcement_sequence = 0
        # Whether the announcements of the server are held up on their way.
        self.announcements_held_up = False
        self.status_sequence = 0
        self.tracker = server_tracker.Tracker(ANNOUNCE_INTERVAL_S)
        self.held = held_keys.HeldKeys()
        self.peer_table = peer_table.PeerTable(self.name, ids.ZoneName("zone"))
        self.tasks = tasks.Tasks()
        self.reconciler = reconciler.OwnershipReconciler(
            member_settings.MemberSettings(
                self.name,
                ids.Incarnation(str(started_ms)),
                SERVICE,
                store_leases.StoreLeaseTimes(),
                MAX_HOLD_S,
                # Simulated time starts at 1000 s.
                first_start=fleet.loop.time() < 1002.0,
                readers=fleet.readers,
            ),
            simulated_cell.FakeStoreClient(
                fleet.store_server, name, self.clock
            ),
            self.tracker,
            self.held,
            self.peer_table,
            self._commands,
            lambda: None,
            self.send_status,
            self._pull,
            self.clock,
        )
        self.tasks.start(self.reconciler.run(lambda: ROUTE_TABLE), "keys")
        self.tasks.start(self._announce(), "announcements")
        self.tasks.start(self._send_statuses(), "statuses")

    @property
    def server(self) -> fake_servers.FakeServer:
        """Return the server on the same VM."""
        return self.fleet.servers[self.name]

    def _commands(self) -> key_grants.KeyGrantCommands | None:
        """Return the commands to the announced run, None if there is none."""
        run = self.held.run
        server = (
            self.server
            if self.server.run == run
            else self.fleet.addressed_servers.get(run)
        )
        return (
            None
            if server is None
            else fake_servers.FakeCommands(server, run, self.clock)
        )

    async def _pull(
        self, address: cells.Address, request: statuses.OwnershipRequest
    ) -> statuses.OwnershipReply:
        """Pull a newer ownership; raises ``TimeoutError`` if unreachable."""
        delay_s = self.fleet.network_delays_s.get(self.name, 0.002)
        await asyncio.sleep(min(2 * delay_s, stream_client.PULL_TIMEOUT_S))
        if 2 * delay_s >= stream_client.PULL_TIMEOUT_S:
            raise TimeoutError
        peer = self.fleet.processes.get(address.host)
        link_cut = frozenset((self.name, address.host)) in self.fleet.cut_links
        if peer is None or link_cut or not peer.clock.running.is_set():
            raise TimeoutError
        return peer.reconciler.view.on_pull(request)

    async def _announce(self) -> None:
        while True:
            server = self.server
            pause_s = ANNOUNCE_INTERVAL_S
            if self.announcements_held_up:
                await self.clock.sleep(pause_s)
                continue
            match server:
                case fake_servers.ReportingServer() if server.up:
                    self.report_soon(server)
                    if server.working:
                        pause_s = REPORT_AGAIN_S
                    await asyncio.sleep(pause_s)
                    continue
                case _ if server.up:
                    self.receive_announcement(server)
            await self.clock.sleep(pause_s)

    def end_announcement_delay(self) -> None:
        """Let the announcements of the server arrive again."""
        self.announcements_held_up = False

    def report_soon(self, server: fake_servers.ReportingServer) -> None:
        """Send a report and apply the response, as fast as the faults let."""
        self.tasks.start(self._report(server), "report")

    async def _report(self, server: fake_servers.ReportingServer) -> None:
        """Send one report; a frozen process takes it once it resumes."""
        sent_at = self.fleet.loop.time()
        report = server.next_report()
        number = server.sent_reports
        await asyncio.sleep(self.fleet.report_delay_s())
        await self.clock.running.wait()
        recorded = self.receive_announcement(server, number, report)
        order = self.reconciler.on_report(report) if recorded else None
        await asyncio.sleep(self.fleet.report_delay_s())
        if self.fleet.loop.time() - sent_at <= REPORT_TIMEOUT_S:
            server.apply(order, number, report, sent_at)

    def receive_announcement(
        self,
        server: fake_servers.FakeServer,
        number: int | None = None,
        report: key_reports.KeyReport | None = None,
    ) -> bool:
        """Process an announcement of the server; False if it is outdated.

        ``number`` is its number in the run, by default the next one.
        """
        self.announcement_sequence += 1
        server_id, _, started_ms = server.run.partition("@")
        announcement = server_tracker.Announcement(
            server_id,
            SERVICE,
            "127.0.0.1",
            1,
            9,
            server_tracker.AnnouncedState.DRAINING
            if server.draining
            else server_tracker.AnnouncedState.READY,
            self.announcement_sequence if number is None else number,
            int(started_ms),
            0.0,
            report,
        )
        recorded = self.tracker.record(announcement, self.clock.now())
        if recorded:
            self.held.set_run(announcement.run)
        return recorded

    def receive_earlier_announcement(
        self, server_id: str = EARLIER_SERVER_ID
    ) -> None:
        """Process a delayed announcement of an earlier run of the server."""
        server = self.server
        keys = (
            key_reports.KeyReport((), ())
            if isinstance(server, fake_servers.ReportingServer)
            else None
        )
        announcement = server_tracker.Announcement(
            server_id,
            SERVICE,
            "127.0.0.1",
            1,
            9,
            server_tracker.AnnouncedState.READY,
            int(self.fleet.loop.time() * 1000),
            1,
            0.0,
            keys,
        )
        if self.tracker.record(announcement, self.clock.now()):
            self.held.set_run(announcement.run)
            if keys is not None:
                # The response reaches nobody.
                self.reconciler.on_report(keys)

    async def _send_statuses(self) -> None:
        while True:
            self.send_status()
            await self.clock.sleep(STATUS_INTERVAL_S)

    def send_status(self) -> None:
        """Send the current status to the other members."""
        self.status_sequence += 1
        self.reconciler.view.record_status_sent(self.status_sequence)
        self.fleet.deliver(self._status(self.status_sequence))

    def _status(self, sequence: int) -> statuses.Status:
        now = self.clock.now()
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
            ownership_version=self.reconciler.view.version.revision,
            held=self.held.status_ranges(now),
            read=self.reconciler.view.reported_read(),
            affected_members=self.reconciler.view.affected_members(),
            store_era=self.reconciler.view.version.era,
            store_reached=not self.reconciler.view.store_unreachable,
        )

    def receive_status(self, status: statuses.Status) -> None:
        """Process a peer's status; a frozen process loses it."""
        if not self.clock.running.is_set():
            return
        self.peer_table.update(status, self.clock.now())
        self.reconciler.on_status(status)

    async def stop(self) -> None:
        """Cancel all tasks, as if the process was killed."""
        await self.tasks.stop()
        await self.reconciler.stop()


@dataclasses.dataclass(frozen=True)
class AcceptedToken:
    """A token with which a run of a server accepted keys."""

    run: str
    first: int
    last: int
    token: int


class SimulatedFleet:
    """A fleet of members, their servers, the store and the network.

    ``muted`` are the members whose statuses are lost, ``cut_links`` the pairs
    of members that can't reach each other, ``network_delays_s`` the delays by
    receiver.  ``addressed_servers`` maps other runs than the current ones to
    the servers at their addresses; ``earlier_servers`` are the earlier runs
    that live on beside the current ones.  While ``commands_late`` is set, a
    share of ``late_command_share`` of the grants takes effect after a delay in
    seconds from ``command_delay_range_s`` and reports a lost command, and some
    releases report one as well.  ``send_delays_s`` are the delays by member
    between the decision on a grant and the sending of its command;
    ``waiting_to_send`` are the members with such a command.  ``readers`` is
    the number of members that read the ownership object for all others.
    """

    def __init__(
        self,
        loop: simulated_time.SimulatedTimeLoop,
        seed: int,
        server_type: type[fake_servers.FakeServer],
    ) -> None:
        self.loop = loop
        self.server_type = server_type
        self.rng = random.Random(seed)
        self.store_server = simulated_cell.FakeStoreServer()
        self.servers: dict[str, fake_servers.FakeServer] = {}
        self.addressed_servers: dict[str, fake_servers.FakeServer] = {}
        self.earlier_servers: dict[str, fake_servers.FakeServer] = {}
        self.processes: dict[str, Process] = {}
        self.muted: set[str] = set()
        self.network_delays_s: dict[str, float] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.commands_late = False
        self.late_command_share = 0.5
        self.command_delay_range_s = (0.5, 6.0)
        self.send_delays_s: dict[str, float] = {}
        self.waiting_to_send: set[str] = set()
        self.violations: list[str] = []
        # The distinct grants that servers have accepted.
        self.accepted: set[AcceptedToken] = set()
        self.last_start_ms = 1000
        self.runs_started = 0
        self.readers = store_reads.DEFAULT_READERS

    def start_server(self, name: str, server_id: str = "") -> None:
        """Start a new run of a server and end the earlier run, if any."""
        self.last_start_ms += 1
        if name in self.servers:
            self.servers[name].up = False
        self.servers[name] = self.server_type(
            self, name, f"{server_id or f'i-{name}'}@{self.last_start_ms}"
        )

    async def restart_server_quickly(self, name: str, same_id: bool) -> None:
        """Start a new run at the address of the earlier one.

        Its first announcement is late.
        """
        earlier = self.servers[name]
        earlier.up = False
        await asyncio.sleep(self.rng.choice(RESTARTS_S))
        server_id = earlier.run.partition("@")[0]
        self.start_server(
            name, server_id if same_id else f"{server_id}x{self.last_start_ms}"
        )
        self.addressed_servers[earlier.run] = self.servers[name]
        for run, server in self.addressed_servers.items():
            if server is earlier:
                self.addressed_servers[run] = self.servers[name]
        process = self.processes.get(name)
        if process is not None:
            process.announcements_held_up = True
            self.loop.call_later(
                self.rng.choice(FIRST_ANNOUNCEMENTS_S),
                process.end_announcement_delay,
            )

    def move_server(self, name: str) -> None:
        """Start a new run of a server; the earlier run lives on elsewhere."""
        earlier = self.servers.pop(name)
        if name in self.earlier_servers:
            self.earlier_servers[name].up = False
        self.earlier_servers[name] = earlier
        self.addressed_servers[earlier.run] = earlier
        self.start_server(name)

    def report_delay_s(self) -> float:
        """Return the delay of a report or of its response.

        It is long, so that some are late or overtaken, while commands are.
        """
        if self.commands_late and self.rng.random() < self.late_command_share:
            return self.rng.uniform(*self.command_delay_range_s) / 4
        return self.rng.uniform(0.0, 0.005)

    def start(self, name: str) -> None:
        """Start the process of a member."""
        self.last_start_ms += 1
        self.processes[name] = Process(self, name, self.last_start_ms)

    async def kill(self, name: str) -> None:
        """Kill a process; its server keeps running."""
        process = self.processes.pop(name, None)
        if process is not None:
            await process.stop()

    def deliver(self, status: statuses.Status) -> None:
        """Send a status to every member that its sender can reach."""
        for name, process in list(self.processes.items()):
            if frozenset((name, str(status.sender))) in self.cut_links:
                continue
            if str(status.sender) in self.muted:
                continue
            delay_s = self.network_delays_s.get(name, 0.002)
            self.loop.call_later(delay_s, process.receive_status, status)

    def check_invariants(self) -> None:
        """Record a violation if two servers hold the same key.

        An earlier run that lives on is a server of its own.  The violation
        is not raised here, because a reconciler logs the exceptions of its
        steps and continues.
        """
        now = self.loop.time()
        servers = (*self.servers.values(), *self.earlier_servers.values())
        held = sorted(
            (grant.first, grant.last, server.run, grant.token)
            for server in servers
            for grant in server.held_at(now)
        )
        for before, after in itertools.pairwise(held):
            if after[0] <= before[1] and after[2] != before[2]:
                self.violations.append(f"{before} and {after} at {now}")

    def check_token(self, run: str, first: int, last: int, token: int) -> None:
        """Record a violation if another run had keys with as high a token."""
        for earlier in self.accepted:
            if earlier.run == run or not key_ranges.overlap(
                first, last, earlier.first, earlier.last
            ):
                continue
            if token <= earlier.token:
                self.violations.append(
                    f"{run} got token {token} after {earlier}"
                )
        self.accepted.add(AcceptedToken(run, first, last, token))

    def all_keys_served(self) -> bool:
        """Return whether each key is held by a process that may serve it."""
        now = self.loop.time()
        held = sorted(
            (granted.first, granted.last)
            for name, process in self.processes.items()
            for granted in process.held.ranges
            if process.clock.now() < granted.until
            and self.servers[name].held_at(now)
        )
        covered_to = -1
        for first, last in held:
            if first > covered_to + 1:
                return False
            covered_to = max(covered_to, last)
        return covered_to == key_ranges.LAST_KEY

    async def wait_until_served(self, timeout_s: float) -> float:
        """Wait until all keys are served; return the time that it took.

        Raises ``simulated_cell.Violation`` after ``timeout_s``.
        """
        started_at = self.loop.time()
        while not self.all_keys_served():
            if self.loop.time() - started_at > timeout_s:
                raise simulated_cell.Violation("not all keys are served")
            await asyncio.sleep(0.05)
        return self.loop.time() - started_at


# An action that is listed twice is drawn twice as often.
_ACTIONS: typing.Final = (
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

ERA_ACTIONS: typing.Final = (
    *_ACTIONS,
    "store-restored",
    "store-restored",
    "store-restored",
    "store-restored",
    "store-late",
    "answers-late",
)
"""Actions where the store may come back from a copy."""

RESTART_ACTIONS: typing.Final = (
    *_ACTIONS,
    "quick-restart",
    "quick-restart",
    "quick-restart-same-id",
    "quick-restart-same-id",
    "quick-restart-same-id",
)
"""Actions where servers restart at their addresses between two renewals."""

COPY_AGES_S: typing.Final = (0.1, 0.5, 1.5, 4.0, 9.0, 20.0)
"""Ages of the copies that the store comes back from."""


async def apply_event(fleet: SimulatedFleet, action: str, member: str) -> None:
    """Apply an event to a member, unless the member's state rules it out."""
    server = fleet.servers[member]
    match action:
        case "kill":
            await fleet.kill(member)
        case "start" if member not in fleet.processes:
            fleet.start(member)
        case "lose":
            await fleet.kill(member)
            server.up = False
        case "server-restart":
            fleet.start_server(member)
        case "quick-restart":
            await fleet.restart_server_quickly(member, same_id=False)
        case "quick-restart-same-id":
            await fleet.restart_server_quickly(member, same_id=True)
        case "server-lost":
            server.up = False
        case "drain":
            server.draining = True
            if member in fleet.processes:
                process = fleet.processes[member]
                match server:
                    case fake_servers.ReportingServer():
                        process.report_soon(server)
                    case _:
                        process.receive_announcement(server)
        case "all-restart":
            for name in MEMBERS:
                await fleet.kill(name)
            for name in MEMBERS:
                fleet.start(name)
        case "freeze" if member in fleet.processes:
            fleet.processes[member].clock.running.clear()
        case "resume":
            resume(fleet)
        case "offline":
            fleet.store_server.cut_off.add(member)
        case "isolate":
            fleet.cut_links |= {frozenset((member, name)) for name in MEMBERS}
        case "heal":
            fleet.cut_links.clear()
            fleet.store_server.cut_off.clear()
        case "store-down":
            fleet.store_server.faults = simulated_cell.StoreFaults(down=True)
        case "store-late":
            fleet.store_server.faults = simulated_cell.StoreFaults(
                write_delay_s=1.5
            )
        case "store-lossy":
            fleet.store_server.faults = simulated_cell.StoreFaults(
                lose_answers=True
            )
        case "store-well":
            fleet.store_server.faults = simulated_cell.StoreFaults()
        case "store-restored":
            fleet.store_server.restore(fleet.rng.choice(COPY_AGES_S))
        case "answers-late":
            fleet.store_server.faults = simulated_cell.StoreFaults(
                answer_delay_s=1.0
            )
        case "orders-late":
            fleet.commands_late = True
        case "orders-well":
            fleet.commands_late = False


def resume(fleet: SimulatedFleet) -> None:
    """Resume every frozen process."""
    for process in fleet.processes.values():
        process.clock.running.set()


def recover(fleet: SimulatedFleet) -> None:
    """End the faults that ``apply_event`` sets, and start what has ended.

    A draining server is replaced by a new run as well.
    """
    fleet.cut_links.clear()
    fleet.store_server.cut_off.clear()
    fleet.store_server.faults = simulated_cell.StoreFaults()
    fleet.commands_late = False
    fleet.send_delays_s.clear()
    resume(fleet)
    for name in MEMBERS:
        server = fleet.servers[name]
        if not server.up or server.draining:
            fleet.start_server(name)
        if name not in fleet.processes:
            fleet.start(name)


Scenario: typing.TypeAlias = collections.abc.Callable[
    [SimulatedFleet], collections.abc.Awaitable[None]
]


async def start_all(fleet: SimulatedFleet) -> None:
    """Start every member and wait until all keys are served."""
    for name in MEMBERS:
        fleet.start_server(name)
        fleet.start(name)
    await fleet.wait_until_served(SETTLE_S)


def random_scenario(
    rng: random.Random,
    length: int,
    actions: collections.abc.Sequence[str] = _ACTIONS,
) -> Scenario:
    """Return a scenario of random events, followed by a recovery."""
    events = [
        (rng.choice(PAUSES_S), rng.choice(actions), rng.choice(MEMBERS))
        for _ in range(length)
    ]

    async def scenario(fleet: SimulatedFleet) -> None:
        await start_all(fleet)
        for pause_s, action, member in events:
            await asyncio.sleep(pause_s)
            await apply_event(fleet, action, member)
        recover(fleet)
        await fleet.wait_until_served(SETTLE_S)

    return scenario


def run_scenario(
    scenario: Scenario,
    seed: int,
    server_type: type[fake_servers.FakeServer] = fake_servers.FakeServer,
) -> None:
    """Run a scenario in simulated time, with servers of one type.

    Raises ``simulated_cell.Violation`` if there was a violation.
    """
    loop = simulated_time.SimulatedTimeLoop()
    asyncio.set_event_loop(loop)
    fleet = SimulatedFleet(loop, seed, server_type)

    async def run() -> None:
        try:
            await scenario(fleet)
        finally:
            for name in list(fleet.processes):
                await fleet.kill(name)

    try:
        loop.run_until_complete(run())
        if fleet.violations:
            raise simulated_cell.Violation(fleet.violations[0])
    finally:
        with contextlib.suppress(RuntimeError):
            loop.close()
        asyncio.set_event_loop(None)


def stored_ownership(fleet: SimulatedFleet) -> key_ranges.Ownership:
    """Return the ownership object in the store."""
    stored = fleet.store_server.objects[f"ownership/{SERVICE}"]
    return msgspec.json.decode(stored.body, type=key_ranges.Ownership)
