"""Makes this process a member of its cell, and lifts its suspension.

Heartbeats of a suspended member are not acknowledged, so it gets no lease.
A process acknowledges no heartbeats and owns nothing before it has written
itself into the cell object.  That write succeeds only on the latest version,
so the process then knows every suspension, even if the replies of peers are
outdated.  Members join one at a time, each once a majority knows the previous
change of the membership.
"""

import asyncio
import typing

from bronzepaddle import cells, ids, logs
from bronzepaddle_store import store, updates

from bronzepaddle_node import cell_writer, heartbeats, quorum, state

RETRY_S: typing.Final = 0.1


class Joiner:
    """Writes this process into its cell."""

    def __init__(
        self,
        node_state: state.NodeState,
        object_store: store.Store,
        writer: cell_writer.CellWriter,
        node_heartbeats: heartbeats.Heartbeats,
        quorum_queries: quorum.QuorumQueries,
        seed_addresses: tuple[cells.Address, ...],
    ) -> None:
        self.state = node_state
        self.object_store = object_store
        self.writer = writer
        self.heartbeats = node_heartbeats
        self.quorum_queries = quorum_queries
        self.seed_addresses = seed_addresses

    async def join(self) -> None:
        """Add this process to the cell; retries until it is a member."""
        while not await self._try_join():
            await self._learn_from_peers()
            await self.state.clock.sleep(RETRY_S)
        self.state.joined = True
        self.heartbeats.send_heartbeats()
        logs.membership("joined", self.state.name, self.state.cell_version)
        await self.lift_suspension()

    async def _learn_from_peers(self) -> None:
        """Pull the cell and the bundle from peers if no cell is known yet.

        This lets the process route requests while the store is unreachable.
        """
        if self.state.known_cell is not None:
            return
        calls = [
            self.heartbeats.pull_from(address)
            for address in self.seed_addresses
        ]
        await asyncio.gather(*calls, return_exceptions=True)

    async def _try_join(self) -> bool:
        """Write this process into the cell; return whether it is a member."""
        try:
            stored = await updates.read(
                self.object_store, self.state.identity.cell
            )
        except store.StoreUnavailableError:
            # Logged where the store is called; ``join`` retries.
            return False
        observed = None if stored is None else stored.cell
        if observed is not None and not await self._may_write(observed):
            return False
        written = await self.writer.write_confirmed(
            lambda current: self._with_own_member(current, observed)
        )
        return written and self.state.own_member is not None

    async def _may_write(self, observed: cells.Cell) -> bool:
        """Return whether this process may write itself into the cell.

        A new member may, once a majority knows the current membership.  A
        process whose name is in the cell already may only take the place of
        an earlier run at the same address.
        """
        own_member = observed.members.get(self.state.name)
        if own_member is not None:
            return bool(own_member.address == self.state.identity.address)
        return await self.quorum_queries.majority_knows(observed)

    def _with_own_member(
        self, current: cells.Cell | None, observed: cells.Cell | None
    ) -> cells.Cell | None:
        """Return the cell with this run of the process as a member."""
        identity = self.state.identity
        member = cells.Member(
            address=identity.address,
            zone=identity.zone,
            incarnation=identity.incarnation,
            state=cells.MemberState.ACTIVE,
        )
        if current is None:
            return cells.new_cell(identity.cell, identity.name, member)
        if observed is None or current.membership != observed.membership:
            return None
        own_member = current.members.get(identity.name)
        if own_member is None:
            return cells.add_member(current, identity.name, member)
        if own_member.incarnation == identity.incarnation:
            return current
        suspension = ids.SuspensionId(ids.new_id())
        return cells.restart_member(current, identity.name, member, suspension)

    async def lift_suspension(self) -> None:
        """Lift this process's suspension, once no lease of it can be valid.

        A process is suspended after a restart, or after a pause that made the
        others consider it lost.
        """
        own_member = self.state.own_member
        if (
            own_member is None
            or own_member.state is not cells.MemberState.SUSPENDED
        ):
            return
        if not await self.quorum_queries.wait_for_lease_expiry(
            [self.state.name], own_member.suspension
        ):
            return
        if await self.writer.write_confirmed(self._without_suspension):
            logs.membership(
                "returned", self.state.name, self.state.cell_version
            )

    def _without_suspension(
        self, current: cells.Cell | None
    ) -> cells.Cell | None:
        if current is None:
            return None
        identity = self.state.identity
        return cells.lift_suspension(
            current, identity.name, identity.incarnation
        )
