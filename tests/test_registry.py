"""Tests of how reports that are not accepted are refused."""

import collections.abc
import contextlib
import itertools
import socket
import threading
import typing

import pytest
from bronzepaddle import options
from bronzepaddle_backend import key_reports
from bronzepaddle_callers import server
from bronzepaddle_platform import registry

TIMEOUT_S: typing.Final = 30.0
MAX_SENT_BYTES: typing.Final = 64 * 1024 * 1024


@pytest.fixture
def port() -> collections.abc.Iterator[int]:
    application = registry.Registry(
        lambda _: key_reports.Reply(accepted=True), lambda _: None
    )
    http_server = server.HttpServer(
        application,
        options.Endpoint("127.0.0.1", 0),
        server.Limits(2, 16384, 15.0, 1.0),
    )
    http_server.start()
    yield http_server.address.port
    threading.Thread(target=http_server.stop, daemon=True).start()


def test_report_without_end_is_cut_off(port: int) -> None:
    """Guards against reading an endless body into memory."""
    chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(TIMEOUT_S)
        connection.sendall(
            b"PUT /api/instances/i-1 HTTP/1.1\r\nHost: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        with pytest.raises(ConnectionError):
            for sent_chunks in itertools.count():
                assert sent_chunks * len(chunk) < MAX_SENT_BYTES
                connection.sendall(chunk)


def test_connection_ends_after_a_response_that_says_so(port: int) -> None:
    """No request is served on a connection after ``Connection: close``.

    Guards against a connection that the response to a malformed report
    announced to be closed, and that was kept.
    """
    with (
        socket.create_connection(("127.0.0.1", port)) as connection,
        connection.makefile("rb") as file,
    ):
        connection.settimeout(TIMEOUT_S)
        connection.sendall(
            b"PUT /api/instances/i-1 HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 1\r\n\r\n{"
        )
        assert file.readline().startswith(b"HTTP/1.1 400 ")
        headers = list(iter(file.readline, b"\r\n"))
        assert b"Connection: close\r\n" in headers
        assert file.read(2) == b"{}"
        with contextlib.suppress(ConnectionError):
            connection.sendall(
                b"DELETE /api/instances/i-1 HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            assert file.read(1) == b""
