"""The view that a member has of its service's ownership object.

The ownership object in the store assigns each range of keys to a member of the
service.  ``OwnershipView`` holds the latest version that this member knows and
the lease under which the member may act on it.  Reads and writes of the store
renew the lease, and so do reads by peers, which their statuses report.  A
version whose content is of an earlier era of the store is not in force
(``restoration``): it is not adopted and renews no lease.
``reconciler`` reads and writes through it; ``server_grants`` asks it what this
member owns and until when it may act as the owner.
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
    key_digests,
    key_ranges,
    logs,
    store_leases,
    store_versions,
)
from bronzepaddle.load import store_reads
from bronzepaddle_peers import rpc_client, statuses
from bronzepaddle_store import store

from bronzepaddle_node import peer_pulls, peer_table
from bronzepaddle_node.keys import member_settings, restoration

MAX_RECORDED_STATUSES: typing.Final = 64
"""Number of sent statuses whose send time is remembered."""

AFFECTED_MEMBERS_S: typing.Final = 1.5
"""Time for which statuses name the members affected by a write: several status
intervals, because datagrams may be lost."""

NEVER: typing.Final = float("-inf")
"""The time of a read that has not been, or that is to be made anew."""

REPORT_READ_S: typing.Final = 2.0
"""Time for which statuses report the last read: several status intervals,
because datagrams may be lost."""

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

    version: store_versions.StoreVersion
    ownership: key_ranges.Ownership | None

    def in_force(self) -> bool:
        """Return whether the content was written in the era of the version.

        In an era after the first, an object that does not exist may have been
        lost.
        """
        era = ids.FIRST_ERA if self.ownership is None else self.ownership.era
        return era == self.version.era


class OwnershipView:
    """The latest known ownership of one service, with this member's lease.

    ``wakeup`` is set when the object should be read before its time.
    ``on_version_changed`` is called with each new version.
    """

    def __init__(
        self,
        settings: member_settings.MemberSettings,
        object_store: store.Store,
        peers: peer_table.PeerTable,
        on_version_changed: collections.abc.Callable[[], None],
        pull_ownership: PullOwnership,
        wakeup: asyncio.Event,
        clock: clocks.Clock,
    ) -> None:
        self.settings = settings
        self.object_store = object_store
        self.peer_table = peers
        self.on_version_changed = on_version_changed
        self.pull_ownership = pull_ownership
        self.wakeup = wakeup
        self.clock = clock
        # Whether the last read of the store failed.
        self.store_unreachable = False
        self.pulls = peer_pulls.PeerPulls(self._should_pull, self._pull)
        self.own_run_hash = statuses.run_hash(
            settings.name, settings.incarnation
        )
        self.lease = store_leases.StoreLease(settings.times)
        self.restoration = restoration.Restoration(settings.times)
        self.latest: VersionedOwnership | None = None
        # The ranges that the latest known ownership assigns to this member.
        self.own_ranges: list[key_ranges.Range] = []
        self.last_read_at = NEVER
        # The latest known era when the last read ended.
        self.read_in_era = ids.FIRST_ERA
        self.last_read: statuses.OwnershipRead | None = None
        self.own_keys_digest = key_digests.UNKNOWN
        # The newest version that a peer has reported since the last read.
        self.newest_reported = store_versions.NO_VERSION
        # Since when a newer one than the latest known has been reported.
        self.newer_since = float("inf")
        self.status_sent_at: dict[int, float] = {}
        # Per peer, a lower bound for the time of its last read, taken from
        # its last status.
        self.peers_read_at: dict[ids.MemberId, float] = {}
        # Per member, when a write of this process last changed its keys.
        self.affected_at: dict[ids.MemberId, float] = {}
        # Per token of an own range, when this process first saw it.
        self.first_seen_at: dict[ids.Token, float] = {}

    @property
    def version(self) -> store_versions.StoreVersion:
        """Return the latest known version of the object that is in force.

        Until the object is restored in a new era, this is the last one known
        of an earlier era.
        """
        if self.latest is None:
            return store_versions.NO_VERSION
        return self.latest.version

    @property
    def object_name(self) -> str:
        """Return the name of the ownership object in the store."""
        return f"ownership/{self.settings.service}"

    def read_soon(self) -> None:
        """Read the object at the next step, without waiting for its time."""
        self.last_read_at = NEVER
        self.wakeup.set()

    def read_is_due(self, is_planner: bool) -> bool:
        """Return whether the object should be read now.

        So it should after ``read_soon``, and once when another call has shown
        a new era.  The planner
        reads as a reader does, since it writes new versions, and so does each
        member while the object is unknown or has to be restored, or while its
        last read has failed.
        """
        if (
            self.object_store.eras.era > self.read_in_era
            or self.last_read_at == NEVER
        ):
            return True
        now = self.clock.now()
        state = store_reads.ReadState(
            is_planner
            or self.latest is None
            or self.restoration.outdated is not None
            or self.store_unreachable
            or self._is_reader(now),
            now - self.last_read_at,
            self.lease.age_s(now),
            now - self.newer_since,
        )
        reason = store_reads.decide(state, self.settings.times)
        return reason is not store_reads.ReadReason.NOT_DUE

    def _is_reader(self, now: float) -> bool:
        """Return whether this member reads for all others."""
        members = self.peer_table.staying_members(self.settings.service, now)
        return self.settings.name in store_reads.readers(
            members | {self.settings.name}, self.settings.readers
        )

    def reported_read(self) -> statuses.OwnershipRead | None:
        """Return the read that the status of this process reports.

        An old one would renew no lease any more.
        """
        read_ago_s = self.clock.now() - self.last_read_at
        return self.last_read if read_ago_s < REPORT_READ_S else None

    async def read_store(self) -> None:
        """Read the object and renew the lease from the time of the read.

        The last status received from each member before the read is recorded
        with it, because the read may renew the lease of that member as well.
        """
        sent_at = self.clock.now()
        self.last_read_at = sent_at
        self.newest_reported = store_versions.NO_VERSION
        self.newer_since = float("inf")
        last_received = self._last_received()
        try:
            stored = await self.object_store.get(self.object_name)
            self.store_unreachable = False
        except store.StoreError as error:
            self.store_unreachable = True
            logs.call_failed(self.object_name, repr(error))
            return
        finally:
            self.read_in_era = self.object_store.eras.era
        if stored is None:
            absent = store_versions.StoreVersion(
                self.object_store.eras.era, ids.NO_VERSION
            )
            self._process_read(VersionedOwnership(absent, None), sent_at)
            return
        try:
            ownership = key_ranges.decode(stored.body)
        except msgspec.DecodeError as error:
            logs.bad_document(self.object_name, str(error))
            return
        self._process_read(
            VersionedOwnership(stored.version, ownership), sent_at
        )
        self.last_read = statuses.OwnershipRead(
            stored.version.revision,
            tuple(self._with_digests(stored.version, last_received)),
            stored.version.era,
        )

    def _process_read(self, read: VersionedOwnership, sent_at: float) -> None:
        """Adopt what was read, or record that it has to be restored."""
        if read.in_force():
            self._adopt(read, sent_at)
        elif read.version > self.version:
            self.restoration.record(
                read.version, read.ownership, self.clock.now()
            )

    def _last_received(self) -> list[statuses.Status]:
        """Return the last status received from each other member."""
        return [
            peer.status
            for peer in self.peer_table.of_service(self.settings.service)
            if peer.status.sender != self.settings.name
        ]

    def _with_digests(
        self,
        version: store_versions.StoreVersion,
        last_received: collections.abc.Iterable[statuses.Status],
    ) -> collections.abc.Iterator[statuses.LastReceived]:
        """Yield what a read of a version says of each received status.

        The digests of keys are unknown if that version is not in force.
        """
        latest = self.latest
        digests: dict[ids.MemberId, key_digests.KeysDigest] = {}
        without_keys = key_digests.UNKNOWN
        if (
            latest is not None
            and latest.version == version
            and latest.ownership is not None
        ):
            digests = key_digests.digests(latest.ownership)
            without_keys = key_digests.digest(())
        for status in last_received:
            yield statuses.LastReceived(
                statuses.run_hash(status.sender, status.incarnation),
                status.sequence,
                digests.get(status.sender, without_keys),
            )

    def record_status_sent(self, sequence: int) -> None:
        """Record when a status is sent; a peer's read may refer to it."""
        self.status_sent_at[sequence] = self.clock.now()
        while len(self.status_sent_at) > MAX_RECORDED_STATUSES:
            del self.status_sent_at[next(iter(self.status_sent_at))]

    def on_status(self, status: statuses.Status, is_planner: bool) -> None:
        """Process the version and the read that a peer's status reports.

        A peer's read of the current version also renews the lease of this
        process, from the time of its last status that the peer had received
        before it read.
        """
        newer = status.store_version > self.version
        if newer:
            self.newer_since = min(self.newer_since, self.clock.now())
        self.newest_reported = max(self.newest_reported, status.store_version)
        if newer and (
            self.settings.name in status.affected_members or is_planner
        ):
            # For all others a read some time later is soon enough.  If each
            # member read each version at once, the number of reads would
            # grow quadratically with the fleet.
            self.read_soon()
        self.pulls.offer(status)
        received = self._own_last_received(status.read)
        if status.read is None or received is None:
            return
        sent_at = self.status_sent_at.get(received.sequence)
        if sent_at is None:
            return
        self.peers_read_at[status.sender] = sent_at
        if self._shows_own_keys(status.read, received):
            self.lease.renew(sent_at)

    def _shows_own_keys(
        self,
        read: statuses.OwnershipRead,
        received: statuses.LastReceived,
    ) -> bool:
        """Return whether a read showed the keys that this member knows.

        It did if it found the version known here, or another one in which the
        keys of this member are the same.
        """
        if read.store_version == self.version:
            return True
        return (
            read.era == self.version.era
            and received.keys != key_digests.UNKNOWN
            and received.keys == self.own_keys_digest
        )

    def _should_pull(self, status: statuses.Status) -> bool:
        """Return whether to pull the version that a peer reports.

        Done while the store is unreachable, or while it has lost the latest
        version and members collect what they know of it.  A pull does not
        show which version is in the store now, so it renews no lease.  But
        later reads of that version by peers do, and keys that were reassigned
        are released at once.
        """
        return status.store_version > self.version and (
            self.store_unreachable or self.restoration.outdated is not None
        )

    async def _pull(self, status: statuses.Status) -> None:
        """Pull a newer version from a peer."""
        request = statuses.OwnershipRequest(
            self.settings.service, self.version.revision, self.version.era
        )
        try:
            reply = await self.pull_ownership(status.address, request)
            if reply.document:
                ownership = key_ranges.decode(reply.document)
                pulled = VersionedOwnership(reply.store_version, ownership)
                if pulled.in_force():
                    self._adopt(pulled, None)
                    logs.ownership_pulled(status.sender, pulled.version)
        except rpc_client.CONNECTION_ERRORS as error:
            # The next status that names a newer version triggers a retry.
            logs.call_failed(f"ownership of {status.sender}", repr(error))
        except msgspec.DecodeError as error:
            logs.bad_document(self.object_name, str(error))

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
            or latest.version <= request.store_version
        ):
            return statuses.OwnershipReply(
                self.version.revision, b"", self.version.era
            )
        return statuses.OwnershipReply(
            latest.version.revision,
            key_ranges.encode(latest.ownership),
            latest.version.era,
        )

    def affected_members(self) -> tuple[ids.MemberId, ...]:
        """Return the members whose keys this process changed recently."""
        since = self.clock.now() - AFFECTED_MEMBERS_S
        self.affected_at = {
            member: at for member, at in self.affected_at.items() if at > since
        }
        return tuple(self.affected_at)

    def _own_last_received(
        self, read: statuses.OwnershipRead | None
    ) -> statuses.LastReceived | None:
        """Return the own status that a peer had received before a read.

        None if the read lists no status of this run.
        """
        for last_received in () if read is None else read.heard:
            if last_received.run == self.own_run_hash:
                return last_received
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
        self.restoration.record_in_force(candidate.version)
        changed = candidate.version != self.version
        self.latest = candidate
        if sent_at is not None:
            self.lease.renew(sent_at)
        if candidate.ownership is None:
            self.own_ranges = []
            self.own_keys_digest = key_digests.UNKNOWN
            return
        self.own_ranges = candidate.ownership.owned_by(self.settings.name)
        self.own_keys_digest = key_digests.digest(self.own_ranges)
        now = self.clock.now()
        tokens = {key_range.token for key_range in self.own_ranges}
        self.first_seen_at = {
            token: self.first_seen_at.get(token, now) for token in tokens
        }
        if changed:
            self.on_version_changed()

    async def write(self, after: key_ranges.Ownership) -> bool:
        """Write the next version, if the latest known one is still current.

        Does not try while reads fail: each attempt would delay the renewal
        of grants by the timeout of a call.  Nor while the object has to be
        restored: the latest known version is not in the store.  A version that
        a peer knows to be outdated is read anew first.
        """
        if (
            self.latest is None
            or self.store_unreachable
            or self.restoration.outdated is not None
        ):
            return False
        if self.newest_reported > self.version:
            self.read_soon()
            return False
        return await self.replace(self.latest.version, after)

    async def replace(
        self,
        replaced_version: store_versions.StoreVersion,
        after: key_ranges.Ownership,
    ) -> bool:
        """Write the next version in place of a given one, if still current."""
        # Recorded before the write, because it may take effect even if its
        # response is lost.
        affected = key_ranges.members_with_changed_ranges(
            None if self.latest is None else self.latest.ownership, after
        )
        self.affected_at.update(dict.fromkeys(affected, self.clock.now()))
        sent_at = self.clock.now()
        try:
            version = await self.object_store.put(
                self.object_name,
                key_ranges.encode(after),
                store_versions.NO_VERSION
                if replaced_version.revision == ids.NO_VERSION
                else replaced_version,
            )
        except store.StoreError as error:
            # The next read shows whether the write took effect.
            self.last_read_at = NEVER
            logs.write_failed(self.object_name, repr(error))
            return False
        written = VersionedOwnership(version, after)
        if not written.in_force():
            # Created in a later era than it was meant for.
            self.read_soon()
            return False
        self._adopt(written, sent_at)
        return True

    def owns(self, key_range: key_ranges.Range, run: str) -> bool:
        """Return whether a range is assigned to a run of the server."""
        return any(
            own_range.token == key_range.token
            and own_range.holder.run == run
            and own_range.first <= key_range.first
            and key_range.last <= own_range.last
            for own_range in self.own_ranges
        )

    async def stop(self) -> None:
        """Cancel the running pulls, if any."""
        await self.pulls.stop()
