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
        knowledge: state.State,
        objects: store.Store,
        peers: rpc.Link,
        slots: owner.Owner,
        backend: options.BackendOptions,
        ask_first: collections.abc.Sequence[cells.Address],
        sharing: crash_isolation.Sharing,
    ) -> None:
        self.running = tasks.Tasks()
        self.beats = heartbeats.Heartbeats(knowledge, peers, self.running)
        self.watching = cell_watcher.Watching(knowledge, objects, self.beats)
        self.beats.refresh = self.watching.refresh
        quiet = quorum.Silence(knowledge, peers)
        writer = cell_writer.CellWriter(knowledge, objects, self.beats)
        entering = joining.Joining(
            knowledge, objects, writer, self.beats, quiet, tuple(ask_first)
        )
        self.duties = self_maintenance.Duties(
            knowledge,
            backend,
            writer,
            slots,
            handover.HandOver(knowledge, writer, peers, slots.table),
            entering,
            self.running,
        )
        self.joining = entering
        self.coordinator = coordinator.Coordinator(
            knowledge,
            writer,
            peers,
            quiet,
            self.running,
            self.duties.move_own,
        )
        self.peering = peer_handlers.Peering(
            knowledge, quiet, slots, self.duties, sharing
        )

    def start(self) -> None:
        """Start the tasks; the process joins in the background."""
        start = self.running.start
        start(self.joining.join(), "join")
        start(self.beats.run(), "heartbeats")
        start(self.watching.run_reads(), "reads")
        start(self.watching.run_watch(), "watch")
        start(self.coordinator.run(), "coordinator")
        start(self.duties.run(), "duties")

    async def stop(self) -> None:
        """End the tasks at once."""
        await self.running.stop()
