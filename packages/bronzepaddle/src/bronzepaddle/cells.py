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

from bronzepaddle import documents, ids

NONCES_KEPT: typing.Final = 64
"""Number of recent writes whose nonces the object holds.  A writer that got no
response checks for its nonce to find out whether its write took effect."""


class MemberState(enum.Enum):
    """The state of a member; only active members are assigned slots.

    A suspended member seemed lost or has restarted, and gets no lease.
    """

    ACTIVE = "active"
    SUSPENDED = "suspended"
    DRAINING = "draining"
    STOPPED = "stopped"


class Address(msgspec.Struct, frozen=True):
    """The address of a process for messages between peers (TCP and UDP)."""

    host: str
    port: documents.Port


class Member(msgspec.Struct, frozen=True):
    """One process of the cell with its local backend server.

    ``weight`` is the number of requests that the server runs concurrently, or
    0 while no hash slots may be assigned to the member.  ``service`` is empty
    while the member can't serve requests, for instance until its backend
    server has announced itself.
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
    """One version of the cell object.

    ``coordinator`` is the member that coordinates the cell in this ``term``.
    ``membership`` is increased whenever a member is added or removed.
    ``services`` contains the grant of each hash slot, None without an owner.
    ``nonces`` identify the latest writes of the object.
    """

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

    def members_serving(self, service: ids.ServiceName) -> list[ids.MemberId]:
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
        current = self.members.get(member)
        return current is not None and current.incarnation == incarnation


Assignment: typing.TypeAlias = dict[
    ids.ServiceName, dict[ids.SlotId, ids.MemberId]
]
"""The new owners of slots, by service and slot."""


class VersionedCell(msgspec.Struct, frozen=True):
    """A cell object with its version in the store."""

    version: ids.ObjectVersion
    cell: Cell


def encode(cell: Cell) -> bytes:
    """Encode the cell object for the store."""
    return msgspec.json.encode(cell)


def decode(body: bytes) -> Cell:
    """Decode a cell object read from the store.

    Raises ``msgspec.DecodeError`` if it is invalid.
    """
    return documents.decode(body, Cell)


def new_cell(cell_id: ids.CellId, name: ids.MemberId, member: Member) -> Cell:
    """Return a new cell with its first member as coordinator."""
    return Cell(
        cell=cell_id,
        term=ids.Term(1),
        coordinator=name,
        membership=ids.MembershipVersion(1),
        members={name: member},
    )


def add_member(cell: Cell, name: ids.MemberId, member: Member) -> Cell:
    """Add a member, which starts a new membership version."""
    return msgspec.structs.replace(
        cell,
        membership=ids.MembershipVersion(cell.membership + 1),
        members={**cell.members, name: member},
    )


def remove_member(cell: Cell, name: ids.MemberId) -> Cell | None:
    """Remove a suspended or stopped member that owns no slots."""
    member = cell.members.get(name)
    if member is None or cell.owns_anything(name):
        return None
    if member.state not in (MemberState.SUSPENDED, MemberState.STOPPED):
        return None
    return msgspec.structs.replace(
        cell,
        membership=ids.MembershipVersion(cell.membership + 1),
        members={
            other_name: other
            for other_name, other in cell.members.items()
            if other_name != name
        },
    )


def update_member(
    cell: Cell,
    name: ids.MemberId,
    **changes: typing.Any,
) -> Cell:
    """Replace fields of a member."""
    member = msgspec.structs.replace(cell.members[name], **changes)
    return msgspec.structs.replace(
        cell, members={**cell.members, name: member}
    )


def restart_member(
    cell: Cell,
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
        cell, members={**cell.members, name: suspended_member}
    )


def suspend_members(
    cell: Cell,
    names: collections.abc.Iterable[ids.MemberId],
    suspension: ids.SuspensionId,
) -> Cell | None:
    """Suspend members, whose heartbeats are then no longer acknowledged."""
    members = dict(cell.members)
    changed = False
    for name in names:
        member = members.get(name)
        if member is None or member.state is MemberState.SUSPENDED:
            continue
        members[name] = msgspec.structs.replace(
            member, state=MemberState.SUSPENDED, suspension=suspension
        )
        changed = True
    if not changed:
        return None
    return msgspec.structs.replace(cell, members=members)


def lift_suspension(
    cell: Cell, name: ids.MemberId, incarnation: ids.Incarnation
) -> Cell | None:
    """Make a suspended member active again.

    The slots that it still owns get new grants, because a previous
    incarnation may have acted on the old ones.
    """
    member = cell.members.get(name)
    if member is None or member.incarnation != incarnation:
        return None
    if member.state is not MemberState.SUSPENDED:
        return None
    active = update_member(
        cell,
        name,
        state=MemberState.ACTIVE,
        suspension=ids.SuspensionId(""),
    )
    owned = {
        service: dict.fromkeys(slots, name)
        for service, slots in cell.owned_by(name).items()
    }
    return _issue_grants(active, owned)


def start_term(
    cell: Cell, name: ids.MemberId, last_term: ids.Term
) -> Cell | None:
    """Start the term after ``last_term``, with a new coordinator."""
    if cell.term != last_term or name not in cell.members:
        return None
    return msgspec.structs.replace(
        cell, term=ids.Term(cell.term + 1), coordinator=name
    )


def add_service(
    cell: Cell, service: ids.ServiceName, slots: int
) -> Cell | None:
    """Add a service whose slots have no owners yet."""
    if service in cell.services:
        return None
    return msgspec.structs.replace(
        cell, services={**cell.services, service: (None,) * slots}
    )


def grant_slots(cell: Cell, assignment: Assignment) -> Cell | None:
    """Grant slots that have no owner."""
    for service, slots in assignment.items():
        grants = cell.services.get(service, ())
        if any(grants[slot] is not None for slot in slots):
            return None
    return _issue_grants(cell, assignment, ids.FIRST_GRANT)


def take_over_slots(
    cell: Cell,
    lost: ids.MemberId,
    suspension: ids.SuspensionId,
    assignment: Assignment,
) -> Cell | None:
    """Grant the slots of a lost member to other members.

    The member must still have the suspension whose wait has ended, and must
    still own each slot: another coordinator may have acted on the same
    suspension.
    """
    member = cell.members.get(lost)
    if member is None or member.suspension != suspension:
        return None
    return move_slots(cell, lost, assignment)


def move_slots(
    cell: Cell,
    owner: ids.MemberId,
    assignment: Assignment,
    move: ids.MoveId = ids.NO_MOVE,
) -> Cell | None:
    """Grant slots of one owner to other members.

    The owner must still own all of them, and the others must take slots.
    """
    for service, slots in assignment.items():
        grants = cell.services.get(service, ())
        for slot, new_owner in slots.items():
            grant = grants[slot] if slot < len(grants) else None
            if grant is None or grant.owner != owner:
                return None
            if new_owner not in cell.members:
                return None
    new_owners = {
        new_owner
        for slots in assignment.values()
        for new_owner in slots.values()
    }
    if any(
        not cell.members[new_owner].takes_slots for new_owner in new_owners
    ):
        return None
    return _issue_grants(cell, assignment, move)


def _issue_grants(
    cell: Cell, assignment: Assignment, move: ids.MoveId = ids.NO_MOVE
) -> Cell:
    """Issue a grant with its own token for each assigned slot."""
    token = cell.next_token
    services = dict(cell.services)
    for service, slots in assignment.items():
        grants = list(services[service])
        for slot, owner in sorted(slots.items()):
            grants[slot] = Grant(owner, token, move)
            token = ids.Token(token + 1)
        services[service] = tuple(grants)
    return msgspec.structs.replace(cell, services=services, next_token=token)


def add_nonce(cell: Cell, nonce: str) -> Cell:
    """Add the nonce of the write that stores this version."""
    return msgspec.structs.replace(
        cell, nonces=(*cell.nonces, nonce)[-NONCES_KEPT:]
    )
