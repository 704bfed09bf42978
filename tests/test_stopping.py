"""Tests that an HTTP server stops in time, even if a request never ends."""

import socket
import threading
import time
import typing

from bronzepaddle import options
from bronzepaddle_callers import server, streaming_app

DRAIN_S: typing.Final = 0.3
STOP_TIMEOUT_S: typing.Final = 20.0
"""Timeout that only a stop that never ends exceeds."""


class BlockingApp:
    """CherryPy root whose requests block until they are released."""

    def __init__(self) -> None:
        self.entered = threading.Event()
        self.released = threading.Event()

    @streaming_app.exposed
    def default(self, *_path: str) -> bytes:
        """Block until released."""
        self.entered.set()
        self.released.wait()
        return b""


def test_stop_with_an_endless_request() -> None:
    app = BlockingApp()
    limits = server.Limits(4, 8192, 5.0, DRAIN_S)
    http_server = server.HttpServer(
        app, options.Endpoint("127.0.0.1", 0), limits
    )
    http_server.start()
    address = http_server.address
    with socket.create_connection((address.host, address.port)) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert app.entered.wait(STOP_TIMEOUT_S)
        stopper = threading.Thread(target=http_server.stop, daemon=True)
        started_at = time.monotonic()
        stopper.start()
        stopper.join(STOP_TIMEOUT_S)
        took_s = time.monotonic() - started_at
        app.released.set()
    assert took_s < STOP_TIMEOUT_S


def test_workers_do_not_keep_a_process_alive() -> None:
    http_server = server.HttpServer(
        BlockingApp(),
        options.Endpoint("127.0.0.1", 0),
        server.Limits(4, 8192, 5.0, DRAIN_S),
    )
    before = set(threading.enumerate())
    http_server.start()
    started = set(threading.enumerate()) - before
    http_server.stop()
    assert started
    assert all(thread.daemon for thread in started)
