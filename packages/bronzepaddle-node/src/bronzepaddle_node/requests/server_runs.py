"""One run of the backend server, with the requests that wait for it.

``ServerRun`` carries out what the queue of the server decides: it wakes each
waiting request when it may be sent or is given up.  The queue is asked again
after each event (``wake_waiters``), and when its own time comes: a cold server
has room again, or a request would be told too late that it did not run.  For
the event loop only.
"""

import asyncio
import typing

from bronzepaddle import clocks
from bronzepaddle.load import server_queue
from bronzepaddle_backend import connections, server_tracker

MIN_TIMER_S: typing.Final = 0.001
"""Shortest time until the queue is asked again.

The clock of the event loop may be slightly ahead of the process's clock.
"""


class ServerRun:
    """One run of the backend server, with its connections and its queue.

    A run lasts from a start of the server until it stops or crashes.
    """

    def __init__(
        self,
        announcement: server_tracker.Announcement,
        connection_pool: connections.Connections,
        queue: server_queue.ServerQueue,
        clock: clocks.Clock,
    ) -> None:
        self.announcement = announcement
        self.connections = connection_pool
        self.queue = queue
        self.clock = clock
        # Whether the server has announced that it drains or leaves; its end is
        # then no crash.
        self.leaving = (
            announcement.state is server_tracker.AnnouncedState.DRAINING
        )
        # The requests that wait for a slot, each with a future whose result
        # is whether it got one.
        self.slot_waiters: dict[
            server_queue.QueueEntry, asyncio.Future[bool]
        ] = {}
        # The requests that were sent to the server and still hold a slot.
        self.sent_entries: set[server_queue.QueueEntry] = set()
        self.timer: asyncio.TimerHandle | None = None

    def wake_waiters(self, now: float) -> None:
        """Wake the requests that get a slot and those that are given up."""
        for entry in self.queue.remove_expired(now):
            self._wake(entry, False)
        for entry in self.queue.start_next(now):
            self._wake(entry, True)
        for entry in self.queue.remove_unstarted(now):
            self._wake(entry, False)
        self._set_timer(now)

    def _wake(self, entry: server_queue.QueueEntry, got_slot: bool) -> None:
        """Give a waiting request the result of its wait."""
        waiter = self.slot_waiters.pop(entry, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(got_slot)

    def give_up_waiting(self) -> None:
        """Let all requests that wait be rejected."""
        for entry in self.queue.remove_all():
            self._wake(entry, False)
        self._set_timer(self.clock.now())

    def close(self) -> None:
        """Close the connections of a run that another one has replaced."""
        self.connections.close()

    def _set_timer(self, now: float) -> None:
        """Ask the queue again at the time that it names."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        next_at = self.queue.next_change_at(now)
        if next_at is not None:
            self.timer = asyncio.get_running_loop().call_later(
                max(MIN_TIMER_S, next_at - now), self._on_timer
            )

    def _on_timer(self) -> None:
        self.timer = None
        self.wake_waiters(self.clock.now())
