"""Endless heads and bodies of responses are cut off."""

import asyncio
import collections.abc
import concurrent.futures
import itertools
import socket
import threading
import time
import typing

import msgspec
import pytest
from bronzepaddle import verdicts
from bronzepaddle_backend import connections
from bronzepaddle_platform import object_store
from bronzepaddle_store import http_calls, store
from support import scripted_server

TIMEOUT_S: typing.Final = 30.0
"""Time after which a call counts as hanging."""

HEAD: typing.Final = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Signature: s\r\n"
)
PIECE: typing.Final = b"x" * 0x4000


def head_without_end() -> collections.abc.Iterator[bytes]:
    yield HEAD
    for number in itertools.count():
        yield b"X-%d: 1\r\n" % number


def interim_responses_without_end() -> collections.abc.Iterator[bytes]:
    while True:
        yield b"HTTP/1.1 100 Continue\r\nX-Some: 1\r\n\r\n"


def line_without_end() -> collections.abc.Iterator[bytes]:
    while True:
        yield PIECE


def chunks_without_end() -> collections.abc.Iterator[bytes]:
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    while True:
        yield b"4000\r\n" + PIECE + b"\r\n"


def body_without_length() -> collections.abc.Iterator[bytes]:
    yield HEAD + b"\r\n"
    while True:
        yield PIECE


def trickling_head() -> collections.abc.Iterator[bytes]:
    yield HEAD
    while True:
        time.sleep(0.05)
        yield b"X: 1\r\n"


def trickling_body() -> collections.abc.Iterator[bytes]:
    yield HEAD + b"Content-Length: 1000000\r\n\r\n"
    while True:
        time.sleep(0.05)
        yield b"x"


ResponseBytes: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Iterator[bytes]
]

ENDLESS: typing.Final = (
    head_without_end,
    interim_responses_without_end,
    line_without_end,
    chunks_without_end,
    body_without_length,
)
TRICKLING: typing.Final = (trickling_head, trickling_body)


class Server:
    """Sends a response on its one connection until the client closes it."""

    def __init__(self, response_bytes: ResponseBytes) -> None:
        self.response_bytes = response_bytes
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.closed = threading.Event()
        self.stopped = False
        threading.Thread(target=self._serve, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return int(self.listening.getsockname()[1])

    def _serve(self) -> None:
        connection, _ = self.listening.accept()
        with connection:
            connection.recv(65536)
            try:
                for piece in self.response_bytes():
                    if self.stopped:
                        return
                    connection.sendall(piece)
            except OSError:
                self.closed.set()


@pytest.fixture
def started_servers() -> collections.abc.Iterator[list[Server]]:
    servers: list[Server] = []
    yield servers
    for server in servers:
        server.stopped = True


_Result = typing.TypeVar("_Result")


def call_with_timeout(call: collections.abc.Callable[[], _Result]) -> _Result:
    """Return the result of a call; raise ``TimeoutError`` if it hangs."""
    done: concurrent.futures.Future[_Result] = concurrent.futures.Future()

    def run() -> None:
        try:
            done.set_result(call())
        except Exception as error:
            done.set_exception(error)

    threading.Thread(target=run, daemon=True).start()
    return done.result(TIMEOUT_S)


@pytest.mark.parametrize(
    ("response_bytes", "left_s"),
    [(source, 1000.0) for source in ENDLESS]
    + [(source, 0.5) for source in TRICKLING],
)
def test_endless_response_to_a_request(
    started_servers: list[Server], response_bytes: ResponseBytes, left_s: float
) -> None:
    server = Server(response_bytes)
    started_servers.append(server)
    response = call_with_timeout(
        lambda: scripted_server.connection_pool(server.port).send(
            scripted_server.backend_request(
                deadline=time.monotonic() + left_s
            ),
            connections.Cancellation(),
        )
    )
    assert response.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert server.closed.wait(TIMEOUT_S)


@pytest.mark.parametrize("response_bytes", [*ENDLESS, *TRICKLING])
def test_endless_response_to_a_command(
    started_servers: list[Server], response_bytes: ResponseBytes
) -> None:
    """Guards against an endless response to a grant.

    One such response blocked all further grants.
    """
    server = Server(response_bytes)
    started_servers.append(server)
    with pytest.raises(connections.CommandLostError):
        call_with_timeout(
            lambda: scripted_server.connection_pool(server.port).send_command(
                "/api/grant", lambda: b"{}", 0.5
            )
        )
    assert server.closed.wait(TIMEOUT_S)


@pytest.mark.parametrize("response_bytes", [*ENDLESS, *TRICKLING])
def test_endless_response_of_the_store(
    started_servers: list[Server], response_bytes: ResponseBytes
) -> None:
    server = Server(response_bytes)
    started_servers.append(server)
    client = object_store.ObjectStore(
        f"127.0.0.1:{server.port}", 0.5, http_calls.CallBudget(9)
    )
    with pytest.raises(store.StoreUnavailableError):
        call_with_timeout(lambda: asyncio.run(client.get("config/main")))
    assert server.closed.wait(TIMEOUT_S)
    client.close()


def test_large_document_of_the_store_is_complete(
    started_servers: list[Server],
) -> None:
    """Guards against a body counted towards the size limit of heads."""
    spec = msgspec.json.encode({"text": "x" * 900_000})
    body = b'{"metadata":{"name":"main","revision":7},"spec":%b}' % spec
    server = Server(
        lambda: iter(
            [
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body),
                body,
            ]
        )
    )
    started_servers.append(server)
    client = object_store.ObjectStore(
        f"127.0.0.1:{server.port}", 20.0, http_calls.CallBudget(9)
    )
    read = call_with_timeout(lambda: asyncio.run(client.get("config/main")))
    assert read is not None
    assert read.body == spec
    client.close()


def test_total_size_of_buffered_responses_is_limited() -> None:
    pool = scripted_server.connection_pool(1)
    pool._count_buffered(connections.MAX_BUFFERED_BYTES)
    with pytest.raises(connections.InvalidResponseError):
        pool._count_buffered(1)
