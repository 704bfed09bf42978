"""Tests of connections that the server closes after a response.

Their callers read slowly, and have sent more than the server has read: the
kernel resets such a connection when it is closed.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import select
import socket
import threading
import time
import typing

import pytest
from bronzepaddle import http_messages, ids, options, verdicts
from bronzepaddle.load import body_budget
from bronzepaddle_callers import buffered_app, closing, server, streaming_app
from bronzepaddle_peers import peer_server
from bronzepaddle_platform import header_names

BODY: typing.Final = bytes(range(250)) * 200
"""A body that the kernel takes as a whole, but not its caller's."""

END: typing.Final = b"the end"
"""End of each body."""

SHORT_BODY: typing.Final = bytes(11 * 1024)
"""A body that the kernel takes at once, but not its caller's."""

CALLER_BUFFER_BYTES: typing.Final = 4096
PIECE_BYTES: typing.Final = 6 * 1024
PAUSE_S: typing.Final = 3 * closing.CHECK_S
"""Time between two pieces that a caller reads."""

TIMEOUT_S: typing.Final = 30.0
THREADS: typing.Final = 4
LIMITS: typing.Final = server.Limits(THREADS, 8192, 60.0, 0.1)

BEHIND: typing.Final = b"GET /b HTTP/1.1\r\nHost: h\r\nRequest-Id: b\r\n\r\n"
"""A request that follows another one and isn't answered."""

SENT_BYTES: typing.Final = 16 * closing.MAX_DROPPED_BYTES


def respond(asked: typing.Any) -> http_messages.Response:
    """Return a response that takes its caller long to read."""
    body = SHORT_BODY if "short" in asked.target else BODY
    return http_messages.Response(
        200,
        (),
        iter((body + END,)),
        verdicts.Verdict.RAN,
        verdicts.Reason.SERVED,
        ids.MemberId("me"),
    )


def buffered() -> object:
    return buffered_app.BufferedApp(
        respond,
        header_names.CALLER_HEADERS,
        lambda: len(BODY),
        body_budget.BodyBudget(),
    )


def streamed() -> object:
    return streaming_app.StreamingApp(respond)


def request(headers: str = "", path: str = "/a") -> bytes:
    """Return a request with further headers."""
    head = f"GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n"
    return f"{head}{headers}\r\n".encode()


