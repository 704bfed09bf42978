"""Decides which connections a server keeps when there are too many.

It is built for *thousands of connections that send nothing*, or that are
opened faster than they are closed: each takes a descriptor and memory, and a
process without descriptors reaches neither its peers nor its backend server.

At the limit, a new connection takes the place of an idle one: of the one that
has been open longest without any request, or else of the one that has been
idle longest.  If none is idle, the caller that is furthest behind is closed
(see ``slow_callers``); if none is behind, the new connection is refused.
"""

import collections
import itertools
import threading
import typing

DEFAULT_MAX_CONNECTIONS: typing.Final = 500
"""Connections of callers that a process on the smallest VM has memory for.

Each holds up to 80 KB, most of it in the kernel, if its caller stops.
"""

DESCRIPTOR_SHARE: typing.Final = 0.5
"""Share of the descriptors of a process that its callers may take."""

_Connection = typing.TypeVar("_Connection")


def limit_for(
    max_connections: int,
    max_descriptors: int,
    share: float = DESCRIPTOR_SHARE,
) -> int:
    """Return the limit of a process that may open so many descriptors.

    ``share`` of them is for the connections.
    """
    return max(1, min(max_connections, int(max_descriptors * share)))


class ConnectionLimit(typing.Generic[_Connection]):
    """The connections of a server, of which some are idle; thread-safe.

    ``evicted`` counts the idle connections that were closed for others,
    ``refused`` the new ones that were.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.open: set[_Connection] = set()
        # Those without and those with a request so far, oldest first.
        self.unused: collections.OrderedDict[_Connection, None] = (
            collections.OrderedDict()
        )
        self.idle: collections.OrderedDict[_Connection, None] = (
            collections.OrderedDict()
        )
        self.evicted = 0
        self.refused = 0
        self.lock = threading.Lock()

    def add(self, connection: _Connection) -> None:
        """Add a new connection."""
        with self.lock:
            self.open.add(connection)

    def is_exceeded(self) -> bool:
        """Return whether a connection has to be closed."""
        return len(self.open) > self.max_connections

    def record_idle(self, connection: _Connection, has_served: bool) -> None:
        """Record that a connection waits for a request."""
        with self.lock:
            (self.idle if has_served else self.unused)[connection] = None

    def record_busy(self, connection: _Connection) -> bool:
        """Record that a connection isn't idle; return whether it was."""
        with self.lock:
            was_idle = connection in self.unused or connection in self.idle
            self.unused.pop(connection, None)
            self.idle.pop(connection, None)
        return was_idle

    def remove(self, connection: _Connection) -> None:
        """Remove a closed connection."""
        self.record_busy(connection)
        with self.lock:
            self.open.discard(connection)

    def candidates(self, count: int) -> list[_Connection]:
        """Return up to ``count`` idle connections, in the order to close."""
        with self.lock:
            in_order = itertools.chain(self.unused, self.idle)
            return list(itertools.islice(in_order, count))
