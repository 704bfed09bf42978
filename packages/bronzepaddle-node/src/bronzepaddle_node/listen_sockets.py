"""Sockets on which a process listens for its peers."""

import socket

from bronzepaddle import keepalive


def tcp_socket(host: str, port: int) -> socket.socket:
    """Return a bound TCP socket; raise ``OSError`` if binding fails.

    The protocol number is passed explicitly, because asyncio disables Nagle's
    algorithm only for sockets whose protocol is TCP.  With Nagle's algorithm,
    each forwarded request would wait about 40 ms for a delayed
    acknowledgement.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    keepalive.set_options(listener)
    try:
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener
