"""The coordinator's task: manages the members and the slots of a cell.

A cell is a group of processes, its members.  The cell object in the store
lists them, the owner of each hash slot of a service, and the coordinator with
its term.

Every action of the coordinator would be safe in any member; the term in the
cell object only keeps two members from working against each other.  When the
coordinator stops sending heartbeats or has no lease, another active member
starts a new term; the first one by name waits the shortest time.
"""

import asyncio
import collections.abc
import typing

from bronzepaddle import bundles, cells, ids, logs, slot_assignment
from bronzepaddle_peers import messages, rpc

from bronzepaddle_node import cell_writer, quorum, state, takeover, tasks

TICK_S: typing.Final = 0.1
"""Interval at which each member checks the cell."""

STAGGER_S: typing.Final = 0.25
"""Time that each member by name waits longer than the one before it until it
starts a new term."""

MAX_MOVES_PER_ROUND: typing.Final = 32
"""Maximum number of slots of a service that one balancing round moves."""

BALANCE_INTERVAL_S: typing.Final = 1.0
"""Minimum time between two balancing rounds."""

REMOVE_AFTER_S: typing.Final = 30.0
"""Time without heartbeats after which a suspended member is removed."""


MoveOwnSlots: typing.TypeAlias = collections.abc.Callable[
    [messages.HandOverRequest], bool
]
"""Starts a handover of this process's own slots; returns whether it did."""


