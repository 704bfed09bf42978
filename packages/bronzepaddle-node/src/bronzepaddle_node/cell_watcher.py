"""Keeps this process's copy of the cell object up to date with the store.

Only the coordinator watches the store; the other members learn of a new
version from heartbeats soon after.  A process that may have missed a version
calls ``refresh`` to read the object once.
"""

import asyncio
import typing

from bronzepaddle import cells, store_versions
from bronzepaddle_store import store, updates

from bronzepaddle_node import heartbeats, state

WATCH_TIMEOUT_S: typing.Final = 20.0
"""Time after which a watch that finds no newer version is started again."""

PAUSE_S: typing.Final = 0.5
"""Minimum time between two reads, the pause after a failed call or a watch
without a change, and the interval at which a member checks whether it has
become the coordinator."""


class CellWatcher:
    """Reads and watches the cell object in the store."""

    def __init__(
        self,
        node_state: state.NodeState,
        object_store: store.Store,
        node_heartbeats: heartbeats.Heartbeats,
    ) -> None:
        self.state = node_state
        self.object_store = object_store
        self.heartbeats = node_heartbeats
        self.read_requested = asyncio.Event()

    def refresh(self) -> None:
        """Request a read of the cell object; returns at once."""
        self.read_requested.set()

    async def run_reads(self) -> None:
        """Read the cell object at each request, until cancelled."""
        while True:
            await self.read_requested.wait()
            self.read_requested.clear()
            await self._read()
            await self.state.clock.sleep(PAUSE_S)

    async def run_watch(self) -> None:
        """Watch the cell object while this process is the coordinator.

        Runs until cancelled.
        """
        name = updates.object_name(self.state.identity.cell)
        while True:
            known_cell = self.state.known_cell
            if (
                known_cell is None
                or known_cell.cell.coordinator != self.state.name
            ):
                await self.state.clock.sleep(PAUSE_S)
                continue
            try:
                stored = await self.object_store.watch(
                    name,
                    store_versions.of_first_era(known_cell.version),
                    WATCH_TIMEOUT_S,
                )
                if stored is None:
                    await self.state.clock.sleep(PAUSE_S)
                else:
                    self._adopt(updates.versioned(stored))
            except store.StoreUnavailableError:
                # Logged where the store is called or the cell is decoded;
                # retried later.
                await self.state.clock.sleep(PAUSE_S)

    async def _read(self) -> None:
        """Read the cell object once; a failure is only logged."""
        try:
            cell = await updates.read(
                self.object_store, self.state.identity.cell
            )
        except store.StoreUnavailableError:
            # Logged where the store is called; the next request reads again.
            return
        if cell is not None:
            self._adopt(cell)

    def _adopt(self, cell: cells.VersionedCell) -> None:
        """Make a version the known one if it is newer, and tell peers."""
        if self.state.adopt_cell(cell):
            # Heartbeats contain the new version, so peers pull it at once.
            self.heartbeats.send_heartbeats()
