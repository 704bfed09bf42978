"""Writes the cell object and sends peers the new version number at once."""

import typing

from bronzepaddle_store import store, updates

from bronzepaddle_node import heartbeats, state


class CellWriter:
    """Conditionally writes the cell object of this process."""

    def __init__(
        self,
        node_state: state.NodeState,
        object_store: store.Store,
        node_heartbeats: heartbeats.Heartbeats,
    ) -> None:
        self.state = node_state
        self.object_store = object_store
        self.heartbeats = node_heartbeats

    async def write(
        self,
        change: updates.Change,
        unresolved: updates.UnresolvedWrites | None = None,
    ) -> updates.Outcome:
        """Apply a change to the stored cell object and return the outcome.

        The version found or written becomes the known one of this process.
        ``unresolved`` collects the writes whose outcome is unknown.
        """
        outcome = await updates.update(
            self.object_store,
            self.state.identity.cell,
            change,
            self.state.clock,
            unresolved,
        )
        match outcome:
            case updates.Written(cell) | updates.Declined(cell):
                if cell is not None and self.state.adopt_cell(cell):
                    # Heartbeats contain the new version; peers pull it.
                    self.heartbeats.send_heartbeats()
            case updates.Unavailable():
                pass
            case _:
                typing.assert_never(outcome)
        return outcome

    async def write_confirmed(self, change: updates.Change) -> bool:
        """Write a change to the cell object; return whether it took effect.

        Returns False also if the outcome is unknown.
        """
        return isinstance(await self.write(change), updates.Written)
