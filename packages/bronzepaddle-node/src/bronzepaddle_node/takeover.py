"""Reassigns the slots of lost members.

A member acts as owner under a lease, which others extend when they acknowledge
its heartbeats.  A takeover has three steps, each of which is safe by itself.
It writes a suspension of the lost members into the cell object, so that no
member acknowledges heartbeats of theirs any more.  It waits until no lease of
theirs can be valid.  Then it writes the new owners, provided that the same
suspension is still recorded and the lost members still own the slots.
"""

import collections.abc

from bronzepaddle import cells, ids, logs, slot_assignment

from bronzepaddle_node import cell_writer, quorum, state


class Takeover:
    """Suspends lost members and reassigns their slots."""

    def __init__(
        self,
        node_state: state.NodeState,
        writer: cell_writer.CellWriter,
        quorum_queries: quorum.QuorumQueries,
    ) -> None:
        self.state = node_state
        self.writer = writer
        self.quorum_queries = quorum_queries

    async def majority_confirms_lost(
        self, cell: cells.Cell, member: ids.MemberId
    ) -> bool:
        """Return whether a majority has no recent report of a member's lease.

        If others have one, only this process can't reach the member, and a
        takeover would cost more than it gains.
        """
        replies = await self.quorum_queries.query(cell, member)
        confirming = [
            received
            for received in replies
            if received.reply.leased_ago_s
            >= self.state.times.suspicion_timeout_s / 2
        ]
        return len(confirming) >= cell.majority

    async def suspend(
        self, lost: collections.abc.Sequence[ids.MemberId], new_term: bool
    ) -> ids.SuspensionId | None:
        """Write a suspension; return its id, or None if it was not written.

        With ``new_term`` this process also becomes the coordinator.
        """
        known_cell = self.state.known_cell
        if known_cell is None:
            return None
        term = known_cell.cell.term
        suspension = ids.SuspensionId(ids.new_id())

        def change(current: cells.Cell | None) -> cells.Cell | None:
            if current is None or current.term != term:
                return None
            if new_term:
                current = cells.start_term(current, self.state.name, term)
            return current and cells.suspend_members(current, lost, suspension)

        if not await self.writer.write_confirmed(change):
            return None
        for member in lost:
            logs.membership("suspended", member, self.state.cell_version)
        return suspension

    async def take_over(
        self,
        lost: collections.abc.Sequence[ids.MemberId],
        suspension: ids.SuspensionId,
    ) -> bool:
        """Reassign the slots of suspended members, once that is safe.

        Returns whether any slot was reassigned.
        """
        if not await self.quorum_queries.wait_for_lease_expiry(
            lost, suspension
        ):
            return False
        reassigned: dict[ids.MemberId, cells.Assignment] = {}

        def change(current: cells.Cell | None) -> cells.Cell | None:
            # Called once for each attempt to write.
            reassigned.clear()
            updated = current
            for member in lost:
                if updated is None:
                    return None
                new_owners = slot_assignment.new_owners_for(updated, member)
                if not new_owners:
                    continue
                with_takeover = cells.take_over_slots(
                    updated, member, suspension, new_owners
                )
                if with_takeover is not None:
                    reassigned[member] = new_owners
                    updated = with_takeover
            return updated if reassigned else None

        if not await self.writer.write_confirmed(change):
            return False
        for member, new_owners in reassigned.items():
            logs.placement(
                self.state.name,
                "takeover",
                member,
                new_owners,
                self.state.cell_version,
            )
        return True
