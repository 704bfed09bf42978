"""Which member is to own which hash slot.

``plan`` gives the target: every slot owned, shares in proportion to the
members' weights, zones evenly hit, and as few slots moved as that allows.
The coordinator grants what is unowned and asks owners to hand over the rest.
"""

import collections
import dataclasses
import typing

from bronzepaddle import cells, ids

MOVE_THRESHOLD_SLOTS: typing.Final = 1
"""Slots by which a share may be off before it is worth a move."""


@dataclasses.dataclass(frozen=True)
class Plan:
    """Owners for unowned slots, and moves by owner that loses a slot."""

    grants: cells.Assignment
    moves: dict[ids.MemberId, cells.Assignment]

    @property
    def empty(self) -> bool:
        """Tell whether nothing is to be done."""
        return not self.grants and not self.moves


def plan(view: cells.Cell, most_moves: int) -> Plan:
    """Return what brings the cell's slots to where they should be."""
    grants: cells.Assignment = {}
    moves: dict[ids.MemberId, cells.Assignment] = {}
    for service in view.services:
        able = view.serving(service)
        if not able:
            continue
        quota = _quotas(view, service, able)
        spare = _spare(view, service, quota)
        unowned = _unowned(view, service)
        if unowned:
            grants[service] = _share_out(unowned, spare)
        for owner, slots in _surplus(view, service, quota, most_moves):
            heirs = _share_out(slots, spare)
            if heirs:
                moves.setdefault(owner, {})[service] = heirs
    return Plan(grants, moves)


def new_owners_for(view: cells.Cell, lost: ids.MemberId) -> cells.Assignment:
    """Return new owners for all slots of a member that is gone.

    Services without another server are left out: their keys wait.
    """
    heirs: cells.Assignment = {}
    for service, slots in view.owned_by(lost).items():
        able = [one for one in view.serving(service) if one != lost]
        if not able:
            continue
        spare = _spare(view, service, _quotas(view, service, able))
        heirs[service] = _share_out(slots, spare)
    return heirs


def _quotas(
    view: cells.Cell, service: ids.ServiceName, able: list[ids.MemberId]
) -> dict[ids.MemberId, int]:
    """Share the slots out by weight; the largest remainders round up."""
    slots = len(view.services[service])
    weights = {one: view.members[one].weight for one in able}
    whole = sum(weights.values())
    exact = {one: slots * weight / whole for one, weight in weights.items()}
    quota = {one: int(share) for one, share in exact.items()}
    by_remainder = sorted(able, key=lambda one: (quota[one] - exact[one], one))
    for one in by_remainder[: slots - sum(quota.values())]:
        quota[one] += 1
    return quota


def _spare(
    view: cells.Cell,
    service: ids.ServiceName,
    quota: dict[ids.MemberId, int],
) -> dict[ids.MemberId, int]:
    """Return how many slots each member is short of its quota."""
    held = collections.Counter(
        grant.owner for grant in view.services[service] if grant is not None
    )
    return {one: quota[one] - held[one] for one in quota}


def _unowned(view: cells.Cell, service: ids.ServiceName) -> list[ids.SlotId]:
    return [
        ids.SlotId(slot)
        for slot, grant in enumerate(view.services[service])
        if grant is None
    ]


def _surplus(
    view: cells.Cell,
    service: ids.ServiceName,
    quota: dict[ids.MemberId, int],
    most: int,
) -> typing.Iterator[tuple[ids.MemberId, list[ids.SlotId]]]:
    """Yield the slots that owners hold beyond their quota, up to ``most``."""
    left = most
    for owner in quota:
        held = view.owned_by(owner).get(service, [])
        extra = len(held) - quota[owner]
        if extra < MOVE_THRESHOLD_SLOTS or left <= 0:
            continue
        yield owner, held[: min(extra, left)]
        left -= extra


def _share_out(
    slots: list[ids.SlotId], spare: dict[ids.MemberId, int]
) -> dict[ids.SlotId, ids.MemberId]:
    """Give each slot to the member that is shortest of its quota."""
    heirs: dict[ids.SlotId, ids.MemberId] = {}
    for slot in slots:
        heir = max(spare, key=lambda one: (spare[one], one))
        heirs[slot] = heir
        spare[heir] -= 1
    return heirs
