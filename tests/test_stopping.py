"""A stop ends within its bound, whatever still runs."""

import socket
import threading
import time
import typing

from bronzepaddle import options
from bronzepaddle_callers import server, streaming_app

DRAIN_S: typing.Final = 0.3
BOUND_S: typing.Final = 20.0
"""Far above what a stop takes; it only tells an end from none."""


class Endless:
    """Answers no request before it is let go."""

    def __init__(self) -> None:
        self.entered = threading.Event()
        self.let_go = threading.Event()

    @streaming_app.exposed
    def default(self, *_path: str) -> bytes:
        """Wait."""
        self.entered.set()
        self.let_go.wait()
        return b""


def test_stop_with_an_endless_request() -> None:
    root = Endless()
    limits = server.Limits(4, 8192, 5.0, DRAIN_S)
    http = server.HttpServer(root, options.Endpoint("127.0.0.1", 0), limits)
    http.start()
    at = http.address
    with socket.create_connection((at.host, at.port)) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert root.entered.wait(BOUND_S)
        stopping = threading.Thread(target=http.stop, daemon=True)
        began = time.monotonic()
        stopping.start()
        stopping.join(BOUND_S)
        took_s = time.monotonic() - began
        root.let_go.set()
    assert took_s < BOUND_S


def test_workers_do_not_keep_a_process_alive() -> None:
    http = server.HttpServer(
        Endless(),
        options.Endpoint("127.0.0.1", 0),
        server.Limits(4, 8192, 5.0, DRAIN_S),
    )
    before = set(threading.enumerate())
    http.start()
    started = set(threading.enumerate()) - before
    http.stop()
    assert started
    assert all(thread.daemon for thread in started)
