"""Stand-in for a backend server that can simulate faults.

It announces itself to a router process, accepts that process's grant, drain
and cancel commands, and serves any path.  Query parameters of a request
choose how it is served:

``sleep-ms``  delay of the response in milliseconds
``bytes``     respond with a generated body of this size
``cut``       close the connection after this many bytes of the body
``shed``      refuse the request for lack of capacity
``crash``     stop the server as if it were killed

Otherwise the response repeats the request's body, or its target if the body
is empty.  ``/standin/ran`` returns the requests that the server has executed,
for the checks of tests.
"""

import collections.abc
import dataclasses
import os
import threading
import time
import typing
import urllib.parse

import click
import msgspec
import urllib3
from bronzepaddle import http_messages, ids
from bronzepaddle_backend import announcements, commands, dispatch
from bronzepaddle_callers import server

from bronzepaddle_standins import platform

BODY_PATTERN: typing.Final = bytes(range(256)) * 256
"""Repeated to generate bodies, so that a client can verify every byte."""


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """How a server behaves.

    The server announces that it processes ``slots`` requests at once and
    accepts at most ``connections`` connections.  ``checks_tokens`` makes it
    refuse requests whose fencing token is not granted.
    ``announce_interval_s`` is the time between announcements.  Each request
    takes ``service_time_s`` seconds, and ``cold_delay_s`` more within the
    first ``cold_s`` seconds of the server.  From ``shed_limit`` outstanding
    requests on, it refuses new ones.  Announcements give the number of
    outstanding requests as of ``load_report_delay_s`` seconds ago, or the
    fixed number ``reported_outstanding``.
    """

    service: str
    slots: int = 9
    connections: int = 120
    checks_tokens: bool = False
    announce_interval_s: float = 0.2
    cold_s: float = 0.0
    cold_delay_s: float = 0.0
    service_time_s: float = 0.0
    shed_limit: int | None = None
    load_report_delay_s: float = 0.0
    reported_outstanding: int | None = None


class ExecutedRequest(msgspec.Struct, frozen=True):
    """A request that the server executed, as ``/standin/ran`` returns it.

    ``slot`` and ``token`` are -1 if the request carried none; ``at`` is the
    wall-clock time in seconds.
    """

    request_id: str
    target: str
    key: str
    slot: int
    token: int
    at: float


