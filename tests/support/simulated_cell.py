"""A cell of members around a fake store and a fake network.

The members are the product's own; only what lies outside them is fake. At
every step ``check`` looks at what must always hold: no two members may act
as the owner of one slot, and tokens only grow.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random
import typing

from bronzepaddle import bundles, cells, ids, options, quorum_leases
from bronzepaddle_backend import announcements
from bronzepaddle_node import crash_isolation, membership, owner, slots, state
from bronzepaddle_peers import messages, rpc
from bronzepaddle_store import store, updates

from support import simulated_time

CELL: typing.Final = ids.CellId("cell")
SERVICE: typing.Final = ids.ServiceName("lots")
CALL_TIMEOUT_S: typing.Final = 0.7
ANNOUNCE_S: typing.Final = 0.2
CHECK_EVERY_S: typing.Final = 0.01
SLOTS: typing.Final = 6

PRIORITY: typing.Final = bundles.Priority(
    ids.PriorityName("normal"), 0, 1.0, 1.0, 10, 10.0
)
RULES: typing.Final = bundles.Bundle(
    ids.BundleVersion(1),
    {PRIORITY.name: PRIORITY},
    {
        SERVICE: bundles.Service(
            name=SERVICE,
            host="",
            prefix="",
            former_prefixes=(),
            key=bundles.KeyRule(bundles.KeySource.PATH, "0"),
            slots=SLOTS,
            priority=PRIORITY.name,
            idempotent_methods=bundles.IDEMPOTENT_METHODS,
            max_body_bytes=1000,
        )
    },
)


class Violation(AssertionError):  # noqa: N818
    """Something that must always hold did not."""


@dataclasses.dataclass
class StoreFaults:
    """What is wrong with the platform now; ``late_s`` delays lost writes."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: bool = False
    late_s: float = 0.0


class FakeObjects:
    """The platform's objects, one for all members."""

    def __init__(self) -> None:
        self.objects: dict[str, store.StoredObject] = {}
        self.faults = StoreFaults()
        self.changed = asyncio.Event()
        self.cut_off: set[str] = set()
        self.writes = 0
        self.reads = 0

    def newest(self) -> cells.Cell | None:
        """Return the cell object as it stands in the store."""
        found = self.objects.get(updates.object_name(CELL))
        return None if found is None else cells.decode(found.body)

    def apply(self, name: str, body: bytes, replaces: int) -> int:
        """Write, or raise ``ConflictError``."""
        found = self.objects.get(name)
        if (0 if found is None else found.version) != replaces:
            raise store.ConflictError(name)
        version = ids.ObjectVersion(replaces + 1)
        self.objects[name] = store.StoredObject(version, body)
        self.writes += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return version


