"""Tests of what a sidecar that is asked to stop does with requests.

Each test stops one of the sidecars of a fleet of its own.
"""

import asyncio
import collections.abc
import concurrent.futures
import dataclasses
import pathlib
import socket
import threading
import typing

import pytest
from bronzepaddle import sidecar_options
from bronzepaddle_callers import server
from bronzepaddle_node import graceful_shutdown, process_end, sidecar

from integration import platform_standins, test_sidecar

LARGE_BODY_BYTES: typing.Final = 12_000_000
"""More than the kernel buffers between two processes of this machine."""

SMALL_BUFFER_BYTES: typing.Final = 8192

END_BEFORE_DEADLINE_S: typing.Final = 10.0
"""Time until an end that is before the deadline of ``Fleet.send``, 15 s."""

END_AFTER_DEADLINE_S: typing.Final = 100.0
"""Time until an end that is after that deadline."""

STUCK_STOP_TIMEOUT_S: typing.Final = 20.0
"""Timeout of a stop while the HTTP server is stuck, which lasts longer."""

WATCH_S: typing.Final = graceful_shutdown.MIN_DRAIN_S + 1.5
"""Time after which a stop that waits for no request would be over."""


class LargeAppServer(platform_standins.AppServer):
    """A backend server; its response is large if the path says ``large``."""

    def _execute(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Any,
        body: bytes,
    ) -> collections.abc.Iterable[bytes]:
        """Return a large response, or the ordinary one."""
        if "large" not in environ["PATH_INFO"]:
            return super()._execute(environ, start_response, body)
        start_response(
            "200 OK",
            [
                ("Content-Length", str(LARGE_BODY_BYTES)),
                ("Request-Id", environ["HTTP_REQUEST_ID"]),
                ("Server-Signature", "signed"),
            ],
        )
        return [bytes(LARGE_BODY_BYTES)]


