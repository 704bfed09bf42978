"""Asks a server that was just heard of whether it may be used.

What a server has announced to this process is known from ``server_tracker``.
But an earlier process on this VM may have acknowledged that the server
leaves, and its memory is gone; an announcement of before that may arrive late.
The health check of a server fails while it leaves, so each run is asked once
before it is used, and again while it fails.  That needs neither peers nor the
store.
"""

import asyncio
import collections.abc
import concurrent.futures
import typing

from bronzepaddle import clocks, logs
from bronzepaddle_backend import connections, server_tracker

from bronzepaddle_node import tasks

RETRY_S: typing.Final = 0.2
"""Pause before a run that has not answered is asked again."""

RECHECK_S: typing.Final = 2.0
"""Pause before a run whose health check has failed is asked again."""

Check: typing.TypeAlias = collections.abc.Callable[
    [], connections.HealthAnswer
]
"""Asks the current run on a worker thread.

Raises ``connections.NotConnectedError``.
"""


class HealthChecks:
    """The health checks of the server on this VM; for the event loop only.

    ``get_check`` returns the check of the announced run, None if its path is
    not known yet.  ``on_change`` is called when the server may be used, or may
    not be used any more.
    """

    def __init__(
        self,
        tracker: server_tracker.Tracker,
        get_check: collections.abc.Callable[[], Check | None],
        on_change: collections.abc.Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self.tracker = tracker
        self.get_check = get_check
        self.on_change = on_change
        self.clock = clock
        self.announced = asyncio.Event()
        self.executor = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix="health"
        )

    async def run(self) -> None:
        """Ask each run that is to be checked, until cancelled."""
        while True:
            await tasks.log_exceptions(self._check_run(), "health checks")
            if self.tracker.run_to_check() is None:
                await self.announced.wait()
                self.announced.clear()
            elif self.tracker.is_checked():
                await self.clock.sleep(RECHECK_S)
            else:
                await self.clock.sleep(RETRY_S)

    async def _check_run(self) -> None:
        """Ask the announced run, if it is to be checked."""
        announcement = self.tracker.run_to_check()
        check = None if announcement is None else self.get_check()
        if announcement is None or check is None:
            return
        try:
            answer = await self.call(check)
        except connections.NotConnectedError as error:
            logs.call_failed(f"health of {announcement.run}", repr(error))
            return
        if answer.server_id not in (None, announcement.server_id):
            logs.call_failed(
                f"health of {announcement.run}",
                f"{answer.server_id} has answered",
            )
            return
        healthy = answer.server_id is None or answer.status < 300
        if self.tracker.record_health(
            announcement.run, healthy, self.clock.now()
        ):
            logs.server(
                "healthy" if healthy else "unhealthy",
                announcement.run,
                f"HTTP {answer.status}",
            )
            self.on_change()

    async def call(self, check: Check) -> connections.HealthAnswer:
        """Make a check on a worker thread."""
        return await asyncio.get_running_loop().run_in_executor(
            self.executor, check
        )

    def close(self) -> None:
        """Make no further checks."""
        self.executor.shutdown(wait=False, cancel_futures=True)
