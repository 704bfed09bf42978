"""What each process tells every other of itself, again and again, by UDP.

A status is the heartbeat of its sender.  It carries all that another process
needs to send requests here: the address, the backend server's standing and
load, the keys held, and which versions the sender knows.
"""

import enum
import typing

import msgspec
import xxhash
from bronzepaddle import cells, ids, key_load


class ServerState(enum.Enum):
    """The standing of the backend server beside a process."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


class HeldRange(msgspec.Struct, frozen=True, array_like=True):
    """Keys that the sender's backend server holds now."""

    first: int
    last: int
    token: ids.Token


RunHash = typing.NewType("RunHash", int)
"""Names one run of a process in few bytes; see ``run_hash``."""


def run_hash(member: ids.MemberId, incarnation: ids.Incarnation) -> RunHash:
    """Return the name of one run of a process: 64 bits of a hash."""
    return RunHash(xxhash.xxh64_intdigest(f"{member}/{incarnation}".encode()))


class LastReceived(msgspec.Struct, frozen=True, array_like=True):
    """The last status of a peer that came before a read of the store."""

    run: RunHash
    sequence: int


class OwnershipRead(msgspec.Struct, frozen=True, array_like=True):
    """A read of an ownership object, and what was heard before it was sent.

    Whoever finds itself in ``heard`` knows that the object had ``version``
    after it sent that status, and may count a lease from then: so members
    that can't reach the store go on by the reads of those that can.
    """

    version: ids.ObjectVersion
    heard: tuple[LastReceived, ...]


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A request that was at a server when its run ended, so often.

    No crashes: it has had a whole answer since.
    """

    fingerprint: str
    crashes: int


USUAL_EVERY_S: typing.Final = 0.5
"""Time between two statuses in a fleet that is not large."""


class Status(msgspec.Struct, frozen=True, array_like=True):
    """One process at one moment.

    ``sequence`` grows with each status of a run; ``follows`` is that of the
    status before, of those that were meant for the same reader.  What only
    the other processes beside servers of the same service need (``hot_keys``,
    ``read``, ``affected_members``) is left out of the statuses to all others.
    ``started_ms`` is the Unix time of the run's start and tells a later run
    from an earlier one.  ``run`` names the present run of the backend server,
    ``slots`` the requests that it works on at once, ``outstanding`` those
    admitted or waiting here, ``service_s`` the mean time that one takes.

    Versions: ``table_version`` of the route table in force,
    ``ownership_version`` of the sender's service's ownership object as last
    read.  ``request_rate`` counts requests a second that came for keys held
    here, ``hot_keys`` names the busiest of these keys.  ``read`` is the
    sender's last read of the ownership object, None if it has none.
    ``affected_members`` are the members whose keys the sender has lately
    written anew in it. ``suspects`` are changes of late.  ``interval_s`` is
    the longest time between two statuses for the same reader.
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
    suspects: tuple[Suspicion, ...] = ()
    follows: int = 0
    affected_members: tuple[ids.MemberId, ...] = ()
    interval_s: float = USUAL_EVERY_S


NO_SERVER_RUN: typing.Final = ""
"""The run of a backend server that has not announced itself."""


class ConfigRequest(msgspec.Struct, frozen=True):
    """Asks for the configuration if it is newer than the asker's."""

    newer_than: ids.BundleVersion


class ConfigReply(msgspec.Struct, frozen=True):
    """A configuration document as it was accepted; empty if not newer."""

    version: ids.BundleVersion
    document: bytes


class OwnershipRequest(msgspec.Struct, frozen=True):
    """Asks for a service's ownership if it is newer than the asker's."""

    service: ids.ServiceName
    newer_than: ids.ObjectVersion


class OwnershipReply(msgspec.Struct, frozen=True):
    """An ownership document as the store holds it; empty if not newer."""

    version: ids.ObjectVersion
    document: bytes
