"""The cell object: who the members are and who owns which hash slot.

One cell object stands in the platform's store for each cell and changes
only by conditional writes; each function below turns one version of it into
the next and is the ``change`` of such a write.  A function returns None when
the version it was given does not allow the change any more.

Tokens only grow: every grant takes the next one of the cell.
"""

import collections.abc
import enum
import typing

import msgspec

from bronzepaddle import ids

NONCES_KEPT: typing.Final = 64
"""Writes whose nonces the object holds, to resolve lost answers."""


class MemberState(enum.Enum):
    """What a member may do."""

    ACTIVE = "active"
    SUSPENDED = "suspended"
    DRAINING = "draining"
    STOPPED = "stopped"


class Address(msgspec.Struct, frozen=True):
    """Where a process takes messages of other processes (TCP and UDP)."""

    host: str
    port: int


class Member(msgspec.Struct, frozen=True):
    """One process of the cell, with the backend server beside it.

    ``service`` is empty and ``weight`` 0 until a backend server has
    announced itself; ``weight`` is the number of its slots for requests.
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
        """Tell whether the member may be given hash slots."""
        return self.state is MemberState.ACTIVE and self.weight > 0


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """A hash slot's owner with its fencing token.

    ``move`` names the planned move that the grant came from, so that the
    new owner can tell a window handed over with it from an older one.
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
        """Return how many members are more than half."""
        return len(self.members) // 2 + 1

    def grant(
        self, service: ids.ServiceName, slot: ids.SlotId
    ) -> Grant | None:
        """Return the grant that holds for a slot, or None."""
        slots = self.services.get(service, ())
        return slots[slot] if slot < len(slots) else None

    def serving(self, service: ids.ServiceName) -> list[ids.MemberId]:
        """Return the active members whose backend server has a service."""
        return [
            name
            for name, one in self.members.items()
            if one.service == service and one.takes_slots
        ]

    def owned_by(
        self, member: ids.MemberId
    ) -> dict[ids.ServiceName, list[ids.SlotId]]:
        """Return the hash slots that a member owns."""
        owned: dict[ids.ServiceName, list[ids.SlotId]] = {}
        for service, grants in self.services.items():
            found = [
                ids.SlotId(slot)
                for slot, grant in enumerate(grants)
                if grant is not None and grant.owner == member
            ]
            if found:
                owned[service] = found
        return owned

    def owns_anything(self, member: ids.MemberId) -> bool:
        """Tell whether a member owns a slot."""
        return bool(self.owned_by(member))

    def is_current(
        self, member: ids.MemberId, incarnation: ids.Incarnation
    ) -> bool:
        """Tell whether a run of a member is the one on record."""
        found = self.members.get(member)
        return found is not None and found.incarnation == incarnation


Assignment: typing.TypeAlias = dict[
    ids.ServiceName, dict[ids.SlotId, ids.MemberId]
]
"""New owners of slots, by service and slot."""


class VersionedCell(msgspec.Struct, frozen=True):
    """A cell object with the version the store gave it."""

    version: ids.ObjectVersion
    cell: Cell


def encode(cell: Cell) -> bytes:
    """Return the cell object as the store holds it."""
    return msgspec.json.encode(cell)


def decode(body: bytes) -> Cell:
    """Return the cell object read from the store.

    Raises ``msgspec.ValidationError`` when it is none.
    """
    return msgspec.json.decode(body, type=Cell)


def new_cell(cell: ids.CellId, name: ids.MemberId, member: Member) -> Cell:
    """Return the cell that its first member writes."""
    return Cell(
        cell=cell,
        term=ids.Term(1),
        coordinator=name,
        membership=ids.MembershipVersion(1),
        members={name: member},
    )


def add_member(now: Cell, name: ids.MemberId, member: Member) -> Cell:
    """Return the cell with one member more."""
    return msgspec.structs.replace(
        now,
        membership=ids.MembershipVersion(now.membership + 1),
        members={**now.members, name: member},
    )


def remove_member(now: Cell, name: ids.MemberId) -> Cell | None:
    """Return the cell without a member that owns nothing."""
    found = now.members.get(name)
    if found is None or now.owns_anything(name):
        return None
    if found.state not in (MemberState.SUSPENDED, MemberState.STOPPED):
        return None
    return msgspec.structs.replace(
        now,
        membership=ids.MembershipVersion(now.membership + 1),
        members={
            one: member for one, member in now.members.items() if one != name
        },
    )


