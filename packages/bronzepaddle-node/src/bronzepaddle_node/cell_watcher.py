"""Keeps the known version of the cell object current from the store.

Only the coordinator watches the store; the other members learn of a new
version from heartbeats soon after.  A process that may have missed a version
requests a single read by ``refresh``.
"""

import asyncio
import typing

from bronzepaddle import cells
from bronzepaddle_store import store, updates

from bronzepaddle_node import heartbeats, state

WATCH_S: typing.Final = 20.0
PAUSE_S: typing.Final = 0.5
"""Shortest time between two reads, and the pause after a failed call."""


class CellWatcher:
    """Reads and watches the cell object."""

    def __init__(
        self,
        node_state: state.NodeState,
        objects: store.Store,
        heartbeats: heartbeats.Heartbeats,
    ) -> None:
        self.state = node_state
        self.objects = objects
        self.heartbeats = heartbeats
        self.read_requested = asyncio.Event()

    def refresh(self) -> None:
        """Request a read of the store."""
        self.read_requested.set()

    async def run_reads(self) -> None:
        """Read the store whenever a read was requested."""
        while True:
            await self.read_requested.wait()
            self.read_requested.clear()
            await self._read()
            await self.state.time.sleep(PAUSE_S)

    async def run_watch(self) -> None:
        """Watch the store while this process is the coordinator."""
        name = updates.object_name(self.state.identity.cell)
        while True:
            view = self.state.view
            if view is None or view.cell.coordinator != self.state.name:
                await self.state.time.sleep(PAUSE_S)
                continue
            try:
                found = await self.objects.watch(name, view.version, WATCH_S)
            except store.StoreUnavailableError:
                # Logged where the store is called; retried later.
                await self.state.time.sleep(PAUSE_S)
                continue
            if found is not None:
                self._adopt(updates.versioned(found))

    async def _read(self) -> None:
        try:
            found = await updates.read(self.objects, self.state.identity.cell)
        except store.StoreUnavailableError:
            # Logged where the store is called; retried later.
            return
        if found is not None:
            self._adopt(found)

    def _adopt(self, found: cells.VersionedCell) -> None:
        if self.state.adopt(found):
            # Heartbeats name the new version, so peers pull it at once.
            self.heartbeats.send_round()
