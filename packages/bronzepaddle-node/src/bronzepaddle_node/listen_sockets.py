"""Sockets that the processes of the system listen on."""

import socket

from bronzepaddle import keepalive


def tcp_socket(host: str, port: int) -> socket.socket:
    """Return a bound TCP socket; raises ``OSError``.

    Its protocol is named, because asyncio turns Nagle's algorithm off only
    for sockets that say they are TCP; otherwise each forwarded request waits
    some 40 ms for a delayed acknowledgement.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    found = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    keepalive.set_options(found)
    try:
        found.bind((host, port))
    except OSError:
        found.close()
        raise
    return found
