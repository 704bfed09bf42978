"""Detects that a caller has closed its connection while it is served."""

import asyncio
import collections.abc
import socket


class DisconnectWatcher:
    """Watches for a disconnect of the caller while its request is served.

    Calls ``on_disconnect`` if the caller closes the connection.
    """

    def __init__(
        self,
        connection: socket.socket | None,
        on_disconnect: collections.abc.Callable[[], object],
    ) -> None:
        self.on_disconnect = on_disconnect
        self.disconnected = False
        self.loop = asyncio.get_running_loop()
        self.connection = connection
        if connection is not None:
            self.loop.add_reader(connection.fileno(), self._on_readable)

    def _on_readable(self) -> None:
        """Distinguish a closed connection from one with the next request."""
        connection = self.connection
        if connection is None:
            return
        try:
            peeked = connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            peeked = b""
        self.stop()
        if not peeked:
            self.disconnected = True
            self.on_disconnect()

    def stop(self) -> None:
        """Stop watching."""
        if self.connection is not None:
            self.loop.remove_reader(self.connection.fileno())
            self.connection = None
