"""HTTP connections on which no answer goes on without end.

The library bounds the wait for each piece of an answer, not for all of it,
and not its size: an answer that trickles, or a head or a body without end,
would hold its thread and fill the memory.  On a ``Connection`` each answer
has a time and a size for all of it.  ``Pool`` makes such connections for a
``urllib3.PoolManager``.
"""

import socket
import time
import typing

import urllib3

from bronzepaddle import keepalive

MOST_HEAD_BYTES: typing.Final = 64 * 1024
"""Bytes of an answer's head, with any interim answers before it."""

MOST_BODY_BYTES: typing.Final = 16 * 1024 * 1024
"""Bytes of an answer's body: answers are held whole."""


class ResponseTooLargeError(Exception):
    """An answer has more bytes than any that is taken."""


class Socket(socket.socket):
    """A socket that reads so many bytes until a time, and no more."""

    ends_at = float("inf")
    bytes_left = MOST_HEAD_BYTES

    def recv_into(self, *args: typing.Any, **kwargs: typing.Any) -> int:
        """Read some bytes; raises ``ResponseTooLargeError``, ``OSError``."""
        left_s = self.ends_at - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("the answer's time is over")
        self.settimeout(left_s)
        count = super().recv_into(*args, **kwargs)
        self.bytes_left -= count
        if self.bytes_left < 0:
            raise ResponseTooLargeError("the answer has too many bytes")
        return count


class Connection(urllib3.connection.HTTPConnection):
    """One connection; ``timeout`` bounds each whole answer.

    Requests have to ask for ``preload_content=False``: what is read before
    the head is returned counts as head.
    """

    sock: Socket

    def connect(self) -> None:
        """Connect; raises what the library does."""
        super().connect()
        made = self.sock
        timeout_s = made.gettimeout()
        self.sock = Socket(
            made.family, made.type, made.proto, fileno=made.detach()
        )
        self.sock.settimeout(timeout_s)

    def getresponse(self) -> typing.Any:
        """Return the answer's head; its body is bounded as well."""
        bounded = self.sock
        bounded.ends_at = time.monotonic() + (self.timeout or float("inf"))
        bounded.bytes_left = MOST_HEAD_BYTES
        response = super().getresponse()
        bounded.bytes_left = MOST_BODY_BYTES
        return response


def connection(host: str, port: int, timeout_s: float) -> Connection:
    """Return a connection that is still to be made."""
    return Connection(
        host,
        port,
        timeout=timeout_s,
        socket_options=keepalive.OPTIONS,
    )


class Pool(urllib3.HTTPConnectionPool):
    """Connections to one address."""

    ConnectionCls = Connection


def pool_manager(most_kept: int) -> urllib3.PoolManager:
    """Return a pool of such connections, which tries nothing again."""
    manager = urllib3.PoolManager(
        maxsize=most_kept,
        retries=False,
        socket_options=keepalive.OPTIONS,
    )
    manager.pool_classes_by_scheme = {"http": Pool}
    return manager
