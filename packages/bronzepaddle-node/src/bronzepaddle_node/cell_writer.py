"""Writes the cell object and lets everybody know of it at once."""

import typing

from bronzepaddle_store import store, updates

from bronzepaddle_node import heartbeats, state


class CellWriter:
    """Conditional writes of this process to its cell object."""

    def __init__(
        self,
        knowledge: state.State,
        objects: store.Store,
        beats: heartbeats.Heartbeats,
    ) -> None:
        self.state = knowledge
        self.objects = objects
        self.beats = beats

    async def write(
        self, change: updates.Change, lost: updates.Lost | None = None
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
                    self.beats.beat()
            case updates.Unreached():
                pass
            case _:
                typing.assert_never(outcome)
        return outcome

    async def done(self, change: updates.Change) -> bool:
        """Apply a change and tell whether it took effect for certain."""
        return isinstance(await self.write(change), updates.Written)
