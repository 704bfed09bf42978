"""The cell object: the members of a cell and the owners of its hash slots.

The store has one such object for each cell.  It changes only by conditional
writes; each function below derives the next version from the current one and
serves as the ``change`` of such a write.  It returns None if the current
version no longer allows the change.

Every grant takes the next fencing token of the cell, so tokens only increase.
"""

import collections.abc
import enum
import typing

import msgspec

from bronzepaddle import ids

NONCES_KEPT: typing.Final = 64
"""Number of recent writes whose nonces the object holds.  A writer that got no
answer finds out by its nonce whether its write took effect."""


class MemberState(enum.Enum):
    """The state of a member; only active members are assigned slots."""

    ACTIVE = "active"
    SUSPENDED = "suspended"
    DRAINING = "draining"
    STOPPED = "stopped"


class Address(msgspec.Struct, frozen=True):
    """The address of a process for messages between peers (TCP and UDP)."""

    host: str
    port: int


class Member(msgspec.Struct, frozen=True):
    """One process of the cell with its local backend server.

    ``weight`` is the number of requests that the server runs concurrently.
    Until a backend server has announced itself, ``service`` is empty and
    ``weight`` is 0.
    """

    address: Address
    zone: ids.ZoneName
    incarnation: ids.Incarnation
    state: MemberState
    suspension: ids.SuspensionId = ids.SuspensionId("")
    service: ids.ServiceName = ids.ServiceName("")
    weight: int = 0

    @property
    def takes_slots(self) -> bool:
        """Return whether hash slots may be assigned to the member."""
        return self.state is MemberState.ACTIVE and self.weight > 0


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """The owner of a hash slot with its fencing token.

    ``move`` identifies the planned move that led to the grant.  The new owner
    uses it to tell the idempotency window handed over in this move from an
    older one.
    """

    owner: ids.MemberId
    token: ids.Token
    move: ids.MoveId = ids.NO_MOVE


class Cell(msgspec.Struct, frozen=True):
    """One version of the cell object."""

    cell: ids.CellId
    term: ids.Term
    coordinator: ids.MemberId
    membership: ids.MembershipVersion
    members: dict[ids.MemberId, Member]
    services: dict[ids.ServiceName, tuple[Grant | None, ...]] = {}
    next_token: ids.Token = ids.Token(1)
    nonces: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        """Return the number of members that form a majority."""
        return len(self.members) // 2 + 1

    def grant(
        self, service: ids.ServiceName, slot: ids.SlotId
    ) -> Grant | None:
        """Return the current grant of a slot, or None."""
        slots = self.services.get(service, ())
        return slots[slot] if slot < len(slots) else None

    def serving(self, service: ids.ServiceName) -> list[ids.MemberId]:
        """Return the members that can be assigned slots of a service."""
        return [
            name
            for name, member in self.members.items()
            if member.service == service and member.takes_slots
        ]

    def owned_by(
        self, member: ids.MemberId
    ) -> dict[ids.ServiceName, list[ids.SlotId]]:
        """Return the hash slots that a member owns, by service."""
        owned: dict[ids.ServiceName, list[ids.SlotId]] = {}
        for service, grants in self.services.items():
            slots = [
                ids.SlotId(slot)
                for slot, grant in enumerate(grants)
                if grant is not None and grant.owner == member
            ]
            if slots:
                owned[service] = slots
        return owned

    def owns_anything(self, member: ids.MemberId) -> bool:
        """Return whether a member owns any slot."""
        return bool(self.owned_by(member))

    def is_current(
        self, member: ids.MemberId, incarnation: ids.Incarnation
    ) -> bool:
        """Return whether an incarnation of a member is the current one."""
        found = self.members.get(member)
        return found is not None and found.incarnation == incarnation


Assignment: typing.TypeAlias = dict[
    ids.ServiceName, dict[ids.SlotId, ids.MemberId]
]
"""The new owners of slots, by service and slot."""


class Versioned(msgspec.Struct, frozen=True):
    """A cell object with its version in the store."""

    version: ids.ObjectVersion
    cell: Cell


def encode(cell: Cell) -> bytes:
    """Encode the cell object for the store."""
    return msgspec.json.encode(cell)


def decode(body: bytes) -> Cell:
    """Decode a cell object read from the store.

    Raises ``msgspec.ValidationError`` if it is invalid.
    """
    return msgspec.json.decode(body, type=Cell)


def first(cell: ids.CellId, name: ids.MemberId, member: Member) -> Cell:
    """Return a new cell with its first member as coordinator."""
    return Cell(
        cell=cell,
        term=ids.Term(1),
        coordinator=name,
        membership=ids.MembershipVersion(1),
        members={name: member},
    )


def joined(now: Cell, name: ids.MemberId, member: Member) -> Cell:
    """Add a member."""
    return msgspec.structs.replace(
        now,
        membership=ids.MembershipVersion(now.membership + 1),
        members={**now.members, name: member},
    )


