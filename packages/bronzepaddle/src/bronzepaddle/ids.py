"""Types of the identifiers in messages, stored objects and log lines."""

import typing
import uuid

MemberId = typing.NewType("MemberId", str)
"""Name of a member, that is, of a process with its backend server.  It is from
the settings of the process and stays the same across restarts."""

Incarnation = typing.NewType("Incarnation", str)
"""Identifies one run of a process; generated at each start."""

CellId = typing.NewType("CellId", str)
"""A group of processes (members) that acknowledge each other's heartbeats."""

ZoneName = typing.NewType("ZoneName", str)
"""An availability zone."""

ServiceName = typing.NewType("ServiceName", str)
PriorityName = typing.NewType("PriorityName", str)

SlotId = typing.NewType("SlotId", int)
"""Number of a hash slot of a service, from 0."""

Token = typing.NewType("Token", int)
"""Fencing token of a grant; those of one cell or service only increase."""

Term = typing.NewType("Term", int)
"""Number of a term; each new coordinator starts the next one."""

MembershipVersion = typing.NewType("MembershipVersion", int)
"""Version of a cell's set of members."""

ObjectVersion = typing.NewType("ObjectVersion", int)
"""Revision of an object in the platform's store, which assigns a new one at
each write.  Where the store has eras, ``store_versions.StoreVersion`` adds
the era in which it was assigned."""

StoreEra = typing.NewType("StoreEra", int)
"""Number of times that the store has come back from a copy."""

BundleVersion = typing.NewType("BundleVersion", int)
"""Version of a configuration bundle or of a route table."""

RequestId = typing.NewType("RequestId", str)

IdempotencyKey = typing.NewType("IdempotencyKey", str)
"""A UUIDv7 by which repeated sendings of one request are recognized."""

SuspensionId = typing.NewType("SuspensionId", str)
"""Identifies one suspension of a member; empty if it is not suspended."""

MoveId = typing.NewType("MoveId", str)
"""Identifies a planned move of slots; empty for other grants."""

NO_MOVE: typing.Final = MoveId("")

FIRST_GRANT: typing.Final = MoveId("first")
"""Move ID in the first grant of a slot, which had no owner before."""

NO_VERSION: typing.Final = ObjectVersion(0)
"""Version of an object that does not exist."""

FIRST_ERA: typing.Final = StoreEra(0)
"""Era of a store that reports none."""


def new_id() -> str:
    """Return a random, globally unique ID."""
    return uuid.uuid4().hex
