"""What the kernel still has to send on a connection.

It is dropped if the connection is reset, which also happens when a socket with
unread input is closed.
"""

import contextlib
import fcntl
import socket
import struct
import termios
import typing

KEPT_TIMEOUT_MS: typing.Final = 5000
"""Time after which the kernel drops what it keeps of a closed connection."""


def unsent_bytes(connection: socket.socket) -> int:
    """Return what the kernel has to send, or waits to be acknowledged.

    0 if the connection is closed.
    """
    try:
        count = fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return 0
    return int(struct.unpack("i", count)[0])


def limit_time(connection: socket.socket) -> None:
    """Limit how long the kernel keeps what it has to send after a close."""
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, KEPT_TIMEOUT_MS
        )
