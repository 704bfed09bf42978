"""A TCP and UDP relay in front of one process, with faults on request.

``Proxy`` runs on an event loop of its own thread.  ``cut`` closes all
connections and refuses new ones, ``hold`` swallows everything and answers
nothing (half open), ``delay_s`` slows each piece down and ``cut_after``
breaks each connection off after so many bytes towards its client.
"""

import asyncio
import contextlib
import dataclasses
import threading
import typing

PIECE_BYTES: typing.Final = 64 * 1024


@dataclasses.dataclass
class Faults:
    """What is wrong with the network now."""

    cut: bool = False
    hold: bool = False
    delay_s: float = 0.0
    cut_after: int | None = None


class Proxy:
    """Relays one port of one process; ``target`` is set when it is known."""

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
        """Listen for TCP and UDP on one free port."""
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(), self.loop).result()

    def set(self, faults: Faults) -> None:
        """Change what is wrong; a cut closes what is open."""
        self.faults = faults
        if faults.cut:
            self.loop.call_soon_threadsafe(self._close_all)

    def stop(self) -> None:
        """Close everything."""
        self.set(Faults(cut=True))
        asyncio.run_coroutine_threadsafe(_end_others(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def _close_all(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _listen(self) -> None:
        while True:
            server = await asyncio.start_server(
                self._connection, "127.0.0.1", 0
            )
            self.address = server.sockets[0].getsockname()[:2]
            try:
                await self.loop.create_datagram_endpoint(
                    lambda: _Datagrams(self), local_addr=self.address
                )
            except OSError:
                # Taken for UDP: another port may be free for both.
                server.close()
                continue
            return

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.cut:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(
            self._relay(reader, up_writer, None),
            self._relay(up_reader, writer, self.faults.cut_after),
        )
        self.writers -= {writer, up_writer}

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        most: int | None,
    ) -> None:
        left = most
        with contextlib.suppress(OSError):
            while piece := await reader.read(PIECE_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                if self.faults.hold:
                    continue
                if left is not None:
                    piece = piece[:left]
                    left -= len(piece)
                writer.write(piece)
                await writer.drain()
                if left == 0:
                    writer.transport.abort()
                    return
            writer.close()


async def _end_others() -> None:
    """Cancel every other task of this loop and wait until it has ended."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


class _Datagrams(asyncio.DatagramProtocol):
    """Relays datagrams one way, as heartbeats need no way back."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send by."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Pass a datagram on, unless the network is broken."""
        faults = self.proxy.faults
        if self.transport is None or faults.cut or faults.hold:
            return
        self.transport.sendto(data, self.proxy.target)
