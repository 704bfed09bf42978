"""Closes the connections of callers so that what was written arrives.

If a socket is closed while input is unread, or gets input afterwards, the
kernel resets the connection and drops what its caller has not got yet.  So
only the sending side is closed at first.  One thread then reads and drops what
the callers still send, until each has closed its side too, or has had the time
to.  A caller that has got nothing for long is reset.

What is read of a caller is bounded in bytes, the wait for it in time, and the
number of connections that wait as well.
"""

import contextlib
import dataclasses
import selectors
import socket
import threading
import time
import typing

from bronzepaddle import logs, unsent_data
from bronzepaddle.load import slow_callers

from bronzepaddle_callers import guarded_socket

CHECK_S: typing.Final = 0.1
"""Interval in which is looked at what callers have got."""

MAX_CLOSING: typing.Final = 64
"""Connections that wait for their callers; the oldest one makes room."""

MAX_DROPPED_BYTES: typing.Final = 1024 * 1024
"""Bytes of a caller that are read and dropped.

The kernel then takes no more of it until its connection is closed.
"""

MAX_WAIT_S: typing.Final = 1.0
"""Time that a caller has to close its side once it has got everything."""

READ_BYTES: typing.Final = 64 * 1024

UNSENT_BYTES: typing.Final = 16 * 1024
"""Bytes that the kernel may keep of a closed connection."""


class Connection(typing.Protocol):
    """A connection that is closed."""

    socket: guarded_socket.GuardedSocket

    def end_closing(self) -> None:
        """Close the socket; called once."""


@dataclasses.dataclass
class _Progress:
    """What a caller has got and sent since the sending side was closed."""

    unsent_bytes: int
    dropped_bytes: int = 0
    got_all_at: float | None = None

    @property
    def is_read(self) -> bool:
        """Return whether what the caller sends is still read."""
        return self.dropped_bytes < MAX_DROPPED_BYTES


class ClosingConnections:
    """The half-closed connections of one server; thread-safe."""

    def __init__(self, policy: slow_callers.WaitingThreads) -> None:
        self.policy = policy
        self.changed = threading.Condition()
        self.selector = selectors.DefaultSelector()
        # The oldest one first.
        self.progress: dict[Connection, _Progress] = {}
        self.thread: threading.Thread | None = None

    @property
    def count(self) -> int:
        """Return the number of connections."""
        return len(self.progress)

    def add(self, connection: Connection) -> None:
        """Close a connection once its caller has got what was written."""
        with contextlib.suppress(OSError):
            connection.socket.shutdown(socket.SHUT_WR)
        if self.count >= MAX_CLOSING:
            self._end_oldest()
        with self.changed:
            progress = _Progress(unsent_data.unsent_bytes(connection.socket))
            if progress.unsent_bytes:
                self.policy.begin_delivery(
                    connection.socket.transfer, time.monotonic()
                )
            self.progress[connection] = progress
            self.selector.register(
                connection.socket, selectors.EVENT_READ, connection
            )
            if self.thread is None:
                self.thread = threading.Thread(
                    target=self._run, name="closing", daemon=True
                )
                self.thread.start()
            self.changed.notify()

    def _end_oldest(self) -> None:
        """Close a connection to make room.

        One whose caller has got everything is preferred.
        """
        with self.changed:
            has_got_all = (
                connection
                for connection, progress in self.progress.items()
                if not progress.unsent_bytes
            )
            oldest = next(iter(self.progress), None)
            connection = next(has_got_all, oldest)
        if connection is not None:
            self._end(connection)

    def _run(self) -> None:
        check_at = time.monotonic()
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.progress)
            for key, _ in self.selector.select(CHECK_S):
                self._read(key.data)
            now = time.monotonic()
            if now < check_at:
                continue
            check_at = now + CHECK_S
            with self.changed:
                closing = list(self.progress.items())
            for connection, progress in closing:
                self._check(connection, progress, now)

    def _read(self, connection: Connection) -> None:
        """Read and drop what a caller has sent."""
        progress = self.progress.get(connection)
        if progress is None:
            return
        try:
            data = socket.socket.recv(connection.socket, READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._end_sent(connection)
            return
        progress.dropped_bytes += len(data)
        if not progress.is_read:
            with self.changed, contextlib.suppress(KeyError, ValueError):
                self.selector.unregister(connection.socket)

    def _end_sent(self, connection: Connection) -> None:
        """Close a connection whose caller sends nothing more.

        The kernel delivers what is left, if that is little.
        """
        left_bytes = unsent_data.unsent_bytes(connection.socket)
        if left_bytes <= UNSENT_BYTES:
            unsent_data.limit_time(connection.socket)
            self._end(connection)
            return
        with self.changed, contextlib.suppress(KeyError, ValueError):
            self.selector.unregister(connection.socket)

    def _check(
        self, connection: Connection, progress: _Progress, now: float
    ) -> None:
        """Close a connection if its caller has got all, or gets nothing."""
        left_bytes = unsent_data.unsent_bytes(connection.socket)
        transfer = connection.socket.transfer
        self.policy.end(transfer, now)
        transfer.record_bytes(progress.unsent_bytes - left_bytes)
        progress.unsent_bytes = left_bytes
        if left_bytes:
            self.policy.begin_delivery(transfer, now)
            if self.policy.is_late(transfer, now):
                logs.slow_caller("the caller is too slow", transfer.lag_s)
                connection.socket.abort_on_close()
                self._end(connection)
            return
        if progress.got_all_at is None:
            progress.got_all_at = now
        if not progress.is_read or now >= progress.got_all_at + MAX_WAIT_S:
            self._end(connection)

    def _end(self, connection: Connection) -> None:
        """Close a connection, unless another thread does."""
        with self.changed:
            self.policy.end(connection.socket.transfer, time.monotonic())
            if self.progress.pop(connection, None) is None:
                return
            with contextlib.suppress(KeyError, ValueError):
                self.selector.unregister(connection.socket)
        # The server may be stopping.  Others must go on.
        with contextlib.suppress(OSError, ValueError):
            connection.end_closing()


def has_ended(connection: socket.socket) -> bool:
    """Return whether the caller has closed its side, and all was read."""
    try:
        return not socket.socket.recv(connection, 1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
