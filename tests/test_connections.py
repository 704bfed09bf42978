"""Tests of the connections to a backend server, against a scripted server.

An invalid response must never be treated as a complete one.
"""

import contextlib
import socket
import threading
import time
import typing

import pytest
from bronzepaddle import http_messages, ids, verdicts
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
                    request = connection.recv(65536)
                    if not request:
                        break
                    self.requests.append(request)
                    connection.sendall(response)
                else:
                    continue
        self.closed.set()


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


def send(
    server: ScriptedServer, **changes: typing.Any
) -> http_messages.Response:
    pool = connection_pool(server.port)
    with contextlib.closing(pool):
        return pool.send(
            backend_request(**changes), connections.Cancellation()
        )


CASES: typing.Final = {
    "complete": ([COMPLETE_RESPONSE], verdicts.Verdict.RAN),
    "body cut off": ([COMPLETE_RESPONSE[:-2]], verdicts.Verdict.MAY_HAVE_RUN),
    "head cut off": (
        [COMPLETE_RESPONSE[:30]],
        verdicts.Verdict.MAY_HAVE_RUN,
    ),
    "no response": ([b""], verdicts.Verdict.MAY_HAVE_RUN),
    "not HTTP": (
        [b"\x00\x01\x02 what\r\n\r\n"],
        verdicts.Verdict.MAY_HAVE_RUN,
    ),
    "response to another request": (
        [OTHER_RESPONSE],
        verdicts.Verdict.MAY_HAVE_RUN,
    ),
    "not signed": (
        [COMPLETE_RESPONSE.replace(b"Server-Signature: s\r\n", b"")],
        verdicts.Verdict.MAY_HAVE_RUN,
    ),
    "encoded body": (
        [
            COMPLETE_RESPONSE.replace(
                b"\r\n\r\n", b"\r\nContent-Encoding: gzip\r\n\r\n"
            )
        ],
        verdicts.Verdict.MAY_HAVE_RUN,
    ),
    "refused with Not-Executed": (
        [b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"],
        verdicts.Verdict.NOT_RUN,
    ),
    "503 without Not-Executed": (
        [COMPLETE_RESPONSE.replace(b"200 OK", b"503 No")],
        verdicts.Verdict.MAY_HAVE_RUN,
    ),
    "421, request for another server": (
        [b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"],
        verdicts.Verdict.NOT_RUN,
    ),
    "500 of the server": (
        [COMPLETE_RESPONSE.replace(b"200 OK", b"500 No")],
        verdicts.Verdict.RAN,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_verdict(case: str) -> None:
    script, verdict = CASES[case]
    response = send(ScriptedServer([*script, b""]))
    assert response.verdict is verdict


def test_request_is_sent_unchanged() -> None:
    server = ScriptedServer([COMPLETE_RESPONSE])
    assert b"".join(send(server).body) == b"hello"
    head = server.requests[0].decode()
    assert head.startswith("GET /a?b=%20c HTTP/1.1\r\n")
    for line in (
        "Host: one.example",
        "X-Own: 1",
        "Request-Id: r-1",
        "Expected-Instance: i-1",
        "Caller-Service: shop",
    ):
        assert f"{line}\r\n" in head
    assert "Accept-Encoding" not in head
    assert "User-Agent" not in head


def test_connection_with_a_second_response_is_not_reused() -> None:
    server = ScriptedServer(
        [COMPLETE_RESPONSE + OTHER_RESPONSE], [COMPLETE_RESPONSE]
    )
    pool = connection_pool(server.port)
    with contextlib.closing(pool):
        for _ in range(2):
            response = pool.send(backend_request(), connections.Cancellation())
            assert response.verdict is verdicts.Verdict.RAN
            assert b"".join(response.body) == b"hello"
            time.sleep(0.05)


def test_response_without_length_ends_with_its_connection() -> None:
    server = ScriptedServer(
        [COMPLETE_RESPONSE.replace(b"Content-Length: 5\r\n", b"")]
    )
    assert b"".join(send(server).body) == b"hello"


def test_refused_connection_means_that_server_has_ended() -> None:
    with socket.create_server(("127.0.0.1", 0)) as unused_socket:
        port = unused_socket.getsockname()[1]
    pool = connection_pool(port)
    response = pool.send(backend_request(), connections.Cancellation())
    assert response.verdict is verdicts.Verdict.NOT_RUN
    assert response.reason is verdicts.Reason.SERVER_ENDED


def test_cancelled_request_closes_its_connection() -> None:
    server = ScriptedServer([b"", b""])
    pool = connection_pool(server.port)
    cancellation = connections.Cancellation()
    results: list[http_messages.Response] = []
    sending = threading.Thread(
        target=lambda: results.append(
            pool.send(backend_request(), cancellation)
        )
    )
    sending.start()
    while not server.requests:
        time.sleep(0.01)
    cancellation.cancel()
    sending.join(20)
    assert results[0].verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert server.closed.wait(20)
