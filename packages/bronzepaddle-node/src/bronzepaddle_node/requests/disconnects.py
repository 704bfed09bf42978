"""Detects that a caller has closed its connection while it is served."""

import asyncio
import collections.abc
import contextlib
import select
import socket


class Hangups:
    """Watches connections with unread requests until their callers close.

    Such a connection is always readable, so that the event loop can't tell
    when the caller closes it.  For use on a single event loop.
    """

    def __init__(self) -> None:
        self.epoll: select.epoll | None = None
        self.on_hangup: dict[int, collections.abc.Callable[[], object]] = {}

    def add(
        self,
        descriptor: int,
        on_hangup: collections.abc.Callable[[], object],
    ) -> None:
        """Call a function once if the caller closes a connection."""
        if self.epoll is None:
            self.epoll = select.epoll()
            asyncio.get_running_loop().add_reader(
                self.epoll.fileno(), self._on_ready
            )
        self.on_hangup[descriptor] = on_hangup
        self.epoll.register(descriptor, select.EPOLLRDHUP)

    def remove(self, descriptor: int) -> None:
        """Stop watching a connection, if it is watched."""
        if self.on_hangup.pop(descriptor, None) and self.epoll is not None:
            with contextlib.suppress(OSError):
                self.epoll.unregister(descriptor)

    def _on_ready(self) -> None:
        if self.epoll is None:
            return
        for descriptor, _ in self.epoll.poll(0):
            on_hangup = self.on_hangup.get(descriptor)
            self.remove(descriptor)
            if on_hangup is not None:
                on_hangup()


class DisconnectWatcher:
    """Watches for a disconnect of the caller while its request is served.

    Calls ``on_disconnect`` if the caller closes the connection, also if it
    has sent further requests before.
    """

    def __init__(
        self,
        connection: socket.socket | None,
        on_disconnect: collections.abc.Callable[[], object],
        hangups: Hangups,
    ) -> None:
        self.on_disconnect = on_disconnect
        self.hangups = hangups
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
        if peeked:
            self.loop.remove_reader(connection.fileno())
            self.hangups.add(connection.fileno(), self._on_disconnect)
        else:
            self._on_disconnect()

    def _on_disconnect(self) -> None:
        self.stop()
        self.disconnected = True
        self.on_disconnect()

    def stop(self) -> None:
        """Stop watching."""
        if self.connection is not None:
            self.loop.remove_reader(self.connection.fileno())
            self.hangups.remove(self.connection.fileno())
            self.connection = None