class Backend:
    """A backend server; it sends its announcements to ``announce_to``.

    ``on_crash`` is called by a request with the query parameter ``crash``;
    by default it stops the server.
    """

    def __init__(
        self,
        behaviour: Behaviour,
        announce_to: str,
        host: str = "127.0.0.1",
        port: int = 0,
        on_crash: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        self.behaviour = behaviour
        self.announce_to = announce_to
        self.on_crash = on_crash or self.stop
        self.run_id = ids.new_id()
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.executed: list[ExecutedRequest] = []
        self.outstanding = 0
        self.highest_tokens: dict[int, int] = {}
        self.granted_tokens: dict[int, int] = {}
        self.grants_expire_at = float("-inf")
        self.draining = False
        self.stopped = threading.Event()
        self.load_samples = collections.deque([(0.0, 0)], maxlen=1000)
        self.http = urllib3.PoolManager(retries=False, timeout=1.0)
        self.server = server.BackgroundServer(
            (host, port),
            self.serve,
            numthreads=min(behaviour.connections + 4, 64),
            request_queue_size=256,
            timeout=60,
            shutdown_timeout=1,
        )

    def start(self) -> None:
        """Listen and start to send announcements."""
        self.server.start_threads()
        threading.Thread(target=self._announce, daemon=True).start()

    def stop(self) -> None:
        """Stop listening and announcing, without notice to anyone."""
        self.stopped.set()
        threading.Thread(target=self.server.stop, daemon=True).start()

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port at which the server listens."""
        host, port = self.server.bind_addr[:2]
        return str(host), int(port)

    def _announce(self) -> None:
        """Send announcements until the server is stopped."""
        while not self.stopped.wait(self.behaviour.announce_interval_s):
            host, port = self.address
            announcement = announcements.Announcement(
                run=self.run_id,
                service=ids.ServiceName(self.behaviour.service),
                host=host,
                port=port,
                slots=self.behaviour.slots,
                connections=self.behaviour.connections,
                outstanding=self._reported_load(),
                draining=self.draining,
            )
            try:
                self.http.request(
                    "POST",
                    self.announce_to + announcements.PATH,
                    body=msgspec.json.encode(announcement),
                )
            except urllib3.exceptions.HTTPError:
                continue

    def _reported_load(self) -> int:
        """Return the number of outstanding requests to announce.

        It may be outdated or wrong, as ``Behaviour`` says.
        """
        now = time.monotonic()
        self.load_samples.append((now, self.outstanding))
        if self.behaviour.reported_outstanding is not None:
            return self.behaviour.reported_outstanding
        counts = [
            count
            for at, count in self.load_samples
            if at <= now - self.behaviour.load_report_delay_s
        ]
        return counts[-1] if counts else 0

    def serve(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Handle one request; a WSGI application."""
        path = environ["PATH_INFO"]
        start_response = _echo_request_id(environ, start_response)
        if path.startswith("/bronzepaddle/"):
            return self._handle_command(environ, start_response, path)
        if path == "/standin/ran":
            return _respond(start_response, msgspec.json.encode(self.executed))
        reason = self._refusal_reason(environ)
        if reason is not None:
            headers = [
                (dispatch.REFUSED_HEADER, reason),
                ("Retry-After", "1"),
                ("Content-Length", "0"),
            ]
            start_response("503 Service Unavailable", headers)
            return []
        with self.lock:
            self.outstanding += 1
        try:
            return self._execute(environ, start_response)
        finally:
            with self.lock:
                self.outstanding -= 1

    def _handle_command(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Any,
        path: str,
    ) -> list[bytes]:
        """Apply a command of the router process; a cancel has no effect."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        if path == commands.GRANTS_PATH:
            grants = msgspec.json.decode(body, type=commands.Grants)
            with self.lock:
                self.granted_tokens = {
                    grant.slot: grant.token for grant in grants.slots
                }
                self.grants_expire_at = time.monotonic() + grants.remaining_s
        elif path == commands.DRAIN_PATH:
            self.draining = True
        return _respond(start_response, b"")

    def _refusal_reason(self, environ: dict[str, typing.Any]) -> str | None:
        """Return why a request is refused, or None if it is executed.

        With ``checks_tokens``, a request that carries a token is refused if
        the token is older than one that was seen for its slot, is not the
        granted one, or if the grant has expired.
        """
        query = _query_parameters(environ)
        shed_limit = self.behaviour.shed_limit
        if "shed" in query or (
            shed_limit is not None and self.outstanding >= shed_limit
        ):
            return "shed"
        token = environ.get("HTTP_BRONZEPADDLE_TOKEN")
        if not self.behaviour.checks_tokens or token is None:
            return None
        slot = int(environ["HTTP_BRONZEPADDLE_SLOT"])
        with self.lock:
            if int(token) < self.highest_tokens.get(slot, 0):
                return dispatch.REFUSED_GRANT
            self.highest_tokens[slot] = int(token)
            if self.granted_tokens.get(slot) != int(token):
                return dispatch.REFUSED_GRANT
            if time.monotonic() >= self.grants_expire_at:
                return dispatch.REFUSED_GRANT
        return None

    def _execute(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Execute a request as its query parameters and ``Behaviour`` say."""
        query = _query_parameters(environ)
        body = _read_body(environ)
        self._record(environ)
        if "crash" in query:
            self.on_crash()
            platform.abort_connection()
        delay = self.behaviour.service_time_s
        delay += float(query.get("sleep-ms", 0)) / 1000
        if time.monotonic() - self.started_at < self.behaviour.cold_s:
            delay += self.behaviour.cold_delay_s
        if delay:
            time.sleep(delay)
        if "bytes" in query:
            return _respond_generated(start_response, environ, query)
        content = body or environ["REQUEST_URI"].encode()
        if "cut" in query:
            return _respond_truncated(
                start_response, content, int(query["cut"])
            )
        return _respond(start_response, content)

    def _record(self, environ: dict[str, typing.Any]) -> None:
        """Record a request as executed."""
        record = ExecutedRequest(
            request_id=environ.get("HTTP_BRONZEPADDLE_REQUEST_ID", ""),
            target=environ["REQUEST_URI"],
            key=environ.get("HTTP_X_KEY", ""),
            slot=int(environ.get("HTTP_BRONZEPADDLE_SLOT", -1)),
            token=int(environ.get("HTTP_BRONZEPADDLE_TOKEN", -1)),
            at=time.time(),
        )
        with self.lock:
            self.executed.append(record)


def _echo_request_id(
    environ: dict[str, typing.Any], start_response: typing.Any
) -> typing.Any:
    """Return a ``start_response`` that adds the id of the request."""
    request_id = environ.get("HTTP_BRONZEPADDLE_REQUEST_ID")
    if request_id is None:
        return start_response

    def start(status: str, headers: list[tuple[str, str]]) -> typing.Any:
        echo = (dispatch.REQUEST_ID_HEADER, request_id)
        return start_response(status, [*headers, echo])

    return start


def _query_parameters(environ: dict[str, typing.Any]) -> dict[str, str]:
    return dict(
        urllib.parse.parse_qsl(
            environ.get("QUERY_STRING", ""), keep_blank_values=True
        )
    )


def _read_body(environ: dict[str, typing.Any]) -> bytes:
    if "chunked" in environ.get("HTTP_TRANSFER_ENCODING", ""):
        chunks = iter(
            lambda: environ["wsgi.input"].read(http_messages.CHUNK_BYTES), b""
        )
        return b"".join(chunks)
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    return body


def _respond(start_response: typing.Any, body: bytes) -> list[bytes]:
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def _respond_generated(
    start_response: typing.Any,
    environ: dict[str, typing.Any],
    query: dict[str, str],
) -> collections.abc.Iterator[bytes]:
    """Respond with a generated body of ``bytes`` bytes, or a range of it.

    Of ``Range``, only the form ``bytes=FIRST-`` is supported.  With ``cut``
    the body ends early.
    """
    size = int(query["bytes"])
    first = 0
    requested = environ.get("HTTP_RANGE", "")
    if requested.startswith("bytes=") and requested.endswith("-"):
        first = int(requested[len("bytes=") : -1])
    status = "206 Partial Content" if first else "200 OK"
    headers = [("Content-Length", str(size - first)), ("ETag", '"made-up"')]
    if first:
        headers.append(("Content-Range", f"bytes {first}-{size - 1}/{size}"))
    start_response(status, headers)
    end = int(query.get("cut", size))
    return _generate_body(first, min(end, size))


def _generate_body(first: int, end: int) -> collections.abc.Iterator[bytes]:
    """Yield the bytes of the repeated pattern from ``first`` up to ``end``."""
    position = first
    while position < end:
        offset = position % len(BODY_PATTERN)
        chunk = BODY_PATTERN[offset : offset + end - position]
        position += len(chunk)
        yield chunk


def _respond_truncated(
    start_response: typing.Any, body: bytes, sent_bytes: int
) -> collections.abc.Iterator[bytes]:
    """Send only the first bytes of a body, fewer than Content-Length."""
    start_response("200 OK", [("Content-Length", str(len(body)))])
    yield body[:sent_bytes]
    platform.abort_connection()


@click.command()
@click.option("--service", required=True)
@click.option("--announce-to", required=True, help="URL of a control port.")
@click.option("--listen", default="127.0.0.1:0")
@click.option("--slots", default=9)
@click.option("--connections", default=120)
@click.option("--checks-tokens/--trusts", default=False)
@click.option("--service-ms", default=0.0)
def main(
    service: str,
    announce_to: str,
    listen: str,
    slots: int,
    connections: int,
    checks_tokens: bool,
    service_ms: float,
) -> None:
    """Run one backend server until it is killed."""
    host, _, port = listen.rpartition(":")
    behaviour = Behaviour(
        service=service,
        slots=slots,
        connections=connections,
        checks_tokens=checks_tokens,
        service_time_s=service_ms / 1000,
    )
    backend = Backend(
        behaviour,
        announce_to,
        host,
        int(port),
        on_crash=lambda: os._exit(1),
    )
    backend.start()
    click.echo(f"listening at {backend.address[0]}:{backend.address[1]}")
    threading.Event().wait()


if __name__ == "__main__":
    main()
