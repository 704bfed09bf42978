"""Gives slots of this process to other members, with no lease wait.

The owner itself does it: it takes nothing new for the slots, lets what is in
flight end, hands the idempotency windows to the next owners and then writes
the cell object.  Nobody but the owner gives its slots away while it lives,
so no release has to be waited for, and none can be left half done: when the
write is refused the owner goes on, when its outcome is unknown it stays put
until the store has told.
"""

import typing

from bronzepaddle import cells, ids, logs
from bronzepaddle_peers import messages, rpc
from bronzepaddle_store import updates

from bronzepaddle_node import cell_writer, state

POLL_S: typing.Final = 0.005
DRAIN_S: typing.Final = 2.0
"""Longest time that requests in flight may hold up a planned move."""


class Slots(typing.Protocol):
    """What an owner can do with its slots."""

    def hold(self, given: cells.Assignment) -> None:
        """Take no new request for slots."""
        ...

    def resume(self, given: cells.Assignment) -> None:
        """Take requests again."""
        ...

    def in_flight(self, given: cells.Assignment) -> int:
        """Return how many requests of slots are in flight."""
        ...

    def windows(
        self, given: cells.Assignment, move: ids.MoveId
    ) -> dict[ids.MemberId, messages.WindowRequest]:
        """Return the idempotency windows of slots, by next owner."""
        ...


class HandOver:
    """Planned moves of this process's slots."""

    def __init__(
        self,
        node_state: state.NodeState,
        writer: cell_writer.CellWriter,
        peers: rpc.PeerCalls,
        slots: Slots,
    ) -> None:
        self.state = node_state
        self.writer = writer
        self.peers = peers
        self.slots = slots
        self.busy = False

    async def give(
        self, given: cells.Assignment, what: str, drain_s: float = DRAIN_S
    ) -> bool:
        """Move slots to other members and tell whether that was done."""
        if self.busy or not given:
            return False
        self.busy = True
        move = ids.MoveId(ids.new_id())
        self.slots.hold(given)
        try:
            if not await self._drained(given, drain_s):
                return False
            await self._send_windows(given, move)
            done = await self._write(given, move)
        finally:
            self.slots.resume(given)
            self.busy = False
        if done:
            logs.placement(
                self.state.name,
                what,
                self.state.name,
                given,
                self.state.version,
            )
        return done

    async def _drained(self, given: cells.Assignment, drain_s: float) -> bool:
        until = self.state.time.now() + drain_s
        while self.slots.in_flight(given):
            if self.state.time.now() >= until:
                return False
            await self.state.time.sleep(POLL_S)
        return True

    async def _send_windows(
        self, given: cells.Assignment, move: ids.MoveId
    ) -> None:
        """Hand windows over; an heir without one refuses older ids."""
        view = self.state.view
        if view is None:
            return
        for heir, request in self.slots.windows(given, move).items():
            member = view.cell.members.get(heir)
            if member is None:
                continue
            try:
                await self.peers.transfer_windows(member.address, request)
            except rpc.PeerError as error:
                logs.call_failed(f"windows for {heir}", str(error))

    async def _write(self, given: cells.Assignment, move: ids.MoveId) -> bool:
        def change(now: cells.Cell | None) -> cells.Cell | None:
            if now is None:
                return None
            return cells.move_slots(now, self.state.name, given, move)

        lost = updates.UnresolvedWrites()
        while True:
            outcome = await self.writer.write(change, lost)
            match outcome:
                case updates.Written():
                    return True
                case (
                    updates.Refused() | updates.Unavailable(may_have_run=False)
                ):
                    return False
                case updates.Unavailable():
                    # The slots may be another's already.
                    await self.state.time.sleep(updates.RETRY_S)
                case _:
                    typing.assert_never(outcome)
