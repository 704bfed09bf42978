"""Tests of where a request ends on its connection, and the next one begins.

An HTTP server of its own gets the raw bytes of requests.
"""

import collections.abc
import socket
import typing

import pytest
from bronzepaddle import http_messages, ids, options, verdicts
from bronzepaddle.load import body_budget
from bronzepaddle_callers import buffered_app, server
from bronzepaddle_platform import header_names

MAX_BODY_BYTES: typing.Final = 1000
LARGE_BODY_BYTES: typing.Final = 1_000_000
THREADS: typing.Final = 2
MAX_HEADER_BYTES: typing.Final = 8192
IDLE_TIMEOUT_S: typing.Final = 60.0
DRAIN_S: typing.Final = 0.1
TIMEOUT_S: typing.Final = 30.0
"""Time after which a request counts as unanswered.

It is shorter than ``IDLE_TIMEOUT_S``, at whose end a connection that holds a
thread gives it back.
"""

SMUGGLED_REQUEST: typing.Final = b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
"""A request inside or after the body of another one; it must not be served."""


class Echo:
    """An HTTP server that responds to each request with the request's body.

    ``requests`` are those that were passed on, that is, not refused.
    """

    def __init__(self) -> None:
        self.max_body_bytes = MAX_BODY_BYTES
        self.budget = body_budget.BodyBudget()
        self.requests: list[buffered_app.BufferedRequest] = []
        self.http_server = server.HttpServer(
            buffered_app.BufferedApp(
                self.serve,
                header_names.CALLER_HEADERS,
                lambda: self.max_body_bytes,
                self.budget,
            ),
            options.Endpoint("127.0.0.1", 0),
            server.Limits(THREADS, MAX_HEADER_BYTES, IDLE_TIMEOUT_S, DRAIN_S),
        )
        self.http_server.start()

    def serve(
        self, request: buffered_app.BufferedRequest
    ) -> http_messages.Response:
        """Return the response to a request, with the request's body."""
        self.requests.append(request)
        return http_messages.Response(
            200,
            (),
            iter((bytes(request.body),)),
            verdicts.Verdict.RAN,
            verdicts.Reason.SERVED,
            ids.MemberId("me"),
        )

    def connect(self) -> socket.socket:
        """Return a new connection to the server."""
        address = self.http_server.address
        caller = socket.create_connection((address.host, address.port))
        caller.settimeout(TIMEOUT_S)
        return caller


@pytest.fixture
def echo() -> collections.abc.Iterator[Echo]:
    running = Echo()
    yield running
    running.http_server.stop(0.0)


def request_bytes(framed_body: bytes, headers: bytes = b"") -> bytes:
    """Return a request with a chunked body.

    ``framed_body`` are its chunks, last chunk and trailer section, as sent.
    """
    return (
        b"POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
        + headers
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + framed_body
    )


def read_response(file: typing.BinaryIO) -> tuple[int, bytes]:
    """Return status and body; status 0 if the connection is closed."""
    line = file.readline()
    if not line:
        return 0, b""
    length = 0
    while (header := file.readline()) != b"\r\n":
        name, _, value = header.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return int(line.split()[1]), file.read(length)


def ended(file: typing.BinaryIO) -> bool:
    """Return whether the connection ends; a reset counts as well."""
    try:
        return file.read(1) == b""
    except ConnectionResetError:
        return True


@pytest.mark.parametrize(
    "trailers", [b"", b"X-Sum: 1\r\n", b"X-Sum: 1\r\nGET /b HTTP/1.1: 2\r\n"]
)
def test_trailer_section_belongs_to_its_body(
    echo: Echo, trailers: bytes
) -> None:
    """A trailer section is read with its body, and not as a request.

    Guards against a 400 on the same connection that belongs to no request.
    """
    body = b"5;x=y\r\nhello\r\n3\r\n...\r\n0\r\n" + trailers + b"\r\n"
    with echo.connect() as caller, caller.makefile("rb") as file:
        for _ in range(2):
            caller.sendall(request_bytes(body))
            assert read_response(file) == (200, b"hello...")
    assert [request.target for request in echo.requests] == ["/a", "/a"]


def test_idle_connections_after_chunked_bodies_hold_no_threads(
    echo: Echo,
) -> None:
    """More kept connections than threads are idle after a chunked body.

    Each connection but the first ones can only be served if those before it
    hold no thread.  Guards against a thread that waits on each of them, so
    that the process reads no other request.
    """
    callers = []
    body = b"5\r\nhello\r\n0\r\n\r\n"
    for _ in range(4 * THREADS):
        caller = echo.connect()
        callers.append(caller)
        caller.sendall(request_bytes(body))
        with caller.makefile("rb") as file:
            assert read_response(file) == (200, b"hello")
    for caller in callers:
        caller.close()


def test_connections_without_a_request_hold_no_threads(echo: Echo) -> None:
    """More connections than threads are open that no request was sent on.

    Guards against a thread that waits on each of them, so that the process
    reads no request.
    """
    unused = [echo.connect() for _ in range(4 * THREADS)]
    with echo.connect() as caller, caller.makefile("rb") as file:
        caller.sendall(request_bytes(b"5\r\nhello\r\n0\r\n\r\n"))
        assert read_response(file) == (200, b"hello")
    for connection in unused:
        with connection, connection.makefile("rb") as file:
            connection.sendall(request_bytes(b"2\r\nhi\r\n0\r\n\r\n"))
            assert read_response(file) == (200, b"hi")


