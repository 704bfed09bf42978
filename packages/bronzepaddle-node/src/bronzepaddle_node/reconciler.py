"""Reconciles the backend server's key grants with the ownership object.

Runs in every process whose backend server belongs to a service that is sharded
by key; these processes are the members of the service.  The ownership object
in the store assigns each range of keys to a member.  Each periodic read of the
object renews the lease of this process, which limits the time for which it may
act on what it read.  Ranges that the object assigns to this member are granted
to the server, for a limited time, once no earlier holder can serve them.  The
server is told to release ranges that were reassigned, and the release is
recorded in the object.  ``planning`` computes the next assignment; the first
member of the service by name writes it.
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
from bronzepaddle_backend import (
    connections,
    key_grants,
    key_reports,
    server_tracker,
)
from bronzepaddle_peers import rpc_client, statuses
from bronzepaddle_store import store

from bronzepaddle_node import (
    held_keys,
    issued_grants,
    peer_table,
    planning,
    reported_grants,
    tasks,
)

TICK_S: typing.Final = 0.1
"""Interval at which the grants are compared with the ownership."""

MAX_RECORDED_STATUSES: typing.Final = 64
"""Number of sent statuses whose send time is remembered."""

AFFECTED_MEMBERS_S: typing.Final = 1.5
"""Time for which statuses name the members affected by a write: several status
intervals, because datagrams may be lost."""

MIN_HOLD_S: typing.Final = 0.1
"""Minimum duration of a grant; a shorter one is not worth a command."""

RELEASE_RETRY_S: typing.Final = 0.5
"""Pause before a release that the server didn't answer is sent again."""

RENEW_BELOW_SHARE: typing.Final = 0.45
"""A grant is renewed once its remaining time is less than this share of the
longest time of a grant."""


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of the reconciler; times are in seconds.

    ``max_hold_s`` limits how long one grant lets the server hold keys.
    ``first_start`` is set when the whole system starts for the first time.
    """

    name: ids.MemberId
    incarnation: ids.Incarnation
    service: ids.ServiceName
    times: store_leases.StoreLeaseTimes
    max_hold_s: float
    first_start: bool


PullOwnership: typing.TypeAlias = collections.abc.Callable[
    [cells.Address, statuses.OwnershipRequest],
    collections.abc.Awaitable[statuses.OwnershipReply],
]
"""Pulls a newer ownership from a peer.