def update_member(
    now: Cell,
    name: ids.MemberId,
    **changes: typing.Any,
) -> Cell:
    """Return the cell with fields of one member replaced."""
    member = msgspec.structs.replace(now.members[name], **changes)
    return msgspec.structs.replace(now, members={**now.members, name: member})


def restart_member(
    now: Cell,
    name: ids.MemberId,
    member: Member,
    suspension: ids.SuspensionId,
) -> Cell:
    """Return the cell with a new run of a member, suspended for now.

    An earlier run may still act on its lease, so the new one waits like
    anybody who takes over, then lifts the suspension.
    """
    fresh = msgspec.structs.replace(
        member, state=MemberState.SUSPENDED, suspension=suspension
    )
    return msgspec.structs.replace(now, members={**now.members, name: fresh})


def suspend_members(
    now: Cell,
    names: collections.abc.Iterable[ids.MemberId],
    suspension: ids.SuspensionId,
) -> Cell | None:
    """Return the cell with members that nobody may vouch for any more."""
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


def lift_suspension(
    now: Cell, name: ids.MemberId, incarnation: ids.Incarnation
) -> Cell | None:
    """Return the cell with a suspended member let back in.

    What it still owns is granted anew: an earlier grant may have been
    acted on by an earlier run.
    """
    found = now.members.get(name)
    if found is None or found.incarnation != incarnation:
        return None
    if found.state is not MemberState.SUSPENDED:
        return None
    active = update_member(
        now,
        name,
        state=MemberState.ACTIVE,
        suspension=ids.SuspensionId(""),
    )
    own = {
        service: dict.fromkeys(slots, name)
        for service, slots in now.owned_by(name).items()
    }
    return _issue_grants(active, own)


def start_term(now: Cell, name: ids.MemberId, over: ids.Term) -> Cell | None:
    """Return the cell with its next coordinator."""
    if now.term != over or name not in now.members:
        return None
    return msgspec.structs.replace(
        now, term=ids.Term(now.term + 1), coordinator=name
    )


def add_service(
    now: Cell, service: ids.ServiceName, slots: int
) -> Cell | None:
    """Return the cell with an unowned table for a new service."""
    if service in now.services:
        return None
    return msgspec.structs.replace(
        now, services={**now.services, service: (None,) * slots}
    )


def grant_slots(now: Cell, assignment: Assignment) -> Cell | None:
    """Return the cell with owners for slots that have none."""
    for service, slots in assignment.items():
        table = now.services.get(service, ())
        if any(table[slot] is not None for slot in slots):
            return None
    return _issue_grants(now, assignment, ids.FIRST_GRANT)


def take_over_slots(
    now: Cell,
    lost: ids.MemberId,
    suspension: ids.SuspensionId,
    assignment: Assignment,
) -> Cell | None:
    """Return the cell with a lost member's slots owned by others.

    Holds only while the very suspension that was waited for still stands
    and the lost member still owns each slot: another coordinator may have
    acted on the same suspension.
    """
    found = now.members.get(lost)
    if found is None or found.suspension != suspension:
        return None
    return move_slots(now, lost, assignment)


def move_slots(
    now: Cell,
    owner: ids.MemberId,
    assignment: Assignment,
    move: ids.MoveId = ids.NO_MOVE,
) -> Cell | None:
    """Return the cell with slots of one owner given to others."""
    for service, slots in assignment.items():
        table = now.services.get(service, ())
        for slot, heir in slots.items():
            grant = table[slot] if slot < len(table) else None
            if grant is None or grant.owner != owner:
                return None
            if heir not in now.members:
                return None
    heirs = {heir for slots in assignment.values() for heir in slots.values()}
    if any(not now.members[heir].takes_slots for heir in heirs):
        return None
    return _issue_grants(now, assignment, move)


def _issue_grants(
    now: Cell, assignment: Assignment, move: ids.MoveId = ids.NO_MOVE
) -> Cell:
    """Return the cell with new grants, each with a token of its own."""
    token = now.next_token
    services = dict(now.services)
    for service, slots in assignment.items():
        table = list(services[service])
        for slot, owner in sorted(slots.items()):
            table[slot] = Grant(owner, token, move)
            token = ids.Token(token + 1)
        services[service] = tuple(table)
    return msgspec.structs.replace(now, services=services, next_token=token)


def add_nonce(now: Cell, nonce: str) -> Cell:
    """Return the cell with the nonce of the write that makes it."""
    return msgspec.structs.replace(
        now, nonces=(*now.nonces, nonce)[-NONCES_KEPT:]
    )
