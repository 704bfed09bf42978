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
from bronzepaddle import cells, logs

from bronzepaddle_peers import codec

MAC_BYTES: typing.Final = 16

_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_Message = typing.TypeVar("_Message", bound=msgspec.Struct)


def encode_authenticated(message: msgspec.Struct, key: bytes) -> bytes:
    """Return a message's datagram: its code, then its bytes."""
    data = _ENCODER.encode(message)
    return _code(data, key) + data


def decode_authenticated(
    datagram: bytes, key: bytes, message_type: type[_Message]
) -> _Message | None:
    """Return the message in a datagram, or None if it is not genuine."""
    code, data = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not hmac.compare_digest(code, _code(data, key)):
        return None
    try:
        message: _Message = codec.decoder(message_type).decode(data)
    except msgspec.DecodeError:
        return None
    return message


def _code(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=MAC_BYTES, key=key).digest()


class DatagramSocket(asyncio.DatagramProtocol, typing.Generic[_Message]):
    """The UDP socket of one process, for messages of one type."""

    def __init__(
        self,
        key: bytes,
        message_type: type[_Message],
        receive: typing.Callable[[_Message], None],
    ) -> None:
        self.key = key
        self.message_type = message_type
        self.receive = receive
        self.transport: asyncio.DatagramTransport | None = None
        self.rejected = 0
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0

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
        """Pass a genuine message on; count any other."""
        self.received += 1
        self.received_bytes += len(data)
        message = decode_authenticated(data, self.key, self.message_type)
        if message is None:
            self.rejected += 1
            logs.bad_document(f"datagram of {addr}", f"{len(data)} bytes")
            return
        self.receive(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable peer: its silence tells enough."""

    def send(self, to: cells.Address, message: _Message) -> None:
        """Send one message; a closed socket sends nothing."""
        self.send_encoded(to, self.encode(message))

    def encode(self, message: _Message) -> bytes:
        """Return the datagram of a message that goes to several."""
        return encode_authenticated(message, self.key)

    def send_encoded(self, to: cells.Address, datagram: bytes) -> None:
        """Send what ``encode`` returned."""
        if self.transport is None:
            return
        self.sent += 1
        self.sent_bytes += len(datagram)
        self.transport.sendto(datagram, (to.host, to.port))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None
