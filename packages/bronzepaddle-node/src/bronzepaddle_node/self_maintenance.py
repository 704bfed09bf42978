"""The periodic work by which a member maintains its own place in the cell.

The cell object in the store has a record of each member and the owner of each
hash slot.  A member updates its record when its backend server changes, and
hands its slots over when the server or the lease is lost or the process is
leaving.  A member that seemed lost or has restarted is marked as suspended,
and gets no lease until it has lifted this suspension.  The member also cancels
requests that would outlive its lease.
"""

import typing

from bronzepaddle import cells, ids, options, slot_assignment
from bronzepaddle_backend import announcements
from bronzepaddle_peers import messages

from bronzepaddle_node import (
    cell_writer,
    handover,
    joining,
    owner,
    state,
    tasks,
)

TICK_S: typing.Final = 0.05
"""Interval at which a member checks its record in the cell."""

UNLEASED_LIMIT_S: typing.Final = 0.3
"""Time without a lease after which a member hands its slots over."""


class SelfMaintenance:
    """Maintains the record and the slots of this process's member."""

    def __init__(
        self,
        node_state: state.NodeState,
        backend_options: options.BackendOptions,
        writer: cell_writer.CellWriter,
        slot_owner: owner.SlotOwner,
        handovers: handover.Handovers,
        joiner: joining.Joiner,
        background_tasks: tasks.Tasks,
    ) -> None:
        self.state = node_state
        self.backend_options = backend_options
        self.writer = writer
        self.slot_owner = slot_owner
        self.handovers = handovers
        self.joiner = joiner
        self.background_tasks = background_tasks

    async def run(self) -> None:
        """Check periodically, and take one action at a time."""
        while True:
            await self.state.clock.sleep(TICK_S)
            if self.state.joined and self.state.known_cell is not None:
                step = self._step(self.state.known_cell.cell)
                await tasks.log_exceptions(step, "duties")

    async def _step(self, cell: cells.Cell) -> None:
        self.slot_owner.cancel_unleased_requests()
        own_member = self.state.own_member
        if own_member is None:
            await self._join_again()
        elif own_member.state is cells.MemberState.SUSPENDED:
            await self._lift_suspension()
        elif not self._record_is_current(own_member):
            await self._update_record()
        elif (
            cell.owns_anything(self.state.name) and not own_member.takes_slots
        ):
            new_owners = slot_assignment.new_owners_for(cell, self.state.name)
            await self.handovers.hand_over(new_owners, "release")

    async def _join_again(self) -> None:
        """Join again after the coordinator removed this process as lost."""
        self.state.joined = False
        await self.joiner.join()

    async def _lift_suspension(self) -> None:
        """Lift the suspension if heartbeats of a majority arrive again."""
        known_cell = self.state.known_cell
        if known_cell is None or self.state.leaving:
            return
        responsive_count = 1 + sum(
            self.state.heartbeat_age_s(name)
            < self.state.times.suspicion_timeout_s
            for name, _ in self.state.others()
        )
        if responsive_count >= known_cell.cell.majority:
            await self.joiner.lift_suspension()

    def _intended_record(
        self,
    ) -> tuple[ids.ServiceName, int, cells.MemberState]:
        """Return the service, weight and state that the record should have.

        The weight is 0 if no slots may be assigned to this member.
        """
        leaving = self.state.leaving
        member_state = (
            cells.MemberState.DRAINING if leaving else cells.MemberState.ACTIVE
        )
        received = self.state.backend_announcement
        usable = (
            self.state.backend_alive(self.backend_options.announce_s)
            and self.state.unleased_s() < UNLEASED_LIMIT_S
        )
        if (
            received is None
            or not usable
            or not self._serves(received.announcement)
        ):
            return ids.ServiceName(""), 0, member_state
        return (
            received.announcement.service,
            received.announcement.slots,
            member_state,
        )

    def _serves(self, announcement: announcements.Announcement) -> bool:
        """Return whether the configuration has the announced service."""
        active_bundle = self.state.bundle
        if active_bundle is None:
            return False
        return announcement.service in active_bundle.rules.services

    def _record_is_current(self, own_member: cells.Member) -> bool:
        return (
            own_member.service,
            own_member.weight,
            own_member.state,
        ) == self._intended_record()

    async def _update_record(self) -> None:
        service, weight, member_state = self._intended_record()
        incarnation = self.state.identity.incarnation

        def change(current: cells.Cell | None) -> cells.Cell | None:
            if current is None:
                return None
            if not current.is_current(self.state.name, incarnation):
                return None
            if (
                current.members[self.state.name].state
                is cells.MemberState.SUSPENDED
            ):
                return None
            return cells.update_member(
                current,
                self.state.name,
                service=service,
                weight=weight,
                state=member_state,
            )

        await self.writer.write_confirmed(change)

    def move_own_slots(self, request: messages.HandOverRequest) -> bool:
        """Start a handover of own slots, unless one is in progress."""
        if self.handovers.busy:
            return False
        assignment: cells.Assignment = {}
        for slot_move in request.moves:
            assignment.setdefault(slot_move.service, {})[slot_move.slot] = (
                slot_move.heir
            )
        self.background_tasks.start(self._hand_over(assignment), "move")
        return True

    async def _hand_over(self, assignment: cells.Assignment) -> None:
        await self.handovers.hand_over(assignment, "move")

    async def leave_cell(self, drain_s: float) -> None:
        """Hand all slots over, then record that this process has stopped.

        ``_step`` hands them over, since the process is leaving.  Waits for
        that and for the requests in flight, at most ``drain_s``.
        """
        self.state.leaving = True
        deadline = self.state.clock.now() + drain_s
        while self.state.clock.now() < deadline:
            known_cell = self.state.known_cell
            if known_cell is None or not self.state.joined:
                return
            owns_nothing = not known_cell.cell.owns_anything(self.state.name)
            if (
                owns_nothing
                and not self.slot_owner.slot_table.total_in_flight()
            ):
                break
            await self.state.clock.sleep(TICK_S)
        await self._write_stopped()

    async def _write_stopped(self) -> None:
        """Record that this process has stopped, if it owns no slots."""
        # From here on this process acknowledges no heartbeats.
        self.state.joined = False
        incarnation = self.state.identity.incarnation

        def change(current: cells.Cell | None) -> cells.Cell | None:
            if current is None or current.owns_anything(self.state.name):
                return None
            if not current.is_current(self.state.name, incarnation):
                return None
            return cells.update_member(
                current,
                self.state.name,
                state=cells.MemberState.STOPPED,
                weight=0,
            )

        await self.writer.write_confirmed(change)
