"""Pulls of a newer version of an object from the peers that report one.

A peer that reports a newer version may answer nothing.  The next one is asked
soon afterwards, so that a few such peers delay the version little, and in the
order in which they reported it, so that none is passed over.
"""

import asyncio
import collections.abc
import functools
import typing

from bronzepaddle import ids
from bronzepaddle_peers import statuses

from bronzepaddle_node import tasks

PATIENCE_S: typing.Final = 0.2
"""Time after which another peer is asked while one has not answered."""

MAX_PULLS: typing.Final = 3
"""Limit of the peers that are asked at the same time."""

Pull: typing.TypeAlias = collections.abc.Callable[
    [statuses.Status], collections.abc.Coroutine[typing.Any, typing.Any, None]
]
"""Asks the sender of a status; it may fail without an exception."""


class PeerPulls:
    """The peers to be asked for a newer version; event loop only.

    ``is_newer`` returns whether the version in a status is still newer than
    the one known here, and ``pull`` pulls it.
    """

    def __init__(
        self,
        is_newer: collections.abc.Callable[[statuses.Status], bool],
        pull: Pull,
    ) -> None:
        self.is_newer = is_newer
        self.pull = pull
        # The peers to be asked, in this order, and those being asked.
        self.waiting: dict[ids.MemberId, statuses.Status] = {}
        self.running: dict[ids.MemberId, asyncio.Task[None]] = {}
        self.background_tasks = tasks.Tasks()
        self.asking = False

    def offer(self, status: statuses.Status) -> None:
        """Ask the sender of a status in its turn, if its version is newer.

        A peer that has failed to answer is asked again after its next offer.
        """
        if status.sender in self.running or not self.is_newer(status):
            return
        self.waiting[status.sender] = status
        if not self.asking:
            self.asking = True
            self.background_tasks.start(self._ask_in_turn(), "pulls")

    async def _ask_in_turn(self) -> None:
        try:
            while (status := self._next_status()) is not None:
                task = self.background_tasks.start(self.pull(status), "pull")
                self.running[status.sender] = task
                task.add_done_callback(
                    functools.partial(self._on_answer, status.sender)
                )
                await asyncio.wait({task}, timeout=PATIENCE_S)
                if len(self.running) >= MAX_PULLS:
                    await asyncio.wait(
                        self.running.values(),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
        finally:
            self.asking = False

    def _on_answer(self, sender: ids.MemberId, _: object) -> None:
        del self.running[sender]

    def _next_status(self) -> statuses.Status | None:
        """Take the first status with a newer version; None if none is left."""
        while self.waiting:
            status = self.waiting.pop(next(iter(self.waiting)))
            if self.is_newer(status):
                return status
        return None

    async def stop(self) -> None:
        """Cancel the running pulls."""
        await self.background_tasks.stop()