class Coordinator:
    """Runs in every member; only the one that holds the term acts."""

    def __init__(
        self,
        node_state: state.NodeState,
        writer: cell_writer.CellWriter,
        peer_calls: rpc.PeerCalls,
        quorum_queries: quorum.QuorumQueries,
        background_tasks: tasks.Tasks,
        move_own_slots: MoveOwnSlots,
    ) -> None:
        self.state = node_state
        self.writer = writer
        self.peer_calls = peer_calls
        self.quorum_queries = quorum_queries
        self.background_tasks = background_tasks
        self.move_own_slots = move_own_slots
        self.takeover = takeover.Takeover(node_state, writer, quorum_queries)
        self.running_takeovers: set[ids.SuspensionId] = set()
        self.balanced_at = float("-inf")

    async def run(self) -> None:
        """Check the cell periodically."""
        while True:
            await self.state.clock.sleep(TICK_S)
            await tasks.log_exceptions(self._step(), "coordinator")

    async def _step(self) -> None:
        known_cell = self.state.known_cell
        own_member = self.state.own_member
        if known_cell is None or own_member is None or not self.state.joined:
            return
        if own_member.state is cells.MemberState.SUSPENDED:
            return
        if known_cell.cell.coordinator == self.state.name:
            await self._manage(known_cell.cell)
        elif self._should_start_term(known_cell.cell):
            await self._become_coordinator(known_cell.cell)

    def _should_start_term(self, cell: cells.Cell) -> bool:
        """Return whether this process should start a new term now.

        If the recorded coordinator is active but has reported no lease for a
        while, the other active members wait in the order of their names, each
        one ``STAGGER_S`` longer than the one before it.  If it is not active,
        none of them waits.
        """
        candidates = sorted(
            name
            for name, member in cell.members.items()
            if member.state is cells.MemberState.ACTIVE
            and name != cell.coordinator
        )
        if self.state.name not in candidates:
            return False
        if not _has_active_coordinator(cell):
            return True
        delay_s = candidates.index(self.state.name) * STAGGER_S
        silent_s = self.state.lease_report_age_s(cell.coordinator)
        return silent_s >= self.state.times.suspicion_timeout_s + delay_s

    async def _become_coordinator(self, cell: cells.Cell) -> None:
        """Become the coordinator, if the recorded one is lost or not active.

        If a majority confirms that it is lost, its slots and those of all
        other lost members are taken over as well.
        """
        lost = await self._lost_members(cell)
        if cell.coordinator in lost:
            await self._suspend_and_take_over(lost, new_term=True)
        elif not _has_active_coordinator(cell):
            await self.writer.write_confirmed(
                lambda current: (
                    current
                    and cells.start_term(current, self.state.name, cell.term)
                )
            )

    async def _manage(self, cell: cells.Cell) -> None:
        """Take over from lost members, else remove members or assign slots."""
        lost = await self._lost_members(cell)
        if lost:
            await self._suspend_and_take_over(lost, new_term=False)
            return
        self._resume_takeovers(cell)
        if await self._remove_one_member(cell):
            return
        await self._assign_slots(cell)

    async def _lost_members(self, cell: cells.Cell) -> list[ids.MemberId]:
        """Return the members that are silent, or own slots without a lease.

        A majority has to agree on each of them.
        """
        candidates = [
            name
            for name, member in self.state.others()
            if member.state
            in (cells.MemberState.ACTIVE, cells.MemberState.DRAINING)
            and self._seems_lost(cell, name)
        ]
        confirmed = await asyncio.gather(
            *(
                self.takeover.majority_confirms_lost(cell, name)
                for name in candidates
            )
        )
        return [
            name
            for name, lost_confirmed in zip(candidates, confirmed, strict=True)
            if lost_confirmed
        ]

    def _seems_lost(self, cell: cells.Cell, name: ids.MemberId) -> bool:
        timeout_s = self.state.times.suspicion_timeout_s
        if self.state.heartbeat_age_s(name) >= timeout_s:
            return True
        if not self.state.has_lease() or not cell.owns_anything(name):
            return False
        return self.state.lease_report_age_s(name) >= timeout_s

    async def _suspend_and_take_over(
        self, lost: list[ids.MemberId], new_term: bool
    ) -> None:
        """Suspend lost members, then take over from them in a task."""
        suspension = await self.takeover.suspend(lost, new_term)
        if suspension is not None:
            self._start_takeover_task(lost, suspension)

    def _resume_takeovers(self, cell: cells.Cell) -> None:
        """Take over from members that are suspended but still own slots.

        An earlier coordinator began the takeover, or a restart of the member
        caused the suspension.
        """
        suspended: dict[ids.SuspensionId, list[ids.MemberId]] = {}
        for name, member in cell.members.items():
            if member.state is not cells.MemberState.SUSPENDED:
                continue
            if slot_assignment.new_owners_for(cell, name):
                suspended.setdefault(member.suspension, []).append(name)
        for suspension, lost in suspended.items():
            self._start_takeover_task(lost, suspension)

    def _start_takeover_task(
        self, lost: list[ids.MemberId], suspension: ids.SuspensionId
    ) -> None:
        if suspension in self.running_takeovers:
            return
        self.running_takeovers.add(suspension)
        self.background_tasks.start(
            self._take_over(lost, suspension), "takeover"
        )

    async def _take_over(
        self, lost: list[ids.MemberId], suspension: ids.SuspensionId
    ) -> None:
        try:
            await self.takeover.take_over(lost, suspension)
        finally:
            self.running_takeovers.discard(suspension)

    async def _remove_one_member(self, cell: cells.Cell) -> bool:
        """Remove one member that has stopped or stays lost, if any.

        Returns whether one was removed.  Members are removed one at a time,
        each once a majority knows the current membership.
        """
        removable = next(
            (name for name in cell.members if self._is_removable(cell, name)),
            None,
        )
        if removable is None or not await self.quorum_queries.majority_knows(
            cell
        ):
            return False

        def change(current: cells.Cell | None) -> cells.Cell | None:
            if current is None or current.membership != cell.membership:
                return None
            return cells.remove_member(current, removable)

        if not await self.writer.write_confirmed(change):
            return False
        logs.membership("removed", removable, self.state.cell_version)
        return True

    def _is_removable(self, cell: cells.Cell, name: ids.MemberId) -> bool:
        if name == self.state.name or cell.owns_anything(name):
            return False
        match cell.members[name].state:
            case cells.MemberState.STOPPED:
                return True
            case cells.MemberState.SUSPENDED:
                return self.state.heartbeat_age_s(name) >= REMOVE_AFTER_S
            case _:
                return False

    async def _assign_slots(self, cell: cells.Cell) -> None:
        """Take the first action that is due.

        Adds a service to the cell, assigns unowned slots, or requests the
        handovers that balance the slots between the members.
        """
        new_service = self._service_without_slots(cell)
        if new_service is not None:
            await self.writer.write_confirmed(
                lambda current: (
                    current
                    and cells.add_service(
                        current, new_service.name, new_service.slots
                    )
                )
            )
            return
        plan = slot_assignment.plan(cell, MAX_MOVES_PER_ROUND)
        if plan.grants:
            if await self.writer.write_confirmed(
                lambda current: (
                    current and cells.grant_slots(current, plan.grants)
                )
            ):
                logs.placement(
                    self.state.name,
                    "grant",
                    None,
                    plan.grants,
                    self.state.cell_version,
                )
            return
        now = self.state.clock.now()
        if not plan.moves or now - self.balanced_at < BALANCE_INTERVAL_S:
            return
        self.balanced_at = now
        for owner, assignment in plan.moves.items():
            await self._request_handover(cell, owner, assignment)

    def _service_without_slots(
        self, cell: cells.Cell
    ) -> bundles.Service | None:
        """Return a keyed service of the bundle that the cell lacks, if any."""
        if self.state.bundle is None:
            return None
        for service in self.state.bundle.rules.services.values():
            if service.keyed and service.name not in cell.services:
                return service
        return None

    async def _request_handover(
        self,
        cell: cells.Cell,
        owner: ids.MemberId,
        assignment: cells.Assignment,
    ) -> None:
        request = messages.HandOverRequest(
            tuple(
                messages.SlotMove(service, slot, new_owner)
                for service, slots in assignment.items()
                for slot, new_owner in slots.items()
            )
        )
        if owner == self.state.name:
            self.move_own_slots(request)
            return
        try:
            await self.peer_calls.hand_over(
                cell.members[owner].address, request
            )
        except rpc.PeerError as error:
            # The next balancing round makes a new plan.
            logs.call_failed(f"handover by {owner}", str(error))


def _has_active_coordinator(cell: cells.Cell) -> bool:
    """Return whether the recorded coordinator is an active member."""
    coordinator = cell.members.get(cell.coordinator)
    return (
        coordinator is not None
        and coordinator.state is cells.MemberState.ACTIVE
    )
