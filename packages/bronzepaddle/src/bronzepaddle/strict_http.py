"""HTTP client connections that accept only well-formed, whole responses.

``http.client`` takes the end of the stream for the end of a header section or
of a chunked body, ignores a ``Content-Length`` that isn't a number, and stops
at a header line that it can't parse.  A response that was cut off would
look complete.  It also takes any text for a status that ``int`` accepts, such
as ``2_00``.  ``Connection`` raises an error in all these cases.
``bounded_http`` adds limits on the time and size of a response.
"""

import http
import http.client
import io
import re
import typing

import urllib3

from bronzepaddle import http_messages

MAX_LENGTH_DIGITS: typing.Final = 18
"""Longest ``Content-Length`` accepted, in digits."""

_STATUS_LINE: typing.Final = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9][0-9](?: [^\r\n]*)?\r?\n"
)


class InvalidHeadError(http.client.HTTPException):
    """The head of a response is malformed."""


class ResponseCutOffError(http.client.RemoteDisconnected):
    """The server closed the connection before the end of a response."""


class _LineReader(io.BufferedReader):
    """The bytes of a response, whose lines must not be cut off.

    Lines are the status line, headers, and sizes and trailers of chunks.
    ``last_line`` is the one that was read last.
    """

    last_line = b""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line; raises ``ResponseCutOffError`` if it has no end."""
        line = super().readline(size)
        is_too_long = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_too_long:
            raise ResponseCutOffError("the response was cut off")
        self.last_line = line
        return line


class Response(http.client.HTTPResponse):
    """A response whose head is checked and whose lines are whole.

    ``urllib3`` enforces the length of a body and of chunks.
    """

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.fp = self.lines = _LineReader(self.fp.detach())

    def begin(self) -> None:
        """Read the head of the final response, skipping interim ones.

        Raises ``InvalidHeadError`` and ``ResponseCutOffError``.
        """
        super().begin()
        while self.status < http_messages.MIN_FINAL_STATUS:
            if self.status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise InvalidHeadError("switches to another protocol")
            self._check_head()
            self.headers = self.msg = typing.cast(typing.Any, None)
            super().begin()
        self._check_head()

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line; raises ``InvalidHeadError``."""
        parsed: tuple[str, int, str] = super()._read_status()  # type: ignore[misc]
        line = self.lines.last_line
        if not _STATUS_LINE.fullmatch(line):
            raise InvalidHeadError(f"status line {line!r}")
        return parsed

    def _check_head(self) -> None:
        """Raise ``InvalidHeadError`` if the head is malformed."""
        try:
            urllib3.util.response.assert_header_parsing(self.headers)
        except urllib3.exceptions.HeaderParsingError as error:
            raise InvalidHeadError(str(error)) from error
        lengths = self.headers.get_all("Content-Length", [])
        codings = self.headers.get_all("Transfer-Encoding", [])
        if codings and (
            lengths or [c.lower() for c in codings] != ["chunked"]
        ):
            raise InvalidHeadError(f"transfer codings {codings}")
        if any(not _is_length(text) for text in lengths) or len(lengths) > 1:
            raise InvalidHeadError("invalid Content-Length")


def _is_length(text: str) -> bool:
    is_number = text.isascii() and text.isdecimal()
    return is_number and len(text) <= MAX_LENGTH_DIGITS


class Connection(urllib3.connection.HTTPConnection):
    """A connection that accepts only whole, well-formed responses."""

    response_class = Response

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.retired = False

    def retire(self) -> None:
        """Close the connection before its next request is sent."""
        self.retired = True

    def connect(self) -> None:
        """Connect; raises the exceptions of ``urllib3``."""
        super().connect()
        self.retired = False

    @property
    def is_connected(self) -> bool:
        """Return whether another request may be sent; asked by pools."""
        return super().is_connected and not self.retired


class Pool(urllib3.HTTPConnectionPool):
    """A pool of such connections to one address."""

    ConnectionCls = Connection
