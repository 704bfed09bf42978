"""The gRPC server of a process, with bounds on what connections hold.

Anybody who reaches its port can connect.  A connection without a call is
closed after a time, or when there are too many.  A long message reserves its
size in the memory for bodies; without room, only one is read at a time.
"""

import asyncio
import collections
import collections.abc
import typing

import grpclib.const
import grpclib.exceptions
import grpclib.protocol
import grpclib.server
from bronzepaddle import unsent_data
from bronzepaddle.load import body_budget

from bronzepaddle_peers import codec

MAX_CONNECTIONS: typing.Final = 2000
"""Connections of peers, of which each has one, and one for each pull call."""

DESCRIPTOR_SHARE: typing.Final = 0.25
"""Share of the descriptors of a process that its peers may take."""

IDLE_TIMEOUT_S: typing.Final = 10.0
"""Time for which a connection may be open without a call."""

MAX_FREE_MESSAGE_BYTES: typing.Final = 128 * 1024
"""Size up to which a message needs no room in the memory for bodies.

That is enough for a part of a body with the largest header section.
"""


MAX_MESSAGE_BYTES: typing.Final = 80 * 1024 * 1024
"""Size of the longest message: a whole request of an earlier release."""


class _PeerProtocol(grpclib.protocol.H2Protocol):
    """One connection, which ``server`` may close while it has no call."""

    def __init__(
        self, made: grpclib.protocol.H2Protocol, server: "PeerServer"
    ) -> None:
        super().__init__(made.handler, made.config, made.h2_config)
        self.server = server
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to those of the server."""
        super().connection_made(transport)
        self.transport = typing.cast(asyncio.Transport, transport)
        self.server.on_connected(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from those of the server."""
        super().connection_lost(exc)
        self.server.on_lost(self)

    def has_call(self) -> bool:
        """Return whether a call runs."""
        # grpclib has no public access to the calls of a connection.
        calls = typing.cast(typing.Any, self.handler)._tasks.values()
        return not all(task.done() for task in calls)

    def has_unsent(self) -> bool:
        """Return whether a peer has not got all of a response."""
        return self.transport is not None and has_unsent(self.transport)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class PeerServer(grpclib.server.Server):
    """A gRPC server with at most ``max_connections`` connections."""

    def __init__(
        self,
        services: collections.abc.Collection[typing.Any],
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        super().__init__(services, codec=codec.MsgpackCodec())
        self.max_connections = max_connections
        # In the order in which they were opened.
        self.connections: collections.OrderedDict[_PeerProtocol, None] = (
            collections.OrderedDict()
        )

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        return _PeerProtocol(super()._protocol_factory(), self)

    def on_connected(self, connection: _PeerProtocol) -> None:
        """Add a connection; if there are too many, close one without a call.

        The oldest one is closed, unless all others have calls.  One whose
        peer has got the last response is preferred.
        """
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            without_call = [
                other for other in self.connections if not other.has_call()
            ]
            without_call.sort(key=_PeerProtocol.has_unsent)
            self._close(next(iter(without_call), connection))
        self._check_later(connection)

    def on_lost(self, connection: _PeerProtocol) -> None:
        """Remove a connection that is closed."""
        self.connections.pop(connection, None)

    def _check_later(
        self, connection: _PeerProtocol, waits_for_peer: bool = False
    ) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(
            IDLE_TIMEOUT_S, self._check, connection, waits_for_peer
        )

    def _check(self, connection: _PeerProtocol, waits_for_peer: bool) -> None:
        """Close a connection that has no call.

        A peer that has not got the last response is waited for once.
        """
        if connection not in self.connections:
            return
        if connection.has_call():
            self._check_later(connection)
        elif connection.has_unsent() and not waits_for_peer:
            self._check_later(connection, waits_for_peer=True)
        else:
            self._close(connection)

    def _close(self, connection: _PeerProtocol) -> None:
        """Close a connection; the event loop reports that later."""
        self.connections.pop(connection, None)
        connection.abort()


def has_unsent(transport: asyncio.Transport) -> bool:
    """Return whether a response is not yet with the kernel of its peer."""
    if transport.get_write_buffer_size():
        return True
    connection = transport.get_extra_info("socket")
    return connection is not None and bool(
        unsent_data.unsent_bytes(connection)
    )


def limit_messages(
    stream: typing.Any,
    budget: body_budget.BodyBudget,
    without_room: asyncio.Lock,
) -> None:
    """Bound the messages of a call that are being read.

    ``without_room`` is held while one is read for which there is no room, so
    that its request can be refused.  ``recv_message`` raises ``GRPCError`` for
    one of more than ``MAX_MESSAGE_BYTES``.
    """
    # grpclib reads each message as a whole, of any size that it announces.
    received = stream._stream
    recv_data = received.recv_data

    async def recv_limited(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.RESOURCE_EXHAUSTED,
                f"a message of {size} bytes is too long",
            )
        data: bytes
        if size <= MAX_FREE_MESSAGE_BYTES:
            data = await recv_data(size)
            return data
        with budget.open(body_budget.REQUEST_SHARE) as reservation:
            match reservation.grow(size):
                case body_budget.Refused():
                    async with without_room:
                        data = await recv_data(size)
                case body_budget.Granted():
                    data = await recv_data(size)
                case never:
                    typing.assert_never(never)
        return data

    received.recv_data = recv_limited