class FakeStore:
    """The platform as one member sees it."""

    def __init__(
        self,
        objects: FakeObjects,
        name: str,
        time: simulated_time.SimulatedClock,
    ) -> None:
        self.objects = objects
        self.name = name
        self.time = time

    async def _reach(self) -> None:
        self.objects.reads += 1
        await asyncio.sleep(0.002 + self.objects.faults.slow_s)
        await self.time.running.wait()
        if self.objects.faults.down or self.name in self.objects.cut_off:
            raise store.StoreUnavailableError("down")

    async def get(self, name: str) -> store.StoredObject | None:
        """Return an object."""
        await self._reach()
        return self.objects.objects.get(name)

    async def list(self, folder: str) -> dict[str, store.StoredObject]:
        """Return all objects of a folder; nothing here asks for one."""
        raise NotImplementedError(folder)

    async def put(
        self, name: str, body: bytes, replaces: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Write an object, with the faults of the moment."""
        await self._reach()
        faults = self.objects.faults
        if faults.late_s:
            asyncio.get_running_loop().call_later(
                faults.late_s, self._apply_late, name, body, replaces
            )
            raise store.UnknownOutcomeError("lost")
        version = self.objects.apply(name, body, replaces)
        if faults.lose_answers:
            raise store.UnknownOutcomeError("lost")
        await asyncio.sleep(0.002 + faults.slow_s)
        await self.time.running.wait()
        return ids.ObjectVersion(version)

    def _apply_late(self, name: str, body: bytes, replaces: int) -> None:
        if self.objects.faults.down:
            return
        try:
            self.objects.apply(name, body, replaces)
        except store.ConflictError:
            return

    async def watch(
        self, name: str, newer_than: ids.ObjectVersion, timeout_s: float
    ) -> store.StoredObject | None:
        """Wait for a newer version."""
        await self._reach()
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    found = self.objects.objects.get(name)
                    if found is not None and found.version > newer_than:
                        await self._reach()
                        return found
                    await self.objects.changed.wait()
        except TimeoutError:
            return None


class FakeLink:
    """The network as one member sees it."""

    def __init__(self, world: "SimulatedCell", name: str) -> None:
        self.world = world
        self.name = name

    def heartbeat(
        self, to: cells.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Deliver a heartbeat after the network's delay, if at all."""
        self.world.deliver(self.name, to.host, heartbeat)

    async def _call(
        self,
        to: cells.Address,
        call: collections.abc.Callable[
            ["Process"], collections.abc.Awaitable[typing.Any]
        ],
    ) -> typing.Any:
        mine = self.world.processes[self.name]
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self.world.travel(self.name, to.host)
                peer = self.world.processes.get(to.host)
                if peer is None:
                    raise rpc.PeerError("lost")
                await peer.time.running.wait()
                reply = await call(peer)
                await self.world.travel(to.host, self.name)
        except TimeoutError as error:
            raise rpc.PeerError("no answer") from error
        finally:
            await mine.time.running.wait()
        return reply

    async def pull_cell(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.CellReply:
        """Ask for a newer cell object."""
        return typing.cast(
            messages.CellReply,
            await self._call(
                to, lambda one: one.member.peer_handlers.on_pull_cell(request)
            ),
        )

    async def pull_bundle(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.BundleReply:
        """Ask for a newer bundle."""
        return typing.cast(
            messages.BundleReply,
            await self._call(
                to,
                lambda one: one.member.peer_handlers.on_pull_bundle(request),
            ),
        )

    async def silence(
        self, to: cells.Address, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        """Ask about a silence."""
        return typing.cast(
            messages.SilenceReply,
            await self._call(
                to, lambda one: one.member.peer_handlers.on_silence(request)
            ),
        )

    async def hand_over(
        self, to: cells.Address, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Ask for a planned move."""
        return typing.cast(
            messages.HandOverReply,
            await self._call(
                to, lambda one: one.member.peer_handlers.on_hand_over(request)
            ),
        )

    async def report_suspect(
        self, to: cells.Address, notice: messages.SuspectNotice
    ) -> messages.Done:
        """Tell of a suspect."""
        return typing.cast(
            messages.Done,
            await self._call(
                to,
                lambda one: one.member.peer_handlers.on_report_suspect(notice),
            ),
        )

    async def transfer_windows(
        self, to: cells.Address, request: messages.WindowRequest
    ) -> messages.Done:
        """Give windows away."""
        return typing.cast(
            messages.Done,
            await self._call(
                to,
                lambda one: one.member.peer_handlers.on_transfer_windows(
                    request
                ),
            ),
        )


class Process:
    """One run of a member."""

    def __init__(self, world: "SimulatedCell", name: str, rate: float) -> None:
        self.time = simulated_time.SimulatedClock(world.loop, rate)
        self.state = state.NodeState(
            state.Identity(
                name=ids.MemberId(name),
                cell=CELL,
                zone=ids.ZoneName("zone"),
                incarnation=ids.Incarnation(f"{name}-{world.rng.random()}"),
                address=cells.Address(name, 1),
                listens_at=name,
                first_sequence=world.first_sequence(),
            ),
            world.times,
            self.time,
        )
        self.state.lease.__dict__["clock_now"] = self.time.now
        peers = FakeLink(world, name)
        suspect_replicator = crash_isolation.SuspectReplicator(
            self.state, peers, world.loop, self.time
        )
        self.owner = owner.Owner(self.state, suspect_replicator)
        self.state.adopt_bundle(state.ActiveBundle(RULES, b""))
        self.member = membership.Membership(
            self.state,
            FakeStore(world.objects, name, self.time),
            peers,
            self.owner,
            options.BackendOptions(announce_s=ANNOUNCE_S),
            (),
            suspect_replicator,
        )
        self.backend_alive = True
        # Heartbeats that arrive while the process is frozen wait in its
        # socket, which holds only so many.
        self.buffer: collections.deque[messages.Heartbeat] = collections.deque(
            maxlen=200
        )

    def start(self) -> None:
        """Start the member's tasks and its backend server's heartbeat."""
        self.member.start()
        self.member.background_tasks.start(self._announce(), "announce")

    async def _announce(self) -> None:
        while True:
            if self.backend_alive:
                self.state.backend = announcements.ReceivedAnnouncement(
                    announcements.Announcement(
                        run="run",
                        service=SERVICE,
                        host="127.0.0.1",
                        port=9,
                        slots=2,
                        connections=2,
                    ),
                    self.time.now(),
                )
            await self.time.sleep(ANNOUNCE_S)

    @property
    def frozen(self) -> bool:
        """Tell whether the process is frozen."""
        return not self.time.running.is_set()

    def active_slots(self) -> collections.abc.Iterator[slots.ServiceSlot]:
        """Yield the slots for which the process would take a request."""
        for place in self.owner.table.owned:
            if self.owner.table.may_act(place):
                yield place


class SimulatedCell:
    """Members, store, network, and what is wrong with each."""

    def __init__(
        self,
        loop: simulated_time.SimulatedTimeLoop,
        seed: int,
        times: quorum_leases.LeaseTimes | None = None,
        drift: float = 0.04,
    ) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.times = times or quorum_leases.LeaseTimes()
        self.drift = drift
        self.objects = FakeObjects()
        self.processes: dict[str, Process] = {}
        self.cut: set[tuple[str, str]] = set()
        self.without_calls: set[str] = set()
        self.delay_s = 0.001
        self.highest: dict[slots.ServiceSlot, int] = {}
        self.seen_version = 0

    def first_sequence(self) -> int:
        """Return the number of a member's first heartbeat."""
        return self.rng.randrange(1 << 40)

    # What happens to members.

    def start(self, name: str, rate: float | None = None) -> Process:
        """Start a member, for the first time or after a loss."""
        if rate is None:
            rate = 1.0 + self.rng.uniform(-self.drift, self.drift)
        process = Process(self, name, rate)
        self.processes[name] = process
        process.start()
        return process

    async def lose(self, name: str) -> None:
        """End a member as if its VM was lost."""
        process = self.processes.pop(name)
        # A frozen process can't end its tasks; they are cancelled before
        # they take another step.
        process.time.running.set()
        await process.member.stop()

    def freeze(self, name: str) -> None:
        """Stop a member's tasks between two steps of theirs."""
        self.processes[name].time.running.clear()

    def resume(self, name: str) -> None:
        """Let a member go on as if nothing had happened."""
        process = self.processes[name]
        process.time.running.set()
        # It may act at once, before it hears of anything.
        self.check()
        while process.buffer:
            process.member.heartbeats.receive(process.buffer.popleft())

    def partition(self, one: str, other: str) -> None:
        """Cut the network between two members."""
        self.cut |= {(one, other), (other, one)}

    def mute(self, name: str) -> None:
        """Lose what a member sends, but not what it is sent."""
        self.cut |= {(name, other) for other in self.processes}

    def deafen(self, name: str) -> None:
        """Lose what a member is sent, but not what it sends."""
        self.cut |= {(other, name) for other in self.processes}

    def no_calls(self, name: str) -> None:
        """Let a member's calls fail, but not its heartbeats."""
        self.without_calls.add(name)

    def heal(self) -> None:
        """Mend the whole network."""
        self.cut.clear()
        self.without_calls.clear()

    # The network.

    async def travel(self, one: str, other: str) -> None:
        """Take the time of a message; one that is cut never arrives."""
        if (one, other) in self.cut or one in self.without_calls:
            await asyncio.sleep(CALL_TIMEOUT_S * 2)
        await asyncio.sleep(self.delay_s * self.rng.uniform(0.5, 1.5))

    def deliver(
        self, sender: str, receiver: str, heartbeat: messages.Heartbeat
    ) -> None:
        """Deliver a datagram later, or lose it."""
        if (sender, receiver) in self.cut:
            return
        self.loop.call_later(
            self.delay_s * self.rng.uniform(0.5, 1.5),
            self._arrive,
            receiver,
            heartbeat,
        )

    def _arrive(self, receiver: str, heartbeat: messages.Heartbeat) -> None:
        process = self.processes.get(receiver)
        if process is None:
            return
        if process.frozen:
            process.buffer.append(heartbeat)
            return
        process.member.heartbeats.receive(heartbeat)

    # What must hold.

    def check(self) -> None:
        """Raise ``Violation`` when two act for one slot, or tokens fall."""
        acting: dict[slots.ServiceSlot, str] = {}
        for name, process in self.processes.items():
            if process.frozen:
                continue
            for place in process.active_slots():
                other = acting.setdefault(place, name)
                if other != name:
                    raise Violation(f"{name} and {other} act for {place}")
        self._check_tokens()

    def _check_tokens(self) -> None:
        found = self.objects.objects.get(updates.object_name(CELL))
        if found is None or found.version == self.seen_version:
            return
        self.seen_version = found.version
        for service, grants in cells.decode(found.body).services.items():
            for slot, grant in enumerate(grants):
                if grant is None:
                    continue
                place = (service, ids.SlotId(slot))
                if grant.token < self.highest.get(place, 0):
                    raise Violation(f"the token of {place} fell")
                self.highest[place] = grant.token

    async def pass_time(self, seconds: float) -> None:
        """Let time pass, checking at each step."""
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            await asyncio.sleep(CHECK_EVERY_S)
            self.check()

    def served(self) -> int:
        """Return how many slots somebody acts for."""
        return sum(
            len(list(process.active_slots()))
            for process in self.processes.values()
            if not process.frozen
        )

    async def wait_until_served(self, slots: int, timeout_s: float) -> float:
        """Let time pass until so many slots are served.

        Returns the seconds it took; raises ``AssertionError``.
        """
        began = self.loop.time()
        while self.loop.time() - began < timeout_s:
            if self.served() >= slots:
                return self.loop.time() - began
            await self.pass_time(CHECK_EVERY_S)
        raise AssertionError(
            f"{self.served()} of {slots} slots served after {timeout_s} s"
        )

    async def stop(self) -> None:
        """End every member."""
        for name in list(self.processes):
            await self.lose(name)


Scenario: typing.TypeAlias = collections.abc.Callable[
    [SimulatedCell], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def run_scenario(
    story: Scenario,
    seed: int = 1,
    times: quorum_leases.LeaseTimes | None = None,
    drift: float = 0.04,
) -> None:
    """Run what happens to a cell under a turned clock."""
    loop = simulated_time.SimulatedTimeLoop()

    async def run() -> None:
        world = SimulatedCell(loop, seed, times, drift)
        try:
            await story(world)
        finally:
            await world.stop()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
