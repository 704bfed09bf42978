"""What a process knows now, and who is told when that changes.

The event loop's tasks write it; callers' threads read single references,
each of them immutable.
"""

import asyncio
import collections.abc
import dataclasses
import threading
import typing

import returns.result
from bronzepaddle import bundle_ini, bundles, cells, clocks, ids, quorum_leases
from bronzepaddle_backend import announcements

Learn: typing.TypeAlias = collections.abc.Callable[[cells.Cell], None]


@dataclasses.dataclass(frozen=True)
class Identity:
    """Who this process is.

    ``address`` is where peers reach it, ``listens_at`` the port it bound;
    ``first_sequence`` numbers its first heartbeat (see ``OwnerLease``).
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
    """The bundle in force with its document as it was accepted."""

    rules: bundles.Bundle
    document: bytes


@dataclasses.dataclass(frozen=True)
class Heard:
    """The last heartbeat of a peer, with the times of its arrival.

    ``leased_at`` is when the last one came that told of a lease.
    """

    sequence: int
    incarnation: ids.Incarnation
    at: float
    leased_at: float


LearnBundle: typing.TypeAlias = collections.abc.Callable[[ActiveBundle], None]


class NodeState:
    """The knowledge of one process."""

    def __init__(
        self,
        identity: Identity,
        times: quorum_leases.LeaseTimes,
        time: clocks.Clock,
    ) -> None:
        self.identity = identity
        self.times = times
        self.time = time
        self.started = time.now()
        self.view: cells.VersionedCell | None = None
        self.bundle: ActiveBundle | None = None
        self.backend: announcements.Known | None = None
        self.lease = quorum_leases.OwnerLease(times, identity.first_sequence)
        self.vouching = quorum_leases.HeartbeatAcks(self.started)
        self.heard: dict[ids.MemberId, Heard] = {}
        self.joined = False
        self.leaving = False
        self.listeners: list[Learn] = []
        self.bundle_listeners: list[LearnBundle] = []
        self.changed = asyncio.Event()
        self.news = threading.Condition()

    @property
    def name(self) -> ids.MemberId:
        """Return the name of this process."""
        return self.identity.name

    @property
    def version(self) -> ids.ObjectVersion:
        """Return the version of the cell object known here."""
        return ids.NO_VERSION if self.view is None else self.view.version

    @property
    def myself(self) -> cells.Member | None:
        """Return this run's record in the cell, or None."""
        if self.view is None:
            return None
        if not self.view.cell.is_current(self.name, self.identity.incarnation):
            return None
        return self.view.cell.members[self.name]

    def adopt(self, found: cells.VersionedCell) -> bool:
        """Take a version of the cell object, if it is newer."""
        if found.version <= self.version:
            return False
        now = self.time.now()
        self.view = found
        self.lease.learn(found.cell, self.name)
        self.vouching.learn(found.cell, now)
        for learn in self.listeners:
            learn(found.cell)
        with self.news:
            self.news.notify_all()
        self.wake()
        return True

    def wait_for_newer_cell(
        self, than: ids.ObjectVersion, timeout_s: float
    ) -> None:
        """Wait on a thread for a newer cell object, or for the time."""
        with self.news:
            self.news.wait_for(lambda: self.version > than, timeout_s)

    def adopt_document(self, document: bytes) -> bool:
        """Take a bundle's document, if it holds and its version is higher.

        The check is the process's own, whoever the document came from.
        """
        match bundle_ini.parse(document.decode("utf-8", "replace")):
            case returns.result.Success(rules):
                return self.adopt_bundle(ActiveBundle(rules, document))
            case _:
                return False

    def adopt_bundle(self, found: ActiveBundle) -> bool:
        """Take a bundle, if its version is higher."""
        if found.rules.version <= self.bundle_version:
            return False
        self.bundle = found
        for learn in self.bundle_listeners:
            learn(found)
        self.wake()
        return True

    @property
    def bundle_version(self) -> ids.BundleVersion:
        """Return the version of the bundle in force here, or 0."""
        if self.bundle is None:
            return ids.BundleVersion(0)
        return self.bundle.rules.version

    def wake(self) -> None:
        """Let the tasks that wait for news look again."""
        self.changed.set()

    def others(self) -> list[tuple[ids.MemberId, cells.Member]]:
        """Return the other members that may still be there."""
        if self.view is None:
            return []
        return [
            (name, member)
            for name, member in self.view.cell.members.items()
            if name != self.name
            and member.state is not cells.MemberState.STOPPED
        ]

    def heard_ago(self, member: ids.MemberId) -> float:
        """Return the time since a peer was last heard, or since start."""
        heard = self.heard.get(member)
        since = self.started if heard is None else heard.at
        return self.time.now() - since

    def leased_ago(self, member: ids.MemberId) -> float:
        """Return the time since a peer last told of a lease of its own."""
        heard = self.heard.get(member)
        since = self.started if heard is None else heard.leased_at
        return self.time.now() - since

    def has_lease(self) -> bool:
        """Tell whether this process holds a lease now."""
        return self.lease.holds(self.time.now())

    def unleased_s(self) -> float:
        """Return how long this process has been without a lease."""
        if self.has_lease():
            return 0.0
        since = max(self.lease.valid_until, self.started)
        return self.time.now() - since

    def backend_alive(self, interval_s: float) -> bool:
        """Tell whether the backend server announces itself and is usable."""
        known = self.backend
        if known is None or not known.usable:
            return False
        return known.alive(self.time.now(), interval_s)
