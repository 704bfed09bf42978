"""Tells apart the runs of a server that answer at one address.

A connection leads to the run that has accepted it, until it closes.  An
address passes to another run only after the run before has ended, and with it
all its connections.  So a new connection leads to the same run as an earlier
one that is still open after the new one was established.  If there is none,
another run may have answered, even one under the same id.
"""

import collections.abc
import itertools
import select
import socket
import threading
import typing

from bronzepaddle import bounded_http

ReachedRun = typing.NewType("ReachedRun", int)
"""A number for the run that connections lead to.

Connections with the same number lead to the same run.  Those with different
numbers may do so too.
"""

_numbers: typing.Final = itertools.count(1)


class ReachedRuns:
    """The runs that the connections to one address lead to; thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        # From the oldest to the newest connection.
        self.runs: dict[bounded_http.Connection, ReachedRun] = {}
        # The ids that runs have named.
        self.server_ids: dict[ReachedRun, str] = {}

    def add(self, connection: bounded_http.Connection) -> ReachedRun:
        """Record a connection that was just established; return its run."""
        with self.lock:
            self.runs = {
                other: run
                for other, run in self.runs.items()
                if not other.is_closed
            }
            run = next(self._runs_still_reached(), None)
            if run is None:
                run = ReachedRun(next(_numbers))
            self.runs[connection] = run
            kept = set(self.runs.values())
            self.server_ids = {
                reached: server_id
                for reached, server_id in self.server_ids.items()
                if reached in kept
            }
            return run

    def _runs_still_reached(self) -> collections.abc.Iterator[ReachedRun]:
        """Yield the runs of open connections, the newest first."""
        for connection in reversed(self.runs):
            if _is_open(connection):
                yield self.runs[connection]

    def run_of(self, connection: bounded_http.Connection) -> ReachedRun:
        """Return the run that a recorded connection leads to."""
        with self.lock:
            return self.runs[connection]

    def server_id(self, run: ReachedRun) -> str | None:
        """Return the id that a run has named, None if it has named none."""
        with self.lock:
            return self.server_ids.get(run)

    def record_id(self, run: ReachedRun, server_id: str) -> None:
        """Record the id that a run has named."""
        with self.lock:
            self.server_ids[run] = server_id

    def has_other(self, connection: bounded_http.Connection) -> bool:
        """Return whether another connection is certainly open."""
        with self.lock:
            return any(
                other is not connection and _is_open(other)
                for other in self.runs
            )


def _is_open(connection: bounded_http.Connection) -> bool:
    """Return whether a connection is certainly open.

    Another thread may use or close it meanwhile, and its descriptor may be
    that of another file by then; so the descriptor is compared again.
    """
    # It has none once it is closed.
    sock = typing.cast(socket.socket | None, connection.sock)
    if sock is None:
        return False
    descriptor = sock.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    # What is to be read may be the end of the connection.
    return not poll.poll(0) and sock.fileno() == descriptor
