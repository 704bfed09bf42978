"""Writes the cell object and lets everybody know of it at once."""

import typing

from bronzepaddle_store import store, updates

from bronzepaddle_node import heartbeats, state


class CellWriter:
    """Conditional writes of this process to its cell object."""

    def __init__(
        self,
        node_state: state.NodeState,
        objects: store.Store,
        heartbeats: heartbeats.Heartbeats,
    ) -> None:
        self.state = node_state
        self.objects = objects
        self.heartbeats = heartbeats

    async def write(
        self,
        change: updates.Change,
        lost: updates.UnresolvedWrites | None = None,
    ) -> updates.Outcome:
        """Apply a change and take in the version that it led to."""
        outcome = await updates.update(
            self.objects,
            self.state.identity.cell,
            change,
            self.state.time,
            lost,
        )
        match outcome:
            case updates.Written(now) | updates.Refused(now):
                if now is not None and self.state.adopt(now):
                    # A round at once: peers pull what it tells of.
                    self.heartbeats.send_round()
            case updates.Unavailable():
                pass
            case _:
                typing.assert_never(outcome)
        return outcome

    async def write_confirmed(self, change: updates.Change) -> bool:
        """Apply a change and tell whether it took effect for certain."""
        return isinstance(await self.write(change), updates.Written)
