"""TCP settings by which a connection that has fallen silent is found out.

A connection may stop to carry anything without a reset, for instance where a
device on its way has forgotten it.  Neither side is told: what is sent is
lost, and a call that only waits for news waits for ever.  The operating
system finds out by probes and by a bound on what is not acknowledged, and
then ends the connection with an error, as it does after a reset.
"""

import socket
import typing

IDLE_S: typing.Final = 1
"""Silence after which the other side is probed."""

INTERVAL_S: typing.Final = 1
"""Time between two probes."""

PROBES: typing.Final = 2
"""Probes without an answer that end a connection."""

UNACKNOWLEDGED_MS: typing.Final = 1500
"""Time for which sent bytes may stay unacknowledged: some retransmissions
on a link that loses packets."""

OPTIONS: typing.Final[list[tuple[int, int, int | bytes]]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]
"""Level, name and value of each socket option, as ``urllib3`` takes them."""


def set_options(connection: socket.socket) -> None:
    """Set the options on a TCP socket; a listening one passes them on."""
    for level, name, value in OPTIONS:
        connection.setsockopt(level, name, value)
