"""The coordinator's task: looks after the members and the slots of a cell.

Any member may do what it does; the term in the cell object only keeps two
from getting in each other's way.  The next member in line takes the term
when the coordinator falls silent.
"""

import asyncio
import collections.abc
import typing

from bronzepaddle import bundles, cells, ids, logs, slot_assignment
from bronzepaddle_peers import messages, rpc

from bronzepaddle_node import cell_writer, quorum, state, takeover, tasks

TICK_S: typing.Final = 0.1
STAGGER_S: typing.Final = 0.25
"""Time that each member leaves those before it in line to take the term."""

MOVES_AT_ONCE: typing.Final = 32
"""Slots that one round of balancing moves at most."""

MOVE_EVERY_S: typing.Final = 1.0
REMOVE_AFTER_S: typing.Final = 30.0
"""Time that a suspended member has to come back before it is removed."""


MoveOwn: typing.TypeAlias = collections.abc.Callable[
    [messages.HandOverRequest], bool
]
"""Starts a planned move of this process's own slots."""


class Coordinator:
    """Runs in every member; acts in the one that has the term."""

    def __init__(
        self,
        node_state: state.NodeState,
        writer: cell_writer.CellWriter,
        peers: rpc.PeerCalls,
        quorum_queries: quorum.QuorumQueries,
        running: tasks.Tasks,
        move_own_slots: MoveOwn,
    ) -> None:
        self.state = node_state
        self.writer = writer
        self.peers = peers
        self.quorum_queries = quorum_queries
        self.running = running
        self.move_own_slots = move_own_slots
        self.takeover = takeover.Takeover(node_state, writer, quorum_queries)
        self.taking: set[ids.SuspensionId] = set()
        self.moved_at = float("-inf")

    async def run(self) -> None:
        """Look at the cell again and again."""
        while True:
            await self.state.time.sleep(TICK_S)
            await tasks.log_exceptions(self._look(), "coordinator")

    async def _look(self) -> None:
        view = self.state.view
        mine = self.state.myself
        if view is None or mine is None or not self.state.joined:
            return
        if mine.state is cells.MemberState.SUSPENDED:
            return
        if view.cell.coordinator == self.state.name:
            await self._look_after(view.cell)
        elif self._in_line(view.cell):
            await self._take_term(view.cell)

    def _in_line(self, view: cells.Cell) -> bool:
        """Tell whether the coordinator is gone and it is our turn."""
        line = sorted(
            name
            for name, member in view.members.items()
            if member.state is cells.MemberState.ACTIVE
            and name != view.coordinator
        )
        if self.state.name not in line:
            return False
        if not _can_coordinate(view):
            return True
        turn_s = line.index(self.state.name) * STAGGER_S
        silent_s = self.state.leased_ago(view.coordinator)
        return silent_s >= self.state.times.suspicion_timeout_s + turn_s

    async def _take_term(self, view: cells.Cell) -> None:
        """Take the coordinator's place, and its keys if it is lost."""
        lost = await self._lost(view)
        if view.coordinator in lost:
            await self._begin(lost, new_term=True)
        elif not _can_coordinate(view):
            await self.writer.write_confirmed(
                lambda now: (
                    now and cells.start_term(now, self.state.name, view.term)
                )
            )

    async def _look_after(self, view: cells.Cell) -> None:
        lost = await self._lost(view)
        if lost:
            await self._begin(lost, new_term=False)
            return
        self._resume_takeovers(view)
        if await self._remove_one(view):
            return
        await self._place(view)

    async def _lost(self, view: cells.Cell) -> list[ids.MemberId]:
        """Return the members that are silent, or own keys without a lease.

        A majority has to agree.
        """
        quiet = [
            name
            for name, member in self.state.others()
            if member.state
            in (cells.MemberState.ACTIVE, cells.MemberState.DRAINING)
            and self._seems_lost(view, name)
        ]
        agreed = await asyncio.gather(
            *(self.takeover.lost_by_majority(view, name) for name in quiet)
        )
        return [name for name, yes in zip(quiet, agreed, strict=True) if yes]

    def _seems_lost(self, view: cells.Cell, name: ids.MemberId) -> bool:
        silent_s = self.state.times.suspicion_timeout_s
        if self.state.heard_ago(name) >= silent_s:
            return True
        if not self.state.has_lease() or not view.owns_anything(name):
            return False
        return self.state.leased_ago(name) >= silent_s

    async def _begin(self, lost: list[ids.MemberId], new_term: bool) -> None:
        """Suspend members, then take over from them in the background."""
        suspension = await self.takeover.suspend(lost, new_term)
        if suspension is not None:
            self._start_takeover(lost, suspension)

    def _resume_takeovers(self, view: cells.Cell) -> None:
        """Finish what an earlier coordinator began, or a restart caused."""
        standing: dict[ids.SuspensionId, list[ids.MemberId]] = {}
        for name, member in view.members.items():
            if member.state is not cells.MemberState.SUSPENDED:
                continue
            if slot_assignment.new_owners_for(view, name):
                standing.setdefault(member.suspension, []).append(name)
        for suspension, lost in standing.items():
            self._start_takeover(lost, suspension)

    def _start_takeover(
        self, lost: list[ids.MemberId], suspension: ids.SuspensionId
    ) -> None:
        if suspension in self.taking:
            return
        self.taking.add(suspension)
        self.running.start(self._take_over(lost, suspension), "takeover")

    async def _take_over(
        self, lost: list[ids.MemberId], suspension: ids.SuspensionId
    ) -> None:
        try:
            await self.takeover.take_over(lost, suspension)
        finally:
            self.taking.discard(suspension)

    async def _remove_one(self, view: cells.Cell) -> bool:
        """Remove a member that is gone for good; one at a time."""
        gone = next(
            (name for name in view.members if self._gone(view, name)), None
        )
        if gone is None or not await self.quorum_queries.majority_knows(view):
            return False

        def change(now: cells.Cell | None) -> cells.Cell | None:
            if now is None or now.membership != view.membership:
                return None
            return cells.remove_member(now, gone)

        if not await self.writer.write_confirmed(change):
            return False
        logs.membership("removed", gone, self.state.version)
        return True

    def _gone(self, view: cells.Cell, name: ids.MemberId) -> bool:
        if name == self.state.name or view.owns_anything(name):
            return False
        match view.members[name].state:
            case cells.MemberState.STOPPED:
                return True
            case cells.MemberState.SUSPENDED:
                return self.state.heard_ago(name) >= REMOVE_AFTER_S
            case _:
                return False

    async def _place(self, view: cells.Cell) -> None:
        """Give unowned slots out and ask for moves that balance."""
        sized = self._unsized(view)
        if sized is not None:
            await self.writer.write_confirmed(
                lambda now: (
                    now and cells.add_service(now, sized.name, sized.slots)
                )
            )
            return
        plan = slot_assignment.plan(view, MOVES_AT_ONCE)
        if plan.grants:
            if await self.writer.write_confirmed(
                lambda now: now and cells.grant_slots(now, plan.grants)
            ):
                logs.placement(
                    self.state.name,
                    "grant",
                    None,
                    plan.grants,
                    self.state.version,
                )
            return
        now = self.state.time.now()
        if not plan.moves or now - self.moved_at < MOVE_EVERY_S:
            return
        self.moved_at = now
        for owner, assignment in plan.moves.items():
            await self._ask_for_move(view, owner, assignment)

    def _unsized(self, view: cells.Cell) -> bundles.Service | None:
        """Return a service of the bundle that has no table yet."""
        if self.state.bundle is None:
            return None
        for service in self.state.bundle.rules.services.values():
            if service.keyed and service.name not in view.services:
                return service
        return None

    async def _ask_for_move(
        self,
        view: cells.Cell,
        owner: ids.MemberId,
        assignment: cells.Assignment,
    ) -> None:
        request = messages.HandOverRequest(
            tuple(
                messages.SlotMove(service, slot, heir)
                for service, slots in assignment.items()
                for slot, heir in slots.items()
            )
        )
        if owner == self.state.name:
            self.move_own_slots(request)
            return
        try:
            await self.peers.hand_over(view.members[owner].address, request)
        except rpc.PeerError as error:
            # The next round plans anew.
            logs.call_failed(f"handover by {owner}", str(error))


def _can_coordinate(view: cells.Cell) -> bool:
    """Tell whether the coordinator on record may still be acting."""
    holder = view.members.get(view.coordinator)
    return holder is not None and holder.state is cells.MemberState.ACTIVE
