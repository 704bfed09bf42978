"""What a member does for its own standing, again and again.

It keeps its record in the cell object true to its backend server, gives its
slots away when the server or the lease is lost or the process is leaving,
comes back after a suspension, and ends work that would outlive its lease.
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

UNLEASED_S: typing.Final = 0.3
"""Time without a lease after which a member gives its keys away itself."""


class SelfMaintenance:
    """The upkeep of one member."""

    def __init__(
        self,
        node_state: state.NodeState,
        backend: options.BackendOptions,
        writer: cell_writer.CellWriter,
        slots: owner.Owner,
        moves: handover.HandOver,
        entering: joining.Joining,
        running: tasks.Tasks,
    ) -> None:
        self.state = node_state
        self.backend = backend
        self.writer = writer
        self.slots = slots
        self.moves = moves
        self.entering = entering
        self.running = running

    async def run(self) -> None:
        """Do what is due, one thing at a time."""
        while True:
            await self.state.time.sleep(TICK_S)
            if self.state.joined and self.state.view is not None:
                step = self._look(self.state.view.cell)
                await tasks.log_exceptions(step, "duties")

    async def _look(self, view: cells.Cell) -> None:
        self.slots.cancel_unleased_requests()
        mine = self.state.myself
        if mine is None:
            await self._enter_again()
        elif mine.state is cells.MemberState.SUSPENDED:
            await self._come_back()
        elif not self._record_is_true(mine):
            await self._correct_record()
        elif view.owns_anything(self.state.name) and not mine.takes_slots:
            heirs = slot_assignment.new_owners_for(view, self.state.name)
            await self.moves.give(heirs, "release")

    async def _enter_again(self) -> None:
        """Join anew after others removed this process as lost."""
        self.state.joined = False
        await self.entering.join()

    async def _come_back(self) -> None:
        """Lift the suspension while a majority can be heard again."""
        view = self.state.view
        if view is None or self.state.leaving:
            return
        hearing = 1 + sum(
            self.state.heard_ago(name) < self.state.times.suspicion_timeout_s
            for name, _ in self.state.others()
        )
        if hearing >= view.cell.majority:
            await self.entering.come_back()

    def _wanted(self) -> tuple[ids.ServiceName, int, cells.MemberState]:
        """Return what this member's record should say."""
        leaving = self.state.leaving
        standing = (
            cells.MemberState.DRAINING if leaving else cells.MemberState.ACTIVE
        )
        known = self.state.backend
        able = (
            self.state.backend_alive(self.backend.announce_s)
            and self.state.unleased_s() < UNLEASED_S
        )
        if known is None or not able or not self._serves(known.announcement):
            return ids.ServiceName(""), 0, standing
        return known.announcement.service, known.announcement.slots, standing

    def _serves(self, announced: announcements.Announcement) -> bool:
        """Tell whether the bundle in force has the announced service."""
        in_force = self.state.bundle
        if in_force is None:
            return False
        return announced.service in in_force.rules.services

    def _record_is_true(self, mine: cells.Member) -> bool:
        return (mine.service, mine.weight, mine.state) == self._wanted()

    async def _correct_record(self) -> None:
        service, weight, standing = self._wanted()
        incarnation = self.state.identity.incarnation

        def change(now: cells.Cell | None) -> cells.Cell | None:
            if now is None:
                return None
            if not now.is_current(self.state.name, incarnation):
                return None
            if (
                now.members[self.state.name].state
                is cells.MemberState.SUSPENDED
            ):
                return None
            return cells.update_member(
                now,
                self.state.name,
                service=service,
                weight=weight,
                state=standing,
            )

        await self.writer.write_confirmed(change)

    def move_own_slots(self, request: messages.HandOverRequest) -> bool:
        """Start a planned move of own slots, unless one is on its way."""
        if self.moves.busy:
            return False
        given: cells.Assignment = {}
        for one in request.moves:
            given.setdefault(one.service, {})[one.slot] = one.heir
        self.running.start(self._move(given), "move")
        return True

    async def _move(self, given: cells.Assignment) -> None:
        await self.moves.give(given, "move")

    async def leave(self, drain_s: float) -> None:
        """Give everything away, then write that this process stopped."""
        self.state.leaving = True
        until = self.state.time.now() + drain_s
        while self.state.time.now() < until:
            view = self.state.view
            if view is None or not self.state.joined:
                return
            gone = not view.cell.owns_anything(self.state.name)
            if gone and not self.slots.table.total_in_flight():
                break
            await self.state.time.sleep(TICK_S)
        await self._write_stopped()

    async def _write_stopped(self) -> None:
        # From here on this process vouches for nobody.
        self.state.joined = False
        incarnation = self.state.identity.incarnation

        def change(now: cells.Cell | None) -> cells.Cell | None:
            if now is None or now.owns_anything(self.state.name):
                return None
            if not now.is_current(self.state.name, incarnation):
                return None
            return cells.update_member(
                now, self.state.name, state=cells.MemberState.STOPPED, weight=0
            )

        await self.writer.write_confirmed(change)
