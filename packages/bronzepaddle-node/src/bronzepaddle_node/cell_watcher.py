"""Keeps the cell object up to date from the platform's store.

The coordinator alone holds a watch; the others learn from heartbeats within
moments.  A process that has reason to think that it missed something asks
for one read by ``refresh``.
"""

import asyncio
import typing

from bronzepaddle import cells
from bronzepaddle_store import store, updates

from bronzepaddle_node import heartbeats, state

WATCH_S: typing.Final = 20.0
PAUSE_S: typing.Final = 0.5
"""Least time between two reads, and after a failed call."""


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
        self.wanted = asyncio.Event()

    def refresh(self) -> None:
        """Ask for a read of the store soon."""
        self.wanted.set()

    async def run_reads(self) -> None:
        """Read the store whenever somebody asked for it."""
        while True:
            await self.wanted.wait()
            self.wanted.clear()
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
                # Logged where the store is called; asked again later.
                await self.state.time.sleep(PAUSE_S)
                continue
            if found is not None:
                self._adopt(updates.versioned(found))

    async def _read(self) -> None:
        try:
            found = await updates.read(self.objects, self.state.identity.cell)
        except store.StoreUnavailableError:
            # Logged where the store is called; asked again later.
            return
        if found is not None:
            self._adopt(found)

    def _adopt(self, found: cells.VersionedCell) -> None:
        if self.state.adopt(found):
            # A round at once: peers pull what it tells of.
            self.heartbeats.send_round()
