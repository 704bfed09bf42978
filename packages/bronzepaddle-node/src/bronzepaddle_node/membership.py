"""Wires the parts that make a process a member of its cell.

The composition root gives it the real store and link; tests give it small
fakes of both and a clock that they turn.
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
    """The membership of one process, and its tasks."""

    def __init__(
        self,
        node_state: state.NodeState,
        objects: store.Store,
        peers: rpc.PeerCalls,
        slots: owner.Owner,
        backend: options.BackendOptions,
        ask_first: collections.abc.Sequence[cells.Address],
        sharing: crash_isolation.SuspectReplicator,
    ) -> None:
        self.running = tasks.Tasks()
        self.heartbeats = heartbeats.Heartbeats(
            node_state, peers, self.running
        )
        self.watching = cell_watcher.CellWatcher(
            node_state, objects, self.heartbeats
        )
        self.heartbeats.refresh = self.watching.refresh
        quiet = quorum.QuorumQueries(node_state, peers)
        writer = cell_writer.CellWriter(node_state, objects, self.heartbeats)
        entering = joining.Joining(
            node_state,
            objects,
            writer,
            self.heartbeats,
            quiet,
            tuple(ask_first),
        )
        self.self_maintenance = self_maintenance.SelfMaintenance(
            node_state,
            backend,
            writer,
            slots,
            handover.HandOver(node_state, writer, peers, slots.table),
            entering,
            self.running,
        )
        self.joining = entering
        self.coordinator = coordinator.Coordinator(
            node_state,
            writer,
            peers,
            quiet,
            self.running,
            self.self_maintenance.move_own_slots,
        )
        self.peer_handlers = peer_handlers.PeerHandlers(
            node_state, quiet, slots, self.self_maintenance, sharing
        )

    def start(self) -> None:
        """Start the tasks; the process joins in the background."""
        start = self.running.start
        start(self.joining.join(), "join")
        start(self.heartbeats.run(), "heartbeats")
        start(self.watching.run_reads(), "reads")
        start(self.watching.run_watch(), "watch")
        start(self.coordinator.run(), "coordinator")
        start(self.self_maintenance.run(), "duties")

    async def stop(self) -> None:
        """End the tasks at once."""
        await self.running.stop()