class Rig:
    """A server, and connections to it whose callers have small buffers."""

    def __init__(self, app: object, limits: server.Limits = LIMITS) -> None:
        self.http_server = server.HttpServer(
            app, options.Endpoint("127.0.0.1", 0), limits
        )
        self.http_server.start()
        self.callers: list[socket.socket] = []

    def connect(self) -> socket.socket:
        address = self.http_server.address
        caller = socket.socket()
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES
        )
        caller.settimeout(TIMEOUT_S)
        caller.connect((address.host, address.port))
        self.callers.append(caller)
        return caller

    def wait_until(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        ends_at = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < ends_at
            time.sleep(0.01)

    def stop(self) -> None:
        for caller in self.callers:
            caller.close()
        self.http_server.stop(0.0)


@contextlib.contextmanager
def running(
    app: object, limits: server.Limits = LIMITS
) -> collections.abc.Iterator[Rig]:
    rig = Rig(app, limits)
    try:
        yield rig
    finally:
        rig.stop()


def wait_for_response(caller: socket.socket) -> None:
    """Wait for the first bytes of a response, without reading them."""
    poll = select.poll()
    poll.register(caller, select.POLLIN)
    assert poll.poll(TIMEOUT_S * 1000)


def read_response(caller: socket.socket) -> None:
    """Read a response with a length to its end."""
    received = b""
    while not received.endswith(END):
        received += caller.recv(len(BODY))


def is_whole(received: bytes) -> bool:
    """Return whether a response is complete."""
    is_chunked = b"chunked" in received.partition(b"\r\n\r\n")[0]
    return received.endswith(END + b"\r\n0\r\n\r\n" if is_chunked else END)


def read_slowly(caller: socket.socket) -> bytes:
    """Return all that the server sends until it closes the connection."""
    received = []
    while piece := caller.recv(PIECE_BYTES):
        received.append(piece)
        time.sleep(PAUSE_S)
    return b"".join(received)


@pytest.mark.parametrize("app", (buffered, streamed))
@pytest.mark.parametrize("ends", ("at a stop", "by the caller's wish"))
def test_response_arrives_before_a_request_behind_it(
    app: collections.abc.Callable[[], object], ends: str
) -> None:
    """Guards against responses that are cut off by a reset."""
    with running(app()) as rig:
        if ends == "at a stop":
            rig.http_server.disable_keep_alive()
            headers = ""
        else:
            headers = "Connection: close\r\n"
        caller = rig.connect()
        caller.sendall(request(headers))
        wait_for_response(caller)
        caller.sendall(BEHIND)
        assert is_whole(read_slowly(caller))


def test_response_arrives_with_many_kept_connections() -> None:
    """Guards against a reset at the HTTP library's limit on these."""
    with running(buffered()) as rig:
        limit = rig.http_server.cheroot_server.keep_alive_conn_limit
        for _ in range(limit):
            idle = rig.connect()
            idle.sendall(request())
            read_response(idle)
        rig.wait_until(lambda: len(rig.http_server.connections.idle) == limit)
        caller = rig.connect()
        caller.sendall(request())
        wait_for_response(caller)
        caller.sendall(BEHIND)
        assert is_whole(read_slowly(caller))


def test_response_of_an_idle_connection_arrives_at_a_stop() -> None:
    """Guards against a stop that drops what its callers are reading."""
    with running(buffered()) as rig:
        caller = rig.connect()
        caller.sendall(request(path="/short"))
        rig.wait_until(lambda: len(rig.http_server.connections.idle) == 1)
        stopping = rig.http_server.begin_stop(0.0)
        assert is_whole(read_slowly(caller))
        stopping.join(TIMEOUT_S)
        rig.wait_until(lambda: rig.http_server.requests_in_progress() == 0)


def test_response_of_an_idle_connection_is_not_evicted() -> None:
    """Guards against a new connection that costs another its response.

    One without an unread response is closed in place of it.
    """
    limits = dataclasses.replace(LIMITS, max_connections=2)
    with running(buffered(), limits) as rig:
        slow = rig.connect()
        slow.sendall(request(path="/short"))
        rig.wait_until(lambda: len(rig.http_server.connections.idle) == 1)
        quick = rig.connect()
        quick.sendall(request())
        read_response(quick)
        rig.wait_until(lambda: len(rig.http_server.connections.idle) == 2)
        rig.connect().sendall(request("Connection: close\r\n"))
        rig.wait_until(lambda: rig.http_server.connections.evicted == 1)
        read_response(slow)


def test_refusal_arrives_before_the_body_is_read() -> None:
    """Guards against callers that don't learn that they were refused."""
    with running(buffered()) as rig:
        caller = rig.connect()
        length = len(BODY) + 1
        head = (
            f"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
        )
        caller.sendall(head.encode())
        wait_for_response(caller)
        with contextlib.suppress(ConnectionError):
            caller.sendall(bytes(length))
        assert read_slowly(caller).startswith(b"HTTP/1.1 413 ")


def test_refusal_arrives_if_there_are_too_many_connections() -> None:
    """Guards against callers that see a reset in place of the refusal."""
    limits = dataclasses.replace(LIMITS, max_connections=1)
    with running(buffered(), limits) as rig:
        rig.connect().sendall(request()[:10])
        rig.wait_until(lambda: len(rig.http_server.connections.open) == 1)
        rig.wait_until(lambda: not rig.http_server.connections.unused)
        caller = rig.connect()
        caller.sendall(request() + bytes(10_000))
        time.sleep(PAUSE_S)
        caller.sendall(BEHIND)
        assert read_slowly(caller).startswith(b"HTTP/1.1 503 ")


def test_caller_that_sends_on_is_closed() -> None:
    """Guards against connections that stay, and input without a bound."""
    with running(buffered()) as rig:
        rig.http_server.disable_keep_alive()
        caller = rig.connect()
        caller.sendall(request())
        wait_for_response(caller)
        sent = threading.Thread(target=send_much, args=(caller,))
        sent.start()
        with contextlib.suppress(ConnectionError):
            read_slowly(caller)
        sent.join(TIMEOUT_S)
        assert not sent.is_alive()
        rig.wait_until(lambda: not rig.http_server.requests_in_progress())


def send_much(caller: socket.socket) -> None:
    with contextlib.suppress(OSError):
        for _ in range(SENT_BYTES // len(BODY)):
            caller.sendall(BODY)


def test_number_of_closing_connections_is_bounded() -> None:
    """Guards against callers that never close their side."""
    with running(buffered()) as rig:
        rig.http_server.disable_keep_alive()
        for _ in range(closing.MAX_CLOSING + THREADS):
            rig.connect().sendall(request())
        closing_connections = (
            rig.http_server.cheroot_server.closing_connections
        )
        for caller in rig.callers:
            wait_for_response(caller)
            assert closing_connections.count <= closing.MAX_CLOSING


async def _unsent_to_a_peer() -> list[bool]:
    """Return what is said of a response before and after it is read."""
    made: asyncio.Future[typing.Any] = asyncio.Future()
    listener = await asyncio.start_server(
        lambda _reader, writer: made.set_result(writer.transport),
        "127.0.0.1",
    )
    with socket.socket() as peer:
        peer.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES
        )
        peer.connect(listener.sockets[0].getsockname())
        transport = await made
        transport.write(BODY)
        before = peer_server.has_unsent(transport)
        # The event loop has nothing to write any more.
        assert not transport.get_write_buffer_size()
        received = b""
        while len(received) < len(BODY):
            received += peer.recv(len(BODY))
        for _ in range(int(TIMEOUT_S / PAUSE_S)):
            if not peer_server.has_unsent(transport):
                break
            await asyncio.sleep(PAUSE_S)
        after = peer_server.has_unsent(transport)
        transport.close()
    listener.close()
    return [before, after]


def test_response_to_a_peer_is_unsent_until_it_has_it() -> None:
    """Guards against a stop that drops responses which the kernel keeps."""
    assert asyncio.run(_unsent_to_a_peer()) == [True, False]
