"""Reads chunked request bodies, up to the end of their trailer sections.

cheroot's own reader leaves the trailer section, which ends the body, on the
connection, where it would be taken for the next request.  It also holds each
line and each chunk as a whole, however long they are.
"""

import re
import typing

import cheroot.server
from bronzepaddle import http_messages

MAX_LINE_BYTES: typing.Final = 4096
"""Maximum length of the line with the size of a chunk."""

MAX_TRAILER_BYTES: typing.Final = 16 * 1024
"""Maximum size of a trailer section, which is discarded."""

_CRLF: typing.Final = b"\r\n"
_CHUNK_SIZE: typing.Final = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(;.*)?\r\n")


class ChunkedBody(cheroot.server.ChunkedRFile):
    """A chunked body of a request, read from a connection in pieces.

    ``closed`` is set once it has been read to its end.  Reading raises
    ``IncompleteBodyError`` if it is cut off or malformed.
    """

    def __init__(self, connection_file: typing.Any) -> None:
        super().__init__(connection_file, maxlen=None)
        # Bytes of the current chunk that have not been read yet.
        self.chunk_bytes_left = 0

    def _fetch(self) -> None:
        """Add the next piece to ``buffer``; called by ``read``."""
        if self.closed:
            return
        if not self.chunk_bytes_left:
            self.chunk_bytes_left = self._read_chunk_size()
            if not self.chunk_bytes_left:
                self._skip_trailers()
                self.closed = True
                return
        piece = self.rfile.read(
            min(self.chunk_bytes_left, http_messages.CHUNK_BYTES)
        )
        self.chunk_bytes_left -= len(piece)
        self.buffer += piece
        if not piece:
            raise http_messages.IncompleteBodyError(
                "the request body ended early"
            )
        if not self.chunk_bytes_left and self._read_line() != _CRLF:
            raise http_messages.IncompleteBodyError(
                "a chunk is longer than its size"
            )

    def _read_line(self, max_bytes: int = MAX_LINE_BYTES) -> bytes:
        """Read a line of at most ``max_bytes``, with its line break."""
        line: bytes = self.rfile.readline(max_bytes)
        if not line.endswith(_CRLF):
            raise http_messages.IncompleteBodyError(
                "a line of the request body is too long or was cut off"
            )
        return line

    def _read_chunk_size(self) -> int:
        match = _CHUNK_SIZE.fullmatch(self._read_line())
        if match is None:
            raise http_messages.IncompleteBodyError("invalid size of a chunk")
        return int(match[1], 16)

    def _skip_trailers(self) -> None:
        """Read the trailer section, up to and including its empty line."""
        bytes_left = MAX_TRAILER_BYTES
        while (line := self._read_line(bytes_left)) != _CRLF:
            bytes_left -= len(line)