Raises one of ``rpc_client.CONNECTION_ERRORS``.
"""


@dataclasses.dataclass(frozen=True)
class VersionedOwnership:
    """A version of the ownership object; None if it does not exist yet."""

    version: ids.ObjectVersion
    ownership: key_ranges.Ownership | None


class OwnershipReconciler:
    """Keeps one backend server's key grants in line with the ownership."""

    def __init__(
        self,
        settings: Settings,
        object_store: store.Store,
        tracker: server_tracker.Tracker,
        held: held_keys.HeldKeys,
        peers: peer_table.PeerTable,
        get_commands: collections.abc.Callable[
            [], key_grants.KeyGrantCommands | None
        ],
        on_held_changed: collections.abc.Callable[[], None],
        on_version_changed: collections.abc.Callable[[], None],
        pull_ownership: PullOwnership,
        clock: clocks.Clock,
    ) -> None:
        self.settings = settings
        self.object_store = object_store
        self.tracker = tracker
        self.held = held
        self.peer_table = peers
        self.get_commands = get_commands
        self.on_held_changed = on_held_changed
        self.on_version_changed = on_version_changed
        self.pull_ownership = pull_ownership
        # Whether the last read of the store failed, and whether the
        # ownership is being pulled from a peer.
        self.store_unreachable = False
        self.pulling = False
        self.clock = clock
        self.own_run_hash = statuses.run_hash(
            settings.name, settings.incarnation
        )
        self.lease = store_leases.StoreLease(settings.times)
        self.latest: VersionedOwnership | None = None
        # The ranges that the latest known ownership assigns to this member.
        self.own_ranges: list[key_ranges.Range] = []
        self.last_read_at = float("-inf")
        self.last_read: statuses.OwnershipRead | None = None
        self.status_sent_at: dict[int, float] = {}
        # Per peer, a lower bound for the time of its last read, taken from
        # its last status.
        self.peers_read_at: dict[ids.MemberId, float] = {}
        self.started_at = clock.now()
        # Per member, when a write of this process last changed its keys.
        self.affected_at: dict[ids.MemberId, float] = {}
        # Per token of an own range, when this process first saw it.
        self.first_seen_at: dict[ids.Token, float] = {}
        # When a command last found no connection to the server.
        self.not_connected_at = float("-inf")
        # The tokens of the ranges that were granted to another run of the
        # server since the start.
        self.regrant_tokens: set[ids.Token] = set()
        # Until then a grant whose response did not arrive may still take
        # effect.  An earlier run of this process may have sent such grants.
        self.uncertain_until = self.started_at + settings.times.wait_s
        self.released_grants: list[issued_grants.ReleasedGrant] = []
        self.releasing: set[issued_grants.IssuedGrant] = set()
        self.issued_grants = issued_grants.IssuedGrants()
        self.reported_grants = reported_grants.ReportedGrants()
        # The ownership that was last compared with the server's grants.
        self.applied_ownership: key_ranges.Ownership | None = None
        self.wakeup = asyncio.Event()
        self.background_tasks = tasks.Tasks()
        self.planner = planning.Planner(
            settings.name,
            settings.service,
            settings.first_start,
            peers,
            self.started_at,
        )
        self.lease_was_held = False
        self.lease_since = float("-inf")
        # The seconds for which own keys were not held by the server, weighted
        # by their share of all keys, and the time up to which they are
        # counted.
        self.unheld_s = 0.0
        self.unheld_counted_at = self.started_at

    @property
    def version(self) -> ids.ObjectVersion:
        """Return the latest known version of the ownership object."""
        return ids.NO_VERSION if self.latest is None else self.latest.version

    @property
    def object_name(self) -> str:
        """Return the name of the ownership object in the store."""
        return f"ownership/{self.settings.service}"

    def read_soon(self) -> None:
        """Read the object at the next step, without waiting for its time."""
        self.last_read_at = float("-inf")
        self.wakeup.set()

    async def run(
        self, get_table: collections.abc.Callable[[], route_table.Table | None]
    ) -> None:
        """Reconcile periodically while the service is sharded by key."""
        while True:
            current_table = get_table()
            service_rules = current_table and current_table.services.get(
                self.settings.service
            )
            if service_rules and service_rules.keyed:
                await tasks.log_exceptions(self._step(), "keys")
            try:
                async with asyncio.timeout(TICK_S):
                    await self.wakeup.wait()
            except TimeoutError:
                continue
            self.wakeup.clear()

    async def _step(self) -> None:
        now = self.clock.now()
        self._count_unheld(now)
        if now - self.last_read_at >= self.settings.times.read_interval_s:
            await self._read_store()
        self._log_lease_change()
        if self.latest is None:
            return
        ownership = self.latest.ownership
        if ownership is not None:
            await self._reconcile(ownership)
        await self._plan(ownership)

    def _log_lease_change(self) -> None:
        """Log when the lease has started or expired."""
        now = self.clock.now()
        held = self.lease.holds(now)
        if held != self.lease_was_held:
            self.lease_was_held = held
            self.lease_since = now
            logs.lease(held, self.lease.remaining_s(now), self.version)

    def _count_unheld(self, now: float) -> None:
        """Increase ``unheld_s`` for the time since the last call.

        The time is weighted by the share of all keys that this member owns
        although its server does not hold them.
        """
        elapsed_s, self.unheld_counted_at = now - self.unheld_counted_at, now
        owned = sum(key_range.size for key_range in self.own_ranges)
        unheld = max(0, owned - self.held.size(now))
        self.unheld_s += elapsed_s * unheld / route_table.KEY_COUNT

    # The ownership object.

    async def _read_store(self) -> None:
        """Read the object and renew the lease from the time of the read.

        The last status received from each member before the read is recorded
        with it, because the read may renew the lease of that member as well.
        """
        sent_at = self.clock.now()
        self.last_read_at = sent_at
        last_received = self._last_received()
        try:
            stored = await self.object_store.get(self.object_name)
            self.store_unreachable = False
        except store.StoreError as error:
            self.store_unreachable = True
            logs.call_failed(self.object_name, repr(error))
            return
        if stored is None:
            self._adopt(VersionedOwnership(ids.NO_VERSION, None), sent_at)
            return
        try:
            ownership = key_ranges.decode(stored.body)
        except msgspec.DecodeError as error:
            logs.bad_document(self.object_name, str(error))
            return
        self._adopt(VersionedOwnership(stored.version, ownership), sent_at)
        self.last_read = statuses.OwnershipRead(stored.version, last_received)

    def _last_received(self) -> tuple[statuses.LastReceived, ...]:
        """Return the last status received from each other member."""
        return tuple(
            statuses.LastReceived(
                statuses.run_hash(peer.status.sender, peer.status.incarnation),
                peer.status.sequence,
            )
            for peer in self.peer_table.of_service(self.settings.service)
            if peer.status.sender != self.settings.name
        )

    def record_status_sent(self, sequence: int) -> None:
        """Record when a status is sent; a peer's read may refer to it."""
        self.status_sent_at[sequence] = self.clock.now()
        while len(self.status_sent_at) > MAX_RECORDED_STATUSES:
            del self.status_sent_at[next(iter(self.status_sent_at))]

    def on_status(self, status: statuses.Status) -> None:
        """Process the version and the read that a peer's status reports.

        A peer's read of the current version also renews the lease of this
        process, from the time of its last status that the peer had received
        before it read.
        """
        newer = status.ownership_version > self.version
        if newer and (
            self.settings.name in status.affected_members
            or self.planner.is_planner
        ):
            # For all others the next periodic read is soon enough.  If each
            # member read each version at once, the number of reads would
            # grow quadratically with the fleet.
            self.read_soon()
        if newer and self.store_unreachable and not self.pulling:
            self.pulling = True
            self.background_tasks.start(self._pull(status), "pull")
        sent_at = self._own_status_sent_at(status.read)
        if status.read is None or sent_at is None:
            return
        self.peers_read_at[status.sender] = sent_at
        if status.read.version == self.version:
            self.lease.renew(sent_at)

    async def _pull(self, status: statuses.Status) -> None:
        """Pull a newer version from a peer while the store is unreachable.

        A pull does not show which version is in the store now, so it renews
        no lease.  But later reads of that version by peers do, and keys that
        were reassigned are released at once.
        """
        request = statuses.OwnershipRequest(
            self.settings.service, self.version
        )
        try:
            reply = await self.pull_ownership(status.address, request)
            if reply.document:
                ownership = key_ranges.decode(reply.document)
                self._adopt(VersionedOwnership(reply.version, ownership), None)
                logs.ownership_pulled(status.sender, reply.version)
        except rpc_client.CONNECTION_ERRORS as error:
            # The next status that names a newer version triggers a retry.
            logs.call_failed(f"ownership of {status.sender}", repr(error))
        except msgspec.DecodeError as error:
            logs.bad_document(self.object_name, str(error))
        finally:
            self.pulling = False

    def on_pull(
        self, request: statuses.OwnershipRequest
    ) -> statuses.OwnershipReply:
        """Return the ownership for a peer that can't read the store.

        The document is empty if no newer version is known here.
        """
        latest = self.latest
        if (
            latest is None
            or latest.ownership is None
            or request.service != self.settings.service
            or latest.version <= request.newer_than
        ):
            return statuses.OwnershipReply(self.version, b"")
        document = key_ranges.encode(latest.ownership)
        return statuses.OwnershipReply(latest.version, document)

    def affected_members(self) -> tuple[ids.MemberId, ...]:
        """Return the members whose keys this process changed recently."""
        since = self.clock.now() - AFFECTED_MEMBERS_S
        self.affected_at = {
            member: at for member, at in self.affected_at.items() if at > since
        }
        return tuple(self.affected_at)

    def _own_status_sent_at(
        self, read: statuses.OwnershipRead | None
    ) -> float | None:
        """Return when this process sent the status that a read refers to.

        It is the last one that the peer had received before it read.  None if
        the read lists no status of this run, or one that is too old to be
        remembered.
        """
        for last_received in () if read is None else read.heard:
            if last_received.run == self.own_run_hash:
                return self.status_sent_at.get(last_received.sequence)
        return None

    def _adopt(
        self, candidate: VersionedOwnership, sent_at: float | None
    ) -> None:
        """Make a version the latest known one, unless it is older.

        The wait before an own range may be granted starts when its token is
        first seen here.  ``sent_at`` is when the read or write was sent to the
        store, None if the version came from a peer.
        """
        if candidate.version < self.version:
            return
        changed = candidate.version != self.version
        self.latest = candidate
        if sent_at is not None:
            self.lease.renew(sent_at)
        if candidate.ownership is None:
            self.own_ranges = []
            return
        self.own_ranges = candidate.ownership.owned_by(self.settings.name)
        now = self.clock.now()
        tokens = {key_range.token for key_range in self.own_ranges}
        self.first_seen_at = {
            token: self.first_seen_at.get(token, now) for token in tokens
        }
        if changed:
            self.on_version_changed()

    async def _write(self, after: key_ranges.Ownership) -> bool:
        """Write the next version, if the latest known one is still current.

        Does not try while reads fail: each attempt would delay the renewal
        of grants by the timeout of a call.
        """
        if self.latest is None or self.store_unreachable:
            return False
        replaced_version = self.latest.version
        # Recorded before the write, because it may take effect even if its
        # response is lost.
        affected = key_ranges.members_with_changed_ranges(
            self.latest.ownership, after
        )
        self.affected_at.update(dict.fromkeys(affected, self.clock.now()))
        sent_at = self.clock.now()
        try:
            version = await self.object_store.put(
                self.object_name, key_ranges.encode(after), replaced_version
            )
        except store.StoreError as error:
            # The next read shows whether the write took effect.
            self.last_read_at = float("-inf")
            logs.write_failed(self.object_name, repr(error))
            return False
        self._adopt(VersionedOwnership(version, after), sent_at)
        return True

    # The server's grants.

    async def _reconcile(self, ownership: key_ranges.Ownership) -> None:
        """Bring the server's grants in line with an ownership."""
        now = self.clock.now()
        run = self.held.run
        if not run:
            return
        # Ranges of an earlier run must be assigned to this run in the object
        # before they are granted to it.
        if self.tracker.ready(now) and any(
            key_range.holder.run != run for key_range in self.own_ranges
        ):
            holder = key_ranges.Holder(self.settings.name, run)
            after = key_ranges.regrant_to_new_run(ownership, holder)
            # Added before the write, which may take effect without a response.
            self.regrant_tokens.add(ownership.next_token)
            if after is not None and await self._write(after):
                return
            if self.held.run != run:
                # Announced while the write was waiting.
                return
        own_ranges = self._apply(ownership, run)
        if not self._takes_grants_by_report():
            await self._grant_all(own_ranges)
        self._record_expired()
        await self._write_releases()

    def _apply(
        self, ownership: key_ranges.Ownership, run: str
    ) -> list[key_ranges.Range]:
        """Stop using what an ownership has reassigned.

        Returns the ranges that it assigns to this run of the server.
        """
        self.issued_grants.set_run(run)
        if self.reported_grants.run != run:
            self.reported_grants = reported_grants.ReportedGrants(run)
        own_ranges = [
            key_range
            for key_range in self.own_ranges
            if key_range.holder.run == run
        ]
        if ownership is not self.applied_ownership:
            self.applied_ownership = ownership
            self._drop_reassigned(ownership, own_ranges)
        return own_ranges

    def _takes_grants_by_report(self) -> bool:
        """Return whether the server reports its keys and takes no commands."""
        latest = self.tracker.latest
        return latest is not None and latest.announcement.keys is not None

    async def _grant_all(self, own_ranges: list[key_ranges.Range]) -> None:
        """Send the commands that grant ranges to the server."""
        held = {
            (current.first, current.last, current.token): current
            for current in self.held.ranges
        }
        for key_range in own_ranges:
            if not self._announced_since_refusal():
                return
            if not self._still_owned(key_range):
                # Reassigned, or another run was announced, since the last
                # grant was sent.
                continue
            await self._grant_if_due(
                key_range,
                held.get((key_range.first, key_range.last, key_range.token)),
            )

    def _announced_since_refusal(self) -> bool:
        """Return whether the server was heard of after it refused a command.

        Until then another run may listen at its address, which must not get
        the grants of this one.
        """
        latest = self.tracker.latest
        return latest is not None and (
            latest.received_at > self.not_connected_at
        )

    def on_report(
        self, report: key_reports.KeyReport
    ) -> key_reports.HoldOrder | None:
        """Return what the server may hold after the newest report of its run.

        The grants count from the sending of the report, so they end before
        the lease, which counts on from now.  None if there is no lease.
        """
        now, run = self.clock.now(), self.held.run
        ownership = None if self.latest is None else self.latest.ownership
        hold_s = self.lease.grant_duration_s(now, self.settings.max_hold_s)
        own_ranges = [] if ownership is None else self._apply(ownership, run)
        for release in self.reported_grants.record(report, now):
            logs.keys_released(*release.grant, "reported")
            self._confirm_release(release.grant, release.handover)
        if ownership is None or hold_s < MIN_HOLD_S:
            return None
        free = [
            key_range
            for key_range in own_ranges
            if self._is_free(key_range, now)
        ]
        self._use_ordered(free, report, now + hold_s)
        grants = tuple(
            key_grants.KeyGrant(
                key_range.first,
                key_range.last,
                key_range.token,
                hold_s,
                now,
                key_range.handover,
            )
            for key_range in free
        )
        return key_reports.HoldOrder(grants, hold_s)

    def _use_ordered(
        self,
        ordered: list[key_ranges.Range],
        report: key_reports.KeyReport,
        until: float,
    ) -> None:
        """Let requests use the ranges of an order, as far as accepted."""
        order_s = until - self.clock.now()
        held_before = {
            (held.first, held.last, held.token) for held in self.held.ranges
        }
        usable = []
        for key_range in ordered:
            self._record_issued(
                key_range, until + order_s * self.settings.times.drift
            )
            grant = (key_range.first, key_range.last, key_range.token)
            if self.reported_grants.accepted(grant, report):
                usable.append(held_keys.GrantedRange(*grant, until))
                if grant not in held_before:
                    logs.keys_granted(*grant, until - self.clock.now())
        self.reported_grants.ordered = {
            (key_range.first, key_range.last, key_range.token)
            for key_range in ordered
        }
        if len(usable) < len(ordered):
            # Perhaps the server has seen a higher token.
            self.read_soon()
        self.held.set(usable)
        if held_before != {
            (held.first, held.last, held.token) for held in usable
        }:
            self.on_held_changed()

    def _drop_reassigned(
        self,
        ownership: key_ranges.Ownership,
        own_ranges: list[key_ranges.Range],
    ) -> None:
        """Send no more requests for reassigned ranges, and release them."""
        held_before = self.held.ranges
        kept = [
            held_keys.GrantedRange(*shared, key_range.token, held_range.until)
            for key_range in own_ranges
            for held_range in held_before
            if held_range.token == key_range.token
            and (
                shared := key_ranges.overlap(
                    key_range.first,
                    key_range.last,
                    held_range.first,
                    held_range.last,
                )
            )
        ]
        if kept != held_before:
            self.held.set(kept)
            self.on_held_changed()
        for grant in self.issued_grants.pop_replaced(ownership):
            if self._takes_grants_by_report():
                until = self.clock.now() + self.settings.times.wait_s
                self.reported_grants.await_release(grant, until)
            elif grant not in self.releasing:
                self.releasing.add(grant)
                self.background_tasks.start(self._release(grant), "release")

    def _confirm_release(
        self, grant: issued_grants.IssuedGrant, handover: str
    ) -> None:
        """Record a release that the server has confirmed.

        ``handover`` is the data that it passes to the next holder.  While a
        grant of unknown outcome may still take effect after the release, only
        the end of its time shows that the grant is over.
        """
        if self.clock.now() < self.uncertain_until:
            return
        held_until = self.issued_grants.confirm_release(grant)
        self._record_released(
            grant, handover, issued_grants.Evidence.RELEASED, held_until
        )

    def _record_released(
        self,
        grant: issued_grants.IssuedGrant,
        handover: str,
        evidence: issued_grants.Evidence,
        held_until: float,
    ) -> None:
        """Let the next write mark an earlier grant as released."""
        now = self.clock.now()
        first, last, token = grant
        logs.grant_ended(
            first, last, token, evidence.value, max(0.0, held_until - now)
        )
        until = now + self.settings.times.wait_s
        self.released_grants.append(
            issued_grants.ReleasedGrant(first, last, token, handover, until)
        )
        self.wakeup.set()

    def _record_expired(self) -> None:
        """Let the next write mark the grants whose time is over as released.

        Not while a grant of unknown outcome may still take effect.
        """
        now = self.clock.now()
        if now < self.uncertain_until:
            return
        for grant in self.issued_grants.pop_expired(now):
            self._record_released(
                grant, "", issued_grants.Evidence.EXPIRED, now
            )

    async def _release(self, grant: issued_grants.IssuedGrant) -> None:
        """Tell the server to release keys until it answers.

        Gives up once the time of the grant is over, the server has another
        run, or its keys are assigned to this member again.
        """
        try:
            while (
                self.issued_grants.is_ending(grant, self.held.run)
                and not self._owns_any(grant)
                and not await self._try_release(grant)
            ):
                await self.clock.sleep(RELEASE_RETRY_S)
        finally:
            self.releasing.discard(grant)

    def _owns_any(self, grant: issued_grants.IssuedGrant) -> bool:
        """Return whether any key of a grant is assigned to this member."""
        first, last, _ = grant
        return any(
            key_ranges.overlap(first, last, own.first, own.last) is not None
            for own in self.own_ranges
        )

    async def _try_release(self, grant: issued_grants.IssuedGrant) -> bool:
        """Tell the server to release keys; return whether it has answered."""
        commands = self.get_commands()
        if commands is None:
            return False
        first, last, token = grant
        try:
            outcome = await commands.release(first, last, token)
        except (
            connections.CommandNotSentError,
            connections.CommandLostError,
        ) as error:
            logs.order_failed("release", first, last, repr(error))
            self._record_not_connected(error)
            return False
        logs.keys_released(first, last, token, outcome.detail)
        if not self.issued_grants.is_ending(grant, self.held.run):
            # The answer may be that of another run.
            return True
        if outcome.done:
            self._confirm_release(grant, outcome.handover)
        return outcome.done

    async def _grant_if_due(
        self,
        key_range: key_ranges.Range,
        current: held_keys.GrantedRange | None,
    ) -> None:
        """Grant a range to the server, or renew its grant, if that is due.

        ``current`` is the grant of exactly this range, if there is one.
        """
        now = self.clock.now()
        times = self.settings.times
        if not self._is_free(key_range, now):
            return
        longest_hold_s = min(self.settings.max_hold_s, times.command_hold_s)
        hold_s = self.lease.grant_duration_s(now, longest_hold_s)
        if (
            current is not None
            and current.until - now > RENEW_BELOW_SHARE * longest_hold_s
        ):
            return
        if hold_s < MIN_HOLD_S or (
            current is not None and now + hold_s <= current.until
        ):
            return
        await self._grant(key_range, hold_s, now)

    def _is_free(self, key_range: key_ranges.Range, now: float) -> bool:
        """Return whether no earlier holder can serve an own range any more.

        An earlier run of this member's server counts as one too.
        """
        if self.issued_grants.held_by_earlier_run(key_range, now):
            return False
        if (
            key_range.token in self.regrant_tokens
            and now < self.started_at + self._longest_wait_s()
        ):
            # An earlier process may have granted them to the earlier run.
            return False
        first_seen_at = self.first_seen_at.get(key_range.token, now)
        wait_ends_at = first_seen_at + self.settings.times.wait_s
        return key_range.released or now >= wait_ends_at

    def _longest_wait_s(self) -> float:
        """Return the wait after which all grants of an earlier process end."""
        times = self.settings.times
        return (
            times.wait_s
            if self._takes_grants_by_report()
            else times.command_wait_s
        )

    async def _grant(
        self, key_range: key_ranges.Range, hold_s: float, now: float
    ) -> None:
        """Grant a range to the server, and record the outcome.

        ``hold_s`` was determined for the time ``now``.
        """
        commands = self.get_commands()
        if commands is None:
            return
        grant = key_grants.KeyGrant(
            key_range.first,
            key_range.last,
            key_range.token,
            hold_s,
            now,
            key_range.handover,
        )
        longest_hold_s = hold_s * (1 + self.settings.times.drift)
        held_until_before = dict(self.issued_grants.held_until)
        self.issued_grants.add(key_range, now + longest_hold_s)
        try:
            outcome = await commands.grant(grant)
        except connections.CommandNotSentError as error:
            self.issued_grants.held_until = held_until_before
            self._record_not_connected(error)
            logs.order_failed(
                "grant", key_range.first, key_range.last, repr(error)
            )
            return
        except connections.CommandLostError as error:
            # Its bytes have left by now, if ever.
            held_until = self.clock.now() + longest_hold_s
            self._record_issued(key_range, held_until)
            self.uncertain_until = max(self.uncertain_until, held_until)
            logs.order_failed(
                "grant", key_range.first, key_range.last, repr(error)
            )
            return
        held_until = self.clock.now() + longest_hold_s
        self._record_issued(key_range, held_until)
        self._log_if_late(key_range, held_until)
        if not outcome.done:
            logs.order_failed(
                "grant", key_range.first, key_range.last, outcome.detail
            )
            self.read_soon()
            return
        if self._still_owned(key_range):
            self._record_grant(key_range, now + hold_s)

    def _record_not_connected(self, error: Exception) -> None:
        """Record when a command found no connection to the server."""
        if isinstance(error, connections.NotConnectedError):
            self.not_connected_at = self.clock.now()

    def _record_issued(
        self, key_range: key_ranges.Range, held_until: float
    ) -> None:
        """Record a grant that the server may hold until ``held_until``.

        An earlier release of the same grant doesn't count any more.
        """
        self.issued_grants.add(key_range, held_until)
        self.released_grants = [
            released
            for released in self.released_grants
            if released.token != key_range.token
            or key_ranges.overlap(
                released.first, released.last, key_range.first, key_range.last
            )
            is None
        ]

    def _log_if_late(
        self, key_range: key_ranges.Range, held_until: float
    ) -> None:
        """Log a grant that may outlast the lease, as of its response."""
        late_s = held_until - self.lease.valid_until
        if late_s > 0:
            logs.grant_late(
                key_range.first, key_range.last, key_range.token, late_s
            )

    def _still_owned(self, key_range: key_ranges.Range) -> bool:
        """Return whether a range is still assigned to the server's run."""
        return any(
            own_range.token == key_range.token
            and own_range.holder.run == self.held.run
            and own_range.first <= key_range.first
            and key_range.last <= own_range.last
            for own_range in self.own_ranges
        )

    def _record_grant(self, key_range: key_ranges.Range, until: float) -> None:
        """Let requests use a range, whose grant the server has confirmed."""
        disjoint = [
            held
            for held in self.held.ranges
            if held.last < key_range.first or key_range.last < held.first
        ]
        newly_held = len(disjoint) == len(self.held.ranges)
        granted_range = held_keys.GrantedRange(
            key_range.first, key_range.last, key_range.token, until
        )
        self.held.set([*disjoint, granted_range])
        if newly_held:
            hold_s = until - self.clock.now()
            logs.keys_granted(
                key_range.first, key_range.last, key_range.token, hold_s
            )
            self.on_held_changed()

    async def _write_releases(self) -> None:
        """Mark keys as released by earlier holders, all in one write.

        Marks the keys that this process has released, for their next owners.
        Also marks its own keys once the wait for earlier holders is over, so
        that it need not wait for them again after a restart.
        """
        if self.latest is None or self.latest.ownership is None:
            return
        before = self.latest.ownership
        after = before
        for released in self.released_grants:
            after = released.mark_released_in(after)
        now = self.clock.now()
        for key_range in after.owned_by(self.settings.name):
            first_seen_at = self.first_seen_at.get(key_range.token, now)
            wait_is_over = now >= first_seen_at + self.settings.times.wait_s
            held = self.held.holds(key_range.first, now)
            if wait_is_over and held and not key_range.released:
                after = (
                    key_ranges.mark_released(
                        after, key_range.first, key_range.last, key_range.token
                    )
                    or after
                )
        if after is before or await self._write(after):
            self.released_grants = [
                released
                for released in self.released_grants
                if released.until > now
            ]

    async def _plan(self, ownership: key_ranges.Ownership | None) -> None:
        """Write the next assignment, if this member is the planner."""
        now = self.clock.now()
        if not self.lease.holds(now):
            return
        after = self.planner.next_ownership(
            ownership, now, self.peers_read_at, self.lease_since
        )
        if after is not None and await self._write(after):
            self.planner.record_written(after, now)

    async def stop(self) -> None:
        """Cancel the running pulls and releases."""
        await self.background_tasks.stop()
