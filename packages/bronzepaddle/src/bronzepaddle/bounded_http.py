"""HTTP client connections that bound the time and size of each response.

The timeout of ``urllib3`` applies to each read, not to the whole response, and
the size of a response is not limited.  A response that arrives very slowly, or
whose header section or body never ends, would block its thread and fill the
memory.  ``Connection`` bounds the total time and size of each response.
``Pool`` creates such connections for a ``urllib3.PoolManager``.
"""

import socket
import time
import typing

import urllib3

from bronzepaddle import keepalive, strict_http

MAX_HEAD_BYTES: typing.Final = 64 * 1024
"""Maximum size of a response's status line and headers, including those of
interim responses."""

MAX_BODY_BYTES: typing.Final = 16 * 1024 * 1024
"""Maximum size of a response body; bodies are held in memory."""


class ResponseTooLargeError(Exception):
    """A response is larger than the limit."""


class BoundedSocket(socket.socket):
    """A socket that bounds the total time and size of what it reads.

    ``ends_at`` is the time on the monotonic clock until which it may read.
    """

    ends_at = float("inf")
    bytes_left = MAX_HEAD_BYTES

    def recv_into(self, *args: typing.Any, **kwargs: typing.Any) -> int:
        """Read bytes; raises ``ResponseTooLargeError`` or ``OSError``."""
        left_s = self.ends_at - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("response was not received in time")
        self.settimeout(left_s)
        count = super().recv_into(*args, **kwargs)
        self.bytes_left -= count
        if self.bytes_left < 0:
            raise ResponseTooLargeError("response is larger than the limit")
        return count


class Connection(strict_http.Connection):
    """A connection whose ``timeout`` bounds each response as a whole.

    Requests must use ``preload_content=False``: bytes that are read before
    ``getresponse`` returns count towards the limit for the head.
    """

    sock: BoundedSocket

    def connect(self) -> None:
        """Connect; raises the exceptions of ``urllib3``."""
        super().connect()
        original = self.sock
        timeout_s = original.gettimeout()
        self.sock = BoundedSocket(
            original.family,
            original.type,
            original.proto,
            fileno=original.detach(),
        )
        self.sock.settimeout(timeout_s)

    def getresponse(self) -> typing.Any:
        """Return the response with its headers; its body is bounded too."""
        bounded = self.sock
        bounded.ends_at = time.monotonic() + (self.timeout or float("inf"))
        bounded.bytes_left = MAX_HEAD_BYTES
        response = super().getresponse()
        bounded.bytes_left = MAX_BODY_BYTES
        return response


def connection(host: str, port: int, timeout_s: float) -> Connection:
    """Return a connection; it connects when it is first used."""
    return Connection(
        host,
        port,
        timeout=timeout_s,
        socket_options=keepalive.OPTIONS,
    )


class Pool(urllib3.HTTPConnectionPool):
    """A pool of bounded connections to one address."""

    ConnectionCls = Connection


def pool_manager(max_connections: int) -> urllib3.PoolManager:
    """Return a pool manager of bounded connections, without retries."""
    manager = urllib3.PoolManager(
        maxsize=max_connections,
        retries=False,
        socket_options=keepalive.OPTIONS,
    )
    manager.pool_classes_by_scheme = {"http": Pool}
    return manager
