"""Heartbeats over UDP, each with a message authentication code.

UDP because a heartbeat costs the least so (see docs/CAPACITY.md) and a lost
one is made good by the next.  The code is keyed BLAKE2b: whoever does not
hold the key of the processes can't vouch for anybody.
"""

import asyncio
import hashlib
import hmac
import typing

import msgspec
from bronzepaddle import cells

from bronzepaddle_peers import messages

CODE_BYTES: typing.Final = 16

_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(messages.Heartbeat)

Receive: typing.TypeAlias = typing.Callable[[messages.Heartbeat], None]


def seal(heartbeat: messages.Heartbeat, key: bytes) -> bytes:
    """Return a heartbeat's datagram: its code, then its bytes."""
    data = _ENCODER.encode(heartbeat)
    return _code(data, key) + data


def unseal(datagram: bytes, key: bytes) -> messages.Heartbeat | None:
    """Return the heartbeat in a datagram, or None if it is not genuine."""
    code, data = datagram[:CODE_BYTES], datagram[CODE_BYTES:]
    if not hmac.compare_digest(code, _code(data, key)):
        return None
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None


def _code(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=CODE_BYTES, key=key).digest()


class Datagrams(asyncio.DatagramProtocol):
    """The UDP socket of one process."""

    def __init__(self, key: bytes, receive: Receive) -> None:
        self.key = key
        self.receive = receive
        self.transport: asyncio.DatagramTransport | None = None
        self.rejected = 0
        self.sent_bytes = 0

    async def listen(self, host: str, port: int) -> int:
        """Open the socket and return its port; raises ``OSError``."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        bound: int = transport.get_extra_info("sockname")[1]
        return bound

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send by."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Pass a genuine heartbeat on; count any other."""
        heartbeat = unseal(data, self.key)
        if heartbeat is None:
            self.rejected += 1
            return
        self.receive(heartbeat)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable peer: its silence tells enough."""

    def send(self, to: cells.Address, heartbeat: messages.Heartbeat) -> None:
        """Send one heartbeat; a closed socket sends nothing."""
        if self.transport is None:
            return
        datagram = seal(heartbeat, self.key)
        self.sent_bytes += len(datagram)
        self.transport.sendto(datagram, (to.host, to.port))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None
