"""UDP datagrams that carry heartbeats and statuses.

UDP is the cheapest transport for heartbeats (see docs/CAPACITY.md), and the
next heartbeat makes up for a lost one.  Each datagram starts with a message
authentication code (MAC), keyed BLAKE2b, so that only holders of the key
shared by the processes can acknowledge heartbeats, which extends leases.
Statuses are sent with an empty key: their MAC is only a checksum.
"""

import asyncio
import hashlib
import hmac
import typing

import msgspec
from bronzepaddle import cells, logs

from bronzepaddle_peers import codec

MAC_BYTES: typing.Final = 16
"""Length of the message authentication code."""

_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_Message = typing.TypeVar("_Message", bound=msgspec.Struct)


def encode_authenticated(message: msgspec.Struct, key: bytes) -> bytes:
    """Return the datagram of a message: the MAC, then the encoded message."""
    data = _ENCODER.encode(message)
    return _mac(data, key) + data


def decode_authenticated(
    datagram: bytes, key: bytes, message_type: type[_Message]
) -> _Message | None:
    """Return the message in a datagram.

    Returns None if the MAC is wrong or the message can't be decoded.
    """
    mac, data = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(data, key)):
        return None
    try:
        message: _Message = codec.decode(data, message_type)
    except msgspec.DecodeError:
        return None
    return message


def _mac(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=MAC_BYTES, key=key).digest()


class DatagramSocket(asyncio.DatagramProtocol, typing.Generic[_Message]):
    """A UDP socket that sends and receives messages of one type.

    ``on_message`` is called with each authentic message.  ``sent`` and
    ``received`` count datagrams, ``rejected`` those of the received ones that
    contain no authentic message.
    """

    def __init__(
        self,
        key: bytes,
        message_type: type[_Message],
        on_message: typing.Callable[[_Message], None],
    ) -> None:
        self.key = key
        self.message_type = message_type
        self.on_message = on_message
        self.transport: asyncio.DatagramTransport | None = None
        self.rejected = 0
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0

    async def listen(self, host: str, port: int) -> int:
        """Bind the socket and return its port; raises ``OSError``."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        bound: int = transport.get_extra_info("sockname")[1]
        return bound

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Pass an authentic message to ``on_message``; log any other."""
        self.received += 1
        self.received_bytes += len(data)
        message = decode_authenticated(data, self.key, self.message_type)
        if message is None:
            self.rejected += 1
            logs.bad_document(f"datagram from {addr}", f"{len(data)} bytes")
            return
        self.on_message(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: an unreachable peer is detected by its silence."""

    def send(self, to: cells.Address, message: _Message) -> None:
        """Send a message; does nothing if the socket is closed."""
        self.send_encoded(to, self.encode(message))

    def encode(self, message: _Message) -> bytes:
        """Return the datagram of a message, for sending it several times."""
        return encode_authenticated(message, self.key)

    def send_encoded(self, to: cells.Address, datagram: bytes) -> None:
        """Send a datagram made by ``encode``."""
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
