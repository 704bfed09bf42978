"""Writes responses to a caller without waiting for it for long.

What the caller doesn't take within a short wait is kept as a backlog, which
``deliveries`` writes while the thread serves other callers.
"""

import collections
import typing

from bronzepaddle import held_body

from bronzepaddle_callers import guarded_socket


class CallerWriter:
    """The writing side of a connection, in place of cheroot's.

    ``backlog`` has the parts that are not written yet.  ``body`` is the body
    of the current response, if all of it is in memory.
    """

    def __init__(self, connection: guarded_socket.GuardedSocket) -> None:
        self.connection = connection
        self.backlog: collections.deque[memoryview] = collections.deque()
        self.body: held_body.Pieces | None = None
        # Read by cheroot's statistics.
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Write data or add it to the backlog; return its size.

        Raises ``OSError`` if the connection is lost.
        """
        if data:
            self.backlog.append(memoryview(data))
        self._write_while(self.connection.send_shortly)
        return len(data)

    def write_ready(self) -> bool:
        """Write what the caller takes at once; return whether that is all.

        Raises ``OSError`` if the connection is lost.
        """
        self._write_while(self.connection.send_ready)
        return not self.backlog

    def wait_for_caller(self) -> None:
        """Write the backlog as the caller takes it.

        Raises ``TimeoutError`` if it is too slow, ``OSError`` if the
        connection is lost.
        """
        self._write_while(self.connection.send)

    def add_rest(self) -> bool:
        """Add the rest of the body, of which the backlog is the last piece.

        Returns False if it isn't in memory.
        """
        body = self.body
        if body is None:
            return False
        if len(self.backlog) == 1:
            # The header section has been written, and the piece is a copy.
            body.position -= len(self.backlog.pop())
        self.backlog.append(body.take_rest())
        return True

    def clear(self) -> None:
        """Drop the response."""
        self.backlog.clear()
        self.body = None

    def _write_while(self, send: typing.Callable[[memoryview], int]) -> None:
        """Write the backlog until ``send`` returns 0."""
        while self.backlog:
            part = self.backlog[0]
            count = send(part)
            if count < len(part):
                self.backlog[0] = part[count:]
            else:
                self.backlog.popleft()
            if not count:
                return
