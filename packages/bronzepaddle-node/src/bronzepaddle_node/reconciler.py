"""Keeps the backend server's keys true to the ownership object.

Runs in every process beside a server whose service is divided by key.  It
reads the object again and again, which is what its lease rests on; grants
the server what the object gives it, as soon as no earlier holder can act on
it; releases what went to others and says so in the object.  ``planning`` says
what the object should say next; the first member of the service by name
writes that.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import msgspec
from bronzepaddle import (
    cells,
    clocks,
    ids,
    key_ranges,
    logs,
    route_table,
    store_leases,
)
from bronzepaddle_backend import connections, key_grants, server_tracker
from bronzepaddle_peers import rpc_client, statuses
from bronzepaddle_store import store

from bronzepaddle_node import (
    held_keys,
    issued_grants,
    peer_table,
    planning,
    tasks,
)

TICK_S: typing.Final = 0.1

STATUSES_KEPT: typing.Final = 64
"""Statuses whose sending time is remembered."""

CONCERNED_S: typing.Final = 1.5
"""Time for which a status tells whom a write concerned: that of some
statuses, of which some may be lost."""

LEAST_HOLD_S: typing.Final = 0.1
"""A grant for less time than this is not worth its order."""

RENEW_BELOW: typing.Final = 0.45
"""Share of the longest hold below which a grant is renewed."""


@dataclasses.dataclass(frozen=True)
class Settings:
    """What the keeping of keys is told; times in seconds.

    ``max_hold_s`` bounds a grant's time at the server.
    """

    name: ids.MemberId
    incarnation: ids.Incarnation
    service: ids.ServiceName
    times: store_leases.StoreLeaseTimes
    max_hold_s: float
    first_start: bool


Pull: typing.TypeAlias = collections.abc.Callable[
    [cells.Address, statuses.OwnershipRequest],
    collections.abc.Awaitable[statuses.OwnershipReply],
]
"""Asks a peer for a newer ownership.

