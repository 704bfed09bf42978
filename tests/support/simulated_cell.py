"""Simulation of one cell with a fake store and a fake network.

The members are the real ones; only the store, the network and the backend
servers are fake.  At each step ``check_invariants`` checks that no two
members act as the owner of the same slot, and that tokens never decrease.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random
import typing

from bronzepaddle import (
    bundles,
    cells,
    ids,
    options,
    quorum_leases,
    store_versions,
)
from bronzepaddle_backend import announcements
from bronzepaddle_node import crash_isolation, membership, owner, slots, state
from bronzepaddle_peers import messages, rpc
from bronzepaddle_store import eras, store, updates

from support import simulated_time

CELL: typing.Final = ids.CellId("cell")
SERVICE: typing.Final = ids.ServiceName("lots")
"""The service of all backend servers, with ``SLOTS`` hash slots."""

CALL_TIMEOUT_S: typing.Final = 0.7
ANNOUNCE_INTERVAL_S: typing.Final = 0.2
CHECK_INTERVAL_S: typing.Final = 0.01
SLOTS: typing.Final = 6

PRIORITY: typing.Final = bundles.Priority(
    ids.PriorityName("normal"), 0, 1.0, 1.0, 10, 10.0
)
BUNDLE: typing.Final = bundles.Bundle(
    ids.BundleVersion(1),
    {PRIORITY.name: PRIORITY},
    {
        SERVICE: bundles.Service(
            name=SERVICE,
            host="",
            prefix="",
            former_prefixes=(),
            key_rule=bundles.KeyRule(bundles.KeySource.PATH, "0"),
            slots=SLOTS,
            priority=PRIORITY.name,
            idempotent_methods=bundles.IDEMPOTENT_METHODS,
            max_body_bytes=1000,
        )
    },
)


class Violation(AssertionError):  # noqa: N818
    """An invariant does not hold."""


@dataclasses.dataclass
class StoreFaults:
    """The current faults of the store.

    ``call_delay_s`` delays each call.  With ``lose_answers`` a write takes
    effect, but its result is lost.  With ``write_delay_s`` the result is lost
    too, and the write takes effect after this time.  ``answer_delay_s``
    delays the answers to reads.  With ``ends_watches`` a watch is answered at
    once, without a change.
    """

    down: bool = False
    call_delay_s: float = 0.0
    lose_answers: bool = False
    write_delay_s: float = 0.0
    answer_delay_s: float = 0.0
    ends_watches: bool = False


class FakeStoreServer:
    """The objects in the store, with faults and counts of calls.

    ``cut_off`` are the names of the members that can't reach the store.
    ``attempts`` counts every attempt to reach the store, for reads and for
    writes; ``writes`` counts the writes that took effect.
    """

    def __init__(self) -> None:
        self.era = ids.FIRST_ERA
        self.objects: dict[str, store.StoredObject] = {}
        # The objects after each write, with its time.
        self.history: list[tuple[float, dict[str, store.StoredObject]]] = []
        self.faults = StoreFaults()
        self.changed = asyncio.Event()
        self.cut_off: set[str] = set()
        self.writes = 0
        self.attempts = 0

    def stored_cell(self) -> cells.Cell | None:
        """Return the cell object in the store, or None."""
        stored = self.objects.get(updates.object_name(CELL))
        return None if stored is None else cells.decode(stored.body)

    def write(
        self, name: str, body: bytes, replaces: int
    ) -> ids.ObjectVersion:
        """Write an object; return its new version.

        Raises ``ConflictError`` if ``replaces`` is not its current version.
        """
        stored = self.objects.get(name)
        if (0 if stored is None else stored.version.revision) != replaces:
            raise store.ConflictError(name)
        version = ids.ObjectVersion(replaces + 1)
        self.objects[name] = store.StoredObject(
            store_versions.StoreVersion(self.era, version), body
        )
        now = asyncio.get_running_loop().time()
        self.history.append((now, dict(self.objects)))
        self.writes += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return version

    def restore(self, age_s: float) -> None:
        """Come back from a copy of the given age, in the next era."""
        now = asyncio.get_running_loop().time()
        self.history = [
            (at, objects) for at, objects in self.history if at <= now - age_s
        ]
        self.era = ids.StoreEra(self.era + 1)
        copied = self.history[-1][1] if self.history else {}
        self.objects = {
            name: store.StoredObject(
                dataclasses.replace(stored.version, era=self.era), stored.body
            )
            for name, stored in copied.items()
        }
        self.changed.set()
        self.changed = asyncio.Event()


class FakeStoreClient:
    """Implements ``store.Store`` for one member; pauses while it is frozen."""

    def __init__(
        self,
        server: FakeStoreServer,
        name: str,
        clock: simulated_time.SimulatedClock,
    ) -> None:
        self.server = server
        self.name = name
        self.clock = clock
        self.eras = eras.EraTracker()

    async def _connect(self) -> None:
        """Reach the store; raises ``StoreUnavailableError``."""
        self.server.attempts += 1
        await asyncio.sleep(0.002 + self.server.faults.call_delay_s)
        await self.clock.running.wait()
        if self.server.faults.down or self.name in self.server.cut_off:
            raise store.StoreUnavailableError("down")

    async def _answer(self, era: ids.StoreEra, delay_s: float) -> None:
        """Wait for an answer that the store gave in an era, and record it.

        Raises ``StoreUnavailableError`` if the answer is of an earlier era.
        """
        if delay_s:
            await asyncio.sleep(delay_s)
            await self.clock.running.wait()
        self.eras.record(era)

    async def get(self, name: str) -> store.StoredObject | None:
        """Return an object, or None if it does not exist."""
        await self._connect()
        era, stored = self.server.era, self.server.objects.get(name)
        await self._answer(era, self.server.faults.answer_delay_s)
        return stored

    async def list(self, folder: str) -> dict[str, store.StoredObject]:
        """Raise ``NotImplementedError``: no simulated member lists objects."""
        raise NotImplementedError(folder)

    async def put(
        self, name: str, body: bytes, replaces: store_versions.StoreVersion
    ) -> store_versions.StoreVersion:
        """Write an object, subject to the current faults."""
        self.eras.check_replaced(name, replaces)
        await self._connect()
        faults = self.server.faults
        if faults.write_delay_s:
            asyncio.get_running_loop().call_later(
                faults.write_delay_s,
                self._write_late,
                name,
                body,
                replaces.revision,
            )
            raise store.UnknownOutcomeError("lost")
        version = store_versions.StoreVersion(
            self.server.era, self.server.write(name, body, replaces.revision)
        )
        if faults.lose_answers:
            raise store.UnknownOutcomeError("lost")
        try:
            await self._answer(version.era, 0.002 + faults.call_delay_s)
        except store.StoreUnavailableError as error:
            raise store.UnknownOutcomeError(str(error)) from error
        self.eras.check_written(name, replaces, version)
        return version

    def _write_late(self, name: str, body: bytes, replaces: int) -> None:
        if self.server.faults.down:
            return
        try:
            self.server.write(name, body, replaces)
        except store.ConflictError:
            return

    async def watch(
        self,
        name: str,
        newer_than: store_versions.StoreVersion,
        timeout_s: float,
    ) -> store.StoredObject | None:
        """Return the next newer version, or None after ``timeout_s``."""
        await self._connect()
        if self.server.faults.ends_watches:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    stored = self.server.objects.get(name)
                    if stored is not None and stored.version > newer_than:
                        await self._connect()
                        return stored
                    await self.server.changed.wait()
        except TimeoutError:
            return None


class FakePeerCalls:
    """Implements ``rpc.PeerCalls`` for one member by calling its peers."""

    def __init__(self, cell: "SimulatedCell", name: str) -> None:
        self.cell = cell
        self.name = name

    def heartbeat(
        self, to: cells.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Send a heartbeat, which the network delays or loses."""
        self.cell.deliver(self.name, to.host, heartbeat)

    async def _call(
        self,
        to: cells.Address,
        call: collections.abc.Callable[
            ["Process"], collections.abc.Awaitable[typing.Any]
        ],
    ) -> typing.Any:
        """Return the result of ``call`` on a peer; raises ``PeerError``."""
        calling_process = self.cell.processes[self.name]
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self.cell.transmit(self.name, to.host)
                peer = self.cell.processes.get(to.host)
                if peer is None:
                    raise rpc.PeerError("lost")
                await peer.clock.running.wait()
                reply = await call(peer)
                await self.cell.transmit(to.host, self.name)
        except TimeoutError as error:
            raise rpc.PeerError("no reply") from error
        finally:
            await calling_process.clock.running.wait()
        return reply

    async def pull_cell(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.CellReply:
        """Call the peer's handler for cell objects."""
        return typing.cast(
            messages.CellReply,
            await self._call(
                to,
                lambda peer: peer.membership.peer_handlers.on_pull_cell(
                    request
                ),
            ),
        )

    async def pull_bundle(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.BundleReply:
        """Call the peer's handler for bundles."""
        return typing.cast(
            messages.BundleReply,
            await self._call(
                to,
                lambda peer: peer.membership.peer_handlers.on_pull_bundle(
                    request
                ),
            ),
        )

    async def query_silence(
        self, to: cells.Address, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        """Call the peer's handler for queries about silent members."""
        return typing.cast(
            messages.SilenceReply,
            await self._call(
                to,
                lambda peer: peer.membership.peer_handlers.on_query_silence(
                    request
                ),
            ),
        )

    async def hand_over(
        self, to: cells.Address, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Call the peer's handler for requests to hand slots over."""
        return typing.cast(
            messages.HandOverReply,
            await self._call(
                to,
                lambda peer: peer.membership.peer_handlers.on_hand_over(
                    request
                ),
            ),
        )

    async def report_suspect(
        self, to: cells.Address, notice: messages.SuspectNotice
    ) -> messages.Done:
        """Call the peer's handler for suspects."""
        return typing.cast(
            messages.Done,
            await self._call(
                to,
                lambda peer: peer.membership.peer_handlers.on_report_suspect(
                    notice
                ),
            ),
        )

    async def transfer_windows(
        self, to: cells.Address, request: messages.TransferWindowsRequest
    ) -> messages.Done:
        """Call the peer's handler for idempotency windows."""
        return typing.cast(
            messages.Done,
            await self._call(
                to,
                lambda peer: peer.membership.peer_handlers.on_transfer_windows(
                    request
                ),
            ),
        )


class Process:
    """One run of a member's process, with its backend server."""

    def __init__(self, cell: "SimulatedCell", name: str, rate: float) -> None:
        self.clock = simulated_time.SimulatedClock(cell.loop, rate)
        self.state = state.NodeState(
            state.Identity(
                name=ids.MemberId(name),
                cell=CELL,
                zone=ids.ZoneName("zone"),
                incarnation=ids.Incarnation(f"{name}-{cell.rng.random()}"),
                address=cells.Address(name, 1),
                listens_at=name,
                first_sequence=cell.first_sequence(),
            ),
            cell.lease_times,
            self.clock,
        )
        # Used only by the broken build "lease-from-arrival".
        self.state.lease.__dict__["clock_now"] = self.clock.now
        peer_calls = FakePeerCalls(cell, name)
        suspect_replicator = crash_isolation.SuspectReplicator(
            self.state, peer_calls, cell.loop, self.clock
        )
        self.owner = owner.SlotOwner(self.state, suspect_replicator)
        self.state.adopt_bundle(state.ActiveBundle(BUNDLE, b""))
        self.membership = membership.Membership(
            self.state,
            FakeStoreClient(cell.store_server, name, self.clock),
            peer_calls,
            self.owner,
            options.BackendOptions(announce_s=ANNOUNCE_INTERVAL_S),
            (),
            suspect_replicator,
        )
        self.backend_alive = True
        # Heartbeats that arrive while the process is frozen stay in the
        # receive buffer of its socket, whose size is limited.
        self.receive_buffer: collections.deque[messages.Heartbeat] = (
            collections.deque(maxlen=200)
        )

    def start(self) -> None:
        """Start the member's tasks and its backend server's announcements."""
        self.membership.start()
        self.membership.background_tasks.start(self._announce(), "announce")

    async def _announce(self) -> None:
        while True:
            if self.backend_alive:
                self.state.backend_announcement = (
                    announcements.ReceivedAnnouncement(
                        announcements.Announcement(
                            run="run",
                            service=SERVICE,
                            host="127.0.0.1",
                            port=9,
                            slots=2,
                            connections=2,
                        ),
                        self.clock.now(),
                    )
                )
            await self.clock.sleep(ANNOUNCE_INTERVAL_S)

    @property
    def frozen(self) -> bool:
        """Return whether the process is frozen."""
        return not self.clock.running.is_set()

    def active_slots(self) -> collections.abc.Iterator[slots.ServiceSlot]:
        """Yield the slots for which the process would accept a request."""
        for service_slot in self.owner.slot_table.owned:
            if self.owner.slot_table.may_act(service_slot):
                yield service_slot


class SimulatedCell:
    """The members of a cell, the store and the network, with their faults.

    ``clock_drift`` bounds the random deviation of the rates of the members'
    clocks from 1.  ``cut_links`` are pairs of a sender and a receiver,
    ``call_faults`` the members whose calls to peers fail.
    """

    def __init__(
        self,
        loop: simulated_time.SimulatedTimeLoop,
        seed: int,
        lease_times: quorum_leases.LeaseTimes | None = None,
        clock_drift: float = 0.04,
    ) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.lease_times = lease_times or quorum_leases.LeaseTimes()
        self.clock_drift = clock_drift
        self.store_server = FakeStoreServer()
        self.processes: dict[str, Process] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.call_faults: set[str] = set()
        self.network_delay_s = 0.001
        self.highest_tokens: dict[slots.ServiceSlot, int] = {}
        self.seen_version = 0

    def first_sequence(self) -> int:
        """Return a random sequence number for a member's first heartbeat."""
        return self.rng.randrange(1 << 40)

    # Events.

    def start(self, name: str, rate: float | None = None) -> Process:
        """Start a new run of a member; its clock runs at ``rate``."""
        if rate is None:
            rate = 1.0 + self.rng.uniform(-self.clock_drift, self.clock_drift)
        process = Process(self, name, rate)
        self.processes[name] = process
        process.start()
        return process

    async def lose(self, name: str) -> None:
        """End a member as if its VM was lost."""
        process = self.processes.pop(name)
        # A frozen process can't end its tasks.  They are cancelled before
        # they run any further.
        process.clock.running.set()
        await process.membership.stop()

    def freeze(self, name: str) -> None:
        """Pause each task of a member at the end of its current wait."""
        self.processes[name].clock.running.clear()

    def resume(self, name: str) -> None:
        """Let a frozen member continue and receive buffered heartbeats."""
        process = self.processes[name]
        process.clock.running.set()
        # The member may act before it receives anything.
        self.check_invariants()
        while process.receive_buffer:
            process.membership.heartbeats.receive(
                process.receive_buffer.popleft()
            )

    def partition(self, member: str, peer: str) -> None:
        """Cut the network between two members."""
        self.cut_links |= {(member, peer), (peer, member)}

    def mute(self, name: str) -> None:
        """Lose all that a member sends, but not what is sent to it."""
        self.cut_links |= {(name, peer) for peer in self.processes}

    def deafen(self, name: str) -> None:
        """Lose all that is sent to a member, but not what it sends."""
        self.cut_links |= {(peer, name) for peer in self.processes}

    def fail_calls(self, name: str) -> None:
        """Let a member's calls to peers fail, but not its heartbeats."""
        self.call_faults.add(name)

    def heal(self) -> None:
        """Restore all links and calls; the delay of the network stays."""
        self.cut_links.clear()
        self.call_faults.clear()

    # The network.

    async def transmit(self, sender: str, receiver: str) -> None:
        """Wait for a message of a call to arrive.

        Over a cut link this outlasts ``CALL_TIMEOUT_S``.
        """
        if (sender, receiver) in self.cut_links or sender in self.call_faults:
            await asyncio.sleep(CALL_TIMEOUT_S * 2)
        await asyncio.sleep(self.network_delay_s * self.rng.uniform(0.5, 1.5))

    def deliver(
        self, sender: str, receiver: str, heartbeat: messages.Heartbeat
    ) -> None:
        """Deliver a heartbeat after the network's delay, or lose it."""
        if (sender, receiver) in self.cut_links:
            return
        self.loop.call_later(
            self.network_delay_s * self.rng.uniform(0.5, 1.5),
            self._receive,
            receiver,
            heartbeat,
        )

    def _receive(self, receiver: str, heartbeat: messages.Heartbeat) -> None:
        process = self.processes.get(receiver)
        if process is None:
            return
        if process.frozen:
            process.receive_buffer.append(heartbeat)
            return
        process.membership.heartbeats.receive(heartbeat)

    # Invariants.

    def check_invariants(self) -> None:
        """Raise ``Violation`` if a slot has two owners or a token decreased.

        Frozen members are left out, since they do not act.
        """
        acting: dict[slots.ServiceSlot, str] = {}
        for name, process in self.processes.items():
            if process.frozen:
                continue
            for service_slot in process.active_slots():
                first = acting.setdefault(service_slot, name)
                if first != name:
                    raise Violation(
                        f"{name} and {first} both act for {service_slot}"
                    )
        self._check_tokens()

    def _check_tokens(self) -> None:
        """Compare the tokens of a new version with the highest ones seen."""
        stored = self.store_server.objects.get(updates.object_name(CELL))
        if stored is None or stored.version.revision == self.seen_version:
            return
        self.seen_version = stored.version.revision
        for service, grants in cells.decode(stored.body).services.items():
            for slot, grant in enumerate(grants):
                if grant is None:
                    continue
                service_slot = (service, ids.SlotId(slot))
                if grant.token < self.highest_tokens.get(service_slot, 0):
                    raise Violation(f"token of {service_slot} decreased")
                self.highest_tokens[service_slot] = grant.token

    async def pass_time(self, seconds: float) -> None:
        """Let simulated time pass; check the invariants regularly."""
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check_invariants()

    def served_slot_count(self) -> int:
        """Return the number of slots that a running member acts for."""
        return sum(
            len(list(process.active_slots()))
            for process in self.processes.values()
            if not process.frozen
        )

    async def wait_until_served(
        self, slot_count: int, timeout_s: float
    ) -> float:
        """Let time pass until at least ``slot_count`` slots are served.

        Returns the time that it took, in seconds.  Raises ``AssertionError``
        after ``timeout_s``.
        """
        started_at = self.loop.time()
        while self.loop.time() - started_at < timeout_s:
            if self.served_slot_count() >= slot_count:
                return self.loop.time() - started_at
            await self.pass_time(CHECK_INTERVAL_S)
        raise AssertionError(
            f"{self.served_slot_count()} of {slot_count} slots served"
            f" after {timeout_s} s"
        )

    async def stop(self) -> None:
        """End every member."""
        for name in list(self.processes):
            await self.lose(name)


Scenario: typing.TypeAlias = collections.abc.Callable[
    [SimulatedCell], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def run_scenario(
    scenario: Scenario,
    seed: int = 1,
    lease_times: quorum_leases.LeaseTimes | None = None,
    clock_drift: float = 0.04,
) -> None:
    """Run a scenario with a new simulated cell in simulated time."""
    loop = simulated_time.SimulatedTimeLoop()

    async def run() -> None:
        cell = SimulatedCell(loop, seed, lease_times, clock_drift)
        try:
            await scenario(cell)
        finally:
            await cell.stop()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
