"""HTTP/1.1 on asyncio, as far as the stand-ins of soak tests need it."""

import asyncio
import collections.abc
import dataclasses
import enum
import logging
import typing

MAX_LINE_BYTES: typing.Final = 2**20


class NoResponse(enum.Enum):
    """What happens to a connection on which a request gets no response."""

    RESET = "reset"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or a response; ``start`` are the words of its first line."""

    start: tuple[str, ...]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; return None if the connection ended before it.

    Raises ``IncompleteReadError`` or ``ValueError``.
    """
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    headers: dict[str, str] = {}
    while (header := await reader.readline()) != b"\r\n":
        if not header.endswith(b"\r\n"):
            return None
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunked(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(tuple(line.decode("latin-1").split(None, 2)), headers, body)


async def _read_chunked(reader: asyncio.StreamReader) -> bytes:
    pieces = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return b"".join(pieces)


def encode(
    first_line: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Encode a message with a length."""
    lines = [first_line, f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Encode a response."""
    return encode(f"HTTP/1.1 {status} Status", body, headers)


async def call(
    address: str, method: str, path: str, body: bytes, timeout_s: float
) -> int:
    """Make one call on a new connection; return its status.

    Raises ``OSError`` (``TimeoutError`` included) or ``EOFError``.
    """
    host, _, port = address.partition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            headers = {
                "Host": address,
                "Content-Type": "application/json",
                "Connection": "close",
            }
            writer.write(encode(f"{method} {path} HTTP/1.1", body, headers))
            message = await read_message(reader)
        finally:
            writer.close()
    if message is None:
        raise EOFError(f"{address} closed the connection")
    return message.status


Handle: typing.TypeAlias = collections.abc.Callable[
    [Message], collections.abc.Awaitable[bytes | NoResponse]
]


class Listener:
    """A port at which requests are handled; it can be closed and reopened."""

    def __init__(self, address: str, handle: Handle) -> None:
        self.address = address
        self.handle = handle
        self.server: asyncio.Server | None = None
        self.wants_open = False
        self.opening = asyncio.Lock()
        self.connections: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen at the address, unless it is closed meanwhile."""
        self.wants_open = True
        host, _, port = self.address.partition(":")
        async with self.opening:
            if self.server is None:
                self.server = await asyncio.start_server(
                    self._connected, host, int(port), limit=MAX_LINE_BYTES
                )
        if not self.wants_open:
            self.close()

    def close(self) -> None:
        """Refuse new connections; open ones stay."""
        self.wants_open = False
        if self.server is not None:
            self.server.close()
            self.server = None

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self.connections):
            writer.transport.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError) as error:
            logging.debug("%s: connection ended: %r", self.address, error)
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            match await self.handle(request):
                case NoResponse.RESET:
                    writer.transport.abort()
                    return
                case NoResponse.SILENT:
                    while await reader.read(MAX_LINE_BYTES):
                        pass
                    return
                case bytes(answer):
                    writer.write(answer)
                    await writer.drain()
