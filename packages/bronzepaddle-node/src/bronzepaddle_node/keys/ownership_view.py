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
    key_ranges,
    logs,
    store_leases,
    store_versions,
)
from bronzepaddle_peers import rpc_client, statuses
from bronzepaddle_store import store

from bronzepaddle_node import peer_table, tasks
from bronzepaddle_node.keys import member_settings, restoration

MAX_RECORDED_STATUSES: typing.Final = 64
"""Number of sent statuses whose send time is remembered."""

AFFECTED_MEMBERS_S: typing.Final = 1.5
"""Time for which statuses name the members affected by a write: several status
intervals, because datagrams may be lost."""

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
        # Whether the last read of the store failed, and whether the
        # ownership is being pulled from a peer.
        self.store_unreachable = False
        self.pulling = False
        self.own_run_hash = statuses.run_hash(
            settings.name, settings.incarnation
        )
        self.lease = store_leases.StoreLease(settings.times)
        self.restoration = restoration.Restoration(settings.times)
        self.latest: VersionedOwnership | None = None
        # The ranges that the latest known ownership assigns to this member.
        self.own_ranges: list[key_ranges.Range] = []
        self.last_read_at = float("-inf")
        # The latest known era when the last read ended.
        self.read_in_era = ids.FIRST_ERA
        self.last_read: statuses.OwnershipRead | None = None
        self.status_sent_at: dict[int, float] = {}
        # Per peer, a lower bound for the time of its last read, taken from
        # its last status.
        self.peers_read_at: dict[ids.MemberId, float] = {}
        # Per member, when a write of this process last changed its keys.
        self.affected_at: dict[ids.MemberId, float] = {}
        # Per token of an own range, when this process first saw it.
        self.first_seen_at: dict[ids.Token, float] = {}
        self.background_tasks = tasks.Tasks()

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
        self.last_read_at = float("-inf")
        self.wakeup.set()

    def read_is_due(self) -> bool:
        """Return whether the object should be read now.

        That is at its time, and once when another call has shown a new era.
        """
        if self.object_store.eras.era > self.read_in_era:
            return True
        since_s = self.clock.now() - self.last_read_at
        return since_s >= self.settings.times.read_interval_s

    async def read_store(self) -> None:
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
            stored.version.revision, last_received, stored.version.era
        )

    def _process_read(self, read: VersionedOwnership, sent_at: float) -> None:
        """Adopt what was read, or record that it has to be restored."""
        if read.in_force():
            self._adopt(read, sent_at)
        elif read.version > self.version:
            self.restoration.record(
                read.version, read.ownership, self.clock.now()
            )

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

    def on_status(self, status: statuses.Status, is_planner: bool) -> None:
        """Process the version and the read that a peer's status reports.

        A peer's read of the current version also renews the lease of this
        process, from the time of its last status that the peer had received
        before it read.
        """
        newer = status.store_version > self.version
        if newer and (
            self.settings.name in status.affected_members or is_planner
        ):
            # For all others the next periodic read is soon enough.  If each
            # member read each version at once, the number of reads would
            # grow quadratically with the fleet.
            self.read_soon()
        pull_newer = (
            self.store_unreachable or self.restoration.outdated is not None
        )
        if newer and pull_newer and not self.pulling:
            self.pulling = True
            self.background_tasks.start(self._pull(status), "pull")
        sent_at = self._own_status_sent_at(status.read)
        if status.read is None or sent_at is None:
            return
        self.peers_read_at[status.sender] = sent_at
        if status.read.store_version == self.version:
            self.lease.renew(sent_at)

    async def _pull(self, status: statuses.Status) -> None:
        """Pull a newer version from a peer.

        Done while the store is unreachable, or while it has lost the latest
        version and members collect what they know of it.  A pull does not
        show which version is in the store now, so it renews no lease.  But
        later reads of that version by peers do, and keys that were reassigned
        are released at once.
        """
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
        self.restoration.record_in_force(candidate.version)
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

    async def write(self, after: key_ranges.Ownership) -> bool:
        """Write the next version, if the latest known one is still current.

        Does not try while reads fail: each attempt would delay the renewal
        of grants by the timeout of a call.  Nor while the object has to be
        restored: the latest known version is not in the store.
        """
        if (
            self.latest is None
            or self.store_unreachable
            or self.restoration.outdated is not None
        ):
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
            self.last_read_at = float("-inf")
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
        """Cancel the running pull, if any."""
        await self.background_tasks.stop()
