"""Wires the parts that make a process a member of its cell.

The composition root passes in the real store and peer link; tests pass in
fakes of both and a clock that they advance.
"""

import collections.abc

from bronzepaddle import cells, options
from bronzepaddle_peers import link
from bronzepaddle_store import store

from bronzepaddle_node import (
    coordinator,
    crashes,
    duties,
    handover,
    heartbeats,
    joining,
    owner,
    peering,
    silence,
    state,
    tasks,
    watching,
    writing,
)


class Membership:
    """Owns the parts and the tasks of one process's membership."""

    def __init__(
        self,
        knowledge: state.State,
        objects: store.Store,
        peers: link.Link,
        slots: owner.Owner,
        backend: options.BackendOptions,
        ask_first: collections.abc.Sequence[cells.Address],
        sharing: crashes.Sharing,
    ) -> None:
        self.running = tasks.Tasks()
        self.beats = heartbeats.Heartbeats(knowledge, peers, self.running)
        self.watching = watching.Watching(knowledge, objects, self.beats)
        self.beats.refresh = self.watching.refresh
        quiet = silence.Silence(knowledge, peers)
        writer = writing.CellWriter(knowledge, objects, self.beats)
        joiner = joining.Joiner(
            knowledge, objects, writer, self.beats, quiet, tuple(ask_first)
        )
        self.duties = duties.Duties(
            knowledge,
            backend,
            writer,
            slots,
            handover.HandOver(knowledge, writer, peers, slots.table),
            joiner,
            self.running,
        )
        self.joiner = joiner
        self.coordinator = coordinator.Coordinator(
            knowledge,
            writer,
            peers,
            quiet,
            self.running,
            self.duties.move_own,
        )
        self.peering = peering.Peering(
            knowledge, quiet, slots, self.duties, sharing
        )

    def start(self) -> None:
        """Start the tasks; one of them joins the cell."""
        start = self.running.start
        start(self.joiner.join(), "join")
        start(self.beats.run(), "heartbeats")
        start(self.watching.run_reads(), "reads")
        start(self.watching.run_watch(), "watch")
        start(self.coordinator.run(), "coordinator")
        start(self.duties.run(), "duties")

    async def stop(self) -> None:
        """Cancel the tasks."""
        await self.running.stop()
