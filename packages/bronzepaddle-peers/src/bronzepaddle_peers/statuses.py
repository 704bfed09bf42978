"""Statuses that each process periodically broadcasts to all others by UDP.

A status is also the heartbeat of its sender.  It carries everything that
another process needs to route requests to the sender: its address, the state
and load of its backend server, the keys held, and the versions of the shared
documents that it has.  These are the configuration and, for each service with
exclusive owners of its keys, the ownership object in the store, which records
the owners.

The request and reply messages for pulling newer documents are defined here
too.
"""

import enum
import typing

import msgspec
import xxhash
from bronzepaddle import cells, ids, key_digests, store_versions
from bronzepaddle.load import key_load


class ServerState(enum.Enum):
    """The state of the backend server on the VM of a process."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


class HeldRange(msgspec.Struct, frozen=True, array_like=True):
    """A range of keys held by the sender's backend server, ends included.

    ``token`` is the fencing token of the grant.
    """

    first: int
    last: int
    token: ids.Token


RunHash = typing.NewType("RunHash", int)
"""Compact identifier of one run of a process; see ``run_hash``."""


def run_hash(member: ids.MemberId, incarnation: ids.Incarnation) -> RunHash:
    """Return a 64-bit hash that identifies one run of a process."""
    return RunHash(xxhash.xxh64_intdigest(f"{member}/{incarnation}".encode()))


class LastReceived(msgspec.Struct, frozen=True, array_like=True):
    """The last status received from a peer before a read of the store.

    ``keys`` is the digest of the keys that the peer owned by the read.
    """

    run: RunHash
    sequence: int
    keys: key_digests.KeysDigest = key_digests.UNKNOWN


class OwnershipRead(msgspec.Struct, frozen=True, array_like=True):
    """A read of an ownership object and the statuses received before it.

    A member that finds its own status in ``heard`` can conclude that the
    object had ``version`` after it sent that status, and may renew its lease
    from the time of sending.  In this way members that can't reach the store
    keep their leases through the reads of members that can.  So may a member
    that knows another version, if its own keys are the same in both.
    ``era`` is the era of the store in which the object had that version.
    """

    version: ids.ObjectVersion
    heard: tuple[LastReceived, ...]
    era: ids.StoreEra = ids.FIRST_ERA

    @property
    def store_version(self) -> store_versions.StoreVersion:
        """Return the version of the object, with its era."""
        return store_versions.StoreVersion(self.era, self.version)


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated zones as of a revision of the store in one of its eras."""

    era: int
    revision: int
    zones: tuple[ids.ZoneName, ...]


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """The number of backend server crashes while a request was in flight.

    ``fingerprint`` identifies the request by its content.  ``crashes`` is 0
    once the request has had a complete response.
    """

    fingerprint: str
    crashes: int


DEFAULT_INTERVAL_S: typing.Final = 0.5
"""Interval between two statuses, except in a large fleet."""


class Status(msgspec.Struct, frozen=True, array_like=True):
    """The status of one process at one moment.

    ``incarnation`` identifies the run of the process, and ``started_ms`` is
    the Unix time in milliseconds at which it started, which orders the runs
    of one process.  ``sequence`` increases with each status of that run;
    ``follows`` is the sequence number of the previous status sent to the same
    receivers.  ``leaving`` is set once the process is stopping.
    ``hot_keys``, ``read`` and ``affected_members`` are sent only to processes
    whose backend servers belong to the same service.

    Backend server: ``run`` identifies its current run, ``slots`` is the
    number of requests that it processes at once, ``outstanding`` the number
    admitted or queued at the sender, ``service_s`` the mean processing time
    of a request of usual cost in seconds, ``warmup_left_s`` the remaining time
    in which it is expected to be slow after its start.

    Versions: ``table_version`` is that of the route table in effect,
    ``ownership_version`` that of the ownership object of the sender's
    service as last read.

    Keys: ``held`` are the ranges of keys that the backend server holds,
    ``request_rate`` is the rate of requests per second for these keys, as so
    many requests of usual cost, and ``hot_keys`` lists the busiest of them.
    ``read`` is the sender's last read of the ownership object, None if it has
    none.  ``affected_members`` lists the members whose keys the sender has
    recently changed in that object.

    ``suspects`` lists recent changes to the sender's list of suspects.
    ``interval_s`` is the longest interval between two statuses to the same
    receiver.

    Load: ``backlog_s`` is the expected time until a request that arrives now
    would start, ``starts_per_s`` the number of requests per second that the
    backend server can take while it is cold, 0 if it is not.

    ``store_era`` is the era of the store to which ``ownership_version``
    belongs.  ``evacuations`` are the zones whose servers must get no requests,
    as last read, None if the sender doesn't know them.

    ``takes_parts`` is set if the sender takes large request bodies in parts.
    ``store_reached`` is set if its last read of the ownership object
    succeeded.  ``config_age_s`` is the time since the sender began its last
    successful read of the configuration in the store, None if there is none;
    ``evacuations_age_s`` is the same for ``evacuations``.
    """

    sender: ids.MemberId
    incarnation: ids.Incarnation
    started_ms: int
    sequence: int
    address: cells.Address
    zone: ids.ZoneName
    leaving: bool
    service: ids.ServiceName
    run: str
    state: ServerState
    slots: int
    outstanding: int
    service_s: float
    warmup_left_s: float
    table_version: ids.BundleVersion
    ownership_version: ids.ObjectVersion
    held: tuple[HeldRange, ...]
    request_rate: float = 0.0
    hot_keys: tuple[key_load.KeyGroupLoad, ...] = ()
    read: OwnershipRead | None = None
    suspects: tuple[SuspectReport, ...] = ()
    follows: int = 0
    affected_members: tuple[ids.MemberId, ...] = ()
    interval_s: float = DEFAULT_INTERVAL_S
    backlog_s: float = 0.0
    starts_per_s: float = 0.0
    store_era: ids.StoreEra = ids.FIRST_ERA
    evacuations: Evacuations | None = None
    takes_parts: bool = False
    store_reached: bool = False
    config_age_s: float | None = None
    evacuations_age_s: float | None = None

    @property
    def store_version(self) -> store_versions.StoreVersion:
        """Return the version of the ownership object, with its era."""
        return store_versions.StoreVersion(
            self.store_era, self.ownership_version
        )


NO_SERVER_RUN: typing.Final = ""
"""Value of ``Status.run`` while no backend server has announced itself."""


class ConfigRequest(msgspec.Struct, frozen=True):
    """Asks for the configuration if it is newer than ``newer_than``."""

    newer_than: ids.BundleVersion


class ConfigReply(msgspec.Struct, frozen=True):
    """A configuration document as it was accepted; empty if not newer."""

    version: ids.BundleVersion
    document: bytes


class OwnershipRequest(msgspec.Struct, frozen=True):
    """Asks for a service's ownership object if newer than ``newer_than``."""

    service: ids.ServiceName
    newer_than: ids.ObjectVersion
    era: ids.StoreEra = ids.FIRST_ERA

    @property
    def store_version(self) -> store_versions.StoreVersion:
        """Return the version that the sender has, with its era."""
        return store_versions.StoreVersion(self.era, self.newer_than)


class OwnershipReply(msgspec.Struct, frozen=True):
    """An ownership document as stored; empty if not newer."""

    version: ids.ObjectVersion
    document: bytes
    era: ids.StoreEra = ids.FIRST_ERA

    @property
    def store_version(self) -> store_versions.StoreVersion:
        """Return the version of the document, with its era."""
        return store_versions.StoreVersion(self.era, self.version)
