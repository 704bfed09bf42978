"""Types of the identifiers that messages, objects and log lines carry."""

import typing
import uuid

MemberId = typing.NewType("MemberId", str)
"""Name of one process of the system, from its settings; stable."""

Incarnation = typing.NewType("Incarnation", str)
"""One run of a process: drawn anew at each start."""

CellId = typing.NewType("CellId", str)
"""A group of member processes that vouch for each other's leases."""

ZoneName = typing.NewType("ZoneName", str)
"""An availability zone."""

ServiceName = typing.NewType("ServiceName", str)
PriorityName = typing.NewType("PriorityName", str)

SlotId = typing.NewType("SlotId", int)
"""A hash slot of a service's key space, from 0."""

Token = typing.NewType("Token", int)
"""Fencing token of a grant; within a cell tokens only grow."""

Term = typing.NewType("Term", int)
"""Counts the coordinators that a cell has had."""

MembershipVersion = typing.NewType("MembershipVersion", int)
"""Counts the changes of a cell's member set."""

ObjectVersion = typing.NewType("ObjectVersion", int)
"""Version that the platform gave to one write of an object."""

BundleVersion = typing.NewType("BundleVersion", int)
RequestId = typing.NewType("RequestId", str)
IdempotencyKey = typing.NewType("IdempotencyKey", str)
SuspensionId = typing.NewType("SuspensionId", str)

MoveId = typing.NewType("MoveId", str)
"""One planned move; empty for a grant that came otherwise."""

NO_MOVE: typing.Final = MoveId("")

FIRST_GRANT: typing.Final = MoveId("first")
"""Stands in the grant of a slot that nobody owned before."""

NO_VERSION: typing.Final = ObjectVersion(0)
"""Version of an object that does not exist."""


def new_id() -> str:
    """Return an id that nobody else draws."""
    return uuid.uuid4().hex
