"""A scripted backend server, and requests to it."""

import re
import socket
import threading
import time
import typing

from bronzepaddle import ids
from bronzepaddle_backend import connections
from bronzepaddle_platform import header_names

REQUEST_ID: typing.Final = ids.RequestId("r-1")

COMPLETE_RESPONSE: typing.Final = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Signature: s\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
OTHER_RESPONSE: typing.Final = COMPLETE_RESPONSE.replace(b"r-1", b"r-0")


class ScriptedServer:
    """A server that sends given responses.

    Each connection is served from the next script, a list of responses.
    ``closed`` is set when the client has closed the last connection.
    """

    def __init__(self, *scripts: list[bytes]) -> None:
        self.scripts = list(scripts)
        self.requests: list[bytes] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.closed = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return int(self.listener.getsockname()[1])

    def _serve(self) -> None:
        for script in self.scripts:
            connection, _ = self.listener.accept()
            with connection:
                for response in script:
                    request = _receive_request(connection)
                    if not request:
                        break
                    self.requests.append(request)
                    connection.sendall(response)
                else:
                    continue
        self.closed.set()


def _receive_request(connection: socket.socket) -> bytes:
    """Return a request with its body; empty if the client has closed."""
    request = connection.recv(65536)
    head, _, body = request.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)\ncontent-length: *([0-9]+)", head)
    while length is not None and len(body) < int(length[1]):
        piece = connection.recv(65536)
        if not piece:
            break
        request += piece
        body += piece
    return request


def backend_request(**changes: typing.Any) -> connections.BackendRequest:
    fields: dict[str, typing.Any] = {
        "request_id": REQUEST_ID,
        "caller_service": ids.ServiceName("shop"),
        "server_id": "i-1",
        "method": "GET",
        "target": "/a?b=%20c",
        "headers": (("Host", "one.example"), ("X-Own", "1")),
        "body": b"",
        "deadline": time.monotonic() + 5.0,
        "idempotent": True,
    }
    return connections.BackendRequest(**(fields | changes))


def connection_pool(port: int) -> connections.Connections:
    return connections.Connections(
        ids.MemberId("me"),
        "127.0.0.1",
        port,
        header_names.SERVER_HEADERS,
        time.monotonic,
    )
