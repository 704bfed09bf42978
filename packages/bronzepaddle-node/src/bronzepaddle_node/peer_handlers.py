"""Handles the calls of peers to this process."""

from bronzepaddle import cells
from bronzepaddle_peers import messages

from bronzepaddle_node import (
    crash_isolation,
    owner,
    quorum,
    self_maintenance,
    state,
)


class PeerHandlers:
    """Implements ``rpc.PeerCallHandlers`` by the components of the process."""

    def __init__(
        self,
        node_state: state.NodeState,
        quorum_queries: quorum.QuorumQueries,
        slot_owner: owner.SlotOwner,
        maintenance: self_maintenance.SelfMaintenance,
        suspect_replicator: crash_isolation.SuspectReplicator,
    ) -> None:
        self.state = node_state
        self.quorum_queries = quorum_queries
        self.slot_owner = slot_owner
        self.self_maintenance = maintenance
        self.suspect_replicator = suspect_replicator

    async def on_pull_cell(
        self, request: messages.VersionRequest
    ) -> messages.CellReply:
        """Return the cell object; empty if it is not newer than the peer's."""
        known_cell = self.state.known_cell
        if known_cell is None or known_cell.version <= request.newer_than:
            return messages.CellReply(self.state.version, b"")
        return messages.CellReply(
            known_cell.version, cells.encode(known_cell.cell)
        )

    async def on_pull_bundle(
        self, request: messages.VersionRequest
    ) -> messages.BundleReply:
        """Return the bundle; empty if it is not newer than the peer's."""
        active = self.state.bundle
        version = self.state.bundle_version
        if active is None or version <= request.newer_than:
            return messages.BundleReply(version, b"")
        return messages.BundleReply(version, active.document)

    async def on_silence(
        self, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        """Return how long this process has not heard from a member."""
        return self.quorum_queries.own_reply(request.member)

    async def on_hand_over(
        self, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Start a planned move of own slots, unless one is in progress."""
        return messages.HandOverReply(
            self.self_maintenance.move_own_slots(request)
        )

    async def on_report_suspect(
        self, notice: messages.SuspectNotice
    ) -> messages.Done:
        """Record a suspect or, if the notice clears it, remove it."""
        self.suspect_replicator.apply_notice(notice)
        return messages.Done()

    async def on_transfer_windows(
        self, request: messages.TransferWindowsRequest
    ) -> messages.Done:
        """Store idempotency windows of slots that this process will own."""
        self.slot_owner.slot_table.transfer_windows(request)
        return messages.Done()