Raises one of ``rpc_client.CONNECTION_ERRORS``.
"""


@dataclasses.dataclass(frozen=True)
class Read:
    """The ownership object as last read."""

    version: ids.ObjectVersion
    ownership: key_ranges.Ownership | None


class OwnershipReconciler:
    """The keeping of one server's keys."""

    def __init__(
        self,
        settings: Settings,
        objects: store.Store,
        tracker: server_tracker.Tracker,
        held: held_keys.HeldKeys,
        known: peer_table.PeerTable,
        orders: collections.abc.Callable[
            [], key_grants.KeyGrantCommands | None
        ],
        changed: collections.abc.Callable[[], None],
        version_changed: collections.abc.Callable[[], None],
        pull: Pull,
        time: clocks.Clock,
    ) -> None:
        self.settings = settings
        self.objects = objects
        self.tracker = tracker
        self.held = held
        self.peer_table = known
        self.orders = orders
        self.changed = changed
        self.version_changed = version_changed
        self.pull = pull
        # Whether the last read failed, and a peer is being asked instead.
        self.unable = False
        self.pulling = False
        self.time = time
        self.own_run = statuses.run_hash(settings.name, settings.incarnation)
        self.lease = store_leases.StoreLease(settings.times)
        self.read: Read | None = None
        # The ranges that the object as last read gives to this member.
        self.mine: list[key_ranges.Range] = []
        self.read_at = float("-inf")
        self.read_after: statuses.OwnershipRead | None = None
        self.sent_at: dict[int, float] = {}
        # When a peer has read the object at the earliest, by its last word.
        self.peers_read_at: dict[ids.MemberId, float] = {}
        self.started = time.now()
        # When this member has last written other members' keys anew.
        self.wrote_at: dict[ids.MemberId, float] = {}
        self.learned: dict[ids.Token, float] = {}
        # An earlier run of this process may have sent grants that have no
        # answer yet and are carried out late.
        self.uncertain_until = self.started + settings.times.wait_s
        self.freed: list[issued_grants.ReleasedGrant] = []
        self.releasing: set[issued_grants.Place] = set()
        self.issued_grants = issued_grants.IssuedGrants()
        # The ownership that the server's keys were last compared with.
        self.followed: key_ranges.Ownership | None = None
        self.wakeup = asyncio.Event()
        self.running = tasks.Tasks()
        self.planner = planning.Planner(
            settings.name,
            settings.service,
            settings.first_start,
            known,
            self.started,
        )
        self.lease_held = False
        self.lease_since = float("-inf")
        # The time for which keys that are ours were not held by the server,
        # times their share of all keys, and up to when that is counted.
        self.unheld_s = 0.0
        self.counted_at = self.started

    @property
    def version(self) -> ids.ObjectVersion:
        """Return the version of the object as last read."""
        return ids.NO_VERSION if self.read is None else self.read.version

    @property
    def object_name(self) -> str:
        """Return the name of the ownership object in the store."""
        return f"ownership/{self.settings.service}"

    def poke(self) -> None:
        """Read again at once: a peer knows a newer version."""
        self.read_at = float("-inf")
        self.wakeup.set()

    async def run(
        self, table: collections.abc.Callable[[], route_table.Table | None]
    ) -> None:
        """Keep the keys for ever, while the service is divided by key."""
        while True:
            found = table()
            rules = found and found.services.get(self.settings.service)
            if rules and rules.keyed:
                await tasks.log_exceptions(self._step(), "keys")
            try:
                async with asyncio.timeout(TICK_S):
                    await self.wakeup.wait()
            except TimeoutError:
                continue
            self.wakeup.clear()

    async def _step(self) -> None:
        now = self.time.now()
        self._count_unheld(now)
        if now - self.read_at >= self.settings.times.read_interval_s:
            await self._read()
        self._note_lease()
        if self.read is None:
            return
        ownership = self.read.ownership
        if ownership is not None:
            await self._follow(ownership)
        await self._plan(ownership)

    def _note_lease(self) -> None:
        """Log when the lease has begun or run out."""
        now = self.time.now()
        held = self.lease.holds(now)
        if held != self.lease_held:
            self.lease_held = held
            self.lease_since = now
            logs.lease(held, self.lease.remaining_s(now), self.version)

    def _count_unheld(self, now: float) -> None:
        """Count for how long keys of ours are not served."""
        passed_s, self.counted_at = now - self.counted_at, now
        owned = sum(one.size for one in self.mine)
        unheld = max(0, owned - self.held.size(now))
        self.unheld_s += passed_s * unheld / route_table.KEY_COUNT

    # The object.

    async def _read(self) -> None:
        sent_at = self.time.now()
        self.read_at = sent_at
        heard = self._heard_from_members()
        try:
            found = await self.objects.get(self.object_name)
            self.unable = False
        except store.StoreError as error:
            self.unable = True
            logs.call_failed(self.object_name, repr(error))
            return
        if found is None:
            self._adopt(Read(ids.NO_VERSION, None), sent_at)
            return
        try:
            ownership = key_ranges.decode(found.body)
        except msgspec.DecodeError as error:
            logs.bad_document(self.object_name, str(error))
            return
        self._adopt(Read(found.version, ownership), sent_at)
        self.read_after = statuses.OwnershipRead(found.version, heard)

    def _heard_from_members(self) -> tuple[statuses.LastReceived, ...]:
        """Return the last status heard of each other member."""
        return tuple(
            statuses.LastReceived(
                statuses.run_hash(peer.status.sender, peer.status.incarnation),
                peer.status.sequence,
            )
            for peer in self.peer_table.of_service(self.settings.service)
            if peer.status.sender != self.settings.name
        )

    def note_sent(self, sequence: int) -> None:
        """Note that a status is sent now: a peer's read may come after it."""
        self.sent_at[sequence] = self.time.now()
        while len(self.sent_at) > STATUSES_KEPT:
            del self.sent_at[next(iter(self.sent_at))]

    def on_status(self, status: statuses.Status) -> None:
        """Take in what a peer has read of the object in the store."""
        newer = status.ownership_version > self.version
        if newer and (
            self.settings.name in status.affected_members or self.planner.plans
        ):
            # For all others the next read is soon enough; if each member
            # read each version, reads would grow with the fleet's square.
            self.poke()
        if newer and self.unable and not self.pulling:
            self.pulling = True
            self.running.start(self._pull(status), "pull")
        sent_at = self._read_after(status.read)
        if status.read is None or sent_at is None:
            return
        self.peers_read_at[status.sender] = sent_at
        if status.read.version == self.version:
            self.lease.renew(sent_at)

    async def _pull(self, status: statuses.Status) -> None:
        """Learn of a newer version from a peer, since the store is closed.

        That proves nothing of what the store holds now, so it renews no
        lease; but peers' reads of that version will, and keys that went to
        others are released at once.
        """
        request = statuses.OwnershipRequest(
            self.settings.service, self.version
        )
        try:
            reply = await self.pull(status.address, request)
            if reply.document:
                ownership = key_ranges.decode(reply.document)
                self._adopt(Read(reply.version, ownership), None)
                logs.ownership_pulled(status.sender, reply.version)
        except rpc_client.CONNECTION_ERRORS as error:
            # The next status that names a newer version asks again.
            logs.call_failed(f"ownership of {status.sender}", repr(error))
        except msgspec.DecodeError as error:
            logs.bad_document(self.object_name, str(error))
        finally:
            self.pulling = False

    def answer(
        self, request: statuses.OwnershipRequest
    ) -> statuses.OwnershipReply:
        """Answer a peer that can't read the store."""
        known = self.read
        if (
            known is None
            or known.ownership is None
            or request.service != self.settings.service
            or known.version <= request.newer_than
        ):
            return statuses.OwnershipReply(self.version, b"")
        document = key_ranges.encode(known.ownership)
        return statuses.OwnershipReply(known.version, document)

    def affected_members(self) -> tuple[ids.MemberId, ...]:
        """Return whose keys this member has lately written anew."""
        since = self.time.now() - CONCERNED_S
        self.wrote_at = {
            member: at for member, at in self.wrote_at.items() if at > since
        }
        return tuple(self.wrote_at)

    def _read_after(self, read: statuses.OwnershipRead | None) -> float | None:
        """Return when we sent the status that a peer's read came after."""
        for one in () if read is None else read.heard:
            if one.run == self.own_run:
                return self.sent_at.get(one.sequence)
        return None

    def _adopt(self, read: Read, sent_at: float | None) -> None:
        """Take a version in: every range of ours is a claim from now on.

        ``sent_at`` is when it was asked for in the store, None if a peer
        told of it.
        """
        if read.version < self.version:
            return
        changed = read.version != self.version
        self.read = read
        if sent_at is not None:
            self.lease.renew(sent_at)
        if read.ownership is None:
            self.mine = []
            return
        self.mine = read.ownership.owned_by(self.settings.name)
        now = self.time.now()
        tokens = {one.token for one in self.mine}
        self.learned = {
            token: self.learned.get(token, now) for token in tokens
        }
        if changed:
            self.version_changed()

    async def _write(self, after: key_ranges.Ownership) -> bool:
        """Write the next version, if what was read is still the newest.

        Not tried while reads fail: each try would hold up the renewal of
        grants by the timeout of a call.
        """
        if self.read is None or self.unable:
            return False
        replaces = self.read.version
        # Told of also if the answer is lost: the write may have been done.
        concerned = key_ranges.affected_members(self.read.ownership, after)
        self.wrote_at.update(dict.fromkeys(concerned, self.time.now()))
        sent_at = self.time.now()
        try:
            version = await self.objects.put(
                self.object_name, key_ranges.encode(after), replaces
            )
        except store.StoreError as error:
            # Whatever became of it, the next read shows.
            self.read_at = float("-inf")
            logs.write_failed(self.object_name, repr(error))
            return False
        self._adopt(Read(version, after), sent_at)
        return True

    # The server's keys.

    async def _follow(self, ownership: key_ranges.Ownership) -> None:
        """Bring the server's keys in line with what was read."""
        now = self.time.now()
        run = self.held.run
        if not run:
            return
        for place in self.issued_grants.run_changed(run):
            self._free(place, "")
        mine = self.mine
        if any(one.holder.run != run for one in mine):
            if self.tracker.ready(now):
                me = key_ranges.Holder(self.settings.name, run)
                after = key_ranges.regrant_to_new_run(ownership, me)
                if after is not None and await self._write(after):
                    return
            mine = [one for one in mine if one.holder.run == run]
        if ownership is not self.followed:
            self.followed = ownership
            self._drop(ownership, mine)
        held = {
            (old.first, old.last, old.token): old for old in self.held.ranges
        }
        for one in mine:
            await self._hold(one, held.get((one.first, one.last, one.token)))
        await self._settle()

    def _drop(
        self,
        ownership: key_ranges.Ownership,
        mine: list[key_ranges.Range],
    ) -> None:
        """Stop using what is not ours any more, and release it."""
        before = self.held.ranges
        kept = [
            held_keys.GrantedRange(*shared, one.token, old.until)
            for one in mine
            for old in before
            if old.token == one.token
            and (
                shared := key_ranges.overlap(
                    one.first, one.last, old.first, old.last
                )
            )
        ]
        if kept != before:
            self.held.set(kept)
            self.changed()
        for place in self.issued_grants.replaced(ownership):
            if place not in self.releasing:
                self.releasing.add(place)
                self.running.start(self._release(place), "release")

    def _free(self, place: issued_grants.Place, handover: str) -> None:
        """Have the next write say that an earlier grant is over.

        Unless a grant without an answer may be carried out yet.
        """
        if self.time.now() < self.uncertain_until:
            return
        first, last, token = place
        until = self.time.now() + self.settings.times.wait_s
        self.freed.append(
            issued_grants.ReleasedGrant(first, last, token, handover, until)
        )
        self.wakeup.set()

    async def _release(self, place: issued_grants.Place) -> None:
        """Take keys back from the server and let the next owner know."""
        first, last, token = place
        try:
            orders = self.orders()
            if orders is None:
                return
            outcome = await orders.release(first, last, token)
            logs.keys_released(first, last, token, outcome.detail)
            if outcome.done:
                self._free(place, outcome.handover)
        except connections.CommandNotSentError as error:
            logs.order_failed("release", first, last, repr(error))
            if error.ended:
                # Nothing listens there: the run has ended, and holds nothing.
                self._free(place, "")
        except connections.CommandLostError as error:
            logs.order_failed("release", first, last, repr(error))
        finally:
            self.releasing.discard(place)

    async def _hold(
        self, one: key_ranges.Range, old: held_keys.GrantedRange | None
    ) -> None:
        """Grant one range to the server, or renew it, where it is time.

        ``old`` is its grant so far, if there is one for just this range.
        """
        now = self.time.now()
        times = self.settings.times
        learned_at = self.learned.get(one.token, now)
        if not one.released and now < learned_at + times.wait_s:
            return
        hold_s = self.lease.grant_duration_s(now, self.settings.max_hold_s)
        if old is not None and old.until - now > RENEW_BELOW * times.lease_s:
            return
        if hold_s < LEAST_HOLD_S or (
            old is not None and now + hold_s <= old.until
        ):
            return
        await self._grant(one, hold_s)

    async def _grant(self, one: key_ranges.Range, hold_s: float) -> None:
        orders = self.orders()
        if orders is None:
            return
        run = self.held.run
        given = key_grants.KeyGrant(
            one.first, one.last, one.token, hold_s, one.handover
        )
        sent_at = self.time.now()
        self.issued_grants.note(one)
        try:
            outcome = await orders.grant(given)
        except connections.CommandNotSentError as error:
            logs.order_failed("grant", one.first, one.last, repr(error))
            return
        except connections.CommandLostError as error:
            self.uncertain_until = max(
                self.uncertain_until,
                sent_at + hold_s * (1 + self.settings.times.drift),
            )
            logs.order_failed("grant", one.first, one.last, repr(error))
            return
        if not outcome.done:
            logs.order_failed("grant", one.first, one.last, outcome.detail)
            self.poke()
            return
        if run == self.held.run and self._still_ours(one):
            self._note_held(one, sent_at + hold_s)

    def _still_ours(self, one: key_ranges.Range) -> bool:
        """Tell whether the object still gives a range to us."""
        return any(
            now.token == one.token
            and now.first <= one.first
            and one.last <= now.last
            for now in self.mine
        )

    def _note_held(self, one: key_ranges.Range, until: float) -> None:
        others = [
            held
            for held in self.held.ranges
            if held.last < one.first or one.last < held.first
        ]
        new = len(others) == len(self.held.ranges)
        fresh = held_keys.GrantedRange(one.first, one.last, one.token, until)
        self.held.set([*others, fresh])
        if new:
            hold_s = until - self.time.now()
            logs.keys_granted(one.first, one.last, one.token, hold_s)
            self.changed()

    async def _settle(self) -> None:
        """Write which keys are free of earlier holders, all in one write.

        Those that this process has released, for their next owners; and its
        own for which it has waited, so that a later start need not wait.
        """
        if self.read is None or self.read.ownership is None:
            return
        before = self.read.ownership
        after = before
        for freed in self.freed:
            after = freed.mark_released_in(after)
        now = self.time.now()
        for one in after.owned_by(self.settings.name):
            learned_at = self.learned.get(one.token, now)
            waited = now >= learned_at + self.settings.times.wait_s
            held = self.held.holds(one.first, now)
            if waited and held and not one.released:
                after = (
                    key_ranges.mark_released(
                        after, one.first, one.last, one.token
                    )
                    or after
                )
        if after is before or await self._write(after):
            self.freed = [one for one in self.freed if one.until > now]

    async def _plan(self, ownership: key_ranges.Ownership | None) -> None:
        """Write the next plan, if that is for this member to do."""
        now = self.time.now()
        if not self.lease.holds(now):
            return
        after = self.planner.next(
            ownership, now, self.peers_read_at, self.lease_since
        )
        if after is not None and await self._write(after):
            self.planner.written(after, now)

    async def stop(self) -> None:
        """End what is running."""
        await self.running.stop()