@pytest.mark.parametrize(
    "body",
    [
        b"5\r\nhello!\r\n0\r\n\r\n",
        b"-5\r\nhello\r\n0\r\n\r\n",
        b"0x5\r\nhello\r\n0\r\n\r\n",
        b"\r\n5\r\nhello\r\n0\r\n\r\n",
        b"5 " + b"x" * 10_000 + b"\r\nhello\r\n0\r\n\r\n",
        b"0\r\n" + b"X-Sum: 1\r\n" * 10_000 + b"\r\n",
    ],
    ids=[
        "chunk longer than its size",
        "negative size",
        "size with a prefix",
        "empty line before the size",
        "long line with the size",
        "long trailer section",
    ],
)
def test_malformed_chunks_are_rejected(echo: Echo, body: bytes) -> None:
    """A malformed body is refused, and its connection closed.

    Guards against lines without end that are kept, and against bytes of a
    body that are taken for another request.
    """
    with echo.connect() as caller, caller.makefile("rb") as file:
        caller.sendall(request_bytes(body + SMUGGLED_REQUEST))
        assert read_response(file)[0] == 400
        assert ended(file)
    assert not echo.requests


@pytest.mark.parametrize(
    ("headers", "body_start", "status"),
    [
        (b"Deadline-Ms: soon\r\n", b"", 400),
        (b"", b"x" * (MAX_BODY_BYTES + 1), 413),
    ],
    ids=["refused for a header", "refused for the length of its body"],
)
def test_unread_chunked_body_is_no_request(
    echo: Echo, headers: bytes, body_start: bytes, status: int
) -> None:
    """A connection is closed after a request that is refused early.

    Its body has then not been read to the end.  Guards against a request that
    is smuggled inside a body.
    """
    body = body_start + SMUGGLED_REQUEST
    with echo.connect() as caller, caller.makefile("rb") as file:
        caller.sendall(
            request_bytes(
                b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body), headers
            )
        )
        assert read_response(file)[0] == status
        assert ended(file)
    assert not echo.requests


@pytest.mark.parametrize(
    ("target", "header"),
    [
        (b"/a?q=%ff", b""),
        (b"/a?self=1&_segments=2", b""),
        (b"/a?q=%c3(&q", b""),
        (b"/a", b"Cookie: a/b[=1; $c\r\n"),
        (b"/a", b"Cookie: =\r\n"),
        (b"/a", b"X-Odd: =?nosuch?q?=ff?=\r\n"),
        (b"/a", b'Content-Type: ;="\r\n'),
    ],
)
def test_odd_query_and_headers_are_passed_on(
    echo: Echo, target: bytes, header: bytes
) -> None:
    """A query or header reaches the router as the caller sent it.

    Only the backend server has to understand it.  Guards against the HTTP
    library answering 404, 400 or 500 by itself.
    """
    with echo.connect() as caller, caller.makefile("rb") as file:
        caller.sendall(
            b"GET " + target + b" HTTP/1.1\r\nHost: h\r\n" + header + b"\r\n"
        )
        assert read_response(file) == (200, b"")
    (request,) = echo.requests
    assert request.target.encode() == target
    if header:
        name, _, value = header.decode().strip().partition(": ")
        received = [(name.lower(), value) for name, value in request.headers]
        assert (name.lower(), value) in received


def test_requests_sent_ahead_are_answered_in_order(echo: Echo) -> None:
    """Each request is sent before the response to the one before it."""
    bodies = [b"one", b"two", b"three", b"four"]
    with echo.connect() as caller, caller.makefile("rb") as file:
        caller.sendall(
            b"".join(
                request_bytes(b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))
                for body in bodies
            )
        )
        assert [read_response(file) for _ in bodies] == [
            (200, body) for body in bodies
        ]


def test_request_behind_a_closing_response_is_not_read(echo: Echo) -> None:
    """Guards against a request that is run although its caller sends it again.

    The response to the first request closes the connection.
    """
    with echo.connect() as caller, caller.makefile("rb") as file:
        caller.sendall(
            request_bytes(b"2\r\nhi\r\n0\r\n\r\n", b"Connection: close\r\n")
            + SMUGGLED_REQUEST
        )
        assert read_response(file) == (200, b"hi")
        assert ended(file)
    assert [request.target for request in echo.requests] == ["/a"]


def test_request_behind_a_refused_body_is_not_read(echo: Echo) -> None:
    """The body of the first request finds no room; the second is no part."""
    echo.budget.limit_bytes = 0
    echo.max_body_bytes = LARGE_BODY_BYTES
    body = b"x" * LARGE_BODY_BYTES
    with echo.connect() as caller, caller.makefile("rb") as file:
        caller.sendall(
            b"POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body + SMUGGLED_REQUEST
        )
        assert read_response(file)[0] == 503
        assert ended(file)
    assert not echo.requests
