"""Hands slots of this process over, without waiting for a lease to expire.

The owner itself performs the handover: it rejects new requests for the slots,
waits for the requests in flight, sends the idempotency windows (the recorded
results of earlier requests) to the new owners and then writes the cell object.
While the owner is alive, no other member reassigns its slots, so no member has
to wait until its lease expires, and no handover is half complete: if the write
is declined, or the store is unavailable and the write cannot have run, the
owner serves the slots again; if the outcome of the write is unknown, the slots
stay paused until the store shows it.
"""

import typing

from bronzepaddle import cells, ids, logs
from bronzepaddle_peers import messages, rpc
from bronzepaddle_store import updates

from bronzepaddle_node import cell_writer, state

POLL_S: typing.Final = 0.005
"""Interval at which a handover counts the requests still in flight."""

DRAIN_S: typing.Final = 2.0
"""Longest time for which requests in flight may delay a handover."""


class Slots(typing.Protocol):
    """The operations on slots that a handover needs."""

    def pause(self, assignment: cells.Assignment) -> None:
        """Reject new requests for slots."""
        ...

    def resume(self, assignment: cells.Assignment) -> None:
        """Accept requests for slots again."""
        ...

    def in_flight(self, assignment: cells.Assignment) -> int:
        """Return the number of requests in flight for slots."""
        ...

    def windows(
        self, assignment: cells.Assignment, move: ids.MoveId
    ) -> dict[ids.MemberId, messages.TransferWindowsRequest]:
        """Return the idempotency windows of slots, by new owner."""
        ...


class Handovers:
    """Performs the handovers of one process, one at a time."""

    def __init__(
        self,
        node_state: state.NodeState,
        writer: cell_writer.CellWriter,
        peer_calls: rpc.PeerCalls,
        slots: Slots,
    ) -> None:
        self.state = node_state
        self.writer = writer
        self.peer_calls = peer_calls
        self.slots = slots
        self.busy = False

    async def hand_over(
        self, assignment: cells.Assignment, kind: str, drain_s: float = DRAIN_S
    ) -> bool:
        """Move slots to other members; return whether they were moved.

        ``kind`` is the kind of change to log: ``move`` if the coordinator
        asked for it, ``release`` if this member gives up all its slots.
        Nothing is moved while another handover is running, or if requests are
        still in flight after ``drain_s``.
        """
        if self.busy or not assignment:
            return False
        self.busy = True
        move = ids.MoveId(ids.new_id())
        self.slots.pause(assignment)
        try:
            if not await self._drain(assignment, drain_s):
                return False
            await self._send_windows(assignment, move)
            moved = await self._write(assignment, move)
        finally:
            self.slots.resume(assignment)
            self.busy = False
        if moved:
            logs.placement(
                self.state.name,
                kind,
                self.state.name,
                assignment,
                self.state.cell_version,
            )
        return moved

    async def _drain(
        self, assignment: cells.Assignment, drain_s: float
    ) -> bool:
        deadline = self.state.clock.now() + drain_s
        while self.slots.in_flight(assignment):
            if self.state.clock.now() >= deadline:
                return False
            await self.state.clock.sleep(POLL_S)
        return True

    async def _send_windows(
        self, assignment: cells.Assignment, move: ids.MoveId
    ) -> None:
        """Send the windows to the new owners.

        A new owner without the window of a slot rejects older idempotency
        keys, so a failed call is only logged.
        """
        known_cell = self.state.known_cell
        if known_cell is None:
            return
        for new_owner, request in self.slots.windows(assignment, move).items():
            member = known_cell.cell.members.get(new_owner)
            if member is None:
                continue
            try:
                await self.peer_calls.transfer_windows(member.address, request)
            except rpc.PeerError as error:
                logs.call_failed(f"windows for {new_owner}", str(error))

    async def _write(
        self, assignment: cells.Assignment, move: ids.MoveId
    ) -> bool:
        def change(current: cells.Cell | None) -> cells.Cell | None:
            if current is None:
                return None
            return cells.move_slots(current, self.state.name, assignment, move)

        unresolved = updates.UnresolvedWrites()
        while True:
            outcome = await self.writer.write(change, unresolved)
            match outcome:
                case updates.Written():
                    return True
                case (
                    updates.Declined()
                    | updates.Unavailable(may_have_run=False)
                ):
                    return False
                case updates.Unavailable():
                    # Another member may own the slots already.
                    await self.state.clock.sleep(updates.RETRY_S)
                case _:
                    typing.assert_never(outcome)
