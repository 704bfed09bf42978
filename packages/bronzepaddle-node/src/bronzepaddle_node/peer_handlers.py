"""What this process answers to its peers' calls."""

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
    """Implements ``rpc.PeerCallHandlers`` by the parts of the process."""

    def __init__(
        self,
        node_state: state.NodeState,
        quorum_queries: quorum.QuorumQueries,
        slot_owner: owner.Owner,
        upkeep: self_maintenance.SelfMaintenance,
        suspect_replicator: crash_isolation.SuspectReplicator,
    ) -> None:
        self.state = node_state
        self.quorum_queries = quorum_queries
        self.slot_owner = slot_owner
        self.upkeep = upkeep
        self.suspect_replicator = suspect_replicator

    async def on_pull_cell(
        self, request: messages.VersionRequest
    ) -> messages.CellReply:
        """Answer the cell object, if it is newer than the asker's."""
        view = self.state.view
        if view is None or view.version <= request.newer_than:
            return messages.CellReply(self.state.version, b"")
        return messages.CellReply(view.version, cells.encode(view.cell))

    async def on_pull_bundle(
        self, request: messages.VersionRequest
    ) -> messages.BundleReply:
        """Answer the bundle, if it is newer than the asker's."""
        in_force = self.state.bundle
        version = self.state.bundle_version
        if in_force is None or version <= request.newer_than:
            return messages.BundleReply(version, b"")
        return messages.BundleReply(version, in_force.document)

    async def on_silence(
        self, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        """Answer what this process knows of a member's silence."""
        return self.quorum_queries.own_reply(request.member)

    async def on_hand_over(
        self, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Start a planned move of own slots."""
        return messages.HandOverReply(self.upkeep.move_own_slots(request))

    async def on_report_suspect(
        self, notice: messages.SuspectNotice
    ) -> messages.Done:
        """Take in a suspect, or that one is cleared."""
        self.suspect_replicator.apply_notice(notice)
        return messages.Done()

    async def on_transfer_windows(
        self, request: messages.WindowRequest
    ) -> messages.Done:
        """Keep windows for slots that are about to be owned here."""
        self.slot_owner.table.transfer_windows(request)
        return messages.Done()
