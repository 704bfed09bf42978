"""A TCP and UDP proxy in front of one process that simulates network faults.

``Proxy`` runs its own event loop on its own thread.  ``Faults`` lists the
faults that it simulates.
"""

import asyncio
import contextlib
import dataclasses
import threading
import typing

MAX_READ_BYTES: typing.Final = 64 * 1024


@dataclasses.dataclass
class Faults:
    """The network faults that a proxy simulates.

    ``disconnected`` closes all connections, refuses new ones and drops
    datagrams.  ``blackhole`` keeps connections open, but drops all data in
    both directions, as on a half-open connection.  ``delay_s`` delays each
    piece of data that is relayed over TCP.  ``abort_after_bytes`` aborts each
    new connection after that many bytes have been sent to its client.
    """

    disconnected: bool = False
    blackhole: bool = False
    delay_s: float = 0.0
    abort_after_bytes: int | None = None


class Proxy:
    """Relays TCP connections and datagrams to one port of one process.

    ``target`` is the address of that port; it is set once the process has
    started.  ``address`` is where the proxy listens.
    """

    def __init__(self) -> None:
        self.target = ("127.0.0.1", 0)
        self.faults = Faults()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ("", 0)

    def start(self) -> None:
        """Listen for TCP and UDP on the same free port."""
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(), self.loop).result()

    def set_faults(self, faults: Faults) -> None:
        """Replace the simulated faults.

        Open connections are closed if the new faults include
        ``disconnected``.
        """
        self.faults = faults
        if faults.disconnected:
            self.loop.call_soon_threadsafe(self._close_all)

    def stop(self) -> None:
        """Close all connections and end the event loop and its thread."""
        self.set_faults(Faults(disconnected=True))
        asyncio.run_coroutine_threadsafe(
            _cancel_other_tasks(), self.loop
        ).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def _close_all(self) -> None:
        """Abort all open connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _listen(self) -> None:
        """Bind a port that is free for both TCP and UDP."""
        while True:
            server = await asyncio.start_server(
                self._handle_connection, "127.0.0.1", 0
            )
            self.address = server.sockets[0].getsockname()[:2]
            try:
                await self.loop.create_datagram_endpoint(
                    lambda: _DatagramRelay(self), local_addr=self.address
                )
            except OSError:
                # The port is in use for UDP; another one may be free for
                # both protocols.
                server.close()
                continue
            return

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay a client's connection in both directions until it ends."""
        if self.faults.disconnected:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(
            self._relay(reader, target_writer, None),
            self._relay(target_reader, writer, self.faults.abort_after_bytes),
        )
        self.writers -= {writer, target_writer}

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_bytes: int | None,
    ) -> None:
        """Relay one direction of a connection, subject to the faults.

        After ``max_bytes`` bytes the connection is aborted.
        """
        remaining = max_bytes
        with contextlib.suppress(OSError):
            while piece := await reader.read(MAX_READ_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                if self.faults.blackhole:
                    continue
                if remaining is not None:
                    piece = piece[:remaining]
                    remaining -= len(piece)
                writer.write(piece)
                await writer.drain()
                if remaining == 0:
                    writer.transport.abort()
                    return
            writer.close()


async def _cancel_other_tasks() -> None:
    """Cancel all other tasks of this loop and wait until they have ended."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class _DatagramRelay(asyncio.DatagramProtocol):
    """Relays datagrams to the target.

    Nothing is relayed back, because heartbeats get no reply.
    """

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send datagrams with."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Forward a datagram, unless the faults say to drop it."""
        faults = self.proxy.faults
        if self.transport is None or faults.disconnected or faults.blackhole:
            return
        self.transport.sendto(data, self.proxy.target)