def removed(now: Cell, name: ids.MemberId) -> Cell | None:
    """Remove a suspended or stopped member that owns no slots."""
    found = now.members.get(name)
    if found is None or now.owns_anything(name):
        return None
    if found.state not in (MemberState.SUSPENDED, MemberState.STOPPED):
        return None
    return msgspec.structs.replace(
        now,
        membership=ids.MembershipVersion(now.membership + 1),
        members={
            other: member
            for other, member in now.members.items()
            if other != name
        },
    )


def with_member(
    now: Cell,
    name: ids.MemberId,
    **changes: typing.Any,
) -> Cell:
    """Replace fields of a member."""
    member = msgspec.structs.replace(now.members[name], **changes)
    return msgspec.structs.replace(now, members={**now.members, name: member})


def restarted(
    now: Cell,
    name: ids.MemberId,
    member: Member,
    suspension: ids.SuspensionId,
) -> Cell:
    """Replace a member by its new incarnation, which starts suspended.

    The previous incarnation may still act on its lease.  The new one
    therefore waits as for a takeover and then lifts the suspension.
    """
    suspended_member = msgspec.structs.replace(
        member, state=MemberState.SUSPENDED, suspension=suspension
    )
    return msgspec.structs.replace(
        now, members={**now.members, name: suspended_member}
    )


def suspended(
    now: Cell,
    names: collections.abc.Iterable[ids.MemberId],
    suspension: ids.SuspensionId,
) -> Cell | None:
    """Suspend members, whose heartbeats are then no longer acknowledged."""
    members = dict(now.members)
    changed = False
    for name in names:
        found = members.get(name)
        if found is None or found.state is MemberState.SUSPENDED:
            continue
        members[name] = msgspec.structs.replace(
            found, state=MemberState.SUSPENDED, suspension=suspension
        )
        changed = True
    if not changed:
        return None
    return msgspec.structs.replace(now, members=members)


def lifted(
    now: Cell, name: ids.MemberId, incarnation: ids.Incarnation
) -> Cell | None:
    """Make a suspended member active again.

    The slots that it still owns get new grants, because a previous
    incarnation may have acted on the old ones.
    """
    found = now.members.get(name)
    if found is None or found.incarnation != incarnation:
        return None
    if found.state is not MemberState.SUSPENDED:
        return None
    active = with_member(
        now,
        name,
        state=MemberState.ACTIVE,
        suspension=ids.SuspensionId(""),
    )
    owned = {
        service: dict.fromkeys(slots, name)
        for service, slots in now.owned_by(name).items()
    }
    return _granted(active, owned)


def termed(now: Cell, name: ids.MemberId, over: ids.Term) -> Cell | None:
    """Start the next term, with a new coordinator; ``over`` is the last."""
    if now.term != over or name not in now.members:
        return None
    return msgspec.structs.replace(
        now, term=ids.Term(now.term + 1), coordinator=name
    )


def sized(now: Cell, service: ids.ServiceName, slots: int) -> Cell | None:
    """Add a service whose slots have no owners yet."""
    if service in now.services:
        return None
    return msgspec.structs.replace(
        now, services={**now.services, service: (None,) * slots}
    )


def granted(now: Cell, assignment: Assignment) -> Cell | None:
    """Grant slots that have no owner."""
    for service, slots in assignment.items():
        grants = now.services.get(service, ())
        if any(grants[slot] is not None for slot in slots):
            return None
    return _granted(now, assignment, ids.FIRST_GRANT)


def taken_over(
    now: Cell,
    lost: ids.MemberId,
    suspension: ids.SuspensionId,
    assignment: Assignment,
) -> Cell | None:
    """Grant the slots of a failed member to other members.

    The member must still have the suspension whose wait has ended, and must
    still own each slot: another coordinator may have acted on the same
    suspension.
    """
    found = now.members.get(lost)
    if found is None or found.suspension != suspension:
        return None
    return moved(now, lost, assignment)


def moved(
    now: Cell,
    owner: ids.MemberId,
    assignment: Assignment,
    move: ids.MoveId = ids.NO_MOVE,
) -> Cell | None:
    """Grant slots of one owner to other members."""
    for service, slots in assignment.items():
        grants = now.services.get(service, ())
        for slot, heir in slots.items():
            grant = grants[slot] if slot < len(grants) else None
            if grant is None or grant.owner != owner:
                return None
            if heir not in now.members:
                return None
    heirs = {heir for slots in assignment.values() for heir in slots.values()}
    if any(not now.members[heir].takes_slots for heir in heirs):
        return None
    return _granted(now, assignment, move)


def _granted(
    now: Cell, assignment: Assignment, move: ids.MoveId = ids.NO_MOVE
) -> Cell:
    """Issue a grant with its own token for each assigned slot."""
    token = now.next_token
    services = dict(now.services)
    for service, slots in assignment.items():
        grants = list(services[service])
        for slot, owner in sorted(slots.items()):
            grants[slot] = Grant(owner, token, move)
            token = ids.Token(token + 1)
        services[service] = tuple(grants)
    return msgspec.structs.replace(now, services=services, next_token=token)


def stamped(now: Cell, nonce: str) -> Cell:
    """Add the nonce of the write that stores this version."""
    return msgspec.structs.replace(
        now, nonces=(*now.nonces, nonce)[-NONCES_KEPT:]
    )
