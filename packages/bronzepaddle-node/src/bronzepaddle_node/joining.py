"""Makes this process a member of its cell, or lets it back in.

A process vouches for nobody and owns nothing before it has written itself
into the cell object: that write is also the read that shows it every
suspension, however stale other answers may be.  Members join one at a time,
each when a majority knows of the change before.
"""

import asyncio
import typing

from bronzepaddle import cells, ids, logs
from bronzepaddle_store import store, updates

from bronzepaddle_node import cell_writer, heartbeats, quorum, state

RETRY_S: typing.Final = 0.1


class Joining:
    """Writes this process into its cell."""

    def __init__(
        self,
        node_state: state.NodeState,
        objects: store.Store,
        writer: cell_writer.CellWriter,
        heartbeats: heartbeats.Heartbeats,
        quorum_queries: quorum.QuorumQueries,
        ask_first: tuple[cells.Address, ...],
    ) -> None:
        self.state = node_state
        self.objects = objects
        self.writer = writer
        self.heartbeats = heartbeats
        self.quorum_queries = quorum_queries
        self.ask_first = ask_first

    async def join(self) -> None:
        """Return when this process is a member."""
        while not await self._try_join():
            await self._learn_from_peers()
            await self.state.time.sleep(RETRY_S)
        self.state.joined = True
        self.heartbeats.send_round()
        logs.membership("joined", self.state.name, self.state.version)
        await self.come_back()

    async def _learn_from_peers(self) -> None:
        """Route by what peers know while the store can't be asked."""
        if self.state.view is not None:
            return
        calls = [self.heartbeats.pull_from(at) for at in self.ask_first]
        await asyncio.gather(*calls, return_exceptions=True)

    async def _try_join(self) -> bool:
        try:
            found = await updates.read(self.objects, self.state.identity.cell)
        except store.StoreUnavailableError:
            # Logged where the store is called; asked again later.
            return False
        known = None if found is None else found.cell
        if known is not None and not await self._may_change(known):
            return False
        entered = await self.writer.write_confirmed(
            lambda now: self._entered(now, known)
        )
        return entered and self.state.myself is not None

    async def _may_change(self, known: cells.Cell) -> bool:
        """Tell whether the member set may change, or need not."""
        mine = known.members.get(self.state.name)
        if mine is not None:
            return bool(mine.address == self.state.identity.address)
        return await self.quorum_queries.majority_knows(known)

    def _entered(
        self, now: cells.Cell | None, known: cells.Cell | None
    ) -> cells.Cell | None:
        """Return the cell with this run of the process in it."""
        identity = self.state.identity
        member = cells.Member(
            address=identity.address,
            zone=identity.zone,
            incarnation=identity.incarnation,
            state=cells.MemberState.ACTIVE,
        )
        if now is None:
            return cells.new_cell(identity.cell, identity.name, member)
        if known is None or now.membership != known.membership:
            return None
        mine = now.members.get(identity.name)
        if mine is None:
            return cells.add_member(now, identity.name, member)
        if mine.incarnation == identity.incarnation:
            return now
        suspension = ids.SuspensionId(ids.new_id())
        return cells.restart_member(now, identity.name, member, suspension)

    async def come_back(self) -> None:
        """Lift this process's suspension, once no lease of it is left.

        A suspension stands after a restart, or after a pause in which the
        others took this process for lost.
        """
        mine = self.state.myself
        if mine is None or mine.state is not cells.MemberState.SUSPENDED:
            return
        if not await self.quorum_queries.wait_for_lease_expiry(
            [self.state.name], mine.suspension
        ):
            return
        if await self.writer.write_confirmed(self._lifted):
            logs.membership("returned", self.state.name, self.state.version)

    def _lifted(self, now: cells.Cell | None) -> cells.Cell | None:
        if now is None:
            return None
        identity = self.state.identity
        return cells.lift_suspension(now, identity.name, identity.incarnation)
