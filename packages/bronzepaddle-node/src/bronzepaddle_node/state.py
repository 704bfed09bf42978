"""The state that the parts of a process share, and its change listeners.

Only tasks of the event loop write it.  Threads that serve callers read single
references, each of them to an immutable object.
"""

import asyncio
import collections.abc
import dataclasses
import threading
import typing

import returns.result
from bronzepaddle import bundle_ini, bundles, cells, clocks, ids, quorum_leases
from bronzepaddle_backend import announcements

CellListener: typing.TypeAlias = collections.abc.Callable[[cells.Cell], None]


@dataclasses.dataclass(frozen=True)
class Identity:
    """The identity of one run of a process.

    Peers reach it at ``address``; ``listens_at`` is the address it bound.
    Its heartbeats are numbered from ``first_sequence`` (see ``OwnerLease``).
    """

    name: ids.MemberId
    cell: ids.CellId
    zone: ids.ZoneName
    incarnation: ids.Incarnation
    address: cells.Address
    listens_at: str
    first_sequence: int


@dataclasses.dataclass(frozen=True)
class ActiveBundle:
    """The bundle in use, with its document as it was accepted."""

    rules: bundles.Bundle
    document: bytes


@dataclasses.dataclass(frozen=True)
class LastHeartbeat:
    """The last heartbeat of a peer, with the time of its arrival.

    ``leased_at`` is when the last heartbeat arrived whose sender had a lease.
    """

    sequence: int
    incarnation: ids.Incarnation
    received_at: float
    leased_at: float


BundleListener: typing.TypeAlias = collections.abc.Callable[
    [ActiveBundle], None
]


class NodeState:
    """The shared state of one process.

    ``known_cell`` is the latest version of the cell object that is known here,
    ``bundle`` the configuration in use, ``backend_announcement`` the last
    announcement of the backend server.  ``joined`` is set while the process is
    a member.
    """

    def __init__(
        self,
        identity: Identity,
        times: quorum_leases.LeaseTimes,
        clock: clocks.Clock,
    ) -> None:
        self.identity = identity
        self.times = times
        self.clock = clock
        self.started = clock.now()
        self.known_cell: cells.VersionedCell | None = None
        self.bundle: ActiveBundle | None = None
        self.backend_announcement: (
            announcements.ReceivedAnnouncement | None
        ) = None
        self.lease = quorum_leases.OwnerLease(times, identity.first_sequence)
        self.heartbeat_acks = quorum_leases.HeartbeatAcks(self.started)
        self.last_heartbeats: dict[ids.MemberId, LastHeartbeat] = {}
        self.joined = False
        self.leaving = False
        self.listeners: list[CellListener] = []
        self.bundle_listeners: list[BundleListener] = []
        self.changed = asyncio.Event()
        self.newer_cell = threading.Condition()

    @property
    def name(self) -> ids.MemberId:
        """Return the name of this process."""
        return self.identity.name

    @property
    def version(self) -> ids.ObjectVersion:
        """Return the version of the cell object known here."""
        return (
            ids.NO_VERSION
            if self.known_cell is None
            else self.known_cell.version
        )

    @property
    def own_member(self) -> cells.Member | None:
        """Return the record of this run in the cell, or None."""
        if self.known_cell is None:
            return None
        if not self.known_cell.cell.is_current(
            self.name, self.identity.incarnation
        ):
            return None
        return self.known_cell.cell.members[self.name]

    def adopt(self, candidate: cells.VersionedCell) -> bool:
        """Make a version of the cell object the current one, if newer."""
        if candidate.version <= self.version:
            return False
        now = self.clock.now()
        self.known_cell = candidate
        self.lease.apply_cell(candidate.cell, self.name)
        self.heartbeat_acks.apply_cell(candidate.cell, now)
        for listener in self.listeners:
            listener(candidate.cell)
        with self.newer_cell:
            self.newer_cell.notify_all()
        self.wake()
        return True

    def wait_for_newer_cell(
        self, version: ids.ObjectVersion, timeout_s: float
    ) -> None:
        """Block a thread until a version after ``version`` or the timeout."""
        with self.newer_cell:
            self.newer_cell.wait_for(lambda: self.version > version, timeout_s)

    def adopt_document(self, document: bytes) -> bool:
        """Put a bundle in use, if its document is valid and newer.

        Each process validates every document itself, also one from a peer.
        """
        match bundle_ini.parse(document.decode("utf-8", "replace")):
            case returns.result.Success(rules):
                return self.adopt_bundle(ActiveBundle(rules, document))
            case _:
                return False

    def adopt_bundle(self, candidate: ActiveBundle) -> bool:
        """Put a bundle in use, if its version is higher."""
        if candidate.rules.version <= self.bundle_version:
            return False
        self.bundle = candidate
        for listener in self.bundle_listeners:
            listener(candidate)
        self.wake()
        return True

    @property
    def bundle_version(self) -> ids.BundleVersion:
        """Return the version of the bundle in use, or 0."""
        if self.bundle is None:
            return ids.BundleVersion(0)
        return self.bundle.rules.version

    def wake(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()

    def others(self) -> list[tuple[ids.MemberId, cells.Member]]:
        """Return the other members that have not stopped."""
        if self.known_cell is None:
            return []
        return [
            (name, member)
            for name, member in self.known_cell.cell.members.items()
            if name != self.name
            and member.state is not cells.MemberState.STOPPED
        ]

    def heartbeat_age_s(self, member: ids.MemberId) -> float:
        """Return the time since a peer's last heartbeat, or since start."""
        last_heartbeat = self.last_heartbeats.get(member)
        since = (
            self.started
            if last_heartbeat is None
            else last_heartbeat.received_at
        )
        return self.clock.now() - since

    def lease_report_age_s(self, member: ids.MemberId) -> float:
        """Return the time since a peer last reported a lease of its own."""
        last_heartbeat = self.last_heartbeats.get(member)
        since = (
            self.started
            if last_heartbeat is None
            else last_heartbeat.leased_at
        )
        return self.clock.now() - since

    def has_lease(self) -> bool:
        """Return whether this process has a valid lease now."""
        return self.lease.holds(self.clock.now())

    def unleased_s(self) -> float:
        """Return how long this process has had no valid lease."""
        if self.has_lease():
            return 0.0
        since = max(self.lease.valid_until, self.started)
        return self.clock.now() - since

    def backend_alive(self, interval_s: float) -> bool:
        """Return whether the backend server is announced and usable."""
        received = self.backend_announcement
        if received is None or not received.usable:
            return False
        return received.alive(self.clock.now(), interval_s)
