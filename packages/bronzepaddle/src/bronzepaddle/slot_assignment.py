"""Assignment of hash slots to members.

``plan`` computes the changes towards the target assignment.  In it, every slot
has an owner, and members (and thereby availability zones) own slots in
proportion to their weights.  As few slots as possible move.  The coordinator
grants unowned slots and asks owners to hand over the others.
"""

import collections
import dataclasses
import typing

from bronzepaddle import cells, ids

MOVE_THRESHOLD_SLOTS: typing.Final = 1
"""Surplus over its quota, in slots, at which a member gives slots away."""


@dataclasses.dataclass(frozen=True)
class Plan:
    """Grants of unowned slots, and moves of owned ones.

    ``moves`` contains the new owners of these slots, by current owner.
    """

    grants: cells.Assignment
    moves: dict[ids.MemberId, cells.Assignment]

    @property
    def empty(self) -> bool:
        """Return whether the plan contains no changes."""
        return not self.grants and not self.moves


def plan(cell: cells.Cell, max_moves: int) -> Plan:
    """Return the changes towards the target assignment.

    There are at most ``max_moves`` moves for each service.
    """
    grants: cells.Assignment = {}
    moves: dict[ids.MemberId, cells.Assignment] = {}
    for service in cell.services:
        members = cell.members_serving(service)
        if not members:
            continue
        quotas = _quotas(cell, service, members)
        missing = _missing_slots(cell, service, quotas)
        unowned = _unowned_slots(cell, service)
        if unowned:
            grants[service] = _distribute(unowned, missing)
        for owner, slots in _surplus_slots(cell, service, quotas, max_moves):
            new_owners = _distribute(slots, missing)
            if new_owners:
                moves.setdefault(owner, {})[service] = new_owners
    return Plan(grants, moves)


def new_owners_for(cell: cells.Cell, owner: ids.MemberId) -> cells.Assignment:
    """Return new owners for the slots of a member that must own none.

    Slots of a service without another server are left out: requests for
    their keys wait until there is one.
    """
    new_owners: cells.Assignment = {}
    for service, slots in cell.owned_by(owner).items():
        members = [
            member
            for member in cell.members_serving(service)
            if member != owner
        ]
        if not members:
            continue
        missing = _missing_slots(
            cell, service, _quotas(cell, service, members)
        )
        new_owners[service] = _distribute(slots, missing)
    return new_owners


def _quotas(
    cell: cells.Cell, service: ids.ServiceName, members: list[ids.MemberId]
) -> dict[ids.MemberId, int]:
    """Divide the slots by weight, with the largest remainder method."""
    slots = len(cell.services[service])
    weights = {member: cell.members[member].weight for member in members}
    total = sum(weights.values())
    exact_quotas = {
        member: slots * weight / total for member, weight in weights.items()
    }
    quotas = {
        member: int(exact_quota)
        for member, exact_quota in exact_quotas.items()
    }
    by_remainder = sorted(
        members,
        key=lambda member: (quotas[member] - exact_quotas[member], member),
    )
    for member in by_remainder[: slots - sum(quotas.values())]:
        quotas[member] += 1
    return quotas


def _missing_slots(
    cell: cells.Cell,
    service: ids.ServiceName,
    quotas: dict[ids.MemberId, int],
) -> dict[ids.MemberId, int]:
    """Return how many slots each member is below its quota.

    The number is negative for a member above its quota.
    """
    owned = collections.Counter(
        grant.owner for grant in cell.services[service] if grant is not None
    )
    return {member: quotas[member] - owned[member] for member in quotas}


def _unowned_slots(
    cell: cells.Cell, service: ids.ServiceName
) -> list[ids.SlotId]:
    return [
        ids.SlotId(slot)
        for slot, grant in enumerate(cell.services[service])
        if grant is None
    ]


def _surplus_slots(
    cell: cells.Cell,
    service: ids.ServiceName,
    quotas: dict[ids.MemberId, int],
    limit: int,
) -> typing.Iterator[tuple[ids.MemberId, list[ids.SlotId]]]:
    """Yield owners above their quota, each with the slots to give away.

    There are at most ``limit`` slots in total.
    """
    remaining = limit
    for owner in quotas:
        owned = cell.owned_by(owner).get(service, [])
        surplus = len(owned) - quotas[owner]
        if surplus < MOVE_THRESHOLD_SLOTS or remaining <= 0:
            continue
        yield owner, owned[: min(surplus, remaining)]
        remaining -= surplus


def _distribute(
    slots: list[ids.SlotId], missing: dict[ids.MemberId, int]
) -> dict[ids.SlotId, ids.MemberId]:
    """Assign each slot to the member that is furthest below its quota.

    Updates ``missing``.
    """
    new_owners: dict[ids.SlotId, ids.MemberId] = {}
    for slot in slots:
        new_owner = max(missing, key=lambda member: (missing[member], member))
        new_owners[slot] = new_owner
        missing[new_owner] -= 1
    return new_owners
