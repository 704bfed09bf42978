"""Reassigns the slots of lost members.

A takeover has three steps, each of which is safe by itself.  It writes a
suspension into the cell object, so that no member acknowledges heartbeats of
the lost ones any more.  It waits until no lease of theirs can be valid.  Then
it writes the new owners, provided that the same suspension is still recorded
and the lost members still own the slots.
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
        self, view: cells.Cell, member: ids.MemberId
    ) -> bool:
        """Tell whether a majority has no recent sign of a member's lease.

        Otherwise it is only this process that is cut off from the member,
        and a takeover would cost more than it gains.
        """
        replies = await self.quorum_queries.query(view, member)
        silent = [
            received
            for received in replies
            if received.reply.leased_ago_s
            >= self.state.times.suspicion_timeout_s / 2
        ]
        return len(silent) >= view.majority

    async def suspend(
        self, lost: collections.abc.Sequence[ids.MemberId], new_term: bool
    ) -> ids.SuspensionId | None:
        """Write a suspension; return its id, or None if it was not written.

        With ``new_term`` this process also becomes the coordinator.
        """
        view = self.state.view
        if view is None:
            return None
        term = view.cell.term
        suspension = ids.SuspensionId(ids.new_id())

        def change(now: cells.Cell | None) -> cells.Cell | None:
            if now is None or now.term != term:
                return None
            if new_term:
                now = cells.start_term(now, self.state.name, term)
            return now and cells.suspend_members(now, lost, suspension)

        if not await self.writer.write_confirmed(change):
            return None
        for member in lost:
            logs.membership("suspended", member, self.state.version)
        return suspension

    async def take_over(
        self,
        lost: collections.abc.Sequence[ids.MemberId],
        suspension: ids.SuspensionId,
    ) -> bool:
        """Reassign the slots of suspended members, once that is safe."""
        if not await self.quorum_queries.wait_for_lease_expiry(
            lost, suspension
        ):
            return False
        reassigned: dict[ids.MemberId, cells.Assignment] = {}

        def change(now: cells.Cell | None) -> cells.Cell | None:
            reassigned.clear()
            changed = now
            for member in lost:
                if changed is None:
                    return None
                new_owners = slot_assignment.new_owners_for(changed, member)
                if not new_owners:
                    continue
                after = cells.take_over_slots(
                    changed, member, suspension, new_owners
                )
                if after is not None:
                    reassigned[member] = new_owners
                    changed = after
            return changed if reassigned else None

        if not await self.writer.write_confirmed(change):
            return False
        for member, new_owners in reassigned.items():
            logs.placement(
                self.state.name,
                "takeover",
                member,
                new_owners,
                self.state.version,
            )
        return True
