"""TCP socket options that detect dead connections.

A connection may stop working without a reset, for instance when a device on
its path has lost its state.  Neither side is notified: sent data is lost, and
a call that only waits for data (such as a watch) blocks forever.  With
keepalive probes and a bound on the time for which data may stay
unacknowledged, the operating system detects this and ends the connection with
an error, as after a reset.
"""

import socket
import typing

IDLE_S: typing.Final = 1
"""Idle time after which the peer is probed."""

INTERVAL_S: typing.Final = 1
"""Time between two probes."""

PROBES: typing.Final = 2
"""Number of unanswered probes that end a connection."""

UNACKNOWLEDGED_MS: typing.Final = 1500
"""Time for which sent data may stay unacknowledged; it allows for several
retransmissions on a link that loses packets."""

OPTIONS: typing.Final[list[tuple[int, int, int | bytes]]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]
"""Level, name and value of each option, in the form that ``urllib3`` uses."""


def set_options(connection: socket.socket) -> None:
    """Set the options on a TCP socket.

    Connections that are accepted on a listening socket inherit them.
    """
    for level, name, value in OPTIONS:
        connection.setsockopt(level, name, value)
