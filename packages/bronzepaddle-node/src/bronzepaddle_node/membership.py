"""Wires the components that make a process a member of its cell.

The composition root passes in the real store and peer calls; tests pass in
fakes of both and a simulated clock.
"""

import collections.abc

from bronzepaddle import cells, options
from bronzepaddle_peers import rpc
from bronzepaddle_store import store

from bronzepaddle_node import (
    cell_watcher,
    cell_writer,
    coordinator,
    crash_isolation,
    handover,
    heartbeats,
    joining,
    owner,
    peer_handlers,
    quorum,
    self_maintenance,
    state,
    tasks,
)


class Membership:
    """Owns the components and the tasks of one process's membership."""

    def __init__(
        self,
        node_state: state.NodeState,
        object_store: store.Store,
        peer_calls: rpc.PeerCalls,
        slot_owner: owner.SlotOwner,
        backend_options: options.BackendOptions,
        seed_addresses: collections.abc.Sequence[cells.Address],
        suspect_replicator: crash_isolation.SuspectReplicator,
    ) -> None:
        self.background_tasks = tasks.Tasks()
        self.heartbeats = heartbeats.Heartbeats(
            node_state, peer_calls, self.background_tasks
        )
        self.cell_watcher = cell_watcher.CellWatcher(
            node_state, object_store, self.heartbeats
        )
        self.heartbeats.refresh = self.cell_watcher.refresh
        quorum_queries = quorum.QuorumQueries(node_state, peer_calls)
        writer = cell_writer.CellWriter(
            node_state, object_store, self.heartbeats
        )
        joiner = joining.Joiner(
            node_state,
            object_store,
            writer,
            self.heartbeats,
            quorum_queries,
            tuple(seed_addresses),
        )
        self.self_maintenance = self_maintenance.SelfMaintenance(
            node_state,
            backend_options,
            writer,
            slot_owner,
            handover.Handovers(
                node_state, writer, peer_calls, slot_owner.slot_table
            ),
            joiner,
            self.background_tasks,
        )
        self.joiner = joiner
        self.coordinator = coordinator.Coordinator(
            node_state,
            writer,
            peer_calls,
            quorum_queries,
            self.background_tasks,
            self.self_maintenance.move_own_slots,
        )
        self.peer_handlers = peer_handlers.PeerHandlers(
            node_state,
            quorum_queries,
            slot_owner,
            self.self_maintenance,
            suspect_replicator,
        )

    def start(self) -> None:
        """Start the tasks; one of them joins the cell."""
        start = self.background_tasks.start
        start(self.joiner.join(), "join")
        start(self.heartbeats.run(), "heartbeats")
        start(self.cell_watcher.run_reads(), "reads")
        start(self.cell_watcher.run_watch(), "watch")
        start(self.coordinator.run(), "coordinator")
        start(self.self_maintenance.run(), "duties")

    async def stop(self) -> None:
        """Cancel the tasks."""
        await self.background_tasks.stop()