@pytest.fixture
def fleet(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[test_sidecar.Fleet]:
    """Yield a fleet of its own for a test, once all requests are served."""
    running = test_sidecar.Fleet(tmp_path, LargeAppServer)
    try:
        running.wait_until_served()
        yield running
    finally:
        running.stop()


def stop(
    fleet: test_sidecar.Fleet, name: str
) -> "concurrent.futures.Future[None]":
    """Ask a sidecar to stop; return the future of its end."""
    process = fleet.sidecars[name]
    return asyncio.run_coroutine_threadsafe(process.stop(), fleet.loop)


def connect(fleet: test_sidecar.Fleet, name: str) -> socket.socket:
    """Connect to the port for callers, with a small receive buffer."""
    address = fleet.sidecars[name].settings.callers
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    caller.settimeout(test_sidecar.WAIT_TIMEOUT_S)
    caller.connect((address.host, address.port))
    return caller


def read_to_end(caller: socket.socket) -> bytes:
    """Return all bytes until the other side closes the connection."""
    received = bytearray()
    while piece := caller.recv(1 << 20):
        received += piece
    return bytes(received)


def test_late_request_that_may_outlast_the_process_is_not_begun(
    fleet: test_sidecar.Fleet,
) -> None:
    """A late request whose deadline is after the end is rejected at once.

    Guards against requests that are begun late in the grace time and cut off
    while their server is at work, since the mean run time let them through.
    """
    process = fleet.sidecars["three"]
    received = [len(server.received) for server in fleet.servers.values()]
    now = process.clock.now()
    process.router.process_end = process_end.ProcessEnd(
        known_at=now, ends_at=now + END_BEFORE_DEADLINE_S
    )
    rejected = fleet.send("three", "/plain/a")
    assert rejected.status == 503
    assert float(rejected.headers["Retry-After"]) > 0
    assert received == [
        len(server.received) for server in fleet.servers.values()
    ]
    now = process.clock.now()
    process.router.process_end = process_end.ProcessEnd(
        known_at=now, ends_at=now + END_AFTER_DEADLINE_S
    )
    assert fleet.send("three", "/plain/a").status == 200


def test_late_request_of_a_peer_is_not_begun(
    fleet: test_sidecar.Fleet,
) -> None:
    """The owner of a key begins no late request of a peer that may be cut.

    Guards against the same cut on the other end of the stream.
    """
    owners = [fleet.sidecars[name] for name in ("one", "two")]
    received = [len(server.received) for server in fleet.servers.values()]
    for process in owners:
        now = process.clock.now()
        process.local_backend.process_end = process_end.ProcessEnd(
            known_at=now, ends_at=now + END_BEFORE_DEADLINE_S
        )
    assert fleet.send("three", "/keyed/a", 5).status == 503
    assert received == [
        len(server.received) for server in fleet.servers.values()
    ]


def test_stop_waits_until_a_response_is_written(
    fleet: test_sidecar.Fleet,
) -> None:
    """A stop lasts until the caller has been sent the whole response.

    Guards against downloads that are cut off in the middle, although there is
    grace time left.
    """
    with connect(fleet, "three") as caller:
        caller.sendall(
            b"GET /plain/large HTTP/1.1\r\nHost: one.example\r\n"
            b"Request-Id: r-9\r\nConnection: close\r\n\r\n"
        )
        received = caller.recv(1)
        process = fleet.sidecars["three"]
        process.settings = settings_with_grace(process, 60.0)
        stopping = stop(fleet, "three")
        done, _ = concurrent.futures.wait([stopping], WATCH_S)
        assert not done
        received += read_to_end(caller)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert len(body) == LARGE_BODY_BYTES
    stopping.result(test_sidecar.WAIT_TIMEOUT_S)


def test_caller_that_reads_nothing_does_not_hold_up_the_stop(
    fleet: test_sidecar.Fleet,
) -> None:
    """A stop ends within the grace time, whatever callers do.

    Guards against a stop that waits without end for a caller that does not
    read its response.
    """
    with connect(fleet, "three") as caller:
        caller.sendall(
            b"GET /plain/large HTTP/1.1\r\nHost: one.example\r\n"
            b"Request-Id: r-9\r\n\r\n"
        )
        caller.recv(1)
        process = fleet.sidecars["three"]
        process.settings = settings_with_grace(process, 3.0)
        stop(fleet, "three").result(test_sidecar.WAIT_TIMEOUT_S)
        assert process.caller_server.requests_in_progress()


def test_stop_waits_for_responses_to_peers(fleet: test_sidecar.Fleet) -> None:
    """A stop lasts until a response to a peer is written.

    Guards against a process that ends while the peer still receives.
    """
    process = fleet.sidecars["three"]
    # All requests for the service go to the server of this process.
    fleet.servers["four"].state = "draining"
    fleet.servers["four"].announce(fleet.control("four"))
    # Sending the large response takes longer than ``WATCH_S``.
    process.pacer.bytes_per_s = 1_000_000.0
    process.settings = settings_with_grace(process, 60.0)
    with concurrent.futures.ThreadPoolExecutor() as executor:
        sending = executor.submit(fleet.send, "one", "/plain/large")
        fleet.wait_until(
            process.peer_service.is_serving, "a peer's request runs"
        )
        stopping = stop(fleet, "three")
        done, _ = concurrent.futures.wait([stopping], WATCH_S)
        assert not done
        response = sending.result(test_sidecar.WAIT_TIMEOUT_S)
    assert response.status == 200
    assert len(response.data) == LARGE_BODY_BYTES
    stopping.result(test_sidecar.WAIT_TIMEOUT_S)


def test_stopped_sidecar_accepts_no_connection(
    fleet: test_sidecar.Fleet,
) -> None:
    """Nobody listens for callers once a stop is over.

    Guards against requests that are taken while the process ends.
    """
    stop(fleet, "three").result(test_sidecar.WAIT_TIMEOUT_S)
    with pytest.raises(ConnectionRefusedError):
        connect(fleet, "three")


def test_http_server_that_does_not_end_does_not_hold_up_the_stop(
    fleet: test_sidecar.Fleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stop ends within the grace time, even if a port's server is stuck.

    Guards against a stop that waits for the threads of the HTTP server as
    long as that server's own stop does, or that leaves this wait to a thread
    of the event loop's executor, which the end of the loop waits for.
    """
    executor = concurrent.futures.ThreadPoolExecutor(max_workers=1)
    fleet.loop.call_soon_threadsafe(fleet.loop.set_default_executor, executor)
    process = fleet.sidecars["three"]
    process.settings = settings_with_grace(process, 3.0)
    released = threading.Event()
    with monkeypatch.context() as stuck:
        stuck.setattr(
            process.caller_server.cheroot_server, "stop", released.wait
        )
        # The server's own stop takes much longer than the grace time.
        stuck.setattr(server, "STOP_SLACK_S", test_sidecar.WAIT_TIMEOUT_S)
        try:
            stop(fleet, "three").result(STUCK_STOP_TIMEOUT_S)
            # The only thread of the executor is free.
            executor.submit(int).result(STUCK_STOP_TIMEOUT_S)
        finally:
            released.set()


def settings_with_grace(
    process: sidecar.Sidecar, grace_s: float
) -> sidecar_options.SidecarOptions:
    """Return the settings of a sidecar with another grace time."""
    return dataclasses.replace(process.settings, grace_s=grace_s)
