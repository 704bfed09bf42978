"""Tests of the memory of a process whose backend server sends without end."""

import collections.abc
import pathlib
import socket
import threading
import typing

import pytest
import test_endless_responses as endless

from integration import platform_standins, test_explaining

MAX_MEMORY_KB: typing.Final = 200 * 1024
"""Bound on the memory of a process: that of the smallest VM."""

CALLERS: typing.Final = 40
"""Requests that are sent at the same time."""

ROUNDS: typing.Final = 2
"""How often ``CALLERS`` requests are sent."""


HEALTHY: typing.Final = (
    b"HTTP/1.1 200 OK\r\nInstance-Id: i-endless\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class EndlessServer(platform_standins.AppServer):
    """A backend server whose responses never end.

    It listens on a port of its own for requests.  On each connection it reads
    one request, then sends ``response_bytes`` until the client closes it.  The
    response to a health check ends once ``answers_health`` is set.
    """

    answers_health = False

    def __init__(
        self,
        server_id: str,
        service: str,
        response_bytes: endless.ResponseBytes,
    ) -> None:
        super().__init__(server_id, service)
        self.response_bytes = response_bytes
        self.listening = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address for requests, which the server announces."""
        return "{}:{}".format(*self.listening.getsockname())

    def _accept(self) -> None:
        """Serve each connection on a thread of its own until stopped."""
        while True:
            try:
                connection, _ = self.listening.accept()
            except OSError:
                return
            threading.Thread(
                target=self._send, args=(connection,), daemon=True
            ).start()

    def _send(self, connection: socket.socket) -> None:
        """Read one request and respond until the client closes."""
        with connection:
            try:
                request = connection.recv(65536)
                if self.answers_health and request.startswith(b"GET /health"):
                    connection.sendall(HEALTHY)
                    return
                after_name = request.partition(b"Request-Id: ")[2]
                header = b"Request-Id: " + after_name.partition(b"\r\n")[0]
                for piece in self.response_bytes():
                    # A response must have the id of its request; those of
                    # ``test_endless_responses`` have a fixed one.
                    connection.sendall(
                        piece.replace(b"Request-Id: r-1", header)
                    )
            except OSError:
                return

    def stop(self) -> None:
        """Stop listening."""
        self.listening.close()
        super().stop()


class Fleet(test_explaining.Fleet):
    """Two processes, of which one has an ``EndlessServer``.

    The other one's server is never announced.
    """

    def __init__(
        self, folder: pathlib.Path, response_bytes: endless.ResponseBytes
    ) -> None:
        super().__init__(folder)
        self.servers["three"].stop()
        self.servers["three"] = EndlessServer(
            "i-endless", "plain", response_bytes
        )

    def peak_memory_kb(self, name: str) -> int:
        """Return the highest resident memory of a process so far."""
        pid = self.processes[name].pid
        status = pathlib.Path(f"/proc/{pid}/status").read_text("ascii")
        return int(status.partition("VmHWM:")[2].split()[0])


@pytest.fixture(params=endless.ENDLESS)
def fleet(
    tmp_path: pathlib.Path, request: pytest.FixtureRequest
) -> collections.abc.Iterator[Fleet]:
    """Yield a fleet for each kind of endless response."""
    running = Fleet(tmp_path, request.param)
    try:
        yield running
    finally:
        running.stop()


def test_endless_responses_take_no_process_over_its_memory(
    fleet: Fleet,
) -> None:
    """Many requests at once get responses that never end.

    Guards against a process that keeps all that a faulty server sends, and
    ends with the requests of all other callers.  So does its health check at
    first, and the server isn't used.
    """
    server = typing.cast(EndlessServer, fleet.servers["three"])
    control = fleet.addresses["three"]["control"]
    fleet.wait_until(
        lambda: test_explaining.try_announce(server, control), "announced"
    )
    for number in range(ROUNDS):
        sent = fleet.send_many(CALLERS, "/plain/a", f"h-{number}")
        statuses = {response.result().status for response in sent.values()}
        assert statuses == {503}
    assert fleet.peak_memory_kb("three") < MAX_MEMORY_KB
    server.answers_health = True
    fleet.wait_until(
        lambda: fleet.send("three", "/plain/a", "r-0").status == 502,
        "the endless server is used",
    )
    for number in range(ROUNDS):
        sent = fleet.send_many(CALLERS, "/plain/a", f"r-{number}")
        statuses = {response.result().status for response in sent.values()}
        assert statuses <= {502, 503}
    assert fleet.processes["three"].poll() is None
    assert fleet.peak_memory_kb("three") < MAX_MEMORY_KB
    # The process still responds: no route has this prefix.
    assert fleet.send("three", "/nowhere/a", "r-9").status == 404
