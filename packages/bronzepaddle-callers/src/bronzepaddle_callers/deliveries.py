"""Delivers the rest of responses to callers that read slowly.

A worker thread hands a connection over once its caller doesn't take the
response at once.  One thread then writes to all of these callers, so that
those that read nothing hold no worker threads.
"""

import contextlib
import selectors
import threading
import time
import typing

from bronzepaddle import logs
from bronzepaddle.load import slow_callers

from bronzepaddle_callers import caller_writer, guarded_socket

CHECK_S: typing.Final = 0.25
"""Interval in which slow callers are looked for."""


class Connection(typing.Protocol):
    """A connection whose response is delivered."""

    socket: guarded_socket.GuardedSocket
    wfile: caller_writer.CallerWriter

    def end_delivery(self, delivered: bool) -> None:
        """Continue or close the connection; called once, at the end."""


class Deliveries:
    """The connections of a server that its delivering thread writes to.

    ``count`` is the number of responses that are not delivered yet.
    """

    def __init__(self, policy: slow_callers.WaitingThreads) -> None:
        self.policy = policy
        self.count = 0
        self.changed = threading.Condition()
        self.selector = selectors.DefaultSelector()
        self.thread: threading.Thread | None = None

    def reserve(self) -> None:
        """Count a response whose connection is about to be added."""
        with self.changed:
            self.count += 1

    def add(self, connection: Connection) -> None:
        """Deliver the backlog of a connection."""
        with self.changed:
            self.policy.begin_delivery(
                connection.socket.transfer, time.monotonic()
            )
            self.selector.register(
                connection.socket, selectors.EVENT_WRITE, connection
            )
            self._run_thread()

    def _run_thread(self) -> None:
        """Start the thread, or wake it."""
        if self.thread is None:
            self.thread = threading.Thread(
                target=self._run, name="deliveries", daemon=True
            )
            self.thread.start()
        self.changed.notify()

    def _run(self) -> None:
        while True:
            with self.changed:
                self.changed.wait_for(self._has_connections)
            for key, _ in self.selector.select(CHECK_S):
                self._write(key.data)
            now = time.monotonic()
            for connection in self._too_slow(now):
                lag_s = connection.socket.transfer.lag_at(now)
                logs.slow_caller("the caller is too slow", lag_s)
                self._end(connection, delivered=False)

    def _has_connections(self) -> bool:
        return bool(self.selector.get_map())

    def _write(self, connection: Connection) -> None:
        """Write what a caller takes now."""
        transfer = connection.socket.transfer
        self.policy.end(transfer, time.monotonic())
        try:
            is_delivered = connection.wfile.write_ready()
        except OSError:
            self._end(connection, delivered=False)
            return
        if is_delivered:
            self._end(connection, delivered=True)
        else:
            self.policy.begin_delivery(transfer, time.monotonic())

    def _too_slow(self, now: float) -> list[Connection]:
        """Return the connections whose callers lose them."""
        with self.changed:
            writing = [key.data for key in self.selector.get_map().values()]
            return [
                connection
                for connection in writing
                if self.policy.is_late(connection.socket.transfer, now)
            ]

    def _end(self, connection: Connection, delivered: bool) -> None:
        """End the delivery; what is left of it is dropped."""
        with self.changed:
            self.policy.end(connection.socket.transfer, time.monotonic())
            self.selector.unregister(connection.socket)
            self.count -= 1
        if not delivered:
            connection.socket.abort_on_close()
        # The server may be stopping.  Other deliveries must go on.
        with contextlib.suppress(OSError, ValueError):
            connection.end_delivery(delivered)
