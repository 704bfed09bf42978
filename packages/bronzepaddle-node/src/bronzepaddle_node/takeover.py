"""Gives the keys of lost members to others.

Three steps, each safe by itself: write the suspension into the cell object,
so that nobody vouches for the lost any more; wait until no lease of theirs
can hold; write the new owners, on condition that the very suspension still
stands and the lost still own what is given away.
"""

import collections.abc

from bronzepaddle import cells, ids, logs, slot_assignment

from bronzepaddle_node import cell_writer, quorum, state


class Takeover:
    """Suspends members and takes over from them."""

    def __init__(
        self,
        node_state: state.NodeState,
        writer: cell_writer.CellWriter,
        quorum_queries: quorum.QuorumQueries,
    ) -> None:
        self.state = node_state
        self.writer = writer
        self.quorum_queries = quorum_queries

    async def lost_by_majority(
        self, view: cells.Cell, member: ids.MemberId
    ) -> bool:
        """Tell whether a majority has not heard of a member's lease either.

        Otherwise it is this process that is cut off from it, and a
        takeover would cost more than it brings.
        """
        answered = await self.quorum_queries.ask(view, member)
        silent = [
            one
            for one in answered
            if one.reply.leased_ago_s
            >= self.state.times.suspicion_timeout_s / 2
        ]
        return len(silent) >= view.majority

    async def suspend(
        self, lost: collections.abc.Sequence[ids.MemberId], new_term: bool
    ) -> ids.SuspensionId | None:
        """Write a suspension; ``new_term`` takes the coordinator's place."""
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
        """Give the slots of suspended members to others, when it is safe."""
        if not await self.quorum_queries.wait_for_lease_expiry(
            lost, suspension
        ):
            return False
        given: dict[ids.MemberId, cells.Assignment] = {}

        def change(now: cells.Cell | None) -> cells.Cell | None:
            given.clear()
            changed = now
            for member in lost:
                if changed is None:
                    return None
                heirs = slot_assignment.new_owners_for(changed, member)
                if not heirs:
                    continue
                after = cells.take_over_slots(
                    changed, member, suspension, heirs
                )
                if after is not None:
                    given[member] = heirs
                    changed = after
            return changed if given else None

        if not await self.writer.write_confirmed(change):
            return False
        for member, heirs in given.items():
            logs.placement(
                self.state.name,
                "takeover",
                member,
                heirs,
                self.state.version,
            )
        return True
